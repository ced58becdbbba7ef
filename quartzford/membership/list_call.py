"""One call to discovery over HTTP/1.1: a GET of the complete list, or a watch.

The call reads the answer, hands each line to its owner and enforces the time-outs of its target. When the
next call is made, and to whom, is for the owner to say.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any, Protocol, cast

import httptools

from quartzford.engine import Clock
from quartzford.membership.addresses import RequestKind, Target
from quartzford.membership.call_policy import (
    LATE_CALL_KEPT_S,
    LINE_TIMEOUT_S,
    CallOutcome,
    CallPolicy,
    retry_after,
)
from quartzford.membership.line_splitter import LineSplitter
from quartzford.membership.listing import LONG_BYTES, Listing, read_listing
from quartzford.protocols.socketerrors import is_local_to_connect

PATH = "/catalog/members"
PARSE_TIMEOUT_S = 4.25  # parsing a long text in a thread may take so long
HELD_UP_S = 0.1  # a timer later by so much found the process stopped, or its loop held up
LOCAL_RETRY_S = 0.05  # a connection that failed for want of descriptors, memory or ports is tried again
FLOWING_BYTES = 64 * 1024  # a first line of which so much has come is under way


class CallOwner(Protocol):
    """The owner of calls, which is notified of what they bring and how they end."""

    clock: Clock
    loop: asyncio.AbstractEventLoop
    policy: CallPolicy
    version: int | None  # of the list that is held
    last_line_at: float  # a list, changes or an empty line, in seconds of the clock

    def read_line(self, text: bytes, call: ListCall) -> bool:
        """Parse and take one line; False where it is of no use and the call has to end."""

    def take(self, listing: Listing, call: ListCall) -> bool:
        """Take a line that could be parsed; False where the call has to end."""

    def reject_line(self, error: Exception, call: ListCall) -> bool:
        """A line could not be parsed; False, as the call has to end."""

    def forget_version(self, call: ListCall) -> None:
        """What came can't be followed by changes: the next call requests the complete list."""

    def call_answered(self, call: ListCall) -> None:
        """A first list, or first changes, have come."""

    def call_late(self, call: ListCall) -> bool:
        """The first line is late; whether the call is kept beside the next one."""

    def call_ended(self, call: ListCall, in_order: bool) -> None:
        """The call is over."""


class ListCall(asyncio.Protocol):
    """One call, from its connection to its end."""

    transport: asyncio.Transport | None

    def __init__(self, owner: CallOwner, target: Target, *, complete_list_by_watch: bool) -> None:
        self.owner = owner
        self.target = target
        self.clock = owner.clock
        self.loop = owner.loop
        self.watch = target.kind is RequestKind.WATCH
        self.index = owner.version or 0
        self.expects_complete_list = self.watch and self.index == 0 and complete_list_by_watch
        self.first_line_timeout = owner.policy.first_line_timeout()
        self.long_line_extra_time = owner.policy.long_line_extra_time()
        self.transport = None
        self.splitter = LineSplitter()
        self.over = False
        self.response_complete = False
        self.parsing = False  # a long text is being parsed in a thread
        self.disconnected = False
        self.parser: Any = httptools.HttpResponseParser(self)
        self.why = "closed"  # what ended it, for the counts
        self.outcome = CallOutcome.FAILED
        self.header_fields = {b"retry-after": "", b"date": ""}  # those that are of use
        self.retry_after = 0.0
        self.since = self.clock.now()  # it was begun, or last brought a complete line
        self.answered = False  # a list or changes have come
        self.silent_at = math.inf  # when the line that is waited for is overdue
        self.timer = self.clock.call_later(owner.policy.connect_timeout(), self._unreached)
        self.task = self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        """Connect. An error of this machine is not the peer's: it is retried for as long as it may take."""
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
        self._end(in_order=False)

    def _unreached(self) -> None:
        self.why = "unreached"
        self.outcome = CallOutcome.UNREACHABLE
        self.close()

    def _await_line(self, seconds: float) -> None:
        """The next line, or the first one, has so much time."""
        self.timer.cancel()
        self.silent_at = self.clock.now() + seconds
        self.timer = self.clock.call_later(seconds, self._timed_out)

    def _timed_out(self) -> None:
        """No line has come for as long as one may take."""
        if self.clock.now() - self.silent_at > HELD_UP_S:  # this process stood still: what has come is unread
            self._await_line(HELD_UP_S)
            self.silent_at = math.inf  # granted once
            return
        if not self.answered and self._first_line_under_way():
            extra_time = self.long_line_extra_time
            self.long_line_extra_time = 0.0  # granted once
            return self._await_line(extra_time)
        if not self.answered and self.owner.call_late(self):
            self.timer = self.clock.call_later(LATE_CALL_KEPT_S, self.close)
            return
        self.why = "silent"
        self.outcome = CallOutcome.TIMED_OUT
        self.close()

    def _first_line_under_way(self) -> bool:
        return self.long_line_extra_time > 0.0 and len(self.splitter.buffer) >= FLOWING_BYTES

    def _end(self, in_order: bool) -> None:
        if self.over:
            return
        self.over = True
        if self.answered and self.watch:
            self.outcome = CallOutcome.WATCH_LOST
        self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif not self.task.done():
            self.task.cancel()
        self.owner.call_ended(self, in_order)

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request; from now on the first line is waited for."""
        self.transport = cast(asyncio.Transport, transport)
        if self.over:
            return self.transport.abort()
        self._await_line(self.first_line_timeout)
        self.transport.write(self._request())

    def _request(self) -> bytes:
        host, port = self.target.address
        query = f"?stream=1&index={self.index}" if self.watch else ""
        connection = "" if self.watch else "Connection: close\r\n"
        return f"GET {PATH}{query} HTTP/1.1\r\nHost: {host}:{port}\r\n{connection}\r\n".encode()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; an answer that is complete ends the call."""
        if self.over:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()
        if self.response_complete and not self.over and not self.parsing:
            self._body_complete()

    def eof_received(self) -> None:
        """An answer without a length ends with its connection."""
        if not self.over and not self.watch and self.splitter.buffer and not self.parsing:
            self._body_complete()
        if not self.parsing:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """End the call, once what came before has been parsed."""
        self.parser = None
        self.disconnected = True
        if not self.parsing:
            self.close()

    # ---- httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note Retry-After, and the Date that one with a date is taken against."""
        name = name.lower()
        if name in self.header_fields:
            self.header_fields[name] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """End the call on any status but 200; 429 and 503 count as rejected."""
        if self.header_fields[b"retry-after"]:
            self.retry_after = retry_after(self.header_fields[b"retry-after"], self.header_fields[b"date"])
        status = self.parser.get_status_code()
        if status == 200:
            return
        self.why = str(status)
        if status in (429, 503):
            self.outcome = CallOutcome.REJECTED
        self.close()

    def on_body(self, data: bytes) -> None:
        """Collect bytes, and hand out the complete lines of a watch."""
        if self.over:
            return
        self.splitter.feed(data)
        if self.splitter.too_long():
            self.owner.forget_version(self)
            return self.close()
        if self.watch:
            self._read_lines()

    def on_message_complete(self) -> None:
        """The answer is complete."""
        self.response_complete = True

    # ---- what has come

    def _body_complete(self) -> None:
        """The answer to a GET has ended: the watch follows at once."""
        text = bytes(self.splitter.buffer)
        if self.watch or not text.strip():
            return self.close()
        if not self._parse_in_thread(text, lambda usable: self._end(in_order=usable)):
            self._end(in_order=self._line_taken(self.owner.read_line(text, self)))

    def _read_lines(self) -> None:
        """Complete lines that have come, in order: one that is parsed in a thread holds up the next ones."""
        while not self.over and not self.parsing and (line := self.splitter.next_line()) is not None:
            if not line:
                self._extend_timeout()
            elif not self._parse_in_thread(line, self._line_parsed) and not self._line_taken(
                self.owner.read_line(line, self)
            ):
                self._end(in_order=True)

    def _line_parsed(self, usable: bool) -> None:
        if usable:
            self._read_lines()
        else:
            self._end(in_order=True)

    def _line_taken(self, usable: bool) -> bool:
        """A part of the list has come, and could be used or not."""
        if usable and not self.answered:
            self.answered = True
            self.owner.call_answered(self)
        if usable:
            self._extend_timeout()
        return usable

    def _extend_timeout(self) -> None:
        """Only complete lines show that the watch works: bytes may drip in for ever and form none."""
        if not self.answered or self.over:
            return
        self.since = self.owner.last_line_at = self.clock.now()
        self._await_line(LINE_TIMEOUT_S)

    def _parse_in_thread(self, text: bytes, done: Callable[[bool], None]) -> bool:
        """Parse a long text in a thread, as it would hold up the loop; False where it is short."""
        if len(text) <= LONG_BYTES:
            return False
        self.parsing = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
        self.timer.cancel()  # nothing is read meanwhile, so silence means nothing
        self.timer = self.clock.call_later(PARSE_TIMEOUT_S, self.close)
        parsed = self.loop.run_in_executor(None, read_listing, text)
        parsed.add_done_callback(lambda future: self._parsed(future, done))
        return True

    def _parsed(self, future: asyncio.Future[Listing], done: Callable[[bool], None]) -> None:
        self.parsing = False
        if self.over:
            return
        try:
            usable = self._line_taken(self.owner.take(future.result(), self))
        except ValueError as error:
            usable = self.owner.reject_line(error, self)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        done(usable)
        if not self.over and not self.parsing and (self.disconnected or self.response_complete):
            self.close()
