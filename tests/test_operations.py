"""Operators' calls: the second address, the figures, upstreams out by hand. No bench."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest
from helpers import (
    FREE,
    KEYED_IN_CELL,
    attempt_ended,
    final_answers,
    list_update,
    make_endpoint,
    sends,
    started_balancer,
    submit,
)
from peers import BalancerTestbed, Message, async_test, read_message, reply, request, wait_until

from quartzford.decision import interface as io
from quartzford.membership.listing import Listing
from quartzford.node import Node
from quartzford.protocols.onecall import MAX_BODY_BYTES, MAX_HEAD_BYTES, OneCall, Reader

PUT = b"PUT /maintenance/enter HTTP/1.1\r\nHost: a\r\n"


@pytest.mark.parametrize("step", [1, 3, 10_000])
@pytest.mark.parametrize(
    ("data", "wanted"),
    [
        (b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n", OneCall("GET", "/status", b"")),
        (b"GET /status?x=1 HTTP/1.0\r\n\r\n", OneCall("GET", "/status", b"")),
        (b"GET http://a/status HTTP/1.1\r\nHost: a\r\n\r\n", OneCall("GET", "/status", b"")),
        (PUT + b"Content-Length: 2\r\n\r\ns1", OneCall("PUT", "/maintenance/enter", b"s1")),
        (
            PUT + b"Content-Length: 2\r\n\r\ns1GET / HTTP/1.1\r\n\r\n",
            OneCall("PUT", "/maintenance/enter", b"s1"),
        ),
        (
            PUT + b"Transfer-Encoding: chunked\r\n\r\n1;x=y\r\ns\r\n1\r\n1\r\n0\r\nT: 1\r\n\r\n",
            OneCall("PUT", "/maintenance/enter", b"s1"),
        ),
        (PUT + b"Host: b\r\nContent-Length: 2\r\n\r\ns1", 400),
        (PUT + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (PUT + b"Content-Length: -1\r\n\r\n", 400),
        (PUT + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 413),
        (PUT + b"Content-Length: 99999999999999999999\r\n\r\n", (413, 400)),
        (PUT + b"Transfer-Encoding: chunked\r\n\r\n" + b"100\r\n%b\r\n" % (b"x" * 256) * 20, 413),
        (PUT + b"X: " + b"y" * (MAX_HEAD_BYTES + 100), 431),
        (b"\x16\x03\x01\x02\x00\x01\x00", 400),
        (PUT + b"Content-Length: 20\r\n\r\ns1", None),
    ],
)
def test_one_call_of_a_connection_however_it_is_cut(data: bytes, wanted: Any, step: int) -> None:
    reader = Reader()
    for at in range(0, len(data), step):
        reader.feed(data[at : at + step])
    if isinstance(wanted, OneCall | None):
        assert (reader.call, reader.error) == (wanted, 0)
    else:
        assert reader.call is None and reader.error in (wanted if isinstance(wanted, tuple) else (wanted,))


# ---- the module


def picks(balancer: Any, now: float, numbers: range) -> list[str]:
    """Where so many requests go, each served at once."""
    found = []
    for number in numbers:
        (send,) = sends(submit(balancer, now, number))
        found.append(send.server)
        balancer.handle(now + 1, attempt_ended(send, 0, "ok", 1.0))
    return found


@pytest.mark.parametrize(
    "meanwhile",
    [
        [],
        [list_update(range(4), "whole")],
        [io.EndpointListUpdate("changes", (make_endpoint(0),))],
        [
            io.EndpointListUpdate("changes", (make_endpoint(0, "draining"),)),
            io.EndpointListUpdate("changes", (make_endpoint(0),)),
        ],
        [io.EndpointListUpdate("changes", (make_endpoint(0, "gone"),)), list_update(range(4), "whole")],
        [io.EndpointListUpdate("changes", (make_endpoint(0, started_ms=900.0),))],
        [io.MaintenanceChange("s0", True), io.MaintenanceChange("s0", True)],
    ],
    ids=["calm", "whole", "ready", "drained", "gone and back", "born anew", "twice"],
)
def test_what_is_out_by_hand_stays_out_until_it_is_put_back_cold(meanwhile: list[io.Event]) -> None:
    balancer = started_balancer(4)
    balancer.handle(10.0, io.MaintenanceChange("s0", True))
    for event in meanwhile:
        balancer.handle(20.0, event)
    assert "s0" not in picks(balancer, 30.0, range(200)) and balancer.endpoints.excluded_count() == 1
    balancer.handle(1_000.0, io.MaintenanceChange("s0", False))
    assert balancer.endpoints.excluded_count() == 0
    back = balancer.servers["s0"]
    assert (
        back.slow_start_from_ms == 1_000.0 and 0 < picks(balancer, 1_100.0, range(200, 300)).count("s0") <= 1
    )
    balancer.handle(1_200.0, io.MaintenanceChange("s0", False))  # a second call back: no second newcomer
    assert back.slow_start_from_ms == 1_000.0 and sum(s.p for s in balancer.ready) == pytest.approx(1.0)


def test_the_last_ready_server_out_by_hand_leaves_requests_to_their_end() -> None:
    balancer = started_balancer(1)
    balancer.handle(0.0, io.MaintenanceChange("s0", True))
    assert not sends(submit(balancer, 1.0, 1)) and not balancer.ready
    assert final_answers(balancer.handle(900.0, io.Timer(2)))
    balancer.handle(950.0, io.MaintenanceChange("s0", False))
    balancer.handle(951.0, io.EndpointListUpdate("changes", (make_endpoint(0, "draining"),)))
    assert not balancer.ready


def test_a_keyed_request_whose_group_is_out_is_not_sent_elsewhere() -> None:
    balancer = started_balancer(4, classes=(FREE, KEYED_IN_CELL))
    (send,) = sends(submit(balancer, 0.0, 1, "book"))
    home = balancer.servers[send.server].entry.cell
    for server in list(balancer.servers.values()):
        if server.entry.cell == home:
            balancer.handle(1.0, io.MaintenanceChange(server.entry.server, True))
    assert not sends(balancer.handle(5.0, attempt_ended(send, 0, "reset", 5.0)))
    assert isinstance(final_answers(balancer.handle(100.0, io.Timer(2)))[0], io.Fail)  # past its window


# ---- on sockets


async def call(testbed: BalancerTestbed, data: bytes) -> Message:
    reader, writer = await asyncio.open_connection("127.0.0.1", port_of(testbed))
    writer.write(data)
    try:
        return await asyncio.wait_for(read_message(reader), 20)
    finally:
        writer.close()


def port_of(testbed: BalancerTestbed) -> int:
    assert testbed.node.operations.listener is not None
    return int(testbed.node.operations.listener.sockets[0].getsockname()[1])


async def put(testbed: BalancerTestbed, way: str, name: str) -> int:
    head = f"PUT /maintenance/{way} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(name)}\r\n\r\n{name}"
    return (await call(testbed, head.encode())).status


async def figures(testbed: BalancerTestbed) -> dict[str, int]:
    body = (await call(testbed, b"GET /status/metrics HTTP/1.1\r\nHost: a\r\n\r\n")).body.decode()
    pairs = (line.partition("=") for line in body.splitlines())
    return {name: int(value) for name, _, value in pairs}


class Watched(BalancerTestbed):
    admin_addr = "127.0.0.1:0"


@async_test
async def test_calls_are_answered_and_what_is_no_call_changes_nothing() -> None:
    async with Watched(2) as testbed:
        status = b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n"
        assert (await call(testbed, status)).status == 200
        for line, wanted in (
            (b"GET /else", 404),
            (b"POST /status", 405),
            (b"GET /maintenance/enter", 405),
            (b"DELETE /maintenance/enter", 405),
            (b"PUT /maintenance/enter", 400),
        ):
            assert (await call(testbed, line + b" HTTP/1.1\r\nHost: a\r\n\r\n")).status == wanted, line
        assert [await put(testbed, "enter", "s9"), await put(testbed, "exit", "s9")] == [404, 404]
        silent = [await asyncio.open_connection("127.0.0.1", port_of(testbed)) for _ in range(50)]
        assert (await call(testbed, status)).status == 200
        open_call, reader = silent[-1][1], silent[-1][0]
        open_call.write(status[:10])
        testbed.node.reconfigure(testbed.node.config)  # a reload while a call is open
        open_call.write(status[10:])
        assert (await read_message(reader)).status == 200
        assert not testbed.node.engine.balancer.in_maintenance
        testbed.node.shutting_down = True
        assert (await call(testbed, status)).status == 503
        for _, writer in silent:
            writer.close()


@async_test
async def test_an_upstream_out_by_hand_gets_nothing_and_comes_back() -> None:
    async with Watched(2) as testbed:
        for up in testbed.upstreams:
            assert await poll_until(testbed, up)
        assert [await put(testbed, "enter", "s0"), await put(testbed, "enter", "s0")] == [200, 200]
        before = len(testbed.upstreams[0].received)
        await wait_until(
            lambda: testbed.upstreams[0].closed_connections == len(testbed.upstreams[0].writers)
        )  # nothing rests there
        testbed.update(testbed.list_row(0), testbed.list_row(1), complete=True)
        await wait_until(lambda: testbed.node.watch.version == testbed.version)
        for _ in range(40):
            assert (await testbed.submit(request())).status == 200
        assert len(testbed.upstreams[0].received) == before
        assert (await figures(testbed))["edge.upstreams_excluded"] == 1
        assert await put(testbed, "exit", "s0") == 200
        assert await poll_until(testbed, testbed.upstreams[0], before)


async def poll_until(testbed: BalancerTestbed, up: Any, before: int = 0) -> bool:
    for _ in range(2_000):
        assert (await testbed.submit(request())).status == 200
        if len(up.received) > before:
            return True
    return False


@async_test
async def test_figures_agree_with_what_the_peers_saw() -> None:
    """Retries, a client that leaves, long and broken answers, refusals before the module and by it."""
    async with Watched(1) as testbed:
        saw = {"served": 0, "refused": 0, "failed": 0}

        async def seen(data: bytes) -> None:
            try:
                status = (await testbed.submit(data)).status
            except asyncio.IncompleteReadError:
                status = 0
            saw["served" if status == 200 else "refused" if status in (429, 503) else "failed"] += 1

        long = reply(b"x" * 300_000)
        tries = iter([reply(status="500 No"), reply(b"second"), long, long[:150_000], reply(status="500 No")])

        async def script(message: Message, writer: asyncio.StreamWriter) -> None:
            data = next(tries, b"")
            writer.write(data)
            if data == long[:150_000] or not data:
                writer.close()

        testbed.upstreams[0].script = script
        await seen(request())  # tried again
        await seen(request())  # streamed
        await seen(request())  # broken while it was streamed
        await seen(request("pay", b"p"))  # an error
        await seen(request("pay", b"p"))  # a reset
        await seen(request(time_left="0m"))  # out of time
        await seen(request(fields="X-Big: " + "y" * 40_000 + "\r\n"))  # 431, its class was read
        await seen(request("pay", b"p", "Transfer-Encoding: chunked\r\n"))  # 400: framed in two ways
        await seen(request("pay", fields="Content-Length: 99999999\r\n"))  # 413
        await seen(request("pay", b"half")[:-2])  # 408
        gate = asyncio.Event()

        async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()

        testbed.upstreams[0].script = wait
        received = len(testbed.upstreams[0].received)
        _, leaves = await testbed.connect()
        leaves.write(request("pay", b"p"))
        await wait_until(lambda: len(testbed.upstreams[0].received) > received)
        assert (await figures(testbed))["edge.in_flight"] == 1
        leaves.transport.abort()
        await wait_until(lambda: not testbed.node.engine.pending_requests)
        shown = await figures(testbed)
        for how, count in saw.items():
            assert sum(shown[f"edge.{how}.{name}"] for name in ("read", "book", "pay")) == count, how
        assert shown["edge.attempts"] == len(testbed.upstreams[0].received)
        assert [shown[f"edge.rejected.{s}"] for s in (400, 408, 413, 431)] == [1] * 4
        assert shown["edge.in_flight"] == 0
        assert shown["edge.upstreams_known"] == 1


@async_test
async def test_no_second_address_means_no_second_listener() -> None:
    async with BalancerTestbed(1) as testbed:
        assert testbed.node.operations.listener is None
        with pytest.raises(OSError), socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            other.bind(("127.0.0.1", testbed.port))


@async_test
async def test_operators_are_answered_while_clients_and_memory_are_at_their_bounds() -> None:
    async with Watched(1, sockets=128) as testbed:
        gate = asyncio.Event()

        async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(reply())

        testbed.upstreams[0].script = wait
        asking = []
        for _ in range(testbed.node.front.max_clients + 5):
            asking.append(asyncio.ensure_future(testbed.submit(request("pay", b"p"))))
        await wait_until(lambda: len(testbed.node.front.clients) >= testbed.node.front.max_clients)
        testbed.node.budget.used += testbed.node.budget.limit  # all the memory that there is for bodies
        began = asyncio.get_running_loop().time()
        assert (await figures(testbed))["edge.in_flight"] >= 1
        assert (await call(testbed, b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n")).status == 200
        assert await put(testbed, "enter", "s0") == 200 and await put(testbed, "exit", "s0") == 200
        assert asyncio.get_running_loop().time() - began < 5.0  # generous: one second is what callers wait
        testbed.node.budget.used -= testbed.node.budget.limit
        gate.set()
        await asyncio.gather(*asking)


@async_test
async def test_ready_is_not_said_before_clients_can_connect() -> None:
    """The list is heard, and the address for clients does not listen yet."""
    testbed, goes_on, begin = Watched(1), asyncio.Event(), Node._begin
    status = b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n"

    async def held_up(node: Node, known: Listing) -> None:
        await begin(node, known)
        await goes_on.wait()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Node, "_begin", held_up)
        starting = asyncio.ensure_future(testbed.__aenter__())
        await wait_until(lambda: hasattr(testbed, "node") and testbed.node.watch.ever_answered)
        assert not testbed.node.front.accepting
        assert (await call(testbed, status)).status == 503
        goes_on.set()
        await starting
    assert (await call(testbed, status)).status == 200
    await testbed.__aexit__()
