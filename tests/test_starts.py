"""Restarted processes are ready in time, whatever the service that has the list does: real processes."""

from __future__ import annotations

from typing import Any

import pytest

from rig.scenario import Scenario, play

READY_S = 10.0  # nine in ten are ready by then
SERVICES: dict[str, dict[str, Any]] = {
    "up": {},
    "down for 8 s": {"downs": [[0, 8]]},
    "silent": {"mute": [[0, 30]]},
    "turning away": {"line": "turns away", "per_s": 0.2, "retry_after": "30"},
}


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("name", SERVICES)
def test_nine_in_ten_restarted_processes_are_ready_within_ten_seconds(name: str, pushed: bool) -> None:
    """Ten of twelve are killed as they start, and start again with the list they had."""
    scenario = Scenario(
        balancers=12,
        upstream_plan={"nodos": 6, "capacity": 200.0},
        rate=30.0,
        seconds=3.5,
        known="before",
        automatic=pushed,
        service=SERVICES[name],
        events="0.1 kill nodes[:10] back 0.2",
    )
    result = play(scenario)
    broken = {rule: count for rule, count in result["rules"].items() if count}
    assert result["kept"], (broken, result["crashes"])
    ready = sorted(result["taken_in_s"])
    assert len(ready) == 12 and ready[10] <= READY_S


def test_with_no_list_known_they_are_ready_once_the_service_is_back() -> None:
    scenario = Scenario(
        balancers=12,
        upstream_plan={"nodos": 6, "capacity": 200.0},
        rate=30.0,
        seconds=11.5,
        known="nothing",
        service=SERVICES["down for 8 s"],
    )
    result = play(scenario)
    broken = {rule: count for rule, count in result["rules"].items() if count}
    assert result["kept"], (broken, result["crashes"])
    ready = sorted(result["taken_in_s"])
    assert len(ready) == 12 and ready[0] >= 7.5 and ready[10] <= READY_S
