"""Tests of outlier ejection with sparse and dense traffic: the decision module alone, on a virtual clock."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import pytest
from helpers import RULES, list_update, make_endpoint, sends, settings, started_balancer, use_all_servers

from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer

LATENCY_MS = 30.0
OutcomeSource = Callable[[int, random.Random], str]  # outcome of an attempt, by server number


class PlayedTraffic:
    """The sends and ejections of a steady stream of requests that are not retried."""

    def __init__(
        self, servers: int, per_s: float, seconds: float, outcome_of: OutcomeSource, seed: int = 1
    ) -> None:
        self.balancer, self.rng = use_all_servers(started_balancer(servers, seed=seed)), random.Random(seed)
        self.sent: list[tuple[float, int]] = []  # time and server number of each send
        self.ejected_counts: list[int] = []  # number of ejected servers at each request
        in_flight: list[tuple[float, int, io.Send]] = []
        now = number = 0
        end_ms = seconds * 1000.0
        next_arrival = self.rng.expovariate(per_s / 1000.0)
        while now < end_ms:
            if in_flight and in_flight[0][0] < next_arrival:
                now, _, send = heapq.heappop(in_flight)
                code = outcome_of(int(send.server[1:]), self.rng)
                self.balancer.handle(
                    now, io.AttemptEnded(send.request, 0, send.server, code, LATENCY_MS, True)
                )
                continue
            now, number = next_arrival, number + 1
            next_arrival += self.rng.expovariate(per_s / 1000.0)
            for send in sends(self.balancer.handle(now, io.Request(number, "pay", 800.0))):
                self.sent.append((now, int(send.server[1:])))
                heapq.heappush(in_flight, (now + LATENCY_MS, number, send))
            self.ejected_counts.append(sum(now < s.ejected_until for s in self.balancer.ready))

    def share(self, numbers: range, since_s: float = 0.0) -> float:
        """Return the share of the sends since then that these servers got."""
        chosen = [number in numbers for at, number in self.sent if at >= since_s * 1000.0]
        return sum(chosen) / len(chosen)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("servers", "per_s", "seconds", "bad", "failure_probability", "code", "max_share", "max_ejected_share"),
    [
        # A fifth of the servers fail; each server gets a request every ten seconds.
        (100, 10.0, 120.0, 20, 1.0, "error", 0.065, 0.25),
        # The same servers; each gets ten requests per second.
        (100, 1_000.0, 10.0, 20, 1.0, "error", 0.02, 0.25),
        # All servers are overloaded, at up to fifty requests per second each. An overload must not lead to
        # the ejection of one server after the other.
        (8, 400.0, 20.0, 8, 0.35, "timeout", 1.0, 0.4),
        (24, 800.0, 15.0, 24, 0.2, "timeout", 1.0, 0.3),
    ],
)
def test_failing_servers_are_avoided_and_overload_ejects_few(
    servers: int,
    per_s: float,
    seconds: float,
    bad: int,
    failure_probability: float,
    code: str,
    max_share: float,
    max_ejected_share: float,
    seed: int,
) -> None:
    played = PlayedTraffic(
        servers,
        per_s,
        seconds,
        lambda n, rng: code if n < bad and rng.random() < failure_probability else "ok",
        seed,
    )
    assert played.share(range(bad), seconds / 3) <= max_share
    assert max(played.ejected_counts) <= max_ejected_share * servers


@pytest.mark.parametrize("seed", range(4))
def test_server_failing_a_tenth_of_one_request_per_ten_seconds_keeps_its_share(seed: int) -> None:
    played = PlayedTraffic(
        100, 10.0, 400.0, lambda n, rng: "error" if n == 0 and rng.random() < 0.1 else "ok", seed
    )
    assert 0.5 <= played.share(range(1)) * 100 <= 1.5


@pytest.mark.parametrize(("per_s", "min_ejected", "max_ejected"), [(10.0, 12, 12), (2_000.0, 4, 8)])
def test_ejected_servers_count_in_the_fleet_rate_by_the_sends_they_are_spared(
    per_s: float, min_ejected: int, max_ejected: int
) -> None:
    """Twelve of a hundred servers fail once, one after the other.

    If a server gets a request every ten seconds, each of the twelve is ejected at its first failure. If it
    gets one every 50 ms, the failures of the first servers raise the fleet's failure rate for a moment, and
    the others are compared with that.
    """
    balancer = use_all_servers(started_balancer(100))
    interval_ms, now = 1000.0 / per_s, 0.0
    for number in range(400):  # the balancer learns the rate of requests
        now = number * interval_ms
        (send,) = sends(balancer.handle(now, io.Request(number, "pay", 800.0)))
        balancer.handle(now + 0.01, io.AttemptEnded(number, 0, send.server, "ok", 5.0, True))
    failed: set[str] = set()
    number, ejected_count = 1_000, 0
    while len(failed) < 12:
        number, now = number + 1, now + interval_ms
        (send,) = sends(balancer.handle(now, io.Request(number, "pay", 800.0)))
        first_failure = send.server not in failed and int(send.server[1:]) < 12
        balancer.handle(
            now + 0.01, io.AttemptEnded(number, 0, send.server, "error" if first_failure else "ok", 5.0, True)
        )
        if first_failure:
            failed.add(send.server)
            ejected_count += balancer.servers[send.server].ejections > 0
    assert min_ejected <= ejected_count <= max_ejected


def test_request_waiting_on_emptied_list_is_sent_when_a_server_returns() -> None:
    balancer = Balancer(settings(rules=RULES), 3)
    balancer.handle(0.0, list_update(range(3)))
    balancer.handle(10.0, io.EndpointListUpdate("whole", ()))
    (timer,) = balancer.handle(20.0, io.Request(1, "pay", 800.0))
    assert isinstance(timer, io.SetTimer)
    for step in range(3):  # the request keeps waiting
        (timer,) = balancer.handle(45.0 + 25.0 * step, io.Timer(timer.token))
        assert isinstance(timer, io.SetTimer)
    balancer.handle(130.0, io.EndpointListUpdate("whole", (make_endpoint(7),)))
    (send,) = balancer.handle(145.0, io.Timer(timer.token))
    assert isinstance(send, io.Send) and send.server == "s7"
    assert balancer.handle(200.0, io.AttemptEnded(1, 0, "s7", "ok", 55.0, True)) == []


def test_request_is_shed_before_its_deadline_if_the_list_stays_empty() -> None:
    balancer = Balancer(settings(), 3)
    balancer.handle(0.0, io.EndpointListUpdate("whole", ()))
    (action,) = balancer.handle(20.0, io.Request(1, "pay", 800.0))
    now = 20.0
    while isinstance(action, io.SetTimer):
        now += action.after_ms
        (action,) = balancer.handle(now, io.Timer(action.token))
    assert isinstance(action, io.Shed) and now <= 820.0


def test_failures_of_the_last_ready_server_after_it_drained_are_counted() -> None:
    balancer = started_balancer(1)
    attempts = []
    for number in range(3):
        attempts += sends(balancer.handle(100.0 * number, io.Request(number, "pay", 800.0)))
    balancer.handle(310.0, io.EndpointListUpdate("changes", (make_endpoint(0, "draining"),)))
    for send in attempts:
        balancer.handle(320.0, io.AttemptEnded(send.request, 0, send.server, "reset", 20.0, True))
    assert not balancer.ready and balancer.servers["s0"].failure_rate > 0.35
