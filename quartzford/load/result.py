"""The result of a run, merged from its workers' records: a map for JSON and text for a terminal. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from quartzford.load.options import LoadOptions
from quartzford.load.record import Record, histogram_summary, percentile_curve

RESULT_VERSION = 1
LATENCY_PERCENTILES = ("p50", "p90", "p99", "p99.9", "max")
LATENESS_PERCENTILES = ("p50", "p99", "max")


@dataclass(frozen=True, slots=True)
class WorkerResult:
    """The measurements of one worker.

    record: the value that Record.dump() returned. starved: the reason why the worker could not open
    connections; empty if it could. sent: number of requests sent. in_flight: requests without an outcome at
    the end of the run. cpu_s: processor time of the worker in seconds.
    """

    record: dict[str, Any]
    starved: str
    sent: int
    in_flight: int
    cpu_s: float


@dataclass(frozen=True, slots=True)
class RunResults:
    """The results of all workers of a run.

    seconds: time from the start to the last worker's result. interrupted: whether SIGINT ended the run.
    silent_workers: number of workers that returned no result.
    """

    workers: Sequence[WorkerResult]
    seconds: float
    interrupted: bool = False
    silent_workers: int = 0


def summary(load: LoadOptions, run: RunResults) -> dict[str, Any]:
    """Return the result of a run as a JSON-serializable map, with the workers' records merged.

    docs/load.md describes its keys.
    """
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
        "starved": _starvation_reason(run),
        "late": _is_late(load, record),
        "trouble": _reliability_problems(load, run, record),
        **_latencies(record),
        "ends": dict(sorted(record.outcomes.items())),
        "tries": dict(sorted(record.attempt_outcomes.items())),
        "goodput": {name: round(value, 4) for name, value in record.goodput().items()},
        "cpu_s": [round(worker.cpu_s, 2) for worker in run.workers],
        "by_second": record.seconds(),
        "curve": _by_class(record, record.latency, percentile_curve),
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
    """Apply describe to the merged histogram (key "all") and to the histogram of each request class."""
    described = {"all": describe(record.complete(histograms))}
    return described | {name: describe(one) for name, one in sorted(histograms.items())}


def _starvation_reason(run: RunResults) -> str:
    return next((worker.starved for worker in run.workers if worker.starved), "")


def _is_late(load: LoadOptions, record: Record) -> bool:
    lateness = histogram_summary(record.lateness)
    return bool(lateness) and lateness["p99"] > load.max_lateness_ms


def _reliability_problems(load: LoadOptions, run: RunResults, record: Record) -> list[str]:
    """Return the reasons why the measurements are unreliable; empty if they are reliable."""
    problems = [_starvation_reason(run)] if _starvation_reason(run) else []
    if _is_late(load, record):
        p99 = histogram_summary(record.lateness)["p99"]
        problems.append(f"the generator was late: p99 {p99:.1f} ms, the limit is {load.max_lateness_ms:g} ms")
    if run.silent_workers:
        problems.append(f"{run.silent_workers} workers gave no result")
    duplicate_count = record.counts["answered twice"]
    if duplicate_count:
        problems.append(f"answered twice: {duplicate_count}")
    return problems


def format_result(result: dict[str, Any]) -> str:
    """Return a result as text of several lines for a terminal."""
    lines = [f"{result['sent']} requests in {result['seconds']:.1f} s, {result['rate']:.0f} ended a second"]
    lines += _latency_lines("latency from the intended send", result["latency_ms"])
    lines += _latency_lines("service time", result["service_ms"])
    lateness = result["lateness_ms"]
    if lateness:
        lines.append(
            f"the generator's own lateness (ms): {_format_percentiles(lateness, LATENESS_PERCENTILES)}"
        )
    lines.append("ends: " + ", ".join(f"{name} {count}" for name, count in result["ends"].items()))
    lines.append("goodput: " + ", ".join(f"{name} {value:.3f}" for name, value in result["goodput"].items()))
    lines += _rule_lines(result["rules"])
    lines += [f"! {text}" for text in result["trouble"]]
    return "\n".join(lines)


def _latency_lines(title: str, by_class: dict[str, dict[str, float]]) -> list[str]:
    return [
        f"{title}, {name} (ms): {_format_percentiles(row, LATENCY_PERCENTILES)}  of {row['count']}"
        for name, row in by_class.items()
        if row
    ]


def _format_percentiles(row: dict[str, float], percentiles: tuple[str, ...]) -> str:
    return "  ".join(f"{p} {row[p]:.2f}" for p in percentiles)


def _rule_lines(verdict: dict[str, Any]) -> list[str]:
    """Return the lines with the breaches of each rule; empty if no servers' account was read."""
    if not verdict:
        return []
    broken = ", ".join(f"{name} {count}" for name, count in verdict["rules"].items())
    return [
        f"books: {verdict['runs']} runs at the nodos, {verdict['drains']} drains, latest send after one"
        f" {verdict['latest_send_after_drain_ms']} ms, cold lives {verdict['cold']}",
        f"rules: {broken}",
    ]
