"""Complete lists that are being sent at the same time, each a part in turn. No I/O."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from quartzford.engine import Clock

PARTS_PER_ITERATION = 4  # of the event loop: a change that is written next waits for no more than these


class PartSender(Protocol):
    """A connection on which a complete list is being sent."""

    def send_part(self) -> bool:
        """Write the next part; whether another one may follow at once."""


class TransferQueue:
    """Round robin over the connections that can take another part."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._senders: deque[PartSender] = deque()
        self._scheduled = False

    def add(self, sender: PartSender) -> None:
        """Let a connection send its next part, after those that were added before it."""
        self._senders.append(sender)
        if not self._scheduled:
            self._scheduled = True
            self._clock.call_soon(self._send_parts)

    def _send_parts(self) -> None:
        for _ in range(min(PARTS_PER_ITERATION, len(self._senders))):
            sender = self._senders.popleft()
            if sender.send_part():
                self._senders.append(sender)
        self._scheduled = bool(self._senders)
        if self._scheduled:
            self._clock.call_soon(self._send_parts)
