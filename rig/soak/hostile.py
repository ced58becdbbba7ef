"""A crowd or a flood of a soak, as one process: python -m rig.soak.hostile, an order on standard input.

The order is one line of JSON: kind, connections, port, seconds, seed.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from time import monotonic
from typing import NamedTuple

import uvloop

SMALL_RECEIVE_BUFFER = 16 * 1024
FIELD_LINES = b"a:b\r\n" * 300
LONG_ANSWERS = (4_000_000, 20_000_000)
BATCH = 50  # requests in one write of a flood
UNSOUND_FIELDS = (  # of a request that lacks the rest
    "X-Service-Class: consulta\r\nX-Time-Left: 300m\r\n",
    "Host: a\r\nX-Service-Class: none\r\nX-Time-Left: 300m\r\n",
    "Host: a\r\nX-Service-Class: consulta\r\n",
    "Host: a\r\nX-Service-Class: consulta\r\nX-Time-Left: soon\r\n",
)
HEALTH_CHECK = b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n"
SAME_ID = (
    b"GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: one\r\n"
    b"X-Service-Class: consulta\r\nX-Time-Left: 300m\r\n\r\n"
)


class Order(NamedTuple):
    """What this process does."""

    kind: str
    connections: int
    port: int
    seconds: float
    seed: int


class Hostile:
    """The clients of one order. served_unsound: unsound requests that were answered 200."""

    def __init__(self, order: Order) -> None:
        self.order = order
        self.rng = random.Random(f"hostile {order.seed} {order.kind}")
        self.numbers = itertools.count()
        self.until = monotonic() + order.seconds
        self.served_unsound = 0

    def request(self, service_class: str = "consulta", time: str = "300m", more: str = "") -> bytes:
        """Return the bytes of a request with an ID of its own."""
        method = "GET" if service_class == "consulta" else "POST"
        return (
            f"{method} /api HTTP/1.1\r\nHost: app.svc\r\n"
            f"X-Correlation-Id: h{self.order.seed}-{next(self.numbers)}\r\n"
            f"X-Service-Class: {service_class}\r\nX-Account: acme\r\nX-Time-Left: {time}\r\n{more}\r\n"
        ).encode()

    async def run(self) -> None:
        """Play the order until its end."""
        tasks = [asyncio.ensure_future(self._keep_on(number)) for number in range(self.order.connections)]
        await asyncio.wait(tasks, timeout=self.order.seconds)
        for task in tasks:
            task.cancel()

    async def _keep_on(self, number: int) -> None:
        kind = self.order.kind
        if kind == "mixed":
            kind = sorted(CROWD_PLAYERS)[number % len(CROWD_PLAYERS)]
        play = {**CROWD_PLAYERS, **FLOOD_PLAYERS}[kind]
        while monotonic() < self.until:
            try:
                sock = await self._connect()
            except OSError:
                await asyncio.sleep(0.1)
                continue
            with suppress(OSError):
                await play(self, sock)
            sock.close()
            await asyncio.sleep(0.02)

    async def _connect(self) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.order.port))
        except OSError:
            sock.close()
            raise
        return sock

    async def stay(self) -> None:
        """Do nothing more until the order's end."""
        await asyncio.sleep(max(0.0, self.until - monotonic()))


async def send(sock: socket.socket, data: bytes) -> None:
    """Send all of these bytes."""
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def read_until_closed(sock: socket.socket) -> None:
    """Discard what arrives until the connection ends."""
    with suppress(OSError):
        while await asyncio.get_running_loop().sock_recv(sock, 2**16):
            pass


async def idle(clients: Hostile, sock: socket.socket) -> None:
    """Connect and say nothing."""
    await read_until_closed(sock)


async def endless_heads(clients: Hostile, sock: socket.socket) -> None:
    """Send fields without end, slowly, and read the error."""
    reading = asyncio.ensure_future(read_until_closed(sock))
    await send(sock, b"GET /api HTTP/1.1\r\nHost: app.svc\r\n")
    while not reading.done():
        await send(sock, FIELD_LINES)
        await asyncio.wait((reading,), timeout=0.05)


async def half_bodies(clients: Hostile, sock: socket.socket) -> None:
    """Stop half way through a long body."""
    head = clients.request("cobro", "2000m", "Content-Length: 2000000\r\n")
    await send(sock, head + b"b" * 1_000_000)
    await read_until_closed(sock)


async def slow_bodies(clients: Hostile, sock: socket.socket) -> None:
    """Send a long body at 64 kB a second."""
    await send(sock, clients.request("cobro", "2000m", "Content-Length: 4000000\r\n"))
    reading = asyncio.ensure_future(read_until_closed(sock))
    for _ in range(4000):
        await send(sock, b"b" * 16_000)
        await asyncio.wait((reading,), timeout=0.25)
        if reading.done():
            return


async def slow_readers(clients: Hostile, sock: socket.socket) -> None:
    """Ask for a long answer and read it slowly."""
    size = clients.rng.choice(LONG_ANSWERS)
    await send(sock, clients.request("consulta", "2000m", f"X-Soak-Answer: bulk length {size}\r\n"))
    while await asyncio.get_running_loop().sock_recv(sock, 2**15):
        await asyncio.sleep(0.25)


async def unread_answers(clients: Hostile, sock: socket.socket) -> None:
    """Ask on and read nothing."""
    while True:
        await send(sock, clients.request("consulta", "2000m", "X-Soak-Answer: short length 30000\r\n") * 4)
        await asyncio.sleep(0.01)


async def short_fields(clients: Hostile, sock: socket.socket) -> None:
    """Send complete requests of very many short fields."""
    more = "a:b\r\n" * 5000
    reading = asyncio.ensure_future(read_until_closed(sock))
    while not reading.done():
        await send(sock, clients.request(more=more) * 2)
        await asyncio.wait((reading,), timeout=0.1)


def flood(batch: Callable[[Hostile], bytes]) -> Callable[[Hostile, socket.socket], Awaitable[None]]:
    """Return a player that sends batches at full speed and reads what it is sent."""

    async def play(clients: Hostile, sock: socket.socket) -> None:
        reading = asyncio.ensure_future(read_until_closed(sock))
        try:
            while not reading.done() and monotonic() < clients.until:
                await send(sock, batch(clients))
        finally:
            reading.cancel()

    return play


async def unsound(clients: Hostile, sock: socket.socket) -> None:
    """Send one unsound request at a time, on new connections."""
    head = f"GET /api HTTP/1.1\r\nX-Correlation-Id: h{clients.order.seed}-{next(clients.numbers)}\r\n"
    await send(sock, f"{head}{clients.rng.choice(UNSOUND_FIELDS)}\r\n".encode())
    data = await asyncio.get_running_loop().sock_recv(sock, 4096)
    clients.served_unsound += data.startswith(b"HTTP/1.1 200")


def repeated(request: Callable[[], bytes]) -> bytes:
    """Return a batch of requests."""
    return b"".join(request() for _ in range(BATCH))


def bodies(clients: Hostile) -> bytes:
    """Return some requests with bodies of 30 kB."""
    head = "Content-Length: 30000\r\n"
    return b"".join(clients.request("cobro", "300m", head) + b"b" * 30_000 for _ in range(5))


def tenants(clients: Hostile) -> bytes:
    """Return requests of ever new tenants."""
    return b"".join(
        clients.request().replace(b"acme", b"tenant-%d" % next(clients.numbers)) for _ in range(BATCH)
    )


Player = Callable[[Hostile, socket.socket], Awaitable[None]]
CROWD_PLAYERS: dict[str, Player] = {
    "idle": idle,
    "endless_heads": endless_heads,
    "half_bodies": half_bodies,
    "slow_bodies": slow_bodies,
    "slow_readers": slow_readers,
    "unread_answers": unread_answers,
    "short_fields": short_fields,
}
FLOOD_PLAYERS: dict[str, Player] = {
    "safe": flood(lambda clients: repeated(clients.request)),
    "unsafe": flood(
        lambda clients: repeated(lambda: clients.request("cobro", "40m", "Content-Length: 0\r\n"))
    ),
    "tenants": flood(tenants),
    "fields": flood(lambda clients: repeated(lambda: clients.request(more="a:b\r\n" * 300))),
    "bodies": flood(bodies),
    "health": flood(lambda _: HEALTH_CHECK * BATCH),
    "one_id": flood(lambda _: SAME_ID * BATCH),
    "unsound": unsound,
}


async def run() -> None:
    """Play the order that standard input holds, and print what came of it."""
    order = Order(**json.loads(sys.stdin.readline()))
    clients = Hostile(order)
    await clients.run()
    print(json.dumps({"kind": order.kind, "served_unsound": clients.served_unsound}), flush=True)


if __name__ == "__main__":
    uvloop.run(run())
