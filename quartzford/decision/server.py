"""The state that a balancer keeps of one server of the endpoint list. Decides nothing."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from quartzford.decision import interface as io
from quartzford.decision.automaton import Shares

NO_SLOT = -1


class AttemptKey(NamedTuple):
    """Identifies an attempt by its request and its index among the attempts of that request, from 0."""

    request: int
    attempt: int


class OutstandingAttempt(NamedTuple):
    """An attempt that was sent and has not ended. Times are in ms, overdue_from_ms on the caller's clock."""

    overdue_from_ms: float  # if it has not ended by then, its server becomes suspect
    typical_latency: float  # of its request class, when the attempt was sent
    timeout: float  # from the send
    service_class: io.ServiceClass


class HoldsShares(Protocol):
    """The object that owns the shares of the servers in use."""

    shares: Shares


@dataclass(slots=True, eq=False)
class Server:
    """A server of the list: its row and the learned state of this incarnation. Times are in ms.

    slot: its index in the columns of the shares while it is in use, else NO_SLOT.
    """

    entry: io.Endpoint
    owner: HoldsShares
    slot: int = NO_SLOT
    started_ms: float = 0.0  # when this incarnation started, on the caller's clock; 0 for long ago
    slow_start_from_ms: float = 0.0  # when its slow start began; 0 for long ago
    failure_rate: float = 0.0  # smoothed share of its attempts that failed, 0 to 1
    ejections: int = 0  # consecutive ejections
    ejected_until: float = -math.inf  # end of the latest ejection
    tokens: float = 1.0  # slow-start budget, in requests
    tokens_ms: float = -math.inf  # when the budget was last refilled
    timely_answers: float = 0.0  # timely answers during slow start, decaying over time
    timely_answers_ms: float = 0.0  # when timely_answers was last updated
    unresponsive_from_ms: float = math.inf  # it is unresponsive if it answers nothing before this
    in_flight: dict[AttemptKey, OutstandingAttempt] = field(default_factory=dict)  # oldest first
    rejecting_until: dict[str, float] = field(default_factory=dict)  # by name of the rejected class

    @property
    def in_use(self) -> bool:
        """Return whether the server is in use: requests may be sent only to servers in use."""
        return self.slot >= 0

    @property
    def p(self) -> float:
        """Return its probability of being drawn; 0 if it is not in use."""
        return self._value(self.owner.shares.p)

    @property
    def cost(self) -> float | None:
        """Return its smoothed cost in typical latencies; None if no cost is known or it is not in use."""
        if not self.owner.shares.has_costs or not self.in_use:
            return None
        return self._value(self.owner.shares.cost)

    def _value(self, column: Any) -> float:
        return float(column[self.slot]) if self.in_use else 0.0

    def oldest_attempt(self) -> OutstandingAttempt | None:
        """Return the attempt that has been in flight longest, or None."""
        return next(iter(self.in_flight.values()), None)

    def clear_health(self) -> None:
        """Reset the failure rate and ejections, as for a new server."""
        self.failure_rate = 0.0
        self.ejections = 0
        self.ejected_until = -math.inf
