"""A stand-in calling proxy's connections to upstreams: HTTP/1.1, pooled, one request at a time on each."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple, cast

import httptools

from standins.caller_headers import Headers

VIA_UPSTREAM = "via_upstream"
BROKEN = "upstream_reset_before_response_started"


class SendFailure(NamedTuple):
    """Why an attempt has no response of its upstream's."""

    outcome: str
    status: int  # that Envoy gives it
    details: str  # its response.code_details


CONNECT_FAILED = SendFailure("connect", 503, BROKEN + "{remote_connection_failure}")
RESET = SendFailure("reset", 503, BROKEN + "{connection_termination}")
TIMED_OUT = SendFailure("timeout", 504, "response_timeout")
EXPIRED = SendFailure("expired", 503, "decision_expired")


class SendError(Exception):
    """An attempt has no response of its upstream's."""

    def __init__(self, failure: SendFailure) -> None:
        super().__init__(failure.outcome)
        self.failure = failure


class UpstreamResponse(NamedTuple):
    """An attempt's response, or what takes its place."""

    status: int
    headers: Headers
    details: str  # response.code_details


def failed_response(failure: SendFailure) -> UpstreamResponse:
    """What takes the place of the response of a failed attempt."""
    return UpstreamResponse(failure.status, Headers([(":status", str(failure.status))]), failure.details)


class UpstreamConnection(asyncio.Protocol):
    """A connection to an upstream."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.closed = False
        self.status: asyncio.Future[int] | None = None
        self.fields: list[tuple[str, str]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to send on."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request that waits for its response."""
        self.closed = True
        if self.status is not None and not self.status.done():
            self.status.set_exception(ConnectionResetError())

    def send(self, request: bytes) -> asyncio.Future[int]:
        """Send a request; the response's status once it is complete, or ConnectionResetError."""
        self.fields = []
        self.parser: Any = httptools.HttpResponseParser(self)
        self.status = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self.status

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response; what isn't HTTP resets the connection."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; names in lower case."""
        self.fields.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_message_complete(self) -> None:
        """Complete the request."""
        if self.status is not None and not self.status.done():
            self.status.set_result(self.parser.get_status_code())

    async def receive(self, status: asyncio.Future[int], timeout_s: float) -> UpstreamResponse:
        """Wait for the response to a request; SendError if it isn't complete in time."""
        try:
            async with asyncio.timeout(timeout_s):
                code = await status
        except TimeoutError:
            self.transport.abort()
            raise SendError(TIMED_OUT) from None
        except OSError:
            raise SendError(RESET) from None
        except asyncio.CancelledError:
            self.transport.abort()
            raise
        return UpstreamResponse(code, Headers([(":status", str(code)), *self.fields]), VIA_UPSTREAM)


class ConnectionPool:
    """Connections to upstreams that are idle, by address."""

    def __init__(self) -> None:
        self.idle: dict[str, list[UpstreamConnection]] = {}

    async def take(self, address: str, timeout_s: float) -> UpstreamConnection:
        """An idle connection, or a new one; SendError if there is none within the time-out."""
        idle = self.idle.get(address)
        while idle:
            connection = idle.pop()
            if not connection.closed:
                return connection
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, made = await loop.create_connection(UpstreamConnection, host, int(port))
        except (OSError, TimeoutError):
            raise SendError(CONNECT_FAILED) from None
        return made

    def put(self, address: str, connection: UpstreamConnection) -> None:
        """Keep a connection for later requests."""
        if not connection.closed:
            self.idle.setdefault(address, []).append(connection)

    def close(self) -> None:
        """Reset all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.transport.abort()
