"""The shutdown of a balancer after SIGTERM: every request read is answered before the platform's SIGKILL.

Without a successor, new connections are accepted for a moment. Then the listener is closed, idle connections
are closed and open requests go on, until none is left or SIGKILL is near. In that case, one step at a time,
requests in flight get their final answer, requests read in part are rejected, and the process exits.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from quartzford.engine import Clock, Engine
from quartzford.fronts.http_front import HttpFront

ACCEPT_S = 0.6  # new connections are accepted for so long after SIGTERM
# SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as this at most, and a margin.
MAX_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7
# Steps by the time that is left until SIGKILL, each early enough for a loop that is held up for 0.15 s then:
ANSWER_BEFORE_S = 0.35  # every request in flight gets its final answer, later ones get theirs at once
REJECT_BEFORE_S = 0.25  # nothing more is read as a request: what has been read in part is rejected
EXIT_BEFORE_S = 0.2  # the process exits
STEP_S = 0.02  # between two looks; after a hold-up, timers are due ahead of what has come meanwhile


class GracefulShutdown:
    """The steps from SIGTERM to the exit of one process. Times in seconds on the node's clock."""

    def __init__(self, engine: Engine, front: HttpFront, clock: Clock, finish: Callable[[], None]) -> None:
        """finish: called once, or more often, when the process may exit."""
        self.engine = engine
        self.front = front
        self.clock = clock
        self.finish = finish
        self.started_at = math.inf

    def begin(self) -> None:
        """SIGTERM has come: the time to SIGKILL counts from now on."""
        self.started_at = self.clock.now()

    def drain(self) -> None:
        """Shut down without a successor: accept for a moment, answer what is open, exit."""
        self.front.draining = True
        accept_until = min(self.started_at + ACCEPT_S, self._killed_at() - ANSWER_BEFORE_S)
        self.clock.call_later(max(0.0, accept_until - self.clock.now()), self._accept_last)

    def exit_deadline(self) -> float:
        """When the process has to have done everything."""
        return self._killed_at() - EXIT_BEFORE_S

    def finish_when_idle(self) -> None:
        """Look again and again whether all clients are gone, or SIGKILL is near."""
        if self.front.draining:
            self.front.close_idle()
        # After a failed handover, more clients may come.
        idle = self.front.has_no_clients() and not self.front.accepting
        if idle or self._take_last_step():
            self.finish()
            return
        self.clock.call_later(STEP_S, self.finish_when_idle)

    def _accept_last(self) -> None:
        """Closing the listener would reset the connections in its queue: they are accepted first."""
        self.clock.call_later(STEP_S, self._stop_listening)

    def _stop_listening(self) -> None:
        if self.front.draining:  # else a successor has come meanwhile
            self.front.stop_listening()
            self.finish_when_idle()

    def _killed_at(self) -> float:
        """SIGKILL comes no sooner."""
        deadline_s = min(MAX_DEADLINE_S, self.engine.max_deadline_ms / 1000.0)
        return self.started_at + deadline_s + KILL_MARGIN_S

    def _take_last_step(self) -> bool:
        """Whether the process has to exit. One step each time: what comes in between is read and answered."""
        left_s = self._killed_at() - self.clock.now()
        if not self.engine.balancer.shutting_down:
            if left_s <= ANSWER_BEFORE_S:
                self.engine.shut_down()
            return False
        if not self.front.rejecting:
            if left_s <= REJECT_BEFORE_S:
                self.front.reject_unfinished()
            return False
        return left_s <= EXIT_BEFORE_S
