"""Property tests of the four rules over random sequences of events, and tests of single cases."""

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
CLASSES_BY_NAME = {c.name: c for c in CLASSES}
STEP = st.tuples(
    st.sampled_from(("request", "request", "request", "drain", "gone", "restart", "back", "leave", "whole")),
    st.integers(0, 5),
    st.sampled_from([c.name for c in CLASSES if not c.streaming] + ["unlisted"]),
    st.floats(0.0, 60.0),
    st.sampled_from(CODES),
    st.floats(0.5, 400.0),
    st.sampled_from((90.0, 250.0, 600.0)),
)


class RuleChecker:
    """Simulates clients, servers and endpoint list of one balancer; checks rules 1 to 3 on every action."""

    def __init__(self, seed: int) -> None:
        self.balancer = Balancer(settings(), seed)
        self.now = 0.0
        self.queue: list[tuple[float, int, Any]] = []  # time, order, event
        self.event_count = 0
        self.deadlines: dict[int, float] = {}  # by request
        self.class_names: dict[int, str] = {}  # by request
        self.attempts: dict[int, list[list[Any]]] = {}  # by request: time of send, server, outcome or None
        self.finished_at: dict[int, float] = {}  # by request
        self.endpoints: dict[int, io.Endpoint] = {n: make_endpoint(n) for n in range(6)}
        self.planned_outcomes: list[tuple[str, float]] = []  # outcome and duration of the next attempts
        self.feed(io.EndpointListUpdate("stale", tuple(self.endpoints.values())))

    def push(self, at: float, event: Any) -> None:
        self.event_count += 1
        heapq.heappush(self.queue, (at, self.event_count, event))

    def feed(self, event: io.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.check(action)

    def check(self, action: io.Action) -> None:
        if isinstance(action, io.Send):
            request = action.request
            assert request not in self.finished_at, "a send after the final answer"
            assert self.now <= self.deadlines[request], "a send after the deadline"
            number = int(action.server[1:])
            assert self.endpoints[number].state == "ready", "a send to a draining or removed server"
            attempts = self.attempts[request]
            assert all(code is not None for _, _, code in attempts), "two attempts in flight at once"
            self.check_single_effect(request, number)
            attempts.append([self.now, number, None])
            code, spent_ms = self.planned_outcomes.pop(0) if self.planned_outcomes else ("ok", 20.0)
            limit_ms = min(action.time_out_ms or 1e9, self.deadlines[request] - self.now)
            if spent_ms >= limit_ms:
                code, spent_ms = "timeout", max(limit_ms, 0.0)
            self.push(self.now + spent_ms, (request, len(attempts) - 1, action.server, code, spent_ms))
        elif isinstance(action, io.Shed | io.Fail):
            assert action.request not in self.finished_at, "answered twice"
            assert self.now <= self.deadlines[action.request] + RULES.answer_slack_ms, "answered late"
            self.finished_at[action.request] = self.now
            if isinstance(action, io.Shed):
                service_class = CLASSES_BY_NAME.get(self.class_names[action.request])
                safe_to_repeat = service_class and (
                    service_class.effect == "free"
                    or (service_class.effect, service_class.group) == ("keyed", "all")
                )
                possibly_ran = [c for _, _, c in self.attempts[action.request] if c not in NEVER_RAN]
                assert safe_to_repeat or not possibly_ran, "shed though it may have run"
        elif isinstance(action, io.SetTimer):
            self.push(self.now + max(action.after_ms, 0.0), io.Timer(action.token))

    def check_single_effect(self, request: int, number: int) -> None:
        """Check that a send to this server can't give the request a second effect."""
        service_class = CLASSES_BY_NAME.get(self.class_names[request])
        possibly_ran = [(sent, n) for sent, n, code in self.attempts[request] if code not in NEVER_RAN]
        if not possibly_ran or (service_class and service_class.effect == "free"):
            return
        assert service_class is not None and service_class.effect == "keyed", "an unsafe request sent again"
        first_sent, first_server = possibly_ran[0]
        assert self.now - first_sent <= service_class.window_ms, "sent again outside the window"
        if service_class.group == "cell":
            assert self.endpoints[first_server].cell == self.endpoints[number].cell
        if service_class.group == "zone":
            assert self.endpoints[first_server].zone == self.endpoints[number].zone

    def advance_to(self, time: float) -> None:
        """Deliver all timers and attempt ends up to this time."""
        while self.queue and self.queue[0][0] <= time:
            self.now, _, event = heapq.heappop(self.queue)
            if isinstance(event, io.Timer):
                self.feed(event)
                continue
            request, attempt, server, code, spent_ms = event
            self.attempts[request][attempt][2] = code
            final = code == "ok" or request in self.finished_at
            if code == "ok":
                self.finished_at.setdefault(request, self.now)
            self.feed(io.AttemptEnded(request, attempt, server, code, spent_ms, final))
        self.now = time

    def step(self, number: int, step: tuple[str, int, str, float, str, float, float]) -> None:
        operation, server_number, class_name, wait_ms, code, spent_ms, budget_ms = step
        self.advance_to(self.now + wait_ms)
        self.planned_outcomes.append((code, spent_ms))
        if operation == "request":
            self.deadlines[number], self.class_names[number] = self.now + budget_ms, class_name
            self.attempts[number] = []
            self.feed(io.Request(number, class_name, budget_ms))
            return
        previous = self.endpoints[server_number]
        if operation == "leave":
            pending = [r for r in self.deadlines if r not in self.finished_at]
            if pending:
                self.finished_at[pending[0]] = self.now
                self.feed(io.ClientDisconnected(pending[0]))
            return
        state = {"drain": "draining", "gone": "gone"}.get(operation, "ready")
        started_ms = max(self.now, 0.001) if operation == "restart" else previous.started_ms
        self.endpoints[server_number] = previous._replace(state=state, started_ms=started_ms)
        if operation == "whole":
            rows = tuple(e for e in self.endpoints.values() if e.state != "gone")
            self.feed(io.EndpointListUpdate("whole", rows))
        else:
            self.feed(io.EndpointListUpdate("changes", (self.endpoints[server_number],)))


@given(st.integers(0, 99), st.lists(STEP, min_size=5, max_size=60))
@budget(max_examples=150, deadline=None, derandomize=True, database=None)
def test_random_events_keep_rules_1_to_3_and_answer_every_request(seed: int, steps: list[Any]) -> None:
    checker = RuleChecker(seed)
    for number, step in enumerate(steps):
        checker.step(number, step)
    checker.advance_to(checker.now + 5_000.0)
    unanswered = [r for r in checker.deadlines if r not in checker.finished_at]
    assert not unanswered


def test_rule_checker_produces_sends_retries_and_answers() -> None:
    """Guards against the property test above passing only because nothing is sent, retried or answered."""
    checker = RuleChecker(1)
    for number in range(400):
        code = CODES[number % 6]
        step = ("request", 0, CLASSES[number % 5].name, 5.0, code, 30.0, 600.0)
        checker.step(number, step)
    checker.advance_to(checker.now + 5_000.0)
    attempt_counts = [len(attempts) for attempts in checker.attempts.values()]
    assert max(attempt_counts) > 1 and sum(attempt_counts) > 200
    assert len(checker.finished_at) == 400


@pytest.mark.parametrize("code", ["timeout", "error", "reset", "cancelled"])
def test_unsafe_request_that_may_have_run_fails_and_is_not_shed(code: str) -> None:
    balancer = started_balancer()
    send = sends(submit(balancer, 0.0, 1, "pay"))[0]
    actions = balancer.handle(20.0, attempt_ended(send, 0, code, 20.0))
    assert final_answers(actions) == [io.Fail(1)] and not sends(actions)


@pytest.mark.parametrize(("spent", "retried"), [(30.0, True), (59.5, False), (80.0, False)])
def test_keyed_request_is_retried_only_in_its_group_and_window(spent: float, retried: bool) -> None:
    balancer = started_balancer(8)  # cells of two; the window is 60 ms from the first send
    send = sends(submit(balancer, 0.0, 1, "book"))[0]
    actions = balancer.handle(spent, attempt_ended(send, 0, "error", spent))
    if retried:
        assert int(sends(actions)[0].server[1:]) // 2 == int(send.server[1:]) // 2
    else:
        assert actions == [io.Fail(1)]


@pytest.mark.parametrize("code", ["full", "connect_failed"])
def test_unsafe_request_that_never_ran_is_retried_on_another_server(code: str) -> None:
    balancer = started_balancer()
    send = sends(submit(balancer, 0.0, 1, "pay"))[0]
    retries = sends(balancer.handle(5.0, attempt_ended(send, 0, code, 5.0)))
    assert retries and retries[0].server != send.server


def test_request_with_empty_list_waits_and_is_shed_before_its_deadline() -> None:
    balancer = Balancer(settings(), 1)
    actions = submit(balancer, 0.0, 1, "pay", budget_ms=100.0)
    now = 0.0
    while not final_answers(actions):
        timers = [a for a in actions if isinstance(a, io.SetTimer)]
        assert timers, "held without a timer"
        now += timers[0].after_ms
        actions = balancer.handle(now, io.Timer(timers[0].token))
    assert final_answers(actions) == [io.Shed(1, 0.0)] and now <= 100.0


def max_cold_share(balancers: int, cold: int, warm: int, per_s: float, span_s: float) -> float:
    """Return the peak rate at which all balancers send to a cold server, relative to a warm server's rate.

    The peak is taken over windows of overload_window_ms, as in rule 4.
    """
    arrivals: list[float] = []
    interval_ms = 1_000.0 / per_s
    for b in range(balancers):
        balancer = Balancer(settings(balancers=balancers), b)
        balancer.handle(0.0, list_update(range(warm)))
        number, now = 0, b * interval_ms / balancers
        while now < (4.0 + span_s) * 1_000.0:
            if number == int(4.0 * per_s):  # all balancers learn of the new servers at the same time
                update = tuple(make_endpoint(100 + n, started_ms=3_900.0) for n in range(cold))
                balancer.handle(now, io.EndpointListUpdate("changes", update))
            number, now = number + 1, now + interval_ms
            for send in sends(submit(balancer, now, number)):
                balancer.handle(now, attempt_ended(send, 0, "ok", 1.0))
                if send.server == "s100":
                    arrivals.append(now)
    arrivals.sort()
    peak = max((sum(t <= u < t + RULES.overload_window_ms for u in arrivals) for t in arrivals), default=0)
    return peak / (balancers * per_s * RULES.overload_window_ms / 1_000.0 / warm)


FLEETS = [(200, 1, 8, 10.0), (60, 8, 4, 20.0), (1, 2, 8, 400.0)]


@pytest.mark.parametrize(("balancers", "cold", "warm", "per_s"), FLEETS)
def test_all_balancers_together_keep_cold_servers_within_their_ramp(
    balancers: int, cold: int, warm: int, per_s: float
) -> None:
    # A warm server takes no more than its capacity, so this bounds the multiple of the cold capacity.
    ramp_share = RULES.slow_start_capacity + (1 - RULES.slow_start_capacity) * 0.55
    assert 0 < max_cold_share(balancers, cold, warm, per_s, 5.0) < 2.0 * ramp_share


def test_200_balancers_with_a_new_server_do_not_send_to_it_all_at_once() -> None:
    """Guards against a burst: all balancers learn of the new server at once and each sends a request.

    The ramp allows 0.2 * 10/s / 8 * 200 = 50 requests in the first second.
    """
    received = 0
    for seed in range(200):
        balancer = Balancer(settings(balancers=200), seed)
        balancer.latency.typical_latencies["read"], balancer.latency.answer_counts["read"] = 1.0, 100
        balancer.handle(0.0, list_update(range(8)))
        for n in range(60):
            now = n * 100.0
            if n == 50:
                balancer.handle(now, io.EndpointListUpdate("changes", (make_endpoint(100, started_ms=now),)))
            received += serve_request(balancer, now, n, latency_ms=1.0) == "s100"
    assert 20 < received < 90


def test_new_balancer_limits_rate_to_a_fleet_of_cold_servers() -> None:
    balancer = Balancer(settings(), 3)
    balancer.handle(50_000.0, list_update(range(4), started_ms=49_990.0))
    sent = sum(len(sends(submit(balancer, 50_000.0 + n, n))) for n in range(1_000))
    assert 0 < sent < 450  # about the share of the 1,000 requests that the ramp allows


def test_draining_server_of_stale_list_gets_no_sends() -> None:
    balancer = Balancer(settings(polls_list=True), 3)
    rows = (make_endpoint(0), make_endpoint(1, "draining"), make_endpoint(2))
    balancer.handle(0.0, io.EndpointListUpdate("stale", rows))
    assert {serve_request(balancer, float(n), n) for n in range(60)} == {"s0", "s2"}
