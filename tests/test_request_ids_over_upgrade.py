"""While one process replaces another, an ID that is open in one of them is rejected by the other."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import uvloop
from hold_ups import HoldUps
from peers import Message, read_message, reply, request, wait_until
from test_replacement import ReplacedBalancer, replaced_balancer

from quartzford.replacement.channel import Channel
from quartzford.replacement.messages import Message as ChannelMessage
from quartzford.replacement.messages import RequestIdsClaimed, Serving
from quartzford.replacement.request_id_link import MAX_IDS_PER_MESSAGE, RequestIdLink

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Upgrade:
    """A balancer whose upstreams answer requests whose path begins with /held only once `gate` is set."""

    def __init__(self, balancer: ReplacedBalancer) -> None:
        self.balancer = balancer
        self.gate = asyncio.Event()
        for upstream in balancer.testbed.upstreams:
            upstream.script = self._respond

    async def _respond(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if " /held" in message.line:
            await self.gate.wait()
        writer.write(reply())

    def runs(self, identity: str) -> int:
        """Return how many requests with this ID the upstreams have received."""
        upstreams = self.balancer.testbed.upstreams
        received = [message for upstream in upstreams for message in upstream.received]
        return sum(message.fields["x-correlation-id"] == identity for message in received)

    async def connect(self) -> Connection:
        """Connect a client; the process that now accepts serves it."""
        return await asyncio.open_connection("127.0.0.1", self.balancer.port)

    async def open_request(self, connection: Connection, identity: str) -> None:
        """Send a request on this connection, and wait until an upstream has it."""
        connection[1].write(request("pay", b"", path="/held", identity=identity))
        await wait_until(lambda: self.runs(identity) == 1)

    async def start_successor(self) -> None:
        """Start a process that takes over, and wait until it serves."""
        await self.balancer.start()
        await self.balancer.wait_until_ready()

    async def status_of(self, identity: str) -> int:
        """Send a request with this ID on a new connection, and return the status of its response."""
        reader, writer = await self.connect()
        writer.write(request("pay", b"", identity=identity))
        try:
            return (await asyncio.wait_for(read_message(reader), 5)).status
        finally:
            writer.close()


Test = Callable[[Upgrade], Coroutine[Any, Any, None]]


def with_upgrade(test: Test) -> Callable[[Path], None]:
    """Decorator that runs a coroutine test with a balancer of real processes."""

    async def run(path: Path) -> None:
        async with HoldUps(), replaced_balancer(path) as balancer:
            await test(Upgrade(balancer))

    def wrapped(tmp_path: Path) -> None:
        uvloop.run(asyncio.wait_for(run(tmp_path), 60))

    wrapped.__name__ = test.__name__
    return wrapped


@with_upgrade
async def test_id_open_at_predecessor_is_rejected_by_successor(upgrade: Upgrade) -> None:
    """Guards against a second run at the other process of an upgrade."""
    first = await upgrade.connect()
    await upgrade.open_request(first, "open")
    await upgrade.start_successor()
    assert await upgrade.status_of("open") == 409 and upgrade.runs("open") == 1
    upgrade.gate.set()
    assert (await read_message(first[0])).status == 200
    assert await upgrade.status_of("other") == 200


@with_upgrade
async def test_id_of_client_that_left_before_upgrade_is_rejected_by_successor(upgrade: Upgrade) -> None:
    """Guards against a second run of a request whose client left the predecessor."""
    first = await upgrade.connect()
    await upgrade.open_request(first, "left")
    first[1].close()
    await upgrade.balancer.wait_for_metric("in_flight", 0)
    await upgrade.start_successor()
    assert await upgrade.status_of("left") == 409 and upgrade.runs("left") == 1


@with_upgrade
async def test_id_open_at_successor_is_rejected_by_predecessor(upgrade: Upgrade) -> None:
    """Guards against a second run through a connection that the predecessor still serves."""
    at_predecessor = await upgrade.connect()
    await upgrade.open_request(at_predecessor, "first")
    await upgrade.start_successor()
    at_successor = await upgrade.connect()
    await upgrade.open_request(at_successor, "second")
    at_predecessor[1].write(request("pay", b"", identity="second"))
    upgrade.gate.set()
    assert (await read_message(at_predecessor[0])).status == 200
    assert (await read_message(at_predecessor[0])).status == 409
    assert (await read_message(at_successor[0])).status == 200 and upgrade.runs("second") == 1


@with_upgrade
async def test_id_that_reaches_predecessor_after_handover_is_rejected_by_successor(upgrade: Upgrade) -> None:
    """Guards against a second run of a request that the predecessor reads after it has sent its state."""
    at_predecessor = await upgrade.connect()
    await upgrade.open_request(at_predecessor, "first")
    await upgrade.start_successor()
    at_predecessor[1].write(request("pay", b"", identity="late"))
    await upgrade.balancer.wait_for_metric("in_flight", 2, at=0)  # it waits behind the first request
    assert await upgrade.status_of("late") == 409
    upgrade.gate.set()
    assert (await read_message(at_predecessor[0])).status == 200
    assert (await read_message(at_predecessor[0])).status == 200 and upgrade.runs("late") == 1


# ---- the link between the processes


class OwnerStub:
    """Records the IDs that it adopts."""

    def __init__(self) -> None:
        self.adopted: dict[str, float] = {}

    def adopt_request_id(self, identity: str, retention_s: float) -> None:
        self.adopted[identity] = retention_s


def test_ids_are_adopted_at_once_and_other_messages_are_handled_in_the_next_turn() -> None:
    """Guards against a claim that changes clients or the state of the handover while a request is parsed."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        handled: list[ChannelMessage] = []
        here, there = (
            Channel(end, loop, lambda _, message, descriptors: handled.append(message), lambda *_: None)
            for end in ends
        )
        owner = OwnerStub()
        adopted = owner.adopted
        sender, receiver = RequestIdLink(owner), RequestIdLink(owner)
        sender.announce({"no channel": 1.0})
        sender.channel, receiver.channel = here, there
        claims = {f"id-{number}": 1.5 for number in range(2 * MAX_IDS_PER_MESSAGE + 1)}
        here.send(Serving())
        sender.announce(claims)
        receiver.receive()
        assert adopted == claims and handled == []
        await wait_until(lambda: handled)
        assert handled == [Serving()] and not receiver.handle(Serving())
        assert receiver.handle(RequestIdsClaimed({"direct": 2.0})) and adopted["direct"] == 2.0
        here.discard()
        there.discard()

    uvloop.run(test())
