"""A limit on the bytes that fronts and backends buffer in total."""

from __future__ import annotations


class BufferBudget:
    """Counts the bytes buffered for all connections; callers check `is_exhausted` before they read more."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def is_exhausted(self) -> bool:
        """Return whether the limit is reached, so that nothing more may be read for now."""
        return self.used >= self.limit
