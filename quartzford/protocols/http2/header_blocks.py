"""Header blocks: HPACK (RFC 7541) in both directions, and blocks that come in several frames (RFC 9113, 4.3).

What is sent is encoded without the dynamic table, so that a block is ready-made for all connections and
nothing is kept for encoding. Received blocks are decoded by the library hpack.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import hpack

from quartzford.protocols.http2.frames import FRAME_HEADER_BYTES, ErrorCode, Frame, ProtocolError

MAX_BLOCK_BYTES = 80 * 1024  # on the wire, with the frame headers of its continuations
MAX_CACHED_BLOCKS = 256
LITERAL_NEW_NAME = b"\0"  # RFC 7541, 6.2.2: literal without indexing, with its name
STRING_LENGTH_PREFIX = 127  # RFC 7541, 5.2: the largest value of a prefix of 7 bits
INDEXED_FIELD = 0x80  # RFC 7541, 6.1
INDEX_CONTINUES = 0xFF

Headers = list[tuple[bytes, bytes]]


def encode_header_block(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """A header block of literals that no table keeps (RFC 7541, 6.2.2): good on any connection."""
    return b"".join(
        LITERAL_NEW_NAME + _encode_string(name) + _encode_string(value) for name, value in headers
    )


def _encode_string(text: bytes) -> bytes:
    """A string literal without Huffman coding (RFC 7541, 5.2), its length as an integer (5.1)."""
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
    """Decodes the blocks of a connection, all of which share a dynamic table."""

    def __init__(self, max_list_bytes: int) -> None:
        self.cache: dict[bytes, Headers] = {}
        self._decoder: Any = hpack.Decoder(max_header_list_size=max_list_bytes)

    def decode(self, block: bytes) -> Headers:
        """The header fields; ProtocolError where they are too long or can't be decoded."""
        cached = self.cache.get(block)
        if cached is not None:
            return cached
        try:
            headers = [(bytes(name), bytes(value)) for name, value in self._decoder.decode(block, raw=True)]
        except hpack.OversizedHeaderListError:
            raise ProtocolError(ErrorCode.ENHANCE_YOUR_CALM, "a header list over the bound") from None
        except hpack.HPACKError as error:
            raise ProtocolError(ErrorCode.COMPRESSION_ERROR, type(error).__name__) from None
        if not _leaves_table_as_is(block):
            self.cache.clear()
        elif len(self.cache) < MAX_CACHED_BLOCKS:
            self.cache[block] = headers
        return headers


def _leaves_table_as_is(block: bytes) -> bool:
    """Whether a block consists of indexed fields alone (RFC 7541, 6.1).

    These neither read nor change more than the table: as long as it stays as it is, the same bytes have the
    same meaning. Any other block may have changed it.
    """
    return all(byte >= INDEXED_FIELD for byte in block) and INDEX_CONTINUES not in block


class PartialHeaderBlock:
    """A header block whose last CONTINUATION frame has not come yet (6.10)."""

    __slots__ = ("stream_id", "end_stream", "_fragments", "_size")

    def __init__(self, stream_id: int, end_stream: bool, fragment: bytes) -> None:
        self.stream_id = stream_id
        self.end_stream = end_stream
        self._fragments = [fragment]
        self._size = len(fragment)

    def add(self, continuation: Frame) -> None:
        """Take another fragment; ProtocolError where the block gets too long."""
        self._size += len(continuation.payload) + FRAME_HEADER_BYTES  # an empty one counts too
        if self._size > MAX_BLOCK_BYTES:
            raise ProtocolError(ErrorCode.ENHANCE_YOUR_CALM, "a header block without end")
        self._fragments.append(continuation.payload)

    def join(self) -> bytes:
        """The block."""
        return b"".join(self._fragments)
