"""A gRPC worker's end of its channel to the deciding process (`channel_messages.py`)."""

from __future__ import annotations

from collections.abc import Callable

from quartzford.fronts.extproc.attempt_result import AttemptResult
from quartzford.fronts.extproc.channel_messages import (
    ATTEMPT_RESULT,
    DECISION_EXPIRED,
    DECISION_REQUEST,
    REPLIES,
    STREAM_CLOSED,
    Message,
)
from quartzford.fronts.extproc.decision_messages import DecisionRequest
from quartzford.fronts.extproc.json_lines import JsonLinesProtocol
from quartzford.fronts.extproc.remote_request import Stream


class WorkerChannel(JsonLinesProtocol):
    """The `DecisionLink` of a worker's streams.

    on_message: called with each message that is addressed to no stream. on_disconnect: called when the
    deciding process is lost. now: the monotonic clock, seconds.
    """

    def __init__(
        self,
        on_message: Callable[[Message], None],
        on_disconnect: Callable[[], None],
        now: Callable[[], float],
    ) -> None:
        super().__init__()
        self.on_message = on_message
        self.on_disconnect = on_disconnect
        self.now = now
        self.numbers: dict[Stream, int] = {}
        self.streams: dict[int, Stream] = {}
        self.last_number = 0

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio.Protocol: the connection to the deciding process is lost."""
        self.on_disconnect()

    def messages_received(self, messages: list[Message]) -> None:
        """Pass replies to their streams, and all other messages to the worker."""
        for message in messages:
            reply_type = REPLIES.get(message[0])
            if reply_type is None:
                self.on_message(message)
                continue
            stream = self.streams.get(message[1])
            if stream is not None:
                stream.send_reply(reply_type(*message[2:]))

    def open(self, stream: Stream) -> None:
        """Assign a number to a new stream."""
        self.last_number += 1
        self.numbers[stream] = self.last_number
        self.streams[self.last_number] = stream

    def request_decision(self, stream: Stream, decision_request: DecisionRequest) -> None:
        """Send a decision request with its arrival time."""
        self.send(DECISION_REQUEST, self.numbers[stream], round(self.now(), 6), *decision_request)

    def report_result(self, stream: Stream, result: AttemptResult) -> None:
        """Send an attempt's result."""
        self.send(ATTEMPT_RESULT, self.numbers[stream], *result)

    def decision_expired(self, stream: Stream) -> None:
        """Report that the stream's decision was not written in time."""
        self.send(DECISION_EXPIRED, self.numbers[stream])

    def stream_closed(self, stream: Stream, unwritten: bool) -> None:
        """Report that the stream has closed; unwritten: its last reply was not written."""
        number = self.numbers.pop(stream)
        del self.streams[number]
        self.send(STREAM_CLOSED, number, unwritten)
