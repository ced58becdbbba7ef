"""The list of upstreams: a watch on discovery that is made again whenever it ends or falls silent.

When that is, and how long an answer may take, is for calls.py to say.
"""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from collections.abc import Callable
from typing import Any, cast

import httptools

from quartzford.engine import Clock, Handle, Log
from quartzford.membership.calls import KEPT_S, LINE_S, Calls, End, retry_after
from quartzford.membership.listing import LONG_BYTES, Listing, Sink, read_listing

READ_S = 4.25  # reading a long text beside the loop may take so long
LINE_BYTES = 4 * 1024 * 1024


BEGINS = re.compile(rb'\s*\{\s*(?:"|\Z)')  # an object that may yet become whole
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


def opened(line: bytes) -> int:
    """Objects that this line opens and leaves open; below 0: that it closes of lines before."""
    if line.count(b"{") == line.count(b"}"):
        return 0
    bare = STRING.sub(b"", line)  # names may hold braces
    return bare.count(b"{") - bare.count(b"}")


class Watch:
    """Keeps one watch open, and knows which version of the list this balancer has."""

    def __init__(
        self, sink: Sink, address: Callable[[], tuple[str, int]], calls: Calls, clock: Clock, log: Log,
        loop: asyncio.AbstractEventLoop,
    ) -> None:  # fmt: skip
        self.sink, self.address, self.clock, self.log, self.loop = sink, address, clock, log, loop
        self.calls = calls
        self.version: int | None = None
        self.heard = False  # discovery has answered since the start
        self.call: Call | None = None
        self.kept: Call | None = None  # an earlier one that was accepted and may still be answered
        self.timer: Handle | None = None
        self.stopped = False
        self.counts: Counter[str] = Counter()  # calls made, and how each ended

    def start(self) -> None:
        """The list is wanted from now on."""
        if not self.stopped and self.call is None and self.timer is None:
            self._later(self.calls.first())

    def _later(self, wait: float) -> None:
        if wait <= 0.0:
            self._call()
        else:
            self.timer = self.clock.call_later(wait, self._call)

    def _call(self) -> None:
        self.timer = None
        if self.stopped or self.call is not None:
            return
        self.counts["asked" if self.version is None else "watched"] += 1
        self.call = Call(self, self.version)

    def follow(self) -> None:
        """The address has changed: the new one is asked for the whole list, its versions may be its own."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.version = None
        calls, self.call, self.kept = (self.call, self.kept), None, None
        for call in calls:
            if call is not None:
                call.close()
        self.start()

    def current(self) -> bool:
        """The list that is held is what the service tells now."""
        return self.call is not None and self.call.told

    def stop(self) -> None:
        """End all calls and make none from now on."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        for call in (self.call, self.kept):
            if call is not None:
                call.close()

    def line(self, text: bytes) -> bool:
        """Read one line of a watch; False where it is of no use and the call has to end."""
        try:
            listing = read_listing(text)
        except ValueError as error:
            return self.bad(error)
        return self.read(listing)

    def bad(self, error: Exception) -> bool:
        """Log a line that can't be read and forget the version, so that the next call asks for all."""
        self.log.line("discovery", f"a bad line: {error}")
        self.version = None
        return False

    def read(self, listing: Listing) -> bool:
        """A line that could be read; whether the watch may go on."""
        if not listing.whole and (self.version is None or listing.version < self.version):
            self.version = None
            return False
        self.version = listing.version
        self.heard = True
        self.sink.listed(listing)
        return True

    def answered(self, call: Call) -> None:
        """The list has come by this call; any other is of no use now."""
        self.calls.answered()
        other = self.call if call is self.kept else self.kept
        self.call, self.kept = call, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if other is not None:
            other.close()

    def late(self, call: Call) -> bool:
        """A call has had its time without an answer; whether it stands on beside the next one."""
        if call is not self.call or self.kept is not None or not self.calls.keeps or self.stopped:
            return False
        self.call, self.kept = None, call
        self.counts["kept"] += 1
        wait = self.calls.after(End.SILENT, self.clock.now() - call.since)
        self.timer = self.clock.call_later(wait, self._call)
        return True

    def ended(self, call: Call, again: bool) -> None:
        """A call is over: schedule the next. again: it ended in order."""
        if call is self.kept:
            self.kept = None
        if call is not self.call:
            return
        self.call = None
        self.counts["ended in order" if again else f"ended {call.why}"] += 1
        if not self.stopped:
            end = call.end if not again else End.UNREAD if call.watch else End.DONE
            wait = self.calls.after(end, self.clock.now() - call.since, call.retry_after)
            self.timer = self.clock.call_later(wait, self._call)


class Call(asyncio.Protocol):
    """One GET of the whole list, or one watch."""

    transport: asyncio.Transport | None

    def __init__(self, owner: Watch, version: int | None) -> None:
        self.owner = owner
        self.clock, self.loop = owner.clock, owner.loop
        self.watch = version is not None
        self.version = version
        self.transport = None
        self.buffer = bytearray()
        self.scanned = self.depth = 0  # of the buffer: lines of an object that is not whole yet
        self.over = self.finished = False
        self.reading = False  # a long text is being read beside the loop
        self.lost = False
        self.parser: Any = httptools.HttpResponseParser(self)
        self.why = "closed"  # what ended it, for the counts
        self.end = End.BROKEN
        self.retry_after = 0.0
        self.since = self.clock.now()  # it was begun, or last told something
        self.told = False  # a part of the list has come
        self.timer = self.clock.call_later(owner.calls.connect(), self._unreached)
        self.task = self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        host, port = self.owner.address()
        try:
            await self.loop.create_connection(lambda: self, host, port)
        except OSError:
            self._unreached()

    def close(self) -> None:
        """End the call out of order; nothing where it is over."""
        self._end(again=False)

    def _unreached(self) -> None:
        self.why, self.end = "unreached", End.UNREACHED
        self.close()

    def _silent(self) -> None:
        if not self.told and self.owner.late(self):
            self.timer = self.clock.call_later(KEPT_S, self.close)
            return
        self.why, self.end = "silent", End.SILENT
        self.close()

    def _end(self, again: bool) -> None:
        if self.over:
            return
        self.over = True
        if self.told and self.watch:
            self.end = End.LOST
        self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif not self.task.done():
            self.task.cancel()
        self.owner.ended(self, again)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request; from now on the first line is waited for."""
        self.transport = cast(asyncio.Transport, transport)
        if self.over:
            return self.transport.abort()
        self.timer.cancel()
        self.timer = self.clock.call_later(self.owner.calls.patience(), self._silent)
        host, port = self.owner.address()
        path = "/catalog/members" + (f"?stream=1&index={self.version}" if self.watch else "")
        close = "" if self.watch else "Connection: close\r\n"
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n{close}\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Feed the parser; an answer that is complete ends the call."""
        if self.over:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()
        if self.finished and not self.over and not self.reading:
            self._whole()

    def eof_received(self) -> None:
        """An answer without a length ends with its connection."""
        if not self.over and not self.watch and self.buffer and not self.reading:
            self._whole()
        if not self.reading:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """End the call, once what came before has been read."""
        self.parser = None
        self.lost = True
        if not self.reading:  # else the connection's end waits for what came before it
            self.close()

    def _whole(self) -> None:
        """The answer to a GET has ended: the watch follows at once."""
        if self.watch or not self.buffer.strip():
            return self.close()
        if not self._aside(bytes(self.buffer), lambda kept: self._end(again=kept)):
            self._end(again=self._heard(self.owner.line(bytes(self.buffer))))

    def _heard(self, kept: bool) -> bool:
        """A part of the list has come, and could be read or not."""
        if kept and not self.told:
            self.told = True
            self.owner.answered(self)
        if kept:
            self._alive()
        return kept

    def _alive(self) -> None:
        """Only what is whole shows that the watch stands: bytes may drip in for ever and tell nothing."""
        if self.told and not self.over:
            self.since = self.clock.now()
            self.timer.cancel()
            self.timer = self.clock.call_later(LINE_S, self._silent)

    def _aside(self, text: bytes, done: Callable[[bool], None]) -> bool:
        """Read a long text in a thread, for it would hold the loop; whether it is that long."""
        if len(text) <= LONG_BYTES:
            return False
        self.reading = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
        self.timer.cancel()  # its silence is ours
        self.timer = self.clock.call_later(READ_S, self.close)

        def read(future: asyncio.Future[Listing]) -> None:
            self.reading = False
            if self.over:
                return
            try:
                kept = self._heard(self.owner.read(future.result()))
            except ValueError as error:
                kept = self.owner.bad(error)
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()
            done(kept)
            if not self.over and not self.reading and (self.lost or self.finished):
                self.close()

        self.loop.run_in_executor(None, read_listing, text).add_done_callback(read)
        return True

    # ---- httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note Retry-After."""
        if name.lower() == b"retry-after":
            self.retry_after = retry_after(value.decode("latin-1"), self.clock.unix_ms() / 1000.0)

    def on_headers_complete(self) -> None:
        """End the call on any status but 200; 429 and 503 count as turned away."""
        if (status := self.parser.get_status_code()) != 200:
            self.why = str(status)
            if status in (429, 503):
                self.end = End.TURNED_AWAY
            self.close()

    def on_body(self, data: bytes) -> None:
        """Collect bytes, and hand out the complete lines of a watch."""
        if self.over:
            return
        self.buffer += data
        if len(self.buffer) > LINE_BYTES:
            self.owner.version = None
            return self.close()
        if self.watch:
            self._lines(True)

    def _lines(self, kept: bool) -> None:
        """Whole lines that have come, in order: one that is read beside the loop holds up the next ones."""
        if not kept:
            return self._end(again=True)
        while not self.over and not self.reading and (end := self.buffer.find(b"\n", self.scanned)) >= 0:
            self.depth += opened(bytes(self.buffer[self.scanned : end]))
            self.scanned = end + 1
            if self.depth > 0 and BEGINS.match(self.buffer):  # over several lines: the next ones belong to it
                continue
            text = bytes(self.buffer[: end + 1]).strip()
            del self.buffer[: end + 1]
            self.scanned = self.depth = 0
            if not text:
                self._alive()
            elif not self._aside(text, self._lines) and not self._heard(self.owner.line(text)):
                self._end(again=True)

    def on_message_complete(self) -> None:
        """The answer is complete."""
        self.finished = True
