"""The correlation IDs of requests that are open or may still run. Does no I/O.

A client gives every request an ID of its own; a request with the ID of another one would run a second time.
While two processes serve as one balancer, each announces the IDs that it claims to the other one.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from typing import Protocol

RETENTION_S = 10.0  # at the least, from when the client of a request that may run has left
MAX_RETAINED = 16_384  # IDs of requests whose clients have left; above that, the earliest is forgotten
MAX_KEY_CHARS = 64  # of a longer ID, a digest is stored
DIGEST_BYTES = 16


class PairedProcess(Protocol):
    """The predecessor or successor of this process, which serves clients of the same balancer."""

    def announce_request_id(self, identity: str, retention_s: float) -> None:
        """Tell the process that an ID is claimed here; it refuses the ID for `retention_s` seconds."""

    def receive_announcements(self) -> None:
        """Adopt the IDs that the process has announced so far."""


class RequestIds:
    """The IDs of one balancer's requests. Times are seconds on the engine's clock."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.paired_process: PairedProcess | None = None
        self._now = now
        self._open: set[str] = set()
        self._retained: dict[str, float] = {}  # until when, in the order in which they were retained

    def claim(self, identity: str, retention_s: float) -> bool:
        """Claim the ID of a request that has arrived; return False if it may not be served.

        The other process learns of the claim before its own claims are read. So of two processes that claim
        an ID at the same time, at least one is refused. retention_s: how long the other process refuses it.
        """
        key = _key(identity)
        if self._is_taken(key):
            return False
        if self.paired_process is not None:
            self.paired_process.announce_request_id(key, retention_s)
            self.paired_process.receive_announcements()
            if self._is_taken(key):
                return False
        self._open.add(key)
        return True

    def release(self, identity: str) -> None:
        """Forget an ID: its request was answered, or has never run and never will."""
        self._open.discard(_key(identity))

    def retain(self, identity: str, deadline: float) -> None:
        """Keep an ID whose client has left while it may run: until its deadline, and for RETENTION_S."""
        key = _key(identity)
        if key in self._open:
            self._open.remove(key)
            self._retain(key, max(deadline, self._now() + RETENTION_S))

    def adopt(self, key: str, retention_s: float) -> None:
        """Refuse an ID that the other process has claimed, for `retention_s` seconds from now."""
        self._retain(key[:MAX_KEY_CHARS], self._now() + retention_s)

    def unexpired(self, open_retention_s: float) -> dict[str, float]:
        """Return the time in seconds for which a successor has to refuse each ID.

        open_retention_s: that time for the IDs of open requests.
        """
        now = self._now()
        times = {key: until - now for key, until in self._retained.items() if until > now}
        times.update(dict.fromkeys(self._open, open_retention_s))
        return times

    def _is_taken(self, key: str) -> bool:
        return key in self._open or (key in self._retained and self._retained[key] > self._now())

    def _retain(self, key: str, until: float) -> None:
        retained = self._retained
        retained.pop(key, None)
        retained[key] = until
        now = self._now()
        while retained:
            oldest = next(iter(retained))
            if retained[oldest] > now and len(retained) <= MAX_RETAINED:
                break
            del retained[oldest]


def _key(identity: str) -> str:
    """Return the ID itself, or a digest of a long one."""
    if len(identity) <= MAX_KEY_CHARS:
        return identity
    return blake2b(identity.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES).hexdigest()
