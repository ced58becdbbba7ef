"""Clients of a whole fleet, behind a front that deals them out: python -m rig.clients, a plan on stdin.

A plan is one line of JSON: balancers as [host, port] with their weights, rate, seconds, seed. After a second
line, {"begin": T}, requests come as a Poisson stream from T on, open loop, latency from the intended send.
The front takes a balancer in once GET /_health has answered 200, and leaves one out some seconds after nobody
has taken a connection there. At the end one line of JSON: books, ends, latency, and when each was taken in.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from bisect import bisect
from collections import Counter
from collections.abc import Iterator
from itertools import accumulate
from time import monotonic
from typing import Any

import uvloop

from quartzford.load.attempt import ClientAttempt, ClientRequest
from quartzford.load.clients import DEFAULT_CLASSES, SERVED, UNREACHABLE, ClientBehaviour, Outcome
from quartzford.load.connecting import connect_within
from quartzford.load.connection import TargetConnection
from quartzford.load.driver import Driver, WorkerPlan
from quartzford.load.options import Target
from quartzford.load.plan import PlannedRequest
from quartzford.load.record import Record, histogram_summary

POLL_S = 0.25
NOTICE_S = 2.0  # from the first refused connection on a front goes on sending there for so long
HEALTH_S = 1.0


class Front:
    """Which balancers are taken in."""

    def __init__(self, rows: list[Any], seed: int) -> None:
        self.targets = [Target(host, port) for host, port, _ in rows]
        self.weights = [weight for _, _, weight in rows]
        self.since: dict[int, float] = {}  # taken in, and when
        self.first: dict[int, float] = {}
        self.refused: dict[int, float] = {}  # since when nobody takes connections
        self.sums: list[float] = []
        self.chosen: list[int] = []
        self.rng = random.Random(seed)
        self.stopped = False

    def _sum(self) -> None:
        self.chosen = sorted(self.since)
        self.sums = list(accumulate(self.weights[n] for n in self.chosen))

    def pick(self) -> int:
        """One of those taken in, by weight; -1: there are none."""
        if not self.chosen:
            return -1
        return self.chosen[min(len(self.chosen) - 1, bisect(self.sums, self.rng.random() * self.sums[-1]))]

    def failed(self, number: int) -> None:
        """Nobody took a connection."""
        if monotonic() - self.refused.setdefault(number, monotonic()) > NOTICE_S and number in self.since:
            del self.since[number]
            self._sum()

    def reached(self, number: int) -> None:
        """A connection was taken: forget earlier refusals."""
        self.refused.pop(number, None)

    async def watch(self, number: int) -> None:
        """Ask one that is not taken in for its health, again and again."""
        await asyncio.sleep(self.rng.random() * POLL_S)
        while not self.stopped:
            if number not in self.since and await self._well(number):
                self.since[number] = monotonic()
                self.first.setdefault(number, monotonic())
                self.reached(number)
                self._sum()
            await asyncio.sleep(POLL_S)

    async def _well(self, number: int) -> bool:
        target = self.targets[number]
        writer = None
        try:
            async with asyncio.timeout(HEALTH_S):
                reader, writer = await asyncio.open_connection(target.host, target.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n")
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()


class Rest:
    """Connections at rest, by balancer."""

    def __init__(self, count: int) -> None:
        self.by: list[list[Member]] = [[] for _ in range(count)]

    def append(self, link: Member) -> None:
        """Add a connection that is idle."""
        self.by[link.where].append(link)

    def __iter__(self) -> Iterator[Member]:
        return (link for links in self.by for link in links)

    def __bool__(self) -> bool:
        return False


class Member(TargetConnection):
    """A connection to one balancer."""

    driver: Crowd
    where = -1
    made = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note when the connection stood, on the monotonic clock."""
        self.made = monotonic()
        super().connection_made(transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Note the attempt that went down with the connection."""
        if self.attempt is not None and not self.attempt.ended:
            self.driver.lost(self.attempt, self)
        super().connection_lost(error)


class Timed(Record):
    """A record that also counts, by the second, requests that were not served."""

    def __init__(self) -> None:
        super().__init__(DEFAULT_CLASSES)
        self.unserved: dict[int, Counter[str]] = {}

    def request_ended(self, name: str, tenant: str, outcome: Outcome, second: int, latency_s: float) -> None:
        """A request has come to its end."""
        super().request_ended(name, tenant, outcome, second, latency_s)
        if outcome is not SERVED:
            self.unserved.setdefault(second, Counter())[outcome] += 1


class Crowd(Driver):
    """A driver whose requests go where the front says."""

    def __init__(
        self,
        front: Front,
        behaviour: ClientBehaviour,
        plan: Iterator[PlannedRequest],
        start: float,
        seed: int,
    ) -> None:
        self.front = front
        self.timed = record = Timed()
        record.attempt_log = []
        super().__init__(WorkerPlan(Target("fleet", 80), behaviour, plan, start, seed, "c"), record)
        self.rest = Rest(len(front.targets))
        self.idle = self.rest  # type: ignore[assignment]
        self.at: dict[str, tuple[int, float, float]] = {}  # of what was lost: where, since when, until when

    def _begin_attempt(self, request: ClientRequest, intended_at: float) -> None:
        attempt = self._new_attempt(request, intended_at)
        where = self.front.pick()
        links = self.rest.by[where] if where >= 0 else []
        while links:
            link = links.pop()
            if link.is_usable():
                return self._send_attempt(attempt, link)
        self._dial(attempt, where)

    def lost(self, attempt: ClientAttempt, link: Member) -> None:
        """Note where an attempt was lost, and from when to when its connection stood."""
        self.at[self.attempt_id(attempt.request)] = link.where, link.made, monotonic()

    def connect(self, attempt: ClientAttempt, fresh: bool = False) -> None:
        """Open a connection to a balancer of the front's choice for an attempt."""
        self._dial(attempt, self.front.pick())

    def _dial(self, attempt: ClientAttempt, where: int) -> None:
        self.open_connections += 1
        self._keep_task(self.loop.create_task(self._connect_to(attempt, where)))

    async def _connect_to(self, attempt: ClientAttempt, where: int) -> None:
        link = Member(self)
        link.where = where
        try:
            if where < 0:
                raise ConnectionRefusedError
            target = self.front.targets[where]
            limit_s = max(0.001, attempt.timeout_at - monotonic())
            await connect_within(self.loop, link, target.host, target.port, limit_s)
        except (OSError, TimeoutError):
            self.open_connections -= 1
            if where >= 0:
                self.front.failed(where)
            return self.attempt_ended(attempt, UNREACHABLE, 0.0)
        self.front.reached(where)
        self.connected(attempt, link)


def plan_of(rate: float, seconds: float, seed: int) -> Iterator[PlannedRequest]:
    """A Poisson stream of the brief's classes."""
    rng, at = random.Random(seed), 0.0
    weights = [kind.share for kind in DEFAULT_CLASSES]
    while rate > 0 and (at := at + rng.expovariate(rate)) < seconds:
        kind = rng.choices(DEFAULT_CLASSES, weights)[0]
        yield PlannedRequest(at, kind, "", "", 40, kind.deadline_s)


async def run() -> None:
    """Play the plan that is read from standard input and print the result as a line of JSON."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=2**26)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    settings = json.loads(await reader.readline())
    front = Front(settings["balancers"], settings["seed"])
    print("ready", flush=True)
    begin = json.loads(await reader.readline())["begin"]
    watches = [asyncio.ensure_future(front.watch(n)) for n in range(len(front.targets))]
    plan = plan_of(settings["rate"], settings["seconds"], settings["seed"])
    driver = Crowd(front, ClientBehaviour(**settings.get("manners", {})), plan, begin, settings["seed"])
    playing = asyncio.ensure_future(driver.run())
    await asyncio.sleep(max(0.0, begin + settings["seconds"] - monotonic()))
    await asyncio.wait((playing,), timeout=5.0)
    driver.stop()
    await playing
    front.stopped = True
    for task in watches:
        task.cancel()
    record = driver.record
    taken_in = [round(front.first[n] - begin, 3) if n in front.first else None for n in range(len(watches))]
    result: dict[str, Any] = {
        "taken_in_s": taken_in,
        "book": record.attempt_log,
        "twice": record.counts["answered twice"],
        "lost": [[identity, *row] for identity, row in driver.at.items()],
        "ends": dict(record.outcomes),
        "latency_ms": histogram_summary(record.complete(record.latency)),
        "late_ms": histogram_summary(record.lateness),
        "goodput": record.goodput(),
        "seconds": record.seconds(),
        "steps": record.latency_steps,
        "unserved": driver.timed.unserved,
    }
    print(json.dumps(result), flush=True)


def main() -> int:
    """Run until the plan is played; the exit status."""
    uvloop.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
