"""The page of a slopes result: docs/measurements/slopes.md. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from bench.fit import CONSTANT, LINE, LINE_ERROR, POWER

HEAD = """# Slopes: what each role costs by its sizes

    python -m bench.slopes --json docs/measurements/slopes.json --page docs/measurements/slopes.md

Each figure is measured in a process of its own, the program's own code behind a socket, at the sizes named. A
line is fitted by least squares to all of them but one, which it foretells; "error" is how far off that
forecast was. Over {error:.0%} the figure is no line, and the curve is named that lies closest to all sizes.
"At the target" is measured where the size was one of those measured (marked *), and reckoned from the fit
else. Stalls are the worst lateness of a 5 ms tick on the loop; times of requests count from intended times,
as medians of rounds in turns through the balancer and straight at an upstream. Processor time is the
kernel's, of the process alone. Bytes are those of HTTP, without TCP's and IP's. The list service is the
stand-in of `standins/listservice.py`, in Python too: its figures are what the protocol costs there, not the
platform's own.
"""
MARKER = "<!-- remarks: written by hand, kept when the page is written anew -->"
COLUMNS = (
    "figure",
    "by",
    "sizes",
    "values",
    "line or curve",
    "kept out: value, foretold, error",
    "at target",
)


def format_number(value: float) -> str:
    """Three significant digits, or a whole number from 1,000 on."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _curve(figure: Mapping[str, Any]) -> str:
    fit, unit = figure["fit"], figure["unit"]
    level, slope = format_number(fit["intercept"]), f"{fit['slope']:.3g}"
    if fit["kind"] == LINE:
        curve = f"{level} + {slope} n"
    elif fit["kind"] == POWER:
        curve = f"power: {slope} n^{fit['exponent']:.2f}"
    elif fit["kind"] == CONSTANT:
        curve = f"constant: {level}"
    else:
        curve = f"{fit['kind']}: {level} + {slope} n log2 n"
    return f"{curve} {unit} (residual {format_number(fit['residual'])})"


def _row(figure: Mapping[str, Any]) -> str:
    unit, kept, target = figure["unit"], figure["kept_out"], figure["at_target"]
    sizes = ", ".join(f"{size:,g}" for size in figure["sizes"])
    values = ", ".join(format_number(value) for value in figure["values"])
    kept_out = f"{format_number(kept['value'])}, {format_number(kept['foretold'])}, {kept['error']:.0%}"
    mark = " *" if target["measured"] else ""
    cells = (
        figure["name"],
        figure["by"],
        sizes,
        f"{values} {unit}",
        _curve(figure),
        f"{kept['size']:,g}: {kept_out}",
        f"{target['size']:,g}: {format_number(target['value'])} {unit}{mark}",
    )
    return f"| {' | '.join(cells)} |"


def _tables(figures: Sequence[Mapping[str, Any]]) -> list[str]:
    out = []
    for role in dict.fromkeys(figure["role"] for figure in figures):
        rows = [_row(figure) for figure in figures if figure["role"] == role]
        out.append(f"\n## {role.capitalize()}\n\n| {' | '.join(COLUMNS)} |")
        out.append("| --- " * len(COLUMNS) + "|")
        out += rows
    return out


def _not_lines(figures: Sequence[Mapping[str, Any]]) -> list[str]:
    """The figures that are no line, and those that no curve predicts either."""
    out = ["\n## What is not a line\n"]
    for figure in figures:
        kept, kind = figure["kept_out"], figure["fit"]["kind"]
        if kind == LINE:
            continue
        end = f"it is {kept['error']:.0%} off"
        if kept["error"] > LINE_ERROR:
            end += " too, so none of the curves is one to reckon with: take the values measured"
        size = f"{kept['size']:,g}"
        verdict = f"a line is {kept['line_error']:.0%} off at {size}; {kind}, {end}."
        out.append(f"- {figure['role']}, {figure['name']}: {verdict}")
    return out if len(out) > 1 else [*out, "Nothing."]


def _machine(machine: Mapping[str, Any]) -> str:
    return (
        f"Machine: {machine['cpu']}, {machine['cores']} cores, Python {machine['python']}, orjson "
        f"{machine['orjson'] or 'not installed'}. Load average of a minute: {machine['load_before']:.1f} "
        f"when the run began, {machine['load_after']:.1f} when it ended, its own part some 1 to 2. What goes "
        "over that was other work on the machine; it disturbs all times, p99 and the longest stalls most, "
        "and leaves bytes and memory alone."
    )


def remarks(text: str) -> str:
    """The text under the marker of a page, which is written by hand and kept when the page is generated."""
    return text.partition(MARKER)[2].strip()


def page(result: Mapping[str, Any], remarks: str = "") -> str:
    """The whole page out of the result of bench.slopes; remarks: written by hand, at its end."""
    machine, figures = result["machine"], result["figures"]
    text = [HEAD.format(error=LINE_ERROR)]
    text.append(_machine(machine) + f" The run took {result['seconds']:.0f} s.")
    if result["quick"]:
        text.append("\nA run with --quick: it shows that all is measured; what it reckons is no figure.")
    text += _tables(figures) + _not_lines(figures)
    text += ["\n## Notes\n", *(f"- {note}" for note in result["notes"])]
    text += [f"- Not measured, failed: {one['group']}: {one['error']}" for one in result["failed"]]
    text += [f"\n{MARKER}\n", *([remarks] if remarks else [])]
    return "\n".join(text).rstrip() + "\n"
