"""A stable subset of the ready nodos for each balancer, in whole grupos. No I/O.

Rendezvous hashing (Thaler and Ravishankar, 1996) of the balancer's name with each grupo: the grupos of least
hash are used, until every zone has its minimum and all together the size. A grupo is used whole or not at
all, so that a keyed request always finds all nodos that drop its repeats. Balancers need not know of each
other; a nodo's loss moves nobody but those that used it. docs/subsets.md has what was weighed.
"""

from __future__ import annotations

from bisect import insort
from collections import Counter
from hashlib import blake2b

from quartzford.decision import interface as io
from quartzford.membership.listing import Listing

# A subset may be so many times its size before grupos are left: else one nodo that flaps would move two.
SLACK = 1.25
Held = tuple[io.Entry, tuple[str, int]]


def score(name: str, cell: int) -> int:
    """The place of a grupo in a balancer's order."""
    return int.from_bytes(blake2b(f"{name}/{cell}".encode(), digest_size=8).digest())


class Subset:
    """Filters what discovery tells. size: ready nodos wanted; per_zone: of each zone at least."""

    def __init__(self, name: str, size: int, per_zone: int = 0) -> None:
        self.name, self.size, self.per_zone = name, size, per_zone
        self.held: dict[str, Held] = {}  # all that discovery tells of
        self.cells: dict[int, set[str]] = {}
        self.order: list[tuple[int, int]] = []  # score and cell, least first
        self.ready: dict[int, Counter[str]] = {}  # ready nodos of each cell by zone
        self.zones: Counter[str] = Counter()  # ready nodos of each zone
        self.chosen: set[int] = set()
        self.told: dict[str, io.Entry] = {}  # what the module was last told of, but for what is gone

    def filter(self, listing: Listing) -> Listing:
        """What the balancer is told of a listing: nodos of its grupos, and the end of those that it had.

        A nodo that is left, since its grupo is, is told to be draining: what is out there finishes.
        """
        touched: dict[str, None] = {}
        if listing.whole:
            named = {entry.server for entry in listing.entries}
            for name in [name for name in self.held if name not in named]:
                self._drop(name)
                touched[name] = None
        for entry, address in zip(listing.entries, listing.addresses, strict=True):
            touched[entry.server] = None
            self._drop(entry.server)
            if entry.state != "gone":
                self._hold(entry, address)
        for cell in self._choose():
            touched |= dict.fromkeys(self.cells.get(cell, ()))
        rows = [row for name in touched if (row := self._row(name)) is not None]
        first = not self.told
        for entry, _ in rows:
            if entry.state == "gone":
                self.told.pop(entry.server, None)
            else:
                self.told[entry.server] = entry
        entries, addresses = tuple(e for e, _ in rows), tuple(a for _, a in rows)
        return Listing(listing.version, listing.whole and first, entries, addresses)

    def _row(self, name: str) -> Held | None:
        """What is to be told of a nodo now; None if nothing."""
        held, told = self.held.get(name), self.told.get(name)
        if held is None:
            return (told._replace(state="gone"), ("", 0)) if told is not None else None
        entry, address = held
        if entry.cell in self.chosen:
            return held
        if told is None:
            return None
        return entry._replace(state="draining"), address

    def _hold(self, entry: io.Entry, address: tuple[str, int]) -> None:
        self.held[entry.server] = (entry, address)
        if entry.cell not in self.cells:
            self.cells[entry.cell] = set()
            self.ready[entry.cell] = Counter()
            insort(self.order, (score(self.name, entry.cell), entry.cell))
        self.cells[entry.cell].add(entry.server)
        if entry.state == "ready":
            self.ready[entry.cell][entry.zone] += 1
            self.zones[entry.zone] += 1

    def _drop(self, name: str) -> None:
        held = self.held.pop(name, None)
        if held is None:
            return
        entry = held[0]
        self.cells[entry.cell].discard(name)
        if entry.state == "ready":
            self.ready[entry.cell][entry.zone] -= 1
            self.zones[entry.zone] -= 1

    def _choose(self) -> set[int]:
        """Choose anew; the cells that were taken or left."""
        before = set(self.chosen)
        have: Counter[str] = Counter()
        for cell in before:
            have.update(self.ready[cell])
        total = sum(have.values())
        wanted = {zone: min(self.per_zone, count) for zone, count in self.zones.items() if count > 0}
        for _, cell in self.order:
            if total >= self.size and all(have[zone] >= least for zone, least in wanted.items()):
                break
            here = self.ready[cell]
            of_use = total < self.size or any(here[z] and have[z] < least for z, least in wanted.items())
            if cell not in self.chosen and of_use and sum(here.values()) > 0:
                self.chosen.add(cell)
                have.update(here)
                total += sum(here.values())
        for _, cell in reversed(self.order):
            if total <= SLACK * self.size:
                break
            here = self.ready[cell]
            count = sum(here.values())
            spare = all(have[z] - here[z] >= least for z, least in wanted.items())
            if cell in self.chosen and spare and total - count >= self.size:
                self.chosen.discard(cell)
                have.subtract(here)
                total -= count
        self._forget()
        return before ^ self.chosen

    def _forget(self) -> None:
        """Grupos that nobody belongs to any more."""
        if len(self.cells) > 2 * len(self.held) + 64:
            empty = {cell for cell, names in self.cells.items() if not names}
            self.chosen -= empty
            self.order = [pair for pair in self.order if pair[1] not in empty]
            for cell in empty:
                del self.cells[cell], self.ready[cell]
