"""Runs of the load generator: worker processes, the merge of their records, closed loops and replays."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import Any

from load_helpers import ONE_CLASS, delay_server

from quartzford.load.clients import SINGLE_ATTEMPT
from quartzford.load.live import ProgressTotals
from quartzford.load.options import LoadOptions
from quartzford.load.plan import make_trace
from quartzford.load.run import play
from quartzford.load.trace import TraceRow


def test_worker_records_are_merged_into_one_result() -> None:
    with delay_server("constant:1") as (target, _):
        result = play(
            LoadOptions(
                target,
                "constant:400",
                1.5,
                workers=2,
                request_classes=ONE_CLASS,
                behaviour=SINGLE_ATTEMPT,
                max_lateness_ms=1e6,
            )
        )
    assert result["ended"] == result["sent"] > 400 and len(result["cpu_s"]) == 2 and not result["trouble"]
    assert result["latency_ms"]["all"]["count"] == result["ends"]["consulta served"]


def test_warm_up_requests_are_sent_but_not_measured() -> None:
    with delay_server("none") as (target, _):
        load = LoadOptions(
            target,
            "constant:100",
            1.0,
            "fixed",
            request_classes=ONE_CLASS,
            behaviour=SINGLE_ATTEMPT,
            warm_up_s=0.5,
            max_lateness_ms=1e6,
        )
        result = play(load)
    assert (result["sent"], result["warm_up"], result["ended"]) == (100, 50, 50)
    assert result["latency_ms"]["all"]["count"] == result["lateness_ms"]["count"] == 50


def test_worker_crash_is_reported_as_missing_result() -> None:
    """A worker without request classes fails at its first request.

    The result must keep the other workers' records and report the run as unreliable.
    """
    with delay_server("none") as (target, _):
        broken = LoadOptions(
            target, "constant:100", 0.5, workers=1, request_classes=(), behaviour=SINGLE_ATTEMPT
        )
        result = play(broken)
    assert result["trouble"] == ["1 workers gave no result"] and result["ended"] == 0


def test_closed_loop_client_waits_for_response() -> None:
    with delay_server("constant:50") as (target, _):
        load = LoadOptions(
            target,
            seconds=2.0,
            request_classes=ONE_CLASS,
            behaviour=SINGLE_ATTEMPT,
            closed_clients=4,
            max_lateness_ms=1e6,
        )
        result = play(load)
    # Four clients with 50 ms per request send at most 160 requests in 2 s, on any machine.
    assert 20 < result["ended"] == result["sent"] <= 164
    assert result["latency_ms"]["all"]["p50"] >= 49


def test_think_times_do_not_depend_on_speed() -> None:
    """Key a's second request is sent 300 ms after the first response. Key b's request doesn't wait for it."""
    rows = (
        TraceRow(0.0, "consulta", "t", "a"),
        TraceRow(0.1, "consulta", "t", "b"),
        TraceRow(0.3, "consulta", "t", "a"),
    )
    with delay_server("constant:200") as (target, _):
        load = LoadOptions(
            target,
            request_classes=ONE_CLASS,
            behaviour=SINGLE_ATTEMPT,
            rows=rows,
            speed=10.0,
            keep_think_times=True,
            max_lateness_ms=1e6,
        )
        with_think_times = play(load)
        without_think_times = play(replace(load, keep_think_times=False))
    assert with_think_times["ended"] == without_think_times["ended"] == 3
    assert with_think_times["seconds"] >= 0.7  # response 200 ms, think time 300 ms, response 200 ms
    assert without_think_times["seconds"] < with_think_times["seconds"]
    # Each latency counts from the request's own due time, not from the first request's.
    assert with_think_times["latency_ms"]["all"]["max"] < 1000


def test_workers_report_progress() -> None:
    progress_calls: list[Any] = []
    with delay_server("none") as (target, _):
        load = LoadOptions(
            target,
            "constant:200",
            2.0,
            request_classes=ONE_CLASS,
            behaviour=SINGLE_ATTEMPT,
            max_lateness_ms=1e6,
            report_progress=True,
        )
        result = play(load, progress=progress_calls.append)
    reports = [report for received in progress_calls for report in received]
    assert reports and result["ended"] == result["sent"]
    counts = [report.sent for report in reports]
    assert counts == sorted(counts) and 0 < counts[-1] <= result["sent"]
    totals = ProgressTotals()
    totals.update(progress_calls[-1])
    assert totals.sent == counts[-1]
    assert sum(totals.summary(second).served for second in totals.seconds) > 0


def test_trace_at_13000_per_second_is_on_time_or_reported_late() -> None:
    with delay_server("none") as (target, _):
        load = LoadOptions(
            target, "constant:2600", 5.0, workers=3, request_classes=ONE_CLASS, behaviour=SINGLE_ATTEMPT
        )
        rows = tuple(make_trace(load))
        result = play(replace(load, rows=rows, speed=5.0))
    assert result["ended"] == result["sent"] == len(rows) > 12_000
    late = result["lateness_ms"]["p99"] > 5.0
    assert result["late"] == late and any("late" in text for text in result["trouble"]) == late


def test_large_result_reaches_parent_that_reads_late() -> None:
    """A worker failed to send a result that is larger than the pipe's buffer while the parent was busy."""
    with delay_server("none") as (target, _):
        load = LoadOptions(
            target,
            seconds=2.0,
            request_classes=ONE_CLASS,
            behaviour=SINGLE_ATTEMPT,
            closed_clients=16,
            keep_attempt_log=True,
            max_lateness_ms=1e6,
        )
        result = play(load, started=lambda: time.sleep(4.0))
    assert not result["trouble"], result["trouble"]
    assert len(result["record"]["book"]) == result["ended"] > 0
