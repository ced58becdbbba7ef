"""Injects faults into TCP streams and datagrams: python -m rig.fault_proxy, a plan on standard input.

A plan is one line of JSON: script (text), groups, seed, and links as [first, second, kind, listen address,
target address, own address]: the proxy listens at the listen address (port 0: the kernel's) for what `first`
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

from rig.faults import Link, Script, datagram_delays, read_script, stream_delay

HIGH_WATER = 1 << 20


class FaultProxy:
    """All links of one process."""

    def __init__(self, plan: dict[str, Any]) -> None:
        self.script = Script(read_script(plan["script"], plan["groups"]))
        self.rng = random.Random(plan["seed"])
        self.links = [Link(row[0], row[1]) for row in plan["links"]]
        self.rows = plan["links"]
        self.began = float("inf")
        self.connections: set[Connection] = set()
        self.datagram_links: dict[Link, DatagramLink] = {}
        self.counts: Counter[str] = Counter()
        self.taken: list[list[float]] = []  # of each connection: when, and of which link
        self.loop = asyncio.get_running_loop()

    def now(self) -> float:
        """Seconds from the release; long before it, it is minus infinity."""
        return monotonic() - self.began

    async def listen(self) -> list[int]:
        """Open a listener or datagram socket for each link; their ports, in the order of the links."""
        ports = []
        for number, (_, _, kind, at, _, _) in enumerate(self.rows):
            if kind == "tcp":
                server = await self.loop.create_server(
                    lambda number=number: Connection(self, number),  # type: ignore[misc]
                    at[0],
                    at[1],
                    backlog=256,
                )
                ports.append(server.sockets[0].getsockname()[1])
            else:
                transport, _ = await self.loop.create_datagram_endpoint(
                    lambda number=number: DatagramLink(self, number),  # type: ignore[misc]
                    local_addr=(at[0], at[1]),
                )
                ports.append(transport.get_extra_info("sockname")[1])
        return ports

    def begin(self, at: float) -> None:
        """Set the release, on the monotonic clock in seconds, and schedule the faults."""
        self.began = at
        for number, link in enumerate(self.links):
            for moment in self.script.resets(link):
                self.loop.call_later(max(0.0, moment - self.now()), self.reset, number)
        for moment in self.script.changes():
            self.loop.call_later(max(0.0, moment - self.now()) + 0.001, self.fault_changed)

    def reset(self, number: int) -> None:
        """Abort all connections of a link."""
        for connection in [connection for connection in self.connections if connection.number == number]:
            self.counts["reset"] += 1
            connection.abort()

    def fault_changed(self) -> None:
        """A fault has begun or ended: what was held back may go on."""
        for connection in list(self.connections):
            connection.resume()

    def target(self, number: int) -> tuple[str, int]:
        """The address that a link leads to."""
        host, port = self.rows[number][4]
        return host, port


class Connection(asyncio.Protocol):
    """One connection through the proxy: what the caller sends, and back."""

    transport: asyncio.Transport

    def __init__(self, proxy: FaultProxy, number: int) -> None:
        self.proxy, self.number, self.link = proxy, number, proxy.links[number]
        self.target: asyncio.Transport | None = None
        self.outbound, self.inbound = Direction(self, True), Direction(self, False)
        self.hanging = False
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and connect to the target."""
        self.transport = cast(asyncio.Transport, transport)
        self.proxy.connections.add(self)
        self.open()

    def open(self) -> None:
        """The kernel has taken the connection; what it looks like to the caller is what bytes do then.

        A listener can't leave a handshake unanswered: one that hangs is taken, and neither read nor answered.
        """
        opening = self.proxy.script.opens(self.link, self.proxy.now())
        self.proxy.counts[opening] += 1
        self.proxy.taken.append([monotonic(), self.number])
        if opening == "refused":
            return self.abort()
        self.hanging = opening == "hangs"
        if self.hanging:
            return self.transport.pause_reading()
        self.proxy.loop.create_task(self._reach())

    async def _reach(self) -> None:
        host, port = self.proxy.target(self.number)
        own = self.proxy.rows[self.number][5]
        try:
            target, _ = await self.proxy.loop.create_connection(
                lambda: TargetConnection(self), host, port, local_addr=(own, 0) if own else None
            )
        except OSError:
            self.proxy.counts["unreached"] += 1
            return self.abort()
        if self.closed:
            return target.abort()
        self.target = target
        self.outbound.pump()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on to the target."""
        self.outbound.take(data)

    def eof_received(self) -> bool:
        """Pass the end of the stream on; the other direction stays open."""
        self.outbound.end()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """End both sides."""
        self.abort()

    def resume(self) -> None:
        """A fault has begun or ended: a hanging connection reaches its target, and what is due is written."""
        if self.hanging and self.proxy.script.opens(self.link, self.proxy.now()) == "yes":
            self.hanging = False
            self.transport.resume_reading()
            self.proxy.loop.create_task(self._reach())
        self.outbound.pump()
        self.inbound.pump()

    def abort(self) -> None:
        """Abort both sides, once."""
        if not self.closed:
            self.closed = True
            self.proxy.connections.discard(self)
            self.transport.abort()
            if self.target is not None:
                self.target.abort()


class TargetConnection(asyncio.Protocol):
    """The proxy's own connection to the target."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def data_received(self, data: bytes) -> None:
        """Pass bytes back to the caller."""
        self.connection.inbound.take(data)

    def eof_received(self) -> bool:
        """Pass the end of the stream back."""
        self.connection.inbound.end()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """End both sides, unless the stream had ended in order."""
        if error is not None or not self.connection.inbound.ended:
            self.connection.abort()


class Direction:
    """Bytes in one direction, in order, each piece not before its time."""

    def __init__(self, connection: Connection, outbound: bool) -> None:
        self.connection, self.outbound = connection, outbound
        self.pending: list[tuple[float, bytes]] = []  # when each may pass, and its bytes
        self.pending_bytes = 0
        self.free_at = 0.0
        self.ended = False
        self.timer: asyncio.TimerHandle | None = None

    def take(self, data: bytes) -> None:
        """Queue bytes, each piece with the moment at which it may pass."""
        proxy = self.connection.proxy
        conditions = proxy.script.conditions(self.connection.link, proxy.now(), self.outbound)
        self.free_at = max(monotonic(), self.free_at) + stream_delay(conditions, len(data), proxy.rng)
        if conditions.rate and len(data) > conditions.rate / 10:
            self._slowly(data, conditions.rate)
        else:
            self.pending.append((self.free_at, data))
        self.pending_bytes += len(data)
        self._pressure()
        self.pump()

    def _slowly(self, data: bytes, rate: float) -> None:
        """In pieces of a tenth of a second's worth, the last when the whole is due."""
        step = max(1, int(rate / 10))
        pieces = [data[at : at + step] for at in range(0, len(data), step)]
        for n, piece in enumerate(pieces):
            self.pending.append((self.free_at - (len(pieces) - 1 - n) * 0.1, piece))

    def end(self) -> None:
        """Note the end of the stream; it is passed on behind the last byte."""
        self.ended = True
        self.pump()

    def _pressure(self) -> None:
        source = self.connection.transport if self.outbound else self.connection.target
        if source is None or source.is_closing() or self.connection.hanging:
            return
        if self.pending_bytes > HIGH_WATER:
            source.pause_reading()
        elif self.pending_bytes < HIGH_WATER // 2:
            source.resume_reading()

    def pump(self) -> None:
        """Write what is due; come again for the next."""
        connection, proxy = self.connection, self.connection.proxy
        sink = connection.target if self.outbound else connection.transport
        if connection.closed or sink is None:
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if not proxy.script.conditions(connection.link, proxy.now(), self.outbound).passes:
            return  # fault_changed() comes back when the fault ends
        now = monotonic()
        while self.pending and self.pending[0][0] <= now:
            _, data = self.pending.pop(0)
            self.pending_bytes -= len(data)
            sink.write(data)
        if self.pending:
            self.timer = proxy.loop.call_later(self.pending[0][0] - now, self.pump)
        elif self.ended and sink.can_write_eof():
            sink.write_eof()
            if connection.outbound.ended and connection.inbound.ended:
                connection.transport.close()
                if connection.target is not None:
                    connection.target.close()
        self._pressure()


class DatagramLink(asyncio.DatagramProtocol):
    """Datagrams of one link in one direction: the other direction is a link of its own."""

    transport: asyncio.DatagramTransport

    def __init__(self, proxy: FaultProxy, number: int) -> None:
        self.proxy, self.number, self.link = proxy, number, proxy.links[number]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the socket under its link."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.proxy.datagram_links[self.link] = self

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Send as many copies as the script says, each after its delay."""
        proxy = self.proxy
        conditions = proxy.script.conditions(self.link, proxy.now(), True)
        arrivals = datagram_delays(conditions, proxy.rng)
        proxy.counts["datagrams" if arrivals else "datagrams lost"] += 1
        for wait in arrivals:
            proxy.loop.call_later(wait, self._send, data)

    def _send(self, data: bytes) -> None:
        """From the socket where the receiver's answers to this sender arrive: it knows who it is."""
        answers = self.proxy.datagram_links.get(Link(self.link.second, self.link.first), self)
        answers.transport.sendto(data, self.proxy.target(self.number))

    def error_received(self, error: Exception) -> None:
        """Count a datagram that nobody took."""
        self.proxy.counts["datagrams refused"] += 1


async def run() -> None:
    """Serve the plan that is read from standard input until that is closed."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=2**27)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # who started it says when
    proxy = FaultProxy(json.loads(await reader.readline()))
    print(json.dumps({"ports": await proxy.listen()}), flush=True)
    while line := await reader.readline():
        command = json.loads(line)
        for number, target in command.get("targets", {}).items():
            proxy.rows[int(number)][4] = target
        if "begin" in command:
            proxy.begin(command["begin"])
        if "counts" in command:
            print(json.dumps({"counts": proxy.counts, "taken": proxy.taken}), flush=True)


def main() -> int:
    """Run until standard input is closed; the exit status."""
    uvloop.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
