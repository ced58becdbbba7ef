"""What the decisions reckon with: rates, peaks, and what falls due. No choice is made here."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable, Iterator
from itertools import count
from typing import Generic, TypeVar

RATE_MS = 4_000.0
T = TypeVar("T")


class Rate:
    """A smoothed rate per millisecond."""

    def __init__(self) -> None:
        self.start = self.last = math.inf
        self.value = 0.0

    def add(self, now: float) -> None:
        if self.start > now:
            self.start = self.last = now
        self.value = self.value * math.exp((self.last - now) / RATE_MS) + 1.0
        self.last = now

    def read(self, now: float) -> float:
        if not self.value:
            return 0.0
        seen = max(now - self.start, 0.25 * RATE_MS)
        value = self.value * math.exp((self.last - now) / RATE_MS)
        return value / (RATE_MS * (1 - math.exp(-seen / RATE_MS)))


class Peaks:
    """The largest of the figures of the last span, in ms. pairs: what may yet be it, as (when, figure)."""

    def __init__(self, span: float) -> None:
        self.span = span
        self.pairs: deque[tuple[float, float]] = deque()

    def add(self, now: float, figure: float) -> None:
        while self.pairs and self.pairs[-1][1] <= figure:
            self.pairs.pop()
        self.pairs.append((now, figure))
        self._fade(now)

    def _fade(self, now: float) -> None:
        while self.pairs and now - self.pairs[0][0] > self.span:
            self.pairs.popleft()

    def most(self, now: float) -> float:
        """Infinite where there is none."""
        self._fade(now)
        return self.pairs[0][1] if self.pairs else math.inf


class Deadlines(Generic[T]):
    """What is to be looked at from some moment on, if it still holds then."""

    def __init__(self, holds: Callable[[T], bool]) -> None:
        self.holds, self.order = holds, count()
        self.heap: list[tuple[float, int, T]] = []

    def push(self, due: float, item: T, room: int) -> None:
        """room: about as many as may hold. Dues may be far: what holds no more goes before they come."""
        heapq.heappush(self.heap, (due, next(self.order), item))
        if len(self.heap) > 64 + room:
            self.heap[:] = [entry for entry in self.heap if self.holds(entry[2])]
            heapq.heapify(self.heap)

    def passed(self, now: float) -> Iterator[T]:
        """What was due before now and holds; it is taken out."""
        while self.heap and self.heap[0][0] < now:
            if self.holds(item := heapq.heappop(self.heap)[2]):
                yield item

    def __len__(self) -> int:
        return len(self.heap)
