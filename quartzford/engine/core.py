"""Passes events of fronts, backends and the endpoint list to the decision module, and executes its actions.

The engine owns the pending requests, their attempts and their deadlines, and it ends overdue requests. Clock
and seed are parameters. The engine depends on no protocol and no socket. Its times are seconds on the clock.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from quartzford.decision import interface as io
from quartzford.decision.logic import NEVER_RAN, Balancer
from quartzford.engine.clock import Clock
from quartzford.engine.log import Log
from quartzford.engine.peaks import Peaks
from quartzford.engine.pending_request import Attempt, PendingRequest
from quartzford.engine.request_counters import RequestCounters, RequestEnd
from quartzford.engine.request_ids import RETENTION_S, RequestIds

# Interval of the checks for overdue requests. A request is overdue when its deadline passed this long ago; it
# is then ended whatever the state of its attempt or timer.
OVERDUE_CHECK_S = 0.02
HOLD_UP_THRESHOLD_S = 0.01  # if a timer is off by more than this, the event loop was held up
# A request this far past its deadline is ended even if the event loop is held up at every check: if another
# hold-up of 0.15 s follows, its answer still comes within half a second.
MAX_OVERDUE_S = 0.25
MIN_ATTEMPT_MS = 0.01  # lower bound of the duration that is reported for an attempt
NO_REQUEST = -1
REQUEST_NUMBER_COUNT = 2**32


class RequestRecorder(Protocol):
    """Records arriving requests."""

    def record(self, request: io.Request, size: int) -> None:
        """Record a request; size: of its body, in bytes."""


class AttemptObserver(Protocol):
    """Gets the starts and ends of attempts and the ends of requests, for metrics."""

    def attempt_starting(self, send: io.Send, pending: PendingRequest) -> None:
        """Called before an attempt starts."""

    def attempt_ended(self, attempt: Attempt, code: str) -> None:
        """Called when an attempt has ended; code: its outcome, followed by the stage it had reached."""

    def request_ended(self, pending: PendingRequest, end: str) -> None:
        """Called when a request has ended; end: one of RequestEnd."""


class Engine:
    """Runs one decision module."""

    def __init__(self, settings: io.Settings, seed: int, clock: Clock, log: Log) -> None:
        self.clock = clock
        self.log = log
        self.balancer = Balancer(settings, seed)
        self.pending_requests: dict[int, PendingRequest] = {}
        self.counts: Counter[str] = Counter()  # outcomes of attempts and ends of requests
        self.peaks = Peaks()
        self.request_counters = RequestCounters()
        self.request_ids = RequestIds(clock.now)
        self.recorder: RequestRecorder | None = None
        self.observer: AttemptObserver | None = None
        self.poll_list: Callable[[], None] = lambda: None  # requests the endpoint list, for the action Watch
        self._last_number = 0
        self._use_settings(settings)

    def _use_settings(self, settings: io.Settings) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.request_counters.classes = self.classes
        self.max_deadline_ms = max(c.deadline_ms for c in settings.classes)
        # How long another process refuses the ID of a request that is open in this one.
        self.id_retention_s = self.max_deadline_ms / 1000.0 + RETENTION_S

    def reconfigure(self, settings: io.Settings) -> None:
        """Apply new settings. Requests in flight continue, and the learned state is kept."""
        self._use_settings(settings)
        self.balancer.configure(settings)

    def hand_over(self) -> io.LearnedState:
        """Return the learned state for a successor; from now on this process only completes open requests."""
        return self.balancer.hand_over(self.clock.unix_ms())

    def cancel_handover(self) -> None:
        """Resume sending to servers in slow start: the handover failed, as the successor died."""
        self.balancer.cancel_handover(self.clock.unix_ms())

    def inherit(self, state: io.LearnedState) -> None:
        """Adopt the learned state of the predecessor; call it after an update of the endpoint list."""
        self.balancer.inherit(self.clock.unix_ms(), state)

    def start(self) -> None:
        """Start the periodic check for overdue requests."""
        self._schedule_overdue_check(set())

    # ---- the decision module

    def feed(self, event: io.Event) -> None:
        """Pass an event to the decision module, and execute the actions that it returns.

        An exception in the module or in an action is logged, and abandons the request of the event or action.
        """
        try:
            actions = self.balancer.handle(self.clock.unix_ms(), event)
        except Exception:
            self.log.exception("module")
            return self._abandon(getattr(event, "request", NO_REQUEST))
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                self.log.exception("action")
                self._abandon(getattr(action, "request", NO_REQUEST))

    def _abandon(self, number: int) -> None:
        """End a request after an exception or past its deadline, if it is pending."""
        pending = self.pending_requests.get(number)
        if pending is not None:
            attempt = pending.attempt
            self._close(pending, RequestEnd.ABANDONED)
            self.request_counters.count_end(RequestEnd.FAILED, pending.service_class)
            self.balancer.pending_requests.pop(pending.number, None)
            if attempt is not None:
                attempt.fail(io.Outcome.CANCELLED)
            pending.aborted()

    def _execute(self, action: io.Action) -> None:
        match action:
            case io.Send():
                self._send(self.pending_requests[action.request], action)
            case io.Shed(request, pause, over_quota):
                self._finish(request, RequestEnd.REFUSED).refused(pause, over_quota)
            case io.Fail(request):
                self._finish(request, RequestEnd.FAILED).failed()
            case io.SetTimer(after, token):
                self.clock.call_later(max(0.0, after) / 1000.0, self.feed, io.Timer(token))
            case io.Watch():
                self.poll_list()
            case io.Cancel(request, number):
                attempt = self.pending_requests[request].attempt
                if attempt is not None and attempt.number == number and not attempt.streaming:
                    attempt.fail(io.Outcome.CANCELLED)
            case io.Log(text):
                self.log.line("module", text)
            case io.HealthCheck(server):
                self.log.line("module", f"health check of {server} requested, but this balancer sends none")

    def _send(self, pending: PendingRequest, send: io.Send) -> None:
        now = self.clock.now()
        module_timeout_at = now + (send.time_out_ms / 1000.0 if send.time_out_ms else math.inf)
        timeout_at = min(pending.deadline, module_timeout_at)
        response_deadline = min(pending.deadline, max(timeout_at, now + send.response_deadline_ms / 1000.0))
        if self.observer is not None:
            self.observer.attempt_starting(send, pending)
        attempt = pending.backend.create_attempt(
            pending, pending.sends, send.server, now, timeout_at, response_deadline
        )
        pending.sends += 1
        pending.attempt = attempt
        attempt.start()

    def _finish(self, request: int, end: RequestEnd) -> PendingRequest:
        """Count and close a request that the decision module has ended; return it."""
        pending = self.pending_requests[request]
        self.counts[end] += 1
        self.request_counters.count_end(end, pending.service_class)
        self._close(pending, end)
        return pending

    def _close(self, pending: PendingRequest, end: RequestEnd) -> None:
        if self.observer is not None:
            self.observer.request_ended(pending, end)
        self.pending_requests.pop(pending.number, None)
        pending.done = True
        self.peaks.note_answer(self.clock.now() - pending.deadline)
        attempt = pending.attempt
        pending.attempt = None
        written = attempt is not None and not math.isnan(attempt.written_at)
        if end is RequestEnd.CLIENT_DISCONNECTED and (pending.possibly_ran or written):
            self.request_ids.retain(pending.correlation_id, pending.deadline)
        else:
            self.request_ids.release(pending.correlation_id)

    # ---- from fronts

    def claim_id(self, identity: str) -> bool:
        """Claim the correlation ID of a complete request; False if another request has it, see RequestIds."""
        return self.request_ids.claim(identity, self.id_retention_s)

    def next_number(self) -> int:
        """Return a number that no pending request has."""
        self._last_number = (self._last_number + 1) % REQUEST_NUMBER_COUNT
        while self._last_number in self.pending_requests:
            self._last_number = (self._last_number + 1) % REQUEST_NUMBER_COUNT
        return self._last_number

    def request_arrived(self, pending: PendingRequest, request: io.Request, size: int = 0) -> None:
        """Register a complete request, and pass it to the decision module; size: of its body, in bytes."""
        self.pending_requests[pending.number] = pending
        pending.service_class = request.service_class
        if self.recorder is not None:
            self.recorder.record(request, size)
        self.feed(request)

    def client_disconnected(self, pending: PendingRequest) -> None:
        """End a request whose client has disconnected: it gets no answer and no further attempt."""
        if pending.done:
            return
        attempt = pending.attempt
        self.counts[RequestEnd.CLIENT_DISCONNECTED] += 1
        self._close(pending, RequestEnd.CLIENT_DISCONNECTED)
        pending.client_disconnected()
        self.feed(io.ClientDisconnected(pending.number))
        if attempt is not None:
            attempt.fail(io.Outcome.CANCELLED)

    def shut_down(self) -> None:
        """Give all pending requests their final answer and cancel their attempts: the process exits soon."""
        attempts = [
            pending.attempt for pending in self.pending_requests.values() if pending.attempt is not None
        ]
        self.feed(io.ShutdownStarted())
        for attempt in attempts:
            if not attempt.ended:
                attempt.fail(io.Outcome.CANCELLED)

    # ---- from attempts

    def may_begin(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still begin. Whether a connection is available is for the backend."""
        return self.write_window_s(attempt) > 0.0

    def write_window_s(self, attempt: Attempt) -> float:
        """Return the seconds within which the last byte of its request may be written; 0: do not write it."""
        if attempt.pending.done or self.clock.now() >= attempt.timeout_at:
            return 0.0
        return self.balancer.write_window_ms(self.clock.unix_ms(), attempt.pending.number) / 1000.0

    def response_started(self, attempt: Attempt) -> None:
        """Note that the attempt's response is streamed from now on: no other attempt can replace it."""
        attempt.streaming = True
        number = attempt.pending.number
        self.feed(io.ResponseStarted(number, attempt.number, attempt.server, self._elapsed_ms(attempt)))

    def _elapsed_ms(self, attempt: Attempt) -> float:
        return max(MIN_ATTEMPT_MS, (self.clock.now() - attempt.chosen_at) * 1000.0)

    def attempt_ended(
        self,
        attempt: Attempt,
        code: str,
        answer: Any = None,
        report: io.Report = (),
        faulted: bool = False,
        stage: str = "",
        retryable: bool = True,
    ) -> None:
        """End an attempt, and its request too if there is no further attempt.

        code: one of io.Outcome. answer: the complete answer, for the front. report: the server's load report.
        faulted: the server blames the request itself for its error. stage: how far the attempt had come, for
        counts. retryable: if False, the request ends too, as it must not be sent again.
        """
        pending = attempt.pending
        elapsed_ms = self._elapsed_ms(attempt)
        outcome = f"{code} {stage}".rstrip()
        if self.observer is not None:
            self.observer.attempt_ended(attempt, outcome)
        if pending.attempt is attempt:
            pending.attempt = None
        if code not in NEVER_RAN and not math.isnan(attempt.written_at):
            pending.possibly_ran = True
        succeeded = code == io.Outcome.OK
        final = pending.done or succeeded or attempt.streaming or not retryable
        if final and not pending.done:
            self._answer(attempt, succeeded, answer)
        elif not pending.done:
            pending.attempt_discarded()
        self.counts[outcome] += 1
        server = attempt.server
        self.feed(
            io.AttemptEnded(pending.number, attempt.number, server, code, elapsed_ms, final, report, faulted)
        )

    def _answer(self, attempt: Attempt, succeeded: bool, answer: Any) -> None:
        """Close the request with the result of its attempt, and answer the client."""
        pending = attempt.pending
        end = RequestEnd.SERVED if succeeded else RequestEnd.FAILED
        self._close(pending, end)
        self.request_counters.count_end(end, pending.service_class)
        if attempt.streaming:
            pending.streamed(succeeded)
        elif succeeded:
            pending.served(answer)
        else:
            self.counts[RequestEnd.FAILED] += 1
            pending.failed()

    # ---- from the endpoint list

    def endpoint_list_update(
        self, kind: str, entries: tuple[io.Endpoint, ...] = (), starts: Mapping[str, float] = io.NO_STARTS
    ) -> None:
        """Pass an endpoint list, or changes of it, to the decision module.

        kind: one of io.ListUpdateKind. starts: start times of incarnations by server, in Unix milliseconds on
        the engine's clock.
        """
        self.feed(io.EndpointListUpdate(kind, entries, starts))

    # ---- overdue requests

    def _schedule_overdue_check(self, overdue: set[PendingRequest]) -> None:
        self.clock.call_later(
            OVERDUE_CHECK_S, self._check_overdue, self.clock.now() + OVERDUE_CHECK_S, overdue
        )

    def _check_overdue(self, expected_at: float, overdue_before: set[PendingRequest]) -> None:
        """Abandon overdue requests. This is the last resort if an attempt, timer or exception left one open.

        expected_at: when this check was scheduled for. overdue_before: the requests that the previous check
        found overdue. A request is abandoned if two successive checks find it overdue. If the event loop was
        held up between them, it must also be MAX_OVERDUE_S past its deadline: its own timers, and the
        callbacks that they schedule, shall first end it as the decision module decides. The loop's time
        stands still during a hold-up: the next check comes late or, if scheduled by that time, early.
        """
        now = self.clock.now()
        held_up = abs(now - expected_at) > HOLD_UP_THRESHOLD_S
        self.peaks.note_hold_up(now - expected_at)
        overdue = [
            pending for pending in self.pending_requests.values() if pending.deadline < now - OVERDUE_CHECK_S
        ]
        abandon_before = now - MAX_OVERDUE_S if held_up else now
        abandoned = [
            pending for pending in overdue if pending in overdue_before and pending.deadline < abandon_before
        ]
        if abandoned:
            self.clock.call_soon(self._abandon_overdue, abandoned)
        self._schedule_overdue_check(set(overdue))

    def _abandon_overdue(self, overdue: list[PendingRequest]) -> None:
        for pending in overdue:
            if not pending.done and (pending.attempt is None or not pending.attempt.streaming):
                self.log.line("overdue", f"request {pending.number} had no answer at its deadline")
                self._abandon(pending.number)
