"""Readers of the files of measured figures, from their parsed JSON. No I/O.

All of them raise InputError if a file is not in the form that they read.
"""

from __future__ import annotations

import math
from functools import partial
from typing import Any

from bench.capacity_figures import CallRun, Fit, InputError, ScaleEvent, Slope, unit_factor


def _optional(value: Any, where: str) -> float | None:
    """A finite number, or None; where: what the error names."""
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
        unit_factor(slope.unit, slope.name)
        if len(slope.sizes) != len(slope.values):
            raise InputError(f"{slope.name}: {len(slope.sizes)} sizes, {len(slope.values)} values")
    found = {(slope.role, slope.name): slope for slope in slopes}
    if len(found) < len(slopes):
        raise InputError("slopes: a figure is there twice")
    return found


def _slope(row: dict[str, Any]) -> Slope:
    name, kept, target = str(row["name"]), row.get("kept_out"), row.get("at_target")
    fit = _fit(row["fit"], name) if row.get("fit") else None
    return Slope(
        role=str(row["role"]),
        name=name,
        unit=str(row["unit"]),
        by=str(row["by"]),
        sizes=tuple(_number(size, f"{name}: size") for size in row["sizes"]),
        values=tuple(_number(value, f"{name}: value") for value in row["values"]),
        fit=fit,
        error=_optional(kept.get("error"), f"{name}: error") if kept else None,
        target_size=_optional(target.get("size"), f"{name}: size") if target else None,
        target_value=_optional(target.get("value"), f"{name}: value") if target else None,
    )


def _fit(table: dict[str, Any], figure: str) -> Fit:
    part = partial(_fit_part, table, figure)
    return Fit(
        kind=str(table["kind"]),
        intercept=part("intercept"),
        slope=part("slope"),
        residual=part("residual"),
        exponent=_optional(table.get("exponent"), figure) or 1.0,
    )


def _fit_part(table: dict[str, Any], figure: str, key: str) -> float:
    """One number of a fit; NaN where the fit does not have it."""
    value = _optional(table.get(key), f"{figure}: {key}")
    return math.nan if value is None else value


def read_calls(table: Any) -> tuple[CallRun, ...]:
    """The rows of capacity_calls.json."""
    try:
        return tuple(
            CallRun(
                service=str(row["service"]),
                balancers=int(row["balancers"]),
                served=int(row["served"]),
                all_after_s=_number(row["all_after_s"], "all_after_s"),
                calls=_number(row["calls"], "calls"),
                busiest_second_calls=_number(row["most_1s"], "most_1s"),
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
