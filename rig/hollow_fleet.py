"""Hollow balancers over several processes: started, released, cut off and read together."""

from __future__ import annotations

import subprocess
from contextlib import ExitStack
from typing import Any, NamedTuple

from rig.meter import Counts, VersionTime
from rig.processes import helper_process, receive_json, send_json


class HollowProcess(NamedTuple):
    """A process, and the numbers of its first balancer and the one behind its last."""

    process: subprocess.Popen[bytes]
    first: int
    last: int

    def read_reply(self) -> dict[str, Any]:
        """Read the reply to one command; RuntimeError if the process has ended."""
        reply: dict[str, Any] | None = receive_json(self.process)
        if reply is None:
            raise RuntimeError(f"hollow balancers {self.first} to {self.last - 1} have ended")
        return reply


class HollowReading(NamedTuple):
    """What all hollow balancers have done, in the order of their numbers.

    counts: up to this reading; received and applied: versions since the reading before. cpu_s and rss_mb are
    sums over the processes, stall_s is the longest delay of an event loop in seconds.
    """

    counts: list[Counts]
    received: list[list[VersionTime]]
    applied: list[list[VersionTime]]
    cpu_s: float
    rss_mb: float
    stall_s: float


def _versions(rows: list[list[Any]]) -> list[VersionTime]:
    return [VersionTime(at, version) for at, version in rows]


class HollowFleet:
    """All hollow balancers of a run. plan: as rig.hollow takes it, without first and count."""

    def __init__(
        self, first: int, count: int, processes: int, plan: dict[str, Any], stack: ExitStack
    ) -> None:
        self.count = count
        self.processes: list[HollowProcess] = []
        for n in range(processes if count else 0):
            begin, end = (first + count * k // processes for k in (n, n + 1))
            if end > begin:
                process = stack.enter_context(helper_process("rig.hollow"))
                self.processes.append(HollowProcess(process, begin, end))
        for one in self.processes:
            send_json(one.process, plan | {"first": one.first, "count": one.last - one.first})
        for one in self.processes:
            one.read_reply()

    def begin(self, at: float) -> None:
        """Start all of them at that time of the monotonic clock."""
        for one in self.processes:
            send_json(one.process, {"begin": at})

    def cut(self, first: int, last: int, until: float) -> None:
        """Cut balancers off from everything, by their numbers in the fleet."""
        for one in self.processes:
            send_json(one.process, {"cut": [first, last], "until": until})

    def read(self) -> HollowReading:
        """Return what all have done; the processes are read at the same time."""
        for one in self.processes:
            send_json(one.process, {"read": 1})
        replies = [one.read_reply() for one in self.processes]
        sides = [side for reply in replies for side in reply["sides"]]
        return HollowReading(
            counts=[Counts(calls, bytes_in, bytes_out) for calls, bytes_in, bytes_out, _, _ in sides],
            received=[_versions(received) for _, _, _, received, _ in sides],
            applied=[_versions(applied) for _, _, _, _, applied in sides],
            cpu_s=sum(reply["cpu_s"] for reply in replies),
            rss_mb=sum(reply["rss_mb"] for reply in replies),
            stall_s=max((reply["stall_s"] for reply in replies), default=0.0),
        )

    def pids(self) -> list[int]:
        """Return the process identifiers."""
        return [one.process.pid for one in self.processes]
