"""The control side of a balancer: its decision module, its list, and the watch that keeps the list current.

`assemble` puts one together, for a `Node` with its fronts and backends as for a process that has no client
traffic at all. Whoever makes attempts follows the list by `followers`.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple, Protocol

from quartzford.decision import interface as io
from quartzford.engine import Clock, Engine, Log
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

DEFAULT_LISTS_PER_S = 50.0  # what a list service is taken to bear where no operator has said


class Follower(Protocol):
    """A backend: it gets each list before the engine does."""

    def listed(self, listing: Listing) -> None:
        """A list, or its changes, as whoever makes attempts is to see it."""


class InheritedStarts(NamedTuple):
    """What the predecessor knew of its list's starts, in milliseconds on this engine's clock.

    known_ms: when the list was last known to be the service's; starts: of young incarnations, by name.
    """

    known_ms: float
    starts: dict[str, float]


class ControlSide:
    """A balancer's decision module and endpoint list, kept current by a watch. Made by `assemble`."""

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
        self.polls_list = config.settings.polls_list  # one service for the fleet; else an agent's pushes
        self.followers: list[Follower] = []
        self.pending = ListingQueue()
        self.registry = Registry()
        self.start_times = StartTimes()
        self._inherited_known_ms = -math.inf  # when the predecessor last knew the list
        self.first_list_adopted = asyncio.Event()  # the first list or changes are in force
        self.snapshot_writer: SnapshotWriter | None = None  # of the last list, where there is a lasting disk
        # The snapshot's list, while its upstreams are presumed to have just started.
        self._snapshot_listing: Listing | None = None

    def call_policy(self, relays: Sequence[Address]) -> tuple[CallPolicy, Addresses]:
        """When calls for the list are made, and to whom. relays: called in the list service's place."""
        settings = self.config.settings
        service = SingleAddress(lambda: self.config.discovery)
        if not self.polls_list:
            agent_random = random.Random(self.config.seed ^ 1)
            return AgentCallPolicy(agent_random, settings.rules.drain_grace_ms / 1000.0), service
        if not relays:
            return SharedServiceCallPolicy(*self._shared_service()), service
        # Only here: the platform's run has no relays.
        from quartzford.membership.relay_call_policy import RelayCallPolicy

        addresses = RelayAddresses(self.config.name, relays, service.address)
        return RelayCallPolicy(addresses, *self._shared_service()), addresses

    def _shared_service(self) -> tuple[int, float, float, random.Random, Callable[[], float]]:
        """What a policy needs to know of a list service that all of the fleet poll."""
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
        """Apply what is known and follow the list from there.

        learned: by the predecessor, which had this list; changes may follow from this version.
        inherited: when its upstreams started, as that process dated them.
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
        """The snapshot's list, where there is one not older than what the configuration knows."""
        if self.snapshot_writer is None:
            return None
        self.snapshot_writer.refresh_age()
        stored = self.snapshot_writer.read()
        if stored is None or (known.entries and stored.listing.version < known.version):
            return None
        return stored

    def _date_first_list(self, known: Listing, cold: bool, inherited: InheritedStarts | None) -> None:
        """Date the list that this process begins with. cold: its upstreams may have started just now."""
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
        """When the list was last known to be the service's, on the engine's clock; minus infinity if never.

        Each line of a watch says so, also an empty one.
        """
        since_line_ms = (self.clock.now() - self.watch.last_line_at) * 1000.0
        return max(self.clock.unix_ms() - since_line_ms, self._inherited_known_ms)

    def reconfigure(self, config: Config) -> None:
        """A new configuration: what is in flight goes on, the list held stays until the next one."""
        moved = config.discovery != self.config.discovery
        self.config = config
        self.engine.reconfigure(config.settings)
        if isinstance(self.watch.policy, SharedServiceCallPolicy):
            max_delay_s = config.settings.rules.poll_interval_ms / 1000.0
            self.watch.policy.configure(config.settings.balancers, self.lists_per_s, max_delay_s)
        elif isinstance(self.watch.policy, AgentCallPolicy):
            self.watch.policy.configure(config.settings.rules.drain_grace_ms / 1000.0)
        if moved:
            self.start_times.note_source_change()
            self.watch.follow_address()

    def stop(self) -> None:
        """No more calls, and no more writes of the list."""
        self.watch.stop()
        if self.snapshot_writer is not None:
            self.snapshot_writer.stop()

    # ---- what the watch brings

    def listed(self, listing: Listing) -> None:
        """Apply a short list at once, a long one in chunks, one in each turn of the loop."""
        in_progress = self.pending.has_chunks()
        snapshot_listing, self._snapshot_listing = self._snapshot_listing, None
        if snapshot_listing is not None and not listing.complete:
            # The service has spoken: these are changes to the list as it was written.
            self._enqueue(snapshot_listing)
        self._enqueue(listing)
        if not in_progress:
            self._apply_next_chunk()

    def _enqueue(self, listing: Listing) -> None:
        """Date a line of the service, before it is reduced to the subset, and put it into the queue."""
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

    def _apply(self, listing: Listing, how: str) -> None:
        self.registry.apply(listing)
        masked = self.registry.mask_maintenance(listing, self.engine.balancer.in_maintenance)
        for follower in self.followers:
            follower.listed(masked)
        self.engine.endpoint_list_update(how, listing.entries, self.start_times.starts_of(listing.entries))

    # ---- what operators set

    def set_maintenance(self, name: str, out: bool) -> None:
        """An upstream is taken out by an operator, or put back; nothing if it is so already."""
        if out == (name in self.engine.balancer.in_maintenance):
            return
        self.engine.feed(io.MaintenanceChange(name, out))
        for follower in self.followers:
            follower.listed(self.registry.row_changes(name, out))
        self.log.line("by hand", f"{name[:100]} {'out' if out else 'back in use'}")


def assemble(
    config: Config,
    loop: asyncio.AbstractEventLoop,
    clock: Clock,
    log: Log,
    subset: Subset | None = None,
    lists_per_s: float = DEFAULT_LISTS_PER_S,
    relays: Sequence[Address] = (),
) -> ControlSide:
    """A control side, complete, that has not begun.

    lists_per_s: calls per second that a list service of the fleet answers. relays: are called in
    its place.
    """
    engine = Engine(config.settings, config.seed, clock, log)
    side = ControlSide(config, engine, loop, subset, lists_per_s)
    calls, addresses = side.call_policy(relays)
    side.watch = ListWatch(side, addresses, calls, clock, log, loop)
    engine.poll_list = side.watch.start
    return side
