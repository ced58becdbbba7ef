"""Scale runs: python -m bench.scale [--quick | --small] [--only NAME ...] [--json FILE [--add]]

Real balancers under load beside hollow ones (docs/rig.md), before (each calls the list service itself) and
after (relays of lists between them), with a list service that answers fifty calls a second. Sizes: --small 4
real and 40 hollow, --quick 20 and 200, 20 and 1,000, otherwise 20 and 4,600 too, and 418 behind one relay
with 63,000 rows. Prints a line of JSON for each event and the verdict by the bounds that the operators set;
exits with 0 only if all of them were kept.
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
from rig.scale import play_scale
from rig.scale_plan import RACK_ROWS, ScaleEvent, ScaleEventKind, ScalePlan
from rig.scenario import TooManyError

CALLS_PER_S = 50.0  # that the list service answers
P99_BOUND_S = 2.0  # from a change to in force
LAST_BOUND_S = 5.75
START_BOUND_S = 10.0  # until all have the list
START_CALLS_BOUND = 1.3  # calls of one relay
RETURN_CALLS_BOUND = 1.0
KILL_BOUND_S = 6.0  # from a change to in force for balancers whose relay has been killed
KILL_BYTES_BOUND = 1.1  # over the bytes of the change
WAIT_BOUND_S = 1.0  # behind complete lists of 63,000 rows
RELAY_MB_BOUND = 512.0
MAX_DIFFERENCE = 0.15  # between hollow and real balancers, before it is reported
ALL_KILLED = "all relays killed"
LONG_RUN = "63000 rows"
RELAYS = 11
MAX_OWN_MODULES = 1_000  # more hollow balancers share a module in each process
LONG_ROWS = 63_000
LONG_HOLLOW = 418
LONG_S = 90.0  # a relay sends 418 lists of 8 MB in 67 s at its 50 MB a second
SPREAD_FACTOR = 1.25  # of the time that one call of each balancer takes


class Size(NamedTuple):
    """A size of scale runs. down_s: how long its list service is down; cut: whether balancers are cut off."""

    name: str
    real: int
    hollow: int
    down_s: float
    relays: int = RELAYS
    hollow_processes: int = 4
    cut: bool = False

    def spread_interval_s(self) -> float:
        """Return the interval over which all balancers spread their calls of the list service."""
        return SPREAD_FACTOR * (self.real + self.hollow) / CALLS_PER_S


SMALL = (Size("small", 4, 40, 3.0, 2, 1),)
QUICK = (Size("200", 20, 200, 8.0), Size("1000", 20, 1_000, 8.0))
FULL = (*QUICK, Size("4600", 20, 4_600, 30.0, hollow_processes=8, cut=True))


def _list_events(rows: int) -> list[ScaleEvent]:
    """Return a quiet time and the changes of a list of so many rows."""
    zone, rack = max(1, rows // 15), min(RACK_ROWS, rows)
    change = ScaleEventKind.CHANGE
    return [
        ScaleEvent(0.0, "quiet"),
        ScaleEvent(0.0, "one upstream gone", change, rows=1, gone=True),
        ScaleEvent(0.0, "one upstream replaced", change, rows=1),
        ScaleEvent(0.0, "rack", change, rows=rack, gone=True),
        ScaleEvent(0.0, "rack back", change, rows=rack),
        ScaleEvent(0.0, "zone", change, rows=zone, first=rows // 3, gone=True),
        ScaleEvent(0.0, "zone back", change, rows=zone, first=rows // 3),
    ]


def _relay_events(relays: int) -> list[ScaleEvent]:
    """Return the losses of some relays."""
    kill = ScaleEventKind.KILL
    events = []
    if relays:
        events.append(ScaleEvent(0.0, "relay killed", kill, window=8.0, rows=RACK_ROWS, count=1))
    if relays > 4:
        events.append(ScaleEvent(0.0, "three relays killed", kill, window=8.0, rows=RACK_ROWS, count=3))
    return events


def planned_events(size: Size, rows: int, relays: int, window: float = 6.0) -> tuple[ScaleEvent, ...]:
    """Return the events of a run in their order, each placed behind the one before.

    window: how long quiet times and changes are observed, in seconds.
    """
    spread_s = 0.0 if relays else size.spread_interval_s()
    down, cut, kill = ScaleEventKind.DOWN, ScaleEventKind.CUT, ScaleEventKind.KILL
    down_window = size.down_s + 8.0 + spread_s
    events = [ScaleEvent(0.0, "all start", window=START_BOUND_S + spread_s)]
    events += [replace(event, window=window) for event in _list_events(rows)]
    events.append(ScaleEvent(0.0, "source down", down, window=down_window, span=size.down_s))
    events += _relay_events(relays)
    if size.cut:
        events.append(ScaleEvent(0.0, "cut off", cut, window=68.0 + spread_s, span=60.0))
    if relays:  # now all balancers call the list service, over their spread interval
        all_window = 12.0 + size.spread_interval_s()
        events.append(ScaleEvent(0.0, ALL_KILLED, kill, window=all_window, rows=RACK_ROWS, count=relays))
    placed, at = [], 0.0
    for event in events:
        placed.append(replace(event, at=at, window=math.ceil(event.window)))
        at += math.ceil(event.window)
    return tuple(placed)


def plan_of(size: Size, after: bool, seed: int, share: str = "", rows: int = 2_000) -> ScalePlan:
    """Return the plan of a run of one size, with relays (`after`) or without."""
    relays = size.relays if after else 0
    events = planned_events(size, rows, relays, 3.0 if size.name == "small" else 6.0)
    default_share = "rows" if size.hollow <= MAX_OWN_MODULES else "module"
    return ScalePlan(
        size.real,
        size.hollow,
        events,
        relays,
        rows,
        share=share or default_share,
        idle=max(1, size.real // 5),
        hollow_processes=size.hollow_processes,
        rate=8.0 * size.real,
        seconds=events[-1].at + events[-1].window,
        per_s=CALLS_PER_S,
        seed=seed,
    )


def long_plan(seed: int) -> ScalePlan:
    """Return the plan of 418 hollow balancers behind one relay, with 63,000 rows that change meanwhile."""
    start = "all start, a change a second"
    events = (
        ScaleEvent(0.0, start, ScaleEventKind.DRIP, window=LONG_S, span=1.0),
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
        per_s=CALLS_PER_S,
        seed=seed,
    )


# ---- what docs/CAPACITY.md shows


def page_rows(run: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the events in the form that bench.capacity reads: hollow and real balancers together."""
    return [_page_row(run, event) for event in run["events"]]


def _page_row(run: dict[str, Any], event: dict[str, Any]) -> dict[str, Any]:
    hollow, real = event["hollow"], event["real"]
    observed = hollow["of"] + real["of"]
    hollow_bytes = event["hollow_each"]["bytes_in"] * run["hollow"]
    real_bytes = event["real_each"]["bytes_in"] * run["real"]
    return {
        "event": event["event"],
        "way": "relays" if run["relays"] else "source",
        "hollow": run["hollow"],
        "real": run["real"],
        "rows": run["rows"],
        "p50_s": hollow["p50_s"] if observed else None,
        "p99_s": max(hollow["p99_s"], real["p99_s"]) if observed else None,
        "last_s": max(hollow["last_s"], real["last_s"]) if observed else None,
        "missing": hollow["missing"] + real["missing"],
        "with_list": min(observed, run["hollow"] + run["real"]) if observed else None,
        "source_calls": sum(event["source"]["calls"].values()),
        "bytes_out": round(hollow_bytes + real_bytes),
        "requests": request_summary(event, run["events"]),
    }


def request_summary(event: dict[str, Any], events: list[dict[str, Any]]) -> str:
    """Say how the real balancers' requests fared, beside those of the quiet time."""
    quiet_ms = next((one["requests"]["p99_ms"] for one in events if one["event"] == "quiet"), 0.0)
    requests = event["requests"]
    lost = sum(unserved(event).values())
    return (
        f"{lost} of {requests['served'] + lost} not served, "
        f"p99 {requests['p99_ms']:.0f} ms (quiet: {quiet_ms:.0f} ms)"
    )


def unserved(event: dict[str, Any]) -> dict[str, int]:
    """Return the requests that were not served, by their outcome."""
    lost = dict(event["requests"]["unserved"])
    if event["event"].startswith("all start"):
        lost.pop("unreachable", 0)  # nobody serves before the first has started
    return lost


# ---- the verdict


class Check(NamedTuple):
    """A bound and what was measured. timed: measured by a clock, not a count."""

    what: str
    measured: float
    bound: float
    timed: bool = True

    def kept(self) -> bool:
        """Return whether the measured value is within the bound."""
        return self.measured <= self.bound


def checks(run: dict[str, Any]) -> list[Check]:
    """Return the operators' bounds on one run; times and calls are bounded only where there are relays."""
    found = [
        Check("rules broken", sum(run["rules"].values()), 0, False),
        Check("processes that ended unasked", len(run["crashes"]), 0, False),
    ]
    for event in run["events"]:
        found += _event_checks(event)
        if run["relays"]:
            found += _relay_checks(event, run["relays"])
    return found


def _event_checks(event: dict[str, Any]) -> list[Check]:
    name = event["event"]
    missing = event["hollow"]["missing"] + event["real"]["missing"]
    without_list = (event["first_list"] or {"missing": 0})["missing"]
    return [
        Check(f"{name}: balancers that never had a list", without_list, 0, False),
        Check(f"{name}: balancers that never had it", missing, 0, False),
        Check(f"{name}: requests not served", sum(unserved(event).values()), 0, False),
    ]


def _relay_checks(event: dict[str, Any], relays: int) -> list[Check]:
    name, source = event["event"], event["source"]
    if name == ALL_KILLED:
        return []
    found = []
    if event["what"] != ScaleEventKind.CUT:  # balancers that reach no relay call the list service
        calls = source["calls"]["balancers"]
        found.append(Check(f"{name}: balancers' calls at the source", calls, 0, False))
    p99, last = (max(event["hollow"][key], event["real"][key]) for key in ("p99_s", "last_s"))
    if name == "all start":
        calls = source["calls"]["relays"] / relays
        found.append(Check(f"{name}: all have the list", last, START_BOUND_S))
        found.append(Check(f"{name}: calls a relay", calls, START_CALLS_BOUND, False))
    match event["what"]:
        case ScaleEventKind.CHANGE:
            found.append(Check(f"{name}: p99", p99, P99_BOUND_S))
            found.append(Check(f"{name}: last", last, LAST_BOUND_S))
        case ScaleEventKind.DOWN:
            calls = source["calls_after_return"]["relays"] / relays
            found.append(Check(f"{name}: calls a relay at its return", calls, RETURN_CALLS_BOUND, False))
            found.append(Check(f"{name}: last after its return", last, LAST_BOUND_S))
        case ScaleEventKind.KILL:
            found.append(Check(f"{name}: all told again", last, KILL_BOUND_S))
            found.append(
                Check(f"{name}: bytes over the change", event["bytes_over_change"], KILL_BYTES_BOUND)
            )
        case ScaleEventKind.DRIP:
            wait = event["hollow_heard"]["last_s"]
            found.append(Check(f"{name}: wait behind whole lists", wait, WAIT_BOUND_S))
            found.append(Check(f"{name}: MB of the relay", event["relay_peak_mb"], RELAY_MB_BOUND, False))
    return found


def differences(run: dict[str, Any]) -> list[str]:
    """Name the figures in which hollow and real balancers differ by more than MAX_DIFFERENCE."""
    return [
        f"{name}: hollow {one['hollow']:g}, real {one['real']:g}"
        for name, one in run["agreement"].items()
        if one["ratio"] is None and one["hollow"] or one["ratio"] and abs(one["ratio"] - 1.0) > MAX_DIFFERENCE
    ]


def show(run: dict[str, Any]) -> None:
    """Print events and agreement as lines of JSON."""
    for event in run["events"]:
        print("    " + json.dumps(event), flush=True)
    print("    agreement " + json.dumps(run["agreement"]), flush=True)
    if run["share"] in SHARES:
        print(f"    shared by hollow ones: {run['share']}: {SHARES[run['share']]}", flush=True)


def measure(name: str, plan: ScalePlan) -> dict[str, Any] | None:
    """Play one run and print it; None if this machine cannot run it."""
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
    """Return the plans to be played, each with its name."""
    sizes = SMALL if options.small else QUICK if options.quick else FULL
    named = [
        (f"{size.name} {'after' if after else 'before'}", plan_of(size, after, options.seed, options.share))
        for size in sizes
        for after in (False, True)
    ]
    if not (options.small or options.quick):
        named.append((LONG_RUN, long_plan(options.seed)))
    return [(name, plan) for name, plan in named if not options.only or name in options.only]


def verdict(found: list[dict[str, Any]]) -> bool:
    """Print the bounds that were not kept; return whether all were."""
    all_kept = True
    for run in found:
        failed = [check for check in checks(run) if not check.kept()]
        for check in failed:
            print(f"  {run['run']}: NOT KEPT {check.what}: {check.measured:g}, bound {check.bound:g}")
        for text in differences(run):
            print(f"  {run['run']}: hollow and real differ by over {MAX_DIFFERENCE:.0%}: {text}")
        all_kept = all_kept and not failed
    return all_kept


def merge_runs(found: list[dict[str, Any]], path: str | None) -> list[dict[str, Any]]:
    """Return these runs, and those of other names that a file of an earlier call holds, ordered by size."""
    names = {run["run"] for run in found}
    earlier = json.loads(Path(path).read_text())["runs"] if path and Path(path).exists() else []
    order = [f"{size.name} {way}" for size in (*SMALL, *FULL) for way in ("before", "after")]
    order.append(LONG_RUN)
    kept = [run for run in earlier if run["run"] not in names]
    return sorted([*kept, *found], key=lambda run: order.index(run["run"]))


def parse_arguments() -> tuple[argparse.ArgumentParser, argparse.Namespace]:
    """Return the parser of the command line, and its options."""
    parser = argparse.ArgumentParser(prog="python -m bench.scale")
    parser.add_argument("--quick", action="store_true", help="20 real beside 200 and 1,000 hollow")
    parser.add_argument("--small", action="store_true", help="4 real beside 40 hollow")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--add", action="store_true", help="the file's runs of other names stay in it")
    parser.add_argument("--only", nargs="*", default=[], metavar="RUN", help="such as '200 after'")
    parser.add_argument("--share", choices=SHARES, default="", help="what hollow ones share")
    parser.add_argument("--seed", type=int, default=1)
    return parser, parser.parse_args()


def main() -> int:
    """Run the command; return its exit status."""
    parser, options = parse_arguments()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))  # ends what was started
    chosen = runs(options)
    if not chosen and not options.add:  # with --add the file's rows are worked out anew
        parser.error(f"no run of that name: {', '.join(options.only)}")
    found = [run for name, plan in chosen if (run := measure(name, plan)) is not None]
    for run in found:
        run["checks"] = [check._asdict() | {"kept": check.kept()} for check in checks(run)]
    merged = merge_runs(found, options.json if options.add else None)
    rows = [row for run in merged for row in page_rows(run)]
    report({"per_s": CALLS_PER_S, "seed": options.seed, "events": rows, "runs": merged}, options.json)
    kept = verdict(found)
    print(f"scale: {len(found)} of {len(chosen)} runs, bounds {'kept' if kept else 'NOT KEPT'}")
    return 0 if kept and len(found) == len(chosen) else 1


if __name__ == "__main__":
    sys.exit(main())
