"""Rows of one upstream, as the balancers use it. No I/O."""

from __future__ import annotations

from functools import partial

from bench.capacity_mechanisms import REQUEST_PATH, UPSTREAM_CONNECTIONS, find_mechanism
from bench.capacity_model import NONE, Model
from bench.capacity_rows import NOT_GIVEN, NOT_OURS, UNKNOWN, Bound, Row, RowKind, Unit, from_target

IDLE_TIMEOUT = Bound(None, "`connIdleMs`, as set")

_row = partial(Row, "upstream")


def upstream(model: Model) -> tuple[Row, ...]:
    """One upstream, as the balancers use it."""
    target = model.target
    requests = from_target(target.requests_per_s / target.upstreams, "peak / upstreams")
    return (
        _row(
            RowKind.STATE,
            "its row at every balancer",
            model.change_bytes(1.0),
            Unit.BYTES,
            carried_by=model.lists_carried_by(),
        ),
        _row(
            RowKind.MESSAGES,
            "requests",
            requests,
            Unit.PER_S,
            carried_by=find_mechanism(REQUEST_PATH).carried_by,
        ),
        *_connections(model),
        _row(RowKind.PROCESSOR_TIME, "its own", UNKNOWN, Unit.CORES, NOT_OURS),
        _row(RowKind.MEMORY, "its own", UNKNOWN, Unit.BYTES, NOT_OURS),
    )


def _connections(model: Model) -> tuple[Row, ...]:
    """Balancers with a connection to one upstream, and how often each of these is used."""
    target = model.target
    balancers_per_upstream = target.balancers / target.upstreams
    derivation = "balancers x upstreams in use / upstreams"
    one_service = from_target(balancers_per_upstream * model.one_service_working_set(), derivation)
    all_services = from_target(balancers_per_upstream * model.all_services_working_sets(), derivation)
    between_requests = from_target(
        model.all_services_working_sets() / model.requests_per_balancer(),
        "upstreams in use / requests of a balancer",
    )
    by_services = f"balancers that use it, {target.services:,} services"
    interval = "then from one request to the next on one of them"
    carried_by = find_mechanism(UPSTREAM_CONNECTIONS).carried_by
    row = partial(_row, RowKind.CONNECTIONS)
    return (
        row("balancers that use it, were all one service", one_service, Unit.NUMBER, NOT_GIVEN, carried_by),
        row(by_services, all_services, Unit.NUMBER, NOT_GIVEN, NONE, UPSTREAM_CONNECTIONS),
        row(interval, between_requests, Unit.SECONDS, IDLE_TIMEOUT, NONE, UPSTREAM_CONNECTIONS),
    )
