"""Every decision of the balancer. Its settings, events and actions are in quartzford/decision/interface.py.

The ordinary path is the CA-S automaton: a probability P per ready server, moved by Eq. 8 on the smoothed,
normalised cost (Eq. 6, 7); every send is a draw from P over the eligible servers. The module's other files:
automaton.py (arithmetic), endpoint_set.py (who may be drawn), admission.py (what is let in).
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from quartzford.decision import interface as io
from quartzford.decision.admission import LATE_FROM, Admission
from quartzford.decision.endpoint_set import EndpointSet, OutstandingAttempt, Server
from quartzford.decision.estimates import Peaks
from quartzford.decision.memory import recall, remember

LOADS = ("depth", "concurrent", "load_share")
MOST_REPORT = 1e9  # a report beyond this is taken for it
FAIL_MEMORY_MS = 10_000.0  # a failure scores twice the largest latency of this span
SUSPECT = 4.0  # an attempt out for this multiple of its class's usual latency makes its server suspect
RETRY_SHARE = 0.1
WELL = 2.0  # usual latencies within which an answer shows that its server can do what it was sent
HOLD_MS = 25.0  # a request with no eligible server is looked at again after this
MARGIN_MS = 3.0  # an answer needs this long to reach the client
PATIENCE, LEAST = 4.0, 0.025  # waits for PATIENCE usual latencies, each LEAST of the aim, if it may go again
USUAL_WEIGHT, PRIOR = 0.05, 5.0  # of an answer in the usual latency; answers that the first guess stands for
TICK_MS = 1.0  # what ended so much before our own patience was not ended by it
PROOF = ("full", "connect_failed", "moot")  # outcomes that prove that the attempt never ran
WATCH = 0  # timer token of the list; a request's is its id + 1


@dataclass(slots=True, eq=False)
class Flight:
    """A request that is owed its final answer."""

    request: io.Request
    kind: io.ServiceClass
    give_up: float  # no answer is worth anything after this
    sends: int = 0
    open: int = 0
    tried: list[str] = field(default_factory=list)
    bound: io.Endpoint | None = None  # where it may have run first
    bound_attempt: int = -1
    bound_ms: float = 0.0


class Balancer:
    """One balancer: feed it events with the time, carry out the actions it returns."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.endpoints = EndpointSet(settings, self.rng, seed)
        self.admission = Admission(settings, self.rng)
        self.configure(settings)
        self.now = 0.0
        self.out: list[io.Action] = []
        self.flights: dict[int, Flight] = {}
        self.usual: dict[str, float] = {}  # smoothed latency of good answers, by class
        self.known: Counter[str] = Counter()  # good answers, by class
        self.peaks = Peaks(FAIL_MEMORY_MS)  # of good answers' latencies
        self.retry_budget = 1.0
        self.causes: Counter[str] = Counter()  # why requests were given up here
        self.ending = False  # the process is about to exit
        self.watch_failures = -1  # -1: the list was never asked for

    def configure(self, settings: io.Settings) -> None:
        """The settings from now on; what is in flight and what was learnt stay."""
        self.settings, fields = settings, settings.report_fields
        self.classes = {c.name: c for c in settings.classes}
        self.endpoints.configure(settings)
        self.admission.configure(settings)
        self.load_field = next((fields.index(name) for name in LOADS if name in fields), None)

    @property
    def servers(self) -> dict[str, Server]:
        """All servers that the list tells of, by name."""
        return self.endpoints.servers

    @property
    def in_maintenance(self) -> set[str]:
        """Names of servers that operators have taken out."""
        return self.endpoints.in_maintenance

    @property
    def ready(self) -> list[Server]:
        return self.endpoints.ready

    def handle(self, now_ms: float, event: io.Event) -> list[io.Action]:
        self.out = []
        self.now = self.endpoints.now = max(self.now, now_ms)
        match event:
            case io.Request():
                self._request(event)
            case io.AttemptEnded():
                self._outcome(event)
            case io.Timer(token):
                self._timer(token)
            case io.EndpointListUpdate():
                self._list(event)
            case io.MaintenanceChange(server, out):
                self.endpoints.set_maintenance(server, out)
            case io.ClientDisconnected(request):
                self.flights.pop(request, None)
            case io.ShutdownStarted():
                self.ending = True
                for flight in list(self.flights.values()):
                    self._end(flight, "ending")
            case io.ResponseStarted():
                # The stream is the client's now: nothing is owed, and its age is no sign of trouble.
                self.flights.pop(event.request, None)
                self._observe(event, "ok")
        return self.out

    # ---- a process that follows this one

    def hand_over(self, now_ms: float) -> io.LearnedState:
        """What the successor is to know; from now on this one only ends what it has."""
        self.now = self.endpoints.now = max(self.now, now_ms)
        memory = remember(self)
        self.retry_budget /= 2
        self.endpoints.handed_over = True
        return memory

    def take_back(self, now_ms: float) -> None:
        """The successor is no more: cold servers' budgets begin anew, as nobody knows what it sent."""
        self.now = self.endpoints.now = max(self.now, now_ms)
        self.endpoints.handed_over = False
        for server in self.endpoints.cold:
            server.tokens, server.tokens_ms = 0.0, self.now

    def inherit(self, now_ms: float, memory: io.LearnedState) -> None:
        """What the process before knew, after its list was told."""
        self.now = self.endpoints.now = max(self.now, now_ms)
        recall(self, memory)

    # ---- attempts

    def _dispatch(self, flight: Flight) -> None:
        """Send, hold for a moment, or end a request that has no attempt out."""
        left = flight.give_up - self.now
        if left <= 0 or flight.sends >= self.settings.limits.max_attempts or not self._may_send(flight):
            held = left > 0 and "attempts" or ("time" if flight.sends else "no server")
            return self._end(flight, held)
        server = self.endpoints.pick(flight.kind, flight.tried, flight.bound)
        if server is None:
            return self.out.append(io.SetTimer(min(HOLD_MS, left), flight.request.request + 1))
        usual = max(
            self.usual.get(flight.kind.name, flight.kind.latency_objective_ms / 4),
            LEAST * flight.kind.latency_objective_ms,
        )
        again = flight.kind.effect != "unsafe" and flight.sends + 1 < self.settings.limits.max_attempts
        again = again and self.retry_budget >= 1.0 and left > (PATIENCE + 1) * usual
        time_out = PATIENCE * usual if again else left  # giving up early with no retry to spend is a loss
        request, where = flight.request.request, server.entry
        sent = OutstandingAttempt(self.now + SUSPECT * usual, usual, time_out, flight.kind)
        self.endpoints.attempt_started(server, (request, flight.sends), sent)
        self.admission.out(self.now, self.endpoints.shares.out)
        if flight.bound is None:
            flight.bound, flight.bound_attempt, flight.bound_ms = where, flight.sends, self.now
        flight.tried.append(where.server)
        flight.sends, flight.open = flight.sends + 1, flight.open + 1
        return self.out.append(io.Send(request, where.server, time_out, left))

    def _usual(self, name: str) -> float:
        """What a class's good answers take; before there are any, a quarter of its aim is taken for it."""
        kind = self.classes.get(name)
        return max(self.usual.get(name, kind.latency_objective_ms / 4 if kind is not None else 1.0), 0.1)

    def stands_for(self, now_ms: float, request: int) -> float:
        """So many ms more a request's last send may be written: its last byte, too. 0 if it may not."""
        self.now, flight = max(self.now, now_ms), self.flights.get(request)
        if flight is None or self.now >= flight.give_up:
            return 0.0
        return math.inf if flight.bound_attempt == flight.sends - 1 else self._window(flight)

    def _window(self, flight: Flight) -> float:
        """No effect twice: what may have run goes again only if it is free, or keyed and in its window."""
        if flight.bound is None or flight.kind.effect == "free":
            return math.inf
        if flight.kind.effect != "keyed":
            return 0.0
        window = flight.kind.window_ms - self.settings.tick_ms - self.settings.stall_ms
        return max(0.0, window - (self.now - flight.bound_ms))

    def _may_send(self, flight: Flight) -> bool:
        return self._window(flight) > 0.0

    def _end(self, flight: Flight, cause: str, over_quota: bool = False) -> None:
        """The final answer: a refusal where that is true of the request, else a failure."""
        del self.flights[flight.request.request]
        self.causes[cause] += 1
        kind, limits = flight.kind, self.settings.limits
        harmless = kind.effect == "free" or (kind.effect, kind.group) == ("keyed", "all")
        if flight.bound is None or harmless:
            pause = (
                min(limits.max_retry_after_ms, kind.latency_objective_ms / 4) if limits.retry_after else 0.0
            )
            self.out.append(io.Shed(flight.request.request, pause, over_quota))
        else:
            self.out.append(io.Fail(flight.request.request))

    def _outcome(self, event: io.AttemptEnded) -> None:
        # What a server finds fault with says nothing of its own health, and fares no better elsewhere.
        self._observe(event, "cancelled" if event.faulted else event.code, event.report)
        flight = self.flights.get(event.request)
        if flight is None or event.final or event.faulted:
            if self.flights.pop(event.request, None) is not None and not event.final:
                self.out.append(io.Fail(event.request))
            return None
        flight.open -= 1
        if event.code in PROOF and event.attempt == flight.bound_attempt:
            flight.bound = None
        if flight.open > 0:
            return None
        if event.code not in PROOF and self._may_send(flight) and self.now < flight.give_up:
            if self.retry_budget < 0.0:
                return self._end(flight, "retry budget")
            self.retry_budget -= 1.0
        return self._dispatch(flight)

    def _observe(self, event: io.AttemptEnded | io.ResponseStarted, code: str, said: io.Report = ()) -> None:
        """What an attempt's end tells of the server, in the life that it was sent to."""
        endpoints, spent, attempt = self.endpoints, event.spent_ms, event.attempt
        server = endpoints.servers.get(event.server)
        sent = endpoints.attempt_ended(server, (event.request, attempt)) if server is not None else None
        if server and sent and said and self.load_field is not None and server.slot >= 0:
            endpoints.shares.said(server.slot, min(MOST_REPORT, said[self.load_field]))
        answered = code in ("ok", "error", "full") or (isinstance(event, io.AttemptEnded) and event.faulted)
        self.admission.out(self.now, endpoints.shares.out, answered and sent is not None)
        if server is None or sent is None or code in ("cancelled", "moot"):
            return
        if code == "ok":
            endpoints.answers.add(self.now)
            endpoints.answer_received(
                server, spent <= WELL * self.usual.get(sent.kind.name, sent.kind.latency_objective_ms / 4)
            )
            # Of many that are out the fastest answers first: a mean that began with it would call good
            # servers late. It begins with what is taken for usual before any answer, PRIOR times over.
            usual = self.usual.get(sent.kind.name, sent.kind.latency_objective_ms / 4)
            self.known[sent.kind.name] += 1
            weight = max(USUAL_WEIGHT, 1.0 / (PRIOR + self.known[sent.kind.name]))
            self.usual[sent.kind.name] = usual + weight * (spent - usual)
            self.peaks.add(self.now, spent)
        if code == "full":
            endpoints.record_rejection(server, sent.kind.name)
        refused = code == "connect_failed" and spent < sent.time_out - TICK_MS
        if (
            code in ("timeout", "reset", "connect_failed")
            and not refused
            and sent.time_out < sent.typical_latency
        ):
            return  # it was given less time than an answer takes: that says nothing of the server
        endpoints.record_result(server, code in ("error", "timeout", "reset", "connect_failed"), refused)
        if code in ("ok", "timeout") or (code == "full" and attempt >= 2):
            late = code == "full" or spent > LATE_FROM * sent.kind.latency_objective_ms
            self.admission.pace(self.now, late, self._usual(sent.kind.name), sent.kind.latency_objective_ms)
        if code != "ok":
            spent = min(2 * self.peaks.most(self.now), sent.time_out)
        usual = self._usual(sent.kind.name)
        endpoints.shares.score(server.slot, spent / usual)

    def _timer(self, token: int) -> None:
        flight = self.flights.get(token - 1)
        if token == WATCH:
            self.out.append(io.Watch())
        elif flight is not None and flight.open == 0:
            self._dispatch(flight)

    # ---- requests

    def _request(self, request: io.Request) -> None:
        self.endpoints.arrivals.add(self.now)
        self.endpoints.refresh_working_set()
        self.retry_budget = min(10.0, self.retry_budget + RETRY_SHARE)
        kind = self.classes.get(request.service_class)
        if kind is None:
            budget = max(request.budget_ms, 1.0)
            kind = io.ServiceClass(
                "", budget, budget, priority_weight=0.0
            )  # names that are made up leave no entries
        if kind.effect == "keyed" and not request.keyed:  # with no key its repeats can't be dropped
            kind = replace(kind, effect="unsafe")
        left, aim = request.budget_ms, kind.latency_objective_ms + kind.objective_stretch * request.work_ms
        if kind.late_weight == 0:
            left = min(left, aim - self.settings.tick_ms - MARGIN_MS)
        flight = Flight(request, kind, self.now + left)
        self.flights[request.request] = flight
        if self.ending:
            return self._end(flight, "ending")
        if self.admission.admits(self.now, kind, request.tenant, self._usual):
            return self._dispatch(flight)
        return self._end(flight, "shed", self.admission.within(self.now, request.tenant) < 1.0)

    # ---- list

    def _list(self, update: io.EndpointListUpdate) -> None:
        poll_interval = self.settings.rules.poll_interval_ms
        if self.watch_failures < 0:
            self.watch_failures = 0
            if self.settings.polls_list:
                # A whole fleet may start at once: the first calls are spread so as not to drown the list.
                self.out.append(io.SetTimer(self.rng.random() * 0.3 * poll_interval, WATCH))
        elif update.how == "failed":
            self.watch_failures += 1
            wait = min(0.5 * poll_interval, 500.0 * 2 ** min(self.watch_failures, 6))
            self.out.append(io.SetTimer(wait * self.rng.uniform(0.5, 1.0), WATCH))
        else:
            self.watch_failures = 0
        self.endpoints.update(update.entries, update.how in ("whole", "stale"), update.starts)
