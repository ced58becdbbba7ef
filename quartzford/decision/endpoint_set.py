"""The servers of the endpoint list, and the choice among those in use.

What is unusual of a server (ejected, rejecting, overdue, warming up) is kept in small sets by the modules
that know of it, so that a send looks at these and at nothing else server by server; the fleet as a whole is
the automaton's (automaton.py). Times are milliseconds on the caller's clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

from quartzford.decision import automaton
from quartzford.decision import interface as io
from quartzford.decision.automaton import Group, Location, SelectionConstraints, Shares
from quartzford.decision.estimates import Traffic
from quartzford.decision.outlier_ejection import OutlierEjection
from quartzford.decision.responsiveness import Responsiveness
from quartzford.decision.server import NO_SLOT, AttemptKey, OutstandingAttempt, Server
from quartzford.decision.slow_start import SlowStart
from quartzford.decision.workingset import WorkingSet

ZONE_PENALTY = 50.0  # of the prices of a send to another zone, in typical latencies
UNKNOWN_ZONE = -1
WORKING_SET_REFRESH_MS = 200.0  # how often it is looked at again which servers are in use


class EndpointSet:
    """The servers of the list by name, and those in use by their slots."""

    def __init__(self, settings: io.Settings, rng: random.Random, salt: int = 0) -> None:
        self.rng = rng
        self.now = 0.0  # set by the balancer at each event
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []  # those in use, by slot
        self.working_set = WorkingSet(salt)
        self.refreshed_ms = -math.inf  # when the working set was last looked at
        self.shares: Shares = automaton.PlainShares()
        self.layout = automaton.layout_for  # lists or arrays
        self.zones: dict[str, int] = {}  # code of each zone
        self.in_maintenance: set[str] = set()  # out until the operators say otherwise, whatever the list says
        self.maintenance_ended: dict[str, float] = {}  # when a server came back from maintenance
        self.traffic = Traffic()
        self.ejection = OutlierEjection(self.ready, self.traffic, rng)
        self.responsiveness = Responsiveness(self.servers)
        self.slow_start = SlowStart(self.ready, self.traffic, rng)
        self.configure(settings)

    def configure(self, settings: io.Settings) -> None:
        """Take the settings from now on; what was learnt stays."""
        self.settings = settings
        prices = settings.prices
        self.zone_penalty = ZONE_PENALTY * (prices.cross_zone + prices.handshake + prices.connection)
        self.ejection.configure(settings)
        self.slow_start.configure(settings)
        for server in self.ready:
            self.shares.move(server.slot, self._place(server.entry))

    def _place(self, entry: io.Endpoint) -> Location:
        penalty = 0.0 if entry.zone == self.settings.zone else self.zone_penalty
        zone = self.zones.setdefault(entry.zone, len(self.zones))
        return Location(penalty, zone, entry.cell)

    # ---- the list

    def update(
        self, entries: tuple[io.Endpoint, ...], complete: bool, starts: Mapping[str, float] = io.NO_STARTS
    ) -> None:
        """Take changes, or the complete list. starts: of incarnations, by server, on our clock."""
        self.shares = self.layout(self.shares, len(self.ready) + len(entries))
        self._begin_changes()
        if complete:
            self._remove_all_but({entry.server for entry in entries})
        for entry in entries:
            self._apply_row(entry, starts.get(entry.server))
        self._choose()
        self._commit()
        self.shares = self.layout(self.shares, len(self.ready))

    def refresh_working_set(self, at_once: bool = False) -> None:
        """Look again at which servers are in use, now and then or at once."""
        if not at_once and self.now < self.refreshed_ms + WORKING_SET_REFRESH_MS:
            return
        self.refreshed_ms = self.now
        self.shares.begin()
        if self._choose():
            self._commit()
            self.shares = self.layout(self.shares, len(self.ready))

    def restore_working_set(self, names: list[str]) -> None:
        """Use those that the process before used, as far as they may be."""
        self.shares = self.layout(self.shares, len(self.ready) + len(names))
        self._begin_changes()
        self._join_all(self.working_set.restore(names))
        self._commit()

    def set_maintenance(self, name: str, out: bool) -> None:
        """Put a server into maintenance, or back as a newcomer: to this balancer it is draining meanwhile."""
        if out == (name in self.in_maintenance):
            return
        self._begin_changes()
        if out:
            self._enter_maintenance(name)
        else:
            self._leave_maintenance(name)
        self._choose()
        self._commit()

    def _enter_maintenance(self, name: str) -> None:
        self.in_maintenance.add(name)
        server = self.servers.get(name)
        if server is not None:
            self._exclude(server)

    def _leave_maintenance(self, name: str) -> None:
        self.in_maintenance.discard(name)
        since = self.now - self.settings.rules.slow_start_ms
        self.maintenance_ended = {n: ended for n, ended in self.maintenance_ended.items() if ended > since}
        self.maintenance_ended[name] = self.now
        server = self.servers.get(name)
        if server is None or server.entry.state != "ready" or server.slot >= 0:
            return
        if self.working_set.add_candidate(name, server.entry.cell):
            self._join(server)

    def _begin_changes(self) -> None:
        """Servers may come into use and leave it, until the commit."""
        self.shares.begin()
        self.slow_start.servers_changed()

    def _commit(self) -> None:
        first = self.shares.commit()
        if first < 0:
            return
        # Who left and came back in one update stands in two slots; only the second is its own.
        moved = [server for slot, server in enumerate(self.ready[first:], first) if server.slot == slot]
        self.ready[first:] = moved
        for slot, server in enumerate(moved, first):
            server.slot = slot

    def _choose(self) -> bool:
        """Take servers into use, or leave some; between begin and commit. Whether any."""
        wanted = self.working_set.target_count(self.traffic.arrivals.read(self.now))
        taken, left = self.working_set.update(wanted, self._not_ejected)
        self._join_all(taken)
        for name in left:
            self._leave(self.servers[name])
        changed = bool(taken or left)
        if changed:
            self.slow_start.servers_changed()
        return changed

    def _not_ejected(self, name: str) -> bool:
        """Cold ones count: without them, servers that are not known here yet would be used all at once."""
        return self.now >= self.servers[name].ejected_until

    def _apply_row(self, entry: io.Endpoint, started_ms: float | None) -> None:
        """Take one row. started_ms: of its incarnation, on our clock; None if only the row itself says so."""
        if entry.state == "gone":
            return self._remove(entry.server)
        server = self._incarnation(entry)
        dated = started_ms is not None and started_ms != server.started_ms
        if started_ms is not None:
            server.started_ms = min(self.now, started_ms)
        changed = entry != server.entry
        server.entry = entry
        if entry.state != "ready" or entry.server in self.in_maintenance:
            self._exclude(server)
        elif self.working_set.cell_of.get(entry.server) != entry.cell:
            self._leave(server)
            if self.working_set.add_candidate(entry.server, entry.cell):
                self._join(server)
        elif server.slot >= 0 and (changed or dated):
            self.shares.move(server.slot, self._place(entry))
            self.slow_start.update_slow_start(server, self._slow_start_from_ms(server))
        return None

    def _incarnation(self, entry: io.Endpoint) -> Server:
        """The server of a row: the one that is known, or a new one."""
        server = self.servers.get(entry.server)
        if server is not None and entry.started_ms != server.entry.started_ms:
            self._remove(entry.server)  # what is out at another incarnation says nothing of this one
            server = None
        if server is None:
            server = Server(entry, self, started_ms=min(self.now, entry.started_ms))
            self.servers[entry.server] = server
        return server

    def _slow_start_from_ms(self, server: Server) -> float:
        """When slow start began: at its start, or its return from maintenance.

        What was in maintenance was restarted meanwhile, whether the list knows or not.
        """
        return max(server.started_ms, self.maintenance_ended.get(server.entry.server, 0.0))

    # ---- servers in use

    def _join_all(self, names: list[str]) -> None:
        for name in names:
            if self.servers[name].slot < 0:
                self._join(self.servers[name])

    def _join(self, server: Server) -> None:
        """Take a server into use."""
        server.clear_health()
        self.slow_start.initialize_budget(self.now, server)
        server.slot = self.shares.join(self._place(server.entry), len(server.in_flight))
        self.ready.append(server)
        self.slow_start.begin_slow_start(server, self._slow_start_from_ms(server))

    def _leave(self, server: Server) -> None:
        """Send a server nothing new, if it is in use."""
        if server.slot < 0:
            return
        self.shares.leave(server.slot)
        self.ejection.remove_from_use(server)
        server.slot = NO_SLOT
        self.slow_start.remove_from_use(server)

    def _exclude(self, server: Server) -> None:
        """Send a server nothing new, whatever its cell does."""
        self.working_set.remove_candidate(server.entry.server)
        self._leave(server)

    def _remove_all_but(self, listed: set[str]) -> None:
        for name in [name for name in self.servers if name not in listed]:
            self._remove(name)

    def _remove(self, name: str) -> None:
        """Forget a server that is gone."""
        server = self.servers.pop(name, None)
        if server is None:
            return
        self._exclude(server)
        self.ejection.forget(server)
        self.responsiveness.forget(server)

    def excluded_count(self) -> int:
        """Servers of the list that are in maintenance, not in use, ejected or suspect."""
        excluded = {name for name in self.in_maintenance if name in self.servers}
        excluded |= {name for name in self.working_set.cell_of if self.servers[name].slot < 0}
        excluded |= {server.entry.server for server in self.ejection.ejected(self.now)}
        excluded |= {server.entry.server for server in self.responsiveness.suspects(self.now)}
        return len(excluded)

    # ---- attempts

    def attempt_started(self, server: Server, key: AttemptKey, attempt: OutstandingAttempt) -> None:
        """An attempt is being sent to the server."""
        self.slow_start.charge_send(server)
        server.in_flight[key] = attempt
        if len(server.in_flight) == 1:
            self.responsiveness.track_oldest(server, key, attempt)
        self.shares.add_in_flight(server.slot, 1)

    def attempt_ended(self, server: Server, key: AttemptKey) -> OutstandingAttempt | None:
        """The attempt is out no more; None if it was sent to another incarnation."""
        was_oldest = next(iter(server.in_flight), None) == key
        attempt = server.in_flight.pop(key, None)
        if attempt is not None and server.slot >= 0:
            self.shares.add_in_flight(server.slot, -1)
        if was_oldest and server.in_flight:
            next_key, next_attempt = next(iter(server.in_flight.items()))
            self.responsiveness.track_oldest(server, next_key, next_attempt)
        return attempt

    def answer_received(self, server: Server, in_time: bool) -> None:
        """A good answer has come, in good time or not."""
        self.traffic.answers.add(self.now)
        self.responsiveness.answer_received(self.now, server)
        if in_time:
            self.slow_start.record_timely_answer(self.now, server)

    def record_rejection(self, server: Server, service_class: str) -> None:
        """The server has rejected a request of this class as too much."""
        self.ejection.record_rejection(self.now, server, service_class)

    def record_result(self, server: Server, failed: bool, unreachable: bool = False) -> None:
        """An attempt has succeeded or failed. unreachable: the connection was not accepted in time."""
        if self.ejection.record_result(self.now, server, failed, unreachable):
            self.refresh_working_set(at_once=True)

    # ---- the choice

    def pick(
        self, kind: io.ServiceClass, tried: list[str], possibly_ran_on: io.Endpoint | None
    ) -> Server | None:
        """Draw a server for a request of this class; None if none may take it now.

        tried: where it was sent already. possibly_ran_on: where it may have run, which may be draining.
        """
        if not self.ready:
            return None
        query = SelectionConstraints(
            excluded=self.slow_start.exhausted_slots(self.now) if self.slow_start.cold else (),
            tried=self._slots_of(tried) if tried else (),
            degraded=self._degraded_slots(kind),
            group=self._group(kind, possibly_ran_on),
            may_repeat=possibly_ran_on is not None,
        )
        slot = self.shares.choose(query, self.rng)
        return self.ready[slot] if slot >= 0 else None

    def _slots_of(self, names: list[str]) -> list[int]:
        servers = (self.servers.get(name) for name in names)
        return [server.slot for server in servers if server is not None and server.slot >= 0]

    def _group(self, kind: io.ServiceClass, possibly_ran_on: io.Endpoint | None) -> Group | None:
        """A keyed request that may have run goes only where its repeats are dropped."""
        if possibly_ran_on is None or kind.effect != "keyed" or kind.group == "all":
            return None
        if kind.group == "zone":
            return Group(False, self.zones.get(possibly_ran_on.zone, UNKNOWN_ZONE))
        return Group(True, possibly_ran_on.cell)

    def _degraded_slots(self, kind: io.ServiceClass) -> list[int]:
        """Slots that are passed over while there are others."""
        ejection = self.ejection
        responsiveness = self.responsiveness
        responsiveness.update(self.now)
        slots = ejection.unhealthy_slots(self.now, kind.name) if ejection.unhealthy else []
        if responsiveness.unresponsive or responsiveness.overdue:
            slots += responsiveness.suspect_slots(self.now)
        return slots
