"""HTTP/1.1 requests of one client connection, sans I/O: bytes in, complete requests out."""

from __future__ import annotations

from typing import Any, Protocol

import httptools

from quartzford.fronts.responses import BAD_REQUEST, CONTENT_TOO_LARGE, FIELDS_TOO_LARGE

MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024
FIELD_OVERHEAD_BYTES = 4  # of a header field: colon, space, line end
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
SINGLE_FIELDS = frozenset((HOST, CORRELATION_ID))  # of two, the next reader may take the other one
# Fields that are hop-by-hop, or that this balancer frames or counts anew for each attempt
NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect content-length"
    b" x-time-left".split()
)
# Whatever Connection names: without these an upstream would run a repeat that it should drop.
ALWAYS_FORWARDED = frozenset((HOST, CORRELATION_ID, IDEMPOTENCY_KEY))


class RequestSink(Protocol):
    """What is called as a request is read."""

    def head_expects_continue(self) -> None:
        """A head without an error is complete, and its client waits for a 100 response."""

    def upgrade_requested(self) -> None:
        """The request that was read requests another protocol; nothing after it can be read."""

    def body_received(self, size: int) -> None:
        """So many bytes of the body have been added to those that are held."""

    def body_refused(self) -> None:
        """The body is longer than MAX_BODY_BYTES."""

    def request_completed(self) -> None:
        """A request without an error is complete; the reader describes it until this returns."""


class RequestReader:
    """Reads one request after the other.

    in_head, in_message: where the next byte belongs. error: the status of the first error, 0 before; from
    then on no request is completed. values: the fields that this balancer reads, by lower-case name.
    fields: those that are forwarded. chunked: the body has no stated length.
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
        """The next byte is the first one of a request."""
        self.in_head = True
        self.in_message = True
        self.head_bytes = 0

    def feed(self, data: bytes) -> None:
        """Take bytes, however they are cut."""
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
        """What is read is no request; the first error counts."""
        self.error = self.error or status

    def release(self) -> None:
        """Break the reference cycles with parser and sink; nothing is fed any more."""
        self._parser = None
        del self._sink

    def drop_body(self) -> int:
        """Forget the part of a body that is held; how many bytes it had."""
        size = self.body_bytes
        self.body = b""
        self.body_bytes = 0
        return size

    # ---- the request that is read

    @property
    def method(self) -> bytes:
        """The request's method."""
        method: bytes = self._parser.get_method()
        return method

    @property
    def keep_alive(self) -> bool:
        """The client keeps the connection behind the response."""
        keep_alive: bool = self._parser.should_keep_alive()
        return keep_alive

    @property
    def is_http_1_0(self) -> bool:
        """The client speaks HTTP/1.0."""
        version: str = self._parser.get_http_version()
        return version == "1.0"

    @property
    def is_health_check(self) -> bool:
        """The request is for this balancer itself."""
        return self.target.partition(b"?")[0] == HEALTH_PATH

    @property
    def has_no_length(self) -> bool:
        """Neither a body nor a statement about its length came."""
        return not self.body_bytes and CONTENT_LENGTH not in self.values and not self.chunked

    def value(self, name: bytes) -> str:
        """The value of one of READ_FIELDS, "" where it is absent."""
        return self.values.get(name, "")

    def forwarded_fields(self) -> bytes:
        """The fields for the upstream, without those that Connection names as hop-by-hop."""
        fields = self.fields
        named = self.value(CONNECTION)
        if "," in named or named.lower() not in ("", "close", "keep-alive"):
            hop_by_hop = {part.strip().lower().encode("latin-1") for part in named.split(",")}
            hop_by_hop -= ALWAYS_FORWARDED
            fields = [(name, value) for name, value in fields if name.lower() not in hop_by_hop]
        return b"".join([b"%b: %b\r\n" % field for field in fields])

    # ---- callbacks of httptools

    def on_message_begin(self) -> None:
        """The first byte of a request has been read."""
        self.in_head = True
        self.in_message = True
        self.target = b""
        self.fields = []
        self.values = {}
        self.body = b""
        self.body_bytes = 0
        self.chunked = False

    def on_url(self, url: bytes) -> None:
        """A piece of the request's target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a field for the upstream, for the balancer, or for both."""
        key = name.lower()
        if key in READ_FIELDS:
            if key in SINGLE_FIELDS and key in self.values:
                self.fail(BAD_REQUEST)
            self.values[key] = value.decode("latin-1")
        if key not in NOT_FORWARDED:
            self.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head."""
        self.in_head = False
        if self.method == b"CONNECT":
            self.fail(BAD_REQUEST)
        if self._head_size() > MAX_HEAD_BYTES:
            self.fail(FIELDS_TOO_LARGE)
        self._check_framing()
        if not self.value(CORRELATION_ID).strip() and not self.is_health_check:
            self.fail(BAD_REQUEST)  # no upstream has a use for it
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
                self.fail(BAD_REQUEST)  # two readers could frame this in two ways
        elif CONTENT_LENGTH in values and int(values[CONTENT_LENGTH]) > MAX_BODY_BYTES:
            self.fail(CONTENT_TOO_LARGE)

    def on_body(self, data: bytes) -> None:
        """Hold a piece of the body."""
        if self.error:
            return
        size = self.body_bytes + len(data)
        if size > MAX_BODY_BYTES:
            self.fail(CONTENT_TOO_LARGE)
            return self._sink.body_refused()
        if not self.body_bytes:
            self.body = data
        else:
            if isinstance(self.body, bytes):
                self.body = bytearray(self.body)
            self.body += data
        self.body_bytes = size
        self._sink.body_received(len(data))

    def on_message_complete(self) -> None:
        """The last byte of a request has been read."""
        self.in_message = False
        self.head_bytes = 0
        if not self.error:
            self._sink.request_completed()
