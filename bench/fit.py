"""Lines and curves through measured figures, judged by a size that was kept out of the fit. No I/O.

A line is fitted by least squares to all sizes but one, and foretells that one. Where it is over LINE_ERROR
off, the figure is not a line, and the curve is named that lies closest to all sizes, that one included, by
the mean of their relative errors: a power of the size, n log n, or a constant. Its own error is told with
it: over LINE_ERROR too, no curve of these is one to reckon with.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from statistics import fmean, median
from typing import Any

LINE_ERROR = 0.2  # of the value that was kept out; over it, the figure is not a line
LINE, POWER, N_LOG_N, CONSTANT = "line", "power", "n log n", "constant"


@dataclass(frozen=True, slots=True)
class Fit:
    """A curve: intercept + slope * g(size), g by its kind.

    residual: root of the mean square, in the figure's unit. exponent: of a power; 1 of all others.
    """

    kind: str
    intercept: float
    slope: float
    residual: float = 0.0
    exponent: float = 1.0

    def at(self, size: float) -> float:
        """The value at a size."""
        if self.kind == CONSTANT:
            return self.intercept
        if self.kind == N_LOG_N:
            return self.intercept + self.slope * _n_log_n(size)
        return self.intercept + self.slope * math.pow(size, self.exponent)


@dataclass(frozen=True, slots=True)
class KeptOut:
    """The size that the fit did not see. error: relative to the value; line_error: the straight line's."""

    size: float
    value: float
    predicted: float
    error: float
    line_error: float


def _n_log_n(size: float) -> float:
    return size * math.log2(size) if size > 0 else 0.0


def _least_squares(xs: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    """Intercept and slope of values over xs."""
    mean_x, mean_value = fmean(xs), fmean(values)
    spread = sum((x - mean_x) ** 2 for x in xs)
    if spread == 0:
        return mean_value, 0.0
    slope = sum((x - mean_x) * (v - mean_value) for x, v in zip(xs, values, strict=True)) / spread
    return mean_value - slope * mean_x, slope


def residual(fit: Fit, sizes: Sequence[float], values: Sequence[float]) -> float:
    """Root of the mean squared distance of values from a fit."""
    return math.sqrt(fmean((fit.at(s) - v) ** 2 for s, v in zip(sizes, values, strict=True)))


def _with_residual(fit: Fit, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    return Fit(fit.kind, fit.intercept, fit.slope, residual(fit, sizes, values), fit.exponent)


def line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The straight line of least squares."""
    return _with_residual(Fit(LINE, *_least_squares(sizes, values)), sizes, values)


def n_log_n(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Least squares over n log2 n."""
    return _with_residual(Fit(N_LOG_N, *_least_squares([_n_log_n(s) for s in sizes], values)), sizes, values)


def constant(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The median: one size that was disturbed does not move it."""
    return _with_residual(Fit(CONSTANT, median(values), 0.0), sizes, values)


def power(sizes: Sequence[float], values: Sequence[float]) -> Fit | None:
    """Least squares over logarithms; None where a size or a value has none."""
    if min(*sizes, *values) <= 0:
        return None
    level, exponent = _least_squares([math.log(s) for s in sizes], [math.log(v) for v in values])
    return _with_residual(Fit(POWER, 0.0, math.exp(level), 0.0, exponent), sizes, values)


CURVES: tuple[Callable[[Sequence[float], Sequence[float]], Fit | None], ...] = (power, n_log_n, constant)


def relative_error(predicted: float, value: float) -> float:
    """How far off a forecast was, by the value; of a value of 0 by the forecast."""
    if predicted == value:
        return 0.0
    return abs(predicted - value) / abs(value or predicted)


def best_fit(points: Mapping[float, float], kept: float) -> tuple[Fit, KeptOut]:
    """The fit of all points but the one of size `kept`, and how well it foretells that one."""
    sizes = [size for size in sorted(points) if size != kept]
    values = [points[size] for size in sizes]
    if kept not in points or len(sizes) < 3:
        raise ValueError("four sizes at least are wanted, one of them kept out")
    value, best = points[kept], line(sizes, values)
    line_error = relative_error(best.at(kept), value)
    if line_error > LINE_ERROR:
        curves = [fit for curve in CURVES if (fit := curve(sizes, values)) is not None]
        best = min(curves, key=lambda fit: fmean(relative_error(fit.at(s), v) for s, v in points.items()))
    return best, KeptOut(kept, value, best.at(kept), relative_error(best.at(kept), value), line_error)


def _rounded(value: float) -> float:
    """Six digits that count: more are not measured."""
    return float(f"{value:.6g}")


def figure(
    role: str, name: str, unit: str, by: str, points: Mapping[float, float], kept: float, target: float
) -> dict[str, Any]:
    """One figure of a result: what was measured, its fit, and its value at the target's size."""
    fit, out = best_fit(points, kept)
    sizes = sorted(points)
    told: dict[str, Any] = {"kind": fit.kind} | {
        key: _rounded(value)
        for key, value in (("intercept", fit.intercept), ("slope", fit.slope), ("residual", fit.residual))
    }
    if fit.kind == POWER:
        told["exponent"] = _rounded(fit.exponent)
    measured = target in points
    return {
        "role": role,
        "name": name,
        "unit": unit,
        "by": by,
        "sizes": sizes,
        "values": [_rounded(points[size]) for size in sizes],
        "kept_out": {
            "size": out.size,
            "value": _rounded(out.value),
            "foretold": _rounded(out.predicted),
            "error": round(out.error, 4),
            "line_error": round(out.line_error, 4),
        },
        "fit": told,
        "at_target": {
            "size": target,
            "value": _rounded(points[target] if measured else fit.at(target)),
            "measured": measured,
        },
    }
