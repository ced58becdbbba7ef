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

PROCESS_PATH = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
ROLE_HEADER = b"x-quartzford-role"
OPENER_ROLE = b"open"
LISTEN_BACKLOG = 1024
MAX_MESSAGE_BYTES = 256 * 1024
MAX_QUEUED_MESSAGES = 16  # messages of one stream that came ahead of a reply
STREAM_GRACE_S = 2.0  # a stream is open for the longest deadline and so much more, whatever its caller does
SWEEP_INTERVAL_S = 0.25
MIN_ATTEMPT_TIMEOUT_S = 0.001  # time-outs are written in whole ms, and 0 of them would mean none
MESSAGE_PREFIX_BYTES = 5  # of a gRPC message: whether it is compressed, and its length
DRAIN_POLL_INTERVAL_S = 0.02
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
        "decision_sent",
        "reply_pending",
        "opened_at",
        "headers_sent",
        "buffer",
        "queue",
        "half_closed",
    )

    def __init__(self, caller: CallerConnection, number: int, opens: bool, now: float) -> None:
        super().__init__(self._replied)
        self.caller = caller
        self.number = number
        self.opens = opens
        self.opened_at = now
        self.decision_sent = False  # got a destination or a token, and may report on it
        self.reply_pending = False  # a reply is due
        self.headers_sent = False  # our headers are out
        self.half_closed = False  # the caller writes no more
        self.buffer = b""
        self.queue: deque[bytes] = deque()

    def feed(self, data: bytes, end: bool) -> None:
        """Bytes of length-prefixed messages; end: the caller writes no more."""
        self.half_closed = self.half_closed or end
        self.buffer = self.buffer + data if self.buffer else data
        while len(self.buffer) >= MESSAGE_PREFIX_BYTES:
            size = int.from_bytes(self.buffer[1:5], "big")
            if self.buffer[0]:
                return self.caller.finish(self, UNIMPLEMENTED, "no compression was offered")
            if size > MAX_MESSAGE_BYTES or len(self.queue) >= MAX_QUEUED_MESSAGES:
                return self.caller.finish(self, RESOURCE_EXHAUSTED, "more than is read ahead")
            message_end = MESSAGE_PREFIX_BYTES + size
            if len(self.buffer) < message_end:
                break
            self.queue.append(self.buffer[MESSAGE_PREFIX_BYTES:message_end])
            self.buffer = self.buffer[message_end:]
        self.advance()

    def advance(self) -> None:
        """One message after the other; the next one waits for the reply to the one before."""
        while self.queue and not self.reply_pending and not self.closed:
            try:
                self._handle_message(proto.ProcessingRequest.FromString(self.queue.popleft()))
            except DecodeError:
                return self.caller.finish(self, INVALID_ARGUMENT, "not a ProcessingRequest")
        if self.half_closed and not self.reply_pending and not self.closed:
            if self.buffer:
                return self.caller.finish(self, INVALID_ARGUMENT, "half a message")
            self.caller.finish(self, OK, "")

    def _handle_message(self, request: Any) -> None:
        processor = self.caller.processor
        kind = request.WhichOneof("request")
        if kind is None:
            raise DecodeError("no phase is set")
        if kind == "request_headers" and not self.decision_sent:
            decision_request = processor.reader.read_request(request.request_headers, self.opens)
            if isinstance(decision_request, Failed):
                return self._send(processor.writer.write(decision_request, processor.clock.now()))
            self.reply_pending = True
            return processor.link.request_decision(self, decision_request)
        if kind == "response_headers" and self.decision_sent and not self.opens:
            self.decision_sent = False
            self.reply_pending = True
            return processor.link.report_result(self, processor.reader.read_response(request))
        return self._send(processor.writer.neutral_replies[kind])

    def _replied(self, reply: Reply) -> None:
        if isinstance(reply, DeadlineExceeded):
            return self.caller.finish(self, DEADLINE_EXCEEDED, "the request's time is over")
        if not self.reply_pending:
            return
        processor = self.caller.processor
        now = processor.clock.now()
        if isinstance(reply, Decision) and is_expired(reply, now):
            return processor.link.decision_expired(self)
        self.reply_pending = False
        self.decision_sent = isinstance(reply, Decision | RequestOpened)
        self._send(processor.writer.write(reply, now))
        self.advance()

    def _send(self, message: bytes) -> None:
        connection = self.caller.connection
        if not self.headers_sent:
            self.headers_sent = True
            connection.send_headers(self.number, RESPONSE_HEADERS)
        connection.send_data(self.number, b"\0" + len(message).to_bytes(4, "big") + message)
        self.caller.flush()


def is_expired(decision: Decision, now: float) -> bool:
    """Whether it is too late to write the decision: the server may drain by now, or the time is over."""
    return now > decision.valid_until or decision.server_deadline - now < MIN_ATTEMPT_TIMEOUT_S


class CallerConnection(asyncio.Protocol):
    """One connection of a calling proxy."""

    transport: asyncio.Transport

    def __init__(self, processor: Processor) -> None:
        self.processor = processor
        self.connection: http2.ServerConnection = http2.ServerConnection(
            self, processor.max_streams, processor.max_header_list_bytes
        )
        self.extproc_streams: dict[int, ExtprocStream] = {}
        self.flush_scheduled = False

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
            self._close_all_streams()

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio.Protocol: all its streams are closed."""
        self.processor.callers.discard(self)
        self._close_all_streams()

    def _close_all_streams(self) -> None:
        extproc_streams, self.extproc_streams = self.extproc_streams, {}
        for extproc_stream in extproc_streams.values():
            self._close_stream(extproc_stream)

    def flush(self) -> None:
        """Write, at the end of this iteration of the loop, all that was sent in it."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.processor.loop.call_soon(self._write)

    def _write(self) -> None:
        self.flush_scheduled = False
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
        if read.get(b":method") != b"POST" or read.get(b":path") != PROCESS_PATH:
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
            self._close_stream(extproc_stream)

    # ---- ends

    def _close_stream(self, extproc_stream: ExtprocStream) -> None:
        if not extproc_stream.closed:
            self.processor.streams -= 1
            self.processor.link.stream_closed(extproc_stream, extproc_stream.reply_pending)
            extproc_stream.closed = True

    def finish(self, extproc_stream: ExtprocStream, status: int, grpc_message: str) -> None:
        """Trailers end the stream; where the caller still writes to it, it is reset."""
        if self.extproc_streams.pop(extproc_stream.number, None) is None:
            return
        self._trailers(extproc_stream.number, extproc_stream.headers_sent, status, grpc_message)
        self._close_stream(extproc_stream)

    def _reject(self, stream: int, status: int, grpc_message: str) -> None:
        self._trailers(stream, False, status, grpc_message)

    def _trailers(self, stream: int, headers_sent: bool, status: int, grpc_message: str) -> None:
        trailers = OK_TRAILERS
        if status != OK:
            trailers = http2.encode_header_block(
                ((b"grpc-status", b"%d" % status), (b"grpc-message", grpc_message.encode()))
            )
        self.connection.send_headers(
            stream, trailers if headers_sent else RESPONSE_HEADERS + trailers, end_stream=True
        )
        self.connection.reset(stream, http2.ErrorCode.NO_ERROR)  # if its caller has not ended it
        self.flush()


class Processor:
    """The service: connections of callers, and what they all need. most_streams: of each connection."""

    def __init__(
        self,
        link: DecisionLink,
        names: HeaderNames,
        max_deadline_s: float,
        max_streams: int,
        clock: Clock,
        log: Log,
    ) -> None:
        self.link = link
        self.clock = clock
        self.log = log
        self.max_streams = max_streams
        self.loop = asyncio.get_running_loop()
        self.callers: set[CallerConnection] = set()
        self.streams = 0
        self.max_header_list_bytes = 32 * 1024
        self.listener: Listener | None = None
        self.configure(names, max_deadline_s)
        clock.call_later(SWEEP_INTERVAL_S, self._close_old_streams)

    def configure(self, names: HeaderNames, max_deadline_s: float) -> None:
        """Header names in force, and the longest deadline in seconds."""
        self.reader = HeaderReader(names)
        self.writer = ReplyWriter(names)
        self.max_stream_s = max_deadline_s + STREAM_GRACE_S

    async def listen(self, address: str) -> int:
        """Serve on host:port (port 0: the kernel's choice), which other processes may share; the port."""
        host, _, port = address.rpartition(":")
        listen_address = host.strip("[]"), int(port)
        listening = await listen_with_retries(
            lambda: bind_all_addresses(listen_address, LISTEN_BACKLOG, shared=True)
        )
        self.listener = Listener(listening, lambda: CallerConnection(self), self.clock, self.loop)
        self.listener.start()
        bound: int = listening[0].getsockname()[1]
        return bound

    def _close_old_streams(self) -> None:
        """No stream outlives its time, whatever its caller does."""
        opened_before = self.clock.now() - self.max_stream_s
        for caller in list(self.callers):
            # In the order of their beginning: the first young one ends the search.
            for extproc_stream in list(caller.extproc_streams.values()):
                if extproc_stream.opened_at > opened_before:
                    break
                caller.finish(extproc_stream, DEADLINE_EXCEEDED, "the stream's time is over")
        self.clock.call_later(SWEEP_INTERVAL_S, self._close_old_streams)

    async def stop(self, grace_s: float) -> None:
        """GOAWAY to all; streams that are open finish, in so many seconds at most."""
        if self.listener is not None:
            self.listener.close()
            await self.listener.opened()
        for caller in self.callers:
            caller.connection.go_away()
            caller.flush()
        close_at = self.clock.now() + grace_s
        while self.streams and self.clock.now() < close_at:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        for caller in list(self.callers):
            caller._write()
            caller.transport.close()
