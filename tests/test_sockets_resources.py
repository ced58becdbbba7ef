"""Who takes a connection, a descriptor or a table entry, and who gives it back, on real sockets."""

from __future__ import annotations

from peers import World, request, run, until


@run
async def test_a_connection_that_served_is_used_again() -> None:
    """A connection that never reached the idle pool was neither used nor closed: each request cost one more."""
    async with World() as world:
        for _ in range(6):
            assert (await world.ask(request())).status == 200
        assert len(world.ups[0].writers) == 1 and len(world.proxy.upstream_connections) == 1
        assert len(world.proxy.upstreams["s0"].idle) == 1
        world.news(world.host(0, "draining"))
        await until(lambda: world.ups[0].left == 1 and not world.proxy.upstream_connections)
