"""The state that a predecessor hands over, in msgpack, with bounds on what is read.

It may be longer than a message and goes in parts. A state that can't be read costs a cold start, never the
service.
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
    """All that a successor is given besides sockets.

    Moments in it are milliseconds on the sender's scale; ValueError where one is not finite. A sender of an
    earlier version leaves the last three fields out, a receiver of one passes over them.

    format: STATE_FORMAT of the sender.
    listing: the endpoint list, in the form that discovery sends.
    version: of the list, from which changes may follow; None where none may.
    discovery: host and port of the service whose version that is.
    discovery_answered: whether that service has answered the sender yet.
    busy_clients: client connections with a request open.
    memory: what the decision module has learned.
    anchor_ms: the sender's scale less the monotonic clock, which both processes share: the receiver moves
        moments to its own scale by it.
    list_known_ms: when the list was last known to be discovery's; None for never.
    start_times_ms: when young incarnations started, by endpoint.
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
        moments = [self.anchor_ms, self.list_known_ms, *self.start_times_ms.values()]
        if not all(moment is None or math.isfinite(moment) for moment in moments):
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
    """A BalancerState as it is encoded, with the same fields in the same order.

    Other versions of the program read it: encoded names and order stay, new fields come last with a default.
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
        """The record of a state."""
        values = {name: getattr(state, name) for name in cls.__struct_fields__}
        values["memory"] = EncodedLearnedState.encode(state.memory)
        return cls(**values)

    def decode(self) -> BalancerState:
        """The state; ValueError where a value in it is out of its bounds."""
        values = msgspec.structs.asdict(self)
        values["memory"] = self.memory.decode()
        return BalancerState(**values)


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[EncodedBalancerState] = msgspec.msgpack.Decoder(EncodedBalancerState)
_any_format_decoder: msgspec.msgpack.Decoder[dict[str, Any]] = msgspec.msgpack.Decoder(dict[str, Any])


def split_state(state: BalancerState) -> list[bytes]:
    """The encoded state in parts that fit into a message each."""
    data = _encoder.encode(EncodedBalancerState.encode(state))
    return [data[start : start + PART_BYTES] for start in range(0, len(data), PART_BYTES)]


def decode_state(data: bytes) -> BalancerState:
    """The state out of its joined parts.

    StateFormatError where it is too long, cut off, of another format, or has values that can't be.
    """
    if len(data) > MAX_STATE_BYTES:
        raise StateFormatError(f"a state of {len(data)} bytes; {MAX_STATE_BYTES} are read at most")
    try:
        sent_format = _any_format_decoder.decode(data).get("format")
        if sent_format != STATE_FORMAT:
            raise StateFormatError(f"a state of format {sent_format!r}; this process reads {STATE_FORMAT}")
        return _decoder.decode(data).decode()
    except (msgspec.MsgspecError, ValueError, RecursionError, OverflowError) as error:
        raise StateFormatError(f"a state that can't be read: {error}") from None
