"""The server side of an HTTP/2 connection (RFC 9113) without I/O.

The caller passes received bytes to receive(), which calls methods of `Events`, and writes the bytes that
take() returns. Section numbers in this file refer to RFC 9113.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar, Protocol

from quartzford.protocols.http2.flow_control import (
    RECEIVE_WINDOW_BYTES,
    OutputBuffer,
    ReceiveWindow,
    Sender,
    Stream,
)
from quartzford.protocols.http2.frames import (
    DEFAULT_FRAME_BYTES,
    DEFAULT_WINDOW_BYTES,
    FRAME_HEADER_BYTES,
    MAX_FRAME_BYTES,
    MAX_WINDOW_BYTES,
    PING_BYTES,
    PREFACE,
    SETTINGS_ACK,
    ErrorCode,
    Flag,
    Frame,
    FrameType,
    ProtocolError,
    Setting,
    encode_frame,
    encode_goaway,
    encode_rst_stream,
    encode_settings,
    encode_window_update,
    read_frame,
)
from quartzford.protocols.http2.header_blocks import HeaderBlockDecoder, Headers, PartialHeaderBlock

DEFAULT_MAX_HEADER_LIST_BYTES = 64 * 1024
# The owner aborts the connection of a peer that leaves more bytes than this unread.
MAX_UNSENT_BYTES = 4 * 1024 * 1024
MAX_IDLE_FRAMES = 10_000  # consecutive frames without request content
REQUEST_FRAMES = frozenset(
    {FrameType.DATA, FrameType.HEADERS, FrameType.CONTINUATION, FrameType.PUSH_PROMISE}
)


class Events(Protocol):
    """Receives what the peer sends on streams. The methods are called from within receive()."""

    def headers(self, stream_id: int, headers: Headers, end_stream: bool) -> None:
        """The peer has opened a stream. end_stream: the peer sends nothing more on it."""

    def data(self, stream_id: int, data: bytes, end_stream: bool) -> None:
        """The peer has sent data, or only the end of a stream.

        Trailers end a stream; their fields are dropped.
        """

    def reset(self, stream_id: int, code: int) -> None:
        """The peer has reset the stream or violated the protocol on it.

        code: may be a value not in ErrorCode.
        """


class ServerConnection:
    """The server side of one connection.

    max_streams: the maximum number of open streams; further streams are refused. max_header_list_bytes: the
    size as defined in RFC 9113, section 6.5.2. failed: the connection has ended with an error and ignores
    further bytes.
    """

    def __init__(
        self, events: Events, max_streams: int, max_header_list_bytes: int = DEFAULT_MAX_HEADER_LIST_BYTES
    ) -> None:
        self.events = events
        self.max_streams = max_streams
        self.failed = False
        self.going_away = False  # GOAWAY was sent: new streams are refused
        self.last_stream_id = 0  # the highest stream that the peer opened
        self.decoder = HeaderBlockDecoder(max_header_list_bytes)
        self.output = OutputBuffer()
        self.sender = Sender(self.output)
        self.receive_window = ReceiveWindow()
        self._preface_received = False
        self._unread = b""
        self._partial_block: PartialHeaderBlock | None = None
        self._idle_frames = 0
        settings = (
            (Setting.MAX_CONCURRENT_STREAMS, max_streams),
            (Setting.MAX_HEADER_LIST_SIZE, max_header_list_bytes),
        )
        self.output.write(encode_settings(settings))
        self.output.write(encode_window_update(0, RECEIVE_WINDOW_BYTES - DEFAULT_WINDOW_BYTES))

    @property
    def streams(self) -> dict[int, Stream]:
        """Return the open streams by stream identifier."""
        return self.sender.streams

    # ---- bytes

    def take(self) -> bytes:
        """Return the bytes to write now, and remove them from the output buffer."""
        return self.output.take()

    def receive(self, data: bytes) -> None:
        """Process bytes from the peer. On a protocol error, set `failed` and queue a GOAWAY for take()."""
        if self.failed:
            return
        try:
            self._receive(data)
        except ProtocolError as error:
            self.failed = True
            self.output.write(encode_goaway(self.last_stream_id, error.code, str(error).encode()))

    def _receive(self, data: bytes) -> None:
        unread = self._unread + data if self._unread else data
        if not self._preface_received:
            if not PREFACE.startswith(unread[: len(PREFACE)]):
                raise ProtocolError(ErrorCode.PROTOCOL_ERROR, "no HTTP/2 preface")  # section 3.4
            if len(unread) < len(PREFACE):
                self._unread = unread
                return
            self._preface_received = True
            unread = unread[len(PREFACE) :]
        position = 0
        while (frame := read_frame(unread, position)) is not None:
            self._handle(frame)
            position += FRAME_HEADER_BYTES + len(frame.payload)
        self._unread = unread[position:]

    # ---- frames

    def _handle(self, frame: Frame) -> None:
        partial = self._partial_block
        if partial is not None:
            continues = frame.type == FrameType.CONTINUATION and frame.stream_id == partial.stream_id
            if not continues:  # section 6.10
                raise ProtocolError(ErrorCode.PROTOCOL_ERROR, "a header block was left unfinished")
        if frame.type not in REQUEST_FRAMES:
            self._count_idle_frame("nothing but control frames")
        handler = self._HANDLERS.get(frame.type)
        if handler is not None:
            handler(self, frame)

    def _count_idle_frame(self, reason: str) -> None:
        """Raise ProtocolError after too many consecutive frames without effect (section 10.5).

        Such frames cost the peer almost nothing.
        """
        self._idle_frames += 1
        if self._idle_frames > MAX_IDLE_FRAMES:
            raise ProtocolError(ErrorCode.ENHANCE_YOUR_CALM, reason)

    def _require_opened(self, stream_id: int) -> None:
        """Raise ProtocolError for a stream that the peer has never opened (section 5.1)."""
        if stream_id == 0 or stream_id > self.last_stream_id or not stream_id % 2:
            raise ProtocolError(ErrorCode.PROTOCOL_ERROR, "a frame of a stream that is not open")

    def _on_data(self, frame: Frame) -> None:
        stream_id = frame.stream_id
        size = len(frame.payload)
        self._require_opened(stream_id)
        increment = self.receive_window.consume(size)
        if increment:
            self.output.write(encode_window_update(0, increment))
        stream = self.streams.get(stream_id)
        if stream is None:
            return  # the stream has ended: the peer may not have seen our last frame yet (section 5.1)
        if stream.peer_ended:
            raise ProtocolError(ErrorCode.STREAM_CLOSED, "DATA after END_STREAM")
        end_stream = frame.end_stream
        data = frame.unpadded()
        # Restore the stream's window at once: the reader of the stream limits its size.
        if size and not end_stream:
            self.output.write(encode_window_update(stream_id, size))
        if not data and not end_stream:
            self._count_idle_frame("nothing but empty frames")
            return
        self._idle_frames = 0
        if end_stream:
            self.sender.peer_ended(stream_id, stream)
        self.events.data(stream_id, data, end_stream)

    def _on_headers(self, frame: Frame) -> None:
        if not frame.stream_id % 2:  # section 5.1.1
            raise ProtocolError(ErrorCode.PROTOCOL_ERROR, "a stream that no client may open")
        fragment = frame.header_fragment()
        if frame.end_headers:
            self._on_header_block(frame.stream_id, fragment, frame.end_stream)
        else:
            self._partial_block = PartialHeaderBlock(frame.stream_id, frame.end_stream, fragment)

    def _on_continuation(self, frame: Frame) -> None:
        partial = self._partial_block
        if partial is None:
            raise ProtocolError(ErrorCode.PROTOCOL_ERROR, "CONTINUATION of nothing")  # section 6.10
        partial.add(frame)
        if frame.end_headers:
            self._partial_block = None
            self._on_header_block(partial.stream_id, partial.join(), partial.end_stream)

    def _on_header_block(self, stream_id: int, block: bytes, end_stream: bool) -> None:
        headers = self.decoder.decode(block)  # always: the blocks of a connection share a table (section 4.3)
        stream = self.streams.get(stream_id)
        if stream is not None:
            self._on_trailers(stream_id, stream, end_stream)
        elif stream_id > self.last_stream_id:
            self._on_new_stream(stream_id, headers, end_stream)

    def _on_trailers(self, stream_id: int, stream: Stream, end_stream: bool) -> None:
        if stream.peer_ended or not end_stream:  # section 8.1
            raise ProtocolError(ErrorCode.PROTOCOL_ERROR, "headers in the middle of a stream")
        self.sender.peer_ended(stream_id, stream)
        self.events.data(stream_id, b"", True)

    def _on_new_stream(self, stream_id: int, headers: Headers, end_stream: bool) -> None:
        self._idle_frames = 0
        self.last_stream_id = stream_id
        if self.going_away or len(self.streams) >= self.max_streams:  # section 5.1.2
            self.output.write(encode_rst_stream(stream_id, ErrorCode.REFUSED_STREAM))
            return
        self.sender.open(stream_id, end_stream)
        self.events.headers(stream_id, headers, end_stream)

    def _on_priority(self, frame: Frame) -> None:
        """Ignore priorities, which are deprecated (section 5.3.2)."""
        if frame.stream_id == 0:
            raise ProtocolError(ErrorCode.PROTOCOL_ERROR, "PRIORITY of the connection")

    def _on_rst_stream(self, frame: Frame) -> None:
        code = frame.uint32()
        self._require_opened(frame.stream_id)
        if self.sender.drop(frame.stream_id):
            self.events.reset(frame.stream_id, code)

    def _on_settings(self, frame: Frame) -> None:
        settings = frame.settings()
        if frame.ack:
            return
        for identifier, value in settings:
            self._apply_setting(identifier, value)
        self.output.write(SETTINGS_ACK)
        self.sender.unblock()

    def _apply_setting(self, identifier: int, value: int) -> None:
        """Apply a setting of the peer (section 6.5.2); settings that do not affect sending are ignored."""
        if identifier == Setting.INITIAL_WINDOW_SIZE:
            self.sender.set_initial_window(value)
        elif identifier == Setting.MAX_FRAME_SIZE:
            if not DEFAULT_FRAME_BYTES <= value <= MAX_FRAME_BYTES:
                raise ProtocolError(ErrorCode.PROTOCOL_ERROR, "a frame size out of bounds")
            self.sender.max_frame_bytes = value
        elif identifier == Setting.ENABLE_PUSH and value > 1:
            raise ProtocolError(ErrorCode.PROTOCOL_ERROR, "ENABLE_PUSH is neither 0 nor 1")

    def _on_push_promise(self, frame: Frame) -> None:
        raise ProtocolError(ErrorCode.PROTOCOL_ERROR, "a client pushes")  # section 8.4

    def _on_ping(self, frame: Frame) -> None:
        if frame.stream_id or len(frame.payload) != PING_BYTES:  # section 6.7
            raise ProtocolError(ErrorCode.FRAME_SIZE_ERROR, "PING of a wrong form")
        if not frame.ack:
            self.output.write(encode_frame(FrameType.PING, Flag.ACK, 0, frame.payload))

    def _on_window_update(self, frame: Frame) -> None:
        increment = frame.uint32() & MAX_WINDOW_BYTES
        if frame.stream_id == 0:
            self.sender.increase_connection_window(increment)
            return
        self._require_opened(frame.stream_id)
        code = self.sender.increase_stream_window(frame.stream_id, increment)
        if code is not ErrorCode.NO_ERROR:
            self.reset(frame.stream_id, code)
            self.events.reset(frame.stream_id, ErrorCode.FLOW_CONTROL_ERROR)

    # GOAWAY from the peer is ignored: this server opens no streams.
    _HANDLERS: ClassVar[dict[int, Callable[[ServerConnection, Frame], None]]] = {
        FrameType.DATA: _on_data,
        FrameType.HEADERS: _on_headers,
        FrameType.PRIORITY: _on_priority,
        FrameType.RST_STREAM: _on_rst_stream,
        FrameType.SETTINGS: _on_settings,
        FrameType.PUSH_PROMISE: _on_push_promise,
        FrameType.PING: _on_ping,
        FrameType.WINDOW_UPDATE: _on_window_update,
        FrameType.CONTINUATION: _on_continuation,
    }

    # ---- sending

    def send_headers(self, stream_id: int, header_block: bytes, end_stream: bool = False) -> None:
        """Send an encoded header block of at most 16 KiB, after any data queued on the stream."""
        self.sender.send_headers(stream_id, header_block, end_stream)

    def send_data(self, stream_id: int, data: bytes, end_stream: bool = False) -> None:
        """Send data, and queue the part that exceeds the peer's windows (section 6.9)."""
        self.sender.send_data(stream_id, data, end_stream)

    def reset(self, stream_id: int, code: ErrorCode) -> None:
        """Reset a stream (section 6.4). Does nothing if the stream has ended."""
        if self.sender.drop(stream_id):
            self.output.write(encode_rst_stream(stream_id, code))

    def go_away(self) -> None:
        """Refuse new streams from now on; open streams continue (section 6.8)."""
        if not self.going_away and not self.failed:
            self.going_away = True
            self.output.write(encode_goaway(self.last_stream_id, ErrorCode.NO_ERROR))
