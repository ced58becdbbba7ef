"""Encodes a relay's HTTP/1.1 responses: heads, errors, and the chunks of a watch. No I/O."""

from __future__ import annotations

REASON_PHRASES = {
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT = b"1\r\n\n\r\n"  # a chunk with an empty line
CHUNK_END = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def error_response(status: int, header_lines: str = "") -> bytes:
    """Return a response with an empty body that closes the connection. header_lines: each ends with CRLF."""
    allow = "Allow: GET\r\n" if status == 405 else ""
    return (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n{allow}{header_lines}Content-Length: 0\r\n"
        "Connection: close\r\n\r\n"
    ).encode()


def rejection(retry_after_s: float) -> bytes:
    """Return the response to a rejected call, which the client may retry after retry_after_s seconds."""
    return error_response(503, f"Retry-After: {retry_after_s:.2f}\r\n")


def list_head(length: int) -> bytes:
    """Return the response head of a call for the list without a watch. length: of the list in bytes."""
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\nConnection: close\r\n\r\n" % length
    )


def chunk_head(length: int) -> bytes:
    """Return the size line before the data of a chunk; CHUNK_END follows the data.

    length: of the data, in bytes.
    """
    return b"%x\r\n" % length


def chunk(data: bytes) -> bytes:
    """Return the data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)
