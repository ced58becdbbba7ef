"""The servers of the endpoint list, and the selection of a server among those in use.

Servers in an exceptional state (ejected, rejecting, overdue, in slow start) are kept in small sets by the
modules that detect these states. A send inspects only these servers one by one; the automaton (automaton.py)
handles the fleet as a whole. Times are milliseconds on the caller's clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

from quartzford.decision import automaton
from quartzford.decision import interface as io
from quartzford.decision.automaton import IdempotencyGroup, Location, SelectionConstraints, Shares
from quartzford.decision.estimates import Traffic
from quartzford.decision.outlier_ejection import OutlierEjection
from quartzford.decision.responsiveness import Responsiveness
from quartzford.decision.server import NO_SLOT, AttemptKey, OutstandingAttempt, Server
from quartzford.decision.slow_start import SlowStart
from quartzford.decision.workingset import WorkingSet

ZONE_PENALTY_PER_PRICE = 50.0  # typical latencies, per unit of the prices of a send to another zone
UNKNOWN_ZONE_CODE = -1  # matches no server
WORKING_SET_REFRESH_MS = 200.0  # minimum interval between re-evaluations of the working set


class EndpointSet:
    """All servers of the list by name, and the servers in use by slot."""

    def __init__(self, settings: io.Settings, rng: random.Random, salt: int = 0) -> None:
        self.rng = rng
        self.now = 0.0  # set by the balancer at each event
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []  # servers in use, by slot
        self.working_set = WorkingSet(salt)
        self.refreshed_ms = -math.inf  # when the working set was last re-evaluated
        self.shares: Shares = automaton.PlainShares()
        self.layout = automaton.layout_for  # converts the shares between lists and arrays
        self.zones: dict[str, int] = {}  # zone codes by zone name
        self.in_maintenance: set[str] = set()  # names; the endpoint list can't end a maintenance
        self.maintenance_ended: dict[str, float] = {}  # when maintenance ended, by server name
        self.traffic = Traffic()
        self.ejection = OutlierEjection(self.ready, self.traffic, rng)
        self.responsiveness = Responsiveness(self.servers)
        self.slow_start = SlowStart(self.ready, self.traffic, rng)
        self.configure(settings)

    def configure(self, settings: io.Settings) -> None:
        """Apply new settings; the learned state is kept."""
        self.settings = settings
        prices = settings.prices
        self.zone_penalty = ZONE_PENALTY_PER_PRICE * (
            prices.cross_zone + prices.handshake + prices.connection
        )
        self.ejection.configure(settings)
        self.slow_start.configure(settings)
        for server in self.ready:
            self.shares.set_location(server.slot, self._location(server.entry))

    def _location(self, entry: io.Endpoint) -> Location:
        penalty = 0.0 if entry.zone == self.settings.zone else self.zone_penalty
        zone_code = self.zones.setdefault(entry.zone, len(self.zones))
        return Location(penalty, zone_code, entry.cell)

    # ---- the endpoint list

    def update(
        self, entries: tuple[io.Endpoint, ...], complete: bool, starts: Mapping[str, float] = io.NO_STARTS
    ) -> None:
        """Apply changes or a complete list.

        starts: when incarnations started, by server name, on the caller's clock.
        """
        self.shares = self.layout(self.shares, len(self.ready) + len(entries))
        self._begin_changes()
        if complete:
            self._remove_all_but({entry.server for entry in entries})
        for entry in entries:
            self._apply_row(entry, starts.get(entry.server))
        self._update_working_set()
        self._commit()
        self.shares = self.layout(self.shares, len(self.ready))

    def refresh_working_set(self, at_once: bool = False) -> None:
        """Re-evaluate the working set, at once or at most every WORKING_SET_REFRESH_MS."""
        if not at_once and self.now < self.refreshed_ms + WORKING_SET_REFRESH_MS:
            return
        self.refreshed_ms = self.now
        self.shares.begin()
        if self._update_working_set():
            self._commit()
            self.shares = self.layout(self.shares, len(self.ready))

    def restore_working_set(self, names: list[str]) -> None:
        """Use the servers that the predecessor used, if they are eligible here."""
        self.shares = self.layout(self.shares, len(self.ready) + len(names))
        self._begin_changes()
        self._join_all(self.working_set.restore(names))
        self._commit()

    def set_maintenance(self, name: str, in_maintenance: bool) -> None:
        """Put a server into maintenance, or return it to service as a new server.

        During maintenance, the balancer treats the server as draining.
        """
        if in_maintenance == (name in self.in_maintenance):
            return
        self._begin_changes()
        if in_maintenance:
            self._enter_maintenance(name)
        else:
            self._leave_maintenance(name)
        self._update_working_set()
        self._commit()

    def _enter_maintenance(self, name: str) -> None:
        self.in_maintenance.add(name)
        server = self.servers.get(name)
        if server is not None:
            self._exclude(server)

    def _leave_maintenance(self, name: str) -> None:
        self.in_maintenance.discard(name)
        oldest = self.now - self.settings.rules.slow_start_ms
        self.maintenance_ended = {n: ended for n, ended in self.maintenance_ended.items() if ended > oldest}
        self.maintenance_ended[name] = self.now
        server = self.servers.get(name)
        if server is None or server.entry.state != "ready" or server.slot >= 0:
            return
        if self.working_set.add_candidate(name, server.entry.cell):
            self._join(server)

    def _begin_changes(self) -> None:
        """Begin a change of the servers in use, which lasts until _commit()."""
        self.shares.begin()
        self.slow_start.servers_changed()

    def _commit(self) -> None:
        first = self.shares.commit()
        if first < 0:
            return
        # A server that left and joined again in one update is in two slots; only the second one is valid.
        remaining = [server for slot, server in enumerate(self.ready[first:], first) if server.slot == slot]
        self.ready[first:] = remaining
        for slot, server in enumerate(remaining, first):
            server.slot = slot

    def _update_working_set(self) -> bool:
        """Bring servers into and out of use as the working set requires; return whether any changed.

        Must be called between begin() and commit() of the shares.
        """
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
        """Return whether a server is not ejected; only such servers count towards the working set's size.

        Servers in slow start do count. Otherwise a balancer would use all servers that are new to it at once.
        """
        return self.now >= self.servers[name].ejected_until

    def _apply_row(self, entry: io.Endpoint, started_ms: float | None) -> None:
        """Apply one row of the endpoint list.

        started_ms: start of the incarnation on the caller's clock; None if only the row itself has a time.
        """
        if entry.state == "gone":
            return self._remove(entry.server)
        server = self._incarnation(entry)
        start_changed = started_ms is not None and started_ms != server.started_ms
        if started_ms is not None:
            server.started_ms = min(self.now, started_ms)
        row_changed = entry != server.entry
        server.entry = entry
        if entry.state != "ready" or entry.server in self.in_maintenance:
            self._exclude(server)
        elif self.working_set.cell_of.get(entry.server) != entry.cell:
            self._leave(server)
            if self.working_set.add_candidate(entry.server, entry.cell):
                self._join(server)
        elif server.slot >= 0 and (row_changed or start_changed):
            self.shares.set_location(server.slot, self._location(entry))
            self.slow_start.update_slow_start(server, self._slow_start_from_ms(server))
        return None

    def _incarnation(self, entry: io.Endpoint) -> Server:
        """Return the server of a row: the known one, or a new one if the row names another incarnation."""
        server = self.servers.get(entry.server)
        if server is not None and entry.started_ms != server.entry.started_ms:
            self._remove(entry.server)  # attempts at the old incarnation tell nothing about the new one
            server = None
        if server is None:
            server = Server(entry, self, started_ms=min(self.now, entry.started_ms))
            self.servers[entry.server] = server
        return server

    def _slow_start_from_ms(self, server: Server) -> float:
        """Return when a server's slow start began: at its start or at the end of its maintenance.

        A server is assumed to have been restarted during maintenance, even if the list does not show it.
        """
        return max(server.started_ms, self.maintenance_ended.get(server.entry.server, 0.0))

    # ---- servers in use

    def _join_all(self, names: list[str]) -> None:
        for name in names:
            if self.servers[name].slot < 0:
                self._join(self.servers[name])

    def _join(self, server: Server) -> None:
        """Bring a server into use."""
        server.clear_health()
        self.slow_start.initialize_budget(self.now, server)
        server.slot = self.shares.join(self._location(server.entry), len(server.in_flight))
        self.ready.append(server)
        self.slow_start.begin_slow_start(server, self._slow_start_from_ms(server))

    def _leave(self, server: Server) -> None:
        """Take a server out of use; it gets no new attempts."""
        if server.slot < 0:
            return
        self.shares.leave(server.slot)
        self.ejection.remove_from_use(server)
        server.slot = NO_SLOT
        self.slow_start.remove_from_use(server)

    def _exclude(self, server: Server) -> None:
        """Take a server out of use and make it ineligible for the working set."""
        self.working_set.remove_candidate(server.entry.server)
        self._leave(server)

    def _remove_all_but(self, listed: set[str]) -> None:
        for name in [name for name in self.servers if name not in listed]:
            self._remove(name)

    def _remove(self, name: str) -> None:
        """Remove a server that is no longer in the list."""
        server = self.servers.pop(name, None)
        if server is None:
            return
        self._exclude(server)
        self.ejection.forget(server)
        self.responsiveness.forget(server)

    def excluded_count(self) -> int:
        """Return the number of listed servers that are in maintenance, not in use, ejected or suspect."""
        excluded = {name for name in self.in_maintenance if name in self.servers}
        excluded |= {name for name in self.working_set.cell_of if self.servers[name].slot < 0}
        excluded |= {server.entry.server for server in self.ejection.ejected(self.now)}
        excluded |= {server.entry.server for server in self.responsiveness.suspects(self.now)}
        return len(excluded)

    # ---- attempts

    def attempt_started(self, server: Server, key: AttemptKey, attempt: OutstandingAttempt) -> None:
        """Record that an attempt is sent to the server."""
        self.slow_start.charge_send(server)
        server.in_flight[key] = attempt
        if len(server.in_flight) == 1:
            self.responsiveness.track_oldest(server, key, attempt)
        self.shares.add_in_flight(server.slot, 1)

    def attempt_ended(self, server: Server, key: AttemptKey) -> OutstandingAttempt | None:
        """Remove and return an attempt that has ended; None if it was sent to another incarnation."""
        was_oldest = next(iter(server.in_flight), None) == key
        attempt = server.in_flight.pop(key, None)
        if attempt is not None and server.slot >= 0:
            self.shares.add_in_flight(server.slot, -1)
        if was_oldest and server.in_flight:
            next_key, next_attempt = next(iter(server.in_flight.items()))
            self.responsiveness.track_oldest(server, next_key, next_attempt)
        return attempt

    def answer_received(self, server: Server, timely: bool) -> None:
        """Record a good answer; timely: whether it came soon enough to show that the server has capacity."""
        self.traffic.answers.add(self.now)
        self.responsiveness.answer_received(self.now, server)
        if timely:
            self.slow_start.record_timely_answer(self.now, server)

    def record_rejection(self, server: Server, service_class: str) -> None:
        """Record that the server rejected a request of this class as overload."""
        self.ejection.record_rejection(self.now, server, service_class)

    def record_result(self, server: Server, failed: bool, unreachable: bool = False) -> None:
        """Record whether an attempt failed.

        unreachable: the connection was not accepted within the time that it may take.
        """
        if self.ejection.record_result(self.now, server, failed, unreachable):
            self.refresh_working_set(at_once=True)

    # ---- selection

    def pick(
        self, service_class: io.ServiceClass, tried: list[str], possibly_ran_on: io.Endpoint | None
    ) -> Server | None:
        """Draw a server for a request of this class; None if no server may take it now.

        tried: names of the servers that the request was sent to.
        possibly_ran_on: the server on which the request may have run; it may be draining.
        """
        if not self.ready:
            return None
        constraints = SelectionConstraints(
            excluded=self.slow_start.exhausted_slots(self.now) if self.slow_start.cold else (),
            tried=self._slots_of(tried) if tried else (),
            degraded=self._degraded_slots(service_class),
            group=self._group(service_class, possibly_ran_on),
            may_repeat=possibly_ran_on is not None,
        )
        slot = self.shares.choose(constraints, self.rng)
        return self.ready[slot] if slot >= 0 else None

    def _slots_of(self, names: list[str]) -> list[int]:
        servers = (self.servers.get(name) for name in names)
        return [server.slot for server in servers if server is not None and server.slot >= 0]

    def _group(
        self, service_class: io.ServiceClass, possibly_ran_on: io.Endpoint | None
    ) -> IdempotencyGroup | None:
        """Return the group to which a keyed request that may have run is restricted, or None."""
        if possibly_ran_on is None or service_class.effect != "keyed" or service_class.group == "all":
            return None
        if service_class.group == "zone":
            return IdempotencyGroup(False, self.zones.get(possibly_ran_on.zone, UNKNOWN_ZONE_CODE))
        return IdempotencyGroup(True, possibly_ran_on.cell)

    def _degraded_slots(self, service_class: io.ServiceClass) -> list[int]:
        """Return the slots of servers that are drawn only if there are no others."""
        ejection = self.ejection
        responsiveness = self.responsiveness
        responsiveness.update(self.now)
        slots = ejection.unhealthy_slots(self.now, service_class.name) if ejection.unhealthy else []
        if responsiveness.unresponsive or responsiveness.overdue:
            slots += responsiveness.suspect_slots(self.now)
        return slots
