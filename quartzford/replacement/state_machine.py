"""Where a process stands that may be followed by another: a table of states, without I/O.

SERVING   alone, takes requests
OFFERED   a successor has come: it has the listener and the state, and does not serve yet
FOLLOWED  the successor serves; this one only ends what it has, and could serve again
ENDING    told to end, with no successor: the planned restart as it always was
PASSING   told to end, the successor does not serve yet
LEAVING   told to end, the successor serves
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class HandoverState(Enum):
    SERVING = "serving"
    SUCCESSOR_STARTING = "offered"
    SUCCESSOR_SERVING = "followed"
    DRAINING = "ending"
    DRAINING_SUCCESSOR_STARTING = "passing"
    DRAINING_SUCCESSOR_SERVING = "leaving"


class HandoverEvent(Enum):
    SUCCESSOR_CONNECTED = "a successor asks for what there is"
    SUCCESSOR_SERVES = "the successor serves"
    SUCCESSOR_LOST = "the successor has ended, or is silent"
    SHUTDOWN_REQUESTED = "told to end"


class HandoverAction(Enum):
    RELEASE_LISTENER = "take no new connection, give listener and state"
    TRANSFER_CLIENTS = "hand over each connection that rests"
    RESUME_SERVING = "take connections again, with the cold servers' budgets begun anew"
    DRAIN = "end: answer what there is, then close"
    DRAIN_TO_SUCCESSOR = "end: answer what there is, hand over the rest"


P, N, S = HandoverState, HandoverEvent, HandoverAction
TRANSITIONS: dict[tuple[HandoverState, HandoverEvent], tuple[HandoverState, tuple[HandoverAction, ...]]] = {
    (P.SERVING, N.SUCCESSOR_CONNECTED): (P.SUCCESSOR_STARTING, (S.RELEASE_LISTENER,)),
    (P.SERVING, N.SHUTDOWN_REQUESTED): (P.DRAINING, (S.DRAIN,)),
    (P.SUCCESSOR_STARTING, N.SUCCESSOR_SERVES): (P.SUCCESSOR_SERVING, (S.TRANSFER_CLIENTS,)),
    (P.SUCCESSOR_STARTING, N.SUCCESSOR_LOST): (P.SERVING, (S.RESUME_SERVING,)),
    (P.SUCCESSOR_STARTING, N.SHUTDOWN_REQUESTED): (P.DRAINING_SUCCESSOR_STARTING, (S.DRAIN_TO_SUCCESSOR,)),
    (P.SUCCESSOR_SERVING, N.SUCCESSOR_LOST): (P.SERVING, (S.RESUME_SERVING,)),
    (P.SUCCESSOR_SERVING, N.SHUTDOWN_REQUESTED): (P.DRAINING_SUCCESSOR_SERVING, (S.DRAIN_TO_SUCCESSOR,)),
    (P.DRAINING_SUCCESSOR_STARTING, N.SUCCESSOR_SERVES): (
        P.DRAINING_SUCCESSOR_SERVING,
        (S.TRANSFER_CLIENTS,),
    ),
    (P.DRAINING_SUCCESSOR_STARTING, N.SUCCESSOR_LOST): (P.DRAINING, (S.RESUME_SERVING, S.DRAIN)),
    (P.DRAINING_SUCCESSOR_SERVING, N.SUCCESSOR_LOST): (P.DRAINING, (S.RESUME_SERVING, S.DRAIN)),
    # A successor that comes late: what is left goes to it all the same.
    (P.DRAINING, N.SUCCESSOR_CONNECTED): (
        P.DRAINING_SUCCESSOR_STARTING,
        (S.RELEASE_LISTENER, S.DRAIN_TO_SUCCESSOR),
    ),
}


class HandoverStateMachine:
    """Carries out the table; what it does not name changes nothing."""

    def __init__(self, carry_out: Callable[[HandoverAction], None]) -> None:
        self.state = HandoverState.SERVING
        self.carry_out = carry_out

    def handle(self, news: HandoverEvent) -> bool:
        """Whether the news changed anything."""
        found = TRANSITIONS.get((self.state, news))
        if found is None:
            return False
        self.state, steps = found
        for step in steps:
            self.carry_out(step)
        return True
