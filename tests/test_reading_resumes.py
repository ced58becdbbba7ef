"""A connection whose reading was paused is read again."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from peers import BalancerTestbed, async_test, read_message, reply, request, wait_until
from test_endings import respond_after

from quartzford.fronts.client_connection import MAX_PIPELINED_REQUESTS

LIMIT_BYTES = 1_000_000


def post(framing: str) -> bytes:
    """Return a short POST whose body has this framing."""
    if framing == "length":
        return request("pay", b"b" * 200)
    return request("pay", fields="Transfer-Encoding: chunked\r\n") + b"c8\r\n" + b"b" * 200 + b"\r\n0\r\n\r\n"


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("memory", ["free before the answer", "free after the answer", "never free"])
def test_client_is_read_again_after_request_without_memory(framing: str, memory: str) -> None:
    """Paused for memory at a body's last piece, the connection was never read again: a request was lost."""

    async def test() -> None:
        async with BalancerTestbed() as testbed:
            gate, budget, front = asyncio.Event(), testbed.node.budget, testbed.node.front
            testbed.upstreams[0].script = respond_after(gate, reply())
            budget.limit = 0
            reader, writer = await testbed.connect()
            writer.write(post(framing))
            await wait_until(lambda: testbed.upstreams[0].received)
            if memory == "free before the answer":
                budget.limit = LIMIT_BYTES
            gate.set()
            assert (await read_message(reader)).status == 200
            if memory == "free after the answer":
                budget.limit = LIMIT_BYTES
            for _ in range(3):
                writer.write(post(framing))
                assert (await asyncio.wait_for(read_message(reader), 2)).status == 200
            assert budget.used == 0 and not front.paused_clients and len(front.clients) == 1

    uvloop.run(test())


@pytest.mark.parametrize("end", [-1000, 6000])
def test_client_without_memory_and_with_full_pipeline_is_read_again(end: int) -> None:
    """Two pauses at once: the end of the one must not end the other, nor leave the connection unread.

    end: of the body that is sent behind a full pipeline.
    """

    async def test() -> None:
        async with BalancerTestbed() as testbed:
            gate, budget, front = asyncio.Event(), testbed.node.budget, testbed.node.front
            testbed.upstreams[0].script = respond_after(gate, reply())
            reader, writer = await testbed.connect()
            writer.write(request())
            await wait_until(lambda: testbed.upstreams[0].received)
            (client,) = front.clients
            budget.limit = 0
            writer.write(request() * MAX_PIPELINED_REQUESTS + request("pay", b"b" * 5000)[:end])
            await wait_until(lambda: client.paused_at and client.pipeline_full)
            budget.limit = LIMIT_BYTES
            await wait_until(lambda: not client.paused_at)  # memory is free, the pipeline is still full
            assert client in front.paused_clients
            gate.set()
            for _ in range(1 + MAX_PIPELINED_REQUESTS):
                assert (await asyncio.wait_for(read_message(reader), 2)).status == 200
            if end < 0:
                writer.write(b"b" * -end)
            assert (await asyncio.wait_for(read_message(reader), 2)).status == 200
            writer.write(post("length"))
            assert (await asyncio.wait_for(read_message(reader), 2)).status == 200
            assert budget.used == 0 and not front.paused_clients

    uvloop.run(test())


@async_test
async def test_pipelined_body_is_read_on_with_free_memory_while_an_earlier_request_is_served() -> None:
    """Reading a body stayed paused until the earlier request was answered, though there was memory again."""
    async with BalancerTestbed() as testbed:
        gate, budget, front = asyncio.Event(), testbed.node.budget, testbed.node.front
        testbed.upstreams[0].script = respond_after(gate, reply())
        reader, writer = await testbed.connect()
        writer.write(request())
        await wait_until(lambda: testbed.upstreams[0].received)
        (client,) = front.clients
        budget.limit = 0
        writer.write(request() + request("pay", b"b" * 5000)[:-1000])
        await wait_until(lambda: client in front.paused_clients)
        budget.limit = LIMIT_BYTES
        await wait_until(lambda: not front.paused_clients)  # read on behind the request that is being served
        writer.write(b"b" * 1000)
        await wait_until(lambda: len(client.pipelined_requests) == 2)
        gate.set()
        for _ in range(3):
            assert (await asyncio.wait_for(read_message(reader), 2)).status == 200
        assert budget.used == 0
