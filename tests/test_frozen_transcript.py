"""A scripted day on real sockets: every byte to clients, upstreams and list services stays as it was.

One thing happens at a time, and each is waited for, so that the order is that of the script. Where several
upstreams could be drawn, all of them do what the script says next, and none has been sent to before.
"""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import uvloop
from peers import wait_until
from transcript_site import (
    CLASSES,
    HOST,
    REUSE_DELAY_S,
    Client,
    ScriptedReply,
    TranscriptSite,
    read_raw_message,
    reply,
)

FILE = Path(__file__).parent / "data" / "transcript.txt"
TIME_LIMIT_S = 60.0
UNPROCESSED = reply(b"busy", "503 Full", 'X-Unprocessed: 1\r\nX-Backend-Load: {"depth": 9}\r\n')
LONG_BODY = b"0123456789abcdef" * 20_000


def request(
    name: str,
    identity: str,
    method: str = "GET",
    fields: str = "",
    body: bytes | None = None,
    left: str = "9000m",
    version: str = "1.1",
) -> bytes:
    """A request of a class."""
    head = f"{method} /api/{identity}?x=1 HTTP/{version}\r\nHost: app.svc\r\nX-Correlation-Id: {identity}\r\n"
    head += f"X-Service-Class: {name}\r\nX-Account: acme\r\nX-Time-Left: {left}\r\n{fields}"
    if body is not None:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + (body or b"")


KEY = "Idempotency-Key: k-1\r\n"
Step = Callable[[TranscriptSite], Awaitable[None]]


async def plain_requests(site: TranscriptSite) -> None:
    """Each kind of request, well answered, on one connection of the client's."""
    client = await site.connect()
    hop = (
        "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nKeep-Alive: timeout=5\r\nX-Kept: 2\r\n"
    )
    chunked = "Transfer-Encoding: chunked\r\n"
    load = 'X-Backend-Load: {"depth": 3, "load_share": 0.5}\r\nX-Kept: 1\r\nKeep-Alive: timeout=9\r\n'
    for title, data, answer in (
        ("safe", request("read", "a1"), reply()),
        (
            "hop-by-hop fields, a cookie, a repeat",
            request(
                "read", "a2", fields=hop + "Cookie: sid=u1; b=2\r\n" "X-Repeat: 1\r\nX-Weight-Hint: 12\r\n"
            ),
            reply(b"", fields=load),
        ),
        ("keyed", request("book", "a3", "POST", KEY, b"a=1"), reply(b"booked")),
        ("keyed, with no key", request("book", "a4", "POST", "", b"a=1"), reply(b"booked")),
        ("unsafe", request("pay", "a5", "POST", body=b"b" * 1000), reply(b"paid")),
        (
            "unsafe with a chunked body",
            request("pay", "a6", "POST", chunked) + b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n",
            reply(b"paid"),
        ),
        ("a POST without a length", request("pay", "a7", "POST"), reply(b"paid")),
        ("an empty body", request("pay", "a8", "PUT", body=b""), reply(b"paid")),
        ("unknown class", request("made-up", "a9"), reply(b"well")),
        ("no class, no time", b"GET / HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: b1\r\n\r\n", reply(b"well")),
        ("time that can't be read", request("read", "b2", left="soon"), reply(b"well")),
        (
            "interim answer",
            request("read", "b3"),
            ScriptedReply(b"HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n" + reply(b"well").data),
        ),
    ):
        site.transcript.step(title)
        site.script.append(answer)
        await client.submit(data)
        await asyncio.sleep(REUSE_DELAY_S)
    site.transcript.step("an upgrade, answered as the plain request that it also is")
    site.script.append(reply(b"well"))
    upgrade = request("read", "b8", fields="Connection: upgrade\r\nUpgrade: websocket\r\n")
    await (await site.connect()).ask_and_end(upgrade)
    await asyncio.sleep(REUSE_DELAY_S)
    site.transcript.step("health")
    await client.submit(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
    site.transcript.step("a HEAD request")
    site.script.append(reply(b""))
    await client.submit(request("read", "b4", "HEAD"), bodiless=True)
    await asyncio.sleep(REUSE_DELAY_S)
    site.transcript.step("Expect: 100-continue")
    client.writer.write(request("pay", "b5", "POST", "Expect: 100-continue\r\n", b"body")[:-4])
    await client.answer()
    site.script.append(reply(b"paid"))
    await client.submit(b"body")
    await asyncio.sleep(REUSE_DELAY_S)
    site.transcript.step("the client ends its connection")
    site.script.append(reply(b"well"))
    await client.ask_and_end(request("read", "b6", fields="Connection: close\r\n"))
    await asyncio.sleep(REUSE_DELAY_S)
    site.transcript.step("HTTP/1.0")
    site.script.append(reply(b"well"))
    await (await site.connect()).ask_and_end(request("read", "b7", version="1.0"))
    await asyncio.sleep(REUSE_DELAY_S)


async def pipelined(site: TranscriptSite) -> None:
    """Three requests in one write; each upstream connection is closed, as its rest would depend on time."""
    site.transcript.step("pipelined")
    client = await site.connect()
    bodies = [b"one", b"two", b"three"]
    site.script.extend(reply(body, fields="Connection: close\r\n", close=True) for body in bodies)
    client.writer.write(b"".join(request("read", f"c{n}") for n in range(3)))
    # An answer and the next attempt are on their way at once: all answers are noted at the end.
    wires = [await read_raw_message(client.reader) for _ in bodies]
    for wire in wires:
        site.transcript.data(client.label, wire.raw)
    client.leave()


async def rejected(site: TranscriptSite) -> None:
    """What is no request, or none that can be taken: no upstream hears of it."""
    start = b"GET / HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: d1\r\n"
    for title, data in (
        ("no HTTP", b"what is this\r\n\r\n"),
        ("no correlation id", b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
        ("two hosts", start + b"Host: b\r\n\r\n"),
        ("two framings", start + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"),
        ("an unknown framing", start + b"Transfer-Encoding: gzip, chunked\r\n\r\n"),
        ("a length that is none", start + b"Content-Length: x\r\n\r\n"),
        ("a chunk that is none", start + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n"),
        ("CONNECT", b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: d1\r\n\r\n"),
        ("a body too large", start + b"Content-Length: 99999999\r\n\r\n"),
        ("a head too large", start + b"X-Long: " + b"x" * 40_000 + b"\r\n\r\n"),
    ):
        site.transcript.step(f"rejected: {title}")
        await (await site.connect()).ask_and_end(data)


async def earn_retries(site: TranscriptSite) -> None:
    """Each request earns a tenth of a retry, up to ten: enough for all failures that follow."""
    site.transcript.step("a hundred safe requests, that are not written down")
    await site.fresh(1)
    client = await site.connect()
    site.transcript.muted = True
    for _ in range(100):
        site.script.append(reply())
        await client.submit(request("read", "e0"))
    site.transcript.muted = False
    client.leave()


async def failures(site: TranscriptSite) -> None:
    """Each way in which an attempt fails, for each kind of class; two upstreams that are new to all."""
    lost = ScriptedReply(b"", reset=True)
    half = ScriptedReply(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", close=True)
    kinds = {
        "safe": request("read", "e1"),
        "keyed": request("book", "e2", "POST", KEY, b"a=1"),
        "unsafe": request("pay", "e3", "POST", body=b"b=1"),
    }
    await earn_retries(site)
    for failure, first in (
        ("503 and X-Unprocessed", UNPROCESSED),
        ("503 alone", reply(b"busy", "503 Full", "Connection: close\r\n", close=True)),
        ("500", reply(b"oh", "500 Oh", close=True)),
        ("201", reply(b"made", "201 Created")),
        ("404", reply(b"none", "404 None")),
        ("a reset", lost),
        ("half an answer", half),
        ("no HTTP", ScriptedReply(b"garbage\r\n\r\n", close=True)),
    ):
        for kind, data in kinds.items():
            site.transcript.step(f"{kind}: {failure}")
            await site.fresh(2)
            site.script.extend([first, reply(b"second")])
            client = await site.connect()
            await client.submit(data)
            client.leave()
            site.script.clear()
    site.transcript.step("safe: two upstreams are full, then none is left to try")
    await site.fresh(2)
    site.script.extend([UNPROCESSED] * 8)
    client = await site.connect()
    await client.submit(request("read", "e4", left="300m"))
    site.transcript.note("script", f"{8 - len(site.script)} attempts")
    site.script.clear()
    client.leave()


async def answers(site: TranscriptSite) -> None:
    """Answers of every framing, short and long."""
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    no_length = b"HTTP/1.1 200 OK\r\n\r\n"
    long_chunks = b"".join(b"%x\r\n%b\r\n" % (len(LONG_BODY), LONG_BODY) for _ in range(2)) + b"0\r\n\r\n"
    for title, name, answer, reframed in (
        ("a chunked answer", "read", ScriptedReply(chunked + b"3\r\nabc\r\n0\r\n\r\n"), False),
        ("an answer of no length", "read", ScriptedReply(no_length + b"until the end", close=True), False),
        (
            "HTTP/1.0",
            "read",
            ScriptedReply(b"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nold", close=True),
            False,
        ),
        ("a long answer", "read", reply(LONG_BODY), False),
        ("a long chunked answer", "read", ScriptedReply(chunked + long_chunks), True),
        ("a long answer of no length", "read", ScriptedReply(no_length + LONG_BODY, close=True), True),
        ("an answer of a streamed class", "feed", ScriptedReply(chunked + b"3\r\nabc\r\n0\r\n\r\n"), True),
    ):
        site.transcript.step(title)
        await site.fresh(1)
        site.script.append(answer)
        client = await site.connect()
        await client.submit(request(name, "f1"), reframed=reframed)
        client.leave()
    site.transcript.step("a long answer that breaks off")
    await site.fresh(1)
    site.script.append(ScriptedReply(reply(LONG_BODY).data[:-1], reset=True))
    client = await site.connect()
    client.writer.write(request("read", "f2"))
    head = await client.reader.readuntil(b"\r\n\r\n")
    site.transcript.data(client.label, head)
    try:
        complete = len(await client.reader.read()) >= len(LONG_BODY)
    except ConnectionResetError:
        complete = False
    site.transcript.note(client.label, "whole" if complete else "broken off")


async def client_leaves(site: TranscriptSite) -> None:
    """A client that goes while its attempt is out; the connection of that attempt ends with it."""
    site.transcript.step("a client that goes")
    await site.fresh(1)
    site.script.append(ScriptedReply(b"", hold=True))
    ended = len(site.ended)
    client = await site.connect()
    client.writer.write(request("read", "g1"))
    await site.held.wait()
    client.leave()
    await wait_until(lambda: len(site.ended) > ended)


async def list_changes(site: TranscriptSite) -> None:
    """The list: changes, a drain, none ready, a watch that ends, a line that can't be read."""
    site.transcript.step("an upstream drains: its idle connection ends, and another one takes over")
    (up,) = await site.fresh(1)
    client = await site.connect()
    for number in range(2):
        site.script.append(reply(b"well"))
        await client.submit(request("read", f"h{number}"))
        await asyncio.sleep(REUSE_DELAY_S)
    other = await site.upstream()
    ended = len(site.ended)
    site.service.send(up.row("draining"), other.row())
    await wait_until(lambda: len(site.ended) > ended)
    site.transcript.note("closed", site.ended[-1])
    site.script.append(reply(b"well"))
    await client.submit(request("read", "h2"))
    site.transcript.step("both are gone")
    known = len(site.service.rows)
    site.service.send(up.row("gone"), other.row("gone"))
    await site.figure("upstreams_known", known - 2)
    await client.submit(request("read", "h3", left="200m"))
    await client.submit(request("pay", "h4", "POST", body=b"x", left="200m"))
    await client.submit(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
    site.transcript.step("the watch ends")
    watches = len(site.service.watches)
    site.service.end_watch()
    await wait_until(lambda: len(site.service.watches) > watches)
    site.transcript.step("a line that can't be read")
    site.service.write_line(b'{"seq": 1}')
    await wait_until(lambda: len(site.service.watches) > watches + 1)
    site.transcript.step("served again")
    await site.fresh(2)
    site.script.append(reply(b"well"))
    await client.submit(request("read", "h5"))
    client.leave()


async def operators(site: TranscriptSite) -> None:
    """Calls at the second address."""
    site.transcript.step("operators")
    names = [up.name for up in await site.fresh(2)]
    for line, body in (
        ("GET /status", ""),
        ("HEAD /status", ""),
        ("GET /none", ""),
        ("POST /status", ""),
        ("PUT /maintenance/enter", ""),
        ("PUT /maintenance/enter", "nobody"),
        ("PUT /maintenance/enter", names[0]),
        ("PUT /maintenance/exit", names[0]),
    ):
        reader, writer = await asyncio.open_connection(HOST, site.admin)
        writer.write(f"{line} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        site.transcript.data(f"operator, {line}", await reader.read())
        writer.close()


async def reloads(site: TranscriptSite) -> None:
    """SIGHUP: a configuration that can't be used, then one with another list service and other classes."""
    client = await site.connect()
    site.transcript.step("SIGHUP: a configuration that can't be used")
    site.write_config("{")
    site.signal(signal.SIGHUP)
    await site.figure("reloads_failed", 1)
    site.script.append(reply(b"well"))
    await client.submit(request("read", "i1"))
    site.transcript.step("SIGHUP: another list service, a class of another kind")
    site.service = site.services[1]
    up = await site.upstream()
    site.service.rows = {up.name: up.row()}
    changed = [kind | {"effect": "single_shot"} if kind["name"] == "read" else kind for kind in CLASSES]
    settings = site.config["settings"] | {"classes": changed}
    discovery = f"{HOST}:{site.service.port}"
    site.write_config(json.dumps(site.config | {"discovery": discovery, "settings": settings}))
    site.signal(signal.SIGHUP)
    await wait_until(lambda: site.service.watches)
    await site.figure("upstreams_known", 1)
    await asyncio.sleep(REUSE_DELAY_S)
    site.script.append(reply(b"oh", "500 Oh", close=True))
    await client.submit(request("read", "i2"))
    client.leave()


async def ends(site: TranscriptSite, half: Client) -> None:
    """SIGTERM with a request out: it is answered, a new connection is served, and the process ends."""
    site.transcript.step("half a request, begun at the start")
    await half.answer()
    await half.ended()
    site.transcript.step("the figures")
    site.transcript.data("operator", (await site.operate("GET /status/metrics")).raw)
    site.transcript.step("SIGTERM")
    await site.fresh(2)
    idle, busy = await site.connect("idle client"), await site.connect("busy client")
    await idle.submit(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
    late = reply(b"late", hold=True)
    site.script.append(late)
    site.held.clear()
    busy.writer.write(request("read", "j1"))
    await site.held.wait()
    site.signal(signal.SIGTERM)
    await site.until_operators_hear("/status", "not ready")
    site.released.set()
    await busy.answer()
    await busy.ended()
    await idle.ended()
    assert site.process is not None
    site.transcript.note("exit status", str(await asyncio.wait_for(site.process.wait(), 20)))


async def play(folder: Path) -> str:
    """The whole script; the transcript's text."""
    site = TranscriptSite(folder)
    try:
        site.transcript.step("the start")
        await site.start()
        half = await site.connect("client of half a request")
        half.writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n")
        steps: list[Step] = [
            plain_requests,
            pipelined,
            rejected,
            failures,
            answers,
            client_leaves,
            list_changes,
            operators,
            reloads,
        ]
        for step in steps:
            await step(site)
        await ends(site, half)
    finally:
        await site.stop()
    return site.transcript.text()


def transcript() -> str:
    """The transcript of this code."""
    with tempfile.TemporaryDirectory() as folder:
        return uvloop.run(asyncio.wait_for(play(Path(folder)), TIME_LIMIT_S))


def freeze() -> dict[str, bytes]:
    """The frozen file's name and bytes, by the code as it is."""
    return {FILE.name: transcript().encode()}


def test_every_byte_on_the_sockets_is_as_it_was_frozen() -> None:
    assert transcript().splitlines() == FILE.read_text().splitlines()
