"""Slopes: the fit and what it predicts, and that figures are measured, fitted and shown."""

from __future__ import annotations

import math
import os
import random
import time
from multiprocessing.connection import Connection
from pathlib import Path

import pytest

from bench import slopes, slopes_list, slopes_services
from bench.fit import CONSTANT, LINE, N_LOG_N, POWER, best_fit, figure, line
from bench.slopes_page import page, remarks
from bench.slopes_process import MeasurementError, measure_in_process, receive, spawned
from bench.slopes_roles import ROLES, Role

SIZES = (1_000.0, 4_000.0, 16_000.0, 32_000.0, 63_000.0)


def test_a_line_is_found_and_predicts_the_size_that_was_kept_out() -> None:
    rng = random.Random(1)
    points = {n: 40.0 + 0.002 * n + rng.uniform(-0.5, 0.5) for n in SIZES}
    fit, kept = best_fit(points, 32_000.0)
    assert fit.kind == LINE
    assert fit.slope == pytest.approx(0.002, rel=0.05) and fit.intercept == pytest.approx(40.0, abs=1.5)
    assert kept.value == points[32_000.0]
    assert kept.error < 0.02 and kept.error == kept.line_error
    assert 0.0 < fit.residual < 1.0


def test_the_size_that_is_kept_out_has_no_part_in_the_fit() -> None:
    points = {n: 3.0 + 2.0 * n for n in SIZES} | {16_000.0: 36_000.0}
    fit, kept = best_fit(points, 16_000.0)
    assert fit.at(16_000.0) == pytest.approx(32_003.0)
    assert kept.predicted == pytest.approx(32_003.0) and kept.error == pytest.approx(3_997.0 / 36_000.0)
    others = [n for n in SIZES if n != 16_000.0]
    assert line(others, [points[n] for n in others]).slope == pytest.approx(fit.slope)


@pytest.mark.parametrize(("exponent", "out"), ((0.5, 1_000.0), (2.0, 4_000.0), (3.0, 16_000.0)))
def test_a_power_is_no_line_and_is_named_with_its_exponent(exponent: float, out: float) -> None:
    fit, kept = best_fit({n: 1e-4 * n**exponent for n in SIZES}, out)
    assert fit.kind == POWER and fit.exponent == pytest.approx(exponent)
    assert kept.line_error > 0.2 and kept.error < 1e-6
    assert fit.at(8_000.0) == pytest.approx(1e-4 * 8_000.0**exponent)


def test_n_log_n_over_a_level_is_named() -> None:
    points = {n: 1.0 + n * math.log2(n) for n in (10.0, 100.0, 1_000.0, 10_000.0, 100_000.0)}
    fit, kept = best_fit(points, 100.0)
    assert fit.kind == N_LOG_N and fit.slope == pytest.approx(1.0)
    assert kept.line_error > 0.2 and kept.error < 1e-6


def test_a_constant_stays_one_where_one_size_was_disturbed() -> None:
    points = {1.0: 5.0, 10.0: 5.2, 100.0: 60.0, 1_000.0: 5.1, 10_000.0: 5.1}
    fit, kept = best_fit(points, 1_000.0)
    assert fit.kind == CONSTANT and fit.intercept == pytest.approx(5.15, abs=0.1)
    assert kept.line_error > 0.2 and kept.error < 0.05


def test_values_of_nothing_are_a_line_without_an_error() -> None:
    fit, kept = best_fit(dict.fromkeys(SIZES, 0.0), 4_000.0)
    assert (fit.kind, fit.slope, kept.error) == (LINE, 0.0, 0.0)


@pytest.mark.parametrize("kept", (5.0, 2.0))
def test_too_few_sizes_and_a_size_that_was_not_measured_are_refused(kept: float) -> None:
    with pytest.raises(ValueError, match="four sizes"):
        best_fit({1.0: 1.0, 2.0: 2.0, 3.0: 3.0} | ({4.0: 4.0} if kept == 5.0 else {}), kept)


def test_a_figure_says_whether_its_target_was_measured_or_reckoned() -> None:
    points = {n: 2.0 * n for n in (1.0, 2.0, 3.0, 4.0)}
    at = [figure("r", "f", "ms", "rows", points, 3.0, target)["at_target"] for target in (4.0, 40.0)]
    assert at == [
        {"size": 4.0, "value": 8.0, "measured": True},
        {"size": 40.0, "value": 80.0, "measured": False},
    ]


# ---- processes


def fails(pipe: Connection) -> None:
    """A measuring process that fails."""
    raise ZeroDivisionError("by intent")


def sends_its_pid_and_stays(pipe: Connection) -> None:
    """A measuring process that does not end by itself."""
    pipe.send(os.getpid())
    time.sleep(600)


def test_a_measuring_process_that_fails_is_reported_with_its_cause() -> None:
    with pytest.raises(MeasurementError, match="by intent"):
        measure_in_process(fails)


def test_an_interrupted_measurement_leaves_no_process() -> None:
    with pytest.raises(KeyboardInterrupt), spawned(sends_its_pid_and_stays) as pipe:
        pid = receive(pipe)
        raise KeyboardInterrupt
    assert not Path(f"/proc/{pid}").exists()


# ---- a small run, on sockets


def test_a_balancer_and_the_list_service_are_measured_fitted_and_shown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sizes = slopes_list.Sizes((300, 600, 900, 1_200), 900, 2, 1, 0.1, 0.1)
    costs = slopes_list.costs_by_size(sizes)
    assert all(row.resident_mb > row.base_mb for row in costs.values())
    memory = {float(n): row.resident_mb for n, row in costs.items()}
    services = slopes_services.Sizes((4, 8, 16, 32), 16, (2, 4, 8, 16), 8, 1, 0.1, (100, 200, 400, 800), 400)
    calls = slopes_services.poll_costs(ROLES[0], services)
    assert list(calls) == [4, 8, 16, 32] and all(cost > 0 for cost in calls.values())

    def group(quick: bool) -> list[dict[str, object]]:
        return [
            figure("balancer", "memory", "MB", "upstreams", memory, 900.0, 63_000.0),
            figure("list service", "calls", "ms", "calls", calls, 16.0, 4_600.0),
        ]

    def broken(quick: bool) -> list[dict[str, object]]:
        raise MeasurementError("by intent")

    monkeypatch.setattr(slopes, "groups", lambda: {"one": group, "two": broken})
    result = slopes.measure(True, [])
    assert [one["role"] for one in result["figures"]] == ["balancer", "list service"]
    assert result["failed"] == [{"group": "two", "error": "by intent"}]
    text = page(result, "Said by hand.")
    assert "| memory | upstreams | 300, 600, 900, 1,200 |" in text and "two: by intent" in text
    assert remarks(text) == "Said by hand."


@pytest.mark.parametrize("role", ROLES, ids=lambda role: role.name)
def test_each_role_that_serves_lists_is_polled_and_watched_and_notifies_all(role: Role) -> None:
    sizes = slopes_services.QUICK._replace(changes=2, rest_s=0.1)
    watched = slopes_services.watcher_costs(role, 16, sizes)  # fails unless all of them are notified
    assert watched.memory_mb > 0 and watched.change.processor_ms > 0
    assert slopes_services.list_costs(role, 200).memory_mb > 0
