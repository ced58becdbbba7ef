"""Interfaces to the engine: a request of a front, an attempt at it, and the backend that makes attempts."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import Any, Protocol


class PendingRequest(ABC):
    """A request that gets exactly one final answer. A front creates one for each request that it accepts.

    The engine calls exactly one of served, refused, failed, aborted and streamed, unless the client
    disconnects before.
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
        "possibly_ran",
    )

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.number = -1
        self.service_class = ""  # the name that the request states, known or not
        self.correlation_id = ""  # set by the client
        self.deadline = math.inf  # seconds on the engine's clock
        self.attempt: Attempt | None = None
        self.sends = 0
        self.done = False
        self.possibly_ran = False  # an attempt that has ended may have run

    @abstractmethod
    def served(self, answer: Any) -> None:
        """Forward a complete answer of the backend, in the form that the front and the backend agree on."""

    @abstractmethod
    def refused(self, pause_ms: float, over_quota: bool) -> None:
        """Answer that the request has not run and may be retried; after pause_ms, if that is above 0."""

    @abstractmethod
    def failed(self) -> None:
        """Answer that the request failed; it may have run."""

    @abstractmethod
    def aborted(self) -> None:
        """Answer that the request was abandoned after an exception or past its deadline; it may have run."""

    def client_connected(self) -> bool:
        """Return whether the client is connected, by the system: the event loop may not have noticed yet."""
        return True

    def streamed(self, complete: bool) -> None:
        """End a streamed response; complete: whether all of it was forwarded."""
        return None

    def client_disconnected(self) -> None:
        """Release the resources held for the request: its client has disconnected."""
        return None

    def attempt_discarded(self) -> None:
        """Release what the last attempt buffered: it ended without an answer, and the request continues."""
        return None


class Attempt(ABC):
    """One attempt of one request at one server; it ends with exactly one outcome, by Engine.attempt_ended.

    All times are seconds on the engine's clock. chosen_at: when the decision module chose the server.
    written_at: when the request was written to the server or its caller got the decision, NaN before.
    timeout_at: when the attempt times out.
    """

    __slots__ = ("pending", "number", "server", "chosen_at", "written_at", "timeout_at", "streaming", "ended")

    def __init__(self, pending: Any, number: int, server: str, chosen_at: float, timeout_at: float) -> None:
        self.pending = pending
        self.number = number
        self.server = server
        self.chosen_at = chosen_at
        self.written_at = math.nan
        self.timeout_at = timeout_at
        self.streaming = False  # part of the response was forwarded: no other attempt can replace it
        self.ended = False

    @abstractmethod
    def start(self) -> None:
        """Begin the attempt."""

    @abstractmethod
    def fail(self, code: str) -> None:
        """End the attempt now, unless it has ended; code: its outcome, one of io.Outcome."""


class Backend(Protocol):
    """Creates attempts."""

    def create_attempt(
        self,
        pending: Any,
        number: int,
        server: str,
        chosen_at: float,
        timeout_at: float,
        response_deadline: float,
    ) -> Attempt:
        """Return a new attempt, not begun yet.

        A response that has begun by `timeout_at` is waited for until `response_deadline`. All times are
        seconds on the engine's clock.
        """
