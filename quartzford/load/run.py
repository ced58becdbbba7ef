"""A whole run: the plan, the worker processes that play it, and one result out of their records."""

from __future__ import annotations

import asyncio
import gc
import multiprocessing as mp
import random
import resource
import signal
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from multiprocessing.connection import Connection, wait
from time import monotonic
from typing import Any

import uvloop

from quartzford.load.clients import BRIEF, Kind, Manners
from quartzford.load.driver import Driver, Due, Target
from quartzford.load.record import Record, figures
from quartzford.load.shapes import fixed, poisson, read_shape
from quartzford.load.trace import Row

LEAD_S = 0.5  # from the workers' readiness to the first arrival
LATE_MS = 5.0  # a generator whose p99 is over this was late, and says so
STOP_S = 5.0


@dataclass(frozen=True, slots=True)
class Load:
    """What is to be played. Either a shape or rows of a trace; speed: a trace's offsets are divided by it."""

    target: Target
    shape: str = "constant:100"
    seconds: float = 10.0
    spacing: str = "poisson"  # or fixed
    seed: int = 1
    workers: int = 1
    kinds: tuple[Kind, ...] = BRIEF
    tenants: tuple[tuple[str, float], ...] = ()
    keys: int = 0  # so many keys, drawn evenly; 0: none
    size: int = 0
    manners: Manners = field(default_factory=Manners)
    rows: tuple[Row, ...] = ()
    speed: float = 1.0
    late_ms: float = LATE_MS
    warm_s: float = 0.0  # what is due before this is played and not measured


def plan(load: Load, worker: int) -> Iterator[Due]:
    """A worker's part. Poisson parts add up to a Poisson whole; all else is dealt out in turn."""
    if load.rows:
        kinds = {kind.name: kind for kind in load.kinds}
        for row in load.rows[worker :: load.workers]:
            kind = kinds.get(row.service_class) or Kind(row.service_class)
            left = row.left_ms / 1000.0 if row.left_ms else kind.deadline_s
            yield Due(row.offset / load.speed, kind, row.tenant, row.key, row.size, left)
        return
    rng = random.Random(f"{load.seed}/{worker}")
    shape = read_shape(load.shape)
    if load.spacing == "fixed":
        moments: Iterator[float] = (
            at for n, at in enumerate(fixed(shape, load.seconds)) if n % load.workers == worker
        )
    else:
        moments = poisson(shape.part(load.workers), load.seconds, rng)
    names, shares = load.kinds, [kind.share for kind in load.kinds]
    tenants, weights = [t for t, _ in load.tenants], [w for _, w in load.tenants]
    for at in moments:
        kind = rng.choices(names, shares)[0]
        tenant = rng.choices(tenants, weights)[0] if tenants else ""
        key = f"k{rng.randrange(load.keys)}" if load.keys else ""
        yield Due(at, kind, tenant, key, load.size, kind.deadline_s)


def rows_of(load: Load) -> list[Row]:
    """The trace that a shape makes."""
    dues = sorted(due for n in range(load.workers) for due in _plain(load, n))
    return [Row(at, name, tenant, key, size, left * 1000.0) for at, name, tenant, key, size, left in dues]


def _plain(load: Load, worker: int) -> Iterator[tuple[float, str, str, str, int, float]]:
    for due in plan(load, worker):
        yield due.offset, due.kind.name, due.tenant, due.key, due.size, due.left_s


def work(load: Load, worker: int, pipe: Connection) -> None:
    """A worker process: says that it is ready, hears when to start, sends its record."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent hears it, and says what follows

    async def main() -> None:
        loop = asyncio.get_running_loop()
        pipe.send("ready")
        start = await loop.run_in_executor(None, pipe.recv)
        record = Record(load.kinds)
        name, seed = f"{load.seed:x}.{worker:x}.", load.seed * 1000 + worker
        driver = Driver(load.target, load.manners, plan(load, worker), start, seed, name, record, load.warm_s)
        loop.add_reader(pipe.fileno(), driver.stop)
        # A full collection stops the generator for a millisecond; what a run makes is freed by counts anyway.
        gc.collect()
        gc.freeze()
        gc.set_threshold(100_000, 50, 1000)
        await driver.run()
        loop.remove_reader(pipe.fileno())
        usage = resource.getrusage(resource.RUSAGE_SELF)
        pipe.send({
            "record": record.dump(), "starved": driver.starved, "sent": driver.count, "live": driver.live,
            "cpu_s": usage.ru_utime + usage.ru_stime,
        })  # fmt: skip

    uvloop.run(main())


def play(load: Load, started: Callable[[], None] = lambda: None) -> dict[str, Any]:
    """Play it, and give the result; on SIGINT what was measured. started: all workers were told."""
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
                    left.remove(ready)  # type: ignore[arg-type]
        except KeyboardInterrupt:
            interrupted = True
            for pipe in pipes:
                pipe.send("stop")
        parts = [part for part in map(_part_of, pipes) if part is not None]
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


def summary(
    load: Load, parts: list[dict[str, Any]], spent_s: float, interrupted: bool, silent: int
) -> dict[str, Any]:
    """One result out of the workers' records."""
    record = Record(load.kinds)
    for part in parts:
        record.merge(part["record"])
    late = figures(record.late)
    starved = next((part["starved"] for part in parts if part["starved"]), "")
    was_late = bool(late) and late["p99"] > load.late_ms
    ended, twice = sum(record.ends.values()), record.counts["answered twice"]
    trouble = [starved] if starved else []
    if was_late:
        trouble.append(f"the generator was late: p99 {late['p99']:.1f} ms, {load.late_ms:g} are allowed")
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
        "rate": round(ended / max(spent_s - load.warm_s, 1e-9), 1),
        "interrupted": interrupted,
        "starved": starved,
        "late": was_late,
        "trouble": trouble,
        "lateness_ms": late,
        "latency_ms": {"all": figures(record.whole(record.latency))}
        | {name: figures(one) for name, one in sorted(record.latency.items())},
        "service_ms": {"all": figures(record.whole(record.service))}
        | {name: figures(one) for name, one in sorted(record.service.items())},
        "ends": dict(sorted(record.ends.items())),
        "tries": dict(sorted(record.tries.items())),
        "goodput": {name: round(value, 4) for name, value in record.goodput().items()},
        "cpu_s": [round(part["cpu_s"], 2) for part in parts],
        "record": record.dump(),
    }  # fmt: skip


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
    lines += [f"! {text}" for text in result["trouble"]]
    return "\n".join(lines)
