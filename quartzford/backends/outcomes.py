"""Outcomes of attempts, as the decision module and its traces spell them."""

from __future__ import annotations

from typing import Final

OK: Final = "ok"
REJECTED: Final = "full"  # the upstream answered that it has not processed the request
ERROR: Final = "error"  # an answer other than 200
TIMED_OUT: Final = "timeout"
CONNECT_FAILED: Final = "connect_failed"  # the upstream never had the complete request
RESET: Final = "reset"  # the connection broke, or carried no HTTP, once the request had been written
CANCELLED: Final = "cancelled"
NOT_SENT: Final = "moot"  # nothing was sent, through no fault of the upstream
