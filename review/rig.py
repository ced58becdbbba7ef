"""Stand-ins and helpers that the cases of this review share: platform, upstreams, clients, one balancer.

Only the standard library is used. The balancer is started as the deploy file says: `run` by /bin/sh -c from
the repository's root, with its configuration in a file. Everything listens on loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0
START_LIMIT_S = 20.0
HEARTBEAT_S = 2.0
LOG_LINES = 20
SEED = "8c1f30d27a5be964"  # of the balancer's random numbers
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CLASSES = [
    {"name": "consulta", "sloMs": 500.0, "deadlineMs": 2000.0, "value": 1.0, "effect": "free"},
    {
        "name": "reserva",
        "sloMs": 600.0,
        "deadlineMs": 2000.0,
        "value": 10.0,
        "effect": "guarded",
        "group": "cell",
        "memorySpanMs": 2000.0,
    },
    {"name": "cobro", "sloMs": 600.0, "deadlineMs": 2000.0, "value": 8.0, "effect": "single_shot"},
]
SETTINGS: dict[str, Any] = {
    "blend": {"whole": 0.55, "worstWindow": 0.15, "worstClass": 0.05, "worstTenant": 0.25},
    "classes": CLASSES,
    "guarantees": {
        "answerSlackMs": 20.0,
        "askEveryMs": 10000.0,
        "coldMs": 24000.0,
        "drainGraceMs": 250.0,
        "fallMs": 2000.0,
        "startCapacity": 0.13,
        "tipMultiple": 4.0,
    },
    "limits": {
        "connIdleMs": 15000.0,
        "connectTimeoutMs": 250.0,
        "maxAttempts": 4,
        "mayCancel": True,
        "mayDuplicate": False,
        "retryAfter": True,
        "maxRetryAfterMs": 2000.0,
    },
    "myZone": "surco",
    "nInstances": 1,
    "prices": {"crossZone": 0.06, "waste": 0.05, "lateFail": 0.03},
    "registryMode": "automatic",
    "report": {"fields": ["depth"], "source": "inline"},
    "tickMs": 5.0,
}


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """The case's record.txt: what was sent, answered and run, each with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()
        self.line(f"trouble: {'yes' if TROUBLE else 'no'}")

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


class Request:
    """A request as an upstream or a client's peer reads it; `last_byte` is on the monotonic clock."""

    def __init__(self, line: str, fields: dict[str, str], body: bytes) -> None:
        self.line, self.fields, self.body = line, fields, body
        self.last_byte = time.monotonic()

    @property
    def identity(self) -> str:
        """The correlation id."""
        return self.fields.get("x-correlation-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the fields of a message, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head.rstrip().split("\r\n")
    return line, {key.lower(): value.strip() for key, _, value in (part.partition(":") for part in rest)}


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return the body of a message with a stated length or in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Return status and body of an answer; IncompleteReadError if the connection ends before its end."""
    status = 100
    while status < 200:
        line, fields = await read_head(reader)
        status = int(line.split()[1])
    return status, await read_body(reader, fields)


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class Upstream:
    """A server that answers each request by its handler, one request at a time on a connection."""

    def __init__(self, name: str, record: Record, handler: Handler) -> None:
        self.name, self.record, self.handler = name, record, handler
        self.requests: list[Request] = []
        self.port = 0

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**20)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self) -> dict[str, Any]:
        """Return the upstream's row of the list."""
        return list_row(self.name, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, fields = await read_head(reader)
                request = Request(line, fields, await read_body(reader, fields))
                self.requests.append(request)
                await self.handler(request, writer)
                await writer.drain()
        except (EOFError, asyncio.LimitOverrunError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def ok(body: bytes) -> bytes:
    """Return a whole 200 answer."""
    return b'HTTP/1.1 200 OK\r\nX-Backend-Load: {"queue":0}\r\nContent-Length: %d\r\n\r\n' % len(body) + body


def list_row(name: str, port: int, site: str = "surco") -> dict[str, Any]:
    """Return the row of a ready upstream that started long ago, in discovery's form."""
    return {
        "host": name,
        "dial": f"127.0.0.1:{port}",
        "site": site,
        "class": "rapido",
        "block": 0,
        "health": "ready",
        "share": 1.0,
        "born_ms": 0,
    }


class ListedServer(Protocol):
    """A server that the list names."""

    name: str

    def row(self) -> dict[str, Any]:
        """Return the server's row of the list."""


class Agent:
    """The agent that has the list: GET /catalog/members whole, or as a watch with a heartbeat."""

    def __init__(self, upstreams: Sequence[ListedServer]) -> None:
        self.rows = {upstream.name: upstream for upstream in upstreams}
        self.version = 41
        self.port = 0

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        rows = [upstream.row() for upstream in self.rows.values()]
        return {"seq": self.version, "whole": True, "hosts": rows}

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            while True:
                line, _ = await read_head(reader)
                text = json.dumps(self.whole()).encode() + b"\n"
                if "stream=1" not in line:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(b"%x\r\n%b\r\n" % (len(text), text))
                while not writer.is_closing():
                    await asyncio.sleep(HEARTBEAT_S)
                    writer.write(b"1\r\n\n\r\n")
                    await writer.drain()
        writer.close()


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Balancer:
    """One balancer process, started by the deploy file's `run`."""

    def __init__(self, record: Record, agent: Agent, memory_mb: int = 96, sockets: int = 640) -> None:
        self.record, self.agent = record, agent
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.settings = SETTINGS
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, folder: Path) -> None:
        """Start the process, and wait until its health check answers 200."""
        config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.agent.port}",
            "seed": SEED,
            "limits": self.limits,
            "known": self.agent.whole(),
            "settings": self.settings,
        }
        path = folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = dict(os.environ)
        environment.pop("EDGE_ADMIN_ADDR", None)
        environment |= {
            "EDGE_NAME": "n1",
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(folder),
        }
        self.log = folder / "log.txt"
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        try:
            await asyncio.wait_for(self._wait_until_healthy(), START_LIMIT_S)
        except BaseException:
            await self.stop()
            raise
        self.record.line(f"balancer ready, process {self.process.pid}")

    async def _wait_until_healthy(self) -> None:
        assert self.process is not None
        while not await self._healthy():
            if self.process.returncode is not None:
                raise NotRunError("the balancer does not get ready")
            await asyncio.sleep(0.1)

    async def _healthy(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            status, _ = await read_answer(reader)
            writer.close()
            return status == 200
        return False

    def peak_mb(self) -> float:
        """Return the most memory that the process has had resident, in MB."""
        assert self.process is not None
        text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        return next(float(line.split()[1]) for line in text.splitlines() if line.startswith("VmHWM")) / 1024

    async def stop(self) -> None:
        """End the process, and copy the last lines of its log into the record."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 6.0)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        for line in self.log.read_text(encoding="utf-8", errors="replace").splitlines()[-LOG_LINES:]:
            self.record.line(f"balancer's log: {line}")
        self.record.line(f"balancer ended with status {self.process.returncode}")


_ids = iter(range(1, 1_000_000))


def request(
    service_class: str,
    time_left_ms: int,
    body: bytes = b"",
    identity: str = "",
    method: str = "",
    keyed: bool = False,
) -> tuple[str, bytes]:
    """Return a new request's id and its bytes, in the form of the protocol page."""
    identity = identity or f"{next(_ids):016x}"
    method = method or ("GET" if service_class == "consulta" else "POST")
    head = f"{method} /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {identity}\r\n"
    head += f"X-Service-Class: {service_class}\r\nX-Account: comas\r\nX-Time-Left: {time_left_ms}m\r\n"
    if keyed or service_class == "reserva":
        head += f"Idempotency-Key: key{identity}\r\n"
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return identity, head.encode() + b"\r\n" + body


Case = Callable[[Record, Path], Awaitable[int]]


async def _run(case: Case, record: Record, folder: Path) -> int:
    """Run a case within the time limit; SIGTERM ends it, and the processes that it started."""
    running = asyncio.ensure_future(asyncio.wait_for(case(record, folder), TIME_LIMIT_S))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    return await running


def main(case: Case, folder: Path) -> None:
    """Run a case with its time limit, and exit with its result."""
    record = Record(folder)
    result = NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            result = asyncio.run(_run(case, record, Path(temporary)))
    except (Exception, asyncio.CancelledError) as error:
        record.line(f"could not run: {type(error).__name__}: {error}")
    record.line({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}[result])
    sys.exit(result)
