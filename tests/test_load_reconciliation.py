"""Reconciliation of the attempt log with the servers' account: it finds each breach and no other."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from quartzford.load.clients import DEFAULT_CLASSES
from quartzford.load.reconciliation import check_rules, sends_after_drain, slow_start_breaches

ACCOUNT: dict[str, Any] = {
    "version": 1,
    "runs": [
        [1.0, "1.0.1-1", "consulta", "", 0, False],
        [1.1, "1.0.2-1", "reserva", "k2", 0, False],
        [1.2, "1.0.2-2", "reserva", "k2", 0, True],  # a repeat, dropped by its cell
        [1.3, "1.0.3-2", "cobro", "", 0, False],
    ],
    "arrivals": {"s0": [[1.0, 0], [1.1, 0]], "s1": [[1.2, 1], [1.3, 1]]},
    "drains": [["s0", "a:1", 0.9, None]],
    "births": [["s1", 1, 1.15, 100.0, 0.13, 24.0]],
    "turned_away": 1,
    "overlapping": 0,
    "window_s": 2.0,
}
ATTEMPTS = [
    ("1.0.1-1", "consulta", "served"),
    ("1.0.2-1", "reserva", "no answer"),
    ("1.0.2-2", "reserva", "served"),
    ("1.0.3-1", "cobro", "refused"),
    ("1.0.3-2", "cobro", "served"),
]


def test_check_rules_consistent_account_and_log_keeps_all_rules() -> None:
    verdict = check_rules(ACCOUNT, ATTEMPTS, DEFAULT_CLASSES)
    assert verdict["kept"] and verdict["runs"] == 4 and verdict["drains"] == 1
    assert verdict["latest_send_after_drain_ms"] == 200.0 and verdict["cold"]["lives"] == 1


@pytest.mark.parametrize(
    ("rule", "add_breach"),
    [
        ("lost: no whole answer", lambda a, t: t.append(("1.0.7-1", "consulta", "lost"))),
        ("served but run by nobody", lambda a, t: t.append(("1.0.9-1", "consulta", "served"))),
        ("refused though it ran", lambda a, t: t.append(("1.0.3-2", "cobro", "refused"))),
        ("unsafe requests run twice", lambda a, t: a["runs"].append([2, "1.0.3-3", "cobro", "", 1, False])),
        (
            "keyed requests with two effects",
            lambda a, t: a["runs"].append([2.0, "1.0.2-3", "reserva", "k2", 1, False]),
        ),
        (
            "keyed requests with two effects",
            lambda a, t: a["runs"].append([3.2, "1.0.2-3", "reserva", "k2", 0, False]),
        ),
        ("two attempts of one request at once", lambda a, t: a.update(overlapping=1)),
        ("drain breaches", lambda a, t: a["arrivals"]["s0"].append([1.21, 0])),
        ("cold breaches", lambda a, t: a["arrivals"]["s1"].extend([[1.4, 1]] * 120)),
    ],
)
def test_check_rules_counts_a_breach_under_its_rule_only(rule: str, add_breach: Any) -> None:
    account, attempts = copy.deepcopy(ACCOUNT), list(ATTEMPTS)
    add_breach(account, attempts)
    verdict = check_rules(account, attempts, DEFAULT_CLASSES)
    assert verdict["rules"][rule] == 1 and not verdict["kept"]
    assert sum(bool(count) for count in verdict["rules"].values()) == 1


def test_check_rules_refused_repeatable_request_that_ran_is_no_breach() -> None:
    assert check_rules(ACCOUNT, [*ATTEMPTS, ("1.0.1-1", "consulta", "refused")], DEFAULT_CLASSES)["kept"]


def test_check_rules_unexpected_response_is_a_breach() -> None:
    assert check_rules(ACCOUNT, ATTEMPTS, DEFAULT_CLASSES, 1)["rules"]["answered twice"] == 1
    assert not check_rules(ACCOUNT, ATTEMPTS, DEFAULT_CLASSES, 1)["kept"]


def test_sends_after_drain_ignores_sends_after_the_end_of_a_drain() -> None:
    assert sends_after_drain([("a", 1.0, 2.0)], [("a", 2.5), ("a", 0.5), ("b", 1.9)]) == (0, 0.0)
    assert sends_after_drain([("a", 1.0, 2.0)], [("a", 1.9)], 0.3) == (1, pytest.approx(0.9))


def test_slow_start_breaches_ignores_a_warm_incarnation() -> None:
    rows = {"s": [[100.0, 1]] * 500}
    assert slow_start_breaches([["s", 1, 1.0, 100.0, 0.13, 24.0]], rows)["over"] == 0
    assert slow_start_breaches([["s", 1, 99.9, 100.0, 0.13, 24.0]], rows)["over"] == 1
