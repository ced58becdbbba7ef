"""The figures of the servers in use, column by column, in lists or in arrays. Nothing is decided here.

A server is a slot 0..n-1, in the order in which the servers joined. Joins and leaves cost the same however
many there are: while members change, P is held as raw figures times one scale, and what has left is swept out
by commit(). automaton.py says what the figures are and draws from them.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from typing import Any, NamedTuple


class Row(NamedTuple):
    """The figures of one server, in the order of the columns."""

    p: float
    cost: float
    latency: float
    reported_load: float
    zone_penalty: float
    base: float
    open: int
    zone: int
    cell: int


COLUMNS = Row._fields


class Columns:
    """The columns, and what holds for all of them. Slots stay between begin() and commit()."""

    def __init__(self) -> None:
        self.p: Any = []  # shares; while members change, times scale
        self.cost: Any = []  # smoothed costs, in typical latencies
        self.latency: Any = []  # the last known, in typical latencies
        self.reported_load: Any = []  # loads, as last reported
        self.zone_penalty: Any = []  # for crossing zones, in typical latencies
        self.base: Any = []  # the part of Eq. 6's z that reports have no part in
        self.open: Any = []  # attempts that are in flight
        self.zone: Any = []  # codes
        self.cell: Any = []  # codes
        self.slot_count = 0  # slots in use; equal to alive but between begin and commit
        self.alive = 0  # servers
        self.total_in_flight = 0  # attempts in flight at all of them
        self.scores = 0  # costs that were scored since the start
        self.has_costs = False  # there are costs: all have one, or none has
        self.dead: list[int] = []  # slots of those that left since begin
        self.scale = 1.0
        self.total = 0.0  # sum of p
        self.cost_total = 0.0

    def copy_counts(self, other: Columns) -> None:
        """Take over what stands beside the columns."""
        self.slot_count = other.slot_count
        self.alive = other.alive
        self.total_in_flight = other.total_in_flight
        self.has_costs = other.has_costs
        self.scores = other.scores

    def begin(self) -> None:
        """Servers may join and leave from now on, until the commit."""
        self.scale = 1.0
        self.total = self._sum(self.p)
        self.cost_total = self._sum(self.cost)

    def commit(self) -> int:
        """Sweep out what has left; the first slot that has moved, or -1."""
        self._settle(self.slot_count)
        self._rescale(self.scale)
        self.scale = 1.0
        if not self.dead:
            return -1
        first = min(self.dead)
        self._sweep_out()
        self.slot_count = self.alive
        self.dead = []
        return first

    def add_in_flight(self, slot: int, by: int) -> None:
        """So many more attempts are in flight at it, or fewer."""
        self.open[slot] += by
        self.total_in_flight += by

    # ---- what the two forms do differently

    def _append(self, row: Row) -> None:
        """Add a server's figures."""
        raise NotImplementedError

    def _settle(self, slot: int) -> None:
        """What was appended can be read by its slot, if this is one of those."""
        return None

    def _sweep_out(self) -> None:
        """Drop the slots of the dead."""
        raise NotImplementedError

    def _sum(self, column: Any) -> float:
        """The sum of a column."""
        raise NotImplementedError

    def _level(self) -> None:
        """All servers share alike."""
        raise NotImplementedError

    def _rescale(self, by: float) -> None:
        """Multiply P by a factor."""
        raise NotImplementedError


class PlainColumns(Columns):
    """The columns in lists."""

    def _columns(self) -> Iterable[list[Any]]:
        return (getattr(self, name) for name in COLUMNS)

    def _append(self, row: Row) -> None:
        for column, value in zip(self._columns(), row, strict=True):
            column.append(value)

    def _sweep_out(self) -> None:
        gone = set(self.dead)
        kept = [slot for slot in range(self.slot_count) if slot not in gone]
        for column in self._columns():
            column[:] = [column[slot] for slot in kept]

    def _sum(self, column: Any) -> float:
        return float(sum(column))

    def _level(self) -> None:
        gone = set(self.dead)
        self.p = [0.0 if slot in gone else 1.0 for slot in range(self.slot_count)]
        self.total = float(self.alive)

    def _rescale(self, by: float) -> None:
        if by != 1.0:
            self.p = [p * by for p in self.p]


class ArrayColumns(Columns):
    """The columns in arrays (numpy).

    What joins waits as rows until it is read or committed: arrays grow by the batch.
    """

    np: Any
    added: Any  # the bare sum: the method costs twice as much on a hundred figures
    rows: list[Row]

    def _append(self, row: Row) -> None:
        self.rows.append(row)

    def _settle(self, slot: int) -> None:
        if self.rows and slot >= len(self.p):
            for name, column in zip(COLUMNS, self.np.array(self.rows, dtype=float).T, strict=True):
                setattr(self, name, self.np.concatenate((getattr(self, name), column)))
            self.rows = []

    def _sweep_out(self) -> None:
        for name in COLUMNS:
            setattr(self, name, self.np.delete(getattr(self, name), self.dead))

    def _sum(self, column: Any) -> float:
        return float(self.added(column))

    def _level(self) -> None:
        self._settle(self.slot_count)
        self.p[:] = 1.0
        self.p[self.dead] = 0.0
        self.total = float(self.alive)

    def _rescale(self, by: float) -> None:
        if by != 1.0:
            self.p *= by


def load_arrays() -> Any:
    """numpy, or None where it is not installed: lists then serve all sizes. Some 0.1 s and 11 MB, once."""
    os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")  # its thread pool would be made for nothing
    try:
        import numpy
    except ImportError:
        return None
    return numpy
