"""The load generator over sockets: servers of known delay, frozen, silent; starvation and interruption."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import uvloop

from quartzford.load.attempt import ClientAttempt
from quartzford.load.clients import SINGLE_ATTEMPT, ClientBehaviour, RequestClass
from quartzford.load.driver import Driver, WorkerPlan
from quartzford.load.live import ProgressTotals
from quartzford.load.options import LoadOptions, Target
from quartzford.load.plan import make_trace, plan_requests
from quartzford.load.record import Record, histogram_summary
from quartzford.load.run import play
from quartzford.load.trace import TraceRow

ROOT = Path(__file__).resolve().parent.parent
ONE = (RequestClass("consulta", deadline_s=4.0, latency_objective_s=1.0),)


@contextmanager
def server(spec: str) -> Iterator[tuple[Target, subprocess.Popen[bytes]]]:
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.delay", spec], cwd=ROOT, stdout=subprocess.PIPE
    )
    assert process.stdout is not None
    try:
        yield Target("127.0.0.1", int(process.stdout.readline())), process
    finally:
        process.kill()
        process.wait()


def worker_plan(load: LoadOptions, start: float | None = None) -> WorkerPlan:
    """start: on the monotonic clock; None: now."""
    requests = plan_requests(load, 0)
    return WorkerPlan(
        load.target,
        load.behaviour,
        requests,
        time.monotonic() if start is None else start,
        load.seed,
        "t",
    )


def driven(load: LoadOptions) -> Record:
    """One worker, in this process."""

    async def main() -> Record:
        record = Record(load.request_classes)
        await Driver(worker_plan(load, time.monotonic() + 0.05), record).run()
        return record

    return uvloop.run(main())


@pytest.mark.parametrize(("spec", "p50", "p99"), [("constant:40", 40, 40), ("two:10,80,0.05", 10, 80)])
def test_a_server_of_known_delay_is_measured_as_it_is(spec: str, p50: float, p99: float) -> None:
    """Bounds wide enough for any machine; bench.loadgen holds the narrow ones."""
    with server(spec) as (target, _):
        record = driven(
            LoadOptions(target, "constant:200", 3.0, request_classes=ONE, behaviour=SINGLE_ATTEMPT)
        )
    got = histogram_summary(record.complete(record.latency))
    assert got["count"] > 450 and record.outcomes == {"consulta served": got["count"]}
    assert p50 <= got["p50"] <= p50 * 1.5 + 5 and p99 <= got["p99"]


def test_a_server_frozen_for_a_second_shows_in_all_that_was_due_then() -> None:
    """What a closed loop hides: hundreds were due in that second, and each waited for the rest of it."""
    with server("constant:2") as (target, process):
        timers = [
            threading.Timer(at, os.kill, (process.pid, number))
            for at, number in ((1.0, signal.SIGSTOP), (2.0, signal.SIGCONT))
        ]
        for timer in timers:
            timer.start()
        record = driven(
            LoadOptions(target, "constant:300", 4.0, "fixed", request_classes=ONE, behaviour=SINGLE_ATTEMPT)
        )
    complete = record.complete(record.latency)
    assert sum(record.outcomes.values()) == 1200
    half = sum(
        item.count_added_in_this_iter_step
        for item in complete.get_recorded_iterator()
        if item.value_iterated_to > 500_000
    )
    assert 100 <= half <= 260 and complete.get_max_value() > 900_000


def test_latency_counts_the_wait_for_a_connection_and_service_does_not() -> None:
    with server("constant:20") as (target, _):
        bounded = Target(target.host, target.port, connections=1)
        record = driven(
            LoadOptions(
                bounded, "burst:100@0+0.3", 1.0, "fixed", request_classes=ONE, behaviour=SINGLE_ATTEMPT
            )
        )
    latency, service = (
        histogram_summary(record.complete(record.latency)),
        histogram_summary(record.complete(record.service)),
    )
    assert latency["count"] >= 29 and latency["max"] > 250 > service["p50"] >= 20
    assert (
        histogram_summary(record.lateness)["max"] > 200
    )  # its own bound: the generator says that it was late


def test_a_server_that_never_answers_loses_no_request() -> None:
    request_classes = (RequestClass("cobro", deadline_s=0.4, effect="unsafe"),)
    with server("never") as (target, _):
        record = driven(
            LoadOptions(
                target,
                "constant:100",
                1.0,
                "fixed",
                request_classes=request_classes,
                behaviour=ClientBehaviour(),
            )
        )
    assert record.outcomes == {"cobro no answer": 100} and record.attempt_outcomes == {"no answer": 100}
    assert record.goodput()["whole"] == 0.0


class HeldUp(Driver):
    """A driver whose process is held up while its first connection comes up."""

    def connect(self, attempt: ClientAttempt, fresh: bool = False) -> None:
        super().connect(attempt, fresh)
        if attempt.request.number == 1 and attempt.request.attempts == 1:
            self.loop.call_soon(self.loop.call_soon, time.sleep, 0.5)


def test_a_hold_up_of_the_generator_is_no_fault_of_the_server() -> None:
    """The connection comes up while the generator is held up beyond the attempt's time limit."""

    async def main() -> Record:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        listening = await asyncio.start_server(serve, "127.0.0.1", 0)
        request_classes = (RequestClass("cobro", deadline_s=0.4, effect="unsafe"),)
        target = Target("127.0.0.1", listening.sockets[0].getsockname()[1])
        load = LoadOptions(
            target, "constant:4", 0.2, "fixed", request_classes=request_classes, behaviour=ClientBehaviour()
        )
        record = Record(request_classes)
        await HeldUp(worker_plan(load), record).run()
        listening.close()
        return record

    record = uvloop.run(main())
    assert record.outcomes == {"cobro no answer": 1} and record.attempt_outcomes == {"no answer": 1}
    assert (
        histogram_summary(record.lateness)["max"] > 400
    )  # its own delay: the generator says that it was late


def test_a_server_that_never_takes_the_connection_is_unreachable() -> None:
    """Its queue of connections is full, so that nothing answers the handshake."""
    request_classes = (RequestClass("cobro", deadline_s=0.4, effect="unsafe"),)
    with socket.socket() as full, contextlib.ExitStack() as queue:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        for _ in range(4):
            waiting = queue.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(full.getsockname())
        target = Target("127.0.0.1", full.getsockname()[1])
        record = driven(
            LoadOptions(
                target,
                "constant:4",
                0.2,
                "fixed",
                request_classes=request_classes,
                behaviour=ClientBehaviour(max_attempts=2),
            )
        )
    assert record.outcomes == {"cobro unreachable": 1} and record.attempt_outcomes == {"unreachable": 2}


def test_nobody_there_is_tried_again_and_counted() -> None:
    with server("none") as (target, process):
        process.kill()
        process.wait()
        behaviour = ClientBehaviour(max_attempts=3, retry_wait_s=0.01)
        record = driven(
            LoadOptions(target, "constant:50", 0.5, "fixed", request_classes=ONE, behaviour=behaviour)
        )
    assert record.outcomes == {"consulta unreachable": 25} and record.attempt_outcomes == {"unreachable": 75}


def test_refused_clients_follow_the_time_to_come_back() -> None:
    moments: list[float] = []

    async def main() -> Record:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                moments.append(time.monotonic())
                if len(moments) == 1:
                    writer.write(b"HTTP/1.1 503 X\r\nRetry-After: 0.3\r\nContent-Length: 0\r\n\r\n")
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

        listening = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        load = LoadOptions(Target("127.0.0.1", port), "constant:4", 0.2, "fixed", request_classes=ONE)
        record = Record(ONE)
        await Driver(worker_plan(load), record).run()
        listening.close()
        return record

    record = uvloop.run(main())
    assert record.outcomes == {"consulta served": 1} and record.attempt_outcomes == {
        "refused": 1,
        "served": 1,
    }
    assert 0.28 <= moments[1] - moments[0] < 2.0
    # From the intended send of the first attempt.
    assert histogram_summary(record.complete(record.latency))["max"] >= 300


def test_an_answer_to_nothing_is_counted() -> None:
    async def main() -> Record:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            writer.write(answer)
            await asyncio.sleep(0.1)
            writer.write(answer)

        listening = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        load = LoadOptions(
            Target("127.0.0.1", port),
            "step:10@0.2+constant:1",
            0.4,
            "fixed",
            request_classes=ONE,
            behaviour=SINGLE_ATTEMPT,
        )
        record = Record(ONE)
        await Driver(worker_plan(load), record).run()
        listening.close()
        return record

    assert uvloop.run(main()).counts["answered twice"] >= 1


def test_the_records_of_workers_are_merged_into_one_result() -> None:
    with server("constant:1") as (target, _):
        result = play(
            LoadOptions(
                target,
                "constant:400",
                1.5,
                workers=2,
                request_classes=ONE,
                behaviour=SINGLE_ATTEMPT,
                max_lateness_ms=1e6,
            )
        )
    assert result["ended"] == result["sent"] > 400 and len(result["cpu_s"]) == 2 and not result["trouble"]
    assert result["latency_ms"]["all"]["count"] == result["ends"]["consulta served"]


def test_what_is_due_in_the_warm_up_is_played_and_not_measured() -> None:
    with server("none") as (target, _):
        load = LoadOptions(
            target,
            "constant:100",
            1.0,
            "fixed",
            request_classes=ONE,
            behaviour=SINGLE_ATTEMPT,
            warm_up_s=0.5,
            max_lateness_ms=1e6,
        )
        result = play(load)
    assert (result["sent"], result["warm_up"], result["ended"]) == (100, 50, 50)
    assert result["latency_ms"]["all"]["count"] == result["lateness_ms"]["count"] == 50


def test_a_worker_that_dies_is_said_to_have_given_no_result() -> None:
    """Its plan breaks on the way: the others' records stand, and the run is not sound."""
    with server("none") as (target, _):
        broken = LoadOptions(
            target, "constant:100", 0.5, workers=1, request_classes=(), behaviour=SINGLE_ATTEMPT
        )
        result = play(broken)
    assert result["trouble"] == ["1 workers gave no result"] and result["ended"] == 0


def test_a_closed_loop_waits_for_its_answers() -> None:
    with server("constant:50") as (target, _):
        load = LoadOptions(
            target,
            seconds=2.0,
            request_classes=ONE,
            behaviour=SINGLE_ATTEMPT,
            closed_clients=4,
            max_lateness_ms=1e6,
        )
        result = play(load)
    # Four clients, 50 ms each: 160 at most, whatever the machine.
    assert 20 < result["ended"] == result["sent"] <= 164
    assert result["latency_ms"]["all"]["p50"] >= 49


def test_think_times_are_kept_whatever_the_speed() -> None:
    """One key's second request waits for the first's answer and 300 ms more; another key's does not."""
    rows = (
        TraceRow(0.0, "consulta", "t", "a"),
        TraceRow(0.1, "consulta", "t", "b"),
        TraceRow(0.3, "consulta", "t", "a"),
    )
    with server("constant:200") as (target, _):
        load = LoadOptions(
            target,
            request_classes=ONE,
            behaviour=SINGLE_ATTEMPT,
            rows=rows,
            speed=10.0,
            keep_think_times=True,
            max_lateness_ms=1e6,
        )
        thinking = play(load)
        plain = play(replace(load, keep_think_times=False))
    assert thinking["ended"] == plain["ended"] == 3
    assert thinking["seconds"] >= 0.7  # 200 ms, 300 ms, 200 ms
    assert plain["seconds"] < thinking["seconds"]
    assert thinking["latency_ms"]["all"]["max"] < 1000  # from the moment at which it was due, not the first's


def test_workers_report_their_progress() -> None:
    seen: list[Any] = []
    with server("none") as (target, _):
        load = LoadOptions(
            target,
            "constant:200",
            2.0,
            request_classes=ONE,
            behaviour=SINGLE_ATTEMPT,
            max_lateness_ms=1e6,
            report_progress=True,
        )
        result = play(load, progress=seen.append)
    reports = [one for received in seen for one in received]
    assert reports and result["ended"] == result["sent"]
    counts = [one.sent for one in reports]
    assert counts == sorted(counts) and 0 < counts[-1] <= result["sent"]
    totals = ProgressTotals()
    totals.update(seen[-1])
    assert totals.sent == counts[-1]
    assert sum(totals.summary(second).served for second in totals.seconds) > 0


def test_a_trace_at_five_times_2600_is_in_time_or_said_to_be_late() -> None:
    with server("none") as (target, _):
        load = LoadOptions(
            target, "constant:2600", 5.0, workers=3, request_classes=ONE, behaviour=SINGLE_ATTEMPT
        )
        rows = tuple(make_trace(load))
        result = play(replace(load, rows=rows, speed=5.0))
    assert result["ended"] == result["sent"] == len(rows) > 12_000
    late = result["lateness_ms"]["p99"] > 5.0
    assert result["late"] == late and any("late" in text for text in result["trouble"]) == late


@pytest.mark.parametrize(("number", "said"), [(errno.EADDRNOTAVAIL, True), (errno.ECONNREFUSED, False)])
def test_ports_that_run_out_are_told_from_nobody_there(number: int, said: bool) -> None:
    async def main() -> str:
        loop, record = asyncio.get_running_loop(), Record(ONE)
        load = LoadOptions(
            Target("127.0.0.1", 9), "constant:100", 0.2, request_classes=ONE, behaviour=SINGLE_ATTEMPT
        )
        driver = Driver(worker_plan(load), record)

        class Loop:
            def __getattr__(self, name: str) -> Any:
                return getattr(loop, name)

            async def create_connection(self, *arguments: Any) -> Any:
                raise OSError(number, os.strerror(number))

        driver.loop = Loop()  # type: ignore[assignment]
        await driver.run()
        assert set(record.outcomes) == {"consulta unreachable"}
        return driver.starved

    assert ("out of descriptors or ports" in uvloop.run(main())) == said


def command(*arguments: str, **options: Any) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-m", "quartzford", "load", *arguments],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **options,
    )


def test_interruption_prints_what_was_measured(tmp_path: Path) -> None:
    def heard() -> None:
        signal.signal(signal.SIGINT, signal.SIG_DFL)  # a shell's background jobs are started deaf to it

    with server("none") as (target, _):
        path = tmp_path / "r.json"
        process = command(
            "--target",
            f"127.0.0.1:{target.port}",
            "--seconds",
            "60",
            "--json",
            str(path),
            "--late-ms",
            "1e6",
            preexec_fn=heard,
        )
        assert process.stderr is not None
        assert process.stderr.readline().startswith(b"playing")
        time.sleep(2.0)
        process.send_signal(signal.SIGINT)
        out, errors = process.communicate(timeout=30)
    assert process.returncode == 130 and b"latency from the intended send" in out and not errors
    result = json.loads(path.read_text())
    assert result["interrupted"] and 0 < result["ended"] < 6000


def test_descriptors_that_run_out_are_one_line_and_a_clean_end() -> None:
    def few() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40))

    with server("never") as (target, _):
        process = command(
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
            preexec_fn=few,
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
def test_what_cannot_be_done_is_one_line(arguments: list[str], reason: bytes) -> None:
    process = command(*arguments)
    out, errors = process.communicate(timeout=60)
    errors = errors.replace(b"playing; Ctrl-C ends it\n", b"")
    assert process.returncode == 2 and reason in errors and errors.count(b"\n") == 1 and not out


def test_a_trace_is_made_and_replayed_by_command(tmp_path: Path) -> None:
    path, a = tmp_path / "t.trace", tmp_path / "a.json"
    made = command("--shape", "constant:100", "--seconds", "2", "--make-trace", str(path))
    assert made.wait(60) == 0
    with server("none") as (target, _):
        process = command(
            "--target",
            f"127.0.0.1:{target.port}",
            "--trace",
            str(path),
            "--speed",
            "4",
            "--json",
            str(a),
            "--late-ms",
            "1e6",
        )
        out, errors = process.communicate(timeout=60)
    assert process.returncode == 0, (out, errors)
    result = json.loads(a.read_text())
    assert result["ended"] == len(path.read_text().splitlines()) - 2 and result["seconds"] < 2.0
    compared = command("compare", str(a), str(a))
    out, _ = compared.communicate(timeout=60)
    assert compared.returncode == 0 and b"1.000" in out
