"""A stand-in calling proxy's connections to upstreams: HTTP/1.1, pooled, one request at a time on each."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple, cast

import httptools

from standins.caller_headers import Headers

VIA_UPSTREAM = "via_upstream"
RESET_BEFORE_RESPONSE = "upstream_reset_before_response_started"


class SendFailure(NamedTuple):
    """The reason why an attempt received no response from its upstream, and how it is reported."""

    outcome: str
    status: int  # of the local response that Envoy sends instead
    details: str  # Envoy's response.code_details for the failure


CONNECT_FAILED = SendFailure("connect", 503, RESET_BEFORE_RESPONSE + "{remote_connection_failure}")
RESET = SendFailure("reset", 503, RESET_BEFORE_RESPONSE + "{connection_termination}")
TIMED_OUT = SendFailure("timeout", 504, "response_timeout")
EXPIRED = SendFailure("expired", 503, "decision_expired")


class SendError(Exception):
    """An attempt received no response from its upstream."""

    def __init__(self, failure: SendFailure) -> None:
        super().__init__(failure.outcome)
        self.failure = failure


class UpstreamResponse(NamedTuple):
    """An attempt's response: the upstream's, or a local one if the attempt failed."""

    status: int
    headers: Headers
    details: str  # response.code_details


def failed_response(failure: SendFailure) -> UpstreamResponse:
    """Return the local response for a failed attempt."""
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
        """Fail the request in flight, if there is one."""
        self.closed = True
        if self.status is not None and not self.status.done():
            self.status.set_exception(ConnectionResetError())

    def send(self, request: bytes) -> asyncio.Future[int]:
        """Send a request; return a future of the response's status, which fails with ConnectionResetError."""
        self.fields = []
        self.parser: Any = httptools.HttpResponseParser(self)
        self.status = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self.status

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of a response; reset the connection if they are not valid HTTP."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a response header, with its name in lower case."""
        self.fields.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_message_complete(self) -> None:
        """Resolve the request's future with the response's status."""
        if self.status is not None and not self.status.done():
            self.status.set_result(self.parser.get_status_code())

    async def receive(self, status: asyncio.Future[int], timeout_s: float) -> UpstreamResponse:
        """Wait for the response to a request; raise SendError if it isn't complete in time."""
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
    """A pool of idle connections to upstreams, by address."""

    def __init__(self) -> None:
        self.idle: dict[str, list[UpstreamConnection]] = {}

    async def take(self, address: str, timeout_s: float) -> UpstreamConnection:
        """Return an idle connection or open a new one; raise SendError if that fails or times out."""
        idle = self.idle.get(address)
        while idle:
            connection = idle.pop()
            if not connection.closed:
                return connection
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, new_connection = await loop.create_connection(UpstreamConnection, host, int(port))
        except (OSError, TimeoutError):
            raise SendError(CONNECT_FAILED) from None
        return new_connection

    def put(self, address: str, connection: UpstreamConnection) -> None:
        """Return a connection to the pool, unless it is closed."""
        if not connection.closed:
            self.idle.setdefault(address, []).append(connection)

    def close(self) -> None:
        """Reset all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.transport.abort()
