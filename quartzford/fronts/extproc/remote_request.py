"""One request over all its streams: it bridges the callers' streams and the engine. No I/O, no gRPC.

A request may take several streams, of whichever worker. The table of its states is in docs/extproc.md.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, cast

from quartzford.decision import interface as io
from quartzford.engine import Backend, Clock, Engine, Handle, PendingRequest
from quartzford.fronts.extproc.attempt_result import AttemptResult
from quartzford.fronts.extproc.decision_messages import (
    DeadlineExceeded,
    Decision,
    Failed,
    Rejected,
    Reply,
    RequestOpened,
    ResponseForwarded,
    RetryOffered,
)

NEVER_RAN_CODES = ("full", "connect_failed", "moot")  # reports that prove that the attempt never ran
TRANSIT_ALLOWANCE_S = 0.05  # of the client's time, set aside for the caller's way to the server


class AttemptHandle(Protocol):
    """An attempt that the caller makes (backends/caller.py)."""

    number: int
    timeout_at: float

    @property
    def valid_until(self) -> float:
        """The end of the decision's validity, seconds on the monotonic clock."""
        ...

    @property
    def endpoint(self) -> NamedEndpoint | None:
        """The endpoint, where it is still listed."""
        ...

    def claim(self) -> bool:
        """Take the decision for a stream; False where it is no longer valid and a new one is due."""
        ...

    def report_outcome(self, code: str, report: io.Report = (), faulted: bool = False) -> None:
        """The caller reports how the attempt ended."""
        ...

    def mark_lost(self) -> None:
        """The caller's stream ended with nothing reported."""
        ...

    def is_lost(self) -> bool:
        """Whether the caller's stream ended with nothing reported."""
        ...

    def undo_claim(self) -> None:
        """Undo the claim: the decision never left this machine."""
        ...

    def fail(self, code: str) -> None:
        """End the attempt with this outcome."""
        ...


class NamedEndpoint(Protocol):
    """An endpoint that may be named to callers."""

    @property
    def address(self) -> str:
        """host:port."""
        ...


class RequestOwner(Protocol):
    """What a request needs of the service that it belongs to. return_s, overlap_s: seconds."""

    engine: Engine
    backend: Backend
    clock: Clock
    return_s: float
    overlap_s: float

    def request_ended(self, request: RemoteRequest, reply: Reply) -> None:
        """The request is over, with this reply."""
        ...


class Stream:
    """One stream of a caller. reply is called once a decision request, once a report, and at the deadline."""

    __slots__ = ("reply", "request", "attempt", "closed", "requested_at")

    def __init__(self, reply: Callable[[Reply], None]) -> None:
        self.reply = reply
        self.request: RemoteRequest | None = None
        self.attempt: AttemptHandle | None = None  # the attempt whose decision this stream got
        self.closed = False
        self.requested_at = 0.0  # when its last decision request came, seconds

    def send_reply(self, reply: Reply) -> None:
        """Hand a reply to the caller, unless the stream is over."""
        if not self.closed:
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

    def __init__(self, service: RequestOwner, identity: str) -> None:
        super().__init__(service.backend)
        self.service = service
        self.identity = self.correlation_id = identity
        self.token = ""
        self.awaiting_outcome: Stream | None = None  # has opened or reported; the next reply is its
        self.awaiting_decision: Stream | None = None  # requests a decision for the next attempt
        self.attempt_stream: Stream | None = None  # got the decision of the attempt in flight
        self.next_stream: Stream | None = None  # requests a decision while that attempt is in flight
        self.return_timer: Handle | None = None  # until the caller's next stream has to come
        self.overlap_timer: Handle | None = None  # for as long as next_stream may wait
        self.may_have_run = False
        self.may_have_run_before = False  # the same, before the attempt in flight

    # ---- what the engine and the backend call

    def decided(self, attempt: AttemptHandle) -> None:
        """The module has chosen; a stream that waits for a decision gets it."""
        if self.awaiting_decision is not None:
            self._send_decision(attempt)

    def served(self, answer: object) -> None:
        """The upstream's response is the final one."""
        self._end(ResponseForwarded())

    def refused(self, retry_after_ms: float, over_quota: bool) -> None:
        """Rejected: it did not run. retry_after_ms: 0 for none."""
        self._end(Rejected(retry_after_ms, over_quota))

    def failed(self) -> None:
        """Failed; it may have run."""
        self._end(Failed(502))

    def aborted(self) -> None:
        """Ended as a last resort; it may have run."""
        self._end(Failed(500))

    def client_disconnected(self) -> None:
        """The caller is held to have left."""
        self._end(Failed(502))

    def _end(self, reply: Reply) -> None:
        self._stop_timers()
        reply_streams = (self.awaiting_outcome, self.awaiting_decision)
        attempt_stream = self.attempt_stream
        next_stream = self.next_stream
        self.awaiting_outcome = None
        self.awaiting_decision = None
        self.attempt_stream = None
        self.next_stream = None
        self.service.request_ended(self, reply)
        for stream in reply_streams:
            if stream is not None:
                stream.send_reply(reply)
        if attempt_stream is not None:
            attempt_stream.send_reply(DeadlineExceeded())
        if next_stream is not None:
            next_stream.send_reply(reply_after_end(reply))

    # ---- what streams say

    def resume(self, stream: Stream) -> None:
        """A stream requests a decision for the next attempt, and none is in flight."""
        self._stop_timers()
        self.awaiting_decision = stream
        stream.request = self
        attempt = cast("AttemptHandle | None", self.attempt)
        if attempt is None:
            return  # the module holds the request: its decision reaches this stream when it comes
        if self.may_have_run and attempt.is_lost():
            attempt.fail("cancelled")  # the caller goes on without it: now the module may, by its rules
        else:
            self._send_decision(attempt)

    def wait_for_attempt(self, stream: Stream) -> None:
        """A stream comes while an attempt is in flight, whose end may still be on its way: wait a little."""
        self.next_stream = stream
        stream.request = self
        self.overlap_timer = self.service.clock.call_later(self.service.overlap_s, self._overlap_expired)

    def report_result(self, stream: Stream, result: AttemptResult) -> None:
        """The caller reports the attempt's result; exactly one reply follows."""
        attempt = stream.attempt
        stream.attempt = None
        self.attempt_stream = None
        self.awaiting_outcome = stream
        if result.code in NEVER_RAN_CODES:
            self.may_have_run = self.may_have_run_before
        assert attempt is not None
        attempt.report_outcome(result.code, result.report, result.faulted)
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
        """The decision was never written to the caller: the attempt surely did not run."""
        attempt = stream.attempt
        stream.attempt = None
        self.attempt_stream = None
        assert attempt is not None
        self.may_have_run = self.may_have_run_before
        attempt.undo_claim()
        return attempt

    def stream_closed(self, stream: Stream, unwritten: bool) -> None:
        """The stream has ended; unwritten: its decision was not written, nor will be."""
        if unwritten and stream is self.attempt_stream and stream.attempt is not None:
            self._withdraw_decision(stream)
            self.awaiting_decision = stream
        if stream is self.awaiting_decision:  # its caller has given up with nothing in flight
            self.awaiting_decision = None
            self.service.engine.client_disconnected(self)
        elif stream is self.next_stream:
            self.next_stream = None
            self._stop_overlap()
        elif stream is self.attempt_stream:
            self.attempt_stream = None
            if stream.attempt is not None:
                stream.attempt.mark_lost()
            self._await_next_stream()

    def send_token(self, stream: Stream) -> None:
        """The request is registered; its opening stream gets the token."""
        self.awaiting_outcome = None
        stream.send_reply(RequestOpened(self.token))
        self._await_next_stream()

    def _await_next_stream(self) -> None:
        """The caller's next stream has to come in time, or the client is held to have left."""
        next_stream = self.next_stream
        self.next_stream = None
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
            return  # the module decides again: its next decision reaches this stream
        assert attempt.endpoint is not None
        self.may_have_run_before = self.may_have_run
        self.may_have_run = True
        self.awaiting_decision = None
        self.attempt_stream = stream
        stream.attempt = attempt
        left_s = self.deadline - self.service.clock.now()
        server_deadline = min(attempt.timeout_at, self.deadline - min(TRANSIT_ALLOWANCE_S, left_s / 2))
        valid_until = attempt.valid_until
        valid_for_ms = (valid_until - stream.requested_at) * 1000.0
        stream.send_reply(
            Decision(
                attempt.endpoint.address,
                self.token,
                attempt.timeout_at,
                server_deadline,
                valid_for_ms,
                valid_until,
            )
        )

    def _overlap_expired(self) -> None:
        stream = self.next_stream
        self.next_stream = None
        self.overlap_timer = None
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
    """The reply to a stream that requests a further attempt of a request that ended with this reply."""
    return reply if isinstance(reply, Rejected | Failed) else Failed(502)
