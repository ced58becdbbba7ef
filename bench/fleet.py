"""Mass events over fleets of decision modules: python -m bench.fleet [--quick] [--json FILE] [--chart FILE].

1 to 200 modules on one virtual clock with the upstreams of bench.fleetmodel, whose assumptions stand there:
calm, one upstream in eight that answers nothing, a zone lost, six in ten replaced, most balancers killed;
the code as it is and as it was at a revision (the one that bench.decisions compares with, unless --old names
one), the same seeds. Each checkout brings its own names of events and settings, so its own bench.fleetmodel
drives its module. At 200 traffic is thin: a third, ten requests a second and balancer. Then forty modules and
three cold upstreams, two hundred seeds. Exit 0 only if the rules that the model can see held for the code
as it is: no unsafe request twice, no two attempts at once, none served twice, no cold upstream pushed over.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import mean
from typing import Any

from bench.common import ROOT, checkout, report
from bench.fleetmodel import TIP

OLD = "7c461993f9af943d4dd20f34cddc62e4819d15a2"
MODEL = "bench/fleetmodel.py"
SIZES = ((1, 8), (16, 24), (40, 60), (97, 97), (200, 200))  # balancers and upstreams
EVENTS = ("calm", "bad", "zone", "join", "restart")
THIN = {200: 0.33}  # part of the usual traffic, by the number of balancers
CORES = os.cpu_count() or 1


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


def play(folder: Path, plan: dict[str, Any]) -> dict[str, Any]:
    """One plan with the decision module and the model that the folder holds, in a process of its own."""
    done = subprocess.run(
        [sys.executable, "-m", "bench.fleetmodel", json.dumps(plan)],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(folder)},
        stdout=subprocess.PIPE,
        check=True,
    )
    result: dict[str, Any] = json.loads(done.stdout)
    return result


def row_of(results: list[dict[str, Any]]) -> dict[str, Any]:
    """What several seeds come to: means, and the worst of what must not be."""
    names = (
        "worth",
        "worst_second",
        "back_s",
        "tries",
        "calls",
        "opened",
        "held_most",
        "refused",
        "us_a_try",
    )
    row: dict[str, Any] = {name: round(mean(r[name] for r in results), 3) for name in names}
    row["cold_multiple"] = max(r["cold_multiple"] for r in results)
    row["fallen"] = sum(r["fallen"] for r in results)
    row["broken"] = sum(sum(r["broken"].values()) for r in results)
    return row


def chart(rows: list[dict[str, Any]], path: str) -> None:
    """Worth in time by size, old beside new, one panel an event. Needs the extra `charts`."""
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


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.fleet")
    parser.add_argument("--quick", action="store_true", help="1 and 40 balancers, one seed")
    parser.add_argument("--old", default=OLD, metavar="REVISION")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--chart", metavar="FILE")
    options = parser.parse_args()
    sizes, seeds = ((SIZES[0], SIZES[2]), (1,)) if options.quick else (SIZES, (1, 2, 3))
    with tempfile.TemporaryDirectory() as name, ThreadPoolExecutor(CORES) as pool:
        old = Path(name)
        try:
            check_out_earlier(options.old, old)
        except RevisionError as error:
            parser.error(f"argument --old: {error}")
        jobs = {
            (event, more.get("asked", False), size, code): [
                pool.submit(
                    play,
                    folder,
                    {
                        "balancers": size[0],
                        "upstreams": size[1],
                        "event": event,
                        "seed": seed,
                        "rate": THIN.get(size[0], 1.0),
                        **more,
                    },
                )
                for seed in seeds
            ]
            for size in sizes
            for event, more in (*((event, {}) for event in EVENTS), ("restart", {"asked": True}))
            for code, folder in (("old", old), ("new", ROOT))
        }
        cold = [
            pool.submit(
                play, ROOT, {"balancers": 40, "upstreams": 6, "event": "join", "seconds": 11.0, "seed": seed}
            )
            for seed in range(24 if options.quick else 200)
        ]
        rows = []
        for (event, by_call, (balancers, upstreams), code), futures in jobs.items():
            found = row_of([future.result() for future in futures])
            title = f"{event}, list asked" if by_call else event
            rows.append(
                {"event": title, "balancers": balancers, "upstreams": upstreams, "code": code, **found}
            )
            print("  " + ", ".join(f"{key} {value}" for key, value in rows[-1].items()), flush=True)
        over = [future.result() for future in cold]
    highest = max(result["cold_multiple"] for result in over)
    print(f"  forty modules, three cold upstreams: {highest} times what one can do, in {len(over)} seeds")
    found = {
        "old": options.old,
        "seeds": list(seeds),
        "rows": rows,
        "cold": [r["cold_multiple"] for r in over],
    }
    report(found, options.json)
    if options.chart:
        chart(rows, options.chart)
    new = [r for r in rows if r["code"] == "new"]
    held = not any(r["fallen"] or r["broken"] or r["cold_multiple"] > TIP for r in (*new, *over))
    size = 40 if options.quick else 200
    gains = [f"{e} {_worth(rows, e, 'old', size)} to {_worth(rows, e, 'new', size)}" for e in EVENTS]
    verdict = "held" if held else "BROKEN"
    print(f"{size} balancers, worth in time, old to new: {', '.join(gains)}; rules {verdict}")
    return 0 if held else 1


def _worth(rows: list[dict[str, Any]], event: str, code: str, size: int) -> float:
    found = [r["worth"] for r in rows if (r["event"], r["code"], r["balancers"]) == (event, code, size)]
    return float(found[0])


if __name__ == "__main__":
    sys.exit(main())
