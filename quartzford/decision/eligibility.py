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
from quartzford.decision.estimates import Due, Rate
from quartzford.decision.workingset import WorkingSet

ZONE_COST = 50.0
FAIL_WEIGHT = 0.4
EJECT_ABOVE = 0.35  # failing share that ejects, above what the whole fleet fails
EJECT_MS = 1_000.0  # first ejection at the least; doubles while the server goes on failing
EJECT_MAX_MS = 8_000.0
EXCUSE_LEAST = 0.33  # so much of what is out goes on excusing others: an overload puts out an eighth at most
EJECT_AT_MOST = 0.67  # of the ready servers, so that ejection never empties the fleet
PROVEN_MS = 2_000.0  # a cold server's own answers are counted over this
GROWTH = 2.0  # a cold server may get this multiple of what it answers well; at most half of what tips it
SETTLE_MS = 200.0  # how often it is looked at again which servers are in use
QUIET, QUIET_OPEN = 2.0, 3  # suspect: nothing answered for so many usual latencies, with so many out


class Sent(NamedTuple):
    """An attempt that is out."""

    due: float  # past this, its server is suspect
    usual: float  # its class's usual latency
    time_out: float
    kind: io.ServiceClass


Attempt = tuple[int, int]  # request and number


@dataclass(slots=True, eq=False)
class Server:
    """A server of the list, and what this balancer has seen of it. at: its slot while in use, else -1."""

    entry: io.Endpoint
    fleet: Fleet
    at: int = -1
    started_ms: float = 0.0  # when this incarnation started, on our clock; 0 for long ago
    cold_from: float = 0.0  # slow start counts from here; 0 for long ago
    failing: float = 0.0
    ejections: int = 0
    ejected_until: float = -math.inf
    tokens: float = 1.0  # slow-start budget
    tokens_ms: float = -math.inf
    proven: float = 0.0  # answers in good time while cold, fading over PROVEN_MS
    proven_ms: float = 0.0
    quiet_ms: float = math.inf  # with nothing answered until then, it is suspect
    open: dict[Attempt, Sent] = field(default_factory=dict)
    shut: dict[str, float] = field(default_factory=dict)  # classes turned away, and till when

    def _figure(self, column: Any, without: float) -> float:
        return float(column[self.at]) if self.at >= 0 else without

    @property
    def p(self) -> float:
        """Its share of P; 0 if it is not ready."""
        return self._figure(self.fleet.shares.p, 0.0)

    @property
    def cost(self) -> float | None:
        shares = self.fleet.shares
        return self._figure(shares.cost, 0.0) if shares.known and self.at >= 0 else None


class Fleet:
    """The servers of the list, and the choice among those that are ready."""

    def __init__(self, settings: io.Settings, rng: random.Random, salt: int = 0) -> None:
        self.rng = rng
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []  # those in use, by slot
        self.working = WorkingSet(salt)
        self.settled_ms = -math.inf
        self.shares: Shares = automaton.PlainShares()
        self.fit = automaton.fitting  # lists or arrays
        self.zones: dict[str, int] = {}
        self.trouble: dict[Server, None] = {}  # failing, ejected or shut; looked at again before it counts
        self.late: dict[Server, None] = {}  # its oldest attempt is past its due; the same
        self.mute: dict[Server, None] = {}  # has answered nothing for long, with several attempts out
        self.heads: Due[tuple[Server, Attempt]] = Due(self._oldest)  # oldest attempts by their due
        self.quiet: Due[tuple[Server, float]] = Due(self._awaited)  # by when an answer is missed
        self.cold: dict[Server, None] = {}
        self.by_hand: set[str] = set()  # out until the operators say otherwise, whatever the list says
        self.aside = False  # a successor has the cold servers' budgets
        self.back: dict[str, float] = {}  # when what was out by hand came back
        self.units: float | None = None  # of all ready servers
        self.failing = 0.0  # sum over the ready servers
        self.arrivals, self.answers = Rate(), Rate()
        self.configure(settings)

    def configure(self, settings: io.Settings) -> None:
        self.settings, prices = settings, settings.prices
        self.toll = ZONE_COST * (prices.cross_zone + prices.handshake + prices.connection)
        self.units = None
        for server in self.ready:
            self.shares.move(server.at, self._place(server.entry))
            self.cold[server] = None

    def _place(self, entry: io.Endpoint) -> Place:
        toll = 0.0 if entry.zone == self.settings.zone else self.toll
        return Place(toll, self.zones.setdefault(entry.zone, len(self.zones)), entry.cell)

    # ---- the list

    def update(
        self, entries: tuple[io.Endpoint, ...], complete: bool, starts: Mapping[str, float] = io.NO_STARTS
    ) -> None:
        """Changes, or the complete list. starts: of incarnations, by server, on our clock."""
        self.shares = self.fit(self.shares, len(self.ready) + len(entries))
        self.shares.begin()
        self.units = None
        if complete:
            named = {entry.server for entry in entries}
            for name in [name for name in self.servers if name not in named]:
                self._remove(name)
        for entry in entries:
            self._entry(entry, starts.get(entry.server))
        self._choose()
        self._commit()
        self.shares = self.fit(self.shares, len(self.ready))

    def settle(self, at_once: bool = False) -> None:
        """Look again at which servers are in use, now and then or at once."""
        if at_once or self.now >= self.settled_ms + SETTLE_MS:
            self.settled_ms = self.now
            self.shares.begin()
            if self._choose():
                self._commit()
                self.shares = self.fit(self.shares, len(self.ready))

    def _choose(self) -> bool:
        """Take servers into use, or leave some; between begin and commit. Whether any."""
        wanted = self.working.wanted(self.arrivals.read(self.now))
        taken, left = self.working.choose(wanted, self._able)
        self._join_all(taken)
        for name in left:
            self._leave(self.servers[name])
        if taken or left:
            self.units = None
        return bool(taken or left)

    def _join_all(self, names: list[str]) -> None:
        for name in names:
            if self.servers[name].at < 0:
                self._join(self.servers[name])

    def use(self, names: list[str]) -> None:
        """Use those that the process before used, as far as they may be."""
        self.shares = self.fit(self.shares, len(self.ready) + len(names))
        self.shares.begin()
        self.units = None
        self._join_all(self.working.take(names))
        self._commit()

    def _able(self, name: str) -> bool:
        """Not ejected. Cold ones count: to do without them takes what nobody here knows yet, all at once."""
        return self.now >= self.servers[name].ejected_until

    def _commit(self) -> None:
        first = self.shares.commit()
        if first >= 0:
            # Who left and came back in one update stands in two slots; only the second is its own.
            moved = [s for slot, s in enumerate(self.ready[first:], first) if s.at == slot]
            self.ready[first:] = moved
            for at, server in enumerate(moved, first):
                server.at = at

    def _entry(self, entry: io.Endpoint, started_ms: float | None) -> None:
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
        if entry.state != "ready" or entry.server in self.by_hand:
            self._bar(server)
        elif self.working.cell_of.get(entry.server) != entry.cell:
            self._leave(server)
            if self.working.put(entry.server, entry.cell):
                self._join(server)
        elif server.at >= 0 and (entry != held_entry or dated):
            self.shares.move(server.at, self._place(entry))
            server.cold_from = self._cold_from(server)
            self.cold[server] = None

    def _cold_from(self, server: Server) -> float:
        """When slow start began: at its start, or its return from being out by hand.

        What was out by hand was restarted meanwhile, whether the list knows or not.
        """
        return max(server.started_ms, self.back.get(server.entry.server, 0.0))

    def _join(self, server: Server) -> None:
        server.failing, server.ejections, server.ejected_until = 0.0, 0, -math.inf
        # Slow start: all balancers may hear of the newcomer at once, so budgets begin at a random phase.
        server.tokens, server.tokens_ms = self.rng.random(), self.now
        server.at = self.shares.join(self._place(server.entry), len(server.open))
        self.ready.append(server)
        server.cold_from = self._cold_from(server)
        if server.cold_from > 0:
            self.cold[server] = None

    def _leave(self, server: Server) -> None:
        if server.at >= 0:
            self.shares.leave(server.at)
            self.failing -= server.failing
            server.at = -1
            self.cold.pop(server, None)

    def _bar(self, server: Server) -> None:
        """It takes nothing new, whatever its cell does."""
        self.working.drop(server.entry.server)
        self._leave(server)

    def _remove(self, name: str) -> None:
        server = self.servers.pop(name, None)
        if server is not None:
            self._bar(server)
            self.trouble.pop(server, None)
            self.late.pop(server, None)
            self.mute.pop(server, None)

    def hand(self, name: str, out: bool) -> None:
        """Out by hand: draining for this balancer, until it is put back as a newcomer."""
        if out == (name in self.by_hand):
            return
        self.shares.begin()
        self.units = None
        server = self.servers.get(name)
        if out:
            self.by_hand.add(name)
            if server is not None:
                self._bar(server)
        else:
            self.by_hand.discard(name)
            since = self.now - self.settings.rules.slow_start_ms
            self.back = {n: at for n, at in self.back.items() if at > since}
            self.back[name] = self.now
            may = server is not None and server.entry.state == "ready" and server.at < 0
            if server is not None and may and self.working.put(name, server.entry.cell):
                self._join(server)
        self._choose()
        self._commit()

    def avoided(self) -> int:
        """Servers of the list that are out by hand, not in use, ejected or suspect."""
        out = {name for name in self.by_hand if name in self.servers}
        out |= {name for name in self.working.cell_of if self.servers[name].at < 0}
        out |= {s.entry.server for s in self.trouble if s.at >= 0 and self.now < s.ejected_until}
        return len(out | {s.entry.server for s in (*self.late, *self.mute) if self.suspect(s)})

    # ---- attempts

    now = 0.0  # set by the balancer at each event

    def sent(self, server: Server, attempt: Attempt, sent: Sent) -> None:
        if server in self.cold:
            server.tokens -= 1.0
        server.open[attempt] = sent
        if len(server.open) == 1:
            self._head(server, attempt, sent)
        self.shares.sent(server.at, 1)

    def returned(self, server: Server, attempt: Attempt) -> Sent | None:
        """The attempt is out no more; None if it was sent to an earlier life."""
        first = next(iter(server.open), None) == attempt
        sent = server.open.pop(attempt, None)
        if sent is not None and server.at >= 0:
            self.shares.sent(server.at, -1)
        if first and server.open:
            following, its = next(iter(server.open.items()))
            self._head(server, following, its)
        return sent

    def answered(self, server: Server, well: bool) -> None:
        """An answer has come, well: in good time."""
        server.quiet_ms = math.inf
        if len(server.open) >= QUIET_OPEN:
            server.quiet_ms = self.now + QUIET * next(iter(server.open.values())).usual
            self.quiet.push(server.quiet_ms, (server, server.quiet_ms), 2 * len(self.servers))
        if well and server in self.cold:
            server.proven = server.proven * math.exp((server.proven_ms - self.now) / PROVEN_MS) + 1.0
            server.proven_ms = self.now

    def _head(self, server: Server, attempt: Attempt, sent: Sent) -> None:
        self.heads.push(sent.due, (server, attempt), 2 * len(self.servers))

    def _oldest(self, head: tuple[Server, Attempt]) -> bool:
        return self._listed(head[0]) and next(iter(head[0].open), None) == head[1]

    def _awaited(self, item: tuple[Server, float]) -> bool:
        return item[0].quiet_ms == item[1] and self._listed(item[0])

    def _listed(self, server: Server) -> bool:
        return self.servers.get(server.entry.server) is server

    def shut(self, server: Server, name: str) -> None:
        """It turned this class away; it may well serve the others."""
        server.shut[name] = self.now + EJECT_MS
        self.trouble[server] = None

    def health(self, server: Server, failed: bool, dead: bool = False) -> None:
        """Outlier ejection: above what the fleet fails, with a trial after each ejection.

        dead: nobody took the connection in the time that one may take. Load doesn't do that, so what others
        fail is no excuse: the servers of a lost zone would excuse each other.
        """
        now = self.now
        self.blame(server, server.failing + FAIL_WEIGHT * (failed - server.failing))
        if server.failing > EJECT_ABOVE:
            self.trouble[server] = None
        if not failed:
            server.ejections = 0 if server.failing < EJECT_ABOVE else server.ejections
        elif now >= server.ejected_until and server.failing > EJECT_ABOVE:
            # From one send here to the next.
            visit = max(1, len(self.ready)) / max(1e-9, self.arrivals.read(now))
            excuse = 0.0 if dead else 2 * self._others(server, visit)
            ejected = sum(now < s.ejected_until and s.at >= 0 for s in self.trouble)
            if server.failing > EJECT_ABOVE + excuse and ejected + 1 <= EJECT_AT_MOST * len(self.ready):
                # One that ends before the next send here would have come spares nothing.
                cold = self.settings.rules.slow_start_ms
                most, least = max(EJECT_MAX_MS, min(cold, 8 * visit)), max(EJECT_MS, min(cold, visit))
                span = min(most, least * 2**server.ejections)
                server.ejected_until = now + span * self.rng.uniform(0.75, 1.25)
                server.ejections += 1
                self.settle(at_once=True)

    def blame(self, server: Server, failing: float) -> None:
        if server.at >= 0:
            self.failing += failing - server.failing
        server.failing = failing

    def _others(self, server: Server, visit: float) -> float:
        """What the others fail, each counted once: by attempts, one that fails fast is the yardstick.

        What is ejected counts by the sends that the shortest ejection spares it. Where these are many, an
        overload would put out one server after the other if those that are out excused nothing. Where it is
        one at most, to be wrong costs that send, and what failed long ago says little of now.
        """
        known = sum(s.failing for s in self.trouble if s.ejections and s.at >= 0 and s is not server)
        own = server.failing if server.at >= 0 else 0.0
        known *= 1.0 - min(1.0, max(EXCUSE_LEAST, EJECT_MS / visit))
        return max(0.0, self.failing - own - known) / max(1, len(self.ready) - 1)

    def _late(self, server: Server) -> bool:
        """Its oldest attempt is past its due."""
        oldest = next(iter(server.open.values()), None)
        return oldest is not None and oldest.due < self.now

    def _mute(self, server: Server) -> bool:
        """It has answered nothing for long, with several attempts out."""
        return server.quiet_ms < self.now and len(server.open) >= QUIET_OPEN

    def suspect(self, server: Server) -> bool:
        return server.at >= 0 and (self._late(server) or self._mute(server))

    # ---- the choice

    def pick(self, kind: io.ServiceClass, tried: list[str], bound: io.Endpoint | None) -> Server | None:
        """A draw for a request of this class. bound: where it may have run; drains are not in self.ready."""
        if not self.ready:
            return None
        barred, tried_at = self._barred() if self.cold else (), self._slots_of(tried) if tried else ()
        group = self._group(kind, bound) if bound is not None else None
        query = Query(barred, tried_at, self._doubtful(kind), group, bound is not None)
        slot = self.shares.choose(query, self.rng)
        return self.ready[slot] if slot >= 0 else None

    def _slots_of(self, names: list[str]) -> list[int]:
        held = (self.servers.get(name) for name in names)
        return [server.at for server in held if server is not None and server.at >= 0]

    def _group(self, kind: io.ServiceClass, home: io.Endpoint | None) -> tuple[bool, int] | None:
        """A keyed request that may have run goes only where its repeats are dropped."""
        if home is None or kind.effect != "keyed" or kind.group == "all":
            return None
        if kind.group == "zone":
            return False, self.zones.get(home.zone, -1)
        return True, home.cell

    def _doubtful(self, kind: io.ServiceClass) -> list[int]:
        """Slots that are passed over while there are others."""
        self.late.update((server, None) for server, _ in self.heads.passed(self.now))
        self.mute.update((server, None) for server, _ in self.quiet.passed(self.now))
        if not self.trouble and not self.late and not self.mute:
            return []
        found = []
        for server in list(self.trouble):
            # Past its ejection, one that has failed gets one trial at a time: only a success can clear it.
            trial = server.failing > EJECT_ABOVE
            until = max(server.ejected_until, server.shut.get(kind.name, 0.0))
            if server.at >= 0 and (self.now < until or (trial and server.open)):
                found.append(server.at)
            elif not trial and self.now >= max(server.ejected_until, *server.shut.values(), 0.0):
                del self.trouble[server]
        for server in list(self.mute):
            if server.quiet_ms >= self.now:
                del self.mute[server]
            elif server.at >= 0 and self._mute(server):
                found.append(server.at)
        for server in list(self.late):
            if not self._late(server):
                del self.late[server]
            elif server.at >= 0:
                found.append(server.at)
        return found

    def _barred(self) -> list[int]:
        """Slow start: a cold server gets its ramp's part of what a warm one takes from this balancer."""
        since = self.now - self.settings.rules.slow_start_ms
        for server in [s for s in self.cold if not 0 < s.cold_from > since]:
            del self.cold[server]
        if not self.cold:
            return []
        if self.aside:
            return [server.at for server in self.cold]
        self.accrue()
        return [server.at for server in self.cold if server.tokens < 1.0]

    def accrue(self) -> None:
        """Bring the cold servers' budgets up to this moment."""
        rules, now, sized = self.settings.rules, self.now, self.settings.sized
        if self.units is None:
            self.units = sum(s.entry.units if sized else 1.0 for s in self.ready)
        warm = self.units - sum(s.entry.units if sized else 1.0 for s in self.cold)
        rate = self.answers.read(now) / warm if len(self.cold) < len(self.ready) else 0.0
        blind = self.arrivals.read(now) / len(self.ready)
        for server in self.cold:
            age = max(0.0, now - server.cold_from) / rules.slow_start_ms
            size = server.entry.units if sized else 1.0
            full = rate * size or blind
            take = (rules.slow_start_capacity + (1 - rules.slow_start_capacity) * age) * full
            # What it answers well it can do, and as much again does not tip it: it warms as fast as it can.
            proven = server.proven * math.exp((server.proven_ms - now) / PROVEN_MS) / PROVEN_MS
            take = max(take, min(full, min(GROWTH, rules.overload_multiple / 2) * proven))
            server.tokens = min(1.0, server.tokens + take * (now - server.tokens_ms))
            server.tokens_ms = now
