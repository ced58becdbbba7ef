"""Load shedding: decides which share of the offered work to shed, starting with the least weight per work.

The shed share is computed from decaying counts of recent outcomes, not from an integral of lateness. An
integral keeps rising while requests that were sent earlier still complete late, and falls only as fast as
lateness drops below its target. Forty balancers with an integral controller overload their servers for one
second and then starve them for ten.

The outcome of a request shows lateness only after one latency objective. The attempts in flight show it
earlier: by Little's law, the attempts in flight divided by the rate of answers are the latency of a request
that is sent now.

Work is measured in mean requests: a request of a class counts as the typical latency of the class divided by
the mean typical latency. Times are in milliseconds, moments on the caller's clock.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from quartzford.decision import interface as io
from quartzford.decision.estimates import Rate

LATE_OBJECTIVE_SHARE = 0.9  # an attempt that takes more than this share of its latency objective is late
TARGET_LATE_SHARE = 0.4  # accepted share of late attempts if the marginal weight equals the mean weight
# No lateness is predicted in this time after the first send, and the maximum shed share grows from 0 over it.
STARTUP_MS = 1_000.0
MAX_SHED_SHARE = 0.95
ADMISSION_GROWTH_SHARE = 0.1  # the admitted work exceeds the work that completed in time by this share
MAX_HEADROOM_SHARE = 0.5  # added to that while no attempt is late or predicted to be late
# Work assumed to have completed in time, in mean requests: with few requests, a single late one sheds little.
ASSUMED_IN_TIME_WORK = 1.0
PRIOR_ANSWER_COUNT = 3.0  # answers at the typical latency that the prediction assumes besides the real ones
SMOOTHING_WEIGHT = 0.05  # weight of one outcome in the smoothed mean latency and mean latency objective
MAX_OFFERS = 100  # number of latest requests whose weights are kept for ranking
# Share of requests that are not ranked while nothing is shed; ranking the others updates the marginal weight.
UNRANKED_SHARE = 0.9
MIN_MARGINAL_WEIGHT, MAX_MARGINAL_WEIGHT = 0.15, 0.75  # relative to the mean weight
INITIAL_MARGINAL_WEIGHT = 0.5  # relative to the mean weight
INITIAL_LATENCY_SHARE = 0.25  # share of the latency objective assumed as typical latency before any answer
MIN_RATE_PER_MS = 1e-9  # avoids a division by zero
ERLANG_STAGES = 3.0  # latencies are modelled as an Erlang distribution with this many equal stages


class Offer(NamedTuple):
    """An offered request: its weight, by which offers are ranked, and the name of its class."""

    weight: float
    service_class: str


class Ranking(NamedTuple):
    """The rank of an offer among the latest offers. Work is in milliseconds of typical latency."""

    lower_work: float  # work of the offers with a lower weight
    equal_work: float  # work of the offers with the same weight, including the ranked one
    total_work: float  # work of all offers
    weight: float  # weight of the ranked offer
    mean_weight: float  # mean over all offers, weighted by work

    def relative_weight(self) -> float:
        """Return the offer's weight divided by the mean weight, clamped to the bounds of marginal weights."""
        if self.mean_weight <= 0:
            return INITIAL_MARGINAL_WEIGHT
        return min(MAX_MARGINAL_WEIGHT, max(MIN_MARGINAL_WEIGHT, self.weight / self.mean_weight))


class Admission:
    """Decides whether to admit requests, by the weights of offered requests and the lateness of outcomes."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.rng = rng
        self.tenant_rates: dict[str, Rate] = {}  # request rate by tenant; "" for all unknown tenants
        # The next five values decay exponentially with the time constant `window_ms`.
        self.completed_work = 0.0  # work of completed attempts, in mean requests
        self.in_time_work = 0.0  # the part of completed_work that completed in time
        self.shed_work = 0.0  # work of shed requests, in mean requests
        self.in_flight_time_ms = 0.0  # sum of the times that attempts were in flight
        self.answered_count = 0.0  # attempts that were answered, in time or not, with success or error
        self.in_flight = 0  # number of attempts in flight
        self.busy_since_ms = math.inf  # when the first attempt was sent
        self.shed_share = 0.0  # share of the offered work to shed
        self.decayed_ms = 0.0  # when the decaying values were last updated
        self.marginal_weight = INITIAL_MARGINAL_WEIGHT  # weight of the last work to be shed / mean weight
        self.offers: deque[tuple[float, str]] = deque(maxlen=MAX_OFFERS)
        self.mean_objective_ms = settings.classes[0].latency_objective_ms  # smoothed over outcomes
        # Mean of the typical latencies, smoothed over outcomes.
        self.mean_latency_ms = INITIAL_LATENCY_SHARE * self.mean_objective_ms
        self.configure(settings)

    def configure(self, settings: io.Settings) -> None:
        """Apply new settings and keep the learned state."""
        self.settings = settings
        objectives_ms = [service_class.latency_objective_ms for service_class in settings.classes]
        # The counts cover the mean latency objective: a request's outcome is known that late, and no later.
        self.window_ms = sum(objectives_ms) / len(objectives_ms)
        self.quota_per_ms = {
            tenant.name: tenant.quota_per_s / 1000.0 / settings.balancers for tenant in settings.tenants
        }

    @property
    def late_share(self) -> float:
        """Return the share of the recently completed work that was late."""
        return 1.0 - (self.in_time_work + ASSUMED_IN_TIME_WORK) / (self.completed_work + ASSUMED_IN_TIME_WORK)

    # ---- requests

    def admit(
        self, now: float, service_class: io.ServiceClass, tenant: str, typical_latency: Callable[[str], float]
    ) -> bool:
        """Return whether a tenant's request is admitted.

        typical_latency: returns the typical latency of a class in ms, given the name of the class.
        """
        self.tenant_rates.setdefault(self._configured_tenant(tenant), Rate()).add(now)
        within = self.within_quota(now, tenant)
        factor = round(within + (1 - within) * self.settings.over_quota_weight, 1)
        self.offers.append(Offer(service_class.priority_weight * factor, service_class.name))
        if self.shed_share > 0 or self.predicted_late_share() > self._late_target():
            self._update_shed(now)
        if self.shed_share <= 0 and self.rng.random() < UNRANKED_SHARE:
            return True
        ranking = self._rank(typical_latency)
        work_to_shed = self.shed_share * ranking.total_work
        if ranking.lower_work <= work_to_shed <= ranking.lower_work + ranking.equal_work:
            self.marginal_weight = ranking.relative_weight()
        if self.rng.random() * ranking.equal_work < ranking.lower_work + ranking.equal_work - work_to_shed:
            return True
        self._decay(now)
        self.shed_work += typical_latency(service_class.name) / self.mean_latency_ms
        return False

    def _configured_tenant(self, tenant: str) -> str:
        """Return the tenant's name, or "" if the settings don't list it.

        Otherwise names made up by clients would add entries to tenant_rates without limit.
        """
        return tenant if tenant in self.quota_per_ms else ""

    def _rank(self, typical_latency: Callable[[str], float]) -> Ranking:
        """Rank the latest offer among the remembered offers.

        The work of an offer is the present typical latency of its class, not the one at the time of the
        offer. Otherwise a rising latency would rank new offers below earlier offers of the same class, and
        would shed an entire class when only a part of it should be shed.
        """
        work_of = {name: typical_latency(name) for name in {name for _, name in self.offers}}
        offers = [(weight, work_of[name]) for weight, name in self.offers]
        if not self.settings.weight_by_work:
            offers = [(weight / work, work) for weight, work in offers]
        own_weight = offers[-1][0]
        total_work = lower_work = equal_work = weighted_work = 0.0
        for weight, work in offers:
            total_work += work
            weighted_work += weight * work
            if weight < own_weight:
                lower_work += work
            elif weight == own_weight:
                equal_work += work
        return Ranking(lower_work, equal_work, total_work, own_weight, weighted_work / total_work)

    def within_quota(self, now: float, tenant: str) -> float:
        """Return the share of the tenant's request rate that is within its quota; 1 if no quotas are set."""
        if not self.quota_per_ms:
            return 1.0
        configured = self._configured_tenant(tenant)
        rate = self.tenant_rates[configured].read(now)
        return min(1.0, self.quota_per_ms.get(configured, 0.0) / max(rate, MIN_RATE_PER_MS))

    # ---- attempts

    def set_in_flight(self, now: float, in_flight: int, answered: bool = False) -> None:
        """Set the number of attempts in flight. answered: one of them has just been answered."""
        self._decay(now)
        self.busy_since_ms = min(self.busy_since_ms, now)
        self.in_flight = in_flight
        self.answered_count += answered

    def record_outcome(self, now: float, late: bool, typical_latency: float, objective_ms: float) -> None:
        """Record a completed attempt, given the typical latency and latency objective of its class in ms.

        The attempt counts by its work in mean requests, not as one request: outcomes of many cheap requests
        say little about the work that can be admitted.
        """
        self.mean_latency_ms += SMOOTHING_WEIGHT * (typical_latency - self.mean_latency_ms)
        self.mean_objective_ms += SMOOTHING_WEIGHT * (objective_ms - self.mean_objective_ms)
        self._decay(now)
        work = typical_latency / self.mean_latency_ms
        self.completed_work += work
        if not late:
            self.in_time_work += work
        self._update_shed(now)

    # ---- shed share

    def predicted_late_share(self) -> float:
        """Return the predicted share of late attempts among those that are sent now.

        Latencies are assumed to follow an Erlang distribution with three stages. With a single stage (an
        exponential distribution) a twentieth of the attempts would be predicted late without any overload.
        """
        # With few answers the answer rate is unknown. Many attempts in flight are then no sign of a queue:
        # they may be a burst after an idle time, or attempts that wait for their new connections.
        if self.answered_count < PRIOR_ANSWER_COUNT or self.decayed_ms - self.busy_since_ms < STARTUP_MS:
            return 0.0
        # The smaller of the in-flight times by the recent average and by the present number in flight.
        waiting_ms = min(self.in_flight_time_ms, self.in_flight * self.window_ms)
        answers = self.answered_count + PRIOR_ANSWER_COUNT
        x = (
            ERLANG_STAGES
            * LATE_OBJECTIVE_SHARE
            * self.mean_objective_ms
            * answers
            / (waiting_ms + PRIOR_ANSWER_COUNT * self.mean_latency_ms)
        )
        return (1.0 + x + x * x / 2.0) * math.exp(-x)

    def _late_target(self) -> float:
        return TARGET_LATE_SHARE * self.marginal_weight

    def _decay(self, now: float) -> None:
        """Apply the exponential decay of the counts up to now."""
        remaining = math.exp(min(0.0, self.decayed_ms - now) / self.window_ms)
        self.completed_work *= remaining
        self.in_time_work *= remaining
        self.shed_work *= remaining
        self.in_flight_time_ms = self.in_flight_time_ms * remaining + self.in_flight * self.window_ms * (
            1.0 - remaining
        )
        self.answered_count *= remaining
        self.decayed_ms = now

    def _update_shed(self, now: float) -> None:
        self._decay(now)
        target = self._late_target()
        late_share = max(self.late_share, self.predicted_late_share())
        admitted = (self.completed_work + ASSUMED_IN_TIME_WORK) / (
            self.completed_work + self.shed_work + ASSUMED_IN_TIME_WORK
        )
        growth = (1.0 + ADMISSION_GROWTH_SHARE) / (1.0 - target) * (1.0 - late_share)
        headroom = MAX_HEADROOM_SHARE * max(0.0, 1.0 - late_share / target)
        # Just after the start only about ten late outcomes are known, and the start itself causes late
        # outcomes as often as an overload does. So the maximum shed share grows with time.
        max_shed_share = MAX_SHED_SHARE * min(1.0, (now - self.busy_since_ms) / STARTUP_MS)
        self.shed_share = max(0.0, min(max_shed_share, 1.0 - admitted * (growth + headroom)))
