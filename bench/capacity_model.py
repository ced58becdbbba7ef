"""Quantities of the control side at the target's size, worked out from measured slopes. No I/O.

A quantity is a `Basis`: a value or None (not measured), how it follows, and the run that backs it. A row
holds a quantity against its bound. The factor of a row is the quantity over the bound: over 1 it is missing,
under 1 there is so much to spare.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from bench.capacity_inputs import DAY_S, DiscoveryProtocol, Figures, ProgramBounds, Slope, Target

SLOPES_RUN, SCALE_RUN, CALLS_RUN = "bench.slopes", "bench.scale", "bench.callmodel"
ARITHMETIC = "arithmetic"
RESTART_ROWS, FAILURE_ROWS = 3, 2  # of the list: draining, gone, ready; gone, ready
NONE = "none"
EACH_POLLS = "each balancer asks the one list service (`membership/call_policy.py`)"
RELAY = "relay (`docs/relay.md`)"

# Figures of slopes.json that the model uses, by its own names.
MODEL_FIGURES = {
    "list memory": ("balancer", "list: resident memory"),
    "list peak": ("balancer", "list: highest memory while taken in"),
    "list time": ("balancer", "list: time until taken in"),
    "list stall": ("balancer", "list: longest stall of the loop"),
    "row time": ("balancer", "list: one changed row until taken in"),
    "row stall": ("balancer", "list: longest stall by one changed row"),
    "list bytes": ("balancer", "list: bytes of the whole"),
    "rest": ("balancer", "rest: processor time"),
    "change bytes": ("balancer", "bytes of a change"),
    "config bytes": ("balancer", "configuration by tenants: size of the file"),
    "config memory": ("balancer", "configuration by tenants: resident memory"),
    "config time": ("balancer", "configuration by tenants: processor time of a reload"),
    "config stall": ("balancer", "configuration by tenants: stall of the loop by a reload"),
    "request time": ("balancer", "requests: processor time of one in the whole path"),
    "added p99": ("balancer", "requests: added at p99"),
    "source memory": ("list service", "list: resident memory"),
    "source watchers": ("list service", "watchers: resident memory"),
    "source beats": ("list service", "watchers at rest: processor time"),
    "source change": ("list service", "a change told to all watchers: processor time"),
    "source span": ("list service", "a change told to all watchers: until the last has it"),
    "source list": ("list service", "whole list again: processor time"),
    "relay memory": ("relay", "list: resident memory"),
    "relay watchers": ("relay", "watchers: resident memory"),
    "relay beats": ("relay", "watchers at rest: processor time"),
    "relay change": ("relay", "a change told to all watchers: processor time"),
    "relay span": ("relay", "a change told to all watchers: until the last has it"),
    "relay list": ("relay", "whole list again: processor time"),
}


class Basis(NamedTuple):
    """A quantity in the model's units; None: not measured."""

    value: float | None
    derivation: str
    run: str


class Bound(NamedTuple):
    """What a quantity may come to at most, in the same unit, and who says so; None: nobody has given one."""

    value: float | None
    source: str


NO_BOUND = Bound(None, "")
NOT_OURS = Bound(None, "not ours")
UNKNOWN = Basis(None, "", "")


@dataclass(frozen=True)
class Row:
    """One line of a role's table.

    kind: state, messages, processor time, memory, connections or latency. today: what carries it.
    mechanism: of the ranking, that would have to carry it.
    """

    role: str
    kind: str
    what: str
    basis: Basis
    unit: str
    bound: Bound = NO_BOUND
    carried_by: str = "-"
    mechanism: str = ""

    def factor(self) -> float | None:
        """The quantity over its bound."""
        if self.basis.value is None or not self.bound.value:
            return None
        return self.basis.value / self.bound.value


def from_target(value: float, derivation: str) -> Basis:
    """What follows from the target alone."""
    return Basis(float(value), derivation, ARITHMETIC)


class Model:
    """Figures, target and bounds, and what follows from them."""

    def __init__(
        self, figures: Figures, target: Target, protocol: DiscoveryProtocol, program: ProgramBounds
    ) -> None:
        self.figures, self.target, self.protocol, self.program = figures, target, protocol, program

    # ---- quantities

    def measured(self, key: str) -> Basis:
        """A figure of slopes.json at the target's size."""
        slope = self.figures.slope(*MODEL_FIGURES[key])
        if slope is None or slope.target_size is None:
            return Basis(None, "", "")
        return Basis(slope.value(), line(slope), SLOPES_RUN)

    def change_bytes(self, rows: float) -> Basis:
        """Bytes on the wire of one line with so many changed rows."""
        slope = self.figures.slope(*MODEL_FIGURES["change bytes"])
        return Basis(slope.at(rows), line(slope), SLOPES_RUN) if slope else Basis(None, "", "")

    def heartbeat_bytes_per_s(self) -> float:
        """Bytes a second of a watch on which nothing changes."""
        return self.protocol.heartbeat_bytes / self.protocol.heartbeat_s

    def derive(self, derivation: str, work: Callable[[float], float], of: Basis) -> Basis:
        """What follows from a measured figure; not measured where that is missing."""
        return Basis(None if of.value is None else work(of.value), derivation, of.run)

    def requests_per_balancer(self) -> float:
        return self.target.requests_per_s / self.target.balancers

    def rows_per_s(self) -> float:
        """Changed rows of the list a second on an ordinary day, in the mean, were all machines upstreams."""
        target = self.target
        rows = target.failed_per_day * FAILURE_ROWS + target.replaced_per_day * RESTART_ROWS
        return rows / DAY_S

    def balancers_per_relay(self) -> float:
        return self.target.balancers / self.target.control_machines

    def max_watchers(self) -> int:
        """Balancers that one relay takes, with a quarter of the relays lost."""
        relays = self.target.control_machines
        left = max(1, relays - math.ceil(relays / 4))
        return math.ceil(self.program.relay_load_factor * self.target.balancers / left)

    def one_service_working_set(self) -> float:
        """Upstreams that a balancer's working set holds, were all upstreams one service."""
        met = self.requests_per_balancer() * self.program.revisit_s
        return max(self.program.min_working_set, min(float(self.target.upstreams), met))

    def all_services_working_sets(self) -> float:
        """The same with every service's own set: the least of each."""
        each = self.target.upstreams / self.target.services
        return self.target.services * min(each, float(self.program.min_working_set))

    def lists_carried_by(self) -> str:
        """What brings the list to balancers today."""
        return RELAY if self.program.relay else EACH_POLLS


def line(slope: Slope) -> str:
    """A fit in words, in the figure's own unit."""
    fit, kept = slope.fit, "" if slope.error is None else f"; kept-out size {slope.error:+.1%}"
    if fit is None:
        return f"no fit, sizes {', '.join(f'{size:,g}' for size in slope.sizes)}{kept}"
    if fit.kind != "line":
        return f"{fit.kind}, not a line{kept}"
    return (
        f"{fit.intercept:.3g} + {fit.slope:.3g} x {slope.by} {slope.unit} (residual {fit.residual:.2g}{kept})"
    )
