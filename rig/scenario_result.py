"""What a scenario came to: its timeline, and the figures worked out from what its processes reported."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from quartzford.load.clients import DEFAULT_CLASSES, LOST
from quartzford.load.reconciliation import check_rules

KILL_NOTICE_S = 3.0  # so soon after a kill the ends of its connections are noticed, also on a busy machine
KILLED = "killed"  # outcome of an attempt that ended with a process that got SIGKILL
MAX_CRASHES = 10  # in a result
DIRECT_CALLER = "127.0.0.1"  # of the list service, past the fault proxy


class Start(NamedTuple):
    """One start of a balancer: what its random draws come from, and when it passed the start barrier."""

    number: int
    name: str
    listen: str
    seed: int
    released_s: float  # from the release of all


class ProcessTime(NamedTuple):
    """When something happened to a balancer, by its number, on the monotonic clock in seconds."""

    number: int
    at: float


class ProxyConnection(NamedTuple):
    """A connection that the fault proxy accepted: when, and by which link."""

    at: float
    link: int


@dataclass
class Timeline:
    """When a run's processes were released, killed and started again, on the monotonic clock in seconds."""

    released_at: float = 0.0
    kills: list[ProcessTime] = field(default_factory=list)
    restarts: list[ProcessTime] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    connections: list[ProxyConnection] = field(default_factory=list)

    def _next_restart(self, number: int, after: float) -> float:
        times = (one.at for one in self.restarts if one.number == number and one.at > after)
        return min(times, default=math.inf)

    def _ended_by_kill(self, number: int, made: float, ended: float) -> bool:
        return any(
            kill.number == number
            and made < self._next_restart(number, kill.at)
            and kill.at < ended < kill.at + KILL_NOTICE_S
            for kill in self.kills
        )

    def killed_attempts(self, lost: Iterable[tuple[str, int, float, float]]) -> set[str]:
        """Return the attempts that ended with a process that was killed outright: nobody can answer these.

        lost: identity, balancer, when its connection was made and when it ended. The connection was made
        before the balancer's next start and ended soon after the kill. It may have been noted as made after
        the kill: a process accepts connections until its end, and a busy client notes them late.
        """
        return {
            identity for identity, number, made, ended in lost if self._ended_by_kill(number, made, ended)
        }

    def calls_by_balancer(self, balancers: int) -> dict[int, list[float]]:
        """Return each balancer's calls of the list service by the proxy, in seconds from the release."""
        calls: dict[int, list[float]] = {number: [] for number in range(balancers)}
        for connection in sorted(self.connections):
            calls[int(connection.link)].append(connection.at - self.released_at)
        return calls

    def by_second(self, times: Iterable[float], seconds: int) -> list[int]:
        """Count times on the monotonic clock by the second from the release on."""
        counts = Counter(int(at - self.released_at) for at in times)
        return [counts[second] for second in range(seconds)]


class Reports(NamedTuple):
    """What the processes of a run reported at its end.

    clients: of rig.clients; upstreams: of standins.fleet; service: of standins.listservice. memory_mb: of the
    largest balancer. crashes: one line for each process that ended unexpectedly.
    """

    clients: dict[str, Any]
    upstreams: dict[str, Any]
    service: dict[str, Any]
    memory_mb: float
    crashes: list[str]


def most_in(times: list[float], span: float) -> int:
    """Return the largest number of sorted times within any span of that length."""
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] < at - span:
            first += 1
        most = max(most, last - first + 1)
    return most


def _call_figures(timeline: Timeline, service: dict[str, Any], balancers: int) -> dict[str, Any]:
    # The service does not see calls that reached nobody, and the proxy none that went past it.
    direct = [row for row in service.get("calls", ()) if row[1] == DIRECT_CALLER]
    calls = sorted(row[0] - timeline.released_at for row in [*timeline.connections, *direct])
    by_link = Counter(connection.link for connection in timeline.connections)
    return {
        "calls": len(calls),
        "calls_s": [round(at, 3) for at in calls],
        "starts": timeline.starts,
        "calls_by_balancer": timeline.calls_by_balancer(balancers),
        "most_1s": most_in(calls, 1.0),
        "most_100ms": most_in(calls, 0.1),
        "most_of_one": max(by_link.values(), default=0),
    }


def _answer_figures(service: dict[str, Any]) -> dict[str, Any]:
    answers = service.get("answers", ())
    return {
        "answered": sum(row[2] == "answered" for row in answers),
        "for_nobody": sum(row[2] == "for nobody" for row in answers),
        "turned_away": sum(row[2] == "turned away" for row in answers),
        "bytes": service.get("bytes", 0),
    }


def _request_figures(clients: dict[str, Any]) -> dict[str, Any]:
    return {name: clients[name] for name in ("ends", "latency_ms", "late_ms", "goodput", "seconds")}


def _rule_figures(timeline: Timeline, reports: Reports) -> dict[str, Any]:
    clients = reports.clients
    killed = timeline.killed_attempts(clients["lost"])
    attempts = [
        (identity, name, KILLED if end == LOST and identity in killed else end)
        for identity, name, end in clients["book"]
    ]
    verdict = check_rules(reports.upstreams, attempts, DEFAULT_CLASSES, clients["twice"])
    return {
        "rules": verdict["rules"],
        "kept": verdict["kept"] and not reports.crashes,
        "cold": verdict["cold"],
        "crashes": reports.crashes[:MAX_CRASHES],
    }


def scenario_result(balancers: int, seconds: float, timeline: Timeline, reports: Reports) -> dict[str, Any]:
    """Work out a run's figures; RuntimeError if the clients or the upstreams reported nothing.

    Times with the suffix `_s` are seconds from the release. `taken_in_s` is, for each balancer, when the
    clients first sent to it; `sends` counts what each upstream was sent, by the second.
    """
    if not reports.clients or not reports.upstreams:
        raise RuntimeError("the clients or the upstreams gave no books")
    serving = [at for at in reports.clients["taken_in_s"] if at is not None]
    arrivals = reports.upstreams["arrivals"].items()
    return {
        "balancers": balancers,
        "serving": len(serving),
        "all_after_s": max(serving, default=0.0),
        "taken_in_s": reports.clients["taken_in_s"],
        **_call_figures(timeline, reports.service, balancers),
        **_answer_figures(reports.service),
        **_request_figures(reports.clients),
        "sends": {
            name: timeline.by_second((row[0] for row in rows), int(seconds)) for name, rows in arrivals
        },
        **_rule_figures(timeline, reports),
        "memory_mb": round(reports.memory_mb, 1),
    }
