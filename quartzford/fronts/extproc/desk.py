"""The desk: streams of calling proxies on one side, the engine on the other. No I/O, no gRPC.

A stream asks (for a new request, or with a token for the next attempt of one), is replied to, reports what
came back, is replied to, and ends. A request is one flight however many streams it takes and whichever worker
they reach. The table of states is in docs/extproc.md.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple, Protocol, cast

from quartzford.decision import interface as io
from quartzford.engine import Backend, Clock, Engine, Handle, PendingRequest
from quartzford.fronts.extproc.outcome import Result
from quartzford.fronts.extproc.token import Fault, Tokens

PROOF = ("full", "connect_failed", "moot")  # reports that prove that the attempt never ran
ENDED_AT_MOST = 65_536
SEND_S = 0.05  # of the client's time, set aside for the caller's way to the server
ENDED_S = 1.0  # an ended flight is remembered for so much longer than its client's time


class Ask(NamedTuple):
    """What a stream asks with. left_ms below 0: the class's own deadline."""

    identity: str
    service_class: str
    left_ms: float = -1.0
    tenant: str = ""
    key: str = ""
    work_ms: float = 0.0
    repeat: bool = False
    keyed: bool = False
    token: str = ""
    opens: bool = False  # takes the request and its token; each attempt has a stream of its own


class Told(NamedTuple):
    """Send it there, now; give the attempt up at `due`, and tell the server that it has until `tell_until`.

    Both are seconds on the machine's monotonic clock: who writes them down as spans reads the clock then.
    by: the end of the decision's validity, on the same clock: who has not written it by then gives it back
    (Desk.late). within_ms: the same for a caller on any clock, counted from its ask.
    """

    address: str
    token: str
    due: float
    tell_until: float
    within_ms: float
    by: float


class Opened(NamedTuple):
    """The request is taken; its attempts ask with the token."""

    token: str


class Refused(NamedTuple):
    """503, or 429 where the tenant is over its share. It did not run: asking again is harmless."""

    pause_ms: float
    over_quota: bool


class Failed(NamedTuple):
    """A status that promises nothing."""

    status: int


class Passed(NamedTuple):
    """The answer goes on to the client."""


class Again(NamedTuple):
    """The module would send it again: the caller is to ask for a further attempt.

    harmless: it surely has not run yet. A caller that can't go again leaves its client with 503 or 502.
    """

    harmless: bool


class Cut(NamedTuple):
    """The request's time is over while its attempt is out: end the stream with an error."""


Reply = Told | Opened | Refused | Failed | Passed | Again | Cut


class Remote(Protocol):
    """An attempt that the caller makes (backends/caller.py)."""

    number: int
    due: float

    @property
    def stands_until(self) -> float: ...

    @property
    def host(self) -> Address | None: ...

    def claim(self) -> bool: ...

    def reported(self, code: str, report: io.Report = (), faulted: bool = False) -> None: ...

    def lose(self) -> None: ...

    def lost(self) -> bool: ...

    def recall(self) -> None: ...

    def fail(self, code: str) -> None: ...


class Address(Protocol):
    @property
    def address(self) -> str: ...


class Stream:
    """One stream of a caller. reply is called once for each ask and report, and for a Cut."""

    __slots__ = ("reply", "flight", "attempt", "over", "asked")

    def __init__(self, reply: Callable[[Reply], None]) -> None:
        self.reply = reply
        self.flight: Flight | None = None
        self.attempt: Remote | None = None  # the attempt that this stream was told of
        self.over = False
        self.asked = 0.0  # when its last ask came

    def say(self, reply: Reply) -> None:
        if not self.over:
            self.reply(reply)


class Flight(PendingRequest):
    """A request, over all its streams. At most one stream is in each of the roles below."""

    __slots__ = (
        "desk",
        "identity",
        "token",
        "owed",
        "waiting",
        "holder",
        "following",
        "timer",
        "overlap",
        "may_have_run",
        "ran_before",
    )

    def __init__(self, desk: Desk, identity: str) -> None:
        super().__init__(desk.backend)
        self.desk = desk
        self.identity = self.label = identity
        self.token = ""
        self.owed: Stream | None = None  # has opened or reported, and is owed what becomes of the request
        self.waiting: Stream | None = None  # asks for the next attempt
        self.holder: Stream | None = None  # was told of the attempt that is out
        self.following: Stream | None = None  # asks while that attempt is out
        self.timer: Handle | None = None  # until the caller's next stream has to come
        self.overlap: Handle | None = None
        self.may_have_run = self.ran_before = False

    # ---- what the engine and the backend tell

    def decided(self, attempt: Remote) -> None:
        if self.waiting is not None:
            self._tell(attempt)

    def served(self, answer: object) -> None:
        self._end(Passed())

    def refused(self, pause_ms: float, over_quota: bool) -> None:
        self._end(Refused(pause_ms, over_quota))

    def failed(self) -> None:
        self._end(Failed(502))

    def aborted(self) -> None:
        self._end(Failed(500))

    def client_disconnected(self) -> None:
        self._end(Failed(502))

    def _end(self, reply: Reply) -> None:
        self._stop_timers()
        hearers = (self.owed, self.waiting)
        holder, following = self.holder, self.following
        self.owed = self.waiting = self.holder = self.following = None
        self.desk.ended(self, reply)
        for stream in hearers:
            if stream is not None:
                stream.say(reply)
        if holder is not None:
            holder.say(Cut())
        if following is not None:
            following.say(after(reply))

    # ---- what streams tell

    def resume(self, stream: Stream) -> None:
        """A stream asks for the next attempt, and none is out."""
        self._stop_timers()
        self.waiting, stream.flight = stream, self
        attempt = cast("Remote | None", self.attempt)
        if attempt is None:
            return  # the module holds the request: its word reaches this stream when it comes
        if self.may_have_run and attempt.lost():
            attempt.fail("cancelled")  # the caller goes on without it: now the module may, by its rules
        else:
            self._tell(attempt)

    def follow(self, stream: Stream) -> None:
        """A stream asks while an attempt is out: that one's end may still be on its way, so wait a little."""
        self.following, stream.flight = stream, self
        self.overlap = self.desk.clock.call_later(self.desk.overlap_s, self._overlapped)

    def report(self, stream: Stream, result: Result) -> None:
        attempt, stream.attempt = stream.attempt, None
        self.holder, self.owed = None, stream
        if result.code in PROOF:
            self.may_have_run = self.ran_before
        assert attempt is not None
        attempt.reported(result.code, result.report, result.faulted)
        if not self.done:
            self.owed = None
            stream.say(Again(not self.may_have_run))
            self._expect()

    def late(self, stream: Stream) -> None:
        """The decision was not written to its caller in time: nothing ran, and the module decides afresh."""
        attempt = self._untold(stream)
        self.waiting = stream
        attempt.fail("moot")

    def _untold(self, stream: Stream) -> Remote:
        """What the stream was told of never left us: it surely did not run."""
        attempt, stream.attempt, self.holder = stream.attempt, None, None
        assert attempt is not None
        self.may_have_run = self.ran_before
        attempt.recall()
        return attempt

    def drop(self, stream: Stream, unwritten: bool) -> None:
        if unwritten and stream is self.holder and stream.attempt is not None:
            self._untold(stream)
            self.waiting = stream
        if stream is self.waiting:  # its caller has given up with nothing out
            self.waiting = None
            self.desk.engine.client_disconnected(self)
        elif stream is self.following:
            self.following = None
            self._stop_overlap()
        elif stream is self.holder:
            self.holder = None
            if stream.attempt is not None:
                stream.attempt.lose()
            self._expect()

    def opened(self, stream: Stream) -> None:
        self.owed = None
        stream.say(Opened(self.token))
        self._expect()

    def _expect(self) -> None:
        """The caller's next stream has to come in time, or the client is held to have left."""
        following, self.following = self.following, None
        self._stop_timers()
        if following is not None:
            return self.resume(following)
        self.timer = self.desk.clock.call_later(
            self.desk.return_s, self.desk.engine.client_disconnected, self
        )

    def _tell(self, attempt: Remote) -> None:
        stream = self.waiting
        assert stream is not None
        if not attempt.claim():
            return  # the module has been asked again: its next word reaches this stream
        assert attempt.host is not None
        self.ran_before, self.may_have_run = self.may_have_run, True
        self.waiting, self.holder, stream.attempt = None, stream, attempt
        left = self.deadline - self.desk.clock.now()
        tell_until = min(attempt.due, self.deadline - min(SEND_S, left / 2))
        by = attempt.stands_until
        within_ms = (by - stream.asked) * 1000.0
        stream.say(Told(attempt.host.address, self.token, attempt.due, tell_until, within_ms, by))

    def _overlapped(self) -> None:
        stream, self.following, self.overlap = self.following, None, None
        if stream is not None:
            self.desk.engine.counts["overlapping"] += 1
            stream.flight = None
            stream.say(Failed(409))

    def _stop_timers(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self._stop_overlap()

    def _stop_overlap(self) -> None:
        if self.overlap is not None:
            self.overlap.cancel()
            self.overlap = None


def after(reply: Reply) -> Reply:
    """What a stream hears that asks for more of a request that ended so."""
    return reply if isinstance(reply, Refused | Failed) else Failed(502)


class Ended(NamedTuple):
    """What is remembered of a flight that has ended, until the client's time is over."""

    number: int
    until: float
    reply: Reply
    harmless: bool  # it surely did not run


class Desk:
    """All flights of one decider.

    return_s: for how long a flight waits for the caller's next stream; overlap_s: for how long a stream waits
    that asks while an attempt of its request is out; most: flights at once; queue_s: for how long a new
    request may have waited before it reaches the desk.
    """

    def __init__(
        self,
        engine: Engine,
        backend: Backend,
        clock: Clock,
        tokens: Tokens,
        return_s: float,
        overlap_s: float,
        most: int,
        queue_s: float = 0.1,
    ) -> None:
        self.engine, self.backend, self.clock, self.tokens = engine, backend, clock, tokens
        self.return_s, self.overlap_s, self.most, self.queue_s = return_s, overlap_s, most, queue_s
        self.flights: dict[int, Flight] = {}
        self.by_identity: dict[str, Flight] = {}
        self.past: OrderedDict[str, Ended] = OrderedDict()  # by correlation id, oldest end first

    def ask(self, stream: Stream, ask: Ask, at: float = math.inf) -> None:
        """A request's headers came at this moment (or now); one reply follows, unless the stream ends."""
        stream.asked = at = min(at, self.clock.now())
        if ask.token and ask.opens:
            # Only a client can have written it: whoever opens a request has no token yet.
            self.engine.counts["token forged"] += 1
            return stream.say(Failed(400))
        if ask.token:
            return self._next_attempt(stream, ask)
        past = self.past.get(ask.identity)
        if ask.identity in self.by_identity or (past is not None and not past.harmless):
            # The caller's own copy of a request that is out or may have run: neither beside it nor again.
            self.engine.counts["same id"] += 1
            return stream.say(Failed(409))
        waited = self.clock.now() - at
        if len(self.flights) >= self.most or waited > self.queue_s:
            # No room here: neither the fleet nor the module is asked, and nothing has run.
            self.engine.counts["no room" if waited <= self.queue_s else "waited too long"] += 1
            return stream.say(Refused(self._pause_ms(ask), False))
        self._take(stream, ask, waited)

    def _pause_ms(self, ask: Ask) -> float:
        """When a request that found no room may come back, as the module would have it."""
        limits, kind = self.engine.settings.limits, self.engine.classes.get(ask.service_class)
        aim = kind.latency_objective_ms if kind is not None else self.engine.longest_ms
        return min(limits.max_retry_after_ms, aim / 4) if limits.retry_after else 0.0

    def report(self, stream: Stream, result: Result) -> None:
        """An answer's headers have come; exactly one reply follows, at once."""
        if stream.flight is None or stream.attempt is None:
            stream.say(Passed())  # of an attempt that no stream was told of: nothing to learn from it
        else:
            stream.flight.report(stream, result)

    def late(self, stream: Stream) -> None:
        """Told came to whoever writes it after its `by`: it was not written. Another reply follows."""
        flight = stream.flight
        if flight is not None and not flight.done and stream.attempt is not None:
            self.engine.counts["written too late"] += 1
            flight.late(stream)

    def drop(self, stream: Stream, unwritten: bool = False) -> None:
        """The stream has ended, in whatever way; nothing more is said to it.

        unwritten: no reply to its last ask had been written, nor will be.
        """
        stream.over = True
        flight, stream.flight = stream.flight, None
        if flight is not None and not flight.done:
            flight.drop(stream, unwritten)

    def ended(self, flight: Flight, reply: Reply) -> None:
        """A flight has ended: its client's copies are known for what they are until their time is over."""
        now = self.clock.now()
        self.flights.pop(flight.number, None)
        self.by_identity.pop(flight.identity, None)
        until = flight.deadline + ENDED_S
        self.past[flight.identity] = Ended(flight.number, until, reply, not flight.may_have_run)
        self.past.move_to_end(flight.identity)
        while self.past:
            oldest = next(iter(self.past.values()))
            if oldest.until > now and len(self.past) <= ENDED_AT_MOST:
                break
            self.past.popitem(last=False)

    def _take(self, stream: Stream, ask: Ask, waited: float) -> None:
        kind = self.engine.classes.get(ask.service_class)
        left = ask.left_ms
        if left < 0:
            left = kind.deadline_ms if kind is not None else self.engine.longest_ms
        left = max(0.0, left - waited * 1000.0)
        flight = Flight(self, ask.identity)
        flight.number = number = self.engine.next_number()
        flight.deadline = self.clock.now() + left / 1000.0
        flight.token = self.tokens.make(number, ask.identity, self.clock.unix_ms() + left)
        self.flights[number] = self.by_identity[ask.identity] = flight
        if ask.opens:
            flight.owed = stream
        else:
            flight.waiting, stream.flight = stream, flight
        name, tenant = ask.service_class, ask.tenant
        self.engine.request_arrived(
            flight, io.Request(number, name, left, tenant, ask.key, ask.work_ms, ask.repeat, ask.keyed)
        )
        if ask.opens and not flight.done:
            flight.opened(stream)

    def _next_attempt(self, stream: Stream, ask: Ask) -> None:
        number = self.tokens.read(ask.token, ask.identity, self.clock.unix_ms())
        if isinstance(number, Fault):
            # Never taken for a new request: what the token stood for may have run.
            self.engine.counts[f"token {number.value}"] += 1
            return stream.say(Failed(400 if number is Fault.FORGED else 502))
        flight = self.flights.get(number)
        if flight is None:
            past = self.past.get(ask.identity)
            known = past is not None and past.number == number
            return stream.say(after(past.reply) if past is not None and known else Failed(502))
        if flight.waiting is not None or flight.following is not None:
            self.engine.counts["overlapping"] += 1
            return stream.say(Failed(409))
        if flight.holder is not None:
            flight.follow(stream)
        else:
            flight.resume(stream)
