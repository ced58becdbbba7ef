"""Case 6: bad clients send field lines without end, and the balancer is killed for its memory."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

from stage import TROUBLE, Balancer, Client, Stage, play, request

MEMORY_MB = 192  # the most that the pages give a balancer
SOCKETS = 1024
BAD_HEADS = 100  # connections at once that send a head without end
BAD_TRAILERS = 1  # connections at once that send a trailer section without end
PHASE_S = 12.0
CALLERS = 20

FIELD_LINES = b"aa:bb\r\n" * 32_000  # what a bad client writes at once, 224 kB
HEAD = b"GET /api HTTP/1.1\r\nHost: app.svc\r\n"
CHUNKED = (
    b"POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %b\r\nX-Service-Class: cobro\r\n"
    b"X-Time-Left: 2000m\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
)


class Usual:
    """The usual clients: some answers that they got, and the requests that the kill left unanswered."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        self.answers: dict[int, int] = {}
        self.unanswered: list[str] = []
        self.numbers = itertools.count()
        self.stopped = False

    async def call(self) -> None:
        """Send one request after the other on a connection."""
        client: Client | None = None
        while not self.stopped and self.balancer.alive:
            await asyncio.sleep(0.1)
            identity = f"{self.balancer.name}-{next(self.numbers)}"
            try:
                client = client or await Client.connect(self.balancer.port)
            except OSError:
                continue
            client.send(request(identity))
            try:
                answer = await client.read(2.6)
            except (OSError, EOFError):
                answer = None
            if answer is None:
                self.unanswered.append(identity)
                client = None
            else:
                self.answers[answer.status] = self.answers.get(answer.status, 0) + 1


async def send_without_end(balancer: Balancer, beginning: bytes) -> None:
    """Be a bad client: send at full speed, read what comes, and begin again when the connection ends."""
    while balancer.alive:
        with contextlib.suppress(OSError, EOFError, ValueError):
            client = await Client.connect(balancer.port)
            client.send(beginning)
            reading = asyncio.create_task(client.reader.read(-1))
            try:
                async with asyncio.timeout(8.0):
                    while not reading.done() and not client.writer.transport.is_closing():
                        client.send(FIELD_LINES)
                        await client.writer.drain()
                        await asyncio.sleep(0)
            finally:
                reading.cancel()
                client.close()
        await asyncio.sleep(0.02)


async def phase(stage: Stage, balancer: Balancer, count: int, beginning: bytes) -> bool:
    """Play one kind of bad clients against a balancer of its own; return whether it was killed."""
    await balancer.start()
    guard = asyncio.create_task(balancer.guard_memory())
    usual = Usual(balancer)
    tasks = [asyncio.create_task(usual.call()) for _ in range(CALLERS)]
    await asyncio.sleep(1.0)
    stage.record.tell(f"{balancer.name}: {balancer.peak_mb:.0f} MB before the trouble")
    if TROUBLE:
        tasks += [asyncio.create_task(send_without_end(balancer, beginning)) for _ in range(count)]
    await asyncio.wait([guard], timeout=PHASE_S)
    usual.stopped = True
    await asyncio.sleep(0.3)
    for task in tasks:
        task.cancel()
    stage.record.tell(
        f"{balancer.name}: {count if TROUBLE else 0} bad clients, "
        f"peak {balancer.peak_mb:.0f} MB of {MEMORY_MB}, killed {balancer.killed_for_memory}; "
        f"usual clients: answers {usual.answers}, unanswered {len(usual.unanswered)}"
    )
    crashed = not balancer.alive
    balancer.end()
    return crashed


async def case(stage: Stage) -> bool:
    """Return whether a balancer crashed."""
    upstreams = await stage.upstreams(4)
    agent = await stage.agent(upstreams)
    heads = stage.balancer(agent, name="n0", memory_mb=MEMORY_MB, sockets=SOCKETS)
    trailers = stage.balancer(agent, name="n1", memory_mb=MEMORY_MB, sockets=SOCKETS)
    broken = await phase(stage, heads, BAD_HEADS, HEAD)
    return await phase(stage, trailers, BAD_TRAILERS, CHUNKED % b"bad-1") or broken


if __name__ == "__main__":
    play(case, __file__)
