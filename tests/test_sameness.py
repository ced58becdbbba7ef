"""Compares the two storage forms of the decision module with each other, with frozen digests and with models.

The list form and the array form store the same values. They add floating-point numbers in different orders,
so P and the costs agree to a relative 1e-6 at least, but not to the bit. A random choice could therefore
differ if its random number falls within that distance of a boundary; after that, the two runs would diverge
for good. No choice differs in these streams. Two models, which treat the servers one by one, check both
forms: one of Eq. 6 and Eq. 8 of the routing paper, and one of the servers that may be chosen for a request.
"""

from __future__ import annotations

import random
from typing import Any

import frozen_actions
import pytest
from canonical import ActionDigest, StreamDigest
from helpers import last_reported_load
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from streams_of_events import StreamPlan, play_stream, settings_of

from quartzford.decision import automaton
from quartzford.decision import interface as io
from quartzford.decision.automaton import (
    COST_SMOOTHING_TIMES_SERVERS,
    EXPECTED_UPDATE_RATE,
    HIGH_COST_MULTIPLE,
    LATENCY_FACTOR,
    LEARNING_RATE_TIMES_SERVERS,
    LOAD_AND_ZONE_WEIGHT,
    LOW_COST_MULTIPLE,
    MAX_EXCESS_IN_FLIGHT,
    MAX_LEARNING_RATE,
    MEAN_LOAD_COST,
    ArrayShares,
    PlainShares,
    Shares,
)
from quartzford.decision.logic import Balancer
from quartzford.decision.outlier_ejection import EJECT_ABOVE_FAILURE_RATE
from quartzford.decision.responsiveness import UNRESPONSIVE_MIN_IN_FLIGHT
from quartzford.decision.server import Server

PLANS = {
    "plain": StreamPlan(servers=12, events=500),
    "churn": StreamPlan(servers=30, events=400, list_change_rate=0.2),
    "across the arrays' bound": StreamPlan(servers=50, events=400, list_change_rate=0.3),
    "arrays": StreamPlan(servers=97, events=400),
    "wide": StreamPlan(servers=300, events=200, list_change_rate=0.1),
    "failing": StreamPlan(servers=20, events=500, failure_rate=0.6),
    "some failing": StreamPlan(
        servers=21, events=800, failure_rate=0.02, bad_server_failure_rate=0.95, list_change_rate=0.01
    ),
    "some failing of many": StreamPlan(
        servers=70,
        events=800,
        failure_rate=0.02,
        bad_server_failure_rate=0.95,
        list_change_rate=0.01,
        mean_interval_ms=0.5,
    ),
    "overload": StreamPlan(servers=8, events=800, slow_rate=0.6, mean_interval_ms=0.5),
    "tenants": StreamPlan(servers=20, events=500, tenants=True, mean_interval_ms=0.7, slow_rate=0.4),
    "sized and cold": StreamPlan(servers=60, events=400, sized=True, cold_rate=0.9, list_change_rate=0.1),
    "no reports": StreamPlan(servers=60, events=300, reports=False),
    "one": StreamPlan(servers=1, events=200, list_change_rate=0.2),
    "none": StreamPlan(servers=0, events=200, list_change_rate=0.1),
}
SEEDS = range(6)  # seeds of each plan's streams


def nearly_equal(a: float | None, b: float | None) -> bool:
    return a == b or (a is not None and b is not None and abs(a - b) <= 1e-6 * max(abs(a), abs(b)) + 1e-12)


def always_arrays(shares: Shares, server_count: int) -> Shares:
    return shares if isinstance(shares, ArrayShares) else ArrayShares(automaton.load_arrays(), shares)


def allowed_servers(
    balancer: Balancer, service_class: io.ServiceClass, tried: list[str], bound: io.Endpoint | None
) -> set[str]:
    """Return the names of the servers that may be chosen for a request, computed server by server."""
    endpoints, now = balancer.endpoints, balancer.now

    def in_group(server: Server) -> bool:
        if bound is None or service_class.effect != "keyed" or service_class.group == "all":
            return True
        own = server.entry
        return own.zone == bound.zone if service_class.group == "zone" else own.cell == bound.cell

    def is_avoided(server: Server) -> bool:
        oldest = next(iter(server.in_flight.values()), None)
        unresponsive = (
            server.unresponsive_from_ms < now and len(server.in_flight) >= UNRESPONSIVE_MIN_IN_FLIGHT
        )
        excluded = now < max(server.ejected_until, server.rejecting_until.get(service_class.name, 0.0))
        trial_in_flight = server.failure_rate > EJECT_ABOVE_FAILURE_RATE and oldest is not None
        return (
            excluded
            or trial_in_flight
            or unresponsive
            or (oldest is not None and oldest.overdue_from_ms < now)
        )

    cold = [
        s for s in endpoints.ready if 0 < s.slow_start_from_ms > now - balancer.settings.rules.slow_start_ms
    ]
    group = [s for s in endpoints.ready if in_group(s) and (s not in cold or s.tokens >= 1.0)]
    untried = [s for s in group if s.entry.server not in tried]
    preferred = [s for s in untried if not is_avoided(s)]
    total_in_flight = sum(len(s.in_flight) for s in endpoints.ready)
    within_share = [s for s in preferred if len(s.in_flight) <= s.p * total_in_flight + MAX_EXCESS_IN_FLIGHT]
    return {
        s.entry.server for s in within_share or preferred or untried or (group if bound is not None else [])
    }


def with_checked_choices(balancer: Balancer) -> Balancer:
    """Make the balancer check each choice against `allowed_servers`, and return the balancer."""
    pick = balancer.endpoints.pick

    def checked_pick(
        service_class: io.ServiceClass, tried: list[str], bound: io.Endpoint | None
    ) -> Server | None:
        server = pick(service_class, tried, bound)
        allowed = allowed_servers(balancer, service_class, tried, bound)
        assert (server is None and not allowed) or (server is not None and server.entry.server in allowed)
        return server

    balancer.endpoints.pick = checked_pick  # type: ignore[method-assign]
    return balancer


def play_both_forms(plan: StreamPlan, seed: int) -> dict[str, StreamDigest]:
    """Play a stream to both storage forms, compare them, and return the digest of each form's actions."""
    settings = settings_of(plan)
    list_balancer, array_balancer = (
        with_checked_choices(Balancer(settings, seed)),
        with_checked_choices(Balancer(settings, seed)),
    )
    list_balancer.endpoints.layout, array_balancer.endpoints.layout = (
        lambda shares, server_count: shares,
        always_arrays,
    )
    digests = ActionDigest(), ActionDigest()

    def check(answers: list[list[io.Action]]) -> None:
        for digest, actions in zip(digests, answers, strict=True):
            digest.add(actions)
        first, second = answers
        assert [type(a) for a in first] == [type(a) for a in second]
        for one, other in zip(first, second, strict=True):
            for x, y in zip(one, other, strict=True):
                assert x == y or (isinstance(x, float) and nearly_equal(x, y)), (one, other)

    play_stream(plan, seed, [list_balancer, array_balancer], check)
    assert [s.entry for s in list_balancer.ready] == [s.entry for s in array_balancer.ready]
    for a, b in zip(list_balancer.ready, array_balancer.ready, strict=True):
        assert (
            nearly_equal(a.p, b.p)
            and nearly_equal(a.cost, b.cost)
            and nearly_equal(last_reported_load(a), last_reported_load(b))
        )
        assert (a.failure_rate, a.ejections, len(a.in_flight)) == (
            b.failure_rate,
            b.ejections,
            len(b.in_flight),
        )
    for module in (list_balancer, array_balancer):
        assert module.endpoints.shares.total_in_flight == sum(len(s.in_flight) for s in module.ready)
        assert not module.ready or sum(s.p for s in module.ready) == pytest.approx(1.0)
    return {"lists": digests[0].result(), "arrays": digests[1].result()}


def model_score(
    columns: dict[str, list[float]], slot: int, latency: float, first: bool
) -> tuple[list[float], list[float]]:
    """Return the new P and costs: Eq. 6 for all servers, Eq. 8 for one, then the mean update of a draw.

    The equations are those of the routing paper.
    """
    p, n = list(columns["p"]), len(columns["p"])
    columns["latency"][slot] = latency
    memory, load = min(0.5, COST_SMOOTHING_TIMES_SERVERS / n), sum(columns["reported_load"]) / n
    cost = []
    for i in range(n):
        x = MEAN_LOAD_COST * columns["reported_load"][i] / (1 + load) + columns["zone_penalty"][i]
        z = LOAD_AND_ZONE_WEIGHT * x + (1 - LOAD_AND_ZONE_WEIGHT) * LATENCY_FACTOR * columns["latency"][i]
        cost.append(z if first else memory * z + (1 - memory) * columns["cost"][i])
    low, high = LOW_COST_MULTIPLE * min(cost), min(max(cost), HIGH_COST_MULTIPLE * sum(cost) / n)
    beta = [min(1.0, (c - low) / (high - low)) if high > low else 0.5 for c in cost]
    step = min(MAX_LEARNING_RATE, LEARNING_RATE_TIMES_SERVERS / n)
    change = [step * beta[slot] * (1 / (n - 1) - p[i]) - step * (1 - beta[slot]) * p[i] for i in range(n)]
    change[slot] = step * (1 - beta[slot]) * (1 - p[slot]) - step * beta[slot] * p[slot]
    p = [a + b for a, b in zip(p, change, strict=True)]
    mean = sum(a * b for a, b in zip(p, beta, strict=True))
    return [
        a + EXPECTED_UPDATE_RATE * ((mean - a * b) / (n - 1) - a * b) for a, b in zip(p, beta, strict=True)
    ], cost


@pytest.mark.parametrize("arrays", [False, True])
@pytest.mark.parametrize("count", [2, 3, 24, 60])
def test_scores_match_eq_6_and_eq_8_of_the_routing_paper(arrays: bool, count: int) -> None:
    shares, rng = make_shares(count, arrays), random.Random(count)
    for turn in range(200):
        columns = {
            name: [float(x) for x in getattr(shares, name)]
            for name in ("p", "cost", "latency", "reported_load", "zone_penalty")
        }
        slot, latency = rng.randrange(count), rng.expovariate(1.0) * rng.choice((1.0, 1.0, 40.0))
        p, cost = model_score(columns, slot, latency, turn == 0)
        shares.score(slot, latency)
        assert [float(x) for x in shares.p] == pytest.approx(p, rel=1e-9)
        assert [float(x) for x in shares.cost] == pytest.approx(cost, rel=1e-9)
        shares.set_report(rng.randrange(count), rng.choice((0.0, 1.0, 30.0)))


@pytest.mark.parametrize("name", PLANS)
def test_both_forms_return_the_frozen_actions(name: str) -> None:
    """A change that only renames or restructures code leaves every action unchanged to the bit.

    See tests/freeze_behaviour.py.
    """
    frozen = frozen_actions.load()
    for seed in SEEDS:
        for form, digest in play_both_forms(PLANS[name], seed).items():
            assert digest == frozen[frozen_actions.Stream(name, seed, form)], (name, seed, form)


def freeze() -> dict[str, bytes]:
    """Return the name and bytes of the frozen file, as the current code produces them."""
    played = [(name, seed, play_both_forms(plan, seed)) for name, plan in PLANS.items() for seed in SEEDS]
    streams = [
        (frozen_actions.Stream(name, seed, form), digest)
        for name, seed, digests in played
        for form, digest in digests.items()
    ]
    return {frozen_actions.FILE.name: frozen_actions.encode(streams)}


@given(
    st.integers(0, 10**6),
    st.integers(0, 80),
    st.sampled_from((0.0, 0.05, 0.3)),
    st.sampled_from((0.0, 0.1, 0.7)),
    st.sampled_from((0.4, 2.0)),
    st.booleans(),
)
@hypothesis_settings(max_examples=60, deadline=None, derandomize=True, database=None)
def test_both_forms_agree_in_random_streams(
    seed: int,
    servers: int,
    list_change_rate: float,
    failure_rate: float,
    mean_interval_ms: float,
    flag: bool,
) -> None:
    play_both_forms(
        StreamPlan(servers, 120, list_change_rate, failure_rate, flag, flag, 0.2, mean_interval_ms, not flag),
        seed,
    )


def test_list_form_serves_all_sizes_without_numpy(monkeypatch: Any) -> None:
    monkeypatch.setattr(automaton, "load_arrays", lambda: None)
    balancer = Balancer(settings_of(PLANS["arrays"]), 1)
    play_stream(PLANS["arrays"], 1, [balancer], lambda answers: None)
    assert isinstance(balancer.endpoints.shares, PlainShares) and len(balancer.ready) > 80


def test_streams_contain_each_event_they_must_cover() -> None:
    """Streams without ejections, rejections, failures and timers would leave that code untested."""
    counts: dict[str, int] = {}
    for name, plan in PLANS.items():
        balancer = Balancer(settings_of(plan), 1)

        def check(answers: list[list[io.Action]]) -> None:
            for action in answers[0]:
                key = type(action).__name__
                counts[key] = counts.get(key, 0) + 1

        play_stream(plan, 1, [balancer], check)
        ejected = sum(s.ejected_until > 0 for s in balancer.ready)
        counts["ejected"] = counts.get("ejected", 0) + ejected
        if name in ("arrays", "wide"):
            assert isinstance(balancer.endpoints.shares, ArrayShares)
    assert (
        all(counts[key] > 20 for key in ("Send", "Shed", "Fail", "SetTimer")) and counts["ejected"] > 5
    ), counts


# ---- edge cases of the arithmetic


def make_shares(count: int, arrays: bool) -> Any:
    shares: Any = PlainShares()
    shares.begin()
    for number in range(count):
        shares.join(automaton.Location(0.1 * (number % 2), number % 2, number // 2), 0)
    shares.commit()
    return ArrayShares(automaton.load_arrays(), shares) if arrays else shares


NO_CONSTRAINTS = automaton.SelectionConstraints((), (), (), None, False)


@pytest.mark.parametrize("arrays", [False, True])
def test_p_still_sums_to_one_after_many_updates(arrays: bool) -> None:
    """Bounds the rounding error of the sum of P that accumulates between two normalizations.

    A million updates are measured by bench.decisions.
    """
    shares, rng = make_shares(24, arrays), random.Random(1)
    max_error = 0.0
    for _ in range(20_000):
        shares.score(rng.randrange(24), rng.expovariate(1.0))
        max_error = max(max_error, abs(float(sum(shares.p)) - 1.0))
    assert max_error < 1e-10 and min(shares.p) > 0.0


@pytest.mark.parametrize("arrays", [False, True])
def test_server_count_changes_between_zero_and_one(arrays: bool) -> None:
    shares, rng = make_shares(1, arrays), random.Random(1)
    for _ in range(3):
        shares.begin()
        shares.leave(0)
        shares.commit()
        assert (shares.slot_count, shares.has_costs, shares.choose(NO_CONSTRAINTS, rng)) == (0, False, -1)
        shares.score(-1, 1.0)
        shares.begin()
        assert shares.join(automaton.Location(0.0, 0, 0), 2) == 0
        shares.commit()
        assert list(shares.p) == [1.0] and shares.total_in_flight == 2
        shares.add_in_flight(0, -2)
        shares.score(0, 3.0)
        assert shares.choose(NO_CONSTRAINTS, rng) == 0


@pytest.mark.parametrize("arrays", [False, True])
def test_equal_costs_and_tiny_shares_keep_p_normalized(arrays: bool) -> None:
    shares, rng = make_shares(4, arrays), random.Random(1)
    shares.zone_penalty[:] = type(shares.zone_penalty)([0.0] * 4) if not arrays else 0.0
    for _ in range(200):
        shares.score(-1, 1.0)
    assert float(sum(shares.p)) == pytest.approx(1.0)
    for slot in range(3):
        shares.p[slot] = 1e-300
    shares.p[3] = 1.0
    assert shares.choose(NO_CONSTRAINTS, rng) == 3
    shares.begin()
    shares.leave(3)  # the remaining servers had almost no share
    shares.commit()
    assert [float(p) for p in shares.p] == pytest.approx([1 / 3] * 3)
    for slot in range(3):
        shares.p[slot] = 0.0
    shares.begin()
    shares.leave(0)
    shares.commit()
    assert [float(p) for p in shares.p] == pytest.approx([0.5, 0.5])


@pytest.mark.parametrize("arrays", [False, True])
def test_extreme_cost_of_one_server_keeps_p_valid(arrays: bool) -> None:
    shares = make_shares(60, arrays)
    for number in range(300):
        shares.score(number % 60, 1e300 if number % 60 == 7 else 1.0)
        shares.set_report(3, 1e9)
    assert float(sum(shares.p)) == pytest.approx(1.0)
    assert all(0.0 <= float(p) < 1.0 for p in shares.p) and float(shares.p[7]) == min(map(float, shares.p))


def test_requests_are_sent_or_queued_if_all_servers_are_cold_or_ejected() -> None:
    plan = StreamPlan(servers=60, cold_rate=1.0)
    balancer = Balancer(settings_of(plan), 1)
    entries = tuple(io.Endpoint(f"s{n}", "z0", "std", n, "ready", 1.0, 900.0) for n in range(60))
    balancer.handle(1_000.0, io.EndpointListUpdate("stale", entries))
    actions = balancer.handle(1_001.0, io.Request(1, "pay", 800.0))
    assert isinstance(actions[0], io.Send | io.SetTimer)
    for server in balancer.ready:
        server.ejected_until, server.failure_rate = 5_000.0, 0.9
        balancer.endpoints.ejection.unhealthy[server] = None
        server.tokens = 1.0
    # If all servers are avoided, the choice is among all of them.
    assert isinstance(balancer.handle(1_002.0, io.Request(2, "pay", 800.0))[0], io.Send)


def test_two_restarts_of_a_server_with_attempts_in_flight_in_one_update() -> None:
    balancer = Balancer(settings_of(StreamPlan()), 1)
    one = io.Endpoint("s0", "z0", "std", 0, "ready", 1.0, 0.0)
    other = one._replace(server="s1")
    balancer.handle(0.0, io.EndpointListUpdate("stale", (one, other)))
    first_actions = [balancer.handle(1.0 + n, io.Request(n, "read", 800.0))[0] for n in range(4)]
    assert all(isinstance(action, io.Send) for action in first_actions)
    restarts = (one._replace(started_ms=5.0), one._replace(started_ms=9.0))
    balancer.handle(10.0, io.EndpointListUpdate("changes", restarts))
    assert [s.entry.started_ms for s in balancer.ready] == [0.0, 9.0]
    shares = balancer.endpoints.shares
    assert shares.slot_count == 2 and shares.total_in_flight == len(balancer.servers["s1"].in_flight)
    for n, action in enumerate(first_actions):
        assert isinstance(action, io.Send)
        balancer.handle(20.0, io.AttemptEnded(n, 0, action.server, "ok", 5.0, True))
    assert shares.total_in_flight == 0 and sum(s.p for s in balancer.ready) == pytest.approx(1.0)


def test_sets_of_failing_overdue_and_cold_servers_become_empty_again() -> None:
    """A server leaves these sets when its state ends; otherwise each request would check it forever."""
    plan = StreamPlan(servers=30, events=600, failure_rate=0.5, list_change_rate=0.1)
    balancer = Balancer(settings_of(plan), 3)
    play_stream(plan, 3, [balancer], lambda answers: None)
    now = 60_000.0
    for server in list(balancer.servers.values()):
        server.in_flight.clear()
        server.failure_rate = 0.0
    balancer.handle(now, io.Request(10**6, "read", 800.0))
    endpoints = balancer.endpoints
    assert (
        not endpoints.ejection.unhealthy
        and not endpoints.responsiveness.overdue
        and not endpoints.slow_start.cold
    )
    assert len(endpoints.responsiveness.oldest_attempt_deadlines) <= 1


@pytest.mark.parametrize("reported_load", [1e308, float("inf"), float("nan")])
def test_extreme_reported_load_keeps_p_a_probability(reported_load: float) -> None:
    for servers in (4, 60):
        balancer = Balancer(settings_of(StreamPlan()), 1)
        entries = tuple(io.Endpoint(f"s{n}", "z0", "std", n, "ready", 1.0, 0.0) for n in range(servers))
        balancer.handle(0.0, io.EndpointListUpdate("stale", entries))
        for n in range(3 * servers):
            (send,) = balancer.handle(2.0 * n, io.Request(n, "read", 800.0))
            assert isinstance(send, io.Send)
            balancer.handle(
                2.0 * n + 1, io.AttemptEnded(n, 0, send.server, "ok", 5.0, True, (reported_load,))
            )
        probabilities = [server.p for server in balancer.ready]
        assert sum(probabilities) == pytest.approx(1.0) and all(0.0 <= p <= 1.0 for p in probabilities)
