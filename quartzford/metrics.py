"""Metrics of one balancer for experiments, as lines of JSON; bench.fleetlog aggregates the lines of a fleet.

QUARTZFORD_COUNTS_S sets the interval of the lines in seconds. Without it metrics are off, because a line
costs some hundred microseconds. Counts cover the interval, gauges are taken at its end. Times are Unix
milliseconds, so that the lines of many balancers can be merged. If QUARTZFORD_WAYS=1 is set as well, each
completed request adds a line with its id and its attempts.
"""

from __future__ import annotations

import json
import math
import os
import resource
import sys
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any

from quartzford.decision import interface as io
from quartzford.settings.configuration import ConfigError

if TYPE_CHECKING:
    from quartzford.engine.pending_request import Attempt, PendingRequest
    from quartzford.membership.listing import Listing
    from quartzford.node import Node

INTERVAL_VARIABLE = "QUARTZFORD_COUNTS_S"
ATTEMPT_TRACE_VARIABLE = "QUARTZFORD_WAYS"
MIN_INTERVAL_S = 0.05
MAX_INTERVAL_S = 3600.0
# Outcomes that do not count as a fault of the upstream.
NO_FAULT_OUTCOMES = (io.Outcome.OK, io.Outcome.CANCELLED, io.Outcome.NOT_SENT)


def parse_interval_s(text: str) -> float:
    """Return the interval between two lines in seconds. Raises ConfigError, which names the variable."""
    try:
        interval = float(text)
    except ValueError:
        interval = math.nan
    if not MIN_INTERVAL_S <= interval <= MAX_INTERVAL_S:
        raise ConfigError(f"{INTERVAL_VARIABLE}: {text!r} is not a number of seconds from 0.05 to 3600")
    return interval


def process_usage() -> Counter[str]:
    """Return the processor time in microseconds and the number of voluntary context switches (`waits`)."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return Counter(cpu_us=round((used.ru_utime + used.ru_stime) * 1e6), waits=used.ru_nvcsw)


def resident_kb() -> int:
    """Return the current resident memory in kilobytes; 0 if the system does not report it."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * resource.getpagesize() // 1024


class MetricsReporter:
    """Writes the metrics of one balancer to standard error, once per interval."""

    def __init__(self, node: Node, interval_s: float) -> None:
        self.node = node
        self.interval_s = interval_s
        self.previous_counts: dict[str, Counter[str]] = {}
        self.send_counts: Counter[str] = Counter()
        self.slow_start_sends: Counter[str] = Counter()  # by upstream
        self.faults: Counter[str] = Counter()  # by outcome and upstream
        tracing = os.environ.get(ATTEMPT_TRACE_VARIABLE) == "1"
        self.attempt_traces: dict[int, list[Any]] | None = {} if tracing else None  # by request number
        node.engine.observer = self
        node.followers.append(self)
        print("settings:", node.config.settings, node.config.descriptors, file=sys.stderr, flush=True)
        node.clock.call_later(interval_s, self._report)

    def listed(self, listing: Listing) -> None:
        """Write what an update of the endpoint list changes, before the decision module receives it."""
        known = self.node.engine.balancer.servers
        rows = [tuple(e) for e in listing.entries if e.server not in known or known[e.server].entry != e]
        listed_names = {e.server for e in listing.entries} if listing.complete else set(known)
        update = {
            "at": self._unix_ms(),
            "version": listing.version,
            "whole": listing.complete,
            "rows": rows,
            "missing": [name for name in known if name not in listed_names],
        }
        print("news:", json.dumps(update, separators=(",", ":")), file=sys.stderr, flush=True)

    def attempt_starting(self, send: io.Send, pending: PendingRequest) -> None:
        """Count an attempt that is about to be sent."""
        balancer = self.node.engine.balancer
        server = balancer.servers[send.server]
        self.send_counts["first" if pending.sends == 0 else "again"] += 1
        if server.entry.zone != balancer.settings.zone:
            self.send_counts["across"] += 1
        if server in balancer.endpoints.slow_start.cold:
            self.slow_start_sends[send.server] += 1

    def attempt_ended(self, attempt: Attempt, code: str) -> None:
        """Count a completed attempt. code: its outcome, and the phase that it had reached."""
        outcome = code.split()[0]
        if outcome not in NO_FAULT_OUTCOMES:
            self.faults[f"{outcome} {attempt.server}"] += 1
        if self.attempt_traces is not None and not attempt.pending.done:
            times = (
                self._unix_ms(attempt.chosen_at),
                self._unix_ms(attempt.written_at),
                self._unix_ms(),
            )
            self.attempt_traces.setdefault(attempt.pending.number, []).append([attempt.server, *times, code])

    def request_ended(self, pending: PendingRequest, how: str) -> None:
        """Write the trace of a completed request."""
        if self.attempt_traces is None:
            return
        in_flight = (
            [[pending.attempt.server, self._unix_ms(pending.attempt.chosen_at)]]
            if pending.attempt is not None
            else []
        )
        trace = {
            "id": pending.correlation_id,
            "class": pending.service_class,
            "at": self._unix_ms(),
            "left": self._unix_ms(pending.deadline),
            "how": how,
            "tries": self.attempt_traces.pop(pending.number, []) + in_flight,
        }
        print("way:", json.dumps(trace, separators=(",", ":")), file=sys.stderr, flush=True)

    def _unix_ms(self, at: float | None = None) -> float | None:
        """Convert a time of the node's clock (default: now) to Unix milliseconds; None if it is infinite."""
        clock = self.node.clock
        ms = clock.unix_ms() + (0.0 if at is None else (at - clock.now()) * 1000.0)
        return round(ms, 1) if math.isfinite(ms) else None

    def _since_last_line(self, name: str, counts: Counter[str]) -> dict[str, int]:
        """Return the increase of the counts since the last line."""
        previous = self.previous_counts.get(name, Counter())
        self.previous_counts[name] = counts.copy()
        return dict(counts - previous)

    def _metrics_line(self) -> dict[str, Any]:
        node = self.node
        balancer = node.engine.balancer
        endpoints = balancer.endpoints
        pool = node.pool
        probabilities = [float(p) for p in endpoints.shares.p if p > 0]
        ended = node.engine.request_counters.ended
        classes = Counter(
            {f"{how} {name}": n for how, by_class in ended.items() for name, n in by_class.items()}
        )
        return {
            "name": node.config.name,
            "zone": balancer.settings.zone,
            "at": round(node.clock.unix_ms()),
            "list": self._since_last_line("list", node.watch.counts),
            "version": node.watch.version,
            "ends": self._since_last_line("ends", node.engine.counts),
            "causes": self._since_last_line("causes", balancer.end_causes),
            "opened": self._since_last_line("opened", pool.opened),
            "sends": self._since_last_line("sends", self.send_counts),
            "cold": self._since_last_line("cold", self.slow_start_sends),
            "bad": self._since_last_line("bad", self.faults),
            "classes": self._since_last_line("classes", classes),
            "process": self._since_last_line("process", process_usage()),
            "memory_kb": resident_kb(),
            "held_at": dict(Counter(connection.owner.name for connection in pool.connections)),
            "held": len(pool.connections),
            "idle": sum(len(upstream.idle) for upstream in pool.upstreams.values()),
            "ready": len(balancer.ready),
            "cold_now": len(endpoints.slow_start.cold),
            "report": round(
                sum(map(float, endpoints.shares.reported_load)) / max(1, len(endpoints.ready)), 2
            ),
            "out": endpoints.shares.total_in_flight,
            "ejected": len(endpoints.ejection.ejected(endpoints.now)),
            "suspect": len(set(endpoints.responsiveness.suspects(endpoints.now))),
            "shed": round(balancer.admission.shed_share, 3),
            "late": round(balancer.admission.late_share, 3),
            "usual": {name: round(usual, 1) for name, usual in balancer.latency.typical_latencies.items()},
            "retry_budget": round(balancer.retry_budget, 1),
            "entropy": round(-sum(p * math.log2(p) for p in probabilities), 2),
        }

    def _report(self) -> None:
        print("counts:", json.dumps(self._metrics_line(), separators=(",", ":")), file=sys.stderr, flush=True)
        self.node.clock.call_later(self.interval_s, self._report)
