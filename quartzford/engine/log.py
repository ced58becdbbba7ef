"""Lines for the operators, bounded in rate."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

LOG_LINES_PER_S = 5.0
MAX_TEXT = 500  # characters of a line


def print_error(text: str) -> None:
    """A line to standard error; lost where what lies behind that fails, which is no error of the caller's."""
    with suppress(OSError):
        print(text, file=sys.stderr, flush=True)


class Log(Protocol):
    """Takes what operators should know."""

    def line(self, topic: str, text: str) -> None:
        """Log a line."""

    def exception(self, where: str) -> None:
        """Log the exception in hand, from within its handler."""


class StderrLog:
    """Standard error, each line with its topic in front; floods are cut."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.tokens = LOG_LINES_PER_S
        self.refilled_at = now()

    def line(self, topic: str, text: str) -> None:
        """Log a line, unless there were too many in the last moment."""
        now = self.now()
        self.tokens = min(LOG_LINES_PER_S, self.tokens + (now - self.refilled_at) * LOG_LINES_PER_S)
        self.refilled_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            print_error(f"{topic}: {text[:MAX_TEXT]}")

    def exception(self, where: str) -> None:
        """Log the exception in hand in one line: its text, then the innermost calls."""
        lines = traceback.format_exc(limit=-3).strip().splitlines()
        calls = (line.strip() for line in lines[1:-1])
        self.line(where, " | ".join([lines[-1], *calls]))
