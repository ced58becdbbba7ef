"""Measured figures as the model uses them: slopes, scale runs, runs of the model of calls. No I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from bench.capacity_target import KB, MB
from bench.fit import CONSTANT, LINE, N_LOG_N, POWER

NOT_MEASURED = "not measured"
VIA_SOURCE, VIA_RELAYS = "source", "relays"  # how balancers of a scale run get their lists

# The units that measured figures may have, in those of the model.
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
    """A file of figures is not in the form that the model reads."""


def unit_factor(name: str, figure: str) -> float:
    """What to multiply a value by that is in this unit; InputError, naming the figure, if it is not known."""
    try:
        return UNITS[name]
    except KeyError:
        raise InputError(f"{figure}: unit {name!r} is not known") from None


@dataclass(frozen=True)
class Fit:
    """A line through measured sizes, or another curve; kind: of those in bench.fit."""

    kind: str
    intercept: float
    slope: float
    residual: float
    exponent: float = 1.0  # of a power

    def at(self, size: float) -> float | None:
        """The fitted value at a size; None of a kind that is not known."""
        if self.kind == CONSTANT:
            return self.intercept
        if self.kind == N_LOG_N:
            return self.intercept + self.slope * size * math.log2(size) if size > 0 else self.intercept
        if self.kind in (LINE, POWER):
            return self.intercept + self.slope * math.pow(size, self.exponent)
        return None


@dataclass(frozen=True)
class Slope:
    """One figure of slopes.json, in its own unit. by: what the sizes count, as upstreams."""

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
        """The value at the target's size in the model's units; None if it was not measured."""
        return None if self.target_value is None else self.target_value * unit_factor(self.unit, self.name)

    def at(self, size: float) -> float | None:
        """The value at a size, in model units: as measured, else by the fit; None if neither is there."""
        value = dict(zip(self.sizes, self.values, strict=True)).get(size)
        if value is None and self.fit is not None:
            value = self.fit.at(size)
        return None if value is None else value * unit_factor(self.unit, self.name)


@dataclass(frozen=True)
class ScaleEvent:
    """One event of a scale run; p50_s, p99_s and last_s: times until the change was in force."""

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
    rows: float | None = None  # of the list that was distributed
    with_list: float | None = None  # balancers that the times are of: the others had no list before
    missing: float | None = None  # of these, where it was never in force


@dataclass(frozen=True)
class CallRun:
    """One release in bench.callmodel."""

    service: str  # its behaviour
    balancers: int
    served: int  # balancers that ever had the list
    all_after_s: float  # when the last of them had it
    calls: float  # of each balancer, mean
    busiest_second_calls: float


@dataclass(frozen=True)
class Figures:
    """All measured figures; each lookup returns None for what was not measured."""

    slopes: Mapping[tuple[str, str], Slope] = field(default_factory=dict)
    events: tuple[ScaleEvent, ...] = ()
    calls: tuple[CallRun, ...] = ()

    def slope(self, role: str, name: str) -> Slope | None:
        """A figure of slopes.json."""
        return self.slopes.get((role, name))

    def event(self, event: str, way: str) -> ScaleEvent | None:
        """The event at the largest size that was played; way: VIA_SOURCE or VIA_RELAYS."""
        found = [e for e in self.events if e.event == event and e.way == way]
        return max(found, key=lambda e: e.hollow + e.real) if found else None

    def call(self, service: str, balancers: int) -> CallRun | None:
        """The run of the model of calls with this behaviour of the service and this many balancers."""
        return next((c for c in self.calls if c.service == service and c.balancers == balancers), None)
