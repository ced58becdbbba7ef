"""`quartzford demo`: a balancer, twelve stand-in upstreams, a surge of requests, and the report.

All processes use the loopback interface. During the surge one upstream crashes, one is drained and one stops
answering; each returns to service in slow start. The report checks the clients' attempt log against the
upstreams' account. The exit status is 0 only if no rule was broken and the measurements are reliable.
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
from quartzford.load.result import format_result
from quartzford.load.run import play
from quartzford.load.worker import Progress

HOST = "127.0.0.1"
UPSTREAM_COUNT = 12
UPSTREAM_CAPACITY_RPS = 90.0  # requests a second of each upstream
SHAPE_TEMPLATE = "constant:300+surge:650@{at:g}+{span:g}"
SURGE_START_SHARE, SURGE_DURATION_SHARE = 0.25, 0.6  # start and length of the surge / the demo's length
TENANTS = (("lima", 0.5), ("callao", 0.3), ("ate", 0.2))
STARTUP_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
HEALTH_TIMEOUT_S = 1.0
HEALTH_INTERVAL_S = 0.05
DEFAULT_SECONDS = 24.0


@dataclass(frozen=True, slots=True)
class Fleet:
    """The process that runs the stand-in upstreams.

    port: port of their list service. endpoint_list: the list that this service returns.
    """

    process: subprocess.Popen[str]
    port: int
    endpoint_list: dict[str, Any]

    @property
    def address(self) -> str:
        """The host:port from which the upstreams' account can be read."""
        return f"{HOST}:{self.port}"

    def start_faults(self) -> None:
        """Start the clock to which the times of the fault script refer."""
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
    print(format_result(result))
    print(f"the page: {options.html}")
    return exit_status(result)


def run_demo(seconds: float, live: bool) -> dict[str, Any]:
    """Run the surge against a balancer and its upstreams; return the result with the verdict on the rules.

    seconds: length of the run. live: show the live view. Raises UsageError if the stand-ins are not
    installed, the balancer does not start or the account can't be read.
    """
    _check_stand_ins()
    with running_fleet(seconds) as fleet, running_balancer(fleet) as port:
        load = _load_options(seconds, port, live)
        result = _play_with_live_view(load, fleet) if live else play(load, fleet.start_faults)
        reconcile(result, fetch_account(fleet.address), load)
    return result


def _check_stand_ins() -> None:
    if importlib.util.find_spec("standins") is None:
        raise UsageError("demo: the stand-ins are not installed: pip install .[demo]")


@contextmanager
def running_fleet(seconds: float) -> Iterator[Fleet]:
    """Run the stand-in upstreams during the `with` block. seconds: the demo's length."""
    plan = {"nodos": UPSTREAM_COUNT, "capacity": UPSTREAM_CAPACITY_RPS, "trouble": fault_script(seconds)}
    pipe = subprocess.PIPE
    with _running("-m", "standins.fleet", json.dumps(plan), stdin=pipe, stdout=pipe) as process:
        assert process.stdout is not None
        ready = json.loads(process.stdout.readline())
        yield Fleet(process, ready["port"], ready["list"])


@contextmanager
def running_balancer(fleet: Fleet) -> Iterator[int]:
    """Run a balancer in front of the fleet during the `with` block, and yield its port."""
    from standins.site import config, reserved_port

    with tempfile.TemporaryDirectory(prefix="quartzford-demo-") as folder:
        port, path = reserved_port(), Path(folder) / "balancer.json"
        path.write_text(json.dumps(config(port, fleet.port, fleet.endpoint_list)))
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
    """Wait until the balancer answers its health check.

    Raises UsageError if the balancer exits or does not answer within STARTUP_TIMEOUT_S.
    """
    deadline = time.monotonic() + STARTUP_TIMEOUT_S
    while time.monotonic() < deadline and balancer.poll() is None:
        try:
            with urllib.request.urlopen(f"http://{HOST}:{port}/_health", timeout=HEALTH_TIMEOUT_S):
                return
        except OSError:  # HTTPError is a subclass: the balancer is not healthy yet
            time.sleep(HEALTH_INTERVAL_S)
    raise UsageError("demo: the balancer did not start")


def fault_script(seconds: float) -> str:
    """Return the upstreams' fault script: the time and the server of each fault, all during the surge."""
    third = seconds / 3
    return f"die@{third:g}:2 drain@{third + 1:g}:5 silent@{third + 2:g}:9"


def _load_options(seconds: float, port: int, live: bool) -> LoadOptions:
    return LoadOptions(
        Target(HOST, port),
        SHAPE_TEMPLATE.format(at=seconds * SURGE_START_SHARE, span=seconds * SURGE_DURATION_SHARE),
        seconds,
        tenants=TENANTS,
        keep_attempt_log=True,
        report_progress=live,
    )


def _play_with_live_view(load: LoadOptions, fleet: Fleet) -> dict[str, Any]:
    """Run the load with the live view, which also shows the events of the fleet."""
    from quartzford.load.live import View

    with View() as view:
        view.notes.append(f"{UPSTREAM_COUNT} nodos, one balancer; a surge, a death, a drain, a silence")

        def show_progress(reports: Sequence[Progress]) -> None:
            events = fetch_account(fleet.address)["events"]
            view.notes[1:] = [f"{event}: {server}" for _, event, server in events]
            view.show(reports)

        return play(load, fleet.start_faults, show_progress)
