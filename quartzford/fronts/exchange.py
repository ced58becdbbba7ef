"""The HTTP front's pending request: a client's request from its last byte to its final response."""

from __future__ import annotations

from typing import Protocol, cast

from quartzford.engine import EMPTY_BODY, Backend, Body, BufferBudget, Charge, PendingRequest
from quartzford.fronts.responses import (
    BAD_GATEWAY,
    INTERNAL_ERROR,
    OK,
    UNAVAILABLE,
    CompleteResponse,
    content_length,
)


class ResponseChannel(Protocol):
    """The client connection that the response of an exchange is written to."""

    write_blocked: bool  # the client reads more slowly than its response arrives

    def answer(
        self,
        exchange: Exchange,
        status: int,
        pause_ms: float = 0.0,
        fields: list[bytes] | None = None,
        chunks: list[bytes] | None = None,
    ) -> None:
        """Write a complete response. pause_ms: value of its Retry-After field, 0 for no field."""

    def begin(self, exchange: Exchange, fields: list[bytes], length: int | None) -> None:
        """Write the head of a streamed response."""

    def write(self, data: bytes) -> None:
        """Write a part of the body of a streamed response."""

    def end(self, exchange: Exchange, complete: bool) -> None:
        """End a streamed response."""

    @property
    def held_bytes(self) -> int:
        """Bytes of a streamed response in the write buffer, while the client reads more slowly."""

    def connected(self) -> bool:
        """Return whether the client is connected, by the state of its socket at the time of the call."""


class PausableAttempt(Protocol):
    """An attempt whose response is forwarded as it arrives."""

    def pause(self) -> None:
        """Stop reading the response."""

    def resume(self) -> None:
        """Resume reading the response."""


REQUEST_OVERHEAD_BYTES = 1024  # of a request beyond its head and body


class Exchange(PendingRequest):
    """A client's request, from its last byte to its final response.

    line, fields: request line and header fields as sent to the upstream. keep_alive: the connection stays
    open after the response. is_http_1_0: the client uses HTTP/1.0. streams_response: responses of the service
    class are forwarded as they arrive. request_bytes: of the budget, for the request without its response.
    has_no_length: the request has no body and states no length. chunked_response: the response has chunked
    framing. response_ends_with_close: the end of the connection marks the end of the response.
    """

    __slots__ = (
        "client",
        "line",
        "fields",
        "body",
        "keep_alive",
        "is_http_1_0",
        "streams_response",
        "request_bytes",
        "_charge",
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
        body: Body,
    ) -> None:
        super().__init__(backend)
        self.client = client
        self._charge = Charge(budget)
        self.line = line
        self.fields = fields
        self.body = body
        self.keep_alive = False
        self.is_http_1_0 = False
        self.streams_response = False
        self.has_no_length = False
        self.chunked_response = False
        self.response_ends_with_close = False
        self.request_bytes = 0

    @property
    def charged(self) -> int:
        """The bytes charged to the budget for this exchange."""
        return self._charge.size

    def streaming_attempt(self) -> PausableAttempt | None:
        """Return the attempt whose response is being forwarded, None if there is none."""
        if self.attempt is None or not self.attempt.streaming:
            return None
        return cast(PausableAttempt, self.attempt)

    # ---- called by the engine

    def served(self, answer: CompleteResponse) -> None:
        """Forward a complete response."""
        self.client.answer(self, OK, 0.0, answer.fields, answer.chunks)

    def refused(self, pause_ms: float, over_quota: bool) -> None:
        """Answer a request that has not run. pause_ms: value of Retry-After, 0 for no field."""
        self.client.answer(self, UNAVAILABLE, pause_ms)

    def failed(self) -> None:
        """Answer a request that may have run."""
        self.client.answer(self, BAD_GATEWAY)

    def aborted(self) -> None:
        """Answer a request that was abandoned because of a fault in this program."""
        self.client.answer(self, INTERNAL_ERROR)

    def streamed(self, complete: bool) -> None:
        """End a streamed response."""
        self.client.end(self, complete)

    def client_disconnected(self) -> None:
        """Release the buffered bytes: the client has disconnected."""
        self.release()

    def attempt_discarded(self) -> None:
        """Release what the last attempt buffered; the request itself stays charged."""
        self._charge.set(self.request_bytes)

    # ---- called by an attempt

    def charge(self, size: int) -> None:
        """Charge `size` bytes to the budget; release them if it is negative."""
        self._charge.add(size)

    def release(self) -> None:
        """Release all bytes charged for this exchange."""
        self._charge.set(0)

    def drop_request(self) -> None:
        """Drop what an attempt sends of the request: its response is final, and no attempt follows."""
        self.line = self.fields = b""
        self.body = EMPTY_BODY

    def begin(self, fields: list[bytes], length: int | None) -> None:
        """Write the head of a streamed response. length: bytes of its body, None if not stated."""
        self.client.begin(self, fields, length)

    def write(self, data: bytes) -> None:
        """Write a part of the body of a streamed response."""
        self.client.write(data)

    def write_blocked(self) -> bool:
        """Return whether the client reads its response more slowly than it arrives."""
        return self.client.write_blocked

    def held_bytes(self) -> int:
        """Return how many bytes of a streamed response wait in the write buffer for a slow client."""
        return self.client.held_bytes

    def client_connected(self) -> bool:
        """Return whether the client is connected, by the state of its socket at the time of the call."""
        return self.client.connected()

    def upstream_head(self, time_left_s: float) -> bytes:
        """Return the request's head for the upstream, with its time left in the X-Time-Left field."""
        time_left_us = max(0, int(time_left_s * 1_000_000))
        framing = b"" if self.has_no_length else content_length(self.body.size)
        return b"%b%bX-Time-Left: %du\r\n%b\r\n" % (self.line, self.fields, time_left_us, framing)
