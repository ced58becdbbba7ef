"""The control side of a balancer: decision module, endpoint list, and the watch that updates the list.

`assemble` creates one, for a `Node` with fronts and backends or for a process without client traffic.
Components that make attempts, such as backends, receive the list as `followers`.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple, Protocol

from quartzford.decision import interface as io
from quartzford.engine import Clock, Engine, Log
from quartzford.membership.address_owners import AddressOwners
from quartzford.membership.addresses import Address, Addresses, RelayAddresses, SingleAddress
from quartzford.membership.call_policy import (
    AgentCallPolicy,
    CallPolicy,
    SharedServiceCallPolicy,
    seeded_random,
)
from quartzford.membership.list_chunks import ListingQueue
from quartzford.membership.list_watch import ListWatch
from quartzford.membership.listing import Listing
from quartzford.membership.registry import Registry
from quartzford.membership.start_times import StartTimes
from quartzford.membership.subset import Subset
from quartzford.settings.configuration import Config

if TYPE_CHECKING:
    from quartzford.membership.snapshot_writer import SnapshotWriter, StoredList

DEFAULT_LISTS_PER_S = 50.0  # assumed capacity of a list service if no operator sets it


class Follower(Protocol):
    """A component that makes attempts, such as a backend. It receives each list before the engine does."""

    def listed(self, listing: Listing) -> None:
        """Apply a list or its changes, with endpoints in maintenance masked."""


class InheritedStarts(NamedTuple):
    """The upstream start times that the predecessor recorded, in milliseconds on this engine's clock.

    known_ms: when the list was last confirmed by the list service; minus infinity if never.
    starts: start times of recently started incarnations, by upstream name.
    """

    known_ms: float
    starts: dict[str, float]


class ControlSide:
    """A balancer's decision module and endpoint list, updated by a watch. `assemble` creates it."""

    watch: ListWatch

    def __init__(
        self,
        config: Config,
        engine: Engine,
        loop: asyncio.AbstractEventLoop,
        subset: Subset | None,
        lists_per_s: float,
    ) -> None:
        self.config = config
        self.engine = engine
        self.loop = loop
        self.subset = subset
        self.clock = engine.clock
        self.log = engine.log
        self.lists_per_s = lists_per_s
        # True: the list is polled from a service of the whole fleet. False: an agent pushes it.
        self.polls_list = config.settings.polls_list
        self.followers: list[Follower] = []
        self.pending = ListingQueue()
        self.registry = Registry()
        self.address_owners = AddressOwners()
        self.start_times = StartTimes()
        self._inherited_known_ms = -math.inf  # last confirmation of the list, by the predecessor
        self.first_list_adopted = asyncio.Event()  # the first list or changes have been applied
        self.snapshot_writer: SnapshotWriter | None = None  # None without a persistent disk
        # The snapshot's list while its upstreams are presumed to have just started; None otherwise.
        self._snapshot_listing: Listing | None = None

    def call_policy(self, relays: Sequence[Address]) -> tuple[CallPolicy, Addresses]:
        """Return the policy that schedules calls for the list, and the addresses to call.

        relays: addresses that are called instead of the list service.
        """
        settings = self.config.settings
        service = SingleAddress(lambda: self.config.discovery)
        if not self.polls_list:
            agent_random = random.Random(self.config.seed ^ 1)
            return AgentCallPolicy(agent_random, settings.rules.drain_grace_ms / 1000.0), service
        if not relays:
            return SharedServiceCallPolicy(*self._shared_service()), service
        # Imported here because the platform's run has no relays.
        from quartzford.membership.relay_call_policy import RelayCallPolicy

        addresses = RelayAddresses(self.config.name, relays, service.address)
        return RelayCallPolicy(addresses, *self._shared_service()), addresses

    def _shared_service(self) -> tuple[int, float, float, random.Random, Callable[[], float]]:
        """Return the arguments of a call policy for a list service that the whole fleet polls."""
        settings = self.config.settings
        host, port = self.config.listen
        own_random = seeded_random(self.config.name, f"{host}:{port}", self.config.seed)
        max_delay_s = settings.rules.poll_interval_ms / 1000.0
        return settings.balancers, self.lists_per_s, max_delay_s, own_random, self.clock.now

    # ---- start, reload, end

    def begin(
        self,
        known: Listing,
        version: int | None = None,
        learned: io.LearnedState | None = None,
        inherited: InheritedStarts | None = None,
    ) -> None:
        """Apply the initial list and start the watch.

        known: the initial list; a snapshot that is not older replaces it.
        version: with `learned`, the list version after which the watch may request changes.
        learned: the learned state of a predecessor that had this list.
        inherited: the upstream start times that the predecessor recorded.
        """
        stored = self._newer_snapshot(known)
        if stored is not None:
            known = stored.listing
        self._date_first_list(known, stored is not None and stored.cold, inherited)
        self._apply(self._in_subset(known), "stale")
        if learned is None:
            self.watch.version = known.version
        else:
            self.watch.version = version
            self.engine.inherit(learned)
        self.watch.start()

    def _newer_snapshot(self, known: Listing) -> StoredList | None:
        """Return the snapshot's list; None if there is none or it is older than the configuration's list."""
        if self.snapshot_writer is None:
            return None
        self.snapshot_writer.refresh_age()
        stored = self.snapshot_writer.read()
        if stored is None or (known.entries and stored.listing.version < known.version):
            return None
        return stored

    def _date_first_list(self, known: Listing, cold: bool, inherited: InheritedStarts | None) -> None:
        """Set the start times of the initial list's upstreams. cold: they may have started just now."""
        now_ms = self.clock.unix_ms()
        if inherited is not None:
            self._inherited_known_ms = min(inherited.known_ms, now_ms)
            self.start_times.inherit(known, inherited.starts, now_ms)
        elif cold:
            self._snapshot_listing = known
            self.start_times.presume_started(known, now_ms)
        else:
            self.start_times.date_initial_list(known, now_ms)

    def list_known_ms(self) -> float:
        """Return when the list service last confirmed the list, in milliseconds on the engine's clock.

        Each line received on a watch confirms the list, including an empty line. Minus infinity if there was
        none.
        """
        since_line_ms = (self.clock.now() - self.watch.last_line_at) * 1000.0
        return max(self.clock.unix_ms() - since_line_ms, self._inherited_known_ms)

    def reconfigure(self, config: Config) -> None:
        """Apply a new configuration. Requests in flight continue; the list stays until the next one."""
        source_changed = config.discovery != self.config.discovery
        self.config = config
        self.engine.reconfigure(config.settings)
        if isinstance(self.watch.policy, SharedServiceCallPolicy):
            max_delay_s = config.settings.rules.poll_interval_ms / 1000.0
            self.watch.policy.configure(config.settings.balancers, self.lists_per_s, max_delay_s)
        elif isinstance(self.watch.policy, AgentCallPolicy):
            self.watch.policy.configure(config.settings.rules.drain_grace_ms / 1000.0)
        if source_changed:
            self.start_times.note_source_change()
            self.watch.follow_address()

    def stop(self) -> None:
        """Stop the calls for the list and the writes of its snapshot."""
        self.watch.stop()
        if self.snapshot_writer is not None:
            self.snapshot_writer.stop()

    # ---- updates from the watch

    def listed(self, listing: Listing) -> None:
        """Apply a short list at once, a long list in chunks, one chunk per iteration of the event loop."""
        in_progress = self.pending.has_chunks()
        snapshot_listing, self._snapshot_listing = self._snapshot_listing, None
        if snapshot_listing is not None and not listing.complete:
            # The service answered with changes relative to the snapshot's list, which confirms that list.
            self._enqueue(snapshot_listing)
        self._enqueue(listing)
        if not in_progress:
            self._apply_next_chunk()

    def _enqueue(self, listing: Listing) -> None:
        """Record the start times of a received listing, before the subset filters it, and queue it."""
        self.start_times.date_listing(listing, self.list_known_ms(), self.clock.unix_ms())
        self.pending.add(self._in_subset(listing))

    def _in_subset(self, listing: Listing) -> Listing:
        return listing if self.subset is None else self.subset.filter(listing)

    def _apply_next_chunk(self) -> None:
        chunk = self.pending.next_chunk(self.engine.balancer.servers)
        if chunk is None:
            return
        try:
            self._apply(chunk, "whole" if chunk.complete else "changes")
        finally:
            if self.pending.has_chunks():
                self.loop.call_soon(self._apply_next_chunk)
            else:
                self.first_list_adopted.set()
                if self.snapshot_writer is not None:
                    self.snapshot_writer.list_changed()

    def _apply(self, listing: Listing, kind: str) -> None:
        listing = self.address_owners.apply(listing)
        self.registry.apply(listing)
        masked = self.registry.mask_maintenance(listing, self.engine.balancer.in_maintenance)
        for follower in self.followers:
            follower.listed(masked)
        self.engine.endpoint_list_update(kind, listing.entries, self.start_times.starts_of(listing.entries))

    # ---- settings made by operators

    def set_maintenance(self, name: str, in_maintenance: bool) -> None:
        """Put an upstream into maintenance or return it to service; no effect if it already is."""
        if in_maintenance == (name in self.engine.balancer.in_maintenance):
            return
        self.engine.feed(io.MaintenanceChange(name, in_maintenance))
        for follower in self.followers:
            follower.listed(self.registry.row_changes(name, in_maintenance))
        self.log.line(
            "by hand", f"{name[:100]} {'in maintenance' if in_maintenance else 'returned to service'}"
        )


def assemble(
    config: Config,
    loop: asyncio.AbstractEventLoop,
    clock: Clock,
    log: Log,
    subset: Subset | None = None,
    lists_per_s: float = DEFAULT_LISTS_PER_S,
    relays: Sequence[Address] = (),
) -> ControlSide:
    """Return a complete control side that has not started: `begin` starts it.

    lists_per_s: calls per second that the fleet's list service can answer.
    relays: addresses that are called instead of the list service.
    """
    engine = Engine(config.settings, config.seed, clock, log)
    side = ControlSide(config, engine, loop, subset, lists_per_s)
    policy, addresses = side.call_policy(relays)
    side.watch = ListWatch(side, addresses, policy, clock, log, loop)
    engine.poll_list = side.watch.start
    return side
