"""One server of the endpoint list, as this balancer has seen it. No choice is made here."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from quartzford.decision import interface as io
from quartzford.decision.automaton import Shares

NO_SLOT = -1


class AttemptKey(NamedTuple):
    """Names an attempt: its request, and its number among the attempts of that request, from 0."""

    request: int
    attempt: int


class OutstandingAttempt(NamedTuple):
    """An attempt that was sent and has not ended. Times in ms; `overdue_from_ms` on the caller's clock."""

    overdue_from_ms: float  # past this, its server is suspect
    typical_latency: float  # of its class
    timeout: float
    service_class: io.ServiceClass


class HoldsShares(Protocol):
    """Whoever holds the figures of the servers in use."""

    shares: Shares


@dataclass(slots=True, eq=False)
class Server:
    """A server of the list: its row, and what was learnt of this incarnation. Times in ms.

    slot: its place in the figures while it is in use, else NO_SLOT.
    """

    entry: io.Endpoint
    owner: HoldsShares
    slot: int = NO_SLOT
    started_ms: float = 0.0  # when this incarnation started, on our clock; 0 for long ago
    slow_start_from_ms: float = 0.0  # slow start counts from here; 0 for long ago
    failure_rate: float = 0.0  # smoothed share of its attempts that failed
    ejections: int = 0  # in a row
    ejected_until: float = -math.inf
    tokens: float = 1.0  # slow-start budget, in requests
    tokens_ms: float = -math.inf  # when the budget was last refilled
    timely_answers: float = 0.0  # answers in good time while cold, fading
    timely_answers_ms: float = 0.0
    unresponsive_from_ms: float = math.inf  # with nothing answered until then, it is unresponsive
    in_flight: dict[AttemptKey, OutstandingAttempt] = field(default_factory=dict)  # oldest first
    rejecting_until: dict[str, float] = field(default_factory=dict)  # by class that it rejected

    @property
    def in_use(self) -> bool:
        """Whether requests may be sent to it at all."""
        return self.slot >= 0

    @property
    def p(self) -> float:
        """Its share of P; 0 if it is not in use."""
        return self._figure(self.owner.shares.p)

    @property
    def cost(self) -> float | None:
        """Its smoothed cost in typical latencies; None before any is known, or if it is not in use."""
        if not self.owner.shares.has_costs or not self.in_use:
            return None
        return self._figure(self.owner.shares.cost)

    def _figure(self, column: Any) -> float:
        return float(column[self.slot]) if self.in_use else 0.0

    def oldest_attempt(self) -> OutstandingAttempt | None:
        """The attempt that has been out for longest."""
        return next(iter(self.in_flight.values()), None)

    def clear_health(self) -> None:
        """Forget failures and ejections: the server begins anew."""
        self.failure_rate = 0.0
        self.ejections = 0
        self.ejected_until = -math.inf
