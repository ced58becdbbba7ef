"""Rows of a balancer: its list, its configuration, and the path of requests. No I/O."""

from __future__ import annotations

from functools import partial

from bench.capacity_mechanisms import (
    CONFIGURATION,
    LIST_DISTRIBUTION,
    LONG_LISTS,
    REQUEST_PATH,
    UPSTREAM_CONNECTIONS,
    find_mechanism,
)
from bench.capacity_model import NONE, MeasuredFigure, Model
from bench.capacity_rows import ONE_CORE, Basis, Bound, Row, RowKind, Unit, from_target
from bench.capacity_target import DAY_S, OPERATORS_LETTER

SOCKETS = Bound(None, "`limits.sockets`, as set")
LIST_CHUNKS = "`membership/list_chunks.py`"
WHOLE_CONFIGURATION = "whole configuration at each change, mean"

_row = partial(Row, "balancer")


def balancer(model: Model) -> tuple[Row, ...]:
    """A balancer's control side, and what the path of requests costs it."""
    return (
        *_list_distribution(model),
        *_list_processor_time(model),
        *_list_memory(model),
        *_list_latency(model),
        *_configuration_distribution(model),
        *_configuration_costs(model),
        *_request_costs(model),
        *_connections(model),
    )


def _list_distribution(model: Model) -> tuple[Row, ...]:
    """Size of the complete list, and bytes that a balancer receives for it."""
    target, changes = model.target, model.rows_per_s()
    heartbeats = model.heartbeat_bytes_per_s()
    longest_line = Bound(
        model.program.line_bytes, "longest line that is read (`membership/line_splitter.py`)"
    )
    budget = Bound(target.control_bytes_per_s, OPERATORS_LETTER)
    size = model.measured(MeasuredFigure.LIST_BYTES)
    mean = model.derive(
        f"{heartbeats:.3g} B/s of beats + {changes:.3g} rows/s x bytes of a change",
        lambda change: heartbeats + changes * change,
        model.change_bytes(1.0),
    )
    at_budget = model.derive(
        "bytes of a whole list / 15 KB/s", lambda size: size / target.control_bytes_per_s, size
    )
    lists, reader = model.lists_carried_by(), find_mechanism(LONG_LISTS).carried_by
    rows = f"whole list, {target.upstreams:,} rows"
    beats = "beats and changed rows, mean"
    return (
        _row(RowKind.STATE, rows, size, Unit.BYTES, longest_line, reader, LONG_LISTS),
        _row(RowKind.MESSAGES, beats, mean, Unit.BYTES_PER_S, budget, lists, LIST_DISTRIBUTION),
        _row(
            RowKind.MESSAGES, "a whole list at the budget's rate", at_budget, Unit.SECONDS, carried_by=lists
        ),
    )


def _list_processor_time(model: Model) -> tuple[Row, ...]:
    changes = model.rows_per_s()
    budget = Bound(model.target.control_cores, OPERATORS_LETTER)
    idle = model.measured(MeasuredFigure.IDLE_TIME)
    changed = model.derive(
        f"{changes:.3g} rows/s x time of a row",
        lambda seconds: changes * seconds,
        model.measured(MeasuredFigure.ROW_TIME),
    )
    row = partial(_row, RowKind.PROCESSOR_TIME)
    return (
        row("at rest, with the whole list", idle, Unit.CORES, budget, "`engine/`, `decision/`", LONG_LISTS),
        row("changed rows, mean (wall time of one)", changed, Unit.CORES, budget, LIST_CHUNKS, LONG_LISTS),
        row(
            "a whole list taken in (wall time)",
            model.measured(MeasuredFigure.LIST_TIME),
            Unit.SECONDS,
            carried_by=LIST_CHUNKS,
        ),
    )


def _list_memory(model: Model) -> tuple[Row, ...]:
    budget = Bound(model.target.control_bytes, OPERATORS_LETTER)
    resident = model.measured(MeasuredFigure.LIST_MEMORY)
    peak = model.measured(MeasuredFigure.LIST_PEAK_MEMORY)
    reader = find_mechanism(LONG_LISTS).carried_by
    row = partial(_row, RowKind.MEMORY)
    return (
        row("with the whole list", resident, Unit.BYTES, budget, "`decision/columns.py`", LONG_LISTS),
        row("the highest while it is taken in", peak, Unit.BYTES, budget, reader, LONG_LISTS),
    )


def _list_latency(model: Model) -> tuple[Row, ...]:
    added = Bound(model.target.added_latency_s, OPERATORS_LETTER)
    by_list = model.measured(MeasuredFigure.LIST_STALL)
    by_row = model.measured(MeasuredFigure.ROW_STALL)
    row = partial(_row, RowKind.LATENCY)
    return (
        row("the loop is held by a whole list", by_list, Unit.SECONDS, carried_by=LIST_CHUNKS),
        row("the loop is held by a changed row", by_row, Unit.SECONDS, added, LIST_CHUNKS, LONG_LISTS),
    )


def _per_configuration_change(model: Model, what: str, figure: MeasuredFigure) -> Basis:
    """The mean a second of something that each change of the configuration costs."""
    per_s = model.target.changes_per_day / DAY_S
    return model.derive(f"{per_s:.4g}/s x {what}", lambda value: per_s * value, model.measured(figure))


def _configuration_distribution(model: Model) -> tuple[Row, ...]:
    target = model.target
    budget = Bound(target.control_bytes_per_s, OPERATORS_LETTER)
    carried_by = find_mechanism(CONFIGURATION).carried_by
    size = model.measured(MeasuredFigure.CONFIGURATION_BYTES)
    sent = _per_configuration_change(model, "bytes of a configuration", MeasuredFigure.CONFIGURATION_BYTES)
    return (
        _row(
            RowKind.STATE,
            f"configuration, {target.tenants:,} tenants",
            size,
            Unit.BYTES,
            carried_by=carried_by,
        ),
        _row(
            RowKind.MESSAGES,
            WHOLE_CONFIGURATION,
            sent,
            Unit.BYTES_PER_S,
            budget,
            carried_by,
            CONFIGURATION,
        ),
    )


def _configuration_costs(model: Model) -> tuple[Row, ...]:
    """Processor time, memory and stalls of the loop by the configuration."""
    target, carried_by = model.target, find_mechanism(CONFIGURATION).carried_by
    cores = Bound(target.control_cores, OPERATORS_LETTER)
    memory = Bound(target.control_bytes, OPERATORS_LETTER)
    slow_share = Bound(target.slow_request_share, f"99 in 100 within 1.7 ms: {OPERATORS_LETTER}")
    read = _per_configuration_change(model, "time to read", MeasuredFigure.CONFIGURATION_TIME)
    resident = model.measured(MeasuredFigure.CONFIGURATION_MEMORY)
    stall = model.measured(MeasuredFigure.CONFIGURATION_STALL)
    held = _per_configuration_change(model, "the loop's stall", MeasuredFigure.CONFIGURATION_STALL)
    reader, held_share = "`settings/configuration.py`", "share of the day in which reloads hold the loop"
    return (
        _row(RowKind.PROCESSOR_TIME, WHOLE_CONFIGURATION, read, Unit.CORES, cores, carried_by, CONFIGURATION),
        _row(RowKind.MEMORY, "with the configuration", resident, Unit.BYTES, memory, reader, CONFIGURATION),
        _row(RowKind.LATENCY, "the loop is held by a reload", stall, Unit.SECONDS, carried_by=carried_by),
        _row(RowKind.LATENCY, held_share, held, Unit.SHARE, slow_share, carried_by, CONFIGURATION),
    )


def _request_costs(model: Model) -> tuple[Row, ...]:
    """Processor time of requests, and the latency that a balancer adds to them."""
    rate, carried_by = model.requests_per_balancer(), find_mechanism(REQUEST_PATH).carried_by
    cost = model.derive(
        f"{rate:.4g}/s x time of one",
        lambda seconds: rate * seconds,
        model.measured(MeasuredFigure.REQUEST_TIME),
    )
    added, bound = (
        model.measured(MeasuredFigure.ADDED_P99),
        Bound(model.target.added_latency_s, OPERATORS_LETTER),
    )
    requests, latency = f"requests, {rate:.4g}/s", f"added to a request at {rate:.4g}/s, p99"
    return (
        _row(RowKind.PROCESSOR_TIME, requests, cost, Unit.CORES, ONE_CORE, carried_by, REQUEST_PATH),
        _row(RowKind.LATENCY, latency, added, Unit.SECONDS, bound, carried_by, REQUEST_PATH),
    )


def _connections(model: Model) -> tuple[Row, ...]:
    """Upstreams that a balancer has connections to."""
    services, program = model.target.services, model.program
    one_service = from_target(
        model.one_service_working_set(),
        f"{model.requests_per_balancer():.4g}/s x {program.revisit_s:g} s between two meetings",
    )
    all_services = from_target(
        model.all_services_working_sets(), f"{services:,} x at least {program.min_working_set}"
    )
    carried_by = find_mechanism(UPSTREAM_CONNECTIONS).carried_by
    row = partial(_row, RowKind.CONNECTIONS)
    return (
        row("upstreams in use, were all one service", one_service, Unit.NUMBER, SOCKETS, carried_by),
        row(
            f"upstreams in use, {services:,} services",
            all_services,
            Unit.NUMBER,
            SOCKETS,
            NONE,
            UPSTREAM_CONNECTIONS,
        ),
    )
