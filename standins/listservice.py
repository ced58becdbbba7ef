"""A stand-in list service that a whole fleet polls: a call queue, one worker, and scripted faults.

    python -m standins.listservice '{"per_s": 50, "line": "queues", ...}'

prints {"port": N} and then reads commands from standard input, one JSON object a line:

    {"hosts": [...]}   replaces the list and sends the changes to every watch
    {"change": [...]}  adds or changes these rows, and removes those with health "gone"
    {"begin": T}       sets the release, on the machine's monotonic clock; the plan's spans count from it
    {"down": S}        starts an outage of S seconds
    {"count": 1}       prints a line of counts by the first two numbers of the callers' addresses

GET /books returns its account (Service.account); SIGTERM stops it.

It implements the platform's discovery protocol (GET /catalog/members; stream=1&index=N opens a watch). The
worker processes one call at a time; a call takes 1 / per_s seconds plus a time proportional to its answer's
length. With the overload policy "queues", queued calls are processed even if their callers have
disconnected; with "turns away", a call that would wait for over MAX_QUEUE_WAIT_S is rejected at once with a
503. During an outage the service doesn't listen, and open connections are reset.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections import Counter, deque
from dataclasses import dataclass
from enum import StrEnum
from time import monotonic
from typing import Any, NamedTuple

import uvloop

from standins.listservice_connection import Connection, address_prefix

BACKLOG = 4096  # connections that wait to be accepted
MAX_QUEUE_WAIT_S = 1.0  # longest expected wait in the queue with Overload.REJECTS
CRASH_DELAY_S = 0.02  # from a truncated answer to the crash, so that its bytes are sent before the reset
MAX_COMMAND_BYTES = 2**26  # longest line on standard input, in bytes

Span = tuple[float, float]


class Overload(StrEnum):
    """Policy for calls that the service can't answer soon."""

    QUEUES = "queues"
    REJECTS = "turns away"


@dataclass(frozen=True)
class Plan:
    """Configuration of the service. Times in seconds; spans are (begin, end) after the release."""

    per_s: float = 50.0  # calls a second
    overload: str = Overload.QUEUES
    outages: tuple[Span, ...] = ()
    unresponsive: tuple[Span, ...] = ()  # spans in which it accepts calls and doesn't answer
    retry_after: str = ""  # the Retry-After value of a 503; empty: none
    trickle_s: float = 0.0  # time over which the bytes of an answer are spread
    always_complete: bool = False  # each change sends the complete list to watches
    crash_after: int = 0  # it crashes once, in the middle of the answer with this number; 0: never
    crash_s: float = 2.0  # length of the outage after the crash
    versions_restart: bool = False  # list versions restart at 1 after an outage
    bytes_per_s: float = 50e6  # bytes that the worker processes a second
    address: str = "127.0.0.1"


# Keys of the command line's JSON that differ from the plan's fields.
PLAN_KEYS = {
    "line": "overload",
    "downs": "outages",
    "mute": "unresponsive",
    "trickle": "trickle_s",
    "always_whole": "always_complete",
    "dies_at": "crash_after",
    "dead_s": "crash_s",
    "back": "versions_restart",
}
SPAN_FIELDS = ("outages", "unresponsive")


def plan_from_json(table: dict[str, Any]) -> Plan:
    """Return the plan for the command line's JSON object; raise TypeError if it has an unknown key."""
    fields = {PLAN_KEYS.get(key, key): value for key, value in table.items()}
    for name in SPAN_FIELDS:
        if name in fields:
            fields[name] = tuple(tuple(span) for span in fields[name])
    return Plan(**fields)


class CallKind(StrEnum):
    """What a call requests: the list once, or a watch of it."""

    LIST = "whole"
    WATCH = "changes"


class Call(NamedTuple):
    """A received call. `at` is in seconds on the monotonic clock."""

    at: float
    caller: str  # its address
    kind: CallKind


class AnswerOutcome(StrEnum):
    """The outcome of a call."""

    ANSWERED = "answered"
    REJECTED = "turned away"
    ABANDONED = "for nobody"  # processed after its caller had disconnected


class Answer(NamedTuple):
    """The completion of a call. `at` is in seconds on the monotonic clock."""

    at: float
    caller: str  # its address
    outcome: AnswerOutcome


class Service:
    """The list, the queue of calls, the worker, and the watches."""

    def __init__(self, plan: Plan) -> None:
        if plan.overload not in list(Overload):
            raise ValueError(f"line: {plan.overload!r} is not one of {', '.join(Overload)}")
        self.plan = plan
        self.rows: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}  # host: the version of its last change
        self.removed: dict[str, tuple[int, dict[str, Any]]] = {}
        self.version = 1
        self.queue: deque[Connection] = deque()
        self.watches: set[Connection] = set()
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.began = float("inf")
        self.busy = False  # whether the worker processes a call
        self.crashed = False
        self.calls: list[Call] = []
        self.answers: list[Answer] = []
        self.bytes = 0  # total length of all lists and changes sent
        self.encoded_whole: tuple[int, bytes] = 0, b""  # version and JSON text of the complete list
        self.encoded_changes: dict[int, bytes] = {}  # JSON texts of changes, by the version before them
        self.sent: Counter[str] = Counter()  # bytes of lists and changes sent, by the caller's role
        self.lines: Counter[str] = Counter()  # number of lists and changes sent, by the caller's role

    async def start(self) -> None:
        """Listen at the plan's address; the port stays the same after an outage."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Connection(self), self.plan.address, self.port, backlog=BACKLOG, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.queue.clear()
        for connection in list(self.connections):
            connection.transport.abort()
        self.watches.clear()

    def begin(self, at: float) -> None:
        """Set the release, on the monotonic clock in seconds, and schedule the outages."""
        self.began = at
        loop, now = asyncio.get_running_loop(), monotonic()
        for begin, end in self.plan.outages:
            loop.call_later(max(0.0, at + begin - now), self.stop)
            loop.call_later(max(0.0, at + end - now), self.end_outage)
        if any(begin <= 0 for begin, _ in self.plan.outages):
            self.stop()

    def end_outage(self) -> None:
        """Listen again, if the service doesn't."""
        if self.server is None:
            if self.plan.versions_restart:
                self.version, self.changed_at, self.removed = 1, dict.fromkeys(self.rows, 1), {}
                self.encoded_changes.clear()
            asyncio.ensure_future(self.start())

    def is_unresponsive(self) -> bool:
        """Return whether the service is in an unresponsive span now."""
        since = monotonic() - self.began
        return any(begin <= since < end for begin, end in self.plan.unresponsive)

    # ---- the list

    def replace_list(self, hosts: list[dict[str, Any]]) -> None:
        """Replace the list, and send the changes to all watches."""
        self.version += 1
        self.encoded_changes.clear()
        names = {row["host"] for row in hosts}
        for name in [name for name in self.rows if name not in names]:
            self.removed[name] = self.version, self.rows.pop(name) | {"health": "gone"}
        for row in hosts:
            if self.rows.get(row["host"]) != row:
                self.rows[row["host"]], self.changed_at[row["host"]] = row, self.version
                self.removed.pop(row["host"], None)
        self._send_to_all()

    def change_rows(self, rows: list[dict[str, Any]]) -> None:
        """Change single rows and send them to all watches; the cost doesn't grow with the list."""
        self.version += 1
        for row in rows:
            name = row["host"]
            if row["health"] == "gone":
                self.rows.pop(name, None)
                self.changed_at.pop(name, None)
                self.removed[name] = self.version, row
            else:
                self.rows[name], self.changed_at[name] = row, self.version
                self.removed.pop(name, None)
        self.encoded_changes = {self.version - 1: self._encode(False, rows)}
        self._send_to_all()

    def _send_to_all(self) -> None:
        for watch in list(self.watches):
            self.send_changes(watch, self.version - 1)

    def encoded(self, since: int | None) -> bytes:
        """Return the JSON text of the complete list, or of the changes after the version `since`."""
        if since is None or since <= 0 or since > self.version or self.plan.always_complete:
            if self.encoded_whole[0] != self.version:
                self.encoded_whole = self.version, self._encode(True, list(self.rows.values()))
            return self.encoded_whole[1]
        if since not in self.encoded_changes:
            rows = [row for name, row in self.rows.items() if self.changed_at[name] > since]
            rows += [row for at, row in self.removed.values() if at > since]
            self.encoded_changes[since] = self._encode(False, rows)
        return self.encoded_changes[since]

    def _encode(self, complete: bool, rows: list[dict[str, Any]]) -> bytes:
        return json.dumps({"seq": self.version, "whole": complete, "hosts": rows}).encode() + b"\n"

    def send_changes(self, watch: Connection, since: int | None) -> None:
        """Write the changes after the version `since` to a watch, as one chunk."""
        text = self.encoded(since)
        self._count_sent(watch, text)
        watch.transport.write(b"%x\r\n%b\r\n" % (len(text), text))

    def _count_sent(self, connection: Connection, text: bytes) -> None:
        self.bytes += len(text)
        self.sent[connection.role] += len(text)
        self.lines[connection.role] += 1

    # ---- calls

    def accept(self, connection: Connection) -> None:
        """Record a call, and queue it, or reject it if the queue is too long."""
        kind = CallKind.LIST if connection.since is None else CallKind.WATCH
        self.calls.append(Call(monotonic(), connection.peer, kind))
        if self.is_unresponsive():
            return
        if self.plan.overload == Overload.REJECTS and len(self.queue) / self.plan.per_s > MAX_QUEUE_WAIT_S:
            return self.reject(connection)
        self.queue.append(connection)
        self.serve_next()

    def reject(self, connection: Connection) -> None:
        """Answer 503, with Retry-After if the plan has one, and close the connection."""
        self.answers.append(Answer(monotonic(), connection.peer, AnswerOutcome.REJECTED))
        field = f"Retry-After: {self.plan.retry_after}\r\n" if self.plan.retry_after else ""
        connection.transport.write(
            f"HTTP/1.1 503 Busy\r\n{field}Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
        )
        connection.transport.close()

    def serve_next(self) -> None:
        """Start to process the first call of the queue, unless the worker is busy."""
        if self.busy or not self.queue:
            return
        self.busy = True
        connection = self.queue.popleft()
        text, connection.version = self.encoded(connection.since), self.version
        processing_s = 1.0 / self.plan.per_s + len(text) / self.plan.bytes_per_s
        asyncio.get_running_loop().call_later(processing_s, self.finish, connection, text)

    def finish(self, connection: Connection, text: bytes) -> None:
        """Answer the processed call if its caller is still connected, or crash in mid-answer."""
        self.busy = False
        disconnected = connection.transport.is_closing()
        outcome = AnswerOutcome.ABANDONED if disconnected else AnswerOutcome.ANSWERED
        self.answers.append(Answer(monotonic(), connection.peer, outcome))
        if 0 < self.plan.crash_after <= len(self.answers) and not self.crashed:
            self._crash(connection, text)
            return
        if not disconnected:
            self._count_sent(connection, text)
            connection.answer(text)
        self.serve_next()

    def _crash(self, connection: Connection, text: bytes) -> None:
        """Send half of an answer, then stop for the plan's crash_s."""
        self.crashed = True
        if not connection.transport.is_closing():
            connection.answer(text[: len(text) // 2], truncated=True)
        loop = asyncio.get_running_loop()
        loop.call_later(CRASH_DELAY_S, self.stop)
        loop.call_later(CRASH_DELAY_S + self.plan.crash_s, self.end_outage)

    def account(self) -> dict[str, Any]:
        """Return the account that GET /books sends; times are in seconds on the monotonic clock."""
        return {
            "began": self.began,
            "calls": self.calls,
            "answers": self.answers,
            "bytes": self.bytes,
            "watches": len(self.watches),
            "version": self.version,
        }

    def counts(self) -> dict[str, Any]:
        """Return the numbers of bytes, calls and lines so far, by the callers' roles."""
        calls = Counter(address_prefix(call.caller) for call in self.calls)
        return {"bytes": self.sent, "calls": calls, "lines": self.lines, "watches": len(self.watches)}


async def _read_commands(service: Service) -> None:
    """Execute the commands on standard input until end of file."""
    reader = asyncio.StreamReader(limit=MAX_COMMAND_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        command = json.loads(line)
        if "hosts" in command:
            service.replace_list(command["hosts"])
        if "change" in command:
            service.change_rows(command["change"])
        if "count" in command:
            print(json.dumps(service.counts()), flush=True)
        if "down" in command:
            service.stop()
            asyncio.get_running_loop().call_later(command["down"], service.end_outage)
        if "begin" in command:
            service.begin(command["begin"])


async def run(plan: Plan) -> None:
    """Serve until SIGTERM; print the port as a line of JSON."""
    service = Service(plan)
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[None] = loop.create_future()
    loop.add_signal_handler(signal.SIGTERM, ended.cancel)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C reaches the whole group; the parent sends SIGTERM
    await service.start()
    print(json.dumps({"port": service.port}), flush=True)
    commands = asyncio.ensure_future(_read_commands(service))
    await asyncio.wait((ended,))
    commands.cancel()
    service.stop()


def main() -> int:
    """Serve the plan of the command line; return the exit status."""
    plan = plan_from_json(json.loads(sys.argv[1] if len(sys.argv) > 1 else "{}"))
    uvloop.run(run(plan))
    return 0


if __name__ == "__main__":
    sys.exit(main())
