"""Slopes of a balancer's configuration, by tenants and by classes: reading it, and the stall by a reload."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tempfile
import time
from multiprocessing.connection import Connection
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

import uvloop

from bench.slopes_figures import Axis, FigureSpec, figures_of
from bench.slopes_node import node_without_log
from bench.slopes_process import LoopLag, measure_in_process, resident_mb
from quartzford.__main__ import reload_configuration
from quartzford.decision.columns import load_arrays
from quartzford.node import Node
from quartzford.settings.configuration import load_config
from standins.site import CLASSES, config, reserved_port

ROLE = "balancer"
TARGET_TENANTS, TARGET_CLASSES = 180_000, 2_700
FEWEST_CLASSES = 3  # where tenants are varied
RELOAD_TIMEOUT_S = 30.0
SETTLE_S = 0.1  # between the writing of a file and the reload that is measured


class Sizes(NamedTuple):
    """Tenants and classes that are read, each with the size that is kept out of the fit."""

    tenants: tuple[int, ...]
    kept_tenants: int
    classes: tuple[int, ...]
    kept_classes: int
    reloads: int


QUICK = Sizes((500, 1_000, 2_000, 4_000), 2_000, (3, 30, 100, 300), 100, 2)
FULL = Sizes((1_000, 10_000, 45_000, 90_000, 180_000), 90_000, (3, 300, 900, 1_800, 2_700), 900, 5)


class ReloadCosts(NamedTuple):
    """Processor time and the loop's longest stall, each the median of the reloads."""

    processor_ms: float
    stall_ms: float


class ConfigurationCosts(NamedTuple):
    """Costs of one configuration, read at the start and reloaded. MB are 10^6 bytes, kB 10^3."""

    resident_mb: float
    read_ms: float  # until the node is there
    reload: ReloadCosts
    peak_mb: float
    file_kb: float


def write_configuration(path: Path, tenants: int, classes: int, quota: float) -> None:
    """Write a configuration in the platform's form; quota: of the first tenant, requests a second."""
    table = config(reserved_port(), reserved_port(), {"seq": 0, "whole": True, "hosts": []})
    table["settings"]["customers"] = [
        {"name": f"tenant-{n:06}", "quotaPerS": quota + n % 7} for n in range(tenants)
    ]
    table["settings"]["classes"] = [
        CLASSES[n % len(CLASSES)] | ({"name": f"class-{n:04}"} if n >= len(CLASSES) else {})
        for n in range(classes)
    ]
    path.write_text(json.dumps(table))


def read_and_reload(pipe: Connection, tenants: int, classes: int, reloads: int) -> None:
    """Send the ConfigurationCosts of a configuration with this many tenants and classes."""
    load_arrays()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        write_configuration(path, tenants, classes, 4.0)
        os.environ["EDGE_CONFIG"] = str(path)
        pipe.send(uvloop.run(_measure_configuration(path, tenants, classes, reloads)))


async def _measure_configuration(path: Path, tenants: int, classes: int, reloads: int) -> ConfigurationCosts:
    begun = time.monotonic()
    node = node_without_log(load_config(str(path)))
    read_s = time.monotonic() - begun
    resident = resident_mb()
    reload_costs = await _measure_reloads(node, path, tenants, classes, reloads)
    if node.engine.request_counters.reloads["ok"] != reloads:
        raise RuntimeError("a reload was refused")
    return ConfigurationCosts(
        resident_mb=resident,
        read_ms=read_s * 1000,
        reload=reload_costs,
        peak_mb=resident_mb(peak=True),
        file_kb=path.stat().st_size / 1000,
    )


async def _measure_reloads(node: Node, path: Path, tenants: int, classes: int, reloads: int) -> ReloadCosts:
    """Write the file anew and send SIGHUP, as an operator does, with other quotas each time."""
    done = asyncio.Event()

    def reload() -> None:
        reload_configuration(node)
        done.set()

    node.loop.add_signal_handler(signal.SIGHUP, reload)
    lag, stalls, costs = LoopLag(node.loop), [], []
    for number in range(reloads):
        write_configuration(path, tenants, classes, 5.0 + number)
        await asyncio.sleep(SETTLE_S)
        lag.begin()
        done.clear()
        processor_before = time.process_time()
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.wait_for(done.wait(), RELOAD_TIMEOUT_S)
        costs.append(time.process_time() - processor_before)
        stalls.append(await lag.worst_ms())
    return ReloadCosts(median(costs) * 1000, median(stalls))


def _specs(by: str) -> tuple[FigureSpec[ConfigurationCosts], ...]:
    prefix = f"configuration by {by}"
    return (
        FigureSpec(f"{prefix}: size of the file", "kB", lambda costs: costs.file_kb),
        FigureSpec(f"{prefix}: resident memory", "MB", lambda costs: costs.resident_mb),
        FigureSpec(f"{prefix}: highest memory through reloads", "MB", lambda costs: costs.peak_mb),
        FigureSpec(f"{prefix}: time to read it and begin", "ms", lambda costs: costs.read_ms),
        FigureSpec(f"{prefix}: processor time of a reload", "ms", lambda costs: costs.reload.processor_ms),
        FigureSpec(f"{prefix}: stall of the loop by a reload", "ms", lambda costs: costs.reload.stall_ms),
    )


def _costs(tenants: int, classes: int, reloads: int) -> ConfigurationCosts:
    costs: ConfigurationCosts = measure_in_process(read_and_reload, tenants, classes, reloads)
    return costs


def figures(sizes: Sizes) -> list[dict[str, Any]]:
    """All figures of the configuration: by tenants with few classes, by classes without tenants."""
    tenants: dict[float, ConfigurationCosts] = {
        n: _costs(n, FEWEST_CLASSES, sizes.reloads) for n in sizes.tenants
    }
    classes: dict[float, ConfigurationCosts] = {n: _costs(0, n, sizes.reloads) for n in sizes.classes}
    by_tenants = Axis("tenants", sizes.kept_tenants, TARGET_TENANTS)
    by_classes = Axis("classes", sizes.kept_classes, TARGET_CLASSES)
    return [
        *figures_of(ROLE, _specs("tenants"), tenants, by_tenants),
        *figures_of(ROLE, _specs("classes"), classes, by_classes),
    ]
