"""The working set: the servers that a balancer uses; on its own and within the decision module."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from helpers import attempt_ended, list_update, make_endpoint, sends, settings, started_balancer, submit

from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer
from quartzford.decision.workingset import MAX_IN_USE_MULTIPLE, MIN_SERVERS_IN_USE, WorkingSet


def always_available(_: str) -> bool:
    return True


def working_set_with(salt: int, cells: int, servers_per_cell: int = 4) -> WorkingSet:
    working = WorkingSet(salt)
    for cell in range(cells):
        for n in range(servers_per_cell):
            working.add_candidate(f"c{cell}n{n}", cell)
    return working


def cells_of_servers(working: WorkingSet, names: list[str]) -> set[int]:
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
def test_working_set_size_follows_the_request_rate(per_s: float, servers: int, least: int, most: int) -> None:
    working = working_set_with(1, servers // 4)
    working.update(working.target_count(per_s / 1000.0), always_available)
    assert least <= 4 * len(working.used) <= most


def test_balancers_together_use_all_cells_about_equally() -> None:
    used: Counter[int] = Counter()
    for salt in range(400):
        working = working_set_with(salt, 40)
        working.update(MIN_SERVERS_IN_USE, always_available)
        used.update(working.used.keys())
    # Each balancer draws independently: forty each, within four standard deviations of a binomial draw.
    assert len(used) == 40 and min(used.values()) > 16 and max(used.values()) < 64


def test_new_cells_are_used_by_their_share_of_balancers_and_move_few_servers() -> None:
    """With twenty new cells among sixty, a third of the used cells are new.

    No balancer takes more servers out of use than into use.
    """
    new = 0
    for salt in range(200):
        working = working_set_with(salt, 40)
        working.update(MIN_SERVERS_IN_USE, always_available)
        before = set(working.used)
        for cell in range(40, 60):
            for n in range(4):
                working.add_candidate(f"c{cell}n{n}", cell)
        added, removed = working.update(MIN_SERVERS_IN_USE, always_available)
        cells_added, cells_removed = cells_of_servers(working, added), cells_of_servers(working, removed)
        assert cells_added == working.used.keys() - before and cells_removed == before - working.used.keys()
        assert len(added) == 4 * len(cells_added) and len(removed) == 4 * len(cells_removed)
        assert all(cell >= 40 for cell in cells_added) and len(removed) <= len(added)
        assert 4 * len(working.used) <= MAX_IN_USE_MULTIPLE * MIN_SERVERS_IN_USE
        new += sum(cell >= 40 for cell in working.used)
    assert 0.25 < new / (200 * MIN_SERVERS_IN_USE / 4) < 0.42


def test_failing_cell_stays_in_use_beside_its_substitute_and_flapping_moves_nothing() -> None:
    working = working_set_with(3, 40)
    working.update(MIN_SERVERS_IN_USE, always_available)
    before = set(working.used)
    bad = min(before)
    added, removed = working.update(MIN_SERVERS_IN_USE, lambda name: not name.startswith(f"c{bad}n"))
    assert len(cells_of_servers(working, added)) == 1 and len(added) == 4
    assert not removed and bad in working.used
    for _ in range(20):  # the cell flaps: available, then unavailable again
        assert working.update(MIN_SERVERS_IN_USE, always_available) == ([], [])
        assert working.update(MIN_SERVERS_IN_USE, lambda name: not name.startswith(f"c{bad}n")) == ([], [])


def test_all_servers_are_used_while_none_is_available() -> None:
    working = working_set_with(5, 40)
    working.update(MIN_SERVERS_IN_USE, lambda name: False)
    assert len(working.used) == 40
    working.update(MIN_SERVERS_IN_USE, always_available)
    assert MIN_SERVERS_IN_USE <= 4 * len(working.used) <= MAX_IN_USE_MULTIPLE * MIN_SERVERS_IN_USE


@pytest.mark.parametrize("seed", range(4))
def test_servers_in_use_after_random_events_match_list_maintenance_and_cells(seed: int) -> None:
    """The servers in use are those that are ready in the list, not in maintenance, and of a used cell."""
    rng, balancer, now = random.Random(seed), started_balancer(60, seed=seed), 0.0
    for step in range(400):
        now += rng.expovariate(1 / 50.0)
        choice = rng.random()
        numbers = [rng.randrange(80) for _ in range(rng.randrange(1, 6))]
        if choice < 0.15:
            states = rng.choice(("ready", "draining", "gone"))
            rows = tuple(make_endpoint(n, states, rng.choice((0.0, now))) for n in numbers)
            balancer.handle(now, io.EndpointListUpdate("changes", rows))
        elif choice < 0.2:
            relocated = tuple(
                make_endpoint(n)._replace(cell=rng.randrange(40)) for n in numbers
            )  # to another cell
            balancer.handle(now, io.EndpointListUpdate("changes", relocated))
        elif choice < 0.25:
            balancer.handle(now, io.MaintenanceChange(f"s{numbers[0]}", rng.random() < 0.5))
        else:
            for send in sends(submit(balancer, now, step)):
                code = rng.choice(("ok", "ok", "error"))
                balancer.handle(now, attempt_ended(send, 0, code, 5.0, final=True))
        endpoints = balancer.endpoints
        candidates = {
            n
            for n, s in endpoints.servers.items()
            if s.entry.state == "ready" and n not in endpoints.in_maintenance
        }
        assert set(endpoints.working_set.cell_of) == candidates
        used = {n for n in candidates if endpoints.servers[n].entry.cell in endpoints.working_set.used}
        assert (
            {s.entry.server for s in endpoints.ready}
            == used
            == {n for n, s in endpoints.servers.items() if s.slot >= 0}
        )
        assert all(endpoints.ready[s.slot] is s for s in endpoints.ready)
        assert endpoints.excluded_count() >= len(candidates - used) + len(
            endpoints.in_maintenance & set(endpoints.servers)
        )  # the count that operators see
        assert sum(map(float, endpoints.shares.p)) == pytest.approx(1.0 if used else 0.0)


def test_unresponsive_servers_cost_a_balancer_with_little_traffic_few_sends() -> None:
    """One in eight of two hundred servers never answers, at ten requests per second.

    If all servers were in use, one in eight sends would go to them for more than twenty seconds.
    """
    unanswered = sent = 0
    for seed in range(5):
        balancer = started_balancer(200, seed=seed)
        for n in range(300):
            now = 100.0 * n
            for send in sends(balancer.handle(now, io.Request(n, "pay", 800.0))):
                bad = int(send.server[1:]) % 8 == 0
                unanswered, sent = unanswered + (bad and now > 5_000.0), sent + (now > 5_000.0)
                balancer.handle(
                    now + 50.0, attempt_ended(send, 0, "timeout" if bad else "ok", 50.0, final=True)
                )
    assert unanswered / sent < 0.04, unanswered / sent


def test_retry_of_a_keyed_request_stays_in_its_cell() -> None:
    balancer = Balancer(settings(), 2)
    balancer.handle(0.0, list_update(range(100)))
    for n in range(40):
        now, balancer.retry_budget = 1_000.0 * n, 5.0
        (send,) = sends(submit(balancer, now, n, "book"))
        (retry,) = sends(balancer.handle(now + 5.0, attempt_ended(send, 0, "reset", 5.0)))
        assert int(retry.server[1:]) // 2 == int(send.server[1:]) // 2
        balancer.handle(now + 9.0, attempt_ended(retry, 1, "ok", 4.0))


def test_successor_uses_the_servers_that_its_predecessor_used() -> None:
    before = started_balancer(100, seed=1)
    for n in range(50):
        for send in sends(submit(before, 100.0 * n, n)):
            before.handle(100.0 * n + 5.0, attempt_ended(send, 0, "ok", 5.0))
    learned_state = before.hand_over(5_000.0)
    after = started_balancer(100, seed=2)
    after.handle(5_001.0, list_update(range(100)))
    after.inherit(5_002.0, learned_state)
    used = {s.entry.server for s in before.ready}
    assert used <= {s.entry.server for s in after.ready}
