"""Rows of the clients' fronts, which distribute clients' connections among balancers. No I/O."""

from __future__ import annotations

from functools import partial

from bench.capacity_mechanisms import TENANT_QUOTAS, find_mechanism
from bench.capacity_model import Model
from bench.capacity_rows import NOT_OURS, UNKNOWN, Bound, Row, RowKind, Unit, from_target

CLIENT_CONNECTION = "`fronts/client_connection.py`"
HALF_OF_SOCKETS = Bound(None, "half of `limits.sockets`")

_row = partial(Row, "clients' fronts")


def fronts(model: Model) -> tuple[Row, ...]:
    """What distributes clients' connections among balancers."""
    target = model.target
    in_zone = from_target(target.balancers / target.zones, "balancers / zones")
    return (
        _row(
            RowKind.STATE,
            "balancers in a zone",
            in_zone,
            Unit.NUMBER,
            carried_by="their own, by `/_health`",
        ),
        *_requests(model),
        _row(RowKind.PROCESSOR_TIME, "their own", UNKNOWN, Unit.CORES, NOT_OURS),
        _row(RowKind.MEMORY, "their own", UNKNOWN, Unit.BYTES, NOT_OURS),
        _row(
            RowKind.CONNECTIONS,
            "clients' at a balancer",
            UNKNOWN,
            Unit.NUMBER,
            HALF_OF_SOCKETS,
            CLIENT_CONNECTION,
        ),
    )


def _requests(model: Model) -> tuple[Row, ...]:
    """Requests a second at one balancer: all, and those of one tenant."""
    target = model.target
    requests = from_target(model.requests_per_balancer(), "peak / balancers")
    tenant = from_target(
        target.requests_per_s / target.tenants / target.balancers, "peak / tenants / balancers"
    )
    row = partial(_row, RowKind.MESSAGES)
    return (
        row("requests to a balancer", requests, Unit.PER_S, carried_by=CLIENT_CONNECTION),
        row(
            "one tenant's at a balancer, mean",
            tenant,
            Unit.PER_S,
            carried_by=find_mechanism(TENANT_QUOTAS).carried_by,
            mechanism=TENANT_QUOTAS,
        ),
    )
