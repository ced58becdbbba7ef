"""Line charts in SVG that need nothing else: no script, no font, no network. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from html import escape
from typing import NamedTuple

WIDTH, HEIGHT = 720, 240
LEFT, RIGHT, TOP, BOTTOM = 64, 10, 24, 30  # margins around the lines
COLOURS = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b9770e", "#555555")
NAME_WIDTH = 120  # of a line's name in the legend
MAX_TICKS = 6


class Line(NamedTuple):
    """A named line through points (x, y)."""

    name: str
    points: Sequence[tuple[float, float]]


class Label(NamedTuple):
    """A text below the x axis."""

    x: float
    text: str


@dataclass(frozen=True, slots=True)
class Axes:
    """The titles of the axes, and their scales. x_labels: what to write where; None: round figures."""

    x_title: str
    y_title: str
    log_y: bool = False
    x_labels: Sequence[Label] | None = None


class _Scale:
    """Places points on the chart. y starts at 0, or on a logarithmic scale at the least value above 0."""

    def __init__(self, points: Sequence[tuple[float, float]], log_y: bool) -> None:
        xs = [x for x, _ in points]
        ys = [y for _, y in points if not log_y or y > 0]
        self.log_y = log_y
        self.x0, self.x1 = min(xs), max(max(xs), min(xs) + 1e-9)
        self.y0 = min(ys, default=1.0) if log_y else 0.0
        self.y1 = max(max(ys, default=1.0), self.y0 * 1.001 + 1e-9)

    def x(self, value: float) -> float:
        """Return how far from the left edge a value is."""
        return LEFT + (WIDTH - LEFT - RIGHT) * (value - self.x0) / (self.x1 - self.x0)

    def y(self, value: float) -> float:
        """Return how far from the top edge a value is."""
        if self.log_y:
            span = math.log(self.y1) - math.log(self.y0)
            share = (math.log(max(value, self.y0)) - math.log(self.y0)) / span
        else:
            share = (value - self.y0) / (self.y1 - self.y0)
        return HEIGHT - BOTTOM - (HEIGHT - BOTTOM - TOP) * share


def chart(lines: Sequence[Line], axes: Axes) -> str:
    """Return an SVG element with the lines, or a paragraph that there are none."""
    points = [point for line in lines for point in line.points]
    if not points:
        return "<p>nothing was measured</p>"
    scale = _Scale(points, axes.log_y)
    return "".join(
        [
            f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img">',
            *_y_axis(scale),
            *_x_axis(scale, axes.x_labels),
            *(part for number, line in enumerate(lines) for part in _line(scale, number, line)),
            f'<text x="{WIDTH - 10}" y="{HEIGHT - 1}" text-anchor="end">{escape(axes.x_title)}</text>',
            f'<text x="2" y="12">{escape(axes.y_title)}</text></svg>',
        ]
    )


def _y_axis(scale: _Scale) -> list[str]:
    parts = []
    for y in _ticks(scale.y0, scale.y1, scale.log_y):
        at = scale.y(y)
        parts.append(f'<path d="M{LEFT} {at:.1f}H{WIDTH - RIGHT}" stroke="#e4e4e4"/>')
        parts.append(f'<text x="{LEFT - 6}" y="{at + 4:.1f}" text-anchor="end">{y:g}</text>')
    return parts


def _x_axis(scale: _Scale, labels: Sequence[Label] | None) -> list[str]:
    shown = labels or [Label(x, f"{x:g}") for x in _ticks(scale.x0, scale.x1, False)]
    return [
        f'<text x="{scale.x(x):.1f}" y="{HEIGHT - 12}" text-anchor="middle">{text}</text>'
        for x, text in shown
    ]


def _line(scale: _Scale, number: int, line: Line) -> list[str]:
    """Return a line and its name in the legend. number: its place there."""
    colour = COLOURS[number % len(COLOURS)]
    path = " ".join(f"{scale.x(x):.1f},{scale.y(y):.1f}" for x, y in line.points)
    name_x = LEFT + 8 + NAME_WIDTH * number
    return [
        f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="1.6"/>',
        f'<text x="{name_x}" y="12" style="fill:{colour}">{escape(line.name)}</text>',
    ]


def _ticks(least: float, most: float, log: bool) -> list[float]:
    """Return round values between two bounds: powers of ten, or at most some six evenly spaced ones."""
    if log:
        first, last = math.floor(math.log10(least)), math.ceil(math.log10(most))
        return [10.0**n for n in range(first, last + 1) if least <= 10.0**n <= most]
    span = most - least
    step = 10.0 ** math.floor(math.log10(span / 4)) if span > 0 else 1.0
    step *= next((factor for factor in (1, 2, 5, 10) if span / (step * factor) <= MAX_TICKS), 10)
    return [number * step for number in range(math.ceil(least / step), int(most / step) + 1)]
