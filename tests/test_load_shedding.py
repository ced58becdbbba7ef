"""Load shedding: how much work is shed, of which class, and when it is admitted again."""

from __future__ import annotations

import heapq
import random

import pytest
from helpers import attempt_ended, final_answers, sends, settings, started_balancer, submit

from quartzford.decision import interface as io
from quartzford.decision.admission import Admission


def test_overload_sheds_lowest_priority_weight_first() -> None:
    """200 requests per second go to a pool that answers a third of them in time; the others time out."""
    balancer, capacity = started_balancer(4), 0.0
    shed, offered = {"read": 0, "pay": 0}, 450
    completions: list[tuple[float, int, io.Send, bool]] = []
    for n in range(offered):
        now, name = n * 5.0, ("read", "pay")[n % 2]
        while completions and completions[0][0] <= now:
            at, _, send, in_time = heapq.heappop(completions)
            balancer.handle(
                at, attempt_ended(send, 0, "ok" if in_time else "timeout", 100.0 if in_time else 190.0, True)
            )
        actions, capacity = submit(balancer, now, n, name), min(5.0, capacity + 1 / 3)
        shed[name] += bool(final_answers(actions))
        for send in sends(actions):
            in_time, capacity = capacity >= 1.0, capacity - (capacity >= 1.0)
            heapq.heappush(completions, (now + (100.0 if in_time else 190.0), n, send, in_time))
    assert shed["read"] > 0.8 * offered / 2 and shed["read"] > 2 * shed["pay"], shed


def test_maximum_shed_share_with_few_outcomes_falls_again() -> None:
    """At the maximum shed share, a balancer with little traffic saw one successful outcome per second.

    It still took the outcomes for late, and went on shedding.
    """
    balancer = started_balancer(4)
    admission = balancer.admission
    admission.shed_share, admission.decayed_ms, admission.completed_work, admission.shed_work = (
        0.95,
        1_000.0,
        20.0,
        400.0,
    )
    admitted = []
    for number in range(600):
        now = 1_000.0 + 50.0 * number
        found = sends(submit(balancer, now, number))
        for send in found:
            balancer.handle(now + 20.0, attempt_ended(send, 0, "ok", 20.0))
        admitted.append(bool(found))
    assert sum(admitted[200:]) > 0.9 * 400


def test_late_outcomes_of_earlier_burst_do_not_shed_later_requests() -> None:
    """Attempts of a burst, sent before any shedding, completed late over seconds.

    They drove the shed share to its maximum, although the burst was over.
    """
    balancer = started_balancer(4)
    burst = [send for number in range(300) for send in sends(submit(balancer, float(number), number))]
    for step, send in enumerate(burst):
        balancer.handle(1_000.0 + 5.0 * step, attempt_ended(send, 0, "ok", 390.0))
    now, admitted = 1_000.0 + 5.0 * len(burst), []
    for step in range(800):  # after the burst: a request every 10 ms, each answered in time
        found = sends(submit(balancer, now + 10.0 * step, 1_000 + step))
        for send in found:
            balancer.handle(now + 10.0 * step + 5.0, attempt_ended(send, 0, "ok", 5.0))
        admitted.append(bool(found))
    # From nearly zero the admitted share grows by a half per second at most.
    assert sum(admitted[700:]) > 95, [sum(admitted[n : n + 100]) for n in range(0, 800, 100)]


def test_rising_latency_sheds_only_a_part_of_the_marginal_class() -> None:
    """Half of the offers have weight 8, half weight 1: at a shed share of 0.75 half of the former are served.

    If offers were ranked with the latency at their time, a rising latency would shed the entire class.
    """
    balancer = started_balancer(4)
    balancer.admission._update_shed = lambda now: None  # type: ignore[method-assign]
    admitted = {"read": 0, "pay": 0}
    for n in range(2_000):
        name = ("read", "pay")[n % 2]
        balancer.latency.typical_latencies["read"] = balancer.latency.typical_latencies["pay"] = (
            20.0 + 0.1 * n
        )
        balancer.admission.shed_share, balancer.admission.decayed_ms = 0.75, float(n)
        admitted[name] += not final_answers(submit(balancer, float(n), n, name))
    assert admitted["read"] == 0 and 350 < admitted["pay"] < 650


@pytest.mark.parametrize(("per_s", "limit"), [(20.0, 1.9), (200.0, 1.75)])
def test_lost_half_of_capacity_sheds_half_until_its_return(per_s: float, limit: float) -> None:
    """A pool with full, half and again full capacity for 40 s in all is neither starved nor overloaded.

    It answers in time only as many requests as its capacity allows.
    """
    balancer, gap = started_balancer(8), 1_000.0 / per_s
    capacity, sent, good = 0.0, [0] * 40, [0] * 40
    completions: list[tuple[float, int, io.Send, bool]] = []
    for n in range(int(40 * per_s)):
        now = n * gap
        while completions and completions[0][0] <= now:
            at, _, send, in_time = heapq.heappop(completions)
            balancer.handle(
                at, attempt_ended(send, 0, "ok" if in_time else "timeout", 30.0 if in_time else 200.0, True)
            )
        half = 10 <= now / 1_000 < 20
        capacity = min(
            max(1.0, 0.2 * per_s), capacity + (0.5 if half else 1.2)
        )  # at most 0.2 s of the arriving requests wait
        for send in sends(submit(balancer, now, n)):
            in_time, capacity = capacity >= 1.0, capacity - (capacity >= 1.0)
            heapq.heappush(completions, (now + (30.0 if in_time else 200.0), n, send, in_time))
            sent[int(now // 1_000)] += 1
            good[int(now // 1_000)] += in_time
    assert sum(sent[:10]) > 0.97 * 10 * per_s
    # With one class and half of its work shed, a share TARGET_LATE_SHARE of its weight is accepted late, and
    # ADMISSION_GROWTH_SHARE more. Of 20 requests per second only four complete within the window of the
    # counts, and ASSUMED_IN_TIME_WORK is admitted in addition.
    if per_s > 100:  # shed as soon as the loss can be known; counts with a window of 1 s admitted 398
        assert sum(sent[10:12]) < 380
    assert sum(good[12:20]) > 0.9 * 8 * per_s / 2 and sum(sent[12:20]) < limit * 8 * per_s / 2
    assert sum(good[21:]) > 0.97 * 19 * per_s, good


def test_many_cheap_requests_do_not_shed_weighted_requests() -> None:
    """Thousands of requests of an unknown class are rejected and sent again at once; only they are shed."""
    balancer, number, admitted = started_balancer(8), 0, []
    for step in range(400):
        now = 25.0 * step
        for _ in range(30 if step >= 100 else 0):
            number += 1
            for send in sends(submit(balancer, now, number, "made-up")):
                balancer.handle(now, attempt_ended(send, 0, "error", 0.5, final=True))
        number += 1
        found = sends(submit(balancer, now, number, "pay"))
        admitted.append(bool(found))
        late = 100 <= step < 140  # late for one second, then in time again
        for send in found:
            balancer.handle(now + 5.0, attempt_ended(send, 0, "ok", 195.0 if late else 20.0))
    # If requests were counted instead of work, the cheap ones would keep the share at its maximum.
    assert sum(admitted[280:]) > 115, (sum(admitted[100:280]), sum(admitted[280:]))


def test_burst_at_start_without_overload_sheds_almost_nothing() -> None:
    """The first attempts wait for new connections, and three answers don't give a rate of answers.

    A prediction from them shed a quarter of the requests although there was no overload.
    """
    balancer, completions, shed = started_balancer(10), [], 0
    for n in range(500):
        now = 2.0 * n
        while completions and completions[0][0] <= now:
            at, _, send = heapq.heappop(completions)
            balancer.handle(at, attempt_ended(send, 0, "ok", 150.0 if send.request < 100 else 50.0))
        actions = submit(balancer, now, n)
        shed += bool(final_answers(actions))
        for send in sends(actions):
            heapq.heappush(completions, (now + (150.0 if n < 100 else 50.0), n, send))
    assert shed < 10, shed


def admission_after_outcomes(
    start_ms: float, until_ms: float, late_until_ms: float, learned: bool = False
) -> Admission:
    """Return an Admission after one outcome every 5 ms from start_ms on, late until late_until_ms.

    learned: its counts were learned by a predecessor.
    """
    admission = Admission(settings(), random.Random(1))
    if learned:
        admission.busy_since_ms = start_ms - 1_000.0
    now = start_ms
    while now < until_ms:
        admission.set_in_flight(now, 8, answered=True)
        admission.record_outcome(now, now < late_until_ms, 50.0, 200.0)
        now += 5.0
    return admission


@pytest.mark.parametrize(
    ("until_ms", "late_until_ms", "learned", "least", "most"),
    [
        (
            100.0,
            100.0,
            False,
            0.0,
            0.11,
        ),  # twenty late outcomes right after the start may be caused by the start
        (600.0, 100.0, False, 0.0, 0.01),  # if later outcomes are in time, they are soon forgotten
        (600.0, 600.0, False, 0.4, 0.6),  # an overload at the start is accepted for a moment,
        (1_200.0, 1_200.0, False, 0.9, 0.95),  # but no longer
        (100.0, 100.0, True, 0.6, 0.95),  # a successor sheds at once by the learned counts
    ],
)
def test_shed_share_after_start_grows_with_known_outcomes(
    until_ms: float, late_until_ms: float, learned: bool, least: float, most: float
) -> None:
    assert least <= admission_after_outcomes(0.0, until_ms, late_until_ms, learned).shed_share <= most
