"""What an attempt over HTTP/1.1 needs of its request, and what it hands back."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from quartzford.engine import Body


class CompleteResponse(NamedTuple):
    """A complete 200 response. fields: header lines to forward. chunks: the pieces of the body."""

    fields: list[bytes]
    chunks: list[bytes]


class HttpCall(Protocol):
    """What an attempt needs of its request.

    deadline: seconds on the engine's clock. streams_response: the response is forwarded while it arrives.
    """

    deadline: float
    body: Body
    streams_response: bool

    def upstream_head(self, time_left_s: float) -> bytes:
        """Return the request's head; it tells the upstream that `time_left_s` seconds are left."""

    def charge(self, size: int) -> None:
        """Count `size` more buffered bytes for this request; fewer, if below 0."""

    def release(self) -> None:
        """Count no buffered bytes for this request any more."""

    def begin(self, fields: list[bytes], length: int | None) -> None:
        """Write the head of a streamed response; length: of its body in bytes, None if not stated."""

    def write(self, data: bytes) -> None:
        """Write a piece of a streamed response's body."""

    def write_blocked(self) -> bool:
        """Return whether the client reads its response more slowly than it arrives."""

    def held_bytes(self) -> int:
        """Return how many bytes of a streamed response wait in this process for a slow client."""

    def client_connected(self) -> bool:
        """Return whether the system reports the client as connected at this moment."""
