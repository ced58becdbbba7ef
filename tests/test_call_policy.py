"""When a fleet calls for its list: the policy by itself, and two hundred of it against one service."""

from __future__ import annotations

import math
import random

import pytest

from bench.callmodel import CALLS_PER_S, POLICIES, SERVICE_BEHAVIOURS, Model, ServiceBehaviour, bound_s
from quartzford.membership.call_policy import (
    CONNECT_S,
    LINE_TIMEOUT_S,
    NOTIFY_BOUND_S,
    RETRY_S,
    SHARED_FIRST_LINE_TIMEOUT_S,
    SMALL_FLEET_SIZE,
    AgentCallPolicy,
    CallOutcome,
    CallPolicy,
    SharedServiceCallPolicy,
    retry_after,
    seeded_random,
)

SERVICE = {service.name: service for service in SERVICE_BEHAVIOURS}


def shared(
    balancers: int, seed: int = 1, per_s: float = 50.0, now: list[float] | None = None
) -> SharedServiceCallPolicy:
    clock = now if now is not None else [0.0]
    return SharedServiceCallPolicy(balancers, per_s, 10.0, random.Random(seed), lambda: clock[0])


@pytest.mark.parametrize("name", SERVICE)
@pytest.mark.parametrize("seed", range(3))
def test_two_hundred_balancers_all_get_the_list_within_the_services_call_rate(name: str, seed: int) -> None:
    service = SERVICE[name]
    row = Model("spread", service, 200, seed=seed).run()
    wanted = 200 - int(200 * service.crash_loop_share)
    assert row["served"] == wanted
    if service.rate == 1.0 and not service.crash_loop_share:
        assert row["all_after_s"] <= bound_s(200, service)
    # Of what it is taken for: a slower service shows itself only once it has been asked.
    assert row["most_1s"] <= 2 * CALLS_PER_S
    outages = sum(end - begin for begin, end in service.outages)
    if not outages and service.rate == 1.0 and not service.crash_loop_share and not service.restarts:
        assert row["calls"] <= 1.3
    assert row["calls_down"] <= max(2.0, 12.0 * outages / 30.0)


def test_the_policy_of_before_collapses_in_the_same_model() -> None:
    """Else the model could not tell: its services are no gentler than what was seen with real processes."""
    row = Model("before", SERVICE["queues"], 200, until=60.0).run()
    assert row["served"] < 150 and row["calls"] > 10
    assert Model("before", SERVICE["down 8 s"], 200).run()["most_1s"] > 4 * CALLS_PER_S


@pytest.mark.parametrize("name", ["queues", "down 8 s", "dies"])
def test_twelve_balancers_are_no_later_than_before(name: str) -> None:
    def after(policy: str) -> float:
        return sum(Model(policy, SERVICE[name], 12, seed=seed).run()["all_after_s"] for seed in range(60))

    assert after("spread") <= 1.1 * after("before")


def test_well_balancers_are_not_slowed_by_those_that_loop() -> None:
    def latest(name: str) -> float:
        return max(Model("spread", SERVICE[name], 200, seed=seed).run()["all_after_s"] for seed in range(5))

    assert latest("a quarter loops") <= latest("queues") + 1.0


@pytest.mark.parametrize("life_s", [0.3, 1.0, 3.0])
def test_one_that_dies_again_and_again_calls_no_more_than_its_share(life_s: float) -> None:
    """No disk remembers its calls; that each start draws its moment from the whole spread interval does."""
    for balancers in (150, 200):
        # A longer one would tell a change too late.
        interval = min(shared(balancers).spread_interval, NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S)
        starts = 4_000
        calls = sum(shared(balancers, seed).initial_delay() < life_s for seed in range(starts))
        assert calls / (starts * life_s) <= 1.1 / interval


def test_equal_names_and_equal_seeds_do_not_call_in_step() -> None:
    firsts = [
        SharedServiceCallPolicy(
            200, 50.0, 10.0, seeded_random("n1", f"127.0.0.{n}:80", 7), lambda: 0.0
        ).initial_delay()
        for n in range(64)
    ]
    busiest = max(sum(abs(a - b) < 0.1 for b in firsts) for a in firsts)
    assert len(set(firsts)) == 64 and busiest < 16
    assert seeded_random("n1", "a:1", 7).random() == seeded_random("n1", "a:1", 7).random()
    assert seeded_random("n1", "a:1", 7).random() != seeded_random("n1", "a:1", 8).random()


def test_small_fleets_and_pushed_lists_are_called_at_once() -> None:
    assert (
        shared(SMALL_FLEET_SIZE).initial_delay()
        == shared(1).initial_delay()
        == AgentCallPolicy(random.Random(1), 0.25).initial_delay()
        == 0.0
    )
    agent = AgentCallPolicy(random.Random(1), 10.0)
    waits = [agent.delay_after(CallOutcome.UNREACHABLE, 0.0) for _ in range(12)]
    assert all(w <= min(RETRY_S[1], RETRY_S[0] * 2.0**n) for n, w in enumerate(waits))
    assert (
        agent.delay_after(CallOutcome.COMPLETED, 0.0) == agent.delay_after(CallOutcome.UNUSABLE, 0.0) == 0.0
    )
    agent.record_answer()
    assert agent.delay_after(CallOutcome.WATCH_LOST, 0.0) <= RETRY_S[0]


@pytest.mark.parametrize("balancers", [0, 1, 16, 200, 1_000])  # 0: pushed
@pytest.mark.parametrize("retry_after", [0.0, 30.0])
def test_whatever_went_before_a_change_is_notified_in_six_seconds(balancers: int, retry_after: float) -> None:
    """From any moment of a call that tells nothing, the next one is answered within 6 s.

    took: the longest that a call of this end can last; of a watch, since it last told something.
    """
    ends = {
        CallOutcome.UNREACHABLE: CONNECT_S,
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
            end = rng.choice(list(ends))
            took = ends[end] * rng.choice((0.0, rng.random(), 1.0))
            assert took + calls.delay_after(end, took, retry_after) + calls.first_line_timeout() <= 6.0


def test_an_agent_is_never_left_unasked_for_as_long_as_a_drain_may_be_broken() -> None:
    """What it gets when discovery is back counts as told in that moment; waits of up to 1 s told it late."""
    for grace in (0.25, 0.5, 2.0):
        agent = AgentCallPolicy(random.Random(1), grace)
        ends = (
            CallOutcome.TIMED_OUT,
            CallOutcome.UNREACHABLE,
            CallOutcome.WATCH_LOST,
            CallOutcome.FAILED,
            CallOutcome.REJECTED,
        )
        assert max(agent.delay_after(end, 1.5) for _ in range(20) for end in ends) <= grace / 2
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
def test_retry_after_is_read_or_passed_over(text: str, seconds: float) -> None:
    assert retry_after(text, "Tue, 01 Dec 2026 00:00:00 GMT") == pytest.approx(seconds)


@pytest.mark.parametrize("balancers", [4, 200])
def test_a_time_to_come_back_is_kept_but_never_for_longer_than_a_change_may_be_late(balancers: int) -> None:
    calls = shared(balancers)
    waits = [calls.delay_after(CallOutcome.REJECTED, 0.0, 1.5) for _ in range(200)]
    assert min(waits) >= 1.5
    delays = [calls.delay_after(CallOutcome.REJECTED, 0.0, 3600.0) for _ in range(50)]
    assert (
        min(delays) >= 0.75 * (NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S)
        and max(delays) <= NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S
    )
    assert len(set(delays)) == 50  # told to all alike, they don't come back together
    assert 0.0 < shared(balancers).delay_after(CallOutcome.REJECTED, 0.0) <= 10.0


def test_a_service_with_unusable_answers_is_not_called_in_a_tight_loop() -> None:
    now = [0.0]
    calls = shared(200, now=now)
    assert calls.delay_after(CallOutcome.UNUSABLE, 0.0) == 0.0  # the whole is asked for at once
    calls.record_answer()
    waits = [calls.delay_after(CallOutcome.UNUSABLE, 0.0) for _ in range(5)]
    assert min(waits) > 1.0 and all(math.isfinite(w) for w in waits)
    now[0] = 60.0
    assert calls.delay_after(CallOutcome.UNUSABLE, 0.0) == 0.0


def test_discovery_moved_under_all_is_called_over_a_spread_interval() -> None:
    firsts = sorted(shared(200, seed).initial_delay() for seed in range(200))
    interval = min(184 / 50.0, NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S)
    for tenth in range(10):
        inside = sum(tenth * interval / 10 <= f < (tenth + 1) * interval / 10 for f in firsts)
        assert 8 <= inside <= 36


def test_the_model_counts_calls_by_its_parameters() -> None:
    """One balancer, one service: each figure is known."""
    row = Model("spread", ServiceBehaviour("one", outages=((0.0, 2.0),)), 1).run()
    assert row["served"] == 1 and row["answers"] == 1 and 0.0 < row["all_after_s"] < 1.1
    assert row["calls"] - row["calls_down"] == 1


def test_the_models_patient_policy_outwaits_the_agents_own() -> None:
    """It was played as the agent's own after the method that it overrides had been renamed."""
    before, patient = (POLICIES[name](random.Random(1), 60, lambda: 0.0) for name in ("before", "patient"))
    assert patient.first_line_timeout() > 100 * before.first_line_timeout()
