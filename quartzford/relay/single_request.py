"""A connection that carries one request and its response: the request's time-outs, and the end behind it.

What is answered is the subclass's part. Times are in seconds.
"""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections.abc import Callable
from typing import cast

from quartzford.engine import Clock, Handle
from quartzford.protocols.lingering import LingeringClose
from quartzford.relay.request import ListRequest, RequestError, RequestParser
from quartzford.relay.responses import error_response

REQUEST_TIMEOUT_S = 5.0  # a connection on which no request has begun by then is closed
REQUEST_READ_TIMEOUT_S = 2.0  # a request that is not complete so long after it began is answered 408
LAST_BYTES_TIMEOUT_S = 60.0  # a client that has not taken the response by then is cut off


class SingleRequestConnection(asyncio.Protocol):
    """Reads one request, drops what follows it, and closes the connection behind the response."""

    transport: asyncio.Transport

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.request: ListRequest | None = None
        self.closed = False  # nothing more is written but what has been handed to the transport
        self.writing_paused = False
        self._request_parser = RequestParser()
        self._timer: Handle | None = None
        self._lingering: LingeringClose | None = None

    # ---- the subclass's part

    @abstractmethod
    def accepted(self) -> None:
        """The connection is open; `expect_request` or an end follows."""

    @abstractmethod
    def request_received(self, request: ListRequest) -> None:
        """The request is complete and valid; no timer runs."""

    @abstractmethod
    def writable(self) -> None:
        """The socket has taken all that was written, after it had not for a while."""

    @abstractmethod
    def release(self) -> None:
        """Give up what is held for the call: it has ended. May be called again."""

    # ---- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self.accepted()

    def connection_lost(self, error: Exception | None) -> None:
        """Release all that the connection held."""
        self._close_call()
        self._request_parser.close()
        self.cancel_timer()

    def data_received(self, data: bytes) -> None:
        """Read the request; bytes behind it are dropped."""
        if self._lingering is not None:
            return self._lingering.received(len(data))
        if self.closed or self.request is not None:
            return
        if not self.bytes_read:
            self.set_timer(REQUEST_READ_TIMEOUT_S, self.respond_error, 408)
        try:
            self.request = self._request_parser.feed(data)
        except RequestError as error:
            return self.respond_error(error.status)
        if self.request is not None:
            self.cancel_timer()
            self.request_received(self.request)

    def eof_received(self) -> bool:
        """A half-close: a call for the list alone is still answered, any other client has left."""
        is_list_call = self.request is not None and self.request.index is None
        if is_list_call and self._lingering is None:
            return True
        self._close_call()
        return False

    def pause_writing(self) -> None:
        """The socket takes no more bytes."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """The socket has taken all bytes."""
        self.writing_paused = False
        self.writable()

    # ---- for the subclass

    @property
    def bytes_read(self) -> int:
        """Bytes of the request so far."""
        return self._request_parser.bytes_read

    def expect_request(self) -> None:
        """Wait for a request, for REQUEST_TIMEOUT_S."""
        self.set_timer(REQUEST_TIMEOUT_S, self.abort)

    def set_timer(self, delay_s: float, callback: Callable[..., object], *arguments: object) -> None:
        """Call back after so many seconds, in place of the timer that was set before."""
        self.cancel_timer()
        self._timer = self.clock.call_later(delay_s, callback, *arguments)

    def cancel_timer(self) -> None:
        """Cancel the timer, if one is set."""
        if self._timer is not None:
            self._timer.cancel()

    def abort(self) -> None:
        """Close at once; bytes that have not been sent are dropped."""
        self._close_call()
        self.transport.abort()

    def respond_error(self, status: int) -> None:
        """Answer with an HTTP status and close."""
        self.send_last(error_response(status))

    def send_last(self, data: bytes) -> None:
        """Write the last bytes of the response; the connection is closed once they are taken."""
        self._close_call()
        if data:
            self.transport.write(data)
        self.set_timer(LAST_BYTES_TIMEOUT_S, self.transport.abort)
        self._lingering = LingeringClose(self.transport, self.clock.now())
        self._lingering.close_in_time(self.clock)

    def _close_call(self) -> None:
        self.closed = True
        self.release()
