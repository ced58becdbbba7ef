"""Slopes of what serves lists: the cost of an asker, of a watcher, of a change told to N, of a whole list.

Each role of ROLES is measured alike: it is started as a process of its own, and asked and watched by a crowd
of plain sockets in another. Costs are the role's processor time by the kernel's clock of its process.
"""

from __future__ import annotations

import asyncio
import json
import math
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, suppress
from dataclasses import dataclass
from importlib.util import find_spec
from multiprocessing.connection import Connection
from pathlib import Path
from statistics import median
from threading import Thread
from typing import Any, NamedTuple, cast

import httptools
import uvloop

from bench.common import ROOT
from bench.fit import figure
from bench.slopes_process import MeasurementError, processor_s, receive, resident_mb, spawned
from bench.slopes_source import Row, rows

TARGET_BALANCERS, TARGET_UPSTREAMS = 4_600, 63_000
RELAYS = 11
MOST_WATCHERS = math.ceil(1.25 * TARGET_BALANCERS / (RELAYS - math.ceil(RELAYS / 4)))
WATCHED_ROWS = 100
CONCURRENT_CALLS = 32  # calls of the crowd
SETTLE_S, NOTIFY_TIMEOUT_S, OPEN_TIMEOUT_S = 0.3, 30.0, 60.0
STOP_TIMEOUT_S = 5.0


class Sizes(NamedTuple):
    """What is measured, each with the size that is kept out of the fit."""

    polls: tuple[int, ...]
    kept_polls: int
    watchers: tuple[int, ...]
    kept_watchers: int
    changes: int
    rest_s: float
    upstreams: tuple[int, ...]
    kept_upstreams: int


QUICK = Sizes((50, 100, 200, 400), 200, (50, 100, 200, 400), 200, 3, 2.0, (500, 1_000, 2_000, 4_000), 2_000)
FULL = Sizes(
    (250, 500, 1_000, 2_000),
    1_000,
    (200, 719, 1_500, 3_000, 4_600),
    1_500,
    5,
    4.0,
    (1_000, 4_000, 16_000, 32_000, 63_000),
    32_000,
)


# ---- roles


class RunningRole(NamedTuple):
    """A role's process. tell: the list as it is from now on."""

    port: int
    pid: int
    set_list: Callable[[list[Row]], None]


@contextmanager
def _started(arguments: list[str], **pipes: Any) -> Iterator[subprocess.Popen[bytes]]:
    running = subprocess.Popen([sys.executable, "-m", *arguments], cwd=ROOT, start_new_session=True, **pipes)
    try:
        yield running
    finally:
        running.terminate()
        try:
            running.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            running.kill()
            running.wait()
        for pipe in (running.stdin, running.stdout, running.stderr):
            if pipe is not None:
                pipe.close()


@contextmanager
def list_service() -> Iterator[RunningRole]:
    """The stand-in list service, without the bounds that it is given elsewhere."""
    plan = json.dumps({"per_s": 1e6, "bytes_per_s": 1e15})
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
    with _started(["standins.listservice", plan], **pipes) as running:
        assert running.stdin is not None and running.stdout is not None
        stdin = running.stdin
        port = json.loads(running.stdout.readline())["port"]

        def set_list(hosts: list[Row]) -> None:
            stdin.write(json.dumps({"hosts": hosts}).encode() + b"\n")
            stdin.flush()

        yield RunningRole(port, running.pid, set_list)


OPERATOR_SETTINGS = """
[relay]
listen = "127.0.0.1:0"
source = "127.0.0.1:{source}"
relays = 1
balancers = {balancers}
whole_bytes_per_s = 1000000000
most_watchers = {balancers}
source_calls_per_s = 1000
"""


@contextmanager
def relay() -> Iterator[RunningRole]:
    """One relay behind a list service of its own; the bound on whole lists is out of the way."""
    with list_service() as service, tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "operator.toml"
        path.write_text(OPERATOR_SETTINGS.format(source=service.port, balancers=2 * TARGET_BALANCERS))
        service.set_list(rows(1))
        arguments = ["quartzford", "relay", "--operator", str(path)]
        with _started(arguments, stderr=subprocess.PIPE) as running:
            yield RunningRole(_port_in_log(running), running.pid, service.set_list)


def _port_in_log(running: subprocess.Popen[bytes]) -> int:
    """The port that a relay says it listens on; what it says later is read and dropped."""
    stderr = running.stderr
    assert stderr is not None
    said = []
    for row in iter(stderr.readline, b""):
        said.append(row.decode(errors="replace"))
        if found := re.search(rb"listening on \S*:(\d+)", row):
            Thread(target=lambda: list(iter(lambda: stderr.read(65_536), b"")), daemon=True).start()
            return int(found[1])
    raise MeasurementError(f"the relay ended before it listened: {''.join(said)[-500:]}")


def has_relay() -> bool:
    """Whether this program has relays."""
    return find_spec("quartzford.relay") is not None


@dataclass(frozen=True, slots=True)
class Role:
    """One role, and the most balancers that one process of it has at the target."""

    name: str
    start: Callable[[], AbstractContextManager[RunningRole]]
    target_watchers: int
    is_available: Callable[[], bool] = lambda: True


ROLES = (
    Role("list service", list_service, TARGET_BALANCERS),
    Role("relay", relay, MOST_WATCHERS, has_relay),
)


# ---- the crowd


class CrowdConnection(asyncio.Protocol):
    """One connection of the crowd: asks, and counts the lines with rows that it hears."""

    transport: asyncio.Transport

    def __init__(self, crowd: Crowd, target: str) -> None:
        self.crowd, self.target = crowd, target
        self.data = b""
        self.ended: asyncio.Future[bytes] = crowd.loop.create_future()
        self.accepted = False
        self.parser: Any = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        closing = "" if "stream" in self.target else "Connection: close\r\n"
        self.transport.write(f"GET {self.target} HTTP/1.1\r\nHost: a:1\r\n{closing}\r\n".encode())

    def data_received(self, data: bytes) -> None:
        if "stream" not in self.target:
            self.data += data
            self.parser.feed_data(data)
            return
        if not self.accepted:
            self.accepted = True
            self.crowd.accepted += data.startswith(b"HTTP/1.1 200")
            self.crowd.rejected += not data.startswith(b"HTTP/1.1 200")
            return
        self.crowd.notified += data.count(b'"hosts"')

    def on_message_complete(self) -> None:
        """The whole answer to a GET has come."""
        self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.parser = None
        if not self.ended.done():
            self.ended.set_result(self.data)


class Crowd:
    """Askers and watchers, in a process of their own."""

    def __init__(self, pipe: Connection, port: int) -> None:
        self.pipe, self.port, self.loop = pipe, port, asyncio.get_running_loop()
        self.accepted = self.rejected = self.notified = 0
        self.watchers: list[CrowdConnection] = []

    async def run(self) -> None:
        """Follow orders: ("ask", times), ("watch", count), ("told", expected)."""
        orders = {"ask": self._poll, "watch": self._watch, "told": self._wait_for_notifications}
        while True:
            order, count = await self.loop.run_in_executor(None, self.pipe.recv)
            self.pipe.send(await orders[order](count))

    async def _call(self, target: str) -> CrowdConnection:
        _, call = await self.loop.create_connection(
            lambda: CrowdConnection(self, target), "127.0.0.1", self.port
        )
        return call

    async def _poll(self, times: int) -> tuple[int, int]:
        """Whole lists asked for, some at a time; the version of the last, and its bytes."""
        last = b""
        for begin in range(0, times, CONCURRENT_CALLS):
            calls = [
                await self._call("/catalog/members") for _ in range(min(CONCURRENT_CALLS, times - begin))
            ]
            answers = await asyncio.gather(*(call.ended for call in calls))
            last = answers[-1]
            if not all(answer.startswith(b"HTTP/1.1 200") for answer in answers):
                raise MeasurementError(f"a call was answered {last[:100]!r}")
        head, _, body = last.partition(b"\r\n\r\n")
        found = re.search(rb'"seq":\s*(\d+)', body[:200])
        return int(found[1]) if found else 0, len(head) + 4 + len(body)

    async def _wait_for_notifications(self, count: int) -> int:
        """Until so many lines with rows have been heard; how many it were."""
        await self._wait_until(lambda: self.notified >= count, NOTIFY_TIMEOUT_S)
        notified, self.notified = self.notified, 0
        return notified

    async def _watch(self, count: int) -> tuple[int, int]:
        """So many watches from the version that stands; how many were taken, and refused."""
        version, _ = await self._poll(1)
        target = f"/catalog/members?stream=1&index={version}"
        wanted = self.accepted + self.rejected + count
        for begin in range(0, count, CONCURRENT_CALLS):
            for _ in range(min(CONCURRENT_CALLS, count - begin)):
                self.watchers.append(await self._call(target))
        await self._wait_until(lambda: self.accepted + self.rejected >= wanted, OPEN_TIMEOUT_S)
        await asyncio.sleep(SETTLE_S)
        self.notified = 0
        return self.accepted, self.rejected

    async def _wait_until(self, condition: Callable[[], bool], seconds: float) -> None:
        end = time.monotonic() + seconds
        while not condition() and time.monotonic() < end:
            await asyncio.sleep(0.005)


def crowd_main(pipe: Connection, port: int) -> None:
    """A crowd at a port of this machine."""

    async def main() -> None:
        await Crowd(pipe, port).run()

    with suppress(EOFError):
        uvloop.run(main())


def _order(pipe: Connection, order: str, count: int) -> Any:
    pipe.send((order, count))
    return receive(pipe)


# ---- what is measured


def _wait_for_rows(pipe: Connection, hosts: list[Row]) -> int:
    """Until the role has this list; its bytes on the wire."""
    least, end = 100 * len(hosts), time.monotonic() + OPEN_TIMEOUT_S
    while time.monotonic() < end:
        _, size = _order(pipe, "ask", 1)
        if size >= least:
            return int(size)
        time.sleep(0.05)
    raise MeasurementError("the list did not come through")


def _replace_one_row(hosts: list[Row], attempts: list[int]) -> list[Row]:
    """The same list with one row changed: an upstream was replaced."""
    attempts[0] += 1
    changed = hosts[0] | {"born_ms": hosts[0]["born_ms"] + attempts[0]}
    return [changed, *hosts[1:]]


def poll_costs(role: Role, sizes: Sizes) -> dict[float, float]:
    """Milliseconds of processor time of so many calls for a list of 100 rows, a connection each."""
    hosts, out = rows(WATCHED_ROWS), dict[float, float]()
    with role.start() as running, spawned(crowd_main, running.port) as pipe:
        running.set_list(hosts)
        _wait_for_rows(pipe, hosts)
        _order(pipe, "ask", 50)
        for count in sizes.polls:
            before = processor_s(running.pid)
            _order(pipe, "ask", count)
            out[count] = (processor_s(running.pid) - before) * 1000
    return out


def watcher_costs(role: Role, count: int, sizes: Sizes) -> dict[str, float]:
    """At so many watchers: processor time at rest, of a change told to all, its time, and memory."""
    hosts, number = rows(WATCHED_ROWS), [0]
    with role.start() as running, spawned(crowd_main, running.port) as pipe:
        running.set_list(hosts)
        _wait_for_rows(pipe, hosts)
        accepted, rejected = _order(pipe, "watch", count)
        if accepted != count:
            raise MeasurementError(f"{accepted} watches of {count} were taken, {rejected} refused")
        before, since = processor_s(running.pid), time.monotonic()
        time.sleep(sizes.rest_s)
        at_rest = (processor_s(running.pid) - before) / (time.monotonic() - since)
        costs, spans = [], []
        for _ in range(sizes.changes):
            changed = _replace_one_row(hosts, number)
            before, since = processor_s(running.pid), time.monotonic()
            running.set_list(changed)
            notified = _order(pipe, "told", count)
            spans.append(time.monotonic() - since)
            if notified != count:
                raise MeasurementError(f"a change was told to {notified} of {count}")
            time.sleep(0.05)
            costs.append(processor_s(running.pid) - before)
        return {
            "rest": at_rest * 1000,
            "change": median(costs) * 1000,
            "span": median(spans) * 1000,
            "memory": resident_mb(running.pid),
        }


def list_costs(role: Role, count: int) -> dict[str, float]:
    """At so many rows: processor time of a whole list, changed and unchanged since the last, and memory."""
    hosts, number, firsts, nexts = rows(count), [0], [], []
    with role.start() as running, spawned(crowd_main, running.port) as pipe:
        running.set_list(hosts)
        _wait_for_rows(pipe, hosts)
        for _ in range(3):
            running.set_list(_replace_one_row(hosts, number))
            time.sleep(SETTLE_S + count / 50_000)  # until the list is taken in: only the answers count
            before = processor_s(running.pid)
            _order(pipe, "ask", 1)
            between = processor_s(running.pid)
            _order(pipe, "ask", 1)
            firsts.append(between - before)
            nexts.append(processor_s(running.pid) - between)
        return {
            "first": median(firsts) * 1000,
            "next": median(nexts) * 1000,
            "memory": resident_mb(running.pid),
        }


WATCHER_FIGURES = (
    ("watchers at rest: processor time", "ms/s", "rest"),
    ("a change told to all watchers: processor time", "ms", "change"),
    ("a change told to all watchers: until the last has it", "ms", "span"),
    ("watchers: resident memory", "MB", "memory"),
)
WHOLE_FIGURES = (
    ("whole list after a change: processor time", "ms", "first"),
    ("whole list again: processor time", "ms", "next"),
    ("list: resident memory", "MB", "memory"),
)


def role_figures(role: Role, sizes: Sizes) -> list[dict[str, Any]]:
    """All figures of one role."""
    out = [
        figure(
            role.name,
            "calls for 100 rows: processor time",
            "ms",
            "calls",
            poll_costs(role, sizes),
            sizes.kept_polls,
            TARGET_BALANCERS,
        )
    ]
    watched = {count: watcher_costs(role, count, sizes) for count in sizes.watchers}
    complete = {count: list_costs(role, count) for count in sizes.upstreams}
    for name, unit, key in WATCHER_FIGURES:
        points = {float(count): row[key] for count, row in watched.items()}
        out.append(
            figure(role.name, name, unit, "watchers", points, sizes.kept_watchers, role.target_watchers)
        )
    for name, unit, key in WHOLE_FIGURES:
        points = {float(count): row[key] for count, row in complete.items()}
        out.append(figure(role.name, name, unit, "upstreams", points, sizes.kept_upstreams, TARGET_UPSTREAMS))
    return out


def figures(sizes: Sizes) -> list[dict[str, Any]]:
    """All figures of the roles that this program has."""
    return [one for role in ROLES if role.is_available() for one in role_figures(role, sizes)]
