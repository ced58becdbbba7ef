"""A connection to an upstream; it carries one attempt at a time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Protocol, cast

from quartzford.backends import outcomes
from quartzford.backends.bulk_reads import BulkReads
from quartzford.backends.response_reader import STATUS_OK, ResponseReader
from quartzford.engine import Body, ReadBuffer
from quartzford.engine.read_buffer import READ_BYTES, SHORT_READ_BYTES

HOLD_UP_THRESHOLD_S = 0.02  # if a timer is late by this much, the event loop was held up
WHOLE_READS = (READ_BYTES, SHORT_READ_BYTES)  # after as many bytes there are probably more
MAX_JOINED_BYTES = 64 * 1024  # a body up to this length is joined with its head for one write


def is_connected(sock: socket.socket) -> bool:
    """Return whether the system reports the connection as established at this moment."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class CarriedAttempt(Protocol):
    """The attempt that a connection carries, as the connection calls it."""

    def body_received(self, data: bytes) -> None:
        """Receive a piece of the response's body."""

    def response_progressed(self) -> None:
        """Called when bytes of a response that is not complete yet have been read."""

    def response_completed(self) -> None:
        """Called when the response is complete."""

    def fail(self, code: str) -> None:
        """End the attempt with this outcome, without a complete response."""


class ConnectionOwner(Protocol):
    """The upstream of a connection, as the connection calls it."""

    name: str

    @property
    def read_buffer(self) -> ReadBuffer:
        """The buffer that bytes are read into."""

    @property
    def bulk_reads(self) -> BulkReads:
        """The turns of connections with more to read."""

    @property
    def report_names(self) -> tuple[str, ...]:
        """Names of the values of a load report, in the order of the settings."""

    def connection_opened(self, connection: Connection) -> None:
        """Called when the connection has a transport."""

    def connection_closed(self, connection: Connection) -> None:
        """Called when the connection has lost its transport, or failed to get one."""

    def request_sent(self) -> None:
        """Called when the system has accepted the last byte of an attempt's request."""

    def drop_idle(self, connection: Connection) -> None:
        """Called when an idle connection has ended."""

    def surplus_received(self, connection: Connection) -> None:
        """Called when bytes have arrived that belong to no request."""


class Connection(asyncio.BufferedProtocol):
    """One connection; in use while `attempt` is set, otherwise one of its owner's idle connections.

    flushed: the system has accepted the request's last byte. idle_since: seconds on the engine's clock.
    """

    __slots__ = (
        "owner",
        "sock",
        "transport",
        "attempt",
        "response",
        "idle_since",
        "flushed",
        "reused",
        "_read_buffer",
        "_client_is_slow",
        "_waits_for_turn",
        "_reading_paused",
    )
    transport: asyncio.Transport

    def __init__(self, owner: ConnectionOwner, sock: socket.socket) -> None:
        self.owner = owner
        self.sock = sock
        self.attempt: CarriedAttempt | None = None
        self.response: ResponseReader | None = None  # the response to the last attempt
        self.idle_since = 0.0
        self.flushed = False
        self.reused = False
        self._read_buffer = owner.read_buffer
        self._client_is_slow = False
        self._waits_for_turn = False
        self._reading_paused = False

    @property
    def status(self) -> int:
        """The status of the last response; 0 if there is none."""
        return self.response.status if self.response is not None else 0

    async def open(
        self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], time_out_s: float
    ) -> None:
        """Connect the socket and create its transport; on an error, such as OSError, close it and raise."""
        handed_to_loop = False  # once True, the loop closes the socket
        try:
            self.sock.setblocking(False)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._connect(loop, address, time_out_s)
            handed_to_loop = True
            await loop.create_connection(lambda: self, sock=self.sock)
        except BaseException:
            # The loop closes the transport of a cancelled call without calling `connection_lost`.
            self.owner.connection_closed(self)
            if handed_to_loop:
                self.sock.detach()
            else:
                self.sock.close()
            raise

    async def _connect(
        self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], time_out_s: float
    ) -> None:
        """Connect the socket. If the event loop is held up at the time limit, extend it by as much."""
        limit = loop.time() + time_out_s
        try:
            async with asyncio.timeout(time_out_s):
                return await loop.sock_connect(self.sock, address)
        except TimeoutError:
            if is_connected(self.sock):
                return
            held_up_s = loop.time() - limit
            if held_up_s < HOLD_UP_THRESHOLD_S:
                raise
        async with asyncio.timeout(held_up_s):
            await loop.sock_connect(self.sock, address)  # continues the connect that is in progress

    def is_usable(self) -> bool:
        """Return whether the connection is open, with no EOF, reset or unexpected byte waiting to be read."""
        return not self.transport.is_closing() and not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Return whether bytes, an EOF or a reset have arrived that the event loop has not read yet."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def is_reusable(self) -> bool:
        """Return whether another request may be sent after the response that is now complete."""
        assert self.response is not None
        return not self.response.broken and self.flushed and not self.transport.is_closing()

    def pause_reading(self) -> None:
        """Stop reading for a slow client: what the upstream sends stays in the kernel's buffer."""
        self._client_is_slow = True
        self._update_reading()

    def resume_reading(self) -> None:
        """Resume reading, if it was stopped for a slow client."""
        self._client_is_slow = False
        self._update_reading()

    def resume_bulk_read(self) -> None:
        """Read on: the connection has waited for its turn."""
        self._waits_for_turn = False
        self._update_reading()

    def _update_reading(self) -> None:
        paused = self._client_is_slow or self._waits_for_turn
        if paused == self._reading_paused or self.transport.is_closing():
            return
        self._reading_paused = paused
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def close(self) -> None:
        """Close the connection at once."""
        self.attempt = None
        if self.transport.is_closing():
            return
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.transport.abort()

    def attach(self, attempt: CarriedAttempt) -> None:
        """Use the connection for this attempt; nothing is written yet."""
        self.attempt = attempt
        # Each response gets a new reader, so that no state of an earlier response remains.
        if self.response is not None:
            self.response.release()
        self.response = ResponseReader(self.owner.report_names, self._body_received)

    def send(self, head: bytes, body: Body) -> None:
        """Write the request, and note whether the system has accepted all of it."""
        if not body.size:
            self.transport.write(head)
        elif body.size <= MAX_JOINED_BYTES:
            self.transport.write(b"".join((head, *body.pieces())))
        else:
            self.transport.writelines((head, *body.pieces()))
        self.flushed = not self.transport.is_closing() and not self.transport.get_write_buffer_size()
        if self.flushed:
            self.owner.request_sent()

    # ---- asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and have `resume_writing` called when the last byte has been accepted."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self.owner.connection_opened(self)

    def resume_writing(self) -> None:
        """Note that the system has accepted the request's last byte."""
        if not self.flushed and self.attempt is not None:
            self.owner.request_sent()
        self.flushed = True

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next read."""
        return self._read_buffer.writable()

    def buffer_updated(self, size: int) -> None:
        """Parse bytes of the response; close the connection if it is idle."""
        data = self._read_buffer.read(size)
        attempt = self.attempt
        response = self.response
        if attempt is None or response is None:
            self.owner.surplus_received(self)
            return self.close()
        response.feed(data)
        if self.attempt is attempt:
            self._report_progress(attempt, response, size)
        if size in WHOLE_READS and not self._waits_for_turn:
            self._waits_for_turn = True
            self._update_reading()
            self.owner.bulk_reads.wait(self)

    def _report_progress(self, attempt: CarriedAttempt, response: ResponseReader, size: int) -> None:
        if response.status == STATUS_OK and not self.flushed:
            # The upstream does not have the complete request: this answers a part of it, or another request.
            return attempt.fail(outcomes.RESET)
        if response.complete:
            return attempt.response_completed()
        if response.head_is_too_long(size) or response.broken:
            return attempt.fail(outcomes.RESET)
        attempt.response_progressed()

    def _body_received(self, data: bytes) -> None:
        if self.attempt is not None:
            self.attempt.body_received(data)

    def eof_received(self) -> None:
        """Handle the upstream's EOF."""
        self._connection_ended(clean=True)

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the end of the connection, closed by either side."""
        self.owner.connection_closed(self)
        self._connection_ended(clean=error is None)
        if self.response is not None:
            self.response.release()
            self.response = None

    def _connection_ended(self, clean: bool) -> None:
        """End the attempt, if there is one; a clean end completes a response of no stated length."""
        attempt = self.attempt
        response = self.response
        if attempt is None or response is None:
            return self.owner.drop_idle(self)
        if clean and self.flushed and response.is_close_delimited():
            response.complete_on_close()
            return attempt.response_completed()
        attempt.fail(outcomes.RESET if self.flushed or response.status else outcomes.CONNECT_FAILED)
