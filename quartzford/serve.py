"""`serve --operator FILE`: one balancer with the features that the operator's file enables."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from quartzford.decision import interface as io
from quartzford.decision.columns import load_arrays
from quartzford.membership.subset import Subset
from quartzford.node import Node, start_listening
from quartzford.process_memory import ProcessMemory
from quartzford.recording import Recorder
from quartzford.settings.configuration import CONFIG_VARIABLE, Config, ConfigError, load_config
from quartzford.settings.operator_checks import OperatorError, split_address
from quartzford.settings.operator_file import load_operator_settings
from quartzford.settings.operator_settings import (
    ExtprocSettings,
    ListsSettings,
    OperatorSettings,
    TraceSettings,
    first_restart_only_change,
)

if TYPE_CHECKING:
    from quartzford.backends.caller import CallerBackend
    from quartzford.fronts.extproc.service import ExtprocFront

BYTES_PER_MB = 1e6  # in the size limit of a trace
MIN_TRACE_CLOSE_S = 0.05  # minimum time for writing the last lines of the trace
# Minimum decision validity as a share of the drain grace, for a grace hardly longer than a hold-up.
MIN_GRACE_SHARE = 0.25
SHUTDOWN_CHECK_S = 0.02


def config_path(operator: OperatorSettings, path: str) -> str:
    """Return the path of the configuration: EDGE_CONFIG, else the one in the operator's file, else "".

    A path in the operator's file is relative to that file's folder. path: of the operator's file.
    """
    from_environment = os.environ.get(CONFIG_VARIABLE)
    if from_environment:
        return from_environment
    return str(Path(path).parent / operator.config) if operator.config else ""


def check_compatible(operator: OperatorSettings, config: Config) -> None:
    """Raise OperatorError if the operator's file requires something that the configuration excludes."""
    if operator.lists is not None and operator.lists.relays and not config.settings.polls_list:
        raise OperatorError(
            'lists.relays: relays require registryMode "subscribe"; in this configuration lists are pushed'
        )


def decision_valid_s(extproc: ExtprocSettings, settings: io.Settings) -> float:
    """Return for how many seconds a decision is valid.

    The validity ends early enough that a worker held up while it writes a decision still respects the drain
    grace.
    """
    grace_ms = settings.rules.drain_grace_ms
    within_grace_ms = max(MIN_GRACE_SHARE * grace_ms, grace_ms - settings.stall_ms)
    return min(extproc.decision_valid_ms, within_grace_ms) / 1000.0


class ExternalProcessor(NamedTuple):
    """The front and the backend of the external processor. Its callers make the attempts."""

    front: ExtprocFront
    backend: CallerBackend


class Service:
    """A node with the features of the operator's file. Starts, reloads and stops them."""

    def __init__(self, path: str, loop: asyncio.AbstractEventLoop) -> None:
        """path: of the operator's file. Raises OperatorError or ConfigError if a file is invalid."""
        self.path = path
        self.operator = load_operator_settings(path)
        config = load_config(config_path(self.operator, path))
        check_compatible(self.operator, config)
        self.node = make_node(self.operator, config, loop)
        lists = self.operator.lists
        if lists is not None and lists.snapshot:
            enable_snapshot(self.node, self._relative_to_file(lists.snapshot), lists)
        trace = self.operator.trace
        self.recorder: Recorder | None = None
        if trace is not None:
            self.recorder = start_recording(self.node, self._relative_to_file(trace.file), trace)
        self.extproc: ExternalProcessor | None = None
        if self.operator.extproc is not None:
            self.extproc = make_external_processor(self.node, self.operator.extproc)

    def _relative_to_file(self, name: str) -> Path:
        """Resolve a path of the operator's file, relative to the file's folder."""
        return Path(self.path).parent / name

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT; SIGHUP reloads. Raises ConfigError if an address can't be bound."""
        loop = self.node.loop
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.node.terminate)
        await self.start()
        while not self.node.shutting_down:
            await asyncio.sleep(SHUTDOWN_CHECK_S)
        await self._stop()

    async def start(self) -> None:
        """Listen for clients, and for streams of the external processor."""
        load_arrays()  # avoids a delay when the fleet first reaches the size that uses arrays
        await start_listening(self.node)
        if self.extproc is not None:
            front = self.extproc.front
            await front.start()
            self.node.log.line("extproc", f"listening on port {front.port}")

    async def _stop(self) -> None:
        if self.extproc is not None:
            await self.extproc.front.stop()
        await self.node.finished
        if self.recorder is not None:
            left_s = self.node.exit_deadline() - self.node.clock.now()
            self.recorder.close(max(MIN_TRACE_CLOSE_S, left_s))

    def reload(self) -> None:
        """Read both files again. If one of them is invalid, the current settings stay in force."""
        try:
            operator = load_operator_settings(self.path)
            config = load_config(config_path(operator, self.path))
            check_compatible(operator, config)
            key = first_restart_only_change(self.operator, operator)
            if key:
                raise OperatorError(f"{key}: a change requires a restart")
        except (OperatorError, ConfigError) as error:
            self.node.log.line("reload", f"{error}; keeping the current settings")
            return
        self.node.reconfigure(config)
        self.operator = operator
        if self.extproc is not None and operator.extproc is not None:
            self.extproc.backend.decision_valid_s = decision_valid_s(operator.extproc, config.settings)
            self.extproc.front.reconfigure(operator.extproc, config.report_names)
        self.node.log.line(
            "reload", f"settings in force, discovery at {config.discovery[0]}:{config.discovery[1]}"
        )


def make_node(operator: OperatorSettings, config: Config, loop: asyncio.AbstractEventLoop) -> Node:
    """A node with the operator's subset and list service."""
    subset = None
    if operator.subset is not None:
        subset = Subset(config.name, operator.subset.size, operator.subset.per_zone)
    if operator.lists is None:
        return Node(config, loop, subset, memory=ProcessMemory())
    return Node(
        config,
        loop,
        subset,
        lists_per_s=operator.lists.calls_per_s,
        relays=[split_address(text) for text in operator.lists.relays],
        memory=ProcessMemory(),
    )


def enable_snapshot(node: Node, path: Path, lists: ListsSettings) -> None:
    """Write the node's last list to a snapshot file. Raises OperatorError if its folder does not exist."""
    # Imported here so that installations without a persistent disk don't load it.
    from quartzford.membership.snapshot import SnapshotAgeLimits
    from quartzford.membership.snapshot_writer import SnapshotWriter

    if not path.parent.is_dir():
        raise OperatorError(f"lists.snapshot: folder {path.parent} does not exist")
    node.snapshot_writer = SnapshotWriter(
        str(path),
        SnapshotAgeLimits(lists.snapshot_age_s, lists.snapshot_fresh_s),
        lambda: "{}:{}".format(*node.config.discovery),
        node.registry.table,
        node.watch.is_current,
        node.clock,
        node.log,
        node.loop,
    )


def start_recording(node: Node, path: Path, trace: TraceSettings) -> Recorder:
    """Record the node's requests in a file. Raises OperatorError if the file can't be created."""
    max_bytes = int(trace.most_mb * BYTES_PER_MB)
    try:
        recorder = Recorder(str(path), trace.keys, max_bytes, node.clock, node.log)
    except OSError as error:
        raise OperatorError(f"trace.file: {error}") from None
    node.engine.recorder = recorder
    return recorder


def make_external_processor(node: Node, settings: ExtprocSettings) -> ExternalProcessor:
    """Create the external processor of a node. Raises OperatorError if its token key is invalid."""
    # Imported here because gRPC is an optional dependency, which other runs should not load.
    from quartzford.backends.caller import CallerBackend
    from quartzford.fronts.extproc.service import ExtprocFront

    config = node.config
    backend = CallerBackend(node.engine, node.clock, decision_valid_s(settings, config.settings))
    node.followers.append(backend)
    front = ExtprocFront(settings, config.report_names, node.engine, backend, node.clock, node.log)
    return ExternalProcessor(front, backend)


async def serve(path: str) -> None:
    """Run the balancer of an operator's file until SIGTERM.

    Raises OperatorError or ConfigError if the balancer can't start.
    """
    await Service(path, asyncio.get_running_loop()).run()
