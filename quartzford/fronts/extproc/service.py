"""Assembles the external processor: the decision service, and gRPC servers in this process or in workers."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import Any

from quartzford.engine import Backend, Clock, Engine, Log
from quartzford.fronts.extproc.channel_messages import CONFIGURATION, STOP
from quartzford.fronts.extproc.decision_link import LocalLink
from quartzford.fronts.extproc.decision_service import DecisionService
from quartzford.fronts.extproc.messages import HeaderNames
from quartzford.fronts.extproc.server import STREAM_GRACE_S, Processor
from quartzford.fronts.extproc.service_channel import ServiceChannel
from quartzford.fronts.extproc.token import Tokens
from quartzford.settings.operator_checks import OperatorError
from quartzford.settings.operator_settings import ExtprocSettings

MIN_RESTART_BACKOFF_S = 0.1  # delay of a worker's restart; doubles while workers die early
MAX_RESTART_BACKOFF_S = 5.0
POLL_INTERVAL_S = 0.02
TOKEN_KEY_BYTES = 32
MIN_TOKEN_KEY_BYTES = 16
INCARNATION_BYTES = 8
WORKER_START_TIMEOUT_S = 10.0  # wait for all workers; afterwards the node starts with those that listen


def token_key(path: str) -> bytes:
    """Return the key in a file; without a path, a random key for this incarnation of the process.

    Raises OperatorError if the file cannot be read or is too short.
    """
    if not path:
        return os.urandom(TOKEN_KEY_BYTES)
    try:
        key = Path(path).read_bytes()
    except OSError as error:
        raise OperatorError(f"extproc.token_key_file: {error}") from None
    if len(key) < MIN_TOKEN_KEY_BYTES:
        raise OperatorError(
            f"extproc.token_key_file: {path}: {len(key)} bytes, but a key needs {MIN_TOKEN_KEY_BYTES} or more"
        )
    return key


def header_names(settings: ExtprocSettings, report_names: tuple[str, ...]) -> HeaderNames:
    """Return the configured header names and limits. report_names: the load report's figures, in order."""
    return HeaderNames(
        **dict(settings.headers),
        cookie=settings.cookie,
        default_class=settings.default_class,
        most_headers=settings.most_headers,
        most_bytes=settings.most_header_bytes,
        report_names=report_names,
    )


class ExtprocFront:
    """The deciding process with its decision service, and the workers that speak gRPC for it, if any."""

    def __init__(
        self,
        settings: ExtprocSettings,
        report_names: tuple[str, ...],
        engine: Engine,
        backend: Backend,
        clock: Clock,
        log: Log,
    ) -> None:
        self.settings = settings
        self.engine = engine
        self.clock = clock
        self.log = log
        self.names = header_names(settings, report_names)
        tokens = Tokens(token_key(settings.token_key_file), os.urandom(INCARNATION_BYTES))
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
        self.supervisors: list[asyncio.Task[None]] = []
        self.processor: Processor | None = None
        self.unix_server: asyncio.Server | None = None
        self.socket_folder: tempfile.TemporaryDirectory[str] | None = None
        self.stopping = False

    @property
    def max_deadline_s(self) -> float:
        """Return the longest deadline of all classes, seconds."""
        return self.engine.max_deadline_ms / 1000.0

    async def start(self) -> None:
        """Listen, in this process or in workers.

        Returns when all workers listen, or after WORKER_START_TIMEOUT_S with those that do.
        """
        if self.settings.workers == 0:
            link, max_streams = LocalLink(self.service), self.settings.most_streams
            self.processor = Processor(
                link, self.names, self.max_deadline_s, max_streams, self.clock, self.log
            )
            self.port = await self.processor.listen(self.settings.listen)
            return
        self.socket_folder = tempfile.TemporaryDirectory(prefix="quartzford-", ignore_cleanup_errors=True)
        path = str(Path(self.socket_folder.name) / "desk")
        loop = asyncio.get_running_loop()
        self.unix_server = await loop.create_unix_server(
            lambda: ServiceChannel(self.service, self.log, self.channels, self._initial_message), path
        )
        host, _, port = self.settings.listen.rpartition(":")
        for number in range(self.settings.workers):
            self.supervisors.append(
                loop.create_task(self._supervise(number, path, f"{host}:{self.port or port}"))
            )
            if port == "0" and not self.port:  # all workers share the port that the kernel chose
                self.port = await self._wait_for_port()
        if not self.port:
            self.port = int(port)
        give_up_at = self.clock.now() + WORKER_START_TIMEOUT_S
        while sum(bool(channel.port) for channel in self.channels) < self.settings.workers:
            if self.clock.now() > give_up_at:
                return self.log.line("extproc", "starting although some workers do not listen yet")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait_for_port(self) -> int:
        while True:
            for channel in self.channels:
                if channel.port:
                    return channel.port
            await asyncio.sleep(POLL_INTERVAL_S)

    def _initial_message(self) -> tuple[Any, ...]:
        """Return the first message to a worker: its configuration, or STOP if the front is stopping."""
        if self.stopping:
            return (STOP,)
        return (CONFIGURATION, asdict(self.names), self.max_deadline_s)

    async def _supervise(self, number: int, path: str, address: str) -> None:
        """Run a worker, and restart it when it dies: the service keeps the requests of its callers."""
        backoff_s = MIN_RESTART_BACKOFF_S
        while not self.stopping:
            started_at = self.clock.now()
            listen_address = f"{address.rpartition(':')[0]}:{self.port}" if self.port else address
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "quartzford.fronts.extproc.worker",
                path,
                listen_address,
                str(self.settings.most_streams),
            )
            self.workers[number] = process
            code = await process.wait()
            if self.stopping:
                return
            self.log.line("extproc", f"worker {number} exited with code {code}; restarting it")
            if self.clock.now() - started_at > MAX_RESTART_BACKOFF_S:
                backoff_s = MIN_RESTART_BACKOFF_S
            else:
                backoff_s = min(MAX_RESTART_BACKOFF_S, 2 * backoff_s)
            await asyncio.sleep(backoff_s)

    def reconfigure(self, settings: ExtprocSettings, report_names: tuple[str, ...]) -> None:
        """Apply new settings under load. Open streams continue with the new header names."""
        self.settings = settings
        self.names = header_names(settings, report_names)
        self.service.return_s = settings.return_ms / 1000.0
        self.service.overlap_s = settings.overlap_ms / 1000.0
        self.service.max_requests = settings.most_requests
        self.service.queue_s = settings.queue_ms / 1000.0
        if self.processor is not None:
            self.processor.configure(self.names, self.max_deadline_s)
        for channel in self.channels:
            channel.configure()

    async def stop(self) -> None:
        """Send GOAWAY to all callers and stop; open streams may finish within the longest deadline."""
        self.stopping = True
        if self.processor is not None:
            await self.processor.stop(self.max_deadline_s + STREAM_GRACE_S)
        for channel in list(self.channels):
            channel.send(STOP)
        for process in self.workers.values():
            try:
                await asyncio.wait_for(process.wait(), self.max_deadline_s + 2 * STREAM_GRACE_S)
            except TimeoutError:
                process.kill()
                await process.wait()
        for task in self.supervisors:
            task.cancel()
        await asyncio.gather(*self.supervisors, return_exceptions=True)
        if self.unix_server is not None:
            self.unix_server.close()
        if self.socket_folder is not None:
            self.socket_folder.cleanup()
