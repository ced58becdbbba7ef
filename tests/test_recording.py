"""Traces recorded by a balancer: they are complete and replayable, and do not disturb the service."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import pytest
import uvloop
from peers import SETTINGS, async_test, read_message, wait_until

from quartzford.decision import interface as io
from quartzford.engine import LoopClock
from quartzford.load.options import LoadOptions, Target
from quartzford.load.plan import plan_requests
from quartzford.load.trace import TraceRow, read_trace
from quartzford.recording import Recorder
from standins.site import reserved_port
from standins.upstream import StandInUpstream, start_upstreams

ROOT = Path(__file__).resolve().parent.parent


class LogLines:
    def __init__(self) -> None:
        self.lines: list[str] = []

    def line(self, topic: str, text: str) -> None:
        self.lines.append(f"{topic}: {text}")

    def exception(self, where: str) -> None:
        self.lines.append(where)


def open_recorder(path: Path, keys: str = "hashed", max_bytes: int = 10**9) -> tuple[Recorder, LogLines]:
    log = LogLines()
    return Recorder(str(path), keys, max_bytes, LoopClock(asyncio.get_running_loop()), log), log


def make_request(number: int, key: str = "") -> io.Request:
    return io.Request(number, "consulta", 2000.0, "lima", key)


def rows_in(path: Path) -> list[TraceRow]:
    with path.open(encoding="utf-8") as file:
        return list(read_trace(file))


@pytest.mark.parametrize("keys", ["hashed", "plain", "none"])
def test_trace_contains_requests_with_keys_in_the_configured_mode(tmp_path: Path, keys: str) -> None:
    @async_test
    async def test() -> None:
        recorder, _ = open_recorder(tmp_path / "t", keys)
        for number in range(50):
            recorder.record(make_request(number, f"user-{number % 5}"), number)
        recorder.close()

    test()
    rows = rows_in(tmp_path / "t")
    assert [row.size for row in rows] == list(range(50)) and {row.left_ms for row in rows} == {2000.0}
    assert [row.offset for row in rows] == sorted(row.offset for row in rows)
    recorded_keys = {row.key for row in rows}
    assert len(recorded_keys) == (1 if keys == "none" else 5)
    assert ("user" in (tmp_path / "t").read_text()) == ("user-1" in recorded_keys) == (keys == "plain")


@async_test
async def test_recording_at_maximum_file_size_ends_with_a_complete_trace() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "t"
        recorder, log = open_recorder(path, max_bytes=200)
        for number in range(50):
            recorder.record(make_request(number), 0)
        recorder.close()
        rows = rows_in(path)
        assert 0 < len(rows) < 50 and log.lines == [
            f"trace: maximum file size reached; recording stopped after {len(rows)} requests"
        ]


@pytest.mark.skipif(not os.path.exists("/dev/full"), reason="no device that is full")
def test_write_error_ends_the_recording_and_is_logged() -> None:
    @async_test
    async def test() -> None:
        recorder, log = open_recorder(Path("/dev/full"))
        recorder.record(make_request(1), 0)
        await wait_until(lambda: log.lines)
        assert "No space left" in log.lines[0] and recorder.stopped
        recorder.record(make_request(2), 0)  # neither raises nor blocks
        recorder.close()

    test()


def test_trace_of_a_balancer_process_can_be_replayed(tmp_path: Path) -> None:
    async def test() -> None:
        upstreams, _, registry = await start_upstreams(
            2, lambda n, journal: StandInUpstream(f"s{n}", journal)
        )
        config: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "5",
            "known": registry.complete(),
            "discovery": f"127.0.0.1:{registry.port}",
            "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }
        port = reserved_port()
        config["listen"] = f"127.0.0.1:{port}"
        (tmp_path / "balancer.json").write_text(json.dumps(config))
        operator = tmp_path / "operator.toml"
        operator.write_text('config = "balancer.json"\n[trace]\nfile = "seen.trace"\n')
        environment = {k: v for k, v in os.environ.items() if k != "EDGE_CONFIG"}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "quartzford",
            "serve",
            "--operator",
            str(operator),
            cwd=ROOT,
            env=environment,
            stderr=subprocess.DEVNULL,
        )
        try:
            streams = None
            while streams is None:
                try:
                    streams = await asyncio.open_connection("127.0.0.1", port)
                except OSError:
                    await asyncio.sleep(0.05)
            reader, writer = streams
            for number in range(10):
                writer.write(
                    f"POST /api HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c{number}\r\nX-Account: lima\r\n"
                    f"X-Service-Class: pay\r\nX-Time-Left: 1500m\r\nCookie: sid=u{number % 2}\r\n"
                    f"Content-Length: {number}\r\n\r\n{'x' * number}".encode()
                )
                assert (await read_message(reader)).status == 200
            writer.close()
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), 30) == 0
        finally:
            if process.returncode is None:
                process.kill()
        for peer in (registry, *upstreams):
            await peer.stop()

    uvloop.run(test())
    rows = rows_in(tmp_path / "seen.trace")
    assert [(r.service_class, r.tenant, r.size, r.left_ms) for r in rows] == [
        ("pay", "lima", n, 1500.0) for n in range(10)
    ]
    assert len({row.key for row in rows}) == 2 and not any("u0" in row.key for row in rows)
    replayed = plan_requests(LoadOptions(Target("h", 1), rows=tuple(rows), speed=2.0), 0)
    assert [planned.size for planned in replayed] == list(range(10))


def test_trace_file_that_cannot_be_created_fails_the_start(tmp_path: Path) -> None:
    operator = tmp_path / "operator.toml"
    operator.write_text('[trace]\nfile = "none/such/t"\n')
    config = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": "5",
        "settings": SETTINGS,
        "known": {"seq": 1, "whole": True, "hosts": []},
        "discovery": "127.0.0.1:1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    }
    path = tmp_path / "balancer.json"
    path.write_text(json.dumps(config))
    result = subprocess.run(
        [sys.executable, "-m", "quartzford", "serve", "--operator", str(operator)],
        cwd=ROOT,
        env={**os.environ, "EDGE_CONFIG": str(path)},
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 2 and result.stderr.count(b"\n") == 1 and b"trace.file: " in result.stderr
