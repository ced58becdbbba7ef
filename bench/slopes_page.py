"""The page of a slopes result: docs/measurements/slopes.md. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from bench.fit import LINE, LINE_ERROR, POWER

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


def digits(value: float) -> str:
    """Three digits that count, and no exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _curve(figure: Mapping[str, Any]) -> str:
    fit, unit = figure["fit"], figure["unit"]
    level, slope = digits(fit["intercept"]), f"{fit['slope']:.3g}"
    if fit["kind"] == LINE:
        said = f"{level} + {slope} n"
    elif fit["kind"] == POWER:
        said = f"power: {slope} n^{fit['exponent']:.2f}"
    elif fit["kind"] == "constant":
        said = f"constant: {level}"
    else:
        said = f"{fit['kind']}: {level} + {slope} n log2 n"
    return f"{said} {unit} (residual {digits(fit['residual'])})"


def _row(figure: Mapping[str, Any]) -> str:
    kept, target = figure["kept_out"], figure["at_target"]
    mark = " *" if target["measured"] else ""
    return (
        f"| {figure['name']} | {figure['by']} | {', '.join(f'{size:,g}' for size in figure['sizes'])} "
        f"| {', '.join(digits(value) for value in figure['values'])} {figure['unit']} | {_curve(figure)} "
        f"| {kept['size']:,g}: {digits(kept['value'])}, {digits(kept['foretold'])}, {kept['error']:.0%} "
        f"| {target['size']:,g}: {digits(target['value'])} {figure['unit']}{mark} |"
    )


def _tables(figures: Sequence[Mapping[str, Any]]) -> list[str]:
    out = []
    for role in dict.fromkeys(figure["role"] for figure in figures):
        rows = [_row(figure) for figure in figures if figure["role"] == role]
        out.append(f"\n## {role.capitalize()}\n\n| {' | '.join(COLUMNS)} |")
        out.append("| --- " * len(COLUMNS) + "|")
        out += rows
    return out


def _not_lines(figures: Sequence[Mapping[str, Any]]) -> list[str]:
    """What is no line, and what no curve foretells either."""
    out = ["\n## What is not a line\n"]
    for figure in figures:
        kept, kind = figure["kept_out"], figure["fit"]["kind"]
        if kind == LINE:
            continue
        end = f"it is {kept['error']:.0%} off"
        if kept["error"] > LINE_ERROR:
            end += " too, so none of the curves is one to reckon with: take the values measured"
        size = f"{kept['size']:,g}"
        said = f"a line is {kept['line_error']:.0%} off at {size}; {kind}, {end}."
        out.append(f"- {figure['role']}, {figure['name']}: {said}")
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
    """What somebody wrote under the marker of a page, to be kept when it is written anew."""
    return text.partition(MARKER)[2].strip()


def page(result: Mapping[str, Any], remarks: str = "") -> str:
    """The whole page; remarks: written by hand, at its end."""
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
