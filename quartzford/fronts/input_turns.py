"""Limits the new input of all clients together in a turn of the event loop: what is due comes before it."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from quartzford.engine import Clock

MAX_INPUT_S = 0.003  # of a turn, from its first input on


class WaitingClient(Protocol):
    """A client with input that waits for another turn."""

    def take_turn(self) -> None:
        """Parse and serve a part of the input; wait again if there is more."""


class InputTurns:
    """Gives the clients their turns, in the order in which they began to wait.

    Clients with new input come before those that have used up a turn and have more, so that a short request
    does not wait for a round of long ones (the new and old flows of fq_codel, RFC 8290).

    A turn begins with the clients that wait. Answers of upstreams and timers are handled in every turn,
    whatever waits here. Input is taken at once while the turn is open, and at least one waiting client of
    each kind gets its turn, however long the rest of it takes. number: of the present turn, from 1 on.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._new: deque[WaitingClient] = deque()
        self._continued: deque[WaitingClient] = deque()
        self.number = 0
        self._ends_at = 0.0  # seconds on the clock; 0 if there was no input yet in this turn of the loop

    def is_open(self, now: float) -> bool:
        """Return whether input may be taken in this turn. now: seconds on the clock."""
        if not self._ends_at:
            self._begin(now)
        return now < self._ends_at

    def wait(self, client: WaitingClient, continued: bool) -> None:
        """Have a client take its turn in a later turn of the event loop; it must not wait already.

        continued: it has used up its last turn.
        """
        (self._continued if continued else self._new).append(client)
        if not self._ends_at:
            self._begin(self._clock.now())

    def _begin(self, now: float) -> None:
        self._ends_at = now + MAX_INPUT_S
        self.number += 1
        self._clock.call_soon(self._next_turn)

    def _next_turn(self) -> None:
        self._ends_at = 0.0
        if not self._new and not self._continued:
            return
        self._begin(self._clock.now())
        for waiting in (self._new, self._continued):
            for _ in range(len(waiting)):
                waiting.popleft().take_turn()
                if not self.is_open(self._clock.now()):
                    break
