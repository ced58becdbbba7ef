"""A client's HTTP/1.1 connection to the target, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol, cast

import httptools

from quartzford.load.attempt import ClientAttempt
from quartzford.load.clients import FAILED, LOST, REFUSED, SERVED, Outcome
from quartzford.load.connection_end import ended_by_peer, unacknowledged_bytes

STATUS_SERVED = 200
STATUSES_REFUSED = (429, 503)


class ConnectionOwner(Protocol):
    """The driver that opened a connection, as the connection calls it."""

    def attempt_ended(self, attempt: ClientAttempt, outcome: Outcome, retry_after_s: float) -> None:
        """Handle an attempt's outcome. retry_after_s: the response's Retry-After in seconds; 0: none."""

    def unexpected_response(self) -> None:
        """Handle data received while no attempt waits for a response."""

    def connection_idle(self, connection: TargetConnection) -> None:
        """Handle a connection that can carry another attempt."""

    def connection_closed(self) -> None:
        """Handle the close of a connection."""

    def connect(self, attempt: ClientAttempt, single_use: bool = False) -> None:
        """Send the attempt on a new connection. single_use: close that connection after the response."""

    def serve_waiting_attempts(self) -> None:
        """Assign connections that have become available to waiting attempts."""


class TargetConnection(asyncio.Protocol):
    """A client connection. single_use: True if it is closed after its first response."""

    transport: asyncio.Transport

    def __init__(self, driver: ConnectionOwner) -> None:
        self.driver = driver
        self.attempt: ClientAttempt | None = None
        self.single_use = False
        self.closed = False
        self._parser: Any = None
        self._retry_after_s = 0.0
        self._reused = False  # True once the connection has carried a complete response
        self._response_started = False  # True once data of the current response was received
        self._request_acknowledged = False  # True if the server had the whole request when it sent its FIN

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio.Protocol."""
        self.transport = cast(asyncio.Transport, transport)

    def is_usable(self) -> bool:
        """Return True if the connection can carry an attempt: neither side has closed it."""
        return not self.closed and not self.transport.is_closing() and not ended_by_peer(self._descriptor())

    def _descriptor(self) -> int:
        descriptor: int = self.transport.get_extra_info("socket").fileno()
        return descriptor

    def send(self, attempt: ClientAttempt, message: bytes) -> None:
        """Send an attempt's complete message."""
        self.attempt = attempt
        self._retry_after_s = 0.0
        self._response_started = False
        self._request_acknowledged = False
        self._parser = httptools.HttpResponseParser(self)
        self.transport.write(message)

    def abort_attempt(self) -> None:
        """Close the connection after its attempt has timed out."""
        self.attempt = None
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Part of asyncio.Protocol."""
        if self.attempt is None:
            self.driver.unexpected_response()
            return self.transport.abort()
        self._response_started = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the value of Retry-After. The parser calls this method with each header field."""
        if name.lower() == b"retry-after":
            try:
                self._retry_after_s = max(0.0, float(value))
            except ValueError:
                self._retry_after_s = 0.0

    def on_message_complete(self) -> None:
        """Report the attempt's outcome. The parser calls this method at the end of a response."""
        attempt, self.attempt = self.attempt, None
        self._reused = True
        if attempt is None:
            self.driver.unexpected_response()
            return
        if self.single_use or not self._parser.should_keep_alive():
            self.transport.abort()
        else:
            self.driver.connection_idle(self)
        self.driver.attempt_ended(attempt, _outcome(self._parser.get_status_code()), self._retry_after_s)

    def eof_received(self) -> None:
        """Record whether the server had acknowledged the whole request when it sent its FIN."""
        unsent = self.transport.get_write_buffer_size()
        self._request_acknowledged = not unsent and not unacknowledged_bytes(self._descriptor())

    def connection_lost(self, error: Exception | None) -> None:
        """Report the attempt as lost, or resend it once if the server closed before it read the attempt."""
        self.closed = True
        self.driver.connection_closed()
        attempt, self.attempt = self.attempt, None
        if attempt is not None and not attempt.ended:
            if self._closed_before_read() and not attempt.resent:
                attempt.resent = True
                self.driver.connect(attempt)
            else:
                self.driver.attempt_ended(attempt, LOST, 0.0)
        self.driver.serve_waiting_attempts()

    def _closed_before_read(self) -> bool:
        """Return True if the server closed an idle connection, as it may, before it read the attempt."""
        return self._reused and not self._response_started and not self._request_acknowledged


def _outcome(status: int) -> Outcome:
    if status == STATUS_SERVED:
        return SERVED
    return REFUSED if status in STATUSES_REFUSED else FAILED
