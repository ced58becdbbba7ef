"""The upstreams of bench.fleetmodel, and the attempts that they work on."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bench.coldbudget import cold_budget
from bench.fleetmodel_settings import (
    CORES,
    MEAN_WORK_MS,
    OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW_MS,
    SLOW_START_CAPACITY,
    SLOW_START_MS,
)
from quartzford.decision import interface as io

if TYPE_CHECKING:
    from bench.fleetmodel_balancer import ModelBalancer


@dataclass(eq=False)
class Upstream:
    """One incarnation of an upstream; it works first come, first served and knows nothing of balancers.

    started_ms: 0 means long ago. speed: work a millisecond of each core when warm. dead: it refuses
    connections. unreachable: it neither accepts nor answers. unresponsive: it takes requests and answers
    none.
    """

    name: str
    zone: str
    cell: int
    speed: float
    started_ms: float = 0.0
    cores: int = CORES
    dead: bool = False
    unreachable: bool = False
    unresponsive: bool = False
    busy_cores: int = 0
    connections: int = 0
    queue: deque[Attempt] = field(default_factory=deque)
    cold_arrivals: deque[tuple[float, float]] = field(default_factory=deque)  # in the window: when, work
    window_work: float = 0.0  # their sum
    largest_multiple: float = 0.0  # of what it could do in a window, while cold
    largest_use: float = 0.0  # part of its cold budget that it got

    def capacity_share(self, now: float) -> float:
        """The part of its speed that it has reached in its slow start."""
        if not self.started_ms:
            return 1.0
        age = now - self.started_ms
        return min(1.0, SLOW_START_CAPACITY + (1 - SLOW_START_CAPACITY) * age / SLOW_START_MS)

    def withstands(self, now: float, work: float) -> bool:
        """Count work that arrives; False: the upstream is cold and this exceeds its cold budget."""
        if self.capacity_share(now) >= 1.0:
            return True
        self.cold_arrivals.append((now, work))
        self.window_work += work
        while self.cold_arrivals[0][0] <= now - OVERLOAD_WINDOW_MS:
            self.window_work -= self.cold_arrivals.popleft()[1]
        capacity = self.capacity_share(now) * self.speed * self.cores * OVERLOAD_WINDOW_MS
        self.largest_multiple = max(self.largest_multiple, self.window_work / capacity)
        budget = cold_budget(OVERLOAD_MULTIPLE * capacity / MEAN_WORK_MS)
        use = self.window_work / MEAN_WORK_MS / budget
        self.largest_use = max(self.largest_use, use)
        return use <= 1.0

    def endpoint(self, state: str) -> io.Endpoint:
        """Its row of the endpoint list, with a state."""
        return io.Endpoint(self.name, self.zone, "std", self.cell, state, 1.0, self.started_ms)


@dataclass(eq=False)
class Attempt:
    """An attempt of a balancer on its way, until it ends there. work: ms at speed 1; begun_ms: its start."""

    balancer: ModelBalancer
    send: io.Send
    number: int  # of the request's attempts, from 0 on
    upstream: Upstream
    begun_ms: float
    work: float
    on_kept_connection: bool = False
    has_connection: bool = False
    ended: bool = False
