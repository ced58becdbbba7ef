"""The stand-ins' own books: a measurement is worth what these are."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from peers import read_message, run, until

from standins.nodo import Books, Nodo, Run, fleet


def asked(identity: str) -> bytes:
    return f"POST /api HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {identity}\r\n\r\n".encode()


async def dial(nodo: Nodo) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", nodo.port)


def make(number: int, books: Books) -> Nodo:
    return Nodo(f"s{number}", books, capacity=100.0, queue=3, warm_s=10.0)


@run
async def test_a_second_copy_is_seen_and_one_that_was_given_up_is_not() -> None:
    nodos, books, registry = await fleet(2, make)
    nodos[0].mode = "swallow"
    one, two, three = await dial(nodos[0]), await dial(nodos[1]), await dial(nodos[1])
    one[1].write(asked("c1"))
    await until(lambda: len(books.runs) == 1)
    two[1].write(asked("c1"))
    assert (await read_message(two[0])).status == 200
    assert books.overlapping == 1 and books.twice("") == ["c1"]
    number = one[1].get_extra_info("socket").fileno()
    with socket.fromfd(number, socket.AF_INET, socket.SOCK_STREAM) as same:
        same.shutdown(socket.SHUT_RDWR)
    three[1].write(asked("c1"))  # right behind: the nodo's loop may see this first
    assert (await read_message(three[0])).status == 200
    assert books.overlapping == 1
    for peer in (registry, *nodos):
        await peer.stop()


@run
async def test_a_full_a_draining_and_a_cold_nodo() -> None:
    (nodo,), books, registry = await fleet(1, make)
    nodo.gate = asyncio.Event()
    links = [await dial(nodo) for _ in range(6)]
    for number, (_, writer) in enumerate(links):
        writer.write(asked(f"c{number}"))
    await until(lambda: len(books.runs) + books.turned_away == 6)
    assert books.turned_away >= 1
    full = await read_message(links[-1][0])
    assert full.status == 503 and full.fields["x-unprocessed"] == "1" and "x-backend-load" in full.fields
    warm = nodo.able(0.0)
    await nodo.restart()
    assert nodo.born is not None
    assert abs(nodo.able(nodo.born) - 0.13 * warm) < 1e-6 and nodo.able(nodo.born + 99) == warm
    nodo.health = "draining"
    link = await dial(nodo)
    link[1].write(asked("late"))
    assert (await read_message(link[0])).status == 503 and nodo.life == 1
    for peer in (registry, nodo):
        await peer.stop()


@run
async def test_the_padron_tells_its_watchers_and_keeps_when() -> None:
    nodos, _, registry = await fleet(2, make)
    reader, writer = await asyncio.open_connection("127.0.0.1", registry.port)
    writer.write(b"GET /catalog/members?stream=1&index=0 HTTP/1.1\r\n\r\n")
    await until(lambda: registry.watchers)
    registry.tell(nodos[0], health="draining")
    text = b""
    while b"draining" not in text:
        text += await asyncio.wait_for(reader.read(65536), 20)
    assert b'"whole": true' in text and "s0" in registry.told
    registry.tell(nodos[0])
    assert "s0" not in registry.told
    writer.close()
    for peer in (registry, *nodos):
        await peer.stop()


def test_effects_of_a_keyed_class() -> None:
    def ran(at: float, block: int) -> Run:
        return Run(at, "c", "reserva", "k", block, 0)

    cases: list[tuple[list[Run], list[str]]] = [
        ([ran(0, 1), ran(1.9, 1)], []),
        ([ran(0, 1), ran(2.1, 1)], ["k"]),
        ([ran(0, 1), ran(0.1, 2)], ["k"]),
    ]
    for runs, found in cases:
        books: Any = Books(runs=runs)
        assert books.effects_twice("reserva", 2.0) == found
