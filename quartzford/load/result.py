"""The result of a run, out of the records of its workers: a map for JSON, and text for a terminal. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from quartzford.load.options import LoadOptions
from quartzford.load.record import Record, curve, histogram_summary

RESULT_VERSION = 1
LATENCY_PERCENTILES = ("p50", "p90", "p99", "p99.9", "max")
LATENESS_PERCENTILES = ("p50", "p99", "max")


@dataclass(frozen=True, slots=True)
class WorkerResult:
    """What a worker measured.

    record: as Record.dump() gave it. starved: why it could not open connections; empty: it could. sent:
    requests. in_flight: requests that had not ended. cpu_s: its processor time.
    """

    record: dict[str, Any]
    starved: str
    sent: int
    in_flight: int
    cpu_s: float


@dataclass(frozen=True, slots=True)
class RunResults:
    """What is known of a run at its end.

    seconds: from the start to the last worker's result. interrupted: by SIGINT. silent_workers: those that
    gave no result.
    """

    workers: Sequence[WorkerResult]
    seconds: float
    interrupted: bool = False
    silent_workers: int = 0


def summary(load: LoadOptions, run: RunResults) -> dict[str, Any]:
    """Merge the workers' records into one result, ready for JSON. Its keys are described in docs/load.md."""
    record = Record(load.request_classes)
    for worker in run.workers:
        record.merge(worker.record)
    ended = sum(record.outcomes.values())
    measured_s = max(run.seconds - load.warm_up_s, 1e-9)
    return {
        "version": RESULT_VERSION,
        "seconds": round(run.seconds, 3),
        "sent": sum(worker.sent for worker in run.workers),
        "warm_up": record.counts["warm-up"],
        "ended": ended,
        "rate": round(ended / measured_s, 1),
        "interrupted": run.interrupted,
        "starved": _starved(run),
        "late": _is_late(load, record),
        "trouble": _problems(load, run, record),
        **_latencies(record),
        "ends": dict(sorted(record.outcomes.items())),
        "tries": dict(sorted(record.attempt_outcomes.items())),
        "goodput": {name: round(value, 4) for name, value in record.goodput().items()},
        "cpu_s": [round(worker.cpu_s, 2) for worker in run.workers],
        "by_second": record.seconds(),
        "curve": _by_class(record, record.latency, curve),
        "rules": {},
        "record": record.dump(),
    }


def _latencies(record: Record) -> dict[str, Any]:
    return {
        "lateness_ms": histogram_summary(record.lateness),
        "latency_ms": _by_class(record, record.latency, histogram_summary),
        "service_ms": _by_class(record, record.service, histogram_summary),
    }


def _by_class(record: Record, histograms: dict[str, Any], describe: Any) -> dict[str, Any]:
    """Describe all classes' histograms together, and each one's."""
    described = {"all": describe(record.complete(histograms))}
    return described | {name: describe(one) for name, one in sorted(histograms.items())}


def _starved(run: RunResults) -> str:
    return next((worker.starved for worker in run.workers if worker.starved), "")


def _is_late(load: LoadOptions, record: Record) -> bool:
    lateness = histogram_summary(record.lateness)
    return bool(lateness) and lateness["p99"] > load.max_lateness_ms


def _problems(load: LoadOptions, run: RunResults, record: Record) -> list[str]:
    """Say why the measurements can't be relied on; empty if they can."""
    problems = [_starved(run)] if _starved(run) else []
    if _is_late(load, record):
        p99 = histogram_summary(record.lateness)["p99"]
        problems.append(f"the generator was late: p99 {p99:.1f} ms, {load.max_lateness_ms:g} are allowed")
    if run.silent_workers:
        problems.append(f"{run.silent_workers} workers gave no result")
    twice = record.counts["answered twice"]
    if twice:
        problems.append(f"answered twice: {twice}")
    return problems


def show(result: dict[str, Any]) -> str:
    """Return a result as lines for a terminal."""
    lines = [f"{result['sent']} requests in {result['seconds']:.1f} s, {result['rate']:.0f} ended a second"]
    lines += _latency_lines("latency from the intended send", result["latency_ms"])
    lines += _latency_lines("service time", result["service_ms"])
    lateness = result["lateness_ms"]
    if lateness:
        lines.append(f"the generator's own lateness (ms): {_figures(lateness, LATENESS_PERCENTILES)}")
    lines.append("ends: " + ", ".join(f"{name} {count}" for name, count in result["ends"].items()))
    lines.append("goodput: " + ", ".join(f"{name} {value:.3f}" for name, value in result["goodput"].items()))
    lines += _rule_lines(result["rules"])
    lines += [f"! {text}" for text in result["trouble"]]
    return "\n".join(lines)


def _latency_lines(title: str, by_class: dict[str, dict[str, float]]) -> list[str]:
    return [
        f"{title}, {name} (ms): {_figures(row, LATENCY_PERCENTILES)}  of {row['count']}"
        for name, row in by_class.items()
        if row
    ]


def _figures(row: dict[str, float], percentiles: tuple[str, ...]) -> str:
    return "  ".join(f"{p} {row[p]:.2f}" for p in percentiles)


def _rule_lines(verdict: dict[str, Any]) -> list[str]:
    """Say which rules were broken; nothing where no server's account was read."""
    if not verdict:
        return []
    broken = ", ".join(f"{name} {count}" for name, count in verdict["rules"].items())
    return [
        f"books: {verdict['runs']} runs at the nodos, {verdict['drains']} drains, latest send after one"
        f" {verdict['latest_send_after_drain_ms']} ms, cold lives {verdict['cold']}",
        f"rules: {broken}",
    ]
