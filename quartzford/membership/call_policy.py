"""When the list service is called, and how long an answer is waited for. No I/O.

A change that the service has, and could be reached for, has to be known here NOTIFY_BOUND_S later, whatever
went before. So no more than that may pass from the beginning of one call to the answer of the next: a change
that comes just after the beginning of a call that is never answered arrives with the next call. One cycle is
the time that the call took, the delay behind it and the time that the next call may take; everything that
makes delays longer is capped by this bound.

There are two policies. `AgentCallPolicy` is for lists that are pushed: the address is an agent on this
machine, a call costs nothing, and the sooner the better. `SharedServiceCallPolicy` is for one list
service that all balancers of a fleet poll. It bounds the fleet's rate of calls, though no balancer knows what
another does:

- The first call after a start is made at a moment drawn evenly from the spread interval, the time in which
  the service can answer one call of each balancer. It is 0 for a small fleet, which calls at once. A balancer
  that dies again within the interval of each start calls once in an interval on average, however often it
  starts.
- After a failure the next call follows about one spread interval later: calls that were spread stay spread,
  and the fleet's rate stays the same. (Full jitter would let a third of a fleet come in a quarter of the
  interval.)
- A service that rejects calls, or leaves them unanswered, is called at longer intervals until it has
  answered.
- A call that was accepted and is late is kept open beside the next one for LATE_CALL_KEPT_S: a service that
  works through a long queue answers it in its turn, and to close it would make that work useless.

Times are in seconds. docs/coldstart.md holds the alternatives, with figures, and the cost of the bound.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from enum import Enum
from typing import Protocol

# From the beginning of a call to the next one's answer: 6 s, less what the loop may be late.
NOTIFY_BOUND_S = 5.75
CONNECT_S = 1.5  # for a connection to come up
ANSWER_S = 1.5  # for an agent's complete answer, from the connection on
SHARED_FIRST_LINE_TIMEOUT_S = 2.0  # the same for a service that a fleet polls: calls wait in a queue there
LINE_TIMEOUT_S = 2.75  # between two complete lines of a watch, which has one every two seconds
RETRY_S = (0.05, 1.0)  # first and longest backoff where the spread interval is not longer
GRACE_PART = 0.4  # the longest backoff at an agent, as a part of the drain grace
SMALL_FLEET_SIZE = 16  # so many balancers may call at once
WAIT_SPREAD = (0.75, 1.25)  # of the spread interval, from a failed call to the next
WAIT_BOUND = (0.8, 1.0)  # of the longest delay that NOTIFY_BOUND_S leaves
LATE_CALL_KEPT_S = 60.0  # an accepted call may still be answered for so long
# The spread interval grows by this factor with each call that overloaded the service, up to the second.
STRETCH, STRETCH_MOST = 1.5, 16.0


class CallOutcome(Enum):
    """How a call ended."""

    COMPLETED = "in order"  # a complete list was read
    UNUSABLE = "unread"  # what came does not follow the version held: everything has to be requested
    UNREACHABLE = "unreached"  # the connection was refused, or did not come up in time
    TIMED_OUT = "silent"  # accepted, and nothing more came
    REJECTED = "rejected"  # 429 or 503
    FAILED = "broken"  # anything else before the list had come
    WATCH_LOST = "lost"  # a watch that had brought a list or changes


class CallPolicy(Protocol):
    """When calls to the list service are made, and how long each step of one may take; in seconds."""

    failed_calls: int  # failed calls since the last answer
    keeps_late_calls: bool  # an accepted call that is late is kept beside the next one

    def initial_delay(self) -> float:
        """Delay before the first call after a start, or to a new address."""

    def delay_after(self, outcome: CallOutcome, elapsed_s: float, retry_after_s: float = 0.0) -> float:
        """Delay before the next call. retry_after_s: as the service sent it, or 0.

        elapsed_s: how long the call took; for a watch that delivered something, the time since its last
        complete line.
        """

    def connect_timeout(self) -> float:
        """How long a connection may take."""

    def first_line_timeout(self) -> float:
        """How long the first complete line may take, from the connection on."""

    def long_line_extra_time(self) -> float:
        """How much longer the first line may take once a good part of it has come."""

    def record_answer(self) -> None:
        """The list, or its changes, came."""

    def better_address_delay(self) -> float:
        """Delay, while a watch stands, before a better address is tried."""


def backoff(failed_calls: int, rng: random.Random, most: float = RETRY_S[1]) -> float:
    """Exponential backoff with jitter, in seconds, without regard to the rest of the fleet."""
    return min(most, RETRY_S[0] * 2.0 ** min(failed_calls, 10)) * rng.uniform(0.5, 1.0)


class AgentCallPolicy:
    """For an agent on this machine, to which lists are pushed.

    Balancers count as notified of what the agent receives in that moment, and a call that hangs is answered
    then. So the backoff stays under a part of the drain grace.
    """

    keeps_late_calls = False

    def __init__(self, rng: random.Random, drain_grace: float) -> None:
        self.rng = rng
        self.failed_calls = 0
        self.configure(drain_grace)

    def configure(self, drain_grace: float) -> None:
        """Take over a new drain grace, in seconds."""
        self.most = min(RETRY_S[1], max(RETRY_S[0], GRACE_PART * drain_grace))

    def initial_delay(self) -> float:
        """None: the agent answers this balancer alone."""
        self.failed_calls = 0
        return 0.0

    def delay_after(self, outcome: CallOutcome, elapsed_s: float, retry_after_s: float = 0.0) -> float:
        """None after a call that ended in order, else exponential backoff with jitter."""
        if outcome is CallOutcome.COMPLETED or outcome is CallOutcome.UNUSABLE:
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
        """None: an agent answers at once."""
        return 0.0

    def record_answer(self) -> None:
        """Begin the backoff anew."""
        self.failed_calls = 0

    def better_address_delay(self) -> float:
        """Never: there is one address."""
        return math.inf


class SharedServiceCallPolicy:
    """For one list service that a fleet polls.

    balancers: size of the fleet; per_s: calls a second that the service can answer; max_delay_s: the longest
    delay between two calls, in seconds.
    """

    keeps_late_calls = True

    def __init__(
        self, balancers: int, per_s: float, max_delay_s: float, rng: random.Random, now: Callable[[], float]
    ) -> None:
        self.rng, self.now = rng, now
        self.configure(balancers, per_s, max_delay_s)
        self.failed_calls = 0
        self.interval_factor = 1.0  # factor on the spread interval
        self.unread_until = -math.inf  # until then an answer of no use is not followed by a call at once

    def configure(self, balancers: int, per_s: float, max_delay_s: float) -> None:
        """New settings; what was learnt of the service stays."""
        self.spread_interval = max(0, balancers - SMALL_FLEET_SIZE) / per_s
        self.max_delay_s = max_delay_s

    def initial_delay(self) -> float:
        """Drawn evenly from the spread interval."""
        self.failed_calls = 0
        return self.rng.random() * min(self.spread_interval, NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S)

    def delay_after(self, outcome: CallOutcome, elapsed_s: float, retry_after_s: float = 0.0) -> float:
        """About a spread interval, under the bound of NOTIFY_BOUND_S on the cycle."""
        if outcome is CallOutcome.COMPLETED:
            return 0.0
        if outcome is CallOutcome.UNUSABLE and self.now() >= self.unread_until:  # repeated, it is a failure
            self.unread_until = self.now() + max(RETRY_S[1], self.spread_interval)
            return 0.0
        most = max(0.0, min(self.max_delay_s, NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S - elapsed_s))
        if outcome is CallOutcome.WATCH_LOST:
            return self._delay_after_lost_watch(most)
        if outcome is CallOutcome.REJECTED or outcome is CallOutcome.TIMED_OUT:
            self.interval_factor = min(STRETCH_MOST, self.interval_factor * STRETCH)
        return self._delay_after_failure(most, retry_after_s)

    def _delay_after_lost_watch(self, most: float) -> float:
        """All watches end in one moment when the service does."""
        interval = self.spread_interval * self.interval_factor
        return max(self.rng.random() * min(interval, most), min(most, backoff(0, self.rng)))

    def _delay_after_failure(self, most: float, retry_after_s: float) -> float:
        interval = self.spread_interval * self.interval_factor
        alone = backoff(self.failed_calls, self.rng)
        self.failed_calls = min(self.failed_calls + 1, 10)
        # Drawn under the bound and not cut at it: delays that are cut would end in one moment.
        most *= self.rng.uniform(*WAIT_BOUND)
        delay = max(alone, interval * self.rng.uniform(*WAIT_SPREAD))
        if retry_after_s > 0:
            # All of the fleet get the same value: calls that came together would come back together.
            delay = max(delay, retry_after_s + self.rng.random() * interval)
        return min(delay, most)

    def connect_timeout(self) -> float:
        """How long a connection may take, in seconds."""
        return CONNECT_S

    def first_line_timeout(self) -> float:
        """How long the first line may take, in seconds: the service may have a queue."""
        return SHARED_FIRST_LINE_TIMEOUT_S

    def long_line_extra_time(self) -> float:
        """None: the service queues all calls alike."""
        return 0.0

    def record_answer(self) -> None:
        """Begin backoff and spread interval anew."""
        self.failed_calls, self.interval_factor = 0, 1.0

    def better_address_delay(self) -> float:
        """Never: there is one address."""
        return math.inf


def retry_after(value: str, date: str) -> float:
    """Seconds in a Retry-After field; 0 for a value that can't be read. RFC 9110, section 10.2.3.

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


def seeded_random(name: str, listen: str, seed: int) -> random.Random:
    """A balancer's own random numbers, shared with no other of the fleet, whatever names and seeds are alike.

    An address belongs to one balancer, and the seed is new with each start.
    """
    import hashlib

    text = "\0".join((name, listen, str(seed)))
    return random.Random(int.from_bytes(hashlib.blake2b(text.encode(), digest_size=16).digest(), "big"))
