"""The interface that a handover needs from the balancer of the predecessor and of the successor."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol

from quartzford.replacement.state import BalancerState


class HandoverOffer(NamedTuple):
    """What a predecessor hands over: its listening socket and its state at that time.

    request_ids: the IDs that the successor refuses, each with the seconds for which it does so.
    """

    listener: socket.socket
    state: BalancerState
    request_ids: dict[str, float]


class HandoverResult(NamedTuple):
    """What a successor received: the listening socket, and the state or None if it could not be decoded."""

    listener: socket.socket
    state: BalancerState | None


class ReplaceableBalancer(Protocol):
    """A balancer that can take over from a predecessor and hand over to a successor."""

    def release_listener(self) -> HandoverOffer | None:
        """Stop accepting connections. Return listener and state; None if the listener is already closed."""

    def resume_serving(self) -> None:
        """Accept connections again because the successor is lost."""

    def transfer_clients(self, transfer: Callable[[int], bool] | None) -> None:
        """Transfer each client connection to the successor as soon as it is idle; None ends the transfers.

        transfer: takes a connection's descriptor and returns whether it was sent to the successor.
        """

    def drain(self) -> None:
        """Shut down without a successor: accept connections for a short time, answer open requests, exit."""

    def drain_to_successor(self) -> None:
        """Shut down with a successor: answer open requests, exit when no client connection is left."""

    def adopt_client(self, sock: socket.socket) -> None:
        """Serve an idle client connection that the predecessor transferred."""

    def apply_maintenance(self, endpoint: str, in_maintenance: bool) -> None:
        """Apply a maintenance change that an operator made at the other process."""

    def adopt_request_id(self, identity: str, retention_s: float) -> None:
        """Refuse an ID that the other process has claimed, for this many seconds."""

    def use_full_limits(self) -> None:
        """Use the full limits of memory and descriptors because the predecessor has exited."""
