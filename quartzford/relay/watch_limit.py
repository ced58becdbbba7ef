"""Limits the number of watches that a relay admits. No I/O. Times are in seconds.

A relay admits its share of the fleet. Further watches are rejected, and the balancer calls the next relay in
its order, which bounds the load of each relay. A balancer that retries soon has been rejected by all other
relays, because some relays have failed. It is admitted as long as the descriptors of the process suffice: a
relay over its share is better than a balancer without a list.
"""

from __future__ import annotations

from collections import OrderedDict

RETRY_WINDOW_S = 10.0  # a balancer that all relays reject calls each relay again within six seconds
MAX_REMEMBERED_HOSTS = 10_000  # rejected hosts; the oldest entries are dropped first


class WatchLimit:
    """share: the limit for watches of any host. maximum: the limit for watches of hosts that retry soon."""

    def __init__(self, share: int, maximum: int) -> None:
        self.share = share
        self.maximum = max(share, maximum)
        self._rejected_at: OrderedDict[str, float] = OrderedDict()  # by host

    def admits(self, host: str, watches: int, now: float) -> bool:
        """Return whether a balancer at this host may open a watch. watches: the number of open watches."""
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
        if len(self._rejected_at) > MAX_REMEMBERED_HOSTS:
            self._rejected_at.popitem(last=False)
