"""Opens client connections within a time limit, without blaming the server for delays of this process."""

from __future__ import annotations

import asyncio

# Long enough for the event loop to poll once more and to run what the poll has made ready.
POLL_S = 0.002


async def connect_within(
    loop: asyncio.AbstractEventLoop, protocol: asyncio.Protocol, host: str, port: int, limit_s: float
) -> None:
    """Connect the protocol to a server; limit_s: seconds from now.

    If this process was delayed until the limit, the connection may have been up for long without the event
    loop having seen it, so the loop polls once more before the server is blamed. The caller may thus get a
    connection late.

    Raises OSError if the server can't be reached, and TimeoutError if it is not reached in time.
    """
    opening = asyncio.ensure_future(loop.create_connection(lambda: protocol, host, port))
    try:
        await asyncio.wait((opening,), timeout=limit_s)
        if not opening.done():
            await asyncio.wait((opening,), timeout=POLL_S)
        if not opening.done():
            raise TimeoutError
        opening.result()
    finally:
        opening.cancel()
