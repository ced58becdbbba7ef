"""Long lists: in pieces, bad news first, with the same outcome; read beside the loop, in order."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from helpers import make_endpoint, settings, use_all_servers
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st
from peers import BalancerTestbed, async_test, wait_until

from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer
from quartzford.membership import list_call
from quartzford.membership.list_chunks import ListingQueue, split_into_chunks
from quartzford.membership.listing import Listing

NUMBERS = st.integers(0, 30)
CHANGE = st.tuples(NUMBERS, st.sampled_from(("ready", "draining", "gone")), st.sampled_from((0.0, 5.0, 9.0)))


def listing(complete: bool, *rows: tuple[int, str, float]) -> Listing:
    entries = tuple(make_endpoint(n, state, started) for n, state, started in rows)
    return Listing(1, complete, entries, tuple(("s", n) for n, _, _ in rows))


def state(balancer: Balancer) -> dict[str, tuple[str, float, bool]]:
    return {name: (s.entry.state, s.entry.started_ms, s.slot >= 0) for name, s in balancer.servers.items()}


@given(st.lists(NUMBERS, unique=True), st.booleans(), st.lists(CHANGE, max_size=40), st.integers(1, 9))
@budget(max_examples=300, deadline=None, derandomize=True, database=None)
def test_chunks_leave_the_fleet_as_the_complete_list_would(
    before: list[int], complete: bool, rows: list[Any], size: int
) -> None:
    """Of a server that is in the end drained or gone, only that matters; of the others, all that was said."""
    if complete:  # a whole list names each server once, and none that is gone
        rows = [row for row in {n: (n, s, b) for n, s, b in rows}.values() if row[1] != "gone"]
    update = listing(complete, *rows)
    one, other = Balancer(settings(), 1), Balancer(settings(), 1)
    for balancer in (one, other):
        balancer.handle(0.0, io.EndpointListUpdate("stale", tuple(make_endpoint(n) for n in before)))
        use_all_servers(balancer)
    one.handle(1.0, io.EndpointListUpdate("whole" if complete else "changes", update.entries))
    parts = list(split_into_chunks(update, other.servers, size))
    for part in parts:
        other.handle(1.0, io.EndpointListUpdate("whole" if part.complete else "changes", part.entries))
    mine, theirs = state(one), state(other)
    known = {name for name, row in mine.items() if row[2]}
    assert known == {name for name, row in theirs.items() if row[2]}
    assert {name: mine[name] for name in known} == {name: theirs[name] for name in known}
    assert all(mine[name][0] == theirs[name][0] for name in set(mine) & set(theirs))
    if len(parts) > 1:
        assert max(len(part.entries) for part in parts) <= size
        # In front stands each server that is taken away in the end, once; of the others all that was said.
        states = [e.state for part in parts for e in part.entries]
        away = {n for n, row in mine.items() if not row[2]} | {f"s{n}" for n in before} - set(mine)
        last = {e.server: e.state for e in update.entries}
        count = len(
            {n for n in last if last[n] != "ready"}
            | ({n for n in away if n not in last} if complete else set())
        )
        assert "ready" not in states[:count] and count <= len(states)


def test_a_short_list_is_one_chunk_and_a_long_one_begins_with_removals() -> None:
    short = listing(True, (1, "ready", 0.0))
    assert list(split_into_chunks(short, {"s7"})) == [short]
    rows = [(n, "ready", 0.0) for n in range(10)] + [(3, "draining", 0.0)]
    parts = list(split_into_chunks(listing(True, *rows), {"s77", "s1"}, 4))
    first = [(e.server, e.state) for e in parts[0].entries]
    assert first[:2] == [("s3", "draining"), ("s77", "gone")] and not any(p.complete for p in parts)
    assert [len(p.entries) for p in parts] == [4, 4, 3]
    assert all(len(p.entries) == len(p.addresses) for p in parts)


def test_a_complete_list_replaces_what_waits_and_changes_follow_it() -> None:
    queue = ListingQueue()
    queue.add(listing(False, *((n, "ready", 0.0) for n in range(1000))))
    assert queue.next_chunk(set()) is not None and queue.has_chunks()
    complete, change = listing(True, (1, "ready", 0.0)), listing(False, (2, "gone", 0.0))
    queue.add(complete)
    queue.add(change)
    assert [queue.next_chunk(set()), queue.next_chunk(set()), queue.next_chunk(set())] == [
        complete,
        change,
        None,
    ]
    assert not queue.has_chunks()


# ---- over sockets


def hosts(count: int, **changes: Any) -> list[dict[str, Any]]:
    return [
        {
            "host": f"h{n}",
            "dial": f"127.0.0.1:{20_000 + n % 30_000}",
            "site": "north",
            "class": "std",
            "block": n // 4,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }
        | changes
        for n in range(count)
    ]


@async_test
async def test_a_list_of_thousands_is_taken_in_beside_the_service() -> None:
    async with BalancerTestbed(1) as testbed:
        pool, servers = testbed.node.pool, use_all_servers(testbed.node.engine.balancer).servers
        testbed.update(*hosts(3000), complete=True)
        await wait_until(lambda: len(servers) == 3000, 30)
        left = pool.upstreams.get("s0")  # swept out already, where this took long
        assert "s0" not in servers and (left is None or not left.ready)
        updates = [e for e in testbed.events if isinstance(e, io.EndpointListUpdate)]
        assert max(len(u.entries) for u in updates) <= 256 and updates[-1].kind == "changes"
        # A rolling deploy, and right behind it a drain of one that it brings back.
        testbed.update(*hosts(2550, born_ms=7))
        testbed.update(hosts(2)[1] | {"health": "draining", "born_ms": 7})
        await wait_until(lambda: servers["h2549"].entry.started_ms == 7.0, 30)
        await wait_until(lambda: servers["h1"].entry.state == "draining", 30)
        assert sum(s.slot >= 0 for s in servers.values()) == 2999
        testbed.update(*hosts(2200, health="gone"))
        await wait_until(lambda: len(servers) == 800, 30)


@async_test
async def test_a_long_line_that_is_broken_is_requested_again(monkeypatch: Any = None) -> None:
    async with BalancerTestbed(1) as testbed:
        broken = json.dumps({"seq": 9, "whole": True, "hosts": hosts(2000)})[:-2]
        before = len(testbed.events)
        testbed.send_line(broken)
        await wait_until(lambda: testbed.node.watch.call is not None and len(testbed.events) > before, 30)
        assert "s0" in testbed.node.engine.balancer.servers  # what discovery really has


@pytest.mark.parametrize("seed", range(3))
def test_long_lines_do_not_overtake_each_other(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Read in threads, one after the other, with short lines between them."""
    monkeypatch.setattr(list_call, "LONG_BYTES", 2_000)

    @async_test
    async def test() -> None:
        async with BalancerTestbed(1) as testbed:
            rng, servers = random.Random(seed), testbed.node.engine.balancer.servers
            for number in range(30):
                testbed.update(*hosts(rng.choice((1, 1, 5, 60)), born_ms=number + 1))
            testbed.update(*hosts(1, born_ms=99))
            await wait_until(lambda: "h0" in servers and servers["h0"].entry.started_ms == 99.0, 30)
            seen = [
                e.entries[0].started_ms
                for e in testbed.events
                if isinstance(e, io.EndpointListUpdate)
                and e.kind == "changes"
                and e.entries
                and e.entries[0].server == "h0"
            ]
            assert seen == sorted(seen) and len(seen) == 31

    test()
