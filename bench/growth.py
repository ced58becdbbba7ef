"""Sixteen times the upstreams: python -m bench.growth [--quick] [--json FILE].

One balancer process on loopback, with the same traffic before 200 and before 3,200 upstreams, a twelfth of
which is replaced, once with more cells and once with larger ones. What the balancer needs may grow only so
far: BOUNDS. An upstream's share of the balancer's traffic sinks as its number grows, as in a fleet whose
balancers grow in number too. The quick form plays two of the four days, up to 1,600 upstreams.
Exit status: 0 all bounds hold, 1 one is broken, 130 interrupted. docs/spread.md tells what the figures mean.
"""

from __future__ import annotations

import argparse
import os
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import product
from math import inf
from pathlib import Path
from typing import Any, NamedTuple

from bench.common import report
from bench.growth_site import CHURNS, LAYOUTS, Day, RunningSite, site
from bench.slopes_process import processor_s, resident_mb
from bench.slopes_requests import balancer_process
from quartzford.load.clients import DEFAULT_CLASSES, SERVED, SINGLE_ATTEMPT
from quartzford.load.options import LoadOptions, Target
from quartzford.load.run import play

RATE = 40.0  # requests a second
REPLACED = 12  # one upstream in so many
CLIENTS = 8  # connections of clients that stand
SAMPLE_S = 0.02  # between two looks at the process's descriptors
KB = 1_000.0


class Needs(NamedTuple):
    """What a balancer needed over a day."""

    cpu_s: float
    peak_mb: float
    descriptors: int
    connections: int
    list_kb: float
    served: float  # share of the requests


class Bound(NamedTuple):
    """A figure may be so many times that of the usual size, plus a constant and so much for each thousand."""

    name: str
    field: str
    times: float
    plus: float
    per_thousand: float
    least: bool = False  # it bounds from below

    def limit(self, usual: float, upstreams: int) -> float:
        """The bound at so many upstreams, from the figure at the usual size."""
        return self.times * usual + self.plus + self.per_thousand * upstreams / 1_000

    def holds(self, usual: float, large: float, upstreams: int) -> bool:
        """Whether the figure at so many upstreams keeps it."""
        limit = self.limit(usual, upstreams)
        return large >= limit if self.least else large <= limit


BOUNDS = (
    Bound("processor time (s)", "cpu_s", 1.4, 0.02, 0.12),
    Bound("peak memory (MB)", "peak_mb", 1.5, 8.0, 4.0),
    Bound("descriptors", "descriptors", 2.0, 40.0, 0.0),
    Bound("connections made to upstreams", "connections", 2.5, 40.0, 0.0),
    Bound("lists while changes are told (KB)", "list_kb", 2.0, 64.0, 500.0),
    Bound("share served", "served", 0.85, 0.0, 0.0, least=True),
)


class Sizes(NamedTuple):
    """One run: the two sizes, and the day's times in seconds."""

    usual: int
    large: int
    seconds: float
    churn_from: float
    churn_s: float
    days: tuple[tuple[str, str], ...]  # churn and layout


QUICK = Sizes(200, 1_600, 12.0, 3.0, 6.0, tuple(zip(CHURNS, reversed(LAYOUTS), strict=True)))
FULL = Sizes(200, 3_200, 24.0, 8.0, 8.0, tuple(product(CHURNS, LAYOUTS)))


class Descriptors:
    """The most descriptors that a process has held, looked at all the time by a thread."""

    def __init__(self, pid: int) -> None:
        self.folder = Path(f"/proc/{pid}/fd")
        self.most = 0
        self.ended = threading.Event()

    def watch(self) -> None:
        """Look until the end."""
        while not self.ended.wait(SAMPLE_S):
            self.most = max(self.most, len(os.listdir(self.folder)))


@contextmanager
def descriptors(pid: int) -> Iterator[Descriptors]:
    """Descriptors of a process, watched within the block."""
    watched = Descriptors(pid)
    thread = threading.Thread(target=watched.watch, daemon=True)
    thread.start()
    try:
        yield watched
    finally:
        watched.ended.set()
        thread.join()


def traffic(port: int, day: Day, begun: Callable[[], None]) -> float:
    """Play the day's requests; the share that was served."""
    load = LoadOptions(
        Target("127.0.0.1", port, initial_connections=CLIENTS),
        shape=f"constant:{day.rate:g}",
        seconds=day.seconds,
        seed=day.seed,
        request_classes=DEFAULT_CLASSES,
        behaviour=SINGLE_ATTEMPT,
        max_lateness_ms=inf,
    )
    result = play(load, begun)
    if result["interrupted"]:
        raise KeyboardInterrupt
    ends: dict[str, int] = result["ends"]
    served = sum(count for name, count in ends.items() if name.endswith(f" {SERVED}"))
    ended: int = result["ended"]
    return served / max(1, ended)


def needs(day: Day) -> Needs:
    """Play a day, and tell what the balancer needed."""
    with site(day) as running, balancer_process(running.port, running.known) as (port, pid):
        return _needs(day, running, port, pid)


def _needs(day: Day, running: RunningSite, port: int, pid: int) -> Needs:
    with descriptors(pid) as watched:
        served = traffic(port, day, running.begin)
    counts = running.counts()
    return Needs(
        round(processor_s(pid), 2),
        round(resident_mb(pid, peak=True), 1),
        watched.most,
        counts.connections,
        round(counts.list_bytes / KB, 1),
        round(served, 4),
    )


def day_of(churn: str, layout: str, upstreams: int, sizes: Sizes) -> Day:
    """The day of a churn and a layout at a size."""
    replaced = upstreams // REPLACED
    return Day(churn, layout, upstreams, RATE, sizes.seconds, sizes.churn_from, sizes.churn_s, replaced)


def compared(day: str, usual: Needs, large: Needs, upstreams: int) -> list[dict[str, Any]]:
    """A row for each bound."""
    rows = []
    for bound in BOUNDS:
        before, after = getattr(usual, bound.field), getattr(large, bound.field)
        rows.append(
            {
                "day": day,
                "what": bound.name,
                "usual": before,
                "large": after,
                "bound": round(bound.limit(before, upstreams), 2),
                "holds": bound.holds(before, after, upstreams),
            }
        )
    return rows


def line(row: dict[str, Any]) -> str:
    """A row as text."""
    verdict = "holds" if row["holds"] else "BROKEN"
    return (
        f"  {row['day']}, {row['what']}: {row['usual']:g} -> {row['large']:g},"
        f" bound {row['bound']:g}: {verdict}"
    )


def measure(sizes: Sizes) -> dict[str, Any]:
    """All rows of all days."""
    rows = []
    for churn, layout in sizes.days:
        usual, large = (needs(day_of(churn, layout, size, sizes)) for size in (sizes.usual, sizes.large))
        found = compared(f"{churn}, {layout}", usual, large, sizes.large)
        for row in found:
            print(line(row), flush=True)
        rows += found
    return {"sizes": sizes._asdict(), "rate": RATE, "load": os.getloadavg()[0], "rows": rows}


def main() -> int:
    """Measure, print and report; the exit status."""
    parser = argparse.ArgumentParser(prog="python -m bench.growth")
    parser.add_argument("--quick", action="store_true", help="1,600 upstreams over shorter days")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    try:
        result = measure(QUICK if options.quick else FULL)
    except KeyboardInterrupt:
        print("interrupted: nothing is written", file=sys.stderr)
        return 130
    report(result, options.json)
    broken = [row for row in result["rows"] if not row["holds"]]
    verdict = f"{len(broken)} of {len(result['rows'])} bounds BROKEN" if broken else "bounds kept"
    print(f"growth: {verdict}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
