"""Stand-in upstreams: HTTP/1.1 servers of the platform's protocol, with a journal of executed requests.

A warm upstream executes `capacity` requests a second, on a number of cores that share one queue. A
restarted upstream starts at a fraction of that capacity and warms up. If the queue is full, the upstream is
draining, or it has too many connections, a request is answered 503 with X-Unprocessed: 1. A waiting request
is dropped when its client disconnects; a running request is not. An accepted request counts as executed,
whether or not its response arrives. The upstreams of one block drop repeats of an idempotency key within
the journal's window_s: a repeat is answered at once, without a second effect. A new connection occupies a
core for connect_s and delays its first response by as much; idle connections are closed. A request with
X-Answer-Bytes gets a response body of that length.
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
LATENCY_SPREAD = (0.8, 1.2)  # random factor of the upstream's latency, drawn for each response


class Work(NamedTuple):
    """A request that waits for a core. `at` is in seconds on the monotonic clock."""

    at: float
    identity: str
    connection: Connection
    mode: str


class StandInUpstream:
    """One upstream at one address; restart() starts a new, cold incarnation at the same address.

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
        self.cores, self.most_connections = cores, most_connections  # most_connections 0: no limit
        self.connect_s, self.idle_s = connect_s, idle_s  # connect_s 0: no cost; idle_s 0: no idle time-out
        self.rng = rng or random.Random(name)
        self.mode: str = Mode.OK
        self.slowness = 1.0
        self.health = "ready"
        self.incarnation = 0
        self.started_at: float | None = None  # last restart; None: not restarted, so the upstream is warm
        self.started_at_ms = 0
        self.backlog: deque[Work] = deque()
        self.cores_free_at = [0.0] * cores  # a heap: when each core is free, monotonic seconds
        self.next_start: asyncio.TimerHandle | None = None
        self.server: asyncio.Server | None = None
        self.port = 0
        self.connections: set[Connection] = set()
        self.gate: asyncio.Event | None = None  # if set, responses wait until the event is set

    async def start(self) -> None:
        """Listen on the loopback interface; a restart uses the same port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Connection(self), "127.0.0.1", self.port, backlog=BACKLOG, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop like a crash: reset open connections and refuse new ones."""
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
        """Return the requests a second that the upstream can execute at the time `now`."""
        if self.started_at is None or self.warm_s <= 0:
            warm = 1.0
        else:
            warm = min(1.0, self.start_share + (1 - self.start_share) * (now - self.started_at) / self.warm_s)
        return self.capacity * warm / self.slowness

    def waiting(self) -> int:
        """Return the number of requests that wait for a core."""
        return len(self.backlog)

    def busy(self, now: float) -> int:
        """Return the number of cores that are busy at the time `now`."""
        return sum(at > now for at in self.cores_free_at)

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the upstream's row in the endpoint list, with these fields changed."""
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
        over_connection_limit = 0 < self.most_connections < len(self.connections)
        queue_full = self.mode == Mode.FULL or self.waiting() >= self.queue
        return queue_full or over_connection_limit or self.health == "draining"

    def _execute(self, now: float, identity: str, connection: Connection, fields: dict[str, str]) -> None:
        """Record a request as executed, and queue it; a dropped repeat is answered without a core."""
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
        """Drop the waiting request of a connection whose client has disconnected."""
        for work in self.backlog:
            if work.connection is connection:
                self.backlog.remove(work)
                return

    def spend(self, now: float, seconds: float) -> None:
        """Occupy a core with work other than a request, such as a handshake."""
        heapq.heapreplace(self.cores_free_at, max(now, self.cores_free_at[0]) + seconds)

    def _start_waiting(self) -> None:
        """Start waiting requests on free cores.

        A request's start time is computed, not read from the clock, so that timer delays don't accumulate.
        """
        self.next_start = None
        now = monotonic()
        while self.backlog and self.cores_free_at[0] <= now:
            work = self.backlog.popleft()
            done_at = max(self.cores_free_at[0], work.at) + self.cores / self.capacity_at(now)
            heapq.heapreplace(self.cores_free_at, done_at)
            self._respond_at(done_at, now, work)
        if self.backlog:
            wait_s = self.cores_free_at[0] - now
            self.next_start = asyncio.get_running_loop().call_later(wait_s, self._start_waiting)

    def _respond_at(self, done_at: float, now: float, work: Work) -> None:
        """Schedule the response to a request that a core completes at the time `done_at`."""
        connection = work.connection
        connect_s, connection.unused = self.connect_s if connection.unused else 0.0, False
        done_at += connect_s + self.latency_s * self.slowness * self.rng.uniform(*LATENCY_SPREAD)
        asyncio.get_running_loop().call_later(
            max(0.0, done_at - now), connection.finish, work.identity, work.mode
        )


async def start_upstreams(
    count: int, make: Callable[[int, ExecutionJournal], StandInUpstream]
) -> tuple[list[StandInUpstream], ExecutionJournal, Registry]:
    """Start `count` upstreams, made by `make`, that share a new journal and a new registry."""
    journal = ExecutionJournal()
    upstreams = [make(number, journal) for number in range(count)]
    for upstream in upstreams:
        await upstream.start()
    registry = Registry(upstreams, journal)
    await registry.start()
    return upstreams, journal, registry
