"""Data structures for decisions: smoothed rates, a sliding maximum and a heap of deadlines.

Times are in milliseconds on the caller's clock. This module makes no decisions.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import Generic, NamedTuple, TypeVar

RATE_WINDOW_MS = 4_000.0  # time constant of the exponential smoothing of a rate
MIN_RATE_SPAN_MS = 0.25 * RATE_WINDOW_MS  # the first events of a rate are spread over at least this time
MAX_STALE_HEAP_ENTRIES = 64  # a heap is compacted if it has this many entries more than expected
T = TypeVar("T")


class Rate:
    """An exponentially smoothed rate of events."""

    def __init__(self) -> None:
        self.start = math.inf  # when the first event was added
        self.last = math.inf  # when the latest event was added
        self.value = 0.0  # number of events, decayed with the time constant RATE_WINDOW_MS up to `last`

    def add(self, now: float) -> None:
        """Add an event that happens now."""
        if self.start > now:
            self.start = self.last = now
        self.value = self.value * math.exp((self.last - now) / RATE_WINDOW_MS) + 1.0
        self.last = now

    def read(self, now: float) -> float:
        """Return the rate in events per millisecond."""
        if not self.value:
            return 0.0
        observed_ms = max(now - self.start, MIN_RATE_SPAN_MS)
        value = self.value * math.exp((self.last - now) / RATE_WINDOW_MS)
        return value / (RATE_WINDOW_MS * (1 - math.exp(-observed_ms / RATE_WINDOW_MS)))


@dataclass(slots=True)
class Traffic:
    """The rates of arriving requests and of successful answers at this balancer."""

    arrivals: Rate = field(default_factory=Rate)
    answers: Rate = field(default_factory=Rate)


class Peak(NamedTuple):
    """A value and the time of its observation."""

    at_ms: float
    value: float


class SlidingMaximum:
    """The maximum of the values observed in the last window_ms milliseconds.

    candidates: the values that are, or may become, the maximum: oldest first, with decreasing values.
    """

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self.candidates: deque[tuple[float, float]] = deque()

    def add(self, now: float, value: float) -> None:
        """Add a value that is observed now."""
        while self.candidates and self.candidates[-1][1] <= value:
            self.candidates.pop()
        self.candidates.append(Peak(now, value))
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        while self.candidates and now - self.candidates[0][0] > self.window_ms:
            self.candidates.popleft()

    def largest(self, now: float) -> float:
        """Return the maximum of the last window; infinity if no value was observed in it."""
        self._drop_old(now)
        return self.candidates[0][1] if self.candidates else math.inf


class DeadlineHeap(Generic[T]):
    """Items with deadlines. An item whose deadline no longer applies is stale, and is dropped silently.

    is_current: returns whether an item's deadline still applies.
    """

    def __init__(self, is_current: Callable[[T], bool]) -> None:
        self.is_current = is_current
        self.sequence = count()  # breaks ties between equal deadlines, so that items are never compared
        self.heap: list[tuple[float, int, T]] = []  # deadline in ms, sequence number, item

    def push(self, deadline_ms: float, item: T, expected_count: int) -> None:
        """Add an item. expected_count: approximate maximum number of current items.

        Deadlines may be far in the future. So when the heap grows, stale items are removed before their
        deadlines pass.
        """
        heapq.heappush(self.heap, (deadline_ms, next(self.sequence), item))
        if len(self.heap) > MAX_STALE_HEAP_ENTRIES + expected_count:
            self.heap[:] = [entry for entry in self.heap if self.is_current(entry[2])]
            heapq.heapify(self.heap)

    def pop_passed(self, now: float) -> Iterator[T]:
        """Remove the items whose deadlines were before now, and yield those that are current."""
        while self.heap and self.heap[0][0] < now:
            item = heapq.heappop(self.heap)[2]
            if self.is_current(item):
                yield item

    def __len__(self) -> int:
        return len(self.heap)
