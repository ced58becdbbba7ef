"""Hold-ups of the test's own process: those that a test makes, and those that the machine adds."""

from __future__ import annotations

import asyncio
import math
import time

TICK_S = 0.005
NOTABLE_S = 0.01  # a tick that is less late than this is no hold-up


class HoldUps:
    """How long this loop was held up in all while the block ran, less what the test itself held it up.

    A balancer in this process is built for one hold-up of a known length. What the machine adds is no fault
    of its: bounds in time are the rule's own plus `unplanned_s`, which is 0 where nothing was added.
    """

    async def __aenter__(self) -> HoldUps:
        self._held_s = 0.0
        self._planned_s = 0.0  # since the last tick
        self._ticked = time.monotonic()
        self._ticking = asyncio.ensure_future(self._tick())
        return self

    async def __aexit__(self, *error: object) -> None:
        self._held_s = self.unplanned_s
        self._ticked = math.inf  # nothing counts any more
        self._ticking.cancel()

    def hold(self, seconds: float) -> None:
        """Hold the loop up, as planned."""
        self._planned_s += seconds
        time.sleep(seconds)

    @property
    def unplanned_s(self) -> float:
        """Seconds; also of a hold-up that the loop has just come out of."""
        late_s = time.monotonic() - self._ticked - TICK_S - self._planned_s
        return self._held_s + (late_s if late_s > NOTABLE_S else 0.0)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._held_s = self.unplanned_s
            self._ticked = time.monotonic()
            self._planned_s = 0.0
