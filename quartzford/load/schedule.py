"""The schedule of a worker: planned requests, retries and the timeouts of attempts, by due time.

All times are seconds on the monotonic clock. An entry that is added while due entries are being taken is
taken in the same pass if it is also due.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from quartzford.load.attempt import ClientAttempt, ClientRequest
from quartzford.load.connection import TargetConnection
from quartzford.load.plan import PlannedRequest


class DuePlanned(NamedTuple):
    """A request of the plan that is due."""

    planned: PlannedRequest
    intended_at: float


class DueAttempt(NamedTuple):
    """A scheduled attempt: a retry, or the first attempt of a request that was started before it was due."""

    intended_at: float
    number: int  # the request's; the order of attempts that are due at the same time
    request: ClientRequest


class Timeout(NamedTuple):
    """The time at which an attempt times out. connection: the one that carries it; None: it waits for one."""

    at: float
    number: int  # the order of timeouts that are due at the same time
    attempt: ClientAttempt
    connection: TargetConnection | None


class Schedule:
    """The planned requests, attempts and timeouts of a worker that have not been taken yet."""

    def __init__(self, planned: Iterator[PlannedRequest], start: float) -> None:
        """planned: in the order of their offsets, which count from start."""
        self._planned = planned
        self._start = start
        self._next_planned = next(planned, None)
        self._attempts: list[DueAttempt] = []
        self._timeouts: list[Timeout] = []

    @property
    def plan_ended(self) -> bool:
        """True if all planned requests were taken."""
        return self._next_planned is None

    def add_attempt(self, request: ClientRequest, intended_at: float) -> None:
        """Schedule an attempt of a request."""
        heapq.heappush(self._attempts, DueAttempt(intended_at, request.number, request))

    def add_timeout(self, timeout: Timeout) -> None:
        """Schedule the timeout of an attempt. It is yielded when due, even if the attempt has ended."""
        heapq.heappush(self._timeouts, timeout)

    def take_planned(self, now: float) -> Iterator[DuePlanned]:
        """Remove and yield the planned requests that are due."""
        while self._next_planned is not None and self._start + self._next_planned.offset <= now:
            planned, self._next_planned = self._next_planned, next(self._planned, None)
            yield DuePlanned(planned, self._start + planned.offset)

    def take_attempts(self, now: float) -> Iterator[DueAttempt]:
        """Remove and yield the attempts that are due."""
        while self._attempts and self._attempts[0].intended_at <= now:
            yield heapq.heappop(self._attempts)

    def take_timeouts(self, now: float) -> Iterator[Timeout]:
        """Remove and yield the timeouts that are due."""
        while self._timeouts and self._timeouts[0].at <= now:
            yield heapq.heappop(self._timeouts)

    def next_due_at(self) -> float | None:
        """Return the time at which the next entry is due; None if nothing is scheduled."""
        due_times = []
        if self._timeouts:
            due_times.append(self._timeouts[0].at)
        if self._attempts:
            due_times.append(self._attempts[0].intended_at)
        if self._next_planned is not None:
            due_times.append(self._start + self._next_planned.offset)
        return min(due_times, default=None)
