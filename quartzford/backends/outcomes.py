"""Outcomes of attempts, as the decision module and its traces spell them."""

from __future__ import annotations

from typing import Final

OK: Final = "ok"
REJECTED: Final = "full"  # the upstream answered that it did not process the request
ERROR: Final = "error"  # any other answer whose status is not 200
TIMED_OUT: Final = "timeout"
CONNECT_FAILED: Final = "connect_failed"  # the upstream never received the complete request
RESET: Final = "reset"  # the connection broke, or carried invalid HTTP, after the request was written
CANCELLED: Final = "cancelled"
NOT_SENT: Final = "moot"  # nothing was sent, for a reason that is not the upstream's fault
