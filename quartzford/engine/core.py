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
from quartzford.engine.figures import Figures
from quartzford.engine.flight import Attempt, Call
from quartzford.engine.log import Log

OVERDUE_S = 0.02  # past its time a request is ended whatever has become of its attempt or timer
NUMBERS = 2**32


class Recorder(Protocol):
    """Who is told of what is asked."""

    def record(self, request: io.Request, size: int) -> None: ...


class Sends(Protocol):
    """Who counts attempts, and follows requests."""

    def sent(self, send: io.Send, call: Call) -> None: ...

    def ended(self, attempt: Attempt, code: str) -> None: ...

    def closed(self, call: Call, how: str) -> None: ...


class Engine:
    """Drives one decision module."""

    def __init__(self, settings: io.Settings, seed: int, clock: Clock, log: Log) -> None:
        self.clock, self.log = clock, log
        self.balancer = Balancer(settings, seed)
        self.calls: dict[int, Call] = {}
        self.counts: Counter[str] = Counter()  # outcomes and answers
        self.figures = Figures()
        self.recorder: Recorder | None = None  # hears of each request taken
        self.counting: Sends | None = None
        self.watch: Callable[[], None] = lambda: None  # asks for the list, where the module says when
        self._number = 0
        self._adopt(settings)

    def _adopt(self, settings: io.Settings) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.figures.classes = self.classes
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
            self.log.trouble("module")
            return self._abandon(getattr(event, "request", -1))
        for action in actions:
            try:
                self._act(action)
            except Exception:
                self.log.trouble("action")
                self._abandon(getattr(action, "request", -1))

    def _abandon(self, number: int) -> None:
        """End the one request that an exception concerned, if any."""
        call = self.calls.get(number)
        if call is not None:
            attempt = call.attempt
            self._close(call, "abandoned")
            self.figures.end("failed", call.kind)
            self.balancer.pending_requests.pop(call.number, None)
            if attempt is not None:
                attempt.fail("cancelled")
            call.broken()

    def _act(self, action: io.Action) -> None:
        match action:
            case io.Send():
                self._send(self.calls[action.request], action)
            case io.Shed(request, pause, over_quota):
                call = self._finish(request, "refused")
                call.refused(pause, over_quota)
            case io.Fail(request):
                self._finish(request, "failed").failed()
            case io.SetTimer(after, token):
                self.clock.call_later(max(0.0, after) / 1000.0, self.feed, io.Timer(token))
            case io.Watch():
                self.watch()
            case io.Cancel(request, number):
                attempt = self.calls[request].attempt
                if attempt is not None and attempt.number == number and not attempt.streaming:
                    attempt.fail("cancelled")
            case io.Log(text):
                self.log.line("module", text)
            case io.HealthCheck(server):
                self.log.line("module", f"probe of {server} asked for, but this balancer sends none")

    def _send(self, call: Call, send: io.Send) -> None:
        now = self.clock.now()
        time_out = now + (send.time_out_ms / 1000.0 if send.time_out_ms else math.inf)
        due = min(call.deadline, time_out)
        finish = min(call.deadline, max(due, now + send.finish_ms / 1000.0))
        if self.counting is not None:
            self.counting.sent(send, call)
        attempt = call.backend.attempt(call, call.sends, send.server, now, due, finish)
        call.sends += 1
        call.attempt = attempt
        attempt.start()

    def _finish(self, request: int, how: str) -> Call:
        call = self.calls[request]
        self.counts[how] += 1
        self.figures.end(how, call.kind)
        self._close(call, how)
        return call

    def _close(self, call: Call, how: str) -> None:
        if self.counting is not None:
            self.counting.closed(call, how)
        self.calls.pop(call.number, None)
        call.done = True
        call.attempt = None

    # ---- what fronts tell

    def next_number(self) -> int:
        """A number that no open request has."""
        self._number = (self._number + 1) % NUMBERS
        while self._number in self.calls:
            self._number = (self._number + 1) % NUMBERS
        return self._number

    def arrived(self, call: Call, request: io.Request, size: int = 0) -> None:
        """A whole request has come, and is owed its one answer; size: of its body, in bytes."""
        self.calls[call.number] = call
        call.kind = request.service_class
        if self.recorder is not None:
            self.recorder.record(request, size)
        self.feed(request)

    def gone(self, call: Call) -> None:
        """The client has left: nothing is owed, and no further attempt is made."""
        if call.done:
            return
        attempt = call.attempt
        self.counts["client gone"] += 1
        self._close(call, "client gone")
        call.left()
        self.feed(io.ClientDisconnected(call.number))
        if attempt is not None:
            attempt.fail("cancelled")

    def end_all(self) -> None:
        """The process ends now: nothing that is owed an answer waits any longer for an attempt."""
        attempts = [call.attempt for call in self.calls.values() if call.attempt is not None]
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
        if attempt.call.done or self.clock.now() >= attempt.due:
            return 0.0
        return self.balancer.may_write_for(self.clock.unix_ms(), attempt.call.number) / 1000.0

    def started(self, attempt: Attempt) -> None:
        """The attempt's answer is being passed on from now: it can't be taken back."""
        attempt.streaming = True
        spent = max(0.01, (self.clock.now() - attempt.sent) * 1000.0)
        self.feed(io.ResponseStarted(attempt.call.number, attempt.number, attempt.server, spent))

    def ended(
        self,
        attempt: Attempt,
        code: str,
        answer: Any = None,
        report: io.Report = (),
        faulted: bool = False,
        stage: str = "",
        owed: bool = True,
    ) -> None:
        """An attempt has ended. Not owed: the call ends with it, for nobody could send it again."""
        call = attempt.call
        spent = max(0.01, (self.clock.now() - attempt.sent) * 1000.0)
        if self.counting is not None:
            self.counting.ended(attempt, f"{code} {stage}".rstrip())
        if call.attempt is attempt:
            call.attempt = None
        final = call.done or code == "ok" or attempt.streaming or not owed
        if final and not call.done:
            self._close(call, "served" if code == "ok" else "failed")
            self.figures.end("served" if code == "ok" else "failed", call.kind)
            if attempt.streaming:
                call.streamed(code == "ok")
            elif code == "ok":
                call.served(answer)
            else:
                self.counts["failed"] += 1
                call.failed()
        elif not call.done:
            call.retried()
        self.counts[f"{code} {stage}".rstrip()] += 1
        name, number = attempt.server, attempt.number
        self.feed(io.AttemptEnded(call.number, number, name, code, spent, final, report, faulted))

    # ---- what the list tells

    def listed(
        self, how: str, entries: tuple[io.Endpoint, ...] = (), starts: Mapping[str, float] = io.NO_STARTS
    ) -> None:
        """The list, or its changes. starts: of incarnations, by server, in ms on the engine's clock."""
        self.feed(io.EndpointListUpdate(how, entries, starts))

    # ---- rule one

    def _end_overdue(self) -> None:
        """The last resort: no attempt, timer or exception keeps a request past its time."""
        before = self.clock.now() - OVERDUE_S
        late = [call for call in self.calls.values() if call.deadline < before]
        if late:
            # After a long turn their own timers are due in this one too, and end them as the module decides.
            self.clock.call_soon(self._end_late, late)
        self.clock.call_later(OVERDUE_S, self._end_overdue)

    def _end_late(self, late: list[Call]) -> None:
        for call in late:
            if not call.done and (call.attempt is None or not call.attempt.streaming):
                self.log.line("overdue", f"request {call.number} had no answer when its time was up")
                self._abandon(call.number)
