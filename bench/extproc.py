"""The external processor under load: python -m bench.extproc [--quick] [--rate 2600] [--json FILE].

Stand-in calling proxies query it for each attempt at an open-loop rate and send to stand-in upstreams, which
die, drain, fall silent and come back cold meanwhile; a part of the callers' streams is dropped on the way.
All peers log on the machine's one monotonic clock, and the four rules are checked on these records alone
(bench.extproc_figures).
"""

from __future__ import annotations

import argparse
import json
import multiprocessing as mp
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from bench.common import ROOT, children, cpu_seconds, report
from bench.extproc_figures import Cores, Run, figures
from bench.extproc_processes import CALLER, FLEET, HOG, WARM_UP_S, Plan, process_main
from standins.site import config, reserved_port

LEAD_S = 2.0  # from the last process's start to the first arrival
WORKERS_START_S = 1.0  # from the first worker's readiness to that of all
POLL_S = 0.05
END_TIMEOUT_S, PROCESS_TIMEOUT_S = 20.0, 5.0
READY = b"listening on port"
MAX_STREAMS = 20_000
SECONDS, QUICK_SECONDS = 30.0, 10.0
UPSTREAMS = (24, 97)


class Processes:
    """Processes of bench.extproc_processes; ended with the block."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.context = mp.get_context("spawn")
        self.started: list[Any] = []

    def __enter__(self) -> Processes:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.started:
            process.join(PROCESS_TIMEOUT_S)
            if process.is_alive():
                process.terminate()

    def start(self, kind: str, *arguments: Any) -> Connection:
        """Start a process of a kind; the pipe to it."""
        ours, theirs = self.context.Pipe()
        process = self.context.Process(
            target=process_main, args=(kind, self.plan, theirs, *arguments), daemon=True
        )
        process.start()
        self.started.append(process)
        return ours


def operator_settings(port: int, workers: int) -> str:
    """The operator's file of a balancer whose external processor listens at a port."""
    return (
        f'config = "balancer.json"\n[extproc]\nlisten = "127.0.0.1:{port}"\nworkers = {workers}\n'
        f'cookie = "sid"\nmost_streams = {MAX_STREAMS}\n'
    )


class Balancer:
    """A balancer's process and its log."""

    def __init__(self, folder: Path, operator: Path) -> None:
        self.log_path = folder / "log"
        environment = {name: value for name, value in os.environ.items() if name != "EDGE_CONFIG"}
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "quartzford", "serve", "--operator", str(operator)],
                cwd=ROOT,
                env=environment,
                stderr=log,
            )

    def wait_until_ready(self) -> None:
        """Wait until it listens. RuntimeError: it has ended; the text is its log."""
        while READY not in self.log_path.read_bytes():
            time.sleep(POLL_S)
            if self.process.poll() is not None:
                raise RuntimeError(self.log_path.read_text())
        time.sleep(WORKERS_START_S)

    def cores(self, seconds: float) -> Cores:
        """The cores that its processes use over so many seconds from now on."""
        pids = [self.process.pid, *children(self.process.pid)]
        before, begun = [cpu_seconds(pid) for pid in pids], time.monotonic()
        time.sleep(seconds)
        spent = [cpu_seconds(pid) - start for pid, start in zip(pids, before, strict=True)]
        elapsed = time.monotonic() - begun
        decider, *workers = (used / elapsed for used in spent)
        return Cores(decider, workers)

    def stop(self) -> int:
        """Ask it to end; its exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(END_TIMEOUT_S)


@contextmanager
def running_balancer(plan: Plan, port: int, discovery: int, known: Any) -> Iterator[Balancer]:
    """A balancer with an external processor at a port; killed if it outlives the block.

    discovery: the list service's port; known: the list that the balancer starts with.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "balancer.json").write_text(json.dumps(config(reserved_port(), discovery, known)))
        operator = folder / "operator.toml"
        operator.write_text(operator_settings(port, plan.workers))
        balancer = Balancer(folder, operator)
        try:
            balancer.wait_until_ready()
            yield balancer
        finally:
            if balancer.process.poll() is None:
                balancer.process.kill()


def play(plan: Plan) -> dict[str, Any]:
    """Play a plan; its figures."""
    with Processes(plan) as processes:
        fleet = processes.start(FLEET)
        discovery, known = fleet.recv()
        port = reserved_port()
        with running_balancer(plan, port, discovery, known) as balancer:
            hogs = [processes.start(HOG) for _ in range(plan.hogs)]
            start = time.monotonic() + LEAD_S
            target = f"127.0.0.1:{port}"
            callers = [processes.start(CALLER, number, target, start) for number in range(plan.callers)]
            since = start + WARM_UP_S
            time.sleep(max(0.0, since - time.monotonic()))
            fleet.send("go")
            cores = balancer.cores(plan.seconds)
            results = [caller.recv() for caller in callers]
            for hog in hogs:
                hog.send("stop")
            fleet.send("stop")
            journal = fleet.recv()
            status = balancer.stop()
            log = balancer.log_path.read_text()
    return figures(Run(plan, since, results, journal, cores, status, log))


def show(result: dict[str, Any]) -> None:
    """Print a result."""
    show_load(result)
    print(f"  cold lives {result['cold']}")
    print(
        f"  after a drain was told: latest decision read {result['latest_decision_read_after_drain_ms']} ms,"
        f" latest send {result['latest_send_after_drain_ms']} ms; of the breaches, decisions read too late:"
        f" {result['drain_breaches_read_late']}"
    )
    print(
        f"  from the ask's writing to the decision's reading {result['answer_ms']},"
        f" from there to the send {result['caller_ms']}"
    )
    print(
        f"  decisions given back: unwritten by the workers {result['written_too_late']},"
        f" unsent by the callers {result['expired_unsent']}"
    )
    print(f"  not served, and why: {result['reasons']}")
    for name, count in result["rules"].items():
        print(f"  {name}: {count}")
    for line in result["log"]:
        print(f"  log: {line}")


def show_load(result: dict[str, Any]) -> None:
    """Print the plan of a result, its rates, times and answers."""
    plan = result["plan"]
    print(
        f"\n{plan['nodos']} nodos, {plan['workers']} workers, {plan['callers']} callers, asked for"
        f" {plan['rate']:.0f}/s for {plan['seconds']:.0f} s, {100 * plan['drops']:.0f}% of streams dropped,"
        f" {result['faults']} faults, {'two hops' if plan['opener'] else 'one stream an attempt'},"
        f" callers {'keep' if plan['honours'] else 'do not keep'} to the end of validity, {plan['hogs']} hogs"
    )
    print(f"  rate {result['rate']}/s, attempts a request {result['attempts_per_request']}")
    print(f"  the callers' generators were late by {result['generator_late_p99_ms']} ms (p99)")
    for name in ("decision_ms", "added_ms"):
        print(f"  {name} from the intended send: {result[name]}")
    print(f"  cores: {result['cores']}, of the callers {result['caller_cores']}")
    for name, row in result["classes"].items():
        print(f"  {name}: {row['asked']} asked, answers {row['answers']}")


def read_options() -> argparse.Namespace:
    """The command line's options."""
    parser = argparse.ArgumentParser(prog="python -m bench.extproc")
    parser.add_argument("--quick", action="store_true", help="shorter runs: under 50 s in all")
    parser.add_argument("--rate", type=float, default=2600.0)
    parser.add_argument("--nodos", type=int, action="append", help="fleet size; may be given more than once")
    parser.add_argument("--seconds", type=float)
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument("--callers", type=int, default=4)
    parser.add_argument("--two-hops", action="store_true", help="a stream opens each request beforehand")
    parser.add_argument("--honours", action="store_true", help="callers keep to the end of validity")
    parser.add_argument("--hogs", type=int, default=0, help="processes that take the machine's time")
    parser.add_argument("--drops", type=float, default=0.05)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", metavar="FILE")
    return parser.parse_args()


def plan_of(options: argparse.Namespace, upstreams: int) -> Plan:
    """The plan of the options at a fleet size."""
    return Plan(
        upstreams=upstreams,
        rate=options.rate,
        seconds=options.seconds or (QUICK_SECONDS if options.quick else SECONDS),
        workers=options.workers,
        callers=options.callers,
        opener=options.two_hops,
        drops=options.drops,
        seed=options.seed,
        honours=options.honours,
        hogs=options.hogs,
    )


def main() -> int:
    """Play, print and report; the exit status is 1 where a rule was broken."""
    options = read_options()
    results = []
    for upstreams in options.nodos or UPSTREAMS:
        results.append(play(plan_of(options, upstreams)))
        show(results[-1])
    report({"runs": results}, options.json)
    return 0 if all(result["kept"] for result in results) else 1


if __name__ == "__main__":
    sys.exit(main())
