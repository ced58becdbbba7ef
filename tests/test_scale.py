"""Scale runs: real balancers beside hollow ones, their bounds, and a clean end when interrupted.

Only counts and rules are checked; times are measured by bench.scale.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import uvloop

from bench.capacity_inputs import read_scale
from bench.scale import FULL, Check, checks, differences, long_plan, page_rows, plan_of
from bench.scale_events import ScaleReport, first_at, spread
from rig.capacity import Machine, ScaleDemand, scale_refusal
from rig.hollow import HollowBalancers, SharedReader
from rig.meter import MeterLog
from rig.processes import ROOT
from rig.relays import relay_address, relay_settings
from rig.scale import alias_rows, play_scale
from rig.scale_plan import ScaleEvent, ScaleEventKind, ScalePlan
from rig.scenario import TooManyError
from standins.listservice import Plan, Service

MACHINE = Machine(memory_mb=15_000.0, cores=8.0, descriptors=20_000, processes=96_000, total_mb=23_000.0)
HOSTS = [
    {
        "host": f"s{n}",
        "dial": f"127.0.0.1:{n + 1}",
        "site": "north",
        "class": "std",
        "block": n // 4,
        "health": "ready",
        "share": 1.0,
        "born_ms": 0,
    }
    for n in range(8)
]
SMALL = (
    ScaleEvent(0.0, "all start", window=4.0),
    ScaleEvent(4.0, "quiet", window=1.0),
    ScaleEvent(5.0, "rack", ScaleEventKind.CHANGE, window=1.5, rows=40, gone=True),
    ScaleEvent(6.5, "rack back", ScaleEventKind.CHANGE, window=1.5, rows=40),
    ScaleEvent(8.0, "source down", ScaleEventKind.DOWN, window=7.0, span=1.5),
)
KILLED = ScaleEvent(15.0, "relay killed", ScaleEventKind.KILL, window=5.0, rows=40, count=1)


# ---- bounds


@pytest.mark.parametrize("size", FULL)
@pytest.mark.parametrize("after", [False, True])
def test_all_sizes_of_the_bench_are_within_the_bounds_of_a_machine_of_eight_cores(
    size: Any, after: bool
) -> None:
    assert scale_refusal(MACHINE, plan_of(size, after, 1).demand()) == ""


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"share": "nothing"}, "memory"),
        ({"rows": 63_000, "share": "rows"}, "memory"),
        ({"real": 400}, "processes"),
        ({"relays": 400}, "processes"),
        ({"rate": 9_000.0}, "cores"),
        ({"hollow": 30_000, "share": "module"}, "cores"),
    ],
)
def test_more_than_the_machine_can_run_is_refused_with_the_bound(change: dict[str, Any], name: str) -> None:
    scale = ScaleDemand(real=20, hollow=4_600, rows=2_000, relays=11, hollow_processes=8, share="module")
    assert scale_refusal(MACHINE, scale) == ""
    roomy = replace(MACHINE, memory_mb=80_000.0, total_mb=90_000.0)
    said = scale_refusal(roomy if name == "processes" else MACHINE, replace(scale, **change))
    assert name in said and "the bound is" in said
    half = replace(MACHINE, memory_mb=90_000.0, total_mb=3_000.0)  # of all memory, however much is free
    assert "memory" in scale_refusal(half, scale) and "bound is 1500" in scale_refusal(half, scale)


def test_a_run_that_is_too_large_starts_nothing() -> None:
    with pytest.raises(TooManyError, match="the bound is"):
        play_scale(ScalePlan(real=1_000_000, hollow=0, events=SMALL))


# ---- parts


def test_equal_texts_are_parsed_once_and_a_broken_one_every_time() -> None:
    reader, text = SharedReader(), json.dumps({"seq": 3, "whole": True, "hosts": HOSTS}).encode()
    assert reader(text) is reader(bytes(bytearray(text))) and len(reader(text).entries) == 8
    assert reader(text.replace(b'"seq": 3', b'"seq": 4')).version == 4
    for _ in range(2):
        with pytest.raises(ValueError):
            reader(b"{")


def test_many_rows_lead_to_few_upstreams_each_in_its_block() -> None:
    rows = alias_rows(HOSTS, 20)
    assert len({row["host"] for row in rows}) == 20 and {row["dial"] for row in rows} == {
        host["dial"] for host in HOSTS
    }
    assert all(row["block"] == HOSTS[n % 8]["block"] for n, row in enumerate(rows))


def test_the_list_service_changes_single_rows_and_sends_only_these() -> None:
    async def test() -> None:
        service = Service(Plan())
        service.replace_list(HOSTS)
        service.change_rows([HOSTS[0] | {"health": "gone"}, HOSTS[1] | {"health": "draining"}])
        update = json.loads(service.encoded(2))
        assert [row["health"] for row in update["hosts"]] == ["gone", "draining"] and update["seq"] == 3
        assert len(json.loads(service.encoded(None))["hosts"]) == 7
        service.change_rows([HOSTS[0]])
        assert [row["host"] for row in json.loads(service.encoded(3))["hosts"]] == ["s0"]
        # From further back: all that changed since, each row as it is now.
        assert {row["host"]: row["health"] for row in json.loads(service.encoded(2))["hosts"]} == {
            "s0": "ready",
            "s1": "draining",
        }
        service.replace_list(HOSTS[1:])
        assert {row["host"]: row["health"] for row in json.loads(service.encoded(4))["hosts"]} == {
            "s0": "gone",
            "s1": "ready",
        }

    uvloop.run(test())


def test_a_change_while_an_answer_is_under_way_is_sent_after_it() -> None:
    async def test() -> None:
        service = Service(Plan(per_s=20.0))
        service.replace_list(HOSTS)
        await service.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
        writer.write(b"GET /catalog/members?stream=1&index=0 HTTP/1.1\r\nHost: l\r\n\r\n")
        while not service.busy:
            await asyncio.sleep(0)
        service.change_rows([HOSTS[0] | {"health": "gone"}])
        data = b""
        while b'"seq": 3' not in data:
            data += await reader.read(65536)
        assert data.index(b'"seq": 2') < data.index(b'"seq": 3') and b'"gone"' in data
        writer.close()
        service.stop()

    uvloop.run(asyncio.wait_for(test(), 30))


def test_a_plan_that_shares_something_unknown_is_refused() -> None:
    async def test() -> None:
        with pytest.raises(ValueError, match="share"):
            HollowBalancers({"share": "everything"})

    uvloop.run(test())


def test_what_a_meter_wrote_is_read_by_moment(tmp_path: Path) -> None:
    path = tmp_path / "n0.meter"
    path.write_text("counts 1.0 1 0 73\nheard 1.5 2\ncounts 2.0 1 500 73\nin_force 2.1 2\n")
    one = MeterLog(path)
    assert one.counts_at(0.5) == (0, 0, 0) and one.counts_at(1.2) == (1, 0, 73)
    assert one.counts_at(9.0) == (1, 500, 73) and one.applied == [(2.1, 2)] and one.received == [(1.5, 2)]
    assert MeterLog(tmp_path / "none").counts == []


def test_times_until_in_force() -> None:
    assert first_at([(1.0, 2), (3.0, 5)], 4) == 3.0 and first_at([(1.0, 2)], 3) is None
    times = spread([0.1, None, 0.3])
    assert (times["p50_s"], times["last_s"], times["missing"], times["of"]) == (0.3, 0.3, 1, 3)


def test_the_bounds_and_what_differs_are_named() -> None:
    assert Check("x", 2.0, 2.0).kept() and not Check("x", 2.1, 2.0).kept()
    pair = {"hollow": 2.0, "real": 1.0, "ratio": 2.0}
    close = {"hollow": 1.0, "real": 1.1, "ratio": 0.909}
    none = {"hollow": 0.0, "real": 0.0, "ratio": None}
    assert differences({"agreement": {"calls": pair, "bytes": close, "time": none}}) == [
        "calls: hollow 2, real 1"
    ]
    assert long_plan(1).rows == 63_000
    text = relay_settings(f"{relay_address(0)}:9301", "127.0.0.1:8500", 11, 4_600, 50.0)
    assert 'listen = "127.11.0.1:9301"' in text and "balancers = 4600" in text


# ---- runs


def play(relays: int) -> dict[str, Any]:
    moments = (*SMALL, KILLED) if relays else SMALL
    seconds = moments[-1].at + moments[-1].window
    plan = ScalePlan(4, 40, moments, relays, rows=1_000, hollow_processes=2, seconds=seconds, rate=24.0)
    return ScaleReport(play_scale(plan)).summary()


def broken(run: dict[str, Any]) -> list[Check]:
    return [check for check in checks(run) if not check.timed and not check.kept()]


def test_real_and_hollow_balancers_before_one_list_service() -> None:
    run = play(0)
    assert run["kept"] and not broken(run), (broken(run), run["crashes"], run["ends"])
    start, _, rack, _, down = run["events"]
    assert start["hollow"]["of"] == 40 and start["source"]["calls"] == {"relays": 0, "balancers": 45}
    # One complete list each, and each change once; hollow and real differ by heartbeats alone.
    hollow, real = start["hollow_each"], start["real_each"]
    assert hollow["lines"] == 1.0 and abs(hollow["bytes_in"] - real["bytes_in"]) < 200
    assert rack["hollow_each"]["lines"] == 1.0 and rack["hollow_each"]["calls"] == 0.0
    assert abs(rack["hollow_each"]["bytes_in"] - rack["real_each"]["bytes_in"]) < 200
    assert down["hollow_each"]["calls"] >= 1.0 and down["real_each"]["calls"] >= 1.0
    assert set(run["agreement"]) >= {"calls, all", "bytes in, all", "change in force, p50 ms"}


def test_real_and_hollow_balancers_behind_two_relays_one_of_which_is_killed() -> None:
    run = play(2)
    assert run["kept"] and not broken(run), (broken(run), run["crashes"], run["ends"])
    assert run["events"][-1]["hollow"]["of"] == 40
    rows = read_scale({"events": page_rows(run)})
    assert {row.event for row in rows} == {moment.name for moment in (*SMALL, KILLED)}
    assert all(row.way == "relays" and row.hollow == 40 for row in rows)


def alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_bench_leaves_no_process(number: signal.Signals) -> None:
    code = (
        "import signal, sys\n"
        "signal.signal(signal.SIGINT, signal.default_int_handler)\n"  # it may be ignored where tests run
        "import bench.scale as bench\n"
        "from rig.scale import play_scale\n"
        "from rig.scale_plan import ScaleEvent, ScaleEventKind, ScalePlan\n"
        "events = (ScaleEvent(0.0, 'all start', window=60.0),)\n"
        "plan = ScalePlan(2, 6, events, 1, rows=40, upstreams=2, hollow_processes=2, seconds=60)\n"
        "bench.runs = lambda options: [('one', plan)]\n"
        "bench.play_scale = lambda plan: play_scale(plan, sys.stdout)\n"
        "sys.argv = ['bench.scale']\n"
        "bench.main()\n"
    )
    rig = subprocess.Popen(
        [sys.executable, "-c", code], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    )
    try:
        assert rig.stdout is not None
        while b'"release"' not in (line := rig.stdout.readline()):
            assert line, "the bench has ended"
        children = [int(n) for n in Path(f"/proc/{rig.pid}/task/{rig.pid}/children").read_text().split()]
        # Upstreams, list service, proxy, clients, a relay, three processes of hollow ones, two balancers.
        assert len(children) == 10
        rig.send_signal(number)
        rig.wait(30)
        assert not any(alive(pid) for pid in children)
    finally:
        if rig.poll() is None:
            os.kill(rig.pid, signal.SIGKILL)
        rig.wait()
