"""The decision service and its remote attempts without I/O: random orders of callers, nodos and clocks."""

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

KIND = {c.name: c for c in CLASSES}
NEVER_RAN_CODES = ("full", "connect_failed")


class Timer:
    def __init__(self, call: Callable[[], object]) -> None:
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        self.call = None


class FakeClock:
    """Time that moves when the test says so; seconds."""

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
    """Callers that do as the test draws, and a referee over the four rules."""

    def __init__(self, servers: int = 6, seed: int = 3) -> None:
        self.clock, self.log = FakeClock(), MemoryLog()
        self.engine = Engine(settings(), seed, self.clock, self.log)
        self.backend = CallerBackend(self.engine, self.clock, 0.1)
        tokens = Tokens(b"k" * 16, b"life-one")
        self.service = DecisionService(self.engine, self.backend, self.clock, tokens, 0.2, 0.03, 1000)
        self.entries = {n: make_endpoint(n) for n in range(servers)}
        self.drained: dict[str, float] = {}
        self.list()
        self.engine.start()
        self.streams: list[CallerStream] = []

    def list(self) -> None:
        rows = tuple(self.entries.values())
        self.backend.listed(Listing(1, True, rows, tuple(("s", int(r.server[1:])) for r in rows)))
        self.engine.endpoint_list_update("whole", rows)

    def move(self, number: int, state: str) -> None:
        self.entries[number] = self.entries[number]._replace(state=state)
        if state != "ready":
            self.drained.setdefault(f"s{number}", self.clock.at)
        else:
            self.drained.pop(f"s{number}", None)
        self.list()


class CallerStream:
    """A stream, and what its caller heard on it."""

    def __init__(self, testbed: ServiceTestbed, slow: bool = False) -> None:
        self.testbed, self.slow = testbed, slow  # slow: its worker has the first Told too late to write it
        self.held: Decision | None = None
        self.received: list[Reply] = []
        self.requested = self.reported = 0
        self.stream = Stream(self.receive)
        self.dropped = False
        testbed.streams.append(self)

    def receive(self, reply: Reply) -> None:
        assert not self.dropped, "a word to a stream that has ended"
        if self.slow and isinstance(reply, Decision):
            self.slow, self.held = False, reply
            late_s = reply.valid_until - self.testbed.clock.at + 0.001
            self.testbed.clock.call_later(late_s, self.late)
            return
        self.received.append(reply)
        replies = [r for r in self.received if not isinstance(r, DeadlineExceeded)]
        assert len(replies) <= self.requested + self.reported, "a reply that nobody waits for"

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
            self.testbed.service.stream_closed(self.stream, self.held is not None)

    def late(self) -> None:
        held, self.held = self.held, None
        if held is not None and not self.dropped:
            self.testbed.service.decision_expired(self.stream)

    def decision(self) -> Decision | None:
        return next((r for r in self.received if isinstance(r, Decision)), None)

    def out(self) -> bool:
        """Its caller has an attempt out."""
        cut = any(isinstance(r, DeadlineExceeded) for r in self.received)
        return self.decision() is not None and not self.reported and not self.dropped and not cut


class Customer:
    """One request in its caller's hands, and what is true of it."""

    def __init__(
        self, testbed: ServiceTestbed, number: int, name: str, left_ms: float, opens: bool, slow: bool = False
    ) -> None:
        self.testbed, self.name, self.identity = testbed, name, f"c{number}"
        self.deadline = testbed.clock.at + left_ms / 1000.0
        self.sends: list[tuple[float, int, str]] = []  # when, where, how it ended
        self.final: list[str] = []
        self.token = ""
        self.peer = CallerStream(testbed, slow)
        self.peer.submit(DecisionRequest(self.identity, name, left_ms, keyed=name != "pay", opens=opens))
        self.opens, self.spare = opens, 0
        self.look()

    def next(self) -> None:
        self.peer = CallerStream(self.testbed).submit(
            DecisionRequest(self.identity, self.name, token=self.token)
        )
        self.look()

    def look(self) -> None:
        """What the present stream heard, as a caller takes it."""
        if self.final:
            return
        received = [r for r in self.peer.received if not isinstance(r, DeadlineExceeded)]
        if any(isinstance(r, DeadlineExceeded) for r in self.peer.received):
            return self.end("cut")
        if not received:
            return
        last = received[-1]
        if isinstance(last, RequestOpened) and len(received) == 1 and not self.token:
            self.token = last.token
            return
        if isinstance(last, Decision) and len(self.sends) < self.world_sends():
            self.send(last)
        elif isinstance(last, Rejected):
            self.end("refused")
        elif isinstance(last, Failed):
            self.end("failed")
        elif isinstance(last, ResponseForwarded):
            self.end("served")

    def world_sends(self) -> int:
        return len(self.sends) + (0 if getattr(self.peer, "used", False) else 1)

    def send(self, decision: Decision) -> None:
        self.peer.used = True  # type: ignore[attr-defined]
        self.token = decision.token
        now, number = self.testbed.clock.at, int(decision.address.rpartition(":")[2])
        assert now <= self.deadline, "told after the deadline"
        assert all(how for _, _, how in self.sends), "two attempts out at once"
        drained = self.testbed.drained.get(f"s{number}")
        assert drained is None or now - drained <= RULES.drain_grace_ms / 1000.0, "told of a drained nodo"
        assert drained is None, "told of a nodo known to drain"
        ran = [(at, n) for at, n, how in self.sends if how not in NEVER_RAN_CODES]
        kind = KIND[self.name]
        if ran and kind.effect == "unsafe":
            raise AssertionError("an unsafe request sent again")
        if ran and kind.effect == "keyed":
            first, home = ran[0]
            assert (now - first) * 1000.0 <= kind.window_ms, "sent again outside its window"
            if kind.group == "cell":
                assert home // 2 == number // 2
        self.sends.append((now, number, ""))

    def done(self, how: str) -> None:
        at, number, _ = self.sends[-1]
        self.sends[-1] = (at, number, how)

    def end(self, how: str) -> None:
        self.final.append(how)
        if how == "refused":
            ran = [how for _, _, how in self.sends if how not in NEVER_RAN_CODES]
            kind = KIND[self.name]
            harmless = kind.effect == "free" or (kind.effect, kind.group) == ("keyed", "all")
            assert harmless or not ran, "refused though it may have run"


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


def step(testbed: ServiceTestbed, customers: list[Customer], number: int, drawn: Any) -> None:
    what, who, name, code, wait = drawn
    testbed.clock.pass_time(wait)
    for customer in customers:
        customer.look()
    if what in ("new", "open", "slow"):
        left_ms = 500.0 if who % 2 else 150.0
        customers.append(Customer(testbed, number, name, left_ms, what == "open", what == "slow"))
    elif what == "drain":
        testbed.move(who % 6, "draining")
    elif what == "ready":
        testbed.move(who % 6, "ready")
    elif what == "all":
        for n in range(6):
            testbed.move(n, "ready" if who % 2 else "draining")
    live = [c for c in customers if not c.final]
    if not live or what in ("new", "open", "slow", "drain", "ready", "wait", "all"):
        return
    customer = live[who % len(live)]
    peer = customer.peer
    if what == "report" and peer.out():
        customer.done(code)
        peer.report(code)
        customer.look()
        if any(isinstance(r, RetryOffered) for r in peer.received) and not customer.final:
            peer.drop()
            customer.next()
    elif what == "report" and customer.opens and customer.token and not customer.sends:
        customer.opens = False
        customer.next()
    elif what in ("drop", "again"):
        if peer.out():
            customer.done("lost")
        peer.drop()
        if what == "again" and customer.token:
            customer.next()
        else:
            customer.final.append("left")
    elif what == "overlap" and peer.out():
        other = CallerStream(testbed).submit(
            DecisionRequest(customer.identity, customer.name, token=customer.token)
        )
        testbed.clock.pass_time(0.02)
        assert not other.decision(), "a second attempt beside one that is out"
        other.drop()
    elif what == "copy" and peer.out():
        other = CallerStream(testbed).submit(DecisionRequest(customer.identity, customer.name, 100.0))
        assert other.received == [Failed(409)]
        other.drop()


@given(st.integers(0, 50), st.lists(STEP, min_size=5, max_size=50))
@budget(max_examples=400, deadline=None, derandomize=True, database=None)
def test_answered_once_no_effect_twice_drains_kept(seed: int, steps: list[Any]) -> None:
    testbed = ServiceTestbed(seed=seed)
    customers: list[Customer] = []
    for number, drawn in enumerate(steps):
        step(testbed, customers, number, drawn)
    for _ in range(40):
        testbed.clock.pass_time(0.1)
        for customer in customers:
            customer.look()
    for customer in customers:
        assert len(customer.final) == 1 or (not customer.final and customer.opens), "not answered once"
    assert not testbed.service.requests and not testbed.service.requests_by_identity
    assert not testbed.engine.pending_requests and not testbed.engine.balancer.pending_requests
    assert not any(s.in_flight for s in testbed.engine.balancer.servers.values()), "an attempt without an end"
    assert not any("overdue" in line for line in testbed.log.lines)


def test_the_steps_reach_every_reply() -> None:
    """The property above must not hold for want of retries, refusals and cuts."""
    kinds: set[type[Any]] = set()
    for seed in range(30):
        testbed, customers = ServiceTestbed(seed=seed), []
        for number in range(60):
            what = ("new", "report", "again", "open", "report", "wait", "all", "report")[number % 8]
            code = ("error", "full", "reset", "ok")[(number + seed) % 4]
            name = ("read", "book", "pay")[number % 3]
            step(testbed, customers, number, (what, number % 7, name, code, (0.0, 0.02, 0.15)[number % 3]))
        testbed.clock.pass_time(5.0)
        kinds |= {type(r) for peer in testbed.streams for r in peer.received}
    assert kinds == {
        Decision,
        RequestOpened,
        Rejected,
        Failed,
        ResponseForwarded,
        RetryOffered,
        DeadlineExceeded,
    }


# ---- the table in docs/extproc.md, row by row


def peer_with_decision(testbed: ServiceTestbed, name: str = "pay", identity: str = "c1") -> CallerStream:
    peer = CallerStream(testbed).submit(DecisionRequest(identity, name, 500.0, keyed=name != "pay"))
    assert peer.decision()
    return peer


@pytest.mark.parametrize("code", ["error", "timeout", "reset"])
def test_an_unsafe_request_reported_as_maybe_executed_fails(code: str) -> None:
    testbed = ServiceTestbed()
    peer = peer_with_decision(testbed)
    peer.report(code)
    assert peer.received[1:] == [Failed(502)]
    assert CallerStream(testbed).submit(DecisionRequest("c1", "pay")).received == [Failed(409)]


@pytest.mark.parametrize("code", NEVER_RAN_CODES)
def test_a_request_reported_as_never_executed_is_retried(code: str) -> None:
    testbed = ServiceTestbed()
    peer = peer_with_decision(testbed)
    first = peer.decision()
    peer.report(code)
    assert peer.received[1:] == [RetryOffered(True)] and first is not None
    following = CallerStream(testbed).submit(DecisionRequest("c1", "pay", token=first.token))
    assert following.decision() and following.decision().address != first.address  # type: ignore[union-attr]


def test_decided_and_never_claimed_counts_as_never_sent() -> None:
    testbed = ServiceTestbed()
    opener = CallerStream(testbed).submit(DecisionRequest("c1", "pay", 500.0, opens=True))
    assert isinstance(opener.received[0], RequestOpened)
    testbed.clock.pass_time(0.25)  # nobody comes for it
    assert not testbed.service.requests and not testbed.engine.counts["overdue"]
    assert testbed.service.completed["c1"].never_ran
    again = CallerStream(testbed).submit(DecisionRequest("c1", "pay", 500.0))
    assert again.decision()


def test_a_lost_attempt_is_remembered_as_maybe_executed() -> None:
    testbed = ServiceTestbed()
    peer = peer_with_decision(testbed)
    peer.drop()
    assert testbed.service.requests
    testbed.clock.pass_time(0.25)
    assert not testbed.service.requests and not testbed.service.completed["c1"].never_ran
    assert testbed.engine.counts["cancelled"] == 1 and testbed.engine.counts["client gone"] == 1


def test_a_report_that_comes_twice_or_for_nothing_teaches_nothing() -> None:
    testbed = ServiceTestbed()
    peer = peer_with_decision(testbed)
    peer.report("ok")
    peer.report("error")
    assert peer.received[1:] == [ResponseForwarded(), ResponseForwarded()]
    assert testbed.engine.counts["error"] == 0
    stranger = CallerStream(testbed)
    stranger.report("error")
    assert stranger.received == [ResponseForwarded()] and testbed.engine.counts["error"] == 0


def test_the_memory_of_ended_requests_is_bounded_in_time() -> None:
    testbed = ServiceTestbed()
    for n in range(300):
        peer_with_decision(testbed, "read", f"c{n}").report("ok")
        testbed.clock.pass_time(0.01)
    assert len(testbed.service.completed) < 200


def test_without_capacity_a_request_is_rejected_and_nothing_is_opened() -> None:
    testbed = ServiceTestbed()
    testbed.service.max_requests = 1
    peer_with_decision(testbed)
    assert CallerStream(testbed).submit(DecisionRequest("c2", "pay")).received == [Rejected(0.0, False)]
    assert len(testbed.engine.pending_requests) == 1


def test_a_request_that_waited_too_long_for_the_service_is_rejected_undecided() -> None:
    testbed = ServiceTestbed()
    peer = CallerStream(testbed)
    peer.requested += 1
    testbed.service.request_decision(peer.stream, DecisionRequest("c1", "pay", 500.0), testbed.clock.at - 0.2)
    assert peer.received == [Rejected(0.0, False)] and not testbed.engine.pending_requests
    late = CallerStream(testbed)
    late.requested += 1
    testbed.service.request_decision(
        late.stream, DecisionRequest("c2", "pay", 500.0), testbed.clock.at - 0.05
    )
    (call,) = testbed.engine.pending_requests.values()
    assert late.decision() and call.deadline == pytest.approx(testbed.clock.at + 0.45)


def test_a_reload_keeps_what_is_in_flight() -> None:
    testbed = ServiceTestbed()
    peer = peer_with_decision(testbed)
    testbed.engine.reconfigure(settings(balancers=3))
    peer.report("ok")
    assert peer.received[1:] == [ResponseForwarded()]


# ---- tokens and outcomes


def test_a_token_is_valid_for_its_request_and_incarnation_alone() -> None:
    one, other = Tokens(b"k" * 16, b"life-one"), Tokens(b"k" * 16, b"life-two")
    text = one.make(7, "c1", 1000.0)
    assert one.read(text, "c1", 999.0) == 7
    assert one.read(text, "c1", 1001.0) is InvalidToken.STALE
    assert other.read(text, "c1", 999.0) is InvalidToken.STALE
    assert one.read(text, "c2", 999.0) is InvalidToken.FORGED
    assert Tokens(b"x" * 16, b"life-one").read(text, "c1", 999.0) is InvalidToken.FORGED
    for n in range(len(text)):
        changed = text[:n] + ("A" if text[n] != "A" else "B") + text[n + 1 :]
        assert one.read(changed, "c1", 999.0) is InvalidToken.FORGED
    with pytest.raises(ValueError):
        Tokens(b"short", b"life-one")


@given(st.text(max_size=120))
@budget(max_examples=200, deadline=None, derandomize=True, database=None)
def test_no_text_is_a_token(text: str) -> None:
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
def test_what_a_caller_reports(status: int, unprocessed: bool, details: str, code: str) -> None:
    assert read_result(status, unprocessed, details, b"", ()).code == code


@pytest.mark.parametrize("load", [b"{", b"[]", b'{"queue":-1}', b'{"queue":"x"}', b"[" * 9000, b"\xff"])
def test_a_load_report_that_cannot_be_read_spoils_nothing(load: bytes) -> None:
    assert read_result(200, False, "", load, ("depth",)) == AttemptResult("ok")
    assert read_result(200, False, "", b'{"queue":3}', ("depth",)) == AttemptResult("ok", (3.0,))


# ---- a decision's end


def test_a_decision_not_written_in_time_is_made_anew_and_nothing_ran() -> None:
    testbed = ServiceTestbed()
    peer = CallerStream(testbed, slow=True).submit(DecisionRequest("c1", "pay", 500.0))
    first = peer.held
    assert first is not None and abs(first.valid_for_ms - 100.0) < 1e-6
    testbed.move(int(first.address.rpartition(":")[2]), "draining")
    testbed.clock.pass_time(0.102)
    (decision,) = peer.received
    assert (
        isinstance(decision, Decision)
        and decision.address != first.address
        and decision.valid_until > testbed.clock.at
    )
    assert (
        abs(decision.valid_for_ms - 201.0) < 1.0
    )  # counted from the ask: the caller's clock knows no other instant
    counts = testbed.engine.counts
    assert counts["moot"] == counts["written too late"] == 1
    peer.report("ok")
    assert peer.received[1:] == [ResponseForwarded()] and not testbed.service.requests


def test_a_stream_that_ends_before_its_decision_is_written_ran_nothing() -> None:
    testbed = ServiceTestbed()
    peer = CallerStream(testbed, slow=True).submit(DecisionRequest("c1", "pay", 500.0))
    assert peer.held is not None
    peer.drop()
    assert not testbed.service.requests and testbed.engine.counts["client gone"] == 1
    again = CallerStream(testbed).submit(DecisionRequest("c1", "pay", 500.0))
    assert isinstance(again.received[0], Decision)
    again.drop()  # this one was written: it may run
    assert CallerStream(testbed).submit(DecisionRequest("c1", "pay", 500.0)).received == [Failed(409)]


def test_an_expired_decision_after_the_clients_deadline_changes_nothing() -> None:
    testbed = ServiceTestbed()
    peer = CallerStream(testbed, slow=True).submit(DecisionRequest("c1", "pay", 80.0))
    testbed.clock.pass_time(0.5)
    assert peer.received == [DeadlineExceeded()] and not testbed.service.requests
    assert testbed.engine.counts["written too late"] == 0 and testbed.engine.counts["timeout"] == 1


def test_after_a_proven_failure_an_expired_decision_is_still_safe_to_retry() -> None:
    """What was known before the decision is known again once it is taken back: here, that nothing ran."""
    testbed = ServiceTestbed()
    first = CallerStream(testbed).submit(DecisionRequest("c1", "pay", 500.0))
    decision = first.decision()
    assert decision is not None
    first.report("full")
    assert first.received[-1] == RetryOffered(True)
    second = CallerStream(testbed, slow=True).submit(DecisionRequest("c1", "pay", token=decision.token))
    assert second.held is not None
    testbed.clock.pass_time(0.102)
    assert second.decision() is not None
    second.report("full")
    assert second.received[-1] == RetryOffered(True) or isinstance(second.received[-1], Rejected)
