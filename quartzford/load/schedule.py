"""What a worker has to do next, and when: planned requests, retries and the timeouts of attempts.

All times are on the monotonic clock, in seconds. What is scheduled while due entries are taken is taken with
them if it is due too.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from quartzford.load.attempt import ClientAttempt, ClientRequest
from quartzford.load.connection import TargetConnection
from quartzford.load.plan import PlannedRequest


class DuePlanned(NamedTuple):
    """A request of the plan whose time has come."""

    planned: PlannedRequest
    intended_at: float


class DueAttempt(NamedTuple):
    """An attempt to be begun: a retry, or the first of a request that had to wait."""

    intended_at: float
    number: int  # of the request; orders attempts that are due at once
    request: ClientRequest


class Timeout(NamedTuple):
    """When an attempt is given up. connection: which carries it; None: it waits for one."""

    at: float
    number: int  # orders timeouts that are due at once
    attempt: ClientAttempt
    connection: TargetConnection | None


class Schedule:
    """What a worker has to do next."""

    def __init__(self, planned: Iterator[PlannedRequest], start: float) -> None:
        """planned: in the order of their offsets, which count from start."""
        self._planned = planned
        self._start = start
        self._next_planned = next(planned, None)
        self._attempts: list[DueAttempt] = []
        self._timeouts: list[Timeout] = []

    @property
    def plan_ended(self) -> bool:
        """Whether all planned requests were taken."""
        return self._next_planned is None

    def add_attempt(self, request: ClientRequest, intended_at: float) -> None:
        """Schedule an attempt of a request."""
        heapq.heappush(self._attempts, DueAttempt(intended_at, request.number, request))

    def add_timeout(self, timeout: Timeout) -> None:
        """Schedule the timeout of an attempt. One whose attempt has ended by then is taken all the same."""
        heapq.heappush(self._timeouts, timeout)

    def take_planned(self, now: float) -> Iterator[DuePlanned]:
        """Yield planned requests that are due."""
        while self._next_planned is not None and self._start + self._next_planned.offset <= now:
            planned, self._next_planned = self._next_planned, next(self._planned, None)
            yield DuePlanned(planned, self._start + planned.offset)

    def take_attempts(self, now: float) -> Iterator[DueAttempt]:
        """Yield attempts that are due."""
        while self._attempts and self._attempts[0].intended_at <= now:
            yield heapq.heappop(self._attempts)

    def take_timeouts(self, now: float) -> Iterator[Timeout]:
        """Yield timeouts that are due."""
        while self._timeouts and self._timeouts[0].at <= now:
            yield heapq.heappop(self._timeouts)

    def next_at(self) -> float | None:
        """Return when the next thing is due; None: nothing is scheduled."""
        moments = []
        if self._timeouts:
            moments.append(self._timeouts[0].at)
        if self._attempts:
            moments.append(self._attempts[0].intended_at)
        if self._next_planned is not None:
            moments.append(self._start + self._next_planned.offset)
        return min(moments, default=None)
