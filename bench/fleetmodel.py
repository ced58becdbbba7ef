"""Many decision modules and the upstreams that they share, on one virtual clock: no sockets, no event loop.

The modules are the real ones and know nothing of each other. All else is a model; its assumptions:

- Upstreams have cores, a first-come queue without end, a speed and a connection cap. Work is lognormal. One
  that starts is cold: its speed rises evenly with time from START to 1 over COLD_MS. Sent more than its cold
  budget (bench.coldbudget, N being TIP times what it can do) within any FALL_MS, by work, it falls over and
  stays down. Time-outs take waiting work away.
- A connection is kept after an answer and closed after anything else. A new one takes two round trips and
  HANDSHAKE_MS of the upstream's work. The dead refuse; the silent neither accept nor answer.
- Clients arrive as a Poisson stream at balancers drawn evenly, wait WAIT of the deadline for a try, and ask
  twice more after a short pause. A third keeps to the time to come back. Worth counts from the first try.
- Discovery pushes changes to all after a delay and some spread; where the list is asked, it works through
  calls one at a time, CALL_MS each, and turns away what would wait for over TURN_MS. Balancers call by the
  policy of the network code.
- There is no processor time, and no front that notices dead balancers late: clients of one that is down go to
  the others at once.
"""

from __future__ import annotations

import functools
import heapq
import json
import math
import random
import sys
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from bench.coldbudget import cold_budget
from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer

START, COLD_MS, TIP, FALL_MS = 0.13, 24_000.0, 4.0, 2_000.0
HANDSHAKE_MS, CAP, CORES = 1.2, 180, 4
CONNECT_MS, DEADLINE_MS, WAIT = 250.0, 2_000.0, 0.45
NOTICE_MS, SPREAD_MS = 4_000.0, 400.0
CALL_MS, TURN_MS = 8.0, 2_000.0
ZONES = ("north", "south", "east")
CLASSES = (
    io.ServiceClass("consulta", 500.0, DEADLINE_MS, priority_weight=1.0, effect="free"),
    io.ServiceClass(
        "reserva", 600.0, DEADLINE_MS, priority_weight=10.0, effect="keyed", group="cell", window_ms=2e3
    ),
    io.ServiceClass("cobro", 600.0, DEADLINE_MS, priority_weight=8.0, effect="unsafe"),
)
SHARES, WORK_MS = (0.47, 0.43, 0.10), (115.0, 150.0, 130.0)
MEAN_MS = sum(share * work for share, work in zip(SHARES, WORK_MS, strict=True))
LOAD = 0.6
BURST_MS = (6_000.0, 9_000.0)  # from and until, on the play's clock
DEPLOYED, DEPLOY_STEPS, DEPLOY_MS = 0.85, 5, 20_000.0
EPOCH_MS = 1e6  # the clock's start: times near 0 stand for long ago in the list


def settings(zone: str, balancers: int, asked: bool) -> io.Settings:
    return io.Settings(
        zone=zone,
        balancers=balancers,
        classes=CLASSES,
        report_fields=("depth",),
        polls_list=asked,
        prices=io.Prices(cross_zone=0.06, waste=0.05, handshake=0.08),
        rules=io.Rules(5.0, 250.0, 10_000.0, START, COLD_MS, TIP, FALL_MS),
        limits=io.Limits(max_attempts=4, may_cancel=True, retry_after=True, max_retry_after_ms=2_000.0),
    )


class Plan(NamedTuple):
    """What happens to whom.

    event: zone, join, deploy, restart, cold restart, newcomer, handover, bad or calm, at 4 s; cold start,
    at 0.

    rate: the part of the usual traffic. uneven: of the balancers a tenth sees five times what the others do.
    burst: the traffic during BURST_MS, as a multiple. cores: of each upstream.
    """

    balancers: int
    upstreams: int
    event: str
    seconds: float = 20.0
    seed: int = 1
    asked: bool = False
    rate: float = 1.0
    uneven: bool = False
    burst: float = 1.0
    cores: int = CORES


@dataclass(eq=False)
class Upstream:
    """One life of an upstream; it works in its own order and knows nothing of balancers."""

    name: str
    zone: str
    cell: int
    speed: float
    born: float = 0.0
    cores: int = CORES
    state: str = "ready"  # as discovery knows it
    dead: bool = False  # refuses
    silent: bool = False
    mute: bool = False  # takes what comes and answers nothing
    busy: int = 0
    held: int = 0  # connections
    waiting: deque[Job] = field(default_factory=deque)
    sent: deque[tuple[float, float]] = field(default_factory=deque)  # while cold: when, work
    window: float = 0.0
    highest: float = 0.0  # multiple of what it could do
    use: float = 0.0  # largest part of its cold budget that it got

    def warmth(self, now: float) -> float:
        return 1.0 if not self.born else min(1.0, START + (1 - START) * (now - self.born) / COLD_MS)

    def take(self, now: float, work: float) -> bool:
        """Work comes to one that is cold; whether it bears it. It falls over past its cold budget."""
        if self.warmth(now) >= 1.0:
            return True
        self.sent.append((now, work))
        self.window += work
        while self.sent[0][0] <= now - FALL_MS:
            self.window -= self.sent.popleft()[1]
        can = self.warmth(now) * self.speed * self.cores * FALL_MS
        self.highest = max(self.highest, self.window / can)
        use = self.window / MEAN_MS / cold_budget(TIP * can / MEAN_MS)
        self.use = max(self.use, use)
        return use <= 1.0

    def entry(self, state: str) -> io.Endpoint:
        return io.Endpoint(self.name, self.zone, "std", self.cell, state, 1.0, self.born)


@dataclass(eq=False)
class Job:
    """An attempt on its way: at an upstream until it ends for its balancer."""

    at: Node
    send: io.Send
    number: int
    upstream: Upstream
    begun: float
    work: float
    kept: bool = False  # on a connection that stood already
    linked: bool = False  # holds a connection
    working: bool = False
    over: bool = False


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


class World:
    """The clock, the upstreams, discovery, clients, and the books."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.rng, self.now = plan, random.Random(plan.seed), EPOCH_MS
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.numbers = self.requests = 0
        self.counts: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.opened: Counter[str] = Counter()
        self.broken: Counter[str] = Counter()
        self.may_have_run: set[int] = set()
        self.tries = self.attempts = self.calls = self.fallen = 0
        self.spent, self.line_free = 0.0, 0.0
        seconds = int(plan.seconds) + 1
        self.offered, self.got = [0.0] * seconds, [0.0] * seconds
        self.sent, self.timeouts = [0] * seconds, [0] * seconds  # attempts, by the second of their send
        self.held_most = 0  # connections at one upstream
        self.ended: list[Upstream] = []  # lives that were cold once
        born = EPOCH_MS if plan.event == "cold start" else 0.0
        self.upstreams = [self.make(n, born) for n in range(plan.upstreams)]
        self.nodes = [Node(self, n) for n in range(plan.balancers)]
        for node in self.nodes:
            node.tell("stale", [(u, "ready") for u in self.upstreams])
        power = sum(u.speed * u.cores for u in self.upstreams)
        self.rate = (
            plan.rate * LOAD * power / sum(s * w for s, w in zip(SHARES, WORK_MS, strict=True))
        )  # a millisecond
        self.later(self.rng.expovariate(self.rate), self.client)
        self.later(4_000.0, getattr(self, f"{plan.event.replace(' ', '_')}_event"))

    def make(self, number: int, born: float = 0.0, zone: str = "") -> Upstream:
        zone = zone or ZONES[number // 4 % len(ZONES)]
        speed = self.rng.uniform(1.3, 1.7) if self.rng.random() < 0.61 else self.rng.uniform(0.85, 1.1)
        return Upstream(f"s{number}", zone, number // 4, speed, born, self.plan.cores)

    # ---- the clock

    def later(self, after: float, what: Callable[[], object]) -> None:
        self.numbers += 1
        heapq.heappush(self.queue, (self.now + after, self.numbers, what))

    def next_number(self) -> int:
        self.requests += 1
        return self.requests

    def net(self, a: str, b: str) -> float:
        return (0.25 if a == b else 1.0) * self.rng.uniform(0.8, 1.3)

    def run(self) -> World:
        end = EPOCH_MS + 1_000.0 * self.plan.seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        return self

    def second(self, at: float) -> int:
        return int((at - EPOCH_MS) // 1_000)

    # ---- clients

    def client(self) -> None:
        burst = BURST_MS[0] <= self.now - EPOCH_MS < BURST_MS[1]
        rate = self.rate * (self.plan.burst if burst else 1.0)
        self.later(self.rng.expovariate(rate), self.client)
        ask = Ask(self.rng.choices(range(len(CLASSES)), SHARES)[0], self.now)
        self.offered[self.second(self.now)] += CLASSES[ask.kind].priority_weight
        self.place(ask)

    def place(self, ask: Ask) -> None:
        up = [node for node in self.nodes if node.up and not node.leaving]
        if up and self.plan.uneven:
            weights = [5.0 if node.number % 10 == 0 else 1.0 for node in up]
            self.rng.choices(up, weights)[0].arrive(ask)
        elif up:
            self.rng.choice(up).arrive(ask)

    def again(self, ask: Ask, pause: float) -> None:
        if ask.tries >= 3 or self.now - ask.first > DEADLINE_MS:
            return
        ask.tries += 1
        wait = pause if pause and self.rng.random() < 1 / 3 else self.rng.choice((1.0, 100.0))
        self.later(wait, lambda: self.place(ask))

    def serve(self, ask: Ask) -> None:
        kind = CLASSES[ask.kind]
        if ask.served:
            self.broken["served twice"] += 1
        ask.served = True
        if self.now - ask.first <= kind.latency_objective_ms:
            self.got[self.second(ask.first)] += kind.priority_weight

    # ---- upstreams

    def reach(self, job: Job, net: float) -> None:
        upstream = job.upstream
        if job.over or upstream.silent:
            return
        if upstream.dead:
            return job.at.end(job, "reset" if job.kept else "connect_failed")
        if not upstream.take(self.now, job.work):
            self.fallen += 1
            return self.kill(upstream)
        if upstream.mute:
            return
        upstream.waiting.append(job)
        self.work(upstream, net)

    def work(self, upstream: Upstream, net: float = 0.5) -> None:
        while upstream.busy < upstream.cores and upstream.waiting:
            job = upstream.waiting.popleft()
            if job.over:
                continue  # its balancer has closed the connection
            upstream.busy += 1
            job.working = True
            took = job.work / (upstream.speed * upstream.warmth(self.now))
            self.later(took, functools.partial(self.answer, job, net))

    def answer(self, job: Job, net: float) -> None:
        upstream = job.upstream
        upstream.busy -= 1
        if upstream.dead or upstream.silent:
            return
        queue = float(sum(not waiting.over for waiting in upstream.waiting))
        self.later(net, lambda: job.at.end(job, "ok", queue))
        self.work(upstream)

    def kill(self, upstream: Upstream) -> None:
        """The process dies: connections break at once."""
        upstream.dead, upstream.held = True, 0
        self.ended.append(upstream)
        upstream.waiting.clear()
        for node in self.nodes:
            node.idle.pop(upstream, None)
            for job in [job for job in node.jobs.values() if job.upstream is upstream]:
                job.linked = False
                node.end(job, "reset")

    # ---- discovery

    def announce(self, changes: list[tuple[Upstream, str]], after: float = NOTICE_MS) -> None:
        for node in self.nodes:
            if node.up:
                wait = after + self.rng.random() * SPREAD_MS
                node.later(wait, functools.partial(node.tell, "changes", changes))

    def call(self, node: Node) -> None:
        """A call for the list, in its turn; one that would wait too long is turned away."""
        self.calls += 1
        wait = max(0.0, self.line_free - self.now)
        if wait > TURN_MS:
            return node.later(1.0, lambda: self.turned_away(node))
        self.line_free = self.now + wait + CALL_MS
        node.later(wait + CALL_MS, lambda: self.told(node))

    def turned_away(self, node: Node) -> None:
        if node.calls is None:
            return node.feed(io.EndpointListUpdate("failed"))
        from quartzford.membership.call_policy import CallOutcome

        node.later(1000.0 * node.calls.delay_after(CallOutcome.REJECTED, 0.0), lambda: self.call(node))

    def told(self, node: Node) -> None:
        if node.calls is not None:
            node.calls.answered()
        node.tell("whole", [(u, "ready") for u in self.upstreams])

    # ---- mass events

    def calm_event(self) -> None:
        return None

    def bad_event(self) -> None:
        """One upstream in eight takes requests and answers none, until the end; the list knows nothing."""
        for upstream in self.upstreams[::8]:
            upstream.mute = True

    def cold_start_event(self) -> None:
        """Everything started with the clock: balancers that know nothing, upstreams that are all cold."""

    def newcomer_event(self) -> None:
        """A tenth of the upstreams falls silent, and one newcomer is told."""
        for upstream in self.upstreams[::10]:
            upstream.silent = True
        fresh = self.make(900, self.now)
        self.upstreams.append(fresh)
        self.announce([(fresh, "ready")], 1_000.0)

    def handover_event(self) -> None:
        """Half of the upstreams have just been replaced, and each balancer by a process that follows it."""
        self.replace(self.upstreams[::2], 0)
        for n, node in enumerate(list(self.nodes)):
            self.later(1_500.0 + 3_000.0 * n / len(self.nodes), functools.partial(self.follow, node))

    def follow(self, old: Node) -> None:
        """A second process: it has what the first knew, and the first ends what it has."""
        new = Node(self, old.number)
        new.known = dict(old.known)
        listed = [
            (upstream, "ready" if upstream.name in {s.entry.server for s in old.module.ready} else "draining")
            for upstream in old.known.values()
            if upstream.name in old.module.servers
        ]
        memory = old.module.hand_over(self.now)
        new.tell("stale", listed)
        new.module.inherit(self.now, memory)
        old.leaving = True
        self.nodes.append(new)

    def cold_restart_event(self) -> None:
        """Half of the upstreams have just been replaced, and three quarters of the balancers die."""
        self.replace(self.upstreams[::2], 0)
        self.later(NOTICE_MS - 1_500.0, self.restart_event)

    def zone_event(self) -> None:
        """A zone falls silent, is told gone late, and comes back cold after 6 s under the same names."""
        lost = [u for u in self.upstreams if u.zone == ZONES[0]]
        for upstream in lost:
            upstream.silent = True
        self.announce([(u, "gone") for u in lost], 5_000.0)

        def back() -> None:
            fresh = []
            for upstream in lost:
                cores = upstream.cores
                new = Upstream(upstream.name, upstream.zone, upstream.cell, upstream.speed, self.now, cores)
                self.upstreams[self.upstreams.index(upstream)] = new
                self.kill(upstream)
                fresh.append((new, "ready"))
            self.announce(fresh, 1_000.0)

        self.later(6_000.0, back)

    def join_event(self) -> None:
        """Six in ten are replaced within 7 s, in three batches: new ones start, old ones drain, then end."""
        part = self.upstreams[: int(0.6 * len(self.upstreams))]
        for step in range(3):
            batch = part[step::3]
            self.later(2_300.0 * step, functools.partial(self.replace, batch, step))

    def deploy_event(self) -> None:
        """All but fifteen in a hundred are replaced in twenty seconds, a fifth of them at a time."""
        part = self.upstreams[: round(DEPLOYED * len(self.upstreams))]
        for step in range(DEPLOY_STEPS):
            batch = part[step::DEPLOY_STEPS]
            self.later(DEPLOY_MS * step / DEPLOY_STEPS, functools.partial(self.replace, batch, step))

    def replace(self, batch: list[Upstream], step: int) -> None:
        fresh = []
        for n, old in enumerate(batch):
            new = self.make(1_000 * (step + 1) + n, self.now, old.zone)
            new.cell = old.cell
            fresh.append(new)
        self.upstreams += fresh
        self.announce([(u, "ready") for u in fresh], 1_000.0)
        self.announce([(u, "draining") for u in batch], 500.0)

        def gone() -> None:
            for old in batch:
                self.kill(old)
                self.upstreams.remove(old)
            self.announce([(u, "gone") for u in batch], 1_000.0)

        self.later(4_000.0, gone)

    def restart_event(self) -> None:
        """Three quarters of the balancers die at once, and are back after 0.3 s with the list they had."""
        for node in self.nodes[: max(1, 3 * len(self.nodes) // 4)]:
            lost = list(node.asks.values())
            for job in list(node.jobs.values()):
                job.over = True
                job.upstream.held -= job.linked
            for upstream, count in node.idle.items():
                upstream.held -= count
            known = list(node.known.values())
            node.up = False
            node.begin()
            for ask in lost:
                self.again(ask, 0.0)

            def back(node: Node = node, known: list[Upstream] = known) -> None:
                node.up = True
                node.tell("stale", [(u, "ready") for u in known])

            self.later(300.0 + self.rng.random() * 100.0, back)

    # ---- the books

    def result(self) -> dict[str, Any]:
        """Worth in time of what was offered; seconds till it is back; what all took from what all share."""
        last = int(self.plan.seconds) - 2
        share = [
            got / max(1e-9, priority_weight)
            for got, priority_weight in zip(self.got, self.offered, strict=True)
        ][:last]
        calm = sum(share[1:4]) / 3
        short = [n for n, part in enumerate(share) if n >= 4 and part < 0.95 * calm]
        lives = (*self.upstreams, *self.ended)
        return {
            "worth": round(sum(self.got[1:last]) / max(1e-9, sum(self.offered[1:last])), 3),
            "calm": round(calm, 3),
            "worst_second": round(min(share[4:], default=math.nan), 3),
            "back_s": short[-1] - 3 if short else 0,
            "tries": self.tries,
            "calls": self.calls,
            "opened": sum(self.opened.values()),
            "held_most": self.held_most,
            "cold_multiple": round(max((u.highest for u in lives), default=0.0), 2),
            "cold_use": round(max((u.use for u in lives), default=0.0), 3),
            "fallen": self.fallen,
            "outcomes": dict(self.outcomes.most_common()),
            "refused": self.counts["refused"],
            "us_a_try": round(1e6 * self.spent / max(1, self.tries), 1),
            "broken": dict(self.broken),
        }


if __name__ == "__main__":
    plan = Plan(**json.loads(sys.argv[1]))
    print(json.dumps(World(plan).run().result()))
