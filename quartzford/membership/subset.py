"""A stable subset of the ready upstreams for each balancer, in complete cells. No I/O.

Rendezvous hashing (Thaler and Ravishankar, 1996) of the balancer's name with each cell: the cells of least
hash are used, until every zone has its minimum and all together the size. A cell is used completely or not at
all, so that a keyed request always finds all upstreams that drop its repeats. Balancers need not know of each
other; the loss of an upstream affects only those that used it. docs/subsets.md has the alternatives.
"""

from __future__ import annotations

from bisect import insort
from collections import Counter
from hashlib import blake2b

from quartzford.decision import interface as io
from quartzford.membership.listing import Listing

# A subset may be this multiple of its size before cells are dropped: else one that flaps moves others.
SLACK = 1.25
Row = tuple[io.Endpoint, tuple[str, int]]


def score(name: str, cell: int) -> int:
    """The hash of a cell with a balancer's name: its place in the balancer's order."""
    return int.from_bytes(blake2b(f"{name}/{cell}".encode(), digest_size=8).digest())


class Subset:
    """Filters the endpoint list. size: ready upstreams wanted; per_zone: of each zone at least."""

    def __init__(self, name: str, size: int, per_zone: int = 0) -> None:
        self.name = name
        self.size = size
        self.per_zone = per_zone
        self.known: dict[str, Row] = {}  # rows of the last list, by name
        self.cells: dict[int, set[str]] = {}
        self.order: list[tuple[int, int]] = []  # score and cell, least first
        self.ready: dict[int, Counter[str]] = {}  # ready upstreams of each cell by zone
        self.zones: Counter[str] = Counter()  # ready upstreams of each zone
        self.chosen: set[int] = set()
        self.announced: dict[str, io.Endpoint] = {}  # as the decision module has them

    def filter(self, listing: Listing) -> Listing:
        """The part of a listing that concerns this balancer: its upstreams, and the end of those that it had.

        An upstream of a cell that is dropped is passed on as draining, so that its requests in flight finish.
        """
        touched: dict[str, None] = {}
        if listing.complete:
            named = {entry.server for entry in listing.entries}
            for name in [name for name in self.known if name not in named]:
                self._remove(name)
                touched[name] = None
        for entry, address in zip(listing.entries, listing.addresses, strict=True):
            touched[entry.server] = None
            self._remove(entry.server)
            if entry.state != "gone":
                self._add(entry, address)
        for cell in self._choose():
            touched |= dict.fromkeys(self.cells.get(cell, ()))
        rows = [row for name in touched if (row := self._row(name)) is not None]
        first = not self.announced
        for entry, _ in rows:
            if entry.state == "gone":
                self.announced.pop(entry.server, None)
            else:
                self.announced[entry.server] = entry
        entries = tuple(entry for entry, _ in rows)
        addresses = tuple(address for _, address in rows)
        return Listing(listing.version, listing.complete and first, entries, addresses)

    def _row(self, name: str) -> Row | None:
        """The row of an upstream that is to be passed on now; None if none is."""
        row = self.known.get(name)
        announced = self.announced.get(name)
        if row is None:
            return (announced._replace(state="gone"), ("", 0)) if announced is not None else None
        entry, address = row
        if entry.cell in self.chosen:
            return row
        if announced is None:
            return None
        return entry._replace(state="draining"), address

    def _add(self, entry: io.Endpoint, address: tuple[str, int]) -> None:
        self.known[entry.server] = (entry, address)
        if entry.cell not in self.cells:
            self.cells[entry.cell] = set()
            self.ready[entry.cell] = Counter()
            insort(self.order, (score(self.name, entry.cell), entry.cell))
        self.cells[entry.cell].add(entry.server)
        if entry.state == "ready":
            self.ready[entry.cell][entry.zone] += 1
            self.zones[entry.zone] += 1

    def _remove(self, name: str) -> None:
        row = self.known.pop(name, None)
        if row is None:
            return
        entry = row[0]
        self.cells[entry.cell].discard(name)
        if entry.state == "ready":
            self.ready[entry.cell][entry.zone] -= 1
            self.zones[entry.zone] -= 1

    def _choose(self) -> set[int]:
        """Choose anew; the cells that were added or dropped."""
        before = set(self.chosen)
        covered: Counter[str] = Counter()
        for cell in before:
            covered.update(self.ready[cell])
        wanted = {zone: min(self.per_zone, count) for zone, count in self.zones.items() if count > 0}
        self._add_cells(covered, wanted)
        self._drop_cells(covered, wanted)
        self._forget()
        return before ^ self.chosen

    def _add_cells(self, covered: Counter[str], wanted: dict[str, int]) -> None:
        """Add cells in their order until size and zones are covered. Both maps: ready upstreams by zone."""
        total = sum(covered.values())
        for _, cell in self.order:
            if total >= self.size and all(covered[zone] >= least for zone, least in wanted.items()):
                break
            members = self.ready[cell]
            short_zones = (zone for zone, least in wanted.items() if covered[zone] < least)
            useful = total < self.size or any(members[zone] for zone in short_zones)
            if cell not in self.chosen and useful and sum(members.values()) > 0:
                self.chosen.add(cell)
                covered.update(members)
                total += sum(members.values())

    def _drop_cells(self, covered: Counter[str], wanted: dict[str, int]) -> None:
        """Drop cells, the last of the order first, while the subset is over SLACK times its size."""
        total = sum(covered.values())
        for _, cell in reversed(self.order):
            if total <= SLACK * self.size:
                break
            members = self.ready[cell]
            count = sum(members.values())
            spare = all(covered[zone] - members[zone] >= least for zone, least in wanted.items())
            if cell in self.chosen and spare and total - count >= self.size:
                self.chosen.discard(cell)
                covered.subtract(members)
                total -= count

    def _forget(self) -> None:
        """Forget cells without upstreams, once they are many."""
        if len(self.cells) > 2 * len(self.known) + 64:
            empty = {cell for cell, names in self.cells.items() if not names}
            self.chosen -= empty
            self.order = [pair for pair in self.order if pair[1] not in empty]
            for cell in empty:
                del self.cells[cell], self.ready[cell]
