"""The listening socket of a relay, with the options of the connections that it accepts."""

from __future__ import annotations

import socket

SEND_BUFFER_BYTES = 256 * 1024  # what the kernel keeps of a connection
UNACKNOWLEDGED_TIMEOUT_MS = 20_000  # a peer that acknowledges nothing for so long is gone
BACKLOG = 4096


def open_listening_socket(host: str, port: int) -> socket.socket:
    """A listening socket at an address; port 0 is the kernel's choice. OSError where it can't be had."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        # Accepted connections inherit these options.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
