"""Stand-in upstreams: HTTP/1.1 servers by the platform's protocol, with a journal of what they executed.

An upstream executes `capacity` requests a second when warm, on a number of cores with one queue before
them. A fresh one starts at a fraction of that and warms up. A request that finds the queue full, the
upstream draining, or too many connections, is answered 503 with X-Unprocessed: 1. Waiting work whose client
has left is dropped, running work is not. What an upstream accepts counts as executed, whether or not its
response arrives. A repeat of a keyed request is dropped by the upstreams of one block for a while: answered
at once, without a second effect. A new connection costs a core some work, and the first request on it as
much time; an idle one is closed. A request with X-Answer-Bytes gets a response body of that length.
"""

from __future__ import annotations

import asyncio
import heapq
import random
from collections import deque
from collections.abc import Callable
from time import monotonic, time
from typing import Any, NamedTuple

from standins.execution_journal import Arrival, Execution, ExecutionJournal, Restart
from standins.registry import Registry
from standins.upstream_connection import Connection, Mode

__all__ = [
    "Connection",
    "Execution",
    "ExecutionJournal",
    "Mode",
    "Registry",
    "StandInUpstream",
    "start_upstreams",
]

BACKLOG = 1024  # connections that wait to be accepted
LATENCY_SPREAD = (0.8, 1.2)  # of an upstream's latency, drawn for each response


class Work(NamedTuple):
    """A request that waits for a core. `at` is in seconds on the monotonic clock."""

    at: float
    identity: str
    connection: Connection
    mode: str


class StandInUpstream:
    """One upstream at one address; restart() gives it a new, cold incarnation there.

    capacity is in requests a second, all times are in seconds.
    """

    def __init__(
        self,
        name: str,
        journal: ExecutionJournal,
        *,
        site: str = "north",
        block: int = 0,
        capacity: float = 1000.0,
        latency_s: float = 0.005,
        queue: int = 200,
        start_share: float = 0.13,
        warm_s: float = 0.0,
        cores: int = 1,
        most_connections: int = 0,
        connect_s: float = 0.0,
        idle_s: float = 0.0,
        rng: random.Random | None = None,
    ) -> None:
        self.name, self.journal, self.site, self.block = name, journal, site, block
        self.capacity, self.latency_s, self.queue = capacity, latency_s, queue
        self.start_share, self.warm_s = start_share, warm_s
        self.cores, self.most_connections = cores, most_connections  # 0 connections: no limit
        self.connect_s, self.idle_s = connect_s, idle_s  # 0: costs nothing; never closed
        self.rng = rng or random.Random(name)
        self.mode: str = Mode.OK
        self.slowness = 1.0
        self.health = "ready"
        self.incarnation = 0
        self.started_at: float | None = None  # None: long ago
        self.started_at_ms = 0
        self.backlog: deque[Work] = deque()
        self.cores_free_at = [0.0] * cores  # a heap
        self.next_start: asyncio.TimerHandle | None = None
        self.server: asyncio.Server | None = None
        self.port = 0
        self.connections: set[Connection] = set()
        self.gate: asyncio.Event | None = None  # responses wait for it, if there is one

    async def start(self) -> None:
        """Listen on the loopback interface, at the same port as before if there was one."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Connection(self), "127.0.0.1", self.port, backlog=BACKLOG, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Crash: connections are reset, and new ones refused."""
        server, self.server = self.server, None
        if server is not None:
            server.close()
        self.backlog.clear()
        if self.next_start is not None:
            self.next_start.cancel()
            self.next_start = None
        for connection in list(self.connections):
            connection.transport.abort()

    async def restart(self) -> None:
        """Stop, and start a cold successor at the same address."""
        await self.stop()
        self.incarnation += 1
        self.started_at, self.started_at_ms = monotonic(), int(time() * 1000)
        self.journal.restarts.append(Restart(self.name, self.incarnation, self.started_at))
        self.mode, self.slowness, self.health = Mode.OK, 1.0, "ready"
        self.cores_free_at = [self.started_at] * self.cores
        await self.start()

    def capacity_at(self, now: float) -> float:
        """Requests a second that it can execute at this moment."""
        if self.started_at is None or self.warm_s <= 0:
            warm = 1.0
        else:
            warm = min(1.0, self.start_share + (1 - self.start_share) * (now - self.started_at) / self.warm_s)
        return self.capacity * warm / self.slowness

    def waiting(self) -> int:
        """Requests that no core has begun."""
        return len(self.backlog)

    def busy(self, now: float) -> int:
        """Cores that are at work at this moment."""
        return sum(at > now for at in self.cores_free_at)

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Its row in the list of discovery, with these fields changed."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": self.site,
            "class": "std",
            "block": self.block,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.started_at_ms,
        } | changes

    def accept(self, connection: Connection, fields: dict[str, str]) -> None:
        """Reject or execute a complete request, given its headers."""
        now = monotonic()
        self.journal.record_arrival(self.name, Arrival(now, self.incarnation))
        identity = fields.get("x-correlation-id", "")
        if not identity:
            connection.respond(404)
        elif self.mode == Mode.SILENT:
            return
        elif self._rejects():
            self.journal.rejected += 1
            connection.respond(503, unprocessed=True)
        else:
            self._execute(now, identity, connection, fields)

    def _rejects(self) -> bool:
        crowded = 0 < self.most_connections < len(self.connections)
        busy = self.mode == Mode.FULL or self.waiting() >= self.queue
        return busy or crowded or self.health == "draining"

    def _execute(self, now: float, identity: str, connection: Connection, fields: dict[str, str]) -> None:
        """Record a request as executed, and queue its work; a dropped repeat takes no core."""
        service_class, key = fields.get("x-service-class", ""), fields.get("idempotency-key", "")
        run = Execution(now, identity, service_class, key, self.block, self.incarnation)
        self.journal.record_execution(run, connection)
        connection.running = identity
        length = fields.get("x-answer-bytes", "")
        connection.response_length = int(length) if length.isdecimal() else 0
        if self.mode == Mode.SWALLOW:
            return
        work = Work(now, identity, connection, self.mode)
        if run.dropped:
            self._respond_at(now, now, work)
            return
        self.backlog.append(work)
        if self.next_start is None:
            self._start_waiting()

    def drop_waiting(self, connection: Connection) -> None:
        """Drop the request that waits on a connection whose client has left."""
        for work in self.backlog:
            if work.connection is connection:
                self.backlog.remove(work)
                return

    def spend(self, now: float, seconds: float) -> None:
        """Occupy a core with work that is no request."""
        heapq.heapreplace(self.cores_free_at, max(now, self.cores_free_at[0]) + seconds)

    def _start_waiting(self) -> None:
        """Start waiting requests on free cores.

        A request's start is computed, not read off the clock: lateness of timers must not add up.
        """
        self.next_start = None
        now = monotonic()
        while self.backlog and self.cores_free_at[0] <= now:
            work = self.backlog.popleft()
            done = max(self.cores_free_at[0], work.at) + self.cores / self.capacity_at(now)
            heapq.heapreplace(self.cores_free_at, done)
            self._respond_at(done, now, work)
        if self.backlog:
            wait = self.cores_free_at[0] - now
            self.next_start = asyncio.get_running_loop().call_later(wait, self._start_waiting)

    def _respond_at(self, done: float, now: float, work: Work) -> None:
        """Schedule the response to a request that a core is done with at this moment."""
        connection = work.connection
        connect_s, connection.first = self.connect_s if connection.first else 0.0, False
        done += connect_s + self.latency_s * self.slowness * self.rng.uniform(*LATENCY_SPREAD)
        asyncio.get_running_loop().call_later(
            max(0.0, done - now), connection.finish, work.identity, work.mode
        )


async def start_upstreams(
    count: int, make: Callable[[int, ExecutionJournal], StandInUpstream]
) -> tuple[list[StandInUpstream], ExecutionJournal, Registry]:
    """Start a number of upstreams with a journal and a registry of their own."""
    journal = ExecutionJournal()
    upstreams = [make(number, journal) for number in range(count)]
    for upstream in upstreams:
        await upstream.start()
    registry = Registry(upstreams, journal)
    await registry.start()
    return upstreams, journal, registry
