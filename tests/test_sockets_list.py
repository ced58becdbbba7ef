"""The list of upstreams over loopback: changes, gaps, restarts, and a discovery that misbehaves."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any

import pytest
import uvloop
from peers import Message, Peer, World, read_message, reply, request, run, says, silent, until

from quartzford import node
from quartzford.decision import interface as io
from quartzford.membership import call_policy, list_call
from quartzford.membership.listing import read_listing


def ready(world: World) -> set[str]:
    return {name for name, up in world.node.pool.upstreams.items() if up.ready}


@run
async def test_changes_drains_removals_and_complete_lists_are_followed() -> None:
    async with World(3) as world:
        assert ready(world) == {"s0", "s1", "s2"}
        world.update(world.host(0, "draining"))
        await until(lambda: ready(world) == {"s1", "s2"})
        world.update(world.host(1, "gone"))
        await until(lambda: ready(world) == {"s2"})
        for _ in range(5):
            assert (await world.submit(request())).status == 200
        assert [len(up.received) for up in world.upstreams] == [0, 0, 5]
        world.update(world.host(1), complete=True)
        await until(lambda: ready(world) == {"s1"})
        hows = [e.kind for e in world.events if isinstance(e, io.EndpointListUpdate)]
        assert hows == ["stale", "whole", "changes", "changes", "whole"]


@run
async def test_a_drain_ends_idle_connections_and_lets_what_is_out_finish() -> None:
    async with World(2) as world:
        gate = asyncio.Event()

        async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(reply(b"late"))

        world.upstreams[0].script = world.upstreams[1].script = wait
        asking = asyncio.ensure_future(world.submit(request("pay", b"")))
        await until(lambda: world.upstreams[0].received or world.upstreams[1].received)
        busy = 0 if world.upstreams[0].received else 1
        world.update(world.host(busy, "draining"))
        await until(lambda: len(ready(world)) == 1)
        gate.set()
        assert (await asking).body == b"late"
        await until(lambda: world.upstreams[busy].left == 1)


@pytest.mark.parametrize("how", ["ends", "bad line", "not a host", "version back", "stalls"])
def test_a_watch_that_goes_wrong_is_made_again(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        if how == "stalls":
            monkeypatch.setattr(list_call, "LINE_TIMEOUT_S", 0.3)
        async with World(2) as world:
            before = len(world.discovery.received)
            world.version = 9
            world.current = world.list(world.host(1))
            if how == "ends":
                world.send_chunk(b'{"seq":8,"whole":false,"ho')
                world.watches[-1].transport.abort()
            elif how == "bad line":
                world.send_line("{nonsense")
            elif how == "not a host":
                world.send_line({"seq": 8, "whole": False, "hosts": [{"host": "s0", "health": "unwell"}]})
            elif how == "version back":
                world.send_line({"seq": 0, "whole": False, "hosts": []})
            await until(lambda: ready(world) == {"s1"})
            received = [message.line for message in world.discovery.received[before:]]
            if how in ("ends", "stalls"):
                assert received[0].startswith("GET /catalog/members?stream=1&index=1 ")
            else:
                assert received[0].startswith("GET /catalog/members ")
            assert (await world.submit(request())).status == 200

    uvloop.run(test())


@run
async def test_discovery_that_cannot_be_had_for_a_while() -> None:
    async with World(2) as world:
        port = world.discovery.port
        await world.discovery.stop()
        await until(lambda: world.node.watch.policy.failed_calls > 2)
        assert (await world.submit(request())).status == 200
        world.version, world.current = 5, None
        await world.discovery.start(port)
        await until(lambda: world.node.watch.version == 5)


@run
async def test_the_list_is_heard_before_a_client_is() -> None:
    """A client that knew the process before comes as soon as the address listens. What its list said may be
    long untrue: what the agent holds counts as told from the start, and sends to s0 would break its drain."""
    world = World(2)
    for peer in (*world.upstreams, world.discovery):
        await peer.start()
    world.known = world.list(world.host(0), world.host(1))
    world.version, world.current = 3, world.list(world.host(0, "draining"), world.host(1))
    hold = asyncio.Event()

    async def late(message: Message, writer: asyncio.StreamWriter) -> None:
        await hold.wait()
        await world._discover(message, writer)

    world.discovery.script = late
    entering = asyncio.ensure_future(world.enter())
    await until(lambda: world.discovery.received)
    assert world.node.front.listener is None and not world.node.watch.ever_answered
    hold.set()
    await entering
    assert world.node.front.listener is not None
    for _ in range(20):
        assert (await world.submit(request())).status == 200
    assert [len(up.received) for up in world.upstreams] == [0, 20]
    await world.__aexit__()


def test_sigterm_before_the_first_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """It never listens, and ends without waiting for a list that may not come."""
    monkeypatch.setattr(node, "LISTED_S", 3_600.0)

    async def test() -> None:
        world = World(2)
        for peer in (*world.upstreams, world.discovery):
            await peer.start()
        world.discovery.script = silent
        entering = asyncio.ensure_future(world.enter(wait_for_list=False))
        await until(lambda: world.discovery.received)
        world.node.terminate()
        with pytest.raises(AssertionError):  # the helper's own: there is no server to ask
            await entering
        await world.node.finished
        assert world.node.front.listener is None and not world.node.watch.ever_answered
        for peer in (*world.upstreams, world.discovery):
            await peer.stop()

    uvloop.run(asyncio.wait_for(test(), 30))


def test_a_listener_that_is_taken_over_is_served_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """In its queue lie requests that count as taken: they don't wait for a discovery that says nothing."""
    monkeypatch.setattr(node, "LISTED_S", 3_600.0)

    async def test() -> None:
        world = World(1)
        for peer in (*world.upstreams, world.discovery):
            await peer.start()
        world.discovery.script = silent
        with socket.create_server(("127.0.0.1", 0)) as listener:
            reader, writer = await asyncio.open_connection(*listener.getsockname())
            writer.write(request())
            await world.enter(wait_for_list=False, listener=listener)
            assert (await read_message(reader)).status == 200
            writer.close()
            await world.__aexit__()

    uvloop.run(asyncio.wait_for(test(), 30))


@run
async def test_a_discovery_that_says_nothing_holds_up_the_start_for_a_moment_only() -> None:
    world = World(2)
    for peer in (*world.upstreams, world.discovery):
        await peer.start()
    world.discovery.script = silent
    before = asyncio.get_running_loop().time()
    await world.enter(wait_for_list=False)
    assert asyncio.get_running_loop().time() - before > node.LISTED_S - 0.01
    assert (await world.submit(request())).status == 200
    await world.__aexit__()


@pytest.mark.parametrize("polled", [False, True])
def test_a_list_service_that_is_silent_then_slow_then_well(
    polled: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A start; known is old: its only upstream is gone. In the end the list holds, and nothing was lost."""
    monkeypatch.setattr(call_policy, "ANSWER_S", 0.8)
    monkeypatch.setattr(call_policy, "SHARED_FIRST_LINE_TIMEOUT_S", 0.9)
    monkeypatch.setattr(list_call, "LINE_TIMEOUT_S", 0.9)

    async def test() -> None:
        world = asking() if polled else World()
        world.upstreams.append(Peer(says(reply())))
        for peer in (*world.upstreams, world.discovery):
            await peer.start()
        world.known = world.list(world.host(0))
        world.version, world.current = 4, world.list(world.host(1))

        async def moody(message: Message, writer: asyncio.StreamWriter) -> None:
            received = len(world.discovery.received)
            if received == 1:
                return
            if received == 2:
                await asyncio.sleep(0.2)
            await world._discover(message, writer)

        world.discovery.script = moody
        await world.enter()
        await until(lambda: ready(world) == {"s1"})
        for _ in range(5):
            assert (await world.submit(request())).status == 200
        assert [len(up.received) for up in world.upstreams] == [0, 5] and len(world.discovery.received) == 2
        await world.__aexit__()

    uvloop.run(asyncio.wait_for(test(), 30))


@run
async def test_a_line_without_end_and_an_answer_that_is_no_list() -> None:
    async with World() as world:
        for script in (says(reply(b"", "503 Down")), says(b"garbage\r\n\r\n"), says(b"", close=True)):
            world.discovery.script = script
            before = len(world.discovery.received)
            world.discovery.writers[-1].transport.abort()
            await until(lambda before=before: len(world.discovery.received) > before + 1)  # type: ignore[misc]
        world.discovery.script = world._discover
        watches = len(world.watches)
        await until(lambda: len(world.watches) > watches)
        for _ in range(5):
            world.send_chunk(b"x" * 1_000_000)
        await until(lambda: len(world.watches) > watches + 1)
        assert (await world.submit(request())).status == 200


def asking(**settings: Any) -> World:
    """One service for the whole fleet."""
    return World(registryMode="subscribe", **settings)


@run
async def test_a_shared_list_service_is_called_at_once_by_a_small_fleet_and_again_after_an_end() -> None:
    async with asking() as world:
        watches = len(world.watches)
        assert watches == 1 and world.node.watch.counts["watched"] == 1
        world.watches[-1].transport.abort()
        await until(lambda: len(world.watches) > watches)
        assert world.node.watch.counts["ended closed"] == 1


@run
async def test_a_call_that_was_accepted_is_waited_for_and_a_trickle_is_an_answer() -> None:
    """An agent's silence of 1.5 s ends a call; a service that has a queue is let work."""
    world = asking()
    step = asyncio.Event()

    async def slow(message: Message, writer: asyncio.StreamWriter) -> None:
        loop, began = asyncio.get_running_loop(), asyncio.get_running_loop().time()
        await asyncio.sleep(1.55)
        complete = json.dumps(world.list(world.host(0))).encode() + b"\n"
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number, at in enumerate(range(0, len(complete), 40), 1):
            piece = complete[at : at + 40]
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            await asyncio.sleep(max(0.0, began + 1.55 + 0.05 * number - loop.time()))
        world.watches.append(writer)
        step.set()

    world.discovery.script = slow
    async with world:
        await step.wait()
        await until(lambda: world.node.watch.ever_answered)
        counts = {name: count for name, count in world.node.watch.counts.items() if name != "kept"}
        assert (
            len(world.discovery.received) == 1 and counts == {"watched": 1} and world.node.watch.is_current()
        )


@pytest.mark.parametrize(
    ("field", "least", "most"),
    [
        ("Retry-After: 0.6", 0.6, 5.0),
        ("retry-after: 3600", 0.8, 5.0),
        ("Retry-After: soon", 0.0, 0.6),
        ("", 0.0, 0.6),
    ],
)
def test_a_shared_list_service_says_when_to_come_back(field: str, least: float, most: float) -> None:
    """An hour is more than a balancer may go without asking (here one second)."""

    async def test() -> None:
        world = asking(guarantees={**World().settings["guarantees"], "askEveryMs": 1_000.0})
        received: list[float] = []

        async def busy(message: Message, writer: asyncio.StreamWriter) -> None:
            received.append(asyncio.get_running_loop().time())
            if len(received) > 1:
                return await world._discover(message, writer)
            writer.write(reply(b"", "503 Busy", field + "\r\n" if field else ""))

        world.discovery.script = busy
        async with world:
            assert least - 0.002 <= received[1] - received[0] <= most  # the loop's clock counts milliseconds

    uvloop.run(test())


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"[]",
        b"3",
        b"{}",
        b'{"seq":1,"whole":true}',
        b'{"seq":"1","whole":true,"hosts":[]}',
        b'{"seq":1,"whole":1,"hosts":[]}',
        b'{"seq":1,"whole":true,"hosts":[3]}',
        b"\xff\xfe",
        b"[" * 100_000,
    ],
)
def test_a_malformed_list_is_a_value_error(text: bytes) -> None:
    with pytest.raises(ValueError):
        read_listing(text)


@pytest.mark.parametrize(
    "change",
    [{"health": "odd"}, {"dial": "nowhere"}, {"dial": 5}, {"share": -1}, {"born_ms": "x"}, {"host": ""}],
)
def test_a_malformed_entry_is_a_value_error(change: dict[str, object]) -> None:
    row = {
        "host": "s",
        "dial": "127.0.0.1:80",
        "site": "a",
        "class": "c",
        "block": 0,
        "health": "ready",
        "share": 1.0,
        "born_ms": 0,
    }
    assert read_listing(json.dumps({"seq": 1, "whole": True, "hosts": [row]}).encode()).entries
    with pytest.raises(ValueError):
        read_listing(json.dumps({"seq": 1, "whole": True, "hosts": [row | change]}).encode())


@run
async def test_a_process_that_stood_still_reads_what_has_come_before_it_takes_a_watch_for_silent() -> None:
    """The timer is found far too late: what came meanwhile is unread. Only once: silence goes on to count."""
    async with World(1) as world:
        watch, now = world.node.watch, world.node.clock.now
        call = watch.call
        assert call is not None
        world.node.clock.now = lambda: now() + 10.0  # type: ignore[method-assign]
        call._timed_out()
        world.update(world.host(0, "draining"))
        await until(lambda: watch.version == world.version)
        assert watch.call is call and not watch.counts["ended silent"]
        call._timed_out()
        assert watch.counts["ended silent"] == 1
