"""How long a list update stalls the event loop of a whole balancer; a part of bench.decisions.

Discovery in a process of its own sends updates of all kinds to a balancer with its watch, backend and
decision module. The upstreams of the list do not exist: no request is sent.
"""

from __future__ import annotations

import asyncio
import gc
import json
import multiprocessing as mp
import time
from multiprocessing.connection import Connection
from typing import Any, NamedTuple

import uvloop

from quartzford.decision.columns import load_arrays
from quartzford.node import Node
from quartzford.settings.configuration import read_config
from standins.site import config, reserved_port
from standins.upstream import ExecutionJournal, Registry, StandInUpstream

CELL_SIZE = 4
UNUSED_PORT = 9
BEAT_S = 0.001
SETTLED_POLL_S, SETTLED_TIMEOUT_S = 0.005, 30.0
PAUSE_S = 0.1  # between two updates
FAILED_SHARE, DEPLOYED_SHARE = 0.22, 0.85


class Order(NamedTuple):
    """An update that discovery is to send: the complete list or changes, of the upstreams in a range.

    changes: to their rows.
    """

    complete: bool
    first: int
    last: int
    changes: dict[str, Any]


class Step(NamedTuple):
    """An update, and what the balancer has after it."""

    name: str
    order: Order
    ready: int  # servers
    started_ms: float = 0.0  # of one of them at least


def steps(servers: int) -> list[Step]:
    """Updates of all kinds to a list of so many servers, one after the other."""
    failed, deployed = int(servers * FAILED_SHARE), int(servers * DEPLOYED_SHARE)
    rolling = Order(False, 0, deployed, {"born_ms": 5})
    return [
        Step("the same list again", Order(True, 0, servers, {}), servers),
        Step("one drains", Order(False, 0, 1, {"health": "draining"}), servers - 1),
        Step("one comes back", Order(False, 0, 1, {}), servers),
        Step("22% gone in one line", Order(False, 0, failed, {"health": "gone"}), servers - failed),
        Step("and back", Order(False, 0, failed, {}), servers),
        Step("rolling deploy of 85%", rolling, servers, started_ms=5.0),
        Step("all gone but one", Order(True, 0, 1, {}), 1),
        Step("all join", Order(True, 0, servers, {}), servers),
    ]


# ---- discovery's process


def _discovery_main(servers: int, pipe: Connection) -> None:
    uvloop.run(_discovery(servers, pipe))


async def _discovery(servers: int, pipe: Connection) -> None:
    """Send the updates that the pipe orders; answer each with its size in bytes and its version."""
    journal = ExecutionJournal()
    upstreams = [StandInUpstream(f"s{n}", journal, block=n // CELL_SIZE) for n in range(servers)]
    for upstream in upstreams:
        upstream.port = UNUSED_PORT
    registry = Registry(upstreams, journal)
    await registry.start()
    pipe.send(registry.port)
    loop = asyncio.get_running_loop()
    while (order := await loop.run_in_executor(None, pipe.recv)) is not None:
        registry.version += 1
        hosts = [upstream.entry(**order.changes) for upstream in upstreams[order.first : order.last]]
        update = {"seq": registry.version, "whole": order.complete, "hosts": hosts}
        line = json.dumps(update).encode() + b"\n"
        pipe.send((len(line), registry.version))
        registry.broadcast(line)


# ---- the balancer's process


class LoopMonitor:
    """The longest time between two turns of the loop that should be a millisecond apart."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.last, self.worst, self.counting = loop, time.monotonic(), 0.0, False
        self._beat()

    def begin(self) -> None:
        """Measure from now on."""
        self.worst, self.last, self.counting = 0.0, time.monotonic(), True

    def pause(self) -> None:
        """Keep the worst time so far."""
        self.counting = False

    def _beat(self) -> None:
        now = time.monotonic()
        if self.counting:
            self.worst = max(self.worst, now - self.last)
        self.last = now
        self.loop.call_later(BEAT_S, self._beat)


class SilentLog:
    """A log that writes nothing."""

    def line(self, *_: Any) -> None:
        """Drop a line."""

    def exception(self, *_: Any) -> None:
        """Drop a traceback."""


async def _start_node(discovery: int) -> Node:
    """A balancer that begins with an empty list."""
    known = {"seq": 0, "whole": True, "hosts": []}
    configuration = read_config(json.dumps(config(reserved_port(), discovery, known)))
    node = Node(configuration, asyncio.get_running_loop())
    node.log = SilentLog()  # type: ignore[assignment]
    load_arrays()
    await node.start()
    return node


def _check_servers(node: Node, ready_count: int, started_ms: float) -> None:
    """RuntimeError: the balancer does not have what the update says."""
    servers = node.engine.balancer.servers.values()
    # Where traffic is thin a part of the list is in use; ready in the list has to be all of it.
    ready = [server for server in servers if server.entry.state == "ready"]
    in_use = [server for server in servers if server.slot >= 0]
    if len(ready) != ready_count or not any(server.entry.started_ms == started_ms for server in ready):
        raise RuntimeError(f"{len(ready)} servers of {ready_count}")
    if not in_use or any(server.entry.state != "ready" for server in in_use):
        raise RuntimeError(f"{len(in_use)} servers in use, not all of them ready")


async def _settled(node: Node, monitor: LoopMonitor, version: int, ready: int, started_ms: float) -> None:
    """Wait until a version has been taken in completely, end the measuring, and check the outcome.

    RuntimeError: it took too long, or the outcome is wrong.
    """
    end = time.monotonic() + SETTLED_TIMEOUT_S
    while node.watch.version != version or node.pending.has_chunks():
        await asyncio.sleep(SETTLED_POLL_S)
        if time.monotonic() > end:
            raise RuntimeError("the list was not taken in")
    monitor.pause()
    _check_servers(node, ready, started_ms)


async def _stalls(servers: int, discovery: int, pipe: Connection) -> dict[str, dict[str, float]]:
    """A row for each step."""
    node, loop = await _start_node(discovery), asyncio.get_running_loop()
    monitor = LoopMonitor(loop)
    await _settled(node, monitor, 1, servers, 0.0)
    rows: dict[str, dict[str, float]] = {}
    for step in steps(servers):
        await asyncio.sleep(PAUSE_S)
        gc.collect()
        monitor.begin()
        pipe.send(step.order)
        size, version = await loop.run_in_executor(None, pipe.recv)
        begun = time.monotonic()
        await _settled(node, monitor, version, step.ready, step.started_ms)
        rows[step.name] = {
            "stall_ms": round(monitor.worst * 1000, 1),
            "whole_ms": round((time.monotonic() - begun) * 1000),
            "line_kb": round(size / 1000),
        }
    return rows


def list_stalls(servers: int) -> dict[str, dict[str, float]]:
    """By kind of update the longest stall of a balancer's loop, reading included, and the time to take it in.

    RuntimeError: the balancer did not take an update in.
    """
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
