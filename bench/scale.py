"""Scale runs: python -m bench.scale [--quick | --small] [--only NAME ...] [--json FILE [--add]]

Real balancers under load beside hollow ones, before (each asks the list service itself) and after (relays of
lists between), with a list service that works through fifty calls a second. Sizes: --small 4 real and 40
hollow, --quick 20 and 200, 20 and 1,000, else 20 and 4,600 too, and 418 behind one relay with 63,000 rows.
Prints a line of JSON for each event and the verdict by the bounds that the operators set; exit 0 only if all
were kept.
"""

from __future__ import annotations

import argparse
import json
import math
import signal
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any, NamedTuple

from bench.common import report
from bench.scale_events import ScaleReport
from rig.hollow import SHARES
from rig.scale import RACK_ROWS, ScaleEvent, ScalePlan, play_scale
from rig.scenario import TooManyError

PER_S = 50.0
P99_S, LAST_S = 2.0, 5.75  # from a change to in force
START_S = 10.0  # until all have the list
CALLS_A_RELAY = 1.3
KILLED_S, KILLED_BYTES = 6.0, 1.1
WAIT_S, RELAY_MB = 1.0, 512.0  # behind whole lists of 63,000 rows
AGREE = 0.15
ALL_KILLED = "all relays killed"
RELAYS = 11
OWN_MODULES = 1_000  # so many hollow balancers have a module each; more share it by process
LONG_ROWS, LONG_HOLLOW = 63_000, 418
LONG_S = 90.0  # a relay lets 418 lists of 8 MB out in 67 s at its 50 MB a second


class Size(NamedTuple):
    """A size, and how long its service is down."""

    name: str
    real: int
    hollow: int
    down_s: float
    relays: int = RELAYS
    hollow_processes: int = 4
    cut: bool = False


SMALL = (Size("small", 4, 40, 3.0, 2, 1),)
QUICK = (Size("200", 20, 200, 8.0), Size("1000", 20, 1_000, 8.0))
FULL = (*QUICK, Size("4600", 20, 4_600, 30.0, hollow_processes=8, cut=True))


def planned_events(size: Size, rows: int, relays: int, window: float = 6.0) -> tuple[ScaleEvent, ...]:
    """The events in their order, each behind the one before."""
    spread_interval = 0.0 if relays else 1.25 * (size.real + size.hollow) / PER_S
    zone = max(1, rows // 15)
    listed = [
        ScaleEvent(0.0, "all start", window=START_S + spread_interval),
        ScaleEvent(0.0, "quiet"),
        ScaleEvent(0.0, "one upstream gone", "change", rows=1, gone=True),
        ScaleEvent(0.0, "one upstream replaced", "change", rows=1),
        ScaleEvent(0.0, "rack", "change", rows=min(RACK_ROWS, rows), gone=True),
        ScaleEvent(0.0, "rack back", "change", rows=min(RACK_ROWS, rows)),
        ScaleEvent(0.0, "zone", "change", rows=zone, first=rows // 3, gone=True),
        ScaleEvent(0.0, "zone back", "change", rows=zone, first=rows // 3),
        ScaleEvent(0.0, "source down", "down", window=size.down_s + 8.0 + spread_interval, span=size.down_s),
    ]
    if relays:
        listed.append(ScaleEvent(0.0, "relay killed", "kill", window=8.0, rows=RACK_ROWS, count=1))
    if relays > 4:
        listed.append(ScaleEvent(0.0, "three relays killed", "kill", window=8.0, rows=RACK_ROWS, count=3))
    if size.cut:
        listed.append(ScaleEvent(0.0, "cut off", "cut", window=68.0 + spread_interval, span=60.0))
    if relays:  # and now the list service is asked by all, over their spread interval
        own = 1.25 * (size.real + size.hollow) / PER_S
        listed.append(ScaleEvent(0.0, ALL_KILLED, "kill", window=12.0 + own, rows=RACK_ROWS, count=relays))
    placed, at = [], 0.0
    for one in listed:
        span = window if one.what in ("change", "quiet") and one.window == 6.0 else one.window
        placed.append(replace(one, at=at, window=math.ceil(span)))
        at += math.ceil(span)
    return tuple(placed)


def plan_of(size: Size, after: bool, seed: int, share: str = "", rows: int = 2_000) -> ScalePlan:
    """A run of one size, with relays or without."""
    events = planned_events(size, rows, size.relays if after else 0, 3.0 if size.name == "small" else 6.0)
    chosen = share or ("rows" if size.hollow <= OWN_MODULES else "module")
    return ScalePlan(
        size.real,
        size.hollow,
        events,
        size.relays if after else 0,
        rows,
        share=chosen,
        idle=max(1, size.real // 5),
        hollow_processes=size.hollow_processes,
        rate=8.0 * size.real,
        seconds=events[-1].at + events[-1].window,
        per_s=PER_S,
        seed=seed,
    )


def long_plan(seed: int) -> ScalePlan:
    """418 hollow balancers behind one relay, a list of 63,000 rows, and changes while it goes out."""
    events = (
        ScaleEvent(0.0, "all start, a change a second", "drip", window=LONG_S, span=1.0),
        ScaleEvent(LONG_S, "quiet", window=8.0),
    )
    return ScalePlan(
        2,
        LONG_HOLLOW,
        events,
        1,
        LONG_ROWS,
        share="module",
        idle=1,
        hollow_processes=4,
        rate=4.0,
        seconds=LONG_S + 8.0,
        per_s=PER_S,
        seed=seed,
    )


# ---- what docs/CAPACITY.md shows


def page_rows(run: dict[str, Any]) -> list[dict[str, Any]]:
    """The events in the form that bench.capacity reads: hollow and real balancers together."""
    rows = []
    for event in run["events"]:
        hollow, real = event["hollow"], event["real"]
        both = hollow["of"] + real["of"] > 0
        told = event["hollow_each"]["bytes_in"] * run["hollow"] + event["real_each"]["bytes_in"] * run["real"]
        rows.append(
            {
                "event": event["event"],
                "way": "relays" if run["relays"] else "source",
                "hollow": run["hollow"],
                "real": run["real"],
                "rows": run["rows"],
                "p50_s": hollow["p50_s"] if both else None,
                "p99_s": max(hollow["p99_s"], real["p99_s"]) if both else None,
                "last_s": max(hollow["last_s"], real["last_s"]) if both else None,
                "missing": hollow["missing"] + real["missing"],
                "with_list": min(hollow["of"] + real["of"], run["hollow"] + run["real"]) if both else None,
                "source_calls": sum(event["source"]["calls"].values()),
                "bytes_out": round(told),
                "requests": noticed(event, run["events"]),
            }
        )
    return rows


def noticed(event: dict[str, Any], events: list[dict[str, Any]]) -> str:
    """What the real balancers' requests noticed, beside those of the quiet time."""
    quiet = next((one["requests"]["p99_ms"] for one in events if one["event"] == "quiet"), 0.0)
    lost = unserved(event)
    said = f"{sum(lost.values())} of {event['requests']['served'] + sum(lost.values())} not served"
    return f"{said}, p99 {event['requests']['p99_ms']:.0f} ms (quiet: {quiet:.0f} ms)"


def unserved(event: dict[str, Any]) -> dict[str, int]:
    """Requests that were not served, by their end."""
    lost = dict(event["requests"]["unserved"])
    if event["event"].startswith("all start"):
        lost.pop("unreachable", 0)  # nobody serves before the first has started
    return lost


# ---- the verdict


class Check(NamedTuple):
    """A bound and what was measured."""

    what: str
    measured: float
    bound: float
    timed: bool = True  # by a clock, not a count

    def kept(self) -> bool:
        """Within the bound."""
        return self.measured <= self.bound


def checks(run: dict[str, Any]) -> list[Check]:
    """The operators' bounds on one run; times and calls of a run without relays are not held to them."""
    found = [
        Check("rules broken", sum(run["rules"].values()), 0, False),
        Check("processes that ended unasked", len(run["crashes"]), 0, False),
    ]
    for event in run["events"]:
        found += _of_all(event)
        if run["relays"]:
            found += _of_relays(event, run["relays"])
    return found


def _of_all(event: dict[str, Any]) -> list[Check]:
    name = event["event"]
    missing = event["hollow"]["missing"] + event["real"]["missing"]
    listless = (event["first_list"] or {"missing": 0})["missing"]
    return [
        Check(f"{name}: balancers that never had a list", listless, 0, False),
        Check(f"{name}: balancers that never had it", missing, 0, False),
        Check(f"{name}: requests not served", sum(unserved(event).values()), 0, False),
    ]


def _of_relays(event: dict[str, Any], relays: int) -> list[Check]:
    name, source = event["event"], event["source"]
    if name == ALL_KILLED:
        return []
    found = []
    if event["what"] != "cut":  # who reaches no relay asks the source
        calls = source["calls"]["balancers"]
        found.append(Check(f"{name}: balancers' calls at the source", calls, 0, False))
    both = [event["hollow"], event["real"]]
    p99, last = max(one["p99_s"] for one in both), max(one["last_s"] for one in both)
    if event["what"] == "change":
        found += [Check(f"{name}: p99", p99, P99_S), Check(f"{name}: last", last, LAST_S)]
    if name == "all start":
        found.append(Check(f"{name}: all have the list", last, START_S))
        found.append(
            Check(f"{name}: calls a relay", source["calls"]["relays"] / relays, CALLS_A_RELAY, False)
        )
    if event["what"] == "down":
        calls = source["calls_after_return"]["relays"] / relays
        found.append(Check(f"{name}: calls a relay at its return", calls, 1.0, False))
        found.append(Check(f"{name}: last after its return", last, LAST_S))
    if event["what"] == "kill":
        found.append(Check(f"{name}: all told again", last, KILLED_S))
        found.append(Check(f"{name}: bytes over the change", event["bytes_over_change"], KILLED_BYTES))
    if event["what"] == "drip":
        found.append(Check(f"{name}: wait behind whole lists", event["hollow_heard"]["last_s"], WAIT_S))
        found.append(Check(f"{name}: MB of the relay", event["relay_peak_mb"], RELAY_MB, False))
    return found


def differences(run: dict[str, Any]) -> list[str]:
    """Where hollow and real differ by more than they may."""
    return [
        f"{name}: hollow {one['hollow']:g}, real {one['real']:g}"
        for name, one in run["agreement"].items()
        if one["ratio"] is None and one["hollow"] or one["ratio"] and abs(one["ratio"] - 1.0) > AGREE
    ]


def show(run: dict[str, Any]) -> None:
    """Events and agreement as lines of JSON."""
    for event in run["events"]:
        print("    " + json.dumps(event), flush=True)
    print("    agreement " + json.dumps(run["agreement"]), flush=True)
    if run["share"] in SHARES:
        print(f"    shared by hollow ones: {run['share']}: {SHARES[run['share']]}", flush=True)


def played(name: str, plan: ScalePlan) -> dict[str, Any] | None:
    """One run and its lines; None where the machine can't bear it."""
    print(
        f"  {name}: {plan.real} real, {plan.hollow} hollow, {plan.relays} relays, {plan.rows} rows",
        flush=True,
    )
    began = time.monotonic()
    try:
        result = play_scale(plan)
    except TooManyError as error:
        print(f"    not run: {error}", flush=True)
        return None
    run = {"run": name, "hides": SHARES[plan.share], **ScaleReport(result).summary()}
    run["took_s"] = round(time.monotonic() - began, 1)
    show(run)
    return run


def runs(options: argparse.Namespace) -> list[tuple[str, ScalePlan]]:
    """What is to be played, by name."""
    sizes = SMALL if options.small else QUICK if options.quick else FULL
    listed = [
        (f"{size.name} {'after' if after else 'before'}", plan_of(size, after, options.seed, options.share))
        for size in sizes
        for after in (False, True)
    ]
    if not (options.small or options.quick):
        listed.append(("63000 rows", long_plan(options.seed)))
    return [(name, plan) for name, plan in listed if not options.only or name in options.only]


def verdict(found: list[dict[str, Any]]) -> bool:
    """Print what was not kept; whether all was."""
    good = True
    for run in found:
        failed = [check for check in checks(run) if not check.kept()]
        for check in failed:
            print(f"  {run['run']}: NOT KEPT {check.what}: {check.measured:g}, bound {check.bound:g}")
        for text in differences(run):
            print(f"  {run['run']}: hollow and real differ by over {AGREE:.0%}: {text}")
        good = good and not failed
    return good


def together(found: list[dict[str, Any]], path: str | None) -> list[dict[str, Any]]:
    """These runs, and those that a file of an earlier call holds of other names, in the order of sizes."""
    names = {run["run"] for run in found}
    earlier = json.loads(Path(path).read_text())["runs"] if path and Path(path).exists() else []
    order = [f"{size.name} {way}" for size in (*SMALL, *FULL) for way in ("before", "after")]
    order.append("63000 rows")
    kept = [run for run in earlier if run["run"] not in names]
    return sorted([*kept, *found], key=lambda run: order.index(run["run"]))


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(prog="python -m bench.scale")
    parser.add_argument("--quick", action="store_true", help="20 real beside 200 and 1,000 hollow")
    parser.add_argument("--small", action="store_true", help="4 real beside 40 hollow")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--add", action="store_true", help="the file's runs of other names stay in it")
    parser.add_argument("--only", nargs="*", default=[], metavar="RUN", help="such as '200 after'")
    parser.add_argument("--share", choices=SHARES, default="", help="what hollow ones share")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))  # ends what was started
    chosen = runs(options)
    if not chosen and not options.add:  # with --add the file's rows are worked out anew
        parser.error(f"no run of that name: {', '.join(options.only)}")
    found = [run for name, plan in chosen if (run := played(name, plan)) is not None]
    for run in found:
        run["checks"] = [check._asdict() | {"kept": check.kept()} for check in checks(run)]
    complete = together(found, options.json if options.add else None)
    rows = [row for run in complete for row in page_rows(run)]
    report({"per_s": PER_S, "seed": options.seed, "events": rows, "runs": complete}, options.json)
    good = verdict(found)
    print(f"scale: {len(found)} of {len(chosen)} runs, bounds {'kept' if good else 'NOT KEPT'}")
    return 0 if good and len(found) == len(chosen) else 1


if __name__ == "__main__":
    sys.exit(main())
