"""The end of a connection behind its last answer: half-close, read on for a moment, then close.

To close over bytes that were not read resets the connection, and what the peer has not read of its answer
may be gone with it (RFC 9112, 9.6). What the peer still sends is not acted on: it can tell by the half-close
that it was not.
"""

from __future__ import annotations

import asyncio

from quartzford.engine import Clock

LINGER_S = 1.0  # behind the last byte written, for what the peer still writes
LINGER_BYTES = 32 * 1024 * 1024  # that are read on the way
CHECK_S = 0.25


class LingeringClose:
    """A connection on which nothing more is written. Times are on the clock handed in, in seconds."""

    def __init__(self, transport: asyncio.Transport, now: float) -> None:
        """Half-close behind what has been written so far."""
        self._transport = transport
        self._since = now
        self._bytes_read = 0
        transport.write_eof()

    def received(self, size: int) -> None:
        """So many bytes were read and dropped; a peer that sends too many is cut off."""
        self._bytes_read += size
        if self._bytes_read > LINGER_BYTES:
            self._transport.abort()

    def expired(self, now: float) -> bool:
        """Whether LINGER_S have passed since all was written; to be called now and then, from the start."""
        if self._transport.get_write_buffer_size():
            self._since = now
        return now - self._since > LINGER_S

    def close_in_time(self, clock: Clock) -> None:
        """Close the connection once it has expired, for an owner that does not check `expired` itself."""
        if self._transport.is_closing():
            return
        if self.expired(clock.now()):
            return self._transport.abort()
        clock.call_later(CHECK_S, self.close_in_time, clock)
