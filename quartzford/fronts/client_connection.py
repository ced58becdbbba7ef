"""A client's connection: one request at a time is answered on it, later ones wait their turn."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, cast

from quartzford.decision import interface as io
from quartzford.fronts import responses
from quartzford.fronts.client_owner import ClientOwner
from quartzford.fronts.exchange import Exchange, PausableAttempt
from quartzford.fronts.request_intake import new_exchange, new_request
from quartzford.fronts.request_reader import SERVICE_CLASS, RequestReader
from quartzford.fronts.response_writer import begin_streamed_response, body_piece, complete_response
from quartzford.protocols.lingering import LingeringClose

MAX_PIPELINED = 16
WRITE_HIGH_WATER_BYTES = 16 * 1024
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 s


class PipelinedRequest(NamedTuple):
    """A complete request that waits behind another one; request: None for a health check."""

    exchange: Exchange
    request: io.Request | None


class Client(asyncio.Protocol):
    """One client connection.

    exchange: the request that is being served. pipelined_requests: complete requests behind it. held: the
    exchange whose response has been written, while the system has not taken it. closing: nothing that comes
    is acted on any more. On the engine's clock, seconds: message_started, when the first byte of the last
    request came; last_progress, when a byte was read or written last; paused_at, since when a body is not
    read for want of memory, 0 if it is.
    """

    __slots__ = (
        "front",
        "transport",
        "reader",
        "exchange",
        "pipelined_requests",
        "message_started",
        "last_progress",
        "write_blocked",
        "unsent_bytes",
        "held",
        "closing",
        "lingering",
        "paused_at",
    )
    transport: asyncio.Transport

    def __init__(self, front: ClientOwner[Client]) -> None:
        self.front = front
        self.reader = RequestReader(self)
        self.exchange: Exchange | None = None
        self.pipelined_requests: deque[PipelinedRequest] = deque()
        self.message_started = front.now()
        self.last_progress = self.message_started
        self.write_blocked = False  # the client reads more slowly than its response comes
        self.unsent_bytes = 0
        self.held: Exchange | None = None
        self.closing = False
        self.lingering: LingeringClose | None = None
        self.paused_at = 0.0

    # ---- state

    @property
    def in_message(self) -> bool:
        """A request has begun that is not complete."""
        return self.reader.in_message

    @property
    def error(self) -> int:
        """The status that answers what was read and is no request; 0 if there is none."""
        return self.reader.error

    def idle(self) -> bool:
        """No request is being read or served, and the last response has been taken."""
        return self.exchange is None and not self.in_message and not self.closing and self.held is None

    def lingers(self) -> bool:
        """The last response has been written."""
        return self.lingering is not None

    def has_partial_request(self) -> bool:
        """A part of a request has been read, and not answered."""
        return self.in_message and self.exchange is None and not self.closing

    def has_nothing_pending(self) -> bool:
        """No response is due here, and none is on its way out."""
        if self.exchange is not None or self.pipelined_requests or self.held is not None:
            return False
        return not self.transport.is_closing() and not self.transport.get_write_buffer_size()

    def is_transferable(self) -> bool:
        """Nothing of a request has been read and nothing of a response is left: another process may go on."""
        return (
            self.idle()
            and not self.pipelined_requests
            and not self.write_blocked
            and not self.error
            and not self.transport.is_closing()
            and not self.transport.get_write_buffer_size()
        )

    def connected(self) -> bool:
        """Whether neither a FIN nor a reset has come, also one behind bytes that were not read yet."""
        if self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._descriptor(), HANGUP_EVENTS)
        return not poll.poll(0)

    def _descriptor(self) -> int:
        descriptor: int = self.transport.get_extra_info("socket").fileno()
        return descriptor

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self.front.client_opened(self)

    def data_received(self, data: bytes) -> None:
        """Read on in the request."""
        if self.closing:
            if self.lingering is not None:
                self.lingering.received(len(data))
            return
        self.last_progress = self.front.now()
        if not self.in_message:
            self.message_started = self.last_progress
            self.reader.begin_message()
        self.reader.feed(data)
        if self.error and self.exchange is None and not self.pipelined_requests:
            self.reject(self.error)

    def eof_received(self) -> None:
        """The client has ended its side, which withdraws its requests."""
        self._disconnected()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended, on either side."""
        self.front.client_closed(self)
        self._disconnected()
        self.reader.release()
        self.closing = True
        self.write_blocked = False
        self._release_held()

    def _disconnected(self) -> None:
        self._forget_waiting()
        self._drop_body()
        exchange = self.exchange
        self.exchange = None
        if exchange is not None:
            self.front.engine.client_disconnected(exchange)

    def pause_writing(self) -> None:
        """The client reads more slowly than its response comes: the upstream is read no faster."""
        self.write_blocked = True
        self.last_progress = self.front.now()
        attempt = self._streaming_attempt()
        if attempt is not None:
            attempt.pause()

    def resume_writing(self) -> None:
        """The client has caught up."""
        self.write_blocked = False
        self._release_held()
        attempt = self._streaming_attempt()
        if attempt is not None:
            attempt.resume()

    def _streaming_attempt(self) -> PausableAttempt | None:
        return self.exchange.streaming_attempt() if self.exchange is not None else None

    # ---- requests, as they are read

    def head_expects_continue(self) -> None:
        """Have the body sent, unless another response comes first."""
        if self.exchange is None:
            self.transport.write(responses.CONTINUE)

    def upgrade_requested(self) -> None:
        """Answer the plain request that it also is, as the last one of the connection."""
        if self.exchange is None:
            self.reader.fail(responses.BAD_REQUEST)
        else:
            self.exchange.keep_alive = False

    def body_received(self, size: int) -> None:
        """Charge a piece of a body; read no more where memory is short."""
        self.front.budget.used += size
        if self.front.budget.is_exhausted():
            self.paused_at = self.paused_at or self.front.now()
            self.front.pause_reading(self)

    def resume_body(self) -> None:
        """Read a body again: there is memory for it."""
        self.paused_at = 0.0
        self.front.resume_reading(self)

    def body_refused(self) -> None:
        """Give back what is held of a body that is too long."""
        self._drop_body()

    def _drop_body(self) -> None:
        self.front.budget.used -= self.reader.drop_body()
        self.paused_at = 0.0

    def request_completed(self) -> None:
        """Serve the request, or let it wait for its turn."""
        front = self.front
        exchange = new_exchange(self.reader, self, front.backend, front.budget)
        self.paused_at = 0.0
        request = None
        if not self.reader.is_health_check:
            request = new_request(self.reader, exchange, front.engine, front.now())
        if self.exchange is not None or self.pipelined_requests:
            self.pipelined_requests.append(PipelinedRequest(exchange, request))
            if len(self.pipelined_requests) >= MAX_PIPELINED:
                self.front.pause_reading(self)
        else:
            self._serve(exchange, request)

    def _serve(self, exchange: Exchange, request: io.Request | None) -> None:
        self.exchange = exchange
        self.front.client_used(self)
        if request is None:
            status = responses.OK if self.front.ready() else responses.UNAVAILABLE
            return self.answer(exchange, status)
        self.front.engine.request_arrived(exchange, request, exchange.charged)

    def _serve_next(self) -> None:
        """Serve the first of the requests that wait; their time has run meanwhile."""
        exchange, request = self.pipelined_requests.popleft()
        if not self.pipelined_requests:
            self.front.resume_reading(self)
        if request is not None:
            left_s = max(0.0, exchange.deadline - self.last_progress)
            request = request._replace(budget_ms=left_s * 1000.0)
        self._serve(exchange, request)

    def _forget_waiting(self) -> None:
        """Pipelined requests that will not be served give their bytes back."""
        for pipelined in self.pipelined_requests:
            pipelined.exchange.release()
        self.pipelined_requests.clear()

    # ---- responses

    def answer(
        self,
        exchange: Exchange,
        status: int,
        pause_ms: float = 0.0,
        fields: list[bytes] | None = None,
        chunks: list[bytes] | None = None,
    ) -> None:
        """Write a complete response; pause_ms: of its Retry-After, none if 0."""
        if self.exchange is not exchange:
            return exchange.release()
        exchange.body = b""
        self._decide_keep_alive(exchange)
        self.transport.write(complete_response(exchange, status, pause_ms, fields or [], chunks or []))
        self._answered(exchange)

    def begin(self, exchange: Exchange, fields: list[bytes], length: int | None) -> None:
        """Write the head of a streamed response; length: of its body in bytes, None where not stated."""
        exchange.body = b""
        self._decide_keep_alive(exchange)
        head = begin_streamed_response(exchange, fields, length)
        # Also where the head of the next request has begun, whose framing this then stands for.
        self.reader.chunked = exchange.chunked_response
        self.transport.write(head)

    def write(self, data: bytes) -> None:
        """Write a piece of a streamed response's body."""
        exchange = self.exchange
        if exchange is None or not data:
            return
        self.last_progress = self.front.now()
        self.transport.write(body_piece(exchange, data))

    def end(self, exchange: Exchange, complete: bool) -> None:
        """End a streamed response; one that is incomplete ends so that the client can tell."""
        if self.exchange is not exchange:
            return exchange.release()
        if not complete:
            if exchange.response_ends_with_close:  # a close would look like its end: a reset does not
                sock = self.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return self.transport.abort()
        if exchange.chunked_response:
            self.transport.write(responses.LAST_CHUNK)
        self._answered(exchange)

    def reject(self, status: int) -> None:
        """Answer what is no request, and close: nothing is forwarded."""
        if self.closing or self.transport.is_closing():
            return
        self._drop_body()
        self.front.engine.request_counters.count_rejection(status, self.reader.value(SERVICE_CLASS))
        self.transport.write(responses.rejection(status))
        self._end_sending()

    def _decide_keep_alive(self, exchange: Exchange) -> None:
        exchange.keep_alive = exchange.keep_alive and (self._more_was_read() or not self.front.draining)

    def _more_was_read(self) -> bool:
        """Whether anything was read behind the request that is answered now: it gets an answer of its own."""
        return bool(self.pipelined_requests) or self.in_message or bool(self.error)

    def _answered(self, exchange: Exchange) -> None:
        """The last byte of a response has been written: go on with what follows on this connection."""
        self.exchange = None
        self.last_progress = self.front.now()
        self._release_held()
        if self.write_blocked:
            self.held = exchange
        else:
            exchange.release()
        if not exchange.keep_alive:
            self._forget_waiting()
            self._end_sending()
        elif self.pipelined_requests:
            self._serve_next()
        elif self.error:
            self.reject(self.error)
        elif self.front.transfer_to_successor is not None:
            self.front.clock.call_soon(self.front.offer, self)  # once the response is written

    def _release_held(self) -> None:
        if self.held is not None:
            self.held.release()
            self.held = None

    def _end_sending(self) -> None:
        """Close this side once what is written has gone, and read on for a moment."""
        if self.transport.is_closing():
            return
        self.closing = True
        self.front.resume_reading(self)
        self.lingering = LingeringClose(self.transport, self.front.now())

    # ---- the end, by the front

    def end_if_disconnected(self) -> None:
        """End what a client that is not read has left behind."""
        if not self.connected():
            self._disconnected()
            self.transport.abort()

    def hand_over(self, successor: Callable[[int], bool]) -> None:
        """Give the connection to another process, which takes the descriptor or refuses it."""
        self.transport.pause_reading()
        if successor(self._descriptor()):
            self.closing = True
            self.transport.abort()  # this process's end only: the connection goes on
        else:
            self.transport.resume_reading()

    def close_if_idle(self) -> None:
        """Close the connection if nothing is lost with it."""
        if self.idle():
            self.closing = True
            self.transport.close()

    def reject_unfinished(self) -> None:
        """Answer a request that is not complete; read no other one."""
        if self.closing or self.exchange is not None:
            return
        if self.in_message:
            self.reject(responses.UNAVAILABLE)
        else:
            self._end_sending()
