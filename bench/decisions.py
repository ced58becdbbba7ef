"""What decisions and list changes cost as the fleet grows: python -m bench.decisions [--quick] [--json FILE].

The module as it is, as it was before its names were renewed (BEFORE), and as it was before its cost was cut
(the reference that BEFORE's own bench loads), in turns in one run, since absolute times are not stable. Only
the module's own time is counted. --million shows P's drift over a million updates.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import multiprocessing as mp
import random
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from contextlib import ExitStack
from multiprocessing.connection import Connection
from pathlib import Path
from statistics import median
from typing import Any

import uvloop

from bench.common import ROOT, checkout, report
from bench.module_process import Cost, ModuleProcess
from quartzford.decision import interface as io
from quartzford.decision.columns import load_arrays
from quartzford.decision.logic import Balancer
from quartzford.node import Node
from quartzford.settings.configuration import read_config
from standins.site import config, free_port
from standins.upstream import ExecutionJournal, Registry, StandInUpstream

BEFORE = "7c461993f9af943d4dd20f34cddc62e4819d15a2"
MOST_OVER_BEFORE = 1.05
LEAST_ROUNDS = 5
SIZES = (10, 24, 97, 500, 2_000, 10_000)
SEED = 5
STALL_MS = 20.0
MAX_IN_FLIGHT = 60
CLASSES = (
    io.ServiceClass("consulta", 500.0, 2_000.0, priority_weight=1.0, effect="free"),
    io.ServiceClass(
        "reserva", 600.0, 2_000.0, priority_weight=10.0, effect="keyed", group="cell", window_ms=2_000.0
    ),
    io.ServiceClass("cobro", 600.0, 2_000.0, priority_weight=8.0, effect="unsafe"),
)
MIX = ("consulta",) * 6 + ("reserva",) * 3 + ("cobro",)


def settings() -> io.Settings:
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
    return io.Endpoint(f"s{number}", f"z{number % 3}", "std", number // 4, state, 1.0, started)


class Site:
    """One module with so many servers; out are half as many requests as servers, up to MOST_OUT."""

    def __init__(self, make: Callable[[io.Settings, int], Any], servers: int) -> None:
        self.module, self.servers = make(settings(), SEED), servers
        self.rng, self.now, self.number = random.Random(SEED), 100_000.0, 0
        self.out: deque[io.Send] = deque()
        self.spent = 0.0
        self.join_ms = (
            self.feed(io.EndpointListUpdate("stale", tuple(entry(n) for n in range(servers)))) / 1e3
        )

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
        if len(self.out) > min(MAX_IN_FLIGHT, max(1, self.servers // 2)):
            send = self.out.popleft()
            took = 5.0 + self.rng.expovariate(0.1)
            said = (self.rng.random() * 3,)
            spent += self.feed(io.AttemptEnded(send.request, 0, send.server, "ok", took, True, said))
        return spent

    def change(self) -> float:
        """A server drains and comes back: one list change, in microseconds."""
        number = self.rng.randrange(self.servers)
        spent = self.feed(io.EndpointListUpdate("changes", (entry(number, state="draining"),)))
        return (spent + self.feed(io.EndpointListUpdate("changes", (entry(number),)))) / 2


def decisions(servers: int, seconds: float, earlier: Path, with_reference: bool) -> dict[str, Any]:
    """The costs of one size: of the module here, of the one in `earlier`, and of the first one of all."""
    row: dict[str, Any] = {"servers": servers}
    with ExitStack() as stack:
        modules = {
            "new": stack.enter_context(ModuleProcess(ROOT, "Balancer", servers)),
            "before": stack.enter_context(ModuleProcess(earlier, "Balancer", servers)),
        }
        if with_reference:
            modules["old"] = stack.enter_context(ModuleProcess(earlier, "old_module()", servers))
        costs: dict[str, list[Cost]] = {name: [] for name in modules}
        end = time.monotonic() + seconds
        while time.monotonic() < end or len(costs["new"]) < LEAST_ROUNDS:
            for name, module in modules.items():  # in turns: all meet the machine as it is at that moment
                costs[name].append(module.measure(_batch(name, servers)))
        for name, module in modules.items():
            row[f"{name}_us"] = round(median(cost.request_us for cost in costs[name]), 1)
            row[f"{name}_change_us"] = round(median(cost.change_us for cost in costs[name]), 1)
            row[f"{name}_first_list_ms"] = round(module.first_list_ms, 2)
    row["new_over_before"] = round(row["new_us"] / row["before_us"], 3)
    if with_reference:
        row["new_over_old"] = round(row["new_us"] / row["old_us"], 3)
    return row


def _batch(name: str, servers: int) -> int:
    """So many requests at a time that the cache that the others have left cold is a small part of it."""
    if name != "old" or servers <= 500:
        return 200
    return 20 if servers < 5_000 else 5


# ---- list updates at a whole balancer


def _discovery_main(servers: int, pipe: Connection) -> None:
    uvloop.run(_discovery(servers, pipe))


async def _discovery(servers: int, pipe: Connection) -> None:
    """A padron of so many nodos that do not exist; says what it is told to say, and when."""
    journal, registry = ExecutionJournal(), None
    upstreams = [StandInUpstream(f"s{n}", journal, block=n // 4) for n in range(servers)]
    for upstream in upstreams:
        upstream.port = 9
    registry = Registry(upstreams, journal)
    await registry.start()
    pipe.send(registry.port)
    loop = asyncio.get_running_loop()
    while (order := await loop.run_in_executor(None, pipe.recv)) is not None:
        complete, first, last, changes = order
        registry.version += 1
        hosts = [upstream.entry(**changes) for upstream in upstreams[first:last]]
        line = {"seq": registry.version, "whole": complete, "hosts": hosts}
        data = json.dumps(line).encode() + b"\n"
        pipe.send((len(data), registry.version))
        registry.broadcast(data)


class Beat:
    """The longest time between two turns of the loop that should be a millisecond apart."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.last, self.worst, self.counting = loop, time.monotonic(), 0.0, False
        self.beat()

    def begin(self) -> None:
        self.worst, self.last, self.counting = 0.0, time.monotonic(), True

    def pause(self) -> None:
        self.counting = False

    def beat(self) -> None:
        now = time.monotonic()
        if self.counting:
            self.worst = max(self.worst, now - self.last)
        self.last = now
        self.loop.call_later(0.001, self.beat)


async def _stalls(servers: int, port: int, pipe: Connection) -> dict[str, dict[str, float]]:
    known = {"seq": 0, "whole": True, "hosts": []}
    read = read_config(json.dumps(config(free_port(), port, known)))
    node = Node(read, asyncio.get_running_loop())
    node.log = type("Quiet", (), {"line": lambda *a: None, "exception": lambda *a: None})()
    load_arrays()
    await node.start()
    told, loop = node.engine.balancer.servers, asyncio.get_running_loop()

    async def settled(count: int, born: float, version: int) -> None:
        """Until this version is taken in, whole; its outcome is checked then, once."""
        end = time.monotonic() + 30
        while node.watch.version != version or node.pending.waiting():
            await asyncio.sleep(0.005)
            if time.monotonic() > end:
                raise RuntimeError("the list was not taken in")
        beat.pause()
        # Where traffic is thin a part of the list is in use; ready in the list has to be all of it.
        ready = [server for server in told.values() if server.entry.state == "ready"]
        in_use = [server for server in told.values() if server.slot >= 0]
        if len(ready) != count or not any(server.entry.started_ms == born for server in ready):
            raise RuntimeError(f"{len(ready)} servers of {count}")
        if not in_use or any(server.entry.state != "ready" for server in in_use):
            raise RuntimeError(f"{len(in_use)} servers in use, not all of them ready")

    beat = Beat(loop)
    await settled(servers, 0.0, 1)
    rows: dict[str, dict[str, float]] = {}
    part = int(servers * 0.22)
    for name, order, count, born in (
        ("the same list again", (True, 0, servers, {}), servers, 0.0),
        ("one drains", (False, 0, 1, {"health": "draining"}), servers - 1, 0.0),
        ("one comes back", (False, 0, 1, {}), servers, 0.0),
        ("22% gone in one line", (False, 0, part, {"health": "gone"}), servers - part, 0.0),
        ("and back", (False, 0, part, {}), servers, 0.0),
        ("rolling deploy of 85%", (False, 0, int(servers * 0.85), {"born_ms": 5}), servers, 5.0),
        ("all gone but one", (True, 0, 1, {}), 1, 0.0),
        ("all join", (True, 0, servers, {}), servers, 0.0),
    ):
        await asyncio.sleep(0.1)
        gc.collect()
        beat.begin()
        pipe.send(order)
        size, version = await loop.run_in_executor(None, pipe.recv)
        begun = time.monotonic()
        await settled(count, born, version)
        rows[name] = {
            "stall_ms": round(beat.worst * 1000, 1),
            "whole_ms": round((time.monotonic() - begun) * 1000),
            "line_kb": round(size / 1000),
        }
    return rows


def lists(servers: int) -> dict[str, dict[str, float]]:
    """The longest stall of a balancer's loop by each kind of update, reading included; and till it held."""
    context = mp.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=_discovery_main, args=(servers, theirs), daemon=True)
    process.start()
    try:
        return uvloop.run(_stalls(servers, ours.recv(), ours))
    finally:
        ours.send(None)
        process.join(5)
        process.terminate()


def drift(updates: int) -> dict[str, float]:
    """How far P's sum goes from 1 over so many updates at 24 and 97 servers."""
    out = {}
    for servers in (24, 97):
        site = Site(Balancer, servers)
        site.request()
        shares, worst = site.module.endpoints.shares, 0.0
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
    with tempfile.TemporaryDirectory() as folder:
        checkout(BEFORE, Path(folder), "quartzford", "bench", "standins")
        for servers in SIZES:
            with_reference = servers <= (2_000 if options.quick else 10_000)
            rows.append(decisions(servers, seconds, Path(folder), with_reference))
            print("  " + ", ".join(f"{name} {value}" for name, value in rows[-1].items()), flush=True)
    by_size = {row["servers"]: row for row in rows}
    small = by_size[97]["new_us"]
    aims = {
        f"no dearer than {MOST_OVER_BEFORE:g} of the module before, in the median over the sizes": median(
            row["new_over_before"] for row in rows
        )
        <= MOST_OVER_BEFORE,
        "at 10 no dearer than the old": by_size[10]["new_over_old"] <= 1.0,
        "at 97 a third of the old at most": by_size[97]["new_over_old"] <= 1 / 3,
        "at 2,000 at most 1.5 times that at 97": by_size[2_000]["new_us"] <= 1.5 * small,
        "at 10,000 at most 4 times that at 97": by_size[10_000]["new_us"] <= 4 * small,
    }
    worst = lists(10_000)
    for name, row in worst.items():
        print(f"  list of 10,000, {name}: {row}")
    most = max(row["stall_ms"] for row in worst.values())
    aims[f"no list update stalls the loop over {STALL_MS:g} ms"] = most <= STALL_MS
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
