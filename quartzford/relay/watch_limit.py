"""How many watches a relay takes. No I/O.

A relay takes its share of the fleet. Past that it turns a watch away, and the balancer asks the next relay in
its order: that bounds the load of each. Who comes again soon has found no room elsewhere, as relays are gone,
and is taken all the same, up to what the process's descriptors bear: a relay over its share is better than a
balancer without a list. Times are in seconds.
"""

from __future__ import annotations

from collections import OrderedDict

RETRY_WINDOW_S = 10.0  # a balancer that finds no room asks each relay again within six seconds
MAX_REMEMBERED = 10_000  # balancers that were turned away; the oldest are forgotten first


class WatchLimit:
    """share: watches that are taken from anybody; most: from those that found no room elsewhere."""

    def __init__(self, share: int, maximum: int) -> None:
        self.share, self.maximum = share, max(share, maximum)
        self._rejected_at: OrderedDict[str, float] = OrderedDict()  # by the balancer's host: when

    def admits(self, host: str, watches: int, now: float) -> bool:
        """Whether a balancer at this host gets a watch beside those that there are."""
        if watches < self.share:
            self._rejected_at.pop(host, None)
            return True
        before = self._rejected_at.pop(host, None)
        if before is not None and now - before <= RETRY_WINDOW_S and watches < self.maximum:
            return True
        self._rejected_at[host] = now
        if len(self._rejected_at) > MAX_REMEMBERED:
            self._rejected_at.popitem(last=False)
        return False
