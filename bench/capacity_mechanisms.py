"""The mechanisms that the target needs, ranked by the factor of need over what is there. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from bench.capacity_model import EACH_POLLS, NONE
from bench.capacity_rows import Row

LIST_DISTRIBUTION = "distribution of lists"
LONG_LISTS = "long lists"
CONFIGURATION = "configuration"
SERVICES_AND_ROUTES = "services and routes"
UPSTREAM_CONNECTIONS = "connections at upstreams"
SHARED_STATE = "state shared by balancers"
TENANT_QUOTAS = "tenants' quotas"
REGIONS = "regions"
REQUEST_PATH = "request path"


@dataclass(frozen=True)
class Mechanism:
    """Something that the target needs.

    carried_by: what does its work in today's program. depends_on: mechanisms that have to be there first.
    """

    name: str
    carried_by: str
    depends_on: tuple[str, ...]
    plan: str


class RankedMechanism(NamedTuple):
    """A mechanism in the ranking, with the row that puts it there."""

    mechanism: Mechanism
    factor: float | None
    row: Row | None


MECHANISMS = (
    Mechanism(
        name=LIST_DISTRIBUTION,
        carried_by=EACH_POLLS,
        depends_on=(),
        plan="`quartzford relay` on the control machines: one watch to the source, thousands to balancers",
    ),
    Mechanism(
        name=LONG_LISTS,
        carried_by="a list is one line, read whole (`membership/list_watch.py`)",
        depends_on=(),
        plan="a bound on a line that follows from the size of the list, rows read as they come",
    ),
    Mechanism(
        name=CONFIGURATION,
        carried_by="a file on each machine, SIGHUP, read whole (`Node.reconfigure`)",
        depends_on=(LIST_DISTRIBUTION,),
        plan=(
            "180,000 tenants, 2,700 changes a day, within 19 s: changes by tenant and class with a "
            "version, sent as the list is, taken in by pieces; to a few balancers first, with a way "
            "back"
        ),
    ),
    Mechanism(
        name=SERVICES_AND_ROUTES,
        carried_by=f"{NONE}: one service to a process",
        depends_on=(CONFIGURATION, LONG_LISTS),
        plan=(
            "60,000 routes to 2,700 services out of the configuration; list, P and working set by "
            "service, and only of services that a balancer has traffic for"
        ),
    ),
    Mechanism(
        name=UPSTREAM_CONNECTIONS,
        carried_by="working set by the balancer's own rate (`decision/workingset.py`)",
        depends_on=(SERVICES_AND_ROUTES,),
        plan="each service's requests by a few balancers instead of all, so that a connection is used again",
    ),
    Mechanism(
        name=SHARED_STATE,
        carried_by=f"{NONE}: copies share nothing",
        depends_on=(LIST_DISTRIBUTION,),
        plan="sums by zone, kept on the control machines and told back: load, what is shed, what fails",
    ),
    Mechanism(
        name=TENANT_QUOTAS,
        carried_by="a quota over the number of balancers, each alone (`decision/admission.py`)",
        depends_on=(SHARED_STATE, CONFIGURATION),
        plan=(
            "over 4,600 balancers, parts of a quota lent by need, as a tenant's mean rate at one "
            "balancer is far under one request a second"
        ),
    ),
    Mechanism(
        name=REGIONS,
        carried_by=f"{NONE}: one list for all, no region in it",
        depends_on=(LIST_DISTRIBUTION,),
        plan="a source and relays by region; what other regions said last stays in use while they are parted",
    ),
    Mechanism(
        name=REQUEST_PATH,
        carried_by="`fronts/client_connection.py`, `engine/`, `backends/http_attempt.py`",
        depends_on=(),
        plan="only if its rows have no room",
    ),
)


def find_mechanism(name: str) -> Mechanism:
    """The mechanism of that name."""
    return next(mechanism for mechanism in MECHANISMS if mechanism.name == name)


def ranking(rows: Iterable[Row]) -> tuple[RankedMechanism, ...]:
    """Mechanisms by their worst factor, the greatest first; those without one last, in the plan's order."""
    rows = tuple(rows)
    ranked = (_with_worst_row(mechanism, rows) for mechanism in MECHANISMS)
    return tuple(sorted(ranked, key=lambda entry: (entry.factor is None, -(entry.factor or 0.0))))


def _with_worst_row(mechanism: Mechanism, rows: tuple[Row, ...]) -> RankedMechanism:
    found = [(factor, row) for row in rows if row.mechanism == mechanism.name and (factor := row.factor())]
    if not found:
        return RankedMechanism(mechanism, None, None)
    factor, row = max(found, key=lambda pair: pair[0])
    return RankedMechanism(mechanism, factor, row)
