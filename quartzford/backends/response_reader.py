"""One HTTP/1.1 response of an upstream, sans I/O: bytes in, its head and its state out."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import httptools

from quartzford.settings.header_values import read_report

SERVED = 200
REQUEST_TIMEOUT = 408
TOO_MANY_REQUESTS = 429
UNPROCESSED_STATUSES = (503, 504)  # with X-Unprocessed: the request was rejected and has not run
MAX_HEAD_BYTES = 64 * 1024
# Hop-by-hop fields, and those that are framed or consumed here
NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate te trailer transfer-encoding upgrade"
    b" content-length x-backend-load x-unprocessed".split()
)


class ResponseReader:
    """Reads one final response; interim ones (1xx) are skipped.

    status: 0 until the head is complete. length: as stated by Content-Length, None if it is not.
    complete: the last byte has come.
    broken: the connection can't carry another request; before `complete`, the response is lost.
    """

    __slots__ = (
        "parser",
        "status",
        "fields",
        "report",
        "unprocessed",
        "length",
        "chunked",
        "head_bytes",
        "complete",
        "broken",
        "_report_names",
        "_body_received",
    )

    def __init__(self, report_names: tuple[str, ...], body_received: Callable[[bytes], None]) -> None:
        """report_names: of the figures in a load report. body_received: gets each piece of the body."""
        self.parser: Any = httptools.HttpResponseParser(self)
        self.status = 0
        self.fields: list[bytes] = []
        self.report: tuple[float, ...] = ()
        self.unprocessed = False
        self.length: int | None = None
        self.chunked = False
        self.head_bytes = 0
        self.complete = False
        self.broken = False
        self._report_names = report_names
        self._body_received = body_received

    def feed(self, data: bytes) -> None:
        """Take bytes, however they are cut; what is no HTTP, or follows the response, sets `broken`."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.broken = True

    def head_is_too_long(self, size: int) -> bool:
        """Count `size` bytes that came, if they are of the head; whether that makes it too long."""
        if not self.status:
            self.head_bytes += size
        return self.head_bytes > MAX_HEAD_BYTES

    def ends_with_connection(self) -> bool:
        """The body has no stated length: it ends as the upstream closes the connection."""
        return bool(self.status) and self.length is None and not self.chunked and not self.broken

    def end_with_connection(self) -> None:
        """The upstream has closed the connection, which ends the body."""
        self.complete = True
        self.broken = True

    def is_rejection(self) -> bool:
        """The upstream says that it has not processed the request."""
        return self.status in UNPROCESSED_STATUSES and self.unprocessed

    def faults_request(self) -> bool:
        """The upstream blames the request, and neither a time-out nor a rate limit of its own."""
        return 400 <= self.status < 500 and self.status not in (REQUEST_TIMEOUT, TOO_MANY_REQUESTS)

    def release(self) -> None:
        """Break the reference cycle with the parser; nothing is fed any more."""
        self.parser = None

    # ---- callbacks of httptools

    def on_message_begin(self) -> None:
        """A second response on this connection makes it unusable."""
        self.broken = self.broken or self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a field that is forwarded, consume one that is meant for the balancer."""
        if self.complete:  # of a second response, right behind the first
            return
        self.head_bytes += len(name) + len(value)
        key = name.lower()
        if key not in NOT_FORWARDED:
            self.fields.append(b"%b: %b\r\n" % (name, value))
        elif key == b"content-length":
            self.length = int(value)
        elif key == b"transfer-encoding":
            self.chunked = True
        elif key == b"x-backend-load":
            self.report = read_report(value, self._report_names)
        elif key == b"x-unprocessed":
            self.unprocessed = value.strip() == b"1"

    def on_headers_complete(self) -> None:
        """Take the status of a final response, forget the fields of an interim one."""
        status = self.parser.get_status_code()
        if status < SERVED:
            self.fields = []
            self.length = None
            self.chunked = False
            return
        if self.complete or self.status:
            self.broken = True  # a second response
            return
        self.status = status
        if self.head_bytes > MAX_HEAD_BYTES:
            self.broken = True

    def on_body(self, data: bytes) -> None:
        """Pass a piece of the body on."""
        if not self.complete:
            self._body_received(data)

    def on_message_complete(self) -> None:
        """The end of the final response."""
        if self.status:
            # Read now: behind the message the parser has forgotten what its head said.
            self.broken = self.broken or not self.parser.should_keep_alive()
            self.complete = True
