"""The gRPC side: streams of envoy.service.ext_proc.v3.ExternalProcessor/Process, and their connections.

gRPC over HTTP/2 as its protocol page (PROTOCOL-HTTP2.md of gRPC) has it, for this one method. Everything here
is called back: a stream costs no task and no timer. A process that serves gRPC need not be the one that
decides: `DecisionLink` is the service itself, or a channel to it.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any, cast

from envoy.service.ext_proc.v3 import external_processor_pb2 as proto
from google.protobuf.message import DecodeError

from quartzford.engine import Clock, Log
from quartzford.fronts.extproc.decision_link import DecisionLink
from quartzford.fronts.extproc.decision_messages import (
    DeadlineExceeded,
    Decision,
    Failed,
    Reply,
    RequestOpened,
)
from quartzford.fronts.extproc.messages import HeaderNames, HeaderReader, ReplyWriter
from quartzford.fronts.extproc.remote_request import Stream
from quartzford.fronts.listener import Listener, bind_all_addresses, listen_with_retries
from quartzford.protocols import http2

PATH = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
ROLE_HEADER = b"x-quartzford-role"
OPENER_ROLE = b"open"
BACKLOG = 1024
MAX_MESSAGE_BYTES = 256 * 1024
MAX_READ_AHEAD = 16  # messages of one stream that came ahead of a reply
STREAM_GRACE_S = 2.0  # a stream is open for the longest deadline and so much more, whatever its caller does
SWEEP_INTERVAL_S = 0.25
MIN_REMAINING_S = 0.001  # time-outs are written in whole ms, and 0 of them would mean none
FRAME_HEADER_BYTES = 5  # of a gRPC message: whether it is compressed, and its length
DRAIN_POLL_S = 0.02
# gRPC status codes
OK = 0
INVALID_ARGUMENT = 3
DEADLINE_EXCEEDED = 4
RESOURCE_EXHAUSTED = 8
UNIMPLEMENTED = 12
RESPONSE_HEADERS = http2.encode_header_block(((b":status", b"200"), (b"content-type", b"application/grpc")))
OK_TRAILERS = http2.encode_header_block(((b"grpc-status", b"0"),))


class ExtprocStream(Stream):
    """A stream with its gRPC side.

    opens: it registers a request and gets a token, and makes no attempt. now: seconds.
    """

    __slots__ = (
        "caller",
        "number",
        "opens",
        "decided",
        "busy",
        "begun",
        "answered",
        "buffer",
        "queue",
        "ended",
    )

    def __init__(self, caller: CallerConnection, number: int, opens: bool, now: float) -> None:
        super().__init__(self._replied)
        self.caller = caller
        self.number = number
        self.opens = opens
        self.begun = now
        self.decided = False  # got a destination or a token, and may report on it
        self.busy = False  # a reply is due
        self.answered = False  # our headers are out
        self.ended = False  # the caller writes no more
        self.buffer = b""
        self.queue: deque[bytes] = deque()

    def feed(self, data: bytes, end: bool) -> None:
        """Bytes of length-prefixed messages; end: the caller writes no more."""
        self.ended = self.ended or end
        self.buffer = self.buffer + data if self.buffer else data
        while len(self.buffer) >= FRAME_HEADER_BYTES:
            size = int.from_bytes(self.buffer[1:5], "big")
            if self.buffer[0]:
                return self.caller.finish(self, UNIMPLEMENTED, "no compression was offered")
            if size > MAX_MESSAGE_BYTES or len(self.queue) >= MAX_READ_AHEAD:
                return self.caller.finish(self, RESOURCE_EXHAUSTED, "more than is read ahead")
            frame_end = FRAME_HEADER_BYTES + size
            if len(self.buffer) < frame_end:
                break
            self.queue.append(self.buffer[FRAME_HEADER_BYTES:frame_end])
            self.buffer = self.buffer[frame_end:]
        self.advance()

    def advance(self) -> None:
        """One message after the other; the next one waits for the reply to the one before."""
        while self.queue and not self.busy and not self.over:
            try:
                self._message(proto.ProcessingRequest.FromString(self.queue.popleft()))
            except DecodeError:
                return self.caller.finish(self, INVALID_ARGUMENT, "not a ProcessingRequest")
        if self.ended and not self.busy and not self.over:
            if self.buffer:
                return self.caller.finish(self, INVALID_ARGUMENT, "half a message")
            self.caller.finish(self, OK, "")

    def _message(self, request: Any) -> None:
        processor = self.caller.processor
        kind = request.WhichOneof("request")
        if kind is None:
            raise DecodeError("no phase is set")
        if kind == "request_headers" and not self.decided:
            decision_request = processor.reader.read_request(request.request_headers, self.opens)
            if isinstance(decision_request, Failed):
                return self._send(processor.writer.write(decision_request, processor.clock.now()))
            self.busy = True
            return processor.link.request_decision(self, decision_request)
        if kind == "response_headers" and self.decided and not self.opens:
            self.decided = False
            self.busy = True
            return processor.link.report_result(self, processor.reader.result(request))
        return self._send(processor.writer.neutral[kind])

    def _replied(self, reply: Reply) -> None:
        if isinstance(reply, DeadlineExceeded):
            return self.caller.finish(self, DEADLINE_EXCEEDED, "the request's time is over")
        if not self.busy:
            return
        processor = self.caller.processor
        now = processor.clock.now()
        if isinstance(reply, Decision) and expired(reply, now):
            return processor.link.decision_expired(self)
        self.busy = False
        self.decided = isinstance(reply, Decision | RequestOpened)
        self._send(processor.writer.write(reply, now))
        self.advance()

    def _send(self, message: bytes) -> None:
        connection = self.caller.connection
        if not self.answered:
            self.answered = True
            connection.send_headers(self.number, RESPONSE_HEADERS)
        connection.send_data(self.number, b"\0" + len(message).to_bytes(4, "big") + message)
        self.caller.flush()


def expired(decision: Decision, now: float) -> bool:
    """Whether it is too late to write the decision: the server may drain by now, or the time is over."""
    return now > decision.valid_until or decision.server_deadline - now < MIN_REMAINING_S


class CallerConnection(asyncio.Protocol):
    """One connection of a calling proxy."""

    transport: asyncio.Transport

    def __init__(self, processor: Processor) -> None:
        self.processor = processor
        self.connection: http2.ServerConnection = http2.ServerConnection(
            self, processor.most_streams, processor.list_bytes
        )
        self.extproc_streams: dict[int, ExtprocStream] = {}
        self.flushing = False

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio.Protocol."""
        self.transport = cast(asyncio.Transport, transport)
        self.processor.callers.add(self)
        self.flush()

    def data_received(self, data: bytes) -> None:
        """Part of asyncio.Protocol."""
        self.connection.receive(data)
        self._write()
        if self.connection.over:
            self.transport.close()
            self._drop_all()

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio.Protocol: all its streams are closed."""
        self.processor.callers.discard(self)
        self._drop_all()

    def _drop_all(self) -> None:
        extproc_streams, self.extproc_streams = self.extproc_streams, {}
        for extproc_stream in extproc_streams.values():
            self._drop(extproc_stream)

    def flush(self) -> None:
        """Write, at the end of this iteration of the loop, all that was sent in it."""
        if not self.flushing:
            self.flushing = True
            self.processor.loop.call_soon(self._write)

    def _write(self) -> None:
        self.flushing = False
        if not self.connection.output or self.transport.is_closing():
            return
        self.transport.write(self.connection.take())
        if self.transport.get_write_buffer_size() > http2.MAX_UNSENT_BYTES:
            self.transport.abort()  # it reads nothing

    # ---- http2.Events

    def headers(self, stream_id: int, headers: http2.Headers, end_stream: bool) -> None:
        """A new HTTP/2 stream; what is not this method of gRPC is rejected."""
        processor = self.processor
        read = dict(headers)
        if read.get(b":method") != b"POST" or read.get(b":path") != PATH:
            return self._reject(stream_id, UNIMPLEMENTED, "no such method")
        if not read.get(b"content-type", b"").startswith(b"application/grpc"):
            return self._reject(stream_id, UNIMPLEMENTED, "not gRPC")
        opens = read.get(ROLE_HEADER) == OPENER_ROLE
        extproc_stream = ExtprocStream(self, stream_id, opens, processor.clock.now())
        self.extproc_streams[stream_id] = extproc_stream
        processor.streams += 1
        processor.link.open(extproc_stream)
        if end_stream:
            extproc_stream.feed(b"", True)

    def data(self, stream_id: int, data: bytes, end_stream: bool) -> None:
        """Bytes of a stream's messages."""
        extproc_stream = self.extproc_streams.get(stream_id)
        if extproc_stream is not None:
            extproc_stream.feed(data, end_stream)

    def reset(self, stream_id: int, code: int) -> None:
        """The caller has cancelled a stream."""
        extproc_stream = self.extproc_streams.pop(stream_id, None)
        if extproc_stream is not None:
            self._drop(extproc_stream)

    # ---- ends

    def _drop(self, extproc_stream: ExtprocStream) -> None:
        if not extproc_stream.over:
            self.processor.streams -= 1
            self.processor.link.stream_closed(extproc_stream, extproc_stream.busy)
            extproc_stream.over = True

    def finish(self, extproc_stream: ExtprocStream, status: int, why: str) -> None:
        """Trailers end the stream; where the caller still writes to it, it is reset."""
        if self.extproc_streams.pop(extproc_stream.number, None) is None:
            return
        self._trailers(extproc_stream.number, extproc_stream.answered, status, why)
        self._drop(extproc_stream)

    def _reject(self, stream: int, status: int, why: str) -> None:
        self._trailers(stream, False, status, why)

    def _trailers(self, stream: int, answered: bool, status: int, why: str) -> None:
        trailers = OK_TRAILERS
        if status != OK:
            trailers = http2.encode_header_block(
                ((b"grpc-status", b"%d" % status), (b"grpc-message", why.encode()))
            )
        self.connection.send_headers(
            stream, trailers if answered else RESPONSE_HEADERS + trailers, end_stream=True
        )
        self.connection.reset(stream, http2.ErrorCode.NO_ERROR)  # if its caller has not ended it
        self.flush()


class Processor:
    """The service: connections of callers, and what they all need. most_streams: of each connection."""

    def __init__(
        self,
        link: DecisionLink,
        names: HeaderNames,
        longest_s: float,
        most_streams: int,
        clock: Clock,
        log: Log,
    ) -> None:
        self.link = link
        self.clock = clock
        self.log = log
        self.most_streams = most_streams
        self.loop = asyncio.get_running_loop()
        self.callers: set[CallerConnection] = set()
        self.streams = 0
        self.list_bytes = 32 * 1024
        self.listener: Listener | None = None
        self.configure(names, longest_s)
        clock.call_later(SWEEP_INTERVAL_S, self._sweep)

    def configure(self, names: HeaderNames, longest_s: float) -> None:
        """Header names in force, and the longest deadline in seconds."""
        self.reader = HeaderReader(names)
        self.writer = ReplyWriter(names)
        self.stream_s = longest_s + STREAM_GRACE_S

    async def listen(self, address: str) -> int:
        """Serve on host:port (port 0: the kernel's choice), which other processes may share; the port."""
        host, _, port = address.rpartition(":")
        where = host.strip("[]"), int(port)
        listening = await listen_with_retries(lambda: bind_all_addresses(where, BACKLOG, shared=True))
        self.listener = Listener(listening, lambda: CallerConnection(self), self.clock, self.loop)
        self.listener.start()
        bound: int = listening[0].getsockname()[1]
        return bound

    def _sweep(self) -> None:
        """No stream outlives its time, whatever its caller does."""
        before = self.clock.now() - self.stream_s
        for caller in list(self.callers):
            # In the order of their beginning: the first young one ends the search.
            for extproc_stream in list(caller.extproc_streams.values()):
                if extproc_stream.begun > before:
                    break
                caller.finish(extproc_stream, DEADLINE_EXCEEDED, "the stream's time is over")
        self.clock.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def stop(self, grace_s: float) -> None:
        """GOAWAY to all; streams that are open finish, in so many seconds at most."""
        if self.listener is not None:
            self.listener.close()
            await self.listener.opened()
        for caller in self.callers:
            caller.connection.go_away()
            caller.flush()
        limit = self.clock.now() + grace_s
        while self.streams and self.clock.now() < limit:
            await asyncio.sleep(DRAIN_POLL_S)
        for caller in list(self.callers):
            caller._write()
            caller.transport.close()
