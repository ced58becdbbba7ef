"""The requests of each worker in a run: generated from a shape, or read from a trace. No I/O."""

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

    offset: seconds from the start, or from the end of the previous request of its session. size: the length
    of the body, in bytes. time_left_s: seconds from the intended send to the request's deadline. session: the
    key of the request's session if think times are kept, otherwise empty.
    """

    offset: float
    request_class: RequestClass
    tenant: str
    key: str
    size: int
    time_left_s: float
    session: str = ""


class SessionPlan(NamedTuple):
    """The sessions of one worker. followers: by session, the requests after the first one, in order."""

    first_requests: list[PlannedRequest]
    followers: dict[str, deque[PlannedRequest]]


def plan_requests(load: LoadOptions, worker: int) -> Iterator[PlannedRequest]:
    """Yield a worker's requests in the order of their offsets.

    In a closed loop, the sequence is infinite and all offsets are 0.
    """
    if load.rows:
        classes = _classes_by_name(load)
        for row in load.rows[worker :: load.workers]:
            yield _planned_from_row(row, classes, row.offset / load.speed)
        return
    rng = random.Random(f"{load.seed}/{worker}")
    names, weights = [name for name, _ in load.tenants], [weight for _, weight in load.tenants]
    shares = [request_class.share for request_class in load.request_classes]
    for offset in _offsets(load, worker, rng):
        request_class = rng.choices(load.request_classes, shares)[0]
        tenant = rng.choices(names, weights)[0] if names else ""
        key = f"k{rng.randrange(load.keys)}" if load.keys else ""
        yield PlannedRequest(offset, request_class, tenant, key, load.size, request_class.deadline_s)


def _offsets(load: LoadOptions, worker: int, rng: random.Random) -> Iterator[float]:
    """Return a worker's arrivals, in seconds from the start.

    The sum of independent Poisson processes is a Poisson process, so each worker draws its own arrivals at an
    equal share of the rate. Evenly spaced arrivals are distributed to the workers in turn.
    """
    shape = read_shape(load.shape)
    if load.closed_clients:
        return repeat(0.0)
    if load.spacing == "fixed":
        numbered_offsets = enumerate(evenly_spaced_arrivals(shape, load.seconds))
        return (offset for number, offset in numbered_offsets if number % load.workers == worker)
    return poisson_arrivals(shape.divided_by(load.workers), load.seconds, rng)


def plan_sessions(load: LoadOptions, worker: int) -> SessionPlan:
    """Return a worker's share of the sessions in a trace, with the think times of the trace.

    A session consists of the requests with one tenant and key. A request without a key is a session of its
    own. A session's first request is sent at its offset divided by the speed. Each further request is sent
    after the end of the previous one, with the gap between their offsets in the trace. The speed does not
    change these gaps.
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
            follower = _planned_from_row(row, classes, gap, session)
            sessions.followers.setdefault(session, deque()).append(follower)
        else:
            sessions.first_requests.append(_planned_from_row(row, classes, row.offset / load.speed, session))
        previous_offset[session] = row.offset
    return sessions


def _classes_by_name(load: LoadOptions) -> dict[str, RequestClass]:
    return {request_class.name: request_class for request_class in load.request_classes}


def _planned_from_row(
    row: TraceRow, classes: dict[str, RequestClass], offset: float, session: str = ""
) -> PlannedRequest:
    request_class = classes.get(row.service_class) or RequestClass(row.service_class)
    time_left_s = row.left_ms / 1000.0 if row.left_ms else request_class.deadline_s
    return PlannedRequest(offset, request_class, row.tenant, row.key, row.size, time_left_s, session)


def make_trace(load: LoadOptions) -> list[TraceRow]:
    """Return the requests of all workers as the rows of a trace, sorted by offset."""
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
