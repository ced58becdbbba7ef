"""System calls that fail in the ways that Linux documents: real processes, faults at the socket layer."""

from __future__ import annotations

import asyncio
import errno
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import pytest
import uvloop
from peers import SETTINGS, BalancerTestbed, async_test, request, reserved_port, wait_until
from system_calls import Faults, quartzford_process, send_and_read, status_code

from quartzford.engine import LoopClock, StderrLog
from quartzford.fronts.listener import Listener, bind
from quartzford.membership.addresses import SingleAddress
from quartzford.membership.call_policy import AgentCallPolicy
from quartzford.membership.list_watch import ListWatch
from quartzford.membership.listing import Listing
from standins.listservice import Plan, Service
from standins.upstream import StandInUpstream, start_upstreams

CLASSES = ("read", "book", "pay")
HEALTH = b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
STATUS = b"GET /status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
LIST = b"GET /catalog/members HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
SETTINGS_FRAME = b"\x04"
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
REQUESTS = 240
AT_ONCE = 12


class Site:
    """Stand-in upstreams and their list service, and a balancer's process that knows of the service alone."""

    def __init__(self) -> None:
        self.number = 0
        self.port = reserved_port()
        self.admin = reserved_port()

    async def start(self, folder: Path) -> None:
        """Start the upstreams and the list service, and write the configuration."""
        self.upstreams, self.journal, self.registry = await start_upstreams(
            4, lambda n, journal: StandInUpstream(f"s{n}", journal, block=n // 2)
        )
        self.path = folder / "balancer.json"
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "admin_addr": f"127.0.0.1:{self.admin}",
            "seed": "5",
            "discovery": f"127.0.0.1:{self.registry.port}",
            "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"seq": 0, "whole": True, "hosts": []},
        }
        self.path.write_text(json.dumps(config))

    async def stop(self) -> None:
        """Stop the upstreams and the list service."""
        await self.registry.stop()
        for upstream in self.upstreams:
            await upstream.stop()

    def ports(self) -> list[int]:
        """Of all that the balancer calls."""
        return [self.registry.port, *(upstream.port for upstream in self.upstreams)]

    async def ready(self) -> None:
        """Wait until the list has come and the balancer serves."""
        for _ in range(1000):
            if status_code(await send_and_read(self.port, HEALTH)) == 200:
                return
            await asyncio.sleep(0.02)
        raise AssertionError("it was never ready")

    async def submit(self) -> int:
        """One request of the next class, on a connection of its own; its status, 0 for none."""
        self.number += 1
        name = CLASSES[self.number % len(CLASSES)]
        data = request(name, b"b" * 200, "Connection: close\r\n")
        data = data.replace(b": c1\r\n", b": c%d\r\n" % self.number).replace(
            b": k1\r\n", b": k%d\r\n" % self.number
        )
        return status_code(await send_and_read(self.port, data))

    async def load(self, count: int) -> list[int]:
        """So many requests, some of them at once; their statuses."""
        statuses: list[int] = []

        async def client() -> None:
            while self.number < last:
                statuses.append(await self.submit())

        last = self.number + count
        await asyncio.gather(*(client() for _ in range(AT_ONCE)))
        return statuses

    async def drain(self) -> None:
        """An upstream drains, and the balancer has to hear of it: requests no longer reach it."""
        leaving = self.upstreams[0]
        leaving.health = "draining"
        self.registry.notify(leaving)

        def received() -> int:
            return len(self.journal.arrivals.get(leaving.name, ()))

        for _ in range(100):
            before = received()
            await self.load(AT_ONCE)
            if received() == before:
                return
        raise AssertionError("the balancer never heard of the drain")

    def check_effects(self) -> None:
        """No unsafe request ran twice, no keyed one had two effects, no two attempts were out at once."""
        assert not self.journal.duplicate_executions("pay")
        assert not self.journal.duplicate_effects("book", self.journal.window_s)
        assert self.journal.overlapping == 0


@asynccontextmanager
async def site(folder: Path, faults: Faults) -> AsyncIterator[Site]:
    """A site whose balancer's system calls fail."""
    it = Site()
    await it.start(folder)
    try:
        environment = faults.environment(it.ports()) | {"EDGE_CONFIG": str(it.path)}
        async with quartzford_process(environment=environment):
            await it.ready()
            yield it
    finally:
        await it.stop()


ACCEPT = Faults({"accept": ("ENFILE", "EMFILE", "ENOBUFS", "ENOMEM")}, one_in=20)
KINDS = {
    "accept finds no descriptor or memory": ACCEPT,
    "accept finds a connection broken": Faults(
        {"accept": ("ECONNABORTED", "EPROTO", "ENETUNREACH", "EINTR")}
    ),
    "socket": Faults({"socket": ("ENFILE", "ENOBUFS")}, one_in=3),
    "connect": Faults({"connect": ("ENFILE", "ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH")}, one_in=3),
    "waits are interrupted": Faults({"wait": ("EINTR",)}, one_in=3),
    "halves of writes": Faults(short_transfers="write"),
    "seven bytes a read": Faults(short_transfers="read"),
    "reads find the connection broken": Faults({"read": ("ETIMEDOUT", "EHOSTUNREACH")}, one_in=12),
}
# Attempts of these may have run, and what is unsafe then fails; of the others all are served.
MAY_FAIL = "reads find the connection broken"


@pytest.mark.parametrize("kind", KINDS)
def test_every_request_is_answered_and_none_has_its_effect_twice(tmp_path: Path, kind: str) -> None:
    """Also the calls to the list service: the list is known by them alone, and so is a drain."""

    async def test() -> None:
        async with site(tmp_path, KINDS[kind]) as it:
            statuses = await it.load(REQUESTS)
            await it.drain()
            statuses += await it.load(REQUESTS // 4)
            assert 0 not in statuses, f"{statuses.count(0)} of {len(statuses)} were closed with no answer"
            assert set(statuses) <= {200, 502, 503}
            served = statuses.count(200) / len(statuses)
            assert served > (0.8 if kind == MAY_FAIL else 0.97), served
            it.check_effects()

    uvloop.run(test())


async def settings_frame(port: int) -> bytes:
    """The type of the first frame that an HTTP/2 server sends on a new connection; b"" for none."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(HTTP2_PREFACE)
    try:
        return (await asyncio.wait_for(reader.readexactly(9), 20))[3:4]
    except (OSError, asyncio.IncompleteReadError):
        return b""
    finally:
        writer.close()


async def said(one: asyncio.subprocess.Process, text: bytes) -> None:
    """Wait for a line of its log."""
    assert one.stderr is not None
    while text not in (line := await one.stderr.readline()):
        assert line, "it ended"


FAILING = pytest.mark.parametrize(
    "faults",
    [
        pytest.param(ACCEPT, id="accept"),
        pytest.param(
            Faults({"socket": ("ENFILE", "ENOBUFS")}, one_in=10**6, first_calls=4), id="socket at the start"
        ),
    ],
)


@FAILING
def test_the_second_address_and_the_external_processor_answer_all(tmp_path: Path, faults: Faults) -> None:
    """`serve` with both: each connection of 150 is answered."""

    async def test() -> None:
        it = Site()
        await it.start(tmp_path)
        extproc = reserved_port()
        operator = tmp_path / "operator.toml"
        operator.write_text(f'config = "{it.path}"\n[extproc]\nlisten = "127.0.0.1:{extproc}"\nworkers = 0\n')
        try:
            async with quartzford_process(
                "serve", "--operator", str(operator), environment=faults.environment()
            ) as one:
                await said(one, b"listening on port")
                await it.ready()
                for _ in range(15):
                    answers = await asyncio.gather(*(send_and_read(it.admin, STATUS) for _ in range(10)))
                    assert {status_code(answer) for answer in answers} == {200}
                    frames = await asyncio.gather(*(settings_frame(extproc) for _ in range(10)))
                    assert set(frames) == {SETTINGS_FRAME}
        finally:
            await it.stop()

    uvloop.run(test())


@FAILING
def test_a_relay_answers_all(tmp_path: Path, faults: Faults) -> None:
    """Each of 150 calls for the list is answered."""

    async def test() -> None:
        service = Service(Plan(per_s=1000.0))
        service.replace_list([])
        await service.start()
        port = reserved_port()
        operator = tmp_path / "relay.toml"
        operator.write_text(
            f'[relay]\nlisten = "127.0.0.1:{port}"\nsource = "127.0.0.1:{service.port}"\n'
            "relays = 1\nbalancers = 10\n"
        )
        try:
            async with quartzford_process(
                "relay", "--operator", str(operator), environment=faults.environment()
            ) as one:
                await said(one, b" upstreams")
                for _ in range(15):
                    answers = await asyncio.gather(*(send_and_read(port, LIST) for _ in range(10)))
                    assert {status_code(answer) for answer in answers} == {200}
        finally:
            service.stop()

    uvloop.run(test())


# ---- in this process


class FailingSocket(socket.socket):
    """Its connects to one port fail with an error, so many times."""

    error = 0
    port = 0
    left = 0

    def connect(self, address: Any) -> None:
        """Fail, or connect."""
        if address[1] == FailingSocket.port and FailingSocket.left:
            FailingSocket.left -= 1
            raise OSError(FailingSocket.error, "injected")
        super().connect(address)


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (errno.ENFILE, "moot"),
        (errno.EADDRNOTAVAIL, "moot"),
        (errno.ENOBUFS, "moot"),
        (errno.ENETUNREACH, "connect_failed"),
        (errno.EHOSTUNREACH, "connect_failed"),
        (errno.ECONNREFUSED, "connect_failed"),
        (errno.ETIMEDOUT, "connect_failed"),
    ],
)
def test_whom_an_error_of_connect_blames(error: int, code: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """What this machine has run out of ejects nobody, however often; a way that does not lead there does."""

    @async_test
    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            FailingSocket.error, FailingSocket.port, FailingSocket.left = error, testbed.upstreams[0].port, 30
            with monkeypatch.context() as patch:
                patch.setattr(socket, "socket", FailingSocket)
                for _ in range(30):
                    assert (await testbed.submit(request())).status == 200
            codes = set(testbed.outcomes())
            assert codes == {code, "ok"}
            ejected = testbed.node.engine.balancer.endpoints.excluded_count()
            assert ejected == (1 if code == "connect_failed" else 0)

    test()


class FailingLoop:
    """An event loop whose first three connects fail."""

    def __init__(self, loop: asyncio.AbstractEventLoop, error: int) -> None:
        self.loop, self.error, self.left = loop, error, 3

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *arguments: Any) -> Any:
        """Fail, or connect."""
        if self.left:
            self.left -= 1
            raise OSError(self.error, "injected")
        return await self.loop.create_connection(*arguments)


class Lists:
    """Keeps the lists that come."""

    def __init__(self) -> None:
        self.heard: list[Listing] = []

    def listed(self, listing: Listing) -> None:
        self.heard.append(listing)


@pytest.mark.parametrize(("error", "failures"), [(errno.EADDRNOTAVAIL, 0), (errno.ENETUNREACH, 3)])
def test_an_error_of_this_machine_is_no_failure_of_the_list_service(error: int, failures: int) -> None:
    """Three connects in a row fail: the call goes on, or three have failed."""

    @async_test
    async def test() -> None:
        testbed, lists = BalancerTestbed(1), Lists()
        for peer in (*testbed.upstreams, testbed.discovery):
            await peer.start()
        loop: Any = FailingLoop(asyncio.get_running_loop(), error)
        clock = LoopClock(loop)
        addresses = SingleAddress(lambda: ("127.0.0.1", testbed.discovery.port))
        policy = AgentCallPolicy(Random(1), 0.25)
        watch = ListWatch(lists, addresses, policy, clock, StderrLog(clock.now), loop)
        watch.start()
        await wait_until(lambda: lists.heard)
        assert not loop.left and watch.counts["ended unreached"] == failures
        watch.stop()
        for peer in (*testbed.upstreams, testbed.discovery):
            await peer.stop()

    test()


@async_test
async def test_connections_accepted_when_accepting_stops_are_opened_and_the_others_wait() -> None:
    """Whoever accepts there next gets the rest: nobody is reset."""
    loop = asyncio.get_running_loop()
    listening = bind(("127.0.0.1", 0), 16)
    clients = [socket.create_connection(listening.getsockname()) for _ in range(3)]
    opened: list[asyncio.Protocol] = []

    class Protocol(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            opened.append(self)
            self.transport = transport

    listener = Listener([listening], Protocol, LoopClock(loop), loop)
    listener.start()
    while not listener.opening_count:
        await asyncio.sleep(0)
    listener.stop()
    accepted = listener.opening_count + len(opened)
    await listener.opened()
    assert len(opened) == accepted < 3
    listener.start()
    await wait_until(lambda: len(opened) == 3)
    listener.close()
    for client in clients:
        client.close()
