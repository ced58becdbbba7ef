"""The HTTP path's throughput, side by side: python -m bench.http_path --against CHECKOUT [--quick].

Two checkouts of the balancer are started in turn, A B A B ..., each between the same stand-in nodos and the
same closed-loop clients, and the ratio of their rates is taken pair by pair: absolute rates are not stable.
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


def play(checkout: Path, discovery: int, known: Any, seconds: float) -> dict[str, float]:
    with platform_run(checkout, discovery, known) as (port, pid):
        target = Target("127.0.0.1", port)
        saturate(target, 1.0, 1, CLIENTS)
        before = cpu_seconds(pid)
        got = saturate(target, seconds, 1, CLIENTS)
        cpu = cpu_seconds(pid) - before
    served = got["rate"] * seconds
    return {"rate": got["rate"], "not_200": got["others"], "cpu_us": cpu / max(1.0, served) * 1e6}


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.http_path")
    parser.add_argument("--against", required=True, type=Path, help="another checkout of this repository")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--nodos", type=int, default=10)
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    pairs, seconds = (4, 2.0) if options.quick else (8, 5.0)
    rows: list[tuple[dict[str, float], dict[str, float]]] = []
    with healthy_fleet(options.nodos) as (discovery, known):
        for _ in range(pairs):
            here = play(ROOT, discovery, known, seconds)
            there = play(options.against.resolve(), discovery, known, seconds)
            rows.append((here, there))
            print(
                f"  here {here['rate']:.0f}/s, {here['cpu_us']:.0f} us; there {there['rate']:.0f}/s, "
                f"{there['cpu_us']:.0f} us; ratio {here['rate'] / there['rate']:.3f}"
            )
    ratios = sorted(here["rate"] / there["rate"] for here, there in rows)
    cpu = sorted(here["cpu_us"] / there["cpu_us"] for here, there in rows)
    print(f"rate here over there: median {median(ratios):.3f}, from {ratios[0]:.3f} to {ratios[-1]:.3f}")
    print(f"CPU a request here over there: median {median(cpu):.3f}, from {cpu[0]:.3f} to {cpu[-1]:.3f}")
    wrong = sum(row["not_200"] for pair in rows for row in pair)
    sides = [sum(pair[n]["not_200"] for pair in rows) for n in (0, 1)]
    print(f"not answered 200: here {sides[0]:.0f}, there {sides[1]:.0f}")
    report({"pairs": rows, "rate_ratio": median(ratios), "cpu_ratio": median(cpu)}, options.json)
    return 0 if not wrong else 1


if __name__ == "__main__":
    sys.exit(main())
