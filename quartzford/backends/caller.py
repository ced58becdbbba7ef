"""The backend of the external processor: callers make the attempts at the chosen servers and report on them.

Nothing here does I/O. docs/extproc.md has a table of the states of an attempt: decided (the decision module
chose a server), claimed (a caller gets the decision), lost (the caller's stream ended without a report) and
over.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple, Protocol

from quartzford import engine
from quartzford.backends import outcomes
from quartzford.decision import interface as io
from quartzford.engine import Clock, Engine, Handle
from quartzford.membership.listing import Listing


class RemoteAttemptState(Enum):
    """The state of an attempt that a caller makes."""

    DECIDED = "decided"  # no caller has the decision: the attempt cannot have run
    CLAIMED = "claimed"  # a caller has the decision: the attempt may run at any time from now on
    LOST = "lost"  # the attempt may have run, and no report will arrive
    OVER = "over"


class CallerEndpoint(NamedTuple):
    """A ready server of the list; address: host:port. started_ms: its start, Unix time by the list."""

    address: str
    started_ms: float


class RemoteCall(Protocol):
    """What this backend needs of a request; deadline: seconds on the engine's clock."""

    deadline: float

    def decided(self, attempt: RemoteAttempt) -> None:
        """Called when the module has chosen a server: a stream that waits for the decision may claim it."""


class CallerBackend:
    """The servers that decisions may name.

    decision_valid_s: seconds for which a decision is valid from the moment it is made, claimed or not.
    """

    def __init__(self, core: Engine, clock: Clock, decision_valid_s: float) -> None:
        self.engine = core
        self.clock = clock
        self.decision_valid_s = decision_valid_s
        self.endpoints: dict[str, CallerEndpoint] = {}

    def listed(self, listing: Listing) -> None:
        """Apply an endpoint list: a complete one, or the entries that have changed."""
        if listing.complete:
            self.endpoints.clear()
        for entry, (host, port) in zip(listing.entries, listing.addresses, strict=True):
            if entry.state == "ready":
                self.endpoints[entry.server] = CallerEndpoint(f"{host}:{port}", entry.started_ms)
            else:
                self.endpoints.pop(entry.server, None)

    def create_attempt(
        self,
        pending: Any,
        number: int,
        server: str,
        chosen_at: float,
        timeout_at: float,
        response_deadline: float,
    ) -> RemoteAttempt:
        """Return a new attempt, not begun yet; times in seconds on the engine's clock. See engine.Backend."""
        return RemoteAttempt(self, pending, number, server, chosen_at, timeout_at)


class RemoteAttempt(engine.Attempt):
    """One attempt that the caller makes. Times are seconds on the engine's clock."""

    __slots__ = ("backend", "endpoint", "state", "timer", "valid_until")
    pending: RemoteCall

    def __init__(
        self,
        backend: CallerBackend,
        pending: RemoteCall,
        number: int,
        server: str,
        chosen_at: float,
        timeout_at: float,
    ) -> None:
        super().__init__(pending, number, server, chosen_at, timeout_at)
        self.backend = backend
        self.endpoint = backend.endpoints.get(server)
        self.state = RemoteAttemptState.DECIDED
        self.timer: Handle | None = None
        # After this time the decision is neither claimed nor written to a caller, and a caller that respects
        # it sends nothing.
        self.valid_until = chosen_at + backend.decision_valid_s

    def start(self) -> None:
        """Offer the decision to a stream that waits for one. If none claims it in time, the attempt ends."""
        self.timer = self.backend.clock.call_later(
            self.timeout_at - self.chosen_at, self.fail, outcomes.NOT_SENT
        )
        self.pending.decided(self)

    def claim(self) -> bool:
        """Claim the decision for a stream; False if it is no longer valid: the module then decides again.

        After True the attempt may run at any time: then only a reported outcome proves that it did not.
        """
        if self.state is not RemoteAttemptState.DECIDED:
            return False
        now = self.backend.clock.now()
        still_listed = self.endpoint is not None and self.backend.endpoints.get(self.server) == self.endpoint
        write_window_s = self.backend.engine.write_window_s(self)
        if not still_listed or now > self.valid_until or write_window_s <= 0.0:
            self.fail(outcomes.NOT_SENT)
            return False
        self.valid_until = min(self.valid_until, now + write_window_s)
        self.state = RemoteAttemptState.CLAIMED
        self.written_at = now
        self.backend.engine.request_counters.attempts += 1
        self._cancel_timer()
        # The caller enforces the attempt's own time-out. Here only the client's deadline ends the attempt,
        # and the request with it: the attempt may still be in flight at the caller, and a second attempt at
        # the same time could make the request take effect twice.
        time_left_s = self.pending.deadline - now
        self.timer = self.backend.clock.call_later(max(0.0, time_left_s), self._deadline_passed)
        return True

    def report_outcome(self, code: str, report: io.Report = (), faulted: bool = False) -> None:
        """End a claimed attempt with the outcome that the caller reports."""
        if self.state is RemoteAttemptState.CLAIMED:
            self._end()
            self.backend.engine.attempt_ended(self, code, None, report, faulted)

    def mark_lost(self) -> None:
        """Note that the caller's stream ended without a report; the caller may still continue the request."""
        if self.state is RemoteAttemptState.CLAIMED:
            self.state = RemoteAttemptState.LOST

    def is_lost(self) -> bool:
        """Return whether the caller's stream ended without a report."""
        return self.state is RemoteAttemptState.LOST

    def undo_claim(self) -> None:
        """Return to the state before the claim: the decision never left this machine."""
        if self.state is RemoteAttemptState.CLAIMED:
            self.state = RemoteAttemptState.DECIDED

    def fail(self, code: str) -> None:
        """End the attempt with this outcome; a claimed attempt is never reported as not sent."""
        if self.state is RemoteAttemptState.OVER:
            return
        if self.state is not RemoteAttemptState.DECIDED and code == outcomes.NOT_SENT:
            code = outcomes.CANCELLED
        self._end()
        self.backend.engine.attempt_ended(self, code)

    def _deadline_passed(self) -> None:
        if self.state is not RemoteAttemptState.OVER:
            self._end()
            self.backend.engine.attempt_ended(self, outcomes.TIMED_OUT, retryable=False)

    def _end(self) -> None:
        self.state = RemoteAttemptState.OVER
        self.ended = True
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
