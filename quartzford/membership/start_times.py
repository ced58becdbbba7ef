"""When each upstream incarnation started, on the balancer's own clock. No I/O.

A row's `born_ms` is a reading of the list service's wall clock. It names an incarnation: another value is
another incarnation. As a moment it is believed only between two bounds that this process has measured itself:
an incarnation that is new in the list started no later than now, and no earlier than the last moment at which
the list was known without it. While a watch stands that is a moment ago, and the start is now. Where the
value lies outside of the bounds, a clock is wrong, and the start is now as well: an upstream that is taken
for younger than it is costs a little of its capacity for a while, one that is taken for older is overloaded.
At the process's own start the earlier bound is missing. 0 is no reading of a clock: it says "long ago".

All moments are milliseconds on the engine's clock, which no step of the wall clock moves.
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
CURRENT_MS = (
    LINE_TIMEOUT_S * 1000.0
)  # a list that was known so short a time ago has been watched without a break
# The list's removed incarnations are remembered: at least this many, or as many as its longest version had.
MIN_REMEMBERED_REMOVALS = 64


class Incarnation(NamedTuple):
    """An upstream's incarnation. presumed: started_ms was not derived from born_ms, which may replace it."""

    born_ms: float
    started_ms: float
    presumed: bool = False


def _start(born_ms: float, known_ms: float, now_ms: float) -> float:
    """When an incarnation started that was not in the list at known_ms, and is now."""
    if born_ms == LONG_AGO_MS:
        return LONG_AGO_MS
    watched = now_ms - known_ms <= CURRENT_MS
    return born_ms if known_ms <= born_ms <= now_ms and not watched else now_ms


class StartTimes:
    """Dates incarnations once, when they are new in the list, and keeps the dates."""

    def __init__(self) -> None:
        self._current: dict[str, Incarnation] = {}
        self._removed: OrderedDict[str, Incarnation] = OrderedDict()
        self._max_removed = MIN_REMEMBERED_REMOVALS
        self._source_changed = False

    def note_source_change(self) -> None:
        """The next complete list may come from another list service, with other upstreams altogether."""
        self._source_changed = True

    def date_initial_list(self, listing: Listing, now_ms: float) -> None:
        """Date a list that is known at the process's own start: by born_ms, but never in the future."""
        self.date_listing(listing, -math.inf, now_ms)

    def presume_started(self, listing: Listing, now_ms: float) -> None:
        """Date every upstream at this moment, until a list of the service confirms its incarnation."""
        for entry in listing.entries:
            self._current[entry.server] = Incarnation(entry.started_ms, now_ms, presumed=True)

    def inherit(self, listing: Listing, starts: Mapping[str, float], now_ms: float) -> None:
        """Take over the predecessor's dates. starts: of the young incarnations; all others are old."""
        for entry in listing.entries:
            started_ms = min(starts.get(entry.server, LONG_AGO_MS), now_ms)
            self._current[entry.server] = Incarnation(entry.started_ms, started_ms)

    def date_listing(self, listing: Listing, known_ms: float, now_ms: float) -> None:
        """Date the incarnations that a line of the list service names for the first time.

        known_ms: the last moment before this line at which the list was known; minus infinity for never.
        """
        self._max_removed = max(self._max_removed, len(self._current))
        if listing.complete:
            if self._source_changed and not any(map(self._is_current, listing.entries)):
                known_ms = -math.inf
            self._source_changed = False
            named = {entry.server for entry in listing.entries}
            for name in [name for name in self._current if name not in named]:
                self._retire(name)
        for entry in listing.entries:
            if entry.state == "gone":
                self._retire(entry.server)
            else:
                self._date(entry, known_ms, now_ms)

    def starts_of(self, entries: Iterable[io.Endpoint]) -> dict[str, float]:
        """The starts of these entries' incarnations by name, as far as they were dated here."""
        return {
            entry.server: self._current[entry.server].started_ms
            for entry in entries
            if self._is_current(entry)
        }

    def started_after(self, since_ms: float) -> dict[str, float]:
        """The starts of the incarnations that are younger than this moment, by name."""
        return {
            name: incarnation.started_ms
            for name, incarnation in self._current.items()
            if incarnation.started_ms > since_ms
        }

    def _is_current(self, entry: io.Endpoint) -> bool:
        incarnation = self._current.get(entry.server)
        return incarnation is not None and incarnation.born_ms == entry.started_ms

    def _date(self, entry: io.Endpoint, known_ms: float, now_ms: float) -> None:
        incarnation = self._current.get(entry.server)
        if incarnation is None:
            incarnation = self._removed.pop(entry.server, None)
        if incarnation is not None and incarnation.born_ms == entry.started_ms:
            if not incarnation.presumed:
                self._current[entry.server] = incarnation
                return
            known_ms = -math.inf
        started_ms = _start(entry.started_ms, known_ms, now_ms)
        self._current[entry.server] = Incarnation(entry.started_ms, started_ms)

    def _retire(self, name: str) -> None:
        incarnation = self._current.pop(name, None)
        if incarnation is None:
            return
        self._removed[name] = incarnation
        self._removed.move_to_end(name)
        if len(self._removed) > self._max_removed:
            self._removed.popitem(last=False)
