"""The working set: the servers that a balancer uses. With little traffic they are a part of the list.

A balancer that sends ten requests per second to two hundred servers sends to each one every twenty seconds.
Then its probabilities P are little more than random, its knowledge about a server is out of date by the next
use, and a server that accepts requests but never answers costs every balancer a request before any of them
avoids it. So a balancer uses only as many servers as it can send to about every TARGET_SEND_INTERVAL_MS: what
it learns about a server is then still valid at the next send.

All balancers together use all servers: each balancer ranks the cells in an order of its own, by rendezvous
hashing (Thaler and Ravishankar 1996) with its own salt.

Servers come into use by whole cells, because a keyed request may be repeated only within the cell that drops
its repeats. Of a cell with more than SERVERS_PER_CELL_PART servers, only the first ones by the same hashing
are used: so the number of servers in use follows from the balancer's traffic and not from the size of cells.
docs/spread.md describes the observations, alternatives and measurements.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Iterator
from hashlib import blake2b
from itertools import chain
from typing import NamedTuple

TARGET_SEND_INTERVAL_MS = 1_500.0  # target mean interval between two requests to a server in use
MIN_SERVERS_IN_USE = 16
# Larger cells are used in parts of this many servers. It is half of the minimum, so that at least two cells
# are in use and a retry can go to another cell.
SERVERS_PER_CELL_PART = MIN_SERVERS_IN_USE // 2
# Servers leave use only above this multiple of the target count, so that a flapping server moves no others.
MAX_IN_USE_MULTIPLE = 1.5

AvailabilityCheck = Callable[[str], bool]  # given a server's name: whether it counts towards the target count


class WorkingSetChange(NamedTuple):
    """Names of the servers that came into use, and of those that left use."""

    added: list[str]
    removed: list[str]


NO_CHANGE = WorkingSetChange([], [])


class WorkingSet:
    """The servers in use, chosen from the candidates: the servers that may be used."""

    def __init__(self, salt: int) -> None:
        self.salt = blake2b(str(salt).encode(), digest_size=16).digest()
        self.target_send_interval_ms = TARGET_SEND_INTERVAL_MS
        self.cell_of: dict[str, int] = {}  # the cell of each candidate
        self.cells: dict[int, dict[str, None]] = {}  # the candidates by cell
        self.ranked_cells: list[tuple[int, int]] = []  # (score, cell), sorted
        # Sorted (score, server) of each large cell: one with more than SERVERS_PER_CELL_PART candidates.
        self.ranked_servers: dict[int, list[tuple[int, str]]] = {}
        self.used: dict[int, dict[str, None]] = {}  # servers in use, by cell
        self.size = 0  # number of servers in use

    def _score(self, item: int | str) -> int:
        """Return the hash that ranks a cell or a server for this balancer; lower scores come first."""
        text = str(item).encode()
        return int.from_bytes(blake2b(text, digest_size=8, key=self.salt).digest(), "big")

    # ---- candidates

    def add_candidate(self, name: str, cell: int) -> bool:
        """Add a server that may be used.

        Return whether it comes into use at once, which it does if all others of its cell are in use.
        """
        self.remove_candidate(name)
        self.cell_of[name] = cell
        if cell not in self.cells:
            self.cells[cell] = {}
            insort(self.ranked_cells, (self._score(cell), cell))
        cell_in_use = len(self.used.get(cell, ())) == len(self.cells[cell]) > 0
        self.cells[cell][name] = None
        self._rank(name, cell)
        if cell_in_use:
            self._take_into_use(name)
        return cell_in_use

    def remove_candidate(self, name: str) -> None:
        """Remove a server that may no longer be used."""
        cell = self.cell_of.get(name)
        if cell is None:
            return
        self._take_out_of_use(name)
        del self.cell_of[name]
        del self.cells[cell][name]
        self._unrank(name, cell)
        if not self.cells[cell]:
            del self.cells[cell]
            self.ranked_cells.remove((self._score(cell), cell))

    def _rank(self, name: str, cell: int) -> None:
        if cell in self.ranked_servers:
            insort(self.ranked_servers[cell], (self._score(name), name))
        elif len(self.cells[cell]) > SERVERS_PER_CELL_PART:
            self.ranked_servers[cell] = sorted((self._score(other), other) for other in self.cells[cell])

    def _unrank(self, name: str, cell: int) -> None:
        if cell not in self.ranked_servers:
            return
        ranked = self.ranked_servers[cell]
        del ranked[bisect_left(ranked, (self._score(name), name))]
        if len(ranked) <= SERVERS_PER_CELL_PART:
            del self.ranked_servers[cell]

    # ---- servers in use

    def _take_into_use(self, name: str) -> None:
        self.used.setdefault(self.cell_of[name], {})[name] = None
        self.size += 1

    def _take_out_of_use(self, name: str) -> None:
        cell = self.cell_of[name]
        names = self.used.get(cell, {})
        if name not in names:
            return
        del names[name]
        self.size -= 1
        if not names:
            del self.used[cell]

    def in_use(self, name: str) -> bool:
        """Return whether the server is in use."""
        cell = self.cell_of.get(name)
        return cell is not None and name in self.used.get(cell, ())

    def restore(self, names: list[str]) -> list[str]:
        """Take into use those of the named servers that are candidates, and the other servers of small cells.

        Return the servers that were not in use before.
        """
        added = []
        for name in names:
            for other in self._companions(name):
                if not self.in_use(other):
                    self._take_into_use(other)
                    added.append(other)
        return added

    def _companions(self, name: str) -> list[str]:
        """Return the servers that come into use together with this one, itself included.

        The result is empty if the server is not a candidate.
        """
        cell = self.cell_of.get(name)
        if cell is None:
            return []
        return [name] if cell in self.ranked_servers else list(self.cells[cell])

    def target_count(self, requests_per_ms: float) -> int:
        """Return how many servers to use, so that each gets a request every target_send_interval_ms."""
        return max(
            MIN_SERVERS_IN_USE, round(min(len(self.cell_of), requests_per_ms * self.target_send_interval_ms))
        )

    def update(self, target_count: int, is_available: AvailabilityCheck) -> WorkingSetChange:
        """Take servers into use and out of use, and return the change.

        The first cells by rank that together have target_count available servers are in use, large cells in
        part. So a new server is used by its share of the balancers at once. A server that fails stays in
        use, and the next cell by rank is used in addition.
        """
        if self.size == len(self.cell_of) <= MAX_IN_USE_MULTIPLE * target_count:
            return NO_CHANGE
        needed = self._needed(target_count, is_available)
        added = [name for names in needed.values() for name in names if not self.in_use(name)]
        for name in added:
            self._take_into_use(name)
        removed = self._surplus(needed, target_count, is_available)
        for name in removed:
            self._take_out_of_use(name)
        return WorkingSetChange(added, removed)

    def _needed(self, target_count: int, is_available: AvailabilityCheck) -> dict[int, list[str]]:
        """Return the servers to use, by cell: the first by rank with target_count available ones in all."""
        needed: dict[int, list[str]] = {}
        total = 0
        for cell, part in self._parts_by_rank(is_available):
            if total >= target_count:
                break
            needed.setdefault(cell, []).extend(part)
            total += sum(map(is_available, part))
        return needed

    def _parts_by_rank(self, is_available: AvailabilityCheck) -> Iterator[tuple[int, list[str]]]:
        """Yield parts of cells in the order of their use.

        First come all small cells and the first parts of large cells, by rank. Then come the second parts of
        large cells, and so on.
        """
        large_cells: deque[tuple[int, Iterator[list[str]]]] = deque()
        for _, cell in self.ranked_cells:
            if cell not in self.ranked_servers:
                yield cell, list(self.cells[cell])
                continue
            parts = self._parts_of_large_cell(cell, is_available)
            yield cell, next(parts)
            large_cells.append((cell, parts))
        while large_cells:
            cell, parts = large_cells.popleft()
            part = next(parts, None)
            if part is not None:
                yield cell, part
                large_cells.append((cell, parts))

    def _parts_of_large_cell(self, cell: int, is_available: AvailabilityCheck) -> Iterator[list[str]]:
        """Yield a large cell's servers by rank, in parts with SERVERS_PER_CELL_PART available servers each.

        The last part may have fewer.
        """
        part: list[str] = []
        available_count = 0
        for _, name in self.ranked_servers[cell]:
            part.append(name)
            available_count += is_available(name)
            if available_count == SERVERS_PER_CELL_PART:
                yield part
                part = []
                available_count = 0
        if part:
            yield part

    def _surplus(
        self, needed: dict[int, list[str]], target_count: int, is_available: AvailabilityCheck
    ) -> list[str]:
        """Return the servers to take out of use, the last by rank first.

        They are those that exceed MAX_IN_USE_MULTIPLE times the target count, and are not needed.
        """
        total = sum(map(is_available, chain.from_iterable(self.used.values())))
        surplus: list[str] = []
        if total <= MAX_IN_USE_MULTIPLE * target_count:
            return surplus
        for _, cell in reversed(self.ranked_cells):
            for names in self._removable(cell, needed):
                if total <= MAX_IN_USE_MULTIPLE * target_count:
                    return surplus
                surplus += names
                total -= sum(map(is_available, names))
        return surplus

    def _removable(self, cell: int, needed: dict[int, list[str]]) -> list[list[str]]:
        """Return the groups of a cell's servers that may leave use, in order.

        A cell that is not needed leaves use as one group. Of a needed cell, each server that is not needed is
        a group of its own.
        """
        names = self.used.get(cell, {})
        if cell not in needed:
            return [list(names)]
        needed_in_cell = set(needed[cell])
        return [[name] for name in reversed(names) if name not in needed_in_cell]
