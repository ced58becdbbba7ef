"""Stand-in nodos: HTTP/1.1 servers by the platform's protocol, that keep books of what ran.

A nodo works at `capacity` requests a second when warm, on so many cores with one queue before them. A fresh
one starts at a part of that and warms up; a request that finds the queue full, a nodo draining, or too many
connections, is turned away with 503 and X-Unprocessed: 1. Waiting work whose client has left is dropped,
running work is not. What a nodo takes counts as run, whether or not its answer arrives. A repeat of a keyed
request is dropped by the nodos of one block for a while: answered at once, with no second effect. A new
connection costs a core some work, and the first request on it as much time; an idle one is closed. A request
with X-Answer-Bytes is answered at such a length.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import random
import socket
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic, time
from typing import Any, NamedTuple, cast

import httptools

MODES = ("ok", "silent", "swallow", "slow", "error", "full", "garble")


@dataclass
class Execution:
    """One request that a nodo began: when, which, and on which of its lives."""

    at: float
    identity: str
    service_class: str
    key: str
    block: int
    life: int
    dropped: bool = False  # a repeat that its block knew: no effect


@dataclass
class ExecutionJournal:
    """What a fleet's nodos saw, on one clock."""

    window_s: float = 2.0  # for how long a block drops repeats of a key
    runs: list[Execution] = field(default_factory=list)
    effects: dict[tuple[int, str], float] = field(default_factory=dict)  # by block and key: when
    turned_away: int = 0
    births: list[tuple[str, int, float]] = field(default_factory=list)  # nodo, life, when: cold ones
    arrivals: dict[str, list[tuple[float, int]]] = field(default_factory=dict)  # by nodo: when, which life
    overlapping: int = 0  # attempts of one request at once
    open: dict[str, list[Connection]] = field(default_factory=dict)  # by id: where its client still waits

    def repeat(self, run: Execution) -> bool:
        """Whether its block drops this keyed run, as a repeat; else it has its effect now."""
        first = self.effects.get((run.block, run.key))
        if first is not None and run.at - first <= self.window_s:
            return True
        self.effects[run.block, run.key] = run.at
        return False

    def duplicate_executions(self, service_class: str) -> list[str]:
        """Ids of a class that began more than once."""
        counts = Counter(run.identity for run in self.runs if run.service_class == service_class)
        return [identity for identity, count in counts.items() if count > 1]

    def duplicate_effects(self, service_class: str, window_s: float) -> list[str]:
        """Keys of a keyed class that took effect twice: the nodos of one block drop repeats for a while."""
        effects: dict[str, list[Execution]] = {}
        for run in self.runs:
            if run.service_class == service_class:
                done = effects.setdefault(run.key, [])
                if not any(e.block == run.block and run.at - e.at <= window_s for e in done):
                    done.append(run)
        return [key for key, done in effects.items() if len(done) > 1]


class StandInUpstream:
    """One nodo at one address; restart() gives it a new, cold life at the same address."""

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
        self.cores, self.most_connections = cores, most_connections  # 0: no bound
        self.connect_s, self.idle_s = connect_s, idle_s  # 0: costs nothing; never closed
        self.rng = rng or random.Random(name)
        self.mode = "ok"
        self.slowness = 1.0
        self.health = "ready"
        self.life = 0
        self.started_at: float | None = None  # None: long ago
        self.started_at_ms = 0
        self.backlog: deque[Work] = deque()
        self.free = [0.0] * cores  # when each core is free, a heap
        self.feeding: asyncio.TimerHandle | None = None
        self.server: asyncio.Server | None = None
        self.port = 0
        self.connections: set[Connection] = set()
        self.gate: asyncio.Event | None = None  # answers wait for it, if there is one

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Connection(self), "127.0.0.1", self.port, backlog=1024, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Die: connections are reset, and new ones refused."""
        server, self.server = self.server, None
        if server is not None:
            server.close()
        self.backlog.clear()
        if self.feeding is not None:
            self.feeding.cancel()
            self.feeding = None
        for connection in list(self.connections):
            connection.transport.abort()

    async def restart(self) -> None:
        """A cold successor at the same address."""
        await self.stop()
        self.life += 1
        self.started_at, self.started_at_ms = monotonic(), int(time() * 1000)
        self.journal.births.append((self.name, self.life, self.started_at))
        self.mode, self.slowness, self.health = "ok", 1.0, "ready"
        self.free = [self.started_at] * self.cores
        await self.start()

    def able(self, now: float) -> float:
        """Requests a second at this moment."""
        if self.started_at is None or self.warm_s <= 0:
            warm = 1.0
        else:
            warm = min(1.0, self.start_share + (1 - self.start_share) * (now - self.started_at) / self.warm_s)
        return self.capacity * warm / self.slowness

    def waiting(self) -> int:
        """Requests that no core has begun."""
        return len(self.backlog)

    def busy(self, now: float) -> int:
        return sum(at > now for at in self.free)

    def entry(self, **changes: Any) -> dict[str, Any]:
        """This nodo as discovery tells of it."""
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

    def take(self, connection: Connection, fields: dict[str, str]) -> None:
        """A whole request has come."""
        now = monotonic()
        self.journal.arrivals.setdefault(self.name, []).append((now, self.life))
        identity = fields.get("x-correlation-id", "")
        if not identity:
            return connection.answer(404, b"", False)
        if self.mode == "silent":
            return None
        crowded = self.most_connections and len(self.connections) > self.most_connections
        if self.mode == "full" or self.health == "draining" or self.waiting() >= self.queue or crowded:
            self.journal.turned_away += 1
            return connection.answer(503, b"", True)
        name, key = fields.get("x-service-class", ""), fields.get("idempotency-key", "")
        run = Execution(now, identity, name, key, self.block, self.life)
        run.dropped = bool(key) and self.journal.repeat(run)
        self.journal.runs.append(run)
        earlier = self.journal.open.setdefault(identity, [])
        self.journal.overlapping += any(one.still_open() for one in earlier)
        earlier.append(connection)
        connection.running = identity
        length = fields.get("x-answer-bytes", "")
        connection.pad = int(length) if length.isdecimal() else 0
        if self.mode == "swallow":
            return None
        work = Work(now, identity, connection, self.mode)
        if run.dropped:
            return self._answer_at(now, now, work)
        self.backlog.append(work)
        if self.feeding is None:
            self._feed()

    def left(self, connection: Connection) -> None:
        """A client has gone: what of it waits is dropped."""
        for work in self.backlog:
            if work.connection is connection:
                self.backlog.remove(work)
                return

    def spend(self, now: float, seconds: float) -> None:
        """Work that is no request."""
        heapq.heapreplace(self.free, max(now, self.free[0]) + seconds)

    def _feed(self) -> None:
        """Cores take what waits. Starts are reckoned, not read off the clock: late timers must not add up."""
        self.feeding = None
        now = monotonic()
        while self.backlog and self.free[0] <= now:
            work = self.backlog.popleft()
            done = max(self.free[0], work.at) + self.cores / self.able(now)
            heapq.heapreplace(self.free, done)
            self._answer_at(done, now, work)
        if self.backlog:
            self.feeding = asyncio.get_running_loop().call_later(self.free[0] - now, self._feed)

    def _answer_at(self, done: float, now: float, work: Work) -> None:
        connection = work.connection
        first, connection.first = self.connect_s if connection.first else 0.0, False
        done += first + self.latency_s * self.slowness * self.rng.uniform(0.8, 1.2)
        asyncio.get_running_loop().call_later(
            max(0.0, done - now), connection.finish, work.identity, work.mode
        )


class Work(NamedTuple):
    """A request that waits for a core."""

    at: float
    identity: str
    connection: Connection
    mode: str


class Connection(asyncio.Protocol):
    """One client of a nodo."""

    transport: asyncio.Transport

    def __init__(self, upstream: StandInUpstream) -> None:
        self.upstream = upstream
        self.parser: Any = None
        self.pad = 0  # bytes beyond the id in its answer
        self.running = ""  # a request that this connection's client still waits for
        self.closed = False
        self.first = True  # no request has been answered on it
        self.idling: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.upstream.connections.add(self)
        if self.upstream.connect_s:
            self.upstream.spend(monotonic(), self.upstream.connect_s)
        self._idle()

    def _idle(self) -> None:
        if self.upstream.idle_s:
            self.idling = asyncio.get_running_loop().call_later(self.upstream.idle_s, self.transport.close)

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self.upstream.connections.discard(self)
        self.upstream.left(self)
        if self.idling is not None:
            self.idling.cancel()
        self._ended()

    def _ended(self) -> None:
        identity, self.running = self.running, ""
        if identity:
            there = self.upstream.journal.open[identity]
            there.remove(self)
            if not there:
                del self.upstream.journal.open[identity]

    def still_open(self) -> bool:
        """Its client holds it open: no end of it waits to be read behind what the loop looked at first."""
        if self.closed or self.transport.is_closing():
            return False
        try:
            with socket.fromfd(
                self.transport.get_extra_info("socket").fileno(), socket.AF_INET, socket.SOCK_STREAM
            ) as same:
                return same.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False

    def data_received(self, data: bytes) -> None:
        if self.idling is not None:
            self.idling.cancel()
            self.idling = None
        if self.parser is None:
            self.fields: dict[str, str] = {}
            self.parser = httptools.HttpRequestParser(self)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        self.parser = None
        self.upstream.take(self, self.fields)

    def finish(self, identity: str, mode: str) -> None:
        gate = self.upstream.gate
        if gate is not None and not gate.is_set():
            task = asyncio.ensure_future(gate.wait())
            task.add_done_callback(lambda _: self.finish(identity, mode))
            return
        if self.closed or self.running != identity:
            return
        self._ended()
        if mode == "garble":
            self.transport.write(b"garbage\r\n\r\n")
            return self.transport.close()
        self.answer(500 if mode == "error" else 200, identity.encode().ljust(self.pad, b"."), False)

    def answer(self, status: int, body: bytes, unprocessed: bool) -> None:
        if self.closed:
            return
        upstream = self.upstream
        load = {"queue": upstream.waiting(), "util": round(upstream.busy(monotonic()) / upstream.cores, 2)}
        head = f"HTTP/1.1 {status} X\r\nX-Backend-Load: {json.dumps(load)}\r\n"
        head += "X-Unprocessed: 1\r\n" if unprocessed else ""
        self.transport.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        self._idle()


class Registry:
    """The padrón: tells each watcher of every change, with the moment at which each was told."""

    def __init__(self, upstreams: list[StandInUpstream], journal: ExecutionJournal | None = None) -> None:
        self.upstreams, self.journal = upstreams, journal or ExecutionJournal()
        self.version = 1
        self.server: asyncio.Server | None = None
        self.port = 0
        self.watchers: set[asyncio.Transport] = set()
        self.told: dict[str, float] = {}  # nodo: when it was last told that it drains or is gone
        self.drains: list[list[Any]] = []  # nodo, address, told from, until (None: still)
        self.events: list[tuple[float, str, str]] = []  # when, what, nodo: of whoever runs the fleet
        self.delay_s = 0.0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Watcher(self), "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        loop.call_later(2.0, self._beat)

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for transport in list(self.watchers):
            transport.abort()

    def _beat(self) -> None:
        """While nothing changes, an empty line every 2 s."""
        if self.server is not None and self.server.is_serving():
            self.broadcast(b"\n")
            asyncio.get_running_loop().call_later(2.0, self._beat)

    def complete(self) -> dict[str, Any]:
        return {"seq": self.version, "whole": True, "hosts": [n.entry() for n in self.upstreams]}

    def notify(self, upstream: StandInUpstream, **changes: Any) -> None:
        """A change, told to all watchers now."""
        self.version += 1
        entry = upstream.entry(**changes)
        line = {"seq": self.version, "whole": False, "hosts": [entry]}
        self.broadcast(json.dumps(line).encode() + b"\n")
        now, open_ones = monotonic(), [d for d in self.drains if d[0] == upstream.name and d[3] is None]
        if entry["health"] == "ready":
            self.told.pop(upstream.name, None)
            for drain in open_ones:
                drain[3] = now
        else:
            self.told[upstream.name] = now
            if not open_ones:
                self.drains.append([upstream.name, entry["dial"], now, None])

    def account(self) -> dict[str, Any]:
        """All that the fleet saw, as quartzford/load/reconciliation.py reads it; GET /books gives it too."""
        journal = self.journal
        return {
            "version": 1,
            "runs": [[r.at, r.identity, r.service_class, r.key, r.block, r.dropped] for r in journal.runs],
            "arrivals": journal.arrivals,
            "drains": self.drains,
            "births": [
                [name, life, started_at, upstream.capacity, upstream.start_share, upstream.warm_s]
                for name, life, started_at in journal.births
                for upstream in self.upstreams
                if upstream.name == name
            ],
            "turned_away": journal.turned_away,
            "overlapping": journal.overlapping,
            "window_s": journal.window_s,
            "events": self.events,
        }

    def broadcast(self, line: bytes) -> None:
        for transport in list(self.watchers):
            transport.write(b"%x\r\n%b\r\n" % (len(line), line))


class Watcher(asyncio.Protocol):
    """One call of discovery's."""

    transport: asyncio.Transport

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        self.registry.watchers.discard(self.transport)

    def data_received(self, data: bytes) -> None:
        self.data += data
        if b"\r\n\r\n" not in self.data:
            return
        line, self.data = self.data.split(b"\r\n", 1)[0], b""
        if b" /books " in line:
            book = json.dumps(self.registry.account()).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(book) + book)
            return
        complete = json.dumps(self.registry.complete()).encode()
        if b"stream=1" not in line:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(complete) + complete)
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.registry.watchers.add(self.transport)
        self.transport.write(b"%x\r\n%b\n\r\n" % (len(complete) + 1, complete))


async def start_upstreams(
    count: int, make: Callable[[int, ExecutionJournal], StandInUpstream]
) -> tuple[list[StandInUpstream], ExecutionJournal, Registry]:
    """So many nodos, started, with their books and their padrón."""
    journal = ExecutionJournal()
    upstreams = [make(number, journal) for number in range(count)]
    for upstream in upstreams:
        await upstream.start()
    registry = Registry(upstreams, journal)
    await registry.start()
    return upstreams, journal, registry
