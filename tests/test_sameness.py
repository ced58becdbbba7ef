"""Streams of events through the module: its two forms decide alike, and what it decides is what it may.

Lists and arrays hold the same figures. Floating-point sums are taken in another order, so P and the costs
agree to a relative 1e-6 at least and not to the bit; a draw could differ where a random number falls within
that distance of an edge, and none did in these streams: once one differs the streams part for good. Beside
the forms stand a plain reading of Eq. 6 and 8, and one of who may be drawn, both made server by server.
"""

from __future__ import annotations

import random
from typing import Any

import frozen_actions
import pytest
from canonical import ActionDigest, StreamDigest
from helpers import last_reported_load
from hypothesis import given
from hypothesis import settings as budget
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
    "churn": StreamPlan(servers=30, events=400, churn=0.2),
    "across the arrays' bound": StreamPlan(servers=50, events=400, churn=0.3),
    "arrays": StreamPlan(servers=97, events=400),
    "wide": StreamPlan(servers=300, events=200, churn=0.1),
    "failing": StreamPlan(servers=20, events=500, failure_rate=0.6),
    "some failing": StreamPlan(servers=21, events=800, failure_rate=0.02, bad=0.95, churn=0.01),
    "some failing of many": StreamPlan(
        servers=70, events=800, failure_rate=0.02, bad=0.95, churn=0.01, step_ms=0.5
    ),
    "overload": StreamPlan(servers=8, events=800, slow=0.6, step_ms=0.5),
    "tenants": StreamPlan(servers=20, events=500, tenants=True, step_ms=0.7, slow=0.4),
    "sized and cold": StreamPlan(servers=60, events=400, sized=True, cold=0.9, churn=0.1),
    "no reports": StreamPlan(servers=60, events=300, reports=False),
    "one": StreamPlan(servers=1, events=200, churn=0.2),
    "none": StreamPlan(servers=0, events=200, churn=0.1),
}
SEEDS = range(6)  # of each plan


def close(a: float | None, b: float | None) -> bool:
    return a == b or (a is not None and b is not None and abs(a - b) <= 1e-6 * max(abs(a), abs(b)) + 1e-12)


def arrays_only(shares: Shares, coming: int) -> Shares:
    return shares if isinstance(shares, ArrayShares) else ArrayShares(automaton.load_arrays(), shares)


def allowed(
    balancer: Balancer, kind: io.ServiceClass, tried: list[str], bound: io.Endpoint | None
) -> set[str]:
    """Who may be drawn for a request, found out server by server."""
    endpoints, now = balancer.endpoints, balancer.now

    def here(server: Server) -> bool:
        if bound is None or kind.effect != "keyed" or kind.group == "all":
            return True
        own = server.entry
        return own.zone == bound.zone if kind.group == "zone" else own.cell == bound.cell

    def doubtful(server: Server) -> bool:
        oldest = next(iter(server.in_flight.values()), None)
        unresponsive = (
            server.unresponsive_from_ms < now and len(server.in_flight) >= UNRESPONSIVE_MIN_IN_FLIGHT
        )
        out = now < max(server.ejected_until, server.rejecting_until.get(kind.name, 0.0))
        trial = server.failure_rate > EJECT_ABOVE_FAILURE_RATE and oldest is not None
        return out or trial or unresponsive or (oldest is not None and oldest.overdue_from_ms < now)

    cold = [
        s for s in endpoints.ready if 0 < s.slow_start_from_ms > now - balancer.settings.rules.slow_start_ms
    ]
    group = [s for s in endpoints.ready if here(s) and (s not in cold or s.tokens >= 1.0)]
    fresh = [s for s in group if s.entry.server not in tried]
    sound = [s for s in fresh if not doubtful(s)]
    out = sum(len(s.in_flight) for s in endpoints.ready)
    calm = [s for s in sound if len(s.in_flight) <= s.p * out + MAX_EXCESS_IN_FLIGHT]
    return {s.entry.server for s in calm or sound or fresh or (group if bound is not None else [])}


def watched(balancer: Balancer) -> Balancer:
    """One whose every choice is held against who may be drawn."""
    pick = balancer.endpoints.pick

    def checked(kind: io.ServiceClass, tried: list[str], bound: io.Endpoint | None) -> Server | None:
        server = pick(kind, tried, bound)
        may = allowed(balancer, kind, tried, bound)
        assert (server is None and not may) or (server is not None and server.entry.server in may)
        return server

    balancer.endpoints.pick = checked  # type: ignore[method-assign]
    return balancer


def both(plan: StreamPlan, seed: int) -> dict[str, StreamDigest]:
    """Play a stream in both forms, and hold one against the other; the digest of each one's actions."""
    settings = settings_of(plan)
    old, new = watched(Balancer(settings, seed)), watched(Balancer(settings, seed))
    old.endpoints.layout, new.endpoints.layout = lambda shares, coming: shares, arrays_only
    digests = ActionDigest(), ActionDigest()

    def check(answers: list[list[io.Action]]) -> None:
        for digest, actions in zip(digests, answers, strict=True):
            digest.add(actions)
        first, second = answers
        assert [type(a) for a in first] == [type(a) for a in second]
        for one, other in zip(first, second, strict=True):
            for x, y in zip(one, other, strict=True):
                assert x == y or (isinstance(x, float) and close(x, y)), (one, other)

    play_stream(plan, seed, [old, new], check)
    assert [s.entry for s in old.ready] == [s.entry for s in new.ready]
    for a, b in zip(old.ready, new.ready, strict=True):
        assert (
            close(a.p, b.p) and close(a.cost, b.cost) and close(last_reported_load(a), last_reported_load(b))
        )
        assert (a.failure_rate, a.ejections, len(a.in_flight)) == (
            b.failure_rate,
            b.ejections,
            len(b.in_flight),
        )
    for module in (old, new):
        assert module.endpoints.shares.total_in_flight == sum(len(s.in_flight) for s in module.ready)
        assert not module.ready or sum(s.p for s in module.ready) == pytest.approx(1.0)
    return {"lists": digests[0].result(), "arrays": digests[1].result()}


def scored(
    now: dict[str, list[float]], slot: int, latency: float, first: bool
) -> tuple[list[float], list[float]]:
    """Eq. 6 for every server, Eq. 8 for one, then its mean over a draw: the new P and costs."""
    p, n = list(now["p"]), len(now["p"])
    now["latency"][slot] = latency
    memory, load = min(0.5, COST_SMOOTHING_TIMES_SERVERS / n), sum(now["reported_load"]) / n
    cost = []
    for i in range(n):
        x = MEAN_LOAD_COST * now["reported_load"][i] / (1 + load) + now["zone_penalty"][i]
        z = LOAD_AND_ZONE_WEIGHT * x + (1 - LOAD_AND_ZONE_WEIGHT) * LATENCY_FACTOR * now["latency"][i]
        cost.append(z if first else memory * z + (1 - memory) * now["cost"][i])
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
def test_eq_6_and_eq_8_server_by_server(arrays: bool, count: int) -> None:
    shares, rng = fleet_of(count, arrays), random.Random(count)
    for turn in range(200):
        columns = {
            name: [float(x) for x in getattr(shares, name)]
            for name in ("p", "cost", "latency", "reported_load", "zone_penalty")
        }
        slot, latency = rng.randrange(count), rng.expovariate(1.0) * rng.choice((1.0, 1.0, 40.0))
        p, cost = scored(columns, slot, latency, turn == 0)
        shares.score(slot, latency)
        assert [float(x) for x in shares.p] == pytest.approx(p, rel=1e-9)
        assert [float(x) for x in shares.cost] == pytest.approx(cost, rel=1e-9)
        shares.set_report(rng.randrange(count), rng.choice((0.0, 1.0, 30.0)))


@pytest.mark.parametrize("name", PLANS)
def test_both_forms_decide_alike_and_as_they_were_frozen(name: str) -> None:
    """Changes of names and shape leave every action as it was, to the bit: see tests/freeze_behaviour.py."""
    frozen = frozen_actions.load()
    for seed in SEEDS:
        for form, digest in both(PLANS[name], seed).items():
            assert digest == frozen[frozen_actions.Stream(name, seed, form)], (name, seed, form)


def freeze() -> dict[str, bytes]:
    """The frozen file's name and bytes, by the code as it is."""
    played = [(name, seed, both(plan, seed)) for name, plan in PLANS.items() for seed in SEEDS]
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
@budget(max_examples=60, deadline=None, derandomize=True, database=None)
def test_both_forms_decide_alike_in_drawn_streams(
    seed: int, servers: int, churn: float, failure_rate: float, step_ms: float, flag: bool
) -> None:
    both(StreamPlan(servers, 120, churn, failure_rate, flag, flag, 0.2, step_ms, not flag), seed)


def test_lists_serve_all_sizes_where_arrays_are_not_installed(monkeypatch: Any) -> None:
    monkeypatch.setattr(automaton, "load_arrays", lambda: None)
    balancer = Balancer(settings_of(PLANS["arrays"]), 1)
    play_stream(PLANS["arrays"], 1, [balancer], lambda answers: None)
    assert isinstance(balancer.endpoints.shares, PlainShares) and len(balancer.ready) > 80


def test_streams_hold_what_they_are_for() -> None:
    """Ejections, refusals, retries, slow starts: a stream without them would prove little."""
    seen: dict[str, int] = {}
    for name, plan in PLANS.items():
        new = Balancer(settings_of(plan), 1)

        def check(answers: list[list[io.Action]]) -> None:
            for action in answers[0]:
                key = type(action).__name__
                seen[key] = seen.get(key, 0) + 1

        play_stream(plan, 1, [new], check)
        ejected = sum(s.ejected_until > 0 for s in new.ready)
        seen["ejected"] = seen.get("ejected", 0) + ejected
        if name in ("arrays", "wide"):
            assert isinstance(new.endpoints.shares, ArrayShares)
    assert all(seen[key] > 20 for key in ("Send", "Shed", "Fail", "SetTimer")) and seen["ejected"] > 5, seen


# ---- hard cases of the arithmetic


def fleet_of(count: int, arrays: bool) -> Any:
    shares: Any = PlainShares()
    shares.begin()
    for number in range(count):
        shares.join(automaton.Location(0.1 * (number % 2), number % 2, number // 2), 0)
    shares.commit()
    return ArrayShares(automaton.load_arrays(), shares) if arrays else shares


QUERY = automaton.SelectionConstraints((), (), (), None, False)


@pytest.mark.parametrize("arrays", [False, True])
def test_p_sums_to_one_after_many_updates_and_its_drift_is_bounded(arrays: bool) -> None:
    """A million take the bench (bench.decisions); between two renewals the drift is what this bounds."""
    shares, rng = fleet_of(24, arrays), random.Random(1)
    worst = 0.0
    for _ in range(20_000):
        shares.score(rng.randrange(24), rng.expovariate(1.0))
        worst = max(worst, abs(float(sum(shares.p)) - 1.0))
    assert worst < 1e-10 and min(shares.p) > 0.0


@pytest.mark.parametrize("arrays", [False, True])
def test_from_none_to_one_and_back(arrays: bool) -> None:
    shares, rng = fleet_of(1, arrays), random.Random(1)
    for _ in range(3):
        shares.begin()
        shares.leave(0)
        shares.commit()
        assert (shares.slot_count, shares.has_costs, shares.choose(QUERY, rng)) == (0, False, -1)
        shares.score(-1, 1.0)
        shares.begin()
        assert shares.join(automaton.Location(0.0, 0, 0), 2) == 0
        shares.commit()
        assert list(shares.p) == [1.0] and shares.total_in_flight == 2
        shares.add_in_flight(0, -2)
        shares.score(0, 3.0)
        assert shares.choose(QUERY, rng) == 0


@pytest.mark.parametrize("arrays", [False, True])
def test_equal_costs_and_shares_of_next_to_nothing(arrays: bool) -> None:
    shares, rng = fleet_of(4, arrays), random.Random(1)
    shares.zone_penalty[:] = type(shares.zone_penalty)([0.0] * 4) if not arrays else 0.0
    for _ in range(200):
        shares.score(-1, 1.0)
    assert float(sum(shares.p)) == pytest.approx(1.0)
    for slot in range(3):
        shares.p[slot] = 1e-300
    shares.p[3] = 1.0
    assert shares.choose(QUERY, rng) == 3
    shares.begin()
    shares.leave(3)  # all that is left had next to nothing
    shares.commit()
    assert [float(p) for p in shares.p] == pytest.approx([1 / 3] * 3)
    for slot in range(3):
        shares.p[slot] = 0.0
    shares.begin()
    shares.leave(0)
    shares.commit()
    assert [float(p) for p in shares.p] == pytest.approx([0.5, 0.5])


@pytest.mark.parametrize("arrays", [False, True])
def test_a_cost_beyond_all_others_moves_p_and_breaks_nothing(arrays: bool) -> None:
    shares = fleet_of(60, arrays)
    for number in range(300):
        shares.score(number % 60, 1e300 if number % 60 == 7 else 1.0)
        shares.set_report(3, 1e9)
    assert float(sum(shares.p)) == pytest.approx(1.0)
    assert all(0.0 <= float(p) < 1.0 for p in shares.p) and float(shares.p[7]) == min(map(float, shares.p))


def test_all_cold_and_all_ejected_are_waited_for_and_served() -> None:
    plan = StreamPlan(servers=60, cold=1.0)
    balancer = Balancer(settings_of(plan), 1)
    entries = tuple(io.Endpoint(f"s{n}", "z0", "std", n, "ready", 1.0, 900.0) for n in range(60))
    balancer.handle(1_000.0, io.EndpointListUpdate("stale", entries))
    actions = balancer.handle(1_001.0, io.Request(1, "pay", 800.0))
    assert isinstance(actions[0], io.Send | io.SetTimer)
    for server in balancer.ready:
        server.ejected_until, server.failure_rate = 5_000.0, 0.9
        balancer.endpoints.ejection.unhealthy[server] = None
        server.tokens = 1.0
    # Where all are doubtful, a sound one can't be had: the draw is over them all.
    assert isinstance(balancer.handle(1_002.0, io.Request(2, "pay", 800.0))[0], io.Send)


def test_two_restarts_in_one_update_and_a_leaver_with_attempts_out() -> None:
    balancer = Balancer(settings_of(StreamPlan()), 1)
    one = io.Endpoint("s0", "z0", "std", 0, "ready", 1.0, 0.0)
    other = one._replace(server="s1")
    balancer.handle(0.0, io.EndpointListUpdate("stale", (one, other)))
    sent = [balancer.handle(1.0 + n, io.Request(n, "read", 800.0))[0] for n in range(4)]
    assert all(isinstance(action, io.Send) for action in sent)
    twice = (one._replace(started_ms=5.0), one._replace(started_ms=9.0))
    balancer.handle(10.0, io.EndpointListUpdate("changes", twice))
    assert [s.entry.started_ms for s in balancer.ready] == [0.0, 9.0]
    shares = balancer.endpoints.shares
    assert shares.slot_count == 2 and shares.total_in_flight == len(balancer.servers["s1"].in_flight)
    for n, action in enumerate(sent):
        assert isinstance(action, io.Send)
        balancer.handle(20.0, io.AttemptEnded(n, 0, action.server, "ok", 5.0, True))
    assert shares.total_in_flight == 0 and sum(s.p for s in balancer.ready) == pytest.approx(1.0)


def test_sets_of_the_unusual_are_emptied_again() -> None:
    """What was failing, late or cold once must not be looked at for good."""
    plan = StreamPlan(servers=30, events=600, failure_rate=0.5, churn=0.1)
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


@pytest.mark.parametrize("said", [1e308, float("inf"), float("nan")])
def test_a_report_beyond_all_bounds_leaves_p_a_probability(said: float) -> None:
    for servers in (4, 60):
        balancer = Balancer(settings_of(StreamPlan()), 1)
        entries = tuple(io.Endpoint(f"s{n}", "z0", "std", n, "ready", 1.0, 0.0) for n in range(servers))
        balancer.handle(0.0, io.EndpointListUpdate("stale", entries))
        for n in range(3 * servers):
            (send,) = balancer.handle(2.0 * n, io.Request(n, "read", 800.0))
            assert isinstance(send, io.Send)
            balancer.handle(2.0 * n + 1, io.AttemptEnded(n, 0, send.server, "ok", 5.0, True, (said,)))
        shares = [server.p for server in balancer.ready]
        assert sum(shares) == pytest.approx(1.0) and all(0.0 <= p <= 1.0 for p in shares)
