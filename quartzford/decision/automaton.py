"""The CA-S automaton's arithmetic: P and the smoothed costs of the servers in use, and the draw from P.

No decision is made here. Two forms hold the same figures (columns.py): lists, and arrays from ARRAYS_FROM
servers on, where a pass over the fleet costs a few microseconds instead of a few for each server. Eq. 6, 8:
docs/decisions.md.
"""

from __future__ import annotations

import random
import sys
from bisect import bisect
from collections.abc import Collection, Sequence
from itertools import accumulate
from typing import Any, NamedTuple

from quartzford.decision.columns import COLUMNS, ArrayColumns, Columns, PlainColumns, Row, load_arrays

# a = b of Eq. 8 times the servers in use: an answer moves its server's share by at most about half.
LEARNING_RATE_TIMES_SERVERS = 0.5
MAX_LEARNING_RATE = 0.078  # a = b at most; the paper's testbed
EXPECTED_UPDATE_RATE = 0.1  # part of Eq. 8's mean over a draw by which each score moves all of P
COST_SMOOTHING_TIMES_SERVERS = (
    1.0  # alpha of Eq. 6 times the servers in use, so that a server's own few answers are averaged
)
MEAN_LOAD_COST = 1.0  # typical latencies for a reported load of the fleet's mean
LOAD_AND_ZONE_WEIGHT = 0.5  # weight of load and zone in a cost; the rest is the latency's
LATENCY_FACTOR = 1.0  # factor of the latency
LOW_COST_MULTIPLE = 0.6  # multiple of the least cost that counts as 0
HIGH_COST_MULTIPLE = 3.0  # costs above this multiple of the mean count as the largest
P_RW = 0.02  # of the draws are uniform
# Attempts that any server may have out beyond its share of all that are out; the last part makes a tie count
# as within, whichever way P's last bit has fallen.
MAX_EXCESS_IN_FLIGHT = 0.5 + 1e-9
ARRAYS_FROM = 48  # servers in use from which arrays are used
ARRAYS_TO = 24  # and under which they are left
LOAD_FROM = 256  # and from which numpy is loaded for it: a start costs some 0.15 s and 6 MB with it
RENEW = 4_096  # scores after which P is brought back to a sum of 1
LEAST = 1e-9  # share of the rest under which it is summed anew: a difference says nothing of it any more


class Location(NamedTuple):
    """Where a server is: its penalty for crossing zones, and codes for its zone and cell."""

    zone_penalty: float
    zone: int
    cell: int


class Group(NamedTuple):
    """A zone or a cell, by its code."""

    is_cell: bool
    code: int


class SelectionConstraints(NamedTuple):
    """What a send may be drawn from, by slots."""

    excluded: Collection[int]  # take nothing now
    tried: Collection[int]  # had an attempt of this request; only if nothing else can take it
    degraded: Collection[int]  # ejected or suspect; only if nothing else can take it
    group: Group | None  # the request may go nowhere else
    may_repeat: bool  # what was tried may take it, if nothing else can


class LearnedRow(NamedTuple):
    """The figures of a server as another process had them."""

    p: float
    cost: float  # 0: none
    latency: float
    reported_load: float


class Shares(Columns):
    """P, costs and their inputs. Servers join and leave between begin() and commit()."""

    # ---- members

    def join(self, place: Location, in_flight: int) -> int:
        """A newcomer gets 1/N, taken proportionally, at the mean smoothed cost; returns its slot."""
        self.alive += 1
        if self.alive == 1:
            self.scale = 1.0
            self.total = 0.0
            self.cost_total = 0.0
            self.has_costs = False
        else:
            self.scale *= 1.0 - 1.0 / self.alive
        raw = 1.0 / self.alive / self.scale
        cost = self.cost_total / (self.alive - 1) if self.has_costs else 0.0
        self._append(
            Row(
                p=raw,
                cost=cost,
                latency=1.0,
                reported_load=0.0,
                zone_penalty=place.zone_penalty,
                base=_base_cost(place.zone_penalty, 1.0),
                open=in_flight,
                zone=place.zone,
                cell=place.cell,
            )
        )
        self.total += raw
        self.cost_total += cost
        self.total_in_flight += in_flight
        self.slot_count += 1
        return self.slot_count - 1

    def leave(self, slot: int) -> None:
        """A leaver's share is spread proportionally."""
        self._settle(slot)
        self.alive -= 1
        self.dead.append(slot)
        self.total_in_flight -= int(self.open[slot])
        before = self.total
        self.total -= float(self.p[slot])
        self.cost_total -= float(self.cost[slot])
        self.p[slot] = 0.0
        self.cost[slot] = 0.0
        self.open[slot] = 0
        if not self.alive:
            self.has_costs = False
            return
        if self.total <= LEAST * before:
            self._settle(self.slot_count)
            self.total = self._sum(self.p)
            self.cost_total = self._sum(self.cost)
        if self.total <= 0.0:  # all that are left had nothing: they share alike
            self._level()
        self.scale = 1.0 / self.total

    def move(self, slot: int, place: Location) -> None:
        """Put a server in another place."""
        self._settle(slot)
        self.zone_penalty[slot] = place.zone_penalty
        self.zone[slot] = place.zone
        self.cell[slot] = place.cell
        self.base[slot] = _base_cost(place.zone_penalty, self.latency[slot])

    # ---- what is learnt of a server

    def set_report(self, slot: int, load: float) -> None:
        """Take the load of a server's latest load report."""
        self.reported_load[slot] = load

    def score(self, slot: int, latency: float) -> None:
        """Eq. 6 for all; Eq. 8 for the one that answered or failed (none: -1), then its mean over a draw."""
        if slot >= 0:
            self.latency[slot] = latency
            self.base[slot] = _base_cost(self.zone_penalty[slot], latency)
        if not self.slot_count:
            return
        self._score(slot)
        self.scores += 1
        if self.scores % RENEW == 0:
            self._rescale(1.0 / self._sum(self.p))

    def restore(self, rows: dict[int, LearnedRow]) -> None:
        """Take what a process before had learnt, by slot; other servers keep what they have."""
        if not rows:
            return
        for slot, learned in rows.items():
            self.p[slot] = learned.p
            self.cost[slot] = learned.cost
            self.latency[slot] = learned.latency
            self.reported_load[slot] = learned.reported_load
            self.base[slot] = _base_cost(self.zone_penalty[slot], learned.latency)
        known = [learned.cost for learned in rows.values() if learned.cost > 0]
        self.has_costs = bool(known)
        for slot in range(self.slot_count):
            if known and slot not in rows:
                self.cost[slot] = sum(known) / len(known)
        total = self._sum(self.p)
        if total > 0:
            self._rescale(1.0 / total)
        else:
            self._level()

    # ---- the draw

    def choose(self, query: SelectionConstraints, rng: random.Random) -> int:
        """A draw from P, or with P_rw a uniform one, over the best of the slots that there are; -1: none.

        Bounded load: a server over its share of what is out from here waits while others are under theirs.
        """
        if not self.slot_count:
            return -1
        excluded, tried, degraded, group, may_repeat = query
        passed_over = {*excluded, *tried, *degraded} if excluded or tried or degraded else None
        slot = self._draw(passed_over, group, True, rng)
        if slot < 0:
            slot = self._draw(passed_over, group, False, rng)
        if slot < 0 and degraded:
            slot = self._draw({*excluded, *tried}, group, False, rng)
        if slot < 0 and may_repeat:
            slot = self._draw(set(excluded), group, False, rng)
        return slot

    def _score(self, slot: int) -> None:
        """Eq. 6 and 8; slot: of the one that answered, or -1."""
        raise NotImplementedError

    def _draw(
        self, passed_over: set[int] | None, group: Group | None, underloaded: bool, rng: random.Random
    ) -> int:
        """A draw over the slots of a group but those passed over, underloaded ones only or all; -1: none."""
        raise NotImplementedError


class PlainShares(PlainColumns, Shares):
    """The figures in lists."""

    def _score(self, slot: int) -> None:
        n = self.slot_count
        memory = min(0.5, COST_SMOOTHING_TIMES_SERVERS / n)
        load = sum(self.reported_load) / n
        zs = self.base
        if load:
            weight = LOAD_AND_ZONE_WEIGHT * MEAN_LOAD_COST / (1 + load)
            zs = [base + weight * report for base, report in zip(zs, self.reported_load, strict=True)]
        if self.has_costs:
            rest = 1 - memory
            self.cost = [memory * z + rest * c for z, c in zip(zs, self.cost, strict=True)]
        else:
            self.cost = list(zs)
            self.has_costs = True
        if n < 2:
            return
        costs = self.cost
        low = LOW_COST_MULTIPLE * min(costs)
        high = min(max(costs), HIGH_COST_MULTIPLE * sum(costs) / n)
        if high > low:
            per = 1.0 / (high - low)
            betas = [(c - low) * per if c < high else 1.0 for c in costs]
        else:
            betas = [0.5] * n
        ps = self.p
        if slot >= 0:
            beta = betas[slot]
            step = min(MAX_LEARNING_RATE, LEARNING_RATE_TIMES_SERVERS / n)
            own = ps[slot] + step * (1 - beta) * (1 - ps[slot]) - step * beta * ps[slot]
            part = step * beta / (n - 1)
            rest = 1 - step
            ps = [p * rest + part for p in ps]
            ps[slot] = own
        # A server answers here once in seconds: the costs just refreshed move P by Eq. 8's mean over a draw.
        parts = [p * beta for p, beta in zip(ps, betas, strict=True)]
        plus = EXPECTED_UPDATE_RATE * sum(parts) / (n - 1)
        minus = EXPECTED_UPDATE_RATE * n / (n - 1)
        self.p = [p + plus - minus * part for p, part in zip(ps, parts, strict=True)]

    def _draw(
        self, passed_over: set[int] | None, group: Group | None, underloaded: bool, rng: random.Random
    ) -> int:
        p: list[float] = self.p
        slots: Sequence[int] = range(self.slot_count)
        if group is not None:
            column = self.cell if group.is_cell else self.zone
            slots = [slot for slot in slots if column[slot] == group.code]
        if underloaded:
            in_flight = self.open
            out = self.total_in_flight
            slots = [slot for slot in slots if in_flight[slot] <= p[slot] * out + MAX_EXCESS_IN_FLIGHT]
        if passed_over:
            slots = [slot for slot in slots if slot not in passed_over]
        if not slots:
            return -1
        if rng.random() < P_RW:
            return rng.choice(slots)
        sums = list(accumulate([p[slot] for slot in slots]))
        return slots[bisect(sums, rng.random() * sums[-1], 0, len(sums) - 1)]


class ArrayShares(ArrayColumns, Shares):
    """The figures in arrays."""

    def __init__(self, numpy: Any, other: Shares) -> None:
        super().__init__()
        self.np = numpy
        # The bare ufuncs: methods such as sum() cost twice as much on a hundred figures.
        self.added = numpy.add.reduce
        self.least = numpy.minimum.reduce
        self.most = numpy.maximum.reduce
        for name in COLUMNS:
            setattr(self, name, numpy.array(getattr(other, name), dtype=float))
        self.rows: list[Row] = []
        self.copy_counts(other)

    def plain(self) -> PlainShares:
        """The same figures in lists."""
        other = PlainShares()
        for name in COLUMNS:
            setattr(other, name, getattr(self, name).tolist())
        other.copy_counts(self)
        return other

    def _score(self, slot: int) -> None:
        np = self.np
        n = self.slot_count
        p = self.p
        cost = self.cost
        memory = min(0.5, COST_SMOOTHING_TIMES_SERVERS / n)
        load = float(self.added(self.reported_load)) / n
        if not self.has_costs:
            memory = 1.0
            self.has_costs = True
        cost *= 1 - memory
        if load:
            cost += self.reported_load * (memory * LOAD_AND_ZONE_WEIGHT * MEAN_LOAD_COST / (1 + load))
        cost += self.base * memory
        if n < 2:
            return
        low = LOW_COST_MULTIPLE * float(self.least(cost))
        high = min(float(self.most(cost)), HIGH_COST_MULTIPLE * float(self.added(cost)) / n)
        if high > low:
            per = 1.0 / (high - low)
            beta = np.minimum(cost, high)  # times per; what it is multiplied with takes that in
            beta -= low
        else:
            per = 1.0
            beta = np.full(n, 0.5)
        if slot >= 0:
            own_beta = per * float(beta[slot])
            step = min(MAX_LEARNING_RATE, LEARNING_RATE_TIMES_SERVERS / n)
            own = float(p[slot])
            own += step * (1 - own_beta) * (1 - own) - step * own_beta * own
            p *= 1 - step
            p += step * own_beta / (n - 1)
            p[slot] = own
        beta *= p
        plus = EXPECTED_UPDATE_RATE * per * float(self.added(beta)) / (n - 1)
        beta *= EXPECTED_UPDATE_RATE * per * n / (n - 1)
        p -= beta
        p += plus

    def _draw(
        self, passed_over: set[int] | None, group: Group | None, underloaded: bool, rng: random.Random
    ) -> int:
        p = self.p
        if underloaded:
            capacity = p * self.total_in_flight
            capacity += MAX_EXCESS_IN_FLIGHT
            mask = self.open <= capacity
        else:
            mask = self.np.ones(self.slot_count, dtype=bool)
        if group is not None:
            mask &= (self.cell if group.is_cell else self.zone) == group.code
        if passed_over:
            mask[list(passed_over)] = False
        # Those that are out weigh nothing, so the sums are those over the others alone.
        sums = (p * mask).cumsum()
        total = float(sums[-1])
        if total <= 0.0 and not mask.any():
            return -1
        if rng.random() < P_RW:
            return int(rng.choice(mask.nonzero()[0]))
        slot = int(sums.searchsorted(rng.random() * total, "right"))
        return slot if slot < self.slot_count and mask[slot] else int(mask.nonzero()[0][-1])


def _base_cost(zone_penalty: float, latency: float) -> float:
    """The part of Eq. 6's z that load reports have no part in, in typical latencies."""
    return LOAD_AND_ZONE_WEIGHT * zone_penalty + (1 - LOAD_AND_ZONE_WEIGHT) * LATENCY_FACTOR * latency


def layout_for(shares: Shares, coming: int) -> Shares:
    """The form that suits so many servers; the figures are the same."""
    if isinstance(shares, ArrayShares):
        return shares.plain() if coming < ARRAYS_TO else shares
    least = ARRAYS_FROM if "numpy" in sys.modules else LOAD_FROM
    if coming >= least and (numpy := load_arrays()) is not None:
        return ArrayShares(numpy, shares)
    return shares
