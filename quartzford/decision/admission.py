"""Load shedding: how much of the offered work is shed, and which: the least weight for its work first.

The share that is shed follows from counts of the last moment, not from an integral of lateness: that goes on
rising while what was sent before it comes back late, and falls only as fast as lateness can undercut its
target; forty balancers that do so together overload their servers for a second and starve them for ten.

Lateness itself is known one latency objective too late. What is in flight shows it sooner: by Little's law,
attempts in flight, over the rate at which answers come, are the time that a request sent now will take.
Work is counted in mean requests; times are milliseconds on the caller's clock.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from quartzford.decision import interface as io
from quartzford.decision.estimates import Rate

LATE_OBJECTIVE_SHARE = 0.9  # share of the latency objective from which an attempt counts as late
LATE_TARGET = 0.4  # share of late attempts that is borne if what would be shed has the average weight
STARTUP_MS = 1_000.0  # nothing is predicted for so long; and the most that is shed grows from 0 over it
MAX_SHED = 0.95
RELEASE = 0.1  # admitted is so much more than what came back in time
HEADROOM = 0.5  # and up to this more where nothing at all is late, or will be
ASSUMED_GOOD = 1.0  # good ends that are taken for granted, so that of few requests one late one sheds little
PRIOR_ANSWERS = 3.0  # answers at the typical latency that are taken for granted beside those that came
LATENCY_WEIGHT = 0.05  # of an end in the mean of typical latencies and objectives
MAX_OFFERS = 100  # requests remembered for the order of their weights
UNRANKED_SHARE = 0.9  # of the requests while nothing is shed; the others keep the margin known
MIN_MARGINAL, MAX_MARGINAL = 0.15, 0.75  # bounds of the marginal weight
FIRST_MARGINAL = 0.5
FIRST_GUESS = 0.25  # of the latency objective: typical before any answer
MIN_RATE = 1e-9  # requests per ms
STAGES = 3.0  # of an Erlang distribution: latencies are taken for so many stages alike


class Offer(NamedTuple):
    """A request that was offered: its weight, by which offers are ranked, and its class."""

    weight: float
    service_class: str


class Ranking(NamedTuple):
    """Where an offer stands among the latest: their work, and weights."""

    lower: float  # work of those with a lower weight
    same: float  # work of those with the same weight, itself among them
    total: float  # work of all
    weight: float  # its own
    mean_weight: float

    def marginal(self) -> float:
        """Its weight over the mean weight, within bounds."""
        if self.mean_weight <= 0:
            return FIRST_MARGINAL
        return min(MAX_MARGINAL, max(MIN_MARGINAL, self.weight / self.mean_weight))


class Admission:
    """What is admitted, from the weights of what was offered and the lateness of what came back."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.rng = rng
        self.tenant_rates: dict[str, Rate] = {}  # by tenant
        self.completed_work = 0.0  # work that came back; this and the next four fade over `window_ms`
        self.in_time_work = 0.0  # of it, what came back in time
        self.shed_work = 0.0  # work that was shed
        self.exposure = 0.0  # attempts in flight, times the milliseconds that they were
        self.answers = 0.0  # attempts that were answered, whenever and however
        self.in_flight = 0  # attempts
        self.busy_since_ms = math.inf  # since when attempts are sent
        self.shed_share = 0.0  # share of the work that is to be shed
        self.decayed_ms = 0.0  # when the fading figures were last brought up to date
        self.marginal_weight = FIRST_MARGINAL  # weight of what is shed last, over the mean weight
        self.offers: deque[tuple[float, str]] = deque(maxlen=MAX_OFFERS)
        self.mean_objective_ms = settings.classes[0].latency_objective_ms  # smoothed
        self.mean_latency = FIRST_GUESS * self.mean_objective_ms  # mean of typical latencies, smoothed
        self.configure(settings)

    def configure(self, settings: io.Settings) -> None:
        """Take the settings from now on; what was learnt stays."""
        self.settings = settings
        objectives_ms = [kind.latency_objective_ms for kind in settings.classes]
        # The counts remember a mean objective: so late is it known how a request has ended, and no later.
        self.window_ms = sum(objectives_ms) / len(objectives_ms)
        self.quota_per_ms = {
            tenant.name: tenant.quota_per_s / 1000.0 / settings.balancers for tenant in settings.tenants
        }

    @property
    def late_share(self) -> float:
        """The share of late ones among the attempts that ended."""
        return 1.0 - (self.in_time_work + ASSUMED_GOOD) / (self.completed_work + ASSUMED_GOOD)

    # ---- requests

    def admit(
        self, now: float, kind: io.ServiceClass, tenant: str, typical_latency: Callable[[str], float]
    ) -> bool:
        """Whether a tenant's request is admitted. typical_latency: of a class, by its name, in ms."""
        self.tenant_rates.setdefault(self._known(tenant), Rate()).add(now)
        within = self.within_quota(now, tenant)
        factor = round(within + (1 - within) * self.settings.over_quota_weight, 1)
        self.offers.append(Offer(kind.priority_weight * factor, kind.name))
        if self.shed_share > 0 or self.predicted_late_share() > self._late_target():
            self._update_shed(now)
        if self.shed_share <= 0 and self.rng.random() < UNRANKED_SHARE:
            return True
        ranking = self._rank(typical_latency)
        shed_work = self.shed_share * ranking.total
        if ranking.lower <= shed_work <= ranking.lower + ranking.same:
            self.marginal_weight = ranking.marginal()
        if self.rng.random() * ranking.same < ranking.lower + ranking.same - shed_work:
            return True
        self._decay(now)
        self.shed_work += typical_latency(kind.name) / self.mean_latency
        return False

    def _known(self, tenant: str) -> str:
        """The tenant; "" for one that the settings don't know: made-up names leave no entries."""
        return tenant if tenant in self.quota_per_ms else ""

    def _rank(self, typical_latency: Callable[[str], float]) -> Ranking:
        """Rank the latest offer among those that are remembered.

        By what classes take now: remembered with each offer, a rising latency would rank what comes next
        under its equals of before, and shed an entire class where a part was meant.
        """
        work_of = {name: typical_latency(name) for name in {name for _, name in self.offers}}
        offers = [(weight, work_of[name]) for weight, name in self.offers]
        if not self.settings.weight_by_work:
            offers = [(weight / work, work) for weight, work in offers]
        own_weight = offers[-1][0]
        total = lower = same = weighted = 0.0
        for weight, work in offers:
            total += work
            weighted += weight * work
            if weight < own_weight:
                lower += work
            elif weight == own_weight:
                same += work
        return Ranking(lower, same, total, own_weight, weighted / total)

    def within_quota(self, now: float, tenant: str) -> float:
        """The part of a tenant's present rate that is within its quota; 1 where tenants have none."""
        if not self.quota_per_ms:
            return 1.0
        known = self._known(tenant)
        rate = self.tenant_rates[known].read(now)
        return min(1.0, self.quota_per_ms.get(known, 0.0) / max(rate, MIN_RATE))

    # ---- attempts

    def set_in_flight(self, now: float, in_flight: int, answered: bool = False) -> None:
        """So many attempts are in flight from now on; answered: one has just come back with its answer."""
        self._decay(now)
        self.busy_since_ms = min(self.busy_since_ms, now)
        self.in_flight = in_flight
        self.answers += answered

    def record_outcome(self, now: float, late: bool, typical_latency: float, objective_ms: float) -> None:
        """An attempt came back, in time or late; typical latency and objective of its class, in ms.

        Counted is work, in mean requests: a flood of cheap requests says little of what can be admitted.
        """
        self.mean_latency += LATENCY_WEIGHT * (typical_latency - self.mean_latency)
        self.mean_objective_ms += LATENCY_WEIGHT * (objective_ms - self.mean_objective_ms)
        self._decay(now)
        work = typical_latency / self.mean_latency
        self.completed_work += work
        if not late:
            self.in_time_work += work
        self._update_shed(now)

    # ---- the share that is shed

    def predicted_late_share(self) -> float:
        """The share of what is sent now that will be late.

        Latencies are taken for three stages alike (Erlang): one alone would call a twentieth late in calm.
        """
        # No rate to go by: a crowd after a rest is not a queue yet, nor what opens all its connections first.
        if self.answers < PRIOR_ANSWERS or self.decayed_ms - self.busy_since_ms < STARTUP_MS:
            return 0.0
        waiting = min(self.exposure, self.in_flight * self.window_ms)  # of late, and at this moment
        answers = self.answers + PRIOR_ANSWERS
        x = (
            STAGES
            * LATE_OBJECTIVE_SHARE
            * self.mean_objective_ms
            * answers
            / (waiting + PRIOR_ANSWERS * self.mean_latency)
        )
        return (1.0 + x + x * x / 2.0) * math.exp(-x)

    def _late_target(self) -> float:
        return LATE_TARGET * self.marginal_weight

    def _decay(self, now: float) -> None:
        """Let what is counted fade up to this moment."""
        remaining = math.exp(min(0.0, self.decayed_ms - now) / self.window_ms)
        self.completed_work *= remaining
        self.in_time_work *= remaining
        self.shed_work *= remaining
        self.exposure = self.exposure * remaining + self.in_flight * self.window_ms * (1.0 - remaining)
        self.answers *= remaining
        self.decayed_ms = now

    def _update_shed(self, now: float) -> None:
        self._decay(now)
        target = self._late_target()
        late = max(self.late_share, self.predicted_late_share())
        admitted = (self.completed_work + ASSUMED_GOOD) / (
            self.completed_work + self.shed_work + ASSUMED_GOOD
        )
        growth = (1.0 + RELEASE) / (1.0 - target) * (1.0 - late)
        headroom = HEADROOM * max(0.0, 1.0 - late / target)
        # Ten late ends are all that is known just after a start, and as often the start's own as a crowd's.
        most = MAX_SHED * min(1.0, (now - self.busy_since_ms) / STARTUP_MS)
        self.shed_share = max(0.0, min(most, 1.0 - admitted * (growth + headroom)))
