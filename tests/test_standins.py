"""The stand-ins' own journals: a measurement is only as good as these."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from typing import Any

import pytest
from peers import async_test, own_address, read_message, wait_until

from standins import listservice
from standins.execution_journal import Execution, ExecutionJournal
from standins.fleet import Fleet, Plan, plan_from_json, plan_to_json
from standins.site import reserved_port
from standins.upstream import StandInUpstream, start_upstreams

IP_LOCAL_PORT_RANGE = 51  # <linux/in.h>, since Linux 6.3: from which ports the kernel chooses for a socket


def choosing_only(port: int) -> socket.socket:
    """A socket for which the kernel can choose no port but this one."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_IP, IP_LOCAL_PORT_RANGE, struct.pack("=I", port | port << 16))
    return sock


@pytest.mark.parametrize("reuse", [0, 1])
def test_a_reserved_port_is_chosen_for_no_second_listener(reuse: int) -> None:
    port = reserved_port()
    with choosing_only(port) as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, reuse)
        with pytest.raises(OSError, match="in use"):
            other.bind(("127.0.0.1", 0))


def test_a_reserved_port_is_chosen_for_no_outgoing_connection() -> None:
    port = reserved_port()
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        choosing_only(port) as other,
        pytest.raises(OSError, match="Cannot assign"),
    ):
        other.connect(server.getsockname())


def test_a_port_that_is_not_held_is_chosen() -> None:
    """Without the reservation the same choice succeeds; at an address where no stranger binds."""
    with socket.create_server((own_address(), 0)) as server:
        port = server.getsockname()[1]
    with choosing_only(port) as other:
        other.bind((own_address(), 0))
        assert other.getsockname()[1] == port


def unclassified_request(identity: str) -> bytes:
    return f"POST /api HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {identity}\r\n\r\n".encode()


async def dial(upstream: StandInUpstream) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", upstream.port)


def make(number: int, journal: ExecutionJournal) -> StandInUpstream:
    return StandInUpstream(f"s{number}", journal, capacity=100.0, queue=3, warm_s=10.0)


@async_test
async def test_a_second_copy_is_seen_and_one_that_was_given_up_is_not() -> None:
    upstreams, journal, registry = await start_upstreams(2, make)
    upstreams[0].mode = "swallow"
    one, two, three = await dial(upstreams[0]), await dial(upstreams[1]), await dial(upstreams[1])
    one[1].write(unclassified_request("c1"))
    await wait_until(lambda: len(journal.runs) == 1)
    two[1].write(unclassified_request("c1"))
    assert (await read_message(two[0])).status == 200
    assert journal.overlapping == 1 and journal.duplicate_executions("") == ["c1"]
    number = one[1].get_extra_info("socket").fileno()
    with socket.fromfd(number, socket.AF_INET, socket.SOCK_STREAM) as same:
        same.shutdown(socket.SHUT_RDWR)
    three[1].write(unclassified_request("c1"))  # right behind: the upstream's loop may see this first
    assert (await read_message(three[0])).status == 200
    assert journal.overlapping == 1
    for peer in (registry, *upstreams):
        await peer.stop()


@async_test
async def test_a_full_a_draining_and_a_cold_upstream() -> None:
    (upstream,), journal, registry = await start_upstreams(1, make)
    upstream.gate = asyncio.Event()
    links = [await dial(upstream) for _ in range(6)]
    for number, (_, writer) in enumerate(links):
        writer.write(unclassified_request(f"c{number}"))
    await wait_until(lambda: len(journal.runs) + journal.rejected == 6)
    assert journal.rejected >= 1
    full = await read_message(links[-1][0])
    assert full.status == 503 and full.fields["x-unprocessed"] == "1" and "x-backend-load" in full.fields
    warm = upstream.capacity_at(0.0)
    await upstream.restart()
    assert upstream.started_at is not None
    assert (
        abs(upstream.capacity_at(upstream.started_at) - 0.13 * warm) < 1e-6
        and upstream.capacity_at(upstream.started_at + 99) == warm
    )
    upstream.health = "draining"
    link = await dial(upstream)
    link[1].write(unclassified_request("late"))
    assert (await read_message(link[0])).status == 503 and upstream.incarnation == 1
    for peer in (registry, upstream):
        await peer.stop()


@async_test
async def test_the_registry_notifies_its_watchers_and_records_when() -> None:
    upstreams, _, registry = await start_upstreams(2, make)
    reader, writer = await asyncio.open_connection("127.0.0.1", registry.port)
    writer.write(b"GET /catalog/members?stream=1&index=0 HTTP/1.1\r\n\r\n")
    await wait_until(lambda: registry.watchers)
    registry.notify(upstreams[0], health="draining")
    text = b""
    while b"draining" not in text:
        text += await asyncio.wait_for(reader.read(65536), 20)
    assert b'"whole": true' in text
    (drain,) = registry.drains
    assert (drain.upstream, drain.until) == ("s0", None)
    registry.notify(upstreams[0])
    assert registry.drains == [drain] and drain.until is not None and drain.until >= drain.notified_at
    writer.close()
    for peer in (registry, *upstreams):
        await peer.stop()


def test_effects_of_a_keyed_class() -> None:
    def ran(at: float, block: int) -> Execution:
        return Execution(at, "c", "reserva", "k", block, 0)

    cases: list[tuple[list[Execution], list[str]]] = [
        ([ran(0, 1), ran(1.9, 1)], []),
        ([ran(0, 1), ran(2.1, 1)], ["k"]),
        ([ran(0, 1), ran(0.1, 2)], ["k"]),
    ]
    for runs, found in cases:
        journal: Any = ExecutionJournal(runs=runs)
        assert journal.duplicate_effects("reserva", 2.0) == found


def classified_request(identity: str, key: str = "", name: str = "reserva") -> bytes:
    fields = f"Idempotency-Key: {key}\r\n" if key else ""
    return (
        f"POST /api HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {identity}\r\n"
        f"X-Service-Class: {name}\r\n{fields}\r\n"
    ).encode()


@async_test
async def test_a_block_drops_repeats_of_a_key_and_another_block_does_not() -> None:
    upstreams, journal, registry = await start_upstreams(
        3, lambda n, journal: StandInUpstream(f"s{n}", journal, block=n // 2)
    )
    for number, upstream in enumerate(upstreams):
        reader, writer = await dial(upstream)
        writer.write(classified_request(f"c{number}", "k"))
        assert (await read_message(reader)).status == 200
    assert [run.dropped for run in journal.runs] == [False, True, False]
    assert journal.duplicate_effects("reserva", journal.window_s) == ["k"]
    for peer in (registry, *upstreams):
        await peer.stop()


@async_test
async def test_cores_work_side_by_side_and_the_queue_waits() -> None:
    (upstream,), journal, registry = await start_upstreams(
        1, lambda n, journal: StandInUpstream("s0", journal, capacity=20.0, cores=2, latency_s=0.0, queue=2)
    )
    links = [await dial(upstream) for _ in range(5)]
    for number, (_, writer) in enumerate(links):
        writer.write(classified_request(f"c{number}"))
        await wait_until(lambda seen=number + 1: len(journal.runs) + journal.rejected == seen)
    assert upstream.busy(asyncio.get_running_loop().time()) <= 2
    statuses = [(await read_message(reader)).status for reader, _ in links]
    assert statuses == [200, 200, 200, 200, 503]  # two run, two wait, one is too many
    for peer in (registry, upstream):
        await peer.stop()


@async_test
async def test_waiting_work_whose_client_left_is_dropped() -> None:
    (upstream,), journal, registry = await start_upstreams(
        1, lambda n, journal: StandInUpstream("s0", journal, capacity=5.0, latency_s=0.0)
    )
    one, two, three = [await dial(upstream) for _ in range(3)]
    for number, (_, writer) in enumerate((one, two, three)):
        writer.write(classified_request(f"c{number}"))
        await wait_until(lambda seen=number + 1: len(journal.runs) == seen)
    assert upstream.waiting() == 2
    two[1].transport.abort()
    await wait_until(lambda: upstream.waiting() == 1)
    assert (await read_message(one[0])).status == (await read_message(three[0])).status == 200
    for peer in (registry, upstream):
        await peer.stop()


@async_test
async def test_connections_are_capped_cost_work_and_are_closed_when_idle() -> None:
    (upstream,), journal, registry = await start_upstreams(
        1, lambda n, journal: StandInUpstream("s0", journal, most_connections=2, connect_s=0.01, idle_s=0.3)
    )
    links = [await dial(upstream) for _ in range(3)]
    await wait_until(lambda: len(upstream.connections) == 3)
    before = upstream.cores_free_at[0]
    assert before > 0.0  # three handshakes of work
    links[2][1].write(classified_request("c2"))
    answer = await read_message(links[2][0])
    assert answer.status == 503 and answer.fields["x-unprocessed"] == "1" and journal.rejected == 1
    assert await asyncio.wait_for(links[0][0].read(), 20) == b""  # closed by the upstream
    await wait_until(lambda: not upstream.connections)
    for peer in (registry, upstream):
        await peer.stop()


@async_test
async def test_a_fleets_faults_are_scripted_and_its_account_read_over_http() -> None:
    one = Fleet(Plan(upstreams=2, faults="drain@0:1"))
    await one.start()
    one.begin()
    await wait_until(lambda: one.registry.drains)
    reader, writer = await asyncio.open_connection("127.0.0.1", one.registry.port)
    writer.write(b"GET /books HTTP/1.1\r\nHost: a\r\n\r\n")
    account = json.loads((await read_message(reader)).body)
    assert [d[0] for d in account["drains"]] == ["s0001"] and account["drains"][0][3] is None
    await wait_until(lambda: one.journal.restarts, 30)
    assert [b[:2] for b in one.account()["births"]] == [["s0001", 1]]
    await wait_until(lambda: one.account()["drains"][0][3] is not None)
    one.stop()
    for peer in (one.registry, *one.upstreams):
        await peer.stop()


def test_a_fleets_plan_keeps_the_keys_of_its_json() -> None:
    table = {"nodos": 2, "trouble": "hang@1:0", "pace": 2.0}
    plan = plan_from_json(table)
    assert plan == Plan(upstreams=2, faults="hang@1:0", pace=2.0)
    assert plan_to_json(plan).items() >= table.items() and plan_from_json(plan_to_json(plan)) == plan
    with pytest.raises(TypeError, match="unknown"):
        plan_from_json({"unknown": 1})


def test_a_fleet_knows_no_other_faults() -> None:
    fleet = Fleet(Plan(faults="melt@1:0"))
    fleet.upstreams = []
    with pytest.raises(ValueError, match="no such trouble; there are die, drain, hang, silent, swallow"):
        fleet.begin()


def test_a_list_services_plan_keeps_the_keys_of_its_json() -> None:
    table = {
        "per_s": 20.0,
        "line": "turns away",
        "downs": [[0, 8]],
        "mute": [[1, 2], [3, 4]],
        "retry_after": "2",
        "trickle": 0.5,
        "always_whole": True,
        "dies_at": 3,
        "dead_s": 1.5,
        "back": True,
        "bytes_per_s": 1e6,
        "address": "127.0.0.2",
    }
    assert listservice.plan_from_json(table) == listservice.Plan(
        20.0, "turns away", ((0, 8),), ((1, 2), (3, 4)), "2", 0.5, True, 3, 1.5, True, 1e6, "127.0.0.2"
    )
    with pytest.raises(TypeError, match="unknown"):
        listservice.plan_from_json({"unknown": 1})


LIST_REQUEST = b"GET /catalog/members HTTP/1.1\r\nHost: l\r\n\r\n"


@async_test
async def test_a_list_service_crashes_in_the_middle_of_a_watchs_answer_once() -> None:
    service = listservice.Service(listservice.Plan(crash_after=1, crash_s=0.1, versions_restart=True))
    service.replace_list([{"host": f"s{n}", "health": "ready"} for n in range(50)])
    await service.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
    writer.write(b"GET /catalog/members?stream=1&index=0 HTTP/1.1\r\nHost: l\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    with pytest.raises(asyncio.IncompleteReadError) as cut:
        await reader.readuntil(b"}\n")  # the end of the list
    assert b'"host": "s0"' in cut.value.partial and b'"host": "s49"' not in cut.value.partial
    await wait_until(lambda: service.server is None)
    await wait_until(lambda: service.server is not None)
    assert service.version == 1 and len(service.rows) == 50
    reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
    writer.write(LIST_REQUEST)
    assert len(json.loads((await read_message(reader)).body)["hosts"]) == 50
    assert [answer.outcome for answer in service.answers] == ["answered", "answered"]
    service.stop()


@async_test
async def test_a_list_service_that_is_too_slow_rejects_and_its_account_says_so() -> None:
    plan = listservice.Plan(per_s=0.5, overload=listservice.Overload.REJECTS, retry_after="3")
    service = listservice.Service(plan)
    await service.start()
    links = [await asyncio.open_connection("127.0.0.1", service.port) for _ in range(3)]
    for number, (_, writer) in enumerate(links):
        writer.write(LIST_REQUEST)
        await wait_until(lambda seen=number + 1: len(service.calls) == seen)
    rejected = await read_message(links[2][0])
    assert rejected.status == 503 and rejected.fields["retry-after"] == "3"
    reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
    writer.write(b"GET /books HTTP/1.1\r\nHost: l\r\n\r\n")
    account = json.loads((await read_message(reader)).body)
    assert [call[1:] for call in account["calls"]] == [["127.0.0.1", "whole"]] * 3
    assert [answer[1:] for answer in account["answers"]] == [["127.0.0.1", "turned away"]]
    service.stop()


@async_test
async def test_a_list_service_is_unresponsive_for_a_span() -> None:
    service = listservice.Service(listservice.Plan(per_s=1000.0, unresponsive=((0, 60),)))
    await service.start()
    service.begin(asyncio.get_running_loop().time() - 1.0)
    reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
    writer.write(LIST_REQUEST)
    await wait_until(lambda: service.calls)
    await asyncio.sleep(0.1)
    assert service.is_unresponsive() and not service.answers and not service.queue
    service.stop()


def test_a_list_service_knows_no_other_way_with_overload() -> None:
    with pytest.raises(ValueError, match="line: 'shrugs' is not one of queues, turns away"):
        listservice.Service(listservice.Plan(overload="shrugs"))
