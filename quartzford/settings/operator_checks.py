"""Checks of values in the operator's file. A check raises OperatorError with the key and the reason."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import Any

HEADER_NAME = re.compile(r"[a-z0-9][a-z0-9!#$%&'*+.^_`|~-]*\Z")
DEFAULT_HEADERS = {  # header names by purpose; the operator's file may set others
    "identity": "x-correlation-id",
    "service_class": "x-service-class",
    "tenant": "x-account",
    "left": "x-time-left",
    "idempotency": "idempotency-key",
    "repeat": "x-repeat",
    "hint": "x-weight-hint",
    "destination": "x-quartzford-destination",
    "token": "x-quartzford-token",
    "retry": "x-quartzford-retry",
    "within": "x-quartzford-within",
}
WRITTEN_HEADERS = ("destination", "token", "retry", "within")  # set by the external processor
# Envoy rejects changes of these headers or handles them specially.
RESERVED_HEADERS = ("host", "connection", "content-length", "transfer-encoding", "cookie", "te", "upgrade")
ENVOY_PREFIX = "x-envoy-"
MAX_RELAYS = 1_000
MAX_PORT = 65_535

Check = Callable[[str, Any], Any]
"""Takes a key and its value from TOML; returns the value for the settings, or raises OperatorError."""


class OperatorError(Exception):
    """The operator's file cannot be used. The message consists of the key, a colon and the reason."""


def number_between(minimum: float, maximum: float) -> Check:
    """Return a check for a finite number within inclusive bounds."""

    def check(key: str, value: Any) -> float:
        """Return the number; raise OperatorError if the value is not a number or out of bounds."""
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise OperatorError(f"{key}: {value!r} is not a number")
        if not minimum <= value <= maximum:
            raise OperatorError(f"{key}: {value!r} is not from {minimum:g} to {maximum:g}")
        return float(value)

    return check


def count_between(minimum: int, maximum: int) -> Check:
    """Return a check for an integer within inclusive bounds."""

    def check(key: str, value: Any) -> int:
        """Return the integer; raise OperatorError if the value is not an integer or out of bounds."""
        if type(value) is not int:
            raise OperatorError(f"{key}: {value!r} is not a whole number")
        if not minimum <= value <= maximum:
            raise OperatorError(f"{key}: {value} is not from {minimum} to {maximum}")
        return int(value)

    return check


def one_of(*names: str) -> Check:
    """Return a check that the value is one of the names."""

    def check(key: str, value: Any) -> str:
        """Return the name; raise OperatorError if the value is none of the names."""
        if value not in names:
            raise OperatorError(f"{key}: {value!r} is not one of {', '.join(names)}")
        return str(value)

    return check


def check_text(key: str, value: Any) -> str:
    """Return the text; raise OperatorError if the value is not a single line of text."""
    if not isinstance(value, str) or "\0" in value or "\n" in value:
        raise OperatorError(f"{key}: {value!r} is not a line of text")
    return value


def check_address(key: str, value: Any) -> str:
    """Return an address to listen on, host:port; with port 0, the kernel chooses the port."""
    text = check_text(key, value)
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise OperatorError(f"{key}: {text!r} is not host:port")
    return text


def split_address(text: str) -> tuple[str, int]:
    """Return host and port of an address that `check_address` has accepted."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def check_peer(key: str, value: Any) -> str:
    """Return an address to connect to; unlike an address to listen on, its port must not be 0."""
    text = check_address(key, value)
    host, port = split_address(text)
    if not host or not port:
        raise OperatorError(f"{key}: {text!r} can't be called: it needs a host and a port above 0")
    return text


def check_peers(key: str, value: Any) -> tuple[str, ...]:
    """Return the addresses to connect to; raise OperatorError if an address occurs twice."""
    if not isinstance(value, list):
        raise OperatorError(f"{key}: {value!r} is not a list of host:port")
    if len(value) > MAX_RELAYS:
        raise OperatorError(f"{key}: {len(value)} addresses; the maximum is {MAX_RELAYS}")
    peers = tuple(check_peer(f"{key}[{index}]", text) for index, text in enumerate(value))
    seen: set[tuple[str, int]] = set()
    for text in peers:
        address = split_address(text)
        if address in seen:
            raise OperatorError(f"{key}: {text!r} is named twice")
        seen.add(address)
    return peers


def check_headers(key: str, value: Any) -> tuple[tuple[str, str], ...]:
    """Return pairs of purpose and header name, sorted; a header must not be used for two purposes."""
    if not isinstance(value, dict):
        raise OperatorError(f"{key}: {value!r} is not a table")
    for purpose, header in value.items():
        _check_header(f"{key}.{purpose}", purpose, header)
    header_names = list((DEFAULT_HEADERS | value).values())
    for purpose, header in value.items():
        if header_names.count(header) > 1:
            raise OperatorError(f"{key}.{purpose}: {header!r} is used for two purposes")
    return tuple(sorted(value.items()))


def _check_header(key: str, purpose: str, header: Any) -> None:
    if purpose not in DEFAULT_HEADERS:
        raise OperatorError(f"{key}: no such header; there are {', '.join(DEFAULT_HEADERS)}")
    if not isinstance(header, str) or not HEADER_NAME.match(header):
        raise OperatorError(f"{key}: {header!r} is not a header name in lower case")
    if header in RESERVED_HEADERS:
        raise OperatorError(f"{key}: {header!r} can't be used: Envoy reserves it")
    if header.startswith(ENVOY_PREFIX) and purpose in WRITTEN_HEADERS:
        raise OperatorError(f"{key}: {header!r}: Envoy does not let a processor set x-envoy- headers")


def check_table(key: str, value: Any, checks: dict[str, Check]) -> dict[str, Any]:
    """Return the checked values of a table, in the order of `checks`.

    key: key of the table; "" for the top level of the file.
    """
    if not isinstance(value, dict):
        raise OperatorError(f"{key}: {value!r} is not a table")
    prefix = f"{key}." if key else ""
    for name in value:
        if name not in checks:
            raise OperatorError(f"{prefix}{name}: no such key; there are {', '.join(checks)}")
    return {name: check(f"{prefix}{name}", value[name]) for name, check in checks.items() if name in value}


def require_keys(key: str, table: dict[str, Any], *names: str) -> None:
    """Raise OperatorError for the first of the names that is missing in the table.

    key: key of the table.
    """
    for name in names:
        if name not in table:
            raise OperatorError(f"{key}.{name}: missing")
