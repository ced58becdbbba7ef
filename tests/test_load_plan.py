"""The load generator without I/O: arrivals, traces, what clients do, and the figures."""

from __future__ import annotations

import itertools
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st

from quartzford.load.cli import compare
from quartzford.load.clients import (
    BRIEF,
    FAILED,
    NO_ANSWER,
    REFUSED,
    SERVED,
    UNREACHABLE,
    Kind,
    Manners,
    next_try,
    patience_s,
)  # fmt: skip
from quartzford.load.driver import Target
from quartzford.load.record import Record, figures, histogram
from quartzford.load.run import Load, plan, rows_of, show, summary
from quartzford.load.shapes import ShapeError, fixed, poisson, read_shape
from quartzford.load.trace import Row, TraceError, read_trace, write_trace


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
def test_arrivals_are_as_many_as_the_area_under_the_rate(text: str, area: float) -> None:
    even = list(fixed(read_shape(text), 10.0))
    drawn = list(poisson(read_shape(text), 10.0, random.Random(3)))
    assert abs(len(even) - area) <= 2 and abs(len(drawn) - area) < 5 * area**0.5
    for moments in (even, drawn):
        assert moments == sorted(moments) and all(0 <= at < 10.0 for at in moments)


def test_even_spacing_is_even() -> None:
    moments = list(fixed(read_shape("constant:250"), 4.0))
    gaps = [b - a for a, b in itertools.pairwise(moments)]
    assert len(moments) == 1000 and max(abs(gap - 0.004) for gap in gaps) < 1e-9


def test_poisson_gaps_are_exponential() -> None:
    moments = list(poisson(read_shape("constant:1000"), 30.0, random.Random(1)))
    gaps = [b - a for a, b in itertools.pairwise(moments)]
    mean = sum(gaps) / len(gaps)
    spread = (sum((g - mean) ** 2 for g in gaps) / len(gaps)) ** 0.5
    assert abs(mean - 0.001) < 3e-5 and abs(spread / mean - 1) < 0.05
    assert abs(sum(g > 0.002 for g in gaps) / len(gaps) - 0.1353) < 0.01


@pytest.mark.parametrize(
    "text", ["", "constant", "constant:", "constant:x", "constant:0", "constant:-5", "wave:5", "ramp:1-2/0",
             "burst:5@1+0", "sine:5/0", "constant:1e9", "constant:9999999", "constant:5++constant:5"],
)  # fmt: skip
def test_a_shape_that_cannot_be_read_is_said_to_be_so(text: str) -> None:
    with pytest.raises(ShapeError) as error:
        read_shape(text)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize("spacing", ["poisson", "fixed"])
def test_workers_together_play_the_whole(spacing: str) -> None:
    load = Load(
        Target("h", 1), "constant:400", 5.0, spacing, 7, workers=4, keys=10, tenants=(("a", 1), ("b", 3))
    )
    dues = [due for n in range(4) for due in plan(load, n)]
    assert abs(len(dues) - 2000) < 250 and [list(plan(load, 1))] == [list(plan(load, 1))]
    shares = {k.name: sum(d.kind.name == k.name for d in dues) / len(dues) for k in BRIEF}
    assert all(abs(shares[k.name] - k.share) < 0.05 for k in BRIEF)
    assert {d.tenant for d in dues} == {"a", "b"} and len({d.key for d in dues}) == 10


# ---- traces

TEXT = st.text(max_size=12)
ROWS = st.lists(
    st.builds(
        Row, st.floats(0, 1e6), TEXT.filter(bool), TEXT, TEXT, st.integers(0, 10**6), st.integers(0, 10**6)
    ),
    max_size=12,
)


@given(ROWS)
@budget(max_examples=200, deadline=None, derandomize=True, database=None)
def test_a_trace_comes_back_as_it_was_written(rows: list[Row]) -> None:
    rows = sorted(r._replace(offset=round(r.offset, 6), left_ms=float(f"{r.left_ms:g}")) for r in rows)
    back = list(read_trace(write_trace(rows)))
    assert [r._replace(offset=0.0) for r in back] == [r._replace(offset=0.0) for r in rows]
    assert all(abs(a.offset - b.offset) < 1e-5 for a, b in zip(rows, back, strict=True))


GOOD = list(write_trace([Row(0.0, "read", "t", "k", 5, 100), Row(0.5, "pay"), Row(0.5, "a b\tc")]))


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        ([], "not a trace"),
        (["hello\n"], "line 1: not a trace"),
        (["#quartzford-trace 2\n", *GOOD[1:]], "version '2'"),
        (GOOD[:-1], "cut off"),
        (GOOD[:3], "cut off"),
        ([*GOOD[:-1], "#end 7\n"], "3 requests, 7"),
        ([GOOD[0], GOOD[2], GOOD[1], *GOOD[3:]], "line 3: earlier"),
        ([*GOOD, GOOD[1]], "more follows"),
        ([GOOD[0], "1\tread\n", *GOOD[1:]], "line 2: 2 fields"),
        ([GOOD[0], "x\tread\t-\t-\t0\t0\n", *GOOD[1:]], "line 2: offset"),
        ([GOOD[0], "1\t-\t-\t-\t0\t0\n", *GOOD[1:]], "line 2: no class"),
        ([GOOD[0], "1\tread\t-\t-\t-5\t0\n", *GOOD[1:]], "out of bounds"),
        ([GOOD[0], "1\tread\t-\t-\t0\tnan\n", *GOOD[1:]], "out of bounds"),
    ],
)
def test_a_trace_that_is_broken_gets_one_plain_line(lines: list[str], reason: str) -> None:
    with pytest.raises(TraceError) as error:
        list(read_trace(lines))
    assert reason in str(error.value) and "\n" not in str(error.value)


def test_a_shape_made_into_a_trace_and_replayed_faster_is_the_same_load() -> None:
    load = Load(Target("h", 1), "constant:200", 5.0, seed=3, workers=2)
    rows = rows_of(load)
    fast = Load(Target("h", 1), rows=tuple(rows), speed=5.0, workers=3)
    dues = sorted((due.offset, due.kind.name) for n in range(3) for due in plan(fast, n))
    assert [name for _, name in dues] == [r.service_class for r in rows]
    assert max(abs(at - r.offset / 5.0) for (at, _), r in zip(dues, rows, strict=True)) < 1e-9


# ---- clients

FREE, CELL, UNSAFE = BRIEF
WIDE = Kind("note", effect="keyed", group="all")


@pytest.mark.parametrize("kind", [FREE, CELL, UNSAFE, WIDE])
@pytest.mark.parametrize("end", [REFUSED, FAILED, NO_ANSWER, UNREACHABLE])
def test_who_goes_again_after_what(kind: Kind, end: str) -> None:
    again = next_try(kind, Manners(), end, 1, 1.0, 0.0, random.Random(1))
    assert (again is not None) == (kind in (FREE, WIDE) or end in (REFUSED, UNREACHABLE))


def test_tries_time_and_advice_bound_what_a_client_does() -> None:
    rng = random.Random(1)
    assert next_try(FREE, Manners(), SERVED, 1, 1.0, 0.0, rng) is None
    assert next_try(FREE, Manners(tries=4), FAILED, 4, 1.0, 0.0, rng) is None
    assert next_try(FREE, Manners(wait_s=0.1), FAILED, 1, 0.1, 0.0, rng) is None
    assert next_try(FREE, Manners(heeds=1.0), REFUSED, 1, 1.0, 0.4, rng) == (0.4,)
    assert next_try(FREE, Manners(heeds=0.0), REFUSED, 1, 1.0, 0.4, rng) == (0.0,)
    spans = [patience_s(FREE, Manners(), rng) for _ in range(500)]
    assert 0.6 <= min(spans) < 0.65 and 1.05 < max(spans) <= 1.1


# ---- figures


def recorded(seed: int) -> Record:
    record, rng = Record(BRIEF), random.Random(seed)
    for n in range(500):
        kind = rng.choice(BRIEF)
        record.sent(rng.random() / 1000)
        record.tried(kind.name, SERVED, rng.random() / 100)
        record.ended(kind.name, "t", SERVED if n % 5 else FAILED, n // 25, rng.random())
    return record


def test_records_merge_into_what_one_would_have_been() -> None:
    one, other, both = recorded(1), recorded(2), Record(BRIEF)
    both.merge(one.dump())
    both.merge(other.dump())
    assert sum(both.ends.values()) == 1000 and both.ends == one.ends + other.ends
    whole = both.whole(both.latency)
    assert whole.get_total_count() == 800
    assert whole.get_max_value() >= one.whole(one.latency).get_max_value()
    assert both.goodput()["whole"] == pytest.approx(
        (sum(one.got.values()) + sum(other.got.values()))
        / (sum(one.asked.values()) + sum(other.asked.values()))
    )


def test_histograms_keep_three_digits() -> None:
    one = histogram()
    for value in range(1, 100_001):
        one.record_value(value)
    got = figures(one)
    for p, wanted in (("p50", 50.0), ("p99", 99.0), ("p99.9", 99.9), ("max", 100.0)):
        assert got[p] == pytest.approx(wanted, rel=0.002)


def test_goodput_names_the_worst_window_class_and_tenant() -> None:
    record = Record((Kind("a", aim_s=0.1, worth=2.0), Kind("b", aim_s=0.1, worth=1.0, late_worth=0.5)))
    for second in range(30):
        late = 10 <= second < 20
        record.ended("a", "x", SERVED, second, 0.5 if late else 0.05)
        record.ended("b", "y", SERVED, second, 0.5)
    got = record.goodput()
    assert got["whole"] == pytest.approx((20 * 2 + 30 * 0.5) / 90)
    assert got["worst_10s"] == pytest.approx(5 / 30) and got["worst_class"] == 0.5
    assert got["worst_tenant"] == 0.5


def test_a_result_says_what_was_wrong_with_its_instrument() -> None:
    load = Load(Target("h", 1), late_ms=5.0)
    good = recorded(1)
    part: dict[str, Any] = {"record": good.dump(), "starved": "", "sent": 500, "live": 0, "cpu_s": 1.0}
    fine = summary(load, [part], 10.0, False, 0)
    assert not fine["trouble"] and fine["ended"] == 500 and "goodput" in show(fine)
    for _ in range(20):
        good.sent(0.05)
    good.counts["answered twice"] = 1
    good.counts["warm-up"] = 3
    part = {**part, "record": good.dump(), "starved": "out of descriptors"}
    bad = summary(load, [part], 10.0, False, 1)
    assert bad["warm_up"] == 3 and bad["late"] and len(bad["trouble"]) == 4
    text = compare(fine, bad)
    assert "latency_ms p99" in text and text.count("! B:") == 4 and "! A:" not in text
