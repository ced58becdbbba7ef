"""Rows of the list service: polled by every balancer, and watched by relays where there are any. No I/O."""

from __future__ import annotations

from functools import partial

from bench.capacity_mechanisms import LIST_DISTRIBUTION, LONG_LISTS
from bench.capacity_model import CALLS_RUN, EACH_POLLS, MeasuredFigure, Model
from bench.capacity_rows import (
    NO_BOUND,
    NOT_GIVEN,
    ONE_CORE,
    UNKNOWN,
    Basis,
    Bound,
    Row,
    RowKind,
    Unit,
    from_target,
)
from bench.capacity_target import OPERATORS_LETTER

CALL_MODEL_SERVICES = ("queues", "turns away")  # of bench.callmodel: how a service treats too many calls
OPERATORS = "the operators'"

_row = partial(Row, "list service")


def list_service(model: Model) -> tuple[Row, ...]:
    """The one source of the list: with every balancer polling it, and with relays where there are any."""
    target, program = model.target, model.program
    watchers = from_target(target.control_machines if program.relay else target.balancers, "who asks it")
    upstreams = from_target(target.upstreams, OPERATORS_LETTER)
    return (
        _row(RowKind.STATE, "rows", upstreams, Unit.NUMBER, carried_by=OPERATORS),
        _row(RowKind.CONNECTIONS, "watches", watchers, Unit.NUMBER, NOT_GIVEN, model.lists_carried_by()),
        _notified_in_time(model),
        *(row for service in CALL_MODEL_SERVICES for row in _calls(model, service)),
        _all_lists(model),
        *_change_costs(model),
        *_list_costs(model),
        *_memory(model),
    )


def _notified_in_time(model: Model) -> Row:
    """Balancers to be notified within the protocol's bound, against those that the call policy serves."""
    program = model.program
    first_calls = f"{program.small_fleet} + {program.spread_s:g} s x {program.calls_per_s:g}/s"
    return _row(
        RowKind.MESSAGES,
        "balancers to be told in 6 s, each asks itself",
        from_target(model.target.balancers, "all of them"),
        Unit.NUMBER,
        Bound(program.notified_in_time(), f"{first_calls} (`membership/call_policy.py`)"),
        EACH_POLLS,
        LIST_DISTRIBUTION,
    )


def _calls(model: Model, service: str) -> tuple[Row, ...]:
    """All balancers start and each polls the service itself, as the model of calls plays it."""
    run = model.figures.call(service, model.target.balancers)
    busiest = Basis(run.busiest_second_calls, "model of calls", CALLS_RUN) if run else UNKNOWN
    last = Basis(run.all_after_s, "model of calls", CALLS_RUN) if run else UNKNOWN
    rate = Bound(model.program.calls_per_s, "what it is taken to answer")
    notified = Bound(model.protocol.notified_s, "the protocol: told after 6 s")
    in_busiest = f"calls in the busiest second, all start, each asks itself ({service})"
    until_last = f"until all have the list, each asks itself ({service})"
    row = partial(_row, RowKind.MESSAGES)
    return (
        row(in_busiest, busiest, Unit.PER_S, rate, EACH_POLLS, LIST_DISTRIBUTION),
        row(until_last, last, Unit.SECONDS, notified, EACH_POLLS, LIST_DISTRIBUTION),
    )


def _all_lists(model: Model) -> Row:
    """Bytes of the complete list to every balancer."""
    balancers = model.target.balancers
    total = model.derive(
        f"{balancers:,} x bytes of a whole list",
        lambda size: balancers * size,
        model.measured(MeasuredFigure.LIST_BYTES),
    )
    what = "whole lists, all start, each asks itself"
    return _row(RowKind.MESSAGES, what, total, Unit.BYTES, carried_by=EACH_POLLS)


def _change_costs(model: Model) -> tuple[Row, ...]:
    """A changed row sent to every balancer by the stand-in list service."""
    what = "a changed row told to all, each asks itself"
    span = model.measured(MeasuredFigure.SOURCE_CHANGE_SPAN)
    time = model.measured(MeasuredFigure.SOURCE_CHANGE_TIME)
    return (
        _row(RowKind.MESSAGES, what, span, Unit.SECONDS, NO_BOUND, EACH_POLLS),
        _row(RowKind.PROCESSOR_TIME, what, time, Unit.SECONDS, NO_BOUND, EACH_POLLS),
    )


def _list_costs(model: Model) -> tuple[Row, ...]:
    """Processor time of the stand-in list service for heartbeats and for one complete list."""
    per_s, lists = model.program.calls_per_s, model.lists_carried_by()
    heartbeats = model.measured(MeasuredFigure.SOURCE_HEARTBEATS)
    complete_list = model.measured(MeasuredFigure.SOURCE_LIST_TIME)
    one_call = Bound(1.0 / per_s, f"one call at {per_s:g}/s")
    row = partial(_row, RowKind.PROCESSOR_TIME)
    return (
        row("beats to all", heartbeats, Unit.CORES, ONE_CORE, EACH_POLLS, LIST_DISTRIBUTION),
        row("a whole list", complete_list, Unit.SECONDS, one_call, lists, LONG_LISTS),
    )


def _memory(model: Model) -> tuple[Row, ...]:
    resident = model.measured(MeasuredFigure.SOURCE_MEMORY)
    watchers = model.measured(MeasuredFigure.SOURCE_WATCHERS_MEMORY)
    row = partial(_row, RowKind.MEMORY)
    return (
        row("with the whole list", resident, Unit.BYTES, NOT_GIVEN, OPERATORS),
        row("watches of all balancers", watchers, Unit.BYTES, NOT_GIVEN, EACH_POLLS),
    )
