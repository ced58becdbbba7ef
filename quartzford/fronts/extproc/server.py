"""The gRPC side: streams of envoy.service.ext_proc.v3.ExternalProcessor/Process, each tied to the desk.

A process that serves gRPC need not be the one that decides: `Link` is the desk itself, or a line to it.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

import grpc
from envoy.service.ext_proc.v3 import external_processor_pb2 as proto
from google.protobuf.message import DecodeError

from quartzford.engine import Log
from quartzford.fronts.extproc.desk import Ask, Cut, Desk, Failed, Opened, Passed, Reply, Stream, Told
from quartzford.fronts.extproc.messages import Names, Reader, Writer
from quartzford.fronts.extproc.outcome import Result

SERVICE, METHOD = "envoy.service.ext_proc.v3.ExternalProcessor", "Process"
ROLE, OPENS = "x-quartzford-role", "open"
MESSAGE_BYTES = 256 * 1024
STREAM_SPARE_S = 2.0  # a stream lives for the longest deadline and so much more, whatever its caller does


class Link(Protocol):
    """The way to the desk, for one stream after another."""

    def open(self, stream: Stream) -> None: ...

    def ask(self, stream: Stream, ask: Ask) -> None: ...

    def report(self, stream: Stream, result: Result) -> None: ...

    def drop(self, stream: Stream) -> None: ...


class Direct:
    """The desk in this very process."""

    def __init__(self, desk: Desk) -> None:
        self.ask, self.report, self.drop = desk.ask, desk.report, desk.drop

    def open(self, stream: Stream) -> None:
        return None


class Wire(Stream):
    """A stream with its gRPC side."""

    __slots__ = ("task", "reply_to", "cut", "told")

    def __init__(self) -> None:
        super().__init__(self._replied)
        self.task = asyncio.current_task()
        self.reply_to: asyncio.Future[Reply] | None = None
        self.cut = self.told = False

    def expect(self, loop: asyncio.AbstractEventLoop) -> asyncio.Future[Reply]:
        self.reply_to = loop.create_future()
        return self.reply_to

    def _replied(self, reply: Reply) -> None:
        waiter, self.reply_to = self.reply_to, None
        if waiter is not None and not waiter.done():
            waiter.set_result(reply)
        elif isinstance(reply, Cut) and self.task is not None:
            self.cut = True
            self.task.cancel()


class Processor:
    """The service. At most `most_streams` at a time; further ones are turned away with UNAVAILABLE."""

    def __init__(self, link: Link, names: Names, longest_s: float, most_streams: int, log: Log) -> None:
        self.link, self.log, self.most_streams = link, log, most_streams
        self.loop = asyncio.get_running_loop()
        self.streams = 0
        self.configure(names, longest_s)

    def configure(self, names: Names, longest_s: float) -> None:
        self.reader, self.writer, self.stream_s = Reader(names), Writer(names), longest_s + STREAM_SPARE_S

    def handler(self) -> grpc.GenericRpcHandler:
        # Bytes in and out: what can't be parsed is our own to answer, and constant replies are made once.
        method = grpc.stream_stream_rpc_method_handler(self.process)
        return grpc.method_handlers_generic_handler(SERVICE, {METHOD: method})

    async def process(self, _: Any, context: Any) -> None:
        if self.streams >= self.most_streams:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "too many streams")
        wire = Wire()
        self.streams += 1
        self.link.open(wire)
        try:
            async with asyncio.timeout(self.stream_s):
                await self._talk(wire, context)
        except TimeoutError:
            await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "the stream's time is over")
        except asyncio.CancelledError:
            if not wire.cut:
                raise
            await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "the request's time is over")
        except DecodeError:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "not a ProcessingRequest")
        finally:
            self.streams -= 1
            self.link.drop(wire)

    async def _talk(self, wire: Wire, context: Any) -> None:
        opens = any(key == ROLE and value == OPENS for key, value in context.invocation_metadata() or ())
        while True:
            data = await context.read()
            if data is grpc.aio.EOF:
                return
            request = proto.ProcessingRequest.FromString(data)
            kind = request.WhichOneof("request")
            if kind == "request_headers" and not wire.told:
                ask = self.reader.ask(request.request_headers, opens)
                reply: Reply = Failed(ask) if isinstance(ask, int) else await self._ask(wire, ask)
                wire.told = isinstance(reply, Told | Opened)
            elif kind == "response_headers" and wire.told and not opens:
                wire.told = False
                waiter = wire.expect(self.loop)
                self.link.report(wire, self.reader.result(request))
                reply = await waiter
            elif kind is None:
                raise DecodeError("no phase is set")
            else:
                await context.write(self.writer.neutral[kind])
                continue
            if isinstance(reply, Cut):
                await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "the request's time is over")
            await context.write(self.writer.write(reply))

    async def _ask(self, wire: Wire, ask: Ask) -> Reply:
        waiter = wire.expect(self.loop)
        self.link.ask(wire, ask)
        return await waiter


async def start_server(processor: Processor, address: str) -> tuple[Any, int]:
    """A server on host:port (port 0: the kernel's choice), shared with other processes. Its port with it."""
    server = grpc.aio.server(
        options=(
            ("grpc.so_reuseport", 1),
            ("grpc.max_receive_message_length", MESSAGE_BYTES),
            ("grpc.max_metadata_size", 16 * 1024),
            ("grpc.max_concurrent_streams", processor.most_streams),
            ("grpc.http2.max_ping_strikes", 0),
        )
    )
    server.add_generic_rpc_handlers((processor.handler(),))
    port = server.add_insecure_port(address)
    await server.start()
    return server, port


__all__ = ["Direct", "Link", "Passed", "Processor", "Wire", "start_server"]
