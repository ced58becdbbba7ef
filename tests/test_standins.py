"""Tests of the stand-ins and of their journals, on which the measurements rely."""

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

IP_LOCAL_PORT_RANGE = 51  # <linux/in.h>, since Linux 6.3: the ports that the kernel may assign to a socket


def socket_limited_to_port(port: int) -> socket.socket:
    """Return a socket to which the kernel can assign only this port."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_IP, IP_LOCAL_PORT_RANGE, struct.pack("=I", port | port << 16))
    return sock


@pytest.mark.parametrize("reuse", [0, 1])
def test_reserved_port_second_listener_fails(reuse: int) -> None:
    port = reserved_port()
    with socket_limited_to_port(port) as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, reuse)
        with pytest.raises(OSError, match="in use"):
            other.bind(("127.0.0.1", 0))


def test_reserved_port_outgoing_connection_fails() -> None:
    port = reserved_port()
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket_limited_to_port(port) as other,
        pytest.raises(OSError, match="Cannot assign"),
    ):
        other.connect(server.getsockname())


def test_unreserved_port_second_listener_succeeds() -> None:
    """Without the reservation the same bind succeeds; at an address that no other process binds."""
    with socket.create_server((own_address(), 0)) as server:
        port = server.getsockname()[1]
    with socket_limited_to_port(port) as other:
        other.bind((own_address(), 0))
        assert other.getsockname()[1] == port


def unclassified_request(identity: str) -> bytes:
    return f"POST /api HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {identity}\r\n\r\n".encode()


async def connect_to(upstream: StandInUpstream) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", upstream.port)


def make_upstream(number: int, journal: ExecutionJournal) -> StandInUpstream:
    return StandInUpstream(f"s{number}", journal, capacity=100.0, queue=3, warm_s=10.0)


@async_test
async def test_journal_counts_overlap_only_while_client_is_connected() -> None:
    upstreams, journal, registry = await start_upstreams(2, make_upstream)
    upstreams[0].mode = "swallow"
    first, second, third = (
        await connect_to(upstreams[0]),
        await connect_to(upstreams[1]),
        await connect_to(upstreams[1]),
    )
    first[1].write(unclassified_request("c1"))
    await wait_until(lambda: len(journal.runs) == 1)
    second[1].write(unclassified_request("c1"))
    assert (await read_message(second[0])).status == 200
    assert journal.overlapping == 1 and journal.duplicate_executions("") == ["c1"]
    descriptor = first[1].get_extra_info("socket").fileno()
    with socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM) as duplicate:
        duplicate.shutdown(socket.SHUT_RDWR)
    # Sent at once: the upstream may read it before it reads that the first client closed.
    third[1].write(unclassified_request("c1"))
    assert (await read_message(third[0])).status == 200
    assert journal.overlapping == 1
    for peer in (registry, *upstreams):
        await peer.stop()


@async_test
async def test_upstream_full_or_draining_rejects_and_restarted_is_cold() -> None:
    (upstream,), journal, registry = await start_upstreams(1, make_upstream)
    upstream.gate = asyncio.Event()
    connections = [await connect_to(upstream) for _ in range(6)]
    for number, (_, writer) in enumerate(connections):
        writer.write(unclassified_request(f"c{number}"))
    await wait_until(lambda: len(journal.runs) + journal.rejected == 6)
    assert journal.rejected >= 1
    full = await read_message(connections[-1][0])
    assert full.status == 503 and full.fields["x-unprocessed"] == "1" and "x-backend-load" in full.fields
    warm = upstream.capacity_at(0.0)
    await upstream.restart()
    assert upstream.started_at is not None
    assert (
        abs(upstream.capacity_at(upstream.started_at) - 0.13 * warm) < 1e-6
        and upstream.capacity_at(upstream.started_at + 99) == warm
    )
    upstream.health = "draining"
    connection = await connect_to(upstream)
    connection[1].write(unclassified_request("late"))
    assert (await read_message(connection[0])).status == 503 and upstream.incarnation == 1
    for peer in (registry, upstream):
        await peer.stop()


@async_test
async def test_registry_change_notifies_watchers_and_records_drain() -> None:
    upstreams, _, registry = await start_upstreams(2, make_upstream)
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


def test_journal_repeated_key_lists_duplicate_effects() -> None:
    def execution(at: float, block: int) -> Execution:
        return Execution(at, "c", "reserva", "k", block, 0)

    cases: list[tuple[list[Execution], list[str]]] = [
        ([execution(0, 1), execution(1.9, 1)], []),
        ([execution(0, 1), execution(2.1, 1)], ["k"]),
        ([execution(0, 1), execution(0.1, 2)], ["k"]),
    ]
    for runs, expected_keys in cases:
        journal: Any = ExecutionJournal(runs=runs)
        assert journal.duplicate_effects("reserva", 2.0) == expected_keys


def classified_request(identity: str, key: str = "", name: str = "reserva") -> bytes:
    fields = f"Idempotency-Key: {key}\r\n" if key else ""
    return (
        f"POST /api HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {identity}\r\n"
        f"X-Service-Class: {name}\r\n{fields}\r\n"
    ).encode()


@async_test
async def test_block_repeated_key_is_dropped_only_in_same_block() -> None:
    upstreams, journal, registry = await start_upstreams(
        3, lambda n, journal: StandInUpstream(f"s{n}", journal, block=n // 2)
    )
    for number, upstream in enumerate(upstreams):
        reader, writer = await connect_to(upstream)
        writer.write(classified_request(f"c{number}", "k"))
        assert (await read_message(reader)).status == 200
    assert [run.dropped for run in journal.runs] == [False, True, False]
    assert journal.duplicate_effects("reserva", journal.window_s) == ["k"]
    for peer in (registry, *upstreams):
        await peer.stop()


@async_test
async def test_upstream_two_cores_run_in_parallel_and_rest_waits() -> None:
    (upstream,), journal, registry = await start_upstreams(
        1, lambda n, journal: StandInUpstream("s0", journal, capacity=20.0, cores=2, latency_s=0.0, queue=2)
    )
    connections = [await connect_to(upstream) for _ in range(5)]
    for number, (_, writer) in enumerate(connections):
        writer.write(classified_request(f"c{number}"))
        await wait_until(lambda seen=number + 1: len(journal.runs) + journal.rejected == seen)
    assert upstream.busy(asyncio.get_running_loop().time()) <= 2
    statuses = [(await read_message(reader)).status for reader, _ in connections]
    assert statuses == [200, 200, 200, 200, 503]  # two run, two wait, the fifth is rejected
    for peer in (registry, upstream):
        await peer.stop()


@async_test
async def test_upstream_client_disconnect_drops_waiting_request() -> None:
    (upstream,), journal, registry = await start_upstreams(
        1, lambda n, journal: StandInUpstream("s0", journal, capacity=5.0, latency_s=0.0)
    )
    first, second, third = [await connect_to(upstream) for _ in range(3)]
    for number, (_, writer) in enumerate((first, second, third)):
        writer.write(classified_request(f"c{number}"))
        await wait_until(lambda seen=number + 1: len(journal.runs) == seen)
    assert upstream.waiting() == 2
    second[1].transport.abort()
    await wait_until(lambda: upstream.waiting() == 1)
    assert (await read_message(first[0])).status == (await read_message(third[0])).status == 200
    for peer in (registry, upstream):
        await peer.stop()


@async_test
async def test_upstream_connections_are_limited_cost_work_and_time_out() -> None:
    (upstream,), journal, registry = await start_upstreams(
        1, lambda n, journal: StandInUpstream("s0", journal, most_connections=2, connect_s=0.01, idle_s=0.3)
    )
    connections = [await connect_to(upstream) for _ in range(3)]
    await wait_until(lambda: len(upstream.connections) == 3)
    before = upstream.cores_free_at[0]
    assert before > 0.0  # the work of three handshakes
    connections[2][1].write(classified_request("c2"))
    answer = await read_message(connections[2][0])
    assert answer.status == 503 and answer.fields["x-unprocessed"] == "1" and journal.rejected == 1
    assert await asyncio.wait_for(connections[0][0].read(), 20) == b""  # closed by the upstream
    await wait_until(lambda: not upstream.connections)
    for peer in (registry, upstream):
        await peer.stop()


@async_test
async def test_fleet_scripted_drain_appears_in_account_over_http() -> None:
    fleet = Fleet(Plan(upstreams=2, faults="drain@0:1"))
    await fleet.start()
    fleet.begin()
    await wait_until(lambda: fleet.registry.drains)
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.registry.port)
    writer.write(b"GET /books HTTP/1.1\r\nHost: a\r\n\r\n")
    account = json.loads((await read_message(reader)).body)
    assert [d[0] for d in account["drains"]] == ["s0001"] and account["drains"][0][3] is None
    await wait_until(lambda: fleet.journal.restarts, 30)
    assert [b[:2] for b in fleet.account()["births"]] == [["s0001", 1]]
    await wait_until(lambda: fleet.account()["drains"][0][3] is not None)
    fleet.stop()
    for peer in (fleet.registry, *fleet.upstreams):
        await peer.stop()


def test_fleet_plan_json_keeps_keys() -> None:
    table = {"nodos": 2, "trouble": "hang@1:0", "pace": 2.0}
    plan = plan_from_json(table)
    assert plan == Plan(upstreams=2, faults="hang@1:0", pace=2.0)
    assert plan_to_json(plan).items() >= table.items() and plan_from_json(plan_to_json(plan)) == plan
    with pytest.raises(TypeError, match="unknown"):
        plan_from_json({"unknown": 1})


def test_fleet_unknown_fault_raises_value_error() -> None:
    fleet = Fleet(Plan(faults="melt@1:0"))
    fleet.upstreams = []
    with pytest.raises(
        ValueError, match="names an unknown fault; known faults: die, drain, hang, silent, swallow"
    ):
        fleet.begin()


def test_list_service_plan_json_keeps_keys() -> None:
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
async def test_list_service_crash_truncates_watch_answer_once() -> None:
    service = listservice.Service(listservice.Plan(crash_after=1, crash_s=0.1, versions_restart=True))
    service.replace_list([{"host": f"s{n}", "health": "ready"} for n in range(50)])
    await service.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
    writer.write(b"GET /catalog/members?stream=1&index=0 HTTP/1.1\r\nHost: l\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    with pytest.raises(asyncio.IncompleteReadError) as truncated:
        await reader.readuntil(b"}\n")  # the end of the list
    assert b'"host": "s0"' in truncated.value.partial and b'"host": "s49"' not in truncated.value.partial
    await wait_until(lambda: service.server is None)
    await wait_until(lambda: service.server is not None)
    assert service.version == 1 and len(service.rows) == 50
    reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
    writer.write(LIST_REQUEST)
    assert len(json.loads((await read_message(reader)).body)["hosts"]) == 50
    assert [answer.outcome for answer in service.answers] == ["answered", "answered"]
    service.stop()


@async_test
async def test_list_service_overload_rejects_and_records_calls() -> None:
    plan = listservice.Plan(per_s=0.5, overload=listservice.Overload.REJECTS, retry_after="3")
    service = listservice.Service(plan)
    await service.start()
    connections = [await asyncio.open_connection("127.0.0.1", service.port) for _ in range(3)]
    for number, (_, writer) in enumerate(connections):
        writer.write(LIST_REQUEST)
        await wait_until(lambda seen=number + 1: len(service.calls) == seen)
    rejected = await read_message(connections[2][0])
    assert rejected.status == 503 and rejected.fields["retry-after"] == "3"
    reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
    writer.write(b"GET /books HTTP/1.1\r\nHost: l\r\n\r\n")
    account = json.loads((await read_message(reader)).body)
    assert [call[1:] for call in account["calls"]] == [["127.0.0.1", "whole"]] * 3
    assert [answer[1:] for answer in account["answers"]] == [["127.0.0.1", "turned away"]]
    service.stop()


@async_test
async def test_list_service_unresponsive_span_answers_nothing() -> None:
    service = listservice.Service(listservice.Plan(per_s=1000.0, unresponsive=((0, 60),)))
    await service.start()
    service.begin(asyncio.get_running_loop().time() - 1.0)
    reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
    writer.write(LIST_REQUEST)
    await wait_until(lambda: service.calls)
    await asyncio.sleep(0.1)
    assert service.is_unresponsive() and not service.answers and not service.queue
    service.stop()


def test_list_service_unknown_overload_raises_value_error() -> None:
    with pytest.raises(ValueError, match="line: 'shrugs' is not one of queues, turns away"):
        listservice.Service(listservice.Plan(overload="shrugs"))
