"""Converts between Envoy's ext_proc messages and the types of the decision service.

The package xds-protos has the message classes. Source: envoy/service/ext_proc/v3/external_processor.proto and
its documentation. Only the request headers and response headers phases carry decisions; every other message
gets the protocol's neutral reply, which changes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from envoy.config.core.v3 import base_pb2 as core
from envoy.extensions.filters.http.ext_proc.v3 import processing_mode_pb2 as mode
from envoy.service.ext_proc.v3 import external_processor_pb2 as proto

from quartzford.fronts.extproc.attempt_result import AttemptResult, read_result
from quartzford.fronts.extproc.decision_messages import (
    Decision,
    DecisionRequest,
    Failed,
    Rejected,
    Reply,
    RequestOpened,
    ResponseForwarded,
    RetryOffered,
)
from quartzford.settings.header_values import read_cookie, read_number, read_time_left

ATTRIBUTES_KEY = "envoy.filters.http.ext_proc"
CODE_DETAILS_ATTRIBUTE = "response.code_details"
LOAD_REPORT_HEADER = "x-backend-load"
UNPROCESSED_HEADER = "x-unprocessed"
# Envoy's router reads the attempt's time-out from this header, in whole milliseconds (Envoy's documentation,
# page "Router", section "HTTP headers").
TIMEOUT_HEADER = "x-envoy-upstream-rq-timeout-ms"
OVERWRITE_ACTION = core.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """The header names of the operator's file, and the limits on headers."""

    identity: str = "x-correlation-id"
    service_class: str = "x-service-class"
    tenant: str = "x-account"
    left: str = "x-time-left"
    idempotency: str = "idempotency-key"
    repeat: str = "x-repeat"
    hint: str = "x-weight-hint"
    cookie: str = "sid"  # the cookie that holds a request's affinity key
    destination: str = "x-quartzford-destination"
    token: str = "x-quartzford-token"
    retry: str = "x-quartzford-retry"
    within: str = "x-quartzford-within"
    default_class: str = ""  # the service class of a request that names none
    most_headers: int = 256
    most_bytes: int = 64 * 1024
    report_names: tuple[str, ...] = field(default=())


class HeaderReader:
    """Reads headers under the configured names."""

    def __init__(self, names: HeaderNames) -> None:
        self.names = names
        self.fields_by_header = {
            names.identity: "identity",
            names.service_class: "service_class",
            names.tenant: "tenant",
            names.left: "left",
            names.idempotency: "idempotency",
            names.repeat: "repeat",
            names.hint: "hint",
            names.token: "token",
            "cookie": "cookie",
        }

    def read_request(self, headers: Any, opens: bool) -> DecisionRequest | Failed:
        """Return the decision request in a request's headers, or the failure to answer them with."""
        rows = headers.headers.headers
        if len(rows) > self.names.most_headers or headers.ByteSize() > self.names.most_bytes:
            return Failed(431)
        values: dict[str, str] = {}
        for row in rows:
            name = self.fields_by_header.get(row.key)
            if name is None:
                continue
            if name != "cookie" and name in values:
                return Failed(400)  # ambiguous: the server may read the other of the two values
            values[name] = header_text(row)
        identity = values.get("identity", "").strip()
        if not identity:
            return Failed(400)
        stated_left = values.get("left", "").strip()
        left_ms = read_time_left(stated_left)
        if stated_left and left_ms is None:
            return Failed(400)
        return DecisionRequest(
            identity,
            values.get("service_class", "") or self.names.default_class,
            -1.0 if left_ms is None else left_ms,
            values.get("tenant", ""),
            read_cookie(values.get("cookie", ""), self.names.cookie),
            read_number(values.get("hint", "")) / 1000.0,
            values.get("repeat", "").strip() == "1",
            bool(values.get("idempotency", "").strip()),
            values.get("token", ""),
            opens,
        )

    def read_response(self, request: Any) -> AttemptResult:
        """Return the attempt's result that a ProcessingRequest with response headers reports."""
        status, unprocessed, load = 0, False, b""
        for row in request.response_headers.headers.headers:
            if row.key == ":status":
                text = header_text(row)
                status = int(text) if text.isdecimal() else 0
            elif row.key == UNPROCESSED_HEADER:
                unprocessed = header_text(row).strip() == "1"
            elif row.key == LOAD_REPORT_HEADER:
                load = row.raw_value or row.value.encode()
        details = ""
        if ATTRIBUTES_KEY in request.attributes:
            fields = request.attributes[ATTRIBUTES_KEY].fields
            details = fields[CODE_DETAILS_ATTRIBUTE].string_value if CODE_DETAILS_ATTRIBUTE in fields else ""
        return read_result(status, unprocessed, details, load, self.names.report_names)


class ReplyWriter:
    """Serializes replies; those that never change are serialized once, in advance."""

    def __init__(self, names: HeaderNames) -> None:
        self.names = names
        self.attempt_mode = headers_only_mode(mode.ProcessingMode.SEND)
        self.opener_mode = headers_only_mode(mode.ProcessingMode.SKIP)
        removed = [LOAD_REPORT_HEADER, names.token, names.retry, names.destination]
        self.response_forwarded = self._build_response_headers(proto.HeaderMutation(remove_headers=removed))
        # A caller that cannot retry forwards this status. A server's own 503 must not reach the client if the
        # request may have run: clients read 503 as a rejection, which is safe to retry.
        self.retry_offered = {
            True: self._build_retry_offered(b"503"),
            False: self._build_retry_offered(b"502"),
        }
        self.neutral_replies = self._build_neutral_replies()

    def _build_retry_offered(self, status: bytes) -> bytes:
        mutation = proto.HeaderMutation(
            set_headers=[overwrite_header(self.names.retry, b"1"), overwrite_header(":status", status)],
            remove_headers=[LOAD_REPORT_HEADER, self.names.token],
        )
        return self._build_response_headers(mutation)

    def _build_neutral_replies(self) -> dict[str, bytes]:
        """Return the replies to messages that need no decision, by message type."""
        # Without a decision no attempt may be made, so a destination header written by the client is removed.
        mutation = proto.HeaderMutation(remove_headers=[self.names.destination])
        request_headers = proto.HeadersResponse(response=proto.CommonResponse(header_mutation=mutation))
        body = proto.BodyResponse()
        trailers = proto.TrailersResponse()
        return {
            "request_headers": serialized(proto.ProcessingResponse(request_headers=request_headers)),
            "response_headers": self.response_forwarded,
            "request_body": serialized(proto.ProcessingResponse(request_body=body)),
            "response_body": serialized(proto.ProcessingResponse(response_body=body)),
            "request_trailers": serialized(proto.ProcessingResponse(request_trailers=trailers)),
            "response_trailers": serialized(proto.ProcessingResponse(response_trailers=trailers)),
        }

    @staticmethod
    def _build_response_headers(mutation: Any) -> bytes:
        common = proto.CommonResponse(header_mutation=mutation)
        return serialized(proto.ProcessingResponse(response_headers=proto.HeadersResponse(response=common)))

    def write(self, reply: Reply, now: float) -> bytes:
        """Return the serialized reply; now: the time of writing, seconds on the machine's monotonic clock."""
        match reply:
            case Decision(address, token, timeout_at, server_deadline, within, _):
                rows = [
                    overwrite_header(self.names.destination, address.encode()),
                    overwrite_header(self.names.token, token.encode()),
                    overwrite_header(TIMEOUT_HEADER, b"%d" % ((timeout_at - now) * 1000.0)),
                    overwrite_header(self.names.left, b"%dm" % ((server_deadline - now) * 1000.0)),
                    overwrite_header(self.names.within, b"%d" % max(0.0, within)),
                ]
                return self._build_request_headers(rows, self.attempt_mode)
            case RequestOpened(token):
                return self._build_request_headers(
                    [overwrite_header(self.names.token, token.encode())], self.opener_mode
                )
            case Rejected(retry_after_ms, over_quota):
                return immediate_reply(429 if over_quota else 503, retry_after_ms, self.names.retry)
            case Failed(status):
                return immediate_reply(status, 0.0, self.names.retry)
            case ResponseForwarded():
                return self.response_forwarded
            case RetryOffered(never_ran):
                return self.retry_offered[never_ran]
            case _:
                raise ValueError(f"{reply!r} is not a known type of reply")

    def _build_request_headers(self, rows: list[Any], mode_override: Any) -> bytes:
        removed = [] if len(rows) > 1 else [self.names.destination]
        mutation = proto.HeaderMutation(set_headers=rows, remove_headers=removed)
        common = proto.CommonResponse(header_mutation=mutation, clear_route_cache=False)
        return serialized(
            proto.ProcessingResponse(
                request_headers=proto.HeadersResponse(response=common), mode_override=mode_override
            )
        )


def headers_only_mode(response_headers: Any) -> Any:
    """Return the mode in which Envoy sends the request's headers, and the response's headers if so given."""
    return mode.ProcessingMode(
        request_header_mode=mode.ProcessingMode.SEND,
        response_header_mode=response_headers,
        request_body_mode=mode.ProcessingMode.NONE,
        response_body_mode=mode.ProcessingMode.NONE,
        request_trailer_mode=mode.ProcessingMode.SKIP,
        response_trailer_mode=mode.ProcessingMode.SKIP,
    )


def serialized(message: Any) -> bytes:
    """Return a protobuf message's bytes, with a static type that the generated classes lack."""
    data: bytes = message.SerializeToString()
    return data


def overwrite_header(name: str, value: bytes) -> Any:
    """Return a mutation that overwrites a header the client may have sent: Envoy's default would append."""
    return core.HeaderValueOption(
        header=core.HeaderValue(key=name, raw_value=value), append_action=OVERWRITE_ACTION
    )


def immediate_reply(status: int, retry_after_ms: float, retry: str) -> bytes:
    """Return a reply that makes the caller answer its client immediately, without an attempt."""
    rows = (
        [overwrite_header("retry-after", b"%.3f" % (retry_after_ms / 1000.0))] if retry_after_ms > 0 else []
    )
    message = proto.ImmediateResponse(
        headers=proto.HeaderMutation(set_headers=rows, remove_headers=[retry]), details="quartzford"
    )
    message.status.code = status
    return serialized(proto.ProcessingResponse(immediate_response=message))


def header_text(row: Any) -> str:
    """Return a header's value. Envoy fills raw_value or value, depending on a runtime flag.

    Bytes that are not UTF-8 become surrogates, so that different values stay different.
    """
    raw: bytes = row.raw_value
    return raw.decode("utf-8", "surrogateescape") if raw else str(row.value)
