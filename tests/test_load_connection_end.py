"""Connections that a server closes around a request: only a request that it had not read is sent again."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

import pytest
import uvloop

from quartzford.load.attempt import ClientAttempt
from quartzford.load.clients import ClientBehaviour, RequestClass
from quartzford.load.connection import TargetConnection
from quartzford.load.connection_end import ended_by_peer, unacknowledged_bytes
from quartzford.load.driver import Driver, WorkerPlan
from quartzford.load.options import LoadOptions, Target
from quartzford.load.plan import plan_requests
from quartzford.load.record import Record

KEYED = (RequestClass("reserva", deadline_s=4.0, latency_objective_s=1.0, effect="keyed", group="cell"),)
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CUT_RESPONSE = COMPLETE_RESPONSE[:-1]


class Server:
    """Answers the first request of its first connection, and closes that connection around the second."""

    def __init__(self, closes: str) -> None:
        self.closes = closes
        self.loop = asyncio.get_running_loop()
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.listening.setblocking(False)
        self.accepted: list[socket.socket] = []
        self.requests_read = 0  # requests that were read completely

    async def run(self) -> None:
        first = await self._accept()
        await self._respond(first, COMPLETE_RESPONSE)
        if self.closes == "unread":
            await self._wait_until_readable(first)
        elif self.closes == "read":
            await self._read_request(first)
        elif self.closes == "in answer":
            await self._respond(first, CUT_RESPONSE)
        if self.closes != "as it is sent":  # otherwise the test closes it, synchronously
            first.close()
        second = await self._accept()
        await self._respond(second, COMPLETE_RESPONSE)

    def close(self) -> None:
        for sock in (self.listening, *self.accepted):
            sock.close()

    async def _accept(self) -> socket.socket:
        sock, _ = await self.loop.sock_accept(self.listening)
        sock.setblocking(False)
        self.accepted.append(sock)
        return sock

    async def _wait_until_readable(self, sock: socket.socket) -> None:
        readable = asyncio.Event()
        self.loop.add_reader(sock.fileno(), readable.set)
        await readable.wait()
        self.loop.remove_reader(sock.fileno())

    async def _read_request(self, sock: socket.socket) -> None:
        data = b""
        while not data.endswith(b"\r\n\r\n" + b"x" * 200):
            data += await self.loop.sock_recv(sock, 65536)
        self.requests_read += 1

    async def _respond(self, sock: socket.socket, response: bytes) -> None:
        await self._read_request(sock)
        await self.loop.sock_sendall(sock, response)


class CrossingDriver(Driver):
    """Calls before_second_send between the choice of the second request's connection and the write."""

    before_second_send: Callable[[], None] | None = None

    def _send_attempt(self, attempt: ClientAttempt, connection: TargetConnection) -> None:
        if attempt.request.number == 2 and not attempt.resent and self.before_second_send is not None:
            self.before_second_send()
        super()._send_attempt(attempt, connection)


async def send_two_requests(closes: str) -> tuple[Record, Server]:
    record, server = Record(KEYED), Server(closes)
    serving = asyncio.ensure_future(server.run())
    target = Target("127.0.0.1", server.listening.getsockname()[1], connections=1)
    load = LoadOptions(
        target,
        "constant:10",
        0.2,
        "fixed",
        request_classes=KEYED,
        behaviour=ClientBehaviour(timeout_share=(1.0, 1.0)),
        size=200,
    )
    driver = CrossingDriver(
        WorkerPlan(target, load.behaviour, plan_requests(load, 0), time.monotonic(), 1, "t"), record
    )
    if closes == "as it is sent":
        driver.before_second_send = lambda: server.accepted[0].close()
    await driver.run()
    serving.cancel()
    server.close()
    return record, server


@pytest.mark.parametrize(
    ("closes", "served", "lost", "read"),
    [
        ("before", 2, 0, 2),
        ("as it is sent", 2, 0, 2),
        ("unread", 2, 0, 2),
        ("read", 1, 1, 2),
        ("in answer", 1, 1, 2),
    ],
)
def test_request_read_before_connection_close_is_not_resent(
    closes: str, served: int, lost: int, read: int
) -> None:
    """A keyed request was sent again after its server had read it and closed the connection.

    It may have had its effect, and servers of another cell don't drop its repeat.
    """
    record, server = uvloop.run(send_two_requests(closes))
    assert record.outcomes == {"reserva served": served} | ({"reserva lost": lost} if lost else {})
    assert server.requests_read == read


def test_peer_close_is_detected_at_once_and_later_bytes_stay_unacknowledged() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        client = socket.create_connection(listening.getsockname())
        server, _ = listening.accept()
        with client, server:
            client.sendall(b"read")
            assert server.recv(4) == b"read"
            assert not ended_by_peer(client.fileno()) and unacknowledged_bytes(client.fileno()) == 0
            server.close()
            assert ended_by_peer(client.fileno()) and unacknowledged_bytes(client.fileno()) == 0
            client.sendall(b"crossed")
            assert unacknowledged_bytes(client.fileno()) == len(b"crossed")
