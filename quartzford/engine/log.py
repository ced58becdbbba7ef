"""Lines for the operators, bounded in rate."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

LOG_LINES_PER_S = 5.0


def print_error(text: str) -> None:
    """A line to standard error; lost where what lies behind that fails, which is no error of the caller's."""
    with suppress(OSError):
        print(text, file=sys.stderr, flush=True)


class Log(Protocol):
    """Where a part says what operators should know."""

    def line(self, topic: str, text: str) -> None: ...

    def exception(self, where: str) -> None: ...


class StderrLog:
    """Standard error, each line with its topic in front; floods are cut."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.tokens, self.refilled_at = LOG_LINES_PER_S, now()

    def line(self, topic: str, text: str) -> None:
        now = self.now()
        self.tokens = min(LOG_LINES_PER_S, self.tokens + (now - self.refilled_at) * LOG_LINES_PER_S)
        self.refilled_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            print_error(f"{topic}: {text[:500]}")

    def exception(self, where: str) -> None:
        """An exception at a boundary, from within its handler."""
        lines = traceback.format_exc(limit=-3).strip().splitlines()
        self.line(where, " | ".join([lines[-1], *(line.strip() for line in lines[1:-1])]))
