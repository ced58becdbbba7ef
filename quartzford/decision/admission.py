"""Load shedding: how much of the offered work is refused, and which: the least worth for its work first.

The share follows from counts of the last moment, not from an integral of lateness: that goes on rising while
what was sent before it comes back late, and falls only as fast as lateness can undercut its target; forty
balancers that do so together drown their servers for a second and starve them for ten.

Lateness itself is known an aim too late. What is out tells sooner: by Little's law the attempts that are out,
over the rate at which answers come, are the time that a request sent now will take.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable

from quartzford.decision import interface as io
from quartzford.decision.estimates import Rate

LATE_FROM = 0.9  # share of the aim from which an attempt counts as late
LATE_TARGET = 0.4  # share of late attempts that is borne if what would be refused is worth the average
STARTUP_MS = 1_000.0  # nothing is foretold for so long; and the most that is shed grows from nothing over it
MAX_SHED = 0.95
RELEASE = 0.1  # let in by so much more than what came back in time
HEADROOM = 0.5  # and up to this more where nothing at all is late, or will be
ASSUMED_GOOD = 1.0  # good ends that are taken for granted, so that of few requests one late one sheds little
PRIOR_ANSWERS = 3.0  # answers at the usual latency that are taken for granted beside those that came
LATENCY_WEIGHT = 0.05  # of an end in the mean of usual latencies and aims
MAX_OFFERS = 100  # requests remembered for the order of worth


class Admission:
    """What is let in, from the worth of what was offered and the lateness of what came back."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.rng = rng
        self.rates: dict[str, Rate] = {}  # by tenant
        self.ends = self.good = self.refused = 0.0  # work that came back, in time, was shed; fading
        self.exposure = 0.0  # attempts out, times the milliseconds that they were; fading
        self.answers = 0.0  # attempts that were answered, whenever and however; fading
        self.in_flight, self.busy_since_ms = 0, math.inf  # attempts out; since when there were any
        self.shed, self.shed_ms, self.marginal = 0.0, 0.0, 0.5
        self.offers: deque[tuple[float, str]] = deque(maxlen=MAX_OFFERS)  # worth and class
        self.latency = (
            settings.classes[0].latency_objective_ms / 4,
            settings.classes[0].latency_objective_ms,
        )  # usual and aim, smoothed
        self.configure(settings)

    def configure(self, settings: io.Settings) -> None:
        self.settings = settings
        objectives_ms = [kind.latency_objective_ms for kind in settings.classes]
        # The counts remember a mean aim: so late is it known how a request has ended, and no later.
        self.window_ms = sum(objectives_ms) / len(objectives_ms)
        self.quota = {t.name: t.quota_per_s / 1000.0 / settings.balancers for t in settings.tenants}

    @property
    def late_share(self) -> float:
        """The share of late ones among the attempts that ended."""
        return 1.0 - (self.good + ASSUMED_GOOD) / (self.ends + ASSUMED_GOOD)

    def admit(
        self, now: float, kind: io.ServiceClass, name: str, typical_latency: Callable[[str], float]
    ) -> bool:
        """Whether a tenant's request is let in; usual: what a class's requests take now, in ms."""
        tenant = name if name in self.quota else ""  # a name that nobody has told of gets no entry of its own
        rate = self.rates.setdefault(tenant, Rate())
        rate.add(now)
        within = self.within_quota(now, name)
        factor = round(within + (1 - within) * self.settings.over_quota_weight, 1)
        self.offers.append((kind.priority_weight * factor, kind.name))
        if self.shed > 0 or self.predicted_late_share(*self.latency) > LATE_TARGET * self.marginal:
            self._update_shed(now)
        if self.shed <= 0 and self.rng.random() < 0.9:
            return True
        # By what classes take now: remembered with each offer, a rising latency would rank what comes next
        # under its equals of before, and refuse a whole class where a part was meant.
        offers = [(w, typical_latency(which)) for w, which in self.offers]
        if not self.settings.weight_by_work:
            offers = [(w / x, x) for w, x in offers]
        priority_weight = offers[-1][0]
        total = less = same = weighed = 0.0
        for w, x in offers:
            total += x
            weighed += w * x
            if w < priority_weight:
                less += x
            elif w == priority_weight:
                same += x
        if less <= self.shed * total <= less + same:
            mean = weighed / total
            self.marginal = min(0.75, max(0.15, priority_weight / mean)) if mean > 0 else 0.5
        if self.rng.random() * same < less + same - self.shed * total:
            return True
        self._decay(now)
        self.refused += typical_latency(kind.name) / self.latency[0]
        return False

    def within_quota(self, now: float, name: str) -> float:
        """The part of a tenant's present rate that is within its share; 1 where tenants have none."""
        tenant = name if name in self.quota else ""
        rate = self.rates[tenant].read(now)
        return min(1.0, self.quota.get(tenant, 0.0) / max(rate, 1e-9)) if self.quota else 1.0

    def record_outcome(self, now: float, late: bool, typical_latency: float, objective_ms: float) -> None:
        """An attempt came back, in time or late; usual, aim: of its class, in ms.

        Counted is work, in mean requests: a flood of what costs nothing says little of what can be let in.
        """
        before, least = self.latency
        self.latency = (
            before + LATENCY_WEIGHT * (typical_latency - before),
            least + LATENCY_WEIGHT * (objective_ms - least),
        )
        self._decay(now)
        self.ends += typical_latency / self.latency[0]
        self.good += 0.0 if late else typical_latency / self.latency[0]
        self._update_shed(now)

    def set_in_flight(self, now: float, in_flight: int, answered: bool = False) -> None:
        """So many attempts are out from now on; answered: one has just come back with its answer."""
        self._decay(now)
        self.busy_since_ms = min(self.busy_since_ms, now)
        self.in_flight = in_flight
        self.answers += answered

    def predicted_late_share(self, typical_latency: float, objective_ms: float) -> float:
        """The share of what is sent now that will be late; of a class, in ms.

        Latencies are taken for three stages alike (Erlang): one alone would call a twentieth late in calm.
        """
        # No rate to go by: a crowd after a rest is not a queue yet, nor what opens all its connections first.
        if self.answers < PRIOR_ANSWERS or self.shed_ms - self.busy_since_ms < STARTUP_MS:
            return 0.0
        out = min(self.exposure, self.in_flight * self.window_ms)  # of late, and at this moment
        x = (
            3.0
            * LATE_FROM
            * objective_ms
            * (self.answers + PRIOR_ANSWERS)
            / (out + PRIOR_ANSWERS * typical_latency)
        )
        return (1.0 + x + x * x / 2.0) * math.exp(-x)

    def _decay(self, now: float) -> None:
        part = math.exp(min(0.0, self.shed_ms - now) / self.window_ms)
        self.ends, self.good, self.refused = self.ends * part, self.good * part, self.refused * part
        self.exposure = self.exposure * part + self.in_flight * self.window_ms * (1.0 - part)
        self.answers *= part
        self.shed_ms = now

    def _update_shed(self, now: float) -> None:
        self._decay(now)
        bear = (1.0 + RELEASE) / (1.0 - LATE_TARGET * self.marginal)
        let_in = (self.ends + ASSUMED_GOOD) / (self.ends + self.refused + ASSUMED_GOOD)
        late = max(self.late_share, self.predicted_late_share(*self.latency))
        headroom = HEADROOM * max(0.0, 1.0 - late / (LATE_TARGET * self.marginal))
        # Ten late ends are all that is known just after a start, and as often the start's own as a crowd's.
        most = MAX_SHED * min(1.0, (now - self.busy_since_ms) / STARTUP_MS)
        self.shed = max(0.0, min(most, 1.0 - let_in * (bear * (1.0 - late) + headroom)))
