"""Streams and flow control (RFC 9113, sections 5.1, 5.2 and 6.9): sending within the peer's windows.

A stream is open until both sides have ended it or one side has reset it. Section numbers in this file refer
to RFC 9113.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from quartzford.protocols.http2.frames import (
    DEFAULT_FRAME_BYTES,
    DEFAULT_WINDOW_BYTES,
    MAX_WINDOW_BYTES,
    ErrorCode,
    Flag,
    FrameType,
    ProtocolError,
    encode_frame,
)

# Window of a connection; streams have the default window of the protocol.
RECEIVE_WINDOW_BYTES = 16 * 1024 * 1024


class OutputBuffer:
    """Buffers the bytes to write; its length is the number of bytes."""

    __slots__ = ("_parts", "_size")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def write(self, data: bytes) -> None:
        """Append bytes."""
        self._parts.append(data)
        self._size += len(data)

    def take(self) -> bytes:
        """Return all buffered bytes and empty the buffer."""
        data = b"".join(self._parts)
        self._parts = []
        self._size = 0
        return data


class QueuedFrame(NamedTuple):
    """A HEADERS or DATA frame held back by flow control. payload: may exceed the maximum frame size."""

    type: FrameType
    payload: bytes
    end_stream: bool


class Stream:
    """An open stream.

    window: the number of bytes that may be sent on it; negative after a setting reduced it (section 6.9.2).
    """

    __slots__ = ("window", "queue", "ended", "peer_ended")

    def __init__(self, window: int, peer_ended: bool) -> None:
        self.window = window
        self.queue: deque[QueuedFrame] = deque()
        self.ended = False  # this side has written its last frame
        self.peer_ended = peer_ended  # the peer has sent its last frame


class ReceiveWindow:
    """The connection's window for bytes from the peer. It is refilled when half of it is used."""

    __slots__ = ("remaining",)

    def __init__(self) -> None:
        self.remaining = RECEIVE_WINDOW_BYTES

    def consume(self, size: int) -> int:
        """Count received bytes; return the window increment to send to the peer, 0 if none is due."""
        self.remaining -= size
        if self.remaining < 0:
            raise ProtocolError(ErrorCode.FLOW_CONTROL_ERROR, "over the connection's window")
        if self.remaining >= RECEIVE_WINDOW_BYTES // 2:
            return 0
        increment = RECEIVE_WINDOW_BYTES - self.remaining
        self.remaining = RECEIVE_WINDOW_BYTES
        return increment


class Sender:
    """The open streams of a connection, and sending on them.

    window: the number of bytes that may be sent on the connection. initial_window: the window of a new
    stream. max_frame_bytes: the longest payload that the peer accepts. blocked: the streams that wait for a
    window, in order.
    """

    def __init__(self, output: OutputBuffer) -> None:
        self.streams: dict[int, Stream] = {}
        self.window = DEFAULT_WINDOW_BYTES
        self.initial_window = DEFAULT_WINDOW_BYTES
        self.max_frame_bytes = DEFAULT_FRAME_BYTES
        self.blocked: dict[int, None] = {}
        self._output = output

    # ---- streams

    def open(self, stream_id: int, peer_ended: bool) -> None:
        """Add a stream that the peer has opened."""
        self.streams[stream_id] = Stream(self.initial_window, peer_ended)

    def peer_ended(self, stream_id: int, stream: Stream) -> None:
        """Note that the peer has sent its last frame on a stream."""
        stream.peer_ended = True
        if stream.ended:
            del self.streams[stream_id]

    def drop(self, stream_id: int) -> bool:
        """Remove a stream and its queued frames; return False if it was not open."""
        if self.streams.pop(stream_id, None) is None:
            return False
        self.blocked.pop(stream_id, None)
        return True

    # ---- sending

    def send_headers(self, stream_id: int, header_block: bytes, end_stream: bool) -> None:
        """Write a header block in one frame, or queue it after data that waits for a window."""
        stream = self.streams.get(stream_id)
        if stream is None or stream.ended:
            return
        if stream.queue:
            stream.queue.append(QueuedFrame(FrameType.HEADERS, header_block, end_stream))
            return
        self._write_headers(stream_id, stream, header_block, end_stream)

    def send_data(self, stream_id: int, data: bytes, end_stream: bool) -> None:
        """Write data as far as the peer's windows allow, and queue the rest."""
        stream = self.streams.get(stream_id)
        if stream is None or stream.ended:
            return
        if not stream.queue and len(data) <= min(stream.window, self.window, self.max_frame_bytes):
            self._write_data(stream_id, stream, data, end_stream)
            return
        stream.queue.append(QueuedFrame(FrameType.DATA, data, end_stream))
        self._drain(stream_id, stream)

    def _write_headers(self, stream_id: int, stream: Stream, header_block: bytes, end_stream: bool) -> None:
        flags = Flag.END_HEADERS | Flag.END_STREAM if end_stream else Flag.END_HEADERS
        self._output.write(encode_frame(FrameType.HEADERS, flags, stream_id, header_block))
        if end_stream:
            self._mark_ended(stream_id, stream)

    def _write_data(self, stream_id: int, stream: Stream, data: bytes, end_stream: bool) -> None:
        stream.window -= len(data)
        self.window -= len(data)
        flags = Flag.END_STREAM if end_stream else 0
        self._output.write(encode_frame(FrameType.DATA, flags, stream_id, data))
        if end_stream:
            self._mark_ended(stream_id, stream)

    def _mark_ended(self, stream_id: int, stream: Stream) -> None:
        stream.ended = True
        if stream.peer_ended:
            del self.streams[stream_id]

    def _drain(self, stream_id: int, stream: Stream) -> None:
        """Write queued frames as far as the windows allow."""
        queue = stream.queue
        while queue:
            frame_type, payload, end_stream = queue[0]
            if frame_type is FrameType.HEADERS:
                queue.popleft()
                self._write_headers(stream_id, stream, payload, end_stream)
                continue
            allowed = min(stream.window, self.window, self.max_frame_bytes)
            if payload and allowed <= 0:
                self.blocked[stream_id] = None
                return
            remainder = payload[allowed:]
            if remainder:
                queue[0] = QueuedFrame(frame_type, remainder, end_stream)
                self._write_data(stream_id, stream, payload[:allowed], False)
            else:
                queue.popleft()
                self._write_data(stream_id, stream, payload, end_stream)
        self.blocked.pop(stream_id, None)

    # ---- the peer's windows

    def increase_connection_window(self, increment: int) -> None:
        """Process a WINDOW_UPDATE of the connection (section 6.9.1)."""
        self.window += increment
        if not increment:
            raise ProtocolError(ErrorCode.PROTOCOL_ERROR, "a window out of bounds")
        if self.window > MAX_WINDOW_BYTES:
            raise ProtocolError(ErrorCode.FLOW_CONTROL_ERROR, "a window out of bounds")
        self.unblock()

    def increase_stream_window(self, stream_id: int, increment: int) -> ErrorCode:
        """Process a WINDOW_UPDATE of a stream (sections 6.9 and 6.9.1).

        Returns NO_ERROR, or the code with which the caller must reset the stream.
        """
        stream = self.streams.get(stream_id)
        if stream is None:
            return ErrorCode.NO_ERROR
        stream.window += increment
        if not increment:
            return ErrorCode.PROTOCOL_ERROR
        if stream.window > MAX_WINDOW_BYTES:
            return ErrorCode.FLOW_CONTROL_ERROR
        if stream.queue:
            self._drain(stream_id, stream)
        return ErrorCode.NO_ERROR

    def set_initial_window(self, size: int) -> None:
        """Apply SETTINGS_INITIAL_WINDOW_SIZE, also to the windows of open streams (section 6.9.2)."""
        if size > MAX_WINDOW_BYTES:
            raise ProtocolError(ErrorCode.FLOW_CONTROL_ERROR, "a window out of bounds")
        change = size - self.initial_window
        self.initial_window = size
        for stream in self.streams.values():
            stream.window += change

    def unblock(self) -> None:
        """Write the queued frames of blocked streams as far as the windows now allow."""
        for stream_id in list(self.blocked):
            stream = self.streams.get(stream_id)
            if stream is None:
                del self.blocked[stream_id]
            elif self.window > 0:
                self._drain(stream_id, stream)
