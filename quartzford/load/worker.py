"""A worker process of the load generator: sends its share of the requests and reports to the parent process.

When the parent has received READY from all workers, it sends them the start time: a float, in seconds on the
monotonic clock. Any later message from the parent ends the run early. A worker sends Progress every
PROGRESS_INTERVAL_S if LoadOptions.report_progress is set, and its WorkerResult at the end.
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
PROGRESS_WINDOW_S = 4  # the number of latest seconds that a report covers
# A full garbage collection stops the generator for a millisecond, so full collections are made rare.
# Reference counting frees the objects of a run anyway.
GC_THRESHOLDS = (100_000, 50, 1000)


@dataclass(frozen=True, slots=True)
class Progress:
    """The progress of a worker.

    sent: the number of requests started. in_flight: the number of them that have not ended. outcomes: the
    number of ended requests by "class outcome". recent: the latest seconds, by second.
    """

    sent: int
    in_flight: int
    outcomes: dict[str, int]
    recent: dict[int, SecondProgress]


def run_worker(load: LoadOptions, worker: int, pipe: Connection) -> None:
    """Run one worker in this process. worker: its number, from 0."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # on SIGINT, the parent stops the workers
    uvloop.run(_play(load, worker, pipe))


async def _play(load: LoadOptions, worker: int, pipe: Connection) -> None:
    loop = asyncio.get_running_loop()
    pipe.send(READY)
    start = await loop.run_in_executor(None, pipe.recv)
    record = Record(load.request_classes)
    record.attempt_log = [] if load.keep_attempt_log else None
    driver = Driver(_worker_plan(load, worker, start), record)
    loop.add_reader(pipe.fileno(), driver.stop)
    os.set_blocking(pipe.fileno(), True)  # add_reader made it non-blocking; then a long send fails
    async with _progress_reports(driver, pipe, load.report_progress):
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        await driver.run()
    loop.remove_reader(pipe.fileno())
    pipe.send(WorkerResult(record.dump(), driver.starved, driver.sent, driver.in_flight, _cpu_time_s()))


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
async def _progress_reports(driver: Driver, pipe: Connection, enabled: bool) -> AsyncIterator[None]:
    """Send progress reports during the block if enabled."""
    reporting = asyncio.get_running_loop().create_task(_send_reports(driver, pipe)) if enabled else None
    try:
        yield
    finally:
        if reporting is not None:
            reporting.cancel()


async def _send_reports(driver: Driver, pipe: Connection) -> None:
    record = driver.record
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        recent = record.recent(PROGRESS_WINDOW_S)
        pipe.send(Progress(driver.sent, driver.in_flight, dict(record.outcomes), recent))


def _cpu_time_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
