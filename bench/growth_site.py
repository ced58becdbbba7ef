"""The upstreams and the list service of bench.growth in a process of their own; a part is replaced.

An upstream has the same capacity at every size. It stands for one of a fleet whose balancers grow in number
with its upstreams, so that a balancer's share of all capacity stays the same; the other balancers are not
simulated.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from multiprocessing.connection import Connection
from time import time
from typing import Any, NamedTuple

import uvloop

from bench.slopes_process import receive, spawned
from standins.listservice import Plan as ServicePlan
from standins.listservice import Service
from standins.site import START_SHARE, WARM_S
from standins.upstream import Connection as UpstreamConnection
from standins.upstream import ExecutionJournal, StandInUpstream

# At 127.0.0.1, thousands of listeners would take ports that other programs choose, and be called by mistake.
ADDRESS = "127.77.0.1"
CELL = 4  # upstreams of one cell, where their number grows with the upstreams
LARGE_CELLS = 8  # cells, where these grow
CAPACITY, CORES = 16.0, 2  # requests a second of a warm upstream, and its cores
LATENCY_S = 0.005
CONNECT_S = 0.0012
IDLE_S = 15.0
MOST_CONNECTIONS = 180
DRAIN_S = 1.0  # from the notice that an upstream drains until it is gone
ROLL_BATCHES = 4
CHURNS = ("roll", "join")
LAYOUTS = ("more cells", "larger cells")


class Day(NamedTuple):
    """What is simulated; times in seconds from the first request.

    churn: "roll" (batches that drain, are gone, and are followed by successors in the same cells) or "join"
    (newcomers one after the other, each as another begins to drain; small cells are their own).
    layout: "more cells" (CELL upstreams in each, at every size) or "larger cells" (LARGE_CELLS of them).
    """

    churn: str
    layout: str
    upstreams: int
    rate: float  # requests a second
    seconds: float
    churn_from: float
    churn_s: float  # within which the part is replaced
    replaced: int
    seed: int = 1

    def cell(self, number: int) -> int:
        """The cell of the upstream of this number; newcomers count on after those of the start."""
        return number // CELL if self.layout == "more cells" else number % LARGE_CELLS


class Counts(NamedTuple):
    """What the site has seen so far."""

    connections: int  # made to upstreams
    list_bytes: int  # of lists and changes sent since the churn began


class CountingUpstream(StandInUpstream):
    """An upstream at ADDRESS that counts the connections made to it: each costs the work of a handshake."""

    connections_made = 0

    async def start(self) -> None:
        """Listen at a port that the kernel gives."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: UpstreamConnection(self), ADDRESS, 0
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, **changes: Any) -> dict[str, Any]:
        """This upstream's row of the list, with these fields changed."""
        return super().entry(**{"dial": f"{ADDRESS}:{self.port}"} | changes)

    def spend(self, now: float, seconds: float) -> None:
        """Count a handshake, which takes so many seconds of a core from `now` on."""
        self.connections_made += 1
        super().spend(now, seconds)


class Site:
    """The upstreams, their list, and the churn."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.journal = ExecutionJournal()
        self.service = Service(ServicePlan(per_s=1_000.0))
        self.upstreams: list[CountingUpstream] = []
        self.bytes_before = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start all upstreams, then the list service."""
        for number in range(self.day.upstreams):
            await self._start_upstream(f"s{number:05}", self.day.cell(number))
        self.service.replace_list([upstream.entry() for upstream in self.upstreams])
        await self.service.start()

    async def _start_upstream(self, name: str, cell: int) -> CountingUpstream:
        upstream = CountingUpstream(
            name,
            self.journal,
            site=f"z{cell % 3}",
            block=cell,
            capacity=CAPACITY,
            cores=CORES,
            latency_s=LATENCY_S,
            connect_s=CONNECT_S,
            idle_s=IDLE_S,
            most_connections=MOST_CONNECTIONS,
            start_share=START_SHARE,
            warm_s=WARM_S,
            rng=random.Random(name),
        )
        await upstream.start()
        self.upstreams.append(upstream)
        return upstream

    def known(self) -> dict[str, Any]:
        """The whole list, as a balancer's configuration holds it."""
        return {"seq": self.service.version, "whole": True, "hosts": list(self.service.rows.values())}

    def counts(self) -> Counts:
        """Connections so far, and bytes of lists since the churn began."""
        made = sum(upstream.connections_made for upstream in self.upstreams)
        return Counts(made, self.service.bytes - self.bytes_before)

    # ---- churn

    def begin(self) -> None:
        """The first request is sent now: schedule the churn."""
        asyncio.get_running_loop().call_later(self.day.churn_from, self._begin_churn)

    def _begin_churn(self) -> None:
        self.bytes_before = self.service.bytes
        leaving = random.Random(self.day.seed).sample(self.upstreams, self.day.replaced)
        if self.day.churn == "roll":
            batches = [leaving[first::ROLL_BATCHES] for first in range(ROLL_BATCHES)]
            self._spread(batches, self.day.churn_s / ROLL_BATCHES, self._roll)
        else:
            self._spread(list(enumerate(leaving)), self.day.churn_s / len(leaving), self._join)

    def _spread(self, parts: Sequence[Any], every_s: float, replace: Callable[[Any], Any]) -> None:
        for number, part in enumerate(parts):
            asyncio.get_running_loop().call_later(number * every_s, self._start_task, replace, part)

    def _start_task(self, replace: Callable[[Any], Any], part: Any) -> None:
        task = asyncio.ensure_future(replace(part))
        self.tasks.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        task.result()

    async def _roll(self, batch: Sequence[CountingUpstream]) -> None:
        """A batch drains, is gone, and its successors join, cold."""
        await self._drain(batch)
        self._publish([await self._newcomer(upstream.name, upstream.block) for upstream in batch])

    async def _join(self, numbered: tuple[int, CountingUpstream]) -> None:
        """A newcomer joins, cold, while another upstream drains."""
        number, upstream = numbered
        self._publish([await self._newcomer(upstream.name, self.day.cell(self.day.upstreams + number))])
        await self._drain([upstream])

    async def _newcomer(self, predecessor: str, cell: int) -> CountingUpstream:
        upstream = await self._start_upstream(f"{predecessor}-2", cell)
        upstream.started_at, upstream.started_at_ms = asyncio.get_running_loop().time(), int(time() * 1000)
        return upstream

    async def _drain(self, batch: Sequence[StandInUpstream]) -> None:
        for upstream in batch:
            upstream.health = "draining"
        self._publish(batch)
        await asyncio.sleep(DRAIN_S)
        for upstream in batch:
            await upstream.stop()
        self._publish(batch, health="gone")

    def _publish(self, upstreams: Sequence[StandInUpstream], **changes: Any) -> None:
        self.service.change_rows([upstream.entry(**changes) for upstream in upstreams])


def _serve(pipe: Connection, day: Day) -> None:
    uvloop.run(_run(pipe, day))


async def _run(pipe: Connection, day: Day) -> None:
    site, loop = Site(day), asyncio.get_running_loop()
    await site.start()
    pipe.send((site.service.port, site.known()))
    while (order := await loop.run_in_executor(None, pipe.recv)) != "end":
        if order == "begin":
            site.begin()
        else:
            pipe.send(site.counts())


class RunningSite:
    """A proxy of the site's process. port: the list service's; known: the list at the start."""

    def __init__(self, pipe: Connection) -> None:
        self.pipe = pipe
        self.port, self.known = receive(pipe)

    def begin(self) -> None:
        """The first request is sent now: the churn's times count from here."""
        self.pipe.send("begin")

    def counts(self) -> Counts:
        """What the site has seen so far."""
        self.pipe.send("counts")
        counts: Counts = receive(self.pipe)
        return counts


@contextmanager
def site(day: Day) -> Iterator[RunningSite]:
    """The site of a day, in a process of its own, ended with the block."""
    with spawned(_serve, day) as pipe:
        yield RunningSite(pipe)
