"""The states of a process that may have a successor, as a table of transitions without I/O."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple


class HandoverState(Enum):
    """How far the handover to a successor has come, and whether this process shuts down.

    SERVING: there is no successor, this process accepts connections.
    SUCCESSOR_STARTING: a successor has the listener and the state, and does not serve yet.
    SUCCESSOR_SERVING: the successor serves; this process ends what it has, and could serve again.
    DRAINING: shutdown without a successor.
    DRAINING_SUCCESSOR_STARTING: shutdown; the successor does not serve yet.
    DRAINING_SUCCESSOR_SERVING: shutdown; the successor serves.
    """

    SERVING = "serving"
    SUCCESSOR_STARTING = "successor starting"
    SUCCESSOR_SERVING = "successor serving"
    DRAINING = "draining"
    DRAINING_SUCCESSOR_STARTING = "draining, successor starting"
    DRAINING_SUCCESSOR_SERVING = "draining, successor serving"


class HandoverEvent(Enum):
    """What may happen to a process.

    SUCCESSOR_CONNECTED: a successor requests the handover.
    SUCCESSOR_SERVES: it accepts connections.
    SUCCESSOR_LOST: its connection has ended, or it has been silent for too long.
    SHUTDOWN_REQUESTED: this process got SIGTERM.
    """

    SUCCESSOR_CONNECTED = "successor connected"
    SUCCESSOR_SERVES = "successor serves"
    SUCCESSOR_LOST = "successor lost"
    SHUTDOWN_REQUESTED = "shutdown requested"


class HandoverAction(Enum):
    """What the process has to do at a transition.

    RELEASE_LISTENER: accept no more connections, give the listener and the state to the successor.
    TRANSFER_CLIENTS: give each idle client connection to the successor, now and later.
    RESUME_SERVING: accept connections again, with new slow-start budgets.
    DRAIN: answer what is open, then close and exit.
    DRAIN_TO_SUCCESSOR: answer what is open, give the rest to the successor, exit.
    """

    RELEASE_LISTENER = "release listener"
    TRANSFER_CLIENTS = "transfer clients"
    RESUME_SERVING = "resume serving"
    DRAIN = "drain"
    DRAIN_TO_SUCCESSOR = "drain to successor"


class Transition(NamedTuple):
    """The state that follows, and what is done on the way, in this order."""

    next_state: HandoverState
    actions: tuple[HandoverAction, ...]


TRANSITIONS: dict[tuple[HandoverState, HandoverEvent], Transition] = {
    (HandoverState.SERVING, HandoverEvent.SUCCESSOR_CONNECTED): Transition(
        HandoverState.SUCCESSOR_STARTING, (HandoverAction.RELEASE_LISTENER,)
    ),
    (HandoverState.SERVING, HandoverEvent.SHUTDOWN_REQUESTED): Transition(
        HandoverState.DRAINING, (HandoverAction.DRAIN,)
    ),
    (HandoverState.SUCCESSOR_STARTING, HandoverEvent.SUCCESSOR_SERVES): Transition(
        HandoverState.SUCCESSOR_SERVING, (HandoverAction.TRANSFER_CLIENTS,)
    ),
    (HandoverState.SUCCESSOR_STARTING, HandoverEvent.SUCCESSOR_LOST): Transition(
        HandoverState.SERVING, (HandoverAction.RESUME_SERVING,)
    ),
    (HandoverState.SUCCESSOR_STARTING, HandoverEvent.SHUTDOWN_REQUESTED): Transition(
        HandoverState.DRAINING_SUCCESSOR_STARTING, (HandoverAction.DRAIN_TO_SUCCESSOR,)
    ),
    (HandoverState.SUCCESSOR_SERVING, HandoverEvent.SUCCESSOR_LOST): Transition(
        HandoverState.SERVING, (HandoverAction.RESUME_SERVING,)
    ),
    (HandoverState.SUCCESSOR_SERVING, HandoverEvent.SHUTDOWN_REQUESTED): Transition(
        HandoverState.DRAINING_SUCCESSOR_SERVING, (HandoverAction.DRAIN_TO_SUCCESSOR,)
    ),
    (HandoverState.DRAINING_SUCCESSOR_STARTING, HandoverEvent.SUCCESSOR_SERVES): Transition(
        HandoverState.DRAINING_SUCCESSOR_SERVING, (HandoverAction.TRANSFER_CLIENTS,)
    ),
    (HandoverState.DRAINING_SUCCESSOR_STARTING, HandoverEvent.SUCCESSOR_LOST): Transition(
        HandoverState.DRAINING, (HandoverAction.RESUME_SERVING, HandoverAction.DRAIN)
    ),
    (HandoverState.DRAINING_SUCCESSOR_SERVING, HandoverEvent.SUCCESSOR_LOST): Transition(
        HandoverState.DRAINING, (HandoverAction.RESUME_SERVING, HandoverAction.DRAIN)
    ),
    # A successor that comes late: it still gets what is left.
    (HandoverState.DRAINING, HandoverEvent.SUCCESSOR_CONNECTED): Transition(
        HandoverState.DRAINING_SUCCESSOR_STARTING,
        (HandoverAction.RELEASE_LISTENER, HandoverAction.DRAIN_TO_SUCCESSOR),
    ),
}


class HandoverStateMachine:
    """Applies the table; an event that it has no transition for changes nothing."""

    def __init__(self, perform: Callable[[HandoverAction], None]) -> None:
        """perform: carries out an action; it may bring about further events."""
        self.state = HandoverState.SERVING
        self._perform = perform

    def handle(self, event: HandoverEvent) -> bool:
        """Take the event's transition; False where there is none from the present state."""
        transition = TRANSITIONS.get((self.state, event))
        if transition is None:
            return False
        self.state = transition.next_state
        for action in transition.actions:
            self._perform(action)
        return True
