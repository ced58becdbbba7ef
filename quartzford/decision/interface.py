"""What the decision module takes in and gives out: settings, events, actions, and what it has learnt.

Times are milliseconds on the caller's clock. Servers and requests are named by the caller. Records that are
built with a value out of its bounds raise ValueError, which names the field.
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
    """How an attempt ended: the codes of AttemptEnded."""

    OK = "ok"  # a complete good answer
    ERROR = "error"  # an answer that is an error
    FULL = "full"  # rejected by the server, and not run
    CONNECT_FAILED = "connect_failed"  # no connection, so it was not run
    RESET = "reset"  # the connection broke
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"  # ended by this balancer or the client
    NOT_SENT = "moot"  # given up before anything was sent


class ListUpdateKind(StrEnum):
    """What an EndpointListUpdate holds: its field `kind`."""

    COMPLETE = "whole"  # the complete list
    STALE = "stale"  # a complete list, maybe old
    CHANGES = "changes"
    FAILED = "failed"  # nothing: a call for the list has failed


COMPLETE_LISTS = frozenset({ListUpdateKind.COMPLETE, ListUpdateKind.STALE})


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A request class: the weight of an answer, how long it may take, whether it may run again."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the weight that is left after the latency objective
    # free: idempotent; keyed: has an idempotency key, by which its group drops repeats; unsafe: neither
    effect: str = "unsafe"
    group: str = "all"  # where repeats of a keyed request are dropped: all, zone or cell
    window_ms: float = 0.0  # for how long, from the first send that may have run
    streaming: bool = False
    objective_stretch: float = 0.0  # the objective grows by this multiple of the request's work

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
    """A tenant and its quota: a rate over all balancers."""

    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        require_not_negative(self, "quota_per_s")


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the four rules."""

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    poll_interval_ms: float = 10_000.0  # without a watch, a balancer knows the list after this long
    slow_start_capacity: float = 1.0  # fraction of its capacity at which a server starts
    slow_start_ms: float = 0.0
    overload_multiple: float = 2.0  # sent more than this multiple of what it can do ...
    overload_window_ms: float = 1_000.0

    def __post_init__(self) -> None:
        require_not_negative(self, *(f.name for f in fields(self)))
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
        require_not_negative(self, "max_retry_after_ms")
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
        require_not_negative(self, *(f.name for f in fields(self)))


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
        require_not_negative(self, *(f.name for f in fields(self)))


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is configured with."""

    zone: str
    balancers: int
    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    goal: Goal = field(default_factory=Goal)
    prices: Prices = field(default_factory=Prices)
    polls_list: bool = False  # the list must be polled
    report_fields: tuple[str, ...] = ()
    report_by_probe: bool = False
    sized: bool = False  # servers differ by the list's sizes
    over_quota_weight: float = 1.0
    weight_by_work: bool = False
    warm_keys: bool = False
    marks_retry: bool = False
    tick_ms: float = 1.0
    stall_ms: float = 0.0  # the host may stand still for so long between an event's time and its action

    def __post_init__(self) -> None:
        require_not_negative(self, "over_quota_weight", "tick_ms", "stall_ms")
        if self.balancers < 1:
            raise ValueError("balancers: must be 1 or more")
        if not self.classes:
            raise ValueError("classes: at least one is needed")


Report = tuple[float, ...]  # a load report's values, in the order of the settings

# Events


class Endpoint(NamedTuple):
    """One server's row in the endpoint list.

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
    """An update of the endpoint list; kind: one of ListUpdateKind.

    starts: by server, when its incarnation started, on the caller's clock. Where it is missing the list's
    clock counts as the caller's.
    """

    kind: str
    entries: tuple[Endpoint, ...] = ()
    starts: Mapping[str, float] = NO_STARTS


class MaintenanceChange(NamedTuple):
    """Operators put a server into maintenance, or back: it drains here, whatever lists say meanwhile."""

    server: str
    in_maintenance: bool


class Request(NamedTuple):
    """A client's request, which gets exactly one final answer from now on."""

    request: int
    service_class: str
    budget_ms: float
    tenant: str = ""
    key: str = ""
    work_ms: float = 0.0
    repeat: bool = False
    keyed: bool = True  # a request of a keyed class carries its key


class Timer(NamedTuple):
    """A timer set by SetTimer has come due."""

    token: int


class AttemptEnded(NamedTuple):
    """An attempt has ended; code: one of Outcome."""

    request: int
    attempt: int
    server: str
    code: str
    spent_ms: float
    final: bool  # the request has finished; if not, it still needs an answer
    report: Report = ()
    faulted: bool = False  # an error that the server puts down to the request itself


class ResponseStarted(NamedTuple):
    """The answer of a streamed class has begun; the attempt belongs to the client now."""

    request: int
    attempt: int
    server: str
    spent_ms: float


class ClientDisconnected(NamedTuple):
    """The client has left: its request needs no answer any more."""

    request: int


class ShutdownStarted(NamedTuple):
    """The process ends now: all pending requests get their final answers, and so do later ones."""


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
    """Begin an attempt; attempts of a request count from 0 in the order of their sends."""

    request: int
    server: str
    time_out_ms: float
    response_deadline_ms: float = 0.0  # an answer that has begun by then is waited for until this


class Shed(NamedTuple):
    """Final answer: not run, a retry is harmless. pause_ms: when to retry; 0: no advice."""

    request: int
    pause_ms: float
    over_quota: bool = False  # rejected on arrival while its tenant is over its quota


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
    """Send a Timer event after so many ms."""

    after_ms: float
    token: int


class Watch(NamedTuple):
    """Call the endpoint list service, and watch the list's changes from now on."""


class Log(NamedTuple):
    """A line for the operators."""

    text: str


Action = Send | Shed | Fail | Cancel | HealthCheck | SetTimer | Watch | Log
