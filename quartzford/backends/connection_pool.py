"""The upstreams of the list, their idle connections, and the bound on all connections."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections import Counter, deque
from collections.abc import Iterator
from typing import Protocol

from quartzford.backends.response_reader import SERVED
from quartzford.backends.upstream_connection import Connection
from quartzford.decision import interface as io
from quartzford.engine import BufferBudget, Clock, Engine
from quartzford.membership.listing import Listing

MAX_IDLE_SHARE = 0.6  # of the time after which upstreams close idle connections themselves
MIN_IDLE_S = 0.01  # an upstream that sends a second response does so within some milliseconds
DEFAULT_MAX_CONNECTIONS = 16
DEFAULT_TIME_OUT_MS = 1000.0


class StreamedAttempt(Protocol):
    """An attempt whose response is passed on as it comes."""

    def end_if_stalled(self, now: float) -> None:
        """Fail the attempt if its upstream has been silent for too long; now: on the engine's clock."""


class ConnectionPool:
    """The upstreams of the list and their connections.

    max_connections: to all upstreams together, those being made counted in.
    """

    def __init__(
        self, core: Engine, budget: BufferBudget, clock: Clock, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.engine = core
        self.budget = budget
        self.clock = clock
        self.now = clock.now
        self.loop = loop
        self.upstreams: dict[str, Upstream] = {}
        self.with_idle: dict[Upstream, None] = {}  # those that may have idle connections
        self.retired: dict[Upstream, None] = {}  # kept until the list forgets the name
        self.connections: set[Connection] = set()
        self.pending_connects = 0
        self.opened: Counter[str] = Counter()  # connections made, by upstream
        self.streams: set[StreamedAttempt] = set()
        self.max_connections = DEFAULT_MAX_CONNECTIONS
        self.idle_ms = DEFAULT_TIME_OUT_MS
        self.connect_ms = DEFAULT_TIME_OUT_MS
        self.report_names: tuple[str, ...] = ()

    def configure(
        self, max_connections: int, idle_ms: float, connect_ms: float, report_names: tuple[str, ...]
    ) -> None:
        """idle_ms: after which upstreams close idle connections. connect_ms: that a connect may take."""
        self.max_connections = max_connections
        self.idle_ms = idle_ms
        self.connect_ms = connect_ms
        self.report_names = report_names

    def may_connect(self) -> bool:
        """Whether one more connection is within the bound; an idle one is closed for it where it must be."""
        if len(self.connections) + self.pending_connects < self.max_connections:
            return True
        if not any(upstream.idle for upstream in self.with_idle):
            return False
        for upstream in self.upstreams.values():
            if upstream.idle:
                upstream.idle.popleft().close()
                return True
        return False

    @contextlib.contextmanager
    def pending_connect(self, upstream: Upstream) -> Iterator[None]:
        """Count a connection as being made."""
        self.pending_connects += 1
        self.opened[upstream.name] += 1
        try:
            yield
        finally:
            self.pending_connects -= 1

    def close_idle(self) -> None:
        """Close all idle connections: another process needs the descriptors."""
        for upstream in list(self.with_idle):
            upstream.expire(math.inf)

    def listed(self, listing: Listing) -> None:
        """Follow the endpoint list: a complete one, or the entries that have changed."""
        if listing.complete:
            named = {entry.server for entry in listing.entries}
            for name in [name for name in self.upstreams if name not in named]:
                self.upstreams[name].retire()
        for entry, address in zip(listing.entries, listing.addresses, strict=True):
            self._adopt_entry(entry, address)

    def _adopt_entry(self, entry: io.Endpoint, address: tuple[str, int]) -> None:
        current = self.upstreams.get(entry.server)
        if entry.state != "ready":
            if current is not None:
                current.retire()
            return
        if current is not None and current.serves(address, entry.started_ms):
            return
        if current is not None:
            current.retire()
        self.upstreams[entry.server] = Upstream(self, entry.server, address, entry.started_ms)

    def sweep(self) -> None:
        """Close what was idle for long, forget upstreams that are gone, end responses that have stalled."""
        now = self.now()
        before = now - MAX_IDLE_SHARE * self.idle_ms / 1000.0
        for upstream in list(self.with_idle):
            upstream.expire(before)
            if not upstream.idle:
                del self.with_idle[upstream]
        for upstream in list(self.retired):
            self._forget(upstream)
        for attempt in list(self.streams):
            attempt.end_if_stalled(now)

    def _forget(self, upstream: Upstream) -> None:
        """Drop a retired upstream if another incarnation has followed it or the list no longer names it."""
        is_current = self.upstreams.get(upstream.name) is upstream
        if is_current and upstream.name in self.engine.balancer.servers:
            return
        del self.retired[upstream]
        if is_current:
            del self.upstreams[upstream.name]
            self.opened.pop(upstream.name, None)


class Upstream:
    """One incarnation of an upstream at one address; a restart or a new address makes another.

    started_ms: its start, Unix time by the list. idle: connections, the newest last, which is used first.
    """

    __slots__ = ("pool", "name", "address", "started_ms", "ready", "idle")

    def __init__(self, pool: ConnectionPool, name: str, address: tuple[str, int], started_ms: float) -> None:
        self.pool = pool
        self.name = name
        self.address = address
        self.started_ms = started_ms
        self.ready = True
        self.idle: deque[Connection] = deque()

    def serves(self, address: tuple[str, int], started_ms: float) -> bool:
        """Whether this is the incarnation that the list names, and takes requests."""
        return self.ready and self.address == address and self.started_ms == started_ms

    def retire(self) -> None:
        """Send no new attempt here: it drains, is gone, or has been followed by another incarnation."""
        self.ready = False
        self.pool.retired[self] = None
        while self.idle:
            self.idle.pop().close()

    def take(self) -> Connection | None:
        """The newest connection that has been idle for MIN_IDLE_S, or None.

        Bytes that come late behind a response would be taken for the next one's. Connections whose last
        response was a rejection or an error are taken at once: each of a flood of these would else open one.
        """
        before = self.pool.now() - MIN_IDLE_S
        for connection in [c for c in reversed(self.idle) if c.status != SERVED or c.idle_since <= before]:
            self.idle.remove(connection)
            if connection.is_usable():
                return connection
            connection.close()
        return None

    def put(self, connection: Connection) -> None:
        """Keep a connection for the next attempt, if any may come."""
        if not self.ready:
            return connection.close()
        connection.idle_since = self.pool.now()
        self.idle.append(connection)
        self.pool.with_idle[self] = None

    def expire(self, before: float) -> None:
        """Close connections that have been idle since before this moment of the engine's clock."""
        while self.idle and self.idle[0].idle_since < before:
            self.idle.popleft().close()

    # ---- what connections report

    @property
    def report_names(self) -> tuple[str, ...]:
        """Names of the figures in a load report, in the settings' order."""
        return self.pool.report_names

    def connection_opened(self, connection: Connection) -> None:
        """Count a connection in the bound."""
        self.pool.connections.add(connection)

    def connection_closed(self, connection: Connection) -> None:
        """Count a connection in the bound no more."""
        self.pool.connections.discard(connection)

    def request_sent(self) -> None:
        """Count an attempt whose request has left."""
        self.pool.engine.request_counters.attempts += 1

    def drop(self, connection: Connection) -> None:
        """Close an idle connection that the upstream has ended; one that is not idle stays as it is."""
        try:
            self.idle.remove(connection)
        except ValueError:
            return
        connection.close()
