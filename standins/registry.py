"""A stand-in discovery service: notifies each watcher of every change, and records the times.

It implements the platform's discovery protocol (GET /catalog/members; stream=1 opens a watch). GET /books
returns the fleet's account: the records of its upstreams and of the registry.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass
from time import monotonic
from typing import Any, NamedTuple, Protocol, cast

from standins.execution_journal import ExecutionJournal

HEARTBEAT_S = 2.0
ACCOUNT_VERSION = 1


class ListedUpstream(Protocol):
    """The part of an upstream that the registry uses."""

    name: str
    capacity: float
    start_share: float
    warm_s: float

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the upstream's row in the list, with these fields changed."""


@dataclass
class Drain:
    """A span in which an upstream is listed as draining or gone, in seconds on the monotonic clock."""

    upstream: str
    address: str
    notified_at: float
    until: float | None = None  # None: the upstream is still draining or gone


class FaultEvent(NamedTuple):
    """The start of a fault, or of a cold successor ("cold"), in seconds on the monotonic clock."""

    at: float
    fault: str
    upstream: str


class Registry:
    """The list of a fleet's upstreams, and its watchers."""

    def __init__(self, upstreams: Sequence[ListedUpstream], journal: ExecutionJournal | None = None) -> None:
        self.upstreams, self.journal = upstreams, journal or ExecutionJournal()
        self.version = 1
        self.server: asyncio.Server | None = None
        self.port = 0
        self.watchers: set[asyncio.Transport] = set()
        self.drains: list[Drain] = []
        self.events: list[FaultEvent] = []  # set by the component that injects faults

    async def start(self) -> None:
        """Listen on the loopback interface; a restart uses the same port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: RegistryConnection(self), "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        loop.call_later(HEARTBEAT_S, self._heartbeat)

    async def stop(self) -> None:
        """Stop listening and reset all watches."""
        if self.server is not None:
            self.server.close()
        for transport in list(self.watchers):
            transport.abort()

    def _heartbeat(self) -> None:
        """Write an empty line to each watcher now and every HEARTBEAT_S, until the server stops."""
        if self.server is not None and self.server.is_serving():
            self.broadcast(b"\n")
            asyncio.get_running_loop().call_later(HEARTBEAT_S, self._heartbeat)

    def complete(self) -> dict[str, Any]:
        """Return the complete list, as the discovery protocol sends it."""
        return {"seq": self.version, "whole": True, "hosts": [u.entry() for u in self.upstreams]}

    def notify(self, upstream: ListedUpstream, **changes: Any) -> None:
        """Send an upstream's row, with these fields changed, to all watchers."""
        self.version += 1
        entry = upstream.entry(**changes)
        line = {"seq": self.version, "whole": False, "hosts": [entry]}
        self.broadcast(json.dumps(line).encode() + b"\n")
        self._record_drain(upstream.name, entry)

    def _record_drain(self, name: str, entry: dict[str, Any]) -> None:
        """Start or end the upstream's drain, according to the row that was just sent to the watchers."""
        now = monotonic()
        open_drains = [drain for drain in self.drains if drain.upstream == name and drain.until is None]
        if entry["health"] == "ready":
            for drain in open_drains:
                drain.until = now
        elif not open_drains:
            self.drains.append(Drain(name, entry["dial"], now))

    def account(self) -> dict[str, Any]:
        """Return the fleet's account, which quartzford/load/reconciliation.py reads and GET /books sends."""
        journal = self.journal
        return {
            "version": ACCOUNT_VERSION,
            "runs": journal.run_rows(),
            "arrivals": journal.arrivals,
            "drains": [[d.upstream, d.address, d.notified_at, d.until] for d in self.drains],
            "births": self._restart_rows(),
            "turned_away": journal.rejected,
            "overlapping": journal.overlapping,
            "window_s": journal.window_s,
            "events": self.events,
        }

    def _restart_rows(self) -> list[list[Any]]:
        """Return all cold starts as rows: upstream, incarnation, time, capacity, start share, warm_s."""
        return [
            [*restart, upstream.capacity, upstream.start_share, upstream.warm_s]
            for restart in self.journal.restarts
            for upstream in self.upstreams
            if upstream.name == restart.upstream
        ]

    def broadcast(self, line: bytes) -> None:
        """Write a line to each watcher, as one chunk."""
        for transport in list(self.watchers):
            transport.write(b"%x\r\n%b\r\n" % (len(line), line))


class RegistryConnection(asyncio.Protocol):
    """One caller of the registry."""

    transport: asyncio.Transport

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to answer on."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """End the caller's watch."""
        self.registry.watchers.discard(self.transport)

    def data_received(self, data: bytes) -> None:
        """Answer a request once its head is complete."""
        self.data += data
        if b"\r\n\r\n" not in self.data:
            return
        line, self.data = self.data.split(b"\r\n", 1)[0], b""
        if b" /books " in line:
            self._answer(json.dumps(self.registry.account()).encode())
            return
        complete = json.dumps(self.registry.complete()).encode()
        if b"stream=1" not in line:
            self._answer(complete)
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.registry.watchers.add(self.transport)
        self.transport.write(b"%x\r\n%b\n\r\n" % (len(complete) + 1, complete))

    def _answer(self, body: bytes) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
