"""How many watches a relay admits. No I/O. Times are in seconds.

A relay takes its share of the fleet. Beyond that a watch is rejected, and the balancer calls the next relay
in its order: that bounds the load of each. A balancer that retries soon has been rejected everywhere else, as
relays are gone, and is admitted up to what the process's descriptors allow: a relay over its share is better
than a balancer without a list.
"""

from __future__ import annotations

from collections import OrderedDict

RETRY_WINDOW_S = 10.0  # a balancer that is rejected everywhere calls each relay again within six seconds
MAX_REMEMBERED = 10_000  # rejected hosts; the oldest are forgotten first


class WatchLimit:
    """share: watches that are admitted from any host; maximum: from those that retry soon."""

    def __init__(self, share: int, maximum: int) -> None:
        self.share = share
        self.maximum = max(share, maximum)
        self._rejected_at: OrderedDict[str, float] = OrderedDict()  # by host

    def admits(self, host: str, watches: int, now: float) -> bool:
        """Whether a balancer at this host gets a watch. watches: those that there are by now."""
        rejected_at = self._rejected_at.pop(host, None)
        if watches < self.share:
            return True
        retries_soon = rejected_at is not None and now - rejected_at <= RETRY_WINDOW_S
        if retries_soon and watches < self.maximum:
            return True
        self._remember_rejected(host, now)
        return False

    def _remember_rejected(self, host: str, now: float) -> None:
        self._rejected_at[host] = now
        if len(self._rejected_at) > MAX_REMEMBERED:
            self._rejected_at.popitem(last=False)
