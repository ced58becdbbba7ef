"""The state that a predecessor hands over, encoded in msgpack, with bounds on the values that are decoded.

The encoded state may be longer than a message, so it is sent in parts. If the successor cannot decode it, the
successor starts without learned state, but it serves in any case.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

import msgspec

from quartzford.decision import interface as io
from quartzford.replacement.encoded_learned_state import EncodedLearnedState
from quartzford.replacement.errors import StateFormatError
from quartzford.replacement.messages import MAX_MESSAGE_BYTES

STATE_FORMAT = 3
MAX_STATE_BYTES = 16 * 1024 * 1024
PART_BYTES = MAX_MESSAGE_BYTES // 2


@dataclass(slots=True)
class BalancerState:
    """All data that a successor receives, apart from sockets.

    Points in time are milliseconds on the sender's time scale; ValueError is raised if one is not finite. A
    sender of an earlier version omits the last three fields, and a receiver of an earlier version ignores
    them.

    format: STATE_FORMAT of the sender.
    listing: the endpoint list, in the format of discovery.
    version: version of the list, to which later changes can be applied; None if they cannot.
    discovery: host and port of the list service to which the version belongs.
    discovery_answered: whether that list service has already answered the sender.
    busy_clients: number of client connections with an open request.
    memory: the learned state of the decision module.
    anchor_ms: the sender's time scale minus the monotonic clock, which both processes share. The receiver
        uses it to convert times to its own scale.
    list_known_ms: last time at which the list was known to match discovery's; None for never.
    start_times_ms: start times of recently started incarnations, by endpoint.
    """

    format: int
    listing: dict[str, Any]
    version: int | None
    discovery: list[str | int]
    discovery_answered: bool
    busy_clients: int
    memory: io.LearnedState
    anchor_ms: float | None = None
    list_known_ms: float | None = None
    start_times_ms: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        times = [self.anchor_ms, self.list_known_ms, *self.start_times_ms.values()]
        if not all(time is None or math.isfinite(time) for time in times):
            raise ValueError("anchor_ms, list_known_ms or start_times_ms is not finite")


class EncodedBalancerState(
    msgspec.Struct,
    rename={
        "discovery_answered": "heard",
        "busy_clients": "busy",
        "list_known_ms": "listed_ms",
        "start_times_ms": "starts",
    },
):
    """The encoded form of a BalancerState, with the same fields in the same order.

    Other versions of the program read it: encoded names and field order must not change, and new fields come
    last, with a default.
    """

    format: int
    listing: dict[str, Any]
    version: int | None
    discovery: list[str | int]
    discovery_answered: bool
    busy_clients: int
    memory: EncodedLearnedState
    anchor_ms: float | None = None
    list_known_ms: float | None = None
    start_times_ms: dict[str, float] = msgspec.field(default_factory=dict)

    @classmethod
    def encode(cls, state: BalancerState) -> EncodedBalancerState:
        """Return the encoded form of a state."""
        values = {name: getattr(state, name) for name in cls.__struct_fields__}
        values["memory"] = EncodedLearnedState.encode(state.memory)
        return cls(**values)

    def decode(self) -> BalancerState:
        """Return the state; raise ValueError if a value is out of bounds."""
        values = msgspec.structs.asdict(self)
        values["memory"] = self.memory.decode()
        return BalancerState(**values)


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[EncodedBalancerState] = msgspec.msgpack.Decoder(EncodedBalancerState)
_any_format_decoder: msgspec.msgpack.Decoder[dict[str, Any]] = msgspec.msgpack.Decoder(dict[str, Any])


def split_state(state: BalancerState) -> list[bytes]:
    """Return the encoded state in parts, each of which fits into a message."""
    data = _encoder.encode(EncodedBalancerState.encode(state))
    return [data[start : start + PART_BYTES] for start in range(0, len(data), PART_BYTES)]


def decode_state(data: bytes) -> BalancerState:
    """Return the state decoded from its joined parts.

    Raise StateFormatError if the data is too long, truncated or of another format, or if a value is invalid.
    """
    if len(data) > MAX_STATE_BYTES:
        raise StateFormatError(f"the state has {len(data)} bytes; {MAX_STATE_BYTES} is the maximum")
    try:
        sent_format = _any_format_decoder.decode(data).get("format")
        if sent_format != STATE_FORMAT:
            raise StateFormatError(
                f"the state has format {sent_format!r}; this process reads format {STATE_FORMAT}"
            )
        return _decoder.decode(data).decode()
    except (msgspec.MsgspecError, ValueError, RecursionError, OverflowError) as error:
        raise StateFormatError(f"the state cannot be decoded: {error}") from None
