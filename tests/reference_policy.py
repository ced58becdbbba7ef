"""The policy as it was before its cost was cut: the reference of tests/test_sameness.py and bench.decisions.

Every decision of the balancer. Its settings, events and actions are in quartzford/decision/interface.py.

The ordinary path is the CA-S automaton: a probability P per ready server, moved by Eq. 8 on the smoothed,
normalised cost (Eq. 6, 7); every send is a draw from P over the eligible servers. See README.md.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from quartzford.decision import interface as io

# Automaton
STEP = 0.5  # a = b of Eq. 8 times the ready servers: an answer moves its server's share by at most about half
STEP_MAX = 0.078  # a = b at most; the paper's testbed
SWEEP = 0.1
MEMORY = 1.0  # alpha of Eq. 6 times the ready servers, so that a server's own few answers are averaged
ZONE_COST = 50.0
REPORT_COST = 1.0  # usual latencies for a reported load of the fleet's mean
LOADS = ("depth", "concurrent", "load_share")
K, DELTA = 0.5, 1.0
FLOOR = 0.6
CEILING = 3.0  # costs above this multiple of the mean count as the largest
P_RW = 0.02
FAIL_MEMORY_MS = 10_000.0  # a failure scores twice the largest latency of this span
# Eligibility
FAIL_WEIGHT = 0.4
EJECT_ABOVE = 0.35  # failing share that ejects, above what the whole fleet fails
EJECT_MS = 1_000.0  # first ejection; doubles while the server goes on failing
EJECT_MAX_MS = 8_000.0
EJECT_AT_MOST = 0.67  # of the ready servers, so that ejection never empties the fleet
SUSPECT = 4.0  # an attempt out for this multiple of its class's usual latency makes its server suspect
SPARE, RATE_MS = 0.5, 4_000.0
RETRY_SHARE = 0.1
HOLD_MS = 25.0  # a request with no eligible server is looked at again after this
MARGIN_MS = 3.0  # an answer needs this long to reach the client
PATIENCE, LEAST = 4.0, 0.025  # waits for PATIENCE usual latencies, each LEAST of the aim, if it may go again
# Admission
LATE_FROM = 0.9  # share of the aim from which an attempt counts as late
LATE_TARGET = 0.4  # share of late attempts that is borne if what would be refused is worth the average
SHED_GAIN = 1.0  # change of the shed share a second, per share of late ends off target
LATE_WEIGHT, LATE_MS, UNHEARD_MS = 0.05, 1_000.0, 250.0
PROVEN_MS, GROWTH, WELL = 2_000.0, 2.0, 2.0
QUIET, QUIET_OPEN = 2.0, 3
OFFERS = 100  # requests remembered for the order of worth

PROOF = ("full", "connect_failed", "moot")  # outcomes that prove that the attempt never ran
WATCH = 0  # timer token of the list; a request's is its id + 1


class Sent(NamedTuple):
    """An attempt that is out."""

    due: float  # past this, its server is suspect
    usual: float
    time_out: float
    kind: io.ServiceClass
    shed: float


@dataclass(slots=True, eq=False)
class Server:
    """A server of the list and what this balancer has seen of it."""

    entry: io.Entry
    p: float = 0.0
    latency: float = 1.0
    cost: float | None = None
    report: float = 0.0
    failing: float = 0.0
    ejections: int = 0
    ejected_until: float = -math.inf
    tokens: float = 1.0  # slow-start budget
    tokens_ms: float = -math.inf
    proven: float = 0.0
    proven_ms: float = 0.0
    quiet_ms: float = math.inf
    open: dict[tuple[int, int], Sent] = field(default_factory=dict)
    shut: dict[str, float] = field(default_factory=dict)  # classes turned away, and till when


@dataclass(slots=True, eq=False)
class Flight:
    """A request that is owed its final answer."""

    request: io.Request
    kind: io.ServiceClass
    give_up: float  # no answer is worth anything after this
    sends: int = 0
    open: int = 0
    tried: list[str] = field(default_factory=list)
    bound: io.Entry | None = None  # where it may have run first
    bound_attempt: int = -1
    bound_ms: float = 0.0


class Rate:
    """A smoothed rate per millisecond."""

    def __init__(self) -> None:
        self.start = self.last = math.inf
        self.value = 0.0

    def add(self, now: float) -> None:
        self.start, self.last = min(self.start, now), min(self.last, now)
        self.value = self.value * math.exp((self.last - now) / RATE_MS) + 1.0
        self.last = now

    def read(self, now: float) -> float:
        if not self.value:
            return 0.0
        seen = max(now - self.start, 0.25 * RATE_MS)
        value = self.value * math.exp((self.last - now) / RATE_MS)
        return value / (RATE_MS * (1 - math.exp(-seen / RATE_MS)))


class Balancer:
    """One balancer: feed it events with the time, carry out the actions it returns."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.configure(settings)
        self.rng = random.Random(seed)
        self.now = 0.0
        self.out: list[io.Action] = []
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []
        self.flights: dict[int, Flight] = {}
        self.usual: dict[str, float] = {}  # smoothed latency of good answers, by class
        self.peaks: deque[tuple[float, float]] = deque()
        self.retry_budget = 1.0
        self.rates: dict[str, Rate] = {}  # by tenant
        self.arrivals, self.answers = Rate(), Rate()
        self.late, self.shed, self.shed_ms, self.marginal = 0.0, 0.0, 0.0, 0.5
        self.offers: deque[tuple[float, float]] = deque(maxlen=OFFERS)
        self.watch_failures = -1  # -1: the list was never asked for

    def configure(self, settings: io.Settings) -> None:
        """The settings from now on; what is in flight and what was learnt stay."""
        self.settings, fields = settings, settings.report_fields
        self.classes = {c.name: c for c in settings.classes}
        self.quota = {t.name: t.quota_per_s / 1000.0 / settings.balancers for t in settings.tenants}
        self.load_field = next((fields.index(name) for name in LOADS if name in fields), None)

    def handle(self, now_ms: float, event: io.Event) -> list[io.Action]:
        self.out = []
        self.now = max(self.now, now_ms)
        match event:
            case io.Request():
                self._request(event)
            case io.Outcome():
                self._outcome(event)
            case io.Timer(token):
                self._timer(token)
            case io.ListUpdate():
                self._list(event)
            case io.Gone(request):
                self.flights.pop(request, None)
            case io.Started():
                # The stream is the client's now: nothing is owed, and its age is no sign of trouble.
                self.flights.pop(event.request, None)
                self._observe(event, "ok")
        return self.out

    # ---- automaton: cost, Eq. 8, membership, draw

    def _score(self, server: Server, latency: float) -> None:
        """Eq. 6 for every server, Eq. 8 for the one that answered or failed, then its mean over all."""
        server.latency = latency
        n, prices = len(self.ready), self.settings.prices
        toll = ZONE_COST * (prices.cross_zone + prices.handshake + prices.connection)
        memory, load = min(0.5, MEMORY / max(1, n)), sum(s.report for s in self.ready) / max(1, n)
        for s in self.ready:
            x = REPORT_COST * s.report / (1 + load) + (0.0 if s.entry.zone == self.settings.zone else toll)
            z = K * x + (1 - K) * DELTA * s.latency
            s.cost = z if s.cost is None else memory * z + (1 - memory) * s.cost
        if n < 2:
            return
        costs = [s.cost for s in self.ready if s.cost is not None]
        low, high = FLOOR * min(costs), min(max(costs), CEILING * sum(costs) / n)
        betas = [min(1.0, (c - low) / (high - low)) if high > low else 0.5 for c in costs]
        if server in self.ready:
            beta, step = betas[self.ready.index(server)], min(STEP_MAX, STEP / n)
            own = server.p + step * (1 - beta) * (1 - server.p) - step * beta * server.p
            for s in self.ready:
                s.p = s.p * (1 - step) + step * beta / (n - 1)
            server.p = own
        # A server answers here once in seconds: the costs just refreshed move P by Eq. 8's mean over a draw.
        mean = sum(s.p * beta for s, beta in zip(self.ready, betas, strict=True))
        for s, beta in zip(self.ready, betas, strict=True):
            s.p += SWEEP * ((mean - s.p * beta) / (n - 1) - s.p * beta)

    def _join(self, server: Server) -> None:
        """A newcomer gets 1/N, taken proportionally, at the mean smoothed cost."""
        n = len(self.ready) + 1
        for s in self.ready:
            s.p -= s.p / n
        known = [s.cost for s in self.ready if s.cost is not None]
        server.p, server.cost = 1 / n, sum(known) / len(known) if known else None
        server.latency, server.report, server.failing = 1.0, 0.0, 0.0
        server.ejections, server.ejected_until = 0, -math.inf
        # Slow start: all balancers may hear of the newcomer at once, so budgets begin at a random phase.
        server.tokens, server.tokens_ms = self.rng.random(), self.now
        self.ready.append(server)

    def _leave(self, server: Server) -> None:
        """A leaver's share is spread proportionally."""
        self.ready.remove(server)
        rest = sum(s.p for s in self.ready)
        for s in self.ready:
            s.p /= rest

    def _draw(self, allowed: list[Server]) -> Server:
        """A draw from P over the allowed servers, or with P_rw a uniform one."""
        if self.rng.random() < P_RW:
            return self.rng.choice(allowed)
        return self.rng.choices(allowed, [s.p for s in allowed])[0]

    # ---- eligibility

    def _allowed(self, flight: Flight) -> list[Server]:
        """The servers that a send of this request may be drawn from; drains are not in self.ready."""
        group = [s for s in self._ramped() if flight.bound is None or self._in_group(flight, s)]
        fresh = [s for s in group if s.entry.server not in flight.tried]
        sound = [s for s in fresh if not self._doubtful(s, flight.kind)]
        # Bounded load: a server over its share of what is out from here waits while others are under theirs.
        out = sum(len(s.open) for s in self.ready)
        calm = [s for s in sound if len(s.open) <= s.p * out + SPARE]
        return calm or sound or fresh or (group if flight.bound is not None else [])

    def _in_group(self, flight: Flight, server: Server) -> bool:
        """A keyed request that may have run goes only where its repeats are dropped."""
        home, here, kind = flight.bound, server.entry, flight.kind
        if home is None or kind.effect != "keyed" or kind.group == "all":
            return True
        return here.zone == home.zone if kind.group == "zone" else here.cell == home.cell

    def _doubtful(self, server: Server, kind: io.ServiceClass) -> bool:
        if self.now < max(server.ejected_until, server.shut.get(kind.name, 0.0)):
            return True
        late = bool(server.open) and next(iter(server.open.values())).due < self.now
        late = late or (server.quiet_ms < self.now and len(server.open) >= QUIET_OPEN)
        # Past its ejection, one that has failed gets one trial at a time: only a success can clear it.
        return late or (server.failing > EJECT_ABOVE and bool(server.open))

    def _ramped(self) -> list[Server]:
        """Slow start: a cold server gets its ramp's part of what a warm one takes from this balancer."""
        start, since = self.settings.rules.start_capacity, self.now - self.settings.rules.cold_ms
        cold = [s for s in self.ready if 0 < s.entry.started_ms > since]
        if not cold:
            return self.ready
        sizes = {s: s.entry.units if self.settings.sized else 1.0 for s in self.ready}
        warm = sum(sizes.values()) - sum(sizes[s] for s in cold)
        rate = self.answers.read(self.now) / warm if len(cold) < len(sizes) else 0.0
        blind = self.arrivals.read(self.now) / len(self.ready)
        for s in cold:
            age = max(0.0, self.now - s.entry.started_ms) / self.settings.rules.cold_ms
            full = rate * sizes[s] or blind
            proven = s.proven * math.exp((s.proven_ms - self.now) / PROVEN_MS) / PROVEN_MS
            grown = min(GROWTH, self.settings.rules.tip_multiple / 2) * proven
            take = max((start + (1 - start) * age) * full, min(full, grown))
            s.tokens, s.tokens_ms = min(1.0, s.tokens + take * (self.now - s.tokens_ms)), self.now
        return [s for s in self.ready if s.tokens >= 1.0 or not 0 < s.entry.started_ms > since]

    def _health(self, server: Server, code: str) -> None:
        """Outlier ejection: above what the fleet fails, with a trial after each ejection."""
        failed = code in ("error", "timeout", "reset", "connect_failed")
        server.failing += FAIL_WEIGHT * (failed - server.failing)
        others = [s.failing for s in self.ready if s is not server]
        mean = sum(others) / max(1, len(self.ready) - 1)
        if not failed:
            server.ejections = 0 if server.failing < EJECT_ABOVE else server.ejections
        elif server.failing > EJECT_ABOVE + 2 * mean and self.now >= server.ejected_until:
            ejected = sum(self.now < s.ejected_until for s in self.ready)
            if ejected + 1 <= EJECT_AT_MOST * len(self.ready):
                span = min(EJECT_MAX_MS, EJECT_MS * 2**server.ejections)
                server.ejected_until = self.now + span * self.rng.uniform(0.75, 1.25)
                server.ejections += 1

    # ---- attempts

    def _dispatch(self, flight: Flight) -> None:
        """Send, hold for a moment, or end a request that has no attempt out."""
        left = flight.give_up - self.now
        if left <= 0 or flight.sends >= self.settings.limits.max_attempts or not self._may_send(flight):
            return self._end(flight)
        allowed = self._allowed(flight)
        if not allowed:
            return self.out.append(io.Wake(min(HOLD_MS, left), flight.request.request + 1))
        server = self._draw(allowed)
        server.tokens -= 1.0
        usual = max(self.usual.get(flight.kind.name, flight.kind.aim_ms / 4), LEAST * flight.kind.aim_ms)
        again = flight.kind.effect != "unsafe" and flight.sends + 1 < self.settings.limits.max_attempts
        again = again and self.retry_budget >= 1.0 and left > (PATIENCE + 1) * usual
        time_out = PATIENCE * usual if again else left  # giving up early with no retry to spend is a loss
        request, where = flight.request.request, server.entry
        server.open[(request, flight.sends)] = Sent(
            self.now + SUSPECT * usual, usual, time_out, flight.kind, self.shed
        )
        if flight.bound is None:
            flight.bound, flight.bound_attempt, flight.bound_ms = where, flight.sends, self.now
        flight.tried.append(where.server)
        flight.sends, flight.open = flight.sends + 1, flight.open + 1
        return self.out.append(io.Send(request, where.server, time_out, left))

    def stands(self, now_ms: float, request: int) -> bool:
        self.now, flight = max(self.now, now_ms), self.flights.get(request)
        first = flight is not None and flight.bound_attempt == flight.sends - 1
        return flight is not None and self.now < flight.give_up and (first or self._may_send(flight))

    def _may_send(self, flight: Flight) -> bool:
        """No effect twice: what may have run goes again only if it is free, or keyed and in its window."""
        if flight.bound is None or flight.kind.effect == "free":
            return True
        window = flight.kind.window_ms - self.settings.tick_ms
        return flight.kind.effect == "keyed" and self.now - flight.bound_ms < window

    def _end(self, flight: Flight, over_share: bool = False) -> None:
        """The final answer: a refusal where that is true of the request, else a failure."""
        del self.flights[flight.request.request]
        kind, limits = flight.kind, self.settings.limits
        harmless = kind.effect == "free" or (kind.effect, kind.group) == ("keyed", "all")
        if flight.bound is None or harmless:
            pause = min(limits.max_retry_after_ms, kind.aim_ms / 4) if limits.retry_after else 0.0
            self.out.append(io.Refuse(flight.request.request, pause, over_share))
        else:
            self.out.append(io.Fail(flight.request.request))

    def _outcome(self, event: io.Outcome) -> None:
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
                return self._end(flight)
            self.retry_budget -= 1.0
        return self._dispatch(flight)

    def _observe(self, event: io.Outcome | io.Started, code: str, said: io.Report = ()) -> None:
        """What an attempt's end tells of the server, in the life that it was sent to."""
        server, spent, attempt = self.servers.get(event.server), event.spent_ms, event.attempt
        sent = server.open.pop((event.request, attempt), None) if server is not None else None
        if server is not None and sent is not None and said and self.load_field is not None:
            server.report = said[self.load_field]
        if server is None or sent is None or code in ("cancelled", "moot"):
            return
        if code == "ok":
            self.answers.add(self.now)
            if spent <= WELL * self.usual.get(sent.kind.name, sent.kind.aim_ms / 4):
                server.proven = server.proven * math.exp((server.proven_ms - self.now) / PROVEN_MS) + 1.0
                server.proven_ms = self.now
            oldest = next(iter(server.open.values()), None)
            many = len(server.open) >= QUIET_OPEN
            server.quiet_ms = self.now + QUIET * oldest.usual if oldest and many else math.inf
            usual = self.usual.get(sent.kind.name, spent)
            self.usual[sent.kind.name] = usual + 0.05 * (spent - usual)
            while self.peaks and self.peaks[-1][1] <= spent:
                self.peaks.pop()
            self.peaks.append((self.now, spent))
        while self.peaks and self.now - self.peaks[0][0] > FAIL_MEMORY_MS:
            self.peaks.popleft()
        if code == "full":  # it may well serve the other classes
            server.shut[sent.kind.name] = self.now + EJECT_MS
        self._health(server, code)
        if code in ("ok", "timeout") or (code == "full" and attempt >= 2):
            self._pace(code == "full" or spent > LATE_FROM * sent.kind.aim_ms, sent.shed)
        if code != "ok":
            spent = min(2 * self.peaks[0][1] if self.peaks else math.inf, sent.time_out)
        self._score(server, spent / max(self.usual.get(sent.kind.name, sent.kind.aim_ms / 4), 0.1))

    def _timer(self, token: int) -> None:
        flight = self.flights.get(token - 1)
        if token == WATCH:
            self.out.append(io.Watch())
        elif flight is not None and flight.open == 0:
            self._dispatch(flight)

    # ---- admission

    def _request(self, request: io.Request) -> None:
        self.arrivals.add(self.now)
        self.retry_budget = min(10.0, self.retry_budget + RETRY_SHARE)
        kind = self.classes.get(request.service_class)
        if kind is None:
            budget = max(request.budget_ms, 1.0)
            kind = io.ServiceClass(request.service_class, budget, budget, worth=0.0)
        if kind.effect == "keyed" and not request.keyed:  # with no key its repeats can't be dropped
            kind = replace(kind, effect="unsafe")
        left, aim = request.budget_ms, kind.aim_ms + kind.aim_stretch * request.work_ms
        if kind.late_worth == 0:
            left = min(left, aim - self.settings.tick_ms - MARGIN_MS)
        flight = Flight(request, kind, self.now + left)
        self.flights[request.request] = flight
        if self._admits(flight):
            return self._dispatch(flight)
        return self._end(flight, self._within(flight.request.tenant) < 1.0)

    def _admits(self, flight: Flight) -> bool:
        """Load shedding: the shed share of the offered work is refused, least worth per work first."""
        kind, name = flight.kind, flight.request.tenant
        tenant = name if name in self.quota else ""  # a name that nobody has told of gets no entry of its own
        rate = self.rates.setdefault(tenant, Rate())
        rate.add(self.now)
        within = self._within(name)
        factor = round(within + (1 - within) * self.settings.over_share_worth, 1)
        work = self.usual.get(kind.name, kind.aim_ms / 4)
        worth = kind.worth * factor / (1.0 if self.settings.worth_by_work else work)
        self.offers.append((worth, work))
        if self.shed > 0 and self.now - self.shed_ms > UNHEARD_MS:
            self._pace(False)
        if self.shed <= 0 and self.rng.random() < 0.9:
            return True
        total = sum(x for _, x in self.offers)
        less = sum(x for w, x in self.offers if w < worth)
        same = sum(x for w, x in self.offers if w == worth)
        if less <= self.shed * total <= less + same:
            mean = sum(w * x for w, x in self.offers) / total
            self.marginal = min(0.75, max(0.15, worth / mean)) if mean > 0 else 0.5
        return self.rng.random() * same < less + same - self.shed * total

    def _within(self, name: str) -> float:
        """The part of a tenant's present rate that is within its share; 1 where tenants have none."""
        tenant = name if name in self.quota else ""
        rate = self.rates[tenant].read(self.now)
        return min(1.0, self.quota.get(tenant, 0.0) / max(rate, 1e-9)) if self.quota else 1.0

    def _pace(self, late: bool, shed: float = 1.0) -> None:
        if late and self.shed - shed > 0.3:
            return
        since = self.now - self.shed_ms
        weight = LATE_WEIGHT if late else max(LATE_WEIGHT, 1.0 - math.exp(-since / LATE_MS))
        self.late += weight * (late - self.late)
        span, self.shed_ms = min(1_000.0, self.now - self.shed_ms), self.now
        change = SHED_GAIN * (self.late - LATE_TARGET * self.marginal) * span / 1000.0
        self.shed = min(0.95, max(0.0, self.shed + change))

    # ---- list

    def _list(self, update: io.ListUpdate) -> None:
        ask_every = self.settings.rules.ask_every_ms
        if self.watch_failures < 0:
            self.watch_failures = 0
            if self.settings.asks_list:
                # A whole fleet may start at once: the first calls are spread so as not to drown the list.
                self.out.append(io.Wake(self.rng.random() * 0.3 * ask_every, WATCH))
        elif update.how == "failed":
            self.watch_failures += 1
            wait = min(0.5 * ask_every, 500.0 * 2 ** min(self.watch_failures, 6))
            self.out.append(io.Wake(wait * self.rng.uniform(0.5, 1.0), WATCH))
        else:
            self.watch_failures = 0
        if update.how in ("whole", "stale"):
            named = {entry.server for entry in update.entries}
            for name in [name for name in self.servers if name not in named]:
                self._remove(name)
        for entry in update.entries:
            self._entry(entry)

    def _entry(self, entry: io.Entry) -> None:
        if entry.state == "gone":
            return self._remove(entry.server)
        held = self.servers.get(entry.server)
        if held is not None and entry.started_ms > held.entry.started_ms:
            self._remove(entry.server)  # what is out at the life before says nothing of this one
        server = self.servers.setdefault(entry.server, Server(entry))
        if server in self.ready and entry.state != "ready":
            self._leave(server)
        server.entry = entry
        if server not in self.ready and entry.state == "ready":
            self._join(server)

    def _remove(self, name: str) -> None:
        server = self.servers.pop(name, None)
        if server is not None and server in self.ready:
            self._leave(server)
