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

LOAD_FIELDS = ("depth", "concurrent", "load_share")
MAX_REPORT = 1e9  # a report beyond this is taken for it
FAIL_MEMORY_MS = 10_000.0  # a failure scores twice the largest latency of this span
SUSPECT_MULTIPLE = (
    4.0  # an attempt out for this multiple of its class's usual latency makes its server suspect
)
RETRY_BUDGET_PER_REQUEST = 0.1
GOOD_ANSWER_MULTIPLE = (
    2.0  # usual latencies within which an answer shows that its server can do what it was sent
)
RECHECK_MS = 25.0  # a request with no eligible server is looked at again after this
CLIENT_MARGIN_MS = 3.0  # an answer needs this long to reach the client
TIMEOUT_MULTIPLE, MIN_TYPICAL_SHARE = (
    4.0,
    0.025,
)  # waits for PATIENCE usual latencies, each LEAST of the aim, if it may go again
TYPICAL_LATENCY_WEIGHT, PRIOR_ANSWERS = (
    0.05,
    5.0,
)  # of an answer in the usual latency; answers that the first guess stands for
TIMER_TICK_MS = 1.0  # what ended so much before our own patience was not ended by it
NEVER_RAN = ("full", "connect_failed", "moot")  # outcomes that prove that the attempt never ran
LIST_TIMER = 0  # timer token of the list; a request's is its id + 1


@dataclass(slots=True, eq=False)
class RequestState:
    """A request that is owed its final answer."""

    request: io.Request
    kind: io.ServiceClass
    deadline: float  # no answer is worth anything after this
    sends: int = 0
    in_flight: int = 0
    tried: list[str] = field(default_factory=list)
    possibly_ran_on: io.Endpoint | None = None  # where it may have run first
    possibly_ran_attempt: int = -1
    possibly_ran_ms: float = 0.0


class Balancer:
    """One balancer: feed it events with the time, carry out the actions it returns."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.endpoints = EndpointSet(settings, self.rng, seed)
        self.admission = Admission(settings, self.rng)
        self.configure(settings)
        self.now = 0.0
        self.actions: list[io.Action] = []
        self.pending_requests: dict[int, RequestState] = {}
        self.typical_latency: dict[str, float] = {}  # smoothed latency of good answers, by class
        self.answer_counts: Counter[str] = Counter()  # good answers, by class
        self.peaks = Peaks(FAIL_MEMORY_MS)  # of good answers' latencies
        self.retry_budget = 1.0
        self.end_causes: Counter[str] = Counter()  # why requests were given up here
        self.shutting_down = False  # the process is about to exit
        self.list_failures = -1  # -1: the list was never asked for

    def configure(self, settings: io.Settings) -> None:
        """The settings from now on; what is in flight and what was learnt stay."""
        self.settings, fields = settings, settings.report_fields
        self.classes = {c.name: c for c in settings.classes}
        self.endpoints.configure(settings)
        self.admission.configure(settings)
        self.load_field = next((fields.index(name) for name in LOAD_FIELDS if name in fields), None)

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
        self.actions = []
        self.now = self.endpoints.now = max(self.now, now_ms)
        match event:
            case io.Request():
                self._request(event)
            case io.AttemptEnded():
                self._attempt_ended(event)
            case io.Timer(token):
                self._timer(token)
            case io.EndpointListUpdate():
                self._endpoint_list_update(event)
            case io.MaintenanceChange(server, out):
                self.endpoints.set_maintenance(server, out)
            case io.ClientDisconnected(request):
                self.pending_requests.pop(request, None)
            case io.ShutdownStarted():
                self.shutting_down = True
                for pending in list(self.pending_requests.values()):
                    self._shed_or_fail(pending, "ending")
            case io.ResponseStarted():
                # The stream is the client's now: nothing is owed, and its age is no sign of trouble.
                self.pending_requests.pop(event.request, None)
                self._observe(event, "ok")
        return self.actions

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

    def _dispatch(self, pending: RequestState) -> None:
        """Send, hold for a moment, or end a request that has no attempt out."""
        left = pending.deadline - self.now
        if left <= 0 or pending.sends >= self.settings.limits.max_attempts or not self._may_send(pending):
            held = left > 0 and "attempts" or ("time" if pending.sends else "no server")
            return self._shed_or_fail(pending, held)
        server = self.endpoints.pick(pending.kind, pending.tried, pending.possibly_ran_on)
        if server is None:
            return self.actions.append(io.SetTimer(min(RECHECK_MS, left), pending.request.request + 1))
        typical_latency = max(
            self.typical_latency.get(pending.kind.name, pending.kind.latency_objective_ms / 4),
            MIN_TYPICAL_SHARE * pending.kind.latency_objective_ms,
        )
        again = pending.kind.effect != "unsafe" and pending.sends + 1 < self.settings.limits.max_attempts
        again = again and self.retry_budget >= 1.0 and left > (TIMEOUT_MULTIPLE + 1) * typical_latency
        time_out = (
            TIMEOUT_MULTIPLE * typical_latency if again else left
        )  # giving up early with no retry to spend is a loss
        request, where = pending.request.request, server.entry
        sent = OutstandingAttempt(
            self.now + SUSPECT_MULTIPLE * typical_latency, typical_latency, time_out, pending.kind
        )
        self.endpoints.attempt_started(server, (request, pending.sends), sent)
        self.admission.set_in_flight(self.now, self.endpoints.shares.out)
        if pending.possibly_ran_on is None:
            pending.possibly_ran_on, pending.possibly_ran_attempt, pending.possibly_ran_ms = (
                where,
                pending.sends,
                self.now,
            )
        pending.tried.append(where.server)
        pending.sends, pending.in_flight = pending.sends + 1, pending.in_flight + 1
        return self.actions.append(io.Send(request, where.server, time_out, left))

    def _typical_latency(self, name: str) -> float:
        """What a class's good answers take; before there are any, a quarter of its aim is taken for it."""
        kind = self.classes.get(name)
        return max(
            self.typical_latency.get(name, kind.latency_objective_ms / 4 if kind is not None else 1.0), 0.1
        )

    def may_write_for(self, now_ms: float, request: int) -> float:
        """So many ms more a request's last send may be written: its last byte, too. 0 if it may not."""
        self.now, pending = max(self.now, now_ms), self.pending_requests.get(request)
        if pending is None or self.now >= pending.deadline:
            return 0.0
        return (
            math.inf if pending.possibly_ran_attempt == pending.sends - 1 else self._retry_window_ms(pending)
        )

    def _retry_window_ms(self, pending: RequestState) -> float:
        """No effect twice: what may have run goes again only if it is free, or keyed and in its window."""
        if pending.possibly_ran_on is None or pending.kind.effect == "free":
            return math.inf
        if pending.kind.effect != "keyed":
            return 0.0
        window = pending.kind.window_ms - self.settings.tick_ms - self.settings.stall_ms
        return max(0.0, window - (self.now - pending.possibly_ran_ms))

    def _may_send(self, pending: RequestState) -> bool:
        return self._retry_window_ms(pending) > 0.0

    def _shed_or_fail(self, pending: RequestState, cause: str, over_quota: bool = False) -> None:
        """The final answer: a refusal where that is true of the request, else a failure."""
        del self.pending_requests[pending.request.request]
        self.end_causes[cause] += 1
        kind, limits = pending.kind, self.settings.limits
        harmless = kind.effect == "free" or (kind.effect, kind.group) == ("keyed", "all")
        if pending.possibly_ran_on is None or harmless:
            pause = (
                min(limits.max_retry_after_ms, kind.latency_objective_ms / 4) if limits.retry_after else 0.0
            )
            self.actions.append(io.Shed(pending.request.request, pause, over_quota))
        else:
            self.actions.append(io.Fail(pending.request.request))

    def _attempt_ended(self, event: io.AttemptEnded) -> None:
        # What a server finds fault with says nothing of its own health, and fares no better elsewhere.
        self._observe(event, "cancelled" if event.faulted else event.code, event.report)
        pending = self.pending_requests.get(event.request)
        if pending is None or event.final or event.faulted:
            if self.pending_requests.pop(event.request, None) is not None and not event.final:
                self.actions.append(io.Fail(event.request))
            return None
        pending.in_flight -= 1
        if event.code in NEVER_RAN and event.attempt == pending.possibly_ran_attempt:
            pending.possibly_ran_on = None
        if pending.in_flight > 0:
            return None
        if event.code not in NEVER_RAN and self._may_send(pending) and self.now < pending.deadline:
            if self.retry_budget < 0.0:
                return self._shed_or_fail(pending, "retry budget")
            self.retry_budget -= 1.0
        return self._dispatch(pending)

    def _observe(self, event: io.AttemptEnded | io.ResponseStarted, code: str, said: io.Report = ()) -> None:
        """What an attempt's end tells of the server, in the life that it was sent to."""
        endpoints, spent, attempt = self.endpoints, event.spent_ms, event.attempt
        server = endpoints.servers.get(event.server)
        sent = endpoints.attempt_ended(server, (event.request, attempt)) if server is not None else None
        if server and sent and said and self.load_field is not None and server.slot >= 0:
            endpoints.shares.said(server.slot, min(MAX_REPORT, said[self.load_field]))
        answered = code in ("ok", "error", "full") or (isinstance(event, io.AttemptEnded) and event.faulted)
        self.admission.set_in_flight(self.now, endpoints.shares.out, answered and sent is not None)
        if server is None or sent is None or code in ("cancelled", "moot"):
            return
        if code == "ok":
            endpoints.answers.add(self.now)
            endpoints.answer_received(
                server,
                spent
                <= GOOD_ANSWER_MULTIPLE
                * self.typical_latency.get(sent.kind.name, sent.kind.latency_objective_ms / 4),
            )
            # Of many that are out the fastest answers first: a mean that began with it would call good
            # servers late. It begins with what is taken for usual before any answer, PRIOR times over.
            typical_latency = self.typical_latency.get(sent.kind.name, sent.kind.latency_objective_ms / 4)
            self.answer_counts[sent.kind.name] += 1
            weight = max(TYPICAL_LATENCY_WEIGHT, 1.0 / (PRIOR_ANSWERS + self.answer_counts[sent.kind.name]))
            self.typical_latency[sent.kind.name] = typical_latency + weight * (spent - typical_latency)
            self.peaks.add(self.now, spent)
        if code == "full":
            endpoints.record_rejection(server, sent.kind.name)
        refused = code == "connect_failed" and spent < sent.time_out - TIMER_TICK_MS
        if (
            code in ("timeout", "reset", "connect_failed")
            and not refused
            and sent.time_out < sent.typical_latency
        ):
            return  # it was given less time than an answer takes: that says nothing of the server
        endpoints.record_result(server, code in ("error", "timeout", "reset", "connect_failed"), refused)
        if code in ("ok", "timeout") or (code == "full" and attempt >= 2):
            late = code == "full" or spent > LATE_FROM * sent.kind.latency_objective_ms
            self.admission.record_outcome(
                self.now, late, self._typical_latency(sent.kind.name), sent.kind.latency_objective_ms
            )
        if code != "ok":
            spent = min(2 * self.peaks.most(self.now), sent.time_out)
        typical_latency = self._typical_latency(sent.kind.name)
        endpoints.shares.score(server.slot, spent / typical_latency)

    def _timer(self, token: int) -> None:
        pending = self.pending_requests.get(token - 1)
        if token == LIST_TIMER:
            self.actions.append(io.Watch())
        elif pending is not None and pending.in_flight == 0:
            self._dispatch(pending)

    # ---- requests

    def _request(self, request: io.Request) -> None:
        self.endpoints.arrivals.add(self.now)
        self.endpoints.refresh_working_set()
        self.retry_budget = min(10.0, self.retry_budget + RETRY_BUDGET_PER_REQUEST)
        kind = self.classes.get(request.service_class)
        if kind is None:
            budget = max(request.budget_ms, 1.0)
            kind = io.ServiceClass(
                "", budget, budget, priority_weight=0.0
            )  # names that are made up leave no entries
        if kind.effect == "keyed" and not request.keyed:  # with no key its repeats can't be dropped
            kind = replace(kind, effect="unsafe")
        left, objective_ms = (
            request.budget_ms,
            kind.latency_objective_ms + kind.objective_stretch * request.work_ms,
        )
        if kind.late_weight == 0:
            left = min(left, objective_ms - self.settings.tick_ms - CLIENT_MARGIN_MS)
        pending = RequestState(request, kind, self.now + left)
        self.pending_requests[request.request] = pending
        if self.shutting_down:
            return self._shed_or_fail(pending, "ending")
        if self.admission.admit(self.now, kind, request.tenant, self._typical_latency):
            return self._dispatch(pending)
        return self._shed_or_fail(
            pending, "shed", self.admission.within_quota(self.now, request.tenant) < 1.0
        )

    # ---- list

    def _endpoint_list_update(self, update: io.EndpointListUpdate) -> None:
        poll_interval = self.settings.rules.poll_interval_ms
        if self.list_failures < 0:
            self.list_failures = 0
            if self.settings.polls_list:
                # A whole fleet may start at once: the first calls are spread so as not to drown the list.
                self.actions.append(io.SetTimer(self.rng.random() * 0.3 * poll_interval, LIST_TIMER))
        elif update.how == "failed":
            self.list_failures += 1
            wait = min(0.5 * poll_interval, 500.0 * 2 ** min(self.list_failures, 6))
            self.actions.append(io.SetTimer(wait * self.rng.uniform(0.5, 1.0), LIST_TIMER))
        else:
            self.list_failures = 0
        self.endpoints.update(update.entries, update.how in ("whole", "stale"), update.starts)
