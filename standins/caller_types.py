"""What a stand-in calling proxy is told to do, and what it records of its clients' requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class DropStage(StrEnum):
    """When a client leaves: before or after the decision on its attempt, or before the attempt's outcome."""

    BEFORE_DECISION = "before decision"
    AFTER_DECISION = "after decision"
    BEFORE_OUTCOME = "before outcome"


STAGES = tuple(DropStage)


@dataclass
class CallerPolicy:
    """The caller's own configuration. Times in seconds."""

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
    opener: bool = False  # a stream in the downstream chain opens the request before its attempts
    raw_values: bool = True  # raw_value or value: a runtime flag of Envoy's
    honours: bool = False  # sends nothing on a decision that has expired
    stall_s: float = 0.0  # between the first decision and its send, as in a proxy whose loop is overloaded
    retries_resets: bool = False  # retries resets on its own, against what the operators' page requires


@dataclass
class Attempt:
    """One attempt that the caller made. Times in seconds on the monotonic clock."""

    at: float  # its first byte is sent; -1: none was
    address: str
    requested_at: float = 0.0  # the request for its decision was written
    decided_at: float = 0.0  # the decision was read
    outcome: str = ""  # the upstream's status, or the name of a SendFailure
    ended: float = 0.0  # its connection is free again or closed


@dataclass
class Exchange:
    """One client request as the caller records it. Moments in seconds on the monotonic clock."""

    identity: str
    service_class: str
    intended: float  # when the request was due
    attempts: list[Attempt] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)  # of all responses to the client: one, if all is well
    ended: float = 0.0
    decision_s: float = -1.0  # from the intended moment to the first decision; -1: there was none
    report_s: float = 0.0  # spent in response phases
    retry_after: str = ""
    dropped: str = ""  # the DropStage at which the client left
    reason: str = ""  # of a response that is the caller's own
