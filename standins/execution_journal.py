"""What a fleet of stand-in upstreams executed, kept on one monotonic clock for the rules to be checked by."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol


class OpenConnection(Protocol):
    """A client's connection to an upstream, as the journal needs it."""

    def still_open(self) -> bool:
        """Whether the client still holds it open."""


@dataclass
class Execution:
    """One request that an upstream began. `at` is in seconds on the monotonic clock."""

    at: float
    identity: str
    service_class: str
    key: str
    block: int
    incarnation: int
    dropped: bool = False  # a repeat that its block recognised: no effect


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
    """What all upstreams of a fleet saw."""

    window_s: float = 2.0  # for how long a block drops repeats of a key
    runs: list[Execution] = field(default_factory=list)
    effects: dict[tuple[int, str], float] = field(default_factory=dict)  # by block and key: when
    rejected: int = 0  # requests answered 503 with X-Unprocessed
    restarts: list[Restart] = field(default_factory=list)
    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)  # by upstream
    overlapping: int = 0  # executions of a request while a client still waited for another one
    # By request id: the connections whose clients wait for its answer.
    open_connections: dict[str, list[OpenConnection]] = field(default_factory=dict)

    def record_arrival(self, upstream: str, arrival: Arrival) -> None:
        """Record a complete request, before it is known whether it will be executed."""
        self.arrivals.setdefault(upstream, []).append(arrival)

    def record_execution(self, run: Execution, connection: OpenConnection) -> None:
        """Record a request that begins, marking it as dropped if its block has seen its key."""
        run.dropped = bool(run.key) and self._is_repeat(run)
        self.runs.append(run)
        earlier = self.open_connections.setdefault(run.identity, [])
        self.overlapping += any(one.still_open() for one in earlier)
        earlier.append(connection)

    def client_stopped_waiting(self, identity: str, connection: OpenConnection) -> None:
        """Its client has its answer or has left: another execution does not overlap with this one."""
        waiting = self.open_connections[identity]
        waiting.remove(connection)
        if not waiting:
            del self.open_connections[identity]

    def _is_repeat(self, run: Execution) -> bool:
        """Whether its block drops this run as a repeat of a key; otherwise it takes effect now."""
        first = self.effects.get((run.block, run.key))
        if first is not None and run.at - first <= self.window_s:
            return True
        self.effects[run.block, run.key] = run.at
        return False

    def duplicate_executions(self, service_class: str) -> list[str]:
        """Ids of a class that began more than once."""
        counts = Counter(run.identity for run in self.runs if run.service_class == service_class)
        return [identity for identity, count in counts.items() if count > 1]

    def duplicate_effects(self, service_class: str, window_s: float) -> list[str]:
        """Keys of a class that took effect more than once, where a block drops repeats within the window."""
        effects: dict[str, list[Execution]] = {}
        for run in self.runs:
            if run.service_class == service_class:
                done = effects.setdefault(run.key, [])
                if not any(e.block == run.block and run.at - e.at <= window_s for e in done):
                    done.append(run)
        return [key for key, done in effects.items() if len(done) > 1]

    def run_rows(self) -> list[list[Any]]:
        """All executions as rows: when, id, class, key, block, dropped."""
        return [[r.at, r.identity, r.service_class, r.key, r.block, r.dropped] for r in self.runs]
