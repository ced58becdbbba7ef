"""The buffer that the connections of one event loop read into, one after the other."""

from __future__ import annotations

from quartzford.engine.budget import BufferBudget

READ_BYTES = 64 * 1024  # read at once from a connection
SHORT_READ_BYTES = 4 * 1024  # the same while less than SHORT_READ_SHARE of the budget is left
SHORT_READ_SHARE = 0.5


class ReadBuffer:
    """A buffer for the time between a read and its callback, so that unread bytes stay with the system.

    Without it, the event loop reads up to 256 KiB from each connection that is readable, whatever the budget.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._whole = memoryview(bytearray(READ_BYTES))
        self._short = self._whole[:SHORT_READ_BYTES]

    def writable(self) -> memoryview:
        """Return the memory for the next read."""
        budget = self._budget
        short_from = budget.used / (1 - SHORT_READ_SHARE)
        return (
            self._whole if short_from < budget.limit and short_from < budget.measured_limit else self._short
        )

    def read(self, size: int) -> bytes:
        """Return a copy of the first `size` bytes, which the last read has written."""
        self._budget.note_read(size)
        return bytes(self._whole[:size])
