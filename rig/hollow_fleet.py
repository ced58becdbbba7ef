"""Hollow balancers over several processes: started, released, cut off and read together."""

from __future__ import annotations

import json
import subprocess
from contextlib import ExitStack
from typing import Any, NamedTuple

from rig.processes import helper_process


class HollowProcess(NamedTuple):
    """A process, and the numbers of its first balancer and the one behind its last."""

    process: subprocess.Popen[bytes]
    first: int
    last: int


class HollowReading(NamedTuple):
    """What all hollow balancers had done at a moment, in the order of their numbers.

    sides: calls, bytes in, bytes out up to then; heard and in_force: moments and versions since the last.
    """

    sides: list[tuple[int, int, int]]
    heard: list[list[tuple[float, int]]]
    in_force: list[list[tuple[float, int]]]
    cpu_s: float
    rss_mb: float
    stall_s: float


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
                self.processes.append(
                    HollowProcess(stack.enter_context(helper_process("rig.hollow")), begin, end)
                )
        for share in self.processes:
            self._send_command(share, plan | {"first": share.first, "count": share.last - share.first})
        for share in self.processes:
            self._read_reply(share)

    @staticmethod
    def _send_command(share: HollowProcess, what: dict[str, Any]) -> None:
        assert share.process.stdin is not None
        share.process.stdin.write(json.dumps(what).encode() + b"\n")
        share.process.stdin.flush()

    @staticmethod
    def _read_reply(share: HollowProcess) -> dict[str, Any]:
        assert share.process.stdout is not None
        line = share.process.stdout.readline()
        if not line:
            raise RuntimeError(f"hollow balancers {share.first} to {share.last - 1} have ended")
        told: dict[str, Any] = json.loads(line)
        return told

    def begin(self, at: float) -> None:
        """All begin at that moment."""
        for share in self.processes:
            self._send_command(share, {"begin": at})

    def cut(self, first: int, last: int, until: float) -> None:
        """Cut balancers off from everything, by their numbers in the fleet."""
        for share in self.processes:
            self._send_command(share, {"cut": [first, last], "until": until})

    def read(self) -> HollowReading:
        """What all have done; the processes are asked together."""
        for share in self.processes:
            self._send_command(share, {"read": 1})
        answers = [self._read_reply(share) for share in self.processes]
        sides = [side for answer in answers for side in answer["sides"]]
        return HollowReading(
            [(side[0], side[1], side[2]) for side in sides],
            [side[3] for side in sides],
            [side[4] for side in sides],
            sum(answer["cpu_s"] for answer in answers),
            sum(answer["rss_mb"] for answer in answers),
            max((answer["stall_s"] for answer in answers), default=0.0),
        )

    def pids(self) -> list[int]:
        """Of the processes."""
        return [share.process.pid for share in self.processes]
