"""Schedules polls of the endpoint list: one at the start, and after failures with exponential backoff."""

from __future__ import annotations

import random

from quartzford.decision import interface as io

# The first call waits up to this share of the poll interval: all balancers of a fleet may start at once.
MAX_FIRST_WAIT_SHARE = 0.3
BASE_BACKOFF_MS = 500.0  # doubled with each consecutive failure, the first included
MAX_BACKOFF_DOUBLINGS = 6
MAX_BACKOFF_SHARE = 0.5  # the backoff is at most this share of the poll interval
BACKOFF_JITTER = (0.5, 1.0)  # range of the random factor


class ListPolling:
    """Decides when to poll the list service, by the results of earlier calls."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.started = False
        self.failures = 0  # consecutive

    def next_call_ms(self, update_kind: str, settings: io.Settings) -> float | None:
        """Return the wait in ms before the next call, given the kind of a list update; None: no call."""
        poll_interval = settings.rules.poll_interval_ms
        if not self.started:
            self.started = True
            if not settings.polls_list:
                return None
            return self.rng.random() * MAX_FIRST_WAIT_SHARE * poll_interval
        if update_kind != io.ListUpdateKind.FAILED:
            self.failures = 0
            return None
        self.failures += 1
        backoff = BASE_BACKOFF_MS * 2.0 ** min(self.failures, MAX_BACKOFF_DOUBLINGS)
        wait: float = min(MAX_BACKOFF_SHARE * poll_interval, backoff)
        return wait * self.rng.uniform(*BACKOFF_JITTER)
