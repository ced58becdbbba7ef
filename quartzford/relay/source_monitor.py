"""Monitors whether a relay's source, the list service, is current. No I/O. Times are in seconds."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from quartzford.engine import Clock

LATE_AFTER_S = 2.25  # the source sends a line every two seconds
LOST_AFTER_S = 3.5  # without a line


class SourceState(Enum):
    """The state of the source as the relay sees it."""

    CURRENT = "current"
    LATE = "late"  # its next line is overdue, or no watch on it is open
    LOST = "lost"


class SourceMonitor:
    """Derives the source's state from the time of its last line.

    last_line_at: returns the clock time of that line. connected: returns whether a watch on the source is
    open.
    """

    def __init__(
        self, last_line_at: Callable[[], float], connected: Callable[[], bool], clock: Clock
    ) -> None:
        self.last_line_at = last_line_at
        self._connected = connected
        self._clock = clock
        self._started_at = clock.now()

    def start(self) -> None:
        """Measure the time without a line from now on."""
        self._started_at = self._clock.now()

    def state(self) -> SourceState:
        """Return the current state. It is never CURRENT without a watch: the source may have restarted."""
        now = self._clock.now()
        if self._connected() and now - self.last_line_at() <= LATE_AFTER_S:
            return SourceState.CURRENT
        last_activity_at = max(self.last_line_at(), self._started_at)
        return SourceState.LATE if now - last_activity_at <= LOST_AFTER_S else SourceState.LOST
