"""Frees memory by ending client connections, where the process is close to its limit."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from quartzford.fronts.client_connection import Client
from quartzford.fronts.responses import UNAVAILABLE

LONG_REQUEST_SHARE = 0.5  # of what a connection may hold in any case
READ_STALL_S = 1.0  # for which a client has read nothing of its response


def end_stalled_readers(clients: Iterable[Client], size: int, now: float) -> int:
    """Close connections whose clients read nothing, until as many bytes are free; return how many are.

    now: in seconds, on the engine's clock.
    """
    stalled = [
        client for client in clients if client.write_blocked and now - client.last_progress > READ_STALL_S
    ]
    return _end_until(stalled, size, _unread_bytes, _close_unread)


def reject_partial_requests(clients: Iterable[Client], size: int, now: float) -> int:
    """Reject partly received long requests, until as many bytes are free; return how many are.

    Short ones may be complete, and wait in the input queue for their turn.
    """
    partial = [client for client in clients if client.has_partial_request() and _is_long(client)]
    return _end_until(partial, size, _input_bytes, _reject)


def _end_until(
    clients: list[Client], size: int, bytes_of: Callable[[Client], int], end: Callable[[Client], None]
) -> int:
    freed = 0
    for client in sorted(clients, key=bytes_of, reverse=True):
        held = bytes_of(client)
        if freed >= size or not held:
            break
        end(client)
        freed += held
    return freed


def _is_long(client: Client) -> bool:
    return client.input_bytes > LONG_REQUEST_SHARE * client.front.reserved_bytes


def _unread_bytes(client: Client) -> int:
    return client.transport.get_write_buffer_size()


def _input_bytes(client: Client) -> int:
    return client.input_bytes


def _close_unread(client: Client) -> None:
    client.front.ends["closed for memory"] += 1
    client.transport.abort()


def _reject(client: Client) -> None:
    client.front.ends["rejected for memory"] += 1
    client.reject(UNAVAILABLE)
