"""The behaviour of clients: the timeouts of attempts, and whether and when clients retry. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """The outcome of an attempt, or of a request, which has that of its last attempt.

    The values appear in the results.
    """

    SERVED = "served"  # 200
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other status
    NO_ANSWER = "no answer"  # timed out
    UNREACHABLE = "unreachable"  # no connection
    LOST = "lost"  # the connection closed before a complete response: a violation of the rules


SERVED = Outcome.SERVED
REFUSED = Outcome.REFUSED
FAILED = Outcome.FAILED
NO_ANSWER = Outcome.NO_ANSWER
UNREACHABLE = Outcome.UNREACHABLE
LOST = Outcome.LOST


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class from the clients' point of view. Times are in seconds.

    share: the class's weight among all requests. priority_weight: what a request adds to the goodput if it is
    served within its latency objective. late_weight: the part of priority_weight that a request adds if it is
    served after its latency objective but within its deadline. effect: "free" (idempotent), "keyed" (with an
    idempotency key) or "unsafe". group: which servers drop repeats of a keyed request, those of one "cell" or
    "all".
    """

    name: str
    share: float = 1.0
    latency_objective_s: float = 0.5
    deadline_s: float = 2.0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    effect: str = "free"
    group: str = "all"

    @property
    def may_repeat(self) -> bool:
        """True if a request may be repeated on any server."""
        return self.effect == "free" or (self.effect == "keyed" and self.group == "all")


DEFAULT_CLASSES = (
    RequestClass("consulta", 0.6, 0.5, 2.0, 1.0),
    RequestClass("reserva", 0.3, 0.6, 2.0, 10.0, effect="keyed", group="cell"),
    RequestClass("cobro", 0.1, 0.6, 2.0, 8.0, effect="unsafe"),
)


@dataclass(frozen=True, slots=True)
class ClientBehaviour:
    """How clients behave.

    max_attempts: the maximum number of attempts of a request, including the first. retry_wait_s: the delay
    before a retry, in seconds; 0: none. timeout_share: an attempt's timeout as a share of its class's
    deadline, drawn uniformly from this range. retry_after_share: the share of clients that obey Retry-After.
    new_connection_share: the share of attempts that are sent on a new connection, closed after the response.
    """

    max_attempts: int = 4
    retry_wait_s: float = 0.0
    timeout_share: tuple[float, float] = (0.30, 0.55)
    retry_after_share: float = 1.0
    new_connection_share: float = 0.0


SINGLE_ATTEMPT = ClientBehaviour(max_attempts=1, timeout_share=(1.0, 1.0))


class AttemptResult(NamedTuple):
    """The result of an attempt: the values on which the decision to retry depends.

    attempts: the number of the request's attempts so far. time_left_s: seconds until the request's deadline.
    retry_after_s: the response's Retry-After in seconds; 0: none.
    """

    outcome: Outcome
    attempts: int
    time_left_s: float
    retry_after_s: float = 0.0


class Retry(NamedTuple):
    """A further attempt, to be sent after wait_s seconds."""

    wait_s: float


def attempt_timeout_s(request_class: RequestClass, behaviour: ClientBehaviour, rng: random.Random) -> float:
    """Return a random timeout for an attempt, in seconds."""
    min_share, max_share = behaviour.timeout_share
    return request_class.deadline_s * (min_share + (max_share - min_share) * rng.random())


def plan_retry(
    request_class: RequestClass, behaviour: ClientBehaviour, result: AttemptResult, rng: random.Random
) -> Retry | None:
    """Return the retry that a client makes after an attempt's result; None if it makes none.

    A request that may be repeated is retried after any failure. Any other request is retried only if it has
    certainly not been executed: after a refusal, or if no connection was established.
    """
    if result.outcome is SERVED or result.attempts >= behaviour.max_attempts:
        return None
    if not request_class.may_repeat and result.outcome not in (REFUSED, UNREACHABLE):
        return None
    wait_s = behaviour.retry_wait_s
    if result.retry_after_s > 0 and rng.random() < behaviour.retry_after_share:
        wait_s = max(wait_s, result.retry_after_s)
    return Retry(wait_s) if wait_s < result.time_left_s else None
