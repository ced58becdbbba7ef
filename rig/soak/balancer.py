"""The balancer of a soak: its processes, their signals, and their memory by the system's account."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
import urllib.request
from pathlib import Path
from typing import Any, NamedTuple

from rig.processes import PAGE_BYTES, ROOT
from rig.soak.plan import RESTART_S, TERM_TO_KILL_S, SignalPlan, SoakPlan
from standins.site import config, reserved_port

SAMPLE_S = 0.01
READY_TIMEOUT_S = 10.0
UPGRADE_TIMEOUT_S = 6.0  # until the successor says yes
MB = 1024 * 1024


class Interruption(NamedTuple):
    """From a SIGKILL to the moment when the next process was ready, on the monotonic clock.

    terminated_at: when SIGTERM came, if it came before; what was taken since has to be answered.
    """

    began_at: float
    ended_at: float
    terminated_at: float | None


class MemoryPeaks(NamedTuple):
    """The highest of the samples, in MB of 2**20 bytes, of all processes of the balancer together."""

    resident: float
    anonymous: float


class Balancer:
    """Runs the balancer by its plan."""

    def __init__(
        self, plan: SoakPlan, discovery: int, known: dict[str, Any], folder: Path, core: int
    ) -> None:
        """core: where it runs if it shares one."""
        self.plan, self.folder = plan, folder
        self.port, self.discovery = reserved_port(), discovery
        self.upgrades = any(signal_plan.kind == "upgrade" for signal_plan in plan.signals)
        table = config(self.port, discovery, known)
        table["limits"] = {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.descriptors}
        self.config_path = folder / "config.json"
        self.config_path.write_text(json.dumps(table))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.interruptions: list[Interruption] = []
        self.faults: list[str] = []  # processes that ended by themselves, and starts that failed
        self.expected_end: set[int] = set()  # pids of processes that may end
        self.peaks = MemoryPeaks(0.0, 0.0)
        self.core = core
        self._sampling = threading.Event()
        self._sampler = threading.Thread(target=self._sample_until_stopped, daemon=True)

    # ---- processes

    def start(self) -> subprocess.Popen[bytes]:
        """Start a process."""
        environment = {**os.environ, "EDGE_CONFIG": str(self.config_path), "TMPDIR": str(self.folder)}
        if self.upgrades:
            admin = reserved_port()
            environment["EDGE_ADMIN_ADDR"] = f"127.0.0.1:{admin}"
        with (self.folder / "balancer.log").open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", f"ulimit -n {self.plan.descriptors}; exec {sys.executable} -m quartzford"],
                cwd=ROOT,
                env=environment,
                stderr=log,
            )
        if self.plan.shares_core:
            os.sched_setaffinity(process.pid, {self.core})
        self.processes.append(process)
        self._wait_ready(admin if self.upgrades else self.port, "/status" if self.upgrades else "/_health")
        return process

    def _wait_ready(self, port: int, path: str) -> None:
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            try:
                with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=1.0):
                    return
            except OSError:
                time.sleep(0.01)
        self.faults.append("a process was not ready in time")

    def _kill(self, process: subprocess.Popen[bytes]) -> None:
        self.expected_end.add(process.pid)
        process.kill()
        process.wait()
        self.processes.remove(process)

    def note_ends(self) -> None:
        """Record processes that have ended by themselves."""
        for process in self.processes:
            if process.poll() is not None and process.pid not in self.expected_end:
                self.faults.append(f"a process ended by itself: status {process.returncode}")
                self.expected_end.add(process.pid)

    # ---- signals

    def play_signals(self, begin: float) -> None:
        """Send the plan's signals, counted from `begin` on the monotonic clock."""
        for planned in self.plan.signals:
            time.sleep(max(0.0, begin + planned.at_s - time.monotonic()))
            self.note_ends()
            self._play(planned)

    def _play(self, planned: SignalPlan) -> None:
        process = self.processes[-1]
        if planned.kind == "reload":
            process.send_signal(signal.SIGHUP)
        elif planned.kind == "upgrade":
            self._upgrade(process)
        else:
            terminated_at = time.monotonic() if planned.kind == "term" else None
            if terminated_at is not None:
                self._terminate(process)
            self._restart(process, terminated_at)

    def _terminate(self, process: subprocess.Popen[bytes]) -> None:
        """Send SIGTERM, and return when SIGKILL may come at the earliest."""
        self.expected_end.add(process.pid)
        process.send_signal(signal.SIGTERM)
        time.sleep(TERM_TO_KILL_S)

    def _restart(self, process: subprocess.Popen[bytes], terminated_at: float | None) -> None:
        began_at = time.monotonic()
        self._kill(process)
        time.sleep(RESTART_S)
        self.start()
        self.interruptions.append(Interruption(began_at, time.monotonic(), terminated_at))

    def _upgrade(self, process: subprocess.Popen[bytes]) -> None:
        began_at = time.monotonic()
        self.start()
        if time.monotonic() - began_at > UPGRADE_TIMEOUT_S:
            self.faults.append("a successor said yes too late")
        self._terminate(process)
        self._kill(process)

    def end(self) -> None:
        """End all processes."""
        self.note_ends()
        for process in list(self.processes):
            self._kill(process)

    # ---- memory

    def __enter__(self) -> Balancer:
        self._sampler.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._sampling.set()
        self._sampler.join()
        self.end()

    def _sample_until_stopped(self) -> None:
        while not self._sampling.wait(SAMPLE_S):
            resident, anonymous = 0, 0
            for process in list(self.processes):
                pages = _resident_and_file_pages(process.pid)
                resident += pages[0]
                anonymous += pages[0] - pages[1]
            self.peaks = MemoryPeaks(
                max(self.peaks.resident, resident * PAGE_BYTES / MB),
                max(self.peaks.anonymous, anonymous * PAGE_BYTES / MB),
            )


def _resident_and_file_pages(pid: int) -> tuple[int, int]:
    """Return resident pages, and those of them that files or other processes share; 0 if there is none."""
    try:
        fields = Path(f"/proc/{pid}/statm").read_text().split()
    except OSError:
        return 0, 0
    return (int(fields[1]), int(fields[2])) if len(fields) > 2 else (0, 0)
