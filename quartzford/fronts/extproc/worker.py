"""A gRPC worker: it serves callers and forwards decision requests to the deciding process.

Usage: python -m quartzford.fronts.extproc.worker SOCKET ADDRESS STREAMS
"""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import Any

import uvloop

from quartzford.engine import LoopClock, StderrLog
from quartzford.fronts.extproc.channel_messages import BOUND_PORT, CONFIGURATION, STOP
from quartzford.fronts.extproc.messages import HeaderNames
from quartzford.fronts.extproc.server import Processor
from quartzford.fronts.extproc.worker_channel import WorkerChannel


def read_header_names(table: dict[str, Any]) -> HeaderNames:
    """Return the header names of a configuration message."""
    return HeaderNames(**{**table, "report_names": tuple(table["report_names"])})


async def serve(path: str, address: str, max_streams: int) -> None:
    """Serve until a STOP message arrives and the open streams have ended.

    If the channel to the deciding process is lost, stop immediately.
    """
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(
            signal_number, signal.SIG_IGN
        )  # only a STOP message ends a worker, not a signal to the group
    messages: asyncio.Queue[list[Any]] = asyncio.Queue()
    disconnected = asyncio.Event()
    clock = LoopClock(loop)
    _, channel = await loop.create_unix_connection(
        lambda: WorkerChannel(messages.put_nowait, disconnected.set, clock.now), path
    )
    initial_message = await messages.get()
    if initial_message[0] == STOP:
        return
    _, table, max_deadline_s = initial_message
    processor = Processor(
        channel, read_header_names(table), max_deadline_s, max_streams, clock, StderrLog(clock.now)
    )
    channel.send(BOUND_PORT, await processor.listen(address))
    disconnect_wait = loop.create_task(disconnected.wait())
    while not disconnect_wait.done():
        next_message = loop.create_task(messages.get())
        await asyncio.wait((next_message, disconnect_wait), return_when=asyncio.FIRST_COMPLETED)
        if not next_message.done():
            next_message.cancel()
            break
        message = next_message.result()
        if message[0] == STOP:
            # Sends GOAWAY: callers open no new streams here, and open streams may finish.
            return await processor.stop(processor.max_stream_s)
        if message[0] == CONFIGURATION:
            processor.configure(read_header_names(message[1]), message[2])
    await processor.stop(0.0)


def main() -> int:
    """Run one worker; the deciding process supplies the arguments."""
    path, address, max_streams = sys.argv[1:]
    uvloop.run(serve(path, address, int(max_streams)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
