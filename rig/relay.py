"""Relays for TCP and datagrams: python -m rig.relay, a plan on standard input. docs/rig.md

A plan is one line of JSON: script (text), groups, seed, and links as [first, second, kind, listen address,
target address, own address]: the relay listens at the listen address (port 0: the kernel's) for what `first`
sends to `second`, and passes it on to the target from its own address, so that the target sees who it is. It
prints {"ports": [...]} in the order of the links. A second line {"begin": T} is the release, on the machine's
monotonic clock; before it nothing fails. The target of a link may be told later: {"targets": {"3": [h, p]}}.

{"counts": 1} asks what was done: counts, and when each connection came by which link, also where nobody was
reached behind it.

A cut holds a stream's bytes back, as retransmission does, and lets them pass when it ends; new connections
hang. Datagrams are dropped.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from collections import Counter
from time import monotonic
from typing import Any, cast

import uvloop

from rig.faults import Link, Script, datagram, lag, read_script

HIGH_WATER = 1 << 20


class Relay:
    """All links of one process."""

    def __init__(self, plan: dict[str, Any]) -> None:
        self.script = Script(read_script(plan["script"], plan["groups"]))
        self.rng = random.Random(plan["seed"])
        self.links = [Link(row[0], row[1]) for row in plan["links"]]
        self.rows = plan["links"]
        self.began = float("inf")
        self.pipes: set[Pipe] = set()
        self.posts: dict[Link, Post] = {}
        self.counts: Counter[str] = Counter()
        self.taken: list[list[float]] = []  # of each connection: when, and of which link
        self.loop = asyncio.get_running_loop()

    def now(self) -> float:
        """Seconds from the release; long before it, it is minus infinity."""
        return monotonic() - self.began

    async def listen(self) -> list[int]:
        ports = []
        for number, (_, _, kind, at, _, _) in enumerate(self.rows):
            if kind == "tcp":
                server = await self.loop.create_server(
                    lambda number=number: Pipe(self, number),  # type: ignore[misc]
                    at[0], at[1], backlog=256,
                )  # fmt: skip
                ports.append(server.sockets[0].getsockname()[1])
            else:
                transport, _ = await self.loop.create_datagram_endpoint(
                    lambda number=number: Post(self, number),  # type: ignore[misc]
                    local_addr=(at[0], at[1]),
                )
                ports.append(transport.get_extra_info("sockname")[1])
        return ports

    def begin(self, at: float) -> None:
        self.began = at
        for number, link in enumerate(self.links):
            for moment in self.script.resets(link):
                self.loop.call_later(max(0.0, moment - self.now()), self.reset, number)
        for moment in self.script.changes():
            self.loop.call_later(max(0.0, moment - self.now()) + 0.001, self.changed)

    def reset(self, number: int) -> None:
        for pipe in [pipe for pipe in self.pipes if pipe.number == number]:
            self.counts["reset"] += 1
            pipe.abort()

    def changed(self) -> None:
        """A fault has begun or ended: what was held back may go on."""
        for pipe in list(self.pipes):
            pipe.go_on()

    def target(self, number: int) -> tuple[str, int]:
        host, port = self.rows[number][4]
        return host, port


class Pipe(asyncio.Protocol):
    """One connection through the relay: what the caller sends, and back."""

    transport: asyncio.Transport

    def __init__(self, relay: Relay, number: int) -> None:
        self.relay, self.number, self.link = relay, number, relay.links[number]
        self.far: asyncio.Transport | None = None
        self.forth, self.back = Flow(self, True), Flow(self, False)
        self.hanging = False
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.relay.pipes.add(self)
        self.open()

    def open(self) -> None:
        """The kernel has taken the connection; what it looks like to the caller is what bytes do then.

        A listener can't leave a handshake unanswered: one that hangs is taken, and neither read nor answered.
        """
        how = self.relay.script.opens(self.link, self.relay.now())
        self.relay.counts[how] += 1
        self.relay.taken.append([monotonic(), self.number])
        if how == "refused":
            return self.abort()
        self.hanging = how == "hangs"
        if self.hanging:
            return self.transport.pause_reading()
        self.relay.loop.create_task(self._reach())

    async def _reach(self) -> None:
        host, port = self.relay.target(self.number)
        own = self.relay.rows[self.number][5]
        try:
            far, _ = await self.relay.loop.create_connection(
                lambda: Far(self), host, port, local_addr=(own, 0) if own else None
            )
        except OSError:
            self.relay.counts["unreached"] += 1
            return self.abort()
        if self.over:
            return far.abort()
        self.far = far
        self.forth.pump()

    def data_received(self, data: bytes) -> None:
        self.forth.take(data)

    def eof_received(self) -> bool:
        self.forth.end()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.abort()

    def go_on(self) -> None:
        if self.hanging and self.relay.script.opens(self.link, self.relay.now()) == "yes":
            self.hanging = False
            self.transport.resume_reading()
            self.relay.loop.create_task(self._reach())
        self.forth.pump()
        self.back.pump()

    def abort(self) -> None:
        if not self.over:
            self.over = True
            self.relay.pipes.discard(self)
            self.transport.abort()
            if self.far is not None:
                self.far.abort()


class Far(asyncio.Protocol):
    """The relay's own connection to the target."""

    def __init__(self, pipe: Pipe) -> None:
        self.pipe = pipe

    def data_received(self, data: bytes) -> None:
        self.pipe.back.take(data)

    def eof_received(self) -> bool:
        self.pipe.back.end()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        if error is not None or not self.pipe.back.ended:
            self.pipe.abort()


class Flow:
    """Bytes one way, in order, each piece not before its time."""

    def __init__(self, pipe: Pipe, forth: bool) -> None:
        self.pipe, self.forth = pipe, forth
        self.held: list[tuple[float, bytes]] = []  # by when each may pass
        self.size = 0
        self.free = 0.0
        self.ended = False
        self.timer: asyncio.TimerHandle | None = None

    def take(self, data: bytes) -> None:
        relay = self.pipe.relay
        way = relay.script.way(self.pipe.link, relay.now(), self.forth)
        self.free = max(monotonic(), self.free) + lag(way, len(data), relay.rng)
        if way.rate and len(data) > way.rate / 10:
            self._slowly(data, way.rate)
        else:
            self.held.append((self.free, data))
        self.size += len(data)
        self._pressure()
        self.pump()

    def _slowly(self, data: bytes, rate: float) -> None:
        """In pieces of a tenth of a second's worth, the last when the whole is due."""
        step = max(1, int(rate / 10))
        pieces = [data[at : at + step] for at in range(0, len(data), step)]
        for n, piece in enumerate(pieces):
            self.held.append((self.free - (len(pieces) - 1 - n) * 0.1, piece))

    def end(self) -> None:
        self.ended = True
        self.pump()

    def _pressure(self) -> None:
        source = self.pipe.transport if self.forth else self.pipe.far
        if source is None or source.is_closing() or self.pipe.hanging:
            return
        if self.size > HIGH_WATER:
            source.pause_reading()
        elif self.size < HIGH_WATER // 2:
            source.resume_reading()

    def pump(self) -> None:
        """Write what is due; come again for the next."""
        pipe, relay = self.pipe, self.pipe.relay
        sink = pipe.far if self.forth else pipe.transport
        if pipe.over or sink is None:
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if not relay.script.way(pipe.link, relay.now(), self.forth).passes:
            return  # changed() comes back when the fault ends
        now = monotonic()
        while self.held and self.held[0][0] <= now:
            _, data = self.held.pop(0)
            self.size -= len(data)
            sink.write(data)
        if self.held:
            self.timer = relay.loop.call_later(self.held[0][0] - now, self.pump)
        elif self.ended and sink.can_write_eof():
            sink.write_eof()
            if pipe.forth.ended and pipe.back.ended:
                pipe.transport.close()
                if pipe.far is not None:
                    pipe.far.close()
        self._pressure()


class Post(asyncio.DatagramProtocol):
    """Datagrams of one link, one way: the other way is a link of its own."""

    transport: asyncio.DatagramTransport

    def __init__(self, relay: Relay, number: int) -> None:
        self.relay, self.number, self.link = relay, number, relay.links[number]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.relay.posts[self.link] = self

    def datagram_received(self, data: bytes, address: Any) -> None:
        relay = self.relay
        way = relay.script.way(self.link, relay.now(), True)
        arrivals = datagram(way, relay.rng)
        relay.counts["datagrams" if arrivals else "datagrams lost"] += 1
        for wait in arrivals:
            relay.loop.call_later(wait, self._send, data)

    def _send(self, data: bytes) -> None:
        """From the socket where the receiver's answers to this sender arrive: it knows who it is."""
        answers = self.relay.posts.get(Link(self.link.second, self.link.first), self)
        answers.transport.sendto(data, self.relay.target(self.number))

    def error_received(self, error: Exception) -> None:
        self.relay.counts["datagrams refused"] += 1


async def run() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=2**27)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # who started it says when
    relay = Relay(json.loads(await reader.readline()))
    print(json.dumps({"ports": await relay.listen()}), flush=True)
    while line := await reader.readline():
        told = json.loads(line)
        for number, target in told.get("targets", {}).items():
            relay.rows[int(number)][4] = target
        if "begin" in told:
            relay.begin(told["begin"])
        if "counts" in told:
            print(json.dumps({"counts": relay.counts, "taken": relay.taken}), flush=True)


def main() -> int:
    uvloop.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
