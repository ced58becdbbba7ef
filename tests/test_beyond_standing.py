"""Faults that neither the standing test nor another test file covers; docs/endings.md lists them."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest
import uvloop
from helpers import attempt_ended, final_answers, sends, serve_request, started_balancer, submit
from peers import (
    BalancerTestbed,
    LoopLag,
    Message,
    Peer,
    async_test,
    read_message,
    reply,
    request,
    responds_with,
    wait_until,
)

from bench.callmodel import CALLS_PER_S, Model, ServiceBehaviour, bound_s
from quartzford.settings.configuration import read_config

HOUR_MS = 3_600_000.0

# ---- upstreams that close, reset or forget an idle connection


def close(writer: asyncio.StreamWriter) -> None:
    writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def forget(writer: asyncio.StreamWriter) -> None:
    """Act like a middlebox that dropped its entry: the connection is not closed, but no answer arrives."""


async def leave_idle_connection(
    testbed: BalancerTestbed,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Serve one request, so that an idle connection to the upstream remains; return the client's streams."""
    reader, writer = await testbed.connect()
    writer.write(request())
    assert (await read_message(reader)).status == 200
    await wait_until(lambda: testbed.node.pool.upstreams["s0"].idle)
    return reader, writer


@pytest.mark.parametrize("name", ["read", "book", "pay"])
@pytest.mark.parametrize("end_connection", [close, reset, forget])
def test_idle_upstream_connection_ends_as_request_arrives_client_gets_final_answer(
    end_connection: Callable[[asyncio.StreamWriter], None], name: str
) -> None:
    """The end of the connection and the request are in the kernel at the same time. A request that may be
    repeated is served. Any other gets its final answer within its deadline, and no request runs twice.
    """

    async def test() -> None:
        async with BalancerTestbed() as testbed, LoopLag() as lag:
            reader, writer = await leave_idle_connection(testbed)
            idle_connection, up = testbed.upstreams[0].writers[-1], testbed.upstreams[0]
            executed: list[str] = []

            async def script(message: Message, answers: asyncio.StreamWriter) -> None:
                if answers is not idle_connection:
                    executed.append(message.line)
                    answers.write(reply(b"served"))

            up.script = script
            before = asyncio.get_running_loop().time()
            writer.write(request(name, None if name == "read" else b"x", time_left="1500m"))
            end_connection(idle_connection)
            answer = await asyncio.wait_for(read_message(reader), 8)
            assert asyncio.get_running_loop().time() - before < 2.0 + 2 * lag.max_lag_s
            assert len(executed) <= 1
            assert answer.status == 200 if name == "read" else answer.status in (200, 502, 503)
            assert (answer.status == 200) == (len(executed) == 1)

    uvloop.run(test())


# ---- retries and hedged requests that fail immediately


@pytest.mark.parametrize("count", [1, 3])
def test_all_attempts_fail_immediately_client_gets_one_final_answer(count: int) -> None:
    """Each attempt is reset as soon as the upstream has read it, whatever the number of upstreams."""

    async def test() -> None:
        async with BalancerTestbed(count) as testbed:
            for up in testbed.upstreams:
                up.script = reset_attempt
            for name in ("read", "book", "pay"):
                answer = await asyncio.wait_for(
                    testbed.submit(request(name, None if name == "read" else b"")), 8
                )
                assert answer.status in (502, 503)
            runs = [
                m for up in testbed.upstreams for m in up.received if m.fields["x-service-class"] == "pay"
            ]
            assert len(runs) == 1 and not testbed.node.engine.pending_requests

    uvloop.run(test())


async def reset_attempt(message: Message, writer: asyncio.StreamWriter) -> None:
    reset(writer)


def test_hedged_request_second_attempt_fails_immediately_third_is_served() -> None:
    """The first attempt is abandoned for its latency, the second is reset, and the third is answered."""

    async def test() -> None:
        async with BalancerTestbed(3) as testbed:
            testbed.node.engine.balancer.latency.typical_latencies["read"] = 20.0
            received = 0

            async def script(message: Message, writer: asyncio.StreamWriter) -> None:
                nonlocal received
                received += 1
                if received == 2:
                    reset(writer)
                elif received > 2:
                    writer.write(reply(b"served"))

            for up in testbed.upstreams:
                up.script = script
            answer = await asyncio.wait_for(testbed.submit(request()), 8)
            assert answer.body == b"served" and received == 3

    uvloop.run(test())


# ---- responses without a length


@pytest.mark.parametrize("seed", range(3))
def test_responses_without_length_complete_are_forwarded_and_broken_are_not(
    seed: int,
) -> None:
    """Random sizes and pauses; about half of the responses are complete, and all of these are forwarded."""

    async def test() -> None:
        rng = random.Random(seed)
        plans = [(rng.randrange(2), bytes(rng.randrange(1, 30_000))) for _ in range(24)]

        async def script(message: Message, writer: asyncio.StreamWriter) -> None:
            complete, body = plans[int(message.fields["x-number"])]
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            for at in range(0, len(body), 7_000):
                writer.write(body[at : at + 7_000])
                await asyncio.sleep(0.001 * (at % 3))
            (close if complete else reset)(writer)

        async with BalancerTestbed() as testbed:
            testbed.upstreams[0].script = script
            for number, (complete, body) in enumerate(plans):
                answer = await testbed.submit(request("pay", b"", fields=f"X-Number: {number}\r\n"))
                assert answer.status == (200 if complete else 502)
                assert not complete or answer.body == body

    uvloop.run(test())


# ---- successive new configurations with slow discoveries


async def slow_discovery(number: int, delay_s: float) -> tuple[BalancerTestbed, Peer]:
    """Start a list service with one upstream, which is named sNUMBER and answers with its number."""
    site = BalancerTestbed(number + 1)
    up = site.upstreams[number]
    up.script = responds_with(reply(b"%d" % number))
    await up.start()
    site.served_list = site.endpoint_list(site.list_row(number))

    async def late(message: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(delay_s)
        await site._discover(message, writer)

    site.discovery.script = late
    await site.discovery.start()
    return site, up


def config_of(testbed: BalancerTestbed, site: BalancerTestbed) -> Any:
    return read_config(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "discovery": f"127.0.0.1:{site.discovery.port}",
                "seed": "5",
                "limits": {"cores": 1.0, "memory_mb": testbed.memory_mb, "sockets": testbed.sockets},
                "known": site.endpoint_list(),
                "settings": testbed.settings,
            }
        )
    )


@async_test
async def test_successive_configurations_last_list_is_applied_and_no_request_is_lost() -> None:
    """Each configuration names its own slow discovery; the next one follows before or while it answers."""
    async with BalancerTestbed() as testbed:
        sites = [await slow_discovery(number, 0.15) for number in range(1, 5)]
        answers: list[Message] = []
        stop = asyncio.Event()

        async def client() -> None:
            reader, writer = await testbed.connect()
            while not stop.is_set():
                writer.write(request("pay", b"x"))
                answers.append(await read_message(reader))

        clients = [asyncio.ensure_future(client()) for _ in range(4)]
        await wait_until(lambda: len(answers) > 20)
        for number, (site, _) in enumerate(sites):
            testbed.node.reconfigure(config_of(testbed, site))
            if number % 2:  # otherwise the next configuration follows in the same iteration of the event loop
                await wait_until(lambda site=site: site.discovery.received)  # type: ignore[misc]
        last = sites[-1][1]
        await wait_until(lambda: len(last.received) > 20)
        stop.set()
        await asyncio.gather(*clients)
        assert {answer.status for answer in answers} == {200}
        assert set(testbed.node.engine.balancer.servers) == {"s4"}
        assert testbed.discovery.closed_connections == 1  # the watch at the first discovery was closed
        for site, up in sites:
            await site.discovery.stop()
            await up.stop()


# ---- a long outage of discovery


@pytest.mark.parametrize("balancers", [1, 12, 60, 200])
def test_discovery_outage_of_ten_minutes_fleet_recovers_within_bound(
    balancers: int,
) -> None:
    outage = ServiceBehaviour("down 600 s", outages=((0.0, 600.0),))
    row = Model("spread", outage, balancers, until=660.0).run()
    assert row["served"] == balancers and row["all_after_s"] <= bound_s(balancers, outage)
    assert row["most_1s"] <= 2 * CALLS_PER_S


# ---- faults after a long idle time


def failures_after_idle_time(idle_ms: float, code: str, spent_ms: float) -> tuple[int, int]:
    """Let one of four servers fail after an idle time; return the failed attempts and unserved requests."""
    balancer, failed, lost = started_balancer(4), 0, 0
    for number in range(400):
        serve_request(balancer, number * 20.0, number)
    begin = 8_000.0 + idle_ms
    for number in range(200):
        now, attempt = begin + number * 20.0, 0
        actions = submit(balancer, now, 1_000 + number)
        while sends(actions):
            send = sends(actions)[0]
            bad = send.server == "s0"
            failed += bad
            now += spent_ms if bad else 2.0
            result = attempt_ended(send, attempt, code if bad else "ok", spent_ms if bad else 2.0)
            actions = balancer.handle(now, result)
            attempt += 1
        lost += len(final_answers(actions))
    return failed, lost


@pytest.mark.parametrize(("code", "spent_ms"), [("reset", 2.0), ("connect_failed", 2.0), ("timeout", 150.0)])
@pytest.mark.parametrize("idle_h", [1, 24])
def test_faults_after_long_idle_time_handled_as_without_it(code: str, spent_ms: float, idle_h: int) -> None:
    """State that decays or refills without requests must not make the start of a fault worse."""
    failed, lost = failures_after_idle_time(idle_h * HOUR_MS, code, spent_ms)
    before, _ = failures_after_idle_time(0.0, code, spent_ms)
    assert lost == 0 and failed <= before + 3
