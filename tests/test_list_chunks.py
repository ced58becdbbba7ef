"""Long lists: applied in chunks with the same result, removals first, and parsed in threads in order."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from helpers import make_endpoint, settings, use_all_servers
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from peers import BalancerTestbed, async_test, wait_until

from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer
from quartzford.handover_state import capture_state
from quartzford.membership import list_call
from quartzford.membership.list_chunks import MAX_CHUNK_ENTRIES, ListingQueue, split_into_chunks
from quartzford.membership.listing import Listing

NUMBERS = st.integers(0, 30)
CHANGE = st.tuples(NUMBERS, st.sampled_from(("ready", "draining", "gone")), st.sampled_from((0.0, 5.0, 9.0)))


def listing(complete: bool, *rows: tuple[int, str, float]) -> Listing:
    entries = tuple(make_endpoint(n, state, started) for n, state, started in rows)
    return Listing(1, complete, entries, tuple(("s", n) for n, _, _ in rows))


def state(balancer: Balancer) -> dict[str, tuple[str, float, bool]]:
    return {name: (s.entry.state, s.entry.started_ms, s.slot >= 0) for name, s in balancer.servers.items()}


@given(st.lists(NUMBERS, unique=True), st.booleans(), st.lists(CHANGE, max_size=40), st.integers(1, 9))
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True, database=None)
def test_chunks_give_the_same_servers_as_the_undivided_listing(
    before: list[int], complete: bool, rows: list[Any], size: int
) -> None:
    """Compares the final state for drained and removed servers, and the complete entries for the others."""
    if complete:  # a complete list names each server once and contains no removals
        rows = [row for row in {n: (n, s, b) for n, s, b in rows}.values() if row[1] != "gone"]
    update = listing(complete, *rows)
    undivided, chunked = Balancer(settings(), 1), Balancer(settings(), 1)
    for balancer in (undivided, chunked):
        balancer.handle(0.0, io.EndpointListUpdate("stale", tuple(make_endpoint(n) for n in before)))
        use_all_servers(balancer)
    undivided.handle(1.0, io.EndpointListUpdate("whole" if complete else "changes", update.entries))
    chunks = list(split_into_chunks(update, chunked.servers, size))
    for chunk in chunks:
        chunked.handle(1.0, io.EndpointListUpdate("whole" if chunk.complete else "changes", chunk.entries))
    expected, actual = state(undivided), state(chunked)
    known = {name for name, row in expected.items() if row[2]}
    assert known == {name for name, row in actual.items() if row[2]}
    assert {name: expected[name] for name in known} == {name: actual[name] for name in known}
    assert all(expected[name][0] == actual[name][0] for name in set(expected) & set(actual))
    if len(chunks) > 1:
        assert max(len(chunk.entries) for chunk in chunks) <= size
        # Each server that ends drained or removed comes first, once; the others keep all of their entries.
        states = [e.state for chunk in chunks for e in chunk.entries]
        removed = {n for n, row in expected.items() if not row[2]} | {f"s{n}" for n in before} - set(expected)
        last = {e.server: e.state for e in update.entries}
        count = len(
            {n for n in last if last[n] != "ready"}
            | ({n for n in removed if n not in last} if complete else set())
        )
        assert "ready" not in states[:count] and count <= len(states)


def test_split_short_list_is_one_chunk_and_long_list_starts_with_removals() -> None:
    short = listing(True, (1, "ready", 0.0))
    assert list(split_into_chunks(short, {"s7"})) == [short]
    rows = [(n, "ready", 0.0) for n in range(10)] + [(3, "draining", 0.0)]
    chunks = list(split_into_chunks(listing(True, *rows), {"s77", "s1"}, 4))
    first = [(e.server, e.state) for e in chunks[0].entries]
    assert first[:2] == [("s3", "draining"), ("s77", "gone")] and not any(p.complete for p in chunks)
    assert [len(p.entries) for p in chunks] == [4, 4, 3]
    assert all(len(p.entries) == len(p.addresses) for p in chunks)


def test_queue_complete_list_replaces_queued_listings_and_keeps_order() -> None:
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
async def test_long_list_is_applied_in_chunks() -> None:
    async with BalancerTestbed(1) as testbed:
        pool, servers = testbed.node.pool, use_all_servers(testbed.node.engine.balancer).servers
        testbed.update(*hosts(3000), complete=True)
        await wait_until(lambda: len(servers) == 3000, 30)
        upstream = pool.upstreams.get("s0")  # None if it took so long that the upstream was already removed
        assert "s0" not in servers and (upstream is None or not upstream.ready)
        updates = [e for e in testbed.events if isinstance(e, io.EndpointListUpdate)]
        assert max(len(u.entries) for u in updates) <= 256 and updates[-1].kind == "changes"
        # A rolling deploy, directly followed by a drain of one of its servers.
        testbed.update(*hosts(2550, born_ms=7))
        testbed.update(hosts(2)[1] | {"health": "draining", "born_ms": 7})
        await wait_until(lambda: servers["h2549"].entry.started_ms == 7.0, 30)
        await wait_until(lambda: servers["h1"].entry.state == "draining", 30)
        assert sum(s.slot >= 0 for s in servers.values()) == 2999
        testbed.update(*hosts(2200, health="gone"))
        await wait_until(lambda: len(servers) == 800, 30)


@async_test
async def test_malformed_long_line_complete_list_is_requested_again(monkeypatch: Any = None) -> None:
    async with BalancerTestbed(1) as testbed:
        broken = json.dumps({"seq": 9, "whole": True, "hosts": hosts(2000)})[:-2]
        before = len(testbed.events)
        testbed.send_line(broken)
        await wait_until(lambda: testbed.node.watch.call is not None and len(testbed.events) > before, 30)
        # The servers are those of discovery's current list, not of the malformed line.
        assert "s0" in testbed.node.engine.balancer.servers


@pytest.mark.parametrize("seed", range(3))
def test_long_and_short_lines_are_applied_in_order(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Long lines are parsed in threads, one after the other, with short lines between them."""
    monkeypatch.setattr(list_call, "MAX_INLINE_PARSE_BYTES", 2_000)

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


@async_test
async def test_state_handed_over_within_a_long_list_has_no_version() -> None:
    """Guards against a successor that is never told the rest of a change: it sent to upstreams that drain."""
    async with BalancerTestbed() as testbed:
        control = testbed.node.control
        assert capture_state(control, 0).version == control.watch.version is not None
        control.engine.cancel_handover()
        names = [make_endpoint(number) for number in range(3 * MAX_CHUNK_ENTRIES)]
        change = Listing(control.watch.version + 1, False, tuple(names), (("s", 1),) * len(names))
        control.watch.version = change.version
        control.listed(change)
        assert control.pending.has_chunks()
        assert capture_state(control, 0).version is None
        control.engine.cancel_handover()
        await wait_until(lambda: not control.pending.has_chunks())
        assert capture_state(control, 0).version == change.version
