"""Turns what fronts, backends and the endpoint list report into events, and carries out the actions.

It owns the pending requests, their attempts and deadlines, and the guard that ends what is overdue. Clock and
seed are handed in; it knows no protocol and no socket. Its own times are seconds on the clock handed in.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer
from quartzford.engine.clock import Clock
from quartzford.engine.log import Log
from quartzford.engine.pending_request import Attempt, PendingRequest
from quartzford.engine.request_counters import RequestCounters, RequestEnd

OVERDUE_S = 0.02  # past its deadline a request is ended whatever has become of its attempt or timer
HELD_UP_S = 0.01  # a timer off by so much found the loop held up
# Past its deadline a request is ended even where the loop is held up all the time: with a hold-up of 0.15 s
# behind it, its answer still comes within half a second.
MAX_OVERDUE_S = 0.25
MIN_SPENT_MS = 0.01  # an attempt takes this long at the least
NO_REQUEST = -1
REQUEST_NUMBERS = 2**32


class RequestRecorder(Protocol):
    """Records the requests that arrive."""

    def record(self, request: io.Request, size: int) -> None:
        """A request has arrived; size: of its body, in bytes."""


class AttemptObserver(Protocol):
    """Observes attempts and the ends of requests, for metrics."""

    def attempt_starting(self, send: io.Send, pending: PendingRequest) -> None:
        """An attempt is about to be made."""

    def attempt_ended(self, attempt: Attempt, code: str) -> None:
        """An attempt has ended; code: its outcome, and how far it had come."""

    def request_ended(self, pending: PendingRequest, how: str) -> None:
        """A request has ended."""


class Engine:
    """Drives one decision module."""

    def __init__(self, settings: io.Settings, seed: int, clock: Clock, log: Log) -> None:
        self.clock = clock
        self.log = log
        self.balancer = Balancer(settings, seed)
        self.pending_requests: dict[int, PendingRequest] = {}
        self.counts: Counter[str] = Counter()  # outcomes and answers
        self.request_counters = RequestCounters()
        self.recorder: RequestRecorder | None = None
        self.observer: AttemptObserver | None = None
        self.poll_list: Callable[[], None] = lambda: None  # polls the list, when the module says so
        self._number = 0
        self._adopt(settings)

    def _adopt(self, settings: io.Settings) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.request_counters.classes = self.classes
        self.max_deadline_ms = max(c.deadline_ms for c in settings.classes)

    def reconfigure(self, settings: io.Settings) -> None:
        """New settings, under load: what is in flight goes on, what was learnt stays."""
        self._adopt(settings)
        self.balancer.configure(settings)

    def hand_over(self) -> io.LearnedState:
        """What a successor is to know; this one only ends what it has from now on."""
        return self.balancer.hand_over(self.clock.unix_ms())

    def cancel_handover(self) -> None:
        """The successor has died: this one sends again to servers in slow start."""
        self.balancer.cancel_handover(self.clock.unix_ms())

    def inherit(self, state: io.LearnedState) -> None:
        """Take what the predecessor knew, after an update of the endpoint list."""
        self.balancer.inherit(self.clock.unix_ms(), state)

    def start(self) -> None:
        """Begin to guard deadlines."""
        self._look_for_overdue(set())

    # ---- the module

    def feed(self, event: io.Event) -> None:
        """Hand the module an event, and carry out its actions.

        An exception in the module or in an action is logged, and ends the one request that it concerns.
        """
        try:
            actions = self.balancer.handle(self.clock.unix_ms(), event)
        except Exception:
            self.log.exception("module")
            return self._abandon(getattr(event, "request", NO_REQUEST))
        for action in actions:
            try:
                self._act(action)
            except Exception:
                self.log.exception("action")
                self._abandon(getattr(action, "request", NO_REQUEST))

    def _abandon(self, number: int) -> None:
        """End the one request that an exception concerned, if any."""
        pending = self.pending_requests.get(number)
        if pending is not None:
            attempt = pending.attempt
            self._close(pending, RequestEnd.ABANDONED)
            self.request_counters.end(RequestEnd.FAILED, pending.service_class)
            self.balancer.pending_requests.pop(pending.number, None)
            if attempt is not None:
                attempt.fail(io.Outcome.CANCELLED)
            pending.aborted()

    def _act(self, action: io.Action) -> None:
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
                self.log.line("module", f"probe of {server} asked for, but this balancer sends none")

    def _send(self, pending: PendingRequest, send: io.Send) -> None:
        now = self.clock.now()
        time_out = now + (send.time_out_ms / 1000.0 if send.time_out_ms else math.inf)
        due = min(pending.deadline, time_out)
        finish = min(pending.deadline, max(due, now + send.response_deadline_ms / 1000.0))
        if self.observer is not None:
            self.observer.attempt_starting(send, pending)
        attempt = pending.backend.attempt(pending, pending.sends, send.server, now, due, finish)
        pending.sends += 1
        pending.attempt = attempt
        attempt.start()

    def _finish(self, request: int, how: RequestEnd) -> PendingRequest:
        """The module has given a request its final answer."""
        pending = self.pending_requests[request]
        self.counts[how] += 1
        self.request_counters.end(how, pending.service_class)
        self._close(pending, how)
        return pending

    def _close(self, pending: PendingRequest, how: RequestEnd) -> None:
        if self.observer is not None:
            self.observer.request_ended(pending, how)
        self.pending_requests.pop(pending.number, None)
        pending.done = True
        pending.attempt = None

    # ---- from fronts

    def next_number(self) -> int:
        """A number that no pending request has."""
        self._number = (self._number + 1) % REQUEST_NUMBERS
        while self._number in self.pending_requests:
            self._number = (self._number + 1) % REQUEST_NUMBERS
        return self._number

    def request_arrived(self, pending: PendingRequest, request: io.Request, size: int = 0) -> None:
        """A complete request has come, and needs its one answer; size: of its body, in bytes."""
        self.pending_requests[pending.number] = pending
        pending.service_class = request.service_class
        if self.recorder is not None:
            self.recorder.record(request, size)
        self.feed(request)

    def client_disconnected(self, pending: PendingRequest) -> None:
        """The client has left: no answer is needed, and no further attempt is made."""
        if pending.done:
            return
        attempt = pending.attempt
        self.counts[RequestEnd.CLIENT_GONE] += 1
        self._close(pending, RequestEnd.CLIENT_GONE)
        pending.client_disconnected()
        self.feed(io.ClientDisconnected(pending.number))
        if attempt is not None:
            attempt.fail(io.Outcome.CANCELLED)

    def shut_down(self) -> None:
        """The process ends now: no pending request waits any longer for an attempt."""
        attempts = [
            pending.attempt for pending in self.pending_requests.values() if pending.attempt is not None
        ]
        self.feed(io.ShutdownStarted())
        for attempt in attempts:
            if not attempt.over:
                attempt.fail(io.Outcome.CANCELLED)

    # ---- from attempts

    def may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt may still begin; of its server's connections, the backend knows."""
        return self.may_write_for(attempt) > 0.0

    def may_write_for(self, attempt: Attempt) -> float:
        """Seconds for which its request may be written, to the last byte; 0: not at all."""
        if attempt.pending.done or self.clock.now() >= attempt.timeout_at:
            return 0.0
        return self.balancer.write_window_ms(self.clock.unix_ms(), attempt.pending.number) / 1000.0

    def started(self, attempt: Attempt) -> None:
        """The attempt's response is being passed on from now: it can't be taken back."""
        attempt.streaming = True
        number = attempt.pending.number
        self.feed(io.ResponseStarted(number, attempt.number, attempt.server, self._spent_ms(attempt)))

    def _spent_ms(self, attempt: Attempt) -> float:
        return max(MIN_SPENT_MS, (self.clock.now() - attempt.chosen_at) * 1000.0)

    def ended(
        self,
        attempt: Attempt,
        code: str,
        answer: Any = None,
        report: io.Report = (),
        faulted: bool = False,
        stage: str = "",
        retryable: bool = True,
    ) -> None:
        """An attempt has ended.

        code: one of io.Outcome. answer: a complete one, for the front. report: the server's load report.
        faulted: the server puts its error down to the request itself. stage: how far the attempt had come,
        for counts. Not retryable: the request ends with it, as it could not be sent again.
        """
        pending = attempt.pending
        spent = self._spent_ms(attempt)
        outcome = f"{code} {stage}".rstrip()
        if self.observer is not None:
            self.observer.attempt_ended(attempt, outcome)
        if pending.attempt is attempt:
            pending.attempt = None
        succeeded = code == io.Outcome.OK
        final = pending.done or succeeded or attempt.streaming or not retryable
        if final and not pending.done:
            self._answer(attempt, succeeded, answer)
        elif not pending.done:
            pending.attempt_discarded()
        self.counts[outcome] += 1
        server = attempt.server
        self.feed(
            io.AttemptEnded(pending.number, attempt.number, server, code, spent, final, report, faulted)
        )

    def _answer(self, attempt: Attempt, succeeded: bool, answer: Any) -> None:
        """The request's final answer is that of its attempt."""
        pending = attempt.pending
        how = RequestEnd.SERVED if succeeded else RequestEnd.FAILED
        self._close(pending, how)
        self.request_counters.end(how, pending.service_class)
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
        """The list, or its changes; kind: one of io.ListUpdateKind.

        starts: of incarnations, by server, in ms on the engine's clock.
        """
        self.feed(io.EndpointListUpdate(kind, entries, starts))

    # ---- no request lost

    def _look_for_overdue(self, overdue: set[PendingRequest]) -> None:
        self.clock.call_later(OVERDUE_S, self._end_overdue, self.clock.now() + OVERDUE_S, overdue)

    def _end_overdue(self, expected: float, overdue_before: set[PendingRequest]) -> None:
        """The last resort: no attempt, timer or exception keeps a request past its deadline.

        expected: when this look was to come. overdue_before: what was overdue at the last one. A request has
        to be overdue at two, with a loop in between that was not held up: after a hold-up its own timers, and
        what they set off in later turns, end it as the module decides. The loop's time stands still during a
        hold-up: the next look comes late or, set by that time, early.
        """
        now = self.clock.now()
        held_up = abs(now - expected) > HELD_UP_S
        overdue = [
            pending for pending in self.pending_requests.values() if pending.deadline < now - OVERDUE_S
        ]
        lost_by = now - MAX_OVERDUE_S if held_up else now
        lost = [pending for pending in overdue if pending in overdue_before and pending.deadline < lost_by]
        if lost:
            self.clock.call_soon(self._abandon_overdue, lost)
        self._look_for_overdue(set(overdue))

    def _abandon_overdue(self, overdue: list[PendingRequest]) -> None:
        for pending in overdue:
            if not pending.done and (pending.attempt is None or not pending.attempt.streaming):
                self.log.line("overdue", f"request {pending.number} had no answer when its time was up")
                self._abandon(pending.number)
