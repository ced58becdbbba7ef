"""A stand-in list service that a whole fleet asks: one worker, a queue before it, and scripted trouble.

    python -m standins.listservice '{"per_s": 50, "line": "queues", ...}'

prints {"port": N} and then takes lines of JSON on standard input: {"hosts": [...]} is the list from now on
(told to every watch), {"change": [...]} rows that are new, changed or gone (health "gone"), {"begin": T} the
release on the machine's monotonic clock, from which the spans of the plan count, {"down": S} that it is down
from now on for so many seconds. {"count": 1} asks for a line of counts by the first half of the callers'
addresses. GET /books gives what it saw; SIGTERM ends it.

It speaks the platform's discovery (GET /catalog/members, with stream=1&index=N a watch). Calls are worked
through one at a time, `per_s` a second, each as long as its bytes take besides. What waits there goes on
being worked on though its caller has left ("queues"), or is turned away at once with a 503 where it would
wait for over MAX_WAIT_S ("turns away"). While it is down nobody listens, and what stood is reset.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections import Counter, deque
from dataclasses import dataclass
from time import monotonic
from typing import Any, cast

import uvloop

MAX_WAIT_S = 1.0
BEAT_S = 2.0


@dataclass(frozen=True)
class Plan:
    """What the service does. Times in seconds from the release; spans as (begin, end).

    retry_after: the field that a 503 carries. trickle: an answer's bytes take so long. always_whole: a watch
    is told everything at each change. dies_at: answers after which it dies in the middle of the next, once,
    for dead_s. back: its versions begin anew after a death. bytes_per_s: what an answer's length costs.
    """

    per_s: float = 50.0
    line: str = "queues"
    downs: tuple[tuple[float, float], ...] = ()
    mute: tuple[tuple[float, float], ...] = ()  # accepts and answers nothing
    retry_after: str = ""
    trickle: float = 0.0
    always_whole: bool = False
    dies_at: int = 0
    dead_s: float = 2.0
    back: bool = False
    bytes_per_s: float = 50e6
    address: str = "127.0.0.1"


class Service:
    """The queue, the worker, the watches and the books."""

    def __init__(self, plan: Plan) -> None:
        if plan.line not in ("queues", "turns away"):
            raise ValueError(f"line: {plan.line!r} is not one of queues, turns away")
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
        self.busy = False
        self.died = False
        self.calls: list[list[Any]] = []  # when, who, what was asked: whole or changes
        self.answers: list[list[Any]] = []  # when, who, how: answered, turned away, for nobody
        self.bytes = 0
        self.encoded_whole: tuple[int, bytes] = 0, b""  # the whole list's text, and of which version
        self.encoded_changes: dict[int, bytes] = {}  # texts of changes, by the version that they follow
        self.sent: Counter[str] = Counter()  # bytes of answers and changes, by half of who was told
        self.lines: Counter[str] = Counter()  # lists and changes told, likewise

    async def start(self) -> None:
        """Listen at the plan's address; the port stays the same after a death."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Connection(self), self.plan.address, self.port, backlog=4096, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Nobody listens, and what stands is reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.queue.clear()
        for connection in list(self.connections):
            connection.transport.abort()
        self.watches.clear()

    def begin(self, at: float) -> None:
        """Set the release, on the monotonic clock in seconds, and schedule the spans in which it is down."""
        self.began = at
        loop, now = asyncio.get_running_loop(), monotonic()
        for begin, end in self.plan.downs:
            loop.call_later(max(0.0, at + begin - now), self.stop)
            loop.call_later(max(0.0, at + end - now), self._start_again)
        if any(begin <= 0 for begin, _ in self.plan.downs):
            self.stop()

    def _start_again(self) -> None:
        if self.server is None:
            if self.plan.back:
                self.version, self.changed_at, self.removed = 1, dict.fromkeys(self.rows, 1), {}
                self.encoded_changes.clear()
            asyncio.ensure_future(self.start())

    def mute(self) -> bool:
        """Whether it answers nothing at this moment."""
        since = monotonic() - self.began
        return any(begin <= since < end for begin, end in self.plan.mute)

    # ---- the list

    def replace_list(self, hosts: list[dict[str, Any]]) -> None:
        """The list as it is from now on; watches hear what has changed."""
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
        """The whole list, or what changed after a version."""
        if since is None or since <= 0 or since > self.version or self.plan.always_whole:
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
        self.calls.append([monotonic(), connection.peer, "whole" if connection.since is None else "changes"])
        if self.mute():
            return
        if self.plan.line == "turns away" and len(self.queue) / self.plan.per_s > MAX_WAIT_S:
            return self.reject(connection)
        self.queue.append(connection)
        self.serve_next()

    def reject(self, connection: Connection) -> None:
        """Answer 503, with Retry-After where the plan has it, and close."""
        self.answers.append([monotonic(), connection.peer, "turned away"])
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
        """Answer the call that was worked on, if its caller is still there; or die in the middle of it."""
        self.busy = False
        gone = connection.transport.is_closing()
        self.answers.append([monotonic(), connection.peer, "for nobody" if gone else "answered"])
        if self.plan.dies_at and len(self.answers) >= self.plan.dies_at and not self.died:
            self.died = True
            if not gone:
                connection.answer(text[: len(text) // 2], cut=True)
            # The half must be on its way before the reset.
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, self.stop)
            loop.call_later(0.02 + self.plan.dead_s, self._start_again)
            return
        if not gone:
            self._count(connection, text)
            connection.answer(text)
        self.serve_next()

    def books(self) -> dict[str, Any]:
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
        """Bytes, calls and lines told so far, by the first two numbers of callers' addresses."""
        calls = Counter(half(peer) for _, peer, _ in self.calls)
        return {"bytes": self.sent, "calls": calls, "lines": self.lines, "watches": len(self.watches)}


def half(address: str) -> str:
    """The first two numbers of an address: which role it has."""
    return ".".join(address.split(".")[:2])


class Connection(asyncio.Protocol):
    """One connection."""

    transport: asyncio.Transport

    def __init__(self, service: Service) -> None:
        self.service = service
        self.data = b""
        self.peer = self.role = ""
        self.since: int | None = None
        self.request_read = False
        self.version = 0  # of the answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and note the address that it is from."""
        self.transport = cast(asyncio.Transport, transport)
        self.peer = transport.get_extra_info("peername")[0]
        self.role = half(self.peer)
        self.service.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the connection."""
        self.service.connections.discard(self)
        self.service.watches.discard(self)

    def data_received(self, data: bytes) -> None:
        """Read the request, once its head is complete."""
        self.data += data
        if b"\r\n\r\n" not in self.data or self.request_read:
            return
        self.request_read = True
        target = self.data.split(b"\r\n", 1)[0].split(b" ")[1].decode("latin-1")
        if target.startswith("/books"):
            text = json.dumps(self.service.books()).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
            return self.transport.close()
        if "stream=1" in target:
            self.since = int(target.rpartition("index=")[2].split("&")[0])
        self.service.accept(self)

    def answer(self, text: bytes, cut: bool = False) -> None:
        """The whole answer, or the beginning of one; over the trickle's time, where there is one."""
        if self.since is None:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text))
        else:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        trickle = self.service.plan.trickle
        step = max(1, len(text) // 20) if trickle else len(text)
        pieces = [text[at : at + step] for at in range(0, len(text), step)]
        for n, piece in enumerate(pieces):
            last = n == len(pieces) - 1 and not cut
            asyncio.get_running_loop().call_later(trickle * n / len(pieces), self._piece, piece, last)

    def _piece(self, piece: bytes, last: bool) -> None:
        if self.transport.is_closing():
            return
        self.transport.write(piece if self.since is None else b"%x\r\n%b\r\n" % (len(piece), piece))
        if last and self.since is not None:
            self.service.watches.add(self)
            if self.version != self.service.version:  # changed while the answer was under way
                self.service.send_changes(self, self.version)
            self._beat()

    def _beat(self) -> None:
        if not self.transport.is_closing() and self in self.service.watches:
            if not self.service.mute():
                self.transport.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(BEAT_S, self._beat)


async def _commands(service: Service) -> None:
    reader = asyncio.StreamReader(limit=2**26)
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
            asyncio.get_running_loop().call_later(command["down"], service._start_again)
        if "begin" in command:
            service.begin(command["begin"])


async def run(plan: Plan) -> None:
    """Serve until SIGTERM; prints the port as a line of JSON."""
    service = Service(plan)
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[None] = loop.create_future()
    loop.add_signal_handler(signal.SIGTERM, ended.cancel)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # who started it says when
    await service.start()
    print(json.dumps({"port": service.port}), flush=True)
    commands = asyncio.ensure_future(_commands(service))
    await asyncio.wait((ended,))
    commands.cancel()
    service.stop()


def plan_of(table: dict[str, Any]) -> Plan:
    """A plan of its JSON form."""
    spans = {name: tuple(tuple(span) for span in table[name]) for name in ("downs", "mute") if name in table}
    return Plan(**table | spans)


def main() -> int:
    """Serve the plan of the command line; the exit status."""
    uvloop.run(run(plan_of(json.loads(sys.argv[1] if len(sys.argv) > 1 else "{}"))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
