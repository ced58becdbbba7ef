"""The load generator without I/O: arrivals, traces, client behaviour, measurements and their output."""

from __future__ import annotations

import io
import itertools
import random
import re
from typing import Any
from xml.etree import ElementTree

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from rich.console import Console

from quartzford.load.clients import (
    DEFAULT_CLASSES,
    FAILED,
    NO_ANSWER,
    REFUSED,
    SERVED,
    UNREACHABLE,
    AttemptResult,
    ClientBehaviour,
    Outcome,
    RequestClass,
    attempt_timeout_s,
    plan_retry,
)
from quartzford.load.comparison import compare
from quartzford.load.live import View, bars
from quartzford.load.options import LoadOptions, Target
from quartzford.load.page import page
from quartzford.load.plan import make_trace, plan_requests, plan_sessions
from quartzford.load.record import Record, histogram, histogram_summary
from quartzford.load.result import RunResults, WorkerResult, format_result, summary
from quartzford.load.shapes import ShapeError, evenly_spaced_arrivals, poisson_arrivals, read_shape
from quartzford.load.trace import TraceError, TraceRow, read_trace, write_trace
from quartzford.load.worker import Progress


@pytest.mark.parametrize(
    ("text", "area"),
    [
        ("constant:200", 2000),
        ("ramp:0-200/10", 1000),
        ("ramp:100-0/5", 250),
        ("step:100@4", 600),
        ("burst:500@2+1", 500),
        ("sine:100/5", 500),
        ("surge:300@1+9", 300 * 9 * (0.05 + 0.9 / 3)),
        ("constant:50+burst:500@2+1+step:10@9.5", 1005),
    ],
)
def test_arrivals_number_matches_the_integral_of_the_rate(text: str, area: float) -> None:
    even_arrivals = list(evenly_spaced_arrivals(read_shape(text), 10.0))
    random_arrivals = list(poisson_arrivals(read_shape(text), 10.0, random.Random(3)))
    assert abs(len(even_arrivals) - area) <= 2 and abs(len(random_arrivals) - area) < 5 * area**0.5
    for moments in (even_arrivals, random_arrivals):
        assert moments == sorted(moments) and all(0 <= at < 10.0 for at in moments)


def test_evenly_spaced_arrivals_have_equal_gaps() -> None:
    moments = list(evenly_spaced_arrivals(read_shape("constant:250"), 4.0))
    gaps = [b - a for a, b in itertools.pairwise(moments)]
    assert len(moments) == 1000 and max(abs(gap - 0.004) for gap in gaps) < 1e-9


def test_poisson_arrivals_have_exponential_gaps() -> None:
    moments = list(poisson_arrivals(read_shape("constant:1000"), 30.0, random.Random(1)))
    gaps = [b - a for a, b in itertools.pairwise(moments)]
    mean = sum(gaps) / len(gaps)
    spread = (sum((g - mean) ** 2 for g in gaps) / len(gaps)) ** 0.5
    assert abs(mean - 0.001) < 3e-5 and abs(spread / mean - 1) < 0.05
    assert abs(sum(g > 0.002 for g in gaps) / len(gaps) - 0.1353) < 0.01


@pytest.mark.parametrize(
    "text",
    [
        "",
        "constant",
        "constant:",
        "constant:x",
        "constant:0",
        "constant:-5",
        "wave:5",
        "ramp:1-2/0",
        "burst:5@1+0",
        "sine:5/0",
        "constant:1e9",
        "constant:9999999",
        "constant:5++constant:5",
    ],
)
def test_read_shape_invalid_text_raises_a_one_line_error(text: str) -> None:
    with pytest.raises(ShapeError) as error:
        read_shape(text)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize("spacing", ["poisson", "fixed"])
def test_plan_requests_of_all_workers_make_up_the_complete_load(spacing: str) -> None:
    load = LoadOptions(
        Target("h", 1), "constant:400", 5.0, spacing, 7, workers=4, keys=10, tenants=(("a", 1), ("b", 3))
    )
    requests = [planned for worker in range(4) for planned in plan_requests(load, worker)]
    assert abs(len(requests) - 2000) < 250
    assert [list(plan_requests(load, 1))] == [list(plan_requests(load, 1))]
    for one in DEFAULT_CLASSES:
        count = sum(planned.request_class.name == one.name for planned in requests)
        assert abs(count / len(requests) - one.share) < 0.05
    assert {planned.tenant for planned in requests} == {"a", "b"}
    assert len({planned.key for planned in requests}) == 10


# ---- traces

FIELD_TEXTS = st.text(max_size=12)
TRACE_ROWS = st.lists(
    st.builds(
        TraceRow,
        st.floats(0, 1e6),
        FIELD_TEXTS.filter(bool),
        FIELD_TEXTS,
        FIELD_TEXTS,
        st.integers(0, 10**6),
        st.integers(0, 10**6),
    ),
    max_size=12,
)


@given(TRACE_ROWS)
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True, database=None)
def test_trace_round_trip_preserves_the_rows(rows: list[TraceRow]) -> None:
    rows = sorted(r._replace(offset=round(r.offset, 6), left_ms=float(f"{r.left_ms:g}")) for r in rows)
    read_back = list(read_trace(write_trace(rows)))
    assert [r._replace(offset=0.0) for r in read_back] == [r._replace(offset=0.0) for r in rows]
    assert all(abs(a.offset - b.offset) < 1e-5 for a, b in zip(rows, read_back, strict=True))


VALID_TRACE_LINES = list(
    write_trace([TraceRow(0.0, "read", "t", "k", 5, 100), TraceRow(0.5, "pay"), TraceRow(0.5, "a b\tc")])
)


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        ([], "not a trace"),
        (["hello\n"], "line 1: not a trace"),
        (["#quartzford-trace 2\n", *VALID_TRACE_LINES[1:]], "version '2'"),
        (VALID_TRACE_LINES[:-1], "cut off"),
        (VALID_TRACE_LINES[:3], "cut off"),
        ([*VALID_TRACE_LINES[:-1], "#end 7\n"], "3 requests, 7"),
        (
            [VALID_TRACE_LINES[0], VALID_TRACE_LINES[2], VALID_TRACE_LINES[1], *VALID_TRACE_LINES[3:]],
            "line 3: earlier",
        ),
        ([*VALID_TRACE_LINES, VALID_TRACE_LINES[1]], "more follows"),
        ([VALID_TRACE_LINES[0], "1\tread\n", *VALID_TRACE_LINES[1:]], "line 2: 2 fields"),
        ([VALID_TRACE_LINES[0], "x\tread\t-\t-\t0\t0\n", *VALID_TRACE_LINES[1:]], "line 2: offset"),
        ([VALID_TRACE_LINES[0], "1\t-\t-\t-\t0\t0\n", *VALID_TRACE_LINES[1:]], "line 2: no class"),
        ([VALID_TRACE_LINES[0], "1\tread\t-\t-\t-5\t0\n", *VALID_TRACE_LINES[1:]], "out of bounds"),
        ([VALID_TRACE_LINES[0], "1\tread\t-\t-\t0\tnan\n", *VALID_TRACE_LINES[1:]], "out of bounds"),
    ],
)
def test_read_trace_invalid_trace_raises_a_one_line_error(lines: list[str], reason: str) -> None:
    with pytest.raises(TraceError) as error:
        list(read_trace(lines))
    assert reason in str(error.value) and "\n" not in str(error.value)


def test_make_trace_replayed_faster_gives_the_same_requests() -> None:
    load = LoadOptions(Target("h", 1), "constant:200", 5.0, seed=3, workers=2)
    rows = make_trace(load)
    fast = LoadOptions(Target("h", 1), rows=tuple(rows), speed=5.0, workers=3)
    requests = sorted(
        (planned.offset, planned.request_class.name) for n in range(3) for planned in plan_requests(fast, n)
    )
    assert [name for _, name in requests] == [r.service_class for r in rows]
    assert max(abs(at - r.offset / 5.0) for (at, _), r in zip(requests, rows, strict=True)) < 1e-9


# ---- clients

IDEMPOTENT, CELL_KEYED, UNSAFE_CLASS = DEFAULT_CLASSES
GLOBALLY_KEYED = RequestClass("note", effect="keyed", group="all")


@pytest.mark.parametrize("request_class", [IDEMPOTENT, CELL_KEYED, UNSAFE_CLASS, GLOBALLY_KEYED])
@pytest.mark.parametrize("outcome", [REFUSED, FAILED, NO_ANSWER, UNREACHABLE])
def test_plan_retry_depends_on_request_class_and_outcome(
    request_class: RequestClass, outcome: Outcome
) -> None:
    result = AttemptResult(outcome, attempts=1, time_left_s=1.0)
    retry = plan_retry(request_class, ClientBehaviour(), result, random.Random(1))
    assert (retry is not None) == (
        request_class in (IDEMPOTENT, GLOBALLY_KEYED) or outcome in (REFUSED, UNREACHABLE)
    )


def test_plan_retry_respects_max_attempts_deadline_and_retry_after() -> None:
    rng = random.Random(1)

    def retry(behaviour: ClientBehaviour, result: AttemptResult) -> Any:
        return plan_retry(IDEMPOTENT, behaviour, result, rng)

    assert retry(ClientBehaviour(), AttemptResult(SERVED, 1, 1.0)) is None
    assert retry(ClientBehaviour(max_attempts=4), AttemptResult(FAILED, 4, 1.0)) is None
    assert retry(ClientBehaviour(retry_wait_s=0.1), AttemptResult(FAILED, 1, 0.1)) is None
    refused = AttemptResult(REFUSED, 1, 1.0, retry_after_s=0.4)
    assert retry(ClientBehaviour(retry_after_share=1.0), refused) == (0.4,)
    assert retry(ClientBehaviour(retry_after_share=0.0), refused) == (0.0,)
    spans = [attempt_timeout_s(IDEMPOTENT, ClientBehaviour(), rng) for _ in range(500)]
    assert 0.6 <= min(spans) < 0.65 and 1.05 < max(spans) <= 1.1


# ---- measurements


def recorded(seed: int) -> Record:
    record, rng = Record(DEFAULT_CLASSES), random.Random(seed)
    for n in range(500):
        name = rng.choice(DEFAULT_CLASSES).name
        record.attempt_sent(rng.random() / 1000)
        record.attempt_ended(name, SERVED, rng.random() / 100)
        record.request_ended(name, "t", SERVED if n % 5 else FAILED, n // 25, rng.random())
    return record


def worker_result(record: Record, starved: str = "") -> WorkerResult:
    return WorkerResult(record.dump(), starved, sent=500, in_flight=0, cpu_s=1.0)


def test_record_merge_equals_one_record_of_all_requests() -> None:
    one, other, both = recorded(1), recorded(2), Record(DEFAULT_CLASSES)
    both.merge(one.dump())
    both.merge(other.dump())
    assert sum(both.outcomes.values()) == 1000 and both.outcomes == one.outcomes + other.outcomes
    complete = both.complete(both.latency)
    assert complete.get_total_count() == 800
    assert complete.get_max_value() >= one.complete(one.latency).get_max_value()
    weights = [*one.weights_by_second.values(), *other.weights_by_second.values()]
    assert both.goodput()["whole"] == pytest.approx(
        sum(one.earned for one in weights) / sum(one.offered for one in weights)
    )


def test_histogram_percentiles_are_exact_to_three_digits() -> None:
    one = histogram()
    for value in range(1, 100_001):
        one.record_value(value)
    actual = histogram_summary(one)
    for p, expected in (("p50", 50.0), ("p99", 99.0), ("p99.9", 99.9), ("max", 100.0)):
        assert actual[p] == pytest.approx(expected, rel=0.002)


def test_goodput_reports_the_worst_window_class_and_tenant() -> None:
    record = Record(
        (
            RequestClass("a", latency_objective_s=0.1, priority_weight=2.0),
            RequestClass("b", latency_objective_s=0.1, priority_weight=1.0, late_weight=0.5),
        )
    )
    for second in range(30):
        late = 10 <= second < 20
        record.request_ended("a", "x", SERVED, second, 0.5 if late else 0.05)
        record.request_ended("b", "y", SERVED, second, 0.5)
    actual = record.goodput()
    assert actual["whole"] == pytest.approx((20 * 2 + 30 * 0.5) / 90)
    assert actual["worst_10s"] == pytest.approx(5 / 30) and actual["worst_class"] == 0.5
    assert actual["worst_tenant"] == 0.5


def test_summary_lists_the_reasons_for_unreliable_measurements() -> None:
    load = LoadOptions(Target("h", 1), max_lateness_ms=5.0)
    record = recorded(1)
    reliable = summary(load, RunResults([worker_result(record)], 10.0))
    assert not reliable["trouble"] and reliable["ended"] == 500 and "goodput" in format_result(reliable)
    for _ in range(20):
        record.attempt_sent(0.05)
    record.counts["answered twice"] = 1
    record.counts["warm-up"] = 3
    starved = worker_result(record, starved="out of descriptors")
    unreliable = summary(load, RunResults([starved], 10.0, silent_workers=1))
    assert unreliable["warm_up"] == 3 and unreliable["late"] and len(unreliable["trouble"]) == 4
    text = compare(reliable, unreliable)
    assert "latency_ms p99" in text and text.count("! B:") == 4 and "! A:" not in text


def test_record_seconds_after_merge_approximate_the_quantiles() -> None:
    record, other = Record(DEFAULT_CLASSES), Record(DEFAULT_CLASSES)
    for n in range(1, 1001):
        (record if n % 2 else other).request_ended("consulta", "", SERVED, n % 2, n / 1000)
    record.merge(other.dump())
    rows = record.seconds()
    assert [row["second"] for row in rows] == [0, 1] and sum(row["served"] for row in rows) == 1000
    for row in rows:
        assert row["p50"] == pytest.approx(500, rel=0.03) and row["p99"] == pytest.approx(990, rel=0.03)
        assert row["goodput"] == pytest.approx(0.5, abs=0.01)  # the objective is 500 ms


# ---- the page and the live view


def result_of(record: Record) -> dict[str, Any]:
    return summary(LoadOptions(Target("h", 1)), RunResults([worker_result(record)], 10.0))


def test_page_is_self_contained_and_shows_the_result() -> None:
    result = result_of(recorded(1))
    result["trouble"] = ["a <script> was late"]
    result["rules"] = {"rules": {"drain breaches": 3, "cold breaches": 0}, "kept": False}
    text = page(result)
    svgs = re.findall(r"<svg.*?</svg>", text, re.DOTALL)
    assert len(svgs) == 3
    for svg in svgs:
        root = ElementTree.fromstring(svg)
        assert root.findall("polyline"), "a chart without lines"
    assert "a &lt;script&gt; was late" in text and "<script" not in text
    assert not re.search(r"(src|href)=|https?://|@import|url\(", text)
    for name in ("consulta", "reserva", "cobro", "worst 10s", "drain breaches"):
        assert name in text
    assert f"{result['latency_ms']['all']['p99']:g}" in text and "broken" in text


def test_page_of_an_empty_record_says_that_nothing_was_measured() -> None:
    assert "nothing was measured" in page(result_of(Record(DEFAULT_CLASSES)))


def test_live_view_sums_the_reports_of_all_workers() -> None:
    first, second = recorded(1), recorded(2)
    reports = [Progress(10, 1, dict(record.outcomes), record.recent(4)) for record in (first, second)]
    out = io.StringIO()
    view = View(Console(file=out, width=100, force_terminal=False))
    view.notes.append("drain: s0001")
    view.show([])
    view.show(reports)
    Console(file=out, width=100).print(view.table())
    assert view.totals.sent == 20 and sorted(view.totals.seconds) == [16, 17, 18, 19]
    goodput, served, p50, p99 = view.totals.summary(18)
    assert served == sum(first.latency_steps[18].values()) + sum(second.latency_steps[18].values())
    assert 0 < goodput < 1 and p50 < p99
    assert "drain: s0001" in out.getvalue() and "consulta served" in out.getvalue()


def test_bars_map_values_to_marks_from_zero_to_the_maximum() -> None:
    assert bars([0.0, 0.5, 1.0, 2.0], 1.0) == " =@@" and bars([0.0], 0.0) == " "


# ---- sessions


def test_plan_sessions_keeps_a_session_on_one_worker_with_its_gaps() -> None:
    rows = tuple(TraceRow(n * 0.1, "consulta", "t", f"k{n % 7}" if n % 10 else "") for n in range(200))
    load = LoadOptions(Target("h", 1), rows=rows, speed=5.0, workers=3, keep_think_times=True)
    firsts, gaps = 0, []
    for worker in range(3):
        first_requests, followers = plan_sessions(load, worker)
        firsts += len(first_requests)
        assert {planned.session for planned in first_requests} >= set(followers)
        gaps += [planned.offset for session in followers.values() for planned in session]
    assert firsts + len(gaps) == 200 and firsts == 20 + 7
    # A key recurs every 7 rows of 0.1 s; the speed of the replay does not shorten think times.
    assert min(gaps) >= 0.7 - 1e-9
