"""The usual clients of a soak, as one process: python -m rig.soak.clients.

Each client keeps one connection and uses it for as long as it stays open. A plan is read from standard input;
after standard input has ended, every request and its end are printed.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from contextlib import suppress
from time import monotonic
from typing import Any, NamedTuple

import uvloop

from rig.soak.answers import FRAMINGS, SHORT, AnswerForm
from rig.soak.plan import SoakPlan

PERIOD_S = 0.8  # between two requests of a client
RECONNECT_S = 0.1  # while the address refuses connections
END_S = 2.0  # for the clients to end
GIVE_UP_S = 8.0  # after a request's time: it got no answer
TIMES_MS = (344, 1500)
LONG_TIMES_MS = (600, 2000)
LONG_SIZES = (130_000, 215_000)
BODY_BYTES = (0, 212, 3000, 20_000)  # in turn
CLASSES = ("consulta", "reserva", "cobro")
CLASS_SHARES = (0.6, 0.3, 0.1)


class Sent(NamedTuple):
    """A request. time_s: that it states. body_bytes: of its body, if its class has one."""

    identity: str
    service_class: str
    time_s: float
    form: AnswerForm
    body_bytes: int


class End(NamedTuple):
    """How a request ended: a status, "cut off", "no answer" or "unanswered"; times on the monotonic clock.

    body_bytes: of its answer. is_own: the body begins with the request's ID. connected_at: of the connection.
    crossed: closed before a byte of an answer, on a connection that had been used; sent once more then.
    """

    identity: str
    service_class: str
    sent_at: float
    due_at: float
    first_byte_at: float
    ended_at: float
    outcome: str
    body_bytes: int
    expected_bytes: int
    form: str
    is_own: bool
    connected_at: float
    crossed: bool


def encode(sent: Sent) -> bytes:
    """Return the bytes of a request."""
    method = "GET" if sent.service_class == "consulta" else "POST"
    key = f"Idempotency-Key: k{sent.identity}\r\n" if sent.service_class == "reserva" else ""
    body = b"" if method == "GET" else b"b" * sent.body_bytes
    length = "" if method == "GET" else f"Content-Length: {len(body)}\r\n"
    head = (
        f"{method} /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {sent.identity}\r\n"
        f"X-Service-Class: {sent.service_class}\r\nX-Account: acme\r\n"
        f"X-Time-Left: {sent.time_s * 1000:.0f}m\r\n{key}{length}"
    )
    form = "" if sent.form is SHORT else sent.form.field()
    return f"{head}{form}\r\n".encode() + body


class Answer:
    """Reads one answer."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader
        self.status = 0
        self.body = bytearray()
        self.first_byte_at = 0.0
        self.closes = False

    async def read(self) -> None:
        """Read to the end. Raises IncompleteReadError or ConnectionError if it is cut off."""
        first = await self.reader.readexactly(1)
        self.first_byte_at = monotonic()
        head = (first + await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        status = int(head.split()[1])
        self.closes = "\r\nconnection: close" in head
        if "\r\ntransfer-encoding: chunked" in head:
            await self._read_chunks()
        elif "\r\ncontent-length:" in head:
            size = int(head.partition("\r\ncontent-length:")[2].split("\r\n")[0])
            await self._read_exactly(size)
        else:
            self.closes = True
            self.body += await self.reader.read(-1)
        self.status = status

    async def _read_chunks(self) -> None:
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            await self._read_exactly(size)
            await self.reader.readexactly(2)
        await self.reader.readuntil(b"\r\n")

    async def _read_exactly(self, size: int) -> None:
        wanted = len(self.body) + size
        while len(self.body) < wanted:
            data = await self.reader.read(wanted - len(self.body))
            if not data:
                raise asyncio.IncompleteReadError(bytes(self.body[:10]), wanted)
            self.body += data


class UsualClient:
    """One client with one connection."""

    def __init__(self, number: int, plan: SoakPlan, port: int, ends: list[End]) -> None:
        self.number, self.plan, self.port, self.ends = number, plan, port, ends
        self.rng = random.Random(f"client {plan.seed} {number}")
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.connected_at = 0.0
        self.count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        next_at = monotonic() + self.rng.uniform(0.0, PERIOD_S)
        while True:
            await asyncio.sleep(max(0.0, next_at - monotonic()))
            next_at = max(monotonic(), next_at + PERIOD_S)
            await self._ask(self._draw())

    def _draw(self) -> Sent:
        self.count += 1
        identity = f"u{self.number}-{self.count}"
        service_class = self.rng.choices(CLASSES, CLASS_SHARES)[0]
        form, times_ms = SHORT, TIMES_MS
        if self.rng.random() < self.plan.long_share:
            shape = self.rng.choice(("steady", "lumps", "late"))
            form = AnswerForm(shape, self.rng.choice(FRAMINGS), self.rng.randint(*LONG_SIZES))
            times_ms = LONG_TIMES_MS
        time_s = self.rng.choice(times_ms) / 1000.0
        return Sent(identity, service_class, time_s, form, BODY_BYTES[self.count % len(BODY_BYTES)])

    async def _connect(self) -> None:
        while self.streams is None:
            try:
                self.streams = await asyncio.open_connection("127.0.0.1", self.port, limit=2**22)
                self.connected_at = monotonic()
            except OSError:
                await asyncio.sleep(RECONNECT_S)

    def _close(self) -> None:
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None

    async def _ask(self, sent: Sent) -> None:
        reused = self.streams is not None
        end = await self._ask_once(sent)
        crossed = end.outcome == "no answer" and reused
        self.ends.append(end._replace(crossed=crossed))
        if crossed:
            self.ends.append(await self._ask_once(sent))

    async def _ask_once(self, sent: Sent) -> End:
        await self._connect()
        assert self.streams is not None
        reader, writer = self.streams
        sent_at = monotonic()
        answer = Answer(reader)
        writer.write(encode(sent))
        try:
            async with asyncio.timeout(sent.time_s + GIVE_UP_S):
                await answer.read()
            outcome = str(answer.status)
        except TimeoutError:
            outcome = "unanswered"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            outcome = "cut off" if answer.first_byte_at else "no answer"
        if answer.closes or not answer.status:
            self._close()
        is_own = bytes(answer.body).startswith(sent.identity.encode())
        due_at = sent_at + sent.time_s
        return End(
            sent.identity, sent.service_class, sent_at, due_at, answer.first_byte_at, monotonic(), outcome,
            len(answer.body), sent.form.size, f"{sent.form.shape} {sent.form.framing}", is_own,
            self.connected_at, False,
        )  # fmt: skip


async def run() -> None:
    """Play the usual clients until standard input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=2**22)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    table: dict[str, Any] = json.loads(await reader.readline())
    plan = SoakPlan.from_table(table["plan"])
    ends: list[End] = []
    clients = [UsualClient(number, plan, table["port"], ends) for number in range(plan.clients)]
    tasks = [asyncio.ensure_future(client.run()) for client in clients]
    with suppress(asyncio.IncompleteReadError):
        await reader.readexactly(1)
    for task in tasks:
        task.cancel()
    done, _ = await asyncio.wait(tasks, timeout=END_S)
    failed = [str(task.exception()) for task in done if not task.cancelled() and task.exception()]
    print(json.dumps({"ends": ends, "failed": failed}), flush=True)


if __name__ == "__main__":
    uvloop.run(run())
