"""What decisions and list changes cost as the fleet grows: python -m bench.decisions [--quick] [--json FILE].

The module as it is, as it was before its names were renewed (BEFORE), and as it was before its cost was cut
(the reference that BEFORE's own bench loads), in turns in one run, since absolute times are not stable. Only
the module's own time is counted. Then how long list updates stall a balancer's loop (bench.list_stalls).
--million shows P's drift over a million updates.
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from statistics import median
from typing import Any

from bench.common import ROOT, checkout, report
from bench.list_stalls import list_stalls
from bench.module_process import Cost, ModuleProcess
from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer

BEFORE = "9ed1b487dc8c6ced089b65669be09322fabe9e99"
MOST_OVER_BEFORE = 1.05
LEAST_ROUNDS = 5
SIZES = (10, 24, 97, 500, 2_000, 10_000)
LISTED_SERVERS = 10_000  # of the list whose updates are timed
SECONDS, QUICK_SECONDS = 6.0, 1.0  # for each size
REFERENCE_SIZE, QUICK_REFERENCE_SIZE = 10_000, 2_000  # the largest at which the first module is played
SEED = 5
STALL_MS = 20.0
MAX_IN_FLIGHT = 60
DRIFT_UPDATES, DRIFT_CHECK_EVERY, DRIFT_SIZES = 1_000_000, 997, (24, 97)
MOST_DRIFT = 1e-9
CLASSES = (
    io.ServiceClass("consulta", 500.0, 2_000.0, priority_weight=1.0, effect="free"),
    io.ServiceClass(
        "reserva", 600.0, 2_000.0, priority_weight=10.0, effect="keyed", group="cell", window_ms=2_000.0
    ),
    io.ServiceClass("cobro", 600.0, 2_000.0, priority_weight=8.0, effect="unsafe"),
)
MIX = ("consulta",) * 6 + ("reserva",) * 3 + ("cobro",)


def settings() -> io.Settings:
    """The module's settings."""
    return io.Settings(
        zone="z0",
        balancers=1,
        classes=CLASSES,
        prices=io.Prices(cross_zone=0.002),
        rules=io.Rules(0.0, 250.0, 10_000.0, 0.13, 24_000.0, 4.0, 2_000.0),
        limits=io.Limits(max_attempts=4, may_cancel=True, retry_after=True, max_retry_after_ms=2_000.0),
        report_fields=("depth",),
    )


def entry(number: int, started: float = 0.0, state: str = "ready") -> io.Endpoint:
    """The server of this number as a row of the endpoint list."""
    return io.Endpoint(f"s{number}", f"z{number % 3}", "std", number // 4, state, 1.0, started)


class Site:
    """One module with so many servers; half as many requests as servers are in flight, up to MAX_IN_FLIGHT.

    bench.module_process drives it here and in earlier checkouts: Site, join_ms, request and change keep their
    names. join_ms: the module's time for its first list.
    """

    def __init__(self, make: Callable[[io.Settings, int], Any], servers: int) -> None:
        self.module, self.servers = make(settings(), SEED), servers
        self.rng, self.now, self.number = random.Random(SEED), 100_000.0, 0
        self.in_flight: deque[io.Send] = deque()
        first_list = io.EndpointListUpdate("stale", tuple(entry(number) for number in range(servers)))
        self.join_ms = self.feed(first_list) / 1e3

    def feed(self, event: io.Event) -> float:
        """The module's time for one event, in microseconds."""
        begun = time.perf_counter()
        actions = self.module.handle(self.now, event)
        spent = (time.perf_counter() - begun) * 1e6
        self.in_flight.extend(action for action in actions if isinstance(action, io.Send))
        return spent

    def request(self) -> float:
        """A request and an answer: what one request costs, in microseconds."""
        self.now += 0.4
        self.number += 1
        spent = self.feed(io.Request(self.number, self.rng.choice(MIX), 2_000.0, "", f"k{self.number}"))
        if len(self.in_flight) > min(MAX_IN_FLIGHT, max(1, self.servers // 2)):
            send = self.in_flight.popleft()
            latency = 5.0 + self.rng.expovariate(0.1)
            load_report = (self.rng.random() * 3,)
            ended = io.AttemptEnded(send.request, 0, send.server, "ok", latency, True, load_report)
            spent += self.feed(ended)
        return spent

    def change(self) -> float:
        """A server drains and comes back: one list change, in microseconds."""
        number = self.rng.randrange(self.servers)
        spent = self.feed(io.EndpointListUpdate("changes", (entry(number, state="draining"),)))
        return (spent + self.feed(io.EndpointListUpdate("changes", (entry(number),)))) / 2


# ---- costs


def _batch(name: str, servers: int) -> int:
    """So many requests at a time that the cache misses after the other modules' turns are a small part."""
    if name != "old" or servers <= 500:
        return 200
    return 20 if servers < 5_000 else 5


def _measure_in_turns(
    modules: dict[str, ModuleProcess], servers: int, seconds: float
) -> dict[str, list[Cost]]:
    """The costs of each module, one turn after the other: all meet the machine as it is at that moment."""
    costs: dict[str, list[Cost]] = {name: [] for name in modules}
    end = time.monotonic() + seconds
    while time.monotonic() < end or len(costs["new"]) < LEAST_ROUNDS:
        for name, module in modules.items():
            costs[name].append(module.measure(_batch(name, servers)))
    return costs


def decisions(servers: int, seconds: float, earlier: Path, with_reference: bool) -> dict[str, Any]:
    """The costs at one size: of the module here, of the one in `earlier`, and of the first one of all."""
    row: dict[str, Any] = {"servers": servers}
    with ExitStack() as stack:
        modules = {
            "new": stack.enter_context(ModuleProcess(ROOT, "Balancer", servers)),
            "before": stack.enter_context(ModuleProcess(earlier, "Balancer", servers)),
        }
        if with_reference:
            modules["old"] = stack.enter_context(ModuleProcess(earlier, "old_module()", servers))
        costs = _measure_in_turns(modules, servers, seconds)
        for name, module in modules.items():
            row[f"{name}_us"] = round(median(cost.request_us for cost in costs[name]), 1)
            row[f"{name}_change_us"] = round(median(cost.change_us for cost in costs[name]), 1)
            row[f"{name}_first_list_ms"] = round(module.first_list_ms, 2)
    row["new_over_before"] = round(row["new_us"] / row["before_us"], 3)
    if with_reference:
        row["new_over_old"] = round(row["new_us"] / row["old_us"], 3)
    return row


def drift(updates: int) -> dict[str, float]:
    """How far P's sum goes from 1 over so many updates, by the number of servers."""
    worst_by_size = {}
    for servers in DRIFT_SIZES:
        site = Site(Balancer, servers)
        site.request()
        shares, worst = site.module.endpoints.shares, 0.0
        for number in range(updates):
            shares.score(number * 7 % servers, 0.5 + number % 13 / 6)
            if number % DRIFT_CHECK_EVERY == 0:
                worst = max(worst, abs(float(sum(shares.p)) - 1.0))
        worst_by_size[str(servers)] = worst
    return worst_by_size


# ---- the run


def cost_rows(quick: bool) -> list[dict[str, Any]]:
    """The costs at all sizes, printed as they come."""
    seconds = QUICK_SECONDS if quick else SECONDS
    reference_size = QUICK_REFERENCE_SIZE if quick else REFERENCE_SIZE
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        checkout(BEFORE, Path(folder), "quartzford", "bench", "standins")
        for servers in SIZES:
            rows.append(decisions(servers, seconds, Path(folder), servers <= reference_size))
            print("  " + ", ".join(f"{name} {value}" for name, value in rows[-1].items()), flush=True)
    return rows


def cost_goals(rows: list[dict[str, Any]]) -> dict[str, bool]:
    """Whether the costs are as low as they should be, by goal."""
    by_size = {row["servers"]: row for row in rows}
    at_97 = by_size[97]["new_us"]
    over_before = median(row["new_over_before"] for row in rows)
    dearer = f"no dearer than {MOST_OVER_BEFORE:g} of the module before, in the median over the sizes"
    return {
        dearer: over_before <= MOST_OVER_BEFORE,
        "at 10 no dearer than the old": by_size[10]["new_over_old"] <= 1.0,
        "at 97 a third of the old at most": by_size[97]["new_over_old"] <= 1 / 3,
        "at 2,000 at most 1.5 times that at 97": by_size[2_000]["new_us"] <= 1.5 * at_97,
        "at 10,000 at most 4 times that at 97": by_size[10_000]["new_us"] <= 4 * at_97,
    }


def measure(quick: bool, million: bool) -> dict[str, Any]:
    """Measure and print; the result. million: with P's drift."""
    rows = cost_rows(quick)
    goals = cost_goals(rows)
    stalls = list_stalls(LISTED_SERVERS)
    for name, row in stalls.items():
        print(f"  list of 10,000, {name}: {row}")
    longest = max(row["stall_ms"] for row in stalls.values())
    goals[f"no list update stalls the loop over {STALL_MS:g} ms"] = longest <= STALL_MS
    result: dict[str, Any] = {"rows": rows, "lists_ms": stalls, "aims": goals}
    if million:
        result["drift"] = drift(DRIFT_UPDATES)
        print(f"  P's sum off 1 over a million updates, at most: {result['drift']}")
        goals["P's drift under 1e-9"] = max(result["drift"].values()) < MOST_DRIFT
    return result


def main() -> int:
    """Measure, print and report; the exit status is 1 where a goal is missed."""
    parser = argparse.ArgumentParser(prog="python -m bench.decisions")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--million", action="store_true", help="P's drift over a million updates")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    result = measure(options.quick, options.million)
    goals: dict[str, bool] = result["aims"]
    for name, kept in goals.items():
        print(f"  {name}: {'kept' if kept else 'NOT KEPT'}")
    report(result, options.json)
    return 0 if all(goals.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
