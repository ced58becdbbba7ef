"""Troubles beyond the standing days that no other file forces; docs/endings.md names what they stand for."""

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

# ---- upstreams that close, reset or forget a connection at rest


def closes(writer: asyncio.StreamWriter) -> None:
    writer.close()


def resets(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def forgets(writer: asyncio.StreamWriter) -> None:
    """As a middlebox does that dropped its entry: no end is told, and nothing is answered any more."""


async def rest(testbed: BalancerTestbed) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A client that has been served, so that a connection to the upstream rests."""
    reader, writer = await testbed.connect()
    writer.write(request())
    assert (await read_message(reader)).status == 200
    await wait_until(lambda: testbed.node.pool.upstreams["s0"].idle)
    return reader, writer


@pytest.mark.parametrize("name", ["read", "book", "pay"])
@pytest.mark.parametrize("end", [closes, resets, forgets])
def test_a_request_that_crosses_the_end_of_an_upstream_s_resting_connection_gets_its_answer(
    end: Callable[[asyncio.StreamWriter], None], name: str
) -> None:
    """The end and the request lie in the kernel at once. What may be repeated is served; the other at least
    gets its final answer in its time, and nothing runs twice."""

    async def test() -> None:
        async with BalancerTestbed() as testbed, LoopLag() as lag:
            reader, writer = await rest(testbed)
            resting, up = testbed.upstreams[0].writers[-1], testbed.upstreams[0]
            ran: list[str] = []

            async def script(message: Message, answers: asyncio.StreamWriter) -> None:
                if answers is not resting:
                    ran.append(message.line)
                    answers.write(reply(b"served"))

            up.script = script
            before = asyncio.get_running_loop().time()
            writer.write(request(name, None if name == "read" else b"x", time_left="1500m"))
            end(resting)
            answer = await asyncio.wait_for(read_message(reader), 8)
            assert asyncio.get_running_loop().time() - before < 2.0 + 2 * lag.max_lag_s
            assert len(ran) <= 1
            assert answer.status == 200 if name == "read" else answer.status in (200, 502, 503)
            assert (answer.status == 200) == (len(ran) == 1)

    uvloop.run(test())


# ---- retries and hedged requests that fail at once


@pytest.mark.parametrize("count", [1, 3])
def test_attempts_that_all_fail_at_once_end_in_one_final_answer(count: int) -> None:
    """Whatever number of upstreams: each attempt is reset the moment it has been read."""

    async def test() -> None:
        async with BalancerTestbed(count) as testbed:
            for up in testbed.upstreams:
                up.script = drop
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


async def drop(message: Message, writer: asyncio.StreamWriter) -> None:
    resets(writer)


def test_a_hedged_request_whose_second_attempt_fails_at_once_is_still_served() -> None:
    """The first attempt is given up for its latency, the next one is reset, the third is answered."""

    async def test() -> None:
        async with BalancerTestbed(3) as testbed:
            testbed.node.engine.balancer.latency.typical_latencies["read"] = 20.0
            received = 0

            async def script(message: Message, writer: asyncio.StreamWriter) -> None:
                nonlocal received
                received += 1
                if received == 2:
                    resets(writer)
                elif received > 2:
                    writer.write(reply(b"served"))

            for up in testbed.upstreams:
                up.script = script
            answer = await asyncio.wait_for(testbed.submit(request()), 8)
            assert answer.body == b"served" and received == 3

    uvloop.run(test())


# ---- answers without a length


@pytest.mark.parametrize("seed", range(3))
def test_complete_answers_without_a_length_are_forwarded_and_broken_ones_are_not(
    seed: int,
) -> None:
    """Drawn sizes, pieces and pauses. Half of the whole ones are asked for; all are forwarded."""

    async def test() -> None:
        rng = random.Random(seed)
        plans = [(rng.randrange(2), bytes(rng.randrange(1, 30_000))) for _ in range(24)]

        async def script(message: Message, writer: asyncio.StreamWriter) -> None:
            complete, body = plans[int(message.fields["x-number"])]
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            for at in range(0, len(body), 7_000):
                writer.write(body[at : at + 7_000])
                await asyncio.sleep(0.001 * (at % 3))
            (closes if complete else resets)(writer)

        async with BalancerTestbed() as testbed:
            testbed.upstreams[0].script = script
            for number, (complete, body) in enumerate(plans):
                answer = await testbed.submit(request("pay", b"", fields=f"X-Number: {number}\r\n"))
                assert answer.status == (200 if complete else 502)
                assert not complete or answer.body == body

    uvloop.run(test())


# ---- new configurations in a row, and a discovery that is slow


async def slow_discovery(number: int, delay_s: float) -> tuple[BalancerTestbed, Peer]:
    """A list service of its own, with one upstream of the name sNUMBER that says its number."""
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
async def test_configurations_in_quick_succession_end_with_the_last_one_s_list_and_lose_nothing() -> None:
    """Each names a slow discovery of its own; the next comes before, or while, that one answers."""
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
            if number % 2:  # else the next one follows in the same turn
                await wait_until(lambda site=site: site.discovery.received)  # type: ignore[misc]
        last = sites[-1][1]
        await wait_until(lambda: len(last.received) > 20)
        stop.set()
        await asyncio.gather(*clients)
        assert {answer.status for answer in answers} == {200}
        assert set(testbed.node.engine.balancer.servers) == {"s4"}
        assert testbed.discovery.closed_connections == 1  # the watch at the first discovery has ended
        for site, up in sites:
            await site.discovery.stop()
            await up.stop()


# ---- a long outage of discovery


@pytest.mark.parametrize("balancers", [1, 12, 60, 200])
def test_after_ten_minutes_without_discovery_all_have_the_list_as_soon_as_after_a_short_time(
    balancers: int,
) -> None:
    outage = ServiceBehaviour("down 600 s", outages=((0.0, 600.0),))
    row = Model("spread", outage, balancers, until=660.0).run()
    assert row["served"] == balancers and row["all_after_s"] <= bound_s(balancers, outage)
    assert row["most_1s"] <= 2 * CALLS_PER_S


# ---- trouble after a long quiet time


def troubled(quiet_ms: float, code: str, spent_ms: float) -> tuple[int, int]:
    """One of four servers turns bad after a quiet time: attempts that failed, requests not served."""
    balancer, failed, lost = started_balancer(4), 0, 0
    for number in range(400):
        serve_request(balancer, number * 20.0, number)
    begin = 8_000.0 + quiet_ms
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
@pytest.mark.parametrize("quiet_h", [1, 24])
def test_faults_after_a_long_quiet_time_are_met_as_without_one(
    code: str, spent_ms: float, quiet_h: int
) -> None:
    """Nothing that fades or fills while no request comes makes the first moments of trouble worse."""
    failed, lost = troubled(quiet_h * HOUR_MS, code, spent_ms)
    before, _ = troubled(0.0, code, spent_ms)
    assert lost == 0 and failed <= before + 3
