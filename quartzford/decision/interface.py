"""Public types of the decision module: settings, events, actions and the learned state.

All times and durations are in milliseconds; moments are on the caller's clock. The caller chooses the names
of servers and the numbers of requests. A record constructed with a value out of bounds raises a ValueError
that names the field.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from quartzford.decision.checks import require_not_negative
from quartzford.decision.learned_state import LearnedEndpoint as LearnedEndpoint
from quartzford.decision.learned_state import LearnedRate as LearnedRate
from quartzford.decision.learned_state import LearnedState as LearnedState

EFFECTS = ("free", "keyed", "unsafe")
GROUPS = ("all", "zone", "cell")


class Outcome(StrEnum):
    """How an attempt ended: the values of AttemptEnded.code."""

    OK = "ok"  # a complete response without an error
    ERROR = "error"  # a complete response that reports an error
    FULL = "full"  # the server rejected the request without running it
    CONNECT_FAILED = "connect_failed"  # no connection was established, so the request was not run
    RESET = "reset"  # the connection broke after the request was sent
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"  # cancelled by this balancer or by the client
    NOT_SENT = "moot"  # abandoned before any byte was sent


class ListUpdateKind(StrEnum):
    """What an EndpointListUpdate contains: the values of EndpointListUpdate.kind."""

    COMPLETE = "whole"  # the complete list
    STALE = "stale"  # a complete list that may be out of date
    CHANGES = "changes"  # only the rows that changed
    FAILED = "failed"  # no rows: a call to the list service failed


COMPLETE_LISTS = frozenset({ListUpdateKind.COMPLETE, ListUpdateKind.STALE})


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A request class: the value of its answers, its time limits and whether its requests may run twice.

    effect: "free" for idempotent requests; "keyed" for requests with an idempotency key, by which their group
    drops repeats; "unsafe" for all others.
    group: the servers that drop each other's repeats of a keyed request: "all", or those of a zone or a cell.
    window_ms: how long the group remembers a key, from the first attempt that may have run.
    objective_stretch: increase of the latency objective per millisecond of the request's work_ms.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of priority_weight left after the latency objective
    effect: str = "unsafe"
    group: str = "all"
    window_ms: float = 0.0
    streaming: bool = False
    objective_stretch: float = 0.0

    def __post_init__(self) -> None:
        require_not_negative(
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
    """A tenant and its quota, in requests per second over all balancers."""

    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        require_not_negative(self, "quota_per_s")


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the four rules that a balancer must keep.

    answer_slack_ms: how long after its deadline a request may still get its final answer.
    drain_grace_ms: grace period after the announcement of a drain.
    poll_interval_ms: without a watch, how long a change of the endpoint list may stay unknown to a balancer.
    slow_start_capacity: fraction of its capacity that a server has when it starts.
    slow_start_ms: time from a server's start until it has its full capacity.
    overload_multiple, overload_window_ms: a server is overloaded if within this window it receives more than
    this multiple of what it can process.
    """

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    poll_interval_ms: float = 10_000.0
    slow_start_capacity: float = 1.0
    slow_start_ms: float = 0.0
    overload_multiple: float = 2.0
    overload_window_ms: float = 1_000.0

    def __post_init__(self) -> None:
        require_not_negative(self, *(f.name for f in fields(self)))
        if not 0 < self.slow_start_capacity <= 1:
            raise ValueError("slow_start_capacity: must be above 0 and at most 1")


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site permits a balancer to do.

    max_attempts: attempts per request, the first one included.
    retry_after: whether a rejection may advise a wait before a retry, of max_retry_after_ms at most.
    """

    max_attempts: int = 1
    may_cancel: bool = False
    may_duplicate: bool = False
    may_probe: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    multiplex: int = 1

    def __post_init__(self) -> None:
        require_not_negative(self, "max_retry_after_ms")
        if self.max_attempts < 1:
            raise ValueError("max_attempts: must be 1 or more")
        if self.multiplex < 1:
            raise ValueError("multiplex: must be 1 or more")


@dataclass(frozen=True, slots=True)
class Goal:
    """Weights of the components of the site's score."""

    complete: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0

    def __post_init__(self) -> None:
        require_not_negative(self, *(f.name for f in fields(self)))


@dataclass(frozen=True, slots=True)
class Prices:
    """Deductions from the site's score, per unit of each cost."""

    cross_zone: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0
    probe: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0

    def __post_init__(self) -> None:
        require_not_negative(self, *(f.name for f in fields(self)))


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of a balancer.

    balancers: the number of balancers of the site.
    polls_list: the endpoint list must be polled.
    report_fields: names of a load report's values, in order.
    report_by_probe: load reports come with health checks instead of responses.
    sized: servers differ in capacity, as given by Endpoint.units.
    over_quota_weight: factor for the weight of a tenant's requests beyond its quota.
    weight_by_work: the priority weight of a request applies per unit of its work, not per request.
    tick_ms: resolution of the host's clock.
    stall_ms: the longest time for which the host may stall between an event's time and its action.
    """

    zone: str
    balancers: int
    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    goal: Goal = field(default_factory=Goal)
    prices: Prices = field(default_factory=Prices)
    polls_list: bool = False
    report_fields: tuple[str, ...] = ()
    report_by_probe: bool = False
    sized: bool = False
    over_quota_weight: float = 1.0
    weight_by_work: bool = False
    warm_keys: bool = False
    marks_retry: bool = False
    tick_ms: float = 1.0
    stall_ms: float = 0.0

    def __post_init__(self) -> None:
        require_not_negative(self, "over_quota_weight", "tick_ms", "stall_ms")
        if self.balancers < 1:
            raise ValueError("balancers: must be 1 or more")
        if not self.classes:
            raise ValueError("classes: at least one is needed")


Report = tuple[float, ...]  # values of a load report, in the order of Settings.report_fields

# Events


class Endpoint(NamedTuple):
    """One server's row in the endpoint list.

    units: the server's capacity relative to the others.
    started_ms: identifies the incarnation; a different value means that the server was restarted. It is a
    moment on the list service's clock, which may differ from the caller's; 0 stands for long ago.
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
    """An update of the endpoint list; kind: one of ListUpdateKind.

    starts: when each server's incarnation started, by server name, on the caller's clock. If a server has no
    entry, its Endpoint.started_ms is taken as a moment on the caller's clock.
    """

    kind: str
    entries: tuple[Endpoint, ...] = ()
    starts: Mapping[str, float] = NO_STARTS


class MaintenanceChange(NamedTuple):
    """Operators put a server into maintenance, or returned it to service.

    A server in maintenance is treated as draining here, whatever the endpoint list says.
    """

    server: str
    in_maintenance: bool


class Request(NamedTuple):
    """A client's request has arrived; it must get exactly one final answer.

    budget_ms: time left until its deadline. key: its affinity key.
    work_ms: the client's estimate of its cost. repeat: the client declares that it sent the request before.
    """

    request: int
    service_class: str
    budget_ms: float
    tenant: str = ""
    key: str = ""
    work_ms: float = 0.0
    repeat: bool = False
    keyed: bool = True  # whether a request of a keyed class carries its key


class Timer(NamedTuple):
    """A timer set by SetTimer has expired."""

    token: int


class AttemptEnded(NamedTuple):
    """An attempt has ended; code: one of Outcome.

    spent_ms: its duration. final: the request has its final answer; if false, it still needs one.
    report: the load report that came with the response, or empty.
    faulted: the server attributes the error to the request itself.
    """

    request: int
    attempt: int
    server: str
    code: str
    spent_ms: float
    final: bool
    report: Report = ()
    faulted: bool = False


class ResponseStarted(NamedTuple):
    """The response to a request of a streaming class has begun; the client now owns the attempt."""

    request: int
    attempt: int
    server: str
    spent_ms: float


class ClientDisconnected(NamedTuple):
    """The client has disconnected: its request no longer needs an answer."""

    request: int


class ShutdownStarted(NamedTuple):
    """The process is terminating: all pending and later requests get their final answers at once."""


class HealthChecked(NamedTuple):
    """The result of a HealthCheck."""

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
    """Start an attempt; the attempts of a request are numbered from 0 in the order of their sends.

    time_out_ms: the attempt's time-out.
    response_deadline_ms: time from the send within which a response that began before the time-out must end.
    """

    request: int
    server: str
    time_out_ms: float
    response_deadline_ms: float = 0.0


class Shed(NamedTuple):
    """Final answer: the request was not run, so the client may safely retry.

    pause_ms: the advised wait before a retry; 0 for no advice.
    """

    request: int
    pause_ms: float
    over_quota: bool = False  # rejected on arrival while its tenant was over its quota


class Fail(NamedTuple):
    """Final answer: the request failed, and may have run."""

    request: int


class Cancel(NamedTuple):
    """Cancel an attempt: its response is no longer needed."""

    request: int
    attempt: int


class HealthCheck(NamedTuple):
    """Check a server's health; the result arrives as HealthChecked."""

    server: str


class SetTimer(NamedTuple):
    """Deliver a Timer event with this token after after_ms."""

    after_ms: float
    token: int


class Watch(NamedTuple):
    """Call the list service and watch the endpoint list's changes from then on."""


class Log(NamedTuple):
    """A log line for the operators."""

    text: str


Action = Send | Shed | Fail | Cancel | HealthCheck | SetTimer | Watch | Log
