"""What measurements share: quantiles, CPU time, stand-in fleets, runs of the balancer, saturation."""

from __future__ import annotations

import asyncio
import json
import math
import multiprocessing as mp
import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import uvloop

from quartzford.load.clients import SINGLE_ATTEMPT, RequestClass
from quartzford.load.options import LoadOptions, Target
from quartzford.load.run import play
from standins.site import config, reserved_port
from standins.upstream import ExecutionJournal, StandInUpstream, start_upstreams

ROOT = Path(__file__).resolve().parent.parent
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")  # a second
START_S, END_TIMEOUT_S = 1.5, 20.0
FLEET_END_TIMEOUT_S = 5.0
CAPACITY, LATENCY_S = 1e6, 0.0005  # of an upstream of a healthy fleet


def quantile(values: Sequence[float], q: float) -> float:
    """The value that a share q of them do not exceed; 0 of none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


def cpu_seconds(pid: int) -> float:
    """User and system time of a process and of the children it has waited for; 0 if it has gone."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return sum(int(value) for value in fields[11:15]) / CLOCK_TICKS


def children(pid: int) -> list[int]:
    """The ids of a process's children; none if it has gone."""
    try:
        text = Path(f"/proc/{pid}/task/{pid}/children").read_text()
    except OSError:
        return []
    return [int(number) for number in text.split()]


def _healthy_upstream(number: int, journal: ExecutionJournal) -> StandInUpstream:
    rng = random.Random(number)
    return StandInUpstream(f"s{number}", journal, capacity=CAPACITY, latency_s=LATENCY_S, rng=rng)


async def _serve_fleet(upstreams: int, pipe: Connection) -> None:
    _, _, registry = await start_upstreams(upstreams, _healthy_upstream)
    pipe.send((registry.port, registry.complete()))
    await asyncio.get_running_loop().run_in_executor(None, pipe.recv)


def _fleet_main(upstreams: int, pipe: Connection) -> None:
    uvloop.run(_serve_fleet(upstreams, pipe))


@contextmanager
def healthy_fleet(upstreams: int) -> Iterator[tuple[int, Any]]:
    """So many upstreams without faults in a process of their own: the list service's port, and its list."""
    context = mp.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=_fleet_main, args=(upstreams, theirs), daemon=True)
    process.start()
    try:
        yield ours.recv()
    finally:
        ours.send("stop")
        process.join(FLEET_END_TIMEOUT_S)


def checkout(revision: str, folder: Path, *paths: str) -> None:
    """Put these paths as they were at a revision of this repository under a folder.

    CalledProcessError: the revision or one of the paths does not exist.
    """
    archive = subprocess.run(
        ["git", "archive", revision, *paths], cwd=ROOT, check=True, stdout=subprocess.PIPE
    )
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)


@contextmanager
def platform_run(checkout: Path, discovery: int, known: Any) -> Iterator[tuple[int, int]]:
    """A checkout's balancer, started as the platform does it: the port for clients, and its process id.

    discovery: the list service's port; known: the list that the balancer starts with.
    """
    port = reserved_port()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config(port, discovery, known)))
        running = subprocess.Popen(
            [sys.executable, "-m", "quartzford"],
            cwd=checkout,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "EDGE_CONFIG": str(path)},
        )
        try:
            time.sleep(START_S)
            yield port, running.pid
        finally:
            running.terminate()
            running.wait(END_TIMEOUT_S)


def saturate(target: Target, seconds: float, workers: int = 3, clients: int = 24) -> dict[str, float]:
    """Load a server with closed-loop clients of several processes, so that the bound is its own.

    clients: of each worker. rate: answers 200 a second; others: requests that ended otherwise; p99_ms.
    """
    load = LoadOptions(
        target,
        seconds=seconds,
        workers=workers,
        request_classes=(RequestClass("consulta"),),
        behaviour=SINGLE_ATTEMPT,
        closed_clients=clients,
        max_lateness_ms=math.inf,
    )
    result = play(load)
    served = result["ends"].get("consulta served", 0)
    return {
        "rate": served / seconds,
        "others": result["ended"] - served,
        "p99_ms": result["latency_ms"]["all"]["p99"],
    }


def report(result: dict[str, Any], path: str | None) -> None:
    """Write a result as JSON, if a path was given."""
    if path:
        Path(path).write_text(json.dumps(result, indent=1) + "\n")
