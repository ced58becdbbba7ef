"""What the capacity model starts from: the target, the program's own bounds, measured figures. No I/O.

Sizes are in bytes, times in seconds, rates a second, shares of a core as numbers (0.016 is 1.6%). KB and MB
are 10^3 and 10^6 bytes, which is the stricter reading of the operators' letter.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any

OPERATORS_LETTER = "the operators' letter"
DAY_S = 86_400.0
KB, MB = 1e3, 1e6
LINE_ERROR = 0.20  # of a foretold size, past which a line is not taken for one
NOT_MEASURED = "not measured"
VIA_SOURCE, VIA_RELAYS = "source", "relays"  # how balancers of a scale run get their lists

# Units that measured figures may have, in those of the model.
UNITS = {
    "B": 1.0,
    "bytes": 1.0,
    "KB": KB,
    "kB": KB,
    "MB": MB,
    "KiB": 1024.0,
    "MiB": 1024.0**2,
    "s": 1.0,
    "ms": 1e-3,
    "us": 1e-6,
    "cores": 1.0,
    "core": 1.0,
    "%": 0.01,
    "calls": 1.0,
    "1/s": 1.0,
    "B/s": 1.0,
    "bytes/s": 1.0,
    "KB/s": KB,
    "MB/s": MB,
    "s/s": 1.0,
    "ms/s": 1e-3,
    "us/s": 1e-6,
}


class InputError(ValueError):
    """A file of figures that is not in the form that the model reads."""


@dataclass(frozen=True)
class Target:
    """The size that has to be carried in about two years. Source of each figure: the operators' letter."""

    balancers: int = 4_600
    upstreams: int = 63_000
    services: int = 2_700
    requests_per_s: float = 550_000.0
    routes: int = 60_000
    tenants: int = 180_000
    added_latency_s: float = 1.7e-3  # to 99 in 100 requests
    slow_request_share: float = 0.01  # of the requests may be given more
    regions: int = 6
    zones: int = 15  # in all regions together
    changes_per_day: float = 2_700.0  # of the configuration
    change_within_s: float = 19.0
    control_cores: float = 0.016  # of a core, that a balancer spends on control
    control_bytes: float = 256 * MB
    control_bytes_per_s: float = 15 * KB
    control_machines: int = 11
    failed_per_day: float = 210.0
    replaced_per_day: float = 6_900.0
    rack_upstreams: int = 40  # upstreams that go in one instant (issue 47, part 2)


@dataclass(frozen=True)
class DiscoveryProtocol:
    """What the platform's protocol sets (PROTOCOL, section Discovery)."""

    notified_s: float = 6.0  # what discovery has counts as told so much later
    heartbeat_s: float = 2.0
    heartbeat_bytes: float = 6.0  # an empty line as a chunk: "1\r\n\n\r\n"


@dataclass(frozen=True)
class ProgramBounds:
    """Bounds that the program's code has today; the command reads them out of its modules."""

    calls_per_s: float  # of a list service, taken for granted
    spread_s: float  # within which all first calls of a start are made at the latest
    small_fleet: int  # so many balancers may call at once
    line_bytes: float  # of the longest line of a list that is read
    revisit_s: float  # a server in use is met about this often
    min_working_set: int  # servers that are in use at the least
    log_lines_per_s: float
    relay: bool  # whether there are relays
    relay_list_bytes_per_s: float = 50 * MB  # [relay] whole_bytes_per_s as it is unless set
    relay_load_factor: float = 1.25  # bounded load: of the mean, with a quarter of the relays lost

    def notified_in_time(self) -> int:
        """Balancers whose first calls one list service answers within the spread."""
        return int(self.small_fleet + self.spread_s * self.calls_per_s)


@dataclass(frozen=True)
class Fit:
    """A line through measured sizes, or the curve that it is."""

    kind: str
    intercept: float
    slope: float
    residual: float
    exponent: float = 1.0  # of a power

    def at(self, size: float) -> float | None:
        """The fitted value; None of a curve that is not known here."""
        if self.kind == "constant":
            return self.intercept
        if self.kind == "n log n":
            return self.intercept + self.slope * size * math.log2(size) if size > 0 else self.intercept
        if self.kind in ("line", "power"):
            return self.intercept + self.slope * math.pow(size, self.exponent)
        return None


@dataclass(frozen=True)
class Slope:
    """One figure of slopes.json, in its own unit."""

    role: str
    name: str
    unit: str
    by: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    fit: Fit | None
    error: float | None  # of the size kept out of the fit
    target_size: float | None
    target_value: float | None

    def value(self) -> float | None:
        """At the target, in the model's units."""
        return None if self.target_value is None else self.target_value * unit(self.unit, self.name)

    def at(self, size: float) -> float | None:
        """At a size, in the model's units: as measured there, else by the fit; None where neither is."""
        value = dict(zip(self.sizes, self.values, strict=True)).get(size)
        if value is None and self.fit is not None:
            value = self.fit.at(size)
        return None if value is None else value * unit(self.unit, self.name)


@dataclass(frozen=True)
class ScaleEvent:
    """One event of a scale run; times until the change was in force."""

    event: str
    way: str  # VIA_SOURCE: each balancer polls the list service; VIA_RELAYS
    hollow: int
    real: int
    p50_s: float | None
    p99_s: float | None
    last_s: float | None
    source_calls: float | None
    bytes_out: float | None  # of all that balancers received
    requests: str = ""  # what the real balancers' requests noticed
    rows: float | None = None  # of the list
    with_list: float | None = None  # balancers that the times are of: the others had no list before
    missing: float | None = None  # of these, where it was never in force


@dataclass(frozen=True)
class CallRun:
    """One release in bench.callmodel."""

    service: str
    balancers: int
    served: int
    all_after_s: float
    calls: float
    busiest_second_calls: float


@dataclass(frozen=True)
class Figures:
    """All that was measured; what is not there is None wherever it is asked for."""

    slopes: Mapping[tuple[str, str], Slope] = field(default_factory=dict)
    events: tuple[ScaleEvent, ...] = ()
    calls: tuple[CallRun, ...] = ()

    def slope(self, role: str, name: str) -> Slope | None:
        return self.slopes.get((role, name))

    def event(self, event: str, way: str) -> ScaleEvent | None:
        """The event at the largest size at which it was played that way."""
        found = [e for e in self.events if e.event == event and e.way == way]
        return max(found, key=lambda e: e.hollow + e.real) if found else None

    def call(self, service: str, balancers: int) -> CallRun | None:
        return next((c for c in self.calls if c.service == service and c.balancers == balancers), None)


def unit(name: str, figure: str) -> float:
    try:
        return UNITS[name]
    except KeyError:
        raise InputError(f"{figure}: unit {name!r} is not known") from None


def _optional(value: Any, where: str) -> float | None:
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise InputError(f"{where}: {value!r} is not a number")
    return float(value)


def _number(value: Any, where: str) -> float:
    number = _optional(value, where)
    if number is None:
        raise InputError(f"{where}: missing")
    return number


def read_slopes(table: Any) -> dict[tuple[str, str], Slope]:
    """The figures of slopes.json by role and name."""
    try:
        slopes = [_slope(row) for row in table["figures"]]
    except (KeyError, TypeError, AttributeError) as error:
        raise InputError(f"slopes: {type(error).__name__}: {error}") from None
    for slope in slopes:
        unit(slope.unit, slope.name)
        if len(slope.sizes) != len(slope.values):
            raise InputError(f"{slope.name}: {len(slope.sizes)} sizes, {len(slope.values)} values")
    found = {(slope.role, slope.name): slope for slope in slopes}
    if len(found) < len(slopes):
        raise InputError("slopes: a figure is there twice")
    return found


def _part(table: dict[str, Any], figure: str, key: str) -> float:
    """One number of a fit; not a number where the fit has none."""
    value = _optional(table.get(key), f"{figure}: {key}")
    return math.nan if value is None else value


def _slope(row: dict[str, Any]) -> Slope:
    name, raw, kept, target = row["name"], row.get("fit"), row.get("kept_out"), row.get("at_target")
    fit = None
    if raw:
        part = partial(_part, raw, str(name))
        fit = Fit(
            str(raw["kind"]),
            part("intercept"),
            part("slope"),
            part("residual"),
            _optional(raw.get("exponent"), str(name)) or 1.0,
        )
    return Slope(
        role=str(row["role"]),
        name=str(name),
        unit=str(row["unit"]),
        by=str(row["by"]),
        sizes=tuple(_number(size, f"{name}: size") for size in row["sizes"]),
        values=tuple(_number(value, f"{name}: value") for value in row["values"]),
        fit=fit,
        error=_optional(kept.get("error"), f"{name}: error") if kept else None,
        target_size=_optional(target.get("size"), f"{name}: size") if target else None,
        target_value=_optional(target.get("value"), f"{name}: value") if target else None,
    )


def read_calls(table: Any) -> tuple[CallRun, ...]:
    """The rows of capacity_calls.json."""
    try:
        return tuple(
            CallRun(
                str(row["service"]),
                int(row["balancers"]),
                int(row["served"]),
                _number(row["all_after_s"], "all_after_s"),
                _number(row["calls"], "calls"),
                _number(row["most_1s"], "most_1s"),
            )
            for row in table["rows"]
        )
    except (KeyError, TypeError) as error:
        raise InputError(f"calls: {type(error).__name__}: {error}") from None


def read_scale(table: Any) -> tuple[ScaleEvent, ...]:
    """The events of scale.json: {"events": [{"event", "way", "hollow", "real", ...}]}.

    way is "source" or "relays"; p50_s, p99_s, last_s, source_calls, bytes_out, rows, with_list, missing and
    requests (a text) may be left out or null where they were not measured.
    """
    try:
        return tuple(_event(row) for row in table["events"])
    except (KeyError, TypeError, AttributeError) as error:
        raise InputError(f"scale: {type(error).__name__}: {error}") from None


def _event(row: dict[str, Any]) -> ScaleEvent:
    part = partial(_measured, row)
    return ScaleEvent(
        event=str(row["event"]),
        way=str(row["way"]),
        hollow=int(row["hollow"]),
        real=int(row["real"]),
        p50_s=part("p50_s"),
        p99_s=part("p99_s"),
        last_s=part("last_s"),
        source_calls=part("source_calls"),
        bytes_out=part("bytes_out"),
        requests=str(row.get("requests", "")),
        rows=part("rows"),
        with_list=part("with_list"),
        missing=part("missing"),
    )


def _measured(row: dict[str, Any], key: str) -> float | None:
    return _optional(row.get(key), key)
