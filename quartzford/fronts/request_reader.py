"""Parser for the HTTP/1.1 requests of one client connection: bytes in, complete requests out. No I/O."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Any, Protocol

import httptools

from quartzford.engine import EMPTY_BODY, Body
from quartzford.fronts.request_soundness import (
    CONTENT_LENGTH,
    CORRELATION_ID,
    HOST,
    IDEMPOTENCY_KEY,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    SINGLE_FIELDS,
    TRANSFER_ENCODING,
    RequestHead,
    first_fault,
    is_health_check,
    time_left_ms,
)
from quartzford.fronts.responses import BAD_REQUEST, CONTENT_TOO_LARGE, FIELDS_TOO_LARGE

FIELD_OVERHEAD_BYTES = 4  # per header field: colon, space, CR LF
FIELD_SPACE = " \t"
HEAD_COPIES = 2  # a field may be held twice: to be forwarded, and as a value that the balancer uses

COOKIE = b"cookie"
CONNECTION = b"connection"
EXPECT = b"expect"

READ_FIELDS = SINGLE_FIELDS | {COOKIE, CONNECTION, TRANSFER_ENCODING, EXPECT, CONTENT_LENGTH}
# Hop-by-hop fields, and fields that this balancer sets itself for each attempt (framing, time left)
NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect content-length"
    b" x-time-left".split()
)
# Forwarded even if the Connection field names them: without them, an upstream would execute a repeated
# request that it should drop as a duplicate.
ALWAYS_FORWARDED = frozenset((HOST, CORRELATION_ID, IDEMPOTENCY_KEY))


class RequestSink(Protocol):
    """Receives the events of a RequestReader."""

    @property
    def service_classes(self) -> Collection[str]:
        """The service classes of the settings in force."""

    def head_expects_continue(self) -> None:
        """Called after a valid head with an Expect field: the client waits for a 100 response."""

    def upgrade_requested(self) -> None:
        """Called after a request for a protocol upgrade; no input after it can be parsed."""

    def request_completed(self) -> None:
        """Called after a complete valid request; the reader's attributes describe it until this returns."""


class FieldsTooLargeError(Exception):
    """Raised from a callback of the parser, so that it parses no more of the bytes that it was given."""


class RequestReader:
    """Parses consecutive requests.

    in_head, in_message: whether the next byte belongs to a head, and to a request that has begun. error:
    status code of the first error, 0 if there is none; after an error nothing is parsed. values: values
    of the fields that this balancer reads, by lower-case name. fields: the encoded fields to forward.
    fields_bytes: size of all fields, of the head and of a trailer section. bytes_without_body: read of the
    request since its first byte or the last byte of its body. chunked: the body has chunked framing, so its
    length is not known in advance. time_left_ms: that the request states. units: number of requests, fields
    and pieces of bodies that were parsed.
    """

    __slots__ = (
        "_sink",
        "_parser",
        "in_head",
        "in_message",
        "error",
        "bytes_without_body",
        "method",
        "version",
        "time_left_ms",
        "has_repeated_field",
        "target",
        "fields",
        "fields_bytes",
        "values",
        "correlation_id",
        "body",
        "chunked",
        "units",
    )

    def __init__(self, sink: RequestSink) -> None:
        self._sink = sink
        self._parser: Any = httptools.HttpRequestParser(self)
        self.in_head = False
        self.in_message = False
        self.error = 0
        self.bytes_without_body = 0
        self.method = b""
        self.version = ""
        self.time_left_ms = 0.0
        self.has_repeated_field = False
        self.target = b""
        self.fields = bytearray()
        self.fields_bytes = 0
        self.values: dict[bytes, str] = {}
        self.correlation_id = ""
        self.body = EMPTY_BODY
        self.chunked = False
        self.units = 0

    def begin_message(self) -> None:
        """Prepare for the first byte of a request."""
        self.in_head = True
        self.in_message = True
        self.bytes_without_body = 0

    @property
    def held_bytes(self) -> int:
        """The bytes that are held of the request that is being read."""
        return HEAD_COPIES * (self.fields_bytes + len(self.target)) + self.body.size

    def missing_body_bytes(self) -> float:
        """Return how many bytes of the body are still to be read; infinity if its length is not known."""
        length = self.values.get(CONTENT_LENGTH)
        if self.in_head or length is None:
            return math.inf
        return int(length) - self.body.size

    def feed(self, data: bytes) -> None:
        """Parse bytes, which may end at any position within a request; drop them after an error."""
        if self.error:
            return
        self.bytes_without_body += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._sink.upgrade_requested()
        except httptools.HttpParserError:
            self.fail(BAD_REQUEST)
        if self.in_message and self.bytes_without_body > MAX_HEAD_BYTES:
            self.fail(FIELDS_TOO_LARGE)

    def fail(self, status: int) -> None:
        """Record an error's status code, unless an earlier one is recorded, and drop what is forwarded."""
        self.error = self.error or status
        self.fields = bytearray()
        self.fields_bytes = 0
        self.body = EMPTY_BODY

    def drop_request(self) -> None:
        """Discard what is held of the current request."""
        self.fields = bytearray()
        self.fields_bytes = 0
        self.target = b""
        self.values = {}
        self.body = EMPTY_BODY

    def release(self) -> None:
        """Break the reference cycles with parser and sink. `feed` must not be called afterwards."""
        self._parser = None
        del self._sink

    # ---- the current request

    @property
    def keep_alive(self) -> bool:
        """Whether the client wants the connection to stay open after the response."""
        keep_alive: bool = self._parser.should_keep_alive()
        return keep_alive

    @property
    def is_http_1_0(self) -> bool:
        """Whether the request's version is HTTP/1.0."""
        return self.version == "1.0"

    @property
    def is_health_check(self) -> bool:
        """Whether the request is a health check of this balancer."""
        return is_health_check(self.target)

    @property
    def has_no_length(self) -> bool:
        """Whether the request has no body, no Content-Length and no chunked framing."""
        return not self.body.size and CONTENT_LENGTH not in self.values and not self.chunked

    def value(self, name: bytes) -> str:
        """Return the value of one of READ_FIELDS, "" if the request does not have it."""
        return self.values.get(name, "")

    def forwarded_fields(self) -> bytes:
        """Return the encoded fields for the upstream, without those that Connection names as hop-by-hop."""
        fields = bytes(self.fields)
        connection = self.value(CONNECTION)
        if "," in connection or connection.lower() not in ("", "close", "keep-alive"):
            hop_by_hop = {option.strip().lower().encode("latin-1") for option in connection.split(",")}
            hop_by_hop -= ALWAYS_FORWARDED
            lines = fields.splitlines(keepends=True)
            return b"".join([line for line in lines if line.partition(b":")[0].lower() not in hop_by_hop])
        return fields

    # ---- called by httptools

    def on_message_begin(self) -> None:
        """Note that the first byte of a request has been read; nothing is held of the one before."""
        self.in_head = True
        self.in_message = True
        self.chunked = False
        self.has_repeated_field = False
        self.units += 1

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a field for the upstream, for this balancer, or for both; also one of a trailer section."""
        self.units += 1
        self.fields_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self.fields_bytes > MAX_HEAD_BYTES:
            self.fail(FIELDS_TOO_LARGE)
            raise FieldsTooLargeError
        key = name.lower()
        if key in READ_FIELDS:
            if not self.in_head:  # a trailer section must not change what was decided by the head
                return self.fail(BAD_REQUEST)
            if key in self.values and key in SINGLE_FIELDS:
                self.has_repeated_field = True
            self.values[key] = value.decode("latin-1").strip(FIELD_SPACE)
        if key not in NOT_FORWARDED:
            self.fields += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        """Check the head, before anything is decided on the request."""
        self.in_head = False
        self.method = self._parser.get_method()
        self.version = self._parser.get_http_version()
        self.chunked = TRANSFER_ENCODING in self.values
        self.time_left_ms = time_left_ms(self.values)
        size = self.fields_bytes + len(self.target)
        head = RequestHead(
            self.method,
            self.target,
            self.version,
            self.values,
            self.has_repeated_field,
            size,
            self.time_left_ms,
            self._sink.service_classes,
        )
        fault = first_fault(head)
        if fault:
            self.fail(fault)
        self.correlation_id = self.value(CORRELATION_ID)
        if EXPECT in self.values and not self.error:
            self._sink.head_expects_continue()

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        self.units += 1
        self.bytes_without_body = 0
        if self.error:
            return
        if self.body.size + len(data) > MAX_BODY_BYTES:
            self.fail(CONTENT_TOO_LARGE)
            return
        if self.body is EMPTY_BODY:
            self.body = Body()
        self.body.add(data)

    def on_message_complete(self) -> None:
        """Report the request, unless it is invalid: its last byte has been read."""
        self.in_message = False
        self.bytes_without_body = 0
        if not self.error:
            self._sink.request_completed()
        if not self.error:
            self.drop_request()
