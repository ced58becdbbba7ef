"""The state of a TCP connection in the kernel: whether the peer closed it, and what the peer acknowledged.

A server may close a connection between two requests. If the client sends a request at the same moment, the
server has not read it, and the client sends it again on a new connection. The connections of a server that
crashes are closed too, including those whose request the server has read and forwarded. Such a request may
have had its effect and must not be sent again unless it is idempotent.

On Linux, the two cases differ. A socket that is closed with unread bytes in its receive buffer resets the
connection. Data that arrives after an orderly close (FIN) is answered by a reset and never acknowledged.
"""

from __future__ import annotations

import fcntl
import select
import struct
import termios

PEER_CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
C_INT = struct.Struct("i")


def ended_by_peer(descriptor: int) -> bool:
    """Return True if a FIN or a reset was received, even if the event loop has not processed it yet."""
    poll = select.poll()
    poll.register(descriptor, PEER_CLOSE_EVENTS)
    return bool(poll.poll(0))


def unacknowledged_bytes(descriptor: int) -> int:
    """Return the number of bytes that were written and that the peer's kernel has not acknowledged.

    Raises OSError if the descriptor is not a TCP socket.
    """
    buffer = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(C_INT.size))
    count: int = C_INT.unpack(buffer)[0]
    return count
