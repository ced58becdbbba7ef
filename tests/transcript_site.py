"""A scripted site whose every byte is written down: clients, upstreams and list services around one process.

The transcript is text. What depends on time or on the machine is masked: X-Time-Left, Retry-After, addresses.
Upstreams bear numbers in the order in which they were first sent to, as the first of several is drawn.
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
REUSE_DELAY_S = 0.03  # an upstream's connection is used again once it has rested for 10 ms
LONG_LINE = 400  # bytes; of longer ones the transcript has length and digest
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MASKS = (
    (re.compile(rb"(X-Time-Left: )\d+u"), rb"\1#u"),
    (re.compile(rb"(Retry-After: )[0-9.]+"), rb"\1#"),
    (re.compile(rb"127\.\d+\.\d+\.\d+:\d+"), rb"127.#:#"),
)
# Attempts are given up early only after seconds: a machine that is busy for a moment changes nothing.
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
    """The lines written so far."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.muted = False

    def step(self, title: str) -> None:
        """A heading."""
        self.lines += ["", f"== {title}"]

    def note(self, who: str, what: str) -> None:
        """Something that happened, in words."""
        self.lines.append(f"{who}: {what}")

    def data(self, who: str, data: bytes) -> None:
        """Bytes that came, a line of them to a line."""
        if self.muted:
            return
        self.note(who, f"{len(mask(data))} bytes")
        for line in mask(data).splitlines(keepends=True):
            if len(line) > LONG_LINE:
                digest = hashlib.sha256(line).hexdigest()
                self.lines.append(f"    <{len(line)} bytes, sha256 {digest}>")
            else:
                self.lines.append("    " + line.decode("latin-1").encode("unicode_escape").decode())

    def text(self) -> str:
        """The whole transcript."""
        return "\n".join(self.lines).strip() + "\n"


def mask(data: bytes) -> bytes:
    """The bytes without what depends on time or on the machine."""
    for pattern, replacement in MASKS:
        data = pattern.sub(replacement, data)
    return data


class Wire(NamedTuple):
    """A message as it came, and its body as it is without its framing."""

    raw: bytes
    fields: dict[str, str]
    body: bytes

    @property
    def head(self) -> bytes:
        """Up to and with the empty line."""
        return self.raw.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"


async def read_raw_message(reader: asyncio.StreamReader, bodiless: bool = False) -> Wire:
    """The next message, every byte of it; IncompleteReadError where it breaks off."""
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
    return Wire(raw, fields, body)


class ScriptedReply(NamedTuple):
    """What an upstream does with an attempt. reset, close: how it ends its connection, once it has written.

    hold: it writes once the site releases it, or never, if its peer goes first.
    """

    data: bytes
    close: bool = False
    reset: bool = False
    hold: bool = False


def reply(
    body: bytes = b"done", status: str = "200 OK", fields: str = "", close: bool = False, hold: bool = False
) -> ScriptedReply:
    """A reply of a stated length."""
    head = f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    return ScriptedReply(head.encode() + body, close, hold=hold)


class Upstream:
    """One upstream; what it does with each attempt stands in its site's script."""

    def __init__(self, site: TranscriptSite, number: int) -> None:
        self.site, self.name = site, f"s{number}"
        self.label = ""
        self.connections = 0
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a port that the kernel gives."""
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=2**22)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self, health: str = "ready") -> dict[str, Any]:
        """Its row in the list."""
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
                wire = await read_raw_message(reader)
                attempts += 1
                if not connection:
                    self.connections += 1
                    connection = self.connections
                self.label = self.label or self.site.next_label()
                who = f"{self.label}, connection {connection}, attempt {attempts}"
                self.site.transcript.data(who, wire.raw)
                if not self.site.script:
                    self.site.transcript.note(who, "more than the script has")
                    return
                if not await self._carry_out(self.site.script.popleft(), reader, writer):
                    return
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            if connection:
                self.site.ended.append(f"{self.label}, connection {connection}")
            writer.close()

    async def _carry_out(
        self, what: ScriptedReply, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Whether the connection goes on."""
        if what.hold:
            self.site.held.set()
            peer_goes = asyncio.ensure_future(reader.read(1))
            released = asyncio.ensure_future(self.site.released.wait())
            await asyncio.wait((peer_goes, released), return_when=asyncio.FIRST_COMPLETED)
            for waiting in (peer_goes, released):
                waiting.cancel()
            await asyncio.wait((peer_goes, released))
            if not self.site.released.is_set():
                return False
        writer.write(what.data)
        await writer.drain()
        if what.reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        return not what.close and not what.reset


class ListService:
    """The service of the list: whole by GET, then a watch."""

    def __init__(self, transcript: Transcript, label: str) -> None:
        self.transcript, self.label = transcript, label
        self.version = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.watches: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a port that the kernel gives."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def table(self, complete: bool, rows: list[dict[str, Any]]) -> dict[str, Any]:
        """A line of the list."""
        return {"seq": self.version, "whole": complete, "hosts": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                wire = await read_raw_message(reader)
                self.transcript.data(self.label, wire.raw)
                complete = json.dumps(self.table(True, list(self.rows.values()))).encode()
                if b"stream=1" in wire.raw:
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
        """A line on the newest watch."""
        self.watches[-1].write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    def end_watch(self) -> None:
        """The newest watch ends, in order."""
        self.watches[-1].write(b"0\r\n\r\n")

    def beat(self) -> None:
        """An empty line: nothing has changed."""
        self.write_line(b"")

    def stop(self) -> None:
        """Refuse connections, and reset those that stand."""
        if self.server is not None:
            self.server.close()
        for writer in self.watches:
            writer.transport.abort()

    def send(self, *rows: dict[str, Any], complete: bool = False) -> None:
        """The list, or changes of it."""
        self.version += 1
        self.rows = ({} if complete else self.rows) | {row["host"]: row for row in rows}
        self.rows = {name: row for name, row in self.rows.items() if row["health"] != "gone"}
        self.write_line(json.dumps(self.table(complete, list(rows))).encode())


class Client:
    """A client's connection; what it is answered is written down."""

    def __init__(
        self, site: TranscriptSite, label: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.site, self.label, self.reader, self.writer = site, label, reader, writer

    async def submit(self, data: bytes, bodiless: bool = False, reframed: bool = False) -> Wire:
        """Write a request, and read its answer."""
        self.writer.write(data)
        return await self.answer(bodiless, reframed)

    async def answer(self, bodiless: bool = False, reframed: bool = False) -> Wire:
        """Read an answer. reframed: its chunks depend on how it came; the transcript has its body whole."""
        wire = await read_raw_message(self.reader, bodiless)
        self.site.transcript.data(self.label, wire.head + wire.body if reframed else wire.raw)
        return wire

    async def ended(self) -> None:
        """Read to the end of the connection."""
        try:
            rest = await self.reader.read()
            self.site.transcript.note(self.label, f"closed, {len(rest)} bytes more")
        except ConnectionResetError:
            self.site.transcript.note(self.label, "reset")
        self.writer.close()

    async def ask_and_end(self, data: bytes, bodiless: bool = False) -> None:
        """A request that is the last of its connection."""
        await self.submit(data, bodiless)
        await self.ended()

    def leave(self) -> None:
        """Close, whatever is owed."""
        self.writer.close()


class TranscriptSite:
    """A balancer in a process of its own, and all that it speaks with."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.transcript = Transcript()
        self.script: deque[ScriptedReply] = deque()  # for the next attempts, whichever upstream they come to
        self.held = asyncio.Event()  # an upstream holds an attempt
        self.released = asyncio.Event()  # it may answer
        self.ended: list[str] = []  # upstreams' connections
        self.upstreams: list[Upstream] = []
        self.services = [
            ListService(self.transcript, name) for name in ("list service", "second list service")
        ]
        self.service = self.services[0]
        self.labels = 0
        self.clients: list[Client] = []
        self.process: asyncio.subprocess.Process | None = None

    def next_label(self) -> str:
        """The name of an upstream that is sent to for the first time."""
        self.labels += 1
        return f"upstream {self.labels}"

    async def upstream(self) -> Upstream:
        """A further upstream, not in the list yet."""
        up = Upstream(self, len(self.upstreams))
        self.upstreams.append(up)
        await up.start()
        return up

    async def start(self) -> None:
        """One upstream, both list services, and the process; return once it is ready."""
        up = await self.upstream()
        for service in self.services:
            await service.start()
        self.service.rows = {up.name: up.row()}
        self.port, self.admin = reserved_port(HOST), reserved_port(HOST)
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "seed": "ab12",
            "discovery": f"{HOST}:{self.service.port}",
            "admin_addr": f"{HOST}:{self.admin}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.service.table(True, [up.row()]),
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
        await self.until_operators_hear("/status", "ready")
        await wait_until(lambda: self.service.watches)
        await asyncio.sleep(REUSE_DELAY_S)

    async def stop(self) -> None:
        """End all that still runs."""
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
        """The configuration that the process reads at its start and on SIGHUP."""
        (self.folder / "config.json").write_text(text)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def connect(self, label: str = "client") -> Client:
        """A client's connection."""
        client = Client(self, label, *await asyncio.open_connection(HOST, self.port, limit=2**22))
        self.clients.append(client)
        return client

    async def operate(self, line: str, body: str = "") -> Wire:
        """A call at the second address."""
        reader, writer = await asyncio.open_connection(HOST, self.admin)
        try:
            writer.write(f"{line} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            return await read_raw_message(reader)
        finally:
            writer.close()

    async def until_operators_hear(self, path: str, line: str) -> None:
        """Call the second address until its answer has such a line."""
        for _ in range(2000):
            with suppress(OSError, asyncio.IncompleteReadError):
                if line in (await self.operate(f"GET {path}")).body.decode().splitlines():
                    return
            await asyncio.sleep(0.01)
        raise AssertionError(f"{path} never had {line!r}")

    async def figure(self, name: str, value: int) -> None:
        """Wait for a figure's value."""
        await self.until_operators_hear("/status/metrics", f"edge.{name}={value}")

    async def fresh(self, count: int) -> list[Upstream]:
        """So many new upstreams are the whole list from now on; the process has taken note of it."""
        before = len(self.service.rows)
        upstreams = [await self.upstream() for _ in range(count)]
        rows = [up.row() for up in upstreams]
        if count == before:  # the figure tells by the count alone that the list is in force
            rows.append((await self.upstream()).row("draining"))
        self.service.send(*rows, complete=True)
        await self.figure("upstreams_known", len(rows))
        await asyncio.sleep(REUSE_DELAY_S)
        return upstreams
