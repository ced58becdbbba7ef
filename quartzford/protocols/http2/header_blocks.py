"""Header blocks: HPACK (RFC 7541), and header blocks split into several frames (RFC 9113, section 4.3).

Blocks to send are encoded without the dynamic table, so a block can be reused on all connections and encoding
needs no state. The library hpack decodes received blocks.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import hpack

from quartzford.protocols.http2.frames import FRAME_HEADER_BYTES, ErrorCode, Frame, ProtocolError

MAX_BLOCK_BYTES = 80 * 1024  # encoded size, including the frame headers of CONTINUATION frames
MAX_CACHED_BLOCKS = 256
LITERAL_NEW_NAME = b"\0"  # literal without indexing and with a new name (RFC 7541, section 6.2.2)
STRING_LENGTH_PREFIX = 127  # the maximum value of a 7-bit prefix (RFC 7541, section 5.2)
INDEXED_FIELD = 0x80  # the first bit of an indexed field (RFC 7541, section 6.1)
MULTI_BYTE_INDEX = 0xFF  # an indexed field whose index continues in the next byte

Headers = list[tuple[bytes, bytes]]


def encode_header_block(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return a header block of literals without indexing (RFC 7541, section 6.2.2) for any connection."""
    return b"".join(
        LITERAL_NEW_NAME + _encode_string(name) + _encode_string(value) for name, value in headers
    )


def _encode_string(text: bytes) -> bytes:
    """Return a string literal without Huffman coding (RFC 7541, section 5.2; its length: section 5.1)."""
    if len(text) < STRING_LENGTH_PREFIX:
        return bytes((len(text),)) + text
    encoded = bytearray((STRING_LENGTH_PREFIX,))
    remainder = len(text) - STRING_LENGTH_PREFIX
    while remainder >= 128:
        encoded.append(remainder % 128 + 128)
        remainder //= 128
    encoded.append(remainder)
    return bytes(encoded) + text


class HeaderBlockDecoder:
    """Decodes the header blocks of a connection, which share a dynamic table."""

    def __init__(self, max_list_bytes: int) -> None:
        self.cache: dict[bytes, Headers] = {}
        self._decoder: Any = hpack.Decoder(max_header_list_size=max_list_bytes)

    def decode(self, block: bytes) -> Headers:
        """Return the header fields. Raise ProtocolError if they are too long or cannot be decoded."""
        cached = self.cache.get(block)
        if cached is not None:
            return cached
        try:
            headers = [(bytes(name), bytes(value)) for name, value in self._decoder.decode(block, raw=True)]
        except hpack.OversizedHeaderListError:
            raise ProtocolError(ErrorCode.ENHANCE_YOUR_CALM, "a header list over the bound") from None
        except hpack.HPACKError as error:
            raise ProtocolError(ErrorCode.COMPRESSION_ERROR, type(error).__name__) from None
        if not _only_reads_table(block):
            self.cache.clear()
        elif len(self.cache) < MAX_CACHED_BLOCKS:
            self.cache[block] = headers
        return headers


def _only_reads_table(block: bytes) -> bool:
    """Return whether a block consists only of indexed fields (RFC 7541, section 6.1).

    Such a block only reads the dynamic table. The same bytes have the same meaning as long as the table does
    not change. Any other block may change the table.
    """
    return all(byte >= INDEXED_FIELD for byte in block) and MULTI_BYTE_INDEX not in block


class PartialHeaderBlock:
    """A header block whose last CONTINUATION frame has not arrived yet (RFC 9113, section 6.10)."""

    __slots__ = ("stream_id", "end_stream", "_fragments", "_size")

    def __init__(self, stream_id: int, end_stream: bool, fragment: bytes) -> None:
        self.stream_id = stream_id
        self.end_stream = end_stream
        self._fragments = [fragment]
        self._size = len(fragment)

    def add(self, continuation: Frame) -> None:
        """Append the fragment of a CONTINUATION frame. Raise ProtocolError if the block becomes too long."""
        self._size += len(continuation.payload) + FRAME_HEADER_BYTES  # an empty frame counts too
        if self._size > MAX_BLOCK_BYTES:
            raise ProtocolError(ErrorCode.ENHANCE_YOUR_CALM, "a header block without end")
        self._fragments.append(continuation.payload)

    def join(self) -> bytes:
        """Return the complete header block."""
        return b"".join(self._fragments)
