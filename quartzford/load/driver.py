"""Sends one worker's requests when they are due, over HTTP/1.1, and records how each of them ended.

The loop is open: what is due is sent whether or not earlier requests were answered, on a connection of its
own if none is idle. Timers of the event loop are exact to a millisecond only, so it is kept turning in place
of sleeping during the last of them before something is due. Only the monotonic clock is read.
"""

from __future__ import annotations

import asyncio
import errno
import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from time import monotonic

from quartzford.load.attempt import ClientAttempt, ClientRequest, attempt_id, request_message
from quartzford.load.clients import (
    NO_ANSWER,
    UNREACHABLE,
    AttemptResult,
    ClientBehaviour,
    Outcome,
    attempt_timeout_s,
    plan_retry,
)
from quartzford.load.connecting import connect_within
from quartzford.load.connection import TargetConnection
from quartzford.load.options import Target
from quartzford.load.plan import PlannedRequest
from quartzford.load.record import Record
from quartzford.load.schedule import Schedule, Timeout

SPIN_S = 0.0015  # before something is due, the event loop is kept turning for so long
MAX_SLEEP_S = 0.05
IDLE_CHECK_S = 0.01  # how often to see whether all is over, where nothing is scheduled
MIN_CONNECT_S = 0.001
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS)


@dataclass(frozen=True, slots=True)
class WorkerPlan:
    """What a worker plays. Times are on the monotonic clock, in seconds.

    requests: in the order of their offsets, which count from start. name: what the ids of attempts begin
    with. warm_up_s: what is due before it has passed is not measured. followers: by session, the requests
    after its first. closed_clients: so many clients that send a request each when the one before is over,
    until end, in place of arrivals.
    """

    target: Target
    behaviour: ClientBehaviour
    requests: Iterator[PlannedRequest]
    start: float
    seed: int
    name: str
    warm_up_s: float = 0.0
    followers: dict[str, deque[PlannedRequest]] = field(default_factory=dict)
    closed_clients: int = 0
    end: float = 0.0


class Driver:
    """Plays a worker's plan.

    in_flight: requests that have started and not ended. sent: requests that have started. starved: why
    connections could not be opened where this machine was the reason; empty: it was not.
    """

    def __init__(self, plan: WorkerPlan, record: Record) -> None:
        """Needs a running event loop. record: takes the measurements."""
        self.plan = plan
        self.target = plan.target
        self.behaviour = plan.behaviour
        self.record = record
        self.rng = random.Random(plan.seed)
        self.loop = asyncio.get_running_loop()
        self.idle: list[TargetConnection] = []
        self.open_connections = 0
        self.in_flight = 0
        self.sent = 0
        self.starved = ""
        self._waiting: deque[ClientAttempt] = deque()  # for a connection, where their number is limited
        self._connecting: set[asyncio.Task[None]] = set()
        self._finished: asyncio.Future[None] = self.loop.create_future()
        self._stopped = False
        self._measured_from = plan.start + plan.warm_up_s
        arrivals: Iterator[PlannedRequest] = iter(()) if plan.closed_clients else plan.requests
        self._schedule = Schedule(arrivals, plan.start)

    async def run(self) -> None:
        """Play the plan until its last request has ended."""
        await self._open_initial_connections()
        if self.plan.closed_clients:
            await asyncio.sleep(max(0.0, self.plan.start - monotonic()))
            for _ in range(self.plan.closed_clients):
                self._start_next_of_closed_loop()
        self._turn()
        await self._finished
        for connection in self.idle:
            connection.transport.abort()

    def stop(self) -> None:
        """Start nothing more, and end at once. Requests in flight are counted as cut short."""
        self._stopped = True
        if not self._finished.done():
            self.record.counts["cut short"] += self.in_flight
            self._finished.set_result(None)

    async def _open_initial_connections(self) -> None:
        for _ in range(self.target.initial_connections):
            self.open_connections += 1
            try:
                _, connection = await self.loop.create_connection(
                    lambda: TargetConnection(self), self.target.host, self.target.port
                )
            except OSError:
                self.open_connections -= 1
                break
            self.idle.append(connection)

    # ---- pacing

    def _turn(self) -> None:
        """Do all that is due, and come back when more is."""
        if self._finished.done():
            return
        now = monotonic()
        for planned, intended_at in self._schedule.take_planned(now):
            self._start(planned, intended_at)
        for intended_at, _, request in self._schedule.take_attempts(now):
            self._begin_attempt(request, intended_at)
        for _, _, attempt, connection in self._schedule.take_timeouts(now):
            if not attempt.ended:
                self._time_out(attempt, connection)
        if self._is_over(now):
            return self._finished.set_result(None)
        self._sleep(now)

    def _is_over(self, now: float) -> bool:
        if not self._schedule.plan_ended or self.in_flight:
            return False
        return not self.plan.closed_clients or now >= self.plan.end

    def _sleep(self, now: float) -> None:
        next_at = self._schedule.next_at()
        wait_s = IDLE_CHECK_S if next_at is None else next_at - now
        if wait_s > SPIN_S:
            self.loop.call_later(min(wait_s - SPIN_S, MAX_SLEEP_S), self._turn)
        else:
            self.loop.call_soon(self._turn)

    # ---- requests

    def _start(self, planned: PlannedRequest, intended_at: float) -> None:
        """Begin a request now, or schedule it if its time has not come."""
        self.sent += 1
        self.in_flight += 1
        request = ClientRequest(planned, intended_at, self.sent)
        if intended_at <= monotonic():
            self._begin_attempt(request, intended_at)
        else:
            self._schedule.add_attempt(request, intended_at)

    def _start_next_of_closed_loop(self) -> None:
        planned = next(self.plan.requests, None)
        if planned is None or self._stopped:
            return
        now = monotonic()
        if now < self.plan.end:
            self._start(planned, now)

    def _start_followers(self, planned: PlannedRequest, now: float) -> None:
        """Start what comes after a request's end: the next of its session, or of a closed loop's client."""
        followers = self.plan.followers.get(planned.session) if planned.session else None
        if followers and not self._stopped:
            follower = followers.popleft()
            self._start(follower, now + follower.offset)
        if self.plan.closed_clients:
            self.loop.call_soon(self._start_next_of_closed_loop)

    def _is_measured(self, request: ClientRequest) -> bool:
        return request.intended_at >= self._measured_from

    # ---- attempts

    def attempt_id(self, request: ClientRequest) -> str:
        """Return the id of a request's latest attempt."""
        return attempt_id(self.plan.name, request)

    def _new_attempt(self, request: ClientRequest, intended_at: float) -> ClientAttempt:
        request.attempts += 1
        timeout_s = attempt_timeout_s(request.planned.request_class, self.behaviour, self.rng)
        return ClientAttempt(request, intended_at, min(request.deadline, intended_at + timeout_s))

    def _begin_attempt(self, request: ClientRequest, intended_at: float) -> None:
        attempt = self._new_attempt(request, intended_at)
        share = self.behaviour.new_connection_share
        fresh = share > 0 and self.rng.random() < share
        while self.idle and not fresh:
            connection = self.idle.pop()
            if connection.is_usable():
                return self._send_attempt(attempt, connection)
        if self.target.connections and self.open_connections >= self.target.connections:
            self._waiting.append(attempt)
            self._schedule_timeout(attempt, None)
            return
        self.connect(attempt, fresh)

    def _send_attempt(self, attempt: ClientAttempt, connection: TargetConnection) -> None:
        attempt.sent_at = monotonic()
        if self._is_measured(attempt.request):
            self.record.attempt_sent(attempt.sent_at - attempt.intended_at)
        connection.send(attempt, request_message(self.target, self.plan.name, attempt))
        self._schedule_timeout(attempt, connection)

    def _schedule_timeout(self, attempt: ClientAttempt, connection: TargetConnection | None) -> None:
        self.record.counts["limits"] += 1
        number = self.record.counts["limits"]
        self._schedule.add_timeout(Timeout(attempt.timeout_at, number, attempt, connection))

    def _time_out(self, attempt: ClientAttempt, connection: TargetConnection | None) -> None:
        if connection is None:
            # It never had a connection: the generator's own limit, which counts as its lateness.
            if self._is_measured(attempt.request):
                self.record.attempt_sent(monotonic() - attempt.intended_at)
        elif connection.attempt is attempt:
            connection.give_up()
        self.attempt_ended(attempt, NO_ANSWER, 0.0)

    def attempt_ended(self, attempt: ClientAttempt, outcome: Outcome, retry_after_s: float) -> None:
        """An attempt has its outcome: its request is retried, or ends with it."""
        if attempt.ended or self._finished.done():
            return
        attempt.ended = True
        now, request = monotonic(), attempt.request
        if self._is_measured(request):
            service_s = now - attempt.sent_at if attempt.sent_at else 0.0
            name = request.planned.request_class.name
            self.record.attempt_ended(name, outcome, service_s, self.attempt_id(request))
        if not self._retry(request, outcome, now, retry_after_s):
            self.in_flight -= 1
            self._start_followers(request.planned, now)
            self._record_end(request, outcome, now)
        self.serve_waiting()

    def _retry(self, request: ClientRequest, outcome: Outcome, now: float, retry_after_s: float) -> bool:
        """Schedule a retry, if the client makes one."""
        if self._stopped:
            return False
        result = AttemptResult(outcome, request.attempts, request.deadline - now, retry_after_s)
        retry = plan_retry(request.planned.request_class, self.behaviour, result, self.rng)
        if retry is None:
            return False
        self._schedule.add_attempt(request, now + retry.wait_s)
        return True

    def _record_end(self, request: ClientRequest, outcome: Outcome, now: float) -> None:
        if not self._is_measured(request):
            self.record.counts["warm-up"] += 1
            return
        planned = request.planned
        second = int(request.intended_at - self.plan.start)
        latency_s = now - request.intended_at
        self.record.request_ended(planned.request_class.name, planned.tenant, outcome, second, latency_s)

    # ---- connections

    def connect(self, attempt: ClientAttempt, fresh: bool = False) -> None:
        """Send an attempt on a new connection. fresh: which is closed after it."""
        self.open_connections += 1
        self._keep_task(self.loop.create_task(self._connect(attempt, fresh)))

    def _keep_task(self, task: asyncio.Task[None]) -> None:
        """Hold a task that opens a connection until it is done: the event loop itself does not."""
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, attempt: ClientAttempt, fresh: bool) -> None:
        connection = TargetConnection(self)
        connection.fresh = fresh
        try:
            limit_s = max(MIN_CONNECT_S, attempt.timeout_at - monotonic())
            await connect_within(self.loop, connection, self.target.host, self.target.port, limit_s)
        except (OSError, TimeoutError) as error:
            self.open_connections -= 1
            if isinstance(error, OSError) and error.errno in RESOURCE_ERRORS:
                self.starved = self.starved or f"out of descriptors or ports: {error.strerror}"
            return self.attempt_ended(attempt, UNREACHABLE, 0.0)
        self.connected(attempt, connection)

    def connected(self, attempt: ClientAttempt, connection: TargetConnection) -> None:
        """Send an attempt on its new connection; if its time is over, it ends unsent."""
        if monotonic() < attempt.timeout_at:
            self._send_attempt(attempt, connection)
        else:
            connection.transport.abort()
            self._time_out(attempt, None)

    def connection_idle(self, connection: TargetConnection) -> None:
        """A connection can carry another attempt."""
        self.idle.append(connection)

    def connection_closed(self) -> None:
        """A connection has ended."""
        self.open_connections -= 1

    def unexpected_response(self) -> None:
        """A response has come that no attempt waits for."""
        self.record.counts["answered twice"] += 1

    def serve_waiting(self) -> None:
        """Give attempts that wait for a connection those that are free, or may be opened."""
        while self._waiting and not self._finished.done():
            attempt = self._waiting[0]
            if attempt.ended:
                self._waiting.popleft()
                continue
            while self.idle and not self.idle[-1].is_usable():
                self.idle.pop()
            if self.idle:
                self._waiting.popleft()
                self._send_attempt(attempt, self.idle.pop())
            elif self.open_connections < self.target.connections:
                self._waiting.popleft()
                self.connect(attempt)
            else:
                return
