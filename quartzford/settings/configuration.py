"""Reads and checks the configuration file (JSON) of a balancer that serves real traffic."""

from __future__ import annotations

import json
import math
import os
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from quartzford.decision import interface as io
from quartzford.settings.decision_settings import read_settings

STALL_MS = 150.0  # longest expected hold-up of a real balancer between a clock reading and the next write
BYTES_PER_MB = 1024 * 1024
MAX_PORT = 65_535
CONFIG_VARIABLE = "EDGE_CONFIG"  # environment variable: path of the configuration file
ADMIN_VARIABLE = "EDGE_ADMIN_ADDR"  # environment variable: this process's address for operators
SETTINGS_SECTIONS = ("guarantees", "limits", "prices", "blend", "report")


class ConfigError(Exception):
    """The configuration cannot be used. The message consists of the key, a colon and the reason."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one balancer that serves real traffic. Times are in milliseconds."""

    name: str
    listen: tuple[str, int]  # host and port
    discovery: tuple[str, int]
    seed: int
    memory_bytes: int
    descriptors: int
    known: dict[str, Any]  # endpoint list to use until the list service has answered
    admin: tuple[str, int] | None  # address for operators, if configured
    settings: io.Settings
    idle_timeout_ms: float
    connect_timeout_ms: float
    report_names: tuple[str, ...]  # names of the load report's fields, as in the settings


def load_config(path: str) -> Config:
    """Return the configuration in a file; raise ConfigError if it cannot be used or the path is ""."""
    if not path:
        raise ConfigError(f"{CONFIG_VARIABLE}: not set")
    try:
        config = read_config(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{CONFIG_VARIABLE}: {path}: {error}") from None
    admin = os.environ.get(
        ADMIN_VARIABLE
    )  # overrides the file, which may already have the successor's address
    if not admin:
        return config
    return replace(config, admin=_read_address({ADMIN_VARIABLE: admin}, ADMIN_VARIABLE))


def read_config(text: str) -> Config:
    """Return the configuration in a file's text; raise only ConfigError, if it cannot be used."""
    try:
        table = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"not JSON: {error}") from None
    try:
        return _read_table(table)
    except (
        TypeError,
        ValueError,
        OverflowError,
    ) as error:  # for example, a number beyond a float's range
        raise ConfigError(f"{type(error).__name__}: {error}") from None


def _read_table(table: Any) -> Config:
    # Set for real balancers only: in the simulator, actions take no time.
    settings = replace(_read_settings(table), stall_ms=STALL_MS)
    raw_settings = table["settings"]
    return Config(
        name=_require(table, "name", str),
        listen=_read_address(table, "listen"),
        discovery=_read_address(table, "discovery"),
        seed=_read_seed(table),
        memory_bytes=int(_require_positive(table, "limits.memory_mb") * BYTES_PER_MB),
        descriptors=int(_require_positive(table, "limits.sockets")),
        known=_require(table, "known", dict),
        admin=_read_address(table, "admin_addr") if table.get("admin_addr") else None,
        settings=settings,
        idle_timeout_ms=_require_positive(raw_settings, "limits.connIdleMs"),
        connect_timeout_ms=_require_positive(raw_settings, "limits.connectTimeoutMs"),
        report_names=settings.report_fields,
    )


def _read_settings(table: Any) -> io.Settings:
    raw_settings = _require(table, "settings", dict)
    for section in SETTINGS_SECTIONS:
        _require(raw_settings, section, dict)
    _require(raw_settings, "classes", list)
    try:
        settings = read_settings(raw_settings)
        _check_names(settings)
    except KeyError as error:
        raise ConfigError(f"settings: {error.args[0]}: missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from None
    return settings


def _check_names(settings: io.Settings) -> None:
    """Raise ConfigError if the name of a service class, a tenant or a load report field is not a string."""
    for service_class in settings.classes:
        _require({"name": service_class.name}, "name", str)
    for tenant in settings.tenants:
        _require({"name": tenant.name}, "name", str)
    for name in settings.report_fields:
        if not isinstance(name, str):
            raise ConfigError(f"settings: report.fields: {name!r} is not a string")


def _require(table: Any, path: str, expected_type: type | tuple[type, ...]) -> Any:
    """Return the value at a dotted path; raise ConfigError if it is missing or not of the expected type."""
    for key in path.split("."):
        if not isinstance(table, dict) or key not in table:
            raise ConfigError(f"{path}: missing")
        table = table[key]
    if not isinstance(table, expected_type) or isinstance(table, bool):
        raise ConfigError(f"{path}: {table!r} is not of the expected type")
    if isinstance(table, float) and not math.isfinite(table):
        raise ConfigError(f"{path}: {table!r} is not a finite number")
    return table


def _require_positive(table: Any, path: str) -> float:
    value = float(_require(table, path, (int, float)))
    if value <= 0:
        raise ConfigError(f"{path}: {value!r} is not above 0")
    return value


def _read_address(table: Any, path: str) -> tuple[str, int]:
    text = _require(table, path, str)
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError(f"{path}: {text!r} is not host:port")
    return host.strip("[]"), int(port)


def _read_seed(table: Any) -> int:
    text = _require(table, "seed", (str, int))
    try:
        return text if isinstance(text, int) else int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: {text!r} is not a hexadecimal number") from None
