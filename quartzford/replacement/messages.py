"""The messages between predecessor and successor, in msgpack.

A message is a datagram of at most MAX_MESSAGE_BYTES on a SOCK_SEQPACKET socket. Tags and field names as they
are encoded are read by other versions of the program: they stay when a class or an attribute is renamed.
"""

from __future__ import annotations

import msgspec

from quartzford.replacement.errors import MessageFormatError

MAX_MESSAGE_BYTES = 48 * 1024


class Hello(msgspec.Struct, tag="hello"):
    """From a successor that is ready to serve, but for what the predecessor is about to give it."""

    state_format: int = msgspec.field(name="format")
    process_id: int = msgspec.field(name="pid")


class ListenerTransfer(msgspec.Struct, tag="listener"):
    """To the successor, with the listening socket. part_count: how many parts of the state follow."""

    part_count: int = msgspec.field(name="parts")


class StatePart(msgspec.Struct, tag="part"):
    """To the successor: a piece of the encoded state. Pieces are sent in order, numbered from 0."""

    number: int
    data: bytes


class Serving(msgspec.Struct, tag="serves"):
    """From a successor that accepts connections from now on."""


class Heartbeat(msgspec.Struct, tag="beat"):
    """From a successor that is alive."""


class ClientTransfer(msgspec.Struct, tag="client"):
    """To the successor, with the socket of an idle client connection."""


class MaintenanceUpdate(msgspec.Struct, tag="hand"):
    """In both directions: an operator took an endpoint out at the sender, or put it back."""

    endpoint: str = msgspec.field(name="name")
    in_maintenance: bool = msgspec.field(name="out")


Message = Hello | ListenerTransfer | StatePart | Serving | Heartbeat | ClientTransfer | MaintenanceUpdate

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """The message as one datagram."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """The message in a datagram; MessageFormatError where there is none that this version knows."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MessageFormatError(f"a message that can't be read: {error}") from None
