"""The HTTP/1.1 front: its listener, its client connections and the limit on their number."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

from quartzford.engine import Backend, BufferBudget, Clock, Engine, ReadBuffer
from quartzford.fronts.client_connection import Client
from quartzford.fronts.client_timeouts import check_timeouts, end_memory_pauses
from quartzford.fronts.input_turns import InputTurns
from quartzford.fronts.listener import Listener, bind, open_connection
from quartzford.fronts.memory_relief import end_stalled_readers, reject_partial_requests
from quartzford.fronts.responses import UNAVAILABLE

DEFAULT_MAX_CLIENTS = 16
DEFAULT_RESERVED_BYTES = 32 * 1024
AMPLE_ROOM_SHARE = 0.25  # of the room for the account, that the reserve of all clients may take
# Connections allowed beyond max_clients while rejected ones, closed to make room, receive their responses.
MAX_LINGERING_CLIENTS = 16
# For connections whose reading is paused: the event loop does not report that these have ended.
PAUSE_CHECK_INTERVAL_S = 0.04
BACKLOG = 2048


class HttpFront:
    """Accepts client connections and limits their number.

    clients: the open connections, least recently used first. draining: connections are closed after their
    responses. rejecting: the process is about to exit, and no further requests are read. listener: stays open
    while accepting is stopped, so that the kernel keeps its accept queue. transfer_to_successor: passes the
    descriptor of an idle connection to the successor and returns whether it was accepted; None without a
    successor. reserved_bytes: of its input, that each connection may hold in any case. paused_clients:
    clients whose bytes are not read for now and stay in the kernel's buffers.
    """

    def __init__(
        self, engine: Engine, backend: Backend, budget: BufferBudget, clock: Clock, ready: Callable[[], bool]
    ) -> None:
        """ready: returns whether requests can be served, which health checks ask for."""
        self.engine = engine
        self.backend = backend
        self.budget = budget
        self.read_buffer = ReadBuffer(budget)
        self.input_turns = InputTurns(clock)
        self.clock = clock
        self.now = clock.now
        self.ready = ready
        self.clients: dict[Client, None] = {}
        self.max_clients = DEFAULT_MAX_CLIENTS
        self.reserved_bytes = DEFAULT_RESERVED_BYTES
        self.draining = False
        self.rejecting = False
        self.listener: Listener | None = None
        self.transfer_to_successor: Callable[[int], bool] | None = None
        self.paused_clients: dict[Client, None] = {}
        self.ends: Counter[str] = Counter()  # connections that this side has ended, by reason
        self._check_scheduled = False

    # ---- the listener

    def listen(
        self,
        address: tuple[str, int],
        loop: asyncio.AbstractEventLoop,
        shared: bool = False,
        listening: socket.socket | None = None,
    ) -> None:
        """Start accepting connections. Raises OSError if the address is not available.

        shared: a successor may listen on the same address while this process shuts down. listening: a socket
        that is already listening, used instead of a new one.
        """
        self.loop = loop
        listening = listening or bind(address, BACKLOG, shared)
        self.listener = Listener([listening], lambda: Client(self), self.clock, loop, self._has_room)
        self.listener.start()

    def _has_room(self) -> bool:
        """Return whether another client can be taken without ending one."""
        opening = self.listener.opening_count if self.listener is not None else 0
        return len(self.clients) + opening < self.max_clients

    @property
    def accepting(self) -> bool:
        """Whether new connections are accepted."""
        return self.listener is not None and self.listener.accepting

    def has_no_clients(self) -> bool:
        """Return whether no client is connected and no accepted connection is still being opened."""
        return not self.clients and (self.listener is None or not self.listener.opening_count)

    def resume(self) -> None:
        """Resume accepting connections, unless the listener is closed."""
        if self.listener is not None and not self.listener.closed:
            self.listener.start()

    def stop_accepting(self) -> socket.socket | None:
        """Stop accepting, and return the listening socket, None if there is none.

        New connections stay in the accept queue, for the next process that accepts from it.
        """
        if self.listener is None or self.listener.closed:
            return None
        self.listener.stop()
        return self.listener.sockets[0]

    def stop_listening(self) -> None:
        """Close the listening socket."""
        if self.listener is not None:
            self.listener.close()

    # ---- replacement

    async def adopt(self, sock: socket.socket) -> None:
        """Take over an idle connection of the predecessor."""
        await open_connection(self.loop, lambda: Client(self), sock)

    def offer_all(self) -> None:
        """Hand all idle connections over to the successor."""
        for client in list(self.clients):
            self.offer(client)

    def offer(self, client: Client) -> None:
        """Hand a connection over to the successor, unless a request or a response is in transfer on it."""
        if self.transfer_to_successor is not None and client.is_transferable():
            client.hand_over(self.transfer_to_successor)

    # ---- called by client connections

    def client_opened(self, client: Client) -> None:
        """Register a connection; if there are more than max_clients, make room for it."""
        self.clients[client] = None
        if len(self.clients) > self.max_clients:
            self._make_room(client)

    def client_used(self, client: Client) -> None:
        """Make a connection the most recently used one."""
        self.clients.pop(client, None)
        self.clients[client] = None

    def client_closed(self, client: Client) -> None:
        """Unregister a closed connection."""
        self.clients.pop(client, None)
        self.paused_clients.pop(client, None)

    def _make_room(self, newcomer: Client) -> None:
        """Close connections on which nothing is lost; failing that, reject a partial request.

        If even the limit with lingering connections is exceeded, abort the new connection unread.
        """
        while len(self.clients) > self.max_clients:
            closable = self._first_other(newcomer, Client.idle) or self._first_other(
                newcomer, Client.is_lingering
            )
            if closable is None:
                break
            del self.clients[closable]
            self.ends["closed to make room"] += 1
            closable.transport.abort()
        excess = len(self.clients) - self.max_clients
        if excess <= 0:
            return
        partial = self._first_other(newcomer, Client.has_partial_request)
        if partial is None:
            return
        if excess > MAX_LINGERING_CLIENTS:
            self.ends["closed at the limit of clients"] += 1
            newcomer.transport.abort()
        else:
            partial.reject(UNAVAILABLE)

    def _first_other(self, newcomer: Client, condition: Callable[[Client], bool]) -> Client | None:
        """Return the least recently used other connection that meets the condition and is due no response."""
        others = (client for client in self.clients if client is not newcomer)
        return next((client for client in others if condition(client) and client.has_nothing_pending()), None)

    def pause_reading(self, client: Client) -> None:
        """Stop reading from a client, and look at it periodically, as the loop reports nothing of it then."""
        client.transport.pause_reading()
        self.paused_clients[client] = None
        self._schedule_check()

    def resume_reading(self, client: Client) -> None:
        """Resume reading from a client, which was paused."""
        self.paused_clients.pop(client, None)
        client.transport.resume_reading()

    def _schedule_check(self) -> None:
        if self.paused_clients and not self._check_scheduled:
            self._check_scheduled = True
            self.clock.call_later(PAUSE_CHECK_INTERVAL_S, self._check_paused)

    def _check_paused(self) -> None:
        self._check_scheduled = False
        for client in list(self.paused_clients):
            client.end_if_disconnected()
        end_memory_pauses(list(self.paused_clients), self.budget, self.now())
        self._schedule_check()

    def unused_reserve_bytes(self, room: int) -> int:
        """Return how many bytes partly received requests together may still add in any case.

        room: for all bytes of the account. Where it is ample, a higher value is returned, without the sum.
        """
        reserved = self.reserved_bytes
        most = reserved * len(self.clients)
        if most <= AMPLE_ROOM_SHARE * room:
            return most
        held = (client.input_bytes for client in self.clients)
        return sum(max(0, reserved - size) for size in held if size)

    def free_bytes(self, size: int) -> None:
        """End connections that hold so many bytes in all.

        Partly received requests come first, as they may be sent again, then clients that have read nothing of
        their responses for a while; of each kind those that hold most.
        """
        now = self.now()
        for end in (reject_partial_requests, end_stalled_readers):
            size -= end(self.clients, size, now)
            if size <= 0:
                return

    # ---- all connections

    def pipelined_count(self) -> int:
        """Return how many complete requests wait for an earlier response on their connections."""
        return sum(len(client.pipelined_requests) for client in self.clients)

    def close_idle(self) -> None:
        """Close the connections on which no request or response is in progress."""
        for client in list(self.clients):
            client.close_if_idle()

    def reject_unfinished(self) -> None:
        """Read no further requests, and answer partly received ones with 503."""
        self.rejecting = True
        for client in list(self.clients):
            client.reject_unfinished()

    def sweep(self) -> None:
        """Close or reject clients that have exceeded a time limit."""
        now = self.now()
        for client in list(self.clients):
            check_timeouts(client, self.budget, now)
