"""Bytes of one client connection that were read and not parsed yet; does no I/O."""

from __future__ import annotations

from typing import NamedTuple

MIN_PIECE_BYTES = 4 * 1024  # shorter pieces are joined, so that their number is limited


class Piece(NamedTuple):
    """Bytes that were read together. arrived_at: the earliest time at which they can have arrived."""

    data: bytes
    arrived_at: float


class InputQueue:
    """Pieces in the order of their arrival. size: of all of them, in bytes.

    There is one for each connection, mostly empty: a list is smaller than a deque by 0.7 kB then.
    """

    __slots__ = ("size", "_pieces", "_taken")

    def __init__(self) -> None:
        self.size = 0
        self._pieces: list[Piece] = []
        self._taken = 0  # bytes of the first piece

    def add(self, data: bytes, arrived_at: float) -> None:
        """Add bytes that have been read; arrived_at: seconds on the engine's clock."""
        self.size += len(data)
        if len(self._pieces) > 1 and len(self._pieces[-1].data) + len(data) <= MIN_PIECE_BYTES:
            last = self._pieces.pop()
            data = last.data + data
            arrived_at = last.arrived_at
        self._pieces.append(Piece(data, arrived_at))

    def take(self, size: int) -> Piece:
        """Remove and return the next bytes, at most `size` of them."""
        first = self._pieces[0]
        if not self._taken and len(first.data) <= size:
            del self._pieces[0]
            self.size -= len(first.data)
            return first
        part = first.data[self._taken : self._taken + size]
        self._taken += len(part)
        self.size -= len(part)
        if self._taken == len(first.data):
            del self._pieces[0]
            self._taken = 0
        return Piece(part, first.arrived_at)

    def clear(self) -> None:
        """Drop all bytes."""
        self._pieces.clear()
        self.size = 0
        self._taken = 0
