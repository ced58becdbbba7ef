"""No second request is served with the correlation ID of one that is open or may still run."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from peers import (
    BalancerTestbed,
    Message,
    async_test,
    never_responds,
    read_message,
    reply,
    request,
    requests,
    responds_with,
    wait_until,
)
from test_endings import connect_raw, respond_after

from quartzford.engine import RequestIds, request_ids
from quartzford.engine.request_ids import MAX_KEY_CHARS, RETENTION_S

CLASSES = ["read", "book", "pay"]


def run_count(testbed: BalancerTestbed, identity: str) -> int:
    """Return how many requests with this ID the upstreams have received."""
    received = [message for upstream in testbed.upstreams for message in upstream.received]
    return sum(message.fields["x-correlation-id"] == identity for message in received)


@pytest.mark.parametrize("name", CLASSES)
@pytest.mark.parametrize("where", ["other connection", "same connection", "long id"])
def test_request_with_id_of_open_request_is_rejected(name: str, where: str) -> None:
    """Guards against a bad client's copy of an open request being served, which ran a second time."""

    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            gate = asyncio.Event()
            for upstream in testbed.upstreams:
                upstream.script = respond_after(gate, reply())
            identity = "x" * (2 * MAX_KEY_CHARS if where == "long id" else 8)
            reader, writer = await testbed.connect()
            writer.write(request(name, b"", identity=identity))
            await wait_until(lambda: run_count(testbed, identity) == 1)
            copy = request(name, b"", identity=identity)
            if where == "same connection":
                (client,) = testbed.node.front.clients
                writer.write(copy)
                await wait_until(lambda: client.error)
                gate.set()
                assert (await read_message(reader)).status == 200
                assert (await read_message(reader)).status == 409
            else:
                assert (await testbed.submit(copy)).status == 409
                gate.set()
                assert (await read_message(reader)).status == 200
            assert run_count(testbed, identity) == 1 and testbed.node.budget.used == 0
            assert (await testbed.submit(request(name, b""))).status == 200

    uvloop.run(test())


@pytest.mark.parametrize("name", CLASSES)
def test_id_of_pipelined_request_is_taken_and_is_free_once_the_request_is_dropped(name: str) -> None:
    """Guards against a copy of a request that waits for an earlier response, and against IDs that stay."""

    async def test() -> None:
        async with BalancerTestbed() as testbed:
            testbed.upstreams[0].script = never_responds
            sock = await connect_raw(testbed)
            sock.send(request(identity="first") + request(name, b"", identity="second"))
            await wait_until(lambda: testbed.node.front.pipelined_count() == 1)
            assert (await testbed.submit(request(name, b"", identity="second"))).status == 409
            sock.close()
            await wait_until(lambda: not testbed.node.engine.pending_requests)
            testbed.upstreams[0].script = responds_with(reply())
            assert (await testbed.submit(request(name, b"", identity="second"))).status == 200
            assert run_count(testbed, "second") == 1

    uvloop.run(test())


@pytest.mark.parametrize("name", CLASSES)
@pytest.mark.parametrize("when", ["first attempt", "second attempt"])
def test_id_of_request_whose_client_left_is_rejected(name: str, when: str) -> None:
    """Guards against a second run when an ID comes again after its client has left."""

    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            received: list[Message] = []

            async def script(message: Message, writer: asyncio.StreamWriter) -> None:
                received.append(message)
                if when == "second attempt" and len(received) == 1:
                    writer.write(reply(b"", "503 Full", "X-Unprocessed: 1\r\n"))

            for upstream in testbed.upstreams:
                upstream.script = script
            sock = await connect_raw(testbed)
            sock.send(request(name, b"", identity="again"))
            runs = 1 if when == "first attempt" else 2
            await wait_until(lambda: run_count(testbed, "again") == runs)
            sock.close()
            await wait_until(lambda: not testbed.node.engine.pending_requests)
            assert (await testbed.submit(request(name, b"", identity="again"))).status == 409
            assert run_count(testbed, "again") == runs

    uvloop.run(test())


@async_test
async def test_id_of_answered_request_is_free() -> None:
    """Guards against a list of IDs that grows with the requests that were served."""
    async with BalancerTestbed() as testbed:
        for _ in range(2):
            assert (await testbed.submit(request("pay", b"", identity="answered"))).status == 200
        reader, writer = await testbed.connect()
        writer.write(requests(20))
        for _ in range(20):
            assert (await read_message(reader)).status == 200
        assert testbed.node.engine.request_ids.unexpired(1.0) == {}


# ---- the owner of the IDs, without sockets


class ClockStub:
    """A clock that the test sets; seconds."""

    def __init__(self) -> None:
        self.seconds = 100.0

    def now(self) -> float:
        return self.seconds


def test_retained_id_is_free_after_deadline_and_retention() -> None:
    clock = ClockStub()
    ids = RequestIds(clock.now)
    for identity, deadline in (("short", 101.0), ("long", 100.0 + 2 * RETENTION_S)):
        assert ids.claim(identity, 1.0)
        ids.retain(identity, deadline)
        ids.release(identity)  # no effect: it has ended before
        assert not ids.claim(identity, 1.0)
    clock.seconds += RETENTION_S
    assert ids.claim("short", 1.0) and not ids.claim("long", 1.0)
    clock.seconds += RETENTION_S
    assert ids.claim("long", 1.0)


def test_retained_ids_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with every client that leaves under a new name."""
    monkeypatch.setattr(request_ids, "MAX_RETAINED", 50)
    ids = RequestIds(ClockStub().now)
    for number in range(200):
        assert ids.claim(f"id-{number}", 1.0)
        ids.retain(f"id-{number}", 101.0)
    assert len(ids.unexpired(1.0)) == 50 and ids.claim("id-149", 1.0) and not ids.claim("id-150", 1.0)
