"""One connection to a relay: a call for the whole list, or a watch."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol, cast
from urllib.parse import parse_qsl

import httptools

from quartzford.engine import Clock, Handle
from quartzford.protocols.lingering import LingeringClose
from quartzford.relay.catalog import Catalog, Due, Owed, Position, Whole
from quartzford.relay.room import Room
from quartzford.relay.turns import Turns

PATH = "/catalog/members"
HEAD_BYTES = 8 * 1024
REQUEST_S = 5.0  # a connection on which no request has begun by then is closed
STALL_S = 2.0  # a request that is not whole so long after it began is answered 408
WHOLE_S = 60.0  # a whole list that is not taken by then: its watcher waits no longer either
PIECE_BYTES = 64 * 1024
BEAT_TICKS = 20  # of the server's: an empty line to each watcher every two seconds
SETTLE_S = 2.0  # after the source's next line, until an index above the version held is of another life
LOST_RETRY_S = 1.0  # who is turned away for the source's sake may come again
FULL_RETRY_S = 2.0
REASONS = {
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
BEAT = b"1\r\n\n\r\n"
LAST = b"0\r\n\r\n"


class Source(Enum):
    """How the relay stands to the source."""

    FRESH = "fresh"
    WAITING = "waiting"  # its next line is late
    LOST = "lost"


class Server(Protocol):
    """What a connection needs of the relay that it belongs to."""

    catalog: Catalog
    turns: Turns
    clock: Clock
    callers: set[Caller]
    watchers: dict[Caller, None]
    waiting: dict[Caller, None]  # for the source
    counts: Counter[str]
    room: Room
    stopping: bool

    def crowded(self) -> bool:
        """Too many connections are open that are no watches."""

    def source(self) -> Source:
        """How the relay stands to the source."""

    def last_line_at(self) -> float:
        """When the source's last line came, on the clock."""

    def frame(self, line: bytes) -> bytes:
        """A line as a chunk."""

    def pump(self, caller: Caller) -> None:
        """A whole list can go on."""


class State(Enum):
    """How far a call has come."""

    ASKING = "asking"
    WAITING = "waiting"  # for the source
    TURN = "turn"  # for a whole list's
    WHOLE = "whole"  # it is being written
    WATCHING = "watching"
    OVER = "over"


def index_of(query: str) -> int | None:
    """The version that a watch goes on from, 0 for the whole list; None of a call for the list alone.

    ValueError where the index is no version.
    """
    fields = dict(parse_qsl(query, keep_blank_values=True))
    if fields.get("stream") != "1":
        return None
    index = fields.get("index", "0")
    if not (index.isascii() and index.isdigit() and len(index) <= 18):
        raise ValueError(f"index {index[:40]!r}")
    return int(index)


class Caller(asyncio.Protocol):
    """A balancer's connection, from its request to its end."""

    transport: asyncio.Transport

    def __init__(self, server: Server) -> None:
        self.server = server
        self.state = State.ASKING
        self.index: int | None = None  # of a watch
        self.position: Position | None = None  # that it has been sent
        self.slot = 0  # in which its beats fall
        self._head_sent = False  # the answer has begun
        self._paused = False
        self._ahead_at = 0.0  # a line came after the call, and it was ahead
        self._asked_at = 0.0
        self._whole: Whole | None = None
        self._rest: memoryview = memoryview(b"")
        self._reserved = 0  # bytes that have a turn
        self._timer: Handle | None = None
        self._lingering: LingeringClose | None = None
        self._bytes_read = 0
        self._url = b""
        self._parser: Any = httptools.HttpRequestParser(self)

    # ---- the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A request is waited for, for REQUEST_S."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        server = self.server
        server.callers.add(self)
        if server.stopping:
            return self.abort()
        if server.crowded():
            self._turn_away(FULL_RETRY_S, "full")
            return self.transport.close()  # nothing was read, and descriptors are short
        self._after(REQUEST_S, self.abort)

    def connection_lost(self, error: Exception | None) -> None:
        """Nothing is left of the call."""
        self._over()
        self._parser = None
        if self._timer is not None:
            self._timer.cancel()
        self.server.callers.discard(self)

    def data_received(self, data: bytes) -> None:
        """Read the request; what follows it is not read."""
        if self._lingering is not None:
            return self._lingering.received(len(data))
        if self.state is not State.ASKING:
            return  # one call to a connection
        if not self._bytes_read:
            self._after(STALL_S, self._refuse, 408)
        self._bytes_read += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.state is State.ASKING:
                self._refuse(400)
        if self.state is State.ASKING and self._bytes_read > HEAD_BYTES:
            self._refuse(431)

    def eof_received(self) -> bool:
        """Whoever asked for the list alone may end its sending and still read; any other has left."""
        if self._lingering is None and self.index is None and self.state is not State.ASKING:
            return True
        self._over()
        return False

    def pause_writing(self) -> None:
        """The socket takes no more bytes."""
        self._paused = True

    def resume_writing(self) -> None:
        """The socket has taken all: what is owed by now is written."""
        self._paused = False
        if self.state is State.WHOLE:
            self.server.pump(self)
        else:
            self.advance()

    def _after(self, wait: float, then: Callable[..., object], *args: object) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.server.clock.call_later(wait, then, *args)

    def _over(self) -> None:
        self.state = State.OVER
        self._whole, self._rest = None, memoryview(b"")
        self.server.waiting.pop(self, None)
        self.server.watchers.pop(self, None)
        if self._reserved:
            self.server.turns.give_back(self._reserved)
            self._reserved = 0

    def abort(self) -> None:
        """Nothing more is written, nor what was."""
        self._over()
        self.transport.abort()

    def leave(self) -> None:
        """End the call in order: a watch's answer ends, one that has no answer yet is turned away."""
        if self.state is State.OVER:
            return
        if self.state is State.ASKING and not self._bytes_read:
            return self.abort()
        if not self._head_sent:
            return self._turn_away(LOST_RETRY_S, "turned away")
        if self.state is State.WHOLE and not self.server.stopping:
            return  # it is sent the list that there is, and ended behind it
        if self._paused or self._whole is not None:
            return self.abort()
        self._finish(LAST if self.index is not None else b"")

    def _finish(self, data: bytes) -> None:
        """Write the last bytes; the connection ends when they are taken, and what still comes is dropped."""
        self._over()
        if data:
            self.transport.write(data)
        self._after(WHOLE_S, self.transport.abort)
        clock = self.server.clock
        self._lingering = LingeringClose(self.transport, clock.now())
        self._lingering.close_in_time(clock)

    # ---- httptools

    def on_url(self, url: bytes) -> None:
        """A part of the request's target."""
        self._url += url

    def on_headers_complete(self) -> None:
        """The request is known."""
        if self.state is not State.ASKING or self._bytes_read > HEAD_BYTES:
            return
        target = self._url.decode("latin-1")
        if target.startswith("http://"):  # absolute form (RFC 9112, 3.2.2)
            target = "/" + target[7:].partition("/")[2]
        path, _, query = target.partition("?")
        if path != PATH:
            return self._refuse(404)
        if self._parser.get_method() != b"GET":
            return self._refuse(405)
        try:
            self.index = index_of(query)
        except ValueError:
            return self._refuse(400)
        self._ask()

    # ---- the call

    def _refuse(self, status: int, field: str = "") -> None:
        allow = "Allow: GET\r\n" if status == 405 else ""
        self._finish(
            f"HTTP/1.1 {status} {REASONS[status]}\r\n{allow}{field}Content-Length: 0\r\n"
            "Connection: close\r\n\r\n".encode()
        )

    def _turn_away(self, wait: float, why: str) -> None:
        self.server.counts[why] += 1
        self._refuse(503, f"Retry-After: {wait:.2f}\r\n")

    def _ask(self) -> None:
        server = self.server
        if self._timer is not None:
            self._timer.cancel()
        if self.index is not None:
            host = self.transport.get_extra_info("peername")[0]
            if not server.room.admits(host, len(server.watchers), server.clock.now()):
                return self._turn_away(FULL_RETRY_S, "full")
            server.counts["watches"] += 1
            self.slot = server.counts["watches"] % BEAT_TICKS
            server.watchers[self] = None
        else:
            server.counts["asked"] += 1
        self._asked_at = server.clock.now()
        self.state = State.WAITING
        server.waiting[self] = None
        self.proceed()

    def proceed(self) -> None:
        """Answer, if the source allows it by now."""
        if self.state is not State.WAITING:
            return
        source, held = self.server.source(), self.server.catalog.version is not None
        if self.index is None and held:
            self._queue_whole()
        elif source is Source.LOST:
            self._turn_away(LOST_RETRY_S, "turned away")
        elif source is Source.FRESH and held:
            self._answer(self.server.catalog.owed(None, self.index or 0))

    def _answer(self, owed: Owed) -> None:
        if owed.due is Due.WHOLE or (owed.due is Due.AHEAD and self._of_another_life()):
            self._queue_whole()
        elif owed.due is not Due.AHEAD:
            self.server.waiting.pop(self, None)
            self.state = State.WATCHING
            self._send_changes(owed.line or self.server.catalog.nothing())

    def _of_another_life(self) -> bool:
        """Its index is still above the version held, well after the source has said something."""
        now = self.server.clock.now()
        if not self._ahead_at and self.server.last_line_at() > self._asked_at:
            self._ahead_at = now
        return bool(self._ahead_at) and now - self._ahead_at >= SETTLE_S

    def advance(self) -> None:
        """Send a watcher what it is owed, if its socket takes bytes."""
        if self.state is not State.WATCHING or self._paused:
            return
        owed = self.server.catalog.owed(self.position)
        if owed.due is Due.CHANGES:
            self._send_changes(owed.line)
        elif owed.due is Due.WHOLE:
            self._queue_whole()

    def beat(self) -> None:
        """Say that nothing has changed."""
        if self.state is State.WATCHING and not self._paused:
            self.transport.write(BEAT)

    def _send_changes(self, line: bytes) -> None:
        self.server.counts["changes"] += 1
        self.position = self.server.catalog.position()
        data = self.server.frame(line)
        if not self._head_sent:
            self._head_sent = True
            data = WATCH_HEAD + data
        self.transport.write(data)

    # ---- whole lists

    def _queue_whole(self) -> None:
        """The whole list is owed: in its turn, or not here."""
        self.server.waiting.pop(self, None)
        if self.server.stopping:
            return self.leave()
        size = self.server.catalog.complete_list_bytes()
        turn = self.server.turns.ask(self.server.clock.now(), size)
        if not turn.granted:
            if self._head_sent:
                return self.leave()
            return self._turn_away(turn.wait, "turned away")
        self._reserved = size
        self.state = State.TURN
        self._after(turn.wait, self._begin_whole)

    def _begin_whole(self) -> None:
        if self.state is not State.TURN:
            return
        if self.server.stopping:
            return self.leave()
        self._reserved = 0
        self._whole = self.server.catalog.complete(exact=self.index is None, since=self._since())
        if self._whole.position.version < self._since():
            return self._turn_away(LOST_RETRY_S, "turned away")
        line = self._whole.line
        self.server.counts["whole"] += 1
        if self.index is None:
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n" % len(line)
            head += b"Connection: close\r\n\r\n"
        else:
            head = (b"" if self._head_sent else WATCH_HEAD) + b"%x\r\n" % len(line)
        self._head_sent = True
        self._rest = memoryview(line)
        self.state = State.WHOLE
        self._after(WHOLE_S, self.abort)
        self.transport.write(head)
        if not self._paused:
            self.server.pump(self)

    def _since(self) -> int:
        """The version that the list has to have: a balancer from elsewhere may hold a newer one than others.

        An index above the version held is of another life, and says nothing.
        """
        index = self.index or 0
        return index if self.position is None and index <= self.server.catalog.position().version else 0

    def piece(self) -> bool:
        """Write the next piece of the whole list; whether another one may follow at once."""
        if self.state is not State.WHOLE or self._paused:
            return False
        if self._whole is not None and self._whole.position.life != self.server.catalog.life:
            self.abort()  # the source has begun again: what is written is of no use
            return False
        # A copy: what a slow socket still holds of an old list must not keep the whole of it.
        data, self._rest = bytes(self._rest[:PIECE_BYTES]), self._rest[PIECE_BYTES:]
        self.transport.write(data)
        if not self._rest:
            self._whole_sent()
        return self.state is State.WHOLE and not self._paused

    def _whole_sent(self) -> None:
        """All of the list is written: a watcher goes on from its position."""
        assert self._whole is not None
        if self.index is None:
            return self._finish(b"")
        if self._timer is not None:
            self._timer.cancel()
        self.position, self._whole = self._whole.position, None
        self.state = State.WATCHING
        self.transport.write(b"\r\n")
        if self.server.source() is Source.LOST:
            return self.leave()
        self.advance()
