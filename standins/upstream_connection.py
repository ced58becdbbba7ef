"""A client's connection to a stand-in upstream: HTTP/1.1, one request at a time."""

from __future__ import annotations

import asyncio
import json
import socket
from enum import StrEnum
from time import monotonic
from typing import TYPE_CHECKING, Any, cast

import httptools

if TYPE_CHECKING:
    from standins.upstream import StandInUpstream


class Mode(StrEnum):
    """How an upstream handles requests."""

    OK = "ok"
    SILENT = "silent"  # reads requests, and neither executes nor answers them
    SWALLOW = "swallow"  # executes requests without answering them
    SLOW = "slow"
    ERROR = "error"  # executes requests and answers 500
    FULL = "full"  # rejects requests as if its queue were full
    GARBLE = "garble"  # executes requests and answers with invalid HTTP


class Connection(asyncio.Protocol):
    """One client's connection to an upstream."""

    transport: asyncio.Transport

    def __init__(self, upstream: StandInUpstream) -> None:
        self.upstream = upstream
        self.parser: Any = None
        self.response_length = 0  # minimum length of the body, in bytes; the body is the request's id, padded
        self.running = ""  # id of the executed request that the client waits for
        self.closed = False
        self.unused = True  # no request on this connection has been executed yet
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the upstream and charge it for the handshake."""
        self.transport = cast(asyncio.Transport, transport)
        self.upstream.connections.add(self)
        if self.upstream.connect_s:
            self.upstream.spend(monotonic(), self.upstream.connect_s)
        self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        if self.upstream.idle_s:
            self.idle_timer = asyncio.get_running_loop().call_later(
                self.upstream.idle_s, self.transport.close
            )

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the connection's waiting request; a running request continues."""
        self.closed = True
        self.upstream.connections.discard(self)
        self.upstream.drop_waiting(self)
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self._stop_waiting()

    def _stop_waiting(self) -> None:
        identity, self.running = self.running, ""
        if identity:
            self.upstream.journal.client_stopped_waiting(identity, self)

    def still_open(self) -> bool:
        """Return whether the client keeps the connection open; an unread close counts as closed."""
        if self.closed or self.transport.is_closing():
            return False
        try:
            with socket.fromfd(
                self.transport.get_extra_info("socket").fileno(), socket.AF_INET, socket.SOCK_STREAM
            ) as duplicate:
                return duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of a request; reset the connection if they are not valid HTTP."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None
        if self.parser is None:
            self.fields: dict[str, str] = {}
            self.parser = httptools.HttpRequestParser(self)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a request header, with its name in lower case."""
        self.fields[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Pass the complete request on to the upstream."""
        self.parser = None
        self.upstream.accept(self, self.fields)

    def finish(self, identity: str, mode: str) -> None:
        """Answer an executed request once the upstream's gate is set, if the client still waits for it."""
        gate = self.upstream.gate
        if gate is not None and not gate.is_set():
            task = asyncio.ensure_future(gate.wait())
            task.add_done_callback(lambda _: self.finish(identity, mode))
            return
        if self.closed or self.running != identity:
            return
        self._stop_waiting()
        if mode == Mode.GARBLE:
            self.transport.write(b"garbage\r\n\r\n")
            self.transport.close()
            return
        status = 500 if mode == Mode.ERROR else 200
        self.respond(status, identity.encode().ljust(self.response_length, b"."))

    def respond(self, status: int, body: bytes = b"", *, unprocessed: bool = False) -> None:
        """Write a response with a load report; unprocessed: add X-Unprocessed (request not executed)."""
        if self.closed:
            return
        upstream = self.upstream
        load = {"queue": upstream.waiting(), "util": round(upstream.busy(monotonic()) / upstream.cores, 2)}
        head = f"HTTP/1.1 {status} X\r\nX-Backend-Load: {json.dumps(load)}\r\n"
        head += "X-Unprocessed: 1\r\n" if unprocessed else ""
        self.transport.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        self._start_idle_timer()
