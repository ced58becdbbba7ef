"""The fleet and the callers of bench.extproc, each in a process of its own."""

from __future__ import annotations

import asyncio
import random
import resource
import signal
import time
from multiprocessing.connection import Connection
from typing import Any, NamedTuple

import uvloop

from bench.common import quantile
from standins.caller import STAGES, CallerPolicy, CallerProxy, Exchange, request_rows
from standins.fleet import Fleet
from standins.fleet import Plan as FleetPlan
from standins.site import MIX, START_SHARE, WARM_S

WARM_UP_S = 3.0  # arrivals that are not measured: the module learns its fleet
CONNECTIONS = 4  # of each caller, as a proxy has one for each of its threads
SPARE = 1.7  # capacity of the healthy fleet over the rate
QUEUE_S, LEAST_QUEUE = 0.4, 8  # an upstream's queue, in seconds of its capacity and in requests
ROUTE_TIMEOUT_S, MESSAGE_TIMEOUT_S = 2.0, 2.5
DEADLINE_S, CLIENT_TIMEOUT_S = 2.0, 2.2
YIELD_EVERY = 64  # requests, where a caller is behind its arrivals
KEPT_ERRORS = 3
FLEET, CALLER, HOG = "fleet", "caller", "hog"  # kinds of processes


class Plan(NamedTuple):
    """One run."""

    upstreams: int
    rate: float  # requests a second
    seconds: float
    workers: int
    callers: int
    opener: bool  # a stream opens each request beforehand
    drops: float  # share of the streams
    seed: int
    honours: bool = False  # the callers keep to the end of a decision's validity; Envoy can't
    hogs: int = 0  # processes that do nothing but take the machine's time

    def row(self) -> dict[str, Any]:
        """The plan as a result has it."""
        fields = self._asdict()
        return {"nodos": fields.pop("upstreams"), **fields}


class CallerResult(NamedTuple):
    """What a caller's process measured."""

    cores: float  # that it used
    exchanges: list[Exchange]
    late_p99_s: float  # of sends after their intended time
    errors: list[str]  # the first few of exchanges that ended in an exception


# ---- the fleet


async def run_fleet(plan: Plan, pipe: Connection) -> None:
    """Send the list service's port and list; begin faults, then stop, on a message each; send the account."""
    capacity = plan.rate * SPARE / plan.upstreams
    fleet = Fleet(
        FleetPlan(
            plan.upstreams,
            capacity,
            queue=max(LEAST_QUEUE, int(capacity * QUEUE_S)),
            start_share=START_SHARE,
            warm_s=WARM_S,
            seed=plan.seed,
            faults="random",
        )
    )
    await fleet.start()
    pipe.send((fleet.registry.port, fleet.registry.complete()))
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, pipe.recv)
    fleet.begin()
    await loop.run_in_executor(None, pipe.recv)
    fleet.stop()
    journal = fleet.journal
    duplicates = {
        "twice": {name: len(journal.duplicate_executions(name)) for name, _ in MIX},
        "effects_twice": len(journal.duplicate_effects("reserva", journal.window_s)),
    }
    pipe.send(fleet.account() | duplicates)


# ---- callers


class Caller:
    """One calling proxy and its open loop of requests. start: of the loop (monotonic s)."""

    def __init__(self, plan: Plan, number: int, target: str, start: float) -> None:
        self.plan, self.number, self.start = plan, number, start
        self.rng = random.Random(plan.seed * 1000 + number)
        policy = CallerPolicy(
            opener=plan.opener,
            route_timeout_s=ROUTE_TIMEOUT_S,
            message_timeout_s=MESSAGE_TIMEOUT_S,
            honours=plan.honours,
        )
        self.proxies = [CallerProxy(target, policy, self.rng) for _ in range(CONNECTIONS)]
        self.tasks: list[asyncio.Task[Exchange]] = []
        self.lateness: list[float] = []  # seconds

    async def run(self) -> CallerResult:
        """Send all requests and wait for their ends."""
        await self._send_all()
        done = await asyncio.gather(*self.tasks, return_exceptions=True)
        for proxy in self.proxies:
            await proxy.close()
        errors = [repr(error) for error in done if isinstance(error, BaseException)]
        exchanges = [exchange for exchange in done if isinstance(exchange, Exchange)]
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cores = (usage.ru_utime + usage.ru_stime) / (time.monotonic() - self.start)
        return CallerResult(cores, exchanges, quantile(self.lateness, 0.99), errors[:KEPT_ERRORS])

    async def _send_all(self) -> None:
        rate = self.plan.rate / self.plan.callers
        due, end = self.start, self.start + WARM_UP_S + self.plan.seconds
        while due < end:
            now = time.monotonic()
            if due > now:
                await asyncio.sleep(due - now)
            elif len(self.tasks) % YIELD_EVERY == 0:
                await asyncio.sleep(0)
            self.lateness.append(max(0.0, time.monotonic() - due))
            self._send(due)
            due += self.rng.expovariate(rate)

    def _send(self, due: float) -> None:
        """Begin one request of a class drawn from the mix, which may be dropped at a drawn stage."""
        count = len(self.tasks)
        identity = f"{self.number:02x}{count:08x}"
        name = self.rng.choices([n for n, _ in MIX], [w for _, w in MIX])[0]
        drop = self.rng.choice(STAGES) if self.rng.random() < self.plan.drops else ""
        key = f"k{identity}" if name == "reserva" else ""
        rows = request_rows(identity, name, DEADLINE_S, "", key)
        proxy = self.proxies[count % len(self.proxies)]
        handled = proxy.handle(Exchange(identity, name, due), rows, CLIENT_TIMEOUT_S, drop)
        self.tasks.append(asyncio.ensure_future(handled))


async def run_caller(plan: Plan, pipe: Connection, number: int, target: str, start: float) -> None:
    """Run the caller of this number against the external processor at the target; send its result."""
    pipe.send(await Caller(plan, number, target, start).run())


# ---- processes


def _take_time(pipe: Connection) -> None:
    """Use a core until a message comes."""
    while not (sum(range(100_000)) and pipe.poll()):
        pass


def process_main(kind: str, plan: Plan, pipe: Connection, *arguments: Any) -> None:
    """The main function of a process of a kind: FLEET, CALLER (arguments: as run_caller's) or HOG."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    if kind == HOG:
        _take_time(pipe)
    elif kind == FLEET:
        uvloop.run(run_fleet(plan, pipe))
    else:
        uvloop.run(run_caller(plan, pipe, *arguments))
