"""Parsers of header values, shared by all fronts and backends."""

from __future__ import annotations

import json
import math
import re

TIME_UNITS_MS = {"m": 1.0, "u": 0.001}  # milliseconds per unit, by the last letter of the value, as in gRPC
TIME_LEFT_FORM = re.compile(r"[0-9]{1,20}(?:\.[0-9]{1,20})?[mu]")
MAX_TIME_LEFT_MS = 1e9
MAX_NUMBER = 1e12

# Some upstreams name the fields of a load report as the settings do, others as the simulator does.
REPORT_ALIASES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


def read_time_left(text: str) -> float | None:
    """Return an X-Time-Left value ("480m", "250000u") in milliseconds; None if it is invalid.

    Valid is a decimal number, with or without a fraction, and its unit; no sign, no exponent.
    """
    if TIME_LEFT_FORM.fullmatch(text) is None:
        return None
    value = float(text[:-1]) * TIME_UNITS_MS[text[-1]]
    return value if value < MAX_TIME_LEFT_MS else None


def read_cookie(text: str, name: str) -> str:
    """Return the value of the named cookie in a Cookie header; "" if the header does not contain it."""
    for part in text.split(";"):
        key, _, value = part.strip().partition("=")
        if key == name:
            return value
    return ""


def read_number(text: str) -> float:
    """Return a non-negative number; 0 if the text is not a number or is out of bounds."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0 <= value < MAX_NUMBER else 0.0


def read_report(text: bytes, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the load report's values in the order of `names`, or an empty tuple if the report is malformed.

    A field may have the settings' name or its alias.
    """
    try:
        table = json.loads(text)
        values = tuple(
            float(table[name] if name in table else table[REPORT_ALIASES.get(name, name)]) for name in names
        )
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
        return ()  # a malformed load report must not invalidate the response that carries it
    return values if all(0 <= value < math.inf for value in values) else ()
