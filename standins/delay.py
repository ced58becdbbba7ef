"""An HTTP server of known delay: python -m standins.delay SPEC, which prints its port.

SPEC: constant:MS, two:MS,MS,SHARE (the second for that share), exponential:MEAN_MS, never (accepts, and
answers nothing) or none (answers at once). Delays are drawn from a seed and kept to within some 50 us: the
loop's timers are exact to a millisecond only, so for the last of them it polls the clock. On SIGTERM it
prints as JSON the delays as it really made them, in seconds, in order of arrival.
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
from typing import Any, NamedTuple, cast

import httptools
import uvloop

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SPIN_S = 0.0015  # before a response is due: from here on the clock is polled
TIMER_S = 0.001  # a timer's wait at most
BACKLOG = 4096  # connections that wait to be accepted
SEED = 1
NEVER = -1.0


def read_delay(spec: str, rng: random.Random) -> Callable[[], float]:
    """A function that draws delays, in seconds; NEVER: no response."""
    name, _, text = spec.partition(":")
    figures = [float(part) for part in text.split(",") if part]
    if name == "constant":
        return lambda: figures[0] / 1000.0
    if name == "two":
        return lambda: figures[1 if rng.random() < figures[2] else 0] / 1000.0
    if name == "exponential":
        return lambda: rng.expovariate(1000.0 / figures[0])
    return lambda: NEVER if name == "never" else 0.0


class PendingResponse(NamedTuple):
    """A response that is due later; times in seconds on the monotonic clock.

    Those that are due first sort first.
    """

    due: float
    number: int
    connection: Connection
    arrived: float


class Delay(NamedTuple):
    """A delay as it was made, in seconds, and when its request arrived on the monotonic clock."""

    arrived: float
    seconds: float


class Server:
    """Responds to requests when they are due."""

    def __init__(self, draw_delay: Callable[[], float]) -> None:
        self.draw_delay = draw_delay
        self.loop = asyncio.get_running_loop()
        self.pending: list[PendingResponse] = []  # a heap
        self.delays: list[Delay] = []
        self.numbers = itertools.count()
        self.scheduled = False  # the next look at the clock

    def accept(self, connection: Connection) -> None:
        """Respond to a request, or schedule the response."""
        delay = self.draw_delay()
        if delay == 0:
            connection.transport.write(RESPONSE)
        elif delay > 0:
            now = monotonic()
            heapq.heappush(self.pending, PendingResponse(now + delay, next(self.numbers), connection, now))
            if not self.scheduled:
                self.scheduled = True
                self.loop.call_soon(self._write_due)

    def _write_due(self) -> None:
        """Write the responses that are due, and schedule the next look at the clock."""
        now = monotonic()
        while self.pending and self.pending[0].due <= now:
            response = heapq.heappop(self.pending)
            if not response.connection.transport.is_closing():
                response.connection.transport.write(RESPONSE)
                self.delays.append(Delay(response.arrived, monotonic() - response.arrived))
        self.scheduled = bool(self.pending)
        if not self.scheduled:
            return
        wait = self.pending[0].due - now
        if wait > SPIN_S:
            self.loop.call_later(min(wait - SPIN_S, TIMER_S), self._write_due)
        else:
            self.loop.call_soon(self._write_due)


class Connection(asyncio.Protocol):
    """One client's connection."""

    transport: asyncio.Transport

    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser: Any = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to respond on."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request; what isn't HTTP resets the connection."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_complete(self) -> None:
        """Pass the complete request on to the server."""
        self.server.accept(self)


async def serve(spec: str, seed: int) -> None:
    """Serve until SIGTERM; prints the port, and at the end the delays."""
    loop = asyncio.get_running_loop()
    server = Server(read_delay(spec, random.Random(seed)))
    listening = await loop.create_server(lambda: Connection(server), "127.0.0.1", 0, backlog=BACKLOG)
    print(listening.sockets[0].getsockname()[1], flush=True)
    ended = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()
    print(json.dumps([round(delay.seconds, 7) for delay in sorted(server.delays)]), flush=True)


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1] if len(sys.argv) > 1 else "none", SEED))
