"""What the system knows of the end of a TCP connection: whether the server had taken what was sent to it.

A server may close a connection between requests. A request that crosses the close was not read, and goes once
more on a new connection. A server that dies ends its connections alike, also those whose request it has read
and passed on: what was sent on these may have had its effect, and must not go again unless it is safe to.

Linux tells the two apart. A socket that is closed over bytes that nobody has read resets its connection. What
crosses a close in order (FIN) is answered by a reset, and never acknowledged.
"""

from __future__ import annotations

import fcntl
import select
import struct
import termios

ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
C_INT = struct.Struct("i")


def ended_by_peer(descriptor: int) -> bool:
    """Whether a FIN or a reset has come, also one that the event loop has not seen yet."""
    poll = select.poll()
    poll.register(descriptor, ENDED)
    return bool(poll.poll(0))


def unacknowledged_bytes(descriptor: int) -> int:
    """Bytes that were written to a connection and that the peer's system has not acknowledged.

    OSError where the descriptor is no TCP socket.
    """
    answer = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(C_INT.size))
    count: int = C_INT.unpack(answer)[0]
    return count
