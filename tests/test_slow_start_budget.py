"""The slow-start budget of one balancer."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import RULES, attempt_ended, list_update, sends, settings, started_balancer, submit

from bench.coldbudget import cold_budget
from quartzford.decision.logic import Balancer

SERVERS = 4
START_MS = 50_000.0
COUNTED_FROM_MS = START_MS + 2_000.0  # long enough after the first arrivals for a known rate of answers
COUNTED_TO_MS = COUNTED_FROM_MS + RULES.overload_window_ms
INITIAL_LATENCY_MS = 50.0  # typical latency before any answer: a quarter of the latency objective


def sends_per_cold_server(per_ms: float, answered: int) -> float:
    """Return the sends per server within overload_window_ms while all servers are cold.

    answered: every n-th send is answered at once; 0: none.
    """
    balancer = Balancer(settings(), 3)
    balancer.handle(START_MS, list_update(range(SERVERS), started_ms=START_MS))
    counted, number, sent, now = 0, 0, 0, START_MS
    while now < COUNTED_TO_MS:
        number, now = number + 1, now + 1.0 / per_ms
        for send in sends(submit(balancer, now, number)):
            sent += 1
            counted += now >= COUNTED_FROM_MS
            if answered and sent % answered == 0:
                balancer.handle(now, attempt_ended(send, 0, "ok", 10.0))
    return counted / SERVERS


@pytest.mark.parametrize("per_ms", [1.0, 4.0])
def test_cold_servers_without_answers_stay_within_the_safe_rate(per_ms: float) -> None:
    """While no server answers, the budget is that of the slowest useful server, whatever the arrival rate."""
    age = (COUNTED_TO_MS - START_MS) / RULES.slow_start_ms
    ramp = RULES.slow_start_capacity + (1 - RULES.slow_start_capacity) * age
    allowed = RULES.overload_multiple * ramp * RULES.overload_window_ms / INITIAL_LATENCY_MS
    assert 0 < sends_per_cold_server(per_ms, answered=0) <= cold_budget(allowed)


def test_cold_servers_with_answers_get_their_share_of_the_arrivals() -> None:
    """With answers, the safe rate of the slowest useful server no longer limits them."""
    assert sends_per_cold_server(4.0, answered=1) > 4 * sends_per_cold_server(4.0, answered=0)


def test_sends_to_warm_servers_are_not_charged_to_their_budgets() -> None:
    """After a million requests the negative budget was out of bounds for the handover to a successor."""
    balancer = started_balancer(4)
    for number in range(400):
        now = 10.0 + 5.0 * number
        for send in sends(submit(balancer, now, number)):
            balancer.handle(now + 1.0, attempt_ended(send, 0, "ok", 1.0))
    learned_state = balancer.hand_over(3_000.0)
    assert len(learned_state.servers) == 4 and all(
        0.0 <= server.tokens <= 1.0 for server in learned_state.servers
    )


def test_handover_without_slow_start_in_the_settings_succeeds() -> None:
    """The age of an upstream with a start time was divided by a slow-start duration of 0."""
    base = settings()
    balancer = Balancer(replace(base, rules=replace(base.rules, slow_start_ms=0.0)), 3)
    balancer.handle(START_MS, list_update(range(SERVERS), started_ms=START_MS))
    assert len(balancer.hand_over(START_MS).servers) == SERVERS
