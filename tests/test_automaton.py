"""Tests of P through answers and changes of membership, and of draws that follow the seed."""

from __future__ import annotations

from typing import Any

from helpers import attempt_ended, list_update, make_endpoint, sends, started_balancer, submit
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st
from pytest import approx

from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer


def probabilities(balancer: Balancer) -> dict[str, float]:
    return {s.entry.server: s.p for s in balancer.ready}


def test_p_is_uniform_at_start() -> None:
    assert list(probabilities(started_balancer(5)).values()) == [approx(0.2)] * 5


OPERATION = st.sampled_from(["ready", "gone", "draining", "restart", "ok", "reset"])


@given(st.lists(st.tuples(st.integers(0, 7), OPERATION)))
@budget(max_examples=100, deadline=None, derandomize=True, database=None)
def test_p_stays_a_distribution_through_random_events(steps: list[Any]) -> None:
    balancer = started_balancer(4)
    for now, (number, operation) in enumerate(steps, 1):
        if operation in ("ok", "reset"):
            for send in sends(submit(balancer, float(now), now)):
                balancer.handle(now + 0.5, attempt_ended(send, 0, operation, float(number + 1), final=True))
        else:
            state, started_ms = ("ready", float(now)) if operation == "restart" else (operation, 0.0)
            balancer.handle(
                float(now), io.EndpointListUpdate("changes", (make_endpoint(number, state, started_ms),))
            )
        if balancer.ready:
            assert sum(s.p for s in balancer.ready) == approx(1.0)
            assert all(s.p >= 0 for s in balancer.ready)


def test_joining_and_leaving_server_change_p_in_proportion() -> None:
    balancer = started_balancer(4)
    balancer.handle(1.0, io.EndpointListUpdate("changes", (make_endpoint(4),)))
    assert list(probabilities(balancer).values()) == [approx(0.2)] * 5
    balancer.handle(2.0, io.EndpointListUpdate("changes", (make_endpoint(0, "gone"),)))
    assert probabilities(balancer) == {f"s{n}": approx(0.25) for n in (1, 2, 3, 4)}


def test_same_seed_gives_same_actions_and_events_of_unknown_requests_are_ignored() -> None:
    def play(seed: int) -> list[io.Action]:
        balancer, actions = started_balancer(4, seed), []
        for n in range(200):
            actions += submit(balancer, float(n), n)
        return actions

    assert play(1) == play(1) != play(2)
    balancer = started_balancer(2)
    assert balancer.handle(1.0, io.Timer(99)) == []
    assert balancer.handle(1.0, io.ClientDisconnected(99)) == []
    assert balancer.handle(1.0, io.AttemptEnded(99, 0, "s0", "ok", 1.0, True)) == []
    assert balancer.handle(1.0, io.AttemptEnded(99, 0, "nobody", "reset", 1.0, True)) == []
    assert balancer.handle(1.0, io.ResponseStarted(99, 0, "s0", 1.0)) == []
    assert balancer.handle(1.0, list_update(range(2), "failed")) is not None
