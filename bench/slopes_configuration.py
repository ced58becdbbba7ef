"""Slopes of a balancer's configuration: reading it by tenants and by classes, and what a reload stalls."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tempfile
import time
from collections.abc import Mapping
from multiprocessing.connection import Connection
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

import uvloop

from bench.fit import figure
from bench.slopes_list import node_without_log
from bench.slopes_process import LoopLag, measure_in_process, resident_mb
from quartzford.__main__ import reload_configuration
from quartzford.decision.columns import load_arrays
from quartzford.settings.configuration import load_config
from standins.site import CLASSES, config, free_port

ROLE = "balancer"
TARGET_TENANTS, TARGET_CLASSES = 180_000, 2_700
RELOAD_S = 30.0
QUIET_S = 0.1


class Sizes(NamedTuple):
    """Tenants and classes that are read, each with the size that is kept out of the fit."""

    tenants: tuple[int, ...]
    kept_tenants: int
    classes: tuple[int, ...]
    kept_classes: int
    reloads: int


QUICK = Sizes((500, 1_000, 2_000, 4_000), 2_000, (3, 30, 100, 300), 100, 2)
FULL = Sizes((1_000, 10_000, 45_000, 90_000, 180_000), 90_000, (3, 300, 900, 1_800, 2_700), 900, 5)


def write_configuration(path: Path, tenants: int, classes: int, quota: float) -> None:
    """A configuration in the platform's form with so many tenants and classes."""
    table = config(free_port(), free_port(), {"seq": 0, "whole": True, "hosts": []})
    table["settings"]["customers"] = [
        {"name": f"tenant-{n:06}", "quotaPerS": quota + n % 7} for n in range(tenants)
    ]
    table["settings"]["classes"] = [
        CLASSES[n % len(CLASSES)] | ({"name": f"class-{n:04}"} if n >= len(CLASSES) else {})
        for n in range(classes)
    ]
    path.write_text(json.dumps(table))


async def _measure_reloads(path: Path, tenants: int, classes: int, reloads: int) -> dict[str, float]:
    """The configuration read, and read again on SIGHUP as a balancer does that."""
    before, begun, spent = resident_mb(), time.monotonic(), time.process_time()
    node = node_without_log(load_config(str(path)))
    read_s, read_cpu = time.monotonic() - begun, time.process_time() - spent
    resident, done = resident_mb(), asyncio.Event()

    def reread() -> None:
        reload_configuration(node)
        done.set()

    node.loop.add_signal_handler(signal.SIGHUP, reread)
    loop_lag, stalls, costs = LoopLag(node.loop), [], []
    for number in range(reloads):
        write_configuration(path, tenants, classes, 5.0 + number)
        await asyncio.sleep(QUIET_S)
        loop_lag.begin()
        done.clear()
        spent = time.process_time()
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.wait_for(done.wait(), RELOAD_S)
        costs.append(time.process_time() - spent)
        stalls.append(await loop_lag.worst_ms())
    if node.engine.request_counters.reloads["ok"] != reloads:
        raise RuntimeError("a reload was refused")
    return {
        "base_mb": before,
        "resident_mb": resident,
        "read_ms": read_s * 1000,
        "read_cpu_ms": read_cpu * 1000,
        "stall_ms": median(stalls),
        "reload_cpu_ms": median(costs) * 1000,
        "reloaded_mb": resident_mb(),
        "peak_mb": resident_mb(peak=True),
        "file_kb": path.stat().st_size / 1000,
    }


def read_and_reload(pipe: Connection, tenants: int, classes: int, reloads: int) -> None:
    """Memory and times of one configuration."""
    load_arrays()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        write_configuration(path, tenants, classes, 4.0)
        os.environ["EDGE_CONFIG"] = str(path)
        pipe.send(uvloop.run(_measure_reloads(path, tenants, classes, reloads)))


FIGURES = (
    ("size of the file", "kB", "file_kb"),
    ("resident memory", "MB", "resident_mb"),
    ("highest memory through reloads", "MB", "peak_mb"),
    ("time to read it and begin", "ms", "read_ms"),
    ("processor time of a reload", "ms", "reload_cpu_ms"),
    ("stall of the loop by a reload", "ms", "stall_ms"),
)


def _table(by: str, rows: Mapping[int, Mapping[str, float]], kept: int, target: int) -> list[dict[str, Any]]:
    return [
        figure(
            ROLE,
            f"configuration by {by}: {name}",
            unit,
            by,
            {n: row[key] for n, row in rows.items()},
            kept,
            target,
        )
        for name, unit, key in FIGURES
    ]


def figures(sizes: Sizes) -> list[dict[str, Any]]:
    """All figures of the configuration."""
    tenants = {n: measure_in_process(read_and_reload, n, 3, sizes.reloads) for n in sizes.tenants}
    classes = {n: measure_in_process(read_and_reload, 0, n, sizes.reloads) for n in sizes.classes}
    return [
        *_table("tenants", tenants, sizes.kept_tenants, TARGET_TENANTS),
        *_table("classes", classes, sizes.kept_classes, TARGET_CLASSES),
    ]
