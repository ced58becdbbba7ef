"""Slopes of requests at a balancer: processor time by upstreams and by rate, and what the HTTP path adds.

Latencies count from intended times. The balancer is the platform's run in a process of its own, before
stand-in upstreams that answer at once (a loop's timer is exact to a millisecond, which is what is to be
measured); the same load goes straight to one of them in turns.
"""

from __future__ import annotations

import asyncio
import gc
import json
import math
import os
import random
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from multiprocessing.connection import Connection
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

import uvloop

from bench.common import ROOT
from bench.decisions import MAX_IN_FLIGHT, Site
from bench.fit import figure
from bench.slopes_process import MeasurementError, measure_in_process, processor_s, receive, spawned
from bench.slopes_source import rows, source
from quartzford.decision.columns import load_arrays
from quartzford.decision.logic import Balancer
from quartzford.load.clients import SINGLE_ATTEMPT, RequestClass
from quartzford.load.driver import Target
from quartzford.load.run import LoadOptions, play
from standins.site import config, free_port
from standins.upstream import ExecutionJournal, StandInUpstream, start_upstreams

ROLE = "balancer"
TARGET_UPSTREAMS = 63_000
SERVICE_UPSTREAMS = 24  # 63,000 over 2,700 services
TARGET_RATE = 120.0  # 550,000 requests a second over 4,600 balancers
STAND_IN_UPSTREAMS = 8  # stand-in upstreams in one process
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
SETTLE_S, REST_S, WARM_S = 0.5, 1.0, 0.7
REQUEST_CLASSES = (RequestClass("consulta"),)


class Sizes(NamedTuple):
    """What is measured; seconds: of each rate, one for one."""

    upstreams: tuple[int, ...]
    kept_upstreams: int
    batches: int  # of two hundred requests in the module
    rates: tuple[float, ...]
    kept_rate: float
    seconds: tuple[float, ...]
    rounds: int
    path_upstreams: tuple[int, ...]
    kept_path_upstreams: int
    path_rate: float
    path_seconds: float


QUICK = Sizes(
    (100, 500, 1_000, 2_000),
    1_000,
    5,
    (60.0, 120.0, 240.0, 480.0),
    240.0,
    (2.0, 1.5, 1.5, 1.0),
    1,
    (24, 100, 250, 500),
    250,
    200.0,
    1.0,
)
FULL = Sizes(
    (100, 1_000, 4_000, 16_000, 32_000, 63_000),
    32_000,
    15,
    (120.0, 300.0, 600.0, 1_200.0),
    600.0,
    (6.0, 4.0, 3.0, 3.0),
    2,
    (24, 1_000, 4_000, 16_000, 63_000),
    4_000,
    300.0,
    3.0,
)


# ---- the decision module alone


def module_cost(pipe: Connection, upstreams: int, batches: int) -> None:
    """Microseconds of the decision module for a request and its answer."""
    load_arrays()
    site = Site(Balancer, upstreams)
    for _ in range(2 * MAX_IN_FLIGHT):
        site.request()
    gc.collect()
    gc.freeze()
    pipe.send(median(sum(site.request() for _ in range(200)) / 200 for _ in range(batches)))


# ---- the whole path


@contextmanager
def balancer_process(discovery: int, known: Any) -> Iterator[tuple[int, int]]:
    """The platform's run: its port for clients and its process id, once it is ready."""
    admin, port = free_port(), free_port()
    table = config(port, discovery, known) | {"admin_addr": f"127.0.0.1:{admin}"}
    table["settings"] |= {"registryMode": "subscribe", "nInstances": 1}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(table))
        running = subprocess.Popen(
            [sys.executable, "-m", "quartzford"],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            start_new_session=True,
            env={**os.environ, "EDGE_CONFIG": str(path), "TMPDIR": folder},
        )
        try:
            _wait_until_ready(admin, running)
            yield port, running.pid
        finally:
            running.terminate()
            try:
                running.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                running.kill()
                running.wait()


async def _upstreams(pipe: Connection, count: int) -> None:
    def make(number: int, journal: ExecutionJournal) -> StandInUpstream:
        return StandInUpstream(f"s{number}", journal, capacity=1e6, latency_s=0.0, rng=random.Random(number))

    _, _, registry = await start_upstreams(count, make)
    pipe.send((registry.port, registry.complete()))
    await asyncio.get_running_loop().create_future()


def serve_upstreams(pipe: Connection, count: int) -> None:
    """So many stand-in upstreams that answer at once; tells their list service's port and the list."""
    uvloop.run(_upstreams(pipe, count))


@contextmanager
def upstreams(count: int) -> Iterator[tuple[int, Any]]:
    """Stand-in upstreams in a process of their own: the list service's port, and the list."""
    with spawned(serve_upstreams, count) as pipe:
        yield receive(pipe)


def _wait_until_ready(admin: int, running: subprocess.Popen[bytes]) -> None:
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end:
        if running.poll() is not None:
            raise MeasurementError(f"the balancer ended with {running.returncode}")
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{admin}/status", timeout=1) as answer:
                if answer.status == 200:
                    return
        except OSError:
            pass
        time.sleep(0.05)
    raise MeasurementError(f"the balancer was not ready in {READY_TIMEOUT_S:g} s")


def _run_load(port: int, rate: float, seconds: float, seed: int) -> dict[str, Any]:
    """Open-loop arrivals at a rate, the first moments not measured."""
    load = LoadOptions(
        Target("127.0.0.1", port, initial_connections=8),
        shape=f"constant:{rate:g}",
        seconds=WARM_S + seconds,
        warm_up_s=WARM_S,
        seed=seed,
        request_classes=REQUEST_CLASSES,
        behaviour=SINGLE_ATTEMPT,
        max_lateness_ms=math.inf,
    )
    result = play(load)
    if result["interrupted"]:
        raise KeyboardInterrupt
    served = sum(count for name, count in result["ends"].items() if name.endswith(" served"))
    if served != result["ended"] or not served:
        raise MeasurementError(f"not all requests were served: {result['ends']}")
    return result


class LoadRun(NamedTuple):
    """One load's latencies in ms, and the balancer's processor time and the time around it."""

    p50: float
    p99: float
    processor_s: float
    elapsed_s: float
    sent: int
    late_p99: float


def _run_measured_load(port: int, pid: int | None, rate: float, seconds: float, seed: int) -> LoadRun:
    before, begun = processor_s(pid) if pid is not None else 0.0, time.monotonic()
    result = _run_load(port, rate, seconds, seed)
    elapsed = time.monotonic() - begun
    spent = processor_s(pid) - before if pid is not None else 0.0
    row = result["latency_ms"]["all"]
    return LoadRun(row["p50"], row["p99"], spent, elapsed, result["sent"], result["lateness_ms"]["p99"])


def _idle_cost(pid: int) -> float:
    """Seconds of processor time a second while nothing is asked of it."""
    time.sleep(SETTLE_S)
    before = processor_s(pid)
    time.sleep(REST_S)
    return (processor_s(pid) - before) / REST_S


def _request_us(load_run: LoadRun, idle_cost: float) -> float:
    return (load_run.processor_s - idle_cost * load_run.elapsed_s) / load_run.sent * 1e6


def path_by_rate(sizes: Sizes) -> dict[float, dict[str, float]]:
    """What the HTTP path adds at each rate: the median of rounds of balancer and upstream in turns."""
    out = {}
    with upstreams(SERVICE_UPSTREAMS) as (discovery, known):
        direct = int(known["hosts"][0]["dial"].rpartition(":")[2])
        with balancer_process(discovery, known) as (port, pid):
            idle_cost = _idle_cost(pid)
            for rate, seconds in zip(sizes.rates, sizes.seconds, strict=True):
                load_runs = [
                    (
                        _run_measured_load(port, pid, rate, seconds, seed),
                        _run_measured_load(direct, None, rate, seconds, seed),
                    )
                    for seed in range(1, sizes.rounds + 1)
                ]
                out[rate] = _added(load_runs, idle_cost)
    return out


def _added(load_runs: Sequence[tuple[LoadRun, LoadRun]], idle_cost: float) -> dict[str, float]:
    return {
        "p50_ms": median(through.p50 for through, _ in load_runs),
        "p99_ms": median(through.p99 for through, _ in load_runs),
        "straight_p50_ms": median(direct.p50 for _, direct in load_runs),
        "straight_p99_ms": median(direct.p99 for _, direct in load_runs),
        "added_p50_ms": median(through.p50 - direct.p50 for through, direct in load_runs),
        "added_p99_ms": median(through.p99 - direct.p99 for through, direct in load_runs),
        "late_p99_ms": max(max(through.late_p99, direct.late_p99) for through, direct in load_runs),
        "request_us": median(_request_us(through, idle_cost) for through, _ in load_runs),
    }


def path_by_upstreams(sizes: Sizes) -> dict[float, dict[str, float]]:
    """A request's processor time over rest, and its latency, by the upstreams that a balancer knows.

    The upstreams share the addresses of a few stand-ins; a balancer knows them by name.
    """
    out: dict[float, dict[str, float]] = {}
    with upstreams(STAND_IN_UPSTREAMS) as (_, listed):
        addresses = [row["dial"] for row in listed["hosts"]]
        for count in sizes.path_upstreams:
            known = {"seq": 1, "whole": True, "hosts": rows(count, addresses)}
            with (
                source(count, addresses) as (discovery, _, _),
                balancer_process(discovery, known) as (port, pid),
            ):
                idle_cost = _idle_cost(pid)
                load_run = _run_measured_load(port, pid, sizes.path_rate, sizes.path_seconds, 1)
                cost = _request_us(load_run, idle_cost)
                out[count] = {"request_us": cost, "p50_ms": load_run.p50, "p99_ms": load_run.p99}
    return out


PATH_FIGURES = (
    ("requests: added at p50", "ms", "added_p50_ms"),
    ("requests: added at p99", "ms", "added_p99_ms"),
    ("requests: p50 through the balancer", "ms", "p50_ms"),
    ("requests: p99 through the balancer", "ms", "p99_ms"),
    ("requests: p50 straight at the upstream", "ms", "straight_p50_ms"),
    ("requests: p99 straight at the upstream", "ms", "straight_p99_ms"),
    ("requests: p99 of the load's own lateness", "ms", "late_p99_ms"),
    ("requests: processor time of one over rest", "us", "request_us"),
)


UPSTREAM_FIGURES = (
    ("requests: processor time of one in the whole path", "us", "request_us"),
    ("requests: p50 by upstreams", "ms", "p50_ms"),
    ("requests: p99 by upstreams", "ms", "p99_ms"),
)


def figures(sizes: Sizes) -> list[dict[str, Any]]:
    """All figures of requests."""
    modules = {float(n): float(measure_in_process(module_cost, n, sizes.batches)) for n in sizes.upstreams}
    added, complete = path_by_rate(sizes), path_by_upstreams(sizes)
    name = "requests: processor time of one in the decision module"
    out = [figure(ROLE, name, "us", "upstreams", modules, sizes.kept_upstreams, TARGET_UPSTREAMS)]
    for name, unit, key in UPSTREAM_FIGURES:
        points = {count: row[key] for count, row in complete.items()}
        out.append(figure(ROLE, name, unit, "upstreams", points, sizes.kept_path_upstreams, TARGET_UPSTREAMS))
    for name, unit, key in PATH_FIGURES:
        points = {rate: row[key] for rate, row in added.items()}
        out.append(figure(ROLE, name, unit, "requests a second", points, sizes.kept_rate, TARGET_RATE))
    return out
