"""The settings of the operator's file, section by section, as `operator_file` reads them."""

from __future__ import annotations

import math
from dataclasses import dataclass

EXTPROC_RESTART_KEYS = ("listen", "workers", "most_streams", "token_key_file")
RESTART_SECTIONS = ("trace", "subset", "lists", "relay")

WATCHER_HEADROOM = 1.25  # open watches over a relay's share of the fleet
RELAYS_PER_FAILURE = 4  # one relay of so many may be gone


@dataclass(frozen=True, slots=True)
class ExtprocSettings:
    """Section [extproc]: the external processor. Times in milliseconds."""

    listen: str  # host:port
    workers: int = 1  # processes that serve gRPC; 0: within the deciding process
    decision_valid_ms: float = 100.0  # an older decision is discarded and made anew
    return_ms: float = 250.0  # for how long a request waits for its caller's next stream
    overlap_ms: float = 50.0  # for how long a new stream of a request waits while an attempt is in flight
    queue_ms: float = 100.0  # for how long a request may wait for the deciding process
    most_requests: int = 20_000
    most_streams: int = 4_000  # of each connection at a time
    most_headers: int = 256
    most_header_bytes: int = 65_536
    default_class: str = ""
    cookie: str = "sid"
    token_key_file: str = ""  # 16 bytes or more; without one a key is drawn at each start
    headers: tuple[tuple[str, str], ...] = ()  # purpose and header name, where not the default


@dataclass(frozen=True, slots=True)
class TraceSettings:
    """Section [trace]: record the requests, to be replayed by `quartzford load --trace`."""

    file: str
    keys: str = "hashed"  # or plain, or none
    most_mb: float = 256.0  # recording ends there


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """Section [subset]: use only so many ready upstreams, in complete cells. docs/operators/subsets.md"""

    size: int
    per_zone: int = 0  # of each zone at least


@dataclass(frozen=True, slots=True)
class ListsSettings:
    """Section [lists]: a list service that all of a fleet poll. docs/operators/coldstart.md"""

    calls_per_s: float = 50.0  # that it answers
    snapshot: str = ""  # a file on a lasting disk
    snapshot_age_s: float = 3_600.0  # an older one is not used
    snapshot_fresh_s: float = 60.0  # an older one's upstreams count as warming up at first
    relays: tuple[str, ...] = ()  # host:port; polled in place of the configuration's discovery address


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Section [relay], for `quartzford relay` alone. docs/operators/relay.md"""

    listen: str  # host:port; port 0: the kernel's choice
    source: str  # host:port of the list service
    balancers: int  # of the fleet
    relays: int = 1  # that share the fleet
    list_bytes_per_s: float = 50_000_000.0  # complete lists are sent at no higher rate
    most_watchers: int = 0  # open watches; 0: derived from the fleet and the relays
    source_calls_per_s: float = 50.0  # that the source answers

    def max_watchers(self) -> int:
        """The bound on open watches: with headroom, the share of the fleet while some relays are gone."""
        relays_left = max(1, self.relays - math.ceil(self.relays / RELAYS_PER_FAILURE))
        return self.most_watchers or math.ceil(WATCHER_HEADROOM * self.balancers / relays_left)


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The complete file. config: path of the configuration file, unless EDGE_CONFIG names it."""

    config: str = ""
    extproc: ExtprocSettings | None = None
    trace: TraceSettings | None = None
    subset: SubsetSettings | None = None
    lists: ListsSettings | None = None
    relay: RelaySettings | None = None


def first_restart_only_change(old: OperatorSettings, new: OperatorSettings) -> str:
    """The first key whose change a reload can't carry out; "" if there is none."""
    if (old.extproc is None) != (new.extproc is None):
        return "extproc"
    if old.extproc is not None and new.extproc is not None:
        for name in EXTPROC_RESTART_KEYS:
            if getattr(old.extproc, name) != getattr(new.extproc, name):
                return f"extproc.{name}"
    for name in RESTART_SECTIONS:
        if getattr(old, name) != getattr(new, name):
            return name
    return ""
