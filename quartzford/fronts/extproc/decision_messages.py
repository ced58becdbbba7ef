"""Typed messages between a calling proxy's stream and the decision service.

A worker's channel carries their fields by position (`channel_messages.py`): the order must not change.
"""

from __future__ import annotations

from typing import NamedTuple


class DecisionRequest(NamedTuple):
    """Asks for a decision: for a new request, or, with a token, for the next attempt of a known request.

    identity: the correlation id. left_ms: the client's remaining time; negative means the class's deadline.
    key: the affinity key. work_ms: the hint of the request's cost. repeat: the client declares the request a
    repeat. keyed: the request carries an idempotency key. opens: the stream only registers the request and
    gets its token; each attempt then uses a stream of its own.
    """

    identity: str
    service_class: str
    left_ms: float = -1.0
    tenant: str = ""
    key: str = ""
    work_ms: float = 0.0
    repeat: bool = False
    keyed: bool = False
    token: str = ""
    opens: bool = False


class Decision(NamedTuple):
    """Tells the caller to send the attempt to `address` now.

    timeout_at: when the caller's attempt times out. server_deadline: the deadline passed on to the server.
    valid_until: a decision that is not written to the caller by then is returned to the service
    (`DecisionService.decision_expired`). These three are seconds on the machine's monotonic clock; the writer
    converts them to durations when it writes the reply.
    valid_for_ms: how long the decision is valid, counted from the caller's request for it. A caller measures
    it on its own clock.
    """

    address: str
    token: str
    timeout_at: float
    server_deadline: float
    valid_for_ms: float
    valid_until: float


class RequestOpened(NamedTuple):
    """The request is registered; each of its attempts has to present the token."""

    token: str


class Rejected(NamedTuple):
    """Status 503, or 429 if the tenant is over its quota. The request did not run, so a retry is safe."""

    retry_after_ms: float
    over_quota: bool


class Failed(NamedTuple):
    """The request ends with this HTTP status, which does not say whether it ran."""

    status: int


class ResponseForwarded(NamedTuple):
    """The caller forwards the upstream's response to its client."""


class RetryOffered(NamedTuple):
    """The decision module allows a retry: the caller may request a decision for a further attempt.

    never_ran: the request certainly has not run yet. A caller that cannot retry answers its client with 503
    if the request never ran, otherwise with 502.
    """

    never_ran: bool


class DeadlineExceeded(NamedTuple):
    """The request's deadline passed while an attempt was in flight: its stream ends with an error."""


Reply = Decision | RequestOpened | Rejected | Failed | ResponseForwarded | RetryOffered | DeadlineExceeded
