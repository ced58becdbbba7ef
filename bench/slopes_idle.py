"""Slopes of a balancer at rest: processor time and stalls with its list and no clients."""

from __future__ import annotations

import asyncio
import time
from multiprocessing.connection import Connection
from typing import Any, NamedTuple

import uvloop

from bench.slopes_figures import Axis, FigureSpec, figures_of
from bench.slopes_list import ROLE, SETTLE_S, TARGET_UPSTREAMS, Sizes
from bench.slopes_node import (
    SITE_TICK_MS,
    accept_long_lines,
    balancer_config,
    node_without_log,
    take_in_list,
)
from bench.slopes_process import LoopLag, receive, spawned
from bench.slopes_source import ChangeAtRate, source
from quartzford.decision.columns import load_arrays

TARGET_CHANGES_PER_S = 0.25  # 7,110 upstreams a day fail or are replaced, three rows each
LIST_TAKEN_IN, BEGIN = "list taken in", "begin"


class IdleCosts(NamedTuple):
    """Processor time in ms a second, and the longest stall of the loop in ms."""

    processor_ms_per_s: float
    stall_ms: float


def idle_balancer(
    pipe: Connection, port: int, count: int, tick_ms: float, window_s: float, stall_s: float
) -> None:
    """Take in a list, wait for BEGIN, and send the IdleCosts of a balancer without clients."""
    accept_long_lines()
    uvloop.run(_idle_balancer(pipe, port, count, tick_ms, window_s, stall_s))


async def _idle_balancer(
    pipe: Connection, port: int, count: int, tick_ms: float, window_s: float, stall_s: float
) -> None:
    load_arrays()
    node = node_without_log(balancer_config(port, tick_ms))
    await take_in_list(node, count)
    await asyncio.sleep(SETTLE_S)
    pipe.send(LIST_TAKEN_IN)
    await node.loop.run_in_executor(None, pipe.recv)
    begun, processor_before = time.monotonic(), time.process_time()
    await asyncio.sleep(window_s)
    processor = (time.process_time() - processor_before) / (time.monotonic() - begun)
    lag = LoopLag(node.loop)
    await asyncio.sleep(stall_s)
    pipe.send(IdleCosts(processor * 1000, await lag.worst_ms()))


def idle_costs(
    count: int,
    window_s: float,
    tick_ms: float = SITE_TICK_MS,
    per_s: float = 0.0,
    stall_s: float = 0.0,
) -> IdleCosts:
    """Costs at rest of a balancer with this many rows; per_s: rows changed a second meanwhile."""
    with (
        source(count) as (port, _, orders),
        spawned(idle_balancer, port, count, tick_ms, window_s, stall_s) as pipe,
    ):
        receive(pipe)
        if per_s:
            orders.send(ChangeAtRate(per_s))
        pipe.send(BEGIN)
        costs: IdleCosts = receive(pipe)
    return costs


FIGURES: tuple[FigureSpec[IdleCosts], ...] = (
    FigureSpec("rest: processor time", "ms/s", lambda costs: costs.processor_ms_per_s),
    FigureSpec("rest: longest stall of the loop", "ms", lambda costs: costs.stall_ms),
)
FIGURES_BY_TICK: tuple[FigureSpec[IdleCosts], ...] = (
    FigureSpec("rest: processor time by tickMs", "ms/s", lambda costs: costs.processor_ms_per_s),
)
FIGURES_BY_CHANGES: tuple[FigureSpec[IdleCosts], ...] = (
    FigureSpec("rest: processor time by changes", "ms/s", lambda costs: costs.processor_ms_per_s),
)


def figures(sizes: Sizes) -> list[dict[str, Any]]:
    """The figures at rest: by upstreams, by the tick of the settings, and by rows changed a second."""
    window_s, count = sizes.window_s, sizes.idle_upstreams
    by_size = {float(n): idle_costs(n, window_s, stall_s=sizes.stall_s) for n in sizes.upstreams}
    by_tick = {ms: idle_costs(count, window_s, tick_ms=ms) for ms in sizes.tick_ms}
    by_rate = {rate: idle_costs(count, window_s, per_s=rate) for rate in sizes.per_s}
    by_upstreams = Axis("upstreams", sizes.kept_upstreams, TARGET_UPSTREAMS)
    ticks = Axis("ms of a tick", sizes.kept_tick_ms, SITE_TICK_MS)
    changes = Axis("rows changed a second", sizes.kept_per_s, TARGET_CHANGES_PER_S)
    return [
        *figures_of(ROLE, FIGURES, by_size, by_upstreams),
        *figures_of(ROLE, FIGURES_BY_TICK, by_tick, ticks),
        *figures_of(ROLE, FIGURES_BY_CHANGES, by_rate, changes),
    ]
