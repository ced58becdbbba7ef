"""Arrivals: rates over time that compose, and the moments drawn from them. No I/O; every draw is seeded.

A shape is written as parts joined by '+', whose rates add up (requests a second, seconds):

    constant:RATE               always
    ramp:FROM-TO/SECONDS        linear, then TO
    step:RATE@AT                from AT on
    burst:RATE@AT+SECONDS       in that span
    sine:RATE/PERIOD            a wave from 0 to RATE, at 0 in the beginning
    surge:RATE@AT+SECONDS       a morning after rain: up within a tenth of the span, then slowly down
"""

from __future__ import annotations

import math
import random
import re
from collections.abc import Callable, Iterator
from typing import NamedTuple

NUMBER = r"(\d+(?:\.\d+)?)"
MOST_RATE = 1e6
RISE = 0.1  # share of a surge's span in which it rises


class ShapeError(ValueError):
    """A shape that can't be read; the text says which part and why."""


class Part(NamedTuple):
    """One part: its rate at a moment, and a bound on it."""

    rate: Callable[[float], float]
    most: float


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
    def of(t: float) -> float:
        x = (t - at) / span
        if not 0 <= x < 1:
            return 0.0
        return rate * (x / RISE if x < RISE else (1 - (x - RISE) / (1 - RISE)) ** 2)

    return Part(of, rate)


KINDS: dict[str, tuple[str, Callable[..., Part]]] = {
    "constant": (NUMBER, _constant),
    "ramp": (f"{NUMBER}-{NUMBER}/{NUMBER}", _ramp),
    "step": (f"{NUMBER}@{NUMBER}", _step),
    "burst": (rf"{NUMBER}@{NUMBER}\+{NUMBER}", _burst),
    "sine": (f"{NUMBER}/{NUMBER}", _sine),
    "surge": (rf"{NUMBER}@{NUMBER}\+{NUMBER}", _surge),
}
SPANNED = {"ramp": 2, "burst": 2, "sine": 1, "surge": 2}  # which figure is a span, and must not be 0


class Shape:
    """A sum of parts."""

    def __init__(self, parts: list[Part]) -> None:
        self.parts = parts
        self.most = sum(part.most for part in parts)

    def part(self, share: int) -> Shape:
        """A share of it: so many of these add up to the whole."""

        def less(one: Part) -> Part:
            return Part(lambda t: one.rate(t) / share, one.most / share)

        return Shape([less(one) for one in self.parts])

    def rate(self, t: float) -> float:
        return sum(part.rate(t) for part in self.parts)


def read_shape(text: str) -> Shape:
    """The shape that a text describes; ShapeError where it describes none."""
    parts = []
    for piece in re.split(r"\+(?=[a-z])", text.strip()):
        name, _, histogram_summary = piece.partition(":")
        if name not in KINDS:
            raise ShapeError(f"{piece!r}: no such shape; there are {', '.join(KINDS)}")
        form, make = KINDS[name]
        found = re.fullmatch(form, histogram_summary)
        if found is None:
            raise ShapeError(f"{piece!r}: not of the form that {name} has")
        values = [float(value) for value in found.groups()]
        if name in SPANNED and values[SPANNED[name]] <= 0:
            raise ShapeError(f"{piece!r}: the span is 0")
        parts.append(make(*values))
    shape = Shape(parts)
    if not 0 < shape.most <= MOST_RATE:
        raise ShapeError(f"{text!r}: the rate is not above 0 and at most {MOST_RATE:g}")
    return shape


def poisson(shape: Shape, seconds: float, rng: random.Random) -> Iterator[float]:
    """Arrivals of a Poisson process whose rate is the shape's, by thinning (Lewis and Shedler, 1979)."""
    t = 0.0
    while True:
        t += rng.expovariate(shape.most)
        if t >= seconds:
            return
        if rng.random() * shape.most < shape.rate(t):
            yield t


def fixed(shape: Shape, seconds: float, step: float = 1e-4) -> Iterator[float]:
    """Arrivals at even spacing: one each time the area under the rate has grown by 1, from 0 on."""
    area, wanted, t = 0.0, 1, 0.0
    before = shape.rate(0.0)
    if before > 0:
        yield 0.0
    count = round(seconds / step)
    for n in range(1, count + 1):
        after = shape.rate(n * step)
        more = (before + after) / 2 * step
        while more > 0 and area + more >= wanted:
            part = (wanted - area) / more
            at = t + part * step
            if at >= seconds - 1e-12:
                return
            yield at
            wanted += 1
        area, t, before = area + more, n * step, after
