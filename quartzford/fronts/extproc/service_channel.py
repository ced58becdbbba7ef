"""The deciding process's end of a worker's channel (`channel_messages.py`)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from quartzford.engine import Log
from quartzford.fronts.extproc.attempt_result import AttemptResult
from quartzford.fronts.extproc.channel_messages import (
    ATTEMPT_RESULT,
    BOUND_PORT,
    DECISION_EXPIRED,
    DECISION_REQUEST,
    REPLY_TAGS,
    STREAM_CLOSED,
    Message,
)
from quartzford.fronts.extproc.decision_messages import DecisionRequest, Reply
from quartzford.fronts.extproc.decision_service import DecisionService
from quartzford.fronts.extproc.json_lines import JsonLinesProtocol
from quartzford.fronts.extproc.message_queue import MessageQueue
from quartzford.fronts.extproc.remote_request import Stream

MAX_TURN_S = 0.004  # time spent on one channel before other work, above all drains, gets a turn
MAX_CHANNEL_QUEUED_MESSAGES = 8_192  # above this the channel is not read


class ServiceChannel(JsonLinesProtocol):
    """One worker's channel. initial_message: returns the fields of the message that configures the worker.

    Queued messages are handled in short turns, in the order of `MessageQueue`: an overload of this process
    must delay neither an endpoint list with a drain nor the end of an attempt in flight.
    """

    def __init__(
        self,
        service: DecisionService,
        log: Log,
        channels: set[ServiceChannel],
        initial_message: Callable[[], tuple[Any, ...]],
    ) -> None:
        super().__init__()
        self.service = service
        self.log = log
        self.channels = channels
        self.initial_message = initial_message
        self.streams: dict[int, Stream] = {}
        self.port = 0
        self.queue = MessageQueue(self._priority_weight)
        self.turn_scheduled = False
        self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio.Protocol: configure the worker."""
        super().connection_made(transport)
        self.channels.add(self)
        self.configure()

    def configure(self) -> None:
        """Send the worker its current configuration."""
        self.send(*self.initial_message())

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio.Protocol: the worker has died; close all its streams."""
        self.channels.discard(self)
        streams = self.streams
        self.streams = {}
        self.queue = MessageQueue(self._priority_weight)
        for stream in streams.values():
            self.service.stream_closed(stream)

    def messages_received(self, messages: list[Message]) -> None:
        """Queue messages, and pause reading if more than MAX_CHANNEL_QUEUED_MESSAGES wait."""
        for message in messages:
            self.queue.add(message)
        if not self.paused and len(self.queue) > MAX_CHANNEL_QUEUED_MESSAGES:
            self.paused = True
            self.transport.pause_reading()
        if not self.turn_scheduled:
            self._run_turn()

    def _priority_weight(self, name: str) -> float:
        service_class = self.service.engine.classes.get(name)
        return service_class.priority_weight if service_class is not None else 0.0

    def _run_turn(self) -> None:
        now = self.service.clock.now
        turn_end = now() + MAX_TURN_S
        while now() < turn_end and (message := self.queue.next_message()) is not None:
            try:
                self._dispatch(message)
            except Exception:
                self.log.exception("line")
        self._flush()
        self.turn_scheduled = bool(len(self.queue))
        if self.turn_scheduled:
            self.loop.call_soon(self._run_turn)
        elif self.paused:
            self._resume_reading()

    def _resume_reading(self) -> None:
        self.paused = False
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _dispatch(self, message: Message) -> None:
        tag, number = message[0], message[1]
        if tag == DECISION_REQUEST:
            stream = self.streams.get(number) or self._open_stream(number)
            self.service.request_decision(stream, DecisionRequest(*message[3:]), message[2])
        elif tag == ATTEMPT_RESULT:
            code, report, faulted = message[2:]
            self.service.report_result(self.streams[number], AttemptResult(code, tuple(report), faulted))
        elif tag == STREAM_CLOSED:
            closed = self.streams.pop(number, None)
            if closed is not None:
                self.service.stream_closed(closed, message[2])
        elif tag == DECISION_EXPIRED:
            self.service.decision_expired(self.streams[number])
        elif tag == BOUND_PORT:
            self.port = number

    def _open_stream(self, number: int) -> Stream:
        def send_reply(reply: Reply) -> None:
            """Send the reply to the worker under the stream's number."""
            self.send(REPLY_TAGS[type(reply)], number, *reply)

        stream = Stream(send_reply)
        self.streams[number] = stream
        return stream
