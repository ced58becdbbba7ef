"""One call to discovery over HTTP/1.1: a GET of the complete list, or a watch.

The call reads the answer, passes each line to its owner and enforces the timeouts of its target. The owner
decides when the next call is made and to which address.
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
    parse_retry_after,
)
from quartzford.membership.line_splitter import LineSplitter
from quartzford.membership.listing import MAX_INLINE_PARSE_BYTES, Listing, read_listing
from quartzford.protocols.socketerrors import is_local_to_connect

LIST_PATH = "/catalog/members"
PARSE_TIMEOUT_S = 4.25  # timeout for parsing a long text in a thread
# A timer that fires later than this shows that the process was stopped or its event loop blocked.
HOLD_UP_THRESHOLD_S = 0.1
# Delay before a connection is retried that failed because descriptors, memory or ports ran out.
LOCAL_ERROR_RETRY_S = 0.05
LONG_LINE_MIN_BYTES = 64 * 1024  # a first line counts as in transfer once this much has arrived


class CallOwner(Protocol):
    """The owner of calls, which receives their lines and the way they end."""

    clock: Clock
    loop: asyncio.AbstractEventLoop
    policy: CallPolicy
    version: int | None  # of the held list
    last_line_at: float  # when a list, changes or an empty line last arrived, in seconds of the clock

    def read_line(self, text: bytes, call: ListCall) -> bool:
        """Parse and apply one line; return False if it is unusable and the call must end."""

    def accept_listing(self, listing: Listing, call: ListCall) -> bool:
        """Apply a parsed line; return False if the call must end."""

    def reject_line(self, error: Exception, call: ListCall) -> bool:
        """Handle a line that could not be parsed; return False, since the call must end."""

    def forget_version(self, call: ListCall) -> None:
        """Make the next call request the complete list, because changes cannot follow this answer."""

    def call_answered(self, call: ListCall) -> None:
        """Handle the arrival of the call's first list or first changes."""

    def keep_late_call(self, call: ListCall) -> bool:
        """Handle a late first line; return whether the call stays open beside the next one."""

    def call_ended(self, call: ListCall, in_order: bool) -> None:
        """Handle the end of the call. in_order: the answer was read, as opposed to a failure of the call."""


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
        self.ended = False
        self.response_complete = False
        self.parsing = False  # a long text is being parsed in a thread
        self.disconnected = False
        self.parser: Any = httptools.HttpResponseParser(self)
        self.end_reason = "closed"  # the reason of the end, for the counters
        self.outcome = CallOutcome.FAILED
        self.header_fields = {b"retry-after": "", b"date": ""}  # the header fields that are read
        self.retry_after_s = 0.0
        self.last_progress_at = self.clock.now()  # when the call started, or last received a complete line
        self.answered = False  # whether a list or changes have arrived
        self.line_due_at = math.inf  # when the timeout of the expected line expires
        self.timer = self.clock.call_later(owner.policy.connect_timeout(), self._connect_failed)
        self.connect_task = self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        """Connect. An error of this machine says nothing of the peer, so it is retried until the timeout."""
        host, port = self.target.address
        while True:
            try:
                await self.loop.create_connection(lambda: self, host, port)
                return
            except OSError as error:
                if not is_local_to_connect(error):
                    return self._connect_failed()
            await asyncio.sleep(LOCAL_ERROR_RETRY_S)

    def close(self) -> None:
        """End the call as failed; do nothing if it has ended."""
        self._end(in_order=False)

    def _connect_failed(self) -> None:
        self.end_reason = "unreached"
        self.outcome = CallOutcome.UNREACHABLE
        self.close()

    def _start_line_timer(self, seconds: float) -> None:
        """Restart the timeout for the next line."""
        self.timer.cancel()
        self.line_due_at = self.clock.now() + seconds
        self.timer = self.clock.call_later(seconds, self._timed_out)

    def _timed_out(self) -> None:
        """Handle a line timeout: extend it once, keep the late call open, or end the call."""
        # This process was stopped or blocked: data may have arrived that it has not read yet.
        if self.clock.now() - self.line_due_at > HOLD_UP_THRESHOLD_S:
            self._start_line_timer(HOLD_UP_THRESHOLD_S)
            self.line_due_at = math.inf  # extended only once
            return
        if not self.answered and self._long_line_in_transfer():
            extra_time = self.long_line_extra_time
            self.long_line_extra_time = 0.0  # extended only once
            return self._start_line_timer(extra_time)
        if not self.answered and self.owner.keep_late_call(self):
            self.timer = self.clock.call_later(LATE_CALL_KEPT_S, self.close)
            return
        self.end_reason = "silent"
        self.outcome = CallOutcome.TIMED_OUT
        self.close()

    def _long_line_in_transfer(self) -> bool:
        return self.long_line_extra_time > 0.0 and len(self.splitter.buffer) >= LONG_LINE_MIN_BYTES

    def _end(self, in_order: bool) -> None:
        if self.ended:
            return
        self.ended = True
        if self.answered and self.watch:
            self.outcome = CallOutcome.WATCH_LOST
        self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif not self.connect_task.done():
            self.connect_task.cancel()
        self.owner.call_ended(self, in_order)

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request and start the timeout for the first line."""
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:
            return self.transport.abort()
        self._start_line_timer(self.first_line_timeout)
        self.transport.write(self._request())

    def _request(self) -> bytes:
        host, port = self.target.address
        query = f"?stream=1&index={self.index}" if self.watch else ""
        connection = "" if self.watch else "Connection: close\r\n"
        return f"GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {host}:{port}\r\n{connection}\r\n".encode()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; a complete answer ends the call."""
        if self.ended:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()
        if self.response_complete and not self.ended and not self.parsing:
            self._read_body()

    def eof_received(self) -> None:
        """Read an answer without a length, which is delimited by the end of its connection."""
        if not self.ended and not self.watch and self.splitter.buffer and not self.parsing:
            self._read_body()
        if not self.parsing:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """End the call once the data received before has been parsed."""
        self.parser = None
        self.disconnected = True
        if not self.parsing:
            self.close()

    # ---- httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store Retry-After, and Date, which is needed for a Retry-After that holds a date."""
        name = name.lower()
        if name in self.header_fields:
            self.header_fields[name] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """End the call on any status other than 200; 429 and 503 count as rejected."""
        if self.header_fields[b"retry-after"]:
            self.retry_after_s = parse_retry_after(
                self.header_fields[b"retry-after"], self.header_fields[b"date"]
            )
        status = self.parser.get_status_code()
        if status == 200:
            return
        self.end_reason = str(status)
        if status in (429, 503):
            self.outcome = CallOutcome.REJECTED
        self.close()

    def on_body(self, data: bytes) -> None:
        """Buffer the bytes and process the complete lines of a watch."""
        if self.ended:
            return
        self.splitter.feed(data)
        if self.splitter.too_long():
            self.owner.forget_version(self)
            return self.close()
        if self.watch:
            self._read_lines()

    def on_message_complete(self) -> None:
        """Record that the answer is complete."""
        self.response_complete = True

    # ---- received lines

    def _read_body(self) -> None:
        """Read the complete answer to a GET; the watch follows at once."""
        text = bytes(self.splitter.buffer)
        if self.watch or not text.strip():
            return self.close()
        if not self._parse_in_thread(text, lambda usable: self._end(in_order=usable)):
            self._end(in_order=self._record_line(self.owner.read_line(text, self)))

    def _read_lines(self) -> None:
        """Process complete lines in order; a line that is parsed in a thread delays the following lines."""
        while not self.ended and not self.parsing and (line := self.splitter.next_line()) is not None:
            if not line:
                self._restart_line_timer()
            elif not self._parse_in_thread(line, self._line_parsed) and not self._record_line(
                self.owner.read_line(line, self)
            ):
                self._end(in_order=True)

    def _line_parsed(self, usable: bool) -> None:
        if usable:
            self._read_lines()
        else:
            self._end(in_order=True)

    def _record_line(self, usable: bool) -> bool:
        """Record a received line and return whether it was usable."""
        if usable and not self.answered:
            self.answered = True
            self.owner.call_answered(self)
        if usable:
            self._restart_line_timer()
        return usable

    def _restart_line_timer(self) -> None:
        """Restart the timeout after a complete line; single bytes may arrive forever without forming one."""
        if not self.answered or self.ended:
            return
        self.last_progress_at = self.owner.last_line_at = self.clock.now()
        self._start_line_timer(LINE_TIMEOUT_S)

    def _parse_in_thread(self, text: bytes, done: Callable[[bool], None]) -> bool:
        """Parse a long text in a thread, so as not to block the event loop; return False if it is short."""
        if len(text) <= MAX_INLINE_PARSE_BYTES:
            return False
        self.parsing = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
        self.timer.cancel()  # reading is paused, so the line timeout does not apply
        self.timer = self.clock.call_later(PARSE_TIMEOUT_S, self.close)
        parsed = self.loop.run_in_executor(None, read_listing, text)
        parsed.add_done_callback(lambda future: self._parse_completed(future, done))
        return True

    def _parse_completed(self, future: asyncio.Future[Listing], done: Callable[[bool], None]) -> None:
        self.parsing = False
        if self.ended:
            return
        try:
            usable = self._record_line(self.owner.accept_listing(future.result(), self))
        except ValueError as error:
            usable = self.owner.reject_line(error, self)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        done(usable)
        if not self.ended and not self.parsing and (self.disconnected or self.response_complete):
            self.close()
