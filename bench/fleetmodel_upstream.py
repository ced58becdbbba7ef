"""The upstreams of bench.fleetmodel, and the attempts that they work on."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bench.coldbudget import cold_budget
from bench.fleetmodel_settings import COLD_MS, CORES, FALL_MS, MEAN_MS, START, TIP
from quartzford.decision import interface as io

if TYPE_CHECKING:
    from bench.fleetmodel_balancer import Node


@dataclass(eq=False)
class Upstream:
    """One life of an upstream; it works in its own order and knows nothing of balancers."""

    name: str
    zone: str
    cell: int
    speed: float
    born: float = 0.0
    cores: int = CORES
    state: str = "ready"  # as discovery knows it
    dead: bool = False  # refuses
    silent: bool = False
    mute: bool = False  # takes what comes and answers nothing
    busy: int = 0
    held: int = 0  # connections
    waiting: deque[Job] = field(default_factory=deque)
    sent: deque[tuple[float, float]] = field(default_factory=deque)  # while cold: when, work
    window: float = 0.0
    highest: float = 0.0  # multiple of what it could do
    use: float = 0.0  # largest part of its cold budget that it got

    def warmth(self, now: float) -> float:
        return 1.0 if not self.born else min(1.0, START + (1 - START) * (now - self.born) / COLD_MS)

    def take(self, now: float, work: float) -> bool:
        """Work comes to one that is cold; whether it bears it. It falls over past its cold budget."""
        if self.warmth(now) >= 1.0:
            return True
        self.sent.append((now, work))
        self.window += work
        while self.sent[0][0] <= now - FALL_MS:
            self.window -= self.sent.popleft()[1]
        can = self.warmth(now) * self.speed * self.cores * FALL_MS
        self.highest = max(self.highest, self.window / can)
        use = self.window / MEAN_MS / cold_budget(TIP * can / MEAN_MS)
        self.use = max(self.use, use)
        return use <= 1.0

    def entry(self, state: str) -> io.Endpoint:
        return io.Endpoint(self.name, self.zone, "std", self.cell, state, 1.0, self.born)


@dataclass(eq=False)
class Job:
    """An attempt on its way: at an upstream until it ends for its balancer."""

    at: Node
    send: io.Send
    number: int
    upstream: Upstream
    begun: float
    work: float
    kept: bool = False  # on a connection that stood already
    linked: bool = False  # holds a connection
    working: bool = False
    over: bool = False
