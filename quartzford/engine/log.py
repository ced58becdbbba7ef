"""Log lines for operators, with a limit on their rate."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

LOG_LINES_PER_S = 5.0
MAX_LINE_CHARS = 500  # longer texts are truncated


def print_error(text: str) -> None:
    """Print a line to standard error. If the write fails, the line is lost: the caller gets no exception."""
    with suppress(OSError):
        print(text, file=sys.stderr, flush=True)


class Log(Protocol):
    """Receives log lines for operators."""

    def line(self, topic: str, text: str) -> None:
        """Log a line."""

    def exception(self, where: str) -> None:
        """Log the exception that is being handled; call it from an except block."""


class StderrLog:
    """Logs to standard error, each line prefixed with its topic. A token bucket limits the rate of lines."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.tokens = LOG_LINES_PER_S
        self.refilled_at = now()

    def line(self, topic: str, text: str) -> None:
        """Log a line, or discard it if the rate limit is exceeded."""
        now = self.now()
        self.tokens = min(LOG_LINES_PER_S, self.tokens + (now - self.refilled_at) * LOG_LINES_PER_S)
        self.refilled_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            print_error(f"{topic}: {text[:MAX_LINE_CHARS]}")

    def exception(self, where: str) -> None:
        """Log the exception that is being handled in one line: its text, then the innermost calls."""
        lines = traceback.format_exc(limit=-3).strip().splitlines()
        calls = (line.strip() for line in lines[1:-1])
        self.line(where, " | ".join([lines[-1], *calls]))
