"""Captures the state that a predecessor hands over, and converts it for the successor.

Timestamps in the state are on the predecessor's engine clock, which is the machine's monotonic clock plus an
anchor read at the process's start. Both processes share the monotonic clock, so the successor shifts the
timestamps to its own engine clock by the difference of the two anchors.
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
    """The predecessor's state, as a successor uses it. Times are milliseconds on its own engine clock.

    version: list version after which the successor may request changes; None if it needs the complete list.
    starts: upstream start times; None from a predecessor of an earlier version, which did not record them.
    busy_clients: number of client connections with an open request, which stay with the predecessor for now.
    discovery_answered: whether the predecessor had received an answer from discovery.
    """

    listing: Listing
    version: int | None
    memory: io.LearnedState
    starts: InheritedStarts | None
    busy_clients: int
    discovery_answered: bool


def anchor_ms(clock: Clock) -> float:
    """Return the offset of the engine clock from the monotonic clock, in milliseconds."""
    return clock.unix_ms() - clock.now() * 1000.0


def capture_state(control: ControlSide, busy_clients: int) -> BalancerState:
    """Return the balancer's current state for its successor, without the requests in flight.

    busy_clients: number of client connections with an open request.
    """
    memory = control.engine.hand_over()
    # The rows of a list that is still applied in chunks are not all of its version.
    version = None if control.pending.has_chunks() else control.watch.version
    list_known_ms = control.list_known_ms()
    warm_before_ms = control.clock.unix_ms() - control.config.settings.rules.slow_start_ms
    return BalancerState(
        format=STATE_FORMAT,
        listing=control.registry.table(),
        version=version,
        discovery=list(control.config.discovery),
        discovery_answered=control.watch.ever_answered,
        busy_clients=busy_clients,
        memory=memory,
        anchor_ms=anchor_ms(control.clock),
        list_known_ms=list_known_ms if math.isfinite(list_known_ms) else None,
        start_times_ms=control.start_times.started_after(warm_before_ms),
    )


def read_state(state: BalancerState, discovery: Address, own_anchor_ms: float) -> InheritedState:
    """Convert the predecessor's state for the successor. Raises ValueError if its list is invalid.

    discovery: address of the successor's list service. If the predecessor used another one, the list version
    is dropped: each service numbers its own versions, so changes since that version would be incomplete.
    own_anchor_ms: the successor's `anchor_ms`.
    """
    listing = read_listing(state.listing)
    same_discovery = state.discovery == list(discovery)
    version = state.version if same_discovery else None
    memory = state.memory
    starts = None
    if state.anchor_ms is not None:  # None: an earlier version, which assumed equal engine clocks
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
