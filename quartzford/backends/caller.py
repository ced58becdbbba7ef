"""The caller itself as the backend: it makes the attempt where the module says, and reports on it.

Nothing here does I/O. The states of an attempt are in the table of docs/extproc.md: decided (the module
chose), claimed (a caller gets the decision), lost (the caller's stream ended with nothing reported), over.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple, Protocol

from quartzford import engine
from quartzford.backends import outcomes
from quartzford.decision import interface as io
from quartzford.engine import Clock, Engine, Handle
from quartzford.membership.listing import Listing


class State(Enum):
    """Where a remote attempt stands."""

    DECIDED = "decided"  # no caller has the decision: it surely has not run
    CLAIMED = "claimed"  # it may run at any moment from here on
    LOST = "lost"  # it may have run, and no report will come
    OVER = "over"


class Host(NamedTuple):
    """A server that may be named to callers."""

    address: str
    started_ms: float


class RemoteCall(Protocol):
    """What this backend needs of a call."""

    deadline: float

    def decided(self, attempt: RemoteAttempt) -> None:
        """The module has chosen; a stream that waits for the decision may claim it now."""


class CallerBackend:
    """The servers that callers may be sent to.

    decision_valid_s: for how long a decision stands, claimed or not.
    """

    def __init__(self, core: Engine, clock: Clock, decision_valid_s: float) -> None:
        self.engine = core
        self.clock = clock
        self.decision_valid_s = decision_valid_s
        self.endpoints: dict[str, Host] = {}

    def listed(self, listing: Listing) -> None:
        """Follow the endpoint list: a complete one, or the entries that have changed."""
        if listing.complete:
            self.endpoints.clear()
        for entry, (host, port) in zip(listing.entries, listing.addresses, strict=True):
            if entry.state == "ready":
                self.endpoints[entry.server] = Host(f"{host}:{port}", entry.started_ms)
            else:
                self.endpoints.pop(entry.server, None)

    def attempt(
        self, pending: Any, number: int, server: str, chosen_at: float, timeout_at: float, finish: float
    ) -> RemoteAttempt:
        """An attempt, not begun; times on the engine's clock, seconds. See engine.Backend."""
        return RemoteAttempt(self, pending, number, server, chosen_at, timeout_at)


class RemoteAttempt(engine.Attempt):
    """One attempt that the caller makes."""

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
        self.state = State.DECIDED
        self.timer: Handle | None = None
        # After this the decision is not claimed, not written, and not sent by a caller that observes it.
        self.valid_until = chosen_at + backend.decision_valid_s

    def start(self) -> None:
        """Offer the decision to a stream that waits for it; it is dropped if it is not claimed in time."""
        self.timer = self.backend.clock.call_later(
            self.timeout_at - self.chosen_at, self.fail, outcomes.NOT_SENT
        )
        self.pending.decided(self)

    def claim(self) -> bool:
        """A stream of the caller takes the decision; False where it has expired: the module decides again.

        After True the attempt may run at any time: from here only an outcome proves that it did not.
        """
        if self.state is not State.DECIDED:
            return False
        now = self.backend.clock.now()
        same = self.endpoint is not None and self.backend.endpoints.get(self.server) == self.endpoint
        writable_s = self.backend.engine.may_write_for(self)
        if not same or now > self.valid_until or writable_s <= 0.0:
            self.fail(outcomes.NOT_SENT)
            return False
        self.valid_until = min(self.valid_until, now + writable_s)
        self.state = State.CLAIMED
        self.written_at = now
        self.backend.engine.request_counters.attempts += 1
        self._stop()
        # The caller holds the attempt's own time-out. Here only the client's time ends it, for good: it may
        # still be out at the caller, and a second one beside it would break rule two.
        left = self.pending.deadline - now
        self.timer = self.backend.clock.call_later(max(0.0, left), self._overdue)
        return True

    def report_outcome(self, code: str, report: io.Report = (), faulted: bool = False) -> None:
        """The caller says how it ended."""
        if self.state is State.CLAIMED:
            self._end()
            self.backend.engine.ended(self, code, None, report, faulted)

    def mark_lost(self) -> None:
        """The caller's stream ended with nothing reported; whether the request goes on is not known yet."""
        if self.state is State.CLAIMED:
            self.state = State.LOST

    def is_lost(self) -> bool:
        """The caller's stream has ended with nothing reported."""
        return self.state is State.LOST

    def undo_claim(self) -> None:
        """The decision never left this machine: the attempt is as if it had not been claimed."""
        if self.state is State.CLAIMED:
            self.state = State.DECIDED

    def fail(self, code: str) -> None:
        """End it with this outcome; one that was claimed is never reported as not sent."""
        if self.state is State.OVER:
            return
        if self.state is not State.DECIDED and code == outcomes.NOT_SENT:
            code = outcomes.CANCELLED
        self._end()
        self.backend.engine.ended(self, code)

    def _overdue(self) -> None:
        if self.state is not State.OVER:
            self._end()
            self.backend.engine.ended(self, outcomes.TIMED_OUT, retryable=False)

    def _end(self) -> None:
        self.state = State.OVER
        self.over = True
        self._stop()

    def _stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
