"""Throughput of the HTTP path, side by side: python -m bench.http_path --against CHECKOUT [--quick].

Two checkouts of the balancer are started in turn, A B A B ..., each between the same stand-in upstreams and
the same closed-loop clients, and the ratio of their rates is taken pair by pair: absolute rates are not
stable.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from statistics import median
from typing import Any

from bench.common import ROOT, cpu_seconds, healthy_fleet, platform_run, report, saturate
from quartzford.load.options import Target

CLIENTS = 32
WARM_UP_S = 1.0
SECONDS, QUICK_SECONDS = 5.0, 2.0
PAIRS, QUICK_PAIRS = 8, 4

Row = dict[str, float]  # of one run: answers 200 a second, other answers, microseconds of CPU a request


def play(checkout: Path, discovery: int, known: Any, seconds: float) -> Row:
    """Measure one checkout for so long. discovery: the list service's port; known: its list."""
    with platform_run(checkout, discovery, known) as (port, pid):
        target = Target("127.0.0.1", port)
        saturate(target, WARM_UP_S, 1, CLIENTS)
        before = cpu_seconds(pid)
        measured = saturate(target, seconds, 1, CLIENTS)
        cpu = cpu_seconds(pid) - before
    served = measured["rate"] * seconds
    return {"rate": measured["rate"], "not_200": measured["others"], "cpu_us": cpu / max(1.0, served) * 1e6}


def measure_pairs(pairs: int, seconds: float, against: Path, upstreams: int) -> list[tuple[Row, Row]]:
    """Play this checkout and the other one in turn, and print each pair."""
    rows: list[tuple[Row, Row]] = []
    with healthy_fleet(upstreams) as (discovery, known):
        for _ in range(pairs):
            here = play(ROOT, discovery, known, seconds)
            there = play(against, discovery, known, seconds)
            rows.append((here, there))
            print(
                f"  here {here['rate']:.0f}/s, {here['cpu_us']:.0f} us; there {there['rate']:.0f}/s, "
                f"{there['cpu_us']:.0f} us; ratio {here['rate'] / there['rate']:.3f}"
            )
    return rows


def read_options() -> argparse.Namespace:
    """The command line's options."""
    parser = argparse.ArgumentParser(prog="python -m bench.http_path")
    parser.add_argument("--against", required=True, type=Path, help="another checkout of this repository")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--nodos", type=int, default=10)
    parser.add_argument("--json", metavar="FILE")
    return parser.parse_args()


def main() -> int:
    """Measure, print and report; the exit status is 1 where an answer was not 200."""
    options = read_options()
    pairs, seconds = (QUICK_PAIRS, QUICK_SECONDS) if options.quick else (PAIRS, SECONDS)
    rows = measure_pairs(pairs, seconds, options.against.resolve(), options.nodos)
    rates = sorted(here["rate"] / there["rate"] for here, there in rows)
    cpu = sorted(here["cpu_us"] / there["cpu_us"] for here, there in rows)
    print(f"rate here over there: median {median(rates):.3f}, from {rates[0]:.3f} to {rates[-1]:.3f}")
    print(f"CPU a request here over there: median {median(cpu):.3f}, from {cpu[0]:.3f} to {cpu[-1]:.3f}")
    not_200_here = sum(here["not_200"] for here, _ in rows)
    not_200_there = sum(there["not_200"] for _, there in rows)
    print(f"not answered 200: here {not_200_here:.0f}, there {not_200_there:.0f}")
    report({"pairs": rows, "rate_ratio": median(rates), "cpu_ratio": median(cpu)}, options.json)
    return 1 if not_200_here or not_200_there else 0


if __name__ == "__main__":
    sys.exit(main())
