"""Encodes the response of an exchange: complete ones, and the head and body parts of streamed ones."""

from __future__ import annotations

from quartzford.fronts import responses
from quartzford.fronts.exchange import Exchange


def complete_response(
    exchange: Exchange, status: int, pause_ms: float, fields: list[bytes], chunks: list[bytes]
) -> bytes:
    """Return head and body of a response. pause_ms: value of its Retry-After field, 0 for no field."""
    body = b"".join(chunks)
    framing = responses.content_length(len(body))
    if pause_ms > 0:
        framing += responses.retry_after(pause_ms)
    return _head(exchange, status, fields, framing) + body


def begin_streamed_response(exchange: Exchange, fields: list[bytes], length: int | None) -> bytes:
    """Return the head of a streamed response, and record its framing in the exchange.

    length: bytes of the body, None if the upstream states none.
    """
    if length is not None:
        return _head(exchange, responses.OK, fields, responses.content_length(length))
    if exchange.is_http_1_0:
        exchange.response_ends_with_close = True
        exchange.keep_alive = False
        return _head(exchange, responses.OK, fields, b"")
    exchange.chunked_response = True
    return _head(exchange, responses.OK, fields, responses.CHUNKED)


def encode_body_part(exchange: Exchange, data: bytes) -> bytes:
    """Return a part of a streamed body in the framing that the head stated."""
    return responses.chunk(data) if exchange.chunked_response else data


def _head(exchange: Exchange, status: int, fields: list[bytes], framing: bytes) -> bytes:
    if not exchange.keep_alive:
        framing += responses.CLOSE
    elif exchange.is_http_1_0:
        framing += responses.KEEP_ALIVE
    return responses.response_head(status, fields, framing)
