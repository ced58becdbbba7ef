"""One worker: sends what is due when it is due, over HTTP/1.1, and records how each request ended.

Open loop: what is due is sent whether or not earlier requests have been answered, on a connection of its own
if none is idle. In the last millisecond before a moment the loop is kept turning instead of sleeping, for its
timers are exact to a millisecond only. The monotonic clock alone is read.
"""

from __future__ import annotations

import asyncio
import errno
import heapq
import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from time import monotonic
from typing import Any, NamedTuple, cast

import httptools

from quartzford.load.clients import (
    FAILED,
    LOST,
    NO_ANSWER,
    REFUSED,
    SERVED,
    UNREACHABLE,
    Kind,
    Manners,
    next_try,
    patience_s,
)
from quartzford.load.connecting import connect_within
from quartzford.load.connection_end import ended_by_peer, unacknowledged_bytes
from quartzford.load.record import Record

SPIN_S = 0.0015  # sleep no closer to a moment than this
STARVED = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS)


class Due(NamedTuple):
    """One request of the plan. offset: seconds from the start, or after what went before in its session."""

    offset: float
    kind: Kind
    tenant: str
    key: str
    size: int
    left_s: float
    session: str = ""  # where think times are kept: what follows in it comes after this one's end


@dataclass(frozen=True, slots=True)
class Target:
    """Where to, and the bound on connections (0: none). head: further header lines, whole."""

    host: str
    port: int
    path: str = "/api"
    connections: int = 0
    head: str = ""
    opened: int = 0  # connections that stand before the first request is due


class Job:
    """A client's request over its tries."""

    __slots__ = ("due", "intended", "tries", "number", "end")

    def __init__(self, due: Due, intended: float, number: int) -> None:
        self.due = due
        self.intended = intended
        self.tries = 0
        self.number = number
        self.end = intended + due.left_s


class Try:
    """One try: on a connection, or waiting for one."""

    __slots__ = ("job", "planned", "sent", "give_up", "over", "resent")

    def __init__(self, job: Job, planned: float, give_up: float) -> None:
        self.job = job
        self.planned = planned  # its own intended send
        self.sent = 0.0
        self.give_up = give_up
        self.over = False
        self.resent = False  # an idle connection's end crossed it, and it went out once more


class Link(asyncio.Protocol):
    """A client connection: one try at a time."""

    transport: asyncio.Transport

    def __init__(self, driver: Driver) -> None:
        self.driver = driver
        self.attempt: Try | None = None
        self.parser: Any = None
        self.retry_after = 0.0
        self.closed = False
        self.fresh = False
        self.used = self.heard = False  # has carried a request before; has brought a part of this answer
        self.taken = False  # the server had all of this request when it closed the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def stands(self) -> bool:
        """Whether it can carry a request: neither side has ended it."""
        return not self.closed and not self.transport.is_closing() and not ended_by_peer(self._descriptor())

    def _descriptor(self) -> int:
        descriptor: int = self.transport.get_extra_info("socket").fileno()
        return descriptor

    def ask(self, attempt: Try, data: bytes) -> None:
        self.attempt, self.retry_after, self.heard, self.taken = attempt, 0.0, False, False
        self.parser = httptools.HttpResponseParser(self)
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.driver.record.counts["answered twice"] += 1
            return self.transport.abort()
        self.heard = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            try:
                self.retry_after = max(0.0, float(value))
            except ValueError:
                self.retry_after = 0.0

    def on_message_complete(self) -> None:
        attempt, self.attempt = self.attempt, None
        self.used = True
        if attempt is None:
            self.driver.record.counts["answered twice"] += 1
            return
        status, keep = self.parser.get_status_code(), self.parser.should_keep_alive()
        if self.fresh or not keep:
            self.transport.abort()
        else:
            self.driver.idle.append(self)
        end = SERVED if status == 200 else REFUSED if status in (429, 503) else FAILED
        self.driver.ended(attempt, end, self.retry_after)

    def eof_received(self) -> None:
        """The server has closed the connection in order: see whether it had the request by then."""
        unsent = self.transport.get_write_buffer_size()
        self.taken = not unsent and not unacknowledged_bytes(self._descriptor())

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self.driver.open -= 1
        attempt, self.attempt = self.attempt, None
        if attempt is not None and not attempt.over:
            # A server may close a connection between requests; what crosses that goes once more on a new one.
            if self.used and not self.heard and not self.taken and not attempt.resent:
                attempt.resent = True
                self.driver.connect(attempt)
            else:
                self.driver.ended(attempt, LOST, 0.0)
        self.driver.serve_waiting()

    def give_up(self) -> None:
        self.attempt = None
        self.transport.abort()


class Driver:
    """Plays a plan against a target, from a moment on the monotonic clock."""

    def __init__(
        self,
        target: Target,
        manners: Manners,
        plan: Iterator[Due],
        start: float,
        seed: int,
        name: str,
        record: Record,
        warm_s: float = 0.0,
        sessions: dict[str, deque[Due]] | None = None,
        closed: int = 0,
        until: float = 0.0,
    ) -> None:
        """sessions: what follows in each; closed: so many clients that wait for their answers, to `until`."""
        self.measured_from = start + warm_s
        self.sessions, self.closed, self.until = sessions or {}, closed, until
        self.target, self.manners, self.plan, self.start = target, manners, plan, start
        self.rng, self.name, self.record = random.Random(seed), name, record
        self.loop = asyncio.get_running_loop()
        self.idle: list[Link] = []
        self.waiting: deque[Try] = deque()  # for a connection, where there is a bound on them
        self.agenda: list[tuple[float, int, Job]] = []  # further tries
        self.limits: list[tuple[float, int, Try, Link | None]] = []  # when tries are given up
        self.open = self.count = self.live = 0
        self.finished: asyncio.Future[None] = self.loop.create_future()
        self.following = None if closed else next(plan, None)
        self.starved = ""
        self.stopped = False
        self.connecting: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        for _ in range(self.target.opened):
            self.open += 1
            try:
                _, link = await self.loop.create_connection(
                    lambda: Link(self), self.target.host, self.target.port
                )
            except OSError:
                self.open -= 1
                break
            self.idle.append(link)
        if self.closed:
            await asyncio.sleep(max(0.0, self.start - monotonic()))
            for _ in range(self.closed):
                self._next_of_closed()
        self._turn()
        await self.finished
        for link in self.idle:
            link.transport.abort()

    def _next_of_closed(self) -> None:
        due = next(self.plan, None)
        if due is not None and not self.stopped and (now := monotonic()) < self.until:
            self._start(due, now)

    def _start(self, due: Due, planned: float) -> None:
        """A request of the plan; a moment that has not come waits on the agenda."""
        self.count += 1
        self.live += 1
        job = Job(due, planned, self.count)
        if planned <= monotonic():
            self._begin(job, planned)
        else:
            heapq.heappush(self.agenda, (planned, job.number, job))

    def stop(self) -> None:
        """Nothing new; what is open counts as not answered."""
        self.stopped = True
        if not self.finished.done():
            self.record.counts["cut short"] += self.live
            self.finished.set_result(None)

    # ---- pacing

    def _turn(self) -> None:
        if self.finished.done():
            return
        now = monotonic()
        while self.following is not None and self.start + self.following.offset <= now:
            due, self.following = self.following, next(self.plan, None)
            self._start(due, self.start + due.offset)
        while self.agenda and self.agenda[0][0] <= now:
            planned, _, job = heapq.heappop(self.agenda)
            self._begin(job, planned)
        while self.limits and self.limits[0][0] <= now:
            _, _, attempt, link = heapq.heappop(self.limits)
            if not attempt.over:
                self._given_up(attempt, link)
        if self.following is None and not self.live and (not self.closed or now >= self.until):
            return self.finished.set_result(None)
        self._sleep(now)

    def _sleep(self, now: float) -> None:
        moments = [self.limits[0][0]] if self.limits else []
        if self.agenda:
            moments.append(self.agenda[0][0])
        if self.following is not None:
            moments.append(self.start + self.following.offset)
        wait = min(moments, default=now + 0.01) - now
        if wait > SPIN_S:
            self.loop.call_later(min(wait - SPIN_S, 0.05), self._turn)
        else:
            self.loop.call_soon(self._turn)

    # ---- tries

    def _begin(self, job: Job, planned: float) -> None:
        job.tries += 1
        patience = patience_s(job.due.kind, self.manners, self.rng)
        attempt = Try(job, planned, min(job.end, planned + patience))
        fresh = self.manners.fresh > 0 and self.rng.random() < self.manners.fresh
        while self.idle and not fresh:
            link = self.idle.pop()
            if link.stands():
                return self._send(attempt, link)
        bound = self.target.connections
        if bound and self.open >= bound:
            self.waiting.append(attempt)
            self._limit(attempt, None)
            return
        self.connect(attempt, fresh)

    def connect(self, attempt: Try, fresh: bool = False) -> None:
        """Send it on a new connection."""
        self.open += 1
        task = self.loop.create_task(self._connect(attempt, fresh))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def _connect(self, attempt: Try, fresh: bool) -> None:
        link = Link(self)
        link.fresh = fresh
        try:
            limit_s = max(0.001, attempt.give_up - monotonic())
            await connect_within(self.loop, link, self.target.host, self.target.port, limit_s)
        except (OSError, TimeoutError) as error:
            self.open -= 1
            if isinstance(error, OSError) and error.errno in STARVED:
                self.starved = self.starved or f"out of descriptors or ports: {error.strerror}"
            return self.ended(attempt, UNREACHABLE, 0.0)
        self.connected(attempt, link)

    def connected(self, attempt: Try, link: Link) -> None:
        """A connection for the attempt is up; the attempt is given up unsent if its time is over."""
        if monotonic() < attempt.give_up:
            self._send(attempt, link)
        else:
            link.transport.abort()
            self._given_up(attempt, None)

    def _limit(self, attempt: Try, link: Link | None) -> None:
        self.record.counts["limits"] += 1
        heapq.heappush(self.limits, (attempt.give_up, self.record.counts["limits"], attempt, link))

    def _send(self, attempt: Try, link: Link) -> None:
        due, now = attempt.job.due, monotonic()
        attempt.sent = now
        if attempt.job.intended >= self.measured_from:
            self.record.sent(now - attempt.planned)
        method = "GET" if due.kind.effect == "free" else "POST"
        left = max(1.0, (attempt.job.end - attempt.planned) * 1000.0)
        head = (
            f"{method} {self.target.path} HTTP/1.1\r\nHost: {self.target.host}:{self.target.port}\r\n"
            f"X-Correlation-Id: {self._identity(attempt.job)}\r\n"
            f"X-Service-Class: {due.kind.name}\r\nX-Time-Left: {left:.0f}m\r\n{self.target.head}"
        )
        if due.tenant:
            head += f"X-Account: {due.tenant}\r\n"
        if due.key:
            head += f"Cookie: sid={due.key}\r\n"
        if due.kind.effect == "keyed":
            head += f"Idempotency-Key: {self.name}{attempt.job.number:x}\r\n"
        if attempt.job.tries > 1:
            head += "X-Repeat: 1\r\n"
        if method == "POST":
            head += f"Content-Length: {due.size}\r\n"
        link.ask(attempt, head.encode() + b"\r\n" + (b"x" * due.size if method == "POST" else b""))
        self._limit(attempt, link)

    def _identity(self, job: Job) -> str:
        return f"{self.name}{job.number:x}-{job.tries}"

    def serve_waiting(self) -> None:
        """A connection has come free, or has ended."""
        while self.waiting and not self.finished.done():
            attempt = self.waiting[0]
            if attempt.over:
                self.waiting.popleft()
                continue
            while self.idle and not self.idle[-1].stands():
                self.idle.pop()
            if self.idle:
                self.waiting.popleft()
                self._send(attempt, self.idle.pop())
            elif self.open < self.target.connections:
                self.waiting.popleft()
                self.connect(attempt)
            else:
                return

    def _given_up(self, attempt: Try, link: Link | None) -> None:
        if link is None:  # it never found a connection: the generator's own bound, counted as its lateness
            if attempt.job.intended >= self.measured_from:
                self.record.sent(monotonic() - attempt.planned)
        elif link.attempt is attempt:
            link.give_up()
        self.ended(attempt, NO_ANSWER, 0.0)

    def _follow(self, due: Due, now: float) -> None:
        """What comes after a request's end: the next of its session, or of a closed loop's client."""
        waiting = self.sessions.get(due.session) if due.session else None
        if waiting and not self.stopped:
            following = waiting.popleft()
            self._start(following, now + following.offset)
        if self.closed:
            self.loop.call_soon(self._next_of_closed)

    def ended(self, attempt: Try, end: str, retry_after_s: float) -> None:
        """A try has ended; its request goes on or ends with it."""
        if attempt.over or self.finished.done():
            return
        attempt.over = True
        now, job = monotonic(), attempt.job
        kind = job.due.kind
        measured = job.intended >= self.measured_from
        if measured:
            spent = now - attempt.sent if attempt.sent else 0.0
            self.record.tried(kind.name, end, spent, self._identity(job))
        following = (
            None
            if self.stopped
            else next_try(kind, self.manners, end, job.tries, job.end - now, retry_after_s, self.rng)
        )
        if following is not None:
            heapq.heappush(self.agenda, (now + following.wait_s, job.number, job))
        else:
            self.live -= 1
            self._follow(job.due, now)
            second = int(job.intended - self.start)
            if not measured:
                self.record.counts["warm-up"] += 1
                return self.serve_waiting()
            self.record.ended(kind.name, job.due.tenant, end, second, now - job.intended)
        if self.waiting:
            self.serve_waiting()
