"""Listening sockets and accepting connections from them.

When accept(2) fails with ENFILE or EMFILE, the event loop's own server closes the waiting connections. The
listener here leaves them in the kernel's accept queue, and retries after a short pause.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from collections.abc import Callable, Sequence
from typing import TypeVar

from quartzford.engine import Clock, Handle
from quartzford.protocols.socketerrors import is_exhausted

Address = tuple[str, int]
Listening = TypeVar("Listening")
ProtocolFactory = Callable[[], asyncio.BaseProtocol]

LISTEN_RETRY_TIMEOUT_S = 5.0  # limit of retries to open listening sockets without free descriptors or memory
MAX_ACCEPT_S = 0.002  # of a turn of the event loop
EXHAUSTED_RETRY_S = 0.02  # delay after a call that failed for lack of descriptors or memory
# accept(2) returns errors that were pending on the connection it dequeued; the next connection may be sound.
PER_CONNECTION_ERRNOS = frozenset(
    (
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    )
)


def bind(address: Address, backlog: int, shared: bool = False) -> socket.socket:
    """Return a socket listening on the first address of the host name. Raises OSError if it is not available.

    shared: other processes may listen on the same address.
    """
    first = socket.getaddrinfo(*address, type=socket.SOCK_STREAM)[0]
    return _open_listening_socket(first[0], first[4], backlog, shared)


def bind_all_addresses(address: Address, backlog: int, shared: bool = False) -> list[socket.socket]:
    """Return sockets listening on all addresses of the host name; an empty name means any address.

    Raises OSError, and leaves no socket open, if one of the addresses is not available.
    """
    host, port = address
    address_infos = socket.getaddrinfo(host or None, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
    listening: list[socket.socket] = []
    try:
        for family, _, _, _, socket_address in dict.fromkeys(address_infos):
            listening.append(_open_listening_socket(family, socket_address, backlog, shared))
    except BaseException:
        for sock in listening:
            sock.close()
        raise
    return listening


def _open_listening_socket(family: int, socket_address: object, backlog: int, shared: bool) -> socket.socket:
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        if family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.bind(socket_address)  # type: ignore[arg-type]
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    return sock


async def listen_with_retries(listen: Callable[[], Listening]) -> Listening:
    """Return the result of `listen`, retried while descriptors or memory are exhausted.

    Raises its OSError if that lasts for longer than LISTEN_RETRY_TIMEOUT_S, and any other OSError at once.
    """
    retry_until = time.monotonic() + LISTEN_RETRY_TIMEOUT_S
    while True:
        try:
            return listen()
        except OSError as error:
            if not is_exhausted(error) or time.monotonic() > retry_until:
                raise
        await asyncio.sleep(EXHAUSTED_RETRY_S)


async def open_connection(
    loop: asyncio.AbstractEventLoop, factory: ProtocolFactory, connection: socket.socket
) -> None:
    """Create a transport and a protocol for a connected socket; close the socket if that fails."""
    try:
        await loop.connect_accepted_socket(factory, connection)
    except OSError:
        connection.close()


class Listener:
    """Accepts connections from listening sockets between `start` and `stop`; it owns the sockets."""

    def __init__(
        self,
        sockets: Sequence[socket.socket],
        factory: ProtocolFactory,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        has_room: Callable[[], bool] = lambda: False,
    ) -> None:
        """factory: creates the protocol object of each connection.

        has_room: returns whether another connection can be taken without ending one. If not, one is accepted
        in a turn of the event loop, so that what the last one has sent is read before another one comes.
        """
        self.has_room = has_room
        self.sockets = tuple(sockets)
        self.factory, self.clock, self.loop = factory, clock, loop
        self.accepting = False
        self.closed = False
        self._opening: set[asyncio.Task[None]] = set()
        self._pauses: dict[socket.socket, Handle] = {}
        for sock in self.sockets:
            sock.setblocking(False)

    @property
    def opening_count(self) -> int:
        """The number of accepted connections whose connection_made() has not been called yet."""
        return len(self._opening)

    def start(self) -> None:
        """Start accepting connections."""
        if self.accepting:
            return
        self.accepting = True
        for sock in self.sockets:
            self.loop.add_reader(sock, self._accept, sock)

    def stop(self) -> None:
        """Stop accepting: new connections wait in the accept queue. Accepted connections are still opened."""
        if not self.accepting:
            return
        self.accepting = False
        for sock in self.sockets:
            self.loop.remove_reader(sock)
        for pause in self._pauses.values():
            pause.cancel()
        self._pauses.clear()

    def close(self) -> None:
        """Stop accepting and close the sockets; the kernel resets the connections in the accept queue."""
        self.stop()
        self.closed = True
        for sock in self.sockets:
            sock.close()

    async def opened(self) -> None:
        """Wait until connection_made() has been called for all accepted connections."""
        if self._opening:
            await asyncio.wait(self._opening)

    def _accept(self, sock: socket.socket) -> None:
        """Accept for MAX_ACCEPT_S; the event loop calls again while others wait in the queue."""
        accept_until = self.clock.now() + MAX_ACCEPT_S
        while self._accept_one(sock) and self.has_room() and self.clock.now() < accept_until:
            pass

    def _accept_one(self, sock: socket.socket) -> bool:
        """Accept one connection; return whether another one may wait."""
        try:
            connection, _ = sock.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno in PER_CONNECTION_ERRNOS:
                return True
            self._pause(sock)
            return False
        connection.setblocking(False)
        task = self.loop.create_task(open_connection(self.loop, self.factory, connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return True

    def _pause(self, sock: socket.socket) -> None:
        self.loop.remove_reader(sock)
        self._pauses[sock] = self.clock.call_later(EXHAUSTED_RETRY_S, self._resume, sock)

    def _resume(self, sock: socket.socket) -> None:
        del self._pauses[sock]
        self.loop.add_reader(sock, self._accept, sock)
