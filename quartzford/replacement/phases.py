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


class Phase(Enum):
    SERVING = "serving"
    OFFERED = "offered"
    FOLLOWED = "followed"
    ENDING = "ending"
    PASSING = "passing"
    LEAVING = "leaving"


class News(Enum):
    HELLO = "a successor asks for what there is"
    SERVES = "the successor serves"
    LOST = "the successor has ended, or is silent"
    TERM = "told to end"


class Step(Enum):
    STAND_DOWN = "take no new connection, give listener and state"
    HAND = "hand over each connection that rests"
    TAKE_BACK = "take connections again, with the cold servers' budgets begun anew"
    DRAIN = "end: answer what there is, then close"
    LEAVE = "end: answer what there is, hand over the rest"


P, N, S = Phase, News, Step
TABLE: dict[tuple[Phase, News], tuple[Phase, tuple[Step, ...]]] = {
    (P.SERVING, N.HELLO): (P.OFFERED, (S.STAND_DOWN,)),
    (P.SERVING, N.TERM): (P.ENDING, (S.DRAIN,)),
    (P.OFFERED, N.SERVES): (P.FOLLOWED, (S.HAND,)),
    (P.OFFERED, N.LOST): (P.SERVING, (S.TAKE_BACK,)),
    (P.OFFERED, N.TERM): (P.PASSING, (S.LEAVE,)),
    (P.FOLLOWED, N.LOST): (P.SERVING, (S.TAKE_BACK,)),
    (P.FOLLOWED, N.TERM): (P.LEAVING, (S.LEAVE,)),
    (P.PASSING, N.SERVES): (P.LEAVING, (S.HAND,)),
    (P.PASSING, N.LOST): (P.ENDING, (S.TAKE_BACK, S.DRAIN)),
    (P.LEAVING, N.LOST): (P.ENDING, (S.TAKE_BACK, S.DRAIN)),
    # A successor that comes late: what is left goes to it all the same.
    (P.ENDING, N.HELLO): (P.PASSING, (S.STAND_DOWN, S.LEAVE)),
}


class Phases:
    """Carries out the table; what it does not name changes nothing."""

    def __init__(self, carry_out: Callable[[Step], None]) -> None:
        self.phase = Phase.SERVING
        self.carry_out = carry_out

    def tell(self, news: News) -> bool:
        """Whether the news changed anything."""
        found = TABLE.get((self.phase, news))
        if found is None:
            return False
        self.phase, steps = found
        for step in steps:
            self.carry_out(step)
        return True
