"""When the relays of a list service are called, and when the service itself. No I/O.

The bound of six seconds holds as in call_policy.py. An unresponsive relay is noticed 2.75 s after its
last line, and up to two more may be dead or stopped in a row: 2.75 + 0.5 (spread) + 2 * (1.0 + 0.2) = 5.65 s,
and the fourth answers by index at once. So a connection has 0.6 s, the first line by index 1.0 s, and the
next relay is called within 0.2 s. A call that was accepted and is late is kept beside the next (a complete
list takes longer).

- Where each relay has failed and one of them has rejected a call, it is up and has lost the source: the list
  in use stays, and calls go round so that each relay is called again within the six seconds.
- Where all are down the source is called directly, at a moment drawn evenly from the fleet's spread interval
  (the time in which it can answer one call of each balancer) and one interval later again, not cut at six
  seconds: the fleet calls it no more often than it can answer. The relays are still called meanwhile.
- A balancer with a watch elsewhere than at its first relay calls a better one after a time drawn from
  RETURN_S, beside the established watch.

Versions are the source's own, and a balancer continues by index at any relay; a relay that is behind lets an
index ahead of its own wait for the source's next line, and sends a complete list of a lower version only
where the source has restarted. What remains, each until the relay's next line from the source:

- The source's empty line to a relay is overtaken by a change's way over another relay and a balancer: the
  index is taken for one of another incarnation, and an older list comes just before the changes to it.
- The source has restarted and a relay has not noticed: a balancer that comes from one that has gets the
  earlier incarnation's changes, until the relay sends the new one's list.
- A balancer that could not read a line requests the complete list of a relay, and that is behind.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable

from quartzford.membership.addresses import RelayAddresses
from quartzford.membership.call_policy import (
    CONNECT_S,
    NOTIFY_BOUND_S,
    RETRY_S,
    SHARED_FIRST_LINE_TIMEOUT_S,
    SMALL_FLEET_SIZE,
    STRETCH,
    STRETCH_MOST,
    WAIT_BOUND,
    WAIT_SPREAD,
    CallOutcome,
    SharedServiceCallPolicy,
    backoff,
)

RELAY_CONNECT_S = 0.6  # within which a relay accepts a connection
RELAY_LINE_S = 1.0  # a relay's first line by index, from the connection on
FLOW_S = 1.0  # more, where a long list is under way: another relay would only send it once more
JITTER_S = 0.2  # at most, from a failed call to the next relay's
LOST_SPREAD_S = 0.5  # all watches of a relay end in one moment: its balancers' next calls
RETURN_S = (30.0, 90.0)  # from the moment a watch is established to the next call of a better relay
RELAY_CALLS_PER_S = 200.0  # that a relay answers, for the spread of a start
LATER = (1.0, 1.25)  # of the time in a relay's Retry-After


class RelayCallPolicy(SharedServiceCallPolicy):
    """The policy for relays, with `RelayAddresses` as its addresses; see the module.

    balancers and per_s are the fleet's size and the list service's rate, as in `SharedServiceCallPolicy`.
    """

    def __init__(
        self,
        relays: RelayAddresses,
        balancers: int,
        per_s: float,
        max_delay_s: float,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        self.relays = relays
        self.costs: deque[float] = deque(maxlen=len(relays.order))  # what the last round's calls took
        self.direct_at: float | None = None  # when the list service is called
        self.direct_free = -math.inf  # not before
        super().__init__(balancers, per_s, max_delay_s, rng, now)

    def configure(self, balancers: int, per_s: float, max_delay_s: float) -> None:
        """New settings; what was learnt of relays and service stays."""
        super().configure(balancers, per_s, max_delay_s)
        self.relay_spread_interval = (
            max(0.0, balancers / len(self.relays.order) - SMALL_FLEET_SIZE) / RELAY_CALLS_PER_S
        )

    def initial_delay(self) -> float:
        """A wait drawn from the time in which a relay can answer all of its balancers."""
        self.failed_calls = 0
        return self.rng.random() * min(
            self.relay_spread_interval, NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S
        )

    def connect_timeout(self) -> float:
        """As long as the place that was chosen last may take."""
        return CONNECT_S if self.relays.last_call_direct else RELAY_CONNECT_S

    def first_line_timeout(self) -> float:
        """As long as the place that was chosen last may take; longer for a complete list."""
        return (
            RELAY_LINE_S
            if self.relays.version_was_known and not self.relays.last_call_direct
            else SHARED_FIRST_LINE_TIMEOUT_S
        )

    def long_line_extra_time(self) -> float:
        """From a relay, as long again as a first line by index may take."""
        return 0.0 if self.relays.last_call_direct else FLOW_S

    def record_answer(self) -> None:
        """Forget what failed before."""
        super().record_answer()
        self.costs.clear()
        self.direct_at = None

    def better_address_delay(self) -> float:
        """A wait drawn from RETURN_S."""
        return self.rng.uniform(*RETURN_S)

    def delay_after(self, outcome: CallOutcome, elapsed_s: float, retry_after_s: float = 0.0) -> float:
        """The wait before the next relay's turn, or the source's: see the module."""
        if outcome is CallOutcome.COMPLETED:
            return 0.0
        if outcome is CallOutcome.WATCH_LOST:
            return self.rng.random() * LOST_SPREAD_S
        if outcome is CallOutcome.UNUSABLE and self.now() >= self.unread_until:
            self.unread_until = self.now() + RETRY_S[1]
            return 0.0
        if self.relays.last_failure_direct:
            self._direct_failed(outcome)
        else:
            self.costs.append(elapsed_s)
        return self._direct_first(self._next_relay(retry_after_s))

    def _next_relay(self, retry_after_s: float) -> float:
        """Wait before the next relay is called."""
        relays, count = self.relays, len(self.relays.order)
        later = retry_after_s * self.rng.uniform(*LATER)
        if not relays.version_was_known and later > 0:  # a complete list, in turn: others have no less to do
            return min(later, NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S)
        if not relays.all_failed():
            return self.rng.random() * JITTER_S
        # Each relay is called again within the six seconds, less what unresponsive ones have taken of them.
        left = max(0.0, NOTIFY_BOUND_S - RELAY_LINE_S - sum(self.costs))
        pace = left / count * self.rng.uniform(*WAIT_BOUND)
        alone = backoff(self.failed_calls, self.rng)
        self.failed_calls = min(self.failed_calls + 1, 10)
        return max(RETRY_S[0], min(pace, max(alone, self.relay_spread_interval, later / count)))

    def _direct_failed(self, outcome: CallOutcome) -> None:
        if outcome is CallOutcome.REJECTED or outcome is CallOutcome.TIMED_OUT:
            self.interval_factor = min(STRETCH_MOST, self.interval_factor * STRETCH)

    def _direct_first(self, wait: float) -> float:
        """The wait, or a shorter one after which the list service is called."""
        if not self.relays.all_failed() or self.relays.any_relay_alive():
            self.direct_at = None
            return wait
        now = self.now()
        if self.direct_at is None:
            self.direct_at = max(self.direct_free, now + self.rng.random() * self.spread_interval)
        if self.direct_at > now + wait:
            return wait
        wait = max(0.0, self.direct_at - now)
        interval = max(RETRY_S[1], self.spread_interval) * self.interval_factor
        self.direct_at = self.direct_free = now + wait + interval * self.rng.uniform(*WAIT_SPREAD)
        self.relays.next_call_direct = True
        return wait
