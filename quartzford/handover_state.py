"""The state that a predecessor hands over: made from its control side, and read for a successor's.

Moments in it are on the predecessor's scale. Both processes share the machine's monotonic clock, so the
successor moves them to its own scale by the difference of both scales' anchors.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from quartzford.control import ControlSide, InheritedStarts
from quartzford.decision import interface as io
from quartzford.decision.memory import shift_times
from quartzford.engine import Clock
from quartzford.membership.addresses import Address
from quartzford.membership.listing import Listing, read_listing
from quartzford.replacement.state import STATE_FORMAT, BalancerState


class InheritedState(NamedTuple):
    """What a successor begins with. Moments are milliseconds on its own engine's clock.

    version: of the list, from which it may be followed; None where it may not.
    starts: None from a predecessor of an earlier version, which did not date them.
    busy_clients: client connections with a request open, which stay with the predecessor for now.
    discovery_answered: whether discovery has answered the predecessor yet.
    """

    listing: Listing
    version: int | None
    memory: io.LearnedState
    starts: InheritedStarts | None
    busy_clients: int
    discovery_answered: bool


def anchor_ms(clock: Clock) -> float:
    """The engine's scale less the monotonic clock, in milliseconds."""
    return clock.unix_ms() - clock.now() * 1000.0


def capture_state(control: ControlSide, busy_clients: int) -> BalancerState:
    """What a balancer knows at this instant, for its successor; its requests in flight stay."""
    memory = control.engine.hand_over()
    list_known_ms = control.list_known_ms()
    warm_before_ms = control.clock.unix_ms() - control.config.settings.rules.slow_start_ms
    return BalancerState(
        format=STATE_FORMAT,
        listing=control.registry.table(),
        version=control.watch.version,
        discovery=list(control.config.discovery),
        discovery_answered=control.watch.ever_answered,
        busy_clients=busy_clients,
        memory=memory,
        anchor_ms=anchor_ms(control.clock),
        list_known_ms=list_known_ms if math.isfinite(list_known_ms) else None,
        start_times_ms=control.start_times.started_after(warm_before_ms),
    )


def read_state(state: BalancerState, discovery: Address, own_anchor_ms: float) -> InheritedState:
    """The predecessor's state as the successor uses it; ValueError where its list can't be read.

    discovery: the successor's. Another one counts its versions anew: changes since the predecessor's version
    would leave out what differs.
    """
    listing = read_listing(state.listing)
    same_discovery = state.discovery == list(discovery)
    version = state.version if same_discovery else None
    memory = state.memory
    starts = None
    if state.anchor_ms is not None:  # else of an earlier version, which took the two scales for one
        shift_ms = own_anchor_ms - state.anchor_ms
        memory = shift_times(state.memory, shift_ms)
        starts = _shift_starts(state, same_discovery, shift_ms)
    busy_clients = max(0, state.busy_clients)
    return InheritedState(listing, version, memory, starts, busy_clients, state.discovery_answered)


def _shift_starts(state: BalancerState, same_discovery: bool, shift_ms: float) -> InheritedStarts:
    known_ms = -math.inf
    if state.list_known_ms is not None and same_discovery:
        known_ms = state.list_known_ms + shift_ms
    starts = {name: started_ms + shift_ms for name, started_ms in state.start_times_ms.items()}
    return InheritedStarts(known_ms, starts)
