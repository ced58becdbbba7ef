"""The state of a pending request: its deadline, its attempts and whether it may have run."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from quartzford.decision import interface as io


@dataclass(slots=True, eq=False)
class RequestState:
    """A request that has no final answer yet. Times are in ms on the caller's clock."""

    request: io.Request
    service_class: io.ServiceClass
    deadline: float  # an answer after this is useless
    sends: int = 0  # number of attempts sent
    in_flight: int = 0  # number of attempts that have not ended
    tried: list[str] = field(default_factory=list)  # names of the servers that it was sent to, in order
    possibly_ran_on: io.Endpoint | None = None  # the first server on which it may have run
    possibly_ran_attempt: int = -1  # index of the attempt at possibly_ran_on
    possibly_ran_ms: float = 0.0  # when that attempt was sent

    @property
    def number(self) -> int:
        """Return the caller's number of the request."""
        return self.request.request

    def record_send(self, endpoint: io.Endpoint, now: float) -> None:
        """Record that an attempt is sent to the endpoint now."""
        if self.possibly_ran_on is None:
            self.possibly_ran_on = endpoint
            self.possibly_ran_attempt = self.sends
            self.possibly_ran_ms = now
        self.tried.append(endpoint.server)
        self.sends += 1
        self.in_flight += 1

    def mark_never_ran(self, attempt: int) -> None:
        """Record that this attempt was certainly not run by its server."""
        if attempt == self.possibly_ran_attempt:
            self.possibly_ran_on = None

    def retry_window_ms(self, now: float, settings: io.Settings) -> float:
        """Return for how many ms the request may still be sent without a second effect.

        A request that may have run is sent again only if its class is idempotent, or if it has an idempotency
        key and the window of its class has not ended.
        """
        if self.possibly_ran_on is None or self.service_class.effect == "free":
            return math.inf
        if self.service_class.effect != "keyed":
            return 0.0
        window = self.service_class.window_ms - settings.tick_ms - settings.stall_ms
        return max(0.0, window - (now - self.possibly_ran_ms))

    @property
    def safe_to_repeat(self) -> bool:
        """Return whether its client may send the request again without a second effect."""
        if self.possibly_ran_on is None or self.service_class.effect == "free":
            return True
        return self.service_class.effect == "keyed" and self.service_class.group == "all"
