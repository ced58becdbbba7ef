"""Slow start: a server that is warming up gets a budget of requests that grows with its age.

All balancers together must not send a cold server more than it can do. Each gives it the ramp's part of what
a warm server takes from that balancer, in tokens; a send costs one.

While no server is warm there is nothing to compare with but what arrives, and that has no bound: clients that
are not served send again, and traffic may be a multiple of what warm servers could do. There the good answers
bound the budgets. Answers are work done, so all balancers together see no more of them than the servers can
do, and the multiple of them that the settings allow overloads no server.
"""

from __future__ import annotations

import math
import random

from quartzford.decision import interface as io
from quartzford.decision.estimates import MIN_SPAN_MS, Traffic
from quartzford.decision.latency import FIRST_GUESS
from quartzford.decision.server import Server

PROVEN_MS = 2_000.0  # a cold server's own answers are counted over this
# A cold server may get this multiple of what it answers well; at most half of what overloads it.
PROVEN_GROWTH = 2.0
MAX_TOKENS = 1.0  # no more than one request is saved up
SEND_COST = 1.0


class SlowStart:
    """The servers that are warming up, and their budgets. ready: the servers in use."""

    def __init__(self, ready: list[Server], traffic: Traffic, rng: random.Random) -> None:
        self.ready = ready
        self.traffic = traffic
        self.rng = rng
        self.cold: dict[Server, None] = {}
        self.handed_over = False  # a successor has the budgets
        self._total_units: float | None = None  # of all servers in use

    def configure(self, settings: io.Settings) -> None:
        """Take the settings from now on; what warms up goes on doing so."""
        self.rules = settings.rules
        self.sized = settings.sized
        self.least_rate = self._least_rate(settings)
        self.servers_changed()
        self.cold.update(dict.fromkeys(self.ready))

    @staticmethod
    def _least_rate(settings: io.Settings) -> float:
        """Requests per ms from this balancer that overload no warm server of any use.

        The least server of use answers one request at a time, in the latency that is typical before any is
        known. All balancers together may send it the multiple that the settings allow.
        """
        objectives_ms = [kind.latency_objective_ms for kind in settings.classes]
        typical_ms = FIRST_GUESS * sum(objectives_ms) / len(objectives_ms)
        return settings.rules.overload_multiple / typical_ms / settings.balancers

    def servers_changed(self) -> None:
        """The set of servers in use, or their sizes, have changed."""
        self._total_units = None

    def initialize_budget(self, now: float, server: Server) -> None:
        """Take in a server. Its budget begins at a random phase: all balancers may get it at once."""
        server.tokens = self.rng.random()
        server.tokens_ms = now

    def begin_slow_start(self, server: Server, slow_start_from_ms: float) -> None:
        """A server warms up from this moment on, in ms; 0: it did so long ago."""
        server.slow_start_from_ms = slow_start_from_ms
        if slow_start_from_ms > 0:
            self.cold[server] = None

    def update_slow_start(self, server: Server, slow_start_from_ms: float) -> None:
        """A server in use has another row: it may be warming up, or not any more."""
        server.slow_start_from_ms = slow_start_from_ms
        self.cold[server] = None

    def remove_from_use(self, server: Server) -> None:
        """The server has left use."""
        self.cold.pop(server, None)

    def reset_budgets(self, now: float) -> None:
        """Begin all budgets anew, with nothing in them."""
        for server in self.cold:
            server.tokens = 0.0
            server.tokens_ms = now

    def charge_send(self, server: Server) -> None:
        """A request was sent to the server."""
        if server in self.cold:
            server.tokens -= SEND_COST

    def record_timely_answer(self, now: float, server: Server) -> None:
        """The server has answered in good time."""
        if server in self.cold:
            server.timely_answers = (
                server.timely_answers * math.exp((server.timely_answers_ms - now) / PROVEN_MS) + 1.0
            )
            server.timely_answers_ms = now

    def exhausted_slots(self, now: float) -> list[int]:
        """Slots of the cold servers that have no budget left."""
        if self.handed_over:
            self._forget_warm(now)
            return [server.slot for server in self.cold]
        self.refill(now)
        return [server.slot for server in self.cold if server.tokens < SEND_COST]

    def refill(self, now: float) -> None:
        """Bring the cold servers' budgets up to this moment; what has warmed up is forgotten."""
        self._forget_warm(now)
        if not self.cold:
            return
        if self._total_units is None:
            self._total_units = sum(self._units(server) for server in self.ready)
        warm_units = self._total_units - sum(self._units(server) for server in self.cold)
        any_warm = len(self.cold) < len(self.ready)
        rate_per_unit = self.traffic.answers.read(now) / warm_units if any_warm else 0.0
        even_share = self.traffic.arrivals.read(now) / len(self.ready)
        for server in self.cold:
            full_rate = rate_per_unit * self._units(server) or even_share
            rate = self._rate(now, server, full_rate)
            if not any_warm:
                rate = min(rate, self._answered_limit(now, server))
            server.tokens = min(MAX_TOKENS, server.tokens + rate * (now - server.tokens_ms))
            server.tokens_ms = now

    def _forget_warm(self, now: float) -> None:
        since = now - self.rules.slow_start_ms
        for server in [s for s in self.cold if not 0 < s.slow_start_from_ms > since]:
            del self.cold[server]

    def _rate(self, now: float, server: Server, full_rate: float) -> float:
        """Requests per ms that a cold server may get; full_rate: what a warm one of its size takes."""
        rate = self._ramp(now, server) * full_rate
        # What it answers well it can do, and as much again does not overload it: it warms as fast as it can.
        proven = server.timely_answers * math.exp((server.timely_answers_ms - now) / PROVEN_MS) / PROVEN_MS
        return max(rate, min(full_rate, min(PROVEN_GROWTH, self.rules.overload_multiple / 2) * proven))

    def _ramp(self, now: float, server: Server) -> float:
        """The part of its capacity that a cold server has by its age."""
        rules = self.rules
        age = max(0.0, now - server.slow_start_from_ms) / rules.slow_start_ms
        return rules.slow_start_capacity + (1 - rules.slow_start_capacity) * age

    def _answered_limit(self, now: float, server: Server) -> float:
        """Requests per ms that the answers of all servers permit a cold one at most, while nothing is warm.

        Without any answers it is what the least server of use may get. No limit while no rate of answers can
        be known yet, after the first arrival.
        """
        if now < self.traffic.arrivals.start + MIN_SPAN_MS:
            return math.inf
        answered_rate = self.traffic.answers.read(now) / len(self.ready)
        least_rate = self._ramp(now, server) * self.least_rate
        return max(least_rate, self.rules.overload_multiple * answered_rate)

    def _units(self, server: Server) -> float:
        return server.entry.units if self.sized else 1.0
