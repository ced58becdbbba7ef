"""The balancers of bench.fleetmodel: the real decision module between modelled clients and upstreams."""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from bench.fleetmodel_settings import (
    CALL_MS,
    CAP,
    CLASSES,
    CONNECT_MS,
    DEADLINE_MS,
    HANDSHAKE_MS,
    WAIT,
    WORK_MS,
    ZONES,
    Plan,
    settings,
)
from bench.fleetmodel_upstream import Job, Upstream
from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer

if TYPE_CHECKING:
    from bench.fleetmodel import World


def policy_of_calls(world: World, plan: Plan, seed: int) -> Any:
    """The network code's; None in code of before there was one, where the module alone says when it asks."""
    try:
        from quartzford.membership.call_policy import SharedServiceCallPolicy
    except ImportError:
        return None
    rng = random.Random(seed ^ 1)
    return SharedServiceCallPolicy(plan.balancers, 1000.0 / CALL_MS, 10.0, rng, lambda: world.now / 1000.0)


@dataclass(eq=False)
class Ask:
    """A client's wish: its tries are one request after another."""

    kind: int
    first: float
    tries: int = 1
    served: bool = False


class Node:
    """A balancer: the module, its idle connections, and the requests that it holds."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.zone = world, number, ZONES[number % len(ZONES)]
        self.up = True
        self.leaving = False  # another process has its place: nothing new comes here
        self.lives = 0
        self.begin()

    def begin(self) -> None:
        plan = self.world.plan
        self.lives += 1
        seed = plan.seed * 10_007 + self.number * 101 + self.lives
        self.module = Balancer(settings(self.zone, plan.balancers, plan.asked), seed)
        self.idle: Counter[Upstream] = Counter()
        self.asks: dict[int, Ask] = {}
        self.sends: Counter[int] = Counter()
        self.jobs: dict[int, Job] = {}
        self.known: dict[str, Upstream] = {}
        self.calls: Any = policy_of_calls(self.world, plan, seed) if plan.asked else None

    def later(self, after: float, what: Callable[[], object]) -> None:
        """Then, unless this process has ended by then."""
        life = self.lives

        def alive() -> None:
            if self.up and self.lives == life:
                what()

        self.world.later(after, alive)

    def tell(self, how: str, upstreams: list[tuple[Upstream, str]]) -> None:
        self.known.update({u.name: u for u, _ in upstreams})
        self.feed(io.EndpointListUpdate(how, tuple(u.entry(state) for u, state in upstreams)))
        if how == "stale" and self.calls is not None:  # it has just started
            self.later(1000.0 * self.calls.initial_delay(), lambda: self.world.call(self))

    def feed(self, event: io.Event) -> None:
        begun = time.perf_counter()
        actions = self.module.handle(self.world.now, event)
        self.world.spent += time.perf_counter() - begun
        for action in actions:
            self.act(action)

    def act(self, action: io.Action) -> None:
        match action:
            case io.Send():
                self.start(action)
            case io.SetTimer(after, token):
                self.later(after, lambda: self.feed(io.Timer(token)))
            case io.Shed(request, pause, _):
                self.done(request, "refused", pause)
            case io.Fail(request):
                self.done(request, "failed", 0.0)
            case io.Watch():
                if self.calls is None:
                    self.world.call(self)

    # ---- requests

    def arrive(self, ask: Ask) -> None:
        world = self.world
        number = world.next_number()
        self.asks[number] = ask
        world.tries += 1
        self.later(WAIT * DEADLINE_MS, lambda: self.leave(number))
        self.feed(io.Request(number, CLASSES[ask.kind].name, DEADLINE_MS, "", str(number)))

    def leave(self, number: int) -> None:
        if (ask := self.asks.pop(number, None)) is None:
            return
        if (job := self.jobs.get(number)) is not None:
            self.end(job, "cancelled", final=True)
        self.feed(io.ClientDisconnected(number))
        self.world.again(ask, 0.0)

    def done(self, number: int, how: str, pause: float) -> None:
        self.world.counts[how] += 1
        if (ask := self.asks.pop(number, None)) is not None:
            self.world.again(ask, pause)

    # ---- attempts

    def start(self, send: io.Send) -> None:
        world, upstream = self.world, self.known[send.server]
        number = self.sends[send.request]
        self.sends[send.request] += 1
        kind = self.asks[send.request].kind if send.request in self.asks else 0
        work = WORK_MS[kind] * world.rng.lognormvariate(-0.1, 0.45)
        job = Job(self, send, number, upstream, world.now, work)
        if send.request in self.jobs:
            world.broken["two attempts of one request at once"] += 1
        if number and CLASSES[kind].effect == "unsafe" and send.request in world.may_have_run:
            world.broken["an unsafe request sent again"] += 1
        self.jobs[send.request] = job
        world.attempts += 1
        world.sent[world.second(world.now)] += 1
        net = world.net(self.zone, upstream.zone)
        patience = send.time_out_ms or DEADLINE_MS
        world.later(patience, lambda: self.end(job, "timeout" if job.linked else "connect_failed"))
        if self.idle[upstream]:
            self.idle[upstream] -= 1
            job.kept = job.linked = True
            return world.later(net, lambda: world.reach(job, net))
        world.opened[upstream.name] += 1
        if upstream.dead:
            world.later(2 * net, lambda: self.end(job, "connect_failed"))
        elif upstream.silent:
            world.later(CONNECT_MS, lambda: self.end(job, "connect_failed"))
        elif upstream.held >= CAP:
            world.later(2 * net, lambda: self.end(job, "full"))
        else:
            upstream.held += 1
            world.held_most = max(world.held_most, upstream.held)
            job.linked, job.work = True, job.work + HANDSHAKE_MS * upstream.speed
            world.later(3 * net, lambda: world.reach(job, net))

    def end(self, job: Job, code: str, report: float = 0.0, final: bool = False) -> None:
        if job.over:
            return
        job.over = True
        world, request = self.world, job.send.request
        self.jobs.pop(request, None)
        if code in ("timeout", "cancelled"):
            world.may_have_run.add(request)
        if job.linked:
            if code == "ok":
                self.idle[job.upstream] += 1
            else:
                job.upstream.held -= 1
        world.outcomes[code] += 1
        world.timeouts[world.second(job.begun)] += code == "timeout"
        spent = max(0.01, world.now - job.begun)
        if code == "ok" and (ask := self.asks.pop(request, None)) is not None:
            world.serve(ask)
        said = (report,) if code == "ok" else ()
        self.feed(
            io.AttemptEnded(request, job.number, job.upstream.name, code, spent, final or code == "ok", said)
        )
