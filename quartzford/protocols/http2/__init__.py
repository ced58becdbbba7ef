"""The server side of HTTP/2 (RFC 9113) without I/O, limited to the features that gRPC needs.

frames: frames, settings and error codes. header_blocks: HPACK. flow_control: streams, and sending on them.
connection: the connection itself and the processing of received frames. Section numbers in comments refer to
RFC 9113 unless another source is named. docs/extproc.md compares this implementation with h2 and with gRPC's
own server.
"""

from quartzford.protocols.http2.connection import MAX_UNSENT_BYTES, Events, ServerConnection
from quartzford.protocols.http2.frames import (
    PREFACE,
    ErrorCode,
    Flag,
    FrameType,
    ProtocolError,
    Setting,
    encode_frame,
)
from quartzford.protocols.http2.header_blocks import Headers, encode_header_block

__all__ = [
    "MAX_UNSENT_BYTES",
    "PREFACE",
    "ErrorCode",
    "Events",
    "Flag",
    "FrameType",
    "Headers",
    "ProtocolError",
    "ServerConnection",
    "Setting",
    "encode_frame",
    "encode_header_block",
]
