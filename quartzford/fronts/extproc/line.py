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
from quartzford.fronts.extproc.desk import (
    Again,
    Ask,
    Cut,
    Desk,
    Failed,
    Opened,
    Passed,
    Refused,
    Reply,
    Stream,
    Told,
)
from quartzford.fronts.extproc.intake import Intake
from quartzford.fronts.extproc.outcome import Result

# The first field of a reply's line. A restarted worker may run newer code than the deciding process:
# the tags stay as they are, whatever the types are called.
REPLY_TAGS: dict[type[Any], str] = {
    Told: "Told",
    Opened: "Opened",
    Refused: "Refused",
    Failed: "Failed",
    Passed: "Passed",
    Again: "Again",
    Cut: "Cut",
}
REPLIES: dict[str, type[Any]] = {tag: kind for kind, tag in REPLY_TAGS.items()}


TURN_S = 0.004  # the deciding process works so long at a line, then looks at all else: drains above all
QUEUE = 8_192  # lines read ahead


class Lines(asyncio.Protocol):
    """Lines in, lines out; what is written in one turn of the loop goes out as one piece."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.rest = b""
        self.out: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        *complete, self.rest = (self.rest + data).split(b"\n")
        self.lines_in([json.loads(line) for line in complete])

    def send(self, *values: Any) -> None:
        if not self.out:
            self.loop.call_soon(self._flush)
        self.out.append(json.dumps(values, separators=(",", ":")).encode())

    def _flush(self) -> None:
        if not self.out:
            return
        data, self.out = b"\n".join([*self.out, b""]), []
        if not self.transport.is_closing():
            self.transport.write(data)

    def lines_in(self, messages: list[list[Any]]) -> None:
        raise NotImplementedError


class DeskLine(Lines):
    """The deciding process's end.

    What waits here is worked off in short turns, in the order that `Intake` gives: an overload of this
    process must delay neither the news of a drain nor the end of what is out.
    """

    def __init__(
        self, desk: Desk, log: Log, lines: set[DeskLine], greeting: Callable[[], tuple[Any, ...]]
    ) -> None:
        super().__init__()
        self.desk, self.log, self.lines, self.greeting = desk, log, lines, greeting
        self.streams: dict[int, Stream] = {}
        self.port = 0
        self.intake = Intake(self._worth)
        self.working = self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.lines.add(self)
        self.configure()

    def configure(self) -> None:
        self.send(*self.greeting())

    def connection_lost(self, error: Exception | None) -> None:
        self.lines.discard(self)
        streams, self.streams = self.streams, {}
        self.intake = Intake(self._worth)
        for stream in streams.values():
            self.desk.drop(stream)

    def _worth(self, name: str) -> float:
        kind = self.desk.engine.classes.get(name)
        return kind.priority_weight if kind is not None else 0.0

    def lines_in(self, messages: list[list[Any]]) -> None:
        for message in messages:
            self.intake.put(message)
        if not self.paused and len(self.intake) > QUEUE:
            self.paused = True
            self.transport.pause_reading()
        if not self.working:
            self._work()

    def _work(self) -> None:
        now = self.desk.clock.now
        end = now() + TURN_S
        while now() < end and (message := self.intake.next()) is not None:
            try:
                self._line(message)
            except Exception:
                self.log.exception("line")
        self._flush()
        self.working = bool(len(self.intake))
        if self.working:
            self.loop.call_soon(self._work)
        elif self.paused:
            self.paused = False
            if not self.transport.is_closing():
                self.transport.resume_reading()

    def _line(self, message: list[Any]) -> None:
        what, number = message[0], message[1]
        if what == "ask":
            stream = self.streams.get(number) or self._stream(number)
            self.desk.ask(stream, Ask(*message[3:]), message[2])
        elif what == "report":
            code, report, faulted = message[2:]
            self.desk.report(self.streams[number], Result(code, tuple(report), faulted))
        elif what == "drop":
            gone = self.streams.pop(number, None)
            if gone is not None:
                self.desk.drop(gone, message[2])
        elif what == "late":
            self.desk.late(self.streams[number])
        elif what == "bound":
            self.port = number

    def _stream(self, number: int) -> Stream:
        def reply(said: Reply) -> None:
            self.send(REPLY_TAGS[type(said)], number, *said)

        stream = self.streams[number] = Stream(reply)
        return stream


class WorkerLine(Lines):
    """A worker's end; a Link for its streams."""

    def __init__(
        self, told: Callable[[list[Any]], None], ended: Callable[[], None], now: Callable[[], float]
    ) -> None:
        super().__init__()
        self.told, self.ended, self.now = told, ended, now
        self.numbers: dict[Stream, int] = {}
        self.streams: dict[int, Stream] = {}
        self.last = 0

    def connection_lost(self, error: Exception | None) -> None:
        self.ended()

    def lines_in(self, messages: list[list[Any]]) -> None:
        for message in messages:
            kind = REPLIES.get(message[0])
            if kind is None:
                self.told(message)
                continue
            stream = self.streams.get(message[1])
            if stream is not None:
                stream.say(kind(*message[2:]))

    def open(self, stream: Stream) -> None:
        self.last += 1
        self.numbers[stream], self.streams[self.last] = self.last, stream

    def ask(self, stream: Stream, ask: Ask) -> None:
        self.send("ask", self.numbers[stream], round(self.now(), 6), *ask)

    def report(self, stream: Stream, result: Result) -> None:
        self.send("report", self.numbers[stream], *result)

    def late(self, stream: Stream) -> None:
        self.send("late", self.numbers[stream])

    def drop(self, stream: Stream, unwritten: bool) -> None:
        number = self.numbers.pop(stream)
        del self.streams[number]
        self.send("drop", number, unwritten)
