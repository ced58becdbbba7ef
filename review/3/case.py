"""A long answer whose upstream takes some seconds to write it: is it passed on whole?"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

PIECE = bytes(range(256)) * 256  # 64 KiB
PIECES = 16  # 1 MiB in all
PAUSE_S = 0.25  # between two pieces, so that the answer takes four seconds
TIME_LEFT_MS = 2000
CLIENTS = 5


class Answers:
    """How far the upstream came with each answer."""

    def __init__(self, record: rig.Record) -> None:
        self.record = record
        self.cut_off: dict[str, int] = {}  # pieces written when the balancer ended the connection
        self.complete: set[str] = set()

    async def give(self, request: rig.Request, writer: asyncio.StreamWriter) -> None:
        """Write the answer piece by piece."""
        if request.line.split()[1] != "/api":
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(PIECE) * PIECES))
        self.record.line(f"upstream: {request.identity} runs, its answer begins")
        for number in range(PIECES):
            try:
                if writer.is_closing():
                    raise ConnectionResetError
                writer.write(PIECE)
                await writer.drain()
            except OSError:
                self.cut_off[request.identity] = number
                self.record.line(f"upstream: {request.identity} ended by the balancer after {number} pieces")
                raise
            if rig.TROUBLE:
                await asyncio.sleep(PAUSE_S)
        self.complete.add(request.identity)
        self.record.line(f"upstream: {request.identity} written whole")


async def ask(port: int, record: rig.Record) -> tuple[str, bool]:
    """Send one request, read all that comes, and return its id and whether the whole answer came."""
    identity, data = rig.request("consulta", TIME_LEFT_MS)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    sent = time.monotonic()
    record.line(f"client: {identity} sent, {TIME_LEFT_MS} ms left")
    body = b""
    status, length = 0, -1
    try:
        line, fields = await rig.read_head(reader)
        status, length = int(line.split()[1]), int(fields.get("content-length", -1))
        took = time.monotonic() - sent
        record.line(f"client: {identity} head {status} after {took:.3f} s, length {length}")
        while len(body) < length:
            part = await reader.read(2**18)
            if not part:
                break
            body += part
    except (OSError, asyncio.IncompleteReadError) as error:
        record.line(f"client: {identity} {type(error).__name__}")
    writer.close()
    took = time.monotonic() - sent
    whole = status == 200 and body == PIECE * PIECES
    record.line(f"client: {identity} got {len(body)} of {length} bytes in {took:.3f} s, whole: {whole}")
    return identity, whole


async def case(record: rig.Record, folder: Path) -> int:
    """Ask for five long answers at once."""
    answers = Answers(record)
    upstreams = [rig.Upstream(f"s{number}", record, answers.give) for number in range(2)]
    for upstream in upstreams:
        await upstream.start()
    agent = rig.Agent(upstreams)
    await agent.start()
    balancer = rig.Balancer(record, agent)
    await balancer.start(folder)
    try:
        whole = dict(await asyncio.gather(*(ask(balancer.port, record) for _ in range(CLIENTS))))
        await asyncio.sleep(0.5)
    finally:
        await balancer.stop()
    lost = [identity for identity in answers.cut_off if not whole[identity]]
    count = sum(whole.values())
    record.line(f"{count} of {CLIENTS} answers whole; cut off while their upstream wrote on: {lost}")
    return rig.BROKEN if lost else rig.HELD


rig.main(case, Path(__file__).resolve().parent)
