"""The roles that serve lists, as processes of their own: the stand-in list service, a relay behind one."""

from __future__ import annotations

import json
import math
import re
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass
from importlib.util import find_spec
from pathlib import Path
from threading import Thread
from typing import Any, NamedTuple

from bench.common import ROOT
from bench.slopes_process import MeasurementError
from bench.slopes_source import Row, rows

TARGET_BALANCERS = 4_600
RELAYS = 11
MAX_WATCHERS = math.ceil(1.25 * TARGET_BALANCERS / (RELAYS - math.ceil(RELAYS / 4)))
STOP_TIMEOUT_S = 5.0
READ_BYTES = 65_536
UNBOUNDED_PLAN = {"per_s": 1e6, "bytes_per_s": 1e15}  # of the list service: calls and bytes a second
OPERATOR_SETTINGS = """
[relay]
listen = "127.0.0.1:0"
source = "127.0.0.1:{source}"
relays = 1
balancers = {balancers}
whole_bytes_per_s = 1000000000
most_watchers = {balancers}
source_calls_per_s = 1000
"""


class RunningRole(NamedTuple):
    """A role's process. set_list: gives its list service the list as it is from now on."""

    port: int
    pid: int
    set_list: Callable[[list[Row]], None]


@contextmanager
def _started(arguments: list[str], **pipes: Any) -> Iterator[subprocess.Popen[bytes]]:
    running = subprocess.Popen([sys.executable, "-m", *arguments], cwd=ROOT, start_new_session=True, **pipes)
    try:
        yield running
    finally:
        running.terminate()
        try:
            running.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            running.kill()
            running.wait()
        for pipe in (running.stdin, running.stdout, running.stderr):
            if pipe is not None:
                pipe.close()


@contextmanager
def list_service() -> Iterator[RunningRole]:
    """The stand-in list service, without the bounds that it is given elsewhere."""
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
    with _started(["standins.listservice", json.dumps(UNBOUNDED_PLAN)], **pipes) as running:
        assert running.stdin is not None and running.stdout is not None
        stdin = running.stdin
        port = json.loads(running.stdout.readline())["port"]

        def set_list(hosts: list[Row]) -> None:
            stdin.write(json.dumps({"hosts": hosts}).encode() + b"\n")
            stdin.flush()

        yield RunningRole(port, running.pid, set_list)


@contextmanager
def relay() -> Iterator[RunningRole]:
    """One relay behind a list service of its own, with its bound on complete lists out of the way."""
    with list_service() as service, tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "operator.toml"
        path.write_text(OPERATOR_SETTINGS.format(source=service.port, balancers=2 * TARGET_BALANCERS))
        service.set_list(rows(1))
        arguments = ["quartzford", "relay", "--operator", str(path)]
        with _started(arguments, stderr=subprocess.PIPE) as running:
            yield RunningRole(_port_in_log(running), running.pid, service.set_list)


def _port_in_log(running: subprocess.Popen[bytes]) -> int:
    """The port that a relay logs; a thread reads and drops what it logs later."""
    stderr = running.stderr
    assert stderr is not None
    log = []
    for line in iter(stderr.readline, b""):
        log.append(line.decode(errors="replace"))
        if found := re.search(rb"listening on \S*:(\d+)", line):
            Thread(target=lambda: list(iter(lambda: stderr.read(READ_BYTES), b"")), daemon=True).start()
            return int(found[1])
    raise MeasurementError(f"the relay ended before it listened: {''.join(log)[-500:]}")


def has_relay() -> bool:
    """Whether this program has relays."""
    return find_spec("quartzford.relay") is not None


@dataclass(frozen=True, slots=True)
class Role:
    """One role. target_watchers: the most balancers that one process of it has at the target."""

    name: str
    start: Callable[[], AbstractContextManager[RunningRole]]
    target_watchers: int
    is_available: Callable[[], bool] = lambda: True


ROLES = (
    Role("list service", list_service, TARGET_BALANCERS),
    Role("relay", relay, MAX_WATCHERS, has_relay),
)
