"""The server's side of HTTP/2 (RFC 9113) without I/O: as much of it as gRPC needs, and lean.

frames: frames, settings and error codes. header_blocks: HPACK. flow_control: streams, and what is sent on
them. connection: what the peer sends, and the connection itself. Numbers in comments are sections of RFC 9113
unless said otherwise. docs/extproc.md compares it with h2 and with gRPC's own server.
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
