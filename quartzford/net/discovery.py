"""The list of upstreams: a watch on discovery that is made again whenever it ends or falls silent."""

from __future__ import annotations

import asyncio
import json
import math
import random
from typing import TYPE_CHECKING, Any, NamedTuple, cast

import httptools

from quartzford import interface as io

if TYPE_CHECKING:
    from quartzford.net.proxy import Proxy

SILENCE_S = 2.75
ANSWER_S = 1.5
RETRY_S = (0.05, 1.0)  # from one try to the next, doubling, with jitter
LINE_BYTES = 4 * 1024 * 1024
STATES = ("ready", "draining", "gone")


class Listing(NamedTuple):
    """A list or its changes, with the address that goes with each entry."""

    version: int
    whole: bool
    entries: tuple[io.Entry, ...]
    addresses: tuple[tuple[str, int], ...]


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def _entry(row: dict[str, Any]) -> io.Entry:
    born, share = float(row.get("born_ms") or 0.0), float(row.get("share") or 1.0)
    host, state = row["host"], row["health"]
    if not isinstance(host, str) or not host or state not in STATES:
        raise ValueError(f"host {host!r}, health {state!r}")
    if not math.isfinite(born) or not 0 < share < math.inf:
        raise ValueError(f"born_ms {born!r}, share {share!r}")
    zone, kind, cell = str(row["site"]), str(row["class"]), int(row["block"])
    return io.Entry(host, zone, kind, cell, state, share, max(0.0, born))


def read_listing(text: bytes | dict[str, Any]) -> Listing:
    """A line of discovery; ValueError if it breaks the form."""
    try:
        table = text if isinstance(text, dict) else json.loads(text)
        version, whole, rows = table["seq"], table["whole"], table["hosts"]
        if not isinstance(version, int) or not isinstance(whole, bool) or not isinstance(rows, list):
            raise ValueError("seq, whole or hosts is not what it should be")
        entries = tuple(_entry(row) for row in rows)
        addresses = tuple(("", 0) if row["health"] == "gone" else _address(row["dial"]) for row in rows)
    except (KeyError, TypeError, AttributeError, RecursionError, OverflowError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
    return Listing(version, whole, entries, addresses)


class Discovery:
    """Keeps one watch open, and knows which version of the list this balancer has."""

    def __init__(self, proxy: Proxy, asked: bool) -> None:
        self.proxy = proxy
        self.asked = asked  # the list comes only where the module asks for it
        self.version: int | None = None
        self.tries = 0
        self.heard = False  # discovery has answered since the start
        self.call: Call | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False
        self.rng = random.Random()

    def start(self) -> None:
        if self.stopped or self.call is not None:
            return
        self.timer = None
        self.call = Call(self, self.version)

    def follow(self) -> None:
        """The address has changed: the new one is asked for the whole list, its versions may be its own."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.version, self.tries = None, 0
        call, self.call = self.call, None
        if call is not None:
            call.close()
        self.start()

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        if self.call is not None:
            self.call.close()

    def line(self, text: bytes) -> bool:
        try:
            listing = read_listing(text)
        except ValueError as error:
            self.proxy.log("discovery", f"a bad line: {error}")
            self.version = None
            return False
        if not listing.whole and (self.version is None or listing.version < self.version):
            self.version = None
            return False
        self.version = listing.version
        self.tries, self.heard = 0, True
        self.proxy.listed(listing)
        return True

    def ended(self, call: Call, again: bool) -> None:
        if call is not self.call:
            return
        self.call = None
        if self.stopped:
            return
        if self.asked and not again:
            return self.proxy.list_failed()
        wait = 0.0
        if not again:
            least, most = RETRY_S
            wait = min(most, least * 2.0**self.tries) * self.rng.uniform(0.5, 1.0)
            self.tries = min(self.tries + 1, 10)
        self.timer = self.proxy.loop.call_later(wait, self.start)


class Call(asyncio.Protocol):
    """One GET of the whole list, or one watch."""

    transport: asyncio.Transport | None

    def __init__(self, discovery: Discovery, version: int | None) -> None:
        self.discovery = discovery
        self.loop = discovery.proxy.loop
        self.watch = version is not None
        self.version = version
        self.transport = None
        self.buffer = bytearray()
        self.over = self.finished = False
        self.parser: Any = httptools.HttpResponseParser(self)
        self.timer = self.loop.call_later(ANSWER_S, self.close)
        self.task = self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        host, port = self.discovery.proxy.config.discovery
        try:
            await self.loop.create_connection(lambda: self, host, port)
        except OSError:
            self.close()

    def close(self) -> None:
        self._end(again=False)

    def _end(self, again: bool) -> None:
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif not self.task.done():
            self.task.cancel()
        self.discovery.ended(self, again)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:
            return self.transport.abort()
        host, port = self.discovery.proxy.config.discovery
        path = "/catalog/members" + (f"?stream=1&index={self.version}" if self.watch else "")
        close = "" if self.watch else "Connection: close\r\n"
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n{close}\r\n".encode())

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.timer.cancel()
        self.timer = self.loop.call_later(SILENCE_S, self.close)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()
        if self.finished and not self.over:
            self._whole()

    def eof_received(self) -> None:
        if not self.over and not self.watch and self.buffer:
            self._whole()
        self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.parser = None
        self.close()

    def _whole(self) -> None:
        """The answer to a GET has ended: the watch follows at once."""
        if self.watch or not self.buffer.strip():
            return self.close()
        self._end(again=self.discovery.line(bytes(self.buffer)))

    # ---- httptools

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            self.close()

    def on_body(self, data: bytes) -> None:
        if self.over:
            return
        self.buffer += data
        if len(self.buffer) > LINE_BYTES:
            self.discovery.version = None
            return self.close()
        if not self.watch:
            return
        while (end := self.buffer.find(b"\n")) >= 0 and not self.over:
            line = bytes(self.buffer[:end]).strip()
            del self.buffer[: end + 1]
            if line and not self.discovery.line(line):
                self._end(again=True)

    def on_message_complete(self) -> None:
        self.finished = True
