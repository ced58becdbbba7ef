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

HEAD_BYTES = 8 * 1024
BODY_BYTES = 4 * 1024
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
    """A whole call. body: as sent, its framing taken off."""

    method: str
    path: str
    body: bytes


class Reader:
    """Reads one call. After `feed` either call or error is set, or more is needed."""

    def __init__(self) -> None:
        self.state = State.HEAD
        self.call: OneCall | None = None
        self.error = 0  # the status that is owed instead
        self.expects = False  # a 100 is wanted before the body (RFC 9110, 10.1.1)
        self._parser: Any = httptools.HttpRequestParser(self)
        self._url = self._body = b""
        self._seen = 0
        self._hosts = 0

    @property
    def begun(self) -> bool:
        return self._seen > 0

    def feed(self, data: bytes) -> None:
        """Take bytes, however they are cut; nothing is read once the call is done."""
        if self.state is State.DONE:
            return
        if self.state is State.HEAD:
            self._seen += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # answered as the plain call that it also is
        except httptools.HttpParserError:
            self._fail(400)
        if self.state is State.HEAD and self._seen > HEAD_BYTES:
            self._fail(431)

    def _fail(self, status: int) -> None:
        if self.state is not State.DONE:
            self.state, self.error = State.DONE, status

    # ---- httptools

    def on_url(self, url: bytes) -> None:
        if self.state is not State.DONE:
            self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.state is not State.HEAD:
            return
        key = name.lower()
        if key == b"host":
            self._hosts += 1
        elif key == b"content-length" and value.isdigit() and (len(value) > 9 or int(value) > BODY_BYTES):
            self._fail(413)
        elif key == b"expect":
            self.expects = value.lower() == b"100-continue"

    def on_headers_complete(self) -> None:
        if self.state is State.DONE:
            return
        if self._hosts > 1:
            return self._fail(400)
        self.state = State.BODY

    def on_body(self, data: bytes) -> None:
        if self.state is not State.BODY:
            return
        self._body += data
        if len(self._body) > BODY_BYTES:
            self._fail(413)

    def on_message_complete(self) -> None:
        if self.state is not State.BODY:
            return
        self.state = State.DONE
        path = self._url.decode("latin-1").partition("?")[0]
        if path.startswith("http://"):  # absolute form (RFC 9112, 3.2.2)
            path = "/" + path[7:].partition("/")[2]
        self.call = OneCall(self._parser.get_method().decode("latin-1"), path, self._body)


def answer(status: int, body: str = "", head_only: bool = False) -> bytes:
    """The whole answer; its connection ends with it."""
    data = body.encode()
    head = (
        f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + (b"" if head_only else data)
