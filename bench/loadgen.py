"""The accuracy and the reach of the load generator: python -m bench.loadgen [--quick] [--json FILE].

Its percentiles against servers that log the delays they made, the rates that it reaches against a bare
responder, its lateness at 2,600 and 13,000 requests a second, and with --table the balancer itself before 2,
24 and 97 upstreams, as a ratio to the bare responder in the same run.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace
from typing import Any, NamedTuple

from bench.common import ROOT, cpu_seconds, healthy_fleet, platform_run, report, saturate
from quartzford.load.clients import SINGLE_ATTEMPT, RequestClass
from quartzford.load.options import LoadOptions, Target
from quartzford.load.plan import make_trace
from quartzford.load.run import play

REQUEST_CLASSES = (RequestClass("consulta", deadline_s=4.0, latency_objective_s=1.0),)
DELAYS = ("constant:20", "two:5,50,0.05", "exponential:20")  # of the servers that log them
PERCENTILES = (50, 99, 99.9)
ERROR_SHARE, ERROR_MS = 0.01, 0.5  # of the logged value, and on top of that
LATE_MS = 5.0
RUNS, WARM_UP_S = 3, 0.5
OPEN_CONNECTIONS = 200
RATES = (4_000, 6_000, 8_000, 10_000, 12_000, 16_000)  # of each worker
ENDED_SHARE = 0.97
BASE_RATE = 2_600
REPLAYED_RATE, REPLAY_WORKERS = 13_000, 4
UPSTREAMS = (2, 24, 97)
LOADS = (0.5, 0.8)  # of the rate that one core answers
TABLE_S = 6.0


@contextmanager
def responder(spec: str, delays: list[float] | None = None) -> Iterator[Target]:
    """A server of known delay. delays: gets, as the block ends, those that it made in seconds, in order."""
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.delay", spec], cwd=ROOT, stdout=subprocess.PIPE
    )
    assert process.stdout is not None
    try:
        yield Target("127.0.0.1", int(process.stdout.readline()))
    finally:
        process.terminate()
        text = process.stdout.read()
        process.wait()
        if delays is not None:
            delays.extend(json.loads(text))


def open_loop(target: Target, rate: float, seconds: float, workers: int) -> LoadOptions:
    """Requests at a constant mean rate a second."""
    return LoadOptions(
        target,
        f"constant:{rate:.0f}",
        seconds,
        workers=workers,
        request_classes=REQUEST_CLASSES,
        behaviour=SINGLE_ATTEMPT,
    )


class Comparison(NamedTuple):
    """A percentile of the same requests, in ms."""

    logged: float  # by the server
    measured: float  # by the generator

    @property
    def error(self) -> float:
        """Measured less logged."""
        return self.measured - self.logged


def compare_once(spec: str, seconds: float) -> dict[str, Comparison]:
    """One run against a server of known delay, by percentile. RuntimeError: their requests differ."""
    delays: list[float] = []
    # Connections are opened beforehand: what a client spends on opening one is no delay of the server's.
    with responder(spec, delays) as target:
        target = replace(target, initial_connections=OPEN_CONNECTIONS)
        load = open_loop(target, 1500, seconds + WARM_UP_S, 1)
        result = play(replace(load, warm_up_s=WARM_UP_S))
    ordered = sorted(delays[result["warm_up"] :])
    if len(ordered) != result["ended"]:
        raise RuntimeError(f"{len(ordered)} answered, {result['ended']} measured")
    latency = result["latency_ms"]["all"]
    comparisons = {}
    for percentile in PERCENTILES:
        rank = max(1, int(percentile / 100 * len(ordered) + 0.5))  # as HdrHistogram has it
        name = f"p{percentile:g}"
        comparisons[name] = Comparison(1000 * ordered[rank - 1], latency[name])
    return comparisons


def agreement(seconds: float) -> list[dict[str, Any]]:
    """Three runs against each server; a row for each percentile, of the run with the median error."""
    rows = []
    for spec in DELAYS:
        runs = [compare_once(spec, seconds) for _ in range(RUNS)]
        for percentile in PERCENTILES:
            name = f"p{percentile:g}"
            ordered = sorted((run[name] for run in runs), key=lambda one: (one.error, one))
            median = ordered[RUNS // 2]
            bound = ERROR_SHARE * median.logged + ERROR_MS
            rows.append(
                {
                    "server": spec,
                    "percentile": name,
                    "known_ms": round(median.logged, 3),
                    "measured_ms": median.measured,
                    "off_ms": round(median.error, 3),
                    "margin_ms": round(bound, 3),
                    "kept": abs(median.error) <= bound,
                    "all_off_ms": [round(one.error, 3) for one in ordered],
                }
            )
    return rows


def reach(workers: int, seconds: float, rates: Sequence[int]) -> dict[str, float]:
    """The highest of these rates at which the generator was not late; rates are of each worker."""
    best: dict[str, float] = {"workers": workers, "rate": 0.0}
    with responder("none") as target:
        for rate in rates:
            result = play(open_loop(target, rate * workers, seconds, workers))
            lateness = result["lateness_ms"]["p99"]
            if lateness > LATE_MS or result["ended"] < ENDED_SHARE * result["sent"]:
                break
            best = {
                "workers": workers,
                "rate": rate * workers,
                "late_p99_ms": lateness,
                "p99_ms": result["latency_ms"]["all"]["p99"],
            }
    return best


def replayed(load: LoadOptions, factor: float) -> LoadOptions:
    """A trace of this load for as many seconds, replayed faster by a factor."""
    trace = make_trace(replace(load, seconds=load.seconds * factor))
    return replace(load, rows=tuple(trace), speed=factor)


def lateness(seconds: float) -> list[dict[str, Any]]:
    """2,600/s from one worker, and a trace of it replayed five times as fast over four."""
    rows = []
    for rate, workers in ((BASE_RATE, 1), (REPLAYED_RATE, REPLAY_WORKERS)):
        with responder("constant:5") as target:
            load = open_loop(target, BASE_RATE, seconds, workers)
            result = play(replayed(load, rate / BASE_RATE) if rate > BASE_RATE else load)
        late = result["lateness_ms"]
        rows.append(
            {
                "rate": rate,
                "workers": workers,
                "ended": result["ended"],
                "sent": result["sent"],
                "late_p50_ms": late["p50"],
                "late_p99_ms": late["p99"],
                "late_max_ms": late["max"],
                "latency_p99_ms": result["latency_ms"]["all"]["p99"],
                "said_to_be_late": result["late"],
            }
        )
    return rows


# ---- the balancer itself


@contextmanager
def balancer(upstreams: int) -> Iterator[tuple[Target, int]]:
    """A balancer before so many healthy upstreams: where it listens, and its process id."""
    with healthy_fleet(upstreams) as known, platform_run(ROOT, *known) as (port, pid):
        yield Target("127.0.0.1", port), pid


def at_load(target: Target, rate: float, seconds: float) -> dict[str, Any]:
    """The latency of an open loop at a rate, and what was served."""
    result = play(open_loop(target, rate, seconds, 2))
    latency = result["latency_ms"]["all"]
    return {
        "p50_ms": latency["p50"],
        "p99_ms": latency["p99"],
        "served": result["ends"].get("consulta served", 0),
        "ended": result["ended"],
        "late": result["late"],
    }


def table(seconds: float) -> list[dict[str, Any]]:
    """Closed loop for what one core answers; then p50 and p99 of the open loop at 50% and 80% of that."""
    with responder("none") as target:
        bare = saturate(target, seconds)["rate"]
    rows: list[dict[str, Any]] = [{"what": "bare responder", "rate": round(bare)}]
    for upstreams in UPSTREAMS:
        with balancer(upstreams) as (target, pid):
            saturate(target, 1.0)
            before = cpu_seconds(pid)
            rate = saturate(target, seconds)["rate"]
            cores = (cpu_seconds(pid) - before) / seconds
            row: dict[str, Any] = {
                "what": f"balancer, {upstreams} nodos",
                "rate": round(rate),
                "ratio": round(rate / bare, 4),
                "cores": round(cores, 2),
            }
            for share in LOADS:
                row[f"at_{100 * share:.0f}%"] = at_load(target, share * rate, seconds)
        rows.append(row)
    return rows


# ---- the run


def show_agreement(rows: list[dict[str, Any]]) -> None:
    """Print the rows of `agreement`."""
    for row in rows:
        values = (
            f"known {row['known_ms']:.3f} ms, measured {row['measured_ms']:.3f}, off {row['off_ms']:+.3f}"
        )
        kept = "kept" if row["kept"] else "NOT KEPT"
        print(
            f"  {row['server']} {row['percentile']}: {values} of {row['margin_ms']:.3f} allowed: {kept}"
            f" (all: {row['all_off_ms']})"
        )


def show_lateness(rows: list[dict[str, Any]]) -> None:
    """Print the rows of `lateness`."""
    for row in rows:
        print(
            f"  {row['rate']}/s over {row['workers']}: lateness p50 {row['late_p50_ms']:.3f} p99 "
            f"{row['late_p99_ms']:.3f} max {row['late_max_ms']:.3f} ms, ended {row['ended']} of "
            f"{row['sent']}{', said to be late' if row['said_to_be_late'] else ''}"
        )


def measure(quick: bool) -> dict[str, Any]:
    """Measure the generator, printing the rows; the result."""
    seconds = 2.0 if quick else 20.0
    result: dict[str, Any] = {"agreement": agreement(1.0 if quick else 10.0)}
    show_agreement(result["agreement"])
    result["lateness"] = lateness(seconds)
    show_lateness(result["lateness"])
    with responder("none") as target:
        result["bare"] = saturate(target, min(seconds, 4.0))["rate"]
    print(f"  bare responder, closed loop: {result['bare']:.0f}/s")
    if quick:
        result["reach"] = [reach(1, 1.0, RATES[::2])]
    else:
        result["reach"] = [reach(workers, 5.0, RATES) for workers in (1, 4)]
    for row in result["reach"]:
        share = row["rate"] / result["bare"]
        print(f"  {row['workers']} workers reach {row['rate']}/s ({share:.2f} of the bare responder)")
    return result


def main() -> int:
    """Measure, print and report; the exit status is 1 where the generator erred or was late unsaid."""
    parser = argparse.ArgumentParser(prog="python -m bench.loadgen")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--table", action="store_true", help="measure the balancer too (2 minutes)")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    result = measure(options.quick)
    if options.table:
        result["table"] = table(TABLE_S)
        for row in result["table"]:
            print(f"  {row}")
    report(result, options.json)
    accurate = all(row["kept"] for row in result["agreement"])
    punctual = all(row["late_p99_ms"] < LATE_MS or row["said_to_be_late"] for row in result["lateness"])
    complete = all(row["ended"] == row["sent"] for row in result["lateness"])
    return 0 if accurate and punctual and complete else 1


if __name__ == "__main__":
    sys.exit(main())
