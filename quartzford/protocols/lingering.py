"""Lingering close of a connection after its last response: half-close, read for a short time, then close.

Closing a connection with unread bytes resets it, and the peer may then lose the part of the response that it
has not read yet (RFC 9112, section 9.6). Requests that the peer still sends are not processed, and the
half-close informs the peer of this.
"""

from __future__ import annotations

import asyncio

from quartzford.engine import Clock

LINGER_S = 1.0  # how long to read after the last byte was written
MAX_LINGER_BYTES = 32 * 1024 * 1024  # maximum number of bytes read in that time
EXPIRY_CHECK_INTERVAL_S = 0.25


class LingeringClose:
    """A connection whose response is complete. Times are clock readings of the caller, in seconds."""

    def __init__(self, transport: asyncio.Transport, now: float) -> None:
        """Half-close the connection after the bytes written so far."""
        self._transport = transport
        self._since = now
        self._bytes_read = 0
        transport.write_eof()

    def received(self, size: int) -> None:
        """Count bytes that were read and dropped; abort the connection if they exceed MAX_LINGER_BYTES."""
        self._bytes_read += size
        if self._bytes_read > MAX_LINGER_BYTES:
            self._transport.abort()

    def expired(self, now: float) -> bool:
        """Return whether LINGER_S have passed since all bytes were written.

        The owner must call this regularly from the start, because each call with unwritten bytes restarts the
        time.
        """
        if self._transport.get_write_buffer_size():
            self._since = now
        return now - self._since > LINGER_S

    def close_in_time(self, clock: Clock) -> None:
        """Close the connection when it has expired, for an owner that does not call `expired` itself."""
        if self._transport.is_closing():
            return
        if self.expired(clock.now()):
            return self._transport.abort()
        clock.call_later(EXPIRY_CHECK_INTERVAL_S, self.close_in_time, clock)
