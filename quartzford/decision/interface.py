"""What the decision module takes in and gives out: settings, events, actions.

Times are milliseconds on the caller's clock. Servers and requests are named by the caller.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from types import MappingProxyType
from typing import NamedTuple

EFFECTS = ("free", "keyed", "unsafe")
GROUPS = ("all", "zone", "cell")


def _not_negative(record: object, *names: str) -> None:
    for name in names:
        value = getattr(record, name)
        if not isinstance(value, int | float) or not 0 <= value < float("inf"):
            raise ValueError(f"{name}: {value!r} is not a figure of 0 or more")


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A request class: what an answer is worth, how long it may take, whether it may run again."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the worth left after the aim
    effect: str = "unsafe"  # free: may be repeated; keyed: repeats are dropped in its group; unsafe
    group: str = "all"  # where repeats of a keyed request are dropped: all, zone or cell
    window_ms: float = 0.0  # for how long, from the first send that may have run
    streaming: bool = False
    objective_stretch: float = 0.0  # the aim grows by this multiple of the request's own work

    def __post_init__(self) -> None:
        _not_negative(
            self,
            "latency_objective_ms",
            "deadline_ms",
            "priority_weight",
            "late_weight",
            "window_ms",
            "objective_stretch",
        )
        if self.latency_objective_ms <= 0 or self.deadline_ms <= 0:
            raise ValueError("latency_objective_ms, deadline_ms: must be above 0")
        if self.effect not in EFFECTS:
            raise ValueError(f"effect: {self.effect!r} is not one of {EFFECTS}")
        if self.group not in GROUPS:
            raise ValueError(f"group: {self.group!r} is not one of {GROUPS}")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and the rate, over all balancers, that counts as within its share."""

    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        _not_negative(self, "quota_per_s")


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the four rules."""

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    poll_interval_ms: float = 10_000.0  # unsubscribed, a balancer counts as told after this long
    slow_start_capacity: float = 1.0  # fraction of its capacity at which a server starts
    slow_start_ms: float = 0.0
    overload_multiple: float = 2.0  # sent more than this multiple of what it can do ...
    overload_window_ms: float = 1_000.0

    def __post_init__(self) -> None:
        _not_negative(self, *(f.name for f in fields(self)))
        if not 0 < self.slow_start_capacity <= 1:
            raise ValueError("slow_start_capacity: must be above 0 and at most 1")


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site permits."""

    max_attempts: int = 1
    may_cancel: bool = False
    may_duplicate: bool = False
    may_probe: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    multiplex: int = 1

    def __post_init__(self) -> None:
        _not_negative(self, "max_retry_after_ms")
        if self.max_attempts < 1:
            raise ValueError("max_attempts: must be 1 or more")
        if self.multiplex < 1:
            raise ValueError("multiplex: must be 1 or more")


@dataclass(frozen=True, slots=True)
class Goal:
    """How the parts of the result are weighed."""

    complete: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0

    def __post_init__(self) -> None:
        _not_negative(self, *(f.name for f in fields(self)))


@dataclass(frozen=True, slots=True)
class Prices:
    """What is taken off the result."""

    cross_zone: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0
    probe: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0

    def __post_init__(self) -> None:
        _not_negative(self, *(f.name for f in fields(self)))


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is told at start."""

    zone: str
    balancers: int
    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    goal: Goal = field(default_factory=Goal)
    prices: Prices = field(default_factory=Prices)
    polls_list: bool = False  # the list must be asked for
    report_fields: tuple[str, ...] = ()
    report_by_probe: bool = False
    sized: bool = False  # the list's sizes tell servers apart
    over_quota_weight: float = 1.0
    weight_by_work: bool = False
    warm_keys: bool = False
    marks_retry: bool = False
    tick_ms: float = 1.0
    stall_ms: float = 0.0  # the host may stand still for so long between an event's time and its action

    def __post_init__(self) -> None:
        _not_negative(self, "over_quota_weight", "tick_ms", "stall_ms")
        if self.balancers < 1:
            raise ValueError("balancers: must be 1 or more")
        if not self.classes:
            raise ValueError("classes: at least one is needed")


Report = tuple[float, ...]  # a load report's values, in the order of the settings

# Events


class Endpoint(NamedTuple):
    """One server as the list tells of it.

    started_ms names the incarnation: another value is another one. As a moment it is of the list's clock,
    which need not be the caller's; 0 is long ago.
    """

    server: str
    zone: str
    kind: str
    cell: int
    state: str  # ready, draining or gone
    units: float
    started_ms: float


NO_STARTS: Mapping[str, float] = MappingProxyType({})


class EndpointListUpdate(NamedTuple):
    """News of the servers. whole: the complete list; changes; stale: a complete list, maybe old; failed.

    starts: by server, when its incarnation started, on the caller's clock. Where it is missing the list's
    clock counts as the caller's.
    """

    how: str
    entries: tuple[Endpoint, ...] = ()
    starts: Mapping[str, float] = NO_STARTS


class MaintenanceChange(NamedTuple):
    """Operators take a server out, or put it back: draining here, whatever lists say meanwhile."""

    server: str
    out: bool


class Request(NamedTuple):
    """A client's request that this balancer now owes one final answer."""

    request: int
    service_class: str
    budget_ms: float
    tenant: str = ""
    key: str = ""
    work_ms: float = 0.0
    repeat: bool = False
    keyed: bool = True  # a request of a keyed class carries its key


class Timer(NamedTuple):
    """A timer set by Wake has come due."""

    token: int


class AttemptEnded(NamedTuple):
    """How an attempt ended."""

    request: int
    attempt: int
    server: str
    code: str
    spent_ms: float
    final: bool  # the request has finished; if not, it is still owed its answer
    report: Report = ()
    faulted: bool = False  # an error that the server puts down to the request itself


class ResponseStarted(NamedTuple):
    """The answer of a streamed class has begun; the attempt belongs to the client now."""

    request: int
    attempt: int
    server: str
    spent_ms: float


class ClientDisconnected(NamedTuple):
    """The client has left; nothing is owed any more."""

    request: int


class ShutdownStarted(NamedTuple):
    """The process ends now: what is owed an answer gets its final one, and so does what still comes."""


class HealthChecked(NamedTuple):
    """The result of a Probe."""

    server: str
    code: str
    spent_ms: float
    report: Report = ()


Event = (
    EndpointListUpdate
    | MaintenanceChange
    | Request
    | Timer
    | AttemptEnded
    | ResponseStarted
    | ClientDisconnected
    | ShutdownStarted
    | HealthChecked
)


# Actions


class Send(NamedTuple):
    """Begin an attempt; attempts of a request count from 0 in the order of their sends."""

    request: int
    server: str
    time_out_ms: float
    finish_ms: float = 0.0  # an answer that has begun by then is waited for until this


class Shed(NamedTuple):
    """Final answer: not run, a further try is harmless. 0: no advice on when."""

    request: int
    pause_ms: float
    over_quota: bool = False  # turned away on arrival while its tenant asks for more than its share


class Fail(NamedTuple):
    """Final answer: failed, nothing promised."""

    request: int


class Cancel(NamedTuple):
    """Stop waiting for an attempt."""

    request: int
    attempt: int


class HealthCheck(NamedTuple):
    """Check a server."""

    server: str


class SetTimer(NamedTuple):
    """Ask for a Timer event."""

    after_ms: float
    token: int


class Watch(NamedTuple):
    """Ask for the list's changes from now on."""


class Log(NamedTuple):
    """A line for the operators."""

    text: str


Action = Send | Shed | Fail | Cancel | HealthCheck | SetTimer | Watch | Log


# What a balancer knows, for the process that follows it


@dataclass(frozen=True, slots=True)
class LearnedRate:
    """A smoothed rate: since when, the last event, its value; times in Unix milliseconds."""

    start: float = 0.0
    last: float = 0.0
    value: float = 0.0

    def __post_init__(self) -> None:
        _not_negative(self, "start", "last", "value")


@dataclass(frozen=True, slots=True)
class LearnedEndpoint:
    """What a balancer has seen of one life of a ready server."""

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
        _not_negative(self, "started_ms", "p", "cost", "latency", "report", "failing", "ejections")
        _not_negative(self, "ejected_until", "tokens_ms", "cold_from")
        if not -1e6 < self.tokens <= 1 or self.failing > 1:
            raise ValueError(f"{self.name}: tokens or failing is out of bounds")


@dataclass(frozen=True, slots=True)
class LearnedState:
    """All that a balancer has learnt, at one instant. peaks: (time, latency); offers: (worth, class)."""

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
        _not_negative(self, "ends", "good", "refused", "shed", "shed_ms", "marginal")
        pairs = [number for pair in self.peaks for number in pair] + [
            priority_weight for priority_weight, _ in self.offers
        ]
        for number in (*pairs, *self.back.values(), *self.usual.values()):
            if not 0 <= number < float("inf"):
                raise ValueError(f"{number!r} is not a figure of 0 or more")
        if not -1e6 < self.retry_budget <= 1e6 or self.shed > 1 or self.good > self.ends:
            raise ValueError("retry_budget, shed or good is out of bounds")
