"""Thin traffic and upstreams that hang, over real processes: python -m bench.spread [--quick] [--json FILE].

Balancers get ten requests a second each, unevenly, over as many upstreams as are theirs to share; after three
seconds one upstream in eight takes everything and answers nothing, and no list says so. Before is the program
at a revision from before it had a working set, in the same run with the same seeds. A steady run without the
trouble stands beside it: how evenly sound upstreams are used, busiest and least busy against the mean.
Exit 0 only if the four rules held, over the books of clients and nodos, for the code as it is.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from pathlib import Path
from statistics import mean
from typing import Any

from bench.common import checkout, report
from rig.processes import ROOT
from rig.scenario import Scenario, TooManyError, play

OLD = "0b70bf1"
HANG_S, PER_BALANCER, LOAD = 3, 10.0, 0.45
SOUND = 0.9  # in time before anything hangs; under it the run is overloaded
EVERY = 8  # one upstream in so many hangs


def scenario(balancers: int, hang: bool, seconds: float, folder: Path) -> Scenario:
    """Upstreams two thirds as many as balancers, each with its part of the load."""
    upstreams = max(8, 2 * balancers // 3)
    rate = PER_BALANCER * balancers
    bad = range(0, upstreams, EVERY) if hang else ()
    trouble = " ".join(f"hang@{HANG_S}:{n}" for n in bad)
    upstream_plan = {
        "nodos": upstreams,
        "capacity": rate / upstreams / LOAD,
        "cores": 2,
        "connect_s": 0.001,
        "trouble": trouble,
    }
    return Scenario(
        balancers=balancers,
        service={"per_s": 200.0},
        upstream_plan=upstream_plan,
        rate=rate,
        seconds=seconds,
        automatic=True,
        known="before",
        weights=0.6,
        checkout=folder,
    )


def run(balancers: int, hang: bool, code: str, folder: Path, seconds: float) -> dict[str, Any]:
    result = play(scenario(balancers, hang, seconds, folder))
    sends: dict[str, list[int]] = result["sends"]
    names = sorted(sends)
    bad = {f"s{n:04}" for n in range(0, max(8, 2 * balancers // 3), EVERY)} if hang else set()
    complete = int(seconds)

    def share(first: int, last: int) -> float:
        """The part of the sends in these seconds that went to those that hang."""
        parts = {name: sum(sends[name][first:last]) for name in names}
        return sum(parts[name] for name in names if name in bad) / max(1, sum(parts.values()))

    sound = [sum(sends[name][1:complete]) for name in names if name not in bad]
    good = [row["goodput"] for row in result["seconds"]]
    return {
        "balancers": balancers,
        "code": code,
        "hang": hang,
        "in_time_before": round(mean(good[1:HANG_S]), 3),
        "in_time_after": round(mean(good[HANG_S + 1 : complete - 1]), 3),
        "bad_share_first": round(share(HANG_S + 1, HANG_S + 3), 3),
        "bad_share_last": round(share(complete - 3, complete - 1), 3),
        "busiest": round(max(sound) / mean(sound), 2),
        "least_busy": round(min(sound) / mean(sound), 2),
        "latency_ms": result["latency_ms"],
        "memory_mb": result["memory_mb"],
        "rules": {name: count for name, count in result["rules"].items() if count},
        "kept": result["kept"],
        "crashes": result["crashes"],
    }


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.spread")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--sizes", type=int, nargs="*", default=[12, 60, 150])
    options = parser.parse_args()
    sizes, seconds = ([60], 9.0) if options.quick else (options.sizes, 14.0)
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        checkout(OLD, Path(folder), "quartzford")
        for balancers in sizes:
            for hang in (True,) if options.quick else (False, True):
                for code, where in (("before", Path(folder)), ("now", ROOT)):
                    try:
                        rows.append(run(balancers, hang, code, where, seconds))
                    except TooManyError as error:
                        print(f"  {balancers}: {error}", flush=True)
                        continue
                    print("  " + json.dumps(rows[-1]), flush=True)
    now = [row for row in rows if row["code"] == "now"]
    held = bool(now) and all(row["kept"] for row in now)
    # What is late before anything hangs is the machine's: such a run says nothing of the code.
    for row in rows:
        row["overloaded"] = row["in_time_before"] < SOUND
    last = {row["code"]: row for row in rows if row["hang"] and not row["overloaded"]}
    report({"rows": rows}, options.json)
    told = ", ".join(
        f"{code} {row['in_time_after']} in time, {row['bad_share_last']} of the sends to the bad at the end"
        for code, row in last.items()
    )
    lame = sum(row["overloaded"] for row in rows)
    print(
        f"spread: {told or 'nothing to tell'}; {lame} runs overloaded; rules {'kept' if held else 'BROKEN'}"
    )
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
