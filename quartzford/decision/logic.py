"""Every decision of the balancer. Its settings, events and actions are in quartzford/decision/interface.py.

The ordinary path is the CA-S automaton: a probability P per server in use, moved by Eq. 8 on the smoothed,
normalised cost (Eq. 6, 7); every send is a draw from P over the eligible servers. The module's other files:
automaton.py (arithmetic), endpoint_set.py (which servers may be drawn), admission.py (load shedding),
request_state.py (whether a request may be sent again), latency.py (what answers take).
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import replace
from enum import StrEnum

from quartzford.decision import interface as io
from quartzford.decision.admission import LATE_OBJECTIVE_SHARE, Admission
from quartzford.decision.endpoint_set import EndpointSet
from quartzford.decision.interface import Outcome
from quartzford.decision.latency import LatencyEstimates
from quartzford.decision.list_polling import ListPolling
from quartzford.decision.memory import MAX_RETRY_BUDGET, export_learned_state, restore_learned_state
from quartzford.decision.request_state import RequestState
from quartzford.decision.server import AttemptKey, OutstandingAttempt, Server

LOAD_FIELDS = ("depth", "concurrent", "load_share")  # of a load report; the first that it has is used
MAX_REPORT = 1e9  # a reported load beyond this counts as this
FAILURE_PENALTY = 2  # a failure scores this multiple of the largest recent latency
SUSPECT_MULTIPLE = 4.0  # an attempt out for so many typical latencies makes its server suspect
GOOD_ANSWER_MULTIPLE = 2.0  # typical latencies within which an answer shows that its server has capacity
TIMEOUT_MULTIPLE = 4.0  # typical latencies that an attempt gets, if the request may be sent again
MIN_TYPICAL_SHARE = 0.025  # of the latency objective: a typical latency at the least, for time-outs
RETRY_BUDGET_PER_REQUEST = 0.1
RETRY_COST = 1.0
RECHECK_MS = 25.0  # a request with no eligible server is looked at again after this
CLIENT_MARGIN_MS = 3.0  # an answer needs this long to reach the client
TIMER_TICK_MS = 1.0  # what ended so much before our own time-out was not ended by it
REJECTED_AGAIN = 2  # attempts before the one whose rejection counts as late
MIN_OBJECTIVE_MS = 1.0  # of a request of an unknown class
RETRY_AFTER_SHARE = 0.25  # of the latency objective: what Retry-After advises

LIST_TIMER = 0  # timer token of the list; a request's is its number + 1

ANSWERED = frozenset({Outcome.OK, Outcome.ERROR, Outcome.FULL})
FAILURES = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED})
NO_ANSWER = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED})
SAYS_NOTHING = frozenset({Outcome.CANCELLED, Outcome.NOT_SENT})  # of the server
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})  # proof of it


class EndCause(StrEnum):
    """Why a request was ended here without an answer of a server's."""

    SHED = "shed"
    NO_SERVER = "no server"
    TIME = "time"
    ATTEMPTS = "attempts"
    RETRY_BUDGET = "retry budget"
    SHUTDOWN = "ending"


class Balancer:
    """One balancer: feed it events with the time, carry out the actions it returns."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.endpoints = EndpointSet(settings, self.rng, seed)
        self.admission = Admission(settings, self.rng)
        self.latency = LatencyEstimates()
        self.list_polling = ListPolling(self.rng)
        self.actions: list[io.Action] = []  # those of the event in hand
        self.pending_requests: dict[int, RequestState] = {}
        self.retry_budget = RETRY_COST
        self.end_causes: Counter[str] = Counter()
        self.shutting_down = False  # the process is about to exit
        self.configure(settings)

    def configure(self, settings: io.Settings) -> None:
        """Take the settings from now on; what is in flight and what was learnt stay."""
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        self.endpoints.configure(settings)
        self.admission.configure(settings)
        self.latency.configure(settings.classes)
        fields = settings.report_fields
        self.load_field = next((fields.index(name) for name in LOAD_FIELDS if name in fields), None)

    @property
    def servers(self) -> dict[str, Server]:
        """All servers of the endpoint list, by name."""
        return self.endpoints.servers

    @property
    def in_maintenance(self) -> set[str]:
        """Names of servers that operators have taken out."""
        return self.endpoints.in_maintenance

    @property
    def ready(self) -> list[Server]:
        """The servers in use."""
        return self.endpoints.ready

    def handle(self, now_ms: float, event: io.Event) -> list[io.Action]:
        """Take in an event that happened now; what is to be done about it, in order."""
        self.actions = []
        self._advance(now_ms)
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
                self._shut_down()
            case io.ResponseStarted():
                self._response_started(event)
        return self.actions

    def _advance(self, now_ms: float) -> None:
        """Time never runs backwards here, whatever the caller's clock does."""
        self.now = max(self.now, now_ms)
        self.endpoints.now = self.now

    # ---- a process that follows this one

    def hand_over(self, now_ms: float) -> io.LearnedState:
        """What the successor is to know; from now on this one only ends what it has."""
        self._advance(now_ms)
        state = export_learned_state(self)
        self.retry_budget /= 2
        self.endpoints.slow_start.handed_over = True
        return state

    def cancel_handover(self, now_ms: float) -> None:
        """The successor has died: cold servers' budgets begin anew, as it is not known what it sent."""
        self._advance(now_ms)
        self.endpoints.slow_start.handed_over = False
        self.endpoints.slow_start.reset_budgets(self.now)

    def inherit(self, now_ms: float, state: io.LearnedState) -> None:
        """Take what the predecessor knew, after an update of the endpoint list."""
        self._advance(now_ms)
        restore_learned_state(self, state)

    # ---- requests

    def _request(self, request: io.Request) -> None:
        self.endpoints.traffic.arrivals.add(self.now)
        self.endpoints.refresh_working_set()
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRY_BUDGET_PER_REQUEST)
        kind = self._class_of(request)
        pending = RequestState(request, kind, self.now + self._time_left(request, kind))
        self.pending_requests[request.request] = pending
        if self.shutting_down:
            self._shed_or_fail(pending, EndCause.SHUTDOWN)
        elif self.admission.admit(self.now, kind, request.tenant, self.latency.typical_for_name):
            self._dispatch(pending)
        else:
            over_quota = self.admission.within_quota(self.now, request.tenant) < 1.0
            self._shed_or_fail(pending, EndCause.SHED, over_quota)

    def _class_of(self, request: io.Request) -> io.ServiceClass:
        kind = self.classes.get(request.service_class)
        if kind is None:  # names that are made up leave no entries
            budget = max(request.budget_ms, MIN_OBJECTIVE_MS)
            return io.ServiceClass("", budget, budget, priority_weight=0.0)
        if kind.effect == "keyed" and not request.keyed:  # with no key its repeats can't be dropped
            return replace(kind, effect="unsafe")
        return kind

    def _time_left(self, request: io.Request, kind: io.ServiceClass) -> float:
        """For how long an answer is of any use, in ms."""
        if kind.late_weight != 0:
            return request.budget_ms
        objective_ms = kind.latency_objective_ms + kind.objective_stretch * request.work_ms
        return min(request.budget_ms, objective_ms - self.settings.tick_ms - CLIENT_MARGIN_MS)

    def _shut_down(self) -> None:
        self.shutting_down = True
        for pending in list(self.pending_requests.values()):
            self._shed_or_fail(pending, EndCause.SHUTDOWN)

    def _shed_or_fail(self, pending: RequestState, cause: EndCause, over_quota: bool = False) -> None:
        """Give the final answer: shed if a retry by the client is harmless, else failed."""
        del self.pending_requests[pending.number]
        self.end_causes[cause] += 1
        if not pending.harmless_to_repeat:
            self.actions.append(io.Fail(pending.number))
            return
        limits = self.settings.limits
        pause = 0.0
        if limits.retry_after:
            advice = RETRY_AFTER_SHARE * pending.kind.latency_objective_ms
            pause = min(limits.max_retry_after_ms, advice)
        self.actions.append(io.Shed(pending.number, pause, over_quota))

    # ---- attempts

    def _dispatch(self, pending: RequestState) -> None:
        """Send, hold for a moment, or end a request that has no attempt out."""
        left = pending.deadline - self.now
        if left <= 0:
            return self._shed_or_fail(pending, EndCause.TIME if pending.sends else EndCause.NO_SERVER)
        if pending.sends >= self.settings.limits.max_attempts or not self._may_send(pending):
            return self._shed_or_fail(pending, EndCause.ATTEMPTS)
        server = self.endpoints.pick(pending.kind, pending.tried, pending.possibly_ran_on)
        if server is None:
            self.actions.append(io.SetTimer(min(RECHECK_MS, left), pending.number + 1))
            return None
        return self._send(pending, server, left)

    def _send(self, pending: RequestState, server: Server, left: float) -> None:
        kind = pending.kind
        typical = max(self.latency.typical_for(kind), MIN_TYPICAL_SHARE * kind.latency_objective_ms)
        timeout = self._attempt_timeout(pending, typical, left)
        attempt = OutstandingAttempt(self.now + SUSPECT_MULTIPLE * typical, typical, timeout, kind)
        self.endpoints.attempt_started(server, AttemptKey(pending.number, pending.sends), attempt)
        self.admission.set_in_flight(self.now, self.endpoints.shares.total_in_flight)
        pending.sent_to(server.entry, self.now)
        self.actions.append(io.Send(pending.number, server.entry.server, timeout, left))

    def _attempt_timeout(self, pending: RequestState, typical: float, left: float) -> float:
        """Giving up early is a loss where the request can't be retried, or there is no budget for it."""
        may_retry = (
            pending.kind.effect != "unsafe"
            and pending.sends + 1 < self.settings.limits.max_attempts
            and self.retry_budget >= RETRY_COST
            and left > (TIMEOUT_MULTIPLE + 1) * typical
        )
        return TIMEOUT_MULTIPLE * typical if may_retry else left

    def write_window_ms(self, now_ms: float, request: int) -> float:
        """For so many ms more a request's last attempt may be written, to its last byte; 0: not at all."""
        self.now = max(self.now, now_ms)
        pending = self.pending_requests.get(request)
        if pending is None or self.now >= pending.deadline:
            return 0.0
        if pending.possibly_ran_attempt == pending.sends - 1:
            return math.inf
        return pending.retry_window_ms(self.now, self.settings)

    def _may_send(self, pending: RequestState) -> bool:
        return pending.retry_window_ms(self.now, self.settings) > 0.0

    def _attempt_ended(self, event: io.AttemptEnded) -> None:
        self._observe(event)
        if event.final or event.faulted or event.request not in self.pending_requests:
            # An error that the server puts down to the request would come elsewhere, too.
            if self.pending_requests.pop(event.request, None) is not None and not event.final:
                self.actions.append(io.Fail(event.request))
            return None
        pending = self.pending_requests[event.request]
        pending.in_flight -= 1
        never_ran = event.code in NEVER_RAN
        if never_ran:
            pending.never_ran(event.attempt)
        if pending.in_flight > 0:
            return None
        if not never_ran and self._may_send(pending) and self.now < pending.deadline:
            if self.retry_budget < 0.0:
                return self._shed_or_fail(pending, EndCause.RETRY_BUDGET)
            self.retry_budget -= RETRY_COST
        return self._dispatch(pending)

    def _response_started(self, event: io.ResponseStarted) -> None:
        """The stream is the client's now: no answer is needed, and its age is no sign of a fault."""
        self.pending_requests.pop(event.request, None)
        attempt = self._take_back_attempt(event)
        self._record_in_flight(answered=attempt is not None)
        if attempt is not None:
            self._learn(event, self.endpoints.servers[event.server], attempt, Outcome.OK)

    def _timer(self, token: int) -> None:
        if token == LIST_TIMER:
            self.actions.append(io.Watch())
            return
        pending = self.pending_requests.get(token - 1)
        if pending is not None and pending.in_flight == 0:
            self._dispatch(pending)

    # ---- what is learnt from attempts

    def _observe(self, event: io.AttemptEnded) -> None:
        """Learn what an attempt's end shows of the server, in the incarnation that it was sent to."""
        attempt = self._take_back_attempt(event)
        if attempt is None:
            self._record_in_flight(answered=False)
            return
        server = self.endpoints.servers[event.server]
        if event.report and self.load_field is not None and server.slot >= 0:
            self.endpoints.shares.set_report(server.slot, min(MAX_REPORT, event.report[self.load_field]))
        self._record_in_flight(answered=event.faulted or event.code in ANSWERED)
        # An error that the server puts down to the request says nothing of the server's own health.
        if not event.faulted and event.code not in SAYS_NOTHING:
            self._learn(event, server, attempt, event.code)

    def _take_back_attempt(self, event: io.AttemptEnded | io.ResponseStarted) -> OutstandingAttempt | None:
        """The attempt, which is out no more; None if its server is gone, or another incarnation now."""
        server = self.endpoints.servers.get(event.server)
        if server is None:
            return None
        return self.endpoints.attempt_ended(server, AttemptKey(event.request, event.attempt))

    def _record_in_flight(self, answered: bool) -> None:
        self.admission.set_in_flight(self.now, self.endpoints.shares.total_in_flight, answered)

    def _learn(
        self,
        event: io.AttemptEnded | io.ResponseStarted,
        server: Server,
        attempt: OutstandingAttempt,
        code: str,
    ) -> None:
        kind = attempt.service_class
        spent = event.spent_ms
        succeeded = code == Outcome.OK
        rejected = code == Outcome.FULL
        if succeeded:
            in_time = spent <= GOOD_ANSWER_MULTIPLE * self.latency.typical_for(kind)
            self.endpoints.answer_received(server, in_time)
            self.latency.add(self.now, kind, spent)
        elif rejected:
            self.endpoints.record_rejection(server, kind.name)
        failed = code in FAILURES
        unreachable = failed and code == Outcome.CONNECT_FAILED and spent < attempt.timeout - TIMER_TICK_MS
        if code in NO_ANSWER and not unreachable and attempt.timeout < attempt.typical_latency:
            return  # it was given less time than an answer takes: that says nothing of the server
        self.endpoints.record_result(server, failed, unreachable)
        typical = self.latency.typical_for_name(kind.name)
        rejected_again = rejected and event.attempt >= REJECTED_AGAIN
        if succeeded or rejected_again or code == Outcome.TIMEOUT:
            late = rejected_again or spent > LATE_OBJECTIVE_SHARE * kind.latency_objective_ms
            self.admission.record_outcome(self.now, late, typical, kind.latency_objective_ms)
        if not succeeded:
            spent = min(FAILURE_PENALTY * self.latency.peaks.largest(self.now), attempt.timeout)
        self.endpoints.shares.score(server.slot, spent / typical)

    # ---- the endpoint list

    def _endpoint_list_update(self, update: io.EndpointListUpdate) -> None:
        wait = self.list_polling.next_call_ms(update.kind, self.settings)
        if wait is not None:
            self.actions.append(io.SetTimer(wait, LIST_TIMER))
        complete = update.kind in io.COMPLETE_LISTS
        self.endpoints.update(update.entries, complete, update.starts)
