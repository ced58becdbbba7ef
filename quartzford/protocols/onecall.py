"""The server side of HTTP/1.1 with one call per connection, without I/O: bytes in, one call or one error out.

It implements the subset of RFC 9112 that short calls need: a head of bounded size, a body with Content-Length
or chunked, and HTTP/1.0. The states are head, body and done. Nothing is read in the state done, so a second
call in the same bytes (pipelining) is not executed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

import httptools

MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 4 * 1024
MAX_LENGTH_DIGITS = 9  # a Content-Length with more digits is too long without being parsed
ABSOLUTE_FORM_PREFIX = "http://"
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class State(Enum):
    """The state of the reader of a call."""

    HEAD = "head"
    BODY = "body"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class OneCall:
    """A complete call. body: the body as sent, without its framing."""

    method: str
    path: str
    body: bytes


class Reader:
    """Reads one call. After `feed`, `call` is set, `error` is set, or more bytes are needed."""

    def __init__(self) -> None:
        self.state = State.HEAD
        self.call: OneCall | None = None
        self.error = 0  # the HTTP status of the response to an invalid call; 0 if there is no error
        # The client expects a 100 response before it sends the body (RFC 9110, section 10.1.1).
        self.expects_continue = False
        self._parser: Any = httptools.HttpRequestParser(self)
        self._url = b""
        self._body = b""
        self._head_bytes = 0
        self._host_field_count = 0

    @property
    def begun(self) -> bool:
        """Return whether a part of a call has been read."""
        return self._head_bytes > 0

    def feed(self, data: bytes) -> None:
        """Read bytes, split at any position; bytes after the end of the call are ignored."""
        if self.state is State.DONE:
            return
        if self.state is State.HEAD:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # the request for an upgrade is ignored, and the call is answered as usual
        except httptools.HttpParserError:
            self._fail(400)
        if self.state is State.HEAD and self._head_bytes > MAX_HEAD_BYTES:
            self._fail(431)

    def _fail(self, status: int) -> None:
        if self.state is not State.DONE:
            self.state = State.DONE
            self.error = status

    # ---- callbacks of httptools

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self.state is not State.DONE:
            self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process a field of the head; trailer fields are ignored."""
        if self.state is not State.HEAD:
            return
        key = name.lower()
        if key == b"host":
            self._host_field_count += 1
        elif key == b"content-length" and _is_too_long(value):
            self._fail(413)
        elif key == b"expect":
            self.expects_continue = value.lower() == b"100-continue"

    def on_headers_complete(self) -> None:
        """Process the end of the head."""
        if self.state is State.DONE:
            return
        if self._host_field_count > 1:
            return self._fail(400)
        self.state = State.BODY

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        if self.state is not State.BODY:
            return
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            self._fail(413)

    def on_message_complete(self) -> None:
        """Process the end of the call."""
        if self.state is not State.BODY:
            return
        self.state = State.DONE
        self.call = OneCall(self._parser.get_method().decode("latin-1"), _path_of(self._url), self._body)


def _is_too_long(content_length: bytes) -> bool:
    """Return whether a Content-Length exceeds MAX_BODY_BYTES; the parser rejects other invalid values."""
    if not content_length.isdigit():
        return False
    return len(content_length) > MAX_LENGTH_DIGITS or int(content_length) > MAX_BODY_BYTES


def _path_of(target: bytes) -> str:
    """Return the path, without query, of a target in origin or absolute form (RFC 9112, section 3.2)."""
    path = target.decode("latin-1").partition("?")[0]
    if path.startswith(ABSOLUTE_FORM_PREFIX):
        path = "/" + path.removeprefix(ABSOLUTE_FORM_PREFIX).partition("/")[2]
    return path


def answer(status: int, body: str = "", head_only: bool = False) -> bytes:
    """Return a complete response that closes the connection. head_only: omit the body, for a HEAD request."""
    data = body.encode()
    head = (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + (b"" if head_only else data)
