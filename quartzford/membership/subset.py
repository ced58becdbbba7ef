"""Selects a stable subset of the ready upstreams for each balancer, in complete cells. No I/O.

The subset is chosen by rendezvous hashing (Thaler and Ravishankar, 1996) of the balancer's name with each
cell. The cells with the lowest hashes are used, until every zone has its minimum of upstreams and the subset
has its size. A cell is used completely or not at all, so that a keyed request can reach all upstreams that
deduplicate its repeats. Balancers do not need to know of each other, and the loss of an upstream affects only
the balancers that used it. docs/subsets.md describes the alternatives.
"""

from __future__ import annotations

from bisect import insort
from collections import Counter
from hashlib import blake2b

from quartzford.decision import interface as io
from quartzford.membership.listing import Listing

# A subset may grow to this multiple of its size before cells are dropped. Without this tolerance, a cell that
# flaps would displace others each time.
MAX_SIZE_MULTIPLE = 1.25
Row = tuple[io.Endpoint, tuple[str, int]]


def cell_score(name: str, cell: int) -> int:
    """Return the hash of a balancer's name and a cell, which ranks the cell for this balancer."""
    return int.from_bytes(blake2b(f"{name}/{cell}".encode(), digest_size=8).digest())


class Subset:
    """Filters the endpoint list. size: target number of ready upstreams; per_zone: minimum in each zone."""

    def __init__(self, name: str, size: int, per_zone: int = 0) -> None:
        self.name = name
        self.size = size
        self.per_zone = per_zone
        self.rows_by_name: dict[str, Row] = {}  # rows of the last list, by name
        self.cells: dict[int, set[str]] = {}
        self.cell_order: list[tuple[int, int]] = []  # pairs of score and cell, lowest score first
        self.ready_by_cell: dict[int, Counter[str]] = {}  # number of ready upstreams of each cell, by zone
        self.ready_by_zone: Counter[str] = Counter()  # number of ready upstreams of each zone
        self.chosen_cells: set[int] = set()
        self.announced: dict[str, io.Endpoint] = {}  # entries in the state that the decision module received

    def filter(self, listing: Listing) -> Listing:
        """Return the part of a listing for this balancer: its upstreams, and removals of its earlier ones.

        The upstreams of a dropped cell are passed on as draining, so that requests in flight complete.
        """
        affected: dict[str, None] = {}
        if listing.complete:
            named = {entry.server for entry in listing.entries}
            for name in [name for name in self.rows_by_name if name not in named]:
                self._remove(name)
                affected[name] = None
        for entry, address in zip(listing.entries, listing.addresses, strict=True):
            affected[entry.server] = None
            self._remove(entry.server)
            if entry.state != "gone":
                self._add(entry, address)
        for cell in self._update_chosen_cells():
            affected |= dict.fromkeys(self.cells.get(cell, ()))
        rows = [row for name in affected if (row := self._row_to_announce(name)) is not None]
        is_first = not self.announced
        for entry, _ in rows:
            if entry.state == "gone":
                self.announced.pop(entry.server, None)
            else:
                self.announced[entry.server] = entry
        entries = tuple(entry for entry, _ in rows)
        addresses = tuple(address for _, address in rows)
        return Listing(listing.version, listing.complete and is_first, entries, addresses)

    def _row_to_announce(self, name: str) -> Row | None:
        """Return the row to pass on for an upstream, or None if nothing is to be passed on."""
        row = self.rows_by_name.get(name)
        announced = self.announced.get(name)
        if row is None:
            return (announced._replace(state="gone"), ("", 0)) if announced is not None else None
        entry, address = row
        if entry.cell in self.chosen_cells:
            return row
        if announced is None:
            return None
        return entry._replace(state="draining"), address

    def _add(self, entry: io.Endpoint, address: tuple[str, int]) -> None:
        self.rows_by_name[entry.server] = (entry, address)
        if entry.cell not in self.cells:
            self.cells[entry.cell] = set()
            self.ready_by_cell[entry.cell] = Counter()
            insort(self.cell_order, (cell_score(self.name, entry.cell), entry.cell))
        self.cells[entry.cell].add(entry.server)
        if entry.state == "ready":
            self.ready_by_cell[entry.cell][entry.zone] += 1
            self.ready_by_zone[entry.zone] += 1

    def _remove(self, name: str) -> None:
        row = self.rows_by_name.pop(name, None)
        if row is None:
            return
        entry = row[0]
        self.cells[entry.cell].discard(name)
        if entry.state == "ready":
            self.ready_by_cell[entry.cell][entry.zone] -= 1
            self.ready_by_zone[entry.zone] -= 1

    def _update_chosen_cells(self) -> set[int]:
        """Update the choice of cells; return the cells that were added or dropped."""
        before = set(self.chosen_cells)
        covered: Counter[str] = Counter()
        for cell in before:
            covered.update(self.ready_by_cell[cell])
        minimum_by_zone = {
            zone: min(self.per_zone, count) for zone, count in self.ready_by_zone.items() if count > 0
        }
        self._add_cells(covered, minimum_by_zone)
        self._drop_cells(covered, minimum_by_zone)
        self._forget_empty_cells()
        return before ^ self.chosen_cells

    def _add_cells(self, covered: Counter[str], minimum_by_zone: dict[str, int]) -> None:
        """Add cells in order until the size and all zone minima are met. Both maps count by zone."""
        total = sum(covered.values())
        for _, cell in self.cell_order:
            if total >= self.size and all(
                covered[zone] >= minimum for zone, minimum in minimum_by_zone.items()
            ):
                break
            members = self.ready_by_cell[cell]
            short_zones = (zone for zone, minimum in minimum_by_zone.items() if covered[zone] < minimum)
            useful = total < self.size or any(members[zone] for zone in short_zones)
            if cell not in self.chosen_cells and useful and sum(members.values()) > 0:
                self.chosen_cells.add(cell)
                covered.update(members)
                total += sum(members.values())

    def _drop_cells(self, covered: Counter[str], minimum_by_zone: dict[str, int]) -> None:
        """Drop cells, last in the order first, while the subset exceeds MAX_SIZE_MULTIPLE times its size."""
        total = sum(covered.values())
        for _, cell in reversed(self.cell_order):
            if total <= MAX_SIZE_MULTIPLE * self.size:
                break
            members = self.ready_by_cell[cell]
            count = sum(members.values())
            removable = all(
                covered[zone] - members[zone] >= minimum for zone, minimum in minimum_by_zone.items()
            )
            if cell in self.chosen_cells and removable and total - count >= self.size:
                self.chosen_cells.discard(cell)
                covered.subtract(members)
                total -= count

    def _forget_empty_cells(self) -> None:
        """Remove cells without upstreams once there are many of them."""
        if len(self.cells) > 2 * len(self.rows_by_name) + 64:
            empty = {cell for cell, names in self.cells.items() if not names}
            self.chosen_cells -= empty
            self.cell_order = [pair for pair in self.cell_order if pair[1] not in empty]
            for cell in empty:
                del self.cells[cell], self.ready_by_cell[cell]
