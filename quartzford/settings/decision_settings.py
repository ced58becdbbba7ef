"""Reads the decision module's settings from the `settings` object, which has one format for both hosts.

The hosts are the real balancer and the simulator. Unknown keys are ignored. A missing required key raises
KeyError. A value out of bounds raises ValueError, from the types of the settings. All times are in
milliseconds.
"""

from __future__ import annotations

from typing import Any

from quartzford.decision import interface as io

EFFECT_NAMES = {
    "free": "free",
    "guarded": "keyed",
    "single_shot": "unsafe",
}  # configured: internal name


def read_settings(config: dict[str, Any]) -> io.Settings:
    """Return the settings; raise KeyError, TypeError or ValueError if the `settings` object is malformed."""
    rules = config["guarantees"]
    limits = config["limits"]
    prices = config["prices"]
    goal = config["blend"]
    report = config["report"]
    classes = tuple(_read_class(entry) for entry in config["classes"])
    return io.Settings(
        zone=config["myZone"],
        balancers=config["nInstances"],
        classes=classes,
        tenants=tuple(io.Tenant(t["name"], t["quotaPerS"]) for t in config.get("customers") or ()),
        rules=_read_rules(rules),
        limits=_read_limits(limits),
        goal=_read_goal(goal),
        prices=_read_prices(prices),
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


def _read_class(entry: dict[str, Any]) -> io.ServiceClass:
    return io.ServiceClass(
        name=entry["name"],
        latency_objective_ms=entry["sloMs"],
        deadline_ms=entry["deadlineMs"],
        priority_weight=entry["value"],
        late_weight=entry.get("lateWorth", 0.0),
        effect=EFFECT_NAMES.get(entry["effect"], entry["effect"]),
        group=entry.get("group", "all"),
        window_ms=entry.get("memorySpanMs", 0.0),
        streaming=entry.get("streaming", False),
        objective_stretch=entry.get("aimStretch") or 0.0,
    )


def _read_rules(rules: dict[str, Any]) -> io.Rules:
    return io.Rules(
        answer_slack_ms=rules["answerSlackMs"],
        drain_grace_ms=rules["drainGraceMs"],
        poll_interval_ms=rules["askEveryMs"],
        slow_start_capacity=rules["startCapacity"],
        slow_start_ms=rules["coldMs"],
        overload_multiple=rules["tipMultiple"],
        overload_window_ms=rules["fallMs"],
    )


def _read_limits(limits: dict[str, Any]) -> io.Limits:
    return io.Limits(
        max_attempts=limits["maxAttempts"],
        may_cancel=limits.get("mayCancel", False),
        may_duplicate=limits.get("mayDuplicate", False),
        may_probe=limits.get("mayProbe", False),
        retry_after=limits.get("retryAfter", False),
        max_retry_after_ms=limits.get("maxRetryAfterMs", 0.0),
        multiplex=limits.get("multiplex", 1),
    )


def _read_goal(goal: dict[str, Any]) -> io.Goal:
    return io.Goal(
        complete=goal.get("whole", 1.0),
        worst_window=goal.get("worstWindow", 0.0),
        worst_class=goal.get("worstClass", 0.0),
        worst_tenant=goal.get("worstTenant", 0.0),
    )


def _read_prices(prices: dict[str, Any]) -> io.Prices:
    return io.Prices(
        cross_zone=prices.get("crossZone", 0.0),
        waste=prices.get("waste", 0.0),
        late_fail=prices.get("lateFail", 0.0),
        probe=prices.get("probe", 0.0),
        connection=prices.get("connection", 0.0),
        handshake=prices.get("handshake", 0.0),
    )
