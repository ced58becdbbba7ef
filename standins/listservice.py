"""A stand-in list service that a whole fleet polls: one worker, a queue before it, and scripted faults.

    python -m standins.listservice '{"per_s": 50, "line": "queues", ...}'

prints {"port": N} and then takes lines of JSON on standard input: {"hosts": [...]} is the list from now on
(sent to every watch), {"change": [...]} rows that are new, changed or gone (health "gone"), {"begin": T} the
release on the machine's monotonic clock, from which the spans of the plan count, {"down": S} that it is down
from now on for so many seconds. {"count": 1} requests a line of counts by the first half of the callers'
addresses. GET /books gives what it saw; SIGTERM ends it.

It speaks the platform's discovery (GET /catalog/members, with stream=1&index=N a watch). Calls are worked
through one at a time, `per_s` a second, each as long as its bytes take besides. What waits there goes on
being worked on though its caller has left ("queues"), or is rejected at once with a 503 where it would wait
for over MAX_WAIT_S ("turns away"). While it is down nobody listens, and open connections are reset.
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
MAX_WAIT_S = 1.0  # in the queue of a service that rejects
FLUSH_S = 0.02  # from a truncated answer to the crash, so that the half is on its way before the reset
COMMAND_LIMIT = 2**26  # bytes of a line on standard input

Span = tuple[float, float]


class Overload(StrEnum):
    """What a service does with calls that it can't answer soon."""

    QUEUES = "queues"
    REJECTS = "turns away"


@dataclass(frozen=True)
class Plan:
    """What the service does. Times in seconds, spans as (begin, end) from the release."""

    per_s: float = 50.0  # calls a second
    overload: str = Overload.QUEUES
    outages: tuple[Span, ...] = ()
    unresponsive: tuple[Span, ...] = ()  # accepts calls and answers nothing
    retry_after: str = ""  # the field that a 503 carries
    trickle_s: float = 0.0  # for how long an answer's bytes are on their way
    always_complete: bool = False  # a watch is sent the complete list at each change
    crash_after: int = 0  # answers; it crashes in the middle of the next, once
    crash_s: float = 2.0  # for how long it is down then
    versions_restart: bool = False  # its versions begin anew after an outage
    bytes_per_s: float = 50e6  # what an answer's length costs
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
    """The plan of a command line's JSON object; TypeError if it has an unknown key."""
    fields = {PLAN_KEYS.get(key, key): value for key, value in table.items()}
    for name in SPAN_FIELDS:
        if name in fields:
            fields[name] = tuple(tuple(span) for span in fields[name])
    return Plan(**fields)


class CallKind(StrEnum):
    """What a call requests."""

    LIST = "whole"
    WATCH = "changes"


class Call(NamedTuple):
    """A call that came, in seconds on the monotonic clock."""

    at: float
    caller: str  # its address
    kind: CallKind


class AnswerOutcome(StrEnum):
    """How a call ended."""

    ANSWERED = "answered"
    REJECTED = "turned away"
    ABANDONED = "for nobody"  # worked on, but its caller had left


class Answer(NamedTuple):
    """The end of a call, in seconds on the monotonic clock."""

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
        self.busy = False  # a call is being worked on
        self.crashed = False
        self.calls: list[Call] = []
        self.answers: list[Answer] = []
        self.bytes = 0  # of all lists and changes sent
        self.encoded_whole: tuple[int, bytes] = 0, b""  # the complete list's text, and of which version
        self.encoded_changes: dict[int, bytes] = {}  # texts of changes, by the version that they follow
        self.sent: Counter[str] = Counter()  # bytes of lists and changes, by the receiver's role
        self.lines: Counter[str] = Counter()  # lists and changes, likewise

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
        """Listen again, unless it does."""
        if self.server is None:
            if self.plan.versions_restart:
                self.version, self.changed_at, self.removed = 1, dict.fromkeys(self.rows, 1), {}
                self.encoded_changes.clear()
            asyncio.ensure_future(self.start())

    def is_unresponsive(self) -> bool:
        """Whether it answers nothing at this moment."""
        since = monotonic() - self.began
        return any(begin <= since < end for begin, end in self.plan.unresponsive)

    # ---- the list

    def replace_list(self, hosts: list[dict[str, Any]]) -> None:
        """The list as it is from now on; watches are sent what has changed."""
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
        """Single rows of the list, at a cost that does not grow with the list."""
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
        """The text of the complete list, or of what changed after a version."""
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
        """Write what changed after a version to a watch, as one chunk."""
        text = self.encoded(since)
        self._count(watch, text)
        watch.transport.write(b"%x\r\n%b\r\n" % (len(text), text))

    def _count(self, connection: Connection, text: bytes) -> None:
        self.bytes += len(text)
        self.sent[connection.role] += len(text)
        self.lines[connection.role] += 1

    # ---- calls

    def accept(self, connection: Connection) -> None:
        """Note a call and put it into the queue, or reject it where the queue is too long."""
        kind = CallKind.LIST if connection.since is None else CallKind.WATCH
        self.calls.append(Call(monotonic(), connection.peer, kind))
        if self.is_unresponsive():
            return
        if self.plan.overload == Overload.REJECTS and len(self.queue) / self.plan.per_s > MAX_WAIT_S:
            return self.reject(connection)
        self.queue.append(connection)
        self.serve_next()

    def reject(self, connection: Connection) -> None:
        """Answer 503, with Retry-After where the plan has it, and close."""
        self.answers.append(Answer(monotonic(), connection.peer, AnswerOutcome.REJECTED))
        field = f"Retry-After: {self.plan.retry_after}\r\n" if self.plan.retry_after else ""
        connection.transport.write(
            f"HTTP/1.1 503 Busy\r\n{field}Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
        )
        connection.transport.close()

    def serve_next(self) -> None:
        """Begin with the first call of the queue, unless one is being worked on."""
        if self.busy or not self.queue:
            return
        self.busy = True
        connection = self.queue.popleft()
        text, connection.version = self.encoded(connection.since), self.version
        took = 1.0 / self.plan.per_s + len(text) / self.plan.bytes_per_s
        asyncio.get_running_loop().call_later(took, self.finish, connection, text)

    def finish(self, connection: Connection, text: bytes) -> None:
        """Answer the call that was worked on, if its caller is still there; or crash in the middle of it."""
        self.busy = False
        gone = connection.transport.is_closing()
        outcome = AnswerOutcome.ABANDONED if gone else AnswerOutcome.ANSWERED
        self.answers.append(Answer(monotonic(), connection.peer, outcome))
        if 0 < self.plan.crash_after <= len(self.answers) and not self.crashed:
            self._crash(connection, text)
            return
        if not gone:
            self._count(connection, text)
            connection.answer(text)
        self.serve_next()

    def _crash(self, connection: Connection, text: bytes) -> None:
        """Go down for a while in the middle of an answer."""
        self.crashed = True
        if not connection.transport.is_closing():
            connection.answer(text[: len(text) // 2], truncated=True)
        loop = asyncio.get_running_loop()
        loop.call_later(FLUSH_S, self.stop)
        loop.call_later(FLUSH_S + self.plan.crash_s, self.end_outage)

    def account(self) -> dict[str, Any]:
        """What it saw, as GET /books gives it: moments on the monotonic clock in seconds."""
        return {
            "began": self.began,
            "calls": self.calls,
            "answers": self.answers,
            "bytes": self.bytes,
            "watches": len(self.watches),
            "version": self.version,
        }

    def counts(self) -> dict[str, Any]:
        """Bytes, calls and lines so far, by the callers' roles."""
        calls = Counter(address_prefix(call.caller) for call in self.calls)
        return {"bytes": self.sent, "calls": calls, "lines": self.lines, "watches": len(self.watches)}


async def _read_commands(service: Service) -> None:
    """Carry out the lines of standard input, until it ends."""
    reader = asyncio.StreamReader(limit=COMMAND_LIMIT)
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
    """Serve until SIGTERM; prints the port as a line of JSON."""
    service = Service(plan)
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[None] = loop.create_future()
    loop.add_signal_handler(signal.SIGTERM, ended.cancel)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C goes to the whole group; the starter sends SIGTERM
    await service.start()
    print(json.dumps({"port": service.port}), flush=True)
    commands = asyncio.ensure_future(_read_commands(service))
    await asyncio.wait((ended,))
    commands.cancel()
    service.stop()


def main() -> int:
    """Serve the plan of the command line; the exit status."""
    plan = plan_from_json(json.loads(sys.argv[1] if len(sys.argv) > 1 else "{}"))
    uvloop.run(run(plan))
    return 0


if __name__ == "__main__":
    sys.exit(main())
