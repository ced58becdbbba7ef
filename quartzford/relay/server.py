"""The server of a relay: its connections, and when updates, heartbeats and complete lists are sent.

A watcher costs its socket and its position in the catalog. Its update is derived when its socket takes
bytes: nothing is queued for one that reads slowly. Changes are written as soon as they are known; complete
lists in parts behind them, each at the time that the transfer schedule gives it.

New watches are answered while the source is current. Once it is lost, all watches are ended and new ones
rejected, so that balancers follow another relay; the last list is still sent to calls for the list alone.
Times are in seconds.
"""

from __future__ import annotations

import asyncio
import resource
from collections import Counter
from collections.abc import Callable

from quartzford.engine import Clock, Log
from quartzford.fronts.listener import Listener, listen_with_retries
from quartzford.relay.catalog import Catalog
from quartzford.relay.connection import HEARTBEAT_TICKS, ClientConnection
from quartzford.relay.listening_socket import open_listening_socket
from quartzford.relay.metrics import Metric
from quartzford.relay.responses import chunk
from quartzford.relay.source_monitor import SourceMonitor, SourceState
from quartzford.relay.transfer_queue import TransferQueue
from quartzford.relay.transfer_schedule import TransferSchedule
from quartzford.relay.watch_limit import WatchLimit

LOG_TOPIC = "relay"
TICK_S = 0.1
SUMMARY_TICKS = 100
LOST_SPREAD_S = 0.5  # over which all watches are ended once the source is lost
STOP_SPREAD_S = 0.3  # over which they are ended at a shutdown: balancers go on within a second
STOP_TIMEOUT_S = 0.8  # after which a shutdown waits for no connection
STOP_POLL_S = 0.02
MAX_OTHER_CONNECTIONS = 512  # that are no watches; fewer with few descriptors
OTHER_CONNECTIONS_DIVISOR = 8  # of the descriptors
RESERVED_DESCRIPTORS = 64  # for anything but clients' connections
MAX_WATCHES = 100_000  # where descriptors set no bound


class Server:
    """Accepts connections, and notifies them of changes, of the source's state and of the time."""

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

        max_watchers: the relay's share of the fleet; see watch_limit.py for what comes beyond it.
        """
        self.catalog = catalog
        self.clock = clock
        self.log = log
        self.loop = loop
        self.source = SourceMonitor(last_line_at, connected, clock)
        self.transfer_schedule = TransferSchedule(list_bytes_per_s)
        self.transfer_queue = TransferQueue(clock)
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.max_other_connections = max_other_connections(descriptors)
        self.watch_limit = self._new_watch_limit(max_watchers, descriptors)
        self.connections: set[ClientConnection] = set()
        self.watchers: dict[ClientConnection, None] = {}  # in the order of their calls
        self.waiting: dict[ClientConnection, None] = {}  # calls that wait for the source
        self.counts: Counter[Metric] = Counter()
        self.address = ("", 0)
        self.stopping = False
        self._listener: Listener | None = None
        self._source_was_lost = False
        self._ticks = 0
        self._summarized_counts: Counter[Metric] = Counter()  # as at the last summary
        self._shared_line = b""
        self._shared_chunk = b""

    def _new_watch_limit(self, share: int, descriptors: int) -> WatchLimit:
        if descriptors == resource.RLIM_INFINITY:
            return WatchLimit(share, MAX_WATCHES)
        supported = max(1, descriptors - self.max_other_connections - RESERVED_DESCRIPTORS)
        if supported < share:
            self.log.line(LOG_TOPIC, f"{descriptors} descriptors bear {supported} watchers of {share}")
        return WatchLimit(min(share, supported), supported)

    def too_many_connections(self) -> bool:
        """Whether too many connections are open that are no watches."""
        return len(self.connections) - len(self.watchers) > self.max_other_connections

    # ---- start and shutdown

    async def listen(self, host: str, port: int) -> None:
        """Accept connections; port 0 is the kernel's choice. OSError where the address can't be had."""
        listening = await listen_with_retries(lambda: open_listening_socket(host, port))
        self.address = listening.getsockname()[:2]
        self._listener = Listener([listening], lambda: ClientConnection(self), self.clock, self.loop)
        self._listener.start()
        self.source.start()
        self.log.line(LOG_TOPIC, f"listening on {self.address[0]}:{self.address[1]}")
        self.clock.call_later(TICK_S, self._tick)

    async def stop(self) -> None:
        """Accept nothing more, end all calls gracefully, and abort what is left after STOP_TIMEOUT_S."""
        self.stopping = True
        if self._listener is not None:
            self._listener.close()
            await self._listener.opened()
        for connection in [connection for connection in self.connections if connection not in self.watchers]:
            connection.end()
        self._end_watches(STOP_SPREAD_S)
        deadline = self.clock.now() + STOP_TIMEOUT_S
        while self.connections and self.clock.now() < deadline:
            await asyncio.sleep(STOP_POLL_S)
        for connection in list(self.connections):
            connection.abort()

    def _end_watches(self, spread_s: float) -> None:
        """End all watches, spread evenly, so that balancers do not all move in one moment."""
        count = len(self.watchers)
        for number, connection in enumerate(list(self.watchers)):
            self.clock.call_later(spread_s * number / count, connection.end)

    # ---- changes and the clock

    def catalog_changed(self) -> None:
        """Send a change to all watchers whose sockets take bytes, and answer calls that wait."""
        for connection in list(self.watchers):
            connection.send_updates()
        self._answer_waiting()

    def _answer_waiting(self) -> None:
        for connection in list(self.waiting):
            connection.proceed()

    def _tick(self) -> None:
        if self.stopping:
            return
        self.clock.call_later(TICK_S, self._tick)
        self._ticks += 1
        self._follow_source_state()
        self._answer_waiting()
        if not self._source_was_lost:
            self._send_heartbeats()
        if self._ticks % SUMMARY_TICKS == 0:
            self._log_summary()

    def _follow_source_state(self) -> None:
        is_lost = self.source.state() is SourceState.LOST
        if is_lost and not self._source_was_lost:
            self.log.line(LOG_TOPIC, f"source lost; {len(self.watchers)} watches are ended")
            self._end_watches(LOST_SPREAD_S)
        elif self._source_was_lost and not is_lost:
            self.log.line(LOG_TOPIC, f"source heard again, version {self.catalog.version}")
        self._source_was_lost = is_lost

    def _send_heartbeats(self) -> None:
        slot = self._ticks % HEARTBEAT_TICKS
        for connection in self.watchers:
            if connection.heartbeat_slot == slot:
                connection.send_heartbeat()

    def _log_summary(self) -> None:
        new_counts = self.counts - self._summarized_counts
        if not new_counts:
            return
        named_counts = sorted((metric.value, count) for metric, count in new_counts.items())
        summary = ", ".join(f"{name} {count}" for name, count in named_counts)
        version, watchers = self.catalog.version, len(self.watchers)
        self.log.line(LOG_TOPIC, f"version {version}, {watchers} watchers; since then: {summary}")
        self._summarized_counts = self.counts.copy()

    def shared_chunk(self, line: bytes) -> bytes:
        """A line as a chunk; the last one is kept, as it goes to many watchers."""
        if line is not self._shared_line:
            self._shared_line = line
            self._shared_chunk = chunk(line)
        return self._shared_chunk


def max_other_connections(descriptors: int) -> int:
    """How many connections may be open that are no watches. descriptors: the process's limit."""
    if descriptors == resource.RLIM_INFINITY:
        return MAX_OTHER_CONNECTIONS
    return min(MAX_OTHER_CONNECTIONS, descriptors // OTHER_CONNECTIONS_DIVISOR)
