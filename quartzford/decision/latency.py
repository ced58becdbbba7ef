"""Latency estimates in milliseconds: the typical latency of each class and the recent maximum of all."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from quartzford.decision import interface as io
from quartzford.decision.estimates import SlidingMaximum

PEAK_WINDOW_MS = 10_000.0  # window of the maximum latency
INITIAL_LATENCY_SHARE = 0.25  # share of the latency objective assumed as typical latency before any answer
MIN_ANSWER_WEIGHT = 0.05  # minimum weight of one answer in the smoothed typical latency
INITIAL_ESTIMATE_ANSWERS = 5.0  # the initial estimate has the weight of this many answers
LEARNED_ANSWER_COUNT = 100  # a latency learned by the predecessor has the weight of this many answers
MIN_LATENCY_MS = 0.1
UNKNOWN_CLASS_LATENCY_MS = 1.0  # typical latency assumed for a class that is not configured


class LatencyEstimates:
    """Smoothed latencies of successful answers, by class."""

    def __init__(self) -> None:
        self.classes: dict[str, io.ServiceClass] = {}
        self.typical_latencies: dict[str, float] = {}
        self.answer_counts: Counter[str] = Counter()  # successful answers by class
        self.peaks = SlidingMaximum(PEAK_WINDOW_MS)

    def configure(self, classes: Iterable[io.ServiceClass]) -> None:
        """Apply a new list of classes and keep the learned latencies."""
        self.classes = {service_class.name: service_class for service_class in classes}

    def typical_for(self, service_class: io.ServiceClass) -> float:
        """Return a class's typical latency in ms; before any answer, a share of its latency objective."""
        return self.typical_latencies.get(
            service_class.name, INITIAL_LATENCY_SHARE * service_class.latency_objective_ms
        )

    def typical_for_name(self, name: str) -> float:
        """Return the typical latency in ms of the class with this name, which may be unknown.

        The result is at least MIN_LATENCY_MS.
        """
        service_class = self.classes.get(name)
        initial = (
            INITIAL_LATENCY_SHARE * service_class.latency_objective_ms
            if service_class is not None
            else UNKNOWN_CLASS_LATENCY_MS
        )
        return max(self.typical_latencies.get(name, initial), MIN_LATENCY_MS)

    def add(self, now: float, service_class: io.ServiceClass, latency: float) -> None:
        """Add the latency of a successful answer, in ms.

        Of the first attempts in flight the fastest is answered first. If the mean started with that answer,
        normal servers would count as late. So it starts with the initial estimate, which has the weight of
        INITIAL_ESTIMATE_ANSWERS answers.
        """
        typical = self.typical_for(service_class)
        self.answer_counts[service_class.name] += 1
        weight = max(
            MIN_ANSWER_WEIGHT, 1.0 / (INITIAL_ESTIMATE_ANSWERS + self.answer_counts[service_class.name])
        )
        self.typical_latencies[service_class.name] = typical + weight * (latency - typical)
        self.peaks.add(now, latency)

    def restore(self, now: float, typical: dict[str, float], peaks: Iterable[tuple[float, float]]) -> None:
        """Restore the latencies that the predecessor learned; classes that are not configured are ignored."""
        self.typical_latencies = {name: latency for name, latency in typical.items() if name in self.classes}
        self.answer_counts.update(dict.fromkeys(self.typical_latencies, LEARNED_ANSWER_COUNT))
        self.peaks.candidates.extend(peak for peak in peaks if peak[0] <= now)
