"""A canonical text for what the program computes, so that two versions of it can be compared to the bit.

Values are written in the order in which their type declares its fields, without the names of types or fields:
a field or a class may be renamed, and the text stays. What a rename does change stands here, in one place:
`ACTION_TAGS` has a fixed word for each kind of action, and `FROZEN_WORDS` the fixed word for each of the
program's own terms that is itself a value (an outcome's code, say) and has been renamed since.
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
FROZEN_WORDS: dict[str, str] = {}  # a value's present word: the word that the frozen files have for it


def to_json_types(value: Any) -> Any:
    """The value in JSON's types: records as lists of their fields' values, in the order of declaration."""
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
    raise TypeError(f"{type(value).__name__}: no canonical text for it")


def canonical_text(value: Any) -> str:
    """One line. JSON has the shortest text that gives the same float again; 1 and 1.0 differ."""
    return json.dumps(to_json_types(value))


class StreamDigest(NamedTuple):
    """How many actions a stream brought forth, and the SHA-256 of their text."""

    count: int
    sha256: str


class ActionDigest:
    """Digest of a stream of actions, event by event."""

    def __init__(self) -> None:
        self._hash = hashlib.sha256()
        self._count = 0

    def add(self, actions: list[io.Action]) -> None:
        """The answer to one event."""
        lines = [f"{ACTION_TAGS[type(action)]} {canonical_text(action)}\n" for action in actions]
        self._count += len(lines)
        self._hash.update("".join([*lines, "\n"]).encode())

    def result(self) -> StreamDigest:
        """What was added so far."""
        return StreamDigest(self._count, self._hash.hexdigest())
