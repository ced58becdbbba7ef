"""Lines and curves through measured figures, validated on a size that was held out of the fit. No I/O.

A line is fitted by least squares to all sizes but one and predicts that one. Where it is over LINE_ERROR
off, the figure is not linear, and the curve is taken that lies closest to all sizes, that one included, by
the mean of their relative errors: a power of the size, n log n, or a constant. Its own error is reported as
well: where that is over LINE_ERROR too, none of these curves is a usable model.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from statistics import fmean, median
from typing import Any

LINE_ERROR = 0.2  # relative to the held-out value; over it, the figure is not linear
LINE, POWER, N_LOG_N, CONSTANT = "line", "power", "n log n", "constant"


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted curve: intercept + slope * g(size), where the kind decides on g.

    residual: root mean square, in the figure's unit. exponent: of a power; 1 for all other kinds.
    """

    kind: str
    intercept: float
    slope: float
    residual: float = 0.0
    exponent: float = 1.0

    def at(self, size: float) -> float:
        """The fitted value at a size."""
        if self.kind == CONSTANT:
            return self.intercept
        if self.kind == N_LOG_N:
            return self.intercept + self.slope * _n_log_n(size)
        return self.intercept + self.slope * math.pow(size, self.exponent)


@dataclass(frozen=True, slots=True)
class HeldOut:
    """How well the fit predicts the size that it did not see.

    error: relative to the measured value; line_error: that of the straight line.
    """

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
    squares = sum((x - mean_x) ** 2 for x in xs)
    if squares == 0:
        return mean_value, 0.0
    products = sum((x - mean_x) * (value - mean_value) for x, value in zip(xs, values, strict=True))
    slope = products / squares
    return mean_value - slope * mean_x, slope


def residual(fit: Fit, sizes: Sequence[float], values: Sequence[float]) -> float:
    """Root mean square distance of the values from a fit."""
    pairs = zip(sizes, values, strict=True)
    return math.sqrt(fmean((fit.at(size) - value) ** 2 for size, value in pairs))


def _with_residual(fit: Fit, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    return Fit(fit.kind, fit.intercept, fit.slope, residual(fit, sizes, values), fit.exponent)


def line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The straight line by least squares."""
    return _with_residual(Fit(LINE, *_least_squares(sizes, values)), sizes, values)


def n_log_n(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Least squares over n log2 n."""
    scaled = [_n_log_n(size) for size in sizes]
    return _with_residual(Fit(N_LOG_N, *_least_squares(scaled, values)), sizes, values)


def constant(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The median, which one disturbed measurement does not move."""
    return _with_residual(Fit(CONSTANT, median(values), 0.0), sizes, values)


def power(sizes: Sequence[float], values: Sequence[float]) -> Fit | None:
    """Least squares over logarithms; None where a size or a value is not positive."""
    if min(*sizes, *values) <= 0:
        return None
    log_sizes = [math.log(size) for size in sizes]
    log_values = [math.log(value) for value in values]
    log_factor, exponent = _least_squares(log_sizes, log_values)
    return _with_residual(Fit(POWER, 0.0, math.exp(log_factor), 0.0, exponent), sizes, values)


Curve = Callable[[Sequence[float], Sequence[float]], Fit | None]
CURVES: tuple[Curve, ...] = (power, n_log_n, constant)


def relative_error(predicted: float, value: float) -> float:
    """Distance of a prediction from the value, relative to the value, or to the prediction of a 0."""
    if predicted == value:
        return 0.0
    return abs(predicted - value) / abs(value or predicted)


def _closest_curve(points: Mapping[float, float], sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Of the curves through the sizes, the one with the least mean relative error over all points."""
    fits = [fit for curve in CURVES if (fit := curve(sizes, values)) is not None]

    def mean_error(fit: Fit) -> float:
        return fmean(relative_error(fit.at(size), value) for size, value in points.items())

    return min(fits, key=mean_error)


def best_fit(points: Mapping[float, float], held_out: float) -> tuple[Fit, HeldOut]:
    """The fit of all points but the one of size `held_out`, and how well it predicts that one.

    ValueError: there are fewer than four points, or none of that size.
    """
    sizes = [size for size in sorted(points) if size != held_out]
    values = [points[size] for size in sizes]
    if held_out not in points or len(sizes) < 3:
        raise ValueError("four sizes at least are wanted, one of them kept out")
    value, best = points[held_out], line(sizes, values)
    line_error = relative_error(best.at(held_out), value)
    if line_error > LINE_ERROR:
        best = _closest_curve(points, sizes, values)
    predicted = best.at(held_out)
    return best, HeldOut(held_out, value, predicted, relative_error(predicted, value), line_error)


def _rounded(value: float) -> float:
    """To six significant digits: more are not measured."""
    return float(f"{value:.6g}")


def _fit_row(fit: Fit) -> dict[str, Any]:
    """A fit as a result has it."""
    row: dict[str, Any] = {
        "kind": fit.kind,
        "intercept": _rounded(fit.intercept),
        "slope": _rounded(fit.slope),
        "residual": _rounded(fit.residual),
    }
    if fit.kind == POWER:
        row["exponent"] = _rounded(fit.exponent)
    return row


def _held_out_row(held_out: HeldOut) -> dict[str, Any]:
    """The validation as a result has it."""
    return {
        "size": held_out.size,
        "value": _rounded(held_out.value),
        "foretold": _rounded(held_out.predicted),
        "error": round(held_out.error, 4),
        "line_error": round(held_out.line_error, 4),
    }


def figure(
    role: str, name: str, unit: str, by: str, points: Mapping[float, float], held_out: float, target: float
) -> dict[str, Any]:
    """One figure of a result: the measured points, their fit, and the value at the target size.

    by: what the sizes count. held_out: the size that validates the fit. ValueError: as of best_fit.
    """
    fit, validation = best_fit(points, held_out)
    sizes = sorted(points)
    measured = target in points
    return {
        "role": role,
        "name": name,
        "unit": unit,
        "by": by,
        "sizes": sizes,
        "values": [_rounded(points[size]) for size in sizes],
        "kept_out": _held_out_row(validation),
        "fit": _fit_row(fit),
        "at_target": {
            "size": target,
            "value": _rounded(points[target] if measured else fit.at(target)),
            "measured": measured,
        },
    }
