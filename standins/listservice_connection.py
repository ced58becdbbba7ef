"""A connection to the stand-in list service: one call, which may become a watch."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, cast

if TYPE_CHECKING:
    from standins.listservice import Service

HEARTBEAT_S = 2.0
TRICKLE_PIECES = 20  # approximate number of pieces of an answer that is spread over trickle_s


def address_prefix(address: str) -> str:
    """Return the first two numbers of an IPv4 address, which identify the caller's role."""
    return ".".join(address.split(".")[:2])


class Connection(asyncio.Protocol):
    """One caller's connection to the list service."""

    transport: asyncio.Transport

    def __init__(self, service: Service) -> None:
        self.service = service
        self.data = b""
        self.peer = self.role = ""
        self.since: int | None = None  # version that a watch continues from; None: the call is no watch
        self.request_read = False
        self.version = 0  # list version of the answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and store the caller's address."""
        self.transport = cast(asyncio.Transport, transport)
        self.peer = transport.get_extra_info("peername")[0]
        self.role = address_prefix(self.peer)
        self.service.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection and its watch from the service."""
        self.service.connections.discard(self)
        self.service.watches.discard(self)

    def data_received(self, data: bytes) -> None:
        """Handle the request once its head is complete."""
        self.data += data
        if b"\r\n\r\n" not in self.data or self.request_read:
            return
        self.request_read = True
        target = self.data.split(b"\r\n", 1)[0].split(b" ")[1].decode("latin-1")
        if target.startswith("/books"):
            text = json.dumps(self.service.account()).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
            return self.transport.close()
        if "stream=1" in target:
            self.since = int(target.rpartition("index=")[2].split("&")[0])
        self.service.accept(self)

    def answer(self, text: bytes, truncated: bool = False) -> None:
        """Write the answer, spread over the plan's trickle_s; truncated: more would follow, but doesn't."""
        if self.since is None:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text))
        else:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        trickle_s = self.service.plan.trickle_s
        piece_bytes = max(1, len(text) // TRICKLE_PIECES) if trickle_s else len(text)
        pieces = [text[at : at + piece_bytes] for at in range(0, len(text), piece_bytes)]
        for n, piece in enumerate(pieces):
            last = n == len(pieces) - 1 and not truncated
            delay_s = trickle_s * n / len(pieces)
            asyncio.get_running_loop().call_later(delay_s, self._write_piece, piece, last)

    def _write_piece(self, piece: bytes, last: bool) -> None:
        """Write a piece of an answer; after the last piece of a watch's answer, start to send changes."""
        if self.transport.is_closing():
            return
        self.transport.write(piece if self.since is None else b"%x\r\n%b\r\n" % (len(piece), piece))
        if last and self.since is not None:
            self.service.watches.add(self)
            if self.version != self.service.version:  # the list changed while the answer was being sent
                self.service.send_changes(self, self.version)
            self._heartbeat()

    def _heartbeat(self) -> None:
        """Write an empty line now and every HEARTBEAT_S, until the watch ends."""
        if not self.transport.is_closing() and self in self.service.watches:
            if not self.service.is_unresponsive():
                self.transport.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(HEARTBEAT_S, self._heartbeat)
