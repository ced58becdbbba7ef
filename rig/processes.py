"""Processes of the program: started and held, released together, stopped, started again, read, and ended.

Whatever the rig started it ends, by its own handle, also when it is interrupted; it ends nothing else.
"""

from __future__ import annotations

import contextlib
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
START_S = 120.0
SIGNALS = {
    "kill": signal.SIGKILL,
    "term": signal.SIGTERM,
    "stop": signal.SIGSTOP,
    "cont": signal.SIGCONT,
    "hup": signal.SIGHUP,
}


def balancer_address(number: int) -> str:
    """A balancer's own loopback address: 127.10.0.1 and on."""
    return f"127.10.{number // 250}.{number % 250 + 1}"


@dataclass(eq=False)
class Process:
    """One balancer's processes, one after the other. arguments: after the program's name."""

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
        """Start it up to the gate."""
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
        """At the gate; RuntimeError if it never came."""
        assert self.running is not None and self.running.stdout is not None
        if self.running.stdout.readline() != b"ready\n" or time.monotonic() > until:
            raise RuntimeError(f"{self.name} did not start: {self.last_log_line()}")

    def release(self) -> None:
        """Let it pass the gate."""
        assert self.running is not None and self.running.stdin is not None
        with contextlib.suppress(BrokenPipeError):
            self.running.stdin.write(b"go\n")
            self.running.stdin.flush()

    def signal(self, what: str) -> None:
        """Send a signal by its name in SIGNALS; nothing where no process is running."""
        if self.running is not None and self.running.poll() is None:
            self.end_requested = self.end_requested or what in ("kill", "term")
            self.running.send_signal(SIGNALS[what])

    def note_end(self) -> None:
        """Whether the life that has ended did so unasked."""
        if self.running is None or self.running.poll() is None:
            return
        if not self.end_requested or self.running.returncode not in (0, -signal.SIGKILL):
            self.crashes.append(f"{self.name}: exit {self.running.returncode}: {self.last_log_line()}")
        self.close_pipes()
        self.running = None

    def close_pipes(self) -> None:
        """Close its standard input and output on this side."""
        pipes: list[IO[bytes] | None] = [self.running.stdin, self.running.stdout] if self.running else []
        for pipe in pipes:
            if pipe is not None:
                with contextlib.suppress(OSError):
                    pipe.close()

    def last_log_line(self) -> str:
        """The last line of its log, at most 200 characters; "" if there is none."""
        try:
            lines = self.log.read_text(errors="replace").splitlines()
        except OSError:
            return ""
        return lines[-1][:200] if lines else ""

    def resident_mb(self) -> float:
        """Resident memory in MB (10^6 bytes); 0 where it is not running."""
        if self.running is None:
            return 0.0
        try:
            pages = int(Path(f"/proc/{self.running.pid}/statm").read_text().split()[1])
        except (OSError, IndexError, ValueError):
            return 0.0
        return pages * 4096 / 1e6


class ProcessGroup:
    """All of a run's."""

    def __init__(self, members: Iterable[Process]) -> None:
        self.members = list(members)

    def __enter__(self) -> ProcessGroup:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.end()

    def start_to_barrier(self, members: Iterable[Process] | None = None) -> None:
        """Start them up to the gate, some at a time: a start costs half a second of a core."""
        chosen = list(self.members if members is None else members)
        at_once, until = 2 * (os.cpu_count() or 1), time.monotonic() + START_S
        for first in range(0, len(chosen), at_once):
            part = chosen[first : first + at_once]
            for one in part:
                one.start_to_barrier()
            for one in part:
                one.wait_ready(until)

    def release(self, members: Iterable[Process] | None = None) -> float:
        """Let them all go; the moment, on the machine's monotonic clock."""
        moment = time.monotonic()
        for one in self.members if members is None else members:
            one.release()
        return moment

    def end(self) -> None:
        """SIGTERM, and SIGKILL for what is still there after five seconds."""
        for one in self.members:
            one.signal("cont")
            one.signal("term")
        until = time.monotonic() + 5.0
        for one in self.members:
            if one.running is None:
                continue
            with contextlib.suppress(subprocess.TimeoutExpired):
                one.running.wait(max(0.01, until - time.monotonic()))
            if one.running.poll() is None:
                one.running.kill()
                one.running.wait()
            one.note_end()
            one.close_pipes()

    def crashes(self) -> list[str]:
        """What ended unasked, a line each."""
        for one in self.members:
            one.note_end()
        return [text for one in self.members for text in one.crashes]


@contextlib.contextmanager
def helper_process(*arguments: str, **options: Any) -> Iterator[subprocess.Popen[bytes]]:
    """A stand-in or a fault proxy, ended with the block."""
    process = subprocess.Popen(
        [sys.executable, "-m", *arguments], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, **options
    )
    try:
        yield process
    finally:
        process.terminate()
        try:
            process.wait(5)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        for pipe in (process.stdin, process.stdout):
            if pipe is not None:
                with contextlib.suppress(OSError):
                    pipe.close()
