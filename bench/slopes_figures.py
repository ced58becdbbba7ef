"""Figures out of measured costs: which field of the costs, by which sizes. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Generic, NamedTuple, TypeVar

from bench.fit import figure

Costs = TypeVar("Costs")


class FigureSpec(NamedTuple, Generic[Costs]):
    """One figure of the costs that were measured at each size."""

    name: str
    unit: str
    value: Callable[[Costs], float]


class Axis(NamedTuple):
    """What the sizes count, the size that is kept out of the fit, and the target's size."""

    by: str
    kept: float
    target: float


def figures_of(
    role: str, specs: Sequence[FigureSpec[Costs]], costs: Mapping[float, Costs], axis: Axis
) -> list[dict[str, Any]]:
    """The figures of a role, each fitted over all sizes but the one that is kept out."""
    out = []
    for spec in specs:
        points = {size: spec.value(measured) for size, measured in costs.items()}
        out.append(figure(role, spec.name, spec.unit, axis.by, points, axis.kept, axis.target))
    return out
