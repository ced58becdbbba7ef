"""Numbers, quantities and tables of the capacity page as Markdown. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from bench.capacity_figures import NOT_MEASURED
from bench.capacity_rows import Unit

BYTE_PREFIXES = ((1e9, "GB"), (1e6, "MB"), (1e3, "KB"))


def format_number(value: float) -> str:
    """Three significant digits, without an exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{float(f'{value:.3g}'):.12f}".rstrip("0").rstrip(".")


def format_quantity(value: float | None, unit: str) -> str:
    """A value with its unit, scaled to be readable; None is not measured."""
    if value is None:
        return NOT_MEASURED
    if unit in (Unit.BYTES, Unit.BYTES_PER_S):
        return _format_bytes(value, unit.removeprefix(Unit.BYTES))
    if unit == Unit.SECONDS and abs(value) < 1.0:
        return _format_below_a_second(value)
    if unit == Unit.CORES:
        return f"{format_number(value * 100)}% of a core"
    if unit == Unit.SHARE:
        return f"{format_number(value * 100)}%"
    if unit == Unit.NUMBER:
        return format_number(value)
    if unit == Unit.PER_S:
        return f"{format_number(value)}/s"
    return f"{format_number(value)} {unit}"


def _format_bytes(value: float, suffix: str) -> str:
    for scale, prefixed in BYTE_PREFIXES:
        if abs(value) >= scale:
            return f"{format_number(value / scale)} {prefixed}{suffix}"
    return f"{format_number(value)} B{suffix}"


def _format_below_a_second(value: float) -> str:
    if abs(value) >= 1e-3 or value == 0:
        return f"{format_number(value * 1e3)} ms"
    return f"{format_number(value * 1e6)} us"


def format_factor(value: float | None) -> str:
    """A quantity over its bound, in words: how many times it is missing, or to spare."""
    if value is None:
        return "-"
    if value <= 0:
        return "to spare"
    if value > 1:
        return f"**missing x {format_number(value)}**"
    return f"to spare x {format_number(1 / value)}"


def format_count(value: float | None) -> str:
    """A whole number; a dash where nothing was counted."""
    return "-" if value is None else f"{value:,.0f}"


def markdown_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A table with its head; each row has as many cells as the head."""
    lines = [f"| {' | '.join(head)} |", "|" + " --- |" * len(head)]
    lines += [f"| {' | '.join(cells)} |" for cells in rows]
    return "\n".join(lines) + "\n"
