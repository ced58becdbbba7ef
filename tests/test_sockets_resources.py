"""Who takes a connection, a descriptor or a table entry, and who gives it back, on real sockets."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from peers import SETTINGS, Message, World, read_message, reply, request, run, until

from quartzford.backends.connection_pool import MIN_IDLE_S, Upstream
from quartzford.resource_limits import BASE_DESCRIPTORS


@run
async def test_a_connection_that_served_is_used_again() -> None:
    """A connection that never reached the idle pool was neither used nor closed."""
    async with World() as world:
        for _ in range(6):
            assert (await world.submit(request())).status == 200
            idle_until = asyncio.get_running_loop().time() + MIN_IDLE_S
            await until(lambda idle_until=idle_until: asyncio.get_running_loop().time() > idle_until)  # type: ignore[misc]
        assert len(world.upstreams[0].writers) == 1 and len(world.node.pool.connections) == 1
        assert len(world.node.pool.upstreams["s0"].idle) == 1
        world.update(world.host(0, "draining"))
        await until(lambda: world.upstreams[0].left == 1 and not world.node.pool.connections)


@run
async def test_housekeeping_runs_from_the_start() -> None:
    """With no sweep nothing ended idle connections or slow heads, or forgot upstreams that went."""
    limits = {**SETTINGS["limits"], "connIdleMs": 600.0}
    async with World(2, limits=limits) as world:
        assert (await world.submit(request())).status == 200
        await until(lambda: not world.node.pool.connections)
        await until(lambda: world.upstreams[0].left + world.upstreams[1].left == 1)
        world.update(world.host(1, "gone"))
        await until(lambda: "s1" not in world.node.pool.upstreams)
        reader, writer = await world.connect()
        writer.write(b"GET /api HTTP/1.1\r\nX-Half:")
        assert (await asyncio.wait_for(read_message(reader), 20)).status == 408


@pytest.mark.parametrize("sockets", [256, 1024])
def test_every_client_that_may_send_finds_an_upstream_connection(sockets: int) -> None:
    """Clients may hold a third of the descriptors for requests; each of these needs a second one upstream."""

    async def test() -> None:
        async with World(2, sockets=sockets) as world:
            gate, client_count = asyncio.Event(), sockets // 3

            async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
                await gate.wait()
                writer.write(reply())

            for up in world.upstreams:
                up.script = wait
            asking = [asyncio.ensure_future(world.submit(request("pay", b""))) for _ in range(client_count)]
            await until(
                lambda: sum(len(up.received) for up in world.upstreams) + len(world.outcomes())
                >= client_count
            )
            gate.set()
            assert {answer.status for answer in await asyncio.gather(*asking)} == {200}
            assert (
                world.node.front.max_clients + world.node.pool.max_connections <= sockets - BASE_DESCRIPTORS
            )

    uvloop.run(test())


@run
async def test_clients_that_say_nothing_or_half_a_request_are_ended_in_time() -> None:
    """Each was held for 6 s, 10 s or for good; descriptors are few, and 3 s is what they are owed."""
    async with World() as world:
        silent_one, kept, head, body, drip = [await world.connect() for _ in range(5)]
        kept[1].write(request())
        assert (await read_message(kept[0])).status == 200
        head[1].write(request("pay", b"body")[:50])
        body[1].write(request("pay", b"body")[:-2])
        drip[1].write(request("pay", b"d" * 4000)[:-4000])

        async def dripping() -> None:
            for _ in range(100):
                drip[1].write(b"d")
                await asyncio.sleep(0.2)

        task, answer = asyncio.ensure_future(dripping()), asyncio.ensure_future(read_message(drip[0]))
        assert await silent_one[0].read() == b"" and await kept[0].read() == b""
        assert (await read_message(head[0])).status == (await read_message(body[0])).status == 408
        assert not answer.done()  # it may take longer than those, but not for ever
        assert (await answer).status == 408
        task.cancel()
        await until(lambda: not world.node.front.clients)
        assert len(world.upstreams[0].received) == 1 and world.node.budget.used == 0


@run
async def test_a_sweep_looks_at_those_upstreams_alone_that_rest_or_have_gone() -> None:
    """Thousands are not gone through four times a second; what has gone is forgotten all the same."""
    async with World(2) as world:
        rows = [world.host(0), world.host(1), *(world.host(0, host=f"x{n}") for n in range(3_000))]
        world.update(*rows, complete=True)
        await until(lambda: len(world.node.pool.upstreams) == 3_002)
        world.update(*(row | {"health": "draining"} for row in rows[2:1_000]))
        world.update(*(row | {"health": "gone"} for row in rows[2:900]))
        await until(lambda: len(world.node.pool.upstreams) == 3_002 - 898)
        looked: list[str] = []
        expire = Upstream.expire

        def counted(upstream: Upstream, before: float) -> None:
            looked.append(upstream.name)
            expire(upstream, before)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Upstream, "expire", counted)
            for _ in range(8):
                assert (await world.submit(request())).status == 200
            looked.clear()
            world.node.pool.sweep()
        assert 1 <= len(looked) <= 8
        assert all(not up.ready for up in world.node.pool.retired) and len(world.node.pool.retired) == 100
