"""Random event streams for the decision module: requests, outcomes, endpoint lists and timers.

A stream is generated while it is played, as the next events depend on the actions of the first module, the
leader. All other modules receive exactly the same events.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any, NamedTuple

import helpers
from helpers import FREE, KEYED_ANYWHERE, KEYED_IN_CELL, KEYED_IN_ZONE, UNSAFE

from quartzford.decision import interface as io

FAILURES = (
    io.Outcome.ERROR,
    io.Outcome.TIMEOUT,
    io.Outcome.RESET,
    io.Outcome.CONNECT_FAILED,
    io.Outcome.FULL,
    io.Outcome.CANCELLED,
    io.Outcome.NOT_SENT,
)
REPORTING = (io.Outcome.OK, io.Outcome.FULL)  # outcomes of answers that contain a load report
CLASSES = (
    FREE,
    replace(KEYED_IN_CELL, window_ms=400.0),
    KEYED_IN_ZONE,
    KEYED_ANYWHERE,
    replace(UNSAFE, window_ms=0.0),
)
RULES = replace(helpers.RULES, slow_start_ms=4_000.0)
TENANTS = (io.Tenant("acme", 100.0), io.Tenant("lima", 30.0))

START_MS = 1_000.0
BUDGET_MS = 800.0  # time until a request's deadline
MEAN_EXTRA_LATENCY_MS = 20.0  # mean latency of an attempt above MIN_LATENCY_MS
MIN_LATENCY_MS = 1.0
SLOW_FACTOR = 8.0  # multiple of the latency of a slow attempt
MAX_COLD_AGE_MS = 3_000.0  # a server in slow start was started within this time
BAD_SERVER_INTERVAL = 7  # every seventh server fails at the rate `bad_server_failure_rate`


class StreamPlan(NamedTuple):
    """Parameters of a stream. Rates are probabilities."""

    servers: int = 20
    events: int = 400
    list_change_rate: float = 0.02  # per request
    failure_rate: float = 0.1  # per attempt
    reports: bool = True
    tenants: bool = False
    slow_rate: float = 0.05  # per attempt: it takes SLOW_FACTOR times as long
    mean_interval_ms: float = 2.0  # between requests
    sized: bool = False  # servers have different capacities
    cold_rate: float = 0.3  # per listed server: it has just started
    bad_server_failure_rate: float = 0.0  # of every seventh server, if above failure_rate


def settings_of(plan: StreamPlan) -> io.Settings:
    """Return the settings of the modules that receive a stream."""
    return helpers.settings(
        zone="z0",
        balancers=2,
        classes=CLASSES,
        rules=RULES,
        tenants=TENANTS if plan.tenants else (),
        sized=plan.sized,
        limits=io.Limits(max_attempts=4, may_cancel=True, retry_after=True, max_retry_after_ms=500.0),
        prices=io.Prices(cross_zone=0.002),
        report_fields=("depth",) if plan.reports else (),
        over_quota_weight=0.2,
    )


def play_stream(
    plan: StreamPlan, seed: int, modules: list[Any], check: Callable[[list[list[io.Action]]], None]
) -> int:
    """Play one stream to all modules and return its number of events.

    check: called after every event with the list of each module's actions.
    """
    return _Stream(plan, seed, modules, check).play()


class _Stream:
    """State of a stream while it is played. Times in milliseconds."""

    def __init__(
        self, plan: StreamPlan, seed: int, modules: list[Any], check: Callable[[list[list[io.Action]]], None]
    ) -> None:
        self.plan, self.modules, self.check = plan, modules, check
        self.settings = settings_of(plan)
        self.rng = random.Random(seed)
        self.now = START_MS
        self.event_count = 0
        self.states: dict[int, str] = dict.fromkeys(range(plan.servers), "ready")
        self.queue: list[tuple[float, int, Any]] = []  # heap of future timers and outcomes
        self.entry_numbers = itertools.count()  # break ties in the heap
        self.attempt_counts: dict[int, int] = {}  # number of attempts so far, by request

    def play(self) -> int:
        """Play the whole stream and return its number of events."""
        entries = tuple(self._entry(number) for number in self.states)
        self._feed(io.EndpointListUpdate(io.ListUpdateKind.STALE, entries))
        for number in range(self.plan.events):
            self.now += self.rng.expovariate(1 / self.plan.mean_interval_ms)
            self._feed_due()
            if self.rng.random() < self.plan.list_change_rate:
                self._change_list()
            if self.rng.random() < 0.002:
                for module in self.modules:
                    module.configure(self.settings)
            self._feed(self._request(number))
            if self.rng.random() < 0.01:
                self._feed(io.ClientDisconnected(number))
        return self.event_count

    def _entry(self, number: int, state: str = "ready") -> io.Endpoint:
        """Return a server's endpoint with a random start time and capacity."""
        rng = self.rng
        started = self.now - rng.random() * MAX_COLD_AGE_MS if rng.random() < self.plan.cold_rate else 0.0
        units = rng.choice((1.0, 2.0)) if self.plan.sized else 1.0
        zone, cell = f"z{number // 4 % 3}", number // 2
        return io.Endpoint(f"s{number}", zone, "std", cell, state, units, max(0.0, started))

    def _request(self, number: int) -> io.Request:
        service_class = self.rng.choice(CLASSES).name
        tenant = self.rng.choice(("acme", "lima", "made-up")) if self.plan.tenants else ""
        keyed = self.rng.random() < 0.95
        return io.Request(number, service_class, BUDGET_MS, tenant, "k", keyed=keyed)

    def _feed(self, event: io.Event) -> None:
        """Send an event to all modules, and react to the leader's actions."""
        self.event_count += 1
        answers = [module.handle(self.now, event) for module in self.modules]
        self.check(answers)
        for action in answers[0]:
            self._react(action)

    def _feed_due(self) -> None:
        """Send the timers and outcomes that are due by now, each at its own time."""
        now = self.now
        while self.queue and self.queue[0][0] <= now:
            due, _, event = heapq.heappop(self.queue)
            self.now = max(due, START_MS)
            started = self.rng.random() < 0.01
            if started and isinstance(event, io.AttemptEnded) and event.code == io.Outcome.OK:
                self._feed(io.ResponseStarted(event.request, event.attempt, event.server, event.spent_ms))
            self._feed(event)
        self.now = now

    def _react(self, action: io.Action) -> None:
        if isinstance(action, io.SetTimer):
            self._schedule(action.after_ms, io.Timer(action.token))
        elif isinstance(action, io.Send):
            ended = self._outcome(action)
            self._schedule(ended.spent_ms, ended)
        elif isinstance(action, io.Shed | io.Fail):
            self.attempt_counts.pop(action.request, None)

    def _schedule(self, after_ms: float, event: io.Event) -> None:
        heapq.heappush(self.queue, (self.now + after_ms, next(self.entry_numbers), event))

    def _outcome(self, send: io.Send) -> io.AttemptEnded:
        """Draw the outcome of an attempt."""
        plan, rng = self.plan, self.rng
        number = self.attempt_counts.get(send.request, 0)
        self.attempt_counts[send.request] = number + 1
        bad = plan.bad_server_failure_rate if int(send.server[1:]) % BAD_SERVER_INTERVAL == 0 else 0.0
        code = rng.choice(FAILURES) if rng.random() < max(bad, plan.failure_rate) else io.Outcome.OK
        spent_ms = rng.expovariate(1 / MEAN_EXTRA_LATENCY_MS) * (
            SLOW_FACTOR if rng.random() < plan.slow_rate else 1.0
        )
        spent_ms = send.time_out_ms if code == io.Outcome.TIMEOUT else spent_ms + MIN_LATENCY_MS
        report = (rng.random() * 5,) if plan.reports and code in REPORTING else ()
        final, faulted = code == io.Outcome.OK, rng.random() < 0.01
        return io.AttemptEnded(send.request, number, send.server, code, spent_ms, final, report, faulted)

    def _change_list(self) -> None:
        """Send a complete list, or a few changed rows."""
        rng = self.rng
        if rng.random() < 0.2:
            entries = tuple(self._entry(n) for n, state in self.states.items() if state == "ready")
            kind = rng.choice((io.ListUpdateKind.COMPLETE, io.ListUpdateKind.STALE))
            self._feed(io.EndpointListUpdate(kind, entries))
            return
        changes = rng.choice((1, 1, 2, max(1, self.plan.servers // 4)))
        entries = tuple(self._changed_entry() for _ in range(changes))
        self._feed(io.EndpointListUpdate(io.ListUpdateKind.CHANGES, entries))

    def _changed_entry(self) -> io.Endpoint:
        """Return a changed endpoint of a server, which may be new or restarted."""
        rng = self.rng
        number = rng.randrange(int(self.plan.servers * 1.3) + 1)
        self.states[number] = rng.choice(("ready", "ready", "draining", "gone"))
        entry = self._entry(number, self.states[number])
        if self.states[number] == "ready" and rng.random() < 0.3:
            return entry._replace(started_ms=self.now)
        return entry
