"""Thin traffic and upstreams that hang, over real processes: python -m bench.spread [--quick] [--json FILE].

Balancers get ten requests a second each, unevenly, over as many upstreams as are theirs to share; after three
seconds one upstream in eight accepts everything and answers nothing, and no list says so. Before is the
program at a revision from before it had a working set, in the same run with the same seeds. A steady run
without the fault is played beside it: how evenly healthy upstreams are used, the busiest and the least busy
against the mean. Exits with 0 only if the four rules held, over what clients and upstreams recorded, for the
code as it is.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from pathlib import Path
from statistics import mean
from typing import Any, NamedTuple

from bench.common import checkout, report
from rig.processes import ROOT
from rig.scenario import Scenario, TooManyError, play

OLD_REVISION = "0b70bf1"
HANG_AT_S = 3
REQUESTS_PER_BALANCER = 10.0  # per second
LOAD = 0.45  # of the upstreams' capacity
MIN_IN_TIME = 0.9  # share in time before anything hangs; below it the run is overloaded
HANG_EVERY = 8  # one upstream in so many hangs
MIN_UPSTREAMS = 8


class Trial(NamedTuple):
    """One run. hang: whether upstreams hang; code: "before" or "now", as found in the checkout."""

    balancers: int
    hang: bool
    code: str
    checkout: Path
    seconds: float

    def upstreams(self) -> int:
        """Return the number of upstreams: two thirds as many as balancers."""
        return max(MIN_UPSTREAMS, 2 * self.balancers // 3)

    def hanging(self) -> range:
        """Return the numbers of the upstreams that hang."""
        return range(0, self.upstreams() if self.hang else 0, HANG_EVERY)


def scenario(trial: Trial) -> Scenario:
    """Return the scenario of a run, in which each upstream has its part of the load."""
    upstreams = trial.upstreams()
    rate = REQUESTS_PER_BALANCER * trial.balancers
    upstream_plan = {
        "nodos": upstreams,
        "capacity": rate / upstreams / LOAD,
        "cores": 2,
        "connect_s": 0.001,
        "trouble": " ".join(f"hang@{HANG_AT_S}:{number}" for number in trial.hanging()),
    }
    return Scenario(
        balancers=trial.balancers,
        service={"per_s": 200.0},
        upstream_plan=upstream_plan,
        rate=rate,
        seconds=trial.seconds,
        automatic=True,
        known="before",
        weights=0.6,
        checkout=trial.checkout,
    )


def _hanging_share(sends: dict[str, list[int]], hanging: set[str], first: int, last: int) -> float:
    """Return the share of the sends in these seconds that went to upstreams that hang."""
    counts = {name: sum(by_second[first:last]) for name, by_second in sends.items()}
    to_hanging = sum(count for name, count in counts.items() if name in hanging)
    return to_hanging / max(1, sum(counts.values()))


def run(trial: Trial) -> dict[str, Any]:
    """Play one run and return its figures."""
    result = play(scenario(trial))
    sends: dict[str, list[int]] = result["sends"]
    hanging = {f"s{number:04}" for number in trial.hanging()}
    end = int(trial.seconds)
    healthy = [sum(sends[name][1:end]) for name in sorted(sends) if name not in hanging]
    goodput = [row["goodput"] for row in result["seconds"]]
    return {
        "balancers": trial.balancers,
        "code": trial.code,
        "hang": trial.hang,
        "in_time_before": round(mean(goodput[1:HANG_AT_S]), 3),
        "in_time_after": round(mean(goodput[HANG_AT_S + 1 : end - 1]), 3),
        "bad_share_first": round(_hanging_share(sends, hanging, HANG_AT_S + 1, HANG_AT_S + 3), 3),
        "bad_share_last": round(_hanging_share(sends, hanging, end - 3, end - 1), 3),
        "busiest": round(max(healthy) / mean(healthy), 2),
        "least_busy": round(min(healthy) / mean(healthy), 2),
        "latency_ms": result["latency_ms"],
        "memory_mb": result["memory_mb"],
        "rules": {name: count for name, count in result["rules"].items() if count},
        "kept": result["kept"],
        "crashes": result["crashes"],
    }


def plan(options: argparse.Namespace, old_checkout: Path) -> list[Trial]:
    """Return the runs to be played."""
    sizes, seconds = ([60], 9.0) if options.quick else (options.sizes, 14.0)
    return [
        Trial(balancers, hang, code, folder, seconds)
        for balancers in sizes
        for hang in ((True,) if options.quick else (False, True))
        for code, folder in (("before", old_checkout), ("now", ROOT))
    ]


def run_all(trials: list[Trial]) -> list[dict[str, Any]]:
    """Play runs and print their figures; those that this machine cannot run are left out."""
    rows = []
    for trial in trials:
        try:
            rows.append(run(trial))
        except TooManyError as error:
            print(f"  {trial.balancers}: {error}", flush=True)
            continue
        print("  " + json.dumps(rows[-1]), flush=True)
    return rows


def verdict(rows: list[dict[str, Any]]) -> bool:
    """Print what the runs came to; return whether the rules held for the code as it is."""
    now = [row for row in rows if row["code"] == "now"]
    held = bool(now) and all(row["kept"] for row in now)
    last = {row["code"]: row for row in rows if row["hang"] and not row["overloaded"]}
    summary = ", ".join(
        f"{code} {row['in_time_after']} in time, {row['bad_share_last']} of the sends to the bad at the end"
        for code, row in last.items()
    )
    overloaded = sum(row["overloaded"] for row in rows)
    print(
        f"spread: {summary or 'nothing to tell'}; {overloaded} runs overloaded; "
        f"rules {'kept' if held else 'BROKEN'}"
    )
    return held


def main() -> int:
    """Run the command; return its exit status."""
    parser = argparse.ArgumentParser(prog="python -m bench.spread")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--sizes", type=int, nargs="*", default=[12, 60, 150])
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        checkout(OLD_REVISION, Path(folder), "quartzford")
        rows = run_all(plan(options, Path(folder)))
    # What is late before anything hangs is the machine's: such a run says nothing about the code.
    for row in rows:
        row["overloaded"] = row["in_time_before"] < MIN_IN_TIME
    report({"rows": rows}, options.json)
    return 0 if verdict(rows) else 1


if __name__ == "__main__":
    sys.exit(main())
