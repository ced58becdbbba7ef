"""HTTP/2 frames, their types and flags, settings and error codes (RFC 9113, sections 4, 6 and 7).

Section numbers in this file refer to RFC 9113.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"  # the client connection preface (section 3.4)
FRAME_HEADER_BYTES = 9  # section 4.1
PRIORITY_FIELDS_BYTES = 5  # stream dependency and weight (section 6.2)
PING_BYTES = 8  # payload of a PING frame (section 6.7)
MAX_STREAM_ID = 2**31 - 1  # section 4.1; the highest of the 32 bits is reserved
DEFAULT_FRAME_BYTES = 16_384  # also the minimum value of SETTINGS_MAX_FRAME_SIZE (section 6.5.2)
MAX_FRAME_BYTES = 2**24 - 1  # the maximum value of SETTINGS_MAX_FRAME_SIZE (section 6.5.2)
DEFAULT_WINDOW_BYTES = 65_535  # the initial flow-control window (section 6.9.2)
MAX_WINDOW_BYTES = 2**31 - 1  # section 6.9.1

_FRAME_HEADER = struct.Struct(">BHBBL")  # length in 24 bits, type, flags, stream identifier
_SETTING = struct.Struct(">HL")
_UINT32 = struct.Struct(">L")
_GOAWAY = struct.Struct(">LL")


class FrameType(IntEnum):
    """Frame types (section 6). Frames of unknown types are ignored (section 4.1)."""

    DATA = 0x0
    HEADERS = 0x1
    PRIORITY = 0x2
    RST_STREAM = 0x3
    SETTINGS = 0x4
    PUSH_PROMISE = 0x5
    PING = 0x6
    GOAWAY = 0x7
    WINDOW_UPDATE = 0x8
    CONTINUATION = 0x9


class Flag(IntEnum):
    """Flags of frames (section 6). Not an IntFlag: combining its members takes a microsecond."""

    END_STREAM = 0x1
    ACK = 0x1  # in SETTINGS and PING frames
    END_HEADERS = 0x4
    PADDED = 0x8
    PRIORITY = 0x20


class ErrorCode(IntEnum):
    """Error codes (section 7)."""

    NO_ERROR = 0x0
    PROTOCOL_ERROR = 0x1
    INTERNAL_ERROR = 0x2
    FLOW_CONTROL_ERROR = 0x3
    SETTINGS_TIMEOUT = 0x4
    STREAM_CLOSED = 0x5
    FRAME_SIZE_ERROR = 0x6
    REFUSED_STREAM = 0x7
    CANCEL = 0x8
    COMPRESSION_ERROR = 0x9
    CONNECT_ERROR = 0xA
    ENHANCE_YOUR_CALM = 0xB
    INADEQUATE_SECURITY = 0xC
    HTTP_1_1_REQUIRED = 0xD


class Setting(IntEnum):
    """Identifiers of settings (section 6.5.2)."""

    HEADER_TABLE_SIZE = 0x1
    ENABLE_PUSH = 0x2
    MAX_CONCURRENT_STREAMS = 0x3
    INITIAL_WINDOW_SIZE = 0x4
    MAX_FRAME_SIZE = 0x5
    MAX_HEADER_LIST_SIZE = 0x6


class ProtocolError(Exception):
    """The peer violated the protocol. The connection ends with a GOAWAY of this code (section 5.4.1)."""

    def __init__(self, code: ErrorCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code


class Frame(NamedTuple):
    """A frame from the peer (section 4.1). type: may be a value not in FrameType."""

    type: int
    flags: int
    stream_id: int
    payload: bytes

    @property
    def end_stream(self) -> bool:
        """Return whether the flag END_STREAM is set."""
        return bool(self.flags & Flag.END_STREAM)

    @property
    def end_headers(self) -> bool:
        """Return whether the flag END_HEADERS is set."""
        return bool(self.flags & Flag.END_HEADERS)

    @property
    def ack(self) -> bool:
        """Return whether the flag ACK is set."""
        return bool(self.flags & Flag.ACK)

    def unpadded(self) -> bytes:
        """Return the payload without its padding (section 6.1).

        Raise ProtocolError if the padding is too long.
        """
        payload = self.payload
        if not self.flags & Flag.PADDED:
            return payload
        if not payload or payload[0] >= len(payload):
            raise ProtocolError(ErrorCode.PROTOCOL_ERROR, "more padding than frame")
        return payload[1 : len(payload) - payload[0]]

    def header_fragment(self) -> bytes:
        """Return the header block fragment of a HEADERS frame (section 6.2), without padding and priority."""
        fragment = self.unpadded()
        if not self.flags & Flag.PRIORITY:
            return fragment
        if len(fragment) < PRIORITY_FIELDS_BYTES:
            raise ProtocolError(ErrorCode.FRAME_SIZE_ERROR, "HEADERS too short")
        return fragment[PRIORITY_FIELDS_BYTES:]

    def uint32(self) -> int:
        """Return the payload of a frame that consists of one four-byte number (sections 6.4 and 6.9)."""
        if len(self.payload) != _UINT32.size:
            name = FrameType(self.type).name
            raise ProtocolError(ErrorCode.FRAME_SIZE_ERROR, f"{name} is not 4 bytes")
        return int.from_bytes(self.payload, "big")

    def settings(self) -> Iterable[tuple[int, int]]:
        """Return identifiers and values of a SETTINGS frame (section 6.5).

        Raise ProtocolError if the frame is malformed.
        """
        if self.stream_id or len(self.payload) % _SETTING.size or (self.ack and self.payload):
            raise ProtocolError(ErrorCode.FRAME_SIZE_ERROR, "SETTINGS of a wrong form")
        return _SETTING.iter_unpack(self.payload)


def read_frame(data: bytes, start: int) -> Frame | None:
    """Return the frame that begins at `start`, or None if more bytes are needed.

    Raises ProtocolError if the frame exceeds the default maximum size, which this server does not raise
    (section 4.2).
    """
    payload_start = start + FRAME_HEADER_BYTES
    if payload_start > len(data):
        return None
    length = int.from_bytes(data[start : start + 3], "big")
    if length > DEFAULT_FRAME_BYTES:
        raise ProtocolError(ErrorCode.FRAME_SIZE_ERROR, "a frame over 16,384 bytes")
    end = payload_start + length
    if end > len(data):
        return None
    stream_id = int.from_bytes(data[start + 5 : payload_start], "big") & MAX_STREAM_ID
    return Frame(data[start + 3], data[start + 4], stream_id, data[payload_start:end])


def encode_frame(frame_type: int, flags: int, stream_id: int, payload: bytes = b"") -> bytes:
    """Return an encoded frame (section 4.1)."""
    size = len(payload)
    return _FRAME_HEADER.pack(size >> 16, size & 0xFFFF, frame_type, flags, stream_id) + payload


def encode_settings(settings: Iterable[tuple[Setting, int]]) -> bytes:
    """Return an encoded SETTINGS frame (section 6.5)."""
    payload = b"".join(_SETTING.pack(setting, value) for setting, value in settings)
    return encode_frame(FrameType.SETTINGS, 0, 0, payload)


def encode_window_update(stream_id: int, increment: int) -> bytes:
    """Return an encoded WINDOW_UPDATE frame (section 6.9). Stream 0 stands for the connection."""
    return encode_frame(FrameType.WINDOW_UPDATE, 0, stream_id, _UINT32.pack(increment))


def encode_rst_stream(stream_id: int, code: int) -> bytes:
    """Return an encoded RST_STREAM frame (section 6.4)."""
    return encode_frame(FrameType.RST_STREAM, 0, stream_id, _UINT32.pack(code))


def encode_goaway(last_stream_id: int, code: int, debug_data: bytes = b"") -> bytes:
    """Return an encoded GOAWAY frame (section 6.8)."""
    return encode_frame(FrameType.GOAWAY, 0, 0, _GOAWAY.pack(last_stream_id, code) + debug_data)


SETTINGS_ACK = encode_frame(FrameType.SETTINGS, Flag.ACK, 0)  # section 6.5.3
