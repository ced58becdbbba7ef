"""`serve --operator FILE`: one balancer, with what the operator's file switches on."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path
from typing import Any

from quartzford.decision import interface as io
from quartzford.decision.columns import load_arrays
from quartzford.membership.subset import Subset
from quartzford.node import LISTS_PER_S, Node, start_listening
from quartzford.recording import Recorder
from quartzford.settings.configuration import Config, ConfigError, load_config
from quartzford.settings.operator_checks import OperatorError, split_address
from quartzford.settings.operator_file import load_operator_settings
from quartzford.settings.operator_settings import (
    ExtprocSettings,
    ListsSettings,
    OperatorSettings,
    first_restart_only_change,
)

MIN_TRACE_CLOSE_S = 0.05  # for the trace's last lines, however late it is
MIN_GRACE_SHARE = 0.25  # of a drain's grace, where that is hardly longer than a hold-up


def config_path(operator: OperatorSettings, path: str) -> str:
    """The platform-form file: EDGE_CONFIG, or what the operator's file names, seen from where that lies."""
    set_outside = os.environ.get("EDGE_CONFIG")
    if set_outside:
        return set_outside
    return str(Path(path).parent / operator.config) if operator.config else ""


def check_compatible(operator: OperatorSettings, config: Config) -> None:
    """OperatorError where the operator's file asks for what the configuration rules out."""
    if operator.lists is not None and operator.lists.relays and not config.settings.polls_list:
        raise OperatorError(
            'lists.relays: relays are for registryMode "subscribe"; the configuration\'s lists are pushed'
        )


def decision_valid_s(extproc: ExtprocSettings, settings: io.Settings) -> float:
    """For how long a decision stands: a worker that is held up as it writes one keeps to a drain's grace."""
    grace_ms = settings.rules.drain_grace_ms
    within_grace_ms = max(MIN_GRACE_SHARE * grace_ms, grace_ms - settings.stall_ms)
    return min(extproc.decision_valid_ms, within_grace_ms) / 1000.0


class Service:
    """A node with the operator's parts, their reload and their end."""

    def __init__(self, path: str, loop: asyncio.AbstractEventLoop) -> None:
        self.path = path
        self.operator = load_operator_settings(path)
        config = load_config(config_path(self.operator, path))
        check_compatible(self.operator, config)
        chosen = self.operator.subset
        subset = Subset(config.name, chosen.size, chosen.per_zone) if chosen is not None else None
        lists = self.operator.lists
        self.node = Node(
            config,
            loop,
            subset,
            lists_per_s=lists.calls_per_s if lists else LISTS_PER_S,
            relays=[split_address(text) for text in lists.relays] if lists else (),
        )
        if lists is not None and lists.snapshot:
            self._keep(str(Path(path).parent / lists.snapshot), lists)
        self.recorder = self._recorder(path)
        self.extproc: Any = None
        if self.operator.extproc is not None:
            self.extproc = self._extproc(config)

    def _keep(self, where: str, lists: ListsSettings) -> None:
        # Only here: installations without a lasting disk don't load it.
        from quartzford.membership.snapshot import Rule
        from quartzford.membership.snapshot_writer import SnapshotWriter

        node = self.node
        if not Path(where).parent.is_dir():
            raise OperatorError(f"lists.snapshot: {Path(where).parent} is no folder")
        rule = Rule(lists.snapshot_age_s, lists.snapshot_fresh_s)
        node.snapshot_writer = SnapshotWriter(
            where,
            rule,
            lambda: "{}:{}".format(*node.config.discovery),
            node.registry.table,
            node.watch.is_current,
            node.clock,
            node.log,
            node.loop,
        )

    def _recorder(self, path: str) -> Recorder | None:
        settings, node = self.operator.trace, self.node
        if settings is None:
            return None
        try:
            where, most = str(Path(path).parent / settings.file), int(settings.most_mb * 1e6)
            node.engine.recorder = one = Recorder(where, settings.keys, most, node.clock, node.log)
        except OSError as error:
            raise OperatorError(f"trace.file: {error}") from None
        return one

    def _extproc(self, config: Config) -> Any:
        # Only here: gRPC and its messages are an extra, and cost the platform's run nothing.
        from quartzford.backends.caller import CallerBackend
        from quartzford.fronts.extproc.service import ExtprocFront

        node, settings = self.node, self.operator.extproc
        assert settings is not None
        valid_s = decision_valid_s(settings, config.settings)
        self.backend = CallerBackend(node.engine, node.clock, valid_s)
        node.followers.append(self.backend)
        return ExtprocFront(settings, config.report_names, node.engine, self.backend, node.clock, node.log)

    async def start(self) -> None:
        load_arrays()  # now, not when the fleet first grows to where they are used
        await start_listening(self.node)
        if self.extproc is not None:
            await self.extproc.start()
            self.node.log.line("extproc", f"listening on port {self.extproc.port}")

    def reload(self) -> None:
        """Both files again. One that can't be used leaves all that is in force as it is."""
        try:
            operator = load_operator_settings(self.path)
            config = load_config(config_path(operator, self.path))
            check_compatible(operator, config)
            key = first_restart_only_change(self.operator, operator)
            if key:
                raise OperatorError(f"{key}: a change takes a restart")
        except (OperatorError, ConfigError) as error:
            return self.node.log.line("reload", f"{error}; the settings in force stay")
        self.node.reconfigure(config)
        self.operator = operator
        if self.extproc is not None and operator.extproc is not None:
            self.backend.valid_s = decision_valid_s(operator.extproc, config.settings)
            self.extproc.reconfigure(operator.extproc, config.report_names)
        self.node.log.line("reload", f"in force, discovery at {config.discovery[0]}:{config.discovery[1]}")

    async def run(self) -> None:
        loop = self.node.loop
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.node.terminate)
        await self.start()
        while not self.node.shutting_down:
            await asyncio.sleep(0.02)
        if self.extproc is not None:
            await self.extproc.stop()
        await self.node.finished
        if self.recorder is not None:
            self.recorder.close(max(MIN_TRACE_CLOSE_S, self.node.exit_by() - self.node.clock.now()))


async def serve(path: str) -> None:
    await Service(path, asyncio.get_running_loop()).run()
