"""The endpoint list in the format of discovery, and its parser."""

from __future__ import annotations

import json
import math
from typing import Any, NamedTuple, Protocol

from quartzford.decision import interface as io

MAX_INLINE_PARSE_BYTES = 128 * 1024  # a longer text is parsed in a thread; about 800 servers
STATES = ("ready", "draining", "gone")


class Listing(NamedTuple):
    """A complete list or changes, with the address of each entry."""

    version: int
    complete: bool
    entries: tuple[io.Endpoint, ...]
    addresses: tuple[tuple[str, int], ...]


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def _parse_row(row: dict[str, Any]) -> io.Endpoint:
    born, share = float(row.get("born_ms") or 0.0), float(row.get("share") or 1.0)
    host, state = row["host"], row["health"]
    if not isinstance(host, str) or not host or state not in STATES:
        raise ValueError(f"invalid host {host!r} or health {state!r}")
    if not math.isfinite(born) or not 0 < share < math.inf:
        raise ValueError(f"invalid born_ms {born!r} or share {share!r}")
    zone, upstream_class, cell = str(row["site"]), str(row["class"]), int(row["block"])
    return io.Endpoint(host, zone, upstream_class, cell, state, share, max(0.0, born))


def _parse_json(text: bytes) -> Any:
    """Parse JSON; long texts by orjson if installed, as json blocks the interpreter 30 ms per megabyte."""
    if len(text) > MAX_INLINE_PARSE_BYTES:
        try:
            import orjson
        except ImportError:
            return json.loads(text)
        return orjson.loads(text)
    return json.loads(text)


def read_listing(text: bytes | dict[str, Any]) -> Listing:
    """Return the listing in a line of discovery. Raises ValueError if the line is malformed."""
    try:
        table = text if isinstance(text, dict) else _parse_json(text)
        version, complete, rows = table["seq"], table["whole"], table["hosts"]
        if not isinstance(version, int) or not isinstance(complete, bool) or not isinstance(rows, list):
            raise ValueError("seq must be an integer, whole a boolean and hosts a list")
        entries = tuple(_parse_row(row) for row in rows)
        addresses = tuple(("", 0) if row["health"] == "gone" else _parse_address(row["dial"]) for row in rows)
    except (KeyError, TypeError, AttributeError, RecursionError, OverflowError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
    return Listing(version, complete, entries, addresses)


def as_complete_list(listing: Listing) -> Listing:
    """Return the rows as a complete list, without the entries in state "gone"."""
    rows = zip(listing.entries, listing.addresses, strict=True)
    remaining = [(entry, address) for entry, address in rows if entry.state != "gone"]
    entries = tuple(entry for entry, _ in remaining)
    addresses = tuple(address for _, address in remaining)
    return Listing(listing.version, True, entries, addresses)


class Sink(Protocol):
    """The receiver of the lists and changes of a watch."""

    def listed(self, listing: Listing) -> None:
        """Receive a parsed list or changes."""
