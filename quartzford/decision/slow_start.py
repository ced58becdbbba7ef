"""Slow start: a server that is warming up (a cold server) gets a request budget that grows with its age.

All balancers together must not overload a cold server. Each balancer refills the server's budget of tokens at
a share of the rate that it sends to a warm server; the share grows with the server's age (the ramp). Each
request costs one token.

While no server is warm, there is no such rate, and the rate of arriving requests is the only other reference.
It has no upper bound: rejected clients retry, and the traffic may be a multiple of what warm servers can
process. In this case the rate of successful answers limits the budgets. All balancers together cannot receive
more successful answers than the servers can process, so the multiple of that rate which the settings allow
(Rules.overload_multiple) overloads no server.
"""

from __future__ import annotations

import math
import random

from quartzford.decision import interface as io
from quartzford.decision.estimates import MIN_RATE_SPAN_MS, Traffic
from quartzford.decision.latency import INITIAL_LATENCY_SHARE
from quartzford.decision.server import Server

PROVEN_WINDOW_MS = 2_000.0  # decay time constant of the count of a cold server's timely answers
# A cold server may get this multiple of its rate of timely answers, but at most half of overload_multiple.
PROVEN_RATE_MULTIPLE = 2.0
MAX_TOKENS = 1.0  # at most one request is saved up
REQUEST_COST_TOKENS = 1.0


class SlowStart:
    """Tracks the cold servers and their budgets. ready: the servers in use."""

    def __init__(self, ready: list[Server], traffic: Traffic, rng: random.Random) -> None:
        self.ready = ready
        self.traffic = traffic
        self.rng = rng
        self.cold: dict[Server, None] = {}
        self.handed_over = False  # the successor process uses the budgets now
        self._total_units: float | None = None  # capacity of all servers in use; None: not computed

    def configure(self, settings: io.Settings) -> None:
        """Apply new settings; slow starts in progress continue."""
        self.rules = settings.rules
        self.sized = settings.sized
        self.safe_rate_per_ms = self._safe_rate_per_ms(settings)
        self.servers_changed()
        self.cold.update(dict.fromkeys(self.ready))

    @staticmethod
    def _safe_rate_per_ms(settings: io.Settings) -> float:
        """Return the requests per ms from this balancer that even the slowest useful warm server can take.

        The slowest useful server is assumed to process one request at a time, each in the initial estimate of
        the typical latency. All balancers together may send it overload_multiple times what it can process.
        """
        objectives_ms = [service_class.latency_objective_ms for service_class in settings.classes]
        typical_ms = INITIAL_LATENCY_SHARE * sum(objectives_ms) / len(objectives_ms)
        return settings.rules.overload_multiple / typical_ms / settings.balancers

    def servers_changed(self) -> None:
        """Invalidate the total capacity after a change of the servers in use or of their sizes."""
        self._total_units = None

    def initialize_budget(self, now: float, server: Server) -> None:
        """Initialize the budget of a server that comes into use.

        The budget starts with a random fraction of a token, because all balancers may add the server at the
        same time and would otherwise send their first requests together.
        """
        server.tokens = self.rng.random()
        server.tokens_ms = now

    def begin_slow_start(self, server: Server, slow_start_from_ms: float) -> None:
        """Start slow start, counted from slow_start_from_ms; 0: long ago, the server is warm."""
        server.slow_start_from_ms = slow_start_from_ms
        if slow_start_from_ms > 0:
            self.cold[server] = None

    def update_slow_start(self, server: Server, slow_start_from_ms: float) -> None:
        """Set another start of slow start after a change of the server's row in the endpoint list.

        Whether the server is still cold is checked at the next refill.
        """
        server.slow_start_from_ms = slow_start_from_ms
        self.cold[server] = None

    def remove_from_use(self, server: Server) -> None:
        """Forget a server that is no longer in use."""
        self.cold.pop(server, None)

    def reset_budgets(self, now: float) -> None:
        """Empty all budgets."""
        for server in self.cold:
            server.tokens = 0.0
            server.tokens_ms = now

    def charge_send(self, server: Server) -> None:
        """Charge a request to the server's budget, if the server is cold."""
        if server in self.cold:
            server.tokens -= REQUEST_COST_TOKENS

    def record_timely_answer(self, now: float, server: Server) -> None:
        """Count a successful answer that came in time, if the server is cold."""
        if server in self.cold:
            server.timely_answers = (
                server.timely_answers * math.exp((server.timely_answers_ms - now) / PROVEN_WINDOW_MS) + 1.0
            )
            server.timely_answers_ms = now

    def exhausted_slots(self, now: float) -> list[int]:
        """Return the slots of the cold servers that may get no request now.

        They are those whose budget is less than one request; after a handover, all cold servers.
        """
        if self.handed_over:
            self._forget_warm(now)
            return [server.slot for server in self.cold]
        self.refill(now)
        return [server.slot for server in self.cold if server.tokens < REQUEST_COST_TOKENS]

    def refill(self, now: float) -> None:
        """Refill the budgets of the cold servers up to now, and forget servers that have become warm."""
        self._forget_warm(now)
        if not self.cold:
            return
        if self._total_units is None:
            self._total_units = sum(self._units(server) for server in self.ready)
        warm_units = self._total_units - sum(self._units(server) for server in self.cold)
        any_warm = len(self.cold) < len(self.ready)
        rate_per_unit = self.traffic.answers.read(now) / warm_units if any_warm else 0.0
        even_arrival_rate = self.traffic.arrivals.read(now) / len(self.ready)
        for server in self.cold:
            full_rate = rate_per_unit * self._units(server) or even_arrival_rate
            rate = self._rate(now, server, full_rate)
            if not any_warm:
                rate = min(rate, self._answered_rate_limit(now, server))
            server.tokens = min(MAX_TOKENS, server.tokens + rate * (now - server.tokens_ms))
            server.tokens_ms = now

    def _forget_warm(self, now: float) -> None:
        cold_since_ms = now - self.rules.slow_start_ms
        for server in [s for s in self.cold if not 0 < s.slow_start_from_ms > cold_since_ms]:
            del self.cold[server]

    def _rate(self, now: float, server: Server, full_rate: float) -> float:
        """Return the requests per ms that a cold server may get.

        full_rate: the requests per ms that a warm server of its size gets.
        """
        rate = self._ramp(now, server) * full_rate
        # The server can process what it answers in time, and this multiple of it causes no overload. So the
        # rate grows as fast as the server warms up.
        proven_rate = (
            server.timely_answers
            * math.exp((server.timely_answers_ms - now) / PROVEN_WINDOW_MS)
            / PROVEN_WINDOW_MS
        )
        return max(
            rate, min(full_rate, min(PROVEN_RATE_MULTIPLE, self.rules.overload_multiple / 2) * proven_rate)
        )

    def _ramp(self, now: float, server: Server) -> float:
        """Return the share of its full capacity that a cold server has at its age."""
        rules = self.rules
        age = max(0.0, now - server.slow_start_from_ms) / rules.slow_start_ms
        return rules.slow_start_capacity + (1 - rules.slow_start_capacity) * age

    def _answered_rate_limit(self, now: float, server: Server) -> float:
        """Return the maximum requests per ms for a cold server while no server is warm.

        The limit follows from the answers of all servers, but is at least the ramp's share of the safe rate,
        so that servers get requests before any answer. There is no limit (infinity) in the time after the
        first arrival in which the rate of answers can't be known yet.
        """
        if now < self.traffic.arrivals.start + MIN_RATE_SPAN_MS:
            return math.inf
        answered_rate = self.traffic.answers.read(now) / len(self.ready)
        safe_rate = self._ramp(now, server) * self.safe_rate_per_ms
        return max(safe_rate, self.rules.overload_multiple * answered_rate)

    def _units(self, server: Server) -> float:
        return server.entry.units if self.sized else 1.0
