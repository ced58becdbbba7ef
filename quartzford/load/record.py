"""The measurements of a run: HdrHistograms to 3 significant digits, counts, goodput by the second. No I/O."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from quartzford.load.clients import SERVED, Outcome, RequestClass

MIN_US, MAX_US, SIGNIFICANT_DIGITS = 1, 120_000_000, 3
SUMMARY_PERCENTILES = (50.0, 90.0, 99.0, 99.9, 99.99)
CURVE_PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99, 99.999)
GOODPUT_WINDOW_S = 10
STEPS_PER_DOUBLING = 20  # of the latencies that are kept by the second: a step is some 3.5%


def histogram() -> Any:
    """Return an empty histogram of microseconds, up to two minutes, to 3 significant digits."""
    return HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)


def _record_seconds(one: Any, seconds: float) -> None:
    one.record_value(max(MIN_US, min(MAX_US, round(seconds * 1e6))))


def _record_by_class(histograms: dict[str, Any], name: str, seconds: float) -> None:
    if name not in histograms:
        histograms[name] = histogram()
    _record_seconds(histograms[name], seconds)


@dataclass(slots=True)
class Weights:
    """Sums of priority weights. offered: of all requests; earned: of those served in time, by their class."""

    offered: float = 0.0
    earned: float = 0.0

    def add(self, offered: float, earned: float) -> None:
        """Add a request's weights, or another sum of them."""
        self.offered += offered
        self.earned += earned

    @property
    def goodput(self) -> float:
        """The share of the offered weight that was earned; 0 where nothing was offered."""
        return self.earned / self.offered if self.offered else 0.0


class SecondProgress(NamedTuple):
    """What is known so far of the requests that were due in one second.

    latency_steps: how many were served at each step of latency_step().
    """

    offered: float
    earned: float
    latency_steps: dict[int, int]


class AttemptLogEntry(NamedTuple):
    """The outcome of one attempt."""

    attempt_id: str
    request_class: str
    outcome: Outcome


class Record:
    """The measurements of one worker, or those of several workers merged. Requests are counted by class.

    latency: from the intended send of the first attempt to the end of the request, where it was served.
    service: from the moment at which an attempt was sent to its end, where it was served. lateness: from an
    attempt's intended send to the moment at which it was sent. outcomes: requests by "class outcome".
    attempt_outcomes: attempts by outcome. latency_steps: by the second of the intended send, those served at
    each step of latency_step(). attempt_log: None where it is not kept.
    """

    def __init__(self, request_classes: Iterable[RequestClass]) -> None:
        self.request_classes = {one.name: one for one in request_classes}
        self.latency: dict[str, Any] = {}
        self.service: dict[str, Any] = {}
        self.lateness = histogram()
        self.outcomes: Counter[str] = Counter()
        self.attempt_outcomes: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.weights_by_second: dict[int, Weights] = {}
        self.weights_by_class: dict[str, Weights] = {}
        self.weights_by_tenant: dict[str, Weights] = {}
        self.latency_steps: dict[int, Counter[int]] = {}
        self.attempt_log: list[AttemptLogEntry] | None = None

    def attempt_sent(self, lateness_s: float) -> None:
        """An attempt was sent so long after its intended send."""
        _record_seconds(self.lateness, lateness_s)

    def attempt_ended(self, name: str, outcome: Outcome, service_s: float, attempt_id: str = "") -> None:
        """An attempt has ended. name: of its class. service_s: since it was sent."""
        self.attempt_outcomes[outcome] += 1
        if self.attempt_log is not None:
            self.attempt_log.append(AttemptLogEntry(attempt_id, name, outcome))
        if outcome is SERVED:
            _record_by_class(self.service, name, service_s)

    def request_ended(self, name: str, tenant: str, outcome: Outcome, second: int, latency_s: float) -> None:
        """A request has ended, however it did; each is counted once.

        name: of its class. second: of its intended send, from the start of the run.
        """
        self.outcomes[f"{name} {outcome}"] += 1
        request_class = self.request_classes.get(name) or RequestClass(name)
        offered = request_class.priority_weight
        earned = 0.0
        if outcome is SERVED:
            self._request_served(name, second, latency_s)
            earned = _earned_weight(request_class, latency_s)
        self.weights_by_second.setdefault(second, Weights()).add(offered, earned)
        self.weights_by_class.setdefault(name, Weights()).add(offered, earned)
        self.weights_by_tenant.setdefault(tenant, Weights()).add(offered, earned)

    def _request_served(self, name: str, second: int, latency_s: float) -> None:
        _record_by_class(self.latency, name, latency_s)
        self.latency_steps.setdefault(second, Counter())[latency_step(latency_s)] += 1

    # ---- between processes

    def dump(self) -> dict[str, Any]:
        """Return all of it, ready for JSON."""
        by_second = self.weights_by_second
        return {
            "latency": {name: one.encode().decode() for name, one in self.latency.items()},
            "service": {name: one.encode().decode() for name, one in self.service.items()},
            "late": self.lateness.encode().decode(),
            "ends": dict(self.outcomes),
            "tries": dict(self.attempt_outcomes),
            "counts": dict(self.counts),
            "asked": {str(second): one.offered for second, one in by_second.items()},
            "got": {str(second): one.earned for second, one in by_second.items()},
            "by_class": _dump_weights(self.weights_by_class),
            "by_tenant": _dump_weights(self.weights_by_tenant),
            "book": self.attempt_log or [],
            "by_second": {
                str(second): {str(step): count for step, count in steps.items()}
                for second, steps in self.latency_steps.items()
            },
        }

    def merge(self, dumped: dict[str, Any]) -> None:
        """Add the measurements of another worker, as dump() gave them."""
        for histograms, key in ((self.latency, "latency"), (self.service, "service")):
            for name, text in dumped[key].items():
                histograms.setdefault(name, histogram()).decode_and_add(text)
        self.lateness.decode_and_add(dumped["late"])
        self.outcomes.update(dumped["ends"])
        self.attempt_outcomes.update(dumped["tries"])
        self.counts.update(dumped["counts"])
        for second, offered in dumped["asked"].items():
            self.weights_by_second.setdefault(int(second), Weights()).add(offered, dumped["got"][second])
        for second, steps in dumped.get("by_second", {}).items():
            counts = self.latency_steps.setdefault(int(second), Counter())
            counts.update({int(step): count for step, count in steps.items()})
        if dumped.get("book"):
            entries = [AttemptLogEntry(*row) for row in dumped["book"]]
            self.attempt_log = [*(self.attempt_log or []), *entries]
        for weights, key in ((self.weights_by_class, "by_class"), (self.weights_by_tenant, "by_tenant")):
            for name, (offered, earned) in dumped[key].items():
                weights.setdefault(name, Weights()).add(offered, earned)

    # ---- figures

    def complete(self, histograms: dict[str, Any]) -> Any:
        """Return the histograms of all classes as one."""
        total = histogram()
        for one in histograms.values():
            total.add(one)
        return total

    def goodput(self) -> dict[str, float]:
        """Return the goodput of the run, of its worst 10 s, of the worst class and of the worst tenant."""
        return {
            "whole": _total(self.weights_by_second.values()).goodput,
            "worst_10s": min(self._window_goodputs(), default=0.0),
            "worst_class": _worst(self.weights_by_class.values()),
            "worst_tenant": _worst(self.weights_by_tenant.values()),
        }

    def _window_goodputs(self) -> Iterator[float]:
        """Yield the goodput of each span of 10 s; of the whole run if it is shorter."""
        if not self.weights_by_second:
            return
        first, last = min(self.weights_by_second), max(self.weights_by_second)
        for start in range(first, max(first, last - GOODPUT_WINDOW_S + 1) + 1):
            seconds = range(start, start + GOODPUT_WINDOW_S)
            window = _total(self.weights_by_second.get(second, Weights()) for second in seconds)
            if window.offered > 0:
                yield window.goodput

    def recent(self, count: int) -> dict[int, SecondProgress]:
        """Return the last seconds as they stand, by second."""
        last = max(self.weights_by_second, default=0)
        progress = {}
        for second in range(max(0, last - count + 1), last + 1):
            one = self.weights_by_second.get(second, Weights())
            steps = dict(self.latency_steps.get(second, {}))
            progress[second] = SecondProgress(one.offered, one.earned, steps)
        return progress

    def seconds(self) -> list[dict[str, float]]:
        """Return goodput, served requests and latencies in ms, by the second of the intended send."""
        rows = []
        for second, weights in sorted(self.weights_by_second.items()):
            steps = self.latency_steps.get(second, Counter())
            rows.append(
                {
                    "second": second,
                    "goodput": round(weights.goodput, 4),
                    "served": sum(steps.values()),
                    "p50": quantile_ms(steps, 0.5),
                    "p99": quantile_ms(steps, 0.99),
                }
            )
        return rows


def _earned_weight(request_class: RequestClass, latency_s: float) -> float:
    if latency_s <= request_class.latency_objective_s:
        return request_class.priority_weight
    if latency_s <= request_class.deadline_s:
        return request_class.priority_weight * request_class.late_weight
    return 0.0


def _dump_weights(weights: dict[str, Weights]) -> dict[str, list[float]]:
    return {name: [one.offered, one.earned] for name, one in weights.items()}


def _total(weights: Iterable[Weights]) -> Weights:
    rows = list(weights)
    return Weights(sum(one.offered for one in rows), sum(one.earned for one in rows))


def _worst(weights: Iterable[Weights]) -> float:
    return min((one.goodput for one in weights if one.offered > 0), default=0.0)


def latency_step(latency_s: float) -> int:
    """Return the step of a latency on a logarithmic scale of microseconds."""
    return round(STEPS_PER_DOUBLING * math.log2(max(1.0, latency_s * 1e6)))


def quantile_ms(steps: Counter[int], q: float) -> float:
    """Return a quantile in ms of latencies that are counted by step, exact to half a step: 1.8%."""
    left = q * sum(steps.values())
    for step in sorted(steps):
        left -= steps[step]
        if left <= 0:
            return float(round(2.0 ** (step / STEPS_PER_DOUBLING) / 1000.0, 3))
    return 0.0


def curve(one: Any) -> list[tuple[float, float]]:
    """Return a histogram's latency in ms by percentile; empty if it is."""
    if not one.get_total_count():
        return []
    return [(p, one.get_value_at_percentile(p) / 1000.0) for p in CURVE_PERCENTILES]


def histogram_summary(one: Any) -> dict[str, float]:
    """Return a histogram's percentiles, mean, maximum and count, times in ms; empty if it is."""
    if not one.get_total_count():
        return {}
    summary = {f"p{p:g}": one.get_value_at_percentile(p) / 1000.0 for p in SUMMARY_PERCENTILES}
    summary["mean"] = round(one.get_mean_value() / 1000.0, 3)
    summary["max"] = one.get_max_value() / 1000.0
    summary["count"] = one.get_total_count()
    return summary
