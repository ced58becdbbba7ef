"""The module's size, and the settings it turns away."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest
from helpers import settings

from quartzford.decision import interface as io

ROOT = Path(__file__).resolve().parent.parent


def test_the_module_stays_small_and_names_its_interface() -> None:
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    texts = [(ROOT / name).read_text().splitlines() for name in policy]
    assert sum(bool(line.strip()) for lines in texts for line in lines) <= 1200
    lines = (ROOT / "quartzford" / "decision" / "logic.py").read_text().splitlines()
    assert max(map(len, lines)) <= 110
    assert "quartzford/decision/interface.py" in lines[0]


@pytest.mark.parametrize(
    ("build", "name"),
    [
        (lambda: settings(balancers=0), "balancers"),
        (lambda: settings(classes=()), "classes"),
        (lambda: settings(tick_ms=-1.0), "tick_ms"),
        (lambda: io.ServiceClass("x", -5.0, 100.0), "aim_ms"),
        (lambda: io.ServiceClass("x", 5.0, 100.0, effect="maybe"), "effect"),
        (lambda: io.ServiceClass("x", 5.0, 100.0, group="moon"), "group"),
        (lambda: io.Rules(start_capacity=0.0), "start_capacity"),
        (lambda: io.Rules(cold_ms=float("nan")), "cold_ms"),
        (lambda: io.Limits(max_attempts=0), "max_attempts"),
        (lambda: io.Tenant("t", -1.0), "quota_per_s"),
    ],
)
def test_senseless_settings_are_named(build: Any, name: str) -> None:
    with pytest.raises(ValueError, match=name):
        build()
