"""Which servers a send may be drawn from: membership, outlier ejection, suspects, slow start, groups.

What is unusual of a server (ejected, shut, late, cold) is kept in small sets, so that a send looks at these
and at nothing else server by server; the fleet as a whole is the automaton's (automaton.py).
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from quartzford.decision import automaton
from quartzford.decision import interface as io
from quartzford.decision.automaton import Place, Query, Shares
from quartzford.decision.estimates import Deadlines, Rate
from quartzford.decision.workingset import WorkingSet

ZONE_PENALTY = 50.0
FAIL_WEIGHT = 0.4
EJECT_ABOVE = 0.35  # failing share that ejects, above what the whole fleet fails
EJECT_MS = 1_000.0  # first ejection at the least; doubles while the server goes on failing
EJECT_MAX_MS = 8_000.0
MIN_EXCUSED = 0.33  # so much of what is out goes on excusing others: an overload puts out an eighth at most
MAX_EJECTED_SHARE = 0.67  # of the ready servers, so that ejection never empties the fleet
PROVEN_MS = 2_000.0  # a cold server's own answers are counted over this
PROVEN_GROWTH = (
    2.0  # a cold server may get this multiple of what it answers well; at most half of what tips it
)
WORKING_SET_REFRESH_MS = 200.0  # how often it is looked at again which servers are in use
UNRESPONSIVE_MULTIPLE, UNRESPONSIVE_IN_FLIGHT = (
    2.0,
    3,
)  # suspect: nothing answered for so many usual latencies, with so many out


class OutstandingAttempt(NamedTuple):
    """An attempt that is out."""

    due: float  # past this, its server is suspect
    typical_latency: float  # its class's usual latency
    time_out: float
    kind: io.ServiceClass


AttemptKey = tuple[int, int]  # request and number


@dataclass(slots=True, eq=False)
class Server:
    """A server of the list, and what this balancer has seen of it. at: its slot while in use, else -1."""

    entry: io.Endpoint
    endpoints: EndpointSet
    slot: int = -1
    started_ms: float = 0.0  # when this incarnation started, on our clock; 0 for long ago
    cold_from: float = 0.0  # slow start counts from here; 0 for long ago
    failing: float = 0.0
    ejections: int = 0
    ejected_until: float = -math.inf
    tokens: float = 1.0  # slow-start budget
    tokens_ms: float = -math.inf
    proven: float = 0.0  # answers in good time while cold, fading over PROVEN_MS
    proven_ms: float = 0.0
    silent_from_ms: float = math.inf  # with nothing answered until then, it is suspect
    in_flight: dict[AttemptKey, OutstandingAttempt] = field(default_factory=dict)
    rejecting_until: dict[str, float] = field(default_factory=dict)  # classes turned away, and till when

    def _figure(self, column: Any, without: float) -> float:
        return float(column[self.slot]) if self.slot >= 0 else without

    @property
    def p(self) -> float:
        """Its share of P; 0 if it is not ready."""
        return self._figure(self.endpoints.shares.p, 0.0)

    @property
    def cost(self) -> float | None:
        shares = self.endpoints.shares
        return self._figure(shares.cost, 0.0) if shares.known and self.slot >= 0 else None


class EndpointSet:
    """The servers of the list, and the choice among those that are ready."""

    def __init__(self, settings: io.Settings, rng: random.Random, salt: int = 0) -> None:
        self.rng = rng
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []  # those in use, by slot
        self.working_set = WorkingSet(salt)
        self.refreshed_ms = -math.inf
        self.shares: Shares = automaton.PlainShares()
        self.layout = automaton.layout_for  # lists or arrays
        self.zones: dict[str, int] = {}
        self.unhealthy: dict[Server, None] = {}  # failing, ejected or shut; looked at again before it counts
        self.overdue: dict[Server, None] = {}  # its oldest attempt is past its due; the same
        self.unresponsive: dict[Server, None] = {}  # has answered nothing for long, with several attempts out
        self.oldest_due: Deadlines[tuple[Server, AttemptKey]] = Deadlines(
            self._is_oldest
        )  # oldest attempts by their due
        self.answers_due: Deadlines[tuple[Server, float]] = Deadlines(
            self._is_awaited
        )  # by when an answer is missed
        self.cold: dict[Server, None] = {}
        self.in_maintenance: set[str] = set()  # out until the operators say otherwise, whatever the list says
        self.handed_over = False  # a successor has the cold servers' budgets
        self.maintenance_ended: dict[str, float] = {}  # when what was out by hand came back
        self.total_units: float | None = None  # of all ready servers
        self.failing = 0.0  # sum over the ready servers
        self.arrivals, self.answers = Rate(), Rate()
        self.configure(settings)

    def configure(self, settings: io.Settings) -> None:
        self.settings, prices = settings, settings.prices
        self.zone_penalty = ZONE_PENALTY * (prices.cross_zone + prices.handshake + prices.connection)
        self.total_units = None
        for server in self.ready:
            self.shares.move(server.slot, self._place(server.entry))
            self.cold[server] = None

    def _place(self, entry: io.Endpoint) -> Place:
        zone_penalty = 0.0 if entry.zone == self.settings.zone else self.zone_penalty
        return Place(zone_penalty, self.zones.setdefault(entry.zone, len(self.zones)), entry.cell)

    # ---- the list

    def update(
        self, entries: tuple[io.Endpoint, ...], complete: bool, starts: Mapping[str, float] = io.NO_STARTS
    ) -> None:
        """Changes, or the complete list. starts: of incarnations, by server, on our clock."""
        self.shares = self.layout(self.shares, len(self.ready) + len(entries))
        self.shares.begin()
        self.total_units = None
        if complete:
            named = {entry.server for entry in entries}
            for name in [name for name in self.servers if name not in named]:
                self._remove(name)
        for entry in entries:
            self._apply_row(entry, starts.get(entry.server))
        self._choose()
        self._commit()
        self.shares = self.layout(self.shares, len(self.ready))

    def refresh_working_set(self, at_once: bool = False) -> None:
        """Look again at which servers are in use, now and then or at once."""
        if at_once or self.now >= self.refreshed_ms + WORKING_SET_REFRESH_MS:
            self.refreshed_ms = self.now
            self.shares.begin()
            if self._choose():
                self._commit()
                self.shares = self.layout(self.shares, len(self.ready))

    def _choose(self) -> bool:
        """Take servers into use, or leave some; between begin and commit. Whether any."""
        wanted = self.working_set.wanted(self.arrivals.read(self.now))
        taken, left = self.working_set.choose(wanted, self._not_ejected)
        self._join_all(taken)
        for name in left:
            self._leave(self.servers[name])
        if taken or left:
            self.total_units = None
        return bool(taken or left)

    def _join_all(self, names: list[str]) -> None:
        for name in names:
            if self.servers[name].slot < 0:
                self._join(self.servers[name])

    def restore_working_set(self, names: list[str]) -> None:
        """Use those that the process before used, as far as they may be."""
        self.shares = self.layout(self.shares, len(self.ready) + len(names))
        self.shares.begin()
        self.total_units = None
        self._join_all(self.working_set.take(names))
        self._commit()

    def _not_ejected(self, name: str) -> bool:
        """Not ejected. Cold ones count: to do without them takes what nobody here knows yet, all at once."""
        return self.now >= self.servers[name].ejected_until

    def _commit(self) -> None:
        first = self.shares.commit()
        if first >= 0:
            # Who left and came back in one update stands in two slots; only the second is its own.
            moved = [s for slot, s in enumerate(self.ready[first:], first) if s.slot == slot]
            self.ready[first:] = moved
            for slot, server in enumerate(moved, first):
                server.slot = slot

    def _apply_row(self, entry: io.Endpoint, started_ms: float | None) -> None:
        """Take one row. started_ms: of its incarnation, on our clock; None if only the row itself says so."""
        if entry.state == "gone":
            return self._remove(entry.server)
        held = self.servers.get(entry.server)
        if held is not None and entry.started_ms != held.entry.started_ms:
            self._remove(entry.server)  # what is out at another incarnation says nothing of this one
        server = self.servers.get(entry.server)
        if server is None:
            server = self.servers[entry.server] = Server(entry, self)
            server.started_ms = min(self.now, entry.started_ms)
        dated = started_ms is not None and started_ms != server.started_ms
        if started_ms is not None:
            server.started_ms = min(self.now, started_ms)
        held_entry, server.entry = server.entry, entry
        if entry.state != "ready" or entry.server in self.in_maintenance:
            self._exclude(server)
        elif self.working_set.cell_of.get(entry.server) != entry.cell:
            self._leave(server)
            if self.working_set.put(entry.server, entry.cell):
                self._join(server)
        elif server.slot >= 0 and (entry != held_entry or dated):
            self.shares.move(server.slot, self._place(entry))
            server.cold_from = self._cold_from(server)
            self.cold[server] = None

    def _cold_from(self, server: Server) -> float:
        """When slow start began: at its start, or its return from being out by hand.

        What was out by hand was restarted meanwhile, whether the list knows or not.
        """
        return max(server.started_ms, self.maintenance_ended.get(server.entry.server, 0.0))

    def _join(self, server: Server) -> None:
        server.failing, server.ejections, server.ejected_until = 0.0, 0, -math.inf
        # Slow start: all balancers may hear of the newcomer at once, so budgets begin at a random phase.
        server.tokens, server.tokens_ms = self.rng.random(), self.now
        server.slot = self.shares.join(self._place(server.entry), len(server.in_flight))
        self.ready.append(server)
        server.cold_from = self._cold_from(server)
        if server.cold_from > 0:
            self.cold[server] = None

    def _leave(self, server: Server) -> None:
        if server.slot >= 0:
            self.shares.leave(server.slot)
            self.failing -= server.failing
            server.slot = -1
            self.cold.pop(server, None)

    def _exclude(self, server: Server) -> None:
        """It takes nothing new, whatever its cell does."""
        self.working_set.drop(server.entry.server)
        self._leave(server)

    def _remove(self, name: str) -> None:
        server = self.servers.pop(name, None)
        if server is not None:
            self._exclude(server)
            self.unhealthy.pop(server, None)
            self.overdue.pop(server, None)
            self.unresponsive.pop(server, None)

    def set_maintenance(self, name: str, out: bool) -> None:
        """Out by hand: draining for this balancer, until it is put back as a newcomer."""
        if out == (name in self.in_maintenance):
            return
        self.shares.begin()
        self.total_units = None
        server = self.servers.get(name)
        if out:
            self.in_maintenance.add(name)
            if server is not None:
                self._exclude(server)
        else:
            self.in_maintenance.discard(name)
            since = self.now - self.settings.rules.slow_start_ms
            self.maintenance_ended = {n: slot for n, slot in self.maintenance_ended.items() if slot > since}
            self.maintenance_ended[name] = self.now
            may = server is not None and server.entry.state == "ready" and server.slot < 0
            if server is not None and may and self.working_set.put(name, server.entry.cell):
                self._join(server)
        self._choose()
        self._commit()

    def excluded_count(self) -> int:
        """Servers of the list that are out by hand, not in use, ejected or suspect."""
        out = {name for name in self.in_maintenance if name in self.servers}
        out |= {name for name in self.working_set.cell_of if self.servers[name].slot < 0}
        out |= {s.entry.server for s in self.unhealthy if s.slot >= 0 and self.now < s.ejected_until}
        return len(out | {s.entry.server for s in (*self.overdue, *self.unresponsive) if self.suspect(s)})

    # ---- attempts

    now = 0.0  # set by the balancer at each event

    def attempt_started(self, server: Server, attempt: AttemptKey, sent: OutstandingAttempt) -> None:
        if server in self.cold:
            server.tokens -= 1.0
        server.in_flight[attempt] = sent
        if len(server.in_flight) == 1:
            self._track_oldest(server, attempt, sent)
        self.shares.sent(server.slot, 1)

    def attempt_ended(self, server: Server, attempt: AttemptKey) -> OutstandingAttempt | None:
        """The attempt is out no more; None if it was sent to an earlier life."""
        first = next(iter(server.in_flight), None) == attempt
        sent = server.in_flight.pop(attempt, None)
        if sent is not None and server.slot >= 0:
            self.shares.sent(server.slot, -1)
        if first and server.in_flight:
            following, its = next(iter(server.in_flight.items()))
            self._track_oldest(server, following, its)
        return sent

    def answer_received(self, server: Server, well: bool) -> None:
        """An answer has come, well: in good time."""
        server.silent_from_ms = math.inf
        if len(server.in_flight) >= UNRESPONSIVE_IN_FLIGHT:
            server.silent_from_ms = (
                self.now + UNRESPONSIVE_MULTIPLE * next(iter(server.in_flight.values())).typical_latency
            )
            self.answers_due.push(
                server.silent_from_ms, (server, server.silent_from_ms), 2 * len(self.servers)
            )
        if well and server in self.cold:
            server.proven = server.proven * math.exp((server.proven_ms - self.now) / PROVEN_MS) + 1.0
            server.proven_ms = self.now

    def _track_oldest(self, server: Server, attempt: AttemptKey, sent: OutstandingAttempt) -> None:
        self.oldest_due.push(sent.due, (server, attempt), 2 * len(self.servers))

    def _is_oldest(self, head: tuple[Server, AttemptKey]) -> bool:
        return self._is_listed(head[0]) and next(iter(head[0].in_flight), None) == head[1]

    def _is_awaited(self, item: tuple[Server, float]) -> bool:
        return item[0].silent_from_ms == item[1] and self._is_listed(item[0])

    def _is_listed(self, server: Server) -> bool:
        return self.servers.get(server.entry.server) is server

    def record_rejection(self, server: Server, name: str) -> None:
        """It turned this class away; it may well serve the others."""
        server.rejecting_until[name] = self.now + EJECT_MS
        self.unhealthy[server] = None

    def record_result(self, server: Server, failed: bool, dead: bool = False) -> None:
        """Outlier ejection: above what the fleet fails, with a trial after each ejection.

        dead: nobody took the connection in the time that one may take. Load doesn't do that, so what others
        fail is no excuse: the servers of a lost zone would excuse each other.
        """
        now = self.now
        self.set_failing(server, server.failing + FAIL_WEIGHT * (failed - server.failing))
        if server.failing > EJECT_ABOVE:
            self.unhealthy[server] = None
        if not failed:
            server.ejections = 0 if server.failing < EJECT_ABOVE else server.ejections
        elif now >= server.ejected_until and server.failing > EJECT_ABOVE:
            # From one send here to the next.
            visit = max(1, len(self.ready)) / max(1e-9, self.arrivals.read(now))
            excuse = 0.0 if dead else 2 * self._fleet_failing(server, visit)
            ejected = sum(now < s.ejected_until and s.slot >= 0 for s in self.unhealthy)
            if server.failing > EJECT_ABOVE + excuse and ejected + 1 <= MAX_EJECTED_SHARE * len(self.ready):
                # One that ends before the next send here would have come spares nothing.
                cold = self.settings.rules.slow_start_ms
                most, least = max(EJECT_MAX_MS, min(cold, 8 * visit)), max(EJECT_MS, min(cold, visit))
                span = min(most, least * 2**server.ejections)
                server.ejected_until = now + span * self.rng.uniform(0.75, 1.25)
                server.ejections += 1
                self.refresh_working_set(at_once=True)

    def set_failing(self, server: Server, failing: float) -> None:
        if server.slot >= 0:
            self.failing += failing - server.failing
        server.failing = failing

    def _fleet_failing(self, server: Server, visit: float) -> float:
        """What the others fail, each counted once: by attempts, one that fails fast is the yardstick.

        What is ejected counts by the sends that the shortest ejection spares it. Where these are many, an
        overload would put out one server after the other if those that are out excused nothing. Where it is
        one at most, to be wrong costs that send, and what failed long ago says little of now.
        """
        known = sum(s.failing for s in self.unhealthy if s.ejections and s.slot >= 0 and s is not server)
        own = server.failing if server.slot >= 0 else 0.0
        known *= 1.0 - min(1.0, max(MIN_EXCUSED, EJECT_MS / visit))
        return max(0.0, self.failing - own - known) / max(1, len(self.ready) - 1)

    def _overdue(self, server: Server) -> bool:
        """Its oldest attempt is past its due."""
        oldest = next(iter(server.in_flight.values()), None)
        return oldest is not None and oldest.due < self.now

    def _unresponsive(self, server: Server) -> bool:
        """It has answered nothing for long, with several attempts out."""
        return server.silent_from_ms < self.now and len(server.in_flight) >= UNRESPONSIVE_IN_FLIGHT

    def suspect(self, server: Server) -> bool:
        return server.slot >= 0 and (self._overdue(server) or self._unresponsive(server))

    # ---- the choice

    def pick(
        self, kind: io.ServiceClass, tried: list[str], possibly_ran_on: io.Endpoint | None
    ) -> Server | None:
        """A draw for a request of this class. bound: where it may have run; drains are not in self.ready."""
        if not self.ready:
            return None
        excluded, tried_at = (
            self._out_of_slow_start_budget() if self.cold else (),
            self._slots_of(tried) if tried else (),
        )
        group = self._group(kind, possibly_ran_on) if possibly_ran_on is not None else None
        query = Query(excluded, tried_at, self._degraded(kind), group, possibly_ran_on is not None)
        slot = self.shares.choose(query, self.rng)
        return self.ready[slot] if slot >= 0 else None

    def _slots_of(self, names: list[str]) -> list[int]:
        held = (self.servers.get(name) for name in names)
        return [server.slot for server in held if server is not None and server.slot >= 0]

    def _group(self, kind: io.ServiceClass, home: io.Endpoint | None) -> tuple[bool, int] | None:
        """A keyed request that may have run goes only where its repeats are dropped."""
        if home is None or kind.effect != "keyed" or kind.group == "all":
            return None
        if kind.group == "zone":
            return False, self.zones.get(home.zone, -1)
        return True, home.cell

    def _degraded(self, kind: io.ServiceClass) -> list[int]:
        """Slots that are passed over while there are others."""
        self.overdue.update((server, None) for server, _ in self.oldest_due.passed(self.now))
        self.unresponsive.update((server, None) for server, _ in self.answers_due.passed(self.now))
        if not self.unhealthy and not self.overdue and not self.unresponsive:
            return []
        found = []
        for server in list(self.unhealthy):
            # Past its ejection, one that has failed gets one trial at a time: only a success can clear it.
            trial = server.failing > EJECT_ABOVE
            until = max(server.ejected_until, server.rejecting_until.get(kind.name, 0.0))
            if server.slot >= 0 and (self.now < until or (trial and server.in_flight)):
                found.append(server.slot)
            elif not trial and self.now >= max(server.ejected_until, *server.rejecting_until.values(), 0.0):
                del self.unhealthy[server]
        for server in list(self.unresponsive):
            if server.silent_from_ms >= self.now:
                del self.unresponsive[server]
            elif server.slot >= 0 and self._unresponsive(server):
                found.append(server.slot)
        for server in list(self.overdue):
            if not self._overdue(server):
                del self.overdue[server]
            elif server.slot >= 0:
                found.append(server.slot)
        return found

    def _out_of_slow_start_budget(self) -> list[int]:
        """Slow start: a cold server gets its ramp's part of what a warm one takes from this balancer."""
        since = self.now - self.settings.rules.slow_start_ms
        for server in [s for s in self.cold if not 0 < s.cold_from > since]:
            del self.cold[server]
        if not self.cold:
            return []
        if self.handed_over:
            return [server.slot for server in self.cold]
        self.refill_slow_start()
        return [server.slot for server in self.cold if server.tokens < 1.0]

    def refill_slow_start(self) -> None:
        """Bring the cold servers' budgets up to this moment."""
        rules, now, sized = self.settings.rules, self.now, self.settings.sized
        if self.total_units is None:
            self.total_units = sum(s.entry.units if sized else 1.0 for s in self.ready)
        warm = self.total_units - sum(s.entry.units if sized else 1.0 for s in self.cold)
        rate = self.answers.read(now) / warm if len(self.cold) < len(self.ready) else 0.0
        blind = self.arrivals.read(now) / len(self.ready)
        for server in self.cold:
            age = max(0.0, now - server.cold_from) / rules.slow_start_ms
            size = server.entry.units if sized else 1.0
            full = rate * size or blind
            take = (rules.slow_start_capacity + (1 - rules.slow_start_capacity) * age) * full
            # What it answers well it can do, and as much again does not tip it: it warms as fast as it can.
            proven = server.proven * math.exp((server.proven_ms - now) / PROVEN_MS) / PROVEN_MS
            take = max(take, min(full, min(PROVEN_GROWTH, rules.overload_multiple / 2) * proven))
            server.tokens = min(1.0, server.tokens + take * (now - server.tokens_ms))
            server.tokens_ms = now
