"""Test site of relays: relay processes between a list service and list clients, with fault proxies."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from peers import LoopLag, wait_until

from quartzford.engine import LoopClock, StderrLog
from quartzford.membership.addresses import RelayAddresses
from quartzford.membership.list_watch import ListWatch
from quartzford.membership.listing import Listing
from quartzford.membership.registry import Registry
from quartzford.membership.relay_call_policy import RelayCallPolicy
from standins.listservice import Plan, Service

# A small receive buffer at a proxy's socket makes its peer block early, in the middle of a long write.
RECEIVE_BUFFER_BYTES = 32 * 1024
MAX_READ_BYTES = 16 * 1024  # per read of a proxy


def list_row(name: str, health: str = "ready", born: float = 0.0, port: int = 9) -> dict[str, Any]:
    return {
        "host": name,
        "dial": f"127.0.0.1:{port}",
        "site": "a",
        "class": "m",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born,
    }


def list_rows(count: int, **changes: Any) -> list[dict[str, Any]]:
    return [list_row(f"host-{number:08}", **changes) for number in range(count)]


class FaultProxy:
    """A TCP proxy between a service and its callers that injects faults.

    blocked: bytes wait in both directions, as in a network partition. refusing: new connections are closed.
    response_delay_s: delay of the service's bytes only. allowed_bytes: number of bytes from the service that
    still pass; None: no limit.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.blocked = False
        self.refusing = False
        self.response_delay_s = 0.0
        self.allowed_bytes: int | None = None
        self.connection_count = 0
        self.forwarded_bytes = 0  # bytes from the service that passed
        self.withheld_bytes = 0  # bytes from the service that are held back
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> FaultProxy:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address: tuple[str, int] = self.server.sockets[0].getsockname()[:2]
        return self

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.reset_connections()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            with suppress(RuntimeError):
                writer.transport.abort()

    def _start_task(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self.writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            if self.refusing:
                return
            await self._wait_while_blocked(self.blocked)
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, self.target)
            answers, service = await asyncio.open_connection(sock=sock, limit=MAX_READ_BYTES)
            self.writers.add(service)
            try:
                both = [
                    self._start_task(self._forward_requests(reader, service)),
                    self._start_task(self._forward_answers(answers, writer)),
                ]
                await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
                if not both[0].done():  # the service closed the connection: forward all that it sent
                    both[0].cancel()
                else:
                    both[1].cancel()
                await asyncio.wait(both)
            finally:
                self.writers.discard(service)
                service.transport.abort()
        except (OSError, asyncio.CancelledError):  # only `stop` waits for this task
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def _wait_while_blocked(self, blocked: bool) -> None:
        while self.blocked:
            await asyncio.sleep(0.005)

    async def _forward_requests(self, reader: asyncio.StreamReader, service: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await reader.read(MAX_READ_BYTES):
                await self._wait_while_blocked(self.blocked)
                service.write(data)

    async def _forward_answers(self, answers: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(64)

        async def read() -> None:
            data = b"-"
            while data:
                with suppress(OSError):
                    data = await answers.read(MAX_READ_BYTES)
                await queue.put((time.monotonic() + self.response_delay_s, data))

        self._start_task(read())
        with suppress(OSError):
            while True:
                at, data = await queue.get()
                await asyncio.sleep(max(0.0, at - time.monotonic()))
                if not data:
                    return
                await self._forward(data, writer)

    async def _forward(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        while data:
            while self.blocked or self.allowed_bytes == 0:
                self.withheld_bytes = len(data)
                await asyncio.sleep(0.002)
            self.withheld_bytes = 0
            part = data if self.allowed_bytes is None else data[: self.allowed_bytes]
            data = data[len(part) :]
            if self.allowed_bytes is not None:
                self.allowed_bytes -= len(part)
            self.forwarded_bytes += len(part)
            writer.write(part)
            await writer.drain()


class RelayProcess:
    """A `quartzford relay` process with a proxy in front of its source and a proxy in front of itself."""

    def __init__(self, folder: Path, source_proxy: FaultProxy, proxy: FaultProxy, relays: int) -> None:
        self.folder = folder
        self.source_proxy = source_proxy
        self.proxy = proxy
        self.relays = relays
        self.process: asyncio.subprocess.Process | None = None
        self.log: list[str] = []
        self.reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start a process, and forward its proxy's connections to it."""
        file = self.folder / f"relay-{self.proxy.address[1]}.toml"
        file.write_text(
            f'[relay]\nlisten = "127.0.0.1:0"\nsource = "127.0.0.1:{self.source_proxy.address[1]}"\n'
            f"relays = {self.relays}\nbalancers = 100\n"
        )
        self.log = []
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "quartzford",
            "relay",
            "--operator",
            str(file),
            stderr=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL,
        )
        assert self.process.stderr is not None
        self.reading = asyncio.ensure_future(self._read(self.process.stderr))
        await wait_until(lambda: self.has_logged("listening on") or self.reading.done(), 20.0)  # type: ignore[union-attr]
        line = next((line for line in self.log if "listening on" in line), None)
        assert line is not None, self.log
        self.proxy.target = ("127.0.0.1", int(line.rpartition(":")[2]))
        self.proxy.refusing = False

    async def _read(self, stderr: asyncio.StreamReader) -> None:
        while line := await stderr.readline():
            self.log.append(line.decode().rstrip())

    def has_logged(self, text: str) -> bool:
        return any(text in line for line in self.log)

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL, and wait until the process has ended."""
        self.send_signal(signal.SIGKILL)
        self.proxy.refusing = True
        assert self.process is not None
        await self.process.wait()

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.reading is not None:
            await self.reading


class ListClient:
    """The part of a balancer that receives the endpoint list: watch, call policy and rows.

    It records each listing that it receives, with the time on the monotonic clock.
    """

    def __init__(
        self,
        name: str,
        relays: list[FaultProxy],
        direct: FaultProxy,
        fleet_size: int,
        return_delay_s: float,
        seed: int,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.clock = LoopClock(loop)
        self.addresses = RelayAddresses(name, [proxy.address for proxy in relays], lambda: direct.address)
        rng = random.Random(
            seed
        )  # not seeded with the name: the name depends on ports that the kernel chooses
        self.calls = RelayCallPolicy(self.addresses, fleet_size, 50.0, 10.0, rng, self.clock.now)
        self.calls.better_address_delay = lambda: return_delay_s  # type: ignore[method-assign]
        self.registry = Registry()
        self.received: list[tuple[float, Listing]] = []
        self.watch = ListWatch(self, self.addresses, self.calls, self.clock, StderrLog(self.clock.now), loop)

    def listed(self, listing: Listing) -> None:
        self.registry.apply(listing)
        self.received.append((time.monotonic(), listing))

    def is_connected_to(self, proxy: FaultProxy) -> bool:
        """Return whether the current watch is connected through this proxy."""
        call = self.watch.call
        return self.watch.is_current() and call is not None and call.target.address == proxy.address

    def versions(self) -> list[int]:
        return [listing.version for _, listing in self.received]

    def complete_list_count(self) -> int:
        return sum(listing.complete for _, listing in self.received)

    def rows(self) -> dict[str, dict[str, Any]]:
        return {row["host"]: row for row in self.registry.table()["hosts"]}

    def ended_watch_count(self) -> int:
        """Return the number of established watches that ended; rejected calls do not count."""
        counts = self.watch.counts
        return counts["ended closed"] + counts["ended silent"] + counts["ended in order"]

    def received_at(self, version: int) -> float:
        """Return when the client received this version or a later one; infinity if it has not."""
        return next((at for at, listing in self.received if listing.version >= version), float("inf"))


class RelaySite:
    """A list service in this loop, relay processes, and the list clients that a test adds."""

    def __init__(self, folder: Path, hosts: list[dict[str, Any]]) -> None:
        self.folder, self.hosts = folder, hosts
        self.service = Service(Plan(per_s=1000.0))
        self.relays: list[RelayProcess] = []
        self.proxies: list[FaultProxy] = []
        self.balancers: list[ListClient] = []

    async def add_proxy(self, target: tuple[str, int]) -> FaultProxy:
        proxy = FaultProxy(target)
        self.proxies.append(proxy)
        return await proxy.start()

    async def start(self, relays: int) -> None:
        self.service.replace_list(self.hosts)
        await self.service.start()
        source = ("127.0.0.1", self.service.port)
        self.direct_proxy = await self.add_proxy(source)
        for _ in range(relays):
            source_proxy, proxy = await self.add_proxy(source), await self.add_proxy(("127.0.0.1", 9))
            self.relays.append(RelayProcess(self.folder, source_proxy, proxy, relays))
        async with asyncio.TaskGroup() as tasks:
            for relay in self.relays:
                tasks.create_task(relay.start())
        await wait_until(lambda: all(relay.has_logged(" upstreams") for relay in self.relays), 20.0)

    async def stop(self) -> None:
        for balancer in self.balancers:
            balancer.watch.stop()
        for relay in self.relays:
            await relay.stop()
        for proxy in self.proxies:
            await proxy.stop()
        self.service.stop()

    def add_balancer(
        self,
        *order: int,
        fleet_size: int = 10,
        return_delay_s: float = 600.0,
        direct: FaultProxy | None = None,
    ) -> ListClient:
        """Start a list client that prefers these relays, in this order; it is not connected yet.

        Its name is chosen so that its own order of the relays begins with `order`. fleet_size: number of
        balancers that the call policy assumes. return_delay_s: delay before it tries a better relay.
        """
        proxies = [relay.proxy for relay in self.relays]
        preferred = [proxies[number].address for number in order]
        number = len(self.balancers) * 1_000_000
        while True:
            seed = len(self.balancers)
            client = ListClient(
                f"b{number}", proxies, direct or self.direct_proxy, fleet_size, return_delay_s, seed
            )
            if list(client.addresses.order[: len(preferred)]) == preferred:
                break
            number += 1
        self.balancers.append(client)
        client.watch.start()
        return client

    async def wait_until_current(self, *balancers: ListClient, seconds: float = 20.0) -> None:
        """Wait until these list clients, or all, have a watch and the source's current rows."""
        clients = balancers or self.balancers
        await wait_until(lambda: all(one.watch.is_current() for one in clients), seconds)
        await wait_until(lambda: all(self.has_current_rows(one) for one in clients), seconds)

    def has_current_rows(self, balancer: ListClient) -> bool:
        """Return whether the list client has the source's version and exactly its rows."""
        return balancer.watch.version == self.service.version and balancer.rows() == self.service.rows

    def change_rows(self, *names: str, **changes: Any) -> tuple[float, int]:
        """Change the rows with these names at the source, or all rows if no name is given.

        Returns the time of the change and the new version.
        """
        hosts = [
            host | changes if not names or host["host"] in names else host
            for host in self.service.rows.values()
        ]
        at = time.monotonic()
        self.service.replace_list(hosts)
        return at, self.service.version

    async def wait_until_received(
        self, version: int, balancers: list[ListClient], seconds: float = 30.0
    ) -> float:
        """Wait until all these clients have received a version; return when the last of them received it."""
        await wait_until(lambda: all(one.received_at(version) < float("inf") for one in balancers), seconds)
        return max(one.received_at(version) for one in balancers)

    async def wait_for_heartbeat(self, proxy: FaultProxy) -> None:
        """Wait until a heartbeat or other bytes have just passed.

        From then on, the longest possible time passes until the client detects that the service is silent.
        """
        before = proxy.forwarded_bytes
        await wait_until(lambda: proxy.forwarded_bytes > before)

    def start_incarnation(self, version: int, hosts: list[dict[str, Any]]) -> None:
        """Replace the source's state by that of a new incarnation at this version."""
        service = self.service
        service.rows = {host["host"]: host for host in hosts}
        service.version, service.removed = version, {}
        service.changed_at = dict.fromkeys(service.rows, version)
        service.encoded_whole = 0, b""

    def send_line(self, text: bytes) -> None:
        """Send a line, without any check, on all watches at the source."""
        for watch in self.service.watches:
            watch.transport.write(b"%x\r\n%b\r\n" % (len(text), text))


@asynccontextmanager
async def relay_site(relays: int, hosts: list[dict[str, Any]]) -> AsyncIterator[RelaySite]:
    """Run a source and relays that all have a list; stop everything at the end, also if the test fails."""
    with TemporaryDirectory() as folder:
        started_site = RelaySite(Path(folder), hosts)
        try:
            await started_site.start(relays)
            yield started_site
        finally:
            await started_site.stop()


async def reset_lag(lag: LoopLag) -> None:
    """Discard the lag of this loop so far, which includes the site's start."""
    await asyncio.sleep(0.02)
    lag.max_lag_s = 0.0


async def run_together(*parts: Callable[[], Awaitable[None]]) -> None:
    """Run independent cases concurrently; the first failure cancels all of them."""
    async with asyncio.TaskGroup() as tasks:
        for part in parts:
            tasks.create_task(part())  # type: ignore[arg-type]
