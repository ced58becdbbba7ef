"""Registry of upstreams: the rows of the last list, and the view of it for the backends. No I/O.

The decision module receives the list unchanged. The backends receive an upstream in maintenance as draining,
and receive its row from the list again when maintenance ends.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from quartzford.decision import interface as io
from quartzford.membership.listing import Listing

Row = tuple[io.Endpoint, tuple[str, int]]


class Registry:
    """The rows of the endpoint list by name, and their version."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0

    def apply(self, listing: Listing) -> None:
        """Apply a listing: a complete list replaces all rows, changes replace or remove the named rows."""
        self.version = listing.version
        if listing.complete:
            self.rows.clear()
        for row in zip(listing.entries, listing.addresses, strict=True):
            if row[0].state == "gone":
                self.rows.pop(row[0].server, None)
            else:
                self.rows[row[0].server] = row

    def mask_maintenance(self, listing: Listing, in_maintenance: Collection[str]) -> Listing:
        """Return the listing for the backends, in which upstreams in maintenance are draining."""
        if not in_maintenance:
            return listing
        entries = tuple(
            e._replace(state="draining") if e.state == "ready" and e.server in in_maintenance else e
            for e in listing.entries
        )
        return listing._replace(entries=entries)

    def row_changes(self, name: str, in_maintenance: bool) -> Listing:
        """Return one row as changes: draining if in maintenance; no entries if the list does not name it."""
        row = self.rows.get(name)
        if row is None:
            return Listing(self.version, False, (), ())
        return self.mask_maintenance(
            Listing(self.version, False, (row[0],), (row[1],)), (name,) if in_maintenance else ()
        )

    def table(self) -> dict[str, Any]:
        """Return the complete list in the format of discovery, as `read_listing` parses it."""
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
