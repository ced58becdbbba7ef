"""Call policies for the endpoint list: each policy by itself, and 200 balancers calling one service."""

from __future__ import annotations

import math
import random

import pytest

from bench.callmodel import CALLS_PER_S, POLICIES, SERVICE_BEHAVIOURS, Model, ServiceBehaviour, bound_s
from quartzford.membership.call_policy import (
    BACKOFF_RANGE_S,
    CONNECT_TIMEOUT_S,
    LINE_TIMEOUT_S,
    NOTIFY_BOUND_S,
    SHARED_FIRST_LINE_TIMEOUT_S,
    SMALL_FLEET_SIZE,
    AgentCallPolicy,
    CallOutcome,
    CallPolicy,
    SharedServiceCallPolicy,
    parse_retry_after,
    seeded_random,
)

SERVICE = {service.name: service for service in SERVICE_BEHAVIOURS}


def shared(
    balancers: int, seed: int = 1, calls_per_s: float = 50.0, now: list[float] | None = None
) -> SharedServiceCallPolicy:
    clock = now if now is not None else [0.0]
    return SharedServiceCallPolicy(balancers, calls_per_s, 10.0, random.Random(seed), lambda: clock[0])


@pytest.mark.parametrize("name", SERVICE)
@pytest.mark.parametrize("seed", range(3))
def test_spread_policy_200_balancers_get_the_list_within_service_call_rate(name: str, seed: int) -> None:
    service = SERVICE[name]
    row = Model("spread", service, 200, seed=seed).run()
    expected_count = 200 - int(200 * service.crash_loop_share)
    assert row["served"] == expected_count
    if service.rate == 1.0 and not service.crash_loop_share:
        assert row["all_after_s"] <= bound_s(200, service)
    # Relative to the assumed rate, because a slower service can be detected only by calling it.
    assert row["most_1s"] <= 2 * CALLS_PER_S
    outages = sum(end - begin for begin, end in service.outages)
    if not outages and service.rate == 1.0 and not service.crash_loop_share and not service.restarts:
        assert row["calls"] <= 1.3
    assert row["calls_down"] <= max(2.0, 12.0 * outages / 30.0)


def test_former_policy_overloads_service_in_same_model() -> None:
    """Shows that the model detects overload: its services tolerate no more than real processes did."""
    row = Model("before", SERVICE["queues"], 200, until=60.0).run()
    assert row["served"] < 150 and row["calls"] > 10
    assert Model("before", SERVICE["down 8 s"], 200).run()["most_1s"] > 4 * CALLS_PER_S


@pytest.mark.parametrize("name", ["queues", "down 8 s", "dies"])
def test_spread_policy_12_balancers_get_the_list_as_early_as_with_former_policy(name: str) -> None:
    def after(policy: str) -> float:
        return sum(Model(policy, SERVICE[name], 12, seed=seed).run()["all_after_s"] for seed in range(60))

    assert after("spread") <= 1.1 * after("before")


def test_crash_looping_balancers_do_not_delay_others() -> None:
    def latest(name: str) -> float:
        return max(Model("spread", SERVICE[name], 200, seed=seed).run()["all_after_s"] for seed in range(5))

    assert latest("a quarter loops") <= latest("queues") + 1.0


@pytest.mark.parametrize("life_s", [0.3, 1.0, 3.0])
def test_crash_looping_balancer_calls_at_most_once_per_spread_interval_on_average(life_s: float) -> None:
    """Nothing about earlier calls is stored: each start draws its delay from the whole spread interval."""
    for balancers in (150, 200):
        # A longer interval would deliver a change too late.
        interval = min(shared(balancers).spread_interval, NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S)
        starts = 4_000
        calls = sum(shared(balancers, seed).initial_delay() < life_s for seed in range(starts))
        assert calls / (starts * life_s) <= 1.1 / interval


def test_seeded_random_equal_names_and_seeds_give_different_delays() -> None:
    delays = [
        SharedServiceCallPolicy(
            200, 50.0, 10.0, seeded_random("n1", f"127.0.0.{n}:80", 7), lambda: 0.0
        ).initial_delay()
        for n in range(64)
    ]
    busiest = max(sum(abs(a - b) < 0.1 for b in delays) for a in delays)
    assert len(set(delays)) == 64 and busiest < 16
    assert seeded_random("n1", "a:1", 7).random() == seeded_random("n1", "a:1", 7).random()
    assert seeded_random("n1", "a:1", 7).random() != seeded_random("n1", "a:1", 8).random()


def test_small_fleet_and_agent_are_called_without_delay() -> None:
    assert (
        shared(SMALL_FLEET_SIZE).initial_delay()
        == shared(1).initial_delay()
        == AgentCallPolicy(random.Random(1), 0.25).initial_delay()
        == 0.0
    )
    agent = AgentCallPolicy(random.Random(1), 10.0)
    waits = [agent.delay_after(CallOutcome.UNREACHABLE, 0.0) for _ in range(12)]
    assert all(w <= min(BACKOFF_RANGE_S[1], BACKOFF_RANGE_S[0] * 2.0**n) for n, w in enumerate(waits))
    assert (
        agent.delay_after(CallOutcome.COMPLETED, 0.0) == agent.delay_after(CallOutcome.UNUSABLE, 0.0) == 0.0
    )
    agent.record_answer()
    assert agent.delay_after(CallOutcome.WATCH_LOST, 0.0) <= BACKOFF_RANGE_S[0]


@pytest.mark.parametrize("balancers", [0, 1, 16, 200, 1_000])  # 0: agent policy
@pytest.mark.parametrize("retry_after", [0.0, 30.0])
def test_any_sequence_of_failures_next_answer_within_six_seconds(balancers: int, retry_after: float) -> None:
    """From the start of a failed call, the next call is answered within 6 s.

    longest_s: the longest duration of a call with each outcome; of a watch, the time since its last line.
    """
    longest_s = {
        CallOutcome.UNREACHABLE: CONNECT_TIMEOUT_S,
        CallOutcome.REJECTED: SHARED_FIRST_LINE_TIMEOUT_S,
        CallOutcome.FAILED: SHARED_FIRST_LINE_TIMEOUT_S,
        CallOutcome.WATCH_LOST: LINE_TIMEOUT_S,
        CallOutcome.TIMED_OUT: SHARED_FIRST_LINE_TIMEOUT_S,
        CallOutcome.UNUSABLE: SHARED_FIRST_LINE_TIMEOUT_S,
    }
    for seed in range(200):
        rng = random.Random(seed)
        calls: CallPolicy = (
            shared(balancers, seed) if balancers else AgentCallPolicy(random.Random(seed), 0.25)
        )
        assert calls.initial_delay() + calls.first_line_timeout() <= 6.0
        for _ in range(40):
            outcome = rng.choice(list(longest_s))
            elapsed_s = longest_s[outcome] * rng.choice((0.0, rng.random(), 1.0))
            assert (
                elapsed_s + calls.delay_after(outcome, elapsed_s, retry_after) + calls.first_line_timeout()
                <= 6.0
            )


def test_agent_backoff_is_at_most_half_the_drain_grace() -> None:
    """Guards against drains that are learned late: once discovery recovers, a balancer counts as notified of
    what the agent receives, and delays of up to 1 s were too long.
    """
    for grace in (0.25, 0.5, 2.0):
        agent = AgentCallPolicy(random.Random(1), grace)
        outcomes = (
            CallOutcome.TIMED_OUT,
            CallOutcome.UNREACHABLE,
            CallOutcome.WATCH_LOST,
            CallOutcome.FAILED,
            CallOutcome.REJECTED,
        )
        assert max(agent.delay_after(outcome, 1.5) for _ in range(20) for outcome in outcomes) <= grace / 2
    agent.configure(0.25)
    assert agent.delay_after(CallOutcome.TIMED_OUT, 1.5) <= 0.125


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3600", 3600.0),
        ("0", 0.0),
        ("1.5", 1.5),
        ("  2 ", 2.0),
        ("-5", 0.0),
        ("", 0.0),
        ("soon", 0.0),
        ("nan", 0.0),
        ("inf", 0.0),
        ("1e400", 0.0),
        ("9" * 400, 0.0),
        ("\x00", 0.0),
        ("Tue, 01 Dec 2026 01:00:10 GMT", 3610.0),
        ("Tue, 01 Dec 2026 00:00:10 GMT", 10.0),
        ("Mon, 30 Nov 2026 00:00:00 GMT", 0.0),
        ("Tue, 99 Dec 2026 00:00:10 GMT", 0.0),
        ("Tue, 01 Dec 99999999999 00:00:10 GMT", 0.0),
    ],
)
def test_parse_retry_after_returns_seconds_or_zero(text: str, seconds: float) -> None:
    assert parse_retry_after(text, "Tue, 01 Dec 2026 00:00:00 GMT") == pytest.approx(seconds)


@pytest.mark.parametrize("balancers", [4, 200])
def test_retry_after_is_followed_up_to_notify_bound(balancers: int) -> None:
    calls = shared(balancers)
    waits = [calls.delay_after(CallOutcome.REJECTED, 0.0, 1.5) for _ in range(200)]
    assert min(waits) >= 1.5
    delays = [calls.delay_after(CallOutcome.REJECTED, 0.0, 3600.0) for _ in range(50)]
    assert (
        min(delays) >= 0.75 * (NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S)
        and max(delays) <= NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S
    )
    assert len(set(delays)) == 50  # all balancers received the same value, but do not call simultaneously
    assert 0.0 < shared(balancers).delay_after(CallOutcome.REJECTED, 0.0) <= 10.0


def test_unusable_answers_only_first_is_retried_without_delay() -> None:
    now = [0.0]
    calls = shared(200, now=now)
    assert calls.delay_after(CallOutcome.UNUSABLE, 0.0) == 0.0  # the complete list is requested at once
    calls.record_answer()
    waits = [calls.delay_after(CallOutcome.UNUSABLE, 0.0) for _ in range(5)]
    assert min(waits) > 1.0 and all(math.isfinite(w) for w in waits)
    now[0] = 60.0
    assert calls.delay_after(CallOutcome.UNUSABLE, 0.0) == 0.0


def test_new_discovery_address_calls_are_spread_over_interval() -> None:
    delays = sorted(shared(200, seed).initial_delay() for seed in range(200))
    interval = min(184 / 50.0, NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S)
    for tenth in range(10):
        delays_in_tenth = sum(tenth * interval / 10 <= f < (tenth + 1) * interval / 10 for f in delays)
        assert 8 <= delays_in_tenth <= 36


def test_model_one_balancer_counts_calls_as_computed() -> None:
    """With one balancer and one service, each result is known in advance."""
    row = Model("spread", ServiceBehaviour("one", outages=((0.0, 2.0),)), 1).run()
    assert row["served"] == 1 and row["answers"] == 1 and 0.0 < row["all_after_s"] < 1.1
    assert row["calls"] - row["calls_down"] == 1


def test_model_patient_policy_overrides_agent_timeout() -> None:
    """Guards against a stale override: after a rename of the method, the agent's own timeout was used."""
    before, patient = (POLICIES[name](random.Random(1), 60, lambda: 0.0) for name in ("before", "patient"))
    assert patient.first_line_timeout() > 100 * before.first_line_timeout()
