"""The server's side of HTTP/2 (RFC 9113) without I/O, as much of it as gRPC needs, and lean.

Bytes go into receive(); what they say reaches the `Events` handed in; bytes to write come from take(). Header
blocks are decoded by the library hpack. Blocks to send are ready-made (`block`), so that nothing is kept for
encoding. Sources are sections of RFC 9113 unless said otherwise. Weighed against h2 and gRPC's own server in
docs/extproc.md.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Iterable
from typing import Any, Protocol

import hpack

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, PRIORITY, RST_STREAM, SETTINGS, PUSH_PROMISE, PING, GOAWAY, WINDOW_UPDATE, CONTINUATION = (
    range(10)
)
END_STREAM, ACK, END_HEADERS, PADDED, PRIORITIZED = 0x1, 0x1, 0x4, 0x8, 0x20
(
    NO_ERROR,
    PROTOCOL_ERROR,
    INTERNAL_ERROR,
    FLOW_CONTROL_ERROR,
    _,
    STREAM_CLOSED,
    FRAME_SIZE_ERROR,
    REFUSED_STREAM,
    CANCEL,
    COMPRESSION_ERROR,
    _,
    ENHANCE_YOUR_CALM,
) = range(12)
TABLE_SIZE, ENABLE_PUSH, STREAMS, INITIAL_WINDOW, FRAME_SIZE, LIST_SIZE = range(1, 7)
WINDOW, MOST_WINDOW, LEAST_FRAME, MOST_FRAME = 65_535, 2**31 - 1, 16_384, 2**24 - 1
OUR_WINDOW = 16 * 1024 * 1024  # of a connection; streams keep the protocol's own
BLOCK_BYTES = 80 * 1024  # a header block on the wire, with its continuations
HELD_BYTES = 4 * 1024 * 1024  # for a peer that reads nothing
QUIET_FRAMES = 10_000  # frames that carry nothing of a request, without any that does in between


class ProtocolError(Exception):
    """The peer broke the protocol: the connection ends with GOAWAY and this code (5.4.1)."""

    def __init__(self, code: int, why: str) -> None:
        super().__init__(why)
        self.code = code


class Events(Protocol):
    """What the peer says on streams. Called from within receive()."""

    def headers(self, stream: int, headers: list[tuple[bytes, bytes]], end: bool) -> None: ...

    def data(self, stream: int, data: bytes, end: bool) -> None: ...

    def reset(self, stream: int, code: int) -> None: ...


def block(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """A header block of literals that no table keeps (RFC 7541, 6.2.2): good on any connection."""
    return b"".join(b"\0" + _string(name) + _string(value) for name, value in headers)


def _string(text: bytes) -> bytes:
    if len(text) < 127:
        return bytes((len(text),)) + text
    rest, out = len(text) - 127, bytearray((127,))
    while rest >= 128:
        out.append(rest % 128 + 128)
        rest //= 128
    out.append(rest)
    return bytes(out) + text


def frame(kind: int, flags: int, stream: int, payload: bytes = b"") -> bytes:
    """One frame (4.1)."""
    size = len(payload)
    return struct.pack(">BHBBL", size >> 16, size & 0xFFFF, kind, flags, stream) + payload


class Outgoing:
    """A stream's side of what we send."""

    __slots__ = ("window", "queue", "ended", "closed_there")

    def __init__(self, window: int) -> None:
        self.window = window
        self.queue: deque[tuple[int, bytes, bool]] = deque()  # kind, payload, end: held back by flow control
        self.ended = False  # our last frame has been written
        self.closed_there = False  # the peer has sent its last one


class ServerConnection:
    """One connection. Streams live until both sides have ended them, or either has reset them."""

    def __init__(self, events: Events, most_streams: int, list_bytes: int = 64 * 1024) -> None:
        self.events, self.most_streams = events, most_streams
        self.streams: dict[int, Outgoing] = {}
        self.last = 0  # the highest stream that the peer opened
        self.going = False  # GOAWAY was sent: nothing new is taken
        self.over = False
        self.greeted = False
        self.buffer = b""
        self.out: list[bytes] = []
        self.out_bytes = 0
        self.window = WINDOW  # what we may send
        self.there = WINDOW  # what the peer may send
        self.stream_window, self.frame_bytes = WINDOW, LEAST_FRAME
        self.blocked: dict[int, None] = {}  # streams that wait for a window, in order
        self.decoder: Any = hpack.Decoder(max_header_list_size=list_bytes)
        self.cache: dict[bytes, list[tuple[bytes, bytes]]] = {}
        self.pending: tuple[int, bool, list[bytes], int] | None = None  # a header block that goes on
        self.quiet = 0
        self._write(
            frame(SETTINGS, 0, 0, struct.pack(">HLHL", STREAMS, most_streams, LIST_SIZE, list_bytes))
            + frame(WINDOW_UPDATE, 0, 0, struct.pack(">L", OUR_WINDOW - WINDOW))
        )
        self.there = OUR_WINDOW

    # ---- bytes

    def take(self) -> bytes:
        """What is to be written now."""
        data, self.out = b"".join(self.out), []
        self.out_bytes = 0
        return data

    def _write(self, data: bytes) -> None:
        self.out.append(data)
        self.out_bytes += len(data)

    def receive(self, data: bytes) -> None:
        """Bytes from the peer. After an error `over` is set, and GOAWAY is among what take() gives."""
        if self.over:
            return
        try:
            self._receive(data)
        except ProtocolError as error:
            self.over = True
            self._write(frame(GOAWAY, 0, 0, struct.pack(">LL", self.last, error.code) + str(error).encode()))

    def _receive(self, data: bytes) -> None:
        buffer = self.buffer + data if self.buffer else data
        if not self.greeted:
            if not PREFACE.startswith(buffer[: len(PREFACE)]):
                raise ProtocolError(PROTOCOL_ERROR, "no HTTP/2 preface")  # 3.4
            if len(buffer) < len(PREFACE):
                self.buffer = buffer
                return
            self.greeted, buffer = True, buffer[len(PREFACE) :]
        at, size = 0, len(buffer)
        while size - at >= 9 and not self.over:
            length = int.from_bytes(buffer[at : at + 3], "big")
            if length > LEAST_FRAME:
                raise ProtocolError(FRAME_SIZE_ERROR, "a frame over 16,384 bytes")
            end = at + 9 + length
            if end > size:
                break
            stream = int.from_bytes(buffer[at + 5 : at + 9], "big") & MOST_WINDOW
            self._frame(buffer[at + 3], buffer[at + 4], stream, buffer[at + 9 : end])
            at = end
        self.buffer = buffer[at:]

    # ---- frames

    def _frame(self, kind: int, flags: int, stream: int, payload: bytes) -> None:
        if self.pending is not None and (kind != CONTINUATION or stream != self.pending[0]):
            raise ProtocolError(PROTOCOL_ERROR, "a header block was left unfinished")  # 6.10
        if kind == DATA:
            self._data(flags, stream, payload)
        elif kind == HEADERS:
            self._headers(flags, stream, payload)
        elif kind == CONTINUATION:
            self._continuation(flags, payload)
        elif kind == PUSH_PROMISE:
            raise ProtocolError(PROTOCOL_ERROR, "a client pushes")  # 8.4
        else:
            # 10.5: what costs the peer nothing and carries nothing must not go on for ever.
            self.quiet += 1
            if self.quiet > QUIET_FRAMES:
                raise ProtocolError(ENHANCE_YOUR_CALM, "nothing but control frames")
            if kind == WINDOW_UPDATE:
                self._window_update(stream, payload)
            elif kind == RST_STREAM:
                self._reset(stream, payload)
            elif kind == SETTINGS:
                self._settings(flags, stream, payload)
            elif kind == PING:
                self._ping(flags, stream, payload)
            elif kind == PRIORITY and stream == 0:
                raise ProtocolError(PROTOCOL_ERROR, "PRIORITY of the connection")

    @staticmethod
    def _unpadded(flags: int, payload: bytes) -> bytes:
        if not flags & PADDED:
            return payload
        if not payload or payload[0] >= len(payload):
            raise ProtocolError(PROTOCOL_ERROR, "more padding than frame")  # 6.1
        return payload[1 : len(payload) - payload[0]]

    def _data(self, flags: int, stream: int, payload: bytes) -> None:
        self._opened(stream)
        self.there -= len(payload)
        if self.there < 0:
            raise ProtocolError(FLOW_CONTROL_ERROR, "over the connection's window")
        if self.there < OUR_WINDOW // 2:
            self._write(frame(WINDOW_UPDATE, 0, 0, struct.pack(">L", OUR_WINDOW - self.there)))
            self.there = OUR_WINDOW
        out = self.streams.get(stream)
        if out is None:
            return  # of a stream that has ended: it may have crossed our word (5.1)
        if out.closed_there:
            raise ProtocolError(STREAM_CLOSED, "DATA after END_STREAM")
        size, end = len(payload), bool(flags & END_STREAM)
        payload = self._unpadded(flags, payload)
        if size and not end:  # given back at once: what a stream may hold, its reader bounds
            self._write(frame(WINDOW_UPDATE, 0, stream, struct.pack(">L", size)))
        if not payload and not end:
            self.quiet += 1
            if self.quiet > QUIET_FRAMES:
                raise ProtocolError(ENHANCE_YOUR_CALM, "nothing but empty frames")
            return
        self.quiet = 0
        self._closes(stream, out, end)
        self.events.data(stream, payload, end)

    def _closes(self, stream: int, out: Outgoing, end: bool) -> None:
        if end:
            out.closed_there = True
            if out.ended:
                del self.streams[stream]

    def _opened(self, stream: int) -> None:
        if stream == 0 or stream > self.last or not stream % 2:
            raise ProtocolError(PROTOCOL_ERROR, "a frame of a stream that is not open")  # 5.1

    def _headers(self, flags: int, stream: int, payload: bytes) -> None:
        if not stream % 2:
            raise ProtocolError(PROTOCOL_ERROR, "a stream that no client may open")  # 5.1.1
        payload = self._unpadded(flags, payload)
        if flags & PRIORITIZED:
            if len(payload) < 5:
                raise ProtocolError(FRAME_SIZE_ERROR, "HEADERS too short")
            payload = payload[5:]
        if flags & END_HEADERS:
            return self._block(stream, payload, bool(flags & END_STREAM))
        self.pending = (stream, bool(flags & END_STREAM), [payload], len(payload))

    def _continuation(self, flags: int, payload: bytes) -> None:
        if self.pending is None:
            raise ProtocolError(PROTOCOL_ERROR, "CONTINUATION of nothing")
        stream, end, parts, size = self.pending
        size += len(payload) + 9  # an empty one counts too
        if size > BLOCK_BYTES:
            raise ProtocolError(ENHANCE_YOUR_CALM, "a header block without end")
        parts.append(payload)
        self.pending = (stream, end, parts, size)
        if flags & END_HEADERS:
            self.pending = None
            self._block(stream, b"".join(parts), end)

    def _block(self, stream: int, payload: bytes, end: bool) -> None:
        headers = self._decode(payload)  # in any case: the table is the connection's (4.3)
        out = self.streams.get(stream)
        if out is not None:  # trailers
            if out.closed_there or not end:
                raise ProtocolError(PROTOCOL_ERROR, "headers in the middle of a stream")
            self._closes(stream, out, True)
            return self.events.data(stream, b"", True)
        if stream <= self.last:
            return  # of a stream that has ended
        self.quiet = 0
        self.last = stream
        if self.going or len(self.streams) >= self.most_streams:
            return self._write(frame(RST_STREAM, 0, stream, struct.pack(">L", REFUSED_STREAM)))
        self.streams[stream] = out = Outgoing(self.stream_window)
        out.closed_there = end
        self.events.headers(stream, headers, end)

    def _decode(self, payload: bytes) -> list[tuple[bytes, bytes]]:
        known = self.cache.get(payload)
        if known is not None:
            return known
        try:
            headers = [(bytes(n), bytes(v)) for n, v in self.decoder.decode(payload, raw=True)]
        except hpack.OversizedHeaderListError:
            raise ProtocolError(ENHANCE_YOUR_CALM, "a header list over the bound") from None
        except hpack.HPACKError as error:
            raise ProtocolError(COMPRESSION_ERROR, type(error).__name__) from None
        # Indexed fields alone (RFC 7541, 6.1) neither read nor change more than the table: as long as that
        # stays as it is, the same bytes mean the same. Anything else may have changed it.
        if all(byte >= 0x80 for byte in payload) and 0xFF not in payload:
            if len(self.cache) < 256:
                self.cache[payload] = headers
        else:
            self.cache.clear()
        return headers

    def _window_update(self, stream: int, payload: bytes) -> None:
        if len(payload) != 4:
            raise ProtocolError(FRAME_SIZE_ERROR, "WINDOW_UPDATE is not 4 bytes")
        more = int.from_bytes(payload, "big") & MOST_WINDOW
        if stream == 0:
            self.window += more
            if not more or self.window > MOST_WINDOW:
                raise ProtocolError(FLOW_CONTROL_ERROR if more else PROTOCOL_ERROR, "a window out of bounds")
            return self._unblock()
        self._opened(stream)
        out = self.streams.get(stream)
        if out is None:
            return
        out.window += more
        if not more or out.window > MOST_WINDOW:
            self.reset(stream, FLOW_CONTROL_ERROR if more else PROTOCOL_ERROR)
            return self.events.reset(stream, FLOW_CONTROL_ERROR)
        if out.queue:
            self._drain(stream, out)

    def _reset(self, stream: int, payload: bytes) -> None:
        if len(payload) != 4:
            raise ProtocolError(FRAME_SIZE_ERROR, "RST_STREAM is not 4 bytes")
        self._opened(stream)
        if self.streams.pop(stream, None) is not None:
            self.blocked.pop(stream, None)
            self.events.reset(stream, int.from_bytes(payload, "big"))

    def _settings(self, flags: int, stream: int, payload: bytes) -> None:
        if stream or len(payload) % 6 or (flags & ACK and payload):
            raise ProtocolError(FRAME_SIZE_ERROR, "SETTINGS of a wrong form")  # 6.5
        if flags & ACK:
            return
        for key, value in struct.iter_unpack(">HL", payload):
            if key == INITIAL_WINDOW:
                if value > MOST_WINDOW:
                    raise ProtocolError(FLOW_CONTROL_ERROR, "a window out of bounds")
                change, self.stream_window = value - self.stream_window, value
                for out in self.streams.values():  # 6.9.2: it may go below 0
                    out.window += change
            elif key == FRAME_SIZE:
                if not LEAST_FRAME <= value <= MOST_FRAME:
                    raise ProtocolError(PROTOCOL_ERROR, "a frame size out of bounds")
                self.frame_bytes = value
            elif key == ENABLE_PUSH and value > 1:
                raise ProtocolError(PROTOCOL_ERROR, "ENABLE_PUSH is neither 0 nor 1")
        self._write(frame(SETTINGS, ACK, 0))
        self._unblock()

    def _ping(self, flags: int, stream: int, payload: bytes) -> None:
        if stream or len(payload) != 8:
            raise ProtocolError(FRAME_SIZE_ERROR, "PING of a wrong form")
        if not flags & ACK:
            self._write(frame(PING, ACK, 0, payload))

    # ---- what we send

    def send_headers(self, stream: int, header_block: bytes, end: bool = False) -> None:
        """A ready-made block (16 KiB at most); behind data that waits for its window, it waits too."""
        out = self.streams.get(stream)
        if out is None or out.ended:
            return
        if out.queue:
            out.queue.append((HEADERS, header_block, end))
            return
        self._put_headers(stream, out, header_block, end)

    def send_data(self, stream: int, data: bytes, end: bool = False) -> None:
        """Data, held back as far as the peer's windows ask for it (6.9)."""
        out = self.streams.get(stream)
        if out is None or out.ended:
            return
        if not out.queue and len(data) <= min(out.window, self.window, self.frame_bytes):
            out.window -= len(data)
            self.window -= len(data)
            self._write(frame(DATA, END_STREAM if end else 0, stream, data))
            return self._sent(stream, out, end)
        out.queue.append((DATA, data, end))
        self._drain(stream, out)

    def _put_headers(self, stream: int, out: Outgoing, header_block: bytes, end: bool) -> None:
        self._write(frame(HEADERS, END_HEADERS | (END_STREAM if end else 0), stream, header_block))
        self._sent(stream, out, end)

    def _sent(self, stream: int, out: Outgoing, end: bool) -> None:
        if end:
            out.ended = True
            if out.closed_there:
                del self.streams[stream]

    def _drain(self, stream: int, out: Outgoing) -> None:
        while out.queue:
            kind, payload, end = out.queue[0]
            if kind == HEADERS:
                out.queue.popleft()
                self._put_headers(stream, out, payload, end)
                continue
            room = min(out.window, self.window, self.frame_bytes)
            if payload and room <= 0:
                self.blocked[stream] = None
                return
            now, rest = payload[:room], payload[room:]
            out.window -= len(now)
            self.window -= len(now)
            self._write(frame(DATA, END_STREAM if end and not rest else 0, stream, now))
            if rest:
                out.queue[0] = (kind, rest, end)
            else:
                out.queue.popleft()
                self._sent(stream, out, end)
        self.blocked.pop(stream, None)

    def _unblock(self) -> None:
        for stream in list(self.blocked):
            out = self.streams.get(stream)
            if out is None:
                del self.blocked[stream]
            elif self.window > 0:
                self._drain(stream, out)

    def reset(self, stream: int, code: int) -> None:
        """End a stream at once."""
        if self.streams.pop(stream, None) is not None:
            self.blocked.pop(stream, None)
            self._write(frame(RST_STREAM, 0, stream, struct.pack(">L", code)))

    def go_away(self) -> None:
        """Take nothing new; what is open goes on (6.8)."""
        if not self.going and not self.over:
            self.going = True
            self._write(frame(GOAWAY, 0, 0, struct.pack(">LL", self.last, NO_ERROR)))
