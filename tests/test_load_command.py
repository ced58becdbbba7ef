"""The command `quartzford load`: interruption, exhausted descriptors, usage errors and traces."""

from __future__ import annotations

import json
import resource
import signal
import time
from pathlib import Path

import pytest
from load_helpers import delay_server, start_load_command


def test_load_interrupted_prints_the_measurements(tmp_path: Path) -> None:
    def default_sigint() -> None:
        signal.signal(signal.SIGINT, signal.SIG_DFL)  # a shell starts background jobs with SIGINT ignored

    with delay_server("none") as (target, _):
        path = tmp_path / "r.json"
        process = start_load_command(
            "--target",
            f"127.0.0.1:{target.port}",
            "--seconds",
            "60",
            "--json",
            str(path),
            "--late-ms",
            "1e6",
            preexec_fn=default_sigint,
        )
        assert process.stderr is not None
        assert process.stderr.readline().startswith(b"playing")
        time.sleep(2.0)
        process.send_signal(signal.SIGINT)
        out, errors = process.communicate(timeout=30)
    assert process.returncode == 130 and b"latency from the intended send" in out and not errors
    result = json.loads(path.read_text())
    assert result["interrupted"] and 0 < result["ended"] < 6000


def test_load_out_of_descriptors_reports_one_line_and_exits_cleanly() -> None:
    def few_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40))

    with delay_server("never") as (target, _):
        process = start_load_command(
            "--target",
            f"127.0.0.1:{target.port}",
            "--seconds",
            "1",
            "--shape",
            "constant:200",
            "--mix",
            "cobro=1",
            "--late-ms",
            "1e6",
            preexec_fn=few_descriptors,
        )
        out, errors = process.communicate(timeout=60)
    assert process.returncode == 3 and out.count(b"! out of descriptors or ports") == 1
    assert b"Traceback" not in errors and b"cobro unreachable" in out


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        (["--target", "nowhere"], b"--target"),
        (["--shape", "wave:3"], b"no such shape"),
        (["--mix", "a=b"], b"--mix"),
        (["--patience", "0-5"], b"--patience"),
        (["--trace", "/nonexistent"], b"--trace"),
        (["--think"], b"--think"),
        (["--closed", "-1"], b"--closed"),
        (["--books", "127.0.0.1:1", "--seconds", "0.1"], b"--books"),
        (["compare", "one"], b"two results"),
        (["compare", "/nonexistent", "/nonexistent"], b"compare: /nonexistent"),
    ],
)
def test_load_usage_error_prints_one_line(arguments: list[str], reason: bytes) -> None:
    process = start_load_command(*arguments)
    out, errors = process.communicate(timeout=60)
    errors = errors.replace(b"playing; Ctrl-C ends it\n", b"")
    assert process.returncode == 2 and reason in errors and errors.count(b"\n") == 1 and not out


def test_load_makes_and_replays_a_trace(tmp_path: Path) -> None:
    path, result_path = tmp_path / "t.trace", tmp_path / "a.json"
    made = start_load_command("--shape", "constant:100", "--seconds", "2", "--make-trace", str(path))
    assert made.wait(60) == 0
    with delay_server("none") as (target, _):
        process = start_load_command(
            "--target",
            f"127.0.0.1:{target.port}",
            "--trace",
            str(path),
            "--speed",
            "4",
            "--json",
            str(result_path),
            "--late-ms",
            "1e6",
        )
        out, errors = process.communicate(timeout=60)
    assert process.returncode == 0, (out, errors)
    result = json.loads(result_path.read_text())
    assert result["ended"] == len(path.read_text().splitlines()) - 2 and result["seconds"] < 2.0
    compared = start_load_command("compare", str(result_path), str(result_path))
    out, _ = compared.communicate(timeout=60)
    assert compared.returncode == 0 and b"1.000" in out
