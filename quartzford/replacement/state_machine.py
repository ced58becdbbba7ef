"""The handover states of a process that may have a successor: a transition table without I/O."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple


class HandoverState(Enum):
    """The progress of the handover to a successor, and whether this process is shutting down.

    SERVING: no successor is connected, this process accepts connections.
    SUCCESSOR_STARTING: a successor has the listener and the state but does not serve yet.
    SUCCESSOR_SERVING: the successor serves. This process completes its open requests; it can resume serving.
    DRAINING: this process shuts down without a successor.
    DRAINING_SUCCESSOR_STARTING: this process shuts down; the successor does not serve yet.
    DRAINING_SUCCESSOR_SERVING: this process shuts down; the successor serves.
    """

    SERVING = "serving"
    SUCCESSOR_STARTING = "successor starting"
    SUCCESSOR_SERVING = "successor serving"
    DRAINING = "draining"
    DRAINING_SUCCESSOR_STARTING = "draining, successor starting"
    DRAINING_SUCCESSOR_SERVING = "draining, successor serving"


class HandoverEvent(Enum):
    """An event that may change the handover state of a process.

    SUCCESSOR_CONNECTED: a successor requests the handover.
    SUCCESSOR_SERVES: the successor accepts connections.
    SUCCESSOR_LOST: the connection to the successor is closed, or no message arrived within the timeout.
    SHUTDOWN_REQUESTED: this process received SIGTERM.
    """

    SUCCESSOR_CONNECTED = "successor connected"
    SUCCESSOR_SERVES = "successor serves"
    SUCCESSOR_LOST = "successor lost"
    SHUTDOWN_REQUESTED = "shutdown requested"


class HandoverAction(Enum):
    """An action that the process performs at a transition.

    RELEASE_LISTENER: stop accepting connections, send the listener and the state to the successor.
    TRANSFER_CLIENTS: send each client connection to the successor as soon as it is idle.
    RESUME_SERVING: accept connections again, with new slow-start budgets.
    DRAIN: answer open requests, then close all connections and exit.
    DRAIN_TO_SUCCESSOR: answer open requests, transfer idle connections to the successor, exit.
    """

    RELEASE_LISTENER = "release listener"
    TRANSFER_CLIENTS = "transfer clients"
    RESUME_SERVING = "resume serving"
    DRAIN = "drain"
    DRAIN_TO_SUCCESSOR = "drain to successor"


class Transition(NamedTuple):
    """The next state, and the actions to perform, in order."""

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
    # A successor that connects during the shutdown still receives the listener and the remaining clients.
    (HandoverState.DRAINING, HandoverEvent.SUCCESSOR_CONNECTED): Transition(
        HandoverState.DRAINING_SUCCESSOR_STARTING,
        (HandoverAction.RELEASE_LISTENER, HandoverAction.DRAIN_TO_SUCCESSOR),
    ),
}


class HandoverStateMachine:
    """Applies the transition table. An event without a transition from the present state has no effect."""

    def __init__(self, perform: Callable[[HandoverAction], None]) -> None:
        """perform: callback that performs an action; it may cause further events."""
        self.state = HandoverState.SERVING
        self._perform = perform

    def handle(self, event: HandoverEvent) -> bool:
        """Perform the event's transition. Return False if the present state has no transition for it."""
        transition = TRANSITIONS.get((self.state, event))
        if transition is None:
            return False
        self.state = transition.next_state
        for action in transition.actions:
            self._perform(action)
        return True
