"""The HTML page of a result. The page is self-contained: no script, font or network access. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence
from html import escape
from typing import Any

from quartzford.load.chart import Axes, Label, Line, chart

STYLE = """body{font:15px/1.45 system-ui,sans-serif;max-width:800px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:.6em 0}td,th{padding:.2em .8em;text-align:right}
tr{border-bottom:1px solid #ddd}
th:first-child,td:first-child{text-align:left}svg{width:100%;height:auto}.bad{color:#c0392b;font-weight:600}
text{font:12px system-ui,sans-serif;fill:#444}"""
LATENCY_COLUMNS = ("p50", "p90", "p99", "p99.9", "max", "count")
LABELLED_PERCENTILES = (0, 90, 99, 99.9, 99.99)
MAX_PERCENTILE = 99.9999  # 100% has no place on the logarithmic scale of percentiles


def page(result: dict[str, Any]) -> str:
    """Return the HTML page of a result, as summary() in result.py returns it."""
    return "".join(
        (
            '<!doctype html><html lang="en"><meta charset="utf-8"><title>quartzford load</title>',
            f"<style>{STYLE}</style><h1>{result['ended']} requests, {result['rate']:g} ended a second</h1>",
            *(f'<p class="bad">{escape(text)}</p>' for text in result["trouble"]),
            _goodput_table(result["goodput"]),
            _rules(result["rules"]),
            "<h2>Latency by percentile and class</h2>",
            _percentile_chart(result["curve"]),
            _latency_table(result),
            "<h2>Latency by the second of the intended send</h2>",
            _latency_chart(result["by_second"]),
            "<h2>Goodput by the second of the intended send</h2>",
            _goodput_chart(result["by_second"]),
            "<h2>Ends</h2>",
            table(("class and end", "requests"), list(result["ends"].items())),
            "</html>\n",
        )
    )


def table(column_titles: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return an HTML table; all titles and cells are escaped."""
    headings = "".join(f"<th>{escape(str(cell))}</th>" for cell in column_titles)
    body = "".join(
        "<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in row) + "</tr>" for row in rows
    )
    return f"<table><tr>{headings}</tr>{body}</table>"


def _goodput_table(goodput: dict[str, float]) -> str:
    rows = [(name.replace("_", " "), f"{value:.3f}") for name, value in goodput.items()]
    return table(("goodput", "share of the worth asked"), rows)


def _rules(verdict: dict[str, Any]) -> str:
    """Return the section of the rules; empty if no servers' account was read."""
    if not verdict:
        return ""
    kept = "kept" if verdict["kept"] else '<span class="bad">broken</span>'
    return f"<h2>Rules: {kept}</h2>" + table(("rule", "breaches"), list(verdict["rules"].items()))


def _latency_table(result: dict[str, Any]) -> str:
    rows = [
        (f"{title}, {name}", *(f"{row[column]:g}" for column in LATENCY_COLUMNS))
        for title, key in (("from the intended send", "latency_ms"), ("service", "service_ms"))
        for name, row in result[key].items()
        if row
    ]
    return table(("ms", *LATENCY_COLUMNS), rows)


def _percentile_chart(curves: dict[str, Sequence[tuple[float, float]]]) -> str:
    lines = [Line(name, [(_nines(p), ms) for p, ms in points]) for name, points in curves.items()]
    labels = [Label(_nines(p), f"{p:g}%") for p in LABELLED_PERCENTILES]
    return chart(lines, Axes("percentile", "ms", log_y=True, x_labels=labels))


def _nines(percentile: float) -> float:
    """Return the number of nines of a percentile, such as 2 for 99%.

    This logarithmic scale gives the tail of a curve enough space on the x axis.
    """
    return -math.log10(1 - min(percentile, MAX_PERCENTILE) / 100.0)


def _latency_chart(seconds: Sequence[dict[str, float]]) -> str:
    lines = [
        Line(name, [(row["second"], row[name]) for row in seconds if row["served"]])
        for name in ("p50", "p99")
    ]
    return chart(lines, Axes("s", "ms", log_y=True))


def _goodput_chart(seconds: Sequence[dict[str, float]]) -> str:
    points = [(row["second"], row["goodput"]) for row in seconds]
    return chart([Line("goodput", points)], Axes("s", "share"))
