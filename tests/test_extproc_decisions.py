"""The decision service without I/O: random orders of caller, server and clock events."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

import pytest
from helpers import CLASSES, RULES, make_endpoint, settings
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st

from quartzford.backends.caller import CallerBackend
from quartzford.engine import Engine
from quartzford.fronts.extproc.attempt_result import AttemptResult, read_result
from quartzford.fronts.extproc.decision_messages import (
    DeadlineExceeded,
    Decision,
    DecisionRequest,
    Failed,
    Rejected,
    Reply,
    RequestOpened,
    ResponseForwarded,
    RetryOffered,
)
from quartzford.fronts.extproc.decision_service import DecisionService
from quartzford.fronts.extproc.remote_request import Stream
from quartzford.fronts.extproc.token import InvalidToken, Tokens
from quartzford.membership.listing import Listing

CLASS_BY_NAME = {c.name: c for c in CLASSES}
NEVER_RAN_CODES = ("full", "connect_failed")


class Timer:
    def __init__(self, call: Callable[[], object]) -> None:
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        self.call = None


class FakeClock:
    """A clock that only pass_time advances; seconds."""

    def __init__(self) -> None:
        self.at = 1000.0
        self.queue: list[tuple[float, int, Timer]] = []
        self.count = itertools.count()

    def now(self) -> float:
        return self.at

    def unix_ms(self) -> float:
        return self.at * 1000.0

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        timer = Timer(lambda: callback(*args))
        heapq.heappush(self.queue, (self.at + max(0.0, delay), next(self.count), timer))
        return timer

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Timer:
        return self.call_later(0.0, callback, *args)

    def pass_time(self, seconds: float) -> None:
        end = self.at + seconds
        while self.queue and self.queue[0][0] <= end:
            self.at, _, timer = heapq.heappop(self.queue)
            if timer.call is not None:
                timer.call()
        self.at = end


class MemoryLog:
    def __init__(self) -> None:
        self.lines: list[str] = []

    def line(self, topic: str, text: str) -> None:
        self.lines.append(f"{topic}: {text}")

    def exception(self, where: str) -> None:
        raise  # noqa: PLE0704  (called from within a handler)


class ServiceTestbed:
    """A decision service with its engine, a fake clock and an endpoint list that the test changes."""

    def __init__(self, servers: int = 6, seed: int = 3) -> None:
        self.clock, self.log = FakeClock(), MemoryLog()
        self.engine = Engine(settings(), seed, self.clock, self.log)
        self.backend = CallerBackend(self.engine, self.clock, 0.1)
        tokens = Tokens(b"k" * 16, b"life-one")
        self.service = DecisionService(self.engine, self.backend, self.clock, tokens, 0.2, 0.03, 1000)
        self.entries = {n: make_endpoint(n) for n in range(servers)}
        self.drained: dict[str, float] = {}
        self.send_list()
        self.engine.start()
        self.streams: list[CallerStream] = []

    def send_list(self) -> None:
        rows = tuple(self.entries.values())
        self.backend.listed(Listing(1, True, rows, tuple(("s", int(r.server[1:])) for r in rows)))
        self.engine.endpoint_list_update("whole", rows)

    def set_state(self, number: int, state: str) -> None:
        self.entries[number] = self.entries[number]._replace(state=state)
        if state != "ready":
            self.drained.setdefault(f"s{number}", self.clock.at)
        else:
            self.drained.pop(f"s{number}", None)
        self.send_list()


class CallerStream:
    """A caller's stream that records the replies and checks that each belongs to a request or report.

    late_writer: the stream's worker gets the first decision too late to write it.
    """

    def __init__(self, testbed: ServiceTestbed, late_writer: bool = False) -> None:
        self.testbed, self.late_writer = testbed, late_writer
        self.held_decision: Decision | None = None
        self.received: list[Reply] = []
        self.requested = self.reported = 0
        self.stream = Stream(self.receive)
        self.dropped = False
        testbed.streams.append(self)

    def receive(self, reply: Reply) -> None:
        assert not self.dropped, "a reply to a closed stream"
        if self.late_writer and isinstance(reply, Decision):
            self.late_writer, self.held_decision = False, reply
            late_s = reply.valid_until - self.testbed.clock.at + 0.001
            self.testbed.clock.call_later(late_s, self.expire_held_decision)
            return
        self.received.append(reply)
        replies = [r for r in self.received if not isinstance(r, DeadlineExceeded)]
        assert len(replies) <= self.requested + self.reported, "a reply without a request or report"

    def submit(self, request: DecisionRequest) -> CallerStream:
        self.requested += 1
        self.testbed.service.request_decision(self.stream, request)
        return self

    def report(self, code: str) -> None:
        self.reported += 1
        self.testbed.service.report_result(self.stream, AttemptResult(code))

    def drop(self) -> None:
        if not self.dropped:
            self.dropped = True
            self.testbed.service.stream_closed(self.stream, self.held_decision is not None)

    def expire_held_decision(self) -> None:
        held_decision, self.held_decision = self.held_decision, None
        if held_decision is not None and not self.dropped:
            self.testbed.service.decision_expired(self.stream)

    def decision(self) -> Decision | None:
        return next((r for r in self.received if isinstance(r, Decision)), None)

    def has_attempt_in_flight(self) -> bool:
        """Return whether its caller has an attempt in flight."""
        cut = any(isinstance(r, DeadlineExceeded) for r in self.received)
        return self.decision() is not None and not self.reported and not self.dropped and not cut


class ClientRequest:
    """One request of a client with its caller's streams; checks each decision against the service's rules."""

    def __init__(
        self,
        testbed: ServiceTestbed,
        number: int,
        name: str,
        left_ms: float,
        opens: bool,
        late_writer: bool = False,
    ) -> None:
        self.testbed, self.name, self.identity = testbed, name, f"c{number}"
        self.deadline = testbed.clock.at + left_ms / 1000.0
        self.sends: list[tuple[float, int, str]] = []  # time, server number, outcome
        self.results: list[str] = []
        self.token = ""
        self.caller_stream = CallerStream(testbed, late_writer)
        self.caller_stream.submit(
            DecisionRequest(self.identity, name, left_ms, keyed=name != "pay", opens=opens)
        )
        self.opens, self.spare = opens, 0
        self.process_replies()

    def submit_next(self) -> None:
        self.caller_stream = CallerStream(self.testbed).submit(
            DecisionRequest(self.identity, self.name, token=self.token)
        )
        self.process_replies()

    def process_replies(self) -> None:
        """Act on the replies to the current stream as a caller would."""
        if self.results:
            return
        received = [r for r in self.caller_stream.received if not isinstance(r, DeadlineExceeded)]
        if any(isinstance(r, DeadlineExceeded) for r in self.caller_stream.received):
            return self.finish("cut")
        if not received:
            return
        last = received[-1]
        if isinstance(last, RequestOpened) and len(received) == 1 and not self.token:
            self.token = last.token
            return
        if isinstance(last, Decision) and len(self.sends) < self.max_sends():
            self.send(last)
        elif isinstance(last, Rejected):
            self.finish("refused")
        elif isinstance(last, Failed):
            self.finish("failed")
        elif isinstance(last, ResponseForwarded):
            self.finish("served")

    def max_sends(self) -> int:
        return len(self.sends) + (0 if getattr(self.caller_stream, "used", False) else 1)

    def send(self, decision: Decision) -> None:
        self.caller_stream.used = True  # type: ignore[attr-defined]
        self.token = decision.token
        now, number = self.testbed.clock.at, int(decision.address.rpartition(":")[2])
        assert now <= self.deadline, "decision after the deadline"
        assert all(outcome for _, _, outcome in self.sends), "two attempts in flight at once"
        drained = self.testbed.drained.get(f"s{number}")
        assert (
            drained is None or now - drained <= RULES.drain_grace_ms / 1000.0
        ), "decision for a server whose drain grace has passed"
        assert drained is None, "decision for a server known to drain"
        ran = [(at, n) for at, n, outcome in self.sends if outcome not in NEVER_RAN_CODES]
        service_class = CLASS_BY_NAME[self.name]
        if ran and service_class.effect == "unsafe":
            raise AssertionError("an unsafe request was sent again")
        if ran and service_class.effect == "keyed":
            first, home = ran[0]
            assert (
                now - first
            ) * 1000.0 <= service_class.window_ms, "keyed request sent again outside its window"
            if service_class.group == "cell":
                assert home // 2 == number // 2
        self.sends.append((now, number, ""))

    def record_outcome(self, outcome: str) -> None:
        at, number, _ = self.sends[-1]
        self.sends[-1] = (at, number, outcome)

    def finish(self, outcome: str) -> None:
        self.results.append(outcome)
        if outcome == "refused":
            ran = [outcome for _, _, outcome in self.sends if outcome not in NEVER_RAN_CODES]
            service_class = CLASS_BY_NAME[self.name]
            harmless = service_class.effect == "free" or (service_class.effect, service_class.group) == (
                "keyed",
                "all",
            )
            assert harmless or not ran, "rejected although it may have run"


STEP = st.tuples(
    st.sampled_from(
        (
            "new",
            "new",
            "slow",
            "open",
            "report",
            "report",
            "drop",
            "again",
            "overlap",
            "copy",
            "drain",
            "ready",
            "wait",
            "all",
        )
    ),
    st.integers(0, 7),
    st.sampled_from(("read", "book", "hold", "note", "pay")),
    st.sampled_from(("ok", "error", "full", "timeout", "connect_failed", "reset")),
    st.sampled_from((0.0, 0.001, 0.02, 0.04, 0.15, 0.3)),
)


def apply_step(
    testbed: ServiceTestbed, client_requests: list[ClientRequest], number: int, drawn_step: Any
) -> None:
    action, index, name, code, wait = drawn_step
    testbed.clock.pass_time(wait)
    for client_request in client_requests:
        client_request.process_replies()
    if action in ("new", "open", "slow"):
        left_ms = 500.0 if index % 2 else 150.0
        client_requests.append(
            ClientRequest(testbed, number, name, left_ms, action == "open", action == "slow")
        )
    elif action == "drain":
        testbed.set_state(index % 6, "draining")
    elif action == "ready":
        testbed.set_state(index % 6, "ready")
    elif action == "all":
        for n in range(6):
            testbed.set_state(n, "ready" if index % 2 else "draining")
    live = [c for c in client_requests if not c.results]
    if not live or action in ("new", "open", "slow", "drain", "ready", "wait", "all"):
        return
    client_request = live[index % len(live)]
    caller_stream = client_request.caller_stream
    if action == "report" and caller_stream.has_attempt_in_flight():
        client_request.record_outcome(code)
        caller_stream.report(code)
        client_request.process_replies()
        if any(isinstance(r, RetryOffered) for r in caller_stream.received) and not client_request.results:
            caller_stream.drop()
            client_request.submit_next()
    elif action == "report" and client_request.opens and client_request.token and not client_request.sends:
        client_request.opens = False
        client_request.submit_next()
    elif action in ("drop", "again"):
        if caller_stream.has_attempt_in_flight():
            client_request.record_outcome("lost")
        caller_stream.drop()
        if action == "again" and client_request.token:
            client_request.submit_next()
        else:
            client_request.results.append("left")
    elif action == "overlap" and caller_stream.has_attempt_in_flight():
        other = CallerStream(testbed).submit(
            DecisionRequest(client_request.identity, client_request.name, token=client_request.token)
        )
        testbed.clock.pass_time(0.02)
        assert not other.decision(), "a second attempt while one is in flight"
        other.drop()
    elif action == "copy" and caller_stream.has_attempt_in_flight():
        other = CallerStream(testbed).submit(
            DecisionRequest(client_request.identity, client_request.name, 100.0)
        )
        assert other.received == [Failed(409)]
        other.drop()


@given(st.integers(0, 50), st.lists(STEP, min_size=5, max_size=50))
@budget(max_examples=400, deadline=None, derandomize=True, database=None)
def test_random_steps_answer_once_and_keep_execution_and_drain_rules(seed: int, steps: list[Any]) -> None:
    testbed = ServiceTestbed(seed=seed)
    client_requests: list[ClientRequest] = []
    for number, drawn_step in enumerate(steps):
        apply_step(testbed, client_requests, number, drawn_step)
    for _ in range(40):
        testbed.clock.pass_time(0.1)
        for client_request in client_requests:
            client_request.process_replies()
    for client_request in client_requests:
        assert len(client_request.results) == 1 or (
            not client_request.results and client_request.opens
        ), "not answered exactly once"
    assert not testbed.service.requests and not testbed.service.requests_by_identity
    assert not testbed.engine.pending_requests and not testbed.engine.balancer.pending_requests
    assert not any(
        s.in_flight for s in testbed.engine.balancer.servers.values()
    ), "an attempt that never ended"
    assert not any("overdue" in line for line in testbed.log.lines)


def test_random_steps_reach_every_reply_type() -> None:
    """Guards the random test above: its steps must include retries, rejections and passed deadlines."""
    reply_types: set[type[Any]] = set()
    for seed in range(30):
        testbed, client_requests = ServiceTestbed(seed=seed), []
        for number in range(60):
            action = ("new", "report", "again", "open", "report", "wait", "all", "report")[number % 8]
            code = ("error", "full", "reset", "ok")[(number + seed) % 4]
            name = ("read", "book", "pay")[number % 3]
            apply_step(
                testbed,
                client_requests,
                number,
                (action, number % 7, name, code, (0.0, 0.02, 0.15)[number % 3]),
            )
        testbed.clock.pass_time(5.0)
        reply_types |= {type(r) for caller_stream in testbed.streams for r in caller_stream.received}
    assert reply_types == {
        Decision,
        RequestOpened,
        Rejected,
        Failed,
        ResponseForwarded,
        RetryOffered,
        DeadlineExceeded,
    }


# ---- the rows of the state table in docs/extproc.md


def stream_with_decision(testbed: ServiceTestbed, name: str = "pay", identity: str = "c1") -> CallerStream:
    caller_stream = CallerStream(testbed).submit(DecisionRequest(identity, name, 500.0, keyed=name != "pay"))
    assert caller_stream.decision()
    return caller_stream


@pytest.mark.parametrize("code", ["error", "timeout", "reset"])
def test_unsafe_request_that_may_have_run_fails(code: str) -> None:
    testbed = ServiceTestbed()
    caller_stream = stream_with_decision(testbed)
    caller_stream.report(code)
    assert caller_stream.received[1:] == [Failed(502)]
    assert CallerStream(testbed).submit(DecisionRequest("c1", "pay")).received == [Failed(409)]


@pytest.mark.parametrize("code", NEVER_RAN_CODES)
def test_request_that_never_ran_is_retried(code: str) -> None:
    testbed = ServiceTestbed()
    caller_stream = stream_with_decision(testbed)
    first = caller_stream.decision()
    caller_stream.report(code)
    assert caller_stream.received[1:] == [RetryOffered(True)] and first is not None
    next_stream = CallerStream(testbed).submit(DecisionRequest("c1", "pay", token=first.token))
    assert next_stream.decision() and next_stream.decision().address != first.address  # type: ignore[union-attr]


def test_unclaimed_decision_counts_as_never_sent() -> None:
    testbed = ServiceTestbed()
    opener = CallerStream(testbed).submit(DecisionRequest("c1", "pay", 500.0, opens=True))
    assert isinstance(opener.received[0], RequestOpened)
    testbed.clock.pass_time(0.25)  # no stream requests the decision in time
    assert not testbed.service.requests and not testbed.engine.counts["overdue"]
    assert testbed.service.completed["c1"].never_ran
    repeated = CallerStream(testbed).submit(DecisionRequest("c1", "pay", 500.0))
    assert repeated.decision()


def test_lost_attempt_is_recorded_as_possibly_run() -> None:
    testbed = ServiceTestbed()
    caller_stream = stream_with_decision(testbed)
    caller_stream.drop()
    assert testbed.service.requests
    testbed.clock.pass_time(0.25)
    assert not testbed.service.requests and not testbed.service.completed["c1"].never_ran
    assert testbed.engine.counts["cancelled"] == 1 and testbed.engine.counts["client gone"] == 1


def test_duplicate_or_unrelated_report_is_ignored() -> None:
    testbed = ServiceTestbed()
    caller_stream = stream_with_decision(testbed)
    caller_stream.report("ok")
    caller_stream.report("error")
    assert caller_stream.received[1:] == [ResponseForwarded(), ResponseForwarded()]
    assert testbed.engine.counts["error"] == 0
    stranger = CallerStream(testbed)
    stranger.report("error")
    assert stranger.received == [ResponseForwarded()] and testbed.engine.counts["error"] == 0


def test_completed_requests_expire() -> None:
    testbed = ServiceTestbed()
    for n in range(300):
        stream_with_decision(testbed, "read", f"c{n}").report("ok")
        testbed.clock.pass_time(0.01)
    assert len(testbed.service.completed) < 200


def test_request_over_max_requests_is_rejected() -> None:
    testbed = ServiceTestbed()
    testbed.service.max_requests = 1
    stream_with_decision(testbed)
    assert CallerStream(testbed).submit(DecisionRequest("c2", "pay")).received == [Rejected(0.0, False)]
    assert len(testbed.engine.pending_requests) == 1


def test_request_queued_too_long_is_rejected_without_decision() -> None:
    testbed = ServiceTestbed()
    caller_stream = CallerStream(testbed)
    caller_stream.requested += 1
    testbed.service.request_decision(
        caller_stream.stream, DecisionRequest("c1", "pay", 500.0), testbed.clock.at - 0.2
    )
    assert caller_stream.received == [Rejected(0.0, False)] and not testbed.engine.pending_requests
    punctual = CallerStream(testbed)
    punctual.requested += 1
    testbed.service.request_decision(
        punctual.stream, DecisionRequest("c2", "pay", 500.0), testbed.clock.at - 0.05
    )
    (call,) = testbed.engine.pending_requests.values()
    assert punctual.decision() and call.deadline == pytest.approx(testbed.clock.at + 0.45)


def test_reload_keeps_requests_in_flight() -> None:
    testbed = ServiceTestbed()
    caller_stream = stream_with_decision(testbed)
    testbed.engine.reconfigure(settings(balancers=3))
    caller_stream.report("ok")
    assert caller_stream.received[1:] == [ResponseForwarded()]


# ---- tokens and outcomes


def test_token_is_valid_only_for_its_request_and_incarnation() -> None:
    tokens, other = Tokens(b"k" * 16, b"life-one"), Tokens(b"k" * 16, b"life-two")
    text = tokens.make(7, "c1", 1000.0)
    assert tokens.read(text, "c1", 999.0) == 7
    assert tokens.read(text, "c1", 1001.0) is InvalidToken.STALE
    assert other.read(text, "c1", 999.0) is InvalidToken.STALE
    assert tokens.read(text, "c2", 999.0) is InvalidToken.FORGED
    assert Tokens(b"x" * 16, b"life-one").read(text, "c1", 999.0) is InvalidToken.FORGED
    for n in range(len(text)):
        changed = text[:n] + ("A" if text[n] != "A" else "B") + text[n + 1 :]
        assert tokens.read(changed, "c1", 999.0) is InvalidToken.FORGED
    with pytest.raises(ValueError):
        Tokens(b"short", b"life-one")


@given(st.text(max_size=120))
@budget(max_examples=200, deadline=None, derandomize=True, database=None)
def test_random_text_is_forged_token(text: str) -> None:
    assert Tokens(b"k" * 16, b"life-one").read(text, "c1", 0.0) is InvalidToken.FORGED


@pytest.mark.parametrize(
    ("status", "unprocessed", "details", "code"),
    [
        (200, False, "via_upstream", "ok"),
        (200, True, "", "ok"),
        (204, False, "via_upstream", "error"),
        (500, True, "via_upstream", "error"),
        (503, True, "via_upstream", "full"),
        (504, True, "", "full"),
        (503, False, "via_upstream", "error"),
        (503, False, "", "error"),
        (503, True, "upstream_reset_before_response_started{connection_termination}", "reset"),
        (503, False, "upstream_reset_before_response_started{remote_connection_failure,x}", "connect_failed"),
        (503, False, "upstream_reset_before_response_started{overflow}", "connect_failed"),
        (503, False, "no_healthy_upstream", "connect_failed"),
        (504, False, "response_timeout", "timeout"),
        (504, False, "upstream_per_try_timeout", "timeout"),
        (0, False, "", "error"),
    ],
)
def test_reported_response_maps_to_outcome(status: int, unprocessed: bool, details: str, code: str) -> None:
    assert read_result(status, unprocessed, details, b"", ()).code == code


@pytest.mark.parametrize("load", [b"{", b"[]", b'{"queue":-1}', b'{"queue":"x"}', b"[" * 9000, b"\xff"])
def test_unreadable_load_report_is_ignored(load: bytes) -> None:
    assert read_result(200, False, "", load, ("depth",)) == AttemptResult("ok")
    assert read_result(200, False, "", b'{"queue":3}', ("depth",)) == AttemptResult("ok", (3.0,))


# ---- expired decisions


def test_decision_not_written_in_time_is_replaced() -> None:
    testbed = ServiceTestbed()
    caller_stream = CallerStream(testbed, late_writer=True).submit(DecisionRequest("c1", "pay", 500.0))
    first = caller_stream.held_decision
    assert first is not None and abs(first.valid_for_ms - 100.0) < 1e-6
    testbed.set_state(int(first.address.rpartition(":")[2]), "draining")
    testbed.clock.pass_time(0.102)
    (decision,) = caller_stream.received
    assert (
        isinstance(decision, Decision)
        and decision.address != first.address
        and decision.valid_until > testbed.clock.at
    )
    assert (
        abs(decision.valid_for_ms - 201.0) < 1.0
    )  # counted from the caller's request, the only time that its clock knows
    counts = testbed.engine.counts
    assert counts["moot"] == counts["written too late"] == 1
    caller_stream.report("ok")
    assert caller_stream.received[1:] == [ResponseForwarded()] and not testbed.service.requests


def test_stream_closed_before_decision_written_never_ran() -> None:
    testbed = ServiceTestbed()
    caller_stream = CallerStream(testbed, late_writer=True).submit(DecisionRequest("c1", "pay", 500.0))
    assert caller_stream.held_decision is not None
    caller_stream.drop()
    assert not testbed.service.requests and testbed.engine.counts["client gone"] == 1
    repeated = CallerStream(testbed).submit(DecisionRequest("c1", "pay", 500.0))
    assert isinstance(repeated.received[0], Decision)
    repeated.drop()  # this decision was written, so the request may run
    assert CallerStream(testbed).submit(DecisionRequest("c1", "pay", 500.0)).received == [Failed(409)]


def test_decision_expired_after_deadline_is_ignored() -> None:
    testbed = ServiceTestbed()
    caller_stream = CallerStream(testbed, late_writer=True).submit(DecisionRequest("c1", "pay", 80.0))
    testbed.clock.pass_time(0.5)
    assert caller_stream.received == [DeadlineExceeded()] and not testbed.service.requests
    assert testbed.engine.counts["written too late"] == 0 and testbed.engine.counts["timeout"] == 1


def test_decision_expired_after_rejection_keeps_never_ran() -> None:
    """Taking back an unwritten decision must restore the earlier state: here, that the request never ran."""
    testbed = ServiceTestbed()
    first = CallerStream(testbed).submit(DecisionRequest("c1", "pay", 500.0))
    decision = first.decision()
    assert decision is not None
    first.report("full")
    assert first.received[-1] == RetryOffered(True)
    second = CallerStream(testbed, late_writer=True).submit(
        DecisionRequest("c1", "pay", token=decision.token)
    )
    assert second.held_decision is not None
    testbed.clock.pass_time(0.102)
    assert second.decision() is not None
    second.report("full")
    assert second.received[-1] == RetryOffered(True) or isinstance(second.received[-1], Rejected)
