"""Streams of events for the decision module: requests, outcomes, lists and timers in a drawn order.

A stream is drawn while it is played: what comes next depends on what one module (the leader) answered. All
modules that are played beside it get the very same events.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from quartzford.decision import interface as io

CODES = ("error", "timeout", "reset", "connect_failed", "full", "cancelled", "moot")
CLASSES = (
    io.ServiceClass("read", 200.0, 800.0, priority_weight=1.0, effect="free"),
    io.ServiceClass("book", 200.0, 800.0, priority_weight=5.0, effect="keyed", group="cell", window_ms=400.0),
    io.ServiceClass("hold", 200.0, 800.0, priority_weight=5.0, effect="keyed", group="zone", window_ms=300.0),
    io.ServiceClass("note", 200.0, 800.0, priority_weight=5.0, effect="keyed", group="all", window_ms=300.0),
    io.ServiceClass("pay", 200.0, 800.0, priority_weight=8.0, effect="unsafe"),
)
RULES = io.Rules(
    answer_slack_ms=20.0,
    drain_grace_ms=250.0,
    poll_interval_ms=10_000.0,
    slow_start_capacity=0.2,
    slow_start_ms=4_000.0,
    overload_multiple=3.0,
    overload_window_ms=2_000.0,
)


class Plan(NamedTuple):
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
    bad: float = 0.0  # failing of every seventh server, beside that


def settings_of(plan: Plan) -> io.Settings:
    tenants = (io.Tenant("acme", 100.0), io.Tenant("lima", 30.0)) if plan.tenants else ()
    return io.Settings(
        zone="z0",
        balancers=2,
        classes=CLASSES,
        rules=RULES,
        tenants=tenants,
        sized=plan.sized,
        limits=io.Limits(max_attempts=4, may_cancel=True, retry_after=True, max_retry_after_ms=500.0),
        prices=io.Prices(cross_zone=0.002),
        report_fields=("depth",) if plan.reports else (),
        over_quota_weight=0.2,
    )


def entry_of(number: int, rng: random.Random, plan: Plan, now: float, state: str = "ready") -> io.Endpoint:
    started = now - rng.random() * 3_000.0 if rng.random() < plan.cold else 0.0
    units = rng.choice((1.0, 2.0)) if plan.sized else 1.0
    return io.Endpoint(
        f"s{number}", f"z{number // 4 % 3}", "std", number // 2, state, units, max(0.0, started)
    )


def play(plan: Plan, seed: int, modules: list[Any], check: Callable[[list[list[io.Action]]], None]) -> int:
    """Feed all modules one stream; check hears what each answered to every event. The number of events."""
    rng = random.Random(seed)
    now, count = 1_000.0, 0
    state: dict[int, str] = dict.fromkeys(range(plan.servers), "ready")
    queue: list[tuple[float, int, Any]] = []  # timers and outcomes to come
    numbers = iter(range(10**9))
    attempts: dict[int, int] = {}
    settings = settings_of(plan)
    names = [kind.name for kind in CLASSES]

    def feed(event: io.Event) -> None:
        nonlocal count
        count += 1
        answers = [module.handle(now, event) for module in modules]
        check(answers)
        for action in answers[0]:
            react(action)

    def react(action: io.Action) -> None:
        if isinstance(action, io.SetTimer):
            heapq.heappush(queue, (now + action.after_ms, next(numbers), io.Timer(action.token)))
        elif isinstance(action, io.Send):
            number = attempts.get(action.request, 0)
            attempts[action.request] = number + 1
            bad = plan.bad if int(action.server[1:]) % 7 == 0 else 0.0
            code = rng.choice(CODES) if rng.random() < max(bad, plan.failure_rate) else "ok"
            spent = rng.expovariate(1 / 20.0) * (8.0 if rng.random() < plan.slow else 1.0) + 1.0
            if code == "timeout":
                spent = action.time_out_ms
            report = (rng.random() * 5,) if plan.reports and code in ("ok", "full") else ()
            event = io.AttemptEnded(
                action.request, number, action.server, code, spent, code == "ok", report, rng.random() < 0.01
            )
            heapq.heappush(queue, (now + spent, next(numbers), event))
        elif isinstance(action, io.Shed | io.Fail):
            attempts.pop(action.request, None)

    def churn() -> None:
        what = rng.random()
        if what < 0.2:
            entries = tuple(entry_of(n, rng, plan, now) for n, s in state.items() if s == "ready")
            return feed(io.EndpointListUpdate(rng.choice(("whole", "stale")), entries))
        changes = []
        for _ in range(rng.choice((1, 1, 2, max(1, plan.servers // 4)))):
            number = rng.randrange(int(plan.servers * 1.3) + 1)
            state[number] = rng.choice(("ready", "ready", "draining", "gone"))
            one = entry_of(number, rng, plan, now, state[number])
            if state[number] == "ready" and rng.random() < 0.3:
                one = one._replace(started_ms=now)
            changes.append(one)
        feed(io.EndpointListUpdate("changes", tuple(changes)))

    feed(io.EndpointListUpdate("stale", tuple(entry_of(n, rng, plan, now) for n in state)))
    for request in range(plan.events):
        now += rng.expovariate(1 / plan.step_ms)
        while queue and queue[0][0] <= now:
            due, _, event = heapq.heappop(queue)
            at, now = now, max(due, 1_000.0)
            if rng.random() < 0.01 and isinstance(event, io.AttemptEnded) and event.code == "ok":
                feed(io.ResponseStarted(event.request, event.attempt, event.server, event.spent_ms))
            feed(event)
            now = at
        if rng.random() < plan.churn:
            churn()
        if rng.random() < 0.002:
            settings = settings._replace() if hasattr(settings, "_replace") else settings
            for module in modules:
                module.configure(settings)
        name = rng.choice(names)
        tenant = rng.choice(("acme", "lima", "made-up")) if plan.tenants else ""
        feed(io.Request(request, name, 800.0, tenant, "k", 0.0, False, rng.random() < 0.95))
        if rng.random() < 0.01:
            feed(io.ClientDisconnected(request))
    return count
