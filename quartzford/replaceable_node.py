"""The node's side of a replacement, as its predecessor's successor and as a predecessor itself.

Imported only by processes that may be replaced: the others do without what a handover needs.
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
from quartzford.resource_limits import ResourceLimits, full_limits, paired_limits
from quartzford.settings.configuration import Config

OFFER_INTERVAL_S = 0.02  # idle client connections are offered to the successor so often


class Inheritance(NamedTuple):
    """What a successor got of its predecessor; None for what it did not get."""

    listener: socket.socket | None
    state: InheritedState | None


class ReplaceableNode:
    """A node that can take over from its predecessor, and give all it has to a successor."""

    def __init__(
        self,
        folder: str,
        control: ControlSide,
        front: HttpFront,
        backend: HttpBackend,
        shutdown: GracefulShutdown,
        apply_limits: Callable[[], None],
    ) -> None:
        """folder: where this process and its successor find each other.

        apply_limits: brings `limits` into force, which have changed.
        """
        self.control = control
        self.front = front
        self.backend = backend
        self.shutdown = shutdown
        self.apply_limits = apply_limits
        config = control.config
        path = balancer_path(str(Path(folder).resolve()), config.name, config.listen)
        self.handover = Handover(self, path, control.clock, control.log, control.loop)
        self.predecessor_busy_clients = 0  # client connections with a request open that it still has

    def limits(self, config: Config) -> ResourceLimits:
        """The process's bounds; two processes share the configuration's while they are paired."""
        if self.handover.paired:
            return paired_limits(config, self.predecessor_busy_clients)
        return full_limits(config)

    # ---- as a successor

    async def inherit(self) -> Inheritance:
        """Take over what the predecessor gives; endpoints in maintenance are also on file."""
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
            control.log.line("replacement", f"the list handed over can't be read: {error}")
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
        """Serve an idle client connection of the predecessor."""
        self.control.loop.create_task(self.front.adopt(sock))

    def use_full_limits(self) -> None:
        """Use memory and descriptors in full: the predecessor is gone."""
        self.predecessor_busy_clients = 0
        self.apply_limits()

    # ---- as a predecessor

    def release_listener(self) -> HandoverOffer | None:
        """Accept no connection from now on; None where the listener is closed already."""
        listener = self.front.stop_accepting()
        if listener is None:
            return None
        self.front.draining = False  # idle connections are handed over, not closed
        self.apply_limits()
        busy_clients = sum(not client.idle() for client in self.front.clients)
        return HandoverOffer(listener, capture_state(self.control, busy_clients))

    def resume_serving(self) -> None:
        """Accept connections again: the successor is lost."""
        self.use_full_limits()
        self.control.engine.cancel_handover()
        self.front.resume()

    def transfer_clients(self, transfer: Callable[[int], bool] | None) -> None:
        """Give each idle client connection to the successor, now and from now on; None: no longer."""
        self.front.transfer_to_successor = transfer
        if transfer is not None:
            self.backend.close_idle()
            self._offer_clients()

    def _offer_clients(self) -> None:
        if self.front.transfer_to_successor is not None:
            self.front.offer_all()
            self.control.clock.call_later(OFFER_INTERVAL_S, self._offer_clients)

    def drain(self) -> None:
        """Shut down without a successor: accept for a moment, answer what is open, exit."""
        self.shutdown.drain()

    def drain_to_successor(self) -> None:
        """Shut down with a successor: answer what is open, exit once no client is left."""
        self.shutdown.finish_when_idle()

    # ---- as either

    def apply_maintenance(self, endpoint: str, in_maintenance: bool) -> None:
        """An endpoint was taken out at the other process, or put back."""
        self.control.set_maintenance(endpoint, in_maintenance)
