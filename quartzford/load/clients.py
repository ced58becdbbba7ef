"""The behaviour of clients: how long they wait for an attempt, and whether and when they retry. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """How an attempt ended, or a request with its last attempt. The values are words of the results."""

    SERVED = "served"  # 200
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other status
    NO_ANSWER = "no answer"  # timed out
    UNREACHABLE = "unreachable"  # no connection
    LOST = "lost"  # the connection ended without a complete response: a broken rule


SERVED = Outcome.SERVED
REFUSED = Outcome.REFUSED
FAILED = Outcome.FAILED
NO_ANSWER = Outcome.NO_ANSWER
UNREACHABLE = Outcome.UNREACHABLE
LOST = Outcome.LOST


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests as clients know it. Times are in seconds.

    share: of all requests, relative to the other classes'. priority_weight: what a request that is served
    within its latency objective counts for in the goodput; late_weight: the share of it that one served
    later, but within its deadline, counts for. effect: "free" (idempotent), "keyed" (with an idempotency key)
    or "unsafe". group: of a keyed class, where repeats are dropped: in one "cell", or by "all".
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
        """Whether a request may run again wherever it is sent."""
        return self.effect == "free" or (self.effect == "keyed" and self.group == "all")


DEFAULT_CLASSES = (
    RequestClass("consulta", 0.6, 0.5, 2.0, 1.0),
    RequestClass("reserva", 0.3, 0.6, 2.0, 10.0, effect="keyed", group="cell"),
    RequestClass("cobro", 0.1, 0.6, 2.0, 8.0, effect="unsafe"),
)


@dataclass(frozen=True, slots=True)
class ClientBehaviour:
    """How clients behave.

    max_attempts: of a request, the first included. retry_wait_s: before a retry; 0: at once. timeout_share:
    an attempt times out after a share of its class's deadline that is drawn evenly from this span.
    retry_after_share: of the clients, those that obey Retry-After. new_connection_share: of the attempts,
    those sent on a connection of their own.
    """

    max_attempts: int = 4
    retry_wait_s: float = 0.0
    timeout_share: tuple[float, float] = (0.30, 0.55)
    retry_after_share: float = 1.0
    new_connection_share: float = 0.0


SINGLE_ATTEMPT = ClientBehaviour(max_attempts=1, timeout_share=(1.0, 1.0))


class AttemptResult(NamedTuple):
    """How an attempt ended, as far as a retry depends on it.

    attempts: of the request so far. time_left_s: to the request's deadline. retry_after_s: the response's
    Retry-After; 0: none.
    """

    outcome: Outcome
    attempts: int
    time_left_s: float
    retry_after_s: float = 0.0


class Retry(NamedTuple):
    """A further attempt, to be sent in so many seconds."""

    wait_s: float


def attempt_timeout_s(request_class: RequestClass, behaviour: ClientBehaviour, rng: random.Random) -> float:
    """Draw how long a client waits for the response to an attempt, in seconds."""
    least, most = behaviour.timeout_share
    return request_class.deadline_s * (least + (most - least) * rng.random())


def plan_retry(
    request_class: RequestClass, behaviour: ClientBehaviour, result: AttemptResult, rng: random.Random
) -> Retry | None:
    """Decide whether a client retries after an attempt that has ended.

    A request that may repeat is retried after any failure, others only where it has surely not run: after a
    refusal, or where no connection was made.
    """
    if result.outcome is SERVED or result.attempts >= behaviour.max_attempts:
        return None
    if not request_class.may_repeat and result.outcome not in (REFUSED, UNREACHABLE):
        return None
    wait_s = behaviour.retry_wait_s
    if result.retry_after_s > 0 and rng.random() < behaviour.retry_after_share:
        wait_s = max(wait_s, result.retry_after_s)
    return Retry(wait_s) if wait_s < result.time_left_s else None
