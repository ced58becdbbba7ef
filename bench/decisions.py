"""What decisions and list changes cost as the fleet grows: python -m bench.decisions [--quick] [--json FILE].

The module as it is against the module as it was (tests/reference_policy.py), in turns within one run, since
absolute times are not stable. Only the module's own time is counted. --million shows P's drift over a million
updates.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import deque
from collections.abc import Callable
from statistics import median
from typing import Any

from bench.common import report
from quartzford import interface as io
from quartzford.logic import Balancer
from tests.reference_policy import Balancer as Old

SIZES = (10, 24, 97, 500, 2_000, 10_000)
SEED = 5
STALL_MS = 20.0
MOST_OUT = 60
CLASSES = (
    io.ServiceClass("consulta", 500.0, 2_000.0, worth=1.0, effect="free"),
    io.ServiceClass("reserva", 600.0, 2_000.0, worth=10.0, effect="keyed", group="cell", window_ms=2_000.0),
    io.ServiceClass("cobro", 600.0, 2_000.0, worth=8.0, effect="unsafe"),
)
MIX = ("consulta",) * 6 + ("reserva",) * 3 + ("cobro",)


def settings() -> io.Settings:
    return io.Settings(
        zone="z0", balancers=1, classes=CLASSES, prices=io.Prices(cross_zone=0.002),
        rules=io.Rules(0.0, 250.0, 10_000.0, 0.13, 24_000.0, 4.0, 2_000.0),
        limits=io.Limits(max_attempts=4, may_cancel=True, retry_after=True, max_retry_after_ms=2_000.0),
        report_fields=("depth",),
    )  # fmt: skip


def entry(number: int, started: float = 0.0, state: str = "ready") -> io.Entry:
    return io.Entry(f"s{number}", f"z{number % 3}", "std", number // 4, state, 1.0, started)


class Site:
    """One module with so many servers; out are half as many requests as servers, up to MOST_OUT."""

    def __init__(self, make: Callable[[io.Settings, int], Any], servers: int) -> None:
        self.module, self.servers = make(settings(), SEED), servers
        self.rng, self.now, self.number = random.Random(SEED), 100_000.0, 0
        self.out: deque[io.Send] = deque()
        self.spent = 0.0
        self.join_ms = self.feed(io.ListUpdate("stale", tuple(entry(n) for n in range(servers)))) / 1e3

    def feed(self, event: io.Event) -> float:
        """The module's time for one event, in microseconds."""
        begun = time.perf_counter()
        actions = self.module.handle(self.now, event)
        spent = (time.perf_counter() - begun) * 1e6
        self.out.extend(action for action in actions if isinstance(action, io.Send))
        return spent

    def request(self) -> float:
        """A request and an answer: what one request costs, in microseconds."""
        self.now += 0.4
        self.number += 1
        spent = self.feed(io.Request(self.number, self.rng.choice(MIX), 2_000.0, "", f"k{self.number}"))
        if len(self.out) > min(MOST_OUT, max(1, self.servers // 2)):
            send = self.out.popleft()
            took = 5.0 + self.rng.expovariate(0.1)
            said = (self.rng.random() * 3,)
            spent += self.feed(io.Outcome(send.request, 0, send.server, "ok", took, True, said))
        return spent

    def change(self) -> float:
        """A server drains and comes back: one list change, in microseconds."""
        number = self.rng.randrange(self.servers)
        spent = self.feed(io.ListUpdate("changes", (entry(number, state="draining"),)))
        return (spent + self.feed(io.ListUpdate("changes", (entry(number),)))) / 2


def decisions(servers: int, seconds: float, with_old: bool) -> dict[str, Any]:
    sites = {"new": Site(Balancer, servers)} | ({"old": Site(Old, servers)} if with_old else {})
    row: dict[str, Any] = {"servers": servers}
    costs: dict[str, list[float]] = {name: [] for name in sites}
    changes: dict[str, list[float]] = {name: [] for name in sites}
    for site in sites.values():
        for _ in range(2 * MOST_OUT):  # from here on each request comes with an answer
            site.request()
    end = time.monotonic() + seconds
    while time.monotonic() < end or len(costs["new"]) < 5:
        for name, site in sites.items():  # in turns: both meet the machine as it is at that moment
            # So many at a time that the cache that the other has left cold is a small part of it.
            count = 200 if name == "new" or servers <= 500 else 20 if servers < 5_000 else 5
            costs[name].append(sum(site.request() for _ in range(count)) / count)
            changes[name].append(site.change())
    for name, site in sites.items():
        row[f"{name}_us"] = round(median(costs[name]), 1)
        row[f"{name}_change_us"] = round(median(changes[name]), 1)
        row[f"{name}_first_list_ms"] = round(site.join_ms, 2)
    if with_old:
        row["new_over_old"] = round(row["new_us"] / row["old_us"], 3)
    return row


def lists(servers: int) -> dict[str, float]:
    """What one update of a kind takes at worst of five, in ms: it holds the loop for so long."""
    worst: dict[str, float] = {}
    for _ in range(5):
        site = Site(Balancer, servers)
        for _ in range(20):
            site.request()
        kinds = {
            "the same list again": io.ListUpdate("whole", tuple(entry(n) for n in range(servers))),
            "one flaps": io.ListUpdate("changes", (entry(1, state="draining"),)),
            "22% gone in one line": io.ListUpdate(
                "changes", tuple(entry(n, state="gone") for n in range(0, servers, 9) for n in (n, n + 4))
            ),
            "rolling deploy of 85%": io.ListUpdate(
                "changes", tuple(entry(n, started=site.now) for n in range(int(servers * 0.85)))
            ),
            "a list of nobody": io.ListUpdate("whole"),
            "all join": io.ListUpdate("whole", tuple(entry(n) for n in range(servers))),
        }
        for name, event in kinds.items():
            worst[name] = max(worst.get(name, 0.0), site.feed(event) / 1e3)
            if name != "a list of nobody":
                site.feed(io.Request(10**9 + len(worst), "cobro", 2_000.0))
    return {name: round(ms, 2) for name, ms in worst.items()}


def drift(updates: int) -> dict[str, float]:
    """How far P's sum goes from 1 over so many updates at 24 and 97 servers."""
    out = {}
    for servers in (24, 97):
        site = Site(Balancer, servers)
        site.request()
        shares, worst = site.module.fleet.shares, 0.0
        for number in range(updates):
            shares.score(number * 7 % servers, 0.5 + number % 13 / 6)
            if number % 997 == 0:
                worst = max(worst, abs(float(sum(shares.p)) - 1.0))
        out[str(servers)] = worst
    return out


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.decisions")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--million", action="store_true", help="P's drift over a million updates")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    seconds = 1.0 if options.quick else 6.0
    rows = []
    for servers in SIZES:
        rows.append(decisions(servers, seconds, servers <= (2_000 if options.quick else 10_000)))
        print("  " + ", ".join(f"{name} {value}" for name, value in rows[-1].items()), flush=True)
    by_size = {row["servers"]: row for row in rows}
    small = by_size[97]["new_us"]
    aims = {
        "at 10 no dearer than the old": by_size[10]["new_over_old"] <= 1.0,
        "at 97 a third of the old at most": by_size[97]["new_over_old"] <= 1 / 3,
        "at 2,000 at most 1.5 times that at 97": by_size[2_000]["new_us"] <= 1.5 * small,
        "at 10,000 at most 4 times that at 97": by_size[10_000]["new_us"] <= 4 * small,
    }
    worst = lists(10_000)
    print(f"  list updates at 10,000, worst of five (ms): {worst}")
    aims[f"no list update over {STALL_MS:g} ms"] = max(worst.values()) <= STALL_MS
    result: dict[str, Any] = {"rows": rows, "lists_ms": worst, "aims": aims}
    if options.million:
        result["drift"] = drift(1_000_000)
        print(f"  P's sum off 1 over a million updates, at most: {result['drift']}")
        aims["P's drift under 1e-9"] = max(result["drift"].values()) < 1e-9
    for name, kept in aims.items():
        print(f"  {name}: {'kept' if kept else 'NOT KEPT'}")
    report(result, options.json)
    return 0 if all(aims.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
