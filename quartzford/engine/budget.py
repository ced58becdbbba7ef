"""A bound on the bytes that fronts and backends hold together."""

from __future__ import annotations


class BufferBudget:
    """Bytes held over all connections; `is_exhausted` is checked before more is read."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def is_exhausted(self) -> bool:
        """Whether no more may be read for now."""
        return self.used >= self.limit
