"""The generated blocks of docs/CAPACITY.md as Markdown, by name. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from bench.capacity_assumptions import assumptions
from bench.capacity_events import event_rows
from bench.capacity_figures import NOT_MEASURED
from bench.capacity_format import format_factor, format_number, format_quantity, markdown_table
from bench.capacity_measurements import calls_block, scale_block, slopes_block
from bench.capacity_mechanisms import LIST_DISTRIBUTION, RankedMechanism, ranking
from bench.capacity_model import Model
from bench.capacity_roles import all_rows
from bench.capacity_rows import NOT_OURS, Row, Unit
from bench.capacity_target import DAY_S, OPERATORS_LETTER, Target

ROLE_HEAD = ("quantity", "at the target", "how it follows", "run", "bound", "factor", "carried today by")
RANKING_HEAD = ("", "mechanism", "factor", "worst row", "need", "there", "run", "depends on", "today")
EVENTS_HEAD = ("event", "rate", "peak", "until in force", "what requests notice", "carried today by")
ASSUMPTIONS_HEAD = ("left open", "taken as", "what changes if it is wrong")


def blocks(model: Model) -> dict[str, str]:
    """All generated blocks by name."""
    rows = all_rows(model)
    ranked = ranking(rows)
    by_role: dict[str, list[Row]] = {}
    for row in rows:
        by_role.setdefault(row.role, []).append(row)
    role_blocks = {role_block_name(role): role_block(of_role) for role, of_role in by_role.items()}
    return role_blocks | {
        "target": target_block(model.target),
        "assumptions": markdown_table(ASSUMPTIONS_HEAD, assumptions(model)),
        "derived": derived_block(model),
        "events": markdown_table(EVENTS_HEAD, event_rows(model)),
        "ranking": ranking_block(model, ranked),
        "plan": plan_block(ranked),
        "calls": calls_block(model),
        "scale": scale_block(model.figures),
        "slopes": slopes_block(model.figures),
    }


def target_block(target: Target) -> str:
    """The target, as the operators' letter has it."""
    fleet = f"{target.balancers:,}, {target.upstreams:,}, {target.services:,}"
    added = format_quantity(target.added_latency_s, Unit.SECONDS)
    changes = f"{target.changes_per_day:,.0f}, in force within {target.change_within_s:g} s"
    control = (
        format_quantity(target.control_cores, Unit.CORES),
        format_quantity(target.control_bytes, Unit.BYTES),
        format_quantity(target.control_bytes_per_s, Unit.BYTES_PER_S),
    )
    machines = f"{target.failed_per_day:,.0f}, {target.replaced_per_day:,.0f}"
    rows = (
        ("balancers, upstreams, services", fleet),
        ("requests a second at the peak", f"{target.requests_per_s:,.0f}"),
        ("routes, tenants", f"{target.routes:,}, {target.tenants:,}"),
        ("added to 99 in 100 requests", f"{added} at most"),
        ("regions, zones", f"{target.regions}, {target.zones}"),
        ("changes of configuration a day", changes),
        ("control, of a balancer", ", ".join(control)),
        ("machines for control", f"{target.control_machines}"),
        ("machines that fail, are restarted or replaced a day", machines),
    )
    return markdown_table(("figure", "target", "source"), ((*row, OPERATORS_LETTER) for row in rows))


def derived_block(model: Model) -> str:
    """What follows from the target and the program's bounds without any measurement."""
    target = model.target
    in_zone = (
        f"{format_number(target.upstreams / target.zones)}, {format_number(target.balancers / target.zones)}"
    )
    behind_relay = f"{format_number(model.balancers_per_relay())}, {model.max_watchers():,}"
    notified = model.program.notified_in_time()
    rows = (
        ("requests a second at a balancer", format_number(model.requests_per_balancer())),
        ("requests a second at an upstream", format_number(target.requests_per_s / target.upstreams)),
        ("upstreams of a service, mean", format_number(target.upstreams / target.services)),
        ("requests a second of a tenant, mean", format_number(target.requests_per_s / target.tenants)),
        ("upstreams, balancers in a zone", in_zone),
        ("changed rows a second, ordinary day, mean", format_number(model.rows_per_s())),
        ("changes of configuration a second, mean", format_number(target.changes_per_day / DAY_S)),
        ("balancers behind a relay: mean, most", behind_relay),
        ("balancers that one list service tells within six seconds", format_number(notified)),
    )
    return markdown_table(("follows from it", "figure"), rows)


def role_block_name(role: str) -> str:
    """The name of a role's block: "role-list-service" of "list service", without what is in brackets."""
    return f"role-{role.split(' (')[0].replace(' ', '-').replace(chr(39), '')}"


def role_block(rows: Iterable[Row]) -> str:
    """The table of one role."""
    return markdown_table(ROLE_HEAD, map(_role_cells, rows))


def _role_cells(row: Row) -> tuple[str, ...]:
    limit = format_quantity(row.bound.value, row.unit) if row.bound.value else ""
    value = "-" if row.bound is NOT_OURS else format_quantity(row.basis.value, row.unit)
    return (
        f"{row.kind}: {row.what}",
        value,
        row.basis.derivation or "-",
        row.basis.run or "-",
        ": ".join(part for part in (limit, row.bound.source) if part) or "-",
        format_factor(row.factor()),
        row.carried_by,
    )


def ranking_block(model: Model, ranked: Iterable[RankedMechanism]) -> str:
    """The ranking of the mechanisms, each with its worst row."""
    rows = (_ranking_cells(model, number, entry) for number, entry in enumerate(ranked, 1))
    return markdown_table(RANKING_HEAD, rows)


def _ranking_cells(model: Model, number: int, entry: RankedMechanism) -> tuple[str, ...]:
    row, mechanism = entry.row, entry.mechanism
    factor = NOT_MEASURED if entry.factor is None else format_factor(entry.factor)
    lists = mechanism.name == LIST_DISTRIBUTION
    return (
        str(number),
        mechanism.name,
        factor,
        f"{row.role}: {row.what}" if row else "no figure with a bound",
        format_quantity(row.basis.value, row.unit) if row else "-",
        format_quantity(row.bound.value, row.unit) if row else "-",
        row.basis.run if row else "-",
        ", ".join(mechanism.depends_on) or "nothing",
        model.lists_carried_by() if lists else mechanism.carried_by,
    )


def plan_block(ranked: Iterable[RankedMechanism]) -> str:
    """What each mechanism is to become, in the ranking's order."""
    lines = []
    for entry in ranked:
        mechanism = entry.mechanism
        after = f" (after {', '.join(mechanism.depends_on)})" if mechanism.depends_on else ""
        lines.append(f"- **{mechanism.name}**{after}: {mechanism.plan}.")
    return "\n".join(lines) + "\n"
