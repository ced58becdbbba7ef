"""A result as one HTML page that needs nothing else: no script, no font, no network. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence
from html import escape
from typing import Any

WIDTH, HEIGHT, LEFT, BOTTOM = 720, 240, 64, 30
COLOURS = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b9770e", "#555555")
STYLE = """body{font:15px/1.45 system-ui,sans-serif;max-width:800px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:.6em 0}td,th{padding:.2em .8em;text-align:right}
tr{border-bottom:1px solid #ddd}
th:first-child,td:first-child{text-align:left}svg{width:100%;height:auto}.bad{color:#c0392b;font-weight:600}
text{font:12px system-ui,sans-serif;fill:#444}"""
Line = tuple[str, Sequence[tuple[float, float]]]


def _ticks(least: float, most: float, log: bool) -> list[float]:
    if log:
        first, last = math.floor(math.log10(least)), math.ceil(math.log10(most))
        return [10.0**n for n in range(first, last + 1) if least <= 10.0**n <= most]
    span = most - least
    step = 10.0 ** math.floor(math.log10(span / 4)) if span > 0 else 1.0
    step *= next((k for k in (1, 2, 5, 10) if span / (step * k) <= 6), 10)
    first = math.ceil(least / step)
    return [n * step for n in range(first, int(most / step) + 1)]


def chart(
    lines: Sequence[Line],
    x_title: str,
    y_title: str,
    log_y: bool = False,
    x_labels: Sequence[tuple[float, str]] | None = None,
    least_y: float | None = 0.0,
) -> str:
    """Lines in an SVG; points (x, y). x_labels: what to write where, else plain figures."""
    points = [point for _, line in lines for point in line]
    if not points:
        return "<p>nothing was measured</p>"
    xs, ys = [p[0] for p in points], [p[1] for p in points if not log_y or p[1] > 0]
    x0, x1 = min(xs), max(max(xs), min(xs) + 1e-9)
    y0 = min(ys, default=1.0) if log_y or least_y is None else least_y
    y1 = max(max(ys, default=1.0), y0 * 1.001 + 1e-9)

    def at_x(x: float) -> float:
        return LEFT + (WIDTH - LEFT - 10) * (x - x0) / (x1 - x0)

    def at_y(y: float) -> float:
        if log_y:
            share = (math.log(max(y, y0)) - math.log(y0)) / (math.log(y1) - math.log(y0))
        else:
            share = (y - y0) / (y1 - y0)
        return HEIGHT - BOTTOM - (HEIGHT - BOTTOM - 24) * share

    out = [f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img">']
    for y in _ticks(y0, y1, log_y):
        out.append(f'<path d="M{LEFT} {at_y(y):.1f}H{WIDTH - 10}" stroke="#e4e4e4"/>')
        out.append(f'<text x="{LEFT - 6}" y="{at_y(y) + 4:.1f}" text-anchor="end">{y:g}</text>')
    for x, label in x_labels or [(x, f"{x:g}") for x in _ticks(x0, x1, False)]:
        out.append(f'<text x="{at_x(x):.1f}" y="{HEIGHT - 12}" text-anchor="middle">{label}</text>')
    for number, (name, line) in enumerate(lines):
        colour = COLOURS[number % len(COLOURS)]
        path = " ".join(f"{at_x(x):.1f},{at_y(y):.1f}" for x, y in line)
        out.append(f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="1.6"/>')
        out.append(f'<text x="{LEFT + 8 + 120 * number}" y="12" style="fill:{colour}">{escape(name)}</text>')
    out.append(f'<text x="{WIDTH - 10}" y="{HEIGHT - 1}" text-anchor="end">{escape(x_title)}</text>')
    out.append(f'<text x="2" y="12">{escape(y_title)}</text></svg>')
    return "".join(out)


def table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    said = "".join(f"<th>{escape(str(cell))}</th>" for cell in head)
    body = "".join(
        "<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in row) + "</tr>" for row in rows
    )
    return f"<table><tr>{said}</tr>{body}</table>"


def _percentiles(result: dict[str, Any]) -> str:
    """x: how many nines; so the tail has its room."""

    def place(p: float) -> float:
        return -math.log10(1 - min(p, 99.9999) / 100.0)

    lines = [(name, [(place(p), ms) for p, ms in points]) for name, points in result["curve"].items()]
    labels = [(place(p), f"{p:g}%") for p in (0, 90, 99, 99.9, 99.99)]
    return chart(lines, "percentile", "ms", log_y=True, x_labels=labels)


def page(result: dict[str, Any]) -> str:
    """The whole page."""
    seconds = result["by_second"]
    kept = ("p50", "p90", "p99", "p99.9", "max", "count")
    rows = [
        (f"{title}, {name}", *(f"{row[p]:g}" for p in kept))
        for title, key in (("from the intended send", "latency_ms"), ("service", "service_ms"))
        for name, row in result[key].items()
        if row
    ]
    trouble = "".join(f'<p class="bad">{escape(text)}</p>' for text in result["trouble"])
    verdict = result["rules"]
    rules = ""
    if verdict:
        rows_of = list(verdict["rules"].items())
        said = "kept" if verdict["kept"] else '<span class="bad">broken</span>'
        rules = f"<h2>Rules: {said}</h2>" + table(("rule", "breaches"), rows_of)
    return "".join(
        (
            '<!doctype html><html lang="en"><meta charset="utf-8"><title>quartzford load</title>',
            f"<style>{STYLE}</style><h1>{result['ended']} requests, {result['rate']:g} ended a second</h1>",
            trouble,
            table(
                ("goodput", "share of the worth asked"),
                [(name.replace("_", " "), f"{value:.3f}") for name, value in result["goodput"].items()],
            ),
            rules,
            "<h2>Latency by percentile and class</h2>",
            _percentiles(result),
            table(("ms", *kept), rows),
            "<h2>Latency by the second of the intended send</h2>",
            chart(
                [(p, [(s["second"], s[p]) for s in seconds if s["served"]]) for p in ("p50", "p99")],
                "s",
                "ms",
                log_y=True,
            ),
            "<h2>Goodput by the second of the intended send</h2>",
            chart([("goodput", [(s["second"], s["goodput"]) for s in seconds])], "s", "share"),
            "<h2>Ends</h2>",
            table(("class and end", "requests"), list(result["ends"].items())),
            "</html>\n",
        )
    )
