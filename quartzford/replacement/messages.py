"""The messages between predecessor and successor, encoded in msgpack.

A message is a datagram of at most MAX_MESSAGE_BYTES on a SOCK_SEQPACKET socket. Other versions of the program
read the encoded tags and field names, so these must not change when a class or an attribute is renamed.
"""

from __future__ import annotations

import msgspec

from quartzford.replacement.errors import MessageFormatError

MAX_MESSAGE_BYTES = 48 * 1024


class Hello(msgspec.Struct, tag="hello", omit_defaults=True):
    """Sent by a successor that needs only the predecessor's listening socket and state to serve.

    shares_request_ids: it reads RequestIdsClaimed; an earlier version, which omits the field, does not.
    """

    state_format: int = msgspec.field(name="format")
    process_id: int = msgspec.field(name="pid")
    shares_request_ids: bool = msgspec.field(name="ids", default=False)


class ListenerTransfer(msgspec.Struct, tag="listener", omit_defaults=True):
    """Sent to the successor with the listening socket. part_count: the number of state parts that follow.

    shares_request_ids: the predecessor reads RequestIdsClaimed, as in Hello.
    """

    part_count: int = msgspec.field(name="parts")
    shares_request_ids: bool = msgspec.field(name="ids", default=False)


class StatePart(msgspec.Struct, tag="part"):
    """Sent to the successor: one part of the encoded state. Parts are sent in order and numbered from 0."""

    number: int
    data: bytes


class Serving(msgspec.Struct, tag="serves"):
    """Sent by a successor when it starts to accept connections."""


class Heartbeat(msgspec.Struct, tag="beat"):
    """Sent periodically by a successor that serves, to show that it still runs."""


class ClientTransfer(msgspec.Struct, tag="client"):
    """Sent to the successor with the socket of an idle client connection."""


class MaintenanceUpdate(msgspec.Struct, tag="hand"):
    """Sent in both directions: an operator of the sender put an endpoint in maintenance or ended it."""

    endpoint: str = msgspec.field(name="name")
    in_maintenance: bool = msgspec.field(name="out")


class RequestIdsClaimed(msgspec.Struct, tag="ids"):
    """Sent in both directions: the receiver refuses requests with these IDs.

    retention_s: for how many seconds it does so, by ID.
    """

    retention_s: dict[str, float] = msgspec.field(name="ids")


Message = (
    Hello
    | ListenerTransfer
    | StatePart
    | Serving
    | Heartbeat
    | ClientTransfer
    | MaintenanceUpdate
    | RequestIdsClaimed
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the encoded message, which is sent as one datagram."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Return the message in a datagram; raise MessageFormatError if this version cannot decode it."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MessageFormatError(f"the message cannot be decoded: {error}") from None
