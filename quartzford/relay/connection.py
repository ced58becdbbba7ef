"""One client's call to a relay: for the complete list, or a watch. Times are in seconds."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import Protocol

from quartzford.engine import Clock
from quartzford.relay.catalog import Catalog, Position, UpdateKind, WatcherUpdate
from quartzford.relay.list_transfer import ListTransfer
from quartzford.relay.metrics import Metric
from quartzford.relay.request import ListRequest
from quartzford.relay.responses import (
    CHUNK_END,
    HEARTBEAT,
    LAST_CHUNK,
    WATCH_HEAD,
    chunk_head,
    list_head,
    rejection,
)
from quartzford.relay.single_request import SingleRequestConnection
from quartzford.relay.source_monitor import SourceMonitor, SourceState
from quartzford.relay.transfer_queue import TransferQueue
from quartzford.relay.transfer_schedule import TransferSchedule
from quartzford.relay.watch_limit import WatchLimit

LIST_SEND_TIMEOUT_S = 60.0  # a client that has not taken the list by then has given up as well
HEARTBEAT_TICKS = 20  # of the server's clock: a heartbeat to each watcher every two seconds
AHEAD_SETTLE_S = 2.0  # an index still ahead so long after the source's next line is of another incarnation
REJECTED_RETRY_S = 1.0  # Retry-After of a call rejected because of the source
FULL_RETRY_S = 2.0  # Retry-After of a call rejected for lack of capacity


class ConnectionServer(Protocol):
    """What a connection uses of the server that accepted it."""

    clock: Clock
    catalog: Catalog
    source: SourceMonitor
    watch_limit: WatchLimit
    transfer_schedule: TransferSchedule
    transfer_queue: TransferQueue
    connections: set[ClientConnection]
    watchers: dict[ClientConnection, None]
    waiting: dict[ClientConnection, None]  # calls that wait for the source
    counts: Counter[Metric]
    stopping: bool

    def too_many_connections(self) -> bool:
        """Whether too many connections are open that are no watches."""

    def shared_chunk(self, line: bytes) -> bytes:
        """A line as a chunk, encoded once for all watchers that get it."""


class CallState(Enum):
    """How far a call has come."""

    READING_REQUEST = "reading request"
    WAITING_FOR_SOURCE = "waiting for source"
    SCHEDULED = "scheduled"  # for the sending of a complete list
    SENDING_LIST = "sending list"
    WATCHING = "watching"
    ENDED = "ended"


class ClientConnection(SingleRequestConnection):
    """A client's connection, from its request to its end. Clients are balancers."""

    def __init__(self, server: ConnectionServer) -> None:
        super().__init__(server.clock)
        self.server = server
        self.state = CallState.READING_REQUEST
        self.index: int | None = None  # that a watch was called with; None for a call that is no watch
        self.position: Position | None = None  # what a watcher has been sent
        self.heartbeat_slot = 0  # the tick at which heartbeats are sent, modulo HEARTBEAT_TICKS
        self._requested_at = 0.0
        self._first_ahead_at = 0.0  # when the index was found ahead of a line younger than the request
        self._response_begun = False
        self._transfer: ListTransfer | None = None
        self._reserved_bytes = 0  # of the transfer schedule

    # ---- the connection

    def accepted(self) -> None:
        """Wait for a request, unless the relay stops or has too many connections."""
        self.server.connections.add(self)
        if self.server.stopping:
            return self.abort()
        if self.server.too_many_connections():
            self._reject(FULL_RETRY_S, Metric.FULL)
            return self.transport.close()  # nothing was read, and descriptors are short
        self.expect_request()

    def connection_lost(self, error: Exception | None) -> None:
        """Release all that the connection held."""
        super().connection_lost(error)
        self.server.connections.discard(self)

    def writable(self) -> None:
        """Write what has become due while the socket took no bytes."""
        if self.state is CallState.SENDING_LIST:
            self.server.transfer_queue.add(self)
        else:
            self.send_updates()

    def release(self) -> None:
        """Leave the server's tables and give back the reserved slot."""
        self.state = CallState.ENDED
        self._transfer = None
        self.server.waiting.pop(self, None)
        self.server.watchers.pop(self, None)
        if self._reserved_bytes:
            self.server.transfer_schedule.release(self._reserved_bytes)
            self._reserved_bytes = 0

    def end(self) -> None:
        """End the call gracefully: a watch's response ends, a call without a response is rejected."""
        if self.state is CallState.ENDED:
            return
        if self.state is CallState.READING_REQUEST and not self.bytes_read:
            return self.abort()
        if not self._response_begun:
            return self._reject(REJECTED_RETRY_S, Metric.REJECTED)
        if self.state is CallState.SENDING_LIST and not self.server.stopping:
            return  # the list is sent to its end, and the call ends behind it
        if self.writing_paused or self._transfer is not None:
            return self.abort()
        self.send_last(LAST_CHUNK if self.index is not None else b"")

    def _reject(self, retry_after_s: float, metric: Metric) -> None:
        self.server.counts[metric] += 1
        self.send_last(rejection(retry_after_s))

    # ---- the call

    def request_received(self, request: ListRequest) -> None:
        """Begin the call: a watch is admitted or rejected, and answered once the source's state allows it."""
        self.index = request.index
        if self.index is None:
            self.server.counts[Metric.LIST_CALLS] += 1
        elif not self._admit_watch():
            return self._reject(FULL_RETRY_S, Metric.FULL)
        self._requested_at = self.server.clock.now()
        self.state = CallState.WAITING_FOR_SOURCE
        self.server.waiting[self] = None
        self.proceed()

    def _admit_watch(self) -> bool:
        server = self.server
        host = self.transport.get_extra_info("peername")[0]
        if not server.watch_limit.admits(host, len(server.watchers), server.clock.now()):
            return False
        server.counts[Metric.WATCHES] += 1
        self.heartbeat_slot = server.counts[Metric.WATCHES] % HEARTBEAT_TICKS
        server.watchers[self] = None
        return True

    def proceed(self) -> None:
        """Answer a call that waits for the source, if the source's state allows it by now."""
        if self.state is not CallState.WAITING_FOR_SOURCE:
            return
        catalog = self.server.catalog
        has_list = catalog.version is not None
        source_state = self.server.source.state()
        if self.index is None and has_list:
            self._schedule_list()
        elif source_state is SourceState.LOST:
            self._reject(REJECTED_RETRY_S, Metric.REJECTED)
        elif source_state is SourceState.CURRENT and has_list:
            self._answer_watch(catalog.update_for(None, self.index or 0))

    def _answer_watch(self, update: WatcherUpdate) -> None:
        if update.kind is UpdateKind.AHEAD:
            if self._is_of_another_incarnation():
                self._schedule_list()
        elif update.kind is UpdateKind.COMPLETE_LIST:
            self._schedule_list()
        else:
            self.server.waiting.pop(self, None)
            self.state = CallState.WATCHING
            self._send_changes(update.line or self.server.catalog.no_changes_line())

    def _is_of_another_incarnation(self) -> bool:
        """Whether the index is still ahead AHEAD_SETTLE_S after a line of the source came."""
        now = self.server.clock.now()
        if not self._first_ahead_at and self.server.source.last_line_at() > self._requested_at:
            self._first_ahead_at = now
        return bool(self._first_ahead_at) and now - self._first_ahead_at >= AHEAD_SETTLE_S

    # ---- updates of a watch

    def send_updates(self) -> None:
        """Send a watcher all changes since its position, if its socket takes bytes."""
        if self.state is not CallState.WATCHING or self.writing_paused:
            return
        update = self.server.catalog.update_for(self.position)
        if update.kind is UpdateKind.CHANGES:
            self._send_changes(update.line)
        elif update.kind is UpdateKind.COMPLETE_LIST:
            self._schedule_list()

    def send_heartbeat(self) -> None:
        """Send a watcher an empty line, which says that nothing has changed."""
        if self.state is CallState.WATCHING and not self.writing_paused:
            self.transport.write(HEARTBEAT)

    def _send_changes(self, line: bytes) -> None:
        self.server.counts[Metric.UPDATES] += 1
        self.position = self.server.catalog.position()
        data = self.server.shared_chunk(line)
        if not self._response_begun:
            self._response_begun = True
            data = WATCH_HEAD + data
        self.transport.write(data)

    # ---- complete lists

    def _schedule_list(self) -> None:
        """Reserve a slot for the complete list; without one a new call is rejected, and a watch ended."""
        self.server.waiting.pop(self, None)
        if self.server.stopping:
            return self.end()
        size = self.server.catalog.complete_list_bytes()
        slot = self.server.transfer_schedule.reserve(self.server.clock.now(), size)
        if not slot.granted:
            if self._response_begun:
                return self.end()
            return self._reject(slot.wait, Metric.REJECTED)
        self._reserved_bytes = size
        self.state = CallState.SCHEDULED
        self.set_timer(slot.wait, self._begin_list)

    def _begin_list(self) -> None:
        if self.state is not CallState.SCHEDULED:
            return
        if self.server.stopping:
            return self.end()
        self._reserved_bytes = 0
        required_version = self._required_version()
        complete_list = self.server.catalog.complete_list(exact=self.index is None, since=required_version)
        if complete_list.position.version < required_version:
            return self._reject(REJECTED_RETRY_S, Metric.REJECTED)
        self.server.counts[Metric.COMPLETE_LISTS] += 1
        self._transfer = ListTransfer(complete_list)
        head = self._list_response_head(self._transfer.length)
        self._response_begun = True
        self.state = CallState.SENDING_LIST
        self.set_timer(LIST_SEND_TIMEOUT_S, self.abort)
        self.transport.write(head)
        if not self.writing_paused:
            self.server.transfer_queue.add(self)

    def _list_response_head(self, length: int) -> bytes:
        if self.index is None:
            return list_head(length)
        if self._response_begun:
            return chunk_head(length)
        return WATCH_HEAD + chunk_head(length)

    def _required_version(self) -> int:
        """The version that the list must have reached: that of a client that comes from another relay.

        An index above the version held is of another incarnation, and requires nothing.
        """
        if self.position is not None or self.index is None:
            return 0
        return self.index if self.index <= self.server.catalog.position().version else 0

    def send_part(self) -> bool:
        """Write the next part of the complete list; whether another one may follow at once."""
        transfer = self._transfer
        if transfer is None or self.writing_paused:
            return False
        if transfer.position.incarnation != self.server.catalog.incarnation:
            self.abort()  # the source has restarted: the list is of no use
            return False
        self.transport.write(transfer.next_part())
        if transfer.finished:
            self._finish_list(transfer.position)
        return self.state is CallState.SENDING_LIST and not self.writing_paused

    def _finish_list(self, position: Position) -> None:
        """All of the list is written: a watch goes on from its position."""
        if self.index is None:
            return self.send_last(b"")
        self.cancel_timer()
        self._transfer = None
        self.position = position
        self.state = CallState.WATCHING
        self.transport.write(CHUNK_END)
        if self.server.source.state() is SourceState.LOST:
            return self.end()
        self.send_updates()
