"""What cold upstreams get from all balancers together: python -m bench.coldbound [--quick] [--json FILE].

One to two hundred decision modules over 24 upstreams on the virtual clock of bench.fleetmodel. In any span in
which a cold upstream falls it may get the requests of bench.coldbudget. A row is a case at one size: the
largest use of that budget over its seeds, falls and the worth in time. Requests turned away and retries
count, as they reach the upstream. Exit 0 only if the budget is kept by all.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from concurrent.futures import Future, ThreadPoolExecutor
from statistics import mean
from typing import Any

from bench.common import ROOT, report
from bench.fleet import play

UPSTREAMS = 24
SIZES = (1, 2, 5, 12, 20, 30, 200)  # balancers
SEEDS, QUICK_SEEDS = 50, 2
CASES: dict[str, dict[str, Any]] = {
    "all cold at once, balancers too": {"event": "cold start", "seconds": 7.0},
    "all cold at once, uneven traffic": {"event": "cold start", "seconds": 7.0, "uneven": True},
    "all cold at once, small upstreams": {"event": "cold start", "seconds": 5.0, "cores": 1},
    "all cold at once, 2.5 times the traffic": {"event": "cold start", "seconds": 5.0, "rate": 2.5},
    "six in ten replaced": {"event": "join", "seconds": 13.0},
    "six in ten replaced, uneven traffic": {"event": "join", "seconds": 13.0, "uneven": True},
    "six in ten replaced under a burst": {"event": "join", "seconds": 13.0, "burst": 2.5},
    "six in ten replaced, small upstreams": {"event": "join", "seconds": 13.0, "cores": 1},
    "85 in a hundred replaced in 20 s": {"event": "deploy", "seconds": 28.0},
    "a newcomer while others are out": {"event": "newcomer", "seconds": 11.0},
    "half replaced, balancers restart": {"event": "cold restart", "seconds": 13.0},
    "half replaced, each balancer by a second process": {"event": "handover", "seconds": 13.0},
    "a zone comes back cold": {"event": "zone", "seconds": 15.0},
}


def row_of(case: str, balancers: int, results: list[dict[str, Any]]) -> dict[str, Any]:
    """What the seeds of a case come to at one size."""
    return {
        "case": case,
        "balancers": balancers,
        "seeds": len(results),
        "largest_use": max(result["cold_use"] for result in results),
        "largest_multiple": max(result["cold_multiple"] for result in results),
        "fallen": sum(result["fallen"] for result in results),
        "worth": round(mean(result["worth"] for result in results), 3),
    }


def read_options() -> argparse.Namespace:
    """The command line's options."""
    parser = argparse.ArgumentParser(prog="python -m bench.coldbound")
    parser.add_argument("--quick", action="store_true", help=f"{QUICK_SEEDS} seeds in place of {SEEDS}")
    parser.add_argument("--balancers", type=int, nargs="+", default=SIZES, metavar="N", help="sizes to play")
    parser.add_argument("--seeds", type=int, metavar="N", help="so many seeds a row, from 0 on")
    parser.add_argument("--processes", type=int, default=os.cpu_count() or 1, metavar="N")
    parser.add_argument("--json", metavar="FILE")
    return parser.parse_args()


def main() -> int:
    """Play all cases; the exit status."""
    options = read_options()
    seeds = range(options.seeds or (QUICK_SEEDS if options.quick else SEEDS))
    rows: list[dict[str, Any]] = []
    begun = time.monotonic()
    with ThreadPoolExecutor(options.processes) as pool:
        jobs: dict[tuple[str, int], list[Future[dict[str, Any]]]] = {}
        for balancers in options.balancers:
            for name, case in CASES.items():
                plan = {"balancers": balancers, "upstreams": UPSTREAMS, **case}
                jobs[name, balancers] = [pool.submit(play, ROOT, {**plan, "seed": seed}) for seed in seeds]
        for (name, balancers), futures in jobs.items():
            rows.append(row_of(name, balancers, [future.result() for future in futures]))
            print("  " + ", ".join(f"{key} {value}" for key, value in rows[-1].items()), flush=True)
    report({"rows": rows, "seconds": round(time.monotonic() - begun)}, options.json)
    held = all(row["largest_use"] <= 1.0 and not row["fallen"] for row in rows)
    print("budget kept" if held else "budget BROKEN")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
