"""Divides the memory and the file descriptors of a process between buffers and connections."""

from __future__ import annotations

from typing import NamedTuple

from quartzford.settings.configuration import Config

MB = 1024 * 1024
BASE_BYTES = 56 * MB  # interpreter, decision module and socket overhead
SUCCESSOR_BYTES = 28 * MB  # of a process that has started and not taken over yet
PAIRED_BASE_BYTES = 30 * MB  # of each of two paired processes: the interpreter, without headroom
MIN_BUFFERED_BYTES = 8 * MB
MIN_PAIRED_BUFFERED_BYTES = 4 * MB
RESERVED_SHARE = 1 / 16  # of the memory, for what all client connections may hold in any case
MIN_RESERVED_BYTES = 2 * 1024
MAX_RESERVED_BYTES = 32 * 1024
BASE_DESCRIPTORS = 48  # for listeners, list watches, operators' connections and files
MIN_CONNECTIONS = 16
MIN_PAIRED_CONNECTIONS = 8  # client connections, and as many upstream connections
# An open request needs a client and an upstream descriptor, and may hold a third one in this process.
CLIENT_CONNECTION_SHARE = 0.5


class ResourceLimits(NamedTuple):
    """Limits of one process: buffered bytes, client connections and upstream connections.

    memory_bytes: of the whole process. reserved_bytes: of its input, that each client connection may hold
    even while the buffered bytes are used up, so that short requests are served.
    """

    buffered_bytes: int
    client_connections: int
    upstream_connections: int
    memory_bytes: int
    reserved_bytes: int


def full_limits(config: Config) -> ResourceLimits:
    """Return the limits of a process that runs its balancer alone."""
    connections = max(MIN_CONNECTIONS, config.descriptors - BASE_DESCRIPTORS)
    clients = int(CLIENT_CONNECTION_SHARE * connections)
    return ResourceLimits(
        max(MIN_BUFFERED_BYTES, config.memory_bytes - BASE_BYTES),
        clients,
        connections - clients,
        config.memory_bytes,
        reserved_bytes(config.memory_bytes, clients),
    )


def reserved_bytes(memory_bytes: int, client_connections: int) -> int:
    """Return what each of so many connections may hold in any case."""
    share = int(RESERVED_SHARE * memory_bytes / client_connections)
    return max(MIN_RESERVED_BYTES, min(MAX_RESERVED_BYTES, share))


def replaceable_limits(config: Config) -> ResourceLimits:
    """Return the limits of a process that runs its balancer alone until a successor starts beside it."""
    memory_bytes = max(config.memory_bytes // 2, config.memory_bytes - SUCCESSOR_BYTES)
    return full_limits(config)._replace(memory_bytes=memory_bytes)


def paired_limits(config: Config, predecessor_busy_clients: int) -> ResourceLimits:
    """Return the limits of a process that shares the configured limits with its predecessor or successor.

    predecessor_busy_clients: number of client connections with an open request that the predecessor keeps.
    """
    full = full_limits(config)
    clients = max(MIN_PAIRED_CONNECTIONS, full.client_connections - predecessor_busy_clients)
    return ResourceLimits(
        max(MIN_PAIRED_BUFFERED_BYTES, config.memory_bytes // 2 - PAIRED_BASE_BYTES),
        clients,
        max(MIN_PAIRED_CONNECTIONS, full.upstream_connections // 2),
        config.memory_bytes // 2,
        reserved_bytes(config.memory_bytes // 2, clients),
    )
