"""What the engine asks of a front's request (PendingRequest), of an attempt at it and of who makes
attempts."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import Any, Protocol


class PendingRequest(ABC):
    """A request that is owed exactly one final answer; a front makes one for each request it takes.

    The engine calls exactly one of served, refused, failed and broken, unless the client has left.
    """

    __slots__ = ("number", "deadline", "attempt", "sends", "done", "backend", "kind", "label")

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.number = -1
        self.kind = ""  # the class that the request named
        self.label = ""  # the id that its client gave it, for logs
        self.deadline = math.inf  # on the engine's clock, seconds
        self.attempt: Attempt | None = None
        self.sends = 0
        self.done = False

    @abstractmethod
    def served(self, answer: Any) -> None:
        """A backend's whole answer, in the form that this front and that backend share."""

    @abstractmethod
    def refused(self, pause_ms: float, over_quota: bool) -> None:
        """Not run, and harmless to ask again: after pause_ms, if that is above 0."""

    @abstractmethod
    def failed(self) -> None:
        """Failed; nothing is promised."""

    @abstractmethod
    def aborted(self) -> None:
        """Ended as a last resort: an exception, or an answer that never came. Nothing is promised."""

    def client_connected(self) -> bool:
        """Whether the client is still there, asked of the system now: the loop may not have been told yet."""
        return True

    def streamed(self, complete: bool) -> None:
        """The end of an answer that its attempt has begun to pass on."""
        return None

    def client_disconnected(self) -> None:
        """The client has left: give back what is held for it."""
        return None

    def attempt_discarded(self) -> None:
        """An attempt ended without an answer, the request lives on: give back what the attempt left."""
        return None


class Attempt(ABC):
    """One try of one request at one server; it ends with exactly one outcome, told by Engine.ended.

    sent: when the module chose; written: when it left for the server, NaN before; due: when it is given up;
    all on the engine's clock, seconds.
    """

    __slots__ = ("pending", "number", "server", "sent", "written", "due", "streaming", "over")

    def __init__(self, pending: Any, number: int, server: str, sent: float, due: float) -> None:
        self.pending = pending
        self.number = number
        self.server = server
        self.sent = sent
        self.written = math.nan
        self.due = due
        self.streaming = False  # its answer is being passed on: the attempt belongs to the client now
        self.over = False

    @abstractmethod
    def start(self) -> None: ...

    @abstractmethod
    def fail(self, code: str) -> None:
        """End it now with this outcome, if it has not ended."""


class Backend(Protocol):
    """Who makes attempts."""

    def attempt(
        self, pending: Any, number: int, server: str, sent: float, due: float, finish: float
    ) -> Attempt:
        """An attempt, not begun; an answer that has begun by `due` is waited for until `finish`."""
