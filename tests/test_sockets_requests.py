"""Requests and answers over loopback: framing, connections, what passes on unchanged, bad input."""

from __future__ import annotations

import asyncio
import itertools

import pytest
import uvloop
from peers import Message, World, read_message, reply, request, run, says, silent, until

from quartzford.decision import interface as io


@run
async def test_each_effect_with_each_framing_arrives_unchanged() -> None:
    async with World() as world:
        for name, body in itertools.product(("read", "book", "pay"), (b"", b"x" * 5000)):
            answer = await world.submit(
                request(name, body, path="/api/a?b=c%20d&e", fields="Cookie: sid=7\r\n")
            )
            received = world.upstreams[0].received[-1]
            assert (answer.status, answer.body) == (200, b"done")
            assert received.line == f"{'GET' if name == 'read' else 'POST'} /api/a?b=c%20d&e HTTP/1.1"
            assert received.body == body and received.fields["x-correlation-id"] == "c1"
            assert received.fields.get("idempotency-key") == ("k1" if name == "book" else None)
            event = next(e for e in reversed(world.events) if isinstance(e, io.Request))
            assert (event.service_class, event.tenant, event.key, event.keyed) == (
                name,
                "acme",
                "7",
                name == "book",
            )
        chunked = b"4\r\nwiki\r\n6;x=y\r\npedia.\r\n0\r\n\r\n"
        answer = await world.submit(request("pay", fields="Transfer-Encoding: chunked\r\n") + chunked)
        assert answer.status == 200 and world.upstreams[0].received[-1].body == b"wikipedia."
        answer = await world.submit(request("read"))
        assert answer.status == 200 and "content-length" not in world.upstreams[0].received[-1].fields


@run
async def test_a_request_in_pieces_of_one_byte() -> None:
    async with World() as world:
        reader, writer = await world.connect()
        for byte in request("pay", b"body"):
            writer.write(bytes((byte,)))
            await asyncio.sleep(0)
        assert (await read_message(reader)).status == 200
        assert world.upstreams[0].received[0].body == b"body"


@run
async def test_an_answer_in_pieces_and_after_an_interim_one() -> None:
    async with World() as world:

        async def slowly(message: Message, writer: asyncio.StreamWriter) -> None:
            for byte in b"HTTP/1.1 103 Early Hints\r\n\r\n" + reply(b"piecemeal", fields="X-Kind: a\r\n"):
                writer.write(bytes((byte,)))
                await asyncio.sleep(0)

        world.upstreams[0].script = slowly
        answer = await world.submit(request())
        assert (answer.status, answer.body, answer.fields["x-kind"]) == (200, b"piecemeal", "a")


@run
async def test_close_and_http_1_0_on_the_client_side() -> None:
    async with World() as world:
        reader, writer = await world.connect()
        writer.write(request(fields="Connection: close\r\n"))
        assert (await read_message(reader)).fields["connection"] == "close"
        assert await reader.read() == b""
        reader, writer = await world.connect()
        writer.write(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
        assert (await read_message(reader)).body == b"done"
        assert await reader.read() == b""
        reader, writer = await world.connect()
        for _ in range(2):
            writer.write(request(fields="Connection: keep-alive\r\n").replace(b"HTTP/1.1", b"HTTP/1.0"))
            assert (await read_message(reader)).fields["connection"] == "keep-alive"


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndoneHTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone" + reply(b"evil"),
    ],
)
def test_an_upstream_connection_that_may_not_be_kept_is_not(answer: bytes) -> None:
    async def test() -> None:
        async with World() as world:
            world.upstreams[0].script = says(answer)
            for _ in range(2):
                assert (await world.submit(request())).body == b"done"
            assert len(world.upstreams[0].writers) == 2

    uvloop.run(test())


@run
async def test_an_answer_without_length_ends_with_its_connection() -> None:
    async with World() as world:
        world.upstreams[0].script = says(b"HTTP/1.1 200 OK\r\n\r\nto the end", close=True)
        assert (await world.submit(request())).body == b"to the end"
        world.upstreams[0].script = says(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
        )
        assert (await world.submit(request())).body == b"hi"


@run
async def test_bytes_on_an_idle_upstream_connection_end_it() -> None:
    async with World() as world:
        await world.submit(request())
        world.upstreams[0].writers[0].write(reply(b"stray"))
        await until(lambda: world.upstreams[0].left == 1)
        assert (await world.submit(request())).body == b"done"
        assert len(world.upstreams[0].writers) == 2


@run
async def test_expect_100_continue() -> None:
    async with World() as world:
        reader, writer = await world.connect()
        complete = request("pay", b"body", "Expect: 100-continue\r\n")
        writer.write(complete[:-4])
        assert (await read_message(reader, head_only=True)).status == 100
        writer.write(complete[-4:])
        assert (await read_message(reader)).status == 200
        assert "expect" not in world.upstreams[0].received[0].fields


@run
async def test_pipelined_requests_are_answered_in_order() -> None:
    async with World() as world:

        async def echo(message: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(reply(message.line.encode()))

        world.upstreams[0].script = echo
        reader, writer = await world.connect()
        writer.write(b"".join(request(path=f"/{n}") for n in range(40)))
        for n in range(40):
            assert (await read_message(reader)).body == f"GET /{n} HTTP/1.1".encode()


@run
async def test_time_left_in_both_units_and_as_what_is_left() -> None:
    async with World() as world:
        for text, most in (("900m", 900_000), ("800000u", 800_000), ("soon", 3_000_000), ("-1m", 3_000_000)):
            assert (await world.submit(request("pay", b"", left=text))).status == 200
            left = world.upstreams[0].received[-1].fields["x-time-left"]
            assert left.endswith("u") and 0.25 * most < int(left[:-1]) <= most
        answer = await world.submit(request("pay", b"").replace(b"X-Time-Left: 2500m\r\n", b""))
        assert answer.status == 200
        budgets = [e.budget_ms for e in world.events if isinstance(e, io.Request)]
        assert budgets == [900.0, 800.0, 3000.0, 3000.0, 3000.0]


@run
async def test_a_request_without_an_answer_ends_by_its_time() -> None:
    async with World() as world:
        world.upstreams[0].script = silent
        answer = await world.submit(request("pay", b"", left="200m"))
        assert answer.status == 502 and world.outcomes() == ["timeout"]
        assert (await world.submit(request("read", left="0m"))).status == 503


@run
async def test_an_unknown_class_is_unsafe_and_a_keyless_one_is_not_repeated() -> None:
    async with World(2) as world:
        for up in world.upstreams:
            up.script = says(b"", close=True)
        assert (await world.submit(request("book", b""))).status == 502
        before = sum(len(up.received) for up in world.upstreams)
        assert before >= 2
        keyless = request("book", b"").replace(b"Idempotency-Key: k1\r\n", b"")
        for number, data in enumerate((keyless, request("what", b""), request("pay", b"")), 1):
            assert (await world.submit(data)).status == 502
            assert sum(len(up.received) for up in world.upstreams) == before + number


LONG = b"X-Filler: " + b"f" * 40_000 + b"\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nHost app\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"GET / HTTP/1.1\r\nA: b\r\n folded\r\nX: y\nZ: z\r\n\r\n", 400),
        (b"CONNECT app.svc:443 HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n" + LONG + b"\r\n", 431),
        (b"GET / HTTP/1.1\r\n" + LONG * 20, 431),
        (b"GET /" + b"a" * 40_000 + b" HTTP/1.1\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nContent-Length: 33554433\r\n\r\nabc", 413),
        # What tells a request from others is missing: upstreams can only turn it away, at the cost of a try.
        (request("pay", b"").replace(b"X-Correlation-Id: c1\r\n", b""), 400),
        (request().replace(b"X-Correlation-Id: c1\r\n", b"X-Correlation-Id: \r\n"), 400),
    ],
)
def test_what_is_no_request_is_answered_and_closed(data: bytes, status: int) -> None:
    async def test() -> None:
        async with World() as world:
            reader, writer = await world.connect()
            writer.write(data)
            answer = await read_message(reader)
            assert answer.status == status and answer.fields["connection"] == "close"
            assert await reader.read() == b""
            assert world.upstreams[0].received == [] and world.node.budget.used == 0
            assert (await world.submit(request())).status == 200

    uvloop.run(test())


@run
async def test_an_oversized_chunked_body_is_answered_while_it_comes() -> None:
    async with World() as world:
        reader, writer = await world.connect()
        writer.write(request("pay", fields="Transfer-Encoding: chunked\r\n"))
        piece = b"100000\r\n" + b"p" * 0x100000 + b"\r\n"
        for _ in range(33):
            writer.write(piece)
        assert (await read_message(reader)).status == 413
        await until(lambda: world.node.budget.used == 0)
        assert world.upstreams[0].received == []


@run
async def test_health_answers_once_requests_can_be_served() -> None:
    world = World()
    world.known = {"seq": 0, "whole": True, "hosts": []}
    world.current = {"seq": 1, "whole": True, "hosts": []}
    health = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"
    async with world:
        assert (await world.submit(health)).status == 503
        world.update(world.host(0))
        await until(lambda: world.node.ready())
        assert (await world.submit(health)).status == 200
        assert (await world.submit(request(path="/_healthy"))).status == 200
        assert len(world.upstreams[0].received) == 1


@pytest.mark.parametrize(
    "twice", ["Host: other.svc\r\n", "X-Correlation-Id: c2\r\n", "x-correlation-id: c1\r\n"]
)
def test_a_field_that_must_stand_once_and_stands_twice_is_answered_400(twice: str) -> None:
    """Both went upstream, and each reader could take another one."""

    async def test() -> None:
        async with World() as world:
            assert (await world.submit(request("pay", b"", fields=twice))).status == 400
            assert world.upstreams[0].received == []

    uvloop.run(test())


@run
async def test_connection_can_not_take_the_id_or_the_key_away() -> None:
    """A client could name them hop by hop, and its repeats were no longer dropped."""
    async with World() as world:
        named = "X-Mine: 1\r\nConnection: keep-alive, X-Correlation-Id, idempotency-key, X-Mine\r\n"
        assert (await world.submit(request("book", b"", fields=named))).status == 200
        fields = world.upstreams[0].received[0].fields
        assert fields["x-correlation-id"] == "c1" and fields["idempotency-key"] == "k1"
        assert "x-mine" not in fields
