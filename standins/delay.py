"""A server of known delay: python -m standins.delay SPEC, which prints its port.

SPEC: constant:MS, two:MS,MS,SHARE (the second for that share), exponential:MEAN_MS, never (accepts, and
answers nothing) or none (answers at once). Delays are drawn from a seed and kept to within some 50 us: the
loop's timers are exact to a millisecond only, so the last of them is spent turning. On
SIGTERM it prints its own book as JSON: the delays as it really made them, in seconds, in order of arrival.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import json
import random
import signal
import sys
from collections.abc import Callable
from time import monotonic
from typing import Any, cast

import httptools
import uvloop

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SPIN_S = 0.0015


def read_delay(spec: str, rng: random.Random) -> Callable[[], float]:
    """A drawer of delays, in seconds; below 0: never."""
    name, _, text = spec.partition(":")
    figures = [float(part) for part in text.split(",") if part]
    if name == "constant":
        return lambda: figures[0] / 1000.0
    if name == "two":
        return lambda: figures[1 if rng.random() < figures[2] else 0] / 1000.0
    if name == "exponential":
        return lambda: rng.expovariate(1000.0 / figures[0])
    return lambda: -1.0 if name == "never" else 0.0


class Server:
    """Answers what is due."""

    def __init__(self, delay: Callable[[], float]) -> None:
        self.delay = delay
        self.loop = asyncio.get_running_loop()
        self.due: list[tuple[float, int, Peer, float]] = []
        self.book: list[tuple[float, float]] = []  # when it was taken, the delay made
        self.count = itertools.count()
        self.turning = False

    def take(self, peer: Peer) -> None:
        delay = self.delay()
        if delay == 0:
            peer.transport.write(ANSWER)
        elif delay > 0:
            now = monotonic()
            heapq.heappush(self.due, (now + delay, next(self.count), peer, now))
            if not self.turning:
                self.turning = True
                self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        now = monotonic()
        while self.due and self.due[0][0] <= now:
            _, _, peer, taken = heapq.heappop(self.due)
            if not peer.transport.is_closing():
                peer.transport.write(ANSWER)
                self.book.append((taken, monotonic() - taken))
        self.turning = bool(self.due)
        if not self.turning:
            return
        wait = self.due[0][0] - now
        if wait > SPIN_S:
            self.turning = True
            self.loop.call_later(min(wait - SPIN_S, 0.001), self._turn)
        else:
            self.loop.call_soon(self._turn)


class Peer(asyncio.Protocol):
    transport: asyncio.Transport

    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser: Any = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_complete(self) -> None:
        self.server.take(self)


async def serve(spec: str, seed: int) -> None:
    loop = asyncio.get_running_loop()
    server = Server(read_delay(spec, random.Random(seed)))
    listening = await loop.create_server(lambda: Peer(server), "127.0.0.1", 0, backlog=4096)
    print(listening.sockets[0].getsockname()[1], flush=True)
    ended = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()
    print(json.dumps([round(delay, 7) for _, delay in sorted(server.book)]), flush=True)


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1] if len(sys.argv) > 1 else "none", 1))
