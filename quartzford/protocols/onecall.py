"""HTTP/1.1 with one call to a connection, sans I/O: bytes in, one call or one error out.

The server side of RFC 9112 as far as short calls need it: a head of bounded size, a body by Content-Length or
chunked, HTTP/1.0 too. States: head, body, done; from done on nothing is read any more, so a second call that
follows in the same bytes (pipelining) is not carried out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

import httptools

MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 4 * 1024
MAX_LENGTH_DIGITS = 9  # of a Content-Length that is looked at as a number
ABSOLUTE_FORM = "http://"
REASONS = {
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
    """How far a call has come."""

    HEAD = "head"
    BODY = "body"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class OneCall:
    """A complete call. body: as sent, its framing taken off."""

    method: str
    path: str
    body: bytes


class Reader:
    """Reads one call. After `feed` either call or error is set, or more is needed."""

    def __init__(self) -> None:
        self.state = State.HEAD
        self.call: OneCall | None = None
        self.error = 0  # the status that answers what is no call
        self.expects_continue = False  # a 100 is wanted before the body (RFC 9110, 10.1.1)
        self._parser: Any = httptools.HttpRequestParser(self)
        self._url = b""
        self._body = b""
        self._head_bytes = 0
        self._hosts = 0

    @property
    def begun(self) -> bool:
        """A part of a call has been read."""
        return self._head_bytes > 0

    def feed(self, data: bytes) -> None:
        """Take bytes, however they are cut; nothing is read once the call is done."""
        if self.state is State.DONE:
            return
        if self.state is State.HEAD:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # answered as the plain call that it also is
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
        """A piece of the call's target."""
        if self.state is not State.DONE:
            self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field of the head; later ones (trailers) are skipped."""
        if self.state is not State.HEAD:
            return
        key = name.lower()
        if key == b"host":
            self._hosts += 1
        elif key == b"content-length" and _is_too_long(value):
            self._fail(413)
        elif key == b"expect":
            self.expects_continue = value.lower() == b"100-continue"

    def on_headers_complete(self) -> None:
        """The head is complete."""
        if self.state is State.DONE:
            return
        if self._hosts > 1:
            return self._fail(400)
        self.state = State.BODY

    def on_body(self, data: bytes) -> None:
        """A piece of the body."""
        if self.state is not State.BODY:
            return
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            self._fail(413)

    def on_message_complete(self) -> None:
        """The last byte of the call has been read."""
        if self.state is not State.BODY:
            return
        self.state = State.DONE
        self.call = OneCall(self._parser.get_method().decode("latin-1"), _path_of(self._url), self._body)


def _is_too_long(content_length: bytes) -> bool:
    """Whether a field states a body over the bound; what is no number is left to the parser."""
    if not content_length.isdigit():
        return False
    return len(content_length) > MAX_LENGTH_DIGITS or int(content_length) > MAX_BODY_BYTES


def _path_of(target: bytes) -> str:
    """The path of a target in origin form or in absolute form (RFC 9112, 3.2), without its query."""
    path = target.decode("latin-1").partition("?")[0]
    if path.startswith(ABSOLUTE_FORM):
        path = "/" + path.removeprefix(ABSOLUTE_FORM).partition("/")[2]
    return path


def answer(status: int, body: str = "", head_only: bool = False) -> bytes:
    """The complete response; its connection ends with it. head_only: to a HEAD, without the body."""
    data = body.encode()
    head = (
        f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + (b"" if head_only else data)
