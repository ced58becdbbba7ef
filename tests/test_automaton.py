"""Eq. 6 to 8 on numbers worked by hand, and P through changes of membership."""

from __future__ import annotations

from typing import Any

from helpers import attempt_ended, list_update, make_endpoint, sends, started_balancer, submit
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st
from pytest import approx

from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer


def shares(balancer: Balancer) -> dict[str, float]:
    return {s.entry.server: s.p for s in balancer.ready}


def test_equal_at_start() -> None:
    assert list(shares(started_balancer(5)).values()) == [approx(0.2)] * 5


WHAT = st.sampled_from(["ready", "gone", "draining", "restart", "ok", "reset"])


@given(st.lists(st.tuples(st.integers(0, 7), WHAT)))
@budget(max_examples=100, deadline=None, derandomize=True, database=None)
def test_p_stays_a_distribution(steps: list[Any]) -> None:
    balancer = started_balancer(4)
    for now, (number, what) in enumerate(steps, 1):
        if what in ("ok", "reset"):
            for send in sends(submit(balancer, float(now), now)):
                balancer.handle(now + 0.5, attempt_ended(send, 0, what, float(number + 1), final=True))
        else:
            state, begun = ("ready", float(now)) if what == "restart" else (what, 0.0)
            balancer.handle(
                float(now), io.EndpointListUpdate("changes", (make_endpoint(number, state, begun),))
            )
        if balancer.ready:
            assert sum(s.p for s in balancer.ready) == approx(1.0)
            assert all(s.p >= 0 for s in balancer.ready)


def test_newcomer_and_leaver() -> None:
    balancer = started_balancer(4)
    balancer.handle(1.0, io.EndpointListUpdate("changes", (make_endpoint(4),)))
    assert list(shares(balancer).values()) == [approx(0.2)] * 5
    balancer.handle(2.0, io.EndpointListUpdate("changes", (make_endpoint(0, "gone"),)))
    assert shares(balancer) == {f"s{n}": approx(0.25) for n in (1, 2, 3, 4)}


def test_same_seed_same_actions_and_late_events_are_ignored() -> None:
    def play(seed: int) -> list[io.Action]:
        balancer, out = started_balancer(4, seed), []
        for n in range(200):
            out += submit(balancer, float(n), n)
        return out

    assert play(1) == play(1) != play(2)
    balancer = started_balancer(2)
    assert balancer.handle(1.0, io.Timer(99)) == []
    assert balancer.handle(1.0, io.ClientDisconnected(99)) == []
    assert balancer.handle(1.0, io.AttemptEnded(99, 0, "s0", "ok", 1.0, True)) == []
    assert balancer.handle(1.0, io.AttemptEnded(99, 0, "nobody", "reset", 1.0, True)) == []
    assert balancer.handle(1.0, io.ResponseStarted(99, 0, "s0", 1.0)) == []
    assert balancer.handle(1.0, list_update(range(2), "failed")) is not None
