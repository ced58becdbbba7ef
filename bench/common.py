"""What measurements share: quantiles, processes' CPU time, free ports, settings of a made-up site."""

from __future__ import annotations

import asyncio
import json
import multiprocessing as mp
import os
import random
import socket
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

from standins.nodo import Books, Nodo, fleet

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


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


CLASSES = [
    {"name": "consulta", "sloMs": 500.0, "deadlineMs": 2000.0, "value": 1.0, "effect": "free"},
    {"name": "reserva", "sloMs": 600.0, "deadlineMs": 2000.0, "value": 10.0, "effect": "guarded",
     "group": "cell", "memorySpanMs": 2000.0},
    {"name": "cobro", "sloMs": 600.0, "deadlineMs": 2000.0, "value": 8.0, "effect": "single_shot"},
]  # fmt: skip
MIX = (("consulta", 0.6), ("reserva", 0.3), ("cobro", 0.1))
START_SHARE, WARM_S, FALL_S, TIP = 0.13, 24.0, 2.0, 4.0
DRAIN_S = 0.25


def config(listen: int, discovery: int, known: dict[str, Any]) -> dict[str, Any]:
    """A balancer's configuration in the platform's form."""
    settings = {
        "blend": {"whole": 0.55, "worstWindow": 0.15, "worstClass": 0.05, "worstTenant": 0.25},
        "classes": CLASSES,
        "guarantees": {
            "answerSlackMs": 20.0, "askEveryMs": 10000.0, "coldMs": WARM_S * 1000, "tipMultiple": TIP,
            "drainGraceMs": DRAIN_S * 1000, "fallMs": FALL_S * 1000, "startCapacity": START_SHARE,
        },
        "limits": {
            "connIdleMs": 15000.0, "connectTimeoutMs": 250.0, "maxAttempts": 4, "mayCancel": True,
            "retryAfter": True, "maxRetryAfterMs": 2000.0,
        },
        "myZone": "north", "nInstances": 1, "prices": {"waste": 0.05, "lateFail": 0.03},
        "registryMode": "automatic", "report": {"fields": ["depth"], "source": "inline"}, "tickMs": 5.0,
    }  # fmt: skip
    return {
        "name": "n0", "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery}", "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 4096}, "known": known, "settings": settings,
    }  # fmt: skip


async def _fleet(nodos: int, pipe: Connection) -> None:
    def make(number: int, books: Books) -> Nodo:
        return Nodo(f"s{number}", books, capacity=1e6, latency_s=0.0005, rng=random.Random(number))

    _, _, registry = await fleet(nodos, make)
    pipe.send((registry.port, registry.whole()))
    await asyncio.get_running_loop().run_in_executor(None, pipe.recv)


def _fleet_main(nodos: int, pipe: Connection) -> None:
    uvloop.run(_fleet(nodos, pipe))


@contextmanager
def sound_fleet(nodos: int) -> Iterator[tuple[int, Any]]:
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


@contextmanager
def platform_run(checkout: Path, discovery: int, known: Any) -> Iterator[tuple[int, int]]:
    """The platform's run of a checkout, ready: the port for clients, and its process id."""
    port = free_port()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config(port, discovery, known)))
        running = subprocess.Popen(
            [sys.executable, "-m", "quartzford"], cwd=checkout, stderr=subprocess.DEVNULL,
            env={**os.environ, "EDGE_CONFIG": str(path)},
        )  # fmt: skip
        try:
            time.sleep(1.5)
            yield port, running.pid
        finally:
            running.terminate()
            running.wait(20)


def report(result: dict[str, Any], path: str | None) -> None:
    if path:
        Path(path).write_text(json.dumps(result, indent=1) + "\n")
