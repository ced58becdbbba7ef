"""Plans of scale runs: how many balancers of which kind, and the events that they go through."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from rig import capacity

RACK_ROWS = 40
FIRST_VERSION = 2  # of the list as it is at the release


class ScaleEventKind(StrEnum):
    """What happens in an event of a scale run; see `ScaleEvent`."""

    QUIET = "quiet"
    CHANGE = "change"
    DOWN = "down"
    KILL = "kill"
    CUT = "cut"
    DRIP = "drip"


@dataclass(frozen=True)
class ScaleEvent:
    """Something that happens `at` seconds from the release, and is observed for `window` seconds.

    change: `rows` rows, from row `first` on, go at once (`gone`) or come back. down: the list service is down
    for `span` seconds, and changes a row when it is back. kill: `count` relays get SIGKILL, and `rows` rows
    change. cut: a third of the hollow balancers are cut off for `span` seconds, and a row changes. drip: a
    row changes every `span` seconds.
    """

    at: float
    name: str
    what: ScaleEventKind = ScaleEventKind.QUIET
    window: float = 6.0
    rows: int = 1
    first: int = 0
    gone: bool = False
    count: int = 0
    span: float = 0.0


@dataclass(frozen=True)
class ScalePlan:
    """A scale run. rows: of the list; upstreams: real ones, behind these rows; idle: real balancers
    without requests; lone: one more hollow balancer, in a process of its own; rate: requests per second over
    the fleet; per_s: calls per second that the list service answers."""

    real: int
    hollow: int
    events: tuple[ScaleEvent, ...]
    relays: int = 0
    rows: int = 2_000
    upstreams: int = 40
    idle: int = 1
    hollow_processes: int = 4
    share: str = "rows"
    rate: float = 40.0
    seconds: float = 30.0
    per_s: float = 50.0
    seed: int = 1
    lone: bool = True

    def fleet(self) -> int:
        """Return the number of all balancers together."""
        return self.real + self.hollow + self.lone

    def demand(self) -> capacity.ScaleDemand:
        """Return what it needs of the machine."""
        return capacity.ScaleDemand(
            self.real,
            self.hollow,
            self.rows,
            self.relays,
            self.hollow_processes + self.lone,
            self.share,
            self.rate,
        )
