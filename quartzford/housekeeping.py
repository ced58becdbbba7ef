"""Periodic tasks of a balancer: time-out checks on its connections, its memory, and a log summary."""

from __future__ import annotations

import math
from collections import Counter

from quartzford.backends.http_backend import HttpBackend
from quartzford.engine import BufferBudget, Clock, Engine, Log
from quartzford.fronts.http_front import HttpFront
from quartzford.memory_guard import MB, MemoryGuard

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
        memory_guard: MemoryGuard | None,
    ) -> None:
        """memory_guard: None if the memory of this process is not the balancer's alone."""
        self.engine = engine
        self.front = front
        self.backend = backend
        self.budget = budget
        self.clock = clock
        self.log = log
        self.memory_guard = memory_guard
        self._summarized_counts: Counter[str] = Counter()  # at the last summary

    def schedule_summary(self) -> None:
        """Log a summary every SUMMARY_INTERVAL_S."""
        self.clock.call_later(SUMMARY_INTERVAL_S, self._log_summary)

    def schedule_sweep(self) -> None:
        """Check connections for time-outs every SWEEP_INTERVAL_S."""
        self.clock.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _log_summary(self) -> None:
        counts = self.engine.counts + self.front.ends + self._end_causes()
        since_last = counts - self._summarized_counts
        self._summarized_counts = counts.copy()
        parts = [f"{name} {count}" for name, count in sorted(since_last.items())]
        parts.append(f"clients {len(self.front.clients)}")
        parts.append(f"upstream connections {len(self.backend.connections)}")
        parts.append(f"buffered {self.budget.used}")
        self.log.line("summary", ", ".join(parts))
        self.log.line("peaks", ", ".join(self._peaks()))
        self.schedule_summary()

    def _end_causes(self) -> Counter[str]:
        """Return how often the decision module ended a request itself, by cause."""
        return Counter({f"ended by {cause}": n for cause, n in self.engine.balancer.end_causes.items()})

    def _peaks(self) -> list[str]:
        """Return the peaks since the last summary, and begin new ones."""
        peaks = self.engine.peaks
        parts = [f"buffered {self.budget.peak} of {self.budget.limit}"]
        if self.memory_guard is not None:
            resident, anonymous = (size / MB for size in self.memory_guard.reset_peak())
            parts.append(f"memory {resident:.1f} MB, anonymous {anonymous:.1f} MB")
        parts.append(f"loop held up {peaks.hold_up_s * 1000:.0f} ms")
        if math.isfinite(peaks.lateness_s):
            parts.append(f"latest answer {peaks.lateness_s * 1000:+.0f} ms from its deadline")
        peaks.reset()
        self.budget.reset_peak()
        return parts

    def _sweep(self) -> None:
        try:
            if self.memory_guard is not None:
                self.memory_guard.check()
            self.backend.sweep()
            self.front.sweep()
        except Exception:
            self.log.exception("sweep")
        self.schedule_sweep()
