"""One account of the bytes that a process holds for its clients, with a limit on all of them together."""

from __future__ import annotations


class BufferBudget:
    """Counts the bytes held for all connections; callers check `is_exhausted` before they read more."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def is_exhausted(self) -> bool:
        """Return whether the limit is reached, so that nothing more may be read for now."""
        return self.used >= self.limit


class Charge:
    """The bytes that one holder has charged to a budget."""

    __slots__ = ("_budget", "size")

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self.size = 0

    def set(self, size: int) -> None:
        """Charge `size` bytes in all, whatever was charged before."""
        self._budget.used += size - self.size
        self.size = size

    def add(self, size: int) -> None:
        """Charge `size` bytes more; fewer if it is negative."""
        self._budget.used += size
        self.size += size
