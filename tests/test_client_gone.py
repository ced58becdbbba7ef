"""No attempt begins for a client that has gone, though the loop has not been told of it yet.

The client goes in the very call that makes an attempt's head, the clock having been read: as late as that, a
loop that was held up would hear of the end only after the attempt.
"""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

import pytest
import uvloop
from peers import BalancerTestbed, async_test, reply, request, responds_with, wait_until
from test_endings import RESET, raw

from quartzford.engine.pending_request import Attempt
from quartzford.fronts.client_connection import HANGUP_EVENTS
from quartzford.fronts.exchange import Exchange


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


LEAVES: dict[str, Callable[[socket.socket], None]] = {
    "FIN": lambda sock: sock.close(),
    "RST": reset,
    "half-close": lambda sock: sock.shutdown(socket.SHUT_WR),
}


class Departure:
    """Lets a client go as the head of the attempt with this index is made."""

    def __init__(self, patch: pytest.MonkeyPatch, index: int, leave: Callable[[socket.socket], None]) -> None:
        self.index, self.leave = index, leave
        self.heads = 0
        self.unread = False  # the client's connection was not being read as it went
        self.client: socket.socket | None = None
        make_head = Exchange.upstream_head

        def upstream_head(exchange: Exchange, left: float) -> bytes:
            head = make_head(exchange, left)
            self.heads += 1
            if self.heads == self.index + 1:
                self._go(exchange)
            return head

        patch.setattr(Exchange, "upstream_head", upstream_head)

    def _go(self, exchange: Exchange) -> None:
        client = exchange.client
        self.unread = client in client.front.unread
        assert self.client is not None
        self.leave(self.client)
        poll = select.poll()
        poll.register(client.transport.get_extra_info("socket").fileno(), HANGUP_EVENTS)
        assert poll.poll(2000), "the end never came to the balancer's side"


def sent(testbed: BalancerTestbed) -> int:
    return sum(len(up.received) for up in testbed.upstreams)


@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize("where", ["connecting", "kept connection", "retry", "wait", "pipelined", "unread"])
def test_no_attempt_begins_for_a_client_that_goes_as_it_is_made(
    where: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """connecting: the connection has just come up; wait: the request waited for an upstream that is ready."""

    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            before = 0 if where in ("connecting", "wait") else 1
            departure = Departure(monkeypatch, before, LEAVES[how])
            if where == "kept connection":
                assert (await testbed.submit(request())).status == 200
            elif where == "retry":
                for up in testbed.upstreams:
                    up.script = responds_with(reply(b"", "500 Sorry"))
            elif where == "wait":
                testbed.update(testbed.list_row(0, "draining"), testbed.list_row(1, "draining"))
                await wait_until(lambda: not testbed.node.engine.balancer.ready)
            sock = departure.client = await raw(testbed)
            sock.send(request() * {"pipelined": 2, "unread": 40}.get(where, 1))
            if where == "wait":
                await wait_until(lambda: testbed.node.engine.pending_requests)
                testbed.update(testbed.list_row(0), testbed.list_row(1), complete=True)
            await wait_until(lambda: departure.heads > before and not testbed.node.front.unread)
            await wait_until(lambda: not testbed.node.engine.pending_requests)
            assert departure.heads == before + 1 and departure.unread == (where == "unread")
            assert sent(testbed) == before and testbed.node.engine.counts["client gone"] == 1
            balancer = testbed.node.engine.balancer
            assert (
                balancer.pending_requests == {}
                and balancer.endpoints.shares.total_in_flight == 0
                and testbed.node.budget.used == 0
            )
            sock.close()
            for up in testbed.upstreams:
                up.script = responds_with(reply())
            assert (await testbed.submit(request())).status == 200 and sent(testbed) == before + 1

    uvloop.run(test())


@async_test
async def test_a_connection_that_came_up_for_an_attempt_that_may_not_begin_carries_the_next_one() -> None:
    """It had no status yet: to look for one among the idle ones failed, and the next request got a 500."""
    async with BalancerTestbed() as testbed:
        engine = testbed.node.engine
        may_begin, checked = engine.may_begin, []

        def not_at_first(attempt: Attempt) -> bool:
            checked.append(attempt)
            return len(checked) > 1 and may_begin(attempt)

        engine.may_begin = not_at_first  # type: ignore[method-assign]
        assert (await testbed.submit(request())).status == 503  # there is nobody else
        assert (await testbed.submit(request())).status == 200
        assert testbed.outcomes() == ["moot", "ok"] and len(testbed.upstreams[0].writers) == 1
