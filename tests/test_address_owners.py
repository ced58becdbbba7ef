"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from helpers import make_endpoint
from peers import BalancerTestbed, Message, async_test, request, wait_until

from quartzford.membership.address_owners import AddressOwners
from quartzford.membership.listing import Listing

STARTED_MS = 1_790_000_000_000.0
OTHER_CELL = 9


@pytest.mark.parametrize("list_kind", ["change", "complete list"])
def test_new_process_at_old_address_gets_nothing_meant_for_the_old_one(list_kind: str) -> None:
    """Guards against requests that are sent under the name of a process that has gone."""

    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            new = testbed.list_row(0, born=STARTED_MS, host="new", block=OTHER_CELL)
            if list_kind == "change":
                testbed.update(new)
            else:
                testbed.update(testbed.list_row(0), new, testbed.list_row(1), complete=True)
            await wait_until(lambda: "new" in testbed.node.engine.balancer.servers)
            assert set(testbed.node.engine.balancer.servers) == {"new", "s1"}
            assert not testbed.node.pool.upstreams.get("s0") or not testbed.node.pool.upstreams["s0"].ready
            for _ in range(20):
                assert (await testbed.submit(request())).status == 200
            testbed.update(testbed.list_row(0, "draining"))  # late news of the old one
            testbed.update(testbed.list_row(0, dial=f"127.0.0.1:{testbed.upstreams[1].port}", born=1.0))
            await wait_until(lambda: "s0" in testbed.node.engine.balancer.servers)  # at an address of its own

    uvloop.run(test())


@async_test
async def test_keyed_request_is_not_retried_at_new_process_of_other_cell() -> None:
    """Guards against a second run: only upstreams of the first attempt's cell drop its repeat."""
    async with BalancerTestbed(2) as testbed:

        async def replace_other_and_reset(message: Message, writer: asyncio.StreamWriter) -> None:
            writers = [upstream.writers for upstream in testbed.upstreams]
            other = 1 if any(writer is known for known in writers[0]) else 0
            testbed.update(testbed.list_row(other, born=STARTED_MS, host="new", block=OTHER_CELL))
            await wait_until(lambda: "new" in testbed.node.engine.balancer.servers)
            writer.transport.abort()

        for upstream in testbed.upstreams:
            upstream.script = replace_other_and_reset
        answer = await testbed.submit(request("book", b"", time_left="600m"))
        assert answer.status in (502, 503)
        assert sorted(len(upstream.received) for upstream in testbed.upstreams)[0] == 0


@async_test
async def test_dial_under_way_to_old_process_carries_no_request_to_new_one() -> None:
    """Guards against a connection that comes up after the address has changed hands."""
    async with BalancerTestbed(1) as testbed:
        engine = testbed.node.engine
        may_begin = engine.may_begin

        def replace_first(attempt: object) -> bool:
            engine.may_begin = may_begin  # type: ignore[method-assign]
            new = make_endpoint(7, started_ms=STARTED_MS)._replace(server="new")
            testbed.node.control.listed(Listing(99, False, (new,), (upstream.address,)))
            return upstream.ready and may_begin(attempt)  # type: ignore[arg-type]

        upstream = testbed.node.pool.upstreams["s0"]
        engine.may_begin = replace_first  # type: ignore[method-assign]
        assert (await testbed.submit(request())).status == 200
        sends = [action.server for action in testbed.actions if hasattr(action, "server")]
        assert sends == ["s0", "new"] and len(testbed.upstreams[0].received) == 1


def listing(*rows: tuple[str, float, str, int], complete: bool = False) -> Listing:
    """Return a listing; rows: name, start, state and port."""
    entries = [make_endpoint(0, state, started_ms)._replace(server=n) for n, started_ms, state, _ in rows]
    return Listing(1, complete, tuple(entries), tuple(("a", port) for *_, port in rows))


def states(result: Listing) -> dict[str, str]:
    return {entry.server: entry.state for entry in result.entries}


def test_upstreams_that_started_at_the_same_time_or_are_many_share_an_address() -> None:
    owners = AddressOwners()
    both = listing(("a", 0.0, "ready", 1), ("b", 0.0, "ready", 1))
    assert owners.apply(both) is both
    third = listing(("c", 5.0, "ready", 1))
    assert owners.apply(third) is third


def test_later_upstream_takes_address_and_early_news_of_it_change_nothing() -> None:
    owners = AddressOwners()
    owners.apply(listing(("old", 0.0, "ready", 1), ("other", 0.0, "ready", 2), complete=True))
    assert states(owners.apply(listing(("new", 5.0, "ready", 1)))) == {"new": "ready", "old": "gone"}
    assert states(owners.apply(listing(("old", 0.0, "draining", 1)))) == {"old": "gone"}
    assert states(owners.apply(listing(("old", 0.0, "ready", 3)))) == {"old": "ready"}
    assert states(owners.apply(listing(("new", 5.0, "gone", 1)))) == {"new": "gone"}
    complete = listing(("old", 0.0, "ready", 1), ("newer", 6.0, "ready", 1), complete=True)
    assert states(owners.apply(complete)) == {"newer": "ready"}
