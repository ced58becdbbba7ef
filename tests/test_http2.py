"""Tests of HTTP/2 without I/O, with the library h2 as the peer and with peers that violate the protocol."""

from __future__ import annotations

import random
import struct
from typing import Any

import h2.config
import h2.connection
import h2.events
import hpack
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from quartzford.protocols.http2 import (
    PREFACE,
    ErrorCode,
    Flag,
    FrameType,
    ServerConnection,
    encode_frame,
    encode_header_block,
)

REQUEST_HEADERS = [(b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/p"), (b":authority", b"a")]
RESPONSE_HEADERS = encode_header_block(((b":status", b"200"), (b"x-long", b"v" * 300)))


class RecordedEvents:
    """Records the events of a connection."""

    def __init__(self) -> None:
        self.opened: dict[int, Any] = {}
        self.bodies: dict[int, bytes] = {}
        self.ended: list[int] = []
        self.resets: dict[int, int] = {}

    def headers(self, stream_id: int, headers: Any, end_stream: bool) -> None:
        assert stream_id not in self.opened
        self.opened[stream_id] = headers
        self.bodies[stream_id] = b""
        if end_stream:
            self.ended.append(stream_id)

    def data(self, stream_id: int, data: bytes, end_stream: bool) -> None:
        self.bodies[stream_id] += data
        if end_stream:
            self.ended.append(stream_id)

    def reset(self, stream_id: int, code: int) -> None:
        self.resets[stream_id] = code


class ClientAndServer:
    """The server under test and a client of h2, connected in memory."""

    def __init__(self, max_streams: int = 100) -> None:
        self.recorded = RecordedEvents()
        self.server = ServerConnection(self.recorded, max_streams)
        self.client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
        self.client.initiate_connection()
        self.events: list[Any] = []
        self.exchange()

    def exchange(self, piece_bytes: int = 0) -> None:
        """Transfer bytes in both directions until none are left.

        piece_bytes: the number of bytes passed to the server at a time, 0 for all.
        """
        while True:
            from_client = self.client.data_to_send()
            for at in range(0, len(from_client), piece_bytes or max(1, len(from_client))):
                self.server.receive(from_client[at : at + (piece_bytes or len(from_client))])
            from_server = self.server.take()
            if from_server:
                self.events += self.client.receive_data(from_server)
            if not from_client and not from_server:
                return

    def events_of(self, kind: type[Any]) -> list[Any]:
        """Return the client's events of one type."""
        return [e for e in self.events if isinstance(e, kind)]


@pytest.mark.parametrize("piece_bytes", [0, 1, 7])
def test_streams_with_h2_client_in_pieces_of_any_size(piece_bytes: int) -> None:
    pair = ClientAndServer()
    for number in range(30):
        stream_id = 2 * number + 1
        pair.client.send_headers(stream_id, [*REQUEST_HEADERS, (b"x-n", str(number // 10).encode())])
        pair.client.send_data(stream_id, b"up" * number, end_stream=True)
        pair.exchange(piece_bytes)
        assert pair.recorded.opened[stream_id][:4] == REQUEST_HEADERS
        assert pair.recorded.bodies[stream_id] == b"up" * number
        pair.server.send_headers(stream_id, RESPONSE_HEADERS)
        pair.server.send_data(stream_id, b"down" * number)
        pair.server.send_headers(stream_id, encode_header_block(((b"grpc-status", b"0"),)), end_stream=True)
        pair.exchange(piece_bytes)
    answers = pair.events_of(h2.events.ResponseReceived)
    assert len(answers) == 30 and dict(answers[0].headers)[b"x-long"] == b"v" * 300
    assert sum(len(e.data) for e in pair.events_of(h2.events.DataReceived)) == 4 * sum(range(30))
    assert len(pair.events_of(h2.events.StreamEnded)) == 30
    assert not pair.server.streams and not pair.server.failed


def test_block_cache_is_cleared_when_dynamic_table_changes() -> None:
    """Guards against stale cached blocks.

    A literal with indexing shifts the indices of the dynamic table, so the same bytes then mean other fields.
    """
    pair = ClientAndServer()
    rng = random.Random(5)
    expected = {}
    for number in range(400):
        stream_id = 2 * number + 1
        headers = [*REQUEST_HEADERS, (b"x-a", b"%d" % rng.randrange(3)), (b"x-b", b"%d" % rng.randrange(2))]
        if rng.random() < 0.05:
            headers.append((b"x-new", b"%d" % number))
        expected[stream_id] = headers
        pair.client.send_headers(stream_id, headers, end_stream=True)
        pair.exchange()
        pair.server.send_headers(stream_id, RESPONSE_HEADERS, end_stream=True)
    assert pair.recorded.opened == expected and pair.server.decoder.cache


def test_sending_stays_within_stream_and_connection_windows() -> None:
    pair = ClientAndServer()
    for stream_id in (1, 3):
        pair.client.send_headers(stream_id, REQUEST_HEADERS, end_stream=True)
    pair.exchange()
    body = random.Random(1).randbytes(300_000)
    for stream_id in (1, 3):
        pair.server.send_headers(stream_id, RESPONSE_HEADERS)
        pair.server.send_data(stream_id, body)
        pair.server.send_headers(stream_id, encode_header_block(((b"grpc-status", b"0"),)), end_stream=True)
    bodies = {1: b"", 3: b""}
    for _ in range(60):
        pair.events = []
        pair.exchange()
        for event in pair.events_of(h2.events.DataReceived):  # h2 raises an exception if a window is exceeded
            bodies[event.stream_id] += event.data
            pair.client.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
    assert bodies == {1: body, 3: body} and not pair.server.streams and not pair.server.sender.blocked


def test_window_reduced_below_sent_bytes_blocks_until_update() -> None:
    pair = ClientAndServer()
    pair.client.send_headers(1, REQUEST_HEADERS, end_stream=True)
    pair.exchange()
    pair.server.send_headers(1, RESPONSE_HEADERS)
    pair.server.send_data(1, b"x" * 40_000)
    pair.exchange()
    pair.client.update_settings({4: 1000})
    pair.exchange()
    assert pair.server.streams[1].window < 0
    pair.server.send_data(1, b"y" * 10, end_stream=True)
    pair.exchange()
    assert pair.server.streams and sum(len(e.data) for e in pair.events_of(h2.events.DataReceived)) == 40_000
    pair.client.increment_flow_control_window(60_000, 1)
    pair.exchange()
    assert not pair.server.streams


def test_upload_within_window_is_received_and_beyond_is_rejected() -> None:
    pair = ClientAndServer()
    pair.client.send_headers(1, REQUEST_HEADERS)
    sent = 0
    while sent < 1_000_000:
        size = min(pair.client.local_flow_control_window(1), 16_384)
        pair.client.send_data(1, b"u" * size)
        sent += size
        pair.exchange()
    assert len(pair.recorded.bodies[1]) == sent
    limited_server = connection_with_stream()
    limited_server.receive_window.remaining = 100
    limited_server.receive(encode_frame(FrameType.DATA, 0, 1, b"x" * 101))
    assert goaway_code(limited_server) == ErrorCode.FLOW_CONTROL_ERROR


def test_streams_over_limit_or_after_goaway_are_refused() -> None:
    recorded = RecordedEvents()
    server = ServerConnection(recorded, 2)
    server.receive(PREFACE + encode_frame(FrameType.SETTINGS, 0, 0))
    server.take()
    for stream_id in (1, 3, 5):
        server.receive(headers_frame(stream_id))
    assert sorted(recorded.opened) == [1, 3]
    assert server.take() == encode_frame(
        FrameType.RST_STREAM, 0, 5, struct.pack(">L", ErrorCode.REFUSED_STREAM)
    )
    server.go_away()
    assert server.take() == encode_frame(FrameType.GOAWAY, 0, 0, struct.pack(">LL", 5, 0))
    server.receive(encode_frame(FrameType.RST_STREAM, 0, 1, struct.pack(">L", ErrorCode.CANCEL)))
    assert recorded.resets == {1: ErrorCode.CANCEL}
    server.receive(headers_frame(7))
    assert 7 not in recorded.opened and server.take().startswith(b"\0\0\4\3")
    server.send_headers(3, RESPONSE_HEADERS, end_stream=True)  # open streams continue
    assert server.take() and not server.failed


# ---- peers that violate the protocol


def headers_frame(stream_id: int, flags: int = Flag.END_HEADERS, extra: bytes = b"") -> bytes:
    return encode_frame(FrameType.HEADERS, flags, stream_id, encode_header_block(REQUEST_HEADERS) + extra)


def connection_with_stream(max_streams: int = 10) -> ServerConnection:
    """Return a connection on which stream 1 is open."""
    server = ServerConnection(RecordedEvents(), max_streams)
    server.receive(PREFACE + encode_frame(FrameType.SETTINGS, 0, 0) + headers_frame(1))
    server.take()
    assert not server.failed
    return server


def goaway_code(server: ServerConnection) -> int:
    """Return the error code of the GOAWAY that ended the connection."""
    assert server.failed
    data = server.take()
    while data:
        size = int.from_bytes(data[:3], "big")
        if data[3] == FrameType.GOAWAY:
            return int.from_bytes(data[13:17], "big")
        data = data[9 + size :]
    raise AssertionError("no GOAWAY")


uint32 = struct.Struct(">L").pack
VIOLATIONS = [
    (encode_frame(FrameType.DATA, 0, 0, b"x"), ErrorCode.PROTOCOL_ERROR),
    (encode_frame(FrameType.DATA, 0, 2, b"x"), ErrorCode.PROTOCOL_ERROR),
    (encode_frame(FrameType.DATA, 0, 5, b"x"), ErrorCode.PROTOCOL_ERROR),
    (encode_frame(FrameType.DATA, Flag.PADDED, 1, b""), ErrorCode.PROTOCOL_ERROR),
    (encode_frame(FrameType.DATA, Flag.PADDED, 1, b"\x05abc"), ErrorCode.PROTOCOL_ERROR),
    (
        encode_frame(FrameType.DATA, 1, 1, b"x") + encode_frame(FrameType.DATA, 0, 1, b"y"),
        ErrorCode.STREAM_CLOSED,
    ),
    (headers_frame(2), ErrorCode.PROTOCOL_ERROR),
    (headers_frame(1), ErrorCode.PROTOCOL_ERROR),
    (
        encode_frame(FrameType.HEADERS, Flag.END_HEADERS | Flag.PRIORITY, 3, b"abc"),
        ErrorCode.FRAME_SIZE_ERROR,
    ),
    (
        encode_frame(FrameType.HEADERS, Flag.END_HEADERS, 3, b"\xff\xff\xff\xff\xff"),
        ErrorCode.COMPRESSION_ERROR,
    ),
    (encode_frame(FrameType.HEADERS, Flag.END_HEADERS, 3, b"\x80"), ErrorCode.COMPRESSION_ERROR),
    (headers_frame(3, 0) + encode_frame(FrameType.PING, 0, 0, b"12345678"), ErrorCode.PROTOCOL_ERROR),
    (
        headers_frame(3, 0) + encode_frame(FrameType.CONTINUATION, Flag.END_HEADERS, 5),
        ErrorCode.PROTOCOL_ERROR,
    ),
    (encode_frame(FrameType.CONTINUATION, Flag.END_HEADERS, 1), ErrorCode.PROTOCOL_ERROR),
    (headers_frame(3, 0) + encode_frame(FrameType.CONTINUATION, 0, 3) * 20_000, ErrorCode.ENHANCE_YOUR_CALM),
    (
        headers_frame(3, 0) + encode_frame(FrameType.CONTINUATION, 0, 3, b"x" * 16_000) * 6,
        ErrorCode.ENHANCE_YOUR_CALM,
    ),
    (encode_frame(FrameType.PUSH_PROMISE, 0, 1, b"x"), ErrorCode.PROTOCOL_ERROR),
    (encode_frame(FrameType.PRIORITY, 0, 0, b"12345"), ErrorCode.PROTOCOL_ERROR),
    (encode_frame(FrameType.SETTINGS, 0, 1), ErrorCode.FRAME_SIZE_ERROR),
    (encode_frame(FrameType.SETTINGS, 0, 0, b"12345"), ErrorCode.FRAME_SIZE_ERROR),
    (encode_frame(FrameType.SETTINGS, Flag.ACK, 0, b"123456"), ErrorCode.FRAME_SIZE_ERROR),
    (encode_frame(FrameType.SETTINGS, 0, 0, struct.pack(">HL", 4, 2**31)), ErrorCode.FLOW_CONTROL_ERROR),
    (encode_frame(FrameType.SETTINGS, 0, 0, struct.pack(">HL", 5, 100)), ErrorCode.PROTOCOL_ERROR),
    (encode_frame(FrameType.SETTINGS, 0, 0, struct.pack(">HL", 2, 7)), ErrorCode.PROTOCOL_ERROR),
    (encode_frame(FrameType.PING, 0, 0, b"1"), ErrorCode.FRAME_SIZE_ERROR),
    (encode_frame(FrameType.PING, 0, 1, b"12345678"), ErrorCode.FRAME_SIZE_ERROR),
    (encode_frame(FrameType.PING, 0, 0, b"12345678") * 20_000, ErrorCode.ENHANCE_YOUR_CALM),
    (encode_frame(FrameType.SETTINGS, 0, 0) * 20_000, ErrorCode.ENHANCE_YOUR_CALM),
    (encode_frame(FrameType.DATA, 0, 1) * 20_000, ErrorCode.ENHANCE_YOUR_CALM),
    (encode_frame(FrameType.WINDOW_UPDATE, 0, 0, b"1"), ErrorCode.FRAME_SIZE_ERROR),
    (encode_frame(FrameType.WINDOW_UPDATE, 0, 0, uint32(0)), ErrorCode.PROTOCOL_ERROR),
    (encode_frame(FrameType.WINDOW_UPDATE, 0, 0, uint32(2**31 - 1)), ErrorCode.FLOW_CONTROL_ERROR),
    (encode_frame(FrameType.WINDOW_UPDATE, 0, 9, uint32(1)), ErrorCode.PROTOCOL_ERROR),
    (encode_frame(FrameType.RST_STREAM, 0, 1, b"1"), ErrorCode.FRAME_SIZE_ERROR),
    (encode_frame(FrameType.RST_STREAM, 0, 0, uint32(8)), ErrorCode.PROTOCOL_ERROR),
    (encode_frame(FrameType.DATA, 0, 1, b"x" * 16_385), ErrorCode.FRAME_SIZE_ERROR),
]


@pytest.mark.parametrize(("data", "code"), VIOLATIONS, ids=[str(n) for n in range(len(VIOLATIONS))])
def test_protocol_violation_ends_with_goaway_code(data: bytes, code: int) -> None:
    server = connection_with_stream()
    server.receive(data)
    assert goaway_code(server) == code
    server.receive(headers_frame(9))
    assert not server.take()


@pytest.mark.parametrize("data", [b"GET / HTTP/1.1\r\n\r\n", b"PRI * HTTP/1.1\r\n", b"\x16\x03\x01"])
def test_other_protocol_is_rejected(data: bytes) -> None:
    server = ServerConnection(RecordedEvents(), 10)
    server.receive(data)
    assert goaway_code(server) == ErrorCode.PROTOCOL_ERROR


def test_stream_error_ends_only_that_stream() -> None:
    server = connection_with_stream()
    server.receive(encode_frame(FrameType.WINDOW_UPDATE, 0, 1, uint32(2**31 - 1)))
    assert not server.failed and 1 not in server.streams
    server.receive(
        encode_frame(FrameType.DATA, 0, 1, b"late")
        + encode_frame(FrameType.WINDOW_UPDATE, 0, 1, uint32(5))
        + headers_frame(3)
    )
    assert not server.failed and 3 in server.streams
    server.receive(encode_frame(99, 0, 0, b"unknown") + encode_frame(FrameType.PRIORITY, 0, 3, b"12345"))
    assert not server.failed


def test_header_list_over_limit_ends_connection() -> None:
    server = connection_with_stream()
    accepted_block = b"".join(
        hpack.Encoder().encode([(b"x-%d" % n, b"v" * 90)], huffman=False) for n in range(100)
    )
    large_block = encode_header_block([(b"x", b"v" * 4000)] * 4)
    server.receive(encode_frame(FrameType.HEADERS, Flag.END_HEADERS, 3, accepted_block))
    assert not server.failed
    for stream_id in (5, 7):
        server.receive(encode_frame(FrameType.HEADERS, Flag.END_HEADERS, stream_id, large_block))
    assert not server.failed
    indexed = hpack.Encoder()
    first_block = indexed.encode([(b"x-big", b"v" * 3000)], huffman=False)
    # 100 bytes that decode to 300 KB.
    repeated_block = indexed.encode([(b"x-big", b"v" * 3000)] * 100, huffman=False)
    server.receive(encode_frame(FrameType.HEADERS, Flag.END_HEADERS, 9, first_block))
    server.receive(encode_frame(FrameType.HEADERS, Flag.END_HEADERS, 11, repeated_block))
    assert goaway_code(server) == ErrorCode.ENHANCE_YOUR_CALM


@given(st.binary(max_size=400), st.integers(1, 50))
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True, database=None)
def test_random_bytes_raise_no_exception(data: bytes, piece_bytes: int) -> None:
    server = connection_with_stream()
    for at in range(0, len(data), piece_bytes):
        server.receive(data[at : at + piece_bytes])
    server.send_data(1, b"x" * 100_000, end_stream=True)
    server.take()


FRAMES = st.tuples(st.integers(0, 10), st.integers(0, 255), st.integers(0, 9), st.binary(max_size=20))


@given(st.lists(FRAMES, max_size=30))
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True, database=None)
def test_random_frames_raise_no_exception(frames: list[Any]) -> None:
    server = connection_with_stream()
    for kind, flags, stream_id, payload in frames:
        server.receive(encode_frame(kind, flags, stream_id, payload))
        server.send_data(stream_id, b"x" * 10, end_stream=bool(flags & 1))
    assert len(server.take()) < 2_000_000
