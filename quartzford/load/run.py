"""A run of the load generator: starts the worker processes and merges their measurements into one result."""

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

START_DELAY_S = 0.5  # between the readiness of all workers and the start of the run
STOP_TIMEOUT_S = 5.0
STOP_MESSAGE = "stop"
ProgressListener = Callable[[Sequence[Progress]], None]


def play(
    load: LoadOptions,
    started: Callable[[], None] = lambda: None,
    progress: ProgressListener = lambda reports: None,
) -> dict[str, Any]:
    """Execute a run and return its result. After SIGINT, the result covers the time until the interruption.

    started: called after the start time was sent to all workers. progress: called after workers have sent
    messages, with the latest report of each worker that has sent one.
    """
    with _workers(load) as pipes:
        for pipe in pipes:
            pipe.recv()
        start = monotonic() + START_DELAY_S
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
        silent_workers = load.workers - len(results)
        return summary(load, RunResults(results, monotonic() - start, interrupted, silent_workers))


@contextmanager
def _workers(load: LoadOptions) -> Iterator[list[Connection]]:
    """Run the worker processes during the block, and yield a pipe to each of them."""
    context = mp.get_context("spawn")
    pipes: list[Connection] = []
    processes = []
    for number in range(load.workers):
        parent_end, worker_end = context.Pipe()
        process = context.Process(target=run_worker, args=(load, number, worker_end), daemon=True)
        process.start()
        worker_end.close()
        pipes.append(parent_end)
        processes.append(process)
    try:
        yield pipes
    finally:
        for process in processes:
            process.join(STOP_TIMEOUT_S)
            if process.is_alive():
                process.terminate()


class _Collector:
    """Receives the progress reports and the results of the workers."""

    def __init__(self, pipes: list[Connection], progress: ProgressListener) -> None:
        self.results: list[WorkerResult] = []
        self._pipes = pipes
        self._running = list(pipes)
        self._progress = progress
        self._reports: dict[int, Progress] = {}  # the latest report, by worker

    def collect(self) -> None:
        """Receive messages until each worker has sent its result or has exited."""
        while self._running:
            for ready_pipe in wait(self._running):
                number = self._pipes.index(ready_pipe)  # type: ignore[arg-type]
                message = _receive(self._pipes[number])
                if isinstance(message, Progress):
                    self._reports[number] = message
                else:
                    self._finish(self._pipes[number], message)
            self._progress([report for _, report in sorted(self._reports.items())])

    def interrupt(self) -> None:
        """Stop the workers that are still running, and receive their results."""
        for pipe in self._running:
            pipe.send(STOP_MESSAGE)
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
    """Return a worker's next message; None if it has exited or sends nothing for STOP_TIMEOUT_S."""
    try:
        message: Progress | WorkerResult | None = pipe.recv() if pipe.poll(STOP_TIMEOUT_S) else None
    except (EOFError, OSError):
        return None
    return message
