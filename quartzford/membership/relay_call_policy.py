"""Delays between calls to the relays of a list service (the source), and to the source itself. No I/O.

The bound of six seconds is the same as in call_policy.py. A watch detects an unresponsive relay 2.75 s after
its last line. The next two relays in the order may be down or stopped as well, which adds up to
2.75 + 0.5 (spread) + 2 * (1.0 + 0.2) = 5.65 s; the fourth relay answers a request by index at once. So the
timeout for a connection is 0.6 s, the timeout for the first line by index is 1.0 s, and the next relay is
called within 0.2 s. A call that was accepted but is late stays open beside the next one, because a complete
list takes longer.

- If the last call to every relay failed and at least one of them was a rejection, that relay is up and has
  lost the source. The balancer keeps its list, and calls the relays in turn so that each one is called again
  within six seconds.
- If all relays are down, the source is called directly: first at a moment drawn uniformly from the fleet's
  spread interval (the time that the source needs to answer one call of each balancer), then once per
  interval. These delays are not capped at six seconds, so that the fleet does not call the source more often
  than it can answer. The relays are still called in the meantime.
- If the watch is not at the first relay of the order, a preferred relay is called beside the established
  watch, after a delay drawn from RETURN_DELAY_RANGE_S.

Versions are assigned by the source, so a balancer can continue by index at any relay. If an index is ahead of
the relay's own version, the relay waits for the next line of the source. It sends a complete list with a
lower version only if the source has restarted. Three cases remain, each until the relay receives the next
line of the source:

- A change reaches the relay through another relay and a balancer before the source's empty line arrives. The
  relay takes the index for one of another incarnation, and sends an older list just before the changes to it.
- The source has restarted and the relay has not noticed. A balancer that comes from a relay which has noticed
  receives changes of the earlier incarnation until the relay sends the list of the new one.
- A balancer that could not parse a line requests the complete list from a relay that is behind.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable

from quartzford.membership.addresses import RelayAddresses
from quartzford.membership.call_policy import (
    BACKOFF_RANGE_S,
    CONNECT_TIMEOUT_S,
    INTERVAL_GROWTH,
    INTERVAL_JITTER,
    MAX_DELAY_JITTER,
    MAX_INTERVAL_FACTOR,
    NOTIFY_BOUND_S,
    SHARED_FIRST_LINE_TIMEOUT_S,
    SMALL_FLEET_SIZE,
    CallOutcome,
    SharedServiceCallPolicy,
    backoff,
)

RELAY_CONNECT_TIMEOUT_S = 0.6  # timeout for establishing a connection to a relay
RELAY_FIRST_LINE_TIMEOUT_S = 1.0  # for a relay's first line by index, counted from the connection
# Added to the timeout while a long list is in transfer: another relay would only send the same list again.
LONG_LINE_EXTRA_TIME_S = 1.0
MAX_RELAY_JITTER_S = 0.2  # maximum delay from a failed call to the call of the next relay
LOST_WATCH_SPREAD_S = 0.5  # spreads the next calls: all watches of a relay end at the same moment
RETURN_DELAY_RANGE_S = (30.0, 90.0)  # from establishing a watch to the next call of a preferred relay
RELAY_CALLS_PER_S = 200.0  # calls that a relay can answer; sets the spread of the calls after a start
RETRY_AFTER_JITTER = (1.0, 1.25)  # factors on the time in a relay's Retry-After field


class RelayCallPolicy(SharedServiceCallPolicy):
    """Policy for calls to relays, used with `RelayAddresses`; see the module docstring.

    balancers is the fleet size, calls_per_s the rate of the list service, as in `SharedServiceCallPolicy`.
    """

    def __init__(
        self,
        relays: RelayAddresses,
        balancers: int,
        calls_per_s: float,
        max_delay_s: float,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        self.relays = relays
        # Durations of the last round's calls, one for each relay.
        self.call_durations: deque[float] = deque(maxlen=len(relays.order))
        self.next_direct_at: float | None = None  # when the list service is to be called directly
        self.earliest_direct_at = -math.inf  # no direct call is scheduled before this time
        super().__init__(balancers, calls_per_s, max_delay_s, rng, now)

    def configure(self, balancers: int, calls_per_s: float, max_delay_s: float) -> None:
        """Apply new settings; the observed state of relays and service is kept."""
        super().configure(balancers, calls_per_s, max_delay_s)
        self.relay_spread_interval = (
            max(0.0, balancers / len(self.relays.order) - SMALL_FLEET_SIZE) / RELAY_CALLS_PER_S
        )

    def initial_delay(self) -> float:
        """Return a delay drawn from the time that a relay needs to answer all of its balancers."""
        self.failed_calls = 0
        return self.rng.random() * min(
            self.relay_spread_interval, NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S
        )

    def connect_timeout(self) -> float:
        """Return the timeout for connecting to the target that was chosen last."""
        return CONNECT_TIMEOUT_S if self.relays.last_call_direct else RELAY_CONNECT_TIMEOUT_S

    def first_line_timeout(self) -> float:
        """Return the first-line timeout of the last chosen target; it is longer for a complete list."""
        return (
            RELAY_FIRST_LINE_TIMEOUT_S
            if self.relays.version_was_known and not self.relays.last_call_direct
            else SHARED_FIRST_LINE_TIMEOUT_S
        )

    def long_line_extra_time(self) -> float:
        """Return the additional time for a relay: as long again as the timeout for a first line by index."""
        return 0.0 if self.relays.last_call_direct else LONG_LINE_EXTRA_TIME_S

    def record_answer(self) -> None:
        """Reset the state that earlier failures left."""
        super().record_answer()
        self.call_durations.clear()
        self.next_direct_at = None

    def better_address_delay(self) -> float:
        """Return a delay drawn from RETURN_DELAY_RANGE_S."""
        return self.rng.uniform(*RETURN_DELAY_RANGE_S)

    def delay_after(self, outcome: CallOutcome, elapsed_s: float, retry_after_s: float = 0.0) -> float:
        """Return the delay before the next call, to a relay or to the source; see the module docstring."""
        if outcome is CallOutcome.COMPLETED:
            return 0.0
        if outcome is CallOutcome.WATCH_LOST:
            return self.rng.random() * LOST_WATCH_SPREAD_S
        if outcome is CallOutcome.UNUSABLE and self.now() >= self.no_immediate_retry_until:
            self.no_immediate_retry_until = self.now() + BACKOFF_RANGE_S[1]
            return 0.0
        if self.relays.last_failure_direct:
            self._record_direct_failure(outcome)
        else:
            self.call_durations.append(elapsed_s)
        return self._delay_or_direct_call(self._next_relay_delay(retry_after_s))

    def _next_relay_delay(self, retry_after_s: float) -> float:
        """Return the delay before the next relay is called."""
        relays, count = self.relays, len(self.relays.order)
        rejected_delay = retry_after_s * self.rng.uniform(*RETRY_AFTER_JITTER)
        # A complete list waits for its turn: the other relays are no less busy.
        if not relays.version_was_known and rejected_delay > 0:
            return min(rejected_delay, NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S)
        if not relays.all_failed():
            return self.rng.random() * MAX_RELAY_JITTER_S
        # Each relay is called again within six seconds, less the time spent on unresponsive relays.
        remaining = max(0.0, NOTIFY_BOUND_S - RELAY_FIRST_LINE_TIMEOUT_S - sum(self.call_durations))
        relay_interval = remaining / count * self.rng.uniform(*MAX_DELAY_JITTER)
        own_backoff = backoff(self.failed_calls, self.rng)
        self.failed_calls = min(self.failed_calls + 1, 10)
        return max(
            BACKOFF_RANGE_S[0],
            min(relay_interval, max(own_backoff, self.relay_spread_interval, rejected_delay / count)),
        )

    def _record_direct_failure(self, outcome: CallOutcome) -> None:
        if outcome is CallOutcome.REJECTED or outcome is CallOutcome.TIMED_OUT:
            self.interval_factor = min(MAX_INTERVAL_FACTOR, self.interval_factor * INTERVAL_GROWTH)

    def _delay_or_direct_call(self, delay: float) -> float:
        """Return the delay, or a shorter one if the list service is called next."""
        if not self.relays.all_failed() or self.relays.any_relay_reachable():
            self.next_direct_at = None
            return delay
        now = self.now()
        if self.next_direct_at is None:
            self.next_direct_at = max(self.earliest_direct_at, now + self.rng.random() * self.spread_interval)
        if self.next_direct_at > now + delay:
            return delay
        delay = max(0.0, self.next_direct_at - now)
        interval = max(BACKOFF_RANGE_S[1], self.spread_interval) * self.interval_factor
        self.next_direct_at = self.earliest_direct_at = (
            now + delay + interval * self.rng.uniform(*INTERVAL_JITTER)
        )
        self.relays.next_call_direct = True
        return delay
