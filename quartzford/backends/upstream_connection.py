"""A connection to an upstream, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Protocol, cast

from quartzford.backends import outcomes
from quartzford.backends.response_reader import SERVED, ResponseReader

HELD_UP_S = 0.02  # a timer later by so much found the loop held up
MAX_JOINED_BYTES = 64 * 1024  # a body up to this length is written in one piece with its head


def is_connected(sock: socket.socket) -> bool:
    """Whether the system has brought the connection up, by its word at this moment."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class CarriedAttempt(Protocol):
    """What a connection reports to the attempt that it carries."""

    def body_received(self, data: bytes) -> None:
        """A piece of the response's body."""

    def response_progressed(self) -> None:
        """Bytes of a response that is not complete yet have been read."""

    def response_completed(self) -> None:
        """The response is complete."""

    def fail(self, code: str) -> None:
        """The attempt ends with this outcome and no complete response."""


class ConnectionOwner(Protocol):
    """What a connection reports to the upstream that it leads to."""

    name: str

    @property
    def report_names(self) -> tuple[str, ...]:
        """Names of the figures in a load report, in the settings' order."""

    def connection_opened(self, connection: Connection) -> None:
        """The connection has a transport."""

    def connection_closed(self, connection: Connection) -> None:
        """The connection has none any more, or never got one."""

    def request_sent(self) -> None:
        """The last byte of an attempt's request has left."""

    def drop(self, connection: Connection) -> None:
        """An idle connection has ended, or carries bytes that belong to no request."""


class Connection(asyncio.Protocol):
    """One connection: of its owner's idle ones while `attempt` is None, else in use by that attempt.

    flushed: the system has taken the request's last byte. idle_since: on the engine's clock, seconds.
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
    )
    transport: asyncio.Transport

    def __init__(self, owner: ConnectionOwner, sock: socket.socket) -> None:
        self.owner = owner
        self.sock = sock
        self.attempt: CarriedAttempt | None = None
        self.response: ResponseReader | None = None  # of the last attempt
        self.idle_since = 0.0
        self.flushed = False
        self.reused = False

    @property
    def status(self) -> int:
        """Of the last response; 0 where none has come."""
        return self.response.status if self.response is not None else 0

    async def open(
        self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], time_out_s: float
    ) -> None:
        """Connect the socket and give it a transport; an OSError closes it."""
        handed_to_loop = False  # which closes it from then on
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
        """Connect the socket; time by which the loop was held up at the limit does not count."""
        limit = loop.time() + time_out_s
        try:
            async with asyncio.timeout(time_out_s):
                return await loop.sock_connect(self.sock, address)
        except TimeoutError:
            if is_connected(self.sock):
                return
            held_up_s = loop.time() - limit
            if held_up_s < HELD_UP_S:
                raise
        async with asyncio.timeout(held_up_s):
            await loop.sock_connect(self.sock, address)  # goes on with one that is under way

    def is_usable(self) -> bool:
        """No EOF, reset or stray byte has come that the loop has not seen yet."""
        if self.transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def is_reusable(self) -> bool:
        """Whether another request may follow the response that is complete now."""
        assert self.response is not None
        return not self.response.broken and self.flushed and not self.transport.is_closing()

    def close(self) -> None:
        """End the connection at once."""
        self.attempt = None
        if self.transport.is_closing():
            return
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.transport.abort()

    def begin(self, attempt: CarriedAttempt) -> None:
        """Carry this attempt from now on; nothing is written yet."""
        self.attempt = attempt
        # A reader for each response: nothing of an earlier one is carried over.
        if self.response is not None:
            self.response.release()
        self.response = ResponseReader(self.owner.report_names, self._body_received)

    def send(self, head: bytes, body: bytes | bytearray) -> None:
        """Write the request, and see whether the system has taken all of it."""
        if not body:
            self.transport.write(head)
        elif len(body) <= MAX_JOINED_BYTES:
            self.transport.write(head + body)
        else:
            self.transport.writelines((head, body))
        self.flushed = not self.transport.is_closing() and not self.transport.get_write_buffer_size()
        if self.flushed:
            self.owner.request_sent()

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Have `resume_writing` called as soon as the last byte has left."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self.owner.connection_opened(self)

    def resume_writing(self) -> None:
        """The system has taken the request's last byte."""
        if not self.flushed and self.attempt is not None:
            self.owner.request_sent()
        self.flushed = True

    def data_received(self, data: bytes) -> None:
        """Read on in the response; bytes on an idle connection end it."""
        attempt = self.attempt
        response = self.response
        if attempt is None or response is None:
            self.owner.drop(self)
            return self.close()
        response.feed(data)
        if self.attempt is attempt:
            self._report_progress(attempt, response, len(data))

    def _report_progress(self, attempt: CarriedAttempt, response: ResponseReader, size: int) -> None:
        if response.status == SERVED and not self.flushed:
            # No upstream has the complete request yet: this answers a part of it, or another request.
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
        """The upstream has ended its side."""
        self._ended(clean=True)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended, on either side."""
        self.owner.connection_closed(self)
        self._ended(clean=error is None)
        if self.response is not None:
            self.response.release()
            self.response = None

    def _ended(self, clean: bool) -> None:
        """A response of no stated length ends with its connection, unless that broke."""
        attempt = self.attempt
        response = self.response
        if attempt is None or response is None:
            return self.owner.drop(self)
        if clean and self.flushed and response.ends_with_connection():
            response.end_with_connection()
            return attempt.response_completed()
        attempt.fail(outcomes.RESET if self.flushed or response.status else outcomes.CONNECT_FAILED)
