"""Plays soaks: python -m rig.soak.run --seeds 1-50 [--seconds 20] [--replay FILE] [--print-plan].

Each seed prints one line of JSON. The exit status is 1 if a rule was broken.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from rig.processes import helper_process, receive_json, send_json
from rig.soak.balancer import Balancer
from rig.soak.clients import End
from rig.soak.core_claim import claimed_core
from rig.soak.plan import SoakPlan, make_plan
from rig.soak.verdict import Observations, Verdict, judge

SECONDS = 20.0
HELPER_END_S = 15.0  # from the end of a helper's part to its last line
BUSY_PROGRAM = "while True: pass"


@contextlib.contextmanager
def busy_process(core: int) -> Iterator[None]:
    """Keep one core busy beside the balancer."""
    process = subprocess.Popen([sys.executable, "-c", BUSY_PROGRAM])
    os.sched_setaffinity(process.pid, {core})
    try:
        yield
    finally:
        process.kill()
        process.wait()


def finish(process: subprocess.Popen[bytes]) -> Any:
    """End a helper's input, and return what it prints then."""
    assert process.stdin is not None
    process.stdin.close()
    process.stdin = None
    return receive_within(process, HELPER_END_S)


def receive_within(process: subprocess.Popen[bytes], seconds: float) -> Any:
    """Return a helper's next line of JSON; None if it has not come in time, and then end the helper."""
    timer = threading.Timer(seconds, process.kill)
    timer.start()
    try:
        return receive_json(process)
    finally:
        timer.cancel()


class HostileProcesses:
    """Starts the crowds and floods of a plan when they are due."""

    def __init__(self, plan: SoakPlan, port: int) -> None:
        self.plan, self.port = plan, port
        self.processes: list[subprocess.Popen[bytes]] = []

    def play(self, begin: float) -> None:
        """Start them all, counted from `begin` on the monotonic clock."""
        orders = [(crowd.begin_s, crowd.end_s, crowd.kind, crowd.connections) for crowd in self.plan.crowds]
        for flood in self.plan.floods:
            orders += [(flood.begin_s, flood.end_s, flood.kind, 1)] * flood.processes
        for number, (begin_s, end_s, kind, connections) in enumerate(sorted(orders)):
            time.sleep(max(0.0, begin + begin_s - time.monotonic()))
            self._start(kind, connections, end_s - begin_s, number)

    def _start(self, kind: str, connections: int, seconds: float, number: int) -> None:
        command = [sys.executable, "-m", "rig.soak.hostile"]
        process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.processes.append(process)
        order = {"kind": kind, "connections": connections, "port": self.port, "seconds": seconds}
        send_json(process, {**order, "seed": self.plan.seed * 100 + number})

    def finish(self) -> int:
        """Wait for them all; return how many unsound requests were answered 200."""
        served = 0
        for process in self.processes:
            served += (receive_within(process, HELPER_END_S) or {}).get("served_unsound", 0)
            process.kill()
            process.wait()
        return served


def play(plan: SoakPlan, folder: Path, core: int | None = None) -> Verdict:
    """Play one plan and return the verdict; logs are left in the folder.

    core: the one that the balancer shares with a busy process if the plan says so; None: one that no other
    soak holds.
    """
    with contextlib.ExitStack() as stack:
        shared_core = stack.enter_context(claimed_core()) if core is None else core
        upstreams = stack.enter_context(helper_process("rig.soak.upstreams"))
        send_json(upstreams, plan.to_table())
        site = receive_json(upstreams)
        balancer = stack.enter_context(Balancer(plan, site["discovery"], site["known"], folder, shared_core))
        if plan.shares_core:
            stack.enter_context(busy_process(shared_core))
        balancer.start()
        clients = stack.enter_context(helper_process("rig.soak.clients"))
        send_json(clients, {"plan": plan.to_table(), "port": balancer.port})
        begin = time.monotonic()
        hostile = HostileProcesses(plan, balancer.port)
        threads = [
            threading.Thread(target=player, args=(begin,)) for player in (hostile.play, balancer.play_signals)
        ]
        for thread in threads:
            thread.start()
        time.sleep(plan.seconds)
        for thread in threads:
            thread.join()
        served_unsound = hostile.finish()
        balancer.note_ends()
        result = finish(clients)
        ends = [End(*row) for row in result["ends"]]
        faults = balancer.faults + result["failed"]
        journal = finish(upstreams)
        seen = Observations(ends, journal, balancer.interruptions, faults, balancer.peaks, served_unsound)
    return judge(plan, seen)


def play_and_print(plan: SoakPlan, logs: Path | None, core: int | None) -> bool:
    """Play one plan, print its line, and return whether all rules held. logs: where to keep the logs."""
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="soak-")))
        if logs is not None:
            folder = logs / f"seed-{plan.seed}"
            folder.mkdir(parents=True, exist_ok=True)
        verdict = play(plan, folder, core)
    print(json.dumps({"seed": plan.seed, **verdict._asdict()}), flush=True)
    return not verdict.broken


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of "3", "1-50" or "1,4,9"."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def main() -> int:
    """Play the plans that the command line names."""
    parser = argparse.ArgumentParser(prog="python -m rig.soak.run")
    parser.add_argument("--seeds", type=parse_seeds, default=[1])
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--replay", type=Path, metavar="FILE", help="a plan that --print-plan has printed")
    parser.add_argument("--print-plan", action="store_true")
    parser.add_argument("--logs", type=Path, metavar="FOLDER")
    parser.add_argument("--core", type=int, help="for plans that share a core; by default one that is free")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # ends the processes of the soak, too
    plans = [make_plan(seed, options.seconds) for seed in options.seeds]
    if options.replay is not None:
        plans = [SoakPlan.from_table(json.loads(options.replay.read_text()))]
    if options.print_plan:
        for plan in plans:
            print(json.dumps(plan.to_table()))
        return 0
    held = [play_and_print(plan, options.logs, options.core) for plan in plans]
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
