"""The time left that an upstream receives is at most the client's when the request's bytes are sent.

An excess of 0.15 s is tolerated.
"""

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

from quartzford.backends.http_attempt import HttpAttempt
from quartzford.backends.upstream_connection import Connection
from quartzford.fronts.extproc import server
from quartzford.fronts.extproc.decision_messages import Reply
from quartzford.fronts.extproc.messages import ReplyWriter

HOLD_UP_ALLOWANCE_S = 0.15  # of the rule; the longest hold-up between clock reading and write
TRANSIT_S = 0.02  # from the balancer's write to the clock reading of this test


class ReceivedAttempt(NamedTuple):
    """One attempt as its upstream sees it: when its last byte was received, and the stated seconds left."""

    received_at: float
    time_left_s: float


def stated_time_left_s(message: Message) -> float:
    text = message.fields["x-time-left"]
    assert text.endswith("u")
    return int(text[:-1]) / 1e6


def record_then(
    received_attempts: list[ReceivedAttempt], then: Callable[[Message, asyncio.StreamWriter], Awaitable[None]]
) -> Callable[[Message, asyncio.StreamWriter], Awaitable[None]]:
    async def script(message: Message, writer: asyncio.StreamWriter) -> None:
        received_attempts.append(ReceivedAttempt(time.monotonic(), stated_time_left_s(message)))
        await then(message, writer)

    return script


async def respond(message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(reply())


async def abort_connection(message: Message, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


def assert_within_deadline(
    received_attempts: list[ReceivedAttempt], requested_at: float, time_left_s: float, allowance_s: float
) -> None:
    """allowance_s: tolerated excess, of the rule and for hold-ups of this process by the machine."""
    for attempt in received_attempts:
        assert 0 < attempt.time_left_s <= requested_at + time_left_s - attempt.received_at + allowance_s


def hold_up_writes(monkeypatch: pytest.MonkeyPatch, hold_ups: HoldUps) -> None:
    """Hold the loop up between the last reading of the clock and each write to an upstream."""
    send = Connection.send

    def held(self: Connection, head: bytes, body: bytes | bytearray) -> None:
        hold_ups.hold(HOLD_UP_ALLOWANCE_S)
        send(self, head, body)

    monkeypatch.setattr(Connection, "send", held)


def limit_send_buffer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Limit what the kernel buffers for an upstream that does not read."""
    connected = Connection.connection_made

    def narrowed(self: Connection, transport: asyncio.BaseTransport) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connected(self, transport)

    monkeypatch.setattr(Connection, "connection_made", narrowed)


async def listen_as_upstream(testbed: BalancerTestbed, backlog: int, window: int = 0) -> socket.socket:
    """Replace the only upstream by a listener. window: bytes of its receive buffer, 0: the default."""
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
    """Return all bytes up to the end of the connection, clean or not."""
    got = b""
    with suppress(ConnectionResetError):
        while piece := await asyncio.get_running_loop().sock_recv(sock, 1_000_000):
            got += piece
    return got


@async_test
async def test_time_left_after_slow_connect_is_within_deadline() -> None:
    """The upstream's listen queue is full: the kernel retries the connect a second later."""
    loop = asyncio.get_running_loop()
    limits = SETTINGS["limits"] | {"connectTimeoutMs": 2500.0}
    async with BalancerTestbed(limits=limits) as testbed, HoldUps() as hold_ups:
        server = await listen_as_upstream(testbed, backlog=0)
        queued = socket.create_connection(server.getsockname())
        requested_at = time.monotonic()
        answer = asyncio.ensure_future(testbed.submit(request("pay", b"", time_left="2900m")))
        await wait_until(lambda: testbed.node.pool.pending_connects)
        (await loop.sock_accept(server))[0].close()
        reader, writer = await asyncio.open_connection(sock=(await loop.sock_accept(server))[0])
        message = await read_message(reader)
        received_attempts = ReceivedAttempt(time.monotonic(), stated_time_left_s(message))
        assert received_attempts.received_at - requested_at > 0.5
        assert_within_deadline([received_attempts], requested_at, 2.9, TRANSIT_S + hold_ups.unplanned_s)
        writer.write(reply())
        assert (await answer).status == 200
        queued.close()
        writer.close()
        server.close()


@pytest.mark.parametrize("size", [50_000, 12_000_000])
def test_time_left_with_slowly_written_body_is_within_deadline(
    size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The stated time left is valid when the request's last byte is sent, or that byte is never sent."""

    async def test() -> None:
        async with BalancerTestbed() as testbed, HoldUps() as hold_ups:
            server = await listen_as_upstream(testbed, backlog=8, window=2048)
            requested_at = time.monotonic()
            answer = asyncio.ensure_future(testbed.submit(request("pay", b"b" * size, time_left="1500m")))
            sock, _ = await asyncio.get_running_loop().sock_accept(server)
            await asyncio.sleep(0.9)  # unread for longer than the tolerated excess
            head, _, body = (await read_all(sock)).partition(b"\r\n\r\n")
            received = time.monotonic()
            left = int(head.partition(b"X-Time-Left: ")[2].partition(b"u")[0]) / 1e6
            allowance_s = TRANSIT_S + hold_ups.unplanned_s
            assert len(body) < size or 0 < left <= requested_at + 1.5 - received + allowance_s
            assert (await answer).status == 503 and testbed.outcomes()[0] == "connect_failed"
            sock.close()
            server.close()

    limit_send_buffer(monkeypatch)
    uvloop.run(test())


@pytest.mark.parametrize("held", [False, True])
def test_time_left_of_every_attempt_is_within_deadline(held: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """held: with a hold-up of 0.15 s, the whole tolerance, between each clock reading and its write."""

    async def test() -> None:
        async with BalancerTestbed(3) as testbed, HoldUps() as hold_ups:
            if held:
                hold_up_writes(monkeypatch, hold_ups)
            received_attempts: list[ReceivedAttempt] = []
            for up in testbed.upstreams[:2]:
                up.script = record_then(received_attempts, abort_connection)
            testbed.upstreams[2].script = record_then(received_attempts, respond)
            for left in (0.9, 0.4):
                received_attempts.clear()
                requested_at = time.monotonic()
                await testbed.submit(request(time_left=f"{int(left * 1000)}m"))
                assert received_attempts
                assert_within_deadline(
                    received_attempts,
                    requested_at,
                    left,
                    (HOLD_UP_ALLOWANCE_S if held else TRANSIT_S) + hold_ups.unplanned_s,
                )

    uvloop.run(test())


# ---- very little time left


@async_test
async def test_request_with_little_time_left_is_sent_once_and_blames_no_upstream() -> None:
    """An upstream may discard such a request unanswered: it isn't blamed, and an unsafe one isn't retried."""
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
            assert all(0 < stated_time_left_s(message) <= 0.02 for message in up.received)
        assert not any(server.failure_rate for server in testbed.node.engine.balancer.ready)


@async_test
async def test_pipelined_request_expired_while_waiting_is_not_sent() -> None:
    """The second of two pipelined requests waits for longer than its deadline."""
    async with BalancerTestbed(2) as testbed:
        gate = asyncio.Event()

        async def waits(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(reply())

        for up in testbed.upstreams:
            up.script = waits
        reader, writer = await testbed.connect()
        writer.write(request("pay", b"") + request("pay", b"", time_left="50m"))
        await wait_until(lambda: any(client.pipelined_requests for client in testbed.node.front.clients))
        (client,) = testbed.node.front.clients
        late = client.pipelined_requests[0][0].deadline
        await wait_until(lambda: testbed.node.clock.now() > late)
        gate.set()
        assert (await read_message(reader)).status == 200
        assert (await read_message(reader)).status == 503
        assert sum(len(up.received) for up in testbed.upstreams) == 1
        assert testbed.outcomes() == ["ok"]


@pytest.mark.parametrize("place", [(HttpAttempt, "start"), (Connection, "attach")])
def test_attempt_held_up_past_timeout_is_not_begun(
    place: tuple[Any, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """An attempt held up at its start or right before the write reaches no upstream, and blames none."""
    owner, name = place
    usual = getattr(owner, name)

    def late(*arguments: Any) -> None:
        time.sleep(HOLD_UP_ALLOWANCE_S)
        usual(*arguments)

    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            assert (await testbed.submit(request("pay", b"", time_left="100m"))).status == 503
            assert set(testbed.outcomes()) == {"moot"}
            assert not any(up.received for up in testbed.upstreams)

    monkeypatch.setattr(owner, name, late)
    uvloop.run(test())


@pytest.mark.parametrize("code", ["timeout", "reset", "connect_failed"])
def test_failure_of_attempt_below_latency_objective_blames_no_server(code: str) -> None:
    balancer = use_all_servers(started_balancer(2))
    for number, budget in enumerate((10.0, 400.0)):
        (send,) = sends(submit(balancer, 0.0, number, UNSAFE.name, budget))
        spent = budget if code != "reset" else 1.0
        balancer.handle(budget, attempt_ended(send, 0, code, spent))
        blamed = balancer.servers[send.server].failure_rate > 0
        assert blamed == (budget > UNSAFE.latency_objective_ms)


# ---- the external processor


def read_timeouts(raw: RawStream) -> tuple[float, float]:
    """Return the time left stated to the server and the caller's time-out, in seconds."""
    left = raw.headers.get("x-time-left")
    assert left.endswith("m")
    return int(left[:-1]) / 1000.0, int(raw.headers.get("x-envoy-upstream-rq-timeout-ms")) / 1000.0


@pytest.mark.parametrize("again", [False, True])
def test_timeouts_of_external_processor_are_valid_when_written(
    again: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A worker gets the decision 0.08 s late, and is held up for 0.15 s between clock reading and write."""
    replied, write = server.ExtprocStream._replied, ReplyWriter.write

    def later(self: server.ExtprocStream, reply: Reply) -> None:
        asyncio.get_running_loop().call_later(0.08, replied, self, reply)

    async def test() -> None:
        async with ExtprocSite(2) as site, HoldUps() as hold_ups:

            def held(self: ReplyWriter, reply: Reply, now: float) -> bytes:
                message = write(self, reply, now)
                hold_ups.hold(HOLD_UP_ALLOWANCE_S)
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
            left, time_out = read_timeouts(raw)
            assert 0 < left <= time_out
            assert left <= requested_at + 1.5 - time.monotonic() + HOLD_UP_ALLOWANCE_S + hold_ups.unplanned_s

    uvloop.run(test())


@async_test
async def test_caller_with_little_time_left_gets_no_zero_timeout() -> None:
    async with ExtprocSite(2) as site:
        caller = site.caller()
        for number, left in enumerate(("0m", "1u", "900u", "1m", "2m", "4m")):
            raw = RawStream(caller)
            rows = [row for row in request_headers(f"c{number}", "pay") if row[0] != "x-time-left"]
            reply = await raw.submit([*rows, ("x-time-left", left)])
            if immediate_status(reply):
                assert immediate_status(reply) == 503
            else:
                assert min(read_timeouts(raw)) >= 0.001
                raw.drop()
        assert not any(server.failure_rate for server in site.node.engine.balancer.ready)
