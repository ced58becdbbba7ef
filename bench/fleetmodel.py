"""Many decision modules and the upstreams that they share, on one virtual clock: no sockets, no event loop.

The modules are the real ones and know nothing of each other. All else is a model; its assumptions (names in
capitals: bench.fleetmodel_settings):

- Upstreams have cores, a first-come queue without end, a speed and a connection cap. Work is lognormal. One
  that starts is cold: its speed rises evenly with time from SLOW_START_CAPACITY to 1 over SLOW_START_MS. Sent
  more than its cold budget (bench.coldbudget, N being OVERLOAD_MULTIPLE times what it can do) within any
  OVERLOAD_WINDOW_MS, by work, it falls over and stays down. Time-outs take waiting work away.
- A connection is kept after an answer and closed after anything else. A new one takes two round trips and
  HANDSHAKE_MS of the upstream's work. The dead refuse; the unreachable neither accept nor answer.
- Clients arrive as a Poisson stream at balancers drawn evenly, wait CLIENT_TIMEOUT_MS for an answer, and send
  two more requests after a short pause. A third keeps to Retry-After. Goodput counts from the first request.
- Discovery pushes changes to all after a delay and some spread; where the list is polled, it works through
  calls one at a time, LIST_CALL_MS each, and rejects what would wait for over MAX_LIST_WAIT_MS. Balancers
  call by the policy of the network code.
- There is no processor time, and no front that notices dead balancers late: clients of one that is down go to
  the others at once.

    python -m bench.fleetmodel PLAN

takes a plan (fleetmodel_settings.Plan) as JSON and prints its result (fleetmodel_records.Records.result) as
JSON. bench.fleet calls it so in other checkouts too: the keys of both stay.
"""

from __future__ import annotations

import functools
import heapq
import json
import random
import sys
from collections.abc import Callable
from typing import Any

from bench.fleetmodel_balancer import ModelBalancer, States, Wish
from bench.fleetmodel_events import EVENTS
from bench.fleetmodel_records import Records
from bench.fleetmodel_settings import (
    BURST_MS,
    CELL_SIZE,
    CLASS_SHARES,
    CLASSES,
    DEADLINE_MS,
    EPOCH_MS,
    EVENT_MS,
    FAST_SHARE,
    FAST_SPEED,
    HEEDS_PAUSE_SHARE,
    HOT_EVERY,
    HOT_WEIGHT,
    LIST_CALL_MS,
    LOAD_SHARE,
    MAX_LIST_WAIT_MS,
    MAX_REQUESTS,
    MEAN_WORK_MS,
    NETWORK_SPREAD,
    NOTIFICATION_MS,
    NOTIFICATION_SPREAD_MS,
    OTHER_ZONE_MS,
    RETRY_PAUSES_MS,
    SAME_ZONE_MS,
    SLOW_SPEED,
    ZONES,
    Plan,
)
from bench.fleetmodel_upstream import Attempt, Upstream
from quartzford.decision import interface as io
from quartzford.membership.call_policy import CallOutcome

REJECTION_MS = 1.0  # until a rejection by the list service is heard


class World:
    """The clock, the upstreams, discovery and the clients of one play. now: virtual time in ms."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.rng, self.now = plan, random.Random(plan.seed), EPOCH_MS
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.scheduled = self.request_numbers = 0
        self.records = Records(plan.seconds)
        self.list_service_free_at = 0.0
        self.ended: list[Upstream] = []  # incarnations that were killed
        started_ms = EPOCH_MS if plan.event == "cold start" else 0.0
        self.upstreams = [self.make_upstream(number, started_ms) for number in range(plan.upstreams)]
        self.balancers = [ModelBalancer(self, number) for number in range(plan.balancers)]
        for balancer in self.balancers:
            balancer.notify(io.ListUpdateKind.STALE, [(upstream, "ready") for upstream in self.upstreams])
        capacity = sum(upstream.speed * upstream.cores for upstream in self.upstreams)
        self.rate = plan.rate * LOAD_SHARE * capacity / MEAN_WORK_MS  # wishes a millisecond
        self.later(self.rng.expovariate(self.rate), self.client_arrives)
        self.later(EVENT_MS, functools.partial(EVENTS[plan.event], self))

    def make_upstream(self, number: int, started_ms: float = 0.0, zone: str = "") -> Upstream:
        """A new upstream of a drawn speed; it is not in the list yet."""
        zone = zone or ZONES[number // CELL_SIZE % len(ZONES)]
        speeds = FAST_SPEED if self.rng.random() < FAST_SHARE else SLOW_SPEED
        speed = self.rng.uniform(*speeds)
        return Upstream(f"s{number}", zone, number // CELL_SIZE, speed, started_ms, self.plan.cores)

    # ---- the clock

    def later(self, after_ms: float, action: Callable[[], object]) -> None:
        """Do something then; of the same time, in the order of these calls."""
        self.scheduled += 1
        heapq.heappush(self.queue, (self.now + after_ms, self.scheduled, action))

    def run(self) -> World:
        """Play to the end."""
        end = EPOCH_MS + 1_000.0 * self.plan.seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        return self

    def result(self) -> dict[str, Any]:
        """The records' result."""
        return self.records.result((*self.upstreams, *self.ended))

    def network_ms(self, zone: str, other: str) -> float:
        """A drawn time of one way between two zones."""
        mean = SAME_ZONE_MS if zone == other else OTHER_ZONE_MS
        return mean * self.rng.uniform(*NETWORK_SPREAD)

    # ---- clients

    def next_request_number(self) -> int:
        """A number that no request has had."""
        self.request_numbers += 1
        return self.request_numbers

    def client_arrives(self) -> None:
        """A client begins, and the time of the next one is drawn."""
        burst = BURST_MS[0] <= self.now - EPOCH_MS < BURST_MS[1]
        rate = self.rate * (self.plan.burst if burst else 1.0)
        self.later(self.rng.expovariate(rate), self.client_arrives)
        wish = Wish(self.rng.choices(range(len(CLASSES)), CLASS_SHARES)[0], self.now)
        self.records.offer(wish)
        self.send_request(wish)

    def send_request(self, wish: Wish) -> None:
        """Send a request for a wish to a drawn balancer, if one is up."""
        up = [balancer for balancer in self.balancers if balancer.up and not balancer.leaving]
        if up and self.plan.uneven:
            weights = [HOT_WEIGHT if balancer.number % HOT_EVERY == 0 else 1.0 for balancer in up]
            self.rng.choices(up, weights)[0].receive(wish)
        elif up:
            self.rng.choice(up).receive(wish)

    def retry(self, wish: Wish, pause_ms: float) -> None:
        """A request was not served: the client sends another one, or gives up. pause_ms: of Retry-After."""
        if wish.requests >= MAX_REQUESTS or self.now - wish.begun_ms > DEADLINE_MS:
            return
        wish.requests += 1
        heeds = pause_ms and self.rng.random() < HEEDS_PAUSE_SHARE
        wait = pause_ms if heeds else self.rng.choice(RETRY_PAUSES_MS)
        self.later(wait, lambda: self.send_request(wish))

    # ---- upstreams

    def attempt_arrives(self, attempt: Attempt, network_ms: float) -> None:
        """An attempt reaches its upstream, over a connection that takes so long one way."""
        upstream = attempt.upstream
        if attempt.ended or upstream.unreachable:
            return
        if upstream.dead:
            kept = attempt.on_kept_connection
            outcome = io.Outcome.RESET if kept else io.Outcome.CONNECT_FAILED
            return attempt.balancer.end_attempt(attempt, outcome)
        if not upstream.withstands(self.now, attempt.work):
            self.records.overloaded += 1
            return self.kill(upstream)
        if upstream.unresponsive:
            return
        upstream.queue.append(attempt)
        self.start_work(upstream, network_ms)

    def start_work(self, upstream: Upstream, network_ms: float = 0.5) -> None:
        """Put waiting attempts on free cores."""
        while upstream.busy_cores < upstream.cores and upstream.queue:
            attempt = upstream.queue.popleft()
            if attempt.ended:
                continue  # its balancer has closed the connection
            upstream.busy_cores += 1
            took_ms = attempt.work / (upstream.speed * upstream.capacity_share(self.now))
            self.later(took_ms, functools.partial(self.finish_work, attempt, network_ms))

    def finish_work(self, attempt: Attempt, network_ms: float) -> None:
        """An upstream answers an attempt, with its queue's length as the load report."""
        upstream = attempt.upstream
        upstream.busy_cores -= 1
        if upstream.dead or upstream.unreachable:
            return
        depth = float(sum(not waiting.ended for waiting in upstream.queue))
        self.later(network_ms, lambda: attempt.balancer.end_attempt(attempt, io.Outcome.OK, depth))
        self.start_work(upstream)

    def kill(self, upstream: Upstream) -> None:
        """An upstream's process dies: its connections break at once."""
        upstream.dead, upstream.connections = True, 0
        self.ended.append(upstream)
        upstream.queue.clear()
        for balancer in self.balancers:
            balancer.idle.pop(upstream, None)
            for attempt in [one for one in balancer.attempts.values() if one.upstream is upstream]:
                attempt.has_connection = False
                balancer.end_attempt(attempt, io.Outcome.RESET)

    # ---- discovery

    def announce(self, changes: States, after_ms: float = NOTIFICATION_MS) -> None:
        """Notify all balancers of changes, each a little later or sooner."""
        for balancer in self.balancers:
            if balancer.up:
                wait = after_ms + self.rng.random() * NOTIFICATION_SPREAD_MS
                notify = functools.partial(balancer.notify, io.ListUpdateKind.CHANGES, changes)
                balancer.later(wait, notify)

    def call_list_service(self, balancer: ModelBalancer) -> None:
        """A balancer's call for the list, in its turn; one that would wait too long is rejected."""
        self.records.list_calls += 1
        wait = max(0.0, self.list_service_free_at - self.now)
        if wait > MAX_LIST_WAIT_MS:
            return balancer.later(REJECTION_MS, lambda: self.call_rejected(balancer))
        self.list_service_free_at = self.now + wait + LIST_CALL_MS
        balancer.later(wait + LIST_CALL_MS, lambda: self.call_answered(balancer))

    def call_rejected(self, balancer: ModelBalancer) -> None:
        """The balancer calls again when its policy says so; without one, its module decides."""
        if balancer.call_policy is None:
            return balancer.handle(io.EndpointListUpdate(io.ListUpdateKind.FAILED))
        delay_ms = 1000.0 * balancer.call_policy.delay_after(CallOutcome.REJECTED, 0.0)
        balancer.later(delay_ms, lambda: self.call_list_service(balancer))

    def call_answered(self, balancer: ModelBalancer) -> None:
        """The balancer gets the complete list."""
        if balancer.call_policy is not None:
            balancer.call_policy.record_answer()
        balancer.notify(io.ListUpdateKind.COMPLETE, [(upstream, "ready") for upstream in self.upstreams])


if __name__ == "__main__":
    plan = Plan(**json.loads(sys.argv[1]))
    print(json.dumps(World(plan).run().result()))
