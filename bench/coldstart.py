"""Cold starts of fleets of real processes: python -m bench.coldstart [--quick] [--json FILE] [--chart FILE].

Released together, 12 to 200 balancers ask one stand-in list service that works through fifty calls a second:
it queues (and works on for callers who have left), turns away what would wait for over a second, is down for
8 or 30 s first, trickles, has ten thousand rows to tell, or everything is cold at once. Before is the program
at a revision out of the history, from before it had a policy of calls; both in one run. The rules are judged
over the books of clients and nodos. Exit 0 only if all held for the code as it is.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

from bench.callmodel import SERVICE_BEHAVIOURS, Model
from bench.common import checkout, report
from rig.processes import ROOT
from rig.scenario import Scenario, TooManyError, play

OLD = "ccccbc8eb39b751354c417b9810609cb8d9f79f8"
PER_S, NODOS = 50.0, 20
ROW_BYTES, BYTES_PER_S = 145, 50e6


class Case(NamedTuple):
    """A list service's trouble, and until when it is down."""

    name: str
    service: dict[str, Any]
    down_s: float = 0.0
    late_s: float = 0.0  # that its answers take besides
    cold: bool = False
    padding: int = 0
    stopped: bool = False  # a third of the balancers by SIGSTOP, from the release until down_s


CASES = (
    Case("queues", {"line": "queues"}),
    Case("turns away", {"line": "turns away"}),
    Case("down 8 s", {"line": "turns away", "downs": [[0, 8]]}, 8.0),
    Case("down 30 s", {"line": "queues", "downs": [[0, 30]]}, 30.0),
    Case("trickles", {"line": "queues", "trickle": 2.0}, 0.0, 2.0),
    Case("all cold", {"line": "queues", "downs": [[0, 2]]}, 2.0, 0.0, True),
    Case("10,000 rows", {"line": "queues"}, padding=10_000),
    Case("a third stopped 10 s", {"line": "turns away"}, 10.0, stopped=True),
)


def modelled(case: Case, balancers: int, policy: str) -> dict[str, Any]:
    """The same release in bench.callmodel, where it knows such a service."""
    trouble = next((one for one in SERVICE_BEHAVIOURS if one.name == case.name), None)
    if trouble is None:
        return {}
    told = Model(policy, trouble, balancers, until=case.down_s + 45.0).run()
    return {name: told[name] for name in ("served", "all_after_s", "calls", "most_1s")}


def run(case: Case, balancers: int, folder: Path, old: bool, watch_s: float) -> dict[str, Any]:
    """One release; the figures that the page shows."""
    turn = balancers * (1.0 / PER_S + case.padding * ROW_BYTES / BYTES_PER_S)
    seconds = case.down_s + case.late_s + max(6.0, 1.25 * turn + 4.0, watch_s)
    rate = min(400.0, 3.0 * balancers)
    third = f"nodes[:{max(1, balancers // 3)}]"
    events = f"0 stop {third}\n{case.down_s:g} cont {third}" if case.stopped else ""
    upstream_plan = {"nodos": NODOS, "capacity": 150.0, "connect_s": 0.001}
    result = play(
        Scenario(
            balancers=balancers,
            service={"per_s": PER_S} | case.service,
            upstream_plan=upstream_plan,
            rate=rate,
            seconds=seconds,
            cold=case.cold,
            padding=case.padding,
            checkout=folder if old else ROOT,
            automatic=old,
            events=events,
        )
    )
    calls, down = result["calls_s"], case.down_s
    times = sorted(at for at in result["taken_in_s"] if at is not None)
    return {
        "service": case.name,
        "balancers": balancers,
        "code": "before" if old else "now",
        "serving": result["serving"],
        "all_after_s": round(result["all_after_s"] - down, 2),
        "bound_s": round(1.25 * turn + 2.0 + case.late_s, 2),
        "calls_each": round(len(calls) / balancers, 2),
        "calls_each_up": round(sum(at >= down for at in calls) / balancers, 2),
        "calls_each_down": round(sum(at < down for at in calls) / balancers, 2),
        "most_1s": result["most_1s"],
        "most_100ms": result["most_100ms"],
        "for_nobody": result["for_nobody"],
        "turned_away": result["turned_away"],
        "goodput": round(result["goodput"]["whole"], 3),
        "cold_multiple": result["cold"]["worst_multiple"],
        "memory_mb": result["memory_mb"],
        "mb": round(result["bytes"] / 1e6, 1),
        "rules": {name: count for name, count in result["rules"].items() if count},
        "kept": result["kept"],
        "crashes": result["crashes"],
        "calls_s": calls,
        "times_s": times,
        "goodput_s": [row["goodput"] for row in result["seconds"]],
        "model": modelled(case, balancers, "before" if old else "spread"),
    }


def chart(rows: list[dict[str, Any]], path: str) -> None:
    """Calls by the second, and balancers that serve, over time: a panel for each service, largest size."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    most = max(row["balancers"] for row in rows)
    names = [case.name for case in CASES if any(row["service"] == case.name for row in rows)]
    figure, axes = pyplot.subplots(2, len(names), figsize=(4 * len(names), 6), squeeze=False)
    for column, name in enumerate(names):
        for row in rows:
            if row["service"] != name or row["balancers"] != most:
                continue
            ends = max([*row["calls_s"], *row["times_s"], 1.0])
            seconds = range(int(ends) + 2)
            calls = [sum(s <= at < s + 1 for at in row["calls_s"]) for s in seconds]
            serving = [sum(at <= s for at in row["times_s"]) for s in seconds]
            axes[0][column].step(seconds, calls, where="post", label=row["code"])
            axes[1][column].step(seconds, serving, where="post", label=row["code"])
        axes[0][column].set_title(f"{name}, {most} balancers")
        axes[0][column].set_ylabel("calls a second")
        axes[1][column].set_ylabel("balancers that serve")
        axes[1][column].set_xlabel("seconds from the release")
        axes[0][column].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=70)


def plan(quick: bool, sizes: list[int], names: list[str]) -> list[tuple[Case, int, bool]]:
    """What is played: before at 60 and 200 alone, as it is watched for long."""
    if quick:
        return [(CASES[0], 60, True), (CASES[0], 60, False), (CASES[0], 12, False)]
    cases = [case for case in CASES if not names or case.name in names]
    return [(c, n, old) for c in cases for n in sizes for old in (True, False) if not old or n in (60, 200)]


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.coldstart")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--chart", metavar="FILE")
    parser.add_argument("--sizes", type=int, nargs="*", default=[12, 60, 150, 200])
    parser.add_argument("--cases", nargs="*", default=[])
    options = parser.parse_args()
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        checkout(OLD, Path(folder), "quartzford")
        for case, balancers, old in plan(options.quick, options.sizes, options.cases):
            try:
                row = run(case, balancers, Path(folder), old, 12.0 if old and not options.quick else 0.0)
            except TooManyError as error:
                print(f"  {case.name}, {balancers}: {error}", flush=True)
                continue
            rows.append(row)
            shown = {k: v for k, v in row.items() if k not in ("calls_s", "times_s", "goodput_s", "crashes")}
            print("  " + json.dumps(shown), flush=True)
    report({"rows": rows}, options.json)
    if options.chart:
        chart(rows, options.chart)
    now = [row for row in rows if row["code"] == "now"]
    held = bool(now) and all(row["kept"] for row in now)
    late = sum(row["serving"] < row["balancers"] or row["all_after_s"] > row["bound_s"] for row in now)
    most = max((row["calls_each_up"] for row in now), default=0.0)
    print(
        f"coldstart: {len(now)} releases, {late} later than the bound, at most {most} calls a balancer "
        f"where the service is up, rules {'kept' if held else 'BROKEN'}"
    )
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
