"""One balancer put together: its control side, and the HTTP/1.1 front and backend."""

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
from quartzford.protocols.socketerrors import is_exhausted
from quartzford.resource_limits import full_limits
from quartzford.settings.configuration import Config, ConfigError

if TYPE_CHECKING:
    from quartzford.membership.snapshot_writer import SnapshotWriter
    from quartzford.replaceable_node import ReplaceableNode
    from quartzford.replacement.handover import Handover

FIRST_LIST_TIMEOUT_S = 1.0  # the address listens after so long even if no list has come
BIND_TIMEOUT_S = 5.0  # the predecessor may still hold the address
BIND_RETRY_S = 0.05


class Node:
    """One balancer on sockets: start, reload and end of its parts."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        subset: Subset | None = None,
        folder: str = "",
        lists_per_s: float = DEFAULT_LISTS_PER_S,
        relays: Sequence[Address] = (),
    ) -> None:
        """folder: where this process and its successor find each other; "": they don't.

        lists_per_s: calls per second that a list service of the fleet answers. relays: polled in its place.
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
        self.housekeeping = Housekeeping(self.engine, self.front, self.pool, self.budget, clock, self.log)
        self.shutting_down = False
        self.replacement = self._make_replaceable(folder) if folder else None
        self._apply_limits(config)
        self.finished = loop.create_future()
        self.list_due_at = clock.now() + FIRST_LIST_TIMEOUT_S  # requests wait no longer for the first list
        self._begun = False
        self._listening = False  # the address takes clients, of this process or of its predecessor
        self._listener: socket.socket | None = None  # the predecessor's

    def _make_replaceable(self, folder: str) -> ReplaceableNode:
        # Only here: what is needed for it costs other runs nothing.
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
        """The configuration in force."""
        return self.control.config

    @property
    def handover(self) -> Handover | None:
        """The handovers from the predecessor and to a successor, where there can be any."""
        return self.replacement.handover if self.replacement is not None else None

    @property
    def subset(self) -> Subset | None:
        """Which upstreams of the list are used, where not all are."""
        return self.control.subset

    @subset.setter
    def subset(self, subset: Subset | None) -> None:
        """Use another subset, from the next list on."""
        self.control.subset = subset

    @property
    def snapshot_writer(self) -> SnapshotWriter | None:
        """Keeps the last list on a lasting disk."""
        return self.control.snapshot_writer

    @snapshot_writer.setter
    def snapshot_writer(self, writer: SnapshotWriter | None) -> None:
        """Set before the node starts: a start reads what was kept."""
        self.control.snapshot_writer = writer

    # ---- configuration

    def _apply_limits(self, config: Config) -> None:
        """Divide memory and descriptors between the parts, alone or with a paired process."""
        limits = full_limits(config) if self.replacement is None else self.replacement.limits(config)
        self.budget.limit = limits.buffered_bytes
        self.front.max_clients = limits.client_connections
        self.pool.configure(
            limits.upstream_connections,
            config.idle_timeout_ms,
            config.connect_timeout_ms,
            config.report_names,
        )

    def reconfigure(self, config: Config) -> None:
        """A new configuration, under load: what is in flight goes on, the list held stays until the next one.

        The address for clients, the seed and the way to discovery (pushed or polled) take a restart.
        """
        self._apply_limits(config)
        self.control.reconfigure(config)

    # ---- start

    async def start(self) -> None:
        """Take over from the predecessor, wait for the list, and listen.

        ConfigError where the configuration can't be used; OSError where an address can't be had now: then
        start may be called again.
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
        self.front.listen(self.config.listen, self.loop, self.config.admin is not None, self._listener)
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
        """Take over what there is, and wait for the list, before a request can come.

        The agent counts the balancer as notified of its list from the process's start on, and clients that
        knew the predecessor come as soon as the address listens: the list as last known may name servers that
        drain since.
        """
        self._begun = True
        inherited = None
        if self.replacement is not None:
            self._listener, inherited = await self.replacement.inherit()
        if inherited is None:
            self.control.begin(known)
        else:
            if inherited.discovery_answered:
                self.list_due_at = self.clock.now()
            self.control.begin(inherited.listing, inherited.version, inherited.memory, inherited.starts)
        # Requests in the queue of an inherited listener count as accepted: they can't wait, and the
        # predecessor served by the same list.
        if not self.control.polls_list and self._listener is None:
            wait_s = max(0.0, self.list_due_at - self.clock.now())
            self.clock.call_later(wait_s, self.first_list_adopted.set)
            await self.first_list_adopted.wait()

    def ready(self) -> bool:
        """Requests can be served: the address listens, the list has come or is late, an upstream is ready."""
        if self.shutting_down or not self._listening:
            return False
        list_late = self.clock.now() >= self.list_due_at
        list_settled = self.watch.ever_answered or self.control.polls_list or list_late
        return list_settled and any(upstream.ready for upstream in self.pool.upstreams.values())

    # ---- end

    def terminate(self) -> None:
        """SIGTERM: shut down gracefully, to a successor if there is one. `finished` is set at the end."""
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
        """When a process that shuts down has to have done everything, in seconds of its clock."""
        return self.shutdown.exit_deadline()

    def _finish(self) -> None:
        self.control.stop()
        self.operations.stop()
        if self.handover is not None:
            self.handover.stop()
        if not self.finished.done():
            self.finished.set_result(None)

    # ---- operators' calls

    def set_maintenance(self, name: str, out: bool) -> bool:
        """Take an upstream out for maintenance, or put it back; False: no such upstream."""
        balancer = self.engine.balancer
        if name not in balancer.servers and name not in balancer.in_maintenance:
            return False
        self.control.set_maintenance(name, out)
        if self.handover is not None:
            self.handover.publish_maintenance(name, out, balancer.in_maintenance)
        return True

    def metrics_page(self, prefix: str) -> str:
        """The page of metrics. prefix: of each metric's name."""
        balancer = self.engine.balancer
        gauges = (
            ("in_flight", len(self.engine.pending_requests) + self.front.pipelined_count()),
            ("upstreams_known", len(balancer.servers)),
            ("upstreams_excluded", balancer.endpoints.excluded_count()),
        )
        return self.engine.request_counters.format_page(prefix, self.engine.classes, gauges)


def is_transient(error: OSError) -> bool:
    """Whether an address that can't be had now may be had soon."""
    return error.errno == errno.EADDRINUSE or is_exhausted(error)


async def start_listening(node: Node) -> None:
    """Start, and wait for an address that the predecessor still holds, for descriptors and for memory.

    ConfigError where an address can't be had in time.
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
    """The key of the address that could not be had, and the reason."""
    key, (host, port) = "listen", node.config.listen
    if node.config.admin is not None and node.operations.listener is None:
        key, (host, port) = "admin_addr", node.config.admin
    return ConfigError(f"{key}: {host}:{port}: {error}")
