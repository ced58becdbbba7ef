"""The slow-start budget of one balancer."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import RULES, attempt_ended, list_update, sends, settings, started_balancer, submit

from bench.coldbudget import cold_budget
from quartzford.decision.logic import Balancer

SERVERS = 4
BEGUN_MS = 50_000.0
COUNTED_FROM_MS = BEGUN_MS + 2_000.0  # well past the first arrivals
COUNTED_TO_MS = COUNTED_FROM_MS + RULES.overload_window_ms
LEAST_ANSWER_MS = 50.0  # typical before any answer: a quarter of the objective


def sent_to_each_cold_server(per_ms: float, answered: int) -> float:
    """Sends a server, where all are cold, in a span of overload; every n-th answered at once, 0: none."""
    balancer = Balancer(settings(), 3)
    balancer.handle(BEGUN_MS, list_update(range(SERVERS), started_ms=BEGUN_MS))
    counted, number, sent, now = 0, 0, 0, BEGUN_MS
    while now < COUNTED_TO_MS:
        number, now = number + 1, now + 1.0 / per_ms
        for send in sends(submit(balancer, now, number)):
            sent += 1
            counted += now >= COUNTED_FROM_MS
            if answered and sent % answered == 0:
                balancer.handle(now, attempt_ended(send, 0, "ok", 10.0))
    return counted / SERVERS


@pytest.mark.parametrize("per_ms", [1.0, 4.0])
def test_cold_servers_that_answer_nothing_get_what_the_least_server_may(per_ms: float) -> None:
    """However much arrives."""
    age = (COUNTED_TO_MS - BEGUN_MS) / RULES.slow_start_ms
    ramp = RULES.slow_start_capacity + (1 - RULES.slow_start_capacity) * age
    allowed = RULES.overload_multiple * ramp * RULES.overload_window_ms / LEAST_ANSWER_MS
    assert 0 < sent_to_each_cold_server(per_ms, answered=0) <= cold_budget(allowed)


def test_cold_servers_that_answer_get_their_ramp_of_what_arrives() -> None:
    """Their answers free them of the least server's limit."""
    assert sent_to_each_cold_server(4.0, answered=1) > 4 * sent_to_each_cold_server(4.0, answered=0)


def test_what_a_warm_server_is_sent_is_not_charged_to_its_budget() -> None:
    """A million requests later the debt was out of the bounds of what is handed over to a successor."""
    balancer = started_balancer(4)
    for number in range(400):
        now = 10.0 + 5.0 * number
        for send in sends(submit(balancer, now, number)):
            balancer.handle(now + 1.0, attempt_ended(send, 0, "ok", 1.0))
    memory = balancer.hand_over(3_000.0)
    assert len(memory.servers) == 4 and all(0.0 <= server.tokens <= 1.0 for server in memory.servers)


def test_a_process_hands_over_where_the_settings_have_no_slow_start() -> None:
    """An upstream with a start time divided by the duration of slow start."""
    made = settings()
    balancer = Balancer(replace(made, rules=replace(made.rules, slow_start_ms=0.0)), 3)
    balancer.handle(BEGUN_MS, list_update(range(SERVERS), started_ms=BEGUN_MS))
    assert len(balancer.hand_over(BEGUN_MS).servers) == SERVERS
