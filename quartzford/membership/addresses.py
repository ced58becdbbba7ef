"""Selection of the address for the next call for the endpoint list. No I/O.

The call policy decides when a call is made (call_policy.py, relay_call_policy.py). `SingleAddress` holds one
address: the agent of this machine, or the list service. `RelayAddresses` holds several relays of one list
service. Each balancer ranks the relays by rendezvous hashing, so that the loss of a relay moves only the
balancers of that relay and spreads them over all others. A relay limits its own load: a full relay rejects a
watch (503), and the balancer calls the next relay in its order.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple, Protocol

from quartzford.membership.call_policy import CallOutcome

Address = tuple[str, int]


class RequestKind(Enum):
    """What a call requests."""

    COMPLETE_LIST = "complete list"  # a GET; the connection is closed after the answer
    WATCH = "watch"  # changes since the held version; all entries if no version is held


class Target(NamedTuple):
    """The address of a call, and what the call requests."""

    address: Address
    kind: RequestKind


class Addresses(Protocol):
    """Chooses the address of each call, and receives the outcome of each call."""

    address: Callable[[], Address]  # the configured address of the agent or the list service
    # Whether the first line of a watch at index 0 is the complete list, even if it is not marked as complete.
    complete_list_by_watch: bool

    def choose(self, version_known: bool) -> Target:
        """Return the target of a new call. version_known: whether a version of the list is held."""

    def record_failure(self, target: Target, outcome: CallOutcome) -> None:
        """Record that a call failed, or timed out without an answer."""

    def record_answer(self, target: Target) -> None:
        """Record that the list or changes arrived from this target, to which the watch now belongs."""

    def better_target(self) -> Target | None:
        """Return a preferred target to try beside the established watch; None if there is none."""

    def follows_configuration(self) -> bool:
        """Return whether the current target changes with the configured address."""


class SingleAddress:
    """One address. complete_list_by_watch: a watch at index 0 delivers the complete list in one call."""

    def __init__(self, address: Callable[[], Address], complete_list_by_watch: bool = False) -> None:
        self.address = address
        self.complete_list_by_watch = complete_list_by_watch

    def choose(self, version_known: bool) -> Target:
        """Return the address with a watch, or with a request for the complete list if no version is held."""
        watch = version_known or self.complete_list_by_watch
        return Target(self.address(), RequestKind.WATCH if watch else RequestKind.COMPLETE_LIST)

    def record_failure(self, target: Target, outcome: CallOutcome) -> None:
        """Do nothing: there is no other address."""

    def record_answer(self, target: Target) -> None:
        """Do nothing: there is no other address."""

    def better_target(self) -> Target | None:
        """Return None: there is no other address."""
        return None

    def follows_configuration(self) -> bool:
        """Return True: the address is the configured one, or fixed."""
        return True


def rank_relays(name: str, relays: Iterable[Address]) -> tuple[Address, ...]:
    """Return the relays in a balancer's order of preference: rendezvous hashes of its name and each relay."""
    import hashlib  # imported here: the platform's run has only one address

    def weight(relay: Address) -> bytes:
        """Return the hash that determines the rank of a relay for this balancer."""
        return hashlib.blake2b(f"{name}\0{relay[0]}:{relay[1]}".encode(), digest_size=8).digest()

    return tuple(sorted(relays, key=lambda relay: (weight(relay), relay), reverse=True))


class RelayAddresses:
    """Several relays, and the list service itself if `next_call_direct` is set.

    After a failed call, the next relay in the balancer's order is called; the last is followed by the first.
    A relay that rejected a call is reachable. A relay counts as down if it could not be reached, did not
    answer in time, or closed the connection early.
    """

    complete_list_by_watch = True

    def __init__(self, name: str, relays: Iterable[Address], address: Callable[[], Address]) -> None:
        self.order = rank_relays(name, relays)
        self.address = address
        self.next_call_direct = False  # the next call goes to the list service
        self.last_call_direct = False  # the last call went to the list service
        self.last_failure_direct = False  # the last failed call went to the list service
        self.last_target: Target | None = None
        self.version_was_known = False  # whether a version was held at the last call
        self.ever_answered = False  # a relay has answered since the start
        self.watch_position: int | None = None  # rank of the watched relay; len(order) for the list service
        self._next_rank = 0  # rank of the relay to call next
        self._better_tried = 0  # preferred targets tried since the watch was established
        # Outcome of the last failed call to each relay since a relay last established a watch.
        self._outcomes: dict[Address, CallOutcome] = {}

    def choose(self, version_known: bool) -> Target:
        """Return the next relay in the order, or the list service if `next_call_direct` is set."""
        self.version_was_known = version_known
        self.last_call_direct = self.next_call_direct
        self.next_call_direct = False
        if self.last_call_direct:
            self.last_target = Target(self.address(), RequestKind.WATCH)
        else:
            self.last_target = Target(self.order[self._next_rank], self._relay_request_kind())
        return self.last_target

    def _relay_request_kind(self) -> RequestKind:
        """Return what to request from a relay.

        Relays that lost the list service reject watches, but serve a complete list to a balancer without one.
        """
        lost_service = not self.ever_answered and self.all_failed() and self.any_relay_reachable()
        return RequestKind.COMPLETE_LIST if lost_service else RequestKind.WATCH

    def record_failure(self, target: Target, outcome: CallOutcome) -> None:
        """Record a failed call; the next call goes to the next relay in the order."""
        self.watch_position = None
        self.last_failure_direct = target.address not in self.order
        if self.last_failure_direct:
            return
        self._next_rank = (self.order.index(target.address) + 1) % len(self.order)
        if outcome is not CallOutcome.WATCH_LOST:  # the next call shows whether the relay still answers
            self._outcomes[target.address] = outcome

    def record_answer(self, target: Target) -> None:
        """Record an answer; a watch at the target makes earlier outcomes of the relays obsolete."""
        self.ever_answered = True
        if target.kind is RequestKind.COMPLETE_LIST:
            return  # the relay may have lost the list service
        self._outcomes.clear()
        self._better_tried = 0
        if target.address in self.order:
            self.watch_position = self._next_rank = self.order.index(target.address)
        else:
            self.watch_position = len(self.order)
            self._next_rank = 0

    def better_target(self) -> Target | None:
        """Return one of the relays ranked before the watched one, in turn."""
        if not self.watch_position:
            return None
        relay = self.order[self._better_tried % self.watch_position]
        self._better_tried += 1
        self.last_target = Target(relay, RequestKind.WATCH)
        self.version_was_known = True
        self.last_call_direct = False
        return self.last_target

    def follows_configuration(self) -> bool:
        """Return True if the target is the list service; relay addresses are fixed."""
        return self.last_call_direct or self.watch_position == len(self.order)

    def all_failed(self) -> bool:
        """Return whether the last call to each relay failed."""
        return len(self._outcomes) == len(self.order)

    def any_relay_reachable(self) -> bool:
        """Return whether a relay rejected a call: that relay is up, but full or without the list service."""
        return CallOutcome.REJECTED in self._outcomes.values()
