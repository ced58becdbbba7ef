"""One request over all its streams: it connects the callers' streams to the engine. No I/O, no gRPC.

A request may use several streams, which may reach different workers. docs/extproc.md has the table of its
states.
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

NEVER_RAN_CODES = (
    "full",
    "connect_failed",
    "moot",
)  # outcomes that prove that the attempt never ran
TRANSIT_ALLOWANCE_S = 0.05  # part of the client's time reserved for the path from the caller to the server


class AttemptHandle(Protocol):
    """An attempt that a caller makes; backends/caller.py implements it."""

    number: int
    timeout_at: float

    @property
    def valid_until(self) -> float:
        """Return when the decision's validity ends, seconds on the monotonic clock."""
        ...

    @property
    def endpoint(self) -> NamedEndpoint | None:
        """Return the endpoint; None if it was not in the endpoint list."""
        ...

    def claim(self) -> bool:
        """Claim the decision for a stream; False if it is no longer valid: the module then decides again."""
        ...

    def report_outcome(self, code: str, report: io.Report = (), faulted: bool = False) -> None:
        """End the attempt with the outcome that the caller reports."""
        ...

    def mark_lost(self) -> None:
        """Note that the caller's stream closed without a report."""
        ...

    def is_lost(self) -> bool:
        """Return whether the caller's stream closed without a report."""
        ...

    def undo_claim(self) -> None:
        """Undo the claim, because the decision never left this machine."""
        ...

    def fail(self, code: str) -> None:
        """End the attempt with this outcome."""
        ...


class NamedEndpoint(Protocol):
    """An endpoint that a decision may name."""

    @property
    def address(self) -> str:
        """Return host:port."""
        ...


class RequestOwner(Protocol):
    """The part of the decision service that a request uses. return_s, overlap_s: see `DecisionService`."""

    engine: Engine
    backend: Backend
    clock: Clock
    return_s: float
    overlap_s: float

    def request_ended(self, request: RemoteRequest, reply: Reply) -> None:
        """Remove a completed request; reply: its final reply."""
        ...


class Stream:
    """One stream of a caller.

    reply is called once for each decision request, once for each report, and when the deadline passes.
    """

    __slots__ = ("reply", "request", "attempt", "closed", "requested_at")

    def __init__(self, reply: Callable[[Reply], None]) -> None:
        self.reply = reply
        self.request: RemoteRequest | None = None
        self.attempt: AttemptHandle | None = None  # the attempt whose decision this stream received
        self.closed = False
        self.requested_at = 0.0  # when its last decision request arrived, monotonic seconds

    def send_reply(self, reply: Reply) -> None:
        """Pass a reply to the caller, unless the stream is closed."""
        if not self.closed:
            self.reply(reply)


class RemoteRequest(PendingRequest):
    """A request over all its streams. Each role below is held by at most one stream."""

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
        self.awaiting_outcome: Stream | None = None  # opened the request or reported a result
        self.awaiting_decision: Stream | None = None  # waits for the decision on the next attempt
        self.attempt_stream: Stream | None = None  # received the decision of the attempt in flight
        self.next_stream: Stream | None = None  # requested a decision while that attempt is in flight
        self.return_timer: Handle | None = None  # ends the wait for the caller's next stream
        self.overlap_timer: Handle | None = None  # ends the wait of next_stream
        self.may_have_run = False
        self.may_have_run_before = False  # may_have_run before the attempt in flight

    # ---- calls from the engine and the backend

    def decided(self, attempt: AttemptHandle) -> None:
        """The decision module has chosen a server: send the decision to the stream that waits, if any."""
        if self.awaiting_decision is not None:
            self._send_decision(attempt)

    def served(self, answer: object) -> None:
        """The upstream's response is final: the caller forwards it."""
        self._end(ResponseForwarded())

    def refused(self, retry_after_ms: float, over_quota: bool) -> None:
        """The request is rejected and did not run. retry_after_ms: 0 for no Retry-After."""
        self._end(Rejected(retry_after_ms, over_quota))

    def failed(self) -> None:
        """The request failed; it may have run."""
        self._end(Failed(502))

    def aborted(self) -> None:
        """The engine gave the request up as a last resort; it may have run."""
        self._end(Failed(500))

    def client_disconnected(self) -> None:
        """The client is considered disconnected."""
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

    # ---- calls from streams

    def resume(self, stream: Stream) -> None:
        """Handle a decision request for the next attempt while no attempt is in flight."""
        self._stop_timers()
        self.awaiting_decision = stream
        stream.request = self
        attempt = cast("AttemptHandle | None", self.attempt)
        if attempt is None:
            return  # the module has not decided yet; this stream gets the decision
        if self.may_have_run and attempt.is_lost():
            attempt.fail("cancelled")  # the caller has abandoned it: the module may now decide on a retry
        else:
            self._send_decision(attempt)

    def wait_for_attempt(self, stream: Stream) -> None:
        """Let a stream wait for the end of the attempt in flight, for overlap_s at most.

        The attempt's result, or the end of its stream, may arrive after the caller's next stream.
        """
        self.next_stream = stream
        stream.request = self
        self.overlap_timer = self.service.clock.call_later(self.service.overlap_s, self._overlap_expired)

    def report_result(self, stream: Stream, result: AttemptResult) -> None:
        """Handle the attempt's result from the caller; exactly one reply follows."""
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
        """The decision was not written to the caller in time: nothing ran, and the module decides again."""
        attempt = self._withdraw_decision(stream)
        self.awaiting_decision = stream
        attempt.fail("moot")

    def _withdraw_decision(self, stream: Stream) -> AttemptHandle:
        """Undo a decision that was never written to the caller: the attempt certainly did not run."""
        attempt = stream.attempt
        stream.attempt = None
        self.attempt_stream = None
        assert attempt is not None
        self.may_have_run = self.may_have_run_before
        attempt.undo_claim()
        return attempt

    def stream_closed(self, stream: Stream, unwritten: bool) -> None:
        """Handle the end of a stream; unwritten: its decision was not written and never will be."""
        if unwritten and stream is self.attempt_stream and stream.attempt is not None:
            self._withdraw_decision(stream)
            self.awaiting_decision = stream
        if stream is self.awaiting_decision:  # its caller gave up while no attempt is in flight
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
        """Send the token to the stream that opened the request, which is now registered."""
        self.awaiting_outcome = None
        stream.send_reply(RequestOpened(self.token))
        self._await_next_stream()

    def _await_next_stream(self) -> None:
        """Wait return_s for the caller's next stream; without one the client is considered disconnected."""
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
            return  # the module decides again; this stream gets its next decision
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
    """Return the reply to a request for a further attempt after the request completed with `reply`."""
    return reply if isinstance(reply, Rejected | Failed) else Failed(502)
