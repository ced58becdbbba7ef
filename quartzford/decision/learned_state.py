"""What a balancer has learnt, as records for the process that follows it.

Times are milliseconds on the caller's clock; 0 is never, or long ago. A value out of its bounds raises
ValueError.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from quartzford.decision.checks import require_not_negative


@dataclass(frozen=True, slots=True)
class LearnedRate:
    """A smoothed rate. start, last: the first event, and the latest one; value: events, fading over time."""

    start: float = 0.0
    last: float = 0.0
    value: float = 0.0

    def __post_init__(self) -> None:
        require_not_negative(self, "start", "last", "value")


@dataclass(frozen=True, slots=True)
class LearnedEndpoint:
    """What a balancer has seen of one incarnation of a server in use.

    started_ms: names the incarnation, as the list has it.
    p: its share of the probability P.
    cost, latency: smoothed cost (0: none yet) and last latency, in typical latencies.
    report: load, as last reported.
    failure_rate: smoothed share of its attempts that failed, 0 to 1.
    ejections: how often it was ejected in a row; ejected_until: when the latest one ends.
    suspect: it answered late or not at all.
    tokens, tokens_ms: its slow-start budget in requests, and when that was last refilled.
    slow_start_from_ms: when its slow start began.
    """

    name: str
    started_ms: float
    p: float
    cost: float
    latency: float
    report: float
    failure_rate: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    suspect: bool = False
    tokens: float = 0.0
    tokens_ms: float = 0.0
    slow_start_from_ms: float = 0.0

    def __post_init__(self) -> None:
        require_not_negative(self, "started_ms", "p", "cost", "latency", "report", "failure_rate")
        require_not_negative(self, "ejections", "ejected_until", "tokens_ms", "slow_start_from_ms")
        if not -1e6 < self.tokens <= 1 or self.failure_rate > 1:
            raise ValueError(f"{self.name}: tokens or failure_rate is out of bounds")


@dataclass(frozen=True, slots=True)
class LearnedState:
    """All that a balancer has learnt, at one instant.

    in_maintenance: servers that operators took out; maintenance_ended: when others came back, by server.
    arrivals, answers: requests that arrive, and good answers that come back.
    typical_latencies: by class, in milliseconds.
    peaks: the largest latencies of the last seconds, as (time, latency).
    retry_budget: in retries.
    tenants: requests that arrive, by tenant.
    ends, good, refused: work that came back, of it what came in time, and work that was shed.
    shed, shed_ms: share of the work to be shed, and when the figures were last brought up to date.
    marginal: weight of what is shed last, over the mean weight.
    offers: the latest requests, as (priority weight, class).
    """

    servers: tuple[LearnedEndpoint, ...] = ()
    in_maintenance: tuple[str, ...] = ()
    maintenance_ended: dict[str, float] = field(default_factory=dict)
    arrivals: LearnedRate = LearnedRate()
    answers: LearnedRate = LearnedRate()
    typical_latencies: dict[str, float] = field(default_factory=dict)
    peaks: tuple[tuple[float, float], ...] = ()
    retry_budget: float = 0.0
    tenants: dict[str, LearnedRate] = field(default_factory=dict)
    completed_work: float = 0.0
    in_time_work: float = 0.0
    shed_work: float = 0.0
    shed_share: float = 0.0
    decayed_ms: float = 0.0
    marginal_weight: float = 0.5
    offers: tuple[tuple[float, str], ...] = ()

    def __post_init__(self) -> None:
        require_not_negative(
            self, "completed_work", "in_time_work", "shed_work", "shed_share", "decayed_ms", "marginal_weight"
        )
        figures = [figure for peak in self.peaks for figure in peak]
        figures += [priority_weight for priority_weight, _ in self.offers]
        figures += [*self.maintenance_ended.values(), *self.typical_latencies.values()]
        for number in figures:
            if not 0 <= number < float("inf"):
                raise ValueError(f"{number!r} is not a figure of 0 or more")
        if (
            not -1e6 < self.retry_budget <= 1e6
            or self.shed_share > 1
            or self.in_time_work > self.completed_work
        ):
            raise ValueError("retry_budget, shed_share or in_time_work is out of bounds")
