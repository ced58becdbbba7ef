"""A scale run: real balancers under load beside hollow ones, one list service, perhaps relays, and events.

    result = play_scale(ScalePlan(real=4, hollow=40, relays=2, events=(ScaleEvent(6.0, "quiet"), ...)))

The endpoint list has many rows for each real upstream: every row is ready, and leads to one that answers.
Around each event counts, bytes and processor time of each role are sampled; bench/scale_events.py works with
them. Real balancers come first in the fleet's numbers, and the last of them (`idle`) get no requests: hollow
balancers are to be compared with these. Everything that was started is ended with the run, also with an
interrupted one.
"""

from __future__ import annotations

import json
import random
import tempfile
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any, NamedTuple

from rig import capacity
from rig.hollow_fleet import HollowFleet, HollowReading
from rig.meter import METER_VARIABLE, MeterLog
from rig.processes import Process, ProcessGroup, receive_json, send_json
from rig.relays import peak_resident_mb, relay_address, relay_processes
from rig.scale_plan import FIRST_VERSION, ScaleEvent, ScaleEventKind, ScalePlan
from rig.scenario import Run, Scenario, TooManyError
from rig.scenario_result import Reports
from standins.site import reserved_port

CHANGE_DELAY_S = 0.1  # from a failure to the change that is to be notified in spite of it
MAX_SAMPLE_AGE_S = 1.0  # of a sample that serves as the one before the next event
TICKS_PER_S = 100.0  # of the kernel's processor times


@dataclass
class Sample:
    """Counts of all roles at one time of the monotonic clock.

    source: the list service's counts. cpu: processor seconds by role. memory_mb: by role, as named there.
    lone: the reading of the hollow balancer that has a process of its own.
    """

    at: float
    hollow: HollowReading
    source: dict[str, Any]
    cpu: dict[str, float]
    memory_mb: dict[str, float]
    relay_peak_mb: float
    lone: HollowReading | None


class Notification(NamedTuple):
    """A version of the endpoint list, and when the list service was given it."""

    version: int
    at: float


@dataclass
class ObservedEvent:
    """One event as it went: the changes made in it, and the samples around it.

    notified_bytes: length of the changes as one watcher gets them. restored_at: when the service or the link
    was there again; 0 where neither was away.
    """

    event: ScaleEvent
    before: Sample
    after: Sample
    notified: list[Notification] = field(default_factory=list)
    notified_bytes: int = 0
    restored_at: float = 0.0


def cpu_seconds(pids: Iterable[int]) -> float:
    """Return the user and system time of processes in seconds; those that have ended count nothing."""
    total = 0.0
    for pid in pids:
        try:
            fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        total += (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return total


def alias_rows(hosts: list[dict[str, Any]], rows: int) -> list[dict[str, Any]]:
    """Return so many ready rows over these upstreams, each in the cell and zone of the one it leads to."""
    targets = [hosts[n % len(hosts)] for n in range(rows)]
    return [host | {"host": f"{host['host']}.{n:05}"} for n, host in enumerate(targets)]


class ScaleRun(Run):
    """One scale run being played."""

    def __init__(self, plan: ScalePlan, scenario: Scenario, folder: Path, log: IO[str] | None) -> None:
        super().__init__(scenario, folder, log)
        self.plan = plan
        self.groups["relays"] = plan.relays
        self.addresses = [f"{relay_address(n)}:{reserved_port(relay_address(n))}" for n in range(plan.relays)]
        self.version = FIRST_VERSION - 1
        self.listed: list[dict[str, Any]] = []
        self.relay_fleet = ProcessGroup([])
        self.killed_relays: set[str] = set()
        self.observed: list[ObservedEvent] = []

    # ---- preparation

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

    def _start_fault_proxy(self) -> None:
        super()._start_fault_proxy()
        self.relay_proxy_ports = self.proxy_ports
        # Real balancers call the service without a proxy, as hollow ones do.
        self.proxy_ports = [self.service_port] * self.plan.real

    def _config(self, number: int, start: int = 0) -> dict[str, Any]:
        table = super()._config(number, start)
        table["discovery"] = f"127.0.0.1:{self.service_port}"
        table["settings"]["nInstances"] = self.plan.fleet()
        return table

    def _weight(self, number: int, rng: random.Random) -> float:
        if number >= self.plan.real - self.plan.idle:
            return 0.0
        return super()._weight(number, rng)

    def _prepare_balancers(self) -> None:
        super()._prepare_balancers()
        for process in self.processes.members:
            process.environment[METER_VARIABLE] = str(self._meter_path(process))
            if self.plan.relays:
                path = self.folder / f"{process.name}.toml"
                relays = ", ".join(f'"{address}"' for address in self.addresses)
                path.write_text(f"[lists]\ncalls_per_s = {self.plan.per_s:g}\nrelays = [{relays}]\n")
                process.arguments = ("serve", "--operator", str(path))
        self._start_relays()
        self._start_hollow_balancers()

    def _meter_path(self, process: Process) -> Path:
        return self.folder / f"{process.name}.meter"

    def _start_relays(self) -> None:
        plan = self.plan
        sources = [f"{relay_address(n)}:{port}" for n, port in enumerate(self.relay_proxy_ports)]
        self.relay_fleet = relay_processes(self.addresses, sources, plan.fleet(), plan.per_s, self.folder)
        self.stack.enter_context(self.relay_fleet)
        self.relay_fleet.start_to_barrier()

    def _start_hollow_balancers(self) -> None:
        plan = self.plan
        hollow_plan = {
            "balancers": plan.fleet(),
            "discovery": f"127.0.0.1:{self.service_port}",
            "relays": self.addresses,
            "seed": plan.seed,
            "share": plan.share,
        }
        self.hollow = HollowFleet(plan.real, plan.hollow, plan.hollow_processes, hollow_plan, self.stack)
        # The lone one shares nothing: so the cost of a process and that of a balancer can be separated.
        lone_plan = hollow_plan | {"share": "nothing"}
        self.lone = HollowFleet(plan.real + plan.hollow, int(plan.lone), 1, lone_plan, self.stack)

    # ---- playing

    def _set_release(self, at: float) -> None:
        super()._set_release(at)
        self.hollow.begin(at)
        self.lone.begin(at)
        self.relay_fleet.release()  # relays have to be there before the balancers call them
        self.first_sample = self._sample()

    def _pids_by_role(self) -> dict[str, list[int]]:
        first_idle = self.plan.real - self.plan.idle
        return {
            "source": [self.service.pid],
            "hollow": self.hollow.pids(),
            "proxy": [self.proxy.pid],
            "hollow lone": self.lone.pids(),
            "real under load": pids(self.processes.members[:first_idle]),
            "real idle": pids(self.processes.members[first_idle:]),
            "relays": pids(self.relay_fleet.members),
            "upstreams": [self.upstreams.pid],
            "clients": [self.clients.pid],
        }

    def _sample(self) -> Sample:
        send_json(self.service, {"count": 1})
        source = receive_json(self.service)
        cpu = {role: cpu_seconds(numbers) for role, numbers in self._pids_by_role().items()}
        hollow = self.hollow.read()
        memory = {
            "hollow, all": round(hollow.rss_mb, 1),
            "real, most": max((one.resident_mb() for one in self.processes.members), default=0.0),
            "relay, most": max((one.resident_mb() for one in self.relay_fleet.members), default=0.0),
        }
        peak = max((peak_resident_mb(one) for one in self.relay_fleet.members), default=0.0)
        lone = self.lone.read() if self.plan.lone else None
        return Sample(time.monotonic(), hollow, source, cpu, memory, peak, lone)

    def _sleep_until(self, at: float) -> None:
        time.sleep(max(0.0, self.timeline.released_at + at - time.monotonic()))

    def _play_events(self) -> None:
        """Play the events in their order; where two follow at once, they share the sample between them."""
        sample = self.first_sample
        for event in self.plan.events:
            self._sleep_until(event.at)
            if time.monotonic() > sample.at + MAX_SAMPLE_AGE_S and event.at > 0:
                sample = self._sample()
            observed = ObservedEvent(event, sample, sample)
            self.record(event.name)
            self._play_event(event, observed)
            self._sleep_until(event.at + event.window)
            sample = observed.after = self._sample()
            self.observed.append(observed)

    def _play_event(self, event: ScaleEvent, observed: ObservedEvent) -> None:
        """Do what the event says, and record the changes made in it."""
        match event.what:
            case ScaleEventKind.CHANGE:
                self._change(event, observed)
            case ScaleEventKind.DOWN:
                send_json(self.service, {"down": event.span})
                time.sleep(event.span + CHANGE_DELAY_S)
                observed.restored_at = time.monotonic()
                self._restart_rows(observed)
            case ScaleEventKind.KILL:
                self._kill_relays(event.count)
                time.sleep(CHANGE_DELAY_S)
                self._restart_rows(observed, event.rows)
            case ScaleEventKind.CUT:
                first = self.plan.real
                observed.restored_at = time.monotonic() + event.span
                self.hollow.cut(first, first + self.plan.hollow // 3, observed.restored_at)
                time.sleep(CHANGE_DELAY_S)
                self._restart_rows(observed)
            case ScaleEventKind.DRIP:
                self._drip(event, observed)

    def _drip(self, event: ScaleEvent, observed: ObservedEvent) -> None:
        last = self.timeline.released_at + event.at + event.window - 2 * event.span
        while time.monotonic() < last:
            time.sleep(event.span)
            self._restart_rows(observed)

    def _kill_relays(self, count: int) -> None:
        alive = [one for one in self.relay_fleet.members if one.name not in self.killed_relays]
        for process in alive[:count]:
            process.signal("kill")
            self.killed_relays.add(process.name)

    def _change(self, event: ScaleEvent, observed: ObservedEvent) -> None:
        rows = self.listed[event.first : event.first + event.rows]
        state: dict[str, Any] = {"health": "gone"} if event.gone else {"born_ms": _now_ms()}
        self._send_change([row | state for row in rows], observed)

    def _restart_rows(self, observed: ObservedEvent, rows: int = 1) -> None:
        """Give some rows a new start time; which ones follows from the version."""
        first, born_ms = self.version % len(self.listed), _now_ms()
        changed = [row | {"born_ms": born_ms} for row in self.listed[first : first + rows]]
        self._send_change(changed, observed)

    def _send_change(self, rows: list[dict[str, Any]], observed: ObservedEvent) -> None:
        self.version += 1
        observed.notified.append(Notification(self.version, time.monotonic()))
        text = json.dumps({"seq": self.version, "whole": False, "hosts": rows})
        chunk_head = f"{len(text) + 1:x}"
        observed.notified_bytes += len(text) + 1 + len(chunk_head) + 4  # a newline, and two line ends
        send_json(self.service, {"change": rows})

    # ---- results

    def _result(self, reports: Reports) -> dict[str, Any]:
        result = super()._result(reports)
        for process in self.relay_fleet.members:
            process.note_end()
        crashes = [text for process in self.relay_fleet.members for text in process.crashes]
        result["crashes"] += crashes
        result["kept"] = result["kept"] and not crashes
        return result | {
            "plan": self.plan,
            "began": self.timeline.released_at,
            "observed": self.observed,
            "steps": _by_second(reports.clients["steps"]),
            "unserved": _by_second(reports.clients["unserved"]),
            "source_calls": reports.service.get("calls", []),
            "meter_logs": [MeterLog(self._meter_path(one)) for one in self.processes.members],
        }


def _now_ms() -> int:
    return round(time.time() * 1000)


def _by_second(counts: dict[str, Any]) -> dict[int, Any]:
    return {int(second): values for second, values in counts.items()}


def pids(members: Iterable[Process]) -> list[int]:
    """Return the identifiers of those processes that run."""
    return [one.running.pid for one in members if one.running is not None]


def play_scale(plan: ScalePlan, log: IO[str] | None = None) -> dict[str, Any]:
    """Play one scale run and return its result; TooManyError with the bound if this machine cannot run it."""
    reason = capacity.scale_refusal(capacity.read_machine(), plan.demand())
    if reason:
        raise TooManyError(reason)
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
