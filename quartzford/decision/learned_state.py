"""What a balancer has learnt, as records for the process that follows it.

The names of the fields are those of the bytes that two versions exchange: they stay. Times are milliseconds
on the caller's clock; 0 is never, or long ago. A value out of its bounds raises ValueError.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from quartzford.decision.checks import require_not_negative


@dataclass(frozen=True, slots=True)
class LearnedRate:
    """A smoothed rate: since when, the last event, its value; times in Unix milliseconds."""

    start: float = 0.0
    last: float = 0.0
    value: float = 0.0

    def __post_init__(self) -> None:
        require_not_negative(self, "start", "last", "value")


@dataclass(frozen=True, slots=True)
class LearnedEndpoint:
    """What a balancer has seen of one incarnation of a server in use."""

    name: str
    started_ms: float
    p: float
    cost: float
    latency: float
    report: float
    failing: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    suspect: bool = False
    tokens: float = 0.0
    tokens_ms: float = 0.0
    cold_from: float = 0.0

    def __post_init__(self) -> None:
        require_not_negative(self, "started_ms", "p", "cost", "latency", "report", "failing", "ejections")
        require_not_negative(self, "ejected_until", "tokens_ms", "cold_from")
        if not -1e6 < self.tokens <= 1 or self.failing > 1:
            raise ValueError(f"{self.name}: tokens or failing is out of bounds")


@dataclass(frozen=True, slots=True)
class LearnedState:
    """All that a balancer has learnt, at one instant.

    peaks: (time, latency); offers: (priority weight, class); back: when servers came back from maintenance;
    usual: typical latencies by class.
    """

    servers: tuple[LearnedEndpoint, ...] = ()
    by_hand: tuple[str, ...] = ()
    back: dict[str, float] = field(default_factory=dict)
    arrivals: LearnedRate = LearnedRate()
    answers: LearnedRate = LearnedRate()
    usual: dict[str, float] = field(default_factory=dict)
    peaks: tuple[tuple[float, float], ...] = ()
    retry_budget: float = 0.0
    tenants: dict[str, LearnedRate] = field(default_factory=dict)
    ends: float = 0.0
    good: float = 0.0
    refused: float = 0.0
    shed: float = 0.0
    shed_ms: float = 0.0
    marginal: float = 0.5
    offers: tuple[tuple[float, str], ...] = ()

    def __post_init__(self) -> None:
        require_not_negative(self, "ends", "good", "refused", "shed", "shed_ms", "marginal")
        pairs = [number for pair in self.peaks for number in pair] + [
            priority_weight for priority_weight, _ in self.offers
        ]
        for number in (*pairs, *self.back.values(), *self.usual.values()):
            if not 0 <= number < float("inf"):
                raise ValueError(f"{number!r} is not a figure of 0 or more")
        if not -1e6 < self.retry_budget <= 1e6 or self.shed > 1 or self.good > self.ends:
            raise ValueError("retry_budget, shed or good is out of bounds")
