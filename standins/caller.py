"""A stand-in calling proxy: requests a decision of the external processor for every attempt, as Envoy does.

Sources: Envoy's ext_proc.proto (the filter, v3), external_processor.proto, mutation_rules.proto, and the page
on the router filter. Its behaviour: it uses the headers phases only; message_timeout applies to each message;
failure_mode_allow off (without a reply, or after a stream error, the client gets an error and nothing is
sent upstream); x-envoy- headers may be set only with allow_envoy; append_action is applied as given, and
appends by default; it has a route time-out, shortened by x-envoy-upstream-rq-timeout-ms; a retry policy with
retriable_headers and no other condition; each attempt opens a new stream and shares the request headers; its
channels obey GOAWAY. With the policy field `honours` it also obeys x-quartzford-within
(docs/operators/extproc.md), which a caller written for this processor can and Envoy can't.
"""

from __future__ import annotations

import asyncio
import random
from time import monotonic
from typing import Any, NamedTuple

import grpc
from envoy.service.ext_proc.v3 import external_processor_pb2 as proto

from standins.caller_connection import (
    EXPIRED,
    RESET,
    ConnectionPool,
    SendError,
    UpstreamResponse,
    failed_response,
)
from standins.caller_headers import Headers, request_rows
from standins.caller_types import STAGES, Attempt, CallerPolicy, DropStage, Exchange

__all__ = [
    "PROCESS",
    "STAGES",
    "Attempt",
    "CallerPolicy",
    "CallerProxy",
    "Exchange",
    "Headers",
    "request_rows",
]

PROCESS = "/envoy.service.ext_proc.v3.ExternalProcessor/Process"
CHANNEL_OPTIONS = (("grpc.use_local_subchannel_pool", 1), ("grpc.enable_http_proxy", 0))
OPENING_METADATA = (("x-quartzford-role", "open"),)
ATTRIBUTES_NAMESPACE = "envoy.filters.http.ext_proc"
ROUTE_TIMEOUT_HEADER = "x-envoy-upstream-rq-timeout-ms"
CLIENT_LEAVE_DELAY_S = 0.001  # from sending an attempt until its client disconnects
BACK_OFF_FACTOR_RANGE = (0.5, 1.5)  # random factor of the policy's back-off before a retry


class LocalReplyError(Exception):
    """The caller responds to its client itself, without a response from an upstream."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ClientLeftError(Exception):
    """The client has disconnected; the caller abandons its request."""


class AttemptResult(NamedTuple):
    """How an attempt ended: its status, and whether the retry policy allows another one."""

    status: int
    retriable: bool


class CallerProxy:
    """One calling proxy with one channel; it records its clients' requests in `exchanges`."""

    def __init__(self, target: str, policy: CallerPolicy, rng: random.Random) -> None:
        self.policy, self.rng = policy, rng
        self.channel = grpc.aio.insecure_channel(target, options=CHANNEL_OPTIONS)
        self.process = self.channel.stream_stream(
            PROCESS, proto.ProcessingRequest.SerializeToString, proto.ProcessingResponse.FromString
        )
        self.pool = ConnectionPool()
        self.exchanges: list[Exchange] = []

    async def close(self) -> None:
        """Close the channel and all idle connections."""
        self.pool.close()
        await self.channel.close()

    async def handle(
        self, exchange: Exchange, rows: list[tuple[str, str]], time_left_s: float, drop: str = ""
    ) -> Exchange:
        """Handle one client request until it is answered or abandoned, and return its record.

        time_left_s: the time-out of the whole request; drop: the DropStage at which the client
        disconnects, or an empty string.
        """
        self.exchanges.append(exchange)
        headers = Headers(list(rows))
        try:
            async with asyncio.timeout(time_left_s):
                status = await self._route(exchange, headers, drop)
        except LocalReplyError as error:
            status, exchange.reason = error.status, str(error)
        except TimeoutError:
            status, exchange.reason = 504, "request_overall_timeout"
        except ClientLeftError:
            exchange.dropped = drop
            status = 0
        exchange.ended = monotonic()
        if status:
            exchange.statuses.append(status)
        return exchange

    async def _route(self, exchange: Exchange, headers: Headers, drop: str) -> int:
        """Make as many attempts as the retry policy allows; return the status of the last one."""
        if self.policy.opener:
            await self._open(exchange, headers)
        for number in range(self.policy.retries + 1):
            result = await self._attempt(exchange, headers, drop)
            if not result.retriable or number == self.policy.retries:
                return result.status
            await asyncio.sleep(self.policy.back_off_s * self.rng.uniform(*BACK_OFF_FACTOR_RANGE))
        raise AssertionError("unreachable")

    async def _open(self, exchange: Exchange, headers: Headers) -> None:
        """Call the processor as a filter of the downstream chain; its mutation applies to all attempts."""
        call = self.process(metadata=OPENING_METADATA)
        try:
            reply = await self._round_trip(call, self._request_message(headers))
            self._raise_if_immediate(reply, exchange)
            headers.mutate(reply.request_headers.response.header_mutation, self.policy.allow_envoy)
            await call.done_writing()
        finally:
            call.cancel()

    async def _attempt(self, exchange: Exchange, headers: Headers, drop: str) -> AttemptResult:
        """Make one attempt on its own stream: request the decision, send, and report the outcome."""
        call = self.process()
        try:
            attempt = await self._request_decision(call, exchange, headers, drop)
            exchange.attempts.append(attempt)
            try:
                if self.policy.stall_s and len(exchange.attempts) == 1:
                    await asyncio.sleep(self.policy.stall_s)
                response = await self._send(attempt, headers, drop)
            finally:
                attempt.ended = monotonic()
            if self.policy.retries_resets and response.details == RESET.details:
                return AttemptResult(response.status, True)
            return await self._report(call, exchange, response)
        except grpc.aio.AioRpcError as error:
            raise LocalReplyError(500, f"ext_proc stream: {error.code().name}") from None
        finally:
            call.cancel()

    async def _request_decision(self, call: Any, exchange: Exchange, headers: Headers, drop: str) -> Attempt:
        """Request a decision and apply its header mutation; return the attempt with the chosen address."""
        message = self._request_message(headers)
        if drop == DropStage.BEFORE_DECISION:
            await call.write(message)
            raise ClientLeftError
        requested_at = monotonic()
        reply = await self._round_trip(call, message)
        decided_at = monotonic()
        if exchange.decision_s < 0:
            exchange.decision_s = decided_at - exchange.intended
        self._raise_if_immediate(reply, exchange)
        headers.mutate(reply.request_headers.response.header_mutation, self.policy.allow_envoy)
        address = headers.get(self.policy.destination)
        if not address:
            raise LocalReplyError(503, "no destination: an original-destination cluster has no host")
        if drop == DropStage.AFTER_DECISION:
            raise ClientLeftError
        return Attempt(-1.0, address, requested_at, decided_at)

    async def _report(self, call: Any, exchange: Exchange, response: UpstreamResponse) -> AttemptResult:
        """Report an attempt's response to the processor and apply its mutation of the response headers."""
        report_started = monotonic()
        headers = response.headers
        message = proto.ProcessingRequest(response_headers=headers.message(self.policy.raw_values, True))
        fields = message.attributes[ATTRIBUTES_NAMESPACE].fields
        fields["response.code_details"].string_value = response.details
        reply = await self._round_trip(call, message)
        exchange.report_s += monotonic() - report_started
        self._raise_if_immediate(reply, exchange)
        headers.mutate(reply.response_headers.response.header_mutation, self.policy.allow_envoy)
        await call.done_writing()
        if headers.get("x-backend-load"):
            exchange.reason = "a load report reached the client"
        return AttemptResult(int(headers.get(":status")), bool(headers.get(self.policy.retriable)))

    def _request_message(self, headers: Headers) -> Any:
        return proto.ProcessingRequest(request_headers=headers.message(self.policy.raw_values, True))

    async def _round_trip(self, call: Any, message: Any) -> Any:
        """Return the processor's reply to a message; raise LocalReplyError if none arrives in time."""
        try:
            async with asyncio.timeout(self.policy.message_timeout_s):
                await call.write(message)
                reply = await call.read()
        except TimeoutError:
            raise LocalReplyError(504, "ext_proc message_timeout") from None
        except asyncio.InvalidStateError:
            raise LocalReplyError(500, "ext_proc stream: ended") from None
        except grpc.aio.AioRpcError as error:
            raise LocalReplyError(500, f"ext_proc stream: {error.code().name}") from None
        if reply is grpc.aio.EOF:
            raise LocalReplyError(500, "ext_proc stream: ended")
        return reply

    def _raise_if_immediate(self, reply: Any, exchange: Exchange) -> None:
        """Raise LocalReplyError if the reply is an ImmediateResponse."""
        if reply.WhichOneof("response") == "immediate_response":
            headers = Headers([])
            headers.mutate(reply.immediate_response.headers, self.policy.allow_envoy)
            exchange.retry_after = headers.get("retry-after")
            raise LocalReplyError(reply.immediate_response.status.code, "immediate")

    async def _send(self, attempt: Attempt, headers: Headers, drop: str) -> UpstreamResponse:
        """Send an attempt to its upstream; return the response, or a local one if the attempt failed."""
        try:
            response = await self._exchange_with_upstream(attempt, headers, drop)
        except SendError as error:
            attempt.outcome = error.failure.outcome
            return failed_response(error.failure)
        attempt.outcome = str(response.status)
        return response

    async def _exchange_with_upstream(
        self, attempt: Attempt, headers: Headers, drop: str
    ) -> UpstreamResponse:
        """Send the request and return the upstream's response; raise SendError if there is none."""
        timeout_s = self._route_timeout(headers)
        connection = await self.pool.take(attempt.address, self.policy.connect_timeout_s)
        request = headers.http_request()
        now = monotonic()
        if self._has_expired(attempt, headers, now):
            self.pool.put(attempt.address, connection)
            raise SendError(EXPIRED)
        attempt.at = now
        status = connection.send(request)
        if drop == DropStage.BEFORE_OUTCOME:
            await asyncio.sleep(CLIENT_LEAVE_DELAY_S)
            connection.transport.abort()
            status.cancel()
            raise ClientLeftError
        response = await connection.receive(status, timeout_s)
        self.pool.put(attempt.address, connection)
        return response

    def _route_timeout(self, headers: Headers) -> float:
        """Return the time-out of an attempt, in seconds."""
        timeout_ms = headers.get(ROUTE_TIMEOUT_HEADER)
        if timeout_ms:
            return min(self.policy.route_timeout_s, int(timeout_ms) / 1000.0)
        return self.policy.route_timeout_s

    def _has_expired(self, attempt: Attempt, headers: Headers, now: float) -> bool:
        """Return whether the decision has expired; always False if the policy's `honours` is off."""
        within_ms = headers.get(self.policy.within)
        if not self.policy.honours or not within_ms:
            return False
        return now - attempt.requested_at > int(within_ms) / 1000.0
