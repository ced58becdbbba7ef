"""What goes wrong around a balancer: lists, clocks, signals, peers that break off."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from typing import Any

import pytest
import uvloop
from peers import Message, World, read_message, reply, request, run, says, silent, until
from test_process import program

from quartzford.decision import interface as io


def ready(world: World) -> set[str]:
    return {name for name, up in world.node.pool.upstreams.items() if up.ready}


@pytest.mark.parametrize("how", ["empties", "none ready", "all gone"])
def test_with_nobody_to_send_to_each_request_is_refused_in_its_time(how: str) -> None:
    async def test() -> None:
        async with World(2) as world:
            if how == "empties":
                world.update(complete=True)
            else:
                health = "draining" if how == "none ready" else "gone"
                world.update(*(world.host(n, health) for n in range(2)))
            await until(lambda: not ready(world))
            began = time.monotonic()
            pending = [world.submit(request(name, b"", left="300m")) for name in ("read", "book", "pay") * 3]
            answers = await asyncio.gather(*pending)
            assert {a.status for a in answers} == {503} and time.monotonic() - began > 0.2
            assert (
                not world.upstreams[0].received
                and not world.upstreams[1].received
                and not world.node.engine.pending_requests
            )
            world.update(world.host(1, born=5.0), complete=True)
            await until(lambda: ready(world) == {"s1"})
            assert (await world.submit(request("pay", b""))).status == 200

    uvloop.run(asyncio.wait_for(test(), 60))


@run
async def test_a_new_id_at_the_same_address_is_another_server() -> None:
    """Nothing learnt of the old one and no connection to it goes on."""
    async with World(1) as world:
        world.upstreams[0].script = says(reply(b"", "500 Bad"))
        assert (await world.submit(request("pay", b""))).status == 502
        assert world.node.engine.balancer.servers["s0"].failure_rate > 0
        world.update(world.host(0, host="s9"), complete=True)
        await until(lambda: ready(world) == {"s9"})
        await until(lambda: world.upstreams[0].left == len(world.upstreams[0].writers))
        assert world.node.engine.balancer.servers["s9"].failure_rate == 0.0
        world.upstreams[0].script = says(reply())
        assert (await world.submit(request("pay", b""))).status == 200
        assert len(world.upstreams[0].writers) == 2


@pytest.mark.parametrize("status", ["429 Too Many Requests", "503 Service Unavailable"])
def test_a_discovery_that_rejects_calls_is_polled_less_often_and_the_list_is_kept(status: str) -> None:
    async def test() -> None:
        async with World(2) as world:
            world.discovery.script = says(reply(b"", status, "Retry-After: 1\r\n"))
            world.watches[-1].transport.abort()
            await until(lambda: world.node.watch.counts[f"ended {status[:3]}"] >= 4)
            # 50 ms, doubling, each with jitter of a half: the fifth call comes no sooner than this.
            assert world.node.watch.policy.failed_calls >= 4 and ready(world) == {"s0", "s1"}
            assert (await world.submit(request("pay", b""))).status == 200
            world.discovery.script = world._discover
            watches = len(world.watches)
            await until(lambda: len(world.watches) > watches)
            await until(lambda: world.node.watch.policy.failed_calls == 0)

    uvloop.run(asyncio.wait_for(test(), 60))


WHOLE = reply(b"made once")


@pytest.mark.parametrize("name", ["pay", "book"])
def test_an_answer_that_breaks_off_at_any_byte_has_no_effect_twice(name: str) -> None:
    """Each request has a body of its own, so that an upstream can tell what came twice, and when."""

    async def test() -> None:
        async with World(2) as world:
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
                world.upstreams[0].script = world.upstreams[1].script = script(size)
                received.clear()
                body = b"number %d" % size
                answer = await world.submit(request(name, body, left="1500m"))
                assert set(received) == {body} and len(received) <= (1 if name == "pay" else 4)
                if size == len(WHOLE):
                    assert answer.status == 200 and answer.body == b"made once"
                else:
                    assert answer.status == 502, "a refusal would say that it has not run"
            assert not world.node.engine.pending_requests

    uvloop.run(asyncio.wait_for(test(), 60))


@run
async def test_a_loop_held_up_by_a_timer_ends_requests_as_the_module_decides() -> None:
    """Their own timers were due meanwhile, and run a turn later than what guards their deadlines."""
    async with World(2) as world:
        world.upstreams[0].script = world.upstreams[1].script = silent
        loop = asyncio.get_running_loop()
        names = ("read", "book", "pay")
        lefts = [f"{600 + 5 * number}m" for number in range(60)]
        pending = [world.submit(request(names[n % 3], b"", left=left)) for n, left in enumerate(lefts)]
        for number in range(3):
            loop.call_later(0.65 + 0.12 * number, time.sleep, 0.1)
        answers = await asyncio.gather(*pending)
        assert {answer.status for answer in answers[0::3]} == {503}
        assert {answer.status for answer in answers[1::3] + answers[2::3]} == {502}, "it may have run"
        assert not world.node.engine.pending_requests


@run
async def test_a_loop_frozen_past_the_time_of_its_requests_ends_each_once_and_sends_nothing_after() -> None:
    async with World(2) as world:
        world.upstreams[0].script = world.upstreams[1].script = silent
        clients = [await world.connect() for _ in range(24)]
        for number, (_, writer) in enumerate(clients):
            writer.write(request(("read", "book", "pay")[number % 3], b"", left="1500m"))
        await until(lambda: sum(len(up.received) for up in world.upstreams) == 24)
        sent = [len(up.received) for up in world.upstreams]
        time.sleep(1.6)  # noqa: ASYNC251 - a long turn: a list taken in, a collection, a stopped machine
        answers = [await read_message(reader) for reader, _ in clients]
        assert all(answer.status in (502, 503) for answer in answers)
        assert all(a.status == 502 for a in answers[2::3]), "a cobro that may have run"
        assert all(a.status == 503 for a in answers[0::3]), "as the module decides, and not as a last resort"
        assert (
            not world.node.engine.balancer.pending_requests
            and world.node.engine.balancer.endpoints.shares.total_in_flight == 0
        )
        assert not world.node.engine.pending_requests and [len(up.received) for up in world.upstreams] == sent
        for up in world.upstreams:
            up.script = says(reply())
        for _, writer in clients:
            writer.write(request())
        assert [(await read_message(reader)).status for reader, _ in clients] == [200] * 24  # one answer each


@run
async def test_clients_that_give_up_early_and_come_again_at_once_leave_nothing_behind() -> None:
    async with World(2) as world:
        world.upstreams[0].script = world.upstreams[1].script = silent
        for round_ in range(30):
            _, writer = await world.connect()
            writer.write(request(("read", "book", "pay")[round_ % 3], b""))
            await until(lambda: world.node.engine.pending_requests)
            writer.transport.abort()
            await until(lambda: not world.node.engine.pending_requests)
        received = sum(len(up.writers) for up in world.upstreams)
        await until(lambda: sum(up.left for up in world.upstreams) == received)
        await until(lambda: not world.node.pool.connections)  # a peer sees it a turn before
        assert not world.node.engine.balancer.pending_requests
        gone = [e for e in world.events if isinstance(e, io.ClientDisconnected)]
        assert len(gone) == 30 and not [
            e for e in world.events if isinstance(e, io.AttemptEnded) and not e.final
        ]
        assert world.node.engine.balancer.endpoints.shares.total_in_flight == 0


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
            await until(lambda: it.up.received)
            it.process.send_signal(signal.SIGSTOP)
            for number in order:
                it.process.send_signal(number)
            it.process.send_signal(signal.SIGCONT)
            gate.set()
            assert (await held).body == b"kept"
            assert await asyncio.wait_for(it.process.wait(), 20) == 0
            assert len(it.up.received) == 1

    uvloop.run(asyncio.wait_for(test(), 60))
