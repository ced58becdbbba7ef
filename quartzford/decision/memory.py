"""Exports a balancer's learned state for its successor, and restores it in a balancer that has just started.

During a replacement, predecessor and successor together count as one balancer. After the handover the
predecessor sends no more requests to cold servers: the successor takes over their slow-start budgets as they
are. The retry budget is divided between the two. The retry window of a request with an idempotency key is not
handed over: the request stays with the process that received it.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Protocol

from quartzford.decision import interface as io
from quartzford.decision.admission import STARTUP_MS, Admission, Offer
from quartzford.decision.automaton import LearnedRow
from quartzford.decision.endpoint_set import EndpointSet
from quartzford.decision.estimates import Rate
from quartzford.decision.latency import LatencyEstimates
from quartzford.decision.outlier_ejection import EJECT_ABOVE_FAILURE_RATE, MIN_EJECTION_MS
from quartzford.decision.server import Server

MAX_RETRY_BUDGET = 10.0


class LearnedStateHolder(Protocol):
    """The parts of a balancer that hold its learned state."""

    endpoints: EndpointSet
    admission: Admission
    latency: LatencyEstimates
    classes: dict[str, io.ServiceClass]
    retry_budget: float
    now: float


def export_learned_state(balancer: LearnedStateHolder) -> io.LearnedState:
    """Return the present learned state, with half of the retry budget."""
    endpoints = balancer.endpoints
    admission = balancer.admission
    endpoints.slow_start.refill(balancer.now)
    return io.LearnedState(
        servers=tuple(_export_server(endpoints, server) for server in endpoints.ready),
        in_maintenance=tuple(endpoints.in_maintenance),
        maintenance_ended=dict(endpoints.maintenance_ended),
        arrivals=_export_rate(endpoints.traffic.arrivals),
        answers=_export_rate(endpoints.traffic.answers),
        typical_latencies=dict(balancer.latency.typical_latencies),
        peaks=tuple(balancer.latency.peaks.candidates),
        retry_budget=balancer.retry_budget / 2,
        tenants={name: _export_rate(rate) for name, rate in admission.tenant_rates.items()},
        completed_work=admission.completed_work,
        in_time_work=admission.in_time_work,
        shed_work=admission.shed_work,
        shed_share=admission.shed_share,
        decayed_ms=max(0.0, admission.decayed_ms),
        marginal_weight=admission.marginal_weight,
        offers=tuple(admission.offers),
    )


def restore_learned_state(balancer: LearnedStateHolder, state: io.LearnedState) -> None:
    """Restore a predecessor's state in a balancer that already has the endpoint list.

    Servers that are missing in the state or in the list are left unchanged.
    """
    endpoints = balancer.endpoints
    now = balancer.now
    endpoints.maintenance_ended.update(state.maintenance_ended)
    for name in state.in_maintenance:
        endpoints.set_maintenance(name, True)
    endpoints.restore_working_set([learned.name for learned in state.servers])
    _restore_servers(endpoints, state.servers, now)
    endpoints.traffic.arrivals = _restore_rate(state.arrivals, now)
    endpoints.traffic.answers = _restore_rate(state.answers, now)
    balancer.latency.restore(now, state.typical_latencies, state.peaks)
    balancer.retry_budget = min(MAX_RETRY_BUDGET, state.retry_budget)
    _restore_admission(balancer.admission, state, now)
    offers = (Offer(*offer) for offer in state.offers if offer[1] in balancer.classes)
    balancer.admission.offers.extend(offers)


def _restore_servers(endpoints: EndpointSet, servers: tuple[io.LearnedEndpoint, ...], now: float) -> None:
    rows = {}
    for learned in servers:
        server = endpoints.servers.get(learned.name)
        if server is None or server.slot < 0 or server.entry.started_ms != learned.started_ms:
            continue
        rows[server.slot] = LearnedRow(learned.p, learned.cost, learned.latency, learned.report)
        _restore_server(endpoints, server, learned, now)
    endpoints.shares.restore(rows)


def _restore_server(endpoints: EndpointSet, server: Server, learned: io.LearnedEndpoint, now: float) -> None:
    ejection = endpoints.ejection
    ejection.set_failure_rate(server, learned.failure_rate)
    server.ejections = learned.ejections
    server.ejected_until = learned.ejected_until
    if learned.suspect:  # the attempts that show it stay with the predecessor, so it is ejected for a while
        server.ejected_until = max(server.ejected_until, now + MIN_EJECTION_MS)
    if server.failure_rate > EJECT_ABOVE_FAILURE_RATE or server.ejected_until > now:
        ejection.unhealthy[server] = None
    server.tokens = learned.tokens
    server.tokens_ms = min(learned.tokens_ms, now)
    endpoints.slow_start.begin_slow_start(server, min(learned.slow_start_from_ms, now))


def _restore_admission(admission: Admission, state: io.LearnedState, now: float) -> None:
    for tenant, rate in state.tenants.items():
        if tenant in admission.quota_per_ms or not tenant:
            admission.tenant_rates[tenant] = _restore_rate(rate, now)
    admission.completed_work = state.completed_work
    admission.in_time_work = state.in_time_work
    admission.shed_work = state.shed_work
    admission.shed_share = state.shed_share
    admission.marginal_weight = state.marginal_weight
    admission.decayed_ms = min(state.decayed_ms, now)
    if state.completed_work > 0:
        admission.busy_since_ms = (
            now - STARTUP_MS
        )  # the restored counts are reliable, unlike those of a fresh start


def shift_times(state: io.LearnedState, by_ms: float) -> io.LearnedState:
    """Return the state with its moments converted to another clock, which is ahead by by_ms milliseconds.

    The moment 0 stands for never, or long ago, and stays 0.
    """
    return replace(
        state,
        servers=tuple(_shift_server(server, by_ms) for server in state.servers),
        maintenance_ended={name: _shift_moment(at, by_ms) for name, at in state.maintenance_ended.items()},
        arrivals=_shift_rate(state.arrivals, by_ms),
        answers=_shift_rate(state.answers, by_ms),
        peaks=tuple((_shift_moment(at, by_ms), latency) for at, latency in state.peaks),
        tenants={name: _shift_rate(rate, by_ms) for name, rate in state.tenants.items()},
        decayed_ms=_shift_moment(state.decayed_ms, by_ms),
    )


def _shift_server(server: io.LearnedEndpoint, by_ms: float) -> io.LearnedEndpoint:
    return replace(
        server,
        ejected_until=_shift_moment(server.ejected_until, by_ms),
        tokens_ms=_shift_moment(server.tokens_ms, by_ms),
        slow_start_from_ms=_shift_moment(server.slow_start_from_ms, by_ms),
    )


def _shift_rate(rate: io.LearnedRate, by_ms: float) -> io.LearnedRate:
    return replace(rate, start=_shift_moment(rate.start, by_ms), last=_shift_moment(rate.last, by_ms))


def _shift_moment(at_ms: float, by_ms: float) -> float:
    return max(0.0, at_ms + by_ms) if at_ms > 0.0 else at_ms


def _export_server(endpoints: EndpointSet, server: Server) -> io.LearnedEndpoint:
    shares = endpoints.shares
    slot = server.slot
    return io.LearnedEndpoint(
        name=server.entry.server,
        started_ms=server.entry.started_ms,
        p=max(0.0, float(shares.p[slot])),
        cost=float(shares.cost[slot]) if shares.has_costs else 0.0,
        latency=float(shares.latency[slot]),
        report=float(shares.reported_load[slot]),
        failure_rate=min(1.0, max(0.0, server.failure_rate)),
        ejections=server.ejections,
        ejected_until=max(0.0, server.ejected_until),
        suspect=endpoints.responsiveness.is_suspect(endpoints.now, server),
        tokens=server.tokens,
        tokens_ms=max(0.0, server.tokens_ms),
        slow_start_from_ms=server.slow_start_from_ms,
    )


def _export_rate(rate: Rate) -> io.LearnedRate:
    return io.LearnedRate(rate.start, rate.last, rate.value) if rate.value else io.LearnedRate()


def _restore_rate(learned: io.LearnedRate, now: float) -> Rate:
    rate = Rate()
    if learned.value:
        rate.start = min(learned.start, now)
        rate.last = min(learned.last, now)
        rate.value = learned.value
    return rate
