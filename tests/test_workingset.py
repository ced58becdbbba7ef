"""The working set: which servers a balancer uses, by itself and in the module, on a clock of their own."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from helpers import attempt_ended, list_update, make_endpoint, sends, settings, started_balancer, submit

from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer
from quartzford.decision.workingset import MAX_IN_USE_MULTIPLE, MIN_SERVERS_IN_USE, WorkingSet


def able(_: str) -> bool:
    return True


def filled(salt: int, cells: int, each: int = 4) -> WorkingSet:
    working = WorkingSet(salt)
    for cell in range(cells):
        for n in range(each):
            working.add_candidate(f"c{cell}n{n}", cell)
    return working


def cells_of(working: WorkingSet, names: list[str]) -> set[int]:
    return {working.cell_of[name] for name in names}


@pytest.mark.parametrize(
    ("per_s", "servers", "least", "most"),
    [
        (0.0, 4, 4, 4),
        (0.0, 200, MIN_SERVERS_IN_USE, 20),
        (10.0, 200, MIN_SERVERS_IN_USE, 20),
        (40.0, 200, 60, 64),
        (400.0, 200, 200, 200),
    ],
)
def test_so_many_servers_are_in_use_as_are_met_often(
    per_s: float, servers: int, least: int, most: int
) -> None:
    working = filled(1, servers // 4)
    working.update(working.target_count(per_s / 1000.0), able)
    assert least <= 4 * len(working.used) <= most


def test_all_balancers_together_use_all_servers_about_alike() -> None:
    used: Counter[int] = Counter()
    for salt in range(400):
        working = filled(salt, 40)
        working.update(MIN_SERVERS_IN_USE, able)
        used.update(working.used.keys())
    # Drawn by each alone: forty each, and four deviations of a binomial draw from it at the most.
    assert len(used) == 40 and min(used.values()) > 16 and max(used.values()) < 64


def test_a_new_cell_gets_its_part_of_the_balancers_and_moves_few() -> None:
    """Of sixty cells twenty are new, and so is a third of what is used; nobody leaves more than it took."""
    new = 0
    for salt in range(200):
        working = filled(salt, 40)
        working.update(MIN_SERVERS_IN_USE, able)
        before = set(working.used)
        for cell in range(40, 60):
            for n in range(4):
                working.add_candidate(f"c{cell}n{n}", cell)
        taken, left = working.update(MIN_SERVERS_IN_USE, able)
        cells_taken, cells_left = cells_of(working, taken), cells_of(working, left)
        assert cells_taken == working.used.keys() - before and cells_left == before - working.used.keys()
        assert len(taken) == 4 * len(cells_taken) and len(left) == 4 * len(cells_left)
        assert all(cell >= 40 for cell in cells_taken) and len(left) <= len(taken)
        assert 4 * len(working.used) <= MAX_IN_USE_MULTIPLE * MIN_SERVERS_IN_USE
        new += sum(cell >= 40 for cell in working.used)
    assert 0.25 < new / (200 * MIN_SERVERS_IN_USE / 4) < 0.42


def test_what_fails_stays_beside_what_takes_its_part_and_a_flap_moves_nothing() -> None:
    working = filled(3, 40)
    working.update(MIN_SERVERS_IN_USE, able)
    before = set(working.used)
    bad = min(before)
    taken, left = working.update(MIN_SERVERS_IN_USE, lambda name: not name.startswith(f"c{bad}n"))
    assert len(cells_of(working, taken)) == 1 and len(taken) == 4
    assert not left and bad in working.used
    for _ in range(20):  # well and bad again
        assert working.update(MIN_SERVERS_IN_USE, able) == ([], [])
        assert working.update(MIN_SERVERS_IN_USE, lambda name: not name.startswith(f"c{bad}n")) == ([], [])


def test_where_nothing_is_able_all_are_used_and_left_again() -> None:
    working = filled(5, 40)
    working.update(MIN_SERVERS_IN_USE, lambda name: False)
    assert len(working.used) == 40
    working.update(MIN_SERVERS_IN_USE, able)
    assert MIN_SERVERS_IN_USE <= 4 * len(working.used) <= MAX_IN_USE_MULTIPLE * MIN_SERVERS_IN_USE


@pytest.mark.parametrize("seed", range(4))
def test_random_lists_keep_the_books_of_the_module(seed: int) -> None:
    """In use is just what the list has ready, operators let, and the cells in use hold, whatever happens."""
    rng, balancer, now = random.Random(seed), started_balancer(60, seed=seed), 0.0
    for step in range(400):
        now += rng.expovariate(1 / 50.0)
        kind = rng.random()
        numbers = [rng.randrange(80) for _ in range(rng.randrange(1, 6))]
        if kind < 0.15:
            states = rng.choice(("ready", "draining", "gone"))
            rows = tuple(make_endpoint(n, states, rng.choice((0.0, now))) for n in numbers)
            balancer.handle(now, io.EndpointListUpdate("changes", rows))
        elif kind < 0.2:
            moved = tuple(
                make_endpoint(n)._replace(cell=rng.randrange(40)) for n in numbers
            )  # to another cell
            balancer.handle(now, io.EndpointListUpdate("changes", moved))
        elif kind < 0.25:
            balancer.handle(now, io.MaintenanceChange(f"s{numbers[0]}", rng.random() < 0.5))
        else:
            for send in sends(submit(balancer, now, step)):
                code = rng.choice(("ok", "ok", "error"))
                balancer.handle(now, attempt_ended(send, 0, code, 5.0, final=True))
        endpoints = balancer.endpoints
        usable = {
            n
            for n, s in endpoints.servers.items()
            if s.entry.state == "ready" and n not in endpoints.in_maintenance
        }
        assert set(endpoints.working_set.cell_of) == usable
        used = {n for n in usable if endpoints.servers[n].entry.cell in endpoints.working_set.used}
        assert (
            {s.entry.server for s in endpoints.ready}
            == used
            == {n for n, s in endpoints.servers.items() if s.slot >= 0}
        )
        assert all(endpoints.ready[s.slot] is s for s in endpoints.ready)
        assert endpoints.excluded_count() >= len(usable - used) + len(
            endpoints.in_maintenance & set(endpoints.servers)
        )  # as operators see it
        assert sum(map(float, endpoints.shares.p)) == pytest.approx(1.0 if used else 0.0)


def test_bad_servers_cost_a_thin_balancer_a_few_sends() -> None:
    """One in eight of two hundred swallows everything; ten requests a second: with all in use, one send in
    eight goes there for twenty seconds and more."""
    swallowed = sent = 0
    for seed in range(5):
        balancer = started_balancer(200, seed=seed)
        for n in range(300):
            now = 100.0 * n
            for send in sends(balancer.handle(now, io.Request(n, "pay", 800.0))):
                bad = int(send.server[1:]) % 8 == 0
                swallowed, sent = swallowed + (bad and now > 5_000.0), sent + (now > 5_000.0)
                balancer.handle(
                    now + 50.0, attempt_ended(send, 0, "timeout" if bad else "ok", 50.0, final=True)
                )
    assert swallowed / sent < 0.04, swallowed / sent


def test_a_keyed_request_goes_again_in_its_cell() -> None:
    balancer = Balancer(settings(), 2)
    balancer.handle(0.0, list_update(range(100)))
    for n in range(40):
        now, balancer.retry_budget = 1_000.0 * n, 5.0
        (send,) = sends(submit(balancer, now, n, "book"))
        (again,) = sends(balancer.handle(now + 5.0, attempt_ended(send, 0, "reset", 5.0)))
        assert int(again.server[1:]) // 2 == int(send.server[1:]) // 2
        balancer.handle(now + 9.0, attempt_ended(again, 1, "ok", 4.0))


def test_a_successor_uses_what_the_process_before_used() -> None:
    before = started_balancer(100, seed=1)
    for n in range(50):
        for send in sends(submit(before, 100.0 * n, n)):
            before.handle(100.0 * n + 5.0, attempt_ended(send, 0, "ok", 5.0))
    memory = before.hand_over(5_000.0)
    after = started_balancer(100, seed=2)
    after.handle(5_001.0, list_update(range(100)))
    after.inherit(5_002.0, memory)
    used = {s.entry.server for s in before.ready}
    assert used <= {s.entry.server for s in after.ready}
