"""The cold budget, and simulated fleets of one to two hundred decision modules that must keep it."""

from __future__ import annotations

import math

import pytest

from bench.coldbound import SIZES
from bench.coldbudget import cold_budget
from bench.fleetmodel import World
from bench.fleetmodel_settings import (
    EPOCH_MS,
    MEAN_WORK_MS,
    OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW_MS,
    SLOW_START_CAPACITY,
    Plan,
)
from bench.fleetmodel_upstream import Upstream


@pytest.mark.parametrize(
    ("allowed", "budget"),
    [
        (0.0, 3.0),
        (4.0, 4.0 + 3 * 2 + 3),
        (29.9, 29.9 + 3 * math.sqrt(29.9) + 3),
        (30.0, 30.0 + 2 * math.sqrt(30.0) + 2),
        (100.0, 100.0 + 2 * 10 + 2),
    ],
)
def test_cold_budget_is_the_allowed_count_plus_a_random_margin(allowed: float, budget: float) -> None:
    assert cold_budget(allowed) == pytest.approx(budget)


@pytest.mark.parametrize("cores", [1, 4])
def test_model_upstream_fails_only_beyond_its_cold_budget(cores: int) -> None:
    upstream = Upstream("s0", "north", 0, speed=1.0, started_ms=EPOCH_MS, cores=cores)
    allowed = OVERLOAD_MULTIPLE * SLOW_START_CAPACITY * cores * OVERLOAD_WINDOW_MS / MEAN_WORK_MS
    assert (allowed < 30.0) == (cores == 1)
    withstood = [upstream.withstands(EPOCH_MS, MEAN_WORK_MS) for _ in range(200)]
    assert sum(withstood) == math.floor(cold_budget(allowed)) and withstood == sorted(withstood, reverse=True)


@pytest.mark.parametrize(("event", "seconds"), [("cold start", 5.0), ("join", 10.0)])
@pytest.mark.parametrize("balancers", SIZES)
def test_balancers_of_any_number_together_keep_the_cold_budget(
    balancers: int, event: str, seconds: float
) -> None:
    """The upstreams are small, so that the settings allow under thirty requests while they are coldest."""
    for seed in range(2):
        world = World(Plan(balancers, 12, event, seconds, seed, cores=1)).run()
        found = world.result()
        assert 0 < found["cold_use"] <= 1.0, seed
        assert not found["fallen"] and not found["broken"], seed


@pytest.mark.parametrize("seed", range(2))
def test_cold_budget_is_kept_while_no_upstream_is_warm_and_clients_retry(seed: int) -> None:
    """Traffic is 2.5 times the usual, and sent three times because little is served.

    That is 4.5 times what warm upstreams can process.
    """
    found = World(Plan(20, 6, "cold start", 4.5, seed, rate=2.5)).run().result()
    assert 0 < found["cold_use"] <= 1.0
    assert not found["fallen"] and not found["broken"]
