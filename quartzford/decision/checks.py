"""Validation of record fields."""

from __future__ import annotations


def require_not_negative(record: object, *names: str) -> None:
    """Raise a ValueError that names the field unless each of these fields is finite and at least 0."""
    for name in names:
        value = getattr(record, name)
        if not isinstance(value, int | float) or not 0 <= value < float("inf"):
            raise ValueError(f"{name}: {value!r} is not a finite number of at least 0")
