"""The program as the deploy file starts it: start, reload, invalid configurations, SIGTERM and SIGKILL."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import uvloop
from peers import (
    BalancerTestbed,
    Message,
    read_message,
    reply,
    request,
    reserved_port,
    responds_with,
    wait_until,
)

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
COMMAND = DEPLOY["run"].replace(".venv/bin/python", f"{sys.executable} -B")


async def spawn(config: Any, path: Path, descriptors: int = 1024) -> asyncio.subprocess.Process:
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    return await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        f"ulimit -n {descriptors}; {COMMAND}",
        cwd=ROOT,
        env={**os.environ, "EDGE_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )


def test_reserved_port_refuses_bind_and_allows_listen() -> None:
    port = reserved_port()
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", port))
    with socket.create_server(("127.0.0.1", port)), socket.create_connection(("127.0.0.1", port)):
        pass


class Program:
    """A balancer in a separate process, with one upstream."""

    sockets = 1024

    def __init__(self, path: Path) -> None:
        self.path = path
        self.testbed = BalancerTestbed()
        self.up = self.testbed.upstreams[0]

    async def start(self) -> None:
        for peer in (self.up, self.testbed.discovery):
            if not peer.port:
                await peer.start()
        self.port = getattr(self, "port", 0) or reserved_port()
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "ab12",
            "discovery": f"127.0.0.1:{self.testbed.discovery.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": self.testbed.endpoint_list(self.testbed.list_row(0)),
            "settings": self.testbed.settings,
        }
        self.process = await spawn(self.config, self.path, self.sockets)
        for _ in range(1000):
            try:
                if (await self.submit(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)
        raise AssertionError("the balancer did not become ready")

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port, limit=2**22)

    async def submit(self, data: bytes) -> Message:
        reader, writer = await self.connect()
        writer.write(data)
        try:
            return await read_message(reader)
        finally:
            writer.close()


@asynccontextmanager
async def program(path: Path, sockets: int = 1024) -> AsyncIterator[Program]:
    it = Program(path / "config.json")
    it.sockets = sockets
    await it.start()
    try:
        yield it
    finally:
        if it.process.returncode is None:
            it.process.kill()
        await it.process.wait()
        await it.up.stop()
        await it.testbed.discovery.stop()


def test_sigterm_under_load_answers_all_requests_and_exits_0(tmp_path: Path) -> None:
    async def test() -> None:
        async with program(tmp_path) as it:
            release = asyncio.Event()

            async def answer_when_released(message: Message, writer: asyncio.StreamWriter) -> None:
                await release.wait()
                writer.write(reply())

            kept_alive, uploading = await it.connect(), await it.connect()
            kept_alive[1].write(request())
            assert (await read_message(kept_alive[0])).status == 200
            it.up.script = answer_when_released
            in_flight = asyncio.ensure_future(it.submit(request("pay", b"")))
            uploading[1].write(request("pay", b"body")[:-2])
            await wait_until(lambda: len(it.up.received) == 2)
            it.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            after_sigterm = asyncio.ensure_future(it.submit(request("pay", b"")))
            kept_alive[1].write(request("pay", b""))  # unsafe class: a slow answer causes no second attempt
            uploading[1].write(b"dy")
            await wait_until(lambda: len(it.up.received) == 5)
            release.set()
            answers = [
                await in_flight,
                await after_sigterm,
                await read_message(kept_alive[0]),
                await read_message(uploading[0]),
            ]
            assert [a.status for a in answers] == [200] * 4
            assert all(a.fields["connection"] == "close" for a in answers)
            assert await asyncio.wait_for(it.process.wait(), 10) == 0

    uvloop.run(test())


def test_sigterm_with_stalled_upload_and_response_exits_in_time(tmp_path: Path) -> None:
    async def test() -> None:
        async with program(tmp_path) as it:

            async def send_half(message: Message, writer: asyncio.StreamWriter) -> None:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"h" * 150_000)

            it.up.script = send_half
            streaming = await it.connect()
            streaming[1].write(request("pay", b""))
            await streaming[0].readexactly(100_000)
            uploading = await it.connect()
            uploading[1].write(request("pay", b"u" * 1000)[:-500])
            it.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(it.process.wait(), 20) == 0

    uvloop.run(test())


def test_sighup_switches_discovery_and_keeps_requests_in_flight(tmp_path: Path) -> None:
    """SIGHUP once terminated the process. A reload must lose no request and must leave the old discovery."""

    async def test() -> None:
        async with program(tmp_path) as it:
            assert it.process.stderr is not None
            release = asyncio.Event()

            async def answer_when_released(message: Message, writer: asyncio.StreamWriter) -> None:
                await release.wait()
                writer.write(reply(b"kept"))

            it.up.script = answer_when_released
            in_flight = asyncio.ensure_future(it.submit(request("pay", b"")))
            await wait_until(lambda: it.up.received)
            it.path.write_text("{")
            it.process.send_signal(signal.SIGHUP)
            line = await asyncio.wait_for(it.process.stderr.readline(), 20)
            assert line.startswith(b"reload: not JSON") and it.process.returncode is None
            await wait_until(lambda: it.testbed.watches and not it.testbed.discovery.closed_connections)
            elsewhere = BalancerTestbed(2)  # lists another upstream, with version numbers of its own
            for peer in (*elsewhere.upstreams, elsewhere.discovery):
                await peer.start()
            elsewhere.version, elsewhere.upstreams[1].script = 0, responds_with(reply(b"new"))
            elsewhere.served_list = elsewhere.endpoint_list(elsewhere.list_row(1))
            it.path.write_text(
                json.dumps({**it.config, "discovery": f"127.0.0.1:{elsewhere.discovery.port}"})
            )
            it.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: elsewhere.watches and it.testbed.discovery.closed_connections)
            release.set()
            assert (await in_flight).body == b"kept"
            assert (await it.submit(request("pay", b""))).body == b"new"
            assert it.process.returncode is None
            for peer in (*elsewhere.upstreams, elsewhere.discovery):
                await peer.stop()

    uvloop.run(test())


@pytest.mark.parametrize("sockets", [256, 1024])
def test_excess_idle_clients_do_not_prevent_service(tmp_path: Path, sockets: int) -> None:
    """Idle clients beyond the descriptor limit must not block requests, list calls or a reload.

    Checked before, during and after an outage of discovery, and after a SIGSTOP during which more clients
    connect than the limit allows.
    """

    async def test() -> None:
        idle_sockets: list[socket.socket] = []

        def connect_idle_clients() -> None:
            for _ in range(sockets + sockets // 2):
                idle_sockets.append(socket.socket())
                idle_sockets[-1].setblocking(False)
                idle_sockets[-1].connect_ex(("127.0.0.1", it.port))

        async def check_service() -> None:
            answers = await asyncio.gather(*(it.submit(request("pay", b"")) for _ in range(20)))
            assert {answer.status for answer in answers} == {200}

        async with program(tmp_path, sockets) as it:
            assert it.process.stderr is not None
            connect_idle_clients()
            await check_service()
            await it.testbed.discovery.stop()
            connect_idle_clients()
            await check_service()
            it.process.send_signal(signal.SIGSTOP)
            connect_idle_clients()
            service_check = asyncio.ensure_future(check_service())
            await asyncio.sleep(0)
            it.process.send_signal(signal.SIGCONT)
            await service_check
            watches = len(it.testbed.watches)
            await it.testbed.discovery.start(it.testbed.discovery.port)
            await wait_until(lambda: len(it.testbed.watches) > watches)
            it.process.send_signal(signal.SIGHUP)
            assert b"in force" in await asyncio.wait_for(it.process.stderr.readline(), 20)
            connect_idle_clients()
            await check_service()
            assert len(os.listdir(f"/proc/{it.process.pid}/fd")) < sockets
            it.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(it.process.wait(), 10) == 0
            assert not (await it.process.stderr.read()).count(b"Traceback")
            for sock in idle_sockets:
                sock.close()

    uvloop.run(test())


def test_restart_after_sigkill_binds_the_same_address(tmp_path: Path) -> None:
    async def test() -> None:
        async with program(tmp_path) as it:
            kept_alive = await it.connect()
            kept_alive[1].write(request())
            assert (await read_message(kept_alive[0])).status == 200
            it.process.kill()
            await it.process.wait()
            await it.start()
            assert (await it.submit(request())).status == 200

    uvloop.run(test())


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ("{", "not JSON"),
        pytest.param("[" * 100_000, "not JSON", id="deep"),
        pytest.param({"listen": "a:" + "9" * 5000}, "digits", id="port"),
        ({"limits": {"memory_mb": 1e305, "sockets": 10}}, "infinity"),
        pytest.param({"limits": {"memory_mb": 10**400, "sockets": 10}}, "too large", id="memory"),
        ({"settings": {**BalancerTestbed().settings, "report": {"fields": [["x"]]}}}, "report.fields"),
        ({"settings": {**BalancerTestbed().settings, "customers": [{"name": {}, "quotaPerS": 1}]}}, "name"),
        ({"listen": None}, "listen"),
        ({"listen": "127.0.0.1"}, "listen"),
        ({"discovery": "x:99999"}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"memory_mb": 128}}, "limits.sockets"),
        ({"admin_addr": "9100"}, "admin_addr"),
        ({"admin_addr": "192.0.2.1:9"}, "admin_addr"),  # not an address of this machine
        ({"limits": {"memory_mb": -1, "sockets": 10}}, "limits.memory_mb"),
        ({"known": []}, "known"),
        ({"known": {"seq": 1, "whole": True, "hosts": [{}]}}, "known"),
        ({"settings": {}}, "guarantees"),
        ({"settings": {**BalancerTestbed().settings, "classes": []}}, "classes"),
        ({"settings": {**BalancerTestbed().settings, "myZone": None, "nInstances": 0}}, "balancers"),
        ({"settings": {k: v for k, v in BalancerTestbed().settings.items() if k != "myZone"}}, "myZone"),
    ],
)
def test_invalid_configuration_fails_the_start_with_one_line(tmp_path: Path, change: Any, key: str) -> None:
    async def test() -> None:
        valid_config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": "1",
            "limits": {"memory_mb": 128, "sockets": 1024},
            "settings": BalancerTestbed().settings,
            "known": {"seq": 1, "whole": True, "hosts": []},
        }
        process = await spawn(
            change if isinstance(change, str) else valid_config | change, tmp_path / "c.json"
        )
        _, errors = await asyncio.wait_for(process.communicate(), 20)
        assert process.returncode == 2
        assert key in errors.decode() and errors.count(b"\n") == 1 and b"Traceback" not in errors

    uvloop.run(test())


@pytest.mark.parametrize("after_s", [0.0, 0.15, 0.3, 0.45, 0.7])
def test_sigterm_during_startup_exits_without_traceback(tmp_path: Path, after_s: float) -> None:
    """SIGTERM kills the process before it installs its signal handlers; later it shuts down gracefully.

    In both cases it has accepted no request yet.
    """

    async def test() -> None:
        testbed = BalancerTestbed()
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{reserved_port()}",
            "seed": "ab12",
            "discovery": "127.0.0.1:1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"seq": 0, "whole": True, "hosts": []},
            "settings": testbed.settings,
        }
        process = await spawn(config, tmp_path / "config.json")
        await asyncio.sleep(after_s)
        process.terminate()
        _, errors = await asyncio.wait_for(process.communicate(), 20)
        assert process.returncode in (0, -signal.SIGTERM) and b"Traceback" not in errors

    uvloop.run(test())


def test_request_is_served_by_the_upstream_script(tmp_path: Path) -> None:
    async def test() -> None:
        async with program(tmp_path) as it:
            it.up.script = responds_with(reply(b"from afar"))
            assert (await it.submit(request())).body == b"from afar"

    uvloop.run(test())
