"""The decision service: connects the streams of calling proxies to the engine. No I/O, no gRPC.

A stream requests a decision (for a new request, or, with a token, for the next attempt of a known request),
gets a reply, reports the attempt's result, gets a reply, and closes. A request may use several streams, which
may reach different workers. docs/extproc.md has the table of states.
"""

from __future__ import annotations

import math

from quartzford.decision import interface as io
from quartzford.engine import Backend, Clock, Engine
from quartzford.fronts.extproc.attempt_result import AttemptResult
from quartzford.fronts.extproc.completed_requests import (
    COMPLETED_RETENTION_S,
    CompletedRequest,
    CompletedRequests,
)
from quartzford.fronts.extproc.decision_messages import (
    DecisionRequest,
    Failed,
    Rejected,
    Reply,
    ResponseForwarded,
)
from quartzford.fronts.extproc.remote_request import RemoteRequest, Stream, reply_after_end
from quartzford.fronts.extproc.token import InvalidToken, Tokens


class DecisionService:
    """All requests of one deciding process.

    return_s: how long a request waits for the caller's next stream, seconds.
    overlap_s: how long a stream that requests a decision waits while another attempt of its request is in
    flight, seconds.
    max_requests: the maximum number of requests at the same time.
    queue_s: the longest time that a new request may have queued before it reaches the service, seconds.
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
        self.engine = engine
        self.backend = backend
        self.clock = clock
        self.tokens = tokens
        self.return_s = return_s
        self.overlap_s = overlap_s
        self.max_requests = max_requests
        self.queue_s = queue_s
        self.requests: dict[int, RemoteRequest] = {}
        self.requests_by_identity: dict[str, RemoteRequest] = {}
        self.completed = CompletedRequests()

    # ---- calls from streams

    def request_decision(
        self, stream: Stream, decision_request: DecisionRequest, requested_at: float = math.inf
    ) -> None:
        """Handle a request's headers. One reply follows, unless the stream closes first.

        requested_at: when the headers arrived, seconds; later times count as now.
        """
        now = self.clock.now()
        stream.requested_at = min(requested_at, now)
        if decision_request.token and decision_request.opens:
            # A caller that opens a request has no token yet, so a client must have sent this one.
            self.engine.counts["token forged"] += 1
            stream.send_reply(Failed(400))
        elif decision_request.token:
            self._next_attempt(stream, decision_request)
        elif self._may_run(decision_request.identity):
            # A copy of a request that is in flight or may have run: it must not run a second time.
            self.engine.counts["same id"] += 1
            stream.send_reply(Failed(409))
        else:
            self._new_request(stream, decision_request, self.clock.now() - stream.requested_at)

    def report_result(self, stream: Stream, result: AttemptResult) -> None:
        """Handle the result of an attempt; exactly one reply follows immediately."""
        if stream.request is None or stream.attempt is None:
            # This stream has no attempt to report on: the decision module must not learn from the report.
            stream.send_reply(ResponseForwarded())
        else:
            stream.request.report_result(stream, result)

    def decision_expired(self, stream: Stream) -> None:
        """Take back a decision that was unwritten when `valid_until` passed. Another reply follows."""
        request = stream.request
        if request is not None and not request.done and stream.attempt is not None:
            self.engine.counts["written too late"] += 1
            request.decision_expired(stream)

    def stream_closed(self, stream: Stream, unwritten: bool = False) -> None:
        """Handle the end of a stream, for whatever reason; the stream gets no further reply.

        unwritten: the reply to its last request was not written to the caller and never will be.
        """
        stream.closed = True
        request = stream.request
        stream.request = None
        if request is not None and not request.done:
            request.stream_closed(stream, unwritten)

    # ---- calls from requests

    def request_ended(self, request: RemoteRequest, reply: Reply) -> None:
        """Store a completed request, so that late copies of it are recognized (`CompletedRequests`)."""
        self.requests.pop(request.number, None)
        self.requests_by_identity.pop(request.identity, None)
        expires_at = request.deadline + COMPLETED_RETENTION_S
        completed = CompletedRequest(request.number, expires_at, reply, not request.may_have_run)
        self.completed.add(request.identity, completed, self.clock.now())

    # ---- new requests and further attempts

    def _may_run(self, identity: str) -> bool:
        """Return whether a request with this correlation id is in flight, or completed and may have run."""
        completed = self.completed.get(identity)
        return identity in self.requests_by_identity or (completed is not None and not completed.never_ran)

    def _new_request(self, stream: Stream, decision_request: DecisionRequest, waited_s: float) -> None:
        waited_too_long = waited_s > self.queue_s
        if not waited_too_long and len(self.requests) < self.max_requests:
            return self._accept(stream, decision_request, waited_s)
        # The external processor lacks capacity. The decision module is not asked, and nothing has run.
        self.engine.counts["waited too long" if waited_too_long else "no room"] += 1
        stream.send_reply(Rejected(self._retry_after_ms(decision_request), False))

    def _retry_after_ms(self, decision_request: DecisionRequest) -> float:
        """Return the retry delay for a request rejected here; the decision module has the same formula."""
        limits = self.engine.settings.limits
        if not limits.retry_after:
            return 0.0
        service_class = self.engine.classes.get(decision_request.service_class)
        objective_ms = (
            service_class.latency_objective_ms if service_class is not None else self.engine.max_deadline_ms
        )
        return min(limits.max_retry_after_ms, objective_ms / 4)

    def _accept(self, stream: Stream, decision_request: DecisionRequest, waited_s: float) -> None:
        left_ms = max(0.0, self._deadline_ms(decision_request) - waited_s * 1000.0)
        request = RemoteRequest(self, decision_request.identity)
        request.number = self.engine.next_number()
        request.deadline = self.clock.now() + left_ms / 1000.0
        expires_unix_ms = self.clock.unix_ms() + left_ms
        request.token = self.tokens.make(request.number, decision_request.identity, expires_unix_ms)
        self.requests[request.number] = request
        self.requests_by_identity[decision_request.identity] = request
        if decision_request.opens:
            request.awaiting_outcome = stream
        else:
            request.awaiting_decision = stream
            stream.request = request
        self.engine.request_arrived(request, module_request(request.number, decision_request, left_ms))
        if decision_request.opens and not request.done:
            request.send_token(stream)

    def _deadline_ms(self, decision_request: DecisionRequest) -> float:
        """Return the client's remaining time, or the class's deadline if the client sent none."""
        if decision_request.left_ms >= 0:
            return decision_request.left_ms
        service_class = self.engine.classes.get(decision_request.service_class)
        return service_class.deadline_ms if service_class is not None else self.engine.max_deadline_ms

    def _next_attempt(self, stream: Stream, decision_request: DecisionRequest) -> None:
        number = self.tokens.read(decision_request.token, decision_request.identity, self.clock.unix_ms())
        if isinstance(number, InvalidToken):
            # This must not be handled as a new request: the request that the token names may have run.
            self.engine.counts[f"token {number.value}"] += 1
            return stream.send_reply(Failed(400 if number is InvalidToken.FORGED else 502))
        request = self.requests.get(number)
        if request is None:
            return stream.send_reply(self._reply_of_completed(number, decision_request.identity))
        if request.awaiting_decision is not None or request.next_stream is not None:
            self.engine.counts["overlapping"] += 1
            return stream.send_reply(Failed(409))
        if request.attempt_stream is not None:
            request.wait_for_attempt(stream)
        else:
            request.resume(stream)

    def _reply_of_completed(self, number: int, identity: str) -> Reply:
        completed = self.completed.get(identity)
        if completed is None or completed.number != number:
            return Failed(502)
        return reply_after_end(completed.reply)


def module_request(number: int, decision_request: DecisionRequest, left_ms: float) -> io.Request:
    """Return the request in the decision module's form; left_ms: the client's remaining time."""
    return io.Request(
        number,
        decision_request.service_class,
        left_ms,
        decision_request.tenant,
        decision_request.key,
        decision_request.work_ms,
        decision_request.repeat,
        decision_request.keyed,
    )
