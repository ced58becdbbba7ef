"""When complete lists are sent, at no more than a rate in bytes a second. No I/O. Times are in seconds.

Each list takes the rate for as long as its bytes last at it, and begins when those before it have had theirs.
So few are under way at a time, and a client that reads slowly delays no other. A call that would wait for
longer than MAX_WAIT_S gets a time after which to retry: each the next free slot, and from the first one again
past MAX_RETRY_S, where a balancer cuts the time that it was given, so that many calls come back evenly.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_WAIT_S = 1.5  # less than the first line of a response may take
MAX_RETRY_S = 3.0  # a balancer that has to get a change within six seconds calls again by then


class Slot(NamedTuple):
    """granted: the list may be sent after `wait`; else the client should retry after `wait`."""

    granted: bool
    wait: float


class TransferSchedule:
    """The slots that have been given to complete lists so far."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0  # when the last granted slot ends
        self.next_retry_at = 0.0  # when the slot ends that the last rejected call was referred to

    def reserve(self, now: float, size: int) -> Slot:
        """The next slot for a list. size: in bytes."""
        duration = size / self.bytes_per_s
        begin = max(now, self.free_at)
        if begin - now <= MAX_WAIT_S:
            self.free_at = begin + duration
            return Slot(True, begin - now)
        retry_at = self.next_retry_at
        if not begin <= retry_at <= now + MAX_RETRY_S:
            retry_at = begin
        self.next_retry_at = retry_at + duration
        return Slot(False, min(retry_at - now, MAX_RETRY_S))

    def release(self, size: int) -> None:
        """Give back a granted slot that is not used. size: the bytes that it was reserved for."""
        self.free_at -= size / self.bytes_per_s
