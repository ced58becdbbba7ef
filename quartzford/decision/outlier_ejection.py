"""Outlier ejection: servers that fail more than the others get no requests for a limited time.

After an ejection a server gets one trial request at a time, until a success lowers its failure rate. If the
entire fleet fails, the cause is not a single server; so a server's failure rate is compared with that of the
others.
"""

from __future__ import annotations

import random

from quartzford.decision import interface as io
from quartzford.decision.estimates import Traffic
from quartzford.decision.server import Server

RESULT_WEIGHT = 0.4  # weight of one result in a server's smoothed failure rate
EJECT_ABOVE_FAILURE_RATE = 0.35  # a server is ejected if it exceeds the allowance for fleet failures by this
MIN_EJECTION_MS = 1_000.0  # minimum of the first ejection; doubles with each consecutive ejection
MAX_EJECTION_MS = 8_000.0
# If sends to a server are rare, the maximum is this many send intervals, or the duration of slow start if
# that is shorter.
MAX_EJECTION_SEND_INTERVALS = 8
EJECTION_JITTER = (0.75, 1.25)  # range of the random factor
OTHERS_FAILURE_MULTIPLE = 2.0  # the allowance: this multiple of the mean failure rate of the other servers
# Minimum weight of an ejected server's failure rate in the mean of the others. With this minimum, an overload
# ejects at most an eighth of the servers.
MIN_EJECTED_WEIGHT = 0.33
MAX_EJECTED_SHARE = 0.67  # of the servers in use, so that ejection never empties the fleet
MIN_RATE_PER_MS = 1e-9  # avoids a division by zero


class OutlierEjection:
    """Tracks the failure rates of the servers and ejects outliers. ready: the servers in use."""

    def __init__(self, ready: list[Server], traffic: Traffic, rng: random.Random) -> None:
        self.ready = ready
        self.traffic = traffic
        self.rng = rng
        self.slow_start_ms = 0.0
        # Servers that may be failing, ejected or rejecting; each is checked before use.
        self.unhealthy: dict[Server, None] = {}
        self.failure_rate_sum = 0.0  # sum over the servers in use

    def configure(self, settings: io.Settings) -> None:
        """Apply new settings and keep the learned state."""
        self.slow_start_ms = settings.rules.slow_start_ms

    def record_rejection(self, now: float, server: Server, class_name: str) -> None:
        """Record that an overloaded server rejected this class; it may still serve other classes."""
        server.rejecting_until[class_name] = now + MIN_EJECTION_MS
        self.unhealthy[server] = None

    def record_result(self, now: float, server: Server, failed: bool, unreachable: bool) -> bool:
        """Record the result of an attempt, and return whether the server is ejected because of it.

        unreachable: the connection failed before the attempt's time-out. Overload does not cause that, so the
        failures of the other servers raise no allowance. Otherwise the unreachable servers of a lost zone
        would prevent each other's ejection.
        """
        self.set_failure_rate(server, server.failure_rate + RESULT_WEIGHT * (failed - server.failure_rate))
        if server.failure_rate > EJECT_ABOVE_FAILURE_RATE:
            self.unhealthy[server] = None
        if not failed:
            if server.failure_rate < EJECT_ABOVE_FAILURE_RATE:
                server.ejections = 0
            return False
        if now < server.ejected_until or server.failure_rate <= EJECT_ABOVE_FAILURE_RATE:
            return False
        send_interval_ms = max(1, len(self.ready)) / max(MIN_RATE_PER_MS, self.traffic.arrivals.read(now))
        allowance = (
            0.0
            if unreachable
            else OTHERS_FAILURE_MULTIPLE * self._others_failure_rate(server, send_interval_ms)
        )
        if server.failure_rate <= EJECT_ABOVE_FAILURE_RATE + allowance or not self._may_eject_one_more(now):
            return False
        self._eject(now, server, send_interval_ms)
        return True

    def _may_eject_one_more(self, now: float) -> bool:
        ejected = sum(now < s.ejected_until and s.slot >= 0 for s in self.unhealthy)
        return ejected + 1 <= MAX_EJECTED_SHARE * len(self.ready)

    def _eject(self, now: float, server: Server, send_interval_ms: float) -> None:
        # An ejection that is shorter than the interval between two sends to the server avoids no failure.
        max_duration_ms = max(
            MAX_EJECTION_MS, min(self.slow_start_ms, MAX_EJECTION_SEND_INTERVALS * send_interval_ms)
        )
        first_duration_ms = max(MIN_EJECTION_MS, min(self.slow_start_ms, send_interval_ms))
        duration_ms = min(max_duration_ms, first_duration_ms * 2**server.ejections)
        server.ejected_until = now + duration_ms * self.rng.uniform(*EJECTION_JITTER)
        server.ejections += 1

    def set_failure_rate(self, server: Server, failure_rate: float) -> None:
        """Set a server's smoothed failure rate, from 0 to 1."""
        if server.slot >= 0:
            self.failure_rate_sum += failure_rate - server.failure_rate
        server.failure_rate = failure_rate

    def remove_from_use(self, server: Server) -> None:
        """Remove the failure rate of a server that is about to leave use from the sum."""
        self.failure_rate_sum -= server.failure_rate

    def forget(self, server: Server) -> None:
        """Forget a server that was removed from the endpoint list."""
        self.unhealthy.pop(server, None)

    def _others_failure_rate(self, server: Server, send_interval_ms: float) -> float:
        """Return the mean failure rate of the other servers.

        Each server counts once, not by its attempts: the one that fails fastest gets the most attempts.

        An ejected server is weighted by the number of sends that the shortest ejection avoids, at most 1. If
        sends are frequent, it counts fully: in an overload, one server after the other would be ejected if
        those already ejected no longer counted. If sends are rare, its weight is low: an error then costs one
        send at most, and a failure of long ago says little about the present.
        """
        ejected_rate_sum = sum(
            s.failure_rate for s in self.unhealthy if s.ejections and s.slot >= 0 and s is not server
        )
        own_rate = server.failure_rate if server.slot >= 0 else 0.0
        ejected_rate_sum *= 1.0 - min(1.0, max(MIN_EJECTED_WEIGHT, MIN_EJECTION_MS / send_interval_ms))
        return max(0.0, self.failure_rate_sum - own_rate - ejected_rate_sum) / max(1, len(self.ready) - 1)

    def ejected(self, now: float) -> list[Server]:
        """Return the servers in use that are ejected now."""
        return [s for s in self.unhealthy if s.slot >= 0 and now < s.ejected_until]

    def unhealthy_slots(self, now: float, class_name: str) -> list[int]:
        """Return the slots of servers that can't take this class now; forget those that are healthy again."""
        slots = []
        for server in list(self.unhealthy):
            # After its ejection a server gets one trial at a time, until a success lowers its failure rate.
            on_trial = server.failure_rate > EJECT_ABOVE_FAILURE_RATE
            until = max(server.ejected_until, server.rejecting_until.get(class_name, 0.0))
            if server.slot >= 0 and (now < until or (on_trial and server.in_flight)):
                slots.append(server.slot)
            elif not on_trial and now >= max(server.ejected_until, *server.rejecting_until.values(), 0.0):
                del self.unhealthy[server]
        return slots
