"""One account of the bytes that a process holds for its clients, with a limit on all of them together."""

from __future__ import annotations

import math
from collections.abc import Callable

INTAKE_STEP_BYTES = 256 * 1024


class BufferBudget:
    """Counts the bytes held for all connections; callers check `is_exhausted` before they read more.

    limit: by the configuration. measured_limit: by the memory that the process really has, if it is measured.
    peak: the highest value of `used` since the last `reset_peak`. on_intake: called once INTAKE_STEP_BYTES
    have been read since the last call.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.measured_limit: float = math.inf
        self.used = 0
        self.peak = 0
        self.on_intake: Callable[[], object] = lambda: None
        self._intake = 0

    def is_exhausted(self) -> bool:
        """Return whether the limit is reached, so that nothing more may be read for now."""
        return self.used >= self.limit or self.used >= self.measured_limit

    def bound(self) -> float:
        """Return the limit in force, in bytes."""
        return min(self.limit, self.measured_limit)

    def room(self) -> float:
        """Return how many bytes may still be added; below 0 if there are too many."""
        return self.bound() - self.used

    def note_read(self, size: int) -> None:
        """Note that so many bytes were read, whether or not they are held."""
        self._intake += size
        if self._intake >= INTAKE_STEP_BYTES:
            self._intake = 0
            self.on_intake()

    def add(self, size: int) -> None:
        """Count `size` bytes more; fewer if it is negative."""
        self.used += size
        if self.used > self.peak:
            self.peak = self.used

    def reset_peak(self) -> None:
        """Begin a new peak."""
        self.peak = self.used


class Charge:
    """The bytes that one holder has charged to a budget."""

    __slots__ = ("_budget", "size")

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self.size = 0

    def set(self, size: int) -> None:
        """Charge `size` bytes in all, whatever was charged before."""
        if size != self.size:
            self._budget.add(size - self.size)
            self.size = size

    def add(self, size: int) -> None:
        """Charge `size` bytes more; fewer if it is negative."""
        self._budget.add(size)
        self.size += size
