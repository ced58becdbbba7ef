"""The side of a relay that balancers ask: who watches, what each is owed, and in which order it is written.

A watcher costs its socket and its position in the catalog. What it is owed is worked out when its socket
takes bytes: nothing is queued for one that reads slowly. Changes are written as soon as they are known; whole
lists in pieces behind them, each when its turn comes.

While the source's last line is younger than FRESH_S new watches are answered; past LOST_S the relay has lost
the source, ends all watches and turns new ones away, so that balancers follow another relay. The last
list is still given to who asks for the list alone.
"""

from __future__ import annotations

import asyncio
import resource
import socket
from collections import Counter, deque
from collections.abc import Callable

from quartzford.engine import Clock, Log
from quartzford.fronts.listener import Listener, listen_patiently
from quartzford.relay.catalog import Catalog
from quartzford.relay.connection import HEARTBEAT_TICKS, ClientConnection, SourceState
from quartzford.relay.transfer_schedule import TransferSchedule
from quartzford.relay.watch_limit import WatchLimit

TICK_S = 0.1
SOURCE_LATE_S = 2.25  # the source says something every two seconds
SOURCE_LOST_S = 3.5
LOST_SPREAD_S = 0.5  # in which all watches are ended where the source is lost
STOP_SPREAD_S = 0.3  # the same where the relay ends: balancers go on within a second, half of it their own
STOP_S = 0.8  # after which a relay that ends waits for no connection
SUMMARY_TICKS = 100
CHUNKS_PER_ITERATION = 4  # of whole lists, in one turn of the loop
MAX_OTHER_CONNECTIONS = 512  # connections that are no watches; fewer with few descriptors
RESERVED_DESCRIPTORS = 64  # descriptors for anything else
MAX_WATCHES = 100_000  # where descriptors set no bound
SEND_BYTES = 256 * 1024  # what the kernel keeps of a connection
UNACKNOWLEDGED_TIMEOUT_MS = 20_000  # a peer that takes nothing for so long is gone
BACKLOG = 4096


def listening_socket(host: str, port: int) -> socket.socket:
    """A listening socket whose connections have the options of a relay's; OSError where it can't be had."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        # Connections that are taken have these too.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


class Server:
    """The listener, its callers, and the beat."""

    def __init__(
        self,
        catalog: Catalog,
        last_line_at: Callable[[], float],
        connected: Callable[[], bool],
        list_bytes_per_s: float,
        max_watchers: int,
        clock: Clock,
        log: Log,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """last_line_at: when the source's last line came, on the clock; connected: a watch on it stands.

        most_watchers: the relay's share of the fleet; see watch_limit.py for what comes beyond it.
        """
        self.catalog, self.last_line_at, self.connected = catalog, last_line_at, connected
        self.clock, self.log, self.loop = clock, log, loop
        self.transfer_schedule = TransferSchedule(list_bytes_per_s)
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.max_other_connections = (
            MAX_OTHER_CONNECTIONS
            if limit == resource.RLIM_INFINITY
            else min(MAX_OTHER_CONNECTIONS, limit // 8)
        )
        self.watch_limit = self._new_watch_limit(max_watchers, limit)
        self.connections: set[ClientConnection] = set()
        self.watchers: dict[ClientConnection, None] = {}  # longest first
        self.waiting: dict[ClientConnection, None] = {}  # for the source
        self.counts: Counter[str] = Counter()
        self.address = ("", 0)
        self.stopping = False
        self._listener: Listener | None = None
        self._began_at = clock.now()
        self._lost = False
        self._ticks = 0
        self._last_counts: Counter[str] = Counter()  # counts at the last summary
        self._sending: deque[ClientConnection] = deque()  # whose whole list goes on
        self._send_scheduled = False
        self._framed: tuple[bytes, bytes] = b"", b""

    def _new_watch_limit(self, share: int, limit: int) -> WatchLimit:
        """Within the descriptors that the process may have."""
        if limit == resource.RLIM_INFINITY:
            return WatchLimit(share, MAX_WATCHES)
        supported = max(1, limit - self.max_other_connections - RESERVED_DESCRIPTORS)
        if supported < share:
            self.log.line("relay", f"{limit} descriptors bear {supported} watchers of {share}")
        return WatchLimit(min(share, supported), supported)

    def too_many_connections(self) -> bool:
        """Too many connections are open that are no watches."""
        return len(self.connections) - len(self.watchers) > self.max_other_connections

    # ---- start and end

    async def listen(self, host: str, port: int) -> None:
        """Take calls; port 0 is the kernel's choice."""
        listening = await listen_patiently(lambda: listening_socket(host, port))
        self.address = listening.getsockname()[:2]
        self._listener = Listener([listening], lambda: ClientConnection(self), self.clock, self.loop)
        self._listener.start()
        self._began_at = self.clock.now()
        self.log.line("relay", f"listening on {self.address[0]}:{self.address[1]}")
        self.clock.call_later(TICK_S, self._tick)

    async def stop(self) -> None:
        """Nobody is taken any more; watches are ended one after the other, and nothing whole is begun."""
        self.stopping = True
        if self._listener is not None:
            self._listener.close()
            await self._listener.opened()
        for connection in [connection for connection in self.connections if connection not in self.watchers]:
            connection.end()
        self._end_watches(STOP_SPREAD_S)
        until = self.clock.now() + STOP_S
        while self.connections and self.clock.now() < until:
            await asyncio.sleep(0.02)
        for connection in list(self.connections):
            connection.abort()

    def _end_watches(self, spread: float) -> None:
        """All watches, over so many seconds: balancers go elsewhere, and not all in one moment."""
        count = len(self.watchers)
        for n, connection in enumerate(list(self.watchers)):
            self.clock.call_later(spread * n / count, connection.end)

    # ---- the source

    def source_state(self) -> SourceState:
        """How the relay stands to the source; a start counts as if something had been heard."""
        now = self.clock.now()
        if self.connected() and now - self.last_line_at() <= SOURCE_LATE_S:
            return SourceState.CURRENT  # without a watch on it, it may have begun again
        return (
            SourceState.WAITING
            if now - max(self.last_line_at(), self._began_at) <= SOURCE_LOST_S
            else SourceState.LOST
        )

    def catalog_changed(self) -> None:
        """Send a change of the catalog to all watchers whose sockets take bytes, and answer who waits."""
        for connection in list(self.watchers):
            connection.send_updates()
        self._proceed()

    def _proceed(self) -> None:
        for connection in list(self.waiting):
            connection.proceed()

    def _tick(self) -> None:
        if self.stopping:
            return
        self.clock.call_later(TICK_S, self._tick)
        self._ticks += 1
        lost = self.source_state() is SourceState.LOST
        if lost and not self._lost:
            self.log.line("relay", f"source lost; {len(self.watchers)} watches are ended")
            self._end_watches(LOST_SPREAD_S)
        elif self._lost and not lost:
            self.log.line("relay", f"source heard again, version {self.catalog.version}")
        self._lost = lost
        self._proceed()
        if not lost:
            for connection in self.watchers:
                if connection.heartbeat_slot == self._ticks % HEARTBEAT_TICKS:
                    connection.send_heartbeat()
        if self._ticks % SUMMARY_TICKS == 0:
            self._summary()

    def _summary(self) -> None:
        new = self.counts - self._last_counts
        if new:
            what = ", ".join(f"{name} {count}" for name, count in sorted(new.items()))
            self.log.line(
                "relay", f"version {self.catalog.version}, {len(self.watchers)} watchers; since then: {what}"
            )
            self._last_counts = self.counts.copy()

    # ---- what is written

    def frame(self, line: bytes) -> bytes:
        """A line as a chunk; one that goes to many is framed once."""
        if line is not self._framed[0]:
            self._framed = line, b"%x\r\n%b\r\n" % (len(line), line)
        return self._framed[1]

    def schedule_chunk(self, connection: ClientConnection) -> None:
        """A whole list can go on: a piece when those before it have had theirs."""
        self._sending.append(connection)
        if not self._send_scheduled:
            self._send_scheduled = True
            self.clock.call_soon(self._send_chunks)

    def _send_chunks(self) -> None:
        for _ in range(min(CHUNKS_PER_ITERATION, len(self._sending))):
            connection = self._sending.popleft()
            if connection.send_chunk():
                self._sending.append(connection)
        self._send_scheduled = bool(self._sending)
        if self._send_scheduled:
            self.clock.call_soon(self._send_chunks)
