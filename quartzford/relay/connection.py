"""A client's call to a relay: a request for the complete list, or a watch. Times are in seconds."""

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

LIST_SEND_TIMEOUT_S = 60.0  # the client itself has given up on the list by then
HEARTBEAT_TICKS = 20  # server ticks between heartbeats to a watcher: two seconds
# An index that is still ahead this long after the source's next line is of another incarnation.
AHEAD_SETTLE_S = 2.0
REJECTED_RETRY_S = 1.0  # Retry-After of a call that is rejected because of the state of the source
AT_CAPACITY_RETRY_S = 2.0  # Retry-After of a call that is rejected for lack of capacity


class ConnectionServer(Protocol):
    """The parts of the accepting server that a connection uses."""

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
        """Return whether too many connections other than watches are open."""

    def shared_chunk(self, line: bytes) -> bytes:
        """Return a line as a chunk, encoded once for all watchers that receive it."""


class CallState(Enum):
    """The state of a call."""

    READING_REQUEST = "reading request"
    WAITING_FOR_SOURCE = "waiting for source"
    SCHEDULED = "scheduled"  # waits for its slot to send a complete list
    SENDING_LIST = "sending list"
    WATCHING = "watching"
    ENDED = "ended"


class ClientConnection(SingleRequestConnection):
    """A connection of a client (a balancer), from its request until it is closed."""

    def __init__(self, server: ConnectionServer) -> None:
        super().__init__(server.clock)
        self.server = server
        self.state = CallState.READING_REQUEST
        self.index: int | None = None  # the index in the request of a watch; None if the call is not a watch
        self.position: Position | None = None  # the list position last sent to the watcher
        self.heartbeat_slot = 0  # tick number, modulo HEARTBEAT_TICKS, at which heartbeats are sent
        self._requested_at = 0.0
        self._first_ahead_at = 0.0  # when the index was first ahead of a line received after the request
        self._response_started = False
        self._transfer: ListTransfer | None = None
        self._reserved_bytes = 0  # reserved in the transfer schedule

    # ---- the connection

    def accepted(self) -> None:
        """Wait for a request, unless the relay is stopping or has too many connections."""
        self.server.connections.add(self)
        if self.server.stopping:
            return self.abort()
        if self.server.too_many_connections():
            self._reject(AT_CAPACITY_RETRY_S, Metric.AT_CAPACITY)
            return self.transport.close()  # no lingering close: nothing was read, and descriptors are scarce
        self.expect_request()

    def connection_lost(self, error: Exception | None) -> None:
        """Release all resources of the connection."""
        super().connection_lost(error)
        self.server.connections.discard(self)

    def writable(self) -> None:
        """Write the data that became due while writing was paused."""
        if self.state is CallState.SENDING_LIST:
            self.server.transfer_queue.add(self)
        else:
            self.send_updates()

    def release(self) -> None:
        """Remove the call from the server's tables and release its reserved slot."""
        self.state = CallState.ENDED
        self._transfer = None
        self.server.waiting.pop(self, None)
        self.server.watchers.pop(self, None)
        if self._reserved_bytes:
            self.server.transfer_schedule.release(self._reserved_bytes)
            self._reserved_bytes = 0

    def end(self) -> None:
        """End the call gracefully: complete the response of a watch, or reject a call without a response."""
        if self.state is CallState.ENDED:
            return
        if self.state is CallState.READING_REQUEST and not self.bytes_read:
            return self.abort()
        if not self._response_started:
            return self._reject(REJECTED_RETRY_S, Metric.REJECTED)
        if self.state is CallState.SENDING_LIST and not self.server.stopping:
            return  # the list is sent completely before the call ends
        if self.writing_paused or self._transfer is not None:
            return self.abort()
        self.send_last(LAST_CHUNK if self.index is not None else b"")

    def _reject(self, retry_after_s: float, metric: Metric) -> None:
        self.server.counts[metric] += 1
        self.send_last(rejection(retry_after_s))

    # ---- the call

    def request_received(self, request: ListRequest) -> None:
        """Begin the call.

        A watch is admitted or rejected, and answered once the state of the source allows it.
        """
        self.index = request.index
        if self.index is None:
            self.server.counts[Metric.LIST_CALLS] += 1
        elif not self._admit_watch():
            return self._reject(AT_CAPACITY_RETRY_S, Metric.AT_CAPACITY)
        self._requested_at = self.server.clock.now()
        self.state = CallState.WAITING_FOR_SOURCE
        self.server.waiting[self] = None
        self.answer_if_ready()

    def _admit_watch(self) -> bool:
        server = self.server
        host = self.transport.get_extra_info("peername")[0]
        if not server.watch_limit.admits(host, len(server.watchers), server.clock.now()):
            return False
        server.counts[Metric.WATCHES] += 1
        self.heartbeat_slot = server.counts[Metric.WATCHES] % HEARTBEAT_TICKS
        server.watchers[self] = None
        return True

    def answer_if_ready(self) -> None:
        """Answer a call that waits for the source, if the state of the source now allows it."""
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
        """Return whether the index is still ahead AHEAD_SETTLE_S after a line from the source arrived."""
        now = self.server.clock.now()
        if not self._first_ahead_at and self.server.source.last_line_at() > self._requested_at:
            self._first_ahead_at = now
        return bool(self._first_ahead_at) and now - self._first_ahead_at >= AHEAD_SETTLE_S

    # ---- updates of a watch

    def send_updates(self) -> None:
        """Send a watcher all changes since its position, unless writing is paused."""
        if self.state is not CallState.WATCHING or self.writing_paused:
            return
        update = self.server.catalog.update_for(self.position)
        if update.kind is UpdateKind.CHANGES:
            self._send_changes(update.line)
        elif update.kind is UpdateKind.COMPLETE_LIST:
            self._schedule_list()

    def send_heartbeat(self) -> None:
        """Send a watcher an empty line, which means that nothing has changed."""
        if self.state is CallState.WATCHING and not self.writing_paused:
            self.transport.write(HEARTBEAT)

    def _send_changes(self, line: bytes) -> None:
        self.server.counts[Metric.UPDATES] += 1
        self.position = self.server.catalog.position()
        data = self.server.shared_chunk(line)
        if not self._response_started:
            self._response_started = True
            data = WATCH_HEAD + data
        self.transport.write(data)

    # ---- complete lists

    def _schedule_list(self) -> None:
        """Reserve a slot for the complete list. If none is free, reject a new call or end a watch."""
        self.server.waiting.pop(self, None)
        if self.server.stopping:
            return self.end()
        size = self.server.catalog.complete_list_bytes()
        slot = self.server.transfer_schedule.reserve(self.server.clock.now(), size)
        if not slot.granted:
            if self._response_started:
                return self.end()
            return self._reject(slot.wait_s, Metric.REJECTED)
        self._reserved_bytes = size
        self.state = CallState.SCHEDULED
        self.set_timer(slot.wait_s, self._begin_list)

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
        self._response_started = True
        self.state = CallState.SENDING_LIST
        self.set_timer(LIST_SEND_TIMEOUT_S, self.abort)
        self.transport.write(head)
        if not self.writing_paused:
            self.server.transfer_queue.add(self)

    def _list_response_head(self, length: int) -> bytes:
        if self.index is None:
            return list_head(length)
        if self._response_started:
            return chunk_head(length)
        return WATCH_HEAD + chunk_head(length)

    def _required_version(self) -> int:
        """Return the minimum version of the list: the index of a client that comes from another relay.

        An index above the version held is of another incarnation and sets no minimum.
        """
        if self.position is not None or self.index is None:
            return 0
        return self.index if self.index <= self.server.catalog.position().version else 0

    def send_part(self) -> bool:
        """Write the next part of the complete list; return whether another part may follow at once."""
        transfer = self._transfer
        if transfer is None or self.writing_paused:
            return False
        if transfer.position.incarnation != self.server.catalog.incarnation:
            self.abort()  # the source has restarted: the list is obsolete
            return False
        self.transport.write(transfer.next_part())
        if transfer.finished:
            self._finish_list(transfer.position)
        return self.state is CallState.SENDING_LIST and not self.writing_paused

    def _finish_list(self, position: Position) -> None:
        """Complete the transfer of the list. A watch continues with updates from the position of the list."""
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
