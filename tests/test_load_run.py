"""Runs of the load generator: worker processes, their records as one result, closed loops and replays."""

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


def test_the_records_of_workers_are_merged_into_one_result() -> None:
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


def test_what_is_due_in_the_warm_up_is_played_and_not_measured() -> None:
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


def test_a_worker_that_dies_is_said_to_have_given_no_result() -> None:
    """Its plan breaks on the way: the others' records stand, and the run is not sound."""
    with delay_server("none") as (target, _):
        broken = LoadOptions(
            target, "constant:100", 0.5, workers=1, request_classes=(), behaviour=SINGLE_ATTEMPT
        )
        result = play(broken)
    assert result["trouble"] == ["1 workers gave no result"] and result["ended"] == 0


def test_a_closed_loop_waits_for_its_answers() -> None:
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
        thinking = play(load)
        plain = play(replace(load, keep_think_times=False))
    assert thinking["ended"] == plain["ended"] == 3
    assert thinking["seconds"] >= 0.7  # 200 ms, 300 ms, 200 ms
    assert plain["seconds"] < thinking["seconds"]
    assert thinking["latency_ms"]["all"]["max"] < 1000  # from the moment at which it was due, not the first's


def test_workers_report_their_progress() -> None:
    seen: list[Any] = []
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
    with delay_server("none") as (target, _):
        load = LoadOptions(
            target, "constant:2600", 5.0, workers=3, request_classes=ONE_CLASS, behaviour=SINGLE_ATTEMPT
        )
        rows = tuple(make_trace(load))
        result = play(replace(load, rows=rows, speed=5.0))
    assert result["ended"] == result["sent"] == len(rows) > 12_000
    late = result["lateness_ms"]["p99"] > 5.0
    assert result["late"] == late and any("late" in text for text in result["trouble"]) == late


def test_a_result_of_any_size_reaches_a_parent_that_reads_it_late() -> None:
    """The attempt log is larger than the pipe's buffer, and the parent is busy when the worker sends it."""
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
