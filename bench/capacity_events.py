"""What each event asks of the control side at the target's size. No I/O.

Rates and peaks are arithmetic over the target and measured bytes; times until in force are those of the scale
run's largest size, and say at how many balancers they were taken.
"""

from __future__ import annotations

from typing import NamedTuple

from bench.capacity_inputs import DAY_S, NOT_MEASURED, ScaleEvent
from bench.capacity_model import NONE, Model


class EventRow(NamedTuple):
    """One line of the table by event."""

    event: str
    rate: str
    peak: str
    in_force: str
    requests: str
    carried_by: str


def in_force(model: Model, *events: str) -> str:
    """Times until in force that the scale run took, each asking the source and behind relays."""
    said = []
    for way, words in (("source", "each asks itself"), ("relays", "relays")):
        found = next((e for name in events if (e := model.figures.event(name, way)) is not None), None)
        said.append(f"{words}: {_times(found)}")
    return "; ".join(said)


def _times(event: ScaleEvent | None) -> str:
    if event is None or (event.p99_s is None and event.last_s is None):
        return NOT_MEASURED
    parts = (("p50", event.p50_s), ("p99", event.p99_s), ("last", event.last_s))
    told = ", ".join(f"{name} {value:.2f} s" for name, value in parts if value is not None)
    return f"{told} ({_of(event)})"


def _of(event: ScaleEvent) -> str:
    """The balancers that the times are of, those that they leave out, and the list's size."""
    fleet = event.hollow + event.real
    listed = fleet if event.with_list is None else event.with_list
    parts = [f"{listed:,.0f} balancers"]
    if listed < fleet:
        parts = [f"{listed:,.0f} of {fleet:,} balancers, the others had no list"]
    if event.missing:
        parts.append(f"**never at {event.missing:,.0f} of them**")
    if event.rows is not None:
        parts.append(f"{event.rows:,.0f} rows")
    return ", ".join(parts)


def _notification(model: Model, rows: float, askers: float) -> str:
    """Bytes that so many changed rows are to so many balancers."""
    each = model.change_bytes(rows).value
    if each is None:
        return f"bytes {NOT_MEASURED}"
    return f"{each / 1e3:,.3g} KB to each, {each * askers / 1e6:,.4g} MB to all"


def _configurations(model: Model) -> str:
    """Bytes of a whole configuration to all, and a second if that is to be done in time."""
    size, t = model.measured("config bytes").value, model.target
    if size is None:
        return f"bytes {NOT_MEASURED}"
    total = size * t.balancers
    rate = total / t.change_within_s
    return f"{total / 1e9:,.3g} GB to all, {rate / 1e9:,.3g} GB/s within {t.change_within_s:g} s"


def _held(model: Model) -> str:
    """What a reload does to requests."""
    stall = model.measured("config stall").value
    if stall is None:
        return NOT_MEASURED
    return f"those that come within {stall:.2g} s wait for it (`bench.slopes`, one balancer)"


def _spread_s(model: Model) -> str:
    """How long all whole lists take that relays let out, under their bound."""
    complete = model.measured("list bytes").value
    if complete is None:
        return NOT_MEASURED
    return f"{model.balancers_per_relay() * complete / model.program.relay_list_bytes_per_s:.0f} s"


def _requests_noticed(model: Model, *events: str) -> str:
    for name in events:
        for way in ("relays", "source"):
            event = model.figures.event(name, way)
            if event is not None and event.requests:
                return event.requests
    return NOT_MEASURED


def event_rows(model: Model) -> tuple[EventRow, ...]:
    """The table by event."""
    t, lists = model.target, model.lists_carried_by()
    rows_a_day = model.rows_per_s() * DAY_S
    zone, zone_balancers = t.upstreams / t.zones, t.balancers / t.zones
    remote = t.balancers * (t.regions - 1) / t.regions
    behind, call_s = model.balancers_per_relay(), t.balancers / model.program.calls_per_s
    busiest = [run.busiest_second_calls for run in model.figures.calls if run.balancers == t.balancers]
    calls = f"{min(busiest):,.0f} to {max(busiest):,.0f} calls/s (model)" if busiest else NOT_MEASURED
    return (
        EventRow(
            "ordinary day",
            f"{t.failed_per_day:,.0f} + {t.replaced_per_day:,.0f} machines: {rows_a_day:,.0f} rows, "
            f"{model.rows_per_s():.3g}/s",
            f"a row: {_notification(model, 1, t.balancers)}",
            in_force(model, "one upstream replaced"),
            _requests_noticed(model, "one upstream replaced"),
            lists,
        ),
        EventRow(
            "change of configuration",
            f"{t.changes_per_day:,.0f} a day, {t.changes_per_day / DAY_S:.3g}/s",
            _configurations(model),
            f"{NOT_MEASURED}; wanted: {t.change_within_s:g} s",
            _held(model),
            f"{NONE} to bring it there; SIGHUP and `Node.reconfigure` to take it in",
        ),
        EventRow(
            "rack",
            f"most days: {t.rack_upstreams} upstreams in one instant",
            _notification(model, t.rack_upstreams, t.balancers),
            in_force(model, "rack"),
            _requests_noticed(model, "rack"),
            f"{lists}; ejection until told",
        ),
        EventRow(
            "zone",
            f"once or twice a year: {zone:,.0f} upstreams, {zone_balancers:,.0f} balancers",
            _notification(model, zone, t.balancers - zone_balancers),
            in_force(model, "zone"),
            _requests_noticed(model, "zone"),
            f"{lists}; `membership/list_chunks.py`; ejection until told",
        ),
        EventRow(
            "regions parted",
            f"several times a year, minutes: {remote:,.0f} balancers without the "
            "source, were it in one region",
            f"{remote:,.0f} balancers come back",
            in_force(model, "cut off"),
            "by design: the list as last told is used on; what fails is ejected by each balancer alone",
            f"{NONE} for changes in a parted region; last list kept (`membership/list_watch.py`)",
        ),
        EventRow(
            "source down and back",
            "not in the letter; part 2 of issue 47",
            f"{t.balancers:,} watches end",
            in_force(model, "source down"),
            _requests_noticed(model, "source down"),
            f"{lists}; last list kept",
        ),
        EventRow(
            "all started again",
            f"{t.balancers:,} whole lists",
            f"each asks itself: {calls}; relays: all lists let out in {_spread_s(model)}",
            in_force(model, "all start"),
            "by design: none is taken before a list, `known` or a snapshot is there",
            f"{lists}; `membership/snapshot.py`",
        ),
        EventRow(
            "one control machine lost",
            f"{behind:.0f} balancers move by index",
            f"{behind / (t.control_machines - 1):.0f} more at each other",
            in_force(model, "relay killed"),
            _requests_noticed(model, "relay killed"),
            _relays(model),
        ),
        EventRow(
            "three control machines lost",
            f"{3 * behind:,.0f} balancers move by index",
            f"{3 * behind / (t.control_machines - 3):.0f} more at each other",
            in_force(model, "three relays killed"),
            _requests_noticed(model, "three relays killed"),
            _relays(model),
        ),
        EventRow(
            "all control machines lost",
            f"{t.balancers:,} balancers ask the source",
            f"one call of each at {model.program.calls_per_s:g}/s: {call_s:.0f} s",
            in_force(model, "all relays killed"),
            "by design: the list as last told is used on",
            "the fleet's bounded rate (`membership/call_policy.py`)",
        ),
        EventRow(
            "bad configuration, can't be used",
            "each process that is told to read it",
            "-",
            "by design: never, the one in force stays",
            "by design: nothing (`Node.reconfigure` is not reached)",
            "`settings/configuration.py`",
        ),
        EventRow(
            "bad configuration, can be used",
            f"{t.balancers:,} balancers, as fast as operators are",
            "-",
            NOT_MEASURED,
            "by design: what it says, at every balancer",
            f"{NONE}: no stage, no way back",
        ),
    )


def _relays(model: Model) -> str:
    return model.lists_carried_by() if model.program.relay else f"{NONE}: no relays yet"
