"""Scripted site that records every byte between one balancer process and its peers.

The peers are clients, upstreams and list services. The transcript is text. It masks values that depend on
time or on the machine: X-Time-Left, Retry-After and addresses. The balancer chooses among several upstreams
at random; therefore upstreams are numbered in the order of their first attempts.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import re
import socket
import struct
import sys
import tomllib
from collections import deque
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from peers import SETTINGS, own_address, reserved_port, wait_until

ROOT = Path(__file__).resolve().parent.parent
COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
HOST = own_address()
REUSE_DELAY_S = 0.03  # the balancer reuses an upstream's connection after 10 ms of idle time
MAX_LINE_BYTES = 400  # the transcript has only length and digest of longer lines
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MASKS = (
    (re.compile(rb"(X-Time-Left: )\d+u"), rb"\1#u"),
    (re.compile(rb"(Retry-After: )[0-9.]+"), rb"\1#"),
    (re.compile(rb"127\.\d+\.\d+\.\d+:\d+"), rb"127.#:#"),
)
# With these objectives, attempts are given up only after seconds. A machine that is busy for a moment does
# not change the transcript.
CLASSES = [
    {"name": "read", "sloMs": 20000.0, "deadlineMs": 20000.0, "value": 1.0, "effect": "free"},
    {
        "name": "book",
        "sloMs": 20000.0,
        "deadlineMs": 20000.0,
        "value": 5.0,
        "effect": "guarded",
        "group": "cell",
        "memorySpanMs": 15000.0,
    },
    {"name": "pay", "sloMs": 20000.0, "deadlineMs": 20000.0, "value": 8.0, "effect": "single_shot"},
    {
        "name": "feed",
        "sloMs": 20000.0,
        "deadlineMs": 20000.0,
        "value": 1.0,
        "effect": "free",
        "streaming": True,
    },
]


class Transcript:
    """The lines recorded so far."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.paused = False

    def heading(self, title: str) -> None:
        """Add a heading."""
        self.lines += ["", f"== {title}"]

    def note(self, label: str, text: str) -> None:
        """Record an event in words. label: the peer that saw it."""
        self.lines.append(f"{label}: {text}")

    def record_bytes(self, label: str, data: bytes) -> None:
        """Record bytes that a peer received, one transcript line for each line of them."""
        if self.paused:
            return
        self.note(label, f"{len(mask(data))} bytes")
        for line in mask(data).splitlines(keepends=True):
            if len(line) > MAX_LINE_BYTES:
                digest = hashlib.sha256(line).hexdigest()
                self.lines.append(f"    <{len(line)} bytes, sha256 {digest}>")
            else:
                self.lines.append("    " + line.decode("latin-1").encode("unicode_escape").decode())

    def text(self) -> str:
        """Return the whole transcript."""
        return "\n".join(self.lines).strip() + "\n"


def mask(data: bytes) -> bytes:
    """Return the bytes with all values masked that depend on time or on the machine."""
    for pattern, replacement in MASKS:
        data = pattern.sub(replacement, data)
    return data


class RawMessage(NamedTuple):
    """A received HTTP message. raw: all its bytes; body: its body without the framing."""

    raw: bytes
    fields: dict[str, str]
    body: bytes

    @property
    def head(self) -> bytes:
        """The bytes up to and including the empty line."""
        return self.raw.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"


async def read_raw_message(reader: asyncio.StreamReader, bodiless: bool = False) -> RawMessage:
    """Read the next message with all its bytes. bodiless: it is the response to a HEAD request.

    Raises IncompleteReadError if the connection ends before the end of the message.
    """
    raw = await reader.readuntil(b"\r\n\r\n")
    line, *rest = raw.decode("latin-1").rstrip().split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (part.partition(":") for part in rest)}
    body = b""
    if bodiless or line.split()[1] == "100":
        pass
    elif fields.get("transfer-encoding") == "chunked":
        while True:
            size_line = await reader.readuntil(b"\n")
            chunk = await reader.readexactly(int(size_line, 16) + 2)
            raw, body = raw + size_line + chunk, body + chunk[:-2]
            if len(chunk) == 2:
                break
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
        raw += body
    elif line.startswith("HTTP/"):
        body = await reader.read()
        raw += body
    return RawMessage(raw, fields, body)


class ScriptedReply(NamedTuple):
    """How an upstream answers an attempt.

    data: the bytes that it writes. close, reset: how it ends its connection after writing. hold: it writes
    only after the site sets `replies_released`, and not at all if the balancer closes the connection first.
    """

    data: bytes
    close: bool = False
    reset: bool = False
    hold: bool = False


def reply(
    body: bytes = b"done", status: str = "200 OK", fields: str = "", close: bool = False, hold: bool = False
) -> ScriptedReply:
    """Return a reply with a Content-Length."""
    head = f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    return ScriptedReply(head.encode() + body, close, hold=hold)


class Upstream:
    """An upstream that takes its reply to each attempt from the site's script."""

    def __init__(self, site: TranscriptSite, number: int) -> None:
        self.site, self.name = site, f"s{number}"
        self.label = ""
        self.connection_count = 0
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a port that the kernel chooses."""
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=2**22)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self, health: str = "ready") -> dict[str, Any]:
        """Return its row in the endpoint list."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": "north",
            "class": "std",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection, attempts = 0, 0
        try:
            while True:
                message = await read_raw_message(reader)
                attempts += 1
                if not connection:
                    self.connection_count += 1
                    connection = self.connection_count
                self.label = self.label or self.site.next_label()
                label = f"{self.label}, connection {connection}, attempt {attempts}"
                self.site.transcript.record_bytes(label, message.raw)
                if not self.site.script:
                    self.site.transcript.note(label, "more than the script has")
                    return
                if not await self._answer(self.site.script.popleft(), reader, writer):
                    return
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            if connection:
                self.site.closed_connections.append(f"{self.label}, connection {connection}")
            writer.close()

    async def _answer(
        self, scripted: ScriptedReply, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer an attempt as scripted; return whether the connection stays open."""
        if scripted.hold:
            self.site.attempt_held.set()
            peer_closed = asyncio.ensure_future(reader.read(1))
            released = asyncio.ensure_future(self.site.replies_released.wait())
            await asyncio.wait((peer_closed, released), return_when=asyncio.FIRST_COMPLETED)
            for task in (peer_closed, released):
                task.cancel()
            await asyncio.wait((peer_closed, released))
            if not self.site.replies_released.is_set():
                return False
        writer.write(scripted.data)
        await writer.drain()
        if scripted.reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        return not scripted.close and not scripted.reset


class ListService:
    """A list service: answers GET with the complete list, and serves watches."""

    def __init__(self, transcript: Transcript, label: str) -> None:
        self.transcript, self.label = transcript, label
        self.version = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.watches: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a port that the kernel chooses."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def list_message(self, complete: bool, rows: list[dict[str, Any]]) -> dict[str, Any]:
        """Return a list message with these rows at the current version."""
        return {"seq": self.version, "whole": complete, "hosts": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_raw_message(reader)
                self.transcript.record_bytes(self.label, message.raw)
                complete = json.dumps(self.list_message(True, list(self.rows.values()))).encode()
                if b"stream=1" in message.raw:
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    self.watches.append(writer)
                    self.write_line(complete)
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(complete) + complete)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    def write_line(self, line: bytes) -> None:
        """Send a line on the newest watch."""
        self.watches[-1].write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    def end_watch(self) -> None:
        """End the newest watch with the last chunk, without closing its connection."""
        self.watches[-1].write(b"0\r\n\r\n")

    def send_heartbeat(self) -> None:
        """Send a heartbeat: an empty line."""
        self.write_line(b"")

    def stop(self) -> None:
        """Stop listening, and reset the watches' connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.watches:
            writer.transport.abort()

    def send(self, *rows: dict[str, Any], complete: bool = False) -> None:
        """Increment the version and send a complete list, or changed rows, on the newest watch."""
        self.version += 1
        self.rows = ({} if complete else self.rows) | {row["host"]: row for row in rows}
        self.rows = {name: row for name, row in self.rows.items() if row["health"] != "gone"}
        self.write_line(json.dumps(self.list_message(complete, list(rows))).encode())


class Client:
    """A client's connection; the transcript records the responses that it receives."""

    def __init__(
        self, site: TranscriptSite, label: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.site, self.label, self.reader, self.writer = site, label, reader, writer

    async def submit(self, data: bytes, bodiless: bool = False, reframed: bool = False) -> RawMessage:
        """Send a request, and read and record its response."""
        self.writer.write(data)
        return await self.read_response(bodiless, reframed)

    async def read_response(self, bodiless: bool = False, reframed: bool = False) -> RawMessage:
        """Read and record a response.

        reframed: its chunk boundaries depend on timing, so the transcript has the body without its framing.
        """
        message = await read_raw_message(self.reader, bodiless)
        self.site.transcript.record_bytes(
            self.label, message.head + message.body if reframed else message.raw
        )
        return message

    async def read_to_end(self) -> None:
        """Read until the balancer closes the connection, and record how it did."""
        try:
            rest = await self.reader.read()
            self.site.transcript.note(self.label, f"closed, {len(rest)} bytes more")
        except ConnectionResetError:
            self.site.transcript.note(self.label, "reset")
        self.writer.close()

    async def submit_and_close(self, data: bytes, bodiless: bool = False) -> None:
        """Send the last request of this connection, and read until the balancer closes the connection."""
        await self.submit(data, bodiless)
        await self.read_to_end()

    def close(self) -> None:
        """Close the connection, even if a response is still due."""
        self.writer.close()


class TranscriptSite:
    """A balancer process and its clients, upstreams and list services."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.transcript = Transcript()
        self.script: deque[ScriptedReply] = (
            deque()
        )  # replies to the next attempts, at whichever upstream they arrive
        self.attempt_held = asyncio.Event()  # an upstream has received an attempt whose reply it holds
        self.replies_released = asyncio.Event()  # upstreams send the replies that they hold
        self.closed_connections: list[str] = []  # labels of upstreams' connections
        self.upstreams: list[Upstream] = []
        self.services = [
            ListService(self.transcript, name) for name in ("list service", "second list service")
        ]
        self.service = self.services[0]
        self.label_count = 0
        self.clients: list[Client] = []
        self.process: asyncio.subprocess.Process | None = None

    def next_label(self) -> str:
        """Return the label of an upstream that receives its first attempt."""
        self.label_count += 1
        return f"upstream {self.label_count}"

    async def add_upstream(self) -> Upstream:
        """Start another upstream, which the endpoint list does not contain yet."""
        up = Upstream(self, len(self.upstreams))
        self.upstreams.append(up)
        await up.start()
        return up

    async def start(self) -> None:
        """Start one upstream, both list services and the balancer; return once the balancer is ready."""
        up = await self.add_upstream()
        for service in self.services:
            await service.start()
        self.service.rows = {up.name: up.row()}
        self.port, self.admin_port = reserved_port(HOST), reserved_port(HOST)
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "seed": "ab12",
            "discovery": f"{HOST}:{self.service.port}",
            "admin_addr": f"{HOST}:{self.admin_port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.service.list_message(True, [up.row()]),
            "settings": SETTINGS | {"classes": CLASSES},
        }
        self.write_config(json.dumps(self.config))
        environment = {name: value for name, value in os.environ.items() if name != "EDGE_ADMIN_ADDR"}
        environment |= {"EDGE_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder)}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            COMMAND.replace(".venv/bin/python", f"{sys.executable} -B"),
            cwd=ROOT,
            env=environment,
            stderr=asyncio.subprocess.DEVNULL,
        )
        await self.wait_for_admin_line("/status", "ready")
        await wait_until(lambda: self.service.watches)
        await asyncio.sleep(REUSE_DELAY_S)

    async def stop(self) -> None:
        """Kill the balancer if it still runs, and stop all peers."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for client in self.clients:
            client.writer.transport.abort()
        for up in self.upstreams:
            if up.server is not None:
                up.server.close()
        for service in self.services:
            service.stop()
        await asyncio.sleep(0)

    def write_config(self, text: str) -> None:
        """Write the configuration that the balancer reads at its start and on SIGHUP."""
        (self.folder / "config.json").write_text(text)

    def send_signal(self, number: int) -> None:
        """Send a signal to the balancer."""
        assert self.process is not None
        self.process.send_signal(number)

    async def connect(self, label: str = "client") -> Client:
        """Open a client's connection."""
        client = Client(self, label, *await asyncio.open_connection(HOST, self.port, limit=2**22))
        self.clients.append(client)
        return client

    async def call_admin(self, line: str, body: str = "") -> RawMessage:
        """Call the operators' interface and return its response."""
        reader, writer = await asyncio.open_connection(HOST, self.admin_port)
        try:
            writer.write(f"{line} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            return await read_raw_message(reader)
        finally:
            writer.close()

    async def wait_for_admin_line(self, path: str, line: str) -> None:
        """Call the operators' interface until its response contains this line."""
        for _ in range(2000):
            with suppress(OSError, asyncio.IncompleteReadError):
                if line in (await self.call_admin(f"GET {path}")).body.decode().splitlines():
                    return
            await asyncio.sleep(0.01)
        raise AssertionError(f"{path} never contained the line {line!r}")

    async def wait_for_metric(self, name: str, value: int) -> None:
        """Wait until a metric has this value."""
        await self.wait_for_admin_line("/status/metrics", f"edge.{name}={value}")

    async def use_new_upstreams(self, count: int) -> list[Upstream]:
        """Replace the endpoint list by this many new upstreams, and wait until the balancer uses it."""
        old_count = len(self.service.rows)
        upstreams = [await self.add_upstream() for _ in range(count)]
        rows = [up.row() for up in upstreams]
        if count == old_count:  # wait_for_metric detects the new list only if its length differs
            rows.append((await self.add_upstream()).row("draining"))
        self.service.send(*rows, complete=True)
        await self.wait_for_metric("upstreams_known", len(rows))
        await asyncio.sleep(REUSE_DELAY_S)
        return upstreams
