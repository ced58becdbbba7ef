"""Stand-in nodos: HTTP/1.1 servers by the platform's protocol, that keep books of what ran.

A nodo works at `capacity` requests a second when warm. A fresh one starts at a part of that and warms up; a
request that finds the queue full, or a nodo draining, is turned away with 503 and X-Unprocessed: 1. What a
nodo takes counts as run, whether or not its answer arrives.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic, time
from typing import Any, cast

import httptools

MODES = ("ok", "silent", "swallow", "slow", "error", "full", "garble")


@dataclass
class Run:
    """One request that a nodo began: when, which, and on which of its lives."""

    at: float
    identity: str
    service_class: str
    key: str
    block: int
    life: int


@dataclass
class Books:
    """What a fleet's nodos saw, on one clock."""

    runs: list[Run] = field(default_factory=list)
    turned_away: int = 0
    arrivals: dict[str, list[tuple[float, int]]] = field(default_factory=dict)  # by nodo: when, which life
    overlapping: int = 0  # attempts of one request at once
    open: dict[str, list[Connection]] = field(default_factory=dict)  # by id: where its client still waits

    def twice(self, service_class: str) -> list[str]:
        """Ids of a class that began more than once."""
        counts = Counter(run.identity for run in self.runs if run.service_class == service_class)
        return [identity for identity, count in counts.items() if count > 1]

    def effects_twice(self, service_class: str, window_s: float) -> list[str]:
        """Keys of a keyed class that took effect twice: the nodos of one block drop repeats for a while."""
        effects: dict[str, list[Run]] = {}
        for run in self.runs:
            if run.service_class == service_class:
                done = effects.setdefault(run.key, [])
                if not any(e.block == run.block and run.at - e.at <= window_s for e in done):
                    done.append(run)
        return [key for key, done in effects.items() if len(done) > 1]


class Nodo:
    """One nodo at one address; restart() gives it a new, cold life at the same address."""

    def __init__(
        self, name: str, books: Books, *, site: str = "north", block: int = 0, capacity: float = 1000.0,
        latency_s: float = 0.005, queue: int = 200, start_share: float = 0.13, warm_s: float = 0.0,
        rng: random.Random | None = None,
    ) -> None:  # fmt: skip
        self.name, self.books, self.site, self.block = name, books, site, block
        self.capacity, self.latency_s, self.queue = capacity, latency_s, queue
        self.start_share, self.warm_s = start_share, warm_s
        self.rng = rng or random.Random(name)
        self.mode = "ok"
        self.slowness = 1.0
        self.health = "ready"
        self.life = 0
        self.born: float | None = None  # None: long ago
        self.born_ms = 0
        self.busy_until = 0.0
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
        for connection in list(self.connections):
            connection.transport.abort()

    async def restart(self) -> None:
        """A cold successor at the same address."""
        await self.stop()
        self.life += 1
        self.born, self.born_ms = monotonic(), int(time() * 1000)
        self.mode, self.slowness, self.busy_until, self.health = "ok", 1.0, 0.0, "ready"
        await self.start()

    def able(self, now: float) -> float:
        """Requests a second at this moment."""
        if self.born is None or self.warm_s <= 0:
            warm = 1.0
        else:
            warm = min(1.0, self.start_share + (1 - self.start_share) * (now - self.born) / self.warm_s)
        return self.capacity * warm / self.slowness

    def waiting(self, now: float) -> int:
        return max(0, int((self.busy_until - now) * self.able(now)))

    def entry(self, **changes: Any) -> dict[str, Any]:
        """This nodo as discovery tells of it."""
        return {
            "host": self.name, "dial": f"127.0.0.1:{self.port}", "site": self.site, "class": "std",
            "block": self.block, "health": self.health, "share": 1.0, "born_ms": self.born_ms,
        } | changes  # fmt: skip

    def take(self, connection: Connection, fields: dict[str, str]) -> None:
        """A whole request has come."""
        now = monotonic()
        self.books.arrivals.setdefault(self.name, []).append((now, self.life))
        identity = fields.get("x-correlation-id", "")
        if not identity:
            return connection.answer(404, b"", False)
        if self.mode == "silent":
            return None
        if self.mode == "full" or self.health == "draining" or self.waiting(now) >= self.queue:
            self.books.turned_away += 1
            return connection.answer(503, b"", True)
        name, key = fields.get("x-service-class", ""), fields.get("idempotency-key", "")
        self.books.runs.append(Run(now, identity, name, key, self.block, self.life))
        earlier = self.books.open.setdefault(identity, [])
        self.books.overlapping += any(one.still_open() for one in earlier)
        earlier.append(connection)
        connection.running = identity
        self.busy_until = max(now, self.busy_until) + 1.0 / self.able(now)
        done = self.busy_until + self.latency_s * self.slowness * self.rng.uniform(0.8, 1.2)
        if self.mode == "swallow":
            return None
        asyncio.get_running_loop().call_later(done - now, connection.finish, identity, self.mode)


class Connection(asyncio.Protocol):
    """One client of a nodo."""

    transport: asyncio.Transport

    def __init__(self, nodo: Nodo) -> None:
        self.nodo = nodo
        self.parser: Any = None
        self.running = ""  # a request that this connection's client still waits for
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.nodo.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self.nodo.connections.discard(self)
        self._ended()

    def _ended(self) -> None:
        identity, self.running = self.running, ""
        if identity:
            there = self.nodo.books.open[identity]
            there.remove(self)
            if not there:
                del self.nodo.books.open[identity]

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
        self.nodo.take(self, self.fields)

    def finish(self, identity: str, mode: str) -> None:
        gate = self.nodo.gate
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
        self.answer(500 if mode == "error" else 200, identity.encode(), False)

    def answer(self, status: int, body: bytes, unprocessed: bool) -> None:
        if self.closed:
            return
        waiting = self.nodo.waiting(monotonic())
        head = f"HTTP/1.1 {status} X\r\nX-Backend-Load: {json.dumps({'queue': waiting, 'util': 0.5})}\r\n"
        head += "X-Unprocessed: 1\r\n" if unprocessed else ""
        self.transport.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)


class Registry:
    """The padrón: tells each watcher of every change, with the moment at which each was told."""

    def __init__(self, nodos: list[Nodo]) -> None:
        self.nodos = nodos
        self.version = 1
        self.server: asyncio.Server | None = None
        self.port = 0
        self.watchers: set[asyncio.Transport] = set()
        self.told: dict[str, float] = {}  # nodo: when it was last told that it drains or is gone
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
            self._write(b"\n")
            asyncio.get_running_loop().call_later(2.0, self._beat)

    def whole(self) -> dict[str, Any]:
        return {"seq": self.version, "whole": True, "hosts": [n.entry() for n in self.nodos]}

    def tell(self, nodo: Nodo, **changes: Any) -> None:
        """A change, told to all watchers now."""
        self.version += 1
        entry = nodo.entry(**changes)
        line = {"seq": self.version, "whole": False, "hosts": [entry]}
        self._write(json.dumps(line).encode() + b"\n")
        if entry["health"] == "ready":
            self.told.pop(nodo.name, None)
        else:
            self.told[nodo.name] = monotonic()

    def _write(self, line: bytes) -> None:
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
        whole = json.dumps(self.registry.whole()).encode()
        if b"stream=1" not in line:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(whole) + whole)
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.registry.watchers.add(self.transport)
        self.transport.write(b"%x\r\n%b\n\r\n" % (len(whole) + 1, whole))


async def fleet(count: int, make: Callable[[int, Books], Nodo]) -> tuple[list[Nodo], Books, Registry]:
    """So many nodos, started, with their books and their padrón."""
    books = Books()
    nodos = [make(number, books) for number in range(count)]
    for nodo in nodos:
        await nodo.start()
    registry = Registry(nodos)
    await registry.start()
    return nodos, books, registry
