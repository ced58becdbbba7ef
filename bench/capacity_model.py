"""Quantities of the control side at the target's size, derived from measured slopes. No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from bench.capacity_figures import Figures, Slope
from bench.capacity_rows import UNKNOWN, Basis
from bench.capacity_target import DAY_S, DiscoveryProtocol, ProgramBounds, Target
from bench.fit import LINE

SLOPES_RUN, SCALE_RUN, CALLS_RUN = "bench.slopes", "bench.scale", "bench.callmodel"
RESTART_ROWS, FAILURE_ROWS = 3, 2  # of the list: draining, gone, ready; gone, ready
NONE = "none"
EACH_POLLS = "each balancer asks the one list service (`membership/call_policy.py`)"
RELAY = "relay (`docs/relay.md`)"


class FigureName(NamedTuple):
    """The role and the name of a figure in slopes.json."""

    role: str
    name: str


class MeasuredFigure(Enum):
    """The figures of slopes.json that the model uses."""

    LIST_MEMORY = FigureName("balancer", "list: resident memory")
    LIST_PEAK_MEMORY = FigureName("balancer", "list: highest memory while taken in")
    LIST_TIME = FigureName("balancer", "list: time until taken in")
    LIST_STALL = FigureName("balancer", "list: longest stall of the loop")
    ROW_TIME = FigureName("balancer", "list: one changed row until taken in")
    ROW_STALL = FigureName("balancer", "list: longest stall by one changed row")
    LIST_BYTES = FigureName("balancer", "list: bytes of the whole")
    IDLE_TIME = FigureName("balancer", "rest: processor time")
    CHANGE_BYTES = FigureName("balancer", "bytes of a change")
    CONFIGURATION_BYTES = FigureName("balancer", "configuration by tenants: size of the file")
    CONFIGURATION_MEMORY = FigureName("balancer", "configuration by tenants: resident memory")
    CONFIGURATION_TIME = FigureName("balancer", "configuration by tenants: processor time of a reload")
    CONFIGURATION_STALL = FigureName("balancer", "configuration by tenants: stall of the loop by a reload")
    REQUEST_TIME = FigureName("balancer", "requests: processor time of one in the whole path")
    ADDED_P99 = FigureName("balancer", "requests: added at p99")
    SOURCE_MEMORY = FigureName("list service", "list: resident memory")
    SOURCE_WATCHERS_MEMORY = FigureName("list service", "watchers: resident memory")
    SOURCE_HEARTBEATS = FigureName("list service", "watchers at rest: processor time")
    SOURCE_CHANGE_TIME = FigureName("list service", "a change told to all watchers: processor time")
    SOURCE_CHANGE_SPAN = FigureName("list service", "a change told to all watchers: until the last has it")
    SOURCE_LIST_TIME = FigureName("list service", "whole list again: processor time")
    RELAY_MEMORY = FigureName("relay", "list: resident memory")
    RELAY_WATCHERS_MEMORY = FigureName("relay", "watchers: resident memory")
    RELAY_HEARTBEATS = FigureName("relay", "watchers at rest: processor time")
    RELAY_CHANGE_TIME = FigureName("relay", "a change told to all watchers: processor time")
    RELAY_CHANGE_SPAN = FigureName("relay", "a change told to all watchers: until the last has it")
    RELAY_LIST_TIME = FigureName("relay", "whole list again: processor time")


class Model:
    """Measured figures, the target and the program's bounds, and the quantities that follow from them."""

    def __init__(
        self, figures: Figures, target: Target, protocol: DiscoveryProtocol, program: ProgramBounds
    ) -> None:
        self.figures = figures
        self.target = target
        self.protocol = protocol
        self.program = program

    # ---- measured figures

    def measured(self, figure: MeasuredFigure) -> Basis:
        """A figure of slopes.json at the target's size."""
        slope = self.figures.slope(*figure.value)
        if slope is None or slope.target_size is None:
            return UNKNOWN
        return Basis(slope.value(), describe_fit(slope), SLOPES_RUN)

    def change_bytes(self, rows: float) -> Basis:
        """Bytes on the wire of one line with this number of changed rows."""
        slope = self.figures.slope(*MeasuredFigure.CHANGE_BYTES.value)
        return Basis(slope.at(rows), describe_fit(slope), SLOPES_RUN) if slope else UNKNOWN

    def derive(self, derivation: str, function: Callable[[float], float], basis: Basis) -> Basis:
        """A function of a measured figure; not measured where that figure is not."""
        value = None if basis.value is None else function(basis.value)
        return Basis(value, derivation, basis.run)

    # ---- quantities of the target

    def heartbeat_bytes_per_s(self) -> float:
        """Bytes a second of a watch on which nothing changes."""
        return self.protocol.heartbeat_bytes / self.protocol.heartbeat_s

    def requests_per_balancer(self) -> float:
        """Requests a second at each balancer at the peak, evenly spread."""
        return self.target.requests_per_s / self.target.balancers

    def rows_per_s(self) -> float:
        """Changed rows of the list a second, mean of an ordinary day, if all machines are upstreams."""
        target = self.target
        rows = target.failed_per_day * FAILURE_ROWS + target.replaced_per_day * RESTART_ROWS
        return rows / DAY_S

    def balancers_per_relay(self) -> float:
        """Balancers behind each relay, in the mean."""
        return self.target.balancers / self.target.control_machines

    def max_watchers(self) -> int:
        """The most balancers that one relay accepts, with a quarter of the relays lost."""
        relays = self.target.control_machines
        left = max(1, relays - math.ceil(relays / 4))
        return math.ceil(self.program.relay_load_factor * self.target.balancers / left)

    def one_service_working_set(self) -> float:
        """Upstreams in a balancer's working set if all upstreams are one service."""
        used = self.requests_per_balancer() * self.program.revisit_s
        return max(self.program.min_working_set, min(float(self.target.upstreams), used))

    def all_services_working_sets(self) -> float:
        """Upstreams in all working sets of a balancer if each service has its own, of the least size."""
        per_service = self.target.upstreams / self.target.services
        return self.target.services * min(per_service, float(self.program.min_working_set))

    def lists_carried_by(self) -> str:
        """What distributes the list to balancers in today's program."""
        return RELAY if self.program.relay else EACH_POLLS


def describe_fit(slope: Slope) -> str:
    """A fit in words, in the figure's own unit."""
    fit, kept = slope.fit, "" if slope.error is None else f"; kept-out size {slope.error:+.1%}"
    if fit is None:
        return f"no fit, sizes {', '.join(f'{size:,g}' for size in slope.sizes)}{kept}"
    if fit.kind != LINE:
        return f"{fit.kind}, not a line{kept}"
    return (
        f"{fit.intercept:.3g} + {fit.slope:.3g} x {slope.by} {slope.unit} (residual {fit.residual:.2g}{kept})"
    )
