"""The four rules, over random orders of events."""

from __future__ import annotations

import heapq
from typing import Any

import pytest
from helpers import (
    CLASSES,
    RULES,
    attempt_ended,
    final_answers,
    list_update,
    make_endpoint,
    sends,
    serve_request,
    settings,
    started_balancer,
    submit,
)
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st

from quartzford.decision import interface as io
from quartzford.decision.logic import NEVER_RAN, Balancer

CODES = ("ok", "error", "full", "timeout", "connect_failed", "reset")
KIND = {c.name: c for c in CLASSES}
STEP = st.tuples(
    st.sampled_from(("request", "request", "request", "drain", "gone", "restart", "back", "leave", "whole")),
    st.integers(0, 5),
    st.sampled_from([c.name for c in CLASSES if not c.streaming] + ["unlisted"]),
    st.floats(0.0, 60.0),
    st.sampled_from(CODES),
    st.floats(0.5, 400.0),
    st.sampled_from((90.0, 250.0, 600.0)),
)


class Referee:
    """Plays the world's side of the contract and checks rules 1 to 3 on every action."""

    def __init__(self, seed: int) -> None:
        self.balancer = Balancer(settings(), seed)
        self.now = 0.0
        self.queue: list[tuple[float, int, Any]] = []
        self.count = 0
        self.deadline: dict[int, float] = {}
        self.kind: dict[int, str] = {}
        self.history: dict[int, list[list[Any]]] = {}  # sent, server, code of each attempt
        self.ended: dict[int, float] = {}
        self.state: dict[int, io.Endpoint] = {n: make_endpoint(n) for n in range(6)}
        self.plan: list[tuple[str, float]] = []
        self.feed(io.EndpointListUpdate("stale", tuple(self.state.values())))

    def push(self, at: float, event: Any) -> None:
        self.count += 1
        heapq.heappush(self.queue, (at, self.count, event))

    def feed(self, event: io.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.check(action)

    def check(self, action: io.Action) -> None:
        if isinstance(action, io.Send):
            request = action.request
            assert request not in self.ended, "a send after the end"
            assert self.now <= self.deadline[request], "a send after the deadline"
            number = int(action.server[1:])
            assert self.state[number].state == "ready", "a send to a draining or gone server"
            past = self.history[request]
            assert all(code is not None for _, _, code in past), "two attempts out at once"
            self.no_second_effect(request, number)
            past.append([self.now, number, None])
            code, spent = self.plan.pop(0) if self.plan else ("ok", 20.0)
            limit = min(action.time_out_ms or 1e9, self.deadline[request] - self.now)
            if spent >= limit:
                code, spent = "timeout", max(limit, 0.0)
            self.push(self.now + spent, (request, len(past) - 1, action.server, code, spent))
        elif isinstance(action, io.Shed | io.Fail):
            assert action.request not in self.ended, "answered twice"
            assert self.now <= self.deadline[action.request] + RULES.answer_slack_ms, "answered late"
            self.ended[action.request] = self.now
            if isinstance(action, io.Shed):
                kind = KIND.get(self.kind[action.request])
                harmless = kind and (kind.effect == "free" or (kind.effect, kind.group) == ("keyed", "all"))
                ran = [c for _, _, c in self.history[action.request] if c not in NEVER_RAN]
                assert harmless or not ran, "refused though it may have run"
        elif isinstance(action, io.SetTimer):
            self.push(self.now + max(action.after_ms, 0.0), io.Timer(action.token))

    def no_second_effect(self, request: int, number: int) -> None:
        kind = KIND.get(self.kind[request])
        ran = [(sent, n) for sent, n, code in self.history[request] if code not in NEVER_RAN]
        if not ran or (kind and kind.effect == "free"):
            return
        assert kind is not None and kind.effect == "keyed", "an unsafe request sent again"
        first, home = ran[0]
        assert self.now - first <= kind.window_ms, "sent again outside the window"
        if kind.group == "cell":
            assert self.state[home].cell == self.state[number].cell
        if kind.group == "zone":
            assert self.state[home].zone == self.state[number].zone

    def until(self, time: float) -> None:
        while self.queue and self.queue[0][0] <= time:
            self.now, _, event = heapq.heappop(self.queue)
            if isinstance(event, io.Timer):
                self.feed(event)
                continue
            request, attempt, server, code, spent = event
            self.history[request][attempt][2] = code
            final = code == "ok" or request in self.ended
            if code == "ok":
                self.ended.setdefault(request, self.now)
            self.feed(io.AttemptEnded(request, attempt, server, code, spent, final))
        self.now = time

    def step(self, number: int, step: tuple[str, int, str, float, str, float, float]) -> None:
        what, who, name, wait, code, spent, patience = step
        self.until(self.now + wait)
        self.plan.append((code, spent))
        if what == "request":
            self.deadline[number], self.kind[number] = self.now + patience, name
            self.history[number] = []
            self.feed(io.Request(number, name, patience))
            return
        old = self.state[who]
        if what == "leave":
            open_ones = [r for r in self.deadline if r not in self.ended]
            if open_ones:
                self.ended[open_ones[0]] = self.now
                self.feed(io.ClientDisconnected(open_ones[0]))
            return
        state = {"drain": "draining", "gone": "gone"}.get(what, "ready")
        begun = max(self.now, 0.001) if what == "restart" else old.started_ms
        self.state[who] = old._replace(state=state, started_ms=begun)
        if what == "whole":
            rows = tuple(e for e in self.state.values() if e.state != "gone")
            self.feed(io.EndpointListUpdate("whole", rows))
        else:
            self.feed(io.EndpointListUpdate("changes", (self.state[who],)))


@given(st.integers(0, 99), st.lists(STEP, min_size=5, max_size=60))
@budget(max_examples=150, deadline=None, derandomize=True, database=None)
def test_answered_once_no_effect_twice_drains_kept(seed: int, steps: list[Any]) -> None:
    referee = Referee(seed)
    for number, step in enumerate(steps):
        referee.step(number, step)
    referee.until(referee.now + 5_000.0)
    unanswered = [r for r in referee.deadline if r not in referee.ended]
    assert not unanswered


def test_the_referee_sees_every_kind_of_step() -> None:
    """The property above must not hold for want of sends, retries and ends."""
    referee = Referee(1)
    for number in range(400):
        code = CODES[number % 6]
        step = ("request", 0, CLASSES[number % 5].name, 5.0, code, 30.0, 600.0)
        referee.step(number, step)
    referee.until(referee.now + 5_000.0)
    tries = [len(h) for h in referee.history.values()]
    assert max(tries) > 1 and sum(tries) > 200
    assert len(referee.ended) == 400


@pytest.mark.parametrize("code", ["timeout", "error", "reset", "cancelled"])
def test_an_unsafe_request_that_may_have_run_fails_and_is_not_refused(code: str) -> None:
    balancer = started_balancer()
    send = sends(submit(balancer, 0.0, 1, "pay"))[0]
    actions = balancer.handle(20.0, attempt_ended(send, 0, code, 20.0))
    assert final_answers(actions) == [io.Fail(1)] and not sends(actions)


@pytest.mark.parametrize(("spent", "again"), [(30.0, True), (59.5, False), (80.0, False)])
def test_a_keyed_request_goes_again_in_its_group_and_window_only(spent: float, again: bool) -> None:
    balancer = started_balancer(8)  # cells of two; the window is 60 ms from the first send
    send = sends(submit(balancer, 0.0, 1, "book"))[0]
    actions = balancer.handle(spent, attempt_ended(send, 0, "error", spent))
    if again:
        assert int(sends(actions)[0].server[1:]) // 2 == int(send.server[1:]) // 2
    else:
        assert actions == [io.Fail(1)]


@pytest.mark.parametrize("code", ["full", "connect_failed"])
def test_a_proof_that_it_never_ran_lets_an_unsafe_request_go_on(code: str) -> None:
    balancer = started_balancer()
    send = sends(submit(balancer, 0.0, 1, "pay"))[0]
    again = sends(balancer.handle(5.0, attempt_ended(send, 0, code, 5.0)))
    assert again and again[0].server != send.server


def test_an_empty_list_holds_and_then_refuses_in_time() -> None:
    balancer = Balancer(settings(), 1)
    actions = submit(balancer, 0.0, 1, "pay", budget_ms=100.0)
    now = 0.0
    while not final_answers(actions):
        wakes = [a for a in actions if isinstance(a, io.SetTimer)]
        assert wakes, "held without a timer"
        now += wakes[0].after_ms
        actions = balancer.handle(now, io.Timer(wakes[0].token))
    assert final_answers(actions) == [io.Shed(1, 0.0)] and now <= 100.0


def cold_share(balancers: int, cold: int, warm: int, per_s: float, span_s: float) -> float:
    """Sends a cold server gets from all balancers at most, in any rule-4 span, over what a warm one takes."""
    arrivals: list[float] = []
    gap = 1_000.0 / per_s
    for b in range(balancers):
        balancer = Balancer(settings(balancers=balancers), b)
        balancer.handle(0.0, list_update(range(warm)))
        number, now = 0, b * gap / balancers
        while now < (4.0 + span_s) * 1_000.0:
            if number == int(4.0 * per_s):  # all hear of the newcomers at the same moment
                update = tuple(make_endpoint(100 + n, started_ms=3_900.0) for n in range(cold))
                balancer.handle(now, io.EndpointListUpdate("changes", update))
            number, now = number + 1, now + gap
            for send in sends(submit(balancer, now, number)):
                balancer.handle(now, attempt_ended(send, 0, "ok", 1.0))
                if send.server == "s100":
                    arrivals.append(now)
    arrivals.sort()
    most = max((sum(t <= u < t + RULES.overload_window_ms for u in arrivals) for t in arrivals), default=0)
    return most / (balancers * per_s * RULES.overload_window_ms / 1_000.0 / warm)


FLEETS = [(200, 1, 8, 10.0), (60, 8, 4, 20.0), (1, 2, 8, 400.0)]


@pytest.mark.parametrize(("balancers", "cold", "warm", "per_s"), FLEETS)
def test_cold_servers_get_their_ramp_from_all_balancers_together(
    balancers: int, cold: int, warm: int, per_s: float
) -> None:
    # A warm server takes no more than its capacity, so this is a bound on the multiple of cold capacity.
    highest = RULES.slow_start_capacity + (1 - RULES.slow_start_capacity) * 0.55
    assert 0 < cold_share(balancers, cold, warm, per_s, 5.0) < 2.0 * highest


def test_two_hundred_balancers_hearing_of_a_newcomer_do_not_send_at_once() -> None:
    """One request each is already a burst; the ramp allows 0.2 * 10/s / 8 * 200 = 50 in the first second."""
    got = 0
    for seed in range(200):
        balancer = Balancer(settings(balancers=200), seed)
        balancer.latency.typical_latencies["read"], balancer.latency.answer_counts["read"] = 1.0, 100
        balancer.handle(0.0, list_update(range(8)))
        for n in range(60):
            now = n * 100.0
            if n == 50:
                balancer.handle(now, io.EndpointListUpdate("changes", (make_endpoint(100, started_ms=now),)))
            got += serve_request(balancer, now, n, latency_ms=1.0) == "s100"
    assert 20 < got < 90


def test_a_fleet_of_cold_servers_is_paced_by_a_balancer_that_just_started() -> None:
    balancer = Balancer(settings(), 3)
    balancer.handle(50_000.0, list_update(range(4), started_ms=49_990.0))
    sent = sum(len(sends(submit(balancer, 50_000.0 + n, n))) for n in range(1_000))
    assert 0 < sent < 450  # about the ramp's part of 1,000 requests


def test_stale_lists_drain_at_once() -> None:
    balancer = Balancer(settings(polls_list=True), 3)
    rows = (make_endpoint(0), make_endpoint(1, "draining"), make_endpoint(2))
    balancer.handle(0.0, io.EndpointListUpdate("stale", rows))
    assert {serve_request(balancer, float(n), n) for n in range(60)} == {"s0", "s2"}
