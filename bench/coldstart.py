"""Cold starts of fleets of real processes: python -m bench.coldstart [--quick] [--json FILE] [--chart FILE].

Released together, 12 to 200 balancers call one stand-in list service that answers fifty calls a second: it
queues (and works on for callers that have left), turns away what would wait for over a second, is down for 8
or 30 s first, trickles, has ten thousand rows to send, or everything is cold at once. Before is the program
at a revision out of the history, from before it had a call policy; both are in one run. The rules are checked
over what clients and upstreams recorded. Exits with 0 only if all held for the code as it is.
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

OLD_REVISION = "ccccbc8eb39b751354c417b9810609cb8d9f79f8"
CALLS_PER_S = 50.0  # that the list service answers
UPSTREAMS = 20
ROW_BYTES = 145
BYTES_PER_S = 50e6  # that the list service sends
OLD_SIZES = (60, 200)  # balancers of the old code, which is observed for long
OLD_OBSERVED_S = 12.0
SERIES = ("calls_s", "times_s", "goodput_s", "crashes")  # keys of a row that are not printed


class Case(NamedTuple):
    """What a list service does. Times in seconds.

    down_s: until when it is down; late_s: what its answers take besides; stopped: a third of the balancers is
    stopped by SIGSTOP from the release until down_s. padding: further rows of its list.
    """

    name: str
    service: dict[str, Any]
    down_s: float = 0.0
    late_s: float = 0.0
    cold: bool = False
    padding: int = 0
    stopped: bool = False

    def turn_s(self, balancers: int) -> float:
        """Return how long the service needs to answer one call of each balancer."""
        return balancers * (1.0 / CALLS_PER_S + self.padding * ROW_BYTES / BYTES_PER_S)

    def bound_s(self, balancers: int) -> float:
        """Return by when all balancers are to serve, from the end of the outage on."""
        return 1.25 * self.turn_s(balancers) + 2.0 + self.late_s


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


class Release(NamedTuple):
    """One release to be played. checkout: of the code to run; old: whether that is the code of before."""

    case: Case
    balancers: int
    checkout: Path
    old: bool
    observed_s: float = 0.0  # at least


def modelled(case: Case, balancers: int, policy: str) -> dict[str, Any]:
    """Return the same release's figures in bench.callmodel, where it knows such a service."""
    service = next((one for one in SERVICE_BEHAVIOURS if one.name == case.name), None)
    if service is None:
        return {}
    figures = Model(policy, service, balancers, until=case.down_s + 45.0).run()
    return {name: figures[name] for name in ("served", "all_after_s", "calls", "most_1s")}


def _scenario(release: Release) -> Scenario:
    case, balancers = release.case, release.balancers
    observed_s = max(6.0, 1.25 * case.turn_s(balancers) + 4.0, release.observed_s)
    third = f"nodes[:{max(1, balancers // 3)}]"
    return Scenario(
        balancers=balancers,
        service={"per_s": CALLS_PER_S} | case.service,
        upstream_plan={"nodos": UPSTREAMS, "capacity": 150.0, "connect_s": 0.001},
        rate=min(400.0, 3.0 * balancers),
        seconds=case.down_s + case.late_s + observed_s,
        cold=case.cold,
        padding=case.padding,
        checkout=release.checkout,
        automatic=release.old,
        events=f"0 stop {third}\n{case.down_s:g} cont {third}" if case.stopped else "",
    )


def run(release: Release) -> dict[str, Any]:
    """Play one release and return the figures that the page shows."""
    result = play(_scenario(release))
    case, balancers = release.case, release.balancers
    return {
        "service": case.name,
        "balancers": balancers,
        "code": "before" if release.old else "now",
        "serving": result["serving"],
        "all_after_s": round(result["all_after_s"] - case.down_s, 2),
        "bound_s": round(case.bound_s(balancers), 2),
        **_call_figures(result, case, balancers),
        "goodput": round(result["goodput"]["whole"], 3),
        "cold_multiple": result["cold"]["worst_multiple"],
        "memory_mb": result["memory_mb"],
        "mb": round(result["bytes"] / 1e6, 1),
        "rules": {name: count for name, count in result["rules"].items() if count},
        "kept": result["kept"],
        "crashes": result["crashes"],
        "calls_s": result["calls_s"],
        "times_s": sorted(at for at in result["taken_in_s"] if at is not None),
        "goodput_s": [row["goodput"] for row in result["seconds"]],
        "model": modelled(case, balancers, "before" if release.old else "spread"),
    }


def _call_figures(result: dict[str, Any], case: Case, balancers: int) -> dict[str, Any]:
    calls, down = result["calls_s"], case.down_s
    return {
        "calls_each": round(len(calls) / balancers, 2),
        "calls_each_up": round(sum(at >= down for at in calls) / balancers, 2),
        "calls_each_down": round(sum(at < down for at in calls) / balancers, 2),
        "most_1s": result["most_1s"],
        "most_100ms": result["most_100ms"],
        "for_nobody": result["for_nobody"],
        "turned_away": result["turned_away"],
    }


def chart(rows: list[dict[str, Any]], path: str) -> None:
    """Draw calls by the second and serving balancers over time, one column for each service.

    Only the largest fleets are drawn.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    largest = max(row["balancers"] for row in rows)
    names = [case.name for case in CASES if any(row["service"] == case.name for row in rows)]
    figure, axes = pyplot.subplots(2, len(names), figsize=(4 * len(names), 6), squeeze=False)
    for column, name in enumerate(names):
        calls_axis, serving_axis = axes[0][column], axes[1][column]
        for row in rows:
            if row["service"] == name and row["balancers"] == largest:
                _draw(row, calls_axis, serving_axis)
        calls_axis.set_title(f"{name}, {largest} balancers")
        calls_axis.set_ylabel("calls a second")
        serving_axis.set_ylabel("balancers that serve")
        serving_axis.set_xlabel("seconds from the release")
        calls_axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=70)


def _draw(row: dict[str, Any], calls_axis: Any, serving_axis: Any) -> None:
    end = max([*row["calls_s"], *row["times_s"], 1.0])
    seconds = range(int(end) + 2)
    calls = [sum(second <= at < second + 1 for at in row["calls_s"]) for second in seconds]
    serving = [sum(at <= second for at in row["times_s"]) for second in seconds]
    calls_axis.step(seconds, calls, where="post", label=row["code"])
    serving_axis.step(seconds, serving, where="post", label=row["code"])


def plan(options: argparse.Namespace, old_checkout: Path) -> list[Release]:
    """Return what is to be played; the old code at OLD_SIZES alone."""
    if options.quick:
        queues = CASES[0]
        return [
            Release(queues, 60, old_checkout, True),
            Release(queues, 60, ROOT, False),
            Release(queues, 12, ROOT, False),
        ]
    releases = []
    for case in CASES:
        if options.cases and case.name not in options.cases:
            continue
        for size in options.sizes:
            if size in OLD_SIZES:
                releases.append(Release(case, size, old_checkout, True, OLD_OBSERVED_S))
            releases.append(Release(case, size, ROOT, False))
    return releases


def run_all(releases: list[Release]) -> list[dict[str, Any]]:
    """Play releases and print their figures; those that this machine cannot run are left out."""
    rows = []
    for release in releases:
        try:
            row = run(release)
        except TooManyError as error:
            print(f"  {release.case.name}, {release.balancers}: {error}", flush=True)
            continue
        rows.append(row)
        shown = {key: value for key, value in row.items() if key not in SERIES}
        print("  " + json.dumps(shown), flush=True)
    return rows


def verdict(rows: list[dict[str, Any]]) -> bool:
    """Print what the code as it is came to; return whether the rules held."""
    now = [row for row in rows if row["code"] == "now"]
    held = bool(now) and all(row["kept"] for row in now)
    late = sum(row["serving"] < row["balancers"] or row["all_after_s"] > row["bound_s"] for row in now)
    most = max((row["calls_each_up"] for row in now), default=0.0)
    print(
        f"coldstart: {len(now)} releases, {late} later than the bound, at most {most} calls a balancer "
        f"where the service is up, rules {'kept' if held else 'BROKEN'}"
    )
    return held


def main() -> int:
    """Run the command; return its exit status."""
    parser = argparse.ArgumentParser(prog="python -m bench.coldstart")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--chart", metavar="FILE")
    parser.add_argument("--sizes", type=int, nargs="*", default=[12, 60, 150, 200])
    parser.add_argument("--cases", nargs="*", default=[])
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        checkout(OLD_REVISION, Path(folder), "quartzford")
        rows = run_all(plan(options, Path(folder)))
    report({"rows": rows}, options.json)
    if options.chart:
        chart(rows, options.chart)
    return 0 if verdict(rows) else 1


if __name__ == "__main__":
    sys.exit(main())
