"""An HTTP server with known response delays: python -m standins.delay SPEC. It prints its port.

SPEC: constant:MS, two:MS,MS,SHARE (the second delay for that share of requests), exponential:MEAN_MS, never
(accepts requests and does not respond) or none (responds at once). Delays are drawn with a fixed seed and
are accurate to about 50 us: the event loop's timers are accurate only to a millisecond, so the server polls
the clock for the last millisecond of a delay. On SIGTERM it prints the actual delays as a JSON list, in
seconds, in order of arrival.
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
POLLING_S = 0.0015  # the clock is polled during this time before a response is due
MAX_TIMER_WAIT_S = 0.001  # longest wait of one timer
BACKLOG = 4096  # connections that wait_s to be accepted
SEED = 1
NEVER = -1.0


def read_delay(spec: str, rng: random.Random) -> Callable[[], float]:
    """Return a function that draws delays in seconds; NEVER means no response."""
    name, _, text = spec.partition(":")
    parameters = [float(part) for part in text.split(",") if part]
    if name == "constant":
        return lambda: parameters[0] / 1000.0
    if name == "two":
        return lambda: parameters[1 if rng.random() < parameters[2] else 0] / 1000.0
    if name == "exponential":
        return lambda: rng.expovariate(1000.0 / parameters[0])
    return lambda: NEVER if name == "never" else 0.0


class PendingResponse(NamedTuple):
    """A scheduled response; times in seconds on the monotonic clock.

    The order of the fields sorts responses by due time.
    """

    due: float
    number: int
    connection: Connection
    arrived: float


class Delay(NamedTuple):
    """An actual delay in seconds, and the arrival of its request on the monotonic clock."""

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
        self.write_scheduled = False  # whether a call of _write_due is scheduled

    def accept(self, connection: Connection) -> None:
        """Draw the delay of a request, and respond at once or schedule the response."""
        delay = self.draw_delay()
        if delay == 0:
            connection.transport.write(RESPONSE)
        elif delay > 0:
            now = monotonic()
            heapq.heappush(self.pending, PendingResponse(now + delay, next(self.numbers), connection, now))
            if not self.write_scheduled:
                self.write_scheduled = True
                self.loop.call_soon(self._write_due)

    def _write_due(self) -> None:
        """Write the responses that are due, and schedule the next call if responses are pending."""
        now = monotonic()
        while self.pending and self.pending[0].due <= now:
            response = heapq.heappop(self.pending)
            if not response.connection.transport.is_closing():
                response.connection.transport.write(RESPONSE)
                self.delays.append(Delay(response.arrived, monotonic() - response.arrived))
        self.write_scheduled = bool(self.pending)
        if not self.write_scheduled:
            return
        wait_s = self.pending[0].due - now
        if wait_s > POLLING_S:
            self.loop.call_later(min(wait_s - POLLING_S, MAX_TIMER_WAIT_S), self._write_due)
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
        """Parse received bytes of a request; reset the connection if they are not valid HTTP."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_complete(self) -> None:
        """Pass the complete request on to the server."""
        self.server.accept(self)


async def serve(spec: str, seed: int) -> None:
    """Serve until SIGTERM; print the port at the start and the delays at the end."""
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
