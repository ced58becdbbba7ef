"""Journal of what a fleet of stand-in upstreams executed, for checks of the retry and duplicate rules.

All times are on one monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol


class OpenConnection(Protocol):
    """The part of a client's connection to an upstream that the journal uses."""

    def still_open(self) -> bool:
        """Return whether the client still keeps the connection open."""


@dataclass
class Execution:
    """One request that an upstream accepted for execution. `at` is in seconds on the monotonic clock."""

    at: float
    identity: str
    service_class: str
    key: str
    block: int
    incarnation: int
    dropped: bool = False  # the block recognised a repeated key, so the request has no effect


class Restart(NamedTuple):
    """A cold start of an upstream, in seconds on the monotonic clock."""

    upstream: str
    incarnation: int
    at: float


class Arrival(NamedTuple):
    """A request's arrival at an upstream, in seconds on the monotonic clock."""

    at: float
    incarnation: int


@dataclass
class ExecutionJournal:
    """Arrivals, executions, rejections and restarts of all upstreams of a fleet."""

    window_s: float = 2.0  # time in which a block drops repeats of a key
    runs: list[Execution] = field(default_factory=list)
    effects: dict[tuple[int, str], float] = field(default_factory=dict)  # last effect, by block and key
    rejected: int = 0  # requests answered 503 with X-Unprocessed
    restarts: list[Restart] = field(default_factory=list)
    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)  # by upstream
    overlapping: int = 0  # executions of a request while a client waited for an earlier execution of it
    # By request id: the connections on which clients wait for the response.
    open_connections: dict[str, list[OpenConnection]] = field(default_factory=dict)

    def record_arrival(self, upstream: str, arrival: Arrival) -> None:
        """Record a complete request, whether or not the upstream executes it."""
        self.arrivals.setdefault(upstream, []).append(arrival)

    def record_execution(self, run: Execution, connection: OpenConnection) -> None:
        """Record an accepted request, and mark it as dropped if its block recognises its key as a repeat."""
        run.dropped = bool(run.key) and self._is_repeat(run)
        self.runs.append(run)
        earlier = self.open_connections.setdefault(run.identity, [])
        self.overlapping += any(other.still_open() for other in earlier)
        earlier.append(connection)

    def client_stopped_waiting(self, identity: str, connection: OpenConnection) -> None:
        """Record that the client has its response or has disconnected: later executions don't overlap."""
        waiting = self.open_connections[identity]
        waiting.remove(connection)
        if not waiting:
            del self.open_connections[identity]

    def _is_repeat(self, run: Execution) -> bool:
        """Return whether the block drops this execution as a repeat of a key; if not, record its effect."""
        last_effect_at = self.effects.get((run.block, run.key))
        if last_effect_at is not None and run.at - last_effect_at <= self.window_s:
            return True
        self.effects[run.block, run.key] = run.at
        return False

    def duplicate_executions(self, service_class: str) -> list[str]:
        """Return the ids of the class's requests that were executed more than once."""
        counts = Counter(run.identity for run in self.runs if run.service_class == service_class)
        return [identity for identity, count in counts.items() if count > 1]

    def duplicate_effects(self, service_class: str, window_s: float) -> list[str]:
        """Return the class's keys with more than one effect if a block drops repeats within the window."""
        effects: dict[str, list[Execution]] = {}
        for run in self.runs:
            if run.service_class == service_class:
                effective_runs = effects.setdefault(run.key, [])
                if not any(e.block == run.block and run.at - e.at <= window_s for e in effective_runs):
                    effective_runs.append(run)
        return [key for key, effective_runs in effects.items() if len(effective_runs) > 1]

    def run_rows(self) -> list[list[Any]]:
        """Return all executions as rows: time, id, class, key, block, dropped."""
        return [[r.at, r.identity, r.service_class, r.key, r.block, r.dropped] for r in self.runs]
