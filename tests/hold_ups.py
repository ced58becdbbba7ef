"""Measures hold-ups of the test's event loop: those that a test causes, and those that the machine adds."""

from __future__ import annotations

import asyncio
import math
import time

TICK_S = 0.005
MIN_HOLD_UP_S = 0.01  # a tick that is late by less than this does not count as a hold-up


class HoldUps:
    """Context manager that measures how long the loop was held up, without the hold-ups that the test caused.

    A balancer in this process is designed for one hold-up of a known length. Hold-ups that the machine adds
    are not its fault. A test therefore adds `unplanned_s` to the time limit of the rule that it checks; the
    value is 0 if the machine added nothing.
    """

    async def __aenter__(self) -> HoldUps:
        self._held_s = 0.0
        self._planned_s = 0.0  # planned hold-ups since the last tick
        self._ticked = time.monotonic()
        self._ticking = asyncio.ensure_future(self._tick())
        return self

    async def __aexit__(self, *error: object) -> None:
        self._held_s = self.unplanned_s
        self._ticked = math.inf  # stops the measurement
        self._ticking.cancel()

    def hold(self, seconds: float) -> None:
        """Block the loop for this time and count it as planned."""
        self._planned_s += seconds
        time.sleep(seconds)

    @property
    def unplanned_s(self) -> float:
        """Unplanned hold-ups in seconds, including one that ended after the last tick."""
        late_s = time.monotonic() - self._ticked - TICK_S - self._planned_s
        return self._held_s + (late_s if late_s > MIN_HOLD_UP_S else 0.0)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._held_s = self.unplanned_s
            self._ticked = time.monotonic()
            self._planned_s = 0.0
