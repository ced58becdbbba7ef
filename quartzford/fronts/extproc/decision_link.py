"""Connects gRPC streams to the decision service: in the same process, or over a worker's channel."""

from __future__ import annotations

from typing import Protocol

from quartzford.fronts.extproc.attempt_result import AttemptResult
from quartzford.fronts.extproc.decision_messages import DecisionRequest
from quartzford.fronts.extproc.decision_service import DecisionService
from quartzford.fronts.extproc.remote_request import Stream


class DecisionLink(Protocol):
    """The calls that a gRPC stream makes. `Stream.send_reply` gets the replies. See `DecisionService`."""

    def open(self, stream: Stream) -> None:
        """Register a new stream."""
        ...

    def request_decision(self, stream: Stream, decision_request: DecisionRequest) -> None:
        """Request a decision: the request's headers have arrived."""
        ...

    def report_result(self, stream: Stream, result: AttemptResult) -> None:
        """Report an attempt's result: the response's headers have arrived."""
        ...

    def decision_expired(self, stream: Stream) -> None:
        """Return the stream's decision: its validity ended before it was written to the caller."""
        ...

    def stream_closed(self, stream: Stream, unwritten: bool) -> None:
        """Note that the stream has closed; unwritten: the reply to its last request was not written."""
        ...


class LocalLink:
    """The `DecisionLink` to a decision service in the same process."""

    def __init__(self, service: DecisionService) -> None:
        self.request_decision = service.request_decision
        self.report_result = service.report_result
        self.decision_expired = service.decision_expired
        self.stream_closed = service.stream_closed

    def open(self, stream: Stream) -> None:
        """Do nothing: only a worker's channel needs to number the streams."""
