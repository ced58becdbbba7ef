"""When the list service is called, how long an answer is waited for, and what is asked. No I/O.

Two policies. `Agent` is for a list that is pushed: the address is an agent on this machine, a call costs
nobody anything, and the sooner the better. `Shared` is for one service that all balancers of a fleet ask. It
bounds what they ask of it together, though no balancer knows what another does:

- The first call of a start is put at a moment drawn evenly from a lap, the time in which the service can
  answer one call of each balancer. A small fleet has no lap: its calls go out at once. A balancer that dies
  again within a lap of each start calls once in a lap on average, its share, however often it starts.
- After a failure the next call follows a lap later, more or less: calls that were spread stay spread, and the
  fleet's rate stays that of one lap. (Full jitter would let a third of a fleet come in a quarter of the lap.)
- What turns calls away, or lets them wait for nothing, is asked in longer laps until it has answered.
- A call that was accepted is waited for as long as a lap's queue lasts, and twice as long each time that this
  was too short: a service that goes on working for callers who have left is not asked for more of it.

Times are in seconds. docs/coldstart.md holds what was weighed, with numbers.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from enum import Enum
from typing import Protocol

CONNECT_S = 1.5  # nobody took the connection for so long
ANSWER_S = 1.5  # an agent's answer, from the call on
SILENCE_S = 2.75  # between two pieces of an answer; a watch says something every two seconds
RETRY_S = (0.05, 1.0)  # from one failed call to the next where no lap is longer, doubling
SMALL = 16  # so many balancers may call at once
WAIT_SPREAD = (0.75, 1.25)  # of a lap, from a failed call to the next
STRETCH, STRETCH_MOST = 1.5, 16.0  # laps grow by this with each call that the service could not bear
PATIENCE_LAPS = 2.0  # an accepted call's answer: a lap's queue, and as much again
PATIENCE_MOST_S = 60.0


class End(Enum):
    """How a call ended."""

    DONE = "in order"  # a whole list was read
    UNREAD = "unread"  # what came is no change to what is held: the whole has to be asked for
    UNREACHED = "unreached"  # refused, or nobody took the connection
    SILENT = "silent"  # accepted, and nothing more came
    TURNED_AWAY = "turned away"  # 429 or 503
    BROKEN = "broken"  # anything else before the list had come
    LOST = "lost"  # a watch that had told something


class Calls(Protocol):
    """A policy of calls to the list service."""

    tries: int  # failed calls since the last answer

    def first(self) -> float:
        """Wait before the first call of a start, or to an address that is new."""

    def after(self, end: End, retry_after: float = 0.0) -> float:
        """Wait before the next call. retry_after: what the service asked for, or 0."""

    def connect(self) -> float:
        """How long a connection may take."""

    def patience(self) -> float:
        """How long the answer's first piece may take, from the connection on."""

    def answered(self, took: float) -> None:
        """The list, or its changes, came so long after the connection."""


def backoff(tries: int, rng: random.Random) -> float:
    """The wait of one that asks alone."""
    least, most = RETRY_S
    return min(most, least * 2.0 ** min(tries, 10)) * rng.uniform(0.5, 1.0)


class Agent:
    """Lists are pushed to this machine."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.tries = 0

    def first(self) -> float:
        self.tries = 0
        return 0.0

    def after(self, end: End, retry_after: float = 0.0) -> float:
        if end is End.DONE or end is End.UNREAD:
            return 0.0
        wait = backoff(self.tries, self.rng)
        self.tries = min(self.tries + 1, 10)
        return wait

    def connect(self) -> float:
        return CONNECT_S

    def patience(self) -> float:
        return ANSWER_S

    def answered(self, took: float) -> None:
        self.tries = 0


class Shared:
    """One service for a whole fleet.

    balancers: how many ask it; per_s: calls a second that it can answer; most_wait: it is asked again after
    so long, whatever it said (a balancer must not go longer without asking).
    """

    def __init__(
        self, balancers: int, per_s: float, most_wait: float, rng: random.Random, now: Callable[[], float]
    ) -> None:
        self.rng, self.now = rng, now
        self.configure(balancers, per_s, most_wait)
        self.tries = 0
        self.stretch = 1.0  # of the lap
        self.silences = 0  # calls in a row that were accepted and not answered
        self.unread_until = -math.inf  # till then an answer of no use is not followed by a call at once
        self.slowest = 0.0  # the longest that an answer took of late

    def configure(self, balancers: int, per_s: float, most_wait: float) -> None:
        """New settings; what was learnt of the service stays."""
        self.lap = max(0, balancers - SMALL) / per_s
        self.most_wait = most_wait

    def first(self) -> float:
        self.tries, self.silences = 0, 0
        return self.rng.random() * self.lap

    def after(self, end: End, retry_after: float = 0.0) -> float:
        if end is End.DONE:
            return 0.0
        if end is End.UNREAD and self.now() >= self.unread_until:  # again and again, it is a failure
            self.unread_until = self.now() + max(RETRY_S[1], self.lap)
            return 0.0
        if end is End.LOST:  # all watches end in one moment when the service does
            return max(self.rng.random() * self.lap * self.stretch, backoff(0, self.rng))
        if end is End.TURNED_AWAY or end is End.SILENT:
            self.stretch = min(STRETCH_MOST, self.stretch * STRETCH)
            self.silences += end is End.SILENT
        alone = backoff(self.tries, self.rng)
        self.tries = min(self.tries + 1, 10)
        wait = max(alone, self.lap * self.stretch * self.rng.uniform(*WAIT_SPREAD))
        if retry_after > 0:
            # Told to all alike: who came together would come back together.
            wait = max(wait, retry_after + self.rng.random() * self.lap * self.stretch)
        return min(wait, max(self.most_wait, WAIT_SPREAD[1] * self.lap))

    def connect(self) -> float:
        return CONNECT_S

    def patience(self) -> float:
        """At least what has been seen to be needed, and more with each call that was given up."""
        queue = max(SILENCE_S, PATIENCE_LAPS * self.lap, PATIENCE_LAPS * self.slowest)
        return min(max(PATIENCE_MOST_S, queue), queue * 2.0 ** min(self.silences, 10))

    def answered(self, took: float) -> None:
        self.tries, self.silences, self.stretch = 0, 0, 1.0
        self.slowest = max(took, self.slowest / 2.0)


def retry_after(value: str, unix_s: float) -> float:
    """Seconds that a Retry-After field asks for; 0 of what can't be read. RFC 9110, section 10.2.3.

    Decimals are read too, as the platform's peers write them. A date has gone by or lies ahead of unix_s.
    """
    text = value.strip()
    try:
        seconds = float(text)
    except ValueError:
        from email.utils import parsedate_to_datetime  # only here: the platform's run stays lean

        try:
            seconds = parsedate_to_datetime(text).timestamp() - unix_s
        except (ValueError, TypeError, OverflowError, IndexError):
            return 0.0
    return seconds if math.isfinite(seconds) and seconds > 0 else 0.0


def draws(name: str, listen: str, seed: int) -> random.Random:
    """A balancer's own random numbers: no two of a fleet share them, though they have a name or a seed alike.

    An address is nobody else's, and the seed is new with each start.
    """
    import hashlib

    text = "\0".join((name, listen, str(seed)))
    return random.Random(int.from_bytes(hashlib.blake2b(text.encode(), digest_size=16).digest(), "big"))
