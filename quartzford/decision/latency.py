"""What answers take: the typical latency of each class, and the largest of the last seconds. In ms."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from quartzford.decision import interface as io
from quartzford.decision.estimates import Peaks

PEAKS_MS = 10_000.0  # span of the largest latency
FIRST_GUESS = 0.25  # of the latency objective: typical before any answer
ANSWER_WEIGHT = 0.05  # of an answer in the typical latency, at the least
GUESS_ANSWERS = 5.0  # answers that the first guess stands for
LEARNED_ANSWERS = 100  # answers that a handed-over latency stands for
MIN_LATENCY_MS = 0.1
UNKNOWN_CLASS_MS = 1.0


class LatencyEstimates:
    """Smoothed latencies of good answers, by class."""

    def __init__(self) -> None:
        self.classes: dict[str, io.ServiceClass] = {}
        self.typical_latencies: dict[str, float] = {}
        self.answer_counts: Counter[str] = Counter()  # good answers
        self.peaks = Peaks(PEAKS_MS)

    def configure(self, classes: Iterable[io.ServiceClass]) -> None:
        """Take the classes from now on; what was learnt stays."""
        self.classes = {kind.name: kind for kind in classes}

    def typical_for(self, kind: io.ServiceClass) -> float:
        """What good answers of a class take; before there are any, a part of its objective."""
        return self.typical_latencies.get(kind.name, FIRST_GUESS * kind.latency_objective_ms)

    def typical_for_name(self, name: str) -> float:
        """The same by the class's name, which need not be known; at least MIN_LATENCY_MS."""
        kind = self.classes.get(name)
        guess = FIRST_GUESS * kind.latency_objective_ms if kind is not None else UNKNOWN_CLASS_MS
        return max(self.typical_latencies.get(name, guess), MIN_LATENCY_MS)

    def add(self, now: float, kind: io.ServiceClass, latency: float) -> None:
        """A good answer has come.

        Of many attempts that are out the fastest is answered first: a mean that began with it would call
        good servers late. It begins with the first guess, GUESS_ANSWERS times over.
        """
        typical = self.typical_for(kind)
        self.answer_counts[kind.name] += 1
        weight = max(ANSWER_WEIGHT, 1.0 / (GUESS_ANSWERS + self.answer_counts[kind.name]))
        self.typical_latencies[kind.name] = typical + weight * (latency - typical)
        self.peaks.add(now, latency)

    def restore(self, now: float, typical: dict[str, float], peaks: Iterable[tuple[float, float]]) -> None:
        """Take what another process has learnt, as far as the classes are known here."""
        self.typical_latencies = {name: latency for name, latency in typical.items() if name in self.classes}
        self.answer_counts.update(dict.fromkeys(self.typical_latencies, LEARNED_ANSWERS))
        self.peaks.pairs.extend(pair for pair in peaks if pair[0] <= now)
