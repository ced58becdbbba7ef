"""What the decisions reckon with: rates, peaks, and what falls due. No choice is made here.

Times are milliseconds on the caller's clock.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import Generic, NamedTuple, TypeVar

RATE_MS = 4_000.0  # span over which a rate is smoothed
MIN_SPAN_MS = 0.25 * RATE_MS  # a rate's first events are taken for at least so long
HEAP_SLACK = 64  # entries that hold no more and may wait on a heap, beside as many as hold
T = TypeVar("T")


class Rate:
    """A smoothed rate of events."""

    def __init__(self) -> None:
        self.start = math.inf  # the first event
        self.last = math.inf  # the latest event
        self.value = 0.0  # events, fading over RATE_MS

    def add(self, now: float) -> None:
        """Count an event."""
        if self.start > now:
            self.start = self.last = now
        self.value = self.value * math.exp((self.last - now) / RATE_MS) + 1.0
        self.last = now

    def read(self, now: float) -> float:
        """Events per millisecond."""
        if not self.value:
            return 0.0
        seen = max(now - self.start, MIN_SPAN_MS)
        value = self.value * math.exp((self.last - now) / RATE_MS)
        return value / (RATE_MS * (1 - math.exp(-seen / RATE_MS)))


@dataclass(slots=True)
class Traffic:
    """What passes through this balancer: requests that arrive, and good answers that come back."""

    arrivals: Rate = field(default_factory=Rate)
    answers: Rate = field(default_factory=Rate)


class Peak(NamedTuple):
    """A figure, and when it was seen."""

    at_ms: float
    figure: float


class Peaks:
    """The largest figure of the last span of ms. pairs: what may yet be it, by time, the largest first."""

    def __init__(self, span: float) -> None:
        self.span = span
        self.pairs: deque[tuple[float, float]] = deque()

    def add(self, now: float, figure: float) -> None:
        """Take a figure that was seen now."""
        while self.pairs and self.pairs[-1][1] <= figure:
            self.pairs.pop()
        self.pairs.append(Peak(now, figure))
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        while self.pairs and now - self.pairs[0][0] > self.span:
            self.pairs.popleft()

    def largest(self, now: float) -> float:
        """The largest figure of the last span; infinite where there is none."""
        self._drop_old(now)
        return self.pairs[0][1] if self.pairs else math.inf


class Deadlines(Generic[T]):
    """What is to be looked at from some moment on, if it still holds then."""

    def __init__(self, holds: Callable[[T], bool]) -> None:
        self.holds = holds
        self.order = count()  # settles ties, so that items need no order
        self.heap: list[tuple[float, int, T]] = []

    def push(self, due: float, item: T, expected: int) -> None:
        """Look at this item after `due`. expected: about as many items as may hold at a time.

        Deadlines may be far away: items that hold no more are dropped before they come.
        """
        heapq.heappush(self.heap, (due, next(self.order), item))
        if len(self.heap) > HEAP_SLACK + expected:
            self.heap[:] = [entry for entry in self.heap if self.holds(entry[2])]
            heapq.heapify(self.heap)

    def passed(self, now: float) -> Iterator[T]:
        """What was due before now and holds; it is taken out."""
        while self.heap and self.heap[0][0] < now:
            item = heapq.heappop(self.heap)[2]
            if self.holds(item):
                yield item

    def __len__(self) -> int:
        return len(self.heap)
