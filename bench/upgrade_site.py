"""What bench.upgrade measures: stand-in upstreams, and a balancer whose process is replaced."""

from __future__ import annotations

import http.client
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any, NamedTuple

from bench.common import ROOT
from standins.site import config, reserved_port

UPSTREAMS = 12
READY_TIMEOUT_S, END_TIMEOUT_S = 20.0, 20.0
CALL_TIMEOUT_S, JOURNAL_TIMEOUT_S = 5.0, 20.0
POLL_S = 0.01


class Replacement(NamedTuple):
    """When the new process was started, when it was ready, and when the old one had ended (monotonic s)."""

    began: float
    ready: float
    ended: float


def call(port: int, method: str, path: str, body: str = "") -> int:
    """The status of a call to a second address. OSError, HTTPException: there was none."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        response.read()
        return response.status
    finally:
        connection.close()


class ReplacedBalancer:
    """A balancer's processes, one after the other. port: for clients; admin: of the last one."""

    def __init__(self, discovery: int, known: Any, folder: Path) -> None:
        self.port, self.folder = reserved_port(), folder
        self.config = config(self.port, discovery, known)
        self.admin = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.shared_folder = folder / "common0"  # where a process finds its predecessor

    def start(self, shared: bool = True) -> subprocess.Popen[bytes]:
        """Start one more process. shared: in the folder in which it finds the one before."""
        self.starts += 1
        self.admin = reserved_port()
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        if not shared:
            self.shared_folder = self.folder / f"common{self.starts}"
        self.shared_folder.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(self.shared_folder),
            "EDGE_ADMIN_ADDR": f"127.0.0.1:{self.admin}",
        }
        command = [sys.executable, "-m", "quartzford"]
        return subprocess.Popen(command, cwd=ROOT, env=environment, stderr=subprocess.DEVNULL)

    def call(self, method: str, path: str, body: str = "") -> int:
        """The status of a call to the second address of the process started last."""
        return call(self.admin, method, path, body)

    def replace(self, shared: bool = True) -> Replacement:
        """Replace the process as the platform does. RuntimeError: the new one was not ready in time."""
        old, began = self.process, time.monotonic()
        self.process = self.start(shared)
        self._wait_until_ready(began + READY_TIMEOUT_S)
        ready = time.monotonic()
        if old is not None:
            old.send_signal(signal.SIGTERM)
            old.wait(END_TIMEOUT_S)
        return Replacement(began, ready, time.monotonic())

    def _wait_until_ready(self, until: float) -> None:
        while True:
            with suppress(OSError, http.client.HTTPException):
                if self.call("GET", "/status") == 200:
                    return
            if time.monotonic() > until:
                raise RuntimeError("the new process was never ready")
            time.sleep(POLL_S)

    def stop(self) -> None:
        """End the last process, if there is one, and wait for it."""
        if self.process is not None:
            self.process.terminate()
            self.process.wait(END_TIMEOUT_S)


@contextmanager
def stand_in_fleet(upstreams: int = UPSTREAMS) -> Iterator[tuple[int, Any]]:
    """A fleet of which a third is four times slower: its list service's port, and the list."""
    plan = {
        "nodos": upstreams,
        "capacity": 400.0,
        "cores": 4,
        "latency_s": 0.008,
        "slow": upstreams // 3,
        "connect_s": 0.0,
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.fleet", json.dumps(plan)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        started = json.loads(process.stdout.readline())
        yield started["port"], started["list"]
    finally:
        assert process.stdin is not None
        process.stdin.close()  # it waits there for the line that begins its faults
        process.terminate()
        process.wait(10)


def read_journal(discovery: int) -> dict[str, Any]:
    """What the stand-in upstreams saw, from their list service."""
    connection = http.client.HTTPConnection("127.0.0.1", discovery, timeout=JOURNAL_TIMEOUT_S)
    connection.request("GET", "/books")
    journal: dict[str, Any] = json.loads(connection.getresponse().read())
    connection.close()
    return journal
