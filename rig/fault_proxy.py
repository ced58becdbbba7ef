"""Injects faults into TCP streams and datagrams: python -m rig.fault_proxy, a plan on standard input.

A plan is one line of JSON: script (text), groups, seed, and links as [first, second, kind, listen address,
target address, source address]: the proxy listens at the listen address (port 0: the kernel's choice) for
what `first` sends to `second`, and passes it on to the target from the source address, so that the target
sees whose it is. It prints {"ports": [...]} in the order of the links. A second line {"begin": T} is the
release, on the machine's monotonic clock; before it nothing fails. The target of a link may follow later:
{"targets": {"3": [host, port]}}.

{"counts": 1} is answered with counts of what was done, and with the time and link of each connection that was
accepted, also where the target was not reached.

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
from dataclasses import dataclass
from time import monotonic
from typing import Any, NamedTuple, cast

import uvloop

from rig.faults import Conditions, Link, Opening, Script, datagram_delays, read_script, stream_delay

HIGH_WATER = 1 << 20  # bytes of one direction that wait, before its source is paused
SLICES_PER_S = 10  # pieces in which a throttled stream passes
SLICE_S = 0.1
CHANGE_MARGIN_S = 0.001  # so that a fault has surely begun or ended
BACKLOG = 256
MAX_LINE_BYTES = 2**27


@dataclass
class PlannedLink:
    """One link of the plan. kind: "tcp" or "udp"; source: the address to call the target from, or ""."""

    first: str
    second: str
    kind: str
    listen: tuple[str, int]
    target: tuple[str, int]
    source: str


class Accepted(NamedTuple):
    """A connection that was accepted: when, on the monotonic clock, and by the link of which number."""

    at: float
    number: int


class FaultProxy:
    """All links of one process. counts: of openings, resets and datagrams, by what became of them."""

    def __init__(self, plan: dict[str, Any]) -> None:
        self.script = Script(read_script(plan["script"], plan["groups"]))
        self.rng = random.Random(plan["seed"])
        self.planned = [PlannedLink(*row) for row in plan["links"]]
        self.links = [Link(planned.first, planned.second) for planned in self.planned]
        self.released_at = float("inf")
        self.connections: set[Connection] = set()
        self.datagram_links: dict[Link, DatagramLink] = {}
        self.counts: Counter[str] = Counter()
        self.accepted: list[Accepted] = []
        self.loop = asyncio.get_running_loop()

    def now(self) -> float:
        """Return the seconds from the release on; minus infinity before the release is known."""
        return monotonic() - self.released_at

    async def listen(self) -> list[int]:
        """Open a listener or datagram socket for each link; return their ports, in the order of the links."""
        return [await self._listen(number, planned) for number, planned in enumerate(self.planned)]

    async def _listen(self, number: int, planned: PlannedLink) -> int:
        host, port = planned.listen
        if planned.kind == "tcp":
            server = await self.loop.create_server(
                lambda: Connection(self, number), host, port, backlog=BACKLOG
            )
            name = server.sockets[0].getsockname()
        else:
            transport, _ = await self.loop.create_datagram_endpoint(
                lambda: DatagramLink(self, number), local_addr=(host, port)
            )
            name = transport.get_extra_info("sockname")
        bound_port: int = name[1]
        return bound_port

    def begin(self, at: float) -> None:
        """Set the release, on the monotonic clock in seconds, and schedule the faults."""
        self.released_at = at
        for number, link in enumerate(self.links):
            for moment in self.script.resets(link):
                self.loop.call_later(max(0.0, moment - self.now()), self.reset, number)
        for moment in self.script.changes():
            self.loop.call_later(max(0.0, moment - self.now()) + CHANGE_MARGIN_S, self.fault_changed)

    def reset(self, number: int) -> None:
        """Abort all connections of a link."""
        affected = [connection for connection in self.connections if connection.number == number]
        for connection in affected:
            self.counts["reset"] += 1
            connection.abort()

    def fault_changed(self) -> None:
        """Let everything go on that was held back by a fault which has ended."""
        for connection in list(self.connections):
            connection.resume()

    def target(self, number: int) -> tuple[str, int]:
        """Return the address that a link leads to."""
        host, port = self.planned[number].target
        return host, port


class Connection(asyncio.Protocol):
    """One connection through the proxy, with both its directions."""

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
        """Do with a new connection what the script says.

        The kernel has accepted it, as a listener can't leave a handshake unanswered: one that hangs is
        neither read nor answered.
        """
        opening = self.proxy.script.opening(self.link, self.proxy.now())
        self.proxy.counts[opening] += 1
        self.proxy.accepted.append(Accepted(monotonic(), self.number))
        if opening is Opening.REFUSED:
            return self.abort()
        self.hanging = opening is Opening.HANGS
        if self.hanging:
            return self.transport.pause_reading()
        self.proxy.loop.create_task(self._connect_target())

    async def _connect_target(self) -> None:
        host, port = self.proxy.target(self.number)
        source = self.proxy.planned[self.number].source
        local_addr = (source, 0) if source else None
        try:
            target, _ = await self.proxy.loop.create_connection(
                lambda: TargetConnection(self), host, port, local_addr=local_addr
            )
        except OSError:
            self.proxy.counts["unreached"] += 1
            return self.abort()
        if self.closed:
            return target.abort()
        self.target = target
        self.outbound.flush()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on to the target."""
        self.outbound.queue(data)

    def eof_received(self) -> bool:
        """Pass the end of the stream on; the other direction stays open."""
        self.outbound.end()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """End both sides."""
        self.abort()

    def resume(self) -> None:
        """Connect to the target if the connection hangs no longer, and write what is due."""
        opening = self.proxy.script.opening(self.link, self.proxy.now())
        if self.hanging and opening is Opening.ACCEPTED:
            self.hanging = False
            self.transport.resume_reading()
            self.proxy.loop.create_task(self._connect_target())
        self.outbound.flush()
        self.inbound.flush()

    def close_if_ended(self) -> None:
        """Close both sides if both directions have ended."""
        if self.outbound.ended and self.inbound.ended:
            self.transport.close()
            if self.target is not None:
                self.target.close()

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
        self.connection.inbound.queue(data)

    def eof_received(self) -> bool:
        """Pass the end of the stream back."""
        self.connection.inbound.end()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """End both sides, unless the stream had ended in order before."""
        if error is not None or not self.connection.inbound.ended:
            self.connection.abort()


class Piece(NamedTuple):
    """Bytes of one direction, and the time on the monotonic clock before which they may not pass."""

    due_at: float
    data: bytes


class Direction:
    """Bytes in one direction, in order, each piece not before its time."""

    def __init__(self, connection: Connection, outbound: bool) -> None:
        self.connection, self.outbound = connection, outbound
        self.pending: list[Piece] = []
        self.pending_bytes = 0
        self.free_at = 0.0
        self.ended = False
        self.timer: asyncio.TimerHandle | None = None

    def _conditions(self) -> Conditions:
        proxy = self.connection.proxy
        return proxy.script.conditions(self.connection.link, proxy.now(), self.outbound)

    def queue(self, data: bytes) -> None:
        """Queue bytes, each piece with the time at which it may pass."""
        conditions = self._conditions()
        delay = stream_delay(conditions, len(data), self.connection.proxy.rng)
        self.free_at = max(monotonic(), self.free_at) + delay
        if conditions.rate and len(data) > conditions.rate / SLICES_PER_S:
            self._queue_throttled(data, conditions.rate)
        else:
            self.pending.append(Piece(self.free_at, data))
        self.pending_bytes += len(data)
        self._apply_backpressure()
        self.flush()

    def _queue_throttled(self, data: bytes, rate: float) -> None:
        """Queue pieces of SLICE_S each, the last of them due when all of the bytes are."""
        step = max(1, int(rate / SLICES_PER_S))
        pieces = [data[at : at + step] for at in range(0, len(data), step)]
        for n, piece in enumerate(pieces):
            self.pending.append(Piece(self.free_at - (len(pieces) - 1 - n) * SLICE_S, piece))

    def end(self) -> None:
        """Note the end of the stream; it is passed on behind the last byte."""
        self.ended = True
        self.flush()

    def _apply_backpressure(self) -> None:
        source = self.connection.transport if self.outbound else self.connection.target
        if source is None or source.is_closing() or self.connection.hanging:
            return
        if self.pending_bytes > HIGH_WATER:
            source.pause_reading()
        elif self.pending_bytes < HIGH_WATER // 2:
            source.resume_reading()

    def flush(self) -> None:
        """Write what is due, and set a timer for the next piece."""
        connection, loop = self.connection, self.connection.proxy.loop
        sink = connection.target if self.outbound else connection.transport
        if connection.closed or sink is None:
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if not self._conditions().passes:
            return  # fault_changed() calls again when the fault ends
        now = monotonic()
        while self.pending and self.pending[0].due_at <= now:
            data = self.pending.pop(0).data
            self.pending_bytes -= len(data)
            sink.write(data)
        if self.pending:
            self.timer = loop.call_later(self.pending[0].due_at - now, self.flush)
        elif self.ended and sink.can_write_eof():
            sink.write_eof()
            connection.close_if_ended()
        self._apply_backpressure()


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
        """Pass on as many copies as the script says, each after its delay."""
        proxy = self.proxy
        conditions = proxy.script.conditions(self.link, proxy.now(), True)
        delays = datagram_delays(conditions, proxy.rng)
        proxy.counts["datagrams" if delays else "datagrams lost"] += 1
        for delay in delays:
            proxy.loop.call_later(delay, self._send, data)

    def _send(self, data: bytes) -> None:
        """Send from the socket where the receiver's replies arrive, so that it knows the sender."""
        reply_link = self.proxy.datagram_links.get(Link(self.link.second, self.link.first), self)
        reply_link.transport.sendto(data, self.proxy.target(self.number))

    def error_received(self, error: Exception) -> None:
        """Count a datagram that nobody received."""
        self.proxy.counts["datagrams refused"] += 1


async def run() -> None:
    """Serve the plan that is read from standard input until that is closed."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the process that started this one ends it
    proxy = FaultProxy(json.loads(await reader.readline()))
    print(json.dumps({"ports": await proxy.listen()}), flush=True)
    while line := await reader.readline():
        command = json.loads(line)
        for number, target in command.get("targets", {}).items():
            proxy.planned[int(number)].target = target
        if "begin" in command:
            proxy.begin(command["begin"])
        if "counts" in command:
            print(json.dumps({"counts": proxy.counts, "taken": proxy.accepted}), flush=True)


def main() -> int:
    """Run until standard input is closed; return the exit status."""
    uvloop.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
