"""Client connections: parsing requests, writing answers."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol, cast

import httptools

from quartzford.decision import interface as io
from quartzford.engine import Backend, Budget, Clock, Engine, PendingRequest
from quartzford.fronts.listener import Listener, bind, open_connection
from quartzford.protocols.lingering import LingeringClose
from quartzford.settings.header_values import read_cookie, read_number, read_time_left

MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024
IDLE_TIMEOUT_S = (
    2.25  # a client that is silent for longer, also since it connected, gives its descriptor back
)
HEAD_TIMEOUT_S = 2.0  # a client that sends half a request is owed an error within 3 s
BODY_STALL_S = 2.0  # this long with no byte of a body is a stall
REQUEST_TIMEOUT_S = 5.0  # a whole request takes no longer, however slowly its bytes drip in
WRITE_STALL_S = 20.0  # a client that takes no byte of its answer for this long is given up
MAX_PAUSE_S = 1.0
DISCONNECT_CHECK_INTERVAL_S = 0.04  # how often it is looked whether those that are not read have gone
MAX_PIPELINED = 16
MAX_LINGERING = 16  # connections beyond the bound, while those that make room for them take their answers
WRITE_HIGH_WATER_BYTES = 16 * 1024
BACKLOG = 2048
HEALTH_PATH = b"/_health"

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}
# Fields that are hop-by-hop, or that this balancer frames or counts anew for each attempt
NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect content-length"
    b" x-time-left".split()
)
READ_FIELDS = {
    b"host": "host",
    b"x-correlation-id": "id",
    b"x-service-class": "name",
    b"x-account": "tenant",
    b"x-time-left": "left",
    b"x-repeat": "repeat",
    b"x-weight-hint": "hint",
    b"idempotency-key": "keyed",
    b"cookie": "cookie",
    b"connection": "connection",
    b"transfer-encoding": "framing",
    b"expect": "expect",
    b"content-length": "length",
}
SINGLE_FIELDS = ("host", "id")
ALWAYS_FORWARDED = frozenset((b"host", b"x-correlation-id", b"idempotency-key"))  # whatever Connection names
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CompleteResponse(Protocol):
    """A backend's whole answer."""

    @property
    def fields(self) -> list[bytes]: ...

    @property
    def chunks(self) -> list[bytes]: ...


class Pausable(Protocol):
    """An attempt whose answer is passed on as it comes."""

    def pause(self) -> None:
        """Stop reading the answer."""

    def resume(self) -> None:
        """Read it again."""


class HttpFront:
    """The listener, its client connections, and the bound on them."""

    def __init__(
        self, engine: Engine, backend: Backend, budget: Budget, clock: Clock, ready: Callable[[], bool]
    ) -> None:
        self.engine, self.backend, self.budget, self.ready = engine, backend, budget, ready
        self.clock, self.now = clock, clock.now
        self.clients: dict[Client, None] = {}
        self.max_clients = 16
        self.draining = False  # no connection is kept after its answer
        self.rejecting = False  # the process exits: nothing more is read as a request
        self.listener: Listener | None = None  # stays open while nobody accepts: its queue is kept
        self.transfer_to_successor: Callable[[int], bool] | None = None  # takes the connections that rest
        self.unread: dict[Client, None] = {}  # whose bytes are left with the system for now

    def listen(
        self,
        address: tuple[str, int],
        loop: asyncio.AbstractEventLoop,
        shared: bool = False,
        listening: socket.socket | None = None,
    ) -> None:
        """shared: a successor may listen there too, while this process ends. listening: one that stands."""
        self.loop = loop
        listening = listening or bind(address, BACKLOG, shared)
        self.listener = Listener([listening], lambda: Client(self), self.clock, loop)
        self.listener.start()

    @property
    def accepting(self) -> bool:
        """New connections are taken."""
        return self.listener is not None and self.listener.accepting

    def empty(self) -> bool:
        """No client is connected, and none has been accepted that is about to be."""
        return not self.clients and (self.listener is None or not self.listener.opening)

    def resume(self) -> None:
        """Take connections again."""
        if self.listener is not None and not self.listener.closed:
            self.listener.start()

    def stop_accepting(self) -> socket.socket | None:
        """Connections wait in the listener's queue, for whoever accepts there next."""
        if self.listener is None or self.listener.closed:
            return None
        self.listener.stop()
        return self.listener.sockets[0]

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()

    async def adopt(self, sock: socket.socket) -> None:
        """An idle connection, from the predecessor."""
        await open_connection(self.loop, lambda: Client(self), sock)

    def offer_all(self) -> None:
        for client in list(self.clients):
            self.offer(client)

    def offer(self, client: Client) -> None:
        """Hand a connection over, if nothing of a request or an answer is on its way."""
        if self.transfer_to_successor is not None and client.is_transferable():
            client.hand_over(self.transfer_to_successor)

    def waiting(self) -> int:
        """Requests that have come whole behind others of their connection."""
        return sum(len(client.waiting) for client in self.clients)

    def pause_reading(self, client: Client) -> None:
        """Its bytes are not read for now, and so the loop doesn't tell when it goes."""
        client.transport.pause_reading()
        if not self.unread:
            self.clock.call_later(DISCONNECT_CHECK_INTERVAL_S, self._look)
        self.unread[client] = None

    def resume_reading(self, client: Client) -> None:
        if client in self.unread:
            del self.unread[client]
            client.transport.resume_reading()

    def _look(self) -> None:
        for client in list(self.unread):
            client.look()
        if self.unread:
            self.clock.call_later(DISCONNECT_CHECK_INTERVAL_S, self._look)

    def close_idle(self) -> None:
        for client in list(self.clients):
            client.close_if_idle()

    def reject_unfinished(self) -> None:
        """Nothing more is read as a request; who has sent a part of one is told so."""
        self.rejecting = True
        for client in list(self.clients):
            client.reject_unfinished()

    def sweep(self) -> None:
        now = self.now()
        for client in list(self.clients):
            client.check(now)


class Exchange(PendingRequest):
    """A client's request, from its last byte to its final answer."""

    __slots__ = (
        "client",
        "line",
        "fields",
        "body",
        "keep",
        "old",
        "bodiless",
        "streams",
        "charged",
        "lengthless",
    )

    def __init__(self, client: Client, line: bytes, fields: bytes, body: bytes | bytearray) -> None:
        super().__init__(client.front.backend)
        self.client = client
        self.line = line
        self.fields = fields
        self.body = body
        self.keep = self.old = self.bodiless = self.streams = self.lengthless = False
        self.charged = 0

    # ---- what the engine tells

    def served(self, answer: CompleteResponse) -> None:
        self.client.answer(self, 200, 0.0, answer.fields, answer.chunks)

    def refused(self, pause_ms: float, over_quota: bool) -> None:
        self.client.answer(self, 503, pause_ms)

    def failed(self) -> None:
        self.client.answer(self, 502)

    def aborted(self) -> None:
        self.client.answer(self, 500)

    def streamed(self, complete: bool) -> None:
        self.client.end(self, complete)

    def client_disconnected(self) -> None:
        self.release()

    def attempt_discarded(self) -> None:
        self.charge(len(self.body) - self.charged)

    # ---- what an HTTP backend asks

    def charge(self, size: int) -> None:
        self.client.front.budget.used += size
        self.charged += size

    def release(self) -> None:
        self.client.front.budget.used -= self.charged
        self.charged = 0

    def begin(self, fields: list[bytes], length: int | None) -> None:
        self.client.begin(self, fields, length)

    def write(self, data: bytes) -> None:
        self.client.write(data)

    def write_blocked(self) -> bool:
        return self.client.write_blocked

    def client_connected(self) -> bool:
        return self.client.connected()

    def upstream_head(self, left: float) -> bytes:
        wait = max(0, int(left * 1_000_000))
        framing = b"" if self.lengthless else b"Content-Length: %d\r\n" % len(self.body)
        return b"%b%bX-Time-Left: %du\r\n%b\r\n" % (self.line, self.fields, wait, framing)


class Client(asyncio.Protocol):
    """One client connection; it carries one request at a time, later ones wait their turn."""

    __slots__ = (
        "front",
        "transport",
        "parser",
        "exchange",
        "waiting",
        "target",
        "fields",
        "read",
        "head_bytes",
        "body",
        "body_bytes",
        "in_head",
        "in_message",
        "error",
        "message_started",
        "last_progress",
        "write_blocked",
        "backlog",
        "held",
        "closing",
        "lingering",
        "chunked",
        "paused_at",
    )
    transport: asyncio.Transport

    def __init__(self, front: HttpFront) -> None:
        self.front = front
        self.parser: Any = httptools.HttpRequestParser(self)
        self.exchange: Exchange | None = None
        self.waiting: deque[tuple[Exchange, io.Request | None]] = deque()
        self.in_head = self.in_message = False
        self.error = 0
        self.message_started = self.last_progress = front.now()
        self.write_blocked = False  # the client reads more slowly than its answer comes
        self.backlog = 0
        self.held: Exchange | None = None
        self.closing = False  # nothing that comes is acted on any more
        self.lingering: LingeringClose | None = None
        self.chunked = False
        self.paused_at = 0.0
        self.head_bytes = self.body_bytes = 0
        self.body: bytes | bytearray = b""

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        clients = self.front.clients
        clients[self] = None
        if len(clients) > self.front.max_clients:
            self._make_room()

    def _make_room(self) -> None:
        """End what nothing is lost with, else answer half a request, else close this connection unread."""
        clients, most = self.front.clients, self.front.max_clients
        while len(clients) > most:
            closable = self._another(Client.idle) or self._another(Client.lingers)
            if closable is None:
                break
            del clients[closable]
            closable.transport.abort()
        if len(clients) > most + MAX_LINGERING and self._another(Client.has_partial_request):
            self.transport.abort()
        elif len(clients) > most and (half := self._another(Client.has_partial_request)):
            half.reject(503)

    def _another(self, condition: Callable[[Client], bool]) -> Client | None:
        """The first of the other connections, longest unused first, on which no answer is owed."""
        clients = self.front.clients
        return next((c for c in clients if c is not self and condition(c) and c.has_nothing_pending()), None)

    def lingers(self) -> bool:
        """Its last answer has been written."""
        return self.lingering is not None

    def has_partial_request(self) -> bool:
        """Something of a request has been read that is not whole and not answered."""
        return self.in_message and self.exchange is None and not self.closing

    def has_nothing_pending(self) -> bool:
        """No answer is owed here, and none is on its way out."""
        if self.exchange is not None or self.waiting or self.held is not None:
            return False
        return not self.transport.is_closing() and not self.transport.get_write_buffer_size()

    def idle(self) -> bool:
        return self.exchange is None and not self.in_message and not self.closing and self.held is None

    def data_received(self, data: bytes) -> None:
        if self.closing:
            if self.lingering is not None:
                self.lingering.received(len(data))
            return
        self.last_progress = self.front.now()
        if not self.in_message:
            self.message_started = self.last_progress
            self.in_head = self.in_message = True
            self.head_bytes = 0
        if self.in_head:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.exchange is None:
                self.error = self.error or 400
            else:  # answered as the plain request that it also is
                self.exchange.keep = False
        except httptools.HttpParserError:
            self.error = self.error or 400
        if self.in_head and self.in_message and self.head_bytes > MAX_HEAD_BYTES:
            self.error = self.error or 431
        if self.error and self.exchange is None and not self.waiting:
            self.reject(self.error)

    def eof_received(self) -> None:
        self._left()

    def connection_lost(self, error: Exception | None) -> None:
        self.front.clients.pop(self, None)
        self.front.unread.pop(self, None)
        self._left()
        self.parser = None
        self.closing = True
        self.write_blocked = False
        self._unhold()

    def _left(self) -> None:
        self._forget_waiting()
        self._drop_body()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            self.front.engine.client_disconnected(exchange)

    def pause_writing(self) -> None:
        self.write_blocked = True
        self.last_progress = self.front.now()
        exchange = self.exchange
        if exchange is not None and exchange.attempt is not None and exchange.attempt.streaming:
            cast(Pausable, exchange.attempt).pause()

    def resume_writing(self) -> None:
        self.write_blocked = False
        self._unhold()
        exchange = self.exchange
        if exchange is not None and exchange.attempt is not None and exchange.attempt.streaming:
            cast(Pausable, exchange.attempt).resume()

    # ---- httptools

    def on_message_begin(self) -> None:
        self.in_head = self.in_message = True
        self.target = b""
        self.fields: list[tuple[bytes, bytes]] = []
        self.read: dict[str, str] = {}
        self.body, self.body_bytes = b"", 0
        self.chunked = False

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        wanted = READ_FIELDS.get(key)
        if wanted is not None:
            if wanted in SINGLE_FIELDS and wanted in self.read:
                self.error = self.error or 400  # the next reader may take the other one
            self.read[wanted] = value.decode("latin-1")
        if key not in NOT_FORWARDED:
            self.fields.append((name, value))

    def on_headers_complete(self) -> None:
        self.in_head = False
        read = self.read
        if self.parser.get_method() == b"CONNECT":
            self.error = self.error or 400
        if sum(len(n) + len(v) + 4 for n, v in self.fields) + len(self.target) > MAX_HEAD_BYTES:
            self.error = self.error or 431
        if "framing" in read:
            self.chunked = True
            if read["framing"].strip().lower() != "chunked" or "length" in read:
                self.error = self.error or 400  # two readers could frame this in two ways
        elif "length" in read and int(read["length"]) > MAX_BODY_BYTES:
            self.error = self.error or 413
        if not read.get("id", "").strip() and self.target.partition(b"?")[0] != HEALTH_PATH:
            self.error = self.error or 400  # no upstream has a use for it
        if "expect" in read and not self.error and self.exchange is None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        if self.error:
            return
        size = self.body_bytes + len(data)
        if size > MAX_BODY_BYTES:
            self.error = 413
            return self._drop_body()
        if not self.body_bytes:
            self.body = data
        else:
            if isinstance(self.body, bytes):
                self.body = bytearray(self.body)
            self.body += data
        self.body_bytes = size
        self.front.budget.used += len(data)
        if self.front.budget.full():
            self.paused_at = self.paused_at or self.front.now()
            self.front.pause_reading(self)

    def _drop_body(self) -> None:
        self.front.budget.used -= self.body_bytes
        self.body, self.body_bytes = b"", 0
        self.paused_at = 0.0

    def on_message_complete(self) -> None:
        self.in_message = False
        self.head_bytes = 0
        if self.error:
            return
        exchange, request = self._whole()
        if self.exchange is not None or self.waiting:
            self.waiting.append((exchange, request))
            if len(self.waiting) >= MAX_PIPELINED:
                self.front.pause_reading(self)
        else:
            self._take(exchange, request)

    # ---- requests

    def _whole(self) -> tuple[Exchange, io.Request | None]:
        """The request that has just come whole."""
        read, parser, engine = self.read, self.parser, self.front.engine
        method = parser.get_method()
        fields = self.fields
        named = read.get("connection", "")
        if "," in named or named.lower() not in ("", "close", "keep-alive"):
            hop = {part.strip().lower().encode("latin-1") for part in named.split(",")}
            hop -= ALWAYS_FORWARDED  # without these an upstream would run a repeat that it should drop
            fields = [(name, value) for name, value in fields if name.lower() not in hop]
        line = b"%b %b HTTP/1.1\r\n" % (method, self.target)
        exchange = Exchange(self, line, b"".join([b"%b: %b\r\n" % field for field in fields]), self.body)
        exchange.keep = parser.should_keep_alive()
        exchange.old = parser.get_http_version() == "1.0"
        exchange.bodiless = method == b"HEAD"
        exchange.lengthless = not self.body_bytes and "length" not in read and not self.chunked
        exchange.charged, self.body, self.body_bytes = self.body_bytes, b"", 0
        self.paused_at = 0.0
        if self.target.partition(b"?")[0] == HEALTH_PATH:
            return exchange, None
        name = read.get("name", "")
        kind = engine.classes.get(name)
        # No client waits longer than its class says, whatever it writes.
        most = kind.deadline_ms if kind is not None else engine.longest_ms
        told = read_time_left(read.get("left", "").strip())
        left = most if told is None else min(told, most)
        exchange.streams = kind is not None and kind.streaming
        exchange.deadline = self.front.now() + left / 1000.0
        exchange.number, exchange.label = engine.next_number(), read.get("id", "")
        request = io.Request(
            exchange.number,
            name,
            left,
            read.get("tenant", ""),
            read_cookie(read.get("cookie", ""), "sid"),
            read_number(read.get("hint", "")) / 1000.0,
            read.get("repeat", "").strip() == "1",
            bool(read.get("keyed", "").strip()),
        )
        return exchange, request

    def _take(self, exchange: Exchange, request: io.Request | None) -> None:
        self.exchange = exchange
        self.front.clients.pop(self, None)
        self.front.clients[self] = None
        if request is None:
            return self.answer(exchange, 200 if self.front.ready() else 503)
        self.front.engine.request_arrived(exchange, request, exchange.charged)

    # ---- answers

    def _head(self, exchange: Exchange, status: int, fields: list[bytes], framing: bytes) -> bytes:
        exchange.keep = exchange.keep and (self._more_was_read() or not self.front.draining)
        if not exchange.keep:
            framing += b"Connection: close\r\n"
        elif exchange.old:
            framing += b"Connection: keep-alive\r\n"
        return b"HTTP/1.1 %d %b\r\n%b%b\r\n" % (status, REASONS[status], b"".join(fields), framing)

    def _more_was_read(self) -> bool:
        """Whether anything was read behind the request that is answered now: it is owed its own answer."""
        return bool(self.waiting) or self.in_message or bool(self.error)

    def answer(
        self,
        exchange: Exchange,
        status: int,
        pause_ms: float = 0.0,
        fields: list[bytes] | None = None,
        chunks: list[bytes] | None = None,
    ) -> None:
        if self.exchange is not exchange:
            return exchange.release()
        body = b"".join(chunks or ())
        framing = b"Content-Length: %d\r\n" % len(body)
        if pause_ms > 0:
            framing += b"Retry-After: %.3f\r\n" % (pause_ms / 1000.0)
        exchange.body = b""
        self.transport.write(self._head(exchange, status, fields or [], framing) + body)
        self._next(exchange)

    def begin(self, exchange: Exchange, fields: list[bytes], length: int | None) -> None:
        """Write the head of an answer that is streamed."""
        exchange.body = b""
        if length is not None:
            framing, self.chunked = b"Content-Length: %d\r\n" % length, False
        elif exchange.old:
            framing, self.chunked, exchange.keep = b"", False, False
        else:
            framing, self.chunked = b"Transfer-Encoding: chunked\r\n", True
        exchange.streams = self.chunked
        exchange.lengthless = length is None and exchange.old
        self.transport.write(self._head(exchange, 200, fields, framing))

    def write(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None or not data:
            return
        self.last_progress = self.front.now()
        if exchange.streams:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.transport.write(data)

    def end(self, exchange: Exchange, complete: bool) -> None:
        """The end of a streamed answer; one that is not whole ends so that the client can tell."""
        if self.exchange is not exchange:
            return exchange.release()
        if not complete:
            if exchange.lengthless:  # its close would look like the end: a reset does not
                sock = self.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return self.transport.abort()
        if exchange.streams:
            self.transport.write(b"0\r\n\r\n")
        self._next(exchange)

    def _next(self, exchange: Exchange) -> None:
        self.exchange = None
        self.last_progress = self.front.now()
        self._unhold()
        if self.write_blocked:
            self.held = exchange
        else:
            exchange.release()
        if not exchange.keep:
            self._forget_waiting()
            self._end_sending()
        elif self.waiting:
            following, request = self.waiting.popleft()
            if not self.waiting:
                self.front.resume_reading(self)
            if request is not None:  # its time has run while it waited
                left = max(0.0, following.deadline - self.last_progress)
                request = request._replace(budget_ms=left * 1000.0)
            self._take(following, request)
        elif self.error:
            self.reject(self.error)
        elif self.front.transfer_to_successor is not None:
            self.front.clock.call_soon(self.front.offer, self)  # once its answer is written

    def _forget_waiting(self) -> None:
        """Pipelined requests that will not be taken give their bytes back."""
        for exchange, _ in self.waiting:
            exchange.release()
        self.waiting.clear()

    def _unhold(self) -> None:
        if self.held is not None:
            self.held.release()
            self.held = None

    def reject(self, status: int) -> None:
        """Answer what is no request, and close: no upstream hears of it."""
        if self.closing or self.transport.is_closing():
            return
        self._drop_body()
        self.front.engine.request_counters.turned_away(status, getattr(self, "read", {}).get("name", ""))
        text = REASONS[status]
        head = b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" % (status, text)
        self.transport.write(head)
        self._end_sending()

    def _end_sending(self) -> None:
        """Close this side once what is written has gone, and read on for a moment."""
        if self.transport.is_closing():
            return
        self.closing = True
        self.front.resume_reading(self)
        self.lingering = LingeringClose(self.transport, self.front.now())

    # ---- housekeeping

    def connected(self) -> bool:
        """Whether neither a FIN nor a reset has come, also one behind bytes that nobody has read yet."""
        if self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), HANGUP_EVENTS)
        return not poll.poll(0)

    def look(self) -> None:
        """End what a client that is not read has left behind."""
        if not self.connected():
            self._left()
            self.transport.abort()

    def is_transferable(self) -> bool:
        """Nothing of a request has been read and nothing of an answer is left: another process may go on."""
        return (
            self.idle()
            and not self.waiting
            and not self.write_blocked
            and not self.error
            and not self.transport.is_closing()
            and not self.transport.get_write_buffer_size()
        )

    def hand_over(self, transfer_to_successor: Callable[[int], bool]) -> None:
        self.transport.pause_reading()
        if transfer_to_successor(self.transport.get_extra_info("socket").fileno()):
            self.closing = True
            self.transport.abort()  # this process's end only: the connection stands
        else:
            self.transport.resume_reading()

    def close_if_idle(self) -> None:
        if self.idle():
            self.closing = True
            self.transport.close()

    def reject_unfinished(self) -> None:
        if self.closing or self.exchange is not None:
            return
        if self.in_message:
            self.reject(503)
        else:
            self._end_sending()

    def check(self, now: float) -> None:
        size = self.transport.get_write_buffer_size()
        if self.lingering is not None and self.lingering.expired(now):
            self.transport.abort()
        elif size and (self.closing or self.write_blocked):
            if size != self.backlog:
                self.backlog, self.last_progress = size, now
            elif now - self.last_progress > WRITE_STALL_S:
                self.transport.abort()
        elif self.closing:
            return
        elif self.exchange is None and self.in_message:
            stalled = (
                now - self.message_started > HEAD_TIMEOUT_S
                if self.in_head
                else now - self.last_progress > BODY_STALL_S
            )
            if stalled or now - self.message_started > REQUEST_TIMEOUT_S:
                self.reject(408)
            elif self.paused_at and not self.front.budget.full():
                self.paused_at = 0.0
                self.front.resume_reading(self)
            elif self.paused_at and now - self.paused_at > MAX_PAUSE_S:
                self.reject(503)
        elif now - self.last_progress > IDLE_TIMEOUT_S:
            self.close_if_idle()
