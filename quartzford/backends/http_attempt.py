"""One attempt of one request at one upstream, on one connection."""

from __future__ import annotations

import asyncio
import socket
from typing import NamedTuple, Protocol, cast

from quartzford import engine
from quartzford.backends import outcomes
from quartzford.backends.connection_pool import ConnectionPool, Upstream
from quartzford.backends.response_reader import SERVED, ResponseReader
from quartzford.backends.upstream_connection import HELD_UP_S, MAX_JOINED_BYTES, Connection
from quartzford.engine import Handle
from quartzford.protocols.socketerrors import is_local_to_connect

TIMER_RESOLUTION_S = 0.001  # what the loop's timers are exact to
MAX_BUFFERED_BYTES = 64 * 1024  # longer responses are streamed: a shorter one that breaks can be retried
SEND_ALLOWANCE_S = 0.05  # a request's last byte leaves within this of its first, or the attempt ends
LONG_SEND_ALLOWANCE_SHARE = 0.5  # of the time left, instead, for a body longer than MAX_JOINED_BYTES
MAX_BODY_PAUSE_S = 0.15  # between two pieces of a response that could still be retried
STREAM_OVERTIME_S = 0.4  # past the request's deadline, for the last bytes of a streamed response
STREAM_STALL_S = 4.0  # a long response pauses for a tenth of a second; one this silent is broken


class CompleteResponse(NamedTuple):
    """A complete 200 response. fields: as they are forwarded. chunks: the body in pieces."""

    fields: list[bytes]
    chunks: list[bytes]


class HttpCall(Protocol):
    """What an attempt needs of the request it is made for.

    deadline: on the engine's clock, seconds. streams_response: the response is passed on as it comes.
    """

    deadline: float
    body: bytes | bytearray
    streams_response: bool

    def upstream_head(self, left: float) -> bytes:
        """The request's head, with a deadline of `left` seconds for the upstream."""

    def charge(self, size: int) -> None:
        """Hold so many bytes of a response for this request (fewer, if below 0)."""

    def release(self) -> None:
        """Hold nothing for this request any more."""

    def begin(self, fields: list[bytes], length: int | None) -> None:
        """Write the head of a streamed response; length: of its body in bytes, None where not stated."""

    def write(self, data: bytes) -> None:
        """Write a piece of a streamed response's body."""

    def write_blocked(self) -> bool:
        """The client reads its response more slowly than it comes."""

    def client_connected(self) -> bool:
        """Whether the client is still connected, by the system's word at this moment."""


class Attempt(engine.Attempt):
    """One attempt: connects if it must, writes the request, reads the response, ends with one outcome.

    finish_by: until when a response that has begun by `timeout_at` is waited for. last_progress: when bytes
    of the response came last, or its client read on. Both on the engine's clock, seconds.
    """

    __slots__ = (
        "pool",
        "upstream",
        "finish_by",
        "timer",
        "connecting",
        "connection",
        "chunks",
        "size",
        "last_progress",
        "read_again",
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
        finish: float,
    ) -> None:
        super().__init__(pending, number, upstream.name, chosen_at, timeout_at)
        self.pool = pool
        self.upstream = upstream
        self.finish_by = finish
        self.timer: Handle | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.connection: Connection | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.last_progress = chosen_at
        self.read_again = False  # the loop has read what came during a hold-up at `timeout_at`

    # ---- the connection

    def start(self) -> None:
        """Take an idle connection, or make one; where neither can be had, end with NOT_SENT."""
        if self.timeout_at - self.pool.now() < TIMER_RESOLUTION_S:
            self.pool.clock.call_soon(self.fail, outcomes.NOT_SENT)
            return
        self._arm()
        connection = self.upstream.take()
        if connection is not None:
            connection.reused = True
            self._write(connection)
        elif self.pool.may_connect():
            self.connecting = self.pool.loop.create_task(self._connect())
        else:
            self.pool.clock.call_soon(self.fail, outcomes.NOT_SENT)

    def _arm(self) -> None:
        self.read_again = False
        self.timer = self.pool.clock.call_later(self.timeout_at - self.pool.now(), self._timed_out)

    def _disarm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    async def _connect(self) -> None:
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:  # no descriptor or memory is left, which is no fault of the upstream's
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
        if self.over:
            return self.upstream.put(connection)
        if not self.upstream.ready or not self.pool.engine.may_begin(self):
            self.upstream.put(connection)
            return self.fail(outcomes.NOT_SENT)
        self._write(connection)

    # ---- the request

    def _write(self, connection: Connection) -> None:
        self.connection = connection
        connection.begin(self)
        now = self.pool.now()  # read right before the bytes leave: the deadline passed on is true then
        if self.timeout_at - now < TIMER_RESOLUTION_S:
            self._give_back(connection)
            return self.fail(outcomes.NOT_SENT)
        time_left = self._upstream_time_left(now)
        head = self.pending.upstream_head(time_left)
        # Behind the last reading of the clock: the loop may have been held up since the client disconnected.
        if not self.pending.client_connected():
            self._give_back(connection)
            return self.pool.engine.client_disconnected(cast("engine.PendingRequest", self.pending))
        self.written_at = now
        connection.send(head, self.pending.body)
        if not connection.flushed:
            last_byte_within = min(
                self.pool.engine.may_write_for(self), self.pending.deadline - time_left - now
            )
            self.pool.clock.call_later(last_byte_within, self._check_flushed)

    def _give_back(self, connection: Connection) -> None:
        """Return a connection on which nothing was written."""
        connection.attempt = None
        self.connection = None
        self.upstream.put(connection)

    def _upstream_time_left(self, now: float) -> float:
        """Seconds to pass on: at most what the client has left once the request's last byte has gone out.

        The system may take the bytes more slowly than they come, so that the last leaves well after this
        moment. An allowance is made for that, and `_check_flushed` ends what takes longer.
        """
        left = self.pending.deadline - now
        if len(self.pending.body) > MAX_JOINED_BYTES:
            allowance = LONG_SEND_ALLOWANCE_SHARE * left
        else:
            allowance = min(SEND_ALLOWANCE_S, left / 2)
        return min(self.timeout_at - now, left - allowance)

    def _check_flushed(self) -> None:
        """End the attempt if the request's last byte has not left: the upstream never has it complete."""
        if not self.over and self.connection is not None and not self.connection.flushed:
            self.fail(outcomes.CONNECT_FAILED)

    def _timed_out(self) -> None:
        self.timer = None
        now = self.pool.now()
        if now < self.timeout_at - TIMER_RESOLUTION_S:
            return self._arm()
        if now - self.timeout_at > HELD_UP_S and not self.read_again:
            # What came meanwhile is unread: it is not to be taken for late.
            self.read_again = True
            self.timer = self.pool.clock.call_later(TIMER_RESOLUTION_S, self._timed_out)
            return
        if self.connection is None:
            return self.fail(outcomes.CONNECT_FAILED)
        response = self._response()
        unsized = response.status == SERVED and response.length is None
        if unsized and self.size and self.pool.now() - self.last_progress < MAX_BODY_PAUSE_S:
            return self._stream(response)
        self.fail(outcomes.TIMED_OUT)

    # ---- the response

    def _response(self) -> ResponseReader:
        """Of the connection that carries this attempt."""
        assert self.connection is not None
        assert self.connection.response is not None
        return self.connection.response

    def body_received(self, data: bytes) -> None:
        """Pass a piece of the body on, or hold it until the response is complete."""
        if self.streaming:
            self.pending.write(data)
            return
        self.chunks.append(data)
        self.size += len(data)
        self.pending.charge(len(data))

    def response_progressed(self) -> None:
        """More of the response has come: begin to stream one that is long."""
        self.last_progress = self.pool.now()
        self._extend()
        if self.connection is None:
            return self._refuse_long_body()
        response = self._response()
        if self.streaming or response.status != SERVED:
            return self._refuse_long_body()
        is_long = self.size > MAX_BUFFERED_BYTES or (response.length or 0) > MAX_BUFFERED_BYTES
        if self.pending.streams_response or is_long or self.pool.budget.is_exhausted():
            self._stream(response)

    def _extend(self) -> None:
        """Wait for the end of a response that has begun.

        It is nearly there: to give it up would waste the work done. But one that stops half way seldom goes
        on, so where a retry is possible, that is made well before the client's patience ends.
        """
        if self.timer is not None and self.timeout_at < self.finish_by:
            self.timer.cancel()
            self.timeout_at = min(self.finish_by - TIMER_RESOLUTION_S, self.last_progress + MAX_BODY_PAUSE_S)
            self._arm()

    def _refuse_long_body(self) -> None:
        """The long body of a response that is not forwarded is not read."""
        if self.size > MAX_BUFFERED_BYTES and not self.streaming:
            self.fail(outcomes.ERROR)

    def _stream(self, response: ResponseReader) -> None:
        self._disarm()
        self.pool.streams.add(self)
        self.pool.engine.started(self)
        # Only streamed classes have no deadline once their response has begun.
        if not self.pending.streams_response:
            left = self.pending.deadline + STREAM_OVERTIME_S - self.pool.now()
            self.timer = self.pool.clock.call_later(left, self._stream_timed_out)
        self.pending.begin(response.fields, response.length)
        chunks = self.chunks
        self.chunks = []
        self.pending.release()
        for data in chunks:
            self.pending.write(data)

    def _stream_timed_out(self) -> None:
        """End a response past its deadline, which may never end; the client sees that it is incomplete."""
        self.timer = None
        self.fail(outcomes.CANCELLED if self.pending.write_blocked() else outcomes.TIMED_OUT)

    def end_if_stalled(self, now: float) -> None:
        """Fail a streamed attempt whose upstream has been silent, unless it waits for its client."""
        if now - self.last_progress > STREAM_STALL_S and not self.pending.write_blocked():
            self.fail(outcomes.RESET)

    def pause(self) -> None:
        """Stop reading a streamed response: its client reads more slowly."""
        self.last_progress = self.pool.now()
        if self.connection is not None and not self.connection.transport.is_closing():
            self.connection.transport.pause_reading()

    def resume(self) -> None:
        """Read a streamed response again."""
        self.last_progress = self.pool.now()
        if self.connection is not None and not self.connection.transport.is_closing():
            self.connection.transport.resume_reading()

    # ---- the end

    def response_completed(self) -> None:
        """End with the outcome that a complete response stands for."""
        assert self.connection is not None
        response = self._response()
        if response.status == SERVED:
            code = outcomes.OK
        elif response.is_rejection():
            code = outcomes.REJECTED
        else:
            code = outcomes.ERROR
        self._detach(keep=self.connection.is_reusable())
        self._report(code, response)

    def fail(self, code: str) -> None:
        """End with this outcome and no complete response."""
        if self.over:
            return
        response = self._response() if self.connection is not None else None
        self._detach(keep=False)
        self._report(code, response)

    def _report(self, code: str, response: ResponseReader | None) -> None:
        self.pool.streams.discard(self)
        core = self.pool.engine
        if response is None:
            return core.ended(self, code)
        if code == outcomes.OK:
            return core.ended(self, code, CompleteResponse(response.fields, self.chunks), response.report)
        stage = "in its answer" if response.head_bytes else "unanswered"
        report = response.report if response.status else ()
        faulted = code == outcomes.ERROR and response.faults_request()
        core.ended(self, code, None, report, faulted, stage)

    def _detach(self, keep: bool) -> None:
        """Let go of timer, task and connection; keep: the connection may carry another attempt."""
        self.over = True
        self._disarm()
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        connection = self.connection
        self.connection = None
        if connection is None:
            return
        connection.attempt = None
        if keep:
            self.upstream.put(connection)
        else:
            connection.close()
