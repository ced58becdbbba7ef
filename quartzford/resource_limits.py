"""How the memory and the descriptors of a process are divided between its parts."""

from __future__ import annotations

from typing import NamedTuple

from quartzford.settings.configuration import Config

MB = 1024 * 1024
BASE_BYTES = 56 * MB  # the interpreter, the module and what sockets cost
PAIRED_BASE_BYTES = 30 * MB  # of each process while there are two: the interpreter without headroom
MIN_BUFFERED_BYTES = 8 * MB
MIN_PAIRED_BUFFERED_BYTES = 4 * MB
BASE_DESCRIPTORS = 48  # the process's own: listeners, watches, operators' calls, files
MIN_CONNECTIONS = 16
MIN_PAIRED_CONNECTIONS = 8  # on each side
CLIENT_SHARE = 0.5  # a request open at a client needs a descriptor upstream too, and may hold a third here


class ResourceLimits(NamedTuple):
    """The bounds of one process: bytes in buffers, and connections on each side."""

    buffered_bytes: int
    client_connections: int
    upstream_connections: int


def full_limits(config: Config) -> ResourceLimits:
    """The bounds of a process that is the only one of its balancer."""
    connections = max(MIN_CONNECTIONS, config.descriptors - BASE_DESCRIPTORS)
    clients = int(CLIENT_SHARE * connections)
    return ResourceLimits(
        max(MIN_BUFFERED_BYTES, config.memory_bytes - BASE_BYTES),
        clients,
        connections - clients,
    )


def paired_limits(config: Config, predecessor_busy_clients: int) -> ResourceLimits:
    """The bounds of a process while it shares the configuration's with its predecessor or successor.

    predecessor_busy_clients: client connections with a request open that stay with the predecessor.
    """
    full = full_limits(config)
    return ResourceLimits(
        max(MIN_PAIRED_BUFFERED_BYTES, config.memory_bytes // 2 - PAIRED_BASE_BYTES),
        max(MIN_PAIRED_CONNECTIONS, full.client_connections - predecessor_busy_clients),
        max(MIN_PAIRED_CONNECTIONS, full.upstream_connections // 2),
    )
