"""Requests that have ended, remembered until their clients' time is over. No I/O.

A copy of such a request that arrives late is recognized by its correlation id.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from quartzford.fronts.extproc.decision_messages import Reply

MAX_COMPLETED = 65_536
COMPLETED_RETENTION_S = 1.0  # a completed request is remembered for so much longer than its client's time


class CompletedRequest(NamedTuple):
    """What is remembered of a request. expires_at: seconds on the monotonic clock."""

    number: int
    expires_at: float
    reply: Reply
    never_ran: bool


class CompletedRequests:
    """Completed requests by correlation id, the oldest end first."""

    def __init__(self) -> None:
        self._by_identity: OrderedDict[str, CompletedRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_identity)

    def __getitem__(self, identity: str) -> CompletedRequest:
        return self._by_identity[identity]

    def get(self, identity: str) -> CompletedRequest | None:
        """The completed request with this correlation id, if it is remembered."""
        return self._by_identity.get(identity)

    def add(self, identity: str, request: CompletedRequest, now: float) -> None:
        """Remember a request; forget those whose time is over at `now` (seconds), and any above the bound."""
        self._by_identity[identity] = request
        self._by_identity.move_to_end(identity)
        while self._by_identity:
            oldest = next(iter(self._by_identity.values()))
            if oldest.expires_at > now and len(self._by_identity) <= MAX_COMPLETED:
                break
            self._by_identity.popitem(last=False)
