"""The list that a relay holds, and the update that a watcher at a given version needs. No I/O.

Rows are stored by name, ordered by the version in which each row last changed. The changes after a version
are therefore the rows that follow it in this order; a row that changed several times is sent once. Removed
rows are kept as tombstones, up to a maximum number.

A version identifies the same rows only within one incarnation of the source. If a version decreases, or
repeats with different rows, the source has restarted. This begins a new incarnation, and a client that holds
a list of an earlier incarnation gets the complete list. Within an incarnation the relay trusts an index only
if the relay itself held that version: only then does it know which rows the client has.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from enum import Enum
from typing import NamedTuple
from weakref import WeakSet

from quartzford.decision import interface as io
from quartzford.membership.listing import Listing
from quartzford.relay.list_encoding import Address, encode_line, encode_row

MAX_TOMBSTONES = 20_000
MAX_VERSIONS = 65_536  # versions that the relay remembers having held
MAX_ENCODINGS = 8  # encodings of the complete list in use at the same time
# An encoding is reused while the changes since its version are at most this fraction of its length.
REUSE_FRACTION = 0.125
MAX_ROWS_ALWAYS_AS_CHANGES = 1_000  # up to this number, changed rows are never replaced by the complete list
REMOVED_STATE = "gone"  # the state of a removed row


class Position(NamedTuple):
    """The version of the list that a watcher holds, and the incarnation of the source that it belongs to."""

    incarnation: int
    version: int


class UpdateKind(Enum):
    """The kind of update that a watcher needs."""

    NOTHING = "nothing"
    CHANGES = "changes"
    COMPLETE_LIST = "complete list"  # its version is too old, of another incarnation, or was never held here
    AHEAD = "ahead"  # its version is above the held one: this relay is behind, or the source has restarted


class WatcherUpdate(NamedTuple):
    """The update for a watcher.

    line: the changes as one line of the list service's format, set for CHANGES only.
    """

    kind: UpdateKind
    line: bytes = b""


class ListedRow(NamedTuple):
    """A row as received from the source."""

    endpoint: io.Endpoint
    address: Address


class Row(NamedTuple):
    """A stored row. version: the version in which it last changed; text: the row as JSON."""

    version: int
    endpoint: io.Endpoint
    address: Address
    text: bytes


class CompleteList:
    """The complete list at one position, encoded as one line. All transfers of the list share it."""

    __slots__ = ("__weakref__", "line", "position")

    def __init__(self, position: Position, line: bytes) -> None:
        self.position = position
        self.line = line


class Catalog:
    """The rows by name, the versions held so far, and the shared encodings.

    If max_tombstones or max_versions is exceeded, watchers at the oldest versions get the complete list. If
    max_encodings is reached, a watcher gets a complete list that is a few versions old, then the later
    changes.
    """

    def __init__(
        self,
        max_tombstones: int = MAX_TOMBSTONES,
        max_versions: int = MAX_VERSIONS,
        max_encodings: int = MAX_ENCODINGS,
    ) -> None:
        self.max_tombstones = max_tombstones
        self.max_versions = max_versions
        self.max_encodings = max_encodings
        self.version: int | None = None
        self.incarnation = 0
        self.oldest_version = 0  # changes after this version are known
        self.untrusted_up_to = -1  # an index up to this version may be of an earlier incarnation
        self.rows: OrderedDict[str, Row] = OrderedDict()
        self.tombstones: OrderedDict[str, Row] = OrderedDict()
        self.row_bytes = 0  # total length of the texts of all rows
        self._held_versions: set[int] = set()  # versions of this incarnation
        self._held_order: deque[int] = deque()
        self._updates: dict[int, WatcherUpdate] = {}  # updates to the version held, by the watcher's version
        self._latest_encoding: CompleteList | None = None
        self._encodings: WeakSet[CompleteList] = WeakSet()

    def position(self) -> Position:
        """Return the position of the list held; raise ValueError if no list is held."""
        if self.version is None:
            raise ValueError("no list is held")
        return Position(self.incarnation, self.version)

    # ---- lines from the source

    def apply(self, listing: Listing) -> bool:
        """Apply a line from the source and return whether watchers need an update.

        Changes are ignored if the list that they apply to is not held here.
        """
        changed_rows = self._changed_rows(listing)
        if self.version is None or listing.version < self.version:
            if not listing.complete:
                return False
            self._begin_incarnation(listing.version)
        elif listing.version == self.version:
            if not changed_rows:
                return False
            self._begin_incarnation(listing.version)
        self.version = listing.version
        self._remember_version(listing.version)
        for row in changed_rows:
            self._store_row(row, listing.version)
        self._drop_tombstones()
        self._updates.clear()
        return True

    def _changed_rows(self, listing: Listing) -> list[ListedRow]:
        """Return the rows of a line that differ from the rows held; a removed row keeps its last address."""
        changed = []
        for name, row in self._incoming_rows(listing).items():
            held = self.rows.get(name)
            if row.endpoint.state == REMOVED_STATE:
                if held is not None:  # clients can only hold rows that were held here
                    changed.append(row if row.address[0] else row._replace(address=held.address))
            elif held is None or held.endpoint != row.endpoint or held.address != row.address:
                changed.append(row)
        return changed

    def _incoming_rows(self, listing: Listing) -> dict[str, ListedRow]:
        """Return the rows of a line by name. Held rows that a complete list omits are added as removed."""
        listed = (ListedRow(*row) for row in zip(listing.entries, listing.addresses, strict=True))
        incoming = {row.endpoint.server: row for row in listed}
        if not listing.complete:
            return incoming
        incoming = {name: row for name, row in incoming.items() if row.endpoint.state != REMOVED_STATE}
        for name, held in self.rows.items():
            if name not in incoming:
                incoming[name] = ListedRow(held.endpoint._replace(state=REMOVED_STATE), held.address)
        return incoming

    def _begin_incarnation(self, version: int) -> None:
        """Begin a new incarnation: the source has restarted or has sent its first list."""
        if self.version is not None:
            self.untrusted_up_to = max(self.untrusted_up_to, self.version)
        self.incarnation += 1
        self.oldest_version = version
        self.tombstones.clear()
        self._held_versions.clear()
        self._held_order.clear()
        for name, row in self.rows.items():
            self.rows[name] = row._replace(version=version)

    def _remember_version(self, version: int) -> None:
        if version not in self._held_versions:
            self._held_versions.add(version)
            self._held_order.append(version)
        while len(self._held_order) > self.max_versions:
            self._held_versions.discard(self._held_order.popleft())
            self.oldest_version = max(self.oldest_version, self._held_order[0])

    def _store_row(self, listed: ListedRow, version: int) -> None:
        name = listed.endpoint.server
        row = Row(version, listed.endpoint, listed.address, encode_row(*listed))
        replaced = self.rows.get(name)
        if replaced is not None:
            self.row_bytes -= len(replaced.text)
        if listed.endpoint.state == REMOVED_STATE:
            self.rows.pop(name, None)
            self.tombstones[name] = row
            self.tombstones.move_to_end(name)
        else:
            self.tombstones.pop(name, None)
            self.rows[name] = row
            self.rows.move_to_end(name)
            self.row_bytes += len(row.text)

    def _drop_tombstones(self) -> None:
        while len(self.tombstones) > self.max_tombstones:
            _, dropped = self.tombstones.popitem(last=False)
            self.oldest_version = max(self.oldest_version, dropped.version)

    # ---- updates

    def update_for(self, position: Position | None, index: int = 0) -> WatcherUpdate:
        """Return the update for a watcher.

        position: what this relay last sent to the watcher. If it is None, the watcher got its list from
        another server, and index is the version of that list. While no list is held, every watcher counts as
        AHEAD.
        """
        if self.version is None:
            return WatcherUpdate(UpdateKind.AHEAD)
        if position is None:
            if index <= 0 or index <= self.untrusted_up_to:
                return WatcherUpdate(UpdateKind.COMPLETE_LIST)
            if index > self.version:
                return WatcherUpdate(UpdateKind.AHEAD)
            # A row may have been added and removed between two versions held here: only the source, or a
            # relay that held the intermediate version, knows of it.
            if index not in self._held_versions:
                return WatcherUpdate(UpdateKind.COMPLETE_LIST)
            position = Position(self.incarnation, index)
        if position.incarnation != self.incarnation or position.version < self.oldest_version:
            return WatcherUpdate(UpdateKind.COMPLETE_LIST)
        if position.version == self.version:
            return WatcherUpdate(UpdateKind.NOTHING)
        return self._update_after(position.version)

    def _update_after(self, version: int) -> WatcherUpdate:
        update = self._updates.get(version)
        if update is None:
            update = self._encode_update_after(version)
            self._updates[version] = update
        return update

    def _encode_update_after(self, version: int) -> WatcherUpdate:
        rows = _texts_after(self.rows, version) + _texts_after(self.tombstones, version)
        if len(rows) > MAX_ROWS_ALWAYS_AS_CHANGES and 2 * len(rows) > len(self.rows):
            # About as long as the complete list, but the transfer schedule does not limit changes.
            return WatcherUpdate(UpdateKind.COMPLETE_LIST)
        line = encode_line(self.position().version, complete=False, rows=rows)
        return WatcherUpdate(UpdateKind.CHANGES, line)

    def no_changes_line(self) -> bytes:
        """Return a line without changes. It is the first line of a watch whose index is the version held."""
        return encode_line(self.position().version, complete=False, rows=[])

    # ---- complete lists

    def complete_list_bytes(self) -> int:
        """Return the approximate length of the complete list's line in bytes."""
        return self.row_bytes + len(self.rows) + len(self.no_changes_line())

    def complete_list(self, exact: bool = False, since: int = 0) -> CompleteList:
        """Return the complete list, which may be a few versions old; a watcher then gets the later changes.

        exact: require the version held. since: require this version or a later one. Neither is guaranteed
        while max_encodings encodings are in use.
        """
        latest = self._latest_encoding
        if latest is not None and self._is_reusable(latest, exact, since):
            return latest
        position = self.position()
        line = encode_line(position.version, complete=True, rows=[row.text for row in self.rows.values()])
        encoding = CompleteList(position, line)
        self._latest_encoding = encoding
        self._encodings.add(encoding)
        return encoding

    def _is_reusable(self, encoding: CompleteList, exact: bool, since: int) -> bool:
        position = self.position()
        if encoding.position == position:
            return True
        if encoding.position.incarnation != position.incarnation:
            return False
        if encoding.position.version < self.oldest_version:
            return False
        if len(self._encodings) >= self.max_encodings:
            return True
        return not exact and encoding.position.version >= since and self._has_few_changes_since(encoding)

    def _has_few_changes_since(self, encoding: CompleteList) -> bool:
        update = self.update_for(encoding.position)
        return update.kind is UpdateKind.CHANGES and len(update.line) <= REUSE_FRACTION * len(encoding.line)


def _texts_after(rows: OrderedDict[str, Row], version: int) -> list[bytes]:
    """Return the texts of the rows that changed after a version, in the order of their changes."""
    texts = []
    for row in reversed(rows.values()):
        if row.version <= version:
            break
        texts.append(row.text)
    texts.reverse()
    return texts
