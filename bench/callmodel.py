"""Calls of a whole fleet to one list service, on a virtual clock: policies of calls side by side.

    python -m bench.callmodel [--quick] [--json FILE]

The policy in force is the real one (quartzford/membership/call_policy.py); what was weighed against it stands
here. All else is a model:

- The service works through calls one at a time, `per_s` of them a second. "queues": it works on for callers
  who have left. "turns away": what would wait for over a second gets a 503 at once. "down": it refuses
  connections for some seconds first. "dies": it answers for a second, is gone for three, and comes back.
  "slow": a fifth of the rate that the balancers take for granted. "trickles": an answer takes two seconds
  more, in pieces. "killed again": all balancers start anew two seconds after the release. "a quarter loops":
  so many die a second after each start, for twenty seconds; served counts the others.
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

CALLS_PER_S, ASK_S, START_S, TURN_S = 50.0, 10.0, 0.5, 1.0
GRACE_S = 2.5  # so that what asks alone waits up to a second, as it did
BEAT_S = 2.0  # a watch has last said something so long ago at most
LONGEST_S = 600.0
LOOPS_S, LOOP_S = 20.0, 1.0
SIZES = (12, 16, 60, 150, 200, 1_000, 10_000)


class ServiceBehaviour(NamedTuple):
    """A service. downs: spans in seconds from the release."""

    name: str
    rejects: bool = False
    rate: float = 1.0  # of what the balancers take for granted
    outages: tuple[tuple[float, float], ...] = ()
    trickle: float = 0.0
    restarts: tuple[float, ...] = ()  # when all balancers are killed and start again
    crash_loop_share: float = 0.0  # share of the balancers that dies a second after each start, for LOOPS_S


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
    """Exponential back-off with full jitter over a bound that is the same for every fleet."""

    bound = 10.0

    def delay_after(self, end: CallOutcome, took: float, retry_after: float = 0.0) -> float:
        if end is CallOutcome.DONE:
            return 0.0
        wait = self.rng.random() * min(self.bound, 0.05 * 2.0**self.failed_calls)
        self.failed_calls = min(self.failed_calls + 1, 10)
        return wait


class Decorrelated(AgentCallPolicy):
    """Each wait drawn from 0.05 s to three times the last one, at most 10 s."""

    last = 0.05

    def delay_after(self, end: CallOutcome, took: float, retry_after: float = 0.0) -> float:
        if end is CallOutcome.DONE:
            return 0.0
        self.last = min(10.0, self.rng.uniform(0.05, 3 * self.last))
        return self.last

    def answered(self) -> None:
        self.last = 0.05


class Bucket(AgentCallPolicy):
    """A bucket of tokens of this balancer's part of the service: one at the start, then one an interval."""

    def __init__(self, rng: random.Random, balancers: int) -> None:
        super().__init__(rng, GRACE_S)
        self.interval = balancers / CALLS_PER_S

    def delay_after(self, end: CallOutcome, took: float, retry_after: float = 0.0) -> float:
        return 0.0 if end is CallOutcome.DONE else max(self.interval, backoff(self.failed_calls, self.rng))


class Patient(AgentCallPolicy):
    """As before, but an accepted call is waited for without end."""

    def patience(self) -> float:
        return 3_600.0


class FullJitterSpread(SharedServiceCallPolicy):
    """The policy in force with full jitter over two spread intervals in place of about one."""

    def delay_after(self, end: CallOutcome, took: float, retry_after: float = 0.0) -> float:
        wait = super().delay_after(end, took, retry_after)
        if wait < self.spread_interval / 2:
            return wait
        interval = 2.0 * self.spread_interval * self.stretch
        return max(backoff(self.failed_calls, self.rng), self.rng.random() * interval)


Make = Callable[[random.Random, int, Callable[[], float]], CallPolicy]
POLICIES: dict[str, Make] = {
    "before": lambda rng, n, now: AgentCallPolicy(rng, GRACE_S),
    "patient": lambda rng, n, now: Patient(rng, GRACE_S),
    "full jitter": lambda rng, n, now: Jitter(rng, GRACE_S),
    "decorrelated": lambda rng, n, now: Decorrelated(rng, GRACE_S),
    "bucket": lambda rng, n, now: Bucket(rng, n),
    "spread, full jitter": lambda rng, n, now: FullJitterSpread(n, CALLS_PER_S, ASK_S, rng, now),
    "spread": lambda rng, n, now: SharedServiceCallPolicy(n, CALLS_PER_S, ASK_S, rng, now),
}
# The recorded figures were drawn with these names in the seed: the same seed plays the same run as then.
SEED_NAMES = {"spread, full jitter": "lap, full jitter", "spread": "lap"}


@dataclass(eq=False)
class Asker:
    """One balancer."""

    calls: CallPolicy
    served: float = -1.0  # when it first had the list
    made: int = 0
    out: int = -1  # its call that is out
    kept: int = -1  # an earlier one that may still be answered
    since: float = 0.0  # that was made
    watching: bool = False
    life: int = 0


@dataclass
class Model:
    """One release."""

    policy: str
    service: ServiceBehaviour
    balancers: int
    seed: int = 1
    until: float = LONGEST_S
    now: float = 0.0
    calls: list[float] = field(default_factory=list)  # when each was made
    answers: int = 0  # that the service worked out
    queue: deque[tuple[Asker, int]] = field(default_factory=deque)
    busy: bool = False

    def __post_init__(self) -> None:
        seed_name = SEED_NAMES.get(self.policy, self.policy)
        self.rng = random.Random(f"{self.seed} {seed_name} {self.service.name}")
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.life = 0  # of the service
        self.askers = [Asker(self.make()) for _ in range(self.balancers)]
        self.loops = int(self.service.crash_loop_share * self.balancers)

    def make(self) -> CallPolicy:
        rng = random.Random(self.rng.random())
        return POLICIES[self.policy](rng, self.balancers, lambda: self.now)

    def later(self, wait: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (self.now + wait, next(self.order), what))

    def down(self) -> bool:
        return any(begin <= self.now < end for begin, end in self.service.outages)

    def run(self) -> dict[str, Any]:
        for one in self.askers:
            self.later(self.rng.random() * START_S, lambda one=one: self.start(one))  # type: ignore[misc]
        for begin, _ in self.service.outages:
            self.later(begin, self.die)
        for at in self.service.restarts:
            for one in self.askers:
                self.later(at, lambda one=one: self.restart(one))  # type: ignore[misc]
        for one in self.askers[: self.loops]:
            self.later(self.rng.random() * LOOP_S, lambda one=one: self.loop(one))  # type: ignore[misc]
        waiting, ends = self.balancers, max((end for _, end in self.service.outages), default=0.0)
        ends = max((ends, *self.service.restarts, LOOPS_S if self.loops else 0.0))
        while self.heap and self.now < self.until and (waiting or self.now < ends + 1.0):
            self.now, _, what = heapq.heappop(self.heap)
            what()
            waiting = sum(not one.watching for one in self.askers) if self.now > ends else waiting
        return self.figures()

    # ---- balancers

    def start(self, one: Asker) -> None:
        self.soon(one, one.calls.initial_delay())

    def soon(self, one: Asker, wait: float) -> None:
        life = one.life
        self.later(wait, lambda: self.call(one) if one.life == life else None)

    def restart(self, one: Asker) -> None:
        """Killed; a new process under its name knows nothing."""
        one.life += 1
        one.calls, one.out, one.kept, one.watching, one.served = self.make(), -1, -1, False, -1.0
        self.later(self.rng.random() * START_S, lambda: self.start(one))

    def loop(self, one: Asker) -> None:
        self.restart(one)
        if self.now < LOOPS_S:
            self.later(LOOP_S, lambda: self.loop(one))

    def call(self, one: Asker) -> None:
        if one.watching:  # an earlier call has been answered meanwhile
            return
        one.made += 1
        one.out = number = one.made
        one.since = self.now
        self.calls.append(self.now)
        if self.down():
            return self.end(one, number, CallOutcome.UNREACHED)
        rate = CALLS_PER_S * self.service.rate
        if self.service.rejects and len(self.queue) / rate > TURN_S:
            return self.end(one, number, CallOutcome.REJECTED)
        self.queue.append((one, number))
        self.later(one.calls.first_line_timeout(), lambda: self.end(one, number, CallOutcome.SILENT))
        self.work()

    def end(self, one: Asker, number: int, how: CallOutcome) -> None:
        if one.out == number:
            one.out = -1
            if how is CallOutcome.SILENT and one.calls.keeps_late_calls and one.kept < 0:
                one.kept = number
            self.soon(one, one.calls.delay_after(how, self.now - one.since))

    # ---- the service

    def die(self) -> None:
        self.life += 1
        self.busy = False
        for one, number in list(self.queue):
            if one.kept == number:
                one.kept = -1
            self.end(one, number, CallOutcome.BROKEN)
        self.queue.clear()
        for one in self.askers:
            if one.watching:
                one.watching = False
                self.soon(one, one.calls.delay_after(CallOutcome.LOST, self.rng.random() * BEAT_S))

    def work(self) -> None:
        if self.busy or not self.queue:
            return
        self.busy = True
        life = self.life
        self.later(1.0 / (CALLS_PER_S * self.service.rate), lambda: self.answer(life))

    def answer(self, life: int) -> None:
        if life != self.life:
            return
        self.busy = False
        self.answers += 1
        one, number = self.queue.popleft()
        self.later(self.service.trickle, lambda: self.told(one, number))
        self.work()

    def told(self, one: Asker, number: int) -> None:
        if number in (one.out, one.kept):
            one.out, one.kept, one.watching = -1, -1, True
            one.calls.answered()
            if one.served < 0:
                one.served = self.now

    # ---- what it came to

    def most_in(self, span: float, end: float = float("inf")) -> int:
        """The most calls in any such span, of those that began before an end."""
        times = self.calls[: bisect_left(self.calls, end)]
        return max((bisect_left(times, at + span) - i for i, at in enumerate(times)), default=0)

    def figures(self) -> dict[str, Any]:
        served = [one.served for one in self.askers[self.loops :] if one.served >= 0]
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
    """By when all are to have the list: 1.25 times one call each in turn, two seconds, and a death's span."""
    lost = sum(end - max(0.0, begin) for begin, end in service.outages if begin > 0)
    return 1.25 * balancers / (CALLS_PER_S * service.rate) + 2.0 + service.trickle + 2 * lost


def main() -> int:
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
            for policy in POLICIES if size <= 1_000 else ("before", "spread"):
                row = Model(policy, service, size, until=max(45.0, 6 * size / CALLS_PER_S) + 40).run()
                rows.append(row)
                print(f"{service.name:18} {size:6} {policy:19}", *(f"{row[name]:11}" for name in names))
    report({"rows": rows}, options.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
