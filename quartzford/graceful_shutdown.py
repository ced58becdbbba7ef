"""Graceful shutdown of a balancer after SIGTERM: it answers every request it has read before SIGKILL.

Without a successor, the process accepts new connections for ACCEPT_AFTER_SIGTERM_S. Then it closes the
listener and idle connections, and open requests continue until none is left or SIGKILL is near. Near SIGKILL
it gives the requests in flight their final answer, then rejects partially read requests, then exits.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from quartzford.engine import Clock, Engine
from quartzford.fronts.http_front import HttpFront

ACCEPT_AFTER_SIGTERM_S = 0.6  # period after SIGTERM in which new connections are accepted
# The platform sends SIGKILL no earlier than min(longest request deadline, MAX_DEADLINE_S) + KILL_MARGIN_S
# after SIGTERM.
MAX_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7
# Last steps, by the time left until SIGKILL. Each leaves room for an event loop hold-up of 0.15 s.
ANSWER_BEFORE_KILL_S = 0.35  # requests in flight, and any that arrive later, get their final answer at once
REJECT_BEFORE_KILL_S = 0.25  # the front reads no further requests and rejects partially read ones
EXIT_BEFORE_KILL_S = 0.2  # the process exits
# Interval of the checks. After a hold-up, timers run before the input that arrived during it.
STEP_INTERVAL_S = 0.02


class GracefulShutdown:
    """Runs the steps from SIGTERM to the exit of one process. Times are seconds on the node's clock."""

    def __init__(self, engine: Engine, front: HttpFront, clock: Clock, finish: Callable[[], None]) -> None:
        """finish: called when the process may exit, possibly several times."""
        self.engine = engine
        self.front = front
        self.clock = clock
        self.finish = finish
        self.started_at = math.inf

    def begin(self) -> None:
        """Record the arrival of SIGTERM, from which the time to SIGKILL counts."""
        self.started_at = self.clock.now()

    def drain(self) -> None:
        """Shut down without a successor: accept new connections briefly, answer open requests, exit."""
        self.front.draining = True
        accept_until = min(
            self.started_at + ACCEPT_AFTER_SIGTERM_S, self._earliest_kill_at() - ANSWER_BEFORE_KILL_S
        )
        self.clock.call_later(max(0.0, accept_until - self.clock.now()), self._accept_last)

    def exit_deadline(self) -> float:
        """Return the time by which the process has to exit."""
        return self._earliest_kill_at() - EXIT_BEFORE_KILL_S

    def finish_when_idle(self) -> None:
        """Check every STEP_INTERVAL_S until all clients have disconnected or SIGKILL is near."""
        if self.front.draining:
            self.front.close_idle()
        # After a failed handover the front accepts clients again.
        idle = self.front.has_no_clients() and not self.front.accepting
        if idle or self._take_last_step():
            self.finish()
            return
        self.clock.call_later(STEP_INTERVAL_S, self.finish_when_idle)

    def _accept_last(self) -> None:
        """Delay closing the listener by one interval: closing it resets connections still in its queue."""
        self.clock.call_later(STEP_INTERVAL_S, self._stop_listening)

    def _stop_listening(self) -> None:
        if self.front.draining:  # false if a successor has taken over since
            self.front.stop_listening()
            self.finish_when_idle()

    def _earliest_kill_at(self) -> float:
        """Return the earliest time at which the platform sends SIGKILL."""
        deadline_s = min(MAX_DEADLINE_S, self.engine.max_deadline_ms / 1000.0)
        return self.started_at + deadline_s + KILL_MARGIN_S

    def _take_last_step(self) -> bool:
        """Take the next of the last steps if it is due; return whether the process has to exit.

        At most one step a call, so that input arriving between two steps is still read and answered.
        """
        left_s = self._earliest_kill_at() - self.clock.now()
        if not self.engine.balancer.shutting_down:
            if left_s <= ANSWER_BEFORE_KILL_S:
                self.engine.shut_down()
            return False
        if not self.front.rejecting:
            if left_s <= REJECT_BEFORE_KILL_S:
                self.front.reject_unfinished()
            return False
        return left_s <= EXIT_BEFORE_KILL_S
