"""The interface of a front that its client connections use."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from quartzford.engine import Backend, BufferBudget, Clock, Engine, ReadBuffer
from quartzford.fronts.input_turns import InputTurns


class ClientOwner(Protocol):
    """The front that owns client connections. HttpFront implements it and describes the attributes."""

    engine: Engine
    backend: Backend
    budget: BufferBudget
    read_buffer: ReadBuffer
    input_turns: InputTurns
    clock: Clock
    now: Callable[[], float]  # the engine's clock, seconds
    ready: Callable[[], bool]
    draining: bool
    reserved_bytes: int
    ends: Counter[str]
    transfer_to_successor: Callable[[int], bool] | None

    def client_opened(self, client: Any) -> None:
        """Register a connection; its transport is open."""

    def client_used(self, client: Any) -> None:
        """Record that a request on the connection is now being served."""

    def client_closed(self, client: Any) -> None:
        """Unregister a closed connection."""

    def pause_reading(self, client: Any) -> None:
        """Stop reading from the client; its bytes stay in the kernel's buffer."""

    def resume_reading(self, client: Any) -> None:
        """Resume reading from the client, which was paused."""

    def offer(self, client: Any) -> None:
        """Hand the connection over to the successor if there is one and the connection is transferable."""
