"""Typed messages between a calling proxy's stream and the decision service.

Their fields, in this order, are also what a worker's channel carries (`channel_messages.py`).
"""

from __future__ import annotations

from typing import NamedTuple


class DecisionRequest(NamedTuple):
    """A request for a decision: of a new request, or, with a token, for the next attempt of one.

    identity: the correlation id. left_ms: the client's time, below 0 for the class's own deadline.
    key: the request's affinity key. work_ms: the hint of its cost. repeat: the client declares a repeat.
    keyed: it bears an idempotency key. opens: the request is registered and its token given; each attempt
    has a stream of its own.
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
    """Forward the attempt to `address`, now.

    due: when the caller gives the attempt up. server_deadline: the deadline that is passed on to the server.
    valid_until: a decision not written by then is given back (`DecisionService.decision_expired`). These are
    seconds on the machine's monotonic clock; who writes them as spans reads the clock at that moment.
    valid_for_ms: the validity for a caller on any clock, counted from its request for the decision.
    """

    address: str
    token: str
    timeout_at: float
    server_deadline: float
    valid_for_ms: float
    valid_until: float


class RequestOpened(NamedTuple):
    """The request is registered; its attempts present the token."""

    token: str


class Rejected(NamedTuple):
    """503, or 429 where the tenant is over its quota. It did not run, so a retry is safe."""

    retry_after_ms: float
    over_quota: bool


class Failed(NamedTuple):
    """An HTTP status that does not say whether the request ran."""

    status: int


class ResponseForwarded(NamedTuple):
    """The upstream's response goes on to the client."""


class RetryOffered(NamedTuple):
    """The decision module would retry: the caller is to request a decision for a further attempt.

    never_ran: it surely has not run yet. A caller that can't retry leaves its client with 503 (never ran)
    or 502.
    """

    never_ran: bool


class DeadlineExceeded(NamedTuple):
    """The request's deadline passed while its attempt is in flight: the stream ends with an error."""


Reply = Decision | RequestOpened | Rejected | Failed | ResponseForwarded | RetryOffered | DeadlineExceeded
