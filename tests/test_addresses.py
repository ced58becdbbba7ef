"""Choice of the relay that a balancer calls, and the relay call policy on a virtual clock."""

from __future__ import annotations

import itertools
import random
from collections import Counter

import pytest

from quartzford.membership.addresses import Address, RelayAddresses, RequestKind, SingleAddress, rank_relays
from quartzford.membership.call_policy import (
    CONNECT_TIMEOUT_S,
    LINE_TIMEOUT_S,
    NOTIFY_BOUND_S,
    SHARED_FIRST_LINE_TIMEOUT_S,
    CallOutcome,
)
from quartzford.membership.relay_call_policy import (
    RELAY_CONNECT_TIMEOUT_S,
    RELAY_FIRST_LINE_TIMEOUT_S,
    RETURN_DELAY_RANGE_S,
    RelayCallPolicy,
)

FLEET = 4_600
ELEVEN = [(f"10.0.0.{n}", 9301) for n in range(11)]
SOURCE = ("10.1.0.1", 8500)
# The duration in seconds and the outcome of a call to a relay in each state.
STATES = {
    "dead": (0.0, CallOutcome.UNREACHABLE),
    "vanished": (RELAY_CONNECT_TIMEOUT_S, CallOutcome.UNREACHABLE),
    "stopped": (RELAY_FIRST_LINE_TIMEOUT_S, CallOutcome.TIMED_OUT),
    "lost": (0.0, CallOutcome.REJECTED),
}


class Balancer:
    """A relay call policy with its own clock. states: of relays by address; other relays answer at once."""

    def __init__(
        self, number: int, states: dict[Address, str], fleet: int = FLEET, calls_per_s: float = 50.0
    ) -> None:
        self.now, self.states = 0.0, states
        self.relays = RelayAddresses(f"b{number}", ELEVEN, lambda: SOURCE)
        rng = random.Random(number)
        self.policy = RelayCallPolicy(self.relays, fleet, calls_per_s, 10.0, rng, lambda: self.now)
        self.calls_made: list[tuple[float, Address, RequestKind]] = []

    def lose_watch(self) -> None:
        """Lose the watch at the first relay, whose last line arrived at time 0.0."""
        target = self.relays.choose(True)
        self.relays.record_answer(target)
        self.now = LINE_TIMEOUT_S
        self.relays.record_failure(target, CallOutcome.WATCH_LOST)
        self.now += self.policy.delay_after(CallOutcome.WATCH_LOST, LINE_TIMEOUT_S)

    def call(self, known: bool = True, retry_after: float = 0.0) -> bool:
        """Make one call, and wait if it fails; return whether it was answered."""
        target = self.relays.choose(known)
        self.calls_made.append((self.now, *target))
        state = self.states.get(target.address, "")
        if not state or (state == "lost" and target.kind is RequestKind.COMPLETE_LIST):
            self.relays.record_answer(target)
            self.policy.record_answer()
            return True
        duration_s, outcome = STATES[state]
        assert duration_s <= (
            self.policy.connect_timeout()
            if outcome is CallOutcome.UNREACHABLE
            else self.policy.first_line_timeout()
        )
        self.relays.record_failure(target, outcome)
        self.now += duration_s + self.policy.delay_after(outcome, duration_s, retry_after)
        return False


def test_relay_ranking_4600_balancers_spread_evenly_and_lost_relay_moves_only_its_own() -> None:
    """Each relay gets 418 balancers on average; 72 is 3.7 times the standard deviation of 20."""
    orders = [rank_relays(f"b{n}", ELEVEN) for n in range(FLEET)]
    first_relays = Counter(order[0] for order in orders)
    assert (
        set(first_relays) == set(ELEVEN)
        and max(abs(count - FLEET / 11) for count in first_relays.values()) <= 72
    )
    lost_relay = ELEVEN[4]
    remaining = [relay for relay in ELEVEN if relay != lost_relay]
    after = [rank_relays(f"b{n}", remaining) for n in range(FLEET)]
    assert all(old[0] == new[0] for old, new in zip(orders, after, strict=True) if old[0] != lost_relay)
    moved = Counter(new[0] for old, new in zip(orders, after, strict=True) if old[0] == lost_relay)
    assert set(moved) == set(remaining) and max(moved.values()) <= 2.0 * first_relays[lost_relay] / 10


def test_relay_ranking_depends_only_on_balancer_name_and_relay_set() -> None:
    order = rank_relays("b1", ELEVEN)
    assert order == rank_relays("b1", reversed(ELEVEN)) and sorted(order) == sorted(ELEVEN)
    assert rank_relays("b1", order[:3] + order[4:]) == order[:3] + order[4:]
    assert len({rank_relays(f"b{n}", ELEVEN) for n in range(100)}) == 100


@pytest.mark.parametrize("states", itertools.product(("dead", "vanished", "stopped"), repeat=3))
def test_three_failing_relays_in_a_row_fourth_answers_within_notify_bound(states: tuple[str, ...]) -> None:
    """The watched relay fails just after a line, and the next two relays do not answer."""
    for number in range(100):
        balancer = Balancer(number, {})
        balancer.states = dict(zip(balancer.relays.order, states, strict=False))
        balancer.lose_watch()
        while not balancer.call():
            pass
        assert balancer.now <= NOTIFY_BOUND_S and balancer.relays.watch_position == 3


@pytest.mark.parametrize("stopped", [0, 3])
@pytest.mark.parametrize("retry_after", [0.0, 2.0, 3600.0])
def test_all_relays_reject_each_is_called_again_within_six_seconds_and_source_never(
    stopped: int, retry_after: float
) -> None:
    for number in range(20):
        balancer = Balancer(
            number, dict.fromkeys(ELEVEN, "lost") | dict.fromkeys(ELEVEN[:stopped], "stopped")
        )
        balancer.lose_watch()
        for _ in range(200):
            assert not balancer.call(retry_after=retry_after)
        call_times = [at for at, address, _ in balancer.calls_made if address == ELEVEN[7]]
        # A running relay answers at once; a relay that stops next is noticed after its first-line timeout.
        assert (
            max(b - a for a, b in itertools.pairwise(call_times[2:])) + RELAY_FIRST_LINE_TIMEOUT_S
            <= NOTIFY_BOUND_S + 0.25
        )
        assert all(
            address != SOURCE and call is RequestKind.WATCH for _, address, call in balancer.calls_made
        )
        # The calls are paced and not repeated in a tight loop.
        assert len(balancer.calls_made) / balancer.now <= 11 / 3.5


def test_balancer_without_list_requests_complete_list_once_from_relays_without_source() -> None:
    balancer = Balancer(3, dict.fromkeys(ELEVEN, "lost"))
    while not balancer.call(known=False):
        pass
    assert [call for *_, call in balancer.calls_made] == [RequestKind.WATCH] * 11 + [
        RequestKind.COMPLETE_LIST
    ]
    assert not any(balancer.call() for _ in range(30)) and {
        call for *_, call in balancer.calls_made[12:]
    } == {RequestKind.WATCH}


def direct_calls(balancers: int, calls_per_s: float, until: float) -> list[float]:
    """Return the times of the calls to the source while the source and all relays are down."""
    states = dict.fromkeys([*ELEVEN, SOURCE], "dead")
    times: list[float] = []
    for number in range(balancers):
        balancer = Balancer(number, states, balancers, calls_per_s)
        balancer.lose_watch()
        while balancer.now < until:
            balancer.call()
        times += [at for at, address, _ in balancer.calls_made if address == SOURCE]
    return times


@pytest.mark.parametrize(("balancers", "calls_per_s", "until"), [(FLEET, 50.0, 22.0), (460, 5.0, 200.0)])
def test_all_relays_down_fleet_calls_source_at_its_call_rate(
    balancers: int, calls_per_s: float, until: float
) -> None:
    """Calls are drawn independently: allow 10% above the rate in total, 5 standard deviations per second."""
    times = direct_calls(balancers, calls_per_s, until)
    seconds = Counter(int(at) for at in times)
    assert max(seconds.values()) <= calls_per_s + 5 * calls_per_s**0.5
    assert 0.8 * calls_per_s <= len(times) / (until - LINE_TIMEOUT_S) <= 1.1 * calls_per_s


def test_all_relays_down_small_fleet_calls_source_after_one_round_then_at_most_once_a_second() -> None:
    balancer = Balancer(1, dict.fromkeys([*ELEVEN, SOURCE], "dead"), fleet=10)
    balancer.lose_watch()
    for _ in range(100):
        balancer.call()
    direct = [at for at, address, _ in balancer.calls_made if address == SOURCE]
    assert balancer.calls_made[11][1] == SOURCE and min(b - a for a, b in itertools.pairwise(direct)) >= 0.75
    assert balancer.policy.connect_timeout() in (RELAY_CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_S)


def test_direct_call_uses_timeouts_of_shared_service() -> None:
    balancer = Balancer(1, {})
    balancer.relays.next_call_direct = True
    assert balancer.call() and (balancer.policy.connect_timeout(), balancer.policy.first_line_timeout()) == (
        CONNECT_TIMEOUT_S,
        SHARED_FIRST_LINE_TIMEOUT_S,
    )
    assert balancer.relays.watch_position == 11 and balancer.relays.follows_configuration()
    better = [balancer.relays.better_target() for _ in range(12)]
    assert [target.address for target in better if target] == [
        *balancer.relays.order,
        balancer.relays.order[0],
    ]
    assert (balancer.policy.connect_timeout(), balancer.policy.first_line_timeout()) == (
        RELAY_CONNECT_TIMEOUT_S,
        RELAY_FIRST_LINE_TIMEOUT_S,
    )


def test_recovered_relay_its_balancers_return_spread_over_a_minute() -> None:
    """418 balancers return, 7 per second on average; at its first relay, a balancer has no better target."""
    waits = [Balancer(number, {}).policy.better_address_delay() for number in range(418)]
    assert RETURN_DELAY_RANGE_S[0] <= min(waits) and max(waits) <= RETURN_DELAY_RANGE_S[1]
    assert max(Counter(int(wait) for wait in waits).values()) <= 20
    balancer = Balancer(5, {})
    assert (
        balancer.call()
        and balancer.relays.better_target() is None
        and not balancer.relays.follows_configuration()
    )
    single = SingleAddress(lambda: SOURCE)
    assert single.better_target() is None and single.choose(False).kind is RequestKind.COMPLETE_LIST
    assert SingleAddress(lambda: SOURCE, complete_list_by_watch=True).choose(False).kind is RequestKind.WATCH


def test_first_calls_are_spread_and_rejected_call_waits_for_retry_after() -> None:
    delays = [Balancer(number, {}).policy.initial_delay() for number in range(418)]
    assert max(delays) > 1.5 and max(Counter(int(10 * wait) for wait in delays).values()) < 50
    balancer = Balancer(2, dict.fromkeys(ELEVEN, "lost"))
    assert not balancer.call(known=False, retry_after=1.2) and 1.2 <= balancer.now <= 1.5
