"""Line charts in SVG. A chart is self-contained: no script, font or network access. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from html import escape
from typing import NamedTuple

# Sizes are in SVG units.
WIDTH, HEIGHT = 720, 240
LEFT_MARGIN, RIGHT_MARGIN, TOP_MARGIN, BOTTOM_MARGIN = 64, 10, 24, 30  # around the plot area
COLOURS = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b9770e", "#555555")
LEGEND_ENTRY_WIDTH = 120  # space for one line's name in the legend
MAX_TICKS = 6


class Line(NamedTuple):
    """A line through points (x, y), with its name in the legend."""

    name: str
    points: Sequence[tuple[float, float]]


class Label(NamedTuple):
    """A label below the x axis at position x."""

    x: float
    text: str


@dataclass(frozen=True, slots=True)
class Axes:
    """The titles and scales of the axes. x_labels: labels of the x axis; None: labels at round values."""

    x_title: str
    y_title: str
    log_y: bool = False
    x_labels: Sequence[Label] | None = None


class _Scale:
    """Maps data values to SVG coordinates.

    The y axis starts at 0; if it is logarithmic, it starts at the smallest value above 0.
    """

    def __init__(self, points: Sequence[tuple[float, float]], log_y: bool) -> None:
        xs = [x for x, _ in points]
        ys = [y for _, y in points if not log_y or y > 0]
        self.log_y = log_y
        self.min_x, self.max_x = min(xs), max(max(xs), min(xs) + 1e-9)
        self.min_y = min(ys, default=1.0) if log_y else 0.0
        self.max_y = max(max(ys, default=1.0), self.min_y * 1.001 + 1e-9)

    def x(self, value: float) -> float:
        """Return the distance of an x value from the left edge of the chart, in SVG units."""
        return LEFT_MARGIN + (WIDTH - LEFT_MARGIN - RIGHT_MARGIN) * (value - self.min_x) / (
            self.max_x - self.min_x
        )

    def y(self, value: float) -> float:
        """Return the distance of a y value from the top edge of the chart, in SVG units."""
        if self.log_y:
            span = math.log(self.max_y) - math.log(self.min_y)
            share = (math.log(max(value, self.min_y)) - math.log(self.min_y)) / span
        else:
            share = (value - self.min_y) / (self.max_y - self.min_y)
        return HEIGHT - BOTTOM_MARGIN - (HEIGHT - BOTTOM_MARGIN - TOP_MARGIN) * share


def chart(lines: Sequence[Line], axes: Axes) -> str:
    """Return an SVG element with the lines, or an HTML paragraph if the lines have no points."""
    points = [point for line in lines for point in line.points]
    if not points:
        return "<p>nothing was measured</p>"
    scale = _Scale(points, axes.log_y)
    return "".join(
        [
            f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img">',
            *_y_axis(scale),
            *_x_axis(scale, axes.x_labels),
            *(part for index, line in enumerate(lines) for part in _line(scale, index, line)),
            f'<text x="{WIDTH - 10}" y="{HEIGHT - 1}" text-anchor="end">{escape(axes.x_title)}</text>',
            f'<text x="2" y="12">{escape(axes.y_title)}</text></svg>',
        ]
    )


def _y_axis(scale: _Scale) -> list[str]:
    parts = []
    for y in _ticks(scale.min_y, scale.max_y, scale.log_y):
        pixel_y = scale.y(y)
        parts.append(f'<path d="M{LEFT_MARGIN} {pixel_y:.1f}H{WIDTH - RIGHT_MARGIN}" stroke="#e4e4e4"/>')
        parts.append(f'<text x="{LEFT_MARGIN - 6}" y="{pixel_y + 4:.1f}" text-anchor="end">{y:g}</text>')
    return parts


def _x_axis(scale: _Scale, labels: Sequence[Label] | None) -> list[str]:
    shown = labels or [Label(x, f"{x:g}") for x in _ticks(scale.min_x, scale.max_x, False)]
    return [
        f'<text x="{scale.x(x):.1f}" y="{HEIGHT - 12}" text-anchor="middle">{text}</text>'
        for x, text in shown
    ]


def _line(scale: _Scale, index: int, line: Line) -> list[str]:
    """Return the SVG elements of a line and its name in the legend. index: its position in the legend."""
    colour = COLOURS[index % len(COLOURS)]
    path = " ".join(f"{scale.x(x):.1f},{scale.y(y):.1f}" for x, y in line.points)
    name_x = LEFT_MARGIN + 8 + LEGEND_ENTRY_WIDTH * index
    return [
        f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="1.6"/>',
        f'<text x="{name_x}" y="12" style="fill:{colour}">{escape(line.name)}</text>',
    ]


def _ticks(min_value: float, max_value: float, logarithmic: bool) -> list[float]:
    """Return round values between two bounds.

    On a logarithmic scale these are the powers of ten, else about MAX_TICKS evenly spaced values at most.
    """
    if logarithmic:
        first, last = math.floor(math.log10(min_value)), math.ceil(math.log10(max_value))
        return [10.0**n for n in range(first, last + 1) if min_value <= 10.0**n <= max_value]
    span = max_value - min_value
    step = 10.0 ** math.floor(math.log10(span / 4)) if span > 0 else 1.0
    step *= next((factor for factor in (1, 2, 5, 10) if span / (step * factor) <= MAX_TICKS), 10)
    return [multiple * step for multiple in range(math.ceil(min_value / step), int(max_value / step) + 1)]
