"""Suspicion of servers that do not answer: an attempt is overdue, or nothing comes back at all.

A suspect server is passed over while there are others. It is found by deadlines on two heaps, so that a send
looks at the few suspects and at no other server.
"""

from __future__ import annotations

import math

from quartzford.decision.estimates import Deadlines
from quartzford.decision.server import AttemptKey, OutstandingAttempt, Server

UNRESPONSIVE_MULTIPLE = 2.0  # unresponsive: nothing answered for so many typical latencies ...
UNRESPONSIVE_MIN_IN_FLIGHT = 3  # ... with so many attempts out


class Responsiveness:
    """The suspect servers. servers: those of the list, by name."""

    def __init__(self, servers: dict[str, Server]) -> None:
        self.servers = servers
        self.overdue: dict[Server, None] = {}  # the oldest attempt was past its due when last looked at
        self.unresponsive: dict[Server, None] = {}  # answered nothing for long when last looked at
        self.oldest_attempt_deadlines: Deadlines[tuple[Server, AttemptKey]] = Deadlines(self._is_oldest)
        self.answers_due: Deadlines[tuple[Server, float]] = Deadlines(self._is_awaited)

    def track_oldest(self, server: Server, key: AttemptKey, attempt: OutstandingAttempt) -> None:
        """This attempt is the oldest that is out at the server now."""
        self.oldest_attempt_deadlines.push(attempt.overdue_from_ms, (server, key), self._expected_deadlines())

    def answer_received(self, now: float, server: Server) -> None:
        """The server has answered; with several attempts out the next answer is expected in time."""
        server.unresponsive_from_ms = math.inf
        if len(server.in_flight) < UNRESPONSIVE_MIN_IN_FLIGHT:
            return
        oldest = next(iter(server.in_flight.values()))
        server.unresponsive_from_ms = now + UNRESPONSIVE_MULTIPLE * oldest.typical_latency
        item = (server, server.unresponsive_from_ms)
        self.answers_due.push(server.unresponsive_from_ms, item, self._expected_deadlines())

    def forget(self, server: Server) -> None:
        """The server has left the list."""
        self.overdue.pop(server, None)
        self.unresponsive.pop(server, None)

    def is_suspect(self, now: float, server: Server) -> bool:
        """Whether a server in use is overdue or unresponsive."""
        return server.slot >= 0 and (is_overdue(server, now) or is_unresponsive(server, now))

    def suspects(self, now: float) -> list[Server]:
        """The suspect servers, some of them twice."""
        return [s for s in (*self.overdue, *self.unresponsive) if self.is_suspect(now, s)]

    def update(self, now: float) -> None:
        """Take in the servers whose deadlines have passed."""
        for server, _ in self.oldest_attempt_deadlines.passed(now):
            self.overdue[server] = None
        for server, _ in self.answers_due.passed(now):
            self.unresponsive[server] = None

    def suspect_slots(self, now: float) -> list[int]:
        """Slots of the suspect servers; those that are no longer suspect are forgotten."""
        slots = []
        for server in list(self.unresponsive):
            if server.unresponsive_from_ms >= now:
                del self.unresponsive[server]
            elif server.slot >= 0 and is_unresponsive(server, now):
                slots.append(server.slot)
        for server in list(self.overdue):
            if not is_overdue(server, now):
                del self.overdue[server]
            elif server.slot >= 0:
                slots.append(server.slot)
        return slots

    def _expected_deadlines(self) -> int:
        return 2 * len(self.servers)

    def _is_oldest(self, item: tuple[Server, AttemptKey]) -> bool:
        server, key = item
        return self._is_listed(server) and next(iter(server.in_flight), None) == key

    def _is_awaited(self, item: tuple[Server, float]) -> bool:
        server, unresponsive_from_ms = item
        return server.unresponsive_from_ms == unresponsive_from_ms and self._is_listed(server)

    def _is_listed(self, server: Server) -> bool:
        return self.servers.get(server.entry.server) is server


def is_overdue(server: Server, now: float) -> bool:
    """Whether its oldest attempt is past its due."""
    oldest = server.oldest_attempt()
    return oldest is not None and oldest.overdue_from_ms < now


def is_unresponsive(server: Server, now: float) -> bool:
    """Whether it has answered nothing for long, with several attempts out."""
    return server.unresponsive_from_ms < now and len(server.in_flight) >= UNRESPONSIVE_MIN_IN_FLIGHT
