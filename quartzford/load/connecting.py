"""Opens client connections within a time limit. Delays of this process don't count as the server's."""

from __future__ import annotations

import asyncio

# Enough time for the event loop to poll once more and to run the callbacks that have become ready.
FINAL_POLL_S = 0.002


async def connect_within(
    loop: asyncio.AbstractEventLoop, protocol: asyncio.Protocol, host: str, port: int, limit_s: float
) -> None:
    """Connect the protocol to a server. limit_s: the time limit, in seconds from now.

    If this process was delayed past the limit, the connection may already be established without the event
    loop having processed that event. The loop therefore polls once more before this function reports a
    timeout, so a connection may be returned shortly after the limit.

    Raises OSError if the connection fails, and TimeoutError if it is not established in time.
    """
    connect_task = asyncio.ensure_future(loop.create_connection(lambda: protocol, host, port))
    try:
        await asyncio.wait((connect_task,), timeout=limit_s)
        if not connect_task.done():
            await asyncio.wait((connect_task,), timeout=FINAL_POLL_S)
        if not connect_task.done():
            raise TimeoutError
        connect_task.result()
    finally:
        connect_task.cancel()
