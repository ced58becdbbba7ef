"""Sends several complete lists at the same time, one part of each in turn. No I/O."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from quartzford.engine import Clock

PARTS_PER_ITERATION = 4  # per event loop iteration: a change waits for at most this number of parts


class PartSender(Protocol):
    """A connection on which a complete list is being sent."""

    def send_part(self) -> bool:
        """Write the next part; return whether another part may follow at once."""


class TransferQueue:
    """Round robin over the connections that can take another part."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._senders: deque[PartSender] = deque()
        self._scheduled = False

    def add(self, sender: PartSender) -> None:
        """Queue a connection to send its next part, after the connections that were added before it."""
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
