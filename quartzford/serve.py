"""`serve --operator FILE`: one balancer, with what the operator's file switches on."""

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

BYTES_PER_MB = 1e6  # of a trace
MIN_TRACE_CLOSE_S = 0.05  # for the trace's last lines, however late it is
MIN_GRACE_SHARE = 0.25  # of a drain's grace, where that is hardly longer than a hold-up
SHUTDOWN_CHECK_S = 0.02


def config_path(operator: OperatorSettings, path: str) -> str:
    """The configuration file: EDGE_CONFIG, or what the operator's file names, relative to its own folder.

    path: of the operator's file. "" where neither names one.
    """
    from_environment = os.environ.get(CONFIG_VARIABLE)
    if from_environment:
        return from_environment
    return str(Path(path).parent / operator.config) if operator.config else ""


def check_compatible(operator: OperatorSettings, config: Config) -> None:
    """OperatorError where the operator's file demands what the configuration rules out."""
    if operator.lists is not None and operator.lists.relays and not config.settings.polls_list:
        raise OperatorError(
            'lists.relays: relays are for registryMode "subscribe"; the configuration\'s lists are pushed'
        )


def decision_valid_s(extproc: ExtprocSettings, settings: io.Settings) -> float:
    """For how long a decision is valid, so that a worker held up as it writes one keeps a drain's grace."""
    grace_ms = settings.rules.drain_grace_ms
    within_grace_ms = max(MIN_GRACE_SHARE * grace_ms, grace_ms - settings.stall_ms)
    return min(extproc.decision_valid_ms, within_grace_ms) / 1000.0


class ExternalProcessor(NamedTuple):
    """The parts of the external processor: callers make the attempts that its backend decides."""

    front: ExtprocFront
    backend: CallerBackend


class Service:
    """A node with the operator's parts, their reload and their end."""

    def __init__(self, path: str, loop: asyncio.AbstractEventLoop) -> None:
        """path: of the operator's file. OperatorError or ConfigError where a file can't be used."""
        self.path = path
        self.operator = load_operator_settings(path)
        config = load_config(config_path(self.operator, path))
        check_compatible(self.operator, config)
        self.node = make_node(self.operator, config, loop)
        lists = self.operator.lists
        if lists is not None and lists.snapshot:
            keep_snapshot(self.node, self._beside_file(lists.snapshot), lists)
        trace = self.operator.trace
        self.recorder: Recorder | None = None
        if trace is not None:
            self.recorder = record(self.node, self._beside_file(trace.file), trace)
        self.extproc: ExternalProcessor | None = None
        if self.operator.extproc is not None:
            self.extproc = make_external_processor(self.node, self.operator.extproc)

    def _beside_file(self, name: str) -> Path:
        """A path that the operator's file gives, relative to its folder."""
        return Path(self.path).parent / name

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT; SIGHUP reloads. ConfigError where an address can't be had."""
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
        load_arrays()  # now, not when the fleet first grows to where they are used
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
        """Read both files again. One that can't be used leaves all that is in force as it is."""
        try:
            operator = load_operator_settings(self.path)
            config = load_config(config_path(operator, self.path))
            check_compatible(operator, config)
            key = first_restart_only_change(self.operator, operator)
            if key:
                raise OperatorError(f"{key}: a change takes a restart")
        except (OperatorError, ConfigError) as error:
            self.node.log.line("reload", f"{error}; the settings in force stay")
            return
        self.node.reconfigure(config)
        self.operator = operator
        if self.extproc is not None and operator.extproc is not None:
            self.extproc.backend.decision_valid_s = decision_valid_s(operator.extproc, config.settings)
            self.extproc.front.reconfigure(operator.extproc, config.report_names)
        self.node.log.line("reload", f"in force, discovery at {config.discovery[0]}:{config.discovery[1]}")


def make_node(operator: OperatorSettings, config: Config, loop: asyncio.AbstractEventLoop) -> Node:
    """A node with the operator's subset and list service."""
    subset = None
    if operator.subset is not None:
        subset = Subset(config.name, operator.subset.size, operator.subset.per_zone)
    if operator.lists is None:
        return Node(config, loop, subset)
    return Node(
        config,
        loop,
        subset,
        lists_per_s=operator.lists.calls_per_s,
        relays=[split_address(text) for text in operator.lists.relays],
    )


def keep_snapshot(node: Node, path: Path, lists: ListsSettings) -> None:
    """Keep the node's last list in a file; OperatorError where there is no folder for it."""
    # Only here: installations without a lasting disk don't load it.
    from quartzford.membership.snapshot import SnapshotAgeLimits
    from quartzford.membership.snapshot_writer import SnapshotWriter

    if not path.parent.is_dir():
        raise OperatorError(f"lists.snapshot: {path.parent} is no folder")
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


def record(node: Node, path: Path, trace: TraceSettings) -> Recorder:
    """Record the node's requests in a file; OperatorError where it can't be opened."""
    max_bytes = int(trace.most_mb * BYTES_PER_MB)
    try:
        recorder = Recorder(str(path), trace.keys, max_bytes, node.clock, node.log)
    except OSError as error:
        raise OperatorError(f"trace.file: {error}") from None
    node.engine.recorder = recorder
    return recorder


def make_external_processor(node: Node, settings: ExtprocSettings) -> ExternalProcessor:
    """The external processor of a node; OperatorError where its token key can't be used."""
    # Only here: gRPC and its messages are an extra, and cost other runs nothing.
    from quartzford.backends.caller import CallerBackend
    from quartzford.fronts.extproc.service import ExtprocFront

    config = node.config
    backend = CallerBackend(node.engine, node.clock, decision_valid_s(settings, config.settings))
    node.followers.append(backend)
    front = ExtprocFront(settings, config.report_names, node.engine, backend, node.clock, node.log)
    return ExternalProcessor(front, backend)


async def serve(path: str) -> None:
    """Run the balancer of an operator's file until SIGTERM; OperatorError or ConfigError otherwise."""
    await Service(path, asyncio.get_running_loop()).run()
