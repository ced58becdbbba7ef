"""The list of upstreams as discovery writes it."""

from __future__ import annotations

import json
import math
from typing import Any, NamedTuple, Protocol

from quartzford.decision import interface as io

LONG_BYTES = 128 * 1024  # a text over this is read in a thread; some 800 servers
STATES = ("ready", "draining", "gone")


class Listing(NamedTuple):
    """A list or its changes, with the address that goes with each entry."""

    version: int
    complete: bool
    entries: tuple[io.Endpoint, ...]
    addresses: tuple[tuple[str, int], ...]


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def _entry(row: dict[str, Any]) -> io.Endpoint:
    born, share = float(row.get("born_ms") or 0.0), float(row.get("share") or 1.0)
    host, state = row["host"], row["health"]
    if not isinstance(host, str) or not host or state not in STATES:
        raise ValueError(f"host {host!r}, health {state!r}")
    if not math.isfinite(born) or not 0 < share < math.inf:
        raise ValueError(f"born_ms {born!r}, share {share!r}")
    zone, kind, cell = str(row["site"]), str(row["class"]), int(row["block"])
    return io.Endpoint(host, zone, kind, cell, state, share, max(0.0, born))


def _parse(text: bytes) -> Any:
    """JSON; a long text by orjson, if it is installed: json holds the interpreter for 30 ms a megabyte."""
    if len(text) > LONG_BYTES:
        try:
            import orjson
        except ImportError:
            return json.loads(text)
        return orjson.loads(text)
    return json.loads(text)


def read_listing(text: bytes | dict[str, Any]) -> Listing:
    """A line of discovery; ValueError if it breaks the form."""
    try:
        table = text if isinstance(text, dict) else _parse(text)
        version, complete, rows = table["seq"], table["whole"], table["hosts"]
        if not isinstance(version, int) or not isinstance(complete, bool) or not isinstance(rows, list):
            raise ValueError("seq, whole or hosts is not what it should be")
        entries = tuple(_entry(row) for row in rows)
        addresses = tuple(("", 0) if row["health"] == "gone" else _address(row["dial"]) for row in rows)
    except (KeyError, TypeError, AttributeError, RecursionError, OverflowError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
    return Listing(version, complete, entries, addresses)


def as_complete_list(listing: Listing) -> Listing:
    """The same rows as a complete list: what the listing names as gone is left out."""
    rows = zip(listing.entries, listing.addresses, strict=True)
    remaining = [(entry, address) for entry, address in rows if entry.state != "gone"]
    entries = tuple(entry for entry, _ in remaining)
    addresses = tuple(address for _, address in remaining)
    return Listing(listing.version, True, entries, addresses)


class Sink(Protocol):
    """What a watch hands each list and its changes to."""

    def listed(self, listing: Listing) -> None:
        """Take a list, or changes of it, that could be read."""
