"""The input of a client's connection: reads bytes and parses them, within limits of memory and of a turn."""

from __future__ import annotations

import asyncio
import select
from abc import ABC, abstractmethod
from collections.abc import Collection
from typing import cast

from quartzford.engine import Charge
from quartzford.engine.read_buffer import SHORT_READ_BYTES
from quartzford.fronts import responses
from quartzford.fronts.client_owner import ClientOwner
from quartzford.fronts.input_queue import InputQueue, Piece
from quartzford.fronts.pipeline import Pipeline
from quartzford.fronts.request_reader import RequestReader
from quartzford.protocols.lingering import LingeringClose

WRITE_HIGH_WATER_BYTES = 0  # so that all unread bytes of responses are charged
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# Bytes are read on behind requests that wait: the end of the connection can't be seen behind bytes that the
# system has no room for.
MAX_QUEUED_BYTES = 8 * 1024 * 1024
MAX_BUDGET_SHARE = 0.5  # of the budget that may be in use for that
SLICE_BYTES = 4 * 1024  # parsed at once, which limits the number of requests that a slice holds
SHORT_SLICE_BYTES = 512  # the same while the budget is exhausted
# What one connection may do in a turn of the event loop: requests, fields and pieces of bodies that are
# parsed, with each request that is served counted as REQUEST_UNITS of them.
MAX_UNITS_PER_TURN = 128
REQUEST_UNITS = 32


class ClientInput(asyncio.BufferedProtocol, ABC):
    """Reads a client's bytes, queues what can't be parsed yet, and pauses reading where the queue is long.

    pipelined_requests: complete requests that wait to be served. closing: received bytes are discarded.

    Times in seconds on the engine's clock: message_started, when the first byte of the last request was
    parsed, or when the response before it was written if that was later; last_progress, when a byte was
    last read or written; paused_at, since when parsing has been paused for lack of memory, 0 if it is not
    paused for that. Such a pause ends once there is memory, and at the latest when all requests that were
    read are answered. paused_s: for how long the present request was paused for that before, since all that
    had arrived of it was last read.
    """

    __slots__ = (
        "front",
        "transport",
        "reader",
        "pipelined_requests",
        "message_started",
        "last_progress",
        "write_blocked",
        "closing",
        "lingering",
        "paused_at",
        "paused_s",
        "arrived_at",
        "_read_buffer",
        "_queue",
        "_charge",
        "_unread_since",
        "_reading_paused",
        "_advancing",
        "_waits_for_turn",
        "_turn",
        "_units_left",
        "_used_up",
    )
    transport: asyncio.Transport

    def __init__(self, front: ClientOwner) -> None:
        self.front = front
        self.reader = RequestReader(self)
        self.pipelined_requests = Pipeline()
        self.message_started = front.now()
        self.last_progress = self.message_started
        self.write_blocked = False  # the client reads more slowly than its response arrives
        self.closing = False
        self.lingering: LingeringClose | None = None
        self.paused_at = 0.0
        self.paused_s = 0.0
        self.arrived_at = self.message_started  # of the bytes that are being parsed
        self._read_buffer = front.read_buffer
        self._queue = InputQueue()
        self._charge = Charge(front.budget)
        self._unread_since = 0.0  # since when bytes may wait with the system, 0 if all have been read
        self._reading_paused = False
        self._advancing = False
        self._waits_for_turn = False  # the rest is parsed and served in a later turn of the event loop
        self._turn = 0  # number of the last turn in which input was taken
        self._units_left = 0  # in that turn
        self._used_up = False  # the units of that turn were used, it did not end before

    # ---- state

    @property
    def in_message(self) -> bool:
        """Whether a part of a request has been received, but not all of it."""
        return self.reader.in_message or bool(self._queue.size)

    @property
    def input_bytes(self) -> int:
        """The bytes that are held of input which is no complete request."""
        return self._charge.size

    @property
    def waits_for_turn(self) -> bool:
        """Whether this process has not had the time yet to parse or serve the input."""
        return self._waits_for_turn

    def has_input(self) -> bool:
        """Return whether bytes wait to be parsed, or reading is paused."""
        return bool(self._queue.size) or self._reading_paused

    @property
    def error(self) -> int:
        """Return the status code for invalid input on this connection, 0 if all input was valid."""
        return self.reader.error

    def connected(self) -> bool:
        """Return whether no FIN or reset has arrived, not even one behind bytes that were not read yet."""
        return not self.transport.is_closing() and not self._has_event(HANGUP_EVENTS)

    def _has_event(self, events: int) -> bool:
        poll = select.poll()
        poll.register(self.descriptor(), events)
        return bool(poll.poll(0))

    def descriptor(self) -> int:
        """Return the descriptor of the connection's socket."""
        descriptor: int = self.transport.get_extra_info("socket").fileno()
        return descriptor

    # ---- asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the front."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self.front.client_opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next read; a short one leads no further than to the reserve."""
        memory = self._read_buffer.writable()
        if len(memory) > SHORT_READ_BYTES:
            return memory
        unused_bytes = self.front.reserved_bytes - self._charge.size
        return memory[: max(SHORT_SLICE_BYTES, unused_bytes)]

    def buffer_updated(self, size: int) -> None:
        """Take bytes that were read; reject the input if it is invalid and no earlier response is due."""
        if self.closing:
            if self.lingering is not None:
                self.lingering.received(size)
            return
        now = self.front.now()
        self.last_progress = now
        if self.reader.error:
            return
        arrived_at = now
        if self._unread_since:
            arrived_at = self._unread_since
            if size < len(self.get_buffer(size)):
                self._unread_since = 0.0
        data = self._read_buffer.read(size)
        self._begin_turn(now)
        is_short = not self._queue.size and size <= self._slice_bytes()
        if is_short and self._units_left > 0 and self._may_parse():
            self._units_left -= self._parse(Piece(data, arrived_at))
            self._used_up = self._units_left <= 0
        else:
            if not self.in_message:
                self.message_started = now
            self._charge.add(size)
            self._queue.add(data, arrived_at)
        self._advance()

    # ---- parsing

    def advance(self) -> None:
        """Parse and serve as much as may be parsed and served in this turn of the event loop."""
        if self._has_work():
            self._begin_turn(self.front.now())
        self._advance()

    def take_turn(self) -> None:
        """Parse and serve a part of the input that has waited for another turn of the event loop."""
        self._waits_for_turn = False
        self._turn = self.front.input_turns.number
        self._units_left = MAX_UNITS_PER_TURN
        self._advance()

    def _begin_turn(self, now: float) -> None:
        """Update the units that are left in this turn of the event loop. now: on the engine's clock."""
        turns = self.front.input_turns
        if not turns.is_open(now):
            self._used_up = self._turn == turns.number and self._units_left <= 0
            self._units_left = 0
        elif self._turn != turns.number:
            self._turn = turns.number
            self._units_left = MAX_UNITS_PER_TURN

    def _has_work(self) -> bool:
        """Return whether there is input that can be parsed, served or rejected now."""
        if self._queue.size and self._may_parse():
            return True
        return not self.exchange_is_open() and (bool(self.pipelined_requests) or self.reader.error > 0)

    @abstractmethod
    def exchange_is_open(self) -> bool:
        """Return whether a request is being served."""

    def _advance(self) -> None:
        """Parse and serve as many units as are left in this turn, and wait for another one with the rest."""
        if self._advancing:
            return
        self._advancing = True
        try:
            while self._units_left > 0 and (units := self._step()):
                self._units_left -= units
                self._used_up = self._units_left <= 0
        finally:
            self._advancing = False
        if self._units_left <= 0 and not self._waits_for_turn and self._has_work():
            self._waits_for_turn = True
            self.front.input_turns.wait(self, continued=self._used_up)
        self.update_reading()

    def _step(self) -> int:
        """Take one step of parsing or serving; return its units, 0 if there is nothing to do now."""
        if self.closing or self._waits_for_turn:
            return 0
        if self.serve_waiting():
            return REQUEST_UNITS
        if self._queue.size and self._may_parse():
            return self._parse(self._queue.take(self._slice_bytes()))
        return 0

    def _slice_bytes(self) -> int:
        return SHORT_SLICE_BYTES if self.front.budget.is_exhausted() else SLICE_BYTES

    def _may_parse(self) -> bool:
        return not (
            self.reader.error
            or self.pipelined_requests.full
            or self.paused_at
            or self.write_blocked
            or self._waits_for_turn
        )

    def _parse(self, piece: Piece) -> int:
        """Parse bytes and charge what is held of them; return their units."""
        data, self.arrived_at = piece
        if not self.reader.in_message:
            self.message_started = self.front.now()
            self.paused_s = 0.0
            self.reader.begin_message()
        units = self.reader.units
        self.reader.feed(data)
        self._update_charge()
        if self.front.budget.is_exhausted() and self._needs_more_than_reserved():
            self.pause_for_memory()
        return 1 + self.reader.units - units

    def _update_charge(self) -> None:
        if self.reader.error:
            self._queue.clear()  # nothing is parsed after an error
        self._charge.set(self._queue.size + self.reader.held_bytes)

    def _needs_more_than_reserved(self) -> bool:
        """Return whether the connection holds more than it may without memory, and more has to be read."""
        held_bytes = self._charge.size + self.pipelined_requests.held_bytes
        if held_bytes <= self.front.reserved_bytes:
            return False
        return not self._queue.size or self.reader.missing_body_bytes() > self._queue.size

    @abstractmethod
    def serve_waiting(self) -> bool:
        """Serve the next pipelined request, or reject invalid input; return whether a request was served."""

    @abstractmethod
    def head_expects_continue(self) -> None:
        """Ask for the body with a 100 response, see RequestSink."""

    @abstractmethod
    def request_completed(self) -> None:
        """Queue the request that was read, see RequestSink."""

    def release_input(self) -> None:
        """Drop all input that is not part of a complete request."""
        self._queue.clear()
        self.reader.drop_request()
        self._charge.set(0)

    # ---- pauses

    def pause_for_memory(self) -> None:
        """Parse no more of the input until there is memory."""
        self.paused_at = self.paused_at or self.front.now()
        self.update_reading()

    def end_memory_pause(self) -> None:
        """Resume parsing if it was paused for lack of memory."""
        if self.paused_at:
            self.paused_s = self.waited_for_memory_s(self.front.now())
            self.paused_at = 0.0
            self.advance()

    def waited_for_memory_s(self, now: float) -> float:
        """Return how long the present request has waited for memory. now: on the engine's clock."""
        return self.paused_s + (now - self.paused_at if self.paused_at else 0.0)

    def update_reading(self) -> None:
        """Pause or resume reading, by what prevents that the bytes already read are parsed."""
        if self._may_read():
            if not self._reading_paused or self.transport.is_closing():
                return
            self._reading_paused = False
            self.front.resume_reading(self)
            if not self._has_event(select.POLLIN):
                self._unread_since = 0.0
                self.paused_s = 0.0
        elif not self._reading_paused and not self.transport.is_closing():
            self._reading_paused = True
            if self.pipelined_requests:  # what arrives behind them is a request of its own
                self._unread_since = self._unread_since or self.front.now()
            self.front.pause_reading(self)

    def _may_read(self) -> bool:
        if self.closing:
            return True
        if self.paused_at or self.reader.error:
            return False
        if self._waits_for_turn:
            # Most clients send no more before they are answered: reading need not be paused.
            return self._queue.size <= SLICE_BYTES
        if not self._queue.size:
            return True
        budget = self.front.budget
        return self._queue.size < MAX_QUEUED_BYTES and budget.used < MAX_BUDGET_SHARE * budget.bound()

    # ---- RequestSink: events of the request reader

    @property
    def service_classes(self) -> Collection[str]:
        """The service classes of the settings in force."""
        return self.front.engine.classes

    def upgrade_requested(self) -> None:
        """Ignore the upgrade: answer the request as a plain one, and close the connection after it."""
        if not self.reader.error:
            self.pipelined_requests[-1].exchange.keep_alive = False
        self.reader.fail(responses.BAD_REQUEST)
