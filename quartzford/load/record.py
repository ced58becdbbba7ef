"""The measurements of a run: HdrHistograms with 3 significant digits, counts, goodput by second. No I/O."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from quartzford.load.clients import SERVED, Outcome, RequestClass

MIN_US, MAX_US, SIGNIFICANT_DIGITS = 1, 120_000_000, 3  # range and precision of the histograms
SUMMARY_PERCENTILES = (50.0, 90.0, 99.0, 99.9, 99.99)
CURVE_PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99, 99.999)
GOODPUT_WINDOW_S = 10
# Resolution of the latencies that are counted by second: one step is a factor of about 1.035.
STEPS_PER_DOUBLING = 20


def histogram() -> Any:
    """Return an empty histogram of durations in microseconds, up to two minutes, 3 significant digits."""
    return HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)


def _record_duration(one: Any, seconds: float) -> None:
    one.record_value(max(MIN_US, min(MAX_US, round(seconds * 1e6))))


def _record_by_class(histograms: dict[str, Any], name: str, seconds: float) -> None:
    if name not in histograms:
        histograms[name] = histogram()
    _record_duration(histograms[name], seconds)


@dataclass(slots=True)
class Weights:
    """Sums of priority weights.

    offered: the sum over all requests. earned: the sum over the served requests; a late response earns only
    the part that its request class gives for it.
    """

    offered: float = 0.0
    earned: float = 0.0

    def add(self, offered: float, earned: float) -> None:
        """Add the weights of one request, or another sum of weights."""
        self.offered += offered
        self.earned += earned

    @property
    def goodput(self) -> float:
        """The share of the offered weight that was earned; 0 if no weight was offered."""
        return self.earned / self.offered if self.offered else 0.0


class SecondProgress(NamedTuple):
    """The results so far of the requests that were due in one second.

    offered, earned: as in Weights. latency_steps: number of served requests by latency_step().
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
    """The measurements of one worker, or the merged measurements of several workers.

    latency: by class, time from the intended send of a request's first attempt to the request's end; only
    served requests. service: by class, time from the actual send of an attempt to its end; only served
    attempts. lateness: time from the intended to the actual send of an attempt. outcomes: number of requests
    by "class outcome". attempt_outcomes: number of attempts by outcome. latency_steps: by the second of the
    intended send, number of served requests by latency_step(). attempt_log: None if it is not kept.
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
        """Record the send of an attempt. lateness_s: time since its intended send."""
        _record_duration(self.lateness, lateness_s)

    def attempt_ended(self, name: str, outcome: Outcome, service_s: float, attempt_id: str = "") -> None:
        """Record the outcome of an attempt. name: its request class. service_s: time since it was sent."""
        self.attempt_outcomes[outcome] += 1
        if self.attempt_log is not None:
            self.attempt_log.append(AttemptLogEntry(attempt_id, name, outcome))
        if outcome is SERVED:
            _record_by_class(self.service, name, service_s)

    def request_ended(self, name: str, tenant: str, outcome: Outcome, second: int, latency_s: float) -> None:
        """Record the final outcome of a request; call it once for each request.

        name: its request class. second: second of its intended send since the start of the run.
        latency_s: time since its intended send.
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

    # ---- transfer between processes

    def dump(self) -> dict[str, Any]:
        """Return all measurements as a JSON-serializable map."""
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
        """Add the measurements of another worker. dumped: the map that its dump() returned."""
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

    # ---- evaluation

    def complete(self, histograms: dict[str, Any]) -> Any:
        """Return one histogram that holds the values of all classes' histograms."""
        total = histogram()
        for one in histograms.values():
            total.add(one)
        return total

    def goodput(self) -> dict[str, float]:
        """Return the goodput of the whole run, its worst 10 s, its worst class and its worst tenant."""
        return {
            "whole": _weight_sum(self.weights_by_second.values()).goodput,
            "worst_10s": min(self._window_goodputs(), default=0.0),
            "worst_class": _min_goodput(self.weights_by_class.values()),
            "worst_tenant": _min_goodput(self.weights_by_tenant.values()),
        }

    def _window_goodputs(self) -> Iterator[float]:
        """Yield the goodput of each window of 10 s; if the run is shorter, the goodput of the whole run."""
        if not self.weights_by_second:
            return
        first, last = min(self.weights_by_second), max(self.weights_by_second)
        for start in range(first, max(first, last - GOODPUT_WINDOW_S + 1) + 1):
            seconds = range(start, start + GOODPUT_WINDOW_S)
            window = _weight_sum(self.weights_by_second.get(second, Weights()) for second in seconds)
            if window.offered > 0:
                yield window.goodput

    def recent(self, count: int) -> dict[int, SecondProgress]:
        """Return the progress of the last seconds, up to the latest one with a finished request.

        count: number of seconds.
        """
        last = max(self.weights_by_second, default=0)
        progress = {}
        for second in range(max(0, last - count + 1), last + 1):
            one = self.weights_by_second.get(second, Weights())
            steps = dict(self.latency_steps.get(second, {}))
            progress[second] = SecondProgress(one.offered, one.earned, steps)
        return progress

    def seconds(self) -> list[dict[str, float]]:
        """Return goodput, served requests and latencies (ms) for each second of the intended send."""
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


def _weight_sum(weights: Iterable[Weights]) -> Weights:
    rows = list(weights)
    return Weights(sum(one.offered for one in rows), sum(one.earned for one in rows))


def _min_goodput(weights: Iterable[Weights]) -> float:
    return min((one.goodput for one in weights if one.offered > 0), default=0.0)


def latency_step(latency_s: float) -> int:
    """Return the step of a latency on a logarithmic scale of microseconds."""
    return round(STEPS_PER_DOUBLING * math.log2(max(1.0, latency_s * 1e6)))


def quantile_ms(steps: Counter[int], quantile: float) -> float:
    """Return a quantile, in ms, of latencies that are counted by latency_step().

    The error is up to half a step: 1.8%. The result is 0 if there are no latencies.
    """
    remaining = quantile * sum(steps.values())
    for step in sorted(steps):
        remaining -= steps[step]
        if remaining <= 0:
            return float(round(2.0 ** (step / STEPS_PER_DOUBLING) / 1000.0, 3))
    return 0.0


def percentile_curve(one: Any) -> list[tuple[float, float]]:
    """Return percentiles and their latencies in ms; empty if the histogram is empty."""
    if not one.get_total_count():
        return []
    return [(p, one.get_value_at_percentile(p) / 1000.0) for p in CURVE_PERCENTILES]


def histogram_summary(one: Any) -> dict[str, float]:
    """Return percentiles, mean and maximum in ms, and the count; empty if the histogram is empty."""
    if not one.get_total_count():
        return {}
    summary = {f"p{p:g}": one.get_value_at_percentile(p) / 1000.0 for p in SUMMARY_PERCENTILES}
    summary["mean"] = round(one.get_mean_value() / 1000.0, 3)
    summary["max"] = one.get_max_value() / 1000.0
    summary["count"] = one.get_total_count()
    return summary
