"""Per-server values of the servers in use, stored by column in lists or in numpy arrays. Decides nothing.

Each server has a slot, 0..n-1, in the order in which the servers joined. The cost of a join or a leave does
not depend on the number of servers: between begin() and commit(), P is stored as raw values with one common
scale, and commit() removes the slots of the servers that have left. automaton.py defines the values and draws
from P.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from typing import Any, NamedTuple


class ServerRow(NamedTuple):
    """The values of one server, in the order of the columns."""

    p: float
    cost: float
    latency: float
    reported_load: float
    zone_penalty: float
    base_cost: float
    in_flight: int
    zone: int
    cell: int


COLUMNS = ServerRow._fields


class Columns:
    """The columns and their totals. The slots of servers don't change between begin() and commit()."""

    def __init__(self) -> None:
        self.p: Any = []  # probabilities; between begin() and commit(), to be multiplied by p_scale
        self.cost: Any = []  # smoothed costs, in typical latencies
        self.latency: Any = []  # latest known latencies, in typical latencies
        self.reported_load: Any = []  # loads of the latest load reports
        self.zone_penalty: Any = []  # penalties for sends to another zone, in typical latencies
        self.base_cost: Any = []  # part of z in Eq. 6 of the CA-S paper that load reports don't affect
        self.in_flight: Any = []  # attempts in flight
        self.zone: Any = []  # zone codes
        self.cell: Any = []  # cell codes
        self.slot_count = 0  # equal to server_count, except between begin() and commit()
        self.server_count = 0
        self.total_in_flight = 0  # attempts in flight at all servers
        self.score_count = 0  # calls of score() since the start
        self.has_costs = False  # whether costs are known: either all servers have one or none has
        self.vacated_slots: list[int] = []  # slots of the servers that have left since begin()
        self.p_scale = 1.0
        self.p_total = 0.0  # sum of the column p, without p_scale
        self.cost_total = 0.0  # sum of the column cost

    def copy_counts(self, other: Columns) -> None:
        """Copy the counts that are kept beside the columns."""
        self.slot_count = other.slot_count
        self.server_count = other.server_count
        self.total_in_flight = other.total_in_flight
        self.has_costs = other.has_costs
        self.score_count = other.score_count

    def begin(self) -> None:
        """Begin a change of membership: servers may join and leave until commit()."""
        self.p_scale = 1.0
        self.p_total = self._sum(self.p)
        self.cost_total = self._sum(self.cost)

    def commit(self) -> int:
        """Remove the vacated slots; return the first slot whose server has changed, or -1."""
        self._append_pending(self.slot_count)
        self._rescale(self.p_scale)
        self.p_scale = 1.0
        if not self.vacated_slots:
            return -1
        first = min(self.vacated_slots)
        self._remove_vacated()
        self.slot_count = self.server_count
        self.vacated_slots = []
        return first

    def add_in_flight(self, slot: int, change: int) -> None:
        """Add to the number of attempts in flight at a server; a negative change subtracts."""
        self.in_flight[slot] += change
        self.total_in_flight += change

    # ---- operations that differ between lists and arrays

    def _append(self, row: ServerRow) -> None:
        """Append a server's values."""
        raise NotImplementedError

    def _append_pending(self, slot: int) -> None:
        """Make the values of a slot readable, if they were appended but are not in the columns yet."""
        return None

    def _remove_vacated(self) -> None:
        """Remove the vacated slots from the columns."""
        raise NotImplementedError

    def _sum(self, column: Any) -> float:
        """Return the sum of a column."""
        raise NotImplementedError

    def _set_uniform(self) -> None:
        """Give all servers the same P."""
        raise NotImplementedError

    def _rescale(self, factor: float) -> None:
        """Multiply P by a factor."""
        raise NotImplementedError


class PlainColumns(Columns):
    """The columns as lists."""

    def _columns(self) -> Iterable[list[Any]]:
        return (getattr(self, name) for name in COLUMNS)

    def _append(self, row: ServerRow) -> None:
        for column, value in zip(self._columns(), row, strict=True):
            column.append(value)

    def _remove_vacated(self) -> None:
        vacated = set(self.vacated_slots)
        kept = [slot for slot in range(self.slot_count) if slot not in vacated]
        for column in self._columns():
            column[:] = [column[slot] for slot in kept]

    def _sum(self, column: Any) -> float:
        return float(sum(column))

    def _set_uniform(self) -> None:
        vacated = set(self.vacated_slots)
        self.p = [0.0 if slot in vacated else 1.0 for slot in range(self.slot_count)]
        self.p_total = float(self.server_count)

    def _rescale(self, factor: float) -> None:
        if factor != 1.0:
            self.p = [p * factor for p in self.p]


class ArrayColumns(Columns):
    """The columns as numpy arrays.

    Appended rows are pending until they are read or committed, so that the arrays are enlarged in batches.
    """

    np: Any
    array_sum: Any  # the bare ufunc: the method sum() takes twice as long on a hundred values
    pending_rows: list[ServerRow]

    def _append(self, row: ServerRow) -> None:
        self.pending_rows.append(row)

    def _append_pending(self, slot: int) -> None:
        if self.pending_rows and slot >= len(self.p):
            for name, column in zip(COLUMNS, self.np.array(self.pending_rows, dtype=float).T, strict=True):
                setattr(self, name, self.np.concatenate((getattr(self, name), column)))
            self.pending_rows = []

    def _remove_vacated(self) -> None:
        for name in COLUMNS:
            setattr(self, name, self.np.delete(getattr(self, name), self.vacated_slots))

    def _sum(self, column: Any) -> float:
        return float(self.array_sum(column))

    def _set_uniform(self) -> None:
        self._append_pending(self.slot_count)
        self.p[:] = 1.0
        self.p[self.vacated_slots] = 0.0
        self.p_total = float(self.server_count)

    def _rescale(self, factor: float) -> None:
        if factor != 1.0:
            self.p *= factor


def load_arrays() -> Any:
    """Return the numpy module, or None if it is not installed; lists then hold the columns of any size.

    The first call takes about 0.1 s and 11 MB.
    """
    os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")  # numpy would start a thread pool that is never used
    try:
        import numpy
    except ImportError:
        return None
    return numpy
