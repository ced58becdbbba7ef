"""The update for a watcher at some version, and the encodings of the list: the catalog without I/O."""

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


def held(*lines: Listing) -> Catalog:
    catalog = Catalog()
    for listing in lines:
        catalog.apply(listing)
    return catalog


def update_for(catalog: Catalog, position: Position | None, index: int = 0) -> Any:
    """The kind of the update, or the changes' rows."""
    kind, text = catalog.update_for(position, index)
    return json.loads(text)["hosts"] if kind is UpdateKind.CHANGES else kind


def names(rows: Any) -> list[str]:
    return [f"{r['host']} {r['health']}" for r in rows]


ROWS = [
    row("plain"),
    row("six", dial="[2001:db8::7]:80", site="b", block=-1),
    row("named", dial="nodo-7.example:65535", health="draining"),
    row("times", share=0.1, born_ms=1790000000123),
    row("parts", share=2.5e-7, born_ms=1790000000123.25, block=2**40),
    row('odd "\\ é \n', site="{,}", **{"class": "\ud800x"}),
]


def test_rows_come_out_as_they_came_in() -> None:
    catalog = held(line(3, *ROWS, complete=True))
    received = json.loads(catalog.complete_list().line)
    assert received == {"seq": 3, "whole": True, "hosts": ROWS}
    assert (
        catalog.complete_list().line.count(b"\n") == 1 and catalog.complete_list() is catalog.complete_list()
    )
    catalog.apply(line(4, *ROWS[::-1]))
    assert json.loads(catalog.no_changes_line()) == {"seq": 4, "whole": False, "hosts": []}
    catalog.apply(line(5, *[r | {"block": 9} for r in ROWS]))
    assert update_for(catalog, None, 3) == [r | {"block": 9} for r in ROWS]


def test_a_removed_row_is_kept_and_a_row_changed_twice_is_sent_once() -> None:
    catalog = held(line(1, row("a"), row("b"), row("c"), complete=True))
    for version in (2, 3):
        catalog.apply(line(version, row("a", born_ms=version)))
    gone = row("b", health="gone")
    del gone["dial"]
    catalog.apply(line(4, gone))
    assert update_for(catalog, None, 1) == [row("a", born_ms=3), row("b", health="gone")]
    assert update_for(catalog, Position(1, 3)) == [row("b", health="gone")]
    first = catalog.update_for(None, 1)
    assert catalog.update_for(Position(1, 1)).line is first.line  # one encoding for all at a version
    catalog.apply(line(5, row("b", born_ms=5)))
    assert update_for(catalog, None, 1) == [row("a", born_ms=3), row("b", born_ms=5)]
    assert update_for(catalog, None, 5) is UpdateKind.NOTHING
    assert not catalog.apply(line(5, row("b", born_ms=5))) and not catalog.apply(line(4, row("b")))
    assert catalog.apply(line(6)) and update_for(catalog, None, 5) == []


def test_updates_for_versions_ahead_too_old_or_never_held_here() -> None:
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
def test_a_new_incarnation_of_the_source_is_sent_as_the_complete_list_to_all(version: int) -> None:
    """A lower or the same version with other rows: for a watch that stands, and a call by an old index."""
    catalog = held(line(8, row("a"), row("b"), complete=True), line(9, row("a", block=4)))
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
        names(update_for(catalog, here)) == ["c ready"]
        and update_for(catalog, None, 12) is UpdateKind.NOTHING
    )
    assert (
        catalog.apply(line(12, row("c", block=8)))
        and catalog.position().incarnation == before.incarnation + 2
    )


def test_bounds_on_gone_rows_and_versions_raise_the_floor() -> None:
    catalog = Catalog(max_tombstones=3, max_versions=6)
    catalog.apply(line(1, *(row(f"s{n}") for n in range(9)), complete=True))
    for n in range(5):
        catalog.apply(line(n + 2, row(f"s{n}", health="gone")))
    assert len(catalog.tombstones) == 3 and catalog.oldest_version == 3
    assert (
        update_for(catalog, Position(1, 2)) is UpdateKind.COMPLETE_LIST
        and update_for(catalog, None, 2) is UpdateKind.COMPLETE_LIST
    )
    assert names(update_for(catalog, None, 3)) == ["s2 gone", "s3 gone", "s4 gone"]
    for version in range(7, 11):
        catalog.apply(line(version))
    assert catalog.oldest_version == 5 and update_for(catalog, Position(1, 4)) is UpdateKind.COMPLETE_LIST
    assert names(update_for(catalog, None, 5)) == ["s4 gone"]


def test_changes_of_most_of_a_long_list_are_sent_as_the_complete_list() -> None:
    rows = [row(f"s{n}") for n in range(1_500)]
    catalog = held(line(1, *rows, complete=True))
    catalog.apply(line(2, *(r | {"block": 4} for r in rows[:1_000])))
    assert len(update_for(catalog, None, 1)) == 1_000
    catalog.apply(line(3, rows[-1] | {"block": 4}))
    assert update_for(catalog, None, 1) is UpdateKind.COMPLETE_LIST and len(update_for(catalog, None, 2)) == 1


def test_encodings_of_the_complete_list_that_are_in_use_are_bounded() -> None:
    catalog = held(line(1, row("a"), complete=True))
    taken = [catalog.complete_list(exact=True)]
    for version in range(2, 20):
        catalog.apply(line(version, row("a", block=version)))
        taken.append(catalog.complete_list(exact=True))
    assert len({id(complete) for complete in taken}) == MAX_ENCODINGS
    assert names(update_for(catalog, taken[-1].position)) == [
        "a ready"
    ]  # it is followed by the changes behind it
    del taken
    assert catalog.complete_list(exact=True).position.version == 19
    rows = [row(f"s{n}") for n in range(20)]
    catalog = held(line(1, *rows, complete=True))
    first = catalog.complete_list()
    for version, changed in ((2, row("s3", block=8)), (3, row("s4", health="gone")), (4, row("new"))):
        catalog.apply(line(version, changed))
        assert catalog.complete_list_bytes() - len(catalog.complete_list(exact=True).line) == 2
    catalog._latest_encoding = first
    assert catalog.complete_list().position.version == 4  # three of twenty rows have changed since
    last = catalog.complete_list()
    catalog.apply(line(5, row("s3", block=7)))
    assert catalog.complete_list() is last and catalog.complete_list(exact=True).position.version == 5


class Model:
    """A source in its simplest form: the rows of every version are kept."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.version = 1
        self.table = {f"s{n}": row(f"s{n}") for n in range(6)}
        self.past: dict[int, Table] = {1: dict(self.table)}

    def step(self) -> None:
        self.version += self.rng.choice((1, 1, 1, 2))
        for _ in range(self.rng.randrange(3)):
            name = f"s{self.rng.randrange(10)}"
            if name in self.table and self.rng.random() < 0.4:
                del self.table[name]
            else:
                self.table[name] = row(name, block=self.rng.randrange(4))
        self.past[self.version] = dict(self.table)

    def restart(self) -> None:
        """A new incarnation: lower versions, or the same one, and other rows."""
        version = self.rng.choice((self.version, max(1, self.version - self.rng.randrange(9))))
        self.version = version
        self.past = {}
        self.table = {f"s{n}": row(f"s{n}", block=self.rng.randrange(50)) for n in range(6)}
        self.past[version] = dict(self.table)

    def line(self, since: int | None) -> Listing:
        if since is None or since not in self.past:
            return line(self.version, *self.table.values(), complete=True)
        old = self.past[since]
        rows = [r for name, r in self.table.items() if old.get(name) != r]
        rows += [r | {"health": "gone"} for name, r in old.items() if name not in self.table]
        return line(self.version, *rows)


class Relay:
    def __init__(self, model: Model) -> None:
        self.model = model
        self.catalog = Catalog(max_tombstones=5, max_versions=12, max_encodings=2)
        self.since: int | None = None

    def hear(self) -> None:
        self.catalog.apply(self.model.line(self.since))
        self.since = self.model.version


class Watcher:
    """Applies the updates that a relay sends it; none may be older than what it holds."""

    def __init__(self) -> None:
        self.rows: Table = {}
        self.version = 0
        self.position: Position | None = None
        self.lists: list[Any] = []

    def follow(self, catalog: Catalog) -> None:
        kind, text = catalog.update_for(self.position, self.version)
        # A relay of the test is never behind here: an index ahead of it is of another incarnation.
        if kind in (UpdateKind.COMPLETE_LIST, UpdateKind.AHEAD):
            complete_list = catalog.complete_list()
            self.lists.append(complete_list)
            text = complete_list.line
            self.position = complete_list.position
        else:
            text = text or catalog.no_changes_line()
            self.position = catalog.position()
        received = json.loads(text)
        assert received["whole"] or received["seq"] >= self.version, "changes that a balancer refuses"
        self.version = received["seq"]
        if received["whole"]:
            self.rows = {}
        for r in received["hosts"]:
            if r["health"] == "gone":
                self.rows.pop(r["host"], None)
            else:
                self.rows[r["host"]] = r


@pytest.mark.parametrize("seed", range(40))
def test_watchers_that_apply_their_updates_end_with_the_rows_of_the_source(seed: int) -> None:
    """Two relays that miss versions, watchers that read now and then and move between relays by index."""
    rng = random.Random(seed)
    model = Model(rng)
    relays = [Relay(model), Relay(model)]
    watchers = [(Watcher(), rng.choice(relays)) for _ in range(5)]
    for _ in range(300):
        what = rng.random()
        if what < 0.4:
            model.step()
        elif what < 0.41:
            for relay in relays:  # one that missed versions could take a new incarnation for the same one
                relay.hear()
            model.restart()
            for relay in relays:  # its watch ended, and the next one is for the complete list
                relay.since = None
                relay.hear()
        elif what < 0.45:
            rng.choice(relays).since = None
        for relay in relays:
            if rng.random() < 0.6:
                relay.hear()
        at = rng.randrange(5)
        watcher, relay = watchers[at]
        if rng.random() < 0.1:
            relay = relays[relay is relays[0]]
            watchers[at], watcher.position = (watcher, relay), None
            relay.hear()
        if relay.catalog.version is not None and rng.random() < 0.7:
            watcher.follow(relay.catalog)
            watcher.lists = watcher.lists[-1:]
            expected = model.past.get(watcher.version)
            assert expected is None or watcher.rows == expected
    for watcher, relay in watchers:
        relay.hear()
        watcher.follow(relay.catalog)
        watcher.follow(relay.catalog)  # a complete list may be some versions old
        assert watcher.rows == model.table and watcher.version == model.version
