"""The second address: what operators ask and tell, one call to a connection. docs/operators/operations.md

Answered in the loop, from a reserve of descriptors that clients can't take. Whoever connects and says nothing
makes room for the next caller once too many are open.
"""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from quartzford.engine import Clock, Handle
from quartzford.protocols.onecall import OneCall, Reader, State, answer

MOST_OPEN = 20  # calls at once; within the descriptors that a balancer keeps for itself
WHOLE_S = 10.0  # a call that has not come whole by then is answered 408
PREFIX = "edge"


class Operated(Protocol):
    """The balancer that is asked and told."""

    def ready(self) -> bool:
        """It can serve."""

    def figures(self, prefix: str) -> str:
        """The page of figures."""

    def by_hand(self, name: str, out: bool) -> bool:
        """Take an upstream out, or put it back, from this moment on; False: no such upstream."""


ROUTES = {
    "/status": "GET",
    "/status/metrics": "GET",
    "/maintenance/enter": "PUT",
    "/maintenance/exit": "PUT",
}


def respond(call: OneCall, node: Operated) -> bytes:
    """Carry out a call: 2xx is yes, 4xx and 5xx are no, and what is no changes nothing."""
    method = ROUTES.get(call.path)
    if method is None:
        return answer(404, "no such call\n", call.method == "HEAD")
    if call.method != method and (call.method, method) != ("HEAD", "GET"):
        return answer(405, f"{method} is wanted\n")
    if call.path == "/status":
        ready = node.ready()
        return answer(200 if ready else 503, "ready\n" if ready else "not ready\n", call.method == "HEAD")
    if call.path == "/status/metrics":
        return answer(200, node.figures(PREFIX), call.method == "HEAD")
    name = call.body.decode("utf-8", "replace").strip()
    if not name:
        return answer(400, "the body names no upstream\n")
    if not node.by_hand(name, call.path == "/maintenance/enter"):
        return answer(404, "no such upstream\n")
    return answer(200, "done\n")


class OperationsFront:
    """The listener for operators' calls."""

    def __init__(self, node: Operated, clock: Clock) -> None:
        self.node, self.clock = node, clock
        self.calls: dict[Caller, None] = {}  # oldest first
        self.server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int], loop: asyncio.AbstractEventLoop) -> None:
        self.server = await loop.create_server(lambda: Caller(self), *address, backlog=256)

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.calls):
            caller.transport.close()


class Caller(asyncio.Protocol):
    """One connection, one call."""

    transport: asyncio.Transport

    def __init__(self, front: OperationsFront) -> None:
        self.front = front
        self.reader = Reader()
        self.timer: Handle | None = None
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        calls = self.front.calls
        calls[self] = None
        if len(calls) > MOST_OPEN:
            silent = (c for c in calls if not c.reader.begun and c is not self)
            next(silent, next(iter(calls))).transport.abort()
        self.timer = self.front.clock.call_later(WHOLE_S, self._late)

    def data_received(self, data: bytes) -> None:
        reader = self.reader
        reader.feed(data)
        if self.answered:
            return
        if reader.error:
            self._answer(answer(reader.error))
        elif reader.call is not None:
            try:
                said = respond(reader.call, self.front.node)
            except Exception:
                self._answer(answer(500))
                raise
            self._answer(said)
        elif reader.expects and reader.state is State.BODY:
            reader.expects = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def eof_received(self) -> bool:
        """A caller may end its sending and still read; what was not whole by then gets its 400."""
        if not self.answered:
            self._answer(answer(400))
        return True

    def _late(self) -> None:
        if not self.answered:
            self._answer(answer(408))
        elif not self.transport.is_closing():
            self.transport.abort()

    def _answer(self, data: bytes) -> None:
        self.answered = True
        self.transport.write(data)
        self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.front.calls.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
