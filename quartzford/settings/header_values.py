"""Header values, read the same by every front and backend."""

from __future__ import annotations

import json
import math

TIME_UNITS_MS = {"m": 1.0, "u": 0.001}  # by the last letter of the value, as in gRPC
MAX_TIME_LEFT_MS = 1e9
MAX_NUMBER = 1e12

# Some upstreams write a report's fields by the settings' names, some by the simulator's.
REPORT_ALIASES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


def read_time_left(text: str) -> float | None:
    """X-Time-Left ("480m", "250000u") in milliseconds; None when it can't be read."""
    try:
        value = float(text[:-1]) * TIME_UNITS_MS[text[-1:]]
    except (ValueError, KeyError):
        return None
    return value if 0 <= value < MAX_TIME_LEFT_MS else None


def read_cookie(text: str, name: str) -> str:
    """The value of a cookie in a Cookie header; "" where it has none of the name."""
    for part in text.split(";"):
        key, _, value = part.strip().partition("=")
        if key == name:
            return value
    return ""


def read_number(text: str) -> float:
    """A number from 0 up; 0 when it can't be read or is out of bounds."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0 <= value < MAX_NUMBER else 0.0


def read_report(text: bytes, names: tuple[str, ...]) -> tuple[float, ...]:
    """The load report's values in the settings' order, by either name; empty when it is malformed."""
    try:
        table = json.loads(text)
        values = tuple(
            float(table[name] if name in table else table[REPORT_ALIASES.get(name, name)]) for name in names
        )
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
        return ()  # whatever its bytes, a report must never spoil the answer that carries it
    return values if all(0 <= value < math.inf for value in values) else ()
