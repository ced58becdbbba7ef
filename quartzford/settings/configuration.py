"""The settings object, for both hosts, and the real balancer's configuration file."""

from __future__ import annotations

import json
import math
import os
from dataclasses import dataclass, replace
from typing import Any

from quartzford.decision import interface as io

STALL_MS = 150.0  # a real balancer may be held up for so long between reading its clock and writing
EFFECTS = {"free": "free", "guarded": "keyed", "single_shot": "unsafe"}


class ConfigError(Exception):
    """A configuration that can't be used; the text names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """What one real balancer is told."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    memory_bytes: int
    descriptors: int
    known: dict[str, Any]
    admin: tuple[str, int] | None  # where operators call, if anywhere
    settings: io.Settings
    idle_ms: float
    connect_ms: float
    report_names: tuple[str, ...]  # the load report's fields as the settings name them


def read_settings(config: dict[str, Any]) -> io.Settings:
    """The module's Settings out of the config object; unknown keys are ignored."""
    rules, limits, prices = config["guarantees"], config["limits"], config["prices"]
    goal, report = config["blend"], config["report"]
    classes = tuple(
        io.ServiceClass(
            name=c["name"],
            latency_objective_ms=c["sloMs"],
            deadline_ms=c["deadlineMs"],
            priority_weight=c["value"],
            late_weight=c.get("lateWorth", 0.0),
            effect=EFFECTS.get(c["effect"], c["effect"]),
            group=c.get("group", "all"),
            window_ms=c.get("memorySpanMs", 0.0),
            streaming=c.get("streaming", False),
            objective_stretch=c.get("aimStretch") or 0.0,
        )
        for c in config["classes"]
    )
    return io.Settings(
        zone=config["myZone"],
        balancers=config["nInstances"],
        classes=classes,
        tenants=tuple(io.Tenant(t["name"], t["quotaPerS"]) for t in config.get("customers") or ()),
        rules=io.Rules(
            answer_slack_ms=rules["answerSlackMs"],
            drain_grace_ms=rules["drainGraceMs"],
            poll_interval_ms=rules["askEveryMs"],
            slow_start_capacity=rules["startCapacity"],
            slow_start_ms=rules["coldMs"],
            overload_multiple=rules["tipMultiple"],
            overload_window_ms=rules["fallMs"],
        ),
        limits=io.Limits(
            max_attempts=limits["maxAttempts"],
            may_cancel=limits.get("mayCancel", False),
            may_duplicate=limits.get("mayDuplicate", False),
            may_probe=limits.get("mayProbe", False),
            retry_after=limits.get("retryAfter", False),
            max_retry_after_ms=limits.get("maxRetryAfterMs", 0.0),
            multiplex=limits.get("multiplex", 1),
        ),
        goal=io.Goal(
            complete=goal.get("whole", 1.0),
            worst_window=goal.get("worstWindow", 0.0),
            worst_class=goal.get("worstClass", 0.0),
            worst_tenant=goal.get("worstTenant", 0.0),
        ),
        prices=io.Prices(
            cross_zone=prices.get("crossZone", 0.0),
            waste=prices.get("waste", 0.0),
            late_fail=prices.get("lateFail", 0.0),
            probe=prices.get("probe", 0.0),
            connection=prices.get("connection", 0.0),
            handshake=prices.get("handshake", 0.0),
        ),
        polls_list=config.get("registryMode") == "subscribe",
        report_fields=tuple(report.get("fields") or ()),
        report_by_probe=report.get("source") == "on_probe",
        sized=config.get("weightSource", "off") != "off",
        over_quota_weight=config.get("overShareWorth", 1.0),
        weight_by_work=config.get("worthBy") == "work",
        warm_keys=bool((config.get("specifics") or {}).get("warmKeys", False)),
        marks_retry=bool((config.get("clients") or {}).get("marksRetry", False)),
        tick_ms=config.get("tickMs", 1.0),
    )


def _require(table: Any, path: str, kind: type | tuple[type, ...]) -> Any:
    """The value at a dotted path of the kind wanted."""
    for key in path.split("."):
        if not isinstance(table, dict) or key not in table:
            raise ConfigError(f"{path}: missing")
        table = table[key]
    if not isinstance(table, kind) or isinstance(table, bool):
        raise ConfigError(f"{path}: {table!r} is not what was expected")
    if isinstance(table, float) and not math.isfinite(table):
        raise ConfigError(f"{path}: {table!r} is not a finite number")
    return table


def _positive(table: Any, path: str) -> float:
    value = float(_require(table, path, (int, float)))
    if value <= 0:
        raise ConfigError(f"{path}: {value!r} is not above 0")
    return value


def _address(table: Any, path: str) -> tuple[str, int]:
    text = _require(table, path, str)
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{path}: {text!r} is not host:port")
    return host.strip("[]"), int(port)


def _seed(table: Any) -> int:
    text = _require(table, "seed", (str, int))
    try:
        return text if isinstance(text, int) else int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: {text!r} is not a hexadecimal number") from None


def _settings(table: Any) -> io.Settings:
    raw = _require(table, "settings", dict)
    for section in ("guarantees", "limits", "prices", "blend", "report"):
        _require(raw, section, dict)
    _require(raw, "classes", list)
    try:
        settings = read_settings(raw)
        for name in [c.name for c in settings.classes] + [t.name for t in settings.tenants]:
            _require({"name": name}, "name", str)
        for name in settings.report_fields:
            if not isinstance(name, str):
                raise ConfigError(f"settings: report.fields: {name!r} is not a name")
        return settings
    except KeyError as error:
        raise ConfigError(f"settings: {error.args[0]}: missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from None


def read_config(text: str) -> Config:
    """The configuration in a file's text; ConfigError, and nothing else, where it can't be used."""
    try:
        table = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"not JSON: {error}") from None
    try:
        return _config(table)
    except (TypeError, ValueError, OverflowError) as error:  # figures past a float's range, say
        raise ConfigError(f"{type(error).__name__}: {error}") from None


def load_config(path: str) -> Config:
    """The configuration in a file; '' stands for a path that nobody set."""
    if not path:
        raise ConfigError("EDGE_CONFIG: not set")
    try:
        with open(path, encoding="utf-8") as file:
            config = read_config(file.read())
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error}") from None
    admin = os.environ.get("EDGE_ADMIN_ADDR")  # of this process; the file may already name its successor's
    return replace(config, admin=_address({"EDGE_ADMIN_ADDR": admin}, "EDGE_ADMIN_ADDR")) if admin else config


def _config(table: Any) -> Config:
    settings = replace(_settings(table), stall_ms=STALL_MS)  # actions of the simulator take no time
    raw = table["settings"]
    return Config(
        name=_require(table, "name", str),
        listen=_address(table, "listen"),
        discovery=_address(table, "discovery"),
        seed=_seed(table),
        memory_bytes=int(_positive(table, "limits.memory_mb") * 1024 * 1024),
        descriptors=int(_positive(table, "limits.sockets")),
        known=_require(table, "known", dict),
        admin=_address(table, "admin_addr") if table.get("admin_addr") else None,
        settings=settings,
        idle_ms=_positive(raw, "limits.connIdleMs"),
        connect_ms=_positive(raw, "limits.connectTimeoutMs"),
        report_names=settings.report_fields,
    )
