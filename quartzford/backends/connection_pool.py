"""The upstreams of the endpoint list, their idle connections, and the limit on all connections."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections import Counter, deque
from collections.abc import Iterator
from typing import Protocol

from quartzford.backends.bulk_reads import BulkReads
from quartzford.backends.overdue_streams import OverdueStream, excess_streams
from quartzford.backends.upstream_connection import Connection
from quartzford.decision import interface as io
from quartzford.engine import BufferBudget, Clock, Engine, ReadBuffer
from quartzford.membership.listing import Listing

IDLE_TIMEOUT_SHARE = 0.6  # idle connections are closed after this share of the upstreams' own idle time-out
MIN_IDLE_S = 0.01  # an upstream that sends a surplus response does so within some milliseconds
SURPLUS_REST_S = 0.1  # the same for an upstream that has sent one lately, on a machine that may be held up
SURPLUS_MEMORY_S = 60.0
DEFAULT_MAX_CONNECTIONS = 16
DEFAULT_TIMEOUT_MS = 1000.0


class StreamedAttempt(Protocol):
    """An attempt whose response is forwarded while it arrives."""

    def check_stream(self, now: float) -> None:
        """Fail the attempt if it has stalled or is overdue; now: seconds on the engine's clock."""

    def overtime_s(self, now: float) -> float:
        """Return for how many seconds it has been overdue; below 0 if it is not."""

    def held_bytes(self) -> int:
        """Return how many bytes of the response wait in this process for a slow client."""

    def break_off(self) -> None:
        """End the response; its client sees that it is incomplete."""


class ConnectionPool:
    """The upstreams of the endpoint list and their connections.

    max_connections: the limit for all upstreams together, including connections that are being opened.
    """

    def __init__(
        self, core: Engine, budget: BufferBudget, clock: Clock, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.engine = core
        self.budget = budget
        self.read_buffer = ReadBuffer(budget)
        self.bulk_reads = BulkReads(clock)
        self.clock = clock
        self.now = clock.now
        self.loop = loop
        self.upstreams: dict[str, Upstream] = {}
        self.upstreams_with_idle: dict[Upstream, None] = {}  # upstreams that may have idle connections
        self.retired: dict[Upstream, None] = {}  # kept until the decision module no longer knows the name
        self.connections: set[Connection] = set()
        self.pending_connects = 0
        self.opened: Counter[str] = Counter()  # count of connections opened or attempted, by upstream
        self.streamed_attempts: set[StreamedAttempt] = set()
        self.max_connections = DEFAULT_MAX_CONNECTIONS
        self.idle_ms = DEFAULT_TIMEOUT_MS
        self.connect_ms = DEFAULT_TIMEOUT_MS
        self.report_names: tuple[str, ...] = ()

    def configure(
        self, max_connections: int, idle_ms: float, connect_ms: float, report_names: tuple[str, ...]
    ) -> None:
        """Apply limits. idle_ms: idle time-out of the upstreams. connect_ms: time-out of a connect."""
        self.max_connections = max_connections
        self.idle_ms = idle_ms
        self.connect_ms = connect_ms
        self.report_names = report_names

    def may_connect(self) -> bool:
        """Return whether one more connection may be opened; at the limit, close an idle connection for it."""
        if len(self.connections) + self.pending_connects < self.max_connections:
            return True
        if not any(upstream.idle for upstream in self.upstreams_with_idle):
            return False
        for upstream in self.upstreams.values():
            if upstream.idle:
                upstream.idle.popleft().close()
                return True
        return False

    @contextlib.contextmanager
    def pending_connect(self, upstream: Upstream) -> Iterator[None]:
        """Count a connection as being opened, within the context."""
        self.pending_connects += 1
        self.opened[upstream.name] += 1
        try:
            yield
        finally:
            self.pending_connects -= 1

    def close_idle(self) -> None:
        """Close all idle connections, so that another process can use the descriptors."""
        for upstream in list(self.upstreams_with_idle):
            upstream.expire(math.inf)

    def listed(self, listing: Listing) -> None:
        """Apply an endpoint list: a complete one, or the entries that have changed."""
        if listing.complete:
            listed_names = {entry.server for entry in listing.entries}
            for name in [name for name in self.upstreams if name not in listed_names]:
                self.upstreams[name].retire()
        for entry, address in zip(listing.entries, listing.addresses, strict=True):
            self._update_entry(entry, address)

    def _update_entry(self, entry: io.Endpoint, address: tuple[str, int]) -> None:
        current = self.upstreams.get(entry.server)
        if entry.state != "ready":
            if current is not None:
                current.retire()
            return
        if current is not None and current.matches(address, entry.started_ms):
            return
        if current is not None:
            current.retire()
        self.upstreams[entry.server] = Upstream(self, entry.server, address, entry.started_ms)

    def sweep(self) -> None:
        """Close connections idle for too long, remove retired upstreams, check streamed attempts."""
        now = self.now()
        before = now - IDLE_TIMEOUT_SHARE * self.idle_ms / 1000.0
        for upstream in list(self.upstreams_with_idle):
            upstream.expire(before)
            if not upstream.idle:
                del self.upstreams_with_idle[upstream]
        for upstream in list(self.retired):
            self._remove_retired(upstream)
        for attempt in list(self.streamed_attempts):
            attempt.check_stream(now)
        self._limit_overdue_streams(now)

    def _limit_overdue_streams(self, now: float) -> None:
        """Break off streamed responses that are overdue, if they hold too many connections or bytes."""
        overdue = [attempt for attempt in self.streamed_attempts if attempt.overtime_s(now) > 0.0]
        streams = [OverdueStream(attempt.overtime_s(now), attempt.held_bytes()) for attempt in overdue]
        exhausted = self.budget.is_exhausted()
        for index in excess_streams(streams, self.max_connections, self.budget.limit, exhausted):
            overdue[index].break_off()

    def _remove_retired(self, upstream: Upstream) -> None:
        """Remove a retired upstream if another incarnation replaced it or the module forgot its name."""
        is_current = self.upstreams.get(upstream.name) is upstream
        if is_current and upstream.name in self.engine.balancer.servers:
            return
        del self.retired[upstream]
        if is_current:
            del self.upstreams[upstream.name]
            self.opened.pop(upstream.name, None)


class Upstream:
    """One incarnation of an upstream at one address; after a restart or at a new address it is another one.

    started_ms: its start, Unix time by the list. ready: it takes new attempts. idle: its idle connections, in
    the order in which they became idle; the newest is reused first. surplus_at: when bytes last arrived that
    no request had asked for, in seconds on the engine's clock.
    """

    __slots__ = ("pool", "name", "address", "started_ms", "ready", "idle", "surplus_at")

    def __init__(self, pool: ConnectionPool, name: str, address: tuple[str, int], started_ms: float) -> None:
        self.pool = pool
        self.name = name
        self.address = address
        self.started_ms = started_ms
        self.ready = True
        self.idle: deque[Connection] = deque()
        self.surplus_at = -math.inf

    def matches(self, address: tuple[str, int], started_ms: float) -> bool:
        """Return whether this is the incarnation with this address and start, and it takes requests."""
        return self.ready and self.address == address and self.started_ms == started_ms

    def retire(self) -> None:
        """Stop sending attempts: the upstream drains, was removed, or was replaced by another incarnation."""
        self.ready = False
        self.pool.retired[self] = None
        while self.idle:
            self.idle.pop().close()

    def take_idle(self) -> Connection | None:
        """Remove and return the newest connection that has been idle for long enough, or None.

        On a connection reused sooner, late bytes after one response, whatever its status, would be taken for
        the next response.
        """
        now = self.pool.now()
        before = now - (SURPLUS_REST_S if now - self.surplus_at < SURPLUS_MEMORY_S else MIN_IDLE_S)
        for connection in [idle for idle in reversed(self.idle) if idle.idle_since <= before]:
            self.idle.remove(connection)
            if connection.is_usable():
                return connection
            connection.close()
        return None

    def keep_idle(self, connection: Connection) -> None:
        """Keep a connection as idle for the next attempt; close it if the upstream is retired."""
        if not self.ready:
            return connection.close()
        connection.idle_since = self.pool.now()
        self.idle.append(connection)
        self.pool.upstreams_with_idle[self] = None

    def expire(self, before: float) -> None:
        """Close connections idle since before this time, in seconds on the engine's clock."""
        while self.idle and self.idle[0].idle_since < before:
            self.idle.popleft().close()

    # ---- called by connections

    @property
    def read_buffer(self) -> ReadBuffer:
        """The buffer that bytes are read into."""
        return self.pool.read_buffer

    @property
    def bulk_reads(self) -> BulkReads:
        """The turns of connections with more to read."""
        return self.pool.bulk_reads

    @property
    def report_names(self) -> tuple[str, ...]:
        """Names of the values of a load report, in the order of the settings."""
        return self.pool.report_names

    def connection_opened(self, connection: Connection) -> None:
        """Count a connection towards the limit."""
        self.pool.connections.add(connection)

    def connection_closed(self, connection: Connection) -> None:
        """Stop counting a connection towards the limit."""
        self.pool.connections.discard(connection)

    def request_sent(self) -> None:
        """Count an attempt whose request was sent completely."""
        self.pool.engine.request_counters.attempts += 1

    def surplus_received(self, connection: Connection) -> None:
        """Close an idle connection on which bytes have arrived, and let the others rest for longer."""
        self.surplus_at = self.pool.now()
        self.drop_idle(connection)

    def drop_idle(self, connection: Connection) -> None:
        """Close a connection that the upstream has ended, if it is idle; do nothing if it is not."""
        try:
            self.idle.remove(connection)
        except ValueError:
            return
        connection.close()
