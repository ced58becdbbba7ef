"""The upstreams of a soak and their list service, as one process: python -m rig.soak.upstreams.

A plan is read from standard input, the ports are printed; when standard input ends, the journal is printed.
"""

from __future__ import annotations

import asyncio
import json
import math
import sys
from contextlib import suppress
from time import monotonic
from typing import Any, NamedTuple

import uvloop

from rig.soak.answers import ANSWER_FIELD, AnswerForm, pieces_of
from rig.soak.plan import SoakPlan
from standins.execution_journal import Execution, ExecutionJournal, OpenConnection
from standins.registry import Registry
from standins.upstream import BACKLOG, StandInUpstream
from standins.upstream_connection import Connection

CAPACITY = 400.0  # requests a second of one upstream
LATENCY_S = 0.03
UNREAD_POLL_S = 0.05  # while the balancer reads no more


class SoakJournal(ExecutionJournal):
    """A journal that names the requests with attempts beside an open one."""

    def __init__(self) -> None:
        super().__init__()
        self.overlapping_ids: list[str] = []

    def record_execution(self, run: Execution, connection: OpenConnection) -> None:
        """Record an accepted request."""
        before = self.overlapping
        super().record_execution(run, connection)
        if self.overlapping > before and connection.still_open():  # else it was given up before it was read
            self.overlapping_ids.append(run.identity)


class BrokenAnswer(NamedTuple):
    """An answer whose connection the balancer closed; times on the monotonic clock.

    given_bytes: of its body. head_at: when its head was written. closed_at: when the connection ended.
    """

    given_bytes: int
    head_at: float
    closed_at: float


class Given:
    """What the upstreams gave of the answers that were asked for in a form, by request ID.

    An answer whose connection had ended before its head was written is in neither.
    """

    def __init__(self) -> None:
        self.whole: set[str] = set()
        self.broken: dict[str, list[BrokenAnswer]] = {}


class SoakConnection(Connection):
    """A connection that answers in the form that the request asks for."""

    upstream: SoakUpstream
    closed_at = math.nan  # on the monotonic clock

    def connection_lost(self, error: Exception | None) -> None:
        """Note when the connection ended."""
        self.closed_at = monotonic()
        super().connection_lost(error)

    def respond(self, status: int, body: bytes = b"", *, unprocessed: bool = False) -> None:
        """Write an answer; a 200 in the form that was asked for."""
        form = AnswerForm.parse(self.fields.get(ANSWER_FIELD, ""))
        if status != 200 or form.shape == "short":
            size = form.size if status == 200 else 0
            return super().respond(status, body.ljust(size, b"."), unprocessed=unprocessed)
        identity = self.fields.get("x-correlation-id", "")
        task = asyncio.ensure_future(self._give(identity, form))
        self.upstream.answering.add(task)
        task.add_done_callback(self.upstream.answering.discard)

    async def _give(self, identity: str, form: AnswerForm) -> None:
        framing = {"length": f"Content-Length: {form.size}\r\n", "chunked": "Transfer-Encoding: chunked\r\n"}
        given = 0
        if self.closed:
            return
        self.transport.write(f"HTTP/1.1 200 OK\r\n{framing.get(form.framing, '')}\r\n".encode())
        head_at = monotonic()
        for pause_s, data in pieces_of(identity, form):
            await asyncio.sleep(pause_s)
            while self.transport.get_write_buffer_size() > 2**16 and not self.closed:
                await asyncio.sleep(UNREAD_POLL_S)
            if self.closed:
                broken = BrokenAnswer(given, head_at, self.closed_at)
                self.upstream.given.broken.setdefault(identity, []).append(broken)
                return
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if form.framing == "chunked" else data)
            given += len(data)
        if form.framing == "chunked":
            self.transport.write(b"0\r\n\r\n")
        elif form.framing == "close":
            self.transport.close()
        self.upstream.given.whole.add(identity)


class SoakUpstream(StandInUpstream):
    """A stand-in upstream whose answers have the form that the request asks for."""

    given: Given
    answering: set[asyncio.Task[None]]

    async def start(self) -> None:
        """Listen on the loopback interface."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: SoakConnection(self), "127.0.0.1", self.port, backlog=BACKLOG, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]


def make_upstreams(plan: SoakPlan, journal: ExecutionJournal, given: Given) -> list[SoakUpstream]:
    """Return the plan's upstreams, not started."""
    upstreams = []
    for number in range(plan.upstreams):
        upstream = SoakUpstream(
            f"s-{number}",
            journal,
            block=number // 2,
            capacity=CAPACITY,
            latency_s=LATENCY_S,
            queue=plan.upstream_queue,
            cores=4,
        )
        upstream.given = given
        upstream.answering = set()
        upstreams.append(upstream)
    return upstreams


def journal_table(journal: SoakJournal, given: Given) -> dict[str, Any]:
    """Return what the verdict needs of the upstreams."""
    return {
        "runs": journal.run_rows(),
        "overlapping": journal.overlapping_ids,
        "whole": sorted(given.whole),
        "broken": given.broken,
    }


async def run() -> None:
    """Serve until standard input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=2**22)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    plan = SoakPlan.from_table(json.loads(await reader.readline()))
    journal, given = SoakJournal(), Given()
    upstreams = make_upstreams(plan, journal, given)
    for upstream in upstreams:
        await upstream.start()
    registry = Registry(upstreams, journal)
    await registry.start()
    print(json.dumps({"discovery": registry.port, "known": registry.complete()}), flush=True)
    with suppress(asyncio.IncompleteReadError):
        await reader.readexactly(1)
    print(json.dumps(journal_table(journal, given)), flush=True)


if __name__ == "__main__":
    uvloop.run(run())
