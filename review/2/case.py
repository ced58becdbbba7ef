"""Long bodies fill the memory for buffers: do other clients' connections go on after that?"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

MEMORY_MB = 80  # between 32 and 192 MB
DESCRIPTORS = 608  # between 256 and 1,024
LONG_BODY = bytes(32_000_000)
LONG_BODIES = 3  # 96 MB together: more at once than memory holds
WORK_S = 0.45  # of a long request, within its class's aim
SHORT_WORK_S = 0.02
CLIENTS = 20
PAUSE_S = 0.1  # between a client's answer and its next request
RUN_S = 6.0
WAIT_ON_S = 3.0  # after a request was lost
LONG_AFTER_S = 1.0
TIME_LEFT_MS = 800  # within 30 to 55% of the class's two seconds
ALLOWED_S = 0.5 + 0.05  # after the client's time; later, or never, is lost


async def serve(request: rig.Request, writer: asyncio.StreamWriter) -> None:
    """Answer with the request's id, after its work."""
    await asyncio.sleep(WORK_S if len(request.body) > 1_000_000 else SHORT_WORK_S)
    writer.write(rig.ok(request.identity.encode()))


class Client:
    """A client that sends one request at a time and keeps its connection."""

    def __init__(self, port: int, record: rig.Record, number: int, lag: Lag) -> None:
        self.port, self.record, self.number, self.lag = port, record, number, lag
        self.lost: list[str] = []
        self.answered = 0

    async def run(self, until: float) -> None:
        """Send requests until the time is over; stop at the first one that is lost."""
        await asyncio.sleep(self.number * PAUSE_S / CLIENTS)
        connection = await asyncio.open_connection("127.0.0.1", self.port)
        while time.monotonic() < until and not self.lost:
            identity, data = rig.request("cobro" if self.number % 2 else "reserva", TIME_LEFT_MS, b"x" * 200)
            sent = time.monotonic()
            due = sent + TIME_LEFT_MS / 1000 + ALLOWED_S
            again = False
            while True:
                reader, writer = connection
                writer.write(data)
                answer = asyncio.ensure_future(rig.read_answer(reader))
                try:
                    await asyncio.wait({answer}, timeout=due - time.monotonic())
                    await asyncio.sleep(self.lag.longest_s)  # a busy machine is no fault of the balancer
                    if not answer.done():
                        await self.wait_on(identity, sent, answer)
                        break
                    status, body = answer.result()
                except (OSError, EOFError):
                    # The balancer closed the connection: the request is sent once more on a new one.
                    writer.close()
                    self.record.line(f"client {self.number}: {identity} connection ended, again: {not again}")
                    connection = await asyncio.open_connection("127.0.0.1", self.port)
                    if again or time.monotonic() - sent > TIME_LEFT_MS / 1000:
                        break
                    again = True
                    sent = time.monotonic()
                    due = sent + TIME_LEFT_MS / 1000 + ALLOWED_S
                    continue
                self.answered += 1
                self.record.line(
                    f"client {self.number}: {identity} {status} after {time.monotonic() - sent:.3f} s"
                )
                if status == 200 and body != identity.encode():
                    raise rig.NotRunError("a stand-in's answer has another body")
                break
            await asyncio.sleep(PAUSE_S)
        connection[1].close()

    async def wait_on(self, identity: str, sent: float, answer: asyncio.Future[tuple[int, bytes]]) -> None:
        """Note a lost request, and what becomes of it and of its connection."""
        self.lost.append(identity)
        since = f"client {self.number}: {identity} sent {time.monotonic() - sent:.3f} s ago"
        self.record.line(f"{since} with {TIME_LEFT_MS} ms left: no answer, the connection is open")
        await asyncio.wait({answer}, timeout=WAIT_ON_S)
        result = "nothing more"
        if answer.done():
            error = answer.exception()
            result = f"the connection ended ({type(error).__name__})" if error else "an answer came"
        answer.cancel()
        self.record.line(f"client {self.number}: {identity} {time.monotonic() - sent:.3f} s after: {result}")


class Lag:
    """Measures for how long the stand-ins' own event loop was held up."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.005)
            self.longest_s = max(self.longest_s, time.monotonic() - before - 0.005)


async def send_long(port: int, record: rig.Record) -> None:
    """Send one request with a long body, and read its answer."""
    identity, head = rig.request("reserva", 2000)
    head = head.replace(b"Content-Length: 0", b"Content-Length: %d" % len(LONG_BODY))
    with contextlib.suppress(OSError, EOFError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        record.line(f"long body: {identity} begins, {len(LONG_BODY)} bytes")
        writer.write(head)
        answer = asyncio.ensure_future(rig.read_answer(reader))
        with contextlib.suppress(OSError):
            for start in range(0, len(LONG_BODY), 2**18):
                writer.write(LONG_BODY[start : start + 2**18])
                await writer.drain()
        record.line(f"long body: {identity} sent")
        status, _ = await answer
        record.line(f"long body: {identity} answered {status}")
        writer.close()


async def case(record: rig.Record, folder: Path) -> int:
    """Clients send all the time; after a second, others send long bodies."""
    upstreams = [rig.Upstream(f"s{number}", record, serve) for number in range(4)]
    for upstream in upstreams:
        await upstream.start()
    agent = rig.Agent(upstreams)
    await agent.start()
    balancer = rig.Balancer(record, agent, MEMORY_MB, DESCRIPTORS)
    await balancer.start(folder)
    lag = Lag()
    measuring = asyncio.ensure_future(lag.run())
    clients = [Client(balancer.port, record, number, lag) for number in range(CLIENTS)]
    try:
        until = time.monotonic() + RUN_S
        running = [asyncio.ensure_future(client.run(until)) for client in clients]
        await asyncio.sleep(LONG_AFTER_S)
        if rig.TROUBLE:
            await asyncio.gather(*(send_long(balancer.port, record) for _ in range(LONG_BODIES)))
        await asyncio.gather(*running)
        measuring.cancel()
        record.line(f"longest hold-up of the stand-ins {lag.longest_s:.3f} s")
        record.line(f"most memory of the balancer {balancer.peak_mb():.0f} MB of {MEMORY_MB} MB")
    finally:
        await balancer.stop()
    lost = [identity for client in clients for identity in client.lost]
    record.line(f"{sum(client.answered for client in clients)} answered, {len(lost)} lost: {lost}")
    return rig.BROKEN if lost else rig.HELD


rig.main(case, Path(__file__).resolve().parent)
