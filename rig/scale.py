"""A scale run: real balancers under load beside hollow ones, one list service, relays or none, and events.

    result = play_scale(ScalePlan(real=4, hollow=40, relays=2, moments=(Moment(6.0, "quiet"), ...)))

The list has many rows for each real upstream: every row is ready, and leads to one that answers. Around
each moment counts, bytes and processor time of each role are read; bench/scale_events.py works with them.
Real balancers come first in the fleet's numbers, and the last of them (`idle`) get no requests: these are
what hollow ones are to be compared with. All that was started is ended with the run, also an interrupted one.
"""

from __future__ import annotations

import json
import random
import tempfile
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

from rig import capacity
from rig.hollow_fleet import HollowFleet, HollowReading
from rig.meter import METER_VARIABLE, MeterLog
from rig.processes import Process, ProcessGroup
from rig.relays import peak_resident_mb, relay_address, relay_processes
from rig.scenario import Run, Scenario, TooManyError, free_port_at

EVENT_KINDS = ("quiet", "change", "down", "kill", "cut", "drip")
CHANGE_DELAY_S = 0.1  # a change follows the loss that it is to be told through
RACK_ROWS = 40
FIRST_VERSION = 2  # of the list as it is at the release


@dataclass(frozen=True)
class ScaleEvent:
    """Something that happens `at` seconds from the release, and is looked at for `window` seconds.

    change: `rows` rows go in one instant, or come back. down: the list service is down for `span` seconds,
    and changes a row when it is back. kill: so many relays (`count`), SIGKILL, and changed `rows`. cut: a
    third of the hollow balancers for `span` seconds, and a changed row. drip: a row changes every `span`
    seconds.
    """

    at: float
    name: str
    what: str = "quiet"
    window: float = 6.0
    rows: int = 1
    first: int = 0  # row
    gone: bool = False
    count: int = 0
    span: float = 0.0


@dataclass(frozen=True)
class ScalePlan:
    """A scale run. rows: of the list; upstreams: real ones, behind these rows; idle: real balancers
    without requests."""

    real: int
    hollow: int
    events: tuple[ScaleEvent, ...]
    relays: int = 0
    rows: int = 2_000
    upstreams: int = 40
    idle: int = 1
    hollow_processes: int = 4
    share: str = "rows"
    rate: float = 40.0
    seconds: float = 30.0
    per_s: float = 50.0
    seed: int = 1
    lone: bool = True  # one more hollow balancer, in a process of its own

    def fleet(self) -> int:
        """All balancers together."""
        return self.real + self.hollow + self.lone

    def demand(self) -> capacity.ScaleDemand:
        """What it asks of the machine."""
        return capacity.ScaleDemand(
            self.real,
            self.hollow,
            self.rows,
            self.relays,
            self.hollow_processes + self.lone,
            self.share,
            self.rate,
        )


@dataclass
class Sample:
    """Counts of all roles at one moment of the machine's clock."""

    at: float
    hollow: HollowReading
    source: dict[str, Any]
    cpu: dict[str, float]
    memory_mb: dict[str, float]
    relay_peak_mb: float
    lone: HollowReading | None  # of the hollow balancer that has a process of its own


@dataclass
class ObservedEvent:
    """One moment as it went: what was told when (version and time), and the looks around it."""

    event: ScaleEvent
    before: Sample
    after: Sample
    notified: list[tuple[int, float]] = field(default_factory=list)
    notified_bytes: int = 0  # to one watcher
    restored_at: float = 0.0  # when the service or the link was there again


def cpu_seconds(pids: Iterable[int]) -> float:
    """User and system time of processes, in seconds; those that have gone count nothing."""
    total = 0.0
    for pid in pids:
        try:
            fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        total += (int(fields[11]) + int(fields[12])) / 100.0
    return total


def alias_rows(hosts: list[dict[str, Any]], rows: int) -> list[dict[str, Any]]:
    """So many ready rows over these upstreams, each in the block and zone of the one that it leads to."""
    leads = [hosts[n % len(hosts)] for n in range(rows)]
    return [host | {"host": f"{host['host']}.{n:05}"} for n, host in enumerate(leads)]


class ScaleRun(Run):
    """One scale run being played."""

    def __init__(self, plan: ScalePlan, scenario: Scenario, folder: Path, log: IO[str] | None) -> None:
        super().__init__(scenario, folder, log)
        self.plan = plan
        self.groups["relays"] = plan.relays
        self.addresses = [f"{relay_address(n)}:{free_port_at(relay_address(n))}" for n in range(plan.relays)]
        self.version = FIRST_VERSION - 1
        self.listed: list[dict[str, Any]] = []
        self.relay_fleet = ProcessGroup([])
        self.dead: set[str] = set()
        self.seen: list[ObservedEvent] = []

    # ---- putting it together

    def _rows(self) -> list[dict[str, Any]]:
        self.listed = alias_rows(self.hosts, self.plan.rows)
        self.version += 1
        return self.listed

    def _links(self) -> list[Any]:
        service = ["127.0.0.1", self.service_port]
        return [
            [f"relays[{n}]", "lists[0]", "tcp", [relay_address(n), 0], service, relay_address(n)]
            for n in range(self.plan.relays)
        ]

    def _fault_proxy(self) -> None:
        super()._fault_proxy()
        self.relay_proxy_ports = self.proxy_ports
        self.proxy_ports = [self.service_port] * self.plan.real  # no proxy: hollow ones have none either

    def _config(self, number: int, life: int = 0) -> dict[str, Any]:
        table = super()._config(number, life)
        table["discovery"] = f"127.0.0.1:{self.service_port}"
        table["settings"]["nInstances"] = self.plan.fleet()
        return table

    def _weight(self, number: int, rng: random.Random) -> float:
        return 0.0 if number >= self.plan.real - self.plan.idle else super()._weight(number, rng)

    def _balancers(self) -> None:
        super()._balancers()
        for one in self.processes.members:
            one.environment[METER_VARIABLE] = str(self._meter(one))
            if self.plan.relays:
                path = self.folder / f"{one.name}.toml"
                names = ", ".join(f'"{address}"' for address in self.addresses)
                path.write_text(f"[lists]\ncalls_per_s = {self.plan.per_s:g}\nrelays = [{names}]\n")
                one.arguments = ("serve", "--operator", str(path))
        self._start_relays()
        self._start_hollow()

    def _meter(self, one: Process) -> Path:
        return self.folder / f"{one.name}.meter"

    def _start_relays(self) -> None:
        plan = self.plan
        sources = [f"{relay_address(n)}:{way}" for n, way in enumerate(self.relay_proxy_ports)]
        self.relay_fleet = relay_processes(self.addresses, sources, plan.fleet(), plan.per_s, self.folder)
        self.stack.enter_context(self.relay_fleet)
        self.relay_fleet.start_to_barrier()

    def _start_hollow(self) -> None:
        plan = self.plan
        notified = {
            "balancers": plan.fleet(),
            "discovery": f"127.0.0.1:{self.service_port}",
            "relays": self.addresses,
            "seed": plan.seed,
            "share": plan.share,
        }
        self.hollow = HollowFleet(plan.real, plan.hollow, plan.hollow_processes, notified, self.stack)
        # One more alone, with nothing shared: what a process costs is told from what a balancer costs.
        alone = notified | {"share": "nothing"}
        self.lone = HollowFleet(plan.real + plan.hollow, int(plan.lone), 1, alone, self.stack)

    # ---- playing

    def _begin(self, at: float) -> None:
        super()._begin(at)
        self.hollow.begin(at)
        self.lone.begin(at)
        self.relay_fleet.release()  # they stand before the balancers ask
        self.start = self._sample()

    def _sample(self) -> Sample:
        self._tell(self.service, {"count": 1})
        source = json.loads(self.service.stdout.readline())
        loaded = self.processes.members[: self.plan.real - self.plan.idle]
        idle = self.processes.members[self.plan.real - self.plan.idle :]
        roles: dict[str, list[int]] = {
            "source": [self.service.pid],
            "hollow": self.hollow.pids(),
            "proxy": [self.proxy.pid],
            "hollow lone": self.lone.pids(),
            "real under load": pids(loaded),
            "real idle": pids(idle),
            "relays": pids(self.relay_fleet.members),
            "upstreams": [self.upstreams.pid],
            "clients": [self.clients.pid],
        }
        cpu = {role: cpu_seconds(numbers) for role, numbers in roles.items()}
        hollow = self.hollow.read()
        memory = {
            "hollow, all": round(hollow.rss_mb, 1),
            "real, most": max((one.resident_mb() for one in self.processes.members), default=0.0),
            "relay, most": max((one.resident_mb() for one in self.relay_fleet.members), default=0.0),
        }
        peak = max((peak_resident_mb(one) for one in self.relay_fleet.members), default=0.0)
        lone = self.lone.read() if self.plan.lone else None
        return Sample(time.monotonic(), hollow, source, cpu, memory, peak, lone)

    def _carry_out(self) -> None:
        """The moments in their order; the first look of each is the last one's last where they touch."""
        sample = self.start
        for event in self.plan.events:
            time.sleep(max(0.0, self.began + event.at - time.monotonic()))
            if time.monotonic() > sample.at + 1.0 and event.at > 0:
                sample = self._sample()
            seen = ObservedEvent(event, sample, sample)
            self.say(event.name)
            self._happen(event, seen)
            time.sleep(max(0.0, self.began + event.at + event.window - time.monotonic()))
            sample = seen.after = self._sample()
            self.seen.append(seen)

    def _happen(self, event: ScaleEvent, seen: ObservedEvent) -> None:
        """Do what the moment says, and note what was told when."""
        if event.what == "change":
            self._change(event, seen)
        elif event.what == "down":
            self._tell(self.service, {"down": event.span})
            time.sleep(event.span + CHANGE_DELAY_S)
            seen.restored_at = time.monotonic()
            self._touch(seen)
        elif event.what == "kill":
            for one in self._victims(event.count):
                one.signal("kill")
                self.dead.add(one.name)
            time.sleep(CHANGE_DELAY_S)
            self._touch(seen, event.rows)
        elif event.what == "cut":
            first = self.plan.real
            seen.restored_at = time.monotonic() + event.span
            self.hollow.cut(first, first + self.plan.hollow // 3, seen.restored_at)
            time.sleep(CHANGE_DELAY_S)
            self._touch(seen)
        elif event.what == "drip":
            while time.monotonic() < self.began + event.at + event.window - 2 * event.span:
                time.sleep(event.span)
                self._touch(seen)

    def _victims(self, count: int) -> list[Process]:
        alive = [one for one in self.relay_fleet.members if one.name not in self.dead]
        return alive[:count]

    def _change(self, event: ScaleEvent, seen: ObservedEvent) -> None:
        rows = self.listed[event.first : event.first + event.rows]
        state: dict[str, Any] = {"health": "gone"} if event.gone else {"born_ms": round(time.time() * 1000)}
        self._send([row | state for row in rows], seen)

    def _touch(self, seen: ObservedEvent, rows: int = 1) -> None:
        """Some rows start anew."""
        first, born = self.version % len(self.listed), round(time.time() * 1000)
        self._send([row | {"born_ms": born} for row in self.listed[first : first + rows]], seen)

    def _send(self, rows: list[dict[str, Any]], seen: ObservedEvent) -> None:
        self.version += 1
        seen.notified.append((self.version, time.monotonic()))
        text = json.dumps({"seq": self.version, "whole": False, "hosts": rows})
        seen.notified_bytes += len(text) + 1 + len(f"{len(text) + 1:x}") + 4
        self._tell(self.service, {"change": rows})

    # ---- what it came to

    def _result(
        self, report: dict[str, Any], books: Any, service: Any, memory: float, crashes: list[str]
    ) -> dict[str, Any]:
        result = super()._result(report, books, service, memory, crashes)
        for one in self.relay_fleet.members:
            one.note_end()
        crashed = [text for one in self.relay_fleet.members for text in one.crashes]
        result["crashes"] += crashed
        result["kept"] = result["kept"] and not crashed
        steps = {int(second): counts for second, counts in report["steps"].items()}
        unserved = {int(second): counts for second, counts in report["unserved"].items()}
        return result | {
            "plan": self.plan,
            "began": self.began,
            "seen": self.seen,
            "steps": steps,
            "unserved": unserved,
            "source_calls": service.get("calls", []),
            "readings": [MeterLog(self._meter(one)) for one in self.processes.members],
        }


def pids(members: Iterable[Process]) -> list[int]:
    """Of those that run."""
    return [one.running.pid for one in members if one.running is not None]


def play_scale(plan: ScalePlan, log: IO[str] | None = None) -> dict[str, Any]:
    """One scale run; TooManyError with the bound where the machine can't bear it."""
    why = capacity.scale_refusal(capacity.read_machine(), plan.demand())
    if why:
        raise TooManyError(why)
    scenario = Scenario(
        balancers=plan.real,
        service={"per_s": plan.per_s, "line": "queues"},
        upstream_plan={"nodos": plan.upstreams, "capacity": 200.0, "connect_s": 0.001},
        rate=plan.rate,
        seconds=plan.seconds,
        seed=plan.seed,
    )
    with tempfile.TemporaryDirectory(prefix="quartzford-scale-") as folder:
        return ScaleRun(plan, scenario, Path(folder), log).play()
