"""No attempt begins for a client that has disconnected, even if the event loop is not informed of it yet.

The client disconnects within the call that builds the head of an attempt, after the clock was read. A loop
that is held up is informed of such a late disconnect only after the attempt.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable

import pytest
import uvloop
from peers import (
    BalancerTestbed,
    Message,
    async_test,
    reply,
    request,
    requests,
    responds_with,
    wait_until,
)
from test_endings import LINGER_RESET, connect_raw

from quartzford.engine.pending_request import Attempt
from quartzford.fronts import client_input
from quartzford.fronts.client_input import HANGUP_EVENTS
from quartzford.fronts.exchange import Exchange


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()


DISCONNECTS: dict[str, Callable[[socket.socket], None]] = {
    "FIN": lambda sock: sock.close(),
    "RST": reset,
    "half-close": lambda sock: sock.shutdown(socket.SHUT_WR),
}


class DisconnectAtAttempt:
    """Disconnects a client while the head of the attempt with this index is built."""

    def __init__(
        self, patch: pytest.MonkeyPatch, index: int, disconnect: Callable[[socket.socket], None]
    ) -> None:
        self.index, self.disconnect = index, disconnect
        self.heads = 0
        self.was_paused = False  # reading from the client was paused when it disconnected
        self.client: socket.socket | None = None
        make_head = Exchange.upstream_head

        def upstream_head(exchange: Exchange, left: float) -> bytes:
            head = make_head(exchange, left)
            self.heads += 1
            if self.heads == self.index + 1:
                self._disconnect(exchange)
            return head

        patch.setattr(Exchange, "upstream_head", upstream_head)

    def _disconnect(self, exchange: Exchange) -> None:
        client = exchange.client
        self.was_paused = client in client.front.paused_clients
        assert self.client is not None
        self.disconnect(self.client)
        poll = select.poll()
        poll.register(client.transport.get_extra_info("socket").fileno(), HANGUP_EVENTS)
        assert poll.poll(2000), "the disconnect did not reach the balancer's side"


def forwarded_count(testbed: BalancerTestbed) -> int:
    return sum(len(up.received) for up in testbed.upstreams)


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("where", ["connecting", "kept connection", "retry", "wait", "pipelined", "unread"])
def test_client_disconnect_just_before_write_prevents_attempt(
    where: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """connecting: the connection was just opened; wait: the request waited for a ready upstream."""

    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            before = 0 if where in ("connecting", "wait") else 1
            disconnect_at = DisconnectAtAttempt(monkeypatch, before, DISCONNECTS[how])
            if where == "kept connection":
                assert (await testbed.submit(request())).status == 200
            elif where == "retry":
                for up in testbed.upstreams:
                    up.script = responds_with(reply(b"", "500 Sorry"))
            elif where == "wait":
                testbed.update(testbed.list_row(0, "draining"), testbed.list_row(1, "draining"))
                await wait_until(lambda: not testbed.node.engine.balancer.ready)
            if where == "unread":
                monkeypatch.setattr(client_input, "MAX_QUEUED_BYTES", 100)
            sock = disconnect_at.client = await connect_raw(testbed)
            sock.send(requests({"pipelined": 2, "unread": 40}.get(where, 1)))
            if where == "wait":
                await wait_until(lambda: testbed.node.engine.pending_requests)
                testbed.update(testbed.list_row(0), testbed.list_row(1), complete=True)
            await wait_until(lambda: disconnect_at.heads > before and not testbed.node.front.paused_clients)
            await wait_until(lambda: not testbed.node.engine.pending_requests)
            assert disconnect_at.heads == before + 1 and disconnect_at.was_paused == (where == "unread")
            assert forwarded_count(testbed) == before and testbed.node.engine.counts["client gone"] == 1
            balancer = testbed.node.engine.balancer
            assert (
                balancer.pending_requests == {}
                and balancer.endpoints.shares.total_in_flight == 0
                and testbed.node.budget.used == 0
            )
            sock.close()
            for up in testbed.upstreams:
                up.script = responds_with(reply())
            assert (await testbed.submit(request())).status == 200 and forwarded_count(testbed) == before + 1

    uvloop.run(test())


@async_test
async def test_connection_of_attempt_that_may_not_begin_is_reused() -> None:
    """A fresh connection has no status: the search for an idle one failed, and the next request got a 500."""
    async with BalancerTestbed() as testbed:
        engine = testbed.node.engine
        may_begin, checked = engine.may_begin, []

        def not_at_first(attempt: Attempt) -> bool:
            checked.append(attempt)
            return len(checked) > 1 and may_begin(attempt)

        engine.may_begin = not_at_first  # type: ignore[method-assign]
        assert (await testbed.submit(request())).status == 503  # there is no other upstream
        assert (await testbed.submit(request())).status == 200
        assert testbed.outcomes() == ["moot", "ok"] and len(testbed.upstreams[0].writers) == 1


@async_test
async def test_client_that_leaves_behind_many_unread_requests_gets_no_further_attempt() -> None:
    """Guards against retries for a client whose FIN waits behind requests that are not read."""
    async with BalancerTestbed(2) as testbed:
        gate = asyncio.Event()

        async def fail_late(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(reply(b"", "500 Sorry"))

        for upstream in testbed.upstreams:
            upstream.script = fail_late
        sock = await connect_raw(testbed)
        await wait_until(lambda: testbed.node.front.clients)
        await asyncio.get_running_loop().sock_sendall(sock, requests(12_000))
        await wait_until(lambda: forwarded_count(testbed) == 1)
        sock.close()
        await wait_until(lambda: not testbed.node.engine.pending_requests)
        assert testbed.node.engine.counts["client gone"] == 1 and testbed.outcomes() == ["cancelled"]
        gate.set()
        await wait_until(lambda: not testbed.node.front.clients)
        assert forwarded_count(testbed) == 1 and testbed.node.budget.used == 0
