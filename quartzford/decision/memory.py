"""What a balancer knows, taken out of it for its successor and put into one that has just started.

Two processes during a replacement are one balancer. The one that hands over sends no more to cold servers:
their budgets, as they stand, are the successor's. The retry budget is divided. A keyed request's window is
not handed over: it stays with the request, and that with the process that took it.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Protocol

from quartzford.decision import interface as io
from quartzford.decision.admission import STARTUP_MS, Admission
from quartzford.decision.endpoint_set import EndpointSet
from quartzford.decision.estimates import Rate
from quartzford.decision.latency import LatencyEstimates
from quartzford.decision.outlier_ejection import EJECT_ABOVE, EJECT_MS
from quartzford.decision.server import Server


class Learner(Protocol):
    """A balancer, as far as it learns."""

    endpoints: EndpointSet
    admission: Admission
    latency: LatencyEstimates
    classes: dict[str, io.ServiceClass]
    retry_budget: float
    now: float


def remember(balancer: Learner) -> io.LearnedState:
    """All that has been learnt, at this instant; half of the retry budget."""
    endpoints, admission = balancer.endpoints, balancer.admission
    endpoints.slow_start.refill(balancer.now)
    return io.LearnedState(
        servers=tuple(_server(endpoints, server) for server in endpoints.ready),
        by_hand=tuple(endpoints.in_maintenance),
        back=dict(endpoints.maintenance_ended),
        arrivals=_rate(endpoints.traffic.arrivals),
        answers=_rate(endpoints.traffic.answers),
        usual=dict(balancer.latency.typical),
        peaks=tuple(balancer.latency.peaks.pairs),
        retry_budget=balancer.retry_budget / 2,
        tenants={name: _rate(rate) for name, rate in admission.rates.items()},
        ends=admission.ends,
        good=admission.good,
        refused=admission.refused,
        shed=admission.shed,
        shed_ms=max(0.0, admission.shed_ms),
        marginal=admission.marginal,
        offers=tuple(admission.offers),
    )


def recall(balancer: Learner, memory: io.LearnedState) -> None:
    """Put it into a balancer that has the list; servers that either does not know stay as they are."""
    endpoints, admission, now = balancer.endpoints, balancer.admission, balancer.now
    endpoints.maintenance_ended.update(memory.back)
    for name in memory.by_hand:
        endpoints.set_maintenance(name, True)
    endpoints.restore_working_set([told.name for told in memory.servers])
    rows = {}
    for told in memory.servers:
        server = endpoints.servers.get(told.name)
        if server is None or server.slot < 0 or server.entry.started_ms != told.started_ms:
            continue
        rows[server.slot] = (told.p, told.cost, told.latency, told.report)
        endpoints.ejection.set_failing(server, told.failing)
        server.ejections, server.ejected_until = told.ejections, told.ejected_until
        if told.suspect:  # what was out at it stays with the process before: passed over for a while
            server.ejected_until = max(server.ejected_until, now + EJECT_MS)
        if server.failing > EJECT_ABOVE or server.ejected_until > now:
            endpoints.ejection.unhealthy[server] = None
        server.tokens, server.tokens_ms = told.tokens, min(told.tokens_ms, now)
        server.cold_from = min(told.cold_from, now)
        if server.cold_from > 0:
            endpoints.slow_start.cold[server] = None
    endpoints.shares.recall(rows)
    endpoints.traffic.arrivals = _read(memory.arrivals, now)
    endpoints.traffic.answers = _read(memory.answers, now)
    balancer.latency.restore(now, memory.usual, memory.peaks)
    balancer.retry_budget = min(10.0, memory.retry_budget)
    admission.rates.update(
        {
            name: _read(rate, now)
            for name, rate in memory.tenants.items()
            if name in admission.quota or not name
        }
    )
    admission.ends, admission.good, admission.refused = memory.ends, memory.good, memory.refused
    admission.shed, admission.marginal = memory.shed, memory.marginal
    admission.shed_ms = min(memory.shed_ms, now)
    if memory.ends > 0:
        admission.busy_since_ms = now - STARTUP_MS  # it is no start for what was learnt
    admission.offers.extend(offer for offer in memory.offers if offer[1] in balancer.classes)


def rebase(memory: io.LearnedState, by_ms: float) -> io.LearnedState:
    """The same memory with its moments on another clock's scale, which is ahead by so many milliseconds.

    0 stands for never, or long ago, on either scale.
    """
    return replace(
        memory,
        servers=tuple(_rebase_server(server, by_ms) for server in memory.servers),
        back={name: _rebase_moment(at, by_ms) for name, at in memory.back.items()},
        arrivals=_rebase_rate(memory.arrivals, by_ms),
        answers=_rebase_rate(memory.answers, by_ms),
        peaks=tuple((_rebase_moment(at, by_ms), latency) for at, latency in memory.peaks),
        tenants={name: _rebase_rate(rate, by_ms) for name, rate in memory.tenants.items()},
        shed_ms=_rebase_moment(memory.shed_ms, by_ms),
    )


def _rebase_server(server: io.LearnedEndpoint, by_ms: float) -> io.LearnedEndpoint:
    return replace(
        server,
        ejected_until=_rebase_moment(server.ejected_until, by_ms),
        tokens_ms=_rebase_moment(server.tokens_ms, by_ms),
        cold_from=_rebase_moment(server.cold_from, by_ms),
    )


def _rebase_rate(rate: io.LearnedRate, by_ms: float) -> io.LearnedRate:
    return replace(rate, start=_rebase_moment(rate.start, by_ms), last=_rebase_moment(rate.last, by_ms))


def _rebase_moment(at_ms: float, by_ms: float) -> float:
    return max(0.0, at_ms + by_ms) if at_ms > 0.0 else at_ms


def _server(endpoints: EndpointSet, server: Server) -> io.LearnedEndpoint:
    shares, at = endpoints.shares, server.slot
    return io.LearnedEndpoint(
        server.entry.server,
        server.entry.started_ms,
        max(0.0, float(shares.p[at])),
        float(shares.cost[at]) if shares.known else 0.0,
        float(shares.latency[at]),
        float(shares.report[at]),
        min(1.0, max(0.0, server.failing)),
        server.ejections,
        max(0.0, server.ejected_until),
        endpoints.responsiveness.is_suspect(endpoints.now, server),
        server.tokens,
        max(0.0, server.tokens_ms),
        server.cold_from,
    )


def _rate(rate: Rate) -> io.LearnedRate:
    return io.LearnedRate(rate.start, rate.last, rate.value) if rate.value else io.LearnedRate()


def _read(memory: io.LearnedRate, now: float) -> Rate:
    rate = Rate()
    if memory.value:
        rate.start, rate.last, rate.value = min(memory.start, now), min(memory.last, now), memory.value
    return rate
