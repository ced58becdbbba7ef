"""Parser of one HTTP/1.1 response of an upstream; does no I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import httptools

from quartzford.settings.header_values import read_report

STATUS_OK = 200
REQUEST_TIMEOUT = 408
TOO_MANY_REQUESTS = 429
UNPROCESSED_STATUSES = (503, 504)  # with X-Unprocessed: the request was rejected and did not run
MAX_HEAD_BYTES = 64 * 1024
# Hop-by-hop fields, and fields that the balancer generates or consumes itself
NOT_FORWARDED_FIELDS = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate te trailer transfer-encoding upgrade"
    b" content-length x-backend-load x-unprocessed".split()
)


class ResponseReader:
    """Reads one final response; skips interim responses (1xx).

    status: 0 until the head is complete. fields: header lines to forward. content_length: as stated, None if
    there is no such field. complete: the last byte was received.
    broken: the connection can't carry another request; if set before `complete`, the response is lost.
    """

    __slots__ = (
        "parser",
        "status",
        "fields",
        "report",
        "unprocessed",
        "content_length",
        "chunked",
        "head_bytes",
        "complete",
        "broken",
        "_report_names",
        "_body_received",
    )

    def __init__(self, report_names: tuple[str, ...], body_received: Callable[[bytes], None]) -> None:
        """report_names: of the values of a load report. body_received: called with each piece of the body."""
        self.parser: Any = httptools.HttpResponseParser(self)
        self.status = 0
        self.fields: list[bytes] = []
        self.report: tuple[float, ...] = ()
        self.unprocessed = False
        self.content_length: int | None = None
        self.chunked = False
        self.head_bytes = 0
        self.complete = False
        self.broken = False
        self._report_names = report_names
        self._body_received = body_received

    def feed(self, data: bytes) -> None:
        """Parse bytes, split at any place. Invalid HTTP, or bytes after the response, set `broken`."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.broken = True

    def head_is_too_long(self, size: int) -> bool:
        """Count `size` received bytes, if the head is incomplete; return whether the head is too long."""
        if not self.status:
            self.head_bytes += size
        return self.head_bytes > MAX_HEAD_BYTES

    def is_close_delimited(self) -> bool:
        """Return whether the body has no stated length, so that the closing of the connection ends it."""
        return bool(self.status) and self.content_length is None and not self.chunked and not self.broken

    def complete_on_close(self) -> None:
        """Complete the response: the upstream has closed the connection, which ends the body."""
        self.complete = True
        self.broken = True

    def is_rejection(self) -> bool:
        """Return whether the upstream states that it did not process the request."""
        return self.status in UNPROCESSED_STATUSES and self.unprocessed

    def faults_request(self) -> bool:
        """Return whether the upstream blames the request (4xx), not a time-out or a rate limit of its own."""
        return 400 <= self.status < 500 and self.status not in (REQUEST_TIMEOUT, TOO_MANY_REQUESTS)

    def release(self) -> None:
        """Break the reference cycle with the parser; `feed` must not be called any more."""
        self.parser = None

    # ---- callbacks of httptools

    def on_message_begin(self) -> None:
        """Mark the connection as broken if this is a second response."""
        self.broken = self.broken or self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a field to forward, or evaluate one that is meant for the balancer."""
        if self.complete:  # a field of a second response, received together with the first
            return
        self.head_bytes += len(name) + len(value)
        key = name.lower()
        if key not in NOT_FORWARDED_FIELDS:
            self.fields.append(b"%b: %b\r\n" % (name, value))
        elif key == b"content-length":
            self.content_length = int(value)
        elif key == b"transfer-encoding":
            self.chunked = True
        elif key == b"x-backend-load":
            self.report = read_report(value, self._report_names)
        elif key == b"x-unprocessed":
            self.unprocessed = value.strip() == b"1"

    def on_headers_complete(self) -> None:
        """Set the status of a final response, or discard the fields of an interim one."""
        status = self.parser.get_status_code()
        if status < STATUS_OK:
            self.fields = []
            self.content_length = None
            self.chunked = False
            return
        if self.complete or self.status:
            self.broken = True  # a second response
            return
        self.status = status
        if self.head_bytes > MAX_HEAD_BYTES:
            self.broken = True

    def on_body(self, data: bytes) -> None:
        """Pass a piece of the body to `body_received`."""
        if not self.complete:
            self._body_received(data)

    def on_message_complete(self) -> None:
        """Mark the final response as complete."""
        if self.status:
            # Call this here: after the message the parser no longer has the values of its head.
            self.broken = self.broken or not self.parser.should_keep_alive()
            self.complete = True
