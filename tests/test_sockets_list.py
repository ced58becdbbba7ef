"""The endpoint list over loopback: changes, gaps, restarts, and a discovery that misbehaves."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any

import pytest
import uvloop
from peers import (
    BalancerTestbed,
    Message,
    Peer,
    async_test,
    never_responds,
    read_message,
    reply,
    request,
    responds_with,
    wait_until,
)

from quartzford import node
from quartzford.decision import interface as io
from quartzford.membership import call_policy, list_call
from quartzford.membership.listing import read_listing


def ready(testbed: BalancerTestbed) -> set[str]:
    return {name for name, up in testbed.node.pool.upstreams.items() if up.ready}


@async_test
async def test_changes_drains_removals_and_complete_lists_are_applied() -> None:
    async with BalancerTestbed(3) as testbed:
        assert ready(testbed) == {"s0", "s1", "s2"}
        testbed.update(testbed.list_row(0, "draining"))
        await wait_until(lambda: ready(testbed) == {"s1", "s2"})
        testbed.update(testbed.list_row(1, "gone"))
        await wait_until(lambda: ready(testbed) == {"s2"})
        for _ in range(5):
            assert (await testbed.submit(request())).status == 200
        assert [len(up.received) for up in testbed.upstreams] == [0, 0, 5]
        testbed.update(testbed.list_row(1), complete=True)
        await wait_until(lambda: ready(testbed) == {"s1"})
        hows = [e.kind for e in testbed.events if isinstance(e, io.EndpointListUpdate)]
        assert hows == ["stale", "whole", "changes", "changes", "whole"]


@async_test
async def test_drain_closes_idle_connections_and_in_flight_attempt_completes() -> None:
    async with BalancerTestbed(2) as testbed:
        gate = asyncio.Event()

        async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(reply(b"late"))

        testbed.upstreams[0].script = testbed.upstreams[1].script = wait
        submission = asyncio.ensure_future(testbed.submit(request("pay", b"")))
        await wait_until(lambda: testbed.upstreams[0].received or testbed.upstreams[1].received)
        busy = 0 if testbed.upstreams[0].received else 1
        testbed.update(testbed.list_row(busy, "draining"))
        await wait_until(lambda: len(ready(testbed)) == 1)
        gate.set()
        assert (await submission).body == b"late"
        await wait_until(lambda: testbed.upstreams[busy].closed_connections == 1)


@pytest.mark.parametrize("how", ["ends", "bad line", "not a host", "version back", "stalls"])
def test_watch_fails_and_is_renewed(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        if how == "stalls":
            monkeypatch.setattr(list_call, "LINE_TIMEOUT_S", 0.3)
        async with BalancerTestbed(2) as testbed:
            before = len(testbed.discovery.received)
            testbed.version = 9
            testbed.served_list = testbed.endpoint_list(testbed.list_row(1))
            if how == "ends":
                testbed.send_chunk(b'{"seq":8,"whole":false,"ho')
                testbed.watches[-1].transport.abort()
            elif how == "bad line":
                testbed.send_line("{nonsense")
            elif how == "not a host":
                testbed.send_line({"seq": 8, "whole": False, "hosts": [{"host": "s0", "health": "unwell"}]})
            elif how == "version back":
                testbed.send_line({"seq": 0, "whole": False, "hosts": []})
            await wait_until(lambda: ready(testbed) == {"s1"})
            received = [message.line for message in testbed.discovery.received[before:]]
            if how in ("ends", "stalls"):
                assert received[0].startswith("GET /catalog/members?stream=1&index=1 ")
            else:
                assert received[0].startswith("GET /catalog/members ")
            assert (await testbed.submit(request())).status == 200

    uvloop.run(test())


@async_test
async def test_discovery_unavailable_balancer_serves_and_then_receives_new_list() -> None:
    async with BalancerTestbed(2) as testbed:
        port = testbed.discovery.port
        await testbed.discovery.stop()
        await wait_until(lambda: testbed.node.watch.policy.failed_calls > 2)
        assert (await testbed.submit(request())).status == 200
        testbed.version, testbed.served_list = 5, None
        await testbed.discovery.start(port)
        await wait_until(lambda: testbed.node.watch.version == 5)


@async_test
async def test_startup_listens_only_after_first_list() -> None:
    """Guards against sends to a draining upstream after a restart. Clients of the former process connect as
    soon as the address listens, when `known` may be outdated. The balancer counts as notified of everything
    that the agent holds, so a send to s0 would violate its drain.
    """
    testbed = BalancerTestbed(2)
    for peer in (*testbed.upstreams, testbed.discovery):
        await peer.start()
    testbed.initial_list = testbed.endpoint_list(testbed.list_row(0), testbed.list_row(1))
    testbed.version, testbed.served_list = (
        3,
        testbed.endpoint_list(testbed.list_row(0, "draining"), testbed.list_row(1)),
    )
    hold = asyncio.Event()

    async def late(message: Message, writer: asyncio.StreamWriter) -> None:
        await hold.wait()
        await testbed._discover(message, writer)

    testbed.discovery.script = late
    entering = asyncio.ensure_future(testbed.start_balancer())
    await wait_until(lambda: testbed.discovery.received)
    assert testbed.node.front.listener is None and not testbed.node.watch.ever_answered
    hold.set()
    await entering
    assert testbed.node.front.listener is not None
    for _ in range(20):
        assert (await testbed.submit(request())).status == 200
    assert [len(up.received) for up in testbed.upstreams] == [0, 20]
    await testbed.__aexit__()


def test_sigterm_before_first_list_process_ends_without_listening(monkeypatch: pytest.MonkeyPatch) -> None:
    """The process ends without waiting for a list that may never arrive."""
    monkeypatch.setattr(node, "FIRST_LIST_TIMEOUT_S", 3_600.0)

    async def test() -> None:
        testbed = BalancerTestbed(2)
        for peer in (*testbed.upstreams, testbed.discovery):
            await peer.start()
        testbed.discovery.script = never_responds
        entering = asyncio.ensure_future(testbed.start_balancer(wait_for_list=False))
        await wait_until(lambda: testbed.discovery.received)
        testbed.node.terminate()
        with pytest.raises(AssertionError):  # raised by enter(), because no listener exists
            await entering
        await testbed.node.finished
        assert testbed.node.front.listener is None and not testbed.node.watch.ever_answered
        for peer in (*testbed.upstreams, testbed.discovery):
            await peer.stop()

    uvloop.run(asyncio.wait_for(test(), 30))


def test_inherited_listener_is_served_before_first_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """Requests in the queue of the listener count as accepted: they must not wait for a silent discovery."""
    monkeypatch.setattr(node, "FIRST_LIST_TIMEOUT_S", 3_600.0)

    async def test() -> None:
        testbed = BalancerTestbed(1)
        for peer in (*testbed.upstreams, testbed.discovery):
            await peer.start()
        testbed.discovery.script = never_responds
        with socket.create_server(("127.0.0.1", 0)) as listener:
            reader, writer = await asyncio.open_connection(*listener.getsockname())
            writer.write(request())
            await testbed.start_balancer(wait_for_list=False, listener=listener)
            assert (await read_message(reader)).status == 200
            writer.close()
            await testbed.__aexit__()

    uvloop.run(asyncio.wait_for(test(), 30))


@async_test
async def test_silent_discovery_startup_listens_after_timeout() -> None:
    testbed = BalancerTestbed(2)
    for peer in (*testbed.upstreams, testbed.discovery):
        await peer.start()
    testbed.discovery.script = never_responds
    before = asyncio.get_running_loop().time()
    await testbed.start_balancer(wait_for_list=False)
    assert asyncio.get_running_loop().time() - before > node.FIRST_LIST_TIMEOUT_S - 0.01
    assert (await testbed.submit(request())).status == 200
    await testbed.__aexit__()


@pytest.mark.parametrize("polled", [False, True])
def test_startup_with_silent_then_slow_list_service_applies_list_and_serves_all(
    polled: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The only upstream of the outdated `known` is gone. The list is applied and no request is lost."""
    monkeypatch.setattr(call_policy, "AGENT_FIRST_LINE_TIMEOUT_S", 0.8)
    monkeypatch.setattr(call_policy, "SHARED_FIRST_LINE_TIMEOUT_S", 0.9)
    monkeypatch.setattr(list_call, "LINE_TIMEOUT_S", 0.9)

    async def test() -> None:
        testbed = polled_testbed() if polled else BalancerTestbed()
        testbed.upstreams.append(Peer(responds_with(reply())))
        for peer in (*testbed.upstreams, testbed.discovery):
            await peer.start()
        testbed.initial_list = testbed.endpoint_list(testbed.list_row(0))
        testbed.version, testbed.served_list = 4, testbed.endpoint_list(testbed.list_row(1))

        async def silent_then_slow(message: Message, writer: asyncio.StreamWriter) -> None:
            received = len(testbed.discovery.received)
            if received == 1:
                return
            if received == 2:
                await asyncio.sleep(0.2)
            await testbed._discover(message, writer)

        testbed.discovery.script = silent_then_slow
        await testbed.start_balancer()
        await wait_until(lambda: ready(testbed) == {"s1"})
        for _ in range(5):
            assert (await testbed.submit(request())).status == 200
        assert [len(up.received) for up in testbed.upstreams] == [0, 5] and len(
            testbed.discovery.received
        ) == 2
        await testbed.__aexit__()

    uvloop.run(asyncio.wait_for(test(), 30))


@async_test
async def test_endless_line_and_invalid_answers_watch_is_renewed() -> None:
    async with BalancerTestbed() as testbed:
        for script in (
            responds_with(reply(b"", "503 Down")),
            responds_with(b"garbage\r\n\r\n"),
            responds_with(b"", close=True),
        ):
            testbed.discovery.script = script
            before = len(testbed.discovery.received)
            testbed.discovery.writers[-1].transport.abort()
            await wait_until(lambda before=before: len(testbed.discovery.received) > before + 1)  # type: ignore[misc]
        testbed.discovery.script = testbed._discover
        watches = len(testbed.watches)
        await wait_until(lambda: len(testbed.watches) > watches)
        for _ in range(5):
            testbed.send_chunk(b"x" * 1_000_000)
        await wait_until(lambda: len(testbed.watches) > watches + 1)
        assert (await testbed.submit(request())).status == 200


def polled_testbed(**settings: Any) -> BalancerTestbed:
    """Return a testbed in which one list service is polled by the whole fleet."""
    return BalancerTestbed(registryMode="subscribe", **settings)


@async_test
async def test_shared_list_service_small_fleet_calls_at_once_and_again_after_lost_watch() -> None:
    async with polled_testbed() as testbed:
        watches = len(testbed.watches)
        assert watches == 1 and testbed.node.watch.counts["watched"] == 1
        testbed.watches[-1].transport.abort()
        await wait_until(lambda: len(testbed.watches) > watches)
        assert testbed.node.watch.counts["ended closed"] == 1


@async_test
async def test_shared_list_service_slow_answer_in_small_pieces_is_accepted() -> None:
    """A call to an agent times out after 1.5 s without an answer; a service with a queue gets more time."""
    testbed = polled_testbed()
    step = asyncio.Event()

    async def slow(message: Message, writer: asyncio.StreamWriter) -> None:
        loop, began = asyncio.get_running_loop(), asyncio.get_running_loop().time()
        await asyncio.sleep(1.55)
        complete = json.dumps(testbed.endpoint_list(testbed.list_row(0))).encode() + b"\n"
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number, at in enumerate(range(0, len(complete), 40), 1):
            piece = complete[at : at + 40]
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            await asyncio.sleep(max(0.0, began + 1.55 + 0.05 * number - loop.time()))
        testbed.watches.append(writer)
        step.set()

    testbed.discovery.script = slow
    async with testbed:
        await step.wait()
        await wait_until(lambda: testbed.node.watch.ever_answered)
        counts = {name: count for name, count in testbed.node.watch.counts.items() if name != "kept"}
        assert (
            len(testbed.discovery.received) == 1
            and counts == {"watched": 1}
            and testbed.node.watch.is_current()
        )


@pytest.mark.parametrize(
    ("field", "min_delay_s", "max_delay_s"),
    [
        ("Retry-After: 0.6", 0.6, 5.0),
        ("retry-after: 3600", 0.8, 5.0),
        ("Retry-After: soon", 0.0, 0.6),
        ("", 0.0, 0.6),
    ],
)
def test_shared_list_service_retry_after_is_followed(
    field: str, min_delay_s: float, max_delay_s: float
) -> None:
    """A Retry-After of an hour is capped by the longest poll interval (here one second)."""

    async def test() -> None:
        testbed = polled_testbed(
            guarantees={**BalancerTestbed().settings["guarantees"], "askEveryMs": 1_000.0}
        )
        received: list[float] = []

        async def reject_first(message: Message, writer: asyncio.StreamWriter) -> None:
            received.append(asyncio.get_running_loop().time())
            if len(received) > 1:
                return await testbed._discover(message, writer)
            writer.write(reply(b"", "503 Busy", field + "\r\n" if field else ""))

        testbed.discovery.script = reject_first
        async with testbed:
            # The event loop's clock counts milliseconds.
            assert min_delay_s - 0.002 <= received[1] - received[0] <= max_delay_s

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
def test_read_listing_malformed_list_raises_value_error(text: bytes) -> None:
    with pytest.raises(ValueError):
        read_listing(text)


@pytest.mark.parametrize(
    "change",
    [{"health": "odd"}, {"dial": "nowhere"}, {"dial": 5}, {"share": -1}, {"born_ms": "x"}, {"host": ""}],
)
def test_read_listing_malformed_row_raises_value_error(change: dict[str, object]) -> None:
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


@async_test
async def test_late_line_timer_extends_watch_once_to_read_received_data() -> None:
    """Guards against ending a watch whose lines were received but not read while the process was stopped. The
    timer then fires far too late. The extension is granted once; after that, the watch times out.
    """
    async with BalancerTestbed(1) as testbed:
        watch, now = testbed.node.watch, testbed.node.clock.now
        call = watch.call
        assert call is not None
        testbed.node.clock.now = lambda: now() + 10.0  # type: ignore[method-assign]
        call._timed_out()
        testbed.update(testbed.list_row(0, "draining"))
        await wait_until(lambda: watch.version == testbed.version)
        assert watch.call is call and not watch.counts["ended silent"]
        call._timed_out()
        assert watch.counts["ended silent"] == 1
