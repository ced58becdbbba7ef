"""Replacements under load, measured: python -m bench.upgrade [--quick] [--json FILE].

A balancer is replaced again and again as the platform does it (a second process beside it, SIGTERM to the
old one as soon as the new one is ready) between stand-in upstreams and an open-loop client with kept
connections, long answers among the short ones, and upstreams in maintenance over every other replacement.
The client logs what it saw: each connection that was refused, reset, or closed before an answer counts, also
where another request would have helped. Then: how long the probabilities take to be as good as before, with
the state handed over and without; and how long the second address takes to answer while the balancer's core
is full.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

from bench.common import quantile, report, saturate
from bench.upgrade_clients import Clients
from bench.upgrade_site import (
    UPSTREAMS,
    ReplacedBalancer,
    Replacement,
    call,
    read_journal,
    stand_in_fleet,
)
from quartzford.load.options import Target

RATE = 250.0  # requests a second
MANY_UPSTREAMS = 42  # where the probabilities are learnt anew; a third of them is slow
SETTLE_S, RELEARN_SETTLE_S = 3.0, 5.0
CALM_S = 2.0
AFTER_REPLACEMENT_S, BETWEEN_REPLACEMENTS_S = 0.4, 0.2
WATCHED_S, QUARTER_S = 4.0, 0.25
GRACE_S = 0.25  # from the begin of maintenance to the last send
BEFORE_READY_S = 0.3
AS_GOOD = 1.1  # times the share before the replacement
POLL_S = 0.01
SLOWEST_ANSWER_MS = 1_000.0  # of the second address
JOIN_S = 20.0
SATURATING_WORKERS, SATURATING_CLIENTS = 2, 48

Span = tuple[float, float]  # from and until, monotonic seconds


@contextmanager
def under_load(balancer: ReplacedBalancer, settle_s: float) -> Iterator[Clients]:
    """A balancer's first process and its clients, which have sent for so long; both end with the block."""
    balancer.replace()
    clients = Clients(balancer.port, RATE)
    clients.start()
    try:
        time.sleep(settle_s)
        yield clients
    finally:
        clients.over.set()
        clients.join(JOIN_S)
        balancer.stop()


# ---- replacements


class Maintenance(NamedTuple):
    """An upstream that was out by hand; monotonic seconds."""

    upstream: str
    begun: float
    ended: float


class Course(NamedTuple):
    """What was done under load, and when."""

    calm: Span
    replacements: list[Replacement]
    maintenance: list[Maintenance]


def replace_in_maintenance(balancer: ReplacedBalancer, upstream: str) -> tuple[Replacement, Maintenance]:
    """A replacement while an upstream is in maintenance."""
    assert balancer.call("PUT", "/maintenance/enter", upstream) == 200
    begun = time.monotonic()
    replacement = balancer.replace()
    time.sleep(AFTER_REPLACEMENT_S)
    maintenance = Maintenance(upstream, begun, time.monotonic())
    assert balancer.call("PUT", "/maintenance/exit", upstream) == 200
    return replacement, maintenance


def replace_often(balancer: ReplacedBalancer, count: int) -> Course:
    """A calm time, then so many replacements, every other one while an upstream is in maintenance."""
    calm_from = time.monotonic()
    time.sleep(CALM_S)
    course = Course((calm_from, time.monotonic()), [], [])
    for number in range(count):
        if number % 2:
            replacement, maintenance = replace_in_maintenance(balancer, f"s{number % UPSTREAMS:04}")
            course.maintenance.append(maintenance)
        else:
            replacement = balancer.replace()
            time.sleep(AFTER_REPLACEMENT_S)
        course.replacements.append(replacement)
        time.sleep(BETWEEN_REPLACEMENTS_S)
    return course


def sends_in_maintenance(maintenance: list[Maintenance], journal: dict[str, Any]) -> int:
    """Requests that an upstream got while it was in maintenance, after the time of grace."""
    return sum(
        one.begun + GRACE_S < at < one.ended
        for one in maintenance
        for at, _ in journal["arrivals"].get(one.upstream, [])
    )


def latency_figures(course: Course, latencies: list[tuple[float, float]]) -> dict[str, float]:
    """Latencies in calm and around replacements, ms."""
    replacements = course.replacements
    calm_from, calm_until = course.calm
    calm = [spent for at, spent in latencies if calm_from <= at < calm_until]
    around = [spent for at, spent in latencies if any(r.began <= at <= r.ended for r in replacements)]
    worst = [
        max((spent for at, spent in latencies if r.ready - BEFORE_READY_S <= at <= r.ended), default=0.0)
        for r in replacements
    ]
    return {
        "calm_p50_ms": quantile(calm, 0.5) * 1000,
        "calm_worst_ms": max(calm, default=0.0) * 1000,
        "calm_p99_ms": quantile(calm, 0.99) * 1000,
        "around_p99_ms": quantile(around, 0.99) * 1000,
        "worst_ms": max(worst) * 1000,
        "worst_median_ms": median(worst) * 1000,
    }


def replacements(count: int, discovery: int, known: Any, folder: Path) -> dict[str, Any]:
    """Replace so many times under load; what clients and upstreams saw."""
    balancer = ReplacedBalancer(discovery, known, folder)
    with under_load(balancer, SETTLE_S) as clients:
        course = replace_often(balancer, count)
    journal = read_journal(discovery)
    runs = Counter(identity for _, identity, name, *_ in journal["runs"] if name == "cobro")
    outcomes = clients.outcomes
    return {
        "replacements": count,
        "asked": clients.requests,
        "ends": dict(outcomes),
        "lost": outcomes["cut off"] + outcomes["reset"] + outcomes["unread"],
        "door": clients.failed_connections,
        "closed": outcomes["closed after an answer"],
        "bans": len(course.maintenance),
        "sent_to_banned": sends_in_maintenance(course.maintenance, journal),
        "cobro_twice": sum(n > 1 for n in runs.values()),
        "overlapping": journal["overlapping"],
        "yes_s": median(r.ready - r.began for r in course.replacements),
        "ended_s": median(r.ended - r.ready for r in course.replacements),
        **latency_figures(course, clients.latencies),
    }


# ---- learnt probabilities


class SlowSends:
    """When upstreams got requests, and whether these were of the slow third."""

    def __init__(self, journal: dict[str, Any]) -> None:
        slow = {f"s{number:04}" for number in range(MANY_UPSTREAMS // 3)}
        arrivals = journal["arrivals"].items()
        self.sends = [(at, name in slow) for name, rows in arrivals for at, _ in rows]

    def share(self, spans: list[Span]) -> float:
        """The slow third's share of the sends within any of the spans."""
        hits = [slow for at, slow in self.sends if any(since <= at < until for since, until in spans)]
        return sum(hits) / max(1, len(hits))


def recovery(replacements: list[Replacement], sends: SlowSends) -> dict[str, Any]:
    """The slow third's share before and after replacements, added up over them.

    before: in the last second; after: by quarters of a second from when the new process was ready;
    as_good_after_s: from when on a second of it is within a tenth of before (None: not while watched).
    """
    before = sends.share([(r.began - 1.0, r.began) for r in replacements])
    steps = [number * QUARTER_S for number in range(int(WATCHED_S / QUARTER_S))]
    after = [
        sends.share([(r.ready + step, r.ready + step + QUARTER_S) for r in replacements]) for step in steps
    ]
    seconds = [sum(after[first : first + 4]) / 4 for first in range(len(after) - 3)]
    good = (step for step, share in zip(steps, seconds, strict=False) if share <= AS_GOOD * before)
    return {"before": before, "after": after, "as_good_after_s": next(good, None)}


def relearn(pairs: int, discovery: int, known: Any, folder: Path) -> dict[str, Any]:
    """Replacements with the state handed over and without, in turn under one load; see `recovery`."""
    balancer = ReplacedBalancer(discovery, known, folder)
    with under_load(balancer, RELEARN_SETTLE_S):
        made: dict[str, list[Replacement]] = {"with": [], "without": []}
        for _ in range(pairs):
            for name, shared in (("with", True), ("without", False)):
                made[name].append(balancer.replace(shared))
                time.sleep(WATCHED_S)
    sends = SlowSends(read_journal(discovery))
    return {name: recovery(replacements, sends) for name, replacements in made.items()}


# ---- the second address


class Caller(threading.Thread):
    """Calls a second address one time after the other. waits: for its answers, in seconds."""

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.port = port
        self.waits: list[float] = []
        self.over = threading.Event()

    def run(self) -> None:
        """Call until `over` is set."""
        while not self.over.is_set():
            began = time.monotonic()
            assert call(self.port, "GET", "/status/metrics") == 200
            self.waits.append(time.monotonic() - began)
            time.sleep(POLL_S)


def second_address(seconds: float, discovery: int, known: Any, folder: Path) -> dict[str, float]:
    """What callers wait while closed-loop clients keep the balancer's core full."""
    balancer = ReplacedBalancer(discovery, known, folder)
    balancer.replace()
    caller = Caller(balancer.admin)
    caller.start()
    target = Target("127.0.0.1", balancer.port)
    load = saturate(target, seconds, SATURATING_WORKERS, SATURATING_CLIENTS)
    caller.over.set()
    caller.join(10)
    balancer.stop()
    return {
        "rate": load["rate"],
        "calls": len(caller.waits),
        "p50_ms": quantile(caller.waits, 0.5) * 1000,
        "p99_ms": quantile(caller.waits, 0.99) * 1000,
        "worst_ms": max(caller.waits) * 1000,
    }


# ---- the run


def show_replacements(count: int, row: dict[str, Any]) -> None:
    """Print the result of `replacements`."""
    print(f"{count} replacements at {RATE:.0f}/s: {row['asked']} asked, ends {row['ends']}")
    print(
        f"  yes after {row['yes_s']:.2f} s, the old one ended {row['ended_s']:.2f} s later\n"
        f"  calm p50 {row['calm_p50_ms']:.1f}, p99 {row['calm_p99_ms']:.1f}, "
        f"worst {row['calm_worst_ms']:.1f} ms; from start to end p99 {row['around_p99_ms']:.1f} ms\n"
        f"  worst around a replacement: median {row['worst_median_ms']:.1f}, "
        f"most {row['worst_ms']:.1f} ms\n"
        f"  {row['bans']} bans, {row['sent_to_banned']} sent there after {GRACE_S:.2f} s; "
        f"cobros twice {row['cobro_twice']}, overlapping attempts {row['overlapping']}"
    )


def show_relearnt(rows: dict[str, Any]) -> None:
    """Print the result of `relearn`."""
    for name, row in rows.items():
        quarters = " ".join(f"{value:.2f}" for value in row["after"])
        print(
            f"{name} the state, {MANY_UPSTREAMS} nodos: {row['before']:.3f} of requests"
            " at the slow third before;"
        )
        print(f"  by quarters of a second after: {quarters}; as good after {row['as_good_after_s']} s")


def show_second_address(row: dict[str, float]) -> None:
    """Print the result of `second_address`."""
    print(
        f"second address at a full core ({row['rate']:.0f}/s served): {row['calls']} calls, p50 "
        f"{row['p50_ms']:.1f}, p99 {row['p99_ms']:.1f}, worst {row['worst_ms']:.1f} ms"
    )


def show_verdict(result: dict[str, Any]) -> None:
    """Print the run's figures in one line."""
    row, relearnt = result["replacements"], result["relearn"]
    good = {name: part["as_good_after_s"] for name, part in relearnt.items()}
    print(
        f"upgrade: {'rules kept' if result['kept'] else 'A RULE BROKEN'}; lost {row['lost']}, "
        f"at the door {row['door']}, worst {row['worst_ms']:.0f} ms (calm {row['calm_worst_ms']:.0f}); "
        f"P as good after {good['with']} s with, {good['without']} s without; "
        f"second address p99 {result['second_address']['p99_ms']:.1f} ms"
    )


def measure(quick: bool) -> dict[str, Any]:
    """Measure all three, printing each; the result."""
    count, pairs, seconds = (5, 1, 3.0) if quick else (50, 6, 10.0)
    with tempfile.TemporaryDirectory() as name:
        folders = [Path(name) / part for part in ("replace", "relearn", "full")]
        for folder in folders:
            folder.mkdir()
        with stand_in_fleet() as fleet:
            replaced = replacements(count, *fleet, folders[0])
        show_replacements(count, replaced)
        with stand_in_fleet(MANY_UPSTREAMS) as fleet:
            relearnt = relearn(pairs, *fleet, folders[1])
        show_relearnt(relearnt)
        with stand_in_fleet() as fleet:
            full = second_address(seconds, *fleet, folders[2])
        show_second_address(full)
    broken = any(replaced[rule] for rule in ("lost", "sent_to_banned", "cobro_twice", "overlapping"))
    kept = not broken and full["worst_ms"] < SLOWEST_ANSWER_MS
    return {"replacements": replaced, "relearn": relearnt, "second_address": full, "kept": kept}


def main() -> int:
    """Measure, print and report; the exit status is 1 where a rule was broken."""
    parser = argparse.ArgumentParser(prog="python -m bench.upgrade")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    result = measure(options.quick)
    show_verdict(result)
    report(result, options.json)
    return 0 if result["kept"] else 1


if __name__ == "__main__":
    sys.exit(main())
