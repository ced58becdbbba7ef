"""The balancers of bench.fleetmodel: the real decision module between modelled clients and upstreams."""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.fleetmodel_settings import (
    CLASSES,
    CLIENT_TIMEOUT_MS,
    CONNECT_TIMEOUT_MS,
    DEADLINE_MS,
    HANDSHAKE_MS,
    LIST_CALL_MS,
    MAX_CALL_PAUSE_S,
    MAX_CONNECTIONS,
    WORK_LOG_DEVIATION,
    WORK_LOG_MEAN,
    WORK_MS,
    ZONES,
    settings,
)
from bench.fleetmodel_upstream import Attempt, Upstream
from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer
from quartzford.membership.call_policy import SharedServiceCallPolicy

if TYPE_CHECKING:
    from bench.fleetmodel import World

States = Sequence[tuple[Upstream, str]]  # upstreams with their states in the list


def call_policy(world: World, seed: int) -> SharedServiceCallPolicy:
    """When a balancer of the world calls the list service."""
    rng = random.Random(seed ^ 1)
    calls_per_s = 1000.0 / LIST_CALL_MS
    balancers = world.plan.balancers
    return SharedServiceCallPolicy(balancers, calls_per_s, MAX_CALL_PAUSE_S, rng, lambda: world.now / 1000.0)


@dataclass(eq=False)
class Wish:
    """What a client wants: it sends one request after another until one is served or it gives up."""

    class_index: int
    begun_ms: float
    requests: int = 1
    served: bool = False


class ModelBalancer:
    """A balancer: its decision module, its idle connections, and the requests that it holds.

    Several processes follow each other where it is restarted: `incarnation` counts them.
    """

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.zone = world, number, ZONES[number % len(ZONES)]
        self.up = True
        self.leaving = False  # another process has its place: nothing new comes here
        self.incarnation = 0
        self.start_process()

    def start_process(self) -> None:
        """Begin anew, with nothing known."""
        plan = self.world.plan
        self.incarnation += 1
        seed = plan.seed * 10_007 + self.number * 101 + self.incarnation
        self.module = Balancer(settings(self.zone, plan.balancers, plan.asked), seed)
        self.idle: Counter[Upstream] = Counter()  # connections
        self.wishes: dict[int, Wish] = {}  # by request, until it is answered or its client has left
        self.attempts_begun: Counter[int] = Counter()  # by request
        self.attempts: dict[int, Attempt] = {}  # those on their way, by request
        self.known: dict[str, Upstream] = {}
        self.call_policy = call_policy(self.world, seed) if plan.asked else None

    def later(self, after_ms: float, action: Callable[[], object]) -> None:
        """Do something then, unless this process has ended by then."""
        incarnation = self.incarnation

        def act_if_alive() -> None:
            if self.up and self.incarnation == incarnation:
                action()

        self.world.later(after_ms, act_if_alive)

    def notify(self, kind: io.ListUpdateKind, states: States) -> None:
        """A list update arrives; STALE is the list that a process starts with."""
        self.known.update({upstream.name: upstream for upstream, _ in states})
        entries = tuple(upstream.endpoint(state) for upstream, state in states)
        self.handle(io.EndpointListUpdate(kind, entries))
        if kind is io.ListUpdateKind.STALE and self.call_policy is not None:
            delay_ms = 1000.0 * self.call_policy.initial_delay()
            self.later(delay_ms, lambda: self.world.call_list_service(self))

    def handle(self, event: io.Event) -> None:
        """Give the module an event, and do what it decides."""
        begun = time.perf_counter()
        actions = self.module.handle(self.world.now, event)
        self.world.records.module_s += time.perf_counter() - begun
        for action in actions:
            self.perform(action)

    def perform(self, action: io.Action) -> None:
        """Do what the module has decided."""
        match action:
            case io.Send():
                self.begin_attempt(action)
            case io.SetTimer(after_ms, token):
                self.later(after_ms, lambda: self.handle(io.Timer(token)))
            case io.Shed(request, pause_ms, _):
                self.answer(request, "refused", pause_ms)
            case io.Fail(request):
                self.answer(request, "failed", 0.0)
            case io.Watch():
                if self.call_policy is None:
                    self.world.call_list_service(self)

    # ---- requests

    def receive(self, wish: Wish) -> None:
        """A client's request arrives."""
        number = self.world.next_request_number()
        self.wishes[number] = wish
        self.world.records.requests += 1
        self.later(CLIENT_TIMEOUT_MS, lambda: self.client_leaves(number))
        self.handle(io.Request(number, CLASSES[wish.class_index].name, DEADLINE_MS, "", str(number)))

    def client_leaves(self, number: int) -> None:
        """The client of a request has waited long enough, if it still waits."""
        if (wish := self.wishes.pop(number, None)) is None:
            return
        if (attempt := self.attempts.get(number)) is not None:
            self.end_attempt(attempt, io.Outcome.CANCELLED, final=True)
        self.handle(io.ClientDisconnected(number))
        self.world.retry(wish, 0.0)

    def answer(self, number: int, how: str, pause_ms: float) -> None:
        """A final answer that is not an upstream's. pause_ms: when to retry; 0: no advice."""
        self.world.records.rejections[how] += 1
        if (wish := self.wishes.pop(number, None)) is not None:
            self.world.retry(wish, pause_ms)

    # ---- attempts

    def begin_attempt(self, send: io.Send) -> None:
        """Send a request to an upstream."""
        world, upstream = self.world, self.known[send.server]
        number = self.attempts_begun[send.request]
        self.attempts_begun[send.request] += 1
        wish = self.wishes.get(send.request)
        class_index = wish.class_index if wish is not None else 0
        work = WORK_MS[class_index] * world.rng.lognormvariate(WORK_LOG_MEAN, WORK_LOG_DEVIATION)
        attempt = Attempt(self, send, number, upstream, world.now, work)
        if send.request in self.attempts:
            world.records.broken["two attempts of one request at once"] += 1
        unsafe = CLASSES[class_index].effect == "unsafe"
        if number and unsafe and send.request in world.records.may_have_run:
            world.records.broken["an unsafe request sent again"] += 1
        self.attempts[send.request] = attempt
        world.records.attempt_begins(world.now)
        network_ms = world.network_ms(self.zone, upstream.zone)
        world.later(send.time_out_ms or DEADLINE_MS, lambda: self.time_out(attempt))
        self.connect(attempt, network_ms)

    def connect(self, attempt: Attempt, network_ms: float) -> None:
        """Send an attempt over an idle connection, or over a new one, which takes two round trips."""
        world, upstream = self.world, attempt.upstream
        if self.idle[upstream]:
            self.idle[upstream] -= 1
            attempt.on_kept_connection = attempt.has_connection = True
            return world.later(network_ms, lambda: world.attempt_arrives(attempt, network_ms))
        world.records.connections_opened += 1
        if upstream.dead:
            self.fail_later(attempt, 2 * network_ms, io.Outcome.CONNECT_FAILED)
        elif upstream.unreachable:
            self.fail_later(attempt, CONNECT_TIMEOUT_MS, io.Outcome.CONNECT_FAILED)
        elif upstream.connections >= MAX_CONNECTIONS:
            self.fail_later(attempt, 2 * network_ms, io.Outcome.FULL)
        else:
            upstream.connections += 1
            world.records.connections_at(upstream.connections)
            attempt.has_connection = True
            attempt.work += HANDSHAKE_MS * upstream.speed
            world.later(3 * network_ms, lambda: world.attempt_arrives(attempt, network_ms))

    def fail_later(self, attempt: Attempt, after_ms: float, outcome: io.Outcome) -> None:
        """An attempt fails then, unless it has ended by then."""
        self.world.later(after_ms, lambda: self.end_attempt(attempt, outcome))

    def time_out(self, attempt: Attempt) -> None:
        """An attempt has taken too long, if it has not ended."""
        connected = attempt.has_connection
        self.end_attempt(attempt, io.Outcome.TIMEOUT if connected else io.Outcome.CONNECT_FAILED)

    def end_attempt(
        self, attempt: Attempt, outcome: io.Outcome, load_report: float = 0.0, final: bool = False
    ) -> None:
        """An attempt has ended; later ends of it count for nothing."""
        if attempt.ended:
            return
        attempt.ended = True
        world, request = self.world, attempt.send.request
        self.attempts.pop(request, None)
        if outcome in (io.Outcome.TIMEOUT, io.Outcome.CANCELLED):
            world.records.may_have_run.add(request)
        answered = outcome is io.Outcome.OK
        if attempt.has_connection and answered:
            self.idle[attempt.upstream] += 1
        elif attempt.has_connection:
            attempt.upstream.connections -= 1
        world.records.attempt_ends(attempt.begun_ms, outcome)
        spent_ms = max(0.01, world.now - attempt.begun_ms)
        if answered and (wish := self.wishes.pop(request, None)) is not None:
            world.records.serve(wish, world.now)
        report = (load_report,) if answered else ()
        name, finished = attempt.upstream.name, final or answered
        self.handle(io.AttemptEnded(request, attempt.number, name, outcome, spent_ms, finished, report))
