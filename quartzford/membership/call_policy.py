"""When the list service is called, how long an answer is waited for, and what is asked. No I/O.

A change that the service has, and could be reached for, has to be known here NOTIFY_BOUND_S later, whatever
went before. So from the beginning of one call to the answer of the next no more than that may pass: a change
that comes just after a call has begun that will never be answered comes with the next one. A cycle is the
time that the call took, the wait behind it and the time that the next may take; all that makes waits longer
ends at its bound.

Two policies. `AgentCallPolicy` is for a list that is pushed: the address is an agent on this machine, a call
costs nobody anything, and the sooner the better. `SharedServiceCallPolicy` is for one service that all
balancers of a fleet ask. It bounds what they ask of it together, though no balancer knows what another does:

- The first call of a start is put at a moment drawn evenly from the spread interval, the time in which the
  service can answer one call of each balancer. It is 0 for a small fleet: its calls go out at once. A
  balancer that dies again within the interval of each start calls once in an interval on average, its share,
  however often it starts.
- After a failure the next call follows about one spread interval later: calls that were spread stay spread,
  and the fleet's rate stays the same. (Full jitter would let a third of a fleet come in a quarter of it.)
- What turns calls away, or lets them wait for nothing, is asked at longer intervals until it has answered.
- A call that was accepted and is late is kept beside the next one, for KEPT_S: a service that works through a
  long queue answers it in its turn, and to leave would make that work for nobody.

Times are in seconds. docs/coldstart.md holds what was weighed, with numbers, and what the bound costs.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from enum import Enum
from typing import Protocol

# From the beginning of a call to the next one's answer: 6 s, less what the loop may be late.
NOTIFY_BOUND_S = 5.75
CONNECT_S = 1.5  # nobody took the connection for so long
ANSWER_S = 1.5  # an agent's whole answer, from the connection on
QUEUE_S = 2.0  # the same of a service that all ask: calls wait in turn there
LINE_TIMEOUT_S = 2.75  # between two whole lines of a watch, which says something every two seconds
RETRY_S = (0.05, 1.0)  # from one failed call to the next where the spread interval is not longer, doubling
GRACE_PART = 0.4  # of the time that sends to what drains may go on, that an agent may be left unasked
SMALL = 16  # so many balancers may call at once
WAIT_SPREAD = (0.75, 1.25)  # of the spread interval, from a failed call to the next
WAIT_BOUND = (0.8, 1.0)  # of the longest wait that NOTIFY_BOUND_S leaves
LATE_CALL_KEPT_S = 60.0  # a call that was accepted may still be answered for so long
STRETCH, STRETCH_MOST = 1.5, 16.0  # the interval grows by this with each call that the service could not bear


class CallOutcome(Enum):
    """How a call ended."""

    DONE = "in order"  # a whole list was read
    UNREAD = "unread"  # what came is no change to what is held: the whole has to be asked for
    UNREACHED = "unreached"  # refused, or nobody took the connection
    SILENT = "silent"  # accepted, and nothing more came
    REJECTED = "turned away"  # 429 or 503
    BROKEN = "broken"  # anything else before the list had come
    LOST = "lost"  # a watch that had brought a list or changes


class CallPolicy(Protocol):
    """A policy of calls to the list service."""

    failed_calls: int  # failed calls since the last answer
    keeps_late_calls: bool  # an accepted call that is late is kept beside the next one

    def initial_delay(self) -> float:
        """Wait before the first call of a start, or to an address that is new."""

    def delay_after(self, outcome: CallOutcome, took: float, retry_after: float = 0.0) -> float:
        """Wait before the next call. retry_after: what the service asked for, or 0.

        took: by the call that has ended; of a watch that had brought something, since its last whole line.
        """

    def connect_timeout(self) -> float:
        """How long a connection may take."""

    def first_line_timeout(self) -> float:
        """How long the first whole list, or change, may take, from the connection on."""

    def long_line_extra_time(self) -> float:
        """How much longer the first line may take once a good part of it has come."""

    def answered(self) -> None:
        """The list, or its changes, came."""

    def better_address_delay(self) -> float:
        """Wait, while a watch stands, before a better place is tried."""


def backoff(failed_calls: int, rng: random.Random, most: float = RETRY_S[1]) -> float:
    """The wait of one that asks alone."""
    return min(most, RETRY_S[0] * 2.0 ** min(failed_calls, 10)) * rng.uniform(0.5, 1.0)


class AgentCallPolicy:
    """Lists are pushed to this machine.

    What the agent gets when discovery is back counts as told in that moment, and a call that hangs is
    answered then. So it is left unasked only for a part of the time that sends to what drains may go on.
    """

    keeps_late_calls = False

    def __init__(self, rng: random.Random, drain_grace: float) -> None:
        self.rng = rng
        self.failed_calls = 0
        self.configure(drain_grace)

    def configure(self, drain_grace: float) -> None:
        """Take over a new drain grace, in seconds; waits between calls stay under a part of it."""
        self.most = min(RETRY_S[1], max(RETRY_S[0], GRACE_PART * drain_grace))

    def initial_delay(self) -> float:
        """Ask at once: an agent on the same machine answers one balancer."""
        self.failed_calls = 0
        return 0.0

    def delay_after(self, outcome: CallOutcome, took: float, retry_after: float = 0.0) -> float:
        """Wait before the next call, in seconds: none in order, else exponential backoff with jitter."""
        if outcome is CallOutcome.DONE or outcome is CallOutcome.UNREAD:
            return 0.0
        wait = backoff(self.failed_calls, self.rng, self.most)
        self.failed_calls = min(self.failed_calls + 1, 10)
        return wait

    def connect_timeout(self) -> float:
        """How long a connection may take, in seconds."""
        return CONNECT_S

    def first_line_timeout(self) -> float:
        """How long the first line may take, in seconds."""
        return ANSWER_S

    def long_line_extra_time(self) -> float:
        """No longer: an agent answers at once."""
        return 0.0

    def answered(self) -> None:
        """Begin the backoff anew."""
        self.failed_calls = 0

    def better_address_delay(self) -> float:
        """Never: there is one address."""
        return math.inf


class SharedServiceCallPolicy:
    """One service for a whole fleet.

    balancers: how many ask it; per_s: calls a second that it can answer; most_wait: it is asked again after
    so long, whatever it said (a balancer must not go longer without asking).
    """

    keeps_late_calls = True

    def __init__(
        self, balancers: int, per_s: float, most_wait: float, rng: random.Random, now: Callable[[], float]
    ) -> None:
        self.rng, self.now = rng, now
        self.configure(balancers, per_s, most_wait)
        self.failed_calls = 0
        self.stretch = 1.0  # factor on the spread interval
        self.unread_until = -math.inf  # till then an answer of no use is not followed by a call at once

    def configure(self, balancers: int, per_s: float, most_wait: float) -> None:
        """New settings; what was learnt of the service stays."""
        self.spread_interval = max(0, balancers - SMALL) / per_s
        self.most_wait = most_wait

    def initial_delay(self) -> float:
        """Wait before the first call, in seconds: drawn from the spread interval of the fleet."""
        self.failed_calls = 0
        return self.rng.random() * min(self.spread_interval, NOTIFY_BOUND_S - QUEUE_S)

    def delay_after(self, outcome: CallOutcome, took: float, retry_after: float = 0.0) -> float:
        """Wait before the next call, in seconds: spread over the fleet, under the bound of the list's age."""
        if outcome is CallOutcome.DONE:
            return 0.0
        if (
            outcome is CallOutcome.UNREAD and self.now() >= self.unread_until
        ):  # again and again, it is a failure
            self.unread_until = self.now() + max(RETRY_S[1], self.spread_interval)
            return 0.0
        interval = self.spread_interval * self.stretch
        most = max(0.0, min(self.most_wait, NOTIFY_BOUND_S - QUEUE_S - took))
        if outcome is CallOutcome.LOST:  # all watches end in one moment when the service does
            return max(self.rng.random() * min(interval, most), min(most, backoff(0, self.rng)))
        if outcome is CallOutcome.REJECTED or outcome is CallOutcome.SILENT:
            self.stretch = min(STRETCH_MOST, self.stretch * STRETCH)
        alone = backoff(self.failed_calls, self.rng)
        self.failed_calls = min(self.failed_calls + 1, 10)
        # Drawn under the bound, and not cut at it: who is cut comes together with all others.
        most *= self.rng.uniform(*WAIT_BOUND)
        wait = max(alone, self.spread_interval * self.stretch * self.rng.uniform(*WAIT_SPREAD))
        if retry_after > 0:
            # All get the same value: who came together would come back together.
            wait = max(wait, retry_after + self.rng.random() * self.spread_interval * self.stretch)
        return min(wait, most)

    def connect_timeout(self) -> float:
        """How long a connection may take, in seconds."""
        return CONNECT_S

    def first_line_timeout(self) -> float:
        """How long the first line may take, in seconds: the service may have a queue."""
        return QUEUE_S

    def long_line_extra_time(self) -> float:
        """No longer: to the service all calls are alike."""
        return 0.0

    def answered(self) -> None:
        """Begin backoff and spread anew."""
        self.failed_calls, self.stretch = 0, 1.0

    def better_address_delay(self) -> float:
        """Never: there is one address."""
        return math.inf


def retry_after(value: str, date: str) -> float:
    """Seconds that a Retry-After field asks for; 0 of what can't be read. RFC 9110, section 10.2.3.

    Decimals are read too, as the platform's peers write them. A date is taken against the Date field of the
    same answer: both are readings of the service's clock, which ours need not agree with.
    """
    try:
        seconds = float(value)
    except ValueError:
        seconds = _unix_s(value) - _unix_s(date)
    return seconds if math.isfinite(seconds) and seconds > 0 else 0.0


def _unix_s(date: str) -> float:
    """Unix time in seconds of a date in a header field; not a number where it can't be read."""
    from email.utils import parsedate_to_datetime  # only here: the platform's run stays lean

    try:
        return parsedate_to_datetime(date.strip()).timestamp()
    except (ValueError, TypeError, OverflowError, IndexError):
        return math.nan


def draws(name: str, listen: str, seed: int) -> random.Random:
    """A balancer's own random numbers: no two of a fleet share them, though they have a name or a seed alike.

    An address is nobody else's, and the seed is new with each start.
    """
    import hashlib

    text = "\0".join((name, listen, str(seed)))
    return random.Random(int.from_bytes(hashlib.blake2b(text.encode(), digest_size=16).digest(), "big"))
