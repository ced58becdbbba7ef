"""Connections to upstreams: their pools, and one attempt on one connection."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import socket
from collections import deque
from time import monotonic
from typing import TYPE_CHECKING, Any, cast

import httptools

if TYPE_CHECKING:
    from quartzford.net.downstream import Exchange
    from quartzford.net.proxy import Proxy

TICK_S = 0.001  # what the loop's timers are exact to
HOLD_BYTES = 64 * 1024  # longer answers are streamed: a shorter one that breaks can be tried again
HEAD_BYTES = 64 * 1024  # an answer's head may be this long
JOIN_BYTES = 64 * 1024
PAUSE_S = 0.15
REUSE_SHARE = 0.6
# Hop-by-hop fields, and those that are framed or consumed here
DROPPED = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate te trailer transfer-encoding upgrade"
    b" content-length x-backend-load x-unprocessed".split()
)


def read_report(text: bytes, names: tuple[str, ...]) -> tuple[float, ...]:
    """The load report's values in the settings' order; empty when it is malformed."""
    try:
        table = json.loads(text)
        values = tuple(float(table[name]) for name in names)
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
        return ()  # whatever its bytes, a report must never spoil the answer that carries it
    return values if all(0 <= v < math.inf for v in values) else ()


class Upstream:
    """One life of an upstream at one address; a restart or a new address makes another."""

    __slots__ = ("proxy", "name", "address", "born_ms", "ready", "idle")

    def __init__(self, proxy: Proxy, name: str, address: tuple[str, int], born_ms: float) -> None:
        self.proxy = proxy
        self.name = name
        self.address = address
        self.born_ms = born_ms
        self.ready = True
        self.idle: deque[Connection] = deque()  # newest last; reuse is last in, first out

    def retire(self) -> None:
        """Nothing new goes here: it drains, is gone, or has been followed by another life."""
        self.ready = False
        while self.idle:
            self.idle.pop().close()

    def take(self) -> Connection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.stands():
                return connection
            connection.close()
        return None

    def put(self, connection: Connection) -> None:
        if not self.ready:
            return connection.close()
        connection.idle_since = monotonic()
        self.idle.append(connection)

    def expire(self, before: float) -> None:
        while self.idle and self.idle[0].idle_since < before:
            self.idle.popleft().close()


class Connection(asyncio.Protocol):
    """A connection that carries one attempt at a time."""

    __slots__ = (
        "upstream", "sock", "transport", "attempt", "parser", "idle_since", "flushed", "reused",
        "status", "fields", "report", "unprocessed", "length", "chunked", "head_bytes", "complete", "broken",
    )  # fmt: skip
    transport: asyncio.Transport
    parser: Any

    def __init__(self, upstream: Upstream, sock: socket.socket) -> None:
        self.upstream = upstream
        self.sock = sock
        self.attempt: Attempt | None = None
        self.parser = None
        self.idle_since = 0.0
        self.flushed = False
        self.reused = False

    def stands(self) -> bool:
        """No EOF, reset or stray byte has come that the loop has not seen yet."""
        if self.transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        self.attempt = None
        if self.transport.is_closing():
            return
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.transport.abort()

    def begin(self, attempt: Attempt, head: bytes, body: bytes | bytearray) -> None:
        self.attempt = attempt
        # A parser for each answer: nothing of an earlier one is carried over.
        self.parser = httptools.HttpResponseParser(self)
        self.status = self.head_bytes = 0
        self.fields: list[bytes] = []
        self.report: tuple[float, ...] = ()
        self.unprocessed = self.chunked = self.complete = self.broken = False
        self.length: int | None = None
        if not body:
            self.transport.write(head)
        elif len(body) <= JOIN_BYTES:
            self.transport.write(head + body)
        else:
            self.transport.writelines((head, body))
        self.flushed = not self.transport.is_closing() and not self.transport.get_write_buffer_size()

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self.upstream.proxy.upstream_connections.add(self)

    def resume_writing(self) -> None:
        self.flushed = True

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:
            self.upstream.proxy.drop_idle(self)
            return self.close()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.broken = True  # also where bytes follow a whole answer
        except httptools.HttpParserUpgrade:
            self.broken = True
        self._advance(attempt, len(data))

    def _advance(self, attempt: Attempt, size: int) -> None:
        if self.attempt is not attempt:
            return
        if self.complete:
            return attempt.finish()
        if not self.status:
            self.head_bytes += size
        if self.broken or self.head_bytes > HEAD_BYTES:
            return attempt.fail("reset")
        attempt.progress()

    def eof_received(self) -> None:
        self._ended(clean=True)

    def connection_lost(self, error: Exception | None) -> None:
        self.upstream.proxy.upstream_connections.discard(self)
        self._ended(clean=error is None)
        self.parser = None

    def _ended(self, clean: bool) -> None:
        """An answer of no stated length ends with its connection, but a break is not its end."""
        attempt = self.attempt
        if attempt is None:
            return self.upstream.proxy.drop_idle(self)
        until_close = self.status and self.length is None and not self.chunked and not self.broken
        if until_close and clean:
            self.complete = self.broken = True
            return attempt.finish()
        attempt.fail("reset" if self.flushed or self.status else "connect_failed")

    # ---- httptools

    def on_message_begin(self) -> None:
        self.broken = self.broken or self.complete  # bytes follow the whole answer

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:  # of a second answer, right behind the first
            return
        self.head_bytes += len(name) + len(value)
        key = name.lower()
        if key not in DROPPED:
            self.fields.append(b"%b: %b\r\n" % (name, value))
        elif key == b"content-length":
            self.length = int(value)
        elif key == b"transfer-encoding":
            self.chunked = True
        elif key == b"x-backend-load":
            self.report = read_report(value, self.upstream.proxy.config.report_names)
        elif key == b"x-unprocessed":
            self.unprocessed = value.strip() == b"1"

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            self.fields, self.length, self.chunked = [], None, False
            return
        if self.complete or self.status:
            self.broken = True  # a second answer
            return
        self.status = status
        if self.head_bytes > HEAD_BYTES:
            self.broken = True

    def on_body(self, data: bytes) -> None:
        if self.attempt is not None and not self.complete:
            self.attempt.body(data)

    def on_message_complete(self) -> None:
        if self.status:
            # Asked now: after the message the parser has forgotten what its head said.
            self.broken = self.broken or not self.parser.should_keep_alive()
            self.complete = True

    def faults_request(self) -> bool:
        """The answer puts the failure down to the request, and not to a time-out or a rate of its own."""
        return 400 <= self.status < 500 and self.status not in (408, 429)

    def reusable(self) -> bool:
        return not self.broken and self.flushed and not self.transport.is_closing()


class Attempt:
    """One try of one request at one upstream; it ends with exactly one outcome."""

    __slots__ = (
        "proxy", "exchange", "number", "upstream", "sent", "due", "finish_by", "timer", "connecting",
        "connection", "chunks", "size", "streaming", "moved", "over",
    )  # fmt: skip

    def __init__(
        self, proxy: Proxy, exchange: Exchange, number: int, upstream: Upstream, due: float, finish: float
    ) -> None:
        self.proxy = proxy
        self.exchange = exchange
        self.number = number
        self.upstream = upstream
        self.sent = monotonic()
        self.due = due
        self.finish_by = finish
        self.timer: asyncio.TimerHandle | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.connection: Connection | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.streaming = False
        self.moved = self.sent
        self.over = False

    def start(self) -> None:
        self._arm()
        connection = self.upstream.take()
        if connection is not None:
            connection.reused = True
            self._write(connection)
        elif self.proxy.may_connect():
            self.connecting = self.proxy.loop.create_task(self._connect())
        else:
            self.proxy.loop.call_soon(self.fail, "moot")

    def _arm(self) -> None:
        self.timer = self.proxy.loop.call_later(self.due - monotonic(), self._timed_out)

    async def _connect(self) -> None:
        loop = self.proxy.loop
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.proxy.connects += 1
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.proxy.config.connect_ms / 1000.0):
                await loop.sock_connect(sock, self.upstream.address)
            _, connection = await loop.create_connection(lambda: Connection(self.upstream, sock), sock=sock)
        except (OSError, TimeoutError):
            sock.close()
            self.connecting = None
            return self.fail("connect_failed")
        except asyncio.CancelledError:
            sock.close()
            raise
        finally:
            self.proxy.connects -= 1
        self.connecting = None
        if self.over:
            return self.upstream.put(connection)
        if not self.proxy.stands(self):
            self.upstream.put(connection)
            return self.fail("moot")
        self._write(connection)

    def _write(self, connection: Connection) -> None:
        self.connection = connection
        left = min(self.due, self.exchange.deadline) - monotonic()
        connection.begin(self, self.exchange.upstream_head(left), self.exchange.body)

    def _timed_out(self) -> None:
        self.timer = None
        if monotonic() < self.due - TICK_S:
            return self._arm()
        connection = self.connection
        unsized = connection is not None and connection.status == 200 and connection.length is None
        if connection is not None and unsized and self.size and monotonic() - self.moved < PAUSE_S:
            return self._stream(connection)
        self.fail("timeout" if self.connection is not None else "connect_failed")

    # ---- the answer

    def body(self, data: bytes) -> None:
        if self.streaming:
            self.exchange.client.write(data)
            return
        self.chunks.append(data)
        self.size += len(data)
        self.exchange.charge(len(data))

    def progress(self) -> None:
        """More of the answer has come: begin to stream one that is long."""
        self.moved = monotonic()
        connection = self.connection
        # An answer that has begun is nearly there: to give it up would waste the work done. But one that
        # stops half way seldom goes on, so what can be sent again is, well before patience would end.
        if self.timer is not None and self.due < self.finish_by:
            self.timer.cancel()
            self.due = min(self.finish_by - TICK_S, self.moved + PAUSE_S)
            self._arm()
        if self.streaming or connection is None or connection.status != 200:
            if self.size > HOLD_BYTES and not self.streaming:
                self.fail("error")  # nobody reads the body of a long answer that is not served
            return
        long = self.size > HOLD_BYTES or (connection.length or 0) > HOLD_BYTES
        if self.exchange.streams or long or self.proxy.budget.full():
            self._stream(connection)

    def _stream(self, connection: Connection) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.streaming = True
        self.proxy.started(self)
        self.exchange.client.begin(self.exchange, connection.fields, connection.length)
        chunks, self.chunks = self.chunks, []
        self.exchange.release()
        for data in chunks:
            self.exchange.client.write(data)

    def pause(self, paused: bool) -> None:
        self.moved = monotonic()
        if self.connection is not None and not self.connection.transport.is_closing():
            transport = self.connection.transport
            (transport.pause_reading if paused else transport.resume_reading)()

    def finish(self) -> None:
        """A whole answer has come."""
        connection = self.connection
        assert connection is not None
        if connection.status == 200:
            code = "ok"
        elif connection.status in (503, 504) and connection.unprocessed:
            code = "full"
        else:
            code = "error"
        self._detach(keep=connection.reusable())
        self.proxy.ended(self, code, connection)

    def fail(self, code: str) -> None:
        """The attempt ends without a whole answer."""
        if self.over:
            return
        connection = self.connection
        self._detach(keep=False)
        self.proxy.ended(self, code, connection)

    def _detach(self, keep: bool) -> None:
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.attempt = None
            if keep:
                self.upstream.put(connection)
            else:
                connection.close()
