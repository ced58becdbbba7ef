"""Which address the next call for the list goes to. No I/O.

When a call is made is for the policy of calls to say (call_policy.py, relay_call_policy.py). `SingleAddress`
is one address: an agent, or the list service. `RelayAddresses` are several that pass one list service's lists
on: each balancer has an order of its own over them by rendezvous hashing, so that the loss of one moves only
its own balancers, and those spread over all others. The load is bounded by the relays: one that is full turns
a watch away (503) and the balancer takes the next in its order.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple, Protocol

from quartzford.membership.call_policy import CallOutcome

Address = tuple[str, int]


class RequestKind(Enum):
    """What is asked."""

    COMPLETE_LIST = "whole"  # GET of the whole list; the connection ends with it
    WATCH = "watch"  # changes after the version that is held, or everything after 0


class Target(NamedTuple):
    """Where a call goes, and what it asks."""

    address: Address
    ask: RequestKind


class Addresses(Protocol):
    """A choice of addresses; it learns how each call has ended."""

    address: Callable[[], Address]  # of the configuration: the agent's, or the list service's
    complete_list_by_watch: bool  # the first line of a watch at index 0 is the whole list, whatever it says

    def choose(self, known: bool) -> Target:
        """Where a new call goes. known: a version of the list is held."""

    def failed(self, target: Target, end: CallOutcome) -> None:
        """A call has ended, or has had its time without an answer."""

    def answered(self, target: Target) -> None:
        """The list, or its changes, came: a watch stands there from now on, and no other."""

    def better(self) -> Target | None:
        """A place that is to be tried beside the watch that stands; None: it stands at the best."""

    def follows(self) -> bool:
        """Whether what is asked now moves with the address of the configuration."""


class SingleAddress:
    """One address. whole_by_watch: the whole list is asked for by a watch at index 0, in one call."""

    def __init__(self, address: Callable[[], Address], complete_list_by_watch: bool = False) -> None:
        self.address, self.complete_list_by_watch = address, complete_list_by_watch

    def choose(self, known: bool) -> Target:
        """The one address: the whole list where no version is held, else a watch."""
        return Target(
            self.address(),
            RequestKind.WATCH if known or self.complete_list_by_watch else RequestKind.COMPLETE_LIST,
        )

    def failed(self, target: Target, end: CallOutcome) -> None:
        """Nothing follows: there is no other."""

    def answered(self, target: Target) -> None:
        """Nothing follows: there is no other."""

    def better(self) -> Target | None:
        """None: there is no other."""
        return None

    def follows(self) -> bool:
        """True: it is the configuration's, or fixed."""
        return True


def ranked(name: str, relays: Iterable[Address]) -> tuple[Address, ...]:
    """A balancer's order over the relays, by rendezvous hashing: the best first."""
    import hashlib  # only here: the platform's run has one address

    def weight(relay: Address) -> bytes:
        return hashlib.blake2b(f"{name}\0{relay[0]}:{relay[1]}".encode(), digest_size=8).digest()

    return tuple(sorted(relays, key=lambda relay: (weight(relay), relay), reverse=True))


class RelayAddresses:
    """Several relays, and the list service itself where `direct` says so.

    A call that fails moves on to the next relay in the balancer's order, round and round. A relay that has
    turned a call away lives; one that was not reached, said nothing or broke off is taken for gone.
    """

    complete_list_by_watch = True

    def __init__(self, name: str, relays: Iterable[Address], address: Callable[[], Address]) -> None:
        self.order = ranked(name, relays)
        self.address = address
        self.next_call_direct = False  # the next call goes to the list service
        self.asked: Target | None = None  # by the last call
        self.last_call_direct = self.last_failure_direct = (
            False  # the last call, the last failure: at the list service
        )
        self.known = False  # a version was held then
        self.ever_answered = False  # a relay has answered since the start
        self.place: int | None = None  # in the order, where the watch stands; len(order): at the list service
        self._next = 0
        self._tried = 0  # better places since the watch stands
        self._ends: dict[Address, CallOutcome] = {}  # of each relay's last call since one has answered

    def choose(self, known: bool) -> Target:
        """The next relay in the order, or the list service where `direct` says so."""
        self.known, self.last_call_direct, self.next_call_direct = known, self.next_call_direct, False
        if self.last_call_direct:
            self.asked = Target(self.address(), RequestKind.WATCH)
        else:
            # Relays that have lost the list service turn watches away, and give a list to who has none.
            complete = not self.ever_answered and self.all_failed() and self.any_relay_alive()
            self.asked = Target(
                self.order[self._next], RequestKind.COMPLETE_LIST if complete else RequestKind.WATCH
            )
        return self.asked

    def failed(self, target: Target, end: CallOutcome) -> None:
        """The next call goes to the relay behind the one that failed."""
        self.place = None
        self.last_failure_direct = target.address not in self.order
        if not self.last_failure_direct:
            self._next = (self.order.index(target.address) + 1) % len(self.order)
            if end is not CallOutcome.LOST:  # that it answers no more is for the next call to find
                self._ends[target.address] = end

    def answered(self, target: Target) -> None:
        """A watch stands at the target; what relays did before counts no more."""
        self.ever_answered = True
        if target.ask is RequestKind.COMPLETE_LIST:
            return  # of a relay that has lost the list service, perhaps
        self._ends.clear()
        self._tried = 0
        direct = target.address not in self.order
        self.place = len(self.order) if direct else self.order.index(target.address)
        self._next = 0 if direct else self.place

    def better(self) -> Target | None:
        """One of the relays before the place where the watch stands, in turn."""
        if not self.place:
            return None
        relay = self.order[self._tried % self.place]
        self._tried += 1
        self.asked, self.known, self.last_call_direct = Target(relay, RequestKind.WATCH), True, False
        return self.asked

    def follows(self) -> bool:
        """True at the list service: a relay's address is not the configuration's."""
        return self.last_call_direct or self.place == len(self.order)

    def all_failed(self) -> bool:
        """Each relay's last call has failed."""
        return len(self._ends) == len(self.order)

    def any_relay_alive(self) -> bool:
        """A relay has turned a call away: it lives, and has lost the list service or is full."""
        return CallOutcome.REJECTED in self._ends.values()
