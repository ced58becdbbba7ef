"""The second address: what operators ask and tell, one call to a connection. docs/operators/operations.md

Answered in the loop, from a reserve of descriptors that clients can't take. Once too many are open, whoever
has said nothing makes room for the next caller; a call of which something was read is answered in any case.
"""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from quartzford.engine import Clock, Handle
from quartzford.fronts.listener import Listener, bind_each
from quartzford.protocols.lingering import LingeringClose
from quartzford.protocols.onecall import OneCall, Reader, State, answer

BACKLOG = 256
MOST_OPEN = 20  # calls at once; within the descriptors that a balancer keeps for itself
WHOLE_S = 10.0  # a call that has not come whole by then is answered 408
STALL_S = 2.0  # and so is one that has begun, and of which nothing more has come for so long
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
        self.listener: Listener | None = None

    def listen(self, address: tuple[str, int], loop: asyncio.AbstractEventLoop) -> None:
        """Take calls from now on; OSError where the address can't be had."""
        self.listener = Listener(bind_each(address, BACKLOG), lambda: Caller(self), self.clock, loop)
        self.listener.start()

    def stop(self) -> None:
        """Nobody is taken any more; calls of which something was read are told to come again."""
        if self.listener is not None:
            self.listener.close()
        for caller in list(self.calls):
            caller.leave()

    def make_room(self, newcomer: Caller) -> None:
        """End one call for the newcomer: at once if nothing was read of it, or if its answer is out."""
        others = [caller for caller in self.calls if caller is not newcomer]
        closable = next((caller for caller in others if caller.unread()), None)
        closable = closable or next((caller for caller in others if caller.answer_is_out()), None)
        if closable is not None:
            closable.transport.abort()
        elif unanswered := next((caller for caller in others if not caller.answered), None):
            unanswered.leave()


class Caller(asyncio.Protocol):
    """One connection, one call."""

    transport: asyncio.Transport

    def __init__(self, front: OperationsFront) -> None:
        self.front = front
        self.reader = Reader()
        self.timer: Handle | None = None
        self.whole_by = front.clock.now() + WHOLE_S
        self.lingering: LingeringClose | None = None

    @property
    def answered(self) -> bool:
        """Its answer has been written."""
        return self.lingering is not None

    def unread(self) -> bool:
        """Nothing of a call has been read."""
        return not self.reader.begun and not self.answered

    def answer_is_out(self) -> bool:
        """The system has taken all of its answer."""
        return self.answered and not self.transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        calls = self.front.calls
        calls[self] = None
        if len(calls) > MOST_OPEN:
            self.front.make_room(self)
        self._give_up_after(WHOLE_S)

    def data_received(self, data: bytes) -> None:
        if self.lingering is not None:
            return self.lingering.received(len(data))
        reader = self.reader
        reader.feed(data)
        self._give_up_after(min(STALL_S, self.whole_by - self.front.clock.now()))
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

    def eof_received(self) -> None:
        """A caller may end its sending and still read; what was not whole by then gets its 400."""
        if not self.answered:
            self._answer(answer(400))

    def leave(self) -> None:
        """End a call that is not whole: it has changed nothing, and may come again."""
        if self.answered:
            return
        if self.unread():
            self.transport.close()
        else:
            self._answer(answer(503))

    def _give_up_after(self, wait_s: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.front.clock.call_later(wait_s, self._late)

    def _late(self) -> None:
        if not self.answered:
            self._answer(answer(408))
        elif not self.transport.is_closing():
            self.transport.abort()

    def _answer(self, data: bytes) -> None:
        clock = self.front.clock
        self.transport.write(data)
        self.lingering = LingeringClose(self.transport, clock.now())
        self.lingering.close_in_time(clock)
        self._give_up_after(WHOLE_S)  # where its answer is not taken

    def connection_lost(self, error: Exception | None) -> None:
        self.front.calls.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
