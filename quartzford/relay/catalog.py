"""The list that a relay holds, and the update for a watcher at some version of it. No I/O.

Rows are kept by name, in the order of the version in which each last changed; so the changes after a version
are the rows behind it, each once, however often it changed. Removed rows are kept as tombstones, bounded in
number.

A version names the same rows only within one incarnation of the source. Where a version falls, or is repeated
with other rows, the source has restarted: a new incarnation, and a client that holds a list of an earlier one
gets the complete list. Within an incarnation an index is trusted if this relay held that version itself: then
it is known which rows its holder has.
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
MAX_VERSIONS = 65_536  # versions that are remembered as held
MAX_ENCODINGS = 8  # encodings of the complete list that are in use at a time
REUSE_FRACTION = 0.125  # an encoding is sent again while the changes behind it are no longer than this of it
FEW_ROWS = 1_000  # up to so many changed rows are always sent as changes
GONE = "gone"  # the state of a removed row


class Position(NamedTuple):
    """What a watcher holds: a version, and the incarnation of the source that it belongs to."""

    incarnation: int
    version: int


class UpdateKind(Enum):
    """What has to be sent to a watcher."""

    NOTHING = "nothing"
    CHANGES = "changes"
    COMPLETE_LIST = "complete list"  # its version is too old, of another incarnation, or never held here
    AHEAD = "ahead"  # its version is above the one held: this relay is behind, or the source has restarted


class WatcherUpdate(NamedTuple):
    """The update for a watcher. line: the changes as one line of discovery, of CHANGES alone."""

    kind: UpdateKind
    line: bytes = b""


class ListedRow(NamedTuple):
    """A row as the source lists it."""

    endpoint: io.Endpoint
    address: Address


class Row(NamedTuple):
    """A row that is held. version: in which it last changed; text: its JSON."""

    version: int
    endpoint: io.Endpoint
    address: Address
    text: bytes


class CompleteList:
    """The complete list at one position as a line of discovery, shared by all transfers of it."""

    __slots__ = ("__weakref__", "line", "position")

    def __init__(self, position: Position, line: bytes) -> None:
        self.position = position
        self.line = line


class Catalog:
    """The rows by name, the versions that were held, and the encodings that are shared.

    Beyond max_tombstones and max_versions older versions get the complete list; beyond max_encodings a
    complete list is sent that is a few versions old, and the changes behind it.
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
        self.oldest_version = 0  # changes are known after this version
        self.untrusted_up_to = -1  # an index up to this may be of an earlier incarnation
        self.rows: OrderedDict[str, Row] = OrderedDict()
        self.tombstones: OrderedDict[str, Row] = OrderedDict()
        self.row_bytes = 0  # of the rows' texts
        self._held_versions: set[int] = set()  # of this incarnation
        self._held_order: deque[int] = deque()
        self._updates: dict[int, WatcherUpdate] = {}  # to the version held, by the version that they follow
        self._latest_encoding: CompleteList | None = None
        self._encodings: WeakSet[CompleteList] = WeakSet()

    def position(self) -> Position:
        """The position of the list held; ValueError while there is none."""
        if self.version is None:
            raise ValueError("no list is held")
        return Position(self.incarnation, self.version)

    # ---- the source's lines

    def apply(self, listing: Listing) -> bool:
        """Take a line of the source; whether watchers get an update because of it.

        Changes that belong to no list held here are ignored.
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
            self._put(row, listing.version)
        self._drop_tombstones()
        self._updates.clear()
        return True

    def _changed_rows(self, listing: Listing) -> list[ListedRow]:
        """The rows of a line that differ from those held, a removed row with the address that it had."""
        changed = []
        for name, row in self._incoming_rows(listing).items():
            held = self.rows.get(name)
            if row.endpoint.state == GONE:
                if held is not None:  # a client has no other row to lose than one that was held here
                    changed.append(row if row.address[0] else row._replace(address=held.address))
            elif held is None or held.endpoint != row.endpoint or held.address != row.address:
                changed.append(row)
        return changed

    def _incoming_rows(self, listing: Listing) -> dict[str, ListedRow]:
        """The rows of a line by name; of a complete list also held rows that it leaves out, as removed."""
        listed = (ListedRow(*row) for row in zip(listing.entries, listing.addresses, strict=True))
        incoming = {row.endpoint.server: row for row in listed}
        if not listing.complete:
            return incoming
        incoming = {name: row for name, row in incoming.items() if row.endpoint.state != GONE}
        for name, held in self.rows.items():
            if name not in incoming:
                incoming[name] = ListedRow(held.endpoint._replace(state=GONE), held.address)
        return incoming

    def _begin_incarnation(self, version: int) -> None:
        """The source has restarted, or has answered for the first time."""
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

    def _put(self, listed: ListedRow, version: int) -> None:
        name = listed.endpoint.server
        row = Row(version, listed.endpoint, listed.address, encode_row(*listed))
        replaced = self.rows.get(name)
        if replaced is not None:
            self.row_bytes -= len(replaced.text)
        if listed.endpoint.state == GONE:
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
        """The update for a watcher by its position, or for one that comes from elsewhere by its index.

        While no list is held all are ahead.
        """
        if self.version is None:
            return WatcherUpdate(UpdateKind.AHEAD)
        if position is None:
            if index <= 0 or index <= self.untrusted_up_to:
                return WatcherUpdate(UpdateKind.COMPLETE_LIST)
            if index > self.version:
                return WatcherUpdate(UpdateKind.AHEAD)
            # Between two versions held here a row may have come and gone: only the source, or a relay that
            # held the version, can name it.
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
        if len(rows) > FEW_ROWS and 2 * len(rows) > len(self.rows):
            # About as long as the complete list, which the transfer schedule bounds and changes are not.
            return WatcherUpdate(UpdateKind.COMPLETE_LIST)
        line = encode_line(self.position().version, complete=False, rows=rows)
        return WatcherUpdate(UpdateKind.CHANGES, line)

    def no_changes_line(self) -> bytes:
        """The line that says that there are no changes; a watch by the version held begins with it."""
        return encode_line(self.position().version, complete=False, rows=[])

    # ---- complete lists

    def complete_list_bytes(self) -> int:
        """The approximate length of the complete list's line."""
        return self.row_bytes + len(self.rows) + len(self.no_changes_line())

    def complete_list(self, exact: bool = False, since: int = 0) -> CompleteList:
        """The complete list, at most a few versions old: a watcher gets the changes behind it.

        exact: of the version held; since: of that version or a later one. Both unless too many older
        encodings are in use.
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
        return not exact and encoding.position.version >= since and self._few_changes_behind(encoding)

    def _few_changes_behind(self, encoding: CompleteList) -> bool:
        update = self.update_for(encoding.position)
        return update.kind is UpdateKind.CHANGES and len(update.line) <= REUSE_FRACTION * len(encoding.line)


def _texts_after(rows: OrderedDict[str, Row], version: int) -> list[bytes]:
    """The texts of the rows that changed after a version, in the order of their changes."""
    texts = []
    for row in reversed(rows.values()):
        if row.version <= version:
            break
        texts.append(row.text)
    texts.reverse()
    return texts
