"""In which order whole lists are let out, at no more than so many bytes a second. No I/O.

Each list takes the rate for as long as its bytes last at it, and begins when those before it have had theirs.
So few are under way at a time, and one whose watcher reads slowly keeps nobody else waiting. Who would wait
for longer than MOST_WAIT_S is told when to come again: each later than the one before, and from the beginning
past what a balancer waits at most, so that those who are many come evenly. Times are in seconds.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_WAIT_S = 1.5  # within the time that a call's first line may take
MAX_RETRY_S = 3.0  # a balancer that is to be told a change in six seconds asks again by then


class Slot(NamedTuple):
    """granted: the list may be written after `wait`; else the caller should come again after it."""

    granted: bool
    wait: float


class TransferSchedule:
    """The time that whole lists have been given so far."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0  # all that have a turn have had it
        self.next_retry_at = 0.0  # to the last one that was turned away

    def reserve(self, now: float, size: int) -> Slot:
        """A turn for a list of so many bytes."""
        begin, lasts = max(now, self.free_at), size / self.bytes_per_s
        if begin - now <= MAX_WAIT_S:
            self.free_at = begin + lasts
            return Slot(True, begin - now)
        promised = self.next_retry_at if begin <= self.next_retry_at <= now + MAX_RETRY_S else begin
        self.next_retry_at = promised + lasts
        return Slot(False, min(promised - now, MAX_RETRY_S))

    def release(self, size: int) -> None:
        """A turn that was granted is not wanted any more."""
        self.free_at -= size / self.bytes_per_s
