"""The buffered body of a request, in pieces."""

from __future__ import annotations

PIECE_BYTES = 16 * 1024


class Body:
    """Bytes that are added at the end. size: their number.

    One growing buffer would be moved again and again while it grows, and leave holes in the process's memory.
    """

    __slots__ = ("size", "_pieces", "_last")

    def __init__(self) -> None:
        self.size = 0
        self._pieces: list[bytes] = []
        self._last = bytearray()  # joins small pieces until there are PIECE_BYTES

    def add(self, data: bytes) -> None:
        """Add bytes."""
        self.size += len(data)
        self._last += data
        if len(self._last) >= PIECE_BYTES:
            self._pieces.append(bytes(self._last))
            self._last = bytearray()

    def pieces(self) -> list[bytes | bytearray]:
        """Return all bytes in pieces, which must not be changed."""
        return [*self._pieces, self._last] if self._last else [*self._pieces]


EMPTY_BODY = Body()  # nothing may be added to it
