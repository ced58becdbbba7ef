"""The operator's own file (TOML): what this installation switches on beyond the platform's configuration.

Every key is checked when the file is loaded: OperatorError names the key and the reason.
"""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

HEADER_NAME = re.compile(r"[a-z0-9][a-z0-9!#$%&'*+.^_`|~-]*\Z")
DEFAULT_HEADERS = {  # what the headers are called unless the file says otherwise
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
MAX_RELAYS = 1_000
# Envoy keeps these from mutation, or gives them a meaning of its own.
RESERVED_HEADERS = ("host", "connection", "content-length", "transfer-encoding", "cookie", "te", "upgrade")


class OperatorError(Exception):
    """A file that can't be used; the text names the key and the reason."""


@dataclass(frozen=True, slots=True)
class ExtprocSettings:
    """Section [extproc]. Times in milliseconds."""

    listen: str
    workers: int = 1  # processes that serve gRPC; 0: within the deciding process
    decision_valid_ms: float = 100.0  # an older decision is neither told nor written, but made anew
    return_ms: float = 250.0  # for how long a request waits for its caller's next stream
    overlap_ms: float = 50.0  # for how long a stream waits that asks while an attempt is out
    queue_ms: float = 100.0  # for how long a request may wait for the deciding process
    most_requests: int = 20_000
    most_streams: int = 4_000  # of each connection at a time
    most_headers: int = 256
    most_header_bytes: int = 65_536
    default_class: str = ""
    cookie: str = "sid"
    token_key_file: str = ""  # 16 bytes or more; without one a key is drawn at each start
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class TraceSettings:
    """Section [trace]: record what is asked, to be played again by `quartzford load --trace`."""

    file: str
    keys: str = "hashed"  # or plain, or none
    most_mb: float = 256.0  # recording ends there


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """Section [subset]: use so many ready nodos only, in whole grupos. docs/operators/subsets.md"""

    size: int
    per_zone: int = 0  # of each zone at least


@dataclass(frozen=True, slots=True)
class ListsSettings:
    """Section [lists]: a list service that a whole fleet asks. docs/operators/coldstart.md"""

    calls_per_s: float = 50.0  # that it answers
    snapshot: str = ""  # a file on a lasting disk
    snapshot_age_s: float = 3_600.0  # an older one is not used
    snapshot_fresh_s: float = 60.0  # an older one's upstreams are taken for cold at first
    relays: tuple[str, ...] = ()  # host:port; asked in place of the configuration's discovery address


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Section [relay], for `quartzford relay` alone. docs/operators/relay.md"""

    listen: str  # host:port; port 0: the kernel's choice
    source: str  # host:port of the list service
    balancers: int  # of the whole fleet
    relays: int = 1  # that share the fleet
    whole_bytes_per_s: float = 50_000_000.0  # whole lists are let out at no more
    most_watchers: int = 0  # open watches; 0: worked out from the fleet and the relays
    source_calls_per_s: float = 50.0  # that the source answers

    def watchers(self) -> int:
        """The bound on open watches: a quarter over the share that is left with a quarter of relays gone."""
        left = max(1, self.relays - math.ceil(self.relays / 4))
        return self.most_watchers or math.ceil(1.25 * self.balancers / left)


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The whole file. config: the platform-form configuration, unless EDGE_CONFIG names it."""

    config: str = ""
    extproc: ExtprocSettings | None = None
    trace: TraceSettings | None = None
    subset: SubsetSettings | None = None
    lists: ListsSettings | None = None
    relay: RelaySettings | None = None


Check = Callable[[str, Any], Any]


def _number(least: float, most: float) -> Check:
    def check(key: str, value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise OperatorError(f"{key}: {value!r} is not a number")
        if not least <= value <= most:
            raise OperatorError(f"{key}: {value!r} is not from {least:g} to {most:g}")
        return float(value)

    return check


def _count(least: int, most: int) -> Check:
    def check(key: str, value: Any) -> int:
        if type(value) is not int:
            raise OperatorError(f"{key}: {value!r} is not a whole number")
        if not least <= value <= most:
            raise OperatorError(f"{key}: {value} is not from {least} to {most}")
        return int(value)

    return check


def _text(key: str, value: Any) -> str:
    if not isinstance(value, str) or "\0" in value or "\n" in value:
        raise OperatorError(f"{key}: {value!r} is not a line of text")
    return value


def _address(key: str, value: Any) -> str:
    text = _text(key, value)
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise OperatorError(f"{key}: {text!r} is not host:port")
    return text


def split_address(text: str) -> tuple[str, int]:
    """Host and port of a checked host:port."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def _peer(key: str, value: Any) -> str:
    """An address that is called: it needs a port of its own."""
    text = _address(key, value)
    host, port = split_address(text)
    if not host or not port:
        raise OperatorError(f"{key}: {text!r} can't be called: it takes a host and a port over 0")
    return text


def _peers(key: str, value: Any) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise OperatorError(f"{key}: {value!r} is not a list of host:port")
    if len(value) > MAX_RELAYS:
        raise OperatorError(f"{key}: {len(value)} addresses are over {MAX_RELAYS}")
    peers = tuple(_peer(f"{key}[{at}]", text) for at, text in enumerate(value))
    seen: set[tuple[str, int]] = set()
    for text in peers:
        if split_address(text) in seen:
            raise OperatorError(f"{key}: {text!r} is named twice")
        seen.add(split_address(text))
    return peers


def _headers(key: str, value: Any) -> tuple[tuple[str, str], ...]:
    if not isinstance(value, dict):
        raise OperatorError(f"{key}: {value!r} is not a table")
    for name, header in value.items():
        where = f"{key}.{name}"
        if name not in DEFAULT_HEADERS:
            raise OperatorError(f"{where}: no such header; there are {', '.join(DEFAULT_HEADERS)}")
        if not isinstance(header, str) or not HEADER_NAME.match(header):
            raise OperatorError(f"{where}: {header!r} is not a header's name in lower case")
        if header in RESERVED_HEADERS:
            raise OperatorError(f"{where}: {header!r} can't be set or read for this")
        if header.startswith("x-envoy-") and name in ("destination", "token", "retry", "within"):
            raise OperatorError(f"{where}: {header!r}: callers keep x-envoy- headers from being set")
    used = list((DEFAULT_HEADERS | value).values())
    for name, header in value.items():
        if used.count(header) > 1:
            raise OperatorError(f"{key}.{name}: {header!r} stands for two things")
    return tuple(sorted(value.items()))


EXTPROC_CHECKS: dict[str, Check] = {
    "listen": _address,
    "workers": _count(0, 64),
    "decision_valid_ms": _number(1, 10_000),
    "return_ms": _number(1, 60_000),
    "overlap_ms": _number(0, 1_000),
    "queue_ms": _number(1, 10_000),
    "most_requests": _count(1, 1_000_000),
    "most_streams": _count(1, 1_000_000),
    "most_headers": _count(8, 10_000),
    "most_header_bytes": _count(1_024, 1_048_576),
    "default_class": _text,
    "cookie": _text,
    "token_key_file": _text,
    "headers": _headers,
}


def _one_of(*names: str) -> Check:
    def check(key: str, value: Any) -> str:
        if value not in names:
            raise OperatorError(f"{key}: {value!r} is not one of {', '.join(names)}")
        return str(value)

    return check


TRACE_CHECKS: dict[str, Check] = {
    "file": _text,
    "keys": _one_of("hashed", "plain", "none"),
    "most_mb": _number(0.001, 1_000_000),
}


def _table(key: str, value: Any, checks: dict[str, Check]) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise OperatorError(f"{key}: {value!r} is not a table")
    dot = f"{key}." if key else ""
    for name in value:
        if name not in checks:
            raise OperatorError(f"{dot}{name}: no such key; there are {', '.join(checks)}")
    return {name: check(f"{dot}{name}", value[name]) for name, check in checks.items() if name in value}


def _extproc(key: str, value: Any) -> ExtprocSettings:
    table = _table(key, value, EXTPROC_CHECKS)
    if "listen" not in table:
        raise OperatorError(f"{key}.listen: missing")
    return ExtprocSettings(**table)


def _trace(key: str, value: Any) -> TraceSettings:
    table = _table(key, value, TRACE_CHECKS)
    if not table.get("file"):
        raise OperatorError(f"{key}.file: missing")
    return TraceSettings(**table)


SUBSET_CHECKS: dict[str, Check] = {"size": _count(1, 1_000_000), "per_zone": _count(0, 1_000_000)}


def _subset(key: str, value: Any) -> SubsetSettings:
    table = _table(key, value, SUBSET_CHECKS)
    if "size" not in table:
        raise OperatorError(f"{key}.size: missing")
    return SubsetSettings(**table)


LISTS_CHECKS: dict[str, Check] = {
    "calls_per_s": _number(0.01, 1_000_000),
    "snapshot": _text,
    "snapshot_age_s": _number(1, 31_536_000),
    "snapshot_fresh_s": _number(0, 31_536_000),
    "relays": _peers,
}


def _lists(key: str, value: Any) -> ListsSettings:
    settings = ListsSettings(**_table(key, value, LISTS_CHECKS))
    if settings.snapshot_fresh_s > settings.snapshot_age_s:
        raise OperatorError(
            f"{key}.snapshot_fresh_s: {settings.snapshot_fresh_s:g} is over snapshot_age_s, "
            f"{settings.snapshot_age_s:g}"
        )
    return settings


RELAY_CHECKS: dict[str, Check] = {
    "listen": _address,
    "source": _peer,
    "balancers": _count(1, 10_000_000),
    "relays": _count(1, MAX_RELAYS),
    "whole_bytes_per_s": _number(1_000, 1e12),
    "most_watchers": _count(0, 10_000_000),
    "source_calls_per_s": _number(0.01, 1_000_000),
}


def _relay(key: str, value: Any) -> RelaySettings:
    table = _table(key, value, RELAY_CHECKS)
    for name in ("listen", "source", "balancers"):
        if name not in table:
            raise OperatorError(f"{key}.{name}: missing")
    settings = RelaySettings(**table)
    if split_address(settings.listen) == split_address(settings.source):
        raise OperatorError(f"{key}.source: {settings.source!r} is the relay's own address, {key}.listen")
    share = math.ceil(settings.balancers / settings.relays)
    if 0 < settings.most_watchers < share:
        raise OperatorError(
            f"{key}.most_watchers: {settings.most_watchers} is under this relay's share of the fleet, "
            f"{settings.balancers} balancers over {settings.relays} relays: {share}"
        )
    return settings


def read_operator_settings(text: str) -> OperatorSettings:
    """The settings in a file's text; OperatorError where it can't be used."""
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise OperatorError(f"not TOML: {error}") from None
    checks: dict[str, Check] = {
        "config": _text,
        "extproc": _extproc,
        "trace": _trace,
        "subset": _subset,
        "lists": _lists,
        "relay": _relay,
    }
    settings = OperatorSettings(**_table("", table, checks))
    if settings.relay is not None and settings.lists is not None:
        source = split_address(settings.relay.source)
        if any(split_address(text) == source for text in settings.lists.relays):
            raise OperatorError(f"relay.source: {settings.relay.source!r} is a relay itself, of lists.relays")
    return settings


def load_operator_settings(path: str) -> OperatorSettings:
    try:
        return read_operator_settings(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorError(f"{path}: {error}") from None


def first_restart_only_change(old: OperatorSettings, new: OperatorSettings) -> str:
    """The first key whose change a reload can't carry out; '' if there is none."""
    if (old.extproc is None) != (new.extproc is None):
        return "extproc"
    if old.extproc is not None and new.extproc is not None:
        for name in ("listen", "workers", "most_streams", "token_key_file"):
            if getattr(old.extproc, name) != getattr(new.extproc, name):
                return f"extproc.{name}"
    parts = ("trace", "subset", "lists", "relay")
    return next((name for name in parts if getattr(old, name) != getattr(new, name)), "")


assert {f.name for f in fields(SubsetSettings)} == set(SUBSET_CHECKS)
assert {f.name for f in fields(ListsSettings)} == set(LISTS_CHECKS)
assert {f.name for f in fields(RelaySettings)} == set(RELAY_CHECKS)
assert {f.name for f in fields(TraceSettings)} == set(TRACE_CHECKS)
assert {f.name for f in fields(ExtprocSettings)} == set(EXTPROC_CHECKS)
