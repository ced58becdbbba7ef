"""Completed requests, kept until shortly after their clients' deadlines. No I/O.

They make a late copy of a completed request recognizable by its correlation id.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from quartzford.fronts.extproc.decision_messages import Reply

MAX_COMPLETED = 65_536
COMPLETED_RETENTION_S = 1.0  # a completed request is kept for this long after its client's deadline


class CompletedRequest(NamedTuple):
    """The stored facts of a completed request. expires_at: seconds on the monotonic clock."""

    number: int
    expires_at: float
    reply: Reply
    never_ran: bool


class CompletedRequests:
    """Completed requests by correlation id, ordered by completion, the earliest first."""

    def __init__(self) -> None:
        self._by_identity: OrderedDict[str, CompletedRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_identity)

    def __getitem__(self, identity: str) -> CompletedRequest:
        return self._by_identity[identity]

    def get(self, identity: str) -> CompletedRequest | None:
        """Return the completed request with this correlation id; None if none is stored."""
        return self._by_identity.get(identity)

    def add(self, identity: str, request: CompletedRequest, now: float) -> None:
        """Store a request; delete those expired by `now` (seconds), and the oldest above MAX_COMPLETED."""
        self._by_identity[identity] = request
        self._by_identity.move_to_end(identity)
        while self._by_identity:
            oldest = next(iter(self._by_identity.values()))
            if oldest.expires_at > now and len(self._by_identity) <= MAX_COMPLETED:
                break
            self._by_identity.popitem(last=False)
