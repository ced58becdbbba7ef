"""A long list in pieces, so that no update holds the loop for long. No I/O.

A rolling deploy of 10,000 servers costs over 100 ms at once; in pieces of 256 each turn of the loop takes a
few. What takes servers away goes first: a drain is to be kept from the moment at which it was announced. A
whole list that comes while another is being taken in replaces what is left of it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterator
from itertools import chain, islice

from quartzford.decision import interface as io
from quartzford.membership.listing import Listing

CHUNK_ENTRIES = 256  # entries of one turn
NOWHERE = ("", 0)

Row = tuple[io.Endpoint, tuple[str, int]]


def split_into_chunks(
    listing: Listing, known: Collection[str], size: int = CHUNK_ENTRIES
) -> Iterator[Listing]:
    """A listing as changes of so many entries at most, first what takes servers away; a short one as it is.

    known: the names that are in use, of which a whole list takes away those that it does not name. Where a
    server is taken away in the end, earlier entries of it are left out.
    """
    if len(listing.entries) <= size and (not listing.complete or len(known) <= size):
        yield listing
        return
    last = {entry.server: entry.state for entry in listing.entries}
    rows = zip(listing.entries, listing.addresses, strict=True)
    taken = {row[0].server: row for row in rows if row[0].state != "ready" and last[row[0].server] != "ready"}
    first: Iterator[Row] = iter(taken.values())
    if listing.complete:
        names = [name for name in known if name not in last]
        gone = ((io.Endpoint(name, "", "", 0, "gone", 1.0, 0.0), NOWHERE) for name in names)
        first = chain(first, gone)
    rows = zip(listing.entries, listing.addresses, strict=True)
    rest = (row for row in rows if row[0].server not in taken)
    ordered = chain(first, rest)
    while part := list(islice(ordered, size)):
        entries, addresses = zip(*part, strict=True)
        yield Listing(listing.version, False, entries, addresses)


class ListingQueue:
    """Listings that wait, handed out piece by piece."""

    def __init__(self) -> None:
        self.listings: deque[Listing] = deque()
        self.chunks: Iterator[Listing] = iter(())
        self.following: Listing | None = None

    def put(self, listing: Listing) -> None:
        """Add a listing; a whole one replaces all that waits."""
        if listing.complete:  # it covers all that is left
            self.listings.clear()
            self.chunks, self.following = iter(()), None
        self.listings.append(listing)

    def next(self, known: Collection[str]) -> Listing | None:
        """The next piece; None if nothing waits. known: the names in use at this moment."""
        chunk, self.following = self.following, None
        if chunk is None and self.listings:
            self.chunks = split_into_chunks(self.listings.popleft(), known)
            chunk = next(self.chunks, None)
        if chunk is not None:
            self.following = next(self.chunks, None)
        return chunk

    def waiting(self) -> bool:
        """Whether any piece is left."""
        return self.following is not None or bool(self.listings)
