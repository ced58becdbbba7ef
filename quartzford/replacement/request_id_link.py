"""Announces the correlation IDs that are claimed here to the paired process, and adopts those from there.

Both processes serve clients of one balancer: an ID that is open in one must not be served in the other.
"""

from __future__ import annotations

from itertools import islice
from typing import Protocol

from quartzford.replacement.channel import Channel
from quartzford.replacement.messages import Message, RequestIdsClaimed

MAX_IDS_PER_MESSAGE = 400


class RequestIdOwner(Protocol):
    """Has the IDs that this process refuses."""

    def adopt_request_id(self, identity: str, retention_s: float) -> None:
        """Refuse an ID that the other process has claimed, for this many seconds."""


class RequestIdLink:
    """The connection to a process that also reads RequestIdsClaimed; inactive without one."""

    def __init__(self, owner: RequestIdOwner) -> None:
        self.channel: Channel | None = None
        self._owner = owner

    def announce(self, retention_s: dict[str, float]) -> None:
        """Send IDs to the other process, each with the seconds for which it is refused there."""
        if self.channel is None:
            return
        items = iter(retention_s.items())
        while batch := dict(islice(items, MAX_IDS_PER_MESSAGE)):
            self.channel.send(RequestIdsClaimed(batch))

    def receive(self) -> None:
        """Adopt the IDs that have arrived; other messages are handled in the next turn of the event loop."""
        if self.channel is not None:
            self.channel.receive_now(self.handle)

    def handle(self, message: Message) -> bool:
        """Adopt the IDs of a message; return whether it had any."""
        if not isinstance(message, RequestIdsClaimed):
            return False
        for identity, retention_s in message.retention_s.items():
            self._owner.adopt_request_id(identity, retention_s)
        return True
