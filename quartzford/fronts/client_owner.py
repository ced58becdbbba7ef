"""What a client connection needs of the front that accepted it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from quartzford.engine import Backend, BufferBudget, Clock, Engine

ClientT = TypeVar("ClientT", contravariant=True)


class ClientOwner(Protocol[ClientT]):
    """The front, as its client connections see it. See HttpFront."""

    engine: Engine
    backend: Backend
    budget: BufferBudget
    clock: Clock
    now: Callable[[], float]  # the engine's clock, seconds
    ready: Callable[[], bool]
    draining: bool
    transfer_to_successor: Callable[[int], bool] | None

    def client_opened(self, client: ClientT) -> None:
        """The connection has a transport."""

    def client_used(self, client: ClientT) -> None:
        """A request on the connection is being served."""

    def client_closed(self, client: ClientT) -> None:
        """The connection has ended."""

    def pause_reading(self, client: ClientT) -> None:
        """Leave the client's bytes with the system for now."""

    def resume_reading(self, client: ClientT) -> None:
        """Read them again."""

    def offer(self, client: ClientT) -> None:
        """Hand the connection over to a successor, if that can be."""
