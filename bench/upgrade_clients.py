"""The clients of bench.upgrade: open loop, on kept connections, with long answers among the short ones."""

from __future__ import annotations

import asyncio
import random
import threading
import time
from collections import Counter
from typing import NamedTuple

import uvloop

from standins.site import MIX

INITIAL_CONNECTIONS = 60
LONG_SHARE, LONG_BYTES = 0.03, 300_000  # of the requests; of each long answer
CONSULTA_SHARE = 0.6  # of the requests: all long ones are among these
READ_BYTES, SLOW_READ_S = 65_536, 0.02  # a slow reader's pause between two reads
SEED = 11
LAST_ANSWERS_S = 5.0

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class ClientRequest(NamedTuple):
    """A request's bytes. is_long: its answer is long, and read slowly."""

    data: bytes
    is_long: bool


class Response(NamedTuple):
    """A response that was read to its end. keeps_open: its connection may be used again."""

    status: str
    keeps_open: bool


class CutOffError(Exception):
    """A response began and was not read to its end."""


class Clients(threading.Thread):
    """Open-loop clients on an event loop of their own, as many requests a second on average as the rate.

    outcomes: how requests ended, by status or in words. failed_connections: how many requests were refused,
    or had a connection reset or closed before the answer began. latencies: of short requests, the intended
    send (monotonic s) and the seconds from there to the answer's end.
    """

    def __init__(self, port: int, rate: float) -> None:
        super().__init__(daemon=True)
        self.port, self.rate = port, rate
        self.outcomes: Counter[str] = Counter()
        self.failed_connections = 0
        self.latencies: list[tuple[float, float]] = []
        self.idle: list[Connection] = []
        self.over = threading.Event()
        self.rng = random.Random(SEED)
        self.requests = 0

    def run(self) -> None:
        """Send until `over` is set."""
        uvloop.run(self._run())

    async def _run(self) -> None:
        for _ in range(INITIAL_CONNECTIONS):
            self.idle.append(await self._connect())
        due, tasks = time.monotonic(), set()
        while not self.over.is_set():
            due += self.rng.expovariate(self.rate)
            wait = due - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            task = asyncio.ensure_future(self._send(due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.wait([*tasks, asyncio.ensure_future(asyncio.sleep(0))], timeout=LAST_ANSWERS_S)
        for _, writer in self.idle:
            writer.close()

    async def _connect(self) -> Connection:
        return await asyncio.open_connection("127.0.0.1", self.port)

    def _request(self) -> ClientRequest:
        """The next request, of a class drawn from the mix."""
        rng = self.rng
        name = rng.choices([n for n, _ in MIX], [w for _, w in MIX])[0]
        self.requests += 1
        is_long = name == "consulta" and rng.random() < LONG_SHARE / CONSULTA_SHARE
        head = f"{'GET' if name == 'consulta' else 'POST'} /api HTTP/1.1\r\nHost: app.svc\r\n"
        head += f"X-Correlation-Id: r{self.requests}\r\nX-Service-Class: {name}\r\nX-Time-Left: 2000m\r\n"
        if name == "reserva":
            head += f"Idempotency-Key: k{self.requests}\r\n"
        if name != "consulta":
            head += "Content-Length: 0\r\n"
        if is_long:
            head += f"X-Answer-Bytes: {LONG_BYTES}\r\n"
        return ClientRequest((head + "\r\n").encode(), is_long)

    async def _send(self, intended: float) -> None:
        """One request, due at `intended`, and its outcome."""
        request = self._request()
        try:
            # The longest idle one: what a replacement does to idle connections must show.
            connection = self.idle.pop(0) if self.idle else await self._connect()
        except OSError:
            return self._lose("refused")
        try:
            response = await self._exchange(connection, request)
        except CutOffError:
            connection[1].close()
            self.outcomes["cut off"] += 1
            return
        except (OSError, asyncio.IncompleteReadError) as error:
            connection[1].close()
            return self._lose("reset" if isinstance(error, ConnectionResetError) else "unread")
        self.outcomes[response.status] += 1
        if not request.is_long:
            self.latencies.append((intended, time.monotonic() - intended))
        if response.keeps_open:
            self.idle.append(connection)
        else:
            self.outcomes["closed after an answer"] += 1
            connection[1].close()

    async def _exchange(self, connection: Connection, request: ClientRequest) -> Response:
        """Send a request and read its response.

        OSError, IncompleteReadError: the connection ended before the response began. CutOffError: after that.
        """
        reader, writer = connection
        writer.write(request.data)
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in lines[1:] if b": " in line)
        try:
            await self._read_body(reader, int(fields[b"content-length"]), request.is_long)
        except (OSError, asyncio.IncompleteReadError, KeyError) as error:
            raise CutOffError from error
        status = head.split(b" ", 2)[1].decode()
        return Response(status, fields.get(b"connection") != b"close")

    async def _read_body(self, reader: asyncio.StreamReader, left: int, slowly: bool) -> None:
        """Read so many bytes. IncompleteReadError: the connection ended before."""
        while left:
            part = await reader.read(min(left, READ_BYTES))
            left -= len(part)
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            if slowly:
                await asyncio.sleep(SLOW_READ_S)

    def _lose(self, how: str) -> None:
        self.outcomes[how] += 1
        self.failed_connections += 1
