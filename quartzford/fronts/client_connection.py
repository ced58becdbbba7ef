"""A client's connection: serves one request at a time; pipelined requests wait until it is answered."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable
from typing import cast

from quartzford.decision import interface as io
from quartzford.fronts import responses
from quartzford.fronts.client_owner import ClientOwner
from quartzford.fronts.exchange import Exchange, PausableAttempt
from quartzford.fronts.pipeline import Pipeline
from quartzford.fronts.request_intake import new_exchange, new_request
from quartzford.fronts.request_reader import SERVICE_CLASS, RequestReader
from quartzford.fronts.response_writer import begin_streamed_response, complete_response, encode_body_part
from quartzford.protocols.lingering import LingeringClose

WRITE_HIGH_WATER_BYTES = 16 * 1024
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER, enabled with 0 s: close() sends a reset


class Client(asyncio.Protocol):
    """One client connection.

    exchange: the request that is being served. pipelined_requests: complete requests that wait for its
    response. unflushed_exchange: the last exchange, while the kernel has not yet accepted all of its written
    response. closing: received bytes are discarded. held_bytes: of streamed responses, in the write buffer
    while the client reads more slowly than they arrive; charged to the budget.

    Times in seconds on the engine's clock: message_started, when the first byte of the last request was
    received, or when the response before it was written if that was later; last_progress, when a byte was
    last read or written; paused_at, since when reading has been paused for lack of memory, 0 if it is not
    paused for that. Such a pause ends once there is memory, and at the latest when all requests that were
    read are answered.
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
        "unflushed_exchange",
        "held_bytes",
        "closing",
        "lingering",
        "paused_at",
    )
    transport: asyncio.Transport

    def __init__(self, front: ClientOwner[Client]) -> None:
        self.front = front
        self.reader = RequestReader(self)
        self.exchange: Exchange | None = None
        self.pipelined_requests = Pipeline()
        self.message_started = front.now()
        self.last_progress = self.message_started
        self.write_blocked = False  # the client reads more slowly than its response arrives
        self.unsent_bytes = 0
        self.held_bytes = 0
        self.unflushed_exchange: Exchange | None = None
        self.closing = False
        self.lingering: LingeringClose | None = None
        self.paused_at = 0.0

    # ---- state

    @property
    def in_message(self) -> bool:
        """Whether a part of a request has been received, but not all of it."""
        return self.reader.in_message

    @property
    def error(self) -> int:
        """Return the status code for invalid input on this connection, 0 if all input was valid."""
        return self.reader.error

    def idle(self) -> bool:
        """Return whether no request is being read or served and the kernel has accepted the last response."""
        return (
            self.exchange is None
            and not self.in_message
            and not self.closing
            and self.unflushed_exchange is None
        )

    def is_lingering(self) -> bool:
        """Return whether the last response of the connection was written and its lingering close began."""
        return self.lingering is not None

    def has_partial_request(self) -> bool:
        """Return whether a part of a request has been read and no response to it is written or due."""
        return self.in_message and self.exchange is None and not self.closing

    def has_nothing_pending(self) -> bool:
        """Return whether the connection is open and no response is due or still in its write buffer."""
        if self.exchange is not None or self.pipelined_requests or self.unflushed_exchange is not None:
            return False
        return not self.transport.is_closing() and not self.transport.get_write_buffer_size()

    def is_transferable(self) -> bool:
        """Return whether another process can take over: no request or response is in progress."""
        return (
            self.idle()
            and not self.pipelined_requests
            and not self.write_blocked
            and not self.error
            and not self.transport.is_closing()
            and not self.transport.get_write_buffer_size()
        )

    def connected(self) -> bool:
        """Return whether no FIN or reset has arrived, not even one behind bytes that were not read yet."""
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
        """Register the connection with the front."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self.front.client_opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; reject the input if it is invalid and no earlier response is due."""
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
        """Cancel the client's requests: it has half-closed the connection."""
        self._disconnected()

    def connection_lost(self, error: Exception | None) -> None:
        """Release everything: the connection was closed by either side."""
        self.front.client_closed(self)
        self._disconnected()
        self.reader.release()
        self.closing = True
        self.write_blocked = False
        self._charge_held(0)
        self._release_unflushed()

    def _disconnected(self) -> None:
        self.pipelined_requests.discard(self.front.engine.request_ids)
        self._drop_body()
        exchange = self.exchange
        self.exchange = None
        if exchange is not None:
            self.front.engine.client_disconnected(exchange)

    def pause_writing(self) -> None:
        """Pause reading from the upstream: the client reads more slowly than its response arrives."""
        self.write_blocked = True
        self.last_progress = self.front.now()
        attempt = self._streaming_attempt()
        if attempt is not None:
            attempt.pause()

    def resume_writing(self) -> None:
        """Resume reading from the upstream: the client has read enough of the response."""
        self.write_blocked = False
        self._charge_held(0)
        self._release_unflushed()
        attempt = self._streaming_attempt()
        if attempt is not None:
            attempt.resume()

    def _charge_held(self, size: int) -> None:
        self.front.budget.used += size - self.held_bytes
        self.held_bytes = size

    def _streaming_attempt(self) -> PausableAttempt | None:
        return self.exchange.streaming_attempt() if self.exchange is not None else None

    # ---- RequestSink: events of the request reader

    def head_expects_continue(self) -> None:
        """Ask for the body with a 100 response, unless an earlier request is still due its response."""
        if self.exchange is None:
            self.transport.write(responses.CONTINUE)

    def upgrade_requested(self) -> None:
        """Ignore the upgrade: answer the request as a plain one, and close the connection after it."""
        if self.exchange is None:
            self.reader.fail(responses.BAD_REQUEST)
        else:
            self.exchange.keep_alive = False

    def body_received(self, size: int) -> None:
        """Charge a part of a body to the budget; pause reading if the budget is exhausted."""
        self.front.budget.used += size
        if self.front.budget.is_exhausted():
            self.paused_at = self.paused_at or self.front.now()
            self.front.pause_reading(self)

    def end_memory_pause(self) -> None:
        """Resume reading if it was paused for lack of memory, unless the pipeline is full."""
        if not self.paused_at:
            return
        self.paused_at = 0.0
        self._resume_reading()

    def _resume_reading(self) -> None:
        """Resume reading unless it is paused for another cause."""
        if not self.paused_at and not self.pipelined_requests.full:
            self.front.resume_reading(self)

    def body_too_large(self) -> None:
        """Release the buffered part of a body that exceeds the maximum size."""
        self._drop_body()

    def _drop_body(self) -> None:
        self.front.budget.used -= self.reader.drop_body()

    def request_completed(self) -> None:
        """Serve the request, or queue it if an earlier request on this connection is not answered."""
        front = self.front
        checked = not self.reader.is_health_check
        if checked and not front.engine.claim_id(self.reader.correlation_id):
            return self.reader.fail(responses.CONFLICT)
        exchange = new_exchange(self.reader, self, front.backend, front.budget)
        request = None
        if checked:
            request = new_request(self.reader, exchange, front.engine, front.now())
        if self.exchange is not None or self.pipelined_requests:
            self.pipelined_requests.add(exchange, request)
            if self.pipelined_requests.full:
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
        """Serve the next pipelined request, with the time that is left until its deadline."""
        exchange, request = self.pipelined_requests.take()
        self._resume_reading()
        if request is not None:
            left_s = max(0.0, exchange.deadline - self.last_progress)
            request = request._replace(budget_ms=left_s * 1000.0)
        self._serve(exchange, request)

    # ---- responses

    def answer(
        self,
        exchange: Exchange,
        status: int,
        pause_ms: float = 0.0,
        fields: list[bytes] | None = None,
        chunks: list[bytes] | None = None,
    ) -> None:
        """Write a complete response. pause_ms: value of its Retry-After field, 0 for no field."""
        if self.exchange is not exchange:
            return exchange.release()
        exchange.body = b""
        self._decide_keep_alive(exchange)
        self.transport.write(complete_response(exchange, status, pause_ms, fields or [], chunks or []))
        self._response_written(exchange)

    def begin(self, exchange: Exchange, fields: list[bytes], length: int | None) -> None:
        """Write the head of a streamed response. length: bytes of its body, None if not stated."""
        exchange.body = b""
        self._decide_keep_alive(exchange)
        head = begin_streamed_response(exchange, fields, length)
        # Overwrites the flag even if the head of the next request has been partly read: the value then counts
        # as that request's framing.
        self.reader.chunked = exchange.chunked_response
        self.transport.write(head)

    def write(self, data: bytes) -> None:
        """Write a part of the body of a streamed response."""
        exchange = self.exchange
        if exchange is None or not data:
            return
        self.last_progress = self.front.now()
        self.transport.write(encode_body_part(exchange, data))
        if self.write_blocked:
            self._charge_held(self.transport.get_write_buffer_size())

    def end(self, exchange: Exchange, complete: bool) -> None:
        """End a streamed response; if it is incomplete, close so that the client can detect that."""
        if self.exchange is not exchange:
            return exchange.release()
        if not complete:
            if (
                exchange.response_ends_with_close
            ):  # an orderly close would mark a complete body, a reset does not
                sock = self.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return self.transport.abort()
        if exchange.chunked_response:
            self.transport.write(responses.LAST_CHUNK)
        self._response_written(exchange)

    def reject(self, status: int) -> None:
        """Answer with an error status and close; the input is not forwarded."""
        if self.closing or self.transport.is_closing():
            return
        self._drop_body()
        self.front.engine.request_counters.count_rejection(status, self.reader.value(SERVICE_CLASS))
        self.transport.write(responses.rejection(status))
        self._begin_lingering_close()

    def _decide_keep_alive(self, exchange: Exchange) -> None:
        exchange.keep_alive = exchange.keep_alive and (self._has_more_input() or not self.front.draining)

    def _has_more_input(self) -> bool:
        """Return whether input after the current request was read; that input gets a response of its own."""
        return bool(self.pipelined_requests) or self.in_message or bool(self.error)

    def _response_written(self, exchange: Exchange) -> None:
        """Continue after a response was written: with pipelined input, a close or a handover."""
        self.exchange = None
        self.last_progress = self.front.now()
        self.message_started = self.last_progress
        self._release_unflushed()
        if self.write_blocked:
            self.unflushed_exchange = exchange
        else:
            exchange.release()
        if not exchange.keep_alive:
            self.pipelined_requests.discard(self.front.engine.request_ids)
            self._begin_lingering_close()
        elif self.pipelined_requests:
            self._serve_next()
        elif self.error:
            self.reject(self.error)
        else:
            self._wait_for_request()

    def _wait_for_request(self) -> None:
        """Read the next request, which may be short, even if there is no memory for a long body."""
        self.end_memory_pause()
        if self.front.transfer_to_successor is not None:
            self.front.clock.call_soon(self.front.offer, self)  # after the response is flushed

    def _release_unflushed(self) -> None:
        if self.unflushed_exchange is not None:
            self.unflushed_exchange.release()
            self.unflushed_exchange = None

    def _begin_lingering_close(self) -> None:
        """Half-close once the written bytes are sent, and read on for a limited time (lingering close)."""
        if self.transport.is_closing():
            return
        self.closing = True
        self.front.resume_reading(self)
        self.lingering = LingeringClose(self.transport, self.front.now())

    # ---- closing, by the front

    def end_if_disconnected(self) -> None:
        """Cancel the requests of a client that has disconnected while reading from it was paused."""
        if not self.connected():
            self._disconnected()
            self.transport.abort()

    def hand_over(self, successor: Callable[[int], bool]) -> None:
        """Transfer the connection to a successor process, which may reject the descriptor."""
        self.transport.pause_reading()
        if successor(self._descriptor()):
            self.closing = True
            self.transport.abort()  # closes only this process's descriptor: the connection stays open
        else:
            self.transport.resume_reading()

    def close_if_idle(self) -> None:
        """Close the connection if no request or response is lost by that."""
        if self.idle():
            self.closing = True
            self.transport.close()

    def reject_unfinished(self) -> None:
        """Answer a partly received request with 503, and read no further requests."""
        if self.closing or self.exchange is not None:
            return
        if self.in_message:
            self.reject(responses.UNAVAILABLE)
        else:
            self._begin_lingering_close()
