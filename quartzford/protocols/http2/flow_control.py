"""Streams and flow control (RFC 9113, sections 5.1, 5.2 and 6.9): what is sent within the peer's windows.

A stream is open until both sides have ended it, or either has reset it.
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

RECEIVE_WINDOW_BYTES = 16 * 1024 * 1024  # of a connection; streams keep the protocol's own


class OutputBuffer:
    """Bytes that are to be written; its length is their number."""

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
        """All bytes so far, which are the caller's from now on."""
        data = b"".join(self._parts)
        self._parts = []
        self._size = 0
        return data


class QueuedFrame(NamedTuple):
    """HEADERS or DATA held back by flow control; payload: of any length."""

    type: FrameType
    payload: bytes
    end_stream: bool


class Stream:
    """An open stream. window: bytes that we may send on it; below 0 if a setting shrank it (6.9.2)."""

    __slots__ = ("window", "queue", "ended", "peer_ended")

    def __init__(self, window: int, peer_ended: bool) -> None:
        self.window = window
        self.queue: deque[QueuedFrame] = deque()
        self.ended = False  # our last frame has been written
        self.peer_ended = peer_ended  # the peer has sent its last one


class ReceiveWindow:
    """The connection's window for what the peer sends. It is opened again when half of it is used up."""

    __slots__ = ("remaining",)

    def __init__(self) -> None:
        self.remaining = RECEIVE_WINDOW_BYTES

    def consume(self, size: int) -> int:
        """Count received bytes; the increment that is to be sent to the peer, or 0 for none yet."""
        self.remaining -= size
        if self.remaining < 0:
            raise ProtocolError(ErrorCode.FLOW_CONTROL_ERROR, "over the connection's window")
        if self.remaining >= RECEIVE_WINDOW_BYTES // 2:
            return 0
        increment = RECEIVE_WINDOW_BYTES - self.remaining
        self.remaining = RECEIVE_WINDOW_BYTES
        return increment


class Sender:
    """The open streams of a connection, and what is sent on them.

    window: bytes that we may send on the connection. initial_window: of a new stream. max_frame_bytes: the
    longest payload that the peer takes. blocked: streams that wait for a window, in order.
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
        """The peer has opened a stream."""
        self.streams[stream_id] = Stream(self.initial_window, peer_ended)

    def peer_ended(self, stream_id: int, stream: Stream) -> None:
        """The peer has sent its last frame on a stream."""
        stream.peer_ended = True
        if stream.ended:
            del self.streams[stream_id]

    def drop(self, stream_id: int) -> bool:
        """Forget a stream, with what waits on it; False if it was not open."""
        if self.streams.pop(stream_id, None) is None:
            return False
        self.blocked.pop(stream_id, None)
        return True

    # ---- what is sent

    def send_headers(self, stream_id: int, header_block: bytes, end_stream: bool) -> None:
        """Write a header block in one frame, or queue it behind data that waits for a window."""
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
            self._ended(stream_id, stream)

    def _write_data(self, stream_id: int, stream: Stream, data: bytes, end_stream: bool) -> None:
        stream.window -= len(data)
        self.window -= len(data)
        flags = Flag.END_STREAM if end_stream else 0
        self._output.write(encode_frame(FrameType.DATA, flags, stream_id, data))
        if end_stream:
            self._ended(stream_id, stream)

    def _ended(self, stream_id: int, stream: Stream) -> None:
        stream.ended = True
        if stream.peer_ended:
            del self.streams[stream_id]

    def _drain(self, stream_id: int, stream: Stream) -> None:
        """Write what is queued, as far as the windows allow."""
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

    def widen_connection(self, increment: int) -> None:
        """WINDOW_UPDATE of the connection (6.9.1)."""
        self.window += increment
        if not increment:
            raise ProtocolError(ErrorCode.PROTOCOL_ERROR, "a window out of bounds")
        if self.window > MAX_WINDOW_BYTES:
            raise ProtocolError(ErrorCode.FLOW_CONTROL_ERROR, "a window out of bounds")
        self.unblock()

    def widen_stream(self, stream_id: int, increment: int) -> ErrorCode:
        """WINDOW_UPDATE of a stream; a code other than NO_ERROR ends that stream (6.9, 6.9.1)."""
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
        """SETTINGS_INITIAL_WINDOW_SIZE, which also changes the windows of open streams (6.9.2)."""
        if size > MAX_WINDOW_BYTES:
            raise ProtocolError(ErrorCode.FLOW_CONTROL_ERROR, "a window out of bounds")
        change = size - self.initial_window
        self.initial_window = size
        for stream in self.streams.values():
            stream.window += change

    def unblock(self) -> None:
        """Send what waits and is allowed now."""
        for stream_id in list(self.blocked):
            stream = self.streams.get(stream_id)
            if stream is None:
                del self.blocked[stream_id]
            elif self.window > 0:
                self._drain(stream_id, stream)
