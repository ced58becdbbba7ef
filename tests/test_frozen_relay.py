"""Compares the bytes of a relay, and of a balancer that uses a relay, with a frozen transcript.

Two processes run between scripted peers: `quartzford relay`, and `quartzford serve` with a relay in its
operator's file. The script performs one action at a time. The transcript omits the relay's heartbeats (empty
lines), because their number depends on timing.
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
HEARTBEAT_INTERVAL_S = 0.5  # a relay considers a list service late after 2.25 s without a byte
WATCH_PATH = "/catalog/members?stream=1&index="
HEARTBEAT_CHUNK = b"1\r\n\n\r\n"


def list_row(number: int, health: str = "ready", born: float = 0.0) -> dict[str, Any]:
    """Return a row of the endpoint list; no process calls its address."""
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
    """A client that watches the list at a relay and records what it receives."""

    def __init__(self, transcript: Transcript, label: str, port: int) -> None:
        self.transcript, self.label, self.port = transcript, label, port

    async def start(self, index: int) -> None:
        """Start the watch, and record the response's head and first line."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=2**22)
        self.writer.write(f"GET {WATCH_PATH}{index} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        self.transcript.record_bytes(self.label, await self.reader.readuntil(b"\r\n\r\n"))
        await self.record_line()

    async def record_line(self) -> None:
        """Record the next line that is no heartbeat, with its framing."""
        chunk = HEARTBEAT_CHUNK
        while chunk == HEARTBEAT_CHUNK:
            size = await self.reader.readuntil(b"\r\n")
            chunk = size + await self.reader.readexactly(int(size, 16) + 2)
        self.transcript.record_bytes(self.label, chunk)

    async def read_to_end(self) -> None:
        """Record the rest of the response without heartbeats."""
        rest = await self.reader.read()
        self.transcript.record_bytes(self.label, rest.replace(HEARTBEAT_CHUNK, b""))
        self.writer.close()


async def spawn(folder: Path, command: str, operator: str, **environment: str) -> asyncio.subprocess.Process:
    """Start a subcommand of quartzford with this operator's file."""
    path = folder / f"{command}.toml"
    path.write_text(operator)
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "quartzford",
        command,
        "--operator",
        str(path),
        cwd=ROOT,
        env=inherited | environment,
        stderr=asyncio.subprocess.DEVNULL,
    )


async def send_heartbeats(service: ListService) -> None:
    """Send heartbeats from the list service, so that the relay does not consider it late."""
    while True:
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        if service.watches:
            service.send_heartbeat()


async def wait_until_listening(port: int) -> None:
    """Wait until a process listens on this port."""
    for _ in range(2000):
        try:
            _, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            await asyncio.sleep(0.01)
        else:
            return writer.close()
    raise AssertionError(f"no process listens on port {port}")


async def call(transcript: Transcript, port: int, title: str, data: bytes) -> None:
    """Send one request to the relay, and record its whole response."""
    transcript.heading(title)
    reader, writer = await asyncio.open_connection(HOST, port, limit=2**22)
    writer.write(data)
    transcript.record_bytes("caller", (await read_raw_message(reader)).raw)
    rest = await reader.read()
    transcript.note("caller", f"closed, {len(rest)} bytes more")
    writer.close()


async def relay_script(transcript: Transcript, service: ListService, port: int) -> Watcher:
    """Send watches, list requests and malformed requests, and restart the source; return the open watch."""
    await wait_until(lambda: service.watches)
    first = Watcher(transcript, "first watcher", port)
    transcript.heading("a watch of everything")
    await first.start(0)
    await call(transcript, port, "the list alone", b"GET /catalog/members HTTP/1.1\r\nHost: a\r\n\r\n")
    transcript.heading("a change: one drains, one is new")
    service.send(list_row(1, "draining"), list_row(7, born=1_790_000_000_000.0))
    await first.record_line()
    transcript.heading("a change: one is gone")
    service.send(list_row(1, "gone"))
    await first.record_line()
    for index in (1, 3):
        transcript.heading(f"a watch from version {index}")
        watcher = Watcher(transcript, "watcher", port)
        await watcher.start(index)
        watcher.writer.close()
    for title, data in (
        ("another path", b"GET /other HTTP/1.1\r\nHost: a\r\n\r\n"),
        ("another method", b"POST /catalog/members HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"),
        ("an index that is none", f"GET {WATCH_PATH}x HTTP/1.1\r\nHost: a\r\n\r\n".encode()),
        ("no HTTP", b"what is this\r\n\r\n"),
    ):
        await call(transcript, port, title, data)
    transcript.heading("the list service has begun again")
    service.version = 0
    service.send(list_row(4), list_row(5), complete=True)
    await first.record_line()
    return first


async def play_relay(folder: Path, transcript: Transcript) -> None:
    """Run a relay between a list service and its watchers."""
    transcript.heading("a relay starts")
    service = ListService(transcript, "list service")
    service.rows = {f"s{number}": list_row(number) for number in range(3)}
    await service.start()
    port = reserved_port(HOST)
    settings = f'[relay]\nlisten = "{HOST}:{port}"\nsource = "{HOST}:{service.port}"\nbalancers = 3\n'
    heartbeats = asyncio.ensure_future(send_heartbeats(service))
    process = await spawn(folder, "relay", settings)
    try:
        await wait_until_listening(port)
        watcher = await relay_script(transcript, service, port)
        transcript.heading("SIGTERM")
        process.send_signal(signal.SIGTERM)
        await watcher.read_to_end()
        transcript.note("exit status", str(await asyncio.wait_for(process.wait(), 20)))
    finally:
        heartbeats.cancel()
        service.stop()
        await kill(process)


async def play_balancer(folder: Path, transcript: Transcript) -> None:
    """Run a balancer that watches a relay, and the list service after the relay has stopped."""
    transcript.heading("a balancer starts")
    relay, service = (ListService(transcript, label) for label in ("relay", "list service"))
    for peer in (relay, service):
        peer.rows = {"s1": list_row(1)}
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
        transcript.heading("a change, and the end of the watch")
        relay.send(list_row(2))
        relay.end_watch()
        await wait_until(lambda: len(relay.watches) > 1)
        transcript.heading("the relay is gone")
        relay.stop()
        await wait_until(lambda: service.watches)
        process.send_signal(signal.SIGTERM)
        transcript.note("exit status", str(await asyncio.wait_for(process.wait(), 20)))
    finally:
        relay.stop()
        service.stop()
        await kill(process)


async def kill(process: asyncio.subprocess.Process) -> None:
    """Kill the process if it still runs, which it does only if the script failed."""
    if process.returncode is None:
        process.kill()
        await process.wait()


async def play(folder: Path) -> str:
    """Run both scripts and return the transcript's text."""
    transcript = Transcript()
    await play_relay(folder, transcript)
    await play_balancer(folder, transcript)
    return transcript.text()


def transcript_text() -> str:
    """Return the transcript of the current code."""
    with tempfile.TemporaryDirectory() as folder:
        return uvloop.run(asyncio.wait_for(play(Path(folder)), TIME_LIMIT_S))


def freeze() -> dict[str, bytes]:
    """Return the name and bytes of the frozen file, as the current code produces them."""
    return {FILE.name: transcript_text().encode()}


def test_transcript_of_relay_and_its_balancer_equals_frozen_file() -> None:
    assert transcript_text().splitlines() == FILE.read_text().splitlines()
