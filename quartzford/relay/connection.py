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
from quartzford.relay.catalog import Catalog, CompleteList, Position, UpdateKind, WatcherUpdate
from quartzford.relay.transfer_schedule import TransferSchedule
from quartzford.relay.watch_limit import WatchLimit

LIST_PATH = "/catalog/members"
MAX_HEAD_BYTES = 8 * 1024
REQUEST_TIMEOUT_S = 5.0  # a connection on which no request has begun by then is closed
REQUEST_READ_TIMEOUT_S = 2.0  # a request that is not whole so long after it began is answered 408
LIST_SEND_TIMEOUT_S = 60.0  # a whole list that is not taken by then: its watcher waits no longer either
CHUNK_BYTES = 64 * 1024
HEARTBEAT_TICKS = 20  # of the server's: an empty line to each watcher every two seconds
AHEAD_SETTLE_S = 2.0  # after the source's next line, until an index above the version held is of another life
REJECTED_RETRY_S = 1.0  # who is turned away for the source's sake may come again
FULL_RETRY_S = 2.0
REASON_PHRASES = {
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT = b"1\r\n\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class SourceState(Enum):
    """How the relay stands to the source."""

    CURRENT = "current"
    WAITING = "waiting"  # its next line is late
    LOST = "lost"


class Server(Protocol):
    """What a connection needs of the relay that it belongs to."""

    catalog: Catalog
    transfer_schedule: TransferSchedule
    clock: Clock
    connections: set[ClientConnection]
    watchers: dict[ClientConnection, None]
    waiting: dict[ClientConnection, None]  # for the source
    counts: Counter[str]
    watch_limit: WatchLimit
    stopping: bool

    def too_many_connections(self) -> bool:
        """Too many connections are open that are no watches."""

    def source_state(self) -> SourceState:
        """How the relay stands to the source."""

    def last_line_at(self) -> float:
        """When the source's last line came, on the clock."""

    def frame(self, line: bytes) -> bytes:
        """A line as a chunk."""

    def schedule_chunk(self, connection: ClientConnection) -> None:
        """A whole list can go on."""


class ConnectionState(Enum):
    """How far a call has come."""

    READING_REQUEST = "reading request"
    WAITING = "waiting"  # for the source
    SCHEDULED = "scheduled"  # for a whole list's
    SENDING_LIST = "sending list"  # it is being written
    WATCHING = "watching"
    CLOSED = "closed"


def watch_index(query: str) -> int | None:
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


class ClientConnection(asyncio.Protocol):
    """A balancer's connection, from its request to its end."""

    transport: asyncio.Transport

    def __init__(self, server: Server) -> None:
        self.server = server
        self.state = ConnectionState.READING_REQUEST
        self.index: int | None = None  # of a watch
        self.position: Position | None = None  # that it has been sent
        self.heartbeat_slot = 0  # in which its beats fall
        self._head_sent = False  # the answer has begun
        self._paused = False
        self._first_ahead_at = 0.0  # a line came after the call, and it was ahead
        self._requested_at = 0.0
        self._list: CompleteList | None = None
        self._remaining: memoryview = memoryview(b"")
        self._scheduled_bytes = 0  # bytes that have a turn
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
        server.connections.add(self)
        if server.stopping:
            return self.abort()
        if server.too_many_connections():
            self._reject(FULL_RETRY_S, "full")
            return self.transport.close()  # nothing was read, and descriptors are short
        self._set_timer(REQUEST_TIMEOUT_S, self.abort)

    def connection_lost(self, error: Exception | None) -> None:
        """Nothing is left of the call."""
        self._release()
        self._parser = None
        if self._timer is not None:
            self._timer.cancel()
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Read the request; what follows it is not read."""
        if self._lingering is not None:
            return self._lingering.received(len(data))
        if self.state is not ConnectionState.READING_REQUEST:
            return  # one call to a connection
        if not self._bytes_read:
            self._set_timer(REQUEST_READ_TIMEOUT_S, self._respond_error, 408)
        self._bytes_read += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.state is ConnectionState.READING_REQUEST:
                self._respond_error(400)
        if self.state is ConnectionState.READING_REQUEST and self._bytes_read > MAX_HEAD_BYTES:
            self._respond_error(431)

    def eof_received(self) -> bool:
        """Whoever asked for the list alone may end its sending and still read; any other has left."""
        if (
            self._lingering is None
            and self.index is None
            and self.state is not ConnectionState.READING_REQUEST
        ):
            return True
        self._release()
        return False

    def pause_writing(self) -> None:
        """The socket takes no more bytes."""
        self._paused = True

    def resume_writing(self) -> None:
        """The socket has taken all: what is owed by now is written."""
        self._paused = False
        if self.state is ConnectionState.SENDING_LIST:
            self.server.schedule_chunk(self)
        else:
            self.send_updates()

    def _set_timer(self, wait: float, then: Callable[..., object], *args: object) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.server.clock.call_later(wait, then, *args)

    def _release(self) -> None:
        self.state = ConnectionState.CLOSED
        self._list, self._remaining = None, memoryview(b"")
        self.server.waiting.pop(self, None)
        self.server.watchers.pop(self, None)
        if self._scheduled_bytes:
            self.server.transfer_schedule.release(self._scheduled_bytes)
            self._scheduled_bytes = 0

    def abort(self) -> None:
        """Nothing more is written, nor what was."""
        self._release()
        self.transport.abort()

    def end(self) -> None:
        """End the call in order: a watch's answer ends, one that has no answer yet is turned away."""
        if self.state is ConnectionState.CLOSED:
            return
        if self.state is ConnectionState.READING_REQUEST and not self._bytes_read:
            return self.abort()
        if not self._head_sent:
            return self._reject(REJECTED_RETRY_S, "turned away")
        if self.state is ConnectionState.SENDING_LIST and not self.server.stopping:
            return  # it is sent the list that there is, and ended behind it
        if self._paused or self._list is not None:
            return self.abort()
        self._send_last(LAST_CHUNK if self.index is not None else b"")

    def _send_last(self, data: bytes) -> None:
        """Write the last bytes; the connection ends when they are taken, and what still comes is dropped."""
        self._release()
        if data:
            self.transport.write(data)
        self._set_timer(LIST_SEND_TIMEOUT_S, self.transport.abort)
        clock = self.server.clock
        self._lingering = LingeringClose(self.transport, clock.now())
        self._lingering.close_in_time(clock)

    # ---- httptools

    def on_url(self, url: bytes) -> None:
        """A part of the request's target."""
        self._url += url

    def on_headers_complete(self) -> None:
        """The request is known."""
        if self.state is not ConnectionState.READING_REQUEST or self._bytes_read > MAX_HEAD_BYTES:
            return
        target = self._url.decode("latin-1")
        if target.startswith("http://"):  # absolute form (RFC 9112, 3.2.2)
            target = "/" + target[7:].partition("/")[2]
        path, _, query = target.partition("?")
        if path != LIST_PATH:
            return self._respond_error(404)
        if self._parser.get_method() != b"GET":
            return self._respond_error(405)
        try:
            self.index = watch_index(query)
        except ValueError:
            return self._respond_error(400)
        self._begin_call()

    # ---- the call

    def _respond_error(self, status: int, field: str = "") -> None:
        allow = "Allow: GET\r\n" if status == 405 else ""
        self._send_last(
            f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n{allow}{field}Content-Length: 0\r\n"
            "Connection: close\r\n\r\n".encode()
        )

    def _reject(self, wait: float, why: str) -> None:
        self.server.counts[why] += 1
        self._respond_error(503, f"Retry-After: {wait:.2f}\r\n")

    def _begin_call(self) -> None:
        server = self.server
        if self._timer is not None:
            self._timer.cancel()
        if self.index is not None:
            host = self.transport.get_extra_info("peername")[0]
            if not server.watch_limit.admits(host, len(server.watchers), server.clock.now()):
                return self._reject(FULL_RETRY_S, "full")
            server.counts["watches"] += 1
            self.heartbeat_slot = server.counts["watches"] % HEARTBEAT_TICKS
            server.watchers[self] = None
        else:
            server.counts["asked"] += 1
        self._requested_at = server.clock.now()
        self.state = ConnectionState.WAITING
        server.waiting[self] = None
        self.proceed()

    def proceed(self) -> None:
        """Answer, if the source allows it by now."""
        if self.state is not ConnectionState.WAITING:
            return
        source, held = self.server.source_state(), self.server.catalog.version is not None
        if self.index is None and held:
            self._schedule_list()
        elif source is SourceState.LOST:
            self._reject(REJECTED_RETRY_S, "turned away")
        elif source is SourceState.CURRENT and held:
            self._answer(self.server.catalog.update_for(None, self.index or 0))

    def _answer(self, update: WatcherUpdate) -> None:
        if update.kind is UpdateKind.COMPLETE_LIST or (
            update.kind is UpdateKind.AHEAD and self._of_another_incarnation()
        ):
            self._schedule_list()
        elif update.kind is not UpdateKind.AHEAD:
            self.server.waiting.pop(self, None)
            self.state = ConnectionState.WATCHING
            self._send_changes(update.line or self.server.catalog.no_changes_line())

    def _of_another_incarnation(self) -> bool:
        """Its index is still above the version held, well after the source has said something."""
        now = self.server.clock.now()
        if not self._first_ahead_at and self.server.last_line_at() > self._requested_at:
            self._first_ahead_at = now
        return bool(self._first_ahead_at) and now - self._first_ahead_at >= AHEAD_SETTLE_S

    def send_updates(self) -> None:
        """Send a watcher what it is owed, if its socket takes bytes."""
        if self.state is not ConnectionState.WATCHING or self._paused:
            return
        update = self.server.catalog.update_for(self.position)
        if update.kind is UpdateKind.CHANGES:
            self._send_changes(update.line)
        elif update.kind is UpdateKind.COMPLETE_LIST:
            self._schedule_list()

    def send_heartbeat(self) -> None:
        """Say that nothing has changed."""
        if self.state is ConnectionState.WATCHING and not self._paused:
            self.transport.write(HEARTBEAT)

    def _send_changes(self, line: bytes) -> None:
        self.server.counts["changes"] += 1
        self.position = self.server.catalog.position()
        data = self.server.frame(line)
        if not self._head_sent:
            self._head_sent = True
            data = WATCH_HEAD + data
        self.transport.write(data)

    # ---- whole lists

    def _schedule_list(self) -> None:
        """The whole list is owed: in its turn, or not here."""
        self.server.waiting.pop(self, None)
        if self.server.stopping:
            return self.end()
        size = self.server.catalog.complete_list_bytes()
        slot = self.server.transfer_schedule.reserve(self.server.clock.now(), size)
        if not slot.granted:
            if self._head_sent:
                return self.end()
            return self._reject(slot.wait, "turned away")
        self._scheduled_bytes = size
        self.state = ConnectionState.SCHEDULED
        self._set_timer(slot.wait, self._begin_list)

    def _begin_list(self) -> None:
        if self.state is not ConnectionState.SCHEDULED:
            return
        if self.server.stopping:
            return self.end()
        self._scheduled_bytes = 0
        self._list = self.server.catalog.complete_list(
            exact=self.index is None, since=self._required_version()
        )
        if self._list.position.version < self._required_version():
            return self._reject(REJECTED_RETRY_S, "turned away")
        line = self._list.line
        self.server.counts["whole"] += 1
        if self.index is None:
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n" % len(line)
            head += b"Connection: close\r\n\r\n"
        else:
            head = (b"" if self._head_sent else WATCH_HEAD) + b"%x\r\n" % len(line)
        self._head_sent = True
        self._remaining = memoryview(line)
        self.state = ConnectionState.SENDING_LIST
        self._set_timer(LIST_SEND_TIMEOUT_S, self.abort)
        self.transport.write(head)
        if not self._paused:
            self.server.schedule_chunk(self)

    def _required_version(self) -> int:
        """The version that the list has to have: a balancer from elsewhere may hold a newer one than others.

        An index above the version held is of another life, and says nothing.
        """
        index = self.index or 0
        return index if self.position is None and index <= self.server.catalog.position().version else 0

    def send_chunk(self) -> bool:
        """Write the next piece of the whole list; whether another one may follow at once."""
        if self.state is not ConnectionState.SENDING_LIST or self._paused:
            return False
        if self._list is not None and self._list.position.incarnation != self.server.catalog.incarnation:
            self.abort()  # the source has begun again: what is written is of no use
            return False
        # A copy: what a slow socket still holds of an old list must not keep the whole of it.
        data, self._remaining = bytes(self._remaining[:CHUNK_BYTES]), self._remaining[CHUNK_BYTES:]
        self.transport.write(data)
        if not self._remaining:
            self._list_sent()
        return self.state is ConnectionState.SENDING_LIST and not self._paused

    def _list_sent(self) -> None:
        """All of the list is written: a watcher goes on from its position."""
        assert self._list is not None
        if self.index is None:
            return self._send_last(b"")
        if self._timer is not None:
            self._timer.cancel()
        self.position, self._list = self._list.position, None
        self.state = ConnectionState.WATCHING
        self.transport.write(b"\r\n")
        if self.server.source_state() is SourceState.LOST:
            return self.end()
        self.send_updates()
