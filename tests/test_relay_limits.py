"""When complete lists are sent and how many watches are admitted: the relay's limits, without I/O."""

from __future__ import annotations

import pytest

from quartzford.relay.transfer_schedule import MAX_RETRY_S, TransferSchedule
from quartzford.relay.watch_limit import RETRY_WINDOW_S, WatchLimit


def test_complete_lists_are_sent_in_turn_within_the_bound_and_other_calls_get_a_retry_time() -> None:
    schedule = TransferSchedule(1_000.0)
    slots = [schedule.reserve(100.0, 500) for _ in range(8)]
    assert [t.wait_s for t in slots if t.granted] == [0.0, 0.5, 1.0, 1.5]
    assert [t.wait_s for t in slots if not t.granted] == [2.0, 2.5, 3.0, 2.0]
    # A call that retries at the given time is granted a slot, within the bound.
    assert [schedule.reserve(100.0 + t.wait_s, 500) for t in slots[4:7]] == [(True, 0.0)] * 3
    assert schedule.reserve(200.0, 500) == (True, 0.0)
    schedule.release(500)
    assert schedule.reserve(200.0, 500) == (True, 0.0)
    assert all(schedule.reserve(200.0, 10**6).wait_s <= MAX_RETRY_S for _ in range(9))


def test_many_calls_that_retry_at_the_given_time_use_the_bound_in_full() -> None:
    """Four hundred calls at once, each retried until granted: a list lasts 0.2 s at the rate."""
    schedule = TransferSchedule(1_000.0)
    arrivals = [0.0] * 400
    served = 0
    while (now := arrivals[0]) < 60.0:
        slot = schedule.reserve(now, 200)
        served += slot.granted
        arrivals = sorted(arrivals[1:] + ([] if slot.granted else [now + slot.wait_s]))
    assert 0.95 * 60.0 / 0.2 <= served <= 1.05 * 60.0 / 0.2


def test_a_list_longer_than_the_bound_allows_is_sent_all_the_same() -> None:
    schedule = TransferSchedule(1_000.0)
    assert schedule.reserve(5.0, 10_000) == (True, 0.0) and not schedule.reserve(5.1, 10_000).granted
    assert schedule.reserve(14.0, 10_000) == (True, 1.0)


def test_watches_beyond_the_share_are_for_those_that_retry() -> None:
    limit = WatchLimit(share=2, maximum=3)
    assert limit.admits("a", 0, 0.0) and limit.admits("b", 1, 0.0)
    assert not limit.admits("c", 2, 0.0) and not limit.admits("d", 2, 0.0)
    assert limit.admits("c", 2, 4.0)
    assert not limit.admits("d", 3, 4.0), "nobody beyond what the descriptors allow"
    assert not limit.admits("d", 2, 4.0 + RETRY_WINDOW_S + 0.1), "a better place that is tried now and then"
    assert limit.admits("d", 1, 30.0)
    assert not limit.admits("d", 2, 31.0), "taken meanwhile: it comes for the first time"


def test_rejected_hosts_are_remembered_up_to_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quartzford.relay.watch_limit.MAX_REMEMBERED_HOSTS", 2)
    limit = WatchLimit(share=0, maximum=10)
    for host in ("a", "b", "c"):
        assert not limit.admits(host, 1, 0.0)
    assert limit.admits("b", 1, 1.0) and not limit.admits("a", 1, 1.0)
