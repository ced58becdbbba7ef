"""What has been read of is answered before its connection is closed, and the answer arrives."""

from __future__ import annotations

import asyncio
import socket

import pytest
import uvloop
from peers import run, until
from test_endings import read_all
from test_operations import Watched, port_of

from quartzford.fronts import operations

STATUS = b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWERED_S = 3.0  # whoever stops in the middle of a request is answered by then


async def connected(port: int, data: bytes = b"") -> socket.socket:
    """A client whose first bytes lie in the balancer's kernel when the call returns."""
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    if data:
        sock.send(data)
    return sock


async def status_of(sock: socket.socket, seconds: float = ANSWERED_S) -> int:
    """The status of the one answer up to its clean end; 0 for a close without one. A reset is an error."""
    data = await asyncio.wait_for(read_all(sock), seconds)
    sock.close()
    return int(data.split()[1]) if data else 0


# ---- the second address


@run
async def test_an_operators_answer_arrives_though_the_call_goes_on() -> None:
    """It was closed over bytes that nobody had read: a reset took the answer along."""
    async with Watched(1) as world:
        loop = asyncio.get_running_loop()
        head = b"PUT /maintenance/enter HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n"
        sock = await connected(port_of(world), head)
        await until(lambda: world.node.operations.calls)
        (caller,) = world.node.operations.calls
        await until(lambda: caller.answered)
        for _ in range(7):
            await loop.sock_sendall(sock, b"b" * 10_000)  # and only then it looks for an answer
        assert await status_of(sock) == 413
        await until(lambda: not world.node.operations.calls)


@pytest.mark.parametrize("begun", [STATUS[:8], STATUS[:-2] + b"Content-Length: 9\r\n\r\nab"])
def test_an_operator_that_stops_in_the_middle_of_its_call_is_answered_in_time(begun: bytes) -> None:
    async def test() -> None:
        async with Watched(1) as world:
            assert await status_of(await connected(port_of(world), begun)) == 408

    uvloop.run(test())


@run
async def test_half_a_call_that_makes_room_is_told_so() -> None:
    async with Watched(1) as world:
        begun = [await connected(port_of(world), STATUS[:20]) for _ in range(operations.MOST_OPEN)]
        await until(lambda: sum(c.reader.begun for c in world.node.operations.calls) == len(begun))
        sock = await connected(port_of(world), STATUS)
        assert await status_of(begun.pop(0)) == 503
        assert await status_of(sock) == 200
        for sock in begun:
            sock.send(STATUS[20:])
            assert await status_of(sock) == 200


@run
async def test_half_a_call_is_answered_as_the_address_closes() -> None:
    async with Watched(1) as world:
        half, silent = await connected(port_of(world), STATUS[:20]), await connected(port_of(world))
        await until(lambda: [c.reader.begun for c in world.node.operations.calls] == [True, False])
        world.node.operations.stop()
        assert (await status_of(half), await status_of(silent)) == (503, 0)
