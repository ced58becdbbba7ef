"""The listening socket of a relay; accepted connections inherit its options."""

from __future__ import annotations

import socket

SEND_BUFFER_BYTES = 256 * 1024  # kernel's send buffer of a connection
UNACKNOWLEDGED_TIMEOUT_MS = 20_000  # a connection without acknowledgements for this time is closed
LISTEN_BACKLOG = 4096


def open_listening_socket(host: str, port: int) -> socket.socket:
    """Return a socket that listens on an address; the kernel replaces port 0. Raise OSError if that fails."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        # Accepted connections inherit these options.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
