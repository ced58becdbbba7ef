"""Slopes of the list in a balancer: memory, take-in time, stalls, processor time at rest, bytes.

The program's own Node (watch, listing, pieces, module) on an event loop in a process of its own, fed from a
socket by bench/slopes_source.py. No client traffic.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Callable, Mapping
from multiprocessing.connection import Connection
from statistics import median
from typing import Any, NamedTuple

import uvloop

from bench.fit import figure
from bench.slopes_process import LoopLag, measure_in_process, receive, resident_mb, spawned
from bench.slopes_source import HEARTBEAT, WrittenChange, chunk, encoded, rows, source
from quartzford.decision import interface as io
from quartzford.decision.columns import load_arrays
from quartzford.membership import line_splitter
from quartzford.node import Node
from quartzford.settings.configuration import Config, read_config
from standins.site import config, free_port

ROLE = "balancer"
TARGET_UPSTREAMS = 63_000
TARGET_CHANGES = 0.25  # a second: 7,110 upstreams a day fail or are replaced, three rows each
RACK = 40
SITE_TICK_MS = 5.0
LINE_BYTES = 64 * 1024 * 1024
TAKE_IN_TIMEOUT_S = 60.0
SETTLE_S = 0.4  # between two measurements, until what they left behind is done


class NullLog:
    """A log that keeps nothing."""

    def line(self, topic: str, text: str) -> None:
        """Dropped."""

    def exception(self, where: str) -> None:
        """An exception at a boundary: none is expected here."""
        raise


class Sizes(NamedTuple):
    """What is measured in one run; of each tuple the size that is kept out of the fit stands beside it."""

    upstreams: tuple[int, ...]
    kept_upstreams: int
    changes: int  # single rows changed at each size
    rounds: int  # of which the median counts
    window_s: float  # of processor time at rest
    stall_s: float  # window for the stall at rest: full collections of garbage are seconds apart
    tick_ms: tuple[float, ...] = (1.0, 2.0, 5.0, 20.0)
    kept_tick_ms: float = 5.0
    per_s: tuple[float, ...] = (1.0, 5.0, 10.0, 40.0)
    kept_per_s: float = 10.0
    idle_upstreams: int = 4_000  # where tick and rate are varied


QUICK = Sizes((500, 1_000, 2_000, 4_000), 2_000, 6, 1, 0.5, 1.0, idle_upstreams=1_000)
FULL = Sizes((1_000, 4_000, 16_000, 32_000, 63_000), 32_000, 20, 3, 2.0, 3.0)


def line_bytes_in_force() -> int:
    """The longest line of discovery that the program takes as it stands."""
    return line_splitter.MAX_LINE_BYTES


def balancer_config(discovery: int, tick_ms: float = SITE_TICK_MS) -> Config:
    """A balancer that asks the source itself, alone, and knows no list before."""
    table = config(free_port(), discovery, {"seq": 0, "whole": True, "hosts": []})
    table["settings"] |= {"registryMode": "subscribe", "nInstances": 1, "tickMs": tick_ms}
    return read_config(json.dumps(table))


def node_without_log(settings: Config) -> Node:
    """The program's node, without its log."""
    node = Node(settings, asyncio.get_running_loop())
    node.log = node.watch.log = node.engine.log = NullLog()  # type: ignore[assignment]
    return node


class ListObserver:
    """Hears of each piece that the module has adopted, and when a condition on the list first holds."""

    def __init__(self, node: Node) -> None:
        self.node, self.listed = node, node.engine.endpoint_list_update
        self.condition: Callable[[], bool] = lambda: False
        self.done: asyncio.Future[float] = node.loop.create_future()
        node.engine.endpoint_list_update = self._on_update  # type: ignore[method-assign]

    def _on_update(
        self, how: str, entries: tuple[io.Endpoint, ...] = (), starts: Mapping[str, float] = io.NO_STARTS
    ) -> None:
        self.listed(how, entries, starts)
        if not self.done.done() and self.condition():
            self.done.set_result(time.monotonic())

    async def wait_until(self, condition: Callable[[], bool]) -> float:
        """The moment (monotonic clock) at which it held."""
        self.condition, self.done = condition, self.node.loop.create_future()
        if condition():
            return time.monotonic()
        return await asyncio.wait_for(self.done, TAKE_IN_TIMEOUT_S)


async def _take_in_list(node: Node, count: int) -> float:
    """Start, and the seconds until the module has so many upstreams."""
    observer, begun = ListObserver(node), time.monotonic()
    await node.start()
    return await observer.wait_until(lambda: len(node.engine.balancer.servers) == count) - begun


async def _one_change(node: Node, observer: ListObserver, orders: Connection, count: int) -> float:
    """Seconds from the source's write of so many changed rows until the module has them."""
    servers = node.engine.balancer.servers
    orders.send(("change", count))
    written: WrittenChange = await node.loop.run_in_executor(None, receive, orders)
    names = written.names
    done = await observer.wait_until(
        lambda: all(servers[name].entry.state == written.state for name in names)
    )
    return done - written.at


async def _measure_list(pipe: Connection, port: int, orders: Connection, count: int, changes: int) -> None:
    load_arrays()
    node = node_without_log(balancer_config(port))
    before, loop_lag = resident_mb(), LoopLag(node.loop)
    await asyncio.sleep(0.1)
    loop_lag.begin()
    spent_before = time.process_time()
    took = await _take_in_list(node, count)
    processor = time.process_time() - spent_before
    stall = await loop_lag.worst_ms()
    peak = resident_mb(peak=True)
    await asyncio.sleep(SETTLE_S)
    after = resident_mb()
    observer, spent, stalls = ListObserver(node), [], []
    for _ in range(changes):
        loop_lag.begin()
        spent.append(await _one_change(node, observer, orders, 1))
        stalls.append(await loop_lag.worst_ms())
    pipe.send(
        {
            "base_mb": before,
            "resident_mb": after,
            "peak_mb": max(peak, after),
            "take_in_s": took,
            "take_in_cpu_ms": processor * 1000,
            "stall_ms": stall,
            "change_ms": median(spent) * 1000,
            "change_stall_ms": median(stalls),
            "change_worst_stall_ms": max(stalls),
        }
    )


def measure_list(
    pipe: Connection, port: int, orders: Connection, count: int, changes: int, with_orjson: bool
) -> None:
    """A list of so many rows taken in whole, and then single rows of it changed; extra: with orjson."""
    if not with_orjson:
        sys.modules["orjson"] = None  # type: ignore[assignment]
    line_splitter.MAX_LINE_BYTES = max(line_splitter.MAX_LINE_BYTES, LINE_BYTES)
    uvloop.run(_measure_list(pipe, port, orders, count, changes))


async def _idle_balancer(
    pipe: Connection, port: int, count: int, tick_ms: float, window_s: float, stall_s: float
) -> None:
    load_arrays()
    node = node_without_log(balancer_config(port, tick_ms))
    await _take_in_list(node, count)
    await asyncio.sleep(SETTLE_S)
    pipe.send("taken in")
    await node.loop.run_in_executor(None, pipe.recv)
    begun, before = time.monotonic(), time.process_time()
    await asyncio.sleep(window_s)
    spent = (time.process_time() - before) / (time.monotonic() - begun)
    loop_lag = LoopLag(node.loop)
    await asyncio.sleep(stall_s)
    pipe.send((spent * 1000, await loop_lag.worst_ms()))


def idle_balancer(
    pipe: Connection, port: int, count: int, tick_ms: float, window_s: float, stall_s: float
) -> None:
    """Processor time in ms a second of a balancer with its list and no clients, and its worst stall."""
    line_splitter.MAX_LINE_BYTES = max(line_splitter.MAX_LINE_BYTES, LINE_BYTES)
    uvloop.run(_idle_balancer(pipe, port, count, tick_ms, window_s, stall_s))


def idle_costs(
    count: int,
    window_s: float,
    tick_ms: float = SITE_TICK_MS,
    per_s: float = 0.0,
    stall_s: float = 0.0,
) -> tuple[float, float]:
    """Milliseconds of processor time a second at rest, and the worst stall; per_s: rows changed a second."""
    with (
        source(count) as (port, _, orders),
        spawned(idle_balancer, port, count, tick_ms, window_s, stall_s) as pipe,
    ):
        receive(pipe)
        if per_s:
            orders.send(("rate", per_s))
        pipe.send("begin")
        spent, stall = receive(pipe)
    return float(spent), float(stall)


def costs_by_size(sizes: Sizes, with_orjson: bool = True) -> dict[int, dict[str, float]]:
    """The median of the rounds of list_costs at each size, with the bytes of the call and of the whole."""
    out = {}
    for count in sizes.upstreams:
        rounds = [_costs(count, sizes.changes, with_orjson) for _ in range(sizes.rounds)]
        out[count] = {key: median(row[key] for row in rounds) for key in rounds[0]}
    return out


def _costs(count: int, changes: int, with_orjson: bool) -> dict[str, float]:
    with source(count) as (port, complete, orders):
        row: dict[str, float] = measure_in_process(measure_list, port, orders, count, changes, with_orjson)
        orders.send(("calls", None))
        calls = receive(orders)
    return row | {"whole_bytes": complete, "call_bytes": calls[0]}


LIST_FIGURES = (
    ("list: resident memory", "MB", "resident_mb"),
    ("list: highest memory while taken in", "MB", "peak_mb"),
    ("list: time until taken in", "s", "take_in_s"),
    ("list: processor time of taking it in", "ms", "take_in_cpu_ms"),
    ("list: longest stall of the loop", "ms", "stall_ms"),
    ("list: one changed row until taken in", "ms", "change_ms"),
    ("list: longest stall by one changed row", "ms", "change_stall_ms"),
    ("list: bytes of the whole", "B", "whole_bytes"),
    ("list: bytes of a call and its answer's head", "B", "call_bytes"),
)
PLAIN_FIGURES = (
    ("list without orjson: time until taken in", "s", "take_in_s"),
    ("list without orjson: longest stall of the loop", "ms", "stall_ms"),
)


def figures(sizes: Sizes) -> list[dict[str, Any]]:
    """All figures of the list in a balancer."""
    out = []
    for table, with_orjson in ((LIST_FIGURES, True), (PLAIN_FIGURES, False)):
        costs = costs_by_size(sizes, with_orjson)
        out += [
            figure(
                ROLE,
                name,
                unit,
                "upstreams",
                {n: row[key] for n, row in costs.items()},
                sizes.kept_upstreams,
                TARGET_UPSTREAMS,
            )
            for name, unit, key in table
        ]
    return out + _idle_figures(sizes) + byte_figures()


def _idle_figures(sizes: Sizes) -> list[dict[str, Any]]:
    window, unit = sizes.window_s, "ms/s"
    by_size = {float(n): idle_costs(n, window, stall_s=sizes.stall_s) for n in sizes.upstreams}
    spent = {n: cost for n, (cost, _) in by_size.items()}
    stalls = {n: stall for n, (_, stall) in by_size.items()}
    by_tick = {t: idle_costs(sizes.idle_upstreams, window, tick_ms=t)[0] for t in sizes.tick_ms}
    by_rate = {r: idle_costs(sizes.idle_upstreams, window, per_s=r)[0] for r in sizes.per_s}
    return [
        figure(
            ROLE, "rest: processor time", unit, "upstreams", spent, sizes.kept_upstreams, TARGET_UPSTREAMS
        ),
        figure(
            ROLE,
            "rest: longest stall of the loop",
            "ms",
            "upstreams",
            stalls,
            sizes.kept_upstreams,
            TARGET_UPSTREAMS,
        ),
        figure(
            ROLE,
            "rest: processor time by tickMs",
            unit,
            "ms of a tick",
            by_tick,
            sizes.kept_tick_ms,
            SITE_TICK_MS,
        ),
        figure(
            ROLE,
            "rest: processor time by changes",
            unit,
            "rows changed a second",
            by_rate,
            sizes.kept_per_s,
            TARGET_CHANGES,
        ),
    ]


def byte_figures() -> list[dict[str, Any]]:
    """Bytes of a change by its rows, and of beats by time, as they are on the wire."""
    made = rows(4_200)
    changes = {
        float(n): float(len(chunk(encoded(TARGET_UPSTREAMS, False, made[:n]))))
        for n in (1, 4, 10, 40, 400, 4_200)
    }
    beats = {seconds: len(HEARTBEAT) * seconds / 2.0 for seconds in (60.0, 600.0, 3_600.0, 86_400.0)}
    return [
        figure(ROLE, "bytes of a change", "B", "rows changed", changes, 40.0, 4_200.0),
        figure(ROLE, "bytes of beats", "B", "seconds", beats, 3_600.0, 86_400.0),
    ]
