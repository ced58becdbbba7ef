"""What discovery has, and can be reached for, is acted on within six seconds, whatever went before."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from typing import Any

from peers import BalancerTestbed, LoopLag, Message, Peer, async_test, reply, wait_until

TOLD_S = 6.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def drip(writer: asyncio.StreamWriter, text: bytes) -> None:
    """Bytes that go on coming and tell nothing, for longer than anybody may wait."""
    writer.write(HEAD)
    for at in range(50):
        writer.write(chunk(text[at : at + 1] or b"\n"))
        await asyncio.sleep(0.2)


async def accepted(testbed: BalancerTestbed, writer: asyncio.StreamWriter) -> None:
    """Not a byte."""


async def head_only(testbed: BalancerTestbed, writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD)


async def blanks(testbed: BalancerTestbed, writer: asyncio.StreamWriter) -> None:
    await drip(writer, b"")


async def half_a_line(testbed: BalancerTestbed, writer: asyncio.StreamWriter) -> None:
    await drip(writer, b'{"seq":9,"whole":true,"hosts":[' + b" " * 50)


async def turned_away(testbed: BalancerTestbed, writer: asyncio.StreamWriter) -> None:
    writer.write(reply(b"", "503 Busy", "Retry-After: 30\r\n"))


async def reset(testbed: BalancerTestbed, writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + chunk(b'{"seq":9,"wh'))
    await writer.drain()
    writer.transport.abort()


async def closed(testbed: BalancerTestbed, writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + chunk(b'{"seq":9,"whole":true,"hosts":['))
    writer.close()


async def indented(testbed: BalancerTestbed, writer: asyncio.StreamWriter) -> None:
    """The change itself, over many lines, among them one that ends an object within it."""
    assert testbed.served_list is not None
    writer.write(HEAD + chunk(json.dumps(testbed.served_list, indent=2).encode() + b"\n"))


Bad = Callable[[BalancerTestbed, asyncio.StreamWriter], Any]
CALLS: tuple[Bad, ...] = (
    accepted,
    head_only,
    blanks,
    half_a_line,
    turned_away,
    reset,
    closed,
    indented,
)


def site(polled: bool) -> BalancerTestbed:
    mode = "subscribe" if polled else "automatic"
    return BalancerTestbed(2, registryMode=mode, nInstances=200 if polled else 1)


async def drained(testbed: BalancerTestbed) -> float:
    """Until nothing more is sent to what drains, from now on."""
    loop = asyncio.get_running_loop()
    testbed.version += 5
    testbed.served_list = testbed.endpoint_list(testbed.list_row(0, "draining"), testbed.list_row(1))
    before = loop.time()
    await wait_until(lambda: not testbed.node.pool.upstreams["s0"].ready, 20)
    return loop.time() - before


async def after_a_call(bad: Bad, polled: bool) -> float:
    """The watch ends; the call that follows is the bad one, and the change comes just after it was made."""
    async with site(polled) as testbed:
        received = asyncio.Event()

        async def first(message: Message, writer: asyncio.StreamWriter) -> None:
            testbed.discovery.script = testbed._discover
            received.set()
            await asyncio.sleep(0)  # the change is there from now on
            await bad(testbed, writer)

        testbed.discovery.script = first
        testbed.watches[-1].transport.abort()
        await received.wait()
        return await drained(testbed)


async def after_silence(polled: bool) -> float:
    """The watch that stands says nothing more."""
    async with site(polled) as testbed:
        return await drained(testbed)


async def after_a_connect_that_hangs(polled: bool) -> float:
    async with site(polled) as testbed:
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            held = [socket.socket() for _ in range(8)]
            for one in held:
                one.setblocking(False)
                one.connect_ex(full.getsockname())
            well = testbed.node.watch.address
            called = asyncio.Event()

            def hanging() -> tuple[str, int]:
                testbed.node.watch.address = well
                called.set()
                return "127.0.0.1", full.getsockname()[1]

            testbed.node.watch.address = hanging
            testbed.watches[-1].transport.abort()
            await called.wait()
            took = await drained(testbed)
            for one in held:
                one.close()
            return took


async def after_a_move_while_a_call_is_out(polled: bool) -> float:
    async with site(polled) as testbed:
        received = asyncio.Event()

        async def silent(message: Message, writer: asyncio.StreamWriter) -> None:
            received.set()

        testbed.discovery.script = silent
        testbed.watches[-1].transport.abort()
        await received.wait()
        moved = Peer(testbed._discover)
        await moved.start()
        testbed.node.watch.address = lambda: ("127.0.0.1", moved.port)
        testbed.node.watch.follow_address()
        took = await drained(testbed)
        await moved.stop()
        return took


@async_test
async def test_a_change_is_acted_on_within_six_seconds_of_discovery_having_it() -> None:
    """Pushed, and asked by two hundred. Bytes that told nothing kept a call alive for good; Retry-After,
    spread intervals and patience were followed for longer."""
    rows: dict[str, Any] = {}
    for polled in (False, True):
        way = "asked" if polled else "pushed"
        for bad in CALLS:
            rows[f"{way}, {bad.__name__}"] = after_a_call(bad, polled)
        rows[f"{way}, silence"] = after_silence(polled)
        rows[f"{way}, connect"] = after_a_connect_that_hangs(polled)
        rows[f"{way}, move"] = after_a_move_while_a_call_is_out(polled)
    async with LoopLag() as lag:
        took = dict(zip(rows, await asyncio.gather(*rows.values()), strict=True))
    assert not {name: seconds for name, seconds in took.items() if seconds > TOLD_S + 2 * lag.max_lag_s}


@async_test
async def test_names_with_braces_and_lines_that_are_no_object_do_not_hold_up_the_watch() -> None:
    async with BalancerTestbed(2) as testbed:
        odd = testbed.list_row(1) | {"class": 'a"}{'}
        text = json.dumps(testbed.endpoint_list(testbed.list_row(0, "draining"), odd), indent=1)
        testbed.send_chunk(text.encode() + b"\n\n")
        await wait_until(lambda: not testbed.node.pool.upstreams["s0"].ready, 2)
        assert len(testbed.watches) == 1
        testbed.version += 1
        testbed.served_list = testbed.endpoint_list(testbed.list_row(0), testbed.list_row(1))
        testbed.send_line("{nonsense")
        await wait_until(lambda: testbed.node.pool.upstreams["s0"].ready, 2)


@async_test
async def test_a_call_that_is_late_is_kept_beside_the_next_and_the_first_answer_counts() -> None:
    """A service that works through a long queue: to leave it would make its work for nobody."""
    testbed = BalancerTestbed(registryMode="subscribe")
    writers: list[asyncio.StreamWriter] = []

    async def queue(message: Message, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)

    testbed.discovery.script = queue
    for peer in (*testbed.upstreams, testbed.discovery):
        await peer.start()
    await testbed.start_balancer(wait_for_list=False)
    await wait_until(lambda: len(writers) == 2)  # the first one is not answered in its time
    assert testbed.discovery.closed_connections == 0 and not testbed.node.watch.ever_answered
    await testbed._discover(testbed.discovery.received[0], writers[0])
    await wait_until(
        lambda: testbed.node.watch.ever_answered and testbed.discovery.closed_connections == 1
    )  # the second one
    testbed.version = 7
    testbed.send_line(testbed.endpoint_list(testbed.list_row(0)), writers[0])
    await wait_until(lambda: testbed.node.watch.version == 7)
    assert testbed.node.watch.is_current() and testbed.node.watch.late_call is None
    await testbed.__aexit__()
