"""The external processor put together: the desk, and the gRPC server here or in workers of its own."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import Any

from quartzford.engine import Backend, Clock, Engine, Log
from quartzford.fronts.extproc.decision_link import LocalLink
from quartzford.fronts.extproc.decision_service import DecisionService
from quartzford.fronts.extproc.messages import HeaderNames
from quartzford.fronts.extproc.server import STREAM_GRACE_S, Processor
from quartzford.fronts.extproc.service_channel import ServiceChannel
from quartzford.fronts.extproc.token import Tokens
from quartzford.settings.operator_checks import OperatorError
from quartzford.settings.operator_settings import ExtprocSettings

RESTART_BACKOFF_S = (0.1, 5.0)  # from a worker's death to its successor, doubling while it dies at once
POLL_INTERVAL_S = 0.02
WORKER_START_TIMEOUT_S = 10.0  # for all workers to be up; after it those that are serve


def token_key(path: str) -> bytes:
    """The key in a file, or one drawn for this life."""
    if not path:
        return os.urandom(32)
    try:
        key = Path(path).read_bytes()
    except OSError as error:
        raise OperatorError(f"extproc.token_key_file: {error}") from None
    if len(key) < 16:
        raise OperatorError(f"extproc.token_key_file: {path}: {len(key)} bytes; 16 or more are needed")
    return key


def names_of(settings: ExtprocSettings, report_names: tuple[str, ...]) -> HeaderNames:
    return HeaderNames(
        **dict(settings.headers),
        cookie=settings.cookie,
        default_class=settings.default_class,
        most_headers=settings.most_headers,
        most_bytes=settings.most_header_bytes,
        report_names=report_names,
    )


class ExtprocFront:
    """One decider with its desk; any number of processes that speak gRPC for it."""

    def __init__(
        self,
        settings: ExtprocSettings,
        report_names: tuple[str, ...],
        engine: Engine,
        backend: Backend,
        clock: Clock,
        log: Log,
    ) -> None:
        self.settings, self.engine, self.clock, self.log = settings, engine, clock, log
        self.names = names_of(settings, report_names)
        tokens = Tokens(token_key(settings.token_key_file), os.urandom(8))
        self.service = DecisionService(
            engine,
            backend,
            clock,
            tokens,
            settings.return_ms / 1000.0,
            settings.overlap_ms / 1000.0,
            settings.most_requests,
            settings.queue_ms / 1000.0,
        )
        self.port = 0
        self.channels: set[ServiceChannel] = set()
        self.workers: dict[int, asyncio.subprocess.Process] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.processor: Processor | None = None
        self.unix: asyncio.Server | None = None
        self.folder: tempfile.TemporaryDirectory[str] | None = None
        self.stopping = False

    @property
    def longest_s(self) -> float:
        return self.engine.longest_ms / 1000.0

    async def start(self) -> None:
        if self.settings.workers == 0:
            link, most = LocalLink(self.service), self.settings.most_streams
            self.processor = Processor(link, self.names, self.longest_s, most, self.clock, self.log)
            self.port = await self.processor.listen(self.settings.listen)
            return
        self.folder = tempfile.TemporaryDirectory(prefix="quartzford-", ignore_cleanup_errors=True)
        path = str(Path(self.folder.name) / "desk")
        loop = asyncio.get_running_loop()
        self.unix = await loop.create_unix_server(
            lambda: ServiceChannel(self.service, self.log, self.channels, self._greeting), path
        )
        host, _, port = self.settings.listen.rpartition(":")
        for number in range(self.settings.workers):
            self.tasks.append(loop.create_task(self._supervise(number, path, f"{host}:{self.port or port}")))
            if port == "0" and not self.port:  # the kernel's choice is every worker's port
                self.port = await self._bound()
        if not self.port:
            self.port = int(port)
        limit = self.clock.now() + WORKER_START_TIMEOUT_S
        while sum(bool(line.port) for line in self.channels) < self.settings.workers:
            if self.clock.now() > limit:
                return self.log.line("extproc", "not all workers are up yet")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _bound(self) -> int:
        while True:
            for line in self.channels:
                if line.port:
                    return line.port
            await asyncio.sleep(POLL_INTERVAL_S)

    def _greeting(self) -> tuple[Any, ...]:
        """The names in force; to a worker that comes up while all stop, that it is to stop too."""
        return ("stop",) if self.stopping else ("names", asdict(self.names), self.longest_s)

    async def _supervise(self, number: int, path: str, address: str) -> None:
        """A worker, and its successors: what a dead one's callers had been told of stays with the desk."""
        wait, most = RESTART_BACKOFF_S
        while not self.stopping:
            begun = self.clock.now()
            where = f"{address.rpartition(':')[0]}:{self.port}" if self.port else address
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "quartzford.fronts.extproc.worker",
                path,
                where,
                str(self.settings.most_streams),
            )
            self.workers[number] = process
            code = await process.wait()
            if self.stopping:
                return
            self.log.line("extproc", f"worker {number} ended with {code}; another one follows")
            wait = RESTART_BACKOFF_S[0] if self.clock.now() - begun > most else min(most, 2 * wait)
            await asyncio.sleep(wait)

    def reconfigure(self, settings: ExtprocSettings, report_names: tuple[str, ...]) -> None:
        """New settings under load. Streams that are open go on by the new names."""
        self.settings, self.names = settings, names_of(settings, report_names)
        self.service.return_s, self.service.overlap_s = (
            settings.return_ms / 1000.0,
            settings.overlap_ms / 1000.0,
        )
        self.service.max_requests, self.service.queue_s = settings.most_requests, settings.queue_ms / 1000.0
        if self.processor is not None:
            self.processor.configure(self.names, self.longest_s)
        for line in self.channels:
            line.configure()

    async def stop(self) -> None:
        """GOAWAY to all callers; what is open finishes, in the longest deadline's time."""
        self.stopping = True
        if self.processor is not None:
            await self.processor.stop(self.longest_s + STREAM_GRACE_S)
        for line in list(self.channels):
            line.send("stop")
        for process in self.workers.values():
            try:
                await asyncio.wait_for(process.wait(), self.longest_s + 2 * STREAM_GRACE_S)
            except TimeoutError:
                process.kill()
                await process.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.unix is not None:
            self.unix.close()
        if self.folder is not None:
            self.folder.cleanup()
