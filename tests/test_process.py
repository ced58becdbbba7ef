"""The program as the deploy file starts it: start, bad configurations, SIGTERM, SIGKILL."""

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


def test_a_reserved_port_is_given_to_nobody_else_and_can_be_listened_to() -> None:
    port = reserved_port()
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", port))
    with socket.create_server(("127.0.0.1", port)), socket.create_connection(("127.0.0.1", port)):
        pass


class Program:
    """A balancer in a process of its own, with one upstream."""

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
        raise AssertionError("it was never ready")

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


def test_sigterm_under_load_answers_all_and_exits_0(tmp_path: Path) -> None:
    async def test() -> None:
        async with program(tmp_path) as it:
            gate = asyncio.Event()

            async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
                await gate.wait()
                writer.write(reply())

            kept, half = await it.connect(), await it.connect()
            kept[1].write(request())
            assert (await read_message(kept[0])).status == 200
            it.up.script = wait
            held = asyncio.ensure_future(it.submit(request("pay", b"")))
            half[1].write(request("pay", b"body")[:-2])
            await wait_until(lambda: len(it.up.received) == 2)
            it.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            new = asyncio.ensure_future(it.submit(request("pay", b"")))
            kept[1].write(request("pay", b""))  # unsafe: it is sent once, however long it takes
            half[1].write(b"dy")
            await wait_until(lambda: len(it.up.received) == 5)
            gate.set()
            answers = [await held, await new, await read_message(kept[0]), await read_message(half[0])]
            assert [a.status for a in answers] == [200] * 4
            assert all(a.fields["connection"] == "close" for a in answers)
            assert await asyncio.wait_for(it.process.wait(), 10) == 0

    uvloop.run(test())


def test_sigterm_with_an_upload_a_stream_and_silence_ends_in_time(tmp_path: Path) -> None:
    async def test() -> None:
        async with program(tmp_path) as it:

            async def half(message: Message, writer: asyncio.StreamWriter) -> None:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"h" * 150_000)

            it.up.script = half
            streaming = await it.connect()
            streaming[1].write(request("pay", b""))
            await streaming[0].readexactly(100_000)
            uploading = await it.connect()
            uploading[1].write(request("pay", b"u" * 1000)[:-500])
            it.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(it.process.wait(), 20) == 0

    uvloop.run(test())


def test_sighup_follows_the_new_discovery_and_keeps_what_is_in_flight(tmp_path: Path) -> None:
    """SIGHUP once ended the process; a reload loses nothing and leaves the old address."""

    async def test() -> None:
        async with program(tmp_path) as it:
            assert it.process.stderr is not None
            gate = asyncio.Event()

            async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
                await gate.wait()
                writer.write(reply(b"kept"))

            it.up.script = wait
            held = asyncio.ensure_future(it.submit(request("pay", b"")))
            await wait_until(lambda: it.up.received)
            it.path.write_text("{")
            it.process.send_signal(signal.SIGHUP)
            line = await asyncio.wait_for(it.process.stderr.readline(), 20)
            assert line.startswith(b"reload: not JSON") and it.process.returncode is None
            await wait_until(lambda: it.testbed.watches and not it.testbed.discovery.closed_connections)
            elsewhere = BalancerTestbed(2)  # knows of another upstream, and counts its versions anew
            for peer in (*elsewhere.upstreams, elsewhere.discovery):
                await peer.start()
            elsewhere.version, elsewhere.upstreams[1].script = 0, responds_with(reply(b"new"))
            elsewhere.served_list = elsewhere.endpoint_list(elsewhere.list_row(1))
            it.path.write_text(
                json.dumps({**it.config, "discovery": f"127.0.0.1:{elsewhere.discovery.port}"})
            )
            it.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: elsewhere.watches and it.testbed.discovery.closed_connections)
            gate.set()
            assert (await held).body == b"kept"
            assert (await it.submit(request("pay", b""))).body == b"new"
            assert it.process.returncode is None
            for peer in (*elsewhere.upstreams, elsewhere.discovery):
                await peer.stop()

    uvloop.run(test())


@pytest.mark.parametrize("sockets", [256, 1024])
def test_idle_clients_over_the_bound_leave_room_for_what_has_to_go_on(tmp_path: Path, sockets: int) -> None:
    """Before, during and after an outage of discovery, and after a stop in which more came than fit."""

    async def test() -> None:
        idle: list[socket.socket] = []

        def crowd() -> None:
            for _ in range(sockets + sockets // 2):
                idle.append(socket.socket())
                idle[-1].setblocking(False)
                idle[-1].connect_ex(("127.0.0.1", it.port))

        async def serves() -> None:
            answers = await asyncio.gather(*(it.submit(request("pay", b"")) for _ in range(20)))
            assert {answer.status for answer in answers} == {200}

        async with program(tmp_path, sockets) as it:
            assert it.process.stderr is not None
            crowd()
            await serves()
            await it.testbed.discovery.stop()
            crowd()
            await serves()
            it.process.send_signal(signal.SIGSTOP)
            crowd()
            asking = asyncio.ensure_future(serves())
            await asyncio.sleep(0)
            it.process.send_signal(signal.SIGCONT)
            await asking
            watches = len(it.testbed.watches)
            await it.testbed.discovery.start(it.testbed.discovery.port)
            await wait_until(lambda: len(it.testbed.watches) > watches)
            it.process.send_signal(signal.SIGHUP)
            assert b"in force" in await asyncio.wait_for(it.process.stderr.readline(), 20)
            crowd()
            await serves()
            assert len(os.listdir(f"/proc/{it.process.pid}/fd")) < sockets
            it.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(it.process.wait(), 10) == 0
            assert not (await it.process.stderr.read()).count(b"Traceback")
            for sock in idle:
                sock.close()

    uvloop.run(test())


def test_sigkill_and_a_start_again_under_the_same_address(tmp_path: Path) -> None:
    async def test() -> None:
        async with program(tmp_path) as it:
            kept = await it.connect()
            kept[1].write(request())
            assert (await read_message(kept[0])).status == 200
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
        ({"admin_addr": "192.0.2.1:9"}, "admin_addr"),  # not of this machine
        ({"limits": {"memory_mb": -1, "sockets": 10}}, "limits.memory_mb"),
        ({"known": []}, "known"),
        ({"known": {"seq": 1, "whole": True, "hosts": [{}]}}, "known"),
        ({"settings": {}}, "guarantees"),
        ({"settings": {**BalancerTestbed().settings, "classes": []}}, "classes"),
        ({"settings": {**BalancerTestbed().settings, "myZone": None, "nInstances": 0}}, "balancers"),
        ({"settings": {k: v for k, v in BalancerTestbed().settings.items() if k != "myZone"}}, "myZone"),
    ],
)
def test_a_bad_configuration_ends_the_start_with_one_line(tmp_path: Path, change: Any, key: str) -> None:
    async def test() -> None:
        good = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": "1",
            "limits": {"memory_mb": 128, "sockets": 1024},
            "settings": BalancerTestbed().settings,
            "known": {"seq": 1, "whole": True, "hosts": []},
        }
        process = await spawn(change if isinstance(change, str) else good | change, tmp_path / "c.json")
        _, errors = await asyncio.wait_for(process.communicate(), 20)
        assert process.returncode == 2
        assert key in errors.decode() and errors.count(b"\n") == 1 and b"Traceback" not in errors

    uvloop.run(test())


@pytest.mark.parametrize("after_s", [0.0, 0.15, 0.3, 0.45, 0.7])
def test_sigterm_within_the_first_second_ends_it_with_no_word(tmp_path: Path, after_s: float) -> None:
    """Before it can hear of signals it ends by this one, after that in order; nothing was taken yet."""

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
        _, said = await asyncio.wait_for(process.communicate(), 20)
        assert process.returncode in (0, -signal.SIGTERM) and b"Traceback" not in said

    uvloop.run(test())


def test_an_upstream_script_serves(tmp_path: Path) -> None:
    async def test() -> None:
        async with program(tmp_path) as it:
            it.up.script = responds_with(reply(b"from afar"))
            assert (await it.submit(request())).body == b"from afar"

    uvloop.run(test())
