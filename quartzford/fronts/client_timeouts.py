"""Time limits for client connections: idle, sending a request, reading a response."""

from __future__ import annotations

import math
from collections.abc import Iterable

from quartzford.engine import BufferBudget
from quartzford.engine.read_buffer import READ_BYTES
from quartzford.fronts.client_connection import Client
from quartzford.fronts.responses import REQUEST_TIMEOUT, UNAVAILABLE

IDLE_TIMEOUT_S = 2.25  # then an idle client, even one that has never sent, is closed to free its descriptor
HEAD_TIMEOUT_S = 2.0  # for a complete head; a client that stops within a request gets its error within 3 s
BODY_STALL_S = 2.0  # between received bytes of a body
REQUEST_TIMEOUT_S = 5.0  # for a complete request, beyond the time that the minimum pace allows its body
MIN_BODY_PACE_BYTES_PER_S = 32 * 1024  # half of the pace that a client may have
WRITE_STALL_S = 20.0  # while a client reads no byte of its response
MAX_MEMORY_WAIT_S = 1.0  # while reading a request is paused for lack of memory
SYSTEM_BUFFER_BYTES = 4 * 1024 * 1024  # of a request that may lie with the system, sent and not read
MEMORY_WAIT_SHARE = 0.5  # of the time that a request states; the rest is for another try


def check_timeouts(client: Client, budget: BufferBudget, now: float) -> None:
    """Close or reject a connection that has exceeded a limit. now: in seconds, on the engine's clock."""
    unsent_bytes = client.transport.get_write_buffer_size()
    if client.lingering is not None and client.lingering.expired(now):
        client.front.ends["closed after lingering"] += 1
        client.transport.abort()
    elif unsent_bytes and (client.closing or client.write_blocked):
        _check_response(client, unsent_bytes, now)
    elif client.closing:
        return
    elif client.exchange is None and client.in_message:
        _check_request(client, budget, now)
    elif now - client.last_progress > IDLE_TIMEOUT_S:
        client.close_if_idle()


def end_memory_pauses(clients: Iterable[Client], budget: BufferBudget, now: float) -> None:
    """Resume clients that wait for memory, those first that wait longest, as long as there is some.

    Partly received requests are rejected once they have waited for a share of their time, as the rest of them
    may have arrived, and where there is no memory for MAX_MEMORY_WAIT_S. now: seconds on the engine's clock.
    """
    promised_bytes = 0
    for client in sorted((client for client in clients if client.paused_at), key=_paused_at):
        waited_s = client.waited_for_memory_s(now) if client.has_partial_request() else 0.0
        if waited_s > MEMORY_WAIT_SHARE * _time_left_s(client):
            client.reject(UNAVAILABLE)
        elif budget.room() > promised_bytes:
            client.end_memory_pause()
            promised_bytes += READ_BYTES
        elif waited_s > MAX_MEMORY_WAIT_S:
            client.reject(UNAVAILABLE)


def _paused_at(client: Client) -> float:
    return client.paused_at


def _time_left_s(client: Client) -> float:
    """Return the time that a partly received request states; infinity if it can't be complete yet."""
    reader = client.reader
    if reader.in_head or SYSTEM_BUFFER_BYTES < reader.missing_body_bytes() < math.inf:
        return math.inf
    return reader.time_left_ms / 1000.0


def _check_response(client: Client, unsent_bytes: int, now: float) -> None:
    if unsent_bytes != client.unsent_bytes:
        client.unsent_bytes = unsent_bytes
        client.last_progress = now
    elif now - client.last_progress > WRITE_STALL_S:
        client.front.ends["closed as nothing was read"] += 1
        client.transport.abort()


def _check_request(client: Client, budget: BufferBudget, now: float) -> None:
    if not client.waits_for_turn and _is_too_slow(client, now):
        client.reject(REQUEST_TIMEOUT)
    elif _waits_too_long_for_memory(client, budget, now):
        client.reject(UNAVAILABLE)


def _is_too_slow(client: Client, now: float) -> bool:
    """Return whether a partly received request has stopped, or arrives below the minimum pace."""
    age_s = now - client.message_started
    if client.reader.in_head:
        return age_s > HEAD_TIMEOUT_S
    if now - client.last_progress > BODY_STALL_S:
        return True
    return age_s > REQUEST_TIMEOUT_S + client.reader.body.size / MIN_BODY_PACE_BYTES_PER_S


def _waits_too_long_for_memory(client: Client, budget: BufferBudget, now: float) -> bool:
    """Return whether a partly received request has to release its memory, because there is no more of it."""
    return budget.is_exhausted() and now - client.message_started > REQUEST_TIMEOUT_S
