"""Operators' calls on the second address: status, metrics, maintenance of upstreams."""

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

ENTER_HEAD = b"PUT /maintenance/enter HTTP/1.1\r\nHost: a\r\n"


@pytest.mark.parametrize("step", [1, 3, 10_000])
@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n", OneCall("GET", "/status", b"")),
        (b"GET /status?x=1 HTTP/1.0\r\n\r\n", OneCall("GET", "/status", b"")),
        (b"GET http://a/status HTTP/1.1\r\nHost: a\r\n\r\n", OneCall("GET", "/status", b"")),
        (ENTER_HEAD + b"Content-Length: 2\r\n\r\ns1", OneCall("PUT", "/maintenance/enter", b"s1")),
        (
            ENTER_HEAD + b"Content-Length: 2\r\n\r\ns1GET / HTTP/1.1\r\n\r\n",
            OneCall("PUT", "/maintenance/enter", b"s1"),
        ),
        (
            ENTER_HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;x=y\r\ns\r\n1\r\n1\r\n0\r\nT: 1\r\n\r\n",
            OneCall("PUT", "/maintenance/enter", b"s1"),
        ),
        (ENTER_HEAD + b"Host: b\r\nContent-Length: 2\r\n\r\ns1", 400),
        (ENTER_HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (ENTER_HEAD + b"Content-Length: -1\r\n\r\n", 400),
        (ENTER_HEAD + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 413),
        (ENTER_HEAD + b"Content-Length: 99999999999999999999\r\n\r\n", (413, 400)),
        (ENTER_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"100\r\n%b\r\n" % (b"x" * 256) * 20, 413),
        (ENTER_HEAD + b"X: " + b"y" * (MAX_HEAD_BYTES + 100), 431),
        (b"\x16\x03\x01\x02\x00\x01\x00", 400),
        (ENTER_HEAD + b"Content-Length: 20\r\n\r\ns1", None),
    ],
)
def test_one_call_split_at_any_position_is_parsed_or_rejected(data: bytes, expected: Any, step: int) -> None:
    reader = Reader()
    for start in range(0, len(data), step):
        reader.feed(data[start : start + step])
    if isinstance(expected, OneCall | None):
        assert (reader.call, reader.error) == (expected, 0)
    else:
        assert reader.call is None and reader.error in (
            expected if isinstance(expected, tuple) else (expected,)
        )


# ---- the decision module


def chosen_servers(balancer: Any, now: float, numbers: range) -> list[str]:
    """Return the servers that the numbered requests are sent to, each answered after 1 ms."""
    chosen = []
    for number in numbers:
        (send,) = sends(submit(balancer, now, number))
        chosen.append(send.server)
        balancer.handle(now + 1, attempt_ended(send, 0, "ok", 1.0))
    return chosen


@pytest.mark.parametrize(
    "events",
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
    ids=[
        "no event",
        "complete list",
        "ready",
        "drained",
        "removed and listed again",
        "new incarnation",
        "entered twice",
    ],
)
def test_server_in_maintenance_is_excluded_until_returned_with_slow_start(events: list[io.Event]) -> None:
    balancer = started_balancer(4)
    balancer.handle(10.0, io.MaintenanceChange("s0", True))
    for event in events:
        balancer.handle(20.0, event)
    assert "s0" not in chosen_servers(balancer, 30.0, range(200)) and balancer.endpoints.excluded_count() == 1
    balancer.handle(1_000.0, io.MaintenanceChange("s0", False))
    assert balancer.endpoints.excluded_count() == 0
    returned = balancer.servers["s0"]
    assert (
        returned.slow_start_from_ms == 1_000.0
        and 0 < chosen_servers(balancer, 1_100.0, range(200, 300)).count("s0") <= 1
    )
    balancer.handle(1_200.0, io.MaintenanceChange("s0", False))  # a repeated exit starts no second slow start
    assert returned.slow_start_from_ms == 1_000.0 and sum(s.p for s in balancer.ready) == pytest.approx(1.0)


def test_requests_fail_at_deadline_if_last_ready_server_is_in_maintenance() -> None:
    balancer = started_balancer(1)
    balancer.handle(0.0, io.MaintenanceChange("s0", True))
    assert not sends(submit(balancer, 1.0, 1)) and not balancer.ready
    assert final_answers(balancer.handle(900.0, io.Timer(2)))
    balancer.handle(950.0, io.MaintenanceChange("s0", False))
    balancer.handle(951.0, io.EndpointListUpdate("changes", (make_endpoint(0, "draining"),)))
    assert not balancer.ready


def test_keyed_request_with_group_in_maintenance_is_not_sent_elsewhere() -> None:
    balancer = started_balancer(4, classes=(FREE, KEYED_IN_CELL))
    (send,) = sends(submit(balancer, 0.0, 1, "book"))
    cell = balancer.servers[send.server].entry.cell
    for server in list(balancer.servers.values()):
        if server.entry.cell == cell:
            balancer.handle(1.0, io.MaintenanceChange(server.entry.server, True))
    assert not sends(balancer.handle(5.0, attempt_ended(send, 0, "reset", 5.0)))
    assert isinstance(final_answers(balancer.handle(100.0, io.Timer(2)))[0], io.Fail)  # past its window


# ---- on sockets


async def call(testbed: BalancerTestbed, data: bytes) -> Message:
    reader, writer = await asyncio.open_connection("127.0.0.1", operations_port(testbed))
    writer.write(data)
    try:
        return await asyncio.wait_for(read_message(reader), 20)
    finally:
        writer.close()


def operations_port(testbed: BalancerTestbed) -> int:
    assert testbed.node.operations.listener is not None
    return int(testbed.node.operations.listener.sockets[0].getsockname()[1])


async def set_maintenance(testbed: BalancerTestbed, action: str, name: str) -> int:
    head = f"PUT /maintenance/{action} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(name)}\r\n\r\n{name}"
    return (await call(testbed, head.encode())).status


async def metrics(testbed: BalancerTestbed) -> dict[str, int]:
    body = (await call(testbed, b"GET /status/metrics HTTP/1.1\r\nHost: a\r\n\r\n")).body.decode()
    pairs = (line.partition("=") for line in body.splitlines())
    return {name: int(value) for name, _, value in pairs}


class OperationsTestbed(BalancerTestbed):
    admin_addr = "127.0.0.1:0"


@async_test
async def test_calls_are_answered_and_invalid_calls_change_nothing() -> None:
    async with OperationsTestbed(2) as testbed:
        status = b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n"
        assert (await call(testbed, status)).status == 200
        for line, expected in (
            (b"GET /else", 404),
            (b"POST /status", 405),
            (b"GET /maintenance/enter", 405),
            (b"DELETE /maintenance/enter", 405),
            (b"PUT /maintenance/enter", 400),
        ):
            assert (await call(testbed, line + b" HTTP/1.1\r\nHost: a\r\n\r\n")).status == expected, line
        assert [
            await set_maintenance(testbed, "enter", "s9"),
            await set_maintenance(testbed, "exit", "s9"),
        ] == [404, 404]
        silent = [await asyncio.open_connection("127.0.0.1", operations_port(testbed)) for _ in range(50)]
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
async def test_upstream_in_maintenance_gets_no_requests_until_returned() -> None:
    async with OperationsTestbed(2) as testbed:
        for up in testbed.upstreams:
            assert await submit_until_received(testbed, up)
        assert [
            await set_maintenance(testbed, "enter", "s0"),
            await set_maintenance(testbed, "enter", "s0"),
        ] == [200, 200]
        received_before = len(testbed.upstreams[0].received)
        await wait_until(
            lambda: testbed.upstreams[0].closed_connections == len(testbed.upstreams[0].writers)
        )  # it has no idle connections left
        testbed.update(testbed.list_row(0), testbed.list_row(1), complete=True)
        await wait_until(lambda: testbed.node.watch.version == testbed.version)
        for _ in range(40):
            assert (await testbed.submit(request())).status == 200
        assert len(testbed.upstreams[0].received) == received_before
        assert (await metrics(testbed))["edge.upstreams_excluded"] == 1
        assert await set_maintenance(testbed, "exit", "s0") == 200
        assert await submit_until_received(testbed, testbed.upstreams[0], received_before)


async def submit_until_received(testbed: BalancerTestbed, up: Any, received_before: int = 0) -> bool:
    for _ in range(2_000):
        assert (await testbed.submit(request())).status == 200
        if len(up.received) > received_before:
            return True
    return False


@async_test
async def test_metrics_match_results_seen_by_clients_and_upstreams() -> None:
    """Covers retries, a client that disconnects, long and truncated answers, and requests that are rejected
    before the decision module or by it.
    """
    async with OperationsTestbed(1) as testbed:
        results = {"served": 0, "refused": 0, "failed": 0}

        async def send_and_count(data: bytes) -> None:
            try:
                status = (await testbed.submit(data)).status
            except asyncio.IncompleteReadError:
                status = 0
            results["served" if status == 200 else "refused" if status in (429, 503) else "failed"] += 1

        long = reply(b"x" * 300_000)
        answers = iter(
            [reply(status="500 No"), reply(b"second"), long, long[:150_000], reply(status="500 No")]
        )

        async def script(message: Message, writer: asyncio.StreamWriter) -> None:
            data = next(answers, b"")
            writer.write(data)
            if data == long[:150_000] or not data:
                writer.close()

        testbed.upstreams[0].script = script
        await send_and_count(request())  # retried after an error
        await send_and_count(request())  # streamed
        await send_and_count(request())  # truncated while it was streamed
        await send_and_count(request("pay", b"p"))  # an error
        await send_and_count(request("pay", b"p"))  # a reset
        await send_and_count(request(time_left="0m"))  # out of time
        await send_and_count(request(fields="X-Big: " + "y" * 40_000 + "\r\n"))  # 431, with a known class
        await send_and_count(request("pay", b"p", "Transfer-Encoding: chunked\r\n"))  # 400: two framings
        await send_and_count(request("pay", fields="Content-Length: 99999999\r\n"))  # 413
        await send_and_count(request("pay", b"half")[:-2])  # 408
        gate = asyncio.Event()

        async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()

        testbed.upstreams[0].script = wait
        received = len(testbed.upstreams[0].received)
        _, client = await testbed.connect()
        client.write(request("pay", b"p"))
        await wait_until(lambda: len(testbed.upstreams[0].received) > received)
        assert (await metrics(testbed))["edge.in_flight"] == 1
        client.transport.abort()
        await wait_until(lambda: not testbed.node.engine.pending_requests)
        shown = await metrics(testbed)
        for result, count in results.items():
            assert sum(shown[f"edge.{result}.{name}"] for name in ("read", "book", "pay")) == count, result
        assert shown["edge.attempts"] == len(testbed.upstreams[0].received)
        assert [shown[f"edge.rejected.{s}"] for s in (400, 408, 413, 431)] == [1] * 4
        assert shown["edge.in_flight"] == 0
        assert shown["edge.upstreams_known"] == 1


@async_test
async def test_without_second_address_there_is_no_second_listener() -> None:
    async with BalancerTestbed(1) as testbed:
        assert testbed.node.operations.listener is None
        with pytest.raises(OSError), socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            other.bind(("127.0.0.1", testbed.port))


@async_test
async def test_operator_calls_are_answered_at_client_and_memory_limits() -> None:
    async with OperationsTestbed(1, sockets=128) as testbed:
        gate = asyncio.Event()

        async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(reply())

        testbed.upstreams[0].script = wait
        asking = []
        for _ in range(testbed.node.front.max_clients + 5):
            asking.append(asyncio.ensure_future(testbed.submit(request("pay", b"p"))))
        await wait_until(lambda: len(testbed.node.front.clients) >= testbed.node.front.max_clients)
        testbed.node.budget.used += testbed.node.budget.limit  # no memory is left for bodies
        began = asyncio.get_running_loop().time()
        assert (await metrics(testbed))["edge.in_flight"] >= 1
        assert (await call(testbed, b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n")).status == 200
        assert (
            await set_maintenance(testbed, "enter", "s0") == 200
            and await set_maintenance(testbed, "exit", "s0") == 200
        )
        assert asyncio.get_running_loop().time() - began < 5.0  # a wide margin: callers wait for one second
        testbed.node.budget.used -= testbed.node.budget.limit
        gate.set()
        await asyncio.gather(*asking)


@async_test
async def test_status_is_not_ready_before_clients_can_connect() -> None:
    """The endpoint list has arrived, but the client address is not listening yet."""
    testbed, resume, begin = OperationsTestbed(1), asyncio.Event(), Node._begin
    status = b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n"

    async def delayed_begin(node: Node, known: Listing) -> None:
        await begin(node, known)
        await resume.wait()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Node, "_begin", delayed_begin)
        starting = asyncio.ensure_future(testbed.__aenter__())
        await wait_until(lambda: hasattr(testbed, "node") and testbed.node.watch.ever_answered)
        assert not testbed.node.front.accepting
        assert (await call(testbed, status)).status == 503
        resume.set()
        await starting
    assert (await call(testbed, status)).status == 200
    await testbed.__aexit__()
