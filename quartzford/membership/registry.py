"""Registry of upstreams: the rows of the last list, and the view without what operators took out. No I/O.

The decision module gets the list as it is; the backends get an upstream in maintenance as draining, and its
row in the list again when maintenance ends.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from quartzford.decision import interface as io
from quartzford.membership.listing import Listing

Row = tuple[io.Endpoint, tuple[str, int]]


class Registry:
    """Rows by name, and the version that they are of."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0

    def apply(self, listing: Listing) -> None:
        """Apply a listing: a complete one replaces all rows, changes replace or remove the rows they name."""
        self.version = listing.version
        if listing.complete:
            self.rows.clear()
        for row in zip(listing.entries, listing.addresses, strict=True):
            if row[0].state == "gone":
                self.rows.pop(row[0].server, None)
            else:
                self.rows[row[0].server] = row

    def mask_maintenance(self, listing: Listing, taken_out: Collection[str]) -> Listing:
        """The listing for the backends: upstreams in maintenance are draining."""
        if not taken_out:
            return listing
        entries = tuple(
            e._replace(state="draining") if e.state == "ready" and e.server in taken_out else e
            for e in listing.entries
        )
        return listing._replace(entries=entries)

    def row_changes(self, name: str, out: bool) -> Listing:
        """One row as changes: draining where it is out; nothing where the list does not name it."""
        row = self.rows.get(name)
        if row is None:
            return Listing(self.version, False, (), ())
        return self.mask_maintenance(
            Listing(self.version, False, (row[0],), (row[1],)), (name,) if out else ()
        )

    def table(self) -> dict[str, Any]:
        """The complete list in discovery's form, to be read again by `read_listing`."""
        hosts = [
            {
                "host": e.server,
                "dial": f"{host}:{port}",
                "site": e.zone,
                "class": e.kind,
                "block": e.cell,
                "health": e.state,
                "share": e.units,
                "born_ms": e.started_ms,
            }
            for e, (host, port) in self.rows.values()
        ]
        return {"seq": self.version, "whole": True, "hosts": hosts}
