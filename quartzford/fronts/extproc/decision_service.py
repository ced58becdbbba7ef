"""The decision service: streams of calling proxies on one side, the engine on the other. No I/O, no gRPC.

A stream requests a decision (for a new request, or with a token for the next attempt of one), gets a reply,
reports the attempt's result, gets a reply, and closes. A request may take several streams, whichever worker
they reach. The table of states is in docs/extproc.md.
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

    return_s: for how long a request waits for the caller's next stream; overlap_s: for how long a stream
    waits that requests a decision while an attempt of its request is in flight; max_requests: at once;
    queue_s: for how long a new request may have waited before it reaches the service.
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

    # ---- what streams say

    def request_decision(
        self, stream: Stream, decision_request: DecisionRequest, requested_at: float = math.inf
    ) -> None:
        """A request's headers came at this moment (seconds), or now; one reply follows, unless it closes."""
        now = self.clock.now()
        stream.requested_at = min(requested_at, now)
        if decision_request.token and decision_request.opens:
            # Only a client can have written it: whoever opens a request has no token yet.
            self.engine.counts["token forged"] += 1
            stream.send_reply(Failed(400))
        elif decision_request.token:
            self._next_attempt(stream, decision_request)
        elif self._may_run(decision_request.identity):
            # The caller's own copy of a request that may run: neither beside it nor again.
            self.engine.counts["same id"] += 1
            stream.send_reply(Failed(409))
        else:
            self._new_request(stream, decision_request, self.clock.now() - stream.requested_at)

    def report_result(self, stream: Stream, result: AttemptResult) -> None:
        """A response's headers have come; exactly one reply follows, at once."""
        if stream.request is None or stream.attempt is None:
            # Of an attempt that no stream was given: nothing to learn from it.
            stream.send_reply(ResponseForwarded())
        else:
            stream.request.report_result(stream, result)

    def decision_expired(self, stream: Stream) -> None:
        """A decision reached its writer after `valid_until` and was not written. Another reply follows."""
        request = stream.request
        if request is not None and not request.done and stream.attempt is not None:
            self.engine.counts["written too late"] += 1
            request.decision_expired(stream)

    def stream_closed(self, stream: Stream, unwritten: bool = False) -> None:
        """The stream has ended, in whatever way; it gets no further reply.

        unwritten: no reply to its last request had been written, nor will be.
        """
        stream.closed = True
        request = stream.request
        stream.request = None
        if request is not None and not request.done:
            request.stream_closed(stream, unwritten)

    # ---- what requests say

    def request_ended(self, request: RemoteRequest, reply: Reply) -> None:
        """Remember a request that has ended, to recognize its client's copies until their time is over."""
        self.requests.pop(request.number, None)
        self.requests_by_identity.pop(request.identity, None)
        expires_at = request.deadline + COMPLETED_RETENTION_S
        completed = CompletedRequest(request.number, expires_at, reply, not request.may_have_run)
        self.completed.add(request.identity, completed, self.clock.now())

    # ---- new requests and further attempts

    def _may_run(self, identity: str) -> bool:
        """A request with this correlation id is in flight, or has ended and may have run."""
        completed = self.completed.get(identity)
        return identity in self.requests_by_identity or (completed is not None and not completed.never_ran)

    def _new_request(self, stream: Stream, decision_request: DecisionRequest, waited_s: float) -> None:
        waited_too_long = waited_s > self.queue_s
        if not waited_too_long and len(self.requests) < self.max_requests:
            return self._accept(stream, decision_request, waited_s)
        # No capacity: neither the fleet nor the decision module is involved, and nothing has run.
        self.engine.counts["waited too long" if waited_too_long else "no room"] += 1
        stream.send_reply(Rejected(self._retry_after_ms(decision_request), False))

    def _retry_after_ms(self, decision_request: DecisionRequest) -> float:
        """When a request that was rejected here may come back, by the decision module's own measure."""
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
        """The client's time; the class's own deadline where the client named none."""
        if decision_request.left_ms >= 0:
            return decision_request.left_ms
        service_class = self.engine.classes.get(decision_request.service_class)
        return service_class.deadline_ms if service_class is not None else self.engine.max_deadline_ms

    def _next_attempt(self, stream: Stream, decision_request: DecisionRequest) -> None:
        number = self.tokens.read(decision_request.token, decision_request.identity, self.clock.unix_ms())
        if isinstance(number, InvalidToken):
            # Never taken for a new request: what the token stood for may have run.
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
    """The request as the decision module sees it, with the client's remaining time in milliseconds."""
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
