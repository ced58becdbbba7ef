"""A complete list that is being sent to one client, part by part. No I/O."""

from __future__ import annotations

from quartzford.relay.catalog import CompleteList, Position

PART_BYTES = 64 * 1024


class ListTransfer:
    """What is left to send of a complete list."""

    def __init__(self, complete_list: CompleteList) -> None:
        self._list = complete_list
        self._remaining = memoryview(complete_list.line)

    @property
    def position(self) -> Position:
        """The position of the list, which the client holds once all is sent."""
        return self._list.position

    @property
    def length(self) -> int:
        """The length of the complete line in bytes."""
        return len(self._list.line)

    @property
    def finished(self) -> bool:
        """Whether all parts have been taken."""
        return not self._remaining

    def next_part(self) -> bytes:
        """The next PART_BYTES or what is left.

        A copy: what a slow socket still buffers of an old list must not keep all of it in memory.
        """
        part = bytes(self._remaining[:PART_BYTES])
        self._remaining = self._remaining[PART_BYTES:]
        return part
