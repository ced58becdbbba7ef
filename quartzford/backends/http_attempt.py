"""One attempt of one request at one upstream, on one HTTP/1.1 connection."""

from __future__ import annotations

import asyncio
import math
import socket
from typing import cast

from quartzford import engine
from quartzford.backends import outcomes
from quartzford.backends.connection_pool import ConnectionPool, Upstream
from quartzford.backends.http_call import CompleteResponse, HttpCall
from quartzford.backends.overdue_streams import (
    LONG_RESPONSE_BYTES,
    MAX_RESPONSE_BYTES,
    OVERTIME_S,
    StreamProgress,
    may_continue,
)
from quartzford.backends.response_progress import ResponseProgress
from quartzford.backends.response_reader import STATUS_OK, ResponseReader
from quartzford.backends.upstream_connection import HOLD_UP_THRESHOLD_S, MAX_JOINED_BYTES, Connection
from quartzford.engine import Handle
from quartzford.protocols.socketerrors import is_local_to_connect

TIMER_RESOLUTION_S = 0.001  # resolution of the event loop's timers
MAX_BUFFERED_BYTES = LONG_RESPONSE_BYTES  # a buffered response that breaks off can be retried
SEND_ALLOWANCE_S = 0.05  # from a request's first byte to its last; if it takes longer, the attempt ends
LONG_SEND_ALLOWANCE_SHARE = 0.5  # share of the time left, used instead for a body over MAX_JOINED_BYTES
STREAM_STALL_S = 4.0  # long responses pause for a tenth of a second; if one pauses this long, it is broken


class HttpAttempt(engine.Attempt):
    """One attempt: connects if necessary, writes the request, reads the response, ends with one outcome.

    response_deadline: until when a response that has begun by `timeout_at` is waited for, in seconds on the
    engine's clock. progress: of the response.
    """

    __slots__ = (
        "pool",
        "upstream",
        "response_deadline",
        "timer",
        "connecting",
        "connection",
        "chunks",
        "progress",
        "last_read_granted",
    )
    pending: HttpCall

    def __init__(
        self,
        pool: ConnectionPool,
        pending: HttpCall,
        number: int,
        upstream: Upstream,
        chosen_at: float,
        timeout_at: float,
        response_deadline: float,
    ) -> None:
        super().__init__(pending, number, upstream.name, chosen_at, timeout_at)
        self.pool = pool
        self.upstream = upstream
        self.response_deadline = response_deadline
        self.timer: Handle | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.connection: Connection | None = None
        self.chunks: list[bytes] = []
        self.progress = ResponseProgress(chosen_at)
        self.last_read_granted = False  # the loop got time to read what had arrived by `timeout_at`

    # ---- the connection

    def start(self) -> None:
        """Use an idle connection, or open one; if neither is possible, end with NOT_SENT."""
        if self.timeout_at - self.pool.now() < TIMER_RESOLUTION_S:
            self.pool.clock.call_soon(self.fail, outcomes.NOT_SENT)
            return
        self._start_timer()
        connection = self.upstream.take_idle()
        if connection is not None:
            connection.reused = True
            self._send_request(connection)
        elif self.pool.may_connect():
            self.connecting = self.pool.loop.create_task(self._connect())
        else:
            self.pool.clock.call_soon(self.fail, outcomes.NOT_SENT)

    def _start_timer(self) -> None:
        self.last_read_granted = False
        self.timer = self.pool.clock.call_later(self.timeout_at - self.pool.now(), self._timed_out)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    async def _connect(self) -> None:
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:  # no descriptor or memory is left: not the upstream's fault
            self.connecting = None
            return self.fail(outcomes.NOT_SENT)
        connection = Connection(self.upstream, sock)
        with self.pool.pending_connect(self.upstream):
            try:
                await connection.open(self.pool.loop, self.upstream.address, self.pool.connect_ms / 1000.0)
            except OSError as error:
                self.connecting = None
                local = is_local_to_connect(error)
                return self.fail(outcomes.NOT_SENT if local else outcomes.CONNECT_FAILED)
        self.connecting = None
        self._connected(connection)

    def _connected(self, connection: Connection) -> None:
        if self.ended:
            return self.upstream.keep_idle(connection)
        if not self.upstream.ready or not self.pool.engine.may_begin(self):
            self.upstream.keep_idle(connection)
            return self.fail(outcomes.NOT_SENT)
        self._send_request(connection)

    # ---- the request

    def _send_request(self, connection: Connection) -> None:
        self.connection = connection
        connection.attach(self)
        # The clock is read just before the write: the time left that the request states is correct then.
        now = self.pool.now()
        if self.timeout_at - now < TIMER_RESOLUTION_S:
            self._return_connection(connection)
            return self.fail(outcomes.NOT_SENT)
        time_left = self._upstream_time_left(now)
        head = self.pending.upstream_head(time_left)
        # Checked after the last clock reading: the client may have disconnected while the loop was held up.
        if not self.pending.client_connected():
            self._return_connection(connection)
            return self.pool.engine.client_disconnected(cast("engine.PendingRequest", self.pending))
        self.written_at = now
        connection.send(head, self.pending.body)
        if not connection.flushed:
            write_limit_s = min(
                self.pool.engine.write_window_s(self), self.pending.deadline - time_left - now
            )
            self.pool.clock.call_later(write_limit_s, self._check_flushed)

    def _return_connection(self, connection: Connection) -> None:
        """Keep a connection on which nothing was written as idle."""
        connection.attempt = None
        self.connection = None
        self.upstream.keep_idle(connection)

    def _upstream_time_left(self, now: float) -> float:
        """Return the seconds to state to the upstream: at most the client's when the last byte is sent.

        The system may accept the bytes slowly, so that the last one is sent well after `now`. An allowance
        for that is subtracted, and `_check_flushed` ends an attempt that takes longer.
        """
        time_left_s = self.pending.deadline - now
        if self.pending.body.size > MAX_JOINED_BYTES:
            allowance = LONG_SEND_ALLOWANCE_SHARE * time_left_s
        else:
            allowance = min(SEND_ALLOWANCE_S, time_left_s / 2)
        return min(self.timeout_at - now, time_left_s - allowance)

    def _check_flushed(self) -> None:
        """End the attempt if the request's last byte was not sent: the upstream never gets it complete."""
        if not self.ended and self.connection is not None and not self.connection.flushed:
            self.fail(outcomes.CONNECT_FAILED)

    def _timed_out(self) -> None:
        self.timer = None
        now = self.pool.now()
        if now < self.timeout_at - TIMER_RESOLUTION_S:
            return self._start_timer()
        if not self.last_read_granted and self._may_have_unread_input(now):
            # Let the event loop read what arrived while it did something else, which must not count as late.
            self.last_read_granted = True
            self.timer = self.pool.clock.call_later(TIMER_RESOLUTION_S, self._timed_out)
            return
        if self.connection is None:
            return self.fail(outcomes.CONNECT_FAILED)
        if self._may_be_long():
            return self._stream(self._response())
        self.fail(outcomes.TIMED_OUT)

    def _may_have_unread_input(self, now: float) -> bool:
        """Return whether a part of the response may lie unread: the event loop runs timers before reads."""
        if now - self.timeout_at > HOLD_UP_THRESHOLD_S:
            return True
        return self.connection is not None and self.connection.has_unread_input()

    def _may_be_long(self) -> bool:
        """Return whether a successful response of no stated length has begun: it is not given up."""
        if self.connection is None:
            return False
        response = self._response()
        return response.status == STATUS_OK and response.content_length is None

    # ---- the response

    def _response(self) -> ResponseReader:
        """Return the response of the connection that carries this attempt."""
        assert self.connection is not None
        assert self.connection.response is not None
        return self.connection.response

    def body_received(self, data: bytes) -> None:
        """Forward a piece of the body, or buffer it until the response is complete."""
        self.progress.body_bytes += len(data)
        if self.streaming:
            self.pending.write(data)
            return
        self.chunks.append(data)
        self.pending.charge(len(data))

    def response_progressed(self) -> None:
        """Handle progress of the response: extend the time-out, and stream a long response.

        A streamed response has other limits than the time-out of an attempt that can be retried.
        """
        self.progress.note_bytes(self.pool.now())
        if self.streaming:
            return self._check_size()
        self._extend_timeout()
        if self.connection is None:
            return self._fail_on_long_body()
        response = self._response()
        if response.status != STATUS_OK:
            return self._fail_on_long_body()
        size = max(self.progress.body_bytes, response.content_length or 0)
        is_long = size > MAX_BUFFERED_BYTES
        if self.pending.streams_response or is_long or self.pool.budget.is_exhausted():
            self._stream(response)

    def _extend_timeout(self) -> None:
        """Extend the time-out of a response that has begun.

        Such a response is nearly complete, and giving it up would waste the work done. But a short response
        that stops halfway seldom continues: if a retry is possible, it is made well before the client's
        deadline.
        """
        if self.timer is None or self.timeout_at >= self.response_deadline:
            return
        pause_until = self.progress.may_pause_until(self._may_be_long())
        timeout_at = min(self.response_deadline - TIMER_RESOLUTION_S, pause_until)
        if timeout_at != self.timeout_at:
            self.timer.cancel()
            self.timeout_at = timeout_at
            self._start_timer()

    def _fail_on_long_body(self) -> None:
        """Fail the attempt instead of reading the long body of a response that is not forwarded."""
        if self.progress.body_bytes > MAX_BUFFERED_BYTES and not self.streaming:
            self.fail(outcomes.ERROR)

    def _check_size(self) -> None:
        """Break off an overdue response at once if it is longer than a response can be."""
        if self.progress.body_bytes > MAX_RESPONSE_BYTES:
            self.check_stream(self.progress.last_at)

    def _stream(self, response: ResponseReader) -> None:
        self._stop_timer()
        self.pool.streamed_attempts.add(self)
        self.pool.engine.response_started(self)
        # Only for streaming classes, a response that has begun has no deadline.
        if not self.pending.streams_response:
            time_left_s = self.pending.deadline + OVERTIME_S - self.pool.now()
            self.timer = self.pool.clock.call_later(time_left_s, self._stream_timed_out)
        self.pending.begin(response.fields, response.content_length)
        chunks = self.chunks
        self.chunks = []
        self.pending.release()
        for data in chunks:
            self.pending.write(data)
        if self.pending.write_blocked():
            self.pause()  # the client may have been slow before this response began

    def _stream_timed_out(self) -> None:
        """Break off a streamed response past its deadline, unless it is a long one, which may go on."""
        self.timer = None
        if not self._may_continue(self.pool.now()):
            self.break_off()

    def _may_continue(self, now: float) -> bool:
        overdue_s = now - self.pending.deadline
        stated_bytes = self._response().content_length
        progress = self.progress
        return may_continue(StreamProgress(stated_bytes, progress.body_bytes, overdue_s, progress.active_s))

    def overtime_s(self, now: float) -> float:
        """Return for how many seconds a streamed response has gone on after its deadline and OVERTIME_S.

        Below 0 before that moment, and for a streaming class, whose responses have no deadline. now: seconds
        on the engine's clock.
        """
        if self.pending.streams_response:
            return -math.inf
        return now - self.pending.deadline - OVERTIME_S

    def check_stream(self, now: float) -> None:
        """Fail a streamed attempt that has stalled, or that is overdue and may not go on.

        It has stalled if its upstream has been silent for too long and the client is not slow.
        """
        if self.ended:
            return
        if now - self.progress.last_at > STREAM_STALL_S and not self.pending.write_blocked():
            self.fail(outcomes.RESET)
        elif self.overtime_s(now) > 0.0 and not self._may_continue(now):
            self.break_off()

    def held_bytes(self) -> int:
        """Return how many bytes of a streamed response wait in this process for a slow client."""
        return self.pending.held_bytes()

    def break_off(self) -> None:
        """End a streamed response that may never end; its client sees that it is incomplete."""
        self.fail(outcomes.CANCELLED if self.pending.write_blocked() else outcomes.TIMED_OUT)

    def pause(self) -> None:
        """Stop reading a streamed response, as its client reads more slowly."""
        self.progress.last_at = self.pool.now()
        if self.connection is not None:
            self.connection.pause_reading()

    def resume(self) -> None:
        """Continue to read a streamed response."""
        self.progress.last_at = self.pool.now()
        if self.connection is not None:
            self.connection.resume_reading()

    # ---- the end

    def response_completed(self) -> None:
        """End with the outcome that the complete response has."""
        assert self.connection is not None
        response = self._response()
        if response.status == STATUS_OK:
            code = outcomes.OK
        elif response.is_rejection():
            code = outcomes.REJECTED
        else:
            code = outcomes.ERROR
        self._detach(keep=self.connection.is_reusable())
        self._report_outcome(code, response)

    def fail(self, code: str) -> None:
        """End with this outcome, without a complete response."""
        if self.ended:
            return
        response = self._response() if self.connection is not None else None
        if self.streaming:
            self._log_broken_stream(code)
        self._detach(keep=False)
        self._report_outcome(code, response)

    def _log_broken_stream(self, code: str) -> None:
        identity = cast("engine.PendingRequest", self.pending).correlation_id
        overdue_s = self.pool.now() - self.pending.deadline
        self.pool.engine.log.line(
            "stream",
            f"{identity}: {code} after {self.progress.body_bytes} bytes, {overdue_s:+.3f} s from its time",
        )

    def _report_outcome(self, code: str, response: ResponseReader | None) -> None:
        self.pool.streamed_attempts.discard(self)
        core = self.pool.engine
        if response is None:
            return core.attempt_ended(self, code)
        if code == outcomes.OK:
            return core.attempt_ended(
                self, code, CompleteResponse(response.fields, self.chunks), response.report
            )
        stage = "in its answer" if response.head_bytes else "unanswered"
        report = response.report if response.status else ()
        faulted = code == outcomes.ERROR and response.faults_request()
        core.attempt_ended(self, code, None, report, faulted, stage)

    def _detach(self, keep: bool) -> None:
        """Release timer, task and connection; keep: the connection can carry another attempt."""
        self.ended = True
        self._stop_timer()
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        connection = self.connection
        self.connection = None
        if connection is None:
            return
        connection.attempt = None
        if keep:
            connection.resume_reading()  # its client may have been slow up to the response's last byte
            self.upstream.keep_idle(connection)
        else:
            connection.close()
