"""A fleet of stand-in nodos in a process of its own, with scripted or drawn trouble.

    python -m standins.fleet [PLAN as JSON]

prints its padrón's port and the whole list as one line of JSON, and ends on SIGTERM. The trouble begins with
a line on standard input. GET /books at the padrón's port gives what the fleet saw.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import time
from dataclasses import asdict, dataclass
from typing import Any

import uvloop

from standins.execution_journal import ExecutionJournal
from standins.upstream import StandInUpstream, start_upstreams
from standins.upstream_connection import Mode

HAPPENS = ("die", "drain", "hang", *(mode for mode in Mode if mode != Mode.OK))


@dataclass(frozen=True)
class Plan:
    """A fleet. Times in seconds. trouble: 'random', or what@when:nodo, such as 'die@5:3 drain@8:4'."""

    nodos: int = 12
    capacity: float = 150.0  # of each, requests a second when warm
    cores: int = 2
    latency_s: float = 0.005
    slow: int = 0  # so many of them take four times as long
    queue: int = 60
    start_share: float = 0.13
    warm_s: float = 24.0
    most_connections: int = 180
    connect_s: float = 0.001
    idle_s: float = 15.0
    seed: int = 1
    trouble: str = ""
    pace: float = 1.0  # of random trouble: 1 is one in 0.3 to 0.9 s at 24 nodos
    fresh: int = 0  # so many of them start anew, cold, when the trouble begins


class Fleet:
    """The nodos, and what happens to them."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.log: list[tuple[float, str, str]] = []  # when, what, to which nodo
        self.busy: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def _make(self, number: int, journal: ExecutionJournal) -> StandInUpstream:
        p = self.plan
        return StandInUpstream(
            f"s{number:04}",
            journal,
            block=number // 4,
            capacity=p.capacity,
            latency_s=p.latency_s * (4 if number < p.slow else 1),
            queue=p.queue,
            start_share=p.start_share,
            warm_s=p.warm_s,
            cores=p.cores,
            most_connections=p.most_connections,
            connect_s=p.connect_s,
            idle_s=p.idle_s,
            rng=random.Random(number),
        )

    async def start(self) -> None:
        self.nodos, self.journal, self.registry = await start_upstreams(self.plan.nodos, self._make)
        self.registry.events = self.log

    def begin(self) -> None:
        """The trouble starts now."""
        for nodo in self.nodos[: self.plan.fresh]:
            self._task(self._renew(nodo))
        if self.plan.trouble == "random":
            self._task(self._random())
            return
        for word in self.plan.trouble.split():
            what, _, rest = word.partition("@")
            at, _, number = rest.partition(":")
            if what not in HAPPENS:
                raise ValueError(f"{word!r}: no such trouble; there are {', '.join(HAPPENS)}")
            self._task(self._at(float(at), self.nodos[int(number)], what))

    async def _renew(self, nodo: StandInUpstream) -> None:
        await nodo.restart()
        self.registry.notify(nodo)

    def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()

    def _task(self, what: Any) -> None:
        task = asyncio.ensure_future(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _at(self, at: float, nodo: StandInUpstream, what: str) -> None:
        await asyncio.sleep(at)
        await self.suffer(nodo, what)

    async def suffer(self, nodo: StandInUpstream, what: str) -> None:
        """One nodo's trouble from its beginning to its cold successor, some 8 s."""
        rng = self.rng
        self.busy.add(nodo.name)
        self.log.append((time.monotonic(), what, nodo.name))
        if what == "hang":  # takes everything and answers nothing, to the end; the padrón knows nothing
            nodo.mode = "swallow"
            return
        if what == "drain":
            nodo.health = "draining"
            self.registry.notify(nodo)
            await asyncio.sleep(1.0)
            await nodo.stop()
            self.registry.notify(nodo, health="gone")
        elif what == "die":
            await nodo.stop()
            await asyncio.sleep(rng.uniform(0.3, 1.0))  # the padrón is late
            self.registry.notify(nodo, health="gone")
        else:
            nodo.mode = what
            nodo.slowness = 8.0 if what == "slow" else 1.0
            await asyncio.sleep(rng.uniform(1.0, 2.0))
            await nodo.stop()
            self.registry.notify(nodo, health="gone")
        await asyncio.sleep(rng.uniform(0.5, 1.5))
        await nodo.restart()
        self.registry.notify(nodo)
        self.log.append((time.monotonic(), "cold", nodo.name))
        await asyncio.sleep(4.0)
        self.busy.discard(nodo.name)

    async def _random(self) -> None:
        """At most a fifth of the fleet at a time."""
        plan, rng = self.plan, self.rng
        while True:
            await asyncio.sleep(rng.uniform(0.3, 0.9) * 24 / plan.nodos / plan.pace)
            free = [n for n in self.nodos if n.name not in self.busy]
            if len(self.busy) < max(1, plan.nodos // 5):
                what = rng.choice(("die", "drain", "drain", "silent", "swallow"))
                self._task(self.suffer(rng.choice(free), what))

    def account(self) -> dict[str, Any]:
        return self.registry.account() | {"plan": asdict(self.plan)}


async def run(plan: Plan) -> None:
    loop = asyncio.get_running_loop()
    one = Fleet(plan)
    await one.start()
    ended: asyncio.Future[None] = loop.create_future()
    loop.add_signal_handler(signal.SIGTERM, ended.cancel)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # who started it says when
    print(json.dumps({"port": one.registry.port, "list": one.registry.complete()}), flush=True)
    begun = loop.run_in_executor(None, sys.stdin.readline)
    begun.add_done_callback(lambda line: one.begin() if line.result() else None)
    await asyncio.wait((ended,))
    one.stop()
    await one.registry.stop()
    for nodo in one.nodos:
        await nodo.stop()


def main() -> int:
    uvloop.run(run(Plan(**json.loads(sys.argv[1] if len(sys.argv) > 1 else "{}"))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
