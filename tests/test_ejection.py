"""Outlier ejection, one rule for thin and dense traffic: the module alone, on a clock of its own."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import pytest
from helpers import RULES, list_update, make_endpoint, sends, settings, started_balancer, use_all_servers

from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer

LATENCY_MS = 30.0
Fails = Callable[[int, random.Random], str]  # how an attempt at a server ends


class Played:
    """A steady stream of requests that are not tried again; what was sent where, and who was out."""

    def __init__(self, servers: int, per_s: float, seconds: float, fails: Fails, seed: int = 1) -> None:
        self.balancer, self.rng = use_all_servers(started_balancer(servers, seed=seed)), random.Random(seed)
        self.sent: list[tuple[float, int]] = []
        self.out: list[int] = []  # ejected, at each request
        due: list[tuple[float, int, io.Send]] = []
        now = number = 0
        ends = seconds * 1000.0
        coming = self.rng.expovariate(per_s / 1000.0)
        while now < ends:
            if due and due[0][0] < coming:
                now, _, send = heapq.heappop(due)
                code = fails(int(send.server[1:]), self.rng)
                self.balancer.handle(
                    now, io.AttemptEnded(send.request, 0, send.server, code, LATENCY_MS, True)
                )
                continue
            now, number = coming, number + 1
            coming += self.rng.expovariate(per_s / 1000.0)
            for send in sends(self.balancer.handle(now, io.Request(number, "pay", 800.0))):
                self.sent.append((now, int(send.server[1:])))
                heapq.heappush(due, (now + LATENCY_MS, number, send))
            self.out.append(sum(now < s.ejected_until for s in self.balancer.ready))

    def share(self, numbers: range, since_s: float = 0.0) -> float:
        """The part of the sends that these servers got."""
        chosen = [number in numbers for at, number in self.sent if at >= since_s * 1000.0]
        return sum(chosen) / len(chosen)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("servers", "per_s", "seconds", "bad", "rate", "code", "most_share", "most_out"),
    [
        # Two in ten bad, a server met once in ten seconds.
        (100, 10.0, 120.0, 20, 1.0, "error", 0.065, 0.25),
        # The same servers met ten times a second.
        (100, 1_000.0, 10.0, 20, 1.0, "error", 0.02, 0.25),
        # All overloaded, met fifty times a second: an overload must not put out one after the other.
        (8, 400.0, 20.0, 8, 0.35, "timeout", 1.0, 0.4),
        (24, 800.0, 15.0, 24, 0.2, "timeout", 1.0, 0.3),
    ],
)
def test_bad_servers_are_left_alone_and_an_overload_puts_out_few(
    servers: int,
    per_s: float,
    seconds: float,
    bad: int,
    rate: float,
    code: str,
    most_share: float,
    most_out: float,
    seed: int,
) -> None:
    played = Played(
        servers, per_s, seconds, lambda n, rng: code if n < bad and rng.random() < rate else "ok", seed
    )
    assert played.share(range(bad), seconds / 3) <= most_share
    assert max(played.out) <= most_out * servers


@pytest.mark.parametrize("seed", range(4))
def test_a_server_that_fails_a_tenth_under_one_send_in_ten_seconds_is_still_used(seed: int) -> None:
    played = Played(100, 10.0, 400.0, lambda n, rng: "error" if n == 0 and rng.random() < 0.1 else "ok", seed)
    assert 0.5 <= played.share(range(1)) * 100 <= 1.5


@pytest.mark.parametrize(("per_s", "least", "most"), [(10.0, 12, 12), (2_000.0, 4, 8)])
def test_the_ejected_excuse_others_by_the_sends_that_are_spared(per_s: float, least: int, most: int) -> None:
    """Twelve of a hundred fail once, one after the other. Met once in ten seconds, each is left alone at its
    first failure; met every 50 ms, the first ones' failures are the yardstick of the others for a moment."""
    balancer = use_all_servers(started_balancer(100))
    span, now = 1000.0 / per_s, 0.0
    for number in range(400):  # the rate that it knows
        now = number * span
        (send,) = sends(balancer.handle(now, io.Request(number, "pay", 800.0)))
        balancer.handle(now + 0.01, io.AttemptEnded(number, 0, send.server, "ok", 5.0, True))
    failed: set[str] = set()
    number, once = 1_000, 0
    while len(failed) < 12:
        number, now = number + 1, now + span
        (send,) = sends(balancer.handle(now, io.Request(number, "pay", 800.0)))
        fresh = send.server not in failed and int(send.server[1:]) < 12
        balancer.handle(
            now + 0.01, io.AttemptEnded(number, 0, send.server, "error" if fresh else "ok", 5.0, True)
        )
        if fresh:
            failed.add(send.server)
            once += balancer.servers[send.server].ejections > 0
    assert least <= once <= most


def test_a_list_that_empties_and_comes_back_while_a_request_waits() -> None:
    balancer = Balancer(settings(rules=RULES), 3)
    balancer.handle(0.0, list_update(range(3)))
    balancer.handle(10.0, io.EndpointListUpdate("whole", ()))
    (wake,) = balancer.handle(20.0, io.Request(1, "pay", 800.0))
    assert isinstance(wake, io.SetTimer)
    for step in range(3):  # it goes on waiting
        (wake,) = balancer.handle(45.0 + 25.0 * step, io.Timer(wake.token))
        assert isinstance(wake, io.SetTimer)
    balancer.handle(130.0, io.EndpointListUpdate("whole", (make_endpoint(7),)))
    (send,) = balancer.handle(145.0, io.Timer(wake.token))
    assert isinstance(send, io.Send) and send.server == "s7"
    assert balancer.handle(200.0, io.AttemptEnded(1, 0, "s7", "ok", 55.0, True)) == []


def test_a_list_that_stays_empty_ends_the_request_in_time() -> None:
    balancer = Balancer(settings(), 3)
    balancer.handle(0.0, io.EndpointListUpdate("whole", ()))
    (action,) = balancer.handle(20.0, io.Request(1, "pay", 800.0))
    now = 20.0
    while isinstance(action, io.SetTimer):
        now += action.after_ms
        (action,) = balancer.handle(now, io.Timer(action.token))
    assert isinstance(action, io.Shed) and now <= 820.0


def test_the_last_ready_server_fails_after_it_has_left_the_list() -> None:
    balancer = started_balancer(1)
    attempts = []
    for number in range(3):
        attempts += sends(balancer.handle(100.0 * number, io.Request(number, "pay", 800.0)))
    balancer.handle(310.0, io.EndpointListUpdate("changes", (make_endpoint(0, "draining"),)))
    for send in attempts:
        balancer.handle(320.0, io.AttemptEnded(send.request, 0, send.server, "reset", 20.0, True))
    assert not balancer.ready and balancer.servers["s0"].failure_rate > 0.35
