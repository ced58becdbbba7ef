"""Delays between calls to the list service, and the timeouts of each call. No I/O.

If the list service is reachable, a balancer must receive each change within NOTIFY_BOUND_S after the service
got it, whatever calls failed before. A change that arrives just after the start of a call that is never
answered is delivered by the next call. So the time from the start of one call to the answer of the next is
bounded. This cycle consists of the duration of the first call, the delay after it and the timeout of the next
call. The bound caps everything that extends a delay.

There are two policies. `AgentCallPolicy` is for lists that are pushed: the address is an agent on this
machine, calls are cheap, and delays are as short as possible. `SharedServiceCallPolicy` is for one list
service that all balancers of a fleet poll. It limits the call rate of the fleet, although the balancers do
not know of each other's calls:

- The first call after a start is made at a moment drawn uniformly from the spread interval, which is the time
  that the service needs to answer one call of each balancer. For a small fleet the interval is 0, and the
  call is made at once. A balancer that crashes within the interval after every start calls once per interval
  on average, however often it restarts.
- After a failure, the next call follows about one spread interval later. Calls that were spread stay spread,
  and the call rate of the fleet stays the same. (With full jitter, a third of the fleet would call within a
  quarter of the interval.)
- A service that rejects calls or does not answer them is called at longer intervals until it answers.
- A call that was accepted but is late stays open beside the next call for LATE_CALL_KEPT_S. A service with a
  long queue answers it when its turn comes, and closing it would waste that work.

All times are in seconds. docs/coldstart.md lists the alternatives with measurements, and the cost of the
bound.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from enum import Enum
from typing import Protocol

# Maximum time from the start of a call to the answer of the next: 6 s, less the possible delay of the event
# loop.
NOTIFY_BOUND_S = 5.75
CONNECT_TIMEOUT_S = 1.5  # timeout for establishing a connection
AGENT_FIRST_LINE_TIMEOUT_S = 1.5  # for an agent's complete answer, counted from the connection
SHARED_FIRST_LINE_TIMEOUT_S = 2.0  # for a service that a fleet polls; calls wait in its queue
LINE_TIMEOUT_S = 2.75  # between two complete lines of a watch; the service sends one every 2 s
BACKOFF_RANGE_S = (0.05, 1.0)  # first and longest backoff, unless the spread interval is longer
MAX_BACKOFF_GRACE_SHARE = 0.4  # longest backoff of calls to an agent, as a share of the drain grace
SMALL_FLEET_SIZE = 16  # number of balancers that may call at the same time
INTERVAL_JITTER = (0.75, 1.25)  # factors on the spread interval after a failed call
MAX_DELAY_JITTER = (0.8, 1.0)  # factors on the longest delay that NOTIFY_BOUND_S allows
LATE_CALL_KEPT_S = 60.0  # how long an accepted call that is late stays open
# Each call that was rejected or timed out multiplies the spread interval by INTERVAL_GROWTH, up to the total
# factor MAX_INTERVAL_FACTOR.
INTERVAL_GROWTH, MAX_INTERVAL_FACTOR = 1.5, 16.0


class CallOutcome(Enum):
    """How a call ended."""

    COMPLETED = "in order"  # a complete list was read
    # The answer cannot be applied to the held version: the next call has to request the complete list.
    UNUSABLE = "unread"
    UNREACHABLE = "unreached"  # the connection was refused or timed out
    TIMED_OUT = "silent"  # accepted, but no complete line arrived in time
    REJECTED = "rejected"  # 429 or 503
    FAILED = "broken"  # any other failure before the list arrived
    WATCH_LOST = "lost"  # the end of a watch that had delivered a list or changes


class CallPolicy(Protocol):
    """Delays between calls to the list service, and the timeouts of each step of a call, in seconds."""

    failed_calls: int  # consecutive failures since the last answer, at most 10
    keeps_late_calls: bool  # whether an accepted call that is late stays open beside the next one

    def initial_delay(self) -> float:
        """Return the delay before the first call after a start or to a new address."""

    def delay_after(self, outcome: CallOutcome, elapsed_s: float, retry_after_s: float = 0.0) -> float:
        """Return the delay before the next call. retry_after_s: the service's Retry-After value, or 0.

        elapsed_s: how long the call took; for a watch that delivered something, the time since its last
        complete line.
        """

    def connect_timeout(self) -> float:
        """Return the timeout for establishing a connection."""

    def first_line_timeout(self) -> float:
        """Return the timeout for the first complete line, counted from the connection."""

    def long_line_extra_time(self) -> float:
        """Return the additional time for the first line if much of it has arrived before the timeout."""

    def record_answer(self) -> None:
        """Record that the list or changes arrived; this resets the backoff."""

    def better_address_delay(self) -> float:
        """Return the delay before a preferred address is tried while a watch is established."""


def backoff(failed_calls: int, rng: random.Random, max_s: float = BACKOFF_RANGE_S[1]) -> float:
    """Return an exponential backoff with jitter, in seconds; it does not depend on the fleet size."""
    return min(max_s, BACKOFF_RANGE_S[0] * 2.0 ** min(failed_calls, 10)) * rng.uniform(0.5, 1.0)


class AgentCallPolicy:
    """Policy for an agent on this machine to which lists are pushed.

    As soon as the agent receives a change, the balancers count as notified of it; a call that hangs is
    answered at that moment. So the backoff is limited to a share of the drain grace.
    """

    keeps_late_calls = False

    def __init__(self, rng: random.Random, drain_grace: float) -> None:
        self.rng = rng
        self.failed_calls = 0
        self.configure(drain_grace)

    def configure(self, drain_grace: float) -> None:
        """Apply a new drain grace, in seconds."""
        self.max_backoff_s = min(
            BACKOFF_RANGE_S[1], max(BACKOFF_RANGE_S[0], MAX_BACKOFF_GRACE_SHARE * drain_grace)
        )

    def initial_delay(self) -> float:
        """Return 0: the agent serves only this balancer."""
        self.failed_calls = 0
        return 0.0

    def delay_after(self, outcome: CallOutcome, elapsed_s: float, retry_after_s: float = 0.0) -> float:
        """Return 0 after a completed or unusable answer, otherwise an exponential backoff with jitter."""
        if outcome is CallOutcome.COMPLETED or outcome is CallOutcome.UNUSABLE:
            return 0.0
        delay = backoff(self.failed_calls, self.rng, self.max_backoff_s)
        self.failed_calls = min(self.failed_calls + 1, 10)
        return delay

    def connect_timeout(self) -> float:
        """Return the timeout for establishing a connection in seconds."""
        return CONNECT_TIMEOUT_S

    def first_line_timeout(self) -> float:
        """Return the timeout for the first line in seconds."""
        return AGENT_FIRST_LINE_TIMEOUT_S

    def long_line_extra_time(self) -> float:
        """Return 0: an agent answers at once."""
        return 0.0

    def record_answer(self) -> None:
        """Reset the backoff."""
        self.failed_calls = 0

    def better_address_delay(self) -> float:
        """Return infinity: there is only one address."""
        return math.inf


class SharedServiceCallPolicy:
    """Policy for one list service that a fleet polls.

    balancers: size of the fleet; calls_per_s: calls per second that the service can answer;
    max_delay_s: the longest delay between two calls.
    """

    keeps_late_calls = True

    def __init__(
        self,
        balancers: int,
        calls_per_s: float,
        max_delay_s: float,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        self.rng, self.now = rng, now
        self.configure(balancers, calls_per_s, max_delay_s)
        self.failed_calls = 0
        self.interval_factor = 1.0  # multiplies the spread interval
        # The clock reading from which an unusable answer is again retried at once.
        self.no_immediate_retry_until = -math.inf

    def configure(self, balancers: int, calls_per_s: float, max_delay_s: float) -> None:
        """Apply new settings; the observed state of the service is kept."""
        self.spread_interval = max(0, balancers - SMALL_FLEET_SIZE) / calls_per_s
        self.max_delay_s = max_delay_s

    def initial_delay(self) -> float:
        """Return a delay drawn uniformly from the spread interval."""
        self.failed_calls = 0
        return self.rng.random() * min(self.spread_interval, NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S)

    def delay_after(self, outcome: CallOutcome, elapsed_s: float, retry_after_s: float = 0.0) -> float:
        """Return about one spread interval, capped so that the cycle stays within NOTIFY_BOUND_S."""
        if outcome is CallOutcome.COMPLETED:
            return 0.0
        # The first unusable answer is retried at once; a repeated one is handled like a failed call.
        if outcome is CallOutcome.UNUSABLE and self.now() >= self.no_immediate_retry_until:
            self.no_immediate_retry_until = self.now() + max(BACKOFF_RANGE_S[1], self.spread_interval)
            return 0.0
        max_delay = max(0.0, min(self.max_delay_s, NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S - elapsed_s))
        if outcome is CallOutcome.WATCH_LOST:
            return self._delay_after_lost_watch(max_delay)
        if outcome is CallOutcome.REJECTED or outcome is CallOutcome.TIMED_OUT:
            self.interval_factor = min(MAX_INTERVAL_FACTOR, self.interval_factor * INTERVAL_GROWTH)
        return self._delay_after_failure(max_delay, retry_after_s)

    def _delay_after_lost_watch(self, max_delay: float) -> float:
        """Return the spread delay after a lost watch: all watches end together when the service fails."""
        interval = self.spread_interval * self.interval_factor
        return max(self.rng.random() * min(interval, max_delay), min(max_delay, backoff(0, self.rng)))

    def _delay_after_failure(self, max_delay: float, retry_after_s: float) -> float:
        interval = self.spread_interval * self.interval_factor
        own_backoff = backoff(self.failed_calls, self.rng)
        self.failed_calls = min(self.failed_calls + 1, 10)
        # Randomize the bound itself: if delays were cut to a fixed bound, they would end at the same moment.
        max_delay *= self.rng.uniform(*MAX_DELAY_JITTER)
        delay = max(own_backoff, interval * self.rng.uniform(*INTERVAL_JITTER))
        if retry_after_s > 0:
            # The whole fleet gets the same Retry-After value, so simultaneous calls would be repeated
            # simultaneously.
            delay = max(delay, retry_after_s + self.rng.random() * interval)
        return min(delay, max_delay)

    def connect_timeout(self) -> float:
        """Return the timeout for establishing a connection in seconds."""
        return CONNECT_TIMEOUT_S

    def first_line_timeout(self) -> float:
        """Return the timeout for the first line in seconds; it allows for a queue at the service."""
        return SHARED_FIRST_LINE_TIMEOUT_S

    def long_line_extra_time(self) -> float:
        """Return 0: the service queues all calls alike."""
        return 0.0

    def record_answer(self) -> None:
        """Reset the backoff and the factor on the spread interval."""
        self.failed_calls, self.interval_factor = 0, 1.0

    def better_address_delay(self) -> float:
        """Return infinity: there is only one address."""
        return math.inf


def parse_retry_after(value: str, date: str) -> float:
    """Return the seconds of a Retry-After field, or 0 if it cannot be parsed (RFC 9110, section 10.2.3).

    Decimals are accepted because the platform's peers send them. A date is compared with the Date field of
    the same answer. Both come from the service's clock, which may differ from the clock of this machine.
    """
    try:
        seconds = float(value)
    except ValueError:
        seconds = _unix_s(value) - _unix_s(date)
    return seconds if math.isfinite(seconds) and seconds > 0 else 0.0


def _unix_s(date: str) -> float:
    """Return the Unix time in seconds of a date in a header field; NaN if it cannot be parsed."""
    from email.utils import parsedate_to_datetime  # imported here to keep the platform's run small

    try:
        return parsedate_to_datetime(date.strip()).timestamp()
    except (ValueError, TypeError, OverflowError, IndexError):
        return math.nan


def seeded_random(name: str, listen: str, seed: int) -> random.Random:
    """Return a random generator that differs from those of all other balancers of the fleet.

    Names or seeds may be equal across the fleet, but each address belongs to one balancer, and the seed
    changes with each start.
    """
    import hashlib

    text = "\0".join((name, listen, str(seed)))
    return random.Random(int.from_bytes(hashlib.blake2b(text.encode(), digest_size=16).digest(), "big"))
