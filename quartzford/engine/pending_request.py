"""What the engine needs of a front's request, of an attempt at it and of the backend that makes attempts."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import Any, Protocol


class PendingRequest(ABC):
    """A request that gets exactly one final answer; a front makes one for each request that it accepts.

    The engine calls exactly one of served, refused, failed, aborted and streamed, unless the client has left.
    """

    __slots__ = (
        "number",
        "deadline",
        "attempt",
        "sends",
        "done",
        "backend",
        "service_class",
        "correlation_id",
    )

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.number = -1
        self.service_class = ""  # the class that the request named
        self.correlation_id = ""  # the id that its client gave it, for logs
        self.deadline = math.inf  # on the engine's clock, seconds
        self.attempt: Attempt | None = None
        self.sends = 0
        self.done = False

    @abstractmethod
    def served(self, answer: Any) -> None:
        """A backend's complete answer, in the form that this front and that backend share."""

    @abstractmethod
    def refused(self, pause_ms: float, over_quota: bool) -> None:
        """Not run, and a retry is harmless: after pause_ms, if that is above 0."""

    @abstractmethod
    def failed(self) -> None:
        """Failed; whether it has run is not known."""

    @abstractmethod
    def aborted(self) -> None:
        """Ended as a last resort, by an exception or its deadline; whether it has run is not known."""

    def client_connected(self) -> bool:
        """Whether the client is still there, by the system now: the loop may not have noticed yet."""
        return True

    def streamed(self, complete: bool) -> None:
        """The end of a response that its attempt has begun to pass on; complete, or broken off."""
        return None

    def client_disconnected(self) -> None:
        """The client has left: give back what is held for it."""
        return None

    def attempt_discarded(self) -> None:
        """An attempt ended without an answer, the request lives on: give back what the attempt left."""
        return None


class Attempt(ABC):
    """One attempt of one request at one server; it ends with exactly one outcome, by Engine.ended.

    chosen_at: when the module chose; written_at: when it left for the server, NaN before; timeout_at: when it
    times out; all in seconds on the engine's clock.
    """

    __slots__ = ("pending", "number", "server", "chosen_at", "written_at", "timeout_at", "streaming", "over")

    def __init__(self, pending: Any, number: int, server: str, chosen_at: float, timeout_at: float) -> None:
        self.pending = pending
        self.number = number
        self.server = server
        self.chosen_at = chosen_at
        self.written_at = math.nan
        self.timeout_at = timeout_at
        self.streaming = False  # its response is being passed on: it is the client's now
        self.over = False

    @abstractmethod
    def start(self) -> None:
        """Make the attempt."""

    @abstractmethod
    def fail(self, code: str) -> None:
        """End it now with this outcome, one of io.Outcome, if it has not ended."""


class Backend(Protocol):
    """Makes attempts."""

    def attempt(
        self, pending: Any, number: int, server: str, chosen_at: float, timeout_at: float, finish: float
    ) -> Attempt:
        """An attempt, not begun; a response that has begun by `timeout_at` is waited for until `finish`."""
