"""The HTTP/1.1 front: its listener, the client connections, and the bound on them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from quartzford.engine import Backend, BufferBudget, Clock, Engine
from quartzford.fronts.client_connection import Client
from quartzford.fronts.client_timeouts import check_timeouts
from quartzford.fronts.listener import Listener, bind, open_connection
from quartzford.fronts.responses import UNAVAILABLE

DEFAULT_MAX_CLIENTS = 16
MAX_LINGERING = 16  # connections beyond the bound, while those that make room for them take their responses
DISCONNECT_CHECK_INTERVAL_S = 0.04  # of connections that are not read: the loop reports no end of these
BACKLOG = 2048


class HttpFront:
    """Accepts client connections and bounds how many there are.

    clients: the longest unused first. draining: connections are closed behind their responses. rejecting: the
    process exits, nothing more is read as a request. listener: stays open while nothing is accepted, which
    keeps its queue. transfer_to_successor: takes descriptors of idle connections. paused_clients: clients
    whose bytes are left with the system for now.
    """

    def __init__(
        self, engine: Engine, backend: Backend, budget: BufferBudget, clock: Clock, ready: Callable[[], bool]
    ) -> None:
        """ready: whether requests can be served, for health checks."""
        self.engine = engine
        self.backend = backend
        self.budget = budget
        self.clock = clock
        self.now = clock.now
        self.ready = ready
        self.clients: dict[Client, None] = {}
        self.max_clients = DEFAULT_MAX_CLIENTS
        self.draining = False
        self.rejecting = False
        self.listener: Listener | None = None
        self.transfer_to_successor: Callable[[int], bool] | None = None
        self.paused_clients: dict[Client, None] = {}

    # ---- the listener

    def listen(
        self,
        address: tuple[str, int],
        loop: asyncio.AbstractEventLoop,
        shared: bool = False,
        listening: socket.socket | None = None,
    ) -> None:
        """Accept connections from now on; OSError where the address can't be had.

        shared: a successor may listen there too, while this process ends. listening: a socket that listens
        already, in place of a new one.
        """
        self.loop = loop
        listening = listening or bind(address, BACKLOG, shared)
        self.listener = Listener([listening], lambda: Client(self), self.clock, loop)
        self.listener.start()

    @property
    def accepting(self) -> bool:
        """New connections are accepted."""
        return self.listener is not None and self.listener.accepting

    def has_no_clients(self) -> bool:
        """No client is connected, and none has been accepted that is about to be."""
        return not self.clients and (self.listener is None or not self.listener.opening_count)

    def resume(self) -> None:
        """Accept connections again."""
        if self.listener is not None and not self.listener.closed:
            self.listener.start()

    def stop_accepting(self) -> socket.socket | None:
        """Leave connections in the listener's queue, for whoever accepts there next; the listening socket."""
        if self.listener is None or self.listener.closed:
            return None
        self.listener.stop()
        return self.listener.sockets[0]

    def stop_listening(self) -> None:
        """Give the address back."""
        if self.listener is not None:
            self.listener.close()

    # ---- replacement

    async def adopt(self, sock: socket.socket) -> None:
        """Go on with an idle connection of the predecessor."""
        await open_connection(self.loop, lambda: Client(self), sock)

    def offer_all(self) -> None:
        """Hand all idle connections over."""
        for client in list(self.clients):
            self.offer(client)

    def offer(self, client: Client) -> None:
        """Hand a connection over, if nothing of a request or a response is on its way."""
        if self.transfer_to_successor is not None and client.is_transferable():
            client.hand_over(self.transfer_to_successor)

    # ---- what client connections report

    def client_opened(self, client: Client) -> None:
        """Count a connection in the bound."""
        self.clients[client] = None
        if len(self.clients) > self.max_clients:
            self._make_room(client)

    def client_used(self, client: Client) -> None:
        """Make a connection the most recently used one."""
        self.clients.pop(client, None)
        self.clients[client] = None

    def client_closed(self, client: Client) -> None:
        """Count a connection in the bound no more."""
        self.clients.pop(client, None)
        self.paused_clients.pop(client, None)

    def _make_room(self, newcomer: Client) -> None:
        """End what nothing is lost with, else answer a partial request, else close the newcomer unread."""
        while len(self.clients) > self.max_clients:
            closable = self._another(newcomer, Client.idle) or self._another(newcomer, Client.lingers)
            if closable is None:
                break
            del self.clients[closable]
            closable.transport.abort()
        excess = len(self.clients) - self.max_clients
        if excess <= 0:
            return
        partial = self._another(newcomer, Client.has_partial_request)
        if partial is None:
            return
        if excess > MAX_LINGERING:
            newcomer.transport.abort()
        else:
            partial.reject(UNAVAILABLE)

    def _another(self, newcomer: Client, condition: Callable[[Client], bool]) -> Client | None:
        """The first of the other connections, longest unused first, on which no response is due."""
        others = (client for client in self.clients if client is not newcomer)
        return next((client for client in others if condition(client) and client.has_nothing_pending()), None)

    def pause_reading(self, client: Client) -> None:
        """Leave a client's bytes with the system for now; the loop does not report its end meanwhile."""
        client.transport.pause_reading()
        if not self.paused_clients:
            self.clock.call_later(DISCONNECT_CHECK_INTERVAL_S, self._check_unread)
        self.paused_clients[client] = None

    def resume_reading(self, client: Client) -> None:
        """Read a client's bytes again, if they were left."""
        if client in self.paused_clients:
            del self.paused_clients[client]
            client.transport.resume_reading()

    def _check_unread(self) -> None:
        for client in list(self.paused_clients):
            client.end_if_disconnected()
        if self.paused_clients:
            self.clock.call_later(DISCONNECT_CHECK_INTERVAL_S, self._check_unread)

    # ---- all connections

    def pipelined_count(self) -> int:
        """Complete requests that wait behind others of their connections."""
        return sum(len(client.pipelined_requests) for client in self.clients)

    def close_idle(self) -> None:
        """Close the connections that nothing is lost with."""
        for client in list(self.clients):
            client.close_if_idle()

    def reject_unfinished(self) -> None:
        """Read nothing more as a request; one of which a part was read is answered 503."""
        self.rejecting = True
        for client in list(self.clients):
            client.reject_unfinished()

    def sweep(self) -> None:
        """End what has taken too long."""
        now = self.now()
        for client in list(self.clients):
            check_timeouts(client, self.budget, now)
