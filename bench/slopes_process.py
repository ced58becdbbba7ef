"""Processes that slopes are measured in: spawned, ended with what started them; their time and memory."""

from __future__ import annotations

import asyncio
import multiprocessing as mp
import os
import signal
import threading
import time
import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection, wait
from pathlib import Path
from typing import Any

JOIN_TIMEOUT_S = 5.0
RECEIVE_TIMEOUT_S = 120.0
TICK_S = 0.005
MB = 1e6
# The clock of a process's CPU time as clock_getcpuclockid computes it: the pid's complement above some bits.
PROCESS_CLOCK_BITS = 3
PROCESS_CLOCK = 2


class MeasurementError(RuntimeError):
    """A measurement failed; of a failed process the text is its traceback."""


def _exit_with_parent() -> None:
    """Wait for the end of the parent, which ends this process otherwise, and exit."""
    parent = mp.parent_process()
    if parent is not None:
        wait([parent.sentinel])
        os._exit(1)


def _main(function: Callable[..., None], pipe: Connection, arguments: tuple[Any, ...]) -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent gets the signal too, and ends this process
    threading.Thread(target=_exit_with_parent, daemon=True).start()
    try:
        function(pipe, *arguments)
    except Exception:
        pipe.send(MeasurementError(traceback.format_exc()))


@contextmanager
def spawned(function: Callable[..., None], *arguments: Any) -> Iterator[Connection]:
    """Run function(pipe, *arguments) in a new process that ends with the block; yields the pipe to it."""
    context = mp.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=_main, args=(function, theirs, arguments), daemon=True)
    process.start()
    theirs.close()
    try:
        yield ours
    finally:
        ours.close()
        process.terminate()
        process.join(JOIN_TIMEOUT_S)
        if process.is_alive():
            process.kill()
            process.join()


def receive(pipe: Connection, seconds: float = RECEIVE_TIMEOUT_S) -> Any:
    """The next message of a process; MeasurementError if it failed, ended, or sent nothing for this long."""
    if not pipe.poll(seconds):
        raise MeasurementError(f"no message for {seconds:g} s")
    try:
        message = pipe.recv()
    except EOFError:
        raise MeasurementError("a measuring process ended without a message") from None
    if isinstance(message, MeasurementError):
        raise message
    return message


def measure_in_process(function: Callable[..., None], *arguments: Any) -> Any:
    """Run function(pipe, *arguments) in a process of its own; the first message that it sends."""
    with spawned(function, *arguments) as pipe:
        return receive(pipe)


def resident_mb(pid: int | str = "self", peak: bool = False) -> float:
    """Resident memory of a process in MB of 10^6 bytes, now or at its peak."""
    key = "VmHWM:" if peak else "VmRSS:"
    for row in Path(f"/proc/{pid}/status").read_text().splitlines():
        if row.startswith(key):
            return int(row.split()[1]) * 1024 / MB
    raise MeasurementError(f"{key} of {pid} can't be read")


def processor_s(pid: int) -> float:
    """Processor time of all threads of a process in seconds, by the kernel's clock of that process."""
    return time.clock_gettime(~pid << PROCESS_CLOCK_BITS | PROCESS_CLOCK)


class LoopLag:
    """How late a loop runs a timer that is due every 5 ms: the longest stall of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.worst = loop, 0.0
        self._schedule(time.monotonic())

    def _tick(self) -> None:
        now = time.monotonic()
        self.worst = max(self.worst, now - self._due)
        self._schedule(now)

    def _schedule(self, now: float) -> None:
        self._due = now + TICK_S
        self.loop.call_later(TICK_S, self._tick)

    def begin(self) -> None:
        """Forget the lag so far."""
        self.worst = 0.0

    async def worst_ms(self) -> float:
        """The longest lag since the beginning in ms; waits for the tick that is due now."""
        await asyncio.sleep(2 * TICK_S)
        return self.worst * 1000
