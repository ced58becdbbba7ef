"""The figures of a run of bench.extproc, from the records of callers, upstreams and balancer. No I/O."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Sequence
from itertools import pairwise
from typing import Any, NamedTuple

from bench.common import quantile
from bench.extproc_processes import CallerResult, Plan
from quartzford.load.reconciliation import sends_after_drain, slow_start_breaches
from standins.caller import Attempt, Exchange
from standins.site import MIX, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_S

PERCENTILES = (50, 99, 99.9)
REASONS = 6  # the most frequent ones
LOG_LINES = 5  # the last ones
REFUSALS = ([503], [429])


class Cores(NamedTuple):
    """The cores that the balancer's processes used."""

    decider: float
    workers: list[float]


class Run(NamedTuple):
    """What a run left behind.

    since: of the measured requests (monotonic s). journal: what the fleet saw. status, log: the balancer's.
    """

    plan: Plan
    since: float
    results: list[CallerResult]
    journal: dict[str, Any]
    cores: Cores
    status: int
    log: str

    def exchanges(self) -> list[Exchange]:
        """All requests of all callers."""
        return [exchange for result in self.results for exchange in result.exchanges]

    def measured(self) -> list[Exchange]:
        """Those that were due after the warm-up."""
        return [exchange for exchange in self.exchanges() if exchange.intended >= self.since]


def percentiles_ms(seconds: Iterable[float]) -> dict[str, float]:
    """The percentiles of times, in ms."""
    values = [value * 1000 for value in seconds]
    return {f"p{q}": round(quantile(values, q / 100), 2) for q in PERCENTILES}


def attempts_of(exchanges: Sequence[Exchange]) -> list[Attempt]:
    """All their attempts."""
    return [attempt for exchange in exchanges for attempt in exchange.attempts]


def late_writes(log: str) -> int:
    """Decisions that the workers gave back unwritten, by the balancer's own summaries."""
    return sum(int(count) for count in re.findall(r"written too late[^0-9]*(\d+)", log))


def answers_by_class(measured: list[Exchange]) -> dict[str, Any]:
    """By class how many requests there were and how often each status came, without dropped streams."""
    classes = {}
    for name, _ in MIX:
        stayed = [one for one in measured if one.service_class == name and not one.dropped]
        statuses = sorted({status for one in stayed for status in one.statuses})
        answers = {str(status): sum(one.statuses == [status] for one in stayed) for status in statuses}
        classes[name] = {"asked": len(stayed), "answers": answers}
    return classes


class DrainFigures(NamedTuple):
    """Sends and decisions after drains began; the latest ones in seconds after that."""

    breaches: int
    read_late: int  # breaches by the time at which the decision was read
    latest_send_s: float
    latest_decision_read_s: float


def drain_figures(journal: dict[str, Any], attempts: list[Attempt]) -> DrainFigures:
    """Attempts at draining upstreams. One counts by its first byte: a connection that failed sent none."""
    drains = [(address, since, until) for _, address, since, until in journal["drains"]]
    sent = [attempt for attempt in attempts if attempt.at >= 0]
    breaches, latest_send = sends_after_drain(drains, ((a.address, a.at) for a in sent))
    read_late, _ = sends_after_drain(drains, ((a.address, a.decided_at) for a in sent))
    _, latest_read = sends_after_drain(drains, ((a.address, a.decided_at) for a in attempts))
    return DrainFigures(breaches, read_late, latest_send, latest_read)


def refused_though_run(exchanges: list[Exchange], journal: dict[str, Any]) -> int:
    """Requests that may not run again, were refused, and had run."""
    ran = {identity for _, identity, *_ in journal["runs"]}
    return sum(
        one.service_class != "consulta"
        and one.statuses in REFUSALS
        and one.identity in ran
        and not one.dropped
        for one in exchanges
    )


def overlapping_attempts(exchanges: list[Exchange]) -> int:
    """Attempts whose decision came before the one before them had ended."""
    return sum(
        later.decided_at < sooner.ended
        for exchange in exchanges
        for sooner, later in pairwise(exchange.attempts)
    )


def rule_breaches(run: Run, drain_breaches: int, cold_breaches: float) -> dict[str, float]:
    """How often each rule was broken."""
    exchanges, journal = run.exchanges(), run.journal
    return {
        "not answered exactly once": sum(len(one.statuses) != 1 for one in exchanges if not one.dropped),
        "cobros run twice": journal["twice"]["cobro"],
        "reservas with two effects": journal["effects_twice"],
        "refused though it ran (cobro, reserva)": refused_though_run(exchanges, journal),
        "attempts of one request at once": journal["overlapping"] + overlapping_attempts(exchanges),
        "drain breaches": drain_breaches,
        "cold breaches": cold_breaches,
        "callers broken": sum(len(result.errors) for result in run.results),
        "balancer's exit": run.status,
    }


def latency_figures(measured: list[Exchange]) -> dict[str, Any]:
    """Times of decisions, from the intended send, and of all that the external processor adds."""
    decided = [one for one in measured if one.decision_s >= 0]
    added = [one.decision_s + one.report_s for one in decided if not one.dropped]
    return {
        "decision_ms": percentiles_ms(one.decision_s for one in decided),
        "added_ms": percentiles_ms(added),
    }


def attempt_figures(attempts: list[Attempt]) -> dict[str, Any]:
    """Times from a question's writing to the decision's reading, and from there to the send."""
    sent = [one for one in attempts if one.at >= 0]
    return {
        "answer_ms": percentiles_ms(one.decided_at - one.requested_at for one in attempts),
        "caller_ms": percentiles_ms(one.at - one.decided_at for one in sent),
    }


def rate_figures(run: Run, measured: list[Exchange]) -> dict[str, Any]:
    """Rates a second over the time in which requests were due, and what the callers themselves did."""
    attempts = len(attempts_of(measured))
    last = max((one.intended for one in measured), default=run.since)
    seconds = max(last - run.since, 1e-9)
    return {
        "rate": round(len(measured) / seconds, 1),
        "decisions_s": round(attempts / seconds, 1),
        "attempts_per_request": round(attempts / max(1, len(measured)), 3),
        "generator_late_p99_ms": round(max(result.late_p99_s for result in run.results) * 1000, 1),
        "caller_cores": [round(result.cores, 2) for result in run.results],
    }


def core_figures(cores: Cores) -> dict[str, Any]:
    """The cores that the balancer used."""
    return {
        "decider": round(cores.decider, 2),
        "workers": [round(worker, 2) for worker in cores.workers],
        "all": round(cores.decider + sum(cores.workers), 2),
    }


def figures(run: Run) -> dict[str, Any]:
    """The result of a run. kept: no rule was broken."""
    exchanges, measured = run.exchanges(), run.measured()
    attempts = attempts_of(exchanges)
    drains = drain_figures(run.journal, attempts)
    cold = slow_start_breaches(
        run.journal["births"], run.journal["arrivals"], OVERLOAD_WINDOW_S, OVERLOAD_MULTIPLE
    )
    rules = rule_breaches(run, drains.breaches, cold["over"])
    not_served = (one for one in exchanges if not one.dropped and one.statuses != [200])
    return {
        "plan": run.plan.row(),
        **rate_figures(run, measured),
        **latency_figures(measured),
        "cores": core_figures(run.cores),
        "classes": answers_by_class(measured),
        "reasons": Counter(f"{one.statuses} {one.reason}" for one in not_served).most_common(REASONS),
        "dropped": sum(bool(one.dropped) for one in exchanges),
        "faults": sum(what != "cold" for _, what, _ in run.journal["events"]),
        "cold": cold,
        "latest_send_after_drain_ms": round(drains.latest_send_s * 1000, 1),
        "latest_decision_read_after_drain_ms": round(drains.latest_decision_read_s * 1000, 1),
        "drain_breaches_read_late": drains.read_late,
        **attempt_figures(attempts_of(measured)),
        "expired_unsent": sum(one.outcome == "expired" for one in attempts),
        "written_too_late": late_writes(run.log),
        "rules": rules,
        "kept": not any(rules.values()),
        "log": [line for line in run.log.splitlines() if not line.startswith("summary")][-LOG_LINES:],
    }
