"""Subsets: whole grupos, minima kept, little churn, drains passed on, and the loss of every member."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st
from peers import BalancerTestbed, async_test, request, wait_until

from quartzford.decision import interface as io
from quartzford.membership.listing import Listing
from quartzford.membership.subset import SLACK, Subset

ZONES = ("a", "b", "c")


def entry(number: int, state: str = "ready", started: float = 0.0) -> io.Endpoint:
    cell = number // 4
    return io.Endpoint(f"s{number}", ZONES[cell % 3], "std", cell, state, 1.0, started)


def listing(complete: bool, *entries: io.Endpoint) -> Listing:
    return Listing(1, complete, entries, tuple(("h", int(e.server[1:])) for e in entries))


def full(count: int) -> Listing:
    return listing(True, *(entry(n) for n in range(count)))


class SubsetFollower:
    """What a balancer behind a subset knows."""

    def __init__(self, subset: Subset) -> None:
        self.subset = subset
        self.states: dict[str, str] = {}
        self.changes = 0

    def hear(self, update: Listing) -> Listing:
        out = self.subset.filter(update)
        assert len(out.entries) == len(out.addresses) == len({e.server for e in out.entries})
        if out.complete:
            self.states.clear()
        for e in out.entries:
            self.changes += 1
            if e.state == "gone":
                self.states.pop(e.server, None)
            else:
                self.states[e.server] = e.state
        return out

    def ready(self) -> set[str]:
        return {name for name, state in self.states.items() if state == "ready"}


CHANGE = st.tuples(st.integers(0, 59), st.sampled_from(("ready", "ready", "draining", "gone")))
STEP = st.tuples(st.booleans(), st.lists(CHANGE, max_size=25))


@given(st.integers(0, 60), st.integers(1, 40), st.integers(0, 8), st.lists(STEP, max_size=8))
@budget(max_examples=300, deadline=None, derandomize=True, database=None)
def test_cells_are_complete_minima_hold_and_all_is_reported(
    count: int, size: int, per_zone: int, steps: list[Any]
) -> None:
    follower = SubsetFollower(Subset("b1", size, per_zone))
    truth = {f"s{n}": entry(n) for n in range(count)}
    follower.hear(listing(True, *truth.values()))
    for complete, rows in steps:
        changes = {f"s{n}": entry(n, state) for n, state in rows}
        if complete:
            truth = {name: e for name, e in changes.items() if e.state != "gone"}
            follower.hear(listing(True, *truth.values()))
        else:
            for name, e in changes.items():
                truth.pop(name, None)
                if e.state != "gone":
                    truth[name] = e
            follower.hear(listing(False, *changes.values()))
        ready = {name for name, e in truth.items() if e.state == "ready"}
        seen = follower.ready()
        assert seen <= ready, "told of one that is not ready"
        assert len(seen) >= min(size, len(ready))
        for zone in ZONES:
            there = {name for name in ready if truth[name].zone == zone}
            assert len(seen & there) >= min(per_zone, len(there))
        for cell in {truth[name].cell for name in seen}:
            complete_cell = {name for name in ready if truth[name].cell == cell}
            assert complete_cell <= seen, "a grupo in parts"
        assert not any(e.state == "draining" and follower.states.get(n) == "ready" for n, e in truth.items())
        if per_zone == 0:
            assert len(seen) <= max(SLACK * size, size + 4)


def test_an_upstream_that_dies_moves_little_and_nothing_when_it_comes_back() -> None:
    follower = SubsetFollower(Subset("b1", 100))
    follower.hear(full(1000))
    before = follower.ready()
    assert 100 <= len(before) <= 104
    one = min(before)
    number = int(one[1:])
    follower.changes = 0
    follower.hear(listing(False, entry(number, "gone")))
    assert follower.changes <= 5 and len(follower.ready()) >= 100
    follower.changes = 0
    follower.hear(listing(False, entry(number)))
    assert follower.changes == 1 and follower.ready() >= before


def test_an_upstream_of_other_subsets_moves_nothing() -> None:
    follower = SubsetFollower(Subset("b1", 100))
    follower.hear(full(1000))
    others = [n for n in range(1000) if f"s{n}" not in follower.ready()]
    follower.changes = 0
    for number in others[:200]:
        follower.hear(listing(False, entry(number, "gone")))
    assert follower.changes == 0


def test_every_member_dies_and_others_take_their_place() -> None:
    follower = SubsetFollower(Subset("b1", 40, 8))
    follower.hear(full(400))
    before = follower.ready()
    follower.hear(listing(False, *(entry(int(name[1:]), "gone") for name in before)))
    after = follower.ready()
    assert len(after) >= 40 and not after & before
    for zone in range(3):
        assert sum(int(name[1:]) // 4 % 3 == zone for name in after) >= 8
    follower.hear(listing(True))
    assert not follower.states and not follower.subset.announced


def test_what_leaves_the_subset_drains_and_is_not_gone() -> None:
    """Sixteen of forty that stand alone; then the first ones come back and the others are left."""
    subset = Subset("b1", 8)
    follower = SubsetFollower(subset)
    order = sorted({n // 4 for n in range(400)}, key=lambda cell: subset_place("b1", cell))
    last = [n for cell in order[-4:] for n in range(cell * 4, cell * 4 + 4)]
    first = [n for cell in order[:4] for n in range(cell * 4, cell * 4 + 4)]
    follower.hear(listing(True, *(entry(n) for n in last)))
    used = follower.ready()
    assert len(used) == 8
    out = follower.hear(listing(True, *(entry(n) for n in (*first, *last))))
    assert not any(e.state == "gone" for e in out.entries) and follower.ready() >= used
    follower.hear(listing(False, *(entry(int(name[1:]), "gone") for name in used)))
    assert follower.ready() == {f"s{n}" for n in first[:8]}


def subset_place(name: str, cell: int) -> int:
    from quartzford.membership.subset import score

    return score(name, cell)


def test_two_names_use_different_upstreams_and_one_name_the_same_again() -> None:
    a, b, again = (SubsetFollower(Subset(name, 100)) for name in ("b1", "b2", "b1"))
    for follower in (a, b, again):
        follower.hear(full(1000))
    assert a.ready() == again.ready() and len(a.ready() & b.ready()) < 40


def test_grupos_that_nobody_belongs_to_are_forgotten() -> None:
    subset = Subset("b1", 8)
    follower = SubsetFollower(subset)
    for start in range(0, 4000, 40):
        follower.hear(listing(True, *(entry(n) for n in range(start, start + 40))))
    assert len(subset.cells) < 200 and len(subset.order) == len(subset.cells)


@async_test
async def test_a_balancer_with_a_subset_sends_within_it_and_keeps_its_drains() -> None:
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
        other = {"s0", "s1", "s2", "s3"} - used  # has come in, whole
        await wait_until(lambda: other <= {s.entry.server for s in node.engine.balancer.ready})
        before = len(testbed.upstreams[number].received)
        for _ in range(10):
            assert (await testbed.submit(request())).status == 200
        assert len(testbed.upstreams[number].received) == before
