"""Small scripted peers on loopback sockets: an upstream, discovery, and a client. Not a load rig."""

from __future__ import annotations

import asyncio
import json
import math
import os
import socket
import time
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from typing import Any, NamedTuple

import uvloop

from quartzford.decision import interface as io
from quartzford.node import Node
from quartzford.settings.configuration import read_config
from standins.site import reserved_port as reserved_port

SETTINGS: dict[str, Any] = {
    "blend": {"whole": 1.0},
    "classes": [
        {"name": "read", "sloMs": 2500.0, "deadlineMs": 3000.0, "value": 1.0, "effect": "free"},
        {
            "name": "book",
            "sloMs": 2500.0,
            "deadlineMs": 3000.0,
            "value": 5.0,
            "effect": "guarded",
            "group": "cell",
            "memorySpanMs": 2000.0,
        },
        {"name": "pay", "sloMs": 2500.0, "deadlineMs": 3000.0, "value": 8.0, "effect": "single_shot"},
    ],
    "customers": [{"name": "acme", "quotaPerS": 1000.0}],
    "guarantees": {
        "answerSlackMs": 20.0,
        "askEveryMs": 10000.0,
        "coldMs": 1.0,
        "drainGraceMs": 250.0,
        "fallMs": 2000.0,
        "startCapacity": 0.5,
        "tipMultiple": 4.0,
    },
    "limits": {
        "connIdleMs": 15000.0,
        "connectTimeoutMs": 250.0,
        "maxAttempts": 4,
        "mayCancel": True,
        "retryAfter": True,
        "maxRetryAfterMs": 2000.0,
    },
    "myZone": "north",
    "nInstances": 1,
    "prices": {},
    "registryMode": "automatic",
    "report": {"fields": ["depth", "load_share"], "source": "inline"},
    "tickMs": 1.0,
}


class Message(NamedTuple):
    """A request or a response as it came; names of fields in lower case."""

    line: str
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.line.split()[1])


async def wait_until(condition: Callable[[], object], seconds: float = 8.0) -> None:
    """Wait until a condition holds; the time is only there to end a test that fails."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "the condition never came"
        await asyncio.sleep(0.005)


LIST_ROW = {  # an upstream in an endpoint list, as the list service writes it
    "host": "s0",
    "dial": "127.0.0.1:1",
    "site": "north",
    "class": "std",
    "block": 0,
    "health": "ready",
    "share": 1.0,
    "born_ms": 0,
}

TICK_S = 0.005


class LoopLag:
    """How late this loop was at most while the block ran: a busy machine is no fault of the program."""

    async def __aenter__(self) -> LoopLag:
        self.max_lag_s = 0.0
        self.task = asyncio.ensure_future(self._tick())
        return self

    async def __aexit__(self, *error: object) -> None:
        self._max_lag_s = self.max_lag_s
        self._ticked = math.inf  # nothing counts any more
        self.task.cancel()

    @property
    def max_lag_s(self) -> float:
        """Seconds; also of a hold-up that the loop has just come out of, with the tick still to run."""
        return max(self._max_lag_s, time.monotonic() - self._ticked - TICK_S)

    @max_lag_s.setter
    def max_lag_s(self, seconds: float) -> None:
        self._max_lag_s, self._ticked = seconds, time.monotonic()

    async def _tick(self) -> None:
        while True:
            self._ticked = time.monotonic()
            await asyncio.sleep(TICK_S)
            self._max_lag_s = max(self._max_lag_s, time.monotonic() - self._ticked - TICK_S)


async def read_message(reader: asyncio.StreamReader, head_only: bool = False) -> Message:
    """The next message; head_only: without its body. IncompleteReadError if it is incomplete."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head.rstrip().split("\r\n")
    fields = {k.lower(): v.strip() for k, _, v in (part.partition(":") for part in rest)}
    body = b""
    if head_only:
        pass
    elif fields.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif line.startswith("HTTP/"):
        body = await reader.read()
    return Message(line, fields, body)


def own_address() -> str:
    """A loopback address that this process has for itself: no stranger calls a port there by mistake."""
    number = os.getpid() % (64 * 256 * 256)
    return f"127.{64 + number // 65_536}.{number // 256 % 256}.{number % 256}"


def reply(body: bytes = b"done", status: str = "200 OK", fields: str = "") -> bytes:
    """A response as an upstream writes it; fields: further header lines, each with its end."""
    return f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


Script = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


def responds_with(data: bytes, close: bool = False) -> Script:
    """A script that writes these bytes to each request."""

    async def script(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        if close:
            writer.close()

    return script


async def never_responds(message: Message, writer: asyncio.StreamWriter) -> None:
    """Answers nothing."""


class Peer:
    """A server whose responses are scripted by the test; it keeps the requests that came."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[Message] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.closed_connections = 0  # connections that have ended
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen on the loopback interface; port 0: at one that the kernel chooses."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Refuse connections, and reset open ones."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            with suppress(RuntimeError):
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                message = await read_message(reader)
                self.received.append(message)
                await self.script(message, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.closed_connections += 1
            writer.close()


class BalancerTestbed:
    """A balancer in this process, between peers that follow their scripts."""

    def __init__(
        self, upstreams: int = 1, memory_mb: float = 192, sockets: int = 1024, **settings: Any
    ) -> None:
        self.upstreams = [Peer(responds_with(reply())) for _ in range(upstreams)]
        self.discovery = Peer(self._discover)
        self.version = 1
        self.watches: list[asyncio.StreamWriter] = []
        self.memory_mb, self.sockets = memory_mb, sockets
        self.settings = SETTINGS | settings
        self.initial_list: dict[str, Any] | None = None
        self.events: list[io.Event] = []
        self.actions: list[io.Action] = []
        self.clients: list[asyncio.StreamWriter] = []
        self.tasks: list[asyncio.Task[None]] = []  # of peers that a test makes itself

    def list_row(self, number: int, health: str = "ready", born: float = 0, **changes: Any) -> dict[str, Any]:
        """An upstream's row in the list, with these fields changed."""
        return {
            "host": f"s{number}",
            "dial": f"127.0.0.1:{self.upstreams[number].port}",
            "site": "north",
            "class": "std",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": born,
        } | changes

    def endpoint_list(self, *hosts: dict[str, Any], complete: bool = True) -> dict[str, Any]:
        """A list of these rows at the current version, or changes of it."""
        return {"seq": self.version, "whole": complete, "hosts": list(hosts)}

    async def _discover(self, message: Message, writer: asyncio.StreamWriter) -> None:
        complete = json.dumps(
            self.endpoint_list(*(self.list_row(n) for n in range(len(self.upstreams))))
            if not self.served_list
            else self.served_list
        )
        if "stream=1" not in message.line:
            writer.write(reply(complete.encode()))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)
        self.send_line(complete, writer)

    served_list: dict[str, Any] | None = None  # the list that discovery has, instead of all upstreams

    admin_addr = ""  # the address of the operators' interface

    def send_line(self, line: str | dict[str, Any], writer: asyncio.StreamWriter | None = None) -> None:
        """Send a line on a watch, by default the latest."""
        text = (line if isinstance(line, str) else json.dumps(line)) + "\n"
        self.send_chunk(text.encode(), writer)

    def send_chunk(self, data: bytes, writer: asyncio.StreamWriter | None = None) -> None:
        """Send bytes on a watch, by default the latest, as one chunk."""
        (writer or self.watches[-1]).write(b"%x\r\n%b\r\n" % (len(data), data))

    def update(self, *hosts: dict[str, Any], complete: bool = False) -> None:
        """Send changes, or a complete list, on the latest watch."""
        self.version += 1
        self.send_line(self.endpoint_list(*hosts, complete=complete))

    async def __aenter__(self) -> BalancerTestbed:
        for peer in (*self.upstreams, self.discovery):
            await peer.start()
        await self.start_balancer()
        return self

    async def start_balancer(self, wait_for_list: bool = True, listener: socket.socket | None = None) -> None:
        """Start the balancer, its peers being up; wait_for_list: and wait until it has a list.

        listener: that of a process before it.
        """
        known = self.initial_list or self.endpoint_list(
            *(self.list_row(n) for n in range(len(self.upstreams)))
        )
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "5",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": known,
            "settings": self.settings,
            "admin_addr": self.admin_addr,
        }
        self.node = Node(read_config(json.dumps(config)), asyncio.get_running_loop())
        self.node._listener = listener
        handle = self.node.engine.balancer.handle

        def watched(now: float, event: io.Event) -> list[io.Action]:
            self.events.append(event)
            actions = handle(now, event)
            self.actions.extend(actions)
            return actions

        self.node.engine.balancer.handle = watched  # type: ignore[method-assign]
        await self.node.start()
        assert self.node.front.listener is not None
        self.port = self.node.front.listener.sockets[0].getsockname()[1]
        if wait_for_list:
            await wait_until(lambda: self.watches and self.node.watch.ever_answered)

    async def __aexit__(self, *error: object) -> None:
        for writer in self.clients:
            writer.transport.abort()
        self.node.watch.stop()
        self.node.front.stop_listening()
        for peer in (*self.upstreams, self.discovery):
            await peer.stop()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A client's connection to the balancer, which lasts as long as the testbed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=2**22)
        self.clients.append(writer)
        return reader, writer

    async def submit(self, data: bytes) -> Message:
        """Send a request on a connection of its own; the response."""
        reader, writer = await self.connect()
        writer.write(data)
        return await read_message(reader)

    def outcomes(self) -> list[str]:
        """The outcomes of all attempts so far."""
        return [e.code for e in self.events if isinstance(e, io.AttemptEnded)]


def request(
    name: str = "read",
    body: bytes | None = None,
    fields: str = "",
    method: str = "",
    time_left: str = "2500m",
    path: str = "/api",
) -> bytes:
    """A request of a class as a client writes it; time_left: as in X-Time-Left."""
    method = method or ("GET" if name == "read" else "POST")
    head = f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: c1\r\nX-Service-Class: {name}\r\n"
    head += f"X-Account: acme\r\nX-Time-Left: {time_left}\r\n"
    if name == "book":
        head += "Idempotency-Key: k1\r\n"
    if body is not None:
        head += f"Content-Length: {len(body)}\r\n"
    return (head + fields + "\r\n").encode() + (body or b"")


def async_test(test: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """A test that is a coroutine, on the loop that the balancer runs on."""

    def wrapped() -> None:
        uvloop.run(asyncio.wait_for(test(), 60))

    wrapped.__name__ = test.__name__
    return wrapped
