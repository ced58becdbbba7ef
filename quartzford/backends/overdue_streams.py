"""Limits on streamed responses that go on after their requests' deadlines; does no I/O.

Of a long response only the first bytes have to come before the deadline. It may go on as long as it is not
longer than a response can be and keeps a minimum pace, so that one that never ends is broken off. All that go
on together are limited by the connections that they hold and, where memory is short, by what they hold of it.
"""

from __future__ import annotations

from typing import NamedTuple

LONG_RESPONSE_BYTES = 64 * 1024  # a shorter response has to be complete before the deadline
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
OVERTIME_S = 0.4  # after the deadline, for the last bytes of a short response
PACE_GRACE_S = 10.0  # for pauses, beyond the time that the minimum pace allows
MIN_PACE_BYTES_PER_S = 32 * 1024
TRICKLE_GRACE_S = 0.5  # of arriving bytes, before their pace counts
# Of the upstream connections, for all overdue responses; clients use a third of all descriptors at most.
MAX_CONNECTION_SHARE = 0.875
MAX_MEMORY_SHARE = 0.125  # of the memory for buffers, for all overdue responses, while it is exhausted


class StreamProgress(NamedTuple):
    """How far a streamed response has come.

    stated_bytes: its length, None if it is not stated. received_bytes: of its body so far. overdue_s: seconds
    since the request's deadline. active_s: seconds in which its bytes arrived, without its pauses.
    """

    stated_bytes: int | None
    received_bytes: int
    overdue_s: float
    active_s: float


def may_continue(progress: StreamProgress) -> bool:
    """Return whether an overdue response may go on: it may be long, is not too long, and not too slow."""
    size = max(progress.stated_bytes or 0, progress.received_bytes)
    if size > MAX_RESPONSE_BYTES:
        return False
    if size <= LONG_RESPONSE_BYTES and (progress.stated_bytes is not None or _trickles(progress)):
        return False
    return progress.overdue_s <= PACE_GRACE_S + progress.received_bytes / MIN_PACE_BYTES_PER_S


def _trickles(progress: StreamProgress) -> bool:
    """Return whether a response arrives below the minimum pace all the time, so that it may never be long."""
    return progress.received_bytes < MIN_PACE_BYTES_PER_S * (progress.active_s - TRICKLE_GRACE_S)


class OverdueStream(NamedTuple):
    """A response that goes on after its deadline.

    overtime_s: for how many seconds. held_bytes: of it, in buffers of this process, as its client is slow.
    """

    overtime_s: float
    held_bytes: int

    def precedence(self) -> tuple[bool, float]:
        """Return what orders overdue responses; the highest is broken off first."""
        return self.held_bytes > 0, self.overtime_s


def excess_streams(
    streams: list[OverdueStream], connection_limit: int, memory_limit: int, memory_exhausted: bool
) -> list[int]:
    """Return the indices of the overdue responses to break off.

    Those come first that wait for their clients, as their upstreams have written more than was read of them;
    of each kind the one that is overdue for longest.

    connection_limit: on upstream connections. memory_limit: on all buffered bytes of the process.
    memory_exhausted: whether that is reached.
    """
    ordered = sorted(range(len(streams)), key=lambda index: streams[index].precedence(), reverse=True)
    excess_count = max(0, len(streams) - int(MAX_CONNECTION_SHARE * connection_limit))
    excess, others = ordered[:excess_count], ordered[excess_count:]
    if not memory_exhausted:
        return excess
    excess_bytes = sum(streams[index].held_bytes for index in others) - MAX_MEMORY_SHARE * memory_limit
    for index in others:
        if excess_bytes > 0 and streams[index].held_bytes:
            excess.append(index)
            excess_bytes -= streams[index].held_bytes
    return excess
