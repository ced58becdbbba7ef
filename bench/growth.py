"""Resource use at sixteen times the upstreams: python -m bench.growth [--quick] [--json FILE].

One balancer process on loopback, with the same traffic before 200 and before 3,200 upstreams, a twelfth of
which is replaced, once with more cells and once with larger ones. The balancer's resource use may grow only
as far as BOUNDS say. An upstream's share of the balancer's traffic sinks as their number grows, as in a fleet
whose balancers grow in number too. The quick form plays two of the four days, up to 1,600 upstreams.
Exit status: 0 all bounds hold, 1 one is broken, 130 interrupted. docs/spread.md explains the figures.
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
CLIENTS = 8  # connections that clients keep open
SAMPLE_S = 0.02  # between two counts of the process's descriptors
KB = 1_000.0


class ResourceUse(NamedTuple):
    """What a balancer used over a day: processor seconds, MB, numbers, KB."""

    cpu_s: float
    peak_mb: float
    descriptors: int
    connections: int
    list_kb: float
    served: float  # share of the requests


class Bound(NamedTuple):
    """A limit on a figure: so many times that at the usual size, plus a constant and a part by upstreams.

    field: of ResourceUse. per_thousand: for each thousand upstreams.
    """

    name: str
    field: str
    factor: float
    constant: float
    per_thousand: float
    is_minimum: bool = False

    def limit(self, usual: float, upstreams: int) -> float:
        """The limit at so many upstreams, from the figure at the usual size."""
        return self.factor * usual + self.constant + self.per_thousand * upstreams / 1_000

    def holds(self, usual: float, large: float, upstreams: int) -> bool:
        """Whether the figure at so many upstreams is within the limit."""
        limit = self.limit(usual, upstreams)
        return large >= limit if self.is_minimum else large <= limit


BOUNDS = (
    Bound("processor time (s)", "cpu_s", 1.4, 0.02, 0.12),
    Bound("peak memory (MB)", "peak_mb", 1.5, 8.0, 4.0),
    Bound("descriptors", "descriptors", 2.0, 40.0, 0.0),
    Bound("connections made to upstreams", "connections", 2.5, 40.0, 0.0),
    Bound("lists while changes are told (KB)", "list_kb", 2.0, 64.0, 500.0),
    Bound("share served", "served", 0.85, 0.0, 0.0, is_minimum=True),
)


class Sizes(NamedTuple):
    """One run: two numbers of upstreams, and the days' times in seconds. The fields are keys of results."""

    usual: int
    large: int
    seconds: float
    churn_from: float
    churn_s: float
    days: tuple[tuple[str, str], ...]  # churn and layout


QUICK = Sizes(200, 1_600, 12.0, 3.0, 6.0, tuple(zip(CHURNS, reversed(LAYOUTS), strict=True)))
FULL = Sizes(200, 3_200, 24.0, 8.0, 8.0, tuple(product(CHURNS, LAYOUTS)))


class Descriptors:
    """The most descriptors that a process has held, sampled by a thread. most: so far."""

    def __init__(self, pid: int) -> None:
        self.folder = Path(f"/proc/{pid}/fd")
        self.most = 0
        self.ended = threading.Event()

    def watch(self) -> None:
        """Sample until `ended` is set."""
        while not self.ended.wait(SAMPLE_S):
            self.most = max(self.most, len(os.listdir(self.folder)))


@contextmanager
def descriptors(pid: int) -> Iterator[Descriptors]:
    """The descriptors of a process, sampled within the block."""
    sampler = Descriptors(pid)
    thread = threading.Thread(target=sampler.watch, daemon=True)
    thread.start()
    try:
        yield sampler
    finally:
        sampler.ended.set()
        thread.join()


def traffic(port: int, day: Day, begun: Callable[[], None]) -> float:
    """Play the day's requests; the share that was served. begun: called as the first is sent."""
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
    outcomes: dict[str, int] = result["ends"]
    served = sum(count for name, count in outcomes.items() if name.endswith(f" {SERVED}"))
    ended: int = result["ended"]
    return served / max(1, ended)


def measure_day(day: Day) -> ResourceUse:
    """Play a day on a site and a balancer of its own; what the balancer used."""
    with site(day) as running, balancer_process(running.port, running.known) as (port, pid):
        return _measure(day, running, port, pid)


def _measure(day: Day, running: RunningSite, port: int, pid: int) -> ResourceUse:
    with descriptors(pid) as sampler:
        served = traffic(port, day, running.begin)
    counts = running.counts()
    return ResourceUse(
        round(processor_s(pid), 2),
        round(resident_mb(pid, peak=True), 1),
        sampler.most,
        counts.connections,
        round(counts.list_bytes / KB, 1),
        round(served, 4),
    )


def day_of(churn: str, layout: str, upstreams: int, sizes: Sizes) -> Day:
    """The day of a churn and a layout at a size."""
    replaced = upstreams // REPLACED
    return Day(churn, layout, upstreams, RATE, sizes.seconds, sizes.churn_from, sizes.churn_s, replaced)


def compare(day: str, usual: ResourceUse, large: ResourceUse, upstreams: int) -> list[dict[str, Any]]:
    """A row for each bound: the figure at the usual size and at so many upstreams, and whether it holds."""
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
    """Play all days, printing their rows; the result."""
    rows = []
    for churn, layout in sizes.days:
        usual = measure_day(day_of(churn, layout, sizes.usual, sizes))
        large = measure_day(day_of(churn, layout, sizes.large, sizes))
        day_rows = compare(f"{churn}, {layout}", usual, large, sizes.large)
        for row in day_rows:
            print(line(row), flush=True)
        rows += day_rows
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
