"""Connections that come up for an attempt that may not begin any more."""

from __future__ import annotations

from peers import World, request, run

from quartzford.engine.flight import Attempt


@run
async def test_a_connection_that_came_up_for_an_attempt_that_may_not_begin_carries_the_next_one() -> None:
    """It had no status yet: to look for one among the idle ones failed, and the next request got a 500."""
    async with World() as world:
        engine = world.node.engine
        stands, asked = engine.stands, []

        def not_at_first(attempt: Attempt) -> bool:
            asked.append(attempt)
            return len(asked) > 1 and stands(attempt)

        engine.stands = not_at_first  # type: ignore[method-assign]
        assert (await world.ask(request())).status == 503  # there is nobody else
        assert (await world.ask(request())).status == 200
        assert world.outcomes() == ["moot", "ok"] and len(world.ups[0].writers) == 1
