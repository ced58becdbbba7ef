"""Rows of one relay, which runs on each of the control machines. No I/O."""

from __future__ import annotations

from functools import partial

from bench.capacity_figures import VIA_RELAYS
from bench.capacity_model import NONE, RELAY, SCALE_RUN, MeasuredFigure, Model
from bench.capacity_rows import NO_BOUND, ONE_CORE, Basis, Bound, Row, RowKind, Unit, from_target

ISSUE = "issue 47, part 4"
MEMORY_BOUND = Bound(512e6, ISSUE)
IN_FORCE_P99, IN_FORCE_LAST = Bound(2.0, ISSUE), Bound(5.75, ISSUE)
LIST_TIME_NOT_GIVEN = Bound(None, "not given for this size")

_row = partial(Row, "relay (each of the control machines)")


def relay(model: Model) -> tuple[Row, ...]:
    """One of the control machines."""
    return (
        *_distribution(model),
        *_change_costs(model),
        *_list_costs(model),
        *_memory(model),
        _watchers(model),
        *_in_force(model),
    )


def carried_by_relays(model: Model) -> str:
    """What is there today for a relay's work."""
    return RELAY if model.program.relay else NONE


def _distribution(model: Model) -> tuple[Row, ...]:
    """The complete list, and bytes and time to send lists and changes to all balancers behind a relay."""
    rate, carried_by = model.program.relay_list_bytes_per_s, carried_by_relays(model)
    balancers, changes = model.balancers_per_relay(), model.rows_per_s()
    heartbeats = model.heartbeat_bytes_per_s()
    size = model.measured(MeasuredFigure.LIST_BYTES)
    mean = model.derive(
        f"{balancers:.4g} x ({heartbeats:.3g} B/s + {changes:.3g} rows/s x bytes of a change)",
        lambda change: balancers * (heartbeats + changes * change),
        model.change_bytes(1.0),
    )
    all_lists = model.derive(
        f"{balancers:.4g} x bytes of a whole list / {rate / 1e6:g} MB/s",
        lambda size: balancers * size / rate,
        size,
    )
    beats = "beats and changed rows to all behind it, mean"
    lists = "whole lists to all behind it"
    return (
        _row(RowKind.STATE, "the whole list, encoded once", size, Unit.BYTES, carried_by=carried_by),
        _row(RowKind.MESSAGES, beats, mean, Unit.BYTES_PER_S, carried_by=carried_by),
        _row(RowKind.MESSAGES, lists, all_lists, Unit.SECONDS, LIST_TIME_NOT_GIVEN, carried_by),
    )


def _change_costs(model: Model) -> tuple[Row, ...]:
    """A changed row sent to the most watchers that a relay accepts."""
    what = f"a changed row told to {model.max_watchers():,} watchers"
    span = model.measured(MeasuredFigure.RELAY_CHANGE_SPAN)
    time = model.measured(MeasuredFigure.RELAY_CHANGE_TIME)
    carried_by = carried_by_relays(model)
    return (
        _row(RowKind.MESSAGES, what, span, Unit.SECONDS, NO_BOUND, carried_by),
        _row(RowKind.PROCESSOR_TIME, what, time, Unit.SECONDS, NO_BOUND, carried_by),
    )


def _list_costs(model: Model) -> tuple[Row, ...]:
    """Processor time for heartbeats to the most watchers, and for one complete list."""
    what = f"beats to {model.max_watchers():,} watchers"
    heartbeats = model.measured(MeasuredFigure.RELAY_HEARTBEATS)
    complete_list = model.measured(MeasuredFigure.RELAY_LIST_TIME)
    carried_by = carried_by_relays(model)
    row = partial(_row, RowKind.PROCESSOR_TIME)
    return (
        row(what, heartbeats, Unit.CORES, ONE_CORE, carried_by),
        row("a whole list let out", complete_list, Unit.SECONDS, NO_BOUND, carried_by),
    )


def _memory(model: Model) -> tuple[Row, ...]:
    resident = model.measured(MeasuredFigure.RELAY_MEMORY)
    watchers = model.measured(MeasuredFigure.RELAY_WATCHERS_MEMORY)
    carried_by = carried_by_relays(model)
    row = partial(_row, RowKind.MEMORY)
    return (
        row("with the whole list", resident, Unit.BYTES, MEMORY_BOUND, carried_by),
        row(f"with {model.max_watchers():,} watchers", watchers, Unit.BYTES, MEMORY_BOUND, carried_by),
    )


def _watchers(model: Model) -> Row:
    return _row(
        RowKind.CONNECTIONS,
        "balancers, mean",
        from_target(model.balancers_per_relay(), "balancers / relays"),
        Unit.NUMBER,
        Bound(float(model.max_watchers()), "most watchers, bounded load"),
        carried_by_relays(model),
    )


def _in_force(model: Model) -> tuple[Row, ...]:
    """Times until a change sent through relays was in force, in the scale run."""
    event = model.figures.event("one upstream replaced", VIA_RELAYS)
    derivation = f"{event.hollow:,} hollow, {event.real} real balancers" if event else ""
    run = SCALE_RUN if event else ""
    p99, last = (event.p99_s, event.last_s) if event else (None, None)
    carried_by = carried_by_relays(model)
    row = partial(_row, RowKind.MESSAGES)
    return (
        row("a change in force, p99", Basis(p99, derivation, run), Unit.SECONDS, IN_FORCE_P99, carried_by),
        row("a change in force, last", Basis(last, derivation, run), Unit.SECONDS, IN_FORCE_LAST, carried_by),
    )
