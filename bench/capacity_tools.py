"""Rows of the operators' tools: what operators run and look at. No I/O."""

from __future__ import annotations

from functools import partial

from bench.capacity_mechanisms import CONFIGURATION, SHARED_STATE
from bench.capacity_model import NONE, Model
from bench.capacity_rows import NOT_OURS, UNKNOWN, Row, RowKind, Unit, from_target
from bench.capacity_target import DAY_S

_row = partial(Row, "operator's tools")


def tools(model: Model) -> tuple[Row, ...]:
    """What operators run and look at."""
    fleet = float(model.target.balancers)
    maintenance = "`replacement/maintenance_file.py`, at each balancer"
    figures = "`engine/request_counters.py`"
    look_at_all = from_target(fleet, "one to each balancer")
    return (
        _row(RowKind.STATE, "endpoints in maintenance", UNKNOWN, Unit.NUMBER, carried_by=maintenance),
        *_configurations(model),
        *_log_lines_and_calls(model),
        _row(
            RowKind.PROCESSOR_TIME,
            "a page of figures, at a balancer",
            UNKNOWN,
            Unit.SECONDS,
            carried_by=figures,
        ),
        _row(RowKind.MEMORY, "their own", UNKNOWN, Unit.BYTES, NOT_OURS),
        _row(
            RowKind.CONNECTIONS,
            "to second addresses, for one look at all",
            look_at_all,
            Unit.NUMBER,
            carried_by="`fronts/operations.py`",
        ),
    )


def _configurations(model: Model) -> tuple[Row, ...]:
    """Configurations that are copied to machines."""
    target, fleet = model.target, float(model.target.balancers)
    mean = from_target(target.changes_per_day / DAY_S * fleet, "changes a second x balancers")
    in_time = from_target(fleet / target.change_within_s, "balancers / 19 s")
    one_change = f"the same for one change within {target.change_within_s:g} s"
    row = partial(
        _row,
        RowKind.MESSAGES,
        unit=Unit.PER_S,
        carried_by=f"{NONE}: the operators' own copying and SIGHUP",
        mechanism=CONFIGURATION,
    )
    return (
        row("configurations put on machines, mean", mean),
        row(one_change, in_time),
    )


def _log_lines_and_calls(model: Model) -> tuple[Row, ...]:
    """Log lines of all balancers, and the calls that an operator makes to all of them."""
    fleet = float(model.target.balancers)
    lines = from_target(model.program.log_lines_per_s * fleet, "a balancer's most x balancers")
    calls = from_target(fleet, "one to each balancer")
    log = "`engine/log.py`, bounded at each balancer"
    row = partial(_row, RowKind.MESSAGES)
    return (
        row("log lines, at most", lines, Unit.PER_S, carried_by=log),
        row(
            "calls to take one upstream out",
            calls,
            Unit.NUMBER,
            carried_by="`fronts/operations.py`, one balancer at a time",
            mechanism=SHARED_STATE,
        ),
    )
