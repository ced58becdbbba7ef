"""Schedules complete lists so that they do not exceed a rate in bytes per second.

No I/O. Times are in seconds.

Each list gets a slot of its length divided by the rate, which begins when the previous slot ends. So few
lists are sent at the same time, and a client that reads slowly does not delay other clients. A call that
would wait for longer than MAX_WAIT_S is given a time after which to retry. Each rejected call is referred to
the next free slot. Retry times beyond MAX_RETRY_S start over from the first free slot, because a balancer
caps its retry time at MAX_RETRY_S. This way many calls return evenly spread.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_WAIT_S = 1.5  # less than the time-out of a client for the first line of a response
MAX_RETRY_S = 3.0  # a balancer must receive a change within six seconds, and retries by then


class Slot(NamedTuple):
    """If granted, the list may be sent after `wait_s`; otherwise the client should retry after `wait_s`."""

    granted: bool
    wait_s: float


class TransferSchedule:
    """Assigns slots to complete lists."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0  # when the last granted slot ends
        self.next_retry_at = 0.0  # the end of the slot that the last rejected call was referred to

    def reserve(self, now: float, size_bytes: int) -> Slot:
        """Return the next slot for a list of this size in bytes."""
        duration = size_bytes / self.bytes_per_s
        begin = max(now, self.free_at)
        if begin - now <= MAX_WAIT_S:
            self.free_at = begin + duration
            return Slot(True, begin - now)
        retry_at = self.next_retry_at
        if not begin <= retry_at <= now + MAX_RETRY_S:
            retry_at = begin
        self.next_retry_at = retry_at + duration
        return Slot(False, min(retry_at - now, MAX_RETRY_S))

    def release(self, size_bytes: int) -> None:
        """Release a granted slot that is not used. size_bytes: the size that it was reserved for."""
        self.free_at -= size_bytes / self.bytes_per_s
