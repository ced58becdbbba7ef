"""What cold upstreams get from all balancers together: python -m bench.coldbound [--quick] [--json FILE].

Twenty and thirty decision modules over 24 upstreams on the virtual clock of bench.fleetmodel. In any span in
which a cold upstream falls it may get N calls of mean work, N being what the settings allow it then, and
2 x root of N + 2 more for chance. A row is a case: the largest use of that bound over its seeds, falls
and the worth in time. Requests turned away and retries count, as they reach the upstream. Exit 0 only if the
bound is kept by all.
"""

from __future__ import annotations

import argparse
import os
import sys
from concurrent.futures import ThreadPoolExecutor
from statistics import mean
from typing import Any

from bench.common import ROOT, report
from bench.fleet import play

CASES: dict[str, dict[str, Any]] = {
    "all cold at once, balancers too": {"event": "cold start", "seconds": 7.0},
    "all cold at once, uneven traffic": {"event": "cold start", "seconds": 7.0, "uneven": True},
    "six in ten replaced": {"event": "join", "seconds": 13.0},
    "six in ten replaced, uneven traffic": {"event": "join", "seconds": 13.0, "uneven": True},
    "a newcomer while others are out": {"event": "newcomer", "seconds": 11.0},
    "half replaced, balancers restart": {"event": "cold restart", "seconds": 13.0},
    "half replaced, each balancer by a second process": {"event": "handover", "seconds": 13.0},
    "a zone comes back cold": {"event": "zone", "seconds": 15.0},
}


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.coldbound")
    parser.add_argument("--quick", action="store_true", help="four seeds in place of fifty")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    seeds = range(4 if options.quick else 50)
    rows: list[dict[str, Any]] = []
    with ThreadPoolExecutor(os.cpu_count() or 1) as pool:
        jobs = {
            (name, balancers): [
                pool.submit(play, ROOT, {"balancers": balancers, "upstreams": 24, "seed": seed, **case})
                for seed in seeds
            ]
            for name, case in CASES.items()
            for balancers in (20, 30)
        }
        for (name, balancers), futures in jobs.items():
            found = [future.result() for future in futures]
            rows.append(
                {
                    "case": name, "balancers": balancers, "seeds": len(found),
                    "largest_use": max(r["cold_use"] for r in found),
                    "largest_multiple": max(r["cold_multiple"] for r in found),
                    "fallen": sum(r["fallen"] for r in found),
                    "worth": round(mean(r["worth"] for r in found), 3),
                }
            )  # fmt: skip
            print("  " + ", ".join(f"{key} {value}" for key, value in rows[-1].items()), flush=True)
    report({"rows": rows}, options.json)
    held = all(row["largest_use"] <= 1.0 and not row["fallen"] for row in rows)
    print("bound kept" if held else "bound BROKEN")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
