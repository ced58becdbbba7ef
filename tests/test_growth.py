"""Sixteen times the upstreams: the working set where cells are large, and bench.growth's bounds."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from helpers import attempt_ended, sends, settings, submit

from bench.growth import BOUNDS, ResourceUse, compare, measure_day
from bench.growth_site import ADDRESS, Day, site
from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer
from quartzford.decision.workingset import (
    MAX_IN_USE_MULTIPLE,
    MIN_SERVERS_IN_USE,
    SERVERS_PER_CELL_PART,
    WorkingSet,
)

CELLS = 8
LATENCY_MS = 20.0


def always_usable(_: str) -> bool:
    return True


def entry(number: int, cell: int, started_ms: float = 0.0) -> io.Endpoint:
    return io.Endpoint(f"s{number}", "north", "std", cell, "ready", 1.0, started_ms)


def filled(salt: int, servers: int) -> WorkingSet:
    working = WorkingSet(salt)
    for number in range(servers):
        working.add_candidate(f"s{number}", number % CELLS)
    return working


def first_meetings(upstreams: int, seed: int, cell_of_newcomers: int | None) -> int:
    """Servers that are met over 20 s at ten requests a second, while a twelfth more joins within 8 s."""
    balancer, rng, met = Balancer(settings(), seed), random.Random(seed), set()
    balancer.handle(0.0, io.EndpointListUpdate("stale", tuple(entry(n, n % CELLS) for n in range(upstreams))))
    joining = upstreams // 12
    for number in range(200):
        now = 100.0 * number + rng.uniform(0.0, 50.0)
        due = (
            range(joining * (number - 60) // 80, joining * (number - 59) // 80) if 60 <= number < 140 else ()
        )
        rows = []
        for newcomer in due:
            cell = newcomer % CELLS if cell_of_newcomers is None else cell_of_newcomers
            rows.append(entry(upstreams + newcomer, cell, now))
        if rows:
            balancer.handle(now, io.EndpointListUpdate("changes", tuple(rows)))
        for send in sends(submit(balancer, now, number)):
            met.add(send.server)
            balancer.handle(now + LATENCY_MS, attempt_ended(send, 0, "ok", LATENCY_MS, final=True))
    return len(met)


@pytest.mark.parametrize("cell_of_newcomers", [None, 3])
@pytest.mark.parametrize("seed", range(8))
def test_how_many_servers_are_met_follows_from_the_traffic_and_not_from_the_list(
    seed: int, cell_of_newcomers: int | None
) -> None:
    """Also where all newcomers are of one cell, whichever place the balancer's order gives it."""
    few, many = (first_meetings(count, seed, cell_of_newcomers) for count in (200, 3_200))
    assert MIN_SERVERS_IN_USE <= few <= 2 * MIN_SERVERS_IN_USE
    assert many <= few + MIN_SERVERS_IN_USE


def test_every_server_of_a_large_cell_is_used_by_its_share_of_the_balancers() -> None:
    """Newcomers, too, and at once; four deviations of a binomial draw at the most."""
    salts, used = 600, Counter[str]()
    for salt in range(salts):
        working = filled(salt, 200)
        working.update(MIN_SERVERS_IN_USE, always_usable)
        for number in range(200, 216):
            working.add_candidate(f"s{number}", number % CELLS)
        working.update(MIN_SERVERS_IN_USE, always_usable)
        assert MIN_SERVERS_IN_USE <= working.size <= MAX_IN_USE_MULTIPLE * MIN_SERVERS_IN_USE
        used.update(name for names in working.used.values() for name in names)
    mean = sum(used.values()) / 216
    reach = 4 * mean**0.5
    assert all(mean - reach < used[f"s{number}"] < mean + reach for number in range(216))
    newcomers = sum(used[f"s{number}"] for number in range(200, 216)) / 16
    assert 0.8 * mean < newcomers < 1.2 * mean


@pytest.mark.parametrize("seed", range(4))
def test_random_lists_of_large_cells_keep_the_books(seed: int) -> None:
    rng, working, ejected = random.Random(seed), WorkingSet(seed), set[str]()
    for _ in range(600):
        name = f"s{rng.randrange(120)}"
        match rng.randrange(4):
            case 0 | 1:
                working.add_candidate(name, rng.randrange(4))
            case 2:
                working.remove_candidate(name)
            case _:
                ejected ^= {name}
        wanted = rng.randrange(MIN_SERVERS_IN_USE, 60)
        working.update(wanted, lambda name, out=frozenset(ejected): name not in out)
        used = {name for names in working.used.values() for name in names}
        usable = [name for name in working.cell_of if name not in ejected]
        assert len(used) == working.size and used <= working.cell_of.keys()
        assert len(used - ejected) >= min(wanted, len(usable))
        assert len(used - ejected) <= max(MAX_IN_USE_MULTIPLE * wanted, wanted + SERVERS_PER_CELL_PART)
        assert working.ranked_servers.keys() == {
            cell for cell, names in working.cells.items() if len(names) > SERVERS_PER_CELL_PART
        }
        for cell, ranked in working.ranked_servers.items():
            assert ranked == sorted(ranked) and {name for _, name in ranked} == working.cells[cell].keys()


def test_a_keyed_request_goes_again_in_its_large_cell() -> None:
    balancer = Balancer(settings(), 2)
    balancer.handle(0.0, io.EndpointListUpdate("stale", tuple(entry(n, n % CELLS) for n in range(400))))
    for number in range(40):
        now, balancer.retry_budget = 1_000.0 * number, 5.0
        (send,) = sends(submit(balancer, now, number, "book"))
        (again,) = sends(balancer.handle(now + 5.0, attempt_ended(send, 0, "reset", 5.0)))
        assert again.server != send.server
        assert int(again.server[1:]) % CELLS == int(send.server[1:]) % CELLS
        balancer.handle(now + 9.0, attempt_ended(again, 1, "ok", 4.0))


def test_a_successor_uses_what_the_process_before_used_of_large_cells() -> None:
    before, after = filled(1, 400), filled(2, 400)
    before.update(MIN_SERVERS_IN_USE, always_usable)
    names = [name for used in before.used.values() for name in used]
    assert after.restore(names) == names and after.size == len(names)
    assert after.restore(["unknown"]) == []


def test_the_bounds_are_those_of_the_standing_table() -> None:
    usual = ResourceUse(1.53, 26.6, 90, 83, 100.0, 0.98)
    limits = [round(bound.limit(getattr(usual, bound.field), 3_200), 2) for bound in BOUNDS]
    assert limits == [2.55, 60.7, 220.0, 247.5, 1_864.0, 0.83]
    rows = compare("day", usual, ResourceUse(2.29, 46.7, 259, 490, 1_000.0, 0.98), 3_200)
    assert [row["holds"] for row in rows] == [True, True, False, False, True, True]
    assert not compare("day", usual, usual._replace(served=0.8), 3_200)[-1]["holds"]


def test_a_short_day_on_sockets_gives_all_figures() -> None:
    day = Day("join", "larger cells", 24, 40.0, seconds=2.0, churn_from=0.5, churn_s=0.5, replaced=2)
    with site(day) as running:  # at an address of their own: other programs' calls would be counted
        assert all(row["dial"].startswith(f"{ADDRESS}:") for row in running.known["hosts"])
    found = measure_day(day)
    assert found.served > 0.9 and found.connections >= 10 and found.list_kb > 0
    assert found.descriptors >= 10 and found.peak_mb > 10 and found.cpu_s > 0
