"""Faults in the environment of a balancer: endpoint lists, clocks, signals, aborted connections."""

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


def ready_upstreams(testbed: BalancerTestbed) -> set[str]:
    return {name for name, up in testbed.node.pool.upstreams.items() if up.ready}


@pytest.mark.parametrize("cause", ["empty list", "none ready", "all gone"])
def test_requests_without_ready_upstream_are_rejected_at_their_deadline(cause: str) -> None:
    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            if cause == "empty list":
                testbed.update(complete=True)
            else:
                health = "draining" if cause == "none ready" else "gone"
                testbed.update(*(testbed.list_row(n, health) for n in range(2)))
            await wait_until(lambda: not ready_upstreams(testbed))
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
            await wait_until(lambda: ready_upstreams(testbed) == {"s1"})
            assert (await testbed.submit(request("pay", b""))).status == 200

    uvloop.run(asyncio.wait_for(test(), 60))


@async_test
async def test_new_name_at_same_address_is_treated_as_new_server() -> None:
    """Learned state of the old server and connections to it must not be used for the new one."""
    async with BalancerTestbed(1) as testbed:
        testbed.upstreams[0].script = responds_with(reply(b"", "500 Bad"))
        assert (await testbed.submit(request("pay", b""))).status == 502
        assert testbed.node.engine.balancer.servers["s0"].failure_rate > 0
        testbed.update(testbed.list_row(0, host="s9"), complete=True)
        await wait_until(lambda: ready_upstreams(testbed) == {"s9"})
        await wait_until(lambda: testbed.upstreams[0].closed_connections == len(testbed.upstreams[0].writers))
        assert testbed.node.engine.balancer.servers["s9"].failure_rate == 0.0
        testbed.upstreams[0].script = responds_with(reply())
        assert (await testbed.submit(request("pay", b""))).status == 200
        assert len(testbed.upstreams[0].writers) == 2


@pytest.mark.parametrize("status", ["429 Too Many Requests", "503 Service Unavailable"])
def test_rejecting_discovery_is_called_less_often_and_list_is_kept(status: str) -> None:
    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            testbed.discovery.script = responds_with(reply(b"", status, "Retry-After: 1\r\n"))
            testbed.watches[-1].transport.abort()
            await wait_until(lambda: testbed.node.watch.counts[f"ended {status[:3]}"] >= 4)
            # The delay starts at 50 ms and doubles, with a jitter of a half: a lower bound of the fifth call.
            assert testbed.node.watch.policy.failed_calls >= 4 and ready_upstreams(testbed) == {"s0", "s1"}
            assert (await testbed.submit(request("pay", b""))).status == 200
            testbed.discovery.script = testbed._discover
            watches = len(testbed.watches)
            await wait_until(lambda: len(testbed.watches) > watches)
            await wait_until(lambda: testbed.node.watch.policy.failed_calls == 0)

    uvloop.run(asyncio.wait_for(test(), 60))


COMPLETE_ANSWER = reply(b"made once")


@pytest.mark.parametrize("name", ["pay", "book"])
def test_answer_truncated_at_any_byte_causes_no_double_effect(name: str) -> None:
    """Each request has a different body, so that upstreams can detect repeated and overlapping attempts."""

    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            in_progress: set[bytes] = set()
            received: list[bytes] = []

            def script(size: int) -> Any:
                async def answer_partly(message: Message, writer: asyncio.StreamWriter) -> None:
                    assert message.body not in in_progress, "two attempts overlap"
                    received.append(message.body)
                    in_progress.add(message.body)
                    writer.write(COMPLETE_ANSWER[:size])
                    await writer.drain()
                    in_progress.discard(message.body)
                    if size < len(COMPLETE_ANSWER):
                        writer.transport.abort()

                return answer_partly

            for size in range(len(COMPLETE_ANSWER) + 1):
                testbed.upstreams[0].script = testbed.upstreams[1].script = script(size)
                received.clear()
                body = b"number %d" % size
                answer = await testbed.submit(request(name, body, time_left="1500m"))
                assert set(received) == {body} and len(received) <= (1 if name == "pay" else 4)
                if size == len(COMPLETE_ANSWER):
                    assert answer.status == 200 and answer.body == b"made once"
                else:
                    assert answer.status == 502, "a 503 would mean that it has not run"
            assert not testbed.node.engine.pending_requests

    uvloop.run(asyncio.wait_for(test(), 60))


@async_test
async def test_requests_after_loop_hold_up_end_as_decision_module_decides() -> None:
    """After a hold-up of the event loop, the requests' own timers run one loop iteration later than the check
    for overdue requests, which must leave the decision to the decision module.
    """
    async with BalancerTestbed(2) as testbed:
        testbed.upstreams[0].script = testbed.upstreams[1].script = never_responds
        loop = asyncio.get_running_loop()
        names = ("read", "book", "pay")
        times_left = [f"{600 + 5 * number}m" for number in range(60)]
        pending = [
            testbed.submit(request(names[n % 3], b"", time_left=left)) for n, left in enumerate(times_left)
        ]
        for number in range(3):
            loop.call_later(0.65 + 0.12 * number, time.sleep, 0.1)
        answers = await asyncio.gather(*pending)
        assert {answer.status for answer in answers[0::3]} == {503}
        assert {answer.status for answer in answers[1::3] + answers[2::3]} == {502}, "these may have run"
        assert not testbed.node.engine.pending_requests


@async_test
async def test_loop_held_up_past_deadlines_ends_each_request_once_without_new_sends() -> None:
    async with BalancerTestbed(2) as testbed:
        testbed.upstreams[0].script = testbed.upstreams[1].script = never_responds
        clients = [await testbed.connect() for _ in range(24)]
        for number, (_, writer) in enumerate(clients):
            writer.write(request(("read", "book", "pay")[number % 3], b"", time_left="1500m"))
        await wait_until(lambda: sum(len(up.received) for up in testbed.upstreams) == 24)
        sent = [len(up.received) for up in testbed.upstreams]
        time.sleep(1.6)  # noqa: ASYNC251 - stands for a long list, a garbage collection, a paused machine
        answers = [await read_message(reader) for reader, _ in clients]
        assert all(answer.status in (502, 503) for answer in answers)
        assert all(a.status == 502 for a in answers[2::3]), "these payments may have run"
        assert all(a.status == 503 for a in answers[0::3]), "decided by the module, not the overdue check"
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
        # Each client gets exactly one answer to each of its requests.
        assert [(await read_message(reader)).status for reader, _ in clients] == [200] * 24


@async_test
async def test_disconnecting_and_reconnecting_clients_leave_no_state() -> None:
    async with BalancerTestbed(2) as testbed:
        testbed.upstreams[0].script = testbed.upstreams[1].script = never_responds
        for round_ in range(30):
            _, writer = await testbed.connect()
            writer.write(request(("read", "book", "pay")[round_ % 3], b""))
            await wait_until(lambda: testbed.node.engine.pending_requests)
            writer.transport.abort()
            await wait_until(lambda: not testbed.node.engine.pending_requests)
        opened_count = sum(len(up.writers) for up in testbed.upstreams)
        await wait_until(lambda: sum(up.closed_connections for up in testbed.upstreams) == opened_count)
        # The peer sees the close one iteration of the event loop earlier.
        await wait_until(lambda: not testbed.node.pool.connections)
        assert not testbed.node.engine.balancer.pending_requests
        disconnects = [e for e in testbed.events if isinstance(e, io.ClientDisconnected)]
        assert len(disconnects) == 30 and not [
            e for e in testbed.events if isinstance(e, io.AttemptEnded) and not e.final
        ]
        assert testbed.node.engine.balancer.endpoints.shares.total_in_flight == 0


@pytest.mark.parametrize("order", [(signal.SIGHUP, signal.SIGTERM), (signal.SIGTERM, signal.SIGHUP)])
def test_reload_and_termination_signals_together_lose_no_request(
    tmp_path: Path, order: tuple[signal.Signals, ...]
) -> None:
    async def test() -> None:
        async with program(tmp_path) as running:
            gate = asyncio.Event()

            async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
                await gate.wait()
                writer.write(reply(b"kept"))

            running.up.script = wait
            pending = asyncio.ensure_future(running.submit(request("pay", b"")))
            await wait_until(lambda: running.up.received)
            running.process.send_signal(signal.SIGSTOP)
            for number in order:
                running.process.send_signal(number)
            running.process.send_signal(signal.SIGCONT)
            gate.set()
            assert (await pending).body == b"kept"
            assert await asyncio.wait_for(running.process.wait(), 20) == 0
            assert len(running.up.received) == 1

    uvloop.run(asyncio.wait_for(test(), 60))
