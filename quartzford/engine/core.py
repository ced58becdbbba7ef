"""Turns what fronts, backends and the list tell into the module's events, and carries out its actions.

It owns the requests that are owed an answer, their attempts and deadlines, and the guard that ends what is
overdue. Clock and seed are handed in; it knows no protocol and no socket.
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
from quartzford.engine.request_counters import RequestCounters

OVERDUE_S = 0.02  # past its time a request is ended whatever has become of its attempt or timer
REQUEST_NUMBERS = 2**32


class RequestRecorder(Protocol):
    """Who is told of what is asked."""

    def record(self, request: io.Request, size: int) -> None: ...


class AttemptObserver(Protocol):
    """Who counts attempts, and follows requests."""

    def sent(self, send: io.Send, pending: PendingRequest) -> None: ...

    def ended(self, attempt: Attempt, code: str) -> None: ...

    def closed(self, pending: PendingRequest, how: str) -> None: ...


class Engine:
    """Drives one decision module."""

    def __init__(self, settings: io.Settings, seed: int, clock: Clock, log: Log) -> None:
        self.clock, self.log = clock, log
        self.balancer = Balancer(settings, seed)
        self.pending_requests: dict[int, PendingRequest] = {}
        self.counts: Counter[str] = Counter()  # outcomes and answers
        self.request_counters = RequestCounters()
        self.recorder: RequestRecorder | None = None  # hears of each request taken
        self.observer: AttemptObserver | None = None
        self.watch: Callable[[], None] = lambda: None  # asks for the list, where the module says when
        self._number = 0
        self._adopt(settings)

    def _adopt(self, settings: io.Settings) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.request_counters.classes = self.classes
        self.longest_ms = max(c.deadline_ms for c in settings.classes)

    def reconfigure(self, settings: io.Settings) -> None:
        """New settings, under load: what is in flight goes on, what was learnt stays."""
        self._adopt(settings)
        self.balancer.configure(settings)

    def hand_over(self) -> io.LearnedState:
        """What a successor is to know; this one only ends what it has from now on."""
        return self.balancer.hand_over(self.clock.unix_ms())

    def take_back(self) -> None:
        self.balancer.take_back(self.clock.unix_ms())

    def inherit(self, memory: io.LearnedState) -> None:
        self.balancer.inherit(self.clock.unix_ms(), memory)

    def start(self) -> None:
        self.clock.call_later(OVERDUE_S, self._end_overdue)

    # ---- the module

    def feed(self, event: io.Event) -> None:
        try:
            actions = self.balancer.handle(self.clock.unix_ms(), event)
        except Exception:
            self.log.exception("module")
            return self._abandon(getattr(event, "request", -1))
        for action in actions:
            try:
                self._act(action)
            except Exception:
                self.log.exception("action")
                self._abandon(getattr(action, "request", -1))

    def _abandon(self, number: int) -> None:
        """End the one request that an exception concerned, if any."""
        pending = self.pending_requests.get(number)
        if pending is not None:
            attempt = pending.attempt
            self._close(pending, "abandoned")
            self.request_counters.end("failed", pending.kind)
            self.balancer.pending_requests.pop(pending.number, None)
            if attempt is not None:
                attempt.fail("cancelled")
            pending.aborted()

    def _act(self, action: io.Action) -> None:
        match action:
            case io.Send():
                self._send(self.pending_requests[action.request], action)
            case io.Shed(request, pause, over_quota):
                pending = self._finish(request, "refused")
                pending.refused(pause, over_quota)
            case io.Fail(request):
                self._finish(request, "failed").failed()
            case io.SetTimer(after, token):
                self.clock.call_later(max(0.0, after) / 1000.0, self.feed, io.Timer(token))
            case io.Watch():
                self.watch()
            case io.Cancel(request, number):
                attempt = self.pending_requests[request].attempt
                if attempt is not None and attempt.number == number and not attempt.streaming:
                    attempt.fail("cancelled")
            case io.Log(text):
                self.log.line("module", text)
            case io.HealthCheck(server):
                self.log.line("module", f"probe of {server} asked for, but this balancer sends none")

    def _send(self, pending: PendingRequest, send: io.Send) -> None:
        now = self.clock.now()
        time_out = now + (send.time_out_ms / 1000.0 if send.time_out_ms else math.inf)
        due = min(pending.deadline, time_out)
        finish = min(pending.deadline, max(due, now + send.finish_ms / 1000.0))
        if self.observer is not None:
            self.observer.sent(send, pending)
        attempt = pending.backend.attempt(pending, pending.sends, send.server, now, due, finish)
        pending.sends += 1
        pending.attempt = attempt
        attempt.start()

    def _finish(self, request: int, how: str) -> PendingRequest:
        pending = self.pending_requests[request]
        self.counts[how] += 1
        self.request_counters.end(how, pending.kind)
        self._close(pending, how)
        return pending

    def _close(self, pending: PendingRequest, how: str) -> None:
        if self.observer is not None:
            self.observer.closed(pending, how)
        self.pending_requests.pop(pending.number, None)
        pending.done = True
        pending.attempt = None

    # ---- what fronts tell

    def next_number(self) -> int:
        """A number that no open request has."""
        self._number = (self._number + 1) % REQUEST_NUMBERS
        while self._number in self.pending_requests:
            self._number = (self._number + 1) % REQUEST_NUMBERS
        return self._number

    def request_arrived(self, pending: PendingRequest, request: io.Request, size: int = 0) -> None:
        """A whole request has come, and is owed its one answer; size: of its body, in bytes."""
        self.pending_requests[pending.number] = pending
        pending.kind = request.service_class
        if self.recorder is not None:
            self.recorder.record(request, size)
        self.feed(request)

    def client_disconnected(self, pending: PendingRequest) -> None:
        """The client has left: nothing is owed, and no further attempt is made."""
        if pending.done:
            return
        attempt = pending.attempt
        self.counts["client gone"] += 1
        self._close(pending, "client gone")
        pending.client_disconnected()
        self.feed(io.ClientDisconnected(pending.number))
        if attempt is not None:
            attempt.fail("cancelled")

    def shut_down(self) -> None:
        """The process ends now: nothing that is owed an answer waits any longer for an attempt."""
        attempts = [
            pending.attempt for pending in self.pending_requests.values() if pending.attempt is not None
        ]
        self.feed(io.ShutdownStarted())
        for attempt in attempts:
            if not attempt.over:
                attempt.fail("cancelled")

    # ---- what attempts tell

    def may_begin(self, attempt: Attempt) -> bool:
        """The decision behind an attempt not begun still holds; of its server, the backend knows."""
        return self.may_write_for(attempt) > 0.0

    def may_write_for(self, attempt: Attempt) -> float:
        """Seconds for which it holds, up to the request's last byte; 0 if it doesn't any more."""
        if attempt.pending.done or self.clock.now() >= attempt.due:
            return 0.0
        return self.balancer.may_write_for(self.clock.unix_ms(), attempt.pending.number) / 1000.0

    def started(self, attempt: Attempt) -> None:
        """The attempt's answer is being passed on from now: it can't be taken back."""
        attempt.streaming = True
        spent = max(0.01, (self.clock.now() - attempt.sent) * 1000.0)
        self.feed(io.ResponseStarted(attempt.pending.number, attempt.number, attempt.server, spent))

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
        """An attempt has ended. Not owed: the call ends with it, for nobody could send it again."""
        pending = attempt.pending
        spent = max(0.01, (self.clock.now() - attempt.sent) * 1000.0)
        if self.observer is not None:
            self.observer.ended(attempt, f"{code} {stage}".rstrip())
        if pending.attempt is attempt:
            pending.attempt = None
        final = pending.done or code == "ok" or attempt.streaming or not retryable
        if final and not pending.done:
            self._close(pending, "served" if code == "ok" else "failed")
            self.request_counters.end("served" if code == "ok" else "failed", pending.kind)
            if attempt.streaming:
                pending.streamed(code == "ok")
            elif code == "ok":
                pending.served(answer)
            else:
                self.counts["failed"] += 1
                pending.failed()
        elif not pending.done:
            pending.attempt_discarded()
        self.counts[f"{code} {stage}".rstrip()] += 1
        name, number = attempt.server, attempt.number
        self.feed(io.AttemptEnded(pending.number, number, name, code, spent, final, report, faulted))

    # ---- what the list tells

    def endpoint_list_update(
        self, how: str, entries: tuple[io.Endpoint, ...] = (), starts: Mapping[str, float] = io.NO_STARTS
    ) -> None:
        """The list, or its changes. starts: of incarnations, by server, in ms on the engine's clock."""
        self.feed(io.EndpointListUpdate(how, entries, starts))

    # ---- rule one

    def _end_overdue(self) -> None:
        """The last resort: no attempt, timer or exception keeps a request past its time."""
        before = self.clock.now() - OVERDUE_S
        overdue = [pending for pending in self.pending_requests.values() if pending.deadline < before]
        if overdue:
            # After a long turn their own timers are due in this one too, and end them as the module decides.
            self.clock.call_soon(self._end_late, overdue)
        self.clock.call_later(OVERDUE_S, self._end_overdue)

    def _end_late(self, overdue: list[PendingRequest]) -> None:
        for pending in overdue:
            if not pending.done and (pending.attempt is None or not pending.attempt.streaming):
                self.log.line("overdue", f"request {pending.number} had no answer when its time was up")
                self._abandon(pending.number)
