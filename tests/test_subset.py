"""Subsets: complete cells, zone minima, little churn, drains passed on, and the loss of every member."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from peers import BalancerTestbed, async_test, request, wait_until

from quartzford.decision import interface as io
from quartzford.membership.listing import Listing
from quartzford.membership.subset import MAX_SIZE_MULTIPLE, Subset

ZONES = ("a", "b", "c")


def entry(number: int, state: str = "ready", started: float = 0.0) -> io.Endpoint:
    cell = number // 4
    return io.Endpoint(f"s{number}", ZONES[cell % 3], "std", cell, state, 1.0, started)


def listing(complete: bool, *entries: io.Endpoint) -> Listing:
    return Listing(1, complete, entries, tuple(("h", int(e.server[1:])) for e in entries))


def full(count: int) -> Listing:
    return listing(True, *(entry(n) for n in range(count)))


class SubsetFollower:
    """Tracks the upstreams that a balancer with a subset receives."""

    def __init__(self, subset: Subset) -> None:
        self.subset = subset
        self.states: dict[str, str] = {}
        self.changes = 0

    def apply(self, update: Listing) -> Listing:
        filtered = self.subset.filter(update)
        assert len(filtered.entries) == len(filtered.addresses) == len({e.server for e in filtered.entries})
        if filtered.complete:
            self.states.clear()
        for e in filtered.entries:
            self.changes += 1
            if e.state == "gone":
                self.states.pop(e.server, None)
            else:
                self.states[e.server] = e.state
        return filtered

    def ready(self) -> set[str]:
        return {name for name, state in self.states.items() if state == "ready"}


CHANGE = st.tuples(st.integers(0, 59), st.sampled_from(("ready", "ready", "draining", "gone")))
STEP = st.tuples(st.booleans(), st.lists(CHANGE, max_size=25))


@given(st.integers(0, 60), st.integers(1, 40), st.integers(0, 8), st.lists(STEP, max_size=8))
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True, database=None)
def test_random_changes_cells_are_complete_minima_hold_and_removals_are_passed_on(
    count: int, size: int, per_zone: int, steps: list[Any]
) -> None:
    follower = SubsetFollower(Subset("b1", size, per_zone))
    expected = {f"s{n}": entry(n) for n in range(count)}
    follower.apply(listing(True, *expected.values()))
    for complete, rows in steps:
        changes = {f"s{n}": entry(n, state) for n, state in rows}
        if complete:
            expected = {name: e for name, e in changes.items() if e.state != "gone"}
            follower.apply(listing(True, *expected.values()))
        else:
            for name, e in changes.items():
                expected.pop(name, None)
                if e.state != "gone":
                    expected[name] = e
            follower.apply(listing(False, *changes.values()))
        ready = {name for name, e in expected.items() if e.state == "ready"}
        seen = follower.ready()
        assert seen <= ready, "the subset contains an upstream that is not ready"
        assert len(seen) >= min(size, len(ready))
        for zone in ZONES:
            in_zone = {name for name in ready if expected[name].zone == zone}
            assert len(seen & in_zone) >= min(per_zone, len(in_zone))
        for cell in {expected[name].cell for name in seen}:
            complete_cell = {name for name in ready if expected[name].cell == cell}
            assert complete_cell <= seen, "the subset contains only a part of a cell"
        assert not any(
            e.state == "draining" and follower.states.get(n) == "ready" for n, e in expected.items()
        )
        if per_zone == 0:
            assert len(seen) <= max(MAX_SIZE_MULTIPLE * size, size + 4)


def test_removed_member_changes_few_upstreams_and_its_return_only_itself() -> None:
    follower = SubsetFollower(Subset("b1", 100))
    follower.apply(full(1000))
    before = follower.ready()
    assert 100 <= len(before) <= 104
    name = min(before)
    number = int(name[1:])
    follower.changes = 0
    follower.apply(listing(False, entry(number, "gone")))
    assert follower.changes <= 5 and len(follower.ready()) >= 100
    follower.changes = 0
    follower.apply(listing(False, entry(number)))
    assert follower.changes == 1 and follower.ready() >= before


def test_removal_outside_subset_changes_nothing() -> None:
    follower = SubsetFollower(Subset("b1", 100))
    follower.apply(full(1000))
    others = [n for n in range(1000) if f"s{n}" not in follower.ready()]
    follower.changes = 0
    for number in others[:200]:
        follower.apply(listing(False, entry(number, "gone")))
    assert follower.changes == 0


def test_removal_of_all_members_selects_others() -> None:
    follower = SubsetFollower(Subset("b1", 40, 8))
    follower.apply(full(400))
    before = follower.ready()
    follower.apply(listing(False, *(entry(int(name[1:]), "gone") for name in before)))
    after = follower.ready()
    assert len(after) >= 40 and not after & before
    for zone in range(3):
        assert sum(int(name[1:]) // 4 % 3 == zone for name in after) >= 8
    follower.apply(listing(True))
    assert not follower.states and not follower.subset.announced


def test_upstreams_that_leave_subset_are_draining_not_gone() -> None:
    """Starts with the 16 last-ranked upstreams, adds the 16 first-ranked ones, then removes the used ones."""
    subset = Subset("b1", 8)
    follower = SubsetFollower(subset)
    order = sorted({n // 4 for n in range(400)}, key=lambda cell: cell_rank("b1", cell))
    last = [n for cell in order[-4:] for n in range(cell * 4, cell * 4 + 4)]
    first = [n for cell in order[:4] for n in range(cell * 4, cell * 4 + 4)]
    follower.apply(listing(True, *(entry(n) for n in last)))
    used = follower.ready()
    assert len(used) == 8
    filtered = follower.apply(listing(True, *(entry(n) for n in (*first, *last))))
    assert not any(e.state == "gone" for e in filtered.entries) and follower.ready() >= used
    follower.apply(listing(False, *(entry(int(name[1:]), "gone") for name in used)))
    assert follower.ready() == {f"s{n}" for n in first[:8]}


def cell_rank(name: str, cell: int) -> int:
    from quartzford.membership.subset import cell_score

    return cell_score(name, cell)


def test_subset_depends_on_balancer_name_and_is_reproducible() -> None:
    a, b, again = (SubsetFollower(Subset(name, 100)) for name in ("b1", "b2", "b1"))
    for follower in (a, b, again):
        follower.apply(full(1000))
    assert a.ready() == again.ready() and len(a.ready() & b.ready()) < 40


def test_empty_cells_are_removed() -> None:
    subset = Subset("b1", 8)
    follower = SubsetFollower(subset)
    for start in range(0, 4000, 40):
        follower.apply(listing(True, *(entry(n) for n in range(start, start + 40))))
    assert len(subset.cells) < 200 and len(subset.cell_order) == len(subset.cells)


@async_test
async def test_balancer_with_subset_sends_only_within_it_and_follows_drains() -> None:
    async with BalancerTestbed(4) as testbed:
        node = testbed.node
        node.subset = Subset("n0", 2)
        hosts = [testbed.list_row(n, block=n // 2) for n in range(4)]
        testbed.update(*hosts, complete=True)
        await wait_until(lambda: len(node.engine.balancer.ready) == 2)
        used = {s.entry.server for s in node.engine.balancer.ready}
        assert used in ({"s0", "s1"}, {"s2", "s3"})
        for _ in range(10):
            assert (await testbed.submit(request())).status == 200
        assert {f"s{n}" for n, up in enumerate(testbed.upstreams) if up.received} <= used
        number = int(min(used)[1:])
        testbed.update(testbed.list_row(number, "draining", block=number // 2))
        await wait_until(lambda: not node.pool.upstreams[f"s{number}"].ready)
        other = {"s0", "s1", "s2", "s3"} - used  # the other cell, which is now added completely
        await wait_until(lambda: other <= {s.entry.server for s in node.engine.balancer.ready})
        before = len(testbed.upstreams[number].received)
        for _ in range(10):
            assert (await testbed.submit(request())).status == 200
        assert len(testbed.upstreams[number].received) == before
