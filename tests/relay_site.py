"""Relays as processes between a list service and balancers' control sides, with gates between them."""

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

from peers import Lag, until

from quartzford.engine import LoopClock, StderrLog
from quartzford.membership.addresses import RelayAddresses
from quartzford.membership.list_watch import ListWatch
from quartzford.membership.listing import Listing
from quartzford.membership.registry import Registry
from quartzford.membership.relay_call_policy import RelayCallPolicy
from standins.listservice import Plan, Service

RECEIVE_BYTES = 32 * 1024  # of a gate's socket: who is before it is soon in the middle of what it writes
READ_BYTES = 16 * 1024  # of a gate


def row(name: str, health: str = "ready", born: float = 0.0, port: int = 9) -> dict[str, Any]:
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


def rows(count: int, **changes: Any) -> list[dict[str, Any]]:
    return [row(f"host-{number:08}", **changes) for number in range(count)]


class Gate:
    """A TCP proxy. held: bytes wait in both directions, as in a cut; delay: seconds, of answers alone.

    allowed: so many bytes of answers pass, and then none.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.held = False
        self.refusing = False
        self.delay = 0.0
        self.allowed: int | None = None
        self.received = 0  # connections
        self.down = 0  # bytes of answers that passed
        self.waiting = 0  # answers that came from the service and do not pass
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> Gate:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address: tuple[str, int] = self.server.sockets[0].getsockname()[:2]
        return self

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.drop()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def drop(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            with suppress(RuntimeError):
                writer.transport.abort()

    def _take(self, do: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(do)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.received += 1
        self.writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            if self.refusing:
                return
            await self._passes(self.held)
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, self.target)
            answers, service = await asyncio.open_connection(sock=sock, limit=READ_BYTES)
            self.writers.add(service)
            try:
                both = [self._take(self._up(reader, service)), self._take(self._down(answers, writer))]
                await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
                if not both[0].done():  # the service has ended: what it sent passes in full
                    both[0].cancel()
                else:
                    both[1].cancel()
                await asyncio.wait(both)
            finally:
                self.writers.discard(service)
                service.transport.abort()
        except (OSError, asyncio.CancelledError):  # its end: nothing waits for this task but `stop`
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def _passes(self, held: bool) -> None:
        while self.held:
            await asyncio.sleep(0.005)

    async def _up(self, reader: asyncio.StreamReader, service: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self._passes(self.held)
                service.write(data)

    async def _down(self, answers: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(64)

        async def read() -> None:
            data = b"-"
            while data:
                with suppress(OSError):
                    data = await answers.read(READ_BYTES)
                await queue.put((time.monotonic() + self.delay, data))

        self._take(read())
        with suppress(OSError):
            while True:
                at, data = await queue.get()
                await asyncio.sleep(max(0.0, at - time.monotonic()))
                if not data:
                    return
                await self._pass(data, writer)

    async def _pass(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        while data:
            while self.held or self.allowed == 0:
                self.waiting = len(data)
                await asyncio.sleep(0.002)
            self.waiting = 0
            part = data if self.allowed is None else data[: self.allowed]
            data = data[len(part) :]
            if self.allowed is not None:
                self.allowed -= len(part)
            self.down += len(part)
            writer.write(part)
            await writer.drain()


class RelayProcess:
    """`quartzford relay` as a process, one gate before the source, one before the relay."""

    def __init__(self, folder: Path, to_source: Gate, gate: Gate, relays: int) -> None:
        self.folder = folder
        self.to_source = to_source
        self.gate = gate
        self.relays = relays
        self.process: asyncio.subprocess.Process | None = None
        self.log: list[str] = []
        self.reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start a process; its gate connects balancers to it."""
        file = self.folder / f"relay-{self.gate.address[1]}.toml"
        file.write_text(
            f'[relay]\nlisten = "127.0.0.1:0"\nsource = "127.0.0.1:{self.to_source.address[1]}"\n'
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
        await until(lambda: self.has_logged("listening on") or self.reading.done(), 20.0)  # type: ignore[union-attr]
        line = next((line for line in self.log if "listening on" in line), None)
        assert line is not None, self.log
        self.gate.target = ("127.0.0.1", int(line.rpartition(":")[2]))
        self.gate.refusing = False

    async def _read(self, stderr: asyncio.StreamReader) -> None:
        while line := await stderr.readline():
            self.log.append(line.decode().rstrip())

    def has_logged(self, text: str) -> bool:
        return any(text in line for line in self.log)

    def send(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL and wait until the process is gone."""
        self.send(signal.SIGKILL)
        self.gate.refusing = True
        assert self.process is not None
        await self.process.wait()

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.reading is not None:
            await self.reading


class Balancer:
    """A balancer's control side: its watch, its call policy and its rows, and what it received when."""

    def __init__(
        self, name: str, relays: list[Gate], direct: Gate, fleet: int, back: float, seed: int
    ) -> None:
        loop = asyncio.get_running_loop()
        self.clock = LoopClock(loop)
        self.addresses = RelayAddresses(name, [gate.address for gate in relays], lambda: direct.address)
        rng = random.Random(seed)  # a name depends on the kernel's ports
        self.calls = RelayCallPolicy(self.addresses, fleet, 50.0, 10.0, rng, self.clock.now)
        self.calls.better_address_delay = lambda: back  # type: ignore[method-assign]
        self.registry = Registry()
        self.received: list[tuple[float, Listing]] = []
        self.watch = ListWatch(self, self.addresses, self.calls, self.clock, StderrLog(self.clock.now), loop)

    def listed(self, listing: Listing) -> None:
        self.registry.apply(listing)
        self.received.append((time.monotonic(), listing))

    def at(self, gate: Gate) -> bool:
        """Whether the watch stands at this gate."""
        call = self.watch.call
        return self.watch.is_current() and call is not None and call.target.address == gate.address

    def versions(self) -> list[int]:
        return [listing.version for _, listing in self.received]

    def complete_lists(self) -> int:
        return sum(listing.complete for _, listing in self.received)

    def rows(self) -> dict[str, dict[str, Any]]:
        return {row["host"]: row for row in self.registry.table()["hosts"]}

    def watches_ended(self) -> int:
        """Watches that stood and ended, not rejected calls."""
        counts = self.watch.counts
        return counts["ended closed"] + counts["ended silent"] + counts["ended in order"]

    def received_at(self, version: int) -> float:
        """When it received that version or a later one; infinity if not yet."""
        return next((at for at, listing in self.received if listing.version >= version), float("inf"))


class Site:
    """A list service in this loop, relays, and the balancers that a test starts."""

    def __init__(self, folder: Path, hosts: list[dict[str, Any]]) -> None:
        self.folder, self.hosts = folder, hosts
        self.service = Service(Plan(per_s=1000.0))
        self.relays: list[RelayProcess] = []
        self.gates: list[Gate] = []
        self.balancers: list[Balancer] = []

    async def gate(self, target: tuple[str, int]) -> Gate:
        gate = Gate(target)
        self.gates.append(gate)
        return await gate.start()

    async def enter(self, relays: int) -> None:
        self.service.replace_list(self.hosts)
        await self.service.start()
        source = ("127.0.0.1", self.service.port)
        self.next_call_direct = await self.gate(source)
        for _ in range(relays):
            to_source, gate = await self.gate(source), await self.gate(("127.0.0.1", 9))
            self.relays.append(RelayProcess(self.folder, to_source, gate, relays))
        async with asyncio.TaskGroup() as tasks:
            for relay in self.relays:
                tasks.create_task(relay.start())
        await until(lambda: all(relay.has_logged(" upstreams") for relay in self.relays), 20.0)

    async def leave(self) -> None:
        for balancer in self.balancers:
            balancer.watch.stop()
        for relay in self.relays:
            await relay.stop()
        for gate in self.gates:
            await gate.stop()
        self.service.stop()

    def balancer(
        self, *order: int, fleet: int = 10, back: float = 600.0, direct: Gate | None = None
    ) -> Balancer:
        """A new balancer whose first relays are these; started, and at none yet."""
        gates = [relay.gate for relay in self.relays]
        wanted = [gates[number].address for number in order]
        number = len(self.balancers) * 1_000_000
        while True:
            seed = len(self.balancers)
            one = Balancer(f"b{number}", gates, direct or self.next_call_direct, fleet, back, seed)
            if list(one.addresses.order[: len(wanted)]) == wanted:
                break
            number += 1
        self.balancers.append(one)
        one.watch.start()
        return one

    async def settled(self, *balancers: Balancer, seconds: float = 20.0) -> None:
        """Wait until these, or all, have a watch and the source's rows."""
        whom = balancers or self.balancers
        await until(lambda: all(one.watch.is_current() for one in whom), seconds)
        await until(lambda: all(self.has_all(one) for one in whom), seconds)

    def has_all(self, balancer: Balancer) -> bool:
        """Whether it has the source's version, and its rows exactly."""
        return balancer.watch.version == self.service.version and balancer.rows() == self.service.rows

    def change(self, *names: str, **changes: Any) -> tuple[float, int]:
        """Change these rows at the source, or all where none is named: when, and to which version."""
        hosts = [
            host | changes if not names or host["host"] in names else host
            for host in self.service.rows.values()
        ]
        at = time.monotonic()
        self.service.replace_list(hosts)
        return at, self.service.version

    async def all_received(self, version: int, balancers: list[Balancer], seconds: float = 30.0) -> float:
        """Wait until all have received a version: when the last of them had it."""
        await until(lambda: all(one.received_at(version) < float("inf") for one in balancers), seconds)
        return max(one.received_at(version) for one in balancers)

    async def after_heartbeat(self, gate: Gate) -> None:
        """Wait until something has just passed: the most time is left until silence is noticed."""
        before = gate.down
        await until(lambda: gate.down > before)

    def begin_incarnation(self, version: int, hosts: list[dict[str, Any]]) -> None:
        """Begin another incarnation of the source at this version."""
        service = self.service
        service.rows = {host["host"]: host for host in hosts}
        service.version, service.removed = version, {}
        service.changed_at = dict.fromkeys(service.rows, version)
        service.encoded_whole = 0, b""

    def send_line(self, text: bytes) -> None:
        """Send a line on the source's watches, as it is."""
        for watch in self.service.watches:
            watch.transport.write(b"%x\r\n%b\r\n" % (len(text), text))


@asynccontextmanager
async def site(relays: int, hosts: list[dict[str, Any]]) -> AsyncIterator[Site]:
    """Source and relays, all with a list; ends what was started, also when the test fails."""
    with TemporaryDirectory() as folder:
        made = Site(Path(folder), hosts)
        try:
            await made.enter(relays)
            yield made
        finally:
            await made.leave()


async def begin(lag: Lag) -> None:
    """Leave out how late this loop was at the start."""
    await asyncio.sleep(0.02)
    lag.worst = 0.0


async def run_together(*parts: Callable[[], Awaitable[None]]) -> None:
    """Run independent cases at the same time; the first that fails ends all."""
    async with asyncio.TaskGroup() as tasks:
        for part in parts:
            tasks.create_task(part())  # type: ignore[arg-type]
