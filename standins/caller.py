"""A stand-in calling proxy: asks the external processor for every attempt, the way Envoy documents it.

Sources: Envoy's ext_proc.proto (the filter, v3), external_processor.proto, mutation_rules.proto, and the page
on the router filter. What it keeps to: headers phases only; message_timeout on each message;
failure_mode_allow off (no reply, or a broken stream, is an error to the client and nothing is sent on);
x-envoy- headers may be set only with allow_envoy; append_action as written, appending by default; a route
time-out of its own, shortened by x-envoy-upstream-rq-timeout-ms; a retry policy with retriable_headers and
nothing else; each attempt a new stream over the same request headers; channels that obey GOAWAY.
A caller written for this processor may also keep to x-quartzford-within (docs/operators/extproc.md), which
Envoy can't: `honours`.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from time import monotonic
from typing import Any, cast

import grpc
import httptools
from envoy.config.core.v3 import base_pb2 as core
from envoy.service.ext_proc.v3 import external_processor_pb2 as proto

PROCESS = "/envoy.service.ext_proc.v3.ExternalProcessor/Process"
BROKEN = "upstream_reset_before_response_started"
DETAILS = {
    "timeout": "response_timeout",
    "reset": BROKEN + "{connection_termination}",
    "connect": BROKEN + "{remote_connection_failure}",
    "expired": "decision_expired",
}
STAGES = ("before decision", "after decision", "before outcome")


@dataclass
class CallerPolicy:
    """The caller's own configuration. Times in seconds."""

    destination: str = "x-quartzford-destination"
    token: str = "x-quartzford-token"
    retriable: str = "x-quartzford-retry"
    message_timeout_s: float = 3.0
    connect_timeout_s: float = 0.2
    route_timeout_s: float = 3.0
    retries: int = 3
    back_off_s: float = 0.002
    allow_envoy: bool = True
    opener: bool = False  # a stream in the downstream chain opens the request before its attempts
    raw_values: bool = True  # raw_value or value: a runtime flag of Envoy's
    honours: bool = False  # sends nothing on a decision that has expired
    within: str = "x-quartzford-within"
    stall_s: float = 0.0  # between the first decision and its send, as in a proxy whose loop is overloaded
    retries_resets: bool = False  # retries on its own on a reset, against what the operators' page asks


@dataclass
class Attempt:
    """One attempt that the caller made."""

    at: float  # its first byte goes out; -1: none did
    address: str
    requested_at: float = 0.0  # the question that it follows was written
    decided_at: float = 0.0  # the decision was read
    outcome: str = ""
    ended: float = 0.0  # its connection is free again or closed


@dataclass
class Exchange:
    """One client request in the caller's book. Times on the monotonic clock."""

    identity: str
    service_class: str
    intended: float
    attempts: list[Attempt] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)  # every answer that the client got: one, if all is well
    ended: float = 0.0
    decision_s: float = -1.0  # from the intended send to the first decision
    report_s: float = 0.0  # spent in response phases
    retry_after: str = ""
    dropped: str = ""  # the stage at which the client left
    reason: str = ""


class Pool:
    """Connections to nodos, one request at a time on each."""

    def __init__(self) -> None:
        self.idle: dict[str, list[UpstreamConnection]] = {}

    async def take(self, address: str, time_out_s: float) -> UpstreamConnection:
        links = self.idle.get(address)
        while links:
            link = links.pop()
            if not link.closed:
                return link
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(time_out_s):
            _, made = await asyncio.get_running_loop().create_connection(UpstreamConnection, host, int(port))
        return made

    def put(self, address: str, link: UpstreamConnection) -> None:
        if not link.closed:
            self.idle.setdefault(address, []).append(link)

    def close(self) -> None:
        for links in self.idle.values():
            for link in links:
                link.transport.abort()


class UpstreamConnection(asyncio.Protocol):
    """A connection to a nodo."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.closed = False
        self.answer: asyncio.Future[int] | None = None
        self.fields: list[tuple[str, str]] = []
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionResetError())

    def ask(self, head: bytes) -> asyncio.Future[int]:
        self.fields, self.body = [], b""
        self.parser: Any = httptools.HttpResponseParser(self)
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(head)
        return self.answer

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(self.parser.get_status_code())


class Headers:
    """A request's or an answer's headers, in order, mutated as the protocol says."""

    def __init__(self, rows: list[tuple[str, str]]) -> None:
        self.rows = rows

    def get(self, name: str) -> str:
        return next((value for key, value in self.rows if key == name), "")

    def remove(self, name: str) -> None:
        self.rows = [row for row in self.rows if row[0] != name]

    def mutate(self, mutation: Any, allow_envoy: bool) -> None:
        for name in mutation.remove_headers:
            if self._allowed(name, allow_envoy):
                self.remove(name)
        for option in mutation.set_headers:
            name = option.header.key
            value = option.header.raw_value.decode("latin-1") or option.header.value
            if not self._allowed(name, allow_envoy):
                continue
            action = option.append_action
            there = any(key == name for key, _ in self.rows)
            kind = core.HeaderValueOption
            if action == kind.ADD_IF_ABSENT and there:
                continue
            if action == kind.OVERWRITE_IF_EXISTS and not there:
                continue
            if action in (kind.OVERWRITE_IF_EXISTS_OR_ADD, kind.OVERWRITE_IF_EXISTS):
                self.remove(name)
            self.rows.append((name, value))

    @staticmethod
    def _allowed(name: str, allow_envoy: bool) -> bool:
        if name.startswith(":") and name != ":status":
            return False
        return allow_envoy or not name.startswith("x-envoy-")

    def message(self, raw: bool, end: bool) -> Any:
        if raw:
            rows = [core.HeaderValue(key=k, raw_value=v.encode("latin-1")) for k, v in self.rows]
        else:
            rows = [core.HeaderValue(key=k, value=v) for k, v in self.rows]
        return proto.HttpHeaders(headers=core.HeaderMap(headers=rows), end_of_stream=end)


class AnsweredError(Exception):
    """The caller answers its client itself."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class CallerProxy:
    """One calling proxy with one channel. Its book is `exchanges`."""

    def __init__(self, target: str, policy: CallerPolicy, rng: random.Random) -> None:
        self.policy, self.rng = policy, rng
        options = (("grpc.use_local_subchannel_pool", 1), ("grpc.enable_http_proxy", 0))
        self.channel = grpc.aio.insecure_channel(target, options=options)
        self.process = self.channel.stream_stream(
            PROCESS, proto.ProcessingRequest.SerializeToString, proto.ProcessingResponse.FromString
        )
        self.pool = Pool()
        self.exchanges: list[Exchange] = []

    async def close(self) -> None:
        self.pool.close()
        await self.channel.close()

    async def handle(
        self, exchange: Exchange, rows: list[tuple[str, str]], time_left_s: float, drop: str = ""
    ) -> Exchange:
        """One client request, to its answer; drop: the stage at which the client leaves instead."""
        self.exchanges.append(exchange)
        headers = Headers(list(rows))
        try:
            async with asyncio.timeout(time_left_s):
                status = await self._route(exchange, headers, time_left_s, drop)
        except AnsweredError as trouble:
            status, exchange.reason = trouble.status, str(trouble)
        except TimeoutError:
            status, exchange.reason = 504, "request_overall_timeout"
        except _LeftError:
            exchange.dropped = drop
            status = 0
        exchange.ended = monotonic()
        if status:
            exchange.statuses.append(status)
        return exchange

    async def _route(self, exchange: Exchange, headers: Headers, left_s: float, drop: str) -> int:
        if self.policy.opener:
            await self._open(headers, exchange)
        for number in range(self.policy.retries + 1):
            status, again = await self._attempt(exchange, headers, left_s, drop)
            if not again or number == self.policy.retries:
                return status
            await asyncio.sleep(self.policy.back_off_s * self.rng.uniform(0.5, 1.5))
        raise AssertionError("unreachable")

    async def _open(self, headers: Headers, exchange: Exchange) -> None:
        """The filter of the downstream chain: its mutation stays in the headers of every attempt."""
        call = self.process(metadata=(("x-quartzford-role", "open"),))
        try:
            reply = await self._exchange(
                call, proto.ProcessingRequest(request_headers=headers.message(self.policy.raw_values, True))
            )
            self._immediate(reply, exchange)
            headers.mutate(reply.request_headers.response.header_mutation, self.policy.allow_envoy)
            await call.done_writing()
        finally:
            call.cancel()

    async def _attempt(
        self, exchange: Exchange, headers: Headers, left_s: float, drop: str
    ) -> tuple[int, bool]:
        """One attempt on a stream of its own: its status, and whether the retry policy goes again."""
        policy = self.policy
        call = self.process()
        try:
            message = proto.ProcessingRequest(request_headers=headers.message(policy.raw_values, True))
            if drop == STAGES[0]:
                await call.write(message)
                raise _LeftError
            requested_at = monotonic()
            reply = await self._exchange(call, message)
            decided_at = monotonic()
            if exchange.decision_s < 0:
                exchange.decision_s = decided_at - exchange.intended
            self._immediate(reply, exchange)
            headers.mutate(reply.request_headers.response.header_mutation, policy.allow_envoy)
            address = headers.get(policy.destination)
            if not address:
                raise AnsweredError(503, "no destination: an original-destination cluster has no host")
            if drop == STAGES[1]:
                raise _LeftError
            try:
                exchange.attempts.append(Attempt(-1.0, address, requested_at, decided_at))
                if policy.stall_s and len(exchange.attempts) == 1:
                    await asyncio.sleep(policy.stall_s)
                status, answer, details = await self._send(exchange.attempts[-1], headers, drop)
            finally:
                exchange.attempts[-1].ended = monotonic()
            begun = monotonic()
            message = proto.ProcessingRequest(response_headers=answer.message(policy.raw_values, True))
            fields = message.attributes["envoy.filters.http.ext_proc"].fields
            fields["response.code_details"].string_value = details
            if policy.retries_resets and details == DETAILS["reset"]:
                return status, True
            reply = await self._exchange(call, message)
            exchange.report_s += monotonic() - begun
            self._immediate(reply, exchange)
            answer.mutate(reply.response_headers.response.header_mutation, policy.allow_envoy)
            await call.done_writing()
            if answer.get("x-backend-load"):
                exchange.reason = "a load report reached the client"
            return int(answer.get(":status")), bool(answer.get(policy.retriable))
        except grpc.aio.AioRpcError as error:
            raise AnsweredError(500, f"ext_proc stream: {error.code().name}") from None
        finally:
            call.cancel()

    async def _exchange(self, call: Any, message: Any) -> Any:
        try:
            async with asyncio.timeout(self.policy.message_timeout_s):
                await call.write(message)
                reply = await call.read()
        except TimeoutError:
            raise AnsweredError(504, "ext_proc message_timeout") from None
        except asyncio.InvalidStateError:
            raise AnsweredError(500, "ext_proc stream: ended") from None
        except grpc.aio.AioRpcError as error:
            raise AnsweredError(500, f"ext_proc stream: {error.code().name}") from None
        if reply is grpc.aio.EOF:
            raise AnsweredError(500, "ext_proc stream: ended")
        return reply

    def _immediate(self, reply: Any, exchange: Exchange) -> None:
        if reply.WhichOneof("response") == "immediate_response":
            answer = Headers([])
            answer.mutate(reply.immediate_response.headers, self.policy.allow_envoy)
            exchange.retry_after = answer.get("retry-after")
            raise AnsweredError(reply.immediate_response.status.code, "immediate")

    async def _send(self, sent: Attempt, headers: Headers, drop: str) -> tuple[int, Headers, str]:
        """The attempt itself: its status, its headers, and what response.code_details says."""
        policy, address = self.policy, sent.address
        time_out = policy.route_timeout_s
        requested_at = headers.get("x-envoy-upstream-rq-timeout-ms")
        if requested_at:
            time_out = min(time_out, int(requested_at) / 1000.0)
        try:
            link = await self.pool.take(address, policy.connect_timeout_s)
        except (OSError, TimeoutError):
            sent.outcome = "connect"
            return 503, Headers([(":status", "503")]), DETAILS["connect"]
        kept = [(k, v) for k, v in headers.rows if not k.startswith((":", "x-envoy-"))]
        head = "".join(f"{k}: {v}\r\n" for k, v in kept)
        method, path = headers.get(":method"), headers.get(":path")
        head = f"{method} {path} HTTP/1.1\r\nHost: {headers.get(':authority')}\r\n{head}"
        data = f"{head}Content-Length: 0\r\n\r\n"
        now, within = monotonic(), headers.get(policy.within)
        if policy.honours and within and now - sent.requested_at > int(within) / 1000.0:
            self.pool.put(address, link)
            sent.outcome = "expired"
            return 503, Headers([(":status", "503")]), DETAILS["expired"]
        sent.at = now
        answer = link.ask(data.encode("latin-1"))
        if drop == STAGES[2]:
            await asyncio.sleep(0.001)
            link.transport.abort()
            answer.cancel()
            raise _LeftError
        try:
            async with asyncio.timeout(time_out):
                status = await answer
        except TimeoutError:
            link.transport.abort()
            sent.outcome = "timeout"
            return 504, Headers([(":status", "504")]), DETAILS["timeout"]
        except OSError:
            sent.outcome = "reset"
            return 503, Headers([(":status", "503")]), DETAILS["reset"]
        except asyncio.CancelledError:
            link.transport.abort()
            raise
        sent.outcome = str(status)
        self.pool.put(address, link)
        return status, Headers([(":status", str(status)), *link.fields]), "via_upstream"


class _LeftError(Exception):
    """The client has left; the caller drops all it holds for it."""


def request_rows(
    identity: str, service_class: str, left_s: float, tenant: str = "", key: str = "", path: str = "/api"
) -> list[tuple[str, str]]:
    """A client's request as the caller has it."""
    rows = [
        (":method", "GET" if service_class in ("consulta", "read") else "POST"),
        (":path", path),
        (":authority", "reservas.lima.example.org"),
        (":scheme", "http"),
        ("x-correlation-id", identity),
        ("x-service-class", service_class),
        ("x-time-left", f"{int(left_s * 1000)}m"),
    ]
    if tenant:
        rows.append(("x-account", tenant))
    if key:
        rows.append(("idempotency-key", key))
    return rows
