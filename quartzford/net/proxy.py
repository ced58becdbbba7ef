"""The driver: turns what sockets tell into the module's events, and its actions into bytes."""

from __future__ import annotations

import asyncio
import math
import sys
import time
import traceback
from collections import Counter
from time import monotonic
from typing import Any

from quartzford import interface as io
from quartzford.config import Config, ConfigError
from quartzford.logic import Balancer
from quartzford.net.discovery import Discovery, Listing, read_listing
from quartzford.net.downstream import Client, Exchange
from quartzford.net.upstream import REUSE_SHARE, Attempt, Connection, Upstream

BASE_BYTES = 56 * 1024 * 1024  # the interpreter, the module and what sockets cost
BASE_DESCRIPTORS = 48
CLIENT_SHARE = 0.5  # a request open at a client needs a descriptor upstream too, and may hold a third here
SWEEP_S = 0.25
OVERDUE_S = 0.02  # past its time a request is ended whatever has become of its attempt or timer
LISTED_S = 1.0
STALL_S = 4.0  # a long answer pauses for a tenth of a second; one this silent is broken
NEW_CLIENTS_S = 0.6
SPARE_END_S = 0.55
LOG_LINES_PER_S = 5.0
SUMMARY_S = 10.0


class Budget:
    """A bound on the bytes held over all connections."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def full(self) -> bool:
        return self.used >= self.limit


class Proxy:
    """One balancer on sockets."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.anchor_ms = time.time() * 1000.0 - monotonic() * 1000.0  # once: the clock never jumps
        self.balancer = Balancer(config.settings, config.seed)
        self.budget = Budget(0)
        self._configure(config)
        self.upstreams: dict[str, Upstream] = {}
        self.upstream_connections: set[Connection] = set()
        self.connects = 0
        self.clients: dict[Client, None] = {}
        self.exchanges: dict[int, Exchange] = {}
        self.streams: set[Attempt] = set()
        self.number = 0
        self.discovery = Discovery(self, config.settings.asks_list)
        self.server: asyncio.Server | None = None
        self.draining_since = math.inf
        self.finished = loop.create_future()
        self.counts: Counter[str] = Counter()  # outcomes and answers since the last summary
        self.ready_at = monotonic() + LISTED_S
        self.log_tokens, self.log_at = LOG_LINES_PER_S, monotonic()

    # ---- start and end

    def _configure(self, config: Config) -> None:
        self.config = config
        self.classes = {c.name: c for c in config.settings.classes}
        self.longest_ms = max(c.deadline_ms for c in config.settings.classes)
        self.budget.limit = max(8 * 1024 * 1024, config.memory_bytes - BASE_BYTES)
        spare = max(16, config.descriptors - BASE_DESCRIPTORS)
        self.most_clients = int(CLIENT_SHARE * spare)
        self.most_upstream = spare - self.most_clients

    def reconfigure(self, config: Config) -> None:
        """A new configuration, under load: what is in flight goes on, the list held stays until the next one.

        The address for clients, the seed and the way to discovery (pushed or asked) take a restart.
        """
        moved = config.discovery != self.config.discovery
        self._configure(config)
        self.balancer.configure(config.settings)
        if moved:
            self.discovery.follow()

    async def start(self) -> None:
        try:
            known = read_listing(self.config.known)
        except ValueError as error:
            raise ConfigError(f"known: {error}") from None
        self.listed(known, how="stale")
        self.discovery.version = known.version
        host, port = self.config.listen
        self.server = await self.loop.create_server(lambda: Client(self), host, port, backlog=2048)
        if not self.discovery.asked:
            self.discovery.start()
        self.loop.call_later(SUMMARY_S, self._summary)
        self.loop.call_later(OVERDUE_S, self._end_overdue)
        self.loop.call_later(SWEEP_S, self._sweep)

    def ready(self) -> bool:
        """Requests can be served: news of the list has come, or is late, and it names a ready upstream."""
        if self.draining():
            return False
        told = self.discovery.heard or self.discovery.asked or monotonic() >= self.ready_at
        return told and any(u.ready for u in self.upstreams.values())

    def draining(self) -> bool:
        return self.draining_since < math.inf

    def terminate(self) -> None:
        if not self.draining():
            self.draining_since = monotonic()
            self.loop.call_later(NEW_CLIENTS_S, self._stop_listening)

    def _stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()
        self._end_when_quiet()

    def _end_when_quiet(self) -> None:
        for client in list(self.clients):
            client.close_if_idle()
        limit = self.draining_since + self.longest_ms / 1000.0 + SPARE_END_S
        if not self.clients or monotonic() >= limit:
            self.discovery.stop()
            if not self.finished.done():
                self.finished.set_result(None)
            return
        self.loop.call_later(0.02, self._end_when_quiet)

    # ---- clock and log

    def now_ms(self) -> float:
        """Unix time on the monotonic clock: the module's clock."""
        return monotonic() * 1000.0 + self.anchor_ms

    def log(self, topic: str, text: str) -> None:
        """A line for the operators; floods are cut."""
        now = monotonic()
        self.log_tokens = min(LOG_LINES_PER_S, self.log_tokens + (now - self.log_at) * LOG_LINES_PER_S)
        self.log_at = now
        if self.log_tokens >= 1.0:
            self.log_tokens -= 1.0
            print(f"{topic}: {text[:500]}", file=sys.stderr, flush=True)

    def _summary(self) -> None:
        """One line in a while on what went on."""
        said = [f"{name} {count}" for name, count in sorted(self.counts.items())]
        held = f"clients {len(self.clients)}, upstream connections {len(self.upstream_connections)}"
        self.log("summary", ", ".join([*said, held, f"buffered {self.budget.used}"]))
        self.counts.clear()
        self.loop.call_later(SUMMARY_S, self._summary)

    def trouble(self, where: str) -> None:
        """An exception at a boundary, from within its handler."""
        lines = traceback.format_exc(limit=-3).strip().splitlines()
        self.log(where, " | ".join([lines[-1], *(line.strip() for line in lines[1:-1])]))

    # ---- the module

    def feed(self, event: io.Event) -> None:
        try:
            actions = self.balancer.handle(self.now_ms(), event)
        except Exception:
            self.trouble("module")
            return self._abandon(event)
        for action in actions:
            try:
                self._act(action)
            except Exception:
                self.trouble("action")
                self._abandon(action)

    def _abandon(self, subject: Any) -> None:
        """End the one request that an exception concerned, if any."""
        number = subject.number if isinstance(subject, Exchange) else getattr(subject, "request", -1)
        exchange = self.exchanges.get(number)
        if exchange is not None:
            attempt = exchange.attempt
            self._close(exchange)
            self.balancer.flights.pop(exchange.number, None)
            if attempt is not None:
                attempt.fail("cancelled")
            exchange.client.answer(exchange, 500)

    def _act(self, action: io.Action) -> None:
        match action:
            case io.Send():
                self._send(self.exchanges[action.request], action)
            case io.Refuse(request, pause):
                self._final(request, 503, pause)
            case io.Fail(request):
                self._final(request, 502, 0.0)
            case io.Wake(after, token):
                self.loop.call_later(max(0.0, after) / 1000.0, self.feed, io.Timer(token))
            case io.Watch():
                self.discovery.start()
            case io.Cancel(request, number):
                attempt = self.exchanges[request].attempt
                if attempt is not None and attempt.number == number and not attempt.streaming:
                    attempt.fail("cancelled")
            case io.Log(text):
                self.log("module", text)
            case io.Probe(server):
                self.log("module", f"probe of {server} asked for, but this balancer sends none")

    def _send(self, exchange: Exchange, send: io.Send) -> None:
        now = monotonic()
        time_out = now + (send.time_out_ms / 1000.0 if send.time_out_ms else math.inf)
        due = min(exchange.deadline, time_out)
        finish = min(exchange.deadline, max(due, now + send.finish_ms / 1000.0))
        attempt = Attempt(self, exchange, exchange.sends, self.upstreams[send.server], due, finish)
        exchange.sends += 1
        exchange.attempt = attempt
        attempt.start()

    def _final(self, request: int, status: int, pause_ms: float) -> None:
        exchange = self.exchanges[request]
        self.counts[f"answered {status}"] += 1
        self._close(exchange)
        exchange.client.answer(exchange, status, pause_ms)

    def _close(self, exchange: Exchange) -> None:
        self.exchanges.pop(exchange.number, None)
        exchange.done = True
        exchange.attempt = None

    # ---- what downstream tells

    def arrived(self, exchange: Exchange, request: io.Request) -> None:
        """A whole request has come, and is owed its one answer."""
        self.exchanges[exchange.number] = exchange
        self.feed(request)

    def next_number(self) -> int:
        self.number = (self.number + 1) % 2**32
        while self.number in self.exchanges:
            self.number = (self.number + 1) % 2**32
        return self.number

    def gone(self, exchange: Exchange) -> None:
        if exchange.done:
            return
        attempt = exchange.attempt
        self.counts["client gone"] += 1
        self._close(exchange)
        exchange.release()
        self.feed(io.Gone(exchange.number))
        if attempt is not None:
            attempt.fail("cancelled")

    # ---- what attempts tell

    def stands(self, attempt: Attempt) -> bool:
        exchange = attempt.exchange
        return (
            attempt.upstream.ready
            and not exchange.done
            and monotonic() < attempt.due
            and self.balancer.stands(self.now_ms(), exchange.number)
        )

    def may_connect(self) -> bool:
        if len(self.upstream_connections) + self.connects < self.most_upstream:
            return True
        for upstream in self.upstreams.values():
            if upstream.idle:
                upstream.idle.popleft().close()
                return True
        return False

    def drop_idle(self, connection: Connection) -> None:
        try:
            connection.upstream.idle.remove(connection)
        except ValueError:
            return
        connection.close()

    def started(self, attempt: Attempt) -> None:
        self.streams.add(attempt)
        spent = max(0.01, (monotonic() - attempt.sent) * 1000.0)
        self.feed(io.Started(attempt.exchange.number, attempt.number, attempt.upstream.name, spent))

    def ended(self, attempt: Attempt, code: str, connection: Connection | None) -> None:
        exchange = attempt.exchange
        spent = max(0.01, (monotonic() - attempt.sent) * 1000.0)
        stage = ""
        if code != "ok" and connection is not None:
            stage = "in its answer" if connection.head_bytes else "unanswered"
        self.streams.discard(attempt)
        if exchange.attempt is attempt:
            exchange.attempt = None
        final = exchange.done or code == "ok" or attempt.streaming
        if final and not exchange.done:
            self._close(exchange)
            if attempt.streaming:
                exchange.client.end(exchange, whole=code == "ok")
            else:
                assert connection is not None
                exchange.client.answer(exchange, 200, 0.0, connection.fields, attempt.chunks)
        elif not exchange.done:
            exchange.charge(-attempt.size)
        self.counts[f"{code} {stage}".rstrip()] += 1
        report = connection.report if connection is not None and connection.status else ()
        faulted = code == "error" and connection is not None and connection.faults_request()
        name = attempt.upstream.name
        self.feed(io.Outcome(exchange.number, attempt.number, name, code, spent, final, report, faulted))

    # ---- what discovery tells

    def listed(self, listing: Listing, how: str = "") -> None:
        if listing.whole:
            named = {entry.server for entry in listing.entries}
            for name in [name for name in self.upstreams if name not in named]:
                self.upstreams[name].retire()
        for entry, address in zip(listing.entries, listing.addresses, strict=True):
            self._entry(entry, address)
        how = how or ("whole" if listing.whole else "changes")
        self.feed(io.ListUpdate(how, listing.entries))

    def _entry(self, entry: io.Entry, address: tuple[str, int]) -> None:
        held = self.upstreams.get(entry.server)
        if entry.state != "ready":
            if held is not None:
                held.retire()
            return
        if held is None or not held.ready or held.address != address or held.born_ms != entry.started_ms:
            if held is not None:
                held.retire()
            self.upstreams[entry.server] = Upstream(self, entry.server, address, entry.started_ms)

    def list_failed(self) -> None:
        self.feed(io.ListUpdate("failed"))

    # ---- housekeeping

    def _end_overdue(self) -> None:
        """The last resort for rule one: no attempt, timer or exception keeps a request past its time."""
        before = monotonic() - OVERDUE_S
        late = [e for e in self.exchanges.values() if e.deadline < before]
        for exchange in late:
            if exchange.attempt is None or not exchange.attempt.streaming:
                self.log("overdue", f"request {exchange.number} had no answer when its time was up")
                self._abandon(exchange)
        self.loop.call_later(OVERDUE_S, self._end_overdue)

    def _sweep(self) -> None:
        try:
            now = monotonic()
            before = now - REUSE_SHARE * self.config.idle_ms / 1000.0
            for name, upstream in list(self.upstreams.items()):
                upstream.expire(before)
                if not upstream.ready and name not in self.balancer.servers:
                    del self.upstreams[name]
            for attempt in list(self.streams):
                if now - attempt.moved > STALL_S and not attempt.exchange.client.stuck:
                    attempt.fail("reset")
            for client in list(self.clients):
                client.check(now)
        except Exception:
            self.trouble("sweep")
        self.loop.call_later(SWEEP_S, self._sweep)
