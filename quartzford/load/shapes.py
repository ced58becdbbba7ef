"""Arrivals: rates over time that add up, and the moments drawn from them. No I/O; every draw is seeded.

A shape is written as parts joined by '+', whose rates add up (requests a second, seconds):

    constant:RATE               always
    ramp:FROM-TO/SECONDS        linear, then TO
    step:RATE@AT                from AT on
    burst:RATE@AT+SECONDS       in that span
    sine:RATE/PERIOD            a wave from 0 to RATE, at 0 in the beginning
    surge:RATE@AT+SECONDS       up within a tenth of the span, then slowly down
"""

from __future__ import annotations

import math
import random
import re
from collections.abc import Callable, Iterator
from typing import NamedTuple

NUMBER = r"(\d+(?:\.\d+)?)"
PART_SEPARATOR = re.compile(r"\+(?=[a-z])")  # a '+' before a digit is inside a part
MAX_RATE = 1e6
SURGE_RISE_SHARE = 0.1  # of a surge's span
INTEGRATION_STEP_S = 1e-4
END_TOLERANCE_S = 1e-12


class ShapeError(ValueError):
    """A shape that can't be read; the text says which part and why."""


class Part(NamedTuple):
    """One part of a shape: its rate at a moment (requests a second, by seconds), and the highest it has."""

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


class _Form(NamedTuple):
    """How a part is written. span: which of its figures is a length of time, and must not be 0."""

    pattern: str
    make: Callable[..., Part]
    span: int | None = None


FORMS = {
    "constant": _Form(NUMBER, _constant),
    "ramp": _Form(f"{NUMBER}-{NUMBER}/{NUMBER}", _ramp, 2),
    "step": _Form(f"{NUMBER}@{NUMBER}", _step),
    "burst": _Form(rf"{NUMBER}@{NUMBER}\+{NUMBER}", _burst, 2),
    "sine": _Form(f"{NUMBER}/{NUMBER}", _sine, 1),
    "surge": _Form(rf"{NUMBER}@{NUMBER}\+{NUMBER}", _surge, 2),
}


class Shape:
    """A sum of parts. max_rate: a bound on its rate, in requests a second."""

    def __init__(self, parts: list[Part]) -> None:
        self.parts = parts
        self.max_rate = sum(part.max_rate for part in parts)

    def part(self, count: int) -> Shape:
        """Return one of so many equal shares of it."""

        def share(one: Part) -> Part:
            return Part(lambda t: one.rate(t) / count, one.max_rate / count)

        return Shape([share(one) for one in self.parts])

    def rate(self, t: float) -> float:
        """Return the rate at a moment, in requests a second."""
        return sum(part.rate(t) for part in self.parts)


def read_shape(text: str) -> Shape:
    """Return the shape that a text describes; raises ShapeError if it describes none."""
    shape = Shape([_read_part(piece) for piece in PART_SEPARATOR.split(text.strip())])
    if not 0 < shape.max_rate <= MAX_RATE:
        raise ShapeError(f"{text!r}: the rate is not above 0 and at most {MAX_RATE:g}")
    return shape


def _read_part(piece: str) -> Part:
    name, _, figures = piece.partition(":")
    if name not in FORMS:
        raise ShapeError(f"{piece!r}: no such shape; there are {', '.join(FORMS)}")
    form = FORMS[name]
    found = re.fullmatch(form.pattern, figures)
    if found is None:
        raise ShapeError(f"{piece!r}: not of the form that {name} has")
    values = [float(value) for value in found.groups()]
    if form.span is not None and values[form.span] <= 0:
        raise ShapeError(f"{piece!r}: the span is 0")
    return form.make(*values)


def poisson_arrivals(shape: Shape, seconds: float, rng: random.Random) -> Iterator[float]:
    """Yield the arrivals of a Poisson process with a shape's rate, by thinning (Lewis and Shedler, 1979)."""
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
    """Yield arrivals at even spacing: from 0 on, one each time the area under the rate has grown by 1.

    step_s: of the integration by trapezoids.
    """
    area, arrivals, t = 0.0, 1, 0.0
    before = shape.rate(0.0)
    if before > 0:
        yield 0.0
    for number in range(1, round(seconds / step_s) + 1):
        after = shape.rate(number * step_s)
        growth = (before + after) / 2 * step_s
        while growth > 0 and area + growth >= arrivals:
            at = t + (arrivals - area) / growth * step_s
            if at >= seconds - END_TOLERANCE_S:
                return
            yield at
            arrivals += 1
        area, t, before = area + growth, number * step_s, after
