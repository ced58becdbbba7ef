"""Metrics of one balancer for experiments, a line of JSON a second; bench.fleetlog adds a fleet's lines up.

Off unless QUARTZFORD_COUNTS_S is set to a span in seconds: a line costs some hundred microseconds. Counts are
of the span, gauges of its end. Times are Unix milliseconds: the lines of many balancers can be put together.
With QUARTZFORD_WAYS=1 as well, a line for each request that has ended: its id and its attempts.
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
TRACE_VARIABLE = "QUARTZFORD_WAYS"
MIN_INTERVAL_S = 0.05
MAX_INTERVAL_S = 3600.0
GOOD_OUTCOMES = (io.Outcome.OK, io.Outcome.CANCELLED, io.Outcome.NOT_SENT)  # no fault of the upstream


def parse_interval_s(text: str) -> float:
    """Seconds from one line to the next; ConfigError names the variable."""
    try:
        interval = float(text)
    except ValueError:
        interval = math.nan
    if not MIN_INTERVAL_S <= interval <= MAX_INTERVAL_S:
        raise ConfigError(f"{INTERVAL_VARIABLE}: {text!r} is not a span of 0.05 to 3600 seconds")
    return interval


def process_usage() -> Counter[str]:
    """Processor time in microseconds, and how often the process has waited for something (wake-ups)."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return Counter(cpu_us=round((used.ru_utime + used.ru_stime) * 1e6), waits=used.ru_nvcsw)


def resident_kb() -> int:
    """Resident memory now; 0 where the system doesn't tell."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * resource.getpagesize() // 1024


class MetricsReporter:
    """Counts of one balancer, written to standard error every so many seconds."""

    def __init__(self, node: Node, interval_s: float) -> None:
        self.node = node
        self.interval_s = interval_s
        self.previous: dict[str, Counter[str]] = {}
        self.sends: Counter[str] = Counter()
        self.cold: Counter[str] = Counter()  # sends by upstream, to those that are in slow start
        self.bad: Counter[str] = Counter()  # outcomes but the good ones, by upstream
        tracing = os.environ.get(TRACE_VARIABLE) == "1"
        self.traces: dict[int, list[Any]] | None = {} if tracing else None  # attempts, by request
        node.engine.observer = self
        node.followers.append(self)
        print("settings:", node.config.settings, node.config.descriptors, file=sys.stderr, flush=True)
        node.clock.call_later(interval_s, self._tick)

    def listed(self, listing: Listing) -> None:
        """An update of the endpoint list, before the module gets it: what it changes."""
        known = self.node.engine.balancer.servers
        rows = [tuple(e) for e in listing.entries if e.server not in known or known[e.server].entry != e]
        named = {e.server for e in listing.entries} if listing.complete else set(known)
        update = {
            "at": self._unix(),
            "version": listing.version,
            "whole": listing.complete,
            "rows": rows,
            "missing": [name for name in known if name not in named],
        }
        print("news:", json.dumps(update, separators=(",", ":")), file=sys.stderr, flush=True)

    def attempt_starting(self, send: io.Send, pending: PendingRequest) -> None:
        """An attempt is about to be made."""
        balancer = self.node.engine.balancer
        server = balancer.servers[send.server]
        self.sends["first" if pending.sends == 0 else "again"] += 1
        if server.entry.zone != balancer.settings.zone:
            self.sends["across"] += 1
        if server in balancer.endpoints.slow_start.cold:
            self.cold[send.server] += 1

    def attempt_ended(self, attempt: Attempt, code: str) -> None:
        """An attempt has ended; code: its outcome, and how far it had come."""
        outcome = code.split()[0]
        if outcome not in GOOD_OUTCOMES:
            self.bad[f"{outcome} {attempt.server}"] += 1
        if self.traces is not None and not attempt.pending.done:
            times = (self._unix(attempt.chosen_at), self._unix(attempt.written_at), self._unix())
            self.traces.setdefault(attempt.pending.number, []).append([attempt.server, *times, code])

    def request_ended(self, pending: PendingRequest, how: str) -> None:
        """A request has ended."""
        if self.traces is None:
            return
        in_flight = (
            [[pending.attempt.server, self._unix(pending.attempt.chosen_at)]]
            if pending.attempt is not None
            else []
        )
        trace = {
            "id": pending.correlation_id,
            "class": pending.service_class,
            "at": self._unix(),
            "left": self._unix(pending.deadline),
            "how": how,
            "tries": self.traces.pop(pending.number, []) + in_flight,
        }
        print("way:", json.dumps(trace, separators=(",", ":")), file=sys.stderr, flush=True)

    def _unix(self, at: float | None = None) -> float | None:
        """Unix milliseconds of a moment of the engine's clock; now, if none is given; none for never."""
        clock = self.node.clock
        ms = clock.unix_ms() + (0.0 if at is None else (at - clock.now()) * 1000.0)
        return round(ms, 1) if math.isfinite(ms) else None

    def _since(self, name: str, counts: Counter[str]) -> dict[str, int]:
        """What was counted since the last line."""
        previous = self.previous.get(name, Counter())
        self.previous[name] = counts.copy()
        return dict(counts - previous)

    def _line(self) -> dict[str, Any]:
        node = self.node
        balancer = node.engine.balancer
        endpoints = balancer.endpoints
        pool = node.pool
        shares = [float(p) for p in endpoints.shares.p if p > 0]
        ended = node.engine.request_counters.ended
        classes = Counter({f"{how} {name}": n for how, by in ended.items() for name, n in by.items()})
        return {
            "name": node.config.name,
            "zone": balancer.settings.zone,
            "at": round(node.clock.unix_ms()),
            "list": self._since("list", node.watch.counts),
            "version": node.watch.version,
            "ends": self._since("ends", node.engine.counts),
            "causes": self._since("causes", balancer.end_causes),
            "opened": self._since("opened", pool.opened),
            "sends": self._since("sends", self.sends),
            "cold": self._since("cold", self.cold),
            "bad": self._since("bad", self.bad),
            "classes": self._since("classes", classes),
            "process": self._since("process", process_usage()),
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
            "entropy": round(-sum(p * math.log2(p) for p in shares), 2),
        }

    def _tick(self) -> None:
        print("counts:", json.dumps(self._line(), separators=(",", ":")), file=sys.stderr, flush=True)
        self.node.clock.call_later(self.interval_s, self._tick)
