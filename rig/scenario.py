"""A scenario: a fleet of real processes between stand-ins, a script of faults and of signals, and the books.

    result = play(Scenario(balancers=12, service={"per_s": 50, "line": "queues"}, rate=40, seconds=8,
                           faults="2 cut nodes[:6] lists until 5", events="1 kill nodes[:4] back 0.5"))

Events are lines such as `1 kill nodes[:4] back 0.5` (started again so many seconds later), `2 term nodes[3]`,
`2 stop nodes[0]`, `4 cont nodes[0]`, `3 move nodes` (SIGHUP with discovery at another address), or
`0 loop nodes[:3] every 1 until 8`. Times count from the release. Each thing done is one line of JSON where a
log is given. At the end the four rules are judged over the books of clients and upstreams.
"""

from __future__ import annotations

import json
import math
import random
import tempfile
import time
import urllib.request
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any, NamedTuple

from quartzford.load.clients import DEFAULT_CLASSES, LOST
from quartzford.load.reconciliation import check_rules
from rig import capacity
from rig.faults import Link, Script, ScriptError, group_members, read_script
from rig.processes import ROOT, Process, ProcessGroup, balancer_address, helper_process
from standins.site import config, free_port

EVENTS = ("kill", "term", "stop", "cont", "move", "loop")
KILLED_S = 3.0  # so soon after a kill its connections' ends have been noticed, also on a busy machine
SETTLE_S = 0.4  # from the release of the stand-ins' clocks to the balancers' own


class TooManyError(RuntimeError):
    """The machine does not bear so many processes; the text says why."""


@dataclass(frozen=True)
class Scenario:
    """What is played. service: standins.listservice.Plan; nodos: standins.fleet.Plan.

    cold: the upstreams start with the release. known: what balancers know of the list at their start:
    "nothing", or "before". automatic: the platform's way, an agent that pushes, though one service does it.
    checkout: the program's; settings: of the platform's form, over those of standins.site. weights: how
    uneven the balancers' traffic is (sigma of a lognormal). operator: text of an operator's file, where
    {folder} stands for a place of each balancer's own.
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
    names: str = "own"  # or "one": all have the same name, and the same seed
    operator: str = ""
    padding: int = 0  # further rows of the list, of upstreams that drain and are not there


@dataclass(frozen=True)
class ProcessEvent:
    """Something done to processes."""

    at: float
    what: str
    who: frozenset[str]
    back: float = -1.0
    every: float = 0.0
    until: float = 0.0


class Start(NamedTuple):
    """One start of a balancer: what its random draws come from, and when it passed the gate."""

    number: int
    name: str
    listen: str
    seed: int
    released_s: float  # from the release of all


def read_events(text: str, groups: dict[str, int]) -> list[ProcessEvent]:
    """The events of a script, in order of time; ScriptError names a line that is wrong."""
    events = []
    for line in filter(None, (line.partition("#")[0].strip() for line in text.splitlines())):
        words = line.split()
        try:
            at, what, who, rest = float(words[0]), words[1], group_members(words[2], groups), words[3:]
            options = {rest[n]: float(rest[n + 1]) for n in range(0, len(rest), 2)}
            if what not in EVENTS or set(options) - {"back", "every", "until"}:
                raise ScriptError(f"no such event; there are {', '.join(EVENTS)}")
        except (IndexError, ValueError) as error:
            raise ScriptError(f"{line!r}: {error}") from None
        events.append(ProcessEvent(at, what, who, **options))
    return sorted(events, key=lambda event: event.at)


class Run:
    """One scenario being played."""

    def __init__(self, scenario: Scenario, folder: Path, log: IO[str] | None) -> None:
        self.scenario, self.folder, self.log = scenario, folder, log
        self.groups = {"nodes": scenario.balancers, "lists": 1}
        self.script = Script(read_script(scenario.faults, self.groups))
        self.events = read_events(scenario.events, self.groups)
        self.began = 0.0
        self.done: list[dict[str, Any]] = []
        self.taken: list[list[float]] = []  # connections through the proxy: when, and by which link
        self.kills: list[tuple[int, float]] = []  # who was killed outright, and when
        self.begun: list[tuple[int, float]] = []  # who was started again, and when
        self.starts: list[Start] = []
        self.stack = ExitStack()

    def say(self, what: str, **more: Any) -> None:
        """One line of JSON for each thing done."""
        row = {"at": round(time.monotonic() - self.began, 3) if self.began else None, "did": what, **more}
        self.done.append(row)
        if self.log is not None:
            self.log.write(json.dumps(row) + "\n")
            self.log.flush()

    # ---- putting it together

    def play(self) -> dict[str, Any]:
        """Start everything, carry the script out, end everything; the result."""
        with self.stack:
            self._stand_ins()
            self._fault_proxy()
            self._balancers()
            self._clients()
            with self.processes:
                self.processes.start_to_barrier()
                self._release()
                self._carry_out()
                report = json.loads(self.clients.stdout.readline() or b"{}")
                memory = max((one.resident_mb() for one in self.processes.members), default=0.0)
                self._tell(self.proxy, {"counts": 1})
                self.taken = json.loads(self.proxy.stdout.readline())["taken"]
                books = self._fetch(self.upstreams_port)
                service = self._fetch(self.service_port)
                crashes = self.processes.crashes()
            return self._result(report, books, service, memory, crashes)

    def _start_helper(self, *arguments: str) -> Any:
        return self.stack.enter_context(helper_process(*arguments))

    def _stand_ins(self) -> None:
        scenario = self.scenario
        plan = dict(scenario.upstream_plan)
        if scenario.cold:
            plan["fresh"] = plan.get("nodos", 12)
        self.upstreams = self._start_helper("standins.fleet", json.dumps(plan))
        announced = json.loads(self.upstreams.stdout.readline())
        self.upstreams_port = announced["port"]
        self.hosts: list[dict[str, Any]] = announced["list"]["hosts"]
        self.service = self._start_helper("standins.listservice", json.dumps(scenario.service))
        self.service_port = json.loads(self.service.stdout.readline())["port"]
        self._tell(self.service, {"hosts": self._rows()})

    def _rows(self) -> list[dict[str, Any]]:
        """The list as the service has it."""
        ghost = self.hosts[0] | {"health": "draining"}
        return self.hosts + [ghost | {"host": f"ghost{n}"} for n in range(self.scenario.padding)]

    @staticmethod
    def _tell(process: Any, what: dict[str, Any]) -> None:
        process.stdin.write(json.dumps(what).encode() + b"\n")
        process.stdin.flush()

    def _fault_proxy(self) -> None:
        """Every balancer's own link to the list service, under its own address there."""
        rows = self._links()
        self.proxy = self._start_helper("rig.fault_proxy")
        plan = {"script": self.scenario.faults, "groups": self.groups, "seed": self.scenario.seed}
        self._tell(self.proxy, plan | {"links": rows})
        self.proxy_ports = json.loads(self.proxy.stdout.readline())["ports"]
        self.affected_links = sum(self.script.affects(Link(row[0], row[1])) for row in rows)

    def _links(self) -> list[Any]:
        service = ["127.0.0.1", self.service_port]
        return [
            [f"nodes[{n}]", "lists[0]", "tcp", [balancer_address(n), 0], service, balancer_address(n)]
            for n in range(self.scenario.balancers)
        ]

    def _config(self, number: int, life: int = 0) -> dict[str, Any]:
        scenario = self.scenario
        table = config(0, 0, self._known())
        table["listen"] = f"{balancer_address(number)}:{self.ports[number]}"
        table["discovery"] = f"{balancer_address(number)}:{self.proxy_ports[number]}"
        table["name"] = "n" if scenario.names == "one" else f"n{number}"
        own = 7 if scenario.names == "one" else scenario.seed * 1_000_003 + number * 101 + life
        table["seed"] = f"{own:x}"
        mode = "automatic" if scenario.automatic else "subscribe"
        table["settings"] |= {"nInstances": scenario.balancers, "registryMode": mode} | scenario.settings
        return table

    def _known(self) -> dict[str, Any]:
        if self.scenario.known == "nothing":
            return {"seq": 0, "whole": True, "hosts": []}
        return {"seq": 1, "whole": True, "hosts": self.hosts}

    def _balancers(self) -> None:
        scenario = self.scenario
        self.ports = [free_port_at(balancer_address(n)) for n in range(scenario.balancers)]
        balancers = []
        for n in range(scenario.balancers):
            path = self.folder / f"n{n}.json"
            path.write_text(json.dumps(self._config(n)))
            arguments: tuple[str, ...] = ()
            if scenario.operator:
                operator = self.folder / f"n{n}.toml"
                operator.write_text(scenario.operator.replace("{folder}", str(self.folder / f"n{n}")))
                arguments = ("serve", "--operator", str(operator))
            environment = {"EDGE_CONFIG": str(path)}
            balancers.append(
                Process(f"n{n}", environment, self.folder / f"n{n}.log", scenario.checkout, arguments)
            )
        self.processes = ProcessGroup(balancers)

    def _clients(self) -> None:
        scenario, rng = self.scenario, random.Random(self.scenario.seed)
        rows = [[balancer_address(n), self.ports[n], self._weight(n, rng)] for n in range(scenario.balancers)]
        self.clients = self._start_helper("rig.clients")
        plan = {"balancers": rows, "rate": scenario.rate, "seconds": scenario.seconds, "seed": scenario.seed}
        self._tell(self.clients, plan)
        self.clients.stdout.readline()

    def _weight(self, number: int, rng: random.Random) -> float:
        """A balancer's part of the clients' requests."""
        return rng.lognormvariate(0.0, self.scenario.weights)

    # ---- playing

    def _begin(self, at: float) -> None:
        """Tell all helpers when the release is."""
        for process in (self.service, self.proxy, self.clients):
            self._tell(process, {"begin": at})

    def _release(self) -> None:
        begin = time.monotonic() + SETTLE_S
        if self.scenario.upstream_plan.get(
            "trouble"
        ):  # its times count from here, a moment before the release
            self.upstreams.stdin.write(b"go\n")
            self.upstreams.stdin.flush()
        if self.scenario.cold:
            self.upstreams.stdin.write(b"go\n")
            self.upstreams.stdin.flush()
            self.hosts = self._reborn()
            self._tell(self.service, {"hosts": self._rows()})
        self._begin(begin)
        time.sleep(max(0.0, begin - time.monotonic()))
        self.began = begin
        for one in self.processes.members:
            self._note_start(one, 0.0)
        self.processes.release()
        self.say("release", balancers=self.scenario.balancers, links_with_faults=self.affected_links)

    def _reborn(self) -> list[dict[str, Any]]:
        """The list, once all upstreams have started anew."""
        until = time.monotonic() + 5.0
        while True:
            hosts: list[dict[str, Any]] = self._get(self.upstreams_port, "/catalog/members")["hosts"]
            if all(row["born_ms"] for row in hosts) or time.monotonic() > until:
                return hosts
            time.sleep(0.02)

    def _carry_out(self) -> None:
        """Events, and starts again, each at its moment."""
        agenda: list[tuple[float, str, frozenset[str], ProcessEvent]] = [
            (event.at, event.what, event.who, event) for event in self.events
        ]
        while agenda:
            agenda.sort(key=lambda row: row[0])
            at, what, who, event = agenda.pop(0)
            time.sleep(max(0.0, self.began + at - time.monotonic()))
            chosen = [one for one in self.processes.members if f"nodes[{one.name[1:]}]" in who]
            if what == "start":
                for one in chosen:
                    self._again(one)
            elif what == "loop":
                self._loop(chosen)
                if at + event.every < event.until:
                    agenda.append((at + event.every, "loop", who, event))
            elif what == "move":
                self._move(chosen)
            else:
                self._signal(chosen, what)
                if event.back >= 0:
                    agenda.append((at + event.back, "start", who, event))
            self.say(what, to=sorted(one.name for one in chosen)[:20], number=len(chosen))

    def _again(self, one: Process) -> None:
        if one.running is not None:
            one.running.wait(10)
        number = int(one.name[1:])
        (self.folder / f"{one.name}.json").write_text(json.dumps(self._config(number, one.start_count)))
        self.begun.append((number, time.monotonic()))
        one.start_to_barrier()
        self._note_start(one, time.monotonic() - self.began)
        one.release()

    def _note_start(self, one: Process, released_s: float) -> None:
        """Keep what the configuration says that it starts with."""
        table = json.loads((self.folder / f"{one.name}.json").read_text())
        start = Start(int(one.name[1:]), table["name"], table["listen"], int(table["seed"], 16), released_s)
        self.starts.append(start)

    def _signal(self, chosen: list[Process], what: str) -> None:
        for one in chosen:
            if what == "kill":
                self.kills.append((int(one.name[1:]), time.monotonic()))
            one.signal(what)

    def _loop(self, chosen: list[Process]) -> None:
        self._signal(chosen, "kill")
        for one in chosen:
            self._again(one)

    def _move(self, chosen: list[Process]) -> None:
        """The same service by another address: a new configuration, then SIGHUP."""
        for one in chosen:
            path = self.folder / f"{one.name}.json"
            table = json.loads(path.read_text())
            table["discovery"] = f"127.0.0.1:{self.service_port}"
            path.write_text(json.dumps(table))
        for one in chosen:
            one.signal("hup")

    # ---- what it came to

    def _get(self, port: int, path: str) -> Any:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=30) as answer:
            return json.loads(answer.read())

    def _fetch(self, port: int) -> Any:
        try:
            return self._get(port, "/books")
        except OSError:
            return {}

    def _killed(self, lost: list[Any]) -> set[str]:
        """Tries that ended with the process that had taken them, killed outright: nobody can answer these.

        Their connections were made before its next life began, and ended soon after the kill. Not before the
        kill: one that gets SIGTERM takes connections until it has, and a busy client notes them late.
        """
        return {
            identity
            for identity, where, made, ended in lost
            if any(
                one == where and made < self._next_life(one, at) and at < ended < at + KILLED_S
                for one, at in self.kills
            )
        }

    def _next_life(self, number: int, after: float) -> float:
        return min((at for one, at in self.begun if one == number and at > after), default=math.inf)

    def _by_second(self, rows: list[Any]) -> list[int]:
        """What an upstream was sent in each second from the release on."""
        counts = Counter(int(row[0] - self.began) for row in rows)
        return [counts[second] for second in range(int(self.scenario.seconds))]

    def _calls_by_balancer(self) -> dict[int, list[float]]:
        """When each balancer called the list service through the proxy, in seconds from the release."""
        calls: dict[int, list[float]] = {number: [] for number in range(self.scenario.balancers)}
        for at, number in sorted(self.taken):
            calls[int(number)].append(at - self.began)
        return calls

    def _result(
        self, report: dict[str, Any], books: Any, service: Any, memory: float, crashes: list[str]
    ) -> dict[str, Any]:
        if not report or not books:
            raise RuntimeError("the clients or the upstreams gave no books")
        killed = self._killed(report["lost"])
        tries = [
            (i, name, "killed" if end == LOST and i in killed else end) for i, name, end in report["book"]
        ]
        verdict = check_rules(books, tries, DEFAULT_CLASSES, report["twice"])
        # Calls that found nobody are in the proxy's book alone, those past the proxy in the service's.
        direct = [row for row in service.get("calls", ()) if row[1] == "127.0.0.1"]
        calls = sorted(row[0] - self.began for row in [*self.taken, *direct])
        per = Counter(number for _, number in self.taken)
        answers = service.get("answers", ())
        times = [at for at in report["taken_in_s"] if at is not None]
        return {
            "balancers": self.scenario.balancers,
            "serving": len(times),
            "all_after_s": max(times, default=0.0),
            "taken_in_s": report["taken_in_s"],
            "calls": len(calls),
            "calls_s": [round(at, 3) for at in calls],
            "starts": self.starts,
            "calls_by_balancer": self._calls_by_balancer(),
            "most_1s": most_in(calls, 1.0),
            "most_100ms": most_in(calls, 0.1),
            "most_of_one": max(per.values(), default=0),
            "answered": sum(row[2] == "answered" for row in answers),
            "for_nobody": sum(row[2] == "for nobody" for row in answers),
            "turned_away": sum(row[2] == "turned away" for row in answers),
            "bytes": service.get("bytes", 0),
            "ends": report["ends"],
            "latency_ms": report["latency_ms"],
            "late_ms": report["late_ms"],
            "goodput": report["goodput"],
            "seconds": report["seconds"],
            "sends": {name: self._by_second(rows) for name, rows in books["arrivals"].items()},
            "rules": verdict["rules"],
            "kept": verdict["kept"] and not crashes,
            "cold": verdict["cold"],
            "crashes": crashes[:10],
            "memory_mb": round(memory, 1),
            "done": self.done,
        }


def most_in(times: list[float], span: float) -> int:
    """The most of sorted moments within any such span."""
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] < at - span:
            first += 1
        most = max(most, last - first + 1)
    return most


def free_port_at(host: str) -> int:
    import socket

    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


def play(scenario: Scenario, log: IO[str] | None = None) -> dict[str, Any]:
    """One scenario, from its processes' start to their end; TooManyError where the machine can't bear it."""
    why = capacity.refusal(capacity.read_machine(), scenario.balancers, scenario.rate)
    if why:
        raise TooManyError(why)
    with tempfile.TemporaryDirectory(prefix="quartzford-rig-") as folder:
        return Run(scenario, Path(folder), log).play()


__all__ = ["ProcessEvent", "Run", "Scenario", "TooManyError", "free_port", "play", "read_events"]
