"""`quartzford demo`: a balancer, twelve stand-in upstreams, a surge of requests, and the report.

All of it is on loopback. During the surge one upstream dies, one is drained and one stops answering; each
comes back in slow start. The report compares what the clients saw with what the upstreams saw. The exit
status is 0 only if no rule was broken and the measurements can be relied on.
"""

from __future__ import annotations

import argparse
import importlib.util
import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from quartzford.load.cli import EXIT_USAGE, exit_status, fetch_account, reconcile, write_result
from quartzford.load.cli_options import UsageError
from quartzford.load.options import LoadOptions, Target
from quartzford.load.result import show
from quartzford.load.run import play
from quartzford.load.worker import Progress

HOST = "127.0.0.1"
UPSTREAMS = 12
CAPACITY = 90.0  # of each upstream, in requests a second
SHAPE = "constant:300+surge:650@{at:g}+{span:g}"
SURGE_AT, SURGE_SPAN = 0.25, 0.6  # as shares of the demo's length
TENANTS = (("lima", 0.5), ("callao", 0.3), ("ate", 0.2))
STARTUP_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
HEALTH_TIMEOUT_S = 1.0
HEALTH_INTERVAL_S = 0.05
DEFAULT_SECONDS = 24.0


@dataclass(frozen=True, slots=True)
class Fleet:
    """The stand-in upstreams, in one process. port: of their list service. listing: the endpoint list."""

    process: subprocess.Popen[str]
    port: int
    listing: dict[str, Any]

    @property
    def address(self) -> str:
        """Where the upstreams' account is."""
        return f"{HOST}:{self.port}"

    def begin(self) -> None:
        """Start the clock of the faults."""
        assert self.process.stdin is not None
        self.process.stdin.write("go\n")
        self.process.stdin.flush()


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    parser = argparse.ArgumentParser(prog="quartzford demo", description=__doc__)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--quiet", action="store_true", help="no live view")
    parser.add_argument("--html", metavar="FILE", default="quartzford-demo.html")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args(arguments)
    try:
        result = run_demo(options.seconds, live=not options.quiet and sys.stdout.isatty())
        write_result(result, options.json, options.html)
    except (UsageError, OSError) as error:
        print(f"quartzford: {error}", file=sys.stderr)
        return EXIT_USAGE
    print(show(result))
    print(f"the page: {options.html}")
    return exit_status(result)


def run_demo(seconds: float, live: bool) -> dict[str, Any]:
    """Play the surge against a balancer and its upstreams, and return the reconciled result.

    live: show it while it goes on. Raises UsageError if it can't be done.
    """
    _check_stand_ins()
    with running_fleet(seconds) as fleet, running_balancer(fleet) as port:
        load = _load(seconds, port, live)
        result = _play_shown(load, fleet) if live else play(load, fleet.begin)
        reconcile(result, fetch_account(fleet.address), load)
    return result


def _check_stand_ins() -> None:
    if importlib.util.find_spec("standins") is None:
        raise UsageError("demo: the stand-ins are not installed: pip install .[demo]")


@contextmanager
def running_fleet(seconds: float) -> Iterator[Fleet]:
    """Run the stand-in upstreams within the block. seconds: the demo's length."""
    plan = {"nodos": UPSTREAMS, "capacity": CAPACITY, "trouble": fault_script(seconds)}
    pipe = subprocess.PIPE
    with _running("-m", "standins.fleet", json.dumps(plan), stdin=pipe, stdout=pipe) as process:
        assert process.stdout is not None
        ready = json.loads(process.stdout.readline())
        yield Fleet(process, ready["port"], ready["list"])


@contextmanager
def running_balancer(fleet: Fleet) -> Iterator[int]:
    """Run a balancer in front of the fleet within the block, and yield its port."""
    from standins.site import config, reserved_port

    with tempfile.TemporaryDirectory(prefix="quartzford-demo-") as folder:
        port, path = reserved_port(), Path(folder) / "balancer.json"
        path.write_text(json.dumps(config(port, fleet.port, fleet.listing)))
        environment = {**os.environ, "EDGE_CONFIG": str(path)}
        with _running("-m", "quartzford", env=environment, stderr=subprocess.DEVNULL) as balancer:
            wait_until_healthy(port, balancer)
            yield port


@contextmanager
def _running(*arguments: str, **options: Any) -> Iterator[subprocess.Popen[str]]:
    process = subprocess.Popen([sys.executable, *arguments], text=True, **options)
    try:
        yield process
    finally:
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def wait_until_healthy(port: int, balancer: subprocess.Popen[str]) -> None:
    """Wait until the balancer answers its health check; raises UsageError if it does not in time."""
    end = time.monotonic() + STARTUP_TIMEOUT_S
    while time.monotonic() < end and balancer.poll() is None:
        try:
            with urllib.request.urlopen(f"http://{HOST}:{port}/_health", timeout=HEALTH_TIMEOUT_S):
                return
        except OSError:  # an HTTPError is one too
            time.sleep(HEALTH_INTERVAL_S)
    raise UsageError("demo: the balancer did not come up")


def fault_script(seconds: float) -> str:
    """Return the faults of the upstreams, timed to come during the surge."""
    third = seconds / 3
    return f"die@{third:g}:2 drain@{third + 1:g}:5 silent@{third + 2:g}:9"


def _load(seconds: float, port: int, live: bool) -> LoadOptions:
    return LoadOptions(
        Target(HOST, port),
        SHAPE.format(at=seconds * SURGE_AT, span=seconds * SURGE_SPAN),
        seconds,
        tenants=TENANTS,
        keep_attempt_log=True,
        report_progress=live,
    )


def _play_shown(load: LoadOptions, fleet: Fleet) -> dict[str, Any]:
    """Play it with the live view, which also shows what happens to the fleet."""
    from quartzford.load.live import View

    with View() as view:
        view.notes.append(f"{UPSTREAMS} nodos, one balancer; a surge, a death, a drain, a silence")

        def show_progress(reports: Sequence[Progress]) -> None:
            events = fetch_account(fleet.address)["events"]
            view.notes[1:] = [f"{event}: {server}" for _, event, server in events]
            view.show(reports)

        return play(load, fleet.begin, show_progress)
