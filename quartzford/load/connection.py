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
    """What a connection tells the driver that opened it."""

    def attempt_ended(self, attempt: ClientAttempt, outcome: Outcome, retry_after_s: float) -> None:
        """An attempt has its outcome. retry_after_s: the response's Retry-After; 0: none."""

    def unexpected_response(self) -> None:
        """A response has come that no attempt waits for."""

    def connection_idle(self, connection: TargetConnection) -> None:
        """The connection can carry another attempt."""

    def connection_closed(self) -> None:
        """The connection has ended, and carries no attempt any more."""

    def connect(self, attempt: ClientAttempt, fresh: bool = False) -> None:
        """Send the attempt on a new connection. fresh: which is closed after it."""

    def serve_waiting(self) -> None:
        """Attempts that wait for a connection may find one now."""


class TargetConnection(asyncio.Protocol):
    """A client connection. fresh: it is closed after its first response."""

    transport: asyncio.Transport

    def __init__(self, driver: ConnectionOwner) -> None:
        self.driver = driver
        self.attempt: ClientAttempt | None = None
        self.fresh = False
        self.closed = False
        self._parser: Any = None
        self._retry_after_s = 0.0
        self._reused = False  # it has brought a response before
        self._response_begun = False  # a part of this attempt's response has come
        self._request_acknowledged = False  # the server had all of the request when it closed the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio.Protocol."""
        self.transport = cast(asyncio.Transport, transport)

    def is_usable(self) -> bool:
        """Whether it can carry an attempt: neither side has ended it."""
        return not self.closed and not self.transport.is_closing() and not ended_by_peer(self._descriptor())

    def _descriptor(self) -> int:
        descriptor: int = self.transport.get_extra_info("socket").fileno()
        return descriptor

    def send(self, attempt: ClientAttempt, message: bytes) -> None:
        """Send an attempt's complete message."""
        self.attempt = attempt
        self._retry_after_s = 0.0
        self._response_begun = False
        self._request_acknowledged = False
        self._parser = httptools.HttpResponseParser(self)
        self.transport.write(message)

    def give_up(self) -> None:
        """Close the connection of an attempt that has timed out."""
        self.attempt = None
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Part of asyncio.Protocol."""
        if self.attempt is None:
            self.driver.unexpected_response()
            return self.transport.abort()
        self._response_begun = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with each header field."""
        if name.lower() == b"retry-after":
            try:
                self._retry_after_s = max(0.0, float(value))
            except ValueError:
                self._retry_after_s = 0.0

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a response."""
        attempt, self.attempt = self.attempt, None
        self._reused = True
        if attempt is None:
            self.driver.unexpected_response()
            return
        if self.fresh or not self._parser.should_keep_alive():
            self.transport.abort()
        else:
            self.driver.connection_idle(self)
        self.driver.attempt_ended(attempt, _outcome(self._parser.get_status_code()), self._retry_after_s)

    def eof_received(self) -> None:
        """Note whether the server had the request when it closed the connection in order."""
        unsent = self.transport.get_write_buffer_size()
        self._request_acknowledged = not unsent and not unacknowledged_bytes(self._descriptor())

    def connection_lost(self, error: Exception | None) -> None:
        """End the attempt, or send it once more if it crossed the end of an idle connection."""
        self.closed = True
        self.driver.connection_closed()
        attempt, self.attempt = self.attempt, None
        if attempt is not None and not attempt.ended:
            if self._ended_unread() and not attempt.resent:
                attempt.resent = True
                self.driver.connect(attempt)
            else:
                self.driver.attempt_ended(attempt, LOST, 0.0)
        self.driver.serve_waiting()

    def _ended_unread(self) -> bool:
        """Whether the server closed the connection between requests, as it may, with the attempt unread."""
        return self._reused and not self._response_begun and not self._request_acknowledged


def _outcome(status: int) -> Outcome:
    if status == STATUS_SERVED:
        return SERVED
    return REFUSED if status in STATUSES_REFUSED else FAILED
