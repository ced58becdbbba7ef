"""Records of a balancer's learned state, which a process hands over to its successor.

Times are in milliseconds, moments on the caller's clock; the moment 0 stands for never, or long ago. A record
constructed with a value out of bounds raises ValueError.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from quartzford.decision.checks import require_not_negative


@dataclass(frozen=True, slots=True)
class LearnedRate:
    """A smoothed rate (estimates.Rate).

    start, last: when the first and the latest event was added.
    value: number of events, decayed up to `last`.
    """

    start: float = 0.0
    last: float = 0.0
    value: float = 0.0

    def __post_init__(self) -> None:
        require_not_negative(self, "start", "last", "value")


@dataclass(frozen=True, slots=True)
class LearnedEndpoint:
    """What a balancer has learned about one incarnation of a server in use.

    started_ms: identifies the incarnation; the value in the endpoint list.
    p: the server's share of the probability P.
    cost, latency: smoothed cost (0: not known yet) and last latency, both in typical latencies.
    report: load of the server's latest load report.
    failure_rate: smoothed share of its attempts that failed, from 0 to 1.
    ejections: number of consecutive ejections.
    ejected_until: when the latest ejection ends.
    suspect: its oldest attempt is overdue, or it has stopped answering.
    tokens, tokens_ms: slow-start budget in requests, and when it was last refilled.
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
    """All that a balancer has learned, at one moment.

    in_maintenance: servers that operators put into maintenance.
    maintenance_ended: when other servers returned from maintenance, by server.
    arrivals, answers: rates of arriving requests and of successful answers.
    typical_latencies: by class, in milliseconds.
    peaks: candidates for the maximum latency of the last seconds, as (moment, latency).
    retry_budget: in retries.
    tenants: rate of arriving requests by tenant.
    completed_work, in_time_work, shed_work: decayed work, in mean requests, of completed attempts, of the
    attempts among them that completed in time, and of shed requests.
    shed_share: share of the offered work to shed.
    decayed_ms: when the decaying values were last updated.
    marginal_weight: weight of the last work to be shed, divided by the mean weight.
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
        values = [value for peak in self.peaks for value in peak]
        values += [priority_weight for priority_weight, _ in self.offers]
        values += [*self.maintenance_ended.values(), *self.typical_latencies.values()]
        for value in values:
            if not 0 <= value < float("inf"):
                raise ValueError(f"{value!r} is not a finite number of 0 or more")
        if (
            not -1e6 < self.retry_budget <= 1e6
            or self.shed_share > 1
            or self.in_time_work > self.completed_work
        ):
            raise ValueError("retry_budget, shed_share or in_time_work is out of bounds")
