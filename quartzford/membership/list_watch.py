"""The list of upstreams: a watch on discovery that is made again whenever it ends or falls silent.

When that is, and how long an answer may take, is for call_policy.py to say; where the call goes, for
addresses.py.
"""

from __future__ import annotations

import asyncio
import math
import re
from collections import Counter
from collections.abc import Callable
from typing import Any, cast

import httptools

from quartzford.engine import Clock, Handle, Log
from quartzford.membership.addresses import Address, Addresses, RequestKind, Target
from quartzford.membership.call_policy import (
    LATE_CALL_KEPT_S,
    LINE_TIMEOUT_S,
    CallOutcome,
    CallPolicy,
    retry_after,
)
from quartzford.membership.listing import LONG_BYTES, Listing, Sink, read_listing
from quartzford.protocols.socketerrors import is_local_to_connect

READ_S = 4.25  # reading a long text beside the loop may take so long
LINE_BYTES = 16 * 1024 * 1024  # a list of 63,000 has 8.7
HELD_UP_S = 0.1  # a timer that is later by so much found the process stopped, or its loop held up
LOCAL_RETRY_S = 0.05  # a connection that failed for want of descriptors, memory or ports is tried again
FLOW_BYTES = 64 * 1024  # of a first line that is under way

BEGINS = re.compile(rb'\s*\{\s*(?:"|\Z)')  # an object that may yet become whole
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


def opened(line: bytes) -> int:
    """Objects that this line opens and leaves open; below 0: that it closes of lines before."""
    if line.count(b"{") == line.count(b"}"):
        return 0
    bare = STRING.sub(b"", line)  # names may hold braces
    return bare.count(b"{") - bare.count(b"}")


class ListWatch:
    """Keeps one watch open, and knows which version of the list this balancer has.

    resync: the version is forgotten with each watch that ends, so that the next call asks for everything.
    """

    def __init__(
        self,
        sink: Sink,
        addresses: Addresses,
        policy: CallPolicy,
        clock: Clock,
        log: Log,
        loop: asyncio.AbstractEventLoop,
        *,
        resync: bool = False,
    ) -> None:
        self.sink, self.addresses, self.clock, self.log, self.loop = sink, addresses, clock, log, loop
        self.resync = resync
        self.policy = policy
        self.version: int | None = None
        self.ever_answered = False  # discovery has answered since the start
        self.call: ListCall | None = None
        self.late_call: ListCall | None = None  # an earlier one that was accepted and may still be answered
        self.candidate: ListCall | None = None  # at a better place, while the watch stands
        self.timer: Handle | None = None
        self.back_timer: Handle | None = None
        self.last_line_at = -math.inf  # a list, changes or an empty line, in seconds of the clock
        self.stopped = False
        self.counts: Counter[str] = Counter()  # calls made, and how each ended

    @property
    def address(self) -> Callable[[], Address]:
        """The address of the configuration."""
        return self.addresses.address

    @address.setter
    def address(self, address: Callable[[], Address]) -> None:
        self.addresses.address = address

    def start(self) -> None:
        """The list is wanted from now on."""
        if not self.stopped and self.call is None and self.timer is None:
            self._later(self.policy.initial_delay())

    def _later(self, wait: float) -> None:
        if wait <= 0.0:
            self._call()
        else:
            self.timer = self.clock.call_later(wait, self._call)

    def _call(self) -> None:
        self.timer = None
        if self.stopped or self.call is not None:
            return
        # A version of 0 is that of a configuration that knows nobody.
        known = bool(self.version) if self.addresses.complete_list_by_watch else self.version is not None
        target = self.addresses.choose(known)
        self.counts["asked" if target.ask is RequestKind.COMPLETE_LIST else "watched"] += 1
        self.call = ListCall(self, target)

    def _try_better(self) -> None:
        """Make before break: the watch stands on until the new one has answered."""
        self.back_timer = None
        if self.stopped or self.candidate is not None or not self.is_current():
            return
        target = self.addresses.better()
        if target is not None:
            self.counts["tried better"] += 1
            self.candidate = ListCall(self, target)

    def _plan_better(self) -> None:
        if self.back_timer is not None:
            self.back_timer.cancel()
            self.back_timer = None
        wait = self.policy.better_address_delay()
        if wait < math.inf and not self.stopped:
            self.back_timer = self.clock.call_later(wait, self._try_better)

    def follow_address(self) -> None:
        """The address has changed: the new one is asked for the whole list, its versions may be its own."""
        if not self.addresses.follows():
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.version = None
        policy, self.call, self.late_call, self.candidate = (
            (self.call, self.late_call, self.candidate),
            None,
            None,
            None,
        )
        for call in policy:
            if call is not None:
                call.close()
        self.start()

    def is_current(self) -> bool:
        """The list that is held is the service's current one: a watch stands."""
        return self.call is not None and self.call.answered

    def stop(self) -> None:
        """End all calls and make none from now on."""
        self.stopped = True
        for timer in (self.timer, self.back_timer):
            if timer is not None:
                timer.cancel()
        for call in (self.call, self.late_call, self.candidate):
            if call is not None:
                call.close()

    def line(self, text: bytes, call: ListCall) -> bool:
        """Read one line of a watch; False where it is of no use and the call has to end."""
        try:
            listing = read_listing(text)
        except ValueError as error:
            return self.bad(error, call)
        return self.read(listing, call)

    def bad(self, error: Exception, call: ListCall) -> bool:
        """Log a line that can't be read and forget the version, so that the next call asks for all."""
        self.log.line("discovery", f"a bad line: {error}")
        if call is not self.candidate:
            self.version = None
        return False

    def _outdated(self, listing: Listing, call: ListCall) -> bool:
        """Older than what is held, and no sign that the service has begun again.

        Beside a watch that stands, who is behind says nothing new; and a list that was asked for while a
        version is held is one of a relay that has lost the service.
        """
        held = self.version is not None and listing.version < self.version
        return held and (call is self.candidate or not call.watch)

    def read(self, listing: Listing, call: ListCall) -> bool:
        """A line that could be read; whether the watch may go on."""
        if self._outdated(listing, call):
            return not call.watch
        if call.expects_complete_list and not call.answered:
            listing = as_complete_list(listing)
        if listing.complete:
            if self.candidate is not None and call is not self.candidate:
                self.candidate.close()  # it may be about to bring changes to another life's list
        elif self.version is None or listing.version < self.version:
            self.version = None
            return False
        self.version = listing.version
        self.ever_answered = True
        self.sink.listed(listing)
        return True

    def answered(self, call: ListCall) -> None:
        """The list has come by this call; any other is of no use now."""
        self.addresses.answered(call.target)
        self.policy.answered()
        others = [
            one for one in (self.call, self.late_call, self.candidate) if one is not None and one is not call
        ]
        self.call, self.late_call, self.candidate = call, None, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        for other in others:
            other.close()
        self._plan_better()

    def late(self, call: ListCall) -> bool:
        """A call has had its time without an answer; whether it stands on beside the next one."""
        if (
            call is not self.call
            or self.late_call is not None
            or not self.policy.keeps_late_calls
            or self.stopped
        ):
            return False
        self.call, self.late_call = None, call
        self.counts["kept"] += 1
        self.addresses.failed(call.target, CallOutcome.SILENT)
        wait = self.policy.delay_after(CallOutcome.SILENT, self.clock.now() - call.since)
        self.timer = self.clock.call_later(wait, self._call)
        return True

    def ended(self, call: ListCall, again: bool) -> None:
        """A call is over: schedule the next. again: it ended in order."""
        if call is self.late_call:
            self.late_call = None
        if call is self.candidate:
            self.candidate = None
            self._plan_better()
        if call is not self.call:
            return
        self.call = None
        self.counts["ended in order" if again else f"ended {call.why}"] += 1
        if not self.stopped:
            end = call.end if not again else CallOutcome.UNREAD if call.watch else CallOutcome.DONE
            if end is not CallOutcome.DONE:
                self.addresses.failed(call.target, end)
                if self.resync:
                    self.version = None
            wait = self.policy.delay_after(end, self.clock.now() - call.since, call.retry_after)
            self.timer = self.clock.call_later(wait, self._call)


def as_complete_list(listing: Listing) -> Listing:
    """The same rows as a whole list."""
    rows = [row for row in zip(listing.entries, listing.addresses, strict=True) if row[0].state != "gone"]
    return Listing(listing.version, True, tuple(row[0] for row in rows), tuple(row[1] for row in rows))


class ListCall(asyncio.Protocol):
    """One GET of the whole list, or one watch."""

    transport: asyncio.Transport | None

    def __init__(self, owner: ListWatch, target: Target) -> None:
        self.owner, self.target = owner, target
        self.clock, self.loop = owner.clock, owner.loop
        self.watch = target.ask is RequestKind.WATCH
        self.index = owner.version or 0
        self.expects_complete_list = self.watch and self.index == 0 and owner.addresses.complete_list_by_watch
        self.first_line_timeout, self.long_line_extra_time = (
            owner.policy.first_line_timeout(),
            owner.policy.long_line_extra_time(),
        )
        self.transport = None
        self.buffer = bytearray()
        self.scanned = self.depth = 0  # of the buffer: lines of an object that is not whole yet
        self.searched = 0  # of the buffer: no line ends before
        self.over = self.finished = False
        self.reading = False  # a long text is being read beside the loop
        self.lost = False
        self.parser: Any = httptools.HttpResponseParser(self)
        self.why = "closed"  # what ended it, for the counts
        self.end = CallOutcome.BROKEN
        self.fields = {b"retry-after": "", b"date": ""}  # of the answer, as far as they are of use
        self.retry_after = 0.0
        self.since = self.clock.now()  # it was begun, or last brought a whole line
        self.answered = False  # a list or changes have come
        self.silent_at = math.inf  # no line is waited for any longer
        self.timer = self.clock.call_later(owner.policy.connect_timeout(), self._unreached)
        self.task = self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        """Connect. Errors of this machine blame nobody: for as long as it may take, it is tried again."""
        host, port = self.target.address
        while True:
            try:
                await self.loop.create_connection(lambda: self, host, port)
                return
            except OSError as error:
                if not is_local_to_connect(error):
                    return self._unreached()
            await asyncio.sleep(LOCAL_RETRY_S)

    def close(self) -> None:
        """End the call out of order; nothing where it is over."""
        self._end(again=False)

    def _unreached(self) -> None:
        self.why, self.end = "unreached", CallOutcome.UNREACHED
        self.close()

    def _await_line(self, seconds: float) -> None:
        """The next line, or the first one, has so much time."""
        self.timer.cancel()
        self.silent_at = self.clock.now() + seconds
        self.timer = self.clock.call_later(seconds, self._silent)

    def _silent(self) -> None:
        if self.clock.now() - self.silent_at > HELD_UP_S:  # this process stood still: what has come is unread
            self._await_line(HELD_UP_S)
            self.silent_at = math.inf  # once
            return
        if not self.answered and self.long_line_extra_time > 0.0 and len(self.buffer) >= FLOW_BYTES:
            more, self.long_line_extra_time = self.long_line_extra_time, 0.0  # once
            return self._await_line(more)
        if not self.answered and self.owner.late(self):
            self.timer = self.clock.call_later(LATE_CALL_KEPT_S, self.close)
            return
        self.why, self.end = "silent", CallOutcome.SILENT
        self.close()

    def _end(self, again: bool) -> None:
        if self.over:
            return
        self.over = True
        if self.answered and self.watch:
            self.end = CallOutcome.LOST
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
        self._await_line(self.first_line_timeout)
        host, port = self.target.address
        path = "/catalog/members" + (f"?stream=1&index={self.index}" if self.watch else "")
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
        if not self._aside(bytes(self.buffer), lambda usable: self._end(again=usable)):
            self._end(again=self._line_read(self.owner.line(bytes(self.buffer), self)))

    def _line_read(self, usable: bool) -> bool:
        """A part of the list has come, and could be read or not."""
        if usable and not self.answered:
            self.answered = True
            self.owner.answered(self)
        if usable:
            self._alive()
        return usable

    def _alive(self) -> None:
        """Only what is whole shows that the watch stands: bytes may drip in for ever and form no line."""
        if self.answered and not self.over:
            self.since = self.owner.last_line_at = self.clock.now()
            self._await_line(LINE_TIMEOUT_S)

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
                usable = self._line_read(self.owner.read(future.result(), self))
            except ValueError as error:
                usable = self.owner.bad(error, self)
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()
            done(usable)
            if not self.over and not self.reading and (self.lost or self.finished):
                self.close()

        self.loop.run_in_executor(None, read_listing, text).add_done_callback(read)
        return True

    # ---- httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note Retry-After, and the Date that one with a date is taken against."""
        name = name.lower()
        if name in self.fields:
            self.fields[name] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """End the call on any status but 200; 429 and 503 count as turned away."""
        if self.fields[b"retry-after"]:
            self.retry_after = retry_after(self.fields[b"retry-after"], self.fields[b"date"])
        if (status := self.parser.get_status_code()) != 200:
            self.why = str(status)
            if status in (429, 503):
                self.end = CallOutcome.REJECTED
            self.close()

    def on_body(self, data: bytes) -> None:
        """Collect bytes, and hand out the complete lines of a watch."""
        if self.over:
            return
        self.buffer += data
        if len(self.buffer) > LINE_BYTES:
            if self is not self.owner.candidate:
                self.owner.version = None
            return self.close()
        if self.watch:
            self._lines(True)

    def _lines(self, usable: bool) -> None:
        """Whole lines that have come, in order: one that is read beside the loop holds up the next ones."""
        if not usable:
            return self._end(again=True)
        while not self.over and not self.reading and (end := self.buffer.find(b"\n", self.searched)) >= 0:
            self.depth += opened(bytes(self.buffer[self.scanned : end]))
            self.scanned = self.searched = end + 1
            if self.depth > 0 and BEGINS.match(self.buffer):  # over several lines: the next ones belong to it
                continue
            text = bytes(self.buffer[: end + 1]).strip()
            del self.buffer[: end + 1]
            self.scanned = self.searched = self.depth = 0
            if not text:
                self._alive()
            elif not self._aside(text, self._lines) and not self._line_read(self.owner.line(text, self)):
                self._end(again=True)
        if not self.reading:
            self.searched = len(self.buffer)

    def on_message_complete(self) -> None:
        """The answer is complete."""
        self.finished = True
