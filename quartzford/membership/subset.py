"""A stable subset of the ready upstreams for each balancer, in whole blocks. No I/O.

Rendezvous hashing (Thaler and Ravishankar, 1996) of the balancer's name with each block: the blocks of least
hash are used, until every zone has its minimum and all together the size. A block is used whole or not at
all, so that a keyed request always finds all upstreams that drop its repeats. Balancers need not know of each
other; an upstream's loss moves nobody but those that used it. docs/subsets.md has what was weighed.
"""

from __future__ import annotations

from bisect import insort
from collections import Counter
from hashlib import blake2b

from quartzford.decision import interface as io
from quartzford.membership.listing import Listing

# A subset may be so many times its size before blocks are left: else one upstream that flaps would move two.
SLACK = 1.25
Row = tuple[io.Endpoint, tuple[str, int]]


def score(name: str, block: int) -> int:
    """The place of a block in a balancer's order."""
    return int.from_bytes(blake2b(f"{name}/{block}".encode(), digest_size=8).digest())


class Subset:
    """Filters what discovery tells. size: ready upstreams wanted; per_zone: of each zone at least."""

    def __init__(self, name: str, size: int, per_zone: int = 0) -> None:
        self.name, self.size, self.per_zone = name, size, per_zone
        self.known: dict[str, Row] = {}  # rows of the last list, by name
        self.blocks: dict[int, set[str]] = {}
        self.order: list[tuple[int, int]] = []  # score and block, least first
        self.ready: dict[int, Counter[str]] = {}  # ready upstreams of each block by zone
        self.zones: Counter[str] = Counter()  # ready upstreams of each zone
        self.chosen: set[int] = set()
        self.announced: dict[str, io.Endpoint] = {}  # as the decision module has them

    def filter(self, listing: Listing) -> Listing:
        """What the balancer is told of a listing: upstreams of its blocks, and the end of those that it had.

        An upstream that is left, since its block is, is told to be draining: what is out there finishes.
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
        for block in self._choose():
            touched |= dict.fromkeys(self.blocks.get(block, ()))
        rows = [row for name in touched if (row := self._row(name)) is not None]
        first = not self.announced
        for entry, _ in rows:
            if entry.state == "gone":
                self.announced.pop(entry.server, None)
            else:
                self.announced[entry.server] = entry
        entries, addresses = tuple(e for e, _ in rows), tuple(a for _, a in rows)
        return Listing(listing.version, listing.complete and first, entries, addresses)

    def _row(self, name: str) -> Row | None:
        """What is to be told of an upstream now; None if nothing."""
        row, announced = self.known.get(name), self.announced.get(name)
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
        if entry.cell not in self.blocks:
            self.blocks[entry.cell] = set()
            self.ready[entry.cell] = Counter()
            insort(self.order, (score(self.name, entry.cell), entry.cell))
        self.blocks[entry.cell].add(entry.server)
        if entry.state == "ready":
            self.ready[entry.cell][entry.zone] += 1
            self.zones[entry.zone] += 1

    def _remove(self, name: str) -> None:
        row = self.known.pop(name, None)
        if row is None:
            return
        entry = row[0]
        self.blocks[entry.cell].discard(name)
        if entry.state == "ready":
            self.ready[entry.cell][entry.zone] -= 1
            self.zones[entry.zone] -= 1

    def _choose(self) -> set[int]:
        """Choose anew; the blocks that were taken or left."""
        before = set(self.chosen)
        have: Counter[str] = Counter()
        for block in before:
            have.update(self.ready[block])
        total = sum(have.values())
        wanted = {zone: min(self.per_zone, count) for zone, count in self.zones.items() if count > 0}
        for _, block in self.order:
            if total >= self.size and all(have[zone] >= least for zone, least in wanted.items()):
                break
            here = self.ready[block]
            of_use = total < self.size or any(here[z] and have[z] < least for z, least in wanted.items())
            if block not in self.chosen and of_use and sum(here.values()) > 0:
                self.chosen.add(block)
                have.update(here)
                total += sum(here.values())
        for _, block in reversed(self.order):
            if total <= SLACK * self.size:
                break
            here = self.ready[block]
            count = sum(here.values())
            spare = all(have[z] - here[z] >= least for z, least in wanted.items())
            if block in self.chosen and spare and total - count >= self.size:
                self.chosen.discard(block)
                have.subtract(here)
                total -= count
        self._forget()
        return before ^ self.chosen

    def _forget(self) -> None:
        """Blocks that nobody belongs to any more."""
        if len(self.blocks) > 2 * len(self.known) + 64:
            empty = {block for block, names in self.blocks.items() if not names}
            self.chosen -= empty
            self.order = [pair for pair in self.order if pair[1] not in empty]
            for block in empty:
                del self.blocks[block], self.ready[block]
