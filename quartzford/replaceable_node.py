"""The node's part in a process replacement: it takes over from a predecessor and hands over to a successor.

Only processes that can be replaced import this module; the others save the cost of the handover code.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from quartzford.backends.http_backend import HttpBackend
from quartzford.control import ControlSide
from quartzford.decision import interface as io
from quartzford.fronts.http_front import HttpFront
from quartzford.graceful_shutdown import GracefulShutdown
from quartzford.handover_state import InheritedState, anchor_ms, capture_state, read_state
from quartzford.replacement.handover import Handover
from quartzford.replacement.replaceable import HandoverOffer
from quartzford.replacement.state import BalancerState
from quartzford.replacement.unix_socket import balancer_path
from quartzford.resource_limits import ResourceLimits, paired_limits, replaceable_limits
from quartzford.settings.configuration import Config

OFFER_INTERVAL_S = 0.02  # between two offers of idle client connections to the successor


class Inheritance(NamedTuple):
    """What a successor received from its predecessor; a field is None if it was not received."""

    listener: socket.socket | None
    state: InheritedState | None


class ReplaceableNode:
    """Takes over a node's listener, state and clients from a predecessor, and hands them to a successor."""

    def __init__(
        self,
        folder: str,
        control: ControlSide,
        front: HttpFront,
        backend: HttpBackend,
        shutdown: GracefulShutdown,
        apply_limits: Callable[[], None],
    ) -> None:
        """folder: holds the socket through which this process and its successor communicate.

        apply_limits: called when the result of `limits` has changed.
        """
        self.control = control
        self.front = front
        self.backend = backend
        self.shutdown = shutdown
        self.apply_limits = apply_limits
        config = control.config
        path = balancer_path(str(Path(folder).resolve()), config.name, config.listen)
        self.handover = Handover(self, path, control.clock, control.log, control.loop)
        control.engine.request_ids.paired_process = self.handover
        self.predecessor_busy_clients = 0  # its client connections with an open request

    def limits(self, config: Config) -> ResourceLimits:
        """Return the process's limits. While paired, two processes share the configured limits."""
        if self.handover.paired:
            return paired_limits(config, self.predecessor_busy_clients)
        return replaceable_limits(config)

    # ---- as a successor

    async def inherit(self) -> Inheritance:
        """Take over the listener and the state from the predecessor, and restore endpoints in maintenance.

        Endpoints in maintenance are also stored in a file, for a start without a predecessor.
        """
        result = await self.handover.request_handover()
        on_file = set(self.handover.maintenance_on_file())
        state = self._read_state(result.state) if result is not None and result.state is not None else None
        self._restore_maintenance(on_file, state)
        if result is None:
            return Inheritance(None, None)
        self.apply_limits()
        return Inheritance(result.listener, state)

    def _read_state(self, state: BalancerState) -> InheritedState | None:
        control = self.control
        try:
            inherited = read_state(state, control.config.discovery, anchor_ms(control.clock))
        except ValueError as error:
            control.log.line("replacement", f"invalid endpoint list in the predecessor's state: {error}")
            return None
        self.predecessor_busy_clients = inherited.busy_clients
        return inherited

    def _restore_maintenance(self, on_file: set[str], state: InheritedState | None) -> None:
        names = on_file if state is None else set(state.memory.in_maintenance)
        for name in names:
            self.control.engine.feed(io.MaintenanceChange(name, True))
        if names != on_file:  # the predecessor could not write its file
            self.handover.maintenance_file.save(self.control.engine.balancer.in_maintenance)

    def adopt_client(self, sock: socket.socket) -> None:
        """Serve an idle client connection received from the predecessor."""
        self.control.loop.create_task(self.front.adopt(sock))

    def use_full_limits(self) -> None:
        """Use the full memory and descriptor limits, after the other process has exited."""
        self.predecessor_busy_clients = 0
        self.apply_limits()

    # ---- as a predecessor

    def release_listener(self) -> HandoverOffer | None:
        """Stop accepting and return the handover offer; None if the listener is already closed."""
        listener = self.front.stop_accepting()
        if listener is None:
            return None
        self.front.draining = False  # idle connections are handed over, not closed
        self.apply_limits()
        busy_clients = sum(not client.idle() for client in self.front.clients)
        engine = self.control.engine
        request_ids = engine.request_ids.unexpired(engine.id_retention_s)
        return HandoverOffer(listener, capture_state(self.control, busy_clients), request_ids)

    def resume_serving(self) -> None:
        """Accept connections again after the successor was lost."""
        self.use_full_limits()
        self.control.engine.cancel_handover()
        self.front.resume()

    def transfer_clients(self, transfer: Callable[[int], bool] | None) -> None:
        """Start transferring idle client connections to the successor; None stops it.

        transfer: sends a connection's descriptor; returns whether it was sent.
        """
        self.front.transfer_to_successor = transfer
        if transfer is not None:
            self.backend.close_idle()
            self._offer_clients()

    def _offer_clients(self) -> None:
        if self.front.transfer_to_successor is not None:
            self.front.offer_all()
            self.control.clock.call_later(OFFER_INTERVAL_S, self._offer_clients)

    def drain(self) -> None:
        """Shut down without a successor: accept new connections briefly, answer open requests, exit."""
        self.shutdown.drain()

    def drain_to_successor(self) -> None:
        """Shut down with a successor: answer open requests, exit once no client is left."""
        self.shutdown.finish_when_idle()

    # ---- in both roles

    def adopt_request_id(self, identity: str, retention_s: float) -> None:
        """Refuse a request ID that the other process has claimed, for this many seconds."""
        self.control.engine.request_ids.adopt(identity, retention_s)

    def apply_maintenance(self, endpoint: str, in_maintenance: bool) -> None:
        """Apply a maintenance change of an endpoint that the other process received."""
        self.control.set_maintenance(endpoint, in_maintenance)
