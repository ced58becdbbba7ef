"""Limits what is read of long responses in a turn of the event loop, over all connections to upstreams."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from quartzford.engine import Clock

MAX_READS_PER_TURN = 4


class BulkReader(Protocol):
    """A connection that has more to read."""

    def resume_bulk_read(self) -> None:
        """Read on."""


class BulkReads:
    """Lets connections with more to read take turns; what fits into one read needs no turn.

    The event loop reads a connection up to 32 times in a turn as long as whole buffers come. New requests and
    short answers are read in every turn, so that these do not wait for more than MAX_READS_PER_TURN.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: deque[BulkReader] = deque()
        self._scheduled = False

    def wait(self, reader: BulkReader) -> None:
        """Have a connection, whose reading is paused, read on in a later turn of the event loop."""
        self._waiting.append(reader)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._clock.call_soon(self._next_turn)

    def _next_turn(self) -> None:
        self._scheduled = False
        for _ in range(min(len(self._waiting), MAX_READS_PER_TURN)):
            self._waiting.popleft().resume_bulk_read()
        if self._waiting:
            self._schedule()
