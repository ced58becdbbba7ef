"""Parser for the HTTP/1.1 requests of one client connection: bytes in, complete requests out. No I/O."""

from __future__ import annotations

from typing import Any, Protocol

import httptools

from quartzford.fronts.responses import BAD_REQUEST, CONTENT_TOO_LARGE, FIELDS_TOO_LARGE

MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024
FIELD_OVERHEAD_BYTES = 4  # per header field: colon, space, CR LF
HEALTH_PATH = b"/_health"

HOST = b"host"
CORRELATION_ID = b"x-correlation-id"
SERVICE_CLASS = b"x-service-class"
ACCOUNT = b"x-account"
TIME_LEFT = b"x-time-left"
REPEAT = b"x-repeat"
WEIGHT_HINT = b"x-weight-hint"
IDEMPOTENCY_KEY = b"idempotency-key"
COOKIE = b"cookie"
CONNECTION = b"connection"
TRANSFER_ENCODING = b"transfer-encoding"
EXPECT = b"expect"
CONTENT_LENGTH = b"content-length"

READ_FIELDS = frozenset(
    (
        HOST,
        CORRELATION_ID,
        SERVICE_CLASS,
        ACCOUNT,
        TIME_LEFT,
        REPEAT,
        WEIGHT_HINT,
        IDEMPOTENCY_KEY,
        COOKIE,
        CONNECTION,
        TRANSFER_ENCODING,
        EXPECT,
        CONTENT_LENGTH,
    )
)
# A request that repeats one of these is rejected: the upstream and this balancer might use different values.
SINGLE_FIELDS = frozenset((HOST, CORRELATION_ID))
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

    def head_expects_continue(self) -> None:
        """Called after a valid head with an Expect field: the client waits for a 100 response."""

    def upgrade_requested(self) -> None:
        """Called after a request for a protocol upgrade; no input after it can be parsed."""

    def body_received(self, size: int) -> None:
        """Called after `size` more bytes of the body were buffered."""

    def body_too_large(self) -> None:
        """Called when the body exceeds MAX_BODY_BYTES."""

    def request_completed(self) -> None:
        """Called after a complete valid request; the reader's attributes describe it until this returns."""


class RequestReader:
    """Parses consecutive requests.

    in_head, in_message: whether the next byte belongs to a head, and to a request that has begun. error:
    status code of the first error, 0 if there is none; after an error no request is completed. values: values
    of the fields that this balancer reads, by lower-case name. fields: the fields to forward. body_bytes:
    size of the buffered body. chunked: the body has chunked framing, so its length is not known in advance.
    """

    __slots__ = (
        "_sink",
        "_parser",
        "in_head",
        "in_message",
        "error",
        "head_bytes",
        "target",
        "fields",
        "values",
        "body",
        "body_bytes",
        "chunked",
    )

    def __init__(self, sink: RequestSink) -> None:
        self._sink = sink
        self._parser: Any = httptools.HttpRequestParser(self)
        self.in_head = False
        self.in_message = False
        self.error = 0
        self.head_bytes = 0
        self.target = b""
        self.fields: list[tuple[bytes, bytes]] = []
        self.values: dict[bytes, str] = {}
        self.body: bytes | bytearray = b""
        self.body_bytes = 0
        self.chunked = False

    def begin_message(self) -> None:
        """Prepare for the first byte of a request."""
        self.in_head = True
        self.in_message = True
        self.head_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes, which may end at any position within a request."""
        if self.in_head:
            self.head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._sink.upgrade_requested()
        except httptools.HttpParserError:
            self.fail(BAD_REQUEST)
        if self.in_head and self.in_message and self.head_bytes > MAX_HEAD_BYTES:
            self.fail(FIELDS_TOO_LARGE)

    def fail(self, status: int) -> None:
        """Record an error's status code, unless an earlier error is recorded."""
        self.error = self.error or status

    def release(self) -> None:
        """Break the reference cycles with parser and sink. `feed` must not be called afterwards."""
        self._parser = None
        del self._sink

    def drop_body(self) -> int:
        """Discard the buffered part of a body, and return its size in bytes."""
        size = self.body_bytes
        self.body = b""
        self.body_bytes = 0
        return size

    # ---- the current request

    @property
    def method(self) -> bytes:
        """The current request's method."""
        method: bytes = self._parser.get_method()
        return method

    @property
    def keep_alive(self) -> bool:
        """Whether the client wants the connection to stay open after the response."""
        keep_alive: bool = self._parser.should_keep_alive()
        return keep_alive

    @property
    def is_http_1_0(self) -> bool:
        """Whether the request's version is HTTP/1.0."""
        version: str = self._parser.get_http_version()
        return version == "1.0"

    @property
    def is_health_check(self) -> bool:
        """Whether the request is a health check of this balancer."""
        return self.target.partition(b"?")[0] == HEALTH_PATH

    @property
    def has_no_length(self) -> bool:
        """Whether the request has no body, no Content-Length and no chunked framing."""
        return not self.body_bytes and CONTENT_LENGTH not in self.values and not self.chunked

    @property
    def correlation_id(self) -> str:
        """The request's correlation ID."""
        return self.value(CORRELATION_ID).strip()

    def value(self, name: bytes) -> str:
        """Return the value of one of READ_FIELDS, "" if the request does not have it."""
        return self.values.get(name, "")

    def forwarded_fields(self) -> bytes:
        """Return the encoded fields for the upstream, without those that Connection names as hop-by-hop."""
        fields = self.fields
        connection = self.value(CONNECTION)
        if "," in connection or connection.lower() not in ("", "close", "keep-alive"):
            hop_by_hop = {option.strip().lower().encode("latin-1") for option in connection.split(",")}
            hop_by_hop -= ALWAYS_FORWARDED
            fields = [(name, value) for name, value in fields if name.lower() not in hop_by_hop]
        return b"".join([b"%b: %b\r\n" % field for field in fields])

    # ---- called by httptools

    def on_message_begin(self) -> None:
        """Reset the state of the request: its first byte has been read."""
        self.in_head = True
        self.in_message = True
        self.target = b""
        self.fields = []
        self.values = {}
        self.body = b""
        self.body_bytes = 0
        self.chunked = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a field for the upstream, for this balancer, or for both."""
        key = name.lower()
        if key in READ_FIELDS:
            if key in SINGLE_FIELDS and key in self.values:
                self.fail(BAD_REQUEST)
            self.values[key] = value.decode("latin-1")
        if key not in NOT_FORWARDED:
            self.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Validate the head."""
        self.in_head = False
        if self.method == b"CONNECT":
            self.fail(BAD_REQUEST)
        if self._head_size() > MAX_HEAD_BYTES:
            self.fail(FIELDS_TOO_LARGE)
        self._check_framing()
        if not self.correlation_id and not self.is_health_check:
            self.fail(BAD_REQUEST)  # upstreams reject requests without a correlation ID
        if EXPECT in self.values and not self.error:
            self._sink.head_expects_continue()

    def _head_size(self) -> int:
        fields = sum(len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in self.fields)
        return fields + len(self.target)

    def _check_framing(self) -> None:
        values = self.values
        if TRANSFER_ENCODING in values:
            self.chunked = True
            if values[TRANSFER_ENCODING].strip().lower() != "chunked" or CONTENT_LENGTH in values:
                self.fail(BAD_REQUEST)  # different parsers could find different ends of the body
        elif CONTENT_LENGTH in values and int(values[CONTENT_LENGTH]) > MAX_BODY_BYTES:
            self.fail(CONTENT_TOO_LARGE)

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        if self.error:
            return
        size = self.body_bytes + len(data)
        if size > MAX_BODY_BYTES:
            self.fail(CONTENT_TOO_LARGE)
            return self._sink.body_too_large()
        if not self.body_bytes:
            self.body = data
        else:
            if isinstance(self.body, bytes):
                self.body = bytearray(self.body)
            self.body += data
        self.body_bytes = size
        self._sink.body_received(len(data))

    def on_message_complete(self) -> None:
        """Report the request, unless it is invalid: its last byte has been read."""
        self.in_message = False
        self.head_bytes = 0
        if not self.error:
            self._sink.request_completed()
