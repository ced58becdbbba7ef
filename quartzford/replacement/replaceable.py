"""What a handover needs of the balancer that is replaced, or that replaces one."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol

from quartzford.replacement.state import BalancerState


class HandoverOffer(NamedTuple):
    """What a predecessor gives: its listening socket, and the state at that instant."""

    listener: socket.socket
    state: BalancerState


class HandoverResult(NamedTuple):
    """What a successor got: the listening socket, and the state unless that could not be read."""

    listener: socket.socket
    state: BalancerState | None


class ReplaceableBalancer(Protocol):
    """A balancer that can take over from its predecessor, and give all it has to a successor."""

    def release_listener(self) -> HandoverOffer | None:
        """Accept no connection from now on; None where the listener is closed already."""

    def resume_serving(self) -> None:
        """Accept connections again: the successor is lost."""

    def transfer_clients(self, transfer: Callable[[int], bool] | None) -> None:
        """Give each idle client connection to the successor, now and from now on; None: no longer.

        transfer: takes a connection's descriptor; whether the successor has got it.
        """

    def drain(self) -> None:
        """Shut down without a successor: accept for a moment, answer what is open, exit."""

    def drain_to_successor(self) -> None:
        """Shut down with a successor: answer what is open, exit once no client is left."""

    def adopt_client(self, sock: socket.socket) -> None:
        """Serve an idle client connection of the predecessor."""

    def apply_maintenance(self, endpoint: str, in_maintenance: bool) -> None:
        """An endpoint was taken out at the other process, or put back."""

    def use_full_limits(self) -> None:
        """Use memory and descriptors in full: the predecessor is gone."""
