"""Slopes of what serves lists: the cost of a poll, of a watcher, of a change sent to all, of a complete list.

All roles (bench/slopes_roles.py) are measured alike: each runs as a process of its own, polled and watched by
a crowd of plain sockets in another. Costs are the role's processor time by the kernel's clock of its process.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection
from statistics import median
from typing import Any, NamedTuple

from bench.slopes_crowd import await_notifications, crowd_main, poll, watch
from bench.slopes_figures import Axis, FigureSpec, figures_of
from bench.slopes_process import MeasurementError, processor_s, resident_mb, spawned
from bench.slopes_roles import TARGET_BALANCERS, Role, RunningRole
from bench.slopes_source import Row, rows

TARGET_UPSTREAMS = 63_000
WATCHED_ROWS = 100
LEAST_ROW_BYTES = 100  # an answer with fewer bytes a row is not the list that was set
WARM_UP_POLLS = 50
LIST_ROUNDS = 3  # of which the median counts
LIST_TIMEOUT_S = 60.0
SETTLE_S, CHANGE_SETTLE_S, CHECK_S = 0.3, 0.05, 0.05
TAKE_IN_ROWS_PER_S = 50_000  # of a list, at least


class Sizes(NamedTuple):
    """What is measured, each with the size that is kept out of the fit."""

    polls: tuple[int, ...]
    kept_polls: int
    watchers: tuple[int, ...]
    kept_watchers: int
    changes: int  # sent to all watchers, of which the median counts
    rest_s: float  # window of processor time at rest
    upstreams: tuple[int, ...]
    kept_upstreams: int


QUICK = Sizes(
    polls=(50, 100, 200, 400),
    kept_polls=200,
    watchers=(50, 100, 200, 400),
    kept_watchers=200,
    changes=3,
    rest_s=2.0,
    upstreams=(500, 1_000, 2_000, 4_000),
    kept_upstreams=2_000,
)
FULL = Sizes(
    polls=(250, 500, 1_000, 2_000),
    kept_polls=1_000,
    watchers=(200, 719, 1_500, 3_000, 4_600),
    kept_watchers=1_500,
    changes=5,
    rest_s=4.0,
    upstreams=(1_000, 4_000, 16_000, 32_000, 63_000),
    kept_upstreams=32_000,
)


class ChangeCosts(NamedTuple):
    """A change sent to all watchers: processor time, and time until the last has it."""

    processor_ms: float
    span_ms: float


class WatcherCosts(NamedTuple):
    """Costs of a number of watchers; MB are 10^6 bytes."""

    idle_ms_per_s: float
    change: ChangeCosts
    memory_mb: float


class ListCosts(NamedTuple):
    """Processor time of the complete list, after a change of it and again, and memory with it."""

    first_ms: float
    again_ms: float
    memory_mb: float


@contextmanager
def _with_list(role: Role, hosts: list[Row]) -> Iterator[tuple[RunningRole, Connection]]:
    """A role's process that has this list, and the pipe to a crowd at its port."""
    with role.start() as running, spawned(crowd_main, running.port) as crowd:
        running.set_list(hosts)
        _wait_for_list(crowd, hosts)
        yield running, crowd


def _wait_for_list(crowd: Connection, hosts: list[Row]) -> None:
    least, end = LEAST_ROW_BYTES * len(hosts), time.monotonic() + LIST_TIMEOUT_S
    while time.monotonic() < end:
        if poll(crowd, 1).size >= least:
            return
        time.sleep(CHECK_S)
    raise MeasurementError("the list did not come through")


def _with_first_replaced(hosts: list[Row], attempt: int) -> list[Row]:
    """The same list, its first upstream replaced; attempt: counts from 1, each gives another start."""
    replaced = hosts[0] | {"born_ms": hosts[0]["born_ms"] + attempt}
    return [replaced, *hosts[1:]]


def poll_costs(role: Role, sizes: Sizes) -> dict[float, float]:
    """Milliseconds of processor time of each number of calls for a list of 100 rows, a connection each."""
    out = dict[float, float]()
    with _with_list(role, rows(WATCHED_ROWS)) as (running, crowd):
        poll(crowd, WARM_UP_POLLS)
        for count in sizes.polls:
            before = processor_s(running.pid)
            poll(crowd, count)
            out[count] = (processor_s(running.pid) - before) * 1000
    return out


def watcher_costs(role: Role, count: int, sizes: Sizes) -> WatcherCosts:
    """Costs of this many watchers of a list of 100 rows; MeasurementError unless all of them are served."""
    hosts = rows(WATCHED_ROWS)
    with _with_list(role, hosts) as (running, crowd):
        accepted, rejected = watch(crowd, count)
        if accepted != count:
            raise MeasurementError(f"{accepted} watches of {count} were accepted, {rejected} rejected")
        before, begun = processor_s(running.pid), time.monotonic()
        time.sleep(sizes.rest_s)
        idle = (processor_s(running.pid) - before) / (time.monotonic() - begun)
        changes = [
            _change_costs(running, crowd, _with_first_replaced(hosts, attempt), count)
            for attempt in range(1, sizes.changes + 1)
        ]
        change = ChangeCosts._make(median(values) for values in zip(*changes, strict=True))
        return WatcherCosts(idle * 1000, change, resident_mb(running.pid))


def _change_costs(running: RunningRole, crowd: Connection, changed: list[Row], count: int) -> ChangeCosts:
    before, begun = processor_s(running.pid), time.monotonic()
    running.set_list(changed)
    notified = await_notifications(crowd, count)
    span = time.monotonic() - begun
    if notified != count:
        raise MeasurementError(f"{notified} of {count} watches got a change")
    time.sleep(CHANGE_SETTLE_S)
    return ChangeCosts((processor_s(running.pid) - before) * 1000, span * 1000)


def list_costs(role: Role, count: int) -> ListCosts:
    """Costs of a list with this many rows."""
    hosts, first, again = rows(count), [], []
    with _with_list(role, hosts) as (running, crowd):
        for attempt in range(1, LIST_ROUNDS + 1):
            running.set_list(_with_first_replaced(hosts, attempt))
            time.sleep(SETTLE_S + count / TAKE_IN_ROWS_PER_S)  # it is taken in: only the answers count
            before = processor_s(running.pid)
            poll(crowd, 1)
            between = processor_s(running.pid)
            poll(crowd, 1)
            first.append(between - before)
            again.append(processor_s(running.pid) - between)
        return ListCosts(median(first) * 1000, median(again) * 1000, resident_mb(running.pid))


CHANGE = "a change told to all watchers"
POLL_FIGURES: tuple[FigureSpec[float], ...] = (
    FigureSpec("calls for 100 rows: processor time", "ms", lambda cost: cost),
)
WATCHER_FIGURES: tuple[FigureSpec[WatcherCosts], ...] = (
    FigureSpec("watchers at rest: processor time", "ms/s", lambda costs: costs.idle_ms_per_s),
    FigureSpec(f"{CHANGE}: processor time", "ms", lambda costs: costs.change.processor_ms),
    FigureSpec(f"{CHANGE}: until the last has it", "ms", lambda costs: costs.change.span_ms),
    FigureSpec("watchers: resident memory", "MB", lambda costs: costs.memory_mb),
)
LIST_FIGURES: tuple[FigureSpec[ListCosts], ...] = (
    FigureSpec("whole list after a change: processor time", "ms", lambda costs: costs.first_ms),
    FigureSpec("whole list again: processor time", "ms", lambda costs: costs.again_ms),
    FigureSpec("list: resident memory", "MB", lambda costs: costs.memory_mb),
)


def figures(role: Role, sizes: Sizes) -> list[dict[str, Any]]:
    """All figures of one role."""
    polls = poll_costs(role, sizes)
    by_watchers = {float(count): watcher_costs(role, count, sizes) for count in sizes.watchers}
    by_upstreams = {float(count): list_costs(role, count) for count in sizes.upstreams}
    calls = Axis("calls", sizes.kept_polls, TARGET_BALANCERS)
    watchers = Axis("watchers", sizes.kept_watchers, role.target_watchers)
    upstreams = Axis("upstreams", sizes.kept_upstreams, TARGET_UPSTREAMS)
    return [
        *figures_of(role.name, POLL_FIGURES, polls, calls),
        *figures_of(role.name, WATCHER_FIGURES, by_watchers, watchers),
        *figures_of(role.name, LIST_FIGURES, by_upstreams, upstreams),
    ]
