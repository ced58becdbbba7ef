"""The CA-S automaton: P and the smoothed costs of the servers in use, and draws from P.

P holds, for each server in use, the probability that it is drawn for a send. This module only does the
arithmetic; its callers make the decisions. The values are stored in one of two layouts (columns.py): lists,
or numpy arrays from MIN_SERVERS_TO_USE_ARRAYS servers on. With arrays, a pass over the fleet takes a few
microseconds in total; with lists, it takes a few microseconds per server. "Eq. 6" and "Eq. 8" are equations
of the CA-S paper, see docs/decisions.md.
"""

from __future__ import annotations

import random
import sys
from bisect import bisect
from collections.abc import Collection, Sequence
from itertools import accumulate
from typing import Any, NamedTuple

from quartzford.decision.columns import (
    COLUMNS,
    ArrayColumns,
    Columns,
    PlainColumns,
    ServerRow,
    load_arrays,
)

# Learning rate (a = b in Eq. 8) times the number of servers in use: one answer changes its server's P by at
# most about half.
LEARNING_RATE_TIMES_SERVERS = 0.5
MAX_LEARNING_RATE = 0.078  # upper bound of a = b: the value in the testbed of the CA-S paper
# Each score also moves all of P by this fraction of the change that Eq. 8 makes on average over a draw.
EXPECTED_UPDATE_RATE = 0.1
# Alpha of Eq. 6 times the servers in use: averages a server's few answers when there are many servers.
COST_SMOOTHING_TIMES_SERVERS = 1.0
MEAN_LOAD_COST = 1.0  # cost, in typical latencies, of a reported load equal to the fleet's mean
LOAD_AND_ZONE_WEIGHT = 0.5  # K of Eq. 6: weight of load and zone in a cost; the latency has the rest
LATENCY_FACTOR = 1.0  # delta of Eq. 6: factor of the latency
LOW_COST_MULTIPLE = 0.6  # this multiple of the smallest cost is normalised to 0
HIGH_COST_MULTIPLE = 3.0  # the largest cost is normalised to 1, or this multiple of the mean cost if less
UNIFORM_DRAW_PROBABILITY = 0.02  # P_rw of the CA-S paper: probability that a draw ignores P
# Attempts that a server may have in flight beyond its share of all in flight. The small term counts a tie as
# within the bound, whichever way the last bit of P was rounded.
MAX_EXCESS_IN_FLIGHT = 0.5 + 1e-9
MIN_SERVERS_TO_USE_ARRAYS = 48
MIN_SERVERS_TO_KEEP_ARRAYS = 24  # with fewer servers, arrays are converted back to lists
MIN_SERVERS_TO_LOAD_NUMPY = 256  # importing numpy takes about 0.15 s and 6 MB at a start
SCORES_PER_NORMALIZATION = 4_096  # number of scores after which P is normalised to a sum of 1
# If a leave reduces the sum of P to less than this fraction, the sum is recomputed: the difference consists
# mostly of rounding errors.
MIN_REMAINING_SHARE = 1e-9


class Location(NamedTuple):
    """A server's location: its penalty for crossing zones, and the codes of its zone and cell."""

    zone_penalty: float
    zone: int
    cell: int


class IdempotencyGroup(NamedTuple):
    """The zone or cell whose servers drop each other's repeats, by its code."""

    is_cell: bool
    code: int


class SelectionConstraints(NamedTuple):
    """The constraints on the draw for one send. Servers are given by their slots."""

    excluded: Collection[int]  # may not be drawn now
    tried: Collection[int]  # had an attempt of this request; drawn only if there is no other server
    degraded: Collection[int]  # ejected or suspect; drawn only if there is no other server
    group: IdempotencyGroup | None  # if set, only servers of this group may be drawn
    may_repeat: bool  # whether a tried server may be drawn if there is no other


class LearnedRow(NamedTuple):
    """The values of a server that another process has learned."""

    p: float
    cost: float  # 0 if none is known
    latency: float
    reported_load: float


class Shares(Columns):
    """P, the costs and their inputs. Servers may join and leave only between begin() and commit()."""

    # ---- membership

    def join(self, location: Location, in_flight: int) -> int:
        """Add a server and return its slot.

        It gets a P of 1/N, taken from the others in proportion to theirs, and the mean smoothed cost.
        """
        self.server_count += 1
        if self.server_count == 1:
            self.p_scale = 1.0
            self.p_total = 0.0
            self.cost_total = 0.0
            self.has_costs = False
        else:
            self.p_scale *= 1.0 - 1.0 / self.server_count
        raw_p = 1.0 / self.server_count / self.p_scale
        cost = self.cost_total / (self.server_count - 1) if self.has_costs else 0.0
        self._append(
            ServerRow(
                p=raw_p,
                cost=cost,
                latency=1.0,
                reported_load=0.0,
                zone_penalty=location.zone_penalty,
                base_cost=_base_cost(location.zone_penalty, 1.0),
                in_flight=in_flight,
                zone=location.zone,
                cell=location.cell,
            )
        )
        self.p_total += raw_p
        self.cost_total += cost
        self.total_in_flight += in_flight
        self.slot_count += 1
        return self.slot_count - 1

    def leave(self, slot: int) -> None:
        """Remove a server; its P goes to the others in proportion to theirs."""
        self._append_pending(slot)
        self.server_count -= 1
        self.vacated_slots.append(slot)
        self.total_in_flight -= int(self.in_flight[slot])
        previous_total = self.p_total
        self.p_total -= float(self.p[slot])
        self.cost_total -= float(self.cost[slot])
        self.p[slot] = 0.0
        self.cost[slot] = 0.0
        self.in_flight[slot] = 0
        if not self.server_count:
            self.has_costs = False
            return
        if self.p_total <= MIN_REMAINING_SHARE * previous_total:
            self._append_pending(self.slot_count)
            self.p_total = self._sum(self.p)
            self.cost_total = self._sum(self.cost)
        if self.p_total <= 0.0:  # all remaining servers have a P of 0
            self._set_uniform()
        self.p_scale = 1.0 / self.p_total

    def set_location(self, slot: int, location: Location) -> None:
        """Update a server's location."""
        self._append_pending(slot)
        self.zone_penalty[slot] = location.zone_penalty
        self.zone[slot] = location.zone
        self.cell[slot] = location.cell
        self.base_cost[slot] = _base_cost(location.zone_penalty, self.latency[slot])

    # ---- learning

    def set_report(self, slot: int, load: float) -> None:
        """Record the load of a server's latest load report."""
        self.reported_load[slot] = load

    def score(self, slot: int, latency: float) -> None:
        """Update the costs and P after an attempt was answered or failed.

        Applies Eq. 6 to all servers, Eq. 8 to the attempt's server, and the expected change of Eq. 8 over a
        draw to all servers. slot: -1 if the attempt's server is not in use. latency: in typical latencies.
        """
        if slot >= 0:
            self.latency[slot] = latency
            self.base_cost[slot] = _base_cost(self.zone_penalty[slot], latency)
        if not self.slot_count:
            return
        self._score(slot)
        self.score_count += 1
        if self.score_count % SCORES_PER_NORMALIZATION == 0:
            self._rescale(1.0 / self._sum(self.p))

    def restore(self, rows: dict[int, LearnedRow]) -> None:
        """Take over the rows that another process has learned, by slot, and normalise P.

        Other servers keep their values, except that they get the mean of the learned costs, if there are any.
        """
        if not rows:
            return
        for slot, learned in rows.items():
            self.p[slot] = learned.p
            self.cost[slot] = learned.cost
            self.latency[slot] = learned.latency
            self.reported_load[slot] = learned.reported_load
            self.base_cost[slot] = _base_cost(self.zone_penalty[slot], learned.latency)
        known_costs = [learned.cost for learned in rows.values() if learned.cost > 0]
        self.has_costs = bool(known_costs)
        for slot in range(self.slot_count):
            if known_costs and slot not in rows:
                self.cost[slot] = sum(known_costs) / len(known_costs)
        total = self._sum(self.p)
        if total > 0:
            self._rescale(1.0 / total)
        else:
            self._set_uniform()

    # ---- the draw

    def choose(self, constraints: SelectionConstraints, rng: random.Random) -> int:
        """Draw a slot from P, or uniformly with the probability P_rw; return -1 if no slot may be drawn.

        Load is bounded: a server that has more than its share of the attempts in flight is drawn only if no
        server has less. Degraded and tried servers are drawn only if there are no others.
        """
        if not self.slot_count:
            return -1
        excluded, tried, degraded, group, may_repeat = constraints
        avoided = {*excluded, *tried, *degraded} if excluded or tried or degraded else None
        slot = self._draw(avoided, group, True, rng)
        if slot < 0:
            slot = self._draw(avoided, group, False, rng)
        if slot < 0 and degraded:
            slot = self._draw({*excluded, *tried}, group, False, rng)
        if slot < 0 and may_repeat:
            slot = self._draw(set(excluded), group, False, rng)
        return slot

    def _score(self, slot: int) -> None:
        """Apply Eq. 6 and Eq. 8; slot: the server of the attempt, or -1."""
        raise NotImplementedError

    def _draw(
        self, avoided: set[int] | None, group: IdempotencyGroup | None, underloaded: bool, rng: random.Random
    ) -> int:
        """Draw a slot of the group that is not avoided; return -1 if there is none.

        underloaded: draw only servers that have no more than their share of the attempts in flight.
        """
        raise NotImplementedError


class PlainShares(PlainColumns, Shares):
    """Shares in lists."""

    def _score(self, slot: int) -> None:
        n = self.slot_count
        alpha = min(0.5, COST_SMOOTHING_TIMES_SERVERS / n)
        mean_load = sum(self.reported_load) / n
        zs = self.base_cost
        if mean_load:
            weight = LOAD_AND_ZONE_WEIGHT * MEAN_LOAD_COST / (1 + mean_load)
            zs = [base_cost + weight * load for base_cost, load in zip(zs, self.reported_load, strict=True)]
        if self.has_costs:
            rest = 1 - alpha
            self.cost = [alpha * z + rest * c for z, c in zip(zs, self.cost, strict=True)]
        else:
            self.cost = list(zs)
            self.has_costs = True
        if n < 2:
            return
        costs = self.cost
        low = LOW_COST_MULTIPLE * min(costs)
        high = min(max(costs), HIGH_COST_MULTIPLE * sum(costs) / n)
        if high > low:
            factor = 1.0 / (high - low)
            betas = [(c - low) * factor if c < high else 1.0 for c in costs]
        else:
            betas = [0.5] * n
        ps = self.p
        if slot >= 0:
            beta = betas[slot]
            rate = min(MAX_LEARNING_RATE, LEARNING_RATE_TIMES_SERVERS / n)
            own_p = ps[slot] + rate * (1 - beta) * (1 - ps[slot]) - rate * beta * ps[slot]
            gain = rate * beta / (n - 1)
            rest = 1 - rate
            ps = [p * rest + gain for p in ps]
            ps[slot] = own_p
        # A server answers this balancer only every few seconds. Therefore the new costs move all of P at
        # once, by the expected change of Eq. 8 over a draw.
        losses = [p * beta for p, beta in zip(ps, betas, strict=True)]
        plus = EXPECTED_UPDATE_RATE * sum(losses) / (n - 1)
        minus = EXPECTED_UPDATE_RATE * n / (n - 1)
        self.p = [p + plus - minus * loss for p, loss in zip(ps, losses, strict=True)]

    def _draw(
        self, avoided: set[int] | None, group: IdempotencyGroup | None, underloaded: bool, rng: random.Random
    ) -> int:
        p: list[float] = self.p
        slots: Sequence[int] = range(self.slot_count)
        if group is not None:
            column = self.cell if group.is_cell else self.zone
            slots = [slot for slot in slots if column[slot] == group.code]
        if underloaded:
            in_flight = self.in_flight
            total_in_flight = self.total_in_flight
            slots = [
                slot for slot in slots if in_flight[slot] <= p[slot] * total_in_flight + MAX_EXCESS_IN_FLIGHT
            ]
        if avoided:
            slots = [slot for slot in slots if slot not in avoided]
        if not slots:
            return -1
        if rng.random() < UNIFORM_DRAW_PROBABILITY:
            return rng.choice(slots)
        sums = list(accumulate([p[slot] for slot in slots]))
        return slots[bisect(sums, rng.random() * sums[-1], 0, len(sums) - 1)]


class ArrayShares(ArrayColumns, Shares):
    """Shares in numpy arrays."""

    def __init__(self, numpy: Any, other: Shares) -> None:
        super().__init__()
        self.np = numpy
        # The bare ufuncs: methods such as sum() take twice as long on a hundred values.
        self.array_sum = numpy.add.reduce
        self.array_min = numpy.minimum.reduce
        self.array_max = numpy.maximum.reduce
        for name in COLUMNS:
            setattr(self, name, numpy.array(getattr(other, name), dtype=float))
        self.pending_rows: list[ServerRow] = []
        self.copy_counts(other)

    def plain(self) -> PlainShares:
        """Return the same values in lists."""
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
        alpha = min(0.5, COST_SMOOTHING_TIMES_SERVERS / n)
        mean_load = float(self.array_sum(self.reported_load)) / n
        if not self.has_costs:
            alpha = 1.0
            self.has_costs = True
        cost *= 1 - alpha
        if mean_load:
            cost += self.reported_load * (alpha * LOAD_AND_ZONE_WEIGHT * MEAN_LOAD_COST / (1 + mean_load))
        cost += self.base_cost * alpha
        if n < 2:
            return
        low = LOW_COST_MULTIPLE * float(self.array_min(cost))
        high = min(float(self.array_max(cost)), HIGH_COST_MULTIPLE * float(self.array_sum(cost)) / n)
        if high > low:
            factor = 1.0 / (high - low)
            beta = np.minimum(cost, high)  # not multiplied by factor yet: the terms below are, one by one
            beta -= low
        else:
            factor = 1.0
            beta = np.full(n, 0.5)
        if slot >= 0:
            own_beta = factor * float(beta[slot])
            rate = min(MAX_LEARNING_RATE, LEARNING_RATE_TIMES_SERVERS / n)
            own_p = float(p[slot])
            own_p += rate * (1 - own_beta) * (1 - own_p) - rate * own_beta * own_p
            p *= 1 - rate
            p += rate * own_beta / (n - 1)
            p[slot] = own_p
        beta *= p
        plus = EXPECTED_UPDATE_RATE * factor * float(self.array_sum(beta)) / (n - 1)
        beta *= EXPECTED_UPDATE_RATE * factor * n / (n - 1)
        p -= beta
        p += plus

    def _draw(
        self, avoided: set[int] | None, group: IdempotencyGroup | None, underloaded: bool, rng: random.Random
    ) -> int:
        p = self.p
        if underloaded:
            limit = p * self.total_in_flight
            limit += MAX_EXCESS_IN_FLIGHT
            mask = self.in_flight <= limit
        else:
            mask = self.np.ones(self.slot_count, dtype=bool)
        if group is not None:
            mask &= (self.cell if group.is_cell else self.zone) == group.code
        if avoided:
            mask[list(avoided)] = False
        # Masked slots have a weight of 0, so these are the cumulative sums over the other slots alone.
        sums = (p * mask).cumsum()
        total = float(sums[-1])
        if total <= 0.0 and not mask.any():
            return -1
        if rng.random() < UNIFORM_DRAW_PROBABILITY:
            return int(rng.choice(mask.nonzero()[0]))
        slot = int(sums.searchsorted(rng.random() * total, "right"))
        return slot if slot < self.slot_count and mask[slot] else int(mask.nonzero()[0][-1])


def _base_cost(zone_penalty: float, latency: float) -> float:
    """Return the part of z in Eq. 6 that load reports don't affect, in typical latencies."""
    return LOAD_AND_ZONE_WEIGHT * zone_penalty + (1 - LOAD_AND_ZONE_WEIGHT) * LATENCY_FACTOR * latency


def layout_for(shares: Shares, expected_servers: int) -> Shares:
    """Return the same shares in the layout, lists or arrays, that suits this number of servers."""
    if isinstance(shares, ArrayShares):
        return shares.plain() if expected_servers < MIN_SERVERS_TO_KEEP_ARRAYS else shares
    min_servers = MIN_SERVERS_TO_USE_ARRAYS if "numpy" in sys.modules else MIN_SERVERS_TO_LOAD_NUMPY
    if expected_servers >= min_servers and (numpy := load_arrays()) is not None:
        return ArrayShares(numpy, shares)
    return shares
