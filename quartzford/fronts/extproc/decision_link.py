"""The way from a gRPC stream to the decision service: in this process, or over a worker's channel."""

from __future__ import annotations

from typing import Protocol

from quartzford.fronts.extproc.attempt_result import AttemptResult
from quartzford.fronts.extproc.decision_messages import DecisionRequest
from quartzford.fronts.extproc.decision_service import DecisionService
from quartzford.fronts.extproc.remote_request import Stream


class DecisionLink(Protocol):
    """What a gRPC stream calls; replies come back through the stream. See `DecisionService`."""

    def open(self, stream: Stream) -> None:
        """A new stream."""
        ...

    def request_decision(self, stream: Stream, decision_request: DecisionRequest) -> None:
        """A request's headers came."""
        ...

    def report_result(self, stream: Stream, result: AttemptResult) -> None:
        """A response's headers came."""
        ...

    def decision_expired(self, stream: Stream) -> None:
        """The stream's decision was not written in time."""
        ...

    def stream_closed(self, stream: Stream, unwritten: bool) -> None:
        """The stream has ended; unwritten: the reply to its last request was not written."""
        ...


class LocalLink:
    """The decision service in this very process."""

    def __init__(self, service: DecisionService) -> None:
        self.request_decision = service.request_decision
        self.report_result = service.report_result
        self.decision_expired = service.decision_expired
        self.stream_closed = service.stream_closed

    def open(self, stream: Stream) -> None:
        """Nothing to do: the service needs no number for a stream."""
