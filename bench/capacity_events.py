"""What each event costs the control side at the target's size. No I/O.

Rates and peaks are arithmetic over the target and measured bytes; times until in force are those of the scale
run's largest size, and state the number of balancers that they were taken at.
"""

from __future__ import annotations

from typing import NamedTuple

from bench.capacity_figures import NOT_MEASURED, VIA_RELAYS, VIA_SOURCE, ScaleEvent
from bench.capacity_model import NONE, MeasuredFigure, Model
from bench.capacity_target import DAY_S

LAST_LIST_USED = "by design: the list as last told is used on"


class EventRow(NamedTuple):
    """One line of the table by event, as text."""

    event: str
    rate: str
    peak: str
    in_force: str
    requests: str
    carried_by: str


def event_rows(model: Model) -> tuple[EventRow, ...]:
    """The table by event."""
    return (
        _ordinary_day(model),
        _configuration_change(model),
        _rack_lost(model),
        _zone_lost(model),
        _regions_partitioned(model),
        _source_down(model),
        _all_started(model),
        _relays_lost(model, 1, "one control machine lost", "relay killed"),
        _relays_lost(model, 3, "three control machines lost", "three relays killed"),
        _all_relays_lost(model),
        _unusable_configuration(),
        _usable_bad_configuration(model),
    )


# ---- cells


def in_force(model: Model, event: str) -> str:
    """Times until in force that the scale run took, for balancers polling the source and behind relays."""
    ways = ((VIA_SOURCE, "each asks itself"), (VIA_RELAYS, "relays"))
    return "; ".join(f"{label}: {_times(model.figures.event(event, way))}" for way, label in ways)


def _times(event: ScaleEvent | None) -> str:
    if event is None or (event.p99_s is None and event.last_s is None):
        return NOT_MEASURED
    quantiles = (("p50", event.p50_s), ("p99", event.p99_s), ("last", event.last_s))
    times = ", ".join(f"{name} {value:.2f} s" for name, value in quantiles if value is not None)
    return f"{times} ({_population(event)})"


def _population(event: ScaleEvent) -> str:
    """The balancers that the times are of, those that they leave out, and the list's size."""
    fleet = event.hollow + event.real
    with_list = fleet if event.with_list is None else event.with_list
    parts = [f"{with_list:,.0f} balancers"]
    if with_list < fleet:
        parts = [f"{with_list:,.0f} of {fleet:,} balancers, the others had no list"]
    if event.missing:
        parts.append(f"**never at {event.missing:,.0f} of them**")
    if event.rows is not None:
        parts.append(f"{event.rows:,.0f} rows")
    return ", ".join(parts)


def _change_bytes(model: Model, rows: float, balancers: float) -> str:
    """Bytes of a line with this number of changed rows, to each of the balancers and to all."""
    size = model.change_bytes(rows).value
    if size is None:
        return f"bytes {NOT_MEASURED}"
    return f"{size / 1e3:,.3g} KB to each, {size * balancers / 1e6:,.4g} MB to all"


def _requests_noticed(model: Model, event: str) -> str:
    """What requests noticed in the scale run, behind relays if that was played."""
    for way in (VIA_RELAYS, VIA_SOURCE):
        found = model.figures.event(event, way)
        if found is not None and found.requests:
            return found.requests
    return NOT_MEASURED


# ---- changes of the list


def _ordinary_day(model: Model) -> EventRow:
    target, rows_per_s = model.target, model.rows_per_s()
    machines = f"{target.failed_per_day:,.0f} + {target.replaced_per_day:,.0f} machines"
    return EventRow(
        "ordinary day",
        f"{machines}: {rows_per_s * DAY_S:,.0f} rows, {rows_per_s:.3g}/s",
        f"a row: {_change_bytes(model, 1, target.balancers)}",
        in_force(model, "one upstream replaced"),
        _requests_noticed(model, "one upstream replaced"),
        model.lists_carried_by(),
    )


def _rack_lost(model: Model) -> EventRow:
    target = model.target
    return EventRow(
        "rack",
        f"most days: {target.rack_upstreams} upstreams in one instant",
        _change_bytes(model, target.rack_upstreams, target.balancers),
        in_force(model, "rack"),
        _requests_noticed(model, "rack"),
        f"{model.lists_carried_by()}; ejection until told",
    )


def _zone_lost(model: Model) -> EventRow:
    target = model.target
    upstreams, balancers = target.upstreams / target.zones, target.balancers / target.zones
    return EventRow(
        "zone",
        f"once or twice a year: {upstreams:,.0f} upstreams, {balancers:,.0f} balancers",
        _change_bytes(model, upstreams, target.balancers - balancers),
        in_force(model, "zone"),
        _requests_noticed(model, "zone"),
        f"{model.lists_carried_by()}; `membership/list_chunks.py`; ejection until told",
    )


# ---- faults of the network, of the source and of all balancers


def _regions_partitioned(model: Model) -> EventRow:
    target = model.target
    remote = target.balancers * (target.regions - 1) / target.regions
    return EventRow(
        "regions parted",
        f"several times a year, minutes: {remote:,.0f} balancers without the source, were it in one region",
        f"{remote:,.0f} balancers come back",
        in_force(model, "cut off"),
        f"{LAST_LIST_USED}; what fails is ejected by each balancer alone",
        f"{NONE} for changes in a parted region; last list kept (`membership/list_watch.py`)",
    )


def _source_down(model: Model) -> EventRow:
    return EventRow(
        "source down and back",
        "not in the letter; part 2 of issue 47",
        f"{model.target.balancers:,} watches end",
        in_force(model, "source down"),
        _requests_noticed(model, "source down"),
        f"{model.lists_carried_by()}; last list kept",
    )


def _all_started(model: Model) -> EventRow:
    balancers = model.target.balancers
    busiest = [run.busiest_second_calls for run in model.figures.calls if run.balancers == balancers]
    calls = f"{min(busiest):,.0f} to {max(busiest):,.0f} calls/s (model)" if busiest else NOT_MEASURED
    return EventRow(
        "all started again",
        f"{balancers:,} whole lists",
        f"each asks itself: {calls}; relays: all lists let out in {_relay_lists_time(model)}",
        in_force(model, "all start"),
        "by design: none is taken before a list, `known` or a snapshot is there",
        f"{model.lists_carried_by()}; `membership/snapshot.py`",
    )


def _relay_lists_time(model: Model) -> str:
    """How long a relay takes to send complete lists to all its balancers, under its bound on their rate."""
    size = model.measured(MeasuredFigure.LIST_BYTES).value
    if size is None:
        return NOT_MEASURED
    return f"{model.balancers_per_relay() * size / model.program.relay_list_bytes_per_s:.0f} s"


# ---- relays lost


def _relays_lost(model: Model, lost: int, name: str, event: str) -> EventRow:
    """Some of the relays lost. name: of the row; event: of the scale run."""
    moved, left = lost * model.balancers_per_relay(), model.target.control_machines - lost
    return EventRow(
        name,
        f"{moved:,.0f} balancers move by index",
        f"{moved / left:.0f} more at each other",
        in_force(model, event),
        _requests_noticed(model, event),
        model.lists_carried_by() if model.program.relay else f"{NONE}: no relays yet",
    )


def _all_relays_lost(model: Model) -> EventRow:
    balancers, calls_per_s = model.target.balancers, model.program.calls_per_s
    return EventRow(
        "all control machines lost",
        f"{balancers:,} balancers ask the source",
        f"one call of each at {calls_per_s:g}/s: {balancers / calls_per_s:.0f} s",
        in_force(model, "all relays killed"),
        LAST_LIST_USED,
        "the fleet's bounded rate (`membership/call_policy.py`)",
    )


# ---- the configuration


def _configuration_change(model: Model) -> EventRow:
    target = model.target
    return EventRow(
        "change of configuration",
        f"{target.changes_per_day:,.0f} a day, {target.changes_per_day / DAY_S:.3g}/s",
        _configuration_bytes(model),
        f"{NOT_MEASURED}; wanted: {target.change_within_s:g} s",
        _reload_stall(model),
        f"{NONE} to bring it there; SIGHUP and `Node.reconfigure` to take it in",
    )


def _configuration_bytes(model: Model) -> str:
    """Bytes of a complete configuration to all balancers, and a second if all are to have it in time."""
    size, target = model.measured(MeasuredFigure.CONFIGURATION_BYTES).value, model.target
    if size is None:
        return f"bytes {NOT_MEASURED}"
    total = size * target.balancers
    rate = total / target.change_within_s
    return f"{total / 1e9:,.3g} GB to all, {rate / 1e9:,.3g} GB/s within {target.change_within_s:g} s"


def _reload_stall(model: Model) -> str:
    """What a reload does to requests."""
    stall = model.measured(MeasuredFigure.CONFIGURATION_STALL).value
    if stall is None:
        return NOT_MEASURED
    return f"those that come within {stall:.2g} s wait for it (`bench.slopes`, one balancer)"


def _unusable_configuration() -> EventRow:
    return EventRow(
        "bad configuration, can't be used",
        "each process that is told to read it",
        "-",
        "by design: never, the one in force stays",
        "by design: nothing (`Node.reconfigure` is not reached)",
        "`settings/configuration.py`",
    )


def _usable_bad_configuration(model: Model) -> EventRow:
    return EventRow(
        "bad configuration, can be used",
        f"{model.target.balancers:,} balancers, as fast as operators are",
        "-",
        NOT_MEASURED,
        "by design: what it says, at every balancer",
        f"{NONE}: no stage, no way back",
    )
