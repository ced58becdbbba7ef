"""The time that an upstream is told: at most what its client has left as the bytes leave, 0.15 s of slack."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, NamedTuple

import pytest
import uvloop
from extproc_site import ExtprocSite, RawStream, immediate_status, request_headers
from helpers import UNSAFE, attempt_ended, sends, started_balancer, submit, use_all_servers
from hold_ups import HoldUps
from peers import (
    SETTINGS,
    BalancerTestbed,
    Message,
    async_test,
    never_responds,
    read_message,
    reply,
    request,
    wait_until,
)

from quartzford.backends.http_attempt import Attempt
from quartzford.backends.upstream_connection import Connection
from quartzford.fronts.extproc import server
from quartzford.fronts.extproc.decision_messages import Reply
from quartzford.fronts.extproc.messages import ReplyWriter

SLACK_S = 0.15  # of the rule, and for as long a balancer may be held up between its clock and a write
TRANSIT_S = 0.02  # from the balancer's write to this test's clock


class ReceivedAttempt(NamedTuple):
    """One attempt as its upstream sees it: when its last byte came, and the seconds that it was told."""

    at: float
    left: float


def seconds(message: Message) -> float:
    text = message.fields["x-time-left"]
    assert text.endswith("u")
    return int(text[:-1]) / 1e6


def noting(
    received_attempts: list[ReceivedAttempt], then: Callable[[Message, asyncio.StreamWriter], Awaitable[None]]
) -> Callable[[Message, asyncio.StreamWriter], Awaitable[None]]:
    async def script(message: Message, writer: asyncio.StreamWriter) -> None:
        received_attempts.append(ReceivedAttempt(time.monotonic(), seconds(message)))
        await then(message, writer)

    return script


async def serves(message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(reply())


async def breaks(message: Message, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


def assert_kept(
    received_attempts: list[ReceivedAttempt], requested_at: float, left: float, slack: float
) -> None:
    """slack: so much of the rule's slack may be used, and what the machine held this process up."""
    for attempt in received_attempts:
        assert 0 < attempt.left <= requested_at + left - attempt.at + slack


def hold_up(monkeypatch: pytest.MonkeyPatch, hold_ups: HoldUps) -> None:
    """The loop stands still between the last look at the clock and each write to an upstream."""
    send = Connection.send

    def held(self: Connection, head: bytes, body: bytes | bytearray) -> None:
        hold_ups.hold(SLACK_S)
        send(self, head, body)

    monkeypatch.setattr(Connection, "send", held)


def narrow(monkeypatch: pytest.MonkeyPatch) -> None:
    """The system takes little for an upstream that does not read."""
    connected = Connection.connection_made

    def narrowed(self: Connection, transport: asyncio.BaseTransport) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connected(self, transport)

    monkeypatch.setattr(Connection, "connection_made", narrowed)


async def listening(testbed: BalancerTestbed, backlog: int, window: int = 0) -> socket.socket:
    """A listener in the place of the only upstream. window: bytes that it takes unread, 0 for the usual."""
    server = socket.socket()
    if window:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    server.bind(("127.0.0.1", 0))
    server.listen(backlog)
    server.setblocking(False)
    testbed.upstreams[0].port = server.getsockname()[1]
    testbed.update(testbed.list_row(0))
    await wait_until(lambda: testbed.node.pool.upstreams["s0"].address[1] == testbed.upstreams[0].port)
    return server


async def read_all(sock: socket.socket) -> bytes:
    """Up to its end, clean or not."""
    got = b""
    with suppress(ConnectionResetError):
        while piece := await asyncio.get_running_loop().sock_recv(sock, 1_000_000):
            got += piece
    return got


@async_test
async def test_behind_a_connection_that_came_up_late() -> None:
    """The upstream's listen queue is full: the kernel's second try comes a second after the first."""
    loop = asyncio.get_running_loop()
    limits = SETTINGS["limits"] | {"connectTimeoutMs": 2500.0}
    async with BalancerTestbed(limits=limits) as testbed, HoldUps() as hold_ups:
        server = await listening(testbed, backlog=0)
        queued = socket.create_connection(server.getsockname())
        requested_at = time.monotonic()
        answer = asyncio.ensure_future(testbed.submit(request("pay", b"", time_left="2900m")))
        await wait_until(lambda: testbed.node.pool.pending_connects)
        (await loop.sock_accept(server))[0].close()
        reader, writer = await asyncio.open_connection(sock=(await loop.sock_accept(server))[0])
        message = await read_message(reader)
        received_attempts = ReceivedAttempt(time.monotonic(), seconds(message))
        assert received_attempts.at - requested_at > 0.5
        assert_kept([received_attempts], requested_at, 2.9, TRANSIT_S + hold_ups.unplanned_s)
        writer.write(reply())
        assert (await answer).status == 200
        queued.close()
        writer.close()
        server.close()


@pytest.mark.parametrize("size", [50_000, 12_000_000])
def test_behind_a_body_that_is_written_slowly(size: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """What is told holds at the request's last byte, or that byte never leaves."""

    async def test() -> None:
        async with BalancerTestbed() as testbed, HoldUps() as hold_ups:
            server = await listening(testbed, backlog=8, window=2048)
            requested_at = time.monotonic()
            answer = asyncio.ensure_future(testbed.submit(request("pay", b"b" * size, time_left="1500m")))
            sock, _ = await asyncio.get_running_loop().sock_accept(server)
            await asyncio.sleep(0.9)  # unread for longer than what may be told late
            head, _, body = (await read_all(sock)).partition(b"\r\n\r\n")
            received = time.monotonic()
            left = int(head.partition(b"X-Time-Left: ")[2].partition(b"u")[0]) / 1e6
            slack = TRANSIT_S + hold_ups.unplanned_s
            assert len(body) < size or 0 < left <= requested_at + 1.5 - received + slack
            assert (await answer).status == 503 and testbed.outcomes()[0] == "connect_failed"
            sock.close()
            server.close()

    narrow(monkeypatch)
    uvloop.run(test())


@pytest.mark.parametrize("held", [False, True])
def test_at_every_attempt(held: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """held: with 0.15 s between each look at the clock and its write, which is all the slack there is."""

    async def test() -> None:
        async with BalancerTestbed(3) as testbed, HoldUps() as hold_ups:
            if held:
                hold_up(monkeypatch, hold_ups)
            received_attempts: list[ReceivedAttempt] = []
            for up in testbed.upstreams[:2]:
                up.script = noting(received_attempts, breaks)
            testbed.upstreams[2].script = noting(received_attempts, serves)
            for left in (0.9, 0.4):
                received_attempts.clear()
                requested_at = time.monotonic()
                await testbed.submit(request(time_left=f"{int(left * 1000)}m"))
                assert received_attempts
                assert_kept(
                    received_attempts,
                    requested_at,
                    left,
                    (SLACK_S if held else TRANSIT_S) + hold_ups.unplanned_s,
                )

    uvloop.run(test())


# ---- very little time left


@async_test
async def test_with_very_little_time_left_nothing_odd_follows() -> None:
    """An upstream may drop such a request unanswered: it isn't blamed, and an unsafe one goes nowhere."""
    async with BalancerTestbed(2) as testbed:
        assert (await testbed.submit(request())).status == 200
        for up in testbed.upstreams:
            up.received.clear()
            up.script = never_responds
        for left in ("0m", "0u", "1u", "900u", "1m", "2m", "5m", "20m", "0.5m"):
            before = sum(len(up.received) for up in testbed.upstreams)
            answer = await testbed.submit(request("pay", b"", time_left=left))
            assert answer.status in (502, 503)
            assert sum(len(up.received) for up in testbed.upstreams) <= before + 1
        for up in testbed.upstreams:
            assert all(0 < seconds(message) <= 0.02 for message in up.received)
        assert not any(server.failure_rate for server in testbed.node.engine.balancer.ready)


@async_test
async def test_a_request_whose_time_ran_out_behind_another_is_not_sent() -> None:
    """The second of two on one connection waits for longer than its own time."""
    async with BalancerTestbed(2) as testbed:
        gate = asyncio.Event()

        async def waits(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(reply())

        for up in testbed.upstreams:
            up.script = waits
        reader, writer = await testbed.connect()
        writer.write(request("pay", b"") + request("pay", b"", time_left="50m"))
        await wait_until(lambda: any(client.waiting for client in testbed.node.front.clients))
        (client,) = testbed.node.front.clients
        late = client.waiting[0][0].deadline
        await wait_until(lambda: testbed.node.clock.now() > late)
        gate.set()
        assert (await read_message(reader)).status == 200
        assert (await read_message(reader)).status == 503
        assert sum(len(up.received) for up in testbed.upstreams) == 1
        assert testbed.outcomes() == ["ok"]


@pytest.mark.parametrize("place", [(Attempt, "start"), (Connection, "begin")])
def test_an_attempt_held_up_past_its_time_is_not_begun(
    place: tuple[Any, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Before its connection is looked for, or right before the write: nobody hears of it, or is blamed."""
    owner, name = place
    usual = getattr(owner, name)

    def late(*arguments: Any) -> None:
        time.sleep(SLACK_S)
        usual(*arguments)

    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            assert (await testbed.submit(request("pay", b"", time_left="100m"))).status == 503
            assert set(testbed.outcomes()) == {"moot"}
            assert not any(up.received for up in testbed.upstreams)

    monkeypatch.setattr(owner, name, late)
    uvloop.run(test())


@pytest.mark.parametrize("code", ["timeout", "reset", "connect_failed"])
def test_an_attempt_shorter_than_an_answer_takes_blames_nobody(code: str) -> None:
    balancer = use_all_servers(started_balancer(2))
    for number, budget in enumerate((10.0, 400.0)):
        (send,) = sends(submit(balancer, 0.0, number, UNSAFE.name, budget))
        spent = budget if code != "reset" else 1.0
        balancer.handle(budget, attempt_ended(send, 0, code, spent))
        blamed = balancer.servers[send.server].failure_rate > 0
        assert blamed == (budget > UNSAFE.latency_objective_ms)


# ---- the external processor


def timeouts_of(raw: RawStream) -> tuple[float, float]:
    """Seconds that the server is told, and that the caller is to wait."""
    left = raw.headers.get("x-time-left")
    assert left.endswith("m")
    return int(left[:-1]) / 1000.0, int(raw.headers.get("x-envoy-upstream-rq-timeout-ms")) / 1000.0


@pytest.mark.parametrize("again", [False, True])
def test_what_the_external_processor_tells_holds_as_it_leaves(
    again: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A worker has the decision 0.08 s later, and is held up by 0.15 s between its clock and its write."""
    replied, write = server.ExtprocStream._replied, ReplyWriter.write

    def later(self: server.ExtprocStream, reply: Reply) -> None:
        asyncio.get_running_loop().call_later(0.08, replied, self, reply)

    async def test() -> None:
        async with ExtprocSite(2) as site, HoldUps() as hold_ups:

            def held(self: ReplyWriter, reply: Reply, now: float) -> bytes:
                message = write(self, reply, now)
                hold_ups.hold(SLACK_S)
                return message

            caller, rows = site.caller(), request_headers("c1", "read", left_s=1.5)
            requested_at = time.monotonic()
            raw = RawStream(caller)
            if again:
                await raw.submit(rows)
                await raw.report(503, ("x-unprocessed", "1"))
                rows, raw = [*rows, raw.token()], RawStream(caller)
            monkeypatch.setattr(server.ExtprocStream, "_replied", later)
            monkeypatch.setattr(ReplyWriter, "write", held)
            await raw.submit(rows)
            left, time_out = timeouts_of(raw)
            assert 0 < left <= time_out
            assert left <= requested_at + 1.5 - time.monotonic() + SLACK_S + hold_ups.unplanned_s

    uvloop.run(test())


@async_test
async def test_with_very_little_time_left_a_caller_never_gets_a_timeout_of_0() -> None:
    async with ExtprocSite(2) as site:
        caller = site.caller()
        for number, left in enumerate(("0m", "1u", "900u", "1m", "2m", "4m")):
            raw = RawStream(caller)
            rows = [row for row in request_headers(f"c{number}", "pay") if row[0] != "x-time-left"]
            reply = await raw.submit([*rows, ("x-time-left", left)])
            if immediate_status(reply):
                assert immediate_status(reply) == 503
            else:
                assert min(timeouts_of(raw)) >= 0.001
                raw.drop()
        assert not any(server.failure_rate for server in site.node.engine.balancer.ready)
