"""What a client does: what it asks, when it gives a try up, whether and when it tries again. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

SERVED, REFUSED, FAILED, NO_ANSWER, UNREACHABLE = "served", "refused", "failed", "no answer", "unreachable"
LOST = "lost"  # its connection ended with no whole answer: rule one is broken
ENDS = (SERVED, REFUSED, FAILED, NO_ANSWER, UNREACHABLE, LOST)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests, as clients know it. Times in seconds."""

    name: str
    share: float = 1.0
    latency_objective_s: float = 0.5
    deadline_s: float = 2.0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    effect: str = "free"  # free, keyed or unsafe
    group: str = "all"  # of a keyed one: where its repeats are dropped


DEFAULT_CLASSES = (
    RequestClass("consulta", 0.6, 0.5, 2.0, 1.0),
    RequestClass("reserva", 0.3, 0.6, 2.0, 10.0, effect="keyed", group="cell"),
    RequestClass("cobro", 0.1, 0.6, 2.0, 8.0, effect="unsafe"),
)


@dataclass(frozen=True, slots=True)
class ClientBehaviour:
    """How clients behave.

    tries: at most, the first included; wait_s: before a further one (0: at once); patience: a try is given up
    after a share of the class's deadline drawn from this span; heeds: the share of clients that follow
    Retry-After; fresh: the share of tries on a connection of their own.
    """

    tries: int = 4
    wait_s: float = 0.0
    patience: tuple[float, float] = (0.30, 0.55)
    heeds: float = 1.0
    fresh: float = 0.0


SINGLE_ATTEMPT = ClientBehaviour(tries=1, patience=(1.0, 1.0))


class Retry(NamedTuple):
    """A further try, so many seconds from now."""

    wait_s: float


def attempt_timeout_s(kind: RequestClass, behaviour: ClientBehaviour, rng: random.Random) -> float:
    """How long a try is waited for."""
    least, most = behaviour.patience
    return kind.deadline_s * (least + (most - least) * rng.random())


def plan_retry(
    kind: RequestClass,
    behaviour: ClientBehaviour,
    end: str,
    tries: int,
    left_s: float,
    retry_after_s: float,
    rng: random.Random,
) -> Retry | None:
    """Whether a client goes again after a try ended so, with so much of its time left.

    What is free, or keyed with repeats dropped anywhere, goes again after any failure; all else only where
    trying again is harmless: refused, or nobody reached.
    """
    if end == SERVED or tries >= behaviour.tries:
        return None
    anyway = kind.effect == "free" or (kind.effect, kind.group) == ("keyed", "all")
    if not anyway and end not in (REFUSED, UNREACHABLE):
        return None
    wait = behaviour.wait_s
    if retry_after_s > 0 and rng.random() < behaviour.heeds:
        wait = max(wait, retry_after_s)
    return Retry(wait) if wait < left_s else None
