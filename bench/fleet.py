"""Mass events over fleets of decision modules: python -m bench.fleet [--quick] [--json FILE] [--chart FILE].

1 to 200 modules on one virtual clock with the upstreams of bench.fleetmodel, whose assumptions are there:
calm, one upstream in eight that answers nothing, a zone lost, six in ten replaced, most balancers killed;
the code as it is and as it was at a revision (the one that bench.decisions compares with, unless --old names
one), the same seeds. Each checkout brings its own names of events and settings, so its own bench.fleetmodel
drives its module. At 200 traffic is thin: a third, ten requests a second and balancer. Then forty modules and
three cold upstreams, two hundred seeds. Exit status 0 only if the rules that the model can see held for the
code as it is: no unsafe request twice, no two attempts at once, none served twice, no cold upstream pushed
over.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import mean
from typing import Any, NamedTuple

from bench.common import ROOT, checkout, report
from bench.fleetmodel_settings import OVERLOAD_MULTIPLE

OLD = "9ed1b487dc8c6ced089b65669be09322fabe9e99"
MODEL = "bench/fleetmodel.py"
SIZES = ((1, 8), (16, 24), (40, 60), (97, 97), (200, 200))  # balancers and upstreams
QUICK_SIZES = (SIZES[0], SIZES[2])
SEEDS, QUICK_SEEDS = (1, 2, 3), (1,)
COLD_SEEDS, QUICK_COLD_SEEDS = 200, 24
EVENTS = ("calm", "bad", "zone", "join", "restart")
THIN = {200: 0.33}  # part of the usual traffic, by the number of balancers
CORES = os.cpu_count() or 1
MEANS = (
    "worth",
    "worst_second",
    "back_s",
    "tries",
    "calls",
    "opened",
    "held_most",
    "refused",
    "us_a_try",
)  # keys of results

Result = dict[str, Any]  # of a play, with the keys of bench.fleetmodel's World.result


class RevisionError(ValueError):
    """A revision that does not exist, or that has no model to drive its decision module."""


def check_out_earlier(revision: str, folder: Path) -> None:
    """Decision module and model as they were at a revision, under a folder. RevisionError: it has none."""
    found = subprocess.run(
        ["git", "cat-file", "-e", f"{revision}:{MODEL}"], cwd=ROOT, stderr=subprocess.DEVNULL
    )
    if found.returncode != 0:
        raise RevisionError(f"{revision} does not exist or has no {MODEL}")
    checkout(revision, folder, "quartzford", "bench")


def play(folder: Path, plan: dict[str, Any]) -> Result:
    """One plan with the decision module and the model that the folder holds, in a process of its own."""
    done = subprocess.run(
        [sys.executable, "-m", "bench.fleetmodel", json.dumps(plan)],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(folder)},
        stdout=subprocess.PIPE,
        check=True,
    )
    result: Result = json.loads(done.stdout)
    return result


class Case(NamedTuple):
    """One row: an event at one size, played by one code with several seeds."""

    event: str
    polls_list: bool
    balancers: int
    upstreams: int
    code: str  # "old" or "new"

    def plan(self, seed: int) -> dict[str, Any]:
        """The model's plan with a seed."""
        plan = {
            "balancers": self.balancers,
            "upstreams": self.upstreams,
            "event": self.event,
            "seed": seed,
            "rate": THIN.get(self.balancers, 1.0),
        }
        return {**plan, "asked": True} if self.polls_list else plan

    def row(self, results: list[Result]) -> dict[str, Any]:
        """The row of the results of all seeds."""
        title = f"{self.event}, list asked" if self.polls_list else self.event
        sizes = {"balancers": self.balancers, "upstreams": self.upstreams}
        return {"event": title, **sizes, "code": self.code, **summary(results)}


def cases(sizes: Sequence[tuple[int, int]]) -> list[Case]:
    """All events at all sizes, by the old code and the new; restarts with a polled list, too."""
    events = (*((event, False) for event in EVENTS), ("restart", True))
    return [
        Case(event, polls_list, balancers, upstreams, code)
        for balancers, upstreams in sizes
        for event, polls_list in events
        for code in ("old", "new")
    ]


def summary(results: list[Result]) -> dict[str, Any]:
    """Means over several seeds; of falls and broken rules the sums, and the largest cold multiple."""
    row: dict[str, Any] = {name: round(mean(result[name] for result in results), 3) for name in MEANS}
    row["cold_multiple"] = max(result["cold_multiple"] for result in results)
    row["fallen"] = sum(result["fallen"] for result in results)
    row["broken"] = sum(sum(result["broken"].values()) for result in results)
    return row


def play_all(
    pool: ThreadPoolExecutor, folders: dict[str, Path], quick: bool
) -> tuple[list[dict[str, Any]], list[Result]]:
    """The rows of all cases, each printed as it is complete, and the results of the cold fleets.

    folders: by code, the checkout with its module and model.
    """
    seeds = QUICK_SEEDS if quick else SEEDS
    jobs = {
        case: [pool.submit(play, folders[case.code], case.plan(seed)) for seed in seeds]
        for case in cases(QUICK_SIZES if quick else SIZES)
    }
    cold_plan = {"balancers": 40, "upstreams": 6, "event": "join", "seconds": 11.0}
    cold_jobs = [
        pool.submit(play, folders["new"], {**cold_plan, "seed": seed})
        for seed in range(QUICK_COLD_SEEDS if quick else COLD_SEEDS)
    ]
    rows = []
    for case, futures in jobs.items():
        rows.append(case.row([future.result() for future in futures]))
        print("  " + ", ".join(f"{key} {value}" for key, value in rows[-1].items()), flush=True)
    return rows, [future.result() for future in cold_jobs]


def goodput(rows: list[dict[str, Any]], event: str, code: str, balancers: int) -> float:
    """The priority weight served in time over that offered, of one row."""
    wanted = (event, code, balancers)
    found = [row["worth"] for row in rows if (row["event"], row["code"], row["balancers"]) == wanted]
    return float(found[0])


def chart(rows: list[dict[str, Any]], path: str) -> None:
    """Goodput by size, old beside new, a panel for each event. Needs the extra `charts`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(EVENTS), figsize=(3 * len(EVENTS), 3.5), sharey=True)
    for axis, event in zip(axes, EVENTS, strict=True):
        for code, mark in (("old", "o--"), ("new", "o-")):
            points = [(r["balancers"], r["worth"]) for r in rows if (r["event"], r["code"]) == (event, code)]
            axis.plot(*zip(*points, strict=True), mark, label=code)
        axis.set(title=event, xlabel="balancers", xscale="log")
    axes[0].set_ylabel("worth in time / offered")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def show_verdict(rows: list[dict[str, Any]], balancers: int, kept: bool) -> None:
    """Print the goodput at one size, old and new, and whether the rules were kept."""
    gains = [
        f"{event} {goodput(rows, event, 'old', balancers)} to {goodput(rows, event, 'new', balancers)}"
        for event in EVENTS
    ]
    verdict = "held" if kept else "BROKEN"
    print(f"{balancers} balancers, worth in time, old to new: {', '.join(gains)}; rules {verdict}")


def read_options() -> argparse.Namespace:
    """The command line's options."""
    parser = argparse.ArgumentParser(prog="python -m bench.fleet")
    parser.add_argument("--quick", action="store_true", help="1 and 40 balancers, one seed")
    parser.add_argument("--old", default=OLD, metavar="REVISION")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--chart", metavar="FILE")
    return parser.parse_args()


def main() -> int:
    """Play, print and report; the exit status is 1 where a rule was broken, 2 where --old can't be played."""
    options = read_options()
    with tempfile.TemporaryDirectory() as name, ThreadPoolExecutor(CORES) as pool:
        try:
            check_out_earlier(options.old, Path(name))
        except RevisionError as error:
            print(f"python -m bench.fleet: error: argument --old: {error}", file=sys.stderr)
            return 2
        rows, cold = play_all(pool, {"old": Path(name), "new": ROOT}, options.quick)
    multiples = [result["cold_multiple"] for result in cold]
    print(
        f"  forty modules, three cold upstreams: {max(multiples)} times what one can do, in {len(cold)} seeds"
    )
    seeds = QUICK_SEEDS if options.quick else SEEDS
    report({"old": options.old, "seeds": list(seeds), "rows": rows, "cold": multiples}, options.json)
    if options.chart:
        chart(rows, options.chart)
    new = [row for row in rows if row["code"] == "new"]
    kept = not any(
        row["fallen"] or row["broken"] or row["cold_multiple"] > OVERLOAD_MULTIPLE for row in (*new, *cold)
    )
    show_verdict(rows, 40 if options.quick else 200, kept)
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
