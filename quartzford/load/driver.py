"""Sends one worker's requests over HTTP/1.1 when they are due, and records their outcomes.

The loop is open: a request that is due is sent whether or not earlier requests were answered, on a new
connection if none is idle. Timers of the event loop have a resolution of one millisecond. The driver
therefore polls instead of sleeping during the last SPIN_BEFORE_DUE_S before the next entry is due. It reads
only the monotonic clock.
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

SPIN_BEFORE_DUE_S = 0.0015  # the driver polls for this time before the next entry is due
MAX_SLEEP_S = 0.05
COMPLETION_CHECK_INTERVAL_S = 0.01  # while nothing is scheduled
MIN_CONNECT_TIMEOUT_S = 0.001
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS)


@dataclass(frozen=True, slots=True)
class WorkerPlan:
    """The requests and settings of a worker. Times are seconds on the monotonic clock.

    requests: in the order of their offsets, which count from start. name: the prefix of attempt ids.
    warm_up_s: requests that are due in the first warm_up_s seconds are not measured. followers: by session,
    the requests after the first one. closed_clients: the number of clients in a closed loop; 0: open loop. In
    a closed loop, a client sends its next request when the previous one has ended, and stops at end.
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
    """Sends the requests of a worker's plan.

    in_flight: the number of requests that have started and not ended. sent: the number of requests that have
    started. starved: the reason why this machine could not open connections (descriptors or ports are
    exhausted); empty: this has not happened.
    """

    def __init__(self, plan: WorkerPlan, record: Record) -> None:
        """Needs a running event loop. record: receives the measurements."""
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
        self._waiting: deque[ClientAttempt] = deque()  # for a connection, if their number is limited
        self._connecting: set[asyncio.Task[None]] = set()
        self._finished: asyncio.Future[None] = self.loop.create_future()
        self._stopped = False
        self._measured_from = plan.start + plan.warm_up_s
        arrivals: Iterator[PlannedRequest] = iter(()) if plan.closed_clients else plan.requests
        self._schedule = Schedule(arrivals, plan.start)

    async def run(self) -> None:
        """Send the plan's requests, and return when the last one has ended."""
        await self._open_initial_connections()
        if self.plan.closed_clients:
            await asyncio.sleep(max(0.0, self.plan.start - monotonic()))
            for _ in range(self.plan.closed_clients):
                self._start_next_closed_loop_request()
        self._run_due_entries()
        await self._finished
        for connection in self.idle:
            connection.transport.abort()

    def stop(self) -> None:
        """Stop at once and start no further request. Requests in flight are counted as "cut short"."""
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

    def _run_due_entries(self) -> None:
        """Process all entries that are due, and schedule the next call."""
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
        if self._is_complete(now):
            return self._finished.set_result(None)
        self._schedule_next_run(now)

    def _is_complete(self, now: float) -> bool:
        if not self._schedule.plan_ended or self.in_flight:
            return False
        return not self.plan.closed_clients or now >= self.plan.end

    def _schedule_next_run(self, now: float) -> None:
        next_due_at = self._schedule.next_due_at()
        wait_s = COMPLETION_CHECK_INTERVAL_S if next_due_at is None else next_due_at - now
        if wait_s > SPIN_BEFORE_DUE_S:
            self.loop.call_later(min(wait_s - SPIN_BEFORE_DUE_S, MAX_SLEEP_S), self._run_due_entries)
        else:
            self.loop.call_soon(self._run_due_entries)

    # ---- requests

    def _start(self, planned: PlannedRequest, intended_at: float) -> None:
        """Start a request: send its first attempt now if it is due, otherwise schedule it."""
        self.sent += 1
        self.in_flight += 1
        request = ClientRequest(planned, intended_at, self.sent)
        if intended_at <= monotonic():
            self._begin_attempt(request, intended_at)
        else:
            self._schedule.add_attempt(request, intended_at)

    def _start_next_closed_loop_request(self) -> None:
        planned = next(self.plan.requests, None)
        if planned is None or self._stopped:
            return
        now = monotonic()
        if now < self.plan.end:
            self._start(planned, now)

    def _start_followers(self, planned: PlannedRequest, now: float) -> None:
        """Start the request that follows an ended one: the next of its session or closed-loop client."""
        followers = self.plan.followers.get(planned.session) if planned.session else None
        if followers and not self._stopped:
            follower = followers.popleft()
            self._start(follower, now + follower.offset)
        if self.plan.closed_clients:
            self.loop.call_soon(self._start_next_closed_loop_request)

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
        single_use = share > 0 and self.rng.random() < share
        while self.idle and not single_use:
            connection = self.idle.pop()
            if connection.is_usable():
                return self._send_attempt(attempt, connection)
        if self.target.connections and self.open_connections >= self.target.connections:
            self._waiting.append(attempt)
            self._schedule_timeout(attempt, None)
            return
        self.connect(attempt, single_use)

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
            # The attempt never had a connection: its wait counts as the lateness of the generator.
            if self._is_measured(attempt.request):
                self.record.attempt_sent(monotonic() - attempt.intended_at)
        elif connection.attempt is attempt:
            connection.abort_attempt()
        self.attempt_ended(attempt, NO_ANSWER, 0.0)

    def attempt_ended(self, attempt: ClientAttempt, outcome: Outcome, retry_after_s: float) -> None:
        """Record an attempt's outcome, and retry its request or end it."""
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
        self.serve_waiting_attempts()

    def _retry(self, request: ClientRequest, outcome: Outcome, now: float, retry_after_s: float) -> bool:
        """Schedule a retry if the client makes one. Return True if it does."""
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

    def connect(self, attempt: ClientAttempt, single_use: bool = False) -> None:
        """Send an attempt on a new connection. single_use: close that connection after the response."""
        self.open_connections += 1
        self._keep_task(self.loop.create_task(self._connect(attempt, single_use)))

    def _keep_task(self, task: asyncio.Task[None]) -> None:
        """Keep a reference to a connecting task until it is done; the event loop holds only a weak one."""
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, attempt: ClientAttempt, single_use: bool) -> None:
        connection = TargetConnection(self)
        connection.single_use = single_use
        try:
            limit_s = max(MIN_CONNECT_TIMEOUT_S, attempt.timeout_at - monotonic())
            await connect_within(self.loop, connection, self.target.host, self.target.port, limit_s)
        except (OSError, TimeoutError) as error:
            self.open_connections -= 1
            if isinstance(error, OSError) and error.errno in RESOURCE_ERRORS:
                self.starved = self.starved or f"out of descriptors or ports: {error.strerror}"
            return self.attempt_ended(attempt, UNREACHABLE, 0.0)
        self.connected(attempt, connection)

    def connected(self, attempt: ClientAttempt, connection: TargetConnection) -> None:
        """Send an attempt on its new connection, or time it out unsent if its timeout has passed."""
        if monotonic() < attempt.timeout_at:
            self._send_attempt(attempt, connection)
        else:
            connection.transport.abort()
            self._time_out(attempt, None)

    def connection_idle(self, connection: TargetConnection) -> None:
        """Add a connection that can carry another attempt to the idle ones."""
        self.idle.append(connection)

    def connection_closed(self) -> None:
        """Subtract a closed connection from the open ones."""
        self.open_connections -= 1

    def unexpected_response(self) -> None:
        """Count a response that was received while no attempt waited for one."""
        self.record.counts["answered twice"] += 1

    def serve_waiting_attempts(self) -> None:
        """Send waiting attempts on idle connections, or on new ones as far as the limit permits."""
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
