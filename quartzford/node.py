"""One balancer put together: its control side, and the HTTP/1.1 front and backend."""

from __future__ import annotations

import asyncio
import errno
import math
import socket
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from quartzford.backends.http_backend import HttpBackend
from quartzford.control import LISTS_PER_S as LISTS_PER_S
from quartzford.control import InheritedStarts, assemble
from quartzford.decision import interface as io
from quartzford.decision.memory import rebase
from quartzford.engine import Budget, LoopClock, StderrLog
from quartzford.fronts.http1 import HttpFront
from quartzford.fronts.operations import OperationsFront
from quartzford.membership.addresses import Address
from quartzford.membership.listing import Listing, read_listing
from quartzford.membership.subset import Subset
from quartzford.protocols.socketerrors import is_exhausted
from quartzford.settings.configuration import Config, ConfigError

if TYPE_CHECKING:
    from quartzford.membership.snapshot_writer import SnapshotWriter
    from quartzford.replacement.handover import Handover
    from quartzford.replacement.replaceable import HandoverOffer
    from quartzford.replacement.state import BalancerState

BASE_BYTES = 56 * 1024 * 1024  # the interpreter, the module and what sockets cost
PAIR_BYTES = 30 * 1024 * 1024  # of each process while there are two: the interpreter without headroom
BASE_DESCRIPTORS = 48
CLIENT_SHARE = 0.5  # a request open at a client needs a descriptor upstream too, and may hold a third here
SWEEP_S = 0.25
LISTED_S = 1.0
NEW_CLIENTS_S = 0.6
# The platform kills no sooner after SIGTERM than the longest deadline, MOST_DEADLINE_S at most, and a margin.
MOST_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7
# So long before that, each early enough for a loop that is held up for 0.15 s just then:
ANSWER_S = 0.35  # all that is owed gets its final answer, and so does at once what still comes
REJECT_S = 0.25  # nothing more is read as a request: what has come by half is rejected
EXIT_S = 0.2  # the process exits
LAST_TURN_S = 0.02  # after a hold-up, timers are due ahead of what has come meanwhile
SUMMARY_S = 10.0
PASS_S = 0.02

BIND_S = 5.0  # the address may still be held by the process that went before


class Node:
    """One balancer on sockets: start, reload, housekeeping and end of its parts."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        subset: Subset | None = None,
        folder: str = "",
        lists_per_s: float = LISTS_PER_S,
        relays: Sequence[Address] = (),
    ) -> None:
        """folder: where this process and its successor find each other; "": they don't.

        lists_per_s: calls a second that a list service answers which a whole fleet asks.
        relays: are asked in its place.
        """
        self.loop = loop
        self.clock = clock = LoopClock(loop)
        self.log = StderrLog(clock.now)
        self.budget = Budget(0)
        self.control = control = assemble(config, loop, clock, self.log, subset, lists_per_s, relays)
        self.engine, self.watch = control.engine, control.watch
        self.registry, self.pending = control.registry, control.pending
        self.first_list_adopted = control.first_list_adopted
        self.pool = HttpBackend(self.engine, self.budget, clock, loop)
        self.followers = control.followers
        self.followers.append(self.pool)
        self.operations = OperationsFront(self, clock)
        self.front = HttpFront(self.engine, self.pool, self.budget, clock, self.ready)
        self.ending = False
        self.predecessor_busy_clients = 0
        self.counted: Counter[str] = Counter()  # by the last summary
        self.handover: Handover | None = None
        if folder:
            # Only here: what is needed for it costs other runs nothing.
            from quartzford.replacement.handover import Handover
            from quartzford.replacement.unix_socket import balancer_path

            path = balancer_path(str(Path(folder).resolve()), config.name, config.listen)
            self.handover = Handover(self, path, clock, self.log, loop)
        self._configure(config)
        self.draining_since = math.inf
        self.finished = loop.create_future()
        self.ready_at = clock.now() + LISTED_S
        self._begun = False
        self._listened = False  # the address takes clients, of this process or of the one before
        self._listener: socket.socket | None = None  # the process before's
        self._memory: io.LearnedState | None = None  # the process before's, until the list is adopted
        self._version: int | None = None  # of its list, where it may be followed from there
        self._inherited_starts: InheritedStarts | None = None  # of the upstreams of its list

    @property
    def config(self) -> Config:
        """The configuration in force."""
        return self.control.config

    @property
    def subset(self) -> Subset | None:
        """Which upstreams of the list are used, where not all are."""
        return self.control.subset

    @subset.setter
    def subset(self, subset: Subset | None) -> None:
        self.control.subset = subset

    @property
    def snapshot_writer(self) -> SnapshotWriter | None:
        """Keeps the last list on a lasting disk."""
        return self.control.snapshot_writer

    @snapshot_writer.setter
    def snapshot_writer(self, writer: SnapshotWriter | None) -> None:
        self.control.snapshot_writer = writer

    # ---- start and end

    def _configure(self, config: Config) -> None:
        spare = max(16, config.descriptors - BASE_DESCRIPTORS)
        clients = int(CLIENT_SHARE * spare)
        upstream = spare - clients
        if self.handover is not None and self.handover.paired:  # two processes share the bounds
            self.budget.limit = max(4 * 1024 * 1024, config.memory_bytes // 2 - PAIR_BYTES)
            clients, upstream = max(8, clients - self.predecessor_busy_clients), max(8, upstream // 2)
        else:
            self.budget.limit = max(8 * 1024 * 1024, config.memory_bytes - BASE_BYTES)
        self.front.max_clients = clients
        self.pool.configure(upstream, config.idle_ms, config.connect_ms, config.report_names)

    def reconfigure(self, config: Config) -> None:
        """A new configuration, under load: what is in flight goes on, the list held stays until the next one.

        The address for clients, the seed and the way to discovery (pushed or asked) take a restart.
        """
        self._configure(config)
        self.control.reconfigure(config)

    async def start(self) -> None:
        try:
            known = read_listing(self.config.known)
        except ValueError as error:
            raise ConfigError(f"known: {error}") from None
        if self.config.admin is not None and self.operations.listener is None:
            self._listen_for_operators(self.config.admin)
        if not self._begun:
            await self._begin(known)
        if self.ending:
            return
        self.front.listen(self.config.listen, self.loop, self.config.admin is not None, self._listener)
        self._listened = True
        if self.handover is not None:
            self.handover.announce_serving()
        self.clock.call_later(SUMMARY_S, self._summary)
        self.engine.start()
        self.clock.call_later(SWEEP_S, self._sweep)

    async def _begin(self, known: Listing) -> None:
        """Take over what there is, and wait for the list, before a request can come.

        What the agent holds counts as told from the process's start on, and clients that knew the process
        before come as soon as the address listens: the list as last had may name servers that drain since.
        """
        self._begun = True
        if self.handover is not None:
            known, self._listener = await self._inherit(self.handover, known)
        self.control.begin(known, self._version, self._memory, self._inherited_starts)
        self._memory = self._inherited_starts = None
        # Requests in the queue of a listener that stands count as taken: they can't wait, and the process
        # before served by the same list.
        if not self.control.asked and self._listener is None:
            self.clock.call_later(max(0.0, self.ready_at - self.clock.now()), self.first_list_adopted.set)
            await self.first_list_adopted.wait()

    def ready(self) -> bool:
        """Requests can be served: the address listens, the list has come or is late, an upstream is ready."""
        if self.ending or not self._listened:
            return False
        list_settled = self.watch.ever_answered or self.control.asked or self.clock.now() >= self.ready_at
        return list_settled and any(u.ready for u in self.pool.upstreams.values())

    def terminate(self) -> None:
        if self.ending:
            return
        self.ending = True
        self.first_list_adopted.set()
        self.draining_since = self.clock.now()
        if self.handover is None:
            self.drain()
        else:
            self.handover.terminate()

    def drain(self) -> None:
        """End with no successor: new connections go on coming for a moment."""
        self.front.draining = True
        listen_until = min(self.draining_since + NEW_CLIENTS_S, self._killed_at() - ANSWER_S)
        self.clock.call_later(max(0.0, listen_until - self.clock.now()), self._accept_last)

    def _accept_last(self) -> None:
        """To close the listener would reset what waits in its queue: that is accepted first."""
        self.clock.call_later(LAST_TURN_S, self._stop_listening)

    def _stop_listening(self) -> None:
        if self.front.draining:  # else a successor has come meanwhile
            self.front.stop_listening()
            self._end_when_quiet()

    def _killed_at(self) -> float:
        """The platform's SIGKILL comes no sooner."""
        deadline_s = min(MOST_DEADLINE_S, self.engine.longest_ms / 1000.0)
        return self.draining_since + deadline_s + KILL_MARGIN_S

    def exit_by(self) -> float:
        """Until when a process told to end has to have done all, in seconds of its clock."""
        return self._killed_at() - EXIT_S

    def _end_when_quiet(self) -> None:
        if self.front.draining:
            self.front.close_idle()
        quiet = self.front.empty() and not self.front.accepting  # taken back, more may come for a moment
        if quiet or self._last_steps():
            return self._finish()
        self.clock.call_later(LAST_TURN_S, self._end_when_quiet)

    def _last_steps(self) -> bool:
        """Whether the process has to exit. One step each time: what comes in between is read and answered."""
        left = self._killed_at() - self.clock.now()
        if not self.engine.balancer.shutting_down:
            if left <= ANSWER_S:
                self.engine.shut_down()
            return False
        if not self.front.rejecting:
            if left <= REJECT_S:
                self.front.reject_unfinished()
            return False
        return left <= EXIT_S

    def _finish(self) -> None:
        self.control.stop()
        self.operations.stop()
        if self.handover is not None:
            self.handover.stop()
        if not self.finished.done():
            self.finished.set_result(None)

    # ---- a process that follows this one, or went before

    async def _inherit(self, handover: Handover, known: Listing) -> tuple[Listing, socket.socket | None]:
        """The list and the listener of the process before, if it gives them; who is out is also on file."""
        given = await handover.request_handover()
        names = on_file = set(handover.maintenance_on_file())
        state = given.state if given is not None else None
        if state is not None:
            try:
                known = read_listing(state.listing)
                self.predecessor_busy_clients = max(0, state.busy_clients)
                # Another discovery counts its versions anew: changes since ours would leave out what differs.
                same = state.discovery == list(self.config.discovery)
                self._version = state.version if same else None
                self._take_over_times(state, same)
                names = set(state.memory.by_hand)
                if state.discovery_answered:
                    self.ready_at = self.clock.now()
            except ValueError as error:
                self.log.line("replacement", f"the list handed over can't be read: {error}")
        for name in names:
            self.engine.feed(io.MaintenanceChange(name, True))
        if names != on_file:  # the process before could not write its file
            handover.maintenance_file.save(self.engine.balancer.in_maintenance)
        if given is None:
            return known, None
        self._configure(self.config)
        return known, given.listener

    def _take_over_times(self, state: BalancerState, same_discovery: bool) -> None:
        """What the predecessor knew, its moments moved to this process's scale by the monotonic clock."""
        if state.anchor_ms is None:  # of an earlier version, which took the two scales for one
            self._memory = state.memory
            return
        by_ms = self._anchor_ms() - state.anchor_ms
        self._memory = rebase(state.memory, by_ms)
        known_ms = -math.inf
        if state.list_known_ms is not None and same_discovery:
            known_ms = state.list_known_ms + by_ms
        starts = {name: started_ms + by_ms for name, started_ms in state.start_times_ms.items()}
        self._inherited_starts = InheritedStarts(known_ms, starts)

    def _anchor_ms(self) -> float:
        """The engine's scale less the monotonic clock, in milliseconds."""
        return self.clock.unix_ms() - self.clock.now() * 1000.0

    def release_listener(self) -> HandoverOffer | None:
        """Accept no connection from now on; None where the listener is closed already."""
        from quartzford.replacement.replaceable import HandoverOffer
        from quartzford.replacement.state import STATE_FORMAT, BalancerState

        listener = self.front.stop_accepting()
        if listener is None:
            return None
        self.front.draining = False  # what rests is handed over, not closed
        self._configure(self.config)
        busy = sum(not client.idle() for client in self.front.clients)
        memory = self.engine.hand_over()
        listed_ms = self.control.list_known_ms()
        warm_before_ms = self.clock.unix_ms() - self.config.settings.rules.slow_start_ms
        state = BalancerState(
            STATE_FORMAT,
            self.registry.table(),
            self.watch.version,
            list(self.config.discovery),
            self.watch.ever_answered,
            busy,
            memory,
            self._anchor_ms(),
            listed_ms if math.isfinite(listed_ms) else None,
            self.control.start_times.after(warm_before_ms),
        )
        return HandoverOffer(listener, state)

    def resume_serving(self) -> None:
        """Accept connections again: the successor is lost."""
        self.use_full_limits()
        self.engine.take_back()
        self.front.resume()

    def transfer_clients(self, transfer: Callable[[int], bool] | None) -> None:
        """Give each idle client connection to the successor, now and from now on; None: no longer."""
        self.front.transfer_to_successor = transfer
        if transfer is not None:
            self.pool.close_idle()
            self._pass_on()

    def _pass_on(self) -> None:
        if self.front.transfer_to_successor is not None:
            self.front.offer_all()
            self.clock.call_later(PASS_S, self._pass_on)

    def drain_to_successor(self) -> None:
        """Shut down with a successor: answer what is open, exit once no client is left."""
        self._end_when_quiet()

    def adopt_client(self, sock: socket.socket) -> None:
        """Serve an idle client connection of the predecessor."""
        self.loop.create_task(self.front.adopt(sock))

    def apply_maintenance(self, endpoint: str, in_maintenance: bool) -> None:
        """An endpoint was taken out at the other process, or put back."""
        self.control.by_hand(endpoint, in_maintenance)

    def use_full_limits(self) -> None:
        """Use memory and descriptors in full: the predecessor is gone."""
        self.predecessor_busy_clients = 0
        self._configure(self.config)

    # ---- what operators ask and set

    def by_hand(self, name: str, out: bool) -> bool:
        balancer = self.engine.balancer
        if name not in balancer.servers and name not in balancer.in_maintenance:
            return False
        self.control.by_hand(name, out)
        if self.handover is not None:
            self.handover.publish_maintenance(name, out, balancer.in_maintenance)
        return True

    def figures(self, prefix: str) -> str:
        balancer, engine = self.engine.balancer, self.engine
        gauges = (
            ("in_flight", len(engine.pending_requests) + self.front.waiting()),
            ("upstreams_known", len(balancer.servers)),
            ("upstreams_excluded", balancer.endpoints.excluded_count()),
        )
        return engine.request_counters.page(prefix, engine.classes, gauges)

    # ---- housekeeping

    def _summary(self) -> None:
        """One line in a while on what went on."""
        counts = self.engine.counts
        since, self.counted = counts - self.counted, counts.copy()
        said = [f"{name} {count}" for name, count in sorted(since.items())]
        held = f"clients {len(self.front.clients)}, upstream connections {len(self.pool.connections)}"
        self.log.line("summary", ", ".join([*said, held, f"buffered {self.budget.used}"]))
        self.clock.call_later(SUMMARY_S, self._summary)

    def _sweep(self) -> None:
        try:
            self.pool.sweep()
            self.front.sweep()
        except Exception:
            self.log.exception("sweep")
        self.clock.call_later(SWEEP_S, self._sweep)

    def _listen_for_operators(self, address: tuple[str, int]) -> None:
        try:
            self.operations.listen(address, self.loop)
        except OSError as error:
            if passes(error):
                raise
            raise ConfigError(f"admin_addr: {address[0]}:{address[1]}: {error}") from None


def passes(error: OSError) -> bool:
    """An address that can't be had now may be had soon."""
    return error.errno == errno.EADDRINUSE or is_exhausted(error)


async def start_listening(node: Node) -> None:
    """Start, and wait for an address that the process before still holds, for descriptors and for memory."""
    give_up = node.clock.now() + BIND_S
    while True:
        try:
            return await node.start()
        except OSError as error:
            if not passes(error) or node.clock.now() > give_up:
                admin = node.config.admin if node.operations.listener is None else None
                key, (host, port) = ("admin_addr", admin) if admin else ("listen", node.config.listen)
                raise ConfigError(f"{key}: {host}:{port}: {error}") from None
            await asyncio.sleep(0.05)
