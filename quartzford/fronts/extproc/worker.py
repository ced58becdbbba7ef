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


def names_of(table: dict[str, Any]) -> HeaderNames:
    """Header names as they came over the channel."""
    return HeaderNames(**{**table, "report_names": tuple(table["report_names"])})


async def work(path: str, address: str, most_streams: int) -> None:
    """Serve until told to stop, then until open streams have ended; stop at once if the channel is lost."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)  # the deciding process says when; a group's signal must not
    messages: asyncio.Queue[list[Any]] = asyncio.Queue()
    disconnected = asyncio.Event()
    clock = LoopClock(loop)
    _, channel = await loop.create_unix_connection(
        lambda: WorkerChannel(messages.put_nowait, disconnected.set, clock.now), path
    )
    greeting = await messages.get()
    if greeting[0] == STOP:
        return
    _, table, longest_s = greeting
    processor = Processor(channel, names_of(table), longest_s, most_streams, clock, StderrLog(clock.now))
    channel.send(BOUND_PORT, await processor.listen(address))
    ending = loop.create_task(disconnected.wait())
    while not ending.done():
        following = loop.create_task(messages.get())
        await asyncio.wait((following, ending), return_when=asyncio.FIRST_COMPLETED)
        if not following.done():
            following.cancel()
            break
        message = following.result()
        if message[0] == STOP:
            # GOAWAY: callers open nothing new here, and what is open may finish.
            return await processor.stop(processor.stream_s)
        if message[0] == CONFIGURATION:
            processor.configure(names_of(message[1]), message[2])
    await processor.stop(0.0)


def main() -> int:
    """Run one worker; its arguments come from the deciding process."""
    path, address, most_streams = sys.argv[1:]
    uvloop.run(work(path, address, int(most_streams)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
