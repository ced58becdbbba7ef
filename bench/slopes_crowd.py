"""A crowd of plain sockets, in a process of its own, that polls and watches a process serving lists."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from multiprocessing.connection import Connection
from typing import Any, NamedTuple, cast

import httptools
import uvloop

from bench.slopes_process import MeasurementError, receive

CONCURRENT_CALLS = 32
OPEN_TIMEOUT_S, NOTIFY_TIMEOUT_S = 60.0, 30.0
SETTLE_S = 0.3
CHECK_S = 0.005
LIST_PATH = "/catalog/members"
OK = b"HTTP/1.1 200"
HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class Poll:
    """An order to the crowd: request the complete list this many times; it replies with a ReceivedList."""

    times: int


@dataclass(frozen=True)
class Watch:
    """An order to the crowd: open this many more watches; it replies with Watches."""

    count: int


@dataclass(frozen=True)
class AwaitNotifications:
    """An order to the crowd: wait until this many watches got a change; it replies with how many did."""

    expected: int


Order = Poll | Watch | AwaitNotifications


class ReceivedList(NamedTuple):
    """The version of the last list that was received, and the bytes of its answer."""

    version: int
    size: int


class Watches(NamedTuple):
    """Watches of all orders so far."""

    accepted: int
    rejected: int


class CrowdConnection(asyncio.Protocol):
    """One connection of the crowd, for a call or a watch; counts the lines with rows of a watch."""

    transport: asyncio.Transport

    def __init__(self, crowd: Crowd, target: str) -> None:
        self.crowd, self.target = crowd, target
        self.watches = "stream" in target
        self.data = b""
        self.ended: asyncio.Future[bytes] = crowd.loop.create_future()
        self.answered = False
        self.parser: Any = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self.transport = cast(asyncio.Transport, transport)
        closing = "" if self.watches else "Connection: close\r\n"
        self.transport.write(f"GET {self.target} HTTP/1.1\r\nHost: a:1\r\n{closing}\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Part of the answer; of a watch the first part is the head, all others are lines."""
        if not self.watches:
            self.data += data
            self.parser.feed_data(data)
        elif not self.answered:
            self.answered = True
            accepted = data.startswith(OK)
            self.crowd.accepted += accepted
            self.crowd.rejected += not accepted
        else:
            self.crowd.notified += data.count(b'"hosts"')

    def on_message_complete(self) -> None:
        """The whole answer to a call has been received (httptools)."""
        self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended; a call's answer is what was received."""
        self.parser = None
        if not self.ended.done():
            self.ended.set_result(self.data)


class Crowd:
    """Pollers and watchers of one port of this machine."""

    def __init__(self, pipe: Connection, port: int) -> None:
        self.pipe, self.port, self.loop = pipe, port, asyncio.get_running_loop()
        self.accepted = self.rejected = self.notified = 0
        self.watchers: list[CrowdConnection] = []

    async def run(self) -> None:
        """Carry out orders until the pipe ends, with EOFError."""
        while True:
            order: Order = await self.loop.run_in_executor(None, self.pipe.recv)
            self.pipe.send(await self._carry_out(order))

    async def _carry_out(self, order: Order) -> ReceivedList | Watches | int:
        match order:
            case Poll(times):
                return await self._poll(times)
            case Watch(count):
                return await self._watch(count)
            case AwaitNotifications(expected):
                return await self._await_notifications(expected)

    async def _connect(self, target: str) -> CrowdConnection:
        def make() -> CrowdConnection:
            return CrowdConnection(self, target)

        _, connection = await self.loop.create_connection(make, "127.0.0.1", self.port)
        return connection

    async def _poll(self, times: int) -> ReceivedList:
        """Request complete lists, a few at a time."""
        last = b""
        for begin in range(0, times, CONCURRENT_CALLS):
            concurrent = min(CONCURRENT_CALLS, times - begin)
            calls = [await self._connect(LIST_PATH) for _ in range(concurrent)]
            answers = await asyncio.gather(*(call.ended for call in calls))
            last = answers[-1]
            if not all(answer.startswith(OK) for answer in answers):
                raise MeasurementError(f"a call was answered {last[:100]!r}")
        head, _, body = last.partition(HEAD_END)
        found = re.search(rb'"seq":\s*(\d+)', body[:200])
        return ReceivedList(int(found[1]) if found else 0, len(head) + len(HEAD_END) + len(body))

    async def _watch(self, count: int) -> Watches:
        """Open watches from the current version on, a few at a time."""
        version = (await self._poll(1)).version
        target = f"{LIST_PATH}?stream=1&index={version}"
        expected = self.accepted + self.rejected + count
        for begin in range(0, count, CONCURRENT_CALLS):
            for _ in range(min(CONCURRENT_CALLS, count - begin)):
                self.watchers.append(await self._connect(target))
        await self._wait_until(lambda: self.accepted + self.rejected >= expected, OPEN_TIMEOUT_S)
        await asyncio.sleep(SETTLE_S)
        self.notified = 0
        return Watches(self.accepted, self.rejected)

    async def _await_notifications(self, expected: int) -> int:
        """Wait for this many lines with rows; how many there were."""
        await self._wait_until(lambda: self.notified >= expected, NOTIFY_TIMEOUT_S)
        notified, self.notified = self.notified, 0
        return notified

    async def _wait_until(self, condition: Callable[[], bool], seconds: float) -> None:
        end = time.monotonic() + seconds
        while not condition() and time.monotonic() < end:
            await asyncio.sleep(CHECK_S)


def crowd_main(pipe: Connection, port: int) -> None:
    """Run a crowd against a port of this machine until the pipe ends."""

    async def main() -> None:
        await Crowd(pipe, port).run()

    with suppress(EOFError):
        uvloop.run(main())


# ---- in the measuring process


def poll(pipe: Connection, times: int) -> ReceivedList:
    """Let the crowd request the complete list this many times."""
    pipe.send(Poll(times))
    received: ReceivedList = receive(pipe)
    return received


def watch(pipe: Connection, count: int) -> Watches:
    """Let the crowd open this many more watches."""
    pipe.send(Watch(count))
    watches: Watches = receive(pipe)
    return watches


def await_notifications(pipe: Connection, expected: int) -> int:
    """Wait until this many watches of the crowd got a change; how many did."""
    pipe.send(AwaitNotifications(expected))
    return int(receive(pipe))
