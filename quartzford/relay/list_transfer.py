"""The transfer of a complete list to one client, part by part. No I/O."""

from __future__ import annotations

from quartzford.relay.catalog import CompleteList, Position

PART_BYTES = 64 * 1024


class ListTransfer:
    """The unsent remainder of a complete list."""

    def __init__(self, complete_list: CompleteList) -> None:
        self._list = complete_list
        self._remaining = memoryview(complete_list.line)

    @property
    def position(self) -> Position:
        """Return the position of the list, which the client holds once the transfer is finished."""
        return self._list.position

    @property
    def length(self) -> int:
        """Return the length of the complete line in bytes."""
        return len(self._list.line)

    @property
    def finished(self) -> bool:
        """Return whether `next_part` has returned all parts."""
        return not self._remaining

    def next_part(self) -> bytes:
        """Return the next PART_BYTES, or the remainder if it is shorter.

        The part is a copy: a part of an old list in the buffer of a slow socket must not keep the whole list
        in memory.
        """
        part = bytes(self._remaining[:PART_BYTES])
        self._remaining = self._remaining[PART_BYTES:]
        return part
