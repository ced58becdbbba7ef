"""Helpers of the load generator's tests: servers with a known delay, a single worker, and the command."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import uvloop

from quartzford.load.clients import RequestClass
from quartzford.load.driver import Driver, WorkerPlan
from quartzford.load.options import LoadOptions, Target
from quartzford.load.plan import plan_requests
from quartzford.load.record import Record

ROOT = Path(__file__).resolve().parent.parent
ONE_CLASS = (RequestClass("consulta", deadline_s=4.0, latency_objective_s=1.0),)


@contextmanager
def delay_server(spec: str) -> Iterator[tuple[Target, subprocess.Popen[bytes]]]:
    """Run a server while the block runs. spec: its delay, in the syntax of standins.delay."""
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.delay", spec], cwd=ROOT, stdout=subprocess.PIPE
    )
    assert process.stdout is not None
    try:
        yield Target("127.0.0.1", int(process.stdout.readline())), process
    finally:
        process.kill()
        process.wait()


def worker_plan(load: LoadOptions, start: float | None = None) -> WorkerPlan:
    """Return the plan of a load's only worker. start: seconds on the monotonic clock; None: now."""
    requests = plan_requests(load, 0)
    return WorkerPlan(
        load.target,
        load.behaviour,
        requests,
        time.monotonic() if start is None else start,
        load.seed,
        "t",
    )


def run_load(load: LoadOptions) -> Record:
    """Run a load with one worker in this process, and return the record of its measurements."""

    async def main() -> Record:
        record = Record(load.request_classes)
        await Driver(worker_plan(load, time.monotonic() + 0.05), record).run()
        return record

    return uvloop.run(main())


def start_load_command(*arguments: str, **options: Any) -> subprocess.Popen[bytes]:
    """Start `quartzford load` with piped output. options: keyword arguments of Popen."""
    return subprocess.Popen(
        [sys.executable, "-m", "quartzford", "load", *arguments],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **options,
    )
