"""A list service for one balancer under measurement, in a process of its own: it says when it wrote what.

The whole list is encoded before it is asked for, so that its encoding is no part of a balancer's time.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from multiprocessing.connection import Connection
from time import monotonic
from typing import Any, NamedTuple, cast

import uvloop

from bench.slopes_process import receive, spawned

HEARTBEAT_S = 2.0
HEARTBEAT = b"1\r\n\n\r\n"
SERVICES, REGIONS, ZONES, BLOCK = 2_700, 6, 15, 4
BORN_MS = 1_700_000_000_000  # long ago: warm
Row = dict[str, Any]


class WrittenChange(NamedTuple):
    """A change: when it was written (monotonic clock), its bytes on the wire, the rows' names and state."""

    at: float
    size: int
    names: tuple[str, ...]
    state: str


def rows(count: int, addresses: Sequence[str] = ()) -> list[Row]:
    """So many upstreams in discovery's form; dials: the addresses they share, if they have to exist."""
    made = []
    for n in range(count):
        block, service = n // BLOCK, n % SERVICES
        dial = addresses[n % len(addresses)] if addresses else f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080"
        made.append(
            {
                "host": f"svc{service:04}-{n:06}",
                "dial": dial,
                "site": f"r{block % REGIONS}-z{block % ZONES:02}",
                "class": "std",
                "block": block,
                "health": "ready",
                "share": 1.0,
                "born_ms": BORN_MS + n,
            }
        )
    return made


def encoded(version: int, complete: bool, hosts: Sequence[Row]) -> bytes:
    """A line of discovery, as the list service writes it."""
    return json.dumps({"seq": version, "whole": complete, "hosts": hosts}).encode() + b"\n"


def chunk(line: bytes) -> bytes:
    """A line as a watch carries it."""
    return b"%x\r\n%b\r\n" % (len(line), line)


class ListSource:
    """The list, its watchers, and the orders of who measures."""

    def __init__(self, hosts: list[Row], pipe: Connection) -> None:
        self.hosts, self.pipe, self.version, self.next = hosts, pipe, 1, 0
        self.complete = encoded(1, True, hosts)
        self.watchers: set[asyncio.Transport] = set()
        self.call_bytes: list[int] = []  # of each call, its request and the head of the answer
        self.random = random.Random(1)

    async def run(self) -> None:
        """Serve until the pipe ends."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: BalancerConnection(self), "127.0.0.1", 0)
        ended = loop.create_future()
        loop.add_reader(self.pipe.fileno(), self._order, ended)
        loop.call_later(HEARTBEAT_S, self._heartbeat)
        self.pipe.send((server.sockets[0].getsockname()[1], len(self.complete)))
        await ended

    def _heartbeat(self) -> None:
        for watcher in self.watchers:
            watcher.write(HEARTBEAT)
        asyncio.get_running_loop().call_later(HEARTBEAT_S, self._heartbeat)

    def _order(self, ended: asyncio.Future[None]) -> None:
        try:
            what, value = self.pipe.recv()
        except (EOFError, OSError):
            asyncio.get_running_loop().remove_reader(self.pipe.fileno())
            return ended.set_result(None)
        if what == "change":
            self.pipe.send(self.change(value))
        elif what == "rate":
            self._change_at_rate(value)
        else:
            self.pipe.send(self.call_bytes)

    def change(self, count: int) -> WrittenChange:
        """The next rows drain, or come back if they do."""
        picked = [self.hosts[(self.next + n) % len(self.hosts)] for n in range(count)]
        self.next = (self.next + count) % len(self.hosts) if picked[0]["health"] != "ready" else self.next
        state = "draining" if picked[0]["health"] == "ready" else "ready"
        for row in picked:
            row["health"] = state
        self.version += 1
        data = chunk(encoded(self.version, False, picked))
        at = monotonic()
        for watcher in self.watchers:
            watcher.write(data)
        return WrittenChange(at, len(data), tuple(row["host"] for row in picked), state)

    def _change_at_rate(self, per_s: float) -> None:
        """Single changes at this rate from now on, evenly spaced."""
        self.change(1)
        asyncio.get_running_loop().call_later(1.0 / per_s, self._change_at_rate, per_s)


class BalancerConnection(asyncio.Protocol):
    """One connection of a balancer."""

    transport: asyncio.Transport

    def __init__(self, source: ListSource) -> None:
        self.source, self.data = source, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        self.source.watchers.discard(self.transport)

    def data_received(self, data: bytes) -> None:
        self.data += data
        if b"\r\n\r\n" not in self.data:
            return
        request, self.data = self.data, b""
        source = self.source
        if b"stream=1" in request.split(b"\r\n", 1)[0]:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            index = int(request.split(b"index=")[1].split()[0])
            since = encoded(source.version, False, []) if index else source.complete
            self.transport.write(head + chunk(since))
            source.watchers.add(self.transport)
        else:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(source.complete)
            self.transport.write(head)
            self.transport.write(source.complete)
        source.call_bytes.append(len(request) + len(head))


def _serve(pipe: Connection, count: int, addresses: Sequence[str]) -> None:
    uvloop.run(ListSource(rows(count, addresses), pipe).run())


@contextmanager
def source(count: int, addresses: Sequence[str] = ()) -> Iterator[tuple[int, int, Connection]]:
    """A source of so many rows: its port, the whole list's bytes, and the pipe for orders."""
    with spawned(_serve, count, addresses) as pipe:
        port, size = receive(pipe)
        yield port, size, pipe
