"""Start times of upstream incarnations, on the balancer's own clock. No I/O.

The `born_ms` of a row is a reading of the list service's wall clock. It identifies an incarnation: a
different value means a different incarnation. As a time it is trusted only between two bounds that this
process measured itself. A new incarnation in the list started no later than now, and no earlier than the last
time at which the list was known without it. While a watch is established, that time is a moment ago, and the
start is set to now. If `born_ms` is outside the bounds, a clock is wrong, and the start is also set to now.
An upstream that is taken for too young loses a little capacity for a while, whereas one that is taken for too
old is overloaded. At the start of this process there is no earlier bound. The value 0 is not a clock reading:
it means "long ago".

All times are milliseconds on the engine's clock, which is not affected by steps of the wall clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from quartzford.decision import interface as io
from quartzford.membership.call_policy import LINE_TIMEOUT_S
from quartzford.membership.listing import Listing

LONG_AGO_MS = 0.0
# A list that was known at most this long ago has been watched without interruption.
MAX_WATCHED_GAP_MS = LINE_TIMEOUT_S * 1000.0
# How many incarnations are remembered after their removal: this many, or as many as the longest list had.
MIN_REMEMBERED_REMOVALS = 64


class Incarnation(NamedTuple):
    """An incarnation of an upstream. presumed: started_ms is assumed, and born_ms may replace it later."""

    born_ms: float
    started_ms: float
    presumed: bool = False


def _start_ms(born_ms: float, known_ms: float, now_ms: float) -> float:
    """Return the start of an incarnation that is in the list now and was not at known_ms."""
    if born_ms == LONG_AGO_MS:
        return LONG_AGO_MS
    watched = now_ms - known_ms <= MAX_WATCHED_GAP_MS
    return born_ms if known_ms <= born_ms <= now_ms and not watched else now_ms


class StartTimes:
    """Assigns each incarnation a start time when it first appears in the list, and keeps it."""

    def __init__(self) -> None:
        self._current: dict[str, Incarnation] = {}
        self._removed: OrderedDict[str, Incarnation] = OrderedDict()
        self._max_removed = MIN_REMEMBERED_REMOVALS
        self._source_changed = False

    def note_source_change(self) -> None:
        """Note that the next complete list may come from another list service with different upstreams."""
        self._source_changed = True

    def date_initial_list(self, listing: Listing, now_ms: float) -> None:
        """Date the list that is known when this process starts: by born_ms, but never in the future."""
        self.date_listing(listing, -math.inf, now_ms)

    def presume_started(self, listing: Listing, now_ms: float) -> None:
        """Set the start of every upstream to now, until a list of the service confirms its incarnation."""
        for entry in listing.entries:
            self._current[entry.server] = Incarnation(entry.started_ms, now_ms, presumed=True)

    def inherit(self, listing: Listing, starts: Mapping[str, float], now_ms: float) -> None:
        """Adopt the predecessor's start times. starts: of young incarnations; all others started long ago."""
        for entry in listing.entries:
            started_ms = min(starts.get(entry.server, LONG_AGO_MS), now_ms)
            self._current[entry.server] = Incarnation(entry.started_ms, started_ms)

    def date_listing(self, listing: Listing, known_ms: float, now_ms: float) -> None:
        """Date the incarnations that appear for the first time in a line of the list service.

        known_ms: the last time before this line at which the list was known; minus infinity if never.
        """
        self._max_removed = max(self._max_removed, len(self._current))
        if listing.complete:
            if self._source_changed and not any(map(self._is_current, listing.entries)):
                known_ms = -math.inf
            self._source_changed = False
            named = {entry.server for entry in listing.entries}
            for name in [name for name in self._current if name not in named]:
                self._move_to_removed(name)
        for entry in listing.entries:
            if entry.state == "gone":
                self._move_to_removed(entry.server)
            else:
                self._date_entry(entry, known_ms, now_ms)

    def starts_of(self, entries: Iterable[io.Endpoint]) -> dict[str, float]:
        """Return the start times of the entries' incarnations by name, as far as they were dated here."""
        return {
            entry.server: self._current[entry.server].started_ms
            for entry in entries
            if self._is_current(entry)
        }

    def started_after(self, since_ms: float) -> dict[str, float]:
        """Return the start times of the incarnations that started after this time, by name."""
        return {
            name: incarnation.started_ms
            for name, incarnation in self._current.items()
            if incarnation.started_ms > since_ms
        }

    def _is_current(self, entry: io.Endpoint) -> bool:
        incarnation = self._current.get(entry.server)
        return incarnation is not None and incarnation.born_ms == entry.started_ms

    def _date_entry(self, entry: io.Endpoint, known_ms: float, now_ms: float) -> None:
        incarnation = self._current.get(entry.server)
        if incarnation is None:
            incarnation = self._removed.pop(entry.server, None)
        if incarnation is not None and incarnation.born_ms == entry.started_ms:
            if not incarnation.presumed:
                self._current[entry.server] = incarnation
                return
            known_ms = -math.inf
        started_ms = _start_ms(entry.started_ms, known_ms, now_ms)
        self._current[entry.server] = Incarnation(entry.started_ms, started_ms)

    def _move_to_removed(self, name: str) -> None:
        incarnation = self._current.pop(name, None)
        if incarnation is None:
            return
        self._removed[name] = incarnation
        self._removed.move_to_end(name)
        if len(self._removed) > self._max_removed:
            self._removed.popitem(last=False)
