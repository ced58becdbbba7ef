"""Which address the next call for the endpoint list goes to. No I/O.

When a call is made is decided by the call policy (call_policy.py, relay_call_policy.py). `SingleAddress` is
one address: the agent of this machine, or the list service. `RelayAddresses` are several relays of one list
service: each balancer ranks them by rendezvous hashing, so that the loss of one relay moves only its own
balancers, and spreads those over all others. A relay bounds its own load: a full one rejects a watch (503),
and the balancer goes on to the next in its order.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple, Protocol

from quartzford.membership.call_policy import CallOutcome

Address = tuple[str, int]


class RequestKind(Enum):
    """What a call requests."""

    COMPLETE_LIST = "complete list"  # a GET; the connection ends with the answer
    WATCH = "watch"  # changes after the version that is held, or everything after version 0


class Target(NamedTuple):
    """Where a call goes, and what it requests."""

    address: Address
    kind: RequestKind


class Addresses(Protocol):
    """Chooses the address of each call; it is notified of how each call has ended."""

    address: Callable[[], Address]  # of the configuration: the agent's, or the list service's
    complete_list_by_watch: (
        bool  # the first line of a watch at index 0 is the complete list, whatever it says
    )

    def choose(self, known: bool) -> Target:
        """The target of a new call. known: a version of the list is held."""

    def failed(self, target: Target, outcome: CallOutcome) -> None:
        """A call has ended, or has timed out without an answer."""

    def answered(self, target: Target) -> None:
        """The list, or changes of it, came: the watch stands at this target from now on."""

    def better(self) -> Target | None:
        """A target to try beside the watch that stands; None where it stands at the best."""

    def follows_configuration(self) -> bool:
        """Whether the present target moves with the address of the configuration."""


class SingleAddress:
    """One address. complete_list_by_watch: a watch at index 0 brings the complete list, in one call."""

    def __init__(self, address: Callable[[], Address], complete_list_by_watch: bool = False) -> None:
        self.address = address
        self.complete_list_by_watch = complete_list_by_watch

    def choose(self, known: bool) -> Target:
        """The one address: the complete list where no version is held, else a watch."""
        watch = known or self.complete_list_by_watch
        return Target(self.address(), RequestKind.WATCH if watch else RequestKind.COMPLETE_LIST)

    def failed(self, target: Target, outcome: CallOutcome) -> None:
        """Does nothing: there is no other address."""

    def answered(self, target: Target) -> None:
        """Does nothing: there is no other address."""

    def better(self) -> Target | None:
        """None: there is no other address."""
        return None

    def follows_configuration(self) -> bool:
        """True: it is the configuration's, or fixed."""
        return True


def rank_relays(name: str, relays: Iterable[Address]) -> tuple[Address, ...]:
    """The relays in a balancer's order of preference, by rendezvous hashing of its name with each."""
    import hashlib  # only here: the platform's run has one address

    def weight(relay: Address) -> bytes:
        """The hash by which a relay ranks for this balancer."""
        return hashlib.blake2b(f"{name}\0{relay[0]}:{relay[1]}".encode(), digest_size=8).digest()

    return tuple(sorted(relays, key=lambda relay: (weight(relay), relay), reverse=True))


class RelayAddresses:
    """Several relays, and the list service itself where `next_call_direct` is set.

    After a failed call the next relay in the balancer's order is called, round and round. A relay that has
    rejected a call is alive; one that was unreachable, silent or broke off is taken for dead.
    """

    complete_list_by_watch = True

    def __init__(self, name: str, relays: Iterable[Address], address: Callable[[], Address]) -> None:
        self.order = rank_relays(name, relays)
        self.address = address
        self.next_call_direct = False  # the next call goes to the list service
        self.last_call_direct = False  # the last call went there
        self.last_failure_direct = False  # the call that failed last had gone there
        self.last_target: Target | None = None
        self.version_was_known = False  # at the last call
        self.ever_answered = False  # a relay has answered since the start
        self.watch_position: int | None = None  # rank of the relay watched; len(order): the list service
        self._next = 0  # rank of the relay that is called next
        self._better_tried = 0  # better targets that were tried since the watch stands
        self._outcomes: dict[Address, CallOutcome] = {}  # of each relay's last call since one has answered

    def choose(self, known: bool) -> Target:
        """The next relay in the order, or the list service where `next_call_direct` is set."""
        self.version_was_known = known
        self.last_call_direct = self.next_call_direct
        self.next_call_direct = False
        if self.last_call_direct:
            self.last_target = Target(self.address(), RequestKind.WATCH)
        else:
            self.last_target = Target(self.order[self._next], self._relay_request())
        return self.last_target

    def _relay_request(self) -> RequestKind:
        """Relays that have lost the list service reject watches, and give a list to who has none."""
        lost_service = not self.ever_answered and self.all_failed() and self.any_relay_alive()
        return RequestKind.COMPLETE_LIST if lost_service else RequestKind.WATCH

    def failed(self, target: Target, outcome: CallOutcome) -> None:
        """The next call goes to the relay behind the one that failed."""
        self.watch_position = None
        self.last_failure_direct = target.address not in self.order
        if self.last_failure_direct:
            return
        self._next = (self.order.index(target.address) + 1) % len(self.order)
        if outcome is not CallOutcome.WATCH_LOST:  # whether it still answers is for the next call to find
            self._outcomes[target.address] = outcome

    def answered(self, target: Target) -> None:
        """A watch stands at the target; earlier outcomes of the relays count no more."""
        self.ever_answered = True
        if target.kind is RequestKind.COMPLETE_LIST:
            return  # of a relay that has lost the list service, perhaps
        self._outcomes.clear()
        self._better_tried = 0
        if target.address in self.order:
            self.watch_position = self._next = self.order.index(target.address)
        else:
            self.watch_position = len(self.order)
            self._next = 0

    def better(self) -> Target | None:
        """One of the relays ranked before the one that is watched, in turn."""
        if not self.watch_position:
            return None
        relay = self.order[self._better_tried % self.watch_position]
        self._better_tried += 1
        self.last_target = Target(relay, RequestKind.WATCH)
        self.version_was_known = True
        self.last_call_direct = False
        return self.last_target

    def follows_configuration(self) -> bool:
        """True at the list service: a relay's address is not the configuration's."""
        return self.last_call_direct or self.watch_position == len(self.order)

    def all_failed(self) -> bool:
        """Each relay's last call has failed."""
        return len(self._outcomes) == len(self.order)

    def any_relay_alive(self) -> bool:
        """A relay has rejected a call: it is alive, and has lost the list service or is full."""
        return CallOutcome.REJECTED in self._outcomes.values()
