"""Limits on streamed responses that go on after their requests' deadlines; does no I/O.

Of a long response only the first bytes have to come before the deadline. It may go on as long as it is not
longer than a response can be and keeps a minimum pace, so that one that never ends is broken off. All that go
on together are limited by the memory and the connections that they hold.
"""

from __future__ import annotations

from typing import NamedTuple

LONG_RESPONSE_BYTES = 64 * 1024  # a shorter response has to be complete before the deadline
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
OVERTIME_S = 0.4  # after the deadline, for the last bytes of a short response
PACE_GRACE_S = 10.0  # for pauses, beyond the time that the minimum pace allows
MIN_PACE_BYTES_PER_S = 32 * 1024
STREAM_BUFFER_BYTES = 272 * 1024  # held by a response whose client is slow: one read, and the write buffer
MAX_OVERDUE_SHARE = 0.5  # of the memory for buffers, and of the upstream connections


class StreamProgress(NamedTuple):
    """How far a streamed response has come.

    stated_bytes: its length, None if it is not stated. received_bytes: of its body so far. overdue_s: seconds
    since the request's deadline.
    """

    stated_bytes: int | None
    received_bytes: int
    overdue_s: float


def may_continue(progress: StreamProgress) -> bool:
    """Return whether an overdue response may go on: it is long, not too long, and not too slow."""
    size = max(progress.stated_bytes or 0, progress.received_bytes)
    if not LONG_RESPONSE_BYTES < size <= MAX_RESPONSE_BYTES:
        return False
    return progress.overdue_s <= PACE_GRACE_S + progress.received_bytes / MIN_PACE_BYTES_PER_S


def max_overdue_streams(buffered_bytes: int, upstream_connections: int) -> int:
    """Return how many overdue responses may go on at the same time.

    buffered_bytes: limit on the buffered bytes of the process. upstream_connections: limit on their number.
    """
    by_memory = int(MAX_OVERDUE_SHARE * buffered_bytes / STREAM_BUFFER_BYTES)
    return min(by_memory, int(MAX_OVERDUE_SHARE * upstream_connections))
