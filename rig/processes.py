"""Processes of the program: start up to a barrier, release together, signal, restart, measure and end.

The rig ends whatever it started, by its own handle and also when it is interrupted; it ends nothing else.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import IO, Any

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 120.0
END_TIMEOUT_S = 5.0  # from SIGTERM to SIGKILL
MAX_LOG_LINE = 200  # characters of a log line that an error quotes
PAGE_BYTES = 4096
SIGNALS = {
    "kill": signal.SIGKILL,
    "term": signal.SIGTERM,
    "stop": signal.SIGSTOP,
    "cont": signal.SIGCONT,
    "hup": signal.SIGHUP,
}


def balancer_address(number: int) -> str:
    """Return a balancer's own loopback address: 127.10.0.1 and on."""
    return f"127.10.{number // 250}.{number % 250 + 1}"


@dataclass(eq=False)
class Process:
    """One balancer, over all its restarts. arguments: what follows the program's name."""

    name: str
    environment: dict[str, str]
    log: Path
    checkout: Path = ROOT
    arguments: tuple[str, ...] = ()
    running: subprocess.Popen[bytes] | None = None
    start_count: int = 0
    end_requested: bool = False
    crashes: list[str] = field(default_factory=list)

    def start_to_barrier(self) -> None:
        """Start the process up to the barrier."""
        self.note_end()
        self.start_count += 1
        self.end_requested = False
        with self.log.open("ab") as out:
            self.running = subprocess.Popen(
                [sys.executable, str(ROOT / "rig" / "start_barrier.py"), str(self.checkout), *self.arguments],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=out,
                cwd=self.checkout,
                env={**os.environ, **self.environment},
            )

    def wait_ready(self, until: float) -> None:
        """Wait until the process is at the barrier; RuntimeError if it never gets there."""
        assert self.running is not None and self.running.stdout is not None
        if self.running.stdout.readline() != b"ready\n" or time.monotonic() > until:
            raise RuntimeError(f"{self.name} did not start: {self.last_log_line()}")

    def release(self) -> None:
        """Let the process pass the barrier."""
        assert self.running is not None and self.running.stdin is not None
        with contextlib.suppress(BrokenPipeError):
            self.running.stdin.write(b"go\n")
            self.running.stdin.flush()

    def signal(self, name: str) -> None:
        """Send a signal by its name in SIGNALS, if the process is running."""
        if self.running is not None and self.running.poll() is None:
            self.end_requested = self.end_requested or name in ("kill", "term")
            self.running.send_signal(SIGNALS[name])

    def note_end(self) -> None:
        """Record a crash if the process has ended unexpectedly."""
        if self.running is None or self.running.poll() is None:
            return
        if not self.end_requested or self.running.returncode not in (0, -signal.SIGKILL):
            self.crashes.append(f"{self.name}: exit {self.running.returncode}: {self.last_log_line()}")
        self.close_pipes()
        self.running = None

    def close_pipes(self) -> None:
        """Close this side of the pipes to its standard input and output."""
        pipes: list[IO[bytes] | None] = [self.running.stdin, self.running.stdout] if self.running else []
        for pipe in pipes:
            if pipe is not None:
                with contextlib.suppress(OSError):
                    pipe.close()

    def last_log_line(self) -> str:
        """Return the last line of its log, at most MAX_LOG_LINE characters; "" if there is none."""
        try:
            lines = self.log.read_text(errors="replace").splitlines()
        except OSError:
            return ""
        return lines[-1][:MAX_LOG_LINE] if lines else ""

    def resident_mb(self) -> float:
        """Return its resident memory in MB (10^6 bytes); 0 if it is not running."""
        if self.running is None:
            return 0.0
        try:
            pages = int(Path(f"/proc/{self.running.pid}/statm").read_text().split()[1])
        except (OSError, IndexError, ValueError):
            return 0.0
        return pages * PAGE_BYTES / 1e6


class ProcessGroup:
    """The processes of a run; leaving the context ends them."""

    def __init__(self, members: Iterable[Process]) -> None:
        self.members = list(members)

    def __enter__(self) -> ProcessGroup:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.end()

    def start_to_barrier(self, members: Iterable[Process] | None = None) -> None:
        """Start them up to the barrier, a batch at a time: a start costs half a second of a core."""
        chosen = list(self.members if members is None else members)
        batch_size, until = 2 * (os.cpu_count() or 1), time.monotonic() + START_TIMEOUT_S
        for first in range(0, len(chosen), batch_size):
            batch = chosen[first : first + batch_size]
            for process in batch:
                process.start_to_barrier()
            for process in batch:
                process.wait_ready(until)

    def release(self, members: Iterable[Process] | None = None) -> float:
        """Release them all; return the moment on the monotonic clock in seconds."""
        moment = time.monotonic()
        for process in self.members if members is None else members:
            process.release()
        return moment

    def end(self) -> None:
        """Send SIGTERM, and SIGKILL to what is still running END_TIMEOUT_S later."""
        for process in self.members:
            process.signal("cont")
            process.signal("term")
        until = time.monotonic() + END_TIMEOUT_S
        for process in self.members:
            if process.running is None:
                continue
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.running.wait(max(0.01, until - time.monotonic()))
            if process.running.poll() is None:
                process.running.kill()
                process.running.wait()
            process.note_end()
            process.close_pipes()

    def crashes(self) -> list[str]:
        """Describe each process that ended unexpectedly, one line each."""
        for process in self.members:
            process.note_end()
        return [text for process in self.members for text in process.crashes]


def send_json(process: subprocess.Popen[bytes], message: dict[str, Any]) -> None:
    """Write one line of JSON to a process's standard input."""
    assert process.stdin is not None
    process.stdin.write(json.dumps(message).encode() + b"\n")
    process.stdin.flush()


def receive_json(process: subprocess.Popen[bytes]) -> Any:
    """Read one line of JSON from a process's standard output; None if it has ended."""
    assert process.stdout is not None
    line = process.stdout.readline()
    return json.loads(line) if line else None


@contextlib.contextmanager
def helper_process(*arguments: str, **options: Any) -> Iterator[subprocess.Popen[bytes]]:
    """Run a module, such as a stand-in, as a process that ends with the context."""
    command = [sys.executable, "-m", *arguments]
    process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, **options)
    try:
        yield process
    finally:
        process.terminate()
        try:
            process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        for pipe in (process.stdin, process.stdout):
            if pipe is not None:
                with contextlib.suppress(OSError):
                    pipe.close()
