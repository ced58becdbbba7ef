"""Processes that slopes are measured in: spawned, ended with what started them, their time and memory."""

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

JOIN_S = 5.0
TICK_S = 0.005
MB = 1e6
PROCESS_CLOCK = 2  # with the pid's complement above it: the clock of a process, as clock_getcpuclockid has it


class MeasurementError(RuntimeError):
    """A measuring process failed; the text is its traceback."""


def _end_with_parent() -> None:
    """A process whose parent has been killed has nobody left to end it."""
    parent = mp.parent_process()
    if parent is not None:
        wait([parent.sentinel])
        os._exit(1)


def _main(function: Callable[..., None], pipe: Connection, arguments: tuple[Any, ...]) -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # who started it hears it, and ends this one
    threading.Thread(target=_end_with_parent, daemon=True).start()
    try:
        function(pipe, *arguments)
    except Exception:
        pipe.send(MeasurementError(traceback.format_exc()))


@contextmanager
def spawned(function: Callable[..., None], *arguments: Any) -> Iterator[Connection]:
    """function(pipe, *arguments) in a process of its own, ended with the block; yields the pipe to it."""
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
        process.join(JOIN_S)
        if process.is_alive():
            process.kill()
            process.join()


def receive(pipe: Connection, seconds: float = 120.0) -> Any:
    """What a process tells next; MeasureError if it failed, or said nothing for so long."""
    if not pipe.poll(seconds):
        raise MeasurementError(f"no word for {seconds:g} s")
    try:
        told = pipe.recv()
    except EOFError:
        raise MeasurementError("a measuring process ended without a word") from None
    if isinstance(told, MeasurementError):
        raise told
    return told


def measure_in_process(function: Callable[..., None], *arguments: Any) -> Any:
    """What function(pipe, *arguments) sends first, in a process of its own."""
    with spawned(function, *arguments) as pipe:
        return receive(pipe)


def resident_mb(pid: int | str = "self", peak: bool = False) -> float:
    """Resident memory of a process in MB of 10^6 bytes, now or at its highest."""
    wanted = "VmHWM:" if peak else "VmRSS:"
    for row in Path(f"/proc/{pid}/status").read_text().splitlines():
        if row.startswith(wanted):
            return int(row.split()[1]) * 1024 / MB
    raise MeasurementError(f"{wanted} of {pid} can't be read")


def processor_s(pid: int) -> float:
    """Processor time that a process has had in all its threads, by the kernel's clock of that process."""
    return time.clock_gettime(~pid << 3 | PROCESS_CLOCK)


class LoopLag:
    """A tick every 5 ms on a loop; how late the latest of them was."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.worst = loop, 0.0
        self._next(time.monotonic())

    def _tick(self) -> None:
        now = time.monotonic()
        self.worst = max(self.worst, now - self._due)
        self._next(now)

    def _next(self, now: float) -> None:
        self._due = now + TICK_S
        self._timer = self.loop.call_later(TICK_S, self._tick)

    def begin(self) -> None:
        """Forget what was late before."""
        self.worst = 0.0

    async def worst_ms(self) -> float:
        """The worst lateness so far, in ms; the tick that is due now is waited for."""
        await asyncio.sleep(2 * TICK_S)
        return self.worst * 1000

    def stop(self) -> None:
        """No further tick."""
        self._timer.cancel()
