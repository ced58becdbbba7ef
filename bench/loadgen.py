"""Is the instrument right? python -m bench.loadgen [--quick] [--json FILE].

Its percentiles against servers that keep a book of the delays they made, the rates that it reaches against a
bare responder, its lateness at 2,600 and 13,000 requests a second, and with --table the balancer itself at 2,
24 and 97 nodos as a ratio to the bare responder in the same run.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

from bench.common import ROOT, cpu_seconds, healthy_fleet, platform_run, report, saturate
from quartzford.load.clients import SINGLE_ATTEMPT, RequestClass
from quartzford.load.options import LoadOptions, Target
from quartzford.load.plan import make_trace
from quartzford.load.run import play

KINDS = (RequestClass("consulta", deadline_s=4.0, latency_objective_s=1.0),)
MARGIN, MARGIN_MS = 0.01, 0.5
LATE_MS = 5.0
RUNS, WARM_S = 3, 0.5
EXPONENTIAL_MS = 20.0
KNOWN = ("constant:20", "two:5,50,0.05", "exponential:20")


@contextmanager
def responder(spec: str, book: list[float] | None = None) -> Iterator[Target]:
    """A server of known delay; at its end its own book of the delays that it made, in order."""
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
        if book is not None:
            book.extend(json.loads(text))


def one_agreement(spec: str, seconds: float) -> dict[str, tuple[float, float]]:
    """Percentile: what the server's book says and what the generator measured, ms, of the same requests."""
    book: list[float] = []
    # Connections stand beforehand: what a client spends on opening one is no delay of the server's.
    with responder(spec, book) as target:
        load = LoadOptions(
            replace(target, initial_connections=200),
            "constant:1500",
            seconds + WARM_S,
            request_classes=KINDS,
            behaviour=SINGLE_ATTEMPT,
            warm_up_s=WARM_S,
        )
        result = play(load)
    delays = sorted(book[result["warm_up"] :])
    if len(delays) != result["ended"]:
        raise RuntimeError(f"{len(delays)} answered, {result['ended']} measured")
    got = result["latency_ms"]["all"]
    # The rank as HdrHistogram has it.
    return {
        f"p{p:g}": (1000 * delays[max(1, int(p / 100 * len(delays) + 0.5)) - 1], got[f"p{p:g}"])
        for p in (50, 99, 99.9)
    }


def agreement(seconds: float) -> list[dict[str, Any]]:
    """Three runs a server; of each percentile the run whose error is the middle one."""
    rows = []
    for spec in KNOWN:
        runs = [one_agreement(spec, seconds) for _ in range(RUNS)]
        for name in ("p50", "p99", "p99.9"):
            offs = sorted((run[name][1] - run[name][0], run[name]) for run in runs)
            off, (known, measured) = offs[RUNS // 2]
            bound = MARGIN * known + MARGIN_MS
            rows.append(
                {
                    "server": spec,
                    "percentile": name,
                    "known_ms": round(known, 3),
                    "measured_ms": measured,
                    "off_ms": round(off, 3),
                    "margin_ms": round(bound, 3),
                    "kept": abs(off) <= bound,
                    "all_off_ms": [round(o, 3) for o, _ in offs],
                }
            )
    return rows


STEPS = (4000, 6000, 8000, 10_000, 12_000, 16_000)


def reach(workers: int, seconds: float, steps: tuple[int, ...] = STEPS) -> dict[str, float]:
    """The highest of a row of rates at which the generator was not late."""
    best: dict[str, float] = {"workers": workers, "rate": 0.0}
    with responder("none") as target:
        for step in steps:
            rate = step * workers
            load = LoadOptions(
                target,
                f"constant:{rate}",
                seconds,
                workers=workers,
                request_classes=KINDS,
                behaviour=SINGLE_ATTEMPT,
            )
            result = play(load)
            late = result["lateness_ms"]["p99"]
            if late > LATE_MS or result["ended"] < 0.97 * result["sent"]:
                break
            best = {
                "workers": workers,
                "rate": rate,
                "late_p99_ms": late,
                "p99_ms": result["latency_ms"]["all"]["p99"],
            }
    return best


def lateness(seconds: float) -> list[dict[str, Any]]:
    """2,600/s from one worker, and a trace of it replayed five times as fast over four."""
    rows = []
    for rate, workers in ((2600, 1), (13_000, 4)):
        with responder("constant:5") as target:
            load = LoadOptions(
                target,
                "constant:2600",
                seconds,
                workers=workers,
                request_classes=KINDS,
                behaviour=SINGLE_ATTEMPT,
            )
            if rate > 2600:
                trace = make_trace(replace(load, seconds=seconds * rate / 2600))
                load = replace(load, rows=tuple(trace), speed=rate / 2600)
            result = play(load)
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
def balancer(nodos: int) -> Iterator[tuple[Target, int]]:
    with healthy_fleet(nodos) as known, platform_run(ROOT, *known) as (port, pid):
        yield Target("127.0.0.1", port), pid


def table(seconds: float) -> list[dict[str, Any]]:
    """Closed loop for what one core answers; then p99 of the open loop at 50% and 80% of that."""
    with responder("none") as target:
        bare = saturate(target, seconds)["rate"]
    rows: list[dict[str, Any]] = [{"what": "bare responder", "rate": round(bare)}]
    for nodos in (2, 24, 97):
        with balancer(nodos) as (target, pid):
            saturate(target, 1.0)
            before = cpu_seconds(pid)
            most = saturate(target, seconds)["rate"]
            cpu = (cpu_seconds(pid) - before) / seconds
            row: dict[str, Any] = {
                "what": f"balancer, {nodos} nodos",
                "rate": round(most),
                "ratio": round(most / bare, 4),
                "cores": round(cpu, 2),
            }
            for share in (0.5, 0.8):
                load = LoadOptions(
                    target,
                    f"constant:{share * most:.0f}",
                    seconds,
                    workers=2,
                    request_classes=KINDS,
                    behaviour=SINGLE_ATTEMPT,
                )
                result = play(load)
                served = result["ends"].get("consulta served", 0)
                row[f"at_{100 * share:.0f}%"] = {
                    **{f"{p}_ms": result["latency_ms"]["all"][p] for p in ("p50", "p99")},
                    "served": served,
                    "ended": result["ended"],
                    "late": result["late"],
                }
        rows.append(row)
    return rows


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.loadgen")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--table", action="store_true", help="measure the balancer too (2 minutes)")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    seconds = 2.0 if options.quick else 20.0
    result: dict[str, Any] = {"agreement": agreement(1.0 if options.quick else 10.0)}
    for row in result["agreement"]:
        said = f"known {row['known_ms']:.3f} ms, measured {row['measured_ms']:.3f}, off {row['off_ms']:+.3f}"
        kept = "kept" if row["kept"] else "NOT KEPT"
        print(
            f"  {row['server']} {row['percentile']}: {said} of {row['margin_ms']:.3f} allowed: {kept}"
            f" (all: {row['all_off_ms']})"
        )
    result["lateness"] = lateness(seconds)
    for row in result["lateness"]:
        print(
            f"  {row['rate']}/s over {row['workers']}: lateness p50 {row['late_p50_ms']:.3f} p99 "
            f"{row['late_p99_ms']:.3f} max {row['late_max_ms']:.3f} ms, ended {row['ended']} of "
            f"{row['sent']}{', said to be late' if row['said_to_be_late'] else ''}"
        )
    with responder("none") as target:
        result["bare"] = saturate(target, min(seconds, 4.0))["rate"]
    print(f"  bare responder, closed loop: {result['bare']:.0f}/s")
    result["reach"] = [
        reach(n, 1.0 if options.quick else 5.0, STEPS[::2] if options.quick else STEPS)
        for n in ((1, 4) if not options.quick else (1,))
    ]
    for row in result["reach"]:
        share = row["rate"] / result["bare"]
        print(f"  {row['workers']} workers reach {row['rate']}/s ({share:.2f} of the bare responder)")
    if options.table:
        result["table"] = table(6.0)
        for row in result["table"]:
            print(f"  {row}")
    report(result, options.json)
    late = all(row["late_p99_ms"] < LATE_MS or row["said_to_be_late"] for row in result["lateness"])
    complete = all(row["ended"] == row["sent"] for row in result["lateness"])
    return 0 if all(row["kept"] for row in result["agreement"]) and late and complete else 1


if __name__ == "__main__":
    sys.exit(main())
