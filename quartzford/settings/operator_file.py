"""Reads the operator's file (TOML), which enables optional functions beyond the balancer's configuration.

Every key is checked when the file is loaded. An OperatorError gives the key and the reason.
"""

from __future__ import annotations

import math
import tomllib
from pathlib import Path
from typing import Any

from quartzford.settings.operator_checks import (
    MAX_RELAYS,
    Check,
    OperatorError,
    check_address,
    check_headers,
    check_peer,
    check_peers,
    check_table,
    check_text,
    count_between,
    number_between,
    one_of,
    require_keys,
    split_address,
)
from quartzford.settings.operator_settings import (
    ExtprocSettings,
    ListsSettings,
    OperatorSettings,
    RelaySettings,
    SubsetSettings,
    TraceSettings,
)

YEAR_S = 365 * 24 * 3600

EXTPROC_CHECKS: dict[str, Check] = {
    "listen": check_address,
    "workers": count_between(0, 64),
    "decision_valid_ms": number_between(1, 10_000),
    "return_ms": number_between(1, 60_000),
    "overlap_ms": number_between(0, 1_000),
    "queue_ms": number_between(1, 10_000),
    "most_requests": count_between(1, 1_000_000),
    "most_streams": count_between(1, 1_000_000),
    "most_headers": count_between(8, 10_000),
    "most_header_bytes": count_between(1_024, 1_048_576),
    "default_class": check_text,
    "cookie": check_text,
    "token_key_file": check_text,
    "headers": check_headers,
}
TRACE_CHECKS: dict[str, Check] = {
    "file": check_text,
    "keys": one_of("hashed", "plain", "none"),
    "most_mb": number_between(0.001, 1_000_000),
}
SUBSET_CHECKS: dict[str, Check] = {
    "size": count_between(1, 1_000_000),
    "per_zone": count_between(0, 1_000_000),
}
LISTS_CHECKS: dict[str, Check] = {
    "calls_per_s": number_between(0.01, 1_000_000),
    "snapshot": check_text,
    "snapshot_age_s": number_between(1, YEAR_S),
    "snapshot_fresh_s": number_between(0, YEAR_S),
    "relays": check_peers,
}
RELAY_CHECKS: dict[str, Check] = {
    "listen": check_address,
    "source": check_peer,
    "balancers": count_between(1, 10_000_000),
    "relays": count_between(1, MAX_RELAYS),
    "whole_bytes_per_s": number_between(1_000, 1e12),
    "most_watchers": count_between(0, 10_000_000),
    "source_calls_per_s": number_between(0.01, 1_000_000),
}
RELAY_FIELD_NAMES = {"whole_bytes_per_s": "list_bytes_per_s"}  # for keys that differ from the field's name


def load_operator_settings(path: str) -> OperatorSettings:
    """Return the settings in a file; raise OperatorError if it cannot be read or used."""
    try:
        return read_operator_settings(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorError(f"{path}: {error}") from None


def read_operator_settings(text: str) -> OperatorSettings:
    """Return the settings in a file's text; raise OperatorError if it cannot be used."""
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise OperatorError(f"not TOML: {error}") from None
    checks: dict[str, Check] = {
        "config": check_text,
        "extproc": _read_extproc,
        "trace": _read_trace,
        "subset": _read_subset,
        "lists": _read_lists,
        "relay": _read_relay,
    }
    settings = OperatorSettings(**check_table("", table, checks))
    _check_relay_source(settings)
    return settings


def _check_relay_source(settings: OperatorSettings) -> None:
    """Raise OperatorError if the relay's source is one of the relays instead of the list service."""
    if settings.relay is None or settings.lists is None:
        return
    source = split_address(settings.relay.source)
    if any(split_address(text) == source for text in settings.lists.relays):
        raise OperatorError(f"relay.source: {settings.relay.source!r} is a relay itself, in lists.relays")


def _read_extproc(key: str, value: Any) -> ExtprocSettings:
    table = check_table(key, value, EXTPROC_CHECKS)
    require_keys(key, table, "listen")
    return ExtprocSettings(**table)


def _read_trace(key: str, value: Any) -> TraceSettings:
    table = check_table(key, value, TRACE_CHECKS)
    if not table.get("file"):
        raise OperatorError(f"{key}.file: missing")
    return TraceSettings(**table)


def _read_subset(key: str, value: Any) -> SubsetSettings:
    table = check_table(key, value, SUBSET_CHECKS)
    require_keys(key, table, "size")
    return SubsetSettings(**table)


def _read_lists(key: str, value: Any) -> ListsSettings:
    settings = ListsSettings(**check_table(key, value, LISTS_CHECKS))
    if settings.snapshot_fresh_s > settings.snapshot_age_s:
        raise OperatorError(
            f"{key}.snapshot_fresh_s: {settings.snapshot_fresh_s:g} is over snapshot_age_s, "
            f"{settings.snapshot_age_s:g}"
        )
    return settings


def _read_relay(key: str, value: Any) -> RelaySettings:
    table = check_table(key, value, RELAY_CHECKS)
    require_keys(key, table, "listen", "source", "balancers")
    settings = RelaySettings(**{RELAY_FIELD_NAMES.get(name, name): value for name, value in table.items()})
    if split_address(settings.listen) == split_address(settings.source):
        raise OperatorError(f"{key}.source: {settings.source!r} is the relay's own address, {key}.listen")
    fleet_share = math.ceil(settings.balancers / settings.relays)
    if 0 < settings.most_watchers < fleet_share:
        raise OperatorError(
            f"{key}.most_watchers: {settings.most_watchers} is under this relay's share of the fleet, "
            f"{settings.balancers} balancers over {settings.relays} relays: {fleet_share}"
        )
    return settings
