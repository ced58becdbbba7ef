"""Which servers a balancer uses: all of the list where its traffic is dense, a part of it where it is thin.

A balancer that sends ten requests a second over two hundred servers meets each once in twenty seconds. Its P
is a blind draw, what it knows of a server is old when it is used, and one that swallows requests costs every
balancer a request before any of them leaves it alone. So it uses as many servers as it meets about every
MEET_MS: what one of these shows is still true at the next send there. All balancers together use all servers:
each takes cells in an order of its own (rendezvous hashing, Thaler and Ravishankar 1996, with its own salt).

The unit is the cell, as a keyed request may go again only where its repeats are dropped. docs/spread.md holds
what was seen, weighed and measured.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable
from hashlib import blake2b

MEET_MS = 1_500.0  # a server in use is met about this often
LEAST = 16  # servers in use at the least
SLACK = 1.5  # of what is wanted, that may be in use before cells are left: what flaps moves nobody


class WorkingSet:
    """The cells in use, out of those that have servers to use."""

    def __init__(self, salt: int) -> None:
        self.salt = blake2b(str(salt).encode(), digest_size=16).digest()
        self.meet_ms = MEET_MS
        self.cell_of: dict[str, int] = {}  # of each server that may be used
        self.cells: dict[int, dict[str, None]] = {}  # these servers by cell
        self.order: list[tuple[int, int]] = []  # score and cell, least first
        self.used: set[int] = set()

    def _score(self, cell: int) -> int:
        text = str(cell).encode()
        return int.from_bytes(blake2b(text, digest_size=8, key=self.salt).digest(), "big")

    def put(self, name: str, cell: int) -> bool:
        """This server may be used; whether its cell is in use."""
        self.drop(name)
        self.cell_of[name] = cell
        if cell not in self.cells:
            self.cells[cell] = {}
            insort(self.order, (self._score(cell), cell))
        self.cells[cell][name] = None
        return cell in self.used

    def drop(self, name: str) -> None:
        """It may not."""
        cell = self.cell_of.pop(name, None)
        if cell is None:
            return
        del self.cells[cell][name]
        if not self.cells[cell]:
            del self.cells[cell]
            self.order.remove((self._score(cell), cell))
            self.used.discard(cell)

    def wanted(self, per_ms: float) -> int:
        """Servers that so many requests a millisecond keep known."""
        return max(LEAST, round(min(len(self.cell_of), per_ms * self.meet_ms)))

    def choose(self, wanted: int, able: Callable[[str], bool]) -> tuple[list[int], list[int]]:
        """Cells to take into use, and to leave. able: whether a server counts (not ejected, say).

        In use are at least the first cells of the order that have enough such servers: so a new cell gets its
        part of the balancers at once, and one whose servers fail stays, with the next one beside it.
        """
        whole = len(self.used) == len(self.cells)
        if whole and len(self.cell_of) <= SLACK * wanted:
            return [], []
        count = {cell: sum(map(able, self.cells[cell])) for cell in self.used}
        total = 0
        taken: list[int] = []
        first: set[int] = set()
        for _, cell in self.order:
            if total >= wanted:
                break
            if cell not in count:
                taken.append(cell)
                count[cell] = sum(map(able, self.cells[cell]))
            total += count[cell]
            first.add(cell)
        left = []
        total = sum(count.values())
        for _, cell in reversed(self.order):
            if total <= SLACK * wanted:
                break
            if cell in count and cell not in first:
                left.append(cell)
                total -= count[cell]
        self.used.update(taken)
        self.used.difference_update(left)
        return taken, left
