"""Clients of a complete fleet, with balancing of their own: python -m rig.clients, a plan on standard input.

A plan is one line of JSON: balancers as [host, port, weight], rate, seconds, seed. "ready" is printed; after
a second line, {"begin": T}, requests are sent as a Poisson stream from T on, open loop, with latency counted
from the intended send. Clients choose among the balancers that are in rotation: rig.balancer_pool. At the
end one line of JSON is printed: every attempt, outcomes, latency, and when each balancer was put into
rotation.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from collections import Counter
from collections.abc import Iterator
from time import monotonic
from typing import Any, NamedTuple

import uvloop

from quartzford.load.attempt import ClientAttempt, ClientRequest
from quartzford.load.clients import DEFAULT_CLASSES, SERVED, UNREACHABLE, ClientBehaviour, Outcome
from quartzford.load.connecting import connect_within
from quartzford.load.connection import TargetConnection
from quartzford.load.driver import Driver, WorkerPlan
from quartzford.load.options import Target
from quartzford.load.plan import PlannedRequest
from quartzford.load.record import Record, histogram_summary
from rig.balancer_pool import NO_BALANCER, BalancerPool

MAX_LINE_BYTES = 2**26
REQUEST_BYTES = 40
DRAIN_S = 5.0  # for the requests that are open at the end of the plan
MIN_CONNECT_S = 0.001


class IdleConnections:
    """Idle connections, by balancer. Stands in for the list of the driver, which has one target."""

    def __init__(self, balancers: int) -> None:
        self.by_balancer: list[list[BalancerConnection]] = [[] for _ in range(balancers)]

    def append(self, connection: BalancerConnection) -> None:
        """Add a connection that has become idle."""
        self.by_balancer[connection.balancer].append(connection)

    def __iter__(self) -> Iterator[BalancerConnection]:
        return (connection for connections in self.by_balancer for connection in connections)

    def __bool__(self) -> bool:
        # So that the base class, which knows one target, never picks one of these for an attempt.
        return False


class BalancerConnection(TargetConnection):
    """A connection to one balancer, by its number."""

    driver: FleetDriver
    balancer = NO_BALANCER
    made_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record when the connection was made, on the monotonic clock."""
        self.made_at = monotonic()
        super().connection_made(transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Record the attempt that was lost with the connection."""
        if self.attempt is not None and not self.attempt.ended:
            self.driver.attempt_lost(self.attempt, self)
        super().connection_lost(error)


class UnservedRecord(Record):
    """A record that also counts requests that were not served, by the second and their outcome."""

    def __init__(self) -> None:
        super().__init__(DEFAULT_CLASSES)
        self.unserved: dict[int, Counter[str]] = {}

    def request_ended(self, name: str, tenant: str, outcome: Outcome, second: int, latency_s: float) -> None:
        """Record how a request has ended."""
        super().request_ended(name, tenant, outcome, second, latency_s)
        if outcome is not SERVED:
            self.unserved.setdefault(second, Counter())[outcome] += 1


class LostAttempt(NamedTuple):
    """Where an attempt was lost, and from when to when its connection lasted, on the monotonic clock."""

    balancer: int
    made_at: float
    ended_at: float


class FleetDriver(Driver):
    """A driver whose requests go to the balancers that a pool picks."""

    def __init__(
        self,
        pool: BalancerPool,
        behaviour: ClientBehaviour,
        plan: Iterator[PlannedRequest],
        start: float,
        seed: int,
    ) -> None:
        self.pool = pool
        self.unserved_record = UnservedRecord()
        self.unserved_record.attempt_log = []
        worker_plan = WorkerPlan(Target("fleet", 80), behaviour, plan, start, seed, "c")
        super().__init__(worker_plan, self.unserved_record)
        self.idle_connections = IdleConnections(len(pool.targets))
        self.idle = self.idle_connections  # type: ignore[assignment]
        self.lost_attempts: dict[str, LostAttempt] = {}

    def _begin_attempt(self, request: ClientRequest, intended_at: float) -> None:
        attempt = self._new_attempt(request, intended_at)
        balancer = self.pool.pick()
        connections = [] if balancer == NO_BALANCER else self.idle_connections.by_balancer[balancer]
        while connections:
            connection = connections.pop()
            if connection.is_usable():
                return self._send_attempt(attempt, connection)
        self._start_connecting(attempt, balancer)

    def attempt_lost(self, attempt: ClientAttempt, connection: BalancerConnection) -> None:
        """Record where an attempt was lost, and from when to when its connection lasted."""
        identity = self.attempt_id(attempt.request)
        self.lost_attempts[identity] = LostAttempt(connection.balancer, connection.made_at, monotonic())

    def connect(self, attempt: ClientAttempt, single_use: bool = False) -> None:
        """Open a connection for an attempt, to a balancer that the pool picks."""
        self._start_connecting(attempt, self.pool.pick())

    def _start_connecting(self, attempt: ClientAttempt, balancer: int) -> None:
        self.open_connections += 1
        self._keep_task(self.loop.create_task(self._connect_to(attempt, balancer)))

    async def _connect_to(self, attempt: ClientAttempt, balancer: int) -> None:
        connection = BalancerConnection(self)
        connection.balancer = balancer
        try:
            if balancer == NO_BALANCER:
                raise ConnectionRefusedError
            target = self.pool.targets[balancer]
            limit_s = max(MIN_CONNECT_S, attempt.timeout_at - monotonic())
            await connect_within(self.loop, connection, target.host, target.port, limit_s)
        except (OSError, TimeoutError):
            self.open_connections -= 1
            if balancer != NO_BALANCER:
                self.pool.connection_failed(balancer)
            return self.attempt_ended(attempt, UNREACHABLE, 0.0)
        self.pool.connection_accepted(balancer)
        self.connected(attempt, connection)


def poisson_plan(rate: float, seconds: float, seed: int) -> Iterator[PlannedRequest]:
    """Yield a Poisson stream of the default classes, at so many requests per second."""
    rng, at = random.Random(seed), 0.0
    weights = [kind.share for kind in DEFAULT_CLASSES]
    while rate > 0 and (at := at + rng.expovariate(rate)) < seconds:
        kind = rng.choices(DEFAULT_CLASSES, weights)[0]
        yield PlannedRequest(at, kind, "", "", REQUEST_BYTES, kind.deadline_s)


def result_of(driver: FleetDriver, begin: float) -> dict[str, Any]:
    """Return what is printed at the end. begin: the release, on the monotonic clock in seconds."""
    pool, record = driver.pool, driver.record
    added = [pool.first_added.get(number) for number in range(len(pool.targets))]
    return {
        "taken_in_s": [None if at is None else round(at - begin, 3) for at in added],
        "book": record.attempt_log,
        "twice": record.counts["answered twice"],
        "lost": [[identity, *lost] for identity, lost in driver.lost_attempts.items()],
        "ends": dict(record.outcomes),
        "latency_ms": histogram_summary(record.complete(record.latency)),
        "late_ms": histogram_summary(record.lateness),
        "goodput": record.goodput(),
        "seconds": record.seconds(),
        "steps": record.latency_steps,
        "unserved": driver.unserved_record.unserved,
    }


async def play(driver: FleetDriver, begin: float, seconds: float) -> None:
    """Play the driver's plan for so many seconds from `begin` on, beside the pool's health checks."""
    pool = driver.pool
    watches = [asyncio.ensure_future(pool.watch(number)) for number in range(len(pool.targets))]
    playing = asyncio.ensure_future(driver.run())
    await asyncio.sleep(max(0.0, begin + seconds - monotonic()))
    await asyncio.wait((playing,), timeout=DRAIN_S)
    driver.stop()
    await playing
    pool.stopped = True
    for watch in watches:
        watch.cancel()


async def run() -> None:
    """Play the plan that is read from standard input, and print the result as a line of JSON."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the process that started this one ends it
    settings = json.loads(await reader.readline())
    seconds, seed = settings["seconds"], settings["seed"]
    pool = BalancerPool(settings["balancers"], seed)
    print("ready", flush=True)
    begin = json.loads(await reader.readline())["begin"]
    behaviour = ClientBehaviour(**settings.get("manners", {}))
    plan = poisson_plan(settings["rate"], seconds, seed)
    driver = FleetDriver(pool, behaviour, plan, begin, seed)
    await play(driver, begin, seconds)
    print(json.dumps(result_of(driver, begin)), flush=True)


def main() -> int:
    """Run until the plan is played; return the exit status."""
    uvloop.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
