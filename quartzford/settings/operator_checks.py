"""Checks of single values of the operator's file. Each names the key and the reason in an OperatorError."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import Any

HEADER_NAME = re.compile(r"[a-z0-9][a-z0-9!#$%&'*+.^_`|~-]*\Z")
DEFAULT_HEADERS = {  # header names by purpose, unless the file sets others
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
# Envoy protects these from mutation, or gives them a meaning of its own.
RESERVED_HEADERS = ("host", "connection", "content-length", "transfer-encoding", "cookie", "te", "upgrade")
ENVOY_PREFIX = "x-envoy-"
MAX_RELAYS = 1_000
MAX_PORT = 65_535

Check = Callable[[str, Any], Any]
"""Takes a key and its value as read from TOML; gives the value as the settings hold it, or OperatorError."""


class OperatorError(Exception):
    """An operator's file that can't be used. The text is the key, a colon and the reason."""


def number_between(least: float, most: float) -> Check:
    """A check for a finite number within the bounds, both included."""

    def check(key: str, value: Any) -> float:
        """The number; OperatorError where the value is none, or out of bounds."""
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise OperatorError(f"{key}: {value!r} is not a number")
        if not least <= value <= most:
            raise OperatorError(f"{key}: {value!r} is not from {least:g} to {most:g}")
        return float(value)

    return check


def count_between(least: int, most: int) -> Check:
    """A check for an integer within the bounds, both included."""

    def check(key: str, value: Any) -> int:
        """The integer; OperatorError where the value is none, or out of bounds."""
        if type(value) is not int:
            raise OperatorError(f"{key}: {value!r} is not a whole number")
        if not least <= value <= most:
            raise OperatorError(f"{key}: {value} is not from {least} to {most}")
        return int(value)

    return check


def one_of(*names: str) -> Check:
    """A check for one of the names."""

    def check(key: str, value: Any) -> str:
        """The name; OperatorError where the value is none of them."""
        if value not in names:
            raise OperatorError(f"{key}: {value!r} is not one of {', '.join(names)}")
        return str(value)

    return check


def check_text(key: str, value: Any) -> str:
    """One line of text."""
    if not isinstance(value, str) or "\0" in value or "\n" in value:
        raise OperatorError(f"{key}: {value!r} is not a line of text")
    return value


def check_address(key: str, value: Any) -> str:
    """An address to listen at, host:port; port 0 is the kernel's choice."""
    text = check_text(key, value)
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise OperatorError(f"{key}: {text!r} is not host:port")
    return text


def split_address(text: str) -> tuple[str, int]:
    """Host and port of a checked host:port."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def check_peer(key: str, value: Any) -> str:
    """An address to connect to: it needs a port of its own."""
    text = check_address(key, value)
    host, port = split_address(text)
    if not host or not port:
        raise OperatorError(f"{key}: {text!r} can't be called: it takes a host and a port over 0")
    return text


def check_peers(key: str, value: Any) -> tuple[str, ...]:
    """A list of addresses to connect to, each named once."""
    if not isinstance(value, list):
        raise OperatorError(f"{key}: {value!r} is not a list of host:port")
    if len(value) > MAX_RELAYS:
        raise OperatorError(f"{key}: {len(value)} addresses are over {MAX_RELAYS}")
    peers = tuple(check_peer(f"{key}[{index}]", text) for index, text in enumerate(value))
    seen: set[tuple[str, int]] = set()
    for text in peers:
        address = split_address(text)
        if address in seen:
            raise OperatorError(f"{key}: {text!r} is named twice")
        seen.add(address)
    return peers


def check_headers(key: str, value: Any) -> tuple[tuple[str, str], ...]:
    """Header names by purpose, sorted by it; no name may serve two purposes."""
    if not isinstance(value, dict):
        raise OperatorError(f"{key}: {value!r} is not a table")
    for purpose, header in value.items():
        _check_header(f"{key}.{purpose}", purpose, header)
    used = list((DEFAULT_HEADERS | value).values())
    for purpose, header in value.items():
        if used.count(header) > 1:
            raise OperatorError(f"{key}.{purpose}: {header!r} stands for two things")
    return tuple(sorted(value.items()))


def _check_header(key: str, purpose: str, header: Any) -> None:
    if purpose not in DEFAULT_HEADERS:
        raise OperatorError(f"{key}: no such header; there are {', '.join(DEFAULT_HEADERS)}")
    if not isinstance(header, str) or not HEADER_NAME.match(header):
        raise OperatorError(f"{key}: {header!r} is not a header's name in lower case")
    if header in RESERVED_HEADERS:
        raise OperatorError(f"{key}: {header!r} can't be set or read for this")
    if header.startswith(ENVOY_PREFIX) and purpose in WRITTEN_HEADERS:
        raise OperatorError(f"{key}: {header!r}: callers keep x-envoy- headers from being set")


def check_table(key: str, value: Any, checks: dict[str, Check]) -> dict[str, Any]:
    """A table's checked values, in the order of the checks. key: "" for the file itself."""
    if not isinstance(value, dict):
        raise OperatorError(f"{key}: {value!r} is not a table")
    prefix = f"{key}." if key else ""
    for name in value:
        if name not in checks:
            raise OperatorError(f"{prefix}{name}: no such key; there are {', '.join(checks)}")
    return {name: check(f"{prefix}{name}", value[name]) for name, check in checks.items() if name in value}


def require(key: str, table: dict[str, Any], *names: str) -> None:
    """OperatorError for the first of the names that the table at the key lacks."""
    for name in names:
        if name not in table:
            raise OperatorError(f"{key}.{name}: missing")
