"""Load shedding: how much of the offered work is refused, and which: the least worth for its work first."""

from __future__ import annotations

import math
import random
from collections import deque

from quartzford.decision import interface as io
from quartzford.decision.eligibility import Rate

LATE_FROM = 0.9  # share of the aim from which an attempt counts as late
LATE_TARGET = 0.4  # share of late attempts that is borne if what would be refused is worth the average
SHED_GAIN = 1.0  # change of the shed share a second, per share of late ends off target
LATE_WEIGHT, LATE_MS = 0.05, 1_000.0  # of one end in the share of late ones, and the time that it remembers
UNHEARD_MS = 250.0  # with no end for so long, what was late is forgotten all the same
ANSWERED = 0.3  # by so much less was shed when a late attempt was sent: its crowd has been answered since
OFFERS = 100  # requests remembered for the order of worth


class Admission:
    """What is let in, from the worth of what was offered and the lateness of what came back."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.rng = rng
        self.rates: dict[str, Rate] = {}  # by tenant
        self.late, self.shed, self.shed_ms, self.marginal = 0.0, 0.0, 0.0, 0.5
        self.offers: deque[tuple[float, float]] = deque(maxlen=OFFERS)  # worth, work
        self.configure(settings)

    def configure(self, settings: io.Settings) -> None:
        self.settings = settings
        self.quota = {t.name: t.quota_per_s / 1000.0 / settings.balancers for t in settings.tenants}

    def admits(self, now: float, kind: io.ServiceClass, name: str, work: float) -> bool:
        """Whether a tenant's request is let in; work: the usual latency of its class."""
        tenant = name if name in self.quota else ""  # a name that nobody has told of gets no entry of its own
        rate = self.rates.setdefault(tenant, Rate())
        rate.add(now)
        within = self.within(now, name)
        factor = round(within + (1 - within) * self.settings.over_share_worth, 1)
        worth = kind.worth * factor / (1.0 if self.settings.worth_by_work else work)
        self.offers.append((worth, work))
        if self.shed > 0 and now - self.shed_ms > UNHEARD_MS:
            self.pace(now, False)
        if self.shed <= 0 and self.rng.random() < 0.9:
            return True
        total = less = same = weighed = 0.0
        for w, x in self.offers:
            total += x
            weighed += w * x
            if w < worth:
                less += x
            elif w == worth:
                same += x
        if less <= self.shed * total <= less + same:
            mean = weighed / total
            self.marginal = min(0.75, max(0.15, worth / mean)) if mean > 0 else 0.5
        return self.rng.random() * same < less + same - self.shed * total

    def within(self, now: float, name: str) -> float:
        """The part of a tenant's present rate that is within its share; 1 where tenants have none."""
        tenant = name if name in self.quota else ""
        rate = self.rates[tenant].read(now)
        return min(1.0, self.quota.get(tenant, 0.0) / max(rate, 1e-9)) if self.quota else 1.0

    def pace(self, now: float, late: bool, shed: float = 1.0) -> None:
        """An attempt came back, in time or late; shed: the share shed when it was sent."""
        if late and self.shed - shed > ANSWERED:
            return  # counted all the same, the ends of one jam would shed all that comes after it
        since = now - self.shed_ms
        # Where little is let in, few ends come: a good one must count for the time that it stands for, or a
        # balancer that has shed nearly all goes on doing so long after its servers have recovered.
        weight = LATE_WEIGHT if late else max(LATE_WEIGHT, 1.0 - math.exp(-since / LATE_MS))
        self.late += weight * (late - self.late)
        span, self.shed_ms = min(1_000.0, since), now
        change = SHED_GAIN * (self.late - LATE_TARGET * self.marginal) * span / 1000.0
        self.shed = min(0.95, max(0.0, self.shed + change))
