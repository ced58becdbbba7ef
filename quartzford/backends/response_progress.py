"""How a response arrives, and how long the rest of it is waited for; does no I/O."""

from __future__ import annotations

import math

PROBABLY_LONG_BYTES = 16 * 1024  # a response of no stated length that pauses after as much is streamed
MAX_BODY_PAUSE_S = 0.15  # between two pieces of the body, while the request can still be retried
MAX_HOLD_S = (
    1.0  # from the head of a response that may be long until it is streamed: its client must not wait
)


class ResponseProgress:
    """The progress of one attempt's response. Times are seconds on the engine's clock.

    body_bytes: received of its body. last_at: when bytes of it last arrived, or the client last read on.
    active_s: seconds in which its bytes arrived, without its pauses.
    """

    __slots__ = ("body_bytes", "last_at", "active_s", "_head_at")

    def __init__(self, now: float) -> None:
        """now: when the attempt began."""
        self.body_bytes = 0
        self.last_at = now
        self.active_s = 0.0
        self._head_at = math.nan  # of a response that may be long

    def note_bytes(self, now: float) -> None:
        """Note that bytes of the response have arrived."""
        if now - self.last_at < MAX_BODY_PAUSE_S:
            self.active_s += now - self.last_at
        self.last_at = now

    def may_pause_until(self, may_be_long: bool) -> float:
        """Return until when the rest is waited for before the response is given up, or streamed.

        may_be_long: it is successful, and its length is not stated.
        """
        if may_be_long and self.body_bytes < PROBABLY_LONG_BYTES:
            if math.isnan(self._head_at):
                self._head_at = self.last_at
            return self._head_at + MAX_HOLD_S
        return self.last_at + MAX_BODY_PAUSE_S
