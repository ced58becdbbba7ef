"""Converts a request that was read into an exchange and into the decision module's request."""

from __future__ import annotations

from quartzford.decision import interface as io
from quartzford.engine import Backend, BufferBudget, Engine
from quartzford.fronts.exchange import REQUEST_OVERHEAD_BYTES, Exchange, ResponseChannel
from quartzford.fronts.request_reader import COOKIE, RequestReader
from quartzford.fronts.request_soundness import ACCOUNT, IDEMPOTENCY_KEY, REPEAT, SERVICE_CLASS, WEIGHT_HINT
from quartzford.settings.header_values import read_cookie, read_number

SESSION_COOKIE = "sid"


def new_exchange(
    reader: RequestReader, client: ResponseChannel, backend: Backend, budget: BufferBudget
) -> Exchange:
    """Return an exchange for the request that the reader has completed.

    The exchange takes over the request's fields and body, and charges the budget for them.
    """
    line = b"%b %b HTTP/1.1\r\n" % (reader.method, reader.target)
    exchange = Exchange(client, backend, budget, line, reader.forwarded_fields(), reader.body)
    exchange.keep_alive = reader.keep_alive
    exchange.is_http_1_0 = reader.is_http_1_0
    exchange.has_no_length = reader.has_no_length
    exchange.request_bytes = reader.held_bytes + REQUEST_OVERHEAD_BYTES
    exchange.charge(exchange.request_bytes)
    return exchange


def new_request(reader: RequestReader, exchange: Exchange, engine: Engine, now: float) -> io.Request:
    """Return the request for the decision module; set number, deadline and correlation ID of the exchange.

    The time that the client states is limited to the deadline of the request's service class. now: in
    seconds, on the engine's clock.
    """
    name = reader.value(SERVICE_CLASS)
    service_class = engine.classes.get(name)  # None if a new configuration came after the head
    max_deadline_ms = service_class.deadline_ms if service_class is not None else engine.max_deadline_ms
    left_ms = min(reader.time_left_ms, max_deadline_ms)
    exchange.streams_response = service_class is not None and service_class.streaming
    exchange.deadline = now + left_ms / 1000.0
    exchange.number = engine.next_number()
    exchange.correlation_id = reader.correlation_id
    return io.Request(
        exchange.number,
        name,
        left_ms,
        reader.value(ACCOUNT),
        read_cookie(reader.value(COOKIE), SESSION_COOKIE),
        read_number(reader.value(WEIGHT_HINT)) / 1000.0,
        reader.value(REPEAT) == "1",
        bool(reader.value(IDEMPOTENCY_KEY)),
    )
