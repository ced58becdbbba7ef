"""Encodes responses to clients: status line, header fields, chunks."""

from __future__ import annotations

from typing import Protocol

OK = 200
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
CONFLICT = 409
CONTENT_TOO_LARGE = 413
FIELDS_TOO_LARGE = 431
INTERNAL_ERROR = 500
BAD_GATEWAY = 502
UNAVAILABLE = 503

REASONS = {
    OK: b"OK",
    BAD_REQUEST: b"Bad Request",
    REQUEST_TIMEOUT: b"Request Timeout",
    CONFLICT: b"Conflict",
    CONTENT_TOO_LARGE: b"Content Too Large",
    FIELDS_TOO_LARGE: b"Request Header Fields Too Large",
    INTERNAL_ERROR: b"Internal Server Error",
    BAD_GATEWAY: b"Bad Gateway",
    UNAVAILABLE: b"Service Unavailable",
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CLOSE = b"Connection: close\r\n"
KEEP_ALIVE = b"Connection: keep-alive\r\n"


class CompleteResponse(Protocol):
    """A backend's complete 200 response."""

    @property
    def fields(self) -> list[bytes]:
        """The header fields to forward, each with its CR LF."""

    @property
    def chunks(self) -> list[bytes]:
        """The body, in parts."""


def response_head(status: int, fields: list[bytes], framing: bytes) -> bytes:
    """Return a response head. framing: additional encoded fields, each with its CR LF."""
    return b"HTTP/1.1 %d %b\r\n%b%b\r\n" % (status, REASONS[status], b"".join(fields), framing)


def content_length(size: int) -> bytes:
    """Return the Content-Length field for a body of `size` bytes."""
    return b"Content-Length: %d\r\n" % size


def retry_after(pause_ms: float) -> bytes:
    """Return the Retry-After field, in seconds with three decimals."""
    return b"Retry-After: %.3f\r\n" % (pause_ms / 1000.0)


def chunk(data: bytes) -> bytes:
    """Return a part of a body as a chunk of chunked framing."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def rejection(status: int) -> bytes:
    """Return a response without a body, after which the connection is closed."""
    return response_head(status, [], content_length(0) + CLOSE)
