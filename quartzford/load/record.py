"""What a run measured: HdrHistograms to 3 significant digits, counts, goodput by the second. No I/O."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from quartzford.load.clients import SERVED, RequestClass

LEAST_US, MOST_US, DIGITS = 1, 120_000_000, 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 99.99)
WINDOW_S = 10
STEPS = 20  # of the latencies kept by the second: so many to a doubling, some 3.5% each


def histogram() -> Any:
    """Microseconds up to two minutes, to 3 significant digits."""
    return HdrHistogram(LEAST_US, MOST_US, DIGITS)


class Record:
    """One worker's measurements, or several workers' merged.

    latency: from the intended send of the first try to the request's end; service: from a try's bytes to its
    end; late: from the intended send to the bytes. By class, in microseconds.
    """

    def __init__(self, request_classes: Iterable[RequestClass]) -> None:
        self.request_classes = {kind.name: kind for kind in request_classes}
        self.latency: dict[str, Any] = {}
        self.service: dict[str, Any] = {}
        self.late = histogram()
        self.outcomes: Counter[str] = Counter()  # "class end"
        self.tries: Counter[str] = Counter()  # "end" of each try
        self.counts: Counter[str] = Counter()
        self.asked: dict[int, float] = {}  # second of the intended send: worth asked, worth within the aim
        self.got: dict[int, float] = {}
        self.by_second: dict[int, Counter[int]] = {}  # second: latencies' steps, of what was served
        self.attempt_log: list[tuple[str, str, str]] | None = None  # where kept: id of the try, class, end
        self.by_class: dict[str, list[float]] = {}
        self.by_tenant: dict[str, list[float]] = {}

    def sent(self, late_s: float) -> None:
        self.late.record_value(max(LEAST_US, min(MOST_US, round(late_s * 1e6))))

    def tried(self, name: str, end: str, service_s: float, identity: str = "") -> None:
        self.tries[end] += 1
        if self.attempt_log is not None:
            self.attempt_log.append((identity, name, end))
        if end == SERVED:
            self._into(self.service, name, service_s)

    def ended(self, name: str, tenant: str, end: str, second: int, latency_s: float) -> None:
        """A request has come to its end, whatever it is: each is counted once."""
        self.outcomes[f"{name} {end}"] += 1
        kind = self.request_classes.get(name) or RequestClass(name)
        priority_weight = 0.0
        if end == SERVED:
            self._into(self.latency, name, latency_s)
            self.by_second.setdefault(second, Counter())[step_of(latency_s)] += 1
            if latency_s <= kind.latency_objective_s:
                priority_weight = kind.priority_weight
            elif latency_s <= kind.deadline_s:
                priority_weight = kind.priority_weight * kind.late_weight
        self.asked[second] = self.asked.get(second, 0.0) + kind.priority_weight
        self.got[second] = self.got.get(second, 0.0) + priority_weight
        for table, key in ((self.by_class, name), (self.by_tenant, tenant)):
            pair = table.setdefault(key, [0.0, 0.0])
            pair[0] += kind.priority_weight
            pair[1] += priority_weight

    @staticmethod
    def _into(table: dict[str, Any], name: str, seconds: float) -> None:
        if name not in table:
            table[name] = histogram()
        table[name].record_value(max(LEAST_US, min(MOST_US, round(seconds * 1e6))))

    # ---- between processes

    def dump(self) -> dict[str, Any]:
        """All of it, for JSON."""
        return {
            "latency": {name: h.encode().decode() for name, h in self.latency.items()},
            "service": {name: h.encode().decode() for name, h in self.service.items()},
            "late": self.late.encode().decode(),
            "ends": dict(self.outcomes),
            "tries": dict(self.tries),
            "counts": dict(self.counts),
            "asked": {str(s): v for s, v in self.asked.items()},
            "got": {str(s): v for s, v in self.got.items()},
            "by_class": self.by_class,
            "by_tenant": self.by_tenant,
            "book": self.attempt_log or [],
            "by_second": {str(s): {str(k): n for k, n in c.items()} for s, c in self.by_second.items()},
        }

    def merge(self, dumped: dict[str, Any]) -> None:
        """Another worker's, as dump() gave it."""
        for mine, theirs in ((self.latency, dumped["latency"]), (self.service, dumped["service"])):
            for name, text in theirs.items():
                mine.setdefault(name, histogram()).decode_and_add(text)
        self.late.decode_and_add(dumped["late"])
        for counter, name in ((self.outcomes, "ends"), (self.tries, "tries"), (self.counts, "counts")):
            counter.update(dumped[name])
        for seconds, name in ((self.asked, "asked"), (self.got, "got")):
            for second, value in dumped[name].items():
                seconds[int(second)] = seconds.get(int(second), 0.0) + value
        for text, counts in dumped.get("by_second", {}).items():
            self.by_second.setdefault(int(text), Counter()).update({int(k): n for k, n in counts.items()})
        if dumped.get("book"):
            self.attempt_log = [*(self.attempt_log or []), *(tuple(row) for row in dumped["book"])]
        for table, name in ((self.by_class, "by_class"), (self.by_tenant, "by_tenant")):
            for key, pair in dumped[name].items():
                have = table.setdefault(key, [0.0, 0.0])
                have[0] += pair[0]
                have[1] += pair[1]

    # ---- figures

    def complete(self, table: dict[str, Any]) -> Any:
        """The histograms of all classes in one."""
        out = histogram()
        for one in table.values():
            out.add(one)
        return out

    def goodput(self) -> dict[str, float]:
        """Worth within the aim over worth asked: whole, worst 10 s, worst class, worst tenant."""
        asked, got = sum(self.asked.values()), sum(self.got.values())
        windows = []
        if self.asked:
            first, last = min(self.asked), max(self.asked)
            for start in range(first, max(first, last - WINDOW_S + 1) + 1):
                span = range(start, start + WINDOW_S)
                total = sum(self.asked.get(s, 0.0) for s in span)
                if total > 0:
                    windows.append(sum(self.got.get(s, 0.0) for s in span) / total)
        shares = {
            name: [pair[1] / pair[0] for pair in table.values() if pair[0] > 0]
            for name, table in (("worst_class", self.by_class), ("worst_tenant", self.by_tenant))
        }
        return {
            "whole": got / asked if asked else 0.0,
            "worst_10s": min(windows, default=0.0),
            **{name: min(values, default=0.0) for name, values in shares.items()},
        }

    def recent(self, count: int) -> dict[int, tuple[float, float, dict[int, int]]]:
        """The last seconds as they stand: worth asked, worth got, latencies' steps."""
        last = max(self.asked, default=0)
        return {
            s: (self.asked.get(s, 0.0), self.got.get(s, 0.0), dict(self.by_second.get(s, {})))
            for s in range(max(0, last - count + 1), last + 1)
        }

    def seconds(self) -> list[dict[str, float]]:
        """What became of the requests due in each second: worth asked and got, served, p50 and p99 in ms."""
        rows = []
        for second in sorted(self.asked):
            steps = self.by_second.get(second, Counter())
            asked, got = self.asked[second], self.got.get(second, 0.0)
            rows.append(
                {
                    "second": second,
                    "goodput": round(got / asked, 4) if asked else 0.0,
                    "served": sum(steps.values()),
                    "p50": quantile_ms(steps, 0.5),
                    "p99": quantile_ms(steps, 0.99),
                }
            )
        return rows


def step_of(latency_s: float) -> int:
    return round(STEPS * math.log2(max(1.0, latency_s * 1e6)))


def quantile_ms(steps: Counter[int], q: float) -> float:
    """Of latencies kept in steps: right to within half a step, 1.8%."""
    left = q * sum(steps.values())
    for step in sorted(steps):
        left -= steps[step]
        if left <= 0:
            return float(round(2.0 ** (step / STEPS) / 1000.0, 3))
    return 0.0


CURVE = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99, 99.999)


def curve(one: Any) -> list[tuple[float, float]]:
    """A histogram's latency by percentile, in milliseconds."""
    if not one.get_total_count():
        return []
    return [(p, one.get_value_at_percentile(p) / 1000.0) for p in CURVE]


def histogram_summary(one: Any) -> dict[str, float]:
    """A histogram's percentiles, mean and largest, in milliseconds."""
    if not one.get_total_count():
        return {}
    out = {f"p{p:g}": one.get_value_at_percentile(p) / 1000.0 for p in PERCENTILES}
    mean, most = one.get_mean_value() / 1000.0, one.get_max_value() / 1000.0
    return out | {"mean": round(mean, 3), "max": most, "count": one.get_total_count()}
