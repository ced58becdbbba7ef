"""Slopes of requests at a balancer: processor time by upstreams and by rate, and what the HTTP path adds.

Latencies count from intended times. The balancer is the platform's run in a process of its own, in front of
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
from bench.slopes_figures import Axis, FigureSpec, figures_of
from bench.slopes_process import MeasurementError, measure_in_process, processor_s, receive, spawned
from bench.slopes_source import Row, rows, source
from quartzford.decision.columns import load_arrays
from quartzford.decision.logic import Balancer
from quartzford.load.clients import SINGLE_ATTEMPT, RequestClass
from quartzford.load.options import LoadOptions, Target
from quartzford.load.run import play
from standins.site import config, reserved_port
from standins.upstream import ExecutionJournal, StandInUpstream, start_upstreams

ROLE = "balancer"
TARGET_UPSTREAMS = 63_000
SERVICE_UPSTREAMS = 24  # 63,000 over 2,700 services
TARGET_RATE = 120.0  # 550,000 requests a second over 4,600 balancers
STAND_IN_UPSTREAMS = 8  # in one process, whose addresses the upstreams of a long list share
REQUESTS_PER_BATCH = 200  # in the decision module
INITIAL_CONNECTIONS = 8
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
STOP_TIMEOUT_S = 20.0
SETTLE_S, IDLE_WINDOW_S, WARM_UP_S = 0.5, 1.0, 0.7
REQUEST_CLASSES = (RequestClass("consulta"),)


class Sizes(NamedTuple):
    """What is measured, each with the size that is kept out of the fit."""

    upstreams: tuple[int, ...]
    kept_upstreams: int
    batches: int  # of REQUESTS_PER_BATCH requests in the decision module
    rates: tuple[float, ...]
    kept_rate: float
    seconds: tuple[float, ...]  # of the load at each rate
    rounds: int
    path_upstreams: tuple[int, ...]
    kept_path_upstreams: int
    path_rate: float
    path_seconds: float


QUICK = Sizes(
    upstreams=(100, 500, 1_000, 2_000),
    kept_upstreams=1_000,
    batches=5,
    rates=(60.0, 120.0, 240.0, 480.0),
    kept_rate=240.0,
    seconds=(2.0, 1.5, 1.5, 1.0),
    rounds=1,
    path_upstreams=(24, 100, 250, 500),
    kept_path_upstreams=250,
    path_rate=200.0,
    path_seconds=1.0,
)
FULL = Sizes(
    upstreams=(100, 1_000, 4_000, 16_000, 32_000, 63_000),
    kept_upstreams=32_000,
    batches=15,
    rates=(120.0, 300.0, 600.0, 1_200.0),
    kept_rate=600.0,
    seconds=(6.0, 4.0, 3.0, 3.0),
    rounds=2,
    path_upstreams=(24, 1_000, 4_000, 16_000, 63_000),
    kept_path_upstreams=4_000,
    path_rate=300.0,
    path_seconds=3.0,
)


# ---- the decision module alone


def module_cost(pipe: Connection, upstreams: int, batches: int) -> None:
    """Send the microseconds of the decision module for a request and its answer: the median of batches."""
    load_arrays()
    site = Site(Balancer, upstreams)
    for _ in range(2 * MAX_IN_FLIGHT):
        site.request()
    gc.collect()
    gc.freeze()
    pipe.send(median(_batch_mean(site) for _ in range(batches)))


def _batch_mean(site: Site) -> float:
    return sum(site.request() for _ in range(REQUESTS_PER_BATCH)) / REQUESTS_PER_BATCH


# ---- processes of the whole path


@contextmanager
def balancer_process(discovery: int, known: Any) -> Iterator[tuple[int, int]]:
    """The platform's run of this checkout, once it is ready: its port for clients and its process id.

    discovery: the list service's port. known: the list in the configuration, in discovery's form.
    """
    admin, port = reserved_port(), reserved_port()
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
        time.sleep(READY_POLL_S)
    raise MeasurementError(f"the balancer was not ready in {READY_TIMEOUT_S:g} s")


async def _upstreams(pipe: Connection, count: int) -> None:
    def make(number: int, journal: ExecutionJournal) -> StandInUpstream:
        return StandInUpstream(f"s{number}", journal, capacity=1e6, latency_s=0.0, rng=random.Random(number))

    _, _, registry = await start_upstreams(count, make)
    pipe.send((registry.port, registry.complete()))
    await asyncio.get_running_loop().create_future()


def serve_upstreams(pipe: Connection, count: int) -> None:
    """Run stand-in upstreams that answer at once; sends their list service's port and the list."""
    uvloop.run(_upstreams(pipe, count))


@contextmanager
def upstreams(count: int) -> Iterator[tuple[int, Any]]:
    """Stand-in upstreams in a process of their own: the list service's port, and the list."""
    with spawned(serve_upstreams, count) as pipe:
        yield receive(pipe)


# ---- loads


class LoadRun(NamedTuple):
    """One load's latencies in ms, and the processor time of the process behind it."""

    p50: float
    p99: float
    processor_s: float  # 0 if that was not measured
    elapsed_s: float
    sent: int
    late_p99: float  # of the load generator's own lateness

    def request_us(self, idle_share: float) -> float:
        """Microseconds of processor time of a request, beyond what the process uses at rest."""
        return (self.processor_s - idle_share * self.elapsed_s) / self.sent * 1e6


def run_load(port: int, pid: int | None, rate: float, seconds: float, seed: int) -> LoadRun:
    """Play a load against a port; pid: the process whose processor time counts, if any."""
    processor_before, begun = processor_s(pid) if pid is not None else 0.0, time.monotonic()
    result = _play(port, rate, seconds, seed)
    elapsed = time.monotonic() - begun
    processor = processor_s(pid) - processor_before if pid is not None else 0.0
    latencies = result["latency_ms"]["all"]
    return LoadRun(
        p50=latencies["p50"],
        p99=latencies["p99"],
        processor_s=processor,
        elapsed_s=elapsed,
        sent=result["sent"],
        late_p99=result["lateness_ms"]["p99"],
    )


def _play(port: int, rate: float, seconds: float, seed: int) -> dict[str, Any]:
    """Open-loop arrivals at a rate, without the warm-up; MeasurementError unless all were served."""
    options = LoadOptions(
        Target("127.0.0.1", port, initial_connections=INITIAL_CONNECTIONS),
        shape=f"constant:{rate:g}",
        seconds=WARM_UP_S + seconds,
        warm_up_s=WARM_UP_S,
        seed=seed,
        request_classes=REQUEST_CLASSES,
        behaviour=SINGLE_ATTEMPT,
        max_lateness_ms=math.inf,
    )
    result = play(options)
    if result["interrupted"]:
        raise KeyboardInterrupt
    served = sum(count for name, count in result["ends"].items() if name.endswith(" served"))
    if served != result["ended"] or not served:
        raise MeasurementError(f"not all requests were served: {result['ends']}")
    return result


def _idle_share(pid: int) -> float:
    """Seconds of processor time a second of a process while it has no requests."""
    time.sleep(SETTLE_S)
    before = processor_s(pid)
    time.sleep(IDLE_WINDOW_S)
    return (processor_s(pid) - before) / IDLE_WINDOW_S


# ---- costs of the whole path


class AddedCosts(NamedTuple):
    """What the HTTP path adds at one rate: medians over rounds, times in ms."""

    p50_ms: float
    p99_ms: float
    direct_p50_ms: float
    direct_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    late_p99_ms: float
    request_us: float


class PathCosts(NamedTuple):
    """A request through a balancer that knows this many upstreams."""

    request_us: float
    p50_ms: float
    p99_ms: float


def path_by_rate(sizes: Sizes) -> dict[float, AddedCosts]:
    """What the HTTP path adds at each rate, from rounds through the balancer and straight, in turns."""
    out = {}
    with upstreams(SERVICE_UPSTREAMS) as (discovery, known):
        upstream_port = int(known["hosts"][0]["dial"].rpartition(":")[2])
        with balancer_process(discovery, known) as (port, pid):
            idle_share = _idle_share(pid)
            for rate, seconds in zip(sizes.rates, sizes.seconds, strict=True):
                pairs = []
                for seed in range(1, sizes.rounds + 1):
                    through = run_load(port, pid, rate, seconds, seed)
                    pairs.append((through, run_load(upstream_port, None, rate, seconds, seed)))
                out[rate] = _added(pairs, idle_share)
    return out


def _added(pairs: Sequence[tuple[LoadRun, LoadRun]], idle_share: float) -> AddedCosts:
    """The costs out of rounds; of each pair the first goes through the balancer, the other straight."""
    return AddedCosts(
        p50_ms=median(through.p50 for through, _ in pairs),
        p99_ms=median(through.p99 for through, _ in pairs),
        direct_p50_ms=median(direct.p50 for _, direct in pairs),
        direct_p99_ms=median(direct.p99 for _, direct in pairs),
        added_p50_ms=median(through.p50 - direct.p50 for through, direct in pairs),
        added_p99_ms=median(through.p99 - direct.p99 for through, direct in pairs),
        late_p99_ms=max(max(through.late_p99, direct.late_p99) for through, direct in pairs),
        request_us=median(through.request_us(idle_share) for through, _ in pairs),
    )


def path_by_upstreams(sizes: Sizes) -> dict[float, PathCosts]:
    """A request's processor time and latency by the upstreams that a balancer knows.

    The upstreams share the addresses of a few stand-ins; a balancer knows them by name.
    """
    out: dict[float, PathCosts] = {}
    with upstreams(STAND_IN_UPSTREAMS) as (_, listed):
        addresses = [row["dial"] for row in listed["hosts"]]
        for count in sizes.path_upstreams:
            out[count] = _path_costs(sizes, rows(count, addresses), addresses)
    return out


def _path_costs(sizes: Sizes, hosts: list[Row], addresses: Sequence[str]) -> PathCosts:
    known = {"seq": 1, "whole": True, "hosts": hosts}
    with (
        source(len(hosts), addresses) as (discovery, _, _),
        balancer_process(discovery, known) as (port, pid),
    ):
        idle_share = _idle_share(pid)
        run = run_load(port, pid, sizes.path_rate, sizes.path_seconds, seed=1)
        return PathCosts(run.request_us(idle_share), run.p50, run.p99)


# ---- figures

MODULE_FIGURES: tuple[FigureSpec[float], ...] = (
    FigureSpec("requests: processor time of one in the decision module", "us", lambda cost: cost),
)
UPSTREAM_FIGURES: tuple[FigureSpec[PathCosts], ...] = (
    FigureSpec("requests: processor time of one in the whole path", "us", lambda costs: costs.request_us),
    FigureSpec("requests: p50 by upstreams", "ms", lambda costs: costs.p50_ms),
    FigureSpec("requests: p99 by upstreams", "ms", lambda costs: costs.p99_ms),
)
RATE_FIGURES: tuple[FigureSpec[AddedCosts], ...] = (
    FigureSpec("requests: added at p50", "ms", lambda costs: costs.added_p50_ms),
    FigureSpec("requests: added at p99", "ms", lambda costs: costs.added_p99_ms),
    FigureSpec("requests: p50 through the balancer", "ms", lambda costs: costs.p50_ms),
    FigureSpec("requests: p99 through the balancer", "ms", lambda costs: costs.p99_ms),
    FigureSpec("requests: p50 straight at the upstream", "ms", lambda costs: costs.direct_p50_ms),
    FigureSpec("requests: p99 straight at the upstream", "ms", lambda costs: costs.direct_p99_ms),
    FigureSpec("requests: p99 of the load's own lateness", "ms", lambda costs: costs.late_p99_ms),
    FigureSpec("requests: processor time of one over rest", "us", lambda costs: costs.request_us),
)


def figures(sizes: Sizes) -> list[dict[str, Any]]:
    """All figures of requests: in the module, by upstreams through the whole path, and by rate."""
    modules = {float(n): float(measure_in_process(module_cost, n, sizes.batches)) for n in sizes.upstreams}
    by_rate, by_upstreams = path_by_rate(sizes), path_by_upstreams(sizes)
    module_axis = Axis("upstreams", sizes.kept_upstreams, TARGET_UPSTREAMS)
    path_axis = Axis("upstreams", sizes.kept_path_upstreams, TARGET_UPSTREAMS)
    rate_axis = Axis("requests a second", sizes.kept_rate, TARGET_RATE)
    return [
        *figures_of(ROLE, MODULE_FIGURES, modules, module_axis),
        *figures_of(ROLE, UPSTREAM_FIGURES, by_upstreams, path_axis),
        *figures_of(ROLE, RATE_FIGURES, by_rate, rate_axis),
    ]
