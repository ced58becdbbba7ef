"""The blocks of docs/CAPACITY.md that show measurements: slopes, scale runs, the model of calls. No I/O."""

from __future__ import annotations

from bench.capacity_figures import NOT_MEASURED, CallRun, Figures, ScaleEvent, Slope
from bench.capacity_format import format_count, format_number, format_quantity, markdown_table
from bench.capacity_model import Model, describe_fit
from bench.capacity_rows import Unit
from bench.fit import LINE_ERROR

CALLS_HEAD = ("service", "balancers", "ever had it", "all after", "calls each", "busiest second")
SLOPES_HEAD = ("role", "figure", "sizes", "fit", "residual", "kept-out size, error", "at the target")
SCALE_HEAD = (
    "event",
    "lists from",
    "hollow + real",
    "had a list",
    "never in force",
    "p50",
    "p99",
    "last",
    "calls at the source",
    "bytes told",
)


def calls_block(model: Model) -> str:
    """One release in which each balancer polls the source itself: closed form and model of calls."""
    fleet, per_s = model.target.balancers, model.program.calls_per_s
    closed_form = (
        "closed form: one call each in turn",
        f"{fleet:,}",
        f"{fleet:,}",
        format_quantity(fleet / per_s, Unit.SECONDS),
        "1",
        format_number(per_s),
    )
    rows = [_call_cells(run) for run in model.figures.calls]
    return markdown_table(CALLS_HEAD, [closed_form, *(rows or [_no_rows(CALLS_HEAD, "model of calls: ")])])


def _no_rows(head: tuple[str, ...], label: str = "") -> tuple[str, ...]:
    """The row of a table without measurements."""
    return (f"{label}{NOT_MEASURED}", *("-",) * (len(head) - 1))


def _call_cells(run: CallRun) -> tuple[str, ...]:
    return (
        run.service,
        f"{run.balancers:,}",
        f"{run.served:,}",
        format_quantity(run.all_after_s, Unit.SECONDS),
        format_number(run.calls),
        format_number(run.busiest_second_calls),
    )


def slopes_block(figures: Figures) -> str:
    """Every figure of slopes.json, whether the model uses it or not."""
    rows = [_slope_cells(slope) for slope in figures.slopes.values()]
    return markdown_table(SLOPES_HEAD, rows or [_no_rows(SLOPES_HEAD)])


def _slope_cells(slope: Slope) -> tuple[str, ...]:
    value, size = slope.target_value, slope.target_size
    at_target = NOT_MEASURED if value is None else f"{format_number(value)} {slope.unit}"
    target_size = "-" if size is None else f"{size:,g}"
    span = f"{min(slope.sizes):,g} to {max(slope.sizes):,g}" if slope.sizes else "-"
    fit = "-" if slope.fit is None else describe_fit(slope).partition(" (")[0].partition("; kept")[0]
    residual = "-" if slope.fit is None else format_number(slope.fit.residual)
    return (
        slope.role,
        slope.name,
        f"{span} {slope.by}",
        fit,
        residual,
        _kept_out_error(slope),
        f"{target_size}: {at_target}",
    )


def _kept_out_error(slope: Slope) -> str:
    """The error at the size that was kept out of the fit, in bold where the fit is not to be used."""
    if slope.error is None:
        return "-"
    error = f"{slope.error:.1%}"
    return f"**{error}**" if abs(slope.error) > LINE_ERROR else error


def scale_block(figures: Figures) -> str:
    """Every event of scale.json."""
    rows = [_scale_cells(event) for event in figures.events]
    return markdown_table(SCALE_HEAD, rows or [_no_rows(SCALE_HEAD)])


def _scale_cells(event: ScaleEvent) -> tuple[str, ...]:
    return (
        event.event,
        event.way,
        f"{event.hollow:,} + {event.real}",
        format_count(event.with_list),
        format_count(event.missing),
        format_quantity(event.p50_s, Unit.SECONDS),
        format_quantity(event.p99_s, Unit.SECONDS),
        format_quantity(event.last_s, Unit.SECONDS),
        NOT_MEASURED if event.source_calls is None else format_number(event.source_calls),
        format_quantity(event.bytes_out, Unit.BYTES),
    )
