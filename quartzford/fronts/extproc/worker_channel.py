"""The line between a gRPC worker and the process that decides: JSON arrays, one a line, over a Unix socket.

Up: ["ask", stream, at, ...Ask] (at: monotonic seconds, one clock for all processes of a machine),
["report", stream, ...Result], ["late", stream], ["drop", stream, unwritten], ["bound", port].
Down: [reply, stream, ...fields], ["names", {...}, longest_s], ["stop"]. A line that ends drops all its
streams: the worker has died, and what its callers had been told of may run.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, cast

from quartzford.engine import Log
from quartzford.fronts.extproc.attempt_result import AttemptResult
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
from quartzford.fronts.extproc.message_queue import MessageQueue
from quartzford.fronts.extproc.remote_request import Stream

# The first field of a reply's line. A restarted worker may run newer code than the deciding process:
# the tags stay as they are, whatever the types are called.
REPLY_TAGS: dict[type[Any], str] = {
    Decision: "Told",
    RequestOpened: "Opened",
    Rejected: "Refused",
    Failed: "Failed",
    ResponseForwarded: "Passed",
    RetryOffered: "Again",
    DeadlineExceeded: "Cut",
}
REPLIES: dict[str, type[Any]] = {tag: kind for kind, tag in REPLY_TAGS.items()}


MAX_TURN_S = 0.004  # the deciding process works so long at a line, then looks at all else: drains above all
MAX_QUEUED = 8_192  # lines read ahead


class JsonLinesProtocol(asyncio.Protocol):
    """Lines in, lines out; what is written in one turn of the loop goes out as one piece."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.partial_line = b""
        self.outgoing: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        *complete, self.partial_line = (self.partial_line + data).split(b"\n")
        self.messages_received([json.loads(line) for line in complete])

    def send(self, *values: Any) -> None:
        if not self.outgoing:
            self.loop.call_soon(self._flush)
        self.outgoing.append(json.dumps(values, separators=(",", ":")).encode())

    def _flush(self) -> None:
        if not self.outgoing:
            return
        data, self.outgoing = b"\n".join([*self.outgoing, b""]), []
        if not self.transport.is_closing():
            self.transport.write(data)

    def messages_received(self, messages: list[list[Any]]) -> None:
        raise NotImplementedError


class ServiceChannel(JsonLinesProtocol):
    """The deciding process's end.

    What waits here is worked off in short turns, in the order that `MessageQueue` gives: an overload of this
    process must delay neither the news of a drain nor the end of what is out.
    """

    def __init__(
        self,
        service: DecisionService,
        log: Log,
        channels: set[ServiceChannel],
        greeting: Callable[[], tuple[Any, ...]],
    ) -> None:
        super().__init__()
        self.service, self.log, self.channels, self.greeting = service, log, channels, greeting
        self.streams: dict[int, Stream] = {}
        self.port = 0
        self.queue = MessageQueue(self._priority_weight)
        self.working = self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.channels.add(self)
        self.configure()

    def configure(self) -> None:
        self.send(*self.greeting())

    def connection_lost(self, error: Exception | None) -> None:
        self.channels.discard(self)
        streams, self.streams = self.streams, {}
        self.queue = MessageQueue(self._priority_weight)
        for stream in streams.values():
            self.service.stream_closed(stream)

    def _priority_weight(self, name: str) -> float:
        kind = self.service.engine.classes.get(name)
        return kind.priority_weight if kind is not None else 0.0

    def messages_received(self, messages: list[list[Any]]) -> None:
        for message in messages:
            self.queue.put(message)
        if not self.paused and len(self.queue) > MAX_QUEUED:
            self.paused = True
            self.transport.pause_reading()
        if not self.working:
            self._work()

    def _work(self) -> None:
        now = self.service.clock.now
        end = now() + MAX_TURN_S
        while now() < end and (message := self.queue.next()) is not None:
            try:
                self._dispatch(message)
            except Exception:
                self.log.exception("line")
        self._flush()
        self.working = bool(len(self.queue))
        if self.working:
            self.loop.call_soon(self._work)
        elif self.paused:
            self.paused = False
            if not self.transport.is_closing():
                self.transport.resume_reading()

    def _dispatch(self, message: list[Any]) -> None:
        what, number = message[0], message[1]
        if what == "ask":
            stream = self.streams.get(number) or self._stream(number)
            self.service.request_decision(stream, DecisionRequest(*message[3:]), message[2])
        elif what == "report":
            code, report, faulted = message[2:]
            self.service.report_result(self.streams[number], AttemptResult(code, tuple(report), faulted))
        elif what == "drop":
            gone = self.streams.pop(number, None)
            if gone is not None:
                self.service.stream_closed(gone, message[2])
        elif what == "late":
            self.service.decision_expired(self.streams[number])
        elif what == "bound":
            self.port = number

    def _stream(self, number: int) -> Stream:
        def reply(reply: Reply) -> None:
            self.send(REPLY_TAGS[type(reply)], number, *reply)

        stream = self.streams[number] = Stream(reply)
        return stream


class WorkerChannel(JsonLinesProtocol):
    """A worker's end; a Link for its streams."""

    def __init__(
        self,
        on_message: Callable[[list[Any]], None],
        on_disconnect: Callable[[], None],
        now: Callable[[], float],
    ) -> None:
        super().__init__()
        self.on_message, self.on_disconnect, self.now = on_message, on_disconnect, now
        self.numbers: dict[Stream, int] = {}
        self.streams: dict[int, Stream] = {}
        self.last = 0

    def connection_lost(self, error: Exception | None) -> None:
        self.on_disconnect()

    def messages_received(self, messages: list[list[Any]]) -> None:
        for message in messages:
            kind = REPLIES.get(message[0])
            if kind is None:
                self.on_message(message)
                continue
            stream = self.streams.get(message[1])
            if stream is not None:
                stream.send_reply(kind(*message[2:]))

    def open(self, stream: Stream) -> None:
        self.last += 1
        self.numbers[stream], self.streams[self.last] = self.last, stream

    def request_decision(self, stream: Stream, decision_request: DecisionRequest) -> None:
        self.send("ask", self.numbers[stream], round(self.now(), 6), *decision_request)

    def report_result(self, stream: Stream, result: AttemptResult) -> None:
        self.send("report", self.numbers[stream], *result)

    def decision_expired(self, stream: Stream) -> None:
        self.send("late", self.numbers[stream])

    def stream_closed(self, stream: Stream, unwritten: bool) -> None:
        number = self.numbers.pop(stream)
        del self.streams[number]
        self.send("drop", number, unwritten)
