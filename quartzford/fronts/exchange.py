"""A client's request, from its last byte to its final response: the pending request of the engine."""

from __future__ import annotations

from typing import Protocol, cast

from quartzford.engine import Backend, BufferBudget, PendingRequest
from quartzford.fronts.responses import (
    BAD_GATEWAY,
    INTERNAL_ERROR,
    OK,
    UNAVAILABLE,
    CompleteResponse,
    content_length,
)


class ResponseChannel(Protocol):
    """The client connection that an exchange is answered on."""

    write_blocked: bool  # the client reads more slowly than its response comes

    def answer(
        self,
        exchange: Exchange,
        status: int,
        pause_ms: float = 0.0,
        fields: list[bytes] | None = None,
        chunks: list[bytes] | None = None,
    ) -> None:
        """Write a complete response; pause_ms: of its Retry-After, none if 0."""

    def begin(self, exchange: Exchange, fields: list[bytes], length: int | None) -> None:
        """Write the head of a streamed response."""

    def write(self, data: bytes) -> None:
        """Write a piece of a streamed response's body."""

    def end(self, exchange: Exchange, complete: bool) -> None:
        """End a streamed response."""

    def connected(self) -> bool:
        """Whether the client is connected, by the system's word at this moment."""


class PausableAttempt(Protocol):
    """An attempt whose response is passed on as it comes."""

    def pause(self) -> None:
        """Stop reading the response."""

    def resume(self) -> None:
        """Read it again."""


class Exchange(PendingRequest):
    """A client's request, from its last byte to its final response.

    line, fields: of the request's head, for the upstream. keep_alive: the connection stays open behind the
    response. is_http_1_0: the client speaks that. streams_response: the class's responses are passed on as
    they come. charged: bytes held for this exchange. has_no_length: the request came with no body and no
    length.
    """

    __slots__ = (
        "client",
        "budget",
        "line",
        "fields",
        "body",
        "keep_alive",
        "is_http_1_0",
        "streams_response",
        "charged",
        "has_no_length",
        "chunked_response",
        "response_ends_with_close",
    )

    def __init__(
        self,
        client: ResponseChannel,
        backend: Backend,
        budget: BufferBudget,
        line: bytes,
        fields: bytes,
        body: bytes | bytearray,
    ) -> None:
        super().__init__(backend)
        self.client = client
        self.budget = budget
        self.line = line
        self.fields = fields
        self.body = body
        self.keep_alive = False
        self.is_http_1_0 = False
        self.streams_response = False
        self.has_no_length = False
        self.chunked_response = False
        self.response_ends_with_close = False
        self.charged = 0

    def streaming_attempt(self) -> PausableAttempt | None:
        """The attempt whose response is being passed on, if there is one."""
        if self.attempt is None or not self.attempt.streaming:
            return None
        return cast(PausableAttempt, self.attempt)

    # ---- what the engine calls

    def served(self, answer: CompleteResponse) -> None:
        """Forward a complete response."""
        self.client.answer(self, OK, 0.0, answer.fields, answer.chunks)

    def refused(self, pause_ms: float, over_quota: bool) -> None:
        """Answer a request that has not run; pause_ms: before a retry, none if 0."""
        self.client.answer(self, UNAVAILABLE, pause_ms)

    def failed(self) -> None:
        """Answer a request that may have run."""
        self.client.answer(self, BAD_GATEWAY)

    def aborted(self) -> None:
        """Answer a request that ended by a fault of this program."""
        self.client.answer(self, INTERNAL_ERROR)

    def streamed(self, complete: bool) -> None:
        """End a streamed response."""
        self.client.end(self, complete)

    def client_disconnected(self) -> None:
        """Give back what is held: the client has disconnected."""
        self.release()

    def attempt_discarded(self) -> None:
        """Give back what the last attempt left; the request's own body stays."""
        self.charge(len(self.body) - self.charged)

    # ---- what an attempt calls

    def charge(self, size: int) -> None:
        """Hold so many bytes more (fewer, if below 0)."""
        self.budget.used += size
        self.charged += size

    def release(self) -> None:
        """Hold nothing any more."""
        self.budget.used -= self.charged
        self.charged = 0

    def begin(self, fields: list[bytes], length: int | None) -> None:
        """Write the head of a streamed response; length: of its body in bytes, None where not stated."""
        self.client.begin(self, fields, length)

    def write(self, data: bytes) -> None:
        """Write a piece of a streamed response's body."""
        self.client.write(data)

    def write_blocked(self) -> bool:
        """The client reads its response more slowly than it comes."""
        return self.client.write_blocked

    def client_connected(self) -> bool:
        """Whether the client is connected, by the system's word at this moment."""
        return self.client.connected()

    def upstream_head(self, left: float) -> bytes:
        """The request's head, with a deadline of `left` seconds for the upstream."""
        time_left_us = max(0, int(left * 1_000_000))
        framing = b"" if self.has_no_length else content_length(len(self.body))
        return b"%b%bX-Time-Left: %du\r\n%b\r\n" % (self.line, self.fields, time_left_us, framing)
