"""What goes wrong around a balancer: lists, clocks, signals, peers that break off."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from typing import Any

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
    responds_with,
    wait_until,
)
from test_process import program

from quartzford.decision import interface as io


def ready(testbed: BalancerTestbed) -> set[str]:
    return {name for name, up in testbed.node.pool.upstreams.items() if up.ready}


@pytest.mark.parametrize("how", ["empties", "none ready", "all gone"])
def test_with_nobody_to_send_to_each_request_is_refused_in_its_time(how: str) -> None:
    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            if how == "empties":
                testbed.update(complete=True)
            else:
                health = "draining" if how == "none ready" else "gone"
                testbed.update(*(testbed.list_row(n, health) for n in range(2)))
            await wait_until(lambda: not ready(testbed))
            began = time.monotonic()
            pending = [
                testbed.submit(request(name, b"", time_left="300m")) for name in ("read", "book", "pay") * 3
            ]
            answers = await asyncio.gather(*pending)
            assert {a.status for a in answers} == {503} and time.monotonic() - began > 0.2
            assert (
                not testbed.upstreams[0].received
                and not testbed.upstreams[1].received
                and not testbed.node.engine.pending_requests
            )
            testbed.update(testbed.list_row(1, born=5.0), complete=True)
            await wait_until(lambda: ready(testbed) == {"s1"})
            assert (await testbed.submit(request("pay", b""))).status == 200

    uvloop.run(asyncio.wait_for(test(), 60))


@async_test
async def test_a_new_id_at_the_same_address_is_another_server() -> None:
    """Nothing learnt of the old one and no connection to it goes on."""
    async with BalancerTestbed(1) as testbed:
        testbed.upstreams[0].script = responds_with(reply(b"", "500 Bad"))
        assert (await testbed.submit(request("pay", b""))).status == 502
        assert testbed.node.engine.balancer.servers["s0"].failure_rate > 0
        testbed.update(testbed.list_row(0, host="s9"), complete=True)
        await wait_until(lambda: ready(testbed) == {"s9"})
        await wait_until(lambda: testbed.upstreams[0].closed_connections == len(testbed.upstreams[0].writers))
        assert testbed.node.engine.balancer.servers["s9"].failure_rate == 0.0
        testbed.upstreams[0].script = responds_with(reply())
        assert (await testbed.submit(request("pay", b""))).status == 200
        assert len(testbed.upstreams[0].writers) == 2


@pytest.mark.parametrize("status", ["429 Too Many Requests", "503 Service Unavailable"])
def test_a_discovery_that_rejects_calls_is_polled_less_often_and_the_list_is_kept(status: str) -> None:
    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            testbed.discovery.script = responds_with(reply(b"", status, "Retry-After: 1\r\n"))
            testbed.watches[-1].transport.abort()
            await wait_until(lambda: testbed.node.watch.counts[f"ended {status[:3]}"] >= 4)
            # 50 ms, doubling, each with jitter of a half: the fifth call comes no sooner than this.
            assert testbed.node.watch.policy.failed_calls >= 4 and ready(testbed) == {"s0", "s1"}
            assert (await testbed.submit(request("pay", b""))).status == 200
            testbed.discovery.script = testbed._discover
            watches = len(testbed.watches)
            await wait_until(lambda: len(testbed.watches) > watches)
            await wait_until(lambda: testbed.node.watch.policy.failed_calls == 0)

    uvloop.run(asyncio.wait_for(test(), 60))


WHOLE = reply(b"made once")


@pytest.mark.parametrize("name", ["pay", "book"])
def test_an_answer_that_breaks_off_at_any_byte_has_no_effect_twice(name: str) -> None:
    """Each request has a body of its own, so that an upstream can tell what came twice, and when."""

    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            open_: set[bytes] = set()
            received: list[bytes] = []

            def script(size: int) -> Any:
                async def broken(message: Message, writer: asyncio.StreamWriter) -> None:
                    assert message.body not in open_, "two attempts at once"
                    received.append(message.body)
                    open_.add(message.body)
                    writer.write(WHOLE[:size])
                    await writer.drain()
                    open_.discard(message.body)
                    if size < len(WHOLE):
                        writer.transport.abort()

                return broken

            for size in range(len(WHOLE) + 1):
                testbed.upstreams[0].script = testbed.upstreams[1].script = script(size)
                received.clear()
                body = b"number %d" % size
                answer = await testbed.submit(request(name, body, time_left="1500m"))
                assert set(received) == {body} and len(received) <= (1 if name == "pay" else 4)
                if size == len(WHOLE):
                    assert answer.status == 200 and answer.body == b"made once"
                else:
                    assert answer.status == 502, "a refusal would say that it has not run"
            assert not testbed.node.engine.pending_requests

    uvloop.run(asyncio.wait_for(test(), 60))


@async_test
async def test_a_loop_held_up_by_a_timer_ends_requests_as_the_module_decides() -> None:
    """Their own timers were due meanwhile, and run a turn later than what guards their deadlines."""
    async with BalancerTestbed(2) as testbed:
        testbed.upstreams[0].script = testbed.upstreams[1].script = never_responds
        loop = asyncio.get_running_loop()
        names = ("read", "book", "pay")
        lefts = [f"{600 + 5 * number}m" for number in range(60)]
        pending = [testbed.submit(request(names[n % 3], b"", time_left=left)) for n, left in enumerate(lefts)]
        for number in range(3):
            loop.call_later(0.65 + 0.12 * number, time.sleep, 0.1)
        answers = await asyncio.gather(*pending)
        assert {answer.status for answer in answers[0::3]} == {503}
        assert {answer.status for answer in answers[1::3] + answers[2::3]} == {502}, "it may have run"
        assert not testbed.node.engine.pending_requests


@async_test
async def test_a_loop_frozen_past_the_time_of_its_requests_ends_each_once_and_sends_nothing_after() -> None:
    async with BalancerTestbed(2) as testbed:
        testbed.upstreams[0].script = testbed.upstreams[1].script = never_responds
        clients = [await testbed.connect() for _ in range(24)]
        for number, (_, writer) in enumerate(clients):
            writer.write(request(("read", "book", "pay")[number % 3], b"", time_left="1500m"))
        await wait_until(lambda: sum(len(up.received) for up in testbed.upstreams) == 24)
        sent = [len(up.received) for up in testbed.upstreams]
        time.sleep(1.6)  # noqa: ASYNC251 - a long turn: a list taken in, a collection, a stopped machine
        answers = [await read_message(reader) for reader, _ in clients]
        assert all(answer.status in (502, 503) for answer in answers)
        assert all(a.status == 502 for a in answers[2::3]), "a cobro that may have run"
        assert all(a.status == 503 for a in answers[0::3]), "as the module decides, and not as a last resort"
        assert (
            not testbed.node.engine.balancer.pending_requests
            and testbed.node.engine.balancer.endpoints.shares.total_in_flight == 0
        )
        assert (
            not testbed.node.engine.pending_requests
            and [len(up.received) for up in testbed.upstreams] == sent
        )
        for up in testbed.upstreams:
            up.script = responds_with(reply())
        for _, writer in clients:
            writer.write(request())
        assert [(await read_message(reader)).status for reader, _ in clients] == [200] * 24  # one answer each


@async_test
async def test_clients_that_give_up_early_and_come_again_at_once_leave_nothing_behind() -> None:
    async with BalancerTestbed(2) as testbed:
        testbed.upstreams[0].script = testbed.upstreams[1].script = never_responds
        for round_ in range(30):
            _, writer = await testbed.connect()
            writer.write(request(("read", "book", "pay")[round_ % 3], b""))
            await wait_until(lambda: testbed.node.engine.pending_requests)
            writer.transport.abort()
            await wait_until(lambda: not testbed.node.engine.pending_requests)
        received = sum(len(up.writers) for up in testbed.upstreams)
        await wait_until(lambda: sum(up.closed_connections for up in testbed.upstreams) == received)
        await wait_until(lambda: not testbed.node.pool.connections)  # a peer sees it a turn before
        assert not testbed.node.engine.balancer.pending_requests
        gone = [e for e in testbed.events if isinstance(e, io.ClientDisconnected)]
        assert len(gone) == 30 and not [
            e for e in testbed.events if isinstance(e, io.AttemptEnded) and not e.final
        ]
        assert testbed.node.engine.balancer.endpoints.shares.total_in_flight == 0


@pytest.mark.parametrize("order", [(signal.SIGHUP, signal.SIGTERM), (signal.SIGTERM, signal.SIGHUP)])
def test_a_reload_and_the_end_in_one_turn_lose_nothing(
    tmp_path: Path, order: tuple[signal.Signals, ...]
) -> None:
    async def test() -> None:
        async with program(tmp_path) as it:
            gate = asyncio.Event()

            async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
                await gate.wait()
                writer.write(reply(b"kept"))

            it.up.script = wait
            held = asyncio.ensure_future(it.submit(request("pay", b"")))
            await wait_until(lambda: it.up.received)
            it.process.send_signal(signal.SIGSTOP)
            for number in order:
                it.process.send_signal(number)
            it.process.send_signal(signal.SIGCONT)
            gate.set()
            assert (await held).body == b"kept"
            assert await asyncio.wait_for(it.process.wait(), 20) == 0
            assert len(it.up.received) == 1

    uvloop.run(asyncio.wait_for(test(), 60))
