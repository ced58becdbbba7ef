"""Who takes a connection, a descriptor or a table entry, and who gives it back, on real sockets."""

from __future__ import annotations

import asyncio

from peers import SETTINGS, World, read_message, request, run, until


@run
async def test_a_connection_that_served_is_used_again() -> None:
    """A connection that never reached the idle pool was neither used nor closed."""
    async with World() as world:
        for _ in range(6):
            assert (await world.ask(request())).status == 200
        assert len(world.ups[0].writers) == 1 and len(world.proxy.upstream_connections) == 1
        assert len(world.proxy.upstreams["s0"].idle) == 1
        world.news(world.host(0, "draining"))
        await until(lambda: world.ups[0].left == 1 and not world.proxy.upstream_connections)


@run
async def test_housekeeping_runs_from_the_start() -> None:
    """With no sweep nothing ended idle connections or slow heads, or forgot upstreams that went."""
    limits = {**SETTINGS["limits"], "connIdleMs": 600.0}
    async with World(2, limits=limits) as world:
        assert (await world.ask(request())).status == 200
        await until(lambda: not world.proxy.upstream_connections)
        await until(lambda: world.ups[0].left + world.ups[1].left == 1)
        world.news(world.host(1, "gone"))
        await until(lambda: "s1" not in world.proxy.upstreams)
        reader, writer = await world.connect()
        writer.write(b"GET /api HTTP/1.1\r\nX-Half:")
        assert (await asyncio.wait_for(read_message(reader), 20)).status == 408
