"""The bytes that answer an exchange: complete responses, and streamed ones piece by piece."""

from __future__ import annotations

from quartzford.fronts import responses
from quartzford.fronts.exchange import Exchange


def complete_response(
    exchange: Exchange, status: int, pause_ms: float, fields: list[bytes], chunks: list[bytes]
) -> bytes:
    """Head and body; pause_ms: of the Retry-After, none if 0."""
    body = b"".join(chunks)
    framing = responses.content_length(len(body))
    if pause_ms > 0:
        framing += responses.retry_after(pause_ms)
    return _head(exchange, status, fields, framing) + body


def begin_streamed_response(exchange: Exchange, fields: list[bytes], length: int | None) -> bytes:
    """The head; chooses the framing. length: of the body in bytes, None where the upstream states none."""
    if length is not None:
        return _head(exchange, responses.OK, fields, responses.content_length(length))
    if exchange.is_http_1_0:
        exchange.response_ends_with_close = True
        exchange.keep_alive = False
        return _head(exchange, responses.OK, fields, b"")
    exchange.chunked_response = True
    return _head(exchange, responses.OK, fields, responses.CHUNKED)


def body_piece(exchange: Exchange, data: bytes) -> bytes:
    """A piece of a streamed body, in the framing that its head has stated."""
    return responses.chunk(data) if exchange.chunked_response else data


def _head(exchange: Exchange, status: int, fields: list[bytes], framing: bytes) -> bytes:
    if not exchange.keep_alive:
        framing += responses.CLOSE
    elif exchange.is_http_1_0:
        framing += responses.KEEP_ALIVE
    return responses.response_head(status, fields, framing)
