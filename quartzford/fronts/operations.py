"""The second address: status and maintenance, one call to a connection. docs/operators/operations.md

Answered in the loop, from a reserve of descriptors that clients can't take. Once too many are open, whoever
has said nothing makes room for the next caller; a call of which something was read is answered in any case.
"""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from quartzford.engine import Clock, Handle
from quartzford.fronts.listener import Listener, bind_all_addresses
from quartzford.protocols.lingering import LingeringClose
from quartzford.protocols.onecall import OneCall, Reader, State, answer

BACKLOG = 256
MAX_OPEN_CALLS = 20  # within the descriptors that a balancer keeps for itself
CALL_TIMEOUT_S = 10.0  # a call that is not complete by then is answered 408
STALL_S = 2.0  # and so is one that has begun, and of which nothing more has come for so long
PREFIX = "edge"


class Operated(Protocol):
    """The balancer that is operated."""

    def ready(self) -> bool:
        """It can serve."""

    def metrics_page(self, prefix: str) -> str:
        """The page of figures."""

    def set_maintenance(self, name: str, out: bool) -> bool:
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
        return answer(200, node.metrics_page(PREFIX), call.method == "HEAD")
    name = call.body.decode("utf-8", "replace").strip()
    if not name:
        return answer(400, "the body names no upstream\n")
    if not node.set_maintenance(name, call.path == "/maintenance/enter"):
        return answer(404, "no such upstream\n")
    return answer(200, "done\n")


class OperationsFront:
    """The listener for operators' calls."""

    def __init__(self, node: Operated, clock: Clock) -> None:
        self.node = node
        self.clock = clock
        self.calls: dict[Caller, None] = {}  # oldest first
        self.listener: Listener | None = None

    def listen(self, address: tuple[str, int], loop: asyncio.AbstractEventLoop) -> None:
        """Take calls from now on; OSError where the address can't be had."""
        self.listener = Listener(bind_all_addresses(address, BACKLOG), lambda: Caller(self), self.clock, loop)
        self.listener.start()

    def stop(self) -> None:
        """Accept no connection any more; calls of which something was read are answered 503."""
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
        self.complete_by = front.clock.now() + CALL_TIMEOUT_S
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
        """Count the call in the bound, and give it its time."""
        self.transport = cast(asyncio.Transport, transport)
        calls = self.front.calls
        calls[self] = None
        if len(calls) > MAX_OPEN_CALLS:
            self.front.make_room(self)
        self._give_up_after(CALL_TIMEOUT_S)

    def data_received(self, data: bytes) -> None:
        """Read on in the call; carry it out once it is complete."""
        if self.lingering is not None:
            return self.lingering.received(len(data))
        reader = self.reader
        reader.feed(data)
        self._give_up_after(min(STALL_S, self.complete_by - self.front.clock.now()))
        if reader.error:
            self._answer(answer(reader.error))
        elif reader.call is not None:
            self._carry_out(reader.call)
        elif reader.expects and reader.state is State.BODY:
            reader.expects = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _carry_out(self, call: OneCall) -> None:
        try:
            response = respond(call, self.front.node)
        except Exception:
            self._answer(answer(500))
            raise
        self._answer(response)

    def eof_received(self) -> None:
        """A caller may end its sending and still read; a call that is incomplete by then gets its 400."""
        if not self.answered:
            self._answer(answer(400))

    def leave(self) -> None:
        """End an incomplete call: it has changed nothing, and may be retried."""
        if self.answered:
            return
        if self.unread():
            self.transport.close()
        else:
            self._answer(answer(503))

    def _give_up_after(self, wait_s: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.front.clock.call_later(wait_s, self._timed_out)

    def _timed_out(self) -> None:
        if not self.answered:
            self._answer(answer(408))
        elif not self.transport.is_closing():
            self.transport.abort()

    def _answer(self, data: bytes) -> None:
        clock = self.front.clock
        self.transport.write(data)
        self.lingering = LingeringClose(self.transport, clock.now())
        self.lingering.close_in_time(clock)
        self._give_up_after(CALL_TIMEOUT_S)  # where its answer is not taken

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended, on either side."""
        self.front.calls.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
