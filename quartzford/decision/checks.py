"""Checks of the values that records are built with."""

from __future__ import annotations


def require_not_negative(record: object, *names: str) -> None:
    """Raise ValueError, naming the field, unless these fields are finite numbers of 0 or more."""
    for name in names:
        value = getattr(record, name)
        if not isinstance(value, int | float) or not 0 <= value < float("inf"):
            raise ValueError(f"{name}: {value!r} is not a figure of 0 or more")
