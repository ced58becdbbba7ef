"""Listening sockets and the connections that are accepted from them.

The event loop's own server answers ENFILE and EMFILE from accept(2) by closing the connections that wait.
Here they stay in the kernel's queue: accepting pauses for a moment and goes on.
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

START_S = 5.0  # for as long a start waits for descriptors or memory
PAUSE_S = 0.02  # after an accept that failed for want of descriptors or memory
# accept(2) passes on errors that were pending on the connection it took from the queue: the next may be good.
NEXT_CONNECTION = frozenset(
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
    """A listening socket at the first address that the name has; OSError where it can't be had.

    shared: other processes may listen there too.
    """
    found = socket.getaddrinfo(*address, type=socket.SOCK_STREAM)[0]
    return _listening(found[0], found[4], backlog, shared)


def bind_all_addresses(address: Address, backlog: int, shared: bool = False) -> list[socket.socket]:
    """Listening sockets at all addresses that the name has, or an OSError and none; no name: any address."""
    host, port = address
    found = socket.getaddrinfo(host or None, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
    listening: list[socket.socket] = []
    try:
        for family, _, _, _, where in dict.fromkeys(found):
            listening.append(_listening(family, where, backlog, shared))
    except BaseException:
        for one in listening:
            one.close()
        raise
    return listening


def _listening(family: int, where: object, backlog: int, shared: bool) -> socket.socket:
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        if family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.bind(where)  # type: ignore[arg-type]
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    return sock


async def listen_with_retries(listen: Callable[[], Listening]) -> Listening:
    """What `listen` returns; while descriptors or memory are wanting it is tried again, for START_S."""
    until = time.monotonic() + START_S
    while True:
        try:
            return listen()
        except OSError as error:
            if not is_exhausted(error) or time.monotonic() > until:
                raise
        await asyncio.sleep(PAUSE_S)


async def open_connection(
    loop: asyncio.AbstractEventLoop, factory: ProtocolFactory, connection: socket.socket
) -> None:
    """Give a connected socket a transport and a protocol; it is closed if that fails."""
    try:
        await loop.connect_accepted_socket(factory, connection)
    except OSError:
        connection.close()


class Listener:
    """Accepts connections from listening sockets, which it owns, while it is started."""

    def __init__(
        self,
        sockets: Sequence[socket.socket],
        factory: ProtocolFactory,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """factory: makes the protocol of each connection."""
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
        """How many connections were accepted whose protocols have not been called yet."""
        return len(self._opening)

    def start(self) -> None:
        """Accept connections from now on."""
        if self.accepting:
            return
        self.accepting = True
        for sock in self.sockets:
            self.loop.add_reader(sock, self._accept, sock)

    def stop(self) -> None:
        """Accept none from now on: connections wait in the kernel's queue. What was accepted is opened."""
        if not self.accepting:
            return
        self.accepting = False
        for sock in self.sockets:
            self.loop.remove_reader(sock)
        for pause in self._pauses.values():
            pause.cancel()
        self._pauses.clear()

    def close(self) -> None:
        """Stop, and give the addresses back; what waits in the kernel's queue is reset."""
        self.stop()
        self.closed = True
        for sock in self.sockets:
            sock.close()

    async def opened(self) -> None:
        """Wait until the protocols of all accepted connections have been called."""
        if self._opening:
            await asyncio.wait(self._opening)

    def _accept(self, sock: socket.socket) -> None:
        """Take one of the connections that wait: the loop calls again for the next one."""
        try:
            connection, _ = sock.accept()
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno not in NEXT_CONNECTION:
                self._pause(sock)
            return
        connection.setblocking(False)
        task = self.loop.create_task(open_connection(self.loop, self.factory, connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def _pause(self, sock: socket.socket) -> None:
        self.loop.remove_reader(sock)
        self._pauses[sock] = self.clock.call_later(PAUSE_S, self._resume, sock)

    def _resume(self, sock: socket.socket) -> None:
        del self._pauses[sock]
        self.loop.add_reader(sock, self._accept, sock)
