"""What a play of bench.fleetmodel records, and the result of it."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from typing import Any

from bench.fleetmodel_balancer import Wish
from bench.fleetmodel_settings import CLASSES, EPOCH_MS
from bench.fleetmodel_upstream import Upstream
from quartzford.decision import interface as io

UNMEASURED_SECONDS = 2  # at the end: their requests are not all over
CALM_SECONDS = slice(1, 4)
FIRST_EVENT_SECOND = 4
RECOVERED_SHARE = 0.95  # of the calm goodput


class Records:
    """The counts of a play, some of them by the second of the play's clock.

    offered, served: priority weight; served counts what came within the latency objective, from the wish's
    begin. sent, timeouts: attempts by the second in which they began. broken: rules. may_have_run: requests.
    most_connections: at one upstream. module_s: processor time of all decision modules.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = int(seconds)
        length = self.seconds + 1
        self.offered, self.served = [0.0] * length, [0.0] * length
        self.sent, self.timeouts = [0] * length, [0] * length
        self.rejections: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.broken: Counter[str] = Counter()
        self.may_have_run: set[int] = set()
        self.requests = self.attempts = self.list_calls = self.overloaded = 0
        self.connections_opened = self.most_connections = 0
        self.module_s = 0.0

    @staticmethod
    def second(now: float) -> int:
        """The second of the play's clock."""
        return int((now - EPOCH_MS) // 1_000)

    def offer(self, wish: Wish) -> None:
        """A client begins."""
        self.offered[self.second(wish.begun_ms)] += CLASSES[wish.class_index].priority_weight

    def serve(self, wish: Wish, now: float) -> None:
        """A client gets an upstream's answer."""
        service_class = CLASSES[wish.class_index]
        if wish.served:
            self.broken["served twice"] += 1
        wish.served = True
        if now - wish.begun_ms <= service_class.latency_objective_ms:
            self.served[self.second(wish.begun_ms)] += service_class.priority_weight

    def attempt_begins(self, now: float) -> None:
        """A balancer begins an attempt."""
        self.attempts += 1
        self.sent[self.second(now)] += 1

    def attempt_ends(self, begun_ms: float, outcome: io.Outcome) -> None:
        """An attempt has ended."""
        self.outcomes[outcome.value] += 1
        self.timeouts[self.second(begun_ms)] += outcome is io.Outcome.TIMEOUT

    def connections_at(self, connections: int) -> None:
        """An upstream has so many connections."""
        self.most_connections = max(self.most_connections, connections)

    def goodput(self) -> list[float]:
        """By the second the part of the priority weight offered that was served in time."""
        pairs = zip(self.served, self.offered, strict=True)
        return [served / max(1e-9, offered) for served, offered in pairs]

    def result(self, upstreams: Iterable[Upstream]) -> dict[str, Any]:
        """The result of a play. upstreams: all incarnations that were in it.

        worth: goodput of all seconds; calm: before the event; worst_second: after it; back_s: seconds until
        the goodput had recovered; cold_multiple, cold_use: the largest of cold upstreams; us_a_try:
        microseconds of module time for each request.
        """
        last = self.seconds - UNMEASURED_SECONDS
        goodput = self.goodput()[:last]
        calm = sum(goodput[CALM_SECONDS]) / 3
        after = goodput[FIRST_EVENT_SECOND:]
        short = [n for n, part in enumerate(after, FIRST_EVENT_SECOND) if part < RECOVERED_SHARE * calm]
        incarnations = list(upstreams)
        multiple = max((upstream.largest_multiple for upstream in incarnations), default=0.0)
        use = max((upstream.largest_use for upstream in incarnations), default=0.0)
        return {
            "worth": round(sum(self.served[1:last]) / max(1e-9, sum(self.offered[1:last])), 3),
            "calm": round(calm, 3),
            "worst_second": round(min(after, default=math.nan), 3),
            "back_s": short[-1] - FIRST_EVENT_SECOND + 1 if short else 0,
            "tries": self.requests,
            "calls": self.list_calls,
            "opened": self.connections_opened,
            "held_most": self.most_connections,
            "cold_multiple": round(multiple, 2),
            "cold_use": round(use, 3),
            "fallen": self.overloaded,
            "outcomes": dict(self.outcomes.most_common()),
            "refused": self.rejections["refused"],
            "us_a_try": round(1e6 * self.module_s / max(1, self.requests), 1),
            "broken": dict(self.broken),
        }
