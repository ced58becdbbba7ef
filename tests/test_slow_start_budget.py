"""The slow-start budget of one balancer."""

from __future__ import annotations

from helpers import outcome, sends, started, submit


def test_what_a_warm_server_is_sent_is_not_charged_to_its_budget() -> None:
    """A million requests later the debt was out of the bounds of what is handed over to a successor."""
    balancer = started(4)
    for number in range(400):
        now = 10.0 + 5.0 * number
        for send in sends(submit(balancer, now, number)):
            balancer.handle(now + 1.0, outcome(send, 0, "ok", 1.0))
    memory = balancer.hand_over(3_000.0)
    assert len(memory.servers) == 4 and all(0.0 <= server.tokens <= 1.0 for server in memory.servers)
