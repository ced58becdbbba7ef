"""A worker process of the load generator: plays its part of a run and sends its measurements to the parent.

The parent sends the start, a float on the monotonic clock, once it has received READY from all workers;
whatever it sends after that ends the run early. A worker sends Progress now and then, if that is wanted, and
in the end its WorkerResult.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import resource
import signal
from collections.abc import AsyncIterator
from dataclasses import dataclass
from multiprocessing.connection import Connection

import uvloop

from quartzford.load.driver import Driver, WorkerPlan
from quartzford.load.options import LoadOptions
from quartzford.load.plan import plan_requests, plan_sessions
from quartzford.load.record import Record, SecondProgress
from quartzford.load.result import WorkerResult

READY = "ready"
PROGRESS_INTERVAL_S = 0.5
PROGRESS_SECONDS = 4  # the last seconds that a report covers
# A full collection stops the generator for a millisecond; reference counts free what a run makes anyway.
GC_THRESHOLDS = (100_000, 50, 1000)


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a worker is.

    sent: requests. in_flight: requests that have not ended. outcomes: requests by "class outcome". recent:
    the last seconds, by second.
    """

    sent: int
    in_flight: int
    outcomes: dict[str, int]
    recent: dict[int, SecondProgress]


def run_worker(load: LoadOptions, worker: int, pipe: Connection) -> None:
    """Play the part of one worker, numbered from 0. Runs in a process of its own."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent ends the run
    uvloop.run(_play(load, worker, pipe))


async def _play(load: LoadOptions, worker: int, pipe: Connection) -> None:
    loop = asyncio.get_running_loop()
    pipe.send(READY)
    start = await loop.run_in_executor(None, pipe.recv)
    record = Record(load.request_classes)
    record.attempt_log = [] if load.keep_attempt_log else None
    driver = Driver(_worker_plan(load, worker, start), record)
    loop.add_reader(pipe.fileno(), driver.stop)
    os.set_blocking(pipe.fileno(), True)  # add_reader has changed that, and a long message would fail
    async with _progress_reports(driver, pipe, load.report_progress):
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        await driver.run()
    loop.remove_reader(pipe.fileno())
    pipe.send(
        WorkerResult(record.dump(), driver.starved, driver.sent, driver.in_flight, _processor_seconds())
    )


def _worker_plan(load: LoadOptions, worker: int, start: float) -> WorkerPlan:
    requests, followers = plan_requests(load, worker), {}
    if load.keep_think_times:
        sessions = plan_sessions(load, worker)
        requests, followers = iter(sessions.first_requests), sessions.followers
    return WorkerPlan(
        load.target,
        load.behaviour,
        requests,
        start,
        seed=load.seed * 1000 + worker,
        name=f"{load.seed:x}.{worker:x}.",
        warm_up_s=load.warm_up_s,
        followers=followers,
        closed_clients=load.closed_clients,
        end=start + load.seconds,
    )


@contextlib.asynccontextmanager
async def _progress_reports(driver: Driver, pipe: Connection, wanted: bool) -> AsyncIterator[None]:
    """Report progress within the block, if that is wanted."""
    reporting = asyncio.get_running_loop().create_task(_report(driver, pipe)) if wanted else None
    try:
        yield
    finally:
        if reporting is not None:
            reporting.cancel()


async def _report(driver: Driver, pipe: Connection) -> None:
    record = driver.record
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        recent = record.recent(PROGRESS_SECONDS)
        pipe.send(Progress(driver.sent, driver.in_flight, dict(record.outcomes), recent))


def _processor_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
