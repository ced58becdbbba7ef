"""The capacity page: reproducible, stale blocks detected, missing figures shown, mechanisms ranked."""

from __future__ import annotations

import json
import shutil
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from bench import capacity
from bench.capacity_blocks import blocks
from bench.capacity_figures import NOT_MEASURED, Figures, InputError
from bench.capacity_format import format_factor, format_number, format_quantity
from bench.capacity_inputs import read_calls, read_scale, read_slopes
from bench.capacity_mechanisms import LIST_DISTRIBUTION, LONG_LISTS, MECHANISMS, TENANT_QUOTAS, ranking
from bench.capacity_model import MeasuredFigure, Model
from bench.capacity_page import PageError, replace_blocks, stale_blocks
from bench.capacity_roles import all_rows
from bench.capacity_rows import Bound, Row, RowKind, Unit, from_target
from bench.capacity_target import DiscoveryProtocol, ProgramBounds, Target

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = ProgramBounds(
    calls_per_s=50.0,
    spread_s=3.75,
    small_fleet=16,
    line_bytes=4 * 1024 * 1024,
    revisit_s=1.5,
    min_working_set=16,
    log_lines_per_s=5.0,
    relay=False,
)


def slope(figure: MeasuredFigure, value: float, unit: str = "B", **more: Any) -> dict[str, Any]:
    """A figure of slopes.json with this value at the target's size; more: other keys of it."""
    role, name = figure.value
    return {
        "role": role,
        "name": name,
        "unit": unit,
        "by": "upstreams",
        "sizes": [1, 2, 3, 4],
        "values": [1, 2, 3, 4],
        "kept_out": {"size": 2, "value": 2, "foretold": 2.1, "error": 0.05},
        "fit": {"kind": "line", "intercept": 0.0, "slope": 1.0, "residual": 0.0},
        "at_target": {"size": 63000, "value": value},
    } | more


def model(*figures: dict[str, Any], scale: Any = None, calls: Any = None) -> Model:
    """The model out of these figures of slopes.json, scale.json and capacity_calls.json."""
    found = Figures(
        read_slopes({"figures": list(figures)}),
        read_scale(scale or {"events": []}),
        read_calls(calls or {"rows": []}),
    )
    return Model(found, Target(), DiscoveryProtocol(), PROGRAM)


def row(of: Model, role: str, what: str) -> Row:
    """The first row of a role whose quantity begins with these words."""
    return next(r for r in all_rows(of) if r.role == role and r.what.startswith(what))


@pytest.fixture
def copy(tmp_path: Path) -> Path:
    """The page and its figures, to be changed."""
    (tmp_path / "docs" / "measurements").mkdir(parents=True)
    shutil.copy(ROOT / capacity.PAGE, tmp_path / capacity.PAGE)
    for name in (capacity.SLOPES, capacity.SCALE, capacity.CALLS):
        if (ROOT / "docs" / "measurements" / name).exists():
            shutil.copy(ROOT / "docs" / "measurements" / name, tmp_path / "docs" / "measurements" / name)
    return tmp_path


def test_the_page_in_the_repository_is_what_its_figures_give() -> None:
    assert capacity.run(ROOT, write=False) == 0


def test_writing_twice_gives_the_same_page(copy: Path) -> None:
    assert capacity.run(copy, write=True) == 0
    first = (copy / capacity.PAGE).read_bytes()
    assert capacity.run(copy, write=True) == 0
    assert (copy / capacity.PAGE).read_bytes() == first == (ROOT / capacity.PAGE).read_bytes()


def test_a_figure_changed_in_the_page_is_found_out_and_left(
    copy: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = copy / capacity.PAGE
    text = path.read_text()
    changed = text.replace("| 550,000 |", "| 560,000 |", 1)
    assert changed != text
    path.write_text(changed)
    assert capacity.run(copy, write=False) == 1
    assert "block target " in capsys.readouterr().err
    assert path.read_text() == changed
    assert capacity.run(copy, write=True) == 0 and path.read_text() == text


def test_a_figure_changed_in_the_json_is_found_out(copy: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = copy / "docs" / "measurements" / capacity.CALLS
    table = json.loads(path.read_text())
    table["rows"][0]["most_1s"] *= 2
    path.write_text(json.dumps(table))
    assert capacity.run(copy, write=False) == 1
    said = capsys.readouterr().err
    assert "block calls " in said and "block role-list-service " in said and "block target " not in said


def test_prose_outside_of_the_blocks_is_free(copy: Path) -> None:
    path = copy / capacity.PAGE
    path.write_text(path.read_text().replace("# Capacity\n", "# Capacity\n\nMore prose.\n", 1))
    assert capacity.run(copy, write=False) == 0


def test_without_any_figure_the_page_is_generated_and_says_so(copy: Path) -> None:
    shutil.rmtree(copy / "docs" / "measurements")
    assert capacity.run(copy, write=True) == 0
    made = blocks(model())
    assert made["slopes"].count(NOT_MEASURED) == made["scale"].count(NOT_MEASURED) == 1
    assert NOT_MEASURED in made["events"] and NOT_MEASURED in made["calls"]
    for name in ("nan", "None", "inf"):
        assert all(f" {name} " not in text for text in made.values()), name


@pytest.mark.parametrize("name", [capacity.SLOPES, capacity.SCALE, capacity.CALLS])
@pytest.mark.parametrize(
    "text", ["{", "[]", '{"figures": 3}', '{"figures": [{}], "events": [{}], "rows": [{}]}']
)
def test_a_file_out_of_form_is_named_and_nothing_written(
    copy: Path, name: str, text: str, capsys: pytest.CaptureFixture[str]
) -> None:
    (copy / "docs" / "measurements" / name).write_text(text)
    before = (copy / capacity.PAGE).read_bytes()
    assert capacity.run(copy, write=True) == 2
    assert name in capsys.readouterr().err
    assert (copy / capacity.PAGE).read_bytes() == before


def test_a_missing_figure_is_not_measured_and_takes_along_what_follows_from_it() -> None:
    complete = row(model(slope(MeasuredFigure.LIST_BYTES, 8.7e6)), "balancer", "whole list")
    assert complete.basis.value == 8.7e6 and complete.factor() == pytest.approx(8.7e6 / PROGRAM.line_bytes)
    for start in ("whole list", "a whole list at the budget's rate", "beats and changed rows"):
        missing = row(model(), "balancer", start)
        assert missing.basis.value is None and missing.factor() is None and missing.basis.run == ""
    text = blocks(model())["role-balancer"]
    assert f"| state: whole list, 63,000 rows | {NOT_MEASURED} |" in text


def test_units_are_made_equal_and_unknown_ones_refused() -> None:
    reload = slope(MeasuredFigure.CONFIGURATION_TIME, 960.0, "ms")
    of = model(reload, slope(MeasuredFigure.CONFIGURATION_BYTES, 8100.0, "kB"))
    cpu = row(of, "balancer", "whole configuration at each change")
    assert cpu.basis.value == pytest.approx(2700 / 86400 * 8.1e6)
    share = next(
        r for r in all_rows(of) if r.kind is RowKind.PROCESSOR_TIME and r.what.startswith("whole conf")
    )
    assert share.basis.value == pytest.approx(0.03) and share.factor() == pytest.approx(0.03 / 0.016)
    with pytest.raises(InputError, match="furlong"):
        model(slope(MeasuredFigure.LIST_BYTES, 1.0, "furlong"))


def test_a_change_is_read_at_its_rows_not_at_the_targets() -> None:
    change = slope(
        MeasuredFigure.CHANGE_BYTES, 4200.0, sizes=[1, 10, 40, 4200], values=[150, 1500, 6000, 600000]
    )
    of = model(change)
    assert of.change_bytes(1.0).value == 150 and of.change_bytes(40.0).value == 6000
    assert of.change_bytes(20.0).value == 20.0  # between the measured ones by the line of its fit
    mean = row(of, "balancer", "beats and changed rows")
    assert mean.basis.value == pytest.approx(3.0 + 21_120 / 86_400 * 150)


def test_a_curve_is_not_read_as_a_line() -> None:
    power = {"kind": "power", "intercept": 0.0, "slope": 2.0, "residual": 0.0, "exponent": 0.5}
    other = {"kind": "stairs", "intercept": 0.0, "slope": 2.0, "residual": 0.0}
    assert model(slope(MeasuredFigure.CHANGE_BYTES, 1.0, fit=power)).change_bytes(
        100.0
    ).value == pytest.approx(20.0)
    assert model(slope(MeasuredFigure.CHANGE_BYTES, 1.0, fit=other)).change_bytes(100.0).value is None


def test_closed_forms_of_each_asking_the_source() -> None:
    of = model()
    assert PROGRAM.notified_in_time() == 203
    assert row(of, "list service", "balancers to be told").factor() == pytest.approx(4600 / 203)
    assert of.max_watchers() == 719 and of.balancers_per_relay() == pytest.approx(418.18, abs=0.01)
    assert "| 92 s |" in blocks(of)["calls"]


def test_ranks_follow_the_factors() -> None:
    def place(name: str, over: float) -> Row:
        return Row(
            "r", RowKind.STATE, "w", from_target(over, ""), Unit.NUMBER, Bound(1.0, ""), mechanism=name
        )

    low = [place(LIST_DISTRIBUTION, 2.0), place(LONG_LISTS, 3.0), place(LONG_LISTS, 0.5)]
    ranked = ranking(low)
    assert [p.mechanism.name for p in ranked[:2]] == [LONG_LISTS, LIST_DISTRIBUTION]
    assert ranked[0].factor == 3.0 and ranked[0].row is low[1]
    assert [p.mechanism.name for p in ranking([*low, place(TENANT_QUOTAS, 9.0)])[:3]] == [
        TENANT_QUOTAS,
        LONG_LISTS,
        LIST_DISTRIBUTION,
    ]
    rest = [p.mechanism for p in ranked[2:]]
    assert rest == [m for m in MECHANISMS if m.name not in (LIST_DISTRIBUTION, LONG_LISTS)]
    assert all(p.factor is None for p in ranked[2:])


def test_a_measured_figure_moves_its_mechanism_up() -> None:
    before = ranking(all_rows(model()))
    assert before[0].mechanism.name == LIST_DISTRIBUTION
    after = ranking(all_rows(model(slope(MeasuredFigure.LIST_BYTES, 4e9))))
    assert after[0].mechanism.name == LONG_LISTS
    assert after[0].factor == pytest.approx(4e9 / PROGRAM.line_bytes)


def test_what_a_mechanism_depends_on_is_a_mechanism_and_never_itself() -> None:
    depends_on = {m.name: m.depends_on for m in MECHANISMS}

    def reach(name: str, path: tuple[str, ...] = ()) -> None:
        assert name not in path, path
        for other in depends_on[name]:
            reach(other, (*path, name))

    for name in depends_on:
        reach(name)
    assert {r.mechanism for r in all_rows(model()) if r.mechanism} <= set(depends_on)


def test_events_of_the_scale_run_show_at_the_largest_size_played() -> None:
    event = {
        "event": "rack",
        "way": "relays",
        "hollow": 1000,
        "real": 20,
        "p50_s": 0.1,
        "p99_s": 0.5,
        "last_s": 1.0,
    }
    small = event | {"hollow": 200, "last_s": 9.0}
    of = model(scale={"events": [small, event]})
    text = blocks(of)["events"]
    assert "relays: p50 0.10 s, p99 0.50 s, last 1.00 s (1,020 balancers)" in text and "9.00" not in text


def test_markers_that_do_not_fit_are_refused() -> None:
    page = "a\n<!-- generated: one -->\nold\n<!-- end -->\nb\n"
    assert replace_blocks(page, {"one": "new\n"}) == page.replace("old", "new")
    assert stale_blocks(page, {"one": "new\n"}) == ["one"] and stale_blocks(page, {"one": "old\n"}) == []
    for bad, made in (
        (page, {"one": "", "two": ""}),
        (page, {}),
        (page * 2, {"one": ""}),
        (page.replace("<!-- end -->", ""), {"one": ""}),
    ):
        with pytest.raises(PageError):
            replace_blocks(bad, made)


@pytest.mark.parametrize(
    ("value", "unit", "text"),
    [
        (None, "s", NOT_MEASURED),
        (8_700_000.0, "bytes", "8.7 MB"),
        (253_125.0, "bytes/s", "253 KB/s"),
        (0.0017, "s", "1.7 ms"),
        (92.0, "s", "92 s"),
        (0.016, "cores", "1.6% of a core"),
        (1584.0, "1/s", "1,580/s"),
        (0.0, "s", "0 ms"),
        (-0.0004, "s", "-400 us"),
        (0.00000012, "number", "0.00000012"),
    ],
)
def test_quantities_read_well(value: float | None, unit: str, text: str) -> None:
    assert format_quantity(value, unit) == text


def test_factors_say_which_way() -> None:
    assert (
        format_factor(2.0) == "**missing x 2**"
        and format_factor(0.5) == "to spare x 2"
        and format_factor(None) == "-"
    )
    assert (
        format_factor(1.0) == "to spare x 1"
        and format_factor(-1.0) == "to spare"
        and format_number(99.96) == "100"
    )


def test_a_program_with_relays_carries_lists_by_them() -> None:
    of = Model(Figures(), Target(), DiscoveryProtocol(), replace(PROGRAM, relay=True))
    assert row(of, "list service", "watches").basis.value == Target().control_machines
    assert "| relay (`docs/relay.md`) |" in blocks(of)["ranking"]


def test_the_model_knows_no_files() -> None:
    for path in (ROOT / "bench").glob("capacity_*.py"):
        text = path.read_text()
        for name in ("asyncio", "socket", "time", "os", "pathlib", "subprocess", "sys"):
            assert f"import {name}\n" not in text and f"from {name} " not in text, path.name


def test_the_ci_run_calls_the_check_and_readme_says_the_same() -> None:
    line = (ROOT / ".ci" / "run").read_text().splitlines()[-1]
    assert "mypy && .venv/bin/python -m bench.capacity && .venv/bin/python -m pytest" in line
    assert line in (ROOT / "README.md").read_text()


def test_times_are_shown_with_the_balancers_that_they_leave_out() -> None:
    """Those that never had a list, or never the change, have no time: times alone would hide them."""
    event = {
        "event": "all start",
        "way": "source",
        "hollow": 4_600,
        "real": 20,
        "rows": 2_000,
        "with_list": 2_442,
        "missing": 791,
        "p50_s": 1.0,
        "p99_s": 2.0,
        "last_s": 3.0,
    }
    shown = blocks(model(scale={"events": [event]}))
    assert "| 4,600 + 20 | 2,442 | 791 |" in shown["scale"]
    assert "2,442 of 4,620 balancers" in shown["events"]
    assert "never at 791 of them" in shown["events"] and "2,000 rows" in shown["events"]
