"""The second address, for operators: status, metrics and maintenance. docs/operators/operations.md

Each connection carries one call. Calls are answered in the event loop, and their descriptors come from a
reserve that clients can't use. If too many connections are open, one that has sent nothing is closed for the
next caller; a call of which a part was read is answered in any case.
"""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from quartzford.engine import Clock, Handle
from quartzford.fronts.listener import Listener, bind_all_addresses
from quartzford.protocols.lingering import LingeringClose
from quartzford.protocols.onecall import OneCall, Reader, State, answer

BACKLOG = 256
MAX_OPEN_CALLS = 20  # fits in the descriptors that a balancer reserves for itself
CALL_TIMEOUT_S = 10.0  # an incomplete call is answered with 408 after this time
STALL_S = 2.0  # a call that has begun is answered with 408 if no byte of it arrives for this time
METRICS_PREFIX = "edge"


class OperatedNode(Protocol):
    """The balancer that operators' calls act on."""

    def ready(self) -> bool:
        """Return whether the balancer can serve requests."""

    def metrics_page(self, prefix: str) -> str:
        """Return the text of the metrics page; prefix: first part of each metric's name."""

    def set_maintenance(self, name: str, in_maintenance: bool) -> bool:
        """Put an upstream into maintenance or return it to service at once; return False if it is unknown."""


ROUTES = {
    "/status": "GET",
    "/status/metrics": "GET",
    "/maintenance/enter": "PUT",
    "/maintenance/exit": "PUT",
}


def respond(call: OneCall, node: OperatedNode) -> bytes:
    """Execute a call and return its response; a call answered with 4xx or 5xx has changed nothing."""
    method = ROUTES.get(call.path)
    if method is None:
        return answer(404, "no such call\n", call.method == "HEAD")
    if call.method != method and (call.method, method) != ("HEAD", "GET"):
        return answer(405, f"{method} is wanted\n")
    if call.path == "/status":
        ready = node.ready()
        return answer(200 if ready else 503, "ready\n" if ready else "not ready\n", call.method == "HEAD")
    if call.path == "/status/metrics":
        return answer(200, node.metrics_page(METRICS_PREFIX), call.method == "HEAD")
    name = call.body.decode("utf-8", "replace").strip()
    if not name:
        return answer(400, "the body names no upstream\n")
    if not node.set_maintenance(name, call.path == "/maintenance/enter"):
        return answer(404, "no such upstream\n")
    return answer(200, "done\n")


class OperationsFront:
    """Accepts connections of operators and limits their number."""

    def __init__(self, node: OperatedNode, clock: Clock) -> None:
        self.node = node
        self.clock = clock
        self.calls: dict[OperatorConnection, None] = {}  # oldest first
        self.listener: Listener | None = None

    def listen(self, address: tuple[str, int], loop: asyncio.AbstractEventLoop) -> None:
        """Start accepting calls. Raises OSError if the address is not available."""
        self.listener = Listener(
            bind_all_addresses(address, BACKLOG), lambda: OperatorConnection(self), self.clock, loop
        )
        self.listener.start()

    def stop(self) -> None:
        """Stop accepting connections; answer calls that were partly read with 503."""
        if self.listener is not None:
            self.listener.close()
        for caller in list(self.calls):
            caller.end_incomplete_call()

    def make_room(self, newcomer: OperatorConnection) -> None:
        """Close one other connection: at once if its call is unread or its answer sent, else after a 503."""
        others = [caller for caller in self.calls if caller is not newcomer]
        closable = next((caller for caller in others if caller.unread()), None)
        closable = closable or next((caller for caller in others if caller.answer_sent()), None)
        if closable is not None:
            closable.transport.abort()
        elif unanswered := next((caller for caller in others if not caller.answered), None):
            unanswered.end_incomplete_call()


class OperatorConnection(asyncio.Protocol):
    """A connection of an operator, which carries one call."""

    transport: asyncio.Transport

    def __init__(self, front: OperationsFront) -> None:
        self.front = front
        self.reader = Reader()
        self.timer: Handle | None = None
        self.complete_by = front.clock.now() + CALL_TIMEOUT_S
        self.lingering: LingeringClose | None = None

    @property
    def answered(self) -> bool:
        """Whether the answer has been written."""
        return self.lingering is not None

    def unread(self) -> bool:
        """Return whether no part of a call has been read."""
        return not self.reader.begun and not self.answered

    def answer_sent(self) -> bool:
        """Return whether the kernel has accepted the whole answer."""
        return self.answered and not self.transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, close another one if there are too many, and start the timeout."""
        self.transport = cast(asyncio.Transport, transport)
        calls = self.front.calls
        calls[self] = None
        if len(calls) > MAX_OPEN_CALLS:
            self.front.make_room(self)
        self._start_timeout(CALL_TIMEOUT_S)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and execute the call once it is complete."""
        if self.lingering is not None:
            return self.lingering.received(len(data))
        reader = self.reader
        reader.feed(data)
        self._start_timeout(min(STALL_S, self.complete_by - self.front.clock.now()))
        if reader.error:
            self._answer(answer(reader.error))
        elif reader.call is not None:
            self._execute(reader.call)
        elif reader.expects_continue and reader.state is State.BODY:
            reader.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _execute(self, call: OneCall) -> None:
        try:
            response = respond(call, self.front.node)
        except Exception:
            self._answer(answer(500))
            raise
        self._answer(response)

    def eof_received(self) -> None:
        """Answer an incomplete call with 400: the caller has half-closed, and may still read."""
        if not self.answered:
            self._answer(answer(400))

    def end_incomplete_call(self) -> None:
        """Close the connection, after a 503 if a part of the call was read. The call may be retried.

        An incomplete call has changed nothing.
        """
        if self.answered:
            return
        if self.unread():
            self.transport.close()
        else:
            self._answer(answer(503))

    def _start_timeout(self, timeout_s: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.front.clock.call_later(timeout_s, self._timed_out)

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
        self._start_timeout(CALL_TIMEOUT_S)  # in case the caller does not read its answer

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection, which was closed by either side, and cancel its timeout."""
        self.front.calls.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
