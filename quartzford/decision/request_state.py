"""A request between its arrival and its final answer, as far as decisions need it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from quartzford.decision import interface as io


@dataclass(slots=True, eq=False)
class RequestState:
    """A request that has no final answer yet. Times in ms on the caller's clock."""

    request: io.Request
    kind: io.ServiceClass
    deadline: float  # no answer is of any use after this
    sends: int = 0  # attempts that were sent
    in_flight: int = 0  # attempts that have not ended
    tried: list[str] = field(default_factory=list)  # servers, by name
    possibly_ran_on: io.Endpoint | None = None  # the first server on which it may have run
    possibly_ran_attempt: int = -1
    possibly_ran_ms: float = 0.0

    @property
    def number(self) -> int:
        """The request's number."""
        return self.request.request

    def sent_to(self, endpoint: io.Endpoint, now: float) -> None:
        """An attempt is sent now."""
        if self.possibly_ran_on is None:
            self.possibly_ran_on = endpoint
            self.possibly_ran_attempt = self.sends
            self.possibly_ran_ms = now
        self.tried.append(endpoint.server)
        self.sends += 1
        self.in_flight += 1

    def never_ran(self, attempt: int) -> None:
        """This attempt is proven never to have run."""
        if attempt == self.possibly_ran_attempt:
            self.possibly_ran_on = None

    def retry_window_ms(self, now: float, settings: io.Settings) -> float:
        """For how long it may be sent from now on, so that it takes effect once.

        What may have run is sent again only if it is idempotent by itself, or has an idempotency key and is
        within the window of its class.
        """
        if self.possibly_ran_on is None or self.kind.effect == "free":
            return math.inf
        if self.kind.effect != "keyed":
            return 0.0
        window = self.kind.window_ms - settings.tick_ms - settings.stall_ms
        return max(0.0, window - (now - self.possibly_ran_ms))

    @property
    def harmless_to_repeat(self) -> bool:
        """Whether its client may send it again without a second effect."""
        if self.possibly_ran_on is None or self.kind.effect == "free":
            return True
        return self.kind.effect == "keyed" and self.kind.group == "all"
