"""A whole run: the plan, the worker processes that play it, and one result out of their records."""

from __future__ import annotations

import asyncio
import gc
import multiprocessing as mp
import random
import resource
import signal
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import repeat
from multiprocessing.connection import Connection, wait
from time import monotonic
from typing import Any
from zlib import crc32

import uvloop

from quartzford.load.clients import DEFAULT_CLASSES, ClientBehaviour, RequestClass
from quartzford.load.driver import Driver, PlannedRequest, Target
from quartzford.load.record import Record, curve, histogram_summary
from quartzford.load.shapes import fixed, poisson, read_shape
from quartzford.load.trace import TraceRow

LEAD_S = 0.5  # from the workers' readiness to the first arrival
LATE_MS = 5.0  # a generator whose p99 is over this was late, and says so
STOP_S = 5.0
TELL_S = 0.5
SHOWN = 4  # seconds that who watches is told of
Progress = Callable[[list[dict[str, Any]]], None]


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """What is to be played. Either a shape or rows of a trace; speed: a trace's offsets are divided by it."""

    target: Target
    shape: str = "constant:100"
    seconds: float = 10.0
    spacing: str = "poisson"  # or fixed
    seed: int = 1
    workers: int = 1
    request_classes: tuple[RequestClass, ...] = DEFAULT_CLASSES
    tenants: tuple[tuple[str, float], ...] = ()
    keys: int = 0  # so many keys, drawn evenly; 0: none
    size: int = 0
    behaviour: ClientBehaviour = field(default_factory=ClientBehaviour)
    rows: tuple[TraceRow, ...] = ()
    speed: float = 1.0
    max_lateness_ms: float = LATE_MS
    warm_up_s: float = 0.0  # what is due before this is played and not measured
    keep_think_times: bool = (
        False  # a trace's requests of one tenant and key follow each other, their gaps kept
    )
    closed_clients: int = 0  # so many clients of each worker that wait for their answers, instead of arrivals
    attempt_log: bool = False  # keep how each try ended, by its id
    report_progress: bool = False  # workers tell how far they are


def _due(
    load: LoadOptions,
    row: TraceRow,
    request_classes: dict[str, RequestClass],
    offset: float,
    session: str = "",
) -> PlannedRequest:
    kind = request_classes.get(row.service_class) or RequestClass(row.service_class)
    left = row.left_ms / 1000.0 if row.left_ms else kind.deadline_s
    return PlannedRequest(offset, kind, row.tenant, row.key, row.size, left, session)


def sessions(load: LoadOptions, worker: int) -> tuple[list[PlannedRequest], dict[str, deque[PlannedRequest]]]:
    """A trace with think times kept: the first request of each session, and what follows in each.

    A session is what one tenant's key asked. Its first request comes at its offset over the speed; each
    further one so long after the end of the one before as lay between the two in the trace, at any speed.
    """
    request_classes = {kind.name: kind for kind in load.request_classes}
    firsts: list[PlannedRequest] = []
    following: dict[str, deque[PlannedRequest]] = {}
    last: dict[str, float] = {}
    for number, row in enumerate(load.rows):
        session = f"{row.tenant}/{row.key}" if row.key else f"#{number}"
        if crc32(session.encode()) % load.workers != worker:
            continue
        if session in last:
            gap = row.offset - last[session]
            following.setdefault(session, deque()).append(_due(load, row, request_classes, gap, session))
        else:
            firsts.append(_due(load, row, request_classes, row.offset / load.speed, session))
        last[session] = row.offset
    return firsts, following


def plan(load: LoadOptions, worker: int) -> Iterator[PlannedRequest]:
    """A worker's part. Poisson parts add up to a Poisson whole; all else is dealt out in turn."""
    if load.rows:
        request_classes = {kind.name: kind for kind in load.request_classes}
        for row in load.rows[worker :: load.workers]:
            yield _due(load, row, request_classes, row.offset / load.speed)
        return
    rng = random.Random(f"{load.seed}/{worker}")
    shape = read_shape(load.shape)
    if load.closed_clients:
        moments: Iterator[float] = repeat(0.0)
    elif load.spacing == "fixed":
        moments = (at for n, at in enumerate(fixed(shape, load.seconds)) if n % load.workers == worker)
    else:
        moments = poisson(shape.part(load.workers), load.seconds, rng)
    names, shares = load.request_classes, [kind.share for kind in load.request_classes]
    tenants, weights = [t for t, _ in load.tenants], [w for _, w in load.tenants]
    for at in moments:
        kind = rng.choices(names, shares)[0]
        tenant = rng.choices(tenants, weights)[0] if tenants else ""
        key = f"k{rng.randrange(load.keys)}" if load.keys else ""
        yield PlannedRequest(at, kind, tenant, key, load.size, kind.deadline_s)


def make_trace(load: LoadOptions) -> list[TraceRow]:
    """The trace that a shape makes."""
    dues = sorted(due for n in range(load.workers) for due in _plain(load, n))
    return [
        TraceRow(at, name, tenant, key, size, left * 1000.0) for at, name, tenant, key, size, left in dues
    ]


def _plain(load: LoadOptions, worker: int) -> Iterator[tuple[float, str, str, str, int, float]]:
    for due in plan(load, worker):
        yield due.offset, due.kind.name, due.tenant, due.key, due.size, due.left_s


async def tell(driver: Driver, pipe: Connection) -> None:
    """How far a worker is, now and then, for who watches."""
    record = driver.record
    while True:
        await asyncio.sleep(TELL_S)
        pipe.send(
            {
                "progress": True,
                "sent": driver.count,
                "live": driver.live,
                "ends": dict(record.outcomes),
                "recent": record.recent(SHOWN),
            }
        )


def work(load: LoadOptions, worker: int, pipe: Connection) -> None:
    """A worker process: says that it is ready, hears when to start, sends its record."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent hears it, and says what follows

    async def main() -> None:
        loop = asyncio.get_running_loop()
        pipe.send("ready")
        start = await loop.run_in_executor(None, pipe.recv)
        record = Record(load.request_classes)
        name, seed = f"{load.seed:x}.{worker:x}.", load.seed * 1000 + worker
        record.attempt_log = [] if load.attempt_log else None
        due, following = plan(load, worker), None
        if load.keep_think_times:
            firsts, following = sessions(load, worker)
            due = iter(firsts)
        driver = Driver(
            load.target,
            load.behaviour,
            due,
            start,
            seed,
            name,
            record,
            load.warm_up_s,
            following,
            load.closed_clients,
            start + load.seconds,
        )
        loop.add_reader(pipe.fileno(), driver.stop)
        telling = loop.create_task(tell(driver, pipe)) if load.report_progress else None
        # A full collection stops the generator for a millisecond; what a run makes is freed by counts anyway.
        gc.collect()
        gc.freeze()
        gc.set_threshold(100_000, 50, 1000)
        await driver.run()
        if telling is not None:
            telling.cancel()
        loop.remove_reader(pipe.fileno())
        usage = resource.getrusage(resource.RUSAGE_SELF)
        pipe.send(
            {
                "record": record.dump(),
                "starved": driver.starved,
                "sent": driver.count,
                "live": driver.live,
                "cpu_s": usage.ru_utime + usage.ru_stime,
            }
        )

    uvloop.run(main())


def play(
    load: LoadOptions, started: Callable[[], None] = lambda: None, progress: Progress = lambda told: None
) -> dict[str, Any]:
    """Play it, and give the result; on SIGINT what was measured.

    started: all workers were told; progress: hears twice a second what each worker last told.
    """
    context = mp.get_context("spawn")
    pipes: list[Connection] = []
    processes = []
    for number in range(load.workers):
        ours, theirs = context.Pipe()
        process = context.Process(target=work, args=(load, number, theirs), daemon=True)
        process.start()
        theirs.close()
        pipes.append(ours)
        processes.append(process)
    interrupted = False
    parts: list[dict[str, Any]] = []
    told: list[dict[str, Any]] = [{} for _ in pipes]
    try:
        for pipe in pipes:
            pipe.recv()
        start = monotonic() + LEAD_S
        for pipe in pipes:
            pipe.send(start)
        try:
            started()
            left = list(pipes)
            while left:
                for ready in wait(left):
                    number = pipes.index(ready)  # type: ignore[arg-type]
                    part = _part_of(pipes[number])
                    if part is not None and part.get("progress"):
                        told[number] = part
                        continue
                    left.remove(pipes[number])
                    parts += [part] if part is not None else []
                progress([one for one in told if one])
        except KeyboardInterrupt:
            interrupted = True
            for pipe in left:
                pipe.send("stop")
            parts += [part for part in map(_last_of, left) if part is not None]
        return summary(load, parts, monotonic() - start, interrupted, load.workers - len(parts))
    finally:
        for process in processes:
            process.join(STOP_S)
            if process.is_alive():
                process.terminate()


def _part_of(pipe: Connection) -> dict[str, Any] | None:
    """A worker's record; None of one that died."""
    try:
        part: dict[str, Any] | None = pipe.recv() if pipe.poll(STOP_S) else None
    except (EOFError, OSError):
        return None
    return part


def _last_of(pipe: Connection) -> dict[str, Any] | None:
    part = _part_of(pipe)
    while part is not None and part.get("progress"):
        part = _part_of(pipe)
    return part


def summary(
    load: LoadOptions, parts: list[dict[str, Any]], spent_s: float, interrupted: bool, silent: int
) -> dict[str, Any]:
    """One result out of the workers' records."""
    record = Record(load.request_classes)
    for part in parts:
        record.merge(part["record"])
    late = histogram_summary(record.late)
    starved = next((part["starved"] for part in parts if part["starved"]), "")
    was_late = bool(late) and late["p99"] > load.max_lateness_ms
    ended, twice = sum(record.outcomes.values()), record.counts["answered twice"]
    trouble = [starved] if starved else []
    if was_late:
        trouble.append(
            f"the generator was late: p99 {late['p99']:.1f} ms, {load.max_lateness_ms:g} are allowed"
        )
    if silent:
        trouble.append(f"{silent} workers gave no result")
    if twice:
        trouble.append(f"answered twice: {twice}")
    return {
        "version": 1,
        "seconds": round(spent_s, 3),
        "sent": sum(part["sent"] for part in parts),
        "warm_up": record.counts["warm-up"],
        "ended": ended,
        "rate": round(ended / max(spent_s - load.warm_up_s, 1e-9), 1),
        "interrupted": interrupted,
        "starved": starved,
        "late": was_late,
        "trouble": trouble,
        "lateness_ms": late,
        "latency_ms": {"all": histogram_summary(record.complete(record.latency))}
        | {name: histogram_summary(one) for name, one in sorted(record.latency.items())},
        "service_ms": {"all": histogram_summary(record.complete(record.service))}
        | {name: histogram_summary(one) for name, one in sorted(record.service.items())},
        "ends": dict(sorted(record.outcomes.items())),
        "tries": dict(sorted(record.tries.items())),
        "goodput": {name: round(value, 4) for name, value in record.goodput().items()},
        "cpu_s": [round(part["cpu_s"], 2) for part in parts],
        "by_second": record.seconds(),
        "curve": {"all": curve(record.complete(record.latency))}
        | {name: curve(one) for name, one in sorted(record.latency.items())},
        "rules": {},
        "record": record.dump(),
    }


def show(result: dict[str, Any]) -> str:
    """The result as lines for a terminal."""
    lines = [f"{result['sent']} requests in {result['seconds']:.1f} s, {result['rate']:.0f} ended a second"]
    for title, key in (("latency from the intended send", "latency_ms"), ("service time", "service_ms")):
        for name, row in result[key].items():
            if row:
                said = "  ".join(f"{p} {row[p]:.2f}" for p in ("p50", "p90", "p99", "p99.9", "max"))
                lines.append(f"{title}, {name} (ms): {said}  of {row['count']}")
    row = result["lateness_ms"]
    if row:
        said = "  ".join(f"{p} {row[p]:.2f}" for p in ("p50", "p99", "max"))
        lines.append(f"the generator's own lateness (ms): {said}")
    lines.append("ends: " + ", ".join(f"{name} {count}" for name, count in result["ends"].items()))
    lines.append("goodput: " + ", ".join(f"{name} {value:.3f}" for name, value in result["goodput"].items()))
    if result["rules"]:
        verdict = result["rules"]
        lines.append(
            f"books: {verdict['runs']} runs at the nodos, {verdict['drains']} drains, latest send after one"
            f" {verdict['latest_send_after_drain_ms']} ms, cold lives {verdict['cold']}"
        )
        lines.append("rules: " + ", ".join(f"{name} {count}" for name, count in verdict["rules"].items()))
    lines += [f"! {text}" for text in result["trouble"]]
    return "\n".join(lines)
