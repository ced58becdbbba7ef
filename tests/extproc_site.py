"""Test site of the external processor: upstreams, a balancer in this process, and calling proxies."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

from envoy.service.ext_proc.v3 import external_processor_pb2 as proto
from peers import SETTINGS, wait_until

from quartzford.backends.caller import CallerBackend
from quartzford.fronts.extproc.service import ExtprocFront
from quartzford.node import Node
from quartzford.settings.configuration import read_config
from quartzford.settings.operator_settings import ExtprocSettings
from standins.caller import CallerPolicy, CallerProxy, Exchange, Headers, request_rows
from standins.upstream import StandInUpstream, start_upstreams

EFFECT = {"read": "free", "book": "guarded", "pay": "single_shot"}


class ExtprocSite:
    """Stand-in upstreams with a journal, a balancer with the external processor enabled, and its callers."""

    def __init__(self, upstreams: int = 3, workers: int = 0, settings: Any = None, **extproc: Any) -> None:
        self.upstream_count, self.settings = upstreams, SETTINGS | (settings or {})
        self.extproc = ExtprocSettings(listen="127.0.0.1:0", workers=workers, **extproc)
        self.callers: list[CallerProxy] = []
        self.request_count = 0

    async def __aenter__(self) -> ExtprocSite:
        def make_upstream(number: int, journal: Any) -> StandInUpstream:
            return StandInUpstream(f"s{number}", journal, block=number // 2)

        self.upstreams, self.journal, self.registry = await start_upstreams(
            self.upstream_count, make_upstream
        )
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "5",
            "discovery": f"127.0.0.1:{self.registry.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.registry.complete(),
            "settings": self.settings,
        }
        self.config = read_config(json.dumps(config))
        node = self.node = Node(self.config, asyncio.get_running_loop())
        self.backend = CallerBackend(node.engine, node.clock, self.extproc.decision_valid_ms / 1000.0)
        node.followers.append(self.backend)
        names = self.config.report_names
        self.front = ExtprocFront(self.extproc, names, node.engine, self.backend, node.clock, node.log)
        await node.start()
        await self.front.start()
        await wait_until(lambda: node.watch.ever_answered)
        if self.extproc.workers:
            await wait_until(lambda: len(self.ports()) == self.extproc.workers, 30)
        return self

    def ports(self) -> list[int]:
        """Return the ports of the processor's workers that are listening."""
        return [channel.port for channel in self.front.channels if channel.port]

    async def __aexit__(self, *error: object) -> None:
        for caller in self.callers:
            await caller.close()
        await self.front.stop()
        self.node.watch.stop()
        self.node.front.stop_listening()
        await self.registry.stop()
        for upstream in self.upstreams:
            await upstream.stop()

    def caller(self, **policy: Any) -> CallerProxy:
        """Return a new calling proxy with this CallerPolicy; the site closes it at its end."""
        caller = CallerProxy(f"127.0.0.1:{self.front.port}", CallerPolicy(**policy), random.Random(7))
        self.callers.append(caller)
        return caller

    def exchange(self, name: str = "read", identity: str = "") -> Exchange:
        """Return the record of a new request of this service class."""
        self.request_count += 1
        return Exchange(identity or f"c{self.request_count}", name, self.node.clock.now())

    async def submit(
        self,
        caller: CallerProxy,
        name: str = "read",
        *,
        left_s: float = 2.5,
        drop: str = "",
        identity: str = "",
        extra: tuple[tuple[str, str], ...] = (),
    ) -> Exchange:
        """Send one client request through the caller and wait until it ends.

        left_s: the client's remaining time. drop: the stage at which the client disconnects, if any.
        """
        exchange = self.exchange(name, identity)
        key = f"k-{exchange.identity}" if name == "book" else ""
        rows = [*request_rows(exchange.identity, name, left_s, "acme", key), *extra]
        return await caller.handle(exchange, rows, left_s + 0.5, drop)

    def execution_count(self, identity: str) -> int:
        """Return how many times upstreams executed a request."""
        return sum(run.identity == identity for run in self.journal.runs)

    def open_requests(self) -> int:
        """Return the number of requests that the external processor keeps state of."""
        return len(self.front.service.requests)


class RawStream:
    """One processing stream of a caller, which the test drives message by message."""

    def __init__(self, caller: CallerProxy, opens_request: bool = False) -> None:
        metadata = (("x-quartzford-role", "open"),) if opens_request else ()
        self.call = caller.process(metadata=metadata)
        self.headers = Headers([])

    async def submit(self, rows: list[tuple[str, str]], raw: bool = True) -> Any:
        """Request a decision, apply the reply's mutation to `headers`, and return the reply."""
        self.headers = Headers(list(rows))
        message = proto.ProcessingRequest(request_headers=self.headers.message(raw, True))
        reply = await self.exchange(message)
        self.headers.mutate(reply.request_headers.response.header_mutation, True)
        return reply

    async def exchange(self, message: Any) -> Any:
        """Send a message and return the reply."""
        await self.call.write(message)
        return await asyncio.wait_for(self.call.read(), 20)

    async def report(self, status: int, *rows: tuple[str, str], details: str = "via_upstream") -> Any:
        """Report an attempt's response, apply the reply's mutation to `answer`, and return the reply."""
        answer = Headers([(":status", str(status)), *rows])
        message = proto.ProcessingRequest(response_headers=answer.message(True, True))
        fields = message.attributes["envoy.filters.http.ext_proc"].fields
        fields["response.code_details"].string_value = details
        reply = await self.exchange(message)
        answer.mutate(reply.response_headers.response.header_mutation, True)
        self.answer = answer
        return reply

    def address(self) -> str:
        """Return the address of the upstream that was chosen."""
        return self.headers.get("x-quartzford-destination")

    def token(self) -> tuple[str, str]:
        """Return the header that associates a later stream with this stream's request."""
        return ("x-quartzford-token", self.headers.get("x-quartzford-token"))

    def drop(self) -> None:
        """Cancel the stream."""
        self.call.cancel()


def immediate_status(reply: Any) -> int:
    """Return the status of an ImmediateResponse; 0 if the reply is of another type."""
    code: int = reply.immediate_response.status.code
    return code


def request_headers(identity: str, name: str = "pay", *extra: tuple[str, str], left_s: float = 2.5) -> Any:
    """Return the headers of a client's request of this service class, followed by `extra`."""
    key = f"k-{identity}" if name == "book" else ""
    return [*request_rows(identity, name, left_s, "acme", key), *extra]
