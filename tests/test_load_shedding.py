"""Load shedding: how much is shed, of which class, and when it is admitted again."""

from __future__ import annotations

import heapq
import random

import pytest
from helpers import attempt_ended, final_answers, sends, settings, started_balancer, submit

from quartzford.decision import interface as io
from quartzford.decision.admission import Admission


def test_overload_sheds_the_lowest_priority_weight_first() -> None:
    """200 a second at a pool that answers a third of them in time, and lets the rest time out."""
    balancer, capacity = started_balancer(4), 0.0
    refused, offered = {"read": 0, "pay": 0}, 450
    ends: list[tuple[float, int, io.Send, bool]] = []
    for n in range(offered):
        now, name = n * 5.0, ("read", "pay")[n % 2]
        while ends and ends[0][0] <= now:
            at, _, send, in_time = heapq.heappop(ends)
            balancer.handle(
                at, attempt_ended(send, 0, "ok" if in_time else "timeout", 100.0 if in_time else 190.0, True)
            )
        actions, capacity = submit(balancer, now, n, name), min(5.0, capacity + 1 / 3)
        refused[name] += bool(final_answers(actions))
        for send in sends(actions):
            in_time, capacity = capacity >= 1.0, capacity - (capacity >= 1.0)
            heapq.heappush(ends, (now + (100.0 if in_time else 190.0), n, send, in_time))
    assert refused["read"] > 0.8 * offered / 2 and refused["read"] > 2 * refused["pay"], refused


def test_what_was_shed_is_admitted_again_though_few_attempts_end() -> None:
    """Shed to its bound, a balancer of few requests heard a good end a second, and believed it late."""
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


def test_the_late_ends_of_one_jam_do_not_shed_what_comes_after_it() -> None:
    """Sent before anything was shed, they came back late for seconds, and drove the share to its bound."""
    balancer = started_balancer(4)
    out = [send for number in range(300) for send in sends(submit(balancer, float(number), number))]
    for step, send in enumerate(out):
        balancer.handle(1_000.0 + 5.0 * step, attempt_ended(send, 0, "ok", 390.0))
    now, admitted = 1_000.0 + 5.0 * len(out), []
    for step in range(800):  # the jam is over: 10 ms apart, each in time
        found = sends(submit(balancer, now + 10.0 * step, 1_000 + step))
        for send in found:
            balancer.handle(now + 10.0 * step + 5.0, attempt_ended(send, 0, "ok", 5.0))
        admitted.append(bool(found))
    # From nearly nothing the share grows by a half each second, and no faster.
    assert sum(admitted[700:]) > 95, [sum(admitted[n : n + 100]) for n in range(0, 800, 100)]


def test_a_rising_latency_does_not_shed_all_of_a_class_where_a_part_was_meant() -> None:
    """Half of the offers are worth 8, half 1: at three quarters shed, half of the former come through."""
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
def test_half_of_the_capacity_lost_sheds_half_and_its_return_is_taken_up(per_s: float, limit: float) -> None:
    """40 s of a pool that answers in time only what it can: full, half, full. Neither starved nor drowned."""
    balancer, gap = started_balancer(8), 1_000.0 / per_s
    capacity, sent, good = 0.0, [0] * 40, [0] * 40
    ends: list[tuple[float, int, io.Send, bool]] = []
    for n in range(int(40 * per_s)):
        now = n * gap
        while ends and ends[0][0] <= now:
            at, _, send, in_time = heapq.heappop(ends)
            balancer.handle(
                at, attempt_ended(send, 0, "ok" if in_time else "timeout", 30.0 if in_time else 200.0, True)
            )
        half = 10 <= now / 1_000 < 20
        capacity = min(
            max(1.0, 0.2 * per_s), capacity + (0.5 if half else 1.2)
        )  # a fifth of a second waits at most
        for send in sends(submit(balancer, now, n)):
            in_time, capacity = capacity >= 1.0, capacity - (capacity >= 1.0)
            heapq.heappush(ends, (now + (30.0 if in_time else 200.0), n, send, in_time))
            sent[int(now // 1_000)] += 1
            good[int(now // 1_000)] += in_time
    assert sum(sent[:10]) > 0.97 * 10 * per_s
    # One class, half refused: a share LATE_TARGET of its weight is accepted late, and RELEASE more. Of 20 a
    # second four end while the counts remember, and GUESS of one is accepted beside that.
    if per_s > 100:  # as soon as it can be known; counts that remember a second let in 398
        assert sum(sent[10:12]) < 380
    assert sum(good[12:20]) > 0.9 * 8 * per_s / 2 and sum(sent[12:20]) < limit * 8 * per_s / 2
    assert sum(good[21:]) > 0.97 * 19 * per_s, good


def test_a_flood_of_cheap_requests_takes_nothing_from_those_with_weight() -> None:
    """Classes that nobody knows, again as soon as they are turned away, by the thousand: only they are."""
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
        late = 100 <= step < 140  # for a second, then all is well again
        for send in found:
            balancer.handle(now + 5.0, attempt_ended(send, 0, "ok", 195.0 if late else 20.0))
    # Counted by requests, what is refused of the flood keeps the share at its bound for good.
    assert sum(admitted[280:]) > 115, (sum(admitted[100:280]), sum(admitted[280:]))


def test_a_crowd_at_the_start_is_no_queue_yet() -> None:
    """Each opens its connection first, and three answers tell of no rate: a quarter was refused in calm."""
    balancer, ends, refused = started_balancer(10), [], 0
    for n in range(500):
        now = 2.0 * n
        while ends and ends[0][0] <= now:
            at, _, send = heapq.heappop(ends)
            balancer.handle(at, attempt_ended(send, 0, "ok", 150.0 if send.request < 100 else 50.0))
        actions = submit(balancer, now, n)
        refused += bool(final_answers(actions))
        for send in sends(actions):
            heapq.heappush(ends, (now + (150.0 if n < 100 else 50.0), n, send))
    assert refused < 10, refused


def shed_after(start_ms: float, until_ms: float, late_until_ms: float, learnt: bool = False) -> Admission:
    """One end each 5 ms from a start on, late until some moment. learnt: a process before it was there."""
    admission = Admission(settings(), random.Random(1))
    if learnt:
        admission.busy_since_ms = start_ms - 1_000.0
    now = start_ms
    while now < until_ms:
        admission.set_in_flight(now, 8, answered=True)
        admission.record_outcome(now, now < late_until_ms, 50.0, 200.0)
        now += 5.0
    return admission


@pytest.mark.parametrize(
    ("until_ms", "late_until_ms", "learnt", "least", "most"),
    [
        (100.0, 100.0, False, 0.0, 0.11),  # twenty late ends right after a start: its own, or a crowd's
        (600.0, 100.0, False, 0.0, 0.01),  # and then all are in time: soon forgotten
        (600.0, 600.0, False, 0.4, 0.6),  # an overload at a start is accepted for a moment,
        (1_200.0, 1_200.0, False, 0.9, 0.95),  # and no longer
        (100.0, 100.0, True, 0.6, 0.95),  # one that follows a process knows what was learnt
    ],
)
def test_what_is_shed_at_a_start_grows_with_what_can_be_known(
    until_ms: float, late_until_ms: float, learnt: bool, least: float, most: float
) -> None:
    assert least <= shed_after(0.0, until_ms, late_until_ms, learnt).shed_share <= most
