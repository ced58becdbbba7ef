"""What measurements share: quantiles, processes' CPU time, free ports, settings of a made-up site."""

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
from standins.site import config, free_port
from standins.upstream import ExecutionJournal, StandInUpstream, start_upstreams

ROOT = Path(__file__).resolve().parent.parent
TICKS = os.sysconf("SC_CLK_TCK")


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
    return sum(int(value) for value in fields[11:15]) / TICKS


def children(pid: int) -> list[int]:
    try:
        return [int(n) for n in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]
    except OSError:
        return []


async def _fleet(nodos: int, pipe: Connection) -> None:
    def make(number: int, journal: ExecutionJournal) -> StandInUpstream:
        return StandInUpstream(
            f"s{number}", journal, capacity=1e6, latency_s=0.0005, rng=random.Random(number)
        )

    _, _, registry = await start_upstreams(nodos, make)
    pipe.send((registry.port, registry.complete()))
    await asyncio.get_running_loop().run_in_executor(None, pipe.recv)


def _fleet_main(nodos: int, pipe: Connection) -> None:
    uvloop.run(_fleet(nodos, pipe))


@contextmanager
def healthy_fleet(nodos: int) -> Iterator[tuple[int, Any]]:
    """So many nodos without trouble, in a process of their own: their padron's port, and its list."""
    context = mp.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=_fleet_main, args=(nodos, theirs), daemon=True)
    process.start()
    try:
        yield ours.recv()
    finally:
        ours.send("stop")
        process.join(5)


def checkout(revision: str, folder: Path, *paths: str) -> None:
    """These paths as they were at a revision of this repository, under a folder."""
    text = subprocess.run(["git", "archive", revision, *paths], cwd=ROOT, check=True, stdout=subprocess.PIPE)
    subprocess.run(["tar", "-x", "-C", str(folder)], input=text.stdout, check=True)


@contextmanager
def platform_run(checkout: Path, discovery: int, known: Any) -> Iterator[tuple[int, int]]:
    """The platform's run of a checkout, ready: the port for clients, and its process id."""
    port = free_port()
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
            time.sleep(1.5)
            yield port, running.pid
        finally:
            running.terminate()
            running.wait(20)


def saturate(target: Target, seconds: float, workers: int = 3, clients: int = 24) -> dict[str, float]:
    """What a server answers to closed-loop clients of several processes: its own bound, not theirs.

    rate: answers 200 a second; others: requests that ended otherwise; p99_ms.
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
    good = result["ends"].get("consulta served", 0)
    return {
        "rate": good / seconds,
        "others": result["ended"] - good,
        "p99_ms": result["latency_ms"]["all"]["p99"],
    }


def report(result: dict[str, Any], path: str | None) -> None:
    if path:
        Path(path).write_text(json.dumps(result, indent=1) + "\n")
