"""The server of a relay. It accepts connections and sends updates, heartbeats and complete lists.

The state of a watcher is its socket and its position in the catalog. Its update is computed when its socket
can take bytes, so nothing is queued for a watcher that reads slowly. Changes are written as soon as they are
known. Complete lists are written after them, in parts, each list at the time that the transfer schedule
assigns.

New watches are answered while the source is current. When the source is lost, the server ends all watches and
rejects new ones, so that balancers move to another relay. It still sends the last list to calls for the list
without a watch. Times are in seconds.
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
LOST_SPREAD_S = 0.5  # all watches are ended spread over this time when the source is lost
STOP_SPREAD_S = 0.3  # the same at a shutdown: balancers continue at another relay within a second
STOP_TIMEOUT_S = 0.8  # after this time a shutdown aborts the remaining connections
STOP_POLL_S = 0.02
MAX_OTHER_CONNECTIONS = 512  # connections other than watches; fewer if the descriptor limit is low
OTHER_CONNECTIONS_DIVISOR = 8  # at most an eighth of the descriptors serve connections other than watches
RESERVED_DESCRIPTORS = 64  # kept free for uses other than client connections
MAX_WATCHES = 100_000  # the limit if the number of descriptors is unlimited


class Server:
    """Accepts connections and notifies them of catalog changes, changes of the source's state, and ticks."""

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
        """Create a server that is not listening yet.

        last_line_at: returns the clock time of the source's last line. connected: returns whether a watch on
        the source is open. max_watchers: the relay's share of the fleet; watch_limit.py describes the watches
        admitted beyond it.
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
        self.watchers: dict[ClientConnection, None] = {}  # in the order of admission
        self.waiting: dict[ClientConnection, None] = {}  # calls that wait for the source
        self.counts: Counter[Metric] = Counter()
        self.address = ("", 0)
        self.stopping = False
        self._listener: Listener | None = None
        self._source_was_lost = False
        self._ticks = 0
        self._summarized_counts: Counter[Metric] = Counter()  # the counts at the last summary
        self._shared_line = b""
        self._shared_chunk = b""

    def _new_watch_limit(self, share: int, descriptors: int) -> WatchLimit:
        if descriptors == resource.RLIM_INFINITY:
            return WatchLimit(share, MAX_WATCHES)
        supported = max(1, descriptors - self.max_other_connections - RESERVED_DESCRIPTORS)
        if supported < share:
            self.log.line(
                LOG_TOPIC,
                f"{descriptors} descriptors allow {supported} watchers, fewer than the configured {share}",
            )
        return WatchLimit(min(share, supported), supported)

    def too_many_connections(self) -> bool:
        """Return whether too many connections other than watches are open."""
        return len(self.connections) - len(self.watchers) > self.max_other_connections

    # ---- start and shutdown

    async def listen(self, host: str, port: int) -> None:
        """Accept connections; the kernel replaces port 0. Raise OSError if the address is not available."""
        listening = await listen_with_retries(lambda: open_listening_socket(host, port))
        self.address = listening.getsockname()[:2]
        self._listener = Listener([listening], lambda: ClientConnection(self), self.clock, self.loop)
        self._listener.start()
        self.source.start()
        self.log.line(LOG_TOPIC, f"listening on {self.address[0]}:{self.address[1]}")
        self.clock.call_later(TICK_S, self._tick)

    async def stop(self) -> None:
        """Stop accepting, end all calls gracefully, and abort remaining connections after STOP_TIMEOUT_S."""
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
        """End all watches, evenly spread over spread_s, so that balancers do not all reconnect at once."""
        count = len(self.watchers)
        for number, connection in enumerate(list(self.watchers)):
            self.clock.call_later(spread_s * number / count, connection.end)

    # ---- changes and the clock

    def catalog_changed(self) -> None:
        """Send a change to all watchers that are not paused, and answer calls that wait for the source."""
        for connection in list(self.watchers):
            connection.send_updates()
        self._answer_waiting()

    def _answer_waiting(self) -> None:
        for connection in list(self.waiting):
            connection.answer_if_ready()

    def _tick(self) -> None:
        if self.stopping:
            return
        self.clock.call_later(TICK_S, self._tick)
        self._ticks += 1
        self._check_source_state()
        self._answer_waiting()
        if not self._source_was_lost:
            self._send_heartbeats()
        if self._ticks % SUMMARY_TICKS == 0:
            self._log_summary()

    def _check_source_state(self) -> None:
        is_lost = self.source.state() is SourceState.LOST
        if is_lost and not self._source_was_lost:
            self.log.line(LOG_TOPIC, f"source lost; ending {len(self.watchers)} watches")
            self._end_watches(LOST_SPREAD_S)
        elif self._source_was_lost and not is_lost:
            self.log.line(LOG_TOPIC, f"source available again, version {self.catalog.version}")
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
        self.log.line(LOG_TOPIC, f"version {version}, {watchers} watchers; since the last summary: {summary}")
        self._summarized_counts = self.counts.copy()

    def shared_chunk(self, line: bytes) -> bytes:
        """Return a line as a chunk. The last chunk is cached, as many watchers receive the same line."""
        if line is not self._shared_line:
            self._shared_line = line
            self._shared_chunk = chunk(line)
        return self._shared_chunk


def max_other_connections(descriptors: int) -> int:
    """Return the maximum number of connections other than watches. descriptors: the limit of the process."""
    if descriptors == resource.RLIM_INFINITY:
        return MAX_OTHER_CONNECTIONS
    return min(MAX_OTHER_CONNECTIONS, descriptors // OTHER_CONNECTIONS_DIVISOR)
