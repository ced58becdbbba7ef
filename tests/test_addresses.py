"""Which relay a balancer asks, and when: orders by hashing, and the policy of calls on a virtual clock."""

from __future__ import annotations

import itertools
import random
from collections import Counter

import pytest

from quartzford.membership.addresses import Address, RelayAddresses, RequestKind, SingleAddress, rank_relays
from quartzford.membership.call_policy import (
    CONNECT_S,
    LINE_TIMEOUT_S,
    NOTIFY_BOUND_S,
    SHARED_FIRST_LINE_TIMEOUT_S,
    CallOutcome,
)
from quartzford.membership.relay_call_policy import (
    RELAY_CONNECT_S,
    RELAY_LINE_S,
    RETURN_S,
    RelayCallPolicy,
)

FLEET = 4_600
ELEVEN = [(f"10.0.0.{n}", 9301) for n in range(11)]
SOURCE = ("10.1.0.1", 8500)
# What a call to a relay in this state takes, and how it ends.
STATES = {
    "dead": (0.0, CallOutcome.UNREACHABLE),
    "vanished": (RELAY_CONNECT_S, CallOutcome.UNREACHABLE),
    "stopped": (RELAY_LINE_S, CallOutcome.TIMED_OUT),
    "lost": (0.0, CallOutcome.REJECTED),
}


class Balancer:
    """One policy on a clock of its own. states: of relays by address; others answer at once."""

    def __init__(
        self, number: int, states: dict[Address, str], fleet: int = FLEET, per_s: float = 50.0
    ) -> None:
        self.now, self.states = 0.0, states
        self.relays = RelayAddresses(f"b{number}", ELEVEN, lambda: SOURCE)
        rng = random.Random(number)
        self.calls = RelayCallPolicy(self.relays, fleet, per_s, 10.0, rng, lambda: self.now)
        self.made: list[tuple[float, Address, RequestKind]] = []

    def lose(self) -> None:
        """The watch at the first relay stood, and has said nothing since 0.0."""
        target = self.relays.choose(True)
        self.relays.answered(target)
        self.now = LINE_TIMEOUT_S
        self.relays.failed(target, CallOutcome.WATCH_LOST)
        self.now += self.calls.delay_after(CallOutcome.WATCH_LOST, LINE_TIMEOUT_S)

    def call(self, known: bool = True, retry_after: float = 0.0) -> bool:
        """One call, and the wait behind it if it fails; whether it was answered."""
        target = self.relays.choose(known)
        self.made.append((self.now, *target))
        state = self.states.get(target.address, "")
        if not state or (state == "lost" and target.kind is RequestKind.COMPLETE_LIST):
            self.relays.answered(target)
            self.calls.record_answer()
            return True
        took, end = STATES[state]
        assert took <= (
            self.calls.connect_timeout()
            if end is CallOutcome.UNREACHABLE
            else self.calls.first_line_timeout()
        )
        self.relays.failed(target, end)
        self.now += took + self.calls.delay_after(end, took, retry_after)
        return False


def test_4600_balancers_spread_evenly_over_eleven_and_the_loss_of_one_moves_only_its_own() -> None:
    """A share of 418; drawn by chance the deviation is 20, and 72 stands for 3.7 of them."""
    orders = [rank_relays(f"b{n}", ELEVEN) for n in range(FLEET)]
    firsts = Counter(order[0] for order in orders)
    assert set(firsts) == set(ELEVEN) and max(abs(count - FLEET / 11) for count in firsts.values()) <= 72
    gone = ELEVEN[4]
    left = [relay for relay in ELEVEN if relay != gone]
    after = [rank_relays(f"b{n}", left) for n in range(FLEET)]
    assert all(one[0] == two[0] for one, two in zip(orders, after, strict=True) if one[0] != gone)
    moved = Counter(two[0] for one, two in zip(orders, after, strict=True) if one[0] == gone)
    assert set(moved) == set(left) and max(moved.values()) <= 2.0 * firsts[gone] / 10


def test_an_order_depends_on_the_name_and_the_set_alone() -> None:
    order = rank_relays("b1", ELEVEN)
    assert order == rank_relays("b1", reversed(ELEVEN)) and sorted(order) == sorted(ELEVEN)
    assert rank_relays("b1", order[:3] + order[4:]) == order[:3] + order[4:]
    assert len({rank_relays(f"b{n}", ELEVEN) for n in range(100)}) == 100


@pytest.mark.parametrize("states", itertools.product(("dead", "vanished", "stopped"), repeat=3))
def test_three_relays_in_a_row_that_fail_leave_a_change_notified_in_time(states: tuple[str, ...]) -> None:
    """The one that the watch stood at stops just after it told something, and the next two do not answer."""
    for number in range(100):
        one = Balancer(number, {})
        one.states = dict(zip(one.relays.order, states, strict=False))
        one.lose()
        while not one.call():
            pass
        assert one.now <= NOTIFY_BOUND_S and one.relays.watch_position == 3


@pytest.mark.parametrize("stopped", [0, 3])
@pytest.mark.parametrize("retry_after", [0.0, 2.0, 3600.0])
def test_while_all_reject_each_is_called_within_six_seconds_and_the_source_never(
    stopped: int, retry_after: float
) -> None:
    for number in range(20):
        one = Balancer(number, dict.fromkeys(ELEVEN, "lost") | dict.fromkeys(ELEVEN[:stopped], "stopped"))
        one.lose()
        for _ in range(200):
            assert not one.call(retry_after=retry_after)
        rounds = [at for at, address, _ in one.made if address == ELEVEN[7]]
        # The answer comes at once from who lives, and within the patience from who would be stopped next.
        assert max(b - a for a, b in itertools.pairwise(rounds[2:])) + RELAY_LINE_S <= NOTIFY_BOUND_S + 0.25
        assert all(address != SOURCE and call is RequestKind.WATCH for _, address, call in one.made)
        assert len(one.made) / one.now <= 11 / 3.5  # and not in a circle


def test_a_balancer_without_a_list_calls_relays_that_lost_the_source_once() -> None:
    one = Balancer(3, dict.fromkeys(ELEVEN, "lost"))
    while not one.call(known=False):
        pass
    assert [call for *_, call in one.made] == [RequestKind.WATCH] * 11 + [RequestKind.COMPLETE_LIST]
    assert not any(one.call() for _ in range(30)) and {call for *_, call in one.made[12:]} == {
        RequestKind.WATCH
    }


def direct_calls(balancers: int, per_s: float, until: float) -> list[float]:
    """When the source is asked while it and all relays are gone."""
    states = dict.fromkeys([*ELEVEN, SOURCE], "dead")
    times: list[float] = []
    for number in range(balancers):
        one = Balancer(number, states, balancers, per_s)
        one.lose()
        while one.now < until:
            one.call()
        times += [at for at, address, _ in one.made if address == SOURCE]
    return times


@pytest.mark.parametrize(("balancers", "per_s", "until"), [(FLEET, 50.0, 22.0), (460, 5.0, 200.0)])
def test_without_any_relay_the_source_is_polled_at_the_fleets_rate(
    balancers: int, per_s: float, until: float
) -> None:
    """Of independent draws: a tenth over the rate over all, and five deviations of chance in a second."""
    times = direct_calls(balancers, per_s, until)
    seconds = Counter(int(at) for at in times)
    assert max(seconds.values()) <= per_s + 5 * per_s**0.5
    assert 0.8 * per_s <= len(times) / (until - LINE_TIMEOUT_S) <= 1.1 * per_s


def test_a_small_fleet_polls_the_source_after_one_round_and_then_once_a_second_at_most() -> None:
    one = Balancer(1, dict.fromkeys([*ELEVEN, SOURCE], "dead"), fleet=10)
    one.lose()
    for _ in range(100):
        one.call()
    direct = [at for at, address, _ in one.made if address == SOURCE]
    assert one.made[11][1] == SOURCE and min(b - a for a, b in itertools.pairwise(direct)) >= 0.75
    assert one.calls.connect_timeout() in (RELAY_CONNECT_S, CONNECT_S)


def test_at_the_source_the_timeout_is_that_of_a_shared_service() -> None:
    one = Balancer(1, {})
    one.relays.next_call_direct = True
    assert one.call() and (one.calls.connect_timeout(), one.calls.first_line_timeout()) == (
        CONNECT_S,
        SHARED_FIRST_LINE_TIMEOUT_S,
    )
    assert one.relays.watch_position == 11 and one.relays.follows_configuration()
    better = [one.relays.better() for _ in range(12)]
    assert [target.address for target in better if target] == [*one.relays.order, one.relays.order[0]]
    assert (one.calls.connect_timeout(), one.calls.first_line_timeout()) == (RELAY_CONNECT_S, RELAY_LINE_S)


def test_those_of_a_relay_that_came_back_return_over_a_minute() -> None:
    """418 of them: seven a second in the mean; at their first place nothing is better."""
    waits = [Balancer(number, {}).calls.better_address_delay() for number in range(418)]
    assert RETURN_S[0] <= min(waits) and max(waits) <= RETURN_S[1]
    assert max(Counter(int(wait) for wait in waits).values()) <= 20
    one = Balancer(5, {})
    assert one.call() and one.relays.better() is None and not one.relays.follows_configuration()
    single = SingleAddress(lambda: SOURCE)
    assert single.better() is None and single.choose(False).kind is RequestKind.COMPLETE_LIST
    assert SingleAddress(lambda: SOURCE, complete_list_by_watch=True).choose(False).kind is RequestKind.WATCH


def test_a_start_is_spread_and_rejected_calls_follow_retry_after() -> None:
    firsts = [Balancer(number, {}).calls.initial_delay() for number in range(418)]
    assert max(firsts) > 1.5 and max(Counter(int(10 * wait) for wait in firsts).values()) < 50
    one = Balancer(2, dict.fromkeys(ELEVEN, "lost"))
    assert not one.call(known=False, retry_after=1.2) and 1.2 <= one.now <= 1.5
