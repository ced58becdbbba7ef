"""When the endpoint list is to be polled: once at the start, and after failures with a growing backoff."""

from __future__ import annotations

import random

from quartzford.decision import interface as io

FIRST_CALL_SPREAD = 0.3  # of the poll interval: all of a fleet may start at once
BACKOFF_MS = 500.0  # doubles with each failure ...
MAX_BACKOFF_DOUBLINGS = 6
MAX_BACKOFF_SHARE = 0.5  # ... up to this part of the poll interval
BACKOFF_JITTER = (0.5, 1.0)


class ListPolling:
    """The calls for the list that this module decides on, and how they fared."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.started = False
        self.failures = 0  # in a row

    def next_call_ms(self, kind: str, settings: io.Settings) -> float | None:
        """The wait before the next call, after an update of this kind; None: no call is due."""
        poll_interval = settings.rules.poll_interval_ms
        if not self.started:
            self.started = True
            if not settings.polls_list:
                return None
            return self.rng.random() * FIRST_CALL_SPREAD * poll_interval
        if kind != io.ListUpdateKind.FAILED:
            self.failures = 0
            return None
        self.failures += 1
        backoff = BACKOFF_MS * 2.0 ** min(self.failures, MAX_BACKOFF_DOUBLINGS)
        wait: float = min(MAX_BACKOFF_SHARE * poll_interval, backoff)
        return wait * self.rng.uniform(*BACKOFF_JITTER)
