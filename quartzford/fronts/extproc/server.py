"""The gRPC server: connections, and streams of envoy.service.ext_proc.v3.ExternalProcessor/Process.

It implements gRPC over HTTP/2 (PROTOCOL-HTTP2.md of gRPC) for this one method. Streams are handled in
callbacks, so that a stream needs neither a task nor a timer. The decisions may be made in another process:
`DecisionLink` is either the decision service itself or a channel to it.
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
MAX_STREAM_QUEUED_MESSAGES = 16  # messages of one stream that wait for a reply to an earlier one
STREAM_GRACE_S = 2.0  # streams are closed at the age of the longest deadline plus this time
SWEEP_INTERVAL_S = 0.25
MIN_ATTEMPT_TIMEOUT_S = 0.001  # Envoy's time-out header has whole ms, and 0 means no time-out
MESSAGE_PREFIX_BYTES = 5  # prefix of a gRPC message: compressed flag (1 byte) and length (4 bytes)
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
    """One stream with its gRPC state.

    opens: the stream only registers a request and gets its token; it makes no attempt. now: seconds.
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
        self.decision_sent = False  # a decision or a token was sent to the caller; a result may follow
        self.reply_pending = False  # the stream waits for the link's reply to its last message
        self.headers_sent = False  # the response headers were sent
        self.half_closed = False  # the caller has finished writing
        self.buffer = b""
        self.queue: deque[bytes] = deque()

    def feed(self, data: bytes, end: bool) -> None:
        """Handle bytes of length-prefixed messages; end: the caller has finished writing."""
        self.half_closed = self.half_closed or end
        self.buffer = self.buffer + data if self.buffer else data
        while len(self.buffer) >= MESSAGE_PREFIX_BYTES:
            size = int.from_bytes(self.buffer[1:5], "big")
            if self.buffer[0]:
                return self.caller.finish(self, UNIMPLEMENTED, "no compression was offered")
            if size > MAX_MESSAGE_BYTES or len(self.queue) >= MAX_STREAM_QUEUED_MESSAGES:
                return self.caller.finish(self, RESOURCE_EXHAUSTED, "more than is read ahead")
            message_end = MESSAGE_PREFIX_BYTES + size
            if len(self.buffer) < message_end:
                break
            self.queue.append(self.buffer[MESSAGE_PREFIX_BYTES:message_end])
            self.buffer = self.buffer[message_end:]
        self.advance()

    def advance(self) -> None:
        """Handle queued messages in order; each waits for the reply to the one before."""
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
        phase = request.WhichOneof("request")
        if phase is None:
            raise DecodeError("no phase is set")
        if phase == "request_headers" and not self.decision_sent:
            decision_request = processor.reader.read_request(request.request_headers, self.opens)
            if isinstance(decision_request, Failed):
                return self._send(processor.writer.write(decision_request, processor.clock.now()))
            self.reply_pending = True
            return processor.link.request_decision(self, decision_request)
        if phase == "response_headers" and self.decision_sent and not self.opens:
            self.decision_sent = False
            self.reply_pending = True
            return processor.link.report_result(self, processor.reader.read_response(request))
        return self._send(processor.writer.neutral_replies[phase])

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
    """Return whether it is too late to write the decision.

    By then the server may be draining, or too little time is left for an attempt.
    """
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
        """Part of asyncio.Protocol: register the connection and send the HTTP/2 settings."""
        self.transport = cast(asyncio.Transport, transport)
        self.processor.callers.add(self)
        self.flush()

    def data_received(self, data: bytes) -> None:
        """Part of asyncio.Protocol: handle HTTP/2 frames."""
        self.connection.receive(data)
        self._write()
        if self.connection.failed:
            self.transport.close()
            self._close_all_streams()

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio.Protocol: close all streams of the connection."""
        self.processor.callers.discard(self)
        self._close_all_streams()

    def _close_all_streams(self) -> None:
        extproc_streams, self.extproc_streams = self.extproc_streams, {}
        for extproc_stream in extproc_streams.values():
            self._close_stream(extproc_stream)

    def flush(self) -> None:
        """Schedule one write, at the end of this iteration of the event loop, of all output."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.processor.loop.call_soon(self._write)

    def _write(self) -> None:
        self.flush_scheduled = False
        if not self.connection.output or self.transport.is_closing():
            return
        self.transport.write(self.connection.take())
        if self.transport.get_write_buffer_size() > http2.MAX_UNSENT_BYTES:
            self.transport.abort()  # the caller does not read

    # ---- http2.Events

    def headers(self, stream_id: int, headers: http2.Headers, end_stream: bool) -> None:
        """Open a new HTTP/2 stream, or reject it if it does not call the one gRPC method."""
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
        """Pass on a stream's bytes."""
        extproc_stream = self.extproc_streams.get(stream_id)
        if extproc_stream is not None:
            extproc_stream.feed(data, end_stream)

    def reset(self, stream_id: int, code: int) -> None:
        """Close a stream that the caller has cancelled."""
        extproc_stream = self.extproc_streams.pop(stream_id, None)
        if extproc_stream is not None:
            self._close_stream(extproc_stream)

    # ---- ends of streams

    def _close_stream(self, extproc_stream: ExtprocStream) -> None:
        if not extproc_stream.closed:
            self.processor.streams -= 1
            self.processor.link.stream_closed(extproc_stream, extproc_stream.reply_pending)
            extproc_stream.closed = True

    def finish(self, extproc_stream: ExtprocStream, status: int, grpc_message: str) -> None:
        """End the stream with trailers, and reset it in case the caller is still writing to it."""
        if self.extproc_streams.pop(extproc_stream.number, None) is None:
            return
        self._send_trailers(extproc_stream.number, extproc_stream.headers_sent, status, grpc_message)
        self._close_stream(extproc_stream)

    def _reject(self, stream: int, status: int, grpc_message: str) -> None:
        self._send_trailers(stream, False, status, grpc_message)

    def _send_trailers(self, stream: int, headers_sent: bool, status: int, grpc_message: str) -> None:
        trailers = OK_TRAILERS
        if status != OK:
            trailers = http2.encode_header_block(
                ((b"grpc-status", b"%d" % status), (b"grpc-message", grpc_message.encode()))
            )
        self.connection.send_headers(
            stream, trailers if headers_sent else RESPONSE_HEADERS + trailers, end_stream=True
        )
        self.connection.reset(stream, http2.ErrorCode.NO_ERROR)  # in case the caller has not finished writing
        self.flush()


class Processor:
    """The gRPC service: the callers' connections and their shared state. max_streams: of each connection."""

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
        """Apply header names and the longest deadline, in seconds."""
        self.reader = HeaderReader(names)
        self.writer = ReplyWriter(names)
        self.max_stream_s = max_deadline_s + STREAM_GRACE_S

    async def listen(self, address: str) -> int:
        """Listen on host:port (port 0: the kernel chooses), shared with other processes; return the port."""
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
        """Close the streams that are older than max_stream_s, whatever their callers do."""
        opened_before = self.clock.now() - self.max_stream_s
        for caller in list(self.callers):
            # Streams are in the order of their opening: the first one that may stay open ends the search.
            for extproc_stream in list(caller.extproc_streams.values()):
                if extproc_stream.opened_at > opened_before:
                    break
                caller.finish(extproc_stream, DEADLINE_EXCEEDED, "the stream's time is over")
        self.clock.call_later(SWEEP_INTERVAL_S, self._close_old_streams)

    async def stop(self, grace_s: float) -> None:
        """Send GOAWAY to all callers and close; open streams may finish within grace_s seconds."""
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
