"""Assembles one balancer: its control side, the HTTP/1.1 front and the HTTP/1.1 backend."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Sequence
from typing import TYPE_CHECKING

from quartzford.backends.http_backend import HttpBackend
from quartzford.control import DEFAULT_LISTS_PER_S as DEFAULT_LISTS_PER_S
from quartzford.control import assemble
from quartzford.engine import BufferBudget, LoopClock, StderrLog
from quartzford.fronts.http_front import HttpFront
from quartzford.fronts.operations import OperationsFront
from quartzford.graceful_shutdown import GracefulShutdown
from quartzford.housekeeping import Housekeeping
from quartzford.membership.addresses import Address
from quartzford.membership.listing import Listing, read_listing
from quartzford.membership.subset import Subset
from quartzford.memory_guard import MemoryGuard
from quartzford.process_memory import ProcessMemory
from quartzford.protocols.socketerrors import is_exhausted
from quartzford.resource_limits import full_limits
from quartzford.settings.configuration import Config, ConfigError

if TYPE_CHECKING:
    from quartzford.membership.snapshot_writer import SnapshotWriter
    from quartzford.replaceable_node import ReplaceableNode
    from quartzford.replacement.handover import Handover

FIRST_LIST_TIMEOUT_S = 1.0  # start listening after this time even without a list
BIND_TIMEOUT_S = 5.0  # a predecessor may still be bound to the address
BIND_RETRY_S = 0.05


class Node:
    """One balancer on sockets. Starts, reconfigures and shuts down its components."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        subset: Subset | None = None,
        folder: str = "",
        lists_per_s: float = DEFAULT_LISTS_PER_S,
        relays: Sequence[Address] = (),
        memory: ProcessMemory | None = None,
    ) -> None:
        """folder: holds the socket that connects this process and its successor; "": no replacement.

        lists_per_s: calls per second that the fleet's list service can answer.
        relays: addresses that are polled instead of the list service.
        memory: of this process, if the balancer has it for itself.
        """
        self.loop = loop
        self.clock = clock = LoopClock(loop)
        self.log = StderrLog(clock.now)
        self.budget = BufferBudget(0)
        self.control = assemble(config, loop, clock, self.log, subset, lists_per_s, relays)
        self.engine = self.control.engine
        self.watch = self.control.watch
        self.registry = self.control.registry
        self.pending = self.control.pending
        self.first_list_adopted = self.control.first_list_adopted
        self.followers = self.control.followers
        self.pool = HttpBackend(self.engine, self.budget, clock, loop)
        self.followers.append(self.pool)
        self.operations = OperationsFront(self, clock)
        self.front = HttpFront(self.engine, self.pool, self.budget, clock, self.ready)
        self.shutdown = GracefulShutdown(self.engine, self.front, clock, self._finish)
        self.memory_guard = (
            MemoryGuard(
                memory, self.budget, clock.now, self.front.free_bytes, self.front.unused_reserve_bytes
            )
            if memory is not None
            else None
        )
        self.housekeeping = Housekeeping(
            self.engine, self.front, self.pool, self.budget, clock, self.log, self.memory_guard
        )
        self.shutting_down = False
        self.replacement = self._make_replaceable(folder) if folder else None
        self._apply_limits(config)
        self.finished = loop.create_future()
        # From this time on, requests are served even without a list.
        self.list_due_at = clock.now() + FIRST_LIST_TIMEOUT_S
        self._begun = False
        self._listening = False  # the front listens, on its own or on an inherited socket
        self._inherited_listener: socket.socket | None = None

    def _make_replaceable(self, folder: str) -> ReplaceableNode:
        # Imported here so that processes that can't be replaced don't load the handover modules.
        from quartzford.replaceable_node import ReplaceableNode

        return ReplaceableNode(
            folder,
            self.control,
            self.front,
            self.pool,
            self.shutdown,
            lambda: self._apply_limits(self.config),
        )

    @property
    def config(self) -> Config:
        """The current configuration."""
        return self.control.config

    @property
    def handover(self) -> Handover | None:
        """Handovers from the predecessor and to a successor; None if the process can't be replaced."""
        return self.replacement.handover if self.replacement is not None else None

    @property
    def subset(self) -> Subset | None:
        """Selects the upstreams of the list that are used; None if all are."""
        return self.control.subset

    @subset.setter
    def subset(self, subset: Subset | None) -> None:
        """Use another subset, starting with the next list."""
        self.control.subset = subset

    @property
    def snapshot_writer(self) -> SnapshotWriter | None:
        """Writes the last list to a persistent disk; None without a snapshot."""
        return self.control.snapshot_writer

    @snapshot_writer.setter
    def snapshot_writer(self, writer: SnapshotWriter | None) -> None:
        """Set before the node starts: the start reads the snapshot."""
        self.control.snapshot_writer = writer

    # ---- configuration

    def _apply_limits(self, config: Config) -> None:
        """Divide memory and descriptors between buffers, front and backend. Paired processes share them."""
        limits = full_limits(config) if self.replacement is None else self.replacement.limits(config)
        self.budget.limit = limits.buffered_bytes
        self.front.reserved_bytes = limits.reserved_bytes
        if self.memory_guard is not None:
            self.memory_guard.configure(limits.memory_bytes)
        self.front.max_clients = limits.client_connections
        self.pool.configure(
            limits.upstream_connections,
            config.idle_timeout_ms,
            config.connect_timeout_ms,
            config.report_names,
        )

    def reconfigure(self, config: Config) -> None:
        """Apply a new configuration while serving.

        Requests in flight continue, and the current list stays until the next one arrives. Changes of the
        client address, of the seed and of the list mode (pushed or polled) require a restart.
        """
        self._apply_limits(config)
        self.control.reconfigure(config)

    # ---- start

    async def start(self) -> None:
        """Take over from the predecessor, wait for the list, and listen.

        Raises ConfigError if the configuration is invalid, and OSError if an address can't be bound now.
        After an OSError, start may be called again.
        """
        try:
            known = read_listing(self.config.known)
        except ValueError as error:
            raise ConfigError(f"known: {error}") from None
        if self.config.admin is not None and self.operations.listener is None:
            self._listen_for_operators(self.config.admin)
        if not self._begun:
            await self._begin(known)
        if self.shutting_down:
            return
        self.front.listen(
            self.config.listen, self.loop, self.config.admin is not None, self._inherited_listener
        )
        self._listening = True
        if self.handover is not None:
            self.handover.announce_serving()
        self.housekeeping.schedule_summary()
        self.engine.start()
        self.housekeeping.schedule_sweep()

    def _listen_for_operators(self, address: tuple[str, int]) -> None:
        try:
            self.operations.listen(address, self.loop)
        except OSError as error:
            if is_transient(error):
                raise
            raise ConfigError(f"admin_addr: {address[0]}:{address[1]}: {error}") from None

    async def _begin(self, known: Listing) -> None:
        """Inherit the predecessor's state and wait for the list, before any request can arrive.

        The agent considers the balancer notified of its list from the process's start on, and clients of the
        predecessor connect as soon as the address listens. The last known list may contain servers that have
        begun to drain since.
        """
        self._begun = True
        inherited = None
        if self.replacement is not None:
            self._inherited_listener, inherited = await self.replacement.inherit()
        if inherited is None:
            self.control.begin(known)
        else:
            if inherited.discovery_answered:
                self.list_due_at = self.clock.now()
            self.control.begin(inherited.listing, inherited.version, inherited.memory, inherited.starts)
        # Connections in the queue of an inherited listener count as accepted and can't wait for the list. The
        # predecessor served with the same list.
        if not self.control.polls_list and self._inherited_listener is None:
            wait_s = max(0.0, self.list_due_at - self.clock.now())
            self.clock.call_later(wait_s, self.first_list_adopted.set)
            await self.first_list_adopted.wait()

    def ready(self) -> bool:
        """Return whether requests can be served.

        They can if the address listens, the list has arrived or is overdue, and an upstream is ready.
        """
        if self.shutting_down or not self._listening:
            return False
        list_late = self.clock.now() >= self.list_due_at
        list_settled = self.watch.ever_answered or self.control.polls_list or list_late
        return list_settled and any(upstream.ready for upstream in self.pool.upstreams.values())

    # ---- end

    def terminate(self) -> None:
        """Handle SIGTERM: shut down gracefully, with a handover if there is a successor.

        `finished` is set at the end.
        """
        if self.shutting_down:
            return
        self.shutting_down = True
        self.first_list_adopted.set()
        self.shutdown.begin()
        if self.handover is None:
            self.shutdown.drain()
        else:
            self.handover.terminate()

    def exit_deadline(self) -> float:
        """Return the time by which a process that shuts down has to exit, in seconds on its clock."""
        return self.shutdown.exit_deadline()

    def _finish(self) -> None:
        self.control.stop()
        self.operations.stop()
        if self.handover is not None:
            self.handover.stop()
        if not self.finished.done():
            self.finished.set_result(None)

    # ---- calls by operators

    def set_maintenance(self, name: str, in_maintenance: bool) -> bool:
        """Put an upstream into maintenance or return it to service; False if there is no such upstream."""
        balancer = self.engine.balancer
        if name not in balancer.servers and name not in balancer.in_maintenance:
            return False
        self.control.set_maintenance(name, in_maintenance)
        if self.handover is not None:
            self.handover.publish_maintenance(name, in_maintenance, balancer.in_maintenance)
        return True

    def metrics_page(self, prefix: str) -> str:
        """Return the metrics page. prefix: prefix of each metric's name."""
        balancer = self.engine.balancer
        gauges = (
            ("in_flight", len(self.engine.pending_requests) + self.front.pipelined_count()),
            ("upstreams_known", len(balancer.servers)),
            ("upstreams_excluded", balancer.endpoints.excluded_count()),
        )
        return self.engine.request_counters.format_page(prefix, self.engine.classes, gauges)


def is_transient(error: OSError) -> bool:
    """Return whether a bind that failed with this error may succeed on a retry."""
    return error.errno == errno.EADDRINUSE or is_exhausted(error)


async def start_listening(node: Node) -> None:
    """Start the node; retry while a predecessor holds the address or descriptors or memory are exhausted.

    Raises ConfigError if an address can't be bound within BIND_TIMEOUT_S.
    """
    give_up_at = node.clock.now() + BIND_TIMEOUT_S
    while True:
        try:
            return await node.start()
        except OSError as error:
            if not is_transient(error) or node.clock.now() > give_up_at:
                raise _address_error(node, error) from None
            await asyncio.sleep(BIND_RETRY_S)


def _address_error(node: Node, error: OSError) -> ConfigError:
    """Return an error with the configuration key of the address that could not be bound, and the reason."""
    key, (host, port) = "listen", node.config.listen
    if node.config.admin is not None and node.operations.listener is None:
        key, (host, port) = "admin_addr", node.config.admin
    return ConfigError(f"{key}: {host}:{port}: {error}")
