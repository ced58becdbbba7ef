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
    ClientBehaviour,
    RequestClass,
    attempt_timeout_s,
    plan_retry,
)
from quartzford.load.connecting import connect_within
from quartzford.load.connection_end import ended_by_peer, unacknowledged_bytes
from quartzford.load.record import Record

SPIN_S = 0.0015  # sleep no closer to a moment than this
STARVED = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS)


class PlannedRequest(NamedTuple):
    """One request of the plan. offset: seconds from the start, or after what went before in its session."""

    offset: float
    kind: RequestClass
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
    initial_connections: int = 0  # connections that stand before the first request is due


class ClientRequest:
    """A client's request over its tries."""

    __slots__ = ("due", "intended", "tries", "number", "end")

    def __init__(self, due: PlannedRequest, intended: float, number: int) -> None:
        self.due = due
        self.intended = intended
        self.tries = 0
        self.number = number
        self.end = intended + due.left_s


class ClientAttempt:
    """One try: on a connection, or waiting for one."""

    __slots__ = ("request", "intended", "sent", "timeout_at", "over", "resent")

    def __init__(self, request: ClientRequest, intended: float, timeout_at: float) -> None:
        self.request = request
        self.intended = intended  # its own intended send
        self.sent = 0.0
        self.timeout_at = timeout_at
        self.over = False
        self.resent = False  # an idle connection's end crossed it, and it went out once more


class TargetConnection(asyncio.Protocol):
    """A client connection: one try at a time."""

    transport: asyncio.Transport

    def __init__(self, driver: Driver) -> None:
        self.driver = driver
        self.attempt: ClientAttempt | None = None
        self.parser: Any = None
        self.retry_after = 0.0
        self.closed_clients = False
        self.fresh = False
        self.used = self.heard = False  # has carried a request before; has brought a part of this answer
        self.taken = False  # the server had all of this request when it closed the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def is_usable(self) -> bool:
        """Whether it can carry a request: neither side has ended it."""
        return (
            not self.closed_clients
            and not self.transport.is_closing()
            and not ended_by_peer(self._descriptor())
        )

    def _descriptor(self) -> int:
        descriptor: int = self.transport.get_extra_info("socket").fileno()
        return descriptor

    def ask(self, attempt: ClientAttempt, data: bytes) -> None:
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
        self.closed_clients = True
        self.driver.open_connections -= 1
        attempt, self.attempt = self.attempt, None
        if attempt is not None and not attempt.over:
            # A server may close a connection between requests; what crosses that goes once more on a new one.
            if self.used and not self.heard and not self.taken and not attempt.resent:
                attempt.resent = True
                self.driver.connect(attempt)
            else:
                self.driver.ended(attempt, LOST, 0.0)
        self.driver.serve_waiting()

    def timeout_at(self) -> None:
        self.attempt = None
        self.transport.abort()


class Driver:
    """Plays a plan against a target, from a moment on the monotonic clock."""

    def __init__(
        self,
        target: Target,
        behaviour: ClientBehaviour,
        plan: Iterator[PlannedRequest],
        start: float,
        seed: int,
        name: str,
        record: Record,
        warm_up_s: float = 0.0,
        sessions: dict[str, deque[PlannedRequest]] | None = None,
        closed_clients: int = 0,
        until: float = 0.0,
    ) -> None:
        """sessions: what follows in each; closed: so many clients that wait for their answers, to `until`."""
        self.measured_from = start + warm_up_s
        self.sessions, self.closed_clients, self.until = sessions or {}, closed_clients, until
        self.target, self.behaviour, self.plan, self.start = target, behaviour, plan, start
        self.rng, self.name, self.record = random.Random(seed), name, record
        self.loop = asyncio.get_running_loop()
        self.idle: list[TargetConnection] = []
        self.waiting: deque[ClientAttempt] = deque()  # for a connection, where there is a bound on them
        self.agenda: list[tuple[float, int, ClientRequest]] = []  # further tries
        self.limits: list[
            tuple[float, int, ClientAttempt, TargetConnection | None]
        ] = []  # when tries are given up
        self.open_connections = self.count = self.live = 0
        self.finished: asyncio.Future[None] = self.loop.create_future()
        self.following = None if closed_clients else next(plan, None)
        self.starved = ""
        self.stopped = False
        self.connecting: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        for _ in range(self.target.initial_connections):
            self.open_connections += 1
            try:
                _, link = await self.loop.create_connection(
                    lambda: TargetConnection(self), self.target.host, self.target.port
                )
            except OSError:
                self.open_connections -= 1
                break
            self.idle.append(link)
        if self.closed_clients:
            await asyncio.sleep(max(0.0, self.start - monotonic()))
            for _ in range(self.closed_clients):
                self._next_of_closed()
        self._turn()
        await self.finished
        for link in self.idle:
            link.transport.abort()

    def _next_of_closed(self) -> None:
        due = next(self.plan, None)
        if due is not None and not self.stopped and (now := monotonic()) < self.until:
            self._start(due, now)

    def _start(self, due: PlannedRequest, intended: float) -> None:
        """A request of the plan; a moment that has not come waits on the agenda."""
        self.count += 1
        self.live += 1
        request = ClientRequest(due, intended, self.count)
        if intended <= monotonic():
            self._begin_attempt(request, intended)
        else:
            heapq.heappush(self.agenda, (intended, request.number, request))

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
            intended, _, request = heapq.heappop(self.agenda)
            self._begin_attempt(request, intended)
        while self.limits and self.limits[0][0] <= now:
            _, _, attempt, link = heapq.heappop(self.limits)
            if not attempt.over:
                self._given_up(attempt, link)
        if self.following is None and not self.live and (not self.closed_clients or now >= self.until):
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

    def _begin_attempt(self, request: ClientRequest, intended: float) -> None:
        request.tries += 1
        patience = attempt_timeout_s(request.due.kind, self.behaviour, self.rng)
        attempt = ClientAttempt(request, intended, min(request.end, intended + patience))
        fresh = self.behaviour.fresh > 0 and self.rng.random() < self.behaviour.fresh
        while self.idle and not fresh:
            link = self.idle.pop()
            if link.is_usable():
                return self._send_attempt(attempt, link)
        bound = self.target.connections
        if bound and self.open_connections >= bound:
            self.waiting.append(attempt)
            self._limit(attempt, None)
            return
        self.connect(attempt, fresh)

    def connect(self, attempt: ClientAttempt, fresh: bool = False) -> None:
        """Send it on a new connection."""
        self.open_connections += 1
        task = self.loop.create_task(self._connect(attempt, fresh))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def _connect(self, attempt: ClientAttempt, fresh: bool) -> None:
        link = TargetConnection(self)
        link.fresh = fresh
        try:
            limit_s = max(0.001, attempt.timeout_at - monotonic())
            await connect_within(self.loop, link, self.target.host, self.target.port, limit_s)
        except (OSError, TimeoutError) as error:
            self.open_connections -= 1
            if isinstance(error, OSError) and error.errno in STARVED:
                self.starved = self.starved or f"out of descriptors or ports: {error.strerror}"
            return self.ended(attempt, UNREACHABLE, 0.0)
        self.connected(attempt, link)

    def connected(self, attempt: ClientAttempt, link: TargetConnection) -> None:
        """A connection for the attempt is up; the attempt is given up unsent if its time is over."""
        if monotonic() < attempt.timeout_at:
            self._send_attempt(attempt, link)
        else:
            link.transport.abort()
            self._given_up(attempt, None)

    def _limit(self, attempt: ClientAttempt, link: TargetConnection | None) -> None:
        self.record.counts["limits"] += 1
        heapq.heappush(self.limits, (attempt.timeout_at, self.record.counts["limits"], attempt, link))

    def _send_attempt(self, attempt: ClientAttempt, link: TargetConnection) -> None:
        due, now = attempt.request.due, monotonic()
        attempt.sent = now
        if attempt.request.intended >= self.measured_from:
            self.record.sent(now - attempt.intended)
        method = "GET" if due.kind.effect == "free" else "POST"
        left = max(1.0, (attempt.request.end - attempt.intended) * 1000.0)
        head = (
            f"{method} {self.target.path} HTTP/1.1\r\nHost: {self.target.host}:{self.target.port}\r\n"
            f"X-Correlation-Id: {self.attempt_id(attempt.request)}\r\n"
            f"X-Service-Class: {due.kind.name}\r\nX-Time-Left: {left:.0f}m\r\n{self.target.head}"
        )
        if due.tenant:
            head += f"X-Account: {due.tenant}\r\n"
        if due.key:
            head += f"Cookie: sid={due.key}\r\n"
        if due.kind.effect == "keyed":
            head += f"Idempotency-Key: {self.name}{attempt.request.number:x}\r\n"
        if attempt.request.tries > 1:
            head += "X-Repeat: 1\r\n"
        if method == "POST":
            head += f"Content-Length: {due.size}\r\n"
        link.ask(attempt, head.encode() + b"\r\n" + (b"x" * due.size if method == "POST" else b""))
        self._limit(attempt, link)

    def attempt_id(self, request: ClientRequest) -> str:
        return f"{self.name}{request.number:x}-{request.tries}"

    def serve_waiting(self) -> None:
        """A connection has come free, or has ended."""
        while self.waiting and not self.finished.done():
            attempt = self.waiting[0]
            if attempt.over:
                self.waiting.popleft()
                continue
            while self.idle and not self.idle[-1].is_usable():
                self.idle.pop()
            if self.idle:
                self.waiting.popleft()
                self._send_attempt(attempt, self.idle.pop())
            elif self.open_connections < self.target.connections:
                self.waiting.popleft()
                self.connect(attempt)
            else:
                return

    def _given_up(self, attempt: ClientAttempt, link: TargetConnection | None) -> None:
        if link is None:  # it never found a connection: the generator's own bound, counted as its lateness
            if attempt.request.intended >= self.measured_from:
                self.record.sent(monotonic() - attempt.intended)
        elif link.attempt is attempt:
            link.timeout_at()
        self.ended(attempt, NO_ANSWER, 0.0)

    def _follow(self, due: PlannedRequest, now: float) -> None:
        """What comes after a request's end: the next of its session, or of a closed loop's client."""
        waiting = self.sessions.get(due.session) if due.session else None
        if waiting and not self.stopped:
            following = waiting.popleft()
            self._start(following, now + following.offset)
        if self.closed_clients:
            self.loop.call_soon(self._next_of_closed)

    def ended(self, attempt: ClientAttempt, end: str, retry_after_s: float) -> None:
        """A try has ended; its request goes on or ends with it."""
        if attempt.over or self.finished.done():
            return
        attempt.over = True
        now, request = monotonic(), attempt.request
        kind = request.due.kind
        measured = request.intended >= self.measured_from
        if measured:
            spent = now - attempt.sent if attempt.sent else 0.0
            self.record.tried(kind.name, end, spent, self.attempt_id(request))
        following = (
            None
            if self.stopped
            else plan_retry(
                kind, self.behaviour, end, request.tries, request.end - now, retry_after_s, self.rng
            )
        )
        if following is not None:
            heapq.heappush(self.agenda, (now + following.wait_s, request.number, request))
        else:
            self.live -= 1
            self._follow(request.due, now)
            second = int(request.intended - self.start)
            if not measured:
                self.record.counts["warm-up"] += 1
                return self.serve_waiting()
            self.record.ended(kind.name, request.due.tenant, end, second, now - request.intended)
        if self.waiting:
            self.serve_waiting()
