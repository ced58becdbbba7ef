"""The balancer's decisions. Its settings, events and actions are defined in quartzford/decision/interface.py.

Servers are selected by the CA-S automaton: each server in use has a probability P, which Eq. 8 of the CA-S
paper updates from the server's smoothed, normalised cost (Eq. 6 and 7 of the paper). Every send draws from P
over the eligible servers. Other files of the package: automaton.py (arithmetic of P), endpoint_set.py
(eligible servers), admission.py (load shedding), request_state.py (whether a request may be sent again),
latency.py (typical latencies).
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

LOAD_FIELDS = ("depth", "concurrent", "load_share")  # of load reports; the first one that is reported is used
MAX_REPORTED_LOAD = 1e9  # a larger reported load counts as this
FAILURE_LATENCY_MULTIPLE = 2  # a failure scores as this multiple of the largest recent latency
SUSPECT_MULTIPLE = 4.0  # typical latencies in flight after which an attempt makes its server suspect
TIMELY_ANSWER_MULTIPLE = 2.0  # typical latencies within which an answer shows that its server has capacity
TIMEOUT_MULTIPLE = 4.0  # time-out of an attempt in typical latencies, if the request may be retried
MIN_TYPICAL_LATENCY_SHARE = 0.025  # of the latency objective; lower bound of the typical latency in time-outs
RETRY_BUDGET_PER_REQUEST = 0.1  # retries that each arriving request adds to the retry budget
RETRY_COST = 1.0  # what a retry takes from the retry budget
NO_SERVER_RECHECK_MS = 25.0  # interval at which a request without an eligible server is dispatched again
CLIENT_MARGIN_MS = 3.0  # time for an answer to reach the client
TIMEOUT_TOLERANCE_MS = 1.0  # an attempt that ended more than this before its time-out did not time out
LATE_REJECTION_ATTEMPT = 2  # from this attempt of a request on (the first is 0), a rejection counts as late
MIN_OBJECTIVE_MS = 1.0  # latency objective of a request of an unknown class
RETRY_AFTER_SHARE = 0.25  # share of the latency objective that Retry-After advises

LIST_TIMER_TOKEN = 0  # for the endpoint list; the timer token of a request is its number + 1

ANSWERED = frozenset({Outcome.OK, Outcome.ERROR, Outcome.FULL})
FAILURES = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED})
NO_ANSWER = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED})
INCONCLUSIVE = frozenset({Outcome.CANCELLED, Outcome.NOT_SENT})  # show nothing about the server
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})  # certainly not run


class EndCause(StrEnum):
    """Why the balancer gave a request its final answer without an answer from a server."""

    SHED = "shed"
    NO_SERVER = "no server"  # no server was eligible before the deadline
    TIME = "time"  # the deadline passed after at least one attempt
    ATTEMPTS = "attempts"  # no further attempt is permitted
    RETRY_BUDGET = "retry budget"  # the retry budget is exhausted
    SHUTDOWN = "ending"


class Balancer:
    """One balancer: the caller passes it events with their times, and carries out the actions it returns."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.endpoints = EndpointSet(settings, self.rng, seed)
        self.admission = Admission(settings, self.rng)
        self.latency = LatencyEstimates()
        self.list_polling = ListPolling(self.rng)
        self.actions: list[io.Action] = []  # actions for the event that is being handled
        self.pending_requests: dict[int, RequestState] = {}
        self.retry_budget = RETRY_COST  # in retries
        self.end_causes: Counter[str] = Counter()
        self.shutting_down = False  # the process is about to exit
        self.configure(settings)

    def configure(self, settings: io.Settings) -> None:
        """Apply new settings; pending requests, attempts in flight and the learned state are kept."""
        self.settings = settings
        self.classes = {service_class.name: service_class for service_class in settings.classes}
        self.endpoints.configure(settings)
        self.admission.configure(settings)
        self.latency.configure(settings.classes)
        fields = settings.report_fields
        self.load_index = next((fields.index(name) for name in LOAD_FIELDS if name in fields), None)

    @property
    def servers(self) -> dict[str, Server]:
        """Return all servers of the endpoint list, by name."""
        return self.endpoints.servers

    @property
    def in_maintenance(self) -> set[str]:
        """Return the names of the servers that operators have put into maintenance."""
        return self.endpoints.in_maintenance

    @property
    def ready(self) -> list[Server]:
        """Return the servers in use, by slot."""
        return self.endpoints.ready

    def handle(self, now_ms: float, event: io.Event) -> list[io.Action]:
        """Handle an event that happened at now_ms; return the actions to carry out, in order."""
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
            case io.MaintenanceChange(server, in_maintenance):
                self.endpoints.set_maintenance(server, in_maintenance)
            case io.ClientDisconnected(request):
                self.pending_requests.pop(request, None)
            case io.ShutdownStarted():
                self._shut_down()
            case io.ResponseStarted():
                self._response_started(event)
        return self.actions

    def _advance(self, now_ms: float) -> None:
        """Advance the time, which never goes backwards here, even if the caller's clock does."""
        self.now = max(self.now, now_ms)
        self.endpoints.now = self.now

    # ---- handover to a successor

    def hand_over(self, now_ms: float) -> io.LearnedState:
        """Return the learned state for the successor; from now on, this balancer only completes its requests.

        Half of the retry budget goes to the successor, as do the slow-start budgets.
        """
        self._advance(now_ms)
        state = export_learned_state(self)
        self.retry_budget /= 2
        self.endpoints.slow_start.handed_over = True
        return state

    def cancel_handover(self, now_ms: float) -> None:
        """Resume after the successor died.

        The slow-start budgets are reset to 0, as it is unknown how much of them the successor has spent.
        """
        self._advance(now_ms)
        self.endpoints.slow_start.handed_over = False
        self.endpoints.slow_start.reset_budgets(self.now)

    def inherit(self, now_ms: float, state: io.LearnedState) -> None:
        """Take over the predecessor's learned state, after an update of the endpoint list."""
        self._advance(now_ms)
        restore_learned_state(self, state)

    # ---- requests

    def _request(self, request: io.Request) -> None:
        self.endpoints.traffic.arrivals.add(self.now)
        self.endpoints.refresh_working_set()
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRY_BUDGET_PER_REQUEST)
        service_class = self._class_of(request)
        pending = RequestState(
            request, service_class, self.now + self._useful_time_ms(request, service_class)
        )
        self.pending_requests[request.request] = pending
        if self.shutting_down:
            self._shed_or_fail(pending, EndCause.SHUTDOWN)
        elif self.admission.admit(self.now, service_class, request.tenant, self.latency.typical_for_name):
            self._dispatch(pending)
        else:
            over_quota = self.admission.within_quota(self.now, request.tenant) < 1.0
            self._shed_or_fail(pending, EndCause.SHED, over_quota)

    def _class_of(self, request: io.Request) -> io.ServiceClass:
        service_class = self.classes.get(request.service_class)
        if service_class is None:  # made-up class names must not add entries to tables
            budget_ms = max(request.budget_ms, MIN_OBJECTIVE_MS)
            return io.ServiceClass("", budget_ms, budget_ms, priority_weight=0.0)
        if service_class.effect == "keyed" and not request.keyed:  # repeats without a key can't be dropped
            return replace(service_class, effect="unsafe")
        return service_class

    def _useful_time_ms(self, request: io.Request, service_class: io.ServiceClass) -> float:
        """Return the time in ms within which an answer has any value."""
        if service_class.late_weight != 0:
            return request.budget_ms
        objective_ms = service_class.latency_objective_ms + service_class.objective_stretch * request.work_ms
        return min(request.budget_ms, objective_ms - self.settings.tick_ms - CLIENT_MARGIN_MS)

    def _shut_down(self) -> None:
        self.shutting_down = True
        for pending in list(self.pending_requests.values()):
            self._shed_or_fail(pending, EndCause.SHUTDOWN)

    def _shed_or_fail(self, pending: RequestState, cause: EndCause, over_quota: bool = False) -> None:
        """Give the final answer: Shed if the client may safely retry, else Fail."""
        del self.pending_requests[pending.number]
        self.end_causes[cause] += 1
        if not pending.safe_to_repeat:
            self.actions.append(io.Fail(pending.number))
            return
        limits = self.settings.limits
        pause_ms = 0.0
        if limits.retry_after:
            advised_ms = RETRY_AFTER_SHARE * pending.service_class.latency_objective_ms
            pause_ms = min(limits.max_retry_after_ms, advised_ms)
        self.actions.append(io.Shed(pending.number, pause_ms, over_quota))

    # ---- attempts

    def _dispatch(self, pending: RequestState) -> None:
        """Send a request that has no attempt in flight, hold it for a while, or give its final answer."""
        time_left = pending.deadline - self.now
        if time_left <= 0:
            return self._shed_or_fail(pending, EndCause.TIME if pending.sends else EndCause.NO_SERVER)
        if pending.sends >= self.settings.limits.max_attempts or not self._may_send(pending):
            return self._shed_or_fail(pending, EndCause.ATTEMPTS)
        server = self.endpoints.pick(pending.service_class, pending.tried, pending.possibly_ran_on)
        if server is None:
            self.actions.append(io.SetTimer(min(NO_SERVER_RECHECK_MS, time_left), pending.number + 1))
            return None
        return self._send(pending, server, time_left)

    def _send(self, pending: RequestState, server: Server, time_left: float) -> None:
        service_class = pending.service_class
        typical = max(
            self.latency.typical_for(service_class),
            MIN_TYPICAL_LATENCY_SHARE * service_class.latency_objective_ms,
        )
        timeout = self._attempt_timeout(pending, typical, time_left)
        attempt = OutstandingAttempt(self.now + SUSPECT_MULTIPLE * typical, typical, timeout, service_class)
        self.endpoints.attempt_started(server, AttemptKey(pending.number, pending.sends), attempt)
        self.admission.set_in_flight(self.now, self.endpoints.shares.total_in_flight)
        pending.record_send(server.entry, self.now)
        self.actions.append(io.Send(pending.number, server.entry.server, timeout, time_left))

    def _attempt_timeout(self, pending: RequestState, typical: float, time_left: float) -> float:
        """Return the time-out of an attempt in ms.

        It is shorter than the time left only if the request could then be retried: without a permitted retry
        and budget for it, giving up early would only lose the answer.
        """
        may_retry = (
            pending.service_class.effect != "unsafe"
            and pending.sends + 1 < self.settings.limits.max_attempts
            and self.retry_budget >= RETRY_COST
            and time_left > (TIMEOUT_MULTIPLE + 1) * typical
        )
        return TIMEOUT_MULTIPLE * typical if may_retry else time_left

    def write_window_ms(self, now_ms: float, request: int) -> float:
        """Return for how many ms from now the request of the latest attempt may be written, to its last byte.

        0 if it may not be written at all.
        """
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
            # An error that the server attributes to the request would occur on any other server, too.
            if self.pending_requests.pop(event.request, None) is not None and not event.final:
                self.actions.append(io.Fail(event.request))
            return None
        pending = self.pending_requests[event.request]
        pending.in_flight -= 1
        never_ran = event.code in NEVER_RAN
        if never_ran:
            pending.mark_never_ran(event.attempt)
        if pending.in_flight > 0:
            return None
        if not never_ran and self._may_send(pending) and self.now < pending.deadline:
            if self.retry_budget < 0.0:
                return self._shed_or_fail(pending, EndCause.RETRY_BUDGET)
            self.retry_budget -= RETRY_COST
        return self._dispatch(pending)

    def _response_started(self, event: io.ResponseStarted) -> None:
        """Record the start of a streamed response.

        The request needs no final answer any more, and a long stream is no sign of a faulty server.
        """
        self.pending_requests.pop(event.request, None)
        attempt = self._remove_attempt(event)
        self._record_in_flight(answered=attempt is not None)
        if attempt is not None:
            self._learn(event, self.endpoints.servers[event.server], attempt, Outcome.OK)

    def _timer(self, token: int) -> None:
        if token == LIST_TIMER_TOKEN:
            self.actions.append(io.Watch())
            return
        pending = self.pending_requests.get(token - 1)
        if pending is not None and pending.in_flight == 0:
            self._dispatch(pending)

    # ---- learning from attempts

    def _observe(self, event: io.AttemptEnded) -> None:
        """Learn from the end of an attempt, if its server is still the incarnation that it was sent to."""
        attempt = self._remove_attempt(event)
        if attempt is None:
            self._record_in_flight(answered=False)
            return
        server = self.endpoints.servers[event.server]
        if event.report and self.load_index is not None and server.slot >= 0:
            self.endpoints.shares.set_report(
                server.slot, min(MAX_REPORTED_LOAD, event.report[self.load_index])
            )
        self._record_in_flight(answered=event.faulted or event.code in ANSWERED)
        # An error that the server attributes to the request shows nothing about the server's own health.
        if not event.faulted and event.code not in INCONCLUSIVE:
            self._learn(event, server, attempt, event.code)

    def _remove_attempt(self, event: io.AttemptEnded | io.ResponseStarted) -> OutstandingAttempt | None:
        """Remove and return the attempt; None if its server was removed or is another incarnation now."""
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
        service_class = attempt.service_class
        latency_ms = event.spent_ms
        succeeded = code == Outcome.OK
        rejected = code == Outcome.FULL
        if succeeded:
            timely = latency_ms <= TIMELY_ANSWER_MULTIPLE * self.latency.typical_for(service_class)
            self.endpoints.answer_received(server, timely)
            self.latency.add(self.now, service_class, latency_ms)
        elif rejected:
            self.endpoints.record_rejection(server, service_class.name)
        failed = code in FAILURES
        unreachable = (
            failed and code == Outcome.CONNECT_FAILED and latency_ms < attempt.timeout - TIMEOUT_TOLERANCE_MS
        )
        if code in NO_ANSWER and not unreachable and attempt.timeout < attempt.typical_latency:
            return  # its time-out was shorter than an answer takes, so it shows nothing about the server
        self.endpoints.record_result(server, failed, unreachable)
        typical = self.latency.typical_for_name(service_class.name)
        rejected_again = rejected and event.attempt >= LATE_REJECTION_ATTEMPT
        if succeeded or rejected_again or code == Outcome.TIMEOUT:
            late = rejected_again or latency_ms > LATE_OBJECTIVE_SHARE * service_class.latency_objective_ms
            self.admission.record_outcome(self.now, late, typical, service_class.latency_objective_ms)
        if not succeeded:
            latency_ms = min(FAILURE_LATENCY_MULTIPLE * self.latency.peaks.largest(self.now), attempt.timeout)
        self.endpoints.shares.score(server.slot, latency_ms / typical)

    # ---- the endpoint list

    def _endpoint_list_update(self, update: io.EndpointListUpdate) -> None:
        wait_ms = self.list_polling.next_call_ms(update.kind, self.settings)
        if wait_ms is not None:
            self.actions.append(io.SetTimer(wait_ms, LIST_TIMER_TOKEN))
        complete = update.kind in io.COMPLETE_LISTS
        self.endpoints.update(update.entries, complete, update.starts)
