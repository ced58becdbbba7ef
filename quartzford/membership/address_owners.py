"""Which upstream an address belongs to, when the list names two of them at one address. No I/O.

An upstream is an incarnation, not an address: a new process may come up at the address of one that has gone
before the list says that the old one has gone. What was meant for the old one would reach the new one. So of
two upstreams at one address only the one that started last is used. If both started at the same time, as far
as the list knows, or if there are more than two, the address is a shared one, and all are used.
"""

from __future__ import annotations

from collections.abc import Iterable

from quartzford.decision import interface as io
from quartzford.membership.listing import Listing

Address = tuple[str, int]
Row = tuple[io.Endpoint, Address]
NO_ADDRESS: Address = ("", 0)
OLD_AND_NEW = 2  # upstreams at an address that has changed hands


class AddressOwners:
    """The upstreams in use at each address, each with its start in Unix milliseconds by the list."""

    def __init__(self) -> None:
        self._starts: dict[Address, dict[str, float]] = {}
        self._address_of: dict[str, Address] = {}

    def apply(self, listing: Listing) -> Listing:
        """Return a listing in which an upstream whose address a later one has taken is gone."""
        rows = list(zip(listing.entries, listing.addresses, strict=True))
        if listing.complete:
            self._starts.clear()
            self._address_of.clear()
        for entry, address in rows:
            self._set(entry, address)
        replaced = self._replaced_names({address for _, address in rows})
        if not replaced:
            return listing
        for name in replaced:
            self._forget(name)
        return self._without(listing, rows, replaced)

    def _set(self, entry: io.Endpoint, address: Address) -> None:
        self._forget(entry.server)
        if entry.state != "gone":
            self._address_of[entry.server] = address
            self._starts.setdefault(address, {})[entry.server] = entry.started_ms

    def _forget(self, name: str) -> None:
        address = self._address_of.pop(name, None)
        if address is None:
            return
        starts = self._starts[address]
        del starts[name]
        if not starts:
            del self._starts[address]

    def _replaced_names(self, addresses: Iterable[Address]) -> list[str]:
        replaced = []
        for address in addresses:
            starts = self._starts.get(address, {})
            if len(starts) == OLD_AND_NEW:
                latest_ms = max(starts.values())
                replaced += [name for name, started_ms in starts.items() if started_ms < latest_ms]
        return replaced

    @staticmethod
    def _without(listing: Listing, rows: list[Row], replaced: list[str]) -> Listing:
        """Return the listing with these upstreams gone, whether it names them or not."""
        remaining = [row for row in rows if row[0].server not in replaced]
        if not listing.complete:
            remaining += [(io.Endpoint(n, "", "", 0, "gone", 1.0, 0.0), NO_ADDRESS) for n in replaced]
        entries = tuple(entry for entry, _ in remaining)
        addresses = tuple(address for _, address in remaining)
        return listing._replace(entries=entries, addresses=addresses)
