"""Tests of the catalog: updates for watchers at any version, and encodings of the list."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from quartzford.membership.listing import Listing, read_listing
from quartzford.relay.catalog import MAX_ENCODINGS, Catalog, Position, UpdateKind

Table = dict[str, dict[str, Any]]


def row(name: str, **changes: Any) -> dict[str, Any]:
    return {
        "host": name,
        "dial": "10.1.0.18:8080",
        "site": "a",
        "class": "m2",
        "block": 3,
        "health": "ready",
        "share": 1.0,
        "born_ms": 0,
    } | changes


def line(version: int, *rows: dict[str, Any], complete: bool = False) -> Listing:
    return read_listing({"seq": version, "whole": complete, "hosts": list(rows)})


def catalog_with(*lines: Listing) -> Catalog:
    catalog = Catalog()
    for listing in lines:
        catalog.apply(listing)
    return catalog


def update_for(catalog: Catalog, position: Position | None, index: int = 0) -> Any:
    """Return the rows of an update with changes, or the kind of any other update."""
    kind, text = catalog.update_for(position, index)
    return json.loads(text)["hosts"] if kind is UpdateKind.CHANGES else kind


def row_states(rows: Any) -> list[str]:
    return [f"{r['host']} {r['health']}" for r in rows]


ROWS = [
    row("plain"),
    row("six", dial="[2001:db8::7]:80", site="b", block=-1),
    row("named", dial="nodo-7.example:65535", health="draining"),
    row("times", share=0.1, born_ms=1790000000123),
    row("parts", share=2.5e-7, born_ms=1790000000123.25, block=2**40),
    row('odd "\\ é \n', site="{,}", **{"class": "\ud800x"}),
]


def test_catalog_rows_keep_all_fields() -> None:
    catalog = catalog_with(line(3, *ROWS, complete=True))
    received = json.loads(catalog.complete_list().line)
    assert received == {"seq": 3, "whole": True, "hosts": ROWS}
    assert (
        catalog.complete_list().line.count(b"\n") == 1 and catalog.complete_list() is catalog.complete_list()
    )
    catalog.apply(line(4, *ROWS[::-1]))
    assert json.loads(catalog.no_changes_line()) == {"seq": 4, "whole": False, "hosts": []}
    catalog.apply(line(5, *[r | {"block": 9} for r in ROWS]))
    assert update_for(catalog, None, 3) == [r | {"block": 9} for r in ROWS]


def test_changes_include_removed_rows_and_each_changed_row_once() -> None:
    catalog = catalog_with(line(1, row("a"), row("b"), row("c"), complete=True))
    for version in (2, 3):
        catalog.apply(line(version, row("a", born_ms=version)))
    removed = row("b", health="gone")
    del removed["dial"]
    catalog.apply(line(4, removed))
    assert update_for(catalog, None, 1) == [row("a", born_ms=3), row("b", health="gone")]
    assert update_for(catalog, Position(1, 3)) == [row("b", health="gone")]
    first = catalog.update_for(None, 1)
    # All watchers at a version share an encoding.
    assert catalog.update_for(Position(1, 1)).line is first.line
    catalog.apply(line(5, row("b", born_ms=5)))
    assert update_for(catalog, None, 1) == [row("a", born_ms=3), row("b", born_ms=5)]
    assert update_for(catalog, None, 5) is UpdateKind.NOTHING
    assert not catalog.apply(line(5, row("b", born_ms=5))) and not catalog.apply(line(4, row("b")))
    assert catalog.apply(line(6)) and update_for(catalog, None, 5) == []


def test_update_kind_for_ahead_old_and_unheld_versions() -> None:
    catalog = Catalog()
    assert update_for(catalog, None, 7) is UpdateKind.AHEAD and not catalog.apply(line(3, row("a")))
    with pytest.raises(ValueError, match="no list"):
        catalog.complete_list()
    for version in (7, 9, 10):
        catalog.apply(line(version, row("a", block=version), complete=version == 7))
    assert [catalog.update_for(None, n).kind for n in (0, 6, 8)] == [UpdateKind.COMPLETE_LIST] * 3
    assert [catalog.update_for(None, n).kind for n in (7, 9, 10, 11)] == [
        UpdateKind.CHANGES,
        UpdateKind.CHANGES,
        UpdateKind.NOTHING,
        UpdateKind.AHEAD,
    ]


@pytest.mark.parametrize("version", [4, 9])
def test_new_incarnation_sends_complete_list_to_all_watchers(version: int) -> None:
    """A restarted source sends a lower version, or repeats a version with different rows.

    Open watches and calls with an index of the earlier incarnation must then get the complete list.
    """
    catalog = catalog_with(line(8, row("a"), row("b"), complete=True), line(9, row("a", block=4)))
    before = catalog.position()
    assert not catalog.apply(line(9, row("b"), row("a", block=4), complete=True))
    assert catalog.apply(line(version, row("a", block=5), complete=True))
    assert catalog.position() == (before.incarnation + 1, version)
    assert (
        update_for(catalog, before) is UpdateKind.COMPLETE_LIST
        and update_for(catalog, Position(before.incarnation, version)) is UpdateKind.COMPLETE_LIST
    )
    assert [catalog.update_for(None, n).kind for n in range(1, 11)] == [UpdateKind.COMPLETE_LIST] * 9 + [
        UpdateKind.AHEAD
    ]
    here = catalog.position()
    catalog.apply(line(12, row("c")))
    assert (
        row_states(update_for(catalog, here)) == ["c ready"]
        and update_for(catalog, None, 12) is UpdateKind.NOTHING
    )
    assert (
        catalog.apply(line(12, row("c", block=8)))
        and catalog.position().incarnation == before.incarnation + 2
    )


def test_tombstone_and_version_limits_raise_oldest_version() -> None:
    catalog = Catalog(max_tombstones=3, max_versions=6)
    catalog.apply(line(1, *(row(f"s{n}") for n in range(9)), complete=True))
    for n in range(5):
        catalog.apply(line(n + 2, row(f"s{n}", health="gone")))
    assert len(catalog.tombstones) == 3 and catalog.oldest_version == 3
    assert (
        update_for(catalog, Position(1, 2)) is UpdateKind.COMPLETE_LIST
        and update_for(catalog, None, 2) is UpdateKind.COMPLETE_LIST
    )
    assert row_states(update_for(catalog, None, 3)) == ["s2 gone", "s3 gone", "s4 gone"]
    for version in range(7, 11):
        catalog.apply(line(version))
    assert catalog.oldest_version == 5 and update_for(catalog, Position(1, 4)) is UpdateKind.COMPLETE_LIST
    assert row_states(update_for(catalog, None, 5)) == ["s4 gone"]


def test_changes_of_most_rows_become_complete_list() -> None:
    rows = [row(f"s{n}") for n in range(1_500)]
    catalog = catalog_with(line(1, *rows, complete=True))
    catalog.apply(line(2, *(r | {"block": 4} for r in rows[:1_000])))
    assert len(update_for(catalog, None, 1)) == 1_000
    catalog.apply(line(3, rows[-1] | {"block": 4}))
    assert update_for(catalog, None, 1) is UpdateKind.COMPLETE_LIST and len(update_for(catalog, None, 2)) == 1


def test_encodings_in_use_are_bounded_and_reused() -> None:
    catalog = catalog_with(line(1, row("a"), complete=True))
    complete_lists_in_use = [catalog.complete_list(exact=True)]
    for version in range(2, 20):
        catalog.apply(line(version, row("a", block=version)))
        complete_lists_in_use.append(catalog.complete_list(exact=True))
    assert len({id(complete) for complete in complete_lists_in_use}) == MAX_ENCODINGS
    assert row_states(update_for(catalog, complete_lists_in_use[-1].position)) == [
        "a ready"
    ]  # a reused older list is followed by the later changes
    del complete_lists_in_use
    assert catalog.complete_list(exact=True).position.version == 19
    rows = [row(f"s{n}") for n in range(20)]
    catalog = catalog_with(line(1, *rows, complete=True))
    first = catalog.complete_list()
    for version, changed in ((2, row("s3", block=8)), (3, row("s4", health="gone")), (4, row("new"))):
        catalog.apply(line(version, changed))
        assert catalog.complete_list_bytes() - len(catalog.complete_list(exact=True).line) == 2
    catalog._latest_encoding = first
    # Three of twenty rows have changed: too many to reuse the old encoding.
    assert catalog.complete_list().position.version == 4
    last = catalog.complete_list()
    catalog.apply(line(5, row("s3", block=7)))
    assert catalog.complete_list() is last and catalog.complete_list(exact=True).position.version == 5


class SourceModel:
    """A model of the source that keeps the rows of every version."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.version = 1
        self.table = {f"s{n}": row(f"s{n}") for n in range(6)}
        self.tables_by_version: dict[int, Table] = {1: dict(self.table)}

    def advance(self) -> None:
        self.version += self.rng.choice((1, 1, 1, 2))
        for _ in range(self.rng.randrange(3)):
            name = f"s{self.rng.randrange(10)}"
            if name in self.table and self.rng.random() < 0.4:
                del self.table[name]
            else:
                self.table[name] = row(name, block=self.rng.randrange(4))
        self.tables_by_version[self.version] = dict(self.table)

    def restart(self) -> None:
        """Begin a new incarnation with a lower or equal version and different rows."""
        version = self.rng.choice((self.version, max(1, self.version - self.rng.randrange(9))))
        self.version = version
        self.tables_by_version = {}
        self.table = {f"s{n}": row(f"s{n}", block=self.rng.randrange(50)) for n in range(6)}
        self.tables_by_version[version] = dict(self.table)

    def line(self, since: int | None) -> Listing:
        if since is None or since not in self.tables_by_version:
            return line(self.version, *self.table.values(), complete=True)
        old = self.tables_by_version[since]
        rows = [r for name, r in self.table.items() if old.get(name) != r]
        rows += [r | {"health": "gone"} for name, r in old.items() if name not in self.table]
        return line(self.version, *rows)


class Relay:
    def __init__(self, model: SourceModel) -> None:
        self.model = model
        self.catalog = Catalog(max_tombstones=5, max_versions=12, max_encodings=2)
        self.held_version: int | None = None

    def receive_line(self) -> None:
        self.catalog.apply(self.model.line(self.held_version))
        self.held_version = self.model.version


class Watcher:
    """Applies the updates that a relay sends. Changes older than the held version fail the test."""

    def __init__(self) -> None:
        self.rows: Table = {}
        self.version = 0
        self.position: Position | None = None
        self.complete_lists: list[Any] = []

    def follow(self, catalog: Catalog) -> None:
        kind, text = catalog.update_for(self.position, self.version)
        # No relay of this test is behind when it is called, so an index ahead is of another incarnation.
        if kind in (UpdateKind.COMPLETE_LIST, UpdateKind.AHEAD):
            complete_list = catalog.complete_list()
            self.complete_lists.append(complete_list)
            text = complete_list.line
            self.position = complete_list.position
        else:
            text = text or catalog.no_changes_line()
            self.position = catalog.position()
        received = json.loads(text)
        assert received["whole"] or received["seq"] >= self.version, "a balancer rejects these changes"
        self.version = received["seq"]
        if received["whole"]:
            self.rows = {}
        for r in received["hosts"]:
            if r["health"] == "gone":
                self.rows.pop(r["host"], None)
            else:
                self.rows[r["host"]] = r


@pytest.mark.parametrize("seed", range(40))
def test_watchers_converge_to_rows_of_source(seed: int) -> None:
    """Guards against lost or stale rows at watchers.

    Two relays miss versions of a changing and restarting source. Watchers read occasionally and move between
    the relays by index.
    """
    rng = random.Random(seed)
    model = SourceModel(rng)
    relays = [Relay(model), Relay(model)]
    watchers = [(Watcher(), rng.choice(relays)) for _ in range(5)]
    for _ in range(300):
        draw = rng.random()
        if draw < 0.4:
            model.advance()
        elif draw < 0.41:
            for relay in relays:  # a relay that missed versions might not detect the new incarnation
                relay.receive_line()
            model.restart()
            # The watch of each relay ended; the next watch begins with the complete list.
            for relay in relays:
                relay.held_version = None
                relay.receive_line()
        elif draw < 0.45:
            rng.choice(relays).held_version = None
        for relay in relays:
            if rng.random() < 0.6:
                relay.receive_line()
        at = rng.randrange(5)
        watcher, relay = watchers[at]
        if rng.random() < 0.1:
            relay = relays[relay is relays[0]]
            watchers[at], watcher.position = (watcher, relay), None
            relay.receive_line()
        if relay.catalog.version is not None and rng.random() < 0.7:
            watcher.follow(relay.catalog)
            watcher.complete_lists = watcher.complete_lists[-1:]
            expected = model.tables_by_version.get(watcher.version)
            assert expected is None or watcher.rows == expected
    for watcher, relay in watchers:
        relay.receive_line()
        watcher.follow(relay.catalog)
        watcher.follow(relay.catalog)  # the first update may be a complete list that is some versions old
        assert watcher.rows == model.table and watcher.version == model.version
