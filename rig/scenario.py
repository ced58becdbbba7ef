"""A scenario: a fleet of real processes between stand-ins, with scripts of faults and of events.

    result = play(Scenario(balancers=12, service={"per_s": 50, "line": "queues"}, rate=40, seconds=8,
                           faults="2 cut nodes[:6] lists until 5", events="1 kill nodes[:4] back 0.5"))

rig.faults describes scripts of faults, rig.process_events those of events. Times count from the release. Each
thing done is one line of JSON where a log is given. At the end the four rules are checked over what clients
and upstreams recorded: rig.scenario_result.
"""

from __future__ import annotations

import json
import random
import tempfile
import time
import urllib.request
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any, NamedTuple

from rig import capacity
from rig.faults import Link, Script, read_script
from rig.process_events import EventKind, ProcessEvent, read_events
from rig.processes import (
    ROOT,
    Process,
    ProcessGroup,
    balancer_address,
    helper_process,
    receive_json,
    send_json,
)
from rig.scenario_result import (
    ProcessTime,
    ProxyConnection,
    Reports,
    Start,
    Timeline,
    scenario_result,
)
from standins.site import config, reserved_port

SETTLE_S = 0.4  # from setting the helpers' release time to the release
REBIRTH_TIMEOUT_S = 5.0  # for all upstreams to have started anew
REBIRTH_POLL_S = 0.02
RESTART_TIMEOUT_S = 10.0  # for a process to end before its next start
FETCH_TIMEOUT_S = 30.0
MAX_LOGGED_NAMES = 20
DEFAULT_UPSTREAMS = 12  # as in standins.fleet
SHARED_SEED = 7  # where all balancers have the same name and seed


class TooManyError(RuntimeError):
    """The machine cannot run so many processes; the text says why."""


@dataclass(frozen=True)
class Scenario:
    """What is played. service: standins.listservice.Plan; upstream_plan: standins.fleet's plan.

    cold: the upstreams start with the release. known: what balancers know of the list at their start:
    "nothing", or "before". automatic: endpoint lists come as the platform delivers them, pushed by an agent,
    though one service does it. checkout: the program's; settings: of the platform's form, over those of
    standins.site. weights: how uneven the balancers' traffic is (sigma of a lognormal distribution). names:
    "own", or "one" where all have the same name and seed. operator: text of an operator's file, where
    {folder} stands for a path of each balancer's own. padding: further rows of the list, of draining
    upstreams that do not exist. rate: requests per second over the fleet.
    """

    balancers: int
    service: dict[str, Any] = field(default_factory=dict)
    upstream_plan: dict[str, Any] = field(default_factory=dict)
    rate: float = 0.0
    seconds: float = 8.0
    seed: int = 1
    faults: str = ""
    events: str = ""
    cold: bool = False
    known: str = "nothing"
    automatic: bool = False
    checkout: Path = ROOT
    settings: dict[str, Any] = field(default_factory=dict)
    weights: float = 0.0
    names: str = "own"
    operator: str = ""
    padding: int = 0


class DueEvent(NamedTuple):
    """What is to be done next to an event's targets: itself, or their start that follows from it."""

    at: float
    kind: EventKind
    event: ProcessEvent


def _is_named(process: Process, targets: frozenset[str]) -> bool:
    return f"nodes[{process.name[1:]}]" in targets


class Run:
    """One scenario being played."""

    def __init__(self, scenario: Scenario, folder: Path, log: IO[str] | None) -> None:
        self.scenario, self.folder, self.log = scenario, folder, log
        self.groups = {"nodes": scenario.balancers, "lists": 1}
        self.script = Script(read_script(scenario.faults, self.groups))
        self.events = read_events(scenario.events, self.groups)
        self.timeline = Timeline()
        self.done: list[dict[str, Any]] = []
        self.stack = ExitStack()

    def record(self, what: str, **details: Any) -> None:
        """Record one thing done, and write it to the log as a line of JSON."""
        released_at = self.timeline.released_at
        at = round(time.monotonic() - released_at, 3) if released_at else None
        row = {"at": at, "did": what, **details}
        self.done.append(row)
        if self.log is not None:
            self.log.write(json.dumps(row) + "\n")
            self.log.flush()

    def play(self) -> dict[str, Any]:
        """Start everything, carry out the script, end everything; return the result."""
        with self.stack:
            self._start_stand_ins()
            self._start_fault_proxy()
            self._prepare_balancers()
            self._start_clients()
            with self.processes:
                self.processes.start_to_barrier()
                self._release()
                self._play_events()
                reports = self._collect_reports()
            return self._result(reports)

    # ---- preparation

    def _start_helper(self, *arguments: str) -> Any:
        return self.stack.enter_context(helper_process(*arguments))

    def _start_stand_ins(self) -> None:
        scenario = self.scenario
        plan = dict(scenario.upstream_plan)
        if scenario.cold:
            plan["fresh"] = plan.get("nodos", DEFAULT_UPSTREAMS)
        self.upstreams = self._start_helper("standins.fleet", json.dumps(plan))
        announced = receive_json(self.upstreams)
        self.upstreams_port = announced["port"]
        self.hosts: list[dict[str, Any]] = announced["list"]["hosts"]
        self.service = self._start_helper("standins.listservice", json.dumps(scenario.service))
        self.service_port = receive_json(self.service)["port"]
        send_json(self.service, {"hosts": self._rows()})

    def _rows(self) -> list[dict[str, Any]]:
        """Return the endpoint list as the service has it."""
        padding_row = self.hosts[0] | {"health": "draining"}
        return self.hosts + [padding_row | {"host": f"ghost{n}"} for n in range(self.scenario.padding)]

    def _start_fault_proxy(self) -> None:
        """Start the fault proxy, with a link from every balancer's own address to the list service."""
        links = self._links()
        self.proxy = self._start_helper("rig.fault_proxy")
        plan = {"script": self.scenario.faults, "groups": self.groups, "seed": self.scenario.seed}
        send_json(self.proxy, plan | {"links": links})
        self.proxy_ports = receive_json(self.proxy)["ports"]
        self.affected_links = sum(self.script.affects(Link(row[0], row[1])) for row in links)

    def _links(self) -> list[Any]:
        service = ["127.0.0.1", self.service_port]
        return [
            [f"nodes[{n}]", "lists[0]", "tcp", [balancer_address(n), 0], service, balancer_address(n)]
            for n in range(self.scenario.balancers)
        ]

    def _config(self, number: int, start: int = 0) -> dict[str, Any]:
        scenario = self.scenario
        table = config(0, 0, self._known_list())
        table["listen"] = f"{balancer_address(number)}:{self.ports[number]}"
        table["discovery"] = f"{balancer_address(number)}:{self.proxy_ports[number]}"
        table["name"] = "n" if scenario.names == "one" else f"n{number}"
        own_seed = scenario.seed * 1_000_003 + number * 101 + start
        table["seed"] = f"{SHARED_SEED if scenario.names == 'one' else own_seed:x}"
        mode = "automatic" if scenario.automatic else "subscribe"
        table["settings"] |= {"nInstances": scenario.balancers, "registryMode": mode} | scenario.settings
        return table

    def _known_list(self) -> dict[str, Any]:
        if self.scenario.known == "nothing":
            return {"seq": 0, "whole": True, "hosts": []}
        return {"seq": 1, "whole": True, "hosts": self.hosts}

    def _config_path(self, process: Process) -> Path:
        return self.folder / f"{process.name}.json"

    def _prepare_balancers(self) -> None:
        numbers = range(self.scenario.balancers)
        self.ports = [reserved_port(balancer_address(number)) for number in numbers]
        self.processes = ProcessGroup([self._prepare_balancer(number) for number in numbers])

    def _prepare_balancer(self, number: int) -> Process:
        scenario, path = self.scenario, self.folder / f"n{number}.json"
        path.write_text(json.dumps(self._config(number)))
        arguments: tuple[str, ...] = ()
        if scenario.operator:
            operator = self.folder / f"n{number}.toml"
            operator.write_text(scenario.operator.replace("{folder}", str(self.folder / f"n{number}")))
            arguments = ("serve", "--operator", str(operator))
        log, environment = self.folder / f"n{number}.log", {"EDGE_CONFIG": str(path)}
        return Process(f"n{number}", environment, log, scenario.checkout, arguments)

    def _start_clients(self) -> None:
        scenario, rng = self.scenario, random.Random(self.scenario.seed)
        rows = [[balancer_address(n), self.ports[n], self._weight(n, rng)] for n in range(scenario.balancers)]
        self.clients = self._start_helper("rig.clients")
        plan = {"balancers": rows, "rate": scenario.rate, "seconds": scenario.seconds, "seed": scenario.seed}
        send_json(self.clients, plan)
        self.clients.stdout.readline()

    def _weight(self, number: int, rng: random.Random) -> float:
        """Return a balancer's weight among the clients' requests."""
        return rng.lognormvariate(0.0, self.scenario.weights)

    # ---- playing

    def _set_release(self, at: float) -> None:
        """Tell all helpers when the release is, on the monotonic clock."""
        for process in (self.service, self.proxy, self.clients):
            send_json(process, {"begin": at})

    def _start_upstreams(self) -> None:
        self.upstreams.stdin.write(b"go\n")
        self.upstreams.stdin.flush()

    def _release(self) -> None:
        released_at = time.monotonic() + SETTLE_S
        if self.scenario.upstream_plan.get("trouble"):
            self._start_upstreams()  # the times of its faults count from here, SETTLE_S before the release
        if self.scenario.cold:
            self._start_upstreams()
            self.hosts = self._restarted_hosts()
            send_json(self.service, {"hosts": self._rows()})
        self._set_release(released_at)
        time.sleep(max(0.0, released_at - time.monotonic()))
        self.timeline.released_at = released_at
        for process in self.processes.members:
            self._note_start(process, 0.0)
        self.processes.release()
        self.record("release", balancers=self.scenario.balancers, links_with_faults=self.affected_links)

    def _restarted_hosts(self) -> list[dict[str, Any]]:
        """Return the endpoint list once all upstreams have started anew."""
        until = time.monotonic() + REBIRTH_TIMEOUT_S
        while True:
            hosts: list[dict[str, Any]] = fetch(self.upstreams_port, "/catalog/members")["hosts"]
            if all(row["born_ms"] for row in hosts) or time.monotonic() > until:
                return hosts
            time.sleep(REBIRTH_POLL_S)

    def _play_events(self) -> None:
        """Carry out each event at its time, and the starts and repetitions that follow from it."""
        agenda = [DueEvent(event.at, event.kind, event) for event in self.events]
        while agenda:
            agenda.sort(key=lambda due: due.at)
            due = agenda.pop(0)
            time.sleep(max(0.0, self.timeline.released_at + due.at - time.monotonic()))
            chosen = [one for one in self.processes.members if _is_named(one, due.event.targets)]
            following = self._carry_out(due, chosen)
            if following is not None:
                agenda.append(following)
            self.record(
                due.kind, to=sorted(one.name for one in chosen)[:MAX_LOGGED_NAMES], number=len(chosen)
            )

    def _carry_out(self, due: DueEvent, chosen: list[Process]) -> DueEvent | None:
        """Do one thing to processes; return what follows from it."""
        at, event = due.at, due.event
        match due.kind:
            case EventKind.START:
                self._restart(chosen)
            case EventKind.MOVE:
                self._move(chosen)
            case EventKind.LOOP:
                self._signal(chosen, EventKind.KILL)
                self._restart(chosen)
                if at + event.every < event.until:
                    return DueEvent(at + event.every, EventKind.LOOP, event)
            case _:
                self._signal(chosen, due.kind)
                if event.back >= 0:
                    return DueEvent(at + event.back, EventKind.START, event)
        return None

    def _restart(self, chosen: list[Process]) -> None:
        for process in chosen:
            if process.running is not None:
                process.running.wait(RESTART_TIMEOUT_S)
            number = int(process.name[1:])
            configuration = self._config(number, process.start_count)
            self._config_path(process).write_text(json.dumps(configuration))
            self.timeline.restarts.append(ProcessTime(number, time.monotonic()))
            process.start_to_barrier()
            self._note_start(process, time.monotonic() - self.timeline.released_at)
            process.release()

    def _note_start(self, process: Process, released_s: float) -> None:
        """Record what the configuration says that the process starts with."""
        table = json.loads(self._config_path(process).read_text())
        number, seed = int(process.name[1:]), int(table["seed"], 16)
        self.timeline.starts.append(Start(number, table["name"], table["listen"], seed, released_s))

    def _signal(self, chosen: list[Process], kind: EventKind) -> None:
        for process in chosen:
            if kind is EventKind.KILL:
                self.timeline.kills.append(ProcessTime(int(process.name[1:]), time.monotonic()))
            process.signal(kind)

    def _move(self, chosen: list[Process]) -> None:
        """Give the same service another address: a new configuration, then SIGHUP."""
        for process in chosen:
            path = self._config_path(process)
            table = json.loads(path.read_text())
            table["discovery"] = f"127.0.0.1:{self.service_port}"
            path.write_text(json.dumps(table))
        for process in chosen:
            process.signal("hup")

    # ---- results

    def _collect_reports(self) -> Reports:
        clients = receive_json(self.clients) or {}
        memory_mb = max((process.resident_mb() for process in self.processes.members), default=0.0)
        send_json(self.proxy, {"counts": 1})
        accepted = receive_json(self.proxy)["taken"]
        self.timeline.connections = [ProxyConnection(at, int(link)) for at, link in accepted]
        upstreams = fetch_books(self.upstreams_port)
        service = fetch_books(self.service_port)
        return Reports(clients, upstreams, service, memory_mb, self.processes.crashes())

    def _result(self, reports: Reports) -> dict[str, Any]:
        scenario = self.scenario
        result = scenario_result(scenario.balancers, scenario.seconds, self.timeline, reports)
        return result | {"done": self.done}


def fetch(port: int, path: str) -> Any:
    """Return the JSON at a path of a stand-in on loopback; OSError if nobody answers."""
    with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=FETCH_TIMEOUT_S) as answer:
        return json.loads(answer.read())


def fetch_books(port: int) -> Any:
    """Return what a stand-in has recorded; nothing if it does not answer."""
    try:
        return fetch(port, "/books")
    except OSError:
        return {}


def play(scenario: Scenario, log: IO[str] | None = None) -> dict[str, Any]:
    """Play one scenario, from its processes' start to their end; return its result.

    TooManyError if this machine cannot run it. log: takes a line of JSON for each thing done.
    """
    reason = capacity.refusal(capacity.read_machine(), scenario.balancers, scenario.rate)
    if reason:
        raise TooManyError(reason)
    with tempfile.TemporaryDirectory(prefix="quartzford-rig-") as folder:
        return Run(scenario, Path(folder), log).play()
