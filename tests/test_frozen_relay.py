"""The bytes of a relay, to the list service and to those who ask it, and of a balancer to relays: as frozen.

Two processes, each between scripted peers: `quartzford relay`, and `quartzford serve` with a relay in its
operator's file. One thing happens at a time; empty lines, which tell that nothing has changed, are left out.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import uvloop
from peers import SETTINGS, reserved_port, wait_until
from transcript_site import HOST, ROOT, ListService, Transcript, read_raw_message

FILE = Path(__file__).parent / "data" / "relay.txt"
TIME_LIMIT_S = 60.0
BEAT_S = 0.5  # a relay takes a list service that is silent for 2.25 s for late
WATCH = "/catalog/members?stream=1&index="
EMPTY_LINE = b"1\r\n\n\r\n"


def row(number: int, health: str = "ready", born: float = 0.0) -> dict[str, Any]:
    """A row of the list; nobody calls the address."""
    return {
        "host": f"s{number}",
        "dial": f"10.0.0.{number}:8101",
        "site": "north",
        "class": "std",
        "block": number,
        "health": health,
        "share": 1.0,
        "born_ms": born,
    }


class Watcher:
    """A watch at a relay."""

    def __init__(self, transcript: Transcript, label: str, port: int) -> None:
        self.transcript, self.label, self.port = transcript, label, port

    async def begin(self, index: int) -> None:
        """Ask, and write down the answer's head and first line."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=2**22)
        self.writer.write(f"GET {WATCH}{index} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        self.transcript.data(self.label, await self.reader.readuntil(b"\r\n\r\n"))
        await self.line()

    async def line(self) -> None:
        """Write down the next line that is not empty, with its framing."""
        chunk = EMPTY_LINE
        while chunk == EMPTY_LINE:
            size = await self.reader.readuntil(b"\r\n")
            chunk = size + await self.reader.readexactly(int(size, 16) + 2)
        self.transcript.data(self.label, chunk)

    async def end(self) -> None:
        """Write down the rest of the answer."""
        rest = await self.reader.read()
        self.transcript.data(self.label, rest.replace(EMPTY_LINE, b""))
        self.writer.close()


async def spawn(folder: Path, command: str, operator: str, **environment: str) -> asyncio.subprocess.Process:
    """A subcommand with an operator's file."""
    path = folder / f"{command}.toml"
    path.write_text(operator)
    outer = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "quartzford",
        command,
        "--operator",
        str(path),
        cwd=ROOT,
        env=outer | environment,
        stderr=asyncio.subprocess.DEVNULL,
    )


async def keep_beating(service: ListService) -> None:
    """The list service says something at all times."""
    while True:
        await asyncio.sleep(BEAT_S)
        if service.watches:
            service.beat()


async def until_listening(port: int) -> None:
    """Wait for a process that is to listen on a port."""
    for _ in range(2000):
        try:
            _, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            await asyncio.sleep(0.01)
        else:
            return writer.close()
    raise AssertionError(f"nobody listens on port {port}")


async def call(transcript: Transcript, port: int, title: str, data: bytes) -> None:
    """One call to the relay, and its whole answer."""
    transcript.step(title)
    reader, writer = await asyncio.open_connection(HOST, port, limit=2**22)
    writer.write(data)
    transcript.data("caller", (await read_raw_message(reader)).raw)
    rest = await reader.read()
    transcript.note("caller", f"closed, {len(rest)} bytes more")
    writer.close()


async def relay_script(transcript: Transcript, service: ListService, port: int) -> Watcher:
    """Watches, calls for the list, calls that are none, a source that begins again; a watch that stands."""
    await wait_until(lambda: service.watches)
    first = Watcher(transcript, "first watcher", port)
    transcript.step("a watch of everything")
    await first.begin(0)
    await call(transcript, port, "the list alone", b"GET /catalog/members HTTP/1.1\r\nHost: a\r\n\r\n")
    transcript.step("a change: one drains, one is new")
    service.send(row(1, "draining"), row(7, born=1_790_000_000_000.0))
    await first.line()
    transcript.step("a change: one is gone")
    service.send(row(1, "gone"))
    await first.line()
    for index in (1, 3):
        transcript.step(f"a watch from version {index}")
        watcher = Watcher(transcript, "watcher", port)
        await watcher.begin(index)
        watcher.writer.close()
    for title, data in (
        ("another path", b"GET /other HTTP/1.1\r\nHost: a\r\n\r\n"),
        ("another method", b"POST /catalog/members HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"),
        ("an index that is none", f"GET {WATCH}x HTTP/1.1\r\nHost: a\r\n\r\n".encode()),
        ("no HTTP", b"what is this\r\n\r\n"),
    ):
        await call(transcript, port, title, data)
    transcript.step("the list service has begun again")
    service.version = 0
    service.send(row(4), row(5), complete=True)
    await first.line()
    return first


async def play_relay(folder: Path, transcript: Transcript) -> None:
    """A relay between a list service and its watchers."""
    transcript.step("a relay starts")
    service = ListService(transcript, "list service")
    service.rows = {f"s{number}": row(number) for number in range(3)}
    await service.start()
    port = reserved_port(HOST)
    settings = f'[relay]\nlisten = "{HOST}:{port}"\nsource = "{HOST}:{service.port}"\nbalancers = 3\n'
    beats = asyncio.ensure_future(keep_beating(service))
    process = await spawn(folder, "relay", settings)
    try:
        await until_listening(port)
        watcher = await relay_script(transcript, service, port)
        transcript.step("SIGTERM")
        process.send_signal(signal.SIGTERM)
        await watcher.end()
        transcript.note("exit status", str(await asyncio.wait_for(process.wait(), 20)))
    finally:
        beats.cancel()
        service.stop()
        await kill(process)


async def play_balancer(folder: Path, transcript: Transcript) -> None:
    """A balancer that asks a relay, and the list service where the relay is gone."""
    transcript.step("a balancer starts")
    relay, service = (ListService(transcript, label) for label in ("relay", "list service"))
    for peer in (relay, service):
        peer.rows = {"s1": row(1)}
        await peer.start()
    port = reserved_port(HOST)
    config = {
        "name": "n0",
        "listen": f"{HOST}:{port}",
        "seed": "ab12",
        "discovery": f"{HOST}:{service.port}",
        "known": {"seq": 0, "whole": True, "hosts": []},
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS | {"registryMode": "subscribe"},
    }
    (folder / "balancer.json").write_text(json.dumps(config))
    settings = f'config = "balancer.json"\n[lists]\nrelays = ["{HOST}:{relay.port}"]\n'
    process = await spawn(folder, "serve", settings)
    try:
        await wait_until(lambda: relay.watches)
        transcript.step("a change, and the end of the watch")
        relay.send(row(2))
        relay.end_watch()
        await wait_until(lambda: len(relay.watches) > 1)
        transcript.step("the relay is gone")
        relay.stop()
        await wait_until(lambda: service.watches)
        process.send_signal(signal.SIGTERM)
        transcript.note("exit status", str(await asyncio.wait_for(process.wait(), 20)))
    finally:
        relay.stop()
        service.stop()
        await kill(process)


async def kill(process: asyncio.subprocess.Process) -> None:
    """End a process that a script which failed has left."""
    if process.returncode is None:
        process.kill()
        await process.wait()


async def play(folder: Path) -> str:
    """Both scripts; the transcript's text."""
    transcript = Transcript()
    await play_relay(folder, transcript)
    await play_balancer(folder, transcript)
    return transcript.text()


def transcript_text() -> str:
    """The transcript of this code."""
    with tempfile.TemporaryDirectory() as folder:
        return uvloop.run(asyncio.wait_for(play(Path(folder)), TIME_LIMIT_S))


def freeze() -> dict[str, bytes]:
    """The frozen file's name and bytes, by the code as it is."""
    return {FILE.name: transcript_text().encode()}


def test_every_byte_of_a_relay_and_to_relays_is_as_it_was_frozen() -> None:
    assert transcript_text().splitlines() == FILE.read_text().splitlines()
