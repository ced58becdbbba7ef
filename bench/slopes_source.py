"""A list service for one balancer under measurement, in a process of its own: it reports when it wrote what.

The complete list is encoded before it is requested, so that its encoding is no part of a balancer's time.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from multiprocessing.connection import Connection
from time import monotonic
from typing import Any, NamedTuple, cast

import uvloop

from bench.slopes_process import receive, spawned

HEARTBEAT_S = 2.0
HEARTBEAT = b"1\r\n\n\r\n"
SERVICES, REGIONS, ZONES, BLOCK = 2_700, 6, 15, 4
BORN_MS = 1_700_000_000_000  # so long ago that no upstream is in its slow start
Row = dict[str, Any]


@dataclass(frozen=True)
class ChangeRows:
    """An order to the source: change this many rows now; it replies with a WrittenChange."""

    count: int


@dataclass(frozen=True)
class ChangeAtRate:
    """An order to the source: change single rows from now on, evenly spaced; there is no reply."""

    per_s: float


@dataclass(frozen=True)
class ReportCalls:
    """An order to the source: reply with the bytes of each call so far, its request and the answer's head."""


class WrittenChange(NamedTuple):
    """A change: when it was written (monotonic clock), its bytes on the wire, the rows' names and state."""

    at: float
    size: int
    names: tuple[str, ...]
    state: str


def rows(count: int, addresses: Sequence[str] = ()) -> list[Row]:
    """This many upstreams in discovery's form; addresses: those they share, if they have to exist."""
    made = []
    for n in range(count):
        block, service = n // BLOCK, n % SERVICES
        unique = f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080"
        made.append(
            {
                "host": f"svc{service:04}-{n:06}",
                "dial": addresses[n % len(addresses)] if addresses else unique,
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
    """A line as a chunk of a watch's answer."""
    return b"%x\r\n%b\r\n" % (len(line), line)


class ListSource:
    """The list, its watchers, and the orders of the measuring process."""

    def __init__(self, hosts: list[Row], pipe: Connection) -> None:
        self.hosts, self.pipe = hosts, pipe
        self.version, self.next_row = 1, 0
        self.complete = encoded(1, True, hosts)
        self.watchers: set[asyncio.Transport] = set()
        self.call_bytes: list[int] = []  # of each call, its request and the head of the answer

    async def run(self) -> None:
        """Serve until the pipe ends; sends the port and the complete list's bytes first."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: BalancerConnection(self), "127.0.0.1", 0)
        ended = loop.create_future()
        loop.add_reader(self.pipe.fileno(), self._read_order, ended)
        loop.call_later(HEARTBEAT_S, self._heartbeat)
        self.pipe.send((server.sockets[0].getsockname()[1], len(self.complete)))
        await ended

    def _heartbeat(self) -> None:
        for watcher in self.watchers:
            watcher.write(HEARTBEAT)
        asyncio.get_running_loop().call_later(HEARTBEAT_S, self._heartbeat)

    def _read_order(self, ended: asyncio.Future[None]) -> None:
        try:
            order = self.pipe.recv()
        except (EOFError, OSError):
            asyncio.get_running_loop().remove_reader(self.pipe.fileno())
            ended.set_result(None)
            return
        match order:
            case ChangeRows(count):
                self.pipe.send(self.change(count))
            case ChangeAtRate(per_s):
                self._change_at_rate(per_s)
            case ReportCalls():
                self.pipe.send(self.call_bytes)

    def change(self, count: int) -> WrittenChange:
        """Set the next rows to draining, or back to ready if they are draining, and write them."""
        picked = [self.hosts[(self.next_row + n) % len(self.hosts)] for n in range(count)]
        was_ready = picked[0]["health"] == "ready"
        if not was_ready:
            self.next_row = (self.next_row + count) % len(self.hosts)
        state = "draining" if was_ready else "ready"
        for row in picked:
            row["health"] = state
        self.version += 1
        data = chunk(encoded(self.version, False, picked))
        at = monotonic()
        for watcher in self.watchers:
            watcher.write(data)
        return WrittenChange(at, len(data), tuple(row["host"] for row in picked), state)

    def _change_at_rate(self, per_s: float) -> None:
        self.change(1)
        asyncio.get_running_loop().call_later(1.0 / per_s, self._change_at_rate, per_s)


class BalancerConnection(asyncio.Protocol):
    """One connection of a balancer: a call for the complete list, or a watch."""

    transport: asyncio.Transport

    def __init__(self, source: ListSource) -> None:
        self.source, self.data = source, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The balancer has connected."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """The balancer has closed the connection; a watch on it ends."""
        self.source.watchers.discard(self.transport)

    def data_received(self, data: bytes) -> None:
        """Part of a request; it is answered once its head is complete."""
        self.data += data
        if b"\r\n\r\n" not in self.data:
            return
        request, self.data = self.data, b""
        watch = b"stream=1" in request.split(b"\r\n", 1)[0]
        head = self._begin_watch(request) if watch else self._send_list()
        self.source.call_bytes.append(len(request) + len(head))

    def _begin_watch(self, request: bytes) -> bytes:
        """Answer a watch with the list, or with no rows from an index on; returns the answer's head."""
        source = self.source
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        index = int(request.split(b"index=")[1].split()[0])
        first_line = encoded(source.version, False, []) if index else source.complete
        self.transport.write(head + chunk(first_line))
        source.watchers.add(self.transport)
        return head

    def _send_list(self) -> bytes:
        """Answer a call with the complete list; returns the answer's head."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.source.complete)
        self.transport.write(head)
        self.transport.write(self.source.complete)
        return head


def _serve(pipe: Connection, count: int, addresses: Sequence[str]) -> None:
    uvloop.run(ListSource(rows(count, addresses), pipe).run())


@contextmanager
def source(count: int, addresses: Sequence[str] = ()) -> Iterator[tuple[int, int, Connection]]:
    """A source of this many rows: its port, the complete list's bytes, and the pipe for orders."""
    with spawned(_serve, count, addresses) as pipe:
        port, size = receive(pipe)
        yield port, size, pipe
