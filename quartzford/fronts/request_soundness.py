"""What makes the head of a request sound: one table of checks, all of them made before any decision on it."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from typing import NamedTuple

from quartzford.fronts.responses import BAD_REQUEST, CONTENT_TOO_LARGE, FIELDS_TOO_LARGE
from quartzford.settings.header_values import read_time_left

MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024
HEALTH_PATH = b"/_health"
VERSIONS = ("1.1", "1.0")

HOST = b"host"
CORRELATION_ID = b"x-correlation-id"
SERVICE_CLASS = b"x-service-class"
ACCOUNT = b"x-account"
TIME_LEFT = b"x-time-left"
REPEAT = b"x-repeat"
WEIGHT_HINT = b"x-weight-hint"
IDEMPOTENCY_KEY = b"idempotency-key"
TRANSFER_ENCODING = b"transfer-encoding"
CONTENT_LENGTH = b"content-length"

# If one of these were repeated, the upstream and this balancer might use different values.
SINGLE_FIELDS = frozenset(
    (HOST, CORRELATION_ID, SERVICE_CLASS, ACCOUNT, TIME_LEFT, REPEAT, WEIGHT_HINT, IDEMPOTENCY_KEY)
)


class RequestHead(NamedTuple):
    """The head of a request, as it was read.

    values: of the fields that this balancer reads, by lower-case name, without spaces around them. size: of
    the target and all fields, in bytes. time_left_ms: that the request states, NaN if that can't be read.
    classes: the service classes of the settings in force.
    """

    method: bytes
    target: bytes
    version: str
    values: dict[bytes, str]
    has_repeated_field: bool
    size: int
    time_left_ms: float
    classes: Collection[str]


class Check(NamedTuple):
    """A condition of a sound request. status: of the answer to a request that does not meet it."""

    condition: str
    status: int
    holds: Callable[[RequestHead], bool]


def _has_one_framing(head: RequestHead) -> bool:
    """Return whether all parsers find the same end of the body."""
    encoding = head.values.get(TRANSFER_ENCODING)
    return encoding is None or (encoding.lower() == "chunked" and CONTENT_LENGTH not in head.values)


def _has_permitted_length(head: RequestHead) -> bool:
    return int(head.values.get(CONTENT_LENGTH, "0")) <= MAX_BODY_BYTES


MESSAGE_CHECKS = (
    Check("HTTP/1.0 or HTTP/1.1", BAD_REQUEST, lambda head: head.version in VERSIONS),
    Check("no tunnel", BAD_REQUEST, lambda head: head.method != b"CONNECT"),
    Check("fields within their limit", FIELDS_TOO_LARGE, lambda head: head.size <= MAX_HEAD_BYTES),
    Check("one framing of the body", BAD_REQUEST, _has_one_framing),
    Check("body within its limit", CONTENT_TOO_LARGE, _has_permitted_length),
    Check("no repeated field", BAD_REQUEST, lambda head: not head.has_repeated_field),
)
# Of requests that are forwarded; health checks are answered without them.
FORWARDING_CHECKS = (
    Check("a host", BAD_REQUEST, lambda head: HOST in head.values or head.version == "1.0"),
    Check("an ID", BAD_REQUEST, lambda head: bool(head.values.get(CORRELATION_ID))),
    Check(
        "a class of the settings", BAD_REQUEST, lambda head: head.values.get(SERVICE_CLASS) in head.classes
    ),
    Check("a readable time left", BAD_REQUEST, lambda head: not math.isnan(head.time_left_ms)),
)
ALL_CHECKS = MESSAGE_CHECKS + FORWARDING_CHECKS


def is_health_check(target: bytes) -> bool:
    """Return whether a request for this target is a health check of this balancer."""
    return target.partition(b"?")[0] == HEALTH_PATH


def first_fault(head: RequestHead) -> int:
    """Return the status code for the first check that a request does not meet; 0 if it is sound."""
    checks = MESSAGE_CHECKS if is_health_check(head.target) else ALL_CHECKS
    for _, status, holds in checks:
        if not holds(head):
            return status
    return 0


def time_left_ms(values: dict[bytes, str]) -> float:
    """Return the time that a request states, in milliseconds; NaN if it states none or it can't be read."""
    left_ms = read_time_left(values.get(TIME_LEFT, ""))
    return math.nan if left_ms is None else left_ms
