"""The program's own Node in a measuring process, without a log, and the list in its decision module."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Mapping

from quartzford.decision import interface as io
from quartzford.membership import line_splitter
from quartzford.node import Node
from quartzford.settings.configuration import Config, read_config
from standins.site import config, reserved_port

SITE_TICK_MS = 5.0
LINE_BYTES = 64 * 1024 * 1024  # room for the lists that are measured, whatever the program's own bound
TAKE_IN_TIMEOUT_S = 60.0


class NullLog:
    """A log that keeps nothing."""

    def line(self, topic: str, text: str) -> None:
        """Drop a line."""

    def exception(self, where: str) -> None:
        """Raise the exception that is being handled again: none is expected here."""
        raise


def line_bytes_in_force() -> int:
    """The longest line of discovery that the program accepts, in bytes."""
    return line_splitter.MAX_LINE_BYTES


def accept_long_lines() -> None:
    """Raise this process's bound on a line to LINE_BYTES."""
    line_splitter.MAX_LINE_BYTES = max(line_splitter.MAX_LINE_BYTES, LINE_BYTES)


def balancer_config(discovery: int, tick_ms: float = SITE_TICK_MS) -> Config:
    """A lone balancer that polls the list service at this port itself, and starts without a list."""
    table = config(reserved_port(), discovery, {"seq": 0, "whole": True, "hosts": []})
    table["settings"] |= {"registryMode": "subscribe", "nInstances": 1, "tickMs": tick_ms}
    return read_config(json.dumps(table))


def node_without_log(settings: Config) -> Node:
    """The program's node on the running loop, without its log."""
    node = Node(settings, asyncio.get_running_loop())
    node.log = node.watch.log = node.engine.log = NullLog()  # type: ignore[assignment]
    return node


class ListObserver:
    """Observes each piece of the list that the decision module takes in, until a condition holds."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.update_list = node.engine.endpoint_list_update
        self.condition: Callable[[], bool] = lambda: False
        self.done: asyncio.Future[float] = node.loop.create_future()
        node.engine.endpoint_list_update = self._on_update  # type: ignore[method-assign]

    def _on_update(
        self, kind: str, entries: tuple[io.Endpoint, ...] = (), starts: Mapping[str, float] = io.NO_STARTS
    ) -> None:
        self.update_list(kind, entries, starts)
        if not self.done.done() and self.condition():
            self.done.set_result(time.monotonic())

    async def wait_until(self, condition: Callable[[], bool]) -> float:
        """The moment (monotonic clock) at which the condition first held; TimeoutError after a minute."""
        self.condition, self.done = condition, self.node.loop.create_future()
        if condition():
            return time.monotonic()
        return await asyncio.wait_for(self.done, TAKE_IN_TIMEOUT_S)


async def take_in_list(node: Node, count: int) -> float:
    """Start the node; the seconds until its decision module has this many upstreams."""
    observer, begun = ListObserver(node), time.monotonic()
    await node.start()
    return await observer.wait_until(lambda: len(node.engine.balancer.servers) == count) - begun
