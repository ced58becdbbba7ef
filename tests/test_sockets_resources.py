"""Use and release of connections, descriptors and table entries, on real sockets."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from peers import SETTINGS, BalancerTestbed, Message, async_test, read_message, reply, request, wait_until

from quartzford.backends.connection_pool import MIN_IDLE_S, Upstream
from quartzford.resource_limits import BASE_DESCRIPTORS


@async_test
async def test_upstream_connection_is_reused_after_answer() -> None:
    """Connections that were not returned to the idle pool were neither reused nor closed."""
    async with BalancerTestbed() as testbed:
        for _ in range(6):
            assert (await testbed.submit(request())).status == 200
            idle_until = asyncio.get_running_loop().time() + MIN_IDLE_S
            await wait_until(lambda idle_until=idle_until: asyncio.get_running_loop().time() > idle_until)  # type: ignore[misc]
        assert len(testbed.upstreams[0].writers) == 1 and len(testbed.node.pool.connections) == 1
        assert len(testbed.node.pool.upstreams["s0"].idle) == 1
        testbed.update(testbed.list_row(0, "draining"))
        await wait_until(
            lambda: testbed.upstreams[0].closed_connections == 1 and not testbed.node.pool.connections
        )


@async_test
async def test_housekeeping_sweeps_start_with_the_node() -> None:
    """Without the periodic sweep, idle connections, slow heads and removed upstreams stayed for good."""
    limits = {**SETTINGS["limits"], "connIdleMs": 600.0}
    async with BalancerTestbed(2, limits=limits) as testbed:
        assert (await testbed.submit(request())).status == 200
        await wait_until(lambda: not testbed.node.pool.connections)
        await wait_until(
            lambda: testbed.upstreams[0].closed_connections + testbed.upstreams[1].closed_connections == 1
        )
        testbed.update(testbed.list_row(1, "gone"))
        await wait_until(lambda: "s1" not in testbed.node.pool.upstreams)
        reader, writer = await testbed.connect()
        writer.write(b"GET /api HTTP/1.1\r\nX-Half:")
        assert (await asyncio.wait_for(read_message(reader), 20)).status == 408


@pytest.mark.parametrize("sockets", [256, 1024])
def test_descriptors_suffice_for_upstream_connection_per_client(sockets: int) -> None:
    """Client connections may use a third of the descriptors; each request needs another one upstream."""

    async def test() -> None:
        async with BalancerTestbed(2, sockets=sockets) as testbed:
            gate, client_count = asyncio.Event(), sockets // 3

            async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
                await gate.wait()
                writer.write(reply())

            for up in testbed.upstreams:
                up.script = wait
            asking = [asyncio.ensure_future(testbed.submit(request("pay", b""))) for _ in range(client_count)]
            await wait_until(
                lambda: sum(len(up.received) for up in testbed.upstreams) + len(testbed.outcomes())
                >= client_count
            )
            gate.set()
            assert {answer.status for answer in await asyncio.gather(*asking)} == {200}
            assert (
                testbed.node.front.max_clients + testbed.node.pool.max_connections
                <= sockets - BASE_DESCRIPTORS
            )

    uvloop.run(test())


@async_test
async def test_silent_clients_and_partial_requests_time_out() -> None:
    """Such connections were kept for 6 s, 10 s or for good, and each used one of the few descriptors.

    A client that stops within a request must get its error within 3 s.
    """
    async with BalancerTestbed() as testbed:
        silent, keep_alive, head, body, slow_body = [await testbed.connect() for _ in range(5)]
        keep_alive[1].write(request())
        assert (await read_message(keep_alive[0])).status == 200
        head[1].write(request("pay", b"body")[:50])
        body[1].write(request("pay", b"body")[:-2])
        slow_body[1].write(request("pay", b"d" * 4000)[:-4000])

        async def send_slowly() -> None:
            for _ in range(100):
                slow_body[1].write(b"d")
                await asyncio.sleep(0.2)

        task, answer = asyncio.ensure_future(send_slowly()), asyncio.ensure_future(read_message(slow_body[0]))
        assert await silent[0].read() == b"" and await keep_alive[0].read() == b""
        assert (await read_message(head[0])).status == (await read_message(body[0])).status == 408
        assert not answer.done()  # a slow body has a longer, but limited time
        assert (await answer).status == 408
        task.cancel()
        await wait_until(lambda: not testbed.node.front.clients)
        assert len(testbed.upstreams[0].received) == 1 and testbed.node.budget.used == 0


@async_test
async def test_sweep_checks_only_upstreams_with_idle_connections_or_removed() -> None:
    """A sweep runs four times a second and must not check thousands of upstreams.

    It must still remove the upstreams that have left the list.
    """
    async with BalancerTestbed(2) as testbed:
        rows = [
            testbed.list_row(0),
            testbed.list_row(1),
            *(testbed.list_row(0, host=f"x{n}") for n in range(3_000)),
        ]
        testbed.update(*rows, complete=True)
        await wait_until(lambda: len(testbed.node.pool.upstreams) == 3_002)
        testbed.update(*(row | {"health": "draining"} for row in rows[2:1_000]))
        testbed.update(*(row | {"health": "gone"} for row in rows[2:900]))
        await wait_until(lambda: len(testbed.node.pool.upstreams) == 3_002 - 898)
        checked: list[str] = []
        expire = Upstream.expire

        def record_expire(upstream: Upstream, before: float) -> None:
            checked.append(upstream.name)
            expire(upstream, before)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Upstream, "expire", record_expire)
            for _ in range(8):
                assert (await testbed.submit(request())).status == 200
            checked.clear()
            testbed.node.pool.sweep()
        assert 1 <= len(checked) <= 8
        assert all(not up.ready for up in testbed.node.pool.retired) and len(testbed.node.pool.retired) == 100
