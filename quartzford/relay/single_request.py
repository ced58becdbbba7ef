"""A connection that carries one request and its response. It handles request time-outs and the final close.

The subclass determines the response. Times are in seconds.
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

REQUEST_START_TIMEOUT_S = 5.0  # a connection on which no request has begun after this time is closed
REQUEST_READ_TIMEOUT_S = 2.0  # a request that is not complete this long after its first byte is answered 408
RESPONSE_FLUSH_TIMEOUT_S = 60.0  # the connection is aborted if the client has not taken the response by then


class SingleRequestConnection(asyncio.Protocol):
    """Reads one request, drops the bytes after it, and closes the connection after the response."""

    transport: asyncio.Transport

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.request: ListRequest | None = None
        self.closed = False  # no more data is handed to the transport, which may still write earlier data
        self.writing_paused = False
        self._request_parser = RequestParser()
        self._timer: Handle | None = None
        self._lingering: LingeringClose | None = None

    # ---- implemented by the subclass

    @abstractmethod
    def accepted(self) -> None:
        """Called when the connection is open; must call `expect_request` or close the connection."""

    @abstractmethod
    def request_received(self, request: ListRequest) -> None:
        """Called when the request is complete and valid; no timer is set."""

    @abstractmethod
    def writable(self) -> None:
        """Called when writing resumes after a pause: the socket has taken all bytes written so far."""

    @abstractmethod
    def release(self) -> None:
        """Release the resources of the call, which has ended. May be called repeatedly."""

    # ---- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport of the open connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self.accepted()

    def connection_lost(self, error: Exception | None) -> None:
        """Release all resources of the connection."""
        self._close_call()
        self._request_parser.close()
        self.cancel_timer()

    def data_received(self, data: bytes) -> None:
        """Read the request; bytes after the request are dropped."""
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
        """Handle a half-close: a call for the list without a watch is still answered, any other call ends."""
        is_list_call = self.request is not None and self.request.index is None
        if is_list_call and self._lingering is None:
            return True
        self._close_call()
        return False

    def pause_writing(self) -> None:
        """Note that the socket takes no more bytes."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """Note that the socket has taken all bytes."""
        self.writing_paused = False
        self.writable()

    # ---- used by the subclass

    @property
    def bytes_read(self) -> int:
        """Return the number of bytes of the request read so far."""
        return self._request_parser.bytes_read

    def expect_request(self) -> None:
        """Wait up to REQUEST_START_TIMEOUT_S for a request to begin."""
        self.set_timer(REQUEST_START_TIMEOUT_S, self.abort)

    def set_timer(self, delay_s: float, callback: Callable[..., object], *arguments: object) -> None:
        """Call `callback` after delay_s seconds. Replaces the timer that was set before."""
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
        """Write the last bytes of the response, and close the connection once the client has taken them."""
        self._close_call()
        if data:
            self.transport.write(data)
        self.set_timer(RESPONSE_FLUSH_TIMEOUT_S, self.transport.abort)
        self._lingering = LingeringClose(self.transport, self.clock.now())
        self._lingering.close_in_time(self.clock)

    def _close_call(self) -> None:
        self.closed = True
        self.release()
