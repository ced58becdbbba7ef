"""What the operating system knows of the end of a TCP connection: whether the peer had read all of it.

A server may close a connection between requests. A request that crosses the close was not read, and is sent
again on a new connection. A server that dies ends its connections alike, also those whose request it has read
and passed on: such a request may have had its effect, and must not be sent again unless it is idempotent.

Linux tells the two apart. A socket that is closed while it holds bytes that nobody has read resets its
connection. What arrives after a close in order (FIN) is answered by a reset, and never acknowledged.
"""

from __future__ import annotations

import fcntl
import select
import struct
import termios

END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
C_INT = struct.Struct("i")


def ended_by_peer(descriptor: int) -> bool:
    """Return whether a FIN or a reset has come, also one that the event loop has not seen yet."""
    poll = select.poll()
    poll.register(descriptor, END_EVENTS)
    return bool(poll.poll(0))


def unacknowledged_bytes(descriptor: int) -> int:
    """Return how many bytes were written to a connection and not acknowledged by the peer's system.

    Raises OSError if the descriptor is no TCP socket.
    """
    buffer = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(C_INT.size))
    count: int = C_INT.unpack(buffer)[0]
    return count
