"""Calls of a complete fleet to one list service, on a virtual clock: call policies side by side.

    python -m bench.callmodel [--quick] [--json FILE]

The policy in force is the real one (quartzford/membership/call_policy.py); what it was compared with is
defined here. All else is a model:

- The service answers calls one at a time, `CALLS_PER_S` of them a second. "queues": it works on for callers
  that have left. "turns away": what would wait for over a second gets a 503 at once. "down": it refuses
  connections for some seconds first. "dies": it answers for a second, is gone for three, and comes back.
  "slow": a fifth of the rate that the balancers take for granted. "trickles": an answer takes two seconds
  more, in pieces. "killed again": all balancers restart two seconds after the release. "a quarter loops": so
  many crash a second after each start, for twenty seconds; `served` counts the others.
- Balancers start within half a second of the release, evenly; a network takes no time. One that has the list
  holds a watch open, which costs the service nothing and ends when that dies.
"""

from __future__ import annotations

import argparse
import heapq
import random
import sys
from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import Any, NamedTuple

from bench.common import report
from quartzford.membership.call_policy import (
    AgentCallPolicy,
    CallOutcome,
    CallPolicy,
    SharedServiceCallPolicy,
    backoff,
)

CALLS_PER_S = 50.0  # that the service answers
POLL_INTERVAL_S = 10.0  # bound of a policy's waits
START_SPREAD_S = 0.5
MAX_QUEUE_S = 1.0  # where a service rejects calls
GRACE_S = 2.5  # so that a balancer's own call waits up to a second, as it did
HEARTBEAT_S = 2.0  # the largest age of a watch's last line
MAX_RUN_S = 600.0
CRASH_LOOP_S = 20.0  # for so long some balancers crash again and again
CRASH_AFTER_S = 1.0  # from a start
MAX_JITTER_S = 10.0
MIN_WAIT_S = 0.05
MAX_ALL_POLICIES = 1_000  # balancers, for which every policy is played
NO_CALL = -1
SIZES = (12, 16, 60, 150, 200, 1_000, 10_000)


class ServiceBehaviour(NamedTuple):
    """How the list service behaves. Times are seconds from the release, outages are (begin, end).

    rate: of what the balancers take for granted. restarts: when all balancers are killed and start again.
    crash_loop_share: share of the balancers that crashes CRASH_AFTER_S after each start.
    """

    name: str
    rejects: bool = False
    rate: float = 1.0
    outages: tuple[tuple[float, float], ...] = ()
    trickle: float = 0.0
    restarts: tuple[float, ...] = ()
    crash_loop_share: float = 0.0


SERVICE_BEHAVIOURS = (
    ServiceBehaviour("queues"),
    ServiceBehaviour("turns away", rejects=True),
    ServiceBehaviour("down 8 s", rejects=True, outages=((0.0, 8.0),)),
    ServiceBehaviour("down 30 s", outages=((0.0, 30.0),)),
    ServiceBehaviour("dies", outages=((1.5, 4.5),)),
    ServiceBehaviour("slow, queues", rate=0.2),
    ServiceBehaviour("slow, turns away", rejects=True, rate=0.2),
    ServiceBehaviour("trickles", trickle=2.0),
    ServiceBehaviour("killed again", restarts=(2.0,)),
    ServiceBehaviour("a quarter loops", crash_loop_share=0.25),
)


class Jitter(AgentCallPolicy):
    """Exponential backoff with full jitter, with a bound that is the same for every fleet."""

    def delay_after(self, outcome: CallOutcome, elapsed_s: float, retry_after_s: float = 0.0) -> float:
        """Return the wait before the next call in seconds."""
        if outcome is CallOutcome.COMPLETED:
            return 0.0
        wait = self.rng.random() * min(MAX_JITTER_S, MIN_WAIT_S * 2.0**self.failed_calls)
        self.failed_calls = min(self.failed_calls + 1, 10)
        return wait


class Decorrelated(AgentCallPolicy):
    """Decorrelated jitter: each wait is drawn from MIN_WAIT_S to three times the one before."""

    last = MIN_WAIT_S

    def delay_after(self, outcome: CallOutcome, elapsed_s: float, retry_after_s: float = 0.0) -> float:
        """Return the wait before the next call in seconds."""
        if outcome is CallOutcome.COMPLETED:
            return 0.0
        self.last = min(MAX_JITTER_S, self.rng.uniform(MIN_WAIT_S, 3 * self.last))
        return self.last

    def record_answer(self) -> None:
        """Begin again with the shortest wait."""
        self.last = MIN_WAIT_S


class TokenBucket(AgentCallPolicy):
    """A token bucket for this balancer's part of the service: one at the start, then one an interval."""

    def __init__(self, rng: random.Random, balancers: int) -> None:
        super().__init__(rng, GRACE_S)
        self.interval = balancers / CALLS_PER_S

    def delay_after(self, outcome: CallOutcome, elapsed_s: float, retry_after_s: float = 0.0) -> float:
        """Return the wait before the next call in seconds."""
        if outcome is CallOutcome.COMPLETED:
            return 0.0
        return max(self.interval, backoff(self.failed_calls, self.rng))


class Patient(AgentCallPolicy):
    """The agent's policy, but the answer to an accepted call is waited for without end."""

    def first_line_timeout(self) -> float:
        """Return how long the first line may take in seconds."""
        return 3_600.0


class FullJitterSpread(SharedServiceCallPolicy):
    """The policy in force with full jitter over two spread intervals in place of about one."""

    def delay_after(self, outcome: CallOutcome, elapsed_s: float, retry_after_s: float = 0.0) -> float:
        """Return the wait before the next call in seconds."""
        wait = super().delay_after(outcome, elapsed_s, retry_after_s)
        if wait < self.spread_interval / 2:
            return wait
        interval = 2.0 * self.spread_interval * self.interval_factor
        return max(backoff(self.failed_calls, self.rng), self.rng.random() * interval)


PolicyFactory = Callable[[random.Random, int, Callable[[], float]], CallPolicy]
POLICIES: dict[str, PolicyFactory] = {
    "before": lambda rng, n, now: AgentCallPolicy(rng, GRACE_S),
    "patient": lambda rng, n, now: Patient(rng, GRACE_S),
    "full jitter": lambda rng, n, now: Jitter(rng, GRACE_S),
    "decorrelated": lambda rng, n, now: Decorrelated(rng, GRACE_S),
    "bucket": lambda rng, n, now: TokenBucket(rng, n),
    "spread, full jitter": lambda rng, n, now: FullJitterSpread(n, CALLS_PER_S, POLL_INTERVAL_S, rng, now),
    "spread": lambda rng, n, now: SharedServiceCallPolicy(n, CALLS_PER_S, POLL_INTERVAL_S, rng, now),
}
# The recorded figures were drawn with these names in the seed: the same seed plays the same run as then.
SEED_NAMES = {"spread, full jitter": "lap, full jitter", "spread": "lap"}


@dataclass(eq=False)
class ModelBalancer:
    """One balancer of the model.

    served_at: when it first had the list; negative before. open_call: the number of its call that it waits
    for. late_call: an earlier one that may still be answered. restarts: how often it has started anew.
    """

    policy: CallPolicy
    served_at: float = -1.0
    calls_made: int = 0
    open_call: int = NO_CALL
    late_call: int = NO_CALL
    called_at: float = 0.0
    watching: bool = False
    restarts: int = 0


class QueuedCall(NamedTuple):
    """A call in the service's queue: whose, and its number there."""

    balancer: ModelBalancer
    number: int


@dataclass
class Model:
    """One release of a fleet, played on a virtual clock. until: the latest end of the run in seconds."""

    policy: str
    service: ServiceBehaviour
    balancers: int
    seed: int = 1
    until: float = MAX_RUN_S
    now: float = 0.0
    calls: list[float] = field(default_factory=list)
    answers: int = 0
    queue: deque[QueuedCall] = field(default_factory=deque)
    busy: bool = False

    def __post_init__(self) -> None:
        seed_name = SEED_NAMES.get(self.policy, self.policy)
        self.rng = random.Random(f"{self.seed} {seed_name} {self.service.name}")
        self.agenda: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.service_lives = 0
        self.members = [ModelBalancer(self._new_policy()) for _ in range(self.balancers)]
        self.crash_looping = int(self.service.crash_loop_share * self.balancers)

    def _new_policy(self) -> CallPolicy:
        rng = random.Random(self.rng.random())
        return POLICIES[self.policy](rng, self.balancers, lambda: self.now)

    def _later(self, wait: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.agenda, (self.now + wait, next(self.order), action))

    def _is_down(self) -> bool:
        return any(begin <= self.now < end for begin, end in self.service.outages)

    def run(self) -> dict[str, Any]:
        """Play until all have the list and nothing more is to happen; return the figures."""
        self._schedule()
        waiting, settled_at = self.balancers, self._last_disturbance()
        while self.agenda and self.now < self.until and (waiting or self.now < settled_at + 1.0):
            self.now, _, action = heapq.heappop(self.agenda)
            action()
            if self.now > settled_at:
                waiting = sum(not one.watching for one in self.members)
        return self.figures()

    def _schedule(self) -> None:
        for one in self.members:
            self._later(self.rng.random() * START_SPREAD_S, partial(self._start, one))
        for begin, _ in self.service.outages:
            self._later(begin, self._service_dies)
        for at in self.service.restarts:
            for one in self.members:
                self._later(at, partial(self._restart, one))
        for one in self.members[: self.crash_looping]:
            self._later(self.rng.random() * CRASH_AFTER_S, partial(self._crash, one))

    def _last_disturbance(self) -> float:
        outages_end = max((end for _, end in self.service.outages), default=0.0)
        return max((outages_end, *self.service.restarts, CRASH_LOOP_S if self.crash_looping else 0.0))

    # ---- balancers

    def _start(self, one: ModelBalancer) -> None:
        self._call_after(one, one.policy.initial_delay())

    def _call_after(self, one: ModelBalancer, wait: float) -> None:
        restarts = one.restarts
        self._later(wait, lambda: self._call(one) if one.restarts == restarts else None)

    def _restart(self, one: ModelBalancer) -> None:
        """Kill a balancer; a new process under its name knows nothing."""
        one.restarts += 1
        one.policy, one.open_call, one.late_call = self._new_policy(), NO_CALL, NO_CALL
        one.watching, one.served_at = False, -1.0
        self._later(self.rng.random() * START_SPREAD_S, lambda: self._start(one))

    def _crash(self, one: ModelBalancer) -> None:
        self._restart(one)
        if self.now < CRASH_LOOP_S:
            self._later(CRASH_AFTER_S, lambda: self._crash(one))

    def _call(self, one: ModelBalancer) -> None:
        if one.watching:  # an earlier call has been answered meanwhile
            return
        one.calls_made += 1
        one.open_call = number = one.calls_made
        one.called_at = self.now
        self.calls.append(self.now)
        if self._is_down():
            return self._call_ended(one, number, CallOutcome.UNREACHABLE)
        rate = CALLS_PER_S * self.service.rate
        if self.service.rejects and len(self.queue) / rate > MAX_QUEUE_S:
            return self._call_ended(one, number, CallOutcome.REJECTED)
        self.queue.append(QueuedCall(one, number))
        timeout = one.policy.first_line_timeout()
        self._later(timeout, lambda: self._call_ended(one, number, CallOutcome.TIMED_OUT))
        self._work()

    def _call_ended(self, one: ModelBalancer, number: int, outcome: CallOutcome) -> None:
        if one.open_call != number:
            return
        one.open_call = NO_CALL
        if outcome is CallOutcome.TIMED_OUT and one.policy.keeps_late_calls and one.late_call < 0:
            one.late_call = number
        self._call_after(one, one.policy.delay_after(outcome, self.now - one.called_at))

    # ---- the service

    def _service_dies(self) -> None:
        self.service_lives += 1
        self.busy = False
        for one, number in list(self.queue):
            if one.late_call == number:
                one.late_call = NO_CALL
            self._call_ended(one, number, CallOutcome.FAILED)
        self.queue.clear()
        for one in self.members:
            if one.watching:
                one.watching = False
                silent_for = self.rng.random() * HEARTBEAT_S
                self._call_after(one, one.policy.delay_after(CallOutcome.WATCH_LOST, silent_for))

    def _work(self) -> None:
        if self.busy or not self.queue:
            return
        self.busy = True
        life = self.service_lives
        self._later(1.0 / (CALLS_PER_S * self.service.rate), lambda: self._answer(life))

    def _answer(self, life: int) -> None:
        if life != self.service_lives:
            return
        self.busy = False
        self.answers += 1
        one, number = self.queue.popleft()
        self._later(self.service.trickle, lambda: self._receive_list(one, number))
        self._work()

    def _receive_list(self, one: ModelBalancer, number: int) -> None:
        if number in (one.open_call, one.late_call):
            one.open_call, one.late_call, one.watching = NO_CALL, NO_CALL, True
            one.policy.record_answer()
            if one.served_at < 0:
                one.served_at = self.now

    # ---- results

    def most_in(self, span: float, end: float = float("inf")) -> int:
        """Return the most calls in any span of so many seconds, of those that began before `end`."""
        times = self.calls[: bisect_left(self.calls, end)]
        return max((bisect_left(times, at + span) - i for i, at in enumerate(times)), default=0)

    def figures(self) -> dict[str, Any]:
        """Return what the run came to; calls are per balancer, `all_after_s` counts from the last restart."""
        counted = self.members[self.crash_looping :]
        served = [one.served_at for one in counted if one.served_at >= 0]
        down = max((end for begin, end in self.service.outages if begin <= 0), default=0.0)
        down = max((down, *self.service.restarts))
        return {
            "policy": self.policy,
            "service": self.service.name,
            "balancers": self.balancers,
            "served": len(served),
            "all_after_s": round(max(served, default=0.0) - down, 2),
            "calls": round(len(self.calls) / self.balancers, 2),
            "calls_down": round(bisect_left(self.calls, down) / self.balancers, 2),
            "most_1s": self.most_in(1.0),
            "most_100ms": self.most_in(0.1),
            "answers": self.answers,
        }


def bound_s(balancers: int, service: ServiceBehaviour) -> float:
    """Return by when all are to have the list, in seconds.

    That is 1.25 times one call of each in turn, two seconds, the time that an answer trickles, and twice the
    time of outages after the release.
    """
    lost = sum(end - max(0.0, begin) for begin, end in service.outages if begin > 0)
    return 1.25 * balancers / (CALLS_PER_S * service.rate) + 2.0 + service.trickle + 2 * lost


def main() -> int:
    """Run the command; return its exit status."""
    parser = argparse.ArgumentParser(prog="python -m bench.callmodel")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    sizes = (12, 60, 200, 1_000) if options.quick else SIZES
    rows = []
    names = ("served", "all_after_s", "calls", "calls_down", "most_1s", "most_100ms")
    print(f"{'service':18} {'N':>6} {'policy':19}", *(f"{name:>11}" for name in names))
    for service in SERVICE_BEHAVIOURS:
        for size in sizes:
            for policy in POLICIES if size <= MAX_ALL_POLICIES else ("before", "spread"):
                row = Model(policy, service, size, until=max(45.0, 6 * size / CALLS_PER_S) + 40).run()
                rows.append(row)
                print(f"{service.name:18} {size:6} {policy:19}", *(f"{row[name]:11}" for name in names))
    report({"rows": rows}, options.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
