"""The settings of the operator's file, one class for each section; `operator_file` reads them."""

from __future__ import annotations

import math
from dataclasses import dataclass

EXTPROC_RESTART_KEYS = ("listen", "workers", "most_streams", "token_key_file")
RESTART_SECTIONS = ("trace", "subset", "lists", "relay")

WATCHER_HEADROOM = 1.25  # ratio of the bound on open watches to a relay's share of the fleet
RELAYS_PER_FAILURE = 4  # one relay in this number, rounded up, may have failed


@dataclass(frozen=True, slots=True)
class ExtprocSettings:
    """Section [extproc]: the external processor. Times are in milliseconds."""

    listen: str  # host:port
    workers: int = 1  # processes that serve gRPC; 0: the deciding process serves it
    decision_valid_ms: float = 100.0  # an older decision is discarded and replaced by a new one
    return_ms: float = 250.0  # longest time a request waits for its caller's next stream
    overlap_ms: float = 50.0  # longest time a request's new stream waits for an attempt in flight
    queue_ms: float = 100.0  # longest time a request waits for the deciding process
    most_requests: int = 20_000
    most_streams: int = 4_000  # open at a time on each connection
    most_headers: int = 256
    most_header_bytes: int = 65_536
    default_class: str = ""
    cookie: str = "sid"
    token_key_file: str = ""  # file with a key of 16 bytes or more; "": a random key at each start
    headers: tuple[tuple[str, str], ...] = ()  # pairs of purpose and header name that replace defaults


@dataclass(frozen=True, slots=True)
class TraceSettings:
    """Section [trace]: records requests so that `quartzford load --trace` can replay them."""

    file: str
    keys: str = "hashed"  # how keys are recorded: hashed, plain or none
    most_mb: float = 256.0  # recording stops at this size


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """Section [subset]: limits the ready upstreams in use, in complete cells. docs/operators/subsets.md"""

    size: int  # number of upstreams in use
    per_zone: int = 0  # minimum number of upstreams from each zone


@dataclass(frozen=True, slots=True)
class ListsSettings:
    """Section [lists]: calls to a list service that the whole fleet polls. docs/operators/coldstart.md"""

    calls_per_s: float = 50.0  # calls that the list service can answer
    snapshot: str = ""  # path of the snapshot file, on a persistent disk
    snapshot_age_s: float = 3_600.0  # an older snapshot is not used
    snapshot_fresh_s: float = 60.0  # upstreams of an older snapshot start in slow start
    relays: tuple[str, ...] = ()  # host:port; polled instead of the configured discovery address


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Section [relay], used by `quartzford relay` only. docs/operators/relay.md"""

    listen: str  # host:port; with port 0, the kernel chooses the port
    source: str  # host:port of the list service
    balancers: int  # number of balancers in the fleet
    relays: int = 1  # number of relays that share the fleet
    list_bytes_per_s: float = 50_000_000.0  # maximum rate at which complete lists are sent
    most_watchers: int = 0  # bound on open watches; 0: derived from `balancers` and `relays`
    source_calls_per_s: float = 50.0  # calls that the source can answer

    def max_watchers(self) -> int:
        """Return the bound on open watches.

        Unless it is configured, it is a relay's share of the fleet while one relay in RELAYS_PER_FAILURE has
        failed, times WATCHER_HEADROOM.
        """
        relays_left = max(1, self.relays - math.ceil(self.relays / RELAYS_PER_FAILURE))
        return self.most_watchers or math.ceil(WATCHER_HEADROOM * self.balancers / relays_left)


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """All sections of the file. config: path of the configuration file, unless EDGE_CONFIG gives it."""

    config: str = ""
    extproc: ExtprocSettings | None = None
    trace: TraceSettings | None = None
    subset: SubsetSettings | None = None
    lists: ListsSettings | None = None
    relay: RelaySettings | None = None


def first_restart_only_change(old: OperatorSettings, new: OperatorSettings) -> str:
    """Return the first key whose change requires a restart instead of a reload; "" if there is none."""
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
