"""Streams of events for the decision module: requests, outcomes, lists and timers in a drawn order.

A stream is drawn while it is played: what comes next depends on what one module (the leader) answered. All
modules that are played beside it get the very same events.
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
REPORTING = (io.Outcome.OK, io.Outcome.FULL)  # outcomes whose answer has a load report
CLASSES = (
    FREE,
    replace(KEYED_IN_CELL, window_ms=400.0),
    KEYED_IN_ZONE,
    KEYED_ANYWHERE,
    replace(UNSAFE, window_ms=0.0),
)
RULES = replace(helpers.RULES, slow_start_ms=4_000.0)
TENANTS = (io.Tenant("acme", 100.0), io.Tenant("lima", 30.0))

BEGIN_MS = 1_000.0
BUDGET_MS = 800.0
LATENCY_MS = 20.0  # of an attempt, on average, over the fastest
FASTEST_MS = 1.0
SLOW_FACTOR = 8.0
YOUNG_MS = 3_000.0  # a warming server started within this time
FAILING_EVERY = 7  # one in so many servers has the plan's own share of failures


class StreamPlan(NamedTuple):
    """What a stream is like. Shares are of events; churn: of list changes among them."""

    servers: int = 20
    events: int = 400
    churn: float = 0.02
    failure_rate: float = 0.1  # of outcomes
    reports: bool = True
    tenants: bool = False
    slow: float = 0.05  # of outcomes that take several times the usual
    step_ms: float = 2.0
    sized: bool = False
    cold: float = 0.3  # of those that join
    bad: float = 0.0  # failure rate of every seventh server, beside that


def settings_of(plan: StreamPlan) -> io.Settings:
    """The settings of the modules that a stream is played to."""
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
    """Feed all modules one stream; check gets what each answered to every event. The number of events."""
    return _Stream(plan, seed, modules, check).play()


class _Stream:
    """One stream while it is played. Times in milliseconds."""

    def __init__(
        self, plan: StreamPlan, seed: int, modules: list[Any], check: Callable[[list[list[io.Action]]], None]
    ) -> None:
        self.plan, self.modules, self.check = plan, modules, check
        self.settings = settings_of(plan)
        self.rng = random.Random(seed)
        self.now = BEGIN_MS
        self.count = 0  # of events
        self.states: dict[int, str] = dict.fromkeys(range(plan.servers), "ready")
        self.queue: list[tuple[float, int, Any]] = []  # timers and outcomes to come; a heap
        self.numbers = itertools.count()
        self.attempts: dict[int, int] = {}  # by request: how many it has had

    def play(self) -> int:
        """Play all of it; the number of events."""
        entries = tuple(self._entry(number) for number in self.states)
        self._feed(io.EndpointListUpdate(io.ListUpdateKind.STALE, entries))
        for number in range(self.plan.events):
            self.now += self.rng.expovariate(1 / self.plan.step_ms)
            self._feed_due()
            if self.rng.random() < self.plan.churn:
                self._change_list()
            if self.rng.random() < 0.002:
                for module in self.modules:
                    module.configure(self.settings)
            self._feed(self._request(number))
            if self.rng.random() < 0.01:
                self._feed(io.ClientDisconnected(number))
        return self.count

    def _entry(self, number: int, state: str = "ready") -> io.Endpoint:
        """A server's row, with a drawn start and size."""
        rng = self.rng
        started = self.now - rng.random() * YOUNG_MS if rng.random() < self.plan.cold else 0.0
        units = rng.choice((1.0, 2.0)) if self.plan.sized else 1.0
        zone, cell = f"z{number // 4 % 3}", number // 2
        return io.Endpoint(f"s{number}", zone, "std", cell, state, units, max(0.0, started))

    def _request(self, number: int) -> io.Request:
        service_class = self.rng.choice(CLASSES).name
        tenant = self.rng.choice(("acme", "lima", "made-up")) if self.plan.tenants else ""
        keyed = self.rng.random() < 0.95
        return io.Request(number, service_class, BUDGET_MS, tenant, "k", keyed=keyed)

    def _feed(self, event: io.Event) -> None:
        """Feed all modules an event, and react to what the leader answered."""
        self.count += 1
        answers = [module.handle(self.now, event) for module in self.modules]
        self.check(answers)
        for action in answers[0]:
            self._react(action)

    def _feed_due(self) -> None:
        """Feed timers and outcomes that are due by now, each at its own time."""
        now = self.now
        while self.queue and self.queue[0][0] <= now:
            due, _, event = heapq.heappop(self.queue)
            self.now = max(due, BEGIN_MS)
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
            self.attempts.pop(action.request, None)

    def _schedule(self, after_ms: float, event: io.Event) -> None:
        heapq.heappush(self.queue, (self.now + after_ms, next(self.numbers), event))

    def _outcome(self, send: io.Send) -> io.AttemptEnded:
        """How an attempt will end."""
        plan, rng = self.plan, self.rng
        number = self.attempts.get(send.request, 0)
        self.attempts[send.request] = number + 1
        bad = plan.bad if int(send.server[1:]) % FAILING_EVERY == 0 else 0.0
        code = rng.choice(FAILURES) if rng.random() < max(bad, plan.failure_rate) else io.Outcome.OK
        spent_ms = rng.expovariate(1 / LATENCY_MS) * (SLOW_FACTOR if rng.random() < plan.slow else 1.0)
        spent_ms = send.time_out_ms if code == io.Outcome.TIMEOUT else spent_ms + FASTEST_MS
        report = (rng.random() * 5,) if plan.reports and code in REPORTING else ()
        final, faulted = code == io.Outcome.OK, rng.random() < 0.01
        return io.AttemptEnded(send.request, number, send.server, code, spent_ms, final, report, faulted)

    def _change_list(self) -> None:
        """Feed a complete list, or a few changed rows."""
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
        """A changed row of a server, which may be new or restarted."""
        rng = self.rng
        number = rng.randrange(int(self.plan.servers * 1.3) + 1)
        self.states[number] = rng.choice(("ready", "ready", "draining", "gone"))
        entry = self._entry(number, self.states[number])
        if self.states[number] == "ready" and rng.random() < 0.3:
            return entry._replace(started_ms=self.now)
        return entry
