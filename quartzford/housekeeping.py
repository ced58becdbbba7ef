"""Periodic tasks of a balancer: time-out checks on its connections, and a log summary."""

from __future__ import annotations

from collections import Counter

from quartzford.backends.http_backend import HttpBackend
from quartzford.engine import BufferBudget, Clock, Engine, Log
from quartzford.fronts.http_front import HttpFront

SWEEP_INTERVAL_S = 0.25
SUMMARY_INTERVAL_S = 10.0


class Housekeeping:
    """Runs the periodic tasks of one balancer."""

    def __init__(
        self,
        engine: Engine,
        front: HttpFront,
        backend: HttpBackend,
        budget: BufferBudget,
        clock: Clock,
        log: Log,
    ) -> None:
        self.engine = engine
        self.front = front
        self.backend = backend
        self.budget = budget
        self.clock = clock
        self.log = log
        self._summarized_counts: Counter[str] = Counter()  # at the last summary

    def schedule_summary(self) -> None:
        """Log a summary every SUMMARY_INTERVAL_S."""
        self.clock.call_later(SUMMARY_INTERVAL_S, self._log_summary)

    def schedule_sweep(self) -> None:
        """Check connections for time-outs every SWEEP_INTERVAL_S."""
        self.clock.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _log_summary(self) -> None:
        counts = self.engine.counts
        since_last = counts - self._summarized_counts
        self._summarized_counts = counts.copy()
        parts = [f"{name} {count}" for name, count in sorted(since_last.items())]
        parts.append(f"clients {len(self.front.clients)}")
        parts.append(f"upstream connections {len(self.backend.connections)}")
        parts.append(f"buffered {self.budget.used}")
        self.log.line("summary", ", ".join(parts))
        self.schedule_summary()

    def _sweep(self) -> None:
        try:
            self.backend.sweep()
            self.front.sweep()
        except Exception:
            self.log.exception("sweep")
        self.schedule_sweep()
