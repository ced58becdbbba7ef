"""Canonical text encoding of the program's values, which allows bit-exact comparison of two versions.

The encoding contains the values of a record in the order in which its type declares the fields. It omits the
names of types and fields, so that renaming a field or a class leaves the text unchanged. Two tables hold the
words that would otherwise change with a rename: `ACTION_TAGS` has a fixed word for each type of action, and
`FROZEN_WORDS` has the fixed word for each enum value (for example, an outcome's code) that was renamed after
the frozen files were written.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import fields, is_dataclass
from typing import Any, NamedTuple

import msgspec

from quartzford.decision import interface as io

ACTION_TAGS: dict[type, str] = {
    io.Send: "send",
    io.Shed: "refuse",
    io.Fail: "fail",
    io.Cancel: "cancel",
    io.HealthCheck: "probe",
    io.SetTimer: "timer",
    io.Watch: "watch",
    io.Log: "log",
}
FROZEN_WORDS: dict[str, str] = {}  # current spelling of a value -> its spelling in the frozen files


def to_json_types(value: Any) -> Any:
    """Return the value in JSON types: a record becomes the list of its field values in declaration order."""
    if is_dataclass(value) and not isinstance(value, type):
        return [to_json_types(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, msgspec.Struct):
        return [to_json_types(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, list | tuple):
        return [to_json_types(item) for item in value]
    if isinstance(value, dict):
        return {key: to_json_types(item) for key, item in value.items()}
    if isinstance(value, bytes | bytearray):
        return bytes(value).hex()
    if isinstance(value, str):
        return FROZEN_WORDS.get(value, value)
    if value is None or isinstance(value, bool | int | float):
        return value
    raise TypeError(f"{type(value).__name__}: no canonical encoding for this type")


def canonical_text(value: Any) -> str:
    """Return the value as one line of JSON.

    JSON writes the shortest text that parses to the same float; the integer 1 and the float 1.0 differ.
    """
    return json.dumps(to_json_types(value))


class StreamDigest(NamedTuple):
    """Number of actions that a module returned for an event stream, and the SHA-256 of their text."""

    count: int
    sha256: str


class ActionDigest:
    """Accumulates the digest of a sequence of actions, one event at a time."""

    def __init__(self) -> None:
        self._hash = hashlib.sha256()
        self._count = 0

    def add(self, actions: list[io.Action]) -> None:
        """Add the actions that the module returned for one event."""
        lines = [f"{ACTION_TAGS[type(action)]} {canonical_text(action)}\n" for action in actions]
        self._count += len(lines)
        self._hash.update("".join([*lines, "\n"]).encode())

    def result(self) -> StreamDigest:
        """Return the count and digest of all actions added so far."""
        return StreamDigest(self._count, self._hash.hexdigest())
