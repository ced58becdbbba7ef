"""Case 7: long answers that take seconds to write or to read are cut off, or get a second head inside."""

from __future__ import annotations

import asyncio
import itertools
import socket
import time

from stage import HOST, KEYED, SAFE, TROUBLE, Balancer, Client, Message, Stage, Upstream, play, request

PIECES = 20  # of a long answer
PAUSE_S = 0.1 if TROUBLE else 0.0  # between two pieces, at an upstream that takes seconds to write
READ_S = 3.0 if TROUBLE else 0.0  # how long a client takes to read, if it takes seconds
WRITTEN_BYTES = 1_000_000  # of an answer that is written slowly
READ_BYTES = 12_000_000  # of an answer that is read slowly: more than the buffers of the system take
ROUNDS = 4
CALLERS, WARM_UP_S = 20, 4.0
GIVE_UP_S = 15.0
# The site's work of a consulta (85 to 150 ms) at the mean speed of its two kinds, three in five of them fast.
FAST_WORK_S, SLOW_WORK_S = (0.057, 0.1), (0.087, 0.154)
LINE = b"0123456789abcdef" * 4  # what the body of a long answer repeats


def body_of(identity: str, size: int) -> bytes:
    """Return the body of a long answer."""
    start = f"{identity} ".encode()
    return start + (LINE * (size // len(LINE) + 1))[: size - len(start)]


class LongAnswers(Upstream):
    """An upstream that also gives long answers, with a length, in chunks, or up to its close."""

    async def _answer(
        self, message: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        identity = message.fields.get("x-correlation-id", "")
        kind = identity.partition("-")[0]
        if kind not in ("length", "chunks", "close", "read"):
            return await super()._answer(message, reader, writer)
        async with self.slots:
            self._run(message, identity)
            await asyncio.sleep(self.rng.uniform(*self.work_s))
        size = READ_BYTES if kind == "read" else WRITTEN_BYTES
        framing = {"chunks": "Transfer-Encoding: chunked\r\n", "close": ""}.get(
            kind, f"Content-Length: {size}\r\n"
        )
        writer.write(f"HTTP/1.1 200 OK\r\n{framing}\r\n".encode())
        body = body_of(identity, size)
        given = 0
        try:
            for piece in range(PIECES):
                data = body[size * piece // PIECES : size * (piece + 1) // PIECES]
                writer.write(b"%x\r\n%b\r\n" % (len(data), data) if kind == "chunks" else data)
                await writer.drain()
                given += len(data)
                if kind != "read":
                    await asyncio.sleep(PAUSE_S)
            if kind == "chunks":
                writer.write(b"0\r\n\r\n")
            await writer.drain()
        except OSError:
            self.journal.record.line(f"{self.name}: cut off after {given} of {size} bytes of {identity}")
            return False
        return kind != "close"


def parse_chunked(data: bytes) -> tuple[bytes, str]:
    """Return the body in chunked framing, and how it ends."""
    body = b""
    while True:
        line, found, data = data.partition(b"\r\n")
        if not found:
            return body, "cut off"
        try:
            size = int(line, 16)
        except ValueError:
            return body, f"no chunk but {line[:20]!r}"
        if size == 0:
            return body, "whole"
        if len(data) < size + 2:
            return body + data[:size], "cut off"
        body, data = body + data[:size], data[size + 2 :]


async def ask(stage: Stage, port: int, identity: str, service_class: str, read_s: float) -> str:
    """Ask for a long answer, read it at an even pace, and return what came."""
    loop = asyncio.get_running_loop()
    kind = identity.partition("-")[0]
    size = READ_BYTES if kind == "read" else WRITTEN_BYTES
    data = bytearray()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 128 * 1024)
        sock.setblocking(False)
        await loop.sock_connect(sock, (HOST, port))
        await loop.sock_sendall(sock, request(identity, service_class, more="Connection: close\r\n"))
        began = time.monotonic()
        ending = "closed"
        try:
            async with asyncio.timeout(GIVE_UP_S):
                while piece := await loop.sock_recv(sock, 64 * 1024):
                    data += piece
                    await asyncio.sleep(max(0.0, began + read_s * len(data) / size - time.monotonic()))
        except TimeoutError:
            ending = "never ended"
        except OSError:
            ending = "reset"
        took = time.monotonic() - began
    head, _, rest = bytes(data).partition(b"\r\n\r\n")
    status = head[9:12].decode("latin-1") or "none"
    body = rest
    if b"chunked" in head.lower():
        body, ending = parse_chunked(rest)
    result = "whole" if body == body_of(identity, size) and ending in ("closed", "whole") else "not whole"
    stage.record.line(
        f"{identity}: {status}, {result}: {len(body)} of {size} bytes after {took:.2f} s, {ending}"
    )
    return f"{status} {result}"


async def call(balancer: Balancer, numbers: itertools.count[int]) -> None:
    """Send short requests, one after the other."""
    client = await Client.connect(balancer.port)
    while True:
        await asyncio.sleep(0.2)
        number = next(numbers)
        client.send(request(f"short-{number}", KEYED if number % 2 else SAFE))
        if await client.read(5.0) is None:
            client = await Client.connect(balancer.port)


async def case(stage: Stage) -> bool:
    """Return whether a long answer that its upstream went on giving did not reach its client whole."""
    upstreams: list[Upstream] = []
    for number in range(10):
        work_s = FAST_WORK_S if number % 5 < 3 else SLOW_WORK_S
        upstream = LongAnswers(f"s-{number:02d}", stage.journal, cell=number // 5, work_s=work_s)
        await upstream.start()
        upstreams.append(upstream)
    agent = await stage.agent(upstreams)
    balancer = stage.balancer(agent)
    await balancer.start()
    numbers = itertools.count()
    callers = [asyncio.create_task(call(balancer, numbers)) for _ in range(CALLERS)]
    await asyncio.sleep(WARM_UP_S)
    counts: dict[str, int] = {}
    for number in range(ROUNDS):
        for service_class in (SAFE, KEYED):
            for kind in ("length", "chunks", "close", "read"):
                read_s = READ_S if kind == "read" else 0.0
                identity = f"{kind}-{service_class}-{number}"
                result = await ask(stage, balancer.port, identity, service_class, read_s)
                counts[f"{kind}: {result}"] = counts.get(f"{kind}: {result}", 0) + 1
    for task in callers:
        task.cancel()
    stage.record.tell(f"long answers: {dict(sorted(counts.items()))}")
    return any(result.endswith(": 200 not whole") for result in counts)


if __name__ == "__main__":
    play(case, __file__)
