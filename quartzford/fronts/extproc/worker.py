"""A gRPC worker, which decides nothing: python -m quartzford.fronts.extproc.worker SOCKET ADDRESS STREAMS."""

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
    """Header names as they came over the channel."""
    return HeaderNames(**{**table, "report_names": tuple(table["report_names"])})


async def serve(path: str, address: str, max_streams: int) -> None:
    """Serve until told to stop, then until open streams have ended; stop at once if the channel is lost."""
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(
            signal_number, signal.SIG_IGN
        )  # the deciding process says when; a group's signal must not
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
            # GOAWAY: callers open nothing new here, and what is open may finish.
            return await processor.stop(processor.max_stream_s)
        if message[0] == CONFIGURATION:
            processor.configure(read_header_names(message[1]), message[2])
    await processor.stop(0.0)


def main() -> int:
    """Run one worker; its arguments come from the deciding process."""
    path, address, max_streams = sys.argv[1:]
    uvloop.run(serve(path, address, int(max_streams)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
