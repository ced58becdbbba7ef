"""What passes between the two processes, in msgpack by msgspec: messages and the state, bounded.

Messages are datagrams of at most MOST_BYTES on a SOCK_SEQPACKET socket; the state, which may be longer, goes
in parts. What can't be read costs a cold start, never the service.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

from quartzford.decision import interface as io

STATE_FORMAT = 3
MAX_MESSAGE_BYTES = 48 * 1024  # of one message
MAX_STATE_BYTES = 16 * 1024 * 1024


class Hello(msgspec.Struct, tag="hello"):
    """The successor, ready to serve but for what it is about to be given."""

    format: int
    pid: int


class ListenerTransfer(msgspec.Struct, tag="listener"):
    """With the listening socket. parts: of the state that follow."""

    parts: int


class StatePart(msgspec.Struct, tag="part"):
    """A piece of the state, in order."""

    number: int
    data: bytes


class Serving(msgspec.Struct, tag="serves"):
    """The successor takes connections."""


class Heartbeat(msgspec.Struct, tag="beat"):
    """The successor lives."""


class ClientTransfer(msgspec.Struct, tag="client"):
    """With a client's connection at rest."""


class MaintenanceUpdate(msgspec.Struct, tag="hand"):
    """An upstream was taken out, or put back, at the sender."""

    name: str
    out: bool


Message = Hello | ListenerTransfer | StatePart | Serving | Heartbeat | ClientTransfer | MaintenanceUpdate


class BalancerState(msgspec.Struct):
    """All that the successor is given. listing: in discovery's form; version: from which changes may follow,
    None if none may; discovery: host and port whose version that is; busy: clients with a request open.

    Moments in it are milliseconds on the sender's scale. anchor_ms is that scale less the monotonic clock
    that both processes share, so the receiver can move them to its own. listed_ms: when the list was last
    known to be discovery's, None for never; starts: when young incarnations started, by host. A sender of an
    earlier version leaves the last three out, a receiver of one passes over them.
    """

    format: int
    listing: dict[str, Any]
    version: int | None
    discovery: list[str | int]
    heard: bool
    busy: int
    memory: io.LearnedState
    anchor_ms: float | None = None
    listed_ms: float | None = None
    starts: dict[str, float] = {}

    def __post_init__(self) -> None:
        moments = [self.anchor_ms, self.listed_ms, *self.starts.values()]
        if not all(moment is None or math.isfinite(moment) for moment in moments):
            raise ValueError("anchor_ms, listed_ms or starts is not finite")


_encoder = msgspec.msgpack.Encoder()
_messages: Any = msgspec.msgpack.Decoder(Message)
_states: Any = msgspec.msgpack.Decoder(BalancerState)
_formats: Any = msgspec.msgpack.Decoder(dict[str, Any])


def encode_message(message: Message) -> bytes:
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """ValueError where it is none of ours."""
    try:
        message: Message = _messages.decode(data)
        return message
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"a message that can't be read: {error}") from None


def split_state(state: BalancerState) -> list[bytes]:
    data = _encoder.encode(state)
    return [data[at : at + MAX_MESSAGE_BYTES // 2] for at in range(0, len(data), MAX_MESSAGE_BYTES // 2)]


def decode_state(data: bytes) -> BalancerState:
    """ValueError with the reason: another format, bounds, types, figures that can't be."""
    if len(data) > MAX_STATE_BYTES:
        raise ValueError(f"a state of {len(data)} bytes; {MAX_STATE_BYTES} are read at most")
    try:
        told = _formats.decode(data).get("format")
        if told != STATE_FORMAT:
            raise ValueError(f"a state of format {told!r}; this process reads {STATE_FORMAT}")
        state: BalancerState = _states.decode(data)
        return state
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise ValueError(f"a state that can't be read: {error}") from None
