"""A fleet of stand-in upstreams in a separate process, with scripted or random faults.

    python -m standins.fleet [PLAN as JSON]

prints the registry's port and the complete list as one line of JSON, and exits on SIGTERM. The faults start
when a line arrives on standard input. GET /books at the registry's port returns the fleet's account
(Registry.account).
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import time
from collections.abc import Coroutine
from dataclasses import asdict, dataclass
from typing import Any

import uvloop

from standins.execution_journal import ExecutionJournal
from standins.registry import FaultEvent
from standins.upstream import StandInUpstream, start_upstreams
from standins.upstream_connection import Mode

FAULTS = ("die", "drain", "hang", *(mode for mode in Mode if mode != Mode.OK))
RANDOM_FAULTS = ("die", "drain", "drain", Mode.SILENT, Mode.SWALLOW)
RANDOM_INTERVAL_S = (0.3, 0.9)  # between random faults, with RANDOM_INTERVAL_UPSTREAMS upstreams and pace 1
RANDOM_INTERVAL_UPSTREAMS = 24
UPSTREAMS_PER_FAULT = 5  # at most one in this many upstreams has a random fault at a time
UPSTREAMS_PER_BLOCK = 4
SLOW_FACTOR = 4  # multiplies the latency of the plan's slow upstreams
SLOW_MODE_FACTOR = 8.0  # multiplies an upstream's execution time and latency in the mode "slow"
DRAIN_S = 1.0  # from the notification of a drain until the upstream stops
CRASH_NOTICE_DELAY_S = (0.3, 1.0)  # from a crash until the registry lists it
FAULTY_MODE_S = (1.0, 2.0)  # from the start of a faulty mode until the upstream stops
DOWNTIME_S = (0.5, 1.5)  # from the notification that an upstream is gone until its successor starts
SETTLE_S = 4.0  # from a successor's start until it may become faulty again

# Keys of the command line's JSON that differ from the plan's fields.
PLAN_KEYS = {"nodos": "upstreams", "trouble": "faults"}


@dataclass(frozen=True)
class Plan:
    """Configuration of a fleet. Times in seconds.

    faults: 'random', or a list of fault@seconds:upstream, such as 'die@5:3 drain@8:4'.
    """

    upstreams: int = 12
    capacity: float = 150.0  # of each upstream when warm, in requests a second
    cores: int = 2
    latency_s: float = 0.005
    slow: int = 0  # number of upstreams with SLOW_FACTOR times the latency
    queue: int = 60
    start_share: float = 0.13
    warm_s: float = 24.0
    most_connections: int = 180
    connect_s: float = 0.001
    idle_s: float = 15.0
    seed: int = 1
    faults: str = ""
    pace: float = 1.0  # rate of random faults; 1: one every 0.3 to 0.9 s with 24 upstreams
    fresh: int = 0  # number of upstreams that restart, cold, when the faults start


def plan_from_json(table: dict[str, Any]) -> Plan:
    """Return the plan for the command line's JSON object; raise TypeError if it has an unknown key."""
    return Plan(**{PLAN_KEYS.get(key, key): value for key, value in table.items()})


def plan_to_json(plan: Plan) -> dict[str, Any]:
    """Return the JSON object that plan_from_json reads."""
    keys = {field: key for key, field in PLAN_KEYS.items()}
    return {keys.get(field, field): value for field, value in asdict(plan).items()}


class Fleet:
    """The upstreams, and the tasks that inject faults into them."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.events: list[FaultEvent] = []
        self.faulty: set[str] = set()  # names of upstreams with a fault, or not yet settled after a restart
        self.tasks: set[asyncio.Task[None]] = set()

    def _make_upstream(self, number: int, journal: ExecutionJournal) -> StandInUpstream:
        plan = self.plan
        return StandInUpstream(
            f"s{number:04}",
            journal,
            block=number // UPSTREAMS_PER_BLOCK,
            capacity=plan.capacity,
            latency_s=plan.latency_s * (SLOW_FACTOR if number < plan.slow else 1),
            queue=plan.queue,
            start_share=plan.start_share,
            warm_s=plan.warm_s,
            cores=plan.cores,
            most_connections=plan.most_connections,
            connect_s=plan.connect_s,
            idle_s=plan.idle_s,
            rng=random.Random(number),
        )

    async def start(self) -> None:
        """Start all upstreams and their registry."""
        self.upstreams, self.journal, self.registry = await start_upstreams(
            self.plan.upstreams, self._make_upstream
        )
        self.registry.events = self.events

    def begin(self) -> None:
        """Start the plan's faults; raise ValueError for an unknown fault."""
        for upstream in self.upstreams[: self.plan.fresh]:
            self._start_task(self._restart(upstream))
        if self.plan.faults == "random":
            self._start_task(self._inject_random_faults())
            return
        for fault_spec in self.plan.faults.split():
            fault, _, rest = fault_spec.partition("@")
            at, _, number = rest.partition(":")
            if fault not in FAULTS:
                raise ValueError(f"{fault_spec!r} names an unknown fault; known faults: {', '.join(FAULTS)}")
            self._start_task(self._inject_at(float(at), self.upstreams[int(number)], fault))

    def stop(self) -> None:
        """Cancel all fault tasks; upstreams stay in their present state."""
        for task in list(self.tasks):
            task.cancel()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _restart(self, upstream: StandInUpstream) -> None:
        await upstream.restart()
        self.registry.notify(upstream)

    async def _inject_at(self, delay_s: float, upstream: StandInUpstream, fault: str) -> None:
        await asyncio.sleep(delay_s)
        await self.inject(upstream, fault)

    async def inject(self, upstream: StandInUpstream, fault: str) -> None:
        """Inject a fault into an upstream, and wait until its cold successor has settled, about 8 s."""
        self.faulty.add(upstream.name)
        self.events.append(FaultEvent(time.monotonic(), fault, upstream.name))
        if fault == "hang":  # permanent, and the registry is not updated
            upstream.mode = Mode.SWALLOW
            return
        if fault == "drain":
            await self._drain(upstream)
        elif fault == "die":
            await upstream.stop()
            await asyncio.sleep(self.rng.uniform(*CRASH_NOTICE_DELAY_S))
        else:
            await self._misbehave(upstream, fault)
        self.registry.notify(upstream, health="gone")
        await asyncio.sleep(self.rng.uniform(*DOWNTIME_S))
        await self._restart(upstream)
        self.events.append(FaultEvent(time.monotonic(), "cold", upstream.name))
        await asyncio.sleep(SETTLE_S)
        self.faulty.discard(upstream.name)

    async def _drain(self, upstream: StandInUpstream) -> None:
        upstream.health = "draining"
        self.registry.notify(upstream)
        await asyncio.sleep(DRAIN_S)
        await upstream.stop()

    async def _misbehave(self, upstream: StandInUpstream, mode: str) -> None:
        upstream.mode = mode
        upstream.slowness = SLOW_MODE_FACTOR if mode == Mode.SLOW else 1.0
        await asyncio.sleep(self.rng.uniform(*FAULTY_MODE_S))
        await upstream.stop()

    async def _inject_random_faults(self) -> None:
        """Inject random faults, at most one per UPSTREAMS_PER_FAULT upstreams at a time, until cancelled."""
        plan, rng = self.plan, self.rng
        while True:
            interval_s = rng.uniform(*RANDOM_INTERVAL_S)
            await asyncio.sleep(interval_s * RANDOM_INTERVAL_UPSTREAMS / plan.upstreams / plan.pace)
            healthy = [upstream for upstream in self.upstreams if upstream.name not in self.faulty]
            if len(self.faulty) < max(1, plan.upstreams // UPSTREAMS_PER_FAULT):
                fault = rng.choice(RANDOM_FAULTS)
                self._start_task(self.inject(rng.choice(healthy), fault))

    def account(self) -> dict[str, Any]:
        """Return the registry's account, with the plan added."""
        return self.registry.account() | {"plan": plan_to_json(self.plan)}


async def run(plan: Plan) -> None:
    """Run a fleet until SIGTERM; print the registry's port and list as a line of JSON."""
    loop = asyncio.get_running_loop()
    fleet = Fleet(plan)
    await fleet.start()
    ended: asyncio.Future[None] = loop.create_future()
    loop.add_signal_handler(signal.SIGTERM, ended.cancel)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C reaches the whole group; the parent sends SIGTERM
    print(json.dumps({"port": fleet.registry.port, "list": fleet.registry.complete()}), flush=True)
    begin_line = loop.run_in_executor(None, sys.stdin.readline)
    begin_line.add_done_callback(lambda read: fleet.begin() if read.result() else None)
    await asyncio.wait((ended,))
    fleet.stop()
    await fleet.registry.stop()
    for upstream in fleet.upstreams:
        await upstream.stop()


def main() -> int:
    """Run the plan of the command line; return the exit status."""
    plan = plan_from_json(json.loads(sys.argv[1] if len(sys.argv) > 1 else "{}"))
    uvloop.run(run(plan))
    return 0


if __name__ == "__main__":
    sys.exit(main())
