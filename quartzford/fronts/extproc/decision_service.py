"""The desk: streams of calling proxies on one side, the engine on the other. No I/O, no gRPC.

A stream asks (for a new request, or with a token for the next attempt of one), is replied to, reports what
came back, is replied to, and ends. A request is one flight however many streams it takes and whichever worker
they reach. The table of states is in docs/extproc.md.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple, Protocol, cast

from quartzford.decision import interface as io
from quartzford.engine import Backend, Clock, Engine, Handle, PendingRequest
from quartzford.fronts.extproc.attempt_result import AttemptResult
from quartzford.fronts.extproc.token import InvalidToken, Tokens

NEVER_RAN_CODES = ("full", "connect_failed", "moot")  # reports that prove that the attempt never ran
MAX_COMPLETED = 65_536
TRANSIT_ALLOWANCE_S = 0.05  # of the client's time, set aside for the caller's way to the server
COMPLETED_RETENTION_S = 1.0  # an ended flight is remembered for so much longer than its client's time


class DecisionRequest(NamedTuple):
    """What a stream asks with. left_ms below 0: the class's own deadline."""

    identity: str
    service_class: str
    left_ms: float = -1.0
    tenant: str = ""
    key: str = ""
    work_ms: float = 0.0
    repeat: bool = False
    keyed: bool = False
    token: str = ""
    opens: bool = False  # takes the request and its token; each attempt has a stream of its own


class Decision(NamedTuple):
    """Send it there, now; give the attempt up at `due`, and tell the server that it has until
    `server_deadline`.

    Both are seconds on the machine's monotonic clock: who writes them down as spans reads the clock then.
    by: the end of the decision's validity, on the same clock: who has not written it by then gives it back
    (Desk.late). within_ms: the same for a caller on any clock, counted from its ask.
    """

    address: str
    token: str
    due: float
    server_deadline: float
    valid_for_ms: float
    valid_until: float


class RequestOpened(NamedTuple):
    """The request is taken; its attempts ask with the token."""

    token: str


class Rejected(NamedTuple):
    """503, or 429 where the tenant is over its share. It did not run: asking again is harmless."""

    retry_after_ms: float
    over_quota: bool


class Failed(NamedTuple):
    """A status that promises nothing."""

    status: int


class ResponseForwarded(NamedTuple):
    """The answer goes on to the client."""


class RetryOffered(NamedTuple):
    """The module would send it again: the caller is to ask for a further attempt.

    harmless: it surely has not run yet. A caller that can't go again leaves its client with 503 or 502.
    """

    never_ran: bool


class DeadlineExceeded(NamedTuple):
    """The request's time is over while its attempt is out: end the stream with an error."""


Reply = Decision | RequestOpened | Rejected | Failed | ResponseForwarded | RetryOffered | DeadlineExceeded


class AttemptHandle(Protocol):
    """An attempt that the caller makes (backends/caller.py)."""

    number: int
    due: float

    @property
    def stands_until(self) -> float: ...

    @property
    def host(self) -> NamedEndpoint | None: ...

    def claim(self) -> bool: ...

    def reported(self, code: str, report: io.Report = (), faulted: bool = False) -> None: ...

    def lose(self) -> None: ...

    def lost(self) -> bool: ...

    def recall(self) -> None: ...

    def fail(self, code: str) -> None: ...


class NamedEndpoint(Protocol):
    @property
    def address(self) -> str: ...


class Stream:
    """One stream of a caller. reply is called once for each ask and report, and for a Cut."""

    __slots__ = ("reply", "request", "attempt", "over", "requested_at")

    def __init__(self, reply: Callable[[Reply], None]) -> None:
        self.reply = reply
        self.request: RemoteRequest | None = None
        self.attempt: AttemptHandle | None = None  # the attempt that this stream was told of
        self.over = False
        self.requested_at = 0.0  # when its last ask came

    def send_reply(self, reply: Reply) -> None:
        if not self.over:
            self.reply(reply)


class RemoteRequest(PendingRequest):
    """A request, over all its streams. At most one stream is in each of the roles below."""

    __slots__ = (
        "service",
        "identity",
        "token",
        "awaiting_outcome",
        "awaiting_decision",
        "attempt_stream",
        "next_stream",
        "return_timer",
        "overlap_timer",
        "may_have_run",
        "may_have_run_before",
    )

    def __init__(self, service: DecisionService, identity: str) -> None:
        super().__init__(service.backend)
        self.service = service
        self.identity = self.label = identity
        self.token = ""
        self.awaiting_outcome: Stream | None = (
            None  # has opened or reported, and is owed what becomes of the request
        )
        self.awaiting_decision: Stream | None = None  # asks for the next attempt
        self.attempt_stream: Stream | None = None  # was told of the attempt that is out
        self.next_stream: Stream | None = None  # asks while that attempt is out
        self.return_timer: Handle | None = None  # until the caller's next stream has to come
        self.overlap_timer: Handle | None = None
        self.may_have_run = self.may_have_run_before = False

    # ---- what the engine and the backend tell

    def decided(self, attempt: AttemptHandle) -> None:
        if self.awaiting_decision is not None:
            self._send_decision(attempt)

    def served(self, answer: object) -> None:
        self._end(ResponseForwarded())

    def refused(self, retry_after_ms: float, over_quota: bool) -> None:
        self._end(Rejected(retry_after_ms, over_quota))

    def failed(self) -> None:
        self._end(Failed(502))

    def aborted(self) -> None:
        self._end(Failed(500))

    def client_disconnected(self) -> None:
        self._end(Failed(502))

    def _end(self, reply: Reply) -> None:
        self._stop_timers()
        listeners = (self.awaiting_outcome, self.awaiting_decision)
        attempt_stream, next_stream = self.attempt_stream, self.next_stream
        self.awaiting_outcome = self.awaiting_decision = self.attempt_stream = self.next_stream = None
        self.service.request_ended(self, reply)
        for stream in listeners:
            if stream is not None:
                stream.send_reply(reply)
        if attempt_stream is not None:
            attempt_stream.send_reply(DeadlineExceeded())
        if next_stream is not None:
            next_stream.send_reply(reply_after_end(reply))

    # ---- what streams tell

    def resume(self, stream: Stream) -> None:
        """A stream asks for the next attempt, and none is out."""
        self._stop_timers()
        self.awaiting_decision, stream.request = stream, self
        attempt = cast("AttemptHandle | None", self.attempt)
        if attempt is None:
            return  # the module holds the request: its word reaches this stream when it comes
        if self.may_have_run and attempt.lost():
            attempt.fail("cancelled")  # the caller goes on without it: now the module may, by its rules
        else:
            self._send_decision(attempt)

    def wait_for_attempt(self, stream: Stream) -> None:
        """A stream asks while an attempt is out: that one's end may still be on its way, so wait a little."""
        self.next_stream, stream.request = stream, self
        self.overlap_timer = self.service.clock.call_later(self.service.overlap_s, self._overlap_expired)

    def report_result(self, stream: Stream, result: AttemptResult) -> None:
        attempt, stream.attempt = stream.attempt, None
        self.attempt_stream, self.awaiting_outcome = None, stream
        if result.code in NEVER_RAN_CODES:
            self.may_have_run = self.may_have_run_before
        assert attempt is not None
        attempt.reported(result.code, result.report, result.faulted)
        if not self.done:
            self.awaiting_outcome = None
            stream.send_reply(RetryOffered(not self.may_have_run))
            self._await_next_stream()

    def decision_expired(self, stream: Stream) -> None:
        """The decision was not written to its caller in time: nothing ran, and the module decides afresh."""
        attempt = self._withdraw_decision(stream)
        self.awaiting_decision = stream
        attempt.fail("moot")

    def _withdraw_decision(self, stream: Stream) -> AttemptHandle:
        """What the stream was told of never left us: it surely did not run."""
        attempt, stream.attempt, self.attempt_stream = stream.attempt, None, None
        assert attempt is not None
        self.may_have_run = self.may_have_run_before
        attempt.recall()
        return attempt

    def stream_closed(self, stream: Stream, unwritten: bool) -> None:
        if unwritten and stream is self.attempt_stream and stream.attempt is not None:
            self._withdraw_decision(stream)
            self.awaiting_decision = stream
        if stream is self.awaiting_decision:  # its caller has given up with nothing out
            self.awaiting_decision = None
            self.service.engine.client_disconnected(self)
        elif stream is self.next_stream:
            self.next_stream = None
            self._stop_overlap()
        elif stream is self.attempt_stream:
            self.attempt_stream = None
            if stream.attempt is not None:
                stream.attempt.lose()
            self._await_next_stream()

    def opened(self, stream: Stream) -> None:
        self.awaiting_outcome = None
        stream.send_reply(RequestOpened(self.token))
        self._await_next_stream()

    def _await_next_stream(self) -> None:
        """The caller's next stream has to come in time, or the client is held to have left."""
        next_stream, self.next_stream = self.next_stream, None
        self._stop_timers()
        if next_stream is not None:
            return self.resume(next_stream)
        self.return_timer = self.service.clock.call_later(
            self.service.return_s, self.service.engine.client_disconnected, self
        )

    def _send_decision(self, attempt: AttemptHandle) -> None:
        stream = self.awaiting_decision
        assert stream is not None
        if not attempt.claim():
            return  # the module has been asked again: its next word reaches this stream
        assert attempt.host is not None
        self.may_have_run_before, self.may_have_run = self.may_have_run, True
        self.awaiting_decision, self.attempt_stream, stream.attempt = None, stream, attempt
        left = self.deadline - self.service.clock.now()
        server_deadline = min(attempt.due, self.deadline - min(TRANSIT_ALLOWANCE_S, left / 2))
        valid_until = attempt.stands_until
        valid_for_ms = (valid_until - stream.requested_at) * 1000.0
        stream.send_reply(
            Decision(
                attempt.host.address, self.token, attempt.due, server_deadline, valid_for_ms, valid_until
            )
        )

    def _overlap_expired(self) -> None:
        stream, self.next_stream, self.overlap_timer = self.next_stream, None, None
        if stream is not None:
            self.service.engine.counts["overlapping"] += 1
            stream.request = None
            stream.send_reply(Failed(409))

    def _stop_timers(self) -> None:
        if self.return_timer is not None:
            self.return_timer.cancel()
            self.return_timer = None
        self._stop_overlap()

    def _stop_overlap(self) -> None:
        if self.overlap_timer is not None:
            self.overlap_timer.cancel()
            self.overlap_timer = None


def reply_after_end(reply: Reply) -> Reply:
    """What a stream hears that asks for more of a request that ended so."""
    return reply if isinstance(reply, Rejected | Failed) else Failed(502)


class CompletedRequest(NamedTuple):
    """What is remembered of a flight that has ended, until the client's time is over."""

    number: int
    expires_at: float
    reply: Reply
    never_ran: bool  # it surely did not run


class DecisionService:
    """All flights of one decider.

    return_s: for how long a flight waits for the caller's next stream; overlap_s: for how long a stream waits
    that asks while an attempt of its request is out; most: flights at once; queue_s: for how long a new
    request may have waited before it reaches the desk.
    """

    def __init__(
        self,
        engine: Engine,
        backend: Backend,
        clock: Clock,
        tokens: Tokens,
        return_s: float,
        overlap_s: float,
        max_requests: int,
        queue_s: float = 0.1,
    ) -> None:
        self.engine, self.backend, self.clock, self.tokens = engine, backend, clock, tokens
        self.return_s, self.overlap_s, self.max_requests, self.queue_s = (
            return_s,
            overlap_s,
            max_requests,
            queue_s,
        )
        self.requests: dict[int, RemoteRequest] = {}
        self.requests_by_identity: dict[str, RemoteRequest] = {}
        self.completed: OrderedDict[str, CompletedRequest] = (
            OrderedDict()
        )  # by correlation id, oldest end first

    def request_decision(
        self, stream: Stream, decision_request: DecisionRequest, at: float = math.inf
    ) -> None:
        """A request's headers came at this moment (or now); one reply follows, unless the stream ends."""
        stream.requested_at = at = min(at, self.clock.now())
        if decision_request.token and decision_request.opens:
            # Only a client can have written it: whoever opens a request has no token yet.
            self.engine.counts["token forged"] += 1
            return stream.send_reply(Failed(400))
        if decision_request.token:
            return self._next_attempt(stream, decision_request)
        completed = self.completed.get(decision_request.identity)
        if decision_request.identity in self.requests_by_identity or (
            completed is not None and not completed.never_ran
        ):
            # The caller's own copy of a request that is out or may have run: neither beside it nor again.
            self.engine.counts["same id"] += 1
            return stream.send_reply(Failed(409))
        waited = self.clock.now() - at
        if len(self.requests) >= self.max_requests or waited > self.queue_s:
            # No room here: neither the fleet nor the module is asked, and nothing has run.
            self.engine.counts["no room" if waited <= self.queue_s else "waited too long"] += 1
            return stream.send_reply(Rejected(self._retry_after_ms(decision_request), False))
        self._accept(stream, decision_request, waited)

    def _retry_after_ms(self, decision_request: DecisionRequest) -> float:
        """When a request that found no room may come back, as the module would have it."""
        limits, kind = self.engine.settings.limits, self.engine.classes.get(decision_request.service_class)
        latency_objective_ms = kind.latency_objective_ms if kind is not None else self.engine.longest_ms
        return min(limits.max_retry_after_ms, latency_objective_ms / 4) if limits.retry_after else 0.0

    def report_result(self, stream: Stream, result: AttemptResult) -> None:
        """An answer's headers have come; exactly one reply follows, at once."""
        if stream.request is None or stream.attempt is None:
            stream.send_reply(
                ResponseForwarded()
            )  # of an attempt that no stream was told of: nothing to learn from it
        else:
            stream.request.report_result(stream, result)

    def decision_expired(self, stream: Stream) -> None:
        """Told came to whoever writes it after its `valid_until`: it was not written. Another reply
        follows."""
        request = stream.request
        if request is not None and not request.done and stream.attempt is not None:
            self.engine.counts["written too late"] += 1
            request.decision_expired(stream)

    def stream_closed(self, stream: Stream, unwritten: bool = False) -> None:
        """The stream has ended, in whatever way; nothing more is said to it.

        unwritten: no reply to its last ask had been written, nor will be.
        """
        stream.over = True
        request, stream.request = stream.request, None
        if request is not None and not request.done:
            request.stream_closed(stream, unwritten)

    def request_ended(self, request: RemoteRequest, reply: Reply) -> None:
        """A flight has ended: its client's copies are known for what they are until their time is over."""
        now = self.clock.now()
        self.requests.pop(request.number, None)
        self.requests_by_identity.pop(request.identity, None)
        expires_at = request.deadline + COMPLETED_RETENTION_S
        self.completed[request.identity] = CompletedRequest(
            request.number, expires_at, reply, not request.may_have_run
        )
        self.completed.move_to_end(request.identity)
        while self.completed:
            oldest = next(iter(self.completed.values()))
            if oldest.expires_at > now and len(self.completed) <= MAX_COMPLETED:
                break
            self.completed.popitem(last=False)

    def _accept(self, stream: Stream, decision_request: DecisionRequest, waited: float) -> None:
        kind = self.engine.classes.get(decision_request.service_class)
        left = decision_request.left_ms
        if left < 0:
            left = kind.deadline_ms if kind is not None else self.engine.longest_ms
        left = max(0.0, left - waited * 1000.0)
        request = RemoteRequest(self, decision_request.identity)
        request.number = number = self.engine.next_number()
        request.deadline = self.clock.now() + left / 1000.0
        request.token = self.tokens.make(number, decision_request.identity, self.clock.unix_ms() + left)
        self.requests[number] = self.requests_by_identity[decision_request.identity] = request
        if decision_request.opens:
            request.awaiting_outcome = stream
        else:
            request.awaiting_decision, stream.request = stream, request
        name, tenant = decision_request.service_class, decision_request.tenant
        self.engine.request_arrived(
            request,
            io.Request(
                number,
                name,
                left,
                tenant,
                decision_request.key,
                decision_request.work_ms,
                decision_request.repeat,
                decision_request.keyed,
            ),
        )
        if decision_request.opens and not request.done:
            request.opened(stream)

    def _next_attempt(self, stream: Stream, decision_request: DecisionRequest) -> None:
        number = self.tokens.read(decision_request.token, decision_request.identity, self.clock.unix_ms())
        if isinstance(number, InvalidToken):
            # Never taken for a new request: what the token stood for may have run.
            self.engine.counts[f"token {number.value}"] += 1
            return stream.send_reply(Failed(400 if number is InvalidToken.FORGED else 502))
        request = self.requests.get(number)
        if request is None:
            completed = self.completed.get(decision_request.identity)
            known = completed is not None and completed.number == number
            return stream.send_reply(
                reply_after_end(completed.reply) if completed is not None and known else Failed(502)
            )
        if request.awaiting_decision is not None or request.next_stream is not None:
            self.engine.counts["overlapping"] += 1
            return stream.send_reply(Failed(409))
        if request.attempt_stream is not None:
            request.wait_for_attempt(stream)
        else:
            request.resume(stream)
