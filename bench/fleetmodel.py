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
from collections import Counter
from collections.abc import Callable
from typing import Any

from bench.fleetmodel_balancer import Ask, Node
from bench.fleetmodel_events import EVENTS
from bench.fleetmodel_settings import (
    BURST_MS,
    CALL_MS,
    CLASSES,
    DEADLINE_MS,
    EPOCH_MS,
    LOAD,
    NOTICE_MS,
    SHARES,
    SPREAD_MS,
    TURN_MS,
    WORK_MS,
    ZONES,
    Plan,
)
from bench.fleetmodel_upstream import Job, Upstream
from quartzford.decision import interface as io


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
        self.later(4_000.0, functools.partial(EVENTS[plan.event], self))

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
