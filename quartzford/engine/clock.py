"""The clock that the engine, the fronts and the backends get; none of them reads the system clock itself."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, Protocol


class Handle(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the timer, if it has not fired."""


class Clock(Protocol):
    """Monotonic seconds, Unix milliseconds derived from them, and timers."""

    def now(self) -> float:
        """Return monotonic time in seconds."""

    def unix_ms(self) -> float:
        """Return Unix time in milliseconds; it advances with `now`, whatever happens to the system clock."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Handle:
        """Call `callback` once, after `delay` seconds."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Handle:
        """Call `callback` in the next iteration of the event loop."""


class LoopClock:
    """The system's monotonic clock and the timers of an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.now = time.monotonic
        self.call_later = loop.call_later
        self.call_soon = loop.call_soon
        self._anchor_ms = (
            time.time() * 1000.0 - time.monotonic() * 1000.0
        )  # read once: later changes of the system clock have no effect

    def unix_ms(self) -> float:
        """Return Unix time in milliseconds, by the system clock as it was set when this clock was created."""
        return self.now() * 1000.0 + self._anchor_ms
