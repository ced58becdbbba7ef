"""Tests of a relay's limits: the schedule of complete lists, and the number of admitted watches."""

from __future__ import annotations

import pytest

from quartzford.relay.transfer_schedule import MAX_RETRY_S, TransferSchedule
from quartzford.relay.watch_limit import RETRY_WINDOW_S, WatchLimit


def test_schedule_grants_slots_within_wait_limit_and_retry_times_beyond() -> None:
    schedule = TransferSchedule(1_000.0)
    slots = [schedule.reserve(100.0, 500) for _ in range(8)]
    assert [slot.wait_s for slot in slots if slot.granted] == [0.0, 0.5, 1.0, 1.5]
    assert [slot.wait_s for slot in slots if not slot.granted] == [2.0, 2.5, 3.0, 2.0]
    # Calls that retry at the given time are granted a slot within the rate.
    assert [schedule.reserve(100.0 + slot.wait_s, 500) for slot in slots[4:7]] == [(True, 0.0)] * 3
    assert schedule.reserve(200.0, 500) == (True, 0.0)
    schedule.release(500)
    assert schedule.reserve(200.0, 500) == (True, 0.0)
    assert all(schedule.reserve(200.0, 10**6).wait_s <= MAX_RETRY_S for _ in range(9))


def test_schedule_retrying_calls_use_full_rate() -> None:
    """Retry times must not leave the rate unused.

    Four hundred calls arrive at once, and each retries until it is granted. A list takes 0.2 s at the rate.
    """
    schedule = TransferSchedule(1_000.0)
    arrivals = [0.0] * 400
    served = 0
    while (now := arrivals[0]) < 60.0:
        slot = schedule.reserve(now, 200)
        served += slot.granted
        arrivals = sorted(arrivals[1:] + ([] if slot.granted else [now + slot.wait_s]))
    assert 0.95 * 60.0 / 0.2 <= served <= 1.05 * 60.0 / 0.2


def test_schedule_oversized_list_is_granted() -> None:
    schedule = TransferSchedule(1_000.0)
    assert schedule.reserve(5.0, 10_000) == (True, 0.0) and not schedule.reserve(5.1, 10_000).granted
    assert schedule.reserve(14.0, 10_000) == (True, 1.0)


def test_watch_limit_admits_only_retrying_hosts_beyond_share() -> None:
    limit = WatchLimit(share=2, maximum=3)
    assert limit.admits("a", 0, 0.0) and limit.admits("b", 1, 0.0)
    assert not limit.admits("c", 2, 0.0) and not limit.admits("d", 2, 0.0)
    assert limit.admits("c", 2, 4.0)
    assert not limit.admits("d", 3, 4.0), "the maximum applies to retrying hosts too"
    assert not limit.admits(
        "d", 2, 4.0 + RETRY_WINDOW_S + 0.1
    ), "a retry after the window counts as a first call"
    assert limit.admits("d", 1, 30.0)
    assert not limit.admits("d", 2, 31.0), "an admission clears the earlier rejection"


def test_watch_limit_remembers_bounded_number_of_rejected_hosts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quartzford.relay.watch_limit.MAX_REMEMBERED_HOSTS", 2)
    limit = WatchLimit(share=0, maximum=10)
    for host in ("a", "b", "c"):
        assert not limit.admits(host, 1, 0.0)
    assert limit.admits("b", 1, 1.0) and not limit.admits("a", 1, 1.0)
