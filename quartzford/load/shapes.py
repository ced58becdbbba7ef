"""Shapes: arrival rates over time, and the arrival times generated from them. No I/O; all draws are seeded.

A shape is written as parts joined by '+'. Its rate is the sum of the rates of its parts. RATE, FROM and TO
are in requests per second; AT, SECONDS and PERIOD are in seconds:

    constant:RATE               RATE at all times
    ramp:FROM-TO/SECONDS        linear from FROM to TO, then TO
    step:RATE@AT                RATE from AT on, 0 before
    burst:RATE@AT+SECONDS       RATE from AT until AT + SECONDS, 0 outside
    sine:RATE/PERIOD            a wave between 0 and RATE that begins at 0
    surge:RATE@AT+SECONDS       a rise to RATE in the first tenth of SECONDS, then a slow decline to 0
"""

from __future__ import annotations

import math
import random
import re
from collections.abc import Callable, Iterator
from typing import NamedTuple

NUMBER_PATTERN = r"(\d+(?:\.\d+)?)"
PART_SEPARATOR = re.compile(r"\+(?=[a-z])")  # a '+' before a digit belongs to a part
MAX_RATE = 1e6
SURGE_RISE_SHARE = 0.1  # of a surge's duration
INTEGRATION_STEP_S = 1e-4
END_TOLERANCE_S = 1e-12


class ShapeError(ValueError):
    """A shape is invalid. The text names the part and the reason."""


class Part(NamedTuple):
    """One part of a shape. rate: requests per second, by seconds from the start. max_rate: its maximum."""

    rate: Callable[[float], float]
    max_rate: float


def _constant(rate: float) -> Part:
    return Part(lambda t: rate, rate)


def _ramp(start: float, end: float, span: float) -> Part:
    return Part(lambda t: start + (end - start) * min(1.0, t / span), max(start, end))


def _step(rate: float, at: float) -> Part:
    return Part(lambda t: rate if t >= at else 0.0, rate)


def _burst(rate: float, at: float, span: float) -> Part:
    return Part(lambda t: rate if at <= t < at + span else 0.0, rate)


def _sine(rate: float, period: float) -> Part:
    return Part(lambda t: rate * (1 - math.cos(2 * math.pi * t / period)) / 2, rate)


def _surge(rate: float, at: float, span: float) -> Part:
    def rate_at(t: float) -> float:
        x = (t - at) / span
        if not 0 <= x < 1:
            return 0.0
        if x < SURGE_RISE_SHARE:
            return rate * (x / SURGE_RISE_SHARE)
        return rate * (1 - (x - SURGE_RISE_SHARE) / (1 - SURGE_RISE_SHARE)) ** 2

    return Part(rate_at, rate)


class _PartSyntax(NamedTuple):
    """The syntax of a part. duration_index: which argument is a duration, which must not be 0."""

    pattern: str
    make: Callable[..., Part]
    duration_index: int | None = None


PART_SYNTAX = {
    "constant": _PartSyntax(NUMBER_PATTERN, _constant),
    "ramp": _PartSyntax(f"{NUMBER_PATTERN}-{NUMBER_PATTERN}/{NUMBER_PATTERN}", _ramp, 2),
    "step": _PartSyntax(f"{NUMBER_PATTERN}@{NUMBER_PATTERN}", _step),
    "burst": _PartSyntax(rf"{NUMBER_PATTERN}@{NUMBER_PATTERN}\+{NUMBER_PATTERN}", _burst, 2),
    "sine": _PartSyntax(f"{NUMBER_PATTERN}/{NUMBER_PATTERN}", _sine, 1),
    "surge": _PartSyntax(rf"{NUMBER_PATTERN}@{NUMBER_PATTERN}\+{NUMBER_PATTERN}", _surge, 2),
}


class Shape:
    """A sum of parts. max_rate: an upper bound on the rate, in requests per second."""

    def __init__(self, parts: list[Part]) -> None:
        self.parts = parts
        self.max_rate = sum(part.max_rate for part in parts)

    def divided_by(self, count: int) -> Shape:
        """Return a shape with the rate of this one divided by count."""

        def scaled(part: Part) -> Part:
            return Part(lambda t: part.rate(t) / count, part.max_rate / count)

        return Shape([scaled(part) for part in self.parts])

    def rate(self, t: float) -> float:
        """Return the rate in requests per second. t: seconds from the start."""
        return sum(part.rate(t) for part in self.parts)


def read_shape(text: str) -> Shape:
    """Return the shape that a text describes. Raises ShapeError if the text is invalid."""
    shape = Shape([_read_part(part_text) for part_text in PART_SEPARATOR.split(text.strip())])
    if not 0 < shape.max_rate <= MAX_RATE:
        raise ShapeError(f"{text!r}: the maximum rate must be above 0 and at most {MAX_RATE:g}")
    return shape


def _read_part(part_text: str) -> Part:
    name, _, arguments = part_text.partition(":")
    if name not in PART_SYNTAX:
        raise ShapeError(f"{part_text!r}: no such shape; known shapes: {', '.join(PART_SYNTAX)}")
    syntax = PART_SYNTAX[name]
    match = re.fullmatch(syntax.pattern, arguments)
    if match is None:
        raise ShapeError(f"{part_text!r}: the arguments of {name} are invalid")
    values = [float(value) for value in match.groups()]
    if syntax.duration_index is not None and values[syntax.duration_index] <= 0:
        raise ShapeError(f"{part_text!r}: the duration must be above 0")
    return syntax.make(*values)


def poisson_arrivals(shape: Shape, seconds: float, rng: random.Random) -> Iterator[float]:
    """Yield the arrival times of a Poisson process with a shape's rate.

    The method is thinning (Lewis and Shedler, 1979).
    """
    t = 0.0
    while True:
        t += rng.expovariate(shape.max_rate)
        if t >= seconds:
            return
        if rng.random() * shape.max_rate < shape.rate(t):
            yield t


def evenly_spaced_arrivals(
    shape: Shape, seconds: float, step_s: float = INTEGRATION_STEP_S
) -> Iterator[float]:
    """Yield arrival times at even spacing: one each time the integral of the rate reaches the next integer.

    The first arrival is at 0 if the rate there is above 0. step_s: the step of the integration by the
    trapezoidal rule, in seconds.
    """
    area, arrivals, t = 0.0, 1, 0.0
    rate_before = shape.rate(0.0)
    if rate_before > 0:
        yield 0.0
    for number in range(1, round(seconds / step_s) + 1):
        rate_after = shape.rate(number * step_s)
        growth = (rate_before + rate_after) / 2 * step_s
        while growth > 0 and area + growth >= arrivals:
            at = t + (arrivals - area) / growth * step_s
            if at >= seconds - END_TOLERANCE_S:
                return
            yield at
            arrivals += 1
        area, t, rate_before = area + growth, number * step_s, rate_after
