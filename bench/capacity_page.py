"""The generated blocks of docs/CAPACITY.md: Markdown out of the model, put between markers. No I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping, Sequence

from bench.capacity_assumptions import assumptions
from bench.capacity_events import event_rows
from bench.capacity_inputs import DAY_S, LINE_ERROR, NOT_MEASURED, OPERATORS_LETTER, Figures, Slope
from bench.capacity_mechanisms import LIST_DISTRIBUTION, RankedMechanism
from bench.capacity_mechanisms import ranking as ranked
from bench.capacity_model import Model, describe_fit
from bench.capacity_roles import all_rows
from bench.capacity_rows import NOT_OURS, Row

BLOCK = re.compile(r"<!-- generated: ([\w-]+) -->\n(.*?)<!-- end -->", re.DOTALL)


class PageError(ValueError):
    """Markers of the page that don't fit the model's blocks."""


# ---- cells


def format_number(value: float) -> str:
    """Three digits that count, without an exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{float(f'{value:.3g}'):.12f}".rstrip("0").rstrip(".")


def format_quantity(value: float | None, unit: str) -> str:
    """A value with its unit, in a size that reads well; not measured where there is none."""
    if value is None:
        return NOT_MEASURED
    if unit in ("bytes", "bytes/s"):
        tail = unit.removeprefix("bytes")
        for bound, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
            if abs(value) >= bound:
                return f"{format_number(value / bound)} {name}{tail}"
        return f"{format_number(value)} B{tail}"
    if unit == "s" and abs(value) < 1.0:
        return (
            f"{format_number(value * 1e3)} ms"
            if abs(value) >= 1e-3 or value == 0
            else f"{format_number(value * 1e6)} us"
        )
    if unit in ("cores", "share"):
        return f"{format_number(value * 100)}%" + (" of a core" if unit == "cores" else "")
    if unit == "number":
        return format_number(value)
    return f"{format_number(value)}/s" if unit == "1/s" else f"{format_number(value)} {unit}"


def format_factor(value: float | None) -> str:
    """So many times to spare, or missing."""
    if value is None:
        return "-"
    if value <= 0:
        return "to spare"
    return f"**missing x {format_number(value)}**" if value > 1 else f"to spare x {format_number(1 / value)}"


def markdown_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [f"| {' | '.join(head)} |", "|" + " --- |" * len(head)]
    lines += [f"| {' | '.join(cells)} |" for cells in rows]
    return "\n".join(lines) + "\n"


# ---- blocks


def target(model: Model) -> str:
    t = model.target
    rows = (
        ("balancers, upstreams, services", f"{t.balancers:,}, {t.upstreams:,}, {t.services:,}"),
        ("requests a second at the peak", f"{t.requests_per_s:,.0f}"),
        ("routes, tenants", f"{t.routes:,}, {t.tenants:,}"),
        ("added to 99 in 100 requests", f"{format_quantity(t.added_latency_s, 's')} at most"),
        ("regions, zones", f"{t.regions}, {t.zones}"),
        (
            "changes of configuration a day",
            f"{t.changes_per_day:,.0f}, in force within {t.change_within_s:g} s",
        ),
        (
            "control, of a balancer",
            f"{format_quantity(t.control_cores, 'cores')}, {format_quantity(t.control_bytes, 'bytes')}, "
            f"{format_quantity(t.control_bytes_per_s, 'bytes/s')}",
        ),
        ("machines for control", f"{t.control_machines}"),
        (
            "machines that fail, are restarted or replaced a day",
            f"{t.failed_per_day:,.0f}, {t.replaced_per_day:,.0f}",
        ),
    )
    return markdown_table(("figure", "target", "source"), ((*row, OPERATORS_LETTER) for row in rows))


def derived(model: Model) -> str:
    t = model.target
    rows = (
        ("requests a second at a balancer", format_number(model.requests_per_balancer())),
        ("requests a second at an upstream", format_number(t.requests_per_s / t.upstreams)),
        ("upstreams of a service, mean", format_number(t.upstreams / t.services)),
        ("requests a second of a tenant, mean", format_number(t.requests_per_s / t.tenants)),
        (
            "upstreams, balancers in a zone",
            f"{format_number(t.upstreams / t.zones)}, {format_number(t.balancers / t.zones)}",
        ),
        ("changed rows a second, ordinary day, mean", format_number(model.rows_per_s())),
        ("changes of configuration a second, mean", format_number(t.changes_per_day / DAY_S)),
        (
            "balancers behind a relay: mean, most",
            f"{format_number(model.balancers_per_relay())}, {model.max_watchers():,}",
        ),
        (
            "balancers that one list service tells within six seconds",
            format_number(model.program.notified_in_time()),
        ),
    )
    return markdown_table(("follows from it", "figure"), rows)


ROLE_HEAD = ("quantity", "at the target", "how it follows", "run", "bound", "factor", "carried today by")


def role(rows: Iterable[Row]) -> str:
    def cells(row: Row) -> tuple[str, ...]:
        bound = format_quantity(row.bound.value, row.unit) if row.bound.value else ""
        limit = ": ".join(part for part in (bound, row.bound.source) if part) or "-"
        own = row.bound is NOT_OURS
        value = "-" if own else format_quantity(row.basis.value, row.unit)
        return (
            f"{row.kind}: {row.what}",
            value,
            row.basis.derivation or "-",
            row.basis.run or "-",
            limit,
            format_factor(row.factor()),
            row.carried_by,
        )

    return markdown_table(ROLE_HEAD, map(cells, rows))


def ranking(model: Model, places: Iterable[RankedMechanism]) -> str:
    def cells(number: int, place: RankedMechanism) -> tuple[str, ...]:
        row, name = place.row, place.mechanism.name
        worst = f"{row.role}: {row.what}" if row else "no figure with a bound"
        need = format_quantity(row.basis.value, row.unit) if row else "-"
        there = format_quantity(row.bound.value, row.unit) if row else "-"
        kind = format_factor(place.factor) if place.factor is not None else NOT_MEASURED
        depends_on = ", ".join(place.mechanism.depends_on) or "nothing"
        carried_by = model.lists_carried_by() if name == LIST_DISTRIBUTION else place.mechanism.carried_by
        return (
            str(number),
            name,
            kind,
            worst,
            need,
            there,
            row.basis.run if row else "-",
            depends_on,
            carried_by,
        )

    head = ("", "mechanism", "factor", "worst row", "need", "there", "run", "depends on", "today")
    return markdown_table(head, (cells(i, place) for i, place in enumerate(places, 1)))


def plan(places: Iterable[RankedMechanism]) -> str:
    lines = []
    for place in places:
        mechanism = place.mechanism
        after = f" (after {', '.join(mechanism.depends_on)})" if mechanism.depends_on else ""
        lines.append(f"- **{mechanism.name}**{after}: {mechanism.plan}.")
    return "\n".join(lines) + "\n"


def events(model: Model) -> str:
    head = ("event", "rate", "peak", "until in force", "what requests notice", "carried today by")
    return markdown_table(head, (tuple(row) for row in event_rows(model)))


def blocks(model: Model) -> dict[str, str]:
    """All generated blocks by name."""
    rows = all_rows(model)
    places = ranked(rows)
    by_role: dict[str, list[Row]] = {}
    for row in rows:
        by_role.setdefault(row.role, []).append(row)
    tables = {
        f"role-{name.split(' (')[0].replace(' ', '-').replace(chr(39), '')}": role(found)
        for name, found in by_role.items()
    }
    return tables | {
        "target": target(model),
        "assumptions": markdown_table(
            ("left open", "taken as", "what changes if it is wrong"), assumptions(model)
        ),
        "derived": derived(model),
        "events": events(model),
        "ranking": ranking(model, places),
        "plan": plan(places),
        "calls": calls(model),
        "scale": scale(model.figures),
        "slopes": slopes(model.figures),
    }


def calls(model: Model) -> str:
    """One release in which each balancer asks the source itself: closed form and model of calls."""
    fleet, per_s = model.target.balancers, model.program.calls_per_s
    closed = (
        "closed form: one call each in turn",
        f"{fleet:,}",
        f"{fleet:,}",
        format_quantity(fleet / per_s, "s"),
        "1",
        format_number(per_s),
    )
    rows = [
        (
            run.service,
            f"{run.balancers:,}",
            f"{run.served:,}",
            format_quantity(run.all_after_s, "s"),
            format_number(run.calls),
            format_number(run.busiest_second_calls),
        )
        for run in model.figures.calls
    ]
    head = ("service", "balancers", "ever had it", "all after", "calls each", "busiest second")
    return markdown_table(head, [closed, *(rows or [(f"model of calls: {NOT_MEASURED}", *("-",) * 5)])])


def slopes(figures: Figures) -> str:
    """Every figure of slopes.json, whether the model uses it or not."""

    def cells(slope: Slope) -> tuple[str, ...]:
        value = slope.target_value
        at = NOT_MEASURED if value is None else f"{format_number(value)} {slope.unit}"
        size = "-" if slope.target_size is None else f"{slope.target_size:,g}"
        error = "-" if slope.error is None else f"{slope.error:.1%}"
        if slope.error is not None and abs(slope.error) > LINE_ERROR:
            error = f"**{error}**"
        span = f"{min(slope.sizes):,g} to {max(slope.sizes):,g}" if slope.sizes else "-"
        fit = "-" if slope.fit is None else describe_fit(slope).partition(" (")[0].partition("; kept")[0]
        residual = "-" if slope.fit is None else format_number(slope.fit.residual)
        return slope.role, slope.name, f"{span} {slope.by}", fit, residual, error, f"{size}: {at}"

    head = ("role", "figure", "sizes", "fit", "residual", "kept-out size, error", "at the target")
    rows = [cells(slope) for slope in figures.slopes.values()]
    return markdown_table(head, rows or [(NOT_MEASURED, *("-",) * 6)])


def scale(figures: Figures) -> str:
    """Every event of scale.json."""
    rows = [
        (
            e.event,
            e.way,
            f"{e.hollow:,} + {e.real}",
            format_count(e.with_list),
            format_count(e.missing),
            format_quantity(e.p50_s, "s"),
            format_quantity(e.p99_s, "s"),
            format_quantity(e.last_s, "s"),
            NOT_MEASURED if e.source_calls is None else format_number(e.source_calls),
            format_quantity(e.bytes_out, "bytes"),
        )
        for e in figures.events
    ]
    head = (
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
    return markdown_table(head, rows or [(NOT_MEASURED, *("-",) * 9)])


def format_count(value: float | None) -> str:
    """A whole number; a dash where nothing was counted."""
    return "-" if value is None else f"{value:,.0f}"


# ---- the page


def replace_blocks(page: str, blocks: Mapping[str, str]) -> str:
    """The page with its blocks as they should be; PageError where its markers don't fit them."""
    names = [match.group(1) for match in BLOCK.finditer(page)]
    marks = page.count("<!-- generated:")
    if marks != len(names) or page.count("<!-- end -->") != marks:
        raise PageError("a generated block has no end")
    if len(set(names)) < len(names):
        raise PageError(f"there twice: {', '.join(sorted({n for n in names if names.count(n) > 1}))}")
    if missing := sorted(set(blocks) - set(names)):
        raise PageError(f"no place in the page for: {', '.join(missing)}")
    if unknown := sorted(set(names) - set(blocks)):
        raise PageError(f"not a block of the model: {', '.join(unknown)}")
    return BLOCK.sub(lambda m: f"<!-- generated: {m[1]} -->\n{blocks[m[1]]}<!-- end -->", page)


def stale_blocks(page: str, blocks: Mapping[str, str]) -> list[str]:
    """The blocks in which page and figures part, in the page's order."""
    fresh = replace_blocks(page, blocks)
    pairs = zip(BLOCK.finditer(page), BLOCK.finditer(fresh), strict=True)
    return [old.group(1) for old, new in pairs if old.group(2) != new.group(2)]
