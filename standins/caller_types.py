"""Configuration of a stand-in calling proxy, and its records of client requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class DropStage(StrEnum):
    """The stage of an attempt at which the client disconnects."""

    BEFORE_DECISION = "before decision"
    AFTER_DECISION = "after decision"
    BEFORE_OUTCOME = "before outcome"


STAGES = tuple(DropStage)


@dataclass
class CallerPolicy:
    """Configuration of the calling proxy. Times in seconds."""

    # Names of headers.
    destination: str = "x-quartzford-destination"
    token: str = "x-quartzford-token"
    retriable: str = "x-quartzford-retry"
    within: str = "x-quartzford-within"

    message_timeout_s: float = 3.0
    connect_timeout_s: float = 0.2
    route_timeout_s: float = 3.0
    retries: int = 3
    back_off_s: float = 0.002  # before a retry, on average
    allow_envoy: bool = True  # x-envoy- headers may be set
    opener: bool = False  # a filter in the downstream chain calls the processor once before the attempts
    raw_values: bool = True  # header values go into raw_value, else value; a runtime flag in Envoy
    honours: bool = False  # obeys the `within` header: an expired decision is not sent
    stall_s: float = 0.0  # delay of the first send, as in a proxy with an overloaded event loop
    retries_resets: bool = False  # retries connection resets itself, which the operators' page forbids


@dataclass
class Attempt:
    """Record of one attempt. Times in seconds on the monotonic clock."""

    at: float  # the request was sent; -1: it was not sent
    address: str
    requested_at: float = 0.0  # the decision was requested
    decided_at: float = 0.0  # the decision was received
    outcome: str = ""  # the upstream's status, or the name of a SendFailure
    ended: float = 0.0  # its connection was returned to the pool or closed


@dataclass
class Exchange:
    """Record of one client request. Points in time are in seconds on the monotonic clock."""

    identity: str
    service_class: str
    intended: float  # the scheduled start of the request
    attempts: list[Attempt] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)  # of responses to the client; one in a correct run
    ended: float = 0.0
    decision_s: float = -1.0  # from `intended` to the first decision; -1: no decision was received
    report_s: float = 0.0  # total duration of the reports to the processor
    retry_after: str = ""
    dropped: str = ""  # the DropStage at which the client disconnected; empty: it did not
    reason: str = ""  # why the caller responded itself; empty: the response is an upstream's
