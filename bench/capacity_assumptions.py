"""Assumptions where the operators' letter is open, and what changes if they are wrong. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from bench.capacity_figures import NOT_MEASURED
from bench.capacity_model import FAILURE_ROWS, RESTART_ROWS, MeasuredFigure, Model
from bench.capacity_target import DAY_S

WORKING_DAY_S = 8 * 3600.0


class Assumption(NamedTuple):
    """One open question of the letter, the answer assumed, and what follows if that is wrong."""

    left_open: str
    taken_as: str
    if_wrong: str


def assumptions(model: Model) -> tuple[Assumption, ...]:
    """All assumptions, with the figures that they change, in the page's order."""
    return (*_rates(model), *_budgets(model), *_shape(model), *_rows(model))


def _rates(model: Model) -> tuple[Assumption, ...]:
    """Rates of requests and of changes."""
    target = model.target
    rows, compression = model.rows_per_s(), DAY_S / WORKING_DAY_S
    rate = model.requests_per_balancer()
    changes = target.changes_per_day / DAY_S
    release_rows = target.replaced_per_day * RESTART_ROWS / 3600
    share = target.balancers / (target.balancers + target.upstreams)
    complete_lists = (target.replaced_per_day + target.failed_per_day) * share
    return (
        Assumption(
            "550,000 requests a second: a peak over seconds or over an hour",
            "a peak that lasts, evenly over balancers",
            f"fronts that send one zone twice its part make {2 * rate:.4g}/s of {rate:.4g} at each balancer "
            "there, and twice the processor time of requests",
        ),
        Assumption(
            "machines and configurations a day: evenly over 24 hours or not",
            f"evenly: {rows:.3g} rows/s, {changes:.3g} configurations/s",
            f"within eight working hours {rows * compression:.3g} rows/s and "
            f"{changes * compression:.3g} configurations/s, all means that follow from them times "
            f"{compression:g}; a release of 6,900 within an hour is {release_rows:.3g} rows/s",
        ),
        Assumption(
            "210 and 6,900 machines: balancers, upstreams or others",
            "all upstreams (the more rows)",
            f"by their numbers, {share:.1%} are balancers: rows fall by as much, and some "
            f"{complete_lists:,.0f} whole lists a day are added",
        ),
    )


def _budgets(model: Model) -> tuple[Assumption, ...]:
    """Budgets of processor time, memory, bytes and latency."""
    target = model.target
    list_bytes = model.measured(MeasuredFigure.LIST_BYTES).value
    start = NOT_MEASURED if list_bytes is None else f"{list_bytes / target.control_bytes_per_s:,.0f} s"
    return (
        Assumption(
            "15 KB/s and 1.6% of a core: over what span a mean",
            "a mean over a day; a start may take more",
            f"as a bound on each second a whole list alone takes {start}, and lists have to be cut by what a "
            "balancer needs (services, subsets) before they are sent",
        ),
        Assumption(
            "256 MB: of control alone or of the process",
            "of the process at rest, without buffers of requests",
            "of control alone, the interpreter and the path of requests come on top and there is more room",
        ),
        Assumption(
            "KB and MB: powers of ten or of two",
            "powers of ten (stricter)",
            "2% to 5% more room",
        ),
        Assumption(
            "1.7 ms: added by the balancer alone or with the wire, at which load",
            "p99 through the balancer less p99 straight at the upstream, from intended times, at its part of "
            "the peak",
            "a difference of two p99 is not the p99 of a difference; by pairs of requests it may be higher",
        ),
        Assumption(
            "19 s for a configuration: from writing it or from letting it go; everywhere or where it is used",
            "from letting it go, at every balancer that lives",
            "where a change goes only to balancers that use it, fewer are told, and the rest is for the "
            "routes",
        ),
    )


def _shape(model: Model) -> tuple[Assumption, ...]:
    """Sizes of services, zones, regions and tenants."""
    target = model.target
    upstreams, balancers = target.upstreams / target.zones, target.balancers / target.zones
    return (
        Assumption(
            "sizes of the 2,700 services",
            f"the mean, {target.upstreams / target.services:.1f} upstreams",
            "a few large services: the working set gives more there and connections fall; many of one or two "
            "upstreams: a set is all of them, and one failure is half a service",
        ),
        Assumption(
            "which balancer serves which service",
            "every balancer every service",
            "balancers by service: rows, connections and configuration at a balancer fall by the same part",
        ),
        Assumption(
            "spread over zones and regions",
            f"even: {upstreams:,.0f} upstreams and {balancers:,.0f} balancers a zone; 15 zones in all "
            "regions together",
            "a zone of twice the size is twice the rows in one instant, and takes twice the load away",
        ),
        Assumption(
            "where the list service and the 11 machines stand",
            "one list service; relays where balancers reach them all",
            "relays by region: a lost one has fewer to take its balancers, a parted region only its own",
        ),
        Assumption(
            "tenants' rates",
            f"the mean, {target.requests_per_s / target.tenants:.3g}/s",
            "a few large tenants: a quota over 4,600 balancers means something for those alone",
        ),
    )


def _rows(model: Model) -> tuple[Assumption, ...]:
    """Rows of the list, and calls to the list service."""
    return (
        Assumption(
            "rows for each change",
            f"{FAILURE_ROWS} for a failure (gone, ready), {RESTART_ROWS} for a restart or replacement "
            "(draining, gone, ready), each its own line",
            "rows in one line share its head; a replacement under a new name adds no row",
        ),
        Assumption(
            "an upstream of several services",
            "one row, one service",
            "in k services it is k rows: list, memory and changes k times as much",
        ),
        Assumption(
            "what the list service answers a second",
            f"{model.program.calls_per_s:g} calls, as where no operator has said (`node.py`)",
            "twice the rate, half the factor of all rows in which each balancer asks it itself",
        ),
    )
