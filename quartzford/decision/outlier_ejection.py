"""Outlier ejection: servers that fail more than the others take nothing for a while.

After an ejection a server gets one trial at a time: only a success can clear it. What all of the fleet fails
is no server's fault, so a server's failures are held against those of the others.
"""

from __future__ import annotations

import random

from quartzford.decision import interface as io
from quartzford.decision.estimates import Traffic
from quartzford.decision.server import Server

FAIL_WEIGHT = 0.4  # of one result in a server's failure rate
EJECT_ABOVE_FAILURE_RATE = 0.35  # failure rate that ejects, above what all of the fleet fails
EJECT_MS = 1_000.0  # first ejection at the least; doubles while the server goes on failing
EJECT_MAX_MS = 8_000.0
EJECT_MAX_VISITS = 8  # an ejection lasts at most so many times as long as from one send to the next
EJECT_JITTER = (0.75, 1.25)
FLEET_FACTOR = 2.0  # a server may fail so many times as much as the others do
MIN_EXCUSED = 0.33  # so much of what is out goes on excusing others: an overload puts out an eighth at most
MAX_EJECTED_SHARE = 0.67  # of the ready servers, so that ejection never empties the fleet
MIN_RATE = 1e-9  # requests per ms


class OutlierEjection:
    """The failure rates of the servers, and which of them are ejected. ready: the servers in use."""

    def __init__(self, ready: list[Server], traffic: Traffic, rng: random.Random) -> None:
        self.ready = ready
        self.traffic = traffic
        self.rng = rng
        self.slow_start_ms = 0.0
        self.unhealthy: dict[Server, None] = {}  # failing, ejected or rejecting; checked before it counts
        self.failure_rate_sum = 0.0  # over the servers in use

    def configure(self, settings: io.Settings) -> None:
        """Take the settings from now on; what was learnt stays."""
        self.slow_start_ms = settings.rules.slow_start_ms

    def record_rejection(self, now: float, server: Server, service_class: str) -> None:
        """The server has rejected a request of this class as too much; it may well serve the others."""
        server.rejecting_until[service_class] = now + EJECT_MS
        self.unhealthy[server] = None

    def record_result(self, now: float, server: Server, failed: bool, unreachable: bool) -> bool:
        """An attempt has succeeded or failed; whether the server is ejected for it.

        unreachable: the connection was not accepted in the time that one may take. Load doesn't do that, so
        failures of others are no excuse: the servers of a lost zone would excuse each other.
        """
        self.set_failure_rate(server, server.failure_rate + FAIL_WEIGHT * (failed - server.failure_rate))
        if server.failure_rate > EJECT_ABOVE_FAILURE_RATE:
            self.unhealthy[server] = None
        if not failed:
            if server.failure_rate < EJECT_ABOVE_FAILURE_RATE:
                server.ejections = 0
            return False
        if now < server.ejected_until or server.failure_rate <= EJECT_ABOVE_FAILURE_RATE:
            return False
        send_interval = max(1, len(self.ready)) / max(MIN_RATE, self.traffic.arrivals.read(now))
        allowance = 0.0 if unreachable else FLEET_FACTOR * self._others_failure_rate(server, send_interval)
        if server.failure_rate <= EJECT_ABOVE_FAILURE_RATE + allowance or not self._may_eject_one_more(now):
            return False
        self._eject(now, server, send_interval)
        return True

    def _may_eject_one_more(self, now: float) -> bool:
        ejected = sum(now < s.ejected_until and s.slot >= 0 for s in self.unhealthy)
        return ejected + 1 <= MAX_EJECTED_SHARE * len(self.ready)

    def _eject(self, now: float, server: Server, send_interval: float) -> None:
        # An ejection that ends before the next send here would have come spares nothing.
        longest = max(EJECT_MAX_MS, min(self.slow_start_ms, EJECT_MAX_VISITS * send_interval))
        first = max(EJECT_MS, min(self.slow_start_ms, send_interval))
        duration = min(longest, first * 2**server.ejections)
        server.ejected_until = now + duration * self.rng.uniform(*EJECT_JITTER)
        server.ejections += 1

    def set_failure_rate(self, server: Server, failure_rate: float) -> None:
        """Set a server's failure rate, 0 to 1."""
        if server.slot >= 0:
            self.failure_rate_sum += failure_rate - server.failure_rate
        server.failure_rate = failure_rate

    def remove_from_use(self, server: Server) -> None:
        """The server is about to leave use: its failures count no more among those of the fleet."""
        self.failure_rate_sum -= server.failure_rate

    def forget(self, server: Server) -> None:
        """The server has left the list."""
        self.unhealthy.pop(server, None)

    def _others_failure_rate(self, server: Server, send_interval: float) -> float:
        """The mean failure rate of the others.

        Each counts once: by attempts, the one that fails fastest would count most.
        What is ejected counts by the sends that the shortest ejection spares it. Where these are many, an
        overload would put out one server after the other if those that are out excused nothing. Where it is
        one at most, to be wrong costs that send, and what failed long ago says little of now.
        """
        ejected = sum(
            s.failure_rate for s in self.unhealthy if s.ejections and s.slot >= 0 and s is not server
        )
        own = server.failure_rate if server.slot >= 0 else 0.0
        ejected *= 1.0 - min(1.0, max(MIN_EXCUSED, EJECT_MS / send_interval))
        return max(0.0, self.failure_rate_sum - own - ejected) / max(1, len(self.ready) - 1)

    def ejected(self, now: float) -> list[Server]:
        """The servers in use that are ejected now."""
        return [s for s in self.unhealthy if s.slot >= 0 and now < s.ejected_until]

    def unhealthy_slots(self, now: float, service_class: str) -> list[int]:
        """Slots of servers that take nothing of this class now; those that are well again are forgotten."""
        slots = []
        for server in list(self.unhealthy):
            # Past its ejection, one that has failed gets one trial at a time: only a success can clear it.
            on_trial = server.failure_rate > EJECT_ABOVE_FAILURE_RATE
            until = max(server.ejected_until, server.rejecting_until.get(service_class, 0.0))
            if server.slot >= 0 and (now < until or (on_trial and server.in_flight)):
                slots.append(server.slot)
            elif not on_trial and now >= max(server.ejected_until, *server.rejecting_until.values(), 0.0):
                del self.unhealthy[server]
        return slots
