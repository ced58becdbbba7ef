"""A run of the load generator: starts the worker processes, and makes one result of what they measured."""

from __future__ import annotations

import multiprocessing as mp
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from multiprocessing.connection import Connection, wait
from time import monotonic
from typing import Any

from quartzford.load.options import LoadOptions
from quartzford.load.result import RunResults, WorkerResult, summary
from quartzford.load.worker import Progress, run_worker

LEAD_S = 0.5  # from the readiness of all workers to the start
STOP_TIMEOUT_S = 5.0
STOP = "stop"
ProgressListener = Callable[[Sequence[Progress]], None]


def play(
    load: LoadOptions,
    started: Callable[[], None] = lambda: None,
    progress: ProgressListener = lambda reports: None,
) -> dict[str, Any]:
    """Play a run and return its result; on SIGINT that of what was measured until then.

    started: called when all workers know the start. progress: called whenever a worker has reported, with the
    latest report of each worker that has reported yet.
    """
    with _workers(load) as pipes:
        for pipe in pipes:
            pipe.recv()
        start = monotonic() + LEAD_S
        for pipe in pipes:
            pipe.send(start)
        collector = _Collector(pipes, progress)
        interrupted = False
        try:
            started()
            collector.collect()
        except KeyboardInterrupt:
            interrupted = True
            collector.interrupt()
        results = collector.results
        silent = load.workers - len(results)
        return summary(load, RunResults(results, monotonic() - start, interrupted, silent))


@contextmanager
def _workers(load: LoadOptions) -> Iterator[list[Connection]]:
    """Run the worker processes within the block, each at the other end of a pipe."""
    context = mp.get_context("spawn")
    pipes: list[Connection] = []
    processes = []
    for number in range(load.workers):
        ours, theirs = context.Pipe()
        process = context.Process(target=run_worker, args=(load, number, theirs), daemon=True)
        process.start()
        theirs.close()
        pipes.append(ours)
        processes.append(process)
    try:
        yield pipes
    finally:
        for process in processes:
            process.join(STOP_TIMEOUT_S)
            if process.is_alive():
                process.terminate()


class _Collector:
    """Receives what the workers send."""

    def __init__(self, pipes: list[Connection], progress: ProgressListener) -> None:
        self.results: list[WorkerResult] = []
        self._pipes = pipes
        self._running = list(pipes)
        self._progress = progress
        self._reports: dict[int, Progress] = {}  # the latest, by worker

    def collect(self) -> None:
        """Receive until each worker has sent its result or has died."""
        while self._running:
            for ready in wait(self._running):
                number = self._pipes.index(ready)  # type: ignore[arg-type]
                message = _receive(self._pipes[number])
                if isinstance(message, Progress):
                    self._reports[number] = message
                else:
                    self._finish(self._pipes[number], message)
            self._progress([report for _, report in sorted(self._reports.items())])

    def interrupt(self) -> None:
        """End the run early, and receive the results of the workers that are left."""
        for pipe in self._running:
            pipe.send(STOP)
        for pipe in list(self._running):
            message = _receive(pipe)
            while isinstance(message, Progress):
                message = _receive(pipe)
            self._finish(pipe, message)

    def _finish(self, pipe: Connection, result: WorkerResult | None) -> None:
        self._running.remove(pipe)
        if result is not None:
            self.results.append(result)


def _receive(pipe: Connection) -> Progress | WorkerResult | None:
    """Return a worker's next message; None if it has died or is silent."""
    try:
        message: Progress | WorkerResult | None = pipe.recv() if pipe.poll(STOP_TIMEOUT_S) else None
    except (EOFError, OSError):
        return None
    return message
