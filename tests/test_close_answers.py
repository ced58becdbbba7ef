"""What has been read of is answered before its connection is closed, and the answer arrives."""

from __future__ import annotations

import asyncio
import socket

import pytest
import uvloop
from peers import SETTINGS, BalancerTestbed, async_test, read_message, reply, request, wait_until
from test_endings import gated, read_all
from test_operations import Watched, port_of
from test_relay_server import PATH, Site, site

from quartzford.fronts import operations
from quartzford.fronts.http_front import MAX_LINGERING
from quartzford.relay.connection import CallState

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


# ---- clients


def half_a_request(cut: int = -10) -> bytes:
    return request("pay", b"b" * 30)[:cut]


@pytest.mark.parametrize("cut", [20, -10])
def test_half_a_request_that_makes_room_is_answered(cut: int) -> None:
    """It was reset: something of it had been read, and it got no answer."""

    async def test() -> None:
        async with BalancerTestbed() as testbed:
            front = testbed.node.front
            front.max_clients = 3
            begun = [await connected(testbed.port, half_a_request(cut)) for _ in range(front.max_clients)]
            await wait_until(lambda: sum(c.has_partial_request() for c in front.clients) == len(begun))
            newcomer = await connected(testbed.port, request())
            assert await status_of(begun.pop(0)) == 503
            assert (await asyncio.get_running_loop().sock_recv(newcomer, 65536)).startswith(b"HTTP/1.1 200")
            for sock in begun:
                sock.send(request("pay", b"b" * 30)[cut:])
                assert (await asyncio.get_running_loop().sock_recv(sock, 65536)).startswith(b"HTTP/1.1 200")
                sock.close()
            newcomer.close()

    uvloop.run(test())


@async_test
async def test_a_crowd_of_half_requests_is_answered_within_the_bound_on_connections() -> None:
    async with BalancerTestbed() as testbed:
        front = testbed.node.front
        front.max_clients = 3
        most_open = 0
        begun: list[socket.socket] = []
        for _ in range(60):
            begun.append(await connected(testbed.port, half_a_request()))
            await asyncio.sleep(0)
            most_open = max(most_open, len(front.clients))
        answered = [await status_of(sock) for sock in begun]
        assert set(answered) <= {503, 408, 0} and answered.count(0) <= 60 - front.max_clients - MAX_LINGERING
        assert most_open <= front.max_clients + MAX_LINGERING + 1


@async_test
async def test_half_a_request_that_memory_is_too_short_for_is_answered_though_it_goes_on() -> None:
    async with BalancerTestbed() as testbed:
        testbed.node.budget.limit = 0
        sock = await connected(testbed.port, half_a_request())
        await wait_until(lambda: testbed.node.front.unread)
        sock.send(b"b" * 5)  # is left with the system
        assert await status_of(sock) == 503
        await wait_until(lambda: not testbed.node.front.clients)
        assert testbed.node.budget.used == 0


@pytest.mark.parametrize("behind", ["whole ones", "a half one", "none"])
def test_pipelined_requests_that_were_read_are_answered_though_the_process_ends(behind: str) -> None:
    """The first answer said Connection: close, and what had been read behind it was dropped."""

    async def test() -> None:
        async with BalancerTestbed() as testbed:
            gate = asyncio.Event()
            testbed.upstreams[0].script = gated(gate, reply())
            follow = {"whole ones": request() * 4, "a half one": half_a_request(), "none": b"NONE \r\n\r\n"}
            reader, writer = await testbed.connect()
            writer.write(request() + follow[behind])
            await wait_until(lambda: testbed.upstreams[0].received and testbed.node.front.clients)
            (client,) = testbed.node.front.clients
            await wait_until(lambda: len(client.waiting) == 4 or client.in_message or client.error)
            testbed.node.front.draining = True
            gate.set()
            answers = [await read_message(reader)]
            if behind == "a half one":
                writer.write(request("pay", b"b" * 30)[-10:])
            while "connection" not in answers[-1].fields:
                answers.append(await read_message(reader))
            statuses = {"whole ones": [200] * 5, "a half one": [200, 200], "none": [200, 400]}
            assert [answer.status for answer in answers] == statuses[behind]
            assert await reader.read() == b""

    uvloop.run(test())


@pytest.mark.parametrize("cut", [20, -10])
def test_half_a_request_is_answered_before_the_process_ends(cut: int) -> None:
    """A short deadline leaves the process less time than such a client is given; its connection was cut."""

    async def test() -> None:
        classes = [kind | {"deadlineMs": 300.0, "sloMs": 200.0} for kind in SETTINGS["classes"]]
        async with BalancerTestbed(classes=classes) as testbed:
            sock = await connected(testbed.port, half_a_request(cut))
            await wait_until(lambda: any(c.has_partial_request() for c in testbed.node.front.clients))
            testbed.node.terminate()
            await testbed.node.finished
            assert not any(c.has_partial_request() for c in testbed.node.front.clients)
            assert await status_of(sock) == 503

    uvloop.run(test())


# ---- the second address


@async_test
async def test_an_operators_answer_arrives_though_the_call_goes_on() -> None:
    """It was closed over bytes that nobody had read: a reset took the answer along."""
    async with Watched(1) as testbed:
        loop = asyncio.get_running_loop()
        head = b"PUT /maintenance/enter HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n"
        sock = await connected(port_of(testbed), head)
        await wait_until(lambda: testbed.node.operations.calls)
        (caller,) = testbed.node.operations.calls
        await wait_until(lambda: caller.answered)
        for _ in range(7):
            await loop.sock_sendall(sock, b"b" * 10_000)  # and only then it looks for an answer
        assert await status_of(sock) == 413
        await wait_until(lambda: not testbed.node.operations.calls)


@pytest.mark.parametrize("begun", [STATUS[:8], STATUS[:-2] + b"Content-Length: 9\r\n\r\nab"])
def test_an_operator_that_stops_in_the_middle_of_its_call_is_answered_in_time(begun: bytes) -> None:
    async def test() -> None:
        async with Watched(1) as testbed:
            assert await status_of(await connected(port_of(testbed), begun)) == 408

    uvloop.run(test())


@async_test
async def test_an_unfinished_call_that_is_evicted_gets_an_error_answer() -> None:
    async with Watched(1) as testbed:
        begun = [await connected(port_of(testbed), STATUS[:20]) for _ in range(operations.MAX_OPEN_CALLS)]
        await wait_until(lambda: sum(c.reader.begun for c in testbed.node.operations.calls) == len(begun))
        sock = await connected(port_of(testbed), STATUS)
        assert await status_of(begun.pop(0)) == 503
        assert await status_of(sock) == 200
        for sock in begun:
            sock.send(STATUS[20:])
            assert await status_of(sock) == 200


@async_test
async def test_half_a_call_is_answered_as_the_address_closes() -> None:
    async with Watched(1) as testbed:
        half, silent = await connected(port_of(testbed), STATUS[:20]), await connected(port_of(testbed))
        await wait_until(lambda: [c.reader.begun for c in testbed.node.operations.calls] == [True, False])
        testbed.node.operations.stop()
        assert (await status_of(half), await status_of(silent)) == (503, 0)


# ---- the relay

GET = f"GET {PATH} HTTP/1.1\r\nHost: a\r\n"


async def relay_client(here: Site, data: str) -> socket.socket:
    """A connection of whose request something has been read."""
    sock = await connected(here.server.address[1], data.encode())
    await wait_until(lambda: any(connection.bytes_read for connection in here.server.connections))
    return sock


@async_test
async def test_a_relay_s_refusal_arrives_though_the_request_goes_on() -> None:
    async with site() as here:
        sock = await relay_client(here, "GET /else HTTP/1.1\r\n")
        sock.send(b"Content-Length: 99999999\r\n\r\n")
        await wait_until(lambda: all(each.state is CallState.ENDED for each in here.server.connections))
        for _ in range(7):
            await asyncio.get_running_loop().sock_sendall(sock, b"b" * 10_000)
        assert await status_of(sock) == 404
        await wait_until(lambda: not here.server.connections)


@async_test
async def test_who_stops_in_the_middle_of_its_request_to_a_relay_is_answered_in_time() -> None:
    async with site() as here:
        assert await status_of(await relay_client(here, GET)) == 408


@async_test
async def test_half_a_request_is_answered_as_the_relay_ends() -> None:
    async with site() as here:
        half = await relay_client(here, GET)
        stopping = asyncio.ensure_future(here.relay.stop())
        assert await status_of(half) == 503
        await stopping
