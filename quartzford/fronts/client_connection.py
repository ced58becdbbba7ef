"""A client's connection: serves one request at a time; pipelined requests wait until it is answered."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

from quartzford.engine import Charge
from quartzford.fronts import responses
from quartzford.fronts.client_input import ClientInput
from quartzford.fronts.client_owner import ClientOwner
from quartzford.fronts.exchange import Exchange, PausableAttempt
from quartzford.fronts.pipeline import PipelinedRequest
from quartzford.fronts.request_intake import new_exchange, new_request
from quartzford.fronts.request_soundness import SERVICE_CLASS
from quartzford.fronts.response_writer import begin_streamed_response, complete_response, encode_body_part
from quartzford.protocols.lingering import LingeringClose

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER, enabled with 0 s: close() sends a reset
WAIT_TOLERANCE_MS = 1.0  # a request that has waited no longer is served with the time that it states


class Client(ClientInput):
    """One client connection.

    exchange: the request that is being served. unflushed_exchange: the last exchange, while the kernel has
    not yet accepted all of its written response.
    """

    __slots__ = ("exchange", "unsent_bytes", "unflushed_exchange", "_unsent_charge")

    def __init__(self, front: ClientOwner) -> None:
        super().__init__(front)
        self.exchange: Exchange | None = None
        self.unsent_bytes = 0
        self.unflushed_exchange: Exchange | None = None
        self._unsent_charge = Charge(front.budget)

    # ---- state

    @property
    def held_bytes(self) -> int:
        """The bytes of streamed responses in the write buffer, while the client reads more slowly."""
        return self._unsent_charge.size

    def idle(self) -> bool:
        """Return whether no request is being read or served and the kernel has accepted the last response."""
        return (
            self.exchange is None
            and not self.in_message
            and not self.pipelined_requests
            and not self.closing
            and self.unflushed_exchange is None
        )

    def exchange_is_open(self) -> bool:
        """Return whether a request is being served."""
        return self.exchange is not None

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

    # ---- asyncio.BufferedProtocol

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
        self._unsent_charge.set(0)
        self._release_unflushed()

    def _disconnected(self) -> None:
        self.pipelined_requests.discard(self.front.engine.request_ids)
        self.release_input()
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
        self._unsent_charge.set(0)
        self._release_unflushed()
        attempt = self._streaming_attempt()
        if attempt is not None:
            attempt.resume()
        self.advance()

    def _streaming_attempt(self) -> PausableAttempt | None:
        return self.exchange.streaming_attempt() if self.exchange is not None else None

    # ---- requests

    def head_expects_continue(self) -> None:
        """Ask for the body with a 100 response, unless an earlier request is still due its response."""
        if self.exchange is None and not self.pipelined_requests:
            self.transport.write(responses.CONTINUE)

    def request_completed(self) -> None:
        """Queue the request, unless another one has its ID."""
        front = self.front
        checked = not self.reader.is_health_check
        if checked and not front.engine.claim_id(self.reader.correlation_id):
            return self.reader.fail(responses.CONFLICT)
        exchange = new_exchange(self.reader, self, front.backend, front.budget)
        request = None
        if checked:
            request = new_request(self.reader, exchange, front.engine, self.arrived_at)
        self.pipelined_requests.add(exchange, request)

    def serve_waiting(self) -> bool:
        """Serve the next request, or reject invalid input, if neither a response nor its flush is due."""
        if self.exchange is not None or self.write_blocked:
            return False
        if self.pipelined_requests:
            self._serve(self.pipelined_requests.take())
            return True
        if self.error:
            self.reject(self.error)
        return False

    def _serve(self, waiting: PipelinedRequest) -> None:
        exchange, request = waiting
        self.exchange = exchange
        self.front.client_used(self)
        if request is None:
            status = responses.OK if self.front.ready() else responses.UNAVAILABLE
            return self.answer(exchange, status)
        left_ms = max(0.0, exchange.deadline - self.front.now()) * 1000.0
        if left_ms < request.budget_ms - WAIT_TOLERANCE_MS:
            request = request._replace(budget_ms=left_ms)
        self.front.engine.request_arrived(exchange, request, exchange.body.size)

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
        exchange.drop_request()
        self._decide_keep_alive(exchange)
        self.transport.write(complete_response(exchange, status, pause_ms, fields or [], chunks or []))
        self._response_written(exchange)

    def begin(self, exchange: Exchange, fields: list[bytes], length: int | None) -> None:
        """Write the head of a streamed response. length: bytes of its body, None if not stated."""
        exchange.drop_request()
        self._decide_keep_alive(exchange)
        self.transport.write(begin_streamed_response(exchange, fields, length))

    def write(self, data: bytes) -> None:
        """Write a part of the body of a streamed response."""
        exchange = self.exchange
        if exchange is None or not data:
            return
        self.last_progress = self.front.now()
        self.transport.write(encode_body_part(exchange, data))
        if self.write_blocked:
            self._unsent_charge.set(self.transport.get_write_buffer_size())

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
        self.front.engine.request_counters.count_rejection(status, self.reader.value(SERVICE_CLASS))
        self.front.ends[f"rejected {status}"] += 1
        self.release_input()
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
        elif self.pipelined_requests or self.error:
            self.advance()
        else:
            self._wait_for_request()

    def _wait_for_request(self) -> None:
        """Read the next request, which may be short, even if there is no memory for a long body."""
        self.paused_at = 0.0
        if self.has_input():
            self.advance()
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
        self.release_input()
        self.update_reading()
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
        if successor(self.descriptor()):
            self.closing = True
            self.transport.abort()  # closes only this process's descriptor: the connection stays open
        else:
            self.transport.resume_reading()

    def close_if_idle(self) -> None:
        """Close the connection if no request or response is lost by that."""
        if self.idle():
            self.front.ends["closed idle"] += 1
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
