"""The requests of a run, worker by worker: drawn from a shape, or read from a trace. No I/O."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from itertools import repeat
from typing import NamedTuple
from zlib import crc32

from quartzford.load.clients import RequestClass
from quartzford.load.options import LoadOptions
from quartzford.load.shapes import evenly_spaced_arrivals, poisson_arrivals, read_shape
from quartzford.load.trace import TraceRow


class PlannedRequest(NamedTuple):
    """One request of a plan.

    offset: seconds from the start, or from the end of the request before it in its session. size: of the
    body, in bytes. time_left_s: from the intended send to the request's deadline. session: the key of the
    session that it belongs to, where think times are kept.
    """

    offset: float
    request_class: RequestClass
    tenant: str
    key: str
    size: int
    time_left_s: float
    session: str = ""


class SessionPlan(NamedTuple):
    """The sessions of one worker. followers: by session, the requests after its first, in order."""

    first_requests: list[PlannedRequest]
    followers: dict[str, deque[PlannedRequest]]


def plan_requests(load: LoadOptions, worker: int) -> Iterator[PlannedRequest]:
    """Yield a worker's requests in the order of their offsets.

    In a closed loop there is no end to them, and no offset counts.
    """
    if load.rows:
        classes = _classes_by_name(load)
        for row in load.rows[worker :: load.workers]:
            yield _from_row(row, classes, row.offset / load.speed)
        return
    rng = random.Random(f"{load.seed}/{worker}")
    names, weights = [name for name, _ in load.tenants], [weight for _, weight in load.tenants]
    shares = [one.share for one in load.request_classes]
    for offset in _offsets(load, worker, rng):
        request_class = rng.choices(load.request_classes, shares)[0]
        tenant = rng.choices(names, weights)[0] if names else ""
        key = f"k{rng.randrange(load.keys)}" if load.keys else ""
        yield PlannedRequest(offset, request_class, tenant, key, load.size, request_class.deadline_s)


def _offsets(load: LoadOptions, worker: int, rng: random.Random) -> Iterator[float]:
    """Yield a worker's arrivals, in seconds from the start.

    The sum of Poisson processes is one, so each worker has an equal part of the rate; arrivals at even
    spacing are dealt out in turn.
    """
    shape = read_shape(load.shape)
    if load.closed_clients:
        return repeat(0.0)
    if load.spacing == "fixed":
        every = enumerate(evenly_spaced_arrivals(shape, load.seconds))
        return (offset for number, offset in every if number % load.workers == worker)
    return poisson_arrivals(shape.part(load.workers), load.seconds, rng)


def plan_sessions(load: LoadOptions, worker: int) -> SessionPlan:
    """Plan a worker's part of a trace with think times kept.

    A session is the requests of one tenant and key; a request without a key is one of its own. Its first
    request comes at its offset over the speed. Each further one comes as long after the end of the one before
    it as lay between the two in the trace, at any speed.
    """
    classes = _classes_by_name(load)
    sessions = SessionPlan([], {})
    previous_offset: dict[str, float] = {}
    for number, row in enumerate(load.rows):
        session = f"{row.tenant}/{row.key}" if row.key else f"#{number}"
        if crc32(session.encode()) % load.workers != worker:
            continue
        if session in previous_offset:
            gap = row.offset - previous_offset[session]
            follower = _from_row(row, classes, gap, session)
            sessions.followers.setdefault(session, deque()).append(follower)
        else:
            sessions.first_requests.append(_from_row(row, classes, row.offset / load.speed, session))
        previous_offset[session] = row.offset
    return sessions


def _classes_by_name(load: LoadOptions) -> dict[str, RequestClass]:
    return {one.name: one for one in load.request_classes}


def _from_row(
    row: TraceRow, classes: dict[str, RequestClass], offset: float, session: str = ""
) -> PlannedRequest:
    request_class = classes.get(row.service_class) or RequestClass(row.service_class)
    time_left_s = row.left_ms / 1000.0 if row.left_ms else request_class.deadline_s
    return PlannedRequest(offset, request_class, row.tenant, row.key, row.size, time_left_s, session)


def make_trace(load: LoadOptions) -> list[TraceRow]:
    """Return the requests of all workers as the rows of a trace."""
    return sorted(
        TraceRow(
            planned.offset,
            planned.request_class.name,
            planned.tenant,
            planned.key,
            planned.size,
            planned.time_left_s * 1000.0,
        )
        for worker in range(load.workers)
        for planned in plan_requests(load, worker)
    )
