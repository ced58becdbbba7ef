"""Time as it is handed to the engine, its fronts and its backends: none of them reads the system's clock."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, Protocol


class Handle(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Cancel it, if it has not fired."""


class Clock(Protocol):
    """Seconds that never jump, Unix milliseconds on the same scale, and timers."""

    def now(self) -> float:
        """Monotonic seconds."""

    def unix_ms(self) -> float:
        """Unix time in milliseconds, moved by `now` alone: setting the system's clock does not move it."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Handle:
        """Call back once, after so many seconds."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Handle:
        """Call back in the next turn."""


class LoopClock:
    """The system's monotonic clock and an event loop's timers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.now = time.monotonic
        self.call_later = loop.call_later
        self.call_soon = loop.call_soon
        self._anchor_ms = time.time() * 1000.0 - time.monotonic() * 1000.0  # once: the clock never jumps

    def unix_ms(self) -> float:
        """Unix milliseconds, by the system's clock as it was when this one was made."""
        return self.now() * 1000.0 + self._anchor_ms
