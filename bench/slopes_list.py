"""Slopes of the list in a balancer: memory, time until it is taken in, stalls, bytes on the wire.

The program's own Node (watch, listing, pieces, module) on an event loop in a process of its own, fed from a
socket by bench/slopes_source.py. No client traffic.
"""

from __future__ import annotations

import asyncio
import sys
import time
from multiprocessing.connection import Connection
from statistics import median
from typing import Any, NamedTuple

import uvloop

from bench.fit import figure
from bench.slopes_figures import Axis, FigureSpec, figures_of
from bench.slopes_node import (
    ListObserver,
    accept_long_lines,
    balancer_config,
    node_without_log,
    take_in_list,
)
from bench.slopes_process import LoopLag, measure_in_process, receive, resident_mb
from bench.slopes_source import (
    HEARTBEAT,
    HEARTBEAT_S,
    ChangeRows,
    ReportCalls,
    WrittenChange,
    chunk,
    encoded,
    rows,
    source,
)
from quartzford.decision.columns import load_arrays
from quartzford.node import Node

ROLE = "balancer"
TARGET_UPSTREAMS = 63_000
SETTLE_S = 0.4  # between two measurements, until work that the first has left is done


class Sizes(NamedTuple):
    """What is measured in one run; beside each tuple the size of it that is kept out of the fit."""

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


class ListCosts(NamedTuple):
    """Costs of one list in a balancer, and of single changed rows of it. MB are 10^6 bytes."""

    base_mb: float  # resident before the list
    resident_mb: float
    peak_mb: float
    take_in_s: float
    take_in_cpu_ms: float
    stall_ms: float  # the loop's longest, while the list is taken in
    change_ms: float
    change_stall_ms: float
    list_bytes: float = 0.0
    call_bytes: float = 0.0  # a request for the list, and the head of its answer


# ---- in the measuring process


def measure_list(
    pipe: Connection, port: int, orders: Connection, count: int, changes: int, with_orjson: bool
) -> None:
    """Send the ListCosts of this many rows, taken in at once and then changed in single rows."""
    if not with_orjson:
        sys.modules["orjson"] = None  # type: ignore[assignment]
    accept_long_lines()
    uvloop.run(_send_list_costs(pipe, port, orders, count, changes))


async def _send_list_costs(pipe: Connection, port: int, orders: Connection, count: int, changes: int) -> None:
    pipe.send(await _list_costs(port, orders, count, changes))


async def _list_costs(port: int, orders: Connection, count: int, changes: int) -> ListCosts:
    load_arrays()
    node = node_without_log(balancer_config(port))
    base_mb, lag = resident_mb(), LoopLag(node.loop)
    await asyncio.sleep(0.1)
    lag.begin()
    processor_before = time.process_time()
    take_in_s = await take_in_list(node, count)
    processor = time.process_time() - processor_before
    stall_ms = await lag.worst_ms()
    peak_mb = resident_mb(peak=True)
    await asyncio.sleep(SETTLE_S)
    resident = resident_mb()
    observer, times, stalls = ListObserver(node), [], []
    for _ in range(changes):
        lag.begin()
        times.append(await _one_change(node, observer, orders))
        stalls.append(await lag.worst_ms())
    return ListCosts(
        base_mb=base_mb,
        resident_mb=resident,
        peak_mb=max(peak_mb, resident),
        take_in_s=take_in_s,
        take_in_cpu_ms=processor * 1000,
        stall_ms=stall_ms,
        change_ms=median(times) * 1000,
        change_stall_ms=median(stalls),
    )


async def _one_change(node: Node, observer: ListObserver, orders: Connection) -> float:
    """Seconds from the source's write of one changed row until the decision module has it."""
    servers = node.engine.balancer.servers
    orders.send(ChangeRows(1))
    written: WrittenChange = await node.loop.run_in_executor(None, receive, orders)
    done = await observer.wait_until(
        lambda: all(servers[name].entry.state == written.state for name in written.names)
    )
    return done - written.at


# ---- in the calling process


def costs_by_size(sizes: Sizes, with_orjson: bool = True) -> dict[float, ListCosts]:
    """The costs at each size: of each figure the median of the rounds."""
    out: dict[float, ListCosts] = {}
    for count in sizes.upstreams:
        rounds = [_measured_list(count, sizes.changes, with_orjson) for _ in range(sizes.rounds)]
        out[count] = ListCosts._make(median(values) for values in zip(*rounds, strict=True))
    return out


def _measured_list(count: int, changes: int, with_orjson: bool) -> ListCosts:
    with source(count) as (port, list_bytes, orders):
        costs: ListCosts = measure_in_process(measure_list, port, orders, count, changes, with_orjson)
        orders.send(ReportCalls())
        calls = receive(orders)
    return costs._replace(list_bytes=list_bytes, call_bytes=calls[0])


LIST_FIGURES: tuple[FigureSpec[ListCosts], ...] = (
    FigureSpec("list: resident memory", "MB", lambda costs: costs.resident_mb),
    FigureSpec("list: highest memory while taken in", "MB", lambda costs: costs.peak_mb),
    FigureSpec("list: time until taken in", "s", lambda costs: costs.take_in_s),
    FigureSpec("list: processor time of taking it in", "ms", lambda costs: costs.take_in_cpu_ms),
    FigureSpec("list: longest stall of the loop", "ms", lambda costs: costs.stall_ms),
    FigureSpec("list: one changed row until taken in", "ms", lambda costs: costs.change_ms),
    FigureSpec("list: longest stall by one changed row", "ms", lambda costs: costs.change_stall_ms),
    FigureSpec("list: bytes of the whole", "B", lambda costs: costs.list_bytes),
    FigureSpec("list: bytes of a call and its answer's head", "B", lambda costs: costs.call_bytes),
)
FIGURES_WITHOUT_ORJSON: tuple[FigureSpec[ListCosts], ...] = (
    FigureSpec("list without orjson: time until taken in", "s", lambda costs: costs.take_in_s),
    FigureSpec("list without orjson: longest stall of the loop", "ms", lambda costs: costs.stall_ms),
)


def figures(sizes: Sizes) -> list[dict[str, Any]]:
    """The figures of a list taken in, with orjson and without."""
    axis = Axis("upstreams", sizes.kept_upstreams, TARGET_UPSTREAMS)
    out = figures_of(ROLE, LIST_FIGURES, costs_by_size(sizes), axis)
    return out + figures_of(ROLE, FIGURES_WITHOUT_ORJSON, costs_by_size(sizes, with_orjson=False), axis)


def byte_figures() -> list[dict[str, Any]]:
    """Bytes on the wire of a change by its rows, and of heartbeats by time."""
    made = rows(4_200)
    changes = {
        float(n): float(len(chunk(encoded(TARGET_UPSTREAMS, False, made[:n]))))
        for n in (1, 4, 10, 40, 400, 4_200)
    }
    heartbeats = {
        seconds: len(HEARTBEAT) * seconds / HEARTBEAT_S for seconds in (60.0, 600.0, 3_600.0, 86_400.0)
    }
    return [
        figure(ROLE, "bytes of a change", "B", "rows changed", changes, 40.0, 4_200.0),
        figure(ROLE, "bytes of beats", "B", "seconds", heartbeats, 3_600.0, 86_400.0),
    ]
