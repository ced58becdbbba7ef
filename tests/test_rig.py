"""The rig: scripts of faults, the proxy that injects them, how much a machine can run, clean ends."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import uvloop

from rig.capacity import Machine, process_limits, refusal
from rig.faults import (
    Conditions,
    Link,
    Script,
    ScriptError,
    datagram_delays,
    group_members,
    read_script,
    stream_delay,
)
from rig.process_events import read_events
from rig.processes import ROOT
from rig.scenario import Scenario, TooManyError, play
from rig.scenario_result import most_in

GROUPS = {"nodes": 12, "lists": 1}
LINK = Link("nodes[3]", "lists[0]")


@pytest.mark.parametrize(
    ("word", "numbers"),
    [
        ("nodes", range(12)),
        ("nodes[3]", [3]),
        ("nodes[2:5]", [2, 3, 4]),
        ("nodes[:2]", [0, 1]),
        ("nodes[10:]", [10, 11]),
        ("nodes[-1:]", [11]),
        ("lists", [0]),
        ("nodes[20:]", []),
    ],
)
def test_members_are_named_by_group_and_span(word: str, numbers: Any) -> None:
    group = word.partition("[")[0]
    assert group_members(word, GROUPS) == {f"{group}[{n}]" for n in numbers}


@pytest.mark.parametrize(
    "line",
    [
        "x cut nodes lists",
        "1 melt nodes lists",
        "1 cut nodes",
        "1 cut nodes lists till 3",
        "1",
        "3 cut nodes lists until 2",
        "1 loss nodes lists",
        "1 loss 1.5 nodes lists",
        "-1 cut nodes lists",
        "1 delay x nodes lists",
        "1 cut nodos lists",
        "1 delay 0.1~-1 nodes lists",
        "nan cut nodes lists",
        "1 trickle inf nodes lists",
        "1 cut nodes lists until soon",
        "1 cut nodes[99] lists",
    ],
)
def test_a_line_that_cannot_be_played_is_refused_with_its_reason(line: str) -> None:
    with pytest.raises(ScriptError, match="'"):
        read_script(line, GROUPS)


@pytest.mark.parametrize(
    ("script", "at", "outbound", "conditions"),
    [
        ("1 cut nodes[:6] lists until 3", 0.9, True, Conditions()),
        ("1 cut nodes[:6] lists until 3", 1.0, True, Conditions(passes=False)),
        ("1 cut lists nodes[:6] until 3", 2.9, False, Conditions(passes=False)),
        ("1 cut nodes[:6] lists until 3", 3.0, True, Conditions()),
        ("1 cut nodes[4:] lists until 3", 2.0, True, Conditions()),
        ("1 silent nodes lists", 2.0, True, Conditions(passes=False)),
        ("1 silent nodes lists", 2.0, False, Conditions()),
        ("1 silent lists nodes", 2.0, True, Conditions()),
        ("1 silent lists nodes", 2.0, False, Conditions(passes=False)),
        (
            "0 delay 0.2~0.1 nodes lists\n0 delay 0.3 lists nodes",
            5.0,
            True,
            Conditions(delay=0.5, jitter=0.1),
        ),
        ("0 loss 0.5 nodes lists\n0 loss 0.5 nodes lists", 0.0, True, Conditions(loss=0.75)),
        ("0 trickle 400 nodes lists # slow\n0 trickle 100 nodes lists", 1.0, True, Conditions(rate=100.0)),
        (
            "0 double 0.1 nodes lists\n0 reorder 0.2 nodes lists",
            1.0,
            False,
            Conditions(double=0.1, reorder=0.2),
        ),
    ],
)
def test_what_holds_on_a_link_at_a_moment(
    script: str, at: float, outbound: bool, conditions: Conditions
) -> None:
    assert Script(read_script(script, GROUPS)).conditions(LINK, at, outbound) == conditions


def test_connections_at_a_moment_resets_and_links_that_no_line_touches() -> None:
    script = Script(
        read_script("1 cut nodes lists until 2\n3 refuse nodes lists until 4\n5 reset nodes lists", GROUPS)
    )
    assert [script.opening(LINK, at) for at in (0.5, 1.5, 2.5, 3.5, 4.5)] == [
        "yes",
        "hangs",
        "yes",
        "refused",
        "yes",
    ]
    assert script.resets(LINK) == [5.0] and script.changes() == [1.0, 2.0, 3.0, 4.0, 5.0]
    one = Script(read_script("1 cut nodes[0] lists", GROUPS))
    assert one.affects(Link("lists[0]", "nodes[0]")) and not one.affects(LINK)


def test_datagrams_are_lost_doubled_and_late_by_the_given_shares() -> None:
    rng = random.Random(1)
    conditions = Conditions(loss=0.2, double=0.1, reorder=0.3, delay=1.0)
    got = [datagram_delays(conditions, rng) for _ in range(20_000)]
    assert 0.18 < sum(not copies for copies in got) / len(got) < 0.22
    assert 0.07 < sum(len(copies) == 2 for copies in got) / len(got) < 0.09
    late = [at for copies in got for at in copies]
    assert min(late) == 1.0 and 0.28 < sum(at > 1.0 for at in late) / len(late) < 0.32
    assert 1.2 < max(datagram_delays(Conditions(delay=1.0, jitter=0.25), rng)[0] for _ in range(500)) <= 1.25
    assert datagram_delays(Conditions(passes=False), rng) == []
    assert [stream_delay(Conditions(rate=100.0), 50, rng), stream_delay(Conditions(delay=0.5), 50, rng)] == [
        0.5,
        0.5,
    ]
    assert 0.05 < sum(stream_delay(Conditions(loss=0.2), 9, rng) for _ in range(9_000)) / 9_000 < 0.09


class Echo(asyncio.Protocol):
    """Sends back what it receives, and records who connected."""

    peers: list[str] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self.peers.append(transport.get_extra_info("peername")[0])

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)


@asynccontextmanager
async def proxied(script: str, links: list[list[Any]]) -> AsyncIterator[list[int]]:
    """Start a fault proxy, release it at once, and yield its ports."""
    plan = {"script": script, "groups": GROUPS, "seed": 3, "links": links}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "rig.fault_proxy", cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        process.stdin.write(json.dumps(plan).encode() + b"\n")
        ports = json.loads(await process.stdout.readline())["ports"]
        process.stdin.write(json.dumps({"begin": time.monotonic()}).encode() + b"\n")
        await process.stdin.drain()
        yield ports
    finally:
        process.kill()
        await process.wait()


def run_test(test: Any) -> None:
    uvloop.run(asyncio.wait_for(test(), 30))


def test_a_stream_through_the_fault_proxy_is_held_back_by_a_cut_and_nothing_of_it_is_lost() -> None:
    async def test() -> None:
        Echo.peers = []
        server = await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", 0)
        target = list(server.sockets[0].getsockname())
        link = ["nodes[3]", "lists[0]", "tcp", ["127.10.0.4", 0], target, "127.10.0.4"]
        other = ["nodes[4]", "lists[0]", "tcp", ["127.10.0.5", 0], target, "127.10.0.5"]
        async with proxied("0.8 cut nodes[3] lists until 1.6", [link, other]) as ports:
            began = time.monotonic()
            reader, writer = await asyncio.open_connection("127.10.0.4", ports[0])
            writer.write(b"before")
            assert await reader.readexactly(6) == b"before"
            await asyncio.sleep(max(0.0, began + 1.0 - time.monotonic()))
            writer.write(b"x" * 300_000)
            new_reader, new_writer = await asyncio.open_connection("127.10.0.4", ports[0])
            new_writer.write(b"new")
            free_reader, free_writer = await asyncio.open_connection("127.10.0.5", ports[1])
            free_writer.write(b"free")
            assert await free_reader.readexactly(4) == b"free"
            assert time.monotonic() < began + 1.6, "the link that no line is about was held up"
            assert await reader.readexactly(300_000) == b"x" * 300_000
            assert await new_reader.readexactly(3) == b"new"
            assert time.monotonic() >= began + 1.55
            for one in (writer, new_writer, free_writer):
                one.close()
        assert set(Echo.peers) == {"127.10.0.4", "127.10.0.5"}
        server.close()

    run_test(test)


def test_resets_refusals_and_trickles() -> None:
    async def test() -> None:
        server = await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", 0)
        target = list(server.sockets[0].getsockname())
        links = [[f"nodes[{n}]", "lists[0]", "tcp", ["127.0.0.1", 0], target, ""] for n in range(3)]
        script = "0.5 reset nodes[0] lists\n0 refuse nodes[1] lists until 0.7\n0 trickle 20000 nodes[2] lists"
        async with proxied(script, links) as ports:
            began = time.monotonic()
            reader, writer = await asyncio.open_connection("127.0.0.1", ports[0])
            slow_reader, slow_writer = await asyncio.open_connection("127.0.0.1", ports[2])
            slow_writer.write(b"y" * 10_000)
            refused_reader, _ = await asyncio.open_connection("127.0.0.1", ports[1])
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await refused_reader.readexactly(1)
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await reader.readexactly(1)
            assert time.monotonic() >= began + 0.45
            await slow_reader.readexactly(10_000)
            assert time.monotonic() >= began + 0.45
        server.close()

    run_test(test)


def test_datagrams_come_from_the_socket_that_receives_replies() -> None:
    """nodes[1] knows nodes[0] by the proxy's address for it, in both directions."""

    class DatagramRecorder(asyncio.DatagramProtocol):
        def __init__(self) -> None:
            self.received: asyncio.Queue[Any] = asyncio.Queue()

        def connection_made(self, transport: Any) -> None:
            self.transport = transport

        def datagram_received(self, data: bytes, address: Any) -> None:
            self.received.put_nowait((data, address))

    async def test() -> None:
        loop = asyncio.get_running_loop()
        ends = [
            (await loop.create_datagram_endpoint(DatagramRecorder, local_addr=("127.0.0.1", 0)))[1]
            for _ in range(2)
        ]
        where = [list(one.transport.get_extra_info("sockname")) for one in ends]
        links = [
            ["nodes[0]", "nodes[1]", "udp", ["127.0.0.1", 0], where[1], ""],
            ["nodes[1]", "nodes[0]", "udp", ["127.0.0.1", 0], where[0], ""],
        ]
        async with proxied("0.6 cut nodes[0] nodes[1]", links) as ports:
            ends[0].transport.sendto(b"hello", ("127.0.0.1", ports[0]))
            data, address = await ends[1].received.get()
            assert data == b"hello" and address[1] == ports[1]
            ends[1].transport.sendto(b"well", address)
            assert (await ends[0].received.get())[0] == b"well"
            await asyncio.sleep(0.8)
            ends[0].transport.sendto(b"lost", ("127.0.0.1", ports[0]))
            await asyncio.sleep(0.2)
            assert ends[1].received.empty()

    run_test(test)


def test_how_many_processes_a_machine_can_run() -> None:
    small = Machine(memory_mb=4_000.0, cores=2.0, descriptors=1_024, processes=4_096)
    most = process_limits(small)
    assert most["memory"] == 53 and most["descriptors"] == 206
    assert refusal(small, 50) == ""
    assert refusal(small, 60).startswith("60 balancers are too many here: memory are enough for 53")
    assert "cores" in refusal(small, 20, rate=5_000.0)
    with pytest.raises(TooManyError, match="too many"):
        play(Scenario(balancers=1_000_000))


@pytest.mark.parametrize(
    "line", ["1 eat nodes", "x kill nodes", "1 kill", "1 kill nodes back", "1 kill nodes soon 3"]
)
def test_events_are_read_or_refused(line: str) -> None:
    assert read_events("2 term nodes[3]\n1 kill nodes[:4] back 0.5 # all", GROUPS)[0].back == 0.5
    with pytest.raises(ScriptError):
        read_events(line, GROUPS)


def test_the_most_of_moments_within_a_span() -> None:
    assert most_in([], 1.0) == 0 and most_in([0.0, 0.5, 1.0, 1.6], 1.0) == 3


def alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def test_an_interrupted_run_ends_what_it_started_and_only_that(tmp_path: Path) -> None:
    """SIGINT to the rig's process alone, half way through: its children end before it does."""
    stranger = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
    code = (
        "from rig.scenario import Scenario, play\n"
        "import signal, sys\n"
        "signal.signal(signal.SIGINT, signal.default_int_handler)\n"  # it may be ignored where tests run
        "play(Scenario(balancers=3, upstream_plan={'nodos': 2}, rate=5, seconds=60), sys.stdout)\n"
    )
    rig = subprocess.Popen(
        [sys.executable, "-c", code], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    )
    try:
        assert rig.stdout is not None and b'"release"' in rig.stdout.readline()
        children = [int(n) for n in Path(f"/proc/{rig.pid}/task/{rig.pid}/children").read_text().split()]
        assert len(children) == 7  # upstreams, list service, fault proxy, clients, and three balancers
        rig.send_signal(signal.SIGINT)
        rig.wait(30)
        assert not any(alive(pid) for pid in children) and stranger.poll() is None
    finally:
        if rig.poll() is None:
            os.kill(rig.pid, signal.SIGKILL)
        stranger.kill()
        stranger.wait()
