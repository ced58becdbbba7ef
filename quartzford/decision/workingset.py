"""Which servers a balancer uses: all of the list where its traffic is dense, a part of it where it is thin.

A balancer that sends ten requests a second over two hundred servers meets each once in twenty seconds. Its P
is a blind draw, what it knows of a server is old when it is used, and one that swallows requests costs every
balancer a request before any of them leaves it alone. So it uses as many servers as it meets about every
TARGET_SEND_INTERVAL_MS: what one of these shows is still true at the next send there. All balancers
together use all servers: each takes cells in an order of its own (rendezvous hashing, Thaler and Ravishankar
1996, with its own salt).

The unit is the cell, as a keyed request may go again only where its repeats are dropped. Of a cell larger
than SERVERS_PER_CELL_PART only the first servers by the same hashing are used: how many servers a balancer
meets follows from its own traffic, and not from the size of cells. docs/spread.md holds what was seen,
weighed and measured.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Iterator
from hashlib import blake2b
from itertools import chain
from typing import NamedTuple

TARGET_SEND_INTERVAL_MS = 1_500.0  # a server in use is met about this often
MIN_SERVERS_IN_USE = 16  # servers in use at the least
# Larger cells are used in part: so the least are of two cells, and a retry has others.
SERVERS_PER_CELL_PART = MIN_SERVERS_IN_USE // 2
# Of what is wanted, that may be in use before cells are left: one that flaps moves no others.
MAX_IN_USE_MULTIPLE = 1.5

Able = Callable[[str], bool]  # whether a server counts, by its name (it is not ejected, say)


class Change(NamedTuple):
    """Servers to take into use, and servers to leave."""

    taken: list[str]
    left: list[str]


NO_CHANGE = Change([], [])


class WorkingSet:
    """The servers in use, out of those that may be used."""

    def __init__(self, salt: int) -> None:
        self.salt = blake2b(str(salt).encode(), digest_size=16).digest()
        self.target_send_interval_ms = TARGET_SEND_INTERVAL_MS
        self.cell_of: dict[str, int] = {}  # of each server that may be used
        self.cells: dict[int, dict[str, None]] = {}  # these servers by cell
        self.order: list[tuple[int, int]] = []  # score and cell, least first
        self.ranked_servers: dict[int, list[tuple[int, str]]] = {}  # of larger cells: score and server
        self.used: dict[int, dict[str, None]] = {}  # servers in use, by cell
        self.size = 0  # servers in use

    def _score(self, item: int | str) -> int:
        """The place of a cell or a server in this balancer's order."""
        text = str(item).encode()
        return int.from_bytes(blake2b(text, digest_size=8, key=self.salt).digest(), "big")

    # ---- servers that may be used

    def add_candidate(self, name: str, cell: int) -> bool:
        """This server may be used; whether it is in use at once, as all others of its cell are."""
        self.remove_candidate(name)
        self.cell_of[name] = cell
        if cell not in self.cells:
            self.cells[cell] = {}
            insort(self.order, (self._score(cell), cell))
        complete = len(self.used.get(cell, ())) == len(self.cells[cell]) > 0
        self.cells[cell][name] = None
        self._rank(name, cell)
        if complete:
            self._use(name)
        return complete

    def remove_candidate(self, name: str) -> None:
        """This server may not be used."""
        cell = self.cell_of.get(name)
        if cell is None:
            return
        self._leave(name)
        del self.cell_of[name]
        del self.cells[cell][name]
        self._unrank(name, cell)
        if not self.cells[cell]:
            del self.cells[cell]
            self.order.remove((self._score(cell), cell))

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

    def _use(self, name: str) -> None:
        self.used.setdefault(self.cell_of[name], {})[name] = None
        self.size += 1

    def _leave(self, name: str) -> None:
        cell = self.cell_of[name]
        names = self.used.get(cell, {})
        if name not in names:
            return
        del names[name]
        self.size -= 1
        if not names:
            del self.used[cell]

    def in_use(self, name: str) -> bool:
        """Whether this server is in use."""
        cell = self.cell_of.get(name)
        return cell is not None and name in self.used.get(cell, ())

    def restore(self, names: list[str]) -> list[str]:
        """Use these and what shares a small cell with them, as far as they may be; those not used before."""
        taken = []
        for name in names:
            for other in self._companions(name):
                if not self.in_use(other):
                    self._use(other)
                    taken.append(other)
        return taken

    def _companions(self, name: str) -> list[str]:
        """The servers that are used together with this one, itself included; none if it may not be used."""
        cell = self.cell_of.get(name)
        if cell is None:
            return []
        return [name] if cell in self.ranked_servers else list(self.cells[cell])

    def target_count(self, per_ms: float) -> int:
        """How many servers to use at so many requests a millisecond: what is known of each stays fresh."""
        return max(MIN_SERVERS_IN_USE, round(min(len(self.cell_of), per_ms * self.target_send_interval_ms)))

    def update(self, wanted: int, able: Able) -> Change:
        """Take servers into use, and leave some.

        In use are at least the first cells of the order that have enough able servers, of large cells a
        part. So a newcomer gets its share of the balancers at once, and what fails stays in use, with the
        next of the order beside it.
        """
        if self.size == len(self.cell_of) <= MAX_IN_USE_MULTIPLE * wanted:
            return NO_CHANGE
        first = self._first(wanted, able)
        taken = [name for names in first.values() for name in names if not self.in_use(name)]
        for name in taken:
            self._use(name)
        left = self._surplus(first, wanted, able)
        for name in left:
            self._leave(name)
        return Change(taken, left)

    def _first(self, wanted: int, able: Able) -> dict[int, list[str]]:
        """The first cells that together have enough able servers, and which of theirs are to be used."""
        first: dict[int, list[str]] = {}
        total = 0
        for cell, part in self._in_order(able):
            if total >= wanted:
                break
            first.setdefault(cell, []).extend(part)
            total += sum(map(able, part))
        return first

    def _in_order(self, able: Able) -> Iterator[tuple[int, list[str]]]:
        """Cells in the order of their use; of large ones the first parts, then the second, and so on."""
        large: deque[tuple[int, Iterator[list[str]]]] = deque()
        for _, cell in self.order:
            if cell not in self.ranked_servers:
                yield cell, list(self.cells[cell])
                continue
            parts = self._parts(cell, able)
            yield cell, next(parts)
            large.append((cell, parts))
        while large:
            cell, parts = large.popleft()
            part = next(parts, None)
            if part is not None:
                yield cell, part
                large.append((cell, parts))

    def _parts(self, cell: int, able: Able) -> Iterator[list[str]]:
        """A large cell's servers in parts of SERVERS_PER_CELL_PART able ones each; the last may be less."""
        part: list[str] = []
        counted = 0
        for _, name in self.ranked_servers[cell]:
            part.append(name)
            counted += able(name)
            if counted == SERVERS_PER_CELL_PART:
                yield part
                part = []
                counted = 0
        if part:
            yield part

    def _surplus(self, first: dict[int, list[str]], wanted: int, able: Able) -> list[str]:
        """What is in use beyond MAX_IN_USE_MULTIPLE times what is wanted, the last of the order first."""
        total = sum(map(able, chain.from_iterable(self.used.values())))
        left: list[str] = []
        if total <= MAX_IN_USE_MULTIPLE * wanted:
            return left
        for _, cell in reversed(self.order):
            for names in self._spare(cell, first):
                if total <= MAX_IN_USE_MULTIPLE * wanted:
                    return left
                left += names
                total -= sum(map(able, names))
        return left

    def _spare(self, cell: int, first: dict[int, list[str]]) -> list[list[str]]:
        """What of a cell may be left: all of it at once, or one by one the servers that are not needed."""
        names = self.used.get(cell, {})
        if cell not in first:
            return [list(names)]
        needed = set(first[cell])
        return [[name] for name in reversed(names) if name not in needed]
