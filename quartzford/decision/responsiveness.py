"""Detection of suspect servers: their oldest attempt is overdue, or they have stopped answering.

Requests go to a suspect server only if no other server can take them. Suspects are found by deadlines on two
heaps, so that a send examines only the few suspect servers and not the entire fleet.
"""

from __future__ import annotations

import math

from quartzford.decision.estimates import DeadlineHeap
from quartzford.decision.server import AttemptKey, OutstandingAttempt, Server

# A server with at least UNRESPONSIVE_MIN_IN_FLIGHT attempts in flight is unresponsive if it answers nothing
# for this many typical latencies.
UNRESPONSIVE_LATENCY_MULTIPLE = 2.0
UNRESPONSIVE_MIN_IN_FLIGHT = 3


class Responsiveness:
    """Tracks the suspect servers. servers: the servers of the endpoint list, by name."""

    def __init__(self, servers: dict[str, Server]) -> None:
        self.servers = servers
        self.overdue: dict[Server, None] = {}  # the oldest attempt was overdue at the last check
        self.unresponsive: dict[Server, None] = {}  # unresponsive at the last check
        self.oldest_attempt_deadlines: DeadlineHeap[tuple[Server, AttemptKey]] = DeadlineHeap(
            self._is_oldest_attempt
        )
        self.answer_deadlines: DeadlineHeap[tuple[Server, float]] = DeadlineHeap(
            self._is_current_answer_deadline
        )

    def track_oldest(self, server: Server, key: AttemptKey, attempt: OutstandingAttempt) -> None:
        """Track the deadline of the server's oldest attempt in flight."""
        self.oldest_attempt_deadlines.push(
            attempt.overdue_from_ms, (server, key), self._expected_deadline_count()
        )

    def answer_received(self, now: float, server: Server) -> None:
        """Record an answer and set the deadline of the next one, if several attempts are in flight."""
        server.unresponsive_from_ms = math.inf
        if len(server.in_flight) < UNRESPONSIVE_MIN_IN_FLIGHT:
            return
        oldest = next(iter(server.in_flight.values()))
        server.unresponsive_from_ms = now + UNRESPONSIVE_LATENCY_MULTIPLE * oldest.typical_latency
        item = (server, server.unresponsive_from_ms)
        self.answer_deadlines.push(server.unresponsive_from_ms, item, self._expected_deadline_count())

    def forget(self, server: Server) -> None:
        """Forget a server that was removed from the endpoint list."""
        self.overdue.pop(server, None)
        self.unresponsive.pop(server, None)

    def is_suspect(self, now: float, server: Server) -> bool:
        """Return whether the server is in use, and overdue or unresponsive."""
        return server.slot >= 0 and (is_overdue(server, now) or is_unresponsive(server, now))

    def suspects(self, now: float) -> list[Server]:
        """Return the suspect servers; one that is both overdue and unresponsive occurs twice."""
        return [s for s in (*self.overdue, *self.unresponsive) if self.is_suspect(now, s)]

    def update(self, now: float) -> None:
        """Mark the servers whose deadlines have passed as overdue or unresponsive."""
        for server, _ in self.oldest_attempt_deadlines.pop_passed(now):
            self.overdue[server] = None
        for server, _ in self.answer_deadlines.pop_passed(now):
            self.unresponsive[server] = None

    def suspect_slots(self, now: float) -> list[int]:
        """Return the slots of the suspect servers, and forget servers that are no longer suspect."""
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

    def _expected_deadline_count(self) -> int:
        return 2 * len(self.servers)

    def _is_oldest_attempt(self, item: tuple[Server, AttemptKey]) -> bool:
        server, key = item
        return self._is_listed(server) and next(iter(server.in_flight), None) == key

    def _is_current_answer_deadline(self, item: tuple[Server, float]) -> bool:
        server, unresponsive_from_ms = item
        return server.unresponsive_from_ms == unresponsive_from_ms and self._is_listed(server)

    def _is_listed(self, server: Server) -> bool:
        return self.servers.get(server.entry.server) is server


def is_overdue(server: Server, now: float) -> bool:
    """Return whether the server's oldest attempt is overdue."""
    oldest = server.oldest_attempt()
    return oldest is not None and oldest.overdue_from_ms < now


def is_unresponsive(server: Server, now: float) -> bool:
    """Return whether the server is unresponsive.

    It is if it has answered nothing until unresponsive_from_ms while several attempts were in flight.
    """
    return server.unresponsive_from_ms < now and len(server.in_flight) >= UNRESPONSIVE_MIN_IN_FLIGHT
