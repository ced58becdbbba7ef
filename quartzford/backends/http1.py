"""Connections to upstreams: their pools, and one attempt on one connection."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections import Counter, deque
from typing import Any, NamedTuple, Protocol, cast

import httptools

from quartzford import engine
from quartzford.decision import interface as io
from quartzford.engine import Budget, Clock, Engine, Handle
from quartzford.membership.listing import Listing
from quartzford.protocols.socketerrors import is_local_to_connect
from quartzford.settings.fields import read_report

TIMER_RESOLUTION_S = 0.001  # what the loop's timers are exact to
MAX_BUFFERED_BYTES = 64 * 1024  # longer answers are streamed: a shorter one that breaks can be tried again
MAX_HEAD_BYTES = 64 * 1024  # an answer's head may be this long
MAX_JOINED_BYTES = 64 * 1024
SEND_ALLOWANCE_S = 0.05  # a request's last byte leaves within this of its first, or the attempt ends
LONG_SEND_ALLOWANCE_SHARE = 0.5  # of the time left, instead, for one whose body is longer than JOIN_BYTES
MAX_BODY_PAUSE_S = 0.15
MAX_IDLE_SHARE = 0.6
MIN_IDLE_S = 0.01  # an upstream that answers twice does so within some milliseconds
STREAM_OVERTIME_S = 0.4  # past its request's time, for the last bytes of an answer that is passed on
STREAM_STALL_S = 4.0  # a long answer pauses for a tenth of a second; one this silent is broken
# Hop-by-hop fields, and those that are framed or consumed here
NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate te trailer transfer-encoding upgrade"
    b" content-length x-backend-load x-unprocessed".split()
)


class CompleteResponse(NamedTuple):
    """A whole 200 answer: its fields as they go on, and its body in pieces."""

    fields: list[bytes]
    chunks: list[bytes]


class HttpCall(Protocol):
    """What this backend needs of a call: the request's bytes, and a way to pass a long answer on."""

    deadline: float
    body: bytes | bytearray
    streams: bool  # an answer is passed on as it comes

    def upstream_head(self, left: float) -> bytes:
        """The request's head, to an upstream that is given so many seconds."""

    def charge(self, size: int) -> None:
        """So many bytes of an answer are held for this call (fewer, if below 0)."""

    def release(self) -> None:
        """Nothing is held for this call any more."""

    def begin(self, fields: list[bytes], length: int | None) -> None:
        """The head of an answer that is passed on as it comes."""

    def write(self, data: bytes) -> None: ...

    def write_blocked(self) -> bool:
        """The client takes its answer more slowly than it comes."""

    def client_connected(self) -> bool:
        """Whether the client is still there, asked of the system now."""


class HttpBackend:
    """The upstreams of the list, their connections, and the bound on them all."""

    def __init__(self, core: Engine, budget: Budget, clock: Clock, loop: asyncio.AbstractEventLoop) -> None:
        self.engine, self.budget, self.clock, self.loop = core, budget, clock, loop
        self.now = clock.now
        self.upstreams: dict[str, Upstream] = {}
        self.resting: dict[Upstream, None] = {}  # those that may have idle connections
        self.retired: dict[Upstream, None] = {}  # kept until the list forgets the name
        self.connections: set[Connection] = set()
        self.pending_connects = 0
        self.opened: Counter[str] = Counter()  # connections made, by upstream
        self.streams: set[Attempt] = set()
        self.max_connections = 16
        self.idle_ms = self.connect_ms = 1000.0
        self.report_names: tuple[str, ...] = ()

    def configure(self, most: int, idle_ms: float, connect_ms: float, report_names: tuple[str, ...]) -> None:
        """most: connections at once; then how long one may stand idle or take to come up."""
        self.max_connections, self.idle_ms, self.connect_ms = most, idle_ms, connect_ms
        self.report_names = report_names

    def attempt(self, call: Any, number: int, server: str, sent: float, due: float, finish: float) -> Attempt:
        return Attempt(self, call, number, self.upstreams[server], sent, due, finish)

    def may_connect(self) -> bool:
        if len(self.connections) + self.pending_connects < self.max_connections:
            return True
        if not any(upstream.idle for upstream in self.resting):
            return False
        for upstream in self.upstreams.values():
            if upstream.idle:
                upstream.idle.popleft().close()
                return True
        return False

    def close_idle(self) -> None:
        """End what rests: another process needs the descriptors."""
        for upstream in list(self.resting):
            upstream.expire(math.inf)

    def listed(self, listing: Listing) -> None:
        if listing.complete:
            named = {entry.server for entry in listing.entries}
            for name in [name for name in self.upstreams if name not in named]:
                self.upstreams[name].retire()
        for entry, address in zip(listing.entries, listing.addresses, strict=True):
            self._entry(entry, address)

    def _entry(self, entry: io.Endpoint, address: tuple[str, int]) -> None:
        held = self.upstreams.get(entry.server)
        if entry.state != "ready":
            if held is not None:
                held.retire()
            return
        if held is None or not held.ready or held.address != address or held.started_ms != entry.started_ms:
            if held is not None:
                held.retire()
            self.upstreams[entry.server] = Upstream(self, entry.server, address, entry.started_ms)

    def sweep(self) -> None:
        """Connections that stood idle for long, upstreams that are gone, answers that have stopped."""
        now = self.now()
        before = now - MAX_IDLE_SHARE * self.idle_ms / 1000.0
        for upstream in list(self.resting):
            upstream.expire(before)
            if not upstream.idle:
                del self.resting[upstream]
        for upstream in list(self.retired):
            self._forget(upstream)
        for attempt in list(self.streams):
            if now - attempt.last_progress > STREAM_STALL_S and not attempt.call.write_blocked():
                attempt.fail("reset")

    def _forget(self, upstream: Upstream) -> None:
        """A retired upstream, if another life has followed it or the list no longer names it."""
        current = self.upstreams.get(upstream.name) is upstream
        if current and upstream.name in self.engine.balancer.servers:
            return
        del self.retired[upstream]
        if current:
            del self.upstreams[upstream.name]
            self.opened.pop(upstream.name, None)


class Upstream:
    """One life of an upstream at one address; a restart or a new address makes another."""

    __slots__ = ("pool", "name", "address", "started_ms", "ready", "idle")

    def __init__(self, pool: HttpBackend, name: str, address: tuple[str, int], started_ms: float) -> None:
        self.pool = pool
        self.name = name
        self.address = address
        self.started_ms = started_ms
        self.ready = True
        self.idle: deque[Connection] = deque()  # newest last; reuse is last in, first out

    def retire(self) -> None:
        """Nothing new goes here: it drains, is gone, or has been followed by another life."""
        self.ready = False
        self.pool.retired[self] = None
        while self.idle:
            self.idle.pop().close()

    def take(self) -> Connection | None:
        """The newest that has rested: what comes late behind an answer would be taken for the next one's.

        What was turned away or failed needs no rest: a flood of it would open a connection for each request.
        """
        before = self.pool.now() - MIN_IDLE_S
        for connection in [c for c in reversed(self.idle) if c.status != 200 or c.idle_since <= before]:
            self.idle.remove(connection)
            if connection.stands():
                return connection
            connection.close()
        return None

    def put(self, connection: Connection) -> None:
        if not self.ready:
            return connection.close()
        connection.idle_since = self.pool.now()
        self.idle.append(connection)
        self.pool.resting[self] = None

    def drop(self, connection: Connection) -> None:
        """An idle connection that an upstream has ended."""
        try:
            self.idle.remove(connection)
        except ValueError:
            return
        connection.close()

    def expire(self, before: float) -> None:
        while self.idle and self.idle[0].idle_since < before:
            self.idle.popleft().close()


class Connection(asyncio.Protocol):
    """A connection that carries one attempt at a time."""

    __slots__ = (
        "upstream",
        "sock",
        "transport",
        "attempt",
        "parser",
        "idle_since",
        "flushed",
        "reused",
        "status",
        "fields",
        "report",
        "unprocessed",
        "length",
        "chunked",
        "head_bytes",
        "complete",
        "broken",
    )
    transport: asyncio.Transport
    parser: Any

    def __init__(self, upstream: Upstream, sock: socket.socket) -> None:
        self.upstream = upstream
        self.sock = sock
        self.attempt: Attempt | None = None
        self.parser = None
        self.status = 0  # of the last answer; none has come yet
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

    def begin(self, attempt: Attempt) -> None:
        """The connection carries this attempt from now; nothing is written yet."""
        self.attempt = attempt
        # A parser for each answer: nothing of an earlier one is carried over.
        self.parser = httptools.HttpResponseParser(self)
        self.status = self.head_bytes = 0
        self.fields: list[bytes] = []
        self.report: tuple[float, ...] = ()
        self.unprocessed = self.chunked = self.complete = self.broken = False
        self.length: int | None = None

    def send(self, head: bytes, body: bytes | bytearray) -> None:
        """Write the request, and see whether the system has taken all of it."""
        if not body:
            self.transport.write(head)
        elif len(body) <= MAX_JOINED_BYTES:
            self.transport.write(head + body)
        else:
            self.transport.writelines((head, body))
        self.flushed = not self.transport.is_closing() and not self.transport.get_write_buffer_size()
        if self.flushed:
            self.upstream.pool.engine.figures.attempts += 1

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self.upstream.pool.connections.add(self)

    def resume_writing(self) -> None:
        if not self.flushed and self.attempt is not None:
            self.upstream.pool.engine.figures.attempts += 1
        self.flushed = True

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:
            self.upstream.drop(self)
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
        if self.status == 200 and not self.flushed:
            # Nobody has the whole request yet: what comes is no answer to it, or to half of it.
            return attempt.fail("reset")
        if self.complete:
            return attempt.finish()
        if not self.status:
            self.head_bytes += size
        if self.broken or self.head_bytes > MAX_HEAD_BYTES:
            return attempt.fail("reset")
        attempt.progress()

    def eof_received(self) -> None:
        self._ended(clean=True)

    def connection_lost(self, error: Exception | None) -> None:
        self.upstream.pool.connections.discard(self)
        self._ended(clean=error is None)
        self.parser = None

    def _ended(self, clean: bool) -> None:
        """An answer of no stated length ends with its connection, but a break is not its end."""
        attempt = self.attempt
        if attempt is None:
            return self.upstream.drop(self)
        until_close = (
            self.status and self.flushed and self.length is None and not self.chunked and not self.broken
        )
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
        if key not in NOT_FORWARDED:
            self.fields.append(b"%b: %b\r\n" % (name, value))
        elif key == b"content-length":
            self.length = int(value)
        elif key == b"transfer-encoding":
            self.chunked = True
        elif key == b"x-backend-load":
            self.report = read_report(value, self.upstream.pool.report_names)
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
        if self.head_bytes > MAX_HEAD_BYTES:
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


class Attempt(engine.Attempt):
    """One try of one request at one upstream, on one connection."""

    __slots__ = (
        "pool",
        "upstream",
        "finish_by",
        "timer",
        "connecting",
        "connection",
        "chunks",
        "size",
        "last_progress",
    )
    call: HttpCall

    def __init__(
        self,
        pool: HttpBackend,
        call: HttpCall,
        number: int,
        upstream: Upstream,
        sent: float,
        due: float,
        finish: float,
    ) -> None:
        super().__init__(call, number, upstream.name, sent, due)
        self.pool = pool
        self.upstream = upstream
        self.finish_by = finish
        self.timer: Handle | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.connection: Connection | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.last_progress = sent

    def start(self) -> None:
        if self.due - self.pool.now() < TIMER_RESOLUTION_S:  # nothing is written in no time
            self.pool.clock.call_soon(self.fail, "moot")
            return
        self._arm()
        connection = self.upstream.take()
        if connection is not None:
            connection.reused = True
            self._write(connection)
        elif self.pool.may_connect():
            self.connecting = self.pool.loop.create_task(self._connect())
        else:
            self.pool.clock.call_soon(self.fail, "moot")

    def _arm(self) -> None:
        self.timer = self.pool.clock.call_later(self.due - self.pool.now(), self._timed_out)

    async def _connect(self) -> None:
        loop = self.pool.loop
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:  # no descriptor or memory is left, which is no fault of the upstream's
            self.connecting = None
            return self.fail("moot")
        connection = Connection(self.upstream, sock)
        self.pool.pending_connects += 1
        self.pool.opened[self.upstream.name] += 1
        handed = False  # to the loop, which closes it from then on
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.pool.connect_ms / 1000.0):
                await loop.sock_connect(sock, self.upstream.address)
            handed = True
            await loop.create_connection(lambda: connection, sock=sock)
        except BaseException as error:
            # The loop ends the transport of a call that is cancelled, and its protocol hears nothing of it.
            self.pool.connections.discard(connection)
            if handed:
                sock.detach()
            else:
                sock.close()
            if not isinstance(error, OSError | TimeoutError):
                raise
            self.connecting = None
            return self.fail("moot" if is_local_to_connect(error) else "connect_failed")
        finally:
            self.pool.pending_connects -= 1
        self.connecting = None
        if self.over:
            return self.upstream.put(connection)
        if not self.upstream.ready or not self.pool.engine.stands(self):
            self.upstream.put(connection)
            return self.fail("moot")
        self._write(connection)

    def _write(self, connection: Connection) -> None:
        self.connection = connection
        connection.begin(self)
        now = self.pool.now()  # read where the bytes leave: what is told is true then
        if self.due - now < TIMER_RESOLUTION_S:
            self._give_back(connection)
            return self.fail("moot")
        told = self._time_to_tell(now)
        head = self.call.upstream_head(told)
        # Asked behind the last reading of the clock: the loop may have been held up since the client left.
        if not self.call.client_connected():
            self._give_back(connection)
            return self.pool.engine.gone(cast("engine.Call", self.call))
        self.written = now
        connection.send(head, self.call.body)
        if not connection.flushed:
            last_byte_within = min(self.pool.engine.stands_for(self), self.call.deadline - told - now)
            self.pool.clock.call_later(last_byte_within, self._unwritten)

    def _give_back(self, connection: Connection) -> None:
        """Nothing was written to it."""
        connection.attempt = self.connection = None
        self.upstream.put(connection)

    def _time_to_tell(self, now: float) -> float:
        """Seconds, for the upstream: at most what its client has left once the last byte has gone out.

        The system may take the bytes more slowly than they come, so that the last leaves well after this
        moment. Time is set aside for that, and `_unwritten` ends what takes longer.
        """
        left = self.call.deadline - now
        long = len(self.call.body) > MAX_JOINED_BYTES
        reserve = LONG_SEND_ALLOWANCE_SHARE * left if long else min(SEND_ALLOWANCE_S, left / 2)
        return min(self.due - now, left - reserve)

    def _unwritten(self) -> None:
        """Its last byte has not left, and may not any more: the upstream never has the whole request."""
        if not self.over and self.connection is not None and not self.connection.flushed:
            self.fail("connect_failed")

    def _timed_out(self) -> None:
        self.timer = None
        if self.pool.now() < self.due - TIMER_RESOLUTION_S:
            return self._arm()
        connection = self.connection
        unsized = connection is not None and connection.status == 200 and connection.length is None
        if (
            connection is not None
            and unsized
            and self.size
            and self.pool.now() - self.last_progress < MAX_BODY_PAUSE_S
        ):
            return self._stream(connection)
        self.fail("timeout" if self.connection is not None else "connect_failed")

    # ---- the answer

    def body(self, data: bytes) -> None:
        if self.streaming:
            self.call.write(data)
            return
        self.chunks.append(data)
        self.size += len(data)
        self.call.charge(len(data))

    def progress(self) -> None:
        """More of the answer has come: begin to stream one that is long."""
        self.last_progress = self.pool.now()
        connection = self.connection
        # An answer that has begun is nearly there: to give it up would waste the work done. But one that
        # stops half way seldom goes on, so what can be sent again is, well before patience would end.
        if self.timer is not None and self.due < self.finish_by:
            self.timer.cancel()
            self.due = min(self.finish_by - TIMER_RESOLUTION_S, self.last_progress + MAX_BODY_PAUSE_S)
            self._arm()
        if self.streaming or connection is None or connection.status != 200:
            if self.size > MAX_BUFFERED_BYTES and not self.streaming:
                self.fail("error")  # nobody reads the body of a long answer that is not served
            return
        long = self.size > MAX_BUFFERED_BYTES or (connection.length or 0) > MAX_BUFFERED_BYTES
        if self.call.streams or long or self.pool.budget.full():
            self._stream(connection)

    def _stream(self, connection: Connection) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.pool.streams.add(self)
        self.pool.engine.started(self)
        if not self.call.streams:  # only streamed classes have no deadline once their answer has begun
            left = self.call.deadline + STREAM_OVERTIME_S - self.pool.now()
            self.timer = self.pool.clock.call_later(left, self._overlong)
        self.call.begin(connection.fields, connection.length)
        chunks, self.chunks = self.chunks, []
        self.call.release()
        for data in chunks:
            self.call.write(data)

    def _overlong(self) -> None:
        """It goes on past its request's time, and may never end: its client is shown that it is not whole."""
        self.timer = None
        self.fail("cancelled" if self.call.write_blocked() else "timeout")

    def pause(self, paused: bool) -> None:
        self.last_progress = self.pool.now()
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
        self._tell(code, connection)

    def fail(self, code: str) -> None:
        """The attempt ends without a whole answer."""
        if self.over:
            return
        connection = self.connection
        self._detach(keep=False)
        self._tell(code, connection)

    def _tell(self, code: str, connection: Connection | None) -> None:
        self.pool.streams.discard(self)
        core = self.pool.engine
        if connection is None:
            return core.ended(self, code)
        if code == "ok":
            return core.ended(self, code, CompleteResponse(connection.fields, self.chunks), connection.report)
        stage = "in its answer" if connection.head_bytes else "unanswered"
        report = connection.report if connection.status else ()
        faulted = code == "error" and connection.faults_request()
        core.ended(self, code, None, report, faulted, stage)

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
