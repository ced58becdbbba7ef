"""The list that a relay holds, and what a watcher at some version of it is owed. No I/O.

Rows are kept by name, in the order of the version in which each last changed; so the changes after a version
are the rows behind it, each once, however often it changed. Rows that went are kept as gone rows, bounded in
number.

A version names the same rows only within one life of the source. Where a version falls, or is repeated with
other rows, the source has begun again: a new life, and whoever holds a list of an earlier one is owed the
whole. Within a life an index is trusted if this relay held that version itself: then it is known which rows
its holder has.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from enum import Enum
from json.encoder import encode_basestring_ascii as quoted
from typing import NamedTuple
from weakref import WeakSet

from quartzford.decision import interface as io
from quartzford.membership.listing import Listing

MAX_TOMBSTONES = 20_000  # gone rows that are kept
MAX_VERSIONS = 65_536  # versions that are remembered as held
MAX_ENCODINGS = 8  # encodings of the whole list that are in use at a time
REUSE_FRACTION = (
    0.125  # of an encoding: it is sent to further watchers while the changes behind it are no longer
)
FEW_ROWS = 1_000  # so many changed rows are always sent as changes
EXACT_INTEGER_LIMIT = 2**53  # whole numbers below this are written as such

Address = tuple[str, int]


class Position(NamedTuple):
    """What a watcher holds: a version, and the life of the source that it belongs to."""

    incarnation: int
    version: int


class UpdateKind(Enum):
    """What a watcher is owed."""

    NOTHING = "nothing"
    CHANGES = "changes"
    COMPLETE_LIST = "complete list"  # its version is too old, of another life, or was never held here
    AHEAD = "ahead"  # its version is above the one held: this relay is behind, or the source has begun again


class WatcherUpdate(NamedTuple):
    """What is due; line: the changes, one line of discovery, where those are due."""

    kind: UpdateKind
    line: bytes = b""


class Row(NamedTuple):
    """One row of the list. version: it last changed in; text: its JSON."""

    version: int
    entry: io.Endpoint
    address: Address
    text: bytes


class CompleteList:
    """The whole list at one position as a line of discovery, shared by all to whom it is being sent."""

    __slots__ = ("__weakref__", "line", "position")

    def __init__(self, position: Position, line: bytes) -> None:
        self.position, self.line = position, line


def row_text(entry: io.Endpoint, address: Address) -> bytes:
    """A row's JSON in discovery's form."""
    host, port = address
    dial = "" if not host else f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
    born = entry.started_ms
    when = str(int(born)) if born < EXACT_INTEGER_LIMIT and born.is_integer() else repr(born)
    return (
        f'{{"host":{quoted(entry.server)},"dial":{quoted(dial)},"site":{quoted(entry.zone)},'
        f'"class":{quoted(entry.kind)},"block":{entry.cell},"health":"{entry.state}",'
        f'"share":{entry.units!r},"born_ms":{when}}}'
    ).encode("ascii")


def _line(version: int, complete: bool, rows: list[bytes]) -> bytes:
    head = b'{"seq":%d,"whole":%b,"hosts":[' % (version, b"true" if complete else b"false")
    if not rows:
        return head + b"]}\n"
    rows[0] = head + rows[0]  # no second copy of millions of bytes
    rows[-1] += b"]}\n"
    return b",".join(rows)


class Catalog:
    """The rows by name, the versions that were held, and the encodings that are shared.

    most_gone, most_versions, most_wholes: bounds; past the first two older versions are owed the whole list,
    past the third a whole list is sent that is a few versions old, and the changes behind it.
    """

    def __init__(
        self,
        max_tombstones: int = MAX_TOMBSTONES,
        max_versions: int = MAX_VERSIONS,
        max_encodings: int = MAX_ENCODINGS,
    ) -> None:
        self.max_tombstones, self.max_versions, self.max_encodings = (
            max_tombstones,
            max_versions,
            max_encodings,
        )
        self.version: int | None = None
        self.incarnation = 0
        self.oldest_version = 0  # changes are known after this version
        self.untrusted_up_to = -1  # an index up to this may be of an earlier life
        self.rows: OrderedDict[str, Row] = OrderedDict()
        self.tombstones: OrderedDict[str, Row] = OrderedDict()
        self.row_bytes = 0  # of the rows' texts
        self._held_versions: set[int] = set()  # versions of this life that this relay held
        self._held_order: deque[int] = deque()
        self._changes: dict[int, WatcherUpdate] = {}  # by the version after which; of the version held alone
        self._latest_encoding: CompleteList | None = None
        self._encodings: WeakSet[CompleteList] = WeakSet()

    def position(self) -> Position:
        """Of the list held; ValueError while there is none."""
        if self.version is None:
            raise ValueError("no list is held")
        return Position(self.incarnation, self.version)

    # ---- the source's lines

    def apply(self, listing: Listing) -> bool:
        """Take a line of the source; whether watchers are owed anything because of it.

        Changes that belong to no list held here are refused: nothing changes.
        """
        rows = self._changed(listing)
        if self.version is None or listing.version < self.version:
            if not listing.complete:
                return False
            self._begin_incarnation(listing.version)
        elif listing.version == self.version:
            if not rows:
                return False
            self._begin_incarnation(listing.version)
        self.version = listing.version
        self._remember(listing.version)
        for entry, address in rows.values():
            self._put(entry, address, listing.version)
        self._drop_tombstones()
        self._changes.clear()
        return True

    def _changed(self, listing: Listing) -> dict[str, tuple[io.Endpoint, Address]]:
        """The rows of a line that are not as they are held; of a whole list also those that it leaves out."""
        incoming = {row[0].server: row for row in zip(listing.entries, listing.addresses, strict=True)}
        if listing.complete:
            incoming = {name: row for name, row in incoming.items() if row[0].state != "gone"}
            for name, row in self.rows.items():
                if name not in incoming:
                    incoming[name] = row.entry._replace(state="gone"), row.address
        changed = {}
        for name, (entry, address) in incoming.items():
            held = self.rows.get(name)
            if entry.state == "gone":
                if held is not None:  # whoever held a version that was held here has no other row to lose
                    changed[name] = entry, address if address[0] else held.address
            elif held is None or held.entry != entry or held.address != address:
                changed[name] = entry, address
        return changed

    def _begin_incarnation(self, version: int) -> None:
        """The source has begun again, or is heard for the first time."""
        if self.version is not None:
            self.untrusted_up_to = max(self.untrusted_up_to, self.version)
        self.incarnation += 1
        self.oldest_version = version
        self.tombstones.clear()
        self._held_versions.clear()
        self._held_order.clear()
        for name, row in self.rows.items():
            self.rows[name] = row._replace(version=version)

    def _remember(self, version: int) -> None:
        if version not in self._held_versions:
            self._held_versions.add(version)
            self._held_order.append(version)
        while len(self._held_order) > self.max_versions:
            self._held_versions.discard(self._held_order.popleft())
            self.oldest_version = max(self.oldest_version, self._held_order[0])

    def _put(self, entry: io.Endpoint, address: Address, version: int) -> None:
        row = Row(version, entry, address, row_text(entry, address))
        kept, other = (self.tombstones, self.rows) if entry.state == "gone" else (self.rows, self.tombstones)
        held = self.rows.get(entry.server)
        other.pop(entry.server, None)
        kept[entry.server] = row
        kept.move_to_end(entry.server)
        self.row_bytes += len(row.text) * (kept is self.rows) - (len(held.text) if held is not None else 0)

    def _drop_tombstones(self) -> None:
        while len(self.tombstones) > self.max_tombstones:
            self.oldest_version = max(self.oldest_version, self.tombstones.popitem(last=False)[1].version)

    # ---- what is owed

    def update_for(self, position: Position | None, index: int = 0) -> WatcherUpdate:
        """What a watcher is owed, by its position, or where it comes from elsewhere by its index.

        While no list is held everybody is ahead.
        """
        if self.version is None:
            return WatcherUpdate(UpdateKind.AHEAD)
        if position is None:
            if index <= self.untrusted_up_to or index <= 0:
                return WatcherUpdate(UpdateKind.COMPLETE_LIST)
            if index > self.version:
                return WatcherUpdate(UpdateKind.AHEAD)
            # Between two versions held here a row may have come and gone: only the source, or one that
            # held the version, can name it.
            if index not in self._held_versions:
                return WatcherUpdate(UpdateKind.COMPLETE_LIST)
            position = Position(self.incarnation, index)
        if position.incarnation != self.incarnation or position.version < self.oldest_version:
            return WatcherUpdate(UpdateKind.COMPLETE_LIST)
        return (
            WatcherUpdate(UpdateKind.NOTHING)
            if position.version == self.version
            else self._after(position.version)
        )

    def _after(self, version: int) -> WatcherUpdate:
        update = self._changes.get(version)
        if update is None:
            rows = self._since(self.rows, version) + self._since(self.tombstones, version)
            if len(rows) > FEW_ROWS and 2 * len(rows) > len(self.rows):
                update = WatcherUpdate(
                    UpdateKind.COMPLETE_LIST
                )  # as long, and not under the bound of whole lists
            else:
                update = WatcherUpdate(UpdateKind.CHANGES, _line(self.position().version, False, rows))
            self._changes[version] = update
        return update

    @staticmethod
    def _since(rows: OrderedDict[str, Row], version: int) -> list[bytes]:
        texts = []
        for row in reversed(rows.values()):
            if row.version <= version:
                break
            texts.append(row.text)
        return texts[::-1]

    def no_changes_line(self) -> bytes:
        """The line that says that there are no changes; a watch by the version held begins with it."""
        return _line(self.position().version, False, [])

    def complete_list_bytes(self) -> int:
        """How long the whole list's line is, about."""
        return self.row_bytes + len(self.rows) + len(self.no_changes_line())

    def complete_list(self, exact: bool = False, since: int = 0) -> CompleteList:
        """The whole list, at most a few versions old: who watches is owed the changes behind it.

        exact: of the version held; since: of that version or a later one. Both unless too many older
        encodings are in use.
        """
        position, last = self.position(), self._latest_encoding
        if last is not None and last.position == position:
            return last
        if (
            last is not None
            and last.position.incarnation == position.incarnation
            and last.position.version >= self.oldest_version
        ):
            crowded = len(self._encodings) >= self.max_encodings
            late_enough = not exact and last.position.version >= since
            if crowded or (late_enough and self._few_behind(last)):
                return last
        line = _line(position.version, True, [row.text for row in self.rows.values()])
        self._latest_encoding = CompleteList(position, line)
        self._encodings.add(self._latest_encoding)
        return self._latest_encoding

    def _few_behind(self, complete: CompleteList) -> bool:
        update = self.update_for(complete.position)
        return update.kind is UpdateKind.CHANGES and len(update.line) <= REUSE_FRACTION * len(complete.line)
